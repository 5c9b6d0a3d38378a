//! Command-line program of the entry.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use log::LevelFilter;
use switchfold_entry::{EntryError, EntrySockets, run_entry, settings::EntrySettings};
use switchfold_kernel::{
    exit::{OK, UNAVAILABLE, USAGE, fail},
    listen::bind,
    logs,
    settings::load_settings,
    shutdown::shutdown_on_signal,
};

/// Entry between callers, operators and agents.
///
/// Exit codes: 0 shut down as requested; 2 invalid settings; 3 an address is unavailable.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:\n  switchfold-entry --settings examples/northcatch/entry-winnipeg.json"
)]
struct EntryArguments {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Level of the log: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "info")]
    log_level: LevelFilter,
    /// Check the settings, print every error, and exit.
    #[arg(long)]
    check: bool,
}

async fn run(settings: EntrySettings) -> Result<(), EntryError> {
    let web = bind(&settings.listen).await?;
    let peer = bind(&settings.peer_listen).await?;
    run_entry(settings, EntrySockets { web, peer }, shutdown_on_signal()).await
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = EntryArguments::parse();
    logs::start(arguments.log_level);
    let settings: EntrySettings = match load_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(USAGE, &error),
    };
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return ExitCode::from(OK);
    }
    match run(settings).await {
        Ok(()) => ExitCode::from(OK),
        Err(error) => fail(UNAVAILABLE, &error),
    }
}
