//! The fault soak as a command-line program.

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
    cluster::ClusterConfig,
    crowd::{CrowdSize, run_crowd},
    measure::{SCENARIO_HEADER, Scenario, measure_silence},
    plan::ClusterSize,
    recovery::run_recovery,
    replica::{ReplicaArguments, run_replica},
    run::{SoakReport, run_seed},
    shape::{LARGE_SHAPE, QUICK_SHAPE},
};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code if at least one guarantee was violated.
const EXIT_VIOLATION: u8 = 1;

/// Exit code if a run could not be carried out.
const EXIT_RUN_FAILED: u8 = 3;

/// Injects randomized faults into relays that run as processes, and checks the relay's guarantees.
///
/// Exit codes: 0 no violations; 1 violations, logs kept; 2 invalid arguments; 3 a run could not be
/// carried out.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example:\n  switchfold-soak run --seed 1 --seeds 50 --jobs 3")]
struct SoakArguments {
    #[command(subcommand)]
    verb: SoakCommand,
}

#[derive(Debug, Subcommand)]
enum SoakCommand {
    /// Runs seeds and reports violated guarantees.
    Run(RunArguments),
    /// Measures how many callers are served, and in time, while sound replicas are silent for a second
    /// or two. Writes a table.
    Silence(RunArguments),
    /// Lets relays, replicas and the store lose power, and reports the share of calls that is served in
    /// each second after their return.
    Recover(RunArguments),
    /// Hands most new connections to one relay, and reports the share of requests that is served at the
    /// first attempt which a relay read, in each second.
    Crowd(CrowdArguments),
    /// Runs one stand-in replica. The soak starts these processes itself.
    Replica(ReplicaArguments),
}

#[derive(Debug, Args)]
struct RunArguments {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// File of seeds to run instead: the first word of each line. Other lines are ignored.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["seed", "seeds"])]
    seed_file: Option<PathBuf>,
    /// Seconds during which faults are injected in each run.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Number of runs at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Number of relays.
    #[arg(long, default_value_t = 4)]
    relays: usize,
    /// Number of engines.
    #[arg(long, default_value_t = 8)]
    engines: usize,
    /// Number of replicas of the plain (non-streaming) service.
    #[arg(long, default_value_t = 3)]
    desks: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 16)]
    callers: usize,
    /// Use three data centres, and engines that load a large model in seconds.
    #[arg(long)]
    large: bool,
    /// Relay program. Defaults to `switchfold-relay` in the directory of this program.
    #[arg(long, value_name = "FILE")]
    relay: Option<PathBuf>,
    /// Directory for settings and logs.
    #[arg(long, value_name = "FOLDER", default_value = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Args)]
struct CrowdArguments {
    #[command(flatten)]
    run: RunArguments,
    /// Callers that are added while the crowd lasts.
    #[arg(long, default_value_t = 16)]
    added_callers: usize,
    /// Share of a processor core that each relay gets. Defaults to as much as it uses.
    #[arg(long)]
    processor_share: Option<f64>,
}

impl RunArguments {
    fn seeds(&self) -> io::Result<Vec<u64>> {
        let Some(file) = &self.seed_file else {
            return Ok((self.seed..self.seed + self.seeds).collect());
        };
        let text = std::fs::read_to_string(file)?;
        let parse_seed =
            |line: &str| line.split_whitespace().next().and_then(|word| word.parse().ok());
        Ok(text.lines().filter_map(parse_seed).collect())
    }

    /// Returns the programs and the size of a cluster with an empty directory of this name.
    fn cluster_config(&self, name: &str, soak_program: &Path) -> io::Result<ClusterConfig> {
        let folder = self.folder.join(name);
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(&folder)?;
        let default_relay = soak_program.with_file_name("switchfold-relay");
        Ok(ClusterConfig {
            size: ClusterSize {
                relays: self.relays,
                engines: self.engines,
                desks: self.desks,
                callers: self.callers,
            },
            shape: if self.large { LARGE_SHAPE } else { QUICK_SHAPE },
            relay: self.relay.clone().unwrap_or(default_relay),
            replica: soak_program.to_owned(),
            folder,
        })
    }

    async fn run_one(&self, seed: u64, soak_program: &Path) -> io::Result<SoakReport> {
        let config = self.cluster_config(&format!("seed-{seed}"), soak_program)?;
        let folder = config.folder.clone();
        let report = run_seed(seed, Duration::from_secs(self.seconds), config).await?;
        if !report.needs_logs() {
            std::fs::remove_dir_all(&folder)?;
        }
        Ok(report)
    }
}

/// Completes a run, or fails on SIGTERM or SIGINT. Dropping the run kills all its processes.
async fn stop_on_signal<T>(run: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        outcome = run => outcome,
        _ = term.recv() => Err(io::Error::other("stopped by SIGTERM")),
        _ = interrupt.recv() => Err(io::Error::other("interrupted")),
    }
}

