//! The clock counts the time during which a VM is suspended; the monotonic clock does not.
//!
//! This test program replaces `clock_gettime`, to simulate a suspended VM: its monotonic clocks lag
//! behind by [`SUSPENDED`].

use std::{
    ffi::c_int,
    sync::atomic::{AtomicI64, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

use libc::{
    CLOCK_MONOTONIC, CLOCK_MONOTONIC_COARSE, CLOCK_MONOTONIC_RAW, SYS_clock_gettime, clockid_t,
    timespec,
};
use switchfold_kernel::clock::now_millis;

const NANOS: i64 = 1_000_000_000;

/// Total simulated suspension so far, in nanoseconds.
static SUSPENDED: AtomicI64 = AtomicI64::new(0);

/// Replaces the function of the C library in this program.
///
/// # Safety
///
/// As for the original function, `time` must point to a `timespec` that may be written.
// SAFETY: the function replaces the one of the C library in this program only, with the same
// signature.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are passed on unchanged.
    let result = unsafe { libc::syscall(SYS_clock_gettime, clock, time) } as c_int;
    let monotonic = [CLOCK_MONOTONIC, CLOCK_MONOTONIC_COARSE, CLOCK_MONOTONIC_RAW];
    if result == 0 && monotonic.contains(&clock) {
        // SAFETY: the call above succeeded, so `time` points to a valid `timespec`.
        let time = unsafe { &mut *time };
        let nanos = time.tv_sec * NANOS + time.tv_nsec - SUSPENDED.load(Ordering::Relaxed);
        (time.tv_sec, time.tv_nsec) = (nanos / NANOS, nanos % NANOS);
    }
    result
}

/// When ages were measured with the monotonic clock, they were too low by the duration of a
/// suspension: a relay took its old configuration for 1 s old and accepted keys that had been
/// removed while its VM was suspended.
#[test]
fn clock_counts_the_time_of_a_suspension() {
    const PAUSE: Duration = Duration::from_millis(300);
    let (monotonic, before) = (Instant::now(), now_millis());
    sleep(PAUSE);
    SUSPENDED.store(PAUSE.as_nanos() as i64, Ordering::Relaxed);
    let (monotonic_elapsed, after) = (monotonic.elapsed(), now_millis());
    assert!(after >= before + PAUSE.as_millis() as u64, "{before} ms before, {after} ms after");
    SUSPENDED.store(2 * PAUSE.as_nanos() as i64, Ordering::Relaxed);
    assert!(monotonic.elapsed() < monotonic_elapsed, "the monotonic clock did not lag behind");
}
