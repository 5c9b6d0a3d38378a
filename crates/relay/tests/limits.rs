//! Replicas whose responses name a rate limit for all relays together (`Server-Limit`).
//!
//! Guards against relays that ignore these limits, or that enforce them each on its own although a
//! limit applies to all relays together. In four seconds, four relays that ignored them sent 87
//! requests to a replica that allowed 46, while another replica had free slots.

mod harness;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use harness::{BoundRelay, RunningRelay, bounds, entry_of, respond_healthy, run_test};
use http::StatusCode;
use serde_json::Value;
use switchfold_platform::engine::{ORDER_PATH, REPORT_PATH};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica,
    samples::{LAYERS, desk_entry, in_data_centre, model_entry},
    with_header,
};
use tokio::time::sleep;

/// Requests per second that the replica accepts.
const LIMIT: f64 = 3.1;

/// Value of the header that names the limit.
const LIMIT_HEADER: &str = "3.1";

/// Time after the first response with the limit from which requests are counted.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Time for which requests are counted.
const WINDOW: Duration = Duration::from_millis(4_000);

/// Maximum number of requests in that time.
const MAX_IN_WINDOW: usize = (LIMIT * 1.5 * 4.0) as usize + 5;

/// Pause between two requests of a caller. Each caller uses a relay of its own.
const PAUSE: Duration = Duration::from_millis(50);

fn full_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

/// Arrival times of the requests at a replica.
#[derive(Clone, Default)]
struct RequestTimes(Arc<Mutex<Vec<Instant>>>);

impl RequestTimes {
    /// Returns the number of requests in the window that starts [`CONTACT_TIME`] after the first
    /// one.
    fn in_window(&self) -> usize {
        let times = self.0.lock().expect("no script panics");
        let from = *times.first().expect("a request arrived") + CONTACT_TIME;
        times.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
    }
}

/// A replica that serves all requests and names its limit in each response.
fn with_limit(times: &RequestTimes) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let times = times.clone();
    move |request| {
        if ![REPORT_PATH, ORDER_PATH].contains(&request.target.as_str()) {
            times.0.lock().expect("no script panics").push(Instant::now());
        }
        with_header(respond_healthy(request), "Server-Limit", LIMIT_HEADER)
    }
}

/// Calls a relay repeatedly until the end of the window. Each call must be served.
async fn call_until_end(relay: &RunningRelay, path: &str, name: &str) {
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < CONTACT_TIME + WINDOW {
        let id = format!("{name}{count}");
        let result = relay.get(&format!("{path}{id}"), &id).await;
        assert_eq!(result.status, StatusCode::OK, "{id}");
        count += 1;
        sleep(PAUSE).await;
    }
}

/// Two relays send ten times as many requests as the replica in their data centre accepts. Together
/// they keep to its limit, and a replica elsewhere serves the other requests.
#[test]
fn a_limit_holds_for_all_relays_together() {
    for (path, entry) in
        [("/stream/", full_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let times = RequestTimes::default();
            let limited = StandinReplica::start(with_limit(&times)).await;
            let other = StandinReplica::start(respond_healthy).await;
            let far = |address| in_data_centre(entry(address), "far");
            let entries = [entry_of("i-1", &limited, entry), entry_of("i-2", &other, far)];
            let one = RunningRelay::start(bounds(), &entries).await;
            let two = BoundRelay::new("relay-2", one.store.clone(), bounds()).await.run();
            two.wait_ready(StatusCode::OK).await;
            let calls =
                [(&one, "a"), (&two, "b")].map(|(relay, name)| call_until_end(relay, path, name));
            join_all(calls).await;
            let count = times.in_window();
            assert!(count <= MAX_IN_WINDOW, "{path}: {count} in 4 s, {MAX_IN_WINDOW} allowed");
        });
    }
}
