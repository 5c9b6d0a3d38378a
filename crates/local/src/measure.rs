//! Measurements of the control plane's overhead at different deployment sizes.
//!
//! Bytes are counted at the loopback device and include the headers of all protocol layers.
//! Processor time and memory are those of this process, which runs the complete deployment. The
//! slope between two sizes is the cost of one additional entry, agent or link.

use std::time::Duration;

use serde::Serialize;
use switchfold_core::{
    claim::{ClaimKey, ClaimProposal},
    id::RequestId,
};
use switchfold_entry::claims::{AcquireClaim, ClaimService, ClaimState, claim_locally};
use switchfold_kernel::{http::HttpClient, shutdown::ShutdownSignal};
use switchfold_standin::platform::PlatformStandin;
use switchfold_store::{StoreClient, StoreConfig};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use xtra::Mailbox;

use crate::{
    ClusterError, LocalCluster,
    cluster::send_statement,
    profile::profile,
    usage::{loopback_bytes, process_usage},
};

/// Size of a deployment without load.
#[derive(Clone, Copy, Debug)]
pub struct IdleSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with an engine.
    pub agents: usize,
    /// Number of configured organisations.
    pub organisations: u32,
}

/// Overhead of the control plane in a deployment without load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleCost {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of links between entries and agents.
    pub links: usize,
    /// Number of configured organisations.
    pub organisations: u32,
    /// Bytes per second over loopback, both directions of every connection.
    pub bytes_per_s: f64,
    /// Processor use of the complete deployment; 1.0 is one core.
    pub core_share: f64,
    /// Resident memory of the complete deployment in megabytes.
    pub rss_mb: f64,
    /// Store calls per second, watches included.
    pub store_calls_per_s: f64,
}

/// Time and overhead of the propagation of a configuration change.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PropagationCost {
    /// Number of entries.
    pub entries: usize,
    /// Milliseconds until half of the entries had applied the change.
    pub half_ms: u64,
    /// Milliseconds until all entries had applied the change.
    pub all_ms: u64,
    /// Watch calls at the store during the 5 s without changes.
    pub watches: u64,
    /// Bytes per second and entry while nothing changes.
    pub bytes_per_s_each: f64,
}

/// Throughput and latency of claims of idempotency keys.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ClaimCost {
    /// Offered claims per second.
    pub offered_per_s: u64,
    /// Claims that were granted.
    pub granted: u64,
    /// Claims that were not granted within the timeout of 2 s.
    pub unavailable: u64,
    /// Writes per second at the store.
    pub writes_per_s: f64,
    /// Kilobytes per second over loopback.
    pub written_kb_per_s: f64,
    /// Median of the claim latency in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the claim latency in milliseconds.
    pub p95_ms: f64,
}

/// Waiting time before a measurement, in which links are opened and the configuration is loaded.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Measures the overhead of a deployment without load over `time`.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub async fn measure_idle(size: IdleSize, time: Duration) -> Result<IdleCost, ClusterError> {
    let IdleSize { entries, agents, organisations } = size;
    let cluster = start(size).await?;
    sleep(SETTLE_TIME).await;
    let (calls, bytes, usage) = (cluster.platform.calls(), loopback_bytes(), process_usage());
    sleep(time).await;
    let (calls_after, bytes_after, usage_after) =
        (cluster.platform.calls(), loopback_bytes(), process_usage());
    let seconds = time.as_secs_f64();
    let total = |calls: switchfold_standin::platform::StoreCalls| {
        calls.reads + calls.writes + calls.watches
    };
    Ok(IdleCost {
        entries,
        agents,
        links: entries * agents,
        organisations,
        bytes_per_s: (bytes_after - bytes) as f64 / seconds,
        core_share: (usage_after.core_seconds - usage.core_seconds) / seconds,
        rss_mb: usage_after.resident_mb,
        store_calls_per_s: (total(calls_after) - total(calls)) as f64 / seconds,
    })
}

