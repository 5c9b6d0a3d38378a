//! What the state machine asks the entry to do.

use std::sync::Arc;

use switchfold_core::{Millis, id::RequestId};
use switchfold_proto::link::message::Body;

use super::submission::{CallerEvent, Outcome, Submission};

/// One thing to do.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Send a message to an agent.
    Send {
        /// Name of the agent's process.
        process: String,
        /// The message.
        body: Body,
    },
    /// Tell the caller of a request something.
    Notify {
        /// The request.
        request: RequestId,
        /// What to tell.
        event: CallerEvent,
    },
    /// End the link to an agent, so that it releases what it has, and link to it anew.
    ResetLink {
        /// Name of the agent's process.
        process: String,
    },
    /// Measure something.
    Observe(Observation),
}

impl DispatchAction {
    /// Makes a message to an agent.
    pub fn send(process: &str, body: Body) -> Self {
        Self::Send { process: process.to_owned(), body }
    }

    /// Makes a message to a caller.
    pub fn notify(request: RequestId, event: CallerEvent) -> Self {
        Self::Notify { request, event }
    }
}

/// Something to measure.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Organisation of the request.
    pub organisation: Arc<str>,
    /// Class of the request.
    pub class: Arc<str>,
    /// What was measured.
    pub kind: ObservationKind,
}

/// What was measured; times are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObservationKind {
    /// From arrival to the first dispatch.
    QueueWait(Millis),
    /// From arrival to the first token.
    FirstToken(Millis),
    /// From one delivery of tokens to the next.
    BetweenTokens(Millis),
    /// From arrival to the end.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        total: Millis,
    },
}

impl Observation {
    /// Makes an observation on a request.
    pub fn new(submission: &Submission, kind: ObservationKind) -> Self {
        let organisation = Arc::clone(&submission.organisation);
        Self { organisation, class: Arc::clone(&submission.class), kind }
    }

    /// Makes the observation of a request's end.
    pub fn ended(submission: &Submission, outcome: Outcome, total: Millis) -> Self {
        Self::new(submission, ObservationKind::Ended { outcome, total })
    }
}
