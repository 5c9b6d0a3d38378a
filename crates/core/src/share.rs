//! Distribution of an organisation's rate limit over the entries.
//!
//! One entry, the owner of the organisation, collects the demand of each entry and splits the limit
//! by max-min fairness (water filling): no entry gets more than its demand while another is short,
//! and the rest is divided evenly. The share of an entry that has lost contact with the owner
//! decays step by step to the even share, so that the sum over all entries converges to the limit.

use crate::Millis;

/// Splits `limit` over the demands by max-min fairness. The result is in the order of the demands
/// and its sum never exceeds `limit`.
///
/// Takes `O(n log n)`, to sort the demands.
pub fn split_limit(limit: u64, demands: &[u64]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| (demands[*index], *index));
    let mut remaining = limit;
    for (position, index) in order.iter().enumerate() {
        let unserved = (demands.len() - position) as u64;
        let share = demands[*index].min(remaining / unserved);
        shares[*index] = share;
        remaining -= share;
    }
    let Some(count) = u64::try_from(demands.len()).ok().filter(|count| *count > 0) else {
        return shares;
    };
    let (even, rest) = (remaining / count, remaining % count);
    for (index, share) in shares.iter_mut().enumerate() {
        *share += even + u64::from((index as u64) < rest);
    }
    shares
}

/// Time for which a share stays in force without contact with the owner, in milliseconds. After
/// that its excess over the even share halves with each lease.
pub const SHARE_LEASE_MS: Millis = 5_000;

/// Returns the share in force `since` milliseconds after the last contact with the owner: `share`
/// within the lease, then decaying to the even share of `limit`.
pub fn decayed_share(share: u64, limit: u64, entries: u64, since: Millis) -> u64 {
    let even = limit / entries.max(1);
    if since <= SHARE_LEASE_MS || share <= even {
        return share;
    }
    let leases = (since / SHARE_LEASE_MS).min(63);
    even + ((share - even) >> leases)
}

/// Parts per request: the balance of a bucket is counted in thousandths of a request.
const PARTS_PER_REQUEST: u64 = 1_000;

/// Token bucket that enforces a rate limit at one entry.
#[derive(Clone, Debug)]
pub struct RateBucket {
    parts: u64,
    refilled_at: Millis,
}

impl RateBucket {
    /// Creates a full bucket for a rate of `per_s` requests per second.
    pub fn new(per_s: u64, now: Millis) -> Self {
        Self { parts: per_s * PARTS_PER_REQUEST, refilled_at: now }
    }

    /// Takes one request from the bucket. Returns whether there was one. `per_s` is the rate now in
    /// force in requests per second, and also the largest burst.
    pub fn try_take(&mut self, per_s: u64, now: Millis) -> bool {
        let passed = now.saturating_sub(self.refilled_at);
        let max_parts = per_s.max(1) * PARTS_PER_REQUEST;
        self.parts = (self.parts + passed * per_s).min(max_parts);
        self.refilled_at = self.refilled_at.max(now);
        let enough = self.parts >= PARTS_PER_REQUEST;
        if enough {
            self.parts -= PARTS_PER_REQUEST;
        }
        enough
    }

    /// Returns the time until the next request is allowed, in milliseconds.
    pub fn time_to_next(&self, per_s: u64) -> Millis {
        let missing = PARTS_PER_REQUEST.saturating_sub(self.parts);
        missing.div_ceil(per_s.max(1))
    }
}
