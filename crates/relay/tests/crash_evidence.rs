//! Sound replicas that are silent for a while are no evidence that a request crashes replicas.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use harness::{RunningRelay, bounds, call, entry_of, event_ids, request, run_test, wait_until};
use http::{Request, StatusCode};
use http_body_util::Full;
use socket2::{Domain, Socket, Type};
use switchfold_platform::{
    REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StreamEnd, events,
    samples::{LAYERS, desk_entry, model_entry, report},
    signed_response,
};
use switchfold_relay::messages::{InstanceRecord, PeerMessage, StateMessage};
use tokio::{
    net::UdpSocket,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Number of silent replicas in a row: as many crashes quarantine a request.
const SILENT: usize = 3;

/// Time after which a caller abandons a request to a silent replica: enough for the relay to try
/// another one.
const CALLER_PATIENCE: Duration = Duration::from_millis(1_500);

/// Number of events of a complete stream.
const EVENTS: u64 = 4;

const PAUSE: Duration = Duration::from_millis(10);

fn full_model(address: SocketAddr) -> serde_json::Value {
    model_entry(address, 0, LAYERS)
}

/// Returns the number of requests that count as present at a crash, according to the relay's
/// metrics.
async fn suspected_count(relay: &RunningRelay) -> f64 {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let metrics = call(relay.metrics, request).await.body;
    let line = metrics.lines().find(|line| line.contains("requests_suspected"));
    let value = line.and_then(|line| line.rsplit(' ').next()).expect("the metric is served");
    value.parse().expect("a number")
}

/// Calls a path again and again, each time under a new id, until `count` has reached `SILENT`.
async fn call_until_silent(relay: &RunningRelay, path: &str, count: impl Fn() -> usize) {
    let mut number = 0;
    wait_until(async || {
        number += 1;
        let id = format!("slow-{number}");
        let _abandoned = timeout(CALLER_PATIENCE, relay.get(path, &id)).await;
        count() >= SILENT
    })
    .await;
}

/// Guards against a request that was refused for ten minutes, since the engines that it was sent to
/// started streams and then gave neither events nor responses to probes for a second.
#[test]
fn a_stream_at_silent_engines_is_not_quarantined() {
    run_test(async {
        let (silent, resumed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let mut engines = Vec::new();
        for _ in 0..=SILENT {
            let (silent, resumed) = (silent.clone(), resumed.clone());
            let is_silent = AtomicBool::new(false);
            let script = move |request: &ReceivedRequest| {
                if request.target.ends_with("/slow") && !resumed.load(Ordering::SeqCst) {
                    let was_silent = is_silent.swap(true, Ordering::SeqCst);
                    silent.fetch_add(usize::from(!was_silent), Ordering::SeqCst);
                }
                let is_silent = is_silent.load(Ordering::SeqCst) && !resumed.load(Ordering::SeqCst);
                match request.target.as_str() {
                    REPORT_PATH | ORDER_PATH if is_silent => Reply::Silence,
                    _ if is_silent => events(request, 0, PAUSE, StreamEnd::Silence),
                    REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
                    ORDER_PATH => signed_response(request, 200, ""),
                    _ => events(request, EVENTS, PAUSE, StreamEnd::Complete),
                }
            };
            engines.push(StandinReplica::start(script).await);
        }
        let ids: Vec<String> = (0..engines.len()).map(|number| format!("i-{number}")).collect();
        let entries = ids.iter().zip(&engines).map(|(id, engine)| entry_of(id, engine, full_model));
        let relay = RunningRelay::start(bounds(), &entries.collect::<Vec<_>>()).await;
        call_until_silent(&relay, "/stream/slow", || silent.load(Ordering::SeqCst)).await;
        assert_eq!(suspected_count(&relay).await, 0.0);
        resumed.store(true, Ordering::SeqCst);
        let served = relay.get("/stream/slow", "served").await;
        assert_eq!(served.status, StatusCode::OK, "{served:?}");
        assert_eq!(event_ids(&served.body).len() as u64, EVENTS);
    });
}

/// Guards against a request that was quarantined, since the reports of the first engine named the
/// later stages that it waited for, although these were well.
#[test]
fn a_stream_that_waits_for_later_stages_is_not_quarantined() {
    run_test(async {
        let mut later = Vec::new();
        for _ in 0..=SILENT {
            let script = |request: &ReceivedRequest| match request.target.as_str() {
                REPORT_PATH => signed_response(request, 200, &report(4, LAYERS, &[])),
                _ => signed_response(request, 200, ""),
            };
            later.push(StandinReplica::start(script).await);
        }
        let named = Arc::new(std::sync::Mutex::new(Vec::<SocketAddr>::new()));
        let paths = named.clone();
        let first = StandinReplica::start(move |request| {
            let path = match request.target.as_str() {
                ORDER_PATH => serde_json::from_slice::<serde_json::Value>(&request.body)
                    .ok()
                    .and_then(|order| Some(order["path"].as_str()?.to_owned())),
                _ => request.header("path").map(str::to_owned),
            };
            let second = path.as_deref().and_then(|path| path.split(',').nth(1)?.split_once('='));
            let mut paths = paths.lock().expect("no script panics");
            paths.extend(second.and_then(|(address, _)| address.parse::<SocketAddr>().ok()));
            match request.target.as_str() {
                REPORT_PATH => {
                    let stalled: Vec<_> =
                        paths.last().map(|at| ("slow-1", *at)).into_iter().collect();
                    signed_response(request, 200, &report(0, 4, &stalled))
                }
                ORDER_PATH => signed_response(request, 200, ""),
                _ => events(request, 0, PAUSE, StreamEnd::Silence),
            }
        })
        .await;
        let ids: Vec<String> = (0..later.len()).map(|number| format!("i-{number}")).collect();
        let later_entry = |address| model_entry(address, 4, LAYERS);
        let mut entries: Vec<_> =
            ids.iter().zip(&later).map(|(id, engine)| entry_of(id, engine, later_entry)).collect();
        entries.push(entry_of("i-first", &first, |address| model_entry(address, 0, 4)));
        let relay = RunningRelay::start(bounds(), &entries).await;
        let address = relay.address;
        let calling = spawn_local(async move {
            call(address, request("/stream/slow", "slow-1")).await;
        });
        wait_until(async || named.lock().expect("no script panics").len() >= SILENT).await;
        sleep(CALLER_PATIENCE).await;
        assert_eq!(suspected_count(&relay).await, 0.0);
        calling.abort();
    });
}

/// Guards against a request that counted as present at a crash, since another relay suspected the
/// sound replica that ran it.
#[test]
fn a_suspicion_of_another_relay_is_no_crash() {
    run_test(async {
        let mut engines = Vec::new();
        for _ in 0..2 {
            let script = |request: &ReceivedRequest| match request.target.as_str() {
                REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
                _ => Reply::Silence,
            };
            engines.push(StandinReplica::start(script).await);
        }
        let entries =
            [entry_of("i-0", &engines[0], full_model), entry_of("i-1", &engines[1], full_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free loopback port");
        let address = relay.address;
        let calling = spawn_local(async move {
            call(address, request("/stream/slow", "slow-1")).await;
        });
        let received = || engines.iter().position(|engine| !engine.requests().is_empty());
        wait_until(async || received().is_some()).await;
        let id = format!("i-{}", received().expect("one of the engines"));
        let state = StateMessage {
            name: "relay-0".to_owned(),
            data_centre: "hall".to_owned(),
            suspects: vec![(InstanceRecord(id, 0), 2_000)],
            ..StateMessage::default()
        };
        let datagram = PeerMessage::State(Box::new(state)).encode();
        socket.send_to(&datagram, relay.peers).await.expect("loopback accepts it");
        let sends = || engines.iter().map(|engine| engine.requests().len()).sum::<usize>();
        wait_until(async || sends() == 2).await;
        assert_eq!(suspected_count(&relay).await, 0.0);
        calling.abort();
    });
}

/// A replica that accepts one connection and nothing more, as a process that is paused and has a
/// short queue of connections.
struct UnresponsiveReplica {
    _listener: Socket,
    address: SocketAddr,
}

impl UnresponsiveReplica {
    fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        listener.bind(&any.into()).expect("a free loopback port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().expect("bound").as_socket().expect("an IP address");
        Self { _listener: listener, address }
    }
}

/// Guards against a request that was quarantined, since the plain replicas that it was sent to
/// accepted no further connections for a while.
#[test]
fn a_call_of_unresponsive_plain_replicas_is_not_quarantined() {
    run_test(async {
        let replicas: Vec<_> = (0..SILENT).map(|_| UnresponsiveReplica::start()).collect();
        let ids: Vec<String> = (0..SILENT).map(|number| format!("i-{number}")).collect();
        let entries = ids.iter().zip(&replicas);
        let entries: Vec<_> =
            entries.map(|(id, replica)| (id.as_str(), desk_entry(replica.address))).collect();
        let relay = RunningRelay::start(bounds(), &entries).await;
        for number in 0..SILENT {
            let id = format!("slow-{number}");
            let _abandoned = timeout(CALLER_PATIENCE, relay.get("/safe/slow", &id)).await;
        }
        sleep(CALLER_PATIENCE).await;
        assert_eq!(suspected_count(&relay).await, 0.0);
        let sound = StandinReplica::start(|request| signed_response(request, 200, "ok")).await;
        relay.store.put(REPLICA_KIND, "i-sound", desk_entry(sound.address()));
        let mut number = 0;
        wait_until(async || {
            number += 1;
            relay.get("/safe/slow", &format!("served-{number}")).await.status == StatusCode::OK
        })
        .await;
    });
}
