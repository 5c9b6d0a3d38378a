//! Streams over engines, by the ways in which engines fail.

mod harness;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use harness::{RunningRelay, bounds, call, entry_of, event_ids, request, run_test, wait_until};
use http::StatusCode;
use switchfold_platform::{
    REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
    headers::{EXPECT_REPLICA, LAST_EVENT_ID, PATH},
};
use switchfold_platform_standin::{
    GateState, ReceivedOrder, ReceivedRequest, Reply, StandinReplica, StreamEnd, StreamGate,
    events, reject,
    samples::{LAYERS, draining, in_data_centre, model_entry, report},
    signed_response,
};
use switchfold_relay::messages::{InstanceRecord, PeerMessage, StateMessage};
use tokio::net::UdpSocket;

/// Events of a whole stream.
const EVENTS: u64 = 12;

/// Pause between events.
const PAUSE: Duration = Duration::from_millis(10);

fn whole_stream(request: &ReceivedRequest) -> Reply {
    events(request, EVENTS, PAUSE, StreamEnd::Complete)
}

/// An engine that holds all layers: its report and orders, and a script for requests.
fn engine(
    from: u32,
    to: u32,
    script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    move |request| match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &report(from, to, &[])),
        ORDER_PATH => signed_response(request, 200, ""),
        _ => script(request),
    }
}

fn whole_model(address: SocketAddr) -> serde_json::Value {
    model_entry(address, 0, LAYERS)
}

/// The same entry in another data centre, where requests go only if none nearer takes them.
fn elsewhere(
    entry: impl Fn(SocketAddr) -> serde_json::Value,
) -> impl Fn(SocketAddr) -> serde_json::Value {
    move |address| in_data_centre(entry(address), "far")
}

/// A script that fails on the first request it gets, counted over several replicas, and is well after.
fn fails_first(
    count: &Arc<Mutex<u32>>,
    fails: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let count = count.clone();
    engine(0, LAYERS, move |request| {
        let mut count = count.lock().expect("no script panics");
        *count += 1;
        match *count {
            1 => fails(request),
            _ => whole_stream(request),
        }
    })
}

#[test]
fn a_stream_is_passed_on_whole() {
    run_test(async {
        let replica = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, whole_model)]).await;
        let called = relay.get("/stream/a", "a").await;
        assert_eq!(called.status, StatusCode::OK);
        assert!(called.is_complete && called.is_signed());
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        let seen = &replica.requests()[0];
        assert_eq!(
            seen.header(PATH.as_str()),
            Some(format!("{}=0-{LAYERS}", replica.address()).as_str())
        );
        assert_eq!(seen.header(EXPECT_REPLICA.as_str()), Some("i-1"));
    });
}

#[test]
fn a_caller_takes_a_stream_up_after_its_last_event() {
    run_test(async {
        let replica = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, whole_model)]).await;
        let mut asked = request("/stream/a", "a");
        asked.headers_mut().insert(LAST_EVENT_ID, "4".parse().expect("a value"));
        let called = call(relay.address, asked).await;
        assert_eq!(event_ids(&called.body), (5..EVENTS).collect::<Vec<u64>>());
    });
}

#[test]
fn a_path_runs_each_layer_once_over_several_engines() {
    run_test(async {
        let one = StandinReplica::start(engine(0, 5, whole_stream)).await;
        let two = StandinReplica::start(engine(3, LAYERS, whole_stream)).await;
        let entries = [
            entry_of("i-1", &one, |address| model_entry(address, 0, 5)),
            entry_of("i-2", &two, |address| model_entry(address, 3, LAYERS)),
        ];
        let relay = RunningRelay::start(bounds(), &entries).await;
        assert!(relay.get("/stream/a", "a").await.is_complete);
        let seen = &one.requests()[0];
        let path = seen.header(PATH.as_str()).expect("a path");
        let parts: Vec<(u32, u32)> = path
            .split(',')
            .filter_map(|part| part.split_once('=')?.1.split_once('-'))
            .map(|(from, to)| (from.parse().expect("a layer"), to.parse().expect("a layer")))
            .collect();
        assert_eq!(parts.first().map(|part| part.0), Some(0));
        assert_eq!(parts.last().map(|part| part.1), Some(LAYERS));
        assert!(parts.windows(2).all(|pair| pair[0].1 == pair[1].0), "{path}");
        assert_eq!(two.requests(), [], "the engines hand requests on themselves");
    });
}

