//! Where the relays are: an object for each in the store.
//!
//! A relay leaves its address there once, and learns those of the others. The first relay of a data centre
//! reads them now and then; the others, and one that restarts, ask it. So a hundred restarts together make no
//! call for each of them where one relay of each data centre was left.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::RngExt;
use serde::{Deserialize, Serialize};
use switchfold_core::hash::hash_bytes;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::objects::ListedObject;
use switchfold_router::{
    Millis,
    follow::{FIRST_START_DELAY, START_DELAY, start_delay},
};
use switchfold_store::StoreError;
use tokio::time::sleep;

use crate::{
    gossip::{SendScope, plan_gossip, send_greeting, send_state},
    restore::store_era,
    settings::RelaySettings,
    snapshot::apply::fetch_relays,
    state::{Relay, RelayState},
    store_calls::{CallCause, CallKind, CallVerb},
};

/// Time between two readings of the peers' objects; stale reads do, at a tenth of the price.
const LIST_EVERY: Duration = Duration::from_secs(12);

/// Pause before this relay's address is written again where that failed.
const REGISTER_AGAIN: Duration = Duration::from_millis(500);

/// Where a relay hears from its peers, as its object in the store says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAddress {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
}

/// Leaves this relay's address in the store, and learns those of the others now and then. A neighbour that
/// read them spares it the calls: three at each restart, and one in each round.
pub async fn discover_peers(relay: &Relay) {
    if relay.settings.first_start {
        register_until_stored(relay).await;
    }
    hear_any(relay).await;
    let mut verb = CallVerb::List;
    loop {
        let listed = match fetch_relays(relay).await {
            Some(relays) => Some(relays),
            None => {
                wait_for_store(relay).await;
                list_relays(relay, verb).await
            }
        };
        if let Some(relays) = listed {
            let own = relays.get(&relay.settings.name);
            if own != Some(&own_address(&relay.settings)) {
                let is_new = verb == CallVerb::List && !relay.settings.first_start;
                tracing::info!(event = "registration-missing", is_new);
                register_until_stored(relay).await;
            } else if relay.registered_era.get().is_none() {
                relay.registered_era.set(Some(store_era(relay)));
            }
            verb = CallVerb::StaleList;
            take_relays(relay, relays).await;
        }
        sleep(if verb == CallVerb::List { REGISTER_AGAIN } else { LIST_EVERY }).await;
    }
}

/// Waits while the store is away: whoever follows the configuration tries it.
async fn wait_for_store(relay: &Relay) {
    while relay.state.borrow().config_lease.is_lost() {
        sleep(REGISTER_AGAIN).await;
    }
}

/// Waits at the start until a neighbour is heard, for a time that differs from relay to relay: where all start
/// together, the first to list the relays tells the others of itself.
async fn hear_any(relay: &Relay) {
    let RelaySettings { data_centre, first_start, .. } = &relay.settings;
    let longest = if *first_start { FIRST_START_DELAY / 2 } else { START_DELAY * 3 };
    let patience = relay.random.borrow_mut().random_range(START_DELAY / 2..=longest);
    let until = now_millis() + patience;
    while now_millis() < until {
        if relay.state.borrow().peers.live_count_in(data_centre, now_millis()) > 0 {
            return;
        }
        sleep(START_LOOK).await;
    }
}

/// Time between two looks at whether a neighbour was heard, at the start.
const START_LOOK: Duration = Duration::from_millis(10);

/// Waits at the start until a neighbour can tell what is wanted, for as long as that may take.
pub async fn wait_at_start(relay: &Relay, can_be_told: impl Fn(&RelayState, Millis) -> bool) {
    let RelaySettings { name, data_centre, first_start, .. } = &relay.settings;
    let begun = now_millis();
    loop {
        let now = now_millis();
        {
            let state = relay.state.borrow();
            let before = state.peers.preceding(name, data_centre, now).live;
            if can_be_told(&state, now) || now - begun >= start_delay(*first_start, before) {
                return;
            }
        }
        sleep(START_LOOK).await;
    }
}

/// Relays with their addresses, as they stand in the store.
type ListedRelays = BTreeMap<String, PeerAddress>;

/// Stands for a list of relays, so that one which has not changed is not told again.
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
    match PeerAddress::deserialize(&object.spec) {
        Ok(address) => Some((name.clone(), address)),
        Err(error) => {
            tracing::warn!(event = "peer-unreadable", name, %error);
            None
        }
    }
}

/// Takes over where the relays are, and tells the new ones among them of this one at once: they may
/// be waiting for a neighbour.
async fn take_relays(relay: &Relay, relays: ListedRelays) {
    let RelaySettings { name: own, data_centre: home, .. } = &relay.settings;
    let mut is_any_new = false;
    let mut new_near = Vec::new();
    for (name, PeerAddress { address, data_centre }) in &relays {
        if name == own {
            continue;
        }
        let peers = &mut relay.state.borrow_mut().peers;
        let is_new = peers.upsert(name, *address, data_centre, now_millis());
        is_any_new |= is_new;
        if is_new && data_centre == home {
            new_near.push(name.clone());
        }
    }
    if is_any_new {
        plan_gossip(relay);
        send_state(relay, SendScope::All);
        if !relay.gossip_plan.borrow().is_member {
            send_greeting(relay, &new_near);
        }
    }
    forget_gone(relay, &relays.keys().map(String::as_str).collect()).await;
    relay.state.borrow_mut().listed_relays = Some(relays);
}

/// Leaves this relay's address in the store, however long that takes.
pub async fn register_until_stored(relay: &Relay) {
    // As it was before the call: one that the store lost meanwhile is written once more.
    let mut era = store_era(relay);
    while let Err(error) = register(relay).await {
        tracing::info!(event = "registration-failed", %error);
        sleep(REGISTER_AGAIN).await;
        wait_for_store(relay).await;
        era = store_era(relay);
    }
    relay.registered_era.set(Some(era));
}

/// Forgets relays whose VMs are gone. The relay that gives the orders removes their objects from the
/// store; the others forget them once these are not listed any more.
async fn forget_gone(relay: &Relay, listed: &BTreeSet<&str>) {
    let now = now_millis();
    let fresh = relay.is_fleet_fresh(now);
    let (gone, removable) = {
        let peers = &relay.state.borrow().peers;
        let RelaySettings { name, data_centre, .. } = &relay.settings;
        (peers.expired(now), peers.removable(name, data_centre, fresh, now))
    };
    for name in gone {
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
        state.peers.forget(&name);
        state.clocks.forget(&name);
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
