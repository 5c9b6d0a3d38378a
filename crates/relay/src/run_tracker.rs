//! Tracks the run of each request at the replicas of its path, for quarantine.
//!
//! A crash ends every request that runs on a replica and does not show which of them caused it. So
//! each lost run is recorded with the request's fingerprint, how long it had run and whether it had
//! produced events. The router's quarantine decides whether that is evidence against the request.

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
    reachability::check_heard_suspects,
    request::CallerRequest,
    state::Relay,
};

/// One run of a request, from its send until it completes or is lost.
#[derive(Clone, Debug)]
pub struct RunTracker {
    instances: Vec<ReplicaInstance>,
    sent_at: Millis,
    progress: RunProgress,
    is_lost: bool,
    has_survived: bool,
}

impl RunTracker {
    /// Tracks a run that is sent now to one replica and whose response arrives as a whole.
    pub fn at_replica(instance: &ReplicaInstance) -> Self {
        Self::new(vec![instance.clone()], RunProgress::Unary)
    }

    /// Tracks a stream that is sent now over a path.
    pub fn over_path(path: &[PathStage]) -> Self {
        let instances = path.iter().map(|stage| stage.instance.clone()).collect();
        Self::new(instances, RunProgress::Stream { begun: None, events: 0 })
    }

    fn new(instances: Vec<ReplicaInstance>, progress: RunProgress) -> Self {
        Self { instances, sent_at: now_millis(), progress, is_lost: false, has_survived: false }
    }

    /// Records that the first replica has started to run the stream.
    pub fn record_start(&mut self) {
        if let RunProgress::Stream { begun, .. } = &mut self.progress {
            *begun = begun.or(Some(now_millis()));
        }
    }

    /// Records that the stream produced events. Once it has run for [`SURVIVAL_TIME`], the request
    /// counts as one that had a result.
    pub fn record_event(&mut self, relay: &Rc<Relay>, request: &CallerRequest) {
        let RunProgress::Stream { begun, events } = &mut self.progress else { return };
        *events += 1;
        let ran_for = begun.map_or(0, |begun| now_millis().saturating_sub(begun));
        if ran_for >= SURVIVAL_TIME && !replace(&mut self.has_survived, true) {
            record_result(relay, request);
        }
    }

    /// Records that the run ended without a result, or that one of its replicas is lost. Only the
    /// first call for a run has an effect.
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
            shared_parts = ?request.shared_parts,
            first = self.instances.first().map(ReplicaInstance::to_string),
            parts = self.instances.len(),
            sent_ms = now - self.sent_at,
            ran_ms = begun.map(|begun| now - begun),
            events,
            sign = ?self.progress.evidence(now),
            why,
        );
        // The most specific first: it must not weigh less than those that it explains.
        let suspects: Vec<_> = request.suspects().enumerate().collect();
        for (depth, suspect) in suspects.into_iter().rev() {
            let run = LostRun {
                instances: &self.instances,
                sent: self.sent_at,
                progress: self.progress,
                depth,
            };
            let change = relay.state.borrow_mut().quarantine.record_lost(*suspect, &run, now);
            apply_change(relay, &change);
        }
        check_heard_suspects(relay, &self.instances);
    }
}
