//! Counters of an entry.

use serde::Serialize;
use switchfold_core::assembly::AssemblyCounts;

use super::submission::Outcome;

/// Counters since the start of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct DispatchCounts {
    /// Requests submitted by callers.
    pub submitted: u64,
    /// Requests sent to a first stage or a service, including retries.
    pub dispatched: u64,
    /// Requests that ended as `done`.
    pub done: u64,
    /// Requests that ended as `not-run`.
    pub not_run: u64,
    /// Requests that ended as `unknown`.
    pub unknown: u64,
    /// Lost stages of running requests that were replaced.
    pub stages_replaced: u64,
    /// Restarts of requests on a new path, with the delivered tokens as a prefix.
    pub restarts: u64,
    /// Times that the stages of a stalled request were asked to resend their last output.
    #[serde(rename = "nudges")]
    pub resend_requests: u64,
    /// Refusals by agents before any part of the request ran there.
    pub refused_by_agents: u64,
    /// Tokens received more than once.
    pub repeated_tokens: u64,
    /// Tokens of abandoned attempts or ended requests, or past the end of the completion.
    pub late_tokens: u64,
    /// Agents lost: their link ended, or no message arrived within their timeout.
    pub replicas_lost: u64,
    /// Ejections of slow or failing replicas.
    pub ejections: u64,
}

impl DispatchCounts {
    pub(super) fn record_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done => self.done += 1,
            Outcome::NotRun(_) => self.not_run += 1,
            Outcome::Unknown(_) => self.unknown += 1,
            Outcome::Running => {}
        }
    }

    pub(super) fn record_assembly(&mut self, counts: AssemblyCounts) {
        self.repeated_tokens += counts.duplicates;
        self.late_tokens += counts.past_end;
    }
}
