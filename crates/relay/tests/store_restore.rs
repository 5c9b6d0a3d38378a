//! A store that is away for a moment, and comes back from a copy of before.

mod harness;

use std::{net::SocketAddr, time::Duration};

use harness::{ROUTES, RunningRelay, bounds, call, request, respond_healthy, run_test, wait_until};
use http::StatusCode;
use serde_json::Value;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, RELAY_KIND, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinReplica, StandinStore, StoreBehaviour,
    samples::{KEY, LAYERS, config, desk_entry, draining, in_data_centre, model_entry},
};
use tokio::time::sleep;

/// A key that is taken away.
const OLD_KEY: &str = "key-old";

/// Time that the store is away: less than entries need to lapse.
const AWAY: Duration = Duration::from_millis(100);

/// Time for which nothing of the copy may be believed that this relay knows to be over; the store drops entries of replicas
/// that have ended within it.
const DOUBTED: Duration = Duration::from_millis(1_500);

fn whole_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

fn registrations(store: &StandinStore) -> usize {
    let target = format!("POST /objects/{RELAY_KIND}");
    store.calls().iter().filter(|call| **call == target).count()
}

async fn comes_back(store: &StandinStore) {
    store.set_behaviour(StoreBehaviour::Unavailable);
    sleep(AWAY).await;
    store.restore_backup();
    store.set_behaviour(StoreBehaviour::Healthy);
}

/// A key is taken away, one replica leaves and one joins; then the store comes back from a copy of before all that, where
/// other changes get the same revisions. Nothing that the relay knew is undone, what comes after is heard, and the relay
/// stands in the store again.
#[test]
fn an_older_copy_undoes_nothing_that_was_known() {
    for (path, entry) in
        [("/stream/", whole_model as fn(SocketAddr) -> Value), ("/once/", desk_entry)]
    {
        run_test(async {
            let left = StandinReplica::start(respond_healthy).await;
            let joined = StandinReplica::start(respond_healthy).await;
            let last = StandinReplica::start(respond_healthy).await;
            let store = StandinStore::start().await;
            store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY, OLD_KEY]));
            store.put(REPLICA_KIND, "i-left", entry(left.address()));
            store.take_backup();
            let relay = RunningRelay::start_with_store(store, bounds()).await;
            relay.wait_ready(StatusCode::OK).await;
            let newer = config(2, &ROUTES, &[KEY]);
            relay.store.put(CONFIG_KIND, CONFIG_NAME, newer.clone());
            let near = entry(joined.address());
            relay.store.put(REPLICA_KIND, "i-joined", near.clone());
            // Its last revision is far above those that are given out again.
            for slots in 7..30 {
                let mut entry = near.clone();
                entry["slots"] = slots.into();
                relay.store.put(REPLICA_KIND, "i-joined", entry);
            }
            relay.store.remove(REPLICA_KIND, "i-left");
            let with_old_key = async |id: &str| {
                let mut asked = request(&format!("{path}{id}"), id);
                let key = format!("Bearer {OLD_KEY}").parse().expect("a value");
                asked.headers_mut().insert("authorization", key);
                call(relay.address, asked).await.status
            };
            wait_until(async || with_old_key("old").await == StatusCode::UNAUTHORIZED).await;
            wait_until(async || registrations(&relay.store) > 0).await;
            let serves = async |id: &str| {
                let called = relay.get(&format!("{path}{id}"), id).await;
                assert_eq!(called.status, StatusCode::OK, "{path}{id}");
            };
            wait_until(async || {
                relay.get(&format!("{path}first"), "first").await;
                !joined.requests().is_empty()
            })
            .await;
            let reached = left.requests().len();
            let registered = registrations(&relay.store);
            comes_back(&relay.store).await;
            let begun = std::time::Instant::now();
            let mut count = 0;
            while begun.elapsed() < DOUBTED {
                count += 1;
                assert_eq!(with_old_key(&format!("o{count}")).await, StatusCode::UNAUTHORIZED);
                serves(&format!("s{count}")).await;
                sleep(Duration::from_millis(50)).await;
                if count == 5 {
                    // What was lost is written again.
                    relay.store.put(CONFIG_KIND, CONFIG_NAME, newer.clone());
                    relay.store.put(REPLICA_KIND, "i-joined", near.clone());
                }
            }
            assert_eq!(left.requests().len(), reached, "{path}");
            relay.store.remove(REPLICA_KIND, "i-left");
            // What the store tells of the new era is heard, whatever its revisions.
            relay.store.put(REPLICA_KIND, "i-last", in_data_centre(entry(last.address()), "far"));
            relay.store.put(REPLICA_KIND, "i-joined", draining(near));
            wait_until(async || {
                serves("late").await;
                let before = joined.requests().len();
                for number in 0..5 {
                    serves(&format!("l{number}")).await;
                }
                !last.requests().is_empty() && joined.requests().len() == before
            })
            .await;
            wait_until(async || registrations(&relay.store) > registered).await;
        });
    }
}
