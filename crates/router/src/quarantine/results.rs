//! Requests that had a result lately.

use std::collections::HashMap;

use crate::{Millis, fingerprint::RequestFingerprint};

/// Requests remembered for having had a result, and twice as many at most.
const MOST_PROVEN: usize = 4_096;

/// Time for which they are remembered at least, in milliseconds.
const PROVEN_FOR: Millis = 60_000;

/// Requests that had a result lately, in two generations: the older one goes when the younger is full or old.
#[derive(Clone, Debug, Default)]
pub(super) struct ProvenSet {
    young: HashMap<RequestFingerprint, Millis>,
    old: HashMap<RequestFingerprint, Millis>,
    since: Millis,
}

impl ProvenSet {
    pub(super) fn add(&mut self, fingerprint: &RequestFingerprint, now: Millis) {
        let is_full = self.young.len() >= MOST_PROVEN;
        if is_full || now.saturating_sub(self.since) >= PROVEN_FOR {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        self.young.insert(*fingerprint, now);
    }

    /// When a request last had a result, where it had one lately.
    pub(super) fn last(&self, fingerprint: &RequestFingerprint) -> Option<Millis> {
        self.young.get(fingerprint).or_else(|| self.old.get(fingerprint)).copied()
    }
}
