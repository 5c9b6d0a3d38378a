//! Runs of requests at replicas, and what is left of one that ended without a result.
//!
//! A crash ends all that ran on a replica, and says nothing of what ended it. So each run that is lost is written
//! down with what tells them apart: which request it was, how long it had run, and what had come of it. Whether it says
//! anything of its request decides the router's quarantine.

use std::{mem::replace, rc::Rc};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    instance::ReplicaInstance,
    path::PathStage,
    quarantine::{LostRun, RunProgress, SURVIVAL_TIME},
};

use crate::{
    counts::count,
    quarantine::{apply_change, record_result},
    request::CallerRequest,
    state::Relay,
};

/// A run of a request at the replicas of its path.
#[derive(Clone, Debug)]
pub struct RunTracker {
    instances: Vec<ReplicaInstance>,
    sent: Millis,
    progress: RunProgress,
    is_lost: bool,
    is_proven: bool,
}

impl RunTracker {
    /// Watches a run that is sent now to one replica, and whose answer comes as a whole.
    pub fn at_replica(instance: &ReplicaInstance) -> Self {
        Self::new(vec![instance.clone()], RunProgress::Unary)
    }

    /// Watches a stream that is sent now over a path.
    pub fn over_path(path: &[PathStage]) -> Self {
        let instances = path.iter().map(|part| part.instance.clone()).collect();
        Self::new(instances, RunProgress::Stream { begun: None, events: 0 })
    }

    fn new(instances: Vec<ReplicaInstance>, progress: RunProgress) -> Self {
        Self { instances, sent: now_millis(), progress, is_lost: false, is_proven: false }
    }

    /// Notes that the first replica began to run it.
    pub fn record_start(&mut self) {
        if let RunProgress::Stream { begun, .. } = &mut self.progress {
            *begun = begun.or(Some(now_millis()));
        }
    }

    /// Notes that something came of it.
    pub fn record_event(&mut self, relay: &Rc<Relay>, request: &CallerRequest) {
        let RunProgress::Stream { begun, events } = &mut self.progress else { return };
        *events += 1;
        let ran_for = begun.map_or(0, |begun| now_millis().saturating_sub(begun));
        if ran_for >= SURVIVAL_TIME && !replace(&mut self.is_proven, true) {
            record_result(relay, request);
        }
    }

    /// Notes that the run ended without a result, or that a replica of it is lost; once for each run.
    pub fn record_loss(&mut self, relay: &Rc<Relay>, request: &CallerRequest, why: &str) {
        if replace(&mut self.is_lost, true) {
            return;
        }
        let now = now_millis();
        count(&relay.counts.lost_runs);
        let (begun, events) = match self.progress {
            RunProgress::Unary => (None, None),
            RunProgress::Stream { begun, events } => (begun, Some(events)),
        };
        tracing::info!(
            event = "run-lost",
            request = request.headers.attempt_id,
            fingerprint = %request.fingerprint,
            first = self.instances.first().map(ReplicaInstance::to_string),
            parts = self.instances.len(),
            sent_ms = now - self.sent,
            ran_ms = begun.map(|begun| now - begun),
            events,
            sign = ?self.progress.evidence(now),
            why,
        );
        let run = LostRun { instances: &self.instances, sent: self.sent, progress: self.progress };
        let change = {
            let mut state = relay.state.borrow_mut();
            state.quarantine.record_lost(request.fingerprint, &run, now)
        };
        apply_change(relay, &change);
    }
}
