//! What replicas say of themselves in their answers: that they want no requests for a time, or that they are leaving.
//!
//! Neither ends with the request that was answered: the one holds back what this relay sends until the time is over, the other is a
//! leaving like any that the store tells, and binds before the store does.

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

/// An answer of a replica, as far as it says something of that replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaResponse<'a> {
    /// Its status.
    pub status: StatusCode,
    /// What it says beside.
    pub headers: &'a ResponseHeaders,
    /// When the request was sent.
    pub sent_at: Millis,
    /// Whether it answers that request: one to an earlier request may come in its place.
    pub is_own: bool,
}

/// Hears what an answer to a request says of the replica that it was sent to.
pub fn apply_notices(relay: &Relay, instance: &ReplicaInstance, answer: ReplicaResponse<'_>) {
    let ReplicaResponse { status, headers, .. } = answer;
    if status != StatusCode::SERVICE_UNAVAILABLE && !headers.not_executed {
        relay.state.borrow_mut().backoffs.record_success(instance, now_millis());
    }
    hear_word(relay, instance, answer);
    // Another replica may answer this way at the address of one that ended.
    let is_its_own = answer.is_own && status != StatusCode::MISDIRECTED_REQUEST;
    if is_its_own && headers.limit.is_none() {
        let word = LimitReport { per_second: None, sent: answer.sent_at as i64 };
        update_limit(relay, instance.id(), word, None);
    }
}

/// Hears what an answer to a call of an engine's own interface says of the replica that is listed at an address.
pub fn apply_notices_at(relay: &Relay, address: SocketAddr, answer: ReplicaResponse<'_>) {
    let instance =
        relay.state.borrow().fleet.view.at_address(address).map(|replica| replica.instance.clone());
    if let Some(instance) = instance {
        hear_word(relay, &instance, answer);
    }
}

/// Hears what an answer says of its replica, whatever it answers. That it names no limit says something only where the
/// replica names them in such answers, and nothing tells that it does so in those to calls of its own interface.
fn hear_word(relay: &Relay, instance: &ReplicaInstance, answer: ReplicaResponse<'_>) {
    let ReplicaResponse { status, headers, sent_at, .. } = answer;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        hear_backoff(relay, instance, headers);
    }
    if headers.is_leaving {
        apply_draining(relay, instance);
    }
    match &headers.limit {
        Some(ServerLimit::PerSecond(limit)) => {
            let word = LimitReport { per_second: Some(*limit), sent: sent_at as i64 };
            update_limit(relay, instance.id(), word, None);
        }
        Some(ServerLimit::Unreadable(value)) => {
            tracing::warn!(event = "limit-unreadable", replica = %instance, value);
        }
        None => {}
    }
}

fn hear_backoff(relay: &Relay, instance: &ReplicaInstance, headers: &ResponseHeaders) {
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

/// Decides at the last moment before a request is written whether its replica wants requests: between the choice and that
/// lie a connection and what other requests were told meanwhile. To a replica that named a limit a request goes on a grant.
#[derive(Debug)]
pub struct SendGate<'a> {
    relay: &'a Rc<Relay>,
    instance: &'a ReplicaInstance,
    rank: u8,
    passed: Cell<bool>,
    is_trial: Cell<bool>,
    grant: Cell<Option<Millis>>,
}

impl<'a> SendGate<'a> {
    /// Makes the gate of one request of a rank to a replica.
    pub fn new(relay: &'a Rc<Relay>, instance: &'a ReplicaInstance, rank: u8) -> Self {
        let (passed, is_trial, grant) = Default::default();
        Self { relay, instance, rank, passed, is_trial, grant }
    }

    /// Lets the request go.
    ///
    /// # Errors
    ///
    /// Gives the time for which the replica wants none, in milliseconds.
    pub fn pass(&self) -> Result<(), Millis> {
        let passes = self.decide(now_millis());
        if passes.is_err() {
            count(&self.relay.counts.held_back);
        }
        passes
    }

    fn decide(&self, now: Millis) -> Result<(), Millis> {
        let mut state = self.relay.state.borrow_mut();
        let is_trial = state.backoffs.begin_send(self.instance, self.is_trial.get(), now)?;
        self.is_trial.set(is_trial);
        let is_limited = state.limits.limit(self.instance.id()).is_some();
        // One that passed before is on its way: its connection opened meanwhile.
        if is_limited && !self.passed.get() {
            let grant = state.grants.spend(self.instance.id(), self.rank, now)?;
            self.grant.set(Some(grant));
            count(&self.relay.counts.grants_spent);
        }
        self.passed.set(true);
        Ok(())
    }

    /// Notes that no byte of the request left: its grant serves another one.
    pub fn record_unsent(&self) {
        if let Some(end) = self.grant.take() {
            self.relay.state.borrow_mut().grants.give_back(self.instance.id(), end);
        }
    }
}

/// Why a request is refused that no replica takes: where all that could begin it want none for a time, or few, its caller
/// comes back when one of them may take it. `begins` tells which could begin it.
pub fn refusal_without_replica(
    relay: &Relay,
    service: &str,
    rank: u8,
    begins: impl Fn(&ReplicaEntry) -> bool,
    otherwise: Refusal,
) -> Refusal {
    let Some(left) = min_send_wait(&relay.state.borrow(), service, rank, &begins) else {
        return otherwise;
    };
    let now = now_millis();
    let per_second = limited_rate(&relay.state.borrow(), service, &begins, now);
    if per_second == 0.0 {
        return Refusal::Throttled(left + relay.random_delay(RETURN_SPREAD));
    }
    let draw = relay.random.borrow_mut().random();
    let mut state = relay.state.borrow_mut();
    let slots = state.retry_schedules.entry(service.to_owned()).or_default();
    Refusal::Throttled(slots.next_delay(left, per_second, draw, now))
}

/// Time over which callers come back that were refused until the same end, in milliseconds.
const RETURN_SPREAD: Millis = 250;

/// Requests a second that this relay may expect to begin at replicas with limits; 0 where it knows none.
fn limited_rate(
    state: &RelayState,
    service: &str,
    begins: impl Fn(&ReplicaEntry) -> bool,
    now: Millis,
) -> f64 {
    let limited = |replica: &&ReplicaEntry| {
        begins(replica) && state.limits.limit(replica.instance.id()).is_some()
    };
    let replicas = state.fleet.view.of_service(service).filter(limited);
    replicas.filter_map(|replica| state.grants.share(replica.instance.id(), now)).sum()
}

/// Time until the first of the replicas that could begin a request of a rank takes it; nothing where one does now, or there
/// is none.
pub fn min_send_wait(
    state: &RelayState,
    service: &str,
    rank: u8,
    begins: impl Fn(&ReplicaEntry) -> bool,
) -> Option<Millis> {
    let now = now_millis();
    let usable = |replica: &&ReplicaEntry| {
        replica.is_ready() && !state.suspects.is_suspect(&replica.instance, now) && begins(replica)
    };
    let replicas = state.fleet.view.of_service(service).filter(usable);
    let mut lefts = replicas.map(|replica| state.send_wait(&replica.instance, rank, now));
    let first = lefts.next()??;
    lefts.try_fold(first, |soonest, left| Some(soonest.min(left?)))
}
