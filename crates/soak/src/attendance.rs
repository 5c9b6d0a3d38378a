//! Whether relays that say they are ready respond on new connections, at every moment of a run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::time::{sleep, timeout};

use crate::caller::fetch_status;

/// Time within which a ready relay responds on one of the connections that are opened to it.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Interval at which connections are opened to a relay.
const CALL_INTERVAL: Duration = Duration::from_millis(140);

/// Path without a route, so that a relay responds by itself.
const ABSENT_PATH: &str = "/absent/";

/// Opens connections to a relay until it responds on one of them. Returns the time that it took, which
/// is at most [`CONTACT_TIME`].
pub(crate) async fn wait_for_response(address: SocketAddr) -> Duration {
    let began = Instant::now();
    let responded = async {
        while fetch_status(address, ABSENT_PATH).await.is_none() {
            sleep(CALL_INTERVAL).await;
        }
    };
    // The time tells whether there was a response.
    let _timed_out = timeout(CONTACT_TIME, responded).await;
    sleep(CALL_INTERVAL).await;
    began.elapsed().saturating_sub(CALL_INTERVAL).min(CONTACT_TIME)
}
