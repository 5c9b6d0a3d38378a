//! Tests streams over engines that fail in various ways.

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

/// Number of events of a complete stream.
const EVENTS: u64 = 12;

/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(10);

fn complete_stream(request: &ReceivedRequest) -> Reply {
    events(request, EVENTS, PAUSE, StreamEnd::Complete)
}

/// Script of an engine that holds layers `from..to`: accepts orders, and responds to requests by
/// `script`.
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

/// Entry of an engine that holds all layers.
fn full_model(address: SocketAddr) -> serde_json::Value {
    model_entry(address, 0, LAYERS)
}

/// The same entry in another data centre, whose replicas are used only if no local one can be.
fn remote(
    entry: impl Fn(SocketAddr) -> serde_json::Value,
) -> impl Fn(SocketAddr) -> serde_json::Value {
    move |address| in_data_centre(entry(address), "far")
}

/// Script of engines that fail on the first request to any of those that share `count`, and respond
/// normally after.
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
            _ => complete_stream(request),
        }
    })
}

#[test]
fn a_stream_is_forwarded_completely() {
    run_test(async {
        let replica = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, full_model)]).await;
        let called = relay.get("/stream/a", "a").await;
        assert_eq!(called.status, StatusCode::OK);
        assert!(called.is_complete && called.is_signed());
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        let received = &replica.requests()[0];
        assert_eq!(
            received.header(PATH.as_str()),
            Some(format!("{}=0-{LAYERS}", replica.address()).as_str())
        );
        assert_eq!(received.header(EXPECT_REPLICA.as_str()), Some("i-1"));
    });
}

#[test]
fn a_caller_resumes_a_stream_after_its_last_event() {
    run_test(async {
        let replica = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, full_model)]).await;
        let mut request = request("/stream/a", "a");
        request.headers_mut().insert(LAST_EVENT_ID, "4".parse().expect("a value"));
        let called = call(relay.address, request).await;
        assert_eq!(event_ids(&called.body), (5..EVENTS).collect::<Vec<u64>>());
    });
}

#[test]
fn a_path_runs_each_layer_once_over_several_engines() {
    run_test(async {
        let one = StandinReplica::start(engine(0, 5, complete_stream)).await;
        let two = StandinReplica::start(engine(3, LAYERS, complete_stream)).await;
        let entries = [
            entry_of("i-1", &one, |address| model_entry(address, 0, 5)),
            entry_of("i-2", &two, |address| model_entry(address, 3, LAYERS)),
        ];
        let relay = RunningRelay::start(bounds(), &entries).await;
        assert!(relay.get("/stream/a", "a").await.is_complete);
        let received = &one.requests()[0];
        let path = received.header(PATH.as_str()).expect("a path");
        let stages: Vec<(u32, u32)> = path
            .split(',')
            .filter_map(|stage| stage.split_once('=')?.1.split_once('-'))
            .map(|(from, to)| (from.parse().expect("a layer"), to.parse().expect("a layer")))
            .collect();
        assert_eq!(stages.first().map(|stage| stage.0), Some(0));
        assert_eq!(stages.last().map(|stage| stage.1), Some(LAYERS));
        assert!(stages.windows(2).all(|pair| pair[0].1 == pair[1].0), "{path}");
        assert_eq!(two.requests(), [], "the first engine forwards the request to the second");
    });
}

