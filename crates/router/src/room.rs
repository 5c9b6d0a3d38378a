//! Memory for requests that is promised at each replica.
//!
//! An engine that runs out of memory preempts requests and reads them again, and everything behind it
//! waits. So each entry adds up what its own requests will hold at most, tells the other entries, and
//! chooses paths by the sum. Counted in tokens times layers.

use std::collections::HashMap;

use crate::{Millis, life::ReplicaLife};

/// Age at which another entry's figures are dropped, in milliseconds: some of its reports were lost, or
/// it is gone and its requests with it.
pub const PEER_AGE: Millis = 2_000;

/// Figures of another entry.
#[derive(Clone, Debug, Default)]
struct PeerRoom {
    heard: Millis,
    promised: HashMap<ReplicaLife, f64>,
}

/// What is promised at each replica, by this entry and by the others.
#[derive(Clone, Debug, Default)]
pub struct RoomLedger {
    own: HashMap<ReplicaLife, f64>,
    peers: HashMap<String, PeerRoom>,
}

impl RoomLedger {
    /// Promises room at a replica.
    pub fn promise(&mut self, life: &ReplicaLife, amount: f64) {
        *self.own.entry(life.clone()).or_default() += amount;
    }

    /// Releases room at a replica.
    pub fn release(&mut self, life: &ReplicaLife, amount: f64) {
        if let Some(promised) = self.own.get_mut(life) {
            *promised -= amount;
            if *promised < 0.5 {
                self.own.remove(life);
            }
        }
    }

    /// Takes over the figures of another entry.
    pub fn hear(&mut self, peer: &str, promised: HashMap<ReplicaLife, f64>, now: Millis) {
        self.peers.insert(peer.to_owned(), PeerRoom { heard: now, promised });
    }

    /// Drops what was heard too long ago.
    pub fn forget(&mut self, now: Millis) {
        self.peers.retain(|_, peer| now.saturating_sub(peer.heard) < PEER_AGE);
    }

    /// Whether nobody promised any room: no request runs, as far as is known.
    pub fn is_idle(&self) -> bool {
        self.own.is_empty() && self.peers.values().all(|peer| peer.promised.is_empty())
    }

    /// What this entry promised.
    pub fn own(&self) -> &HashMap<ReplicaLife, f64> {
        &self.own
    }

    /// What all entries promised at a replica.
    pub fn promised(&self, life: &ReplicaLife) -> f64 {
        let own = self.own.get(life).copied().unwrap_or(0.0);
        let peers = self.peers.values().filter_map(|peer| peer.promised.get(life));
        own + peers.sum::<f64>()
    }
}
