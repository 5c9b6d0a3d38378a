//! Requests that wait, as the caller sees them.

use derive_more::{Display, Error};

use crate::Millis;

/// Number of requests that wait for each service at most. At a relay that admits ten requests per
/// second, callers leave long before a longer queue would be served.
pub const MAX_WAITING: usize = 1_024;

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    /// Number of requests that wait at most.
    pub max_waiting: usize,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self { max_waiting: MAX_WAITING }
    }
}

/// A request that is to wait.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Rank; 0 is the most urgent. Ranks above 9 count as 9.
    pub rank: u8,
    /// Organisation that sent the request, if known.
    pub organisation: Option<String>,
    /// Memory that the request needs, in tokens.
    pub tokens: f64,
    /// Time at which the request arrived.
    pub arrived_at: Millis,
    /// Latest time of a start at which the first event is usually on time.
    pub latest_start: Millis,
    /// Time at which the wait ends, because the caller leaves or is to be refused.
    pub leaves_at: Millis,
}

/// Identifies a request in its queue. Tickets are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Reason why a request is not added to a queue.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queue is full, and the request would be the last in order.
    #[display("the queue is full")]
    Full,
    /// The wait would have ended before it begins.
    #[display("no time is left to wait")]
    Expired,
}
