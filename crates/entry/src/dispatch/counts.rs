//! What an entry counts.

use serde::Serialize;
use switchfold_core::assembly::AssemblyCounts;

use super::submission::Outcome;

/// Counters of an entry since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct DispatchCounts {
    /// Requests taken from callers.
    pub submitted: u64,
    /// Requests sent to a first stage or a service, repeats included.
    pub dispatched: u64,
    /// Ended as `done`.
    pub done: u64,
    /// Ended as `not-run`.
    pub not_run: u64,
    /// Ended as `unknown`.
    pub unknown: u64,
    /// Stages replaced under running requests.
    pub stages_replaced: u64,
    /// Requests begun anew with their delivered tokens as a prefix.
    pub restarts: u64,
    /// Requests whose last steps were asked for again.
    pub nudges: u64,
    /// Refusals by agents, before anything ran there.
    pub refused_by_agents: u64,
    /// Tokens that came twice.
    pub repeated_tokens: u64,
    /// Tokens of attempts that were given up, or past the end.
    pub late_tokens: u64,
    /// Agents taken for lost.
    pub replicas_lost: u64,
    /// Replicas ejected as slow or failing.
    pub ejections: u64,
}

impl DispatchCounts {
    pub(super) fn note_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done => self.done += 1,
            Outcome::NotRun(_) => self.not_run += 1,
            Outcome::Unknown(_) => self.unknown += 1,
            Outcome::Running => {}
        }
    }

    pub(super) fn note_assembly(&mut self, counts: AssemblyCounts) {
        self.repeated_tokens += counts.duplicates;
        self.late_tokens += counts.past_end;
    }
}
