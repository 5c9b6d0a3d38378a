//! What a relay believes of the replicas, and how recent that is.
//!
//! News of a replica comes by three ways: a list of the store, a watch of it, and other relays of the
//! data centre. All of them are taken over here, each with where it came from, so that whoever holds this
//! can tell of every change by what it was decided.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use derive_more::Display;

use crate::{
    Millis,
    era::era_of,
    fleet::{EntryState, FleetChange, FleetView, LayerRange, ReplicaEntry, ReplicaUpdate},
    freshness::FreshnessLease,
    instance::ReplicaInstance,
    membership::{MAX_PEER_READ_AGE, PeerProof},
    missing::MissingEntries,
};

/// Where news of a replica came from.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum UpdateSource {
    /// A list of the store.
    #[display("list")]
    List,
    /// A list of the store, told by a relay that read it.
    #[display("told")]
    Told,
    /// A watch of the store.
    #[display("watch")]
    Watch,
    /// Another relay of the data centre, by its address.
    #[display("relay {_0}")]
    Relay(SocketAddr),
    /// Nothing: it was waited for in vain after an outage of the store.
    #[display("lapse")]
    Lapse,
    /// A later start at the same address.
    #[display("successor")]
    Successor,
    /// The replica itself, when it was asked.
    #[display("report")]
    Report,
    /// The replica itself, with an answer.
    #[display("answer")]
    Answer,
}

/// News that came, with what it changed.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedUpdate {
    /// Id of the replica.
    pub id: String,
    /// Its life that the news speaks of; nothing where it was not known.
    pub instance: Option<ReplicaInstance>,
    /// Its life that ended by the news: what is kept of it counts no more.
    pub ended: Option<ReplicaInstance>,
    /// Whether that one had said that it leaves.
    pub is_planned: bool,
    /// Address of the replica; nothing where it was not known.
    pub address: Option<SocketAddr>,
    /// Layers that it holds by this news.
    pub layers: Option<LayerRange>,
    /// What changed.
    pub change: FleetChange,
    /// Revision of the news.
    pub revision: u64,
    /// Revision of what was held before.
    pub held: Option<u64>,
    /// Where the news came from.
    pub source: UpdateSource,
}

/// A whole list, as the store told it.
#[derive(Clone, Debug)]
pub struct FleetList {
    /// Replicas that are listed.
    pub listed: Vec<ReplicaUpdate>,
    /// Revision of the store at which they were.
    pub at: u64,
}

/// What taking over a list did.
#[derive(Clone, Debug, Default)]
pub struct AppliedList {
    /// News that it brought.
    pub applied: Vec<AppliedUpdate>,
    /// Replicas that it lacks, and that are waited for.
    pub awaited: Vec<String>,
    /// Changes that a watch should have told and did not, with what was held: this relay had gone on
    /// beyond their revisions.
    pub missed: Vec<(ReplicaUpdate, Option<u64>)>,
    /// The era that it is the first list of, where the store came back from a copy.
    pub era_start: Option<EraStart>,
}

/// The first list after the store came back from a copy of before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraStart {
    /// The era.
    pub era: u64,
    /// Listed replicas that this relay knows to be gone, and that are not taken back for now.
    pub doubted: usize,
}

/// Time after the first list of an era for which it brings back no life that was known to be gone, in milliseconds: a
/// copy names those that have ended since, until the store misses three of their heartbeats of 1.2 s.
const DOUBT_TIME: Millis = 3_800;

/// Listed replicas that are not taken back for now, since a copy of the store names them and they were gone before.
#[derive(Clone, Debug, Default)]
struct DoubtedNews {
    until: Millis,
    news: BTreeMap<String, ReplicaUpdate>,
}

impl DoubtedNews {
    /// Drops what newer news of the replica overtakes.
    fn record_update(&mut self, news: &ReplicaUpdate) {
        if self.news.get(&news.id).is_some_and(|doubted| doubted.revision < news.revision) {
            self.news.remove(&news.id);
        }
    }
}

/// What a relay believes of the replicas.
#[derive(Clone, Debug, Default)]
pub struct FleetTracker {
    /// The replicas.
    pub view: FleetView,
    lapses: MissingEntries,
    doubted: DoubtedNews,
    lease: FreshnessLease,
    watched: u64,
    /// When this relay last had an answer of the store itself.
    own_answer: Option<Millis>,
}

/// Entries that are told apart by id; far more than other writers leave at a time.
const MOST_ODD: usize = 1_024;

