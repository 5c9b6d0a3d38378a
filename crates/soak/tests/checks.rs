//! Checks that each violated guarantee is reported, and that excused cases are not.

use std::time::Duration;

use switchfold_soak::{
    attendance::CONTACT_TIME,
    checks::{
        DRAIN_TIME, EVENT_COUNT, Guarantee, KEPT_TIME, MAX_MEMORY_KB, REVOKE_TIME, check,
        check_crowd, check_load_recovery, check_recovery, response_body,
    },
    record::{
        CallKind, CallOutcome, CallRecord, CallResponse, CallTiming, Disruption, DisruptionKind,
        RunHistory, RunRecord, SETTLE_TIME,
    },
};

const ORGANISATION: &str = "fisher";

fn response(status: u16, signed: bool, complete: bool, body: &str) -> CallOutcome {
    CallOutcome::Responded(CallResponse {
        status,
        signed,
        complete,
        body: body.to_owned(),
        retry_after: None,
    })
}

fn call(id: &str, kind: CallKind, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        kind,
        key: "key".to_owned(),
        relay: 0,
        sent_at: 1_000_000,
        ended_at: 1_500_000,
        outcome,
        reused_after: None,
        timing: CallTiming::default(),
    }
}

fn run(id: &str, replica: &str) -> RunRecord {
    RunRecord {
        id: id.to_owned(),
        replica: replica.to_owned(),
        ran: true,
        intact: true,
        organisation: ORGANISATION.to_owned(),
        path: String::new(),
        at: 1_100_000,
        bad: None,
        asked: None,
        leaving: false,
        limit: None,
    }
}

fn stream(id: &str, events: impl IntoIterator<Item = u64>) -> String {
    let events =
        events.into_iter().map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n"));
    events.collect()
}

fn violated_guarantees(history: &RunHistory) -> Vec<Guarantee> {
    check(history, ORGANISATION).into_iter().map(|violation| violation.guarantee).collect()
}

/// A history of one call and its runs.
fn history(call: CallRecord, runs: Vec<RunRecord>) -> RunHistory {
    RunHistory { calls: vec![call], runs, ..RunHistory::default() }
}

/// A history of calls through relay 0, one for each run, sent when the run arrived.
fn history_of_runs(runs: Vec<RunRecord>) -> RunHistory {
    let calls = runs.iter().map(|run| CallRecord {
        sent_at: run.at,
        ended_at: run.at + 1_000,
        ..call(&run.id, CallKind::Safe, response(200, true, true, &response_body(&run.id)))
    });
    RunHistory { calls: calls.collect(), runs, ..RunHistory::default() }
}

#[test]
fn requests_within_retry_after_are_reported() {
    let rejected = RunRecord { ran: false, asked: Some(2_000), ..run("a", "i-1-0") };
    let at = |id: &str, at: u64| RunRecord { at, ..run(id, "i-1-0") };
    let rejected_at = rejected.at;
    let within = [rejected_at + 600_000, rejected_at + 700_000, rejected_at + 1_900_000];
    let outside = [rejected_at + 100_000, rejected_at + 499_000, rejected_at + 2_000_001];
    let with = |times: &[u64]| {
        let arrivals =
            times.iter().enumerate().map(|(number, time)| at(&format!("b{number}"), *time));
        history_of_runs(std::iter::once(rejected.clone()).chain(arrivals).collect())
    };
    assert_eq!(violated_guarantees(&with(&within)), [Guarantee::RetryAfter]);
    assert_eq!(violated_guarantees(&with(&within[..2])), []);
    assert_eq!(violated_guarantees(&with(&outside)), []);
    // The relay gave up the request before the replica read it.
    let mut gave_up = with(&within);
    gave_up.calls[0].ended_at = rejected_at - 1;
    assert_eq!(violated_guarantees(&gave_up), []);
    for (kind, excuses) in [
        (DisruptionKind::RelayFault(0), true),
        (DisruptionKind::PlannedStop(0), true),
        (DisruptionKind::LinkFault(1), true),
        (DisruptionKind::RelayFault(1), false),
        (DisruptionKind::LinkFault(2), false),
        (DisruptionKind::Fault, false),
        (DisruptionKind::StoreFault, false),
    ] {
        let mut history = with(&within);
        let from = rejected_at + 650_000;
        history.disruptions.push(Disruption { kind, from, to: from + 1 });
        assert_eq!(violated_guarantees(&history).is_empty(), excuses, "{kind:?}");
    }
}

