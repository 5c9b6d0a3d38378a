//! Processor time, memory and loopback traffic, as read from `/proc`.

use std::fs;

/// Unit of the processor times in `/proc/self/stat`, in ticks per second.
const TICKS_PER_S: f64 = 100.0;

/// Unit of the sizes in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// Resources that this process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessUsage {
    pub(crate) core_seconds: f64,
    pub(crate) resident_mb: f64,
}

/// Reads the resource use of this process. Values that cannot be read are 0.
pub(crate) fn process_usage() -> ProcessUsage {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let pages = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages =
        pages.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    ProcessUsage {
        core_seconds: (ticks(11) + ticks(12)) / TICKS_PER_S,
        resident_mb: pages * PAGE_BYTES / 1e6,
    }
}

/// Returns the bytes that the loopback device has received, or 0 if they cannot be read.
pub(crate) fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:")).unwrap_or_default();
    let received = line.split_whitespace().nth(1);
    received.and_then(|field| field.parse().ok()).unwrap_or(0)
}
