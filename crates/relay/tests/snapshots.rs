//! What neighbours read from the store is handed on, and nothing else is believed.

mod harness;

use std::net::SocketAddr;

use harness::{BoundRelay, ROUTES, RunningRelay, bounds, call, run_test, wait_until};
use http::{Request, StatusCode};
use http_body_util::Full;
use proptest::prelude::*;
use serde_json::json;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, RELAY_KIND, REPLICA_KIND};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore, StoreBehaviour,
    samples::{self, KEY, desk_entry},
    signed_response,
};
use switchfold_relay::{
    messages::{
        InstanceRecord, PeerMessage, ReservationRecord, ReservationReport, StateMessage,
        encode_state,
    },
    snapshot::{RelayRecord, Snapshot, SnapshotBody, parse_target, snapshot_target},
    store_calls::CallKind,
};
use tokio::net::UdpSocket;

fn well(request: &ReceivedRequest) -> Reply {
    signed_response(request, 200, "well")
}

/// Lists of the store that were read so far, of the kinds that are followed.
fn lists(store: &StandinStore) -> usize {
    let calls = store.calls();
    let is_list = |call: &&String| {
        let of_kind = |kind| call.contains(&format!("/objects/{kind}?"));
        call.contains("after=") && (of_kind(CONFIG_KIND) || of_kind(REPLICA_KIND))
    };
    calls.iter().filter(is_list).count()
}

/// A relay that starts beside one that reads the store takes the state over from that one.
#[test]
fn a_start_beside_a_reader_lists_nothing() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &ROUTES, &[KEY]));
        store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
        let first = BoundRelay::new("relay-1", store.clone(), bounds()).await.run();
        first.wait_ready(StatusCode::OK).await;
        let before = lists(&store);
        // Its address stands in the store, and the first one tells it of itself as it does a restarted one.
        let second = BoundRelay::new("relay-2", store.clone(), bounds()).await;
        let address = json!({"address": second.peers(), "data_centre": "hall"});
        store.put(RELAY_KIND, "relay-2", address);
        second.exchange_state(&first).await;
        let second = second.run();
        second.wait_ready(StatusCode::OK).await;
        assert_eq!(second.get("/safe/a", "a").await.status, StatusCode::OK);
        assert_eq!(lists(&store), before);
        // A newer configuration reaches it without a call of its own, too.
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(2, &[], &[KEY]));
        wait_until(async || second.get("/safe/a", "b").await.status == StatusCode::NOT_FOUND).await;
        assert_eq!(lists(&store), before);
        assert!(
            !store.calls().iter().any(|call| call.contains("POST") && call.contains("relay-2"))
        );
    });
}

/// A relay that starts while the store is away serves as its neighbour does.
#[test]
fn a_start_in_an_outage_serves_by_what_a_neighbour_holds() {
    run_test(async {
        let replica = StandinReplica::start(well).await;
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &ROUTES, &[KEY]));
        store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
        let lasting = switchfold_relay::settings::BoundSettings { revoke_ms: 60_000.0, ..bounds() };
        let first = BoundRelay::new("relay-1", store.clone(), lasting.clone()).await.run();
        first.wait_ready(StatusCode::OK).await;
        let second = BoundRelay::new("relay-2", store.clone(), lasting).await;
        store.set_behaviour(StoreBehaviour::Unavailable);
        second.exchange_state(&first).await;
        let second = second.run();
        second.wait_ready(StatusCode::OK).await;
        assert_eq!(second.get("/safe/a", "a").await.status, StatusCode::OK);
    });
}

/// A neighbour whose answers are damaged, of another relay or of another kind: the store is asked, and the
/// relay serves by it.
#[test]
fn bad_snapshots_are_dropped_and_counted() {
    let body = SnapshotBody::Replicas(Vec::new());
    let whole =
        Snapshot { teller: "relay-0".to_owned(), at: 900, proved_age: 0, answered_age: 0, body };
    let other_teller = Snapshot { teller: "relay-7".to_owned(), ..whole.clone() };
    let other_kind = Snapshot { body: SnapshotBody::Relays(Vec::new()), ..whole.clone() };
    let mut long = whole.encode();
    long.push(1);
    let cut = whole.encode()[..3].to_vec();
    let answers =
        [Vec::new(), vec![9, 9, 9], cut, long, other_teller.encode(), other_kind.encode()];
    run_test(async {
        for bytes in answers {
            let replica = StandinReplica::start(well).await;
            let store = StandinStore::start().await;
            store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &ROUTES, &[KEY]));
            store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
            let text = bytes.clone();
            let liar = StandinReplica::start(move |request: &ReceivedRequest| {
                bytes_answer(request, &text)
            })
            .await;
            let relay = BoundRelay::new("relay-1", store.clone(), bounds()).await;
            let told = tell_as_reader(liar.address(), relay.peers());
            let relay = relay.run();
            relay.wait_ready(StatusCode::OK).await;
            wait_until(async || bad_snapshots(&relay).await > 0).await;
            told.abort();
            assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK, "{bytes:?}");
        }
    });
}