#[test]
fn requests_after_server_leaving_are_reported() {
    let leaving_run = |id: &str, at: u64| RunRecord { at, leaving: true, ..run(id, "i-1-0") };
    let late = 1_101_000 + DRAIN_TIME + 1;
    assert_eq!(
        violated_guarantees(&history_of_runs(vec![
            leaving_run("a", 1_100_000),
            leaving_run("b", late)
        ])),
        [Guarantee::LeavingNotice]
    );
    assert_eq!(
        violated_guarantees(&history_of_runs(vec![
            leaving_run("a", 1_100_000),
            leaving_run("b", late - 1)
        ])),
        []
    );
    let restarted = RunRecord { leaving: false, ..leaving_run("b", late) };
    assert_eq!(
        violated_guarantees(&history_of_runs(vec![leaving_run("a", 1_100_000), restarted])),
        []
    );
    let mut history = history_of_runs(vec![leaving_run("a", 1_100_000), leaving_run("b", late)]);
    let kind = DisruptionKind::RelayFault(0);
    history.disruptions.push(Disruption { kind, from: 1_200_000, to: 1_300_000 });
    assert_eq!(violated_guarantees(&history), []);
    let mut history = history_of_runs(vec![leaving_run("a", 1_100_000), leaving_run("b", late)]);
    history.calls[0].ended_at = history.calls[0].sent_at;
    assert_eq!(violated_guarantees(&history), [], "the replica read it after its caller's end");
}

/// A replica that limits itself to one request a second may get eleven in four seconds, counted
/// from three seconds after it first sent the limit.
#[test]
fn requests_over_server_limit_are_reported() {
    let first_at = 1_100_000;
    let with = |limit: Option<f64>, interval: u64, count: u64| {
        let limited_runs = (0..count).map(|number| RunRecord {
            at: first_at + number * interval,
            limit,
            ..run(&format!("a{number}"), "i-1-0")
        });
        history_of_runs(limited_runs.collect())
    };
    let rows = [
        (Some(1.0), 370_000, vec![]),
        (Some(1.0), 320_000, vec![Guarantee::Limit]),
        (Some(2.0), 320_000, vec![]),
        (None, 320_000, vec![]),
    ];
    for (limit, interval, expected) in rows {
        assert_eq!(
            violated_guarantees(&with(limit, interval, 40)),
            expected,
            "{limit:?} {interval}"
        );
    }
    assert_eq!(violated_guarantees(&with(Some(1.0), 20_000, 100)), [], "within the settle time");
    for (kind, excuses) in [
        (DisruptionKind::LinkFault(1), true),
        (DisruptionKind::ReplicaPause(1), true),
        (DisruptionKind::ReplicaPause(2), false),
        (DisruptionKind::RelayFault(1), false),
        (DisruptionKind::Fault, false),
    ] {
        let mut history = with(Some(1.0), 320_000, 26);
        let at = first_at + SETTLE_TIME;
        history.disruptions.push(Disruption { kind, from: at, to: at + 1 });
        assert_eq!(violated_guarantees(&history).is_empty(), excuses, "{kind:?}");
    }
}

