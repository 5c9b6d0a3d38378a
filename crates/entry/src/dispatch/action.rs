//! Effects that the state machine requests.

use std::sync::Arc;

use switchfold_core::{Millis, id::RequestId};
use switchfold_proto::link::message::Body;

use super::submission::{CallerEvent, Outcome, Submission};

/// An effect, carried out by [`DispatchService`](crate::service::DispatchService).
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Send a message to an agent.
    Send {
        /// Process name of the agent.
        process: String,
        /// Message to send.
        body: Body,
    },
    /// Send an event to the caller of a request.
    Notify {
        /// Identifier of the request.
        request: RequestId,
        /// Event to send.
        event: CallerEvent,
    },
    /// Close the link to an agent, so that the agent releases the requests of this entry, and open
    /// a new one.
    ResetLink {
        /// Process name of the agent.
        process: String,
    },
    /// Record a measurement.
    Observe(Observation),
}

impl DispatchAction {
    /// Creates the action that sends `body` to the agent `process`.
    pub fn send(process: &str, body: Body) -> Self {
        Self::Send { process: process.to_owned(), body }
    }

    /// Creates the action that sends `event` to the caller of `request`.
    pub fn notify(request: RequestId, event: CallerEvent) -> Self {
        Self::Notify { request, event }
    }
}

/// Measurement of one request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Organisation of the request.
    pub organisation: Arc<str>,
    /// Class of the request.
    pub class: Arc<str>,
    /// Measured quantity and its value.
    pub kind: ObservationKind,
}

/// Measured quantity of an [`Observation`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObservationKind {
    /// Time from arrival to the first dispatch.
    QueueWait(Millis),
    /// Time from arrival to the first token.
    FirstToken(Millis),
    /// Time from one delivery of tokens to the next.
    BetweenTokens(Millis),
    /// End of the request.
    Ended {
        /// Outcome of the request.
        outcome: Outcome,
        /// Time from arrival to the end.
        total: Millis,
    },
}

impl Observation {
    /// Creates an observation of a request.
    pub fn new(submission: &Submission, kind: ObservationKind) -> Self {
        let organisation = Arc::clone(&submission.organisation);
        Self { organisation, class: Arc::clone(&submission.class), kind }
    }

    /// Creates the observation of a request's end.
    pub fn ended(submission: &Submission, outcome: Outcome, total: Millis) -> Self {
        Self::new(submission, ObservationKind::Ended { outcome, total })
    }
}
