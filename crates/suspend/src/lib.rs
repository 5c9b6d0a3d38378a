//! A clock for processes under test that stands while they are suspended.
//!
//! A VM that is suspended and resumed finds that `CLOCK_MONOTONIC` did not count the pause, while `CLOCK_BOOTTIME` and the time of
//! day did. A process that is only stopped finds that all of them did. This library, preloaded into a process, takes the
//! pauses off the steady clock: whoever stops the process writes their sum, in nanoseconds, into the first eight bytes of
//! the file that [`FILE_VARIABLE`] names, before the process goes on.
//!
//! It is for tests alone. The trade-off: timers that the kernel already keeps count the pause, so a wait may end early by it;
//! tokio looks at the clock then, and waits on.

use std::{ffi::c_int, fs::File, os::unix::fs::FileExt, sync::OnceLock};

use libc::{
    CLOCK_MONOTONIC, CLOCK_MONOTONIC_COARSE, CLOCK_MONOTONIC_RAW, SYS_clock_gettime, clockid_t,
    timespec,
};

/// Environment variable with the path of the file that holds the sum of the pauses.
pub const FILE_VARIABLE: &str = "SWITCHFOLD_SUSPENDED";

const NANOS: i64 = 1_000_000_000;

/// Sum of the pauses so far, in nanoseconds.
fn paused_nanos() -> i64 {
    static FILE: OnceLock<Option<File>> = OnceLock::new();
    let file = FILE.get_or_init(|| File::open(std::env::var_os(FILE_VARIABLE)?).ok());
    let mut bytes = [0; 8];
    match file.as_ref().map(|file| file.read_at(&mut bytes, 0)) {
        Some(Ok(8)) => i64::from_le_bytes(bytes),
        // Nothing was written yet, or there is no file: no pause.
        _ => 0,
    }
}

/// Reads a clock, with the pauses taken off the steady ones.
///
/// # Safety
///
/// As the system's own: `time` points to a `timespec` that may be written.
// SAFETY: the name is the one that this library is preloaded to stand for; its signature is the system's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are passed on as they came.
    let result = unsafe { libc::syscall(SYS_clock_gettime, clock, time) } as c_int;
    let is_steady = [CLOCK_MONOTONIC, CLOCK_MONOTONIC_COARSE, CLOCK_MONOTONIC_RAW].contains(&clock);
    if result != 0 || !is_steady {
        return result;
    }
    // SAFETY: the call above succeeded, so it wrote there.
    let time = unsafe { &mut *time };
    let nanos = time.tv_sec * NANOS + time.tv_nsec - paused_nanos();
    time.tv_sec = nanos / NANOS;
    time.tv_nsec = nanos % NANOS;
    result
}
