//! Requests to engines: chooses a path and opens a stream over it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, response};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{ResponseHeaders, read_response_headers};
use switchfold_router::{
    Millis,
    attempt::{AttemptEnd, AttemptState, NextStep, decide_next},
    fleet::ReplicaEntry,
    instance::ReplicaInstance,
    path::PathStage,
    reconnects::reconnect_delay,
};
use tokio::time::{sleep, timeout};

use crate::{
    admission::{
        CapacityWait, controls_overload, overcommit_rule, record_first_event, wait_for_capacity,
    },
    admit::{Permit, admit, admit_retry, check_admitted},
    buffers::read_body,
    counts::count,
    engines::{ReportState, probe_replicas, recent_report},
    forward::stream_body,
    late_sends::{LateSends, PendingSend},
    notices::{SendGate, apply_notices, refusal_without_replica},
    paths::{
        PathCriteria, PathReservation, can_start_path, missing::log_missing_path, wait_for_path,
    },
    plain::{drain_rejection, end_from_headers},
    pool::{ActiveConnection, SendError},
    quarantine::{check_send, record_result},
    reachability::check_named,
    request::{CallerRequest, ReplicaTarget},
    response_head::{HeadError, HeadWait, PendingHead, ReceivedHead},
    responses::{Refusal, RelayResponse, full_body, strip_framing},
    retries::{RetryCharge, RetryPermit},
    run_tracker::RunTracker,
    shutdown::CountGuard,
    state::Relay,
};

/// Maximum number of sends of one request that engines reject without running it.
pub const MAX_REJECTIONS: u32 = 4;

/// A stream whose response head has arrived.
pub struct OpenStream {
    /// Head of the response.
    pub head: response::Parts,
    /// Body of the response.
    pub body: Incoming,
    /// Connection that it arrives on.
    pub connection: ActiveConnection,
    /// Path over which it runs.
    pub path: Vec<PathStage>,
    /// Memory and slot reserved along the path.
    pub reservation: PathReservation,
    /// Tracker of its run, for quarantine.
    pub run: RunTracker,
    /// Permit under which it was sent.
    pub permit: Permit,
}

/// How an attempt to open a stream ended.
pub enum OpenOutcome {
    /// The stream is open.
    Opened(Box<OpenStream>),
    /// The replica sent a complete response that is not a stream.
    Responded(RelayResponse),
    /// The request must not be sent to any replica.
    Refused(Refusal),
    /// The response head is late for the reason in the text. Another attempt may be made beside
    /// this one.
    Late(Box<PendingSend>, String),
    /// The attempt failed; the text says how.
    Failed(AttemptEnd, String),
}

/// Sends of one request so far. Shared by the attempts of the request that run beside each other.
#[derive(Debug, Default)]
pub struct SendHistory {
    excluded: RefCell<Vec<ReplicaInstance>>,
    sends: Cell<u32>,
    rejections: Cell<u32>,
}

impl SendHistory {
    /// Returns the number of sends that a replica may have run, including those under way.
    pub fn sends(&self) -> u32 {
        self.sends.get()
    }

    /// Returns the number of sends that no replica ran.
    pub fn rejections(&self) -> u32 {
        self.rejections.get()
    }

    /// Returns the replicas that must not be used again.
    pub fn excluded(&self) -> Vec<ReplicaInstance> {
        self.excluded.borrow().clone()
    }

    fn last_excluded(&self) -> Option<ReplicaInstance> {
        self.excluded.borrow().last().cloned()
    }

    fn exclude(&self, instance: &ReplicaInstance) {
        self.excluded.borrow_mut().push(instance.clone());
    }

    /// Records that a send begins. It counts as one that may have run until the opposite is known,
    /// also if it is cancelled.
    fn begin_send(&self, first: &ReplicaInstance) {
        self.sends.update(|sends| sends + 1);
        self.exclude(first);
    }

    /// Records that the replica of the latest send has not received the request.
    fn record_unsent(&self) {
        self.sends.update(|sends| sends - 1);
    }

    /// Records that a replica rejected the request. The replica may be used again unless it is
    /// excluded by itself.
    fn record_rejection(&self, first: &ReplicaInstance) {
        self.sends.update(|sends| sends - 1);
        self.rejections.update(|rejections| rejections + 1);
        self.excluded.borrow_mut().retain(|excluded| excluded != first);
    }
}

