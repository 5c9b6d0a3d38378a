//! Replicas that send bytes without end. The relay runs as a process, so that its memory can be
//! measured.

mod harness;

use std::{sync::mpsc, thread};

use futures_util::future::join_all;
use harness::{
    CallResult, SAFE, STREAM, bounds, relay_process::RelayProcess, respond_healthy, run_test,
};
use http::StatusCode;
use serde_json::Value;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND, engine::REPORT_PATH};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore,
    samples::{self, KEY, RouteSample, desk_entry, model_entry},
    signed_response,
};
use tokio::task::spawn_local;

/// Requests at one relay at the same time.
const CONCURRENT: usize = 100;

/// Memory of a relay, in KB: that of the smallest VMs, less a fifth.
const MAX_MEMORY_KB: u64 = 128 * 1_024;

/// Route of requests that replicas respond to without end.
const ENDLESS: RouteSample = RouteSample { prefix: "/endless/", kind: "non_idempotent", ..SAFE };

/// Route of the same to the model.
const ENDLESS_STREAM: RouteSample =
    RouteSample { prefix: "/stream-endless/", max_attempts: 1, ..STREAM };

async fn start_relay(store: &StandinStore, name: &str) -> RelayProcess {
    RelayProcess::start(store, &format!("endless-{name}"), &bounds(), "error").await
}

/// Returns a response of the replica whose head ends with `framing` and whose body never ends.
fn endless(received: &ReceivedRequest, framing: &str, part: &str) -> Reply {
    let Reply::Bytes(signed) = signed_response(received, 200, "") else { unreachable!() };
    let signed = String::from_utf8(signed).expect("a head in ASCII");
    let head = signed.replace("Content-Length: 0\r\n\r\n", framing);
    assert!(head.ends_with(framing), "{head}");
    Reply::Endless { head: head.into_bytes(), part: part.repeat(64).into_bytes() }
}

/// How a response never ends, by the last part of the path.
fn endless_by_path(received: &ReceivedRequest) -> Reply {
    const BLOCK: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
                         0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    let kind = received.target.rsplit('/').next().unwrap_or_default();
    match kind {
        "head" => Reply::Endless { head: b"HTTP/1.1 200 OK\r\n".to_vec(), part: BLOCK.into() },
        "lines" => Reply::Endless {
            head: b"HTTP/1.1 200 OK\r\n".to_vec(),
            part: b"x-line: again\r\n".repeat(100),
        },
        "interim" => Reply::Endless {
            head: Vec::new(),
            part: b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(100),
        },
        "chunks" => endless(
            received,
            "transfer-encoding: chunked\r\n\r\n",
            &format!("{:x}\r\n{BLOCK}\r\n", BLOCK.len()),
        ),
        "length" => endless(received, "content-length: 99999999999\r\n\r\n", BLOCK),
        "false-length" => endless(received, "content-length: 16777216\r\n\r\n", BLOCK),
        "event" => endless(
            received,
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            &format!("{:x}\r\n{BLOCK}\r\n", BLOCK.len()),
        ),
        _ => endless(received, "connection: close\r\n\r\n", BLOCK),
    }
}

fn script(received: &ReceivedRequest) -> Reply {
    match received.target.as_str() {
        target if target.contains("endless") => endless_by_path(received),
        target if target.ends_with("/large") => signed_response(received, 200, &large_body()),
        _ => respond_healthy(received),
    }
}

/// A sound response that is larger than usual ones.
fn large_body() -> String {
    "large ".repeat(500_000)
}

/// Starts replicas on a thread of their own: those that write without end would otherwise take the
/// processor from the store, whose answers prove the configuration to the relay.
fn start_replicas() -> [StandinReplica; 2] {
    let (started, replicas) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let both = [StandinReplica::start(script).await, StandinReplica::start(script).await];
            started.send(both).expect("the test waits");
            std::future::pending::<()>().await
        });
    });
    replicas.recv().expect("the replicas start")
}

