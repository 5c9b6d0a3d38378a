//! Replicas that ask in their responses for a backoff (`Retry-After`), or announce that they are
//! leaving (`Server-Leaving`).
//!
//! Guards against relays that ignore `Retry-After` and avoid the replica for a fixed 250 ms
//! instead: two replicas that asked for three seconds then got eight requests each of one relay in
//! that time, and four times a second a caller waited for two sends that could not succeed.

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
use harness::{RunningRelay, bounds, entry_of, respond_healthy, run_test, wait_until};
use http::StatusCode;
use serde_json::Value;
use switchfold_platform::{
    REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, reject,
    samples::{LAYERS, desk_entry, in_data_centre, model_entry, started_at},
    with_header,
};
use switchfold_relay::settings::BoundSettings;
use tokio::time::sleep;

/// Backoff that a replica asks for.
const BACKOFF: Duration = Duration::from_millis(3_000);

/// Time after the first rejection from which requests are counted; earlier ones may have been in
/// flight.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests of one VM that may reach a replica during its backoff.
const MAX_UNWANTED: usize = 2;

/// Maximum random delay that a relay adds to the retry time of a refused caller, in seconds.
const RETRY_SPREAD_S: f64 = 0.25;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);

fn full_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

/// Moves the replica of an entry to another data centre.
fn far(entry: fn(SocketAddr) -> Value) -> impl Fn(SocketAddr) -> Value {
    move |address| in_data_centre(entry(address), "far")
}

fn is_control(request: &ReceivedRequest) -> bool {
    [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str())
}

/// Arrival times of the requests at a replica, and whether the response to each had a notice: a
/// backoff, or that the replica is leaving.
#[derive(Clone, Default)]
struct RequestTimes(Arc<Mutex<Vec<(Instant, bool)>>>);

impl RequestTimes {
    fn record(&self, has_notice: bool) {
        self.0.lock().expect("no script panics").push((Instant::now(), has_notice));
    }

    /// Returns the number of requests during the backoff that the first notice asked for.
    fn unwanted(&self, backoff: Duration) -> usize {
        let times = self.0.lock().expect("no script panics");
        let first = times.iter().find(|(_, has_notice)| *has_notice);
        let Some((first, _)) = first else { return 0 };
        let counts = |at: &Instant| *at > *first + IN_FLIGHT_TIME && *at < *first + backoff;
        times.iter().filter(|(at, _)| counts(at)).count()
    }

    fn len(&self) -> usize {
        self.0.lock().expect("no script panics").len()
    }
}

/// A replica that rejects requests while `is_rejecting`, and asks for a backoff of `retry_after`
/// seconds.
fn rejects(
    is_rejecting: &Arc<AtomicBool>,
    retry_after: &'static str,
    times: &RequestTimes,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let (is_rejecting, times) = (is_rejecting.clone(), times.clone());
    move |request| {
        if is_control(request) {
            return respond_healthy(request);
        }
        let is_rejecting = is_rejecting.load(Ordering::SeqCst);
        times.record(is_rejecting);
        match is_rejecting {
            true => with_header(reject(request, 503, None), "Retry-After", retry_after),
            false => respond_healthy(request),
        }
    }
}

fn always_rejecting() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(true))
}

/// A replica that rejects all requests and asks for a backoff of three seconds gets at most two
/// more in that time. Another replica serves every caller.
#[test]
fn a_backoff_is_respected() {
    for (path, entry) in
        [("/stream/", full_model as fn(SocketAddr) -> Value), ("/once/", desk_entry)]
    {
        run_test(async {
            let times = RequestTimes::default();
            let near = StandinReplica::start(rejects(&always_rejecting(), "3", &times)).await;
            let other = StandinReplica::start(respond_healthy).await;
            let entries = [entry_of("i-1", &near, entry), entry_of("i-2", &other, far(entry))];
            let relay = RunningRelay::start(bounds(), &entries).await;
            let started = Instant::now();
            let mut count = 0;
            while started.elapsed() < BACKOFF {
                let result = relay.get(&format!("{path}{count}"), &format!("a{count}")).await;
                assert_eq!(result.status, StatusCode::OK, "{path}");
                count += 1;
                sleep(PAUSE).await;
            }
            assert!(times.len() > 0, "{path}");
            assert!(times.unwanted(BACKOFF) <= MAX_UNWANTED, "{path}: {}", times.unwanted(BACKOFF));
        });
    }
}

