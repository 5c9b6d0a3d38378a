//! What a relay knows about the replicas, and how recent that is.
//!
//! Updates of a replica come from lists of the store, from watches of it, and from other relays of
//! the data centre. All are applied here together with their source, so that the caller can log
//! what each change was based on.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use derive_more::Display;
use switchfold_core::hash::hash_bytes;

use crate::{
    Millis,
    era::era_of,
    fleet::{
        EarlierRemoval, EntryState, FleetChange, FleetView, LayerRange, ReplicaEntry,
        ReplicaRemoval, ReplicaUpdate,
    },
    freshness::FreshnessLease,
    instance::ReplicaInstance,
    membership::{MAX_PEER_READ_AGE, PeerProof},
    missing::MissingEntries,
};

/// Where an update of a replica came from.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum UpdateSource {
    /// A list of the store.
    #[display("list")]
    List,
    /// A list of the store, sent by a relay that read it.
    #[display("told")]
    Snapshot,
    /// A watch of the store.
    #[display("watch")]
    Watch,
    /// Another relay of the data centre, by its address.
    #[display("relay {_0}")]
    Relay(SocketAddr),
    /// Expiry: the entry did not reappear after an outage of the store.
    #[display("lapse")]
    Expiry,
    /// Expiry that another relay of the data centre reported, by its address.
    #[display("lapse at relay {_0}")]
    PeerExpiry(SocketAddr),
    /// A later start at the same address.
    #[display("successor")]
    Successor,
    /// The replica's own answer to a status request.
    #[display("report")]
    Report,
    /// The replica's own response to a request.
    #[display("answer")]
    Answer,
}

/// An applied update, with what it changed.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedUpdate {
    /// Id of the replica.
    pub id: String,
    /// Instance that the update is about; `None` if it is not known.
    pub instance: Option<ReplicaInstance>,
    /// Instance that ended by the update; state kept about it no longer holds.
    pub ended: Option<ReplicaInstance>,
    /// Whether the instance that ended had announced that it will leave.
    pub is_planned: bool,
    /// Address of the replica; `None` if it is not known.
    pub address: Option<SocketAddr>,
    /// Layers that it holds according to the update.
    pub layers: Option<LayerRange>,
    /// What changed.
    pub change: FleetChange,
    /// Revision of the update.
    pub revision: u64,
    /// Revision that was held before.
    pub held: Option<u64>,
    /// Where the update came from.
    pub source: UpdateSource,
}

/// A full list, as read from the store.
#[derive(Clone, Debug)]
pub struct FleetList {
    /// Replicas that are listed.
    pub listed: Vec<ReplicaUpdate>,
    /// Revision of the store that the list belongs to.
    pub at: u64,
}

/// Result of applying a list.
#[derive(Clone, Debug, Default)]
pub struct AppliedList {
    /// Updates that it contained, with what they changed.
    pub applied: Vec<AppliedUpdate>,
    /// Replicas that it lacks and that may reappear.
    pub awaited: Vec<String>,
    /// Changes that a watch should have reported and did not, with the revision held: this relay
    /// had already read beyond their revisions.
    pub missed: Vec<(ReplicaUpdate, Option<u64>)>,
    /// The new era, if this is its first list after the store was restored from a backup.
    pub era_start: Option<EraStart>,
}

/// The first list after the store was restored from a backup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraStart {
    /// The era.
    pub era: u64,
    /// Number of listed replicas that this relay knows to be gone, and does not add again for now.
    pub unconfirmed: usize,
}

/// Time after which the store no longer lists a replica that is silent, in milliseconds: three
/// heartbeats of 1.2 s and the delay of its list.
const SILENCE_PERIOD: Millis = 4_400;

/// Time after the first list of an era during which no replica that had left before is added again,
/// in milliseconds.
const REMOVAL_PERIOD: Millis = 2 * SILENCE_PERIOD;

/// Like [`REMOVAL_PERIOD`], for a replica whose entry expired in an outage. It may have served all
/// the time, so it is added again once the store has missed three heartbeats.
const EXPIRY_PERIOD: Millis = 3_800;

/// A listed replica that is not added for now, since the list comes from a restored backup and the
/// replica was gone before the restore.
#[derive(Clone, Debug)]
struct UnconfirmedUpdate {
    update: ReplicaUpdate,
    /// Time from which a list that contains it confirms it.
    due: Millis,
}

