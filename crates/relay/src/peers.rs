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
    limits::{handle_grant_requests, handle_grants, merge_peer_limits},
    news::{FleetNews, InstanceRecord, LoadNews, LoadRecord, PeerMessage, StateNews},
    quarantine::{merge_peer_crashes, record_replica_loss},
    registry::find_peers,
    replicas::take_news,
    state::{Beliefs, Relay},
    tell::{TellReach, pass_fleet_on, tell, tell_soon},
};

/// Largest datagram that is read.
const MOST_DATAGRAM: usize = 60_000;

/// Tells and hears peers for good.
pub async fn talk(relay: Rc<Relay>) {
    tokio::join!(hear(&relay), tell(&relay), find_peers(&relay));
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
            Some(PeerMessage::Asks(news)) => handle_grant_requests(relay, &news),
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
    let logged = relay.drop_logged.get();
    if logged.is_none_or(|logged| now.saturating_sub(logged) >= DROPS_LOGGED_EVERY) {
        relay.drop_logged.set(Some(now));
        let dropped = relay.counts.bad_datagrams.get();
        tracing::warn!(event = "datagram-dropped", %from, why, dropped);
    }
}

fn take_state(relay: &Relay, news: &StateNews, from: SocketAddr) {
    let now = now_millis();
    let is_excess = {
        let peers = &relay.beliefs.borrow().peers;
        peers.known_count() >= MOST_RELAYS && peers.address(&news.name).is_none()
    };
    if is_excess {
        return drop_datagram(relay, from, "of one relay too many");
    }
    count(&relay.counts.states_heard);
    let state = peer_state(news);
    let kind = ReportKind::from(news.report);
    let origin = match kind {
        ReportKind::None => UpdateOrigin::Peer,
        ReportKind::Spare | ReportKind::Counted => UpdateOrigin::Member,
    };
    let (written, lost);
    {
        let mut guard = relay.beliefs.borrow_mut();
        let beliefs = &mut *guard;
        beliefs.peers.upsert(&news.name, from, &news.data_centre, now);
        let (incarnation, time) = news.stamp;
        let stamp = PeerStamp { incarnation, time };
        if beliefs.peers.is_returning(&news.name, stamp, now) {
            beliefs.quarantine.announce_all(now);
        }
        if !beliefs.peers.record_message(&news.name, state, stamp, now) {
            count(&relay.counts.older_states);
            return;
        }
        beliefs.peers.record_report(&news.name, kind, now);
        beliefs.peers.record_reported_roles(&news.keepers, news.reader, now);
        beliefs.peers.record_members(&news.members, now);
        written = beliefs.clocks.written_at(&news.name, stamp, now);
        take_load(beliefs, news, kind, now);
        for (instance, hundredfold) in &news.paces {
            let factor = f64::from(*hundredfold) / 100.0;
            beliefs.paces.merge_peer(&instance.into(), factor, origin, now);
        }
        let mutes =
            news.mutes.iter().map(|(instance, lasts)| (instance.into(), Millis::from(*lasts)));
        beliefs.heads.merge_peer(&news.name, origin, mutes, now);
        lost = take_suspects(beliefs, news, origin, now);
    }
    merge_peer_limits(relay, &news.limits, &news.name, written);
    lost.iter().for_each(|instance| record_replica_loss(relay, instance));
    merge_peer_crashes(relay, news, origin, now);
    if news.data_centre == relay.settings.data_centre {
        take_proofs(relay, news, &state, now);
    }
    if !lost.is_empty() {
        relay.raise_alarm();
        pass_on(relay, origin, now);
    }
}

/// Takes over which replicas another relay keeps away from; gives those that are news.
fn take_suspects(
    beliefs: &mut Beliefs,
    news: &StateNews,
    origin: UpdateOrigin,
    now: Millis,
) -> Vec<ReplicaInstance> {
    let mut lost = Vec::new();
    for (instance, lasts) in &news.suspects {
        let instance = ReplicaInstance::from(instance);
        let is_current = beliefs.fleet.view.get_current(&instance).is_some();
        if is_current && !beliefs.suspects.is_suspect(&instance, now) {
            beliefs.suspects.merge_peer(&instance, now + Millis::from(*lasts), origin);
            tracing::info!(event = "suspect-heard", replica = %instance, from = news.name, lasts);
            lost.push(instance);
        }
    }
    lost
}