async fn run(arguments: RunArguments) -> io::Result<bool> {
    let soak_program = std::env::current_exe()?;
    let seeds = arguments.seeds()?;
    let runs = seeds.into_iter().map(|seed| arguments.run_one(seed, &soak_program));
    let mut reports = stream::iter(runs).buffer_unordered(arguments.jobs.max(1));
    let (mut passed, mut failed) = (0, 0);
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    while let Some(report) = reports.next().await {
        let report = report?;
        print_report(&report, &arguments.folder);
        report
            .outcomes
            .iter()
            .for_each(|(outcome, count)| *outcomes.entry(outcome.clone()).or_default() += count);
        match report.violations.is_empty() {
            true => passed += 1,
            false => failed += 1,
        }
    }
    for (outcome, count) in outcomes {
        println!("{count:8} {outcome}");
    }
    println!("{passed} seeds without a broken promise, {failed} with");
    Ok(failed == 0)
}

/// Measures every scenario with every seed, and writes a line for each.
async fn measure(arguments: RunArguments) -> io::Result<()> {
    let soak_program = std::env::current_exe()?;
    println!("{SCENARIO_HEADER}");
    let length = Duration::from_secs(arguments.seconds);
    let seeds = arguments.seeds()?;
    let runs = Scenario::ALL.into_iter().flat_map(|scenario| {
        let (arguments, soak_program) = (&arguments, &soak_program);
        seeds.iter().map(move |seed| async move {
            let config = arguments.cluster_config(&format!("{scenario}-{seed}"), soak_program)?;
            measure_silence(*seed, scenario, length, config).await
        })
    });
    let mut results = stream::iter(runs).buffered(arguments.jobs.max(1));
    while let Some(result) = results.next().await {
        println!("{}", result?);
    }
    Ok(())
}

/// Runs the losses of all seeds, and returns whether no guarantee was violated.
async fn recover(arguments: RunArguments) -> io::Result<bool> {
    let soak_program = std::env::current_exe()?;
    let runs = arguments.seeds()?.into_iter().map(|seed| {
        let (arguments, soak_program) = (&arguments, &soak_program);
        async move {
            let config = arguments.cluster_config(&format!("loss-{seed}"), soak_program)?;
            let folder = config.folder.clone();
            let report = run_recovery(seed, config).await?;
            if report.violations.is_empty() {
                std::fs::remove_dir_all(&folder)?;
            }
            io::Result::Ok(report)
        }
    });
    let mut reports = stream::iter(runs).buffer_unordered(arguments.jobs.max(1));
    let (mut passed, mut failed) = (0, 0);
    while let Some(report) = reports.next().await {
        let report = report?;
        println!("{report}");
        if report.violations.is_empty() { passed += 1 } else { failed += 1 }
    }
    println!("{passed} losses without a broken promise, {failed} with");
    Ok(failed == 0)
}

/// Runs the crowds of all seeds, and returns whether no guarantee was violated.
async fn crowd(arguments: CrowdArguments) -> io::Result<bool> {
    let soak_program = std::env::current_exe()?;
    let CrowdArguments { run, added_callers: callers, processor_share } = arguments;
    let size = CrowdSize { callers, length: Duration::from_secs(run.seconds), processor_share };
    let mut is_clean = true;
    for seed in run.seeds()? {
        let config = run.cluster_config(&format!("crowd-{seed}"), &soak_program)?;
        let report = run_crowd(seed, size, config).await?;
        println!("{report}");
        is_clean &= report.violations.is_empty();
    }
    Ok(is_clean)
}

fn print_report(report: &SoakReport, folder: &Path) {
    let calls: usize = report.outcomes.values().sum();
    let (after, served) = report.after_faults;
    println!(
        "seed {}: {} faults, {calls} calls, {served} of {after} served after them, {} broken",
        report.seed,
        report.faults,
        report.violations.len()
    );
    for (outcome, count) in &report.unserved {
        println!("    not served: {count} {outcome}");
    }
    for violation in &report.violations {
        println!("    {violation}");
    }
    if report.needs_logs() {
        println!("    logs in {}", folder.join(format!("seed-{}", report.seed)).display());
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let outcome = match SoakArguments::parse().verb {
        SoakCommand::Run(arguments) => stop_on_signal(run(arguments)).await,
        SoakCommand::Silence(arguments) => stop_on_signal(measure(arguments)).await.map(|()| true),
        SoakCommand::Recover(arguments) => stop_on_signal(recover(arguments)).await,
        SoakCommand::Crowd(arguments) => stop_on_signal(crowd(arguments)).await,
        SoakCommand::Replica(arguments) => run_replica(arguments).await.map(|()| true),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATION),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_RUN_FAILED)
        }
    }
}
