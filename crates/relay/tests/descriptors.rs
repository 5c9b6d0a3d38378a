//! A relay that has no descriptor left. It runs as a process, whose descriptors are limited.

mod harness;

use harness::{
    ONCE, bounds, call_on, open_client, relay_process::RelayProcess, request, respond_healthy,
    run_test, try_call, wait_until,
};
use http::StatusCode;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinReplica, StandinStore,
    samples::{self, KEY, desk_entry},
};
use tokio::net::TcpStream;

/// Descriptors that the process can open.
const MAX_OPEN: usize = 48;

/// Guards against a relay that suspects its replicas since it has no descriptor to reach them.
#[test]
fn a_relay_without_descriptors_suspects_no_replica() {
    run_test(async {
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &[ONCE], &[KEY]));
        let replica = StandinReplica::start(respond_healthy).await;
        store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
        let relay = RelayProcess::start_limited(&store, "descriptors", &bounds(), MAX_OPEN).await;
        let mut kept = open_client(relay.callers).await;
        let mut call_kept =
            async |id: &str| call_on(&mut kept, id).await.expect("the connection is kept");
        wait_until(async || call_kept("before").await == StatusCode::OK).await;
        let mut silent = Vec::new();
        for _ in 0..MAX_OPEN * 2 {
            silent.push(TcpStream::connect(relay.callers).await.expect("the relay listens"));
        }
        wait_until(async || !relay.events("accept-failed").is_empty()).await;
        let beside = call_kept("beside").await;
        assert!([200, 502, 503].contains(&beside.as_u16()), "{beside}");
        let suspected = relay.events("suspect");
        assert!(suspected.is_empty(), "{beside}: {suspected:?}");
        drop(silent);
        wait_until(async || {
            let response = try_call(relay.callers, request("/once/a", "after")).await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        })
        .await;
    });
}
