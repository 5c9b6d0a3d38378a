//! Tests of the agent's state machine: admission, refusals, steps, drain and heartbeats.

use assert_matches::assert_matches;
use switchfold_agent::gate::{
    CallOutcome, EngineDescription, EntryKey, GateAction, GateConfig, GateEndpoint, GateState,
    ServiceCall,
};
use switchfold_core::route::LayerRange;
use switchfold_proto::{
    engine::{StepInput, StepOutput},
    link::{self, RefusalReason, VoidOutcome, message::Body},
};

fn entry(name: &str) -> EntryKey {
    EntryKey { name: name.to_owned(), incarnation: 1 }
}

fn config(endpoint: GateEndpoint) -> GateConfig {
    GateConfig {
        process: "engine-1".to_owned(),
        incarnation: 9,
        address: "b".to_owned(),
        data_centre: "here".to_owned(),
        endpoint,
        reserve_hundredths: 25,
        target_hundredths: 0,
        log_bytes: 64,
        ledger_capacity: 100,
    }
}

/// Returns a gate in front of an engine with layers 2 and 3, the middle one of three stages.
fn engine_gate(slots: u32) -> GateState {
    let mut gate = GateState::new(config(GateEndpoint::Engine(EngineDescription {
        model: "m".to_owned(),
        layers: LayerRange::new(2, 4).expect("not empty"),
        max_batch: 2,
        slots,
        fixed_micros: 100,
        item_micros: 10,
        accelerator: "test".to_owned(),
    })));
    gate.entry_connected(entry("e"));
    gate
}

fn service_gate() -> GateState {
    let mut gate =
        GateState::new(config(GateEndpoint::Service { name: "bidding".to_owned(), slots: 2 }));
    gate.entry_connected(entry("e"));
    gate
}

fn id(counter: u64) -> Option<link::RequestId> {
    Some(link::RequestId { incarnation: 1, counter })
}

fn route(joined: [u32; 3]) -> link::Route {
    let stage = |number: u32, address: &str| link::Stage {
        address: address.to_owned(),
        first_layer: 2 * number,
        end_layer: 2 * number + 2,
        joined: joined[number as usize],
        process: address.to_owned(),
    };
    link::Route {
        model: "m".to_owned(),
        stages: vec![stage(0, "a"), stage(1, "b"), stage(2, "c")],
        entry: "e".to_owned(),
        entry_incarnation: 1,
        prompt_len: 2,
        max_tokens: 5,
        priority: 1,
        once: false,
        lineage: 1,
    }
}

fn step(
    counter: u64,
    attempt: u32,
    first_position: u32,
    len: u32,
    route: Option<link::Route>,
) -> link::Step {
    link::Step {
        request: id(counter),
        attempt,
        index: 0,
        layer: 2,
        first_position,
        inputs: (0..len).collect(),
        activations: vec![7; 8 * len as usize].into(),
        resend: 0,
        route,
    }
}

fn engine_steps(actions: &[GateAction]) -> Vec<&StepInput> {
    let mut steps = Vec::new();
    for action in actions {
        if let GateAction::RunStep(step) = action {
            steps.push(step);
        }
    }
    steps
}

fn refusal(actions: &[GateAction]) -> Option<RefusalReason> {
    actions.iter().find_map(|action| match action {
        GateAction::ToEntry { body: Body::Refusal(refusal), .. } => Some(refusal.reason()),
        _ => None,
    })
}

fn forwarded_step(actions: &[GateAction]) -> Option<(&str, &link::Step)> {
    actions.iter().find_map(|action| match action {
        GateAction::ToStage { address, body: Body::Step(step) } => Some((address.as_str(), step)),
        _ => None,
    })
}

fn output(step: &StepInput) -> StepOutput {
    StepOutput {
        ticket: step.ticket,
        activations: step.activations.clone(),
        token: 3,
        error: String::new(),
    }
}

/// Sends the first step of a request to the gate and runs it on the engine.
fn run_first_step(gate: &mut GateState, counter: u64) -> Vec<GateAction> {
    let actions = gate.on_stage_message(Body::Step(step(counter, 1, 0, 2, Some(route([1, 1, 1])))));
    let done = output(engine_steps(&actions)[0]);
    gate.on_output(&done)
}

