//! Responses without a length and without chunks, which end with their connection.

mod harness;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use harness::{CallResult, RunningRelay, bounds, entry_of, event_ids, respond_healthy, run_test};
use switchfold_platform::engine::{ORDER_PATH, REPORT_PATH};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica,
    samples::{LAYERS, desk_entry, model_entry},
};

/// Number of events of a healthy stream.
const EVENTS: u64 = 3;

/// A response whose body ends with the connection.
fn unframed(request: &ReceivedRequest, body: &str) -> Reply {
    let id = request.header("x-attempt-id").unwrap_or_default();
    let head =
        format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: seal-{id}\r\n\r\n");
    Reply::BytesThenClose((head + body).into_bytes())
}

/// Time from a response without a length to the crash of its replica.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Sends `body` unframed, and crashes.
fn crash_unframed(request: &ReceivedRequest, body: &str) -> Reply {
    match unframed(request, body) {
        Reply::BytesThenClose(bytes) => Reply::Crash(bytes, CRASH_DELAY),
        other => other,
    }
}

/// Calls a relay with two replicas of each service, of which the one that receives the request first
/// sends `body` unframed. Returns the outcome and the number of requests sent.
async fn call_unframed(path: &str, body: &'static str) -> (CallResult, usize) {
    call_with_first(path, body, unframed).await
}

/// Calls a relay as [`call_unframed`] does; the first replica responds by `reply`.
async fn call_with_first(
    path: &str,
    body: &'static str,
    reply: fn(&ReceivedRequest, &str) -> Reply,
) -> (CallResult, usize) {
    let count = Arc::new(Mutex::new(0));
    let script = || {
        let count = count.clone();
        move |request: &ReceivedRequest| {
            if [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str()) {
                return respond_healthy(request);
            }
            let mut count = count.lock().expect("no script panics");
            *count += 1;
            if *count == 1 { reply(request, body) } else { respond_healthy(request) }
        }
    };
    let replicas = [
        StandinReplica::start(script()).await,
        StandinReplica::start(script()).await,
        StandinReplica::start(script()).await,
        StandinReplica::start(script()).await,
    ];
    let engine = |address| model_entry(address, 0, LAYERS);
    let entries = [
        entry_of("i-1", &replicas[0], desk_entry),
        entry_of("i-2", &replicas[1], desk_entry),
        entry_of("i-3", &replicas[2], engine),
        entry_of("i-4", &replicas[3], engine),
    ];
    let relay = RunningRelay::start(bounds(), &entries).await;
    let called = relay.get(path, "a").await;
    let sent = *count.lock().expect("no script panics");
    (called, sent)
}

/// A complete response must not be taken for a broken one because it has no length.
#[test]
fn an_unframed_response_is_complete_when_its_connection_ends() {
    run_test(async {
        let (called, sent) = call_unframed("/once/a", "confirmed").await;
        assert_eq!((called.status.as_u16(), called.body.as_str()), (200, "confirmed"));
        assert!(called.is_complete && called.is_signed());
        assert_eq!(sent, 1);
        let (called, sent) = call_unframed("/stream-once/a", "id: 0\ndata: x\n\n").await;
        assert_eq!(event_ids(&called.body), [0]);
        assert!(called.is_complete);
        assert_eq!(sent, 1);
    });
}

/// A stream that ends within an event must not be passed on as complete.
#[test]
fn an_unframed_stream_that_ends_within_an_event_is_broken() {
    run_test(async {
        let body = "id: 0\ndata: x\n\nid: 1\nda";
        let (called, sent) = call_unframed("/stream/a", body).await;
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert!(called.is_complete);
        assert_eq!(sent, 2);
        let (called, sent) = call_unframed("/stream-once/a", body).await;
        assert_eq!(event_ids(&called.body), [0]);
        assert!(!called.is_complete);
        assert_eq!(sent, 1);
    });
}

/// Guards against a response without a length that was cut short by the crash of its replica and
/// passed on as complete.
#[test]
fn an_unframed_response_of_a_replica_that_crashed_is_not_complete() {
    run_test(async {
        let (called, sent) = call_with_first("/once/a", "conf", crash_unframed).await;
        assert_eq!((called.status.as_u16(), sent), (502, 1), "{called:?}");
        let (called, sent) = call_with_first("/safe/a", "conf", crash_unframed).await;
        assert_eq!((called.status.as_u16(), called.body.as_str()), (200, "confirmed"));
        assert_eq!(sent, 2);
        let event = "id: 0\ndata: x\n\n";
        let (called, sent) = call_with_first("/stream-once/a", event, crash_unframed).await;
        assert_eq!((event_ids(&called.body), called.is_complete, sent), (vec![0], false, 1));
        let (called, sent) = call_with_first("/stream/a", event, crash_unframed).await;
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert_eq!((called.is_complete, sent), (true, 2));
    });
}
