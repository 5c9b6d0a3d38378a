//! How many requests an engine should hold at once.
//!
//! A pipeline's request is at one stage at a time, so a stage must hold several batches' worth of
//! requests to stay busy; how many depends on the speed of the other stages. Too few leave the engine
//! idle, too many only wait in its queue, and every token gets later. What can be seen at the stage
//! itself is how many steps are there (running or waiting): one full batch that runs and one that waits is
//! enough, whatever the other stages are like. [`SlotWindow`] steers the count of requests so that
//! the steps settle there. Waiting then happens in the entries' queues, where priorities hold.
//!
//! It needs no model of the other stages and no clock. Its worst case is a load that changes faster
//! than some intervals: it is then off by the change until the next ones.

/// Steps that are wanted, in hundredths of a full batch.
pub const DEFAULT_TARGET_PERCENT: u32 = 200;

/// Share of the way to the wanted limit that one interval goes.
const GAIN: f64 = 0.3;

/// The limit is judged only where it binds: at least this share of it is in use.
const BINDING: f64 = 0.85;

/// Bounds of a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowConfig {
    /// Sequences of a full batch.
    pub max_batch: u32,
    /// Most requests, by the engine's memory.
    pub max_requests: u32,
    /// Steps that are wanted, in hundredths of a full batch; 0 means that only memory limits.
    pub target_hundredths: u32,
}

/// The count of requests that an engine holds at once.
#[derive(Clone, Debug)]
pub struct SlotWindow {
    config: WindowConfig,
    limit: f64,
    steps: u64,
    samples: u64,
}

/// Batches' worth of requests to start with.
const FIRST_BATCHES: u32 = 4;

impl SlotWindow {
    /// Starts with some batches' worth.
    pub fn new(config: WindowConfig) -> Self {
        let first = config.max_batch.saturating_mul(FIRST_BATCHES);
        let mut window = Self { config, limit: f64::from(first), steps: 0, samples: 0 };
        window.clamp();
        window
    }

    /// Requests that may be held now, at least 1.
    pub fn limit(&self) -> u32 {
        if self.config.target_hundredths == 0 {
            return self.config.max_requests.max(1);
        }
        self.limit.round() as u32
    }

    /// Notes how many steps there are, as a step arrives.
    pub fn sample(&mut self, steps: usize) {
        self.steps += steps as u64;
        self.samples += 1;
    }

    /// Ends an interval in which `in_use` requests were held.
    pub fn adjust(&mut self, in_use: usize) {
        let (steps, samples) = (std::mem::take(&mut self.steps), std::mem::take(&mut self.samples));
        let in_use = in_use as f64;
        if samples < u64::from(self.config.max_batch) || in_use < self.limit * BINDING {
            return;
        }
        let mean = steps as f64 / samples as f64;
        let target = f64::from(self.config.max_batch * self.config.target_hundredths) / 100.0;
        let wanted = in_use * target / mean.max(1.0);
        self.limit += (wanted - self.limit) * GAIN;
        self.clamp();
    }

    fn clamp(&mut self) {
        let most = f64::from(self.config.max_requests.max(1));
        let least = f64::from(self.config.max_batch.max(1)).min(most);
        self.limit = self.limit.clamp(least, most);
    }
}
