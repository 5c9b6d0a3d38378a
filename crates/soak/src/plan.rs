//! Faults of a seed: what is done to the site, and when.
//!
//! Faults come in series and overlap. The plan is a pure function of the seed and the site's shape.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::LinkMood;

/// Counts of what a site has.
#[derive(Clone, Copy, Debug)]
pub struct SiteShape {
    /// Relays.
    pub relays: usize,
    /// Engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub desks: usize,
    /// Callers.
    pub callers: usize,
}

impl SiteShape {
    /// Replicas of both services.
    pub fn replicas(&self) -> usize {
        self.engines + self.desks
    }
}

/// What is done to the site; numbers name relays or replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A relay is killed, and started again at the end.
    KillRelay(usize),
    /// All relays are killed at once.
    KillRelays,
    /// A relay is told to stop, and started again once it has.
    StopRelay(usize),
    /// A relay stands still.
    PauseRelay(usize),
    /// A relay is told that its settings file changed.
    HangUpRelay(usize),
    /// A replica is killed, and started again, empty, at the end.
    KillReplica(usize),
    /// A replica stands still.
    PauseReplica(usize),
    /// A replica says that it leaves, serves on for a while, and ends.
    DrainReplica(usize),
    /// The link to a replica is disturbed.
    DisturbReplica(usize, LinkMood),
    /// The link of a relay to the store is disturbed.
    DisturbStore(usize, LinkMood),
    /// The store refuses all calls.
    StoreBusy,
    /// The store says nothing.
    StoreSilent,
    /// The store forgets its history.
    StoreForgets,
    /// The operator writes a new version that changes nothing.
    NewVersion,
    /// The operator takes a key away.
    RemoveKey,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What is done.
    pub fault: Fault,
}

/// Shortest and longest time between the beginnings of two faults, in milliseconds.
const GAPS: std::ops::Range<u64> = 100..1_600;

/// Shortest and longest time that a fault lasts, in milliseconds: the longest is above the bound on
/// removed keys, so that a relay wakes with an old configuration.
const LENGTHS: std::ops::Range<u64> = 100..6_500;

/// Makes the plan of a seed for a run of `length`.
pub fn make_plan(seed: u64, shape: &SiteShape, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = 0;
    loop {
        at += random.random_range(GAPS);
        let at = Duration::from_millis(at);
        if at >= length {
            return plan;
        }
        let lasts = Duration::from_millis(random.random_range(LENGTHS)).min(length - at);
        plan.push(PlannedFault { at, lasts, fault: draw_fault(&mut random, shape) });
    }
}

fn draw_fault(random: &mut ChaCha8Rng, shape: &SiteShape) -> Fault {
    let relay = random.random_range(0..shape.relays);
    let replica = random.random_range(0..shape.replicas());
    let mood = draw_mood(random);
    match random.random_range(0..18) {
        0 => Fault::KillRelay(relay),
        1 => Fault::KillRelays,
        2..=4 => Fault::StopRelay(relay),
        5 => Fault::PauseRelay(relay),
        6 => Fault::HangUpRelay(relay),
        7 => Fault::KillReplica(replica),
        8 => Fault::PauseReplica(replica),
        9 => Fault::DrainReplica(replica),
        10 | 11 => Fault::DisturbReplica(replica, mood),
        12 => Fault::DisturbStore(relay, mood),
        13 => Fault::StoreBusy,
        14 => Fault::StoreSilent,
        15 => Fault::StoreForgets,
        16 => Fault::NewVersion,
        _ => Fault::RemoveKey,
    }
}

fn draw_mood(random: &mut ChaCha8Rng) -> LinkMood {
    match random.random_range(0..4) {
        0 => LinkMood::Delayed(Duration::from_millis(random.random_range(5..400))),
        1 => LinkMood::Reset,
        2 => LinkMood::OneWay,
        _ => LinkMood::Silent,
    }
}
