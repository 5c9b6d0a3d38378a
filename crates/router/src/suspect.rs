//! Replicas that are suspected of having failed and get no requests for a while.
//!
//! A failure observed by one relay is evidence but no proof: the link between the two may be at
//! fault. A suspicion therefore expires by itself, lasts longer each time it recurs, and no longer
//! counts after a period without failures.

use std::collections::HashMap;

use crate::{
    Millis,
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
};

/// Duration of a first suspicion, in milliseconds: about one heartbeat of the replica list.
pub const BASE_SUSPICION_TIME: Millis = 1_000;

/// Maximum duration of a suspicion, in milliseconds. The replica list drops a dead replica well
/// before.
pub const MAX_SUSPICION_TIME: Millis = 8_000;

/// Remaining time below which a suspicion is no longer shared, in milliseconds. Other relays have
/// received it before; a message that arrives after the suspicion expired there would start it
/// anew.
const MIN_SHARED_TIME: Millis = 200;

/// Time after its end for which a suspicion makes the next one longer, in milliseconds.
const HISTORY_RETENTION: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    until: Millis,
    duration: Millis,
    /// Which relay observed the failure.
    origin: UpdateOrigin,
}

/// Suspicions by replica.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    suspicions: HashMap<ReplicaInstance, Suspicion>,
}

impl SuspectList {
    /// Records a failure of a replica that this relay observed. Returns the end of the suspicion if
    /// a new one starts, and `None` if the replica is already suspected.
    pub fn record_failure(&mut self, instance: &ReplicaInstance, now: Millis) -> Option<Millis> {
        let known = self.suspicions.get(instance).copied();
        let duration = match known {
            Some(known) if now < known.until => {
                self.suspicions
                    .insert(instance.clone(), Suspicion { origin: UpdateOrigin::Local, ..known });
                return None;
            }
            Some(known) if now < known.until + HISTORY_RETENTION => {
                (known.duration * 2).min(MAX_SUSPICION_TIME)
            }
            _ => BASE_SUSPICION_TIME,
        };
        let until = now + duration;
        self.suspicions
            .insert(instance.clone(), Suspicion { until, duration, origin: UpdateOrigin::Local });
        Some(until)
    }

    /// Merges a suspicion of another relay that lasts for `remaining` milliseconds from `now` on,
    /// at most as long as one lasts here. The later end wins.
    pub fn merge_peer(
        &mut self,
        instance: &ReplicaInstance,
        remaining: Millis,
        origin: UpdateOrigin,
        now: Millis,
    ) {
        let until = now + remaining.min(MAX_SUSPICION_TIME);
        let entry = self.suspicions.entry(instance.clone());
        let suspicion = entry.or_insert(Suspicion { until, duration: BASE_SUSPICION_TIME, origin });
        if suspicion.until < until {
            *suspicion = Suspicion { until, origin: suspicion.origin.max(origin), ..*suspicion };
        }
    }

    /// Removes a replica's suspicion and its history, after the replica worked.
    pub fn clear(&mut self, instance: &ReplicaInstance) {
        self.suspicions.remove(instance);
    }

    /// Returns whether a replica is suspected.
    pub fn is_suspect(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.suspicions.get(instance).is_some_and(|suspicion| now < suspicion.until)
    }

    /// Returns whether a replica is suspected because of a failure that this relay observed itself.
    pub fn is_local(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.suspicions.get(instance).is_some_and(|suspicion| {
            suspicion.origin == UpdateOrigin::Local && now < suspicion.until
        })
    }

    /// Returns whether a suspicion for a failure that this relay observed itself ended within the
    /// last `period` milliseconds.
    pub fn ended_recently(&self, instance: &ReplicaInstance, period: Millis, now: Millis) -> bool {
        let known =
            self.suspicions.get(instance).filter(|known| known.origin == UpdateOrigin::Local);
        known.is_some_and(|known| known.until <= now && now < known.until + period)
    }

    /// Returns the suspicions in force for failures that this relay observed itself, like
    /// [`SuspectList::current`]. Suspicions of other relays are left out: each transit takes time,
    /// so relays that forwarded each other's suspicions would prolong them beyond the duration that
    /// any of them chose.
    pub fn local(&self, now: Millis) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        self.current(now).filter(move |(instance, _)| self.is_local(instance, now))
    }

    /// Returns the suspicions to send to other relays, with the remaining time in milliseconds:
    /// those that they would otherwise not receive.
    pub fn shared_with(
        &self,
        audience: UpdateAudience,
        now: Millis,
    ) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        let shared =
            self.suspicions.iter().filter(move |(_, known)| audience.includes(known.origin));
        shared
            .filter_map(move |(instance, known)| Some((instance, known.until.checked_sub(now)?)))
            .filter(|(_, remaining)| *remaining >= MIN_SHARED_TIME)
    }

    /// Returns the suspicions in force, with the remaining time in milliseconds.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        let all = self.suspicions.iter();
        all.filter(move |(_, suspicion)| now < suspicion.until)
            .map(move |(instance, suspicion)| (instance, suspicion.until - now))
    }
}
