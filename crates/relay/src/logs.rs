//! Structured logs: one JSON object a line, on standard output.
//!
//! Lines are handed to a thread of their own over a bounded queue that drops what does not fit, so
//! writing never holds a request up, whatever reads the output.

use std::io;

use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Lines that wait to be written at most; more are dropped.
const MOST_WAITING: usize = 4_096;

/// Starts logging; the guard writes what is left when it is dropped.
pub fn start(level: LevelFilter) -> WorkerGuard {
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MOST_WAITING)
        .lossy(true)
        .finish(io::stdout());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_max_level(level)
        .with_writer(writer)
        .finish();
    // A second start in one process, as in tests, keeps the first subscriber.
    let _already_set = tracing::subscriber::set_global_default(subscriber);
    guard
}
