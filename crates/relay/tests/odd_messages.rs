//! What other relays, replicas and callers send: values at the edges of their types end nothing.

mod harness;

use std::{net::SocketAddr, time::Duration};

use harness::{
    RunningRelay, bounds, call, entry_of, request, respond_healthy, run_test, wait_until,
};
use http::{HeaderName, HeaderValue, StatusCode};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_platform::{
    REPLICA_KIND,
    engine::REPORT_PATH,
    headers::{DEADLINE, LAST_EVENT_ID, LENGTH_HINT, PROMPT_PARTS, TOKEN_USAGE},
};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica,
    samples::{LAYERS, desk_entry, model_entry},
    signed_response, with_header,
};
use switchfold_relay::messages::{
    CrashRecord, InstanceRecord, LoanMessage, PeerMessage, ReportRecord, ReservationRecord,
    ReservationReport, StateMessage,
};
use switchfold_router::fingerprint::FINGERPRINT_BYTES;
use tokio::{net::UdpSocket, time::sleep};

/// Number of messages of each kind.
const MESSAGES: usize = 400;

const SEED: u64 = 67;

/// Values at the edges of types of 32 and 64 bits.
const EDGES: [u64; 10] = [
    0,
    1,
    u32::MAX as u64 - 1,
    u32::MAX as u64,
    u32::MAX as u64 + 1,
    1 << 53,
    i64::MAX as u64,
    i64::MAX as u64 + 1,
    u64::MAX - 1,
    u64::MAX,
];

fn edge(random: &mut impl Rng) -> u64 {
    EDGES[random.random_range(0..EDGES.len())]
}

fn optional_edge(random: &mut impl Rng) -> Option<u64> {
    random.random::<bool>().then(|| edge(random))
}

/// Records of replicas with amounts at the edges.
fn records(random: &mut impl Rng) -> Vec<(InstanceRecord, u32)> {
    let ids = ["i-1", "i-2", "other", ""];
    let record = |id: &&str| (InstanceRecord((*id).to_owned(), edge(random)), edge(random) as u32);
    ids.iter().map(record).collect()
}

fn reservations(random: &mut impl Rng) -> ReservationRecord {
    ReservationRecord { memory: records(random), slots: records(random) }
}

fn state_message(random: &mut impl Rng) -> StateMessage {
    StateMessage {
        name: format!("relay-{}", random.random_range(0..4)),
        data_centre: ["hall", "far", ""][random.random_range(0..3)].to_owned(),
        stamp: (edge(random) as u32, edge(random)),
        echo: optional_edge(random).map(|time| ((edge(random) as u32, time), edge(random))),
        fleet_is_fresh: random.random(),
        fleet_is_lost: random.random(),
        fleet_age: optional_edge(random),
        fleet_answer_age: optional_edge(random),
        fleet_read_age: optional_edge(random),
        // The digest and the version of the list and the configuration that the relay holds would
        // make it trust the message; others make it ask.
        fleet_digest: edge(random),
        config_version: 1,
        config_is_lost: random.random(),
        config_age: optional_edge(random),
        config_answer_age: optional_edge(random),
        coordinates_limits: random.random(),
        is_member: random.random(),
        report: [ReportRecord::None, ReportRecord::Spare, ReportRecord::Counted]
            [random.random_range(0..3)],
        coordinators: vec![edge(random) as u32],
        reader: optional_edge(random).map(|hash| hash as u32),
        members: vec![edge(random) as u32],
        limits: Vec::new(),
        reservations: match random.random_range(0..3) {
            0 => ReservationReport::Omitted,
            1 => ReservationReport::Group(reservations(random)),
            _ => ReservationReport::Sums {
                same_data_centre: reservations(random),
                other_data_centres: Some(reservations(random)),
            },
        },
        suspects: Vec::new(),
        stalls: Vec::new(),
        slowdowns: records(random),
        crashes: vec![CrashRecord {
            fingerprint: [random.random(); FINGERPRINT_BYTES],
            remaining_ms: optional_edge(random).map(|remaining| remaining as u32),
            runs: Vec::new(),
        }],
        cleared: vec![([random.random(); FINGERPRINT_BYTES], edge(random) as u32)],
    }
}

fn loan_message(random: &mut impl Rng) -> LoanMessage {
    LoanMessage {
        name: "relay-2".to_owned(),
        service: ["desk", "model", ""][random.random_range(0..3)].to_owned(),
        stamp: (edge(random) as u32, edge(random)),
        millionths: edge(random) as u32,
    }
}

/// Starts a relay with a plain replica and an engine.
async fn start_relay(
    script: impl Fn(&ReceivedRequest) -> Reply + Clone + Send + Sync + 'static,
) -> (RunningRelay, [StandinReplica; 2]) {
    let replicas =
        [StandinReplica::start(script.clone()).await, StandinReplica::start(script).await];
    let full_model = |address| model_entry(address, 0, LAYERS);
    let entries =
        [entry_of("i-1", &replicas[0], desk_entry), entry_of("i-2", &replicas[1], full_model)];
    (RunningRelay::start(bounds(), &entries).await, replicas)
}

/// Checks that a relay runs, and that both services are served again soon.
async fn check_serves(relay: &RunningRelay) {
    for path in ["/safe/a", "/stream/a"] {
        wait_until(async || {
            assert!(!relay.task.is_finished(), "the relay ended");
            relay.get(path, "after").await.status == StatusCode::OK
        })
        .await;
    }
}