async fn start(name: &str) -> (RelayProcess, [StandinReplica; 2], StandinStore) {
    let store = StandinStore::start().await;
    let routes = [harness::ONCE, SAFE, STREAM, ENDLESS, ENDLESS_STREAM];
    store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &routes, &[KEY]));
    let replicas = start_replicas();
    let entries: [(&str, Value); 2] = [
        ("i-1", desk_entry(replicas[0].address())),
        ("i-2", model_entry(replicas[1].address(), 0, samples::LAYERS)),
    ];
    entries.into_iter().for_each(|(id, entry)| store.put(REPLICA_KIND, id, entry));
    let relay = start_relay(&store, name).await;
    (relay, replicas, store)
}

/// Calls the endless routes with many requests at once, beside sound ones, which must be served.
async fn call_endless(relay: &RelayProcess, path: &str, kind: &str) {
    let calls = (0..CONCURRENT).map(|number| async move {
        relay.call(&format!("{path}{kind}"), &format!("{kind}-{number}")).await
    });
    let sound = async {
        for number in 0..5 {
            let served = relay.call("/once/a", &format!("{kind}-sound-{number}")).await;
            assert_eq!(served.expect("a response").status, StatusCode::OK, "{kind}");
        }
    };
    let (ended, ()) = tokio::join!(join_all(calls), sound);
    for response in ended {
        let CallResult { status, is_complete, .. } = response.expect("a whole head");
        // With a false length, the bytes up to it are a complete response.
        let is_served = is_complete && status.is_success();
        assert!(!is_served || kind == "false-length", "{kind}: {status}");
    }
    println!("{kind}: peak memory {} KB", relay.peak_memory_kb());
}

/// Guards against replicas whose bodies, heads or events never end, which took all memory of a
/// relay.
#[test]
fn endless_responses_stay_within_the_memory_of_a_relay() {
    run_test(async {
        let (relay, _replicas, _store) = start("plain").await;
        for kind in ["head", "lines", "interim", "chunks", "length", "false-length", "close"] {
            call_endless(&relay, "/endless/", kind).await;
        }
        let large = relay.call("/once/large", "large").await.expect("a response");
        assert_eq!((large.status, large.is_complete), (StatusCode::OK, true));
        assert_eq!(large.body, large_body());
        assert!(relay.peak_memory_kb() < MAX_MEMORY_KB, "{} KB", relay.peak_memory_kb());
    });
}

/// The same for streams.
#[test]
fn endless_events_stay_within_the_memory_of_a_relay() {
    run_test(async {
        let (relay, _replicas, _store) = start("stream").await;
        call_endless(&relay, "/stream-endless/", "event").await;
        assert!(relay.peak_memory_kb() < MAX_MEMORY_KB, "{} KB", relay.peak_memory_kb());
    });
}

/// Health checks and reports are read by the relay itself, without a request of a caller.
#[test]
fn endless_reports_stay_within_the_memory_of_a_relay() {
    run_test(async {
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, samples::config(1, &[harness::ONCE, STREAM], &[KEY]));
        let sound = StandinReplica::start(respond_healthy).await;
        store.put(REPLICA_KIND, "i-1", desk_entry(sound.address()));
        let flood = |received: &ReceivedRequest| match received.target.as_str() {
            REPORT_PATH => endless(received, "connection: close\r\n\r\n", "0123456789abcdef"),
            _ => respond_healthy(received),
        };
        let mut engines = Vec::new();
        for number in 0..CONCURRENT {
            let engine = StandinReplica::start(flood).await;
            let entry = model_entry(engine.address(), 0, samples::LAYERS);
            store.put(REPLICA_KIND, &format!("i-e{number}"), entry);
            engines.push(engine);
        }
        let relay = start_relay(&store, "report").await;
        let relay = std::rc::Rc::new(relay);
        let streams = (0..CONCURRENT).map(|number| {
            let relay = relay.clone();
            spawn_local(async move { relay.call("/stream/a", &format!("s{number}")).await })
        });
        let streams: Vec<_> = streams.collect();
        let served = relay.call("/once/a", "sound").await.expect("a response");
        assert_eq!(served.status, StatusCode::OK);
        join_all(streams).await;
        assert!(relay.peak_memory_kb() < MAX_MEMORY_KB, "{} KB", relay.peak_memory_kb());
    });
}