/// However a stream breaks, on a route that allows it the caller gets every event once; else it gets
/// what came, and no end that looks like one.
#[test]
fn a_broken_stream_goes_on_elsewhere() {
    for end in [StreamEnd::Cut, StreamEnd::CutWithinEvent] {
        for (path, resumes) in [("/stream/a", true), ("/stream-once/a", false)] {
            run_test(async move {
                let count = Arc::new(Mutex::new(0));
                let script = || fails_first(&count, move |r| events(r, 5, PAUSE, end));
                let one = StandinReplica::start(script()).await;
                let two = StandinReplica::start(script()).await;
                let entries =
                    [entry_of("i-1", &one, whole_model), entry_of("i-2", &two, whole_model)];
                let relay = RunningRelay::start(bounds(), &entries).await;
                let called = relay.get(path, "a").await;
                let expected = if resumes { EVENTS } else { 5 };
                assert_eq!(event_ids(&called.body), (0..expected).collect::<Vec<u64>>(), "{end:?}");
                assert_eq!(called.is_complete, resumes, "{end:?}");
                let sent = one.requests().len() + two.requests().len();
                assert_eq!(sent, if resumes { 2 } else { 1 });
            });
        }
    }
}

/// What happens before the first event: (what the first engine does, whether the route may be
/// repeated, status, requests sent).
#[test]
fn a_stream_that_does_not_open_is_tried_elsewhere() {
    type Script = fn(&ReceivedRequest) -> Reply;
    let rows: [(&str, Script, &str, u16, usize); 6] = [
        ("rejected", |r| reject(r, 503, None), "/stream-once/a", 200, 2),
        ("other layers there", |r| reject(r, 421, None), "/stream-once/a", 200, 2),
        ("closed", |_| Reply::Close, "/stream/a", 200, 2),
        ("closed, once only", |_| Reply::Close, "/stream-once/a", 502, 1),
        ("failed", |r| signed_response(r, 500, "no"), "/stream/a", 200, 2),
        ("refused for good", |r| signed_response(r, 400, "no"), "/stream/a", 400, 1),
    ];
    for (name, fails, path, status, sends) in rows {
        run_test(async move {
            let count = Arc::new(Mutex::new(0));
            let one = StandinReplica::start(fails_first(&count, fails)).await;
            let two = StandinReplica::start(fails_first(&count, fails)).await;
            let entries = [entry_of("i-1", &one, whole_model), entry_of("i-2", &two, whole_model)];
            let relay = RunningRelay::start(bounds(), &entries).await;
            let called = relay.get(path, "a").await;
            assert_eq!(called.status.as_u16(), status, "{name}");
            assert_eq!(one.requests().len() + two.requests().len(), sends, "{name}");
        });
    }
}

