//! What a request is, and what its caller is told.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use switchfold_core::{Millis, id::RequestId, queue::QueueEntry};
use switchfold_proto::link::Header;

/// A request, after the caller's rights were checked.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its identifier.
    pub id: RequestId,
    /// Organisation that sent it.
    pub organisation: Arc<str>,
    /// Share of the organisation.
    pub weight: u64,
    /// Class within its event.
    pub class: Arc<str>,
    /// Model or service.
    pub target: String,
    /// Priority of its class.
    pub priority: u8,
    /// When it must have started.
    pub deadline: Millis,
    /// Must never run twice.
    pub once: bool,
    /// What to run.
    pub work: Work,
}

/// What a request runs.
#[derive(Clone, Debug)]
pub enum Work {
    /// Tokens of a model.
    Completion {
        /// The prompt.
        prompt: Vec<u32>,
        /// Tokens to make.
        max_tokens: u32,
    },
    /// A call of a plain service.
    Call {
        /// HTTP method.
        method: String,
        /// Path and query at the service.
        path: String,
        /// Headers to pass on.
        headers: Vec<Header>,
        /// Body.
        body: Bytes,
    },
}

/// Positions of a prompt that cost as much as one token.
const PROMPT_DISCOUNT: u64 = 16;

/// What a call of a service costs, in tokens.
const CALL_COST: u64 = 16;

impl Submission {
    /// Expected work, in tokens.
    pub fn cost(&self) -> u64 {
        match &self.work {
            Work::Completion { prompt, max_tokens } => {
                u64::from(*max_tokens) + prompt.len() as u64 / PROMPT_DISCOUNT
            }
            Work::Call { .. } => CALL_COST,
        }
    }

    /// Its place in the queue of its target; `queued` is when it arrived.
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

    /// Tells whether it is a call of a plain service.
    pub fn is_call(&self) -> bool {
        matches!(self.work, Work::Call { .. })
    }
}

/// Why a request did not run.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// At the present rate its turn comes after its deadline.
    #[display("deadline-unreachable")]
    DeadlineUnreachable,
    /// Its deadline passed while it waited.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The caller went away while it waited.
    #[display("cancelled")]
    Cancelled,
    /// Its organisation has used up its rate.
    #[display("rate-limit")]
    RateLimit,
    /// Its event does not take requests now.
    #[display("event-not-open")]
    EventNotOpen,
    /// The entry is stopping.
    #[display("stopping")]
    Stopping,
    /// Its key could not be claimed before its deadline.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// Another request holds its key.
    #[display("already-claimed")]
    AlreadyClaimed,
    /// The service cannot be reached, and the budget for further tries is used up.
    #[display("service-unreachable")]
    ServiceUnreachable,
}

/// Why it is not known whether a request ran whole.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// A stage was lost, and the request must not be repeated.
    #[display("stage-lost")]
    StageLost,
    /// The service gave no whole answer.
    #[display("service-failed")]
    ServiceFailed,
    /// No replacement for a lost stage was found in time.
    #[display("no-replacement")]
    NoReplacement,
    /// The budget for repeating work is used up.
    #[display("retry-budget")]
    RetryBudget,
    /// It made no progress, and asking again did not help.
    #[display("stalled")]
    Stalled,
    /// The caller went away while it ran.
    #[display("cancelled")]
    Cancelled,
    /// Another request holds its key, and that one's outcome is not known here.
    #[display("already-claimed")]
    AlreadyClaimed,
    /// The entry stopped.
    #[display("entry-stopped")]
    EntryStopped,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It waits or runs.
    Running,
    /// It ran whole.
    Done,
    /// It did not run, and never will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

impl Outcome {
    /// Word in the `Switchfold-Outcome` header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Reason, in a form for machines; empty where there is none.
    pub fn reason(&self) -> String {
        match self {
            Self::Running | Self::Done => String::new(),
            Self::NotRun(reason) => reason.to_string(),
            Self::Unknown(reason) => reason.to_string(),
        }
    }
}

/// What a caller is told. The last event is `Done`, `Answer`, `NotRun` or `Unknown`.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next tokens, in order.
    Tokens(Vec<u32>),
    /// All tokens were delivered.
    Done {
        /// Count of tokens.
        count: u32,
    },
    /// The service's answer.
    Response {
        /// Status code.
        status: u32,
        /// Headers.
        headers: Vec<Header>,
        /// Body.
        body: Bytes,
    },
    /// It did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// Milliseconds after which to try again.
        retry_after: Millis,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
}
