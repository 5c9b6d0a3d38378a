//! HTTP servers for callers, readiness checks and metrics.

use std::{
    cell::Cell, collections::VecDeque, convert::Infallible, pin::pin, rc::Rc, sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use switchfold_kernel::{
    clock::now_millis,
    connection::{CloseReason, ClosedConnection, ConnectionLimits, ShutdownDelays, serve_watched},
    http::take_queued,
};
use switchfold_router::{Millis, intake::MAX_STARTING};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    task::{AbortHandle, spawn_local, yield_now},
    time::{Instant, sleep},
};

use crate::{
    caller_connection::CallerConnection,
    counts::count,
    readiness::is_ready,
    request::handle,
    responses::{RelayResponse, full_body},
    shutdown::{CountGuard, IDLE_CLOSE_DELAY, LAST_USE_DELAY},
    state::Relay,
};

/// Minimum duration of a shutdown: the load balancer checks readiness once a second and removes a
/// VM after two failed checks.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(3_000);

/// Number and duration of the turns that due responses still get when the process should have exited.
const LAST_TURNS: u32 = 20;
const LAST_TURN: Duration = Duration::from_millis(5);

/// Serves callers until the shutdown is complete.
pub async fn serve_callers(relay: Rc<Relay>, listener: TcpListener) {
    let spawn = |stream, start: Option<OwnedSemaphorePermit>| {
        let evicted = Rc::new(Notify::new());
        let connection = Rc::new(CallerConnection::new(&relay, evicted.clone()));
        let new_connection = CountGuard::for_new_connection(&relay);
        let serving = serve_caller(relay.clone(), stream, connection, evicted, new_connection);
        let (relay, accepted_at) = (relay.clone(), Instant::now());
        spawn_local(async move {
            wait_for_turn(&relay, accepted_at).await;
            drop(start);
            serving.await;
        });
    };
    let starts = Arc::new(Semaphore::new(MAX_STARTING));
    let accept = async || {
        let start = starts.clone().acquire_owned().await.ok();
        listener.accept().await.map(|(stream, _)| (stream, start))
    };
    {
        let mut drained = pin!(wait_until_drained(&relay));
        loop {
            let accepted = tokio::select! {
                accepted = accept() => accepted,
                () = drained.as_mut() => break,
            };
            match accepted {
                Ok((stream, start)) => {
                    count(&relay.counts.accepted);
                    match takes_connection(&relay) && make_room(&relay) {
                        true => spawn(stream, start),
                        false => shed(&relay, stream),
                    }
                }
                Err(error) => {
                    count(&relay.counts.accept_errors);
                    if relay.accept_error_lines.admit(now_millis()) {
                        let open = relay.shutdown.open_connections();
                        tracing::warn!(event = "accept-failed", %error, open);
                    }
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }
    // Closing the listener would reset the connections in its queue, with the requests on them.
    take_queued(listener).into_iter().for_each(|stream| spawn(stream, None));
    let Some(schedule) = relay.shutdown.schedule() else { return };
    wait_while(&relay, schedule.exit_by, |relay| relay.shutdown.open_connections() > 0).await;
    wait_while(&relay, schedule.killed_at, |relay| relay.shutdown.unanswered() > 0).await;
    // After a pause that lasted beyond these times, the due responses have had no turn yet.
    for _ in 0..LAST_TURNS {
        if relay.shutdown.unanswered() == 0 {
            break;
        }
        sleep(LAST_TURN).await;
    }
}

/// Waits until a shutdown needs no new connections any more: no request is in flight and callers
/// had time to move to other relays, or the last responses are due.
async fn wait_until_drained(relay: &Relay) {
    relay.shutdown.wait_until_stopping().await;
    let answer_by = relay.shutdown.schedule().map_or(0, |schedule| schedule.answer_by);
    let remaining = answer_by.saturating_sub(now_millis());
    sleep(MIN_SHUTDOWN_TIME.min(Duration::from_millis(remaining))).await;
    wait_while(relay, answer_by, |relay| relay.shutdown.in_flight() > 0).await;
}

/// Waits while a condition holds, at most until `end`.
async fn wait_while(relay: &Relay, end: Millis, condition: impl Fn(&Relay) -> bool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    while condition(relay) && now_millis() < end {
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether the relay can serve one more connection in time.
fn takes_connection(relay: &Relay) -> bool {
    relay.intake.borrow_mut().takes(relay.shutdown.load(), now_millis())
}

/// Makes room for one more connection, for which another one may be closed. Returns whether there is
/// room.
fn make_room(relay: &Relay) -> bool {
    let now = now_millis();
    let room = relay.connections.borrow_mut().make_room(now);
    let Ok(evicted) = room else { return false };
    if let Some(evicted) = evicted {
        evicted.notify_one();
        count(&relay.counts.evicted_connections);
        if relay.eviction_lines.admit(now) {
            let open = relay.shutdown.open_connections();
            tracing::warn!(event = "connections-evicted", open);
        }
    }
    true
}

/// Closes a connection before anything is read from it, so that its caller tries another relay.
fn shed(relay: &Rc<Relay>, stream: TcpStream) {
    drop(stream);
    count(&relay.counts.shed_connections);
    let now = now_millis();
    if relay.shed_lines.admit(now) {
        let limit = relay.intake.borrow().limit();
        tracing::warn!(event = "connections-shed", limit, load = relay.shutdown.load());
    }
    // The tasks of other connections measure the wait as well, but none of them may be taken.
    if !relay.measures_wait.replace(true) {
        let (relay, due_at) = (relay.clone(), Instant::now());
        spawn_local(async move {
            wait_for_turn(&relay, due_at).await;
            relay.measures_wait.set(false);
        });
    }
}

/// Waits until all tasks that are due have had a turn of the thread, and records how long that took.
/// New tasks alone would go first.
async fn wait_for_turn(relay: &Relay, due_at: Instant) {
    yield_now().await;
    relay.record_wait(due_at.elapsed());
}

async fn serve_caller(
    relay: Rc<Relay>,
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    evicted: Rc<Notify>,
    new_connection: CountGuard,
) {
    let _open = CountGuard::for_connection(&relay);
    let new_connection = Cell::new(Some(new_connection));
    let _nodelay = stream.set_nodelay(true);
    let limits = |waited: Duration| {
        let since = now_millis().saturating_sub(waited.as_millis() as Millis);
        let limits = relay.caller_limits(since);
        ConnectionLimits {
            max_headers: None,
            max_header_bytes: limits.max_header_bytes,
            idle_timeout: Duration::from_millis(limits.idle_timeout),
            header_timeout: Duration::from_millis(limits.header_timeout),
        }
    };
    let delays = ShutdownDelays {
        after_signal: Duration::from_millis(IDLE_CLOSE_DELAY),
        idle: Duration::from_millis(LAST_USE_DELAY),
    };
    let on_write = |is_unsent| connection.record_unsent(is_unsent);
    let handler = |request| {
        drop(new_connection.take());
        // The HTTP library has room for the returned future on each connection, with a request or not.
        let handling = Box::pin(handle(relay.clone(), &connection, request));
        async move { Ok::<RelayResponse, Infallible>(handling.await) }
    };
    let stopping = relay.shutdown.wait_until_stopping();
    let closed = tokio::select! {
        // A request that has just arrived is not read any more.
        biased;
        () = evicted.notified() => {
            connection.end_evicted();
            return;
        }
        closed = serve_watched(stream, limits, delays, stopping, on_write, handler) => closed,
    };
    let in_progress = connection.end_requests(closed.error.as_ref());
    log_closed(&relay, &connection, &closed, in_progress);
}

/// Logs how a connection ended, unless it was closed between requests.
fn log_closed(
    relay: &Relay,
    connection: &CallerConnection,
    closed: &ClosedConnection,
    in_progress: Option<String>,
) {
    let error = closed.error.as_ref();
    let is_idle_timeout = in_progress.is_none() && error.is_some_and(hyper::Error::is_timeout);
    let has_failed = in_progress.is_some() || (error.is_some() && !is_idle_timeout);
    if has_failed && relay.caller_end_lines.admit(now_millis()) {
        tracing::info!(
            event = "connection-ended",
            error = error.map(ToString::to_string),
            in_progress,
            last_request = connection.last_request(),
            requests = connection.request_count(),
        );
    }
    if closed.reason == CloseReason::LateHead {
        tracing::info!(event = "connection-late-head");
    }
    if closed.unread_bytes > 0 {
        tracing::info!(
            event = "connection-unread",
            bytes = closed.unread_bytes,
            last_request = connection.last_request(),
        );
    }
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

/// Maximum number of open connections to each of these endpoints.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Responds to every request on `listener` with the result of `respond`. Too many connections close
/// the oldest.
async fn serve_each(listener: TcpListener, respond: impl Fn() -> RelayResponse + 'static) {
    let respond = Rc::new(respond);
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= MAX_PROBE_CONNECTIONS {
            open.pop_front().iter().for_each(AbortHandle::abort);
        }
        let respond = respond.clone();
        let serving = spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let response = respond();
                async move { Ok::<RelayResponse, Infallible>(response) }
            });
            let _ended =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
        open.push_back(serving.abort_handle());
    }
}

fn readiness_response(is_ready: bool) -> RelayResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