/// Sends a request to engines until there is a response for the caller.
///
/// # Errors
///
/// Returns the refusal that the caller receives if no engine gave a response.
pub async fn run_stream(
    relay: &Rc<Relay>,
    request: Rc<CallerRequest>,
    permit: Permit,
    in_flight: CountGuard,
) -> Result<RelayResponse, Refusal> {
    let mut permit = permit;
    if wait_to_reconnect(relay, &request).await {
        permit = admit(relay, &request.admission)?;
    }
    let history = Rc::new(SendHistory::default());
    let mut late = LateSends::new(relay, &request, &history);
    let mut charge = None;
    let mut sends_again = true;
    loop {
        if relay.shutdown.refuses_streams() && late.is_empty() {
            return Err(Refusal::Stopping.unless_run(history.sends() > 0));
        }
        let opening = sends_again.then(|| {
            let last_event_id = request.headers.last_event_id;
            let max_wait = memory_wait(&request, &permit);
            let target = StreamTarget { last_event_id, max_wait, charge: charge.take() };
            open_stream(relay, &request, &permit, &history, target)
        });
        let opened = tokio::select! {
            biased;
            () = wait_until_refused(relay, &request) => {
                return Err(Refusal::Stopping.unless_run(history.sends() > 0));
            }
            opened = late.race(opening) => opened,
        };
        request.may_have_run.set(history.sends() > 0);
        let (end, detail) = match opened {
            Some(OpenOutcome::Opened(stream)) => {
                return Ok(begin_response(relay, request, history, *stream, in_flight));
            }
            Some(OpenOutcome::Responded(response)) => return Ok(response),
            Some(OpenOutcome::Late(send, detail)) => {
                late.push(*send);
                (AttemptEnd::Broken, detail)
            }
            Some(OpenOutcome::Failed(end, detail)) => (end, detail),
            // The replicas of the earlier sends may still respond.
            None | Some(OpenOutcome::Refused(_)) if !late.is_empty() => {
                sends_again = false;
                continue;
            }
            None => {
                let refusal = refusal(relay, &permit, Refusal::NoReplica);
                return Err(refusal.unless_run(history.sends() > 0));
            }
            Some(OpenOutcome::Refused(refusal)) => {
                return Err(refusal.unless_run(history.sends() > 0));
            }
        };
        let now = now_millis();
        let has_time = request.time_remaining(now) > MIN_RETRY_TIME;
        let retry =
            if has_time { take_retry(relay, &permit, &history).await } else { RetryPermit::Denied };
        let state = AttemptState {
            repeatable: permit.route.is_repeatable(),
            may_have_run: history.sends() > 0,
            can_repeat: !retry.is_denied(),
        };
        let next = decide_next(state, end);
        let first = history.last_excluded();
        request.log_attempt(relay, first.as_ref(), &permit, end, next, &detail);
        sends_again = next == NextStep::TryElsewhere;
        match next {
            NextStep::TryElsewhere => {
                count(&relay.counts.repeats);
                permit = match admit_retry(relay, &request.admission, history.sends() > 0) {
                    Err(_) if !late.is_empty() => {
                        sends_again = false;
                        continue;
                    }
                    admitted => admitted?,
                };
                charge = retry.into_charge();
            }
            _ if !late.is_empty() && request.time_remaining(now) > 0 => {}
            NextStep::AnswerNotRun => {
                return Err(refusal(relay, &permit, Refusal::NotRun));
            }
            _ if request.time_remaining(now) == 0 => return Err(Refusal::TimedOut),
            _ => return Err(Refusal::OutcomeUnknown),
        }
    }
}

/// Waits until the relay stops too soon for a stream that has not been sent yet. Never returns once
/// it has been sent.
async fn wait_until_refused(relay: &Relay, request: &CallerRequest) {
    relay.shutdown.wait_until_streams_refused().await;
    if request.may_have_run.get() {
        std::future::pending().await
    }
}

fn refusal(relay: &Relay, permit: &Permit, otherwise: Refusal) -> Refusal {
    refusal_without_replica(relay, &permit.service, permit.priority, can_start_path, otherwise)
}

/// Delays the resumption of a cut stream if the relay has just started: all callers then reconnect
/// at once, and requests that can still be in time go first. Returns whether the request was
/// delayed.
async fn wait_to_reconnect(relay: &Relay, request: &CallerRequest) -> bool {
    let draw = relay.random.borrow_mut().random();
    let relay_age = now_millis();
    let delay = reconnect_delay(relay_age, request.headers.last_event_id.is_some(), draw);
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    delay > 0
}

/// Percentage of the latency objective for which a request waits for a path with enough memory; the
/// rest is enough for its first event.
const MEMORY_WAIT_PERCENT: Millis = 60;

