//! Sends this relay's state, and changes of replicas, to the other relays.
//!
//! The [`GossipPlan`](switchfold_router::membership::GossipPlan) lists the relays it is sent to.
//! Speakers of a data centre exchange state in every round, those of different data centres in
//! fewer rounds; members and their speakers exchange it in every round as well. Speakers send their
//! members the reservations of all other relays as sums, so that the state that a relay receives
//! does not grow with the number of relays.

use std::{net::SocketAddr, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    fleet::ReplicaUpdate,
    instance::ReplicaInstance,
    membership::{GossipLink, GossipPeer, ReportKind, name_hash},
    origin::UpdateAudience,
    replicas::UpdateSource,
    reservations::ReservationLedger,
};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    counts::count,
    limits::{can_coordinate_limits, limits_to_share},
    messages::{
        CrashRecord, FleetMessage, InstanceRecord, PeerMessage, ReplicaRecord, ReportRecord,
        ReservationRecord, ReservationReport, StateMessage, encode_state,
    },
    replicas::remove_expired,
    state::{Relay, RelayState},
};

/// Interval of the rounds in which state is sent. Requests hold their reservations for seconds, so
/// figures that are 200 ms old miss a few percent of them.
const SEND_INTERVAL: Duration = Duration::from_millis(200);

/// Rounds per message to the speakers of other data centres.
const FAR_ROUNDS: u64 = 2;

/// Messages to the speakers of other data centres per message that includes reservations.
const FAR_RESERVATIONS_EVERY: u64 = 3;

/// Messages to a member per message that includes reservations in other data centres, to which a
/// member sends only what its own data centre cannot take.
const MEMBER_FAR_RESERVATIONS_EVERY: u64 = 4;

/// Rounds per message in which a speaker lists its members to the other speakers: every 5 s, since
/// a silent relay is removed only after a minute.
const MEMBERS_ROUNDS: u64 = 25;

/// Delay of unscheduled messages, so that losses that are detected together are sent in one
/// message.
const SEND_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of replicas in one datagram: an entry takes some 100 bytes, and small datagrams
/// are lost less often.
const MAX_RECORDS: usize = 64;

/// Relays of the gossip plan that a message is sent to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SendScope {
    /// Those of this data centre.
    SameDataCentre,
    /// Those of other data centres as well.
    All,
}

/// Sends this relay's state in rounds, and sooner on request, for as long as the process runs.
pub async fn run_sender(relay: &Relay) {
    let mut round: u64 = 0;
    loop {
        let next = Instant::now() + SEND_INTERVAL;
        while Instant::now() < next {
            tokio::select! {
                () = sleep_until(next) => {}
                () = relay.send_notify.notified() => {
                    sleep(SEND_DELAY).await;
                    let scope = relay.pending_send.take();
                    scope.into_iter().for_each(|scope| send_state(relay, scope));
                }
            }
        }
        round += 1;
        relay.load.record_turn(next.elapsed());
        relay.shutdown.record_awake();
        remove_expired(relay);
        plan_gossip(relay);
        send_to_links(relay, |name, link| due_sections(name, link, round));
    }
}

/// Makes [`run_sender`] send this relay's state after a short delay instead of in the next round.
pub fn send_state_soon(relay: &Relay, scope: SendScope) {
    relay.pending_send.set(relay.pending_send.get().max(Some(scope)));
    relay.send_notify.notify_one();
}

/// Updates the plan of which relays this one sends its state to.
pub fn plan_gossip(relay: &Relay) {
    let settings = &relay.settings;
    let now = now_millis();
    let plan = {
        let peers = &mut relay.state.borrow_mut().peers;
        peers.plan_gossip(&settings.name, &settings.data_centre, now)
    };
    let was_member = relay.gossip_plan.borrow().is_member;
    if was_member != plan.is_member {
        tracing::info!(event = "circle", is_member = plan.is_member, told = plan.peers.len());
    }
    let becomes_speaker = was_member && !plan.is_member;
    relay.gossip_plan.replace(plan);
    if becomes_speaker {
        let mut state = relay.state.borrow_mut();
        state.memory_reservations.clear_sums();
        state.slot_reservations.clear_sums();
        drop(state);
        announce_to_all(relay);
    }
}