/// Listed replicas that are not added for now, by id.
#[derive(Clone, Debug, Default)]
struct UnconfirmedUpdates {
    /// Time of the first list of the era.
    since: Millis,
    /// Revision at which that list was read.
    first_list: u64,
    updates: BTreeMap<String, UnconfirmedUpdate>,
}

impl UnconfirmedUpdates {
    /// Drops the unconfirmed entry of a replica if the update is newer.
    fn record_update(&mut self, update: &ReplicaUpdate) {
        let unconfirmed = self.updates.get(&update.id);
        if unconfirmed.is_some_and(|unconfirmed| unconfirmed.update.revision < update.revision) {
            self.updates.remove(&update.id);
        }
    }

    fn is_due(&self, id: &str, now: Millis) -> bool {
        self.updates.get(id).is_some_and(|unconfirmed| now >= unconfirmed.due)
    }
}

/// What a relay knows about the replicas.
#[derive(Clone, Debug, Default)]
pub struct FleetTracker {
    /// The listed replicas.
    pub view: FleetView,
    missing: MissingEntries,
    unconfirmed: UnconfirmedUpdates,
    lease: FreshnessLease,
    read_up_to: u64,
    /// When the store last answered this relay itself.
    last_own_answer: Option<Millis>,
}

/// Maximum number of ids that are kept; far more than other writers leave at a time.
const MAX_FOREIGN_IDS: usize = 1_024;

/// Listed entries that no replica wrote, so that each is reported once for each revision.
#[derive(Clone, Debug, Default)]
pub struct ForeignEntries {
    /// Revisions by the hash of the id, which another writer may have chosen to be long.
    seen: HashMap<u64, u64>,
}

impl ForeignEntries {
    /// Records an entry; returns whether it is new.
    pub fn record(&mut self, id: &str, revision: u64) -> bool {
        let id = hash_bytes(0, id.as_bytes());
        if self.seen.len() >= MAX_FOREIGN_IDS && !self.seen.contains_key(&id) {
            self.seen.clear();
        }
        self.seen.insert(id, revision) != Some(revision)
    }
}

/// Age up to which the list of replicas counts as recent, in milliseconds: two waits of its watch,
/// and the time that a slow store takes.
pub const FLEET_MAX_AGE: Millis = 5_000;

/// Like [`FLEET_MAX_AGE`], for a relay that has lost the store and depends on others: their proofs
/// are up to two waits of a second old, and slightly older when they arrive.
pub const FLEET_MAX_AGE_LOST: Millis = 3_500;

impl FleetTracker {
    /// Applies a full list of the store that was requested at `sent`.
    pub fn apply_list(
        &mut self,
        list: FleetList,
        source: UpdateSource,
        sent: Millis,
        now: Millis,
    ) -> AppliedList {
        let FleetList { mut listed, at } = list;
        let mut result =
            AppliedList { missed: self.missed_by_watch(&listed), ..AppliedList::default() };
        let is_new_era = self.read_up_to > 0 && era_of(at) > era_of(self.read_up_to);
        if is_new_era {
            self.missing.record_restore(sent);
            self.view.pin_draining();
            self.unconfirmed =
                UnconfirmedUpdates { since: now, first_list: at, ..UnconfirmedUpdates::default() };
        }
        self.set_aside_unconfirmed(&mut listed, now);
        result.era_start = is_new_era
            .then(|| EraStart { era: era_of(at), unconfirmed: self.unconfirmed.updates.len() });
        for id in self.view.missing_from(&listed, at) {
            // An entry that was written since the restore is not missing because of the backup.
            let is_earlier = self.view.revision(&id).is_some_and(|held| era_of(held) < era_of(at));
            let is_kept = match is_earlier {
                true => self.missing.should_keep_after_restore(&id, at, sent),
                false => self.missing.should_keep(&id, at, sent),
            };
            match is_kept {
                true => result.awaited.push(id),
                false => {
                    let update = ReplicaUpdate { id, revision: at, entry: None };
                    result.applied.push(self.apply_one(update, source, now));
                }
            }
        }
        result.applied.extend(self.apply_all(listed, source, now));
        result
    }