#[test]
fn odd_messages_of_other_relays_end_nothing() {
    run_test(async {
        let (relay, _replicas) = start_relay(respond_healthy).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        for _ in 0..MESSAGES {
            let state = PeerMessage::State(Box::new(state_message(&mut random)));
            let loan = loan_message(&mut random);
            let messages = [state, PeerMessage::LoanRequest(loan.clone()), PeerMessage::Loan(loan)];
            for message in messages {
                let mut datagram = message.encode();
                socket.send_to(&datagram, relay.peers).await.expect("loopback accepts it");
                // The same message, damaged.
                let position = random.random_range(1..datagram.len());
                datagram[position] = random.random();
                datagram.truncate(random.random_range(1..=datagram.len()));
                socket.send_to(&datagram, relay.peers).await.expect("loopback accepts it");
            }
            sleep(Duration::from_millis(1)).await;
        }
        check_serves(&relay).await;
    });
}

/// Values of numeric headers.
const NUMBERS: [&str; 9] = [
    "0",
    "-1",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "1e308",
    "NaN",
    "0.0000001",
];

#[test]
fn odd_headers_of_replicas_end_nothing() {
    run_test(async {
        let script = |request: &ReceivedRequest| {
            let number = request.header("x-test-number").unwrap_or("1").to_owned();
            let load = [number.as_str(); 3].join(",");
            let reply = with_header(respond_healthy(request), "X-Replica-Load", &load);
            with_header(reply, "Keep-Alive", &format!("timeout={number}"))
        };
        let (relay, _replicas) = start_relay(script).await;
        for number in NUMBERS {
            for path in ["/safe/a", "/once/a", "/stream/a"] {
                for _ in 0..3 {
                    let mut request = request(path, "a");
                    let name = HeaderName::from_static("x-test-number");
                    request.headers_mut().insert(name, HeaderValue::from_static(number));
                    let called = call(relay.address, request).await;
                    assert_eq!(called.status, StatusCode::OK, "{path} {number}");
                }
            }
        }
        check_serves(&relay).await;
    });
}

#[test]
fn odd_headers_of_callers_end_nothing() {
    run_test(async {
        let (relay, _replicas) = start_relay(respond_healthy).await;
        for number in NUMBERS {
            for path in ["/safe/a", "/stream/a"] {
                let mut request = request(path, "a");
                let pair = format!("{number},{number}");
                let part = format!("{number}:{number}");
                let headers = [
                    (DEADLINE, number),
                    (LENGTH_HINT, number),
                    (TOKEN_USAGE, &pair),
                    (PROMPT_PARTS, &part),
                    (LAST_EVENT_ID, number),
                ];
                for (name, value) in headers {
                    let value = HeaderValue::from_str(value).expect("a header value");
                    request.headers_mut().insert(name, value);
                }
                call(relay.address, request).await;
            }
        }
        check_serves(&relay).await;
    });
}

#[test]
fn odd_reports_of_engines_end_nothing() {
    const REPORTS: [&str; 8] = [
        "null",
        "{}",
        r#"{"call_seq":18446744073709551615,"pace":1e308,"kv_used":-1e308,"kv_total":1e308}"#,
        r#"{"call_seq":0,"pace":-1,"layers":{"from":9,"target_version":3}}"#,
        r#"{"call_seq":0,"layers":{"from":0,"target_version":4294967295},"pace":0}"#,
        r#"{"call_seq":1e400}"#,
        r#"{"stalled":[{"id":"a","address":"0.0.0.0:0"},{"id":"","address":"255.255.255.255:1"}]}"#,
        r#"{"born":9000000000000000}"#,
    ];
    run_test(async {
        let script = |request: &ReceivedRequest| match request.target.as_str() {
            REPORT_PATH => {
                let number = request.connection as usize % REPORTS.len();
                signed_response(request, 200, REPORTS[number])
            }
            _ => respond_healthy(request),
        };
        let (relay, _replicas) = start_relay(script).await;
        for number in 0..40 {
            relay.get("/stream/a", &format!("a{number}")).await;
        }
        check_serves(&relay).await;
    });
}

/// Entries that decode but that no request may be sent to, or only within the layers of the model.
#[test]
fn odd_entries_of_replicas_get_no_requests() {
    run_test(async {
        let (relay, replicas) = start_relay(respond_healthy).await;
        let odd = StandinReplica::start(respond_healthy).await;
        let own = relay.peers;
        let address = odd.address();
        let beyond = |from, to| model_entry(address, from, to);
        let other: SocketAddr = "255.255.255.255:80".parse().expect("an address");
        let entries = [
            beyond(0, u32::MAX),
            beyond(LAYERS, u32::MAX),
            beyond(u32::MAX - 1, u32::MAX),
            beyond(LAYERS, 0),
            desk_entry(own),
            desk_entry(other),
        ];
        for (number, entry) in entries.into_iter().enumerate() {
            relay.store.put(REPLICA_KIND, &format!("odd-{number}"), entry);
        }
        for number in 0..30 {
            for path in ["/safe/a", "/stream/a"] {
                let called = relay.get(path, &format!("a{number}")).await;
                assert_eq!(called.status, StatusCode::OK, "{path} {number}");
            }
        }
        assert_eq!(odd.requests().len(), 0);
        assert!(odd.orders().is_empty() && replicas[1].orders().is_empty());
        check_serves(&relay).await;
    });
}
