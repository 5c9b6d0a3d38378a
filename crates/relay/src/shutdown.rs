//! Graceful shutdown.
//!
//! From SIGTERM on, the relay is not ready and each response closes its connection; requests are
//! served as before. Once the load balancer has noticed that the relay is not ready, idle
//! connections are closed and no stream is started any more, because it could not end in time. The
//! process exits when the last request has been answered and the connections are closed, or just
//! before it would be killed.

use std::{cell::Cell, rc::Rc};

use switchfold_kernel::clock::now_millis;
use switchfold_router::Millis;
use tokio::sync::Notify;

use crate::state::Relay;

/// Time from SIGTERM until idle connections are closed, in milliseconds. The load balancer checks
/// readiness once a second and removes a VM after two failed checks.
pub const IDLE_CLOSE_DELAY: Millis = 2_500;

/// Time without use after which a shutdown closes a connection, in milliseconds. A stream that began
/// before SIGTERM has not announced that its connection closes, so its caller may send another
/// request on it.
pub const LAST_USE_DELAY: Millis = 1_000;

/// Time from SIGTERM in which streams are still started, in milliseconds. After it callers are sent
/// to another relay at once, rather than losing their stream midway.
const STREAM_START_WINDOW: Millis = 2_800;

/// Time before the process would be killed at which the shutdown ends, in milliseconds.
const KILL_MARGIN: Millis = 900;

/// Longest timeout that counts when deciding whether the end of the shutdown could cut off a
/// request, in milliseconds. Plain services respond in a tenth of it.
const MAX_REQUEST_TIME: Millis = 1_500;

/// State of the shutdown, and the number of requests in flight.
#[derive(Debug, Default)]
pub struct ShutdownState {
    began_at: Cell<Option<Millis>>,
    deadline: Cell<Millis>,
    in_flight: Cell<usize>,
    open_connections: Cell<usize>,
    began: Notify,
}

impl ShutdownState {
    /// Begins the shutdown; the process would be killed after `grace` milliseconds.
    pub fn begin(&self, grace: Millis) {
        self.deadline.set(now_millis() + grace.saturating_sub(KILL_MARGIN));
        self.began_at.set(self.began_at.get().or(Some(now_millis())));
        self.began.notify_waiters();
    }

    /// Returns whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns whether the shutdown has gone too far to start a stream.
    pub fn refuses_streams(&self) -> bool {
        self.began_at.get().is_some_and(|began| now_millis() - began > STREAM_START_WINDOW)
    }

    /// Returns the time at which the shutdown ends at the latest; 0 before it begins.
    pub fn deadline(&self) -> Millis {
        self.deadline.get()
    }

    /// Returns whether the end of the shutdown could cut off a request with this timeout.
    pub fn would_cut(&self, timeout: Millis) -> bool {
        self.is_stopping() && now_millis() + timeout.min(MAX_REQUEST_TIME) > self.deadline.get()
    }

    /// Waits until the shutdown begins.
    pub async fn wait_until_stopping(&self) {
        let notified = self.began.notified();
        if !self.is_stopping() {
            notified.await;
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of open connections of callers.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }
}

/// Counts a request or a connection that a shutdown waits for, until dropped.
#[derive(Debug)]
pub struct CountGuard {
    relay: Rc<Relay>,
    counter: fn(&ShutdownState) -> &Cell<usize>,
}

impl CountGuard {
    /// Counts one more request as in flight.
    pub fn for_request(relay: &Rc<Relay>) -> Self {
        Self::new(relay, |shutdown| &shutdown.in_flight)
    }

    /// Counts one more connection as open.
    pub fn for_connection(relay: &Rc<Relay>) -> Self {
        Self::new(relay, |shutdown| &shutdown.open_connections)
    }

    fn new(relay: &Rc<Relay>, counter: fn(&ShutdownState) -> &Cell<usize>) -> Self {
        counter(&relay.shutdown).update(|count| count + 1);
        Self { relay: relay.clone(), counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.relay.shutdown).update(|count| count - 1);
    }
}
