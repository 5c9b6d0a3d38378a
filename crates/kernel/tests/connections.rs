//! Connections of callers while a server shuts down.

use std::{
    cell::Cell,
    convert::Infallible,
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, channel::Channel};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use switchfold_kernel::{
    connection::{ConnectionLimits, ShutdownDelays, serve_connection},
    http::{HttpLimits, HttpResponse, full_response, serve},
    shutdown::ShutdownSignal,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    net::{TcpListener, TcpStream},
    time::{advance, sleep},
};

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_headers: None,
    max_header_bytes: 8_192,
    idle_timeout: Duration::from_secs(60),
    header_timeout: Duration::from_secs(60),
};

const DELAYS: ShutdownDelays =
    ShutdownDelays { after_signal: Duration::from_secs(1), idle: Duration::from_secs(1) };

/// Time for which a caller may keep an idle connection before it reuses it.
const REUSE_DELAYS_MS: [u64; 4] = [0, 1, 100, 900];

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Responds at once, or with a stream that ends after the time in the path.
async fn respond(request: Request<Incoming>) -> Result<HttpResponse, Infallible> {
    let stream_ms = request.uri().path().strip_prefix("/stream/");
    let Some(stream_ms) = stream_ms.and_then(|text| text.parse().ok()) else {
        return Ok(full_response(StatusCode::OK, "text/plain", "whole"));
    };
    let (mut sender, body) = Channel::new(1);
    tokio::spawn(async move {
        let _caller_may_have_gone = sender.send_data(Bytes::from_static(b"first")).await;
        sleep(Duration::from_millis(stream_ms)).await;
        let _caller_may_have_gone = sender.send_data(Bytes::from_static(b"last")).await;
    });
    Ok(Response::new(body.boxed()))
}

