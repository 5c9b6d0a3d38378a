//! Counters of a relay. Their names are those of the log line `figures` and of the metric
//! `switchfold_figures`.

use std::{cell::Cell, collections::VecDeque, fmt::Write};

/// Number of seconds whose ended requests are kept: as many as lie between two lines of figures.
pub const RECENT_SECONDS: usize = 10;

/// Requests that ended, by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndedRequests {
    /// Requests that ended with the response of a replica.
    pub answered: u64,
    /// Requests refused with the status that promises that they did not run.
    pub refused: u64,
    /// Requests that ended without a response of a replica.
    pub failed: u64,
}

impl EndedRequests {
    /// Returns the sums since the start of the process.
    fn total(counts: &Counts) -> Self {
        let Counts { answered, refused, failed, .. } = counts;
        Self { answered: answered.get(), refused: refused.get(), failed: failed.get() }
    }
}

/// Ended requests of each of the last seconds.
#[derive(Debug, Default)]
pub struct RecentCounts {
    total: EndedRequests,
    /// By second, the latest last.
    seconds: VecDeque<EndedRequests>,
}

impl RecentCounts {
    /// Records what ended since the last call.
    pub fn record(&mut self, counts: &Counts) {
        let total = EndedRequests::total(counts);
        let second = EndedRequests {
            answered: total.answered - self.total.answered,
            refused: total.refused - self.total.refused,
            failed: total.failed - self.total.failed,
        };
        self.total = total;
        self.seconds.push_back(second);
        if self.seconds.len() > RECENT_SECONDS {
            self.seconds.pop_front();
        }
    }

    /// Returns the last second.
    pub fn last(&self) -> EndedRequests {
        self.seconds.back().copied().unwrap_or_default()
    }

    /// Returns one number of each second, separated by blanks.
    pub fn by_second(&self, number: impl Fn(&EndedRequests) -> u64) -> String {
        self.seconds.iter().fold(String::new(), |mut text, second| {
            let blank = if text.is_empty() { "" } else { " " };
            // Writing to a string does not fail.
            let _written = write!(text, "{blank}{}", number(second));
            text
        })
    }
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections accepted from callers.
    pub accepted: Cell<u64>,
    /// Attempts to accept a connection of a caller that failed.
    pub accept_errors: Cell<u64>,
    /// Connections closed before anything was read, since the relay could not serve them in time.
    pub shed_connections: Cell<u64>,
    /// Connections closed for new ones, since too many were open.
    pub evicted_connections: Cell<u64>,
    /// Requests received from callers.
    pub requests: Cell<u64>,
    /// Requests that ended with the response of a replica.
    pub answered: Cell<u64>,
    /// Requests refused with the status that promises that they did not run.
    pub refused: Cell<u64>,
    /// Requests that ended without a response of a replica.
    pub failed: Cell<u64>,
    /// Runs at replicas that ended without a result.
    pub lost_runs: Cell<u64>,
    /// Requests quarantined because they crashed the replicas that ran them.
    pub stopped_requests: Cell<u64>,
    /// Requests whose parts of the prompt could not be read.
    pub malformed_parts: Cell<u64>,
    /// Sends refused because their request is quarantined.
    pub quarantined: Cell<u64>,
    /// Rejections in which a replica asked this VM to back off (`Retry-After`).
    pub backoffs_asked: Cell<u64>,
    /// Sends cancelled just before the write because of a backoff or a missing grant.
    pub held_back: Cell<u64>,
    /// Requests refused because they would start only after their callers stop waiting.
    pub early_refusals: Cell<u64>,
    /// Early refusals whose callers were given a time at which capacity is expected.
    pub promised_returns: Cell<u64>,
    /// Requests that came back to this relay after an early refusal, and were refused again.
    pub returns_refused: Cell<u64>,
    /// Replicas that announced in a response that they are leaving.
    pub leaving_told: Cell<u64>,
    /// Times that a replica set, changed or removed its rate limit.
    pub limits_changed: Cell<u64>,
    /// Grants requested for sends to rate-limited replicas.
    pub grants_asked: Cell<u64>,
    /// Grants issued by this relay, to itself and to others.
    pub grants_issued: Cell<u64>,
    /// Requests sent with a grant.
    pub grants_spent: Cell<u64>,
    /// Retries charged to the retry budget.
    pub retries_charged: Cell<u64>,
    /// Retries that other relays lent this one.
    pub loans_received: Cell<u64>,
    /// Retries that the retry budget did not allow.
    pub retries_denied: Cell<u64>,
    /// Retries at another replica.
    pub repeats: Cell<u64>,
    /// Running streams moved to another path.
    pub repaths: Cell<u64>,
    /// Orders to move a stream that were refused, at any service.
    pub moves_refused: Cell<u64>,
    /// Moves that were delayed because their path had no capacity, at ranked services.
    pub moves_delayed: Cell<u64>,
    /// Streams resumed at another replica.
    pub resumes: Cell<u64>,
    /// Times that this relay began to redirect new callers to other relays, by not being ready.
    pub step_asides: Cell<u64>,
    /// Orders to engines to load other layers.
    pub orders: Cell<u64>,
    /// Snapshots of the store requested from other relays.
    pub snapshots_asked: Cell<u64>,
    /// Snapshots sent to other relays.
    pub snapshots_told: Cell<u64>,
    /// Snapshot requests and responses that could not be decoded.
    pub bad_snapshots: Cell<u64>,
    /// Updates of a replica that were older than the known state of it.
    pub older_news: Cell<u64>,
    /// State messages sent to other relays.
    pub states_told: Cell<u64>,
    /// State messages received from other relays.
    pub states_heard: Cell<u64>,
    /// Dropped datagrams: damaged, of an unknown format, or from more relays than are accepted.
    pub bad_datagrams: Cell<u64>,
    /// State messages that arrived after a newer one of the same relay.
    pub older_states: Cell<u64>,
    /// Replicas that were leaving and returned to service according to a newer update.
    pub returned: Cell<u64>,
    /// Replicas that restarted under the same id.
    pub restarted: Cell<u64>,
    /// Entries not written by their replica, counted once per revision, and malformed objects.
    pub odd_entries: Cell<u64>,
    /// Times that the store was restored from a backup.
    pub store_copies: Cell<u64>,
    /// Changes that a watch missed and a later list contained.
    pub passed_changes: Cell<u64>,
}

/// Increments a counter by one.
pub fn count(counter: &Cell<u64>) {
    add(counter, 1);
}

/// Increments a counter by `amount`.
pub fn add(counter: &Cell<u64>, amount: u64) {
    counter.set(counter.get() + amount);
}
