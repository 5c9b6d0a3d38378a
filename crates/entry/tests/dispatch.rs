//! Tests of the entry's state machine: admission, outcomes, timeouts and recovery.

use std::sync::Arc;

use assert_matches::assert_matches;
use switchfold_core::id::RequestId;
use switchfold_entry::dispatch::{
    DispatchAction, DispatchConfig, DispatchState, ModelConfig,
    submission::{CallerEvent, NotRunReason, Outcome, Submission, UnknownReason, Work},
};
use switchfold_proto::link::{self, RefusalReason, VoidOutcome, message::Body};

const MODEL: &str = "m";

fn state() -> DispatchState {
    let models = vec![ModelConfig { name: MODEL.to_owned(), layers: 4 }];
    DispatchState::new(DispatchConfig::new("e", 1, models))
}

fn offer(process: &str, layers: Option<(u32, u32)>, credits: u32) -> link::Offer {
    let (first_layer, end_layer) = layers.unwrap_or((0, 0));
    link::Offer {
        process: process.to_owned(),
        incarnation: 1,
        model: if layers.is_some() { MODEL.to_owned() } else { String::new() },
        service: if layers.is_some() { String::new() } else { "bidding".to_owned() },
        first_layer,
        end_layer,
        slots: 10,
        credits,
        spare: 5,
        step_micros: 1_000,
        max_batch: 4,
        ..link::Offer::default()
    }
}

fn receive_offer(state: &mut DispatchState, now: u64, offer: link::Offer) -> Vec<DispatchAction> {
    let process = offer.process.clone();
    state.on_message(now, &process, &process, Body::Offer(offer))
}

/// Returns a state with two stages of two replicas each: `a1` and `a2`, `b1` and `b2`.
fn state_with_replicas(now: u64) -> DispatchState {
    let mut state = state();
    for (process, layers) in [("a1", (0, 2)), ("a2", (0, 2)), ("b1", (2, 4)), ("b2", (2, 4))] {
        receive_offer(&mut state, now, offer(process, Some(layers), 4));
    }
    state
}

fn make_submission(state: &mut DispatchState, deadline: u64, once: bool) -> Submission {
    Submission {
        id: state.issue_id(),
        organisation: Arc::from("org"),
        weight: 1,
        class: Arc::from("class"),
        target: MODEL.to_owned(),
        priority: 1,
        deadline,
        once,
        work: Work::Completion { prompt: vec![1, 2], max_tokens: 3 },
    }
}

fn make_call(state: &mut DispatchState, once: bool) -> Submission {
    let work = Work::Call {
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    };
    Submission { target: "bidding".to_owned(), work, ..make_submission(state, 10_000, once) }
}

fn sent_start(actions: &[DispatchAction]) -> Option<(&str, &link::Start)> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Send { process, body: Body::Start(start) } => {
            Some((process.as_str(), start))
        }
        _ => None,
    })
}

fn caller_events(actions: &[DispatchAction]) -> Vec<&CallerEvent> {
    let mut events = Vec::new();
    for action in actions {
        if let DispatchAction::Notify { event, .. } = action {
            events.push(event);
        }
    }
    events
}

fn token(id: RequestId, attempt: u32, index: u32, last: bool) -> Body {
    Body::Token(link::Token {
        request: Some(id.into()),
        attempt,
        index,
        token: 40 + index,
        resend: 0,
        last,
    })
}

fn refusal(id: RequestId, attempt: u32, reason: RefusalReason, about: &str) -> Body {
    Body::Refusal(link::Refusal {
        request: Some(id.into()),
        attempt,
        reason: reason.into(),
        about: about.to_owned(),
    })
}

/// Submits a request that is dispatched at once. Returns its id and the processes of its stages.
fn submit_dispatched(state: &mut DispatchState, now: u64, once: bool) -> (RequestId, Vec<String>) {
    let submission = make_submission(state, now + 5_000, once);
    let id = submission.id;
    let actions = state.submit(now, submission);
    let (_, start) = sent_start(&actions).expect("a path is free");
    let stages = &start.route.as_ref().expect("a start carries the route").stages;
    (id, stages.iter().map(|stage| stage.process.clone()).collect())
}

