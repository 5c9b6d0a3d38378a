//! Replicas as the platform lists them.

use std::{collections::BTreeMap, net::SocketAddr};

use switchfold_core::hash::hash_bytes;

use crate::Millis;

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

/// One replica of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// Id of this start of the replica.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Kind of accelerator; empty for plain services.
    pub kind: String,
    /// Layers that it holds; nothing where it is empty or a plain service.
    pub layers: Option<LayerRange>,
}

/// What the store said of one replica at a revision, whoever passes it on.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaNews {
    /// Id of the replica.
    pub id: String,
    /// Revision of the store at which it was so.
    pub revision: u64,
    /// Its entry; nothing where it is listed no more.
    pub entry: Option<ReplicaEntry>,
}

/// Digest of one entry. Entries are combined by exclusive or, so order does not matter. With the revision,
/// two relays that hold the same digest hold what the store said at the same revisions. The revision is not
/// the seed: for short texts a seed is only combined by exclusive or, and two entries cancel each other.
fn entry_digest(held: &HeldEntry) -> u64 {
    let text = format!("{} {}", held.entry.id, held.revision);
    hash_bytes(0, text.as_bytes())
}

/// What news changed for one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// It was not listed before.
    Joined,
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
    /// Nothing: the news is older than what is known, whoever passed it on.
    Older,
}

/// An entry as it is held.
#[derive(Clone, Debug)]
struct HeldEntry {
    entry: ReplicaEntry,
    revision: u64,
    taken: Millis,
}

/// Replicas that are gone whose last revisions are kept. News of one that is older comes from a process
/// that stood still at most for minutes; 160 replicas are replaced on an ordinary day.
const MOST_GONE: usize = 1_024;

/// All replicas that are listed, by id.
///
/// Of two news of a replica the one of the higher revision counts, in whatever order and from whomever
/// they come. So all relays that hear of the same news hold the same, and none goes back.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    replicas: BTreeMap<String, HeldEntry>,
    /// Revisions at which replicas were gone.
    gone: BTreeMap<String, u64>,
    digest: u64,
}

impl FleetView {
    /// Takes news of a replica, where it is newer than what is known.
    pub fn take(&mut self, news: ReplicaNews, now: Millis) -> FleetChange {
        if self.newest(&news.id).is_some_and(|known| news.revision < known) {
            return FleetChange::Older;
        }
        match news.entry {
            Some(entry) => self.insert(entry, news.revision, now),
            None => self.remove(news.id, news.revision),
        }
    }

    /// Highest revision that is known of a replica, also of one that is gone.
    fn newest(&self, id: &str) -> Option<u64> {
        self.revision(id).max(self.gone.get(id).copied())
    }

    fn insert(&mut self, entry: ReplicaEntry, revision: u64, now: Millis) -> FleetChange {
        let is_over = self.gone.get(&entry.id).is_some_and(|gone| revision <= *gone);
        let successor = |held: &HeldEntry| {
            held.entry.address == entry.address
                && held.entry.id != entry.id
                && held.revision > revision
        };
        if is_over || self.replicas.values().any(successor) {
            return FleetChange::Older;
        }
        let change = match self.get(&entry.id) {
            None => FleetChange::Joined,
            Some(old) if *old == entry => FleetChange::Unchanged,
            Some(old) if entry.draining && !old.draining => FleetChange::Draining,
            Some(old) if old.draining && !entry.draining => FleetChange::Returned,
            Some(_) => FleetChange::Updated,
        };
        self.gone.remove(&entry.id);
        let held = HeldEntry { entry, revision, taken: now };
        self.digest ^= entry_digest(&held);
        let old = self.replicas.insert(held.entry.id.clone(), held);
        self.digest ^= old.as_ref().map_or(0, entry_digest);
        change
    }

    fn remove(&mut self, id: String, revision: u64) -> FleetChange {
        let old = self.replicas.remove(&id);
        self.note_gone(id, revision);
        let Some(old) = old else { return FleetChange::Unchanged };
        self.digest ^= entry_digest(&old);
        FleetChange::Gone
    }

    fn note_gone(&mut self, id: String, revision: u64) {
        self.gone.insert(id, revision);
        if self.gone.len() > MOST_GONE {
            let oldest = self.gone.iter().min_by_key(|(_, revision)| **revision);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.gone.remove(&id));
        }
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
    /// never among them, since no older entry is taken beside it.
    pub fn predecessors(&self, id: &str, address: SocketAddr) -> Vec<String> {
        let others = self.entries().filter(|other| other.address == address);
        others.filter(|other| other.id != id).map(|other| other.id.clone()).collect()
    }

    /// Ids that a list read at the revision `at` lacks. What is held at a higher revision was written after
    /// it was read.
    pub fn missing_from(&self, listed: &[ReplicaNews], at: u64) -> Vec<String> {
        let is_listed = |id: &String| listed.iter().any(|news| news.id == *id);
        let older = self.replicas.iter().filter(|(_, held)| held.revision <= at);
        older.map(|(id, _)| id).filter(|id| !is_listed(id)).cloned().collect()
    }

    /// Replica of that id.
    pub fn get(&self, id: &str) -> Option<&ReplicaEntry> {
        self.replicas.get(id).map(|held| &held.entry)
    }

    /// Replica at that address.
    pub fn at(&self, address: SocketAddr) -> Option<&ReplicaEntry> {
        self.entries().find(|replica| replica.address == address)
    }

    /// All that is held, as news for another relay.
    pub fn news(&self) -> impl Iterator<Item = ReplicaNews> {
        self.replicas.iter().map(|(id, held)| ReplicaNews {
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
