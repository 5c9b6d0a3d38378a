//! Rate limits of replicas, which apply to all relays together: requesting and issuing grants, and
//! sharing limits with other relays.
//!
//! The decisions are made in `switchfold-router`: the current limit of each replica, the relay that
//! coordinates it, and the relay that gets the next grant. Grant requests and grants are datagrams
//! between the relay that has requests to send and the coordinator. A lost datagram costs a pause
//! until the grants are requested again; a lost grant remains unused. Relays share changed limits
//! in their state messages. A relay that missed a change learns it from the first response of the
//! replica, or from the relays of its data centre, which share all limits in turn.

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

/// Interval at which grants are issued and requested while any are pending.
const BUSY_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which outdated limits are removed while no grants are pending.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which a changed limit is shared, in milliseconds: three messages to other data centres,
/// one of which may be lost.
const SHARE_TIME: Millis = 1_300;

/// Maximum number of changed limits in one message.
const MAX_CHANGED_LIMITS: usize = 64;

/// Number of limits that each message contains in turn, in addition to the changed ones.
const PAGE_SIZE: usize = 8;

/// Returns whether this relay may coordinate rate limits.
pub fn can_coordinate_limits(relay: &Relay, state: &RelayState, now: Millis) -> bool {
    let has_others = || state.peers.live_count(now) > 0;
    // A relay that is shutting down leaves its limits to the others, so that they need not wait
    // until it times out. A member receives messages of too few relays to detect that it is
    // partitioned from the others.
    let is_speaker = !state.peers.is_member();
    is_speaker && now >= COORDINATES_AFTER && !(relay.shutdown.is_stopping() && has_others())
}

fn current_stamp(relay: &Relay, now: Millis) -> PeerStamp {
    PeerStamp { incarnation: relay.incarnation, time: now }
}

/// Returns the relay that coordinates the limit of the replica `id`.
fn find_coordinator<'a>(
    relay: &Relay,
    state: &'a RelayState,
    id: &str,
    now: Millis,
) -> LimitCoordinator<'a> {
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    let local =
        LocalRelay { name, data_centre, is_eligible: can_coordinate_limits(relay, state, now) };
    let replica_data_centre = state.fleet.view.get(id).map_or("", |entry| &entry.data_centre);
    limit_coordinator(&local, &state.peers, id, replica_data_centre, now)
}

/// Applies the limit that a replica reported. `from` is the relay that shared the report, or `None`
/// if this relay received it.
pub fn update_limit(relay: &Relay, id: &str, report: LimitReport, from: Option<&str>) {
    let now = now_millis();
    let changed = relay.state.borrow_mut().limits.update(id, report, now);
    let Some(change) = changed else { return };
    count(&relay.counts.limits_changed);
    relay.limit_notify.notify_one();
    let age = now as i64 - report.sent;
    match change {
        LimitChange::Set(limit) => {
            relay.state.borrow_mut().grants.record_limit(id, limit);
            tracing::info!(event = "limit-named", replica = id, limit, age, from);
        }
        LimitChange::Removed => tracing::info!(event = "limit-ended", replica = id, age, from),
    }
}

/// Returns the limits for a state message to another relay: those that changed recently and, if
/// `same_data_centre` is set, page `round` of all limits.
pub fn limits_to_share(
    state: &RelayState,
    same_data_centre: bool,
    round: usize,
    now: Millis,
) -> Vec<LimitRecord> {
    if state.limits.is_empty() {
        return Vec::new();
    }
    let changed =
        state.limits.changed_since(now.saturating_sub(SHARE_TIME)).take(MAX_CHANGED_LIMITS);
    let page = same_data_centre.then(|| state.limits.page(round, PAGE_SIZE));
    let shared = changed.chain(page.into_iter().flatten());
    shared.map(|(id, report)| LimitRecord::new(id, report, now)).collect()
}

/// Merges the limits in a message that the relay `from` wrote at `written`, by the clock of this
/// relay.
pub fn merge_peer_limits(relay: &Relay, limits: &[LimitRecord], from: &str, written: i64) {
    limits
        .iter()
        .for_each(|limit| update_limit(relay, &limit.id, limit.report(written), Some(from)));
}

/// Requests a grant for a replica at which a request could have started if this relay had one. Of
/// the replicas that `can_start` accepts, it is the one with the most free slots.
pub fn request_grant(
    relay: &Rc<Relay>,
    service: &str,
    rank: u8,
    can_start: impl Fn(&ReplicaEntry) -> bool,
) {
    let now = now_millis();
    {
        let mut guard = relay.state.borrow_mut();
        let state = &mut *guard;
        let Some(id) = replica_without_grant(state, service, rank, can_start, now) else { return };
        state.grants.record_miss(&id, now);
    }
    send_grant_requests(relay);
}

