//! How much of the pipe between data centres an entry may fill.
//!
//! All requests whose path crosses from one data centre to another share one pipe, and a prompt's
//! activations take tens of milliseconds of it. Beyond what the pipe carries, every crossing request is
//! late. So each entry lets through an even share of it, and refuses the others at once: those that are
//! let through are served in time. The trade-off: a share that one entry does not use is lost.

use crate::Millis;

/// Part of the pipe that crossing prompts may fill; the rest carries their tokens.
const FILLED_PART: f64 = 0.8;

/// Time for which an entry may fill its share ahead, in milliseconds: several requests that come at once
/// wait for each other no longer than half of a usual objective.
const MAX_CLOCK_SKEW: f64 = 250.0;

/// An entry's share of the pipe.
#[derive(Clone, Debug, Default)]
pub struct BandwidthShare {
    filled_until: f64,
}

impl BandwidthShare {
    /// Takes `pipe_time` milliseconds of the pipe, of which `entries` have an even share each; tells
    /// whether they were left.
    pub fn try_reserve(&mut self, pipe_time: f64, entries: usize, now: Millis) -> bool {
        let now = now as f64;
        let start = self.filled_until.max(now);
        let left = start - now <= MAX_CLOCK_SKEW;
        if left {
            self.filled_until = start + pipe_time * entries.max(1) as f64 / FILLED_PART;
        }
        left
    }
}
