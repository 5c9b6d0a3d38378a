//! One HTTP/1 connection of a server, and how a graceful shutdown ends it.
//!
//! A caller that has been told nothing else expects its connection to be kept after a response. If
//! the server closes the connection while the next request is on its way, the caller cannot know
//! whether that request ran. So a shutdown closes a connection only after a response that announced
//! it by `Connection: close`, or once the connection has not been used for a while.

use std::{
    error::Error,
    future::Future,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    sync::watch,
    time::{Instant, sleep, timeout},
};

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
    /// Time in which the headers of a request must arrive, and for which a connection may stay
    /// idle.
    pub idle_timeout: Duration,
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
    /// Error of a connection that failed, or whose caller sent something malformed.
    pub error: Option<hyper::Error>,
    /// Number of bytes that arrived after the server had closed the connection. A request among them
    /// was lost, and its caller does not know whether it ran.
    pub unread_bytes: usize,
}

/// Whether a request of a connection is in progress.
#[derive(Clone, Copy, Debug)]
struct ConnectionUse {
    in_progress: bool,
    /// Time of the last change.
    since: Instant,
}

/// Marks a connection as in use until dropped.
#[derive(Debug)]
struct UseGuard {
    uses: Arc<watch::Sender<ConnectionUse>>,
}

impl UseGuard {
    fn new(uses: &Arc<watch::Sender<ConnectionUse>>) -> Self {
        uses.send_replace(ConnectionUse { in_progress: true, since: Instant::now() });
        Self { uses: Arc::clone(uses) }
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.uses.send_replace(ConnectionUse { in_progress: false, since: Instant::now() });
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
/// `stopping` completes when a graceful shutdown begins. From then on `handler` should add
/// `Connection: close` to its responses; a connection without such a response is closed by
/// `delays`.
///
/// Returns how the connection ended, for the caller's log.
pub async fn serve_connection<I, F, R, B, E>(
    mut stream: I,
    limits: ConnectionLimits,
    delays: ShutdownDelays,
    stopping: impl Future<Output = ()>,
    handler: F,
) -> ClosedConnection
where
    I: AsyncRead + AsyncWrite + Unpin,
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Response<B>, E>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>> + Unpin,
    E: Into<Box<dyn Error + Send + Sync>>,
{
    let opened = ConnectionUse { in_progress: false, since: Instant::now() };
    let uses = Arc::new(watch::Sender::new(opened));
    let service = service_fn(|request| {
        let use_guard = UseGuard::new(&uses);
        let response = handler(request);
        async move {
            let response = response.await?;
            Ok::<_, E>(response.map(|body| GuardedBody::new(body, use_guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(8_192));
    if let Some(max_headers) = limits.max_headers {
        builder.max_headers(max_headers);
    }
    let served = {
        let connection = builder.serve_connection(TokioIo::new(&mut stream), service);
        let mut connection = pin!(connection);
        tokio::select! {
            // A request that has arrived is read before its connection counts as idle.
            biased;
            served = connection.as_mut() => served,
            () = wait_for_idle_close(stopping, &uses, delays) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    // A failure means that the caller has closed the connection as well.
    let lingered = timeout(LINGER_TIME, linger(&mut stream)).await;
    let unread_bytes = lingered.ok().and_then(Result::ok).unwrap_or_default();
    ClosedConnection { error: served.err(), unread_bytes }
}

/// Waits for the shutdown and then until the connection may be closed without an announcement.
async fn wait_for_idle_close(
    stopping: impl Future<Output = ()>,
    uses: &watch::Sender<ConnectionUse>,
    delays: ShutdownDelays,
) {
    stopping.await;
    sleep_awake(delays.after_signal).await;
    let mut changes = uses.subscribe();
    loop {
        let last_use = *changes.borrow_and_update();
        let idle_end = async {
            match last_use.in_progress {
                true => std::future::pending().await,
                false => sleep_awake(delays.idle.saturating_sub(last_use.since.elapsed())).await,
            }
        };
        tokio::select! {
            biased;
            // `uses` outlives this wait, so it ends only with a change.
            _ = changes.changed() => {}
            () = idle_end => return,
        }
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

/// Closes the sending direction and discards what the caller still sends. Returns the number of
/// bytes discarded.
async fn linger(stream: &mut (impl AsyncRead + AsyncWrite + Unpin)) -> std::io::Result<usize> {
    stream.shutdown().await?;
    let mut buffer = [0; 4_096];
    let mut discarded = 0;
    while discarded < MAX_LINGER_BYTES {
        match stream.read(&mut buffer).await? {
            0 => break,
            count => discarded += count,
        }
    }
    Ok(discarded)
}
