//! Handles a caller's request from its arrival to the response.

use std::{
    cell::{Cell, OnceCell},
    panic::AssertUnwindSafe,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header, request::Parts};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{
    ForwardHeaders, RequestHeaders, ResponseHeaders, encode_path, read_request_headers,
    set_forward_headers,
};
use switchfold_router::{
    Millis,
    attempt::{AttemptEnd, NextStep},
    fingerprint::{RequestFingerprint, RequestParts},
    fleet::ReplicaEntry,
    instance::ReplicaInstance,
    path::PathStage,
    reconnects::awaits_config,
};
use tokio::time::{sleep, timeout};

use crate::{
    admit::{AdmissionRequest, Permit, admit, is_config_fresh},
    buffers::{BodyError, discard_body, read_body},
    caller_connection::{CallerConnection, EndGuard},
    counts::count,
    notices::ReplicaResponse,
    paths::fullest_replica,
    plain::run_plain,
    quarantine::{QuarantineTrial, check_arrival, start::wait_for_quarantine},
    readiness::StartStep,
    request_end::{EndCause, RequestRecord},
    responses::{Refusal, RelayResponse},
    shutdown::CountGuard,
    state::Relay,
    stream::run_stream,
};

/// Timeout of a request if neither its route nor its caller sets one, in milliseconds.
const DEFAULT_TIMEOUT: Millis = 30_000;

/// Least urgent priority at an engine.
pub const LOWEST_PRIORITY: u8 = 9;

/// Added to the priority of a resumed stream, which makes it less urgent.
const RESUME_PENALTY: u8 = 2;

/// A request of a caller, with its complete body.
#[derive(Debug)]
pub struct CallerRequest {
    method: Method,
    uri: Uri,
    raw_headers: HeaderMap,
    body: Bytes,
    /// Identifies identical requests, whatever their attempt ids.
    pub fingerprint: RequestFingerprint,
    /// Parts of its prompt that other requests may share: all but the last.
    pub shared_parts: Vec<RequestFingerprint>,
    /// Values read from its headers.
    pub headers: RequestHeaders,
    /// Host, path and API key, by which it is admitted again before each send.
    pub admission: AdmissionRequest,
    /// Time of its arrival.
    pub arrived_at: Millis,
    /// Time by which the caller must have the response.
    pub deadline: Millis,
    /// Whether a replica may have run it.
    pub may_have_run: Rc<Cell<bool>>,
    /// Whether it was dispatched before; the wait for the first dispatch is recorded.
    pub is_dispatched: Cell<bool>,
    /// Set if it is sent although it is quarantined.
    pub trial: OnceCell<QuarantineTrial>,
    /// What is known of it when it ends.
    pub record: Rc<RequestRecord>,
}

/// Where one attempt of a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTarget<'a> {
    /// Replica that receives it.
    pub replica: &'a ReplicaEntry,
    /// Path that starts at the replica; `None` for a plain service.
    pub path: Option<&'a [PathStage]>,
    /// Id of the last event that the caller has, if the stream is resumed.
    pub last_event_id: Option<u64>,
}

impl CallerRequest {
    /// Returns what may crash a replica that runs the request: the parts of its prompt that others
    /// may share, and the request itself, in the order of how specific they are.
    pub fn suspects(&self) -> impl Iterator<Item = &RequestFingerprint> {
        self.shared_parts.iter().chain(std::iter::once(&self.fingerprint))
    }

    /// Returns the time until the deadline, in milliseconds; 0 once it has passed.
    pub fn time_remaining(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }

    /// Records that the send that began reached no replica.
    pub fn record_unsent(&self) {
        if let Some(trial) = self.trial.get() {
            trial.cancel_send();
        }
    }

    /// Returns whether its response has no body whatever its head says.
    pub fn is_head(&self) -> bool {
        self.method == Method::HEAD
    }

    /// Returns whether a response with these headers belongs to this request. A response without an
    /// attempt id is assumed to.
    pub fn matches_response(&self, headers: &ResponseHeaders) -> bool {
        headers.attempt_id.as_ref().is_none_or(|id| *id == self.headers.attempt_id)
    }

