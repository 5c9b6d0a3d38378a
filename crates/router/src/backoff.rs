//! Replicas that turned a request away and asked this VM to stay away for a time.
//!
//! What a replica asks is between it and this VM: others may still send there, and are not told. Nothing is sent to it
//! before the time is over. Then one request finds out whether it takes requests again, and the others wait for the
//! answer: otherwise all callers that wait for the same end come at once to a replica that turns each of them away.
//!
//! The time stands under the id of a replica, whatever life: the one that starts again may not know what it asked
//! before, and whoever counts what reaches it may. The trade-off is a replica that starts again well, and is left alone
//! for the rest of the time. Worst case: a replica asks for a day without need, and gets it.

use std::collections::HashMap;

use crate::{Millis, instance::ReplicaInstance};

/// Time that one request has to find out whether a replica takes requests again, in milliseconds: four times what the
/// beginning of an answer usually takes. Another one tries after that.
pub const TRIAL_TIMEOUT: Millis = 250;

/// Time after the end for which a replica that nothing was sent to is remembered, in milliseconds.
const FORGET: Millis = 60_000;

#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: Millis,
    /// When a request was sent to find out whether it is over.
    tried: Option<Millis>,
}

impl Backoff {
    fn left(&self, now: Millis) -> Option<Millis> {
        let trial_end = self.tried.map_or(0, |tried| tried + TRIAL_TIMEOUT);
        let end = self.until.max(trial_end);
        (now < end).then(|| end - now)
    }
}

/// Replicas that asked this VM to stay away, by id.
#[derive(Clone, Debug, Default)]
pub struct BackoffTable {
    backoffs: HashMap<String, Backoff>,
}

impl BackoffTable {
    /// Notes that a replica asked for `asked` milliseconds without requests. Of several times the latest end counts.
    pub fn record(&mut self, instance: &ReplicaInstance, asked: Millis, now: Millis) {
        self.backoffs.retain(|_, backoff| now < backoff.until.saturating_add(FORGET));
        let backoff = self.backoffs.entry(instance.id().to_owned()).or_default();
        backoff.until = backoff.until.max(now.saturating_add(asked));
        backoff.tried = None;
    }

    /// Notes that a replica answered, and did not turn the request away.
    pub fn record_success(&mut self, instance: &ReplicaInstance, now: Millis) {
        // An answer to an earlier request says nothing of what was asked since.
        let is_over = |backoff: &Backoff| backoff.until <= now && backoff.tried.is_some();
        if self.backoffs.get(instance.id()).is_some_and(is_over) {
            self.backoffs.remove(instance.id());
        }
    }

    /// Time for which nothing is sent to a replica; nothing where it may be sent to.
    pub fn remaining(&self, instance: &ReplicaInstance, now: Millis) -> Option<Millis> {
        self.backoffs.get(instance.id())?.left(now)
    }

    /// Lets a request go to a replica at this moment; tells whether it is the one that finds out whether the time is over, for
    /// which the others wait. One that was told so already, and is only written on another connection, says so; one that
    /// went before anything was asked finds out nothing, or two would try.
    ///
    /// # Errors
    ///
    /// Gives the time for which nothing is sent there.
    pub fn begin_send(
        &mut self,
        instance: &ReplicaInstance,
        is_trial: bool,
        now: Millis,
    ) -> Result<bool, Millis> {
        let Some(backoff) = self.backoffs.get_mut(instance.id()) else { return Ok(false) };
        if is_trial && backoff.until <= now {
            return Ok(true);
        }
        if let Some(left) = backoff.left(now) {
            return Err(left);
        }
        backoff.tried = Some(now);
        Ok(true)
    }
}
