//! Calls over kept connections.
//!
//! A caller that had rested for longer than a stopping entry lingers wrote its next request on the connection that the
//! entry had just closed, and did not know yet: its task had not run, beside a load average of 28. Whether such a request
//! ran nobody can tell, so the call ended as one that may have run. One line told it:
//!
//! ```text
//! unknown: no answer: client error (SendRequest)
//! ```

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use switchfold_kernel::http::HttpClient;

/// Reads one request, and answers it.
fn answer(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).expect("a request") == 0 {
            return;
        }
        head.push(byte[0]);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("the caller reads");
}

/// Answers one request, closes its connection once told to, and answers the next one on another connection.
fn closes_between(closes: mpsc::Receiver<()>, closed: mpsc::Sender<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        answer(&mut first);
        closes.recv().expect("the test goes on");
        drop(first);
        closed.send(()).expect("the test goes on");
        let (mut second, _) = listener.accept().expect("a connection");
        answer(&mut second);
    });
    address
}

fn request(address: SocketAddr) -> Request<Full<Bytes>> {
    Request::get(format!("http://{address}/")).body(Full::default()).expect("a request")
}

/// Time for which the caller rests: the time for which a stopping server answers on, before it closes what rests.
const RESTS: Duration = Duration::from_secs(1);

/// A caller that rested for as long as a stopping server lingers does not use the connection that this closes then.
#[tokio::test]
async fn a_connection_that_rested_is_not_used() {
    let (close, closes) = mpsc::channel();
    let (closed, is_closed) = mpsc::channel();
    let address = closes_between(closes, closed);
    let client = HttpClient::new(Duration::from_secs(20), 1 << 10);
    assert_eq!(client.call(request(address)).await.expect("an answer").status, StatusCode::OK);
    // Blocks the one thread, so that the client cannot hear of the close before it calls again.
    thread::sleep(RESTS);
    close.send(()).expect("the server goes on");
    is_closed.recv().expect("the server goes on");
    assert_eq!(client.call(request(address)).await.expect("an answer").status, StatusCode::OK);
}
