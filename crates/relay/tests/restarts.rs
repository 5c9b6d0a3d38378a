//! Replicas that restart under the same id, and entries that no replica wrote.

mod harness;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use http::StatusCode;
use switchfold_kernel::clock::epoch_millis;
use switchfold_platform::{
    REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StreamEnd, events, reject,
    samples::{LAYERS, in_data_centre, malformed_entries, model_entry, report, started_at},
    signed_response,
};

use crate::harness::{RunningRelay, bounds, run_test, wait_until};

/// Start times of an earlier and a later instance of a replica, both in the past.
fn start_times() -> [u64; 2] {
    let now = epoch_millis();
    [now - 60_000, now - 1_000]
}

fn complete_stream(request: &ReceivedRequest) -> Reply {
    events(request, 4, Duration::ZERO, StreamEnd::Complete)
}

/// An engine whose reports name its start time, and that responds to requests by a script.
fn engine(
    started: u64,
    script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let report = report(0, LAYERS, &[]);
    let report: serde_json::Value = serde_json::from_str(&report).expect("reports are JSON");
    let report = started_at(report, started).to_string();
    move |request| match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &report),
        ORDER_PATH => signed_response(request, 200, ""),
        _ => script(request),
    }
}

/// The report of a restarted replica takes effect before its entry shows the restart. The layers
/// that it holds are then unknown, so it gets no requests until its entry lists them.
#[test]
fn a_report_of_a_restart_takes_effect_at_once() {
    run_test(async {
        let [earlier, later] = start_times();
        // Rejections name the replica itself as the faulty one.
        let own_address = Arc::new(Mutex::new(None));
        let faulty_replica = own_address.clone();
        let script = move |request: &ReceivedRequest| match request.target.as_str() {
            "/stream/again" => complete_stream(request),
            _ => reject(request, 503, *faulty_replica.lock().expect("no script panics")),
        };
        let restarted = StandinReplica::start(engine(later, script)).await;
        *own_address.lock().expect("no script panics") = Some(restarted.address());
        let other = StandinReplica::start(engine(earlier, complete_stream)).await;
        let entry = started_at(model_entry(restarted.address(), 0, LAYERS), earlier);
        let far = started_at(model_entry(other.address(), 0, LAYERS), earlier);
        let entries = [("i-1", entry.clone()), ("i-2", in_data_centre(far, "far"))];
        let relay = RunningRelay::start(bounds(), &entries).await;
        for number in 0..4 {
            let result = relay.get(&format!("/stream/{number}"), &format!("a{number}")).await;
            assert_eq!(result.status, StatusCode::OK);
        }
        assert_eq!(
            restarted.requests().len(),
            1,
            "the layers of the earlier instance are not used again"
        );
        // A late entry of the earlier instance changes nothing.
        let mut late = entry.clone();
        late["slots"] = 7.into();
        relay.store.put(REPLICA_KIND, "i-1", late);
        assert!(relay.get("/stream/5", "a5").await.is_complete);
        assert_eq!(restarted.requests().len(), 1);
        // The entry of the later instance lists its layers.
        relay.store.put(REPLICA_KIND, "i-1", started_at(entry, later));
        let mut attempt = 0;
        wait_until(async || {
            attempt += 1;
            relay.get("/stream/again", &format!("b{attempt}")).await;
            restarted.requests().len() > 1
        })
        .await;
    });
}

/// Malformed entries of other writers, in a list or in a watch, do not affect the entries of
/// replicas.
#[test]
fn entries_of_other_writers_are_ignored() {
    run_test(async {
        let [started, _] = start_times();
        let replica = StandinReplica::start(engine(started, complete_stream)).await;
        let own = started_at(model_entry(replica.address(), 0, LAYERS), started);
        let malformed = malformed_entries(&own);
        let names: Vec<String> =
            (0..malformed.len()).map(|number| format!("i-{number:02}")).collect();
        let mut entries = vec![("i-05x", own.clone())];
        entries.extend(names.iter().map(String::as_str).zip(malformed.iter().cloned()));
        let relay = RunningRelay::start(bounds(), &entries).await;
        assert!(relay.get("/stream/a", "a").await.is_complete, "in a list");
        for (number, entry) in malformed.iter().enumerate() {
            relay.store.put(REPLICA_KIND, &format!("j-{number}"), entry.clone());
        }
        assert!(relay.get("/stream/b", "b").await.is_complete, "in a watch");
        // In place of the valid entry: it names no replica until the replica writes its entry
        // again.
        let mut attempt = 0;
        for entry in malformed {
            for (spec, expected) in
                [(entry, StatusCode::SERVICE_UNAVAILABLE), (own.clone(), StatusCode::OK)]
            {
                relay.store.put(REPLICA_KIND, "i-05x", spec.clone());
                wait_until(async || {
                    attempt += 1;
                    relay.get("/stream/c", &format!("c{attempt}")).await.status == expected
                })
                .await;
            }
        }
    });
}
