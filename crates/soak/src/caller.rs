//! Callers that send requests to the relays. Each makes one call at a time, and keeps its
//! connection for as long as the relay does.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::clock::epoch_micros;
use switchfold_platform::headers::{ATTEMPT_ID, DEADLINE, PROMPT_PARTS, REPLICA_SEAL};
use switchfold_platform_standin::samples::HOST;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep, timeout},
};

use crate::{
    record::{CallKind, CallOutcome, CallRecord, CallResponse, CallTiming, Micros, PATIENCE},
    replica::{CRASH_PART_PREFIX, request_body, request_path},
    silence::{RequestedSilence, SILENCE},
};

/// Time limit of a call. It is longer than the timeout of any route.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Deadline sent with each request, in milliseconds.
const DEADLINE_MS: &str = "8000";

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Range of the pause between two calls of a caller, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 2..60;

/// Part of the prompt that all requests share.
const SHARED_PART: &str = "c0de";

type RequestSender = SendRequest<Full<Bytes>>;

/// A connection to a relay, with the relay's number.
struct CallerConnection {
    relay: usize,
    sender: RequestSender,
    /// Time of the end of its last call; `None` on a new connection.
    idle_since: Option<Micros>,
    next_pause: Arc<Mutex<Option<SendPause>>>,
}

impl CallerConnection {
    /// Sets the pause within the next request.
    fn pause_next(&self, pause: Option<SendPause>) {
        *self.next_pause.lock().expect("no task panics while it holds the lock") = pause;
    }
}

/// A request that crashes the replicas that run it.
#[derive(Clone, Debug)]
pub struct CrashRequest {
    /// Kind of the call.
    pub kind: CallKind,
    /// Name of the request, which is also its body, or the id of the part of its prompt that crashes
    /// the replicas.
    pub name: String,
}

/// Provides a caller with relays, keys and requests.
pub trait CallerContext: Send + Sync + 'static {
    /// Returns the number and address of a relay that the load balancer uses.
    fn choose_relay(&self, random: &mut ChaCha8Rng) -> (usize, SocketAddr);
    /// Returns a key, which may have been removed.
    fn choose_key(&self, random: &mut ChaCha8Rng) -> String;
    /// Returns the idle limit of the configurations that may be in force.
    fn idle_limit(&self) -> Micros;
    /// Returns a request that crashes replicas, or `None` while the run has none.
    fn choose_crash_request(&self, random: &mut ChaCha8Rng) -> Option<CrashRequest>;
    /// Whether callers keep calling.
    fn is_running(&self) -> bool;
}

/// Makes calls of randomly chosen kinds until the context stops running, and returns their records.
/// After a long stream the next call follows at once, on the same connection, even if the relay has
/// closed it meanwhile.
///
/// # Panics
///
/// Panics if `kinds` is empty.
pub async fn run_caller(
    name: String,
    kinds: &[CallKind],
    context: Arc<impl CallerContext>,
    mut random: ChaCha8Rng,
) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    let mut idle: Option<CallerConnection> = None;
    let mut reuses_at_once = false;
    while context.is_running() {
        let think_time = Duration::from_millis(random.random_range(THINK_TIME_MS));
        if !reuses_at_once {
            sleep(think_time).await;
        }
        let kind = kinds[random.random_range(0..kinds.len())];
        let id = format!("{name}x{}", calls.len());
        let key = context.choose_key(&mut random);
        let sent_at = epoch_micros();
        let is_usable =
            |connection: &CallerConnection| reuses_at_once || connection.sender.is_ready();
        let reusable = idle.take().filter(is_usable);
        let idle_since = reusable.as_ref().and_then(|connection| connection.idle_since);
        let connected = match reusable {
            Some(connection) => Ok(connection),
            None => connect(context.choose_relay(&mut random)).await,
        };
        let (relay, outcome) = match connected {
            Err(relay) => (relay, CallOutcome::NotConnected),
            Ok(mut connection) => {
                let body = request_body(&id);
                let parts = format!("{SHARED_PART}:40,{sent_at:x}:30");
                let spec =
                    CallSpec { silence: None, kind, id: &id, key: &key, name: &id, body, parts };
                let outcome = call(&mut connection.sender, &spec, CALL_TIMEOUT).await;
                let relay = connection.relay;
                let CallEnd { outcome, keep_alive, .. } = outcome;
                connection.idle_since = Some(epoch_micros());
                idle = Some(connection).filter(|_| keep_alive);
                (relay, outcome)
            }
        };
        reuses_at_once = kind == CallKind::LongStream && idle.is_some();
        let ended_at = epoch_micros();
        let reused_after = idle_since.map(|since| sent_at.saturating_sub(since));
        let timing = CallTiming::default();
        calls.push(CallRecord {
            id,
            kind,
            key,
            relay,
            sent_at,
            ended_at,
            outcome,
            reused_after,
            timing,
        });
    }
    calls
}

