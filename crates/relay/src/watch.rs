//! Following the store: the operator's configuration and the list of replicas.
//!
//! Each is listed once, then watched from the revision that the list told. What renews a freshness
//! lease is the time at which a read was sent, never when its answer came. In each data centre one
//! relay follows the store; the others hear from it, ask it for what they lack, and read for themselves only
//! where none can tell.

use std::{mem::replace, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{hash::hash_bytes, retry::Backoff};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    CONFIG_NAME,
    config::{decode_config, decode_version},
    objects::{ListedObject, ObjectChanges, ObjectList},
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
    registry::wait_at_start,
    replicas::{apply_store_list, apply_watch_changes},
    settings::RelaySettings,
    snapshot::apply::{fetch_config, fetch_replicas},
    state::{ConfigObject, Relay},
    store_calls::{CallCause, CallKind, CallVerb, CountedStore},
};

/// What is followed, and how its objects are taken over.
struct Followed {
    kind: CallKind,
    times: FollowTimings,
    apply_list: fn(&Rc<Relay>, ObjectList, Millis),
    take_changes: fn(&Relay, ObjectChanges),
    prove: fn(&Relay, Millis, u64),
    lose: fn(&Relay, Millis),
    see: fn(&Relay, Millis) -> FollowInputs,
}

/// Follows the configuration for good.
pub async fn follow_config(relay: Rc<Relay>) {
    let followed = Followed {
        kind: CallKind::Config,
        times: CONFIG_TIMINGS,
        apply_list: |relay, list, _| {
            list.items.iter().for_each(|item| read_config(relay, item, list.revision))
        },
        take_changes: |relay, changes| {
            let kept = changes.events.decoded.iter().filter(|change| !change.gone);
            kept.for_each(|change| read_config(relay, &change.object, changes.revision));
        },
        prove: |relay, sent, at| {
            let mut state = relay.state.borrow_mut();
            if !state.config_unconfirmed {
                state.config_lease.record_proof(sent);
                state.config_lease.record_answer(now_millis());
            }
            if let Some(object) = &mut state.config_object {
                object.at = at;
            }
        },
        lose: |relay, sent| {
            let mut state = relay.state.borrow_mut();
            state.config_lease.record_loss(sent);
            state.fleet.record_loss_elsewhere(sent, now_millis());
        },
        see: see_config,
    };
    follow(relay, followed).await;
}

fn see_config(relay: &Relay, now: Millis) -> FollowInputs {
    let state = relay.state.borrow();
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let (peers, version) = (&state.peers, state.config_version());
    let before = peers.preceding(name, data_centre, now);
    FollowInputs {
        is_read_by_peer: peers.config_read_by_peer(name, data_centre, version, now),
        peer_has_newer: peers.peer_has_newer_config(name, data_centre, version, now),
        source: peers.config_source(name, data_centre, version, now).map(|teller| teller.order),
        preceding: before.live,
        preceding_lost: before.lost_config,
        needs_full_list: false,
        is_retried_elsewhere: false,
    }
}

/// Follows the list of replicas for good.
pub async fn follow_replicas(relay: Rc<Relay>) {
    let followed = Followed {
        kind: CallKind::Replicas,
        times: REPLICA_TIMINGS,
        apply_list: apply_store_list,
        take_changes: |relay, changes| apply_watch_changes(relay, changes.events.decoded),
        prove: |relay, sent, at| {
            relay.state.borrow_mut().fleet.record_read(sent, at, now_millis());
        },
        lose: |relay, sent| relay.state.borrow_mut().fleet.record_loss(sent),
        see: see_replicas,
    };
    follow(relay, followed).await;
}

fn see_replicas(relay: &Relay, now: Millis) -> FollowInputs {
    let state = relay.state.borrow();
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let (peers, fleet) = (&state.peers, &state.fleet);
    let teller = peers.fleet_source(name, data_centre, fleet.has_no_list(), now);
    let before = peers.preceding(name, data_centre, now);
    FollowInputs {
        is_read_by_peer: peers.fleet_read_by_peer(name, data_centre, now),
        peer_has_newer: false,
        needs_full_list: fleet.needs_full_list(now),
        source: teller.map(|teller| teller.order),
        preceding: before.live,
        preceding_lost: before.lost_fleet,
        // Both kinds stand in one store: one call tells whether it is back.
        is_retried_elsewhere: state.config_lease.is_lost(),
    }
}

