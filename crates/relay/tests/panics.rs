//! A panic costs one response at most, and is logged.

mod harness;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use switchfold_platform_standin::{
    StandinReplica,
    samples::{LAYERS, desk_entry, model_entry},
};
use tokio::{net::TcpStream, task::spawn_local};

use harness::{
    RunningRelay, bounds, entry_of, read_metric,
    recorded_events::{panic_at, record_events, wait_for_event},
    request, respond_healthy, run_test,
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
