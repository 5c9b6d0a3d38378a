//! Scheduling: which request is dispatched next, and over which replicas.

use std::collections::BTreeSet;

use switchfold_core::{
    Millis,
    flow::{FlowReplica, flow_bound},
    id::RequestId,
    path::{PathCandidate, choose_replica},
    route::{PipelineRoute, RouteStage},
};
use switchfold_proto::link::{self, message::Body};

use super::{
    DispatchAction, DispatchState, Observation, ObservationKind,
    replica::{ReplicaRole, ReplicaView},
    request::{RequestPhase, RequestRun},
    submission::Work,
};

/// Replicas chosen for a request.
struct ChosenPath {
    /// Process names of the agents, by stage; a single one for a service call.
    processes: Vec<String>,
    /// Route through the stages of a model; `None` for a service call.
    pipeline: Option<PipelineRoute>,
}

impl DispatchState {
    /// Dispatches as much as there are credits for: first replacements of lost stages, then queued
    /// requests.
    pub(super) fn schedule(&mut self, now: Millis) -> Vec<DispatchAction> {
        self.refresh_weights();
        let mut actions = self.retry_replacements(now);
        let targets: Vec<String> = self.targets.keys().cloned().collect();
        for target in targets {
            actions.extend(self.schedule_target(now, &target));
        }
        actions
    }

