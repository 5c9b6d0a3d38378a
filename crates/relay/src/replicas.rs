//! Taking over what the store and other relays tell of replicas.
//!
//! News of a replica comes by three ways: a list of the store, a watch of it, and other relays of the
//! data centre. All of them end here, whatever they are heard on.

use std::{net::SocketAddr, rc::Rc};

use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    objects::{ListedObject, ObjectChange},
    replicas::decode_replica,
};
use switchfold_router::fleet::{FleetChange, ReplicaEntry};
use tokio::task::spawn_local;

use crate::{engines::answers, peers::tell_fleet, state::Relay};

/// Takes over a whole list of the store.
pub fn take_replica_list(relay: &Rc<Relay>, items: Vec<ListedObject>) {
    let listed: Vec<ReplicaEntry> = items.iter().filter_map(readable_replica).collect();
    let missing = relay.beliefs.borrow().fleet.missing_from(&listed);
    missing.iter().filter(|id| !is_awaited(relay, id)).for_each(|id| drop_replica(relay, id));
    if relay.beliefs.borrow().fleet.is_empty() {
        tracing::info!(event = "replicas-listed", count = listed.len());
        let mut beliefs = relay.beliefs.borrow_mut();
        for replica in listed {
            beliefs.fleet.upsert(replica);
        }
        return;
    }
    listed.into_iter().for_each(|replica| keep_replica(relay, replica));
}

/// Whether a replica that is missing from a list may be back soon. An engine that does not answer either
/// is dropped as soon as that shows; plain services know no reports, and are not asked.
fn is_awaited(relay: &Rc<Relay>, id: &str) -> bool {
    let awaited = relay.beliefs.borrow_mut().lapses.keeps(id, now_millis());
    if !awaited {
        return false;
    }
    tracing::info!(event = "replica-awaited", replica = id);
    let Some(address) = engine_address(relay, id) else { return true };
    let (relay, id) = (relay.clone(), id.to_owned());
    spawn_local(async move {
        let answers = answers(&relay, address).await;
        let still_missing = relay.beliefs.borrow().lapses.is_awaited(&id);
        if !answers && still_missing {
            drop_replica(&relay, &id);
            tell_fleet(&relay, &[id]);
        }
    });
    true
}

/// Address of a replica that is an engine.
fn engine_address(relay: &Relay, id: &str) -> Option<SocketAddr> {
    let config = relay.config()?;
    let beliefs = relay.beliefs.borrow();
    let replica = beliefs.fleet.get(id)?;
    let is_engine = config.services.get(&replica.service)?.engine.is_some();
    is_engine.then_some(replica.address)
}

/// Drops replicas that were waited for and did not come back.
pub fn drop_lapsed(relay: &Relay) {
    let overdue = relay.beliefs.borrow_mut().lapses.take_overdue(now_millis());
    overdue.iter().for_each(|id| drop_replica(relay, id));
    if !overdue.is_empty() {
        tell_fleet(relay, &overdue);
    }
}

/// Takes over what a watch of the store told, and tells the relays of the data centre.
pub fn take_replica_changes(relay: &Relay, changes: Vec<ObjectChange>) {
    let ids: Vec<String> =
        changes.iter().map(|change| change.object.metadata.name.clone()).collect();
    for change in changes {
        if change.gone {
            drop_replica(relay, &change.object.metadata.name);
        } else if let Some(replica) = readable_replica(&change.object) {
            keep_replica(relay, replica);
        }
    }
    if !ids.is_empty() {
        tell_fleet(relay, &ids);
    }
}

fn readable_replica(object: &ListedObject) -> Option<ReplicaEntry> {
    let decoded = decode_replica(&object.metadata.name, &object.spec);
    if let Err(error) = &decoded {
        tracing::error!(event = "replica-unreadable", replica = object.metadata.name, %error);
    }
    decoded.ok()
}

/// Takes over a replica's entry, from the store or from another relay.
pub fn keep_replica(relay: &Relay, replica: ReplicaEntry) {
    let (id, address) = (replica.id.clone(), replica.address);
    let layers = format!("{:?}", replica.layers.map(|range| (range.from, range.to)));
    let change = {
        let mut beliefs = relay.beliefs.borrow_mut();
        beliefs.lapses.note_listed(&id);
        beliefs.fleet.upsert(replica)
    };
    match change {
        FleetChange::Unchanged => {}
        FleetChange::Joined => {
            tracing::info!(event = "replica-listed", replica = id, %address, ?change, layers);
            let predecessors = relay.beliefs.borrow().fleet.predecessors(&id, address);
            predecessors.iter().for_each(|old| drop_replica(relay, old));
        }
        FleetChange::Draining => {
            relay.raise_alarm();
            tracing::info!(event = "replica-draining", replica = id, %address);
        }
        change => {
            relay.raise_alarm();
            tracing::info!(event = "replica-listed", replica = id, %address, ?change, layers);
        }
    }
}

/// Drops a replica, as the store or another relay told.
pub fn drop_replica(relay: &Relay, id: &str) {
    let address = relay.beliefs.borrow().fleet.get(id).map(|replica| replica.address);
    let Some(address) = address else { return };
    {
        let mut beliefs = relay.beliefs.borrow_mut();
        beliefs.fleet.remove(id);
        beliefs.suspects.clear(id);
        beliefs.loads.forget(id);
        beliefs.paces.forget(id);
    }
    relay.pool.forget(address);
    relay.reports.forget(address);
    relay.raise_alarm();
    tracing::info!(event = "replica-gone", replica = id, %address);
}
