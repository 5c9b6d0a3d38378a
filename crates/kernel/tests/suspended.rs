//! A VM is suspended: the steady clock does not count the pause, and every age must.
//!
//! The program of this test has clocks of its own, as a suspended VM has them: the steady ones stand while [`SUSPENDED`] grows.

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

/// Sum of the pauses so far, in nanoseconds.
static SUSPENDED: AtomicI64 = AtomicI64::new(0);

/// Reads a clock of this program.
///
/// # Safety
///
/// As the system's own: `time` points to a `timespec` that may be written.
// SAFETY: it stands for the system's function of this name in this program alone, with the system's signature.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are passed on as they came.
    let result = unsafe { libc::syscall(SYS_clock_gettime, clock, time) } as c_int;
    let steady = [CLOCK_MONOTONIC, CLOCK_MONOTONIC_COARSE, CLOCK_MONOTONIC_RAW];
    if result == 0 && steady.contains(&clock) {
        // SAFETY: the call above succeeded, so it wrote there.
        let time = unsafe { &mut *time };
        let nanos = time.tv_sec * NANOS + time.tv_nsec - SUSPENDED.load(Ordering::Relaxed);
        (time.tv_sec, time.tv_nsec) = (nanos / NANOS, nanos % NANOS);
    }
    result
}

/// Ages that were counted by the steady clock looked younger than they were by the whole pause: a relay let in keys that had been
/// taken away while its VM was suspended, by a configuration that it took for a second old.
#[test]
fn the_clock_counts_the_time_that_a_vm_was_suspended() {
    const PAUSE: Duration = Duration::from_millis(300);
    let (steady, before) = (Instant::now(), now_millis());
    sleep(PAUSE);
    SUSPENDED.store(PAUSE.as_nanos() as i64, Ordering::Relaxed);
    let (stood, after) = (steady.elapsed(), now_millis());
    assert!(after >= before + PAUSE.as_millis() as u64, "{before} ms before, {after} ms after");
    SUSPENDED.store(2 * PAUSE.as_nanos() as i64, Ordering::Relaxed);
    assert!(steady.elapsed() < stood, "the steady clock of this program stands");
}
