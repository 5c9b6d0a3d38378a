//! Snapshots of the store between neighbours: they replace calls to the store, and invalid ones are
//! dropped.

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

fn respond_ok(request: &ReceivedRequest) -> Reply {
    signed_response(request, 200, "well")
}

/// Number of lists that relays have read from the store so far, of the kinds that are followed.
fn list_count(store: &StandinStore) -> usize {
    let calls = store.calls();
    let is_list = |call: &&String| {
        let of_kind = |kind| call.contains(&format!("/objects/{kind}?"));
        call.contains("after=") && (of_kind(CONFIG_KIND) || of_kind(REPLICA_KIND))
    };
    calls.iter().filter(is_list).count()
}

/// A relay that starts next to one that reads the store gets its state from that one.
#[test]
fn a_relay_that_starts_beside_a_reader_lists_nothing() {
    run_test(async {
        let replica = StandinReplica::start(respond_ok).await;
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &ROUTES, &[KEY]));
        store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
        let first = BoundRelay::new("relay-1", store.clone(), bounds()).await.run();
        first.wait_ready(StatusCode::OK).await;
        let before = list_count(&store);
        // Its object is in the store, as that of a restarted relay would be, and the first relay
        // sends it its state.
        let second = BoundRelay::new("relay-2", store.clone(), bounds()).await;
        let address = json!({"address": second.peers(), "data_centre": "hall"});
        store.put(RELAY_KIND, "relay-2", address);
        second.exchange_state(&first).await;
        let second = second.run();
        second.wait_ready(StatusCode::OK).await;
        assert_eq!(second.get("/safe/a", "a").await.status, StatusCode::OK);
        assert_eq!(list_count(&store), before);
        // It also gets a newer configuration without a call of its own.
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(2, &[], &[KEY]));
        wait_until(async || second.get("/safe/a", "b").await.status == StatusCode::NOT_FOUND).await;
        assert_eq!(list_count(&store), before);
        assert!(
            !store.calls().iter().any(|call| call.contains("POST") && call.contains("relay-2"))
        );
    });
}

/// A relay that starts during an outage of the store serves with the state of its neighbour.
#[test]
fn a_relay_that_starts_in_an_outage_uses_its_neighbours_state() {
    run_test(async {
        let replica = StandinReplica::start(respond_ok).await;
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &ROUTES, &[KEY]));
        store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
        let long_lease =
            switchfold_relay::settings::BoundSettings { revoke_ms: 60_000.0, ..bounds() };
        let first = BoundRelay::new("relay-1", store.clone(), long_lease.clone()).await.run();
        first.wait_ready(StatusCode::OK).await;
        let second = BoundRelay::new("relay-2", store.clone(), long_lease).await;
        store.set_behaviour(StoreBehaviour::Unavailable);
        second.exchange_state(&first).await;
        let second = second.run();
        second.wait_ready(StatusCode::OK).await;
        assert_eq!(second.get("/safe/a", "a").await.status, StatusCode::OK);
    });
}

/// A neighbour sends snapshots that are damaged, from another relay or of another kind: the relay
/// must drop them, read the store instead, and serve.
#[test]
fn bad_snapshots_are_dropped_and_counted() {
    let body = SnapshotBody::Replicas(Vec::new());
    let valid =
        Snapshot { source: "relay-0".to_owned(), at: 900, proved_age: 0, answered_age: 0, body };
    let other_source = Snapshot { source: "relay-7".to_owned(), ..valid.clone() };
    let other_kind = Snapshot { body: SnapshotBody::Relays(Vec::new()), ..valid.clone() };
    let mut extended = valid.encode();
    extended.push(1);
    let truncated = valid.encode()[..3].to_vec();
    let responses = [
        Vec::new(),
        vec![9, 9, 9],
        truncated,
        extended,
        other_source.encode(),
        other_kind.encode(),
    ];
    run_test(async {
        for bytes in responses {
            let replica = StandinReplica::start(respond_ok).await;
            let store = StandinStore::start().await;
            store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &ROUTES, &[KEY]));
            store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
            let body = bytes.clone();
            let faulty_peer = StandinReplica::start(move |request: &ReceivedRequest| {
                bytes_response(request, &body)
            })
            .await;
            let relay = BoundRelay::new("relay-1", store.clone(), bounds()).await;
            let sender = send_state_as_reader(faulty_peer.address(), relay.peers());
            let relay = relay.run();
            relay.wait_ready(StatusCode::OK).await;
            wait_until(async || bad_snapshot_count(&relay).await > 0).await;
            sender.abort();
            assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK, "{bytes:?}");
        }
    });
}

