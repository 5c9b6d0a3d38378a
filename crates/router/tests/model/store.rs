//! The store: replicas and configuration under one counter of revisions.

use std::collections::BTreeMap;

use switchfold_router::{
    Millis,
    era::{era_of, pack_revision, revision_of},
    fleet::{EntryState, LayerRange, ReplicaEntry, ReplicaUpdate},
    follow::{FollowStep, FollowTimings, STORE_TIMEOUT},
    instance::ReplicaInstance,
    replicas::FleetList,
};

use super::{Trouble, Weather, replica_id};

/// Time from a call to its answer, in milliseconds, and the same of a slow store.
const ANSWER: Millis = 5;
const SLOW_ANSWER: Millis = 200;

/// What is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Replicas,
    Config,
}

/// What the store answered.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    List(FleetList),
    Changes(Vec<ReplicaUpdate>, u64),
    Config(Option<u64>, u64),
    Gap,
    Refused,
}

/// A call under way.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) relay: usize,
    pub(crate) kind: Kind,
    pub(crate) times: FollowTimings,
    pub(crate) step: FollowStep,
    pub(crate) sent: Millis,
    pub(crate) reply: Option<(Millis, Reply)>,
    /// Whether its answer will never come: the connection went silent.
    pub(crate) is_lost: bool,
}

impl Call {
    /// When the caller gives up.
    pub(crate) fn deadline(&self) -> Millis {
        let FollowTimings { wait, list_timeout, .. } = self.times;
        match self.step {
            FollowStep::Wait(_) | FollowStep::Ask => self.sent,
            FollowStep::List(_) => self.sent + list_timeout,
            FollowStep::Watch(_) => self.sent + wait + STORE_TIMEOUT,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct ModelStore {
    /// Times that it came back from a copy.
    era: u64,
    revision: u64,
    entries: BTreeMap<usize, (u64, ReplicaEntry)>,
    /// Entries as their replicas know them, listed or not.
    known: Vec<ReplicaEntry>,
    history: Vec<ReplicaUpdate>,
    forgotten: u64,
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
            forgotten: 0,
            config: (1, 1),
        };
        (0..replicas).for_each(|number| store.restore(number));
        store
    }

    /// Changes a replica's entry, where it is listed; tells whether it is.
    pub(crate) fn update(&mut self, number: usize, change: impl Fn(&mut ReplicaEntry)) -> bool {
        let listed = self.entries.contains_key(&number);
        if listed {
            change(&mut self.known[number]);
            self.restore(number);
        }
        listed
    }

    /// Writes a replica's entry as the replica knows it.
    pub(crate) fn restore(&mut self, number: usize) {
        self.revision += 1;
        let entry = self.known[number].clone();
        self.entries.insert(number, (self.revision, entry.clone()));
        self.note(number, Some(entry));
    }

    /// Whether a replica's entry is listed and tells its present life.
    pub(crate) fn shows_present(&self, number: usize) -> bool {
        let listed = self.entries.get(&number);
        listed.is_some_and(|(_, entry)| entry.instance == self.known[number].instance)
    }

    /// Starts a replica again under its id, with nothing; its entry tells that only once it is written. Gives
    /// its entry of before.
    pub(crate) fn restart(&mut self, number: usize) -> ReplicaEntry {
        let known = &mut self.known[number];
        let before = known.clone();
        known.instance = known.instance.restarted_at(known.instance.started_at() + 1);
        known.layers = None;
        before
    }

    /// Writes something else in the place of a replica's entry, where it is listed.
    pub(crate) fn overwrite(&mut self, number: usize, entry: ReplicaEntry) {
        if self.entries.contains_key(&number) {
            self.revision += 1;
            self.entries.insert(number, (self.revision, entry.clone()));
            self.note(number, Some(entry));
        }
    }

    /// Whether a replica is listed.
    pub(crate) fn is_listed(&self, number: usize) -> bool {
        self.entries.contains_key(&number)
    }

    /// A replica's entry as it knows it.
    pub(crate) fn known(&self, number: usize) -> &ReplicaEntry {
        &self.known[number]
    }

    /// Removes a replica's entry; tells whether it was listed.
    pub(crate) fn remove(&mut self, number: usize) -> bool {
        let listed = self.entries.remove(&number).is_some();
        if listed {
            self.revision += 1;
            self.note(number, None);
        }
        listed
    }

    /// Writes a version of the configuration, where it has an older one.
    pub(crate) fn configure(&mut self, version: u64) {
        if version > self.config.1 {
            self.revision += 1;
            self.config = (self.revision, version);
        }
    }

    /// Comes back from a copy of before: what was written since is gone, and its revisions are given out again. Replicas
    /// know what they knew.
    pub(crate) fn come_back(&mut self, copy: &Self) {
        let (era, known) = (self.era + 1, self.known.clone());
        *self = Self { era, known, ..copy.clone() };
    }

    /// A revision as the platform's adapter tells it.
    fn pack_revision(&self, revision: u64) -> u64 {
        pack_revision(self.era, revision)
    }

    fn placed(&self, news: &ReplicaUpdate) -> ReplicaUpdate {
        ReplicaUpdate { revision: self.pack_revision(news.revision), ..news.clone() }
    }

    /// The revision to watch from; nothing where this store does not have it.
    fn revision_of(&self, place: u64) -> Option<u64> {
        let revision = revision_of(place);
        let has_it = revision <= self.revision && revision >= self.forgotten;
        (has_it && era_of(place) == self.era).then_some(revision)
    }

    fn note(&mut self, number: usize, entry: Option<ReplicaEntry>) {
        let id = replica_id(number);
        self.history.push(ReplicaUpdate { id, revision: self.revision, entry });
    }

    /// Lets a call go on: it may get its answer, or lose it.
    pub(crate) fn serve(&mut self, call: &mut Call, weather: &Weather<'_>, now: Millis) {
        let delay = if weather.has(Trouble::Slow) { SLOW_ANSWER } else { ANSWER };
        if call.reply.is_some() || call.is_lost || now < call.sent + delay / 2 {
            return;
        }
        match weather.serves(call.relay) {
            None => call.is_lost = true,
            Some(false) => call.reply = Some((now + delay / 2, Reply::Refused)),
            Some(true) => {
                let reply = self.answer(call, weather, now);
                call.reply = reply.map(|reply| (now + delay / 2, reply));
            }
        }
    }

    fn answer(&mut self, call: &Call, weather: &Weather<'_>, now: Millis) -> Option<Reply> {
        let after = match call.step {
            FollowStep::Wait(_) | FollowStep::Ask => return None,
            FollowStep::List(_) => return Some(self.list(call.kind)),
            FollowStep::Watch(after) => after,
        };
        let over = now >= call.sent + call.times.wait;
        if weather.has(Trouble::Compaction) {
            // Nothing is heard, and the revision of nothing is not told.
            return over.then(|| Self::empty(call.kind, after));
        }
        let cut = weather.troubles.iter().any(|one| {
            one.what == Trouble::Compaction && one.at + 1_000 <= now && call.sent < one.at + 1_000
        });
        if cut {
            self.forgotten = self.forgotten.max(self.revision);
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
        let news = self.history.iter().filter(|news| news.revision > after);
        let news: Vec<ReplicaUpdate> = news.map(|news| self.placed(news)).collect();
        (!news.is_empty()).then_some(Reply::Changes(news, at))
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
