//! Callers: each makes one call after the other, and keeps its connection until the process is gone.

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
use switchfold_platform::headers::{ATTEMPT_ID, DEADLINE, REPLICA_SEAL};
use switchfold_platform_standin::samples::HOST;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    record::{CallAnswer, CallEnd, CallKind, CallRecord},
    replica::{caller_body, caller_path},
};

/// Time that a caller waits for a whole answer, beyond any route's.
const CALL_TIME: Duration = Duration::from_secs(12);

/// Deadline that a caller tells, in milliseconds.
const DEADLINE_MS: &str = "8000";

/// Time that a connection has to open.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Time between two calls of a caller, in milliseconds.
const THINK: std::ops::Range<u64> = 2..60;

type Sender = SendRequest<Full<Bytes>>;

/// A connection to a relay.
struct CallerLink {
    relay: usize,
    sender: Sender,
}

/// A request that ends the replicas which run it.
#[derive(Clone, Debug)]
pub struct BadRequest {
    /// Its kind.
    pub kind: CallKind,
    /// Its name, which is its body as well.
    pub name: String,
}

/// What a caller may choose from: relays that the balancer uses, and keys that it knows.
pub trait CallerView: Send + Sync + 'static {
    /// A relay that takes new connections, by number, and its address.
    fn choose_relay(&self, random: &mut ChaCha8Rng) -> (usize, SocketAddr);
    /// A key; it may have been taken away.
    fn choose_key(&self, random: &mut ChaCha8Rng) -> String;
    /// A bad request that is to come, where there is one.
    fn choose_bad(&self, random: &mut ChaCha8Rng) -> Option<BadRequest>;
    /// Whether to go on.
    fn goes_on(&self) -> bool;
}

/// Calls until the view ends; gives what it saw.
pub async fn run_caller(
    name: String,
    view: Arc<impl CallerView>,
    mut random: ChaCha8Rng,
) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    let mut link: Option<CallerLink> = None;
    while view.goes_on() {
        sleep(Duration::from_millis(random.random_range(THINK))).await;
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        let id = format!("{name}x{}", calls.len());
        let key = view.choose_key(&mut random);
        let sent = epoch_micros();
        let usable = link.take().filter(|link| link.sender.is_ready());
        let chosen = match usable {
            Some(link) => Ok(link),
            None => connect(view.choose_relay(&mut random)).await,
        };
        let (relay, end) = match chosen {
            Err(relay) => (relay, CallEnd::NotConnected),
            Ok(mut used) => {
                let body = caller_body(&id);
                let asked = AskedCall { kind, id: &id, key: &key, name: &id, body };
                let end = call(&mut used.sender, &asked).await;
                let relay = used.relay;
                let (end, keeps) = end.unwrap_or((CallEnd::NoAnswer, false));
                link = Some(used).filter(|_| keeps);
                (relay, end)
            }
        };
        calls.push(CallRecord { id, kind, key, relay, sent, ended: epoch_micros(), end });
    }
    calls
}

/// Time between two calls with bad requests, in milliseconds.
const BAD_THINK: std::ops::Range<u64> = 50..600;

/// Sends bad requests until the view ends, each time under a new id, on a new connection and to any relay; gives what it saw.
pub async fn run_bad_caller(
    name: String,
    view: Arc<impl CallerView>,
    mut random: ChaCha8Rng,
) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    while view.goes_on() {
        sleep(Duration::from_millis(random.random_range(BAD_THINK))).await;
        let Some(BadRequest { kind, name: bad }) = view.choose_bad(&mut random) else { continue };
        let id = format!("{name}x{}", calls.len());
        let key = view.choose_key(&mut random);
        let sent = epoch_micros();
        let (relay, end) = match connect(view.choose_relay(&mut random)).await {
            Err(relay) => (relay, CallEnd::NotConnected),
            Ok(mut link) => {
                let asked = AskedCall { kind, id: &id, key: &key, name: &bad, body: bad.clone() };
                let end = call(&mut link.sender, &asked).await;
                (link.relay, end.map_or(CallEnd::NoAnswer, |(end, _)| end))
            }
        };
        calls.push(CallRecord { id, kind, key, relay, sent, ended: epoch_micros(), end });
    }
    calls
}

async fn connect((relay, address): (usize, SocketAddr)) -> Result<CallerLink, usize> {
    let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = stream else { return Err(relay) };
    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(relay);
    };
    tokio::spawn(async move {
        // How it ended is told to the call that was on it.
        let _ended = connection.await;
    });
    Ok(CallerLink { relay, sender })
}

/// A call to make.
struct AskedCall<'a> {
    kind: CallKind,
    id: &'a str,
    key: &'a str,
    /// Name that its path ends with.
    name: &'a str,
    body: String,
}

/// Makes one call; gives its end and whether the connection can be kept, and nothing where no answer
/// came in time.
async fn call(sender: &mut Sender, asked: &AskedCall<'_>) -> Option<(CallEnd, bool)> {
    let AskedCall { kind, id, key, name, body } = asked;
    let request = Request::post(caller_path(kind.prefix(), name))
        .header(header::HOST, HOST)
        .header(ATTEMPT_ID, *id)
        .header(DEADLINE, DEADLINE_MS)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Full::new(Bytes::from(body.clone())))
        .expect("a request of valid parts");
    let exchange = async {
        let answer = sender.send_request(request).await.ok()?;
        Some(read(answer).await)
    };
    timeout(CALL_TIME, exchange).await.ok().flatten()
}

async fn read(answer: http::Response<Incoming>) -> (CallEnd, bool) {
    let (parts, mut body) = answer.into_parts();
    let closes = parts.headers.get(header::CONNECTION).is_some_and(|value| value == "close");
    let mut bytes = Vec::new();
    let whole = loop {
        match body.frame().await {
            None => break true,
            Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
        }
    };
    let answer = CallAnswer {
        status: parts.status.as_u16(),
        sealed: parts.headers.contains_key(REPLICA_SEAL),
        whole,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    };
    (CallEnd::Answered(answer), whole && !closes)
}

/// Asks a relay whether it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    const PATIENCE: Duration = Duration::from_millis(500);
    let ask = async {
        let mut link = connect((0, address)).await.ok()?;
        let request = Request::get("/readyz").header(header::HOST, "relay").body(Full::default());
        let answer = link.sender.send_request(request.ok()?).await.ok()?;
        Some(answer.status() == StatusCode::OK)
    };
    timeout(PATIENCE, ask).await.ok().flatten().unwrap_or(false)
}
