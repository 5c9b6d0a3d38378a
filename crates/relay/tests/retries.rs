//! The retry budget of several relays that run beside each other.

mod harness;

use std::time::Duration;

use harness::{BoundRelay, bounds, call, entry_of, request, run_test, wait_until};
use http::{Request, StatusCode};
use http_body_util::Full;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND, engine::REPORT_PATH};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore,
    samples::{self, KEY, LAYERS, desk_entry, model_entry},
    signed_response,
};
use switchfold_relay::settings::BoundSettings;

fn fails(request: &ReceivedRequest) -> Reply {
    signed_response(request, 500, "no")
}

/// A relay with failures found its share spent while the other one had its own left.
#[test]
fn an_exhausted_relay_is_not_denied_the_share_of_an_idle_one() {
    run_test(async {
        let store = StandinStore::start().await;
        let replicas = [StandinReplica::start(fails).await, StandinReplica::start(fails).await];
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &harness::ROUTES, &[KEY]));
        for (id, replica) in ["i-1", "i-2"].iter().zip(&replicas) {
            let (id, entry) = entry_of(id, replica, desk_entry);
            store.put(REPLICA_KIND, id, entry);
        }
        // Two retries for each relay.
        let bounds = BoundSettings { retry_ratio: 0.0, retry_allowance: 4.2, ..bounds() };
        let mut relays = Vec::new();
        for name in ["relay-1", "relay-2"] {
            let bound = BoundRelay::new(name, store.clone(), bounds.clone()).await;
            relays.push(bound.at_first_start().run());
        }
        for relay in &relays {
            relay.wait_ready(StatusCode::OK).await;
            let metrics = || Request::get("/metrics").body(Full::default()).expect("a request");
            wait_until(async || {
                let lines = call(relay.metrics, metrics()).await.body;
                let mut shares = lines.lines().filter(|line| line.contains("allowance_share"));
                shares.any(|line| line.ends_with(" 500000"))
            })
            .await;
        }
        for number in 0..5 {
            call(relays[0].address, request("/safe/x", &format!("attempt-{number}"))).await;
        }
        let arrivals: usize = replicas.iter().map(|replica| replica.requests().len()).sum();
        assert_eq!(arrivals, 5 + 4, "all requests, and the retries of both relays");
    });
}

/// Guards against a refusal at the admission of a retry that says that the request did not run,
/// although an earlier attempt may have run.
#[test]
fn a_retry_that_is_not_admitted_leaves_the_outcome_unknown() {
    const CRASH_DELAY: Duration = Duration::from_secs(1);
    for path in ["/safe/a", "/stream/a"] {
        run_test(async move {
            let store = StandinStore::start().await;
            let config = |version, keys: &[&str]| samples::config(version, &harness::ROUTES, keys);
            store.put(CONFIG_KIND, CONFIG_NAME, config(1, &[KEY]));
            let script = {
                let store = store.clone();
                move |request: &ReceivedRequest| match request.target.as_str() {
                    REPORT_PATH => signed_response(request, 200, &samples::report(0, LAYERS, &[])),
                    _ => {
                        store.put(CONFIG_KIND, CONFIG_NAME, config(2, &[]));
                        Reply::Crash(Vec::new(), CRASH_DELAY)
                    }
                }
            };
            let mut replicas = Vec::new();
            for id in ["desk-1", "desk-2", "model-1", "model-2"] {
                let replica = StandinReplica::start(script.clone()).await;
                let entry = match id.starts_with("desk") {
                    true => desk_entry(replica.address()),
                    false => model_entry(replica.address(), 0, LAYERS),
                };
                store.put(REPLICA_KIND, id, entry);
                replicas.push(replica);
            }
            let relay = BoundRelay::new("relay-1", store, bounds()).await.at_first_start().run();
            relay.wait_ready(StatusCode::OK).await;
            assert_eq!(relay.get(path, "a").await.status, StatusCode::BAD_GATEWAY, "{path}");
        });
    }
}
