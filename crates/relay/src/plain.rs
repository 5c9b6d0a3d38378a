//! Requests to plain services, as opposed to models: one replica receives the request and sends the
//! complete response.
//!
//! Each request goes to the replica with the shortest expected wait. What the relay has observed of
//! a replica loses its weight within seconds, so a replica that failed is tried again without
//! further action.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{
    ReplicaLoad, ResponseHeaders, read_response_headers, strip_hop_headers,
};
use switchfold_router::{
    Millis,
    attempt::{AttemptEnd, AttemptState, NextStep, decide_next},
    fleet::ReplicaEntry,
    grants::GrantWaiter,
    instance::ReplicaInstance,
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    admit::{Permit, admit_retry},
    buffers::read_body,
    counts::count,
    limits::{GrantWait, request_grant},
    notices::{SendGate, apply_notices, min_send_wait, refusal_without_replica},
    pool::{ActiveConnection, SendError},
    quarantine::{check_send, record_result},
    request::{CallerRequest, ReplicaTarget},
    responses::{Refusal, RelayResponse, full_body},
    retries::{RetryCharge, RetryPermit},
    run_tracker::RunTracker,
    state::Relay,
};

/// Maximum size of a response, in bytes. It is read completely before it is forwarded.
const MAX_RESPONSE: usize = 16 << 20;

/// Weight of the newest observation in the moving averages.
const NEWEST_WEIGHT: f64 = 0.2;

/// Time in which an observation of a replica loses half of its weight, in milliseconds: long enough
/// to avoid a failing replica, short enough to notice that it has recovered.
const HALF_LIFE: f64 = 4_000.0;

/// What a failure rate of 1 adds to the cost of an idle replica without failures, which is 1.
const FAILURE_COST: f64 = 6.0;

/// Maximum number of attempts of one request that reach no replica; a few entries of the replica
/// list may be outdated.
const MAX_UNSENT: u32 = 4;

/// What a relay has observed of one replica of a plain service.
#[derive(Clone, Debug, Default)]
struct ServiceLoad {
    /// Requests that this relay has in flight there.
    in_flight: u32,
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// Moving average of the duration of attempts, as a multiple of the latency objective.
    slowness: f64,
    /// Time of the last update of both averages.
    updated: Millis,
    /// Load that the replica reported last.
    reported: Option<ReplicaLoad>,
}

impl ServiceLoad {
    fn decay(&mut self, now: Millis) {
        let age = now.saturating_sub(self.updated) as f64;
        let weight = 0.5_f64.powf(age / HALF_LIFE);
        self.failure_rate *= weight;
        self.slowness *= weight;
        self.updated = now;
    }

    /// Returns the expected wait, relative to that of an idle replica without failures.
    fn cost(&self, replica: &ReplicaEntry, now: Millis) -> f64 {
        let age = now.saturating_sub(self.updated) as f64;
        let weight = 0.5_f64.powf(age / HALF_LIFE);
        let slots = f64::from(replica.slots.max(1));
        let reported =
            self.reported.map_or(0.0, |load| f64::from(load.running + load.waiting)) * weight;
        let busy = f64::from(self.in_flight).max(reported) / slots;
        (1.0 + busy * busy) * (1.0 + (self.slowness + self.failure_rate * FAILURE_COST) * weight)
    }
}

/// What a relay has observed of the replicas of plain services.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoads {
    loads: HashMap<ReplicaInstance, ServiceLoad>,
}

impl ServiceLoads {
    /// Removes what was observed of a replica, once it has ended.
    pub fn remove(&mut self, instance: &ReplicaInstance) {
        self.loads.remove(instance);
    }

    /// Records the end of an attempt. `slowness` is its duration divided by the latency objective;
    /// `reported` is the load that the replica reported with its response.
    fn record_end(
        &mut self,
        instance: &ReplicaInstance,
        failed: bool,
        slowness: f64,
        reported: Option<ReplicaLoad>,
    ) {
        let now = now_millis();
        let load = self.loads.entry(instance.clone()).or_default();
        load.decay(now);
        load.failure_rate += (f64::from(u8::from(failed)) - load.failure_rate) * NEWEST_WEIGHT;
        load.slowness += (slowness - load.slowness) * NEWEST_WEIGHT;
        load.reported = reported.or(load.reported);
    }

