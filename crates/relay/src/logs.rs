//! Structured logs: one JSON object a line, on standard output.
//!
//! Lines are handed to a thread of their own over a bounded queue that drops what does not fit, so
//! writing never holds a request up, whatever reads the output. In any second only so many lines are
//! written; failures have a share of their own, so that a flood of successes never displaces them. What
//! was left out is counted.

use std::{
    io::{self, Write},
    sync::atomic::{AtomicU64, Ordering},
};

use switchfold_kernel::clock::now_millis;
use tracing::{Level, Metadata, level_filters::LevelFilter};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{Layer, filter::dynamic_filter_fn, fmt, layer::SubscriberExt};

/// Lines that wait to be written at most; more are dropped.
const MOST_WAITING: usize = 4_096;

/// Lines of successes and changes written in one second at most: some for each of 50 requests.
pub const USUAL_LINES: u64 = 200;

/// Lines of failures written in one second at most.
pub const FAILURE_LINES: u64 = 400;

/// Lines of one level that may still be written in a second.
#[derive(Debug)]
pub struct LineBudget {
    most: u64,
    second: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LineBudget {
    /// Makes a budget of `most` lines a second.
    pub const fn new(most: u64) -> Self {
        let (second, written) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { most, second, written, left_out: AtomicU64::new(0) }
    }

    /// Takes a line of the second of `now`, in milliseconds; tells whether there was one.
    pub fn take(&self, now: u64) -> bool {
        let second = now / 1_000 + 1;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        let within = self.written.fetch_add(1, Ordering::Relaxed) < self.most;
        if !within {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        within
    }

    /// Lines left out so far.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

static USUAL: LineBudget = LineBudget::new(USUAL_LINES);
static FAILURES: LineBudget = LineBudget::new(FAILURE_LINES);

/// Lines left out since the start, for want of a place in their second.
pub fn dropped_lines() -> u64 {
    USUAL.left_out() + FAILURES.left_out()
}

fn has_place(metadata: &Metadata<'_>) -> bool {
    let budget = if *metadata.level() <= Level::WARN { &FAILURES } else { &USUAL };
    budget.take(now_millis())
}

/// Starts logging to standard output; the guard writes what is left when it is dropped.
pub fn start(level: LevelFilter) -> WorkerGuard {
    start_to(level, io::stdout())
}

/// Starts logging to any writer, on a thread of its own.
pub fn start_to(level: LevelFilter, output: impl Write + Send + 'static) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(MOST_WAITING).lossy(true);
    let (writer, guard) = builder.finish(output);
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer)
        .with_filter(dynamic_filter_fn(move |metadata, _| {
            *metadata.level() <= level && has_place(metadata)
        }));
    let subscriber = tracing_subscriber::registry().with(lines);
    // A second start in one process, as in tests, keeps the first subscriber.
    let _already_set = tracing::subscriber::set_global_default(subscriber);
    guard
}
