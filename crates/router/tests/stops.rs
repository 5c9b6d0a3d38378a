//! Tests of which requests a stopping relay still sends.

use proptest::prelude::*;
use switchfold_router::{
    Millis,
    stops::{AwakeTimes, RouteTimes, StopSchedule},
};

/// Time of the signal in every drawn shutdown, in milliseconds.
const SIGNALLED_AT: Millis = 100_000;

/// A plain request that arrives during a shutdown.
#[derive(Clone, Copy, Debug)]
struct DrawnRequest {
    /// Time from the signal to its arrival.
    after_signal: Millis,
    /// Time that it waits before it can be sent.
    wait: Millis,
    /// Deadline of its caller; `None` if it sets none.
    deadline: Option<Millis>,
    /// Time that its replica takes.
    work: Millis,
}

fn drawn_request() -> impl Strategy<Value = DrawnRequest> {
    let deadline = prop::option::of(50..40_000u64);
    (0..20_000u64, 0..2_000u64, deadline, 0..12_000u64).prop_map(
        |(after_signal, wait, deadline, work)| DrawnRequest { after_signal, wait, deadline, work },
    )
}

/// How a request ended, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Served(Millis),
    TimedOut(Millis),
    Refused(Millis),
    /// Told at the end of the shutdown that it may have run.
    Unknown(Millis),
}

/// Plays one request of a route with this timeout and latency objective.
fn play(
    schedule: &StopSchedule,
    times: &mut RouteTimes,
    route: (Millis, Millis),
    request: DrawnRequest,
) -> RequestEnd {
    let (timeout, objective) = route;
    let arrived_at = SIGNALLED_AT + request.after_signal;
    let sent_at = arrived_at + request.wait;
    let due_at = arrived_at + request.deadline.unwrap_or(timeout).min(timeout);
    let expected = times.expected("route", objective, sent_at);
    if !schedule.allows_send(due_at.saturating_sub(sent_at), expected, sent_at) {
        return RequestEnd::Refused(sent_at);
    }
    let done_at = sent_at + request.work;
    let end = match () {
        () if schedule.answer_by < done_at.min(due_at) => RequestEnd::Unknown(schedule.answer_by),
        () if due_at < done_at => RequestEnd::TimedOut(due_at),
        () => RequestEnd::Served(done_at),
    };
    if end == RequestEnd::Served(done_at) {
        times.record("route", request.work, done_at);
    }
    end
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against requests that a stopping relay accepted and then cut off: one whose work is
    /// within what the relay has seen ends in time, one that its deadline ends in time is not
    /// refused, and every other has its response before the process exits.
    #[test]
    fn a_stop_cuts_no_request_that_it_accepted(
        grace in 500..30_000u64,
        timeout in 100..60_000u64,
        objective in 0..5_000u64,
        earlier in prop::collection::vec(0..10_000u64, 0..40),
        requests in prop::collection::vec(drawn_request(), 1..60),
    ) {
        let schedule = StopSchedule::new(SIGNALLED_AT, grace, SIGNALLED_AT);
        prop_assert!(schedule.answer_by < schedule.exit_by);
        prop_assert!(schedule.exit_by < SIGNALLED_AT + grace);
        let mut times = RouteTimes::default();
        for took in &earlier {
            times.record("route", *took, SIGNALLED_AT);
        }
        let longest = earlier.iter().copied().max().unwrap_or(0);
        let mut requests = requests;
        requests.sort_by_key(|request| request.after_signal + request.wait);
        for request in requests {
            let sent_at = SIGNALLED_AT + request.after_signal + request.wait;
            let due_at = sent_at - request.wait
                + request.deadline.unwrap_or(timeout).min(timeout);
            let was_seen = request.work <= longest;
            match play(&schedule, &mut times, (timeout, objective), request) {
                RequestEnd::Unknown(at) => {
                    prop_assert!(!was_seen, "{request:?}");
                    prop_assert!(at < schedule.exit_by);
                }
                RequestEnd::Refused(at) => {
                    prop_assert!(due_at.max(at) > schedule.answer_by, "{request:?}");
                }
                RequestEnd::Served(at) | RequestEnd::TimedOut(at) => {
                    prop_assert!(at <= schedule.answer_by, "{request:?}");
                }
            }
        }
    }

    /// A long timeout alone turns no request away whose route responds quickly.
    #[test]
    fn a_quick_route_is_served_almost_until_the_end(
        grace in 2_000..30_000u64,
        timeout in 30_000..600_000u64,
        took in 0..200u64,
    ) {
        let schedule = StopSchedule::new(SIGNALLED_AT, grace, SIGNALLED_AT);
        let mut times = RouteTimes::default();
        (0..16).for_each(|_| times.record("route", took, SIGNALLED_AT));
        let sent_at = schedule.answer_by - took - took / 16 - 50;
        let expected = times.expected("route", 300, sent_at);
        prop_assert!(schedule.allows_send(timeout, expected, sent_at));
    }
}

/// Guards against requests that were cut off since a relay counted its grace period from the end of
/// a pause, during which the signal had arrived.
#[test]
fn the_grace_period_counts_from_the_begin_of_a_pause() {
    let mut awake = AwakeTimes::default();
    awake.record(9_800);
    awake.record(10_000);
    assert_eq!(awake.earliest_signal(10_150), 10_150);
    // Paused from 10,000 to 13,000; the signal is handled before or after the next record.
    assert_eq!(awake.earliest_signal(13_000), 10_000);
    awake.record(13_000);
    assert_eq!(awake.earliest_signal(13_001), 10_000);
    awake.record(13_200);
    assert_eq!(awake.earliest_signal(13_201), 13_201);
}

/// Responses that arrived during a pause are passed on even if the grace period seems to be over.
#[test]
fn a_stop_handled_late_leaves_time_for_responses_that_have_arrived() {
    let schedule = StopSchedule::new(10_000, 8_000, 30_000);
    assert!(schedule.answer_by > 30_000);
    assert!(schedule.exit_by > schedule.answer_by);
}

#[test]
fn old_response_times_lose_their_effect() {
    let mut times = RouteTimes::default();
    times.record("route", 5_000, 0);
    (0..16).for_each(|_| times.record("route", 40, 70_000));
    assert!(times.expected("route", 300, 70_000).is_some_and(|expected| expected > 5_000));
    (0..16).for_each(|_| times.record("route", 40, 130_000));
    assert!(times.expected("route", 300, 130_000).is_some_and(|expected| expected < 100));
    times.remove_expired(300_000);
    assert_eq!(times.expected("route", 0, 300_000), None);
}
