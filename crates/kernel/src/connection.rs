//! One HTTP/1 connection of a server, and how a graceful shutdown ends it.
//!
//! A caller that has been told nothing else expects its connection to be kept after a response. If
//! the server closes the connection while the next request is on its way, the caller cannot know
//! whether that request ran. So a shutdown closes a connection only after a response that announced
//! it by `Connection: close`, or once the connection has not been used for a while.

use std::{
    error::Error,
    future::{Future, poll_fn},
    pin::{Pin, pin},
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::{Instant, sleep, timeout},
};

pub use self::monitor::CallerStream;
use self::monitor::MonitoredStream;

mod monitor;

/// Time for which a connection that the server has closed is read, so that a caller that is still
/// sending reads the response rather than a reset.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are read from a closed connection.
const MAX_LINGER_BYTES: usize = 16 << 20;

/// Longest part of the time without use that passes at once, see [`sleep_awake`].
const IDLE_STEP: Duration = Duration::from_millis(200);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of headers of a request; `None` for the HTTP library's own limit.
    pub max_headers: Option<usize>,
    /// Maximum size of the request line and headers, in bytes. At least 8192 are allowed.
    pub max_header_bytes: usize,
    /// Time for which a connection may stay idle: from its opening or the end of a response to the
    /// first byte of the next request.
    pub idle_timeout: Duration,
    /// Time from the first byte of a request to the end of its headers.
    pub header_timeout: Duration,
}

/// When a graceful shutdown closes connections that are not used.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDelays {
    /// Time after the signal in which no connection is closed without an announcement.
    pub after_signal: Duration,
    /// Time without use after which a connection is closed, counted from its opening or the end of
    /// its last response.
    pub idle: Duration,
}

/// How a connection ended.
#[derive(Debug)]
pub struct ClosedConnection {
    /// Why it was closed.
    pub reason: CloseReason,
    /// Error of a connection that failed, or whose caller sent something malformed.
    pub error: Option<hyper::Error>,
    /// Number of bytes that were sent behind a response that announced the close, or arrived after
    /// the server had closed the connection. A request among them was not handled. Behind a close
    /// without an announcement, its caller does not know whether it ran.
    pub unread_bytes: usize,
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// The caller closed it, a response announced its end, or it failed.
    Ended,
    /// It was not used for its idle limit.
    Idle,
    /// The server is stopping, and the connection was not used.
    Stopping,
    /// The head of a request did not arrive in time.
    LateHead,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ConnectionUse {
    /// Whether a request is in progress.
    in_progress: bool,
    /// Whether all that was written has been sent.
    is_flushed: bool,
    /// Time of its opening, or of the end of the last response.
    rested_since: Instant,
    /// Time at which bytes arrived that may begin the next request.
    head_since: Option<Instant>,
    /// Whether the last request had a body. Bytes that arrive after its response may still belong
    /// to it, so they do not make the connection close before its idle limit.
    had_body: bool,
    /// Whether the connection is about to be closed, so that reads look at the socket itself.
    is_closing: bool,
}

impl ConnectionUse {
    fn new() -> Self {
        Self {
            in_progress: false,
            is_flushed: true,
            rested_since: Instant::now(),
            head_since: None,
            had_body: false,
            is_closing: false,
        }
    }

    /// Records that bytes arrived.
    ///
    /// Bytes that arrive during a request may be its body or the next head. A head among them is
    /// timed by the idle limit until more of it arrives.
    fn record_arrival(&mut self) {
        if !self.in_progress {
            self.head_since.get_or_insert_with(Instant::now);
        }
    }

