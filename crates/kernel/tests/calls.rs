//! Reuse of pooled connections by the client, and responses that are none.
//!
//! A client that was idle for longer than the grace period of a stopping entry wrote its next
//! request to a connection that the entry had just closed. The client had not noticed, because its
//! task had not run yet at a load average of 28. Such a request may or may not have run, so the
//! call failed with `no response: client error (SendRequest)` and an unknown outcome.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use assert_matches::assert_matches;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use switchfold_kernel::http::{CallError, HttpClient};

/// Reads the headers of one request and sends a response.
fn respond(stream: &mut TcpStream) {
    respond_with(stream, "200 OK");
}

/// Reads the headers of one request and sends a response with this status.
fn respond_with(stream: &mut TcpStream, status: &str) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).expect("a request") == 0 {
            return;
        }
        head.push(byte[0]);
    }
    write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok")
        .expect("the client reads the response");
}

/// Starts a server that answers one request, closes the connection when the test asks for it, and
/// answers the next request on a new connection.
fn start_server(close_requests: mpsc::Receiver<()>, close_done: mpsc::Sender<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        respond(&mut first);
        close_requests.recv().expect("the test is running");
        drop(first);
        close_done.send(()).expect("the test is running");
        let (mut second, _) = listener.accept().expect("a connection");
        respond(&mut second);
    });
    address
}

fn request(address: SocketAddr) -> Request<Full<Bytes>> {
    Request::get(format!("http://{address}/")).body(Full::default()).expect("a request")
}

/// Time for which the client is idle: the grace period after which a stopping server closes idle
/// connections.
const IDLE: Duration = Duration::from_secs(1);

/// A client that was idle for the grace period of a stopping server does not reuse the connection
/// that the server closes then.
#[tokio::test]
async fn idle_connection_is_not_reused() {
    let (close, close_requests) = mpsc::channel();
    let (close_done, close_results) = mpsc::channel();
    let address = start_server(close_requests, close_done);
    let client = HttpClient::new(Duration::from_secs(20), 1 << 10);
    assert_eq!(client.call(request(address)).await.expect("a response").status, StatusCode::OK);
    // Blocks the only thread, so that the client cannot notice the close before its next call.
    thread::sleep(IDLE);
    close.send(()).expect("the server is running");
    close_results.recv().expect("the server is running");
    assert_eq!(client.call(request(address)).await.expect("a response").status, StatusCode::OK);
}

/// Guards against a status that is no final one, such as 101 or 600, which agents passed on to callers
/// as an answer.
#[tokio::test]
async fn a_status_that_is_not_final_is_no_response() {
    let client = HttpClient::new(Duration::from_secs(20), 1 << 10);
    for (status, is_final) in [
        ("000 None", false),
        ("101 Switching Protocols", false),
        ("600 Odd", false),
        ("999 Odd", false),
        ("200 OK", true),
        ("599 Odd", true),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address");
        thread::spawn(move || {
            respond_with(&mut listener.accept().expect("a connection").0, status);
        });
        match client.call(request(address)).await {
            Ok(response) => assert!(is_final, "{status}: {response:?}"),
            Err(error) => {
                assert!(!is_final, "{status}: {error}");
                assert_matches!(error, CallError::NoResponse { .. });
            }
        }
    }
}
