//! Follows the configuration and the list of replicas in the store.
//!
//! Each is listed once, then watched from the revision of the list. A freshness lease is renewed
//! from the time at which a read was sent, never from that of its answer. In each data centre one
//! relay follows the store; the others receive its updates, ask it for snapshots of what they lack,
//! and read the store themselves only if no neighbour can provide that.

use std::{mem::replace, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{hash::hash_bytes, retry::Backoff};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    CONFIG_NAME,
    config::{decode_config, decode_version},
    objects::{ListedObject, ObjectChanges, ObjectList, describe},
};
use switchfold_router::{
    Millis,
    era::era_of,
    follow::{
        CONFIG_TIMINGS, FollowInputs, FollowStep, FollowTimings, REPLICA_TIMINGS, ReadCause,
        STORE_TIMEOUT, StoreFollower,
    },
};
use switchfold_store::StoreError;
use tokio::time::sleep;

use crate::{
    gossip::{SendScope, send_state, send_state_soon},
    registry::wait_for_source,
    replicas::{apply_store_list, apply_watch_changes},
    settings::RelaySettings,
    snapshot::apply::{fetch_config, fetch_replicas},
    state::{ConfigObject, Relay},
    store_calls::{CallCause, CallKind, CallVerb, CountedStore},
};

/// A kind of object that is followed, and how its changes are applied.
struct FollowedKind {
    kind: CallKind,
    timings: FollowTimings,
    /// Applies a list that was requested at a time.
    apply_list: fn(&Rc<Relay>, ObjectList, Millis),
    /// Applies changes from a watch.
    apply_changes: fn(&Relay, ObjectChanges),
    /// Records a successful read that was sent at a time, and the revision up to which it read.
    record_read: fn(&Relay, Millis, u64),
    /// Records a failed read that was sent at a time.
    record_loss: fn(&Relay, Millis),
    /// Returns the inputs of the decision what to read next.
    inputs: fn(&Relay, Millis) -> FollowInputs,
}

/// Follows the configuration for as long as the process runs.
pub async fn follow_config(relay: Rc<Relay>) {
    let followed = FollowedKind {
        kind: CallKind::Config,
        timings: CONFIG_TIMINGS,
        apply_list: |relay, list, _| {
            list.items.iter().for_each(|item| read_config(relay, item, list.revision))
        },
        apply_changes: |relay, changes| {
            let present = changes.events.decoded.iter().filter(|change| !change.removed);
            present.for_each(|change| read_config(relay, &change.object, changes.revision));
        },
        record_read: |relay, sent, at| {
            let mut state = relay.state.borrow_mut();
            let (version, now) = (state.config_version(), now_millis());
            let is_behind = state.peers.had_newer_config(version, sent, now);
            if is_behind {
                tracing::warn!(event = "config-behind-peers", version, at);
            }
            if !state.config_unconfirmed && !is_behind {
                state.config_lease.record_proof(sent);
                state.config_lease.record_answer(now);
            }
            if let Some(object) = &mut state.config_object {
                object.at = at;
            }
        },
        record_loss: |relay, sent| {
            let mut state = relay.state.borrow_mut();
            state.config_lease.record_loss(sent);
            state.fleet.record_loss_elsewhere(sent, now_millis());
        },
        inputs: config_inputs,
    };
    follow(relay, followed).await;
}

fn config_inputs(relay: &Relay, now: Millis) -> FollowInputs {
    let state = relay.state.borrow();
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let (peers, version) = (&state.peers, state.config_version());
    let preceding = peers.preceding(name, data_centre, now);
    FollowInputs {
        is_read_by_peer: peers.config_read_by_peer(name, data_centre, version, now),
        peer_has_newer: peers.peer_has_newer_config(name, data_centre, version, now),
        source: peers.config_source(name, data_centre, version, now).map(|source| source.order),
        preceding: preceding.live,
        preceding_lost: preceding.lost_config,
        needs_full_list: false,
        is_retried_elsewhere: false,
    }
}

/// Follows the list of replicas for as long as the process runs.
pub async fn follow_replicas(relay: Rc<Relay>) {
    let followed = FollowedKind {
        kind: CallKind::Replicas,
        timings: REPLICA_TIMINGS,
        apply_list: apply_store_list,
        apply_changes: |relay, changes| apply_watch_changes(relay, changes.events.decoded),
        record_read: |relay, sent, at| {
            relay.state.borrow_mut().fleet.record_read(sent, at, now_millis());
        },
        record_loss: |relay, sent| relay.state.borrow_mut().fleet.record_loss(sent),
        inputs: replica_inputs,
    };
    follow(relay, followed).await;
}

