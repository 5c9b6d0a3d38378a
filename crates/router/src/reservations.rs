//! Memory for requests that is promised at each replica.
//!
//! An engine that runs out of memory preempts requests and reads them again, and everything behind it
//! waits. So each entry adds up what its own requests will hold at most, tells the other entries, and
//! chooses paths by the sum. Counted in tokens times layers.

use std::collections::HashMap;

use crate::{Millis, instance::ReplicaInstance};

/// Age at which another entry's figures are dropped, in milliseconds: some of its reports were lost, or
/// it is gone and its requests with it.
pub const PEER_MAX_AGE: Millis = 2_000;

/// Figures of another entry, or of all others together.
#[derive(Clone, Debug, Default)]
struct PeerRoom {
    heard: Millis,
    promised: HashMap<ReplicaInstance, f64>,
}

/// What is promised at each replica, by this entry and by the others.
///
/// Sums are kept as figures come and go, since every choice of a path asks for that of every replica: added up anew
/// over hundreds of entries for each, they would take most of a small VM.
#[derive(Clone, Debug, Default)]
pub struct ReservationLedger {
    own: HashMap<ReplicaInstance, f64>,
    peers: HashMap<String, PeerRoom>,
    sums: [PeerRoom; 2],
    total: HashMap<ReplicaInstance, f64>,
}

/// A part of the replicas, of which one entry tells another what all together promised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SumScope {
    /// Those of the data centre.
    SameDataCentre,
    /// All others.
    OtherDataCentres,
}

/// Amount below which nothing is promised: figures are whole numbers, but for what sums lose.
const NOTHING: f64 = 0.5;

fn add(sums: &mut HashMap<ReplicaInstance, f64>, instance: &ReplicaInstance, amount: f64) {
    match sums.get_mut(instance) {
        Some(sum) => {
            *sum += amount;
            if *sum < NOTHING {
                sums.remove(instance);
            }
        }
        None if amount >= NOTHING => drop(sums.insert(instance.clone(), amount)),
        None => {}
    }
}

impl ReservationLedger {
    /// Promises room at a replica.
    pub fn reserve(&mut self, instance: &ReplicaInstance, amount: f64) {
        add(&mut self.own, instance, amount);
        add(&mut self.total, instance, amount);
    }

    /// Releases room at a replica.
    pub fn release(&mut self, instance: &ReplicaInstance, amount: f64) {
        add(&mut self.own, instance, -amount);
        add(&mut self.total, instance, -amount);
    }

    /// Takes over the figures of another entry.
    pub fn merge_peer(&mut self, peer: &str, promised: HashMap<ReplicaInstance, f64>, now: Millis) {
        promised.iter().for_each(|(instance, amount)| add(&mut self.total, instance, *amount));
        let room = PeerRoom { heard: now, promised };
        if let Some(earlier) = self.peers.insert(peer.to_owned(), room) {
            self.take_off(&earlier);
        }
    }

    /// Takes over what all other entries promised at a part of the replicas, as one of them adds it up.
    pub fn merge_sum(
        &mut self,
        part: SumScope,
        promised: HashMap<ReplicaInstance, f64>,
        now: Millis,
    ) {
        promised.iter().for_each(|(instance, amount)| add(&mut self.total, instance, *amount));
        let sum = PeerRoom { heard: now, promised };
        let earlier = std::mem::replace(&mut self.sums[part as usize], sum);
        self.take_off(&earlier);
    }

    /// Drops the sums of all others: this entry hears them one by one from now on.
    pub fn clear_sums(&mut self) {
        let sums = std::mem::take(&mut self.sums);
        sums.iter().for_each(|sum| self.take_off(sum));
    }

    /// Drops what was heard too long ago.
    pub fn expire(&mut self, now: Millis) {
        let is_old = |peer: &PeerRoom| now.saturating_sub(peer.heard) >= PEER_MAX_AGE;
        let peers = self.peers.extract_if(|_, peer| is_old(peer)).map(|(_, peer)| peer);
        let mut old: Vec<PeerRoom> = peers.collect();
        old.extend(self.sums.iter_mut().filter(|sum| is_old(sum)).map(std::mem::take));
        old.iter().for_each(|peer| self.take_off(peer));
    }

    /// What this entry and those that `counts` names promised together.
    pub fn sum_with(&self, counts: impl Fn(&str) -> bool) -> HashMap<&ReplicaInstance, f64> {
        let members = self.peers.iter().filter(|(name, _)| counts(name));
        let members = members.flat_map(|(_, peer)| &peer.promised);
        let mut gathered: HashMap<&ReplicaInstance, f64> = HashMap::new();
        for (instance, amount) in self.own.iter().chain(members) {
            *gathered.entry(instance).or_default() += amount;
        }
        gathered
    }

    /// What all entries but one promised, by replica.
    pub fn total_without<'a>(
        &'a self,
        peer: &str,
    ) -> impl Iterator<Item = (&'a ReplicaInstance, f64)> + use<'a> {
        let told = self.peers.get(peer).map(|peer| &peer.promised);
        let left = self.total.iter().map(move |(instance, amount)| {
            (
                instance,
                amount - told.and_then(|told| told.get(instance)).copied().unwrap_or_default(),
            )
        });
        left.filter(|(_, amount)| *amount >= NOTHING)
    }

    fn take_off(&mut self, peer: &PeerRoom) {
        peer.promised.iter().for_each(|(instance, amount)| add(&mut self.total, instance, -amount));
    }

    /// Whether nobody promised any room: no request runs, as far as is known.
    pub fn is_idle(&self) -> bool {
        let mut others = self.peers.values().chain(&self.sums);
        self.own.is_empty() && others.all(|peer| peer.promised.is_empty())
    }

    /// What this entry promised.
    pub fn own(&self) -> &HashMap<ReplicaInstance, f64> {
        &self.own
    }

    /// What all entries promised at a replica.
    pub fn reserved(&self, instance: &ReplicaInstance) -> f64 {
        self.total.get(instance).copied().unwrap_or(0.0)
    }
}

/// Time for which a first replica that rejected a request has no place, in milliseconds: until what the other entries
/// begin there is heard, and a few of its requests have ended.
pub const FULL_DURATION: Millis = 250;

/// First replicas that had no place for a request a moment ago.
///
/// The load: after all entry VMs were stopped at once all callers come within a quarter of a second, before any entry has
/// heard of another; one first replica gets twice what it has places for, and each entry would find that out with each
/// request anew.
#[derive(Clone, Debug, Default)]
pub struct FullReplicas {
    until: HashMap<ReplicaInstance, Millis>,
}

impl FullReplicas {
    /// Notes that a replica rejected a request for want of a place.
    pub fn record_rejection(&mut self, instance: &ReplicaInstance, now: Millis) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(instance.clone(), now + FULL_DURATION);
    }

    /// Whether a replica counts as having none.
    pub fn is_full(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.until.get(instance).is_some_and(|until| now < *until)
    }
}