/// However a stream breaks, the caller receives every event once if the route allows resuming.
/// Otherwise it receives the events so far, and a body that is visibly incomplete.
#[test]
fn a_broken_stream_is_resumed_at_another_replica() {
    for end in [StreamEnd::Cut, StreamEnd::CutWithinEvent] {
        for (path, resumes) in [("/stream/a", true), ("/stream-once/a", false)] {
            run_test(async move {
                let count = Arc::new(Mutex::new(0));
                let script = || fails_first(&count, move |r| events(r, 5, PAUSE, end));
                let one = StandinReplica::start(script()).await;
                let two = StandinReplica::start(script()).await;
                let entries =
                    [entry_of("i-1", &one, full_model), entry_of("i-2", &two, full_model)];
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

/// Failures before the first event. Columns: name, what the first engine does, path (whose route
/// tells whether the request may be repeated), status that the caller receives, number of requests
/// sent.
#[test]
fn a_stream_that_fails_to_open_is_retried_if_the_route_allows() {
    type Script = fn(&ReceivedRequest) -> Reply;
    let rows: [(&str, Script, &str, u16, usize); 6] = [
        ("rejected", |r| reject(r, 503, None), "/stream-once/a", 200, 2),
        ("holds other layers", |r| reject(r, 421, None), "/stream-once/a", 200, 2),
        ("closed", |_| Reply::Close, "/stream/a", 200, 2),
        ("closed, not repeatable", |_| Reply::Close, "/stream-once/a", 502, 1),
        ("failed", |r| signed_response(r, 500, "no"), "/stream/a", 200, 2),
        ("client error", |r| signed_response(r, 400, "no"), "/stream/a", 400, 1),
    ];
    for (name, fails, path, status, sends) in rows {
        run_test(async move {
            let count = Arc::new(Mutex::new(0));
            let one = StandinReplica::start(fails_first(&count, fails)).await;
            let two = StandinReplica::start(fails_first(&count, fails)).await;
            let entries = [entry_of("i-1", &one, full_model), entry_of("i-2", &two, full_model)];
            let relay = RunningRelay::start(bounds(), &entries).await;
            let called = relay.get(path, "a").await;
            assert_eq!(called.status.as_u16(), status, "{name}");
            assert_eq!(one.requests().len() + two.requests().len(), sends, "{name}");
        });
    }
}

/// If a stream stalls because of a later engine of its path, the first engine is ordered to use a
/// new path with the same first stage, and the request is not sent a second time.
#[test]
fn a_stalled_stage_is_replaced_without_a_second_send() {
    run_test(async {
        let lost = StandinReplica::start(engine(4, LAYERS, complete_stream)).await;
        let spare = StandinReplica::start(engine(4, LAYERS, complete_stream)).await;
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
        let request = request("/stream/a", "a");
        let address = relay.address;
        let calling = tokio::task::spawn_local(async move { call(address, request).await });
        wait_until(async || first.requests().len() == 1).await;
        relay.store.put(REPLICA_KIND, "i-3", model_entry(spare.address(), 4, LAYERS));
        wait_until(async || !first.orders().is_empty()).await;
        let path = format!("{}=0-4,{}=4-{LAYERS}", first.address(), spare.address());
        assert_eq!(first.orders()[0], ReceivedOrder::Repath { attempt_id: "a".to_owned(), path });
        calling.abort();
    });
}

/// If the engine falls silent and no attempt is left, the relay does not end the stream, since the
/// engine may continue. Guards against streams that were closed midway during planned replacements.
#[test]
fn silence_alone_does_not_end_a_stream() {
    run_test(async {
        let script = |request: &ReceivedRequest| match request.header(LAST_EVENT_ID.as_str()) {
            None => events(request, 3, PAUSE, StreamEnd::Silence),
            Some(_) => events(request, EVENTS, Duration::from_millis(400), StreamEnd::Complete),
        };
        let one = StandinReplica::start(engine(0, LAYERS, script)).await;
        let two = StandinReplica::start(engine(0, LAYERS, script)).await;
        let entries = [entry_of("i-1", &one, full_model), entry_of("i-2", &two, full_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let called = relay.get("/stream/a", "a").await;
        // The second engine pauses longer than the route allows, and is waited for nevertheless.
        assert!(called.is_complete, "{called:?}");
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert_eq!(one.requests().len() + two.requests().len(), 2);
    });
}

/// A stream whose only engine falls silent continues once the engine does.
#[test]
fn the_only_engine_is_waited_for_while_silent() {
    run_test(async {
        let slow = |request: &ReceivedRequest| {
            events(request, 3, Duration::from_millis(2_500), StreamEnd::Complete)
        };
        let only = StandinReplica::start(engine(0, LAYERS, slow)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &only, full_model)]).await;
        let called = relay.get("/stream-once/a", "a").await;
        assert!(called.is_complete, "{called:?}");
        assert_eq!(event_ids(&called.body), [0, 1, 2]);
    });
}

/// A request that waits for a lost engine is retried elsewhere at once if it may run again. If it
/// may not, the relay waits until the first engine states that the request did not run, and then
/// retries it.
#[test]
fn a_request_that_stalls_before_its_first_event_is_retried_if_allowed() {
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
            let spare = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
            let entries =
                [entry_of("i-1", &first, full_model), entry_of("i-2", &spare, remote(full_model))];
            let relay = RunningRelay::start(bounds(), &entries).await;
            let called = relay.get(path, "a").await;
            assert!(called.is_complete, "{called:?}");
            assert_eq!(called.status, StatusCode::OK);
            assert_eq!((first.requests().len(), spare.requests().len()), (1, 1));
            // An abandoned request closes its connection; one that was waited for keeps it.
            let sent_on = first.requests()[0].connection;
            assert!(sent_on > 0 && (abandoned || first.open_connections() > 0));
        });
    }
}

/// If an engine short of memory rejects a request, another path is used without the caller
/// noticing.
#[test]
fn an_engine_short_of_memory_is_avoided() {
    run_test(async {
        let full =
            StandinReplica::start(move |request: &ReceivedRequest| match request.target.as_str() {
                REPORT_PATH => signed_response(request, 200, &report(0, LAYERS, &[])),
                _ => reject(request, 503, None),
            })
            .await;
        let healthy = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let entries = [entry_of("i-1", &full, full_model), entry_of("i-2", &healthy, full_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        for id in ["a", "b", "c"] {
            assert!(relay.get("/stream/a", id).await.is_complete);
        }
        assert_eq!(healthy.requests().len(), 3);
    });
}

#[test]
fn a_draining_engine_gets_no_new_stream() {
    run_test(async {
        let leaves = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let stays = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let entries = [entry_of("i-1", &leaves, full_model), entry_of("i-2", &stays, full_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        relay.store.put(REPLICA_KIND, "i-1", draining(full_model(leaves.address())));
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

/// If nobody holds some layers, an empty engine is ordered to load them, and no order is sent
/// twice.
#[test]
fn empty_engines_are_ordered_to_load_layers_once() {
    run_test(async {
        let replica = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let mut empty = full_model(replica.address());
        empty["layers"] = serde_json::Value::Null;
        let relay = RunningRelay::start(bounds(), &[("i-1", empty)]).await;
        wait_until(async || !replica.orders().is_empty()).await;
        // Alone it cannot hold the model: layers use at most nine tenths of its memory, the rest is
        // for requests.
        let to = u64::from(LAYERS) - 1;
        assert_eq!(replica.orders()[0], ReceivedOrder::Place { from: 0, to, orders_accepted: 3 });
        let called = relay.get("/stream/a", "a").await;
        assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(called.headers.contains_key("retry-after"));
        assert_eq!(replica.orders().len(), 1);
    });
}

/// If the caller disconnects in the middle of a stream, the connection to the engine is closed at
/// once.
#[test]
fn a_caller_that_disconnects_ends_its_stream() {
    run_test(async {
        let script = |r: &ReceivedRequest| events(r, 3, PAUSE, StreamEnd::Silence);
        let replica = StandinReplica::start(engine(0, LAYERS, script)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, full_model)]).await;
        let calling = call(relay.address, request("/stream/a", "a"));
        let outcome = tokio::time::timeout(Duration::from_millis(300), calling).await;
        assert!(outcome.is_err(), "the stream never ends");
        // A connection for reports may stay open; that of the stream does not.
        wait_until(async || replica.requests().len() == 1 && replica.open_connections() <= 1).await;
    });
}

/// A later replica of the path falls silent, and the report of the first one does not name it yet.
/// A probe finds it, and the stream is resumed elsewhere.
#[test]
fn a_silent_later_stage_is_found_by_a_probe() {
    run_test(async {
        let silent = |request: &ReceivedRequest| events(request, 3, PAUSE, StreamEnd::Silence);
        let first = StandinReplica::start(engine(0, 5, silent)).await;
        let probes = Arc::new(Mutex::new(0));
        let counted = probes.clone();
        let lost = StandinReplica::start(move |request: &ReceivedRequest| {
            let is_probe = request.target == REPORT_PATH;
            *counted.lock().expect("no script panics") += u32::from(is_probe);
            Reply::Silence
        })
        .await;
        let other = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let entries = [
            entry_of("i-1", &first, |address| model_entry(address, 0, 5)),
            entry_of("i-2", &lost, |address| model_entry(address, 5, LAYERS)),
            entry_of("i-3", &other, remote(full_model)),
        ];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let called = relay.get("/stream/a", "a").await;
        assert!(called.is_complete);
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert!(*probes.lock().expect("no script panics") > 0);
    });
}

/// A suspicion that another relay reports does not end a request that cannot be sent again, since
/// it may be due to that relay's own network link.
#[test]
fn a_suspicion_from_another_relay_does_not_end_a_waiting_request() {
    run_test(async {
        let late =
            |request: &ReceivedRequest| match signed_response(request, 200, "id: 0\ndata: a\n\n") {
                Reply::Bytes(bytes) => Reply::BytesLater(Duration::from_millis(600), bytes),
                other => other,
            };
        let replica = StandinReplica::start(engine(0, LAYERS, late)).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, full_model)]).await;
        let state = StateMessage {
            name: "relay-0".to_owned(),
            data_centre: "far".to_owned(),
            suspects: vec![(InstanceRecord("i-1".to_owned(), 0), 2_000)],
            ..StateMessage::default()
        };
        let datagram = PeerMessage::State(Box::new(state)).encode();
        let sending = async {
            wait_until(async || !replica.requests().is_empty()).await;
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
            socket.send_to(&datagram, relay.peers).await.expect("it is sent");
        };
        let (called, ()) = tokio::join!(relay.get("/stream-single/a", "a"), sending);
        assert_eq!(called.status, StatusCode::OK);
        assert!(called.is_complete && called.is_signed());
    });
}

/// Time within which a relay moves a stream off replicas that it considers lost.
const RECOVERY_TIME: Duration = Duration::from_millis(300);

/// If most replicas of a path are silent at once, the relay or its network link is slow rather than
/// they, so the stream stays where it is.
#[test]
fn silence_of_many_replicas_is_no_proof_of_failure() {
    run_test(async {
        let probes = Arc::new(Mutex::new(0_u32));
        let counted = probes.clone();
        // The stream continues only some time after the four others were probed twice each, which
        // is long enough for the relay to move it, if it did.
        let held = move |request: &ReceivedRequest| {
            let mut reply = events(request, EVENTS, PAUSE, StreamEnd::Complete);
            let counted = counted.clone();
            let probed_at = Mutex::new(None);
            if let Reply::Stream { gate, .. } = &mut reply {
                *gate = StreamGate::new(move || {
                    let all = *counted.lock().expect("no script panics") >= 8;
                    let mut probed_at = probed_at.lock().expect("no script panics");
                    *probed_at = probed_at.or_else(|| all.then(Instant::now));
                    match probed_at.is_some_and(|probed_at| probed_at.elapsed() > RECOVERY_TIME) {
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
        let distant = StandinReplica::start(engine(0, LAYERS, complete_stream)).await;
        let ranges = [(2, 4), (4, 5), (5, 7), (7, LAYERS)];
        let ids = ["i-2", "i-3", "i-4", "i-5"];
        let mut entries = vec![
            entry_of("i-1", &first, |address| model_entry(address, 0, 2)),
            entry_of("i-6", &distant, remote(full_model)),
        ];
        for ((id, other), (from, to)) in ids.iter().zip(&others).zip(ranges) {
            entries.push(entry_of(id, other, |address| model_entry(address, from, to)));
        }
        let relay = RunningRelay::start(bounds(), &entries).await;
        let called = relay.get("/stream/a", "a").await;
        assert!(called.is_complete);
        assert_eq!(event_ids(&called.body), (0..EVENTS).collect::<Vec<u64>>());
        assert_eq!(first.requests().len(), 1);
        assert_eq!(distant.requests().len(), 0);
    });
}