/// A stream that stands still because of another engine of its path is moved: the first engine is told
/// the new path, with the same first part, and nothing is sent twice.
#[test]
fn a_stalled_part_is_replaced_in_place() {
    run_test(async {
        let lost = StandinReplica::start(engine(4, LAYERS, whole_stream)).await;
        let spare = StandinReplica::start(engine(4, LAYERS, whole_stream)).await;
        let faulty_replica = lost.address();
        let first = StandinReplica::start(move |request| match request.target.as_str() {
            REPORT_PATH => signed_response(request, 200, &report(0, 4, &[("a", faulty_replica)])),
            ORDER_PATH => signed_response(request, 200, ""),
            _ => events(request, 3, PAUSE, StreamEnd::Silence),
        })
        .await;
        let entries = [
            entry_of("i-1", &first, |address| model_entry(address, 0, 4)),
            entry_of("i-2", &lost, |address| model_entry(address, 4, LAYERS)),
        ];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let asked = request("/stream/a", "a");
        let address = relay.address;
        let calling = tokio::task::spawn_local(async move { call(address, asked).await });
        wait_until(async || first.requests().len() == 1).await;
        relay.store.put(REPLICA_KIND, "i-3", model_entry(spare.address(), 4, LAYERS));
        wait_until(async || !first.orders().is_empty()).await;
        let path = format!("{}=0-4,{}=4-{LAYERS}", first.address(), spare.address());
        assert_eq!(first.orders()[0], ReceivedOrder::Repath { attempt_id: "a".to_owned(), path });
        calling.abort();
    });
}

/// A stream whose engine falls silent and whose attempts are used up is not ended by the relay: the
/// engine may go on. Found by a hunt: streams were closed midway during planned replacements.
#[test]
fn silence_alone_ends_no_stream() {
    run_test(async {
        let script = |request: &ReceivedRequest| match request.header(LAST_EVENT_ID.as_str()) {
            None => events(request, 3, PAUSE, StreamEnd::Silence),
            Some(_) => events(request, EVENTS, Duration::from_millis(400), StreamEnd::Complete),
        };
        let one = StandinReplica::start(engine(0, LAYERS, script)).await;
        let two = StandinReplica::start(engine(0, LAYERS, script)).await;
        let entries = [entry_of("i-1", &one, whole_model), entry_of("i-2", &two, whole_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let called = relay.get("/stream/a", "a").await;
        // The second engine pauses longer than any stream should; it is waited for all the same.
        assert!(called.is_complete, "{called:?}");
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert_eq!(one.requests().len() + two.requests().len(), 2);
    });
}

/// A stream whose only engine falls silent goes on when the engine does.
#[test]
fn a_silent_engine_is_waited_for() {
    run_test(async {
        let slow = |request: &ReceivedRequest| {
            events(request, 3, Duration::from_millis(2_500), StreamEnd::Complete)
        };
        let only = StandinReplica::start(engine(0, LAYERS, slow)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &only, whole_model)]).await;
        let called = relay.get("/stream-once/a", "a").await;
        assert!(called.is_complete, "{called:?}");
        assert_eq!(event_ids(&called.body), [0, 1, 2]);
    });
}

/// A request that waits for a lost engine: where it may run again it is tried elsewhere at once; where
/// it may not, it is waited for, and the engine's own word that it did not run lets it go elsewhere.
#[test]
fn a_request_that_stalls_before_its_first_event() {
    for (path, abandoned) in [("/stream/a", true), ("/stream-once/a", false)] {
        run_test(async move {
            let lost = StandinReplica::start(|_| Reply::Silence).await;
            let faulty_replica = lost.address();
            let first = StandinReplica::start(move |request| match request.target.as_str() {
                REPORT_PATH => {
                    signed_response(request, 200, &report(0, LAYERS, &[("a", faulty_replica)]))
                }
                _ => {
                    let Reply::Bytes(bytes) = reject(request, 503, Some(faulty_replica)) else {
                        unreachable!("a rejection is bytes");
                    };
                    Reply::BytesLater(Duration::from_millis(1_500), bytes)
                }
            })
            .await;
            let spare = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
            let entries = [
                entry_of("i-1", &first, whole_model),
                entry_of("i-2", &spare, elsewhere(whole_model)),
            ];
            let relay = RunningRelay::start(bounds(), &entries).await;
            let called = relay.get(path, "a").await;
            assert!(called.is_complete, "{called:?}");
            assert_eq!(called.status, StatusCode::OK);
            assert_eq!((first.requests().len(), spare.requests().len()), (1, 1));
            // Given up at once, its connection is closed; waited for, it is kept.
            let sent_on = first.requests()[0].connection;
            assert!(sent_on > 0 && (abandoned || first.open_connections() > 0));
        });
    }
}