    fn record_flush(&mut self) {
        if !std::mem::replace(&mut self.is_flushed, true) {
            self.rested_since = Instant::now();
        }
    }
}

/// Use of a connection, shared by the parts of the task that serves it.
#[derive(Debug)]
struct UseCell(Mutex<ConnectionUse>);

impl UseCell {
    fn get(&self) -> ConnectionUse {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut ConnectionUse)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// Marks a connection as in use until dropped.
#[derive(Debug)]
struct UseGuard {
    uses: Arc<UseCell>,
}

impl UseGuard {
    fn new(uses: &Arc<UseCell>, has_body: bool) -> Self {
        uses.update(|current| {
            current.in_progress = true;
            current.head_since = None;
            current.had_body = has_body;
        });
        Self { uses: Arc::clone(uses) }
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.uses.update(|current| {
            current.in_progress = false;
            current.rested_since = Instant::now();
        });
    }
}

/// Body of a response that marks its connection as in use until it has been sent.
///
/// An error before the first frame is held back until the next poll. The connection is closed by an
/// error without writing what is buffered, which would be the head of the response.
struct GuardedBody<B: Body> {
    body: B,
    has_begun: bool,
    held_error: Option<B::Error>,
    _use_guard: UseGuard,
}

impl<B: Body> GuardedBody<B> {
    fn new(body: B, use_guard: UseGuard) -> Self {
        Self { body, has_begun: false, held_error: None, _use_guard: use_guard }
    }
}

impl<B> Body for GuardedBody<B>
where
    B: Body + Unpin,
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if let Some(error) = self.held_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(Pin::new(&mut self.body).poll_frame(context)) {
            Some(Err(error)) if !self.has_begun => {
                self.held_error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            frame => {
                self.has_begun = true;
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves the requests of one connection until either side closes it.
///
/// `limits` returns the limits of a wait that has lasted for some time. They are read again when a
/// wait would end, so they may grow while it lasts, but should not shrink. Those for the sizes of
/// headers are read at the opening.
///
/// `stopping` completes when a graceful shutdown begins. From then on `handler` should add
/// `Connection: close` to its responses; a connection without such a response is closed by
/// `delays`. A head that is late is answered with status 408.
///
/// Returns how the connection ended, for the caller's log.
pub async fn serve_connection<I, F, R, B, E>(
    stream: I,
    limits: impl Fn(Duration) -> ConnectionLimits,
    delays: ShutdownDelays,
    stopping: impl Future<Output = ()>,
    handler: F,
) -> ClosedConnection
where
    I: CallerStream,
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Response<B>, E>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>> + Unpin,
    E: Into<Box<dyn Error + Send + Sync>>,
{
    serve_watched(stream, limits, delays, stopping, |_| {}, handler).await
}

/// Like [`serve_connection`]. `on_write` is told with each write whether the caller leaves bytes unread,
/// so that they cannot be sent yet.
pub async fn serve_watched<I, F, R, B, E>(
    mut stream: I,
    limits: impl Fn(Duration) -> ConnectionLimits,
    delays: ShutdownDelays,
    stopping: impl Future<Output = ()>,
    on_write: impl Fn(bool),
    handler: F,
) -> ClosedConnection
where
    I: CallerStream,
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Response<B>, E>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>> + Unpin,
    E: Into<Box<dyn Error + Send + Sync>>,
{
    let uses = Arc::new(UseCell(Mutex::new(ConnectionUse::new())));
    let service = service_fn(|request: Request<Incoming>| {
        let use_guard = UseGuard::new(&uses, !request.body().is_end_stream());
        let response = handler(request);
        async move {
            let response = response.await?;
            Ok::<_, E>(response.map(|body| GuardedBody::new(body, use_guard)))
        }
    });
    let mut builder = http1::Builder::new();
    let opening_limits = limits(Duration::ZERO);
    // The library counts the time for a head from the end of the last response.
    builder.header_read_timeout(None).max_buf_size(opening_limits.max_header_bytes.max(8_192));
    if let Some(max_headers) = opening_limits.max_headers {
        builder.max_headers(max_headers);
    }
    let mut stopping = pin!(async {
        stopping.await;
        sleep_awake(delays.after_signal).await;
    });
    let mut shutdown_idle = None;
    let monitored = MonitoredStream::new(&mut stream, &uses, &on_write);
    let mut connection = builder.serve_connection(TokioIo::new(monitored), service);
    let (mut reason, served) = loop {
        tokio::select! {
            // A request that has arrived is read before its connection counts as idle.
            biased;
            served = &mut connection => break (CloseReason::Ended, served),
            () = stopping.as_mut(), if shutdown_idle.is_none() => {
                shutdown_idle = Some(delays.idle);
            }
            reason = wait_for_close(&uses, &limits, shutdown_idle) => {
                uses.update(|current| current.is_closing = true);
                let unused = uses.get();
                let polled = poll_fn(|context| {
                    Poll::Ready(Pin::new(&mut connection).poll(context))
                });
                if let Poll::Ready(served) = polled.await {
                    break (CloseReason::Ended, served);
                }
                if uses.get() == unused {
                    break (reason, Ok(()));
                }
                uses.update(|current| current.is_closing = false);
            }
        }
    };
    let unparsed = connection.into_parts().read_buf;
    if reason != CloseReason::Ended {
        // Empty lines before a request are not part of it.
        let has_head = unparsed.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        reason = match reason {
            _ if has_head => CloseReason::LateHead,
            CloseReason::LateHead => CloseReason::Idle,
            reason => reason,
        };
        if has_head {
            send_late_head(&mut stream).await;
        }
    }
    // A response that announces the close leaves requests that were sent ahead to the caller, which
    // knows from it that none of them was handled.
    let has_requests = reason == CloseReason::Ended && served.is_ok();
    let mut unread_bytes = if has_requests { unparsed.len() } else { 0 };
    // A failure means that the caller has closed the connection as well.
    let _ended = timeout(LINGER_TIME, linger(&mut stream, &mut unread_bytes)).await;
    ClosedConnection { reason, error: served.err(), unread_bytes }
}

/// Waits until a connection is to be closed, and returns why. Whether a part of a head has arrived
/// is known to the HTTP library only.
///
/// `shutdown_idle` is the time without use after which a stopping server closes it; `None` if the
/// server is not stopping.
async fn wait_for_close(
    uses: &UseCell,
    limits: &impl Fn(Duration) -> ConnectionLimits,
    shutdown_idle: Option<Duration>,
) -> CloseReason {
    loop {
        let current = uses.get();
        let since = current.rested_since;
        let close_due = async {
            if current.in_progress || !current.is_flushed {
                return std::future::pending().await;
            }
            let idle_end = wait_for_limit(since, |waited| limits(waited).idle_timeout);
            if let Some(head_since) = current.head_since {
                let head_since = head_since.max(since);
                wait_for_limit(head_since, |waited| limits(waited).header_timeout).await;
                if current.had_body {
                    idle_end.await;
                }
                return CloseReason::LateHead;
            }
            let shutdown_end = async {
                match shutdown_idle {
                    Some(idle) => sleep_awake(idle.saturating_sub(since.elapsed())).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = idle_end => CloseReason::Idle,
                () = shutdown_end => CloseReason::Stopping,
            }
        };
        tokio::select! {
            biased;
            // Changes are made as the connection is polled, by the same task and before this.
            () = poll_fn(|_| has_changed(uses, &current)) => {}
            reason = close_due => return reason,
        }
    }
}

fn has_changed(uses: &UseCell, known: &ConnectionUse) -> Poll<()> {
    if uses.get() == *known { Poll::Pending } else { Poll::Ready(()) }
}

/// Waits until the limit of a wait that began at `since` has passed.
async fn wait_for_limit(since: Instant, limit: impl Fn(Duration) -> Duration) {
    loop {
        let waited = since.elapsed();
        let remaining = limit(waited).saturating_sub(waited);
        if remaining.is_zero() {
            return;
        }
        sleep(remaining).await;
    }
}

/// Response to a head that is late. All earlier responses have been sent.
const LATE_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Tells the caller that its request, whose head is late, was not read.
async fn send_late_head(stream: &mut (impl AsyncWrite + Unpin)) {
    match timeout(LINGER_TIME, stream.write_all(LATE_HEAD_RESPONSE)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("late_head=unanswered error={error}"),
        Err(_) => log::debug!("late_head=unanswered error=timeout"),
    }
}

/// Sleeps for `duration`, at least for one [`IDLE_STEP`], while this process runs. A standstill
/// counts as a single step: requests that were sent meanwhile have not been read yet.
async fn sleep_awake(duration: Duration) {
    let duration = duration.max(IDLE_STEP);
    let steps = duration.as_millis().div_ceil(IDLE_STEP.as_millis()) as u32;
    for _ in 0..steps {
        sleep(duration / steps).await;
    }
}

/// Closes the sending direction, and discards and counts what the caller still sends.
async fn linger(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    discarded: &mut usize,
) -> std::io::Result<()> {
    stream.shutdown().await?;
    let mut buffer = [0; 4_096];
    while *discarded < MAX_LINGER_BYTES {
        match stream.read(&mut buffer).await? {
            0 => break,
            count => *discarded += count,
        }
    }
    Ok(())
}
