//! Calls to the control interface of the engines: reports, orders and probes.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    engine::{
        EngineReport, ORDER_PATH, REPORT_PATH, decode_refusal, decode_report, encode_place_order,
        encode_repath_order, engine_request,
    },
    headers::read_response_headers,
};
use switchfold_router::{
    Millis, fleet::LayerRange, instance::ReplicaInstance, path::PathStage, placement::UnloadMode,
};
use tokio::{task::spawn_local, time::timeout};

use crate::{
    buffers::read_body,
    counts::count,
    notices::{ReplicaResponse, apply_notices_at},
    pool::SendError,
    probes::{ProbeOutcome, probe_with_retry, silence_is_conclusive},
    quarantine::record_crash,
    replicas::accept_report_start,
    state::Relay,
};

/// Timeout of a call for a report or an order. Links take less than a millisecond, and the control
/// interface responds at once even if the engine is busy.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine started to carry it out, or is already in the ordered state.
    Taken,
    /// The engine rejected it with this status, because of its own state or, if an address is
    /// given, because of the state of the replica at this address.
    Refused(u16, Option<SocketAddr>),
    /// It was not sent.
    NotSent,
    /// No response arrived: the engine may have accepted it, or may still do so.
    Unknown,
}

/// Time for which a cached report is used instead of a new call, in milliseconds. A report
/// describes a state some hundred milliseconds old anyway, and each call costs time of the engine.
const REPORT_TTL: Millis = 80;

/// Interval between two probes of one replica by all relays of a data centre together, in
/// milliseconds. Under load many streams are silent at once, and each probe costs time of the
/// replica. A relay that finds a replica lost notifies the others at once, so each relay probes
/// less often the more relays there are.
const PROBE_INTERVAL: Millis = 300;

/// Cache of the latest reports, and the times of the latest probes and checks, by address.
#[derive(Debug, Default)]
pub struct ReportCache {
    reports: RefCell<HashMap<SocketAddr, CachedReport>>,
    last_probe: Cell<Option<Millis>>,
    probe_times: RefCell<HashMap<SocketAddr, Millis>>,
    check_times: RefCell<HashMap<SocketAddr, Millis>>,
}

impl ReportCache {
    /// Removes all entries of a replica that is no longer listed.
    pub fn remove(&self, address: SocketAddr) {
        self.reports.borrow_mut().remove(&address);
        self.probe_times.borrow_mut().remove(&address);
        self.check_times.borrow_mut().remove(&address);
    }

    /// Returns whether a replica may be probed, that is if its last probe was at least `interval`
    /// milliseconds ago. Records the probe in that case.
    fn begin_probe(&self, address: SocketAddr, interval: Millis, now: Millis) -> bool {
        begin_due(&mut self.probe_times.borrow_mut(), address, interval, now)
    }

    /// Returns whether a check that a replica accepts connections is due, that is if the last one was
    /// at least `interval` milliseconds ago. Records the check in that case.
    pub fn begin_check(&self, address: SocketAddr, interval: Millis, now: Millis) -> bool {
        begin_due(&mut self.check_times.borrow_mut(), address, interval, now)
    }

    /// Returns the time of the last call of [`probe_replicas`], or `None` before the first.
    pub fn last_probe(&self) -> Option<Millis> {
        self.last_probe.get()
    }
}

/// Returns whether the last time of an address is at least `interval` milliseconds ago, and
/// replaces it in that case.
fn begin_due(
    times: &mut HashMap<SocketAddr, Millis>,
    address: SocketAddr,
    interval: Millis,
    now: Millis,
) -> bool {
    let last = times.get(&address).copied();
    let is_due = last.is_none_or(|last| now.saturating_sub(last) >= interval);
    if is_due {
        times.insert(address, now);
    }
    is_due
}

/// A cached state, and the time at which it was last requested.
#[derive(Clone, Debug)]
struct CachedReport {
    requested_at: Millis,
    state: ReportState,
}

/// What is known of the state of an engine.
#[derive(Clone, Debug)]
pub enum ReportState {
    /// The first report has been requested and has not arrived yet.
    Pending,
    /// The last call failed, or its response was not a valid report.
    NoResponse,
    /// The latest report.
    Received(Rc<EngineReport>),
}

/// Returns a recent report of an engine: the cached one if it was requested less than
/// `REPORT_TTL` ago, otherwise a new one. While a new one is being fetched, other callers get the
/// previous state.
pub async fn recent_report(relay: &Relay, address: SocketAddr) -> ReportState {
    let now = now_millis();
    let cached = relay.reports.reports.borrow().get(&address).cloned();
    let requested_at = cached.as_ref().map(|cached| cached.requested_at);
    let state = cached.map_or(ReportState::Pending, |cached| cached.state);
    if requested_at.is_some_and(|requested_at| now.saturating_sub(requested_at) < REPORT_TTL) {
        return state;
    }
    cache_report(relay, address, now, state);
    let state = match fetch_report(relay, address).await {
        Some(report) => ReportState::Received(Rc::new(report)),
        None => ReportState::NoResponse,
    };
    cache_report(relay, address, now, state.clone());
    state
}

fn cache_report(relay: &Relay, address: SocketAddr, requested_at: Millis, state: ReportState) {
    relay.reports.reports.borrow_mut().insert(address, CachedReport { requested_at, state });
}

/// Fetches the report of an engine. Returns `None` if the call fails, its response is not a valid
/// report, or the report names an earlier or an implausible start of the replica.
pub async fn fetch_report(relay: &Relay, address: SocketAddr) -> Option<EngineReport> {
    let (status, body) = call(relay, address, Method::GET, REPORT_PATH, Vec::new()).await.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    match decode_report(&body) {
        Ok(report) => accept_report_start(relay, address, report.started_at).then_some(report),
        Err(error) => {
            tracing::warn!(event = "report-unreadable", %address, %error);
            None
        }
    }
}

