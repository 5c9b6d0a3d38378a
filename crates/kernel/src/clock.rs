//! Clocks of the process, from which callers take the time for all decisions.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the first call in this process. Never goes back, and counts the
/// time during which the VM is suspended.
///
/// It reads `CLOCK_BOOTTIME`, because `CLOCK_MONOTONIC` stops during a suspension. With the latter,
/// a configuration from before a pause of 6 s counted as 1 s old, and keys that had been removed in
/// the meantime were still accepted.
///
/// # Panics
///
/// Panics if the system has no `CLOCK_BOOTTIME`. Every supported Linux kernel has it.
pub fn now_millis() -> u64 {
    static START: OnceLock<Duration> = OnceLock::new();
    let now = since_boot();
    let start = START.get_or_init(|| now);
    now.saturating_sub(*start).as_millis() as u64
}

fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME").into()
}

/// Returns the milliseconds since the Unix epoch by the VM's wall clock, which may be adjusted.
pub fn epoch_millis() -> u64 {
    since_epoch().as_millis() as u64
}

/// Returns the microseconds since the Unix epoch by the VM's wall clock, which may be adjusted.
pub fn epoch_micros() -> u64 {
    since_epoch().as_micros() as u64
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
