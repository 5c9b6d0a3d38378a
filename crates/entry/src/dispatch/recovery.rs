//! Recovery of requests that lost a stage or make no progress.
//!
//! - If a request may be repeated, only the lost stage is replaced: the stage before it replays its
//!   log to the replacement, and the other stages compute nothing twice. If the first stage is
//!   lost, the entry replays the prompt and the delivered tokens.
//! - If no replica holds the same layers, or the log was truncated, the request restarts on a new
//!   path with the delivered tokens as a prefix. This costs one retry from the budget.
//! - A request that must not be repeated ends as unknown, unless the agent of its first stage
//!   returns and reports that it never ran the request (see [`loss`](super::loss)).
//! - If a completion makes no progress, its stages are asked to resend their last output, since a
//!   message may have been lost. If that does not help, it ends as unknown once its deadline has
//!   passed.

use std::collections::{BTreeMap, BTreeSet};

use switchfold_core::{
    Millis,
    ejection::{ReplicaHealth, eject_outliers},
    id::RequestId,
    route::RouteStage,
};
use switchfold_proto::link::{self, message::Body};

use super::{
    DispatchAction, DispatchState, ReplicaView,
    request::RequestPhase,
    submission::{Outcome, UnknownReason},
};

/// Number of times that the stages of a stalled request are asked to resend their last output.
const MAX_RESEND_REQUESTS: u32 = 3;

impl DispatchState {
    /// Marks a stage of a request as lost and tries to replace it at once. A request with `once`
    /// set ends as unknown instead.
    pub(super) fn mark_stage_lost(
        &mut self,
        now: Millis,
        id: RequestId,
        stage: usize,
        once: bool,
    ) -> Vec<DispatchAction> {
        if once {
            return self.finish(now, id, Outcome::Unknown(UnknownReason::StageLost), true);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let attempt = request.attempt;
        let Some(run) = request.run_mut() else {
            return Vec::new();
        };
        if !run.missing.insert(stage) {
            return Vec::new();
        }
        if run.missing.len() == 1 {
            run.missing_since = now;
        }
        let process = run.processes[stage].clone();
        let mut actions = Vec::new();
        if let Some(view) = self.replicas.get_mut(&process)
            && view.connected
        {
            view.return_credit();
            let release = link::Release { request: Some(id.into()), cancelled: true, attempt };
            actions.push(DispatchAction::send(&process, Body::Release(release)));
        }
        actions.extend(self.replace_missing(now, id));
        actions
    }

    /// Tries again to replace the missing stages of all requests.
    pub(super) fn retry_replacements(&mut self, now: Millis) -> Vec<DispatchAction> {
        let incomplete = self.requests.iter();
        let incomplete = incomplete
            .filter(|(_, request)| request.run().is_some_and(|run| !run.missing.is_empty()));
        let mut ids: Vec<RequestId> = incomplete.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids.into_iter().flat_map(|id| self.replace_missing(now, id)).collect()
    }

    /// Replaces all missing stages of a request, or none of them.
    fn replace_missing(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some((target, run)) = self.target_and_run(id) else {
            return Vec::new();
        };
        let Some(pipeline) = run.pipeline.clone() else {
            return Vec::new();
        };
        let mut excluded = run.processes.clone();
        let mut replacements = BTreeMap::new();
        for stage in &run.missing {
            let route_stage = &pipeline.stages()[*stage];
            let Some(process) = self.choose_replacement(now, &target, route_stage, &excluded)
            else {
                return self.restart_unless_replaceable(now, id, route_stage);
            };
            excluded.push(process.clone());
            replacements.insert(*stage, process);
        }
        self.apply_replacements(now, id, replacements)
    }

    /// Returns the target and the stages of a running request.
    fn target_and_run(&self, id: RequestId) -> Option<(String, super::request::RequestRun)> {
        let request = self.requests.get(&id)?;
        Some((request.submission.target.clone(), request.run()?.clone()))
    }

    /// Begins a new attempt in which `replacements`, by stage index, take over the missing stages.
    fn apply_replacements(
        &mut self,
        now: Millis,
        id: RequestId,
        replacements: BTreeMap<usize, String>,
    ) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.attempt += 1;
        let attempt = request.attempt;
        let Some(run) = request.run_mut() else {
            return Vec::new();
        };
        let Some(pipeline) = &mut run.pipeline else {
            return Vec::new();
        };
        for (stage, process) in &replacements {
            let Some(view) = self.replicas.get_mut(process) else {
                continue;
            };
            view.use_credit(now);
            let layers = pipeline.stages()[*stage].layers;
            let route_stage = RouteStage {
                address: view.address.clone(),
                process: process.clone(),
                layers,
                joined_attempt: attempt,
            };
            // The replacement was chosen to hold these layers, so this cannot fail.
            let _same_layers = pipeline.replace(*stage, route_stage);
            run.processes[*stage].clone_from(process);
        }
        run.missing.clear();
        self.counts.stages_replaced += replacements.len() as u64;
        let fresh = replacements.into_keys().collect();
        self.send_reroutes(id, &fresh)
    }

