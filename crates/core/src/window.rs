//! Adaptive concurrency limit: how many requests an engine should hold at once.
//!
//! A request is at one stage of its pipeline at a time, so a stage must hold several batches' worth
//! of requests to stay busy; how many depends on the speed of the other stages. Too few leave the
//! engine idle; too many queue at the engine and delay every token. The stage can observe how many
//! steps it has, running or queued: one full batch that runs and one that waits is enough, whatever
//! the speed of the other stages. [`SlotWindow`] adjusts the number of requests towards that
//! target. Further requests then wait in the entries' queues, where priorities apply.
//!
//! The controller needs no model of the other stages and no clock. Its worst case is a load that
//! changes faster than a few intervals: the limit then lags behind by that change.

/// Default target for the number of steps, in percent of a full batch.
pub const DEFAULT_TARGET_PERCENT: u32 = 200;

/// Fraction of the difference to the target limit that one interval corrects.
const GAIN: f64 = 0.3;

/// The limit is adjusted only if at least this fraction of it is in use: otherwise the load, and
/// not the limit, determines the number of steps.
const MIN_UTILIZATION: f64 = 0.85;

/// Limits of a [`SlotWindow`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowConfig {
    /// Number of sequences in a full batch.
    pub max_batch: u32,
    /// Maximum number of requests that fit into the engine's memory.
    pub max_requests: u32,
    /// Target for the number of steps, in hundredths of a full batch. With 0 the limit is always
    /// `max_requests`.
    pub target_hundredths: u32,
}

/// Controls how many requests an engine holds at once.
#[derive(Clone, Debug)]
pub struct SlotWindow {
    config: WindowConfig,
    limit: f64,
    steps: u64,
    samples: u64,
}

/// Initial limit, in full batches.
const INITIAL_BATCHES: u32 = 4;

impl SlotWindow {
    /// Creates a window whose limit starts at a few full batches, within the bounds of `config`.
    pub fn new(config: WindowConfig) -> Self {
        let initial = config.max_batch.saturating_mul(INITIAL_BATCHES);
        let mut window = Self { config, limit: f64::from(initial), steps: 0, samples: 0 };
        window.clamp();
        window
    }

    /// Returns the number of requests that the engine may hold now, at least 1.
    pub fn limit(&self) -> u32 {
        if self.config.target_hundredths == 0 {
            return self.config.max_requests.max(1);
        }
        self.limit.round() as u32
    }

    /// Records the number of steps at the engine, running or queued. Called when a step arrives.
    pub fn sample(&mut self, steps: usize) {
        self.steps += steps as u64;
        self.samples += 1;
    }

    /// Ends an interval in which the engine held `in_use` requests, and adjusts the limit.
    ///
    /// The limit stays if there were fewer samples than a full batch has sequences, or if it was
    /// not nearly reached.
    pub fn adjust(&mut self, in_use: usize) {
        let (steps, samples) = (std::mem::take(&mut self.steps), std::mem::take(&mut self.samples));
        let in_use = in_use as f64;
        if samples < u64::from(self.config.max_batch) || in_use < self.limit * MIN_UTILIZATION {
            return;
        }
        let mean_steps = steps as f64 / samples as f64;
        let target_steps = f64::from(self.config.max_batch * self.config.target_hundredths) / 100.0;
        let target_limit = in_use * target_steps / mean_steps.max(1.0);
        self.limit += (target_limit - self.limit) * GAIN;
        self.clamp();
    }

    fn clamp(&mut self) {
        let upper = f64::from(self.config.max_requests.max(1));
        let lower = f64::from(self.config.max_batch.max(1)).min(upper);
        self.limit = self.limit.clamp(lower, upper);
    }
}
