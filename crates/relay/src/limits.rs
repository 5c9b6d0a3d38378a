//! Limits of replicas that hold for all relays together: asking for grants, handing them out, and telling others.
//!
//! What is decided stands in the router: what each replica said, which relay keeps its limit, who gets the next grant. Asks
//! and grants are datagrams between the relay that has requests and the one that keeps the limit; a lost one costs a
//! pause, and the grant. Relays tell changed limits with their state; whoever missed that learns it with the first answer, or
//! from its neighbours, who tell all limits in turn.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    coordinator::{
        COORDINATES_AFTER, LimitCoordinator, LocalRelay, limit_coordinator, rate_fraction,
    },
    fleet::ReplicaEntry,
    grants::GrantWaiter,
    issuer::IssuedGrants,
    limits::{LimitChange, LimitReport},
    membership::PeerStamp,
};
use tokio::time::sleep;

use crate::{
    counts::{add, count},
    messages::{
        GrantMessage, GrantRecord, GrantRequestMessage, GrantRequestRecord, LimitRecord,
        PeerMessage,
    },
    settings::RelaySettings,
    state::{Relay, RelayState},
};

/// Time between two looks of a relay that keeps a limit or wants grants, and of one that does not.
const LOOK_EVERY: Duration = Duration::from_millis(25);
const IDLE_LOOK: Duration = Duration::from_millis(1_000);

/// Time for which a changed limit is told, in milliseconds: three messages to other data centres, and one may be lost.
const TELL_TIME: Millis = 1_300;

/// Most changed limits that one message tells, and limits told in turn beside them.
const MOST_CHANGED: usize = 64;
const MOST_IN_TURN: usize = 8;

/// Whether this relay keeps limits of replicas.
pub fn can_coordinate_limits(relay: &Relay, state: &RelayState, now: Millis) -> bool {
    let has_others = || state.peers.live_count(now) > 0;
    // One that stops leaves them to the others while it is there, so that nobody waits for its silence.
    // What a member hears of the others is too little to tell whether it is cut off.
    let speaks = !state.peers.is_member();
    speaks && now >= COORDINATES_AFTER && !(relay.shutdown.is_stopping() && has_others())
}

fn own_stamp(relay: &Relay, now: Millis) -> PeerStamp {
    PeerStamp { incarnation: relay.incarnation, time: now }
}

fn find_keeper<'a>(
    relay: &Relay,
    state: &'a RelayState,
    id: &str,
    now: Millis,
) -> LimitCoordinator<'a> {
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let own =
        LocalRelay { name, data_centre, is_eligible: can_coordinate_limits(relay, state, now) };
    let place = state.fleet.view.get(id).map_or("", |entry| &entry.data_centre);
    limit_coordinator(&own, &state.peers, id, place, now)
}

/// Takes over what a replica said of its limit; `from` is the relay that told it, where it was not said to this one.
pub fn update_limit(relay: &Relay, id: &str, word: LimitReport, from: Option<&str>) {
    let now = now_millis();
    let changed = relay.state.borrow_mut().limits.update(id, word, now);
    let Some(change) = changed else { return };
    count(&relay.counts.limits_changed);
    relay.limit_notify.notify_one();
    let age = now as i64 - word.sent;
    match change {
        LimitChange::Set(limit) => {
            relay.state.borrow_mut().grants.record_limit(id, limit);
            tracing::info!(event = "limit-named", replica = id, limit, age, from);
        }
        LimitChange::Removed => tracing::info!(event = "limit-ended", replica = id, age, from),
    }
}

/// Limits to tell another relay with this one's state: those that changed lately, and to `near` ones some of all in turn.
pub fn limits_to_share(
    state: &RelayState,
    near: bool,
    round: usize,
    now: Millis,
) -> Vec<LimitRecord> {
    if state.limits.is_empty() {
        return Vec::new();
    }
    let changed = state.limits.changed_since(now.saturating_sub(TELL_TIME)).take(MOST_CHANGED);
    let turn = near.then(|| state.limits.page(round, MOST_IN_TURN));
    let told = changed.chain(turn.into_iter().flatten());
    told.map(|(id, word)| LimitRecord::new(id, word, now)).collect()
}

/// Takes over limits that another relay told in a message that it wrote at `written`.
pub fn merge_peer_limits(relay: &Relay, limits: &[LimitRecord], from: &str, written: i64) {
    limits
        .iter()
        .for_each(|limit| update_limit(relay, &limit.id, limit.report(written), Some(from)));
}

