//! A budget for repeating work, so that a fault does not double the load.
//!
//! Each success earns a share of a retry; each retry costs one. In a long fault nothing is earned, and
//! what is sent stays below `1 + share` times what is offered, plus the initial reserve.

use rand::{Rng, RngExt};

use crate::Millis;

/// Parts of one retry, so that the balance is a whole number.
const PARTS: u64 = 1_000;

/// Bounds of a budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Retries earned by a thousand successes.
    pub per_thousand: u64,
    /// Retries that may be saved up, and that are there at the start.
    pub reserve: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self { per_thousand: 100, reserve: 32 }
    }
}

/// What may still be repeated.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    parts: u64,
}

impl RetryBudget {
    /// Makes a budget with its reserve full.
    pub fn new(config: RetryConfig) -> Self {
        Self { config, parts: config.reserve * PARTS }
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        let most = self.config.reserve * PARTS;
        self.parts = (self.parts + self.config.per_thousand).min(most);
    }

    /// Takes one retry; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.parts >= PARTS;
        if enough {
            self.parts -= PARTS;
        }
        enough
    }
}

/// First wait of a back-off.
const FIRST_WAIT: Millis = 20;

/// Longest wait of a back-off.
const LONGEST_WAIT: Millis = 5_000;

/// Waits between tries: each up to twice the last one, with full jitter, so that processes that lost
/// a service together do not come back to it together.
#[derive(Debug)]
pub struct Backoff<R> {
    random: R,
    most: Millis,
}

impl<R: Rng> Backoff<R> {
    /// Starts with short waits.
    pub fn new(random: R) -> Self {
        Self { random, most: FIRST_WAIT }
    }

    /// Milliseconds to wait before the next try.
    pub fn next_wait(&mut self) -> Millis {
        let wait = self.random.random_range(self.most / 2..=self.most);
        self.most = (self.most * 2).min(LONGEST_WAIT);
        wait
    }

    /// Goes back to short waits, after a success.
    pub fn reset(&mut self) {
        self.most = FIRST_WAIT;
    }
}
