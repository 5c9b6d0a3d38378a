//! Requests that end each replica that begins to run them.
//!
//! Callers sent the same request again and again, each time under a new id, to whichever relay the balancer chose. Each
//! replica that began to run it ended 30 to 120 ms later, before the first event. Nothing that a relay knew outlived an
//! attempt: it kept away from the replica, sent the request on to one that was well, and for the next attempt, or at another
//! relay, all began anew. Within eight seconds ten of 39 replicas ended under ten ids at four relays, each of them with the
//! streams of others: of 276 that broke, 13 had given no event, and 12 of these were that request. One id tells it:
//!
//! ```text
//! 41.2518 dispatch       first i-29bf22071d
//! 41.3073 answered       status 200, took_ms 57
//! 41.3663 stream-lost    error reading a body from connection, no last_event, sends 1
//! 41.3721 dispatch       first i-b4b9f37fbc
//! 41.4239 stream-resumed quiet_ms 117
//! 41.4610 stream-lost    error reading a body from connection, no last_event, sends 2
//! ```

mod harness;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
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
    ReceivedOrder, ReceivedRequest, Reply, StandinReplica, StandinStore, StreamEnd, events,
    parse_order,
    samples::{KEY, LAYERS, config, desk_entry, model_entry, report},
    signed_response,
};
use tokio::time::sleep;

/// Events of a whole stream.
const EVENTS: u64 = 4;

/// Pause between events, and from a head to the crash.
const PAUSE: Duration = Duration::from_millis(10);

/// Time between two attempts of a caller: several messages between relays, and a second less than their contact time.
const BETWEEN: Duration = Duration::from_millis(1_000);

/// Time for what one relay does by itself.
const SHORTLY: Duration = Duration::from_millis(300);

/// Replicas that a request may end at most.
const MOST_ENDED: usize = 3;

fn is_bad(request: &ReceivedRequest) -> bool {
    request.target.contains("/bad")
}

/// An engine that holds all layers, and ends when it begins to run the bad request.
fn fragile(request: &ReceivedRequest) -> Reply {
    match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
        ORDER_PATH => signed_response(request, 200, ""),
        _ if is_bad(request) => Reply::Crash(stream_head(request), PAUSE),
        _ => events(request, EVENTS, PAUSE, StreamEnd::Complete),
    }
}

fn stream_head(request: &ReceivedRequest) -> Vec<u8> {
    match events(request, 0, PAUSE, StreamEnd::Silence) {
        Reply::Stream { head, .. } => head.into_bytes(),
        other => panic!("a stream, and not {other:?}"),
    }
}

fn whole_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

async fn start_engines(
    count: usize,
    script: impl Fn(&ReceivedRequest) -> Reply + Clone + Send + Sync + 'static,
) -> Vec<StandinReplica> {
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(StandinReplica::start(script.clone()).await);
    }
    engines
}

fn ended(replicas: &[StandinReplica]) -> usize {
    replicas.iter().filter(|replica| replica.has_crashed()).count()
}

/// A store with the configuration of the tests and these replicas.
async fn store_of(replicas: &[StandinReplica], entry: fn(SocketAddr) -> Value) -> StandinStore {
    let store = StandinStore::start().await;
    store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
    for (number, replica) in replicas.iter().enumerate() {
        store.put(REPLICA_KIND, &format!("i-{number}"), entry(replica.address()));
    }
    store
}

/// A relay in each of these data centres.
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

/// The same request comes to relays of two data centres in turn, under a new id each time. It ends three replicas, and no more;
/// what else the caller sends is served before and after.
#[test]
fn a_request_that_ends_replicas_is_stopped_at_all_relays() {
    run_test(async {
        let engines = start_engines(10, fragile).await;
        let store = store_of(&engines, whole_model).await;
        let relays = start_relays(&["hall", "far"], &store).await;
        for attempt in 0..8 {
            let relay = &relays[attempt % relays.len()];
            relay.get("/stream/bad", &format!("bad-{attempt}")).await;
            let good =
                relay.get(&format!("/stream/good-{attempt}"), &format!("good-{attempt}")).await;
            assert_eq!(event_ids(&good.body).len() as u64, EVENTS, "attempt {attempt}");
            sleep(BETWEEN).await;
        }
        assert_eq!(ended(&engines), MOST_ENDED);
    });
}