    /// Removes from a list those replicas that were gone before the store was restored from a
    /// backup. Unconfirmed entries of an earlier list that this one lacks have ended.
    fn set_aside_unconfirmed(&mut self, listed: &mut Vec<ReplicaUpdate>, now: Millis) {
        let mut updates = BTreeMap::new();
        listed.retain(|update| {
            let Some(due) = self.confirmed_from(update, now) else { return true };
            let unconfirmed = UnconfirmedUpdate { update: update.clone(), due };
            updates.insert(update.id.clone(), unconfirmed);
            false
        });
        self.unconfirmed.updates = updates;
    }

    /// Returns the time from which a list confirms an update of a replica that was gone before the
    /// store was restored from a backup; `None` if the update is to be applied now.
    fn confirmed_from(&self, update: &ReplicaUpdate, now: Millis) -> Option<Millis> {
        let UnconfirmedUpdates { since, first_list, ref updates } = self.unconfirmed;
        let EarlierRemoval { removal, is_rewritten } =
            self.view.removal_before(update, first_list)?;
        let period = match removal {
            ReplicaRemoval::Left | ReplicaRemoval::Unclear => REMOVAL_PERIOD,
            ReplicaRemoval::Expired => EXPIRY_PERIOD,
        };
        // Another relay's update may arrive before the first list of its era.
        let since = if era_of(update.revision) > era_of(first_list) { now } else { since };
        let unconfirmed = updates.get(&update.id);
        let known = unconfirmed.filter(|known| known.update.revision == update.revision);
        let due = match known {
            Some(known) => known.due,
            // The store lists an instance that has ended for this long after its last write.
            None if is_rewritten && now < since + period => {
                (since + period).max(now + SILENCE_PERIOD)
            }
            None => since + period,
        };
        (now < due).then_some(due)
    }

    /// Sets aside an update that was written after the store was restored from a backup, if it may
    /// be a delayed write of an instance that left before; returns whether it did.
    fn set_aside_delayed(&mut self, update: &ReplicaUpdate, now: Millis) -> bool {
        let removal = self.view.removal_before(update, self.unconfirmed.first_list);
        let delayed = removal.filter(|removal| removal.is_rewritten);
        let Some(due) = delayed.and_then(|_| self.confirmed_from(update, now)) else {
            return false;
        };
        let unconfirmed = UnconfirmedUpdate { update: update.clone(), due };
        self.unconfirmed.updates.insert(update.id.clone(), unconfirmed);
        true
    }

    fn missed_by_watch(&self, listed: &[ReplicaUpdate]) -> Vec<(ReplicaUpdate, Option<u64>)> {
        let due = listed.iter().filter(|update| update.revision <= self.read_up_to);
        let with_held = due.map(|update| (update, self.view.revision(&update.id)));
        let missed =
            with_held.filter(|(update, held)| held.is_none_or(|held| held < update.revision));
        missed.map(|(update, held)| (update.clone(), held)).collect()
    }

    /// Applies updates; one that is older than the known state changes nothing.
    pub fn apply_all(
        &mut self,
        updates: Vec<ReplicaUpdate>,
        source: UpdateSource,
        now: Millis,
    ) -> Vec<AppliedUpdate> {
        let mut applied = Vec::with_capacity(updates.len());
        for update in updates {
            let is_configured =
                update.entry.as_ref().is_some_and(|entry| self.view.names_service(entry));
            let (revision, first) = (update.revision, self.apply_one(update, source, now));
            let has_joined = first.change == FleetChange::Joined && is_configured;
            let joined = first.address.filter(|_| has_joined);
            let id = first.id.clone();
            applied.push(first);
            let Some(address) = joined else { continue };
            for old in self.view.predecessors(&id, address) {
                let update = ReplicaUpdate { id: old, revision, entry: None };
                applied.push(self.apply_one(update, UpdateSource::Successor, now));
            }
        }
        applied
    }

    /// Returns whether no list was ever read or received. A list that is empty since all entries
    /// expired counts as one: otherwise starting relays, which ask each other, would accept each
    /// other's empty lists and no longer read the store.
    pub fn has_no_list(&self) -> bool {
        self.read_up_to == 0
    }

    /// Returns the store's era of the last list or change that was read.
    pub fn era(&self) -> u64 {
        era_of(self.read_up_to)
    }