    /// Sends the route of the current attempt to all stages but the `fresh` ones, last stage first.
    /// Fresh stages receive the route with their first step; a fresh first stage is sent a start.
    fn send_reroutes(&self, id: RequestId, fresh: &BTreeSet<usize>) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let (Some(run), Some(route)) = (request.run(), request.route(&self.config)) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for (stage, process) in run.processes.iter().enumerate().rev() {
            let body = if fresh.contains(&stage) {
                (stage == 0).then(|| request.start(&self.config).map(Body::Start)).flatten()
            } else {
                let route = Some(route.clone());
                Some(Body::Reroute(link::Reroute {
                    request: Some(id.into()),
                    attempt: request.attempt,
                    route,
                }))
            };
            actions.extend(body.map(|body| DispatchAction::send(process, body)));
        }
        actions
    }

    /// Begins a new attempt in which the stage before `stage` replays its whole log, since `stage`
    /// misses positions.
    pub(super) fn fill_gap(
        &mut self,
        now: Millis,
        id: RequestId,
        stage: usize,
    ) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.attempt += 1;
        let attempt = request.attempt;
        request.record_progress(now);
        let Some(run) = request.run_mut() else {
            return Vec::new();
        };
        if let Some(pipeline) = &mut run.pipeline {
            let mut route_stage = pipeline.stages()[stage].clone();
            route_stage.joined_attempt = attempt;
            // The stage keeps its layers, so this cannot fail.
            let _same_layers = pipeline.replace(stage, route_stage);
        }
        let fresh = if stage == 0 { BTreeSet::from([0]) } else { BTreeSet::new() };
        self.send_reroutes(id, &fresh)
    }

    /// Begins a new attempt in which each stage resends its last output along the whole route. The
    /// stages' step gates ensure that nothing runs twice.
    fn request_resend(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.attempt += 1;
        request.record_progress(now);
        if let Some(run) = request.run_mut() {
            run.resend_requests += 1;
        }
        self.counts.resend_requests += 1;
        self.send_reroutes(id, &BTreeSet::from([0]))
    }

    /// Restarts a request unless some replica could replace `route_stage` later.
    fn restart_unless_replaceable(
        &mut self,
        now: Millis,
        id: RequestId,
        route_stage: &RouteStage,
    ) -> Vec<DispatchAction> {
        let can_replace = |view: &&ReplicaView| {
            view.connected && !view.draining && view.layers() == Some(route_stage.layers)
        };
        if self.replicas.values().any(|view| can_replace(&view)) {
            // All such replicas are busy. Their next reports may grant slots.
            return Vec::new();
        }
        self.restart(now, id)
    }

    /// Restarts a request on a new path, with the delivered tokens as a prefix. Ends it as unknown
    /// if it must not be repeated or the retry budget is used up. Does nothing while no path is
    /// free.
    pub(super) fn restart(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if request.submission.once {
            return self.finish(now, id, Outcome::Unknown(UnknownReason::StageLost), true);
        }
        let target = request.submission.target.clone();
        let Some(layers) = self.config.layers(&target) else {
            return Vec::new();
        };
        if !self.has_free_path(&target, layers) {
            return Vec::new();
        }
        if !self.budget.try_spend() {
            return self.finish(now, id, Outcome::Unknown(UnknownReason::RetryBudget), true);
        }
        let mut actions = match self.requests.remove(&id) {
            Some(request) => {
                let released = self.release_stages(id, &request, true);
                self.requests.insert(id, request);
                released
            }
            None => Vec::new(),
        };
        actions.extend(self.redispatch(now, id).unwrap_or_default());
        actions
    }

    /// Checks the timeouts of all requests that were sent out.
    pub(super) fn tick_requests(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().flat_map(|id| self.tick_request(now, id)).collect()
    }

    fn tick_request(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let is_call = request.submission.is_call();
        let is_stalled =
            request.last_progress + request.silent_time + self.config.stall_timeout < now;
        let is_overdue = is_call && request.last_progress + self.config.call_timeout < now;
        match &request.phase {
            RequestPhase::Voiding(pending) if pending.deadline < now => {
                self.finish(now, id, Outcome::Unknown(UnknownReason::StageLost), false)
            }
            RequestPhase::Running(run) if !run.missing.is_empty() => {
                if run.missing_since + self.config.replacement_timeout < now {
                    return self.finish(
                        now,
                        id,
                        Outcome::Unknown(UnknownReason::NoReplacement),
                        true,
                    );
                }
                Vec::new()
            }
            RequestPhase::Running(_) if is_overdue => {
                self.finish(now, id, Outcome::Unknown(UnknownReason::Stalled), true)
            }
            RequestPhase::Running(run) if is_stalled && !is_call => match run.resend_requests {
                0..MAX_RESEND_REQUESTS => self.request_resend(now, id),
                // Silence alone does not show that the stages are lost.
                _ if now <= request.submission.deadline => Vec::new(),
                _ => self.finish(now, id, Outcome::Unknown(UnknownReason::Stalled), true),
            },
            _ => Vec::new(),
        }
    }

    /// Ejects the replicas that are outliers among the replicas with the same target and first
    /// layer.
    pub(super) fn update_ejections(&mut self, now: Millis) {
        let mut groups: BTreeMap<(String, Option<u32>), Vec<&mut ReplicaHealth>> = BTreeMap::new();
        for view in self.replicas.values_mut().filter(|view| view.connected) {
            let group = (view.target.clone(), view.layers().map(|layers| layers.first()));
            groups.entry(group).or_default().push(&mut view.health);
        }
        for group in groups.values_mut() {
            let ejected = eject_outliers(group, &self.config.ejection, now);
            self.counts.ejections += ejected.len() as u64;
        }
    }
}