async fn follow(relay: Rc<Relay>, followed: Followed) {
    let times = {
        let bounds = relay.bounds.borrow();
        followed.times.within_bounds(bounds.contact(), bounds.max_state_age())
    };
    let platform = relay.settings.platform.to_string();
    let lists = Duration::from_millis(times.list_timeout);
    let lists = CountedStore::new(&platform, lists, &relay.calls);
    let watches = Duration::from_millis(times.wait + STORE_TIMEOUT);
    let watches = CountedStore::new(&platform, watches, &relay.calls);
    let seed = hash_bytes(0, relay.settings.name.as_bytes());
    let seed = hash_bytes(seed, followed.kind.name().as_bytes());
    let mut follower = StoreFollower::new(times, Backoff::new(ChaCha8Rng::seed_from_u64(seed)));
    let mut lost_at: Option<Millis> = None;
    // Whether the neighbours know that this relay reads the store.
    let mut is_reader = false;
    let see = followed.see;
    wait_at_start(&relay, |_, now| see(&relay, now).source.is_some()).await;
    loop {
        let sent = now_millis();
        let sight = see(&relay, sent);
        let outcome = match follower.next_step(&sight, sent) {
            FollowStep::Wait(pause) => {
                is_reader &= !sight.is_read_by_peer;
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
            FollowStep::List(cause) => list_once(&relay, &lists, &followed, cause, sent).await,
            FollowStep::Watch(after) => watch_once(&relay, &watches, &followed, after).await,
        };
        match outcome {
            Ok(at) => {
                (followed.prove)(&relay, sent, at);
                follower.record_answer(at, now_millis());
                if let Some(lost) = lost_at.take() {
                    let out_ms = now_millis() - lost;
                    tracing::info!(event = "store-regained", kind = %followed.kind, out_ms, at);
                    is_reader = false;
                }
                match replace(&mut is_reader, true) {
                    // The others hear it twice over: from this relay, and from those that speak for them.
                    true => send_state_soon(&relay, SendScope::SameDataCentre),
                    // Neighbours that need the store ask this relay, and do not make a call of their own.
                    false => send_state(&relay, SendScope::SameDataCentre),
                }
            }
            Err(StoreError::RevisionExpired) => {
                let after = follower.revision();
                tracing::info!(event = "history-gone", kind = %followed.kind, after);
                follower.record_gap();
            }
            Err(error) => {
                (followed.lose)(&relay, sent);
                follower.record_failure(sent, see(&relay, now_millis()).preceding_lost);
                if lost_at.is_none() {
                    lost_at = Some(sent);
                    // Those that this relay follows for read for themselves from now on.
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
    followed: &Followed,
    cause: ReadCause,
    sent: Millis,
) -> Result<u64, StoreError> {
    let list = store.list(followed.kind, CallVerb::List, CallCause::Follow(cause)).await?;
    let at = list.revision;
    tracing::debug!(event = "store-read", kind = %followed.kind, at, items = list.items.len());
    note_unreadable(relay, followed.kind, &list.unreadable, at);
    (followed.apply_list)(relay, list, sent);
    Ok(at)
}

/// Counts what came and is no object at all, and writes a line for it; the others hold.
fn note_unreadable(relay: &Relay, kind: CallKind, errors: &[String], at: u64) {
    let Some(first) = errors.first() else { return };
    relay.counts.odd_entries.set(relay.counts.odd_entries.get() + errors.len() as u64);
    if kind == CallKind::Config {
        // It may be the newest configuration: nothing proves the one in force.
        relay.state.borrow_mut().config_unconfirmed = true;
    }
    tracing::warn!(event = "objects-unreadable", %kind, at, count = errors.len(), first);
}

async fn watch_once(
    relay: &Relay,
    store: &CountedStore,
    followed: &Followed,
    after: u64,
) -> Result<u64, StoreError> {
    let wait = Duration::from_millis(followed.times.wait);
    let changes = store.watch(followed.kind, after, wait).await?;
    note_unreadable(relay, followed.kind, &changes.events.unreadable, changes.revision);
    let (at, changed) = (changes.revision, changes.events.decoded.len());
    tracing::debug!(event = "store-watched", kind = %followed.kind, after, at, changed);
    (followed.take_changes)(relay, changes);
    Ok(at.max(after))
}

fn read_config(relay: &Relay, object: &ListedObject, at: u64) {
    if object.metadata.name != CONFIG_NAME {
        return;
    }
    if apply_config(relay, &object.spec, object.metadata.revision, at) {
        // Neighbours ask for it once they hear of it.
        send_state(relay, SendScope::SameDataCentre);
    }
}

/// Notes that the store holds no newer version than the one in force. Where it came back from a copy and holds an older
/// one, the operator writes again, and may have written more that was lost: nothing proves the one in force until it
/// stands in the store again.
fn note_older_config(relay: &Relay, is_in_force: bool, revision: u64, at: u64) {
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

/// Takes over a configuration of a revision, read up to the revision `at`, from the store or from a neighbour;
/// tells whether it is a newer one.
pub fn apply_config(relay: &Relay, spec: &serde_json::Value, revision: u64, at: u64) -> bool {
    let current = relay.config().map_or(0, |config| config.version);
    let decoded = match decode_version(spec) {
        Ok(version) if version <= current => {
            note_older_config(relay, version == current, revision, at);
            return false;
        }
        Ok(_) => decode_config(spec),
        Err(error) => Err(error),
    };
    let config = match decoded {
        Ok(config) => Rc::new(config),
        Err(error) => {
            relay.state.borrow_mut().config_unconfirmed = true;
            tracing::error!(event = "config-unreadable", %error, revision);
            return false;
        }
    };
    let (version, routes) = (config.version, config.route_count());
    let object = ConfigObject { revision, at, spec: Bytes::from(spec.to_string()) };
    {
        let mut state = relay.state.borrow_mut();
        state.fleet.view.set_services(config.services.keys().map(String::as_str));
        state.config.replace_if_newer(version, config);
        state.config_unconfirmed = false;
        state.config_object = Some(object);
    }
    tracing::info!(event = "config-taken", version, routes, revision);
    true
}
