//! What is known of one request under which replicas ended.

use super::runs::{CrashRun, chain_weight};
use crate::{Millis, fingerprint::RequestFingerprint};

/// Weight of the lost runs, one after the other, at which a request is sent nowhere: three strong signs. One crash
/// happens beside any request, and two stop requests that only met crashes of others.
pub const QUARANTINE_WEIGHT: u32 = 6;

/// Runs kept of one request.
pub const MAX_RUNS: usize = 8;

/// What is told of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Time for which it still is sent nowhere; nothing where it is not stopped.
    pub remaining: Option<Millis>,
    /// Its lost runs.
    pub runs: Vec<CrashRun>,
}

/// What is known of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestRecord {
    pub(super) runs: Vec<CrashRun>,
    /// Until when it is sent nowhere.
    pub(super) until: Option<Millis>,
    /// Until when what is known of it is told to others.
    pub(super) told_until: Millis,
    /// Whether this entry saw the latest run itself.
    pub(super) is_own: bool,
    /// Weight up to which the platform's store has it.
    pub(super) stored: u32,
    /// When something was last learnt of it.
    pub(super) touched: Millis,
}

impl RequestRecord {
    pub(super) fn is_stopped(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Weight of its runs; above all others once it is sent nowhere.
    pub(super) fn weight(&self, now: Millis) -> u32 {
        match self.is_stopped(now) {
            true => u32::MAX,
            false => chain_weight(&self.runs),
        }
    }

    /// Adds a run; tells whether it is new. Of two words on one crash the earlier one holds.
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

    pub(super) fn forgive(&mut self) {
        while chain_weight(&self.runs) >= QUARANTINE_WEIGHT {
            self.runs.remove(0);
        }
    }

    pub(super) fn report(&self, fingerprint: RequestFingerprint, now: Millis) -> CrashReport {
        let left = self.until.and_then(|until| until.checked_sub(now)).filter(|left| *left > 0);
        CrashReport { fingerprint, remaining: left, runs: self.runs.clone() }
    }
}