#[test]
fn wrong_responses_are_reported() {
    use CallKind::{Safe, Stream};
    let own = response_body("a");
    let rows = [
        (Safe, response(200, true, true, &own), None),
        (Safe, response(200, true, false, "answer"), None),
        (Safe, response(500, true, true, &own), None),
        (Safe, response(502, false, true, ""), None),
        (Safe, response(200, false, true, &own), Some(Guarantee::OwnResponse)),
        (Safe, response(200, true, true, &response_body("b")), Some(Guarantee::OwnResponse)),
        (Safe, response(500, false, true, ""), Some(Guarantee::OwnResponse)),
        (Safe, response(503, true, true, ""), Some(Guarantee::OwnResponse)),
        (Stream, response(200, true, true, &stream("a", 0..EVENT_COUNT)), None),
        (Stream, response(200, true, false, &stream("a", 0..3)), None),
        (
            Stream,
            response(200, false, true, &stream("a", 0..EVENT_COUNT)),
            Some(Guarantee::OwnResponse),
        ),
        (Stream, response(200, true, true, &stream("a", 0..3)), Some(Guarantee::EventOrder)),
        (Stream, response(200, true, false, &stream("a", [0, 2])), Some(Guarantee::EventOrder)),
        (Stream, response(200, true, false, &stream("a", [0, 0])), Some(Guarantee::EventOrder)),
        (Stream, response(200, true, false, &stream("b", 0..3)), Some(Guarantee::EventOrder)),
    ];
    for (kind, outcome, expected) in rows {
        let history = history(call("a", kind, outcome.clone()), vec![run("a", "i-1")]);
        assert_eq!(violated_guarantees(&history), Vec::from_iter(expected), "{kind:?} {outcome:?}");
    }
}

#[test]
fn repeated_runs_and_runs_of_refused_requests_are_reported() {
    use CallKind::{Once, Safe, StreamOnce};
    let two_runs = || vec![run("a", "i-1"), run("a", "i-2")];
    let refused = || response(503, false, true, "");
    let rows = [
        (Safe, response(200, true, true, &response_body("a")), two_runs(), None),
        (Safe, refused(), vec![run("a", "i-1")], None),
        (Once, CallOutcome::NoResponse, vec![run("a", "i-1")], None),
        (Once, refused(), vec![], None),
        (Once, CallOutcome::NoResponse, two_runs(), Some(Guarantee::AtMostOnce)),
        (StreamOnce, CallOutcome::NoResponse, two_runs(), Some(Guarantee::AtMostOnce)),
        (Once, refused(), vec![run("a", "i-1")], Some(Guarantee::AccurateRefusal)),
        (Once, refused(), vec![RunRecord { ran: false, ..run("a", "i-1") }], None),
    ];
    for (kind, outcome, runs, expected) in rows {
        let history = history(call("a", kind, outcome), runs);
        assert_eq!(violated_guarantees(&history), Vec::from_iter(expected), "{history:?}");
    }
}

#[test]
fn requests_that_no_caller_sent_are_reported() {
    let call = call("a", CallKind::Safe, CallOutcome::NoResponse);
    let wrong = [
        run("b", "i-1"),
        RunRecord { intact: false, ..run("a", "i-1") },
        RunRecord { organisation: "other".to_owned(), ..run("a", "i-1") },
    ];
    for run in wrong {
        let history = history(call.clone(), vec![run]);
        assert_eq!(violated_guarantees(&history), [Guarantee::UnchangedRequest], "{history:?}");
    }
}