/// Entries in the list that are no replica's own, so that each is told of once for each revision.
#[derive(Clone, Debug, Default)]
pub struct ForeignEntries {
    seen: HashMap<String, u64>,
}

impl ForeignEntries {
    /// Notes an entry; tells whether it is news.
    pub fn record(&mut self, id: &str, revision: u64) -> bool {
        if self.seen.len() >= MOST_ODD && !self.seen.contains_key(id) {
            self.seen.clear();
        }
        self.seen.insert(id.to_owned(), revision) != Some(revision)
    }
}

/// Age up to which the list of replicas counts as recent, in milliseconds: two waits of its watch, and
/// the time that a store in trouble takes.
pub const FLEET_MAX_AGE: Millis = 5_000;

/// The same, where this relay has lost the store and only hears from others: their proofs are up to
/// two waits of a second old, and what they tell a little more.
pub const FLEET_MAX_AGE_LOST: Millis = 3_500;

impl FleetTracker {
    /// Takes over a whole list of the store, sent for at `sent`; `source` tells how it came.
    pub fn apply_list(
        &mut self,
        list: FleetList,
        source: UpdateSource,
        sent: Millis,
        now: Millis,
    ) -> AppliedList {
        let FleetList { mut listed, at } = list;
        let mut result = AppliedList { missed: self.passed_by(&listed), ..AppliedList::default() };
        let is_new_era = self.watched > 0 && era_of(at) > era_of(self.watched);
        if is_new_era {
            self.lapses.record_restore(sent);
            self.view.pin_draining();
            self.doubted = DoubtedNews { until: now + DOUBT_TIME, news: BTreeMap::new() };
        }
        self.set_doubted_apart(&mut listed, now);
        result.era_start =
            is_new_era.then(|| EraStart { era: era_of(at), doubted: self.doubted.news.len() });
        for id in self.view.missing_from(&listed, at) {
            match self.lapses.should_keep(&id, at, sent) {
                true => result.awaited.push(id),
                false => {
                    let news = ReplicaUpdate { id, revision: at, entry: None };
                    result.applied.push(self.apply_one(news, source, now));
                }
            }
        }
        result.applied.extend(self.apply_all(listed, source, now));
        result
    }

    /// Sets replicas of a list apart that were gone before the store came back from a copy. What an earlier list named and
    /// this one lacks has ended.
    fn set_doubted_apart(&mut self, listed: &mut Vec<ReplicaUpdate>, now: Millis) {
        self.doubted.news.clear();
        if now >= self.doubted.until {
            return;
        }
        let was_gone = |news: &mut ReplicaUpdate| self.view.was_removed_before(news);
        for news in listed.extract_if(.., was_gone) {
            self.doubted.news.insert(news.id.clone(), news);
        }
    }

    fn passed_by(&self, listed: &[ReplicaUpdate]) -> Vec<(ReplicaUpdate, Option<u64>)> {
        let due = listed.iter().filter(|news| news.revision <= self.watched);
        let with_held = due.map(|news| (news, self.view.revision(&news.id)));
        let passed = with_held.filter(|(news, held)| held.is_none_or(|held| held < news.revision));
        passed.map(|(news, held)| (news.clone(), held)).collect()
    }

    /// Takes over news; what is older than what is known changes nothing.
    pub fn apply_all(
        &mut self,
        news: Vec<ReplicaUpdate>,
        source: UpdateSource,
        now: Millis,
    ) -> Vec<AppliedUpdate> {
        let mut taken = Vec::with_capacity(news.len());
        for one in news {
            let named = one.entry.as_ref().is_some_and(|entry| self.view.names_service(entry));
            let (revision, first) = (one.revision, self.apply_one(one, source, now));
            let joins = first.change == FleetChange::Joined && named;
            let joined = first.address.filter(|_| joins);
            let id = first.id.clone();
            taken.push(first);
            let Some(address) = joined else { continue };
            for old in self.view.predecessors(&id, address) {
                let news = ReplicaUpdate { id: old, revision, entry: None };
                taken.push(self.apply_one(news, UpdateSource::Successor, now));
            }
        }
        taken
    }

    /// Whether no list was ever read or told. One that is empty since all entries lapsed is a list: relays that ask each other
    /// for more, as those do that start, would believe each other's and read the store no more.
    pub fn has_no_list(&self) -> bool {
        self.watched == 0
    }

