//! What tokens, answers, offers and refusals mean.

use switchfold_core::{Millis, id::RequestId};
use switchfold_proto::link::{self, RefusalReason, VoidOutcome, message::Body};

use super::{
    DispatchAction, DispatchState, Observation, ObservationKind,
    replica::ReplicaView,
    request::RequestPhase,
    submission::{CallerEvent, NotRunReason, Outcome, UnknownReason},
};

impl DispatchState {
    /// Takes a message of an agent that is linked under the name `process`, at `address`.
    pub fn on_message(
        &mut self,
        now: Millis,
        process: &str,
        address: &str,
        body: Body,
    ) -> Vec<DispatchAction> {
        if let Some(view) = self.replicas.get_mut(process).filter(|view| view.connected) {
            view.last_message_at = now;
        }
        match body {
            Body::Heartbeat(heartbeat) => self.on_heartbeat(now, process, heartbeat),
            Body::Offer(offer) => self.on_offer(now, process, address, &offer),
            Body::Token(token) => self.on_token(now, process, &token),
            Body::Refusal(refusal) => self.on_refusal(now, process, &refusal),
            Body::CallAnswer(answer) => self.on_call_answer(now, process, answer),
            Body::VoidAnswer(answer) => self.on_void_answer(now, process, &answer),
            _ => Vec::new(),
        }
    }

    fn on_offer(
        &mut self,
        now: Millis,
        process: &str,
        address: &str,
        offer: &link::Offer,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let is_other_run =
            |view: &ReplicaView| view.incarnation != offer.incarnation || view.address != address;
        if self.replicas.get(process).is_some_and(is_other_run) {
            actions = self.replica_lost(now, process);
            self.replicas.remove(process);
        }
        let is_new = match self.replicas.get_mut(process) {
            Some(view) => {
                let before = (view.connected, view.draining, view.role.clone(), view.step_micros);
                view.apply_offer(offer, now);
                before != (view.connected, view.draining, view.role.clone(), view.step_micros)
            }
            None => {
                let view = ReplicaView::new(address, offer, now);
                view.map(|view| self.replicas.insert(process.to_owned(), view)).is_some()
            }
        };
        self.weights_stale |= is_new;
        if offer.draining {
            // Links keep their order: nothing new follows this to the agent.
            actions.push(DispatchAction::send(process, Body::DrainSeen(link::DrainSeen {})));
        }
        actions.extend(self.ask_settling(process, offer.incarnation));
        actions.extend(self.pump(now));
        actions
    }

    /// A heartbeat of an agent that was taken for lost tells nothing: its link is being reset.
    fn on_heartbeat(
        &mut self,
        now: Millis,
        process: &str,
        heartbeat: link::Heartbeat,
    ) -> Vec<DispatchAction> {
        let Some(view) = self.replicas.get_mut(process).filter(|view| view.connected) else {
            return Vec::new();
        };
        view.apply_heartbeat(heartbeat);
        self.pump(now)
    }

    fn on_token(&mut self, now: Millis, process: &str, token: &link::Token) -> Vec<DispatchAction> {
        let Some(id) = token.request.map(RequestId::from) else {
            return Vec::new();
        };
        let Some(request) = self.requests.get_mut(&id) else {
            self.counts.late_tokens += 1;
            return Vec::new();
        };
        let is_current = request.run().is_some_and(|run| {
            run.processes.last().is_some_and(|last| last == process) && token.attempt >= run.lineage
        });
        if !is_current {
            self.counts.late_tokens += 1;
            return Vec::new();
        }
        let is_first = request.assembly.delivered().is_empty();
        let tokens = request.assembly.accept(token.index, token.token).to_vec();
        if token.last {
            request.assembly.set_total(token.index + 1);
        }
        let is_whole = request.assembly.is_complete();
        let mut actions = Vec::new();
        if !tokens.is_empty() {
            let gap = now.saturating_sub(request.last_progress);
            let kind = match is_first {
                true => ObservationKind::FirstToken(now.saturating_sub(request.submitted)),
                false => ObservationKind::BetweenTokens(gap),
            };
            actions.push(DispatchAction::Observe(Observation::new(&request.submission, kind)));
            request.last_progress = now;
            if let Some(run) = request.run_mut() {
                run.nudges = 0;
            }
            actions.push(DispatchAction::notify(id, CallerEvent::Tokens(tokens)));
        }
        if is_whole {
            self.note_success(now, id);
            actions.extend(self.end(now, id, Outcome::Done, false));
            actions.extend(self.pump(now));
        }
        actions
    }

