//! HTTP by `hyper`, both sides, with every limit set.
//!
//! The server is given a closure that answers requests; it bounds connections, headers, bodies and
//! idle time, and stops in order: no new connection, then each connection ends after the request it
//! is serving. The client bounds time and bodies.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};

use crate::shutdown::ShutdownSignal;

/// Body of every response.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// A response with a whole or streamed body.
pub type HttpResponse = Response<ResponseBody>;

/// What a server allows.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Connections at once; more wait in the listen queue.
    pub max_connections: usize,
    /// Bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// Headers of a request.
    pub max_headers: usize,
    /// Time for headers to arrive, and for a kept connection to stay idle.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            max_header_bytes: 16 * 1_024,
            max_headers: 64,
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A handler gave up the connection instead of answering.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection given up")]
pub struct ConnectionDropped;

/// How long a stopping server goes on taking connections and requests, so that its handler can refuse
/// them properly. A caller that reuses a kept connection at the moment at which it is closed could not
/// tell whether its request ran.
const LINGER: Duration = Duration::from_secs(1);

/// Time that a caller keeps a connection that rests: half of [`LINGER`]. A stopping server closes what rested for that long,
/// and a request written at that moment ended as one that may have run: one of 105, beside a load average of 28. The other
/// half is for callers that are late themselves.
const KEPT_IDLE: Duration = Duration::from_millis(LINGER.as_millis() as u64 / 2);

/// Serves requests. Once the signal is raised it goes on for a second, each answer then closing its
/// connection; then it ends the idle connections, and returns when the last request is answered.
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
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = lingered(&shutdown) => break,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (handler, shutdown) = (handler.clone(), shutdown.clone());
        tokio::spawn(async move {
            serve_connection(stream, limits, &shutdown, handler).await;
            drop(permit);
        });
    }
    // All permits are back once the last connection has ended.
    let all = u32::try_from(limits.max_connections).unwrap_or(u32::MAX);
    let _all_ended = permits.acquire_many(all).await;
}

/// Waits until the signal was raised a while ago.
async fn lingered(shutdown: &ShutdownSignal) {
    shutdown.raised().await;
    time::sleep(LINGER).await;
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    limits: HttpLimits,
    shutdown: &ShutdownSignal,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<HttpResponse, ConnectionDropped>>,
{
    let _without_delay = stream.set_nodelay(true);
    let closing = |mut answer: HttpResponse| {
        if shutdown.is_raised() {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    };
    let service = service_fn(|request| {
        let answer = handler(request);
        async move { answer.await.map(closing) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_header_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = lingered(shutdown) => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        let _ended = connection.await;
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// It is larger than allowed.
    #[display("body is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The connection ended before it did.
    #[display("body ended early")]
    Truncated,
}

/// A body that is too large is read on, and thrown away, up to this many times its limit: a caller
/// that is still sending would not read the refusal.
const DISCARD_FACTOR: usize = 4;

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Fails where it is larger, or ends early.
pub async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let mut whole = BytesMut::new();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() else {
            continue;
        };
        total += data.len();
        if total <= limit {
            whole.extend_from_slice(&data);
        } else if total > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
    }
    if total > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(whole.freeze())
}

/// Makes a response with a whole body.
pub fn full_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    let mut answer = Response::new(Full::new(body.into()).boxed());
    *answer.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// Makes a response from a value's JSON form.
pub fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => full_response(status, "application/json", body),
        Err(error) => {
            full_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string())
        }
    }
}

/// Adds a header whose value may come from outside; one that is not valid is left out.
pub fn set_header(answer: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

/// Why a call got no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// The connection was not made: nothing was sent.
    #[display("not connected: {detail}")]
    NotConnected {
        /// What the library said.
        detail: String,
    },
    /// The call was sent, at least in part, and no whole answer came.
    #[display("no answer: {detail}")]
    NoResponse {
        /// What the library said.
        detail: String,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Calls other servers over kept connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    body_limit: usize,
    timeout: Duration,
}

impl HttpClient {
    /// Makes a client that waits `timeout` for each answer and reads at most `body_limit` bytes.
    pub fn new(timeout: Duration, body_limit: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout.min(Duration::from_secs(2))));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(KEPT_IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, body_limit, timeout }
    }

    /// Sends a request and gives the response as it arrives.
    ///
    /// # Errors
    ///
    /// Tells whether anything can have reached the other side.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        match time::timeout(self.timeout, self.client.request(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_connect() => {
                Err(CallError::NotConnected { detail: error.to_string() })
            }
            Ok(Err(error)) => Err(CallError::NoResponse { detail: error.to_string() }),
            Err(_) => Err(CallError::NoResponse { detail: "timed out".to_owned() }),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn call(&self, request: Request<Full<Bytes>>) -> Result<FullResponse, CallError> {
        let answer = self.send(request).await?;
        let (parts, body) = answer.into_parts();
        match time::timeout(self.timeout, read_body(body, self.body_limit)).await {
            Ok(Ok(body)) => Ok(FullResponse { status: parts.status, headers: parts.headers, body }),
            Ok(Err(error)) => Err(CallError::NoResponse { detail: error.to_string() }),
            Err(_) => Err(CallError::NoResponse { detail: "timed out".to_owned() }),
        }
    }
}
