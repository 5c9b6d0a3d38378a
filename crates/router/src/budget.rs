//! Retry budget of a service, shared by all relays.
//!
//! In any window, the platform allows a service retries of up to `ratio` times its requests plus a
//! fixed allowance, summed over all relays. Each request earns its relay a fraction of a retry,
//! which expires soon, and each relay spends its share of the allowance
//! ([`allowance`](crate::allowance)), so the sum stays below the bound even if the relays know
//! nothing of each other's retries.
//!
//! What was earned expires within an eighth of the window. A longer lifetime would let the requests
//! of two windows pay for the retries of one: those before callers change from one relay to
//! another, or before a restart, and those after it. The trade-off: a burst of retries is paid
//! from the allowance. Worst case: bursts that follow each other within a window get what is left
//! of it.

use std::collections::VecDeque;

use crate::Millis;

/// Length of the window in buckets, so that rounding costs 1%.
const BUCKETS_PER_WINDOW: Millis = 100;

/// Lifetime of what a request earned, in buckets.
const EARNED_BUCKETS: Millis = 12;

/// Time from the charge of a retry within which it must be sent, in buckets.
const CHARGE_BUCKETS: Millis = 1;

/// Time between the charge of a retry and its arrival at a replica that is covered, in buckets.
const DELAY_BUCKETS: Millis = 2;

/// Fraction of the requests that a relay counts in a window which callers sent in one. The others
/// had waited for a relay, as after a restart.
const PROMPT_FRACTION: f64 = 0.91;

/// Fraction of the ratio that is earned. The retries of a window are paid by the requests of a time
/// that is longer by the lifetime of what they earned, a bucket and the delay.
const EARNED_FRACTION: f64 = PROMPT_FRACTION
    / (1.0 + (EARNED_BUCKETS + 1 + DELAY_BUCKETS) as f64 / BUCKETS_PER_WINDOW as f64);

/// Fraction of the allowance that is spent. The rest covers a bucket and the delay.
const ALLOWANCE_FRACTION: f64 =
    1.0 / (1.0 + (1 + DELAY_BUCKETS) as f64 / BUCKETS_PER_WINDOW as f64);

/// Time for which a relay keeps as much as it wanted in it instead of lending it, in buckets.
const WANTED_BUCKETS: Millis = 10;

/// Tolerance for sums of fractions of retries.
const ROUNDING: f64 = 1e-4;

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

impl BudgetConfig {
    /// Returns the time from the charge of a retry within which it must be sent, in milliseconds.
    pub fn charge_lifetime(&self) -> Millis {
        CHARGE_BUCKETS * self.bucket()
    }

    /// Returns the length of a bucket, in milliseconds.
    fn bucket(&self) -> Millis {
        (self.window / BUCKETS_PER_WINDOW).max(1)
    }
}

/// Retries, or fractions of them, of one period of time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    amount: f64,
}

/// What one relay may spend on the retries of one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// What requests earned and no retry has spent yet.
    earned: VecDeque<Bucket>,
    /// What was spent of the allowance.
    spent: VecDeque<Bucket>,
    /// Retries that were wanted.
    wanted: VecDeque<Bucket>,
    /// Charged elsewhere and to be spent soon: loans, and retries that were charged and not sent.
    credits: Vec<Credit>,
}

/// Retries, or fractions of them, that expire at a given time.
#[derive(Clone, Copy, Debug)]
struct Credit {
    amount: f64,
    expiry: Millis,
}

impl RetryBudget {
    /// Records a request of a caller.
    pub fn record_request(&mut self, config: &BudgetConfig, now: Millis) {
        self.expire(config, now);
        add(&mut self.earned, config.ratio * EARNED_FRACTION, config.bucket(), now);
    }

    /// Returns whether the budget allows one more retry. `share` is the fraction of the allowance
    /// that this relay holds.
    pub fn can_retry(&mut self, config: &BudgetConfig, share: f64, now: Millis) -> bool {
        self.available(config, share, now) >= 1.0 - ROUNDING
    }

