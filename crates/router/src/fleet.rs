//! Replicas as the platform's store lists them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use switchfold_core::hash::hash_bytes;

use crate::{
    Millis,
    era::{era_of, revision_of},
    instance::ReplicaInstance,
};

/// A range of model layers, `from..to`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// Layer after the last one.
    pub to: u32,
}

impl LayerRange {
    /// Returns the number of layers.
    pub fn len(&self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether the range holds no layer.
    pub fn is_empty(&self) -> bool {
        self.to <= self.from
    }

    /// Returns whether a model of `layers` layers has all layers of the range.
    pub fn fits(&self, layers: u32) -> bool {
        self.to <= layers
    }

    /// Returns whether the range holds `layer`.
    pub fn contains(&self, layer: u32) -> bool {
        self.from <= layer && layer < self.to
    }

    /// Returns the layers that both ranges hold; the result may be empty.
    pub fn overlap(&self, other: &Self) -> Self {
        Self { from: self.from.max(other.from), to: self.to.min(other.to) }
    }
}

/// Whether a replica may be used, by its entry in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryState {
    /// It accepts requests.
    Ready,
    /// It has announced that it will leave.
    Draining,
    /// Another writer's entry, which describes no replica, has replaced its own. The replica may be
    /// healthy: it gets no new requests, but running ones continue.
    Overwritten,
}

/// One replica of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// Id and start of the replica.
    pub instance: ReplicaInstance,
    /// Service that it belongs to.
    pub service: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Name of the data centre that it runs in.
    pub data_centre: String,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Whether it may be used.
    pub state: EntryState,
    /// Kind of accelerator; empty for plain services.
    pub kind: String,
    /// Layers that it holds; `None` for an empty replica or a plain service.
    pub layers: Option<LayerRange>,
}

impl ReplicaEntry {
    /// Returns whether new requests may be sent to it.
    pub fn is_ready(&self) -> bool {
        self.state == EntryState::Ready
    }
}

/// State of one replica at a revision of the store, as read from the store or as another relay
/// passed it on.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaUpdate {
    /// Id of the replica.
    pub id: String,
    /// Revision of the store that the state belongs to.
    pub revision: u64,
    /// Its entry; `None` if it is no longer listed.
    pub entry: Option<ReplicaEntry>,
}

/// Returns the digest of one entry. The digests of entries are combined by exclusive or, so their
/// order does not matter.
///
/// The digest covers the instance and the revision: two relays with the same digest hold what the
/// store listed at the same revisions. The revision is not used as the seed, since for short texts
/// the seed only enters by exclusive or, and two entries would cancel each other.
fn entry_digest(held: &HeldEntry) -> u64 {
    let text = format!("{} {}", held.entry.instance, held.revision);
    hash_bytes(0, text.as_bytes())
}

/// What an update changed for one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// It was not listed before.
    Joined,
    /// It started again under its id; what was known of its earlier instance no longer holds.
    Restarted,
    /// It announced that it will leave.
    Draining,
    /// It was draining, and accepts requests again.
    Returned,
    /// It is no longer listed.
    Gone,
    /// Anything else changed.
    Updated,
    /// Nothing changed.
    Unchanged,
    /// Nothing changed, since the update is older than the known state, or belongs to an earlier
    /// instance.
    Older,
    /// Nothing changed yet: the replica had left before the store was restored from a backup, and
    /// the update may be a delayed write of the instance that left.
    Unconfirmed,
}

/// A listed entry.
#[derive(Clone, Debug)]
struct HeldEntry {
    entry: ReplicaEntry,
    revision: u64,
    /// Lowest known revision at which its id was listed.
    first_revision: u64,
    updated_at: Millis,
}

/// Record of a replica that is no longer listed.
#[derive(Clone, Copy, Debug)]
struct ReplicaTombstone {
    /// Revision at which it was removed.
    revision: u64,
    /// Start of its last instance, as Unix time in milliseconds.
    started_at: Millis,
    /// Lowest revision at which its id was listed; `None` if it never was.
    first_revision: Option<u64>,
    /// Whether it had announced that it will leave.
    was_draining: bool,
    removal: ReplicaRemoval,
}

/// Why a replica is no longer listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaRemoval {
    /// It left or crashed.
    Left,
    /// The store had not answered this relay for a while: the replica left, or its entry expired.
    Unclear,
    /// The store may have missed its heartbeats because of an outage.
    Expired,
}

