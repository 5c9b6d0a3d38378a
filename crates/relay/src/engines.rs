//! Calls to the engines' own interface: reports, orders, and probes of whether a replica is there.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    engine::{
        EngineReport, ORDER_PATH, REPORT_PATH, decode_report, engine_request, place_order,
        repath_order,
    },
    headers::read_answer,
};
use switchfold_router::{Millis, chain::PathPart, cover::GiveUpRule, fleet::LayerRange};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{counts::count, pool::SendError, state::Relay};

/// Time for a report or an order: links take under a millisecond, a busy engine answers all the same.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Largest answer, in bytes.
const MOST_ANSWER: usize = 1 << 20;

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// It began, or what it asks for holds already.
    Taken,
    /// It does not fit the engine's state.
    Refused(u16),
    /// It never left.
    NotSent,
    /// It may have been taken, or may be carried out later.
    Unknown,
}

/// Time for which a report serves all who ask, in milliseconds: it is some hundred milliseconds old
/// anyway, and each question has a price.
const REPORT_AGE: Millis = 80;

/// Time that a probe waits for an answer: fifty times what a link takes, and less than half of the usual
/// longest pause between events, so that a stream can go on elsewhere in time.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// Time after which a probe asks once more, over a new connection: a lost packet is sent again only
/// after 200 ms.
const PROBE_AGAIN: Duration = Duration::from_millis(20);

/// Lateness of a probe's own timer from which its silence proves nothing: this process stood still.
const PROBE_LATE: Duration = Duration::from_millis(20);

/// Time between two probes of one replica, in milliseconds: under load many streams are quiet at once,
/// and each probe has a price.
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

    /// When a replica was last probed because requests over it were quiet.
    pub fn last_probe(&self) -> Option<Millis> {
        self.last_probe.get()
    }
}

/// What a probe of a replica showed.
#[derive(Clone, Debug, Eq, PartialEq)]
enum ProbeEnd {
    /// It answered.
    Reached,
    /// It did not, and this process was not late.
    Lost(String),
    /// This process was late itself.
    Unclear,
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
    Asking,
    /// It was asked and did not answer as its interface says.
    Silent,
    /// Its report.
    Answered(Rc<EngineReport>),
}

/// Gives an engine's report, asked for lately by anyone.
pub async fn recent_report(relay: &Relay, address: SocketAddr) -> ReportState {
    let now = now_millis();
    let cached = relay.reports.reports.borrow().get(&address).cloned();
    let asked = cached.as_ref().map(|cached| cached.asked);
    let state = cached.map_or(ReportState::Asking, |cached| cached.state);
    if asked.is_some_and(|asked| now.saturating_sub(asked) < REPORT_AGE) {
        return state;
    }
    keep_report(relay, address, now, state);
    let state = match ask_report(relay, address).await {
        Some(report) => ReportState::Answered(Rc::new(report)),
        None => ReportState::Silent,
    };
    keep_report(relay, address, now, state.clone());
    state
}

fn keep_report(relay: &Relay, address: SocketAddr, asked: Millis, state: ReportState) {
    relay.reports.reports.borrow_mut().insert(address, CachedReport { asked, state });
}

