//! Replicas that name in their answers how many requests a second they take from all relays together.
//!
//! Two first replicas, in two of three data centres, named limits of about a third of what they got. No relay read that, so
//! each sent what it had sent before: the first one got 87 requests in four seconds from four relays, where 46 were the most
//! that it may get, the second one 28 from one relay, where 22 were. Meanwhile the first replica of the third data centre,
//! which named no limit, got 45 and had places for four times as many. What settled it is that the rates did not
//! change when the limits were named, that the relays' own lines add up to just what the replicas counted, and that none of
//! these requests had waited or was sent for want of another path.
//!
//! ```text
//! 60 to 64  i-3e7a63cf00  15 26 14 22 a second    i-d1627c1f4d  9 8 11 12
//! 64 to 68  i-3e7a63cf00  22 21 13 26 a second    i-d1627c1f4d  7 7 6 7
//! 67.030 to 71.030  dispatches, first i-3e7a63cf00: 33 + 25 + 15 + 14 = 87, waited_ms 0 to 2
//! 67.192 to 71.192  dispatches, first i-d1627c1f4d: 28, waited_ms 0 to 2
//! ```
//!
//! Had each relay kept the limit by itself, four of them would have sent four times as much: it binds all together.

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

/// Requests a second that the replica takes, and its word for it.
const LIMIT: f64 = 3.1;
const NAMED: &str = "3.1";

/// Time after the first naming from which requests count.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time in which requests are counted, and how many may come in it.
const WINDOW: Duration = Duration::from_millis(4_000);
const MOST_IN_WINDOW: usize = (LIMIT * 1.5 * 4.0) as usize + 5;

/// Time between two requests of a caller, each at a relay of its own.
const BETWEEN: Duration = Duration::from_millis(50);

fn whole_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

/// When requests came to a replica.
#[derive(Clone, Default)]
struct SeenTimes(Arc<Mutex<Vec<Instant>>>);

impl SeenTimes {
    /// Requests that came in the time from the contact time after the first naming on.
    fn in_window(&self) -> usize {
        let seen = self.0.lock().expect("no script panics");
        let from = *seen.first().expect("it was named") + CONTACT;
        seen.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
    }
}

/// A replica that serves all, and names a limit in each answer.
fn names_limit(seen: &SeenTimes) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let seen = seen.clone();
    move |request| {
        if ![REPORT_PATH, ORDER_PATH].contains(&request.target.as_str()) {
            seen.0.lock().expect("no script panics").push(Instant::now());
        }
        with_header(respond_healthy(request), "Server-Limit", NAMED)
    }
}

/// Calls a relay again and again until the counted time is over; each caller is served.
async fn call_for_long(relay: &RunningRelay, path: &str, name: &str) {
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < CONTACT + WINDOW {
        let id = format!("{name}{count}");
        let called = relay.get(&format!("{path}{id}"), &id).await;
        assert_eq!(called.status, StatusCode::OK, "{id}");
        count += 1;
        sleep(BETWEEN).await;
    }
}

/// Two relays, and a replica near them that names a limit of a tenth of what they send: together they keep to it, and every
/// caller is served by the other replica.
#[test]
fn a_limit_holds_for_all_relays_together() {
    for (path, entry) in
        [("/stream/", whole_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let seen = SeenTimes::default();
            let near = StandinReplica::start(names_limit(&seen)).await;
            let other = StandinReplica::start(respond_healthy).await;
            let far = |address| in_data_centre(entry(address), "far");
            let entries = [entry_of("i-1", &near, entry), entry_of("i-2", &other, far)];
            let one = RunningRelay::start(bounds(), &entries).await;
            let two = BoundRelay::new("relay-2", one.store.clone(), bounds()).await.run();
            two.wait_ready(StatusCode::OK).await;
            let calls =
                [(&one, "a"), (&two, "b")].map(|(relay, name)| call_for_long(relay, path, name));
            join_all(calls).await;
            let came = seen.in_window();
            assert!(came <= MOST_IN_WINDOW, "{path}: {came} in 4 s, {MOST_IN_WINDOW} allowed");
        });
    }
}
