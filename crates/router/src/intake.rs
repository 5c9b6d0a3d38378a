//! Which new connections a relay takes while its thread has more work than it can do in time.
//!
//! A request that was read is served, so that a thread without time to spare is late for all of its
//! requests. The relay therefore measures how long due tasks wait, and closes new connections unread
//! while it serves as many requests as made them wait too long: callers try another relay. The limit
//! follows the wait alone, whatever the processor and the kind of the requests.

use crate::Millis;

/// Longest time that due tasks may wait, in milliseconds. A processor quota alone lets them wait for up
/// to a tenth of a second.
pub const MAX_WAIT: Millis = 150;

/// Largest and smallest part of the present load to which the limit falls.
const LIMIT_FRACTIONS: (f64, f64) = (0.8, 0.2);

/// Growth of the limit in a second, as a part of it and in addition.
const GROWTH_PER_SECOND: f64 = 0.25;
const ADDED_PER_SECOND: f64 = 4.0;

/// Smallest limit.
const MIN_LIMIT: f64 = 4.0;

/// Limit from which there is none.
const MAX_LIMIT: f64 = 10_000.0;

/// Longest time for which no connection is taken, in milliseconds: a relay that is ready serves
/// some of its callers.
pub const MAX_CLOSED_TIME: Millis = 250;

/// Number of connections that are taken until the first of them has had a turn of the thread, whose
/// wait is measured then.
pub const MAX_STARTING: usize = 32;

/// Limit of the requests that a relay serves at once, those included whose connections are new.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntakeLimit {
    /// `None` while due tasks do not wait for long.
    limit: Option<f64>,
    /// The last wait, if it was too long.
    late_wait: Option<Millis>,
    /// Time up to which the limit has grown.
    grown_at: Millis,
    taken_at: Millis,
}

impl IntakeLimit {
    /// Records how long a due task waited while the relay served `load` requests. The limit falls after
    /// two waits in a row that are too long: one may follow from a pause of the process.
    pub fn record_wait(&mut self, waited: Millis, load: usize, now: Millis) {
        self.grow(now);
        let late_wait = (waited > MAX_WAIT).then_some(waited);
        let former_wait = std::mem::replace(&mut self.late_wait, late_wait);
        let Some(waited) = late_wait.zip(former_wait).map(|(wait, former)| wait.min(former)) else {
            return;
        };
        // Each request adds about the same to the wait of the others.
        let (largest, smallest) = LIMIT_FRACTIONS;
        let fraction = (MAX_WAIT as f64 / waited as f64).clamp(smallest, largest);
        let limit = (load as f64 * fraction).max(MIN_LIMIT);
        self.limit = Some(self.limit.map_or(limit, |former| former.min(limit)));
    }

    /// Returns whether a new connection is taken while the relay serves `load` requests.
    pub fn takes(&mut self, load: usize, now: Millis) -> bool {
        self.grow(now);
        let has_room = self.limit.is_none_or(|limit| (load as f64) < limit);
        let is_taken = has_room || now.saturating_sub(self.taken_at) >= MAX_CLOSED_TIME;
        if is_taken {
            self.taken_at = now;
        }
        is_taken
    }

    /// Returns the limit, if there is one.
    pub fn limit(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }

    fn grow(&mut self, now: Millis) {
        let seconds = now.saturating_sub(self.grown_at) as f64 / 1_000.0;
        self.grown_at = now;
        let grown = self.limit.map(|limit| {
            limit * (1.0 + GROWTH_PER_SECOND).powf(seconds) + ADDED_PER_SECOND * seconds
        });
        self.limit = grown.filter(|limit| *limit < MAX_LIMIT);
    }
}
