//! The log and the metrics tell how each request ended.

mod harness;

use std::time::Duration;

use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, headers::DEADLINE};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StreamEnd, events,
    samples::{self, HOST, KEY, LAYERS, desk_entry, model_entry},
};
use switchfold_relay::settings::BoundSettings;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::spawn_local};

use harness::{
    ROUTES, RunningRelay, bounds, call, entry_of, read_metric,
    recorded_events::{events_with, record_events, wait_for_event},
    request, respond_healthy, run_test, try_call, wait_until,
};

/// Number of events of a stream before it is silent or cut.
const EVENTS: u64 = 2;

/// Responds by the path: with nothing, with a stream that is silent or cut after some events, or as
/// a healthy replica.
fn respond_by_path(received: &ReceivedRequest) -> Reply {
    let stream = |end| events(received, EVENTS, Duration::from_millis(5), end);
    match received.target.as_str() {
        path if path.ends_with("/no-head") => Reply::Silence,
        path if path.ends_with("/silent") => stream(StreamEnd::Silence),
        path if path.ends_with("/cut") => stream(StreamEnd::Cut),
        _ => respond_healthy(received),
    }
}

/// Starts a relay with a replica of each service.
async fn start_relay(bounds: BoundSettings) -> (RunningRelay, [StandinReplica; 2]) {
    record_events();
    let replica = StandinReplica::start(respond_by_path).await;
    let engine = StandinReplica::start(respond_by_path).await;
    let full_model = |address| model_entry(address, 0, LAYERS);
    let entries = [entry_of("i-1", &replica, desk_entry), entry_of("i-2", &engine, full_model)];
    (RunningRelay::start(bounds, &entries).await, [replica, engine])
}

/// Returns the number of requests that ended for a cause.
async fn end_count(relay: &RunningRelay, cause: &str) -> u64 {
    let count = read_metric(relay, "switchfold_request_ends_total", &[("cause", cause)]).await;
    count.unwrap_or(0)
}

/// Opens a connection and sends a whole request on it.
async fn send_raw(relay: &RunningRelay, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(relay.address).await.expect("the relay listens");
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the relay reads");
    stream
}

fn assert_fields(line: &Value, expected: &Value) {
    for (name, value) in expected.as_object().expect("an object") {
        assert_eq!(&line[name], value, "{name} in {line}");
    }
}

/// A request whose caller left before the response had no line, like one that was lost.
#[test]
fn a_caller_that_leaves_before_the_response_leaves_a_line() {
    run_test(async {
        let (relay, _replicas) = start_relay(bounds()).await;
        let caller = send_raw(&relay, "/once/no-head", "leaves").await;
        wait_for_event("dispatch", "request", "leaves").await;
        relay.store.put(CONFIG_KIND, CONFIG_NAME, samples::config(2, &ROUTES, &[KEY]));
        wait_until(async || {
            read_metric(&relay, "switchfold_figures", &[("name", "config_version")]).await
                == Some(2)
        })
        .await;
        drop(caller);
        let line = wait_for_event("request-ended", "request", "leaves").await;
        let expected = json!({
            "end": "connection-ended", "cause": "caller-left", "read": true, "sends": 1,
            "may_have_run": true, "status": null, "body_bytes": 0,
            "config_at_arrival": 1, "config": 2,
        });
        assert_fields(&line, &expected);
        assert!(line["replica"].as_str().is_some_and(|name| name.contains("i-1")), "{line}");
        assert!(line["quiet_ms"].is_u64(), "{line}");
        assert_eq!(end_count(&relay, "caller-left").await, 1);
        let connection = wait_for_event("connection-ended", "in_progress", "leaves").await;
        assert_fields(&connection, &json!({ "requests": 1, "last_request": "leaves" }));
    });
}

/// A caller that only ends its sending side gets no answer, which no line told.
#[test]
fn a_half_closed_connection_counts_as_left() {
    run_test(async {
        let (relay, _replicas) = start_relay(bounds()).await;
        let mut caller = send_raw(&relay, "/once/no-head", "half-closed").await;
        wait_for_event("dispatch", "request", "half-closed").await;
        caller.shutdown().await.expect("the connection is open");
        let line = wait_for_event("request-ended", "request", "half-closed").await;
        assert_fields(&line, &json!({ "cause": "caller-left", "status": null }));
    });
}

