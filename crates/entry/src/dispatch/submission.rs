//! Requests, their outcomes, and the events that callers receive.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use switchfold_core::{Millis, id::RequestId, queue::QueueEntry};
use switchfold_proto::link::Header;

/// An authorised request.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier, from [`DispatchState::issue_id`](super::DispatchState::issue_id).
    pub id: RequestId,
    /// Organisation that sent it.
    pub organisation: Arc<str>,
    /// Weight of the organisation in the queue.
    pub weight: u64,
    /// Class of the request within its event.
    pub class: Arc<str>,
    /// Name of the model or service.
    pub target: String,
    /// Priority of its class; requests with a higher priority are dispatched first.
    pub priority: u8,
    /// Time by which the request must be dispatched.
    pub deadline: Millis,
    /// Whether the request must not be repeated.
    pub once: bool,
    /// Work to run.
    pub work: Work,
}

/// Work of a request.
#[derive(Clone, Debug)]
pub enum Work {
    /// Completion of a prompt by a model.
    Completion {
        /// Token ids of the prompt.
        prompt: Vec<u32>,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// HTTP call of a plain service, one that runs no model.
    Call {
        /// HTTP method.
        method: String,
        /// Path and query at the service.
        path: String,
        /// Headers to forward.
        headers: Vec<Header>,
        /// Request body.
        body: Bytes,
    },
}

/// Number of prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_UNIT: u64 = 16;

/// Cost of a service call, in generated tokens.
const CALL_COST_TOKENS: u64 = 16;

impl Submission {
    /// Returns the expected work, in generated tokens.
    pub fn cost(&self) -> u64 {
        match &self.work {
            Work::Completion { prompt, max_tokens } => {
                u64::from(*max_tokens) + prompt.len() as u64 / PROMPT_TOKENS_PER_UNIT
            }
            Work::Call { .. } => CALL_COST_TOKENS,
        }
    }

    /// Returns the queue entry of the request; `queued` is the time of its arrival.
    pub fn queue_entry(&self, queued: Millis) -> QueueEntry {
        QueueEntry {
            id: self.id,
            organisation: Arc::clone(&self.organisation),
            priority: self.priority,
            deadline: self.deadline,
            queued_at: queued,
            cost: self.cost(),
            weight: self.weight,
        }
    }

    /// Returns whether the request is a call of a plain service.
    pub fn is_call(&self) -> bool {
        matches!(self.work, Work::Call { .. })
    }
}

/// Reason why a request did not run.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// At the current dispatch rate its turn would come after its deadline.
    #[display("deadline-unreachable")]
    DeadlineUnreachable,
    /// Its deadline passed while it was queued.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The caller disconnected while it was queued.
    #[display("cancelled")]
    Cancelled,
    /// Its organisation exceeded its rate limit.
    #[display("rate-limit")]
    RateLimit,
    /// Its event does not accept requests now.
    #[display("event-not-open")]
    EventNotOpen,
    /// The entry is stopping.
    #[display("stopping")]
    Stopping,
    /// Its idempotency key could not be claimed before its deadline.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// Another request holds its idempotency key.
    #[display("already-claimed")]
    AlreadyClaimed,
    /// The service cannot be reached, and the retry budget is used up.
    #[display("service-unreachable")]
    ServiceUnreachable,
}

/// Reason why it is unknown whether a request ran to completion.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// A stage was lost, and the request must not be repeated.
    #[display("stage-lost")]
    StageLost,
    /// The service sent no complete response.
    #[display("service-failed")]
    ServiceFailed,
    /// No replacement for a lost stage was found in time.
    #[display("no-replacement")]
    NoReplacement,
    /// The retry budget is used up.
    #[display("retry-budget")]
    RetryBudget,
    /// It made no progress, even after its stages were asked to resend their output.
    #[display("stalled")]
    Stalled,
    /// The caller disconnected while it ran.
    #[display("cancelled")]
    Cancelled,
    /// Another request holds its idempotency key, and the outcome of that request is not known
    /// here.
    #[display("already-claimed")]
    AlreadyClaimed,
    /// The entry stopped.
    #[display("entry-stopped")]
    EntryStopped,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request is queued or running.
    Running,
    /// The request ran to completion.
    Done,
    /// The request did not run and never will, so it is safe to send again.
    NotRun(NotRunReason),
    /// The request may have run, partly or completely.
    Unknown(UnknownReason),
}

impl Outcome {
    /// Returns the value for the `Switchfold-Outcome` header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the machine-readable reason, or an empty string if there is none.
    pub fn reason(&self) -> String {
        match self {
            Self::Running | Self::Done => String::new(),
            Self::NotRun(reason) => reason.to_string(),
            Self::Unknown(reason) => reason.to_string(),
        }
    }
}

/// Event for the caller of a request.
///
/// The last event is `Done`, `NotRun` or `Unknown`. The response of a service precedes its `Done`.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next tokens, in order.
    Tokens(Vec<u32>),
    /// The request ran to completion.
    Done {
        /// Number of delivered tokens; 0 for a service call.
        count: u32,
    },
    /// Response of the service to a call.
    Response {
        /// HTTP status code.
        status: u32,
        /// Response headers.
        headers: Vec<Header>,
        /// Response body.
        body: Bytes,
    },
    /// The request did not run.
    NotRun {
        /// Reason why it did not run.
        reason: NotRunReason,
        /// Time to wait before the request is sent again.
        retry_after: Millis,
    },
    /// The request may have run.
    Unknown {
        /// Reason why this is unknown.
        reason: UnknownReason,
    },
}
