//! Whether relays that say they are ready respond on new connections, at every moment of a run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::time::timeout;

use crate::caller::fetch_status;

/// Time within which a ready relay responds on one of the connections that are opened to it.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Interval at which connections are opened to a relay beside those of the callers.
pub(crate) const CALL_INTERVAL: Duration = Duration::from_millis(140);

/// Path without a route, so that a relay responds by itself.
const ABSENT_PATH: &str = "/absent/";

/// Times by which a relay's attendance is judged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Attendance {
    /// Time since which all checks found the relay ready; `None` if the last one did not.
    ready_since: Option<Instant>,
    /// Time of the last response on a new connection, to any caller.
    responded_at: Option<Instant>,
}

impl Attendance {
    pub(crate) fn record_check(&mut self, is_ready: bool) {
        self.ready_since = is_ready.then(|| self.ready_since.unwrap_or_else(Instant::now));
    }

    pub(crate) fn record_response(&mut self) {
        self.responded_at = Some(Instant::now());
    }

    /// Returns the time for which the relay has been ready without a response on a new connection.
    pub(crate) fn unattended(&self) -> Duration {
        let Some(ready_since) = self.ready_since else { return Duration::ZERO };
        self.responded_at.map_or(ready_since, |at| at.max(ready_since)).elapsed()
    }
}

/// Opens a connection to a relay. Returns whether the relay responds on it.
pub(crate) async fn is_attended(address: SocketAddr) -> bool {
    let status = timeout(CONTACT_TIME, fetch_status(address, ABSENT_PATH)).await;
    status.is_ok_and(|status| status.is_some())
}
