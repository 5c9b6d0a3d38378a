//! Runs of requests at replicas, and what is left of one that ended without a result.
//!
//! A crash ends all that ran on a replica, and says nothing of what ended it. So each run that is lost is written
//! down with what tells them apart: which request it was, how long it had run, and what had come of it.

use std::mem::replace;

use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, chain::PathPart, life::ReplicaLife};

use crate::{counts::count, request::CallerRequest, state::Relay};

/// A run of a request at the replicas of its path.
#[derive(Clone, Debug)]
pub struct RunWatch {
    lives: Vec<ReplicaLife>,
    sent: Millis,
    begun: Option<Millis>,
    events: u64,
    is_lost: bool,
}

impl RunWatch {
    /// Watches a run that is sent now to the replicas of a path, or to one.
    pub fn new(lives: Vec<ReplicaLife>) -> Self {
        Self { lives, sent: now_millis(), begun: None, events: 0, is_lost: false }
    }

    /// Watches a run over a path.
    pub fn over(path: &[PathPart]) -> Self {
        Self::new(path.iter().map(|part| part.life.clone()).collect())
    }

    /// Notes that the first replica began to run it.
    pub fn note_begun(&mut self) {
        self.begun = self.begun.or(Some(now_millis()));
    }

    /// Notes that something came of it.
    pub fn note_events(&mut self) {
        self.events += 1;
    }

    /// Writes the line of a run that ended without a result, or of which a replica is lost; once for each run.
    pub fn note_lost(&mut self, relay: &Relay, request: &CallerRequest, why: &str) {
        if replace(&mut self.is_lost, true) {
            return;
        }
        let now = now_millis();
        count(&relay.counts.lost_runs);
        tracing::info!(
            event = "run-lost",
            request = request.marks.attempt_id,
            fingerprint = %request.fingerprint,
            first = self.lives.first().map(ReplicaLife::to_string),
            parts = self.lives.len(),
            sent_ms = now - self.sent,
            ran_ms = self.begun.map(|begun| now - begun),
            events = self.events,
            why,
        );
    }
}