fn replica_inputs(relay: &Relay, now: Millis) -> FollowInputs {
    let state = relay.state.borrow();
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let (peers, fleet) = (&state.peers, &state.fleet);
    let source = peers.fleet_source(name, data_centre, fleet.has_no_list(), now);
    let preceding = peers.preceding(name, data_centre, now);
    FollowInputs {
        is_read_by_peer: peers.fleet_read_by_peer(name, data_centre, now),
        peer_has_newer: false,
        needs_full_list: fleet.needs_full_list(now),
        source: source.map(|source| source.order),
        preceding: preceding.live,
        preceding_lost: preceding.lost_fleet,
        // Both kinds are in the same store: one retry shows whether it is available again.
        is_retried_elsewhere: state.config_lease.is_lost(),
    }
}

async fn follow(relay: Rc<Relay>, followed: FollowedKind) {
    let timings = {
        let bounds = relay.bounds.borrow();
        followed.timings.within_bounds(bounds.contact(), bounds.max_state_age())
    };
    let platform = relay.settings.platform.to_string();
    let list_timeout = Duration::from_millis(timings.list_timeout);
    let list_store = CountedStore::new(&platform, list_timeout, &relay.calls);
    let watch_timeout = Duration::from_millis(timings.wait + STORE_TIMEOUT);
    let watch_store = CountedStore::new(&platform, watch_timeout, &relay.calls);
    let seed = hash_bytes(0, relay.settings.name.as_bytes());
    let seed = hash_bytes(seed, followed.kind.name().as_bytes());
    let mut follower = StoreFollower::new(timings, Backoff::new(ChaCha8Rng::seed_from_u64(seed)));
    let mut lost_at: Option<Millis> = None;
    // Whether this relay has announced to its neighbours that it reads the store.
    let mut is_reader = false;
    let inputs_at = followed.inputs;
    wait_for_source(&relay, |_, now| inputs_at(&relay, now).source.is_some()).await;
    loop {
        let sent = now_millis();
        let inputs = inputs_at(&relay, sent);
        let outcome = match follower.next_step(&inputs, sent) {
            FollowStep::Wait(pause) => {
                is_reader &= !inputs.is_read_by_peer;
                sleep(Duration::from_millis(pause)).await;
                continue;
            }
            FollowStep::Ask => {
                is_reader = false;
                match ask_neighbour(&relay, followed.kind).await {
                    Some(at) => follower.record_snapshot(at, now_millis()),
                    None => follower.record_no_snapshot(now_millis()),
                }
                continue;
            }
            FollowStep::List(cause) => list_once(&relay, &list_store, &followed, cause, sent).await,
            FollowStep::Watch(after) => watch_once(&relay, &watch_store, &followed, after).await,
        };
        match outcome {
            Ok(at) => {
                (followed.record_read)(&relay, sent, at);
                follower.record_answer(at, now_millis());
                if let Some(lost) = lost_at.take() {
                    let out_ms = now_millis() - lost;
                    tracing::info!(event = "store-regained", kind = %followed.kind, out_ms, at);
                    is_reader = false;
                }
                match replace(&mut is_reader, true) {
                    // May be sent later: the others receive it from their speakers as well.
                    true => send_state_soon(&relay, SendScope::SameDataCentre),
                    // Sent at once, so that neighbours ask this relay instead of the store.
                    false => send_state(&relay, SendScope::SameDataCentre),
                }
            }
            Err(StoreError::RevisionExpired) => {
                let after = follower.revision();
                tracing::info!(event = "history-gone", kind = %followed.kind, after);
                follower.record_gap();
            }
            Err(error) => {
                (followed.record_loss)(&relay, sent);
                follower.record_failure(sent, inputs_at(&relay, now_millis()).preceding_lost);
                if lost_at.is_none() {
                    lost_at = Some(sent);
                    // Sent at once: the relays on whose behalf this one read now read themselves.
                    send_state(&relay, SendScope::SameDataCentre);
                    tracing::warn!(event = "store-lost", kind = %followed.kind, %error);
                }
            }
        }
    }
}

async fn ask_neighbour(relay: &Rc<Relay>, kind: CallKind) -> Option<u64> {
    match kind {
        CallKind::Config => fetch_config(relay).await,
        CallKind::Replicas => fetch_replicas(relay).await,
        CallKind::Relays | CallKind::Quarantine => None,
    }
}

async fn list_once(
    relay: &Rc<Relay>,
    store: &CountedStore,
    followed: &FollowedKind,
    cause: ReadCause,
    sent: Millis,
) -> Result<u64, StoreError> {
    let list = store.list(followed.kind, CallVerb::List, CallCause::Follow(cause)).await?;
    let at = list.revision;
    tracing::debug!(event = "store-read", kind = %followed.kind, at, items = list.items.len());
    record_unreadable(relay, followed.kind, &list.unreadable, at);
    (followed.apply_list)(relay, list, sent);
    Ok(at)
}

