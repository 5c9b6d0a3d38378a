//! Handling of messages from agents.

use switchfold_core::{Millis, id::RequestId};
use switchfold_proto::link::{self, RefusalReason, VoidOutcome, message::Body};

use super::{
    DispatchAction, DispatchState, Observation, ObservationKind,
    replica::ReplicaView,
    request::RequestPhase,
    submission::{CallerEvent, NotRunReason, Outcome, UnknownReason},
};

impl DispatchState {
    /// Handles a message from the agent `process`, linked at `address`.
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
        let is_other_instance =
            |view: &ReplicaView| view.incarnation != offer.incarnation || view.address != address;
        if self.replicas.get(process).is_some_and(is_other_instance) {
            actions = self.on_replica_lost(now, process);
            self.replicas.remove(process);
        }
        let is_changed = match self.replicas.get_mut(process) {
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
        self.weights_stale |= is_changed;
        if offer.draining {
            // Links preserve order, so no new request follows this acknowledgement.
            actions.push(DispatchAction::send(process, Body::DrainSeen(link::DrainSeen {})));
        }
        actions.extend(self.send_pending_voids(process, offer.incarnation));
        actions.extend(self.schedule(now));
        actions
    }

    /// Applies a heartbeat. Those of lost agents are ignored, since their links are being reset.
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
        self.schedule(now)
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
        let is_complete = request.assembly.is_complete();
        let mut actions = Vec::new();
        if !tokens.is_empty() {
            let elapsed = now.saturating_sub(request.last_progress);
            let kind = match is_first {
                true => ObservationKind::FirstToken(now.saturating_sub(request.submitted)),
                false => ObservationKind::BetweenTokens(elapsed),
            };
            actions.push(DispatchAction::Observe(Observation::new(&request.submission, kind)));
            request.record_progress(now);
            if let Some(run) = request.run_mut() {
                run.resend_requests = 0;
            }
            actions.push(DispatchAction::notify(id, CallerEvent::Tokens(tokens)));
        }
        if is_complete {
            self.record_success(now, id);
            actions.extend(self.finish(now, id, Outcome::Done, false));
            actions.extend(self.schedule(now));
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
        self.record_success(now, id);
        let event = CallerEvent::Response {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        };
        let mut actions = vec![DispatchAction::notify(id, event)];
        actions.extend(self.finish(now, id, Outcome::Done, false));
        actions.extend(self.schedule(now));
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
            RefusalReason::EndpointFailed if is_call => self.handle_failed_call(now, id, process),
            RefusalReason::EndpointUnreached => {
                self.record_failure(process);
                self.handle_unreached_call(now, id)
            }
            RefusalReason::EndpointFailed => {
                self.record_failure(process);
                self.mark_stage_lost(now, id, stage, once)
            }
            RefusalReason::NextStageLost => {
                let pipeline = request.run().and_then(|run| run.pipeline.as_ref());
                let lost = pipeline.and_then(|pipeline| pipeline.position(&refusal.about));
                lost.map(|lost| self.mark_stage_lost(now, id, lost, once)).unwrap_or_default()
            }
            RefusalReason::Gap => self.fill_gap(now, id, stage),
            RefusalReason::LogTruncated => self.restart(now, id),
            RefusalReason::AlreadyKnown if once => {
                self.finish(now, id, Outcome::Unknown(UnknownReason::StageLost), false)
            }
            _ => self.handle_not_admitted(now, id, stage, process),
        }
    }

    /// Handles a refusal to admit a request: no part of it ran at the agent.
    fn handle_not_admitted(
        &mut self,
        now: Millis,
        id: RequestId,
        stage: usize,
        process: &str,
    ) -> Vec<DispatchAction> {
        self.counts.refused_by_agents += 1;
        if let Some(view) = self.replicas.get_mut(process) {
            // The credits were outdated. Send nothing more before the agent's next report.
            view.credits = 0;
        }
        let is_first_attempt = self.requests.get(&id).is_some_and(|request| {
            let is_first_of_sequence =
                request.run().is_some_and(|run| run.lineage == request.attempt);
            stage == 0 && is_first_of_sequence && request.assembly.delivered().is_empty()
        });
        if is_first_attempt {
            return self.requeue(now, id);
        }
        self.mark_stage_lost(now, id, stage, false)
    }

    /// Handles a call whose service could not be reached: it did not run, so it may be sent to
    /// another replica.
    fn handle_unreached_call(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        if self.budget.try_spend() {
            return self.requeue(now, id);
        }
        self.finish_not_run(now, id, NotRunReason::ServiceUnreachable, self.config.stall_timeout)
    }

    /// Handles a call that its service may have run without a complete response.
    fn handle_failed_call(
        &mut self,
        now: Millis,
        id: RequestId,
        process: &str,
    ) -> Vec<DispatchAction> {
        self.record_failure(process);
        let once = self.requests.get(&id).is_some_and(|request| request.submission.once);
        if once {
            return self.finish(now, id, Outcome::Unknown(UnknownReason::ServiceFailed), false);
        }
        if self.budget.try_spend() {
            return self.requeue(now, id);
        }
        self.finish(now, id, Outcome::Unknown(UnknownReason::RetryBudget), false)
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
        let is_pending = self.requests.get(&id).is_some_and(|request| {
            matches!(&request.phase, RequestPhase::Voiding(pending) if pending.process == process)
        });
        if !is_pending {
            return Vec::new();
        }
        match answer.outcome() {
            // The agent will never run the request, so another replica may.
            VoidOutcome::NeverRan => self.requeue(now, id),
            _ => self.finish(now, id, Outcome::Unknown(UnknownReason::StageLost), false),
        }
    }

    fn record_failure(&mut self, process: &str) {
        if let Some(view) = self.replicas.get_mut(process) {
            view.health.record_failure();
        }
    }

    fn record_success(&mut self, now: Millis, id: RequestId) {
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
