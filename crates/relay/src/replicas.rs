//! Taking over what the store and other relays tell of replicas.
//!
//! News of a replica comes by three ways: a list of the store, a watch of it, and other relays of the
//! data centre. All of them end here, whatever they are heard on.

use std::{net::SocketAddr, rc::Rc};

use switchfold_kernel::clock::{epoch_millis, now_millis};
use switchfold_platform::{
    objects::{ListedObject, ObjectChange, ObjectList, ObjectMetadata},
    replicas::decode_replica,
};
use switchfold_router::{
    Millis,
    fleet::{FleetChange, ReplicaEntry, ReplicaUpdate},
    instance::ReplicaInstance,
    replicas::{AppliedList, AppliedUpdate, EraStart, FleetList, UpdateSource},
};
use tokio::task::spawn_local;

use crate::{
    counts::count, engines::is_reachable, gossip::send_fleet_changes,
    quarantine::record_replica_loss, state::Relay,
};

/// Takes over a whole list of the store, sent for at `sent`.
pub fn apply_store_list(relay: &Rc<Relay>, list: ObjectList, sent: Millis) {
    let listed = list.items.iter().filter_map(|item| read_news(relay, item)).collect();
    let list = FleetList { listed, at: list.revision };
    let cleared = relay.state.borrow().fleet.confirmed_by(&list, now_millis());
    if !cleared.is_empty() {
        send_fleet_changes(relay, cleared);
    }
    apply_list(relay, list, UpdateSource::List, sent);
}

/// Takes over a whole list, proved at `sent`; `source` tells how it came.
pub fn apply_list(relay: &Rc<Relay>, list: FleetList, source: UpdateSource, sent: Millis) {
    let at = list.at;
    let is_first = relay.state.borrow().fleet.view.is_empty();
    if is_first {
        tracing::info!(event = "replicas-listed", count = list.listed.len(), at, %source);
    }
    let AppliedList { applied: taken, awaited, missed: passed, era_start: began } =
        relay.state.borrow_mut().fleet.apply_list(list, source, sent, now_millis());
    if let Some(EraStart { era, doubted }) = began {
        count(&relay.counts.store_copies);
        let (listed, awaited) = (taken.len(), awaited.len());
        tracing::warn!(event = "store-copy", era, at, %source, listed, awaited, doubted);
    }
    for (news, held) in passed {
        count(&relay.counts.passed_changes);
        tracing::warn!(
            event = "change-passed",
            replica = news.id,
            revision = news.revision,
            held,
            at
        );
    }
    if !is_first {
        taken.iter().for_each(|taken| note_taken(relay, taken));
    }
    awaited.into_iter().for_each(|id| await_replica(relay, id, at));
}

/// Asks an engine that is missing from a list read at the revision `at`, and may be back soon: one that
/// does not answer either is dropped at once. Plain services know no reports, and are not asked.
fn await_replica(relay: &Rc<Relay>, id: String, at: u64) {
    tracing::info!(event = "replica-awaited", replica = id, at);
    let Some(address) = engine_address(relay, &id) else { return };
    let relay = relay.clone();
    spawn_local(async move {
        let is_reachable = is_reachable(&relay, address).await;
        let still_missing = relay.state.borrow().fleet.is_awaited(&id);
        if !is_reachable && still_missing {
            tell_and_take(&relay, vec![gone(id, at)], UpdateSource::Expiry);
        }
    });
}

fn gone(id: String, revision: u64) -> ReplicaUpdate {
    ReplicaUpdate { id, revision, entry: None }
}

/// Address of a replica that is an engine.
fn engine_address(relay: &Relay, id: &str) -> Option<SocketAddr> {
    let config = relay.config()?;
    let state = relay.state.borrow();
    let replica = state.fleet.view.get(id)?;
    let is_engine = config.services.get(&replica.service)?.engine.is_some();
    is_engine.then_some(replica.address)
}

/// Drops replicas that were waited for and did not come back.
pub fn drop_expired(relay: &Relay) {
    let lapsed = relay.state.borrow_mut().fleet.take_expired(now_millis());
    tell_and_take(relay, lapsed, UpdateSource::Expiry);
}

/// Takes over what a watch of the store told, and tells the relays of the data centre.
pub fn apply_watch_changes(relay: &Relay, changes: Vec<ObjectChange>) {
    // One after the other: what an entry that is no replica's own stands in the place of may have come just before.
    let mut told = Vec::with_capacity(changes.len());
    for change in changes {
        let Some(news) = change_news(relay, change) else { continue };
        told.push(news.clone());
        apply_updates(relay, vec![news], UpdateSource::Watch);
    }
    if !told.is_empty() {
        send_fleet_changes(relay, told);
    }
}

fn tell_and_take(relay: &Relay, news: Vec<ReplicaUpdate>, source: UpdateSource) {
    if !news.is_empty() {
        send_fleet_changes(relay, news.clone());
        apply_updates(relay, news, source);
    }
}

fn change_news(relay: &Relay, change: ObjectChange) -> Option<ReplicaUpdate> {
    match change.gone {
        true => Some(gone(change.object.metadata.name, change.object.metadata.revision)),
        false => read_news(relay, &change.object),
    }
}