/// Removal of a replica before the store was restored from a backup that lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EarlierRemoval {
    /// Why it was removed.
    pub removal: ReplicaRemoval,
    /// Whether its entry was written since the restore.
    pub is_rewritten: bool,
}

/// Number of tombstones that are kept. An update older than a tombstone comes from a process that
/// was paused, for minutes at most; on an ordinary day 160 replicas are replaced.
const MAX_TOMBSTONES: usize = 1_024;

/// All listed replicas, by id.
///
/// Of two updates of a replica, the one of the later start counts; of two updates of one instance,
/// the one with the higher revision. The order in which they arrive, and from whom, does not
/// matter: a heartbeat of an earlier instance may reach the store after the first one of its
/// successor. So all relays that receive the same updates hold the same list, and none goes back.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    replicas: BTreeMap<String, HeldEntry>,
    /// Ids listed at each address, so that merging a list need not scan all entries for each one.
    by_address: HashMap<SocketAddr, Vec<String>>,
    tombstones: BTreeMap<String, ReplicaTombstone>,
    /// Instances that announced in a response that they are leaving, whatever their entries say.
    draining: HashSet<ReplicaInstance>,
    /// Services that the configuration names; `None` until there is a configuration.
    services: Option<HashSet<String>>,
    digest: u64,
}

