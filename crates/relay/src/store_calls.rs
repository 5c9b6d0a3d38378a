//! Calls of the platform's store, each counted by what it was for.
//!
//! Every call has a price and there are as many relays as entry VMs, so the question of a costly day is why
//! each call was made. All calls go through here; each page of a list is one.

use std::{cell::RefCell, collections::BTreeMap, fmt, rc::Rc, time::Duration};

use derive_more::Display;
use serde::Serialize;
use switchfold_platform::{
    CONFIG_KIND, QUARANTINE_KIND, RELAY_KIND, REPLICA_KIND,
    era::StoreEra,
    objects::{ObjectChanges, ObjectList, ObjectStore},
};
use switchfold_router::follow::ReadCause;
use switchfold_store::StoreError;

/// Kind of object that a call of the store, or a question to a neighbour, is about.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// The operator's configuration.
    #[display("config")]
    Config,
    /// The list of replicas.
    #[display("replicas")]
    Replicas,
    /// The relays' addresses.
    #[display("relays")]
    Relays,
    /// Requests that end replicas.
    #[display("quarantine")]
    Quarantine,
}

impl CallKind {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Config, Self::Replicas, Self::Relays, Self::Quarantine];

    /// Kind by the platform's name.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Config => CONFIG_KIND,
            CallKind::Replicas => REPLICA_KIND,
            CallKind::Relays => RELAY_KIND,
            CallKind::Quarantine => QUARANTINE_KIND,
        }
    }

    /// Why an object of the kind is written.
    fn write_cause(self) -> CallCause {
        match self {
            CallKind::Quarantine => CallCause::Quarantine,
            CallKind::Config | CallKind::Replicas | CallKind::Relays => CallCause::Registration,
        }
    }

    /// Why an object of the kind is removed.
    fn remove_cause(self) -> CallCause {
        match self {
            CallKind::Quarantine => CallCause::Quarantine,
            CallKind::Config | CallKind::Replicas | CallKind::Relays => CallCause::RelayGone,
        }
    }
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallVerb {
    /// A page of a list.
    #[display("list")]
    List,
    /// A page of a list that may be seconds old, at a tenth of the price.
    #[display("stale-list")]
    StaleList,
    /// Changes after a revision.
    #[display("watch")]
    Watch,
    /// A new object.
    #[display("create")]
    Create,
    /// New contents of an object.
    #[display("replace")]
    Replace,
    /// The end of an object.
    #[display("remove")]
    Remove,
}

/// Why a call was made.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallCause {
    /// State is followed.
    #[display("{_0}")]
    Follow(ReadCause),
    /// The other relays' addresses are read.
    #[display("peers")]
    Peers,
    /// This relay leaves its own address.
    #[display("registration")]
    Registration,
    /// A relay is gone.
    #[display("relay-gone")]
    RelayGone,
    /// Requests that end replicas are told, or followed.
    #[display("quarantine")]
    Quarantine,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// It was answered.
    #[display("answered")]
    Answered,
    /// The store no longer has the history that was asked for.
    #[display("gap")]
    Gap,
    /// The object is not as the call expected.
    #[display("conflict")]
    Conflict,
    /// The store's rate is used up.
    #[display("limited")]
    Limited,
    /// The store did not take it, or did not answer.
    #[display("unavailable")]
    Unavailable,
    /// It may have been done.
    #[display("unclear")]
    Unclear,
    /// The answer could not be read.
    #[display("malformed")]
    Malformed,
}

impl<T> From<&Result<T, StoreError>> for CallOutcome {
    fn from(outcome: &Result<T, StoreError>) -> Self {
        match outcome {
            Ok(_) => CallOutcome::Answered,
            Err(StoreError::RevisionExpired) => CallOutcome::Gap,
            Err(StoreError::Conflict { .. }) => CallOutcome::Conflict,
            Err(StoreError::RateLimited) => CallOutcome::Limited,
            Err(StoreError::Unavailable { .. }) => CallOutcome::Unavailable,
            Err(StoreError::OutcomeUnknown { .. }) => CallOutcome::Unclear,
            Err(_) => CallOutcome::Malformed,
        }
    }
}

/// A call of the store, as it is counted.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{kind} {verb} {cause}")]
pub struct StoreCall {
    /// Kind of object.
    pub kind: CallKind,
    /// What it asks for.
    pub verb: CallVerb,
    /// Why it was made.
    pub cause: CallCause,
}

