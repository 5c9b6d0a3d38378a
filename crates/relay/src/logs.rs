//! Structured logs: one JSON object per line, on standard output.
//!
//! A separate thread writes the lines. It takes them from a bounded queue that drops what does not
//! fit, so logging never blocks a request, even if nothing reads the output. The number of lines
//! per second is limited. Warnings and errors have a limit of their own, so that a flood of other
//! lines never displaces them. Lines dropped by these limits are counted.

use std::{
    any::Any,
    cell::Cell,
    io::{self, Write},
    panic,
    sync::atomic::{AtomicU64, Ordering},
};

use switchfold_kernel::clock::now_millis;
use tracing::{Level, Metadata, level_filters::LevelFilter};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{Layer, filter::dynamic_filter_fn, fmt, layer::SubscriberExt};

/// Maximum number of queued lines; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum number of lines per second at the levels info and below: a few for each of 50 requests.
pub const MAX_INFO_LINES: u64 = 200;

/// Maximum number of warnings and errors per second.
pub const MAX_FAILURE_LINES: u64 = 400;

/// Limits the number of lines per second.
#[derive(Debug)]
pub struct LineLimit {
    per_second: u64,
    second: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LineLimit {
    /// Creates a limit of `per_second` lines.
    pub const fn new(per_second: u64) -> Self {
        let (second, written) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { per_second, second, written, dropped: AtomicU64::new(0) }
    }

    /// Counts a line at `now`, in milliseconds. Returns whether it is within the limit and may be
    /// written.
    pub fn admit(&self, now: u64) -> bool {
        let second = now / 1_000 + 1;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        let within = self.written.fetch_add(1, Ordering::Relaxed) < self.per_second;
        if !within {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        within
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Minimum interval between two lines of a kind that could be written for each request, in
/// milliseconds.
const LINE_INTERVAL: u64 = 1_000;

/// Limits a kind of line to one in a second.
#[derive(Debug, Default)]
pub struct LineInterval {
    written_at: Cell<Option<u64>>,
}

impl LineInterval {
    /// Returns whether a line may be written at `now`, in milliseconds.
    pub fn admit(&self, now: u64) -> bool {
        let written = self.written_at.get();
        let is_due = written.is_none_or(|written| now.saturating_sub(written) >= LINE_INTERVAL);
        if is_due {
            self.written_at.set(Some(now));
        }
        is_due
    }
}

static INFO_LIMIT: LineLimit = LineLimit::new(MAX_INFO_LINES);
static FAILURE_LIMIT: LineLimit = LineLimit::new(MAX_FAILURE_LINES);

/// Returns the number of lines dropped by the limits since the start of the process.
pub fn dropped_lines() -> u64 {
    INFO_LIMIT.dropped() + FAILURE_LIMIT.dropped()
}

fn is_admitted(metadata: &Metadata<'_>) -> bool {
    let limit = if *metadata.level() <= Level::WARN { &FAILURE_LIMIT } else { &INFO_LIMIT };
    limit.admit(now_millis())
}

/// Starts logging to standard output. Dropping the guard flushes the queue.
pub fn start(level: LevelFilter) -> WorkerGuard {
    start_to(level, io::stdout())
}

/// Starts logging to `output`, which is written by a separate thread.
pub fn start_to(level: LevelFilter, output: impl Write + Send + 'static) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
    let (writer, guard) = builder.finish(output);
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer)
        .with_filter(dynamic_filter_fn(move |metadata, _| {
            *metadata.level() <= level && is_admitted(metadata)
        }));
    let subscriber = tracing_subscriber::registry().with(lines);
    // Only the first start in a process takes effect; tests may start logging again.
    let _already_set = tracing::subscriber::set_global_default(subscriber);
    guard
}

/// Logs each panic of the process, before what is done about panics otherwise.
pub fn log_panics() {
    let earlier_hook = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        tracing::error!(
            event = "panic",
            message = panic_message(panic.payload()),
            location = panic.location().map(ToString::to_string),
            thread = std::thread::current().name(),
        );
        earlier_hook(panic);
    }));
}

/// Returns the message of a panic.
pub fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let message = payload.downcast_ref::<&str>().copied();
    message.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
}