/// Counts and logs objects whose names could not be decoded. The other objects are applied.
fn record_unreadable(relay: &Relay, kind: CallKind, errors: &[String], at: u64) {
    let Some(first) = errors.first() else { return };
    relay.counts.odd_entries.set(relay.counts.odd_entries.get() + errors.len() as u64);
    if kind == CallKind::Config {
        // It may be the newest configuration, so the one in force can no longer be confirmed.
        relay.state.borrow_mut().config_unconfirmed = true;
    }
    tracing::warn!(event = "objects-unreadable", %kind, at, count = errors.len(), first);
}

async fn watch_once(
    relay: &Relay,
    store: &CountedStore,
    followed: &FollowedKind,
    after: u64,
) -> Result<u64, StoreError> {
    let wait = Duration::from_millis(followed.timings.wait);
    let changes = store.watch(followed.kind, after, wait).await?;
    record_unreadable(relay, followed.kind, &changes.events.unreadable, changes.revision);
    let (at, changed) = (changes.revision, changes.events.decoded.len());
    tracing::debug!(event = "store-watched", kind = %followed.kind, after, at, changed);
    let is_complete = changes.events.unreadable.is_empty();
    (followed.apply_changes)(relay, changes);
    // An unreadable change may be one of any object. A list shows the state after it.
    if is_complete { Ok(at.max(after)) } else { Err(StoreError::RevisionExpired) }
}

fn read_config(relay: &Relay, object: &ListedObject, at: u64) {
    if object.metadata.name != CONFIG_NAME {
        return;
    }
    let revision = object.metadata.revision;
    match object.readable_spec() {
        Ok(spec) if apply_config(relay, spec, revision, at) => {
            // Neighbours ask for the new version once they know of it.
            send_state(relay, SendScope::SameDataCentre);
        }
        Ok(_) => {}
        Err(error) => record_unreadable_config(relay, error, revision),
    }
}

/// Records that the newest configuration could not be decoded.
fn record_unreadable_config(relay: &Relay, error: &str, revision: u64) {
    relay.state.borrow_mut().config_unconfirmed = true;
    tracing::error!(event = "config-unreadable", error, revision);
}

/// Records that the store holds no newer version than the one in force.
///
/// If it holds an older one since it was restored from a backup, the operator will write again, and
/// may have written further versions that are lost. The version in force is then not confirmed
/// until it is in the store again.
fn record_older_config(relay: &Relay, is_in_force: bool, revision: u64, at: u64) {
    let mut state = relay.state.borrow_mut();
    if is_in_force {
        state.config_unconfirmed = false;
        if let Some(object) = &mut state.config_object {
            object.revision = object.revision.max(revision);
        }
        return;
    }
    let read = state.config_object.as_ref().map_or(0, |object| object.revision);
    if era_of(at) > era_of(read) && !state.config_unconfirmed {
        state.config_unconfirmed = true;
        tracing::warn!(event = "config-behind", revision, at);
    }
}

/// Applies a configuration from the store or from a neighbour, and returns whether it is newer than
/// the one in force. `revision` is that of its last change, `at` the one up to which the store was
/// read.
pub fn apply_config(relay: &Relay, spec: &serde_json::Value, revision: u64, at: u64) -> bool {
    let current = relay.config().map_or(0, |config| config.version);
    let decoded = match decode_version(spec) {
        Ok(version) if version <= current => {
            record_older_config(relay, version == current, revision, at);
            return false;
        }
        Ok(_) => decode_config(spec),
        Err(error) => Err(error),
    };
    let config = match decoded {
        Ok(config) => Rc::new(config),
        Err(error) => {
            record_unreadable_config(relay, &describe(&error), revision);
            return false;
        }
    };
    let (version, routes) = (config.version, config.route_count());
    let (organisations, keys) = (config.organisation_count(), config.key_count());
    let object = ConfigObject { revision, at, spec: Bytes::from(spec.to_string()) };
    {
        let apply_time = relay.bounds.borrow().config_apply();
        let mut state = relay.state.borrow_mut();
        let limits = config.limits.unwrap_or_default();
        state.caller_limits.record(limits, apply_time, now_millis());
        state.fleet.view.set_services(config.services.keys().map(String::as_str));
        state.config.replace_if_newer(version, config);
        state.config_unconfirmed = false;
        state.config_object = Some(object);
    }
    tracing::info!(event = "config-taken", version, routes, organisations, keys, revision);
    true
}
