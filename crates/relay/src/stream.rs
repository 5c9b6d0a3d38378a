//! Requests to engines: opening a stream over a path.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{ResponseHeaders, read_response_headers, strip_hop_headers};
use switchfold_router::{
    Millis,
    attempt::{AttemptEnd, AttemptState, NextStep, decide_next},
    fleet::ReplicaEntry,
    instance::ReplicaInstance,
    path::PathStage,
    reconnects::reconnect_delay,
};
use tokio::time::sleep;

use crate::{
    admit::{Permit, admit},
    counts::count,
    engines::{ReportState, probe_replicas, recent_report},
    forward::stream_body,
    notices::{SendGate, apply_notices, refusal_without_replica},
    paths::{PathCriteria, PathReservation, can_start_path, wait_for_path},
    plain::{drain_rejection, end_from_headers},
    pool::{ActiveConnection, SendError},
    quarantine::{check_quarantine, record_result},
    request::{CallerRequest, ReplicaTarget},
    response_head::{HeadError, HeadWait, PendingHead, ReceivedHead},
    responses::{Refusal, RelayResponse, full_body},
    run_tracker::RunTracker,
    shutdown::InFlightGuard,
    state::Relay,
};

/// Sends of one request that no engine ran.
pub const MAX_REJECTIONS: u32 = 4;

/// A stream that a replica began to answer.
pub struct OpenStream {
    /// Head of the answer.
    pub head: response::Parts,
    /// Its body.
    pub body: Incoming,
    /// Connection that it comes on.
    pub link: ActiveConnection,
    /// Path that it runs over.
    pub path: Vec<PathStage>,
    /// Room promised along the path.
    pub room: PathReservation,
    /// Its run.
    pub run: RunTracker,
}

/// How an attempt to open a stream ended.
pub enum OpenOutcome {
    /// It is open.
    Open(Box<OpenStream>),
    /// The replica answered, whole, with something else than a stream.
    Answered(RelayResponse),
    /// It may be sent nowhere.
    Barred(Refusal),
    /// It is not open.
    Failed(AttemptEnd, String),
}

/// What was tried for one request.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    /// Replicas not to use again.
    pub avoid: Vec<ReplicaInstance>,
    /// Sends that a replica may have run.
    pub sends: u32,
    /// Sends that none ran.
    pub rejected: u32,
}

/// Runs a request over engines, until there is an answer for the caller.
pub async fn run_stream(
    relay: &Rc<Relay>,
    request: Rc<CallerRequest>,
    permit: Permit,
    in_flight: InFlightGuard,
) -> Result<RelayResponse, Refusal> {
    let mut permit = permit;
    if wait_in_turn(relay, &request).await {
        permit = admit(relay, &request.admission)?;
    }
    let mut tried = SendHistory::default();
    loop {
        let last_event = request.headers.last_event_id;
        let patience = room_patience(&request, &permit);
        let opened = open_stream(relay, &request, &permit, &mut tried, last_event, patience).await;
        let (end, detail) = match opened {
            None if tried.sends > 0 => return Err(Refusal::OutcomeUnknown),
            None => return Err(refusal(relay, &permit, Refusal::NoReplica)),
            Some(OpenOutcome::Open(stream)) => {
                return Ok(begin_answer(relay, request, permit, tried, *stream, in_flight));
            }
            Some(OpenOutcome::Answered(answer)) => return Ok(answer),
            Some(OpenOutcome::Barred(_)) if tried.sends > 0 => return Err(Refusal::OutcomeUnknown),
            Some(OpenOutcome::Barred(refusal)) => return Err(refusal),
            Some(OpenOutcome::Failed(end, detail)) => (end, detail),
        };
        let now = now_millis();
        let can_repeat =
            take_retry(relay, &permit, &tried) && request.time_remaining(now) > MIN_TIME_LEFT;
        let state = AttemptState {
            repeatable: permit.route.is_repeatable(),
            may_have_run: tried.sends > 0,
            can_repeat,
        };
        let next = decide_next(state, end);
        let first = tried.avoid.last();
        request.log_attempt(relay, first, &permit, end, next, &detail);
        match next {
            NextStep::TryElsewhere => {
                count(&relay.counts.repeats);
                permit = admit(relay, &request.admission)?;
            }
            NextStep::AnswerNotRun => {
                return Err(refusal(relay, &permit, Refusal::NotRun));
            }
            _ if request.time_remaining(now) == 0 => return Err(Refusal::TimedOut),
            _ => return Err(Refusal::OutcomeUnknown),
        }
    }
}

