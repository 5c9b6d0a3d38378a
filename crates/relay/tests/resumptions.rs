//! Streams that another replica resumes.

mod harness;

use std::time::Duration;

use harness::{RunningRelay, bounds, entry_of, event_ids, respond_healthy, run_test};
use switchfold_platform::engine::{ORDER_PATH, REPORT_PATH};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StreamEnd, events,
    samples::{LAYERS, model_entry},
};

/// Guards against a resumption at another place of the stream: the caller got events 0, 1, 2, 11 and
/// a complete body.
#[test]
fn a_resumed_stream_goes_on_with_the_next_event() {
    run_test(async {
        let script = |request: &ReceivedRequest| {
            let id = request.header("x-attempt-id").unwrap_or_default();
            let pause = Duration::from_millis(5);
            match (request.target.as_str(), request.header("last-event-id")) {
                (REPORT_PATH | ORDER_PATH, _) => respond_healthy(request),
                (_, None) => events(request, 3, pause, StreamEnd::Cut),
                _ => match events(request, 12, pause, StreamEnd::Complete) {
                    Reply::Stream { head, pause, end, owner, gate, .. } => {
                        let first = id.parse().expect("the id names the first event");
                        Reply::Stream { head, ids: first..12, pause, end, owner, gate }
                    }
                    other => other,
                },
            }
        };
        let replicas = [StandinReplica::start(script).await, StandinReplica::start(script).await];
        let full_model = |address| model_entry(address, 0, LAYERS);
        let entries =
            [entry_of("i-1", &replicas[0], full_model), entry_of("i-2", &replicas[1], full_model)];
        let relay = RunningRelay::start(bounds(), &entries).await;
        for first in [0, 1, 2, 4, 11] {
            let called = relay.get("/stream/a", &first.to_string()).await;
            assert_eq!(event_ids(&called.body), [0, 1, 2], "from {first}");
            assert!(!called.is_complete, "from {first}");
        }
        let called = relay.get("/stream/a", "3").await;
        assert_eq!(event_ids(&called.body), (0..12).collect::<Vec<u64>>());
        assert!(called.is_complete);
    });
}
