//! The store: replicas and configuration with one revision counter.

use std::collections::BTreeMap;

use switchfold_router::{
    Millis,
    era::{era_of, pack_revision, revision_of},
    fleet::{EntryState, LayerRange, ReplicaEntry, ReplicaUpdate},
    follow::{FollowStep, FollowTimings, STORE_TIMEOUT},
    instance::ReplicaInstance,
    replicas::FleetList,
};

use super::{ActiveFaults, Fault, replica_id};

/// Time from a call to its answer, of a normal and of a slow store, in milliseconds.
const ANSWER: Millis = 5;
const SLOW_ANSWER: Millis = 200;

/// Kind of object that is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Replicas,
    Config,
}

/// Answer of the store.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    List(FleetList),
    Changes(Vec<ReplicaUpdate>, u64),
    Config(Option<u64>, u64),
    Gap,
    Refused,
}

/// A call in progress.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) relay: usize,
    pub(crate) kind: Kind,
    pub(crate) timings: FollowTimings,
    pub(crate) step: FollowStep,
    pub(crate) sent: Millis,
    pub(crate) reply: Option<(Millis, Reply)>,
    /// Whether its answer will never arrive, since the connection went silent.
    pub(crate) is_lost: bool,
}

impl Call {
    /// Returns when the caller times out.
    pub(crate) fn deadline(&self) -> Millis {
        let FollowTimings { wait, list_timeout, .. } = self.timings;
        match self.step {
            FollowStep::Wait(_) | FollowStep::Ask => self.sent,
            FollowStep::List(_) => self.sent + list_timeout,
            FollowStep::Watch(_) => self.sent + wait + STORE_TIMEOUT,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct ModelStore {
    /// Number of times that it was restored from a backup.
    era: u64,
    revision: u64,
    entries: BTreeMap<usize, (u64, ReplicaEntry)>,
    /// Entries as their replicas know them, listed or not.
    known: Vec<ReplicaEntry>,
    history: Vec<ReplicaUpdate>,
    compacted_revision: u64,
    config: (u64, u64),
}

impl ModelStore {
    pub(crate) fn new(replicas: usize) -> Self {
        let mut store = Self {
            era: 0,
            revision: 1,
            entries: BTreeMap::new(),
            known: (0..replicas).map(entry).collect(),
            history: Vec::new(),
            compacted_revision: 0,
            config: (1, 1),
        };
        (0..replicas).for_each(|number| store.write_entry(number));
        store
    }

    /// Changes a replica's entry if it is listed; returns whether it is.
    pub(crate) fn update(&mut self, number: usize, change: impl Fn(&mut ReplicaEntry)) -> bool {
        let listed = self.entries.contains_key(&number);
        if listed {
            change(&mut self.known[number]);
            self.write_entry(number);
        }
        listed
    }

    /// Writes a replica's entry as the replica knows it.
    pub(crate) fn write_entry(&mut self, number: usize) {
        self.revision += 1;
        let entry = self.known[number].clone();
        self.entries.insert(number, (self.revision, entry.clone()));
        self.record(number, Some(entry));
    }

    /// Returns whether a replica's entry is listed with its present instance.
    pub(crate) fn shows_present(&self, number: usize) -> bool {
        let listed = self.entries.get(&number);
        listed.is_some_and(|(_, entry)| entry.instance == self.known[number].instance)
    }

    /// Restarts a replica under its id, without its earlier state; the store lists that only once
    /// its entry is written. Returns its earlier entry.
    pub(crate) fn restart(&mut self, number: usize) -> ReplicaEntry {
        let known = &mut self.known[number];
        let before = known.clone();
        known.instance = known.instance.restarted_at(known.instance.started_at() + 1);
        known.layers = None;
        before
    }

    /// Replaces a replica's entry if it is listed.
    pub(crate) fn overwrite(&mut self, number: usize, entry: ReplicaEntry) {
        if self.entries.contains_key(&number) {
            self.revision += 1;
            self.entries.insert(number, (self.revision, entry.clone()));
            self.record(number, Some(entry));
        }
    }

    /// Returns whether a replica is listed.
    pub(crate) fn is_listed(&self, number: usize) -> bool {
        self.entries.contains_key(&number)
    }

    /// Returns a replica's entry as the replica knows it.
    pub(crate) fn known(&self, number: usize) -> &ReplicaEntry {
        &self.known[number]
    }

    /// Removes a replica's entry; returns whether it was listed.
    pub(crate) fn remove(&mut self, number: usize) -> bool {
        let listed = self.entries.remove(&number).is_some();
        if listed {
            self.revision += 1;
            self.record(number, None);
        }
        listed
    }

    /// Writes a version of the configuration if the present one is older.
    pub(crate) fn configure(&mut self, version: u64) {
        if version > self.config.1 {
            self.revision += 1;
            self.config = (self.revision, version);
        }
    }

    /// Restores the store from a backup: later writes are lost, and their revisions are reused.
    /// Replicas keep what they know.
    pub(crate) fn restore_backup(&mut self, backup: &Self) {
        let (era, known) = (self.era + 1, self.known.clone());
        *self = Self { era, known, ..backup.clone() };
    }

    /// Returns a revision as the platform's adapter reports it.
    fn pack_revision(&self, revision: u64) -> u64 {
        pack_revision(self.era, revision)
    }

    fn packed(&self, update: &ReplicaUpdate) -> ReplicaUpdate {
        ReplicaUpdate { revision: self.pack_revision(update.revision), ..update.clone() }
    }

    /// Returns the revision to watch from; `None` if the store does not have it.
    fn revision_of(&self, packed: u64) -> Option<u64> {
        let revision = revision_of(packed);
        let has_it = revision <= self.revision && revision >= self.compacted_revision;
        (has_it && era_of(packed) == self.era).then_some(revision)
    }

    fn record(&mut self, number: usize, entry: Option<ReplicaEntry>) {
        let id = replica_id(number);
        self.history.push(ReplicaUpdate { id, revision: self.revision, entry });
    }

    /// Processes a call: it may be answered, or lost.
    pub(crate) fn serve(&mut self, call: &mut Call, active: &ActiveFaults<'_>, now: Millis) {
        let delay = if active.is_active(Fault::Slow) { SLOW_ANSWER } else { ANSWER };
        if call.reply.is_some() || call.is_lost || now < call.sent + delay / 2 {
            return;
        }
        match active.accepts(call.relay) {
            None => call.is_lost = true,
            Some(false) => call.reply = Some((now + delay / 2, Reply::Refused)),
            Some(true) => {
                let reply = self.answer(call, active, now);
                call.reply = reply.map(|reply| (now + delay / 2, reply));
            }
        }
    }

    fn answer(&mut self, call: &Call, active: &ActiveFaults<'_>, now: Millis) -> Option<Reply> {
        let after = match call.step {
            FollowStep::Wait(_) | FollowStep::Ask => return None,
            FollowStep::List(_) => return Some(self.list(call.kind)),
            FollowStep::Watch(after) => after,
        };
        let over = now >= call.sent + call.timings.wait;
        if active.is_active(Fault::Compaction) {
            // The watch receives nothing, and its revision does not advance.
            return over.then(|| Self::empty(call.kind, after));
        }
        let cut = active.faults.iter().any(|one| {
            one.what == Fault::Compaction && one.at + 1_000 <= now && call.sent < one.at + 1_000
        });
        if cut {
            self.compacted_revision = self.compacted_revision.max(self.revision);
            return Some(Reply::Refused);
        }
        let Some(after) = self.revision_of(after) else { return Some(Reply::Gap) };
        self.changes(call.kind, after)
            .or_else(|| over.then(|| Self::empty(call.kind, self.pack_revision(self.revision))))
    }

    fn list(&self, kind: Kind) -> Reply {
        let at = self.pack_revision(self.revision);
        if kind == Kind::Config {
            return Reply::Config(Some(self.config.1), at);
        }
        let listed = self.entries.iter().map(|(number, (revision, entry))| ReplicaUpdate {
            id: replica_id(*number),
            revision: self.pack_revision(*revision),
            entry: Some(entry.clone()),
        });
        Reply::List(FleetList { listed: listed.collect(), at })
    }

    fn changes(&self, kind: Kind, after: u64) -> Option<Reply> {
        let at = self.pack_revision(self.revision);
        if kind == Kind::Config {
            let newer = self.config.0 > after;
            return newer.then_some(Reply::Config(Some(self.config.1), at));
        }
        let updates = self.history.iter().filter(|update| update.revision > after);
        let updates: Vec<ReplicaUpdate> = updates.map(|update| self.packed(update)).collect();
        (!updates.is_empty()).then_some(Reply::Changes(updates, at))
    }

    fn empty(kind: Kind, at: u64) -> Reply {
        match kind {
            Kind::Replicas => Reply::Changes(Vec::new(), at),
            Kind::Config => Reply::Config(None, at),
        }
    }
}

fn entry(number: usize) -> ReplicaEntry {
    ReplicaEntry {
        instance: ReplicaInstance::new(&replica_id(number), 1),
        service: "model".to_owned(),
        address: format!("10.0.0.{}:80", number + 1).parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: 8,
        state: EntryState::Ready,
        kind: "small".to_owned(),
        layers: Some(LayerRange { from: 0, to: 10 }),
    }
}