/// Notes that a request would have begun at a replica for which this relay has no grant, and asks for one: of those that
/// could begin it, the one with most places left.
pub fn request_grant(
    relay: &Rc<Relay>,
    service: &str,
    rank: u8,
    begins: impl Fn(&ReplicaEntry) -> bool,
) {
    let now = now_millis();
    {
        let mut guard = relay.state.borrow_mut();
        let state = &mut *guard;
        let Some(id) = wanted_replica(state, service, rank, begins, now) else { return };
        state.grants.record_miss(&id, now);
    }
    ask_for_grants(relay);
}

/// The replica with most places left, of those for which no grant is left.
fn wanted_replica(
    state: &RelayState,
    service: &str,
    rank: u8,
    begins: impl Fn(&ReplicaEntry) -> bool,
    now: Millis,
) -> Option<String> {
    if state.limits.is_empty() {
        return None;
    }
    let lacks = |replica: &&ReplicaEntry| {
        replica.is_ready()
            && begins(replica)
            && !state.suspects.is_suspect(&replica.instance, now)
            && state.backoffs.remaining(&replica.instance, now).is_none()
            && state.limit_wait(&replica.instance, rank, now).is_some()
    };
    let load = |replica: &ReplicaEntry| {
        state.slot_reservations.reserved(&replica.instance) / f64::from(replica.slots.max(1))
    };
    let replicas = state.fleet.view.of_service(service).filter(lacks);
    let least = replicas.min_by(|left, right| load(left).total_cmp(&load(right)));
    least.map(|replica| replica.instance.id().to_owned())
}

/// A request that waits for a grant; dropping it ends that.
#[derive(Debug)]
pub struct GrantWait {
    relay: Rc<Relay>,
    id: String,
    need: GrantWaiter,
}

impl GrantWait {
    /// Waits at the replica where a grant may come first; nothing where no limit holds the request back.
    pub fn begin(
        relay: &Rc<Relay>,
        service: &str,
        need: GrantWaiter,
        begins: impl Fn(&ReplicaEntry) -> bool,
    ) -> Option<Self> {
        let now = now_millis();
        let id = {
            let mut state = relay.state.borrow_mut();
            let wait = |replica: &&ReplicaEntry| {
                let is_usable = replica.is_ready() && begins(replica);
                is_usable.then(|| state.limit_wait(&replica.instance, need.rank, now)).flatten()
            };
            let replicas = state.fleet.view.of_service(service);
            let waits =
                replicas.filter_map(|replica| Some((wait(&replica)?, replica.instance.id())));
            let id = waits.min()?.1.to_owned();
            state.grants.begin_wait(&id, need);
            id
        };
        ask_for_grants(relay);
        Some(Self { relay: relay.clone(), id, need })
    }
}

impl Drop for GrantWait {
    fn drop(&mut self) {
        self.relay.state.borrow_mut().grants.end_wait(&self.id, self.need);
    }
}

/// Asks the keepers for the grants that are due.
fn ask_for_grants(relay: &Relay) {
    let now = now_millis();
    let stamp = own_stamp(relay, now);
    let mut asks: Vec<(SocketAddr, Vec<GrantRequestRecord>)> = Vec::new();
    let mut is_own = false;
    {
        let mut state = relay.state.borrow_mut();
        let due = state.grants.due_requests(now);
        if !due.is_empty() {
            relay.limit_notify.notify_one();
        }
        for ask in due {
            let (id, wanted) = (ask.id.clone(), ask.count);
            let Some(word) = state.limits.report(&id) else { continue };
            add(&relay.counts.grants_asked, wanted as u64);
            match find_keeper(relay, &state, &id, now) {
                LimitCoordinator::Unknown => {}
                LimitCoordinator::Local => {
                    is_own = true;
                    state.issuer.request(&ask, &relay.settings.name, stamp, now);
                }
                LimitCoordinator::Peer(_, address) => {
                    let limit = LimitRecord::new(&id, word, now);
                    let ask = GrantRequestRecord {
                        limit,
                        count: wanted as u32,
                        valid_for_ms: ask.valid_for as u32,
                    };
                    match asks.iter_mut().find(|(to, _)| *to == address) {
                        Some((_, asks)) => asks.push(ask),
                        None => asks.push((address, vec![ask])),
                    }
                }
            }
        }
    }
    for (address, asks) in asks {
        let name = relay.settings.name.clone();
        let stamp = (stamp.incarnation, stamp.time);
        let message =
            PeerMessage::GrantRequests(GrantRequestMessage { name, stamp, requests: asks });
        // A lost one is asked again.
        let _lost = relay.peer_socket.try_send_to(&message.encode(), address);
    }
    if is_own {
        issue_grants(relay);
    }
}