/// Engines short of memory refuse; another path is taken, and the caller sees nothing of it.
#[test]
fn a_full_engine_is_passed_by() {
    run_test(async {
        let full =
            StandinReplica::start(move |request: &ReceivedRequest| match request.target.as_str() {
                REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
                _ => reject(request, 503, None),
            })
            .await;
        let well = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let entries = [entry_of("i-1", &full, whole_model), entry_of("i-2", &well, whole_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        for id in ["a", "b", "c"] {
            assert!(relay.get("/stream/a", id).await.is_complete);
        }
        assert_eq!(well.requests().len(), 3);
    });
}

#[test]
fn a_leaving_engine_gets_no_new_stream() {
    run_test(async {
        let leaves = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let stays = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let entries = [entry_of("i-1", &leaves, whole_model), entry_of("i-2", &stays, whole_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        relay.store.put(REPLICA_KIND, "i-1", draining(whole_model(leaves.address())));
        wait_until(async || {
            let before = leaves.requests().len();
            relay.get("/stream/a", "a").await;
            leaves.requests().len() == before
        })
        .await;
        let before = leaves.requests().len();
        relay.get("/stream/a", "b").await;
        assert_eq!(leaves.requests().len(), before);
    });
}

/// Layers that nobody holds: the engines are told to hold them, and no order goes twice.
#[test]
fn empty_engines_are_given_layers() {
    run_test(async {
        let replica = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let mut empty = whole_model(replica.address());
        empty["layers"] = serde_json::Value::Null;
        let relay = RunningRelay::start(bounds(), &[("i-1", empty)]).await;
        wait_until(async || !replica.orders().is_empty()).await;
        // Alone it cannot hold the model: nine tenths of its memory, so that some is left for requests.
        let to = u64::from(LAYERS) - 1;
        assert_eq!(replica.orders()[0], ReceivedOrder::Place { from: 0, to, orders_taken: 3 });
        let called = relay.get("/stream/a", "a").await;
        assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(called.headers.contains_key("retry-after"));
        assert_eq!(replica.orders().len(), 1);
    });
}

/// The caller leaves in the middle of a stream: the engine's connection ends at once.
#[test]
fn a_caller_that_leaves_ends_its_stream() {
    run_test(async {
        let script = |r: &ReceivedRequest| events(r, 3, PAUSE, StreamEnd::Silence);
        let replica = StandinReplica::start(engine(0, LAYERS, script)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, whole_model)]).await;
        let calling = call(relay.address, request("/stream/a", "a"));
        let gone = tokio::time::timeout(Duration::from_millis(300), calling).await;
        assert!(gone.is_err(), "the stream never ends");
        // Connections for reports may stay; the stream's own does not.
        wait_until(async || replica.requests().len() == 1 && replica.open_connections() <= 1).await;
    });
}

/// A replica in the middle of a path goes dark, and the first one's report does not say so yet: it is
/// found by a probe, and the stream goes on elsewhere.
#[test]
fn a_dark_replica_in_the_middle_is_found_by_a_probe() {
    run_test(async {
        let silent = |request: &ReceivedRequest| events(request, 3, PAUSE, StreamEnd::Silence);
        let first = StandinReplica::start(engine(0, 5, silent)).await;
        let probes = Arc::new(Mutex::new(0));
        let counted = probes.clone();
        let dark = StandinReplica::start(move |request: &ReceivedRequest| {
            let is_probe = request.target == REPORT_PATH;
            *counted.lock().expect("no script panics") += u32::from(is_probe);
            Reply::Silence
        })
        .await;
        let other = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let entries = [
            entry_of("i-1", &first, |address| model_entry(address, 0, 5)),
            entry_of("i-2", &dark, |address| model_entry(address, 5, LAYERS)),
            entry_of("i-3", &other, elsewhere(whole_model)),
        ];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let called = relay.get("/stream/a", "a").await;
        assert!(called.is_complete);
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert!(*probes.lock().expect("no script panics") > 0);
    });
}

/// What another relay suspects ends no request that has no other send: it may be a fault of that relay's
/// link.
#[test]
fn a_heard_suspicion_ends_no_waiting_request() {
    run_test(async {
        let late =
            |request: &ReceivedRequest| match signed_response(request, 200, "id: 0\ndata: a\n\n") {
                Reply::Bytes(bytes) => Reply::BytesLater(Duration::from_millis(600), bytes),
                other => other,
            };
        let replica = StandinReplica::start(engine(0, LAYERS, late)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, whole_model)]).await;
        let news = StateMessage {
            name: "relay-0".to_owned(),
            data_centre: "far".to_owned(),
            suspects: vec![(InstanceRecord("i-1".to_owned(), 0), 2_000)],
            ..StateMessage::default()
        };
        let datagram = PeerMessage::State(Box::new(news)).encode();
        let telling = async {
            wait_until(async || !replica.requests().is_empty()).await;
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
            socket.send_to(&datagram, relay.peers).await.expect("it is sent");
        };
        let (called, ()) = tokio::join!(relay.get("/stream-single/a", "a"), telling);
        assert_eq!(called.status, StatusCode::OK);
        assert!(called.is_complete && called.is_signed());
    });
}