/// Range of the pause between two calls of a patient caller, in milliseconds.
const PATIENT_THINK_TIME_MS: std::ops::Range<u64> = 10..250;

/// One in this many calls of a patient caller is sent on a connection that has rested.
const CALLS_PER_REST: u32 = 6;

/// One in this many calls of a patient caller is sent in two parts.
const CALLS_IN_PARTS: u32 = 5;

/// One in this many calls of a patient caller asks for a silence within its response.
const CALLS_PER_SILENCE: u32 = 3;

/// Number of bytes of a request after which it may pause: more than those of its head.
const REQUEST_BYTES: usize = 400;

/// Range of the pause within a request, in milliseconds: well below the limit of heads.
const PART_PAUSE_MS: std::ops::Range<u64> = 50..800;

/// Makes calls as [`run_caller`] does, and leaves a stream after [`PATIENCE`] without an event. If
/// `varies`, some requests arrive in parts, on connections that have rested for up to four fifths of
/// their limit, and some ask for a silence within their response.
///
/// # Panics
///
/// Panics if `kinds` is empty.
pub async fn run_patient_caller(
    name: String,
    kinds: &[CallKind],
    varies: bool,
    context: Arc<impl CallerContext>,
    mut random: ChaCha8Rng,
) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    let mut idle: Option<CallerConnection> = None;
    while context.is_running() {
        sleep(Duration::from_millis(random.random_range(PATIENT_THINK_TIME_MS))).await;
        let draw = |random: &mut ChaCha8Rng, one_in: u32| varies && random.random_ratio(1, one_in);
        if idle.is_some() && draw(&mut random, CALLS_PER_REST) {
            let rest = context.idle_limit() * random.random_range(70..80) / 100;
            sleep(Duration::from_micros(rest)).await;
        }
        let kind = kinds[random.random_range(0..kinds.len())];
        let id = format!("{name}x{}", calls.len());
        let key = context.choose_key(&mut random);
        let silence = draw(&mut random, CALLS_PER_SILENCE)
            .then(|| RequestedSilence::draw(&mut random, kind.is_stream()));
        let pause = draw(&mut random, CALLS_IN_PARTS).then(|| SendPause {
            after_bytes: random.random_range(1..REQUEST_BYTES),
            pause: Duration::from_millis(random.random_range(PART_PAUSE_MS)),
        });
        let reusable = idle.take().filter(|connection| connection.sender.is_ready());
        let idle_since = reusable.as_ref().and_then(|connection| connection.idle_since);
        let connected = match reusable {
            Some(connection) => Ok(connection),
            None => connect(context.choose_relay(&mut random)).await,
        };
        let sent_at = epoch_micros();
        let patience = if kind.is_stream() { PATIENCE } else { CALL_TIMEOUT };
        let (relay, end) = match connected {
            Err(relay) => (relay, CallEnd::without_response(CallOutcome::NotConnected)),
            Ok(mut connection) => {
                connection.pause_next(pause);
                let body = request_body(&id);
                let parts = format!("{SHARED_PART}:40,{sent_at:x}:30");
                let spec = CallSpec { silence, kind, id: &id, key: &key, name: &id, body, parts };
                let end = call(&mut connection.sender, &spec, patience).await;
                let relay = connection.relay;
                connection.idle_since = Some(epoch_micros());
                idle = Some(connection).filter(|_| end.keep_alive);
                (relay, end)
            }
        };
        let ended_at = epoch_micros();
        let reused_after = idle_since.map(|since| sent_at.saturating_sub(since));
        let timing = CallTiming {
            sending: pause.map_or(0, |pause| pause.pause.as_micros() as Micros),
            first_event: end.first_event_at.map(|at| at.saturating_sub(sent_at)),
            longest_pause: end.longest_pause,
            silence: silence.map(|silence| silence.pause.as_micros() as Micros),
        };
        let outcome = end.outcome;
        calls.push(CallRecord {
            id,
            kind,
            key,
            relay,
            sent_at,
            ended_at,
            outcome,
            reused_after,
            timing,
        });
    }
    calls
}

