//! Callers that send requests to the relays. Each makes one call at a time, and keeps its
//! connection for as long as the relay does.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    pausing::{NextPause, PausingStream},
    record::{CallKind, CallOutcome, CallRecord, CallResponse, CallTiming, Micros},
    replica::{CRASH_PART_PREFIX, request_body, request_path},
    silence::{RequestedSilence, SILENCE},
};

/// Time limit of a call. It is longer than the timeout of any route.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Deadline sent with each request, in milliseconds.
const DEADLINE_MS: &str = "8000";

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Range of the pause between two calls of a caller, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 2..60;

/// Part of the prompt that all requests share.
pub(crate) const SHARED_PART: &str = "c0de";

type RequestSender = SendRequest<Full<Bytes>>;

/// A connection to a relay, with the relay's number.
pub(crate) struct CallerConnection {
    pub(crate) relay: usize,
    pub(crate) sender: RequestSender,
    /// Time of the end of its last call; `None` on a new connection.
    pub(crate) idle_since: Option<Micros>,
    /// Sets the pause within the next request.
    pub(crate) next_pause: NextPause,
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
    /// Records that a relay responded on a new connection.
    fn record_response(&self, relay: usize);
    /// Whether callers open a new connection for each call.
    fn opens_connections(&self) -> bool;
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
        let connected = match reusable {
            Some(connection) => Ok(connection),
            None => connect(context.choose_relay(&mut random)).await,
        };
        let body = request_body(&id);
        let parts = format!("{SHARED_PART}:40,{sent_at:x}:30");
        let spec = CallSpec { silence: None, kind, id: &id, key: &key, name: &id, body, parts };
        let (record, kept) =
            make_call(connected, &spec, sent_at, CALL_TIMEOUT, Duration::ZERO).await;
        if record.reused_after.is_none() && matches!(record.outcome, CallOutcome::Responded(_)) {
            context.record_response(record.relay);
        }
        idle = kept.filter(|_| !context.opens_connections());
        reuses_at_once = kind == CallKind::LongStream && idle.is_some();
        calls.push(record);
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
        let connected = connect(context.choose_relay(&mut random)).await;
        let is_part = crash_name.starts_with(CRASH_PART_PREFIX);
        let (name, body, part) = match is_part {
            true => (&id, request_body(&id), crash_name.as_str()),
            false => (&crash_name, crash_name.clone(), SHARED_PART),
        };
        let parts = format!("{SHARED_PART}:40,{part}:100,{sent_at:x}:30");
        let spec = CallSpec { silence: None, kind, id: &id, key: &key, name, body, parts };
        let (record, _) = make_call(connected, &spec, sent_at, CALL_TIMEOUT, Duration::ZERO).await;
        calls.push(record);
    }
    calls
}

pub(crate) async fn connect(
    (relay, address): (usize, SocketAddr),
) -> Result<CallerConnection, usize> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = stream else { return Err(relay) };
    let next_pause = NextPause::default();
    let stream = PausingStream::new(stream, next_pause.clone());
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
pub(crate) struct CallSpec<'a> {
    pub(crate) silence: Option<RequestedSilence>,
    pub(crate) kind: CallKind,
    pub(crate) id: &'a str,
    pub(crate) key: &'a str,
    /// Last part of the path.
    pub(crate) name: &'a str,
    pub(crate) body: String,
    /// Parts of the prompt.
    pub(crate) parts: String,
}

/// How a call ended.
pub(crate) struct CallEnd {
    pub(crate) outcome: CallOutcome,
    /// Whether the connection can be reused.
    pub(crate) keep_alive: bool,
    pub(crate) first_event_at: Option<Micros>,
    pub(crate) longest_pause: Micros,
}

impl CallEnd {
    pub(crate) fn without_response(outcome: CallOutcome) -> Self {
        Self { outcome, keep_alive: false, first_event_at: None, longest_pause: 0 }
    }
}

/// Makes a call that began at `sent_at` on a connection, which takes `sending` for the request and has
/// the caller's `patience`. Returns its record, and the connection if it can be reused.
pub(crate) async fn make_call(
    connected: Result<CallerConnection, usize>,
    spec: &CallSpec<'_>,
    sent_at: Micros,
    patience: Duration,
    sending: Duration,
) -> (CallRecord, Option<CallerConnection>) {
    let mut reused_after = None;
    let (relay, end, kept) = match connected {
        Err(relay) => (relay, CallEnd::without_response(CallOutcome::NotConnected), None),
        Ok(mut connection) => {
            reused_after = connection.idle_since.map(|since| sent_at.saturating_sub(since));
            let end = call(&mut connection.sender, spec, patience, sending).await;
            connection.idle_since = Some(epoch_micros());
            let is_kept = end.keep_alive;
            (connection.relay, end, Some(connection).filter(|_| is_kept))
        }
    };
    let timing = CallTiming {
        sending: sending.as_micros() as Micros,
        first_event: end.first_event_at.map(|at| at.saturating_sub(sent_at)),
        longest_pause: end.longest_pause,
        silence: spec.silence.map(|silence| silence.pause.as_micros() as Micros),
    };
    let record = CallRecord {
        id: spec.id.to_owned(),
        kind: spec.kind,
        key: spec.key.to_owned(),
        relay,
        sent_at,
        ended_at: epoch_micros(),
        outcome: end.outcome,
        reused_after,
        timing,
    };
    (record, kept)
}

/// Makes one call, and leaves once nothing has come for `patience` after the request was sent, which
/// takes `sending`.
async fn call(
    sender: &mut RequestSender,
    spec: &CallSpec<'_>,
    patience: Duration,
    sending: Duration,
) -> CallEnd {
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
        let request_sent = async {
            sender.ready().await.ok()?;
            sender.send_request(request).await.ok()
        };
        match timeout(patience + sending, request_sent).await {
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
    let retry_after = parts.headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let retry_after = retry_after.and_then(|text| text.parse().ok());
    let retry_after = retry_after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
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
        retry_after,
    };
    CallEnd {
        outcome: CallOutcome::Responded(response),
        keep_alive: complete && !closes,
        first_event_at,
        longest_pause,
    }
}

/// Whether a relay reports itself ready within 500 ms.
pub async fn is_ready(address: SocketAddr) -> bool {
    const READY_TIMEOUT: Duration = Duration::from_millis(500);
    let status = timeout(READY_TIMEOUT, fetch_status(address, "/readyz")).await;
    status.ok().flatten() == Some(StatusCode::OK)
}

/// Returns the status of the response to a request on a new connection; `None` if there is none.
pub(crate) async fn fetch_status(address: SocketAddr, path: &str) -> Option<StatusCode> {
    let mut connection = connect((0, address)).await.ok()?;
    let request = Request::get(path).header(header::HOST, HOST).body(Full::default());
    let response = connection.sender.send_request(request.ok()?).await.ok()?;
    Some(response.status())
}
