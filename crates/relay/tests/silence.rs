//! Tests requests whose sound replica is silent for a second or two and resumes.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use harness::{CallResult, ROUTES, RunningRelay, bounds, entry_of, event_ids, run_test};
use http::StatusCode;
use serde_json::Value;
use switchfold_platform::engine::{ORDER_PATH, REPORT_PATH};
use switchfold_platform_standin::{
    GateState, ReceivedRequest, Reply, StandinReplica, StreamEnd, StreamGate, events,
    samples::{self, KEY, LAYERS, desk_entry, model_entry, report},
    signed_response,
};

/// Number of events of a complete stream.
const EVENTS: u64 = 12;

/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(10);

/// Latency objective of the sample routes.
const OBJECTIVE: Duration = Duration::from_millis(300);

type Script = fn(&ReceivedRequest) -> Reply;

fn complete_stream(request: &ReceivedRequest) -> Reply {
    events(request, EVENTS, PAUSE, StreamEnd::Complete)
}

fn confirmed(request: &ReceivedRequest) -> Reply {
    signed_response(request, 200, "confirmed")
}

/// Returns a reply that begins after a pause.
fn later(reply: Reply, pause: Duration) -> Reply {
    Reply::Paused(Box::new(reply), vec![(0, pause)])
}

/// Returns a complete stream that pauses before one of its events.
fn silent_before(request: &ReceivedRequest, event: u64, pause: Duration) -> Reply {
    let mut reply = complete_stream(request);
    if let Reply::Stream { gate, .. } = &mut reply {
        let state = Mutex::new((0, None));
        *gate = StreamGate::new(move || {
            let mut state = state.lock().expect("no script panics");
            let (sent, silent_since) = &mut *state;
            if *sent == event && silent_since.get_or_insert_with(Instant::now).elapsed() < pause {
                return GateState::Closed;
            }
            *sent += 1;
            GateState::Open
        });
    }
    reply
}

/// Returns a stream of another run, and sets `begun` before its first event.
fn other_run(request: &ReceivedRequest, begun: &Arc<AtomicBool>) -> Reply {
    let mut reply = complete_stream(request);
    if let Reply::Stream { gate, owner, .. } = &mut reply {
        let begun = begun.clone();
        *gate = StreamGate::new(move || {
            begun.store(true, Ordering::SeqCst);
            GateState::Open
        });
        "the other run".clone_into(owner);
    }
    reply
}

/// Script of an engine that holds all layers.
fn engine(
    script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    move |request| match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
        ORDER_PATH => signed_response(request, 200, ""),
        _ => script(request),
    }
}

/// Script of replicas that share `count`: the first request to any of them gets `first`, the others
/// `second`.
fn in_turn(
    count: &Arc<AtomicUsize>,
    first: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    second: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let count = count.clone();
    move |request| match count.fetch_add(1, Ordering::SeqCst) {
        0 => first(request),
        _ => second(request),
    }
}

fn full_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

/// Starts a relay whose model is ranked or not.
async fn start(is_ranked: bool, entries: &[(&str, Value)]) -> RunningRelay {
    let config = samples::config(1, &ROUTES, &[KEY]);
    let config = match is_ranked {
        true => samples::with_priority(config, "/stream/", 0),
        false => config,
    };
    RunningRelay::start_with_config(bounds(), config, entries).await
}

/// Returns what a caller got that is not all events of the first run and none of another one.
fn first_run_error(called: &CallResult) -> Option<String> {
    let is_first_run = called.status == StatusCode::OK
        && called.is_complete
        && event_ids(&called.body) == (0..EVENTS).collect::<Vec<u64>>()
        && !called.body.contains("the other run");
    (!is_first_run).then(|| format!("{called:?}"))
}

/// Guards against streams that stood still although their engine had resumed, while the relay
/// waited for the engine that it had sent the request to meanwhile.
#[test]
fn an_engine_that_resumes_is_heard_while_another_one_is_asked() {
    run_test(async {
        let mut wrong = Vec::new();
        for is_ranked in [false, true] {
            let (count, begun) = (Arc::default(), Arc::new(AtomicBool::new(false)));
            let script = || {
                let begun = begun.clone();
                engine(in_turn(
                    &count,
                    |request| silent_before(request, 3, Duration::from_millis(1_800)),
                    move |request| later(other_run(request, &begun), Duration::from_millis(3_500)),
                ))
            };
            let one = StandinReplica::start(script()).await;
            let two = StandinReplica::start(script()).await;
            let entries = [entry_of("i-1", &one, full_model), entry_of("i-2", &two, full_model)];
            let relay = start(is_ranked, &entries).await;
            let error = first_run_error(&relay.get("/stream/a", "a").await);
            wrong.extend(error.map(|error| (is_ranked, error)));
            if begun.load(Ordering::SeqCst) {
                wrong.push((is_ranked, "waited for the other engine".to_owned()));
            }
        }
        assert!(wrong.is_empty(), "ranked or not, and what came: {wrong:#?}");
    });
}

/// Guards against relays that cut a stream without attempts left at the moment when they expected
/// its caller to leave.
#[test]
fn a_stream_without_attempts_left_lasts_as_long_as_its_caller_waits() {
    run_test(async {
        let mut wrong = Vec::new();
        for path in ["/stream-single/a", "/stream-once/a"] {
            for is_ranked in [false, true] {
                let only = StandinReplica::start(engine(|request| {
                    silent_before(request, 3, Duration::from_millis(2_500))
                }))
                .await;
                let relay = start(is_ranked, &[entry_of("i-1", &only, full_model)]).await;
                let error = first_run_error(&relay.get(path, "a").await);
                wrong.extend(error.map(|error| (path, is_ranked, error)));
            }
        }
        assert!(wrong.is_empty(), "path, ranked or not, and what came: {wrong:#?}");
    });
}