/// Counts of calls since the process began.
#[derive(Debug, Default)]
pub struct CallTally {
    /// The store's era, as far as any call told.
    pub era: StoreEra,
    counts: RefCell<BTreeMap<(StoreCall, CallOutcome), u64>>,
}

impl CallTally {
    /// Counts a call, and writes a line of it.
    pub fn note(&self, call: StoreCall, end: CallOutcome) {
        *self.counts.borrow_mut().entry((call, end)).or_default() += 1;
        let StoreCall { kind, verb, cause } = call;
        tracing::info!(event = "store-call", %kind, %verb, %cause, %end);
    }

    /// Count of all calls.
    pub fn total(&self) -> u64 {
        self.counts.borrow().values().sum()
    }

    /// Counts by call and end.
    pub fn rows(&self) -> Vec<(StoreCall, CallOutcome, u64)> {
        let counts = self.counts.borrow();
        counts.iter().map(|((call, end), count)| (*call, *end, *count)).collect()
    }
}

/// Counts in one line: `config list start answered 1, replicas watch followed answered 12`.
impl fmt::Display for CallTally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (call, end, count)) in self.rows().into_iter().enumerate() {
            let comma = if index > 0 { ", " } else { "" };
            write!(formatter, "{comma}{call} {end} {count}")?;
        }
        Ok(())
    }
}

/// The platform's store, its calls counted.
#[derive(Clone, Debug)]
pub struct CountedStore {
    store: ObjectStore,
    tally: Rc<CallTally>,
}

impl CountedStore {
    /// Makes a client that waits `patience` for an answer.
    pub fn new(address: &str, patience: Duration, tally: &Rc<CallTally>) -> Self {
        let store = ObjectStore::with_shared_era(address, patience, &tally.era);
        Self { store, tally: tally.clone() }
    }

    fn note<T>(
        &self,
        kind: CallKind,
        verb: CallVerb,
        cause: CallCause,
        outcome: &Result<T, StoreError>,
    ) {
        self.tally.note(StoreCall { kind, verb, cause }, CallOutcome::from(outcome));
    }

    /// Reads all objects of a kind; see [`ObjectStore::list_page`].
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::list_page`].
    pub async fn list(
        &self,
        kind: CallKind,
        verb: CallVerb,
        cause: CallCause,
    ) -> Result<ObjectList, StoreError> {
        let mut list = ObjectList::default();
        loop {
            let stale = verb == CallVerb::StaleList;
            let page = self.store.list_page(kind.name(), list.last_name(), stale).await;
            self.note(kind, verb, cause, &page);
            if list.append(page?) {
                return Ok(list);
            }
        }
    }

    /// Waits for changes of a kind after a revision; see [`ObjectStore::watch`].
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::watch`].
    pub async fn watch(
        &self,
        kind: CallKind,
        after: u64,
        wait: Duration,
    ) -> Result<ObjectChanges, StoreError> {
        let changes = self.store.watch(kind.name(), after, wait).await;
        let cause = CallCause::Follow(ReadCause::Followed);
        self.note(kind, CallVerb::Watch, cause, &changes);
        changes
    }

    /// Creates an object; see [`ObjectStore::create`].
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::create`].
    pub async fn create<T: Serialize>(
        &self,
        kind: CallKind,
        name: &str,
        spec: &T,
    ) -> Result<(), StoreError> {
        let outcome = self.store.create(kind.name(), name, spec).await;
        self.note(kind, CallVerb::Create, kind.write_cause(), &outcome);
        outcome
    }

    /// Replaces an object; see [`ObjectStore::replace`].
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::replace`].
    pub async fn replace<T: Serialize>(
        &self,
        kind: CallKind,
        name: &str,
        spec: &T,
    ) -> Result<(), StoreError> {
        let outcome = self.store.replace(kind.name(), name, spec).await;
        self.note(kind, CallVerb::Replace, kind.write_cause(), &outcome);
        outcome
    }

    /// Removes an object; see [`ObjectStore::remove`].
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::remove`].
    pub async fn remove(&self, kind: CallKind, name: &str) -> Result<(), StoreError> {
        let outcome = self.store.remove(kind.name(), name).await;
        self.note(kind, CallVerb::Remove, kind.remove_cause(), &outcome);
        outcome
    }
}