/// The library may drop a request whose caller ends its sending side at once before it is handled.
#[test]
fn a_request_that_is_half_closed_at_once_leaves_a_line() {
    run_test(async {
        let (relay, _replicas) = start_relay(bounds()).await;
        let mut caller = send_raw(&relay, "/once/no-head", "closed-at-once").await;
        caller.shutdown().await.expect("the connection is open");
        let line = wait_for_event("request-ended", "request", "closed-at-once").await;
        assert_fields(&line, &json!({ "cause": "caller-left", "read": true, "status": null }));
        let requests = read_metric(&relay, "switchfold_figures", &[("name", "requests")]).await;
        assert_eq!(requests, Some(1));
    });
}

/// A reset on the way must not look like a caller that left.
#[test]
fn a_reset_connection_is_told_from_a_caller_that_left() {
    run_test(async {
        let (relay, _replicas) = start_relay(bounds()).await;
        let caller = send_raw(&relay, "/once/no-head", "reset").await;
        wait_for_event("dispatch", "request", "reset").await;
        caller.set_zero_linger().expect("a socket option");
        drop(caller);
        let line = wait_for_event("request-ended", "request", "reset").await;
        assert_fields(&line, &json!({ "cause": "connection-failed", "status": null }));
        assert!(line["error"].is_string(), "{line}");
    });
}

/// A stream that is cut after its head was logged as answered only.
#[test]
fn a_stream_that_its_caller_leaves_has_a_line_beside_answered() {
    run_test(async {
        let (relay, _replicas) = start_relay(bounds()).await;
        let call = spawn_local(try_call(relay.address, request("/stream/silent", "left-stream")));
        wait_for_event("answered", "request", "left-stream").await;
        call.abort();
        let line = wait_for_event("request-ended", "request", "left-stream").await;
        assert_fields(&line, &json!({ "cause": "caller-left", "status": 200, "read": true }));
        assert_eq!(end_count(&relay, "answered").await, 0);
    });
}

/// A body that the relay aborts tells why, and how much of it the caller was sent.
#[test]
fn an_aborted_body_names_its_cause() {
    run_test(async {
        let (relay, _replicas) = start_relay(bounds()).await;
        let cut = relay.get("/stream-once/cut", "cut").await;
        assert!(!cut.is_complete);
        let line = wait_for_event("request-ended", "request", "cut").await;
        let expected = json!({
            "end": "body-aborted", "cause": "replica-failed", "status": 200,
            "body_bytes": cut.body.len(),
        });
        assert_fields(&line, &expected);

        let mut late = request("/stream-once/silent", "late");
        late.headers_mut().insert(DEADLINE, HeaderValue::from_static("300"));
        assert!(!call(relay.address, late).await.is_complete);
        let line = wait_for_event("request-ended", "request", "late").await;
        assert_fields(&line, &json!({ "end": "body-aborted", "cause": "deadline-passed" }));
    });
}

/// Complete responses and refusals are counted, and have no line of this kind.
#[test]
fn each_request_is_counted_once_by_its_end() {
    run_test(async {
        let (relay, _replicas) = start_relay(bounds()).await;
        for path in ["/safe/whole", "/stream/whole"] {
            let called = relay.get(path, "whole").await;
            assert!(called.is_complete && called.status == StatusCode::OK);
        }
        let head = Request::head("/safe/whole")
            .header("host", HOST)
            .header("authorization", format!("Bearer {KEY}"))
            .header("x-attempt-id", "whole")
            .body(Full::default())
            .expect("a request");
        call(relay.address, head).await;
        let refused = call(relay.address, request("/none/whole", "whole")).await;
        assert_eq!(refused.status, StatusCode::NOT_FOUND);
        assert!(!relay.get("/stream-once/cut", "cut-again").await.is_complete);
        wait_for_event("request-ended", "request", "cut-again").await;
        let mut counts = Vec::new();
        for cause in ["answered", "refused", "replica-failed"] {
            counts.push(end_count(&relay, cause).await);
        }
        assert_eq!(counts, [3, 1, 1]);
        assert_eq!(events_with("request-ended", "request", "whole"), Vec::<Value>::new());
    });
}

/// Streams that outlasted a stop ended with the process, without a line.
#[test]
fn a_stream_that_the_exit_cuts_leaves_a_line() {
    run_test(async {
        let (relay, _replicas) = start_relay(BoundSettings { grace_s: 4.0, ..bounds() }).await;
        let call = spawn_local(try_call(relay.address, request("/stream-once/silent", "exit")));
        wait_for_event("answered", "request", "exit").await;
        relay.shutdown.raise();
        relay.task.await.expect("the relay does not panic");
        let line = wait_for_event("request-ended", "request", "exit").await;
        assert_fields(&line, &json!({ "cause": "process-exit", "status": 200 }));
        call.abort();
    });
}
