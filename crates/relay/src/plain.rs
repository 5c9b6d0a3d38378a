//! Requests to plain services, as opposed to models: one replica receives the request and sends the
//! complete response.
//!
//! Each request goes to the replica with the shortest expected wait. What the relay has observed of
//! a replica loses its weight within seconds, so a replica that failed is tried again without
//! further action.

mod attempt;

use std::{collections::HashMap, future::pending, mem::replace, rc::Rc, time::Duration};

use futures_util::future::{Either, LocalBoxFuture, select};
use http::Response;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::ReplicaLoad;
use switchfold_router::{
    Millis,
    attempt::{AttemptEnd, AttemptState, NextStep, decide_next, promises_not_run},
    fleet::ReplicaEntry,
    grants::GrantWaiter,
    instance::ReplicaInstance,
};
use tokio::time::sleep;

use self::attempt::{AttemptOutcome, BufferedResponse, PlainAttempt};
pub use self::attempt::{drain_rejection, end_from_headers};
use crate::{
    admit::{Permit, admit_retry, check_admitted},
    counts::count,
    limits::{GrantWait, request_grant},
    notices::{min_send_wait, refusal_without_replica},
    quarantine::{check_send, quarantine_remaining},
    request::CallerRequest,
    responses::{Refusal, RelayResponse, full_body, strip_framing},
    retries::{RetryCharge, RetryPermit},
    state::Relay,
};

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
            self.reported.map_or(0.0, |load| f64::from(load.running) + f64::from(load.waiting))
                * weight;
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
/// waits for it.
///
/// # Errors
///
/// Returns the refusal that the caller receives: the relay stops too soon, or no replica accepts
/// the request in time.
async fn wait_for_replica(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    tried: &[ReplicaInstance],
) -> Result<ReplicaEntry, Refusal> {
    let max_wait = permit.route.objective * WAIT_PERCENT / 100;
    let wait_until = request.arrived_at + max_wait.min(request.deadline - request.arrived_at);
    let untried = |replica: &ReplicaEntry| !tried.contains(&replica.instance);
    let Permit { service, priority, .. } = permit;
    let mut grant_wait = None;
    loop {
        if is_stopped(relay, request, permit) {
            return Err(Refusal::Stopping);
        }
        if let Some(replica) = choose_replica(relay, permit, tried) {
            if grant_wait.is_none() {
                request_grant(relay, service, *priority, untried);
            }
            return Ok(replica);
        }
        let remaining = min_send_wait(&relay.state.borrow(), service, *priority, untried);
        let in_time = remaining.filter(|remaining| now_millis() + remaining <= wait_until);
        let Some(remaining) = in_time else {
            return Err(refusal(relay, permit, Refusal::NoReplica));
        };
        let waiter = GrantWaiter { rank: *priority, deadline: wait_until };
        grant_wait = grant_wait.or_else(|| GrantWait::begin(relay, service, waiter, untried));
        sleep(POLL_INTERVAL.min(Duration::from_millis(remaining))).await;
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
    let answer = PlainRun::new(relay, request, permit).finish().await?;
    let took = now_millis() - request.arrived_at;
    relay.metrics.record_head(&answer.permit, took);
    relay.metrics.record_end(&answer.permit, took, None);
    Ok(forward(answer.response))
}

/// A response for the caller, and the permit of the attempt that it is from.
struct PlainAnswer {
    response: BufferedResponse,
    permit: Permit,
}

impl PlainAnswer {
    fn is_failure(&self) -> bool {
        self.response.head.status().is_server_error()
    }
}

/// An attempt that goes on after the latency objective, beside another one.
struct OverdueAttempt<'a> {
    instance: ReplicaInstance,
    permit: Permit,
    running: LocalBoxFuture<'a, AttemptOutcome>,
}

/// How far the attempts of a request have got.
enum PlainProgress<'a> {
    /// There is a response for the caller.
    Answered(PlainAnswer),
    /// The first attempt is overdue, and the next one may begin.
    Overdue(OverdueAttempt<'a>),
}

/// The attempts of one request.
///
/// A request that may be repeated is sent to a second replica when the first one has given no
/// response within the latency objective. The first attempt goes on, since a sound replica may be
/// silent for a while: the first response is forwarded, and the other attempt is dropped, which
/// closes its connection.
struct PlainRun<'a> {
    relay: &'a Rc<Relay>,
    request: &'a CallerRequest,
    permit: Permit,
    tried: Vec<ReplicaInstance>,
    /// Attempts that a replica received, overdue ones included.
    sends: u32,
    /// Attempts that reached no replica.
    unsent: u32,
    /// Charge for the next attempt.
    charge: Option<RetryCharge>,
    /// Failure that a replica responded with, for the caller if no further attempt has a response.
    failure: Option<PlainAnswer>,
}

