//! Execution of operators' statements.
//!
//! A change reads the object from the store, modifies it, and writes it back conditionally, with
//! the id of the command inside. A concurrent change makes the write fail with a conflict that
//! shows the current value. If the store's response is lost, the object is read back: it holds the
//! command's id if the write took effect.

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

/// Time within which a change must be written or read back.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Services and data of an entry that statements use.
#[derive(Clone)]
pub struct CommandContext {
    /// Name of this entry.
    pub process: String,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Current configuration.
    pub view: watch::Receiver<Arc<ConfigView>>,
    /// Service that holds the versioned objects.
    pub config: Address<ConfigService>,
    /// Service that holds the requests and replicas.
    pub dispatch: Address<DispatchService>,
    /// Addresses of the other entries.
    pub directory: PeerDirectory,
}

/// Result of a statement, as sent to the operator.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum CommandOutput {
    /// Rows of a `show` statement.
    Table(ResultTable),
    /// The change was written to the store.
    Accepted {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Version that the change created.
        version: u64,
        /// Id of the command.
        command: String,
    },
}

/// Error of a statement.
#[derive(Clone, Debug, Display, Error)]
pub enum CommandError {
    /// The statement could not be parsed.
    #[display("{source}")]
    InvalidStatement {
        /// Position and cause.
        source: LangError,
    },
    /// The object does not exist.
    #[display("no {kind} {name:?}; create it with: create {kind} {{…}}")]
    NotFound {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object.
        name: String,
    },
    /// A name, value or field of the statement is not valid for the object.
    #[display("{detail}")]
    InvalidArgument {
        /// What is wrong, and what was expected.
        detail: String,
    },
    /// The object has another version than expected, or exists already.
    #[display("conflict: {kind} {name:?} is now at version {version}: {current}")]
    Conflict {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Current version.
        version: u64,
        /// Current value.
        current: String,
    },
    /// The store could not be used; nothing was changed.
    #[display("nothing was changed: {source}")]
    Store {
        /// Error of the store.
        source: StoreError,
    },
    /// The store's response was lost, and the object could not be read back in time.
    #[display("it is not known whether the change was accepted: {source}; check with show config")]
    OutcomeUnknown {
        /// Error of the store.
        source: StoreError,
    },
    /// The entry is shutting down.
    #[display("this entry is stopping; use another one")]
    Stopping,
}

/// Parses and runs a statement. `command` must be unique among all commands: a change that is
/// written is recognised by it.
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
            Ok(accepted_output(&accepted.key, accepted.version, command))
        }
    }
}

fn accepted_output(key: &ObjectKey, version: u64, command: &str) -> CommandOutput {
    CommandOutput::Accepted {
        kind: key.kind.clone(),
        name: key.name.clone(),
        version,
        command: command.to_owned(),
    }
}