    fn cost(&self, replica: &ReplicaEntry, now: Millis) -> f64 {
        self.loads.get(&replica.instance).map_or(1.0, |load| load.cost(replica, now))
    }
}

/// Counts a request as in flight at a replica until dropped.
struct LoadGuard {
    relay: Rc<Relay>,
    instance: ReplicaInstance,
}

impl LoadGuard {
    fn new(relay: &Rc<Relay>, instance: &ReplicaInstance) -> Self {
        let mut state = relay.state.borrow_mut();
        state.service_loads.loads.entry(instance.clone()).or_default().in_flight += 1;
        Self { relay: relay.clone(), instance: instance.clone() }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(load) =
            self.relay.state.borrow_mut().service_loads.loads.get_mut(&self.instance)
        {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }
}

/// Cost of a replica in another data centre: less than that of one more request at a replica.
const REMOTE_COST: f64 = 0.02;

/// Returns the replica with the shortest expected wait among those that were not tried; `None` if
/// none accepts requests.
pub fn choose_replica(
    relay: &Relay,
    permit: &Permit,
    tried: &[ReplicaInstance],
) -> Option<ReplicaEntry> {
    let now = now_millis();
    let state = relay.state.borrow();
    let usable = |replica: &&ReplicaEntry| {
        replica.is_ready()
            && !tried.contains(&replica.instance)
            && state.send_wait(&replica.instance, permit.priority, now).is_none()
    };
    let cost = |replica: &ReplicaEntry| {
        let remote = replica.data_centre != relay.settings.data_centre;
        let suspect = state.suspects.is_suspect(&replica.instance, now);
        let extra = if suspect { 100.0 } else { 0.0 } + if remote { REMOTE_COST } else { 0.0 };
        state.service_loads.cost(replica, now) + extra
    };
    let replicas = state.fleet.view.of_service(&permit.service).filter(usable);
    replicas.min_by(|left, right| cost(left).total_cmp(&cost(right))).cloned()
}

/// Percentage of the latency objective for which a request waits for replicas that accept none at
/// the moment; the rest is enough for the response.
const WAIT_PERCENT: Millis = 60;

/// Interval between two checks whether a replica accepts requests again.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Returns whether the shutdown could cut off a request that is sent now.
fn is_stopped(relay: &Relay, request: &CallerRequest, permit: &Permit) -> bool {
    let Some(schedule) = relay.shutdown.schedule() else { return false };
    let now = now_millis();
    let route = &permit.route;
    let expected = relay.state.borrow().route_times.expected(&route.name, route.objective, now);
    !schedule.allows_send(request.time_remaining(now), expected, now)
}

/// Chooses a replica. If none accepts requests at the moment but one will in time for this request,
/// waits for it. Returns `None` if there is none, or the relay stops too soon.
async fn wait_for_replica(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    tried: &[ReplicaInstance],
) -> Option<ReplicaEntry> {
    let max_wait = permit.route.objective * WAIT_PERCENT / 100;
    let wait_until = request.arrived_at + max_wait.min(request.deadline - request.arrived_at);
    let untried = |replica: &ReplicaEntry| !tried.contains(&replica.instance);
    let Permit { service, priority, .. } = permit;
    let mut grant_wait = None;
    loop {
        if is_stopped(relay, request, permit) {
            return None;
        }
        if let Some(replica) = choose_replica(relay, permit, tried) {
            if grant_wait.is_none() {
                request_grant(relay, service, *priority, untried);
            }
            return Some(replica);
        }
        let remaining = min_send_wait(&relay.state.borrow(), service, *priority, untried)?;
        if now_millis() + remaining > wait_until {
            return None;
        }
        let waiter = GrantWaiter { rank: *priority, deadline: wait_until };
        grant_wait = grant_wait.or_else(|| GrantWait::begin(relay, service, waiter, untried));
        sleep(POLL_INTERVAL.min(Duration::from_millis(remaining))).await;
    }
}

/// A complete response of a replica.
struct BufferedResponse {
    head: Response<()>,
    body: Bytes,
}

/// How an attempt ended, with the response if there is one.
struct AttemptOutcome {
    end: AttemptEnd,
    response: Option<BufferedResponse>,
    detail: String,
    /// Whether it was not sent because the replica accepts no requests at the moment.
    is_throttled: bool,
    /// Whether the replica sent more than the relay accepts.
    is_excessive: bool,
}

impl AttemptOutcome {
    fn without_response(end: AttemptEnd, detail: String) -> Self {
        Self { end, response: None, detail, is_throttled: false, is_excessive: false }
    }
}

/// Sends a request to replicas of a plain service until there is a response for the caller.
///
/// # Errors
///
/// Returns the refusal that the caller receives if no replica gave a response.
pub async fn run_plain(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: Permit,
) -> Result<RelayResponse, Refusal> {
    let mut permit = permit;
    let mut tried = Vec::new();
    let (mut sends, mut unsent) = (0, 0);
    let may_have_run = &request.may_have_run;
    let mut charge: Option<RetryCharge> = None;
    loop {
        let replica = wait_for_replica(relay, request, &permit, &tried).await;
        let Some(replica) = replica else {
            let refusal = match is_stopped(relay, request, &permit) {
                true => Refusal::Stopping,
                false => refusal(relay, &permit, Refusal::NoReplica),
            };
            return Err(refusal.unless_run(may_have_run.get()));
        };
        if let Err(refusal) = check_send(relay, request) {
            return Err(refusal.unless_run(may_have_run.get()));
        }
        if let Some(retry) = charge.take() {
            charge = retry.begin_send(&permit.service);
            if charge.is_none() {
                let refusal = refusal(relay, &permit, Refusal::NotRun);
                return Err(refusal.unless_run(may_have_run.get()));
            }
        }
        let ran_before = may_have_run.replace(true);
        let outcome = attempt(relay, request, &permit, &replica, sends).await;
        if let Some(charge) = charge.take_if(|_| outcome.end == AttemptEnd::NotSent) {
            charge.cancel_send();
        }
        tried.push(replica.instance.clone());
        match outcome.end {
            AttemptEnd::NotSent => {
                request.record_unsent();
                unsent += 1;
            }
            _ => sends += 1,
        }
        let ran_now = matches!(outcome.end, AttemptEnd::Answered(_) | AttemptEnd::Broken);
        may_have_run.set(ran_before || ran_now);
        let now = now_millis();
        let repeatable = permit.route.is_repeatable();
        let has_time = request.time_remaining(now) > MIN_RETRY_TIME;
        let has_attempts = sends < permit.route.max_attempts.max(1) && unsent < MAX_UNSENT;
        let has_others = choose_replica(relay, &permit, &tried).is_some();
        let is_possible =
            has_attempts && has_time && has_others && needs_retry(&outcome, repeatable);
        let retry = match is_possible {
            true => RetryPermit::obtain(relay, &permit.service, sends).await,
            false => RetryPermit::Denied,
        };
        let state = AttemptState {
            repeatable,
            may_have_run: may_have_run.get() && !matches!(outcome.end, AttemptEnd::Answered(_)),
            can_repeat: !retry.is_denied(),
        };
        let next = decide_next(state, outcome.end);
        request.log_attempt(
            relay,
            Some(&replica.instance),
            &permit,
            outcome.end,
            next,
            &outcome.detail,
        );
        match (next, outcome.response) {
            (NextStep::PassOn, Some(response)) => {
                let took = now - request.arrived_at;
                relay.metrics.record_head(&permit, took);
                relay.metrics.record_end(&permit, took, None);
                return Ok(forward(response));
            }
            (NextStep::TryElsewhere, _) => {
                if sends > 0 {
                    count(&relay.counts.repeats);
                }
                permit = admit_retry(relay, &request.admission, may_have_run.get())?;
                charge = retry.into_charge();
            }
            (NextStep::AnswerNotRun, _) => {
                return Err(refusal(relay, &permit, Refusal::NotRun));
            }
            _ if request.time_remaining(now) == 0 => return Err(Refusal::TimedOut),
            _ => return Err(Refusal::OutcomeUnknown),
        }
    }
}

fn refusal(relay: &Relay, permit: &Permit, otherwise: Refusal) -> Refusal {
    refusal_without_replica(relay, &permit.service, permit.priority, |_| true, otherwise)
}

/// Time until the deadline below which a retry is not worth its cost, in milliseconds.
const MIN_RETRY_TIME: Millis = 50;

/// Returns whether the outcome calls for a retry at all. Checked before the retry budget is
/// charged.
fn needs_retry(outcome: &AttemptOutcome, repeatable: bool) -> bool {
    match outcome.end {
        AttemptEnd::NotSent | AttemptEnd::Rejected => true,
        AttemptEnd::Broken => repeatable,
        AttemptEnd::Answered(status) => repeatable && status >= 500,
    }
}

async fn attempt(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    replica: &ReplicaEntry,
    earlier_sends: u32,
) -> AttemptOutcome {
    let started = now_millis();
    request.log_dispatch(relay, permit, &replica.instance, earlier_sends, None, None);
    let _in_flight = LoadGuard::new(relay, &replica.instance);
    let mut run = RunTracker::at_replica(&replica.instance);
    let target = ReplicaTarget { replica, path: None, last_event_id: None };
    let timeout_ms = attempt_timeout(request, permit, started);
    // A request that must not run twice gets a new connection: no bytes left over from an earlier
    // response can be taken for its own.
    let new_connection = !permit.route.is_repeatable();
    let call = exchange(relay, request, permit, &target, new_connection);
    let outcome = timeout(Duration::from_millis(timeout_ms), call).await;
    let outcome = outcome.unwrap_or_else(|_| {
        let detail = format!("no response within {timeout_ms} ms");
        AttemptOutcome::without_response(AttemptEnd::Broken, detail)
    });
    match outcome.end {
        // The replica is not lost, so the request did not crash it.
        AttemptEnd::Broken if outcome.is_excessive => {
            relay.avoid(&replica.instance, &outcome.detail);
        }
        AttemptEnd::Broken => {
            run.record_loss(relay, request, &outcome.detail);
            check_reachable(relay, replica).await;
        }
        AttemptEnd::Answered(_) => {
            record_result(relay, request);
            let now = now_millis();
            let times = &mut relay.state.borrow_mut().route_times;
            times.record(&permit.route.name, now - started, now);
        }
        AttemptEnd::NotSent | AttemptEnd::Rejected => {}
    }
    if outcome.is_throttled {
        return outcome;
    }
    let took = now_millis() - started;
    let failed = !matches!(outcome.end, AttemptEnd::Answered(status) if status < 500);
    let objective = permit.route.objective.max(1) as f64;
    let slowness = (took as f64 / objective).min(MAX_SLOWNESS);
    let reported = outcome
        .response
        .as_ref()
        .and_then(|response| read_response_headers(response.head.headers()).load);
    relay.state.borrow_mut().service_loads.record_end(
        &replica.instance,
        failed,
        slowness,
        reported,
    );
    if matches!(outcome.end, AttemptEnd::NotSent) {
        relay.suspect(&replica.instance, &outcome.detail);
    }
    outcome
}

/// Time for which a request whose attempt broke off waits for [`check_reachable`]: thirty times
/// what opening a connection takes.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(20);

/// Checks whether a replica that broke off a request still accepts connections, before the request
/// is sent to another replica. Without this check, a request that crashes replicas is sent to a
/// fourth one before the crash of the third is known.
async fn check_reachable(relay: &Rc<Relay>, replica: &ReplicaEntry) {
    let (relay, instance, address) = (relay.clone(), replica.instance.clone(), replica.address);
    let check = spawn_local(async move {
        if let Err(error) = relay.pool.open_idle(address).await {
            relay.suspect(&instance, &error.to_string());
        }
    });
    // A check that takes longer goes on in the background.
    let _in_time = timeout(REACHABILITY_TIMEOUT, check).await;
}

/// Largest slowness that one attempt counts with, as a multiple of the latency objective.
const MAX_SLOWNESS: f64 = 4.0;

/// Returns the timeout of one attempt, in milliseconds. The first attempt of a request that may
/// run again ends at the latency objective, while a second one can still be in time for the caller.
fn attempt_timeout(request: &CallerRequest, permit: &Permit, now: Millis) -> Millis {
    let remaining = request.time_remaining(now);
    match permit.route.is_repeatable() && permit.route.max_attempts > 1 {
        true if request.attempt_count.get() == 0 => {
            permit.route.objective.clamp(1, remaining.max(1))
        }
        _ => remaining,
    }
}

async fn exchange(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    target: &ReplicaTarget<'_>,
    new_connection: bool,
) -> AttemptOutcome {
    let outgoing = request.build_replica_request(permit, target);
    request.attempt_count.set(request.attempt_count.get() + 1);
    let gate = SendGate::new(relay, &target.replica.instance, permit.priority);
    let sent_at = now_millis();
    let sent =
        relay.pool.send(target.replica.address, outgoing, new_connection, || gate.pass()).await;
    if sent.as_ref().is_err_and(SendError::is_unsent) {
        gate.record_unsent();
    }
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(SendError::NotSent { detail }) => {
            return AttemptOutcome::without_response(AttemptEnd::NotSent, detail);
        }
        Err(error @ SendError::Throttled { .. }) => {
            let unsent = AttemptOutcome::without_response(AttemptEnd::NotSent, error.to_string());
            return AttemptOutcome { is_throttled: true, ..unsent };
        }
        Err(SendError::NoResponse { detail }) => {
            return AttemptOutcome::without_response(AttemptEnd::Broken, detail);
        }
    };
    request.record.record_bytes();
    let (parts, body) = response.into_parts();
    let headers = read_response_headers(&parts.headers);
    let received = request.received_response(&headers, parts.status, sent_at);
    apply_notices(relay, &target.replica.instance, received);
    if let Some(end) = end_from_headers(request, &headers, parts.status) {
        drain_rejection(relay, connection, body, &headers).await;
        return AttemptOutcome::without_response(end, format!("status {}", parts.status));
    }
    match read_body(&relay.buffers, body, MAX_RESPONSE).await {
        Ok(body) => {
            if !headers.closes_connection {
                connection.return_to(&relay.pool, headers.keep_alive);
            }
            let end = AttemptEnd::Answered(parts.status.as_u16());
            let response = BufferedResponse { head: Response::from_parts(parts, ()), body };
            AttemptOutcome {
                response: Some(response),
                ..AttemptOutcome::without_response(end, String::new())
            }
        }
        Err(error) => {
            let detail = format!("response body incomplete: {error}");
            AttemptOutcome {
                is_excessive: error.is_excessive(),
                ..AttemptOutcome::without_response(AttemptEnd::Broken, detail)
            }
        }
    }
}

