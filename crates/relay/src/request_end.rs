//! How requests of callers end, for logs and metrics.
//!
//! The end of each request is counted by its cause. The line `request-ended` is written for those
//! that got neither a complete response nor a refusal. A response counts as complete once all of it
//! was handed to the HTTP library.

use std::{
    any::Any,
    cell::{Cell, RefCell},
    rc::Rc,
};

use derive_more::Display;
use http::StatusCode;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, instance::ReplicaInstance};

use crate::{logs::panic_message, state::Relay};

/// Maximum number of lines per second about connections that ended and their requests, and about
/// requests that ended otherwise.
pub const MAX_END_LINES: u64 = 50;

/// Why a request ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EndCause {
    /// The complete response of a replica was handed over.
    #[display("answered")]
    Answered,
    /// The relay responded itself.
    #[display("refused")]
    Refused,
    /// The deadline passed within the response.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The replica broke off or sent more than is accepted, and the request could not be resumed.
    #[display("replica-failed")]
    ReplicaFailed,
    /// The relay aborted the response for another reason.
    #[display("aborted")]
    Aborted,
    /// The task of the request or of its connection panicked.
    #[display("panicked")]
    Panicked,
    /// The caller ended at least its sending side.
    #[display("caller-left")]
    CallerLeft,
    /// The connection was reset or failed otherwise.
    #[display("connection-failed")]
    ConnectionFailed,
    /// The relay closed the connection for a new one, since too many were open.
    #[display("evicted")]
    Evicted,
    /// The process ended.
    #[display("process-exit")]
    ProcessExit,
}

impl EndCause {
    /// Returns why the requests in progress ended on a connection that ended with `error`.
    pub fn of_connection(error: Option<&hyper::Error>) -> Self {
        match error {
            Some(error) if error.is_incomplete_message() => Self::CallerLeft,
            _ => Self::ConnectionFailed,
        }
    }
}

/// What the caller of a request received.
#[derive(Clone, Copy, Debug, Display)]
enum ResponseEnd {
    #[display("body-aborted")]
    BodyAborted,
    #[display("connection-ended")]
    ConnectionEnded,
}

/// What is known of a request when it ends.
#[derive(Debug)]
pub struct RequestRecord {
    relay: Rc<Relay>,
    id: String,
    arrived_at: Millis,
    /// Version of the configuration at the arrival.
    config: u64,
    was_read: Cell<bool>,
    may_have_run: Rc<Cell<bool>>,
    replica: RefCell<Option<ReplicaInstance>>,
    sends: Cell<u32>,
    /// Time of the last bytes of a replica, or else of the last send.
    heard_at: Cell<Option<Millis>>,
    /// Status of the response, and its end if it is handed over completely.
    response: Cell<Option<(StatusCode, EndCause)>>,
    body_bytes: Cell<u64>,
    cause: Cell<Option<EndCause>>,
}

impl RequestRecord {
    /// Creates the record of a request that arrives now. `may_have_run` tells whether a replica may
    /// have run it.
    pub fn new(relay: &Rc<Relay>, id: &str, may_have_run: &Rc<Cell<bool>>) -> Self {
        Self {
            relay: relay.clone(),
            id: id.to_owned(),
            arrived_at: now_millis(),
            config: relay.state.borrow().config_version(),
            was_read: Cell::new(false),
            may_have_run: may_have_run.clone(),
            replica: RefCell::default(),
            sends: Cell::new(0),
            heard_at: Cell::new(None),
            response: Cell::new(None),
            body_bytes: Cell::new(0),
            cause: Cell::new(None),
        }
    }

    /// Records that the request was read completely.
    pub fn record_read(&self) {
        self.was_read.set(true);
    }

    /// Returns whether the request was read completely.
    pub fn was_read(&self) -> bool {
        self.was_read.get()
    }

    /// Records that the request is sent to a replica.
    pub fn record_sent(&self, replica: &ReplicaInstance) {
        self.sends.update(|sends| sends + 1);
        self.replica.replace(Some(replica.clone()));
        self.record_bytes();
    }

    /// Records that bytes of a replica arrived.
    pub fn record_bytes(&self) {
        self.heard_at.set(Some(now_millis()));
    }

    /// Records the response for the caller; `cause` is its end if it is handed over completely.
    pub fn record_response(&self, status: StatusCode, cause: EndCause) {
        self.response.set(Some((status, cause)));
    }

    /// Records why the relay itself ends the request.
    pub fn set_cause(&self, cause: EndCause) {
        self.cause.set(Some(cause));
    }

    /// Returns whether a replica may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }

    /// Adds to the size of the body that was handed over.
    pub fn add_body_bytes(&self, count: usize) {
        self.body_bytes.update(|bytes| bytes + count as u64);
    }

    /// Returns the id of the request.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Logs a panic of the task of the request.
    pub fn log_panic(&self, payload: &(dyn Any + Send)) {
        tracing::error!(
            event = "request-panicked",
            request = self.id,
            may_have_run = self.may_have_run.get(),
            status = self.response.get().map(|(status, _)| status.as_u16()),
            message = panic_message(payload),
        );
    }

    /// Counts a response that was handed over completely.
    pub fn end_complete(&self) {
        let cause = self.response.get().map_or(EndCause::Aborted, |(_, cause)| cause);
        self.relay.metrics.record_request_end(cause);
    }

    /// Logs and counts a response that the relay aborted.
    pub fn end_aborted(&self) {
        let cause = self.cause.get().unwrap_or(EndCause::Aborted);
        self.log_end(ResponseEnd::BodyAborted, cause, now_millis(), None);
    }

    /// Logs and counts a request whose response was dropped at `ended_at`, because the connection
    /// ended for this cause.
    pub fn end_with_connection(
        &self,
        cause: EndCause,
        ended_at: Millis,
        error: Option<&hyper::Error>,
    ) {
        let cause = self.cause.get().unwrap_or(cause);
        self.log_end(ResponseEnd::ConnectionEnded, cause, ended_at, error);
    }

    fn log_end(
        &self,
        end: ResponseEnd,
        cause: EndCause,
        ended_at: Millis,
        error: Option<&hyper::Error>,
    ) {
        let relay = &self.relay;
        relay.metrics.record_request_end(cause);
        // Callers that leave in great number do not displace the lines about other ends.
        let lines = match cause {
            EndCause::CallerLeft | EndCause::ConnectionFailed => &relay.caller_end_lines,
            _ => &relay.end_lines,
        };
        if !lines.admit(now_millis()) {
            return;
        }
        let replica = self.replica.borrow();
        tracing::warn!(
            event = "request-ended",
            request = self.id,
            %end,
            %cause,
            read = self.was_read.get(),
            sends = self.sends.get(),
            replica = replica.as_ref().map(ReplicaInstance::to_string),
            may_have_run = self.may_have_run.get(),
            status = self.response.get().map(|(status, _)| status.as_u16()),
            body_bytes = self.body_bytes.get(),
            took_ms = ended_at.saturating_sub(self.arrived_at),
            quiet_ms = self.heard_at.get().map(|heard_at| ended_at.saturating_sub(heard_at)),
            config_at_arrival = self.config,
            config = relay.state.borrow().config_version(),
            error = error.map(ToString::to_string),
            lines_left_out = lines.dropped(),
        );
    }
}
