//! Replicas that say in their answers that they want no requests for a time, or that they are leaving.
//!
//! Two first replicas, in two of three data centres, began to turn every request away and asked each relay to stay away for
//! three seconds. The relays read the status of these answers and passed over what they asked: a first replica that rejects
//! a request was left alone for 250 ms, whatever it said, and the next request after that went there again, was turned away
//! again, went to the second one, was turned away there, and only then to the third data centre. So each of the two got
//! eight requests of one relay in the time in which it wanted none, and every fourth of a second one caller paid for two
//! sends that could not succeed. What settled it is how long after a relay's last rejection its next dispatch came, for the 51
//! of them within three seconds: never less than 250 ms, and often just that.
//!
//! ```text
//! 6.005 attempt-failed  i-3e7a63cf00  Rejected  status 503 Service Unavailable at None
//! 7.313 dispatch        first i-3e7a63cf00
//! 7.315 attempt-failed  i-3e7a63cf00  Rejected  status 503 Service Unavailable at None
//! 7.315 dispatch        first i-d1627c1f4d
//! 7.317 attempt-failed  i-d1627c1f4d  Rejected  status 503 Service Unavailable at None
//! 7.317 dispatch        first i-0351a068a1
//! ```

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

/// Time that a replica asks for.
const ASKED: Duration = Duration::from_millis(3_000);

/// Time after the asking from which requests count.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Requests of one VM that may reach a replica in the time in which it wants none.
const MOST_UNWANTED: usize = 2;

/// Time over which callers come back that were refused until the same end, in seconds.
const RETURN_SPREAD: f64 = 0.25;

/// Time between two requests of the callers.
const BETWEEN: Duration = Duration::from_millis(20);

fn whole_model(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

fn far(entry: fn(SocketAddr) -> Value) -> impl Fn(SocketAddr) -> Value {
    move |address| in_data_centre(entry(address), "far")
}

fn is_control(request: &ReceivedRequest) -> bool {
    [REPORT_PATH, ORDER_PATH].contains(&request.target.as_str())
}

/// Requests that a replica got, with what it answered each.
#[derive(Clone, Default)]
struct SeenTimes(Arc<Mutex<Vec<(Instant, bool)>>>);

impl SeenTimes {
    fn note(&self, turned_away: bool) {
        self.0.lock().expect("no script panics").push((Instant::now(), turned_away));
    }

    /// Requests that came while the replica wanted none.
    fn unwanted(&self, asked: Duration) -> usize {
        let seen = self.0.lock().expect("no script panics");
        let first = seen.iter().find(|(_, turned_away)| *turned_away);
        let Some((first, _)) = first else { return 0 };
        let counts = |at: &Instant| *at > *first + ON_THE_WAY && *at < *first + asked;
        seen.iter().filter(|(at, _)| counts(at)).count()
    }

    fn len(&self) -> usize {
        self.0.lock().expect("no script panics").len()
    }
}

/// A replica that turns requests away while `is_closed`, and asks for a time without any.
fn turns_away(
    is_closed: &Arc<AtomicBool>,
    asks: &'static str,
    seen: &SeenTimes,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let (is_closed, seen) = (is_closed.clone(), seen.clone());
    move |request| {
        if is_control(request) {
            return respond_healthy(request);
        }
        let closed = is_closed.load(Ordering::SeqCst);
        seen.note(closed);
        match closed {
            true => with_header(reject(request, 503, None), "Retry-After", asks),
            false => respond_healthy(request),
        }
    }
}

fn closed() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(true))
}

/// Two replicas, one of which turns all away and asks for three seconds: it gets no more than two requests in that time, and
/// every caller is served by the other one.
#[test]
fn a_replica_that_asks_for_time_gets_it() {
    for (path, entry) in
        [("/stream/", whole_model as fn(SocketAddr) -> Value), ("/once/", desk_entry)]
    {
        run_test(async {
            let seen = SeenTimes::default();
            let near = StandinReplica::start(turns_away(&closed(), "3", &seen)).await;
            let other = StandinReplica::start(respond_healthy).await;
            let entries = [entry_of("i-1", &near, entry), entry_of("i-2", &other, far(entry))];
            let relay = RunningRelay::start(bounds(), &entries).await;
            let begun = Instant::now();
            let mut count = 0;
            while begun.elapsed() < ASKED {
                let called = relay.get(&format!("{path}{count}"), &format!("a{count}")).await;
                assert_eq!(called.status, StatusCode::OK, "{path}");
                count += 1;
                sleep(BETWEEN).await;
            }
            assert!(seen.len() > 0, "{path}");
            assert!(seen.unwanted(ASKED) <= MOST_UNWANTED, "{path}: {}", seen.unwanted(ASKED));
        });
    }
}