impl FleetView {
    /// Sets the services that the configuration names.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a str>) {
        self.services = Some(services.map(str::to_owned).collect());
    }

    /// Returns whether the configuration names the service of an entry. An entry of another service
    /// may be another writer's, and says nothing about the replica at its address.
    pub fn names_service(&self, entry: &ReplicaEntry) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(&entry.service))
    }

    /// Applies an update if it is newer than the known state.
    pub fn apply(&mut self, update: ReplicaUpdate, now: Millis) -> FleetChange {
        match update.entry {
            Some(entry) => self.insert(entry, update.revision, now),
            None => self.remove(update.id, update.revision),
        }
    }

    fn insert(&mut self, entry: ReplicaEntry, revision: u64, now: Millis) -> FleetChange {
        let mut entry = entry;
        if self.draining.contains(&entry.instance) {
            entry.state = EntryState::Draining;
        }
        let id = entry.instance.id();
        let first_revision = self.first_listed(id).unwrap_or(revision);
        if self.is_older(&entry, revision) || self.has_successor(&entry, first_revision) {
            return FleetChange::Older;
        }
        let change = match self.get(id) {
            None => FleetChange::Joined,
            Some(old) if old.instance != entry.instance => FleetChange::Restarted,
            Some(old) if *old == entry => FleetChange::Unchanged,
            Some(old) => state_change(old.state, entry.state),
        };
        let id = id.to_owned();
        self.tombstones.remove(&id);
        let held = HeldEntry { entry, revision, first_revision, updated_at: now };
        self.digest ^= entry_digest(&held);
        self.by_address.entry(held.entry.address).or_default().push(id.clone());
        if let Some(old) = self.replicas.insert(id, held) {
            self.unindex(&old);
        }
        change
    }

    /// Returns whether newer state is known of the entry's own id.
    fn is_older(&self, entry: &ReplicaEntry, revision: u64) -> bool {
        let started_at = entry.instance.started_at();
        let was_removed = self.tombstones.get(entry.instance.id()).is_some_and(|tombstone| {
            revision <= tombstone.revision || started_at < tombstone.started_at
        });
        let held = self.replicas.get(entry.instance.id());
        was_removed
            || held.is_some_and(|held| {
                (started_at, revision) < (held.entry.instance.started_at(), held.revision)
            })
    }

    /// Returns whether a later start is listed at the address of an entry whose id was first listed
    /// at the revision `first_revision`.
    ///
    /// The store may accept a heartbeat of an earlier start after the later one is listed. If only
    /// the revisions of the entries were compared, that heartbeat would make the later start count
    /// as gone for up to 1.6 s.
    fn has_successor(&self, entry: &ReplicaEntry, first_revision: u64) -> bool {
        let mut others = self.configured_at(entry.address);
        others.any(|held| {
            let (instance, other) = (&entry.instance, &held.entry.instance);
            match instance.started_at() > 0 && other.started_at() > 0 {
                _ if instance.id() == other.id() => false,
                true => other.started_at() > instance.started_at(),
                false => held.first_revision > first_revision,
            }
        })
    }

    fn listed_at(&self, address: SocketAddr) -> impl Iterator<Item = &HeldEntry> {
        let ids = self.by_address.get(&address);
        ids.into_iter().flatten().filter_map(|id| self.replicas.get(id))
    }

    fn configured_at(&self, address: SocketAddr) -> impl Iterator<Item = &HeldEntry> {
        self.listed_at(address).filter(|held| self.names_service(&held.entry))
    }

    fn first_listed(&self, id: &str) -> Option<u64> {
        let held = self.replicas.get(id).map(|held| held.first_revision);
        held.or_else(|| self.tombstones.get(id)?.first_revision)
    }

    fn remove(&mut self, id: String, revision: u64) -> FleetChange {
        let known =
            self.revision(&id).max(self.tombstones.get(&id).map(|tombstone| tombstone.revision));
        if known.is_some_and(|known| revision < known) {
            return FleetChange::Older;
        }
        let first_revision = self.first_listed(&id);
        let old = self.replicas.remove(&id);
        let tombstone = match (&old, self.tombstones.get(&id)) {
            (None, Some(earlier)) => ReplicaTombstone { revision, first_revision, ..*earlier },
            (old, _) => ReplicaTombstone {
                revision,
                started_at: old.as_ref().map_or(0, |old| old.entry.instance.started_at()),
                first_revision,
                was_draining: old
                    .as_ref()
                    .is_some_and(|old| old.entry.state == EntryState::Draining),
                removal: ReplicaRemoval::Left,
            },
        };
        self.add_tombstone(id, tombstone);
        let Some(old) = old else { return FleetChange::Unchanged };
        self.unindex(&old);
        FleetChange::Gone
    }

    /// Removes an entry that is no longer held from the digest and the index.
    fn unindex(&mut self, old: &HeldEntry) {
        self.digest ^= entry_digest(old);
        let address = old.entry.address;
        let Some(ids) = self.by_address.get_mut(&address) else { return };
        if let Some(index) = ids.iter().position(|id| id == old.entry.instance.id()) {
            ids.swap_remove(index);
        }
        if ids.is_empty() {
            self.by_address.remove(&address);
        }
    }

    fn add_tombstone(&mut self, id: String, tombstone: ReplicaTombstone) {
        self.tombstones.insert(id, tombstone);
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, tombstone)| tombstone.revision);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.tombstones.remove(&id));
        }
    }

    /// Marks an instance as draining by its own announcement; returns whether that is new.
    ///
    /// The mark lasts until the replica restarts: its entry may say for seconds that it accepts
    /// requests, and a request that arrives after its drain period is lost.
    pub fn mark_draining(&mut self, instance: &ReplicaInstance) -> bool {
        let Some(held) = self.replicas.get_mut(instance.id()) else { return false };
        if held.entry.instance != *instance {
            return false;
        }
        let is_new = held.entry.state != EntryState::Draining;
        held.entry.state = EntryState::Draining;
        if self.draining.len() >= MAX_TOMBSTONES {
            let replicas = &self.replicas;
            let is_current = |instance: &ReplicaInstance| {
                replicas.get(instance.id()).is_some_and(|held| held.entry.instance == *instance)
            };
            self.draining.retain(is_current);
        }
        self.draining.insert(instance.clone());
        is_new
    }

    /// Keeps all draining replicas marked whatever their entries say from now on: the store was
    /// restored from a backup, which may be older than their announcements.
    pub fn pin_draining(&mut self) {
        let held = self.replicas.values().map(|held| &held.entry);
        let draining = held.filter(|entry| entry.state == EntryState::Draining);
        self.draining.extend(draining.map(|entry| entry.instance.clone()));
    }

    /// Returns how a replica was removed, if that was in an earlier era than the one in which it is
    /// listed, and the entry may be from before the removal. The first list of the era was read at
    /// the revision `first_list`.
    ///
    /// An entry that was not written since the restore is from before it, whatever its start: the
    /// removed entry may have had a later start than was known here. One that was written since may
    /// be a delayed write of an instance that left.
    pub fn removal_before(
        &self,
        update: &ReplicaUpdate,
        first_list: u64,
    ) -> Option<EarlierRemoval> {
        let started_at = update.entry.as_ref()?.instance.started_at();
        let tombstone = self.tombstones.get(&update.id)?;
        let is_rewritten = update.revision > first_list
            || revision_of(update.revision) > revision_of(tombstone.revision);
        let may_be_delayed =
            tombstone.removal == ReplicaRemoval::Left && started_at <= tombstone.started_at;
        let is_earlier_era = era_of(tombstone.revision) < era_of(update.revision);
        let is_from_before = is_earlier_era && (!is_rewritten || may_be_delayed);
        is_from_before.then_some(EarlierRemoval { removal: tombstone.removal, is_rewritten })
    }

    /// Records why a replica is gone. That it announced its leaving before still holds.
    pub fn record_removal(&mut self, id: &str, removal: ReplicaRemoval) {
        if let Some(tombstone) = self.tombstones.get_mut(id)
            && !tombstone.was_draining
        {
            tombstone.removal = removal;
        }
    }

    /// Records a replica's own report of a restart if its entry is still one of an earlier
    /// instance, whose state no longer holds. Returns the instance that ended.
    pub fn apply_restart(
        &mut self,
        id: &str,
        started_at: Millis,
        now: Millis,
    ) -> Option<ReplicaInstance> {
        let held = self.replicas.get(id)?;
        let ended = held.entry.instance.clone();
        if started_at <= ended.started_at() || ended.started_at() == 0 {
            return None;
        }
        let entry = ReplicaEntry {
            instance: ended.restarted_at(started_at),
            layers: None,
            ..held.entry.clone()
        };
        let revision = held.revision;
        self.insert(entry, revision, now);
        Some(ended)
    }

    /// Returns the revision of a replica's entry.
    pub fn revision(&self, id: &str) -> Option<u64> {
        self.replicas.get(id).map(|held| held.revision)
    }

    /// Returns the time since the last update of a replica, in milliseconds.
    pub fn age(&self, id: &str, now: Millis) -> Option<Millis> {
        self.replicas.get(id).map(|held| now.saturating_sub(held.updated_at))
    }

    /// Returns the other replicas listed at an address. They are earlier starts, which ended there:
    /// no entry of an earlier start is accepted while a later one is listed.
    pub fn predecessors(&self, id: &str, address: SocketAddr) -> Vec<String> {
        let others = self.listed_at(address).map(|held| held.entry.instance.id());
        others.filter(|other| *other != id).map(str::to_owned).collect()
    }

    /// Returns the ids that a list read at the revision `at` lacks, except those with a higher
    /// revision, which were written after it was read.
    pub fn missing_from(&self, listed: &[ReplicaUpdate], at: u64) -> Vec<String> {
        let listed: HashSet<&str> = listed.iter().map(|update| update.id.as_str()).collect();
        let older = self.replicas.iter().filter(|(_, held)| held.revision <= at);
        let ids = older.map(|(id, _)| id).filter(|id| !listed.contains(id.as_str()));
        ids.cloned().collect()
    }

    /// Returns the entry of a replica.
    pub fn get(&self, id: &str) -> Option<&ReplicaEntry> {
        self.replicas.get(id).map(|held| &held.entry)
    }

    /// Returns the entry of an instance; `None` if the replica restarted since, or is gone.
    pub fn get_current(&self, instance: &ReplicaInstance) -> Option<&ReplicaEntry> {
        self.get(instance.id()).filter(|entry| entry.instance == *instance)
    }

    /// Returns the latest replica at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&ReplicaEntry> {
        let latest =
            self.configured_at(address).max_by_key(|held| (held.first_revision, held.revision));
        latest.map(|held| &held.entry)
    }

    /// Returns all entries as updates for another relay.
    pub fn updates(&self) -> impl Iterator<Item = ReplicaUpdate> {
        self.replicas.iter().map(|(id, held)| ReplicaUpdate {
            id: id.clone(),
            revision: held.revision,
            entry: Some(held.entry.clone()),
        })
    }

    /// Returns the starts of all replicas, as Unix times in milliseconds; 0 where it is not known.
    pub fn starts(&self) -> impl Iterator<Item = Millis> {
        self.entries().map(|entry| entry.instance.started_at())
    }

    /// Returns the replicas of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaEntry> {
        self.entries().filter(move |replica| replica.service == service)
    }

    fn entries(&self) -> impl Iterator<Item = &ReplicaEntry> {
        self.replicas.values().map(|held| &held.entry)
    }

    /// Returns the digest of the whole list, which is the same for two relays that hold the same
    /// entries.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is listed.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}

fn state_change(old: EntryState, new: EntryState) -> FleetChange {
    match (old, new) {
        (EntryState::Draining, EntryState::Ready) => FleetChange::Returned,
        (old, EntryState::Draining) if old != EntryState::Draining => FleetChange::Draining,
        _ => FleetChange::Updated,
    }
}