/// Returns the replica with the most free slots among those that can start a request, but for which
/// this relay has no grant.
fn replica_without_grant(
    state: &RelayState,
    service: &str,
    rank: u8,
    can_start: impl Fn(&ReplicaEntry) -> bool,
    now: Millis,
) -> Option<String> {
    if state.limits.is_empty() {
        return None;
    }
    let lacks_grant = |replica: &&ReplicaEntry| {
        replica.is_ready()
            && can_start(replica)
            && !state.suspects.is_suspect(&replica.instance, now)
            && state.backoffs.remaining(&replica.instance, now).is_none()
            && state.limit_wait(&replica.instance, rank, now).is_some()
    };
    let load = |replica: &ReplicaEntry| {
        state.slot_reservations.reserved(&replica.instance) / f64::from(replica.slots.max(1))
    };
    let replicas = state.fleet.view.of_service(service).filter(lacks_grant);
    let least_loaded = replicas.min_by(|left, right| load(left).total_cmp(&load(right)));
    least_loaded.map(|replica| replica.instance.id().to_owned())
}

/// Registers a request that waits for a grant. Dropping it ends the wait.
#[derive(Debug)]
pub struct GrantWait {
    relay: Rc<Relay>,
    id: String,
    waiter: GrantWaiter,
}

impl GrantWait {
    /// Starts to wait for a grant of the replica that is expected to get one first. Returns `None`
    /// if no rate limit delays the request.
    pub fn begin(
        relay: &Rc<Relay>,
        service: &str,
        waiter: GrantWaiter,
        can_start: impl Fn(&ReplicaEntry) -> bool,
    ) -> Option<Self> {
        let now = now_millis();
        let id = {
            let mut state = relay.state.borrow_mut();
            let wait = |replica: &&ReplicaEntry| {
                let is_usable = replica.is_ready() && can_start(replica);
                is_usable.then(|| state.limit_wait(&replica.instance, waiter.rank, now)).flatten()
            };
            let replicas = state.fleet.view.of_service(service);
            let waits =
                replicas.filter_map(|replica| Some((wait(&replica)?, replica.instance.id())));
            let id = waits.min()?.1.to_owned();
            state.grants.begin_wait(&id, waiter);
            id
        };
        send_grant_requests(relay);
        Some(Self { relay: relay.clone(), id, waiter })
    }
}

impl Drop for GrantWait {
    fn drop(&mut self) {
        self.relay.state.borrow_mut().grants.end_wait(&self.id, self.waiter);
    }
}

/// Sends the grant requests that are due to the coordinators of the limits.
fn send_grant_requests(relay: &Relay) {
    let now = now_millis();
    let stamp = current_stamp(relay, now);
    let mut requests: Vec<(SocketAddr, Vec<GrantRequestRecord>)> = Vec::new();
    let mut is_coordinator = false;
    {
        let mut state = relay.state.borrow_mut();
        let due = state.grants.due_requests(now);
        if !due.is_empty() {
            relay.limit_notify.notify_one();
        }
        for request in due {
            let (id, count) = (request.id.clone(), request.count);
            let Some(report) = state.limits.report(&id) else { continue };
            add(&relay.counts.grants_asked, count as u64);
            match find_coordinator(relay, &state, &id, now) {
                LimitCoordinator::Unknown => {}
                LimitCoordinator::Local => {
                    is_coordinator = true;
                    state.issuer.request(&request, &relay.settings.name, stamp, now);
                }
                LimitCoordinator::Peer(_, address) => {
                    let limit = LimitRecord::new(&id, report, now);
                    let record = GrantRequestRecord {
                        limit,
                        count: count as u32,
                        valid_for_ms: request.valid_for as u32,
                    };
                    match requests.iter_mut().find(|(to, _)| *to == address) {
                        Some((_, records)) => records.push(record),
                        None => requests.push((address, vec![record])),
                    }
                }
            }
        }
    }
    for (address, requests) in requests {
        let name = relay.settings.name.clone();
        let stamp = (stamp.incarnation, stamp.time);
        let message = PeerMessage::GrantRequests(GrantRequestMessage { name, stamp, requests });
        // A lost request is repeated.
        let _lost = relay.peer_socket.try_send_to(&message.encode(), address);
    }
    if is_coordinator {
        issue_grants(relay);
    }
}

/// Returns the stamp of a message of another relay, and the latest time at which it can have been
/// written, by the clock of this relay.
fn read_stamp(
    relay: &Relay,
    name: &str,
    (incarnation, time): (u32, Millis),
    now: Millis,
) -> (PeerStamp, i64) {
    let stamp = PeerStamp { incarnation, time };
    (stamp, relay.state.borrow_mut().clocks.written_at(name, stamp, now))
}

