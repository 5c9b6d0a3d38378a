//! HTTP server and client on `hyper`, with limits on time and size.
//!
//! The server passes requests to a handler. It limits connections, headers and idle time, and
//! [`read_body`] limits bodies. On shutdown it keeps serving for a second, then accepts no
//! further connections and closes each one as [`connection`](crate::connection) describes. The
//! client limits the time and size of each response.

use std::{
    convert::Infallible, error::Error as StdError, future::Future, pin::pin, sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use crate::{
    connection::{CloseReason, ConnectionLimits, ShutdownDelays, serve_connection},
    shutdown::ShutdownSignal,
};

/// Body of every response.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// Response with a complete or streamed body.
pub type HttpResponse = Response<ResponseBody>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum number of concurrent connections. Further ones wait in the listen queue.
    pub max_connections: usize,
    /// Limits of each connection.
    pub connection: ConnectionLimits,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            connection: ConnectionLimits {
                max_headers: Some(64),
                max_header_bytes: 16 * 1_024,
                idle_timeout: Duration::from_secs(60),
                header_timeout: Duration::from_secs(60),
            },
        }
    }
}

/// Returned by a handler to close the connection without a response.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection dropped without a response")]
pub struct ConnectionDropped;

/// Time for which a server keeps accepting connections and requests after the shutdown signal, so
/// that its handler can refuse them.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// Time without use after which a stopping server closes a connection. A caller whose request meets
/// the close does not know whether that request ran. Callers that close their idle connections
/// sooner do not delay the shutdown.
const SHUTDOWN_IDLE_TIME: Duration = Duration::from_secs(3);

