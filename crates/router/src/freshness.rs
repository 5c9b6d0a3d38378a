//! Lease on the configuration: whether the known configuration is recent enough.
//!
//! A key that was removed must not be accepted once a bound has passed, not even by a relay that
//! was cut off or paused without noticing. So each relay holds a lease, which starts at the time at
//! which it *sent* the last read that the store answered in its present order. The lease is checked
//! when a request is dispatched, without a timer, so a pause of the process cannot delay its end.

use crate::Millis;

/// Time by which the lease ends before the bound, in milliseconds: one second in which a store may
/// report nothing to its watches before it drops its history, and half a second for the request to
/// reach the replica.
pub const LEASE_MARGIN: Millis = 1_500;

/// When the configuration was last proved to be in force, and when the store last answered for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessLease {
    /// By this relay's clock; negative if another relay proved it before this one's start.
    proved: Option<i64>,
    answered: Option<Millis>,
    lost: Option<Millis>,
}

impl FreshnessLease {
    /// Records that a read sent at `sent` was answered.
    pub fn record_proof(&mut self, sent: Millis) {
        self.record_proof_at(sent as i64);
    }

    /// Records a proof for a time by this relay's clock, which is negative before its start.
    pub fn record_proof_at(&mut self, time: i64) {
        self.proved = self.proved.max(Some(time));
    }

    /// Records that the store answered at `now`.
    pub fn record_answer(&mut self, now: Millis) {
        self.answered = self.answered.max(Some(now));
    }

    /// Returns the time since the store last answered, in milliseconds. It shows whether the store
    /// is available, to which an answer to an early read counts as well; the age of the state is
    /// [`FreshnessLease::age`].
    pub fn answer_age(&self, now: Millis) -> Option<Millis> {
        self.answered.map(|answered| now.saturating_sub(answered))
    }

    /// Records that a read sent at `sent` got no answer.
    pub fn record_loss(&mut self, sent: Millis) {
        self.lost = self.lost.max(Some(sent));
    }

    /// Returns whether the last read, by the time at which it was sent, got no answer. Another
    /// relay's earlier proof does not change that.
    pub fn is_lost(&self) -> bool {
        self.lost.map(|lost| lost as i64) > self.proved
    }

    /// Returns whether keys may be accepted under a bound of `bound` milliseconds.
    pub fn is_valid(&self, bound: Millis, now: Millis) -> bool {
        let max_age = bound.saturating_sub(LEASE_MARGIN);
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns the age of the lease in milliseconds; `None` if there was no proof yet.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proved.map(|proved| (now as i64 - proved).max(0) as Millis)
    }
}
