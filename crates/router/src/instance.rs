//! One life of a replica: the id under which it is listed, and when it started.
//!
//! A replica may start again under the id that it had, and then holds and knows nothing of before. So
//! whatever is kept of a replica (room promised, suspicions, pace, orders, the parts of running paths)
//! stands under its life, never under its id alone: nothing of an earlier life is taken for the present one,
//! and nothing has to be found and dropped at the right moment. Only the store's objects go by id.

use std::{
    fmt::{Display, Formatter, Result},
    sync::Arc,
};

use crate::Millis;

/// Time by which a replica's start may lie ahead of this VM's time of day, in milliseconds: times of day differ by
/// seconds between VMs, and jump by seconds. What lies further ahead was not written by a replica; taken for
/// its start, it would make every true entry one of an earlier life.
pub const MAX_CLOCK_SKEW: Millis = 60_000;

/// One life of a replica. Of two lives of one id, the one with the later start is the present one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaInstance {
    id: Arc<str>,
    born: Millis,
}

impl ReplicaInstance {
    /// Makes one; `born` is the Unix time of its start in milliseconds, 0 where the replica tells none.
    pub fn new(id: &str, born: Millis) -> Self {
        Self { id: id.into(), born }
    }

    /// Id under which it is listed.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Unix time of its start in milliseconds; 0 where it tells none.
    pub fn started_at(&self) -> Millis {
        self.born
    }

    /// The same id's life that began at `born`.
    pub fn restarted_at(&self, born: Millis) -> Self {
        Self { id: self.id.clone(), born }
    }

    /// Whether its start is possible, by the time of day `clock` in Unix milliseconds.
    pub fn is_plausible(&self, clock: Millis) -> bool {
        self.born <= clock.saturating_add(MAX_CLOCK_SKEW)
    }
}

impl Display for ReplicaInstance {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self.born {
            0 => formatter.write_str(&self.id),
            born => write!(formatter, "{}@{born}", self.id),
        }
    }
}
