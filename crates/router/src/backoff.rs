//! Replicas that turned a request away and asked this VM to stay away for a time.
//!
//! What a replica asks is between it and this VM: others may still send there, and are not told. It stands under the
//! id of the replica, since a replica that starts again under its id may not know what it asked before, and whoever
//! counts what reaches it does.

use std::collections::HashMap;

use crate::{Millis, life::ReplicaLife};

/// Times until which replicas want no requests from this VM, by id.
#[derive(Clone, Debug, Default)]
pub struct BackoffTable {
    until: HashMap<String, Millis>,
}

impl BackoffTable {
    /// Notes that a replica asked for `asked` milliseconds without requests. Of several times the latest end counts.
    pub fn note(&mut self, life: &ReplicaLife, asked: Millis, now: Millis) {
        let end = now.saturating_add(asked);
        let until = self.until.entry(life.id().to_owned()).or_default();
        *until = end.max(*until);
    }

    /// Time for which a replica still wants no requests; nothing where it takes them.
    pub fn left(&self, life: &ReplicaLife, now: Millis) -> Option<Millis> {
        let until = *self.until.get(life.id())?;
        (now < until).then(|| until - now)
    }
}
