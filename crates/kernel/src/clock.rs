//! Reading the clock: the one place where time enters.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the process first asked; never goes back, and goes on while the VM is suspended. By the steady
/// clock, which stands then, a configuration of before a pause of six seconds counted as a second old, and keys that had
/// been removed meanwhile were let in.
///
/// # Panics
///
/// Panics where the system has no such clock; every Linux has.
pub fn now_millis() -> u64 {
    static START: OnceLock<Duration> = OnceLock::new();
    let now = since_boot();
    let start = START.get_or_init(|| now);
    now.saturating_sub(*start).as_millis() as u64
}

fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock").into()
}

/// Milliseconds since the epoch, by the VM's clock.
pub fn epoch_millis() -> u64 {
    since_epoch().as_millis() as u64
}

/// Microseconds since the epoch, by the VM's clock.
pub fn epoch_micros() -> u64 {
    since_epoch().as_micros() as u64
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
