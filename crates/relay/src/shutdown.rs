//! Graceful shutdown.
//!
//! From SIGTERM on, the relay is not ready and each response closes its connection; requests are
//! served as long as they can be expected to end in time, see [`stops`]. Once the load balancer has
//! noticed that the relay is not ready, idle connections are closed and no stream is started any
//! more, because it could not end in time. The process exits when the last request has been
//! responded to and the connections are closed. Shortly before it would be killed, requests that
//! are still in flight get a refusal that tells whether they may have run.
//!
//! [`stops`]: switchfold_router::stops

use std::{cell::Cell, rc::Rc, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    stops::{AwakeTimes, StopSchedule},
};
use tokio::{sync::Notify, time::sleep};

use crate::state::Relay;

/// Time from SIGTERM until idle connections are closed, in milliseconds. The load balancer checks
/// readiness once a second and removes a VM after two failed checks.
pub const IDLE_CLOSE_DELAY: Millis = 2_500;

/// Time without use after which a shutdown closes a connection, in milliseconds. A stream that began
/// before SIGTERM has not announced that its connection closes, so its caller may send another
/// request on it.
pub const LAST_USE_DELAY: Millis = 1_000;

/// State of the shutdown, and the number of requests in flight.
#[derive(Debug, Default)]
pub struct ShutdownState {
    schedule: Cell<Option<StopSchedule>>,
    awake: Cell<AwakeTimes>,
    in_flight: Cell<usize>,
    unanswered: Cell<usize>,
    open_connections: Cell<usize>,
    new_connections: Cell<usize>,
    panicked_task: Cell<Option<&'static str>>,
    began: Notify,
}

impl ShutdownState {
    /// Records that the process is running, so that a pause can be told from a late signal.
    pub fn record_awake(&self) {
        let mut awake = self.awake.get();
        awake.record(now_millis());
        self.awake.set(awake);
    }

    /// Begins the shutdown; the process is killed `grace` milliseconds after the signal. Beginning
    /// it again has no effect.
    pub fn begin(&self, grace: Millis) {
        if self.is_stopping() {
            return;
        }
        let now = now_millis();
        let signalled_at = self.awake.get().earliest_signal(now);
        self.schedule.set(Some(StopSchedule::new(signalled_at, grace, now)));
        self.began.notify_waiters();
    }

    /// Records the panic of a task without which the relay does not serve.
    pub fn record_panic(&self, task: &'static str) {
        self.panicked_task.set(self.panicked_task.get().or(Some(task)));
    }

    /// Returns the first task that panicked.
    pub fn panicked_task(&self) -> Option<&'static str> {
        self.panicked_task.get()
    }

    /// Returns the times of the shutdown, once it has begun.
    pub fn schedule(&self) -> Option<StopSchedule> {
        self.schedule.get()
    }

    /// Returns whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Returns whether the shutdown has gone too far to start a stream.
    pub fn refuses_streams(&self) -> bool {
        self.schedule.get().is_some_and(|schedule| !schedule.starts_streams(now_millis()))
    }

    /// Waits until the shutdown has gone too far to start a stream.
    pub async fn wait_until_streams_refused(&self) {
        self.wait_until(StopSchedule::streams_until).await;
    }

    /// Waits until the requests in flight must be responded to.
    pub async fn wait_until_answer_due(&self) {
        self.wait_until(|schedule| schedule.answer_by).await;
    }

    /// Waits for a time of the shutdown.
    async fn wait_until(&self, time: impl Fn(&StopSchedule) -> Millis) {
        self.wait_until_stopping().await;
        let Some(schedule) = self.schedule.get() else { return };
        loop {
            let remaining = time(&schedule).saturating_sub(now_millis());
            if remaining == 0 {
                return;
            }
            sleep(Duration::from_millis(remaining)).await;
        }
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

    /// Returns the number of requests whose head was read and that have no response yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Returns the number of requests in flight and of connections whose first request has not been
    /// read.
    pub fn load(&self) -> usize {
        self.in_flight.get() + self.new_connections.get()
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

    /// Counts one more request as without a response.
    pub fn for_unanswered(relay: &Rc<Relay>) -> Self {
        Self::new(relay, |shutdown| &shutdown.unanswered)
    }

    /// Counts one more connection as open.
    pub fn for_connection(relay: &Rc<Relay>) -> Self {
        Self::new(relay, |shutdown| &shutdown.open_connections)
    }

    /// Counts one more connection as new, until its first request.
    pub fn for_new_connection(relay: &Rc<Relay>) -> Self {
        Self::new(relay, |shutdown| &shutdown.new_connections)
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
