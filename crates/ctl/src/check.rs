//! Checks settings files.

use std::path::Path;

use clap::ValueEnum;
use switchfold_agent::settings::AgentSettings;
use switchfold_entry::settings::EntrySettings;
use switchfold_kernel::settings::{SettingsError, load_settings};
use switchfold_relay::settings::RelaySettings;

/// Program that a settings file is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum SettingsKind {
    /// Entry.
    Entry,
    /// Agent.
    Agent,
    /// Relay.
    Relay,
}

/// Checks a settings file, as the program itself does when it starts.
///
/// # Errors
///
/// Lists every error with the field's path and what is expected, or says why the file cannot be
/// read.
pub fn check_settings(kind: SettingsKind, path: &Path) -> Result<(), SettingsError> {
    match kind {
        SettingsKind::Entry => load_settings::<EntrySettings>(path).map(drop),
        SettingsKind::Agent => load_settings::<AgentSettings>(path).map(drop),
        SettingsKind::Relay => load_settings::<RelaySettings>(path).map(drop),
    }
}