/// Records the grant requests of another relay, and issues the grants that are due.
pub fn handle_grant_requests(relay: &Relay, message: &GrantRequestMessage) {
    let now = now_millis();
    let (stamp, written) = read_stamp(relay, &message.name, message.stamp, now);
    for record in &message.requests {
        update_limit(relay, &record.limit.id, record.limit.report(written), Some(&message.name));
        let mut state = relay.state.borrow_mut();
        state.issuer.request(&record.request(), &message.name, stamp, now);
    }
    relay.limit_notify.notify_one();
    issue_grants(relay);
}

/// Issues the grants that are due. If a replica no longer has a limit, the relay that requested
/// grants for it receives a report of that.
fn issue_grants(relay: &Relay) {
    let now = now_millis();
    let mut outgoing: Vec<(String, GrantRecord)> = Vec::new();
    {
        let mut guard = relay.state.borrow_mut();
        if !can_coordinate_limits(relay, &guard, now) {
            return;
        }
        let state = &mut *guard;
        let RelaySettings { name, data_centre, .. } = &relay.settings;
        let local = LocalRelay { name, data_centre, is_eligible: true };
        let fraction = rate_fraction(&local, &state.peers, now);
        let requested: Vec<String> = state.issuer.requested_replicas().map(str::to_owned).collect();
        for id in requested {
            let Some(report) = state.limits.report(&id) else { continue };
            // The requesting relay may not know the real coordinator yet. Two issuers would issue
            // twice the limit.
            if find_coordinator(relay, state, &id, now) != LimitCoordinator::Local {
                continue;
            }
            let rate = report.per_second.map_or(f64::INFINITY, |limit| limit * fraction);
            for issued in state.issuer.issue(&id, rate, report.sent, now) {
                add(&relay.counts.grants_issued, issued.count as u64);
                if issued.relay == relay.settings.name {
                    let issued_at = issued.stamp.time + issued.held_for;
                    state.grants.add(&id, issued.count, issued_at as i64, issued.share, now);
                } else {
                    let limit = LimitRecord::new(&id, report, now);
                    outgoing.push((issued.relay.clone(), GrantRecord::new(limit, &issued)));
                }
            }
        }
    }
    send_grants(relay, outgoing, now);
}

fn send_grants(relay: &Relay, grants: Vec<(String, GrantRecord)>, now: Millis) {
    let state = relay.state.borrow();
    for (to, grant) in grants {
        let Some(address) = state.peers.address(&to) else { continue };
        let message = GrantMessage {
            name: relay.settings.name.clone(),
            stamp: (relay.incarnation, now),
            grants: vec![grant],
        };
        // Lost grants are requested again.
        let _lost = relay.peer_socket.try_send_to(&PeerMessage::Grants(message).encode(), address);
    }
}

/// Adds grants that a coordinator issued to this relay.
pub fn handle_grants(relay: &Relay, message: &GrantMessage) {
    let now = now_millis();
    let (_, written) = read_stamp(relay, &message.name, message.stamp, now);
    for grant in &message.grants {
        update_limit(relay, &grant.limit.id, grant.limit.report(written), Some(&message.name));
        let IssuedGrants { stamp, held_for, count, share, .. } = grant.issued_grants();
        if stamp.incarnation == relay.incarnation {
            let issued = stamp.time.saturating_add(held_for) as i64;
            let mut state = relay.state.borrow_mut();
            state.grants.add(&grant.limit.id, count, issued, share, now);
        }
    }
}

/// Removes outdated limits, and the grants and grant requests for replicas without a limit.
fn remove_outdated(relay: &Relay) {
    let mut guard = relay.state.borrow_mut();
    let RelayState { limits, grants, issuer, fleet, .. } = &mut *guard;
    limits.expire(|id| fleet.view.get(id).is_some(), now_millis());
    grants.retain(|id| limits.limit(id).is_some());
    issuer.retain(|id| limits.limit(id).is_some());
}

/// Requests grants that this relay needs, and issues those of the limits that it coordinates. Never
/// returns.
pub async fn exchange_grants(relay: Rc<Relay>) {
    loop {
        let now = now_millis();
        let is_busy = {
            let state = relay.state.borrow();
            state.issuer.requested_replicas().next().is_some() || state.grants.has_requests(now)
        };
        if is_busy {
            issue_grants(&relay);
            send_grant_requests(&relay);
            sleep(BUSY_INTERVAL).await;
        } else {
            tokio::select! {
                () = relay.limit_notify.notified() => sleep(BUSY_INTERVAL).await,
                () = sleep(IDLE_INTERVAL) => remove_outdated(&relay),
            }
        }
    }
}