/// Sends this relay's state to all known relays once it becomes a speaker. While it was a member,
/// this relay and other speakers sent each other nothing, and may not know of each other.
fn announce_to_all(relay: &Relay) {
    let names: Vec<String> = {
        let state = relay.state.borrow();
        state.peers.others("").map(|(name, _, _)| name.to_owned()).collect()
    };
    announce_to(relay, &names);
}

/// Sections of a message that are sent in some rounds only.
#[derive(Clone, Copy, Debug, Default)]
struct MessageSections {
    /// Reservations.
    reservations: bool,
    /// To a member: reservations in other data centres.
    far_reservations: bool,
    /// The sender's members.
    members: bool,
}

/// Returns the sections that a relay is sent in a round, or `None` if it is sent nothing.
fn due_sections(name: &str, link: GossipLink, round: u64) -> Option<MessageSections> {
    let sections = MessageSections { reservations: true, ..MessageSections::default() };
    match link {
        GossipLink::Near => {
            Some(MessageSections { members: round.is_multiple_of(MEMBERS_ROUNDS), ..sections })
        }
        GossipLink::Far => round.is_multiple_of(FAR_ROUNDS).then(|| MessageSections {
            reservations: (round / FAR_ROUNDS).is_multiple_of(FAR_RESERVATIONS_EVERY),
            ..sections
        }),
        GossipLink::Report(_) => Some(sections),
        GossipLink::Member(_) => {
            let turn = round + u64::from(name_hash(name));
            Some(MessageSections {
                far_reservations: turn.is_multiple_of(MEMBER_FAR_RESERVATIONS_EVERY),
                ..sections
            })
        }
    }
}

/// Sends this relay's state at once to the relays of its gossip plan that are in scope.
pub fn send_state(relay: &Relay, scope: SendScope) {
    send_to_links(relay, |_, link| {
        let is_in_scope = scope == SendScope::All || link != GossipLink::Far;
        // The other relays receive reservations only in the rounds that include them.
        let reservations = matches!(link, GossipLink::Near | GossipLink::Report(_));
        is_in_scope.then(|| MessageSections { reservations, ..MessageSections::default() })
    });
}

/// Sends this relay's state once to relays that may not know it yet: they may be waiting for a
/// neighbour to announce itself.
pub fn announce_to(relay: &Relay, names: &[String]) {
    let message = compose_state(relay, UpdateAudience::Members, now_millis());
    let datagram = encode_state(&message);
    let state = relay.state.borrow();
    for address in names.iter().filter_map(|name| state.peers.address(name)) {
        // A relay that misses this message finds the others in the store.
        let _lost = relay.peer_socket.try_send_to(&datagram, address);
    }
}

fn send_to_links(relay: &Relay, sections_of: impl Fn(&str, GossipLink) -> Option<MessageSections>) {
    let now = now_millis();
    let plan = relay.gossip_plan.borrow();
    let due =
        plan.peers.iter().filter_map(|peer| Some((peer, sections_of(&peer.name, peer.link)?)));
    let (members, speakers): (Vec<_>, Vec<_>) =
        due.partition(|(peer, _)| matches!(peer.link, GossipLink::Member(_)));
    if !speakers.is_empty() {
        send_to_speakers(relay, &speakers, now);
    }
    if !members.is_empty() {
        send_to_members(relay, &members, now);
    }
}