    /// Returns whether a revision is of an earlier era than the one that this relay has read; state
    /// of an earlier era no longer holds.
    pub fn is_of_earlier_era(&self, at: u64) -> bool {
        era_of(at) < era_of(self.read_up_to)
    }

    fn apply_one(
        &mut self,
        update: ReplicaUpdate,
        source: UpdateSource,
        now: Millis,
    ) -> AppliedUpdate {
        let update = self.check_start(update);
        self.unconfirmed.record_update(&update);
        let (id, revision) = (update.id.clone(), update.revision);
        let layers = update.entry.as_ref().and_then(|entry| entry.layers);
        let known = self.view.get(&id).map(|entry| (entry.instance.clone(), entry.address));
        let is_planned =
            self.view.get(&id).is_some_and(|entry| entry.state == EntryState::Draining);
        let reported = update.entry.as_ref().map(|entry| (entry.instance.clone(), entry.address));
        let (instance, address) = reported.or(known.clone()).unzip();
        let held = self.view.revision(&id);
        let change = match () {
            // A relay that was paused sends what it read before.
            () if self.is_of_earlier_era(revision) => FleetChange::Older,
            () if self.set_aside_delayed(&update, now) => FleetChange::Unconfirmed,
            () => self.view.apply(update, now),
        };
        match change {
            FleetChange::Older | FleetChange::Unconfirmed => {}
            FleetChange::Gone => {
                self.view.record_removal(&id, self.removal_by(&id, source, now));
                self.missing.record_gone(&id);
            }
            _ => self.missing.record_listed(&id, revision),
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

    /// Returns why a replica is gone, by the source of its removal.
    fn removal_by(&self, id: &str, source: UpdateSource, now: Millis) -> ReplicaRemoval {
        let is_expiry = matches!(source, UpdateSource::Expiry | UpdateSource::PeerExpiry(_));
        let has_expired = is_expiry || self.missing.is_awaited(id);
        let answer_age = self.known_answer_age(now);
        let is_unanswered =
            self.missing.is_in_outage(now) || answer_age.is_none_or(|age| age >= MAX_PEER_READ_AGE);
        match () {
            () if has_expired => ReplicaRemoval::Expired,
            () if is_unanswered => ReplicaRemoval::Unclear,
            () => ReplicaRemoval::Left,
        }
    }

    /// Treats an entry without a start time, of a replica whose own entry had one, as another
    /// writer's.
    fn check_start(&self, update: ReplicaUpdate) -> ReplicaUpdate {
        let reported = update.entry.as_ref().map(|entry| entry.instance.started_at());
        let held = self.view.get(&update.id).map_or(0, |held| held.instance.started_at());
        match reported {
            Some(0) if held > 0 => self.overwritten(&update.id, update.revision).unwrap_or(update),
            _ => update,
        }
    }

    /// Returns the update of a replica whose entry another writer has replaced; `None` for an
    /// unknown replica, since the entry describes none then.
    pub fn overwritten(&self, id: &str, revision: u64) -> Option<ReplicaUpdate> {
        let held = self.view.get(id)?;
        let state = match held.state {
            // The replica announced that it will leave; that still holds.
            EntryState::Draining => EntryState::Draining,
            EntryState::Ready | EntryState::Overwritten => EntryState::Overwritten,
        };
        let entry = ReplicaEntry { state, ..held.clone() };
        Some(ReplicaUpdate { id: id.to_owned(), revision, entry: Some(entry) })
    }

    /// Records a replica's own report of its start; returns what it changed.
    pub fn apply_start(
        &mut self,
        id: &str,
        started_at: Millis,
        now: Millis,
    ) -> Option<AppliedUpdate> {
        let ended = self.view.apply_restart(id, started_at, now)?;
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

    /// Records a replica's own announcement that it will leave; returns what it changed.
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

    /// Records that the store answered a read sent at `sent`, up to the revision `at`.
    pub fn record_read(&mut self, sent: Millis, at: u64, now: Millis) {
        self.read_up_to = at;
        self.last_own_answer = Some(now);
        self.record_proof(PeerProof { proved: Some(sent as i64), answered: Some(now) });
    }

    /// Records that another relay sent its full list, which it had read up to the revision `at`.
    pub fn record_snapshot(&mut self, proof: PeerProof, at: u64) {
        self.read_up_to = at;
        self.last_own_answer = None;
        self.record_proof(proof);
    }

    /// Returns the time since the store last answered this relay itself, in milliseconds; `None` if
    /// another relay reads on its behalf, or sent it the list.
    pub fn read_age(&self, now: Millis) -> Option<Millis> {
        self.last_own_answer.map(|answered| now.saturating_sub(answered))
    }

    /// Returns the list as the store reported it, for another relay: without the awaited entries,
    /// which the store does not list. The receiver decides for itself which of its own entries it
    /// awaits.
    pub fn shareable_list(&self) -> FleetList {
        let updates = self.view.updates().filter(|update| !self.missing.is_awaited(&update.id));
        FleetList { listed: updates.collect(), at: self.read_up_to }
    }

    /// Records how recent the list is, by a read or by another relay's proof.
    pub fn record_proof(&mut self, proof: PeerProof) {
        proof.answered.into_iter().for_each(|answered| self.lease.record_answer(answered));
        let Some(proved) = proof.proved else { return };
        self.lease.record_proof_at(proved);
        // A read sent before this start says nothing about an outage seen since.
        self.missing.record_answer(proved.max(0) as Millis);
    }

    /// Returns the time since the store last answered for the list, in milliseconds. Returns `None`
    /// while entries are awaited: the list then differs from the store's, and must not replace
    /// another relay's read.
    pub fn answer_age(&self, now: Millis) -> Option<Millis> {
        let answer_age = self.lease.answer_age(now);
        answer_age.filter(|_| !self.missing.awaits_any())
    }

    /// Returns the time since the store last answered for the list, in milliseconds, even while
    /// entries are awaited.
    pub fn known_answer_age(&self, now: Millis) -> Option<Millis> {
        self.lease.answer_age(now)
    }

    /// Records that a read sent at `sent` got no answer.
    pub fn record_loss(&mut self, sent: Millis) {
        self.lease.record_loss(sent);
        self.missing.record_loss(sent);
    }

    /// Records that the store did not answer this relay for another kind of object, which shows the
    /// same if this relay does not read the list itself.
    pub fn record_loss_elsewhere(&mut self, sent: Millis, now: Millis) {
        if self.read_age(now).is_none_or(|age| age >= MAX_PEER_READ_AGE) {
            self.record_loss(sent);
        }
    }

    /// Returns the removals of replicas that were awaited for too long.
    pub fn take_expired(&mut self, now: Millis) -> Vec<ReplicaUpdate> {
        let overdue = self.missing.take_overdue(now).into_iter();
        let gone = overdue.map(|(id, revision)| ReplicaUpdate { id, revision, entry: None });
        gone.collect()
    }

    /// Returns whether the store is to be read again, since entries are unconfirmed and the time
    /// for that is over. A relay that relies on another one's reads may have missed whether they
    /// are still listed.
    pub fn needs_full_list(&self, now: Millis) -> bool {
        self.unconfirmed.updates.values().any(|unconfirmed| now >= unconfirmed.due)
    }

    /// Returns the updates of a list that confirm unconfirmed entries. They must be sent at once to
    /// the relays that rely on this one's reads, since unconfirmed entries are not in the digests
    /// that these compare.
    pub fn confirmed_by(&self, list: &FleetList, now: Millis) -> Vec<ReplicaUpdate> {
        // The first list of another era belongs to another backup, and starts a new confirmation
        // period.
        if !self.needs_full_list(now) || era_of(list.at) != era_of(self.read_up_to) {
            return Vec::new();
        }
        let is_confirmed = |update: &&ReplicaUpdate| self.unconfirmed.is_due(&update.id, now);
        list.listed.iter().filter(is_confirmed).cloned().collect()
    }

    /// Returns whether a replica is missing from the list, and may reappear.
    pub fn is_awaited(&self, id: &str) -> bool {
        self.missing.is_awaited(id)
    }

    /// Returns the age of the last proof of the list, in milliseconds.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.lease.age(now)
    }

    /// Returns whether the last read of the list got no answer, and no other relay proved it since.
    pub fn is_lost(&self) -> bool {
        self.lease.is_lost()
    }

    /// Returns whether the list is recent, as far as this relay can tell.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let max_age = if self.is_lost() { FLEET_MAX_AGE_LOST } else { FLEET_MAX_AGE };
        self.age(now).is_some_and(|age| age < max_age)
    }
}