#[test]
fn a_step_runs_once_and_its_output_goes_to_the_next_stage() {
    let mut gate = engine_gate(8);
    let actions = run_first_step(&mut gate, 1);
    let (address, sent) = forwarded_step(&actions).expect("sent to the next stage");
    assert_eq!((address, sent.layer, sent.first_position, sent.inputs.len()), ("c", 4, 0, 2));
    assert!(sent.route.is_some(), "the first step of an attempt carries the route");
    let again = gate.on_stage_message(Body::Step(step(1, 1, 0, 2, None)));
    assert!(again.is_empty());
    assert_eq!(gate.counts().dropped_steps, 1);
    let next = gate.on_stage_message(Body::Step(step(1, 1, 2, 1, None)));
    let sent = gate.on_output(&output(engine_steps(&next)[0]));
    assert!(forwarded_step(&sent).expect("sent to the next stage").1.route.is_none());
}

#[test]
fn misrouted_requests_and_gaps_are_refused() {
    let with = |change: fn(&mut link::Route)| {
        let mut route = route([1, 1, 1]);
        change(&mut route);
        route
    };
    let table = [
        ("other model", with(|route| route.model = "n".to_owned()), RefusalReason::WrongModel),
        (
            "not on the route",
            with(|route| route.stages[1].address = "x".to_owned()),
            RefusalReason::WrongLayer,
        ),
        (
            "gap in the route",
            with(|route| route.stages[1].end_layer = 3),
            RefusalReason::WrongLayer,
        ),
        (
            "other layers",
            with(|route| {
                route.stages[0].end_layer = 3;
                route.stages[1].first_layer = 3;
            }),
            RefusalReason::WrongLayer,
        ),
    ];
    for (name, route, expected) in table {
        let mut gate = engine_gate(8);
        let actions = gate.on_stage_message(Body::Step(step(1, 1, 0, 2, Some(route))));
        assert_eq!(refusal(&actions), Some(expected), "{name}");
        assert!(engine_steps(&actions).is_empty() && gate.in_flight() == 0, "{name}");
    }
    let mut gate = engine_gate(8);
    run_first_step(&mut gate, 1);
    let gap = gate.on_stage_message(Body::Step(step(1, 1, 5, 1, None)));
    assert_eq!(refusal(&gap), Some(RefusalReason::Gap));
}

#[test]
fn only_replacements_use_the_reserved_slots() {
    let mut gate = engine_gate(4);
    let begin = |gate: &mut GateState, counter, route| {
        gate.on_stage_message(Body::Step(step(counter, 2, 0, 1, Some(route))))
    };
    for counter in 1..=3 {
        assert_eq!(refusal(&begin(&mut gate, counter, route([1, 1, 1]))), None);
    }
    assert_eq!(refusal(&begin(&mut gate, 4, route([1, 1, 1]))), Some(RefusalReason::NoSlot));
    assert_eq!(refusal(&begin(&mut gate, 4, route([1, 2, 1]))), None);
    assert_eq!(refusal(&begin(&mut gate, 5, route([1, 2, 1]))), Some(RefusalReason::NoSlot));
}

#[test]
fn a_draining_gate_refuses_new_requests_and_finishes_running_ones() {
    let mut gate = engine_gate(8);
    run_first_step(&mut gate, 1);
    let offers = gate.on_entry_message(&entry("e"), Body::Drain(link::Drain { draining: true }));
    assert_matches!(&offers[0], GateAction::ToEntry { body: Body::Offer(offer), .. } if offer.draining);
    let refused = gate.on_stage_message(Body::Step(step(2, 1, 0, 2, Some(route([1, 1, 1])))));
    assert_eq!(refusal(&refused), Some(RefusalReason::Draining));
    let continued = gate.on_stage_message(Body::Step(step(1, 1, 2, 1, None)));
    assert_eq!(engine_steps(&continued).len(), 1);
    gate.on_entry_message(&entry("e"), Body::Drain(link::Drain { draining: false }));
    assert!(!gate.is_draining());
    assert!(!gate.is_drained());
    gate.begin_drain();
    gate.on_entry_message(&entry("e"), Body::Drain(link::Drain { draining: false }));
    assert!(
        gate.is_draining(),
        "a stopping process refuses requests even if its VM no longer drains"
    );
    let released = link::Release { request: id(1), cancelled: false, attempt: 1 };
    gate.on_entry_message(&entry("e"), Body::Release(released));
    assert_eq!(gate.in_flight(), 0);
    assert!(!gate.is_drained(), "the entry may have sent a request before it saw the drain");
    gate.on_entry_message(&entry("e"), Body::DrainSeen(link::DrainSeen {}));
    assert!(gate.is_drained());
}

