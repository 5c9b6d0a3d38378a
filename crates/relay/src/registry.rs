//! Addresses of the relays: one object for each in the store.
//!
//! A relay writes its address to the store once, and learns those of the others. The first relay of
//! a data centre lists them at regular intervals; the others, and relays that restart, ask that
//! one. So a hundred relays that restart together make no calls of their own, provided that one
//! relay of each data centre stayed up.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::RngExt;
use serde::{Deserialize, Serialize};
use switchfold_core::hash::hash_bytes;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::objects::{ListedObject, describe};
use switchfold_router::{
    Millis,
    address::is_endpoint,
    follow::{FIRST_START_DELAY, START_DELAY, start_delay},
};
use switchfold_store::StoreError;
use tokio::time::sleep;

use crate::{
    gossip::{SendScope, announce_to, plan_gossip, send_state},
    restore::store_era,
    settings::RelaySettings,
    snapshot::apply::fetch_relays,
    state::{Relay, RelayState},
    store_calls::{CallCause, CallKind, CallVerb},
};

/// Interval at which the relays' objects are listed. Stale reads are sufficient, at a tenth of the
/// price.
const LIST_INTERVAL: Duration = Duration::from_secs(12);

/// Delay before a failed call of the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Object of a relay in the store: where it receives messages of its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAddress {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Data centre of the relay.
    pub data_centre: String,
}

/// Maximum length of the name of a relay and of its data centre, in bytes.
const MAX_TEXT_BYTES: usize = 255;

impl PeerAddress {
    /// Returns why no relay of this name can have written the object.
    fn check(&self, name: &str) -> Result<(), String> {
        match () {
            () if name.len().max(self.data_centre.len()) > MAX_TEXT_BYTES => {
                Err("a text is too long".to_owned())
            }
            () if !is_endpoint(self.address) => {
                Err(format!("{} is no address of a relay", self.address))
            }
            () => Ok(()),
        }
    }
}

/// Writes this relay's address to the store and learns those of the others, for as long as the
/// process runs.
///
/// A neighbour that has listed the relays saves this one three calls at each restart, and one in
/// each round.
pub async fn discover_peers(relay: &Relay) {
    if relay.settings.first_start {
        register_until_stored(relay).await;
    }
    wait_for_neighbour(relay).await;
    let mut verb = CallVerb::List;
    loop {
        let listed = match fetch_relays(relay).await {
            Some(relays) => Some(relays),
            None => {
                wait_for_store(relay).await;
                list_relays(relay, verb).await
            }
        };
        if let Some(mut relays) = listed {
            let own = relays.get(&relay.settings.name);
            relay.state.borrow_mut().allowance_share.record_list(own.is_some());
            if own != Some(&own_address(&relay.settings)) {
                let is_new = verb == CallVerb::List && !relay.settings.first_start;
                tracing::info!(event = "registration-missing", is_new);
                register_until_stored(relay).await;
                // Another relay may have listed before this object was there and registered after
                // this list; one of the two must list again to learn of the other.
                if let Some(listed) = list_relays(relay, CallVerb::List).await {
                    relays = listed;
                }
            } else if relay.registered_era.get().is_none() {
                relay.registered_era.set(Some(store_era(relay)));
            }
            verb = CallVerb::StaleList;
            apply_relays(relay, relays).await;
        }
        sleep(if verb == CallVerb::List { RETRY_DELAY } else { LIST_INTERVAL }).await;
    }
}

/// Waits while the store is unavailable; the task that follows the configuration retries its calls.
async fn wait_for_store(relay: &Relay) {
    while relay.state.borrow().config_lease.is_lost() {
        sleep(RETRY_DELAY).await;
    }
}

