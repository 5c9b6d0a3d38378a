//! An instance of a replica: the id under which it is listed, and when it started.
//!
//! A replica may restart under the same id, and then holds nothing of its earlier state. So all
//! state that is kept about a replica (reservations, suspicions, slowdown, orders, stages of
//! running paths) is keyed by its instance, never by its id alone: state of an earlier instance is
//! never taken for that of the present one, and need not be found and dropped at the right moment.
//! Only the store's objects are keyed by id.

use std::{
    fmt::{Display, Formatter, Result},
    sync::Arc,
};

use crate::Millis;

/// Time by which a replica's start may lie ahead of this VM's time of day, in milliseconds. Clocks
/// of VMs differ by seconds, and jump by seconds. A start further ahead was not written by a
/// replica; if it were accepted, every true entry would belong to an earlier instance.
pub const MAX_CLOCK_SKEW: Millis = 60_000;

/// Number of listed starts from which most of them show that this VM's clock is wrong.
const MIN_STARTS: usize = 3;

/// Unix time in milliseconds before which a clock was never set: the start of 2020.
const EARLIEST_CLOCK: Millis = 1_577_836_800_000;

/// Time by which a start may lie ahead of most others if this VM's clock is wrong, in milliseconds: a
/// year.
const MAX_START_SPREAD: Millis = 366 * 86_400_000;

/// Bound on the starts of replicas that are believed, by this VM's clock and by the other starts.
///
/// A clock behind which most replicas started is wrong, as on a VM that came back without the time of
/// day. It must not make every entry look like another writer's.
#[derive(Clone, Copy, Debug)]
pub struct StartBound {
    latest: Millis,
}

impl StartBound {
    /// Returns the bound at the time of day `clock`, in Unix milliseconds. `starts` are those of the
    /// listed replicas; 0 counts as unknown.
    pub fn new(clock: Millis, starts: impl Iterator<Item = Millis>) -> Self {
        let by_clock = clock.saturating_add(MAX_CLOCK_SKEW);
        let mut starts: Vec<Millis> = starts.filter(|start| *start > 0).collect();
        let needed = if clock < EARLIEST_CLOCK { 1 } else { MIN_STARTS };
        let middle = starts.len().saturating_sub(1) / 2;
        let median = (starts.len() >= needed).then(|| *starts.select_nth_unstable(middle).1);
        let latest = match median {
            Some(median) if median > clock => median.saturating_add(MAX_START_SPREAD),
            _ => by_clock,
        };
        Self { latest }
    }

    /// Returns whether a start is possible.
    pub fn allows(self, instance: &ReplicaInstance) -> bool {
        instance.started_at <= self.latest
    }
}

/// An instance of a replica. Of two instances with one id, the one with the later start is the
/// present one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaInstance {
    id: Arc<str>,
    started_at: Millis,
}

impl ReplicaInstance {
    /// Creates an instance; `started_at` is the Unix time of its start in milliseconds, 0 if the
    /// replica reports none.
    pub fn new(id: &str, started_at: Millis) -> Self {
        Self { id: id.into(), started_at }
    }

    /// Returns the id under which it is listed.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the Unix time of its start in milliseconds; 0 if the replica reports none.
    pub fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Returns the instance with the same id that started at `started_at`.
    pub fn restarted_at(&self, started_at: Millis) -> Self {
        Self { id: self.id.clone(), started_at }
    }
}

impl Display for ReplicaInstance {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self.started_at {
            0 => formatter.write_str(&self.id),
            started_at => write!(formatter, "{}@{started_at}", self.id),
        }
    }
}
