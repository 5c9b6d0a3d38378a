//! Tracks the memory that requests reserve at each replica.
//!
//! An engine that runs out of memory preempts requests and computes their prompts again, and
//! everything queued behind them waits. Each relay therefore adds up what its own requests may
//! occupy at most, sends the sums to the other relays, and chooses paths by the total. Amounts are
//! in tokens times layers. The same ledger counts reserved slots, with an amount of 1 for each
//! request.

use std::collections::HashMap;

use crate::{Millis, instance::ReplicaInstance};

/// Age at which the reservations of another relay expire, in milliseconds: some of its reports were
/// lost, or it has stopped and its requests with it.
pub const PEER_MAX_AGE: Millis = 2_000;

/// Reservations of one other relay, or the sum over all others.
#[derive(Clone, Debug, Default)]
struct PeerReservations {
    received: Millis,
    amounts: HashMap<ReplicaInstance, f64>,
}

/// Reservations at each replica, of this relay and of the others.
///
/// The totals are updated with each change: every choice of a path reads the total of every
/// replica, and adding it up over hundreds of relays each time would take most of a small VM.
#[derive(Clone, Debug, Default)]
pub struct ReservationLedger {
    own: HashMap<ReplicaInstance, f64>,
    peers: HashMap<String, PeerReservations>,
    sums: [PeerReservations; 2],
    total: HashMap<ReplicaInstance, f64>,
}

/// The replicas that a sum over all other relays is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SumScope {
    /// Replicas of this relay's data centre.
    SameDataCentre,
    /// All other replicas.
    OtherDataCentres,
}

/// Amounts below this count as zero: amounts are integers, up to the rounding errors of sums.
const MIN_AMOUNT: f64 = 0.5;

fn add(sums: &mut HashMap<ReplicaInstance, f64>, instance: &ReplicaInstance, amount: f64) {
    match sums.get_mut(instance) {
        Some(sum) => {
            *sum += amount;
            if *sum < MIN_AMOUNT {
                sums.remove(instance);
            }
        }
        None if amount >= MIN_AMOUNT => drop(sums.insert(instance.clone(), amount)),
        None => {}
    }
}

impl ReservationLedger {
    /// Adds a reservation of this relay at a replica.
    pub fn reserve(&mut self, instance: &ReplicaInstance, amount: f64) {
        add(&mut self.own, instance, amount);
        add(&mut self.total, instance, amount);
    }

    /// Removes a reservation of this relay at a replica.
    pub fn release(&mut self, instance: &ReplicaInstance, amount: f64) {
        add(&mut self.own, instance, -amount);
        add(&mut self.total, instance, -amount);
    }

    /// Replaces the reservations of another relay by those that it reported.
    pub fn merge_peer(&mut self, peer: &str, amounts: HashMap<ReplicaInstance, f64>, now: Millis) {
        amounts.iter().for_each(|(instance, amount)| add(&mut self.total, instance, *amount));
        let reservations = PeerReservations { received: now, amounts };
        if let Some(earlier) = self.peers.insert(peer.to_owned(), reservations) {
            self.subtract(&earlier);
        }
    }

    /// Replaces the sum over all other relays at the replicas of a scope, as one of these relays
    /// computed it.
    pub fn merge_sum(
        &mut self,
        scope: SumScope,
        amounts: HashMap<ReplicaInstance, f64>,
        now: Millis,
    ) {
        amounts.iter().for_each(|(instance, amount)| add(&mut self.total, instance, *amount));
        let sum = PeerReservations { received: now, amounts };
        let earlier = std::mem::replace(&mut self.sums[scope as usize], sum);
        self.subtract(&earlier);
    }

    /// Removes the sums over all other relays; used when this relay starts to receive their
    /// reservations one by one.
    pub fn clear_sums(&mut self) {
        let sums = std::mem::take(&mut self.sums);
        sums.iter().for_each(|sum| self.subtract(sum));
    }

