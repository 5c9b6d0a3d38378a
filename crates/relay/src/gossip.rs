//! Telling the other relays.
//!
//! A relay tells its state to those of its [circle](switchfold_router::membership::GossipPlan): speakers hear each other's often
//! within a data centre and seldom beyond, members and their speakers in between. What a member needs of others its speakers
//! tell it as sums, so that what a relay hears does not grow with the count of relays.

use std::{net::SocketAddr, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    fleet::ReplicaUpdate,
    instance::ReplicaInstance,
    membership::{GossipLink, GossipPeer, ReportKind, name_hash},
    origin::UpdateAudience,
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
    replicas::drop_expired,
    state::{Relay, RelayState},
};

/// Time between two rounds, in which speakers of one data centre tell each other. A request holds its room for seconds, so
/// figures a fifth of a second old miss a few percent of it.
const TELL_EVERY: Duration = Duration::from_millis(200);

/// Of these rounds, one in so many also tells the speakers of other data centres.
const FAR_ONE_IN: u64 = 2;

/// Of the messages to other data centres, one in so many tells the promised room.
const FAR_LOAD_ONE_IN: u64 = 3;

/// Of the messages to a member, one in so many tells what is promised in other data centres, where it sends only what its own
/// does not take.
const MEMBER_FAR_ONE_IN: u64 = 4;

/// Rounds after which a speaker tells the others which members it hears, against the minute after which a relay is forgotten.
const MEMBERS_EVERY: u64 = 25;

/// Time for which news are gathered before they are told on, so that losses that are found together make one message.
const GATHER: Duration = Duration::from_millis(20);

/// Most replicas that one datagram tells of: an entry takes some 100 bytes, and small datagrams are lost
/// less often.
const MAX_RECORDS: usize = 64;

/// Whom something is told.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SendScope {
    /// The relays of the data centre.
    SameDataCentre,
    /// Those of others as well.
    All,
}

/// Tells the others for good.
pub async fn run_sender(relay: &Relay) {
    let mut round: u64 = 0;
    loop {
        let next = Instant::now() + TELL_EVERY;
        while Instant::now() < next {
            tokio::select! {
                () = sleep_until(next) => {}
                () = relay.send_notify.notified() => {
                    sleep(GATHER).await;
                    let reach = relay.pending_send.take();
                    reach.into_iter().for_each(|reach| send_state(relay, reach));
                }
            }
        }
        round += 1;
        drop_expired(relay);
        plan_gossip(relay);
        tell_legs(relay, |name, leg| is_due(name, leg, round));
    }
}

/// Asks the task that tells to do so at once.
pub fn send_state_soon(relay: &Relay, reach: SendScope) {
    relay.pending_send.set(relay.pending_send.get().max(Some(reach)));
    relay.send_notify.notify_one();
}

/// Decides anew whom this relay tells.
pub fn plan_gossip(relay: &Relay) {
    let settings = &relay.settings;
    let now = now_millis();
    let circle = {
        let peers = &mut relay.state.borrow_mut().peers;
        peers.plan_gossip(&settings.name, &settings.data_centre, now)
    };
    let was_member = relay.gossip_plan.borrow().is_member;
    if was_member != circle.is_member {
        tracing::info!(event = "circle", is_member = circle.is_member, told = circle.peers.len());
    }
    let speaks_now = was_member && !circle.is_member;
    relay.gossip_plan.replace(circle);
    if speaks_now {
        let mut state = relay.state.borrow_mut();
        state.memory_reservations.clear_sums();
        state.slot_reservations.clear_sums();
        drop(state);
        greet_all(relay);
    }
}

/// Tells all relays that are known that this one speaks now. Others may have passed it over while it was a member, and it
/// them: neither would hear of the other.
fn greet_all(relay: &Relay) {
    let names: Vec<String> = {
        let state = relay.state.borrow();
        state.peers.others("").map(|(name, _, _)| name.to_owned()).collect()
    };
    send_greeting(relay, &names);
}

/// Parts of a message that are told in some rounds only.
#[derive(Clone, Copy, Debug, Default)]
struct TellParts {
    /// What is promised.
    load: bool,
    /// To a member: what is promised in other data centres.
    far_load: bool,
    /// Which members are heard.
    members: bool,
}

