//! Requests that crash each replica that starts to run them.
//!
//! Guards against a request that callers repeat under new ids at different relays, and that crashes
//! each replica 30 to 120 ms after it starts to run it, before the first event. Relays that keep no
//! record of it beyond a single attempt resume each attempt at another healthy replica: within
//! eight seconds ten of 39 replicas crashed, and the streams of other callers on them were lost.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use harness::{
    BoundRelay, ROUTES, RunningRelay, bounds, call, entry_of, event_ids, run_test, wait_until,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use switchfold_platform::{
    CONFIG_KIND, CONFIG_NAME, QUARANTINE_KIND, REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
};
use switchfold_platform_standin::{
    ReceivedOrder, ReceivedRequest, Reply, StandinReplica, StandinStore, StoreBehaviour, StreamEnd,
    events, parse_order,
    samples::{KEY, LAYERS, config, desk_entry, model_entry, report},
    signed_response,
};
use switchfold_router::quarantine::TRIAL_DELAYS;
use tokio::time::sleep;

/// Number of events of a complete stream.
const EVENTS: u64 = 4;

/// Pause between two events, and between the response head and the crash.
const PAUSE: Duration = Duration::from_millis(10);

/// Time between two attempts of a caller: long enough for several messages between relays, and well
/// below the contact time.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two attempts at one relay: long enough for it to process a crash.
const LOCAL_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the trial of a quarantined request in which there must be no other.
const LATER: Duration = Duration::from_millis(4_000);

/// Maximum number of replicas that a request may crash.
const MAX_CRASHED: usize = 3;

fn crashes_replicas(request: &ReceivedRequest) -> bool {
    request.target.contains("/bad")
}

/// An engine that holds all layers, and crashes when it starts to run a request for `/bad`.
fn crashing_engine(request: &ReceivedRequest) -> Reply {
    match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
        ORDER_PATH => signed_response(request, 200, ""),
        _ if crashes_replicas(request) => Reply::Crash(stream_head(request), PAUSE),
        _ => events(request, EVENTS, PAUSE, StreamEnd::Complete),
    }
}

fn stream_head(request: &ReceivedRequest) -> Vec<u8> {
    match events(request, 0, PAUSE, StreamEnd::Silence) {
        Reply::Stream { head, .. } => head.into_bytes(),
        other => panic!("expected a stream, got {other:?}"),
    }
}

fn full_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

async fn start_replicas(
    count: usize,
    script: impl Fn(&ReceivedRequest) -> Reply + Clone + Send + Sync + 'static,
) -> Vec<StandinReplica> {
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(StandinReplica::start(script.clone()).await);
    }
    engines
}

fn count_crashed(replicas: &[StandinReplica]) -> usize {
    replicas.iter().filter(|replica| replica.has_crashed()).count()
}

/// Starts a store with the configuration of the tests and these replicas.
async fn start_store(replicas: &[StandinReplica], entry: fn(SocketAddr) -> Value) -> StandinStore {
    let store = StandinStore::start().await;
    store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
    for (number, replica) in replicas.iter().enumerate() {
        store.put(REPLICA_KIND, &format!("i-{number}"), entry(replica.address()));
    }
    store
}

/// Starts a relay in each of these data centres, and waits until all are ready.
async fn start_relays(data_centres: &[&str], store: &StandinStore) -> Vec<RunningRelay> {
    let mut relays = Vec::new();
    for (number, data_centre) in data_centres.iter().enumerate() {
        let name = format!("relay-{number}");
        let bound = BoundRelay::new_in(data_centre, &name, store.clone(), bounds()).await;
        relays.push(bound.run());
    }
    for relay in &relays {
        relay.wait_ready(StatusCode::OK).await;
    }
    relays
}

