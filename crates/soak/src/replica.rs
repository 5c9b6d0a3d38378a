//! The stand-in replica as a program, so that it can be killed and paused.
//!
//! It writes one line for each request before it responds, and none for calls of the platform. What
//! was written stays in the pipe if the replica is killed.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use clap::{Args, ValueEnum};
use serde_json::Value;
use switchfold_core::hash::hash_bytes;
use switchfold_kernel::clock::{epoch_micros, epoch_millis};
use switchfold_platform::{
    REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
    headers::{ATTEMPT_ID, ORGANISATION, PATH, PRIORITY, PROMPT_PARTS},
    objects::ObjectStore,
};
use switchfold_platform_standin::{
    EngineEvent, EngineModel, LayerLoader, ReceivedRequest, Reply, StandinEngine, StandinReplica,
    StreamEnd, reject,
    samples::{ENTRY_SLOTS, KIND, LAYERS, desk_entry, draining, in_data_centre, started_at},
    signed_response, unused_address,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{
    checks::{EVENT_COUNT, response_body},
    config::ANNEX,
    notices::ReplicaNotices,
    record::{CallKind, RunRecord},
    silence::RequestedSilence,
    weights::load_layers,
};

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// The same for a long stream.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(120);

/// Time that a request of the plain service takes.
const PROCESSING_TIME: Duration = Duration::from_millis(15);

/// Longest time that a slow request takes, in milliseconds. It is drawn by the id of the request.
const MAX_SLOW_TIME_MS: u64 = 4_000;

/// One in this many requests of the plain service fails.
const REQUESTS_PER_FAILURE: usize = 19;

/// Time for which a leaving replica keeps serving once the store has its announcement.
pub const LINGER: Duration = Duration::from_millis(2_600);

/// The same, for replicas that serve for longer after their announcement.
pub const LONG_LINGER: Duration = Duration::from_millis(8_000);

/// Time for which a leaving replica keeps writing its entry. After that the entry expires while the
/// replica still serves.
const KEEP_ENTRY_AFTER_LEAVING: Duration = Duration::from_millis(600);

/// Time limit for calls of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// The service that a replica belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum ServiceKind {
    /// The plain (non-streaming) service.
    Desk,
    /// The plain service that a route is moved to.
    Annex,
    /// The model's service, with streams.
    Engine,
}

/// Command-line arguments of a stand-in replica.
#[derive(Clone, Debug, Args)]
pub struct ReplicaArguments {
    /// Id of this instance.
    #[arg(long)]
    pub id: String,
    /// Service of the replica.
    #[arg(long, value_enum)]
    pub service: ServiceKind,
    /// Address under which relays reach the replica.
    #[arg(long)]
    pub advertise: SocketAddr,
    /// Address of the store.
    #[arg(long)]
    pub store: SocketAddr,
    /// Data centre of the replica.
    #[arg(long)]
    pub data_centre: String,
    /// Milliseconds for which the replica keeps serving once the store has its announcement that it
    /// leaves.
    #[arg(long)]
    pub linger_ms: u64,
    /// Milliseconds between two writes of the entry.
    #[arg(long, default_value_t = 300)]
    pub heartbeat_ms: u64,
    /// Age of an entry when it is written, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub lag_ms: u64,
    /// Kind of accelerator of an engine.
    #[arg(long, default_value = KIND)]
    pub kind: String,
    /// Number of layers of an engine's model.
    #[arg(long, default_value_t = LAYERS)]
    pub layers: u32,
    /// Number of requests that an engine runs at once, as its entry says.
    #[arg(long, default_value_t = ENTRY_SLOTS)]
    pub slots: u32,
    /// Address of the store of the weights, unless layers load at once.
    #[arg(long)]
    pub weights: Option<SocketAddr>,
}

impl ReplicaArguments {
    fn engine_model(&self) -> EngineModel {
        let Self { kind, layers, weights, .. } = self.clone();
        let loader = weights.map_or_else(|| EngineModel::default().loader, load_from);
        EngineModel { layers, kind, loader }
    }
}

/// Returns a loader from a store of weights. A load that the store does not answer is begun again.
fn load_from(weights: SocketAddr) -> LayerLoader {
    Arc::new(move |layers| {
        Box::pin(async move {
            while let Err(error) = load_layers(weights, layers).await {
                eprintln!("the weights cannot be loaded: {error}");
                sleep(STORE_TIMEOUT).await;
            }
        })
    })
}

/// Prefix of the first line that a replica writes: the address that it listens on follows.
pub const LISTENING_PREFIX: &str = "listens ";