/// Guards against relays that dropped the only response that would have come, at the objective of a
/// repeatable request. Columns: name, what the first replica that is asked does, what the next one
/// does, number of replicas.
#[test]
fn a_replica_that_responds_after_the_objective_is_waited_for() {
    fn late(request: &ReceivedRequest) -> Reply {
        later(confirmed(request), OBJECTIVE * 3 / 2)
    }
    fn late_body(request: &ReceivedRequest) -> Reply {
        let reply = confirmed(request);
        let Reply::Bytes(bytes) = &reply else { unreachable!("a signed response is bytes") };
        let body_at = bytes.len() - "firmed".len();
        Reply::Paused(Box::new(reply), vec![(body_at, OBJECTIVE * 3 / 2)])
    }
    let rows: [(&str, Script, Script, usize); 5] = [
        ("the other one never responds", late, |_| Reply::Silence, 2),
        ("silent within the body", late_body, |_| Reply::Silence, 2),
        ("no other replica", late, |_| Reply::Silence, 1),
        ("silent within the body, no other replica", late_body, |_| Reply::Silence, 1),
        ("no attempt left", |_| Reply::Close, late, 2),
    ];
    run_test(async {
        let mut wrong = Vec::new();
        for (name, first, next, replicas) in rows {
            let count = Arc::default();
            let one = StandinReplica::start(in_turn(&count, first, next)).await;
            let two = StandinReplica::start(in_turn(&count, first, next)).await;
            let entries = [entry_of("i-1", &one, desk_entry), entry_of("i-2", &two, desk_entry)];
            let relay = start(false, &entries[..replicas]).await;
            let called = relay.get("/safe/a", "a").await;
            let is_served = called.status == StatusCode::OK && called.is_complete;
            if !is_served || called.body != "confirmed" {
                wrong.push((name, called));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

/// Guards against relays that dropped the first engine of a stream without a head, although it was
/// the only one that would respond.
#[test]
fn a_late_head_is_used_while_another_attempt_is_silent() {
    run_test(async {
        let mut wrong = Vec::new();
        for is_ranked in [false, true] {
            let count = Arc::default();
            let script = || {
                let late =
                    |request: &ReceivedRequest| later(complete_stream(request), OBJECTIVE * 4);
                engine(in_turn(&count, late, |_| Reply::Silence))
            };
            let one = StandinReplica::start(script()).await;
            let two = StandinReplica::start(script()).await;
            let entries = [entry_of("i-1", &one, full_model), entry_of("i-2", &two, full_model)];
            let relay = start(is_ranked, &entries).await;
            let error = first_run_error(&relay.get("/stream/a", "a").await);
            wrong.extend(error.map(|error| (is_ranked, error)));
        }
        assert!(wrong.is_empty(), "ranked or not, and what came: {wrong:#?}");
    });
}

/// Guards against relays that dropped the first silent response when they resumed a stream once more.
#[test]
fn the_first_of_three_silent_engines_is_heard() {
    run_test(async {
        let (count, begun) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let script = || {
            let begun = begun.clone();
            engine(in_turn(
                &count,
                |request| silent_before(request, 3, Duration::from_millis(4_500)),
                move |request| match other_run(request, &begun) {
                    Reply::Stream { head, ids, owner, pause, end, .. } => {
                        let gate = StreamGate::new(|| GateState::Closed);
                        Reply::Stream { head, ids, owner, pause, end, gate }
                    }
                    reply => reply,
                },
            ))
        };
        let mut engines = Vec::new();
        for _ in 0..3 {
            engines.push(StandinReplica::start(script()).await);
        }
        let ids = ["i-1", "i-2", "i-3"];
        let entries = ids.iter().zip(&engines);
        let entries: Vec<_> =
            entries.map(|(id, engine)| entry_of(id, engine, full_model)).collect();
        let mut config = samples::config(1, &ROUTES, &[KEY]);
        for route in config["routes"].as_array_mut().expect("the sample has routes") {
            route["max_attempts"] = 3.into();
        }
        let relay = RunningRelay::start_with_config(bounds(), config, &entries).await;
        let error = first_run_error(&relay.get("/stream/a", "a").await);
        assert_eq!(error, None);
        assert_eq!(count.load(Ordering::SeqCst), 3);
    });
}

/// Guards against relays that read the body of a late failure to its end before they looked at the
/// other attempt.
#[test]
fn a_late_failure_does_not_delay_another_response() {
    fn fails_in_part(request: &ReceivedRequest) -> Reply {
        let reply = signed_response(request, 500, "failed");
        let Reply::Bytes(bytes) = &reply else { unreachable!("a signed response is bytes") };
        let body_at = bytes.len() - "iled".len();
        Reply::Paused(Box::new(reply), vec![(0, OBJECTIVE * 2), (body_at, OBJECTIVE * 100)])
    }
    run_test(async {
        let count = Arc::default();
        let second = |request: &ReceivedRequest| later(complete_stream(request), OBJECTIVE * 2);
        let script = || engine(in_turn(&count, fails_in_part, second));
        let one = StandinReplica::start(script()).await;
        let two = StandinReplica::start(script()).await;
        let entries = [entry_of("i-1", &one, full_model), entry_of("i-2", &two, full_model)];
        let relay = start(false, &entries).await;
        assert_eq!(first_run_error(&relay.get("/stream/a", "a").await), None);
    });
}