    /// Era of the store up to which the list was read.
    pub fn era(&self) -> u64 {
        era_of(self.watched)
    }

    /// Whether what was read up to a place is of an earlier era than what this relay read: it holds no longer.
    pub fn is_of_earlier_era(&self, at: u64) -> bool {
        era_of(at) < era_of(self.watched)
    }

    fn apply_one(
        &mut self,
        news: ReplicaUpdate,
        source: UpdateSource,
        now: Millis,
    ) -> AppliedUpdate {
        let news = self.without_lost_start(news);
        self.doubted.record_update(&news);
        let (id, revision) = (news.id.clone(), news.revision);
        let layers = news.entry.as_ref().and_then(|entry| entry.layers);
        let known = self.view.get(&id).map(|entry| (entry.instance.clone(), entry.address));
        let is_planned =
            self.view.get(&id).is_some_and(|entry| entry.state == EntryState::Draining);
        let told = news.entry.as_ref().map(|entry| (entry.instance.clone(), entry.address));
        let (instance, address) = told.or(known.clone()).unzip();
        let held = self.view.revision(&id);
        let change = match self.is_of_earlier_era(revision) {
            // A relay that stood still tells what it read before.
            true => FleetChange::Older,
            false => self.view.apply(news, now),
        };
        match change {
            FleetChange::Older => {}
            FleetChange::Gone => self.lapses.record_gone(&id),
            _ => self.lapses.record_listed(&id, revision),
        }
        let ends = matches!(change, FleetChange::Gone | FleetChange::Restarted);
        let ended = known.map(|(instance, _)| instance).filter(|_| ends);
        AppliedUpdate {
            id,
            instance,
            ended,
            is_planned,
            address,
            layers,
            change,
            revision,
            held,
            source,
        }
    }

    /// An entry that tells no start, where the replica's own entry told one, is another writer's.
    fn without_lost_start(&self, news: ReplicaUpdate) -> ReplicaUpdate {
        let told = news.entry.as_ref().map(|entry| entry.instance.started_at());
        let held = self.view.get(&news.id).map_or(0, |held| held.instance.started_at());
        match told {
            Some(0) if held > 0 => self.overwritten(&news.id, news.revision).unwrap_or(news),
            _ => news,
        }
    }

    /// News of a replica in whose place another writer's entry stands. Nothing where the replica is not known: it
    /// names none then.
    pub fn overwritten(&self, id: &str, revision: u64) -> Option<ReplicaUpdate> {
        let held = self.view.get(id)?;
        let state = match held.state {
            // It said that it leaves, and does.
            EntryState::Draining => EntryState::Draining,
            EntryState::Ready | EntryState::Overwritten => EntryState::Overwritten,
        };
        let entry = ReplicaEntry { state, ..held.clone() };
        Some(ReplicaUpdate { id: id.to_owned(), revision, entry: Some(entry) })
    }

    /// Takes a replica's own word of when it started; gives what it changed.
    pub fn apply_start(&mut self, id: &str, born: Millis, now: Millis) -> Option<AppliedUpdate> {
        let ended = self.view.apply_restart(id, born, now)?;
        let entry = self.view.get(id)?;
        let revision = self.view.revision(id)?;
        Some(AppliedUpdate {
            id: id.to_owned(),
            instance: Some(entry.instance.clone()),
            ended: Some(ended),
            is_planned: false,
            address: Some(entry.address),
            layers: entry.layers,
            change: FleetChange::Restarted,
            revision,
            held: Some(revision),
            source: UpdateSource::Report,
        })
    }

    /// Takes a replica's own word that it is leaving; gives what it changed.
    pub fn apply_draining(&mut self, instance: &ReplicaInstance) -> Option<AppliedUpdate> {
        if !self.view.mark_draining(instance) {
            return None;
        }
        let entry = self.view.get_current(instance)?;
        let revision = self.view.revision(instance.id())?;
        Some(AppliedUpdate {
            id: instance.id().to_owned(),
            instance: Some(instance.clone()),
            ended: None,
            is_planned: true,
            address: Some(entry.address),
            layers: entry.layers,
            change: FleetChange::Draining,
            revision,
            held: Some(revision),
            source: UpdateSource::Answer,
        })
    }

    /// Notes that a read sent at `sent`, which reached the revision `at`, was answered.
    pub fn record_read(&mut self, sent: Millis, at: u64, now: Millis) {
        self.watched = at;
        self.own_answer = Some(now);
        self.record_proof(PeerProof { proved: Some(sent as i64), answered: Some(now) });
    }

