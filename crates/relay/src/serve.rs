//! HTTP servers for callers, readiness checks and metrics.

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

/// Idle timeout of a connection while the configuration is unknown.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of the headers, in bytes, while the configuration is unknown.
const DEFAULT_MAX_HEADER_BYTES: usize = 16_384;

/// Minimum duration of a shutdown: the load balancer checks readiness once a second and removes a
/// VM after two failed checks.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(3_000);

/// Serves callers until the shutdown is complete.
pub async fn serve_callers(relay: Rc<Relay>, listener: TcpListener) {
    let shutdown = wait_until_stopped(&relay);
    tokio::pin!(shutdown);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.as_mut() => return,
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

/// Waits until a shutdown is complete: no request is in flight and callers had time to move to
/// other relays, or the shutdown deadline has passed.
async fn wait_until_stopped(relay: &Relay) {
    relay.shutdown.wait_until_stopping().await;
    let remaining = relay.shutdown.deadline().saturating_sub(now_millis());
    sleep(MIN_SHUTDOWN_TIME.min(Duration::from_millis(remaining))).await;
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    while relay.shutdown.in_flight() > 0 && now_millis() < relay.shutdown.deadline() {
        sleep(POLL_INTERVAL).await;
    }
}

async fn serve_connection(relay: Rc<Relay>, stream: TcpStream) {
    let _nodelay = stream.set_nodelay(true);
    let limits = relay.config().and_then(|config| config.limits);
    let idle_timeout =
        limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| Duration::from_millis(limits.idle_timeout));
    let max_header_bytes =
        limits.map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes);
    let service = service_fn(|request: Request<Incoming>| {
        let relay = relay.clone();
        async move { Ok::<RelayResponse, Infallible>(handle(relay, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_header_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = wait_until_idle_close(&relay) => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "connection-ended", %error);
    }
}

/// Waits for the time in a shutdown at which idle connections are closed.
async fn wait_until_idle_close(relay: &Relay) {
    relay.shutdown.wait_until_stopping().await;
    sleep(Duration::from_millis(IDLE_CLOSE_DELAY)).await;
}

/// Serves the readiness endpoint until the process ends.
pub async fn serve_readiness(relay: Rc<Relay>, listener: TcpListener) {
    serve_each(listener, move || readiness_response(is_ready(&relay))).await;
}

/// Serves the metrics endpoint until the process ends.
pub async fn serve_metrics(relay: Rc<Relay>, listener: TcpListener) {
    serve_each(listener, move || match relay.metrics.render(&relay) {
        Ok(text) => Response::new(full_body(Bytes::from(text))),
        Err(error) => {
            tracing::error!(event = "metrics-unreadable", %error);
            let mut response = Response::new(full_body(Bytes::new()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    })
    .await;
}

/// Responds to every request on `listener` with the result of `respond`.
async fn serve_each(listener: TcpListener, respond: impl Fn() -> RelayResponse + 'static) {
    let respond = Rc::new(respond);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let respond = respond.clone();
        spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let response = respond();
                async move { Ok::<RelayResponse, Infallible>(response) }
            });
            let _ended =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn readiness_response(is_ready: bool) -> RelayResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns whether the relay can admit requests: it knows the configuration and the replicas, and
/// is not shutting down. A relay without contact to the store stays ready for as long as it may
/// admit keys, unless other relays still have contact: the load balancer needs two seconds to move
/// new callers to them.
pub fn is_ready(relay: &Relay) -> bool {
    let now = now_millis();
    let redirects = relay.should_redirect_callers(now);
    relay.record_redirecting(redirects, now);
    if redirects {
        return false;
    }
    let state = relay.state.borrow();
    let has_state = state.config.get().is_some() && !state.fleet.view.is_empty();
    let max_age = relay.bounds.borrow().revoke();
    has_state && !relay.shutdown.is_stopping() && state.config_lease.is_valid(max_age, now)
}