fn send_to_speakers(relay: &Relay, due: &[(&GossipPeer, MessageSections)], now: Millis) {
    let mut message = compose_state(relay, UpdateAudience::Speakers, now);
    let state = relay.state.borrow();
    let round = (now / SEND_INTERVAL.as_millis() as Millis) as usize;
    let limits = [false, true].map(|is_near| limits_to_share(&state, is_near, round, now));
    let members = state.peers.member_hashes(now);
    let group = ReservationReport::Group(group_reservations(&state, now));
    for (peer, sections) in due {
        let is_near = peer.link != GossipLink::Far;
        let report = match peer.link {
            GossipLink::Report(kind) => kind,
            GossipLink::Near | GossipLink::Far | GossipLink::Member(_) => ReportKind::None,
        };
        message.report = ReportRecord::from(report);
        message.echo = is_near.then(|| echo(&state, &peer.name, now)).flatten();
        message.limits.clone_from(&limits[usize::from(is_near)]);
        message.members = if sections.members { members.clone() } else { Vec::new() };
        let has_reservations = sections.reservations && report != ReportKind::Spare;
        message.reservations =
            if has_reservations { group.clone() } else { ReservationReport::Omitted };
        send(relay, &message, peer.address);
    }
}

fn send_to_members(relay: &Relay, due: &[(&GossipPeer, MessageSections)], now: Millis) {
    let mut message = compose_state(relay, UpdateAudience::Members, now);
    let state = relay.state.borrow();
    let round = (now / SEND_INTERVAL.as_millis() as Millis) as usize;
    message.limits = limits_to_share(&state, true, round, now);
    message.coordinators = state.peers.coordinator_hashes(now);
    if message.coordinates_limits {
        message.coordinators.push(name_hash(&relay.settings.name));
    }
    message.reader = match message.fleet_read_age.filter(|_| !message.fleet_is_lost) {
        Some(_) => Some(name_hash(&relay.settings.name)),
        None => state.peers.reader_hash(&relay.settings.data_centre, now),
    };
    for (peer, sections) in due {
        message.echo = echo(&state, &peer.name, now);
        let is_counted = peer.link == GossipLink::Member(ReportKind::Counted);
        message.reservations = match sections.reservations && is_counted {
            true => sums_for(relay, &state, &peer.name, *sections),
            false => ReservationReport::Omitted,
        };
        send(relay, &message, peer.address);
    }
}

fn send(relay: &Relay, message: &StateMessage, address: SocketAddr) {
    count(&relay.counts.states_told);
    // The next round sends a peer the state that it misses now.
    let _lost = relay.peer_socket.try_send_to(&encode_state(message), address);
}

fn echo(state: &RelayState, name: &str, now: Millis) -> Option<((u32, Millis), Millis)> {
    let (stamp, held) = state.peers.echo(name, now)?;
    Some(((stamp.incarnation, stamp.time), held))
}

/// Returns the reservations of this relay and of the members whose reservations it counts.
fn group_reservations(state: &RelayState, now: Millis) -> ReservationRecord {
    let is_counted = |name: &str| state.peers.report_kind(name, now) == ReportKind::Counted;
    let records = |ledger: &ReservationLedger| -> Vec<(InstanceRecord, u32)> {
        let sum = ledger.sum_with(is_counted);
        sum.into_iter().map(|(instance, amount)| (instance.into(), amount as u32)).collect()
    };
    ReservationRecord {
        memory: records(&state.memory_reservations),
        slots: records(&state.slot_reservations),
    }
}

/// Returns the reservations of all relays but a member, to send to that member.
fn sums_for(
    relay: &Relay,
    state: &RelayState,
    member: &str,
    sections: MessageSections,
) -> ReservationReport {
    let data_centre = &relay.settings.data_centre;
    let is_near = |instance: &ReplicaInstance| {
        state
            .fleet
            .view
            .get_current(instance)
            .is_some_and(|replica| replica.data_centre == *data_centre)
    };
    let sum = |near: bool| {
        let records = |ledger: &ReservationLedger| -> Vec<(InstanceRecord, u32)> {
            let total =
                ledger.total_without(member).filter(|(instance, _)| is_near(instance) == near);
            total.map(|(instance, amount)| (instance.into(), amount as u32)).collect()
        };
        ReservationRecord {
            memory: records(&state.memory_reservations),
            slots: records(&state.slot_reservations),
        }
    };
    ReservationReport::Sums {
        same_data_centre: sum(true),
        other_data_centres: sections.far_reservations.then(|| sum(false)),
    }
}