#[test]
fn tokens_are_delivered_once_in_order_and_the_outcome_is_recorded() {
    let mut state = state_with_replicas(0);
    let (id, stages) = submit_dispatched(&mut state, 10, false);
    assert_eq!(state.outcome(id), Some(Outcome::Running));
    assert!(
        caller_events(&state.on_message(20, &stages[1], "", token(id, 1, 1, false))).is_empty(),
        "token 0 is missing"
    );
    let actions = state.on_message(21, &stages[1], "", token(id, 1, 0, false));
    assert_matches!(
        caller_events(&actions)[..],
        [CallerEvent::Tokens(tokens)] if tokens == &[40, 41]
    );
    assert!(
        caller_events(&state.on_message(22, &stages[1], "", token(id, 1, 1, false))).is_empty(),
        "a repeated token is not delivered again"
    );
    assert!(
        caller_events(&state.on_message(22, &stages[0], "", token(id, 1, 2, true))).is_empty(),
        "only the last stage sends tokens"
    );
    let actions = state.on_message(23, &stages[1], "", token(id, 1, 2, true));
    assert_matches!(
        caller_events(&actions)[..],
        [CallerEvent::Tokens(_), CallerEvent::Done { count: 3 }]
    );
    let released = actions
        .iter()
        .filter(|action| matches!(action, DispatchAction::Send { body: Body::Release(_), .. }));
    assert_eq!(released.count(), 2);
    assert_eq!((state.outcome(id), state.in_flight()), (Some(Outcome::Done), 0));
}

#[test]
fn requests_that_were_not_sent_out_end_as_not_run() {
    let mut state = state();
    let submission = make_submission(&mut state, 100, false);
    let id = submission.id;
    assert!(caller_events(&state.submit(0, submission)).is_empty());
    assert_eq!(state.queue_depths()[0].waiting, 1);
    let actions = state.tick(150);
    assert_matches!(
        caller_events(&actions)[..],
        [CallerEvent::NotRun { reason: NotRunReason::DeadlinePassed, .. }]
    );
    assert_eq!(state.outcome(id), Some(Outcome::NotRun(NotRunReason::DeadlinePassed)));
    let cancelled = make_submission(&mut state, 5_000, false);
    let id = cancelled.id;
    state.submit(200, cancelled);
    state.cancel(201, id);
    assert_eq!(state.outcome(id), Some(Outcome::NotRun(NotRunReason::Cancelled)));
}

#[test]
fn an_unreachable_deadline_is_refused_at_once_with_a_retry_time() {
    let mut state = state();
    receive_offer(&mut state, 0, offer("a", Some((0, 4)), 1));
    let mut now = 0;
    // The replica finishes one request every 100 ms.
    for _ in 0..20 {
        let (id, stages) = submit_dispatched(&mut state, now, false);
        now += 100;
        state.tick(now);
        for index in 0..3 {
            state.on_message(now, &stages[0], "", token(id, 1, index, index == 2));
        }
        receive_offer(&mut state, now, offer("a", Some((0, 4)), 1));
    }
    submit_dispatched(&mut state, now, false);
    for _ in 0..30 {
        let waiting = make_submission(&mut state, now + 60_000, false);
        state.submit(now, waiting);
    }
    let late_submission = make_submission(&mut state, now + 500, false);
    let actions = state.submit(now, late_submission);
    assert_matches!(
        caller_events(&actions)[..],
        [CallerEvent::NotRun { reason: NotRunReason::DeadlineUnreachable, retry_after }] if *retry_after > 1_000
    );
}

#[test]
fn a_request_refused_before_it_ran_is_sent_to_another_replica() {
    for reason in [
        RefusalReason::Draining,
        RefusalReason::NoSlot,
        RefusalReason::TooOld,
        RefusalReason::WrongLayer,
    ] {
        let mut state = state_with_replicas(0);
        let (id, stages) = submit_dispatched(&mut state, 10, true);
        let actions = state.on_message(20, &stages[0], "", refusal(id, 1, reason, &stages[0]));
        let (process, start) = sent_start(&actions).expect("sent to the other replica");
        assert_ne!(process, stages[0], "{reason:?}");
        assert_eq!(start.attempt, 2, "{reason:?}");
        assert!(caller_events(&actions).is_empty(), "{reason:?}");
    }
}