/// Range of the pause between two requests that crash replicas, in milliseconds.
const CRASH_THINK_TIME_MS: std::ops::Range<u64> = 50..600;

/// Sends requests that crash replicas until the context stops running, each with a new request id
/// on a new connection to a randomly chosen relay. Returns the records of these calls.
pub async fn run_crash_caller(
    name: String,
    context: Arc<impl CallerContext>,
    mut random: ChaCha8Rng,
) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    while context.is_running() {
        sleep(Duration::from_millis(random.random_range(CRASH_THINK_TIME_MS))).await;
        let Some(CrashRequest { kind, name: crash_name }) =
            context.choose_crash_request(&mut random)
        else {
            continue;
        };
        let id = format!("{name}x{}", calls.len());
        let key = context.choose_key(&mut random);
        let sent_at = epoch_micros();
        let (relay, outcome) = match connect(context.choose_relay(&mut random)).await {
            Err(relay) => (relay, CallOutcome::NotConnected),
            Ok(mut connection) => {
                let is_part = crash_name.starts_with(CRASH_PART_PREFIX);
                let (name, body, part) = match is_part {
                    true => (&id, request_body(&id), crash_name.as_str()),
                    false => (&crash_name, crash_name.clone(), SHARED_PART),
                };
                let parts = format!("{SHARED_PART}:40,{part}:100,{sent_at:x}:30");
                let spec = CallSpec { silence: None, kind, id: &id, key: &key, name, body, parts };
                let end = call(&mut connection.sender, &spec, CALL_TIMEOUT).await;
                (connection.relay, end.outcome)
            }
        };
        let ended_at = epoch_micros();
        let reused_after = None;
        let timing = CallTiming::default();
        calls.push(CallRecord {
            id,
            kind,
            key,
            relay,
            sent_at,
            ended_at,
            outcome,
            reused_after,
            timing,
        });
    }
    calls
}

async fn connect((relay, address): (usize, SocketAddr)) -> Result<CallerConnection, usize> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = stream else { return Err(relay) };
    let next_pause = Arc::default();
    let stream = PausingStream { stream, next_pause: Arc::clone(&next_pause), resume_at: None };
    let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(relay);
    };
    tokio::spawn(async move {
        // A call on this connection gets the error as well.
        let _closed = driver.await;
    });
    Ok(CallerConnection { relay, sender, idle_since: None, next_pause })
}

/// A call to be made.
struct CallSpec<'a> {
    silence: Option<RequestedSilence>,
    kind: CallKind,
    id: &'a str,
    key: &'a str,
    /// Last part of the path.
    name: &'a str,
    body: String,
    /// Parts of the prompt.
    parts: String,
}

/// How a call ended.
struct CallEnd {
    outcome: CallOutcome,
    /// Whether the connection can be reused.
    keep_alive: bool,
    first_event_at: Option<Micros>,
    longest_pause: Micros,
}

impl CallEnd {
    fn without_response(outcome: CallOutcome) -> Self {
        Self { outcome, keep_alive: false, first_event_at: None, longest_pause: 0 }
    }
}

