//! Reloads the settings file while the relay runs.
//!
//! The platform rewrites the file, with or without sending SIGHUP. Changed bounds take effect at
//! once; a new name or address requires a restart, which is logged.

use std::{
    cell::RefCell,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime},
};

use switchfold_kernel::settings::load_settings;
use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    settings::{BoundSettings, RelaySettings},
    state::Relay,
};

/// Interval between two checks of the settings file.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings file whenever it changes or SIGHUP arrives. Never returns.
pub async fn follow_settings(relay: Rc<Relay>, file: PathBuf, mut hangup: Signal) {
    let mut last_modified = modified_at(&file);
    loop {
        let is_requested = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(CHECK_INTERVAL) => false,
        };
        let modified = modified_at(&file);
        if is_requested || modified != last_modified {
            last_modified = modified;
            reload(&relay.settings, &relay.bounds, &file);
        }
    }
}

fn modified_at(file: &Path) -> Option<SystemTime> {
    file.metadata().and_then(|metadata| metadata.modified()).ok()
}

/// The result of reloading the settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReloadOutcome {
    /// The file is invalid. All settings stay as they were.
    Rejected,
    /// The bounds of the file have taken effect.
    Applied {
        /// Whether a bound differs from before.
        changed: bool,
        /// Whether another setting changed that requires a restart.
        needs_restart: bool,
    },
}

/// Reloads the settings file. If it is valid, its bounds take effect.
pub fn reload(
    settings: &RelaySettings,
    bounds: &RefCell<BoundSettings>,
    file: &Path,
) -> ReloadOutcome {
    let loaded = match load_settings(file).map(RelaySettings::with_ranked_name) {
        Ok(loaded) => loaded,
        Err(error) => {
            tracing::error!(event = "reload-failed", %error);
            return ReloadOutcome::Rejected;
        }
    };
    let needs_restart = loaded.listen != settings.listen
        || loaded.peer_listen != settings.peer_listen
        || loaded.platform != settings.platform
        || loaded.overload_control != settings.overload_control
        || loaded.load_aware_paths != settings.load_aware_paths
        || loaded.name != settings.name;
    let changed = loaded.bounds != *bounds.borrow();
    tracing::info!(event = "reload", changed, needs_restart);
    bounds.replace(loaded.bounds);
    ReloadOutcome::Applied { changed, needs_restart }
}
