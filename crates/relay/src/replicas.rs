//! Taking over what the store and other relays tell of replicas.
//!
//! News of a replica comes by three ways: a list of the store, a watch of it, and other relays of the
//! data centre. All of them end here, whatever they are heard on.

use std::{net::SocketAddr, rc::Rc};

use derive_more::Display;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    objects::{ListedObject, ObjectChange, ObjectList, ObjectMetadata},
    replicas::decode_replica,
};
use switchfold_router::fleet::{FleetChange, ReplicaNews};
use tokio::task::spawn_local;

use crate::{counts::count, engines::answers, peers::tell_fleet, state::Relay};

/// Where news of a replica came from, as the lines of the log tell it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NewsSource {
    /// A list of the store.
    #[display("list")]
    List,
    /// A watch of the store.
    #[display("watch")]
    Watch,
    /// Another relay of the data centre, by its address.
    #[display("relay {_0}")]
    Relay(SocketAddr),
    /// Nothing: it was waited for in vain after an outage of the store.
    #[display("lapse")]
    Lapse,
    /// A later start at the same address.
    #[display("successor")]
    Successor,
}

/// Takes over a whole list of the store, read at the revision `at`.
pub fn take_replica_list(relay: &Rc<Relay>, list: ObjectList) {
    let at = list.at;
    let listed: Vec<ReplicaNews> = list.items.iter().filter_map(readable_news).collect();
    note_passed_changes(relay, &listed);
    let missing = relay.beliefs.borrow().fleet.missing_from(&listed);
    for id in missing {
        if !is_awaited(relay, &id, at) {
            take_news(relay, gone(id, at), NewsSource::List);
        }
    }
    if relay.beliefs.borrow().fleet.is_empty() {
        tracing::info!(event = "replicas-listed", count = listed.len(), at);
        let mut beliefs = relay.beliefs.borrow_mut();
        for news in listed {
            beliefs.fleet.take(news, now_millis());
        }
        return;
    }
    listed.into_iter().for_each(|news| take_news(relay, news, NewsSource::List));
}

/// Writes a line for each change that a watch should have told and did not: this relay had gone on
/// beyond its revision.
fn note_passed_changes(relay: &Relay, listed: &[ReplicaNews]) {
    let watched = relay.replicas_watched.get();
    let beliefs = relay.beliefs.borrow();
    for news in listed.iter().filter(|news| news.revision <= watched) {
        let held = beliefs.fleet.revision(&news.id);
        if held.is_none_or(|held| held < news.revision) {
            count(&relay.counts.passed_changes);
            let (replica, revision) = (&news.id, news.revision);
            tracing::warn!(event = "change-passed", replica, revision, held, watched);
        }
    }
}

fn gone(id: String, revision: u64) -> ReplicaNews {
    ReplicaNews { id, revision, entry: None }
}

/// Whether a replica that is missing from a list read at the revision `at` may be back soon. An engine
/// that does not answer either is dropped as soon as that shows; plain services know no reports, and are
/// not asked.
fn is_awaited(relay: &Rc<Relay>, id: &str, at: u64) -> bool {
    let awaited = relay.beliefs.borrow_mut().lapses.keeps(id, at, now_millis());
    if !awaited {
        return false;
    }
    tracing::info!(event = "replica-awaited", replica = id, at);
    let Some(address) = engine_address(relay, id) else { return true };
    let (relay, id) = (relay.clone(), id.to_owned());
    spawn_local(async move {
        let answers = answers(&relay, address).await;
        let still_missing = relay.beliefs.borrow().lapses.is_awaited(&id);
        if !answers && still_missing {
            let news = gone(id, at);
            tell_fleet(&relay, vec![news.clone()]);
            take_news(&relay, news, NewsSource::Lapse);
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
    let overdue: Vec<ReplicaNews> = overdue.into_iter().map(|(id, at)| gone(id, at)).collect();
    if overdue.is_empty() {
        return;
    }
    tell_fleet(relay, overdue.clone());
    overdue.into_iter().for_each(|news| take_news(relay, news, NewsSource::Lapse));
}

/// Takes over what a watch of the store told, and tells the relays of the data centre.
pub fn take_replica_changes(relay: &Relay, changes: Vec<ObjectChange>) {
    let news: Vec<ReplicaNews> = changes.into_iter().filter_map(change_news).collect();
    if news.is_empty() {
        return;
    }
    tell_fleet(relay, news.clone());
    news.into_iter().for_each(|news| take_news(relay, news, NewsSource::Watch));
}

fn change_news(change: ObjectChange) -> Option<ReplicaNews> {
    match change.gone {
        true => Some(gone(change.object.metadata.name, change.object.metadata.revision)),
        false => readable_news(&change.object),
    }
}

fn readable_news(object: &ListedObject) -> Option<ReplicaNews> {
    let ObjectMetadata { name, revision } = &object.metadata;
    match decode_replica(name, &object.spec) {
        Ok(entry) => {
            Some(ReplicaNews { id: name.clone(), revision: *revision, entry: Some(entry) })
        }
        Err(error) => {
            tracing::error!(event = "replica-unreadable", replica = name, revision, %error);
            None
        }
    }
}

/// Takes over news of a replica, from the store or from another relay, and writes a line where that
/// changed something: with the revision, what was held before, and where the news came from.
pub fn take_news(relay: &Relay, news: ReplicaNews, source: NewsSource) {
    let id = news.id.clone();
    let (revision, layers) = (news.revision, news.entry.as_ref().and_then(|entry| entry.layers));
    let layers = format!("{:?}", layers.map(|range| (range.from, range.to)));
    let (held, change, address) = {
        let mut beliefs = relay.beliefs.borrow_mut();
        let held = beliefs.fleet.revision(&id);
        let old = beliefs.fleet.get(&id).map(|entry| entry.address);
        let address = news.entry.as_ref().map(|entry| entry.address).or(old);
        if news.entry.is_some() {
            beliefs.lapses.note_listed(&id);
        }
        (held, beliefs.fleet.take(news, now_millis()), address)
    };
    if held.is_some_and(|held| revision < held) {
        count(&relay.counts.older_news);
    }
    let Some(address) = address else { return };
    match change {
        FleetChange::Unchanged => return,
        FleetChange::Joined => {
            tracing::info!(event = "replica-listed", replica = id, %address, ?change, layers, revision, %source);
            let predecessors = relay.beliefs.borrow().fleet.predecessors(&id, address);
            for old in predecessors {
                take_news(relay, gone(old, revision), NewsSource::Successor);
            }
            return;
        }
        FleetChange::Draining => {
            tracing::info!(event = "replica-draining", replica = id, %address, revision, held, %source);
        }
        FleetChange::Gone => {
            forget_replica(relay, &id, address);
            tracing::info!(event = "replica-gone", replica = id, %address, revision, held, %source);
        }
        FleetChange::Returned => {
            count(&relay.counts.returned);
            tracing::warn!(event = "replica-returned", replica = id, %address, layers, revision, held, %source);
        }
        FleetChange::Updated => {
            tracing::info!(event = "replica-listed", replica = id, %address, ?change, layers, revision, held, %source);
        }
    }
    relay.raise_alarm();
}

/// Forgets what was learnt of a replica that is gone.
fn forget_replica(relay: &Relay, id: &str, address: SocketAddr) {
    {
        let mut beliefs = relay.beliefs.borrow_mut();
        beliefs.suspects.clear(id);
        beliefs.loads.forget(id);
        beliefs.paces.forget(id);
    }
    relay.pool.forget(address);
    relay.reports.forget(address);
}
