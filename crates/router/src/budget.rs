//! Retry budget over a sliding window, shared by all relays.
//!
//! In any window, the platform allows a service retries of up to `ratio` times its requests plus a
//! fixed allowance, summed over all relays. Each relay spends the ratio on its own requests and an
//! equal share of the allowance, so the sum stays below the bound even if the relays know nothing
//! of each other's retries.
//!
//! A restarted relay does not know how many retries it sent before. For one whole window it
//! therefore spends only a small part of its share of the allowance, so that two restarts of every
//! relay within a window stay below the bound. The trade-off: right after all relays restart, few
//! requests can be retried.

use std::collections::VecDeque;

use crate::Millis;

/// Width of a bucket, in milliseconds: a twentieth of the usual window, so that rounding costs 5%.
const BUCKET: Millis = 500;

/// Fraction of the earned retries that is spent. The rest covers requests that were counted but
/// never arrived.
const SPENT_FRACTION: f64 = 0.8;

/// Fraction of its share of the allowance that a relay spends in its first window. With
/// [`SPENT_FRACTION`] spent before, two restarts within a window use up the whole share.
const RESTART_FRACTION: f64 = 0.1;

/// Bounds of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window on top of the ratio, over all relays.
    pub allowance: f64,
    /// Length of the window, in milliseconds.
    pub window: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// Counts of requests and retries of one service at one relay.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    started: Millis,
}

impl RetryBudget {
    /// Creates the budget of a relay that started at `started` and has no counts from before.
    pub fn starting_at(started: Millis) -> Self {
        Self { buckets: VecDeque::new(), started }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Returns whether the budget allows one more retry. `relays` is the number of relays that
    /// share the allowance.
    pub fn can_retry(&mut self, config: &BudgetConfig, relays: usize, now: Millis) -> bool {
        self.expire(config.window, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let share = config.allowance / relays.max(1) as f64;
        let is_new = now.saturating_sub(self.started) < config.window;
        let share_fraction = if is_new { RESTART_FRACTION } else { SPENT_FRACTION };
        let max_retries =
            f64::from(requests) * config.ratio * SPENT_FRACTION + share * share_fraction;
        f64::from(retries) + 1.0 <= max_retries
    }

    /// Spends one retry if the budget allows it, and returns whether it did.
    pub fn spend(&mut self, config: &BudgetConfig, relays: usize, now: Millis) -> bool {
        let is_allowed = self.can_retry(config, relays, now);
        if is_allowed {
            self.bucket(now).retries += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let start = now / BUCKET * BUCKET;
        if self.buckets.back().is_none_or(|bucket| bucket.start != start) {
            self.buckets.push_back(Bucket { start, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed")
    }

    fn expire(&mut self, window: Millis, now: Millis) {
        let cutoff = now.saturating_sub(window + BUCKET);
        while self.buckets.front().is_some_and(|bucket| bucket.start < cutoff) {
            self.buckets.pop_front();
        }
    }
}
