//! Fetches snapshots from neighbours and applies them.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    fleet::ReplicaUpdate,
    follow::SourceOrder,
    replicas::{FleetList, UpdateSource},
};

use super::{
    RelayRecord, SnapshotBody,
    fetch::{FetchedSnapshot, fetch_snapshot},
};
use crate::{
    counts::count,
    quarantine::apply_change,
    registry::{PeerAddress, relays_digest},
    replicas::apply_list,
    settings::RelaySettings,
    state::Relay,
    store_calls::CallKind,
    watch::apply_config,
};

/// Fetches the configuration from a neighbour and applies it. Returns the revision of the store up
/// to which the neighbour read, or `None` if the configuration here is not confirmed by it.
pub async fn fetch_config(relay: &Rc<Relay>) -> Option<u64> {
    let held = relay.state.borrow().config_version();
    let (source, address) = config_source(relay, held)?;
    let snapshot = fetch_snapshot(relay, CallKind::Config, &source, address, held).await?;
    let FetchedSnapshot { at, proof, body } = snapshot;
    if let SnapshotBody::Config { revision, spec } = body {
        match serde_json::from_slice(&spec) {
            Ok(spec) => drop(apply_config(relay, &spec, revision, at)),
            Err(error) => {
                count(&relay.counts.bad_snapshots);
                tracing::warn!(event = "snapshot-unreadable", teller = source, revision, %error);
                return None;
            }
        }
    }
    let mut guard = relay.state.borrow_mut();
    let state = &mut *guard;
    if state.config_unconfirmed || state.config.get().is_none() {
        return None;
    }
    if let Some(object) = &mut state.config_object {
        object.at = object.at.max(at);
    }
    proof.proved.into_iter().for_each(|proved| state.config_lease.record_proof_at(proved));
    proof.answered.into_iter().for_each(|answered| state.config_lease.record_answer(answered));
    state.peers.record_answers(proof.answered, None);
    Some(at)
}

fn config_source(relay: &Relay, held: u64) -> Option<(String, SocketAddr)> {
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let state = relay.state.borrow();
    let source = state.peers.config_source(name, data_centre, held, now_millis())?;
    Some((source.name.to_owned(), source.address))
}

/// Fetches the list of replicas from a neighbour and applies it. Returns the revision of the store
/// up to which the neighbour read, or `None` if it provided no list.
pub async fn fetch_replicas(relay: &Rc<Relay>) -> Option<u64> {
    let (holds_none, held) = {
        let fleet = &relay.state.borrow().fleet;
        (fleet.has_no_list(), fleet.view.digest())
    };
    let (source, address) = fleet_source(relay, holds_none)?;
    let snapshot = fetch_snapshot(relay, CallKind::Replicas, &source, address, held).await?;
    if relay.state.borrow().fleet.is_of_earlier_era(snapshot.at) {
        tracing::info!(event = "snapshot-untold", kind = %CallKind::Replicas, teller = source, reason = "from an earlier era of the store");
        return None;
    }
    if let SnapshotBody::Replicas(records) = snapshot.body {
        let listed = records.into_iter().map(ReplicaUpdate::from).collect();
        let sent = snapshot.proof.proved.map_or(0, |proved| proved.max(0) as Millis);
        apply_list(relay, FleetList { listed, at: snapshot.at }, UpdateSource::Snapshot, sent);
    }
    let mut state = relay.state.borrow_mut();
    state.fleet.record_snapshot(snapshot.proof, snapshot.at);
    state.peers.record_answers(None, snapshot.proof.answered);
    Some(snapshot.at)
}

fn fleet_source(relay: &Relay, holds_none: bool) -> Option<(String, SocketAddr)> {
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let state = relay.state.borrow();
    let source = state.peers.fleet_source(name, data_centre, holds_none, now_millis())?;
    Some((source.name.to_owned(), source.address))
}

/// Fetches the list of relays from the first relay of the data centre. Returns `None` if the caller
/// should list them itself: there is no response, or this relay precedes the others and has listed
/// the relays before.
pub async fn fetch_relays(relay: &Relay) -> Option<BTreeMap<String, PeerAddress>> {
    let first = {
        let RelaySettings { name, data_centre, .. } = &relay.settings;
        let state = relay.state.borrow();
        let first = state.peers.first_live_peer(name, data_centre, now_millis())?;
        let lists_itself = state.listed_relays.is_some() && first.order == SourceOrder::After;
        (!lists_itself).then(|| (first.name.to_owned(), first.address))
    };
    let (source, address) = first?;
    let held = relay.state.borrow().listed_relays.as_ref().map_or(0, relays_digest);
    let snapshot = fetch_snapshot(relay, CallKind::Relays, &source, address, held).await?;
    let records = match snapshot.body {
        SnapshotBody::Relays(records) => records,
        SnapshotBody::Same => return relay.state.borrow().listed_relays.clone(),
        SnapshotBody::Config { .. } | SnapshotBody::Replicas(_) | SnapshotBody::Quarantine(_) => {
            return None;
        }
    };
    let relays = records.into_iter().map(|record| {
        let RelayRecord { name, address, data_centre } = record;
        (name, PeerAddress { address, data_centre })
    });
    Some(relays.collect())
}

/// Fetches the quarantined requests from another relay and applies them. Returns whether a relay
/// provided them.
pub async fn fetch_quarantine(relay: &Relay) -> bool {
    for (source, address) in quarantine_sources(relay) {
        let kind = CallKind::Quarantine;
        let snapshot = fetch_snapshot(relay, kind, &source, address, 0).await;
        let Some(SnapshotBody::Quarantine(records)) = snapshot.map(|snapshot| snapshot.body) else {
            continue;
        };
        let now = now_millis();
        let reports = records.iter().map(|record| record.report(now)).collect();
        let change = relay.state.borrow_mut().quarantine.merge(reports, false, now);
        apply_change(relay, &change);
        return true;
    }
    false
}

fn quarantine_sources(relay: &Relay) -> Vec<(String, SocketAddr)> {
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let state = relay.state.borrow();
    let sources = state.peers.quarantine_sources(name, data_centre, now_millis());
    sources.map(|source| (source.name.to_owned(), source.address)).collect()
}