/// Stamp of a message of another relay, and when it was written at the latest.
fn read_stamp(
    relay: &Relay,
    name: &str,
    (incarnation, time): (u32, Millis),
    now: Millis,
) -> (PeerStamp, i64) {
    let stamp = PeerStamp { incarnation, time };
    (stamp, relay.state.borrow_mut().clocks.written_at(name, stamp, now))
}

/// Takes asks of another relay.
pub fn handle_grant_requests(relay: &Relay, news: &GrantRequestMessage) {
    let now = now_millis();
    let (stamp, written) = read_stamp(relay, &news.name, news.stamp, now);
    for ask in &news.requests {
        update_limit(relay, &ask.limit.id, ask.limit.report(written), Some(&news.name));
        let mut state = relay.state.borrow_mut();
        state.issuer.request(&ask.request(), &news.name, stamp, now);
    }
    relay.limit_notify.notify_one();
    issue_grants(relay);
}

/// Hands out the grants that may be issued now. An ask for a replica that has no limit any more is answered with that.
fn issue_grants(relay: &Relay) {
    let now = now_millis();
    let mut told: Vec<(String, GrantRecord)> = Vec::new();
    {
        let mut guard = relay.state.borrow_mut();
        if !can_coordinate_limits(relay, &guard, now) {
            return;
        }
        let state = &mut *guard;
        let RelaySettings { name, data_centre, .. } = &relay.settings;
        let own = LocalRelay { name, data_centre, is_eligible: true };
        let part = rate_fraction(&own, &state.peers, now);
        let asked: Vec<String> = state.issuer.requested_replicas().map(str::to_owned).collect();
        for id in asked {
            let Some(word) = state.limits.report(&id) else { continue };
            // Whoever asks may not have heard the one that keeps the limit yet: two that give would give twice as much.
            if find_keeper(relay, state, &id, now) != LimitCoordinator::Local {
                continue;
            }
            let rate = word.per_second.map_or(f64::INFINITY, |limit| limit * part);
            for issued in state.issuer.issue(&id, rate, word.sent, now) {
                add(&relay.counts.grants_issued, issued.count as u64);
                if issued.relay == relay.settings.name {
                    let at = issued.stamp.time + issued.held_for;
                    state.grants.add(&id, issued.count, at as i64, issued.share, now);
                } else {
                    let limit = LimitRecord::new(&id, word, now);
                    told.push((issued.relay.clone(), GrantRecord::new(limit, &issued)));
                }
            }
        }
    }
    tell_grants(relay, told, now);
}

fn tell_grants(relay: &Relay, told: Vec<(String, GrantRecord)>, now: Millis) {
    let state = relay.state.borrow();
    for (to, grant) in told {
        let Some(address) = state.peers.address(&to) else { continue };
        let news = GrantMessage {
            name: relay.settings.name.clone(),
            stamp: (relay.incarnation, now),
            grants: vec![grant],
        };
        // A lost one is asked for again.
        let _lost = relay.peer_socket.try_send_to(&PeerMessage::Grants(news).encode(), address);
    }
}

/// Takes grants of the keeper.
pub fn handle_grants(relay: &Relay, news: &GrantMessage) {
    let now = now_millis();
    let (_, written) = read_stamp(relay, &news.name, news.stamp, now);
    for grant in &news.grants {
        update_limit(relay, &grant.limit.id, grant.limit.report(written), Some(&news.name));
        let IssuedGrants { stamp, held_for, count, share, .. } = grant.issued_grants();
        if stamp.incarnation == relay.incarnation {
            let issued = (stamp.time + held_for) as i64;
            let mut state = relay.state.borrow_mut();
            state.grants.add(&grant.limit.id, count, issued, share, now);
        }
    }
}

/// Drops what is kept of limits that bind nobody any more.
fn forget(relay: &Relay) {
    let mut guard = relay.state.borrow_mut();
    let RelayState { limits, grants, issuer, fleet, .. } = &mut *guard;
    limits.forget(|id| fleet.view.get(id).is_some(), now_millis());
    grants.retain(|id| limits.limit(id).is_some());
    issuer.retain(|id| limits.limit(id).is_some());
}

/// Asks for grants and hands them out for good.
pub async fn exchange_grants(relay: Rc<Relay>) {
    loop {
        let now = now_millis();
        let is_busy = {
            let state = relay.state.borrow();
            state.issuer.requested_replicas().next().is_some() || state.grants.has_requests(now)
        };
        if is_busy {
            issue_grants(&relay);
            ask_for_grants(&relay);
            sleep(LOOK_EVERY).await;
        } else {
            tokio::select! {
                () = relay.limit_notify.notified() => sleep(LOOK_EVERY).await,
                () = sleep(IDLE_LOOK) => forget(&relay),
            }
        }
    }
}