fn compose_state(relay: &Relay, audience: UpdateAudience, now: Millis) -> StateMessage {
    let fleet_is_fresh = relay.is_fleet_fresh(now);
    let mut state = relay.state.borrow_mut();
    state.memory_reservations.expire(now);
    state.slot_reservations.expire(now);
    state.quarantine.expire(now);
    let suspects = state.suspects.shared_with(audience, now);
    let stalls = state.stalls.shared_with(audience, now);
    let slowdowns = state.slowdowns.shared_with(audience, now);
    let reports = state.quarantine.shared_with(audience, now);
    let crashes = reports.iter().map(|report| CrashRecord::new(report, now)).collect();
    let cleared = state.quarantine.cleared(now);
    let cleared =
        cleared.into_iter().map(|(fingerprint, age)| (fingerprint.bytes(), age as u32)).collect();
    StateMessage {
        name: relay.settings.name.clone(),
        data_centre: relay.settings.data_centre.clone(),
        stamp: (relay.incarnation, now),
        fleet_is_fresh,
        fleet_is_lost: state.fleet.is_lost(),
        config_is_lost: state.config_lease.is_lost(),
        fleet_age: state.fleet.age(now),
        fleet_answer_age: state.fleet.answer_age(now),
        fleet_read_age: state.fleet.read_age(now),
        fleet_digest: state.fleet.view.digest(),
        config_version: state.config_version(),
        config_age: state.config_lease.age(now),
        config_answer_age: state.config_lease.answer_age(now),
        coordinates_limits: can_coordinate_limits(relay, &state, now),
        is_member: state.peers.is_member(),
        slowdowns: slowdowns
            .map(|(instance, factor)| (instance.into(), (factor * 100.0) as u32))
            .collect(),
        stalls: stalls.map(|(instance, remaining)| (instance.into(), remaining as u32)).collect(),
        crashes,
        cleared,
        suspects: suspects
            .map(|(instance, remaining)| (instance.into(), remaining as u32))
            .collect(),
        ..StateMessage::default()
    }
}

/// Sends changes of replicas to the relays of the data centre, with whether they are expiries. A
/// member sends them to its speakers, which forward them.
pub fn send_fleet_changes(relay: &Relay, changes: Vec<ReplicaUpdate>, source: UpdateSource) {
    let message = match source {
        UpdateSource::Expiry => PeerMessage::Expiry,
        _ => PeerMessage::Fleet,
    };
    let records: Vec<ReplicaRecord> = changes.into_iter().map(ReplicaRecord::from).collect();
    let plan = relay.gossip_plan.borrow();
    let speakers = plan.peers.iter().filter(|peer| matches!(peer.link, GossipLink::Report(_)));
    let addresses: Vec<SocketAddr> = match plan.is_member {
        true => speakers.map(|peer| peer.address).collect(),
        false => near_addresses(relay),
    };
    for chunk in records.chunks(MAX_RECORDS) {
        send_fleet(relay, &message(FleetMessage { changes: chunk.to_vec() }), &addresses);
    }
}

/// Forwards changes of replicas that a member sent, if this relay is the speaker that counts the
/// member's reservations.
pub fn forward_fleet_changes(relay: &Relay, message: &PeerMessage, from: SocketAddr) {
    let is_counted = {
        let state = relay.state.borrow();
        let name = state.peers.name_at(from);
        let kind = name.map(|name| state.peers.report_kind(name, now_millis()));
        kind == Some(ReportKind::Counted)
    };
    if is_counted {
        let addresses: Vec<SocketAddr> =
            near_addresses(relay).into_iter().filter(|address| *address != from).collect();
        send_fleet(relay, message, &addresses);
    }
}

fn send_fleet(relay: &Relay, message: &PeerMessage, addresses: &[SocketAddr]) {
    let datagram = message.encode();
    for address in addresses {
        // A relay that misses this sees a different digest in the next message of state.
        let _lost = relay.peer_socket.try_send_to(&datagram, *address);
    }
}

fn near_addresses(relay: &Relay) -> Vec<SocketAddr> {
    let state = relay.state.borrow();
    let others = state.peers.others(&relay.settings.data_centre);
    others.filter(|(_, _, near)| *near).map(|(_, address, _)| address).collect()
}
