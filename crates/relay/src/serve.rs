//! Serving callers and readiness.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use switchfold_kernel::clock::now_millis;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

use crate::{
    request::handle,
    responses::{RelayResponse, full_body},
    shutdown::IDLE_CLOSE_DELAY,
    state::Relay,
};

/// Time that a kept connection may rest where the configuration is not known yet.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Bytes of headers where the configuration is not known yet.
const DEFAULT_HEADER_BYTES: usize = 16_384;

/// Time that a stopping relay goes on at least: the balancer asks for readiness once a second, and
/// takes a VM out after two misses.
const LEAST_STOP: Duration = Duration::from_millis(3_000);

/// Serves callers until the relay stops.
pub async fn serve_callers(relay: Rc<Relay>, listener: TcpListener) {
    let stopped = stopped(&relay);
    tokio::pin!(stopped);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.as_mut() => return,
        };
        match accepted {
            Ok((stream, _)) => drop(spawn_local(serve_connection(relay.clone(), stream))),
            Err(error) => {
                tracing::warn!(event = "accept-failed", %error);
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Waits for the end of a planned stop: nothing is in flight and callers had time to leave, or the time
/// is nearly up.
async fn stopped(relay: &Relay) {
    relay.shutdown.wait_until_stopping().await;
    let left = relay.shutdown.deadline().saturating_sub(now_millis());
    sleep(LEAST_STOP.min(Duration::from_millis(left))).await;
    const STEP: Duration = Duration::from_millis(50);
    while relay.shutdown.in_flight() > 0 && now_millis() < relay.shutdown.deadline() {
        sleep(STEP).await;
    }
}

async fn serve_connection(relay: Rc<Relay>, stream: TcpStream) {
    let _without_delay = stream.set_nodelay(true);
    let limits = relay.config().and_then(|config| config.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |limits| Duration::from_millis(limits.idle_timeout));
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
    let service = service_fn(|request: Request<Incoming>| {
        let relay = relay.clone();
        async move { Ok::<RelayResponse, Infallible>(handle(relay, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = idle_closes(&relay) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "connection-ended", %error);
    }
}

/// Waits until a stopping relay closes its idle connections.
async fn idle_closes(relay: &Relay) {
    relay.shutdown.wait_until_stopping().await;
    sleep(Duration::from_millis(IDLE_CLOSE_DELAY)).await;
}

/// Answers questions for readiness until the process ends.
pub async fn serve_readiness(relay: Rc<Relay>, listener: TcpListener) {
    serve_simple(listener, move || readiness(is_ready(&relay))).await;
}

/// Serves metrics until the process ends.
pub async fn serve_metrics(relay: Rc<Relay>, listener: TcpListener) {
    serve_simple(listener, move || match relay.metrics.render(&relay) {
        Ok(text) => Response::new(full_body(Bytes::from(text))),
        Err(error) => {
            tracing::error!(event = "metrics-unreadable", %error);
            let mut answer = Response::new(full_body(Bytes::new()));
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            answer
        }
    })
    .await;
}

/// Gives every request the same answer, made anew for each.
async fn serve_simple(listener: TcpListener, answer: impl Fn() -> RelayResponse + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let answer = answer();
                async move { Ok::<RelayResponse, Infallible>(answer) }
            });
            let _ended =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn readiness(ready: bool) -> RelayResponse {
    let mut answer = Response::new(full_body(Bytes::new()));
    if !ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

/// A relay is ready while it can let requests in: it knows the configuration and the replicas, and is
/// not stopping. One that lost the store stays ready as long as keys may be let in, unless others still
/// have the store: the balancer needs two seconds to move new callers to them.
pub fn is_ready(relay: &Relay) -> bool {
    let now = now_millis();
    let aside = relay.should_redirect_callers(now);
    relay.record_redirecting(aside, now);
    if aside {
        return false;
    }
    let state = relay.state.borrow();
    let knows = state.config.get().is_some() && !state.fleet.view.is_empty();
    let bound = relay.bounds.borrow().revoke();
    knows && !relay.shutdown.is_stopping() && state.config_lease.is_valid(bound, now)
}
