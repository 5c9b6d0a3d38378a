//! Runs a relay on loopback, with stand-ins for the platform's store and replicas, and calls it.

#![allow(dead_code, reason = "each test file uses only a part")]

pub(crate) mod recorded_events;
pub(crate) mod relay_process;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use switchfold_kernel::shutdown::ShutdownSignal;
use switchfold_platform::{
    CONFIG_KIND, CONFIG_NAME, REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
    headers::{ATTEMPT_ID, DEADLINE, REPLICA_SEAL},
};
pub(crate) use switchfold_platform_standin::samples::RouteSample;
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore, StreamEnd, events,
    samples::{self, HOST, KEY},
    signed_response,
};
use switchfold_relay::{
    messages::{PeerMessage, StateMessage},
    run::{RelaySockets, run_relay},
    settings::{BoundSettings, OverloadControl, RelaySettings},
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::{JoinHandle, LocalSet, spawn_local},
    time::{sleep, timeout},
};

/// Timeout of a test for an expected event. Generous, since no assertion depends on how long the
/// event takes.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Route to the plain service for calls that may be repeated.
pub(crate) const SAFE: RouteSample = RouteSample {
    prefix: "/safe/",
    kind: "idempotent",
    service: "desk",
    timeout_ms: 10_000,
    max_attempts: 2,
    resumable: false,
};

/// Route to the plain service for calls that must not be repeated.
pub(crate) const ONCE: RouteSample =
    RouteSample { prefix: "/once/", kind: "non_idempotent", max_attempts: 2, ..SAFE };

/// Route to the plain service with a short timeout, for calls that must not be repeated.
pub(crate) const BRIEF: RouteSample = RouteSample { prefix: "/brief/", timeout_ms: 300, ..ONCE };

/// Route to the model for streams that may be resumed at another replica.
pub(crate) const STREAM: RouteSample = RouteSample {
    prefix: "/stream/",
    kind: "streaming",
    service: "model",
    timeout_ms: 15_000,
    max_attempts: 2,
    resumable: true,
};

/// Route to the model for streams that must not be resumed.
pub(crate) const STREAM_ONCE: RouteSample =
    RouteSample { prefix: "/stream-once/", resumable: false, ..STREAM };

/// Route to the model for streams that may be resumed, but are sent at most once.
pub(crate) const STREAM_SINGLE: RouteSample =
    RouteSample { prefix: "/stream-single/", max_attempts: 1, ..STREAM };

/// All routes of the tests.
pub(crate) const ROUTES: [RouteSample; 6] = [SAFE, ONCE, BRIEF, STREAM, STREAM_ONCE, STREAM_SINGLE];

/// A running relay, and the store that it follows.
pub(crate) struct RunningRelay {
    /// Stand-in of the store.
    pub(crate) store: StandinStore,
    /// Address for callers.
    pub(crate) address: SocketAddr,
    /// Address of the readiness endpoint.
    pub(crate) ready: SocketAddr,
    /// Address of the metrics endpoint.
    pub(crate) metrics: SocketAddr,
    /// Address for messages of other relays.
    pub(crate) peers: SocketAddr,
    /// Begins its graceful shutdown.
    pub(crate) shutdown: ShutdownSignal,
    /// Task that runs it; completes when it exits.
    pub(crate) task: JoinHandle<()>,
}

/// Runs a test on one thread, as the relay itself runs.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        timeout(WAIT_TIMEOUT * 3, test).await.expect("the test takes too long");
    });
}

/// Bounds of the platform for the tests.
pub(crate) fn bounds() -> BoundSettings {
    BoundSettings {
        revoke_ms: 5_000.0,
        contact_ms: 3_000.0,
        drain_ms: 2_000.0,
        config_apply_ms: 2_000.0,
        grace_s: 8.0,
        retry_ratio: 0.2,
        retry_window_s: 10.0,
        retry_allowance: 200.0,
    }
}

impl RunningRelay {
    /// Starts a relay whose store holds the sample configuration and these entries of replicas, and
    /// waits until it is ready and holds the retry allowance.
    pub(crate) async fn start(
        bounds: BoundSettings,
        entries: &[(&str, serde_json::Value)],
    ) -> Self {
        Self::start_with_config(bounds, samples::config(1, &ROUTES, &[KEY]), entries).await
    }

    /// Does the same as [`Self::start`] with another configuration.
    pub(crate) async fn start_with_config(
        bounds: BoundSettings,
        config: serde_json::Value,
        entries: &[(&str, serde_json::Value)],
    ) -> Self {
        Self::start_beside(bounds, config, entries, std::future::pending()).await
    }

