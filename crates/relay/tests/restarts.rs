//! Replicas that start again under their ids, and entries that no replica wrote.

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

/// Starts of the two lives of a replica, before now.
fn instances() -> [u64; 2] {
    let now = epoch_millis();
    [now - 60_000, now - 1_000]
}

fn whole_stream(request: &ReceivedRequest) -> Reply {
    events(request, 4, Duration::ZERO, StreamEnd::Complete)
}

/// An engine whose reports tell a start, and that answers requests by a script.
fn engine(
    born: u64,
    script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let report = report(0, LAYERS, &[]);
    let report: serde_json::Value = serde_json::from_str(&report).expect("reports are JSON");
    let report = started_at(report, born).to_string();
    move |request| match request.target.as_str() {
        REPORT_PATH => signed_response(request, 200, &report),
        ORDER_PATH => signed_response(request, 200, ""),
        _ => script(request),
    }
}

/// What a replica says itself of a later start counts before its entry tells it: it holds nothing that is
/// known of, so no more requests go there until its entry says what it holds.
#[test]
fn a_report_of_a_later_life_counts_at_once() {
    run_test(async {
        let [earlier, later] = instances();
        // Rejections name the replica itself.
        let own = Arc::new(Mutex::new(None));
        let named = own.clone();
        let script = move |request: &ReceivedRequest| match request.target.as_str() {
            "/stream/again" => whole_stream(request),
            _ => reject(request, 503, *named.lock().expect("no script panics")),
        };
        let restarted = StandinReplica::start(engine(later, script)).await;
        *own.lock().expect("no script panics") = Some(restarted.address());
        let other = StandinReplica::start(engine(earlier, whole_stream)).await;
        let entry = started_at(model_entry(restarted.address(), 0, LAYERS), earlier);
        let far = started_at(model_entry(other.address(), 0, LAYERS), earlier);
        let entries = [("i-1", entry.clone()), ("i-2", in_data_centre(far, "far"))];
        let relay = RunningRelay::start(bounds(), &entries).await;
        for number in 0..4 {
            let called = relay.get(&format!("/stream/{number}"), &format!("a{number}")).await;
            assert_eq!(called.status, StatusCode::OK);
        }
        assert_eq!(
            restarted.requests().len(),
            1,
            "its earlier life's layers are not asked for again"
        );
        // An entry that the earlier life wrote comes late, and changes nothing.
        let mut late = entry.clone();
        late["slots"] = 7.into();
        relay.store.put(REPLICA_KIND, "i-1", late);
        assert!(relay.get("/stream/5", "a5").await.is_complete);
        assert_eq!(restarted.requests().len(), 1);
        // Its own entry tells what the later life holds.
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

/// Whatever another writer leaves in the list, in a list and in a watch, the others hold.
#[test]
fn entries_of_other_writers_are_passed_by() {
    run_test(async {
        let [born, _] = instances();
        let replica = StandinReplica::start(engine(born, whole_stream)).await;
        let own = started_at(model_entry(replica.address(), 0, LAYERS), born);
        let odd = malformed_entries(&own);
        let names: Vec<String> = (0..odd.len()).map(|number| format!("i-{number:02}")).collect();
        let mut entries = vec![("i-05x", own.clone())];
        entries.extend(names.iter().map(String::as_str).zip(odd.iter().cloned()));
        let relay = RunningRelay::start(bounds(), &entries).await;
        assert!(relay.get("/stream/a", "a").await.is_complete, "in a list");
        for (number, entry) in odd.iter().enumerate() {
            relay.store.put(REPLICA_KIND, &format!("j-{number}"), entry.clone());
        }
        assert!(relay.get("/stream/b", "b").await.is_complete, "in a watch");
        // In place of the good one: it names no replica until the replica writes again.
        let mut attempt = 0;
        for entry in odd {
            for (spec, wanted) in
                [(entry, StatusCode::SERVICE_UNAVAILABLE), (own.clone(), StatusCode::OK)]
            {
                relay.store.put(REPLICA_KIND, "i-05x", spec.clone());
                wait_until(async || {
                    attempt += 1;
                    relay.get("/stream/c", &format!("c{attempt}")).await.status == wanted
                })
                .await;
            }
        }
    });
}
