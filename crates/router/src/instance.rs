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

    /// Returns whether its start is possible at the time of day `clock`, in Unix milliseconds.
    pub fn is_plausible(&self, clock: Millis) -> bool {
        self.started_at <= clock.saturating_add(MAX_CLOCK_SKEW)
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
