//! Replicas that turn requests away and ask for time: what reaches them all the same, and what callers get.
//!
//! Run it with `cargo bench -p switchfold-relay`. Three replicas of a service, one relay and callers that each make one call
//! after the other share one thread; for three seconds some replicas turn all away and ask for three seconds. 8 cores; one
//! run a row.
//!
//! Requests that reached the replica worst off later than half a second after it asked (two may), and callers served within
//! 300 ms and refused, before what replicas ask for was heard and after:
//!
//! | service | asking | callers | reached before, after | in time before, after | refused before, after |
//! |---|---|---|---|---|---|
//! | streams | one of three | 1, 30, 300 | 10, 60, 347; 0, 0, 0 | 52, 1,516, 8,491; 52, 1,570, 12,874 | 0; 0 |
//! | streams | two of three | 1, 30, 300 | 10, 27, 600; 0, 0, 0 | 52, 1,730, 9,550; 52, 1,752, 12,571 | 0; 0 |
//! | streams | all | 1, 30, 300 | 12, 345, 2,863; 0, 0, 0 | 5, 150, 652; 6, 150, 772 | 16, 453, 3,778; 134, 3,750, 27,174 |
//! | plain | one of three | 1, 30, 300 | 0; 0 | 151, 3,699, 12,172; 154, 4,111, 21,745 | 0; 0 |
//! | plain | two of three | 1, 30, 300 | 0; 0 | 152, 3,931, 12,848; 153, 4,021, 21,986 | 1, 3, 4; 1, 4, 0 |
//! | plain | all | 1, 30, 300 | 76, 1,193, 3,598; 0, 0, 0 | 14, 331, 1,137; 15, 390, 1,487 | 138, 3,580, 11,493; 133, 3,690, 26,333 |
//!
//! Where all want time nobody can be served; refused callers come back at once here, whatever they are told, and more are
//! refused since each is told sooner. Late at 300 callers are 171 to 195 in each row, before and after: the first of each.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use harness::{ROUTES, RunningRelay, bounds, respond_healthy, run_test};
use http::StatusCode;
use serde_json::Value;
use switchfold_platform::{
    CONFIG_KIND, CONFIG_NAME, REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
};
use switchfold_platform_standin::{
    ReceivedRequest, StandinReplica, StandinStore, reject,
    samples::{KEY, LAYERS, config, desk_entry, model_entry},
    with_header,
};
use tokio::time::sleep;

const REPLICAS: usize = 3;
const ASKED: Duration = Duration::from_secs(3);
const ON_THE_WAY: Duration = Duration::from_millis(500);
const THINK: Duration = Duration::from_millis(20);
const OBJECTIVE: Duration = Duration::from_millis(300);

fn is_control(request: &ReceivedRequest) -> bool {
    [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str())
}

/// Where a replica was reached in the time in which it wanted nothing.
#[derive(Clone, Default)]
struct Reached(Arc<Mutex<(Option<Instant>, usize)>>);

impl Reached {
    fn note(&self) {
        let mut seen = self.0.lock().expect("no script panics");
        let first = *seen.0.get_or_insert_with(Instant::now);
        let since = first.elapsed();
        seen.1 += usize::from(since > ON_THE_WAY && since < ASKED);
    }
}

#[derive(Default)]
struct Served {
    in_time: usize,
    late: usize,
    refused: usize,
}

impl Served {
    fn note(&mut self, status: StatusCode, took: Duration) {
        match status {
            StatusCode::OK if took <= OBJECTIVE => self.in_time += 1,
            StatusCode::OK => self.late += 1,
            _ => self.refused += 1,
        }
    }
}

async fn play(path: &str, entry: fn(SocketAddr) -> Value, asking: usize, callers: usize) {
    let is_closed = Arc::new(AtomicBool::new(false));
    let store = StandinStore::start().await;
    let mut sample = config(1, &ROUTES, &[KEY]);
    sample["services"][1]["engine"]["kinds"][0]["mb"] = 1e9.into();
    store.put(CONFIG_KIND, CONFIG_NAME, sample);
    let reached: Vec<Reached> = (0..REPLICAS).map(|_| Reached::default()).collect();
    for (number, reached) in reached.iter().enumerate() {
        let (is_closed, reached) = (is_closed.clone(), reached.clone());
        let replica = StandinReplica::start(move |request: &ReceivedRequest| {
            let closed = number < asking && is_closed.load(Ordering::SeqCst);
            if is_control(request) || !closed {
                return respond_healthy(request);
            }
            reached.note();
            with_header(reject(request, 503, None), "Retry-After", "3")
        })
        .await;
        let mut own = entry(replica.address());
        own["slots"] = 1_000.into();
        store.put(REPLICA_KIND, &format!("i-{number}"), own);
    }
    let relay = RunningRelay::start_with_store(store, bounds()).await;
    relay.wait_ready(StatusCode::OK).await;
    let served = Mutex::new(Served::default());
    let relay = &relay;
    let calls = (0..callers).map(|caller| {
        let served = &served;
        let is_closed = &is_closed;
        async move {
            let begun = Instant::now();
            let mut number = 0;
            while begun.elapsed() < ASKED + OBJECTIVE {
                is_closed.fetch_or(begun.elapsed() > OBJECTIVE, Ordering::SeqCst);
                let id = format!("c{caller}-{number}");
                let sent = Instant::now();
                let called = relay.get(&format!("{path}{id}"), &id).await;
                served.lock().expect("no caller panics").note(called.status, sent.elapsed());
                number += 1;
                sleep(THINK).await;
            }
        }
    });
    join_all(calls).await;
    let Served { in_time, late, refused } = served.into_inner().expect("no caller panics");
    let reached: Vec<usize> =
        reached.iter().map(|one| one.0.lock().expect("no script panics").1).collect();
    println!(
        "{path:8} {asking} of {REPLICAS} ask, {callers:3} callers: reached {reached:?}, in time {in_time}, late {late}, refused {refused}"
    );
}

fn main() {
    let whole_model: fn(SocketAddr) -> Value = |address| model_entry(address, 0, LAYERS);
    for (path, entry) in
        [("/stream/", whole_model), ("/safe/", desk_entry as fn(SocketAddr) -> Value)]
    {
        for asking in 1..=REPLICAS {
            for callers in [1, 30, 300] {
                run_test(play(path, entry, asking, callers));
            }
        }
    }
}