async fn start(size: IdleSize) -> Result<LocalCluster, ClusterError> {
    let Some(mut idle) = profile("small") else {
        return Err(ClusterError::UnknownVm { name: "small".to_owned() });
    };
    idle.entries = size.entries;
    idle.workload.organisations = size.organisations;
    idle.services.clear();
    let templates = idle.engines.clone();
    idle.engines = (0..size.agents)
        .map(|number| {
            let mut vm = templates[number % templates.len()].clone();
            vm.name = format!("engine-{number}");
            vm
        })
        .collect();
    LocalCluster::start(idle).await
}

/// Interval at which each entry is polled for the change.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Changes an event at one entry and measures how long each entry takes to apply the change.
///
/// # Errors
///
/// Returns an error if the deployment does not start or the change is refused.
pub async fn measure_propagation(entries: usize) -> Result<PropagationCost, ClusterError> {
    let cluster = start(IdleSize { entries, agents: 0, organisations: 10 }).await?;
    sleep(SETTLE_TIME).await;
    let before = loopback_bytes();
    let idle_time = Duration::from_secs(5);
    let watches_before = cluster.platform.calls().watches;
    sleep(idle_time).await;
    let bytes = (loopback_bytes() - before) as f64 / idle_time.as_secs_f64() / entries as f64;
    let watches = cluster.platform.calls().watches - watches_before;
    let first = cluster.entries[0].web.clone();
    let start = Instant::now();
    cluster.statement(&first, r#"set event "dawn" expected_per_s 4242"#).await?;
    let mut polls = JoinSet::new();
    for entry in cluster.entries.clone() {
        polls.spawn(async move {
            let http = HttpClient::new(Duration::from_secs(5), 1 << 20);
            loop {
                let matching =
                    send_statement(&http, &entry.web, "show events where expected_per_s = 4242")
                        .await;
                if matching.is_ok_and(|table| !table.rows.is_empty()) {
                    return start.elapsed().as_millis() as u64;
                }
                sleep(POLL_INTERVAL).await;
            }
        });
    }
    let mut times = polls.join_all().await;
    times.sort_unstable();
    let half_ms = times[times.len() / 2];
    let all_ms = times[times.len() - 1];
    Ok(PropagationCost { entries, half_ms, all_ms, watches, bytes_per_s_each: bytes })
}

/// Claims new keys at a constant rate for `time`, with a store that has the default rate limits.
///
/// # Errors
///
/// Returns an error if no socket can be opened.
pub async fn measure_claims(offered_per_s: u64, time: Duration) -> Result<ClaimCost, ClusterError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let platform = PlatformStandin::default();
    tokio::spawn(platform.clone().serve(listener, ShutdownSignal::new()));
    let timeout = Duration::from_secs(2);
    let store = StoreClient::new(StoreConfig { address, timeout, process: "bench".to_owned() });
    let claims = xtra::spawn_tokio(ClaimService::new(store), Mailbox::unbounded());
    let total = offered_per_s * time.as_secs();
    let start = Instant::now();
    let before = loopback_bytes();
    let mut calls = JoinSet::new();
    for number in 0..total {
        sleep_until(start + Duration::from_micros(number * 1_000_000 / offered_per_s)).await;
        let claims = claims.clone();
        calls.spawn(async move {
            let proposal = ClaimProposal {
                key: ClaimKey::new("org", &number.to_string()),
                request: RequestId { incarnation: 1, counter: number },
                entry: "entry-0".to_owned(),
                replaces: None,
            };
            let sent = Instant::now();
            let state = claim_locally(&claims, AcquireClaim { proposal, timeout }).await;
            (state, sent.elapsed().as_micros() as u64)
        });
    }
    let results = calls.join_all().await;
    let seconds = start.elapsed().as_secs_f64();
    let granted = results.iter().filter(|(state, _)| *state == ClaimState::Granted).count() as u64;
    let mut times: Vec<u64> = results.iter().map(|(_, micros)| *micros).collect();
    times.sort_unstable();
    let percentile_ms =
        |share: f64| times[((times.len() - 1) as f64 * share) as usize] as f64 / 1e3;
    Ok(ClaimCost {
        offered_per_s,
        granted,
        unavailable: results.len() as u64 - granted,
        writes_per_s: platform.calls().writes as f64 / seconds,
        written_kb_per_s: (loopback_bytes() - before) as f64 / seconds / 1e3,
        p50_ms: percentile_ms(0.5),
        p95_ms: percentile_ms(0.95),
    })
}
