//! Replicas to keep away from for a while.
//!
//! A failure seen by one entry is a sign, not a fact: the link may be at fault. So a suspicion ends by
//! itself, lasts longer each time it comes back, and is forgotten after a quiet time.

use std::collections::HashMap;

use crate::{
    Millis,
    life::ReplicaLife,
    origin::{NewsOrigin, NewsReach},
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
    origin: NewsOrigin,
}

/// Suspicions by replica.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    suspicions: HashMap<ReplicaLife, Suspicion>,
}

impl SuspectList {
    /// Notes a failure of a replica; returns the time until which it is kept away from, where that is
    /// news.
    pub fn record_failure(&mut self, life: &ReplicaLife, now: Millis) -> Option<Millis> {
        let known = self.suspicions.get(life).copied();
        let time_out = match known {
            Some(known) if now < known.until => {
                self.suspicions
                    .insert(life.clone(), Suspicion { origin: NewsOrigin::Own, ..known });
                return None;
            }
            Some(known) if now < known.until + FORGET => {
                (known.time_out * 2).min(MAX_SUSPICION_TIME)
            }
            _ => BASE_SUSPICION_TIME,
        };
        let until = now + time_out;
        self.suspicions
            .insert(life.clone(), Suspicion { until, time_out, origin: NewsOrigin::Own });
        Some(until)
    }

    /// Takes over a suspicion from another entry.
    pub fn merge(&mut self, life: &ReplicaLife, until: Millis, origin: NewsOrigin) {
        let entry = self.suspicions.entry(life.clone());
        let suspicion = entry.or_insert(Suspicion { until, time_out: BASE_SUSPICION_TIME, origin });
        if suspicion.until < until {
            *suspicion = Suspicion { until, origin: suspicion.origin.max(origin), ..*suspicion };
        }
    }

    /// Forgets a replica's suspicion after it worked.
    pub fn clear(&mut self, life: &ReplicaLife) {
        self.suspicions.remove(life);
    }

    /// Whether a replica is kept away from.
    pub fn is_suspect(&self, life: &ReplicaLife, now: Millis) -> bool {
        self.suspicions.get(life).is_some_and(|suspicion| now < suspicion.until)
    }

    /// Whether a replica is kept away from for a failure that this entry saw itself.
    pub fn is_local(&self, life: &ReplicaLife, now: Millis) -> bool {
        self.suspicions
            .get(life)
            .is_some_and(|suspicion| suspicion.origin == NewsOrigin::Own && now < suspicion.until)
    }

    /// Whether a suspicion for a failure that this entry saw itself ended no longer than `since` ago.
    pub fn ended_recently(&self, life: &ReplicaLife, since: Millis, now: Millis) -> bool {
        let known = self.suspicions.get(life).filter(|known| known.origin == NewsOrigin::Own);
        known.is_some_and(|known| known.until <= now && now < known.until + since)
    }

    /// Suspicions in force for failures that this entry saw itself, as [`SuspectList::current`]: what it only
    /// heard is not its to repeat. Each way takes its time, so entries that repeat each other's would keep
    /// a suspicion for longer than any of them meant.
    pub fn local(&self, now: Millis) -> impl Iterator<Item = (&ReplicaLife, Millis)> {
        self.current(now).filter(move |(life, _)| self.is_local(life, now))
    }

    /// Suspicions in force that others are told: all that reach them by nobody else.
    pub fn shared_with(
        &self,
        reach: NewsReach,
        now: Millis,
    ) -> impl Iterator<Item = (&ReplicaLife, Millis)> {
        let told = self.suspicions.iter().filter(move |(_, known)| reach.takes(known.origin));
        told.filter_map(move |(life, known)| Some((life, known.until.checked_sub(now)?)))
            .filter(|(_, left)| *left >= LEAST_TOLD)
    }

    /// Suspicions in force: lives, with the milliseconds that they still last.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = (&ReplicaLife, Millis)> {
        let all = self.suspicions.iter();
        all.filter(move |(_, suspicion)| now < suspicion.until)
            .map(move |(life, suspicion)| (life, suspicion.until - now))
    }
}
