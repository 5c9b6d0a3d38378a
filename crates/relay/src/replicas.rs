//! Applies updates of replicas from the store and from other relays.
//!
//! Updates arrive by lists of the store, by watches of it, and from other relays of the data
//! centre. All are applied here, and logged with their source.

use std::{net::SocketAddr, rc::Rc};

use switchfold_kernel::clock::{epoch_millis, now_millis};
use switchfold_platform::{
    objects::{ListedObject, ObjectChange, ObjectList, ObjectMetadata, describe},
    replicas::decode_replica,
};
use switchfold_router::{
    Millis,
    fleet::{FleetChange, ReplicaEntry, ReplicaUpdate},
    instance::{ReplicaInstance, StartBound},
    replicas::{AppliedList, AppliedUpdate, EraStart, FleetList, UpdateSource},
};
use tokio::task::spawn_local;

use crate::{
    counts::count, engines::is_reachable, gossip::send_fleet_changes, quarantine::record_crash,
    state::Relay,
};

/// Applies a full list of the store that was requested at `sent`.
pub fn apply_store_list(relay: &Rc<Relay>, list: ObjectList, sent: Millis) {
    let decoded: Vec<DecodedEntry> =
        list.items.iter().map(|item| decode_entry(relay, item)).collect();
    let starts = decoded.iter().filter_map(|decoded| decoded.as_ref().ok());
    let bound = StartBound::new(epoch_millis(), starts.map(|entry| entry.instance.started_at()));
    let listed = list.items.iter().zip(decoded);
    let listed = listed
        .filter_map(|(item, decoded)| read_update(relay, &item.metadata, decoded, bound))
        .collect();
    let list = FleetList { listed, at: list.revision };
    let confirmed = relay.state.borrow().fleet.confirmed_by(&list, now_millis());
    if !confirmed.is_empty() {
        send_fleet_changes(relay, confirmed, UpdateSource::List);
    }
    apply_list(relay, list, UpdateSource::List, sent);
}

/// Applies a full list that was in force at `sent`.
pub fn apply_list(relay: &Rc<Relay>, list: FleetList, source: UpdateSource, sent: Millis) {
    let at = list.at;
    let is_first = relay.state.borrow().fleet.view.is_empty();
    if is_first {
        tracing::info!(event = "replicas-listed", count = list.listed.len(), at, %source);
    }
    let AppliedList { applied, awaited, missed, era_start } =
        relay.state.borrow_mut().fleet.apply_list(list, source, sent, now_millis());
    if let Some(EraStart { era, unconfirmed }) = era_start {
        count(&relay.counts.store_copies);
        let (listed, awaited) = (applied.len(), awaited.len());
        tracing::warn!(event = "store-copy", era, at, %source, listed, awaited, doubted = unconfirmed);
    }
    for (update, held) in missed {
        count(&relay.counts.passed_changes);
        tracing::warn!(
            event = "change-passed",
            replica = update.id,
            revision = update.revision,
            held,
            at
        );
    }
    if !is_first {
        applied.iter().for_each(|applied| record_applied(relay, applied));
    }
    awaited.into_iter().for_each(|id| await_replica(relay, id, at));
}

/// Checks an engine that is missing from a list read at revision `at`, and may reappear soon: if it
/// is not reachable either, it is removed at once. Replicas of plain services have no control
/// interface and are not checked.
fn await_replica(relay: &Rc<Relay>, id: String, at: u64) {
    tracing::info!(event = "replica-awaited", replica = id, at);
    let Some(address) = engine_address(relay, &id) else { return };
    let relay = relay.clone();
    spawn_local(async move {
        let is_reachable = is_reachable(&relay, address).await;
        let still_missing = relay.state.borrow().fleet.is_awaited(&id);
        if !is_reachable && still_missing {
            send_and_apply(&relay, vec![removal(id, at)], UpdateSource::Expiry);
        }
    });
}

fn removal(id: String, revision: u64) -> ReplicaUpdate {
    ReplicaUpdate { id, revision, entry: None }
}

/// Returns the address of a replica if it is an engine.
fn engine_address(relay: &Relay, id: &str) -> Option<SocketAddr> {
    let config = relay.config()?;
    let state = relay.state.borrow();
    let replica = state.fleet.view.get(id)?;
    let is_engine = config.services.get(&replica.service)?.engine.is_some();
    is_engine.then_some(replica.address)
}

/// Removes missing replicas that did not reappear in time.
pub fn remove_expired(relay: &Relay) {
    let expired = relay.state.borrow_mut().fleet.take_expired(now_millis());
    send_and_apply(relay, expired, UpdateSource::Expiry);
}

/// Applies changes from a watch of the store, and sends them to the relays of the data centre.
pub fn apply_watch_changes(relay: &Relay, changes: Vec<ObjectChange>) {
    // Applied one by one: if an entry was not written by its replica, the update is derived from
    // the entry that it overwrote, which may be in the same batch.
    let mut updates = Vec::with_capacity(changes.len());
    for change in changes {
        let Some(update) = change_update(relay, change) else { continue };
        updates.push(update.clone());
        apply_updates(relay, vec![update], UpdateSource::Watch);
    }
    if !updates.is_empty() {
        send_fleet_changes(relay, updates, UpdateSource::Watch);
    }
}

fn send_and_apply(relay: &Relay, updates: Vec<ReplicaUpdate>, source: UpdateSource) {
    if !updates.is_empty() {
        send_fleet_changes(relay, updates.clone(), source);
        apply_updates(relay, updates, source);
    }
}

fn change_update(relay: &Relay, change: ObjectChange) -> Option<ReplicaUpdate> {
    let ObjectChange { removed, object } = change;
    if removed {
        return Some(removal(object.metadata.name, object.metadata.revision));
    }
    let decoded = decode_entry(relay, &object);
    read_update(relay, &object.metadata, decoded, start_bound(relay))
}

