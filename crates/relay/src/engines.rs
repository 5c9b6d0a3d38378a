//! Calls to the engines' own interface: reports, orders, and probes of whether a replica is there.

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
use http_body_util::{BodyExt, Limited};
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
    counts::count,
    notices::{ReplicaResponse, apply_notices_at},
    pool::SendError,
    probes::{ProbeOutcome, probe_with_retry, silence_is_conclusive},
    replicas::accept_report_start,
    state::Relay,
};

/// Time for a report or an order: links take under a millisecond, a busy engine answers all the same.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Largest answer, in bytes.
const MOST_ANSWER: usize = 1 << 20;

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It began, or what it asks for holds already.
    Taken,
    /// It does not fit the engine's state, or that of the replica at this address.
    Refused(u16, Option<SocketAddr>),
    /// It never left.
    NotSent,
    /// It may have been taken, or may be carried out later.
    Unknown,
}

/// Time for which a report serves all who ask, in milliseconds: it is some hundred milliseconds old
/// anyway, and each question has a price.
const REPORT_AGE: Millis = 80;

/// Time between two probes of one replica by the relays of a data centre together, in milliseconds: under
/// load many streams are quiet at once, and each probe has a price. What one of them finds lost, it tells
/// the others at once, so each probes less often the more they are.
const PROBE_EVERY: Millis = 300;

/// Latest reports and probes, by address.
#[derive(Debug, Default)]
pub struct ReportCache {
    reports: RefCell<HashMap<SocketAddr, CachedReport>>,
    last_probe: Cell<Option<Millis>>,
    probed: RefCell<HashMap<SocketAddr, Millis>>,
}

impl ReportCache {
    /// Forgets what a replica told that is gone.
    pub fn forget(&self, address: SocketAddr) {
        self.reports.borrow_mut().remove(&address);
        self.probed.borrow_mut().remove(&address);
    }

    /// Notes a probe of a replica where none was made for `pause` milliseconds; tells whether it is to be
    /// made.
    fn begin_probe(&self, address: SocketAddr, pause: Millis, now: Millis) -> bool {
        let mut probed = self.probed.borrow_mut();
        let last = probed.get(&address).copied();
        let due = last.is_none_or(|last| now.saturating_sub(last) >= pause);
        if due {
            probed.insert(address, now);
        }
        due
    }

    /// When a replica was last probed because requests over it were quiet.
    pub fn last_probe(&self) -> Option<Millis> {
        self.last_probe.get()
    }
}

#[derive(Clone, Debug)]
struct CachedReport {
    asked: Millis,
    state: ReportState,
}

/// What is known of an engine's state.
#[derive(Clone, Debug)]
pub enum ReportState {
    /// It is being asked, and there is no earlier report.
    Pending,
    /// It was asked and did not answer as its interface says.
    NoResponse,
    /// Its report.
    Received(Rc<EngineReport>),
}

/// Gives an engine's report, asked for lately by anyone.
pub async fn recent_report(relay: &Relay, address: SocketAddr) -> ReportState {
    let now = now_millis();
    let cached = relay.reports.reports.borrow().get(&address).cloned();
    let asked = cached.as_ref().map(|cached| cached.asked);
    let state = cached.map_or(ReportState::Pending, |cached| cached.state);
    if asked.is_some_and(|asked| now.saturating_sub(asked) < REPORT_AGE) {
        return state;
    }
    keep_report(relay, address, now, state);
    let state = match fetch_report(relay, address).await {
        Some(report) => ReportState::Received(Rc::new(report)),
        None => ReportState::NoResponse,
    };
    keep_report(relay, address, now, state.clone());
    state
}

fn keep_report(relay: &Relay, address: SocketAddr, asked: Millis, state: ReportState) {
    relay.reports.reports.borrow_mut().insert(address, CachedReport { asked, state });
}

/// Asks an engine for its report; nothing where it does not answer as its interface says.
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

