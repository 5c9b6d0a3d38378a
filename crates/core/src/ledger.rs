//! Bounded record of the requests that an agent ran.
//!
//! The ledger answers two questions: whether a request may run here, and whether it is certain that
//! it never did. Beyond its capacity it evicts the request that finished first, and from then on
//! treats every id with the same incarnation and a counter up to the evicted one as *too old*:
//! whether such a request ran is unknown. It is refused, and a void of it returns
//! [`VoidOutcome::Unknown`]. Eviction can thus cost a retry on another replica, but never a second
//! run or a false "not run".
//!
//! Memory: `capacity` ids, plus one eviction mark for each of at most `max_incarnations`
//! incarnations.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::id::RequestId;

/// State of a request at this agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerState {
    /// The request was admitted and has not finished.
    Running {
        /// Attempt that is running.
        attempt: u32,
    },
    /// The request ran and has finished.
    Finished {
        /// Last attempt that ran.
        attempt: u32,
    },
    /// The request was voided before it ran: it never ran here and never will.
    Voided,
}

/// Result of [`RequestLedger::admit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerAdmission {
    /// The request has not run here and may run.
    New,
    /// The request may run again: this is a later attempt, and the request may be repeated.
    Retry,
    /// The request is running or ran here, and this attempt must not run.
    Duplicate,
    /// The request was voided.
    Voided,
    /// The record may have been evicted, so it is unknown whether the request ran.
    TooOld,
    /// The ledger is at capacity and all of its requests are running, so none can be evicted.
    Full,
}

/// Result of [`RequestLedger::void`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoidOutcome {
    /// The request never ran here and never will.
    NeverRan,
    /// The request is running or ran here.
    Ran,
    /// It is unknown whether the request ran: its record may have been evicted, or the ledger is
    /// full.
    Unknown,
}

/// Size limits of a [`RequestLedger`].
#[derive(Clone, Copy, Debug)]
pub struct LedgerConfig {
    /// Maximum number of requests.
    pub capacity: usize,
    /// Maximum number of entry incarnations for which the highest evicted counter is kept. Beyond
    /// it, all requests of the oldest incarnations count as evicted.
    pub max_incarnations: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self { capacity: 100_000, max_incarnations: 4_096 }
    }
}

/// Requests that ran, run or must not run at this agent.
#[derive(Debug)]
pub struct RequestLedger {
    config: LedgerConfig,
    states: HashMap<RequestId, LedgerState>,
    /// Finished and voided requests, oldest first: the order of eviction.
    eviction_order: VecDeque<RequestId>,
    /// Highest evicted counter of each incarnation.
    evicted_counters: BTreeMap<u64, u64>,
    /// Requests of older incarnations count as evicted.
    oldest_incarnation: u64,
}

impl RequestLedger {
    /// Creates an empty ledger.
    pub fn new(config: LedgerConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
            eviction_order: VecDeque::new(),
            evicted_counters: BTreeMap::new(),
            oldest_incarnation: 0,
        }
    }

    /// Decides whether an attempt of a request may run, and records it as running if so. `once`
    /// marks a request that must not be repeated.
    pub fn admit(&mut self, id: RequestId, attempt: u32, once: bool) -> LedgerAdmission {
        match self.states.get(&id).copied() {
            Some(LedgerState::Voided) => LedgerAdmission::Voided,
            Some(
                LedgerState::Running { attempt: known } | LedgerState::Finished { attempt: known },
            ) => {
                if once || attempt <= known {
                    return LedgerAdmission::Duplicate;
                }
                self.restart(id, attempt);
                LedgerAdmission::Retry
            }
            None if self.is_evicted(id) => LedgerAdmission::TooOld,
            None => self.insert_running(id, attempt),
        }
    }

    /// Records that a running request has finished.
    pub fn finish(&mut self, id: RequestId) {
        if let Some(state) = self.states.get_mut(&id)
            && let LedgerState::Running { attempt } = *state
        {
            *state = LedgerState::Finished { attempt };
            self.eviction_order.push_back(id);
        }
    }

    /// Bars a request from running here, unless it has run already.
    pub fn void(&mut self, id: RequestId) -> VoidOutcome {
        match self.states.get(&id).copied() {
            Some(LedgerState::Voided) => VoidOutcome::NeverRan,
            Some(_) => VoidOutcome::Ran,
            None if self.is_evicted(id) => VoidOutcome::Unknown,
            None if !self.ensure_capacity() => VoidOutcome::Unknown,
            None => {
                self.states.insert(id, LedgerState::Voided);
                self.eviction_order.push_back(id);
                VoidOutcome::NeverRan
            }
        }
    }

    /// Returns the state of a request, or `None` if the ledger holds no record of it.
    pub fn state(&self, id: RequestId) -> Option<LedgerState> {
        self.states.get(&id).copied()
    }

    /// Returns the number of requests in the ledger, at most its capacity.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the ledger holds no requests.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn insert_running(&mut self, id: RequestId, attempt: u32) -> LedgerAdmission {
        if !self.ensure_capacity() {
            return LedgerAdmission::Full;
        }
        // The eviction may have raised the highest evicted counter past this id.
        if self.is_evicted(id) {
            return LedgerAdmission::TooOld;
        }
        self.states.insert(id, LedgerState::Running { attempt });
        LedgerAdmission::New
    }

    fn restart(&mut self, id: RequestId, attempt: u32) {
        self.eviction_order.retain(|finished| *finished != id);
        self.states.insert(id, LedgerState::Running { attempt });
    }

    /// Returns whether the record of a request may have been evicted.
    fn is_evicted(&self, id: RequestId) -> bool {
        if id.incarnation < self.oldest_incarnation {
            return true;
        }
        let evicted = self.evicted_counters.get(&id.incarnation);
        evicted.is_some_and(|evicted| id.counter <= *evicted)
    }

    /// Evicts finished and voided requests until another request fits. Returns whether it does.
    fn ensure_capacity(&mut self) -> bool {
        while self.states.len() >= self.config.capacity {
            let Some(oldest) = self.eviction_order.pop_front() else {
                return false;
            };
            self.evict(oldest);
        }
        true
    }

    fn evict(&mut self, id: RequestId) {
        self.states.remove(&id);
        let evicted = self.evicted_counters.entry(id.incarnation).or_default();
        *evicted = (*evicted).max(id.counter);
        while self.evicted_counters.len() > self.config.max_incarnations {
            if let Some((incarnation, _)) = self.evicted_counters.pop_first() {
                self.oldest_incarnation = self.oldest_incarnation.max(incarnation + 1);
            }
        }
    }
}
