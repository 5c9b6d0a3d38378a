//! Command-line program that runs experiments from files and measures the control plane's overhead.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::{Parser, Subcommand};
use log::LevelFilter;
use serde::Serialize;
use switchfold_kernel::{
    exit::{FAILED, OK, UNAVAILABLE, USAGE, fail},
    logs,
};
use switchfold_local::{
    ClusterError, Experiment,
    compare::compare_policies,
    measure::{IdleSize, measure_claims, measure_idle, measure_propagation},
    profile::PROFILES,
    run_experiment,
    table::render_report,
};

/// Runs experiments and measurements on one machine.
///
/// Exit codes: 0 no violations; 1 violations; 2 invalid arguments or file; 3 the deployment did not
/// start or the report could not be written.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Examples:\n  switchfold-load run experiments/stage-killed.json --report report.json\n  switchfold-load idle --entries 3 --agents 40\n  switchfold-load spread --entries 30\n  switchfold-load claims --per-s 1000"
)]
struct LoadArguments {
    #[command(subcommand)]
    action: LoadAction,
    /// Log level: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "error", global = true)]
    log_level: LevelFilter,
}

#[derive(Debug, Subcommand)]
enum LoadAction {
    /// Run an experiment: start a deployment, apply load and faults, and print a report.
    Run {
        /// Experiment file in JSON.
        #[arg(value_name = "FILE")]
        experiment: PathBuf,
        /// Write the report as JSON to this file, and a plot to the same path with extension svg.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        /// Seed that overrides the one in the file.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Measure the overhead of a deployment without load.
    Idle {
        /// Number of entries.
        #[arg(long, default_value_t = 3)]
        entries: usize,
        /// Number of agents, each with an engine.
        #[arg(long, default_value_t = 40)]
        agents: usize,
        /// Number of configured organisations.
        #[arg(long, default_value_t = 10)]
        organisations: u32,
        /// Duration of the measurement in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Measure how fast a configuration change propagates to all entries.
    Spread {
        /// Number of entries.
        #[arg(long, default_value_t = 30)]
        entries: usize,
    },
    /// Compare path policies in a queueing model of batch servers.
    Policies {
        /// Number of seeds; they are 1, 2, and so on.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Number of replicas of each of the three stages.
        #[arg(long, default_value_t = 16)]
        replicas: usize,
    },
    /// Measure throughput and latency of claims of idempotency keys.
    Claims {
        /// Claims per second.
        #[arg(long, default_value_t = 1_000)]
        per_s: u64,
        /// Duration of the measurement in seconds.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
}

fn read(path: &Path, seed: Option<u64>) -> Result<Experiment, String> {
    let name = path.display();
    let text = fs::read(path).map_err(|error| format!("{name}: {error}"))?;
    let mut experiment: Experiment =
        serde_json::from_slice(&text).map_err(|error| format!("{name}: {error}"))?;
    experiment.seed = seed.or(experiment.seed);
    Ok(experiment)
}

async fn run(path: &Path, report: Option<&Path>, seed: Option<u64>) -> ExitCode {
    let experiment = match read(path, seed) {
        Ok(experiment) => experiment,
        Err(error) => return fail(USAGE, &error),
    };
    let Some(profile) = experiment.resolve() else {
        let error =
            format!("profile {:?}: expected one of {}", experiment.profile, PROFILES.join(", "));
        return fail(USAGE, &error);
    };
    let result = match run_experiment(profile).await {
        Ok(result) => result,
        Err(error) => return fail(UNAVAILABLE, &error),
    };
    println!("{}", render_report(&result.report));
    if let Some(path) = report
        && let Err(error) = result.write(path)
    {
        return fail(UNAVAILABLE, &format!("{}: {error}", path.display()));
    }
    if result.report.violations.total() > 0 { ExitCode::from(FAILED) } else { ExitCode::from(OK) }
}

fn print<T: Serialize>(measured: Result<T, ClusterError>) -> ExitCode {
    match measured {
        Ok(cost) => {
            println!("{}", serde_json::to_string(&cost).unwrap_or_default());
            ExitCode::from(OK)
        }
        Err(error) => fail(UNAVAILABLE, &error),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = LoadArguments::parse();
    logs::start(arguments.log_level);
    match arguments.action {
        LoadAction::Run { experiment, report, seed } => {
            run(&experiment, report.as_deref(), seed).await
        }
        LoadAction::Idle { entries, agents, organisations, seconds } => {
            let size = IdleSize { entries, agents, organisations };
            print(measure_idle(size, Duration::from_secs(seconds)).await)
        }
        LoadAction::Spread { entries } => print(measure_propagation(entries).await),
        LoadAction::Policies { seeds, replicas } => {
            println!("{}", compare_policies(seeds, replicas));
            ExitCode::from(OK)
        }
        LoadAction::Claims { per_s, seconds } => {
            print(measure_claims(per_s, Duration::from_secs(seconds)).await)
        }
    }
}
