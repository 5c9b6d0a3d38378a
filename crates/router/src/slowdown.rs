//! How slow each engine is at the moment.
//!
//! An engine tells in its reports by what factor it is slower than its kind of accelerator should be.
//! Paths go round slow engines where others hold the same layers. What was heard is dropped after a
//! while, so an engine that is well again needs no message to be used again.

use std::collections::HashMap;

use crate::{
    Millis,
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
};

/// Age at which what an engine told is dropped, in milliseconds: an engine is asked every two seconds,
/// and other entries repeat the answer several times a second.
pub const SLOWDOWN_MAX_AGE: Millis = 3_000;

/// Factor from which an engine counts as slow: below it lies the noise of its own measurement.
const SLOW: f64 = 1.25;

/// What is known of a slow engine.
#[derive(Clone, Copy, Debug)]
struct EnginePace {
    factor: f64,
    heard: Millis,
    /// Who asked it.
    origin: UpdateOrigin,
}

/// Factors by engine.
#[derive(Clone, Debug, Default)]
pub struct SlowdownTable {
    paces: HashMap<ReplicaInstance, EnginePace>,
}

impl SlowdownTable {
    /// Notes what an engine told this entry; tells whether it is news that the engine is slow, or that it
    /// no longer is.
    pub fn record(&mut self, instance: &ReplicaInstance, factor: f64, now: Millis) -> bool {
        let was_slow = self.factor(instance, now) > 1.0;
        let is_slow = factor >= SLOW;
        match is_slow {
            true => {
                self.insert(instance, EnginePace { factor, heard: now, origin: UpdateOrigin::Own })
            }
            false => self.forget(instance),
        }
        was_slow != is_slow
    }

    /// Takes over what another entry was told. What is known at first hand, and lately, counts for more.
    pub fn merge_peer(
        &mut self,
        instance: &ReplicaInstance,
        factor: f64,
        origin: UpdateOrigin,
        now: Millis,
    ) {
        let known = self.paces.get(instance).filter(|known| known.is_recent(now));
        if known.is_none_or(|known| known.origin <= origin) {
            self.insert(instance, EnginePace { factor, heard: now, origin });
        }
    }

    /// By what factor an engine is slow; 1 where nothing was heard lately.
    pub fn factor(&self, instance: &ReplicaInstance, now: Millis) -> f64 {
        let known = self.paces.get(instance).filter(|known| known.is_recent(now));
        known.map_or(1.0, |known| known.factor)
    }

    /// Slow engines that others are told of, with their factors: all that reach them by nobody else, or two entries would keep
    /// one alive between them.
    pub fn shared_with(
        &self,
        reach: UpdateAudience,
        now: Millis,
    ) -> impl Iterator<Item = (&ReplicaInstance, f64)> {
        let recent = self.paces.iter().filter(move |(_, known)| known.is_recent(now));
        let told = recent.filter(move |(_, known)| reach.includes(known.origin));
        told.map(|(instance, known)| (instance, known.factor))
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, instance: &ReplicaInstance) {
        self.paces.remove(instance);
    }

    fn insert(&mut self, instance: &ReplicaInstance, known: EnginePace) {
        self.paces.insert(instance.clone(), known);
    }
}

impl EnginePace {
    fn is_recent(&self, now: Millis) -> bool {
        now.saturating_sub(self.heard) < SLOWDOWN_MAX_AGE
    }
}