    fn schedule_target(&mut self, now: Millis, target: &str) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        while self.targets.get(target).is_some_and(|target_queue| !target_queue.queue.is_empty()) {
            let Some(path) = self.choose_path(now, target) else {
                break;
            };
            let Some(target_queue) = self.targets.get_mut(target) else {
                break;
            };
            let Some(entry) = target_queue.queue.pop() else {
                break;
            };
            target_queue.rate.record(now, 1);
            actions.extend(self.dispatch(now, entry.id, path));
        }
        actions
    }

    fn choose_path(&mut self, now: Millis, target: &str) -> Option<ChosenPath> {
        match self.config.layers(target) {
            Some(layers) => self.choose_pipeline(now, target, layers, 1),
            None => {
                let role = |view: &ReplicaView| view.role == ReplicaRole::Service;
                let process = self.choose_for_start(now, target, role)?;
                Some(ChosenPath { processes: vec![process], pipeline: None })
            }
        }
    }

    /// Chooses a replica for each stage, from the first layer to the last. `joined` is the attempt
    /// that the stages join in.
    fn choose_pipeline(
        &mut self,
        now: Millis,
        target: &str,
        layers: u32,
        joined: u32,
    ) -> Option<ChosenPath> {
        let starts = self.completable_starts(target, layers);
        let mut next_layer = 0;
        let mut stages = Vec::new();
        while next_layer < layers {
            let continues_path = |view: &ReplicaView| {
                let range = view.layers();
                range.is_some_and(|range| {
                    range.first() == next_layer && starts.contains(&range.end())
                })
            };
            let process = self.choose_for_start(now, target, continues_path)?;
            let replica = &self.replicas[&process];
            let range = replica.layers()?;
            stages.push(RouteStage {
                address: replica.address.clone(),
                process,
                layers: range,
                joined_attempt: joined,
            });
            next_layer = range.end();
        }
        let processes = stages.iter().map(|stage| stage.process.clone()).collect();
        let pipeline = PipelineRoute::new(stages, layers).ok()?;
        Some(ChosenPath { processes, pipeline: Some(pipeline) })
    }

    /// Returns the layers from which the end of the model can be reached over replicas that can
    /// accept a request; always contains `layers` itself.
    fn completable_starts(&self, target: &str, layers: u32) -> BTreeSet<u32> {
        let usable =
            self.replicas.values().filter(|view| view.target == target && view.can_accept());
        let ranges: BTreeSet<(u32, u32)> = usable
            .filter_map(ReplicaView::layers)
            .map(|range| (range.first(), range.end()))
            .collect();
        let mut starts = BTreeSet::from([layers]);
        for (first, end) in ranges.into_iter().rev() {
            if starts.contains(&end) {
                starts.insert(first);
            }
        }
        starts
    }

    /// Returns whether there is a path through the whole model on which every replica can accept a
    /// request.
    pub(super) fn has_free_path(&self, target: &str, layers: u32) -> bool {
        self.completable_starts(target, layers).contains(&0)
    }

    /// Chooses a replica with a free credit for a new request.
    fn choose_for_start(
        &mut self,
        now: Millis,
        target: &str,
        is_candidate: impl Fn(&ReplicaView) -> bool,
    ) -> Option<String> {
        self.choose_with_slots(now, ReplicaView::free_credits, |view| {
            view.target == target && is_candidate(view)
        })
    }

    /// Chooses an available replica with a free slot. Ejected replicas are used only if no other
    /// has one.
    fn choose_with_slots(
        &mut self,
        now: Millis,
        free_slots: impl Fn(&ReplicaView) -> u32,
        is_candidate: impl Fn(&ReplicaView) -> bool,
    ) -> Option<String> {
        let is_usable =
            |view: &ReplicaView| view.is_available() && free_slots(view) > 0 && is_candidate(view);
        let all: Vec<(&String, &ReplicaView)> =
            self.replicas.iter().filter(|(_, view)| is_usable(view)).collect();
        let healthy: Vec<(&String, &ReplicaView)> =
            all.iter().copied().filter(|(_, view)| !view.health.is_ejected(now)).collect();
        let preferred = if healthy.is_empty() { all } else { healthy };
        let candidates: Vec<PathCandidate> = preferred
            .iter()
            .map(|(_, view)| PathCandidate {
                weight: view.weight,
                outstanding: view.outstanding(),
                free: free_slots(view),
            })
            .collect();
        let index =
            choose_replica(self.config.policy, &candidates, &mut self.cursor, &mut self.random)?;
        Some(preferred[index].0.clone())
    }

    /// Sends a request to the first stage of a path, as a new attempt.
    fn dispatch(&mut self, now: Millis, id: RequestId, path: ChosenPath) -> Vec<DispatchAction> {
        for process in &path.processes {
            if let Some(replica) = self.replicas.get_mut(process) {
                replica.use_credit(now);
            }
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        self.counts.dispatched += 1;
        let mut actions = Vec::new();
        if request.attempt == 0 {
            let wait = ObservationKind::QueueWait(now.saturating_sub(request.submitted));
            actions.push(DispatchAction::Observe(Observation::new(&request.submission, wait)));
        }
        request.attempt += 1;
        request.record_progress(now);
        let mut pipeline = path.pipeline;
        if let Some(pipeline) = &mut pipeline {
            set_joined_attempt(pipeline, request.attempt);
        }
        let first = path.processes[0].clone();
        request.phase = RequestPhase::Running(RequestRun {
            pipeline,
            processes: path.processes,
            missing: BTreeSet::new(),
            missing_since: 0,
            lineage: request.attempt,
            resend_requests: 0,
        });
        let body = match &request.submission.work {
            Work::Completion { .. } => request.start(&self.config).map(Body::Start),
            Work::Call { method, path, headers, body } => Some(Body::Call(link::Call {
                request: Some(id.into()),
                attempt: request.attempt,
                service: request.submission.target.clone(),
                method: method.clone(),
                path: path.clone(),
                headers: headers.clone(),
                body: body.clone(),
                once: request.submission.once,
            })),
        };
        actions.extend(body.map(|body| DispatchAction::send(&first, body)));
        actions
    }

    /// Restarts a request on a new path, with its delivered tokens as a prefix. Returns `None` if
    /// no path is free.
    pub(super) fn redispatch(&mut self, now: Millis, id: RequestId) -> Option<Vec<DispatchAction>> {
        let target = self.requests.get(&id)?.submission.target.clone();
        let path = self.choose_path(now, &target)?;
        self.counts.restarts += 1;
        if let Some(request) = self.requests.get_mut(&id) {
            request.assembly.discard_pending();
        }
        Some(self.dispatch(now, id, path))
    }

    /// Chooses a replica that holds the layers of `stage` and has a slot for replacements. Replicas
    /// at the addresses of the `excluded` processes are not considered.
    pub(super) fn choose_replacement(
        &mut self,
        now: Millis,
        target: &str,
        stage: &RouteStage,
        excluded: &[String],
    ) -> Option<String> {
        let excluded_addresses: BTreeSet<String> = excluded
            .iter()
            .filter_map(|name| Some(self.replicas.get(name)?.address.clone()))
            .collect();
        let is_candidate = |view: &ReplicaView| {
            let has_layers = view.target == target && view.layers() == Some(stage.layers);
            has_layers && !excluded_addresses.contains(&view.address)
        };
        self.choose_with_slots(now, ReplicaView::free_replacement_slots, is_candidate)
    }

    /// Recomputes the weights of all replicas if any of them joined, left or changed.
    fn refresh_weights(&mut self) {
        if !self.weights_stale {
            return;
        }
        self.weights_stale = false;
        for model in self.config.models.clone() {
            let (names, replicas) = self.flow_replicas(&model.name);
            let bound = flow_bound(&replicas, &[], model.layers);
            for (index, name) in names.iter().enumerate() {
                if let Some(view) = self.replicas.get_mut(name) {
                    view.weight = bound.shares[index] as f64;
                }
            }
        }
        for view in self.replicas.values_mut() {
            if view.role == ReplicaRole::Service {
                view.weight = f64::from(view.slots);
            }
        }
    }

    /// Returns the names of the usable replicas of a model and, in the same order, their properties
    /// in the flow network.
    fn flow_replicas(&self, model: &str) -> (Vec<String>, Vec<FlowReplica>) {
        let is_usable =
            |view: &&ReplicaView| view.connected && !view.draining && view.target == model;
        let (mut names, mut replicas) = (Vec::new(), Vec::new());
        for (name, view) in &self.replicas {
            let Some(layers) = Some(view).filter(is_usable).and_then(ReplicaView::layers) else {
                continue;
            };
            names.push(name.clone());
            let milli_rate = view.milli_rate();
            replicas.push(FlowReplica { name: name.clone(), data_centre: 0, layers, milli_rate });
        }
        (names, replicas)
    }
}

/// Marks all stages of a pipeline as joined in `attempt`.
fn set_joined_attempt(pipeline: &mut PipelineRoute, attempt: u32) {
    for position in 0..pipeline.stages().len() {
        let mut stage = pipeline.stages()[position].clone();
        stage.joined_attempt = attempt;
        // The stage keeps its layers, so this cannot fail.
        let _same_layers = pipeline.replace(position, stage);
    }
}