/// A later stage ends when it gets its part of the request. Moves of the running stream to other paths are sends like others.
#[test]
fn a_request_that_ends_later_stages_is_not_moved_on() {
    run_test(async {
        let later = start_engines(8, |request| match request.target.as_str() {
            REPORT_PATH => signed_response(request, 200, &report(4, LAYERS, &[])),
            _ => signed_response(request, 200, ""),
        })
        .await;
        let at_work: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let crash_at = {
            let (later, at_work) = (later.clone(), at_work.clone());
            move |path: &str| {
                let second = path.split(',').nth(1).and_then(|part| part.split_once('='));
                let address = second.and_then(|(address, _)| address.parse().ok());
                let replica = later.iter().find(|replica| Some(replica.address()) == address);
                replica.into_iter().for_each(StandinReplica::crash);
                *at_work.lock().expect("no script panics") = address;
            }
        };
        let first = StandinReplica::start(move |request| match request.target.as_str() {
            REPORT_PATH => {
                let faulty_replica = *at_work.lock().expect("no script panics");
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
        let store = store_of(&later, |address| model_entry(address, 4, LAYERS)).await;
        let (id, entry) = entry_of("i-first", &first, |address| model_entry(address, 0, 4));
        store.put(REPLICA_KIND, id, entry);
        let relays = start_relays(&["hall"], &store).await;
        relays[0].get("/stream/bad", "bad-0").await;
        assert_eq!(ended(&later), MOST_ENDED);
    });
}

/// A plain service's replica that ends when it begins to run the bad request.
fn fragile_desk(request: &ReceivedRequest) -> Reply {
    match is_bad(request) {
        true => Reply::Crash(Vec::new(), PAUSE),
        false => signed_response(request, 200, "confirmed"),
    }
}

/// Requests to plain services end replicas as well; those that may run once are not sent on, and are stopped all the same.
#[test]
fn a_request_that_ends_plain_replicas_is_stopped() {
    for path in ["/safe/bad", "/once/bad"] {
        run_test(async move {
            let desks = start_engines(8, fragile_desk).await;
            let store = store_of(&desks, desk_entry).await;
            let relays = start_relays(&["hall"], &store).await;
            let mut last = None;
            for attempt in 0..6 {
                last = Some(relays[0].get(path, &format!("bad-{attempt}")).await);
                let good = relays[0].get("/safe/good", &format!("good-{attempt}")).await;
                assert_eq!(
                    good.status,
                    StatusCode::OK,
                    "{path}, attempt {attempt}: {good:?}, {} ended",
                    ended(&desks)
                );
                sleep(SHORTLY).await;
            }
            assert_eq!(ended(&desks), MOST_ENDED, "{path}");
            let refused = last.expect("some attempts");
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            let wait: f64 =
                refused.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
            assert!(wait > 60.0, "nothing invites it to come again at once: {wait} s");
            assert!(!refused.body.is_empty(), "it says why");
        });
    }
}

/// All relays end, and with them what they knew; the store has it.
#[test]
fn a_relay_that_starts_after_all_ended_knows_stopped_requests() {
    run_test(async {
        let engines = start_engines(8, fragile).await;
        let store = store_of(&engines, whole_model).await;
        let relays = start_relays(&["hall"], &store).await;
        for attempt in 0..3 {
            relays[0].get("/stream/bad", &format!("bad-{attempt}")).await;
            sleep(SHORTLY).await;
        }
        assert_eq!(ended(&engines), MOST_ENDED);
        wait_until(async || stored(&store) > 0).await;
        relays.into_iter().for_each(|relay| relay.task.abort());
        let relays = start_relays(&["far", "hall"], &store).await;
        for relay in &relays {
            wait_until(async || knows_stopped(relay).await).await;
            let refused = relay.get("/stream/bad", "bad-again").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        assert_eq!(ended(&engines), MOST_ENDED);
    });
}

/// Objects of the quarantine that the store holds.
fn stored(store: &StandinStore) -> usize {
    store
        .calls()
        .iter()
        .filter(|call| call.starts_with("POST") && call.contains(QUARANTINE_KIND))
        .count()
}

/// Whether a relay knows of a request that is stopped, by its metrics.
async fn knows_stopped(relay: &RunningRelay) -> bool {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let metrics = call(relay.metrics, request).await.body;
    let mut lines = metrics.lines().filter(|line| line.contains("requests_stopped_now"));
    lines.any(|line| line.ends_with(" 1"))
}
