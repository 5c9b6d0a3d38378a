//! Requests to plain services, by the ways in which replicas and the store fail.

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

fn well(request: &ReceivedRequest) -> Reply {
    signed_response(request, 200, "confirmed")
}

fn garbage(_: &ReceivedRequest) -> Reply {
    Reply::BytesThenClose(b"\x00\x01 no answer at all\r\n\r\n".to_vec())
}

/// One row of the table: what the first replica does, and what the caller and the second replica get.
struct Row {
    name: &'static str,
    path: &'static str,
    first: Script,
    status: u16,
    sealed: bool,
    second_runs: usize,
}

const fn row(
    name: &'static str,
    path: &'static str,
    first: Script,
    status: u16,
    sealed: bool,
    second_runs: usize,
) -> Row {
    Row { name, path, first, status, sealed, second_runs }
}

/// Runs a request whose first replica fails in some way; the second one is well. Which of two replicas
/// is asked first is the relay's choice, so the second one counts how often it ran after the first.
async fn run_row(row: &Row) {
    let first_done = Arc::new(AtomicUsize::new(0));
    let script = |fails: Script| {
        let done = first_done.clone();
        move |request: &ReceivedRequest| match done.fetch_add(1, Ordering::SeqCst) {
            0 => fails(request),
            _ => well(request),
        }
    };
    let one = StandinReplica::start(script(row.first)).await;
    let two = StandinReplica::start(script(row.first)).await;
    let entries = [entry_of("i-1", &one, desk_entry), entry_of("i-2", &two, desk_entry)];
    let relay = RunningRelay::start(bounds(), &entries).await;
    let called = relay.get(row.path, "attempt-1").await;
    assert_eq!(called.status.as_u16(), row.status, "{}: {called:?}", row.name);
    assert_eq!(called.is_signed(), row.sealed, "{}: {called:?}", row.name);
    assert!(called.is_complete, "{}", row.name);
    if row.sealed && row.status == 200 {
        assert_eq!(called.body, "confirmed", "{}", row.name);
    }
    let sent = one.requests().len() + two.requests().len();
    assert_eq!(sent, 1 + row.second_runs, "{}", row.name);
    let promises = matches!(row.status, 408 | 421 | 429 | 503);
    assert_eq!(called.headers.contains_key("retry-after"), promises, "{}", row.name);
}

#[test]
fn what_the_first_replica_does_decides() {
    let rows = [
        row("well", "/once/a", well, 200, true, 0),
        row("its own failure", "/once/a", |r| signed_response(r, 500, "no"), 500, true, 0),
        row(
            "its own failure, repeatable",
            "/safe/a",
            |r| signed_response(r, 500, "no"),
            200,
            true,
            1,
        ),
        row("its own refusal", "/safe/a", |r| signed_response(r, 404, "no"), 404, true, 0),
        row("rejected", "/once/a", |r| reject(r, 503, None), 200, true, 1),
        row("other replica there", "/once/a", |r| reject(r, 421, None), 200, true, 1),
        row("rejected, repeatable", "/safe/a", |r| reject(r, 429, None), 200, true, 1),
        row("503 without the promise", "/once/a", |r| signed_response(r, 503, "no"), 502, false, 0),
        row("closed", "/once/a", |_| Reply::Close, 502, false, 0),
        row("closed, repeatable", "/safe/a", |_| Reply::Close, 200, true, 1),
        row("surplus answer", "/once/a", |_| mismatched_response(), 502, false, 0),
        row("surplus answer, repeatable", "/safe/a", |_| mismatched_response(), 200, true, 1),
        row("broken off", "/once/a", truncated_response, 502, false, 0),
        row("broken off, repeatable", "/safe/a", truncated_response, 200, true, 1),
        row("garbage", "/once/a", garbage, 502, false, 0),
        row("garbage, repeatable", "/safe/a", garbage, 200, true, 1),
        row("silent until the route's time is up", "/brief/a", |_| Reply::Silence, 504, false, 0),
    ];
    for row in &rows {
        run_test(run_row(row));
    }
}

