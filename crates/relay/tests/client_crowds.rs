//! Crowds of clients that send large or unfinished requests, or read no responses. The relay runs as a
//! process, so that its memory and descriptors can be measured.

mod harness;

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use harness::{
    ONCE, STREAM, bounds, relay_process::RelayProcess, respond_healthy, run_test, wait_until,
};
use http::StatusCode;
use serde_json::json;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore,
    samples::{self, HOST, KEY, desk_entry, model_entry},
    signed_response,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Semaphore,
    task::{JoinHandle, spawn_local},
    time::timeout,
};

/// Connections of a crowd.
const CROWD: usize = 800;

/// Memory of the VM, in KB.
const MEMORY_KB: u64 = 64 * 1_024;

/// Descriptors that the process may have open.
const MAX_DESCRIPTORS: usize = 600;

/// Limits of the configuration, in bytes.
const MAX_BODY: usize = 65_536;
const MAX_HEADER: usize = 8_192;

/// Size of the parts in which a body is sent, in bytes.
const PIECE: usize = 4_096;

/// Bytes of a head without an end.
const HEAD_BYTES: usize = 7_500;

/// Requests on a connection whose responses are not read.
const UNREAD_REQUESTS: usize = 64;

/// Bytes of a response that is not read.
const UNREAD_BYTES: usize = 100_000;

/// Time after which a client that cannot send more only stays.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Response that is not the final one, in lower case.
const INTERIM: &str = "http/1.1 100 continue\r\n\r\n";

/// Crowds run one after the other, since they use many descriptors and much memory.
static ALONE: Mutex<()> = Mutex::new(());

/// What a client of a crowd sends, in parts.
type ClientScript = fn(usize) -> Vec<Vec<u8>>;

/// Returns the head of a request, on one of two routes and with one of three keys in turn, without
/// the empty line at its end.
fn head(number: usize, framing: &str) -> String {
    let path = ["/once/crowd", "/stream/crowd"][number % 2];
    let key = [format!("authorization: Bearer {KEY}\r\n"), bearer("unknown"), String::new()];
    let key = &key[number / 2 % 3];
    format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: c{number}\r\n{key}{framing}\r\n")
}

fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

fn with_length(number: usize, length: usize) -> Vec<u8> {
    format!("{}\r\n", head(number, &format!("content-length: {length}"))).into_bytes()
}

fn chunked(number: usize) -> Vec<u8> {
    format!("{}\r\n", head(number, "transfer-encoding: chunked")).into_bytes()
}

fn whole(number: usize) -> Vec<Vec<u8>> {
    vec![[with_length(number, MAX_BODY), vec![b'x'; MAX_BODY - 1]].concat()]
}

fn pieces(number: usize) -> Vec<Vec<u8>> {
    let body = vec![b'x'; MAX_BODY - 1];
    let pieces = body.chunks(PIECE).map(<[u8]>::to_vec);
    std::iter::once(with_length(number, MAX_BODY)).chain(pieces).collect()
}

fn one_chunk(number: usize) -> Vec<Vec<u8>> {
    vec![[chunked(number), chunk(&[b'x'; MAX_BODY])].concat()]
}

fn small_chunks(number: usize) -> Vec<Vec<u8>> {
    vec![[chunked(number), chunk(b"x").repeat(1_024)].concat()]
}

fn announced(number: usize) -> Vec<Vec<u8>> {
    vec![with_length(number, MAX_BODY * 100), vec![b'x'; MAX_BODY]]
}

fn excess(number: usize) -> Vec<Vec<u8>> {
    std::iter::once(chunked(number)).chain(vec![chunk(&[b'x'; MAX_BODY]); 4]).collect()
}

fn expecting(number: usize) -> Vec<Vec<u8>> {
    let framing = format!("expect: 100-continue\r\ncontent-length: {MAX_BODY}");
    vec![format!("{}\r\n", head(number, &framing)).into_bytes()]
}

fn unfinished_head(number: usize) -> Vec<Vec<u8>> {
    let mut head = head(number, "x-filler: ").into_bytes();
    head.truncate(head.len() - 2);
    head.resize(HEAD_BYTES, b'x');
    vec![head]
}

fn silent(_: usize) -> Vec<Vec<u8>> {
    Vec::new()
}

fn unread(number: usize) -> Vec<Vec<u8>> {
    let body = "content-length: 1";
    let path = ["/once/large", "/stream/large"][number % 2];
    let head = head(0, body).replace("/once/crowd", path);
    vec![format!("{head}\r\nx").into_bytes(); UNREAD_REQUESTS]
}

/// A crowd whose connections stay open until it is dropped.
struct ClientCrowd {
    clients: Vec<JoinHandle<()>>,
    responses: Rc<Mutex<Vec<String>>>,
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

impl ClientCrowd {
    /// Starts a crowd, and waits until each client has sent what it can.
    async fn start(address: SocketAddr, script: ClientScript, reads: bool) -> Self {
        let responses: Rc<Mutex<Vec<String>>> = Rc::default();
        let sent = Rc::new(Semaphore::new(0));
        let clients = (0..CROWD).map(|number| {
            let (responses, sent) = (responses.clone(), sent.clone());
            spawn_local(async move {
                let stream = connect(address, reads).await;
                let (mut reader, mut writer) = match stream {
                    Some(stream) => stream.into_split(),
                    None => return sent.add_permits(1),
                };
                let sending = async {
                    for part in script(number) {
                        if writer.write_all(&part).await.is_err() {
                            break;
                        }
                    }
                };
                let _has_stalled = timeout(SEND_TIMEOUT, sending).await;
                sent.add_permits(1);
                let mut response = Vec::new();
                if reads {
                    // An error means that the relay has closed the connection.
                    let _read = reader.read_to_end(&mut response).await;
                    let text = String::from_utf8_lossy(&response).into_owned();
                    lock(&responses).push(text);
                }
                std::future::pending::<()>().await;
                drop(writer);
            })
        });
        let clients = clients.collect();
        sent.acquire_many(CROWD as u32).await.expect("the semaphore is open").forget();
        Self { clients, responses }
    }