fn refusal(relay: &Relay, permit: &Permit, otherwise: Refusal) -> Refusal {
    refusal_without_replica(relay, &permit.service, permit.priority, can_start_path, otherwise)
}

/// Lets requests that can be in time go before streams that were cut, where all callers come back at once; tells
/// whether that took time.
async fn wait_in_turn(relay: &Relay, request: &CallerRequest) -> bool {
    let draw = relay.random.borrow_mut().random();
    let age = now_millis();
    let delay = reconnect_delay(age, request.headers.last_event_id.is_some(), draw);
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    delay > 0
}

/// Part of the latency objective for which a request waits for room, in hundredths; the rest is enough
/// for its first event.
const ROOM_WAIT_HUNDREDTHS: Millis = 60;

fn room_patience(request: &CallerRequest, permit: &Permit) -> Duration {
    let waits = permit.route.objective * ROOM_WAIT_HUNDREDTHS / 100;
    let held = now_millis().saturating_sub(request.arrived);
    Duration::from_millis(waits.saturating_sub(held))
}

/// Time below which a second attempt is not worth its price, in milliseconds.
const MIN_TIME_LEFT: Millis = 100;

/// Whether attempts and budget allow another send; takes it from the budget.
pub fn take_retry(relay: &Relay, permit: &Permit, tried: &SendHistory) -> bool {
    let within = tried.sends < permit.route.max_attempts.max(1) && tried.rejected < MAX_REJECTIONS;
    let first = tried.sends + tried.rejected == 0;
    within && (first || relay.spend_repeat(&permit.service, now_millis()))
}