/// The bound on removed keys is checked under any fault; the one on leaving replicas only where no
/// fault is near.
#[test]
fn late_requests_after_removals_and_drains_are_reported() {
    let sent_at = 20_000_000;
    let call_after_removal = |at: u64| {
        let call = CallRecord { sent_at, ..call("a", CallKind::Safe, CallOutcome::NoResponse) };
        let mut history = history(call, vec![run("a", "i-1")]);
        history.revoked.push(("key".to_owned(), at));
        history.disruptions.push(Disruption {
            kind: DisruptionKind::Fault,
            from: 0,
            to: u64::MAX / 2,
        });
        history
    };
    assert_eq!(violated_guarantees(&call_after_removal(sent_at - REVOKE_TIME)), []);
    assert_eq!(
        violated_guarantees(&call_after_removal(sent_at - REVOKE_TIME - 1)),
        [Guarantee::RemovedKey]
    );

    let leaving = |at: u64, fault: Option<u64>| {
        let call = call("a", CallKind::Safe, CallOutcome::NoResponse);
        let mut history = history(call, vec![RunRecord { at: sent_at, ..run("a", "i-1") }]);
        history.leaving.push(("i-1".to_owned(), at));
        let fault = fault.map(|to| Disruption { kind: DisruptionKind::Fault, from: 0, to });
        history.disruptions.extend(fault);
        history
    };
    let left_at = sent_at - DRAIN_TIME - 1;
    assert_eq!(violated_guarantees(&leaving(left_at + 1, None)), []);
    assert_eq!(violated_guarantees(&leaving(left_at, None)), [Guarantee::LeavingReplica]);
    assert_eq!(violated_guarantees(&leaving(left_at, Some(left_at - SETTLE_TIME))), []);
    assert_eq!(
        violated_guarantees(&leaving(left_at, Some(left_at - SETTLE_TIME - 1))),
        [Guarantee::LeavingReplica]
    );
}

/// A relay that could not reach the store when a replica announced that it leaves must know of it
/// once it follows the store again.
#[test]
fn requests_after_a_missed_drain_are_reported() {
    let sent_at = 20_000_000;
    let left_at = sent_at - 12_060_000;
    let with = |kind: DisruptionKind, from: u64, to: u64| {
        let call = call("a", CallKind::Safe, CallOutcome::NoResponse);
        let mut history = history(call, vec![RunRecord { at: sent_at, ..run("a", "i-1") }]);
        history.leaving.push(("i-1".to_owned(), left_at));
        history.disruptions.push(Disruption { kind, from, to });
        violated_guarantees(&history)
    };
    let last_fault = sent_at - SETTLE_TIME - 1;
    let late = vec![Guarantee::LeavingReplica];
    assert_eq!(with(DisruptionKind::RelayFault(0), left_at - 1, last_fault), late);
    assert_eq!(with(DisruptionKind::RelayFault(0), left_at - 1, last_fault + 1), []);
    assert_eq!(
        with(DisruptionKind::RelayFault(1), left_at - 1, sent_at),
        late,
        "fault of another relay"
    );
    assert_eq!(with(DisruptionKind::StoreFault, left_at + 1, last_fault), late);
    assert_eq!(
        with(DisruptionKind::StoreFault, left_at - 1, left_at),
        [],
        "the store was failing at that time"
    );
}

#[test]
fn planned_stops_that_cut_a_call_are_reported() {
    let stop =
        |relay| Disruption { kind: DisruptionKind::PlannedStop(relay), from: 0, to: 9_000_000 };
    let fault = Disruption { kind: DisruptionKind::Fault, from: 0, to: 10 };
    let interrupted =
        || history(call("a", CallKind::Once, CallOutcome::NoResponse), vec![run("a", "i-1")]);
    let with = |disruptions: &[Disruption]| {
        let mut history = interrupted();
        history.disruptions.extend_from_slice(disruptions);
        violated_guarantees(&history)
    };
    assert_eq!(with(&[stop(0)]), [Guarantee::PlannedStop]);
    assert_eq!(with(&[stop(1)]), []);
    assert_eq!(with(&[stop(0), fault]), []);
    let mut not_run = interrupted();
    not_run.runs.clear();
    not_run.disruptions.push(stop(0));
    assert_eq!(violated_guarantees(&not_run), []);
}

