//! Tests the queue of requests that wait for capacity at a ranked service.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use harness::{
    BoundRelay, CallResult, ROUTES, RunningRelay, bounds, call, entry_of, read_metric, request,
    respond_healthy, run_test, wait_until,
};
use http::{StatusCode, header::RETRY_AFTER};
use serde_json::{Value, json};
use switchfold_platform::{
    CONFIG_KIND, CONFIG_NAME, REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
    headers::{ATTEMPT_ID, PATH},
};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore, StreamEnd, events, reject,
    samples::{self, KEY, LAYERS, model_entry, report},
    signed_response,
};
use switchfold_relay::settings::OverloadControl;
use tokio::task::{JoinHandle, spawn_local};

/// Memory of an engine with all layers, in MB: 8,000 for the layers, and 1.28 for 160 tokens. One
/// request of the tests takes 150 tokens, and a second one exceeds also the overcommitted memory.
const ONE_REQUEST_MB: f64 = 8_001.28;

/// Objective with which a request waits for 7.2 s, longer than any test needs, in milliseconds.
const LONG_OBJECTIVE_MS: u64 = 3_000;

/// Objective with which a request waits for 1.2 s, in milliseconds.
const SHORT_OBJECTIVE_MS: u64 = 300;

/// Events of a stream that only ends when its caller leaves.
const ENDLESS: u64 = u64::MAX;

/// Pause between two events of such a stream. It is below the longest one that the routes allow, so
/// that the relay does not probe the engine.
const PAUSE: Duration = Duration::from_millis(20);

/// Attempt id of the stream that occupies the engine.
const HOLDER: &str = "holder";

/// Priorities of the routes and setting with which a relay runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Routes differ in priority, so that the model is ranked.
    Ranked,
    /// Routes differ in priority, and the relay does not control overload.
    Off,
    /// Routes have one priority.
    Unranked,
}

/// Returns a configuration in which `/stream/` is the most urgent route to the model, and
/// `/stream-single/` the least urgent one.
fn config(mode: Mode, objective_ms: u64) -> Value {
    let mut config = samples::config(1, &ROUTES, &[KEY]);
    let routes = config["routes"].as_array_mut().expect("the sample has routes");
    for (index, route) in routes.iter_mut().enumerate() {
        route["priority"] = json!(if mode == Mode::Unranked { 1 } else { index });
        route["goal_ms"] = json!(objective_ms);
    }
    let services = config["services"].as_array_mut().expect("the sample has services");
    let model = services.iter_mut().find(|service| service["name"] == "model");
    model.expect("the sample has a model")["engine"]["kinds"] = json!([
        {"name": "small", "mb": ONE_REQUEST_MB, "pace": 1.0, "read_x": 1.5},
        {"name": "slow", "mb": ONE_REQUEST_MB, "pace": 8.0, "read_x": 1.5},
    ]);
    config
}

async fn start(mode: Mode, objective_ms: u64, entries: &[(&str, Value)]) -> RunningRelay {
    let store = StandinStore::start().await;
    store.put(CONFIG_KIND, CONFIG_NAME, config(mode, objective_ms));
    for (id, entry) in entries {
        store.put(REPLICA_KIND, id, entry.clone());
    }
    let control = if mode == Mode::Off { OverloadControl::Off } else { OverloadControl::Ranked };
    let relay = BoundRelay::new("relay-1", store, bounds()).await;
    let relay = relay.with_overload_control(control).run();
    relay.wait_ready(StatusCode::OK).await;
    relay
}

/// Starts a relay with one engine that has memory for one request, and occupies it with a stream
/// that lasts until the returned call is aborted.
async fn start_occupied(
    mode: Mode,
    objective_ms: u64,
) -> (RunningRelay, StandinReplica, JoinHandle<CallResult>) {
    let replica =
        StandinReplica::start(|request: &ReceivedRequest| match attempt_id(request).as_str() {
            HOLDER => events(request, ENDLESS, PAUSE, StreamEnd::Complete),
            _ => respond_healthy(request),
        })
        .await;
    let entry = entry_of("i-1", &replica, |address| model_entry(address, 0, LAYERS));
    let relay = start(mode, objective_ms, &[entry]).await;
    let holder = spawn_call(&relay, "/stream-single/a", HOLDER);
    wait_until(async || sent_ids(&replica) == [HOLDER]).await;
    (relay, replica, holder)
}

fn spawn_call(relay: &RunningRelay, path: &str, id: &str) -> JoinHandle<CallResult> {
    let (address, request) = (relay.address, request(path, id));
    spawn_local(async move { call(address, request).await })
}