/// Time in which a relay that takes replicas for lost leaves them.
const LEAVING_TIME: Duration = Duration::from_millis(300);

/// Where most replicas of a path are silent at once, the relay or its link is slow, not they: the stream
/// stays where it is.
#[test]
fn silence_of_many_replicas_proves_nothing() {
    run_test(async {
        let probes = Arc::new(Mutex::new(0_u32));
        let counted = probes.clone();
        // The stream goes on a while after each of the four others was asked twice: time enough to leave
        // it, if it were left.
        let held = move |request: &ReceivedRequest| {
            let mut reply = events(request, EVENTS, PAUSE, StreamEnd::Complete);
            let counted = counted.clone();
            let asked = Mutex::new(None);
            if let Reply::Stream { gate, .. } = &mut reply {
                *gate = StreamGate::new(move || {
                    let all = *counted.lock().expect("no script panics") >= 8;
                    let mut asked = asked.lock().expect("no script panics");
                    *asked = asked.or_else(|| all.then(Instant::now));
                    match asked.is_some_and(|asked| asked.elapsed() > LEAVING_TIME) {
                        true => GateState::Open,
                        false => GateState::Closed,
                    }
                });
            }
            reply
        };
        let first = StandinReplica::start(engine(0, 2, held)).await;
        let mut others = Vec::new();
        for _ in 0..4 {
            let counted = probes.clone();
            let silent = move |request: &ReceivedRequest| {
                let is_probe = request.target == REPORT_PATH;
                *counted.lock().expect("no script panics") += u32::from(is_probe);
                Reply::Silence
            };
            others.push(StandinReplica::start(silent).await);
        }
        let elsewhere_seen = StandinReplica::start(engine(0, LAYERS, whole_stream)).await;
        let ranges = [(2, 4), (4, 5), (5, 7), (7, LAYERS)];
        let ids = ["i-2", "i-3", "i-4", "i-5"];
        let mut entries = vec![
            entry_of("i-1", &first, |address| model_entry(address, 0, 2)),
            entry_of("i-6", &elsewhere_seen, elsewhere(whole_model)),
        ];
        for ((id, other), (from, to)) in ids.iter().zip(&others).zip(ranges) {
            entries.push(entry_of(id, other, |address| model_entry(address, from, to)));
        }
        let relay = RunningRelay::start(bounds(), &entries).await;
        let called = relay.get("/stream/a", "a").await;
        assert!(called.is_complete);
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert_eq!(first.requests().len(), 1);
        assert_eq!(elsewhere_seen.requests().len(), 0);
    });
}