/// Waits at the start until a neighbour has sent a message. The timeout is random: if all relays
/// start together, the first one to list them announces itself to the others.
async fn wait_for_neighbour(relay: &Relay) {
    let RelaySettings { data_centre, first_start, .. } = &relay.settings;
    let max = if *first_start { FIRST_START_DELAY / 2 } else { START_DELAY * 3 };
    let timeout = relay.random.borrow_mut().random_range(START_DELAY / 2..=max);
    let until = now_millis() + timeout;
    while now_millis() < until {
        if relay.state.borrow().peers.live_count_in(data_centre, now_millis()) > 0 {
            return;
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Interval at which the state of the neighbours is checked at the start.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits at the start until `has_source` returns true, that is, until a neighbour can provide a
/// snapshot, at most for the [`start_delay`].
pub async fn wait_for_source(relay: &Relay, has_source: impl Fn(&RelayState, Millis) -> bool) {
    let RelaySettings { name, data_centre, first_start, .. } = &relay.settings;
    let started = now_millis();
    loop {
        let now = now_millis();
        {
            let state = relay.state.borrow();
            let preceding = state.peers.preceding(name, data_centre, now).live;
            if has_source(&state, now) || now - started >= start_delay(*first_start, preceding) {
                return;
            }
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Relays with their addresses, as listed in the store.
type ListedRelays = BTreeMap<String, PeerAddress>;

/// Returns a digest of a list of relays, so that an unchanged list need not be sent again.
pub fn relays_digest(relays: &ListedRelays) -> u64 {
    relays.iter().fold(0, |digest, (name, peer)| {
        let digest = hash_bytes(digest, name.as_bytes());
        hash_bytes(digest, peer.address.to_string().as_bytes())
    })
}

fn own_address(settings: &RelaySettings) -> PeerAddress {
    PeerAddress { address: settings.peer_listen, data_centre: settings.data_centre.clone() }
}

async fn list_relays(relay: &Relay, verb: CallVerb) -> Option<ListedRelays> {
    match relay.store.list(CallKind::Relays, verb, CallCause::Peers).await {
        Ok(list) => Some(list.items.iter().filter_map(read_relay).collect()),
        Err(error) => {
            tracing::info!(event = "peers-unread", %error);
            None
        }
    }
}

fn read_relay(object: &ListedObject) -> Option<(String, PeerAddress)> {
    let name = &object.metadata.name;
    let spec = object.readable_spec().map_err(str::to_owned);
    let address = spec.and_then(|spec| {
        let address = PeerAddress::deserialize(spec).map_err(|error| describe(&error))?;
        address.check(name).map(|()| address)
    });
    match address {
        Ok(address) => Some((name.clone(), address)),
        Err(error) => {
            tracing::warn!(event = "peer-unreadable", name = describe(name), error);
            None
        }
    }
}

/// Applies a list of relays, and sends this relay's state to the new ones at once: they may be
/// waiting for a neighbour.
async fn apply_relays(relay: &Relay, relays: ListedRelays) {
    let RelaySettings { name: own_name, data_centre: own_data_centre, .. } = &relay.settings;
    let mut is_any_new = false;
    let mut new_neighbours = Vec::new();
    for (name, PeerAddress { address, data_centre }) in &relays {
        if name == own_name {
            continue;
        }
        let peers = &mut relay.state.borrow_mut().peers;
        let is_new = peers.upsert(name, *address, data_centre, now_millis());
        is_any_new |= is_new;
        if is_new && data_centre == own_data_centre {
            new_neighbours.push(name.clone());
        }
    }
    if is_any_new {
        plan_gossip(relay);
        send_state(relay, SendScope::All);
        if !relay.gossip_plan.borrow().is_member {
            announce_to(relay, &new_neighbours);
        }
    }
    remove_expired_peers(relay, &relays.keys().map(String::as_str).collect()).await;
    relay.state.borrow_mut().listed_relays = Some(relays);
}

/// Writes this relay's address to the store, and retries until that succeeds.
pub async fn register_until_stored(relay: &Relay) {
    // The era from before the call: if the store is restored meanwhile, the object is written
    // again.
    let mut era = store_era(relay);
    while let Err(error) = register(relay).await {
        tracing::info!(event = "registration-failed", %error);
        sleep(RETRY_DELAY).await;
        wait_for_store(relay).await;
        era = store_era(relay);
    }
    relay.registered_era.set(Some(era));
}

/// Removes relays that have been silent for so long that their VMs must have been removed. The
/// leader removes their objects from the store; the other relays remove them from their tables once
/// the objects are no longer listed.
async fn remove_expired_peers(relay: &Relay, listed: &BTreeSet<&str>) {
    let now = now_millis();
    let fresh = relay.is_fleet_fresh(now);
    let (expired, removable) = {
        let peers = &relay.state.borrow().peers;
        let RelaySettings { name, data_centre, .. } = &relay.settings;
        (peers.expired(now), peers.removable(name, data_centre, fresh, now))
    };
    for name in expired {
        let removes = removable.contains(&name);
        if listed.contains(name.as_str()) {
            if !removes {
                continue;
            }
            if let Err(error) = relay.store.remove(CallKind::Relays, &name).await {
                tracing::info!(event = "peer-not-removed", name, %error);
                continue;
            }
        }
        let mut state = relay.state.borrow_mut();
        state.peers.remove(&name);
        state.clocks.remove(&name);
        drop(state);
        tracing::info!(event = "peer-forgotten", name, removes);
    }
}

async fn register(relay: &Relay) -> Result<(), StoreError> {
    let settings = &relay.settings;
    let address = own_address(settings);
    match relay.store.create(CallKind::Relays, &settings.name, &address).await {
        Err(StoreError::Conflict { .. }) => {
            relay.store.replace(CallKind::Relays, &settings.name, &address).await
        }
        outcome => outcome,
    }
}
