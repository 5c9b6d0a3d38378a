//! Bodies of callers.

mod harness;

use harness::{RunningRelay, bounds, entry_of, run_test, send_incomplete};
use switchfold_platform_standin::{StandinReplica, samples::desk_entry, signed_response};
use tokio::{io::AsyncReadExt, time::timeout};

/// Guards against requests that stay at the relay for as long as their bodies do not arrive.
#[test]
fn a_body_that_does_not_arrive_is_refused_at_the_deadline() {
    run_test(async {
        let replica = StandinReplica::start(|request| signed_response(request, 200, "")).await;
        let relay = RunningRelay::start(bounds(), &[entry_of("i-1", &replica, desk_entry)]).await;
        let mut caller = send_incomplete(relay.address, "x-deadline-ms: 300\r\n").await;
        let mut response = vec![0; 1_024];
        let read = timeout(harness::WAIT_TIMEOUT, caller.read(&mut response)).await;
        let read = read.expect("the relay responds").expect("it does not break the connection");
        let response = String::from_utf8_lossy(&response[..read]).into_owned();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert_eq!(replica.requests().len(), 0);
    });
}