fn memory_wait(request: &CallerRequest, permit: &Permit) -> Duration {
    let total = permit.route.objective * MEMORY_WAIT_PERCENT / 100;
    let waited = now_millis().saturating_sub(request.arrived_at);
    Duration::from_millis(total.saturating_sub(waited))
}

/// Time until the deadline below which a retry is not worth its cost, in milliseconds.
const MIN_RETRY_TIME: Millis = 100;

/// Returns whether the maximum number of attempts and the retry budget allow another send, and
/// charges the budget for it if it is a retry. May wait for a loan of other relays.
pub async fn take_retry(relay: &Rc<Relay>, permit: &Permit, history: &SendHistory) -> RetryPermit {
    let has_attempts =
        history.sends() < permit.route.max_attempts.max(1) && history.rejections() < MAX_REJECTIONS;
    let earlier_sends = history.sends() + history.rejections();
    match has_attempts {
        true => RetryPermit::obtain(relay, &permit.service, earlier_sends).await,
        false => RetryPermit::Denied,
    }
}

/// How a stream is opened.
#[derive(Debug)]
pub struct StreamTarget {
    /// Id of the last event that the caller has, if the stream is resumed.
    pub last_event_id: Option<u64>,
    /// Longest wait for a path with enough memory.
    pub max_wait: Duration,
    /// Charge for the retry; `None` if no replica has received the request yet.
    pub charge: Option<RetryCharge>,
}

/// Opens a stream over the cheapest path, after waiting for one with enough memory. Returns `None`
/// if there is no path at all.
pub async fn open_stream(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    permit: &Permit,
    history: &SendHistory,
    target: StreamTarget,
) -> Option<OpenOutcome> {
    let StreamTarget { last_event_id, max_wait, charge } = target;
    let engine = permit.config.services.get(&permit.service)?.engine.as_ref()?;
    let tokens =
        request.estimate_tokens((engine.mean_prompt_tokens, engine.mean_completion_tokens));
    let excluded = history.excluded();
    let criteria = PathCriteria {
        service: &permit.service,
        engine,
        tokens,
        rank: permit.priority,
        excluded: &excluded,
        first: None,
        load_aware: relay.settings.load_aware_paths,
        overcommit: overcommit_rule(relay, permit),
    };
    let found = match controls_overload(relay, permit) {
        false => wait_for_path(relay, &criteria, max_wait).await,
        true => {
            let wait = match history.sends() + history.rejections() == 0 && last_event_id.is_none()
            {
                true => CapacityWait::of_new(relay, request, permit),
                false => CapacityWait::of_resumed(now_millis() + max_wait.as_millis() as Millis),
            };
            match wait_for_capacity(relay, request, &criteria, permit, wait).await {
                Ok(path) => path,
                Err(refusal) => return Some(OpenOutcome::Refused(refusal)),
            }
        }
    };
    let Some(path) = found else {
        log_missing_path(relay, &criteria, &request.headers.attempt_id);
        return None;
    };
    let first = relay.state.borrow().fleet.view.get_current(&path[0].instance).cloned()?;
    let checked = check_admitted(relay, &request.admission);
    if let Err(refusal) = checked.and_then(|()| check_send(relay, request)) {
        return Some(OpenOutcome::Refused(refusal));
    }
    let charge = match charge.map(|charge| charge.begin_send(&permit.service)) {
        Some(None) => {
            let detail = "the retry budget is exhausted".to_owned();
            return Some(OpenOutcome::Failed(AttemptEnd::NotSent, detail));
        }
        charge => charge.flatten(),
    };
    let reservation = PathReservation::new(relay, &path, tokens);
    let earlier_sends = history.sends();
    let earlier_tries = earlier_sends + history.rejections();
    request.log_dispatch(relay, permit, &first.instance, earlier_tries, last_event_id, Some(&path));
    let target = ReplicaTarget { replica: &first, path: Some(&path), last_event_id };
    let outgoing = request.build_replica_request(permit, &target);
    request.may_have_run.set(true);
    history.begin_send(&first.instance);
    let mut send = PendingSend {
        sending: Box::pin(send_request(relay.clone(), first.clone(), permit.clone(), outgoing)),
        head: PendingHead::new(relay, &first.instance),
        run: RunTracker::over_path(&path),
        first,
        path,
        reservation,
        permit: permit.clone(),
        charge,
        sent_at: now_millis(),
    };
    let wait = HeadWait { relay, request, permit, earlier_sends, path: &send.path };
    let received = match wait.run(send.sending.as_mut()).await {
        Ok(received) => Ok(received),
        Err(HeadError::Send(error)) => Err(error),
        Err(HeadError::Late(detail)) => return Some(OpenOutcome::Late(Box::new(send), detail)),
        Err(HeadError::Lost(detail)) => {
            send.run.record_loss(relay, request, &detail);
            return Some(OpenOutcome::Failed(AttemptEnd::Broken, detail));
        }
        Err(HeadError::DeadlinePassed) => {
            return Some(OpenOutcome::Failed(AttemptEnd::Broken, "deadline passed".to_owned()));
        }
    };
    Some(finish_send(relay, request, history, send, received).await)
}