/// Opens a stream over the best path; waits for one with room for `patience`. Nothing where there is
/// none at all.
pub async fn open_stream(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    tried: &mut SendHistory,
    last_event: Option<u64>,
    patience: Duration,
) -> Option<OpenOutcome> {
    let engine = permit.config.services.get(&permit.service)?.engine.as_ref()?;
    let tokens = request.tokens((engine.mean_prompt_tokens, engine.mean_completion_tokens));
    let wish = PathCriteria {
        service: &permit.service,
        engine,
        tokens,
        rank: permit.priority,
        avoid: &tried.avoid,
        first: None,
    };
    let path = wait_for_path(relay, &wish, patience).await?;
    let first = relay.beliefs.borrow().fleet.view.get_current(&path[0].instance).cloned()?;
    if let Err(refusal) = check_quarantine(relay, request) {
        return Some(OpenOutcome::Barred(refusal));
    }
    let room = PathReservation::new(relay, &path, tokens);
    request.log_dispatch(relay, permit, &first.instance, last_event, Some(&path));
    let target = ReplicaTarget { replica: &first, path: Some(&path), last_event };
    let outgoing = request.to_replica(permit, &target);
    let fresh = !permit.route.is_repeatable();
    let mut run = RunTracker::over_path(&path);
    let head = PendingHead::new(relay, &first.instance);
    let begun = now_millis();
    let sent = {
        let gate = SendGate::new(relay, &first.instance, permit.priority);
        let sending = relay.pool.send(first.address, outgoing, fresh, || gate.pass());
        let wait = HeadWait { relay, request, permit, earlier_sends: tried.sends, path: &path };
        let sent = wait.run(sending).await;
        if matches!(&sent, Err(HeadError::Send(error)) if error.is_unsent()) {
            gate.record_unsent();
        }
        sent
    };
    let sent = match sent {
        Ok(sent) => sent,
        Err(HeadError::Send(SendError::NotSent { detail })) => {
            relay.suspect(&first.instance, &detail);
            tried.avoid.push(first.instance);
            return Some(OpenOutcome::Failed(AttemptEnd::NotSent, detail));
        }
        Err(HeadError::Send(error @ SendError::Throttled { .. })) => {
            tried.avoid.push(first.instance);
            return Some(OpenOutcome::Failed(AttemptEnd::NotSent, error.to_string()));
        }
        Err(HeadError::Send(SendError::NoResponse { detail })) => {
            // Not a reason to keep others away: an answer that is garbled or cut says little of the next.
            // A replica that is gone shows in a probe.
            probe_replicas(relay, std::iter::once(first.address));
            run.record_loss(relay, request, &detail);
            tried.sends += 1;
            tried.avoid.push(first.instance);
            return Some(OpenOutcome::Failed(AttemptEnd::Broken, detail));
        }
        Err(HeadError::Stalled(detail)) => {
            run.record_loss(relay, request, &detail);
            tried.sends += 1;
            tried.avoid.push(first.instance);
            return Some(OpenOutcome::Failed(AttemptEnd::Broken, detail));
        }
        Err(HeadError::DeadlinePassed) => {
            tried.sends += 1;
            return Some(OpenOutcome::Failed(AttemptEnd::Broken, "time is up".to_owned()));
        }
    };
    head.record_response(sent.0.status() == StatusCode::OK);
    Some(read_head(relay, request, tried, first, sent, SentRun { path, room, run, begun }).await)
}

/// Asks the first engine of a path what a request waits for; gives the replica that holds it up, which
/// is the first one itself where that does not answer.
pub async fn find_stalled_replica(
    relay: &Relay,
    first: SocketAddr,
    attempt_id: &str,
) -> Option<SocketAddr> {
    let report = match recent_report(relay, first).await {
        ReportState::Pending => return None,
        ReportState::NoResponse => return Some(first),
        ReportState::Received(report) => report,
    };
    let own = report.stalled.iter().find(|stalled| stalled.attempt_id == attempt_id);
    own.and_then(|stalled| stalled.faulty_replica)
}

/// Keeps away from the replica at an address.
pub fn suspect_at(relay: &Relay, faulty_replica: SocketAddr, why: &str) -> String {
    let instance = relay
        .beliefs
        .borrow()
        .fleet
        .view
        .at_address(faulty_replica)
        .map(|replica| replica.instance.clone());
    match instance {
        Some(instance) => {
            relay.suspect(&instance, why);
            format!("{why} at {faulty_replica} ({instance})")
        }
        None => format!("{why} at {faulty_replica} (not listed)"),
    }
}

/// What goes with a request that was sent over a path.
struct SentRun {
    path: Vec<PathStage>,
    room: PathReservation,
    run: RunTracker,
    begun: Millis,
}

/// Decides on an answer's head: a stream, a whole answer, or a rejection.
async fn read_head(
    relay: &Relay,
    request: &CallerRequest,
    tried: &mut SendHistory,
    first: ReplicaEntry,
    (response, link): ReceivedHead,
    sent: SentRun,
) -> OpenOutcome {
    let SentRun { path, room, mut run, begun } = sent;
    let (head, body) = response.into_parts();
    let marks = read_response_headers(&head.headers);
    apply_notices(relay, &first.instance, request.received_response(&marks, head.status, begun));
    if let Some(end) = end_from_headers(request, &marks, head.status) {
        note_rejection(relay, tried, &marks, &first, head.status).await;
        match end {
            AttemptEnd::Rejected => tried.rejected += 1,
            _ => tried.sends += 1,
        }
        drain_rejection(relay, link, body, &marks).await;
        let detail = format!("status {} at {:?}", head.status, marks.faulty_replica);
        return OpenOutcome::Failed(end, detail);
    }
    tried.sends += 1;
    tried.avoid.push(first.instance);
    if head.status == StatusCode::OK {
        run.record_start();
        return OpenOutcome::Open(Box::new(OpenStream { head, body, link, path, room, run }));
    }
    let end = read_whole(relay, head, body, link, &marks).await;
    if matches!(end, OpenOutcome::Answered(_) | OpenOutcome::Failed(AttemptEnd::Answered(_), _)) {
        record_result(relay, request);
    }
    end
}

