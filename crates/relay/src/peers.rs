//! Receives messages of the other relays and applies them.
//!
//! Relays exchange datagrams over UDP; [`gossip`](crate::gossip) describes which relays send what.
//! A lost datagram only means that some figures are older. Relays find each other through one
//! object each in the store ([`registry`](crate::registry)), and through the datagrams themselves.

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
    quarantine::merge_peer_crashes,
    reachability::check_heard_suspects,
    registry::discover_peers,
    replicas::apply_updates,
    retries::{handle_loan, handle_loan_request},
    state::{Relay, RelayState},
};

/// Size of the largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Exchanges messages with the other relays for as long as the process runs.
pub async fn run_gossip(relay: Rc<Relay>) {
    tokio::join!(receive(&relay), run_sender(&relay), discover_peers(&relay));
}

async fn receive(relay: &Rc<Relay>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = relay.peer_socket.recv_from(&mut buffer).await else {
            // A datagram sent to a relay that has stopped can cause an error here. The socket stays
            // usable.
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        match PeerMessage::decode(&buffer[..len]) {
            Some(PeerMessage::State(message)) => apply_state(relay, &message, from),
            Some(PeerMessage::Fleet(message)) => {
                forward_fleet_changes(relay, &PeerMessage::Fleet(message.clone()), from);
                apply_fleet(relay, message, UpdateSource::Relay(from));
            }
            Some(PeerMessage::Expiry(message)) => {
                forward_fleet_changes(relay, &PeerMessage::Expiry(message.clone()), from);
                apply_fleet(relay, message, UpdateSource::PeerExpiry(from));
            }
            Some(PeerMessage::GrantRequests(message)) => handle_grant_requests(relay, &message),
            Some(PeerMessage::Grants(message)) => handle_grants(relay, &message),
            Some(PeerMessage::LoanRequest(message)) => handle_loan_request(relay, &message),
            Some(PeerMessage::Loan(message)) => handle_loan(relay, &message),
            None => drop_datagram(relay, from, "unreadable"),
        }
    }
}

/// Maximum number of known relays, so that names from damaged or forged messages cannot exhaust
/// memory.
const MAX_RELAYS: usize = 8_192;

fn drop_datagram(relay: &Relay, from: SocketAddr, why: &str) {
    count(&relay.counts.bad_datagrams);
    if relay.dropped_datagram_lines.admit(now_millis()) {
        let dropped = relay.counts.bad_datagrams.get();
        tracing::warn!(event = "datagram-dropped", %from, why, dropped);
    }
}

fn apply_state(relay: &Rc<Relay>, message: &StateMessage, from: SocketAddr) {
    let now = now_millis();
    let is_over_limit = {
        let peers = &relay.state.borrow().peers;
        peers.known_count() >= MAX_RELAYS && peers.address(&message.name).is_none()
    };
    if is_over_limit {
        return drop_datagram(relay, from, "too many relays");
    }
    count(&relay.counts.states_heard);
    let peer = peer_state(message);
    let kind = ReportKind::from(message.report);
    let origin = match kind {
        ReportKind::None => UpdateOrigin::Peer,
        ReportKind::Spare | ReportKind::Counted => UpdateOrigin::Member,
    };
    let (written, lost);
    {
        let mut guard = relay.state.borrow_mut();
        let state = &mut *guard;
        state.peers.upsert(&message.name, from, &message.data_centre, now);
        let (incarnation, time) = message.stamp;
        let stamp = PeerStamp { incarnation, time };
        if state.peers.is_returning(&message.name, stamp, now) {
            state.quarantine.announce_all(now);
        }
        if !state.peers.record_message(&message.name, peer, stamp, now) {
            count(&relay.counts.older_states);
            return;
        }
        state.peers.record_report(&message.name, kind, now);
        state.peers.record_reported_roles(&message.coordinators, message.reader, now);
        state.peers.record_members(&message.members, now);
        written = state.clocks.written_at(&message.name, stamp, now);
        merge_reservations(state, message, kind, now);
        for (instance, hundredths) in &message.slowdowns {
            let factor = f64::from(*hundredths) / 100.0;
            state.slowdowns.merge_peer(&instance.into(), factor, origin, now);
        }
        let stalls = message
            .stalls
            .iter()
            .map(|(instance, remaining_ms)| (instance.into(), Millis::from(*remaining_ms)));
        state.stalls.merge_peer(&message.name, origin, stalls, now);
        lost = merge_suspects(state, message, origin, now);
    }
    merge_peer_limits(relay, &message.limits, &message.name, written);
    check_heard_suspects(relay, &lost);
    merge_peer_crashes(relay, message, origin, now);
    if message.data_centre == relay.settings.data_centre {
        apply_proofs(relay, message, &peer, now);
    }
    if !lost.is_empty() {
        relay.request_path_check();
        propagate(relay, origin, now);
    }
}