/// Where all replicas want no requests, callers are told so at once, and when the first of them takes requests again; none
/// of them is sent to.
#[test]
fn callers_are_told_when_all_replicas_want_time() {
    for (path, entry) in
        [("/stream/", whole_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let seen = [SeenTimes::default(), SeenTimes::default()];
            let one = StandinReplica::start(turns_away(&closed(), "6", &seen[0])).await;
            let two = StandinReplica::start(turns_away(&closed(), "4", &seen[1])).await;
            let entries = [entry_of("i-1", &one, entry), entry_of("i-2", &two, entry)];
            let relay = RunningRelay::start(bounds(), &entries).await;
            wait_until(async || {
                relay.get(&format!("{path}first"), "first").await;
                seen.iter().all(|seen| seen.len() > 0)
            })
            .await;
            let sent: usize = seen.iter().map(SeenTimes::len).sum();
            let called = relay.get(&format!("{path}late"), "late").await;
            assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            let after = called.headers.get("retry-after").and_then(|value| value.to_str().ok());
            let after: f64 = after.and_then(|value| value.parse().ok()).expect("a time");
            // They come back over a quarter of a second, so that not all do at the same moment.
            assert!(after > 1.4 && after <= 4.0 + RETURN_SPREAD, "{path}: {after}");
            assert_eq!(seen.iter().map(SeenTimes::len).sum::<usize>(), sent, "{path}");
        });
    }
}

/// A request waits for the end of the time where that comes soon enough for it to be served in time.
#[test]
fn a_short_time_is_waited_for() {
    for (path, entry) in
        [("/stream/", whole_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let (is_closed, seen) = (closed(), SeenTimes::default());
            let replica = StandinReplica::start(turns_away(&is_closed, "0.15", &seen)).await;
            let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, entry)]).await;
            relay.get(&format!("{path}first"), "first").await;
            is_closed.store(false, Ordering::SeqCst);
            let called = relay.get(&format!("{path}second"), "second").await;
            assert_eq!(called.status, StatusCode::OK, "{path}");
        });
    }
}

/// After the end of the time all callers that waited for it do not come at once: the first one finds out whether the
/// replica takes requests again.
#[test]
fn one_request_finds_out_whether_the_time_is_over() {
    for (path, entry) in
        [("/stream/", whole_model as fn(SocketAddr) -> Value), ("/safe/", desk_entry)]
    {
        run_test(async {
            let seen = SeenTimes::default();
            let replica = StandinReplica::start(turns_away(&closed(), "0.15", &seen)).await;
            let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, entry)]).await;
            relay.get(&format!("{path}first"), "first").await;
            let before = seen.len();
            let paths: Vec<String> = (0..20).map(|number| format!("{path}{number}")).collect();
            join_all(paths.iter().map(|path| relay.get(path, path))).await;
            // The time may end twice, or three times, while they wait.
            let came = seen.len() - before;
            assert!((1..=3).contains(&came), "{path}: {came}");
        });
    }
}

/// Bounds by which a replica that leaves must be left alone soon.
fn soon() -> BoundSettings {
    BoundSettings { drain_ms: 200.0, ..bounds() }
}

/// A replica that serves, and says in all its answers from some time on that it is leaving; its entry does not.
fn leaves(
    is_leaving: &Arc<AtomicBool>,
    seen: &SeenTimes,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let (is_leaving, seen) = (is_leaving.clone(), seen.clone());
    move |request| {
        let leaving = is_leaving.load(Ordering::SeqCst);
        if !is_control(request) {
            seen.note(leaving);
        }
        match leaving {
            true => with_header(respond_healthy(request), "Server-Leaving", "1"),
            false => respond_healthy(request),
        }
    }
}

/// A replica says in an answer that it is leaving, and its entry says for long that it takes requests. From then on it gets
/// none, whatever its entry says, until it starts again.
#[test]
fn a_replica_that_says_it_is_leaving_is_left() {
    for (path, entry) in
        [("/stream/", whole_model as fn(SocketAddr) -> Value), ("/once/", desk_entry)]
    {
        run_test(async {
            let (is_leaving, seen) = (Arc::new(AtomicBool::new(true)), SeenTimes::default());
            let near = StandinReplica::start(leaves(&is_leaving, &seen)).await;
            let other = StandinReplica::start(respond_healthy).await;
            let own = started_at(entry(near.address()), 1_000);
            let entries = [("i-1", own.clone()), entry_of("i-2", &other, far(entry))];
            let relay = RunningRelay::start(soon(), &entries).await;
            let mut count = 0;
            let mut call = async || {
                count += 1;
                let called = relay.get(&format!("{path}{count}"), &format!("a{count}")).await;
                assert_eq!(called.status, StatusCode::OK, "{path}");
            };
            wait_until(async || {
                call().await;
                seen.len() > 0
            })
            .await;
            sleep(Duration::from_millis(250)).await;
            let reached = seen.len();
            for _ in 0..10 {
                // What the replica writes anew of the same start changes nothing.
                relay.store.put(REPLICA_KIND, "i-1", own.clone());
                call().await;
                sleep(BETWEEN).await;
            }
            assert_eq!(seen.len(), reached, "{path}");
            is_leaving.store(false, Ordering::SeqCst);
            relay.store.put(REPLICA_KIND, "i-1", started_at(own, 2_000));
            wait_until(async || {
                call().await;
                seen.len() > reached
            })
            .await;
        });
    }
}