/// Relays of two data centres get the same request in turn, under a new id each time. It crashes
/// three replicas and no more, and other requests of the caller are served throughout.
#[test]
fn a_request_that_crashes_replicas_is_quarantined_at_all_relays() {
    run_test(async {
        let engines = start_replicas(10, crashing_engine).await;
        let store = start_store(&engines, full_model).await;
        let relays = start_relays(&["hall", "far"], &store).await;
        for attempt in 0..8 {
            let relay = &relays[attempt % relays.len()];
            relay.get("/stream/bad", &format!("bad-{attempt}")).await;
            let good =
                relay.get(&format!("/stream/good-{attempt}"), &format!("good-{attempt}")).await;
            assert_eq!(event_ids(&good.body).len() as u64, EVENTS, "attempt {attempt}");
            sleep(ATTEMPT_INTERVAL).await;
        }
        assert_eq!(count_crashed(&engines), MAX_CRASHED);
    });
}

/// A later stage of the path crashes when the request reaches it. Moving the running stream to
/// another path counts as a send, too.
#[test]
fn a_request_that_crashes_later_stages_is_not_rerouted() {
    run_test(async {
        let later = start_replicas(8, |request| match request.target.as_str() {
            REPORT_PATH => signed_response(request, 200, &report(4, LAYERS, &[])),
            _ => signed_response(request, 200, ""),
        })
        .await;
        let crashed_at: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let crash_at = {
            let (later, crashed_at) = (later.clone(), crashed_at.clone());
            move |path: &str| {
                let second = path.split(',').nth(1).and_then(|stage| stage.split_once('='));
                let address = second.and_then(|(address, _)| address.parse().ok());
                let replica = later.iter().find(|replica| Some(replica.address()) == address);
                replica.into_iter().for_each(StandinReplica::crash);
                *crashed_at.lock().expect("no script panics") = address;
            }
        };
        let first = StandinReplica::start(move |request| match request.target.as_str() {
            REPORT_PATH => {
                let faulty_replica = *crashed_at.lock().expect("no script panics");
                let stalled: Vec<(&str, SocketAddr)> = faulty_replica
                    .map(|faulty_replica| ("bad-0", faulty_replica))
                    .into_iter()
                    .collect();
                signed_response(request, 200, &report(0, 4, &stalled))
            }
            ORDER_PATH => {
                if let ReceivedOrder::Repath { path, .. } = parse_order(&request.body) {
                    crash_at(&path);
                }
                signed_response(request, 200, "")
            }
            _ => {
                crash_at(request.header("path").unwrap_or_default());
                events(request, 0, PAUSE, StreamEnd::Silence)
            }
        })
        .await;
        let store = start_store(&later, |address| model_entry(address, 4, LAYERS)).await;
        let (id, entry) = entry_of("i-first", &first, |address| model_entry(address, 0, 4));
        store.put(REPLICA_KIND, id, entry);
        let relays = start_relays(&["hall"], &store).await;
        relays[0].get("/stream/bad", "bad-0").await;
        assert_eq!(count_crashed(&later), MAX_CRASHED);
    });
}

/// Number of the replica crashes that the users' rule allows before a part must be known.
const MAX_CRASHED_BY_PART: usize = 5;

/// An engine that holds all layers, and crashes when it starts to run a request with the part `dead`
/// in its prompt.
fn engine_crashed_by_part(request: &ReceivedRequest) -> Reply {
    match request.header("x-prompt-prefix") {
        Some(parts) if parts.contains("dead:") => Reply::Crash(stream_head(request), PAUSE),
        _ => crashing_engine(request),
    }
}

/// Calls a stream whose prompt has these parts.
async fn call_with_parts(relay: &RunningRelay, id: &str, parts: &str) -> harness::CallResult {
    let mut request = harness::request(&format!("/stream/{id}"), id);
    request.headers_mut().insert("x-prompt-prefix", parts.parse().expect("a header value"));
    call(relay.address, request).await
}

/// Requests that share a part of their prompt, and are never alike, crashed one replica each.
#[test]
fn a_prompt_part_that_crashes_replicas_is_quarantined_at_all_relays() {
    run_test(async {
        let engines = start_replicas(20, engine_crashed_by_part).await;
        let store = start_store(&engines, full_model).await;
        let relays = start_relays(&["hall", "far"], &store).await;
        for attempt in 0..10 {
            let relay = &relays[attempt % relays.len()];
            let sound = format!("c0de:40,5a{attempt}:30");
            let good = call_with_parts(relay, &format!("good-{attempt}"), &sound).await;
            assert_eq!(event_ids(&good.body).len() as u64, EVENTS, "attempt {attempt}");
            let deadly = format!("c0de:40,dead:100,{attempt}:30");
            call_with_parts(relay, &format!("q-{attempt}"), &deadly).await;
            sleep(LOCAL_INTERVAL).await;
        }
        let crashed = count_crashed(&engines);
        assert!(crashed <= MAX_CRASHED_BY_PART, "{crashed} replicas crashed");
    });
}

