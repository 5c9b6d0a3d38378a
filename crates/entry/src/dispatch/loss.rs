//! What the loss of an agent means for the requests that it ran.
//!
//! An agent is lost when its link ends, or when it falls silent. A request that must not be repeated
//! then waits a little for word of its first stage, which alone can say that nothing ever ran; others
//! go on to [`recovery`](super::recovery), or back into their queue.

use switchfold_core::{Millis, id::RequestId};
use switchfold_proto::link::{self, message::Body};

use super::{
    DispatchAction, DispatchState, ReplicaView,
    request::{RequestPhase, SettlingRun},
    submission::{Outcome, UnknownReason},
};

impl DispatchState {
    /// Notes that the link to an agent ended.
    pub fn on_link_lost(&mut self, now: Millis, process: &str) -> Vec<DispatchAction> {
        let mut actions = self.replica_lost(now, process);
        actions.extend(self.pump(now));
        actions
    }

    /// Forgets a replica that is no longer on the list and not linked.
    pub fn remove_replica(&mut self, process: &str) {
        if self.replicas.get(process).is_some_and(|view| !view.connected) {
            self.replicas.remove(process);
            self.weights_stale = true;
        }
    }

    /// Takes agents that have gone silent for lost, though their links are open.
    pub(super) fn find_silent(&mut self, now: Millis) -> Vec<DispatchAction> {
        let (busy, idle) = (self.config.agent_timeout, self.config.idle_agent_timeout);
        let patience = |view: &ReplicaView| if view.in_flight > 0 { busy } else { idle };
        let is_silent =
            |view: &ReplicaView| view.connected && view.last_message_at + patience(view) < now;
        let silent = self.replicas.iter().filter(|(_, view)| is_silent(view));
        let silent: Vec<String> = silent.map(|(process, _)| process.clone()).collect();
        let mut actions = Vec::new();
        for process in silent {
            // It may be paused: ending the link makes it release, once it wakes, what it had.
            actions.push(DispatchAction::ResetLink { process: process.clone() });
            actions.extend(self.replica_lost(now, &process));
        }
        actions
    }

    pub(super) fn replica_lost(&mut self, now: Millis, process: &str) -> Vec<DispatchAction> {
        let Some(view) = self.replicas.get_mut(process) else {
            return Vec::new();
        };
        if !view.connected {
            return Vec::new();
        }
        view.connected = false;
        view.in_flight = 0;
        let incarnation = view.incarnation;
        self.weights_stale = true;
        self.counts.replicas_lost += 1;
        let hit = self.requests.iter();
        let hit = hit.filter_map(|(id, request)| Some((*id, request.stage_of(process)?)));
        let hit: Vec<(RequestId, usize)> = hit.collect();
        let mut actions = Vec::new();
        for (id, stage) in hit {
            actions.extend(self.lose_stage_of(now, id, stage, process, incarnation));
        }
        actions
    }

    fn lose_stage_of(
        &mut self,
        now: Millis,
        id: RequestId,
        stage: usize,
        process: &str,
        incarnation: u64,
    ) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let once = request.submission.once;
        if once && stage == 0 && request.assembly.delivered().is_empty() {
            // Only the first stage starts a request: what it says settles it for all.
            let until = now + self.config.void_timeout;
            let process = process.to_owned();
            let settling = SettlingRun { process, incarnation, until, asked: false };
            return self.begin_settling(id, settling);
        }
        if request.submission.is_call() {
            return self.call_lost(now, id);
        }
        self.lose_stage(now, id, stage, once)
    }

    fn begin_settling(&mut self, id: RequestId, settling: SettlingRun) -> Vec<DispatchAction> {
        let lost = settling.process.clone();
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let attempt = request.attempt;
        let phase = std::mem::replace(&mut request.phase, RequestPhase::Settling(settling));
        let RequestPhase::Running(run) = phase else {
            return Vec::new();
        };
        let others = run.processes.iter().filter(|process| **process != lost);
        let release = link::Release { request: Some(id.into()), cancelled: true, attempt };
        let mut actions = Vec::new();
        for process in others {
            if let Some(view) = self.replicas.get_mut(process) {
                view.return_credit();
                actions.push(DispatchAction::send(process, Body::Release(release)));
            }
        }
        actions
    }

    fn call_lost(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        if self.budget.try_spend() {
            return self.requeue(now, id);
        }
        self.end(now, id, Outcome::Unknown(UnknownReason::RetryBudget), false)
    }

    /// Asks an agent that is back, in the same run, whether it ever ran what was sent to it.
    pub(super) fn ask_settling(&mut self, process: &str, incarnation: u64) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for (id, request) in &mut self.requests {
            let RequestPhase::Settling(run) = &mut request.phase else {
                continue;
            };
            if run.process == process && run.incarnation == incarnation && !run.asked {
                run.asked = true;
                let void = link::Void { request: Some((*id).into()) };
                actions.push(DispatchAction::send(process, Body::Void(void)));
            }
        }
        actions
    }

    /// Puts a request that provably did not run back into its queue.
    pub(super) fn requeue(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let phase = std::mem::replace(&mut request.phase, RequestPhase::Queued);
        let submission = &request.submission;
        let entry = submission.queue_entry(request.submitted);
        let target = submission.target.clone();
        self.targets.entry(target).or_default().queue.push(entry);
        if let RequestPhase::Running(run) = phase {
            for process in &run.processes {
                if let Some(view) = self.replicas.get_mut(process) {
                    view.return_credit();
                }
            }
        }
        self.pump(now)
    }
}
