//! Settings that change while the relay runs.
//!
//! The platform rewrites the settings file, with or without SIGHUP. Bounds take effect at once; what
//! names the process or its sockets takes a restart, which the log says.

use std::{
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime},
};

use switchfold_kernel::settings::load_settings;
use tokio::{signal::unix::Signal, time::sleep};

use crate::{settings::RelaySettings, state::Relay};

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
            reload(&relay, &file);
        }
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    file.metadata().and_then(|metadata| metadata.modified()).ok()
}

fn reload(relay: &Relay, file: &Path) {
    let settings: RelaySettings = match load_settings(file) {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(event = "reload-failed", %error);
            return;
        }
    };
    let needs_restart = settings.listen != relay.settings.listen
        || settings.peer_listen != relay.settings.peer_listen
        || settings.platform != relay.settings.platform
        || settings.name != relay.settings.name;
    let changed = settings.bounds != *relay.bounds.borrow();
    tracing::info!(event = "reload", changed, needs_restart);
    relay.bounds.replace(settings.bounds);
}
