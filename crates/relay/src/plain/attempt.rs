//! One attempt of a request at a replica of a plain service.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{Response, StatusCode, response};
use hyper::body::Incoming;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{
    ReplicaLoad, ResponseHeaders, is_framed, read_response_headers,
};
use switchfold_router::{
    Millis,
    attempt::{AttemptEnd, promises_not_run},
    fleet::ReplicaEntry,
};
use tokio::{task::spawn_local, time::timeout};

use super::LoadGuard;
use crate::{
    admit::Permit,
    buffers::{discard_body, read_body},
    notices::{SendGate, apply_notices},
    pool::{ActiveConnection, SendError},
    quarantine::record_result,
    reachability::{check_reachable, confirm_end},
    request::{CallerRequest, ReplicaTarget},
    retries::RetryCharge,
    run_tracker::RunTracker,
    state::Relay,
};

/// Maximum size of a response, in bytes. It is read completely before it is forwarded.
const MAX_RESPONSE: usize = 16 << 20;

/// Largest slowness that one attempt counts with, as a multiple of the latency objective.
const MAX_SLOWNESS: f64 = 4.0;

/// A complete response of a replica.
pub(super) struct BufferedResponse {
    /// Its head.
    pub(super) head: Response<()>,
    /// Its complete body.
    pub(super) body: Bytes,
}

/// How an attempt ended, with the response if there is one.
pub(super) struct AttemptOutcome {
    /// How it ended.
    pub(super) end: AttemptEnd,
    /// The response, if there is one.
    pub(super) response: Option<BufferedResponse>,
    /// What failed.
    pub(super) detail: String,
    /// Whether it was not sent because the replica accepts no requests at the moment.
    is_throttled: bool,
    /// Whether the replica sent more than the relay accepts.
    is_excessive: bool,
}

impl AttemptOutcome {
    fn without_response(end: AttemptEnd, detail: String) -> Self {
        Self { end, response: None, detail, is_throttled: false, is_excessive: false }
    }

    /// Returns whether it ended with a response that is forwarded whatever other attempts yield.
    pub(super) fn is_success(&self) -> bool {
        let is_final = |status| status < 500 && !promises_not_run(status);
        self.response.is_some()
            && matches!(self.end, AttemptEnd::Answered(status) if is_final(status))
    }
}

/// An attempt. It counts as in flight at its replica, and its connection stays open, until it is
/// dropped.
pub(super) struct PlainAttempt<'a> {
    relay: &'a Rc<Relay>,
    request: &'a CallerRequest,
    permit: Permit,
    replica: ReplicaEntry,
    started_at: Millis,
    run: RefCell<RunTracker>,
    charge: RefCell<Option<RetryCharge>>,
    /// Whether the request may have been written to a connection.
    is_written: Cell<bool>,
    /// Whether its end counts in the load of the replica.
    is_recorded: Cell<bool>,
    _in_flight: LoadGuard,
}

impl<'a> PlainAttempt<'a> {
    /// Begins an attempt. `charge` is given back if no byte of the request is sent.
    pub(super) fn begin(
        relay: &'a Rc<Relay>,
        request: &'a CallerRequest,
        permit: Permit,
        replica: ReplicaEntry,
        earlier_sends: u32,
        charge: Option<RetryCharge>,
    ) -> Rc<Self> {
        request.log_dispatch(relay, &permit, &replica.instance, earlier_sends, None, None);
        Rc::new(Self {
            relay,
            request,
            started_at: now_millis(),
            run: RefCell::new(RunTracker::at_replica(&replica.instance)),
            charge: RefCell::new(charge),
            is_written: Cell::new(false),
            is_recorded: Cell::new(false),
            _in_flight: LoadGuard::new(relay, &replica.instance),
            permit,
            replica,
        })
    }

