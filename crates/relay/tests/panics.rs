//! A panic costs one response at most, and is logged.

mod harness;

use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica,
    samples::{self, KEY, LAYERS, desk_entry, model_entry},
    signed_response,
};
use switchfold_relay::logs::log_panics;
use tokio::{net::TcpStream, task::spawn_local};

use harness::{
    ROUTES, RunningRelay, bounds, entry_of, read_metric,
    recorded_events::{events_with, panic_at, record_events, wait_for_event},
    request, respond_healthy, run_test, try_call,
};

/// A panic closed the connection without a response and without a line about the request.
#[test]
fn a_panic_after_the_send_is_refused_as_unknown_and_keeps_the_connection() {
    record_events();
    panic_at("dispatch", "request", "after-send");
    run_test(async {
        let replica = StandinReplica::start(respond_healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let stream = TcpStream::connect(relay.address).await.expect("the relay listens");
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.expect("a connection");
        spawn_local(connection);
        let response =
            sender.send_request(request("/once/a", "after-send")).await.expect("a response");
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "it may have run");
        response.into_body().collect().await.expect("a complete response");
        let line = wait_for_event("request-panicked", "request", "after-send").await;
        assert_eq!(line["may_have_run"], true, "{line}");
        let next = sender.send_request(request("/once/a", "next")).await.expect("a response");
        assert_eq!(next.status(), StatusCode::OK);
    });
}

/// A refusal after a panic must tell a request that no replica ran from one that may have run.
#[test]
fn a_panic_before_the_send_is_refused_as_not_run() {
    record_events();
    panic_at("no-path", "request", "before-send");
    run_test(async {
        let engine = StandinReplica::start(respond_healthy).await;
        let half_model = |address| model_entry(address, 0, LAYERS / 2);
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &engine, half_model)]).await;
        let refused = relay.get("/stream/a", "before-send").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let line = wait_for_event("request-panicked", "request", "before-send").await;
        assert_eq!(line["may_have_run"], false, "{line}");
        let refused = wait_for_event("refused", "request", "before-send").await;
        assert_eq!(refused["reason"], "internal-error", "{refused}");
    });
}

/// A stream whose task panicked ended without a line.
#[test]
fn a_panic_within_a_stream_aborts_its_body_with_a_line() {
    record_events();
    panic_at("stream-ended", "request", "in-stream");
    run_test(async {
        let engine = StandinReplica::start(respond_healthy).await;
        let full_model = |address| model_entry(address, 0, LAYERS);
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &engine, full_model)]).await;
        let called = relay.get("/stream/a", "in-stream").await;
        assert!(!called.is_complete, "a stream that panicked must not look complete");
        let line = wait_for_event("request-panicked", "request", "in-stream").await;
        assert_eq!(line["status"], json!(200), "{line}");
        let line = wait_for_event("request-ended", "request", "in-stream").await;
        assert_eq!((&line["end"], &line["cause"]), (&json!("body-aborted"), &json!("panicked")));
        let labels = [("cause", "panicked")];
        let count = read_metric(&relay, "switchfold_request_ends_total", &labels).await;
        assert_eq!(count, Some(1));
        assert!(relay.get("/stream/a", "after-panic").await.is_complete);
    });
}

/// A relay whose task had panicked served on with a configuration that nothing updated any more.
#[test]
fn a_panic_of_a_permanent_task_stops_the_relay_gracefully() {
    const UNREADABLE_VERSION: u64 = 7_001;
    record_events();
    panic_at("config-taken", "version", UNREADABLE_VERSION);
    run_test(async {
        let slow = |received: &ReceivedRequest| match signed_response(received, 200, "confirmed") {
            Reply::Bytes(bytes) => Reply::BytesLater(Duration::from_millis(1_000), bytes),
            other => other,
        };
        let replica = StandinReplica::start(slow).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let call = spawn_local(try_call(relay.address, request("/once/a", "in-flight")));
        wait_for_event("dispatch", "request", "in-flight").await;
        let config = samples::config(UNREADABLE_VERSION, &ROUTES, &[KEY]);
        relay.store.put(CONFIG_KIND, CONFIG_NAME, config);
        wait_for_event("task-panicked", "task", "follow_config").await;
        let answered = call.await.expect("the call ends").expect("a response");
        assert_eq!(answered.status, StatusCode::OK, "requests in flight are served");
        assert!(relay.task.await.is_err(), "the relay ends with an error");
    });
}

/// A panic outside of requests and permanent tasks was written to standard error only.
#[test]
fn a_panic_of_a_thread_leaves_a_line() {
    record_events();
    log_panics();
    let panicked = std::thread::spawn(|| panic!("{} broke", "a thread")).join();
    assert!(panicked.is_err());
    let lines = events_with("panic", "message", "a thread broke");
    assert_eq!(lines.len(), 1);
    assert!(lines[0]["location"].as_str().is_some_and(|place| place.contains("panics.rs")));
}
