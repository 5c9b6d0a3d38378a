//! What follows from the outcome of one attempt at a replica.
//!
//! The whole rule against running a request twice is this one table: a request that may not be
//! repeated goes elsewhere only while it is certain that no replica ran it, and a caller is told
//! "not run" only on the same certainty.

/// How an attempt at a replica ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// No byte of the request left: the connection did not open, or was closed before the write.
    NotSent,
    /// The replica said that it did not run the request.
    Rejected,
    /// The replica answered with this status and gave no such promise.
    Answered(u16),
    /// The request was sent, at least in part, and no valid answer came.
    Broken,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Give the caller the replica's answer, unchanged.
    PassOn,
    /// Send the request to another replica.
    TryElsewhere,
    /// Tell the caller that the request did not run.
    AnswerNotRun,
    /// Tell the caller that the outcome is unknown.
    AnswerUnknown,
}

/// What is known of a request before its attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptState {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether attempts, budget and time allow another one.
    pub can_repeat: bool,
}

/// Decides what follows from the end of an attempt.
pub fn decide_next(state: AttemptState, end: AttemptEnd) -> NextStep {
    match end {
        AttemptEnd::NotSent | AttemptEnd::Rejected => after_no_run(state),
        AttemptEnd::Answered(status) if status < 500 && !promises_not_run(status) => {
            NextStep::PassOn
        }
        AttemptEnd::Answered(status) => after_failure(state, status),
        AttemptEnd::Broken if state.repeatable && state.can_repeat => NextStep::TryElsewhere,
        AttemptEnd::Broken => NextStep::AnswerUnknown,
    }
}

/// Whether a status promises the caller that the request did not run.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn after_no_run(state: AttemptState) -> NextStep {
    match state {
        AttemptState { can_repeat: true, repeatable: true, .. }
        | AttemptState { can_repeat: true, may_have_run: false, .. } => NextStep::TryElsewhere,
        AttemptState { may_have_run: true, .. } => NextStep::AnswerUnknown,
        AttemptState { may_have_run: false, .. } => NextStep::AnswerNotRun,
    }
}

/// A failure that the replica's engine or service made itself: it counts as run.
fn after_failure(state: AttemptState, status: u16) -> NextStep {
    if state.repeatable && state.can_repeat {
        return NextStep::TryElsewhere;
    }
    match promises_not_run(status) {
        true => NextStep::AnswerUnknown,
        false => NextStep::PassOn,
    }
}
