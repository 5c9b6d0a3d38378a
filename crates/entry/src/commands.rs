//! What operators' statements do.
//!
//! A change reads the object from the store, alters it, and writes it conditionally under the id of
//! the command. A racing change makes the write fail, and the operator sees the value that won; an
//! answer that was lost is settled by reading the command's id back.

mod change;
mod tables;

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use serde::Serialize;
use switchfold_core::version::ObjectKey;
use switchfold_lang::{Command, LangError, parse};
use switchfold_store::{StoreClient, StoreError};
use tokio::sync::watch;
use xtra::Address;

use crate::{
    config::{ConfigService, ConfigView, PeerDirectory},
    service::DispatchService,
};

pub use tables::ResultTable;

/// How long a change tries to reach the store.
const CHANGE_PATIENCE: Duration = Duration::from_secs(5);

/// What commands need of an entry.
#[derive(Clone)]
pub struct CommandContext {
    /// Name of this entry.
    pub process: String,
    /// The platform.
    pub store: StoreClient,
    /// What is in force.
    pub view: watch::Receiver<Arc<ConfigView>>,
    /// The objects in force.
    pub config: Address<ConfigService>,
    /// Requests and replicas.
    pub dispatch: Address<DispatchService>,
    /// Other entries.
    pub directory: PeerDirectory,
}

/// What a statement gave.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum CommandOutput {
    /// A table.
    Table(ResultTable),
    /// A change that was accepted.
    Accepted {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Its new version.
        version: u64,
        /// Id of the command.
        command: String,
    },
}

/// Why a statement did nothing, or may have done something.
#[derive(Clone, Debug, Display, Error)]
pub enum CommandError {
    /// It is not understood.
    #[display("{source}")]
    InvalidStatement {
        /// Where and why.
        source: LangError,
    },
    /// There is no such object.
    #[display("no {kind} {name:?}; it is created by: create {kind} {{…}}")]
    NotFound {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object.
        name: String,
    },
    /// What it says makes no sense for the object.
    #[display("{detail}")]
    InvalidChange {
        /// What is wrong, and what is expected.
        detail: String,
    },
    /// Another change came first.
    #[display("conflict: {kind} {name:?} is at version {version} now: {current}")]
    Conflict {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Its version now.
        version: u64,
        /// Its value now.
        current: String,
    },
    /// The store cannot be reached; nothing was changed.
    #[display("nothing was changed: {source}")]
    Store {
        /// What happened.
        source: StoreError,
    },
    /// The store's answer was lost and could not be read back in time.
    #[display("it is not known whether the change was accepted: {source}; show config tells")]
    OutcomeUnknown {
        /// What happened.
        source: StoreError,
    },
    /// The entry is stopping.
    #[display("this entry is stopping; ask another one")]
    Stopping,
}

/// Runs a statement; `command` is an id that no other command has.
///
/// # Errors
///
/// See [`CommandError`].
pub async fn run_statement(
    context: &CommandContext,
    text: &str,
    command: &str,
) -> Result<CommandOutput, CommandError> {
    let statement = parse(text).map_err(|source| CommandError::InvalidStatement { source })?;
    match statement.command {
        Command::Show(query) => tables::show(context, &query).await.map(CommandOutput::Table),
        change => {
            let accepted =
                change::run_change(context, change, statement.expected_version, command).await?;
            Ok(accepted_answer(&accepted.key, accepted.version, command))
        }
    }
}

fn accepted_answer(key: &ObjectKey, version: u64, command: &str) -> CommandOutput {
    CommandOutput::Accepted {
        kind: key.kind.clone(),
        name: key.name.clone(),
        version,
        command: command.to_owned(),
    }
}
