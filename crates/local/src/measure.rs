//! Measurements of what control costs, at several sizes, so that slopes can be drawn.
//!
//! Bytes are those that the loopback device carried, headers of all layers included; processor time
//! and memory are the system's accounts of this whole process. All of it runs in this process, so a
//! slope between two sizes is what one more entry, agent or link costs.

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

/// Size of a deployment that serves nobody.
#[derive(Clone, Copy, Debug)]
pub struct IdleSize {
    /// Entries.
    pub entries: usize,
    /// Agents, each with an engine.
    pub agents: usize,
    /// Organisations that are configured.
    pub organisations: u32,
}

/// What control costs while nobody asks anything.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleCost {
    /// Entries.
    pub entries: usize,
    /// Agents.
    pub agents: usize,
    /// Links between them.
    pub links: usize,
    /// Organisations that are configured.
    pub organisations: u32,
    /// Bytes a second over loopback, both directions of every connection.
    pub bytes_per_s: f64,
    /// Share of one core, of all together.
    pub core_share: f64,
    /// Resident memory in megabytes, of all together.
    pub rss_mb: f64,
    /// Calls of the store a second, watches included.
    pub store_calls_per_s: f64,
}

/// How a change of configuration spread.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SpreadCost {
    /// Entries.
    pub entries: usize,
    /// Milliseconds until half of the entries had it in force.
    pub half_ms: u64,
    /// Milliseconds until all had.
    pub all_ms: u64,
    /// Watches at the store at once.
    pub watches: u64,
    /// Bytes a second of each entry, while nothing changes.
    pub bytes_per_s_each: f64,
}

/// What claims cost.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ClaimCost {
    /// Keyed requests a second that were offered.
    pub offered_per_s: u64,
    /// Claims that were granted.
    pub granted: u64,
    /// Claims that the store gave no answer for in time.
    pub unavailable: u64,
    /// Writes a second at the store.
    pub writes_per_s: f64,
    /// Kilobytes a second written to the store.
    pub written_kb_per_s: f64,
    /// Half of the claims took at most so many milliseconds.
    pub p50_ms: f64,
    /// 95 in 100.
    pub p95_ms: f64,
}

/// Time for links and configuration to settle before measuring.
const SETTLE: Duration = Duration::from_secs(3);

/// Measures a deployment that serves nobody.
///
/// # Errors
///
/// Fails where the deployment does not start.
pub async fn measure_idle(size: IdleSize, time: Duration) -> Result<IdleCost, ClusterError> {
    let IdleSize { entries, agents, organisations } = size;
    let cluster = start(size).await?;
    sleep(SETTLE).await;
    let (calls, bytes, usage) = (cluster.platform.calls(), loopback_bytes(), process_usage());
    sleep(time).await;
    let (calls_after, bytes_after, usage_after) =
        (cluster.platform.calls(), loopback_bytes(), process_usage());
    let seconds = time.as_secs_f64();
    let all = |calls: switchfold_standin::platform::StoreCalls| {
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
        store_calls_per_s: (all(calls_after) - all(calls)) as f64 / seconds,
    })
}

async fn start(size: IdleSize) -> Result<LocalCluster, ClusterError> {
    let Some(mut idle) = profile("small") else {
        return Err(ClusterError::NoVm { name: "small".to_owned() });
    };
    idle.entries = size.entries;
    idle.workload.organisations = size.organisations;
    idle.services.clear();
    let pattern = idle.engines.clone();
    idle.engines = (0..size.agents)
        .map(|number| {
            let mut vm = pattern[number % pattern.len()].clone();
            vm.name = format!("engine-{number}");
            vm
        })
        .collect();
    LocalCluster::start(idle).await
}

/// How often each entry is asked whether it has the change.
const ASK_EVERY: Duration = Duration::from_millis(20);

/// Changes an event at one entry and times how long each entry takes to have it in force.
///
/// # Errors
///
/// Fails where the deployment does not start, or the change is refused.
pub async fn measure_spread(entries: usize) -> Result<SpreadCost, ClusterError> {
    let cluster = start(IdleSize { entries, agents: 0, organisations: 10 }).await?;
    sleep(SETTLE).await;
    let before = loopback_bytes();
    let quiet = Duration::from_secs(5);
    let watches_before = cluster.platform.calls().watches;
    sleep(quiet).await;
    let bytes = (loopback_bytes() - before) as f64 / quiet.as_secs_f64() / entries as f64;
    let watches = cluster.platform.calls().watches - watches_before;
    let first = cluster.entries[0].web.clone();
    let start = Instant::now();
    cluster.statement(&first, r#"set event "dawn" expected_per_s 4242"#).await?;
    let mut asked = JoinSet::new();
    for entry in cluster.entries.clone() {
        asked.spawn(async move {
            let http = HttpClient::new(Duration::from_secs(5), 1 << 20);
            loop {
                let seen =
                    send_statement(&http, &entry.web, "show events where expected_per_s = 4242")
                        .await;
                if seen.is_ok_and(|table| !table.rows.is_empty()) {
                    return start.elapsed().as_millis() as u64;
                }
                sleep(ASK_EVERY).await;
            }
        });
    }
    let mut times = asked.join_all().await;
    times.sort_unstable();
    let half_ms = times[times.len() / 2];
    let all_ms = times[times.len() - 1];
    Ok(SpreadCost { entries, half_ms, all_ms, watches, bytes_per_s_each: bytes })
}

/// Claims keys at a rate, over a store with its usual limits.
///
/// # Errors
///
/// Fails where the system gives no socket.
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
            let asked = Instant::now();
            let state = claim_locally(&claims, AcquireClaim { proposal, timeout }).await;
            (state, asked.elapsed().as_micros() as u64)
        });
    }
    let answers = calls.join_all().await;
    let seconds = start.elapsed().as_secs_f64();
    let granted = answers.iter().filter(|(state, _)| *state == ClaimState::Granted).count() as u64;
    let mut times: Vec<u64> = answers.iter().map(|(_, micros)| *micros).collect();
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize] as f64 / 1e3;
    Ok(ClaimCost {
        offered_per_s,
        granted,
        unavailable: answers.len() as u64 - granted,
        writes_per_s: platform.calls().writes as f64 / seconds,
        written_kb_per_s: (loopback_bytes() - before) as f64 / seconds / 1e3,
        p50_ms: at(0.5),
        p95_ms: at(0.95),
    })
}
