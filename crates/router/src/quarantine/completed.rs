//! Requests that recently had a result.

use std::collections::HashMap;

use crate::{Millis, fingerprint::RequestFingerprint};

/// Number of requests per generation; up to twice as many are remembered.
const GENERATION_SIZE: usize = 4_096;

/// Maximum age of the younger generation, in milliseconds. Unless a generation fills up earlier, a
/// request is remembered for at least this long.
const GENERATION_TIME: Millis = 60_000;

/// Requests that recently had a result, in two generations. When the younger one is full or too
/// old, it replaces the older one.
#[derive(Clone, Debug, Default)]
pub(super) struct CompletedSet {
    young: HashMap<RequestFingerprint, Millis>,
    old: HashMap<RequestFingerprint, Millis>,
    /// Start of the younger generation.
    since: Millis,
}

impl CompletedSet {
    pub(super) fn add(&mut self, fingerprint: &RequestFingerprint, now: Millis) {
        let is_full = self.young.len() >= GENERATION_SIZE;
        if is_full || now.saturating_sub(self.since) >= GENERATION_TIME {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        self.young.insert(*fingerprint, now);
    }

    /// Returns when a request last had a result, if it is remembered.
    pub(super) fn last(&self, fingerprint: &RequestFingerprint) -> Option<Millis> {
        self.young.get(fingerprint).or_else(|| self.old.get(fingerprint)).copied()
    }
}
