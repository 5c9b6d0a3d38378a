//! Hearing the other relays.
//!
//! Relays tell each other by UDP; whom, and what for, stands in [`tell`](crate::tell). A lost datagram costs nothing but the age
//! of some figures. Relays learn of each other from an object each in the store ([`registry`](crate::registry)), and
//! from the datagrams themselves.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    fleet::ReplicaUpdate,
    instance::ReplicaInstance,
    membership::{OwnState, PeerStamp, PeerState, ReportKind},
    origin::UpdateOrigin,
    replicas::UpdateSource,
    reservations::{ReservationLedger, SumScope},
};
use tokio::time::sleep;

use crate::{
    counts::count,
    gossip::{SendScope, forward_fleet_changes, run_sender, send_state_soon},
    limits::{handle_grant_requests, handle_grants, merge_peer_limits},
    messages::{
        FleetMessage, InstanceRecord, PeerMessage, ReservationRecord, ReservationReport,
        StateMessage,
    },
    quarantine::{merge_peer_crashes, record_replica_loss},
    registry::discover_peers,
    replicas::apply_updates,
    state::{Relay, RelayState},
};

/// Largest datagram that is read.
const MOST_DATAGRAM: usize = 60_000;

/// Tells and hears peers for good.
pub async fn run_gossip(relay: Rc<Relay>) {
    tokio::join!(hear(&relay), run_sender(&relay), discover_peers(&relay));
}

