//! Experiments: a deployment is started, put under load with faults, and a report is made.

use std::{collections::BTreeMap, fs, path::Path, sync::Arc};

use serde::{Deserialize, Serialize};
use switchfold_core::path::PathPolicy;
use switchfold_kernel::clock::now_millis;
use switchfold_load::{
    CallerTarget, ControlUse, DriveConfig, LoadReport, PlannedFault, ReportInput, StoreUse,
    Violations, Workload, build_report, drive, plot_svg, schedule,
};
use tokio::sync::Mutex;

use crate::{
    ClusterError, LocalCluster,
    checks::{VersionWatch, check_run_logs, count_late_requests, repeated_work},
    faults::{SharedCluster, inject_faults},
    profile::{LocalProfile, profile, throughput_bound},
    usage::{loopback_bytes, process_usage},
};

/// An experiment, as read from a file under `experiments/`: a profile and values that override it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the profile, one of [`PROFILES`](crate::profile::PROFILES).
    pub profile: String,
    /// Overrides the workload.
    #[serde(default)]
    pub workload: Option<Workload>,
    /// Overrides the planned faults.
    #[serde(default)]
    pub faults: Option<Vec<PlannedFault>>,
    /// Overrides the path policy.
    #[serde(default)]
    pub policy: Option<PathPolicy>,
    /// Overrides the share of slots reserved for replacing lost stages, in percent.
    #[serde(default)]
    pub reserve_hundredths: Option<u32>,
    /// Overrides the target number of steps at each engine, in percent of a full batch.
    #[serde(default)]
    pub target_hundredths: Option<u32>,
    /// Overrides the time without messages after which a busy agent counts as lost.
    #[serde(default)]
    pub silence_ms: Option<u64>,
    /// Factor by which the request rates of the workload are multiplied.
    #[serde(default)]
    pub rate_factor: Option<f64>,
    /// Overrides the seed of the workload.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct ExperimentResult {
    /// Measurements and violations.
    pub report: LoadReport,
    /// SVG plot of the token rate; empty if it could not be drawn.
    pub plot: String,
}

impl ExperimentResult {
    /// Writes the report as JSON to `path`, and the plot to the same path with the extension `svg`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let json = serde_json::to_vec_pretty(&self.report)?;
        fs::write(path, json)?;
        fs::write(path.with_extension("svg"), &self.plot)
    }
}

impl Experiment {
    /// Returns the profile with the overrides applied, or `None` if the profile does not exist.
    pub fn resolve(&self) -> Option<LocalProfile> {
        let mut resolved = profile(&self.profile)?;
        if let Some(workload) = &self.workload {
            resolved.workload = workload.clone();
        }
        if let Some(faults) = &self.faults {
            resolved.faults.clone_from(faults);
        }
        if let Some(policy) = self.policy {
            resolved.tuning.policy = policy;
        }
        if let Some(reserve) = self.reserve_hundredths {
            resolved.tuning.reserve_hundredths = reserve;
        }
        if let Some(target) = self.target_hundredths {
            resolved.tuning.target_hundredths = target;
        }
        if let Some(silence) = self.silence_ms {
            resolved.tuning.silence_ms = silence;
        }
        if let Some(factor) = self.rate_factor {
            resolved.workload.surge_per_s *= factor;
            resolved.workload.steady_per_s *= factor;
        }
        if let Some(seed) = self.seed {
            resolved.workload.seed = seed;
        }
        Some(resolved)
    }
}

/// Starts the deployment of a profile, runs its workload while injecting its faults, and checks the
/// results.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub async fn run_experiment(profile: LocalProfile) -> Result<ExperimentResult, ClusterError> {
    let cluster = LocalCluster::start(profile).await?;
    let profile = cluster.profile().clone();
    let config = DriveConfig {
        layers: profile.model.layers,
        target: CallerTarget {
            entries: cluster.entries.iter().map(|entry| entry.web.clone()).collect(),
            tokens: cluster.tokens.clone(),
        },
        progress: true,
    };
    let entries = cluster.entries.clone();
    let arrivals = schedule(&profile.workload);
    let shared: SharedCluster = Arc::new(Mutex::new(cluster));
    let (before, bytes_before) = (process_usage(), loopback_bytes());
    let started = now_millis();
    let fault_injection =
        tokio::spawn(inject_faults(Arc::clone(&shared), profile.faults.clone(), started));
    let version_watch = VersionWatch::start(entries);
    let late_requests =
        tokio::spawn(count_late_requests(Arc::clone(&shared), profile.faults.clone(), started));
    let record = drive(config, profile.workload.clone(), arrivals.clone()).await;
    let elapsed = (now_millis() - started) as f64 / 1e3;
    let after = process_usage();
    let faults = fault_injection.await.unwrap_or_default();
    let config_reverted = version_watch.finish().await;
    let work_to_leaving = late_requests.await.unwrap_or_default();
    let cluster = shared.lock().await;
    let standin_violations = Violations {
        config_reverted,
        work_to_leaving,
        ..check_run_logs(&cluster, &profile, &arrivals, &record)
    };
    let usage = ControlUse {
        bytes_per_s: (loopback_bytes() - bytes_before) as f64 / elapsed,
        core_share: (after.core_seconds - before.core_seconds) / elapsed,
        rss_mb: after.resident_mb,
    };
    let calls = cluster.platform.calls();
    let input = ReportInput {
        bound_tokens_per_s: throughput_bound(
            &profile.engines,
            &profile.workload,
            profile.model.layers,
        ),
        standin_violations,
        store_calls: StoreUse {
            reads: calls.reads,
            writes: calls.writes,
            watches: calls.watches,
            limited: calls.limited,
        },
        control: BTreeMap::from([("whole process, load included".to_owned(), usage)]),
        repeated_work: repeated_work(&cluster, &profile, &record, &arrivals),
        faults,
    };
    let report = build_report(&profile.workload, &record, &input);
    let plot = plot_svg(&record, input.bound_tokens_per_s, &input.faults).unwrap_or_default();
    Ok(ExperimentResult { report, plot })
}