/// A replica of a plain service that crashes when it starts to run a request for `/bad`.
fn crashing_desk(request: &ReceivedRequest) -> Reply {
    match crashes_replicas(request) {
        true => Reply::Crash(Vec::new(), PAUSE),
        false => signed_response(request, 200, "confirmed"),
    }
}

/// Requests to plain services may crash replicas as well. Those that may run only once are not
/// retried, but are quarantined in the same way.
#[test]
fn a_request_that_crashes_plain_replicas_is_quarantined() {
    for path in ["/safe/bad", "/once/bad"] {
        run_test(async move {
            let desks = start_replicas(8, crashing_desk).await;
            let store = start_store(&desks, desk_entry).await;
            let relays = start_relays(&["hall"], &store).await;
            let mut last = None;
            for attempt in 0..6 {
                last = Some(relays[0].get(path, &format!("bad-{attempt}")).await);
                let good = relays[0].get("/safe/good", &format!("good-{attempt}")).await;
                assert_eq!(
                    good.status,
                    StatusCode::OK,
                    "{path}, attempt {attempt}: {good:?}, {} crashed",
                    count_crashed(&desks)
                );
                sleep(LOCAL_INTERVAL).await;
            }
            assert_eq!(count_crashed(&desks), MAX_CRASHED, "{path}");
            let refused = last.expect("some attempts");
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            let wait: f64 =
                refused.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
            assert!(wait > 60.0, "the caller must not be told to retry soon: {wait} s");
            assert!(!refused.body.is_empty(), "the body gives the reason");
        });
    }
}

/// Sends a request that crashes replicas until it is quarantined and the store holds its entry.
async fn quarantine_request(
    relay: &RunningRelay,
    engines: &[StandinReplica],
    store: &StandinStore,
) {
    for attempt in 0..3 {
        relay.get("/stream/bad", &format!("bad-{attempt}")).await;
        sleep(LOCAL_INTERVAL).await;
    }
    assert_eq!(count_crashed(engines), MAX_CRASHED);
    wait_until(async || count_stored(store) > 0).await;
}

