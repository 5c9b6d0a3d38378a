//! The stand-in replica as a program of its own, so that it can be killed and paused.
//!
//! It writes one line for each request before it answers, and none for the calls of the platform. The
//! pipe keeps what was written when it is killed.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use clap::{Args, ValueEnum};
use serde_json::Value;
use switchfold_kernel::clock::{epoch_micros, epoch_millis};
use switchfold_platform::{
    REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
    headers::{ATTEMPT_ID, ORGANISATION},
    objects::ObjectStore,
};
use switchfold_platform_standin::{
    EngineEvent, ReceivedRequest, Reply, StandinEngine, StandinReplica, StreamEnd,
    samples::{desk_entry, draining, in_data_centre, started_at},
    signed_response,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{
    checks::{EVENTS, own_body},
    notices::ReplicaNotices,
    record::RunRecord,
};

/// Time between two writes of its entry to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(300);

/// Time between the events of a stream.
const PAUSE: Duration = Duration::from_millis(25);

/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(15);

/// Of plain requests, one in so many fails.
const FAILS_ONE_IN: usize = 19;

/// Time that a leaving replica serves on after the store has it.
pub const LINGER: Duration = Duration::from_millis(2_600);

/// The same of a replica that stays for long.
pub const LONG_LINGER: Duration = Duration::from_millis(8_000);

/// Time after its leaving for which a replica keeps its entry alive.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// Time that the store has for an answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Service of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum ServiceKind {
    /// The plain service.
    Desk,
    /// The model.
    Engine,
}

/// What a replica is started with.
#[derive(Clone, Debug, Args)]
pub struct ReplicaArguments {
    /// Id of this start.
    #[arg(long)]
    pub id: String,
    /// Its service.
    #[arg(long, value_enum)]
    pub service: ServiceKind,
    /// Address under which others reach it.
    #[arg(long)]
    pub advertise: SocketAddr,
    /// Address of the store.
    #[arg(long)]
    pub store: SocketAddr,
    /// Its data centre.
    #[arg(long)]
    pub data_centre: String,
    /// Time that it serves on after the store has taken that it leaves, in milliseconds.
    #[arg(long)]
    pub linger_ms: u64,
}

/// First line that a replica writes: where it listens.
pub const LISTENS: &str = "listens ";

/// Runs a replica until SIGTERM; then it says that it leaves, serves on for a while, and ends.
///
/// # Errors
///
/// Fails where no port or signal is to be had.
pub async fn run_replica(arguments: ReplicaArguments) -> std::io::Result<()> {
    end_when_abandoned();
    let mut term = signal(SignalKind::terminate())?;
    let notices = ReplicaNotices::default();
    notices.listen()?;
    let born = epoch_millis();
    let engine = StandinEngine::started_at(born);
    let replica = match arguments.service {
        ServiceKind::Desk => start_desk(&arguments, notices).await?,
        ServiceKind::Engine => start_engine(&arguments, engine.clone(), notices).await?,
    };
    println!("{LISTENS}{}", replica.address());
    let running = engine.clone();
    tokio::spawn(async move { running.run().await });
    let store = ObjectStore::new(&arguments.store.to_string(), STORE_TIMEOUT);
    let mut told: Option<Instant> = None;
    let mut leaves = false;
    let linger = Duration::from_millis(arguments.linger_ms);
    while told.is_none_or(|told| told.elapsed() < linger) {
        if told.is_some_and(|told| told.elapsed() > SILENT_AFTER) {
            sleep(HEARTBEAT).await;
            continue;
        }
        let entry = entry(&arguments, &engine, born, leaves);
        let written = store.replace(REPLICA_KIND, &arguments.id, &entry).await;
        if leaves && told.is_none() && written.is_ok() {
            told = Some(Instant::now());
            println!("{LEAVES}{}", epoch_micros());
        }
        tokio::select! {
            _ = term.recv() => leaves = true,
            () = sleep(HEARTBEAT) => {}
        }
    }
    Ok(())
}