/// Also guards against a check that never applies: a stop alone does not excuse a lost request.
#[test]
fn requests_lost_on_kept_connections_are_reported() {
    let lost = |reused_after| CallRecord {
        reused_after,
        ..call("a", CallKind::Safe, CallOutcome::NoResponse)
    };
    let with = |reused_after, kind, from| {
        let mut history = history(lost(reused_after), Vec::new());
        history.disruptions.push(Disruption { kind, from, to: from + 9_000_000 });
        history.calls[0].sent_at += 6_000_000;
        history.calls[0].ended_at += 6_000_000;
        violated_guarantees(&history)
    };
    use DisruptionKind::{PlannedStop, RelayFault};
    assert_eq!(with(Some(KEPT_TIME - 1), PlannedStop(0), 2_000_000), [Guarantee::KeptConnection]);
    assert_eq!(with(Some(KEPT_TIME), PlannedStop(0), 2_000_000), []);
    assert_eq!(with(None, PlannedStop(0), 2_000_000), []);
    assert_eq!(with(Some(0), PlannedStop(0), 0), [], "the grace period may have ended");
    assert_eq!(with(Some(0), RelayFault(0), 2_000_000), []);
    assert_eq!(with(Some(0), RelayFault(1), 2_000_000), [Guarantee::KeptConnection]);
    let seen = history(lost(Some(0)), vec![run("a", "i-1")]);
    assert_eq!(violated_guarantees(&seen), [Guarantee::KeptConnection], "a replica has seen it");
}

#[test]
fn valid_keys_that_are_called_unknown_are_reported() {
    let refused = call("a", CallKind::Safe, response(401, false, true, ""));
    let with = |revoked: &[(&str, u64)]| {
        let mut history = history(refused.clone(), Vec::new());
        history.revoked = revoked.iter().map(|(key, at)| ((*key).to_owned(), *at)).collect();
        violated_guarantees(&history)
    };
    assert_eq!(with(&[]), [Guarantee::ValidKey]);
    assert_eq!(with(&[("other", 0), ("key", 1_500_001)]), [Guarantee::ValidKey]);
    assert_eq!(with(&[("key", 1_500_000)]), []);
}

#[test]
fn process_exits_memory_and_recovery_are_checked() {
    let rows = [
        (
            RunHistory { unexpected_exits: vec!["relay 0".to_owned()], ..Default::default() },
            Guarantee::ProcessExit,
        ),
        (
            RunHistory { memory_kb: vec![MAX_MEMORY_KB + 1], ..Default::default() },
            Guarantee::Memory,
        ),
        (RunHistory { after_faults: (100, 24), ..Default::default() }, Guarantee::Recovery),
        (
            RunHistory { longest_unattended: [(0, CONTACT_TIME)].into(), ..Default::default() },
            Guarantee::Attendance,
        ),
    ];
    for (history, expected) in rows {
        assert_eq!(violated_guarantees(&history), [expected]);
    }
    let unbroken = RunHistory {
        memory_kb: vec![MAX_MEMORY_KB],
        after_faults: (100, 25),
        longest_unattended: [(0, CONTACT_TIME - Duration::from_millis(1))].into(),
        ..RunHistory::default()
    };
    assert_eq!(violated_guarantees(&unbroken), []);
}

#[test]
fn the_share_of_each_second_after_a_loss_is_checked() {
    const BEFORE: (usize, usize) = (100, 80);
    let rows: [(&[(usize, usize)], bool); 6] = [
        (&[(50, 0), (50, 0), (50, 0), (50, 30)], true),
        (&[(50, 0), (50, 0), (50, 0), (50, 29)], false),
        (&[(50, 0), (50, 0), (50, 0), (50, 40), (50, 29)], false),
        (&[(50, 40), (50, 40), (50, 40), (0, 0)], false),
        (&[(500, 0), (500, 0), (500, 0), (500, 0)], false),
        (&[(50, 0), (50, 0), (50, 0)], true),
    ];
    for (after, holds) in rows {
        assert_eq!(check_recovery(BEFORE, after).is_none(), holds, "{after:?}");
    }
    assert!(check_recovery((100, 0), &[(10, 10); 10]).is_some(), "nothing to compare with");
}

