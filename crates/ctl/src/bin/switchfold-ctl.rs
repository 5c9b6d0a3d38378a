//! The operators' command line as a program.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Parser, Subcommand};
use sha2::{Digest, Sha256};
use switchfold_ctl::{
    account::account_files,
    ask::{AskError, AskRequest, ask},
    calls::count_call_files,
    check::{SettingsKind, check_settings},
    explain::explain_files,
    inspect::{
        InspectError, PlacementWay, SubsetSize, describe_bound, describe_placement,
        describe_subsets, read_deployment,
    },
};
use switchfold_kernel::exit::{FAILED, OK, UNAVAILABLE, USAGE, fail};

/// Asks entries, checks settings, and shows what would be decided.
///
/// Exit codes: 0 well; 1 refused or faulty; 2 wrong arguments; 3 the entry cannot be reached.
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
        /// Id of the command: letters, digits and -.
        #[arg(long)]
        command: Option<String>,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
        /// Seconds to wait for an answer.
        #[arg(long, default_value_t = 10)]
        patience: u64,
        /// The statement.
        statement: String,
    },
    /// Check a settings file and print every fault.
    Check {
        /// Whose settings.
        kind: SettingsKind,
        /// The file.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Compute a decision from a deployment file.
    Inspect {
        #[command(subcommand)]
        subject: InspectSubject,
    },
    /// Put the log lines of one request in order, and name the one that decided its end.
    Explain {
        /// Id of the caller's attempt.
        request: String,
        /// Log files, of one process each or of several put together.
        #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
    },
    /// Count why requests were late, refused or failed, from the relays' logs.
    Account {
        /// Log files, of one process each or of several put together.
        #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
        /// Milliseconds of a row of the table by time.
        #[arg(long, default_value_t = 2_000)]
        every: u64,
    },
    /// Count the relays' calls of the platform's store by cause and by time, from their logs.
    Calls {
        /// Log files, of one process each or of several put together.
        #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
        logs: Vec<PathBuf>,
        /// Milliseconds of a row of the table by time.
        #[arg(long, default_value_t = 1_000)]
        every: u64,
    },
    /// Read a token from standard input and print its SHA-256, for settings and organisations.
    HashToken,
}

#[derive(Debug, Subcommand)]
enum InspectSubject {
    /// The most that replicas and links can deliver, and what holds it back.
    Bound {
        /// Deployment file.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Which agents an entry links with: how evenly, and what moves when VMs are replaced.
    Subsets {
        /// Entries.
        #[arg(long, default_value_t = 370)]
        entries: usize,
        /// Agents.
        #[arg(long, default_value_t = 2_200)]
        agents: usize,
        /// Agents that each entry links with.
        #[arg(long, default_value_t = 18)]
        links: usize,
        /// Agents that are replaced.
        #[arg(long, default_value_t = 193)]
        replaced: usize,
    },
    /// Which VM holds which layers.
    Placement {
        /// Deployment file.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Stages of a pipeline.
        #[arg(long, default_value_t = 3)]
        stages: usize,
        /// How to place.
        #[arg(long, default_value = "searched")]
        way: PlacementWay,
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
        InspectSubject::Placement { settings, stages, way } => {
            describe_placement(settings, &read_deployment(settings)?, *stages, *way)
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
    let done = match CtlArguments::parse().action {
        CtlAction::Ask { entry, token, command, json, patience, statement } => {
            let patience = Duration::from_secs(patience);
            let asked = AskRequest { entry, token, statement, command, json, patience };
            match ask(&asked).await {
                Ok(text) => Ok(text),
                Err(error @ AskError::Call { .. }) => return fail(UNAVAILABLE, &error),
                Err(error @ AskError::Malformed { .. }) => return fail(USAGE, &error),
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
        CtlAction::Account { logs, every } => {
            account_files(&logs, every).map_err(|error| error.to_string())
        }
        CtlAction::Calls { logs, every } => {
            count_call_files(&logs, every).map_err(|error| error.to_string())
        }
        CtlAction::HashToken => hash_token().map_err(|error| error.to_string()),
    };
    match done {
        Ok(text) => {
            println!("{text}");
            ExitCode::from(OK)
        }
        Err(error) => fail(FAILED, &error),
    }
}
