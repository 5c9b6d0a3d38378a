//! What replicas report of themselves in response headers: a backoff (`Retry-After`), a rate limit
//! (`Server-Limit`), or that they are leaving (`Server-Leaving`).
//!
//! These notices apply to more than the request that they came with. A backoff or a limit delays
//! later requests of this relay to the replica. A leaving replica is treated as if the store listed
//! it as draining, before the store does.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use http::StatusCode;
use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{ResponseHeaders, RetryAfter, ServerLimit};
use switchfold_router::{
    Millis, fleet::ReplicaEntry, instance::ReplicaInstance, limits::LimitReport,
};

use crate::{
    counts::count,
    limits::update_limit,
    replicas::apply_draining,
    responses::Refusal,
    state::{Relay, RelayState},
};

/// The parts of a response that contain notices of the replica that sent it.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaResponse<'a> {
    /// Status of the response.
    pub status: StatusCode,
    /// The evaluated headers of the response.
    pub headers: &'a ResponseHeaders,
    /// Time at which the request was sent.
    pub sent_at: Millis,
    /// Whether it is the response to that request. A response to an earlier request may arrive in
    /// its place.
    pub is_own: bool,
}

/// Applies the notices in the response to a request that was sent to this replica.
pub fn apply_notices(relay: &Relay, instance: &ReplicaInstance, response: ReplicaResponse<'_>) {
    let ReplicaResponse { status, headers, .. } = response;
    if status != StatusCode::SERVICE_UNAVAILABLE && !headers.not_executed {
        relay.state.borrow_mut().backoffs.record_success(instance, now_millis());
    }
    apply_headers(relay, instance, response);
    // With this status, another replica may have responded at the address of one that has ended.
    let is_of_replica = response.is_own && status != StatusCode::MISDIRECTED_REQUEST;
    if is_of_replica && headers.limit.is_none() {
        let report = LimitReport { per_second: None, sent: response.sent_at as i64 };
        update_limit(relay, instance.id(), report, None);
    }
}

/// Applies the notices in the response of an engine's control interface to the replica that is
/// listed at this address.
pub fn apply_notices_at(relay: &Relay, address: SocketAddr, response: ReplicaResponse<'_>) {
    if let Some(instance) = relay.instance_at(address) {
        apply_headers(relay, &instance, response);
    }
}

/// Applies the notices in the headers of any response of a replica. A missing limit is ignored
/// here, since responses of the control interface need not name the limit. Only a response to a
/// request shows by its absence that the replica has none.
fn apply_headers(relay: &Relay, instance: &ReplicaInstance, response: ReplicaResponse<'_>) {
    let ReplicaResponse { status, headers, sent_at, .. } = response;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        apply_backoff(relay, instance, headers);
    }
    if headers.is_leaving {
        apply_draining(relay, instance);
    }
    match &headers.limit {
        Some(ServerLimit::PerSecond(limit)) => {
            let report = LimitReport { per_second: Some(*limit), sent: sent_at as i64 };
            update_limit(relay, instance.id(), report, None);
        }
        Some(ServerLimit::Unreadable(value)) => {
            tracing::warn!(event = "limit-unreadable", replica = %instance, value);
        }
        None => {}
    }
}

fn apply_backoff(relay: &Relay, instance: &ReplicaInstance, headers: &ResponseHeaders) {
    match &headers.retry_after {
        Some(RetryAfter::Millis(asked)) => {
            count(&relay.counts.backoffs_asked);
            relay.state.borrow_mut().backoffs.record(instance, *asked, now_millis());
            tracing::info!(event = "backoff-asked", replica = %instance, asked);
        }
        Some(RetryAfter::Unreadable(value)) => {
            tracing::warn!(event = "backoff-unreadable", replica = %instance, value);
        }
        None => {}
    }
}

/// Decides just before a request is written whether it may be sent to its replica. After the
/// replica was chosen, a connection had to be opened, and responses to other requests may have
/// brought new notices. A request to a rate-limited replica spends a grant.
#[derive(Debug)]
pub struct SendGate<'a> {
    relay: &'a Rc<Relay>,
    instance: &'a ReplicaInstance,
    rank: u8,
    has_passed: Cell<bool>,
    is_trial: Cell<bool>,
    grant: Cell<Option<Millis>>,
}