#[test]
fn a_replica_that_cannot_be_reached_is_passed_by() {
    run_test(async {
        let well_one = StandinReplica::start(well).await;
        let dead = "127.0.0.1:1".parse().expect("an address that nobody listens on");
        let entries = [("i-dead", desk_entry(dead)), entry_of("i-2", &well_one, desk_entry)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        for id in ["a", "b", "c", "d"] {
            assert_eq!(relay.get("/once/a", id).await.status, StatusCode::OK);
        }
        assert_eq!(well_one.requests().len(), 4);
    });
}

#[test]
fn no_replica_is_a_refusal_that_ran_nowhere() {
    run_test(async {
        let model = StandinReplica::start(well).await;
        let entry = |address| samples::model_entry(address, 0, 8);
        let relay = RunningRelay::start(bounds(), &[entry_of("i-m", &model, entry)]).await;
        let called = relay.get("/once/a", "a").await;
        assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(called.headers.contains_key("retry-after"));
    });
}

#[test]
fn replicas_see_the_request_as_it_came() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let mut asked = request("/safe/a%20b?x=1&y", "attempt-7");
        let headers = asked.headers_mut();
        headers.insert(ORGANISATION_HEADER, "somebody-else".parse().expect("a value"));
        headers.insert("x-model", "m-1".parse().expect("a value"));
        headers.insert("connection", "x-own-hop, keep-alive".parse().expect("a value"));
        headers.insert("x-own-hop", "1".parse().expect("a value"));
        call(relay.address, asked).await;
        let seen = &replica.requests()[0];
        assert_eq!((seen.method.as_str(), seen.target.as_str()), ("POST", "/safe/a%20b?x=1&y"));
        assert_eq!(seen.body, b"question");
        assert_eq!(seen.header(ATTEMPT_ID.as_str()), Some("attempt-7"));
        assert_eq!(seen.header(ORGANISATION_HEADER.as_str()), Some(ORGANISATION));
        assert_eq!(seen.header("x-model"), Some("m-1"));
        assert_eq!(seen.header(EXPECT_REPLICA.as_str()), Some("i-1"));
        assert_eq!(seen.header("authorization"), None);
        assert_eq!(seen.header("x-own-hop"), None);
        let left: u64 =
            seen.header(DEADLINE.as_str()).and_then(|ms| ms.parse().ok()).expect("a time");
        assert!(left <= 8_000);
    });
}

#[test]
fn who_may_not_is_told_so() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
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
        for (asked, status) in rows {
            assert_eq!(call(relay.address, asked).await.status, status);
        }
        assert_eq!(replica.requests(), []);
    });
}

