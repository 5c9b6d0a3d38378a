//! Checking settings files.

use std::path::Path;

use clap::ValueEnum;
use switchfold_agent::settings::AgentSettings;
use switchfold_entry::settings::EntrySettings;
use switchfold_kernel::settings::{SettingsError, load_settings};
use switchfold_relay::settings::RelaySettings;

/// Whose settings a file holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum SettingsKind {
    /// An entry's.
    Entry,
    /// An agent's.
    Agent,
    /// A relay's.
    Relay,
}

/// Checks a settings file.
///
/// # Errors
///
/// Lists every fault, with the field's path and what is expected.
pub fn check_settings(kind: SettingsKind, path: &Path) -> Result<(), SettingsError> {
    match kind {
        SettingsKind::Entry => load_settings::<EntrySettings>(path).map(drop),
        SettingsKind::Agent => load_settings::<AgentSettings>(path).map(drop),
        SettingsKind::Relay => load_settings::<RelaySettings>(path).map(drop),
    }
}