/// The entry of an object, or why it describes no replica.
type DecodedEntry = Result<ReplicaEntry, String>;

fn decode_entry(relay: &Relay, object: &ListedObject) -> DecodedEntry {
    let spec = object.readable_spec()?;
    let entry = decode_replica(&object.metadata.name, spec);
    let entry = entry.map_err(|error| describe(&error))?;
    match relay.settings.is_own_address(entry.address) {
        true => Err(format!("{} is an address of this relay", entry.address)),
        false => Ok(entry),
    }
}

/// Returns the bound on starts by the replicas that are known.
fn start_bound(relay: &Relay) -> StartBound {
    StartBound::new(epoch_millis(), relay.state.borrow().fleet.view.starts())
}

fn read_update(
    relay: &Relay,
    metadata: &ObjectMetadata,
    decoded: DecodedEntry,
    bound: StartBound,
) -> Option<ReplicaUpdate> {
    let ObjectMetadata { name, revision } = metadata;
    let possible = decoded.and_then(|entry| match bound.allows(&entry.instance) {
        true => Ok(entry),
        // Such a start was not written by a replica.
        false => Err(format!("start time {} is far in the future", entry.instance.started_at())),
    });
    match possible {
        Ok(entry) => {
            Some(ReplicaUpdate { id: name.clone(), revision: *revision, entry: Some(entry) })
        }
        Err(why) => {
            let mut state = relay.state.borrow_mut();
            if state.foreign_entries.record(name, *revision) {
                count(&relay.counts.odd_entries);
                let replica = describe(name);
                tracing::warn!(event = "replica-unreadable", replica, revision, why);
            }
            state.fleet.overwritten(name, *revision)
        }
    }
}

/// Returns whether the report of the replica at an address is valid. `started_at` is the start that
/// the report names, as unix time in milliseconds, or 0.
///
/// A report of an earlier instance than the listed one is not valid. One of a later instance
/// replaces the listed one at once, before the list shows it.
pub fn accept_report_start(relay: &Relay, address: SocketAddr, started_at: Millis) -> bool {
    let known = relay.instance_at(address);
    let Some(instance) = known.filter(|instance| started_at > 0 && instance.started_at() > 0)
    else {
        return true;
    };
    if started_at <= instance.started_at() {
        return started_at == instance.started_at();
    }
    if !start_bound(relay).allows(&instance.restarted_at(started_at)) {
        tracing::warn!(event = "report-unreadable", %address, born = started_at, why = "far in the future");
        return false;
    }
    let applied =
        relay.state.borrow_mut().fleet.apply_start(instance.id(), started_at, now_millis());
    if let Some(applied) = applied {
        record_applied(relay, &applied);
        send_fleet_changes(relay, known_update(relay, instance.id()), UpdateSource::Report);
    }
    true
}

/// Marks a replica as draining after it announced in a response that it is leaving, and sends that
/// to the relays of the data centre.
pub fn apply_draining(relay: &Relay, instance: &ReplicaInstance) {
    let applied = relay.state.borrow_mut().fleet.apply_draining(instance);
    let Some(applied) = applied else { return };
    count(&relay.counts.leaving_told);
    record_applied(relay, &applied);
    send_fleet_changes(relay, known_update(relay, instance.id()), UpdateSource::Answer);
}

/// Returns the known entry of a replica as an update for other relays.
fn known_update(relay: &Relay, id: &str) -> Vec<ReplicaUpdate> {
    let state = relay.state.borrow();
    let (entry, revision) = (state.fleet.view.get(id), state.fleet.view.revision(id));
    let known = entry.zip(revision);
    known
        .map(|(entry, revision)| ReplicaUpdate {
            id: id.to_owned(),
            revision,
            entry: Some(entry.clone()),
        })
        .into_iter()
        .collect()
}

/// Applies updates of replicas from the store or from another relay.
pub fn apply_updates(relay: &Relay, updates: Vec<ReplicaUpdate>, source: UpdateSource) {
    let applied = relay.state.borrow_mut().fleet.apply_all(updates, source, now_millis());
    applied.iter().for_each(|applied| record_applied(relay, applied));
}

/// Logs an applied update with its revision, the revision known before, and its source, and
/// discards what is known of instances that it ends. If it changed something, running streams check
/// their paths.
fn record_applied(relay: &Relay, update: &AppliedUpdate) {
    let AppliedUpdate {
        id, instance, ended, address, layers, change, revision, held, source, ..
    } = update;
    if *change == FleetChange::Older {
        count(&relay.counts.older_news);
        tracing::debug!(event = "older-news", replica = id, revision, held, %source);
    }
    let Some(address) = *address else { return };
    ended.iter().for_each(|ended| {
        if !update.is_planned {
            record_crash(relay, ended);
        }
        discard_instance_state(relay, ended, address);
    });
    let layers = layers.map(|range| (range.from, range.to));
    match change {
        FleetChange::Unchanged | FleetChange::Older => return,
        FleetChange::Unconfirmed => {
            tracing::warn!(event = "replica-unconfirmed", replica = id, %address, revision, %source);
            return;
        }
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

/// Discards what was learnt about a replica instance that has ended.
fn discard_instance_state(relay: &Relay, instance: &ReplicaInstance, address: SocketAddr) {
    {
        let mut state = relay.state.borrow_mut();
        state.suspects.clear(instance);
        state.short_of_memory.clear(instance);
        state.stalls.remove(instance);
        state.service_loads.remove(instance);
        state.slowdowns.remove(instance);
    }
    relay.pool.close_idle(address);
    relay.reports.remove(address);
}
