//! The relay as a program.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use switchfold_kernel::{
    exit::{OK, UNAVAILABLE, USAGE, fail},
    settings::load_settings,
    shutdown::shutdown_on_signal,
};
use switchfold_relay::{
    logs,
    run::{RelaySockets, RunError, run_relay},
    settings::RelaySettings,
};
use tokio::task::LocalSet;
use tracing::level_filters::LevelFilter;

/// Entry for platforms whose engines chain pipelines themselves.
///
/// Exit codes: 0 stopped in order; 2 wrong settings; 3 an address is not to be had.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:\n  switchfold-relay --settings examples/relay.json --check"
)]
struct RelayArguments {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE", env = "SWITCHFOLD_NODE_FILE")]
    settings: PathBuf,
    /// Level of the log: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "info")]
    log_level: LevelFilter,
    /// Check the settings, print every fault, and stop.
    #[arg(long)]
    check: bool,
}

async fn run(settings: RelaySettings, file: PathBuf) -> Result<(), RunError> {
    let sockets = RelaySockets::bind(&settings).await?;
    run_relay(settings, sockets, Some(file), shutdown_on_signal()).await
}

fn main() -> ExitCode {
    let arguments = RelayArguments::parse();
    let settings: RelaySettings = match load_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(USAGE, &error),
    };
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return ExitCode::from(OK);
    }
    let _written_at_the_end = logs::start(arguments.log_level);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(UNAVAILABLE, &error),
    };
    match LocalSet::new().block_on(&runtime, run(settings, arguments.settings)) {
        Ok(()) => ExitCode::from(OK),
        Err(error) => fail(UNAVAILABLE, &error),
    }
}