fn read_news(relay: &Relay, object: &ListedObject) -> Option<ReplicaUpdate> {
    let ObjectMetadata { name, revision } = &object.metadata;
    let entry = decode_replica(name, &object.spec).map_err(|error| error.to_string());
    match entry.and_then(check_start) {
        Ok(entry) => {
            Some(ReplicaUpdate { id: name.clone(), revision: *revision, entry: Some(entry) })
        }
        Err(why) => {
            let mut state = relay.state.borrow_mut();
            if state.foreign_entries.record(name, *revision) {
                count(&relay.counts.odd_entries);
                tracing::warn!(event = "replica-unreadable", replica = name, revision, why);
            }
            state.fleet.overwritten(name, *revision)
        }
    }
}

/// A replica cannot have started long after now: whoever wrote that is none.
fn check_start(entry: ReplicaEntry) -> Result<ReplicaEntry, String> {
    match entry.instance.is_plausible(epoch_millis()) {
        true => Ok(entry),
        false => Err(format!("a start at {}, far ahead of now", entry.instance.started_at())),
    }
}

/// Whether a report counts that the replica at an address gave. One of an earlier life than its entry's does not;
/// one of a later life ends what is known of the earlier one at once, before the list tells.
pub fn accept_report_start(relay: &Relay, address: SocketAddr, born: Millis) -> bool {
    let known =
        relay.state.borrow().fleet.view.at_address(address).map(|entry| entry.instance.clone());
    let Some(instance) = known.filter(|instance| born > 0 && instance.started_at() > 0) else {
        return true;
    };
    if born <= instance.started_at() {
        return born == instance.started_at();
    }
    if !instance.restarted_at(born).is_plausible(epoch_millis()) {
        tracing::warn!(event = "report-unreadable", %address, born, why = "far ahead of now");
        return false;
    }
    let taken = relay.state.borrow_mut().fleet.apply_start(instance.id(), born, now_millis());
    if let Some(taken) = taken {
        note_taken(relay, &taken);
        send_fleet_changes(relay, held_news(relay, instance.id()));
    }
    true
}

/// Takes a replica's own word that it is leaving, and tells the relays of the data centre.
pub fn apply_draining(relay: &Relay, instance: &ReplicaInstance) {
    let taken = relay.state.borrow_mut().fleet.apply_draining(instance);
    let Some(taken) = taken else { return };
    count(&relay.counts.leaving_told);
    note_taken(relay, &taken);
    send_fleet_changes(relay, held_news(relay, instance.id()));
}

/// What is held of a replica, as news for others.
fn held_news(relay: &Relay, id: &str) -> Vec<ReplicaUpdate> {
    let state = relay.state.borrow();
    let (entry, revision) = (state.fleet.view.get(id), state.fleet.view.revision(id));
    let held = entry.zip(revision);
    held.map(|(entry, revision)| ReplicaUpdate {
        id: id.to_owned(),
        revision,
        entry: Some(entry.clone()),
    })
    .into_iter()
    .collect()
}

/// Takes over news of replicas, from the store or from another relay.
pub fn apply_updates(relay: &Relay, news: Vec<ReplicaUpdate>, source: UpdateSource) {
    let taken = relay.state.borrow_mut().fleet.apply_all(news, source, now_millis());
    taken.iter().for_each(|taken| note_taken(relay, taken));
}

/// Writes a line where news changed something: with its revision, what was held before, and where it
/// came from. Running streams then look at their paths.
fn note_taken(relay: &Relay, taken: &AppliedUpdate) {
    let AppliedUpdate {
        id, instance, ended, address, layers, change, revision, held, source, ..
    } = taken;
    if *change == FleetChange::Older {
        count(&relay.counts.older_news);
        tracing::debug!(event = "older-news", replica = id, revision, held, %source);
    }
    let Some(address) = *address else { return };
    ended.iter().for_each(|ended| {
        if !taken.is_planned {
            record_replica_loss(relay, ended);
        }
        forget_life(relay, ended, address);
    });
    let layers = layers.map(|range| (range.from, range.to));
    match change {
        FleetChange::Unchanged | FleetChange::Older => return,
        FleetChange::Joined => {
            tracing::info!(event = "replica-listed", replica = id, %address, ?change, ?layers, revision, %source);
            return;
        }
        FleetChange::Draining => {
            tracing::info!(event = "replica-draining", replica = id, %address, revision, held, %source);
        }
        FleetChange::Restarted => {
            count(&relay.counts.restarted);
            let born = instance.as_ref().map(ReplicaInstance::started_at);
            tracing::info!(event = "replica-restarted", replica = id, born, %address, ?layers, revision, held, %source);
        }
        FleetChange::Gone => {
            tracing::info!(event = "replica-gone", replica = id, %address, revision, held, %source);
        }
        FleetChange::Returned => {
            count(&relay.counts.returned);
            tracing::warn!(event = "replica-returned", replica = id, %address, ?layers, revision, held, %source);
        }
        FleetChange::Updated => {
            tracing::info!(event = "replica-listed", replica = id, %address, ?change, ?layers, revision, held, %source);
        }
    }
    relay.request_path_check();
}

/// Forgets what was learnt of a life of a replica that ended.
fn forget_life(relay: &Relay, instance: &ReplicaInstance, address: SocketAddr) {
    {
        let mut state = relay.state.borrow_mut();
        state.suspects.clear(instance);
        state.short_of_memory.clear(instance);
        state.stalls.forget(instance);
        state.service_loads.forget(instance);
        state.slowdowns.forget(instance);
    }
    relay.pool.close_idle(address);
    relay.reports.remove(address);
}
