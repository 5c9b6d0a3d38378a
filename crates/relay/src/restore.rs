//! Writes this relay's objects again after the store was restored from a backup.
//!
//! Changes that are newer than the backup are lost. The operator and the replicas write their own
//! objects again; each relay writes its address and the crash reports that it keeps. It does so
//! once, at a random time within a second: if 300 relays wrote at once, they would use up most of a
//! second of the store's rate limit, which more important writes need.

use std::{rc::Rc, time::Duration};

use switchfold_router::Millis;
use tokio::time::sleep;

use crate::{quarantine::store_again, registry::register_until_stored, state::Relay};

/// Interval at which the store's era is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Period over which the relays spread their writes, in milliseconds.
const WRITE_SPREAD: Millis = 1_000;

/// Writes this relay's objects again after each restore of the store, for as long as the process
/// runs.
pub async fn rewrite_after_restores(relay: Rc<Relay>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let current = store_era(&relay);
        if relay.registered_era.get().is_none_or(|era| current <= era) {
            continue;
        }
        sleep(Duration::from_millis(relay.random_delay(WRITE_SPREAD))).await;
        register_until_stored(&relay).await;
        store_again(&relay);
        tracing::info!(event = "written-again", era = current);
    }
}

/// Returns the newest era of the store that this relay knows, from its own calls or from a
/// neighbour.
pub fn store_era(relay: &Relay) -> u64 {
    relay.calls.era.current().max(relay.state.borrow().fleet.era())
}
