//! Service registry, shutdown, metrics labels, and the limits of the HTTP server and client.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use switchfold_kernel::{
    connection::ConnectionLimits,
    http::{CallError, HttpClient, HttpLimits, full_response, read_body, serve},
    metrics::{LabelBudget, MetricsHub, OTHER_LABEL},
    registry::{RegistryError, ServiceName, ServiceRegistry},
    shutdown::ShutdownSignal,
};
use tokio::{io::AsyncReadExt, io::AsyncWriteExt, net::TcpListener, net::TcpStream};
use xtra::Mailbox;

#[derive(xtra::Actor)]
struct First;

#[derive(xtra::Actor)]
struct Second;

#[tokio::test]
async fn services_are_found_by_name_and_type() {
    const NAME: ServiceName = ServiceName("first");
    let registry = ServiceRegistry::new();
    assert_eq!(registry.find::<First>(NAME).err(), Some(RegistryError::NotRegistered(NAME)));
    let first = xtra::spawn_tokio(First, Mailbox::unbounded());
    registry.register(NAME, first.clone()).expect("the name is free");
    assert!(registry.find::<First>(NAME).is_ok());
    assert_eq!(registry.find::<Second>(NAME).err(), Some(RegistryError::WrongType(NAME)));
    assert_eq!(registry.register(NAME, first), Err(RegistryError::AlreadyRegistered(NAME)));
    registry.clear();
    assert!(registry.find::<First>(NAME).is_err());
}

#[tokio::test]
async fn shutdown_waits_for_guards() {
    let signal = ShutdownSignal::new();
    let guards = [signal.guard(), signal.guard()];
    assert_eq!(signal.pending(), 2);
    let waiting = tokio::spawn({
        let signal = signal.clone();
        async move { signal.drained().await }
    });
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    drop(guards);
    waiting.await.expect("the wait ends when no guard is left");
    signal.raise();
    signal.raised().await;
}

#[test]
fn labels_are_bounded_and_the_busiest_names_are_kept() {
    let mut budget = LabelBudget::new(3, 5);
    for round in 0..2_000 {
        budget.label("heavy");
        budget.label(&format!("rare-{round}"));
        if round % 2 == 0 {
            budget.label("medium");
        }
    }
    assert_eq!(budget.label("heavy"), "heavy");
    assert_eq!(budget.label("medium"), "medium");
    assert_eq!(budget.label("rare-77"), OTHER_LABEL);
    assert!(budget.len() <= 3);
}

#[test]
fn metrics_are_rendered_as_text() {
    let hub = MetricsHub::new().expect("the exporter is created");
    hub.meter().u64_counter("sample_events").build().add(3, &[]);
    let text = String::from_utf8(hub.render().expect("text")).expect("UTF-8");
    assert!(
        text.lines().any(|line| line.starts_with("sample_events_total") && line.ends_with(" 3")),
        "{text}"
    );
}

/// Limits of a connection that no test reaches.
const CONNECTION: ConnectionLimits = ConnectionLimits {
    max_headers: None,
    max_header_bytes: 16 * 1_024,
    idle_timeout: Duration::from_secs(60),
    header_timeout: Duration::from_secs(60),
};

fn limits_of(connection: ConnectionLimits) -> HttpLimits {
    HttpLimits { connection, ..HttpLimits::default() }
}

async fn start_server(limits: HttpLimits) -> (String, ShutdownSignal) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let signal = ShutdownSignal::new();
    let handler = |request: Request<hyper::body::Incoming>| async {
        Ok(match read_body(request.into_body(), 100).await {
            Ok(body) => full_response(StatusCode::OK, "text/plain", body),
            Err(error) => {
                full_response(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", error.to_string())
            }
        })
    };
    tokio::spawn(serve(listener, limits, signal.clone(), handler));
    (address, signal)
}

fn post(address: &str, len: usize) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(vec![b'x'; len]));
    Request::builder()
        .method("POST")
        .uri(format!("http://{address}/"))
        .body(body)
        .expect("well-formed")
}

#[tokio::test]
async fn bodies_headers_and_connections_are_limited() {
    let (address, signal) =
        start_server(limits_of(ConnectionLimits { max_headers: Some(8), ..CONNECTION })).await;
    let http = HttpClient::new(Duration::from_secs(10), 1_000);
    assert_eq!(http.call(post(&address, 100)).await.expect("a response").status, StatusCode::OK);
    let large = http.call(post(&address, 101)).await.expect("a response");
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    let mut many = post(&address, 1);
    for number in 0..20 {
        let name = http::HeaderName::from_bytes(format!("x-{number}").as_bytes()).expect("a name");
        many.headers_mut().insert(name, http::HeaderValue::from_static("1"));
    }
    let refused = http.call(many).await.expect("a response");
    assert_eq!(refused.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    signal.raise();
    tokio::task::yield_now().await;
}

/// The server closes the connection of a caller that sends its headers too slowly.
#[tokio::test]
async fn idle_connections_are_closed() {
    let header_timeout = Duration::from_millis(50);
    let (address, _signal) =
        start_server(limits_of(ConnectionLimits { header_timeout, ..CONNECTION })).await;
    let mut stream = TcpStream::connect(&address).await.expect("connected");
    stream.write_all(b"POST / HTTP/1.1\r\n").await.expect("sent");
    let mut rest = Vec::new();
    let read = stream.read_to_end(&mut rest).await;
    assert!(read.is_ok() || !rest.is_empty());
}

#[tokio::test]
async fn client_reports_whether_anything_was_sent() {
    let http = HttpClient::new(Duration::from_secs(5), 1_000);
    let dropped = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = dropped.local_addr().expect("bound").to_string();
    drop(dropped);
    assert!(matches!(http.call(post(&address, 1)).await, Err(CallError::NotConnected { .. })));
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = silent.local_addr().expect("bound").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = silent.accept().await.expect("connected");
        let mut buffer = [0; 16];
        let _read = stream.read(&mut buffer).await;
    });
    assert!(matches!(http.call(post(&address, 1)).await, Err(CallError::NoResponse { .. })));
}

/// A failed call names what failed: the client's own message is the same for most causes.
#[tokio::test]
async fn failed_calls_name_their_cause() {
    let http = HttpClient::new(Duration::from_secs(5), 1_000);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("connected");
        let mut buffer = [0; 1_024];
        let _read = stream.read(&mut buffer).await;
    });
    let error = http.call(post(&address, 1)).await.expect_err("the server does not respond");
    assert!(error.to_string().contains("connection closed before message completed"), "{error}");
}

/// Guards against requests that the client never wrote, since their connection had just been closed,
/// and that callers had to take for unknown.
#[tokio::test]
async fn a_request_that_was_not_written_is_sent_on_a_new_connection() {
    let http = HttpClient::new(Duration::from_secs(5), 1_000);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let serve_one = async || {
        let (mut stream, _) = listener.accept().await.expect("connected");
        let mut buffer = [0; 1_024];
        let _read = stream.read(&mut buffer).await.expect("a request");
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.expect("sent");
        stream
    };
    let (first, stream) = tokio::join!(http.call(post(&address, 1)), serve_one());
    first.expect("a response");
    drop(stream);
    // The close is noticed only after the next call has chosen the connection.
    tokio::task::yield_now().await;
    let serve_next = async {
        let _stream = serve_one().await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        second = http.call(post(&address, 1)) => drop(second.expect("a response")),
        () = serve_next => {}
    }
}