/// Serves one connection and returns the caller's side of it.
fn open_connection(signal: &ShutdownSignal) -> DuplexStream {
    let (caller, server) = duplex(1_024);
    let signal = signal.clone();
    tokio::spawn(async move {
        let stopping = signal.clone();
        let handler = move |request| {
            let is_stopping = signal.is_raised();
            async move {
                let mut response = respond(request).await?;
                if is_stopping {
                    let close = http::HeaderValue::from_static("close");
                    response.headers_mut().insert(http::header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        };
        let _ended = serve_connection(server, |_| LIMITS, DELAYS, stopping.raised(), handler).await;
    });
    caller
}

async fn open_client(signal: &ShutdownSignal) -> RequestSender {
    let stream = TokioIo::new(open_connection(signal));
    let (sender, connection) = http1::handshake(stream).await.expect("a connection");
    tokio::spawn(connection);
    sender
}

/// Sends a request and reads the response to its end.
async fn call(sender: &mut RequestSender, path: &str) -> Result<Bytes, hyper::Error> {
    let request = Request::get(path).header("host", "server").body(Full::default());
    let response = sender.send_request(request.expect("a request")).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

fn raise_after(signal: &ShutdownSignal, delay_ms: u64) {
    let signal = signal.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(delay_ms)).await;
        signal.raise();
    });
}

/// Raises the signal in the middle of a stream, and reuses the connection after the stream.
async fn reuse_after_stream(stream_ms: u64, signal_ms: u64, reuse_ms: u64) {
    let signal = ShutdownSignal::new();
    let mut sender = open_client(&signal).await;
    raise_after(&signal, signal_ms);
    call(&mut sender, &format!("/stream/{stream_ms}")).await.expect("a whole stream");
    sleep(Duration::from_millis(reuse_ms)).await;
    let reused = call(&mut sender, "/").await;
    let moment = format!("stream {stream_ms} ms, signal at {signal_ms}, reuse after {reuse_ms}");
    assert_eq!(reused.expect(&moment), "whole");
}

/// Writes a request to a connection and reads the response; nothing if the connection is closed.
async fn call_raw(caller: &mut DuplexStream) -> String {
    const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";
    let _may_be_closed = caller.write_all(REQUEST).await;
    let mut response = [0; 1_024];
    let len = caller.read(&mut response).await.unwrap_or_default();
    String::from_utf8_lossy(&response[..len]).into_owned()
}

/// Time for which the process stands still in a test, longer than any delay of a shutdown.
const STANDSTILL: Duration = Duration::from_secs(4);

/// Guards against connections that are closed the moment the process runs again, before callers
/// that stood still with it can use them.
#[tokio::test(start_paused = true)]
async fn a_standstill_does_not_count_as_idle_time() {
    for moment_ms in (0..1_000).step_by(50) {
        let signal = ShutdownSignal::new();
        let mut caller = open_connection(&signal);
        assert!(call_raw(&mut caller).await.ends_with("whole"));
        signal.raise();
        sleep(Duration::from_millis(moment_ms)).await;
        advance(STANDSTILL).await;
        sleep(Duration::from_millis(1)).await;
        let response = call_raw(&mut caller).await;
        assert!(response.ends_with("whole"), "after {moment_ms} ms: {response:?}");
    }
}

/// Guards against connections that were closed without a word after a stream that outlived the
/// grace period, which lost the caller's next request.
#[tokio::test(start_paused = true)]
async fn a_request_after_a_stream_that_outlives_the_grace_period_is_answered() {
    for stream_ms in (100..4_000).step_by(100) {
        for signal_ms in (50..stream_ms).step_by(250) {
            for reuse_ms in REUSE_DELAYS_MS {
                reuse_after_stream(stream_ms, signal_ms, reuse_ms).await;
            }
        }
    }
}

/// A connection that was opened less than a second ago is not closed, whenever the signal comes.
#[tokio::test(start_paused = true)]
async fn a_connection_that_was_just_opened_is_not_closed() {
    for opened_ms in (0..3_000).step_by(50) {
        for reuse_ms in REUSE_DELAYS_MS {
            let signal = ShutdownSignal::new();
            raise_after(&signal, 1_000);
            sleep(Duration::from_millis(opened_ms)).await;
            let mut sender = open_client(&signal).await;
            sleep(Duration::from_millis(reuse_ms)).await;
            let called = call(&mut sender, "/").await;
            let moment = format!("opened at {opened_ms} ms, used after {reuse_ms}");
            assert_eq!(called.expect(&moment), "whole");
        }
    }
}

/// A connection that nobody uses does not hold up a shutdown.
#[tokio::test(start_paused = true)]
async fn an_unused_connection_is_closed_at_a_shutdown() {
    let signal = ShutdownSignal::new();
    let mut stream = open_connection(&signal);
    signal.raise();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("the end of the stream");
    assert!(rest.is_empty());
}

/// Guards against rejections that were lost because the server closed the connection while the
/// caller was sending its body.
#[tokio::test(start_paused = true)]
async fn a_caller_that_still_sends_its_body_reads_the_rejection() {
    const BODY_BYTES: usize = 256 << 10;
    let mut stream = open_connection(&ShutdownSignal::new());
    let head = format!("POST / HTTP/1.1\r\nhost: server\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the head is accepted");
    let mut response = vec![0; 15];
    stream.read_exact(&mut response).await.expect("a response before the body");
    assert_eq!(response, b"HTTP/1.1 200 OK");
    stream.write_all(&vec![b'x'; BODY_BYTES]).await.expect("the body is accepted");
    stream.read_to_end(&mut response).await.expect("the rest of the response");
    assert!(response.ends_with(b"whole"));
}

/// Guards against responses that broke off before their head was written, so that the caller could
/// not tell them from a lost request.
#[tokio::test(start_paused = true)]
async fn the_head_of_a_response_that_breaks_at_once_is_sent() {
    let (mut caller, server) = duplex(1_024);
    let handler = async |_: Request<Incoming>| {
        let (sender, body) = Channel::<Bytes, std::io::Error>::new(1);
        sender.abort(std::io::Error::other("the stream broke"));
        Ok::<_, Infallible>(Response::new(body))
    };
    tokio::spawn(async move {
        let stopping = std::future::pending();
        serve_connection(server, |_| LIMITS, DELAYS, stopping, handler).await
    });
    caller.write_all(b"GET / HTTP/1.1\r\nhost: server\r\n\r\n").await.expect("a request fits");
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.expect("the end of the connection");
    let text = String::from_utf8_lossy(&response);
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
    assert!(!text.ends_with("0\r\n\r\n"), "the body does not look complete: {text:?}");
}

/// Idle limit and time for a head that callers may go by.
const BRIEF_LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: Duration::from_secs(15),
    header_timeout: Duration::from_secs(3),
    ..LIMITS
};