impl<'a> SendGate<'a> {
    /// Creates the gate of one request with this priority rank to a replica.
    pub fn new(relay: &'a Rc<Relay>, instance: &'a ReplicaInstance, rank: u8) -> Self {
        let (has_passed, is_trial, grant) = Default::default();
        Self { relay, instance, rank, has_passed, is_trial, grant }
    }

    /// Decides whether the request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the time until a request may be sent to the replica, in milliseconds.
    pub fn pass(&self) -> Result<(), Millis> {
        let decision = self.decide(now_millis());
        if decision.is_err() {
            count(&self.relay.counts.held_back);
        }
        decision
    }

    fn decide(&self, now: Millis) -> Result<(), Millis> {
        let mut state = self.relay.state.borrow_mut();
        let is_trial = state.backoffs.begin_send(self.instance, self.is_trial.get(), now)?;
        self.is_trial.set(is_trial);
        let is_limited = state.limits.limit(self.instance.id()).is_some();
        // A request that passed before spends no second grant: it passes again once its new
        // connection is open.
        if is_limited && !self.has_passed.get() {
            let grant = state.grants.spend(self.instance.id(), self.rank, now)?;
            self.grant.set(Some(grant));
            count(&self.relay.counts.grants_spent);
        }
        self.has_passed.set(true);
        Ok(())
    }

    /// Records that no byte of the request was sent. Its grant becomes available to another
    /// request.
    pub fn record_unsent(&self) {
        if let Some(expiry) = self.grant.take() {
            self.relay.state.borrow_mut().grants.give_back(self.instance.id(), expiry);
        }
    }
}

/// Returns the refusal of a request that no replica accepts: [`Refusal::Throttled`] with the time
/// of the retry if a backoff or a rate limit delays sends to all replicas that can start the
/// request, and `otherwise` if not. `can_start` selects the replicas that can start it.
pub fn refusal_without_replica(
    relay: &Relay,
    service: &str,
    rank: u8,
    can_start: impl Fn(&ReplicaEntry) -> bool,
    otherwise: Refusal,
) -> Refusal {
    let Some(wait) = min_send_wait(&relay.state.borrow(), service, rank, &can_start) else {
        return otherwise;
    };
    let now = now_millis();
    let per_second = limited_rate(&relay.state.borrow(), service, &can_start, now);
    if per_second == 0.0 {
        return Refusal::Throttled(wait + relay.random_delay(RETRY_SPREAD));
    }
    let draw = relay.random.borrow_mut().random();
    let mut state = relay.state.borrow_mut();
    let schedule = state.retry_schedules.entry(service.to_owned()).or_default();
    Refusal::Throttled(schedule.next_delay(wait, per_second, draw, now))
}

/// Maximum random delay added to the retry time of a refused caller, in milliseconds, so that
/// callers refused together do not retry at once.
const RETRY_SPREAD: Millis = 250;

/// Returns the number of requests per second that this relay can expect to start at rate-limited
/// replicas, or 0 if it knows none.
fn limited_rate(
    state: &RelayState,
    service: &str,
    can_start: impl Fn(&ReplicaEntry) -> bool,
    now: Millis,
) -> f64 {
    let is_limited = |replica: &&ReplicaEntry| {
        can_start(replica) && state.limits.limit(replica.instance.id()).is_some()
    };
    let replicas = state.fleet.view.of_service(service).filter(is_limited);
    replicas.filter_map(|replica| state.grants.share(replica.instance.id(), now)).sum()
}

/// Returns the time in milliseconds until a request with this priority rank may be sent to the
/// first of the replicas that can start it. Returns `None` if one is available now, or if there is
/// none.
pub fn min_send_wait(
    state: &RelayState,
    service: &str,
    rank: u8,
    can_start: impl Fn(&ReplicaEntry) -> bool,
) -> Option<Millis> {
    let now = now_millis();
    let is_usable = |replica: &&ReplicaEntry| {
        replica.is_ready()
            && !state.suspects.is_suspect(&replica.instance, now)
            && can_start(replica)
    };
    let replicas = state.fleet.view.of_service(service).filter(is_usable);
    let mut waits = replicas.map(|replica| state.send_wait(&replica.instance, rank, now));
    let first = waits.next()??;
    waits.try_fold(first, |shortest, wait| Some(shortest.min(wait?)))
}
