//! Checks that need data from inside the deployment: the run logs of the stand-ins are compared
//! with the outcomes that callers received.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use switchfold_kernel::{clock::now_millis, http::HttpClient};
use switchfold_load::{
    Arrival, CallRecord, CheckedOutcome, FaultKind, PlannedFault, RunRecord, Violations, WorkKind,
};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    LocalCluster,
    cluster::{EntryHandle, send_statement},
    faults::SharedCluster,
    profile::LocalProfile,
};

/// Grace period after a VM was marked as leaving or stopped; requests that it accepts later are
/// violations.
const LEAVING_GRACE_MS: u64 = 3_000;

/// Interval at which the effective configuration versions are read from every entry.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Compares the run logs of engines and services with the outcomes that callers recorded.
pub(crate) fn check_run_logs(
    cluster: &LocalCluster,
    profile: &LocalProfile,
    arrivals: &[Arrival],
    record: &RunRecord,
) -> Violations {
    let by_number: HashMap<usize, &Arrival> =
        arrivals.iter().map(|arrival| (arrival.number, arrival)).collect();
    let layer_order = cluster.engines.values().map(|handle| handle.log.step_errors()).sum();
    let mut violations = Violations { layer_order, ..Violations::default() };
    for call in &record.calls {
        let Some(arrival) = by_number.get(&call.number) else {
            continue;
        };
        let class = &profile.workload.classes[call.class];
        let runs = match &class.work {
            WorkKind::Completion { .. } => prompt_runs(cluster, &arrival.prompt),
            WorkKind::Call { .. } => service_runs(cluster, arrival),
        };
        // A resent request has the key of its original and is counted with it.
        if class.once && call.resend_of.is_none() && runs > 1 {
            violations.double_run += 1;
        }
        let reported_not_run =
            matches!(call.outcome, CheckedOutcome::NotRun | CheckedOutcome::Unreached);
        if reported_not_run && runs > 0 && !ran_with_same_key(record, call, arrival, &by_number) {
            violations.false_not_run += 1;
        }
    }
    violations
}

/// Returns whether another request with the same idempotency key may have caused the run.
fn ran_with_same_key(
    record: &RunRecord,
    call: &CallRecord,
    arrival: &Arrival,
    by_number: &HashMap<usize, &Arrival>,
) -> bool {
    let Some(key) = &arrival.key else {
        return false;
    };
    record.calls.iter().any(|other| {
        let same_key =
            by_number.get(&other.number).is_some_and(|arrival| arrival.key.as_ref() == Some(key));
        let may_have_run = matches!(other.outcome, CheckedOutcome::Done | CheckedOutcome::Unknown);
        other.number != call.number && same_key && may_have_run
    })
}

fn prompt_runs(cluster: &LocalCluster, prompt: &[u32]) -> u64 {
    cluster.engines.values().map(|handle| u64::from(handle.log.prompt_runs(prompt))).sum()
}

fn service_runs(cluster: &LocalCluster, arrival: &Arrival) -> u64 {
    let body = switchfold_load::call_body(arrival);
    cluster.services.values().map(|service| service.runs(&body)).sum()
}

/// Returns the ratio of superfluous to necessary positions run by engines; 0.1 means that 10 % more
/// was computed than the delivered tokens required.
pub(crate) fn repeated_work(
    cluster: &LocalCluster,
    profile: &LocalProfile,
    record: &RunRecord,
    arrivals: &[Arrival],
) -> f64 {
    let prompts: HashMap<usize, usize> =
        arrivals.iter().map(|arrival| (arrival.number, arrival.prompt.len())).collect();
    let needed: usize = record
        .calls
        .iter()
        .filter(|call| call.max_tokens > 0 && !call.tokens_at.is_empty())
        .map(|call| prompts.get(&call.number).copied().unwrap_or(0) + call.tokens_at.len() - 1)
        .sum();
    let model_layers = f64::from(profile.model.layers);
    // A position at one engine runs only that engine's share of the model's layers.
    let ran: f64 = cluster
        .engines
        .values()
        .map(|handle| {
            let engine = &handle.spec.engine;
            let share = f64::from(engine.end_layer - engine.first_layer) / model_layers;
            handle.log.positions() as f64 * share
        })
        .sum();
    if needed == 0 { 0.0 } else { (ran / needed as f64 - 1.0).max(0.0) }
}

/// Counts the requests that engine VMs accepted later than [`LEAVING_GRACE_MS`] after they were
/// marked as leaving or stopped.
pub(crate) async fn count_late_requests(
    cluster: SharedCluster,
    faults: Vec<PlannedFault>,
    started: u64,
) -> u64 {
    // For each VM, the number of requests that it had accepted at the end of its grace period.
    let mut requests_before: Vec<(String, u64)> = Vec::new();
    for planned in faults {
        let (FaultKind::Leave { vm } | FaultKind::Stop { vm }) = planned.fault else {
            continue;
        };
        let due = started + planned.at_ms + LEAVING_GRACE_MS;
        sleep(Duration::from_millis(due.saturating_sub(now_millis()))).await;
        if let Some(handle) = cluster.lock().await.engines.get(&vm) {
            requests_before.push((vm, handle.log.started_requests()));
        }
    }
    // Leaves time for requests that are wrongly still sent to the VM.
    sleep(Duration::from_secs(1)).await;
    let cluster = cluster.lock().await;
    let late = requests_before
        .iter()
        .filter_map(|(vm, before)| Some(cluster.engines.get(vm)?.log.started_requests() - before));
    late.sum()
}

/// Background task that polls the configuration versions of every entry and counts decreases.
pub(crate) struct VersionWatch {
    task: JoinHandle<()>,
    reverted: Arc<AtomicU64>,
}

impl VersionWatch {
    pub(crate) fn start(entries: Vec<EntryHandle>) -> Self {
        let reverted = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(watch_versions(entries, Arc::clone(&reverted)));
        Self { task, reverted }
    }

    pub(crate) async fn finish(self) -> u64 {
        self.task.abort();
        self.reverted.load(Ordering::Relaxed)
    }
}

async fn watch_versions(entries: Vec<EntryHandle>, reverted: Arc<AtomicU64>) {
    let http = HttpClient::new(Duration::from_secs(2), 16 << 20);
    let mut highest_versions: BTreeMap<(String, String), u64> = BTreeMap::new();
    loop {
        for entry in &entries {
            // A stopped entry has no configuration in force that could be reverted.
            let Ok(table) = send_statement(&http, &entry.web, "show config").await else {
                continue;
            };
            for row in table.rows {
                let [kind, name, version, _] = row.as_slice() else {
                    continue;
                };
                let version: u64 = version.parse().unwrap_or(0);
                let highest = highest_versions
                    .entry((entry.name.clone(), format!("{kind}/{name}")))
                    .or_default();
                if version < *highest {
                    reverted.fetch_add(1, Ordering::Relaxed);
                }
                *highest = (*highest).max(version);
            }
        }
        sleep(VERSION_POLL_INTERVAL).await;
    }
}
