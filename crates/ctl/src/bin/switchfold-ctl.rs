//! The operators' command-line program.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Parser, Subcommand};
use sha2::{Digest, Sha256};
use switchfold_ctl::{
    account::account_files,
    ask::{AskError, AskOptions, ask},
    calls::count_call_files,
    check::{SettingsKind, check_settings},
    explain::explain_files,
    inspect::{
        InspectError, PlacementMethod, SubsetSize, describe_bound, describe_placement,
        describe_subsets, read_deployment,
    },
};
use switchfold_kernel::exit::{FAILED, OK, UNAVAILABLE, USAGE, fail};

/// Sends statements to entries, checks settings, computes decisions and analyses logs.
///
/// Exit codes: 0 success; 1 refused or invalid; 2 invalid arguments; 3 the entry cannot be reached.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Examples:\n  switchfold-ctl ask --entry 10.0.0.1:8080 'show waiting by organisation'\n  switchfold-ctl ask --entry 10.0.0.1:8080 'pause event \"dawn\"'\n  switchfold-ctl check entry --settings examples/northcatch/entry-winnipeg.json\n  switchfold-ctl check relay --settings examples/relay/relay.json\n  switchfold-ctl explain 9c41d07be2a35f68 --logs relay-1.log relay-2.log\n  switchfold-ctl account --logs relay-1.log relay-2.log\n  switchfold-ctl calls --logs relay-1.log relay-2.log\n  switchfold-ctl inspect bound --settings examples/northcatch/deployment.json\n  switchfold-ctl hash-token"
)]
struct CtlArguments {
    #[command(subcommand)]
    action: CtlAction,
}

#[derive(Debug, Subcommand)]
enum CtlAction {
    /// Send one statement of the operators' language to an entry.
    Ask {
        /// Address of any entry.
        #[arg(long)]
        entry: String,
        /// The operators' bearer token.
        #[arg(long, env = "SWITCHFOLD_TOKEN", hide_env_values = true)]
        token: String,
        /// Id of the command: letters, digits and -. A command whose id was used before is not run
        /// again.
        #[arg(long)]
        command: Option<String>,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
        /// Seconds to wait for the response.
        #[arg(long = "patience", value_name = "PATIENCE", default_value_t = 10)]
        timeout_s: u64,
        /// Statement to run.
        statement: String,
    },
    /// Check a settings file and print every error.
    Check {
        /// Program that the settings are for.
        kind: SettingsKind,
        /// Settings file.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Compute a decision from a deployment file.
    Inspect {
        #[command(subcommand)]
        subject: InspectSubject,
    },
    /// Print the log lines of one request in order of time, and the one that decided its outcome.
    Explain {
        /// Id of the request. Each attempt of a caller has its own.
        request: String,
        /// Log files, each of one process or of several combined.
        #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
    },
    /// Count why requests were late, refused or failed, from the relays' logs.
    Account {
        /// Log files, each of one process or of several combined.
        #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
        /// Milliseconds that a row of the table by time covers.
        #[arg(long = "every", value_name = "EVERY", default_value_t = 2_000)]
        step_ms: u64,
    },
    /// Count the relays' calls of the platform's store by cause and by time, from the relays' logs.
    Calls {
        /// Log files, each of one process or of several combined.
        #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
        /// Milliseconds that a row of the table by time covers.
        #[arg(long = "every", value_name = "EVERY", default_value_t = 1_000)]
        step_ms: u64,
    },
    /// Read a token from standard input and print its SHA-256, for settings and organisations.
    HashToken,
}

#[derive(Debug, Subcommand)]
enum InspectSubject {
    /// The highest throughput of replicas and links, and what limits it.
    Bound {
        /// Deployment file.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Compare ways of choosing which agents an entry connects to: how even the load is, and how
    /// many links move when VMs are replaced.
    Subsets {
        /// Number of entries.
        #[arg(long, default_value_t = 370)]
        entries: usize,
        /// Number of agents.
        #[arg(long, default_value_t = 2_200)]
        agents: usize,
        /// Number of agents that each entry connects to.
        #[arg(long, default_value_t = 18)]
        links: usize,
        /// Number of agents that are replaced.
        #[arg(long, default_value_t = 193)]
        replaced: usize,
    },
    /// Assign layers to VMs.
    Placement {
        /// Deployment file.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Number of pipeline stages.
        #[arg(long, default_value_t = 3)]
        stages: usize,
        /// Placement method.
        #[arg(long = "way", value_name = "WAY", default_value = "searched")]
        method: PlacementMethod,
    },
}

fn inspect(subject: &InspectSubject) -> Result<String, InspectError> {
    match subject {
        InspectSubject::Bound { settings } => describe_bound(settings, &read_deployment(settings)?),
        InspectSubject::Subsets { entries, agents, links, replaced } => {
            let size = SubsetSize {
                entries: *entries,
                agents: *agents,
                links: *links,
                replaced: *replaced,
            };
            Ok(describe_subsets(size))
        }
        InspectSubject::Placement { settings, stages, method } => {
            describe_placement(settings, &read_deployment(settings)?, *stages, *method)
        }
    }
}

fn hash_token() -> std::io::Result<String> {
    let mut token = String::new();
    std::io::stdin().read_line(&mut token)?;
    let digest = Sha256::digest(token.trim().as_bytes());
    Ok(digest.iter().map(|byte| format!("{byte:02x}")).collect())
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match CtlArguments::parse().action {
        CtlAction::Ask { entry, token, command, json, timeout_s, statement } => {
            let timeout = Duration::from_secs(timeout_s);
            let options = AskOptions { entry, token, statement, command, json, timeout };
            match ask(&options).await {
                Ok(text) => Ok(text),
                Err(error @ AskError::Call { .. }) => return fail(UNAVAILABLE, &error),
                Err(error @ AskError::InvalidArgument { .. }) => return fail(USAGE, &error),
                Err(error) => Err(error.to_string()),
            }
        }
        CtlAction::Check { kind, settings } => match check_settings(kind, &settings) {
            Ok(()) => Ok(format!("{}: no faults", settings.display())),
            Err(error) => Err(error.to_string()),
        },
        CtlAction::Inspect { subject } => inspect(&subject).map_err(|error| error.to_string()),
        CtlAction::Explain { request, logs } => {
            explain_files(&request, &logs).map_err(|error| error.to_string())
        }
        CtlAction::Account { logs, step_ms } => {
            account_files(&logs, step_ms).map_err(|error| error.to_string())
        }
        CtlAction::Calls { logs, step_ms } => {
            count_call_files(&logs, step_ms).map_err(|error| error.to_string())
        }
        CtlAction::HashToken => hash_token().map_err(|error| error.to_string()),
    };
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::from(OK)
        }
        Err(error) => fail(FAILED, &error),
    }
}
