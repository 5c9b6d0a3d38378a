//! Rate-limited replicas: the load that reaches them, and what callers get.
//!
//! Run it with `cargo bench -p switchfold-relay --bench limits`. Three replicas of a service, one
//! relay and 30 callers that each make one call after another share one thread. From the first
//! second on, some replicas name a limit in each response.
//!
//! The table shows, for the fourth to the eighth second, the requests that reached the limited
//! replica with the most requests (one and a half times the limit plus five are allowed), the
//! callers served within 300 ms, and those refused. "Before" is without support for limits,
//! "after" with it. Measured on 8 cores with other work running, one run per row:
//!
//! | service | limited | limit per second | allowed | reached before, after | in time before, after | refused before, after |
//! |---|---|---|---|---|---|---|
//! | streams | one of three | 20, 100, 200 | 125, 605, 1,205 | 583, 622, 572; 80, 404, 580 | 1,770, 1,863, 1,718; 1,791, 1,812, 1,740 | 0; 0 |
//! | streams | two of three | 20, 100, 200 | as above | 610, 594, 609; 80, 400, 600 | 1,814, 1,776, 1,813; 2,002, 1,954, 1,798 | 0; 0 |
//! | streams | all | 20, 100, 200 | as above | 617, 600, 617; 80, 401, 603 | 1,860, 1,783, 1,829; 240, 1,197, 1,778 | 0; 3,214, 98, 0 |
//! | plain | one of three | 20, 100, 200 | as above | 1,891, 420, 600; 81, 399, 382 | 4,505, 4,125, 4,263; 4,737, 4,757, 4,565 | 0; 0 |
//! | plain | two of three | 20, 100, 200 | as above | 3,278, 2,237, 1,419; 81, 405, 756 | 4,268, 4,380, 4,463; 4,476, 4,608, 4,344 | 0; 0 |
//! | plain | all | 20, 100, 200 | as above | 1,867, 2,920, 2,288; 80, 402, 800 | 4,405, 4,299, 4,286; 239, 1,201, 2,400 | 0; 3,519, 550, 141 |
//!
//! If all replicas are limited, no more requests can be served than they accept. Refused callers
//! retry at once here, whatever the `Retry-After` of the response. No caller was served late.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
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
    ReceivedRequest, StandinReplica, StandinStore,
    samples::{KEY, LAYERS, config, desk_entry, model_entry},
    with_header,
};
use tokio::time::sleep;

const REPLICAS: usize = 3;
const CALLERS: usize = 30;

/// Time after the start from which the limited replicas name their limit.
const LIMITED_FROM: Duration = Duration::from_secs(1);

/// Start and end of the time for which requests are counted.
const COUNTED: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(8)];

/// Pause of a caller between two calls.
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// Time within which a request counts as served in time.
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Requests during the counted time.
#[derive(Default)]
struct RequestCounts {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Requests that reached each replica.
    reached: [usize; REPLICAS],
}

impl RequestCounts {
    fn record(&mut self, status: StatusCode, took: Duration) {
        match status {
            StatusCode::OK if took <= OBJECTIVE => self.in_time += 1,
            StatusCode::OK => self.late += 1,
            _ => self.refused += 1,
        }
    }
}

/// Runs the benchmark for one service of which the first `limited` replicas name `limit`.
async fn run_case(path: &str, entry: fn(SocketAddr) -> Value, limited: usize, limit: f64) {
    let started = Instant::now();
    let counts = Arc::new(Mutex::new(RequestCounts::default()));
    let store = StandinStore::start().await;
    let mut config = config(1, &ROUTES, &[KEY]);
    config["services"][1]["engine"]["kinds"][0]["mb"] = 1e9.into();
    store.put(CONFIG_KIND, CONFIG_NAME, config);
    let is_counted = move || (COUNTED[0]..COUNTED[1]).contains(&started.elapsed());
    for number in 0..REPLICAS {
        let counts = counts.clone();
        let replica = StandinReplica::start(move |request: &ReceivedRequest| {
            let is_control = [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str());
            if !is_control && is_counted() {
                counts.lock().expect("no script panics").reached[number] += 1;
            }
            match number < limited && started.elapsed() > LIMITED_FROM {
                true => with_header(respond_healthy(request), "Server-Limit", &limit.to_string()),
                false => respond_healthy(request),
            }
        })
        .await;
        let mut entry = entry(replica.address());
        entry["slots"] = 1_000.into();
        store.put(REPLICA_KIND, &format!("i-{number}"), entry);
    }
    let relay = &RunningRelay::start_with_store(store, bounds()).await;
    relay.wait_ready(StatusCode::OK).await;
    let calls = (0..CALLERS).map(|caller| {
        let counts = &counts;
        async move {
            let mut number = 0;
            while started.elapsed() < COUNTED[1] {
                let id = format!("c{caller}-{number}");
                let sent_at = Instant::now();
                let result = relay.get(&format!("{path}{id}"), &id).await;
                if is_counted() {
                    let mut counts = counts.lock().expect("no caller panics");
                    counts.record(result.status, sent_at.elapsed());
                }
                number += 1;
                sleep(CALLER_PAUSE).await;
            }
        }
    });
    join_all(calls).await;
    let counts = counts.lock().expect("no caller panics");
    let RequestCounts { in_time, late, refused, reached } = &*counts;
    let allowed = limit * 4.0 * 1.5 + 5.0;
    println!(
        "{path:8} {limited} of {REPLICAS}, limit {limit:5}: reached {reached:?} of {allowed} allowed, in time {in_time}, late {late}, refused {refused}"
    );
}

fn main() {
    let full_model: fn(SocketAddr) -> Value = |address| model_entry(address, 0, LAYERS);
    for (path, entry) in
        [("/stream/", full_model), ("/safe/", desk_entry as fn(SocketAddr) -> Value)]
    {
        for limited in 1..=REPLICAS {
            for limit in [20.0, 100.0, 200.0] {
                run_test(run_case(path, entry, limited, limit));
            }
        }
    }
}