/// Ends the process once the soak that started it is gone: its end of the input is closed then.
fn end_when_abandoned() {
    std::thread::spawn(|| {
        // A failed read says the same as an end.
        let _ended = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

/// Line by which a leaving replica says that the store has it, with the time.
pub const LEAVES: &str = "leaves ";

fn entry(arguments: &ReplicaArguments, engine: &StandinEngine, born: u64, leaves: bool) -> Value {
    let entry = match arguments.service {
        ServiceKind::Desk => started_at(desk_entry(arguments.advertise), born),
        ServiceKind::Engine => engine.entry(arguments.advertise),
    };
    let entry = in_data_centre(entry, &arguments.data_centre);
    if leaves { draining(entry) } else { entry }
}

/// Exit code of a replica that a bad request ended.
pub const BAD_EXIT: i32 = 86;

/// Time from the beginning of a bad request to the end of its replica.
const BAD_AFTER: Duration = Duration::from_millis(40);

/// Where a first replica tells the second one of a path of its part in a bad request.
const BAD_PART: &str = "/bad-part";

/// Beginning of the names of bad requests.
pub const BAD: &str = "bad-";

/// Beginning of the names of those that end the second replica of their paths.
pub const BAD_LATER: &str = "bad-later-";

/// Name of a bad request, which is its body.
fn bad_name(request: &ReceivedRequest) -> Option<String> {
    let body = String::from_utf8_lossy(&request.body);
    body.starts_with(BAD).then(|| body.into_owned())
}

/// Ends this replica a little later, as a bad request does.
fn end_soon() {
    tokio::spawn(async {
        sleep(BAD_AFTER).await;
        std::process::exit(BAD_EXIT);
    });
}

/// Hands the second replica of a path its part of a bad request.
fn pass_bad_part(request: &ReceivedRequest) {
    let path = request.header("path").unwrap_or_default();
    let second = path.split(',').nth(1).and_then(|part| part.split_once('='));
    let Some(address) = second.map(|(address, _)| address.to_owned()) else { return };
    let (id, organisation) = (attempt_id(request).to_owned(), organisation(request));
    let body = String::from_utf8_lossy(&request.body).into_owned();
    tokio::spawn(async move {
        let head = format!(
            "POST {BAD_PART} HTTP/1.1\r\n{ATTEMPT_ID}: {id}\r\n{ORGANISATION}: {organisation}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        // Where the second one is gone already, there is nothing to end.
        let _sent = stream.write_all((head + &body).as_bytes()).await;
        sleep(BAD_AFTER * 2).await;
    });
}

async fn start_desk(
    arguments: &ReplicaArguments,
    notices: ReplicaNotices,
) -> std::io::Result<StandinReplica> {
    let id = arguments.id.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    StandinReplica::start_at(any, move |request: &ReceivedRequest| {
        if let Some(reply) = turn_away(&id, request, &notices) {
            return reply;
        }
        let bad = bad_name(request);
        note(&id, request, RunNote { bad: bad.clone(), ..RunNote::ran(&notices) });
        if bad.is_some() {
            end_soon();
            return Reply::Silence;
        }
        let attempt = attempt_id(request);
        let fails = attempt.bytes().map(usize::from).sum::<usize>().is_multiple_of(FAILS_ONE_IN);
        let status = if fails { 500 } else { 200 };
        match notices.mark(signed_response(request, status, &own_body(attempt))) {
            Reply::Bytes(bytes) => Reply::BytesLater(WORK, bytes),
            other => other,
        }
    })
    .await
}

async fn start_engine(
    arguments: &ReplicaArguments,
    engine: StandinEngine,
    notices: ReplicaNotices,
) -> std::io::Result<StandinReplica> {
    let id = arguments.id.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    StandinReplica::start_at(any, move |request: &ReceivedRequest| {
        let bad = bad_name(request);
        if request.target == BAD_PART {
            note(&id, request, RunNote { bad, ..RunNote::ran(&notices) });
            end_soon();
            return Reply::Silence;
        }
        if let Some(reply) = turn_away(&id, request, &notices) {
            return reply;
        }
        let is_later = bad.as_ref().is_some_and(|name| name.starts_with(BAD_LATER));
        let reply = engine.respond(request, EVENTS, PAUSE, |event| {
            let began = event == EngineEvent::Started;
            let ends_here = began && !is_later;
            let bad_here = bad.clone().filter(|_| ends_here);
            let noted = RunNote { ran: began, bad: bad_here, ..RunNote::ran(&notices) };
            note(&id, request, noted);
            match began && bad.is_some() {
                true if is_later => pass_bad_part(request),
                true => end_soon(),
                false => {}
            }
        });
        match notices.mark(reply) {
            // It begins, and has no end: whoever runs it is gone before.
            Reply::Stream { head, pause, owner, gate, .. } if bad.is_some() => {
                Reply::Stream { head, ids: 0..0, pause, end: StreamEnd::Silence, owner, gate }
            }
            other => other,
        }
    })
    .await
}

fn attempt_id(request: &ReceivedRequest) -> &str {
    request.header(ATTEMPT_ID.as_str()).unwrap_or_default()
}

/// Body that a caller sends with a request.
pub fn caller_body(id: &str) -> String {
    format!("question of {id}")
}

/// Path that a caller sends a request to.
pub fn caller_path(prefix: &str, id: &str) -> String {
    format!("{prefix}{id}?of={id}")
}

fn organisation(request: &ReceivedRequest) -> String {
    request.header(ORGANISATION.as_str()).unwrap_or_default().to_owned()
}

/// Turns a caller's request away, where the replica does so at the moment.
fn turn_away(replica: &str, request: &ReceivedRequest, notices: &ReplicaNotices) -> Option<Reply> {
    if [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str()) {
        return None;
    }
    let (asked, reply) = notices.turn_away(request)?;
    note(replica, request, RunNote { ran: false, asked, ..RunNote::ran(notices) });
    Some(notices.mark(reply))
}

/// What a replica notes of a request beside what the request says.
#[derive(Debug, Default)]
struct RunNote {
    ran: bool,
    bad: Option<String>,
    asked: Option<u64>,
    leaving: bool,
    limit: Option<f64>,
}

impl RunNote {
    fn ran(notices: &ReplicaNotices) -> Self {
        Self { ran: true, leaving: notices.is_leaving(), limit: notices.limit(), ..Self::default() }
    }
}

fn note(replica: &str, request: &ReceivedRequest, noted: RunNote) {
    let RunNote { ran, bad, asked: backoff, leaving, limit } = noted;
    let id = attempt_id(request);
    let asked = bad_name(request);
    let name = asked.as_deref().unwrap_or(id);
    let path = request.target.ends_with(&caller_path("/", name)) || request.target == BAD_PART;
    let body = asked.is_some() || request.body == caller_body(id).as_bytes();
    let record = RunRecord {
        id: id.to_owned(),
        replica: replica.to_owned(),
        ran,
        intact: path && body && request.method == "POST",
        organisation: organisation(request),
        at: epoch_micros(),
        bad,
        asked: backoff,
        leaving,
        limit,
    };
    let line = serde_json::to_string(&record).expect("records are plain data");
    println!("{line}");
}
