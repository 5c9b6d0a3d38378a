//! Replicas as the platform lists them.

use std::{collections::BTreeMap, net::SocketAddr};

use switchfold_core::hash::hash_bytes;

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

/// Digest of one entry. Entries are combined by exclusive or, so order does not matter.
fn replica_digest(replica: &ReplicaEntry) -> u64 {
    let layers = replica.layers.map_or((0, 0), |range| (range.from, range.to));
    let text = format!("{} {} {} {layers:?}", replica.id, replica.address, replica.draining);
    hash_bytes(0, text.as_bytes())
}

/// What an update of the list changed for one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// It was not listed before.
    Joined,
    /// It says that it will leave.
    Draining,
    /// It is listed no more.
    Gone,
    /// Anything else.
    Updated,
    /// Nothing.
    Unchanged,
}

/// All replicas that are listed, by id.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    replicas: BTreeMap<String, ReplicaEntry>,
    digest: u64,
}

impl FleetView {
    /// Takes over a replica's entry.
    pub fn upsert(&mut self, replica: ReplicaEntry) -> FleetChange {
        let old = self.replicas.get(&replica.id);
        let change = match old {
            None => FleetChange::Joined,
            Some(old) if *old == replica => return FleetChange::Unchanged,
            Some(old) if replica.draining && !old.draining => FleetChange::Draining,
            Some(_) => FleetChange::Updated,
        };
        self.digest ^= replica_digest(&replica);
        let old = self.replicas.insert(replica.id.clone(), replica);
        self.digest ^= old.as_ref().map_or(0, replica_digest);
        change
    }

    /// Other replicas that are listed at an address: earlier starts, which ended there.
    pub fn predecessors(&self, id: &str, address: SocketAddr) -> Vec<String> {
        let others = self.replicas.values().filter(|other| other.address == address);
        others.filter(|other| other.id != id).map(|other| other.id.clone()).collect()
    }

    /// Drops a replica.
    pub fn remove(&mut self, id: &str) -> FleetChange {
        match self.replicas.remove(id) {
            Some(old) => {
                self.digest ^= replica_digest(&old);
                FleetChange::Gone
            }
            None => FleetChange::Unchanged,
        }
    }

    /// Ids that are not among `listed`.
    pub fn missing_from(&self, listed: &[ReplicaEntry]) -> Vec<String> {
        let is_listed = |id: &String| listed.iter().any(|replica| replica.id == *id);
        self.replicas.keys().filter(|id| !is_listed(id)).cloned().collect()
    }

    /// Replica of that id.
    pub fn get(&self, id: &str) -> Option<&ReplicaEntry> {
        self.replicas.get(id)
    }

    /// Replica at that address.
    pub fn at(&self, address: SocketAddr) -> Option<&ReplicaEntry> {
        self.replicas.values().find(|replica| replica.address == address)
    }

    /// Replicas of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaEntry> {
        self.replicas.values().filter(move |replica| replica.service == service)
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
