//! Tests requests to plain services while replicas or the store fail in various ways.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use harness::{RunningRelay, bounds, call, entry_of, request, run_test, wait_until};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use switchfold_platform::{
    CONFIG_KIND, CONFIG_NAME, REPLICA_KIND,
    engine::REPORT_PATH,
    headers::{ATTEMPT_ID, DEADLINE, EXPECT_REPLICA, ORGANISATION as ORGANISATION_HEADER},
};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore, StoreBehaviour, mismatched_response,
    reject,
    samples::{self, KEY, ORGANISATION, desk_entry, draining},
    signed_response, truncated_response,
};
use switchfold_relay::settings::BoundSettings;
use tokio::time::sleep;

type Script = fn(&ReceivedRequest) -> Reply;

fn healthy(request: &ReceivedRequest) -> Reply {
    signed_response(request, 200, "confirmed")
}

fn garbage(_: &ReceivedRequest) -> Reply {
    Reply::BytesThenClose(b"\x00\x01 no answer at all\r\n\r\n".to_vec())
}

/// A test case: what the first replica does, what the caller receives, and how often the second
/// replica runs the request.
struct Row {
    name: &'static str,
    path: &'static str,
    first: Script,
    status: u16,
    signed: bool,
    second_runs: usize,
}

const fn row(
    name: &'static str,
    path: &'static str,
    first: Script,
    status: u16,
    signed: bool,
    second_runs: usize,
) -> Row {
    Row { name, path, first, status, signed, second_runs }
}

/// Sends a request to a relay with two replicas, of which the one that receives it first behaves as
/// the row says and the other is healthy. The relay chooses which one is first, so both share the
/// count of requests.
async fn run_row(row: &Row) {
    let first_done = Arc::new(AtomicUsize::new(0));
    let script = |fails: Script| {
        let done = first_done.clone();
        move |request: &ReceivedRequest| match done.fetch_add(1, Ordering::SeqCst) {
            0 => fails(request),
            _ => healthy(request),
        }
    };
    let one = StandinReplica::start(script(row.first)).await;
    let two = StandinReplica::start(script(row.first)).await;
    let entries = [entry_of("i-1", &one, desk_entry), entry_of("i-2", &two, desk_entry)];
    let relay = RunningRelay::start(bounds(), &entries).await;
    let called = relay.get(row.path, "attempt-1").await;
    assert_eq!(called.status.as_u16(), row.status, "{}: {called:?}", row.name);
    assert_eq!(called.is_signed(), row.signed, "{}: {called:?}", row.name);
    assert!(called.is_complete, "{}", row.name);
    if row.signed && row.status == 200 {
        assert_eq!(called.body, "confirmed", "{}", row.name);
    }
    let sent = one.requests().len() + two.requests().len();
    assert_eq!(sent, 1 + row.second_runs, "{}", row.name);
    let did_not_run = matches!(row.status, 408 | 421 | 429 | 503);
    assert_eq!(called.headers.contains_key("retry-after"), did_not_run, "{}", row.name);
}

#[test]
fn the_response_depends_on_how_the_first_replica_fails() {
    let rows = [
        row("healthy", "/once/a", healthy, 200, true, 0),
        row("server error", "/once/a", |r| signed_response(r, 500, "no"), 500, true, 0),
        row("server error, repeatable", "/safe/a", |r| signed_response(r, 500, "no"), 200, true, 1),
        row("client error", "/safe/a", |r| signed_response(r, 404, "no"), 404, true, 0),
        row("rejected", "/once/a", |r| reject(r, 503, None), 200, true, 1),
        row("another replica at the address", "/once/a", |r| reject(r, 421, None), 200, true, 1),
        row("rejected, repeatable", "/safe/a", |r| reject(r, 429, None), 200, true, 1),
        row(
            "503 without the header that it did not run",
            "/once/a",
            |r| signed_response(r, 503, "no"),
            502,
            false,
            0,
        ),
        row("closed", "/once/a", |_| Reply::Close, 502, false, 0),
        row("closed, repeatable", "/safe/a", |_| Reply::Close, 200, true, 1),
        row("response to another request", "/once/a", |_| mismatched_response(), 502, false, 0),
        row(
            "response to another request, repeatable",
            "/safe/a",
            |_| mismatched_response(),
            200,
            true,
            1,
        ),
        row("truncated", "/once/a", truncated_response, 502, false, 0),
        row("truncated, repeatable", "/safe/a", truncated_response, 200, true, 1),
        row("garbage", "/once/a", garbage, 502, false, 0),
        row("garbage, repeatable", "/safe/a", garbage, 200, true, 1),
        row("silent until the route times out", "/brief/a", |_| Reply::Silence, 504, false, 0),
    ];
    for row in &rows {
        run_test(run_row(row));
    }
}

