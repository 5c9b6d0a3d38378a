//! Measures replicas that reject requests and ask for a backoff: how many requests reach them
//! nevertheless, and what callers receive.
//!
//! Run it with `cargo bench -p switchfold-relay`. Three replicas of a service, one relay and
//! callers that each make one call after another share one thread. For three seconds some replicas
//! reject every request and ask for a backoff of three seconds. Measured on 8 cores, one run for
//! each row.
//!
//! The columns show, before and after relays honoured backoffs: requests that reached the most
//! affected replica more than half a second after it first asked (two may), callers served within
//! 300 ms, and callers refused. Each cell lists the values for 1, 30 and 300 callers, those before
//! first.
//!
//! | service | replicas backing off | callers | reached before; after | in time before; after | refused before; after |
//! |---|---|---|---|---|---|
//! | streams | one of three | 1, 30, 300 | 10, 60, 347; 0, 0, 0 | 52, 1,516, 8,491; 52, 1,570, 12,874 | 0; 0 |
//! | streams | two of three | 1, 30, 300 | 10, 27, 600; 0, 0, 0 | 52, 1,730, 9,550; 52, 1,752, 12,571 | 0; 0 |
//! | streams | all | 1, 30, 300 | 12, 345, 2,863; 0, 0, 0 | 5, 150, 652; 6, 150, 772 | 16, 453, 3,778; 134, 3,750, 27,174 |
//! | plain | one of three | 1, 30, 300 | 0; 0 | 151, 3,699, 12,172; 154, 4,111, 21,745 | 0; 0 |
//! | plain | two of three | 1, 30, 300 | 0; 0 | 152, 3,931, 12,848; 153, 4,021, 21,986 | 1, 3, 4; 1, 4, 0 |
//! | plain | all | 1, 30, 300 | 76, 1,193, 3,598; 0, 0, 0 | 14, 331, 1,137; 15, 390, 1,487 | 138, 3,580, 11,493; 133, 3,690, 26,333 |
//!
//! If all replicas ask for a backoff, nobody can be served. Callers here retry at once after a
//! refusal, whatever its `Retry-After`, and more are refused after the change since each refusal
//! takes less time. With 300 callers, 171 to 195 responses are late in each row, before and after:
//! those to the first request of each caller.

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

/// Backoff that the replicas ask for.
const BACKOFF: Duration = Duration::from_secs(3);

/// Time after the first rejection in which requests that were already on their way are not counted.
const GRACE_TIME: Duration = Duration::from_millis(500);

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Time within which a response is in time; also the time before the replicas begin to reject
/// requests.
const OBJECTIVE: Duration = Duration::from_millis(300);

fn is_engine_call(request: &ReceivedRequest) -> bool {
    [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str())
}

/// Time of the first rejection of a replica, and the number of requests that it received during its
/// backoff.
#[derive(Clone, Default)]
struct BackoffRequests(Arc<Mutex<(Option<Instant>, usize)>>);

impl BackoffRequests {
    fn record(&self) {
        let mut state = self.0.lock().expect("no script panics");
        let first = *state.0.get_or_insert_with(Instant::now);
        let elapsed = first.elapsed();
        state.1 += usize::from(elapsed > GRACE_TIME && elapsed < BACKOFF);
    }
}

/// Number of responses that callers received, by kind.
#[derive(Default)]
struct ResponseCounts {
    in_time: usize,
    late: usize,
    refused: usize,
}

impl ResponseCounts {
    fn record(&mut self, status: StatusCode, took: Duration) {
        match status {
            StatusCode::OK if took <= OBJECTIVE => self.in_time += 1,
            StatusCode::OK => self.late += 1,
            _ => self.refused += 1,
        }
    }
}

/// Runs one row: `rejecting` of the replicas reject requests while `callers` call `path`.
async fn measure(path: &str, entry: fn(SocketAddr) -> Value, rejecting: usize, callers: usize) {
    let is_rejecting = Arc::new(AtomicBool::new(false));
    let store = StandinStore::start().await;
    let mut sample = config(1, &ROUTES, &[KEY]);
    sample["services"][1]["engine"]["kinds"][0]["mb"] = 1e9.into();
    store.put(CONFIG_KIND, CONFIG_NAME, sample);
    let reached: Vec<BackoffRequests> = (0..REPLICAS).map(|_| BackoffRequests::default()).collect();
    for (number, reached) in reached.iter().enumerate() {
        let (is_rejecting, reached) = (is_rejecting.clone(), reached.clone());
        let replica = StandinReplica::start(move |request: &ReceivedRequest| {
            let rejects = number < rejecting && is_rejecting.load(Ordering::SeqCst);
            if is_engine_call(request) || !rejects {
                return respond_healthy(request);
            }
            reached.record();
            with_header(reject(request, 503, None), "Retry-After", "3")
        })
        .await;
        let mut own = entry(replica.address());
        own["slots"] = 1_000.into();
        store.put(REPLICA_KIND, &format!("i-{number}"), own);
    }
    let relay = RunningRelay::start_with_store(store, bounds()).await;
    relay.wait_ready(StatusCode::OK).await;
    let counts = Mutex::new(ResponseCounts::default());
    let relay = &relay;
    let calls = (0..callers).map(|caller| {
        let counts = &counts;
        let is_rejecting = &is_rejecting;
        async move {
            let started = Instant::now();
            let mut number = 0;
            while started.elapsed() < BACKOFF + OBJECTIVE {
                is_rejecting.fetch_or(started.elapsed() > OBJECTIVE, Ordering::SeqCst);
                let id = format!("c{caller}-{number}");
                let sent_at = Instant::now();
                let called = relay.get(&format!("{path}{id}"), &id).await;
                counts.lock().expect("no caller panics").record(called.status, sent_at.elapsed());
                number += 1;
                sleep(CALL_PAUSE).await;
            }
        }
    });
    join_all(calls).await;
    let ResponseCounts { in_time, late, refused } = counts.into_inner().expect("no caller panics");
    let reached: Vec<usize> =
        reached.iter().map(|one| one.0.lock().expect("no script panics").1).collect();
    println!(
        "{path:8} {rejecting} of {REPLICAS} ask, {callers:3} callers: reached {reached:?}, in time {in_time}, late {late}, refused {refused}"
    );
}

fn main() {
    let full_model: fn(SocketAddr) -> Value = |address| model_entry(address, 0, LAYERS);
    for (path, entry) in
        [("/stream/", full_model), ("/safe/", desk_entry as fn(SocketAddr) -> Value)]
    {
        for rejecting in 1..=REPLICAS {
            for callers in [1, 30, 300] {
                run_test(measure(path, entry, rejecting, callers));
            }
        }
    }
}
