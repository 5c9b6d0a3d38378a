//! A caller's request, from its first byte to its answer.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header, request::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
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
use tokio::time::sleep;

use crate::{
    admit::{AdmissionRequest, Permit, admit},
    counts::count,
    notices::ReplicaResponse,
    plain::run_plain,
    quarantine::check_quarantine,
    responses::{Refusal, RelayResponse},
    shutdown::InFlightGuard,
    state::Relay,
    stream::run_stream,
};

/// Time that a request is held where neither its route nor its caller bounds it, in milliseconds.
const DEFAULT_TIMEOUT: Millis = 30_000;

/// Largest body where the configuration names no bound, in bytes.
const DEFAULT_BODY: usize = 4 << 20;

/// Last rank at an engine.
const LAST_RANK: u8 = 9;

/// Ranks by which a stream that is taken up again comes later.
const RESUMED_RANK: u8 = 2;

/// A request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    method: Method,
    uri: Uri,
    raw_headers: HeaderMap,
    body: Bytes,
    /// What it is, whatever its id.
    pub fingerprint: RequestFingerprint,
    /// What its headers ask for.
    pub headers: RequestHeaders,
    /// Host, path and key.
    pub admission: AdmissionRequest,
    /// When it arrived.
    pub arrived: Millis,
    /// When it must have its answer.
    pub deadline: Millis,
    /// Attempts so far.
    pub attempt_count: Cell<u32>,
}

/// Where one attempt of a request goes.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTarget<'a> {
    /// Replica that takes it.
    pub replica: &'a ReplicaEntry,
    /// Path over several replicas, the first of them this one.
    pub path: Option<&'a [PathStage]>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

impl CallerRequest {
    /// Time that is left, in milliseconds.
    pub fn time_remaining(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }

    /// Whether an answer that says this beside its status is one to this request.
    pub fn matches_response(&self, marks: &ResponseHeaders) -> bool {
        marks.attempt_id.as_ref().is_none_or(|id| *id == self.headers.attempt_id)
    }

