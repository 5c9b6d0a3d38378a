//! The log and the metrics tell how far a start has come and what it waits for.

mod harness;

use std::time::Duration;

use harness::{
    ROUTES, RunningRelay, bounds, entry_of, read_metric,
    recorded_events::{events_with, record_events, wait_for_event},
    respond_healthy, run_test, wait_until,
};
use http::StatusCode;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinReplica, StandinStore, StoreBehaviour,
    samples::{KEY, LAYERS, config, desk_entry, model_entry},
};

/// Steps that a relay without neighbours reaches once it has served a request.
const STEPS: [&str; 10] = [
    "settings",
    "sockets",
    "store-answer",
    "configuration",
    "replicas",
    "quarantine",
    "ready",
    "layers",
    "first-request",
    "first-answer",
];

/// Guards against relays that stayed out of the load balancer while no replica was listed: callers
/// got no answer at all.
#[test]
fn a_relay_without_replicas_refuses_at_once() {
    run_test(async {
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        relay.wait_ready(StatusCode::OK).await;
        for path in ["/safe/a", "/stream/a"] {
            let called = relay.get(path, "a").await;
            assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(called.headers.contains_key("retry-after"));
        }
        let replica = StandinReplica::start(respond_healthy).await;
        let (id, entry) = entry_of("i-1", &replica, desk_entry);
        relay.store.put(REPLICA_KIND, id, entry);
        wait_until(async || relay.get("/safe/a", "b").await.status == StatusCode::OK).await;
    });
}

#[test]
fn a_start_that_waits_for_replicas_says_so() {
    run_test(async {
        record_events();
        let replica = StandinReplica::start(respond_healthy).await;
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
        let (id, entry) = entry_of("i-1", &replica, desk_entry);
        store.put(REPLICA_KIND, id, entry);
        let engine = StandinReplica::start(respond_healthy).await;
        let (id, entry) = entry_of("i-2", &engine, |address| model_entry(address, 0, LAYERS));
        store.put(REPLICA_KIND, id, entry);
        store.set_behaviour(StoreBehaviour::KindUnavailable(REPLICA_KIND));
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        wait_for_event("not-ready", "missing", "replicas").await;
        relay.store.set_behaviour(StoreBehaviour::Healthy);
        relay.wait_ready(StatusCode::OK).await;
        assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK);
        for step in STEPS {
            let mut exported = None;
            wait_until(async || {
                let labels = [("step", step)];
                exported = read_metric(&relay, "switchfold_start_step_milliseconds", &labels).await;
                exported.is_some()
            })
            .await;
            // Other tests of this process have starts of their own.
            let logged = events_with("start-step", "step", step);
            let is_logged = logged.iter().any(|line| line["age_ms"].as_u64() == exported);
            assert!(is_logged, "{step}: {exported:?} of {logged:?}");
        }
    });
}

#[test]
fn accepted_connections_are_exported() {
    run_test(async {
        let replica = StandinReplica::start(respond_healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        for id in ["a", "b"] {
            assert_eq!(relay.get("/safe/a", id).await.status, StatusCode::OK);
        }
        let figures = [("accepted", 2), ("accept_errors", 0)];
        for (name, value) in figures {
            let exported = read_metric(&relay, "switchfold_figures", &[("name", name)]).await;
            assert_eq!(exported, Some(value), "{name}");
        }
    });
}

/// Longer than the tasks of a relay take by themselves.
const HELD_TIME: Duration = Duration::from_millis(300);

#[test]
fn the_load_of_the_thread_is_exported() {
    run_test(async {
        let replica = StandinReplica::start(respond_healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let read = async |name| {
            read_metric(&relay, "switchfold_figures", &[("name", name)]).await.expect("a metric")
        };
        wait_until(async || {
            // The relay runs on the thread of the test.
            std::thread::sleep(HELD_TIME);
            read("longest_turn_ms").await >= 100
        })
        .await;
        assert!((1..=100).contains(&read("busy_percent").await));
        assert!(read("mean_wait_ms").await < u64::MAX);
    });
}
