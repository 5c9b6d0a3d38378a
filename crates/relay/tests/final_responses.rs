//! First lines that a replica may send and that are no final response of HTTP/1.1.

mod harness;

use std::time::Duration;

use bytes::Bytes;
use harness::{RunningRelay, WAIT_TIMEOUT, bounds, entry_of, request, respond_healthy, run_test};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica,
    samples::{LAYERS, desk_entry, model_entry},
};
use switchfold_relay::settings::BoundSettings;
use tokio::{net::TcpStream, time::timeout};

/// Starts of a response that are no final response.
const NOT_FINAL: [&str; 30] = [
    "HTTP/1.1 000 OK\r\n",
    "HTTP/1.1 001 OK\r\n",
    "HTTP/1.1 099 OK\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n",
    "HTTP/1.1 600 OK\r\n",
    "HTTP/1.1 600 OK\r\nX-Not-Executed: 1\r\n",
    "HTTP/1.1 700 OK\r\n",
    "HTTP/1.1 999 OK\r\n",
    "HTTP/1.1 2 OK\r\n",
    "HTTP/1.1 20 OK\r\n",
    "HTTP/1.1 2000 OK\r\n",
    "HTTP/1.1 -20 OK\r\n",
    "HTTP/1.1 +20 OK\r\n",
    "HTTP/1.1 +200 OK\r\n",
    "HTTP/1.1 0x2 OK\r\n",
    "HTTP/1.1 OK\r\n",
    "HTTP/1.1 \r\n",
    "HTTP/1.1\r\n",
    "HTTP/1.1  200 OK\r\n",
    "HTTP/1.1200 OK\r\n",
    "HTTP/1.2 200 OK\r\n",
    "HTTP/2.0 200 OK\r\n",
    "HTTP/2 200 OK\r\n",
    "HTTP/0.9 200 OK\r\n",
    "http/1.1 200 OK\r\n",
    "HTTPS/1.1 200 OK\r\n",
    "ICY 200 OK\r\n",
    "200 OK\r\n",
    "\0\0\0\0\r\n",
];

/// Interim responses alone, without a final one.
const INTERIM: [&str; 5] = ["100 Continue", "102 Processing", "103 Hints", "104 Odd", "199 Odd"];

/// Starts of a final response, and its status.
const FINAL: [(&str, u16); 12] = [
    ("HTTP/1.1 200 OK\r\n", 200),
    ("HTTP/1.1 200\r\n", 200),
    ("HTTP/1.1 200 \r\n", 200),
    ("HTTP/1.1 200 OK\n", 200),
    ("HTTP/1.0 200 OK\r\n", 200),
    ("HTTP/1.1 299 Odd\r\n", 299),
    ("HTTP/1.1 399 Odd\r\n", 399),
    ("HTTP/1.1 499 Odd\r\n", 499),
    ("HTTP/1.1 599 Odd\r\n", 599),
    ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", 200),
    ("HTTP/1.1 102 Odd\r\n\r\nHTTP/1.1 103 Odd\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n", 200),
    ("HTTP/1.1 199 Odd\r\nX-Replica-Seal: s\r\n\r\nHTTP/1.1 404 Odd\r\n", 404),
];

/// Final responses whose status allows no body, with one.
const WITHOUT_BODY: [u16; 2] = [204, 304];

/// Paths of requests that may run once, and of those that may be repeated, at a plain service and
/// at a model.
const ONCE_PATHS: [&str; 2] = ["/once/a", "/stream-once/a"];
const REPEATABLE_PATHS: [&str; 2] = ["/safe/a", "/stream/a"];

/// Prefix of the ids of requests that get a response of [`Rows`].
const ROW_PREFIX: &str = "row-";

/// Builds the response that begins with `start`.
fn response_of(request: &ReceivedRequest, start: &str, body: &str) -> Vec<u8> {
    let id = request.header("x-attempt-id").unwrap_or_default();
    let len = body.len();
    let rest = format!("X-Attempt-Id: {id}\r\nX-Replica-Seal: s\r\nContent-Length: {len}\r\n\r\n");
    [start, &rest, body].concat().into_bytes()
}

