//! Requests to plain services.
//!
//! Each goes to the replica with the least expected wait. What the relay knows of a replica decays
//! within seconds, so one that did badly is tried again by itself.

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
    admit::{Permit, admit},
    counts::count,
    limits::{GrantWait, request_grant},
    notices::{SendGate, apply_notices, min_send_wait, refusal_without_replica},
    pool::{ActiveConnection, SendError},
    quarantine::{check_quarantine, record_result},
    request::{CallerRequest, ReplicaTarget},
    responses::{Refusal, RelayResponse, full_body},
    run_tracker::RunTracker,
    state::Relay,
};

/// Largest answer of a plain service that is read before it is passed on, in bytes.
const MOST_ANSWER: usize = 16 << 20;

/// Weight of the newest observation.
const NEWEST: f64 = 0.2;

/// Time in which what is known of a replica loses half its weight, in milliseconds: long enough to
/// keep away from a failing replica, short enough to notice that it is well again.
const HALF_LIFE: f64 = 4_000.0;

/// Cost of a failure against one more request at the replica.
const FAILURE_COST: f64 = 6.0;

/// Sends of one request that reached no replica: the list may be a few entries behind.
const MOST_UNSENT: u32 = 4;

#[derive(Clone, Debug, Default)]
struct ServiceLoad {
    in_flight: u32,
    failures: f64,
    slowness: f64,
    seen: Millis,
    told: Option<ReplicaLoad>,
}

impl ServiceLoad {
    fn decay(&mut self, now: Millis) {
        let age = now.saturating_sub(self.seen) as f64;
        let left = 0.5_f64.powf(age / HALF_LIFE);
        self.failures *= left;
        self.slowness *= left;
        self.seen = now;
    }

    /// Expected wait, relative to that of an idle, well replica.
    fn cost(&self, replica: &ReplicaEntry, now: Millis) -> f64 {
        let age = now.saturating_sub(self.seen) as f64;
        let left = 0.5_f64.powf(age / HALF_LIFE);
        let slots = f64::from(replica.slots.max(1));
        let told = self.told.map_or(0.0, |load| f64::from(load.running + load.waiting)) * left;
        let busy = f64::from(self.in_flight).max(told) / slots;
        (1.0 + busy * busy) * (1.0 + (self.slowness + self.failures * FAILURE_COST) * left)
    }
}

/// What a relay knows of the replicas of plain services.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoads {
    loads: HashMap<ReplicaInstance, ServiceLoad>,
}

impl ServiceLoads {
    /// Drops a replica.
    pub fn forget(&mut self, instance: &ReplicaInstance) {
        self.loads.remove(instance);
    }

    /// Notes the end of an attempt: whether the replica failed, and how long it took against what was
    /// wanted.
    fn note_end(
        &mut self,
        instance: &ReplicaInstance,
        failed: bool,
        slowness: f64,
        told: Option<ReplicaLoad>,
    ) {
        let now = now_millis();
        let load = self.loads.entry(instance.clone()).or_default();
        load.decay(now);
        load.failures += (f64::from(u8::from(failed)) - load.failures) * NEWEST;
        load.slowness += (slowness - load.slowness) * NEWEST;
        load.told = told.or(load.told);
    }

    fn cost(&self, replica: &ReplicaEntry, now: Millis) -> f64 {
        self.loads.get(&replica.instance).map_or(1.0, |load| load.cost(replica, now))
    }
}

/// A request in flight at a replica; dropping it ends it.
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

/// Cost of leaving the data centre: less than one more request at a replica.
const REMOTE_COST: f64 = 0.02;

/// The replica with the least expected wait, of those that were not tried.
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

/// Part of the latency objective for which a request waits for a replica that wants none at the moment, in hundredths:
/// the rest is enough for its answer.
const WAIT_HUNDREDTHS: Millis = 60;

/// Time between two looks at whether a replica takes requests again.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Chooses a replica; where all want no requests at the moment, and the first of them takes some again soon enough for
/// this one, waits for it.
async fn wait_for_replica(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    tried: &[ReplicaInstance],
) -> Option<ReplicaEntry> {
    let patience = permit.route.objective * WAIT_HUNDREDTHS / 100;
    let end = request.arrived + patience.min(request.deadline - request.arrived);
    let untried = |replica: &ReplicaEntry| !tried.contains(&replica.instance);
    let Permit { service, priority, .. } = permit;
    let mut grant_wait = None;
    loop {
        if let Some(replica) = choose_replica(relay, permit, tried) {
            if grant_wait.is_none() {
                request_grant(relay, service, *priority, untried);
            }
            return Some(replica);
        }
        let left = min_send_wait(&relay.state.borrow(), service, *priority, untried)?;
        if now_millis() + left > end {
            return None;
        }
        let need = GrantWaiter { rank: *priority, deadline: end };
        grant_wait = grant_wait.or_else(|| GrantWait::begin(relay, service, need, untried));
        sleep(LOOK_EVERY.min(Duration::from_millis(left))).await;
    }
}