    /// Returns the number of retries that the budget allows, which may have a fraction.
    pub fn available(&mut self, config: &BudgetConfig, share: f64, now: Millis) -> f64 {
        self.expire(config, now);
        let credits: f64 = self.credits.iter().map(|credit| credit.amount).sum();
        credits + total(&self.earned) + self.unspent_allowance(config, share)
    }

    /// Spends one retry if the budget allows it, and returns whether it did.
    pub fn spend(&mut self, config: &BudgetConfig, share: f64, now: Millis) -> bool {
        let is_allowed = self.can_retry(config, share, now);
        if is_allowed {
            let credits = self.credits.iter_mut().map(|credit| &mut credit.amount);
            let missing = 1.0 - take(credits, 1.0);
            self.charge(config, missing, now);
        }
        is_allowed
    }

    /// Records that a retry is wanted, whether or not the budget allows it.
    pub fn record_wanted(&mut self, config: &BudgetConfig, now: Millis) {
        self.expire(config, now);
        add(&mut self.wanted, 1.0, config.bucket(), now);
    }

    /// Charges up to `amount` retries for a relay that asked for a loan, and returns how many. Keeps
    /// what its own requests are expected to need.
    pub fn lend(&mut self, config: &BudgetConfig, share: f64, amount: f64, now: Millis) -> f64 {
        self.expire(config, now);
        let own = total(&self.earned) + self.unspent_allowance(config, share);
        let lent = (own - total(&self.wanted)).clamp(0.0, amount);
        self.charge(config, lent, now);
        lent
    }

    /// Adds a loan that expires at `expiry`.
    pub fn add_loan(&mut self, amount: f64, expiry: Millis) {
        self.credits.push(Credit { amount, expiry });
    }

    /// Takes back a retry that was charged at `charged_at` and not sent.
    pub fn give_back(&mut self, config: &BudgetConfig, charged_at: Millis) {
        let expiry = charged_at + config.charge_lifetime();
        self.credits.push(Credit { amount: 1.0, expiry });
    }

    /// Spends what requests earned, the earliest first, and then the allowance.
    fn charge(&mut self, config: &BudgetConfig, amount: f64, now: Millis) {
        let earned = self.earned.iter_mut().map(|bucket| &mut bucket.amount);
        let missing = amount - take(earned, amount);
        add(&mut self.spent, missing, config.bucket(), now);
    }

    fn unspent_allowance(&self, config: &BudgetConfig, share: f64) -> f64 {
        (config.allowance * ALLOWANCE_FRACTION * share - total(&self.spent)).max(0.0)
    }

    fn expire(&mut self, config: &BudgetConfig, now: Millis) {
        let bucket = config.bucket();
        drop_after(&mut self.earned, (EARNED_BUCKETS + 1) * bucket, now);
        drop_after(&mut self.spent, config.window + bucket, now);
        drop_after(&mut self.wanted, WANTED_BUCKETS * bucket, now);
        self.credits.retain(|credit| now < credit.expiry && credit.amount > 0.0);
    }
}

fn add(buckets: &mut VecDeque<Bucket>, amount: f64, length: Millis, now: Millis) {
    let start = now / length * length;
    match buckets.back_mut() {
        Some(bucket) if bucket.start == start => bucket.amount += amount,
        _ => buckets.push_back(Bucket { start, amount }),
    }
}

/// Takes up to `amount` from the given amounts, in their order, and returns what was taken.
fn take<'a>(amounts: impl Iterator<Item = &'a mut f64>, amount: f64) -> f64 {
    let mut taken = 0.0;
    for available in amounts {
        let part = available.min(amount - taken);
        *available -= part;
        taken += part;
    }
    taken
}

fn total(buckets: &VecDeque<Bucket>) -> f64 {
    buckets.iter().map(|bucket| bucket.amount).sum()
}

/// Drops the buckets that started `lifetime` milliseconds ago or earlier.
fn drop_after(buckets: &mut VecDeque<Bucket>, lifetime: Millis, now: Millis) {
    while buckets.front().is_some_and(|bucket| bucket.start + lifetime <= now) {
        buckets.pop_front();
    }
}
