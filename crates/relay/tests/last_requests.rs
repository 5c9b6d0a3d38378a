//! Requests that arrive at the very end of a planned stop of a relay that gets little processor
//! time. The relay runs as a process, which is stopped and continued by signals.

mod harness;

use std::{net::SocketAddr, time::Duration};

use harness::{ONCE, WAIT_TIMEOUT, bounds, relay_process::RelayProcess, run_test};
use http::StatusCode;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore,
    samples::{HOST, KEY, config, desk_entry},
    signed_response,
};
use switchfold_relay::settings::BoundSettings;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, timeout},
};

/// Grace period of the stops, in seconds.
const GRACE_S: f64 = 4.0;

/// Times in milliseconds for which the relay runs, and for which it stands still, in turn: a tenth of
/// a processor or less, in short and in long turns.
const SHARES: [(u64, u64); 3] = [(3, 47), (20, 180), (30, 300)];

/// Work times of the replica, in milliseconds: from little to most of the grace period.
const WORK_MS: [u64; 4] = [10, 100, 700, 2_500];

/// Deadlines of requests, in milliseconds: from below the work times to beyond the grace period.
const DEADLINES_MS: [u64; 4] = [100, 600, 2_000, 20_000];

/// Number of connections at a time.
const CALLERS: usize = 40;

fn signal(relay: &RelayProcess, signal: Signal) {
    kill(Pid::from_raw(relay.child.id() as i32), signal).expect("the relay has not been reaped");
}

/// Lets the process stand still from before the last responses are due until after it should have
/// exited, and waits for its exit. Returns whether it has exited.
async fn pause_at_the_end(relay: &mut RelayProcess) -> bool {
    let grace = Duration::from_secs_f64(GRACE_S);
    sleep(grace - Duration::from_millis(450)).await;
    signal(relay, Signal::SIGSTOP);
    sleep(Duration::from_millis(350)).await;
    signal(relay, Signal::SIGCONT);
    for _ in 0..100 {
        sleep(Duration::from_millis(20)).await;
        if relay.child.try_wait().expect("a child").is_some() {
            return true;
        }
    }
    false
}

/// Lets the process run for a share of the time until it has exited, or for the grace period and a
/// little longer. Returns whether it has exited.
async fn starve(relay: &mut RelayProcess, (run_ms, pause_ms): (u64, u64)) -> bool {
    let ends_at = Instant::now() + Duration::from_secs_f64(GRACE_S + 1.0);
    while Instant::now() < ends_at {
        signal(relay, Signal::SIGSTOP);
        sleep(Duration::from_millis(pause_ms)).await;
        signal(relay, Signal::SIGCONT);
        sleep(Duration::from_millis(run_ms)).await;
        if relay.child.try_wait().expect("a child").is_some() {
            return true;
        }
    }
    false
}

/// How the bytes of a request arrive.
#[derive(Clone, Copy, Debug)]
enum Pieces {
    /// At once.
    Whole,
    /// The head in two pieces.
    Head(Duration),
    /// The body behind the head.
    Body(Duration),
}

/// A caller, whose requests follow each other on kept connections.
#[derive(Clone, Copy, Debug)]
struct Caller {
    relay: SocketAddr,
    number: usize,
    pieces: Pieces,
    deadline_ms: u64,
    /// Pause between a response and the next request.
    gap: Duration,
}

impl Caller {
    fn new(relay: SocketAddr, number: usize) -> Self {
        let pause = Duration::from_millis(37 * (number as u64 % 9));
        let pieces = match number % 3 {
            0 => Pieces::Whole,
            1 => Pieces::Head(pause),
            _ => Pieces::Body(pause),
        };
        let deadline_ms = DEADLINES_MS[number / WORK_MS.len() % DEADLINES_MS.len()];
        let gap = Duration::from_millis(7 * (number as u64 % 5));
        Self { relay, number, pieces, deadline_ms, gap }
    }

    /// Sends requests until the relay accepts no connection any more.
    async fn call_until_gone(self) {
        for connection in 0.. {
            let Ok(mut stream) = TcpStream::connect(self.relay).await else { return };
            for number in 0.. {
                let id = format!("{}-{connection}-{number}", self.number);
                if self.call(&mut stream, &id).await.is_none() {
                    break;
                }
                sleep(self.gap).await;
            }
        }
    }