    fn on_call_answer(
        &mut self,
        now: Millis,
        process: &str,
        answer: link::CallAnswer,
    ) -> Vec<DispatchAction> {
        let Some(id) = answer.request.map(RequestId::from) else {
            return Vec::new();
        };
        let request = self.requests.get(&id);
        let is_current = request.is_some_and(|request| {
            request.attempt == answer.attempt && request.stage_of(process).is_some()
        });
        if !is_current {
            return Vec::new();
        }
        self.note_success(now, id);
        let event = CallerEvent::Response {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        };
        let mut actions = vec![DispatchAction::notify(id, event)];
        actions.extend(self.end(now, id, Outcome::Done, false));
        actions.extend(self.pump(now));
        actions
    }

    fn on_refusal(
        &mut self,
        now: Millis,
        process: &str,
        refusal: &link::Refusal,
    ) -> Vec<DispatchAction> {
        let Some(id) = refusal.request.map(RequestId::from) else {
            return Vec::new();
        };
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let Some(stage) = request.stage_of(process).filter(|_| refusal.attempt == request.attempt)
        else {
            return Vec::new();
        };
        let is_call = request.submission.is_call();
        let once = request.submission.once;
        match refusal.reason() {
            RefusalReason::EndpointFailed if is_call => self.call_failed(now, id, process),
            RefusalReason::EndpointUnreached => {
                self.note_failure(process);
                self.call_unreached(now, id)
            }
            RefusalReason::EndpointFailed => {
                self.note_failure(process);
                self.lose_stage(now, id, stage, once)
            }
            RefusalReason::NextStageLost => {
                let run = request.run().and_then(|run| run.pipeline.as_ref());
                let lost = run.and_then(|pipeline| pipeline.position(&refusal.about));
                lost.map(|lost| self.lose_stage(now, id, lost, once)).unwrap_or_default()
            }
            RefusalReason::Gap => self.fill_gap(now, id, stage),
            RefusalReason::LogTruncated => self.restart(now, id),
            RefusalReason::AlreadyKnown if once => {
                self.end(now, id, Outcome::Unknown(UnknownReason::StageLost), false)
            }
            _ => self.refused_before_running(now, id, stage, process),
        }
    }

    /// The agent did not let the request in: nothing ran there.
    fn refused_before_running(
        &mut self,
        now: Millis,
        id: RequestId,
        stage: usize,
        process: &str,
    ) -> Vec<DispatchAction> {
        self.counts.refused_by_agents += 1;
        if let Some(view) = self.replicas.get_mut(process) {
            // Its credits were out of date: nothing more until its next offer.
            view.credits = 0;
        }
        let is_first_attempt = self.requests.get(&id).is_some_and(|request| {
            let fresh = request.run().is_some_and(|run| run.lineage == request.attempt);
            stage == 0 && fresh && request.assembly.delivered().is_empty()
        });
        if is_first_attempt {
            return self.requeue(now, id);
        }
        self.lose_stage(now, id, stage, false)
    }

    /// A call's service could not be reached: it did not run, and may go elsewhere.
    fn call_unreached(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        if self.budget.try_spend() {
            return self.requeue(now, id);
        }
        self.end_not_run(now, id, NotRunReason::ServiceUnreachable, self.config.stall_timeout)
    }

    fn call_failed(&mut self, now: Millis, id: RequestId, process: &str) -> Vec<DispatchAction> {
        self.note_failure(process);
        let once = self.requests.get(&id).is_some_and(|request| request.submission.once);
        if once {
            return self.end(now, id, Outcome::Unknown(UnknownReason::ServiceFailed), false);
        }
        if self.budget.try_spend() {
            return self.requeue(now, id);
        }
        self.end(now, id, Outcome::Unknown(UnknownReason::RetryBudget), false)
    }

    fn on_void_answer(
        &mut self,
        now: Millis,
        process: &str,
        answer: &link::VoidAnswer,
    ) -> Vec<DispatchAction> {
        let Some(id) = answer.request.map(RequestId::from) else {
            return Vec::new();
        };
        let is_asked = self.requests.get(&id).is_some_and(|request| {
            matches!(&request.phase, RequestPhase::Settling(run) if run.process == process)
        });
        if !is_asked {
            return Vec::new();
        }
        match answer.outcome() {
            // It is voided there; elsewhere it may still run.
            VoidOutcome::NeverRan => self.requeue(now, id),
            _ => self.end(now, id, Outcome::Unknown(UnknownReason::StageLost), false),
        }
    }

    fn note_failure(&mut self, process: &str) {
        if let Some(view) = self.replicas.get_mut(process) {
            view.health.record_failure();
        }
    }

    fn note_success(&mut self, now: Millis, id: RequestId) {
        let Some(run) = self.requests.get(&id).and_then(|request| request.run()) else {
            return;
        };
        for process in run.processes.clone() {
            if let Some(view) = self.replicas.get_mut(&process) {
                view.health.record_success(now);
            }
        }
    }
}
