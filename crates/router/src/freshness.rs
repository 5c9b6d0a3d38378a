//! Whether what is known of the configuration is recent enough.
//!
//! A key that was taken away must not be let in after a bound, also at an entry that was cut off or
//! paused without noticing. So each entry holds a lease: the time at which it *sent* the last read that
//! the store answered in its present order. The lease is checked at the moment of dispatch; no timer is
//! involved, so a pause of the process cannot make it late.

use crate::Millis;

/// Time by which the lease ends before the bound. Covers a store that tells watches of nothing for a
/// second before it drops its history, and half a second for the request to reach the replica.
pub const LEASE_MARGIN: Millis = 1_500;

/// When the configuration was last proved to be in force, and when the store last answered for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessLease {
    /// By this relay's clock; what another one proved may lie before its start.
    proved: Option<i64>,
    answered: Option<Millis>,
    lost: Option<Millis>,
}

impl FreshnessLease {
    /// Notes that a read sent at `sent` was answered.
    pub fn record_proof(&mut self, sent: Millis) {
        self.record_proof_at(sent as i64);
    }

    /// Notes a proof of a time by this relay's clock, which is negative before its start.
    pub fn record_proof_at(&mut self, time: i64) {
        self.proved = self.proved.max(Some(time));
    }

    /// Notes that the store answered at `now`.
    pub fn record_answer(&mut self, now: Millis) {
        self.answered = self.answered.max(Some(now));
    }

    /// Time since the store last answered, in milliseconds: a sign that it is there, which a read sent
    /// long before proves as well; what was proved says how old the state may be.
    pub fn answer_age(&self, now: Millis) -> Option<Millis> {
        self.answered.map(|answered| now.saturating_sub(answered))
    }

    /// Notes that a read sent at `sent` got no answer.
    pub fn record_loss(&mut self, sent: Millis) {
        self.lost = self.lost.max(Some(sent));
    }

    /// Whether the last read, by the time at which it was sent, got no answer. Another relay's proof of
    /// before that does not undo it.
    pub fn is_lost(&self) -> bool {
        self.lost.map(|lost| lost as i64) > self.proved
    }

    /// Whether keys may be let in under a bound of `bound` milliseconds.
    pub fn is_valid(&self, bound: Millis, now: Millis) -> bool {
        let most = bound.saturating_sub(LEASE_MARGIN);
        self.age(now).is_some_and(|age| age <= most)
    }

    /// Age of the lease in milliseconds.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proved.map(|proved| (now as i64 - proved).max(0) as Millis)
    }
}
