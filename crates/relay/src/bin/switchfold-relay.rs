//! The relay process.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use switchfold_kernel::{
    exit::{FAILED, OK, UNAVAILABLE, USAGE, fail},
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
/// Exit codes: 0 clean shutdown; 1 a task panicked; 2 invalid settings; 3 an address cannot be bound.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:\n  switchfold-relay --settings examples/relay.json --check"
)]
struct RelayArguments {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE", env = "SWITCHFOLD_NODE_FILE")]
    settings: PathBuf,
    /// Log level: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "info")]
    log_level: LevelFilter,
    /// Validate the settings, print all errors, and exit.
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
    let _flush_on_drop = logs::start(arguments.log_level);
    logs::log_panics();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(UNAVAILABLE, &error),
    };
    match LocalSet::new().block_on(&runtime, run(settings, arguments.settings)) {
        Ok(()) => ExitCode::from(OK),
        Err(error) => {
            tracing::error!(event = "failed", %error);
            let code = match error {
                RunError::TaskPanicked { .. } => FAILED,
                _ => UNAVAILABLE,
            };
            fail(code, &error)
        }
    }
}