    /// Sends a request and reads the head of the response; `None` if the connection is not to be used
    /// again.
    async fn call(&self, stream: &mut TcpStream, id: &str) -> Option<()> {
        let head = format!(
            "POST /once/a HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
             x-attempt-id: {id}\r\nx-deadline-ms: {}\r\ncontent-length: 8\r\n\r\n",
            self.deadline_ms
        );
        let whole = head.clone() + "question";
        let (len, pause) = match self.pieces {
            Pieces::Whole => (whole.len(), Duration::ZERO),
            Pieces::Head(pause) => (head.len() / 2, pause),
            Pieces::Body(pause) => (head.len() + 4, pause),
        };
        stream.write_all(&whole.as_bytes()[..len]).await.ok()?;
        sleep(pause).await;
        stream.write_all(&whole.as_bytes()[len..]).await.ok()?;
        let mut response = Vec::new();
        while !response.ends_with(b"confirmed") && !is_empty_response(&response) {
            let read = timeout(WAIT_TIMEOUT, stream.read_buf(&mut response)).await;
            if read.expect("the relay responds or is gone").ok()? == 0 {
                return None;
            }
        }
        let text = String::from_utf8_lossy(&response).to_ascii_lowercase();
        (!text.contains("connection: close")).then_some(())
    }
}

fn is_empty_response(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response).to_ascii_lowercase();
    text.ends_with("\r\n\r\n") && text.contains("content-length: 0")
}

fn respond_after_work(received: &ReceivedRequest) -> Reply {
    let id = received.header("x-attempt-id").unwrap_or_default();
    let number = id.split('-').next().and_then(|number| number.parse::<usize>().ok());
    match signed_response(received, 200, "confirmed") {
        Reply::Bytes(bytes) => {
            let work_ms = number.map_or(0, |number| WORK_MS[number % WORK_MS.len()]);
            Reply::BytesLater(Duration::from_millis(work_ms), bytes)
        }
        other => other,
    }
}

/// Guards against requests that a stopping relay had read when it exited, and that got no response.
#[test]
fn a_starved_relay_leaves_no_request_that_it_has_read_without_a_response() {
    for share in SHARES {
        run_test(stop_starved(share));
    }
}

/// Guards against requests that were due to be responded to while a stopping relay stood still, and
/// that it cut when it exited at once afterwards.
#[test]
fn a_relay_that_stood_still_at_the_end_of_a_stop_responds_before_it_exits() {
    run_test(async {
        let (mut relay, callers, _replica) = start("paused").await;
        signal(&relay, Signal::SIGTERM);
        assert!(pause_at_the_end(&mut relay).await, "the relay exits");
        check_end(&relay, callers, "paused").await;
    });
}

async fn stop_starved(share: (u64, u64)) {
    let (mut relay, callers, _replica) = start(&format!("{}-{}", share.0, share.1)).await;
    signal(&relay, Signal::SIGTERM);
    assert!(starve(&mut relay, share).await, "the relay exits within its grace period");
    check_end(&relay, callers, &format!("{share:?}")).await;
}

/// Starts a relay with a replica, and callers.
async fn start(name: &str) -> (RelayProcess, Vec<JoinHandle<()>>, StandinReplica) {
    let store = StandinStore::start().await;
    store.put(CONFIG_KIND, CONFIG_NAME, config(1, &[ONCE], &[KEY]));
    let replica = StandinReplica::start(respond_after_work).await;
    store.put(REPLICA_KIND, "i-1", desk_entry(replica.address()));
    let bounds = BoundSettings { revoke_ms: 60_000.0, grace_s: GRACE_S, ..bounds() };
    let relay = RelayProcess::start(&store, &format!("last-{name}"), &bounds, "info").await;
    let served = relay.call("/once/a", "first").await;
    assert_eq!(served.expect("a response").status, StatusCode::OK);
    let callers = (0..CALLERS)
        .map(|number| spawn_local(Caller::new(relay.callers, number).call_until_gone()))
        .collect();
    sleep(Duration::from_millis(300)).await;
    (relay, callers, replica)
}

/// Checks that no request was in progress when the relay exited.
async fn check_end(relay: &RelayProcess, callers: Vec<JoinHandle<()>>, name: &str) {
    for caller in callers {
        caller.await.expect("no panic");
    }
    let cut = relay.events("request-ended");
    let cut: Vec<_> = cut.iter().filter(|line| line["cause"] == "process-exit").collect();
    assert!(cut.is_empty(), "{} requests, {name}: {cut:?}", cut.len());
    let stopped = relay.events("stopped");
    assert_eq!(stopped[0]["in_flight"], 0, "{name}: {stopped:?}");
}