#[test]
fn only_the_lost_stage_is_replaced_and_the_others_are_rerouted() {
    let mut state = state_with_replicas(0);
    let (id, stages) = submit_dispatched(&mut state, 10, false);
    state.on_message(20, &stages[1], "", token(id, 1, 0, false));
    let actions = state.on_link_lost(30, &stages[1]);
    let rerouted: Vec<&str> = actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Send { process, body: Body::Reroute(reroute) }
                if reroute.attempt == 2 =>
            {
                Some(process.as_str())
            }
            _ => None,
        })
        .collect();
    assert_eq!(rerouted, [stages[0].as_str()]);
    assert!(sent_start(&actions).is_none(), "the first stage is not restarted");
    let late = state.on_message(31, &stages[1], "", token(id, 1, 1, false));
    assert!(caller_events(&late).is_empty(), "tokens of the lost stage are ignored");
    let other = if stages[1] == "b1" { "b2" } else { "b1" };
    assert_matches!(
        caller_events(&state.on_message(40, other, "", token(id, 2, 1, false)))[..],
        [CallerEvent::Tokens(_)]
    );
    assert_eq!(state.counts().stages_replaced, 1);
}

#[test]
fn a_replaced_first_stage_starts_with_the_delivered_tokens() {
    let mut state = state_with_replicas(0);
    let (id, stages) = submit_dispatched(&mut state, 10, false);
    state.on_message(20, &stages[1], "", token(id, 1, 0, false));
    let actions = state.on_link_lost(30, &stages[0]);
    let (process, start) = sent_start(&actions).expect("sent to the other first stage");
    assert_ne!(process, stages[0]);
    assert_eq!((start.tokens.as_slice(), start.index), (&[1, 2, 40][..], 1));
}

#[test]
fn a_once_only_request_with_a_lost_agent_is_retried_only_if_it_never_ran() {
    let table = [
        (VoidOutcome::NeverRan, None),
        (VoidOutcome::Ran, Some(Outcome::Unknown(UnknownReason::StageLost))),
        (VoidOutcome::Unknown, Some(Outcome::Unknown(UnknownReason::StageLost))),
    ];
    for (outcome, expected) in table {
        let mut state = state_with_replicas(0);
        let (id, stages) = submit_dispatched(&mut state, 10, true);
        assert!(
            caller_events(&state.on_link_lost(20, &stages[0])).is_empty(),
            "it waits for the lost agent"
        );
        let actions = receive_offer(&mut state, 30, offer(&stages[0], Some((0, 2)), 4));
        assert!(
            actions
                .iter()
                .any(|action| matches!(action, DispatchAction::Send { body: Body::Void(_), .. }))
        );
        let answer = link::VoidAnswer { request: Some(id.into()), outcome: outcome.into() };
        let actions = state.on_message(40, &stages[0], "", Body::VoidAnswer(answer));
        match expected {
            None => assert!(sent_start(&actions).is_some(), "it is sent to another replica"),
            Some(expected) => assert_eq!(state.outcome(id), Some(expected)),
        }
    }
}

#[test]
fn a_restarted_agent_is_not_sent_a_void_request() {
    let mut state = state_with_replicas(0);
    let (id, stages) = submit_dispatched(&mut state, 10, true);
    state.on_link_lost(20, &stages[0]);
    let actions = receive_offer(
        &mut state,
        30,
        link::Offer { incarnation: 2, ..offer(&stages[0], Some((0, 2)), 4) },
    );
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, DispatchAction::Send { body: Body::Void(_), .. }))
    );
    for now in (100..2_000).step_by(100) {
        for process in ["a1", "a2", "b1", "b2"] {
            let (layers, incarnation) = (
                if process.starts_with('a') { (0, 2) } else { (2, 4) },
                1 + u64::from(process == stages[0]),
            );
            receive_offer(
                &mut state,
                now,
                link::Offer { incarnation, ..offer(process, Some(layers), 4) },
            );
        }
        state.tick(now);
    }
    assert_eq!(state.outcome(id), Some(Outcome::Unknown(UnknownReason::StageLost)));
}

