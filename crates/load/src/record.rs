//! Record of each request of a run.

use crate::CheckedOutcome;

/// One request and its result; times are in microseconds after the start of the run.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Number within the run, from 0.
    pub number: usize,
    /// Index of its class in the workload.
    pub class: usize,
    /// Number of its organisation, from 0.
    pub organisation: u32,
    /// Time at which it was scheduled to be sent.
    pub scheduled: u64,
    /// Time at which it was sent.
    pub sent: u64,
    /// Arrival time of each token.
    pub tokens_at: Vec<u64>,
    /// Time at which the response ended or failed.
    pub ended: u64,
    /// Outcome from the caller's view.
    pub outcome: CheckedOutcome,
    /// Machine-readable reason of the outcome; empty if there is none.
    pub reason: String,
    /// Whether the response differs from the expected one.
    pub wrong: bool,
    /// Maximum number of tokens to generate; 0 for a service call.
    pub max_tokens: u32,
    /// Number of the request with the same key that it resends.
    pub resend_of: Option<usize>,
}

impl CallRecord {
    /// Returns whether the request was in flight at a time, in microseconds after the start.
    pub fn in_flight_at(&self, at: u64) -> bool {
        self.sent <= at && self.ended > at
    }
}

/// Record of a run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Records of the requests, in the order in which they ended.
    pub calls: Vec<CallRecord>,
    /// Start of the run in milliseconds, on the clock of the kernel crate.
    pub started_millis: u64,
}
