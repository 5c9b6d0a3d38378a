//! A planned stop.
//!
//! From SIGTERM on, readiness is off and each answer closes its connection; requests are served as
//! before. Once the balancer has seen the readiness, idle connections are closed and no new stream is
//! begun, since it could not end in time. The process ends when the last request is answered, or just
//! before it would be killed.

use std::cell::Cell;

use switchfold_kernel::clock::now_millis;
use switchfold_router::Millis;

use tokio::sync::Notify;

/// Time after SIGTERM at which idle connections are closed, in milliseconds: the balancer asks for
/// readiness once a second and takes a VM out after two misses.
pub const IDLE_CLOSE_DELAY: Millis = 2_500;

/// Time after SIGTERM up to which streams are begun, in milliseconds: callers are told to go elsewhere
/// at once after it, rather than to lose their stream midway.
const LAST_STREAM: Millis = 2_800;

/// Time by which a stopping relay ends before it would be killed, in milliseconds.
const STOP_MARGIN: Millis = 900;

/// Time that a request is given at most before the end of a stop, in milliseconds: one that may need
/// longer is told to go elsewhere. Plain services answer in a tenth of it.
const LONGEST_WORK: Millis = 1_500;

/// Whether a relay is stopping, and what is still in flight.
#[derive(Debug, Default)]
pub struct ShutdownState {
    raised_at: Cell<Option<Millis>>,
    end: Cell<Millis>,
    in_flight: Cell<usize>,
    raised: Notify,
}

impl ShutdownState {
    /// Begins the stop; the process would be killed after `grace` milliseconds.
    pub fn begin(&self, grace: Millis) {
        self.end.set(now_millis() + grace.saturating_sub(STOP_MARGIN));
        self.raised_at.set(self.raised_at.get().or(Some(now_millis())));
        self.raised.notify_waiters();
    }

    /// Whether the relay is stopping.
    pub fn is_stopping(&self) -> bool {
        self.raised_at.get().is_some()
    }

    /// Whether it is too late to begin a stream.
    pub fn refuses_streams(&self) -> bool {
        self.raised_at.get().is_some_and(|raised| now_millis() - raised > LAST_STREAM)
    }

    /// When the stop ends at the latest.
    pub fn deadline(&self) -> Millis {
        self.end.get()
    }

    /// Whether a request that may take so long could be cut by the end of the stop.
    pub fn would_cut(&self, patience: Millis) -> bool {
        self.is_stopping() && now_millis() + patience.min(LONGEST_WORK) > self.end.get()
    }

    /// Waits until the stop begins.
    pub async fn wait_until_stopping(&self) {
        let notified = self.raised.notified();
        if !self.is_stopping() {
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
pub struct InFlightGuard {
    relay: std::rc::Rc<crate::state::Relay>,
}

impl InFlightGuard {
    /// Notes a request in flight.
    pub fn new(relay: &std::rc::Rc<crate::state::Relay>) -> Self {
        relay.shutdown.enter();
        Self { relay: relay.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.relay.shutdown.leave();
    }
}