#[test]
fn once_only_calls_run_at_most_once() {
    let table = [
        (RefusalReason::EndpointUnreached, true, None),
        (RefusalReason::EndpointFailed, true, Some(Outcome::Unknown(UnknownReason::ServiceFailed))),
        (RefusalReason::EndpointFailed, false, None),
    ];
    for (reason, once, expected) in table {
        let mut state = state();
        receive_offer(&mut state, 0, offer("s1", None, 4));
        receive_offer(&mut state, 0, offer("s2", None, 4));
        let submission = make_call(&mut state, once);
        let id = submission.id;
        let actions = state.submit(1, submission);
        let Some(DispatchAction::Send { process, body: Body::Call(_) }) = actions
            .iter()
            .find(|action| matches!(action, DispatchAction::Send { body: Body::Call(_), .. }))
        else {
            panic!("a call was sent: {actions:?}");
        };
        let actions = state.on_message(2, process, "", refusal(id, 1, reason, process));
        let is_sent_again = actions
            .iter()
            .any(|action| matches!(action, DispatchAction::Send { body: Body::Call(_), .. }));
        match expected {
            None => assert!(is_sent_again, "{reason:?} once {once}"),
            Some(expected) => {
                assert!(!is_sent_again);
                assert_eq!(state.outcome(id), Some(expected));
            }
        }
    }
}

#[test]
fn silent_agents_count_as_lost_and_their_links_are_reset() {
    let mut state = state_with_replicas(0);
    let (_, stages) = submit_dispatched(&mut state, 10, false);
    for now in (50..1_500).step_by(50) {
        for (process, layers) in [("a1", (0, 2)), ("a2", (0, 2)), ("b1", (2, 4)), ("b2", (2, 4))] {
            if process != stages[0] {
                receive_offer(&mut state, now, offer(process, Some(layers), 4));
            }
        }
        let actions = state.tick(now);
        let reset = actions.iter().any(
            |action| matches!(action, DispatchAction::ResetLink { process } if *process == stages[0]),
        );
        assert_eq!(reset, state.counts().replicas_lost == 1 && now == 750, "at {now}");
    }
    assert_eq!(state.counts().replicas_lost, 1);
}

/// A paused entry handles no messages, so all agents appear to have been silent when it resumes.
#[test]
fn a_pause_of_the_entry_does_not_count_as_silence_of_its_agents() {
    let mut state = state_with_replicas(0);
    submit_dispatched(&mut state, 10, true);
    state.tick(50);
    let actions = state.tick(3_000);
    assert!(caller_events(&actions).is_empty());
    assert_eq!(state.counts().replicas_lost, 0);
    assert_eq!(state.counts().resend_requests, 0);
}

/// Idle agents send one heartbeat per second, and busy ones time out after 700 ms. A request sent
/// to an agent that had been silent for most of a second made it time out before its next
/// heartbeat. In a run without faults, a once-only request ended as unknown for that reason.
#[test]
fn the_busy_timeout_of_an_idle_agent_starts_with_its_first_request() {
    let mut state = state_with_replicas(0);
    for now in (50..=950).step_by(50) {
        state.tick(now);
    }
    submit_dispatched(&mut state, 960, true);
    for now in (1_000..=1_600).step_by(50) {
        state.tick(now);
    }
    assert_eq!(state.counts().replicas_lost, 0);
    state.tick(1_700);
    assert_eq!(state.counts().replicas_lost, 2, "both stages exceeded the busy timeout");
}

/// Runs a request whose stages are silent from the start. Returns its state, and the time at which it
/// ended.
fn run_stalled(deadline: u64, token_at: Option<u64>) -> (DispatchState, RequestId, Option<u64>) {
    let mut state = state_with_replicas(0);
    let submission = make_submission(&mut state, deadline, false);
    let id = submission.id;
    state.submit(10, submission);
    let mut ended = None;
    for now in (50..8_000).step_by(50) {
        for (process, layers) in [("a1", (0, 2)), ("a2", (0, 2)), ("b1", (2, 4)), ("b2", (2, 4))] {
            receive_offer(&mut state, now, offer(process, Some(layers), 4));
        }
        if token_at == Some(now) {
            for process in ["b1", "b2"] {
                for index in 0..3 {
                    state.on_message(now, process, "", token(id, 4, index, index == 2));
                }
            }
        }
        state.tick(now);
        if ended.is_none() && state.outcome(id) != Some(Outcome::Running) {
            ended = Some(now);
        }
    }
    (state, id, ended)
}

