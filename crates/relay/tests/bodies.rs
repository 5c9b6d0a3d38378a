//! Bodies of callers.

mod harness;

use bytes::Bytes;
use harness::{
    RunningRelay, bounds, call, entry_of, read_metric, request, run_test, send_incomplete,
    wait_until,
};
use http::StatusCode;
use http_body_util::Full;
use switchfold_platform_standin::{
    StandinReplica,
    samples::{HOST, KEY, desk_entry},
    signed_response,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Guards against requests that stay at the relay for as long as their bodies do not arrive.
#[test]
fn a_body_that_does_not_arrive_is_refused_at_the_deadline() {
    run_test(async {
        let replica = StandinReplica::start(|request| signed_response(request, 200, "")).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let mut caller = send_incomplete(relay.address, "x-deadline-ms: 300\r\n").await;
        let mut response = vec![0; 1_024];
        let read = timeout(harness::WAIT_TIMEOUT, caller.read(&mut response)).await;
        let read = read.expect("the relay responds").expect("it does not break the connection");
        let response = String::from_utf8_lossy(&response[..read]).into_owned();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert_eq!(replica.requests().len(), 0);
    });
}

/// Largest body that the sample configuration allows, in bytes.
const MAX_BODY: usize = 100_000;

/// Number of bodies of that size that are larger together than the relay has memory for.
const MANY: usize = 300;

/// Guards against bodies of callers that take more memory than the relay has: nothing bounded their
/// sum.
#[test]
fn the_bodies_of_all_requests_are_bounded_together() {
    run_test(async {
        let replica = StandinReplica::start(|request| signed_response(request, 200, "")).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let large = |id: &str| {
            let mut request = request("/once/a", id);
            *request.body_mut() = Full::new(Bytes::from(vec![b'x'; MAX_BODY]));
            request
        };
        assert_eq!(call(relay.address, large("alone")).await.status, StatusCode::OK);
        let mut incomplete = Vec::new();
        for _ in 0..MANY {
            let mut stream = TcpStream::connect(relay.address).await.expect("the relay listens");
            let head = format!(
                "POST /once/a HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
                 x-attempt-id: part\r\ncontent-length: {MAX_BODY}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("the relay reads");
            incomplete.push(stream);
        }
        let refused = [("status", "503"), ("reason", "no-memory")];
        let count = async || {
            read_metric(&relay, "switchfold_outcomes_total", &refused).await.unwrap_or_default()
        };
        wait_until(async || count().await > 0).await;
        let called = call(relay.address, large("beside")).await;
        assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(called.headers.contains_key("retry-after"));
        // A usual body needs no room.
        assert_eq!(relay.get("/once/a", "small").await.status, StatusCode::OK);
        drop(incomplete);
        wait_until(async || call(relay.address, large("after")).await.status == StatusCode::OK)
            .await;
    });
}