/// Serves one connection with limits, and returns the caller's side of it.
fn open_with_limits(limits: ConnectionLimits) -> DuplexStream {
    let (caller, server) = duplex(1_024);
    let stopping = std::future::pending();
    tokio::spawn(async move {
        serve_connection(server, move |_| limits, DELAYS, stopping, respond).await
    });
    caller
}

/// Guards against heads that were cut off because the rest before them counted as their time.
#[tokio::test(start_paused = true)]
async fn a_head_in_parts_after_a_rest_is_answered() {
    let mut caller = open_with_limits(BRIEF_LIMITS);
    for rest_ms in [0, 12_500, 14_900] {
        sleep(Duration::from_millis(rest_ms)).await;
        caller.write_all(b"GET / HTTP/1.1\r\nho").await.expect("the connection is open");
        sleep(Duration::from_millis(2_900)).await;
        caller.write_all(b"st: server\r\n\r\n").await.expect("the connection is open");
        let mut response = [0; 1_024];
        let len = caller.read(&mut response).await.unwrap_or_default();
        let response = String::from_utf8_lossy(&response[..len]);
        assert!(response.ends_with("whole"), "after {rest_ms} ms: {response:?}");
    }
}

/// Guards against heads that are late and get no answer, on a new connection and a kept one.
#[tokio::test(start_paused = true)]
async fn a_late_head_is_answered_with_a_timeout() {
    for is_kept in [false, true] {
        let mut caller = open_with_limits(BRIEF_LIMITS);
        if is_kept {
            assert!(call_raw(&mut caller).await.ends_with("whole"));
        }
        sleep(Duration::from_secs(5)).await;
        caller.write_all(b"GET / HTTP/1.1\r\nho").await.expect("the connection is open");
        let mut response = Vec::new();
        caller.read_to_end(&mut response).await.expect("the end of the connection");
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 408 "), "kept: {is_kept}: {response:?}");
    }
}

/// Guards against connections that go by the limits of their opening for all their life.
#[tokio::test(start_paused = true)]
async fn an_idle_limit_that_is_raised_keeps_open_connections() {
    let (mut caller, server) = duplex(1_024);
    let idle_s = Arc::new(AtomicU64::new(15));
    let limits = {
        let idle_s = Arc::clone(&idle_s);
        move |_| ConnectionLimits {
            idle_timeout: Duration::from_secs(idle_s.load(Ordering::Relaxed)),
            ..LIMITS
        }
    };
    let stopping = std::future::pending();
    tokio::spawn(async move { serve_connection(server, limits, DELAYS, stopping, respond).await });
    assert!(call_raw(&mut caller).await.ends_with("whole"));
    sleep(Duration::from_secs(12)).await;
    idle_s.store(60, Ordering::Relaxed);
    for rest_s in [36, 48] {
        sleep(Duration::from_secs(rest_s)).await;
        assert!(call_raw(&mut caller).await.ends_with("whole"), "after a rest of {rest_s} s");
    }
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.expect("the end of the connection");
    assert!(rest.is_empty());
}

/// Guards against idle connections that get a response although no request was begun.
#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_without_a_response() {
    let mut caller = open_with_limits(BRIEF_LIMITS);
    assert!(call_raw(&mut caller).await.ends_with("whole"));
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.expect("the end of the connection");
    assert!(rest.is_empty());
}

/// Guards against connections that are closed before their idle limit, because the rest of a body
/// that arrives after the response counts as a late head.
#[tokio::test(start_paused = true)]
async fn a_body_after_its_response_begins_no_head() {
    let (mut caller, server) = duplex(1_024);
    let handler = async |request: Request<Incoming>| {
        tokio::spawn(request.into_body().collect());
        Ok::<_, Infallible>(full_response(StatusCode::OK, "text/plain", "whole"))
    };
    tokio::spawn(async move {
        serve_connection(server, |_| BRIEF_LIMITS, DELAYS, std::future::pending(), handler).await
    });
    let head = b"POST / HTTP/1.1\r\nhost: server\r\ncontent-length: 4\r\n\r\n";
    caller.write_all(head).await.expect("the connection is open");
    let mut response = [0; 1_024];
    let len = caller.read(&mut response).await.expect("a response");
    assert!(response[..len].ends_with(b"whole"));
    caller.write_all(b"body").await.expect("the connection is open");
    sleep(Duration::from_secs(12)).await;
    assert!(call_raw(&mut caller).await.ends_with("whole"));
}

