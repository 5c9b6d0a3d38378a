//! Tests moves of streams of a ranked service.

mod harness;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use harness::{
    BoundRelay, ROUTES, RunningRelay, bounds, call, entry_of, event_ids, request, run_test,
    wait_until,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use switchfold_platform::{
    CONFIG_KIND, CONFIG_NAME, REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
    headers::DEADLINE as DEADLINE_HEADER,
};
use switchfold_platform_standin::{
    GateState, ReceivedRequest, Reply, StandinReplica, StandinStore, StreamEnd, StreamGate, events,
    samples::{self, KEY, LAYERS, model_entry, report},
    signed_response,
};

/// Number of events of a complete stream.
const EVENTS: u64 = 12;

/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(10);

/// Starts a relay whose routes to the model differ in priority, so that the service is ranked.
/// `objective_ms` is that of all routes; callers wait at least four times as long.
async fn start_ranked(objective_ms: u64, entries: &[(&str, serde_json::Value)]) -> RunningRelay {
    let store = StandinStore::start().await;
    let mut config = samples::config(1, &ROUTES, &[KEY]);
    let routes = config["routes"].as_array_mut().expect("the sample has routes");
    for (index, route) in routes.iter_mut().enumerate() {
        route["priority"] = json!(index);
        route["goal_ms"] = json!(objective_ms);
    }
    store.put(CONFIG_KIND, CONFIG_NAME, config);
    for (id, entry) in entries {
        store.put(REPLICA_KIND, id, entry.clone());
    }
    let relay = BoundRelay::new("relay-1", store, bounds()).await.run();
    relay.wait_ready(StatusCode::OK).await;
    relay
}

/// Returns a stream that stops after three events until `is_open` holds.
fn held_stream(
    request: &ReceivedRequest,
    is_open: impl Fn() -> bool + Send + Sync + 'static,
) -> Reply {
    let mut reply = events(request, EVENTS, PAUSE, StreamEnd::Complete);
    if let Reply::Stream { gate, .. } = &mut reply {
        let sent = AtomicU32::new(0);
        *gate = StreamGate::new(move || match is_open() || sent.load(Ordering::Relaxed) < 3 {
            true => {
                sent.fetch_add(1, Ordering::Relaxed);
                GateState::Open
            }
            false => GateState::Closed,
        });
    }
    reply
}

async fn read_figure(relay: &RunningRelay, name: &str) -> u64 {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let metrics = call(relay.metrics, request).await.body;
    let label = format!("name=\"{name}\"");
    let line = metrics.lines().find(|line| line.contains(&label)).expect("the figure is exported");
    let value = line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
    value.expect("a number") as u64
}

/// Moves are refused for want of memory, then memory comes back. Guards against streams that order
/// a move at each check: with a check each 100 ms, the orders would be 100 ms apart.
#[test]
fn a_refused_move_is_ordered_again_after_the_backoff_until_memory_comes_back() {
    run_test(async {
        let lost = StandinReplica::start(|_: &ReceivedRequest| Reply::Silence).await;
        let lost_address = lost.address();
        let spare =
            StandinReplica::start(move |request: &ReceivedRequest| match request.target.as_str() {
                REPORT_PATH => signed_response(request, 200, &report(4, LAYERS, &[])),
                _ => signed_response(request, 200, ""),
            })
            .await;
        let (orders, has_moved) =
            (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let (ordered, moved) = (orders.clone(), has_moved.clone());
        let first =
            StandinReplica::start(move |request: &ReceivedRequest| match request.target.as_str() {
                REPORT_PATH if moved.load(Ordering::Relaxed) => {
                    signed_response(request, 200, &report(0, 4, &[]))
                }
                REPORT_PATH => signed_response(request, 200, &report(0, 4, &[("a", lost_address)])),
                ORDER_PATH => {
                    let mut orders = ordered.lock().expect("no script panics");
                    orders.push(Instant::now());
                    let is_accepted = orders.len() == 3;
                    moved.store(is_accepted, Ordering::Relaxed);
                    signed_response(request, if is_accepted { 202 } else { 409 }, "")
                }
                _ => {
                    let moved = moved.clone();
                    held_stream(request, move || moved.load(Ordering::Relaxed))
                }
            })
            .await;
        let entries = [
            entry_of("i-1", &first, |address| model_entry(address, 0, 4)),
            entry_of("i-2", &lost, |address| model_entry(address, 4, LAYERS)),
        ];
        let relay = start_ranked(3_000, &entries).await;
        let calling = relay.get("/stream-single/a", "a");
        let adding = async {
            wait_until(async || first.requests().len() == 1).await;
            relay.store.put(REPLICA_KIND, "i-3", model_entry(spare.address(), 4, LAYERS));
        };
        let (called, ()) = tokio::join!(calling, adding);
        assert!(called.is_complete, "{called:?}");
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        let orders = orders.lock().expect("no script panics").clone();
        assert_eq!(orders.len(), 3, "two refusals, and one after memory came back");
        // The relay's clock counts whole milliseconds.
        assert!(orders[1] - orders[0] >= Duration::from_millis(199), "{orders:?}");
        assert!(orders[2] - orders[1] >= Duration::from_millis(399), "{orders:?}");
        assert_eq!(first.requests().len(), 1, "the request was sent once");
        assert_eq!(read_figure(&relay, "moves_refused").await, 2);
        assert!(read_figure(&relay, "moves_delayed").await >= 2);
        assert_eq!(read_figure(&relay, "moves_under_way").await, 0);
    });
}

/// A stream without attempts left continues if its replica has events again, ends when its caller
/// leaves, and otherwise lasts until its deadline. Guards against responses that are ready but not
/// delivered, and against streams that are checked every 100 ms meanwhile.
#[test]
fn a_stream_without_attempts_lasts_until_its_caller_leaves() {
    /// Maximum number of calls for a report within the deadline of a silent stream.
    const MAX_REPORTS: u32 = 12;
    const DEADLINE: Duration = Duration::from_millis(4_000);
    for silence in [Some(Duration::from_millis(1_200)), Some(Duration::from_millis(2_800)), None] {
        run_test(async move {
            let started = Instant::now();
            let reports = Arc::new(AtomicU32::new(0));
            let script = {
                let reports = Arc::clone(&reports);
                move |request: &ReceivedRequest| match request.target.as_str() {
                    REPORT_PATH => {
                        reports.fetch_add(1, Ordering::Relaxed);
                        signed_response(request, 200, &report(0, LAYERS, &[]))
                    }
                    _ => {
                        let sent_at = Instant::now();
                        held_stream(request, move || {
                            silence.is_some_and(|silence| sent_at.elapsed() > silence)
                        })
                    }
                }
            };
            let replica = StandinReplica::start(script).await;
            let entries = [entry_of("i-1", &replica, |address| model_entry(address, 0, LAYERS))];
            let relay = start_ranked(300, &entries).await;
            let mut request = request("/stream-single/a", "a");
            let deadline = DEADLINE.as_millis().to_string().parse().expect("a header value");
            request.headers_mut().insert(DEADLINE_HEADER, deadline);
            let called = call(relay.address, request).await;
            let events = if silence.is_some() { EVENTS } else { 3 };
            assert_eq!(event_ids(&called.body), (0..events).collect::<Vec<u64>>());
            assert_eq!(called.is_complete, silence.is_some());
            assert!(started.elapsed() >= silence.unwrap_or(DEADLINE));
            assert!(started.elapsed() < DEADLINE * 2, "not beyond the deadline");
            assert!(reports.load(Ordering::Relaxed) <= MAX_REPORTS);
            assert_eq!(replica.requests().len(), 1);
        });
    }
    run_test(async {
        const LATE_DEADLINE: Duration = Duration::from_secs(15);
        let started = Instant::now();
        let script = |request: &ReceivedRequest| match request.target.as_str() {
            REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
            _ => events(request, 3, PAUSE, StreamEnd::Silence),
        };
        let replica = StandinReplica::start(script).await;
        let entries = [entry_of("i-1", &replica, |address| model_entry(address, 0, LAYERS))];
        let relay = start_ranked(300, &entries).await;
        let mut request = request("/stream-single/a", "a");
        let deadline = LATE_DEADLINE.as_millis().to_string().parse().expect("a header value");
        request.headers_mut().insert(DEADLINE_HEADER, deadline);
        let address = relay.address;
        let calling = tokio::task::spawn_local(async move { call(address, request).await });
        wait_until(async || read_figure(&relay, "answered").await == 1).await;
        calling.abort();
        wait_until(async || read_figure(&relay, "in_flight").await == 0).await;
        wait_until(async || replica.open_connections() == 0).await;
        assert!(started.elapsed() < LATE_DEADLINE, "before the deadline");
    });
}