impl<'a> PlainRun<'a> {
    fn new(relay: &'a Rc<Relay>, request: &'a CallerRequest, permit: Permit) -> Self {
        let tried = Vec::new();
        Self { relay, request, permit, tried, sends: 0, unsent: 0, charge: None, failure: None }
    }

    fn finish(mut self) -> LocalBoxFuture<'a, Result<PlainAnswer, Refusal>> {
        Box::pin(async move {
            match self.proceed().await? {
                PlainProgress::Answered(answer) => Ok(answer),
                PlainProgress::Overdue(overdue) => self.finish_beside(overdue).await,
            }
        })
    }

    /// Makes further attempts beside an overdue one. The first success ends the request; a failure
    /// of either waits for the other.
    async fn finish_beside(self, overdue: OverdueAttempt<'a>) -> Result<PlainAnswer, Refusal> {
        let (relay, request) = (self.relay, self.request);
        let OverdueAttempt { instance, permit, running } = overdue;
        let (outcome, others) = match select(running, self.finish()).await {
            Either::Left((outcome, _)) if outcome.is_success() => (outcome, None),
            Either::Left((outcome, others)) => (outcome, Some(others.await)),
            Either::Right((Ok(answer), _)) if !answer.is_failure() => return Ok(answer),
            Either::Right((others, running)) => (running.await, Some(others)),
        };
        let state = AttemptState { repeatable: true, may_have_run: true, can_repeat: false };
        let next = decide_next(state, outcome.end);
        let is_success = outcome.is_success();
        let AttemptOutcome { end, response, detail, .. } = outcome;
        request.log_attempt(relay, Some(&instance), &permit, end, next, &detail);
        match (next, response, others) {
            (_, _, Some(Ok(answer))) if !is_success => Ok(answer),
            (NextStep::PassOn, Some(response), _) => Ok(PlainAnswer { response, permit }),
            _ if request.time_remaining(now_millis()) == 0 => Err(Refusal::TimedOut),
            (_, _, Some(Err(refusal))) => Err(refusal),
            _ => Err(Refusal::OutcomeUnknown),
        }
    }

    /// Makes attempts until there is a response for the caller, or the first one is overdue and
    /// another one is possible. A failure of a replica is forwarded if nothing came of the attempts
    /// after it.
    async fn proceed(&mut self) -> Result<PlainProgress<'a>, Refusal> {
        match self.attempt().await {
            Err(refusal) => self.failure.take().map(PlainProgress::Answered).ok_or(refusal),
            progress => progress,
        }
    }

    async fn attempt(&mut self) -> Result<PlainProgress<'a>, Refusal> {
        let (relay, request) = (self.relay, self.request);
        let may_have_run = &request.may_have_run;
        loop {
            let replica = wait_for_replica(relay, request, &self.permit, &self.tried)
                .await
                .map_err(|refusal| refusal.unless_run(may_have_run.get()))?;
            check_admitted(relay, &request.admission)
                .and_then(|()| check_send(relay, request))
                .map_err(|refusal| refusal.unless_run(may_have_run.get()))?;
            let mut charge = None;
            if let Some(retry) = self.charge.take() {
                charge = retry.begin_send(&self.permit.service);
                if charge.is_none() {
                    let refusal = refusal(relay, &self.permit, Refusal::NotRun);
                    return Err(refusal.unless_run(may_have_run.get()));
                }
            }
            let instance = replica.instance.clone();
            self.tried.push(instance.clone());
            let ran_before = may_have_run.replace(true);
            let permit = self.permit.clone();
            let attempt = PlainAttempt::begin(relay, request, permit, replica, self.sends, charge);
            let mut running = attempt.clone().run();
            let outcome = tokio::select! {
                biased;
                outcome = &mut running => outcome,
                (permit, charge) = self.permit_overlap() => {
                    attempt.record_overdue();
                    count(&relay.counts.repeats);
                    self.sends += 1;
                    self.charge = charge;
                    let permit = replace(&mut self.permit, permit);
                    let overdue = OverdueAttempt { instance, permit, running };
                    return Ok(PlainProgress::Overdue(overdue));
                }
            };
            drop(attempt);
            match outcome.end {
                AttemptEnd::NotSent => {
                    request.record_unsent();
                    self.unsent += 1;
                }
                _ => self.sends += 1,
            }
            let ran_now = matches!(outcome.end, AttemptEnd::Answered(_) | AttemptEnd::Broken);
            may_have_run.set(ran_before || ran_now);
            let retry = self.permit_retry(outcome.end, self.sends).await;
            let state = AttemptState {
                repeatable: self.permit.route.is_repeatable(),
                may_have_run: may_have_run.get() && !matches!(outcome.end, AttemptEnd::Answered(_)),
                can_repeat: !retry.is_denied(),
            };
            let next = decide_next(state, outcome.end);
            let (end, detail) = (outcome.end, &outcome.detail);
            request.log_attempt(relay, Some(&instance), &self.permit, end, next, detail);
            match (next, outcome.response) {
                (NextStep::PassOn, Some(response)) => {
                    let permit = self.permit.clone();
                    return Ok(PlainProgress::Answered(PlainAnswer { response, permit }));
                }
                (NextStep::TryElsewhere, response) => {
                    if self.sends > 0 {
                        count(&relay.counts.repeats);
                    }
                    let status = |response: &BufferedResponse| response.head.status().as_u16();
                    let failure = response.filter(|response| !promises_not_run(status(response)));
                    if let Some(response) = failure {
                        let permit = self.permit.clone();
                        self.failure = Some(PlainAnswer { response, permit });
                    }
                    self.permit = admit_retry(relay, &request.admission, may_have_run.get())?;
                    self.charge = retry.into_charge();
                }
                (NextStep::AnswerNotRun, _) => {
                    return Err(refusal(relay, &self.permit, Refusal::NotRun));
                }
                _ if request.time_remaining(now_millis()) == 0 => return Err(Refusal::TimedOut),
                _ => return Err(Refusal::OutcomeUnknown),
            }
        }
    }

    /// Returns whether the request may be sent again after an attempt ended with `end`, and charges
    /// that if so. `sends` is the number of attempts that replicas received.
    async fn permit_retry(&self, end: AttemptEnd, sends: u32) -> RetryPermit {
        let Self { relay, request, permit, tried, unsent, .. } = self;
        let has_time = request.time_remaining(now_millis()) > MIN_RETRY_TIME;
        let has_attempts = sends < permit.route.max_attempts.max(1) && *unsent < MAX_UNSENT;
        let has_others = choose_replica(relay, permit, tried).is_some();
        let needs_retry = needs_retry(end, permit.route.is_repeatable());
        match has_attempts && has_time && has_others && needs_retry {
            true => RetryPermit::obtain(relay, &permit.service, sends).await,
            false => RetryPermit::Denied,
        }
    }

    /// Waits until the attempt that runs is overdue, and returns the permit and the charge for
    /// another one beside it. Never returns if there can be none: only the first attempt of a
    /// request that may be repeated is followed by another one before it has ended.
    async fn permit_overlap(&self) -> (Permit, Option<RetryCharge>) {
        let (relay, request, route) = (self.relay, self.request, &self.permit.route);
        let has_another = route.is_repeatable() && route.max_attempts >= 2;
        if self.sends > 0 || !has_another || route.objective == 0 {
            return pending().await;
        }
        sleep(Duration::from_millis(route.objective)).await;
        if is_stopped(relay, request, &self.permit)
            || quarantine_remaining(relay, request).is_some()
        {
            return pending().await;
        }
        let retry = self.permit_retry(AttemptEnd::Broken, self.sends + 1).await;
        let can_repeat = !retry.is_denied();
        let state = AttemptState { repeatable: true, may_have_run: true, can_repeat };
        if decide_next(state, AttemptEnd::Broken) != NextStep::TryElsewhere {
            return pending().await;
        }
        match admit_retry(relay, &request.admission, true) {
            Ok(permit) => (permit, retry.into_charge()),
            Err(refusal) => {
                let id = &request.headers.attempt_id;
                tracing::info!(event = "retry-not-admitted", request = id, ?refusal);
                drop(retry);
                pending().await
            }
        }
    }
}

fn refusal(relay: &Relay, permit: &Permit, otherwise: Refusal) -> Refusal {
    refusal_without_replica(relay, &permit.service, permit.priority, |_| true, otherwise)
}

/// Time until the deadline below which a retry is not worth its cost, in milliseconds.
const MIN_RETRY_TIME: Millis = 50;

/// Returns whether the end of an attempt calls for a retry at all. Checked before the retry budget
/// is charged.
fn needs_retry(end: AttemptEnd, repeatable: bool) -> bool {
    match end {
        AttemptEnd::NotSent | AttemptEnd::Rejected => true,
        AttemptEnd::Broken => repeatable,
        AttemptEnd::Answered(status) => repeatable && status >= 500,
    }
}

fn forward(response: BufferedResponse) -> RelayResponse {
    let (mut parts, ()) = response.head.into_parts();
    strip_framing(&mut parts);
    Response::from_parts(parts, full_body(response.body))
}
