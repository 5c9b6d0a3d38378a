//! Following the store: the operator's configuration and the list of replicas.
//!
//! Each is listed once, then watched from the revision that the list told. What renews a freshness
//! lease is the time at which a read was sent, never when its answer came. In each data centre one
//! relay follows the store; the others hear from it and read for themselves only where its last answer
//! of the store is old, it says that it lost the store, or its state differs from theirs.

use std::{rc::Rc, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{hash::hash_bytes, retry::Backoff};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    CONFIG_NAME,
    config::{decode_config, decode_version},
    objects::{ListedObject, ObjectChange, ObjectList},
};
use switchfold_router::{
    Millis,
    follow::{
        CONFIG_TIMES, FollowStep, FollowTimes, REPLICA_TIMES, ReadCause, STORE_PATIENCE,
        StoreFollower,
    },
};
use switchfold_store::StoreError;
use tokio::time::sleep;

use crate::{
    peers::tell_state,
    replicas::{take_replica_changes, take_replica_list},
    settings::RelaySettings,
    state::Relay,
    store_calls::{CallCause, CallKind, CallVerb, CountedStore},
};

/// What is followed, and how its objects are taken over.
struct Followed {
    kind: CallKind,
    times: FollowTimes,
    take_list: fn(&Rc<Relay>, ObjectList, Millis),
    take_changes: fn(&Relay, Vec<ObjectChange>),
    prove: fn(&Relay, Millis, u64),
    lose: fn(&Relay, Millis),
    is_covered: fn(&Relay, Millis) -> bool,
    hears_newer: fn(&Relay, Millis) -> bool,
}

/// Follows the configuration for good.
pub async fn follow_config(relay: Rc<Relay>) {
    let followed = Followed {
        kind: CallKind::Config,
        times: CONFIG_TIMES,
        take_list: |relay, list, _| list.items.iter().for_each(|item| take_config(relay, item)),
        take_changes: |relay, changes| {
            let kept = changes.iter().filter(|change| !change.gone);
            kept.for_each(|change| take_config(relay, &change.object));
        },
        prove: |relay, sent, _| {
            let mut beliefs = relay.beliefs.borrow_mut();
            if !beliefs.config_unreadable {
                beliefs.config_lease.prove(sent);
                beliefs.config_lease.note_answer(now_millis());
            }
        },
        lose: |relay, sent| relay.beliefs.borrow_mut().config_lease.note_lost(sent),
        is_covered: |relay, now| {
            let beliefs = relay.beliefs.borrow();
            let RelaySettings { name, data_centre, .. } = &relay.settings;
            beliefs.peers.covers_config(name, data_centre, beliefs.config_version(), now)
        },
        hears_newer: |relay, now| {
            let beliefs = relay.beliefs.borrow();
            let RelaySettings { name, data_centre, .. } = &relay.settings;
            beliefs.peers.hears_newer_config(name, data_centre, beliefs.config_version(), now)
        },
    };
    follow(relay, followed).await;
}

/// Follows the list of replicas for good.
pub async fn follow_replicas(relay: Rc<Relay>) {
    let followed = Followed {
        kind: CallKind::Replicas,
        times: REPLICA_TIMES,
        take_list: take_replica_list,
        take_changes: take_replica_changes,
        prove: |relay, sent, at| {
            relay.beliefs.borrow_mut().fleet.note_read(sent, at, now_millis());
        },
        lose: |relay, sent| relay.beliefs.borrow_mut().fleet.note_lost(sent),
        is_covered: |relay, now| {
            let RelaySettings { name, data_centre, .. } = &relay.settings;
            relay.beliefs.borrow().peers.covers_fleet(name, data_centre, now)
        },
        hears_newer: |_, _| false,
    };
    follow(relay, followed).await;
}

async fn follow(relay: Rc<Relay>, followed: Followed) {
    let FollowTimes { wait, list_patience, .. } = followed.times;
    let platform = relay.settings.platform.to_string();
    let lists = CountedStore::new(&platform, Duration::from_millis(list_patience), &relay.calls);
    let watches =
        CountedStore::new(&platform, Duration::from_millis(wait + STORE_PATIENCE), &relay.calls);
    let seed =
        hash_bytes(hash_bytes(0, relay.settings.name.as_bytes()), followed.kind.name().as_bytes());
    let backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
    let mut follower = StoreFollower::new(followed.times, backoff);
    let mut lost_at: Option<Millis> = None;
    loop {
        let sent = now_millis();
        let is_covered = (followed.is_covered)(&relay, sent);
        let hears_newer = (followed.hears_newer)(&relay, sent);
        let outcome = match follower.next_step(is_covered, hears_newer) {
            FollowStep::Rest(pause) => {
                sleep(Duration::from_millis(pause)).await;
                continue;
            }
            FollowStep::List(cause) => list_once(&relay, &lists, &followed, cause, sent).await,
            FollowStep::Watch(after) => watch_once(&relay, &watches, &followed, after).await,
        };
        match outcome {
            Ok(at) => {
                (followed.prove)(&relay, sent, at);
                follower.note_answer(at);
                if let Some(lost) = lost_at.take() {
                    let out_ms = now_millis() - lost;
                    tracing::info!(event = "store-regained", kind = %followed.kind, out_ms, at);
                }
            }
            Err(StoreError::Gap) => {
                let after = follower.revision();
                tracing::info!(event = "history-gone", kind = %followed.kind, after);
                follower.note_gap();
            }
            Err(error) => {
                (followed.lose)(&relay, sent);
                follower.note_failure(now_millis() - sent);
                if lost_at.is_none() {
                    lost_at = Some(sent);
                    // Those that this relay follows for read for themselves from now on.
                    tell_state(&relay, false, false);
                    tracing::warn!(event = "store-lost", kind = %followed.kind, %error);
                }
            }
        }
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
    let at = list.at;
    tracing::debug!(event = "store-read", kind = %followed.kind, at, items = list.items.len());
    (followed.take_list)(relay, list, sent);
    Ok(at)
}

async fn watch_once(
    relay: &Relay,
    store: &CountedStore,
    followed: &Followed,
    after: u64,
) -> Result<u64, StoreError> {
    let wait = Duration::from_millis(followed.times.wait);
    let changes = store.watch(followed.kind, after, wait).await?;
    let (at, changed) = (changes.at, changes.events.len());
    tracing::debug!(event = "store-watched", kind = %followed.kind, after, at, changed);
    (followed.take_changes)(relay, changes.events);
    Ok(at.max(after))
}

fn take_config(relay: &Relay, object: &ListedObject) {
    if object.metadata.name != CONFIG_NAME {
        return;
    }
    let current = relay.config().map_or(0, |config| config.version);
    let decoded = match decode_version(&object.spec) {
        Ok(version) if version <= current => {
            // What is in force stands in the store again.
            relay.beliefs.borrow_mut().config_unreadable &= version < current;
            return;
        }
        Ok(_) => decode_config(&object.spec),
        Err(error) => Err(error),
    };
    let revision = object.metadata.revision;
    let config = match decoded {
        Ok(config) => Rc::new(config),
        Err(error) => {
            relay.beliefs.borrow_mut().config_unreadable = true;
            tracing::error!(event = "config-unreadable", %error, revision);
            return;
        }
    };
    let (version, routes) = (config.version, config.route_count());
    {
        let mut beliefs = relay.beliefs.borrow_mut();
        beliefs.config.merge(version, config);
        beliefs.config_unreadable = false;
    }
    tracing::info!(event = "config-taken", version, routes, revision);
}
