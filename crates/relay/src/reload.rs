//! Settings that change while the relay runs.
//!
//! The platform rewrites the settings file, with or without SIGHUP. Bounds take effect at once; what
//! names the process or its sockets takes a restart, which the log says.

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

/// Time between two looks at the settings file.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Follows the settings file for good.
pub async fn follow_settings(relay: Rc<Relay>, file: PathBuf, mut hangup: Signal) {
    let mut seen = modified(&file);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(LOOK_EVERY) => false,
        };
        let now = modified(&file);
        if asked || now != seen {
            seen = now;
            reload(&relay.settings, &relay.bounds, &file);
        }
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    file.metadata().and_then(|metadata| metadata.modified()).ok()
}

/// What came of reading the settings file again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReloadOutcome {
    /// A field is at fault: all settings stay as they were.
    Rejected,
    /// The bounds of the file are in force.
    Applied {
        /// Whether a bound changed.
        changed: bool,
        /// Whether something else changed that takes a restart.
        needs_restart: bool,
    },
}

/// Reads the settings file again, and puts its bounds in force where no field is at fault.
pub fn reload(
    settings: &RelaySettings,
    bounds: &RefCell<BoundSettings>,
    file: &Path,
) -> ReloadOutcome {
    let read = match load_settings(file).map(RelaySettings::with_ranked_name) {
        Ok(read) => read,
        Err(error) => {
            tracing::error!(event = "reload-failed", %error);
            return ReloadOutcome::Rejected;
        }
    };
    let needs_restart = read.listen != settings.listen
        || read.peer_listen != settings.peer_listen
        || read.platform != settings.platform
        || read.name != settings.name;
    let changed = read.bounds != *bounds.borrow();
    tracing::info!(event = "reload", changed, needs_restart);
    bounds.replace(read.bounds);
    ReloadOutcome::Applied { changed, needs_restart }
}
