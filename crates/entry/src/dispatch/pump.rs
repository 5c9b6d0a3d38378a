//! Who goes next, over which path.

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

/// A path: one process for each stage.
struct ChosenPath {
    processes: Vec<String>,
    pipeline: Option<PipelineRoute>,
}

impl DispatchState {
    /// Sends out what can go: first the requests that lack a stage, then the queues.
    pub(super) fn pump(&mut self, now: Millis) -> Vec<DispatchAction> {
        self.refresh_weights();
        let mut actions = self.repair_missing(now);
        let targets: Vec<String> = self.targets.keys().cloned().collect();
        for target in targets {
            actions.extend(self.pump_target(now, &target));
        }
        actions
    }

    fn pump_target(&mut self, now: Millis, target: &str) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        while self.targets.get(target).is_some_and(|state| !state.queue.is_empty()) {
            let Some(path) = self.choose_path(now, target) else {
                break;
            };
            let Some(state) = self.targets.get_mut(target) else {
                break;
            };
            let Some(entry) = state.queue.pop() else {
                break;
            };
            state.rate.record(now, 1);
            actions.extend(self.dispatch(now, entry.id, path));
        }
        actions
    }

    fn choose_path(&mut self, now: Millis, target: &str) -> Option<ChosenPath> {
        match self.config.layers(target) {
            Some(layers) => self.choose_pipeline(now, target, layers, 1),
            None => {
                let role = |view: &ReplicaView| view.role == ReplicaRole::Service;
                let process = self.choose_among(now, target, role)?;
                Some(ChosenPath { processes: vec![process], pipeline: None })
            }
        }
    }

    /// Chooses a replica for each stage, from the first layer to the last.
    fn choose_pipeline(
        &mut self,
        now: Millis,
        target: &str,
        layers: u32,
        joined: u32,
    ) -> Option<ChosenPath> {
        let ends = self.completable(target, layers);
        let mut cursor = 0;
        let mut places = Vec::new();
        while cursor < layers {
            let at_cursor = |view: &ReplicaView| {
                let range = view.layers();
                range.is_some_and(|range| range.first() == cursor && ends.contains(&range.end()))
            };
            let process = self.choose_among(now, target, at_cursor)?;
            let replica = &self.replicas[&process];
            let range = replica.layers()?;
            places.push(RouteStage {
                address: replica.address.clone(),
                process,
                layers: range,
                joined_attempt: joined,
            });
            cursor = range.end();
        }
        let processes = places.iter().map(|place| place.process.clone()).collect();
        let pipeline = PipelineRoute::new(places, layers).ok()?;
        Some(ChosenPath { processes, pipeline: Some(pipeline) })
    }

    /// Layers from which the end of the model can be reached over replicas that take work.
    fn completable(&self, target: &str, layers: u32) -> BTreeSet<u32> {
        let usable =
            self.replicas.values().filter(|view| view.target == target && view.can_accept());
        let ranges: BTreeSet<(u32, u32)> = usable
            .filter_map(ReplicaView::layers)
            .map(|range| (range.first(), range.end()))
            .collect();
        let mut ends = BTreeSet::from([layers]);
        for (first, end) in ranges.into_iter().rev() {
            if ends.contains(&end) {
                ends.insert(first);
            }
        }
        ends
    }

    /// Tells whether some path through the whole model takes work.
    pub(super) fn has_free_path(&self, target: &str, layers: u32) -> bool {
        self.completable(target, layers).contains(&0)
    }

    /// Chooses a replica for a request that is to begin.
    fn choose_among(
        &mut self,
        now: Millis,
        target: &str,
        suits: impl Fn(&ReplicaView) -> bool,
    ) -> Option<String> {
        self.choose_free(now, ReplicaView::free_credits, |view| {
            view.target == target && suits(view)
        })
    }

    /// Chooses one open replica that has room; those that are ejected only where no other has.
    fn choose_free(
        &mut self,
        now: Millis,
        room: impl Fn(&ReplicaView) -> u32,
        suits: impl Fn(&ReplicaView) -> bool,
    ) -> Option<String> {
        let usable = |view: &ReplicaView| view.is_available() && room(view) > 0 && suits(view);
        let all: Vec<(&String, &ReplicaView)> =
            self.replicas.iter().filter(|(_, view)| usable(view)).collect();
        let healthy: Vec<(&String, &ReplicaView)> =
            all.iter().copied().filter(|(_, view)| !view.health.is_ejected(now)).collect();
        let chosen = if healthy.is_empty() { all } else { healthy };
        let candidates: Vec<PathCandidate> = chosen
            .iter()
            .map(|(_, view)| PathCandidate {
                weight: view.weight,
                outstanding: view.outstanding(),
                free: room(view),
            })
            .collect();
        let index =
            choose_replica(self.config.policy, &candidates, &mut self.cursor, &mut self.random)?;
        Some(chosen[index].0.clone())
    }

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
        request.last_progress = now;
        let mut pipeline = path.pipeline;
        if let Some(pipeline) = &mut pipeline {
            join_all(pipeline, request.attempt);
        }
        let first = path.processes[0].clone();
        request.phase = RequestPhase::Running(RequestRun {
            pipeline,
            processes: path.processes,
            missing: BTreeSet::new(),
            missing_since: 0,
            lineage: request.attempt,
            nudges: 0,
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

    /// Begins a request anew on a fresh path, with its delivered tokens as a prefix.
    pub(super) fn redispatch(&mut self, now: Millis, id: RequestId) -> Option<Vec<DispatchAction>> {
        let target = self.requests.get(&id)?.submission.target.clone();
        let path = self.choose_path(now, &target)?;
        self.counts.restarts += 1;
        if let Some(request) = self.requests.get_mut(&id) {
            request.assembly.discard_pending();
        }
        Some(self.dispatch(now, id, path))
    }

    /// A replica with the same layers that could take a stage of a running request.
    pub(super) fn choose_replacement(
        &mut self,
        now: Millis,
        target: &str,
        place: &RouteStage,
        not: &[String],
    ) -> Option<String> {
        let used: BTreeSet<String> =
            not.iter().filter_map(|name| Some(self.replicas.get(name)?.address.clone())).collect();
        let suits = |view: &ReplicaView| {
            let is_same = view.target == target && view.layers() == Some(place.layers);
            is_same && !used.contains(&view.address)
        };
        self.choose_free(now, ReplicaView::free_replacement_slots, suits)
    }

    /// Shares of the maximum flow, computed anew when replicas came, went or changed.
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

    fn flow_replicas(&self, model: &str) -> (Vec<String>, Vec<FlowReplica>) {
        let usable = |view: &&ReplicaView| view.connected && !view.draining && view.target == model;
        let (mut names, mut replicas) = (Vec::new(), Vec::new());
        for (name, view) in &self.replicas {
            let Some(layers) = Some(view).filter(usable).and_then(ReplicaView::layers) else {
                continue;
            };
            names.push(name.clone());
            let milli_rate = view.milli_rate();
            replicas.push(FlowReplica { name: name.clone(), data_centre: 0, layers, milli_rate });
        }
        (names, replicas)
    }
}

fn join_all(pipeline: &mut PipelineRoute, attempt: u32) {
    for position in 0..pipeline.stages().len() {
        let mut place = pipeline.stages()[position].clone();
        place.joined_attempt = attempt;
        // The place is the stage's own, so it fits.
        let _fits = pipeline.replace(position, place);
    }
}
