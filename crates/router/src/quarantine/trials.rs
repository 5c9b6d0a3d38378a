//! Trials of quarantined requests.
//!
//! A quarantined request is sent nowhere, so it could have no result that clears it, even if its
//! crashes had other causes. Therefore one relay may send it once after each of [`TRIAL_DELAYS`]:
//! the one that creates the trial's object in the platform's store. Another crash leaves the request
//! quarantined.

use super::{QUARANTINE_TIME, QuarantineTable};
use crate::{Millis, fingerprint::RequestFingerprint};

/// Times from the begin of a quarantine to each trial, in milliseconds. Together with the sends of
/// relays that have not yet learned of the quarantine, a request that crashes replicas must not be
/// sent more than three times.
pub const TRIAL_DELAYS: [Millis; 2] = [8_000, 60_000];

/// Who may make the next trial of a quarantined request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum TrialOwner {
    /// Not known.
    #[default]
    Unknown,
    /// This relay asks the store.
    Asking,
    /// This relay.
    Own,
}

impl QuarantineTable {
    /// Returns the number of the trial that this relay should ask the store for, or `None` if none
    /// is due or this relay has already asked.
    pub fn due_trial(&self, fingerprint: &RequestFingerprint, now: Millis) -> Option<usize> {
        let record = self.records.get(fingerprint)?;
        let until = record.quarantined_until.filter(|until| now < *until)?;
        let delay = TRIAL_DELAYS.get(record.trials)?;
        let is_due = until - now <= QUARANTINE_TIME - delay;
        (is_due && record.trial_owner == TrialOwner::Unknown).then_some(record.trials)
    }

    /// Records that this relay asks the store for a trial.
    pub fn record_trial_request(&mut self, fingerprint: &RequestFingerprint) {
        self.set_trial_owner(&[*fingerprint], TrialOwner::Asking);
    }

    /// Records that the store could not be asked.
    pub fn record_trial_failure(&mut self, fingerprint: &RequestFingerprint) {
        self.set_trial_owner(&[*fingerprint], TrialOwner::Unknown);
    }

    /// Records that a relay has a trial; `is_own` says whether it is this one.
    pub fn record_trial(&mut self, fingerprint: &RequestFingerprint, number: usize, is_own: bool) {
        let Some(record) = self.records.get_mut(fingerprint) else { return };
        // A watch may report the object of this relay's own trial before the store's response.
        if is_own {
            record.trial_owner = TrialOwner::Own;
        } else if number >= record.trials {
            record.trial_owner = TrialOwner::Unknown;
        }
        record.trials = record.trials.max(number + 1);
    }

    /// Takes the trials of those of these requests that are quarantined, if this relay has all of
    /// them, and returns these requests.
    pub fn take_trials<'a>(
        &mut self,
        fingerprints: impl Iterator<Item = &'a RequestFingerprint>,
        now: Millis,
    ) -> Option<Vec<RequestFingerprint>> {
        let is_quarantined = |fingerprint: &&RequestFingerprint| {
            self.records.get(fingerprint).is_some_and(|record| record.is_quarantined(now))
        };
        let quarantined: Vec<_> = fingerprints.filter(is_quarantined).copied().collect();
        let owner = |fingerprint| self.records[fingerprint].trial_owner;
        if quarantined.iter().any(|fingerprint| owner(fingerprint) != TrialOwner::Own) {
            return None;
        }
        self.set_trial_owner(&quarantined, TrialOwner::Unknown);
        Some(quarantined)
    }

    /// Returns the trials of requests that were not sent.
    pub fn return_trials(&mut self, fingerprints: &[RequestFingerprint]) {
        self.set_trial_owner(fingerprints, TrialOwner::Own);
    }

    fn set_trial_owner(&mut self, fingerprints: &[RequestFingerprint], owner: TrialOwner) {
        for fingerprint in fingerprints {
            if let Some(record) = self.records.get_mut(fingerprint) {
                record.trial_owner = owner;
            }
        }
    }
}