/// Number of snapshot requests and responses that the relay could not read, by its metrics.
async fn bad_snapshot_count(relay: &RunningRelay) -> u64 {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let text = call(relay.metrics, request).await.body;
    let line = text.lines().find(|line| line.contains("name=\"bad_snapshots\""));
    let value = line.and_then(|line| line.split_whitespace().last());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn bytes_response(request: &ReceivedRequest, body: &[u8]) -> Reply {
    let Reply::Bytes(response) = signed_response(request, 200, &"x".repeat(body.len())) else {
        panic!("responses are bytes")
    };
    Reply::Bytes([&response[..response.len() - body.len()], body].concat())
}

/// Sends a relay the state of a preceding relay at `from` that reads the store, every 20 ms.
fn send_state_as_reader(from: SocketAddr, to: SocketAddr) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        let socket = UdpSocket::bind(from).await.expect("its port is free for datagrams");
        let message = StateMessage {
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
            let message = StateMessage { stamp: (1, stamp), ..message.clone() };
            let datagram = PeerMessage::State(Box::new(message)).encode();
            let _sent = socket.send_to(&datagram, to).await;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    })
}

#[test]
fn parsing_a_target_inverts_formatting_it() {
    for kind in CallKind::ALL {
        for held in [0, 1, u64::MAX] {
            let target = snapshot_target(kind, held);
            let (path, query) = target.split_once('?').expect("a query");
            assert_eq!(parse_target(path, Some(query)), Some((kind, held)));
        }
    }
    let invalid = [
        ("/snapshots/", "held=1"),
        ("/snapshots/config", "held=-1"),
        ("/snapshots/config", "x=1"),
        ("/report", "held=1"),
    ];
    for (path, query) in invalid {
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
    ("[a-z-]{0,12}", any::<[u64; 3]>(), body).prop_map(|(source, [at, proved, answered], body)| {
        Snapshot { source, at, proved_age: proved, answered_age: answered, body }
    })
}

proptest! {
    #[test]
    fn decoding_a_snapshot_inverts_encoding_it(snapshot in snapshot()) {
        prop_assert_eq!(Snapshot::decode(&snapshot.encode()), Some(snapshot));
    }

    /// Truncated snapshots, ones with trailing bytes and ones of another format version are
    /// rejected without a panic.
    #[test]
    fn damaged_snapshots_are_rejected(snapshot in snapshot(), cut in 1_usize..40, version in 2_u8..) {
        let valid = snapshot.encode();
        let truncated = &valid[..valid.len().saturating_sub(cut)];
        prop_assert_eq!(Snapshot::decode(truncated), None);
        let extended = [valid.as_slice(), &[0]].concat();
        prop_assert_eq!(Snapshot::decode(&extended), None);
        let mut other_version = valid;
        other_version[0] = version;
        prop_assert_eq!(Snapshot::decode(&other_version), None);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in any::<Vec<u8>>()) {
        let _decoded = Snapshot::decode(&bytes);
    }
}

/// [`encode_state`] and [`PeerMessage::encode`] write the same bytes.
#[test]
fn borrowed_states_have_the_same_encoding() {
    let message = StateMessage {
        name: "relay-1".to_owned(),
        stamp: (7, 1_000),
        reservations: ReservationReport::Group(ReservationRecord {
            memory: vec![(InstanceRecord("i-1".to_owned(), 5), 40)],
            ..ReservationRecord::default()
        }),
        stalls: vec![(InstanceRecord("i-2".to_owned(), 0), 600)],
        ..StateMessage::default()
    };
    let encoded = encode_state(&message);
    assert_eq!(encoded, PeerMessage::State(Box::new(message.clone())).encode());
    assert_eq!(PeerMessage::decode(&encoded), Some(PeerMessage::State(Box::new(message))));
}