    /// Returns the responses so far on connections that the relay has closed.
    fn responses(&self) -> Vec<String> {
        lock(&self.responses).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens a connection; one that reads nothing has a small buffer.
async fn connect(address: SocketAddr, reads: bool) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    if !reads {
        socket.set_recv_buffer_size(PIECE as u32).expect("a size");
    }
    timeout(harness::WAIT_TIMEOUT, socket.connect(address)).await.ok()?.ok()
}

fn respond(received: &ReceivedRequest) -> Reply {
    match received.target.as_str() {
        "/once/large" | "/stream/large" => {
            signed_response(received, 200, &"x".repeat(UNREAD_BYTES))
        }
        _ => respond_healthy(received),
    }
}

async fn start_relay(name: &str) -> (RelayProcess, [StandinReplica; 2], StandinStore) {
    let store = StandinStore::start().await;
    let mut config = samples::config(1, &[ONCE, STREAM], &[KEY]);
    config["limits"]["max_body_bytes"] = json!(MAX_BODY);
    config["limits"]["max_header_bytes"] = json!(MAX_HEADER);
    store.put(CONFIG_KIND, CONFIG_NAME, config);
    let replicas = [StandinReplica::start(respond).await, StandinReplica::start(respond).await];
    let entries = [
        ("i-1", desk_entry(replicas[0].address())),
        ("i-2", model_entry(replicas[1].address(), 0, samples::LAYERS)),
    ];
    entries.into_iter().for_each(|(id, entry)| store.put(REPLICA_KIND, id, entry));
    let vm = json!({"memory_mb": MEMORY_KB / 1_024, "max_descriptors": MAX_DESCRIPTORS});
    let name = format!("crowd-{name}");
    let relay = RelayProcess::start_with(&store, &name, &bounds(), "warn", vm).await;
    (relay, replicas, store)
}

/// Sends an ordinary request until it gets a response: new connections may be closed unread.
async fn call_ordinary(relay: &RelayProcess, id: &str) -> StatusCode {
    let mut status = None;
    wait_until(async || {
        status = relay.call("/once/a", id).await.map(|response| response.status);
        status.is_some()
    })
    .await;
    status.expect("a status")
}

/// Checks the bounds while a crowd is there and when it has gone.
fn check_crowd(
    name: &str,
    script: ClientScript,
    reads: bool,
    at: fn(&RelayProcess) -> Vec<SocketAddr>,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    run_test(async {
        let (mut relay, _replicas, _store) = start_relay(name).await;
        let idle_kb = relay.peak_memory_kb();
        for address in at(&relay) {
            let crowd = ClientCrowd::start(address, script, reads).await;
            let status = call_ordinary(&relay, "beside").await;
            assert!([200, 408, 429, 503].contains(&status.as_u16()), "{name}: {status}");
            let descriptors = relay.descriptors();
            println!(
                "{name}: {idle_kb} KB idle, {} KB peak, {descriptors} descriptors",
                relay.peak_memory_kb()
            );
            assert!(descriptors < MAX_DESCRIPTORS, "{name}: {descriptors} descriptors");
            for response in crowd.responses() {
                let response = response.to_lowercase().replace(INTERIM, "");
                let is_final = response.is_empty() || response.contains("connection: close");
                assert!(is_final, "{name}: {response}");
            }
            drop(crowd);
        }
        wait_until(async || call_ordinary(&relay, "after").await == StatusCode::OK).await;
        assert!(relay.child.try_wait().expect("a child").is_none(), "{name}: the relay has ended");
        let peak = relay.peak_memory_kb();
        println!("{name}: {} KB when it has gone", relay.memory_kb());
        assert!(peak < MEMORY_KB, "{name}: {peak} KB, {idle_kb} KB before");
    });
}

fn at_callers(relay: &RelayProcess) -> Vec<SocketAddr> {
    vec![relay.callers]
}

#[test]
fn whole_bodies_without_their_last_byte() {
    check_crowd("whole", whole, true, at_callers);
}

#[test]
fn bodies_in_pieces_without_their_last_byte() {
    check_crowd("pieces", pieces, true, at_callers);
}

#[test]
fn bodies_in_one_chunk_without_the_last_chunk() {
    check_crowd("chunk", one_chunk, true, at_callers);
}

#[test]
fn bodies_in_small_chunks_without_the_last_chunk() {
    check_crowd("small-chunks", small_chunks, true, at_callers);
}

#[test]
fn bodies_that_announce_more_than_the_limit() {
    check_crowd("announced", announced, true, at_callers);
}

#[test]
fn bodies_that_exceed_the_limit() {
    check_crowd("excess", excess, true, at_callers);
}

#[test]
fn bodies_that_are_announced_and_never_sent() {
    check_crowd("expect", expecting, true, at_callers);
}

#[test]
fn heads_without_an_end() {
    check_crowd("head", unfinished_head, true, at_callers);
}

#[test]
fn connections_without_a_request() {
    check_crowd("silent", silent, true, at_callers);
}

#[test]
fn responses_that_are_not_read() {
    check_crowd("unread", unread, false, at_callers);
}

#[test]
fn heads_without_an_end_at_the_other_ports() {
    check_crowd("other-ports", unfinished_head, true, |relay| vec![relay.ready, relay.metrics]);
}