    /// Removes the reservations and sums of other relays that are older than [`PEER_MAX_AGE`].
    pub fn expire(&mut self, now: Millis) {
        let is_expired =
            |peer: &PeerReservations| now.saturating_sub(peer.received) >= PEER_MAX_AGE;
        let peers = self.peers.extract_if(|_, peer| is_expired(peer)).map(|(_, peer)| peer);
        let mut expired: Vec<PeerReservations> = peers.collect();
        expired.extend(self.sums.iter_mut().filter(|sum| is_expired(sum)).map(std::mem::take));
        expired.iter().for_each(|peer| self.subtract(peer));
    }

    /// Returns the sum of the reservations of this relay and of the peers for which `includes` is
    /// true, by replica.
    pub fn sum_with(&self, includes: impl Fn(&str) -> bool) -> HashMap<&ReplicaInstance, f64> {
        let peers = self.peers.iter().filter(|(name, _)| includes(name));
        let peers = peers.flat_map(|(_, peer)| &peer.amounts);
        let mut sum: HashMap<&ReplicaInstance, f64> = HashMap::new();
        for (instance, amount) in self.own.iter().chain(peers) {
            *sum.entry(instance).or_default() += amount;
        }
        sum
    }

    /// Returns the sum of all reservations except those of one peer, by replica.
    pub fn total_without<'a>(
        &'a self,
        peer: &str,
    ) -> impl Iterator<Item = (&'a ReplicaInstance, f64)> + use<'a> {
        let excluded = self.peers.get(peer).map(|peer| &peer.amounts);
        let rest = self.total.iter().map(move |(instance, amount)| {
            (
                instance,
                amount
                    - excluded
                        .and_then(|excluded| excluded.get(instance))
                        .copied()
                        .unwrap_or_default(),
            )
        });
        rest.filter(|(_, amount)| *amount >= MIN_AMOUNT)
    }

    fn subtract(&mut self, peer: &PeerReservations) {
        peer.amounts.iter().for_each(|(instance, amount)| add(&mut self.total, instance, -amount));
    }

    /// Returns when the oldest report among those of the peers for which `includes` is true arrived;
    /// `None` if there is none.
    pub fn oldest_report(&self, includes: impl Fn(&str) -> bool) -> Option<Millis> {
        let peers = self.peers.iter().filter(|(name, _)| includes(name));
        peers.map(|(_, peer)| peer.received).min()
    }

    /// Returns when the sum over all other relays at the replicas of a scope last arrived; 0 if it
    /// never did or has expired.
    pub fn sum_received(&self, scope: SumScope) -> Millis {
        self.sums[scope as usize].received
    }

    /// Returns whether there is no reservation at all: as far as this relay knows, no request runs.
    pub fn is_idle(&self) -> bool {
        let mut others = self.peers.values().chain(&self.sums);
        self.own.is_empty() && others.all(|peer| peer.amounts.is_empty())
    }

    /// Returns the reservations of this relay, by replica.
    pub fn own(&self) -> &HashMap<ReplicaInstance, f64> {
        &self.own
    }

    /// Returns the sum of all reservations at a replica.
    pub fn reserved(&self, instance: &ReplicaInstance) -> f64 {
        self.total.get(instance).copied().unwrap_or(0.0)
    }
}

/// Time for which a first replica that rejected a request counts as full, in milliseconds: until
/// the reservations of the other relays there are known, and a few of its requests have ended.
pub const FULL_DURATION: Millis = 250;

/// First replicas that recently had no free slot for a request.
///
/// Guards against a simultaneous restart of all entry VMs: all callers then arrive within a quarter
/// of a second, before any relay knows of the others' reservations. One first replica gets twice as
/// many requests as it has slots, and without this table each relay would learn that anew with each
/// request.
#[derive(Clone, Debug, Default)]
pub struct FullReplicas {
    until: HashMap<ReplicaInstance, Millis>,
}

impl FullReplicas {
    /// Records that a replica rejected a request because it had no free slot.
    pub fn record_rejection(&mut self, instance: &ReplicaInstance, now: Millis) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(instance.clone(), now + FULL_DURATION);
    }

    /// Returns whether a replica counts as full.
    pub fn is_full(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.until.get(instance).is_some_and(|until| now < *until)
    }
}
