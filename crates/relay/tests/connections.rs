//! Connections of callers.

mod harness;

use std::time::Duration;

use harness::{
    ROUTES, RunningRelay, WAIT_TIMEOUT, bounds, call_on, entry_of, open_client, run_test,
};
use http::StatusCode;
use serde_json::{Value, json};
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinReplica, StandinStore,
    samples::{self, HOST, KEY, RouteSample, desk_entry},
    signed_response,
};
use switchfold_relay::settings::BoundSettings;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Idle limit of the first version.
const FIRST_IDLE_MS: u64 = 1_000;

fn config_of(version: u64, routes: &[RouteSample], idle_ms: u64) -> Value {
    let mut config = samples::config(version, routes, &[KEY]);
    config["limits"]["idle_timeout_ms"] = json!(idle_ms);
    config
}

/// Guards against connections that go by the limits of the configuration at their opening: one that
/// raises the idle limit must keep them open.
#[test]
fn a_configuration_that_raises_the_idle_limit_reaches_open_connections() {
    run_test(async {
        let replica = StandinReplica::start(|request| signed_response(request, 200, "")).await;
        let (id, entry) = entry_of("i-1", &replica, desk_entry);
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config_of(1, &ROUTES[..1], FIRST_IDLE_MS));
        store.put(REPLICA_KIND, id, entry);
        let relay = RunningRelay::start_with_store(store, bounds()).await;
        relay.wait_ready(StatusCode::OK).await;
        let mut sender = open_client(relay.address).await;
        let unknown = call_on(&mut sender, "before").await.expect("the connection is open");
        assert_eq!(unknown, StatusCode::NOT_FOUND);
        relay.store.put(CONFIG_KIND, CONFIG_NAME, config_of(2, &ROUTES, FIRST_IDLE_MS * 60));
        // The second version has the route, and each call ends a rest.
        while call_on(&mut sender, "change").await.expect("the connection is used")
            == StatusCode::NOT_FOUND
        {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(FIRST_IDLE_MS * 3 / 2)).await;
        let reused = call_on(&mut sender, "after").await;
        assert_eq!(reused.expect("the connection is kept"), StatusCode::OK);
    });
}

/// Guards against bodies that are rejected by a lowered limit while callers still go by the older
/// version.
#[test]
fn a_body_within_the_older_limit_is_accepted_while_callers_may_go_by_it() {
    run_test(async {
        let replica = StandinReplica::start(|request| signed_response(request, 200, "")).await;
        let (id, entry) = entry_of("i-1", &replica, desk_entry);
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config_of(1, &ROUTES[..1], FIRST_IDLE_MS));
        store.put(REPLICA_KIND, id, entry);
        let bounds = BoundSettings { config_apply_ms: 600_000.0, ..bounds() };
        let relay = RunningRelay::start_with_store(store, bounds).await;
        relay.wait_ready(StatusCode::OK).await;
        let mut lowered = config_of(2, &ROUTES, FIRST_IDLE_MS);
        lowered["limits"]["max_body_bytes"] = json!(1);
        relay.store.put(CONFIG_KIND, CONFIG_NAME, lowered);
        let mut sender = open_client(relay.address).await;
        let status = loop {
            match call_on(&mut sender, "change").await.expect("the connection is used") {
                StatusCode::NOT_FOUND => sleep(Duration::from_millis(10)).await,
                status => break status,
            }
        };
        assert_eq!(status, StatusCode::OK);
    });
}

/// Guards against a refusal that ended its connection without announcing it, because the body of the
/// request had not arrived: the caller's next request got no response.
#[test]
fn a_refusal_announces_the_end_of_its_connection() {
    run_test(async {
        let replica =
            StandinReplica::start(|request| signed_response(request, 200, "confirmed")).await;
        let entries = [entry_of("i-1", &replica, desk_entry)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        let head = |id: &str, path: &str| {
            format!(
                "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer unknown\r\n\
                 x-attempt-id: {id}\r\ncontent-length: 8\r\n\r\n"
            )
        };
        for (path, status) in [("/once/a", "401"), ("/none/a", "404")] {
            let mut stream = TcpStream::connect(relay.address).await.expect("a connection");
            let mut response = Vec::new();
            let read_head = async |stream: &mut TcpStream, response: &mut Vec<u8>| {
                response.clear();
                while !response.ends_with(b"\r\n\r\n") {
                    let read = timeout(WAIT_TIMEOUT, stream.read_buf(response)).await;
                    assert_ne!(read.expect("in time").expect("a response"), 0, "{path}");
                }
                String::from_utf8_lossy(response).to_ascii_lowercase()
            };
            // A body that has arrived is read, and the connection is kept.
            for number in 0..3 {
                let whole = head(&format!("whole-{number}"), path) + "question";
                stream.write_all(whole.as_bytes()).await.expect("the connection is kept");
                let text = read_head(&mut stream, &mut response).await;
                assert!(text.starts_with(&format!("http/1.1 {status}")), "{text}");
                assert!(!text.contains("connection: close"), "{text}");
            }
            let part = head("part", path) + "ques";
            stream.write_all(part.as_bytes()).await.expect("the connection is kept");
            let text = read_head(&mut stream, &mut response).await;
            assert!(text.starts_with(&format!("http/1.1 {status}")), "{text}");
            assert!(text.contains("connection: close"), "{text}");
        }
    });
}