/// Orders an engine to load other layers. The engine accepts the order only if it has taken
/// `orders_accepted` orders so far.
pub async fn order_layers(
    relay: &Relay,
    address: SocketAddr,
    range: LayerRange,
    unload_mode: UnloadMode,
    orders_accepted: u64,
) -> OrderOutcome {
    count(&relay.counts.orders);
    order(relay, address, encode_place_order(range, unload_mode, orders_accepted)).await
}

/// Orders the first engine of a request's path to continue over another path.
pub async fn order_repath(relay: &Relay, attempt_id: &str, path: &[PathStage]) -> OrderOutcome {
    count(&relay.counts.repaths);
    order(relay, path[0].address, encode_repath_order(attempt_id, path)).await
}

async fn order(relay: &Relay, address: SocketAddr, body: Vec<u8>) -> OrderOutcome {
    match call(relay, address, Method::POST, ORDER_PATH, body).await {
        Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => OrderOutcome::Taken,
        Ok((status, body)) => OrderOutcome::Refused(status.as_u16(), decode_refusal(&body)),
        Err(SendError::NotSent { .. } | SendError::Throttled { .. }) => OrderOutcome::NotSent,
        Err(SendError::NoResponse { .. }) => OrderOutcome::Unknown,
    }
}

/// Probes replicas that may be lost, in the background. A replica found lost is avoided from then
/// on, and running streams check their paths. A replica that was probed recently is not probed
/// again.
pub fn probe_replicas(relay: &Rc<Relay>, addresses: impl Iterator<Item = SocketAddr>) {
    let now = now_millis();
    relay.reports.last_probe.set(Some(now));
    let peers_nearby = relay.state.borrow().peers.known_count_in(&relay.settings.data_centre);
    let interval = PROBE_INTERVAL * (1 + peers_nearby as Millis);
    let due: Vec<SocketAddr> =
        addresses.filter(|address| relay.reports.begin_probe(*address, interval, now)).collect();
    if due.is_empty() {
        return;
    }
    let relay = relay.clone();
    spawn_local(async move {
        let outcomes = join_all(due.iter().map(|address| probe(&relay, *address))).await;
        let silence_counts = silence_is_conclusive(&outcomes);
        for (address, outcome) in due.into_iter().zip(outcomes) {
            apply_probe(&relay, address, outcome, silence_counts);
        }
    });
}

/// Avoids a replica that a probe has shown to be lost.
fn apply_probe(relay: &Relay, address: SocketAddr, outcome: ProbeOutcome, silence_counts: bool) {
    let loss = match &outcome {
        ProbeOutcome::Reached => return,
        ProbeOutcome::Refused(detail) => Some(detail.as_str()),
        ProbeOutcome::Silent if silence_counts => Some("no response to a probe"),
        ProbeOutcome::Silent | ProbeOutcome::Unclear => None,
    };
    let instance = relay.instance_at(address);
    let replica = instance.as_ref().map(ReplicaInstance::to_string);
    tracing::info!(event = "probe-failed", %address, replica, end = ?outcome, silence_counts);
    if let (Some(instance), Some(why)) = (instance, loss) {
        relay.avoid(&instance, why);
    }
}

/// Probes a replica and returns whether it may be reachable. An unclear outcome counts as
/// reachable.
pub async fn is_reachable(relay: &Relay, address: SocketAddr) -> bool {
    matches!(probe(relay, address).await, ProbeOutcome::Reached | ProbeOutcome::Unclear)
}

async fn probe(relay: &Relay, address: SocketAddr) -> ProbeOutcome {
    let is_local = Cell::new(false);
    let outcome = probe_with_retry(async |new_connection| {
        let sent = exchange(relay, address, Method::GET, REPORT_PATH, Vec::new(), new_connection);
        let sent = sent.await;
        is_local.set(sent.as_ref().is_err_and(SendError::is_local));
        sent.map(drop)
    });
    match outcome.await {
        ProbeOutcome::Refused(_) if is_local.get() => ProbeOutcome::Unclear,
        outcome => outcome,
    }
}

fn record_crash_at(relay: &Relay, address: SocketAddr) {
    if let Some(instance) = relay.instance_at(address) {
        record_crash(relay, &instance);
    }
}

async fn call(
    relay: &Relay,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), SendError> {
    let timed_out = || SendError::NoResponse { detail: "no response in time".to_owned() };
    let exchange = exchange(relay, address, method, path, body, false);
    timeout(CALL_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(timed_out()))
}

async fn exchange(
    relay: &Relay,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    new_connection: bool,
) -> Result<(StatusCode, Bytes), SendError> {
    let request = engine_request(address, method, path, body);
    let sent_at = now_millis();
    let sent = relay.pool.send(address, request, new_connection, || Ok(())).await;
    if sent.as_ref().is_err_and(SendError::is_refused) {
        record_crash_at(relay, address);
    }
    let (response, connection) = sent?;
    let (parts, body) = response.into_parts();
    let headers = read_response_headers(&parts.headers);
    apply_notices_at(
        relay,
        address,
        ReplicaResponse { status: parts.status, headers: &headers, sent_at, is_own: true },
    );
    let body = read_body(&relay.buffers, body, MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| SendError::NoResponse { detail: error.to_string() })?;
    if !headers.closes_connection {
        connection.return_to(&relay.pool, headers.keep_alive);
    }
    Ok((parts.status, body))
}
