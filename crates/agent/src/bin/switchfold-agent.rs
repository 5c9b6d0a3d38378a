//! Command-line program of the agent.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use log::LevelFilter;
use switchfold_agent::{AgentError, AgentSockets, run_agent, settings::AgentSettings};
use switchfold_kernel::{
    exit::{OK, UNAVAILABLE, USAGE, fail},
    listen::bind,
    logs,
    settings::load_settings,
    shutdown::shutdown_on_signal,
};

/// Agent that controls access to one endpoint: a model engine or a plain service.
///
/// Exit codes: 0 clean shutdown; 2 invalid settings; 3 the engine cannot be reached or an address
/// cannot be bound.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:\n  switchfold-agent --settings examples/northcatch/agent-engine.json"
)]
struct AgentArguments {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Level of the log: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "info")]
    log_level: LevelFilter,
    /// Check the settings, print all errors, and exit.
    #[arg(long)]
    check: bool,
}

async fn run(settings: AgentSettings) -> Result<(), AgentError> {
    let link = bind(&settings.listen).await?;
    let admin = match &settings.admin {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    run_agent(settings, AgentSockets { link, admin }, shutdown_on_signal()).await
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = AgentArguments::parse();
    logs::start(arguments.log_level);
    let settings: AgentSettings = match load_settings(&arguments.settings) {
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
