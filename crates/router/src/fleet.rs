//! Replicas as the platform lists them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use switchfold_core::hash::hash_bytes;

use crate::{Millis, era::era_of, instance::ReplicaInstance};

/// Layers `from..to` of the model.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// Layer after the last one.
    pub to: u32,
}

impl LayerRange {
    /// Count of layers.
    pub fn len(&self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Whether it holds no layer.
    pub fn is_empty(&self) -> bool {
        self.to <= self.from
    }

    /// Whether it holds a layer.
    pub fn contains(&self, layer: u32) -> bool {
        self.from <= layer && layer < self.to
    }
}

/// What a replica's entry says of its use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryState {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
    /// Another writer's entry stands in its place, which names no replica. The replica itself may be well: it
    /// gets no new requests, and what runs there goes on.
    Overwritten,
}

/// One replica of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// This life of the replica.
    pub instance: ReplicaInstance,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: EntryState,
    /// Kind of accelerator; empty for plain services.
    pub kind: String,
    /// Layers that it holds; nothing where it is empty or a plain service.
    pub layers: Option<LayerRange>,
}

impl ReplicaEntry {
    /// Whether new requests may be sent to it.
    pub fn is_ready(&self) -> bool {
        self.state == EntryState::Ready
    }
}

/// What the store said of one replica at a revision, whoever passes it on.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaUpdate {
    /// Id of the replica.
    pub id: String,
    /// Revision of the store at which it was so.
    pub revision: u64,
    /// Its entry; nothing where it is listed no more.
    pub entry: Option<ReplicaEntry>,
}

/// Digest of one entry. Entries are combined by exclusive or, so order does not matter. With the life and the
/// revision, two relays that hold the same digest hold what the store said at the same revisions. The revision is
/// not the seed: for short texts a seed is only combined by exclusive or, and two entries cancel each other.
fn entry_digest(held: &HeldEntry) -> u64 {
    let text = format!("{} {}", held.entry.instance, held.revision);
    hash_bytes(0, text.as_bytes())
}

/// What news changed for one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// It was not listed before.
    Joined,
    /// It started again under its id, and holds and knows nothing of before.
    Restarted,
    /// It says that it will leave.
    Draining,
    /// It was leaving, and is no more.
    Returned,
    /// It is listed no more.
    Gone,
    /// Anything else.
    Updated,
    /// Nothing.
    Unchanged,
    /// Nothing: the news is older than what is known, or of an earlier start, whoever passed it on.
    Older,
}

/// An entry as it is held.
#[derive(Clone, Debug)]
struct HeldEntry {
    entry: ReplicaEntry,
    revision: u64,
    /// Revision at which its id was listed first, as far as this view saw.
    first: u64,
    taken: Millis,
}

/// A replica that is gone.
#[derive(Clone, Copy, Debug)]
struct GoneMark {
    /// Revision at which it was.
    revision: u64,
    /// Start of its last life.
    born: Millis,
    /// Revision at which its id was listed first; nothing where it never was.
    first: Option<u64>,
}

/// Replicas that are gone whose last revisions are kept. News of one that is older comes from a process
/// that stood still at most for minutes; 160 replicas are replaced on an ordinary day.
const MOST_GONE: usize = 1_024;

/// All replicas that are listed, by id.
///
/// Of two news of a replica the one of the later start counts, and within one life the one of the higher
/// revision, in whatever order and from whomever they come: a heartbeat of an earlier life may reach the store
/// after the first one of the next. So all relays that hear of the same news hold the same, and none goes back.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    replicas: BTreeMap<String, HeldEntry>,
    /// Ids that are listed at each address, so that taking over a list does not look through all for each entry.
    by_address: HashMap<SocketAddr, Vec<String>>,
    gone: BTreeMap<String, GoneMark>,
    /// Lives that said in an answer that they are leaving, whatever their entries say.
    leaving: HashSet<ReplicaInstance>,
    /// Services that the configuration names; nothing before there is one.
    services: Option<HashSet<String>>,
    digest: u64,
}