    /// An answer to it that was sent for at `sent`.
    pub fn received_response<'a>(
        &self,
        marks: &'a ResponseHeaders,
        status: StatusCode,
        sent: Millis,
    ) -> ReplicaResponse<'a> {
        ReplicaResponse {
            status,
            headers: marks,
            sent_at: sent,
            is_own: self.matches_response(marks),
        }
    }

    /// Tokens that it may hold: those of its prompt, and of its answer as far as they can be told.
    pub fn tokens(&self, usual: (u32, u32)) -> f64 {
        let (prompt, most) = self.headers.tokens.unwrap_or((usual.0, usual.1 * 2));
        let answer = self.headers.length_hint.unwrap_or(usual.1).min(most);
        f64::from(prompt) + f64::from(answer)
    }

    /// Rank of the request at an engine. A stream that is taken up again is late already, so it lets in
    /// first those that can still be in time.
    fn priority(&self, permit: &Permit, target: &ReplicaTarget<'_>) -> u8 {
        let late = if target.last_event.is_some() { RESUMED_RANK } else { 0 };
        (permit.priority + late).min(LAST_RANK)
    }

    /// Builds the request for a replica.
    pub fn to_replica(&self, permit: &Permit, target: &ReplicaTarget<'_>) -> Request<Full<Bytes>> {
        let mut headers = self.raw_headers.clone();
        let marks = ForwardHeaders {
            replica: target.replica.instance.id(),
            time_left: self.time_remaining(now_millis()).max(1),
            organisation: permit.organisation.as_deref(),
            priority: target.path.is_some().then_some(self.priority(permit, target)),
            path: target.path,
            last_event_id: target.last_event,
        };
        set_forward_headers(&mut headers, &marks);
        headers.remove(header::CONTENT_LENGTH);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Writes the line of a dispatch: where the request goes, by which versions of what is believed.
    pub fn log_dispatch(
        &self,
        relay: &Relay,
        permit: &Permit,
        first: &ReplicaInstance,
        last_event: Option<u64>,
        path: Option<&[PathStage]>,
    ) {
        let now = now_millis();
        let state = relay.state.borrow();
        tracing::info!(
            event = "dispatch",
            request = self.headers.attempt_id,
            fingerprint = %self.fingerprint,
            route = permit.route.name,
            organisation = permit.organisation,
            config = permit.config.version,
            config_age = state.config_lease.age(now),
            replicas_age = state.fleet.age(now),
            entry_revision = state.fleet.view.revision(first.id()),
            entry_age = state.fleet.view.age(first.id(), now),
            entry_awaited = state.fleet.is_awaited(first.id()),
            backoff_left = state.backoffs.remaining(first, now),
            limit = state.limits.limit(first.id()),
            waited_ms = now - self.arrived,
            objective = permit.route.objective,
            gap = permit.route.max_event_gap,
            last_event,
            %first,
            path = path.map(encode_path),
        );
    }

    /// Writes the line of an attempt.
    pub fn log_attempt(
        &self,
        relay: &Relay,
        replica: Option<&ReplicaInstance>,
        permit: &Permit,
        end: AttemptEnd,
        next: NextStep,
        detail: &str,
    ) {
        let plain = matches!((end, next), (AttemptEnd::Answered(_), NextStep::PassOn));
        if plain {
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

/// Answers a request; the answer always comes.
pub async fn handle(relay: Rc<Relay>, request: Request<Incoming>) -> RelayResponse {
    let in_flight = InFlightGuard::new(&relay);
    count(&relay.counts.requests);
    let arrived = now_millis();
    let (parts, body) = request.into_parts();
    let headers = read_request_headers(&parts.headers);
    let id = headers.attempt_id.clone();
    let outcome = serve(&relay, parts, body, headers, arrived, in_flight).await;
    let mut answer = match outcome {
        Ok(answer) => {
            let status = answer.status().as_u16();
            count(&relay.counts.answered);
            relay.metrics.record_outcome(status, "answered");
            tracing::info!(
                event = "answered",
                request = id,
                status,
                took_ms = now_millis() - arrived
            );
            answer
        }
        Err(refusal) => refuse(&relay, &id, refusal, arrived),
    };
    if relay.shutdown.is_stopping() || relay.should_redirect_callers(now_millis()) {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Waits for the first configuration of a relay that has just started, for as long as that is of use.
async fn wait_for_config(relay: &Relay) {
    const LOOK_EVERY: Duration = Duration::from_millis(10);
    while awaits_config(now_millis(), relay.config().is_some()) {
        sleep(LOOK_EVERY).await;
    }
}

async fn serve(
    relay: &Rc<Relay>,
    parts: Parts,
    body: Incoming,
    headers: RequestHeaders,
    arrived: Millis,
    in_flight: InFlightGuard,
) -> Result<RelayResponse, Refusal> {
    let admission = asked_for(&parts, &headers);
    wait_for_config(relay).await;
    let permit = admit(relay, &admission)?;
    let most = permit.config.limits.map_or(DEFAULT_BODY, |limits| limits.max_body_bytes);
    let body = match Limited::new(body, most).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::BodyTooLarge);
        }
        Err(_) => return Err(Refusal::BodyTruncated),
    };
    let timeout = match permit.route.timeout {
        0 => DEFAULT_TIMEOUT,
        timeout => timeout,
    };
    let patience = headers.deadline.unwrap_or(timeout).min(timeout);
    let uri = origin_form(&parts.uri);
    let fingerprint = RequestFingerprint::of(&RequestParts {
        method: parts.method.as_str(),
        host: &admission.host,
        target: uri.path_and_query().map_or("/", |target| target.as_str()),
        organisation: permit.organisation.as_deref(),
        body: &body,
    });
    let request = CallerRequest {
        method: parts.method,
        uri,
        raw_headers: parts.headers,
        body,
        fingerprint,
        headers,
        admission,
        arrived,
        deadline: arrived + patience,
        attempt_count: Cell::new(0),
    };
    check_quarantine(relay, &request)?;
    relay.record_request(&permit.service, now_millis());
    let has_engine = permit.config.services.get(&permit.service);
    match has_engine.is_some_and(|service| service.engine.is_some()) {
        true if relay.shutdown.refuses_streams() => Err(Refusal::Stopping),
        true => run_stream(relay, Rc::new(request), permit, in_flight).await,
        false if relay.shutdown.would_cut(patience) => Err(Refusal::Stopping),
        false => run_plain(relay, &request, permit).await,
    }
}

fn asked_for(parts: &Parts, headers: &RequestHeaders) -> AdmissionRequest {
    let header = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = parts.uri.host().or(header).unwrap_or_default();
    AdmissionRequest {
        host: host.to_owned(),
        path: parts.uri.path().to_owned(),
        key: headers.key.clone(),
    }
}

/// Path and query alone, as replicas are asked.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

fn refuse(relay: &Relay, id: &str, refusal: Refusal, arrived: Millis) -> RelayResponse {
    let held_ms = now_millis() - arrived;
    let status = refusal.status().as_u16();
    match status {
        503 => count(&relay.counts.refused),
        _ => count(&relay.counts.failed),
    }
    relay.metrics.record_outcome(status, &refusal.to_string());
    let config = relay.config().map_or(0, |config| config.version);
    let config_age = relay.state.borrow().config_lease.age(now_millis());
    tracing::warn!(
        event = "refused", request = id, status, reason = %refusal, held_ms, config, config_age,
    );
    refusal.response()
}
