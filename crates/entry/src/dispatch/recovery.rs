//! What happens to a request whose stage is lost.
//!
//! - A request that may be repeated gets a replacement for just that stage: the stage before it plays
//!   its log, the others run nothing twice. For the first stage the entry itself holds the log: the
//!   prompt and the delivered tokens.
//! - Where no replica holds the same layers, or the log was cut, it begins anew on a fresh path with
//!   the delivered tokens as a prefix, at the cost of one retry.
//! - A request that must not be repeated ends as unknown, unless its agent comes back and says that
//!   it never ran it.

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

/// Times that the last steps of a stalled request are asked for again.
const MOST_NUDGES: u32 = 3;

impl DispatchState {
    /// Marks a stage as lost and tries to replace it at once.
    pub(super) fn lose_stage(
        &mut self,
        now: Millis,
        id: RequestId,
        stage: usize,
        once: bool,
    ) -> Vec<DispatchAction> {
        if once {
            return self.end(now, id, Outcome::Unknown(UnknownReason::StageLost), true);
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

    /// Tries again to replace what is missing.
    pub(super) fn repair_missing(&mut self, now: Millis) -> Vec<DispatchAction> {
        let lacking = self.requests.iter();
        let lacking =
            lacking.filter(|(_, request)| request.run().is_some_and(|run| !run.missing.is_empty()));
        let mut ids: Vec<RequestId> = lacking.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids.into_iter().flat_map(|id| self.replace_missing(now, id)).collect()
    }

    /// Replaces all missing stages together, or none.
    fn replace_missing(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some((target, run)) = self.running(id) else {
            return Vec::new();
        };
        let Some(pipeline) = run.pipeline.clone() else {
            return Vec::new();
        };
        let mut not = run.processes.clone();
        let mut replacements = BTreeMap::new();
        for stage in &run.missing {
            let place = &pipeline.stages()[*stage];
            let Some(process) = self.choose_replacement(now, &target, place, &not) else {
                return self.restart_if_hopeless(now, id, place);
            };
            not.push(process.clone());
            replacements.insert(*stage, process);
        }
        self.put_replacements(now, id, replacements)
    }

    fn running(&self, id: RequestId) -> Option<(String, super::request::RequestRun)> {
        let request = self.requests.get(&id)?;
        Some((request.submission.target.clone(), request.run()?.clone()))
    }

    fn put_replacements(
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
            let place = RouteStage {
                address: view.address.clone(),
                process: process.clone(),
                layers,
                joined_attempt: attempt,
            };
            // It was chosen for having these layers.
            let _fits = pipeline.replace(*stage, place);
            run.processes[*stage].clone_from(process);
        }
        run.missing.clear();
        self.counts.stages_replaced += replacements.len() as u64;
        let fresh = replacements.into_keys().collect();
        self.send_attempt(id, &fresh)
    }

    /// Tells all stages of the present attempt; a replaced first stage gets a start instead.
    fn send_attempt(&self, id: RequestId, fresh: &BTreeSet<usize>) -> Vec<DispatchAction> {
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

    /// A stage lacks positions: the one before it plays its whole log to it again.
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
        request.last_progress = now;
        let Some(run) = request.run_mut() else {
            return Vec::new();
        };
        if let Some(pipeline) = &mut run.pipeline {
            let mut place = pipeline.stages()[stage].clone();
            place.joined_attempt = attempt;
            // The place is the stage's own, so it fits.
            let _fits = pipeline.replace(stage, place);
        }
        let fresh = if stage == 0 { BTreeSet::from([0]) } else { BTreeSet::new() };
        self.send_attempt(id, &fresh)
    }

    /// Asks for the last steps again, all the way round; nothing runs twice.
    fn nudge(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.attempt += 1;
        request.last_progress = now;
        if let Some(run) = request.run_mut() {
            run.nudges += 1;
        }
        self.counts.nudges += 1;
        self.send_attempt(id, &BTreeSet::from([0]))
    }

    fn restart_if_hopeless(
        &mut self,
        now: Millis,
        id: RequestId,
        place: &RouteStage,
    ) -> Vec<DispatchAction> {
        let holds = |view: &&ReplicaView| {
            view.connected && !view.draining && view.layers() == Some(place.layers)
        };
        if self.replicas.values().any(|view| holds(&view)) {
            // One is there, and busy: its credits come with its next offer.
            return Vec::new();
        }
        self.restart(now, id)
    }

    /// Begins anew with the delivered tokens as a prefix, where the budget allows it.
    pub(super) fn restart(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if request.submission.once {
            return self.end(now, id, Outcome::Unknown(UnknownReason::StageLost), true);
        }
        let target = request.submission.target.clone();
        let Some(layers) = self.config.layers(&target) else {
            return Vec::new();
        };
        if !self.has_free_path(&target, layers) {
            return Vec::new();
        }
        if !self.budget.try_spend() {
            return self.end(now, id, Outcome::Unknown(UnknownReason::RetryBudget), true);
        }
        let mut actions = match self.requests.remove(&id) {
            Some(request) => {
                let freed = self.free_stages(id, &request, true);
                self.requests.insert(id, request);
                freed
            }
            None => Vec::new(),
        };
        actions.extend(self.redispatch(now, id).unwrap_or_default());
        actions
    }

    /// Looks after requests that make no progress.
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
        let is_stalled = request.last_progress + self.config.stall_timeout < now;
        let is_overdue = is_call && request.last_progress + self.config.call_timeout < now;
        match &request.phase {
            RequestPhase::Settling(run) if run.until < now => {
                self.end(now, id, Outcome::Unknown(UnknownReason::StageLost), false)
            }
            RequestPhase::Running(run) if !run.missing.is_empty() => {
                if run.missing_since + self.config.replacement_timeout < now {
                    return self.end(now, id, Outcome::Unknown(UnknownReason::NoReplacement), true);
                }
                Vec::new()
            }
            RequestPhase::Running(_) if is_overdue => {
                self.end(now, id, Outcome::Unknown(UnknownReason::Stalled), true)
            }
            RequestPhase::Running(run) if is_stalled && !is_call => match run.nudges {
                0..MOST_NUDGES => self.nudge(now, id),
                _ => self.end(now, id, Outcome::Unknown(UnknownReason::Stalled), true),
            },
            _ => Vec::new(),
        }
    }

    /// Ejects replicas that stand out among their like.
    pub(super) fn judge_health(&mut self, now: Millis) {
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
