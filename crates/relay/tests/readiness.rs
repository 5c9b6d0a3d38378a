//! The log and the metrics tell how far a start has come and what it waits for.

mod harness;

use harness::{
    ROUTES, RunningRelay, bounds, entry_of, read_metric,
    recorded_events::{events_with, record_events, wait_for_event},
    respond_healthy, run_test,
};
use http::StatusCode;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinReplica, StandinStore, StoreBehaviour,
    samples::{KEY, config, desk_entry},
};

/// Steps that a relay without neighbours reaches once it has served a request.
const STEPS: [&str; 9] = [
    "settings",
    "sockets",
    "store-answer",
    "configuration",
    "replicas",
    "quarantine",
    "ready",
    "first-request",
    "first-answer",
];

#[test]
fn a_start_that_waits_for_replicas_says_so() {
    run_test(async {
        record_events();
        let replica = StandinReplica::start(respond_healthy).await;
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
        let (id, entry) = entry_of("i-1", &replica, desk_entry);
        store.put(REPLICA_KIND, id, entry);
        store.set_behaviour(StoreBehaviour::KindUnavailable(REPLICA_KIND));
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        wait_for_event("not-ready", "missing", "replicas").await;
        assert_eq!(events_with("start-step", "step", "replicas").len(), 0);
        relay.store.set_behaviour(StoreBehaviour::Healthy);
        relay.wait_ready(StatusCode::OK).await;
        assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK);
        for step in STEPS {
            let line = wait_for_event("start-step", "step", step).await;
            let age = line["age_ms"].as_u64();
            let exported =
                read_metric(&relay, "switchfold_start_step_milliseconds", &[("step", step)]).await;
            assert!(age.is_some() && exported == age, "{step}: {age:?}, exported {exported:?}");
        }
    });
}
