//! Shares of an organisation's limit over many entries.
//!
//! The organisation's home entry hears what each entry wants and deals out the limit by water
//! filling: nobody gets more than it wants while another goes short, and what is left goes round
//! evenly. An entry out of touch with the home falls back step by step to the even share, so the sum
//! over all entries returns to the limit by itself.

use crate::Millis;

/// Deals out `limit` by demand; the result is in the order of the demands and never sums above it.
///
/// Sorts the demands, so `n log n`.
pub fn split_limit(limit: u64, demands: &[u64]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| (demands[*index], *index));
    let mut left = limit;
    for (served, index) in order.iter().enumerate() {
        let waiting = (demands.len() - served) as u64;
        let share = demands[*index].min(left / waiting);
        shares[*index] = share;
        left -= share;
    }
    let Some(count) = u64::try_from(demands.len()).ok().filter(|count| *count > 0) else {
        return shares;
    };
    let (even, rest) = (left / count, left % count);
    for (index, share) in shares.iter_mut().enumerate() {
        *share += even + u64::from((index as u64) < rest);
    }
    shares
}

/// How long a share holds without word from the home.
pub const SHARE_LEASE_MS: Millis = 5_000;

/// Share in force `since` milliseconds after the home's last word.
pub fn decayed_share(share: u64, limit: u64, entries: u64, since: Millis) -> u64 {
    let even = limit / entries.max(1);
    if since <= SHARE_LEASE_MS || share <= even {
        return share;
    }
    let leases = (since / SHARE_LEASE_MS).min(63);
    even + ((share - even) >> leases)
}

/// Tokens of a bucket are counted in thousandths.
const PARTS: u64 = 1_000;

/// A rate limit at one entry, refilled by its share.
#[derive(Clone, Debug)]
pub struct RateBucket {
    parts: u64,
    filled: Millis,
}

impl RateBucket {
    /// Makes a bucket that is full for `per_s`.
    pub fn new(per_s: u64, now: Millis) -> Self {
        Self { parts: per_s * PARTS, filled: now }
    }

    /// Takes one where there is one; `per_s` is the share now in force, and also the burst.
    pub fn try_take(&mut self, per_s: u64, now: Millis) -> bool {
        let passed = now.saturating_sub(self.filled);
        let most = per_s.max(1) * PARTS;
        self.parts = (self.parts + passed * per_s).min(most);
        self.filled = self.filled.max(now);
        let enough = self.parts >= PARTS;
        if enough {
            self.parts -= PARTS;
        }
        enough
    }

    /// Milliseconds until the next one.
    pub fn time_to_next(&self, per_s: u64) -> Millis {
        let missing = PARTS.saturating_sub(self.parts);
        missing.div_ceil(per_s.max(1))
    }
}