/// Asks an engine for its report; nothing where it does not answer as its interface says.
pub async fn ask_report(relay: &Relay, address: SocketAddr) -> Option<EngineReport> {
    let (status, body) = call(relay, address, Method::GET, REPORT_PATH, Vec::new()).await.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    match decode_report(&body) {
        Ok(report) => Some(report),
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
    give_up: GiveUpRule,
    orders_taken: u64,
) -> OrderEnd {
    count(&relay.counts.orders);
    order(relay, address, place_order(range, give_up, orders_taken)).await
}

/// Orders the first engine of a request's path to go on over another path.
pub async fn order_repath(relay: &Relay, attempt_id: &str, path: &[PathPart]) -> OrderEnd {
    count(&relay.counts.repaths);
    order(relay, path[0].address, repath_order(attempt_id, path)).await
}

async fn order(relay: &Relay, address: SocketAddr, body: Vec<u8>) -> OrderEnd {
    match call(relay, address, Method::POST, ORDER_PATH, body).await {
        Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => OrderEnd::Taken,
        Ok((status, _)) => OrderEnd::Refused(status.as_u16()),
        Err(SendError::NotSent { .. }) => OrderEnd::NotSent,
        Err(SendError::Broken { .. }) => OrderEnd::Unknown,
    }
}

/// Probes replicas that may be lost, in the background; one that does not answer is kept away from, and
/// running streams are told. Whoever asks for the same replica meanwhile shares the probe.
pub fn probe_replicas(relay: &Rc<Relay>, addresses: impl Iterator<Item = SocketAddr>) {
    let now = now_millis();
    relay.reports.last_probe.set(Some(now));
    for address in addresses {
        let last = relay.reports.probed.borrow().get(&address).copied();
        if last.is_some_and(|last| now.saturating_sub(last) < PROBE_EVERY) {
            continue;
        }
        relay.reports.probed.borrow_mut().insert(address, now);
        let relay = relay.clone();
        spawn_local(async move {
            let end = probe(&relay, address).await;
            if end == ProbeEnd::Reached {
                return;
            }
            let id = relay.beliefs.borrow().fleet.at(address).map(|replica| replica.id.clone());
            let took_ms = now_millis() - now;
            tracing::info!(event = "probe-failed", %address, replica = id, ?end, took_ms);
            if let (Some(id), ProbeEnd::Lost(why)) = (id, end) {
                relay.suspect(&id, &why);
            }
        });
    }
}

/// Whether a replica answers, as far as a probe can tell.
pub async fn answers(relay: &Relay, address: SocketAddr) -> bool {
    !matches!(probe(relay, address).await, ProbeEnd::Lost(_))
}

/// Asks for a report twice, the second time over a new connection, and waits for either.
async fn probe(relay: &Relay, address: SocketAddr) -> ProbeEnd {
    let begun = Instant::now();
    let asking = ask_twice(relay, address);
    match timeout(PROBE_TIME, asking).await {
        Ok(Ok(())) => ProbeEnd::Reached,
        Ok(Err(error)) => ProbeEnd::Lost(error.to_string()),
        Err(_) if begun.elapsed() > PROBE_TIME + PROBE_LATE => ProbeEnd::Unclear,
        Err(_) => ProbeEnd::Lost("no answer to a probe".to_owned()),
    }
}

async fn ask_twice(relay: &Relay, address: SocketAddr) -> Result<(), SendError> {
    let first = exchange(relay, address, Method::GET, REPORT_PATH, Vec::new(), false);
    tokio::pin!(first);
    let answered = tokio::select! {
        answered = first.as_mut() => Some(answered),
        () = sleep(PROBE_AGAIN) => None,
    };
    let again = exchange(relay, address, Method::GET, REPORT_PATH, Vec::new(), true);
    match answered {
        Some(Ok(_)) => Ok(()),
        Some(Err(_)) => again.await.map(drop),
        None => tokio::select! {
            Ok(_) = first => Ok(()),
            answered = again => answered.map(drop),
        },
    }
}

async fn call(
    relay: &Relay,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), SendError> {
    let late = || SendError::Broken { detail: "no answer in time".to_owned() };
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
    let (response, link) = relay.pool.send(address, request, fresh).await?;
    let (parts, body) = response.into_parts();
    let marks = read_answer(&parts.headers);
    let body = Limited::new(body, MOST_ANSWER).collect().await;
    let body = body.map_err(|error| SendError::Broken { detail: error.to_string() })?;
    if !marks.closes {
        link.give_back(&relay.pool, marks.keep_alive);
    }
    Ok((parts.status, body.to_bytes()))
}
