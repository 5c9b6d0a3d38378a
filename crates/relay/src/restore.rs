//! Writing again what the store lost when it came back from a copy of before.
//!
//! The operator and the replicas write again what is theirs. What relays wrote is for them: where each one is, and which
//! requests end replicas. A relay writes its own again, once, at a moment of its own within a second: 300 at once would
//! take most of a second of the store's rate, beside those who write what matters more.

use std::{rc::Rc, time::Duration};

use switchfold_router::Millis;
use tokio::time::sleep;

use crate::{quarantine::store_again, registry::register_until_stored, state::Relay};

/// Time between two looks at the store's era.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Time over which relays write, in milliseconds.
const SPREAD: Millis = 1_000;

/// Writes again after each return of the store, for good.
pub async fn rewrite_after_restores(relay: Rc<Relay>) {
    loop {
        sleep(LOOK_EVERY).await;
        let present = store_era(&relay);
        if relay.registered_era.get().is_none_or(|era| present <= era) {
            continue;
        }
        sleep(Duration::from_millis(relay.random_delay(SPREAD))).await;
        register_until_stored(&relay).await;
        store_again(&relay);
        tracing::info!(event = "written-again", era = present);
    }
}

/// The newest era of the store that this relay read, or that a neighbour told it.
pub fn store_era(relay: &Relay) -> u64 {
    relay.calls.era.current().max(relay.state.borrow().fleet.era())
}
