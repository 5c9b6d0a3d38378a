//! A budget of repeats over a sliding window, shared by all entries.
//!
//! The platform allows a service, in any window, `ratio` times its requests plus a fixed allowance of
//! repeats over all entries. Each entry spends the ratio on its own requests and an even part of the
//! allowance, so the sum stays below the bound whatever the entries hear of each other.
//!
//! An entry that restarts does not know what it spent before. For a whole window it therefore spends only
//! a small part of its share of the allowance: two restarts of every entry within a window stay below the
//! bound. The trade-off: right after a restart of everything, few requests get a second send.

use std::collections::VecDeque;

use crate::Millis;

/// Width of a bucket in milliseconds: a twentieth of the usual window, so that the rounding costs 5%.
const BUCKET: Millis = 500;

/// Part of the earned repeats that is spent; the rest absorbs requests that never arrived.
const SPENT_PART: f64 = 0.8;

/// Part of its share of the allowance that an entry spends in its first window: with [`SPENT_PART`] spent
/// before, two restarts within a window use up the whole share.
const RESTART_PART: f64 = 0.1;

/// Bounds of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside these, over all entries.
    pub allowance: f64,
    /// Window in milliseconds.
    pub window: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    requests: u32,
    repeats: u32,
}

/// Repeats and requests of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    begun: Millis,
}

impl RetryBudget {
    /// Makes the budget of an entry that began at that time and knows nothing from before.
    pub fn starting_at(begun: Millis) -> Self {
        Self { buckets: VecDeque::new(), begun }
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Whether the budget has a repeat; `entries` share the allowance.
    pub fn can_retry(&mut self, config: &BudgetConfig, entries: usize, now: Millis) -> bool {
        self.forget(config.window, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = config.allowance / entries.max(1) as f64;
        let is_new = now.saturating_sub(self.begun) < config.window;
        let share_part = if is_new { RESTART_PART } else { SPENT_PART };
        let most = f64::from(requests) * config.ratio * SPENT_PART + share * share_part;
        f64::from(repeats) + 1.0 <= most
    }

    /// Takes one repeat where the budget has one.
    pub fn spend(&mut self, config: &BudgetConfig, entries: usize, now: Millis) -> bool {
        let enough = self.can_retry(config, entries, now);
        if enough {
            self.bucket(now).repeats += 1;
        }
        enough
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let start = now / BUCKET * BUCKET;
        if self.buckets.back().is_none_or(|bucket| bucket.start != start) {
            self.buckets.push_back(Bucket { start, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed")
    }

    fn forget(&mut self, window: Millis, now: Millis) {
        let horizon = now.saturating_sub(window + BUCKET);
        while self.buckets.front().is_some_and(|bucket| bucket.start < horizon) {
            self.buckets.pop_front();
        }
    }
}
