//! Objects that another writer left in the store: each is left out, and nothing else is.

mod harness;

use harness::{ROUTES, RunningRelay, bounds, entry_of, respond_healthy, run_test, wait_until};
use http::StatusCode;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, QUARANTINE_KIND, RELAY_KIND, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinReplica, StandinStore,
    samples::{KEY, config, desk_entry},
};

/// Kinds of objects that relays list.
const KINDS: [&str; 4] = [CONFIG_KIND, REPLICA_KIND, RELAY_KIND, QUARANTINE_KIND];

/// Size of an object that fills a page of a list alone.
const PAGE_BYTES: usize = (1 << 20) - 1_000;

/// Contents that cannot be decoded, of any size.
fn unreadable_specs(bytes: usize) -> [String; 4] {
    [
        format!("{}{}", "[".repeat(bytes / 2), "]".repeat(bytes / 2)),
        format!(r#"{{"slots":{}}}"#, "9".repeat(bytes)),
        format!(r#"{{"service":"desk","a":"{}"}}"#, "\\ud800".repeat(bytes / 6)),
        format!(r#"{{"slots":NaN,"a":"{}"}}"#, "x".repeat(bytes)),
    ]
}

/// Starts a store with a configuration and a replica.
async fn start_store() -> (StandinStore, StandinReplica) {
    let store = StandinStore::start().await;
    store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
    let replica = StandinReplica::start(respond_healthy).await;
    let (id, entry) = entry_of("i-1", &replica, desk_entry);
    store.put(REPLICA_KIND, id, entry);
    (store, replica)
}

/// Checks that a relay becomes ready and serves.
async fn check_starts(store: StandinStore) {
    let relay = RunningRelay::start_with_store(store, bounds()).await;
    relay.wait_ready(StatusCode::OK).await;
    assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK);
}

/// Guards against a list that ended at a page without readable objects: no relay that started
/// became ready.
#[test]
fn a_page_of_unreadable_objects_does_not_end_a_list() {
    for (number, spec) in unreadable_specs(PAGE_BYTES).into_iter().enumerate() {
        run_test(async move {
            let (store, _replica) = start_store().await;
            KINDS.iter().for_each(|kind| store.put_text(kind, &format!("a-{number}"), &spec));
            check_starts(store).await;
        });
    }
}

/// Guards against a list that could not be continued after a name that is no part of a URI.
#[test]
fn a_list_continues_after_any_name() {
    for name in ["a b", "a&more=1", "a#", "a%zz", "a/../main", "\u{1F41F}\u{65E5}", "a\"\\", " "] {
        run_test(async move {
            let (store, _replica) = start_store().await;
            let spec = format!("\"{}\"", "x".repeat(PAGE_BYTES));
            KINDS.iter().for_each(|kind| store.put_text(kind, name, &spec));
            check_starts(store).await;
        });
    }
}

/// Guards against an unreadable object beside the configuration, which kept the configuration in
/// force unconfirmed until the next list.
#[test]
fn an_unreadable_object_beside_the_configuration_changes_nothing() {
    run_test(async {
        let (store, _replica) = start_store().await;
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        relay.wait_ready(StatusCode::OK).await;
        for spec in unreadable_specs(1_000) {
            relay.store.put_text(CONFIG_KIND, "other", &spec);
        }
        // The lease that began before has ended by then.
        let end = tokio::time::Instant::now() + std::time::Duration::from_millis(6_000);
        wait_until(async || {
            assert_eq!(relay.get("/safe/a", "a").await.status, StatusCode::OK);
            tokio::time::Instant::now() > end
        })
        .await;
    });
}

/// A replica whose entry was replaced by an unreadable one gets no new requests until it writes its
/// own again.
#[test]
fn a_replica_whose_entry_was_replaced_is_kept_and_returns() {
    for spec in unreadable_specs(1_000) {
        run_test(async {
            let (store, replaced) = start_store().await;
            let other = StandinReplica::start(respond_healthy).await;
            let (id, entry) = entry_of("i-2", &other, desk_entry);
            store.put(REPLICA_KIND, id, entry);
            let relay = RunningRelay::start_with_store(store, bounds()).await;
            relay.wait_ready(StatusCode::OK).await;
            relay.store.put_text(REPLICA_KIND, "i-1", &spec);
            let mut number = 0;
            wait_until(async || {
                let before = replaced.requests().len();
                for _ in 0..6 {
                    number += 1;
                    let called = relay.get("/safe/a", &format!("a{number}")).await;
                    assert_eq!(called.status, StatusCode::OK);
                }
                replaced.requests().len() == before
            })
            .await;
            relay.store.put(REPLICA_KIND, "i-1", desk_entry(replaced.address()));
            let before = replaced.requests().len();
            wait_until(async || {
                number += 1;
                relay.get("/safe/a", &format!("a{number}")).await;
                replaced.requests().len() > before
            })
            .await;
        });
    }
}