fn attempt_id(request: &ReceivedRequest) -> String {
    request.header(ATTEMPT_ID.as_str()).unwrap_or_default().to_owned()
}

/// Returns the attempt ids of the requests that an engine received, in order.
fn sent_ids(replica: &StandinReplica) -> Vec<String> {
    replica.requests().iter().map(attempt_id).collect()
}

async fn figure(relay: &RunningRelay, name: &str) -> u64 {
    let value = read_metric(relay, "switchfold_figures", &[("name", name)]).await;
    value.expect("the figure is exported")
}

/// Returns the number of requests of a rank that wait.
async fn waiting(relay: &RunningRelay, rank: &str) -> u64 {
    let labels = [("service", "model"), ("rank", rank)];
    read_metric(relay, "switchfold_waiting", &labels).await.unwrap_or(0)
}

/// Guards against a queue that is not woken when memory is freed, and against the order of arrival
/// or of polling.
#[test]
fn the_more_urgent_request_is_dispatched_first_once_memory_is_free() {
    run_test(async {
        let (relay, replica, holder) = start_occupied(Mode::Ranked, LONG_OBJECTIVE_MS).await;
        let less_urgent = spawn_call(&relay, "/stream-single/a", "less-urgent");
        wait_until(async || waiting(&relay, "2").await == 1).await;
        let urgent = spawn_call(&relay, "/stream/a", "urgent");
        wait_until(async || waiting(&relay, "0").await == 1).await;
        assert_eq!(waiting(&relay, "2").await, 1);
        assert_eq!(sent_ids(&replica), [HOLDER], "no request exceeds the memory");
        holder.abort();
        for called in [urgent.await, less_urgent.await] {
            let called = called.expect("the call ends");
            assert_eq!(called.status, StatusCode::OK);
            assert!(called.is_complete, "{called:?}");
        }
        assert_eq!(sent_ids(&replica), [HOLDER, "urgent", "less-urgent"]);
        assert_eq!((waiting(&relay, "0").await, waiting(&relay, "2").await), (0, 0));
    });
}

/// Guards against refusals of requests that are sent all the same, and against refused requests
/// that keep their place in the queue.
#[test]
fn a_request_whose_wait_ends_is_refused_and_never_sent() {
    run_test(async {
        let (relay, replica, holder) = start_occupied(Mode::Ranked, SHORT_OBJECTIVE_MS).await;
        let refused = relay.get("/stream/a", "refused").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let delay = refused.headers.get(RETRY_AFTER).expect("a delay");
        let delay: f64 = delay.to_str().expect("text").parse().expect("a number of seconds");
        assert!((0.0..8.0 / 3.0).contains(&delay), "beyond what callers honour: {delay}");
        let labels = [("status", "503"), ("reason", "overloaded")];
        assert_eq!(read_metric(&relay, "switchfold_outcomes_total", &labels).await, Some(1));
        assert_eq!(figure(&relay, "early_refusals").await, 1);
        assert_eq!(waiting(&relay, "0").await, 0);
        let model = [("service", "model")];
        assert!(read_metric(&relay, "switchfold_promised_returns", &model).await.is_some());
        holder.abort();
        wait_until(async || relay.get("/stream/a", "next").await.status == StatusCode::OK).await;
        assert!(!sent_ids(&replica).contains(&"refused".to_owned()));
    });
}

/// Guards against requests without a caller that use capacity and delay those behind them.
#[test]
fn a_caller_that_disconnects_while_it_waits_leaves_the_queue() {
    run_test(async {
        let (relay, replica, holder) = start_occupied(Mode::Ranked, LONG_OBJECTIVE_MS).await;
        let gone = spawn_call(&relay, "/stream/a", "gone");
        wait_until(async || waiting(&relay, "0").await == 1).await;
        gone.abort();
        wait_until(async || waiting(&relay, "0").await == 0).await;
        assert_eq!(figure(&relay, "early_refusals").await, 0, "it left before its wait ended");
        holder.abort();
        let next = relay.get("/stream/a", "next").await;
        assert!(next.is_complete, "{next:?}");
        assert_eq!(sent_ids(&replica), [HOLDER, "next"]);
    });
}

/// Duration for which a replica that rejected a request is avoided.
const AVOIDED: Duration = Duration::from_millis(switchfold_router::reservations::FULL_DURATION);

