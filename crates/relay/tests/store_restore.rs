//! The store is unavailable for a moment and is restored from an older backup.

mod harness;

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use harness::{
    BoundRelay, ROUTES, RunningRelay, bounds, call, request, respond_healthy, run_test, wait_until,
};
use http::StatusCode;
use serde_json::Value;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, RELAY_KIND, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinReplica, StandinStore, StoreBehaviour,
    samples::{KEY, LAYERS, config, desk_entry, draining, in_data_centre, model_entry},
};
use switchfold_relay::messages::{PeerMessage, StateMessage};
use tokio::{
    net::UdpSocket,
    time::{interval, sleep},
};

/// A key that is revoked.
const REVOKED_KEY: &str = "key-old";

/// Duration of the store's outage: shorter than the time after which missing entries expire.
const OUTAGE: Duration = Duration::from_millis(100);

/// Duration of an outage in which entries may expire.
const EXPIRING_OUTAGE: Duration = Duration::from_millis(1_500);

/// Time after the restore during which the relay must not apply entries of the backup that it knows
/// to be outdated. The store removes the entries of ended replicas within this time.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(1_500);

fn all_layers_entry(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

fn registration_count(store: &StandinStore) -> usize {
    let target = format!("POST /objects/{RELAY_KIND}");
    store.calls().iter().filter(|call| **call == target).count()
}

async fn restore_after_outage(store: &StandinStore) {
    store.set_behaviour(StoreBehaviour::Unavailable);
    sleep(OUTAGE).await;
    store.restore_backup();
    store.set_behaviour(StoreBehaviour::Healthy);
}

/// Guards against a restored store undoing what a relay already knew.
///
/// A key is revoked, one replica leaves and one joins; then the store is restored from a backup of
/// before that, and reuses the same revisions for other changes. The relay must keep what it knew,
/// apply later changes, and write its own object again.
#[test]
fn a_restored_backup_undoes_nothing_that_the_relay_knew() {
    for (path, entry) in
        [("/stream/", all_layers_entry as fn(SocketAddr) -> Value), ("/once/", desk_entry)]
    {
        run_test(async {
            let left = StandinReplica::start(respond_healthy).await;
            let joined = StandinReplica::start(respond_healthy).await;
            let last = StandinReplica::start(respond_healthy).await;
            let store = StandinStore::start().await;
            store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY, REVOKED_KEY]));
            store.put(REPLICA_KIND, "i-left", entry(left.address()));
            store.take_backup();
            let relay = RunningRelay::start_with_store(store, bounds()).await;
            relay.wait_ready(StatusCode::OK).await;
            let new_config = config(2, &ROUTES, &[KEY]);
            relay.store.put(CONFIG_KIND, CONFIG_NAME, new_config.clone());
            let joined_entry = entry(joined.address());
            relay.store.put(REPLICA_KIND, "i-joined", joined_entry.clone());
            // Its last revision is far above those that are reused after the restore.
            for slots in 7..30 {
                let mut entry = joined_entry.clone();
                entry["slots"] = slots.into();
                relay.store.put(REPLICA_KIND, "i-joined", entry);
            }
            relay.store.remove(REPLICA_KIND, "i-left");
            let status_of_revoked_key = async |id: &str| {
                let mut request = request(&format!("{path}{id}"), id);
                let key = format!("Bearer {REVOKED_KEY}").parse().expect("a value");
                request.headers_mut().insert("authorization", key);
                call(relay.address, request).await.status
            };
            wait_until(async || status_of_revoked_key("old").await == StatusCode::UNAUTHORIZED)
                .await;
            wait_until(async || registration_count(&relay.store) > 0).await;
            let assert_served = async |id: &str| {
                let result = relay.get(&format!("{path}{id}"), id).await;
                assert_eq!(result.status, StatusCode::OK, "{path}{id}");
            };
            wait_until(async || {
                relay.get(&format!("{path}first"), "first").await;
                !joined.requests().is_empty()
            })
            .await;
            let left_requests = left.requests().len();
            let registered_before = registration_count(&relay.store);
            restore_after_outage(&relay.store).await;
            let restored_at = std::time::Instant::now();
            let mut count = 0;
            while restored_at.elapsed() < UNCONFIRMED_TIME {
                count += 1;
                assert_eq!(
                    status_of_revoked_key(&format!("o{count}")).await,
                    StatusCode::UNAUTHORIZED
                );
                assert_served(&format!("s{count}")).await;
                sleep(Duration::from_millis(50)).await;
                if count == 5 {
                    // The operator and the replica write again what was lost.
                    relay.store.put(CONFIG_KIND, CONFIG_NAME, new_config.clone());
                    relay.store.put(REPLICA_KIND, "i-joined", joined_entry.clone());
                }
            }
            assert_eq!(left.requests().len(), left_requests, "{path}");
            relay.store.remove(REPLICA_KIND, "i-left");
            // Changes of the new era are applied, whatever their revisions.
            relay.store.put(REPLICA_KIND, "i-last", in_data_centre(entry(last.address()), "far"));
            relay.store.put(REPLICA_KIND, "i-joined", draining(joined_entry));
            wait_until(async || {
                assert_served("late").await;
                let before = joined.requests().len();
                for number in 0..5 {
                    assert_served(&format!("l{number}")).await;
                }
                !last.requests().is_empty() && joined.requests().len() == before
            })
            .await;
            wait_until(async || registration_count(&relay.store) > registered_before).await;
        });
    }
}

