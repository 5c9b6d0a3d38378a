//! How busy the thread of the relay is, and how late it runs what is due.

use std::{cell::Cell, time::Duration};

use switchfold_router::Millis;
use tokio::{runtime::Handle, time::Instant};

/// Load of the thread since the last line of figures.
#[derive(Debug)]
pub struct ThreadLoad {
    longest_turn: Cell<Millis>,
    waits: Cell<(Duration, u32)>,
    counted_at: Cell<Instant>,
    busy_before: Cell<Duration>,
}

/// What is logged of it.
#[derive(Clone, Copy, Debug)]
pub struct LoadFigures {
    /// Longest time that a due task waited for the thread, in milliseconds.
    pub longest_turn: Millis,
    /// Mean time from the acceptance of a connection to the start of its task, in milliseconds.
    pub mean_wait: f64,
    /// Percentage of the time in which the thread had tasks to run. It includes the time for which the
    /// process itself did not run meanwhile.
    pub busy_percent: f64,
}

impl Default for ThreadLoad {
    fn default() -> Self {
        Self {
            longest_turn: Cell::default(),
            waits: Cell::default(),
            counted_at: Cell::new(Instant::now()),
            busy_before: Cell::new(busy_time()),
        }
    }
}

impl ThreadLoad {
    /// Records how long a due task waited for the thread.
    pub fn record_turn(&self, waited: Duration) {
        self.longest_turn.update(|longest| longest.max(waited.as_millis() as Millis));
    }

    /// Records how long the task of a new connection waited for the thread.
    pub fn record_wait(&self, waited: Duration) {
        self.record_turn(waited);
        self.waits.update(|(sum, count)| (sum + waited, count + 1));
    }

    /// Returns the load so far.
    pub fn figures(&self) -> LoadFigures {
        let (sum, count) = self.waits.get();
        let busy = busy_time().saturating_sub(self.busy_before.get());
        let elapsed = self.counted_at.get().elapsed().as_secs_f64();
        LoadFigures {
            longest_turn: self.longest_turn.get(),
            mean_wait: sum.as_secs_f64() * 1_000.0 / f64::from(count.max(1)),
            busy_percent: busy.as_secs_f64() * 100.0 / elapsed.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the load so far, and begins to count anew.
    pub fn take_figures(&self) -> LoadFigures {
        let figures = self.figures();
        self.longest_turn.take();
        self.waits.take();
        self.counted_at.set(Instant::now());
        self.busy_before.set(busy_time());
        figures
    }
}

/// Returns the time in which the thread has had tasks to run.
fn busy_time() -> Duration {
    Handle::current().metrics().worker_total_busy_duration(0)
}
