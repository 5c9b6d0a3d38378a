//! Replicas that rejected a request and asked this VM to send nothing for a time.
//!
//! Such a backoff applies only to this VM: other relays may still send to the replica and are not
//! notified. Nothing is sent to the replica until the backoff ends. Then a single trial request
//! checks whether the replica accepts requests again, and the others wait for its response.
//! Otherwise all callers that wait for the same end would arrive at once at a replica that may
//! reject every one of them.
//!
//! A backoff is stored by the replica's id and survives a restart of the replica. A restarted
//! replica may not know what it asked for before, but whatever limits the traffic to it may still
//! apply. The trade-off: a replica that is healthy after a restart gets no requests for the rest of
//! the backoff. Worst case: a replica asks for a backoff of a day without need, and gets no
//! requests for a day.

use std::collections::HashMap;

use crate::{Millis, instance::ReplicaInstance};

/// Time that a trial request has to show whether a replica accepts requests again, in milliseconds:
/// four times what the start of a response usually takes. After that another trial may be sent.
pub const TRIAL_TIMEOUT: Millis = 250;

/// Time for which a backoff is kept after its end if no trial was sent, in milliseconds.
const RETENTION: Millis = 60_000;

#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: Millis,
    /// Time at which the latest trial request was sent.
    tried: Option<Millis>,
}

impl Backoff {
    fn remaining(&self, now: Millis) -> Option<Millis> {
        let trial_end = self.tried.map_or(0, |tried| tried + TRIAL_TIMEOUT);
        let end = self.until.max(trial_end);
        (now < end).then(|| end - now)
    }
}

/// Backoffs that replicas asked this VM for, by replica id.
#[derive(Clone, Debug, Default)]
pub struct BackoffTable {
    backoffs: HashMap<String, Backoff>,
}

impl BackoffTable {
    /// Records that a replica asked for a backoff of `duration` milliseconds. Of several backoffs
    /// the latest end counts.
    pub fn record(&mut self, instance: &ReplicaInstance, duration: Millis, now: Millis) {
        self.backoffs.retain(|_, backoff| now < backoff.until.saturating_add(RETENTION));
        let backoff = self.backoffs.entry(instance.id().to_owned()).or_default();
        backoff.until = backoff.until.max(now.saturating_add(duration));
        backoff.tried = None;
    }

    /// Records that a replica responded and did not reject the request. Ends its backoff if that
    /// was on trial.
    pub fn record_success(&mut self, instance: &ReplicaInstance, now: Millis) {
        // While the backoff lasts, a response can only be to a request sent before it, so it proves
        // nothing.
        let is_over = |backoff: &Backoff| backoff.until <= now && backoff.tried.is_some();
        if self.backoffs.get(instance.id()).is_some_and(is_over) {
            self.backoffs.remove(instance.id());
        }
    }

    /// Returns the time for which nothing may be sent to a replica, in milliseconds, or `None` if
    /// requests may be sent.
    pub fn remaining(&self, instance: &ReplicaInstance, now: Millis) -> Option<Millis> {
        self.backoffs.get(instance.id())?.remaining(now)
    }

    /// Starts sending a request to a replica, and returns whether it is the trial that the other
    /// requests wait for.
    ///
    /// `is_trial` is the result of an earlier call for the same request: a trial that is written
    /// again on another connection remains the trial. A request that was cleared to send before the
    /// backoff began is not one, so that two requests never try at once.
    ///
    /// # Errors
    ///
    /// If nothing may be sent to the replica, returns the time until it may, in milliseconds.
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
        if let Some(remaining) = backoff.remaining(now) {
            return Err(remaining);
        }
        backoff.tried = Some(now);
        Ok(true)
    }
}