    /// Does the same as [`Self::start_with_config`] with another task on the relay's thread.
    pub(crate) async fn start_beside(
        bounds: BoundSettings,
        config: serde_json::Value,
        entries: &[(&str, serde_json::Value)],
        other: impl Future<Output = ()> + 'static,
    ) -> Self {
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config);
        for (id, entry) in entries {
            store.put(REPLICA_KIND, id, entry.clone());
        }
        let relay = BoundRelay::new("relay-1", store, bounds).await.at_first_start();
        let relay = relay.run_beside(other);
        relay.wait_ready(StatusCode::OK).await;
        relay.wait_allowance().await;
        relay
    }

    /// Starts a relay with a given store, without waiting until it is ready.
    pub(crate) async fn start_with_store(store: StandinStore, bounds: BoundSettings) -> Self {
        BoundRelay::new("relay-1", store, bounds).await.run()
    }

    /// Waits until the readiness endpoint responds with this status.
    pub(crate) async fn wait_ready(&self, expected: StatusCode) {
        let request = || Request::get("/readyz").body(Full::default()).expect("a request");
        wait_until(async || call(self.ready, request()).await.status == expected).await;
    }

    /// Waits until the relay holds a share of the retry allowance.
    async fn wait_allowance(&self) {
        let request = || Request::get("/metrics").body(Full::default()).expect("a request");
        wait_until(async || {
            let metrics = call(self.metrics, request()).await.body;
            let mut lines = metrics.lines().filter(|line| line.contains("allowance_share"));
            lines.any(|line| !line.ends_with(" 0"))
        })
        .await;
    }

    /// Calls a path with the sample key; `id` is the attempt id.
    pub(crate) async fn get(&self, path: &str, id: &str) -> CallResult {
        call(self.address, request(path, id)).await
    }
}

/// A relay whose sockets are bound but which does not run yet; messages to it are queued.
pub(crate) struct BoundRelay {
    settings: RelaySettings,
    sockets: RelaySockets,
    store: StandinStore,
}

impl BoundRelay {
    /// Binds the sockets of a relay in the data centre `hall`.
    pub(crate) async fn new(name: &str, store: StandinStore, bounds: BoundSettings) -> Self {
        Self::new_in("hall", name, store, bounds).await
    }

    /// Binds the sockets of a relay in a given data centre.
    pub(crate) async fn new_in(
        data_centre: &str,
        name: &str,
        store: StandinStore,
        bounds: BoundSettings,
    ) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let mut settings = RelaySettings {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            region: "west".to_owned(),
            listen: any,
            ready_listen: any,
            peer_listen: any,
            metrics_listen: any,
            platform: store.address(),
            first_start: false,
            processor_share: None,
            memory_mb: 256.0,
            max_descriptors: 4_096.0,
            overload_control: OverloadControl::default(),
            load_aware_paths: false,
            bounds,
        };
        let sockets = RelaySockets::bind(&settings).await.expect("free loopback ports");
        settings.peer_listen = sockets.peers.local_addr().expect("bound");
        Self { settings, sockets, store }
    }

    /// Changes how the relay treats requests beyond the capacity.
    pub(crate) fn with_overload_control(mut self, control: OverloadControl) -> Self {
        self.settings.overload_control = control;
        self
    }

    /// Starts the relay as one of a system that starts for the first time.
    pub(crate) fn at_first_start(mut self) -> Self {
        self.settings.first_start = true;
        self
    }

    /// Returns the address for messages of other relays.
    pub(crate) fn peers(&self) -> SocketAddr {
        self.settings.peer_listen
    }

    /// Sends its state to another relay, as a restarting relay does, and waits for a message from
    /// that one.
    pub(crate) async fn exchange_state(&self, other: &RunningRelay) {
        let message = StateMessage {
            name: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            ..StateMessage::default()
        };
        let datagram = PeerMessage::State(Box::new(message)).encode();
        self.sockets.peers.send_to(&datagram, other.peers).await.expect("loopback accepts it");
        timeout(WAIT_TIMEOUT, self.sockets.peers.readable())
            .await
            .expect("a message in time")
            .expect("the socket is bound");
    }

    /// Starts the relay.
    pub(crate) fn run(self) -> RunningRelay {
        self.run_beside(std::future::pending())
    }

    /// Starts the relay, with another task on its thread that takes turns with its own.
    pub(crate) fn run_beside(self, other: impl Future<Output = ()> + 'static) -> RunningRelay {
        let Self { settings, sockets, store } = self;
        let address = sockets.callers.local_addr().expect("bound");
        let ready = sockets.readiness.local_addr().expect("bound");
        let metrics = sockets.metrics.local_addr().expect("bound");
        let peers = settings.peer_listen;
        let shutdown = ShutdownSignal::new();
        let running = run_relay(settings, sockets, None, shutdown.clone());
        // Its tasks end with it, as they do when the process exits.
        let task = spawn_local(async move {
            let tasks = LocalSet::new();
            tasks.spawn_local(other);
            tasks.run_until(running).await.expect("the relay runs");
        });
        RunningRelay { store, address, ready, metrics, peers, shutdown, task }
    }
}

