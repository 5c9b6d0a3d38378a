//! Tracks how slow each engine is at the moment.
//!
//! The reports of an engine contain the factor by which it is slower than its kind of accelerator
//! should be. Paths avoid slow engines if others hold the same layers. Reported factors expire, so
//! an engine that recovered is used again without any message.

use std::collections::HashMap;

use crate::{
    Millis,
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
};

/// Age at which a reported factor expires, in milliseconds. An engine is polled every two seconds,
/// and other relays repeat its report several times a second.
pub const SLOWDOWN_MAX_AGE: Millis = 3_000;

/// Factor from which an engine counts as slow; smaller ones are within the noise of its own
/// measurement.
const MIN_SLOWDOWN: f64 = 1.25;

#[derive(Clone, Copy, Debug)]
struct EngineSlowdown {
    factor: f64,
    received: Millis,
    /// Which relay polled the engine.
    origin: UpdateOrigin,
}

/// The factors of slow engines.
#[derive(Clone, Debug, Default)]
pub struct SlowdownTable {
    slowdowns: HashMap<ReplicaInstance, EngineSlowdown>,
}

impl SlowdownTable {
    /// Records the factor that an engine reported to this relay; returns whether the engine became
    /// slow or ceased to be slow.
    pub fn record(&mut self, instance: &ReplicaInstance, factor: f64, now: Millis) -> bool {
        let was_slow = self.factor(instance, now) > 1.0;
        let is_slow = factor >= MIN_SLOWDOWN;
        match is_slow {
            true => self.insert(
                instance,
                EngineSlowdown { factor, received: now, origin: UpdateOrigin::Local },
            ),
            false => self.remove(instance),
        }
        was_slow != is_slow
    }

    /// Merges a factor that an engine reported to another relay. A recent factor from a closer
    /// origin is kept.
    pub fn merge_peer(
        &mut self,
        instance: &ReplicaInstance,
        factor: f64,
        origin: UpdateOrigin,
        now: Millis,
    ) {
        let known = self.slowdowns.get(instance).filter(|known| known.is_recent(now));
        if known.is_none_or(|known| known.origin <= origin) {
            self.insert(instance, EngineSlowdown { factor, received: now, origin });
        }
    }

    /// Returns the factor by which an engine is slow; 1 if no recent report says that it is.
    pub fn factor(&self, instance: &ReplicaInstance, now: Millis) -> f64 {
        let known = self.slowdowns.get(instance).filter(|known| known.is_recent(now));
        known.map_or(1.0, |known| known.factor)
    }

    /// Returns the slow engines to report to other relays, with their factors: those that they
    /// would otherwise not receive. Two relays that forwarded each other's entries would keep them
    /// from expiring.
    pub fn shared_with(
        &self,
        audience: UpdateAudience,
        now: Millis,
    ) -> impl Iterator<Item = (&ReplicaInstance, f64)> {
        let recent = self.slowdowns.iter().filter(move |(_, known)| known.is_recent(now));
        let shared = recent.filter(move |(_, known)| audience.includes(known.origin));
        shared.map(|(instance, known)| (instance, known.factor))
    }

    /// Removes an engine that is gone.
    pub fn remove(&mut self, instance: &ReplicaInstance) {
        self.slowdowns.remove(instance);
    }

    fn insert(&mut self, instance: &ReplicaInstance, known: EngineSlowdown) {
        self.slowdowns.insert(instance.clone(), known);
    }
}

impl EngineSlowdown {
    fn is_recent(&self, now: Millis) -> bool {
        now.saturating_sub(self.received) < SLOWDOWN_MAX_AGE
    }
}
