//! Counters of an agent.

use serde::Serialize;

/// Counters since the start of an agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct GateCounts {
    /// Requests and calls admitted.
    pub admitted: u64,
    /// Requests and calls refused.
    pub refused: u64,
    /// Refusals because the VM is draining.
    pub refused_draining: u64,
    /// Steps that the engine ran.
    pub steps: u64,
    /// Repeated steps for which the last output was sent again.
    pub repeated_steps: u64,
    /// Steps dropped: repeated, of an abandoned attempt, or of a request that is not in flight
    /// here.
    pub dropped_steps: u64,
    /// Steps refused because earlier positions are missing or the step is for another layer.
    pub gaps: u64,
    /// Positions replayed from the log to a replacement of the next stage.
    pub replayed_positions: u64,
    /// Orders ignored because their plan was not newer than the last one.
    pub stale_orders: u64,
    /// Messages that are malformed or not valid on their link.
    pub unexpected_messages: u64,
}
