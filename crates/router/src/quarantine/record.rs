//! Lost runs and quarantine state of one request.

use super::{
    runs::{CrashRun, chain_weight},
    trials::TrialOwner,
};
use crate::{Millis, fingerprint::RequestFingerprint};

/// Weight of a chain of lost runs at which a request is quarantined: three pieces of strong
/// evidence. Any request may be present at one crash, and a threshold of two pieces would
/// quarantine requests that were merely present at crashes caused by others.
pub const QUARANTINE_WEIGHT: u32 = 6;

/// Maximum number of runs kept per request.
pub const MAX_RUNS: usize = 8;

/// Lost runs and quarantine state of one request, as exchanged between relays and with the
/// platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Remaining time of the quarantine, in milliseconds; `None` if the request is not quarantined.
    pub remaining: Option<Millis>,
    /// Lost runs of the request.
    pub runs: Vec<CrashRun>,
}

/// Lost runs and quarantine state of a request, as kept by this relay.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestRecord {
    /// Lost runs, in the order of their losses.
    pub(super) runs: Vec<CrashRun>,
    /// End of the quarantine.
    pub(super) quarantined_until: Option<Millis>,
    /// Number of trials since its begin that relays are known to have.
    pub(super) trials: usize,
    /// Who may make the next trial.
    pub(super) trial_owner: TrialOwner,
    /// How specific the request is in the latest run that this relay observed, see
    /// [`LostRun::depth`](super::LostRun).
    pub(super) depth: Option<usize>,
    /// Time until which the record is sent to other relays.
    pub(super) shared_until: Millis,
    /// Whether this relay observed the latest run itself.
    pub(super) is_local: bool,
    /// Weight that was last written to the platform's store.
    pub(super) stored_weight: u32,
    /// Time of the last change.
    pub(super) changed: Millis,
}

impl RequestRecord {
    pub(super) fn is_quarantined(&self, now: Millis) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Returns the weight of the lost runs, or the maximum if the request is quarantined.
    pub(super) fn weight(&self, now: Millis) -> u32 {
        match self.is_quarantined(now) {
            true => u32::MAX,
            false => chain_weight(&self.runs),
        }
    }

    /// Adds a run and returns whether it is new. Of two reports of the same crash the first one
    /// received is kept.
    pub(super) fn add(&mut self, run: CrashRun) -> bool {
        if self.runs.iter().any(|known| known.instance == run.instance) {
            return false;
        }
        self.runs.push(run);
        self.runs.sort_by_key(|run| run.lost);
        if self.runs.len() > MAX_RUNS {
            self.runs.remove(0);
        }
        true
    }

    /// Drops the oldest runs until their weight is below [`QUARANTINE_WEIGHT`].
    pub(super) fn drop_oldest(&mut self) {
        while chain_weight(&self.runs) >= QUARANTINE_WEIGHT {
            self.runs.remove(0);
        }
    }

    pub(super) fn report(&self, fingerprint: RequestFingerprint, now: Millis) -> CrashReport {
        let remaining = self
            .quarantined_until
            .and_then(|until| until.checked_sub(now))
            .filter(|remaining| *remaining > 0);
        CrashReport { fingerprint, remaining, runs: self.runs.clone() }
    }
}