/// While all replicas have asked for a backoff, callers are refused at once, with the time at which
/// the first replica accepts requests again. None of these requests is sent.
#[test]
fn callers_are_refused_while_all_replicas_back_off() {
    for (path, entry) in
        [("/stream/", full_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let times = [RequestTimes::default(), RequestTimes::default()];
            let one = StandinReplica::start(rejects(&always_rejecting(), "6", &times[0])).await;
            let two = StandinReplica::start(rejects(&always_rejecting(), "4", &times[1])).await;
            let entries = [entry_of("i-1", &one, entry), entry_of("i-2", &two, entry)];
            let relay = RunningRelay::start(bounds(), &entries).await;
            wait_until(async || {
                relay.get(&format!("{path}first"), "first").await;
                times.iter().all(|times| times.len() > 0)
            })
            .await;
            let sent: usize = times.iter().map(RequestTimes::len).sum();
            let result = relay.get(&format!("{path}late"), "late").await;
            assert_eq!(result.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            let after = result.headers.get("retry-after").and_then(|value| value.to_str().ok());
            let after: f64 = after.and_then(|value| value.parse().ok()).expect("a time");
            // Retries are spread over a quarter of a second, so that they do not arrive all at
            // once.
            assert!(after > 1.4 && after <= 4.0 + RETRY_SPREAD_S, "{path}: {after}");
            assert_eq!(times.iter().map(RequestTimes::len).sum::<usize>(), sent, "{path}");
        });
    }
}

/// A request waits for the end of a backoff if it can then still be served in time.
#[test]
fn a_short_backoff_is_waited_for() {
    for (path, entry) in
        [("/stream/", full_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let (is_rejecting, times) = (always_rejecting(), RequestTimes::default());
            let replica = StandinReplica::start(rejects(&is_rejecting, "0.15", &times)).await;
            let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, entry)]).await;
            relay.get(&format!("{path}first"), "first").await;
            is_rejecting.store(false, Ordering::SeqCst);
            let result = relay.get(&format!("{path}second"), "second").await;
            assert_eq!(result.status, StatusCode::OK, "{path}");
        });
    }
}

/// After the end of a backoff, the requests that waited for it are not all sent at once. A single
/// trial request finds out whether the replica accepts requests again.
#[test]
fn a_backoff_ends_with_a_single_trial_request() {
    for (path, entry) in
        [("/stream/", full_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let times = RequestTimes::default();
            let replica = StandinReplica::start(rejects(&always_rejecting(), "0.15", &times)).await;
            let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, entry)]).await;
            relay.get(&format!("{path}first"), "first").await;
            let before = times.len();
            let paths: Vec<String> = (0..20).map(|number| format!("{path}{number}")).collect();
            join_all(paths.iter().map(|path| relay.get(path, path))).await;
            // The backoff may end two or three times while they wait.
            let count = times.len() - before;
            assert!((1..=3).contains(&count), "{path}: {count}");
        });
    }
}

/// Bounds with a short time for which a leaving replica continues to serve.
fn short_drain_bounds() -> BoundSettings {
    BoundSettings { drain_ms: 200.0, ..bounds() }
}

/// A replica that serves all requests and, while `is_leaving`, announces in each response that it
/// is leaving. Its entry does not say so.
fn announces_leaving(
    is_leaving: &Arc<AtomicBool>,
    times: &RequestTimes,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let (is_leaving, times) = (is_leaving.clone(), times.clone());
    move |request| {
        let is_leaving = is_leaving.load(Ordering::SeqCst);
        if !is_control(request) {
            times.record(is_leaving);
        }
        match is_leaving {
            true => with_header(respond_healthy(request), "Server-Leaving", "1"),
            false => respond_healthy(request),
        }
    }
}

/// A replica announces in a response that it is leaving, while its entry still says that it accepts
/// requests. From then on it gets none, whatever its entry says, until it restarts.
#[test]
fn a_replica_that_announces_leaving_gets_no_requests() {
    for (path, entry) in
        [("/stream/", full_model as fn(SocketAddr) -> Value), ("/once/", desk_entry)]
    {
        run_test(async {
            let (is_leaving, times) = (Arc::new(AtomicBool::new(true)), RequestTimes::default());
            let near = StandinReplica::start(announces_leaving(&is_leaving, &times)).await;
            let other = StandinReplica::start(respond_healthy).await;
            let own = started_at(entry(near.address()), 1_000);
            let entries = [("i-1", own.clone()), entry_of("i-2", &other, far(entry))];
            let relay = RunningRelay::start(short_drain_bounds(), &entries).await;
            let mut count = 0;
            let mut call = async || {
                count += 1;
                let result = relay.get(&format!("{path}{count}"), &format!("a{count}")).await;
                assert_eq!(result.status, StatusCode::OK, "{path}");
            };
            wait_until(async || {
                call().await;
                times.len() > 0
            })
            .await;
            sleep(Duration::from_millis(250)).await;
            let reached = times.len();
            for _ in 0..10 {
                // Another write of the entry of the same instance changes nothing.
                relay.store.put(REPLICA_KIND, "i-1", own.clone());
                call().await;
                sleep(PAUSE).await;
            }
            assert_eq!(times.len(), reached, "{path}");
            is_leaving.store(false, Ordering::SeqCst);
            relay.store.put(REPLICA_KIND, "i-1", started_at(own, 2_000));
            wait_until(async || {
                call().await;
                times.len() > reached
            })
            .await;
        });
    }
}