/// All relays stop and lose their state. The relays that start next learn of the quarantine from
/// the store.
#[test]
fn quarantines_survive_a_restart_of_all_relays() {
    run_test(async {
        let engines = start_replicas(8, crashing_engine).await;
        let store = start_store(&engines, full_model).await;
        let relays = start_relays(&["hall"], &store).await;
        quarantine_request(&relays[0], &engines, &store).await;
        relays.into_iter().for_each(|relay| relay.task.abort());
        let relays = start_relays(&["far", "hall"], &store).await;
        for relay in &relays {
            wait_until(async || knows_quarantine(relay).await).await;
            let refused = relay.get("/stream/bad", "bad-again").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        assert_eq!(count_crashed(&engines), MAX_CRASHED);
    });
}

/// Guards against relays that called themselves ready before they knew the quarantined requests, and
/// sent one of them to another replica.
#[test]
fn a_relay_that_has_just_become_ready_refuses_quarantined_requests() {
    let kind_is_lost = StoreBehaviour::KindUnavailable(QUARANTINE_KIND);
    for (behaviour, data_centre) in
        [(StoreBehaviour::Healthy, "hall"), (kind_is_lost, "hall"), (kind_is_lost, "far")]
    {
        run_test(async {
            let engines = start_replicas(8, crashing_engine).await;
            let store = start_store(&engines, full_model).await;
            let relays = start_relays(&["hall"], &store).await;
            quarantine_request(&relays[0], &engines, &store).await;
            store.set_behaviour(behaviour);
            let late = BoundRelay::new_in(data_centre, "late", store.clone(), bounds()).await.run();
            late.wait_ready(StatusCode::OK).await;
            let refused = late.get("/stream/bad", "bad-again").await;
            assert_eq!(
                (refused.status, count_crashed(&engines)),
                (StatusCode::SERVICE_UNAVAILABLE, MAX_CRASHED),
                "{behaviour:?}, data centre {data_centre}"
            );
        });
    }
}

/// Guards against a relay that never serves, because neither the store nor another relay can tell it
/// which requests are quarantined.
#[test]
fn a_relay_serves_without_a_quarantine_that_nobody_knows() {
    run_test(async {
        let engines = start_replicas(1, crashing_engine).await;
        let store = start_store(&engines, full_model).await;
        store.set_behaviour(StoreBehaviour::KindUnavailable(QUARANTINE_KIND));
        let relays = start_relays(&["hall", "hall", "far"], &store).await;
        assert_eq!(relays[2].get("/stream/good", "good").await.status, StatusCode::OK);
    });
}

/// Returns the number of quarantine entries created in the store.
fn count_stored(store: &StandinStore) -> usize {
    store
        .calls()
        .iter()
        .filter(|call| call.starts_with("POST") && call.contains(QUARANTINE_KIND))
        .count()
}

/// A request whose first runs were lost with their replicas for other reasons was refused for ten
/// minutes by relays that remembered no result of it.
#[test]
fn a_sound_request_is_served_again_after_replicas_crashed_in_a_row() {
    run_test(async {
        let crashes = Arc::new(AtomicUsize::new(0));
        let script = move |request: &ReceivedRequest| {
            let is_sound = request.target.contains("/sound");
            match is_sound && crashes.fetch_add(1, Ordering::Relaxed) < MAX_CRASHED {
                true => Reply::Crash(Vec::new(), PAUSE),
                false => signed_response(request, 200, "confirmed"),
            }
        };
        let desks = start_replicas(8, script).await;
        let store = start_store(&desks, desk_entry).await;
        let relays = start_relays(&["hall", "far"], &store).await;
        for attempt in 0..MAX_CRASHED {
            relays[0].get("/safe/sound", &format!("lost-{attempt}")).await;
            sleep(LOCAL_INTERVAL).await;
        }
        let refused = relays[0].get("/safe/sound", "refused").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "quarantined");
        for relay in &relays {
            let mut attempt = 0;
            wait_until(async || {
                attempt += 1;
                sleep(LOCAL_INTERVAL).await;
                let response = relay.get("/safe/sound", &format!("again-{attempt}")).await;
                response.status == StatusCode::OK
            })
            .await;
        }
    });
}

/// All relays get a quarantined request again and again. One of them tries it, and none does while
/// the store cannot decide which.
#[test]
fn one_relay_tries_a_quarantined_request() {
    let kind_is_lost = StoreBehaviour::KindUnavailable(QUARANTINE_KIND);
    for (behaviour, trials) in [(StoreBehaviour::Healthy, 1), (kind_is_lost, 0)] {
        run_test(async {
            let engines = start_replicas(8, crashing_engine).await;
            let store = start_store(&engines, full_model).await;
            let relays = start_relays(&["hall", "hall", "far"], &store).await;
            quarantine_request(&relays[0], &engines, &store).await;
            for relay in &relays {
                wait_until(async || knows_quarantine(relay).await).await;
            }
            store.set_behaviour(behaviour);
            let until = Instant::now() + Duration::from_millis(TRIAL_DELAYS[0]) + LATER;
            while Instant::now() < until {
                for relay in &relays {
                    relay.get("/stream/bad", "bad-again").await;
                }
                sleep(PAUSE).await;
            }
            assert_eq!(count_crashed(&engines), MAX_CRASHED + trials, "{behaviour:?}");
        });
    }
}

/// Returns whether a relay knows one quarantined request, according to its metrics.
async fn knows_quarantine(relay: &RunningRelay) -> bool {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let metrics = call(relay.metrics, request).await.body;
    let mut lines = metrics.lines().filter(|line| line.contains("requests_stopped_now"));
    lines.any(|line| line.ends_with(" 1"))
}