    /// Sends the request and reads the response, until the deadline of the request.
    pub(super) fn run(self: Rc<Self>) -> LocalBoxFuture<'a, AttemptOutcome> {
        Box::pin(async move {
            let remaining = self.request.time_remaining(self.started_at);
            let exchange = timeout(Duration::from_millis(remaining), self.exchange()).await;
            let outcome = exchange.unwrap_or_else(|_| {
                let detail = format!("no response within {remaining} ms");
                AttemptOutcome::without_response(AttemptEnd::Broken, detail)
            });
            self.record_end(&outcome).await;
            outcome
        })
    }

    /// Records that there was no response within the latency objective, and that another attempt
    /// begins. The run counts as lost from now on, in case that its replica turns out to have
    /// crashed.
    pub(super) fn record_overdue(&self) {
        let objective = self.permit.route.objective;
        let instance = &self.replica.instance;
        let detail = format!("no response within {objective} ms");
        let id = &self.request.headers.attempt_id;
        tracing::info!(event = "attempt-overdue", request = id, replica = %instance, detail);
        self.run.borrow_mut().record_loss(self.relay, self.request, &detail);
        self.record_load(true, None);
        let (relay, instance, address) =
            (self.relay.clone(), instance.clone(), self.replica.address);
        spawn_local(async move { check_reachable(&relay, &instance, address).await });
    }

    async fn record_end(&self, outcome: &AttemptOutcome) {
        let (relay, replica) = (self.relay, &self.replica);
        match outcome.end {
            // The replica is not lost, so the request did not crash it.
            AttemptEnd::Broken if outcome.is_excessive => {
                relay.avoid(&replica.instance, &outcome.detail);
            }
            AttemptEnd::Broken => {
                self.run.borrow_mut().record_loss(relay, self.request, &outcome.detail);
                check_reachable(relay, &replica.instance, replica.address).await;
            }
            AttemptEnd::Answered(_) => {
                record_result(relay, self.request);
                let now = now_millis();
                let times = &mut relay.state.borrow_mut().route_times;
                times.record(&self.permit.route.name, now - self.started_at, now);
            }
            AttemptEnd::NotSent => {
                if let Some(charge) = self.charge.take() {
                    charge.cancel_send();
                }
            }
            AttemptEnd::Rejected => {}
        }
        if outcome.is_throttled {
            return;
        }
        let failed = !matches!(outcome.end, AttemptEnd::Answered(status) if status < 500);
        let reported = outcome
            .response
            .as_ref()
            .and_then(|response| read_response_headers(response.head.headers()).load);
        self.record_load(failed, reported);
    }

    /// Records the end of the attempt in the load of its replica, once.
    fn record_load(&self, failed: bool, reported: Option<ReplicaLoad>) {
        if self.is_recorded.replace(true) {
            return;
        }
        let took = now_millis() - self.started_at;
        let objective = self.permit.route.objective.max(1) as f64;
        let slowness = (took as f64 / objective).min(MAX_SLOWNESS);
        let mut state = self.relay.state.borrow_mut();
        state.service_loads.record_end(&self.replica.instance, failed, slowness, reported);
    }

    async fn exchange(&self) -> AttemptOutcome {
        let Self { relay, request, permit, replica, .. } = self;
        let target = ReplicaTarget { replica, path: None, last_event_id: None };
        let outgoing = request.build_replica_request(permit, &target);
        // A request that must not run twice gets a new connection: no bytes left over from an
        // earlier response can be taken for its own.
        let new_connection = !permit.route.is_repeatable();
        let gate = SendGate::new(relay, &replica.instance, permit.priority);
        let sent_at = now_millis();
        let may_send = || gate.pass();
        let on_write = || self.is_written.set(true);
        let sent = relay
            .pool
            .send_observed(replica.address, outgoing, new_connection, may_send, on_write)
            .await;
        if sent.as_ref().is_err_and(SendError::is_unsent) {
            gate.record_unsent();
        }
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(error @ SendError::NotSent { .. }) => {
                relay.record_unreachable(&replica.instance, &error);
                return AttemptOutcome::without_response(AttemptEnd::NotSent, error.to_string());
            }
            Err(error @ SendError::Throttled { .. }) => {
                let unsent =
                    AttemptOutcome::without_response(AttemptEnd::NotSent, error.to_string());
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
        apply_notices(relay, &replica.instance, received);
        if let Some(end) = end_from_headers(request, &headers, parts.status) {
            drain_rejection(relay, connection, body, &headers).await;
            return AttemptOutcome::without_response(end, format!("status {}", parts.status));
        }
        match read_body(&relay.buffers, body, MAX_RESPONSE).await {
            // The end of the connection may be that of the replica.
            Ok(body)
                if body.is_empty()
                    && parts.status.is_success()
                    && !has_known_end(request, &parts) =>
            {
                let detail = "response without a length ended before its body".to_owned();
                AttemptOutcome::without_response(AttemptEnd::Broken, detail)
            }
            Ok(_)
                if !has_known_end(request, &parts)
                    && !confirm_end(relay, &replica.instance, replica.address).await =>
            {
                let detail = "replica ended with a response without a length".to_owned();
                AttemptOutcome::without_response(AttemptEnd::Broken, detail)
            }
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
}

impl Drop for PlainAttempt<'_> {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take().filter(|_| !self.is_written.get()) {
            charge.cancel_send();
        }
    }
}

/// Returns whether the head of a response, its status or the method tells where it ends.
fn has_known_end(request: &CallerRequest, head: &response::Parts) -> bool {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT | StatusCode::NOT_MODIFIED
    );
    has_no_body || request.is_head() || is_framed(&head.headers)
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

/// Maximum size of the body of a rejection, in bytes.
const MAX_REJECTION: usize = 4_096;

/// Reads the body of a rejection to its end, so that the connection can be reused; closes the
/// connection if that takes too long.
pub async fn drain_rejection(
    relay: &Relay,
    connection: ActiveConnection,
    body: Incoming,
    headers: &ResponseHeaders,
) {
    if !headers.closes_connection && discard_body(body, MAX_REJECTION).await {
        connection.return_to(&relay.pool, headers.keep_alive);
    }
}
