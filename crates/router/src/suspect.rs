//! Replicas to keep away from for a while.
//!
//! A failure seen by one entry is a sign, not a fact: the link may be at fault. So a suspicion ends by
//! itself, lasts longer each time it comes back, and is forgotten after a quiet time.

use std::collections::HashMap;

use crate::Millis;

/// First time out in milliseconds: about a heartbeat of the replicas' list.
pub const FIRST_TIME_OUT: Millis = 1_000;

/// Longest time out in milliseconds: the list drops a dead replica well before.
pub const LONGEST_TIME_OUT: Millis = 8_000;

/// Quiet time after which earlier suspicions no longer count, in milliseconds.
const FORGET: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    until: Millis,
    time_out: Millis,
    /// Whether this entry saw a failure itself.
    own: bool,
}

/// Suspicions by replica.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    suspicions: HashMap<String, Suspicion>,
}

impl SuspectList {
    /// Notes a failure of a replica; returns the time until which it is kept away from, where that is
    /// news.
    pub fn note_failure(&mut self, id: &str, now: Millis) -> Option<Millis> {
        let known = self.suspicions.get(id).copied();
        let time_out = match known {
            Some(known) if now < known.until => {
                self.suspicions.insert(id.to_owned(), Suspicion { own: true, ..known });
                return None;
            }
            Some(known) if now < known.until + FORGET => (known.time_out * 2).min(LONGEST_TIME_OUT),
            _ => FIRST_TIME_OUT,
        };
        let until = now + time_out;
        self.suspicions.insert(id.to_owned(), Suspicion { until, time_out, own: true });
        Some(until)
    }

    /// Takes over a suspicion from another entry.
    pub fn take_over(&mut self, id: &str, until: Millis) {
        let entry = self.suspicions.entry(id.to_owned());
        let suspicion = entry.or_insert(Suspicion { until, time_out: FIRST_TIME_OUT, own: false });
        suspicion.until = suspicion.until.max(until);
    }

    /// Forgets a replica's suspicion after it worked.
    pub fn clear(&mut self, id: &str) {
        self.suspicions.remove(id);
    }

    /// Whether a replica is kept away from.
    pub fn is_suspect(&self, id: &str, now: Millis) -> bool {
        self.suspicions.get(id).is_some_and(|suspicion| now < suspicion.until)
    }

    /// Whether a replica is kept away from for a failure that this entry saw itself.
    pub fn is_own(&self, id: &str, now: Millis) -> bool {
        self.suspicions.get(id).is_some_and(|suspicion| suspicion.own && now < suspicion.until)
    }

    /// Suspicions in force for failures that this entry saw itself, as [`SuspectList::current`]: what it only
    /// heard is not its to repeat. Each way takes its time, so entries that repeat each other's would keep
    /// a suspicion for longer than any of them meant.
    pub fn own(&self, now: Millis) -> impl Iterator<Item = (&str, Millis)> {
        self.current(now).filter(move |(id, _)| self.is_own(id, now))
    }

    /// Suspicions in force: ids, with the milliseconds that they still last.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = (&str, Millis)> {
        let all = self.suspicions.iter();
        all.filter(move |(_, suspicion)| now < suspicion.until)
            .map(move |(id, suspicion)| (id.as_str(), suspicion.until - now))
    }
}