    /// Describes a response that was received to the attempt sent at `sent_at`.
    pub fn received_response<'a>(
        &self,
        headers: &'a ResponseHeaders,
        status: StatusCode,
        sent_at: Millis,
    ) -> ReplicaResponse<'a> {
        ReplicaResponse { status, headers, sent_at, is_own: self.matches_response(headers) }
    }

    /// Estimates the number of tokens that it may hold, those of its prompt and of its completion.
    /// `mean` has the model's mean numbers of both, for requests that state none.
    pub fn estimate_tokens(&self, mean: (u32, u32)) -> f64 {
        let (prompt, max_completion) =
            self.headers.tokens.unwrap_or((mean.0, mean.1.saturating_mul(2)));
        let completion = self.headers.length_hint.unwrap_or(mean.1).min(max_completion);
        f64::from(prompt) + f64::from(completion)
    }

    /// Returns the priority of the request at an engine. A resumed stream is late already, so
    /// requests that can still be in time go first.
    fn priority(&self, permit: &Permit, target: &ReplicaTarget<'_>) -> u8 {
        let penalty = if target.last_event_id.is_some() { RESUME_PENALTY } else { 0 };
        (permit.priority + penalty).min(LOWEST_PRIORITY)
    }

    /// Builds the request that is sent to a replica.
    pub fn build_replica_request(
        &self,
        permit: &Permit,
        target: &ReplicaTarget<'_>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.raw_headers.clone();
        let forward_headers = ForwardHeaders {
            replica: target.replica.instance.id(),
            time_remaining: self.time_remaining(now_millis()).max(1),
            organisation: permit.organisation.as_deref(),
            priority: target.path.is_some().then_some(self.priority(permit, target)),
            path: target.path,
            last_event_id: target.last_event_id,
        };
        set_forward_headers(&mut headers, &forward_headers);
        headers.remove(header::CONTENT_LENGTH);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Logs and records a dispatch, and the wait before the first one: where the request is sent, and
    /// the versions and ages of the state that the choice is based on. For a stream
    /// also the fullest replica of the path and the share of its memory that is reserved, this
    /// request's included, and whether the path starts in another data centre.
    pub fn log_dispatch(
        &self,
        relay: &Relay,
        permit: &Permit,
        first: &ReplicaInstance,
        earlier_sends: u32,
        last_event_id: Option<u64>,
        path: Option<&[PathStage]>,
    ) {
        self.record.record_sent(first);
        let now = now_millis();
        let waited_ms = now - self.arrived_at;
        if !self.is_dispatched.replace(true) {
            relay.metrics.record_wait(permit.priority, waited_ms);
        }
        let state = relay.state.borrow();
        let service = permit.config.services.get(&permit.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let fullest =
            path.zip(engine).and_then(|(path, engine)| fullest_replica(&state, engine, path));
        let entry = path.and_then(|_| state.fleet.view.get_current(first));
        tracing::info!(
            event = "dispatch",
            request = self.headers.attempt_id,
            fingerprint = %self.fingerprint,
            route = permit.route.name,
            organisation = permit.organisation,
            public = permit.route.public,
            rank = permit.priority,
            config = permit.config.version,
            config_age = state.config_lease.age(now),
            replicas_age = state.fleet.age(now),
            entry_revision = state.fleet.view.revision(first.id()),
            entry_age = state.fleet.view.age(first.id(), now),
            entry_awaited = state.fleet.is_awaited(first.id()),
            backoff_left = state.backoffs.remaining(first, now),
            limit = state.limits.limit(first.id()),
            waited_ms,
            objective = permit.route.objective,
            gap = permit.route.max_event_gap,
            earlier_sends,
            relay_age = now,
            relays = state.peers.known_count() + 1,
            last_event = last_event_id,
            %first,
            path = path.map(encode_path),
            fill = fullest.map(|(fill, _)| fill),
            fullest = fullest.map(|(_, replica)| replica.to_string()),
            starts_elsewhere =
                entry.map(|entry| entry.data_centre != relay.settings.data_centre),
        );
    }

    /// Logs and counts an attempt whose response is not simply forwarded to the caller.
    pub fn log_attempt(
        &self,
        relay: &Relay,
        replica: Option<&ReplicaInstance>,
        permit: &Permit,
        end: AttemptEnd,
        next: NextStep,
        detail: &str,
    ) {
        let is_forwarded = matches!((end, next), (AttemptEnd::Answered(_), NextStep::PassOn));
        if is_forwarded {
            return;
        }
        relay.metrics.record_attempt(end, next);
        tracing::warn!(
            event = "attempt-failed",
            request = self.headers.attempt_id,
            replica = replica.map(ReplicaInstance::to_string),
            route = permit.route.name,
            config = permit.config.version,
            ?end,
            ?next,
            detail,
        );
    }
}

/// What a request was admitted as, for the log lines of its end. Empty if it was not admitted.
#[derive(Debug, Default)]
struct RequestClass {
    route: Option<String>,
    organisation: Option<String>,
    rank: Option<u8>,
}

impl RequestClass {
    fn of(permit: &Permit) -> Self {
        Self {
            route: Some(permit.route.name.clone()),
            organisation: permit.organisation.clone(),
            rank: Some(permit.priority),
        }
    }
}

/// Handles a request of a connection. Every failure becomes a refusal, even a panic, so there is
/// always a response. The request counts as arrived at the call: the HTTP library drops the
/// returned future without polling it if its caller has left already.
pub fn handle(
    relay: Rc<Relay>,
    connection: &Rc<CallerConnection>,
    request: Request<Incoming>,
) -> impl Future<Output = RelayResponse> + use<> {
    count(&relay.counts.requests);
    relay.start.record(StartStep::FirstRequest);
    let headers = read_request_headers(request.headers());
    let may_have_run = Rc::default();
    let record = Rc::new(RequestRecord::new(&relay, &headers.attempt_id, &may_have_run));
    let guard = EndGuard::new(connection, &record);
    let connection = connection.clone();
    let is_head_request = request.method() == Method::HEAD;
    let (parts, body) = request.into_parts();
    if body.is_end_stream() {
        record.record_read();
        connection.record_read();
    }
    let arrived_at = now_millis();
    let arrival =
        RequestArrival { parts, body, headers, arrived_at, may_have_run, record, connection };
    let unanswered = CountGuard::for_unanswered(&relay);
    async move {
        let _unanswered = unanswered;
        let response = respond_always(&relay, arrival).await;
        let status = response.status();
        let has_body = !is_head_request
            && status != StatusCode::NO_CONTENT
            && status != StatusCode::NOT_MODIFIED;
        response.map(|body| guard.watch(body, has_body))
    }
}

/// Responds to a request, with a refusal if that panics.
async fn respond_always(relay: &Rc<Relay>, arrival: RequestArrival) -> RelayResponse {
    let (record, arrived_at) = (arrival.record.clone(), arrival.arrived_at);
    let responding = AssertUnwindSafe(respond(relay, arrival)).catch_unwind();
    let mut response = match responding.await {
        Ok(response) => response,
        Err(payload) => {
            record.log_panic(&*payload);
            let refusal = Refusal::Panicked.unless_run(record.may_have_run());
            refuse(relay, &record, refusal, arrived_at, RequestClass::default())
        }
    };
    // The connection ends behind a request that was not read to its end.
    let must_close = !record.was_read() || relay.shutdown.is_stopping();
    if must_close || relay.should_redirect_callers(now_millis()) {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Serves a request, or refuses it once the response is due in a shutdown.
async fn respond(relay: &Rc<Relay>, arrival: RequestArrival) -> RelayResponse {
    let in_flight = CountGuard::for_request(relay);
    let (record, arrived_at) = (arrival.record.clone(), arrival.arrived_at);
    let may_have_run = arrival.may_have_run.clone();
    let mut class = RequestClass::default();
    let outcome = tokio::select! {
        biased;
        outcome = serve(relay, arrival, in_flight, &mut class) => outcome,
        () = relay.shutdown.wait_until_answer_due() => {
            Err(Refusal::Stopping.unless_run(may_have_run.get()))
        }
    };
    match outcome {
        Ok(response) => {
            let status = response.status();
            record.record_response(status, EndCause::Answered);
            count(&relay.counts.answered);
            relay.start.record(StartStep::FirstAnswer);
            relay.metrics.record_outcome(status.as_u16(), "answered");
            tracing::info!(
                event = "answered",
                request = record.id(),
                status = status.as_u16(),
                took_ms = now_millis() - arrived_at,
                route = class.route,
                organisation = class.organisation,
                rank = class.rank,
            );
            response
        }
        Err(refusal) => refuse(relay, &record, refusal, arrived_at, class),
    }
}

/// Waits until a relay that has just started trusts its first configuration, up to the time that
/// [`awaits_config`] allows.
async fn wait_for_config(relay: &Relay) {
    const POLL_INTERVAL: Duration = Duration::from_millis(10);
    while awaits_config(now_millis(), is_config_fresh(relay, now_millis())) {
        sleep(POLL_INTERVAL).await;
    }
}

/// A request whose body has not been read yet.
struct RequestArrival {
    parts: Parts,
    body: Incoming,
    headers: RequestHeaders,
    arrived_at: Millis,
    may_have_run: Rc<Cell<bool>>,
    record: Rc<RequestRecord>,
    connection: Rc<CallerConnection>,
}

/// Serves a request, and sets `class` once it is admitted.
async fn serve(
    relay: &Rc<Relay>,
    arrival: RequestArrival,
    in_flight: CountGuard,
    class: &mut RequestClass,
) -> Result<RelayResponse, Refusal> {
    let RequestArrival { parts, body, headers, arrived_at, may_have_run, record, connection } =
        arrival;
    let admission = read_admission(&parts, &headers);
    wait_for_config(relay).await;
    let max_body = relay.caller_limits(arrived_at).max_body_bytes;
    let permit = match admit(relay, &admission) {
        Ok(permit) => permit,
        Err(refusal) => {
            if discard_body(body, max_body).await {
                record.record_read();
            }
            return Err(refusal);
        }
    };
    *class = RequestClass::of(&permit);
    let route_timeout = match permit.route.timeout {
        0 => DEFAULT_TIMEOUT,
        timeout => timeout,
    };
    let deadline = arrived_at + headers.deadline.unwrap_or(route_timeout).min(route_timeout);
    let remaining = Duration::from_millis(deadline.saturating_sub(now_millis()));
    let body = match timeout(remaining, read_body(&relay.request_buffers, body, max_body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge { .. })) => return Err(Refusal::BodyTooLarge),
        Ok(Err(BodyError::NoMemory { .. })) => return Err(Refusal::NoMemory),
        Ok(Err(BodyError::Broken(_))) => return Err(Refusal::BodyTruncated),
        Err(_) => return Err(Refusal::TimedOutUnsent),
    };
    record.record_read();
    connection.record_read();
    let uri = origin_form(&parts.uri);
    let fingerprint = RequestFingerprint::of(&RequestParts {
        method: parts.method.as_str(),
        host: &admission.host,
        target: uri.path_and_query().map_or("/", |target| target.as_str()),
        organisation: permit.organisation.as_deref(),
        body: &body,
    });
    if headers.has_malformed_parts {
        count(&relay.counts.malformed_parts);
    }
    let shared = headers.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared_parts =
        shared.iter().map(|id| RequestFingerprint::of_prompt_part(&permit.service, *id)).collect();
    let request = CallerRequest {
        shared_parts,
        method: parts.method,
        uri,
        raw_headers: parts.headers,
        body,
        fingerprint,
        headers,
        admission,
        arrived_at,
        deadline,
        may_have_run,
        is_dispatched: Cell::new(false),
        trial: OnceCell::new(),
        record,
    };
    wait_for_quarantine(relay).await;
    check_arrival(relay, &request)?;
    relay.record_request(&permit.service, now_millis());
    let service = permit.config.services.get(&permit.service);
    match service.is_some_and(|service| service.engine.is_some()) {
        true => run_stream(relay, Rc::new(request), permit, in_flight).await,
        false => run_plain(relay, &request, permit).await,
    }
}

fn read_admission(parts: &Parts, headers: &RequestHeaders) -> AdmissionRequest {
    let header = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = parts.uri.host().or(header).unwrap_or_default();
    AdmissionRequest {
        host: host.to_owned(),
        path: parts.uri.path().to_owned(),
        key: headers.key.clone(),
    }
}

/// Returns the path and query of a URI, the form in which replicas receive it.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

fn refuse(
    relay: &Relay,
    record: &RequestRecord,
    refusal: Refusal,
    arrived_at: Millis,
    class: RequestClass,
) -> RelayResponse {
    let held_ms = now_millis() - arrived_at;
    let status = refusal.status().as_u16();
    match status {
        503 => count(&relay.counts.refused),
        _ => count(&relay.counts.failed),
    }
    record.record_response(refusal.status(), EndCause::Refused);
    relay.metrics.record_outcome(status, &refusal.to_string());
    let config = relay.config().map_or(0, |config| config.version);
    let config_age = relay.state.borrow().config_lease.age(now_millis());
    tracing::warn!(
        event = "refused",
        request = record.id(),
        status,
        reason = %refusal,
        held_ms,
        retry_after_ms = refusal.told_delay(),
        route = class.route,
        organisation = class.organisation,
        rank = class.rank,
        config,
        config_age,
    );
    refusal.response()
}
