//! Retry budget and back-off.
//!
//! The budget keeps retries from multiplying the load during an outage. Each success adds a
//! fraction of a retry; each retry costs one. During a long outage nothing is added, so the total
//! load stays below `1 + fraction` times the offered load, plus the initial reserve.

use rand::{Rng, RngExt};

use crate::Millis;

/// Parts per retry: the balance is counted in thousandths of a retry, so that it is an integer.
const PARTS_PER_RETRY: u64 = 1_000;

/// Parameters of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Retries that a thousand successes add.
    pub per_thousand: u64,
    /// Maximum balance in retries, and also the initial balance.
    pub reserve: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self { per_thousand: 100, reserve: 32 }
    }
}

/// Balance of retries that may still be made.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    parts: u64,
}

impl RetryBudget {
    /// Creates a budget with a full reserve.
    pub fn new(config: RetryConfig) -> Self {
        Self { config, parts: config.reserve * PARTS_PER_RETRY }
    }

    /// Adds the fraction of a retry that a success is worth, up to the reserve.
    pub fn record_success(&mut self) {
        let max_parts = self.config.reserve * PARTS_PER_RETRY;
        self.parts = (self.parts + self.config.per_thousand).min(max_parts);
    }

    /// Takes one retry from the balance. Returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.parts >= PARTS_PER_RETRY;
        if enough {
            self.parts -= PARTS_PER_RETRY;
        }
        enough
    }
}

/// Upper bound of the first wait of a back-off, in milliseconds.
const INITIAL_BACKOFF_MS: Millis = 20;

/// Maximum wait of a back-off, in milliseconds.
const MAX_BACKOFF_MS: Millis = 5_000;

/// Exponential back-off. Each wait is drawn at random between half of its upper bound and the
/// bound, so that processes that lost a service at the same time do not return to it at the same
/// time.
#[derive(Debug)]
pub struct Backoff<R> {
    random: R,
    max_wait: Millis,
}

impl<R: Rng> Backoff<R> {
    /// Creates a back-off at its initial wait, with `random` as the source of jitter.
    pub fn new(random: R) -> Self {
        Self { random, max_wait: INITIAL_BACKOFF_MS }
    }

    /// Returns the time to wait before the next try, in milliseconds, and doubles the bound of the
    /// next wait up to the maximum.
    pub fn next_wait(&mut self) -> Millis {
        let wait = self.random.random_range(self.max_wait / 2..=self.max_wait);
        self.max_wait = (self.max_wait * 2).min(MAX_BACKOFF_MS);
        wait
    }

    /// Returns to the initial wait, after a success.
    pub fn reset(&mut self) {
        self.max_wait = INITIAL_BACKOFF_MS;
    }
}