/// Orders an engine to hold other layers, where it took `orders_taken` orders so far.
pub async fn order_layers(
    relay: &Relay,
    address: SocketAddr,
    range: LayerRange,
    give_up: UnloadMode,
    orders_taken: u64,
) -> OrderOutcome {
    count(&relay.counts.orders);
    order(relay, address, encode_place_order(range, give_up, orders_taken)).await
}

/// Orders the first engine of a request's path to go on over another path.
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

/// Probes replicas that may be lost, in the background; one that does not answer is kept away from, and
/// running streams are told. Whoever asks for the same replica meanwhile shares the probe.
pub fn probe_replicas(relay: &Rc<Relay>, addresses: impl Iterator<Item = SocketAddr>) {
    let now = now_millis();
    relay.reports.last_probe.set(Some(now));
    let near = relay.state.borrow().peers.known_count_in(&relay.settings.data_centre);
    let pause = PROBE_EVERY * (1 + near as Millis);
    let due: Vec<SocketAddr> =
        addresses.filter(|address| relay.reports.begin_probe(*address, pause, now)).collect();
    if due.is_empty() {
        return;
    }
    let relay = relay.clone();
    spawn_local(async move {
        let ends = join_all(due.iter().map(|address| probe(&relay, *address))).await;
        let silence_counts = silence_is_conclusive(&ends);
        for (address, end) in due.into_iter().zip(ends) {
            take_probe(&relay, address, end, silence_counts);
        }
    });
}

/// Keeps away from a replica that a probe showed to be lost.
fn take_probe(relay: &Relay, address: SocketAddr, end: ProbeOutcome, silence_counts: bool) {
    let lost = match &end {
        ProbeOutcome::Reached => return,
        ProbeOutcome::Refused(detail) => Some(detail.as_str()),
        ProbeOutcome::Silent if silence_counts => Some("no answer to a probe"),
        ProbeOutcome::Silent | ProbeOutcome::Unclear => None,
    };
    let instance =
        relay.state.borrow().fleet.view.at_address(address).map(|replica| replica.instance.clone());
    let replica = instance.as_ref().map(ReplicaInstance::to_string);
    tracing::info!(event = "probe-failed", %address, replica, ?end, silence_counts);
    if let (Some(instance), Some(why)) = (instance, lost) {
        relay.suspect(&instance, why);
    }
}

/// Whether a replica answers, as far as a probe can tell.
pub async fn is_reachable(relay: &Relay, address: SocketAddr) -> bool {
    matches!(probe(relay, address).await, ProbeOutcome::Reached | ProbeOutcome::Unclear)
}

async fn probe(relay: &Relay, address: SocketAddr) -> ProbeOutcome {
    probe_with_retry(async |fresh| {
        exchange(relay, address, Method::GET, REPORT_PATH, Vec::new(), fresh).await.map(drop)
    })
    .await
}

async fn call(
    relay: &Relay,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), SendError> {
    let late = || SendError::NoResponse { detail: "no answer in time".to_owned() };
    let exchange = exchange(relay, address, method, path, body, false);
    timeout(CALL_TIME, exchange).await.unwrap_or_else(|_| Err(late()))
}

async fn exchange(
    relay: &Relay,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    fresh: bool,
) -> Result<(StatusCode, Bytes), SendError> {
    let request = engine_request(address, method, path, body);
    let sent = now_millis();
    let (response, link) = relay.pool.send(address, request, fresh, || Ok(())).await?;
    let (parts, body) = response.into_parts();
    let marks = read_response_headers(&parts.headers);
    apply_notices_at(
        relay,
        address,
        ReplicaResponse { status: parts.status, headers: &marks, sent_at: sent, is_own: true },
    );
    let body = Limited::new(body, MOST_ANSWER).collect().await;
    let body = body.map_err(|error| SendError::NoResponse { detail: error.to_string() })?;
    if !marks.closes_connection {
        link.return_to(&relay.pool, marks.keep_alive);
    }
    Ok((parts.status, body.to_bytes()))
}