#[test]
fn what_is_served_after_all_engines_lost_their_layers_is_checked() {
    // 100 of 100 calls in each of three seconds.
    const BEFORE: (usize, usize) = (300, 300);
    let with = |second: usize, calls: (usize, usize)| {
        let mut after = [(100, 100); 12];
        after[..5].fill((400, 0));
        after[second] = calls;
        after
    };
    let rows = [
        (with(5, (400, 50)), true),
        (with(5, (90, 45)), true),
        (with(5, (400, 49)), false),
        (with(7, (400, 50)), true),
        (with(8, (400, 90)), true),
        (with(8, (60, 60)), true),
        (with(8, (400, 89)), false),
        (with(11, (100, 0)), false),
        (with(11, (0, 0)), false),
    ];
    for (after, holds) in rows {
        assert_eq!(check_load_recovery(BEFORE, 3, &after).is_none(), holds, "{after:?}");
    }
    let nothing = check_load_recovery((300, 0), 3, &[(10, 10); 10]);
    assert!(nothing.is_some(), "nothing to compare with");
}

#[test]
fn what_is_served_at_first_during_a_crowd_is_checked() {
    const BEFORE: (usize, usize) = (400, 400);
    let rows: &[(&[(usize, usize)], bool)] = &[
        (&[(100, 100), (300, 225)], true),
        (&[(100, 100), (300, 224)], false),
        (&[(100, 0)], false),
        (&[(19, 0)], true),
        (&[], true),
    ];
    for (during, holds) in rows {
        assert_eq!(check_crowd(BEFORE, during).is_none(), *holds, "{during:?}");
    }
    assert!(check_crowd((400, 200), &[(100, 40)]).is_none(), "four fifths of the share before");
    assert!(check_crowd((400, 0), &[(100, 100)]).is_some(), "nothing to compare with");
}

/// A request, or a part of prompts, that crashes one replica after the other: as often as allowed
/// before the settle time, and again after it.
#[test]
fn crash_requests_that_are_not_quarantined_are_reported() {
    let with = |(name, early): (&str, u64), late: u64, disruptions: &[DisruptionKind]| {
        let last_allowed_at = early * 1_000_000;
        let mut history = RunHistory::default();
        let at = (0..early).map(|number| number * 1_000_000 + 1_000_000);
        let after = (0..late).map(|number| last_allowed_at + SETTLE_TIME + 1 + number);
        for (number, at) in at.chain(after).enumerate() {
            let id = format!("a{number}");
            let replica = format!("i-{number}");
            let bad = Some(name.to_owned());
            history.runs.push(RunRecord { at, bad, ..run(&id, &replica) });
            history.calls.push(call(&id, CallKind::Safe, CallOutcome::NoResponse));
        }
        let fault =
            |kind| Disruption { kind, from: last_allowed_at, to: last_allowed_at + SETTLE_TIME };
        history.disruptions.extend(disruptions.iter().copied().map(fault));
        violated_guarantees(&history)
    };
    for crashing in [("bad-0", 3), ("dead0", 5)] {
        assert_eq!(with(crashing, 3, &[]), []);
        assert_eq!(with(crashing, 4, &[]), [Guarantee::CrashRequest]);
        assert_eq!(
            with(crashing, 4, &[DisruptionKind::ReplicaCrash]),
            [Guarantee::CrashRequest],
            "a crash that the request itself caused does not excuse"
        );
        let unstable = [DisruptionKind::RelayFault(0)];
        assert_eq!(with(crashing, 4, &unstable), [], "the relay was not stable");
    }
}

#[test]
fn more_attempts_than_allowed_are_reported() {
    let mut history = RunHistory::default();
    for number in 0..4 {
        let id = format!("a{number}");
        history.runs.extend(["i-1", "i-2", "i-3"].map(|replica| run(&id, replica)));
        history.calls.push(call(&id, CallKind::Safe, CallOutcome::NoResponse));
    }
    assert_eq!(violated_guarantees(&history), [Guarantee::MaxAttempts]);
    history.calls.pop();
    history.runs.truncate(9);
    assert_eq!(violated_guarantees(&history), []);
}

/// Calls of a class, of which `served` in 100 were served.
fn class_calls(class: u8, calls: usize, served: usize) -> Vec<CallRecord> {
    let events = 0..EVENT_COUNT;
    let outcome = |number: usize, id: &str| match number % 100 < served {
        true => response(200, true, true, &stream(id, events.clone())),
        false => response(503, false, true, ""),
    };
    let make = |number: usize| {
        let id = format!("k{class}x{number}");
        call(&id, CallKind::Class(class), outcome(number, &id))
    };
    (0..calls).map(make).collect()
}

