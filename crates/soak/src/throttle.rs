//! Holds a process to a share of a processor core, from outside.

use std::{fs, time::Duration};

use nix::sys::signal::Signal;

/// Interval at which the used time of a process is read.
pub(crate) const THROTTLE_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time without use that counts later, in intervals.
const MAX_SAVED_INTERVALS: f64 = 4.0;

/// The processor time that a process may use.
#[derive(Debug)]
pub(crate) struct ProcessorLimit {
    /// Share of a core.
    share: f64,
    process: u32,
    used: Duration,
    /// Time that is left, in seconds; negative while the process is paused.
    left: f64,
    is_paused: bool,
}

impl ProcessorLimit {
    pub(crate) fn new(share: f64, process: u32) -> Self {
        let used = used_time(process).unwrap_or_default();
        Self { share, process, used, left: 0.0, is_paused: false }
    }

    pub(crate) fn process(&self) -> u32 {
        self.process
    }

    /// Counts `elapsed` and the time that the process has used meanwhile. Returns the signal that
    /// pauses or resumes it.
    pub(crate) fn count(&mut self, elapsed: Duration) -> Option<Signal> {
        let used = used_time(self.process)?;
        let saved = self.share * THROTTLE_INTERVAL.as_secs_f64() * MAX_SAVED_INTERVALS;
        let granted = self.share * elapsed.as_secs_f64();
        self.left = (self.left + granted).min(saved) - (used - self.used).as_secs_f64();
        self.used = used;
        let must_pause = self.left < 0.0;
        if must_pause == self.is_paused {
            return None;
        }
        self.is_paused = must_pause;
        Some(if must_pause { Signal::SIGSTOP } else { Signal::SIGCONT })
    }
}

/// Returns the processor time that all threads of a process have used.
fn used_time(process: u32) -> Option<Duration> {
    let threads = fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let nanos = threads.flatten().filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Some(Duration::from_nanos(nanos.sum()))
}
