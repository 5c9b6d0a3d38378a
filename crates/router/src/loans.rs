//! Retries that relays lend each other.
//!
//! A relay may spend what its own requests earned and an equal share of the allowance, while
//! failures may all be at a few relays. A relay whose budget is exhausted asks others. The lender
//! charges its own budget at once, so the bound over all relays holds without agreement, and a lost
//! or late message only leaves retries unused. A loan must be spent within [`loan_lifetime`] of its
//! request by the clock of the borrower, so that its arrival counts in the window of the lender's
//! charge.
//!
//! The trade-off: a retry that needs a loan waits for a round trip. Worst case: what is left at many
//! relays is found by asking a few at a time, so that a short burst leaves some of it unused.

use std::collections::HashMap;

use crate::{Millis, budget::BudgetConfig};

/// Maximum number of relays that are asked at once.
const MAX_RELAYS_PER_ROUND: usize = 8;

/// Smallest amount that is asked of one relay, in retries.
const MIN_AMOUNT: f64 = 0.1;

/// Largest amount that one relay lends at once, in retries.
pub const MAX_AMOUNT: f64 = 64.0;

/// Shortest and longest pause between two rounds, in milliseconds. The pause grows while no loan
/// arrives.
const MIN_PAUSE: Millis = 20;
const MAX_PAUSE: Millis = 160;

/// Returns the time from the request of a loan until it expires, in milliseconds.
pub fn loan_lifetime(config: &BudgetConfig) -> Millis {
    config.charge_lifetime()
}

/// Requests of one relay for loans to one service.
#[derive(Clone, Debug, Default)]
pub struct LoanRequests {
    /// Number of retries that wait for a loan.
    waiting: usize,
    /// Time of the unanswered request to each relay.
    pending: HashMap<String, Millis>,
    /// Earliest time of the next round.
    next_round: Millis,
    pause: Millis,
}

impl LoanRequests {
    /// Records that a retry begins to wait for a loan.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Records that a retry no longer waits for a loan.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns how many of the other relays to ask, and the amount to ask each for, or `None` if no
    /// round is due. `available` is what this relay may still spend.
    pub fn begin_round(
        &mut self,
        relays: usize,
        available: f64,
        now: Millis,
    ) -> Option<(usize, f64)> {
        let missing = self.waiting.max(1) as f64 - available;
        let asked = relays.min(MAX_RELAYS_PER_ROUND);
        if missing <= 0.0 || asked == 0 || now < self.next_round {
            return None;
        }
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.next_round = now + self.pause;
        Some((asked, (missing / asked as f64).clamp(MIN_AMOUNT, MAX_AMOUNT)))
    }

    /// Records that a relay is asked for a loan.
    pub fn record_sent(&mut self, relay: &str, now: Millis) {
        self.pending.insert(relay.to_owned(), now);
    }

    /// Returns the expiry of a loan that answers the request sent to a relay at `sent`, or `None` if
    /// it is late, or no such request is open, as for a message that arrives twice.
    pub fn accept(
        &mut self,
        relay: &str,
        sent: Millis,
        lifetime: Millis,
        now: Millis,
    ) -> Option<Millis> {
        if self.pending.get(relay) != Some(&sent) {
            return None;
        }
        self.pending.remove(relay);
        self.pause = 0;
        self.next_round = now;
        (now < sent + lifetime).then_some(sent + lifetime)
    }

    /// Returns whether a loan that was asked for may still arrive in time.
    pub fn is_pending(&mut self, lifetime: Millis, now: Millis) -> bool {
        self.pending.retain(|_, sent| now < *sent + lifetime);
        !self.pending.is_empty()
    }
}