/// Responds with a row to the requests that name it, and as a healthy replica to the others.
fn respond_row(rows: Vec<String>, request: &ReceivedRequest) -> Reply {
    let id = request.header("x-attempt-id").unwrap_or_default();
    let row = id.strip_prefix(ROW_PREFIX).and_then(|row| row.parse::<usize>().ok());
    match row {
        Some(row) => Reply::Bytes(response_of(request, &rows[row], "own")),
        None => respond_healthy(request),
    }
}

/// Responds with a row to the first attempt of a request.
fn respond_row_once(
    rows: Vec<String>,
) -> impl Fn(&ReceivedRequest) -> Reply + Clone + Send + Sync + 'static {
    let attempted = std::sync::Arc::new(std::sync::Mutex::new(std::collections::HashSet::new()));
    move |request| {
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let is_first = attempted.lock().expect("no script panics").insert(id);
        if is_first { respond_row(rows.clone(), request) } else { respond_healthy(request) }
    }
}

/// Starts a relay with `count` replicas of each service.
async fn start_relay(
    count: usize,
    script: impl Fn(&ReceivedRequest) -> Reply + Clone + Send + Sync + 'static,
) -> RunningRelay {
    let full_model = |address| model_entry(address, 0, LAYERS);
    let mut entries = Vec::new();
    for number in 0..count {
        let (desk, engine) = (format!("i-desk-{number}"), format!("i-engine-{number}"));
        let replica = StandinReplica::start(script.clone()).await;
        entries.push((desk, entry_of("", &replica, desk_entry).1));
        let replica = StandinReplica::start(script.clone()).await;
        entries.push((engine, entry_of("", &replica, full_model).1));
    }
    let entries: Vec<_> = entries.iter().map(|(id, entry)| (id.as_str(), entry.clone())).collect();
    let bounds = BoundSettings { retry_allowance: 10_000.0, ..bounds() };
    RunningRelay::start(bounds, &entries).await
}

/// A connection of a caller that is kept.
struct KeptConnection(SendRequest<Full<Bytes>>);

impl KeptConnection {
    async fn open(relay: &RunningRelay) -> Self {
        let stream = TcpStream::connect(relay.address).await.expect("the relay listens");
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.expect("a connection");
        tokio::spawn(connection);
        Self(sender)
    }

    /// Returns the status and the body, read to its end.
    async fn call(&mut self, request: Request<Full<Bytes>>) -> (StatusCode, Bytes) {
        let exchange = async {
            self.0.ready().await.expect("the connection is kept");
            let response = self.0.send_request(request).await.expect("a response");
            let status = response.status();
            (status, response.into_body().collect().await.expect("a whole body").to_bytes())
        };
        timeout(WAIT_TIMEOUT, exchange).await.expect("a response in time")
    }