/// Guards against an order that puts an urgent class behind a less urgent one under overload.
#[test]
fn an_urgent_class_that_is_served_less_often_is_reported() {
    let violated = |classes: [(usize, usize); 3]| {
        let calls = classes.iter().zip(0..);
        let calls = calls.flat_map(|((calls, served), class)| class_calls(class, *calls, *served));
        violated_guarantees(&RunHistory { calls: calls.collect(), ..RunHistory::default() })
    };
    assert_eq!(violated([(100, 90), (100, 50), (100, 10)]), []);
    assert_eq!(violated([(100, 50), (100, 55), (100, 55)]), []);
    assert_eq!(violated([(100, 50), (100, 56), (100, 40)]), [Guarantee::ClassOrder]);
    assert_eq!(violated([(100, 50), (100, 50), (100, 56)]), [Guarantee::ClassOrder; 2]);
    let mut calls = class_calls(0, 100, 100);
    calls.extend(class_calls(1, 100, 100));
    let refused =
        |number| call(&format!("n{number}"), CallKind::Class(0), response(401, false, true, ""));
    calls.extend((0..100).map(refused));
    let revoked = vec![("key".to_owned(), 0)];
    let history = RunHistory { calls, revoked, ..RunHistory::default() };
    assert_eq!(violated_guarantees(&history), [], "refused for their key, not for their class");
    // Too few calls to tell.
    assert_eq!(violated([(99, 10), (100, 90), (100, 90)]), []);
}

/// Streams of a class may run more than once, but not if the caller is told that they did not run.
#[test]
fn a_refused_stream_of_a_class_did_not_run() {
    let call = |outcome: CallOutcome| call("a", CallKind::Class(0), outcome);
    let runs = || vec![run("a", "i-1"), run("a", "i-2")];
    let refused = history(call(response(503, false, true, "")), runs());
    assert_eq!(violated_guarantees(&refused), [Guarantee::AccurateRefusal]);
    let unknown = history(call(response(502, false, true, "")), runs());
    assert_eq!(violated_guarantees(&unknown), []);
}

/// Guards against retries beyond the budget, which no single request shows.
#[test]
fn retries_beyond_the_budget_are_reported() {
    let violated = |retries: usize, at: u64| {
        let runs = (0..100).flat_map(|number| {
            let id = format!("r{number}");
            let first = RunRecord { at: 20_000_000, ..run(&id, "i-1-0") };
            let second = RunRecord { at, ..run(&id, "i-2-0") };
            [Some(first), (number < retries).then_some(second)]
        });
        let runs: Vec<RunRecord> = runs.flatten().collect();
        let mut history = history_of_runs(runs);
        history.calls.sort_by(|left, right| left.id.cmp(&right.id));
        history.calls.dedup_by(|left, right| left.id == right.id);
        violated_guarantees(&history)
    };
    assert_eq!(violated(40, 21_000_000), []);
    assert_eq!(violated(41, 21_000_000), [Guarantee::RetryBudget]);
    // The requests of the window before count as well.
    assert_eq!(violated(40, 29_000_000), []);
}

/// History of a call while sound replicas fall silent: replica 1 does so for 1.5 s from its start.
fn silent_history(call: CallRecord, runs: Vec<RunRecord>) -> RunHistory {
    let silence =
        Disruption { kind: DisruptionKind::ReplicaSilence(1), from: 1_000_000, to: 2_500_000 };
    RunHistory {
        silence_span: Some((0, 60_000_000)),
        idle_limits: vec![(0, 15_000_000)],
        disruptions: vec![silence],
        ..history(call, runs)
    }
}

