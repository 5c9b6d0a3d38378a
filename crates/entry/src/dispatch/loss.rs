//! Handling of lost agents.
//!
//! An agent is lost if its link ends or it sends no message for too long. A request that must not
//! be repeated then waits for the agent of its first stage to return, since only that agent can
//! confirm that the request never ran. Other completions are recovered by
//! [`recovery`](super::recovery), and other service calls return to their queue.

use switchfold_core::{Millis, id::RequestId};
use switchfold_proto::link::{self, message::Body};

use super::{
    DispatchAction, DispatchState, ReplicaView,
    request::{PendingVoid, RequestPhase},
    submission::{Outcome, UnknownReason},
};

impl DispatchState {
    /// Handles the end of the link to an agent.
    pub fn on_link_lost(&mut self, now: Millis, process: &str) -> Vec<DispatchAction> {
        let mut actions = self.on_replica_lost(now, process);
        actions.extend(self.schedule(now));
        actions
    }

    /// Removes a replica, unless its link is open. Called when its VM is no longer on the list.
    pub fn remove_replica(&mut self, process: &str) {
        if self.replicas.get(process).is_some_and(|view| !view.connected) {
            self.replicas.remove(process);
            self.weights_stale = true;
        }
    }

    /// Handles agents as lost that have sent no message for too long, though their links are open.
    pub(super) fn expire_agents(&mut self, now: Millis) -> Vec<DispatchAction> {
        let (busy, idle) = (self.config.agent_timeout, self.config.idle_agent_timeout);
        let timeout = |view: &ReplicaView| if view.in_flight > 0 { busy } else { idle };
        let is_silent =
            |view: &ReplicaView| view.connected && view.last_message_at + timeout(view) < now;
        let silent = self.replicas.iter().filter(|(_, view)| is_silent(view));
        let silent: Vec<String> = silent.map(|(process, _)| process.clone()).collect();
        let mut actions = Vec::new();
        for process in silent {
            // The agent may only be paused. When it resumes, the closed link makes it release this
            // entry's requests.
            actions.push(DispatchAction::ResetLink { process: process.clone() });
            actions.extend(self.on_replica_lost(now, &process));
        }
        actions
    }

    /// Marks a replica as disconnected and handles the loss for each request that it ran.
    pub(super) fn on_replica_lost(&mut self, now: Millis, process: &str) -> Vec<DispatchAction> {
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
        let affected = self.requests.iter();
        let affected = affected.filter_map(|(id, request)| Some((*id, request.stage_of(process)?)));
        let affected: Vec<(RequestId, usize)> = affected.collect();
        let mut actions = Vec::new();
        for (id, stage) in affected {
            actions.extend(self.handle_agent_loss(now, id, stage, process, incarnation));
        }
        actions
    }

    /// Handles the loss of the agent that ran a stage of a request.
    fn handle_agent_loss(
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
            // The first stage starts the request: if it never ran there, it ran nowhere.
            let deadline = now + self.config.void_timeout;
            let process = process.to_owned();
            let pending = PendingVoid { process, incarnation, deadline, sent: false };
            return self.begin_void(id, pending);
        }
        if request.submission.is_call() {
            return self.retry_lost_call(now, id);
        }
        self.mark_stage_lost(now, id, stage, once)
    }

    /// Makes a request wait for its lost agent, and releases it at all other stages.
    fn begin_void(&mut self, id: RequestId, pending: PendingVoid) -> Vec<DispatchAction> {
        let lost = pending.process.clone();
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let attempt = request.attempt;
        let phase = std::mem::replace(&mut request.phase, RequestPhase::Voiding(pending));
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

    /// Queues a call again if the retry budget allows it. Otherwise the call ends as unknown.
    fn retry_lost_call(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        if self.budget.try_spend() {
            return self.requeue(now, id);
        }
        self.finish(now, id, Outcome::Unknown(UnknownReason::RetryBudget), false)
    }

    /// Sends the pending void requests for an agent that returned with the same incarnation. Its
    /// answers say whether the requests ran.
    pub(super) fn send_pending_voids(
        &mut self,
        process: &str,
        incarnation: u64,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for (id, request) in &mut self.requests {
            let RequestPhase::Voiding(pending) = &mut request.phase else {
                continue;
            };
            if pending.process == process && pending.incarnation == incarnation && !pending.sent {
                pending.sent = true;
                let void = link::Void { request: Some((*id).into()) };
                actions.push(DispatchAction::send(process, Body::Void(void)));
            }
        }
        actions
    }

    /// Puts a request back into its queue. It must either not have run or be safe to repeat.
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
        self.schedule(now)
    }
}