/// Learns from a rejection: the replica that it names is asked for its state. One that does not answer
/// is kept away from; one that is well is short of memory, or holds other layers than were listed.
async fn note_rejection(
    relay: &Relay,
    tried: &mut SendHistory,
    marks: &ResponseHeaders,
    first: &ReplicaEntry,
    status: StatusCode,
) {
    let faulty_replica = marks.faulty_replica.unwrap_or(first.address);
    let instance = relay
        .beliefs
        .borrow()
        .fleet
        .view
        .at_address(faulty_replica)
        .map(|replica| replica.instance.clone());
    let Some(instance) = instance else {
        // Whatever it names is not known here, so the first one is passed by.
        tried.avoid.push(first.instance.clone());
        return;
    };
    if marks.faulty_replica.is_none() && status == StatusCode::SERVICE_UNAVAILABLE {
        relay.beliefs.borrow_mut().full_starts.record_rejection(&instance, now_millis());
    }
    if marks.faulty_replica.is_some() && status == StatusCode::SERVICE_UNAVAILABLE {
        match recent_report(relay, faulty_replica).await {
            ReportState::Pending => {}
            ReportState::NoResponse => relay.suspect(&instance, "rejected and silent"),
            ReportState::Received(report) if report.layers.is_none() => {
                relay.suspect(&instance, "rejected and empty");
            }
            ReportState::Received(report) if report.kv_used > report.kv_total * FULL => {
                relay.note_full(&instance);
            }
            ReportState::Received(_) => {}
        }
    }
    tried.avoid.push(instance);
}

/// Part of an engine's memory for requests above which a rejection is put down to it.
const FULL: f64 = 0.7;

async fn read_whole(
    relay: &Relay,
    head: response::Parts,
    body: Incoming,
    link: ActiveConnection,
    marks: &ResponseHeaders,
) -> OpenOutcome {
    /// Largest failure of an engine that is read, in bytes.
    const MOST_FAILURE: usize = 1 << 20;
    let status = head.status.as_u16();
    match Limited::new(body, MOST_FAILURE).collect().await {
        Ok(body) if status < 500 => {
            if !marks.closes_connection {
                link.return_to(&relay.pool, marks.keep_alive);
            }
            let mut head = head;
            strip_hop_headers(&mut head.headers);
            head.headers.remove(http::header::CONTENT_LENGTH);
            OpenOutcome::Answered(Response::from_parts(head, full_body(body.to_bytes())))
        }
        Ok(_) => OpenOutcome::Failed(AttemptEnd::Answered(status), format!("status {status}")),
        Err(error) => OpenOutcome::Failed(AttemptEnd::Broken, error.to_string()),
    }
}

fn begin_answer(
    relay: &Rc<Relay>,
    request: Rc<CallerRequest>,
    permit: Permit,
    tried: SendHistory,
    stream: OpenStream,
    in_flight: InFlightGuard,
) -> RelayResponse {
    let took = now_millis() - request.arrived;
    relay.metrics.record_head(&permit, took);
    let mut head = stream.head.clone();
    strip_hop_headers(&mut head.headers);
    let body = stream_body(relay.clone(), request, permit, tried, stream, in_flight);
    Response::from_parts(head, body)
}