#[test]
fn requests_without_a_visible_end_are_reported() {
    let aborted = response(200, true, false, &stream("a", 0..3));
    let ran = || vec![run("a", "i-1-0")];
    for (outcome, runs, is_reported) in [
        (CallOutcome::NoResponse, ran(), true),
        (CallOutcome::NoResponse, vec![], false),
        (CallOutcome::NotConnected, vec![], false),
        (aborted.clone(), ran(), true),
        (response(200, true, true, &stream("a", 0..EVENT_COUNT)), ran(), false),
        (response(503, false, true, ""), vec![], false),
    ] {
        let call = call("a", CallKind::Stream, outcome.clone());
        let history = silent_history(call, runs);
        let expected = if is_reported { vec![Guarantee::VisibleEnd] } else { vec![] };
        assert_eq!(violated_guarantees(&history), expected, "{outcome:?}");
    }
    let cut = || silent_history(call("a", CallKind::Stream, aborted.clone()), ran());
    for (kind, excuses) in [
        (DisruptionKind::Fault, true),
        (DisruptionKind::LinkFault(3), true),
        (DisruptionKind::PlannedWork, false),
        (DisruptionKind::PlannedStop(0), false),
        (DisruptionKind::ReplicaSilence(3), false),
    ] {
        let mut history = cut();
        history.disruptions.push(Disruption { kind, from: 1_200_000, to: 2_000_000 });
        let is_reported = violated_guarantees(&history).contains(&Guarantee::VisibleEnd);
        assert_eq!(is_reported, !excuses, "{kind:?}");
    }
    let mut broken_off = cut();
    broken_off.cuts.insert("a".to_owned());
    assert_eq!(violated_guarantees(&broken_off), []);
    let outside = RunHistory { silence_span: None, ..cut() };
    assert_eq!(violated_guarantees(&outside), []);
}

/// A request whose last part arrives late, on a connection that had rested within its limit, was
/// closed without an answer.
#[test]
fn requests_closed_between_their_parts_are_reported() {
    for (reused_after, is_reported) in [(12_000_000, true), (12_500_000, false)] {
        let timing = CallTiming { sending: 700_000, ..CallTiming::default() };
        let rested = CallRecord {
            reused_after: Some(reused_after),
            timing,
            sent_at: 20_000_000,
            ended_at: 20_500_000,
            ..call("a", CallKind::Safe, CallOutcome::NoResponse)
        };
        let is_found = !violated_guarantees(&silent_history(rested, vec![])).is_empty();
        assert_eq!(is_found, is_reported, "{reused_after}");
    }
}

#[test]
fn requests_ended_by_silence_are_reported() {
    let refused = |status| response(status, false, true, "");
    for (outcome, replica, is_reported) in [
        (CallOutcome::Left, "i-1-0", true),
        (CallOutcome::Left, "i-2-0", false),
        (refused(502), "i-1-0", true),
        (refused(504), "i-1-0", true),
        (refused(502), "i-2-0", false),
    ] {
        let call = call("a", CallKind::Stream, outcome.clone());
        let history = silent_history(call, vec![run("a", replica)]);
        let expected = if is_reported { vec![Guarantee::Silence] } else { vec![] };
        assert_eq!(violated_guarantees(&history), expected, "{outcome:?} at {replica}");
    }
    let left =
        || silent_history(call("a", CallKind::Stream, CallOutcome::Left), vec![run("a", "i-1-0")]);
    // A request whose key is removed is not sent again, but its silent response goes on.
    for (outcome, expected) in
        [(CallOutcome::Left, vec![Guarantee::Silence]), (refused(502), vec![])]
    {
        let call = call("a", CallKind::Stream, outcome);
        let mut without_key = silent_history(call, vec![run("a", "i-1-0")]);
        without_key.revoked.push(("key".to_owned(), 1_400_000));
        assert_eq!(violated_guarantees(&without_key), expected);
    }
    // Two silences may follow each other.
    let mut history = left();
    history.disruptions.push(Disruption {
        kind: DisruptionKind::ReplicaSilence(1),
        from: 1_400_000,
        to: 2_000_000,
    });
    assert_eq!(violated_guarantees(&history), []);
}