/// Guards against responses that are cut off because their caller reads them for longer than the
/// idle limit.
#[tokio::test(start_paused = true)]
async fn a_response_that_is_read_slowly_is_not_cut_off() {
    const BODY: &[u8] = &[b'x'; 20_000];
    let (mut caller, server) = duplex(1_024);
    let handler = async |_: Request<Incoming>| {
        Ok::<_, Infallible>(full_response(StatusCode::OK, "text/plain", BODY))
    };
    tokio::spawn(async move {
        serve_connection(server, |_| BRIEF_LIMITS, DELAYS, std::future::pending(), handler).await
    });
    for _ in 0..2 {
        caller.write_all(b"GET / HTTP/1.1\r\nhost: server\r\n\r\n").await.expect("is open");
        let mut response = Vec::new();
        while !response.ends_with(BODY) {
            sleep(Duration::from_secs(2)).await;
            let count = caller.read_buf(&mut response).await.expect("the connection is open");
            assert!(count > 0, "cut off after {} bytes", response.len());
        }
    }
}

/// Guards against requests that are discarded because their bytes are in the socket, but not reported
/// by the runtime yet, when their idle connection is closed.
#[tokio::test(start_paused = true)]
async fn a_request_in_the_socket_is_served_when_its_idle_connection_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let mut caller = TcpStream::connect(address).await.expect("the server listens");
    let (server, _) = listener.accept().await.expect("a connection");
    let stopping = std::future::pending();
    tokio::spawn(async move {
        serve_connection(server, |_| BRIEF_LIMITS, DELAYS, stopping, respond).await
    });
    for _ in 0..2 {
        let request = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";
        // Does not wait, so the server is woken by the end of the idle limit alone.
        assert_eq!(caller.try_write(request).expect("the connection is open"), request.len());
        let mut response = [0; 1_024];
        let len = caller.read(&mut response).await.unwrap_or_default();
        let response = String::from_utf8_lossy(&response[..len]);
        assert!(response.ends_with("whole"), "{response:?}");
        // This task is polled before the server's when both are woken at the same time.
        sleep(BRIEF_LIMITS.idle_timeout).await;
    }
}

/// Guards against requests that cross a close and are missing in the log, because their caller does
/// not close the connection.
#[tokio::test(start_paused = true)]
async fn bytes_that_cross_a_close_are_counted() {
    let (mut caller, server) = duplex(1_024);
    let stopping = std::future::pending();
    let served = tokio::spawn(async move {
        serve_connection(server, |_| BRIEF_LIMITS, DELAYS, stopping, respond).await
    });
    assert_eq!(caller.read(&mut [0]).await.expect("the end of the connection"), 0);
    let request = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";
    caller.write_all(request).await.expect("the server still reads");
    let closed = served.await.expect("the server does not panic");
    assert_eq!(closed.unread_bytes, request.len());
}

/// Sends requests in one write on a connection whose handler closes it after the first response, and
/// returns all that comes back, the paths that were handled and the number of bytes not read.
async fn pipeline_into_close(requests: &str) -> (String, Vec<String>, usize) {
    let (mut caller, server) = duplex(4_096);
    let paths = Arc::new(Mutex::new(Vec::new()));
    let handled = Arc::clone(&paths);
    let served = tokio::spawn(async move {
        let handler = |request: Request<Incoming>| {
            handled.lock().expect("not poisoned").push(request.uri().path().to_owned());
            async {
                sleep(Duration::from_millis(100)).await;
                let mut response = full_response(StatusCode::OK, "text/plain", "whole");
                let close = http::HeaderValue::from_static("close");
                response.headers_mut().insert(http::header::CONNECTION, close);
                Ok::<_, Infallible>(response)
            }
        };
        let stopping = std::future::pending();
        serve_connection(server, |_| LIMITS, DELAYS, stopping, handler).await
    });
    caller.write_all(requests.as_bytes()).await.expect("the requests fit");
    let mut responses = String::new();
    caller.read_to_string(&mut responses).await.expect("the end of the connection");
    drop(caller);
    let closed = served.await.expect("the server does not panic");
    let paths = paths.lock().expect("not poisoned").clone();
    (responses, paths, closed.unread_bytes)
}