#[test]
fn an_unreachable_replica_is_avoided() {
    run_test(async {
        let healthy_replica = StandinReplica::start(healthy).await;
        let dead = "127.0.0.1:1".parse().expect("an address that nobody listens on");
        let entries = [("i-dead", desk_entry(dead)), entry_of("i-2", &healthy_replica, desk_entry)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        for id in ["a", "b", "c", "d"] {
            assert_eq!(relay.get("/once/a", id).await.status, StatusCode::OK);
        }
        assert_eq!(healthy_replica.requests().len(), 4);
    });
}

#[test]
fn a_service_without_replicas_is_refused_with_retry_after() {
    run_test(async {
        let model = StandinReplica::start(healthy).await;
        let entry = |address| samples::model_entry(address, 0, 8);
        let relay = RunningRelay::start(bounds(), &[entry_of("i-m", &model, entry)]).await;
        let called = relay.get("/once/a", "a").await;
        assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(called.headers.contains_key("retry-after"));
    });
}

#[test]
fn the_request_is_forwarded_with_the_right_headers() {
    run_test(async {
        let replica = StandinReplica::start(healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let mut request = request("/safe/a%20b?x=1&y", "attempt-7");
        let headers = request.headers_mut();
        headers.insert(ORGANISATION_HEADER, "somebody-else".parse().expect("a value"));
        headers.insert("x-model", "m-1".parse().expect("a value"));
        headers.insert("connection", "x-own-hop, keep-alive".parse().expect("a value"));
        headers.insert("x-own-hop", "1".parse().expect("a value"));
        call(relay.address, request).await;
        let received = &replica.requests()[0];
        assert_eq!(
            (received.method.as_str(), received.target.as_str()),
            ("POST", "/safe/a%20b?x=1&y")
        );
        assert_eq!(received.body, b"question");
        assert_eq!(received.header(ATTEMPT_ID.as_str()), Some("attempt-7"));
        assert_eq!(received.header(ORGANISATION_HEADER.as_str()), Some(ORGANISATION));
        assert_eq!(received.header("x-model"), Some("m-1"));
        assert_eq!(received.header(EXPECT_REPLICA.as_str()), Some("i-1"));
        assert_eq!(received.header("authorization"), None);
        assert_eq!(received.header("x-own-hop"), None);
        let remaining: u64 =
            received.header(DEADLINE.as_str()).and_then(|ms| ms.parse().ok()).expect("a time");
        assert!(remaining <= 8_000);
    });
}

#[test]
fn inadmissible_requests_are_refused() {
    run_test(async {
        let replica = StandinReplica::start(healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let mut unknown = request("/safe/a", "a");
        unknown.headers_mut().insert("authorization", "Bearer other".parse().expect("a value"));
        let mut large = request("/safe/a", "c");
        *large.body_mut() = Full::new(bytes::Bytes::from(vec![b'x'; 200_000]));
        let rows = [
            (unknown, StatusCode::UNAUTHORIZED),
            (request("/nowhere/", "b"), StatusCode::NOT_FOUND),
            (large, StatusCode::PAYLOAD_TOO_LARGE),
        ];
        for (request, status) in rows {
            assert_eq!(call(relay.address, request).await.status, status);
        }
        assert_eq!(replica.requests(), []);
    });
}

#[test]
fn a_relay_without_configuration_does_not_deny_routes() {
    run_test(async {
        let store = StandinStore::start().await;
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        relay.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await;
        let called = relay.get("/nowhere/", "a").await;
        assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

/// A configuration that removes a key applies as soon as it is known, and an older version that
/// arrives late does not restore the key.
#[test]
fn a_removed_key_is_not_restored_by_an_older_version() {
    run_test(async {
        let replica = StandinReplica::start(healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK);
        let store = &relay.store;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(5, &harness::ROUTES, &["other"]));
        wait_until(async || relay.get("/safe/a", "b").await.status == StatusCode::UNAUTHORIZED)
            .await;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(3, &harness::ROUTES, &[KEY]));
        sleep(Duration::from_millis(300)).await;
        assert_eq!(relay.get("/safe/a", "c").await.status, StatusCode::UNAUTHORIZED);
    });
}

/// A relay that cannot read the configuration any more refuses all keys once its lease has ended,
/// with a status that says that nothing ran. When the store is back, it accepts keys by the
/// configuration as changed meanwhile.
#[test]
fn keys_are_refused_once_the_lease_ends() {
    for behaviour in
        [StoreBehaviour::Unavailable, StoreBehaviour::RateLimited, StoreBehaviour::Unresponsive]
    {
        run_test(async move {
            let replica = StandinReplica::start(healthy).await;
            // A lease of half a second.
            let bounds = BoundSettings { revoke_ms: 3_800.0, ..bounds() };
            let relay = RunningRelay::start(bounds, &[entry_of("i-1", &replica, desk_entry)]).await;
            relay.store.set_behaviour(behaviour);
            wait_until(async || {
                relay.get("/safe/a", "a").await.status == StatusCode::SERVICE_UNAVAILABLE
            })
            .await;
            relay.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await;
            let ran = replica.requests().len();
            let denied = relay.get("/nowhere/", "b").await;
            assert_eq!(
                denied.status,
                StatusCode::SERVICE_UNAVAILABLE,
                "an outdated configuration must not deny a route"
            );
            assert_eq!(replica.requests().len(), ran);
            relay.store.put(
                CONFIG_KIND,
                CONFIG_NAME,
                samples::config(2, &harness::ROUTES, &["new"]),
            );
            relay.store.set_behaviour(StoreBehaviour::Healthy);
            wait_until(async || relay.get("/safe/a", "c").await.status == StatusCode::UNAUTHORIZED)
                .await;
        });
    }
}

/// Entries expire during an outage of the store, and live replicas write theirs again soon after.
/// Requests are served meanwhile; a replica whose entry does not return is dropped.
#[test]
fn an_entry_that_expired_during_an_outage_is_kept_for_a_while() {
    run_test(async {
        let report_requested = Arc::new(AtomicBool::new(false));
        let observed = report_requested.clone();
        let script = move |request: &ReceivedRequest| {
            observed.fetch_or(request.target == REPORT_PATH, Ordering::Relaxed);
            healthy(request)
        };
        let replica = StandinReplica::start(script).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.store.set_behaviour(StoreBehaviour::Unavailable);
        // The outage lasts for several attempts to read the list, half a second apart.
        let reads = || {
            let calls = relay.store.calls().into_iter();
            calls.filter(|call| call.contains(REPLICA_KIND)).collect::<Vec<_>>()
        };
        let before = reads().len();
        wait_until(async || reads().len() > before + 5).await;
        relay.store.remove(REPLICA_KIND, "i-1");
        relay.store.set_behaviour(StoreBehaviour::Healthy);
        // A watch is started only after a list that succeeded.
        wait_until(async || reads().last().is_some_and(|read| read.contains("watch="))).await;
        assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK);
        wait_until(async || {
            relay.get("/safe/a", "b").await.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        assert!(
            !report_requested.load(Ordering::Relaxed),
            "a plain service was asked for an engine report"
        );
    });
}

/// A store that dropped its history cannot serve a watch from there, so the relay reads the list
/// again.
#[test]
fn changes_are_read_after_the_store_compacted_its_history() {
    run_test(async {
        let replica = StandinReplica::start(healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.store.set_behaviour(StoreBehaviour::Unavailable);
        relay.store.put(CONFIG_KIND, CONFIG_NAME, samples::config(2, &harness::ROUTES, &["new"]));
        relay.store.compact();
        relay.store.set_behaviour(StoreBehaviour::Healthy);
        wait_until(async || relay.get("/safe/a", "b").await.status == StatusCode::UNAUTHORIZED)
            .await;
    });
}

#[test]
fn a_draining_replica_gets_no_more_requests() {
    run_test(async { check_gets_no_more_requests(|address| draining(desk_entry(address))).await });
}

/// An unreadable entry may say that the replica is draining.
#[test]
fn a_replica_with_an_unreadable_entry_gets_no_more_requests() {
    run_test(async { check_gets_no_more_requests(|_| json!({"service": 4})).await });
}

/// Changes the entry of one of two replicas, and checks that it gets no requests once the relay has
/// read the change.
async fn check_gets_no_more_requests(changed: fn(SocketAddr) -> Value) {
    let leaves = StandinReplica::start(healthy).await;
    let stays = StandinReplica::start(healthy).await;
    let entries = [entry_of("i-1", &leaves, desk_entry), entry_of("i-2", &stays, desk_entry)];
    let relay = RunningRelay::start(bounds(), &entries).await;
    relay.store.put(REPLICA_KIND, "i-1", changed(leaves.address()));
    let mut number = 0;
    wait_until(async || {
        // Until the relay has read the change, both may get requests.
        let before = leaves.requests().len();
        for _ in 0..6 {
            number += 1;
            relay.get("/safe/a", &format!("a{number}")).await;
        }
        leaves.requests().len() == before
    })
    .await;
    let before = leaves.requests().len();
    for id in 0..20 {
        assert_eq!(relay.get("/safe/a", &format!("b{id}")).await.status, StatusCode::OK);
    }
    assert_eq!(leaves.requests().len(), before);
}

/// An unreadable configuration may have removed a key: the lease ends, and begins again with the
/// next readable one.
#[test]
fn keys_are_refused_while_the_configuration_is_unreadable() {
    run_test(async {
        let replica = StandinReplica::start(healthy).await;
        let bounds = BoundSettings { revoke_ms: 3_800.0, ..bounds() };
        let relay = RunningRelay::start(bounds, &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.store.put(CONFIG_KIND, CONFIG_NAME, json!({"version": 2, "routes": 7}));
        wait_until(async || {
            relay.get("/safe/a", "a").await.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        let next = samples::config(3, &harness::ROUTES, &[KEY]);
        relay.store.put(CONFIG_KIND, CONFIG_NAME, next);
        wait_until(async || relay.get("/safe/a", "b").await.status == StatusCode::OK).await;
    });
}

#[test]
fn a_caller_that_disconnects_ends_its_request() {
    run_test(async {
        let replica = StandinReplica::start(|_| Reply::Silence).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let calling = call(relay.address, request("/once/a", "a"));
        let outcome = tokio::time::timeout(Duration::from_millis(300), calling).await;
        assert!(outcome.is_err(), "the replica never responds");
        wait_until(async || replica.requests().len() == 1 && replica.open_connections() == 0).await;
    });
}

/// During a graceful shutdown the relay is not ready, serves requests, closes the connection after
/// each response and finally exits by itself.
#[test]
fn a_graceful_shutdown_serves_requests() {
    run_test(async {
        let replica = StandinReplica::start(healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.shutdown.raise();
        relay.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await;
        let called = relay.get("/once/a", "a").await;
        assert_eq!(called.status, StatusCode::OK);
        assert_eq!(called.headers["connection"], "close");
        tokio::time::timeout(harness::WAIT_TIMEOUT, relay.task)
            .await
            .expect("the relay exits")
            .expect("the relay does not panic");
    });
}

/// A relay that shuts down but still forwards a stream refuses requests that its exit could cut
/// off. Guards against requests that arrived 0.1 s before the exit and were closed without a
/// response.
#[test]
fn a_shutdown_does_not_cut_off_late_requests() {
    run_test(async {
        let slow = |request: &ReceivedRequest| match signed_response(request, 200, "confirmed") {
            Reply::Bytes(bytes) => Reply::BytesLater(Duration::from_millis(200), bytes),
            other => other,
        };
        let replica = StandinReplica::start(slow).await;
        let silent = StandinReplica::start(|_| Reply::Silence).await;
        let full_model = |address| samples::model_entry(address, 0, samples::LAYERS);
        let entries = [entry_of("i-1", &replica, desk_entry), entry_of("i-2", &silent, full_model)];
        let bounds = switchfold_relay::settings::BoundSettings { grace_s: 5.0, ..bounds() };
        let relay = RunningRelay::start(bounds, &entries).await;
        // A stream that does not end keeps the relay running to the end of its grace period.
        let held = tokio::task::spawn_local(call(relay.address, request("/stream-once/a", "held")));
        wait_until(async || silent.requests().len() == 1).await;
        relay.shutdown.raise();
        let mut number = 0;
        loop {
            number += 1;
            let called = relay.get("/once/a", &format!("a{number}")).await;
            match called.status {
                StatusCode::OK => assert!(called.is_complete),
                status => {
                    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
                    assert!(called.headers.contains_key("retry-after"));
                    break;
                }
            }
        }
        held.abort();
    });
}

#[test]
fn metrics_are_served() {
    run_test(async {
        let replica = StandinReplica::start(healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.get("/once/a", "a").await;
        let request = Request::get("/metrics").body(Full::default()).expect("a request");
        let text = call(relay.metrics, request).await.body;
        for name in ["switchfold_first_byte", "switchfold_outcomes", "switchfold_belief_age"] {
            assert!(text.contains(name), "{name} in {text}");
        }
    });
}