/// Makes one call, and leaves once nothing has come for `patience`.
async fn call(sender: &mut RequestSender, spec: &CallSpec<'_>, patience: Duration) -> CallEnd {
    let CallSpec { silence, kind, id, key, name, body, parts } = spec;
    let request = Request::post(request_path(kind.prefix(), name))
        .header(header::HOST, HOST)
        .header(ATTEMPT_ID, *id)
        .header(DEADLINE, DEADLINE_MS)
        .header(PROMPT_PARTS, parts)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Full::new(Bytes::from(body.clone())))
        .expect("request parts are valid");
    let mut request = request;
    if let Some(silence) = silence {
        let value = silence.encode().parse().expect("a header value");
        request.headers_mut().insert(SILENCE, value);
    }
    let exchange = async {
        let sending = async {
            sender.ready().await.ok()?;
            sender.send_request(request).await.ok()
        };
        match timeout(patience, sending).await {
            Ok(Some(response)) => read_response(response, patience).await,
            Ok(None) => CallEnd::without_response(CallOutcome::NoResponse),
            Err(_) => CallEnd::without_response(leave_outcome(patience)),
        }
    };
    let ended = timeout(CALL_TIMEOUT, exchange).await;
    ended.unwrap_or_else(|_| CallEnd::without_response(CallOutcome::NoResponse))
}

/// Outcome of a call whose caller left after `patience`.
fn leave_outcome(patience: Duration) -> CallOutcome {
    match patience < CALL_TIMEOUT {
        true => CallOutcome::Left,
        false => CallOutcome::NoResponse,
    }
}

async fn read_response(response: http::Response<Incoming>, patience: Duration) -> CallEnd {
    let (parts, mut body) = response.into_parts();
    let closes = parts.headers.get(header::CONNECTION).is_some_and(|value| value == "close");
    let mut bytes = Vec::new();
    let mut last_at = epoch_micros();
    let (mut first_event_at, mut longest_pause) = (None, 0);
    let complete = loop {
        let Ok(frame) = timeout(patience, body.frame()).await else {
            return CallEnd::without_response(leave_outcome(patience));
        };
        match frame {
            None => break true,
            Some(Ok(frame)) => {
                let now = epoch_micros();
                if first_event_at.is_some() {
                    longest_pause = longest_pause.max(now.saturating_sub(last_at));
                }
                first_event_at = first_event_at.or(Some(now));
                last_at = now;
                bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
            Some(Err(_)) => break false,
        }
    };
    let response = CallResponse {
        status: parts.status.as_u16(),
        signed: parts.headers.contains_key(REPLICA_SEAL),
        complete,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    };
    CallEnd {
        outcome: CallOutcome::Responded(response),
        keep_alive: complete && !closes,
        first_event_at,
        longest_pause,
    }
}

/// A pause within the bytes that are sent.
#[derive(Clone, Copy, Debug)]
struct SendPause {
    after_bytes: usize,
    pause: Duration,
}

/// A connection that pauses once after some of the bytes that are written to it.
struct PausingStream {
    stream: TcpStream,
    next_pause: Arc<Mutex<Option<SendPause>>>,
    resume_at: Option<Pin<Box<Sleep>>>,
}

impl AsyncRead for PausingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PausingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(resume_at) = &mut self.resume_at {
            ready!(resume_at.as_mut().poll(context));
            self.resume_at = None;
        }
        let next_pause = Arc::clone(&self.next_pause);
        let mut next_pause = next_pause.lock().expect("no task panics while it holds the lock");
        let len = next_pause.map_or(bytes.len(), |pause| pause.after_bytes.min(bytes.len()));
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, &bytes[..len]))?;
        if let Some(pause) = &mut *next_pause {
            pause.after_bytes -= written;
            if pause.after_bytes == 0 {
                self.resume_at = Some(Box::pin(sleep(pause.pause)));
                *next_pause = None;
            }
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Whether a relay reports itself ready within 500 ms.
pub async fn is_ready(address: SocketAddr) -> bool {
    const READY_TIMEOUT: Duration = Duration::from_millis(500);
    let exchange = async {
        let mut connection = connect((0, address)).await.ok()?;
        let request = Request::get("/readyz").header(header::HOST, "relay").body(Full::default());
        let response = connection.sender.send_request(request.ok()?).await.ok()?;
        Some(response.status() == StatusCode::OK)
    };
    timeout(READY_TIMEOUT, exchange).await.ok().flatten().unwrap_or(false)
}