    /// Calls until a replica is known that accepts the request.
    async fn call_until_sent(&mut self, path: &str, id: &str) -> (StatusCode, Bytes) {
        loop {
            let called = self.call(request(path, id)).await;
            if called.0 != StatusCode::SERVICE_UNAVAILABLE {
                return called;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn to_rows(starts: &[&str]) -> Vec<String> {
    starts.iter().map(|start| (*start).to_owned()).collect()
}

/// Guards against a response of a replica with the status 000, 101 or 600, which a caller got as an
/// answer: the end of the request is unknown, and the caller's connection is kept.
#[test]
fn what_is_no_final_response_reaches_no_caller() {
    for path in ONCE_PATHS.into_iter().chain(REPEATABLE_PATHS) {
        run_test(async {
            let rows = to_rows(&NOT_FINAL);
            let relay = start_relay(1, move |request| respond_row(rows.clone(), request)).await;
            let mut caller = KeptConnection::open(&relay).await;
            for (row, start) in NOT_FINAL.iter().enumerate() {
                let id = format!("{ROW_PREFIX}{row}");
                let (status, body) = caller.call_until_sent(path, &id).await;
                assert_eq!(status, StatusCode::BAD_GATEWAY, "{path}: {start:?}, {body:?}");
                let (status, _) = caller.call_until_sent(path, "after").await;
                assert_eq!(status, StatusCode::OK, "{path}, after {start:?}");
            }
        });
    }
}

/// Where the route allows it, another attempt gets the response.
#[test]
fn what_is_no_final_response_is_followed_by_another_attempt() {
    for path in REPEATABLE_PATHS {
        run_test(async {
            let relay = start_relay(2, respond_row_once(to_rows(&NOT_FINAL))).await;
            let mut caller = KeptConnection::open(&relay).await;
            for (row, start) in NOT_FINAL.iter().enumerate() {
                let id = format!("{ROW_PREFIX}{row}");
                let (status, _) = caller.call_until_sent(path, &id).await;
                assert_eq!(status, StatusCode::OK, "{path}: {start:?}");
            }
        });
    }
}

/// Interim responses are no answer; the final one behind them is. Guards against interim responses
/// without end, which occupied a relay until the deadline of the request.
#[test]
fn only_the_response_behind_interim_ones_is_forwarded() {
    const MANY: usize = 100;
    let lines = |interim: &str| format!("HTTP/1.1 {interim}\r\nX-Replica-Seal: s\r\n\r\n");
    for path in ONCE_PATHS {
        run_test(async {
            let script = move |request: &ReceivedRequest| {
                let id = request.header("x-attempt-id").unwrap_or_default();
                let (name, row) = id.split_once('-').unwrap_or_default();
                let Ok(row) = row.parse::<usize>() else { return respond_healthy(request) };
                let interim = lines(INTERIM[row]);
                match name {
                    "alone" => Reply::BytesThenClose(interim.into_bytes()),
                    "endless" => {
                        Reply::Endless { head: Vec::new(), part: interim.repeat(100).into_bytes() }
                    }
                    _ => {
                        let start = interim.repeat(MANY) + "HTTP/1.1 404 Odd\r\n";
                        Reply::Bytes(response_of(request, &start, "own"))
                    }
                }
            };
            let relay = start_relay(1, script).await;
            let mut caller = KeptConnection::open(&relay).await;
            for (row, interim) in INTERIM.iter().enumerate() {
                let (status, _) = caller.call_until_sent(path, &format!("alone-{row}")).await;
                assert_eq!(status, StatusCode::BAD_GATEWAY, "{path}: {interim}");
                let (status, body) = caller.call_until_sent(path, &format!("many-{row}")).await;
                assert_eq!((status.as_u16(), &body[..]), (404, &b"own"[..]), "{path}");
            }
            let (status, _) = caller.call_until_sent(path, "endless-0").await;
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{path}");
            let (status, _) = caller.call_until_sent(path, "after").await;
            assert_eq!(status, StatusCode::OK, "{path}");
        });
    }
}

/// Every final response of a plain service is forwarded with its status.
#[test]
fn final_responses_are_forwarded() {
    run_test(async {
        let rows: Vec<&str> = FINAL.iter().map(|(start, _)| *start).collect();
        let rows = to_rows(&rows);
        let relay = start_relay(1, move |request| respond_row(rows.clone(), request)).await;
        let mut caller = KeptConnection::open(&relay).await;
        for (row, (start, expected)) in FINAL.iter().enumerate() {
            let id = format!("{ROW_PREFIX}{row}");
            let (status, body) = caller.call_until_sent("/once/a", &id).await;
            assert_eq!((status.as_u16(), &body[..]), (*expected, &b"own"[..]), "{start:?}");
        }
    });
}

/// Bytes behind a response that has no body belong to no request.
#[test]
fn a_body_that_its_status_forbids_is_not_the_next_response() {
    run_test(async {
        let script = |request: &ReceivedRequest| {
            let id = request.header("x-attempt-id").unwrap_or_default();
            match id.parse::<u16>() {
                Ok(status) => {
                    let start = format!("HTTP/1.1 {status} Odd\r\n");
                    let surplus =
                        "HTTP/1.1 200 OK\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nodd";
                    Reply::Bytes(response_of(request, &start, surplus))
                }
                Err(_) => respond_healthy(request),
            }
        };
        for path in ["/once/a", "/safe/a"] {
            let relay = start_relay(1, script).await;
            let mut caller = KeptConnection::open(&relay).await;
            for status in WITHOUT_BODY {
                let (received, body) = caller.call_until_sent(path, &status.to_string()).await;
                assert_eq!((received.as_u16(), body.len()), (status, 0), "{path}");
                let (received, body) = caller.call_until_sent(path, "after").await;
                assert!(
                    received != StatusCode::OK || body == "confirmed",
                    "{path}, after {status}: {received} {body:?}"
                );
            }
        }
    });
}
