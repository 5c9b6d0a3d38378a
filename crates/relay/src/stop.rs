//! A planned stop.
//!
//! From SIGTERM on, readiness is off and each answer closes its connection; requests are served as
//! before. The process ends when the last request is answered and callers had time to see the
//! readiness, or just before it would be killed.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether a relay is stopping, and what is still in flight.
#[derive(Debug, Default)]
pub struct StopState {
    stopping: Cell<bool>,
    in_flight: Cell<usize>,
    raised: Notify,
}

impl StopState {
    /// Begins the stop.
    pub fn raise(&self) {
        self.stopping.set(true);
        self.raised.notify_waiters();
    }

    /// Whether the relay is stopping.
    pub fn is_raised(&self) -> bool {
        self.stopping.get()
    }

    /// Waits until the stop begins.
    pub async fn raised(&self) {
        let notified = self.raised.notified();
        if !self.is_raised() {
            notified.await;
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    fn enter(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    fn leave(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

/// A request in flight; dropping it ends it.
#[derive(Debug)]
pub struct FlightGuard {
    relay: std::rc::Rc<crate::state::Relay>,
}

impl FlightGuard {
    /// Notes a request in flight.
    pub fn new(relay: &std::rc::Rc<crate::state::Relay>) -> Self {
        relay.stop.enter();
        Self { relay: relay.clone() }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.relay.stop.leave();
    }
}