    /// Notes that another relay told its whole list, which it read up to the revision `at`.
    pub fn record_snapshot(&mut self, proof: PeerProof, at: u64) {
        self.watched = at;
        self.own_answer = None;
        self.record_proof(proof);
    }

    /// Time since the store last answered this relay itself, in milliseconds; nothing where another one follows
    /// for it, or told it the list.
    pub fn read_age(&self, now: Millis) -> Option<Millis> {
        self.own_answer.map(|answered| now.saturating_sub(answered))
    }

    /// The list as the store told it, for another relay: without entries that it lacks and that are awaited.
    /// Whoever takes it decides for itself which of its own it awaits.
    pub fn shareable_list(&self) -> FleetList {
        let news = self.view.updates().filter(|news| !self.lapses.is_awaited(&news.id));
        FleetList { listed: news.collect(), at: self.watched }
    }

    /// Notes how recent the list held is, by a read or by another relay's word.
    pub fn record_proof(&mut self, proof: PeerProof) {
        proof.answered.into_iter().for_each(|answered| self.lease.record_answer(answered));
        let Some(proved) = proof.proved else { return };
        self.lease.record_proof_at(proved);
        // What was sent before this start says nothing of an outage seen since.
        self.lapses.record_answer(proved.max(0) as Millis);
    }

    /// Time since the store last answered for the list, in milliseconds; nothing while entries are awaited
    /// that its list lacks: what is held is then not what the store says, and spares nobody a read.
    pub fn answer_age(&self, now: Millis) -> Option<Millis> {
        let answer_age = self.lease.answer_age(now);
        answer_age.filter(|_| !self.lapses.awaits_any())
    }

    /// Time since the store last answered for the list as it is held, awaited entries and all, in
    /// milliseconds.
    pub fn known_answer_age(&self, now: Millis) -> Option<Millis> {
        self.lease.answer_age(now)
    }

    /// Notes that a read sent at `sent` got no answer.
    pub fn record_loss(&mut self, sent: Millis) {
        self.lease.record_loss(sent);
        self.lapses.record_loss(sent);
    }

    /// Notes that the store did not answer this relay for another kind of object, which tells the same where
    /// it does not read the list itself.
    pub fn record_loss_elsewhere(&mut self, sent: Millis, now: Millis) {
        if self.read_age(now).is_none_or(|age| age >= MAX_PEER_READ_AGE) {
            self.record_loss(sent);
        }
    }

    /// Takes the news of replicas that were waited for too long: they are gone.
    pub fn take_expired(&mut self, now: Millis) -> Vec<ReplicaUpdate> {
        let overdue = self.lapses.take_overdue(now).into_iter();
        let gone = overdue.map(|(id, revision)| ReplicaUpdate { id, revision, entry: None });
        gone.collect()
    }

    /// Whether the store is to be read anew, since entries were doubted and the time for that is over: whether they are listed
    /// still, a relay that goes by another's word has not heard, and one that followed it may have missed.
    pub fn needs_full_list(&self, now: Millis) -> bool {
        !self.doubted.news.is_empty() && now >= self.doubted.until
    }

    /// Listed news that ends a doubt: the relays that go by this one's word are to hear of them at once, since they count none of
    /// it in what they compare.
    pub fn confirmed_by(&self, list: &FleetList, now: Millis) -> Vec<ReplicaUpdate> {
        // The first list of another era is of another copy, and begins another doubt.
        if !self.needs_full_list(now) || era_of(list.at) != era_of(self.watched) {
            return Vec::new();
        }
        let is_cleared = |news: &&ReplicaUpdate| self.doubted.news.contains_key(&news.id);
        list.listed.iter().filter(is_cleared).cloned().collect()
    }

    /// Whether a replica is missing from the list, and waited for.
    pub fn is_awaited(&self, id: &str) -> bool {
        self.lapses.is_awaited(id)
    }

    /// Age of the last proof of the list, in milliseconds.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.lease.age(now)
    }

    /// Whether the last read of the list got no answer, and no other relay proved it since.
    pub fn is_lost(&self) -> bool {
        self.lease.is_lost()
    }

    /// Whether the list is recent, as far as can be told.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let most = if self.is_lost() { FLEET_MAX_AGE_LOST } else { FLEET_MAX_AGE };
        self.age(now).is_some_and(|age| age < most)
    }
}