/// Count of questions and answers that the relay could not read, as its metrics tell.
async fn bad_snapshots(relay: &RunningRelay) -> u64 {
    let asked = Request::get("/metrics").body(Full::default()).expect("a request");
    let text = call(relay.metrics, asked).await.body;
    let line = text.lines().find(|line| line.contains("name=\"bad_snapshots\""));
    let value = line.and_then(|line| line.split_whitespace().last());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn bytes_answer(request: &ReceivedRequest, body: &[u8]) -> Reply {
    let Reply::Bytes(whole) = signed_response(request, 200, &"x".repeat(body.len())) else {
        panic!("answers are bytes")
    };
    Reply::Bytes([&whole[..whole.len() - body.len()], body].concat())
}

/// Tells a relay again and again that one before it, at this address, reads the store.
fn tell_as_reader(from: SocketAddr, to: SocketAddr) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        let socket = UdpSocket::bind(from).await.expect("its port is free for datagrams");
        let news = StateMessage {
            name: "relay-0".to_owned(),
            data_centre: "hall".to_owned(),
            config_version: 1,
            config_age: Some(0),
            config_answer_age: Some(0),
            fleet_is_fresh: true,
            fleet_age: Some(0),
            fleet_read_age: Some(0),
            ..StateMessage::default()
        };
        let mut stamp = 0;
        loop {
            stamp += 1;
            let news = StateMessage { stamp: (1, stamp), ..news.clone() };
            let datagram = PeerMessage::State(Box::new(news)).encode();
            let _sent = socket.send_to(&datagram, to).await;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    })
}

#[test]
fn targets_are_read_as_they_are_written() {
    for kind in CallKind::ALL {
        for held in [0, 1, u64::MAX] {
            let target = snapshot_target(kind, held);
            let (path, query) = target.split_once('?').expect("a query");
            assert_eq!(parse_target(path, Some(query)), Some((kind, held)));
        }
    }
    let bad = [
        ("/snapshots/", "held=1"),
        ("/snapshots/config", "held=-1"),
        ("/snapshots/config", "x=1"),
        ("/report", "held=1"),
    ];
    for (path, query) in bad {
        assert_eq!(parse_target(path, Some(query)), None, "{path}?{query}");
    }
    assert_eq!(parse_target("/snapshots/config", None), None);
}

fn snapshot() -> impl Strategy<Value = Snapshot> {
    let body = prop_oneof![
        Just(SnapshotBody::Same),
        (any::<u64>(), any::<Vec<u8>>())
            .prop_map(|(revision, spec)| SnapshotBody::Config { revision, spec }),
        prop::collection::vec(("[a-z]{1,9}", any::<[u8; 4]>(), any::<u16>()), 0..6).prop_map(
            |relays| {
                let relays = relays.into_iter().map(|(name, ip, port)| RelayRecord {
                    name,
                    address: (ip, port).into(),
                    data_centre: "hall".to_owned(),
                });
                SnapshotBody::Relays(relays.collect())
            }
        ),
    ];
    ("[a-z-]{0,12}", any::<[u64; 3]>(), body).prop_map(|(teller, [at, proved, answered], body)| {
        Snapshot { teller, at, proved_age: proved, answered_age: answered, body }
    })
}

proptest! {
    #[test]
    fn snapshots_are_read_as_they_are_written(snapshot in snapshot()) {
        prop_assert_eq!(Snapshot::decode(&snapshot.encode()), Some(snapshot));
    }

    /// Cut short, with more behind, of another form: nothing is read, and nothing panics.
    #[test]
    fn damaged_snapshots_are_not_read(snapshot in snapshot(), cut in 1_usize..40, form in 2_u8..) {
        let whole = snapshot.encode();
        let short = &whole[..whole.len().saturating_sub(cut)];
        prop_assert_eq!(Snapshot::decode(short), None);
        let long = [whole.as_slice(), &[0]].concat();
        prop_assert_eq!(Snapshot::decode(&long), None);
        let mut other = whole;
        other[0] = form;
        prop_assert_eq!(Snapshot::decode(&other), None);
    }

    #[test]
    fn any_bytes_are_read_or_dropped(bytes in any::<Vec<u8>>()) {
        let _read = Snapshot::decode(&bytes);
    }
}

/// A state that is only borrowed is written as one that is owned.
#[test]
fn borrowed_states_have_the_same_form() {
    let news = StateMessage {
        name: "relay-1".to_owned(),
        stamp: (7, 1_000),
        reservations: ReservationReport::Group(ReservationRecord {
            memory: vec![(InstanceRecord("i-1".to_owned(), 5), 40)],
            ..ReservationRecord::default()
        }),
        stalls: vec![(InstanceRecord("i-2".to_owned(), 0), 600)],
        ..StateMessage::default()
    };
    let written = encode_state(&news);
    assert_eq!(written, PeerMessage::State(Box::new(news.clone())).encode());
    assert_eq!(PeerMessage::decode(&written), Some(PeerMessage::State(Box::new(news))));
}
