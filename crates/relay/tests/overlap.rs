//! Repeatable requests to plain services whose first replica gives no response within the latency
//! objective, which is 300 ms: a second attempt runs beside the first.

mod harness;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use harness::{CallResult, ROUTES, RunningRelay, bounds, call, entry_of, run_test, wait_until};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica,
    samples::{KEY, config, desk_entry},
    signed_response,
};
use switchfold_relay::settings::BoundSettings;

/// Silence of a sound replica: longer than the objective.
const SILENCE: Duration = Duration::from_millis(900);

/// Silence of the replica that is to respond after the other one.
const LONG_SILENCE: Duration = Duration::from_secs(6);

type Script = fn(&ReceivedRequest) -> Reply;

fn confirms(request: &ReceivedRequest) -> Reply {
    signed_response(request, 200, "confirmed")
}

fn fails(request: &ReceivedRequest) -> Reply {
    signed_response(request, 500, "failed")
}

fn responds_after(pause: Duration, request: &ReceivedRequest, body: &str) -> Reply {
    match signed_response(request, 200, body) {
        Reply::Bytes(bytes) => Reply::BytesLater(pause, bytes),
        other => other,
    }
}

fn pauses(request: &ReceivedRequest) -> Reply {
    responds_after(SILENCE, request, "late")
}

fn pauses_long(request: &ReceivedRequest) -> Reply {
    responds_after(LONG_SILENCE, request, "too late")
}

fn is_silent(_: &ReceivedRequest) -> Reply {
    Reply::Silence
}

/// Starts as many replicas as there are scripts. Whichever replica receives the first request
/// responds by the first script, and so on.
async fn start(bounds: BoundSettings, scripts: &[Script]) -> (RunningRelay, Vec<StandinReplica>) {
    let received = Arc::new(AtomicUsize::new(0));
    let mut replicas = Vec::new();
    for _ in scripts {
        let (received, scripts) = (received.clone(), scripts.to_vec());
        let script = move |request: &ReceivedRequest| {
            let number = received.fetch_add(1, Ordering::SeqCst);
            scripts.get(number).map_or_else(|| confirms(request), |script| script(request))
        };
        replicas.push(StandinReplica::start(script).await);
    }
    let ids: Vec<String> = (0..replicas.len()).map(|number| format!("i-{number}")).collect();
    let entries = ids.iter().zip(&replicas);
    let entries: Vec<_> = entries.map(|(id, replica)| entry_of(id, replica, desk_entry)).collect();
    (RunningRelay::start(bounds, &entries).await, replicas)
}

fn sends(replicas: &[StandinReplica]) -> usize {
    replicas.iter().map(|replica| replica.requests().len()).sum()
}

/// Returns a figure from the relay's metrics.
async fn figure(relay: &RunningRelay, name: &str) -> f64 {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let metrics = call(relay.metrics, request).await.body;
    let line = metrics.lines().find(|line| line.contains(&format!("\"{name}\"")));
    let value = line.and_then(|line| line.rsplit(' ').next()).expect("the figure is served");
    value.parse().expect("a number")
}

fn assert_served(called: &CallResult, body: &str) {
    assert_eq!((called.status, called.body.as_str()), (StatusCode::OK, body), "{called:?}");
}

/// Guards against a caller that got 502 although the only replica responded 0.9 s after the request.
#[test]
fn a_response_after_the_objective_is_forwarded_if_there_is_no_other_replica() {
    run_test(async {
        let (relay, replicas) = start(bounds(), &[pauses]).await;
        assert_served(&relay.get("/safe/a", "a").await, "late");
        assert_eq!(sends(&replicas), 1);
    });
}

/// Guards against a caller that got 502, since the retry budget was exhausted at the objective.
#[test]
fn a_response_after_the_objective_is_forwarded_if_the_budget_allows_no_retry() {
    run_test(async {
        let bounds = BoundSettings { retry_ratio: 0.0, retry_allowance: 0.5, ..bounds() };
        let (relay, replicas) = start(bounds, &[pauses, confirms]).await;
        assert_served(&relay.get("/safe/a", "a").await, "late");
        assert_eq!(sends(&replicas), 1);
        assert_eq!(figure(&relay, "retries_charged").await, 0.0);
    });
}

/// Guards against a first attempt that is dropped at the objective, although its replica responds
/// before the second one.
#[test]
fn the_first_attempt_may_respond_before_the_second() {
    run_test(async {
        let (relay, replicas) = start(bounds(), &[pauses, pauses_long]).await;
        assert_served(&relay.get("/safe/a", "a").await, "late");
        assert_eq!(sends(&replicas), 2);
        assert_eq!(figure(&relay, "retries_charged").await, 1.0);
        // The connection of the attempt that was dropped is closed.
        wait_until(async || {
            replicas.iter().map(StandinReplica::open_connections).sum::<u64>() <= 2
        })
        .await;
        assert_eq!(figure(&relay, "requests_suspected").await, 0.0);
    });
}

/// The second attempt responds, and the first one is dropped.
#[test]
fn the_second_attempt_responds_while_the_first_is_silent() {
    run_test(async {
        let (relay, replicas) = start(bounds(), &[is_silent, confirms]).await;
        assert_served(&relay.get("/safe/a", "a").await, "confirmed");
        assert_eq!(sends(&replicas), 2);
        assert_eq!(figure(&relay, "repeats").await, 1.0);
    });
}

/// Guards against a caller that gets the failure of the second attempt while the first one may still
/// respond.
#[test]
fn the_first_attempt_goes_on_when_the_second_fails() {
    for second in [fails, (|_| Reply::Close) as Script] {
        run_test(async move {
            let (relay, replicas) = start(bounds(), &[pauses, second]).await;
            assert_served(&relay.get("/safe/a", "a").await, "late");
            assert_eq!(sends(&replicas), 2);
        });
    }
}

/// The attempts of a request never exceed those that its route allows.
#[test]
fn a_failure_is_forwarded_when_the_first_attempt_fails_as_well() {
    run_test(async {
        let fails_later = |request: &ReceivedRequest| match signed_response(request, 500, "late") {
            Reply::Bytes(bytes) => Reply::BytesLater(SILENCE, bytes),
            other => other,
        };
        let (relay, replicas) = start(bounds(), &[fails_later, fails, confirms]).await;
        let called = relay.get("/safe/a", "a").await;
        assert_eq!(called.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert!(called.is_signed());
        assert_eq!(sends(&replicas), 2);
    });
}

/// A request that must not be repeated has one attempt.
#[test]
fn a_request_that_may_not_be_repeated_is_sent_once() {
    run_test(async {
        let (relay, replicas) = start(bounds(), &[pauses, confirms]).await;
        assert_served(&relay.get("/once/a", "a").await, "late");
        assert_eq!(sends(&replicas), 1);
    });
}

/// Guards against a request whose route has no objective being overdue at once, which took an
/// attempt from the retry budget for each request.
#[test]
fn without_an_objective_no_request_is_overdue() {
    run_test(async {
        let replicas = [StandinReplica::start(pauses).await, StandinReplica::start(pauses).await];
        let entries =
            [entry_of("i-0", &replicas[0], desk_entry), entry_of("i-1", &replicas[1], desk_entry)];
        let mut config = config(1, &ROUTES, &[KEY]);
        for route in config["routes"].as_array_mut().expect("a list") {
            route["goal_ms"] = Value::Null;
        }
        let relay = RunningRelay::start_with_config(bounds(), config, &entries).await;
        assert_served(&relay.get("/safe/a", "a").await, "late");
        assert_eq!(sends(&replicas), 1);
    });
}
