//! Decides what to do after one attempt to run a request at a replica.
//!
//! This table is the only place that guards against running a request twice: a request that may not
//! be repeated is sent to another replica only while it is certain that no replica ran it, and the
//! caller is told "not run" only under the same condition.

/// How an attempt at a replica ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// No byte of the request was sent: connecting failed, or the connection closed before the
    /// write.
    NotSent,
    /// The replica stated that it did not run the request.
    Rejected,
    /// The replica responded with this status, without stating that the request did not run.
    Answered(u16),
    /// At least part of the request was sent, and no valid response was received.
    Broken,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Forward the replica's response to the caller unchanged.
    PassOn,
    /// Send the request to another replica.
    TryElsewhere,
    /// Tell the caller that the request did not run.
    AnswerNotRun,
    /// Tell the caller that the outcome is unknown.
    AnswerUnknown,
}

/// What was known about a request before the attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptState {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run the request.
    pub may_have_run: bool,
    /// Whether the attempt limit, the retry budget and the deadline allow another attempt.
    pub can_repeat: bool,
}

/// Decides what to do after an attempt ended with `end`.
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

/// Returns whether a response with this status promises the caller that the request did not run.
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

/// Decides after a failure response of the replica's engine or service, which counts as a run.
fn after_failure(state: AttemptState, status: u16) -> NextStep {
    if state.repeatable && state.can_repeat {
        return NextStep::TryElsewhere;
    }
    match promises_not_run(status) {
        true => NextStep::AnswerUnknown,
        false => NextStep::PassOn,
    }
}
