//! The share of the retry allowance that a relay holds.
//!
//! The allowance applies to all relays together. Every relay holds an equal share, so the number of
//! relays must never be taken for smaller than it is. A relay therefore holds no share until it has
//! read a list of the relays, and not in its first window, in which an earlier instance of it may
//! have spent the share. A relay that was not listed when it started holds none for
//! [`NEWCOMER_TIME`]: relays that are cut off from the store and from it still divide the allowance
//! without it.
//!
//! The trade-off: after a restart of all relays during an outage of the store, the allowance is
//! not used until the store is back. Worst case: while relays are replaced one after the other,
//! the shares of the replaced ones stay unused for a minute.

use crate::{Millis, membership::PEER_EXPIRY};

/// Time after its start for which a newly added relay holds no share, in milliseconds. By then each
/// relay that can reach the store or the new relay has learnt of it.
pub const NEWCOMER_TIME: Millis = PEER_EXPIRY;

/// Time for which a former, larger number of relays remains in force, in milliseconds.
const LARGEST_RETENTION: Millis = PEER_EXPIRY;

/// The share of one relay.
#[derive(Clone, Debug, Default)]
pub struct AllowanceShare {
    started: Millis,
    /// Whether no instance of any relay ran before this one. No caller comes before the relays have
    /// learnt of each other then.
    is_first_start: bool,
    /// Whether the first list that was read included this relay; `None` before that.
    was_listed: Option<bool>,
    /// Largest known number of relays, and when it was last observed.
    largest: (usize, Millis),
}

impl AllowanceShare {
    /// Creates the share of a relay that started at `started`. `is_first_start` states that the
    /// whole system starts for the first time.
    pub fn starting_at(started: Millis, is_first_start: bool) -> Self {
        Self { started, is_first_start, was_listed: None, largest: (1, started) }
    }

    /// Records that a list of the relays was read. `is_listed` states whether it includes this
    /// relay; only the first list counts, since the relay adds itself to later ones.
    pub fn record_list(&mut self, is_listed: bool) {
        self.was_listed.get_or_insert(is_listed);
    }

    /// Records the number of relays that this one knows, itself included.
    pub fn record_relays(&mut self, relays: usize, now: Millis) {
        let (largest, seen) = self.largest;
        if relays >= largest || now.saturating_sub(seen) >= LARGEST_RETENTION {
            self.largest = (relays, now);
        }
    }

    /// Returns the fraction of the allowance that this relay holds, in 0..=1. `window` is the length
    /// of the budget's window in milliseconds.
    pub fn fraction(&self, window: Millis, now: Millis) -> f64 {
        let min_age = match self.was_listed {
            None => return 0.0,
            Some(_) if self.is_first_start => 0,
            Some(true) => window,
            Some(false) => NEWCOMER_TIME.max(window),
        };
        match now.saturating_sub(self.started) < min_age {
            true => 0.0,
            false => 1.0 / self.largest.0.max(1) as f64,
        }
    }
}