impl FleetView {
    /// Notes the services that the configuration names.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a str>) {
        self.services = Some(services.map(str::to_owned).collect());
    }

    /// Whether the configuration names the service of an entry. One that it does not name may be another
    /// writer's, and says nothing of the replica at its address.
    pub fn names_service(&self, entry: &ReplicaEntry) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(&entry.service))
    }

    /// Takes news of a replica, where it is newer than what is known.
    pub fn apply(&mut self, news: ReplicaUpdate, now: Millis) -> FleetChange {
        match news.entry {
            Some(entry) => self.insert(entry, news.revision, now),
            None => self.remove(news.id, news.revision),
        }
    }

    fn insert(&mut self, entry: ReplicaEntry, revision: u64, now: Millis) -> FleetChange {
        let mut entry = entry;
        if self.leaving.contains(&entry.instance) {
            entry.state = EntryState::Draining;
        }
        let id = entry.instance.id();
        let first = self.first_listed(id).unwrap_or(revision);
        if self.is_older(&entry, revision) || self.has_successor(&entry, first) {
            return FleetChange::Older;
        }
        let change = match self.get(id) {
            None => FleetChange::Joined,
            Some(old) if old.instance != entry.instance => FleetChange::Restarted,
            Some(old) if *old == entry => FleetChange::Unchanged,
            Some(old) => state_change(old.state, entry.state),
        };
        let id = id.to_owned();
        self.gone.remove(&id);
        let held = HeldEntry { entry, revision, first, taken: now };
        self.digest ^= entry_digest(&held);
        self.by_address.entry(held.entry.address).or_default().push(id.clone());
        if let Some(old) = self.replicas.insert(id, held) {
            self.forget_entry(&old);
        }
        change
    }

    /// Whether something newer is known of an entry's own id.
    fn is_older(&self, entry: &ReplicaEntry, revision: u64) -> bool {
        let born = entry.instance.started_at();
        let is_over = self
            .gone
            .get(entry.instance.id())
            .is_some_and(|gone| revision <= gone.revision || born < gone.born);
        let held = self.replicas.get(entry.instance.id());
        is_over
            || held.is_some_and(|held| {
                (born, revision) < (held.entry.instance.started_at(), held.revision)
            })
    }

    /// Whether a later start is listed at the address of an entry whose id was listed first at the revision
    /// `first`. An earlier start's heartbeat may be taken by the store once the later one is listed: by the
    /// revisions of the entries alone, it took the later one for gone for up to 1.6 s.
    fn has_successor(&self, entry: &ReplicaEntry, first: u64) -> bool {
        let mut others = self.named_at(entry.address);
        others.any(|held| {
            let (instance, other) = (&entry.instance, &held.entry.instance);
            match instance.started_at() > 0 && other.started_at() > 0 {
                _ if instance.id() == other.id() => false,
                true => other.started_at() > instance.started_at(),
                false => held.first > first,
            }
        })
    }

    fn listed_at(&self, address: SocketAddr) -> impl Iterator<Item = &HeldEntry> {
        let ids = self.by_address.get(&address);
        ids.into_iter().flatten().filter_map(|id| self.replicas.get(id))
    }

    fn named_at(&self, address: SocketAddr) -> impl Iterator<Item = &HeldEntry> {
        self.listed_at(address).filter(|held| self.names_service(&held.entry))
    }

    fn first_listed(&self, id: &str) -> Option<u64> {
        let held = self.replicas.get(id).map(|held| held.first);
        held.or_else(|| self.gone.get(id)?.first)
    }

    fn remove(&mut self, id: String, revision: u64) -> FleetChange {
        let known = self.revision(&id).max(self.gone.get(&id).map(|gone| gone.revision));
        if known.is_some_and(|known| revision < known) {
            return FleetChange::Older;
        }
        let first = self.first_listed(&id);
        let earlier = self.gone.get(&id).map_or(0, |gone| gone.born);
        let old = self.replicas.remove(&id);
        let born = old.as_ref().map_or(earlier, |old| old.entry.instance.started_at());
        self.note_gone(id, GoneMark { revision, born, first });
        let Some(old) = old else { return FleetChange::Unchanged };
        self.forget_entry(&old);
        FleetChange::Gone
    }

    /// Takes an entry that is held no more out of the digest and the index.
    fn forget_entry(&mut self, old: &HeldEntry) {
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

    fn note_gone(&mut self, id: String, mark: GoneMark) {
        self.gone.insert(id, mark);
        if self.gone.len() > MOST_GONE {
            let oldest = self.gone.iter().min_by_key(|(_, mark)| mark.revision);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.gone.remove(&id));
        }
    }

    /// Takes a replica's own word that it is leaving; tells whether that is news. It binds until the replica starts
    /// again: its entry may say for seconds that it takes requests, and a request that comes later than the time for
    /// which it serves on is lost.
    pub fn mark_draining(&mut self, instance: &ReplicaInstance) -> bool {
        let Some(held) = self.replicas.get_mut(instance.id()) else { return false };
        if held.entry.instance != *instance {
            return false;
        }
        let is_news = held.entry.state != EntryState::Draining;
        held.entry.state = EntryState::Draining;
        if self.leaving.len() >= MOST_GONE {
            let replicas = &self.replicas;
            let instances = |instance: &ReplicaInstance| {
                replicas.get(instance.id()).is_some_and(|held| held.entry.instance == *instance)
            };
            self.leaving.retain(instances);
        }
        self.leaving.insert(instance.clone());
        is_news
    }

    /// Keeps what is known of leaving replicas, whatever their entries say from now on: the store came back from a copy,
    /// which may be of before they said so.
    pub fn pin_draining(&mut self) {
        let held = self.replicas.values().map(|held| &held.entry);
        let leaving = held.filter(|entry| entry.state == EntryState::Draining);
        self.leaving.extend(leaving.map(|entry| entry.instance.clone()));
    }

    /// Whether a listed life was gone before the era in which it is listed began.
    pub fn was_removed_before(&self, news: &ReplicaUpdate) -> bool {
        let Some(entry) = &news.entry else { return false };
        self.gone.get(&news.id).is_some_and(|gone| {
            era_of(gone.revision) < era_of(news.revision)
                && entry.instance.started_at() <= gone.born
        })
    }

    /// Takes a replica's own word that it started again, where its entry is still one of an earlier life: it
    /// holds nothing that is known of. Gives the life that ended.
    pub fn apply_restart(
        &mut self,
        id: &str,
        born: Millis,
        now: Millis,
    ) -> Option<ReplicaInstance> {
        let held = self.replicas.get(id)?;
        let ended = held.entry.instance.clone();
        if born <= ended.started_at() || ended.started_at() == 0 {
            return None;
        }
        let entry =
            ReplicaEntry { instance: ended.restarted_at(born), layers: None, ..held.entry.clone() };
        let revision = held.revision;
        self.insert(entry, revision, now);
        Some(ended)
    }

    /// Revision of what is held of a replica.
    pub fn revision(&self, id: &str) -> Option<u64> {
        self.replicas.get(id).map(|held| held.revision)
    }

    /// Time since the last news of a replica, in milliseconds.
    pub fn age(&self, id: &str, now: Millis) -> Option<Millis> {
        self.replicas.get(id).map(|held| now.saturating_sub(held.taken))
    }

    /// Other replicas that are listed at an address: earlier starts, which ended there. A later start is
    /// never among them, since no entry of an earlier one is taken beside it.
    pub fn predecessors(&self, id: &str, address: SocketAddr) -> Vec<String> {
        let others = self.listed_at(address).map(|held| held.entry.instance.id());
        others.filter(|other| *other != id).map(str::to_owned).collect()
    }

    /// Ids that a list read at the revision `at` lacks. What is held at a higher revision was written after
    /// it was read.
    pub fn missing_from(&self, listed: &[ReplicaUpdate], at: u64) -> Vec<String> {
        let listed: HashSet<&str> = listed.iter().map(|news| news.id.as_str()).collect();
        let older = self.replicas.iter().filter(|(_, held)| held.revision <= at);
        let ids = older.map(|(id, _)| id).filter(|id| !listed.contains(id.as_str()));
        ids.cloned().collect()
    }

    /// Replica of that id.
    pub fn get(&self, id: &str) -> Option<&ReplicaEntry> {
        self.replicas.get(id).map(|held| &held.entry)
    }

    /// Replica in that life; nothing where it started again since, or is gone.
    pub fn get_current(&self, instance: &ReplicaInstance) -> Option<&ReplicaEntry> {
        self.get(instance.id()).filter(|entry| entry.instance == *instance)
    }

    /// Replica at that address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&ReplicaEntry> {
        let latest = self.named_at(address).max_by_key(|held| (held.first, held.revision));
        latest.map(|held| &held.entry)
    }

    /// All that is held, as news for another relay.
    pub fn updates(&self) -> impl Iterator<Item = ReplicaUpdate> {
        self.replicas.iter().map(|(id, held)| ReplicaUpdate {
            id: id.clone(),
            revision: held.revision,
            entry: Some(held.entry.clone()),
        })
    }

    /// Replicas of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaEntry> {
        self.entries().filter(move |replica| replica.service == service)
    }

    fn entries(&self) -> impl Iterator<Item = &ReplicaEntry> {
        self.replicas.values().map(|held| &held.entry)
    }

    /// Digest of the whole list: the same for two relays that know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Count of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether none is listed.
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
