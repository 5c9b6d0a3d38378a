//! Tests of the platform's store through the store client.

use std::time::Duration;

use assert_matches::assert_matches;
use switchfold_core::version::ObjectKey;
use switchfold_kernel::shutdown::ShutdownSignal;
use switchfold_standin::platform::{PlatformStandin, StoreFaults, StoreRates};
use switchfold_store::{
    MAX_VALUE_BYTES, StoreClient, StoreConfig, StoreError, VmEntry, VmRole, VmState,
};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start(rates: StoreRates) -> (PlatformStandin, StoreClient) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let platform = PlatformStandin::new(rates);
    tokio::spawn(platform.clone().serve(listener, ShutdownSignal::new()));
    let config =
        StoreConfig { address, timeout: Duration::from_secs(5), process: "test".to_owned() };
    (platform, StoreClient::new(config))
}

fn key(name: &str) -> ObjectKey {
    ObjectKey::new("event", name)
}

#[tokio::test]
async fn writes_are_conditional_and_versions_increase() {
    let (_, store) = start(StoreRates::default()).await;
    assert_eq!(store.read(&key("a")).await.expect("read").version, 0);
    let first = store.write(&key("a"), 0, b"one").await.expect("created");
    assert_matches!(store.write(&key("a"), 0, b"two").await, Err(StoreError::Conflict { version }) if version == first);
    let second = store.write(&key("a"), first, b"two").await.expect("changed");
    assert!(second > first);
    assert_matches!(
        store.write(&key("a"), first, b"three").await,
        Err(StoreError::Conflict { .. })
    );
    let tombstone = store.delete(&key("a"), second).await.expect("deleted");
    let deleted = store.read(&key("a")).await.expect("read");
    assert_eq!((deleted.version, deleted.value), (tombstone, None));
    let again = store.write(&key("a"), tombstone, b"four").await.expect("created again");
    assert!(again > tombstone);
}

#[tokio::test]
async fn values_above_the_size_limit_are_not_sent() {
    let (platform, store) = start(StoreRates::default()).await;
    let large = vec![b'x'; MAX_VALUE_BYTES + 1];
    assert_matches!(store.write(&key("a"), 0, &large).await, Err(StoreError::TooLarge { .. }));
    assert_eq!(platform.calls().writes, 0);
    assert!(store.write(&key("a"), 0, &large[1..]).await.is_ok());
}

#[tokio::test]
async fn rate_limits_are_enforced_and_counted() {
    let (platform, store) = start(StoreRates { reads_per_s: 5, writes_per_s: 2 }).await;
    let mut limited = 0;
    for number in 0..10 {
        limited += u32::from(
            store.write(&key(&number.to_string()), 0, b"x").await == Err(StoreError::RateLimited),
        );
    }
    assert!(limited >= 1);
    let calls = platform.calls();
    assert_eq!(calls.writes + calls.limited, 10);
}

#[tokio::test]
async fn watches_wait_for_changes_and_reject_expired_revisions() {
    let (platform, store) = start(StoreRates { reads_per_s: 10_000, writes_per_s: 100_000 }).await;
    let version = platform.put(&key("a"), b"one");
    let batch = store.watch(&["event"], 0, TIMEOUT).await.expect("a change");
    assert_eq!(batch.changes.len(), 1);
    assert_eq!(batch.revision, version);
    let waiting = tokio::spawn({
        let store = store.clone();
        async move { store.watch(&["event"], version, TIMEOUT).await }
    });
    platform.put(&ObjectKey::new("other", "b"), b"not watched");
    platform.put(&key("c"), b"watched");
    let batch = waiting.await.expect("no panic").expect("a change");
    assert_eq!(batch.changes.iter().map(|change| change.name.as_str()).collect::<Vec<_>>(), ["c"]);
    for _ in 0..5_000 {
        platform.put(&key("a"), b"again");
    }
    assert_eq!(store.watch(&["event"], version, TIMEOUT).await, Err(StoreError::RevisionExpired));
    assert_eq!(store.list("event").await.expect("listed").changes.len(), 2);
    let empty = store
        .watch(&["event"], platform.get(&key("a")).expect("stored").version, Duration::ZERO)
        .await;
    assert_eq!(empty.expect("in time").changes, []);
}

#[tokio::test]
async fn lost_write_responses_are_resolved_by_reading_back() {
    let (platform, store) = start(StoreRates::default()).await;
    let is_own_write = |value: &[u8]| value == b"mine";
    platform.set_faults(StoreFaults { lose_responses: 1, ..StoreFaults::default() });
    assert_matches!(
        store.write(&key("plain"), 0, b"mine").await,
        Err(StoreError::OutcomeUnknown { .. })
    );
    platform.set_faults(StoreFaults { lose_responses: 1, ..StoreFaults::default() });
    let version = store
        .write_confirmed(&key("a"), 0, b"mine", TIMEOUT, is_own_write)
        .await
        .expect("confirmed");
    assert_eq!(platform.get(&key("a")).expect("written").version, version);
    // A conflicting write whose response is lost must be reported as a conflict, not as a success.
    let other = platform.put(&key("b"), b"theirs");
    platform.set_faults(StoreFaults { lose_responses: 1, ..StoreFaults::default() });
    let conflicting_write =
        store.write_confirmed(&key("b"), 0, b"mine", TIMEOUT, is_own_write).await;
    assert_eq!(conflicting_write, Err(StoreError::Conflict { version: other }));
}

#[tokio::test]
async fn calls_fail_during_an_outage_and_succeed_afterwards() {
    let (platform, store) = start(StoreRates::default()).await;
    platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    assert_matches!(store.write(&key("a"), 0, b"x").await, Err(StoreError::Unavailable { .. }));
    assert_matches!(store.read(&key("a")).await, Err(StoreError::Unavailable { .. }));
    let short = Duration::from_millis(60);
    let failed_write =
        store.write_confirmed(&key("a"), 0, b"x", short, |value| value == b"x").await;
    assert_matches!(failed_write, Err(StoreError::Unavailable { .. }));
    assert!(platform.get(&key("a")).is_none());
    let pending_write = tokio::spawn({
        let store = store.clone();
        async move { store.write_confirmed(&key("a"), 0, b"x", TIMEOUT, |value| value == b"x").await }
    });
    tokio::task::yield_now().await;
    platform.set_faults(StoreFaults::default());
    assert!(pending_write.await.expect("no panic").is_ok());
}

#[tokio::test]
async fn vm_list_has_states_and_a_revision() {
    let (platform, store) = start(StoreRates::default()).await;
    platform.set_vm(VmEntry {
        name: "engine-1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "here".to_owned(),
        role: VmRole::Endpoint,
        state: VmState::Live,
    });
    let before = store.list_vms().await.expect("listed");
    platform.set_leaving("engine-1");
    let after = store.list_vms().await.expect("listed");
    assert!(after.revision > before.revision);
    assert_eq!(after.vms[0].state, VmState::Leaving);
    platform.remove_vm("engine-1");
    assert!(store.list_vms().await.expect("listed").vms.is_empty());
}
