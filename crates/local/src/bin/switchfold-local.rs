//! Command-line program that runs a complete deployment in one process.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use log::LevelFilter;
use switchfold_kernel::{
    exit::{FAILED, OK, UNAVAILABLE, USAGE, fail},
    logs,
    shutdown::wait_for_stop_signal,
};
use switchfold_local::{
    LocalCluster,
    cluster::OPERATOR_TOKEN,
    profile::{LocalProfile, PROFILES, profile},
    run_experiment,
    table::render_report,
};

/// Starts entries, agents and stand-ins in one process, runs the workload and faults of a profile,
/// and prints a report.
///
/// Exit codes: 0 no violations; 1 violations; 2 invalid arguments; 3 the deployment did not start
/// or the report could not be written.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Examples:\n  switchfold-local\n  switchfold-local --profile northcatch --report report.json\n  switchfold-local --serve"
)]
struct LocalArguments {
    /// Profile of the deployment: tiny, small, northcatch or customs.
    #[arg(long, default_value = "small")]
    profile: String,
    /// Keep the deployment running without load, and print commands to try it.
    #[arg(long)]
    serve: bool,
    /// Write the report as JSON to this file, and a plot to the same path with extension svg.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Log level: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "error")]
    log_level: LevelFilter,
}

async fn serve(profile: LocalProfile) -> ExitCode {
    let cluster = match LocalCluster::start(profile).await {
        Ok(cluster) => cluster,
        Err(error) => return fail(UNAVAILABLE, &error),
    };
    let entry = &cluster.entries[0].web;
    let (event, model) = (&cluster.profile().event.name, &cluster.profile().model.name);
    println!(
        "Entries: {}",
        cluster.entries.iter().map(|entry| entry.web.as_str()).collect::<Vec<_>>().join(" ")
    );
    println!("\nA caller:");
    println!(
        "  curl -N http://{entry}/v1/completions -H 'Authorization: Bearer {}' -H 'Switchfold-Event: {event}' \\\n    -d '{{\"model\":\"{model}\",\"prompt\":\"lot 7\",\"max_tokens\":8,\"stream\":true}}'",
        cluster.tokens[0]
    );
    println!("\nAn operator:");
    println!("  switchfold-ctl ask --entry {entry} --token {OPERATOR_TOKEN} 'show placement'");
    println!("\nEnd it with Ctrl-C.");
    let _no_signals_means_stop = wait_for_stop_signal().await;
    ExitCode::from(OK)
}

async fn run(profile: LocalProfile, report_file: Option<PathBuf>) -> ExitCode {
    let result = match run_experiment(profile).await {
        Ok(result) => result,
        Err(error) => return fail(UNAVAILABLE, &error),
    };
    println!("{}", render_report(&result.report));
    if let Some(path) = report_file
        && let Err(error) = result.write(&path)
    {
        return fail(UNAVAILABLE, &format!("{}: {error}", path.display()));
    }
    let violations = result.report.violations.total();
    if violations > 0 {
        return fail(FAILED, &format!("{violations} violations; see the table"));
    }
    ExitCode::from(OK)
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = LocalArguments::parse();
    logs::start(arguments.log_level);
    let Some(profile) = profile(&arguments.profile) else {
        let error =
            format!("--profile {:?}: expected one of {}", arguments.profile, PROFILES.join(", "));
        return fail(USAGE, &error);
    };
    if arguments.serve { serve(profile).await } else { run(profile, arguments.report).await }
}
