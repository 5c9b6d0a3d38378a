//! Connections of callers that they keep using while a relay shuts down.

mod harness;

use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use switchfold_platform::headers::ATTEMPT_ID;
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StreamEnd, events,
    samples::{self, desk_entry},
    signed_response,
};
use switchfold_relay::settings::BoundSettings;
use tokio::{io::AsyncReadExt, net::TcpStream, task::spawn_local, time::sleep};

use harness::{
    RunningRelay, WAIT_TIMEOUT, bounds, entry_of, request, respond_healthy, run_test,
    send_incomplete, try_call, wait_until,
};

/// Events of a stream that outlives the time after which idle connections are closed.
const LONG_EVENTS: u64 = 32;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(100);

fn respond_slowly(received: &ReceivedRequest) -> Reply {
    match received.target.starts_with("/stream") {
        true => events(received, LONG_EVENTS, EVENT_PAUSE, StreamEnd::Complete),
        false => respond_healthy(received),
    }
}

/// Guards against connections that were closed without a word after a stream that had begun before
/// the shutdown, which lost the caller's next request.
#[test]
fn a_request_after_a_stream_that_outlives_the_shutdown_delay_is_answered() {
    run_test(async {
        let replica = StandinReplica::start(respond_healthy).await;
        let engine = StandinReplica::start(respond_slowly).await;
        let full_model = |address| samples::model_entry(address, 0, samples::LAYERS);
        let entries = [entry_of("i-1", &replica, desk_entry), entry_of("i-2", &engine, full_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let stream = TcpStream::connect(relay.address).await.expect("the relay listens");
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.expect("a connection");
        spawn_local(connection);

        let streamed = sender.send_request(request("/stream/a", "a")).await.expect("a head");
        relay.shutdown.raise();
        assert!(!streamed.headers().contains_key("connection"), "the connection is kept");
        let body = streamed.into_body().collect().await.expect("a whole stream").to_bytes();
        assert!(body.ends_with(b"\n\n"));
        let next = sender.send_request(request("/once/a", "b")).await.expect("a response");
        assert_eq!(next.headers()["connection"], "close");
        next.into_body().collect().await.expect("a whole response");

        tokio::time::timeout(WAIT_TIMEOUT, relay.task)
            .await
            .expect("the relay exits")
            .expect("the relay does not panic");
    });
}

/// A caller that keeps a connection without using it does not hold up a shutdown.
#[test]
fn an_unused_connection_does_not_hold_up_a_shutdown() {
    run_test(async {
        let replica = StandinReplica::start(respond_healthy).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let _held = TcpStream::connect(relay.address).await.expect("the relay listens");
        relay.shutdown.raise();
        tokio::time::timeout(WAIT_TIMEOUT, relay.task)
            .await
            .expect("the relay exits")
            .expect("the relay does not panic");
    });
}

/// Bounds with a short grace period.
fn short_grace() -> BoundSettings {
    BoundSettings { grace_s: 4.0, ..bounds() }
}

/// Guards against plain requests that took longer than a stopping relay assumed and were cut off
/// without a response when it exited.
#[test]
fn a_planned_stop_does_not_cut_slow_plain_requests() {
    const WORK_TIME: Duration = Duration::from_millis(1_800);
    run_test(async {
        let slow = |received: &ReceivedRequest| match signed_response(received, 200, "confirmed") {
            Reply::Bytes(bytes) => Reply::BytesLater(WORK_TIME, bytes),
            other => other,
        };
        let replica = StandinReplica::start(slow).await;
        let relay =
            RunningRelay::start(short_grace(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let address = relay.address;
        assert_eq!(relay.get("/once/a", "first").await.status, StatusCode::OK);

        relay.shutdown.raise();
        let mut calls = Vec::new();
        // New requests keep the relay running to the end of its grace period.
        while !relay.task.is_finished() {
            let number = calls.len();
            let id = format!("a{number}");
            calls.push(spawn_local(async move {
                (try_call(address, request("/once/a", &id)).await, id)
            }));
            sleep(Duration::from_millis(50)).await;
        }
        let (mut served, mut refused) = (0, 0);
        for call in calls {
            let (called, id) = call.await.expect("no panic");
            let is_own =
                |received: &ReceivedRequest| received.header(ATTEMPT_ID.as_str()) == Some(&id);
            let was_sent = replica.requests().iter().any(is_own);
            match called.map(|called| (called.status, called.is_complete)) {
                Some((StatusCode::OK, true)) => served += 1,
                Some((StatusCode::SERVICE_UNAVAILABLE, true)) if !was_sent => refused += 1,
                None if !was_sent => {}
                other => panic!("request {id} was sent to the replica and got {other:?}"),
            }
        }
        assert!(served > 0, "requests that end in time are served");
        assert!(refused > 0, "requests that could be cut off are refused");
    });
}

/// Guards against requests in flight whose connections were closed without a response when a
/// stopping relay exited.
#[test]
fn a_stopping_relay_responds_to_requests_that_are_still_in_flight() {
    run_test(async {
        let replica = StandinReplica::start(|_| Reply::Silence).await;
        let relay =
            RunningRelay::start(short_grace(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let address = relay.address;
        let sent = spawn_local(try_call(address, request("/once/a", "sent")));
        wait_until(async || !replica.requests().is_empty()).await;
        let mut partial = send_incomplete(address, "").await;
        relay.shutdown.raise();

        let sent = sent.await.expect("no panic").expect("a response");
        assert_eq!((sent.status, sent.is_complete), (StatusCode::BAD_GATEWAY, true));
        let mut response = Vec::new();
        partial.read_to_end(&mut response).await.expect("a response");
        let response = String::from_utf8_lossy(&response).into_owned();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.to_ascii_lowercase().contains("\r\nretry-after: "), "{response}");
        assert_eq!(replica.requests().len(), 1);
    });
}