/// Runs a replica until SIGTERM. It then announces in the store that it leaves, keeps serving for a
/// while, and exits.
///
/// # Errors
///
/// Fails if no port can be bound or the signal handlers cannot be installed.
pub async fn run_replica(arguments: ReplicaArguments) -> std::io::Result<()> {
    exit_with_parent();
    let mut term = signal(SignalKind::terminate())?;
    let notices = ReplicaNotices::default();
    notices.listen()?;
    let start_millis = epoch_millis();
    let engine = StandinEngine::started_at(start_millis).with_model(arguments.engine_model());
    let heartbeat = Duration::from_millis(arguments.heartbeat_ms);
    let lag = Duration::from_millis(arguments.lag_ms);
    let replica = match arguments.service {
        ServiceKind::Desk | ServiceKind::Annex => start_desk(&arguments, notices).await?,
        ServiceKind::Engine => start_engine(&arguments, engine.clone(), notices).await?,
    };
    println!("{LISTENING_PREFIX}{}", replica.address());
    let running_engine = engine.clone();
    tokio::spawn(async move { running_engine.run().await });
    let store = ObjectStore::new(&arguments.store.to_string(), STORE_TIMEOUT);
    let mut left_at: Option<Instant> = None;
    let mut is_leaving = false;
    let linger = Duration::from_millis(arguments.linger_ms);
    while left_at.is_none_or(|left_at| left_at.elapsed() < linger) {
        engine.take_cuts().iter().for_each(|id| println!("{CUT_PREFIX}{id}"));
        if left_at.is_some_and(|left_at| left_at.elapsed() > KEEP_ENTRY_AFTER_LEAVING) {
            sleep(heartbeat).await;
            continue;
        }
        let entry = entry(&arguments, &engine, start_millis, is_leaving);
        sleep(lag).await;
        let write_result = store.replace(REPLICA_KIND, &arguments.id, &entry).await;
        if is_leaving && left_at.is_none() && write_result.is_ok() {
            left_at = Some(Instant::now());
            println!("{LEAVING_PREFIX}{}", epoch_micros());
        }
        tokio::select! {
            _ = term.recv() => is_leaving = true,
            () = sleep(heartbeat.saturating_sub(lag)) => {}
        }
    }
    Ok(())
}

