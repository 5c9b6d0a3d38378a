//! Connections of callers that they keep using while a relay shuts down.

mod harness;

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use switchfold_platform_standin::{
    ReceivedRequest, StandinReplica, StreamEnd, events,
    samples::{self, desk_entry},
};
use tokio::{net::TcpStream, task::spawn_local};

use harness::{RunningRelay, WAIT_TIMEOUT, bounds, entry_of, request, respond_healthy, run_test};

/// Events of a stream that outlives the time after which idle connections are closed.
const LONG_EVENTS: u64 = 32;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(100);

fn respond_slowly(received: &ReceivedRequest) -> switchfold_platform_standin::Reply {
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