/// Whether a relay is told in a round, and what.
fn is_due(name: &str, leg: GossipLink, round: u64) -> Option<TellParts> {
    let parts = TellParts { load: true, ..TellParts::default() };
    match leg {
        GossipLink::Near => {
            Some(TellParts { members: round.is_multiple_of(MEMBERS_EVERY), ..parts })
        }
        GossipLink::Far => round.is_multiple_of(FAR_ONE_IN).then(|| TellParts {
            load: (round / FAR_ONE_IN).is_multiple_of(FAR_LOAD_ONE_IN),
            ..parts
        }),
        GossipLink::Report(_) => Some(parts),
        GossipLink::Member(_) => {
            let turn = round + u64::from(name_hash(name));
            Some(TellParts { far_load: turn.is_multiple_of(MEMBER_FAR_ONE_IN), ..parts })
        }
    }
}

/// Tells this relay's state to those of its data centre that it tells, and where asked to all.
pub fn send_state(relay: &Relay, reach: SendScope) {
    tell_legs(relay, |_, leg| {
        let is_told = reach == SendScope::All || leg != GossipLink::Far;
        // News are told at once; what is promised has its own time.
        let load = matches!(leg, GossipLink::Near | GossipLink::Report(_));
        is_told.then(|| TellParts { load, ..TellParts::default() })
    });
}

/// Tells relays once that this one is there: they may be waiting for a neighbour.
pub fn send_greeting(relay: &Relay, names: &[String]) {
    let news = compose_state(relay, UpdateAudience::Members, now_millis());
    let datagram = encode_state(&news);
    let state = relay.state.borrow();
    for address in names.iter().filter_map(|name| state.peers.address(name)) {
        // One that misses this hears of the others from the store.
        let _lost = relay.peer_socket.try_send_to(&datagram, address);
    }
}

fn tell_legs(relay: &Relay, is_due: impl Fn(&str, GossipLink) -> Option<TellParts>) {
    let now = now_millis();
    let circle = relay.gossip_plan.borrow();
    let due = circle.peers.iter().filter_map(|peer| Some((peer, is_due(&peer.name, peer.link)?)));
    let (members, speakers): (Vec<_>, Vec<_>) =
        due.partition(|(peer, _)| matches!(peer.link, GossipLink::Member(_)));
    if !speakers.is_empty() {
        tell_speakers(relay, &speakers, now);
    }
    if !members.is_empty() {
        tell_members(relay, &members, now);
    }
}

fn tell_speakers(relay: &Relay, due: &[(&GossipPeer, TellParts)], now: Millis) {
    let mut news = compose_state(relay, UpdateAudience::Speakers, now);
    let state = relay.state.borrow();
    let round = (now / TELL_EVERY.as_millis() as Millis) as usize;
    let limits = [false, true].map(|near| limits_to_share(&state, near, round, now));
    let members = state.peers.member_hashes(now);
    let gathered = ReservationReport::Group(gathered_load(&state, now));
    for (peer, parts) in due {
        let is_near = peer.link != GossipLink::Far;
        let report = match peer.link {
            GossipLink::Report(kind) => kind,
            GossipLink::Near | GossipLink::Far | GossipLink::Member(_) => ReportKind::None,
        };
        news.report = ReportRecord::from(report);
        news.echo = is_near.then(|| echo(&state, &peer.name, now)).flatten();
        news.limits.clone_from(&limits[usize::from(is_near)]);
        news.members = if parts.members { members.clone() } else { Vec::new() };
        let tells_load = parts.load && report != ReportKind::Spare;
        news.reservations = if tells_load { gathered.clone() } else { ReservationReport::Omitted };
        send(relay, &news, peer.address);
    }
}

fn tell_members(relay: &Relay, due: &[(&GossipPeer, TellParts)], now: Millis) {
    let mut news = compose_state(relay, UpdateAudience::Members, now);
    let state = relay.state.borrow();
    let round = (now / TELL_EVERY.as_millis() as Millis) as usize;
    news.limits = limits_to_share(&state, true, round, now);
    news.coordinators = state.peers.coordinator_hashes(now);
    if news.keeps_limits {
        news.coordinators.push(name_hash(&relay.settings.name));
    }
    news.reader = match news.fleet_read_age.filter(|_| !news.fleet_is_lost) {
        Some(_) => Some(name_hash(&relay.settings.name)),
        None => state.peers.reader_hash(&relay.settings.data_centre, now),
    };
    for (peer, parts) in due {
        news.echo = echo(&state, &peer.name, now);
        let is_counted = peer.link == GossipLink::Member(ReportKind::Counted);
        news.reservations = match parts.load && is_counted {
            true => sums_for(relay, &state, &peer.name, *parts),
            false => ReservationReport::Omitted,
        };
        send(relay, &news, peer.address);
    }
}

fn send(relay: &Relay, news: &StateMessage, address: SocketAddr) {
    count(&relay.counts.states_told);
    // A peer that cannot be reached now is told again soon.
    let _lost = relay.peer_socket.try_send_to(&encode_state(news), address);
}