/// Exits when the soak that started this process has exited, which closes the pipe to standard
/// input.
fn exit_with_parent() {
    std::thread::spawn(|| {
        // An error means the same as the end of input.
        let _closed = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

/// Prefix of the line that a leaving replica writes once the store has its announcement: the time
/// in microseconds since the epoch follows.
pub const LEAVING_PREFIX: &str = "leaves ";

fn entry(
    arguments: &ReplicaArguments,
    engine: &StandinEngine,
    start_millis: u64,
    is_leaving: bool,
) -> Value {
    let mut entry = match arguments.service {
        ServiceKind::Desk | ServiceKind::Annex => {
            started_at(desk_entry(arguments.advertise), start_millis)
        }
        ServiceKind::Engine => engine.entry(arguments.advertise),
    };
    if arguments.service == ServiceKind::Annex {
        entry["service"] = ANNEX.into();
    }
    if arguments.service == ServiceKind::Engine {
        entry["slots"] = arguments.slots.into();
    }
    let entry = in_data_centre(entry, &arguments.data_centre);
    if is_leaving { draining(entry) } else { entry }
}

/// Prefix of the line that a replica writes when it has cut a stream that another replica of its path
/// stalled: the id of the request follows.
pub const CUT_PREFIX: &str = "cuts ";

/// Exit code of a replica that a request crashed.
pub const CRASH_EXIT_CODE: i32 = 86;

/// Time from the start of a request to the crash that it causes.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Path under which the first replica of a path forwards a request that crashes the second one.
const CRASH_PATH: &str = "/bad-part";

/// Prefix of the names of requests that crash replicas.
pub const CRASH_PREFIX: &str = "bad-";

/// Prefix of the names of requests that crash the second replica of their path.
pub const CRASH_SECOND_PREFIX: &str = "bad-later-";

/// Prefix of the ids of parts of a prompt that crash replicas, which are hexadecimal digits.
pub const CRASH_PART_PREFIX: &str = "dead";

/// Returns the part of a request's prompt that crashes replicas, if it has one.
fn crash_part(request: &ReceivedRequest) -> Option<String> {
    let parts = request.header(PROMPT_PARTS.as_str()).unwrap_or_default().split(',');
    let mut ids = parts.filter_map(|part| part.split_once(':')).map(|(id, _)| id);
    ids.find(|id| id.starts_with(CRASH_PART_PREFIX)).map(str::to_owned)
}

/// Returns the name of a request that crashes replicas, which is its body; `None` for any other
/// request.
fn crash_request_name(request: &ReceivedRequest) -> Option<String> {
    let body = String::from_utf8_lossy(&request.body);
    body.starts_with(CRASH_PREFIX).then(|| body.into_owned())
}

/// Crashes this replica after [`CRASH_DELAY`].
fn crash_soon() {
    tokio::spawn(async {
        sleep(CRASH_DELAY).await;
        std::process::exit(CRASH_EXIT_CODE);
    });
}

/// Forwards a request to the second replica of its path, which it crashes.
fn forward_crash_request(request: &ReceivedRequest) {
    let path = request.header("path").unwrap_or_default();
    let second = path.split(',').nth(1).and_then(|part| part.split_once('='));
    let Some(address) = second.map(|(address, _)| address.to_owned()) else { return };
    let (id, organisation) = (attempt_id(request).to_owned(), organisation(request));
    let body = String::from_utf8_lossy(&request.body).into_owned();
    tokio::spawn(async move {
        let head = format!(
            "POST {CRASH_PATH} HTTP/1.1\r\n{ATTEMPT_ID}: {id}\r\n{ORGANISATION}: {organisation}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        // If the second replica has already exited, there is nothing to crash.
        let _sent = stream.write_all((head + &body).as_bytes()).await;
        sleep(CRASH_DELAY * 2).await;
    });
}

async fn start_desk(
    arguments: &ReplicaArguments,
    notices: ReplicaNotices,
) -> std::io::Result<StandinReplica> {
    let id = arguments.id.clone();
    StandinReplica::start_at(unused_address()?, move |request: &ReceivedRequest| {
        if let Some(reply) = reject_request(&id, request, &notices) {
            return reply;
        }
        let bad = crash_request_name(request);
        write_record(&id, request, RunDetails { bad: bad.clone(), ..RunDetails::ran(&notices) });
        if bad.is_some() {
            crash_soon();
            return Reply::Silence;
        }
        let request_id = attempt_id(request);
        let fails =
            request_id.bytes().map(usize::from).sum::<usize>().is_multiple_of(REQUESTS_PER_FAILURE);
        let status = if fails { 500 } else { 200 };
        let reply =
            notices.add_headers(signed_response(request, status, &response_body(request_id)));
        let reply = match reply {
            Reply::Bytes(bytes) => Reply::BytesLater(processing_time(request), bytes),
            other => other,
        };
        make_silent(request, reply)
    })
    .await
}

fn processing_time(request: &ReceivedRequest) -> Duration {
    match request.target.starts_with(CallKind::SlowOnce.prefix()) {
        true => {
            let draw = hash_bytes(0, attempt_id(request).as_bytes());
            Duration::from_millis(draw % MAX_SLOW_TIME_MS)
        }
        false => PROCESSING_TIME,
    }
}

/// Number of streams of classes that an engine runs at once if their `Priority` is 0.
const CLASS_CAPACITY: usize = 10;

/// Number by which that falls with each step of `Priority`. Engines of the platform queue requests
/// and start the most urgent first; this one has no queue, and rejects less urgent ones earlier.
const CAPACITY_PER_PRIORITY: usize = 2;

/// Least urgent `Priority` that has less capacity than the one before. What is left for it, 4, is
/// more than the streams of classes that run outside the overload, one of each.
const LAST_PRIORITY: usize = 3;

/// The streams of classes that run at an engine.
#[derive(Clone, Debug, Default)]
struct ClassStreams {
    /// Times at which they end.
    ends: Arc<Mutex<VecDeque<Instant>>>,
}

impl ClassStreams {
    /// Returns whether the engine has capacity for a request, and counts it if so. Requests without
    /// a class always have.
    fn try_begin(&self, request: &ReceivedRequest) -> bool {
        let is_of_class = |kind: &CallKind| request.target.starts_with(kind.prefix());
        if !CallKind::CLASSES.iter().any(is_of_class) {
            return true;
        }
        let priority = request.header(PRIORITY.as_str()).and_then(|text| text.parse().ok());
        let priority = priority.unwrap_or(LAST_PRIORITY).min(LAST_PRIORITY);
        let now = Instant::now();
        let mut ends = self.ends.lock().expect("no task panics while it holds the lock");
        ends.retain(|end| *end > now);
        let has_capacity = ends.len() < CLASS_CAPACITY - CAPACITY_PER_PRIORITY * priority;
        if has_capacity {
            ends.push_back(now + EVENT_INTERVAL * EVENT_COUNT as u32);
        }
        has_capacity
    }
}

async fn start_engine(
    arguments: &ReplicaArguments,
    engine: StandinEngine,
    notices: ReplicaNotices,
) -> std::io::Result<StandinReplica> {
    let id = arguments.id.clone();
    let class_streams = ClassStreams::default();
    StandinReplica::start_at(unused_address()?, move |request: &ReceivedRequest| {
        let bad = crash_request_name(request).or_else(|| crash_part(request));
        if request.target == CRASH_PATH {
            write_record(&id, request, RunDetails { bad, ..RunDetails::ran(&notices) });
            crash_soon();
            return Reply::Silence;
        }
        if let Some(reply) = reject_request(&id, request, &notices) {
            return reply;
        }
        if !class_streams.try_begin(request) {
            write_record(&id, request, RunDetails { ran: false, ..RunDetails::ran(&notices) });
            return notices.add_headers(reject(request, 503, None));
        }
        let crashes_second = bad.as_ref().is_some_and(|name| name.starts_with(CRASH_SECOND_PREFIX));
        let interval = match request.target.starts_with(CallKind::LongStream.prefix()) {
            true => LONG_EVENT_INTERVAL,
            false => EVENT_INTERVAL,
        };
        let reply = engine.respond(request, EVENT_COUNT, interval, |event| {
            let has_started = event == EngineEvent::Started;
            let crashes_here = has_started && !crashes_second;
            let crashed_by = bad.clone().filter(|_| crashes_here);
            let details =
                RunDetails { ran: has_started, bad: crashed_by, ..RunDetails::ran(&notices) };
            write_record(&id, request, details);
            match has_started && bad.is_some() {
                true if crashes_second => forward_crash_request(request),
                true => crash_soon(),
                false => {}
            }
        });
        match notices.add_headers(reply) {
            // The stream starts and sends nothing more, since the replica that runs it crashes.
            Reply::Stream { head, pause, owner, gate, .. } if bad.is_some() => {
                Reply::Stream { head, ids: 0..0, pause, end: StreamEnd::Silence, owner, gate }
            }
            stream @ Reply::Stream { .. } => make_silent(request, stream),
            other => other,
        }
    })
    .await
}

/// Adds the silence that the caller asked for to a reply.
fn make_silent(request: &ReceivedRequest, reply: Reply) -> Reply {
    match RequestedSilence::of_request(request) {
        Some(silence) => silence.apply(reply),
        None => reply,
    }
}

fn attempt_id(request: &ReceivedRequest) -> &str {
    request.header(ATTEMPT_ID.as_str()).unwrap_or_default()
}

/// Body of the request with this id.
pub fn request_body(id: &str) -> String {
    format!("question of {id}")
}

/// Path of the request with this id, on the route with this prefix.
pub fn request_path(prefix: &str, id: &str) -> String {
    format!("{prefix}{id}?of={id}")
}

fn organisation(request: &ReceivedRequest) -> String {
    request.header(ORGANISATION.as_str()).unwrap_or_default().to_owned()
}

/// Rejects a caller's request, if the replica rejects requests now.
fn reject_request(
    replica: &str,
    request: &ReceivedRequest,
    notices: &ReplicaNotices,
) -> Option<Reply> {
    if [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str()) {
        return None;
    }
    let (asked, reply) = notices.reject_request(request)?;
    write_record(replica, request, RunDetails { ran: false, asked, ..RunDetails::ran(notices) });
    Some(notices.add_headers(reply))
}

/// Fields of a [`RunRecord`] that do not come from the request.
#[derive(Debug, Default)]
struct RunDetails {
    ran: bool,
    bad: Option<String>,
    asked: Option<u64>,
    leaving: bool,
    limit: Option<f64>,
}

impl RunDetails {
    fn ran(notices: &ReplicaNotices) -> Self {
        Self { ran: true, leaving: notices.is_leaving(), limit: notices.limit(), ..Self::default() }
    }
}

fn write_record(replica: &str, request: &ReceivedRequest, details: RunDetails) {
    let RunDetails { ran, bad, asked: wait_ms, leaving, limit } = details;
    let id = attempt_id(request);
    let crash_name = crash_request_name(request);
    let name = crash_name.as_deref().unwrap_or(id);
    let same_path =
        request.target.ends_with(&request_path("/", name)) || request.target == CRASH_PATH;
    let same_body = crash_name.is_some() || request.body == request_body(id).as_bytes();
    let record = RunRecord {
        id: id.to_owned(),
        replica: replica.to_owned(),
        ran,
        intact: same_path && same_body && request.method == "POST",
        organisation: organisation(request),
        path: request.header(PATH.as_str()).unwrap_or_default().to_owned(),
        at: epoch_micros(),
        bad,
        asked: wait_ms,
        leaving,
        limit,
    };
    let line = serde_json::to_string(&record).expect("a record serializes");
    println!("{line}");
}
