//! How slow each engine is at the moment.
//!
//! An engine tells in its reports by what factor it is slower than its kind of accelerator should be.
//! Paths go round slow engines where others hold the same layers. What was heard is dropped after a
//! while, so an engine that is well again needs no message to be used again.

use std::collections::HashMap;

use crate::{Millis, life::ReplicaLife};

/// Age at which what an engine told is dropped, in milliseconds: an engine is asked every two seconds,
/// and other entries repeat the answer several times a second.
pub const PACE_AGE: Millis = 3_000;

/// Factor from which an engine counts as slow: below it lies the noise of its own measurement.
const SLOW: f64 = 1.25;

/// What is known of a slow engine.
#[derive(Clone, Copy, Debug)]
struct EnginePace {
    factor: f64,
    heard: Millis,
    /// Whether this entry asked it itself.
    asked: bool,
}

/// Factors by engine.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    paces: HashMap<ReplicaLife, EnginePace>,
}

impl PaceTable {
    /// Notes what an engine told this entry; tells whether it is news that the engine is slow, or that it
    /// no longer is.
    pub fn note(&mut self, life: &ReplicaLife, factor: f64, now: Millis) -> bool {
        let was_slow = self.factor(life, now) > 1.0;
        let is_slow = factor >= SLOW;
        match is_slow {
            true => drop(self.insert(life, EnginePace { factor, heard: now, asked: true })),
            false => drop(self.paces.remove(life)),
        }
        was_slow != is_slow
    }

    /// Takes over what another entry was told.
    pub fn take_over(&mut self, life: &ReplicaLife, factor: f64, now: Millis) {
        let asked = self.paces.get(life).is_some_and(|known| known.asked);
        if !asked {
            self.insert(life, EnginePace { factor, heard: now, asked: false });
        }
    }

    /// By what factor an engine is slow; 1 where nothing was heard lately.
    pub fn factor(&self, life: &ReplicaLife, now: Millis) -> f64 {
        let known = self.paces.get(life).filter(|known| known.is_recent(now));
        known.map_or(1.0, |known| known.factor)
    }

    /// Slow engines that this entry asked itself, with their factors: what it only heard is not its to
    /// repeat, or two entries would keep it alive between them.
    pub fn asked(&self, now: Millis) -> impl Iterator<Item = (&ReplicaLife, f64)> {
        let own = self.paces.iter().filter(move |(_, known)| known.asked && known.is_recent(now));
        own.map(|(life, known)| (life, known.factor))
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, life: &ReplicaLife) {
        self.paces.remove(life);
    }

    fn insert(&mut self, life: &ReplicaLife, known: EnginePace) -> Option<EnginePace> {
        self.paces.insert(life.clone(), known)
    }
}

impl EnginePace {
    fn is_recent(&self, now: Millis) -> bool {
        now.saturating_sub(self.heard) < PACE_AGE
    }
}
