//! The limit of the requests that a relay serves at once.

use proptest::prelude::*;
use switchfold_router::intake::{IntakeLimit, MAX_CLOSED_TIME, MAX_STARTING, MAX_WAIT};

const LATE: u64 = MAX_WAIT + 1;

/// Returns a limit that fell while the relay served `load` requests.
fn fallen_at(load: usize, now: u64) -> IntakeLimit {
    let mut intake = IntakeLimit::default();
    intake.record_wait(LATE, load, now);
    intake.record_wait(LATE, load, now);
    intake
}

#[test]
fn all_connections_are_taken_while_no_task_waits() {
    let mut intake = IntakeLimit::default();
    for load in 0..10_000 {
        intake.record_wait(MAX_WAIT, load, 1_000);
        assert!(intake.takes(load, 1_000), "{load}");
    }
    assert_eq!(intake.limit(), None);
}

#[test]
fn one_long_wait_limits_nothing() {
    let mut intake = IntakeLimit::default();
    for _ in 0..3 {
        intake.record_wait(LATE * 50, 100, 1_000);
        intake.record_wait(0, 100, 1_000);
    }
    assert_eq!(intake.limit(), None);
}

#[test]
fn a_busy_relay_takes_no_more_than_it_serves_in_time() {
    let mut intake = fallen_at(100, 1_000);
    assert!(intake.takes(79, 1_000));
    assert!(!intake.takes(80, 1_000));
    // The load has fallen, and tasks still wait.
    intake.record_wait(LATE, 50, 1_000);
    assert!(!intake.takes(40, 1_000));
    assert!(intake.takes(39, 1_000));
}

/// Guards against a relay that is ready and takes no connection at all.
#[test]
fn a_busy_relay_takes_a_connection_now_and_then() {
    let mut intake = fallen_at(100, 1_000);
    let mut taken = Vec::new();
    for now in (1_000..5_000).step_by(10) {
        intake.record_wait(LATE, 100, now);
        if intake.takes(100, now) {
            taken.push(now);
        }
    }
    assert!(taken.windows(2).all(|pair| pair[1] - pair[0] == MAX_CLOSED_TIME), "{taken:?}");
    assert_eq!(taken.len(), 4_000 / MAX_CLOSED_TIME as usize);
}

#[test]
fn the_limit_ends_once_no_task_waits() {
    let mut intake = fallen_at(100, 1_000);
    let mut former = intake.limit().expect("a limit");
    let mut now = 1_000;
    loop {
        now += 100;
        intake.record_wait(0, 50, now);
        let Some(limit) = intake.limit() else { break };
        assert!(limit >= former);
        former = limit;
    }
    assert!(intake.takes(1_000_000, now));
}

/// Connections that the queue of the listener holds.
const MAX_QUEUED: usize = 1_024;

/// A model of a thread that runs one task of each request in a round.
struct ThreadModel {
    /// Milliseconds that one task takes.
    task: f64,
    /// Remaining rounds of each request, in milliseconds.
    requests: Vec<f64>,
    /// Connections in the queue of the listener.
    queued: usize,
    now: f64,
}

impl ThreadModel {
    /// Runs a round, at least a millisecond long, in which `arrivals` callers connect a second. Returns
    /// its length.
    fn run(&mut self, intake: &mut IntakeLimit, arrivals: f64, length: f64) -> f64 {
        let round = (self.requests.len() as f64 * self.task).max(1.0);
        self.now += round;
        self.requests.iter_mut().for_each(|left| *left -= round);
        self.requests.retain(|left| *left > 0.0);
        let now = self.now as u64;
        let arrived_by = |time: f64| (time * arrivals / 1_000.0) as usize;
        let connecting = arrived_by(self.now) - arrived_by(self.now - round);
        self.queued = (self.queued + connecting).min(MAX_QUEUED);
        let mut taken = 0;
        while self.queued > 0 && taken < MAX_STARTING {
            self.queued -= 1;
            if intake.takes(self.requests.len(), now) {
                self.requests.push(length);
                taken += 1;
            }
        }
        intake.record_wait(round as u64, self.requests.len(), now);
        round
    }
}

proptest! {
    /// Whatever the processor, the crowd and the length of the requests, rounds are soon short again,
    /// and the relay still serves about as many requests as fit.
    #[test]
    fn a_crowd_soon_waits_no_more(
        task in 0.05..8.0_f64, arrivals in 10.0..2_000.0_f64, length in 200.0..3_000.0_f64,
    ) {
        let mut model = ThreadModel { task, requests: Vec::new(), queued: 0, now: 0.0 };
        let mut intake = IntakeLimit::default();
        // Requests that were taken before the limit fell are served.
        while model.now < 4_000.0 + length {
            model.run(&mut intake, arrivals, length);
        }
        let (from, mut late, mut served) = (model.now, 0.0, 0.0);
        while model.now < from + 10_000.0 {
            let round = model.run(&mut intake, arrivals, length);
            late += if round > 2.0 * MAX_WAIT as f64 { round } else { 0.0 };
            served += model.requests.len() as f64 * round;
        }
        let elapsed = model.now - from;
        let fitting = (MAX_WAIT as f64 / task).min(arrivals * length / 1_000.0);
        prop_assert!(late <= elapsed / 10.0, "late for {late} of {elapsed} ms");
        prop_assert!(
            served / elapsed >= fitting * 0.4 - 4.0,
            "{} requests at once where {fitting} fit", served / elapsed
        );
    }
}