/// Sends a request to the first engine of its path and waits for the response head.
async fn send_request(
    relay: Rc<Relay>,
    first: ReplicaEntry,
    permit: Permit,
    outgoing: Request<Full<Bytes>>,
) -> Result<ReceivedHead, SendError> {
    let gate = SendGate::new(&relay, &first.instance, permit.priority);
    let new_connection = !permit.route.is_repeatable();
    let sent = relay.pool.send(first.address, outgoing, new_connection, || gate.pass()).await;
    if sent.as_ref().is_err_and(SendError::is_unsent) {
        gate.record_unsent();
    }
    sent
}

/// Decides by the response head of a send, or the error instead of one, how the attempt ended.
pub async fn finish_send(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    history: &SendHistory,
    send: PendingSend,
    received: Result<ReceivedHead, SendError>,
) -> OpenOutcome {
    let PendingSend { first, path, reservation, mut run, permit, charge, sent_at, head, .. } = send;
    let received = match received {
        Ok(received) => received,
        Err(error) => {
            if error.is_unsent() {
                history.record_unsent();
                request.record_unsent();
                if let Some(charge) = charge {
                    charge.cancel_send();
                }
            }
            return match error {
                SendError::NotSent { .. } => {
                    relay.record_unreachable(&first.instance, &error);
                    OpenOutcome::Failed(AttemptEnd::NotSent, error.to_string())
                }
                SendError::Throttled { .. } => {
                    OpenOutcome::Failed(AttemptEnd::NotSent, error.to_string())
                }
                SendError::NoResponse { detail } => {
                    // The replica is not suspected for this: one malformed or truncated response
                    // does not mean that the next will be. The probe finds out whether the replica
                    // is lost.
                    probe_replicas(relay, std::iter::once(first.address));
                    run.record_loss(relay, request, &detail);
                    OpenOutcome::Failed(AttemptEnd::Broken, detail)
                }
            };
        }
    };
    request.record.record_bytes();
    let has_started = received.0.status() == StatusCode::OK;
    if has_started && controls_overload(relay, &permit) {
        record_first_event(relay, &permit, now_millis() - sent_at);
    }
    head.record_response(has_started);
    let sent = SentRun { path, reservation, run, permit, sent_at };
    read_head(relay, request, history, first, received, sent).await
}

/// Returns the replica that holds up a request, by the report of the first engine of its path:
/// the first engine itself if it does not respond, and `None` if the report names no replica or the
/// first report has not arrived yet.
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
    let stalled = report.stalled.iter().find(|request| request.attempt_id == attempt_id);
    stalled.and_then(|stalled| stalled.faulty_replica)
}

/// Records a failure of the replica at an address, which is then avoided for a while. Returns a
/// description for logs.
pub async fn suspect_at(relay: &Rc<Relay>, faulty_replica: SocketAddr, why: &str) -> String {
    match relay.instance_at(faulty_replica) {
        Some(instance) => {
            check_named(relay, &instance, faulty_replica).await;
            relay.avoid(&instance, why);
            format!("{why} at {faulty_replica} ({instance})")
        }
        None => format!("{why} at {faulty_replica} (not listed)"),
    }
}

/// State of a request that was sent over a path.
struct SentRun {
    path: Vec<PathStage>,
    reservation: PathReservation,
    run: RunTracker,
    permit: Permit,
    sent_at: Millis,
}