#[test]
fn stalled_requests_end_as_unknown_after_several_resend_requests_and_their_deadline() {
    for (deadline, expected) in [(1_000, 4_200), (5_010, 5_050), (7_000, 7_050)] {
        let (state, id, ended) = run_stalled(deadline, None);
        assert_eq!(state.counts().resend_requests, 3);
        assert_eq!(state.outcome(id), Some(Outcome::Unknown(UnknownReason::Stalled)));
        assert_eq!(ended, Some(expected), "with a deadline of {deadline}");
    }
}

/// Guards against responses that are ended before their deadline because the engines were silent.
#[test]
fn a_completion_that_goes_on_before_its_deadline_is_delivered() {
    let (state, id, ended) = run_stalled(7_000, Some(6_000));
    assert_eq!(state.outcome(id), Some(Outcome::Done));
    assert_eq!(ended, Some(6_000));
}

/// A stage whose whole process is paused was taken for one that lost a message, and its requests
/// ended as unknown before its agent counted as lost.
#[test]
fn a_paused_stage_does_not_count_as_stalled() {
    let models = vec![ModelConfig { name: MODEL.to_owned(), layers: 4 }];
    let config = DispatchConfig::new("e", 1, models);
    let mut state = DispatchState::new(DispatchConfig { agent_timeout: 5_500, ..config });
    for (process, layers) in [("a1", (0, 2)), ("b1", (2, 4))] {
        receive_offer(&mut state, 0, offer(process, Some(layers), 4));
    }
    let (id, _) = submit_dispatched(&mut state, 10, false);
    for now in (50..=5_000).step_by(50) {
        receive_offer(&mut state, now, offer("b1", Some((2, 4)), 4));
        state.tick(now);
        assert_eq!(state.outcome(id), Some(Outcome::Running), "at {now}");
    }
    assert_eq!(state.counts().resend_requests, 0);
    // It goes on, but lost a message.
    let mut ended = None;
    for now in (5_050..=10_000).step_by(50) {
        for (process, layers) in [("a1", (0, 2)), ("b1", (2, 4))] {
            receive_offer(&mut state, now, offer(process, Some(layers), 4));
        }
        state.tick(now);
        ended = ended.or((state.outcome(id) != Some(Outcome::Running)).then_some(now));
    }
    assert_eq!(state.counts().resend_requests, 3);
    assert_eq!(state.outcome(id), Some(Outcome::Unknown(UnknownReason::Stalled)));
    assert!(ended.is_some_and(|at| at < 9_500), "it did not end in time: {ended:?}");
}

#[test]
fn calls_without_a_response_time_out() {
    let mut state = state();
    receive_offer(&mut state, 0, offer("s1", None, 4));
    let submission = make_call(&mut state, false);
    let id = submission.id;
    state.submit(1, submission);
    for now in (50..70_000).step_by(100) {
        receive_offer(&mut state, now, offer("s1", None, 4));
        state.tick(now);
    }
    assert_eq!(state.outcome(id), Some(Outcome::Unknown(UnknownReason::Stalled)));
}

#[test]
fn the_retry_budget_limits_resends_when_many_replicas_are_lost() {
    let mut state = state();
    for number in 0..30 {
        receive_offer(&mut state, 0, offer(&format!("s{number}"), None, 10));
    }
    for _ in 0..300 {
        let submission = make_call(&mut state, false);
        state.submit(1, submission);
    }
    assert_eq!(state.counts().dispatched, 300);
    for number in 0..10 {
        state.on_link_lost(10, &format!("s{number}"));
    }
    let sent = state.counts().dispatched;
    assert!(sent <= 332, "{sent} sent of 300 offered: the reserve of retries is 32");
}