/// Runs two requests over a first engine that rejects each one whose path ends at the preferred
/// second engine. Returns the number of rejections, or `None` if the second request came so late
/// that the engine need not be avoided any more.
async fn count_rejections(mode: Mode) -> Option<u32> {
    let preferred = StandinReplica::start(second_engine).await;
    let other = StandinReplica::start(second_engine).await;
    let rejections = Arc::new(AtomicU32::new(0));
    let rejected_at = Arc::new(Mutex::new(None));
    let full = preferred.address();
    let (count, time) = (rejections.clone(), rejected_at.clone());
    let first =
        StandinReplica::start(move |request: &ReceivedRequest| match request.target.as_str() {
            REPORT_PATH => signed_response(request, 200, &report(0, 4, &[])),
            ORDER_PATH => signed_response(request, 200, ""),
            _ if ends_at(request, full) => {
                count.fetch_add(1, Ordering::Relaxed);
                time.lock().expect("no script panics").get_or_insert_with(Instant::now);
                reject(request, 503, Some(full))
            }
            _ => respond_healthy(request),
        })
        .await;
    let entries = [
        entry_of("i-1", &first, |address| model_entry(address, 0, 4)),
        entry_of("i-2", &preferred, |address| model_entry(address, 4, LAYERS)),
        entry_of("i-3", &other, |address| {
            let mut entry = model_entry(address, 4, LAYERS);
            entry["route_kind"] = json!("slow");
            entry
        }),
    ];
    let relay = start(mode, LONG_OBJECTIVE_MS, &entries).await;
    for id in ["a", "b"] {
        let called = relay.get("/stream/a", id).await;
        assert!(called.is_complete, "{called:?}");
    }
    let rejected_at = rejected_at.lock().expect("no script panics").expect("a rejection");
    let is_in_time = rejected_at.elapsed() < AVOIDED;
    let rejected = rejections.load(Ordering::Relaxed);
    // It is used again later.
    wait_until(async || {
        assert!(relay.get("/stream/a", "later").await.is_complete);
        rejections.load(Ordering::Relaxed) > rejected
    })
    .await;
    is_in_time.then_some(rejected)
}

fn second_engine(request: &ReceivedRequest) -> Reply {
    match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &report(4, LAYERS, &[])),
        _ => signed_response(request, 200, ""),
    }
}

fn ends_at(request: &ReceivedRequest, address: SocketAddr) -> bool {
    let path = request.header(PATH.as_str()).unwrap_or_default();
    path.split(',').next_back().is_some_and(|stage| stage.starts_with(&format!("{address}=")))
}

/// Guards against requests that are sent one after the other over an engine that has just rejected
/// one. The second column tells how many of two requests are rejected.
#[test]
fn a_later_stage_that_rejects_is_avoided_by_the_next_request() {
    for (mode, expected) in [(Mode::Ranked, 1), (Mode::Off, 2), (Mode::Unranked, 2)] {
        run_test(async move {
            // On a busy machine, the second request may come after the engine is used again.
            let mut counted = None;
            for _ in 0..10 {
                counted = count_rejections(mode).await;
                if counted.is_some() {
                    break;
                }
            }
            assert_eq!(counted, Some(expected), "{mode:?}");
        });
    }
}

/// Guards against queueing and early refusals where the configuration does not call for them: the
/// request is sent over the full engine, as before.
#[test]
fn requests_do_not_queue_where_overload_is_not_controlled() {
    for mode in [Mode::Off, Mode::Unranked] {
        run_test(async move {
            let (relay, replica, holder) = start_occupied(mode, SHORT_OBJECTIVE_MS).await;
            let called = relay.get("/stream/a", "second").await;
            assert!(called.is_complete && called.status == StatusCode::OK, "{mode:?}: {called:?}");
            assert_eq!(sent_ids(&replica), [HOLDER, "second"], "{mode:?}");
            assert!(!holder.is_finished(), "the engine is occupied meanwhile");
            assert_eq!(figure(&relay, "early_refusals").await, 0);
            let model = [("service", "model")];
            assert_eq!(read_metric(&relay, "switchfold_waiting", &model).await, None);
        });
    }
}

/// Guards against streams that waited for capacity at a stopping relay until their wait was over,
/// or were sent when it was too late to end them.
#[test]
fn a_waiting_stream_is_refused_once_a_stopping_relay_starts_no_more() {
    run_test(async {
        let (relay, replica, holder) = start_occupied(Mode::Ranked, LONG_OBJECTIVE_MS).await;
        let waiting = spawn_call(&relay, "/stream/a", "waiting");
        tokio::time::sleep(Duration::from_millis(100)).await;
        relay.shutdown.raise();
        let refused = waiting.await.expect("no panic");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.headers[RETRY_AFTER], "0.010");
        assert_eq!(sent_ids(&replica), [HOLDER]);
        holder.abort();
    });
}