#[test]
fn a_relay_without_configuration_denies_nothing() {
    run_test(async {
        let store = StandinStore::start().await;
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        relay.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await;
        let called = relay.get("/nowhere/", "a").await;
        assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

/// A configuration that takes a key away is in force once it is known; one that comes late does not
/// bring the key back.
#[test]
fn a_removed_key_stays_removed() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
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

/// A relay that cannot read the configuration any more lets no key in after its lease, and says that
/// nothing ran; it takes keys again once the store is back, with what changed meanwhile.
#[test]
fn keys_are_refused_while_nothing_proves_them() {
    for mood in
        [StoreBehaviour::Unavailable, StoreBehaviour::RateLimited, StoreBehaviour::Unresponsive]
    {
        run_test(async move {
            let replica = StandinReplica::start(well).await;
            // A lease of half a second.
            let bounds = BoundSettings { revoke_ms: 3_800.0, ..bounds() };
            let relay = RunningRelay::start(bounds, &[entry_of("i-1", &replica, desk_entry)]).await;
            relay.store.set_behaviour(mood);
            wait_until(async || {
                relay.get("/safe/a", "a").await.status == StatusCode::SERVICE_UNAVAILABLE
            })
            .await;
            relay.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await;
            let ran = replica.requests().len();
            let denied = relay.get("/nowhere/", "b").await;
            assert_eq!(denied.status, StatusCode::SERVICE_UNAVAILABLE, "an old route is no proof");
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

/// Entries lapse while the store is away; those of replicas that live are back soon after, and meanwhile
/// requests go on. One that does not come back is dropped.
#[test]
fn a_lapsed_entry_is_waited_for() {
    run_test(async {
        let asked = Arc::new(AtomicBool::new(false));
        let noted = asked.clone();
        let script = move |request: &ReceivedRequest| {
            noted.fetch_or(request.target == REPORT_PATH, Ordering::Relaxed);
            well(request)
        };
        let replica = StandinReplica::start(script).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.store.set_behaviour(StoreBehaviour::Unavailable);
        // The outage lasts for some tries to read the list: each comes half a second after the last.
        let reads = || {
            let calls = relay.store.calls().into_iter();
            calls.filter(|call| call.contains(REPLICA_KIND)).collect::<Vec<_>>()
        };
        let before = reads().len();
        wait_until(async || reads().len() > before + 5).await;
        relay.store.remove(REPLICA_KIND, "i-1");
        relay.store.set_behaviour(StoreBehaviour::Healthy);
        // A watch follows only a list that was answered.
        wait_until(async || reads().last().is_some_and(|read| read.contains("watch="))).await;
        assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK);
        wait_until(async || {
            relay.get("/safe/a", "b").await.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        assert!(!asked.load(Ordering::Relaxed), "a plain service was asked for a report");
    });
}

/// A store that forgets its history tells a watch nothing: the list does.
#[test]
fn changes_are_learnt_after_the_history_is_gone() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
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
fn a_leaving_replica_gets_nothing_more() {
    run_test(async { gets_nothing_more(|address| draining(desk_entry(address))).await });
}

/// What cannot be read may say that the replica leaves.
#[test]
fn a_replica_whose_entry_cannot_be_read_gets_nothing_more() {
    run_test(async { gets_nothing_more(|_| json!({"service": 4})).await });
}

/// Changes the entry of one of two replicas, after which that one must be left alone.
async fn gets_nothing_more(changed: fn(SocketAddr) -> Value) {
    let leaves = StandinReplica::start(well).await;
    let stays = StandinReplica::start(well).await;
    let entries = [entry_of("i-1", &leaves, desk_entry), entry_of("i-2", &stays, desk_entry)];
    let relay = RunningRelay::start(bounds(), &entries).await;
    relay.store.put(REPLICA_KIND, "i-1", changed(leaves.address()));
    let mut number = 0;
    wait_until(async || {
        // Until the relay knows, either may be asked; then only the one that stays is.
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

/// A configuration that cannot be read may have taken a key away: the lease on keys ends, and begins
/// again with one that can be read.
#[test]
fn keys_are_refused_while_the_configuration_cannot_be_read() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
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
fn a_caller_that_leaves_ends_the_work() {
    run_test(async {
        let replica = StandinReplica::start(|_| Reply::Silence).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let asked = call(relay.address, request("/once/a", "a"));
        let gone = tokio::time::timeout(Duration::from_millis(300), asked).await;
        assert!(gone.is_err(), "the replica never answers");
        wait_until(async || replica.requests().len() == 1 && replica.open_connections() == 0).await;
    });
}

/// A planned stop: readiness goes first, requests are answered, each answer closes its connection, and
/// the relay ends by itself.
#[test]
fn a_planned_stop_answers_what_is_there() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.shutdown.raise();
        relay.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await;
        let called = relay.get("/once/a", "a").await;
        assert_eq!(called.status, StatusCode::OK);
        assert_eq!(called.headers["connection"], "close");
        tokio::time::timeout(harness::WAIT_TIMEOUT, relay.task)
            .await
            .expect("ends")
            .expect("in order");
    });
}

/// A relay that goes on for its streams takes no request that its end could cut. Found by hunts: one
/// that came a tenth of a second before the end was closed without an answer.
#[test]
fn a_stop_cuts_no_late_request() {
    run_test(async {
        let slow = |request: &ReceivedRequest| match signed_response(request, 200, "confirmed") {
            Reply::Bytes(bytes) => Reply::BytesLater(Duration::from_millis(200), bytes),
            other => other,
        };
        let replica = StandinReplica::start(slow).await;
        let hung = StandinReplica::start(|_| Reply::Silence).await;
        let whole = |address| samples::model_entry(address, 0, samples::LAYERS);
        let entries = [entry_of("i-1", &replica, desk_entry), entry_of("i-2", &hung, whole)];
        let bounds = switchfold_relay::settings::BoundSettings { grace_s: 5.0, ..bounds() };
        let relay = RunningRelay::start(bounds, &entries).await;
        // A stream that does not end keeps the relay going to the end of its grace time.
        let held = tokio::task::spawn_local(call(relay.address, request("/stream-once/a", "held")));
        wait_until(async || hung.requests().len() == 1).await;
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
fn figures_are_served() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        relay.get("/once/a", "a").await;
        let asked = Request::get("/metrics").body(Full::default()).expect("a request");
        let text = call(relay.metrics, asked).await.body;
        for name in ["switchfold_first_byte", "switchfold_outcomes", "switchfold_belief_age"] {
            assert!(text.contains(name), "{name} in {text}");
        }
    });
}