/// Returns how an attempt ended if the head of the response alone decides it: the response belongs
/// to another request, carries no signature, or is a rejection. Returns `None` if the body has to
/// be read.
pub fn end_from_headers(
    request: &CallerRequest,
    headers: &ResponseHeaders,
    status: StatusCode,
) -> Option<AttemptEnd> {
    if !request.matches_response(headers) {
        return Some(AttemptEnd::Broken);
    }
    let rejected = headers.not_executed || status == StatusCode::MISDIRECTED_REQUEST;
    if rejected {
        return Some(AttemptEnd::Rejected);
    }
    // A success without a signature was not sent by the replica.
    (status.is_success() && !headers.is_signed).then_some(AttemptEnd::Broken)
}

/// Timeout for reading the body of a rejection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Reads the body of a rejection to its end, so that the connection can be reused; closes the
/// connection if that takes too long.
pub async fn drain_rejection(
    relay: &Relay,
    connection: ActiveConnection,
    body: Incoming,
    headers: &ResponseHeaders,
) {
    if headers.closes_connection {
        return;
    }
    let is_drained = tokio::select! {
        read = Limited::new(body, 4_096).collect() => read.is_ok(),
        () = sleep(DRAIN_TIMEOUT) => false,
    };
    if is_drained {
        connection.return_to(&relay.pool, headers.keep_alive);
    }
}

fn forward(response: BufferedResponse) -> RelayResponse {
    let (mut parts, ()) = response.head.into_parts();
    strip_hop_headers(&mut parts.headers);
    parts.headers.remove(http::header::CONTENT_LENGTH);
    Response::from_parts(parts, full_body(response.body))
}