#[test]
fn a_voided_request_is_refused_and_its_outcome_is_reported() {
    let mut gate = engine_gate(8);
    run_first_step(&mut gate, 1);
    let void = |gate: &mut GateState, counter| {
        let actions =
            gate.on_entry_message(&entry("f"), Body::Void(link::Void { request: id(counter) }));
        let reported = actions.into_iter().find_map(|action| match action {
            GateAction::ToEntry { body: Body::VoidAnswer(answer), .. } => Some(answer.outcome()),
            _ => None,
        });
        reported.expect("answered")
    };
    assert_eq!(void(&mut gate, 1), VoidOutcome::Ran);
    assert_eq!(void(&mut gate, 2), VoidOutcome::NeverRan);
    let late = gate.on_stage_message(Body::Step(step(2, 1, 0, 2, Some(route([1, 1, 1])))));
    assert_eq!(refusal(&late), Some(RefusalReason::Voided));
}

#[test]
fn the_whole_log_is_replayed_to_a_replaced_next_stage() {
    let mut gate = engine_gate(8);
    run_first_step(&mut gate, 1);
    let next = gate.on_stage_message(Body::Step(step(1, 1, 2, 1, None)));
    gate.on_output(&output(engine_steps(&next)[0]));
    let mut moved = route([1, 1, 2]);
    moved.stages[2].address = "d".to_owned();
    let reroute = link::Reroute { request: id(1), attempt: 2, route: Some(moved.clone()) };
    let actions = gate.on_entry_message(&entry("e"), Body::Reroute(reroute.clone()));
    let (address, replay) = forwarded_step(&actions).expect("log replayed");
    assert_eq!((address, replay.first_position, replay.inputs.len()), ("d", 0, 3));
    assert!(replay.resend > 0 && replay.route.is_some());
    assert_eq!(gate.counts().replayed_positions, 3);
    assert!(
        gate.on_entry_message(&entry("e"), Body::Reroute(reroute)).is_empty(),
        "a repeated reroute has no effect"
    );
    let stale = gate.on_stage_message(Body::Step(step(1, 1, 3, 1, None)));
    assert!(engine_steps(&stale).is_empty(), "steps of an earlier attempt are dropped");
}

#[test]
fn a_replay_of_a_truncated_log_is_refused() {
    let mut gate = engine_gate(8);
    let actions = gate.on_stage_message(Body::Step(step(1, 1, 0, 9, Some(route([1, 1, 1])))));
    gate.on_output(&output(engine_steps(&actions)[0]));
    let reroute = link::Reroute { request: id(1), attempt: 2, route: Some(route([1, 1, 2])) };
    let actions = gate.on_entry_message(&entry("e"), Body::Reroute(reroute));
    assert_eq!(refusal(&actions), Some(RefusalReason::LogTruncated));
}

#[test]
fn requests_of_a_disconnected_entry_are_released() {
    let mut gate = engine_gate(8);
    run_first_step(&mut gate, 1);
    let stale = link::Release { request: id(1), cancelled: false, attempt: 0 };
    assert!(
        gate.on_entry_message(&entry("e"), Body::Release(stale)).is_empty(),
        "a release of an earlier attempt has no effect"
    );
    let actions = gate.entry_disconnected(&entry("e"));
    assert_matches!(&actions[..], [GateAction::ReleaseCache(_)]);
    assert_eq!(gate.in_flight(), 0);
    gate.entry_connected(entry("e"));
    let again = gate.on_stage_message(Body::Step(step(1, 1, 0, 2, Some(route([1, 1, 1])))));
    assert_eq!(
        refusal(&again),
        Some(RefusalReason::AlreadyKnown),
        "the ledger keeps the request after its release"
    );
}

#[test]
fn the_loss_of_the_engine_is_reported_for_every_request() {
    let mut gate = engine_gate(8);
    run_first_step(&mut gate, 1);
    run_first_step(&mut gate, 2);
    let actions = gate.engine_lost();
    let reported = actions.iter().filter(|action| {
        refusal(std::slice::from_ref(*action)) == Some(RefusalReason::EndpointFailed)
    });
    assert_eq!(reported.count(), 2);
    assert_eq!(gate.in_flight(), 0);
}

/// An agent that had lost its engine still offered slots. Requests sent to it stalled until they
/// ended as unknown.
#[test]
fn an_agent_without_its_engine_offers_no_slots() {
    let mut gate = engine_gate(8);
    gate.engine_lost();
    let offers = gate.make_offers();
    let offered = offers.iter().any(|action| {
        matches!(action, GateAction::ToEntry { body: Body::Offer(offer), .. } if offer.credits + offer.spare > 0)
    });
    assert!(!offered);
    let refused = gate.on_stage_message(Body::Step(step(1, 1, 0, 2, Some(route([1, 1, 1])))));
    assert_eq!(refusal(&refused), Some(RefusalReason::NoSlot));
}

