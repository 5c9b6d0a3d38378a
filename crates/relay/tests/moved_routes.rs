//! Routes that move to another service while requests run.

mod harness;

use std::time::Duration;

use harness::{ROUTES, RouteSample, RunningRelay, SAFE, bounds, entry_of, run_test, wait_until};
use http::StatusCode;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica,
    samples::{KEY, config, desk_entry},
    signed_response,
};

/// Time that a replica takes to fail, in which the relay reads the next configuration.
const FAILURE_TIME: Duration = Duration::from_millis(700);

/// Guards against a replica's failure that was replaced by 502: the retry was admitted to a service
/// without replicas, to which the route had moved.
#[test]
fn the_failure_of_a_replica_is_forwarded_if_there_is_no_retry() {
    run_test(async {
        let fail = |request: &ReceivedRequest| match signed_response(request, 500, "failed") {
            Reply::Bytes(bytes) => Reply::BytesLater(FAILURE_TIME, bytes),
            other => other,
        };
        let replicas = [StandinReplica::start(fail).await, StandinReplica::start(fail).await];
        let entries =
            [entry_of("i-1", &replicas[0], desk_entry), entry_of("i-2", &replicas[1], desk_entry)];
        // The objective is above the time to fail, so that there is no second attempt before.
        let mut first = config(1, &ROUTES, &[KEY]);
        first["routes"][0]["goal_ms"] = 5_000.into();
        let relay = RunningRelay::start_with_config(bounds(), first, &entries).await;
        let store = relay.store.clone();
        let received = replicas.clone();
        tokio::task::spawn_local(async move {
            let has_request = || received.iter().any(|replica| !replica.requests().is_empty());
            wait_until(async || has_request()).await;
            let moved = RouteSample { service: "elsewhere", ..SAFE };
            store.put(CONFIG_KIND, CONFIG_NAME, config(2, &[moved], &[KEY]));
        });
        let called = relay.get("/safe/a", "a").await;
        assert_eq!(called.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert!(called.is_signed());
        assert_eq!(called.body, "failed");
    });
}