/// Guards against requests sent ahead that are handled but not answered, or discarded without a
/// count, when the response before them closes the connection.
#[tokio::test(start_paused = true)]
async fn requests_sent_ahead_of_a_close_are_not_handled_but_counted() {
    const AHEAD: &str = "GET /second HTTP/1.1\r\nhost: server\r\n\r\n";
    for ahead in [AHEAD.to_owned(), AHEAD.repeat(2), AHEAD[..20].to_owned()] {
        let requests = format!("GET /first HTTP/1.1\r\nhost: server\r\n\r\n{ahead}");
        let (responses, paths, unread_bytes) = pipeline_into_close(&requests).await;
        assert_eq!(responses.matches("HTTP/1.1 200 OK").count(), 1, "{responses:?}");
        assert!(responses.contains("connection: close"), "{responses:?}");
        assert_eq!(paths, ["/first"]);
        assert_eq!(unread_bytes, ahead.len());
    }
}

/// Guards against requests sent ahead that get no answer while the connection stays open.
#[tokio::test(start_paused = true)]
async fn requests_sent_ahead_are_answered_in_order() {
    let mut caller = open_with_limits(BRIEF_LIMITS);
    let requests = "GET / HTTP/1.1\r\nhost: server\r\n\r\n".repeat(5);
    caller.write_all(requests.as_bytes()).await.expect("the requests fit");
    let mut responses = Vec::new();
    caller.read_to_end(&mut responses).await.expect("the end of the connection");
    let responses = String::from_utf8_lossy(&responses);
    assert_eq!(responses.matches("whole").count(), 5, "{responses:?}");
}

/// Guards against connections in the listen queue that were reset at the end of a shutdown, with
/// the requests on them.
#[tokio::test]
async fn connections_in_the_listen_queue_are_served_at_a_shutdown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let signal = ShutdownSignal::new();
    let limits = HttpLimits { max_connections: 1, ..HttpLimits::default() };
    let handler = |request| async { Ok(respond(request).await.expect("infallible")) };
    let server = tokio::spawn(serve(listener, limits, signal.clone(), handler));
    let connect = async |path: &str| {
        let mut stream = TcpStream::connect(address).await.expect("the server listens");
        let request = format!("GET {path} HTTP/1.1\r\nhost: server\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("a request fits the buffer");
        stream
    };
    let mut held = connect("/stream/1500").await;
    let mut response = vec![0; 15];
    held.read_exact(&mut response).await.expect("the first response begins");
    let mut queued = Vec::new();
    for _ in 0..20 {
        queued.push(connect("/").await);
    }
    signal.raise();
    for mut stream in queued {
        response.clear();
        stream.read_to_end(&mut response).await.expect("a response, not a reset");
        assert!(response.ends_with(b"whole"));
    }
    drop(held);
    server.await.expect("the server ends");
}

/// Guards against a shutdown that never ended while callers opened a connection every second.
#[tokio::test(start_paused = true)]
async fn new_connections_do_not_prolong_a_shutdown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let signal = ShutdownSignal::new();
    let handler = |request| async { Ok(respond(request).await.expect("infallible")) };
    tokio::spawn(serve(listener, HttpLimits::default(), signal.clone(), handler));
    signal.raise();
    let mut accepted = 0;
    while TcpStream::connect(address).await.is_ok() {
        accepted += 1;
        assert!(accepted < 40, "the server still accepts connections");
        sleep(Duration::from_millis(250)).await;
    }
}

/// The library may drop the future of a handler without polling it, so that a handler that counts
/// its requests has to do so when it is called.
#[tokio::test]
async fn a_request_whose_caller_left_at_once_reaches_the_handler() {
    let (mut caller, server) = duplex(1_024);
    caller.write_all(b"GET / HTTP/1.1\r\nhost: server\r\n\r\n").await.expect("space");
    caller.shutdown().await.expect("an open connection");
    let (calls, polls) = (Cell::new(0), Cell::new(0));
    let handler = |request| {
        calls.set(calls.get() + 1);
        let polls = &polls;
        async move {
            polls.set(polls.get() + 1);
            respond(request).await
        }
    };
    let closed = serve_connection(server, |_| LIMITS, DELAYS, pending(), handler).await;
    assert_eq!((calls.get(), polls.get()), (1, 0));
    assert!(closed.error.is_some_and(|error| error.is_incomplete_message()));
}