/// Tells on at once what another relay told, to those that hear it from this one alone.
pub fn pass_on(relay: &Relay, origin: UpdateOrigin, now: Millis) {
    if !relay.beliefs.borrow().peers.has_members(now) {
        return;
    }
    match origin {
        UpdateOrigin::Peer => tell_soon(relay, TellReach::Near),
        UpdateOrigin::Member | UpdateOrigin::Local => tell_soon(relay, TellReach::All),
    }
}

/// Takes over what is promised. A member hears the sum of all from its speakers, which holds what any other tells it.
fn take_load(beliefs: &mut Beliefs, news: &StateNews, kind: ReportKind, now: Millis) {
    let is_member = beliefs.peers.is_member();
    let Beliefs { room, places, .. } = beliefs;
    match &news.load {
        LoadNews::Gathered(load) if !is_member || kind == ReportKind::Counted => {
            room.merge_peer(&news.name, amounts(&load.room), now);
            places.merge_peer(&news.name, amounts(&load.places), now);
        }
        LoadNews::Sums { near, far } if is_member => {
            take_sum(room, places, SumScope::SameDataCentre, near, now);
            far.iter().for_each(|far| take_sum(room, places, SumScope::OtherDataCentres, far, now));
        }
        LoadNews::Untold | LoadNews::Gathered(_) | LoadNews::Sums { .. } => {}
    }
}

fn take_sum(
    room: &mut ReservationLedger,
    places: &mut ReservationLedger,
    part: SumScope,
    load: &LoadRecord,
    now: Millis,
) {
    room.merge_sum(part, amounts(&load.room), now);
    places.merge_sum(part, amounts(&load.places), now);
}

fn amounts(records: &[(InstanceRecord, u32)]) -> HashMap<ReplicaInstance, f64> {
    records.iter().map(|(instance, amount)| (instance.into(), f64::from(*amount))).collect()
}

fn peer_state(news: &StateNews) -> PeerState {
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
fn take_proofs(relay: &Relay, news: &StateNews, state: &PeerState, now: Millis) {
    let mut guard = relay.beliefs.borrow_mut();
    let beliefs = &mut *guard;
    let own = OwnState {
        name: &relay.settings.name,
        data_centre: &relay.settings.data_centre,
        incarnation: relay.incarnation,
        config_version: beliefs.config_version(),
        fleet_digest: beliefs.fleet.view.digest(),
    };
    let echo = news.echo.map(|((incarnation, time), held)| (PeerStamp { incarnation, time }, held));
    let proofs = beliefs.peers.read_proofs(own, state, echo, now);
    let is_newer = |answered: Option<Millis>, age: Option<Millis>| {
        let known = age.map(|age| now.saturating_sub(age));
        answered.is_some_and(|at| known.is_none_or(|known| at >= known + NEWER_BY))
    };
    let passes_on = is_newer(proofs.config.answered, beliefs.config_lease.answer_age(now))
        || is_newer(proofs.fleet.answered, beliefs.fleet.answer_age(now));
    if let Some(answered) = proofs.config.answered {
        beliefs.config_lease.record_answer(answered);
    }
    if let Some(proved) = proofs.config.proved {
        beliefs.config_lease.record_proof_at(proved);
    }
    beliefs.fleet.record_proof(proofs.fleet);
    drop(guard);
    if passes_on {
        pass_on(relay, UpdateOrigin::Peer, now);
    }
}

/// Time by which an answer of the store must be younger than the last known one to be told on at once, in milliseconds. Members
/// would otherwise hear of it so late that they read the store themselves.
const NEWER_BY: Millis = 200;

fn take_fleet(relay: &Relay, news: FleetNews, from: SocketAddr) {
    pass_fleet_on(relay, &news, from);
    let news = news.changes.into_iter().map(ReplicaUpdate::from).collect();
    take_news(relay, news, UpdateSource::Relay(from));
}
