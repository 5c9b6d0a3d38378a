//! Logging: one line of `key=value` pairs for each change of state.
//!
//! Frequent events are counted in [`metrics`](crate::metrics) and not logged.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Starts logging to standard error. A second call in the same process has no effect.
pub fn start(level: LevelFilter) {
    let mut builder = ConfigBuilder::new();
    builder.set_time_format_rfc3339();
    builder.add_filter_allow_str("switchfold");
    let _already_started = WriteLogger::init(level, builder.build(), std::io::stderr());
}