#[test]
fn only_orders_of_a_newer_plan_are_passed_on() {
    let mut gate = engine_gate(8);
    let order = |plan_version| {
        Body::Assignment(link::Assignment {
            plan_version,
            model: "m".to_owned(),
            first_layer: 0,
            end_layer: 2,
        })
    };
    assert_matches!(&gate.on_entry_message(&entry("e"), order(4))[..], [GateAction::LoadLayers(_)]);
    for old in [4, 3, 0] {
        assert!(gate.on_entry_message(&entry("f"), order(old)).is_empty());
    }
    assert_eq!(gate.counts().stale_orders, 3);
}

#[test]
fn entries_with_waiting_requests_get_more_credits_within_the_slots() {
    let mut gate = engine_gate(16);
    gate.entry_connected(entry("f"));
    gate.on_entry_message(&entry("f"), Body::Demand(link::Demand { waiting: 9 }));
    let mut credits_by_entry = std::collections::BTreeMap::new();
    for action in (0..10).flat_map(|_| gate.tick()) {
        if let GateAction::ToEntry { entry, body: Body::Heartbeat(heartbeat) } = action {
            credits_by_entry.insert(entry.name, heartbeat.credits);
        }
    }
    let credits: Vec<u32> = credits_by_entry.into_values().collect();
    assert_eq!(credits.iter().sum::<u32>(), 12);
    assert!(credits[1] > credits[0], "{credits:?}");
}

fn call(counter: u64, once: bool) -> link::Call {
    link::Call {
        request: id(counter),
        attempt: 1,
        service: "bidding".to_owned(),
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        once,
    }
}

fn started_call(actions: Vec<GateAction>) -> ServiceCall {
    match actions.into_iter().next() {
        Some(GateAction::CallService(call)) => call,
        other => panic!("expected a call, got {other:?}"),
    }
}

#[test]
fn service_calls_are_admitted_like_requests() {
    let mut gate = service_gate();
    let first = started_call(gate.on_entry_message(&entry("e"), Body::Call(call(1, true))));
    let again = gate.on_entry_message(&entry("e"), Body::Call(call(1, true)));
    assert_eq!(refusal(&again), Some(RefusalReason::AlreadyKnown));
    started_call(gate.on_entry_message(&entry("e"), Body::Call(call(2, false))));
    let full = gate.on_entry_message(&entry("e"), Body::Call(call(3, false)));
    assert_eq!(refusal(&full), Some(RefusalReason::NoSlot));
    let other = gate.on_entry_message(
        &entry("e"),
        Body::Call(link::Call { service: "x".to_owned(), ..call(4, false) }),
    );
    assert_eq!(refusal(&other), Some(RefusalReason::WrongModel));
    let table = [
        (CallOutcome::NotSent, RefusalReason::EndpointUnreached),
        (CallOutcome::Unknown, RefusalReason::EndpointFailed),
    ];
    for (outcome, expected) in table {
        assert_eq!(refusal(&gate.on_call_outcome(&first, outcome)), Some(expected));
    }
    assert_eq!(gate.in_flight(), 1);
}

/// When steps had the priority of their class, a full engine ran only those of the highest class,
/// and streams of lower classes stalled until they ended as unknown.
#[test]
fn running_steps_have_the_same_priority_in_all_classes() {
    let mut gate = engine_gate(8);
    let with = |priority| link::Route { priority, ..route([1, 1, 1]) };
    let high = gate.on_stage_message(Body::Step(step(1, 1, 0, 2, Some(with(9)))));
    let low = gate.on_stage_message(Body::Step(step(2, 1, 0, 2, Some(with(1)))));
    assert_eq!(engine_steps(&high)[0].priority, engine_steps(&low)[0].priority);
}

/// In a large deployment most links are idle most of the time, so they carry one heartbeat every
/// ten ticks.
#[test]
fn idle_entries_get_fewer_heartbeats_than_busy_ones() {
    let count = |gate: &mut GateState| {
        let actions = (0..100).flat_map(|_| gate.tick()).collect::<Vec<_>>();
        actions
            .iter()
            .filter(|action| matches!(action, GateAction::ToEntry { body: Body::Heartbeat(_), .. }))
            .count()
    };
    let mut gate = engine_gate(8);
    assert_eq!(count(&mut gate), 10);
    run_first_step(&mut gate, 1);
    assert!(count(&mut gate) >= 50);
}

#[test]
fn unexpected_messages_are_counted_and_dropped() {
    let mut gate = engine_gate(8);
    assert!(gate.on_entry_message(&entry("e"), Body::Offer(link::Offer::default())).is_empty());
    assert!(gate.on_stage_message(Body::Void(link::Void { request: id(1) })).is_empty());
    assert!(
        gate.on_entry_message(&entry("e"), Body::Void(link::Void { request: None })).is_empty()
    );
    assert_eq!(gate.counts().unexpected_messages, 3);
}
