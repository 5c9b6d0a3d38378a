//! Calls to the engines' own interface: reports and orders.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

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
use switchfold_router::{Millis, chain::PathPart, fleet::LayerRange};
use tokio::time::timeout;

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

/// Latest reports, by address.
#[derive(Debug, Default)]
pub struct ReportCache {
    reports: RefCell<HashMap<SocketAddr, CachedReport>>,
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
    orders_taken: u64,
) -> OrderEnd {
    count(&relay.counts.orders);
    order(relay, address, place_order(range, orders_taken)).await
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

async fn call(
    relay: &Relay,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), SendError> {
    let exchange = async {
        let request = engine_request(address, method, path, body);
        let (response, link) = relay.pool.send(address, request, false).await?;
        let (parts, body) = response.into_parts();
        let marks = read_answer(&parts.headers);
        let body = Limited::new(body, MOST_ANSWER).collect().await;
        let body = body.map_err(|error| SendError::Broken { detail: error.to_string() })?;
        if !marks.closes {
            link.give_back(&relay.pool, marks.keep_alive);
        }
        Ok((parts.status, body.to_bytes()))
    };
    let late = || SendError::Broken { detail: "no answer in time".to_owned() };
    timeout(CALL_TIME, exchange).await.unwrap_or_else(|_| Err(late()))
}