/// A whole answer of a replica.
struct WholeReply {
    head: Response<()>,
    body: Bytes,
}

/// How an attempt ended, with the answer where there is one.
struct AttemptReport {
    end: AttemptEnd,
    reply: Option<WholeReply>,
    detail: String,
    /// Whether it was not sent since the replica wants no requests at the moment.
    is_held_back: bool,
}

impl AttemptReport {
    fn without_reply(end: AttemptEnd, detail: String) -> Self {
        Self { end, reply: None, detail, is_held_back: false }
    }
}

/// Runs a request at replicas of a plain service, until there is an answer for the caller.
pub async fn run_plain(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: Permit,
) -> Result<RelayResponse, Refusal> {
    let mut permit = permit;
    let mut tried = Vec::new();
    let (mut sends, mut unsent, mut may_have_run) = (0, 0, false);
    loop {
        let replica = wait_for_replica(relay, request, &permit, &tried).await;
        let Some(replica) = replica else {
            return Err(match may_have_run {
                true => Refusal::OutcomeUnknown,
                false => refusal(relay, &permit, Refusal::NoReplica),
            });
        };
        if let Err(refusal) = check_quarantine(relay, request) {
            return Err(if may_have_run { Refusal::OutcomeUnknown } else { refusal });
        }
        let report = attempt(relay, request, &permit, &replica).await;
        tried.push(replica.instance.clone());
        match report.end {
            AttemptEnd::NotSent => unsent += 1,
            _ => sends += 1,
        }
        may_have_run |= matches!(report.end, AttemptEnd::Answered(_) | AttemptEnd::Broken);
        let now = now_millis();
        let repeatable = permit.route.is_repeatable();
        let time_left = request.time_remaining(now) > MIN_TIME_LEFT;
        let within = sends < permit.route.max_attempts.max(1) && unsent < MOST_UNSENT;
        let others = choose_replica(relay, &permit, &tried).is_some();
        let paid = |sends| sends == 0 || relay.spend_retry(&permit.service, now);
        let state = AttemptState {
            repeatable,
            may_have_run: may_have_run && !matches!(report.end, AttemptEnd::Answered(_)),
            can_repeat: within
                && time_left
                && others
                && needs_repeat(&report, repeatable)
                && paid(sends),
        };
        let next = decide_next(state, report.end);
        request.log_attempt(
            relay,
            Some(&replica.instance),
            &permit,
            report.end,
            next,
            &report.detail,
        );
        match (next, report.reply) {
            (NextStep::PassOn, Some(reply)) => {
                let took = now - request.arrived;
                relay.metrics.record_head(&permit, took);
                relay.metrics.record_end(&permit, took, None);
                return Ok(pass_on(reply));
            }
            (NextStep::TryElsewhere, _) => {
                if sends > 0 {
                    count(&relay.counts.repeats);
                }
                permit = admit(relay, &request.admission)?;
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

/// Time below which a second attempt is not worth its price, in milliseconds.
const MIN_TIME_LEFT: Millis = 50;

/// Whether the end of an attempt asks for another one at all, so that the budget is spent only then.
fn needs_repeat(report: &AttemptReport, repeatable: bool) -> bool {
    match report.end {
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
) -> AttemptReport {
    let begun = now_millis();
    request.log_dispatch(relay, permit, &replica.instance, None, None);
    let _in_flight = LoadGuard::new(relay, &replica.instance);
    let mut run = RunTracker::at_replica(&replica.instance);
    let target = ReplicaTarget { replica, path: None, last_event: None };
    let patience = attempt_patience(request, permit, begun);
    // A request that must not run twice gets a connection of its own: nothing that an earlier answer
    // left on it can be taken for this one's.
    let fresh = !permit.route.is_repeatable();
    let call = exchange(relay, request, permit, &target, fresh);
    let outcome = timeout(Duration::from_millis(patience), call).await;
    let report = outcome.unwrap_or_else(|_| {
        let detail = format!("no answer in {patience} ms");
        AttemptReport::without_reply(AttemptEnd::Broken, detail)
    });
    match report.end {
        AttemptEnd::Broken => {
            run.record_loss(relay, request, &report.detail);
            look_whether_there(relay, replica).await;
        }
        AttemptEnd::Answered(_) => record_result(relay, request),
        AttemptEnd::NotSent | AttemptEnd::Rejected => {}
    }
    if report.is_held_back {
        return report;
    }
    let took = now_millis() - begun;
    let failed = !matches!(report.end, AttemptEnd::Answered(status) if status < 500);
    let wanted = permit.route.objective.max(1) as f64;
    let slowness = (took as f64 / wanted).min(SLOWEST);
    let told =
        report.reply.as_ref().and_then(|reply| read_response_headers(reply.head.headers()).load);
    relay.state.borrow_mut().service_loads.note_end(&replica.instance, failed, slowness, told);
    if matches!(report.end, AttemptEnd::NotSent) {
        relay.suspect(&replica.instance, &report.detail);
    }
    report
}

/// Time for which a broken request waits to hear whether its replica is still there: thirty times what a link takes.
const LOOK_TIME: Duration = Duration::from_millis(20);

/// Looks whether a replica that broke a request off is still there, before the request is sent on: without that, a request
/// that ends replicas is sent to a fourth one before the end of the third is known.
async fn look_whether_there(relay: &Rc<Relay>, replica: &ReplicaEntry) {
    let (relay, instance, address) = (relay.clone(), replica.instance.clone(), replica.address);
    let look = spawn_local(async move {
        if let Err(error) = relay.pool.open_idle(address).await {
            relay.suspect(&instance, &error.to_string());
        }
    });
    // Where it takes longer, it goes on by itself.
    let _in_time = timeout(LOOK_TIME, look).await;
}

/// Bound on how slow one attempt counts, against the objective.
const SLOWEST: f64 = 4.0;

/// How long to wait for one attempt. A request that may run again leaves a replica that has not
/// answered within the objective while another try can still be in time for the caller.
fn attempt_patience(request: &CallerRequest, permit: &Permit, now: Millis) -> Millis {
    let left = request.time_remaining(now);
    match permit.route.is_repeatable() && permit.route.max_attempts > 1 {
        true if request.attempt_count.get() == 0 => permit.route.objective.clamp(1, left.max(1)),
        _ => left,
    }
}

async fn exchange(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    target: &ReplicaTarget<'_>,
    fresh: bool,
) -> AttemptReport {
    let outgoing = request.to_replica(permit, target);
    request.attempt_count.set(request.attempt_count.get() + 1);
    let gate = SendGate::new(relay, &target.replica.instance, permit.priority);
    let begun = now_millis();
    let sent = relay.pool.send(target.replica.address, outgoing, fresh, || gate.pass()).await;
    if sent.as_ref().is_err_and(SendError::is_unsent) {
        gate.record_unsent();
    }
    let (response, link) = match sent {
        Ok(sent) => sent,
        Err(SendError::NotSent { detail }) => {
            return AttemptReport::without_reply(AttemptEnd::NotSent, detail);
        }
        Err(error @ SendError::Throttled { .. }) => {
            let unsent = AttemptReport::without_reply(AttemptEnd::NotSent, error.to_string());
            return AttemptReport { is_held_back: true, ..unsent };
        }
        Err(SendError::NoResponse { detail }) => {
            return AttemptReport::without_reply(AttemptEnd::Broken, detail);
        }
    };
    let (parts, body) = response.into_parts();
    let marks = read_response_headers(&parts.headers);
    let answer = request.received_response(&marks, parts.status, begun);
    apply_notices(relay, &target.replica.instance, answer);
    if let Some(end) = end_from_headers(request, &marks, parts.status) {
        drain_rejection(relay, link, body, &marks).await;
        return AttemptReport::without_reply(end, format!("status {}", parts.status));
    }
    match Limited::new(body, MOST_ANSWER).collect().await {
        Ok(whole) => {
            if !marks.closes_connection {
                link.return_to(&relay.pool, marks.keep_alive);
            }
            let end = AttemptEnd::Answered(parts.status.as_u16());
            let reply =
                WholeReply { head: Response::from_parts(parts, ()), body: whole.to_bytes() };
            AttemptReport { reply: Some(reply), ..AttemptReport::without_reply(end, String::new()) }
        }
        Err(error) => {
            let detail = format!("answer broke off: {error}");
            AttemptReport::without_reply(AttemptEnd::Broken, detail)
        }
    }
}

/// End of an attempt that its head alone decides: an answer to another request, or a rejection.
pub fn end_from_headers(
    request: &CallerRequest,
    marks: &ResponseHeaders,
    status: StatusCode,
) -> Option<AttemptEnd> {
    if !request.matches_response(marks) {
        return Some(AttemptEnd::Broken);
    }
    let rejected = marks.not_executed || status == StatusCode::MISDIRECTED_REQUEST;
    if rejected {
        return Some(AttemptEnd::Rejected);
    }
    // A success without a signature is not the replica's.
    (status.is_success() && !marks.is_signed).then_some(AttemptEnd::Broken)
}

/// Longest time spent on the body of a rejection, so that its connection can be kept.
const REJECTION_TIME: Duration = Duration::from_millis(20);

/// Reads a rejection's body to its end, so that the connection can be kept.
pub async fn drain_rejection(
    relay: &Relay,
    link: ActiveConnection,
    body: Incoming,
    marks: &ResponseHeaders,
) {
    if marks.closes_connection {
        return;
    }
    let read = tokio::select! {
        read = Limited::new(body, 4_096).collect() => read.is_ok(),
        () = sleep(REJECTION_TIME) => false,
    };
    if read {
        link.return_to(&relay.pool, marks.keep_alive);
    }
}

fn pass_on(reply: WholeReply) -> RelayResponse {
    let (mut parts, ()) = reply.head.into_parts();
    strip_hop_headers(&mut parts.headers);
    parts.headers.remove(http::header::CONTENT_LENGTH);
    Response::from_parts(parts, full_body(reply.body))
}
