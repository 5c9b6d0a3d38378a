//! The fault soak as a program.

use std::{
    collections::BTreeMap,
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::{Args, Parser, Subcommand};
use futures_util::{StreamExt, stream};
use switchfold_soak::{
    plan::SiteShape,
    replica::{ReplicaArguments, run_replica},
    run::{SoakReport, run_seed},
    site::SiteConfig,
};

use tokio::signal::unix::{SignalKind, signal};

/// Exit code where a promise was broken.
const BROKEN: u8 = 1;

/// Exit code where a run could not be made.
const NOT_RUN: u8 = 3;

/// Randomized faults on relays that run as processes.
///
/// Exit codes: 0 no promise broken; 1 some were, and the logs are kept; 2 wrong arguments; 3 a run could not
/// be made.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example:\n  switchfold-soak run --seed 1 --seeds 50 --jobs 3")]
struct SoakArguments {
    #[command(subcommand)]
    verb: SoakVerb,
}

#[derive(Debug, Subcommand)]
enum SoakVerb {
    /// Runs seeds and tells which promises were broken.
    Run(RunArguments),
    /// Runs one stand-in replica; the soak starts these itself.
    Replica(ReplicaArguments),
}

#[derive(Debug, Args)]
struct RunArguments {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Count of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// File with seeds to run instead, one at the beginning of each line.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["seed", "seeds"])]
    seed_file: Option<PathBuf>,
    /// Seconds with faults in each run.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Runs at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Relays.
    #[arg(long, default_value_t = 4)]
    relays: usize,
    /// Engines.
    #[arg(long, default_value_t = 8)]
    engines: usize,
    /// Replicas of the plain service.
    #[arg(long, default_value_t = 3)]
    desks: usize,
    /// Callers.
    #[arg(long, default_value_t = 16)]
    callers: usize,
    /// Program of the relay; beside this one where it is not given.
    #[arg(long, value_name = "FILE")]
    relay: Option<PathBuf>,
    /// Folder for settings and logs.
    #[arg(long, value_name = "FOLDER", default_value = "target/soak")]
    folder: PathBuf,
}

impl RunArguments {
    fn seeds(&self) -> io::Result<Vec<u64>> {
        let Some(file) = &self.seed_file else {
            return Ok((self.seed..self.seed + self.seeds).collect());
        };
        let text = std::fs::read_to_string(file)?;
        let first = |line: &str| line.split_whitespace().next().and_then(|word| word.parse().ok());
        Ok(text.lines().filter_map(first).collect())
    }

    async fn run_one(&self, seed: u64, own: &Path) -> io::Result<SoakReport> {
        let folder = self.folder.join(format!("seed-{seed}"));
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(&folder)?;
        let beside = own.with_file_name("switchfold-relay");
        let config = SiteConfig {
            shape: SiteShape {
                relays: self.relays,
                engines: self.engines,
                desks: self.desks,
                callers: self.callers,
            },
            relay: self.relay.clone().unwrap_or(beside),
            replica: own.to_owned(),
            folder: folder.clone(),
        };
        let report = run_seed(seed, Duration::from_secs(self.seconds), config).await?;
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        }
        Ok(report)
    }
}

/// Runs until the end or a signal; dropping the runs ends all their processes.
async fn run_until_told(arguments: RunArguments) -> io::Result<bool> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        outcome = run(arguments) => outcome,
        _ = term.recv() => Err(io::Error::other("told to end")),
        _ = interrupt.recv() => Err(io::Error::other("interrupted")),
    }
}

async fn run(arguments: RunArguments) -> io::Result<bool> {
    let own = std::env::current_exe()?;
    let seeds = arguments.seeds()?;
    let runs = seeds.into_iter().map(|seed| arguments.run_one(seed, &own));
    let mut reports = stream::iter(runs).buffer_unordered(arguments.jobs.max(1));
    let (mut well, mut broken) = (0, 0);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    while let Some(report) = reports.next().await {
        let report = report?;
        print_report(&report, &arguments.folder);
        report.ends.iter().for_each(|(end, count)| *ends.entry(end.clone()).or_default() += count);
        match report.violations.is_empty() {
            true => well += 1,
            false => broken += 1,
        }
    }
    for (end, count) in ends {
        println!("{count:8} {end}");
    }
    println!("{well} seeds without a broken promise, {broken} with");
    Ok(broken == 0)
}

fn print_report(report: &SoakReport, folder: &Path) {
    let calls: usize = report.ends.values().sum();
    let (after, served) = report.after_faults;
    println!(
        "seed {}: {} faults, {calls} calls, {served} of {after} served after them, {} broken",
        report.seed,
        report.faults,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("    {violation}");
    }
    if !report.violations.is_empty() {
        println!("    logs in {}", folder.join(format!("seed-{}", report.seed)).display());
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let outcome = match SoakArguments::parse().verb {
        SoakVerb::Run(arguments) => run_until_told(arguments).await,
        SoakVerb::Replica(arguments) => run_replica(arguments).await.map(|()| true),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