/// Decides by the head of a response whether it is a stream, a complete response or a rejection.
async fn read_head(
    relay: &Relay,
    request: &CallerRequest,
    history: &SendHistory,
    first: ReplicaEntry,
    (response, connection): ReceivedHead,
    sent: SentRun,
) -> OpenOutcome {
    let SentRun { path, reservation, mut run, permit, sent_at } = sent;
    let (head, body) = response.into_parts();
    let headers = read_response_headers(&head.headers);
    apply_notices(
        relay,
        &first.instance,
        request.received_response(&headers, head.status, sent_at),
    );
    if let Some(end) = end_from_headers(request, &headers, head.status) {
        if end == AttemptEnd::Rejected {
            history.record_rejection(&first.instance);
        }
        handle_rejection(relay, history, &headers, &first, head.status).await;
        drain_rejection(relay, connection, body, &headers).await;
        let detail = format!("status {} at {:?}", head.status, headers.faulty_replica);
        return OpenOutcome::Failed(end, detail);
    }
    if head.status == StatusCode::OK {
        run.record_start();
        return OpenOutcome::Opened(Box::new(OpenStream {
            head,
            body,
            connection,
            path,
            reservation,
            run,
            permit,
        }));
    }
    let remaining = Duration::from_millis(request.time_remaining(now_millis()));
    let reading = read_full_response(relay, head, body, connection, &headers);
    let outcome = timeout(remaining, reading)
        .await
        .unwrap_or_else(|_| OpenOutcome::Failed(AttemptEnd::Broken, "deadline passed".to_owned()));
    if matches!(
        outcome,
        OpenOutcome::Responded(_) | OpenOutcome::Failed(AttemptEnd::Answered(_), _)
    ) {
        record_result(relay, request);
    }
    outcome
}

/// Excludes the replica that a rejection names, and fetches its report. One that does not respond
/// or holds no layers is suspected; otherwise it is short of memory, or holds other layers than its
/// entry lists.
async fn handle_rejection(
    relay: &Relay,
    history: &SendHistory,
    headers: &ResponseHeaders,
    first: &ReplicaEntry,
    status: StatusCode,
) {
    let faulty_replica = headers.faulty_replica.unwrap_or(first.address);
    let Some(instance) = relay.instance_at(faulty_replica) else {
        // The named replica is unknown here, so the first one is excluded.
        history.exclude(&first.instance);
        return;
    };
    if headers.faulty_replica.is_none() && status == StatusCode::SERVICE_UNAVAILABLE {
        relay.state.borrow_mut().full_replicas.record_rejection(&instance, now_millis());
    }
    if headers.faulty_replica.is_some() && status == StatusCode::SERVICE_UNAVAILABLE {
        relay.state.borrow_mut().full_stages.record_rejection(&instance, now_millis());
        match recent_report(relay, faulty_replica).await {
            ReportState::Pending => {}
            ReportState::NoResponse => {
                relay.avoid(&instance, "rejected a request and gave no report")
            }
            ReportState::Received(report) if report.layers.is_none() => {
                relay.avoid(&instance, "rejected a request and holds no layers");
            }
            ReportState::Received(report) if report.kv_used > report.kv_total * FULL_FRACTION => {
                relay.record_memory_shortage(&instance);
            }
            ReportState::Received(_) => {}
        }
    }
    history.exclude(&instance);
}

/// Fraction of an engine's KV cache above which a rejection is attributed to a lack of memory.
const FULL_FRACTION: f64 = 0.7;

async fn read_full_response(
    relay: &Relay,
    head: response::Parts,
    body: Incoming,
    connection: ActiveConnection,
    headers: &ResponseHeaders,
) -> OpenOutcome {
    /// Maximum size of a response that is not a stream, in bytes.
    const MAX_RESPONSE: usize = 1 << 20;
    let status = head.status.as_u16();
    match read_body(&relay.buffers, body, MAX_RESPONSE).await {
        Ok(body) if status < 500 => {
            if !headers.closes_connection {
                connection.return_to(&relay.pool, headers.keep_alive);
            }
            let mut head = head;
            strip_framing(&mut head);
            OpenOutcome::Responded(Response::from_parts(head, full_body(body)))
        }
        Ok(_) => OpenOutcome::Failed(AttemptEnd::Answered(status), format!("status {status}")),
        Err(error) => OpenOutcome::Failed(AttemptEnd::Broken, error.to_string()),
    }
}

fn begin_response(
    relay: &Rc<Relay>,
    request: Rc<CallerRequest>,
    history: Rc<SendHistory>,
    stream: OpenStream,
    in_flight: CountGuard,
) -> RelayResponse {
    let took = now_millis() - request.arrived_at;
    relay.metrics.record_head(&stream.permit, took);
    let mut head = stream.head.clone();
    // A resumption at another replica may have another length.
    strip_framing(&mut head);
    let body = stream_body(relay.clone(), request, history, stream, in_flight);
    Response::from_parts(head, body)
}