/// Time for which the client keeps an idle connection: far below [`SHUTDOWN_IDLE_TIME`], so that a
/// stopping server does not close a connection that a delayed client is about to reuse.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves requests until shutdown.
///
/// After the signal is raised, the server serves for another second, in which each response closes
/// its connection. Then it accepts no more connections, closes each one that has not been used for
/// three seconds, and returns after the last response.
pub async fn serve<F, R>(
    listener: TcpListener,
    limits: HttpLimits,
    shutdown: ShutdownSignal,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<HttpResponse, ConnectionDropped>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let spawn = |stream: TcpStream, permit: OwnedSemaphorePermit| {
        let (handler, shutdown) = (handler.clone(), shutdown.clone());
        tokio::spawn(async move {
            serve_until_closed(stream, limits.connection, &shutdown, handler).await;
            drop(permit);
        });
    };
    {
        let mut grace_period = pin!(grace_period_over(&shutdown));
        loop {
            let accepted = tokio::select! {
                accepted = accept_within(&listener, &permits) => accepted,
                () = grace_period.as_mut() => break,
            };
            match accepted {
                Ok((stream, permit)) => spawn(stream, permit),
                Err(error) => {
                    log::warn!("accept=failed error={error}");
                    time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }
    // Closing the listener would reset the connections in its queue, with the requests on them.
    for stream in take_queued(listener) {
        if let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
            spawn(stream, permit);
        }
    }
    // All permits are available again once the last connection has ended.
    let all = u32::try_from(limits.max_connections).unwrap_or(u32::MAX);
    let _all_ended = permits.acquire_many(all).await;
}

/// Accepts a connection as soon as the number of connections allows it.
async fn accept_within(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.map_err(std::io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// Closes a listener and returns the connections that were waiting in its queue.
pub fn take_queued(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    // The listener does not block, so the first failure is an empty queue.
    let queued = std::iter::from_fn(|| listener.accept().ok());
    queued
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

/// Waits until the grace period after the signal is over.
async fn grace_period_over(shutdown: &ShutdownSignal) {
    shutdown.raised().await;
    time::sleep(SHUTDOWN_GRACE).await;
}

async fn serve_until_closed<F, R>(
    stream: TcpStream,
    limits: ConnectionLimits,
    shutdown: &ShutdownSignal,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<HttpResponse, ConnectionDropped>>,
{
    let _ignored = stream.set_nodelay(true);
    let handler = |request| {
        let response = handler(request);
        async move {
            let mut response = response.await?;
            if shutdown.is_raised() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, ConnectionDropped>(response)
        }
    };
    let delays = ShutdownDelays { after_signal: SHUTDOWN_GRACE, idle: SHUTDOWN_IDLE_TIME };
    let limits = |_| limits;
    let closed = serve_connection(stream, limits, delays, shutdown.raised(), handler).await;
    if let Some(error) = closed.error {
        log::debug!("connection=failed error={error:?}");
    }
    if closed.reason == CloseReason::LateHead {
        log::info!("connection=closed reason=late_head");
    }
    if closed.unread_bytes > 0 {
        log::info!("connection=closed unread_bytes={}", closed.unread_bytes);
    }
}

/// Failure to read a body.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("body is larger than {limit} bytes")]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The connection ended before the body was complete.
    #[display("connection ended before the body was complete")]
    Truncated,
}

/// A body that is too large is read and discarded up to this multiple of its limit, because a
/// caller that is still sending would not read the error response.
const DISCARD_FACTOR: usize = 4;

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`BodyError::TooLarge`] if the body is larger, and [`BodyError::Truncated`] if the
/// connection ends before the body does.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    read_frames(body, limit, None).await
}

/// Reads a body. If `max_pause` is set, the body is truncated once no bytes arrive for that long.
async fn read_frames(
    mut body: Incoming,
    limit: usize,
    max_pause: Option<Duration>,
) -> Result<Bytes, BodyError> {
    let mut buffer = BytesMut::new();
    let mut total = 0;
    loop {
        let frame = match max_pause {
            Some(pause) => {
                time::timeout(pause, body.frame()).await.map_err(|_| BodyError::Truncated)?
            }
            None => body.frame().await,
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() else {
            continue;
        };
        total += data.len();
        if total <= limit {
            buffer.extend_from_slice(&data);
        } else if total > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
    }
    if total > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(buffer.freeze())
}

/// Creates a response with a complete body.
pub fn full_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Creates a response with a value serialized as JSON, or with status 500 if that fails.
pub fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => full_response(status, "application/json", body),
        Err(error) => {
            full_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string())
        }
    }
}

/// Sets a header. Has no effect if the value, which may come from a caller, is not a valid header
/// value.
pub fn set_header(response: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

/// Failure of a call.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// The connection could not be established, or was closed before the request was written, so
    /// nothing was sent.
    #[display("not connected: {detail}")]
    NotConnected {
        /// Error of the HTTP library.
        detail: String,
    },
    /// The request was sent, at least in part, but no complete response arrived.
    #[display("no response: {detail}")]
    NoResponse {
        /// Error of the HTTP library.
        detail: String,
    },
}

/// Checks that a status is that of a final response (RFC 9110, section 15). The HTTP library also
/// returns a switch to another protocol, which was not asked for, and three-digit codes above those
/// that are defined.
///
/// # Errors
///
/// Describes any other status.
pub fn check_final(status: StatusCode) -> Result<(), String> {
    let is_final = (200..600).contains(&status.as_u16());
    is_final.then_some(()).ok_or_else(|| format!("status {status} is no final response"))
}

/// Returns whether the client reports that it did not begin to write the request.
fn is_unwritten(error: &legacy::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

/// Returns the messages of an error and of its sources.
fn with_sources(error: &dyn StdError) -> String {
    let sources = std::iter::successors(error.source(), |source| (*source).source());
    sources.fold(error.to_string(), |text, source| format!("{text}: {source}"))
}

/// Response with its complete body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client with a pool of persistent connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    body_limit: usize,
    timeout: Duration,
    /// Time limit for a body whose bytes arrive without a pause of `timeout`.
    max_body_time: Duration,
}

impl HttpClient {
    /// Creates a client that waits at most `timeout` for the headers and for the body of each
    /// response, and reads at most `body_limit` bytes of the body.
    pub fn new(timeout: Duration, body_limit: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout.min(Duration::from_secs(2))));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(true)
            .build(connector);
        Self { client, body_limit, timeout, max_body_time: timeout }
    }

    /// Allows a body to take longer than the timeout, up to `max_body_time`, as long as its bytes
    /// arrive without a pause of the timeout. A large body on a slow link would otherwise be cut and
    /// read again without end.
    pub fn with_body_time(self, max_body_time: Duration) -> Self {
        Self { max_body_time: max_body_time.max(self.timeout), ..self }
    }

    /// Sends a request and returns the response when its headers have arrived.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotConnected`] if the server cannot have received anything, and
    /// [`CallError::NoResponse`] if it may have received the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        match time::timeout(self.timeout, self.client.request(request)).await {
            Ok(Ok(response)) => match check_final(response.status()) {
                Ok(()) => Ok(response),
                Err(detail) => Err(CallError::NoResponse { detail }),
            },
            Ok(Err(error)) if error.is_connect() || is_unwritten(&error) => {
                Err(CallError::NotConnected { detail: with_sources(&error) })
            }
            Ok(Err(error)) => Err(CallError::NoResponse { detail: with_sources(&error) }),
            Err(_) => Err(CallError::NoResponse { detail: "timed out".to_owned() }),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// See [`HttpClient::send`].
    pub async fn call(&self, request: Request<Full<Bytes>>) -> Result<FullResponse, CallError> {
        let response = self.send(request).await?;
        let (parts, body) = response.into_parts();
        let reading = read_frames(body, self.body_limit, Some(self.timeout));
        match time::timeout(self.max_body_time, reading).await {
            Ok(Ok(body)) => Ok(FullResponse { status: parts.status, headers: parts.headers, body }),
            Ok(Err(error)) => Err(CallError::NoResponse { detail: error.to_string() }),
            Err(_) => Err(CallError::NoResponse { detail: "timed out".to_owned() }),
        }
    }
}