fn echo(state: &RelayState, name: &str, now: Millis) -> Option<((u32, Millis), Millis)> {
    let (stamp, held) = state.peers.echo(name, now)?;
    Some(((stamp.incarnation, stamp.time), held))
}

/// What this relay and its members promised.
fn gathered_load(state: &RelayState, now: Millis) -> ReservationRecord {
    let counts = |name: &str| state.peers.report_kind(name, now) == ReportKind::Counted;
    let records = |ledger: &ReservationLedger| -> Vec<(InstanceRecord, u32)> {
        let gathered = ledger.sum_with(counts);
        gathered.into_iter().map(|(instance, amount)| (instance.into(), amount as u32)).collect()
    };
    ReservationRecord {
        memory: records(&state.memory_reservations),
        slots: records(&state.slot_reservations),
    }
}

/// What all relays but one promised, as that one is told it.
fn sums_for(
    relay: &Relay,
    state: &RelayState,
    member: &str,
    parts: TellParts,
) -> ReservationReport {
    let home = &relay.settings.data_centre;
    let is_near = |instance: &ReplicaInstance| {
        state.fleet.view.get_current(instance).is_some_and(|replica| replica.data_centre == *home)
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
        other_data_centres: parts.far_load.then(|| sum(false)),
    }
}

fn compose_state(relay: &Relay, reach: UpdateAudience, now: Millis) -> StateMessage {
    let fleet_is_fresh = relay.is_fleet_fresh(now);
    let mut state = relay.state.borrow_mut();
    state.memory_reservations.expire(now);
    state.slot_reservations.expire(now);
    state.quarantine.forget(now);
    let suspects = state.suspects.shared_with(reach, now);
    let stalls = state.stalls.shared_with(reach, now);
    let slowdowns = state.slowdowns.shared_with(reach, now);
    let told = state.quarantine.updates(reach, now);
    let crashes = told.iter().map(|news| CrashRecord::new(news, now)).collect();
    let cleared = state.quarantine.cleared(now);
    let cleared = cleared.into_iter().map(|(of, age)| (of.bytes(), age as u32)).collect();
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
        keeps_limits: can_coordinate_limits(relay, &state, now),
        is_member: state.peers.is_member(),
        slowdowns: slowdowns
            .map(|(instance, factor)| (instance.into(), (factor * 100.0) as u32))
            .collect(),
        stalls: stalls.map(|(instance, left)| (instance.into(), left as u32)).collect(),
        crashes,
        cleared,
        suspects: suspects.map(|(instance, left)| (instance.into(), left as u32)).collect(),
        ..StateMessage::default()
    }
}

/// Tells the relays of the data centre of replicas that changed. A member tells its speakers, which tell the others.
pub fn send_fleet_changes(relay: &Relay, changes: Vec<ReplicaUpdate>) {
    let records: Vec<ReplicaRecord> = changes.into_iter().map(ReplicaRecord::from).collect();
    let circle = relay.gossip_plan.borrow();
    let speakers = circle.peers.iter().filter(|peer| matches!(peer.link, GossipLink::Report(_)));
    let told: Vec<SocketAddr> = match circle.is_member {
        true => speakers.map(|peer| peer.address).collect(),
        false => near_addresses(relay),
    };
    for part in records.chunks(MAX_RECORDS) {
        send_fleet(relay, &FleetMessage { changes: part.to_vec() }, &told);
    }
}

/// Tells on what a member told of replicas, where this relay counts for it.
pub fn forward_fleet_changes(relay: &Relay, news: &FleetMessage, from: SocketAddr) {
    let is_counted = {
        let state = relay.state.borrow();
        let name = state.peers.name_at(from);
        let kind = name.map(|name| state.peers.report_kind(name, now_millis()));
        kind == Some(ReportKind::Counted)
    };
    if is_counted {
        let told: Vec<SocketAddr> =
            near_addresses(relay).into_iter().filter(|address| *address != from).collect();
        send_fleet(relay, news, &told);
    }
}

fn send_fleet(relay: &Relay, news: &FleetMessage, told: &[SocketAddr]) {
    let datagram = PeerMessage::Fleet(news.clone()).encode();
    for address in told {
        // A relay that misses this sees another digest in the next state.
        let _lost = relay.peer_socket.try_send_to(&datagram, *address);
    }
}

fn near_addresses(relay: &Relay) -> Vec<SocketAddr> {
    let state = relay.state.borrow();
    let others = state.peers.others(&relay.settings.data_centre);
    others.filter(|(_, _, near)| *near).map(|(_, address, _)| address).collect()
}