/// Merges the suspicions of another relay. Returns the replicas that were not suspected before.
fn merge_suspects(
    state: &mut RelayState,
    message: &StateMessage,
    origin: UpdateOrigin,
    now: Millis,
) -> Vec<ReplicaInstance> {
    let mut lost = Vec::new();
    for (instance, remaining_ms) in &message.suspects {
        let instance = ReplicaInstance::from(instance);
        let is_current = state.fleet.view.get_current(&instance).is_some();
        if is_current && !state.suspects.is_suspect(&instance, now) {
            state.suspects.merge_peer(&instance, Millis::from(*remaining_ms), origin, now);
            tracing::info!(event = "suspect-heard", replica = %instance, from = message.name, lasts = remaining_ms);
            lost.push(instance);
        }
    }
    lost
}

/// Sends at once what another relay sent to those relays that receive it from this one only.
pub fn propagate(relay: &Relay, origin: UpdateOrigin, now: Millis) {
    if !relay.state.borrow().peers.has_members(now) {
        return;
    }
    match origin {
        UpdateOrigin::Peer => send_state_soon(relay, SendScope::SameDataCentre),
        UpdateOrigin::Member | UpdateOrigin::Local => send_state_soon(relay, SendScope::All),
    }
}

/// Merges the reservations that another relay sent. A member ignores those of relays that do not
/// report to it, since the sums that its speakers send include them.
fn merge_reservations(
    state: &mut RelayState,
    message: &StateMessage,
    kind: ReportKind,
    now: Millis,
) {
    let is_member = state.peers.is_member();
    let RelayState { memory_reservations: memory, slot_reservations: slots, .. } = state;
    match &message.reservations {
        ReservationReport::Group(reserved) if !is_member || kind == ReportKind::Counted => {
            memory.merge_peer(&message.name, amounts(&reserved.memory), now);
            slots.merge_peer(&message.name, amounts(&reserved.slots), now);
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

fn peer_state(message: &StateMessage) -> PeerState {
    PeerState {
        fleet_is_fresh: message.fleet_is_fresh,
        fleet_is_lost: message.fleet_is_lost,
        config_is_lost: message.config_is_lost,
        fleet_digest: message.fleet_digest,
        config_version: message.config_version,
        config_age: message.config_age,
        fleet_age: message.fleet_age,
        config_answer_age: message.config_answer_age,
        fleet_answer_age: message.fleet_answer_age,
        fleet_read_age: message.fleet_read_age,
        coordinates_limits: message.coordinates_limits,
        is_member: message.is_member,
    }
}

/// Applies what a relay of the same data centre proves about the configuration and the list of
/// replicas.
fn apply_proofs(relay: &Relay, message: &StateMessage, peer: &PeerState, now: Millis) {
    let mut guard = relay.state.borrow_mut();
    let state = &mut *guard;
    let own = OwnState {
        name: &relay.settings.name,
        data_centre: &relay.settings.data_centre,
        incarnation: relay.incarnation,
        config_version: state.config_version(),
        fleet_digest: state.fleet.view.digest(),
    };
    let echo =
        message.echo.map(|((incarnation, time), held)| (PeerStamp { incarnation, time }, held));
    let proofs = state.peers.read_proofs(own, peer, echo, now);
    let is_newer = |answered: Option<Millis>, age: Option<Millis>| {
        let known = age.map(|age| now.saturating_sub(age));
        answered.is_some_and(|at| known.is_none_or(|known| at >= known + MIN_ANSWER_GAIN))
    };
    let propagates = is_newer(proofs.config.answered, state.config_lease.answer_age(now))
        || is_newer(proofs.fleet.answered, state.fleet.answer_age(now));
    if let Some(answered) = proofs.config.answered {
        state.config_lease.record_answer(answered);
    }
    if let Some(proved) = proofs.config.proved {
        state.config_lease.record_proof_at(proved);
    }
    state.fleet.record_proof(proofs.fleet);
    drop(guard);
    if propagates {
        propagate(relay, UpdateOrigin::Peer, now);
    }
}

/// Time in milliseconds by which an answer of the store must be newer than the last known one to be
/// propagated at once. Without that, members would learn of it so late that they would read the
/// store themselves.
const MIN_ANSWER_GAIN: Millis = 200;

fn apply_fleet(relay: &Relay, message: FleetMessage, source: UpdateSource) {
    let updates = message.changes.into_iter().map(ReplicaUpdate::from).collect();
    apply_updates(relay, updates, source);
}
