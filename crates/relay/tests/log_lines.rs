//! The log lines of a request tell its class, so that an operator sees which class is served badly.

mod harness;

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use harness::{
    RunningRelay, bounds, call, entry_of, request, respond_healthy, run_test, wait_until,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StreamEnd, events,
    samples::{LAYERS, ORGANISATION, in_data_centre, model_entry},
};
use switchfold_relay::logs::start_to;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::WorkerGuard;

/// Output that keeps the written log lines.
#[derive(Clone, Default)]
struct CapturedOutput {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().expect("no writer panics").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CapturedOutput {
    /// Waits for the line of this event about a request.
    async fn line(&self, event: &str, id: &str) -> Value {
        let find = || {
            let bytes = self.bytes.lock().expect("no writer panics").clone();
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let mut lines =
                text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
            lines.find(|line| line["event"] == event && line["request"] == id)
        };
        wait_until(async || find().is_some()).await;
        find().expect("just found")
    }
}

/// Returns the output of all tests of this file: only the first start of the log takes effect.
fn captured_output() -> CapturedOutput {
    static OUTPUT: OnceLock<(CapturedOutput, WorkerGuard)> = OnceLock::new();
    let start = || {
        let output = CapturedOutput::default();
        (output.clone(), start_to(LevelFilter::INFO, output))
    };
    OUTPUT.get_or_init(start).0.clone()
}

/// Responds as a healthy replica, but breaks streams that must not be resumed.
fn breaks_after_two_events(request: &ReceivedRequest) -> Reply {
    match request.target.starts_with("/stream-once/") {
        true => events(request, 2, Duration::from_millis(5), StreamEnd::Cut),
        false => respond_healthy(request),
    }
}

/// A line without the class cannot be counted by class: the account would show it under no rank.
#[test]
fn lines_of_a_request_name_its_class() {
    let output = captured_output();
    run_test(async {
        let engine = StandinReplica::start(breaks_after_two_events).await;
        let entry = |address| in_data_centre(model_entry(address, 0, LAYERS), "far");
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &engine, entry)]).await;
        assert_eq!(relay.get("/stream/a", "a").await.status, StatusCode::OK);
        assert_eq!(relay.get("/stream-once/b", "b").await.status, StatusCode::OK);
        assert_eq!(relay.get("/safe/c", "c").await.status, StatusCode::SERVICE_UNAVAILABLE);
        let no_route = call(relay.address, request("/none/d", "d")).await;
        assert_eq!(no_route.status, StatusCode::NOT_FOUND);
        let expected = [
            ("dispatch", "a", "route-stream-"),
            ("answered", "a", "route-stream-"),
            ("stream-ended", "a", "route-stream-"),
            ("stream-broken", "b", "route-stream-once-"),
            ("refused", "c", "route-safe-"),
        ];
        for (event, id, route) in expected {
            let line = output.line(event, id).await;
            assert_eq!(line["route"], route, "{line}");
            assert_eq!(line["organisation"], ORGANISATION, "{line}");
            assert_eq!(line["rank"], 1, "{line}");
        }
        let dispatch = output.line("dispatch", "a").await;
        assert_eq!(dispatch["starts_elsewhere"], true, "{dispatch}");
        assert!(dispatch["fill"].as_f64().is_some_and(|fill| fill > 0.0), "{dispatch}");
        assert!(
            dispatch["fullest"].as_str().is_some_and(|name| name.contains("i-1")),
            "{dispatch}"
        );
        let metrics = Request::get("/metrics").body(Full::default()).expect("a request");
        let metrics = call(relay.metrics, metrics).await.body;
        let mut waits = metrics.lines().filter(|line| {
            line.starts_with("switchfold_dispatch_wait") && line.contains("_count{")
        });
        let waits = waits.next().expect("a histogram");
        assert!(waits.contains("rank=\"1\"") && waits.ends_with(" 2"), "two were sent: {waits}");
        let refused = output.line("refused", "d").await;
        assert!(refused["rank"].is_null(), "not admitted: {refused}");
    });
}

/// A refusal for want of a path named no layer, so that lost replicas could not be told from leaving
/// or full ones.
#[test]
fn a_missing_path_names_the_first_gap() {
    let output = captured_output();
    run_test(async {
        let engine = StandinReplica::start(respond_healthy).await;
        let entry = |address| model_entry(address, 0, LAYERS / 2);
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &engine, entry)]).await;
        let refused = relay.get("/stream/e", "e").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let line = output.line("no-path", "e").await;
        assert_eq!((&line["replicas"], &line["leaving"]), (&json!(1), &json!(0)), "{line}");
        assert_eq!(line["first_gap"], LAYERS / 2, "{line}");
    });
}
