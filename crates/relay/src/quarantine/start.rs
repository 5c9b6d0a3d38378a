//! Learns the quarantined requests when the relay starts.
//!
//! Until then the relay is not ready, and requests wait: one of them may be quarantined at all other
//! relays, and would crash another replica. A relay that knows the quarantine is asked first, since
//! only one relay of each data centre reads the store. If neither can provide it, for example when no
//! relay has kept its state, the relay serves without it after a while.

use std::{rc::Rc, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::Millis;
use tokio::time::sleep;

use crate::{snapshot::apply::fetch_quarantine, state::Relay};

/// Maximum time for which the quarantine alone delays requests, in milliseconds.
const MAX_WAIT: Millis = 1_500;

/// Pause between two attempts to fetch it from another relay.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Interval at which the state of the relay is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fetches the quarantine from other relays until it is known, once this relay could serve otherwise.
pub async fn learn_quarantine(relay: Rc<Relay>) {
    while !relay.state.borrow().has_objects(now_millis()) {
        sleep(POLL_INTERVAL).await;
    }
    let until = now_millis() + MAX_WAIT;
    while !relay.knows_quarantine.get() && now_millis() < until {
        if fetch_quarantine(&relay).await {
            return relay.knows_quarantine.set(true);
        }
        sleep(RETRY_PAUSE).await;
    }
    if !relay.knows_quarantine.replace(true) {
        tracing::warn!(event = "quarantine-unknown", waited_ms = MAX_WAIT);
    }
}

/// Waits until the quarantine is known or this relay serves without it.
pub async fn wait_for_quarantine(relay: &Relay) {
    let until = now_millis() + MAX_WAIT;
    while !relay.knows_quarantine.get() && now_millis() < until {
        sleep(POLL_INTERVAL).await;
    }
}
