//! Replicas to keep away from for a while.
//!
//! A failure seen by one entry is a sign, not a fact: the link may be at fault. So a suspicion ends by
//! itself, lasts longer each time it comes back, and is forgotten after a quiet time.

use std::collections::HashMap;

use crate::{
    Millis,
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
};

/// First time out in milliseconds: about a heartbeat of the replicas' list.
pub const BASE_SUSPICION_TIME: Millis = 1_000;

/// Longest time out in milliseconds: the list drops a dead replica well before.
pub const MAX_SUSPICION_TIME: Millis = 8_000;

/// Time left of a suspicion from which it is no longer told, in milliseconds: others heard of it before, and would take it for
/// a new one where it has just ended for them.
const LEAST_TOLD: Millis = 200;

/// Quiet time after which earlier suspicions no longer count, in milliseconds.
const FORGET: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    until: Millis,
    time_out: Millis,
    /// Who saw the failure.
    origin: UpdateOrigin,
}

/// Suspicions by replica.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    suspicions: HashMap<ReplicaInstance, Suspicion>,
}

impl SuspectList {
    /// Notes a failure of a replica; returns the time until which it is kept away from, where that is
    /// news.
    pub fn record_failure(&mut self, instance: &ReplicaInstance, now: Millis) -> Option<Millis> {
        let known = self.suspicions.get(instance).copied();
        let time_out = match known {
            Some(known) if now < known.until => {
                self.suspicions
                    .insert(instance.clone(), Suspicion { origin: UpdateOrigin::Own, ..known });
                return None;
            }
            Some(known) if now < known.until + FORGET => {
                (known.time_out * 2).min(MAX_SUSPICION_TIME)
            }
            _ => BASE_SUSPICION_TIME,
        };
        let until = now + time_out;
        self.suspicions
            .insert(instance.clone(), Suspicion { until, time_out, origin: UpdateOrigin::Own });
        Some(until)
    }

    /// Takes over a suspicion from another entry.
    pub fn merge(&mut self, instance: &ReplicaInstance, until: Millis, origin: UpdateOrigin) {
        let entry = self.suspicions.entry(instance.clone());
        let suspicion = entry.or_insert(Suspicion { until, time_out: BASE_SUSPICION_TIME, origin });
        if suspicion.until < until {
            *suspicion = Suspicion { until, origin: suspicion.origin.max(origin), ..*suspicion };
        }
    }

    /// Forgets a replica's suspicion after it worked.
    pub fn clear(&mut self, instance: &ReplicaInstance) {
        self.suspicions.remove(instance);
    }

    /// Whether a replica is kept away from.
    pub fn is_suspect(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.suspicions.get(instance).is_some_and(|suspicion| now < suspicion.until)
    }

    /// Whether a replica is kept away from for a failure that this entry saw itself.
    pub fn is_local(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.suspicions
            .get(instance)
            .is_some_and(|suspicion| suspicion.origin == UpdateOrigin::Own && now < suspicion.until)
    }

    /// Whether a suspicion for a failure that this entry saw itself ended no longer than `since` ago.
    pub fn ended_recently(&self, instance: &ReplicaInstance, since: Millis, now: Millis) -> bool {
        let known = self.suspicions.get(instance).filter(|known| known.origin == UpdateOrigin::Own);
        known.is_some_and(|known| known.until <= now && now < known.until + since)
    }

    /// Suspicions in force for failures that this entry saw itself, as [`SuspectList::current`]: what it only
    /// heard is not its to repeat. Each way takes its time, so entries that repeat each other's would keep
    /// a suspicion for longer than any of them meant.
    pub fn local(&self, now: Millis) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        self.current(now).filter(move |(instance, _)| self.is_local(instance, now))
    }

    /// Suspicions in force that others are told: all that reach them by nobody else.
    pub fn shared_with(
        &self,
        reach: UpdateAudience,
        now: Millis,
    ) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        let told = self.suspicions.iter().filter(move |(_, known)| reach.takes(known.origin));
        told.filter_map(move |(instance, known)| Some((instance, known.until.checked_sub(now)?)))
            .filter(|(_, left)| *left >= LEAST_TOLD)
    }

    /// Suspicions in force: lives, with the milliseconds that they still last.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        let all = self.suspicions.iter();
        all.filter(move |(_, suspicion)| now < suspicion.until)
            .map(move |(instance, suspicion)| (instance, suspicion.until - now))
    }
}