async fn hear(relay: &Relay) {
    let mut buffer = vec![0; MOST_DATAGRAM];
    loop {
        let Ok((len, from)) = relay.peer_socket.recv_from(&mut buffer).await else {
            // A datagram to a dead peer comes back as an error of this socket; the next one may do.
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        match PeerMessage::decode(&buffer[..len]) {
            Some(PeerMessage::State(news)) => take_state(relay, &news, from),
            Some(PeerMessage::Fleet(news)) => take_fleet(relay, news, from),
            Some(PeerMessage::GrantRequests(news)) => handle_grant_requests(relay, &news),
            Some(PeerMessage::Grants(news)) => handle_grants(relay, &news),
            None => drop_datagram(relay, from, "unreadable"),
        }
    }
}

/// Relays that are remembered at most; names that a damaged or forged message makes up do not fill the memory.
const MOST_RELAYS: usize = 8_192;

/// Time between two lines on datagrams that are dropped, in milliseconds.
const DROPS_LOGGED_EVERY: Millis = 1_000;

fn drop_datagram(relay: &Relay, from: SocketAddr, why: &str) {
    count(&relay.counts.bad_datagrams);
    let now = now_millis();
    let logged = relay.drop_logged_at.get();
    if logged.is_none_or(|logged| now.saturating_sub(logged) >= DROPS_LOGGED_EVERY) {
        relay.drop_logged_at.set(Some(now));
        let dropped = relay.counts.bad_datagrams.get();
        tracing::warn!(event = "datagram-dropped", %from, why, dropped);
    }
}

fn take_state(relay: &Relay, news: &StateMessage, from: SocketAddr) {
    let now = now_millis();
    let is_excess = {
        let peers = &relay.state.borrow().peers;
        peers.known_count() >= MOST_RELAYS && peers.address(&news.name).is_none()
    };
    if is_excess {
        return drop_datagram(relay, from, "of one relay too many");
    }
    count(&relay.counts.states_heard);
    let peer = peer_state(news);
    let kind = ReportKind::from(news.report);
    let origin = match kind {
        ReportKind::None => UpdateOrigin::Peer,
        ReportKind::Spare | ReportKind::Counted => UpdateOrigin::Member,
    };
    let (written, lost);
    {
        let mut guard = relay.state.borrow_mut();
        let state = &mut *guard;
        state.peers.upsert(&news.name, from, &news.data_centre, now);
        let (incarnation, time) = news.stamp;
        let stamp = PeerStamp { incarnation, time };
        if state.peers.is_returning(&news.name, stamp, now) {
            state.quarantine.announce_all(now);
        }
        if !state.peers.record_message(&news.name, peer, stamp, now) {
            count(&relay.counts.older_states);
            return;
        }
        state.peers.record_report(&news.name, kind, now);
        state.peers.record_reported_roles(&news.coordinators, news.reader, now);
        state.peers.record_members(&news.members, now);
        written = state.clocks.written_at(&news.name, stamp, now);
        take_load(state, news, kind, now);
        for (instance, hundredfold) in &news.slowdowns {
            let factor = f64::from(*hundredfold) / 100.0;
            state.slowdowns.merge_peer(&instance.into(), factor, origin, now);
        }
        let mutes =
            news.stalls.iter().map(|(instance, lasts)| (instance.into(), Millis::from(*lasts)));
        state.stalls.merge_peer(&news.name, origin, mutes, now);
        lost = take_suspects(state, news, origin, now);
    }
    merge_peer_limits(relay, &news.limits, &news.name, written);
    lost.iter().for_each(|instance| record_replica_loss(relay, instance));
    merge_peer_crashes(relay, news, origin, now);
    if news.data_centre == relay.settings.data_centre {
        take_proofs(relay, news, &peer, now);
    }
    if !lost.is_empty() {
        relay.request_path_check();
        propagate(relay, origin, now);
    }
}

/// Takes over which replicas another relay keeps away from; gives those that are news.
fn take_suspects(
    state: &mut RelayState,
    news: &StateMessage,
    origin: UpdateOrigin,
    now: Millis,
) -> Vec<ReplicaInstance> {
    let mut lost = Vec::new();
    for (instance, lasts) in &news.suspects {
        let instance = ReplicaInstance::from(instance);
        let is_current = state.fleet.view.get_current(&instance).is_some();
        if is_current && !state.suspects.is_suspect(&instance, now) {
            state.suspects.merge_peer(&instance, now + Millis::from(*lasts), origin);
            tracing::info!(event = "suspect-heard", replica = %instance, from = news.name, lasts);
            lost.push(instance);
        }
    }
    lost
}

/// Tells on at once what another relay told, to those that hear it from this one alone.
pub fn propagate(relay: &Relay, origin: UpdateOrigin, now: Millis) {
    if !relay.state.borrow().peers.has_members(now) {
        return;
    }
    match origin {
        UpdateOrigin::Peer => send_state_soon(relay, SendScope::SameDataCentre),
        UpdateOrigin::Member | UpdateOrigin::Local => send_state_soon(relay, SendScope::All),
    }
}

/// Takes over what is promised. A member hears the sum of all from its speakers, which holds what any other tells it.
fn take_load(state: &mut RelayState, news: &StateMessage, kind: ReportKind, now: Millis) {
    let is_member = state.peers.is_member();
    let RelayState { memory_reservations: memory, slot_reservations: slots, .. } = state;
    match &news.reservations {
        ReservationReport::Group(reserved) if !is_member || kind == ReportKind::Counted => {
            memory.merge_peer(&news.name, amounts(&reserved.memory), now);
            slots.merge_peer(&news.name, amounts(&reserved.slots), now);
        }
        ReservationReport::Sums { same_data_centre, other_data_centres } if is_member => {
            merge_sum(memory, slots, SumScope::SameDataCentre, same_data_centre, now);
            other_data_centres
                .iter()
                .for_each(|sum| merge_sum(memory, slots, SumScope::OtherDataCentres, sum, now));
        }
        ReservationReport::Omitted
        | ReservationReport::Group(_)
        | ReservationReport::Sums { .. } => {}
    }
}

fn merge_sum(
    memory: &mut ReservationLedger,
    slots: &mut ReservationLedger,
    scope: SumScope,
    reserved: &ReservationRecord,
    now: Millis,
) {
    memory.merge_sum(scope, amounts(&reserved.memory), now);
    slots.merge_sum(scope, amounts(&reserved.slots), now);
}

fn amounts(records: &[(InstanceRecord, u32)]) -> HashMap<ReplicaInstance, f64> {
    records.iter().map(|(instance, amount)| (instance.into(), f64::from(*amount))).collect()
}

fn peer_state(news: &StateMessage) -> PeerState {
    PeerState {
        fleet_is_fresh: news.fleet_is_fresh,
        fleet_is_lost: news.fleet_is_lost,
        config_is_lost: news.config_is_lost,
        fleet_digest: news.fleet_digest,
        config_version: news.config_version,
        config_age: news.config_age,
        fleet_age: news.fleet_age,
        config_answer_age: news.config_answer_age,
        fleet_answer_age: news.fleet_answer_age,
        fleet_read_age: news.fleet_read_age,
        keeps_limits: news.keeps_limits,
        is_member: news.is_member,
    }
}

/// Takes over what a relay of the same data centre proved.
fn take_proofs(relay: &Relay, news: &StateMessage, peer: &PeerState, now: Millis) {
    let mut guard = relay.state.borrow_mut();
    let state = &mut *guard;
    let own = OwnState {
        name: &relay.settings.name,
        data_centre: &relay.settings.data_centre,
        incarnation: relay.incarnation,
        config_version: state.config_version(),
        fleet_digest: state.fleet.view.digest(),
    };
    let echo = news.echo.map(|((incarnation, time), held)| (PeerStamp { incarnation, time }, held));
    let proofs = state.peers.read_proofs(own, peer, echo, now);
    let is_newer = |answered: Option<Millis>, age: Option<Millis>| {
        let known = age.map(|age| now.saturating_sub(age));
        answered.is_some_and(|at| known.is_none_or(|known| at >= known + NEWER_BY))
    };
    let passes_on = is_newer(proofs.config.answered, state.config_lease.answer_age(now))
        || is_newer(proofs.fleet.answered, state.fleet.answer_age(now));
    if let Some(answered) = proofs.config.answered {
        state.config_lease.record_answer(answered);
    }
    if let Some(proved) = proofs.config.proved {
        state.config_lease.record_proof_at(proved);
    }
    state.fleet.record_proof(proofs.fleet);
    drop(guard);
    if passes_on {
        propagate(relay, UpdateOrigin::Peer, now);
    }
}

/// Time by which an answer of the store must be younger than the last known one to be told on at once, in milliseconds. Members
/// would otherwise hear of it so late that they read the store themselves.
const NEWER_BY: Millis = 200;

fn take_fleet(relay: &Relay, news: FleetMessage, from: SocketAddr) {
    forward_fleet_changes(relay, &news, from);
    let news = news.changes.into_iter().map(ReplicaUpdate::from).collect();
    apply_updates(relay, news, UpdateSource::Relay(from));
}