/// Guards against a relay that started from a restored store, took the older configuration there for
/// the current one and accepted a removed key, beside relays that held the newer one.
#[test]
fn a_relay_that_starts_from_a_restored_store_accepts_no_removed_key() {
    for data_centre in ["hall", "far"] {
        run_test(async {
            let replica = StandinReplica::start(respond_healthy).await;
            let store = StandinStore::start().await;
            store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY, REVOKED_KEY]));
            store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
            let holder = RunningRelay::start_with_store(store.clone(), bounds()).await;
            holder.wait_ready(StatusCode::OK).await;
            wait_until(async || registration_count(&store) > 0).await;
            sleep(OUTAGE).await;
            store.take_backup();
            let new_config = config(2, &ROUTES, &[KEY]);
            store.put(CONFIG_KIND, CONFIG_NAME, new_config.clone());
            let status = async |relay: &RunningRelay, key: &str, id: &str| {
                let mut request = request(&format!("/once/{id}"), id);
                let key = format!("Bearer {key}").parse().expect("a value");
                request.headers_mut().insert("authorization", key);
                call(relay.address, request).await.status
            };
            wait_until(async || {
                status(&holder, REVOKED_KEY, "held").await == StatusCode::UNAUTHORIZED
            })
            .await;
            restore_after_outage(&store).await;

            let started =
                BoundRelay::new_in(data_centre, "relay-2", store.clone(), bounds()).await.run();
            let started_at = std::time::Instant::now();
            let mut count = 0;
            while started_at.elapsed() < UNCONFIRMED_TIME {
                count += 1;
                let refused = status(&started, REVOKED_KEY, &format!("o{count}")).await;
                assert_ne!(refused, StatusCode::OK, "{data_centre}: request {count}");
                sleep(Duration::from_millis(20)).await;
            }
            store.put(CONFIG_KIND, CONFIG_NAME, new_config);
            wait_until(async || status(&started, KEY, "valid").await == StatusCode::OK).await;
            let refused = status(&started, REVOKED_KEY, "last").await;
            assert_eq!(refused, StatusCode::UNAUTHORIZED);
        });
    }
}

/// Guards against replicas that stayed unlisted after a restore because other relays remembered an
/// expiry as a leaving: the message of the expiry must say so.
#[test]
fn other_relays_learn_that_an_entry_has_expired() {
    run_test(async {
        let replica = StandinReplica::start(respond_healthy).await;
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
        store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        relay.wait_ready(StatusCode::OK).await;
        let peer = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
        let message = StateMessage {
            name: "relay-9".to_owned(),
            data_centre: "hall".to_owned(),
            ..StateMessage::default()
        };
        let state = PeerMessage::State(Box::new(message)).encode();
        relay.store.set_behaviour(StoreBehaviour::Unavailable);
        sleep(EXPIRING_OUTAGE).await;
        relay.store.remove(REPLICA_KIND, "i-1");
        relay.store.compact();
        relay.store.set_behaviour(StoreBehaviour::Healthy);
        let mut state_interval = interval(Duration::from_millis(100));
        let mut datagram = vec![0; 65_536];
        let reported = loop {
            tokio::select! {
                _ = state_interval.tick() => {
                    peer.send_to(&state, relay.peers).await.expect("loopback accepts it");
                }
                received = peer.recv_from(&mut datagram) => {
                    let (length, _) = received.expect("the socket is bound");
                    match PeerMessage::decode(&datagram[..length]) {
                        Some(PeerMessage::State(_)) => {}
                        other => break other,
                    }
                }
            }
        };
        assert_matches!(reported, Some(PeerMessage::Expiry(message)) if message.changes.len() == 1);
    });
}