/// Returns a request with the sample key; `id` is the attempt id.
pub(crate) fn request(path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", HOST)
        .header(ATTEMPT_ID, id)
        .header(DEADLINE, "8000")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from_static(b"question")))
        .expect("a request")
}

/// Sends a request with the sample key whose body of ten bytes does not arrive completely;
/// `headers` are additional lines of its head, each with its end.
pub(crate) async fn send_incomplete(address: SocketAddr, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the relay listens");
    let head = format!(
        "POST /once/a HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-attempt-id: part\r\n\
         {headers}content-length: 10\r\n\r\nhalf",
    );
    stream.write_all(head.as_bytes()).await.expect("the relay reads");
    stream
}

/// The response that a caller received.
#[derive(Debug)]
pub(crate) struct CallResult {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Headers of the response.
    pub(crate) headers: HeaderMap,
    /// Body, as far as it was received.
    pub(crate) body: String,
    /// Whether the body was received to its end.
    pub(crate) is_complete: bool,
}

impl CallResult {
    /// Returns whether the response carries a replica's signature.
    pub(crate) fn is_signed(&self) -> bool {
        self.headers.contains_key(REPLICA_SEAL)
    }
}

/// A connection of a caller.
pub(crate) type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Opens a connection that is kept.
pub(crate) async fn open_client(address: SocketAddr) -> RequestSender {
    let stream = TcpStream::connect(address).await.expect("the relay listens");
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a connection");
    tokio::spawn(connection);
    sender
}

/// Sends a request on a kept connection and reads the response; fails if the connection is closed.
pub(crate) async fn call_on(
    sender: &mut RequestSender,
    id: &str,
) -> Result<StatusCode, hyper::Error> {
    let exchange = async {
        sender.ready().await?;
        let response = sender.send_request(request("/once/a", id)).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok(status)
    };
    timeout(WAIT_TIMEOUT, exchange).await.expect("the call takes too long")
}

/// Sends a request on a new connection and reads the response.
pub(crate) async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> CallResult {
    try_call(address, request).await.expect("a response")
}

/// Sends a request on a new connection and reads the response. Returns `None` if there is no
/// connection, or if it ends before the head of a response.
pub(crate) async fn try_call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<CallResult> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.expect("a connection");
        let connection = tokio::spawn(connection);
        let response = sender.send_request(request).await.ok()?;
        let (parts, mut body) = response.into_parts();
        let (mut bytes, mut is_complete) = (Vec::new(), true);
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        connection.abort();
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Some(CallResult { status: parts.status, headers: parts.headers, body, is_complete })
    };
    timeout(WAIT_TIMEOUT, exchange).await.expect("the call takes too long")
}

/// Returns the value of the metric with this name and these labels; `None` if it is not exported.
pub(crate) async fn read_metric(
    relay: &RunningRelay,
    name: &str,
    labels: &[(&str, &str)],
) -> Option<u64> {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let metrics = call(relay.metrics, request).await.body;
    let labels: Vec<String> =
        labels.iter().map(|(label, value)| format!("{label}=\"{value}\"")).collect();
    let line = metrics.lines().find(|line| {
        line.starts_with(&format!("{name}{{")) && labels.iter().all(|label| line.contains(label))
    })?;
    let value = line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
    Some(value.expect("a number") as u64)
}

/// Responds as a healthy replica of either service; an engine holds all layers.
pub(crate) fn respond_healthy(request: &ReceivedRequest) -> Reply {
    match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &samples::report(0, samples::LAYERS, &[])),
        ORDER_PATH => signed_response(request, 200, ""),
        path if path.starts_with("/stream") => {
            events(request, 3, Duration::from_millis(5), StreamEnd::Complete)
        }
        _ => signed_response(request, 200, "confirmed"),
    }
}

/// Polls a condition until it holds.
pub(crate) async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting).await.expect("the condition does not hold in time");
}

/// Returns the ids of the events in the body of a stream.
pub(crate) fn event_ids(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Returns the id of a replica, and its entry built by `entry` from its address.
pub(crate) fn entry_of<'a>(
    id: &'a str,
    replica: &StandinReplica,
    entry: impl Fn(SocketAddr) -> serde_json::Value,
) -> (&'a str, serde_json::Value) {
    (id, entry(replica.address()))
}
