//! Steps of pipelines: who may run, what goes on to whom.

use std::collections::VecDeque;

use switchfold_core::{
    activation::ActivationLog,
    id::RequestId,
    step::{StepDecision, StepGate, StepHeader, StepRefusal},
};
use switchfold_proto::{
    engine::{StepInput, StepOutput},
    link::{self, RefusalReason, Route, message::Body},
};

use super::{
    GateEndpoint, GateState,
    action::{EntryKey, GateAction},
    request::{LastToken, NextSpan, RequestState, RunningStep},
};

/// Positions that arrive for a request, from whoever sent them.
struct ArrivingStep {
    id: RequestId,
    view: StepHeader,
    inputs: Vec<u32>,
    activations: bytes::Bytes,
}

impl GateState {
    pub(super) fn on_start(&mut self, entry: &EntryKey, start: link::Start) -> Vec<GateAction> {
        let (Some(id), Some(route)) = (start.request, start.route) else {
            return self.unexpected();
        };
        let id = RequestId::from(id);
        if let Err(reason) = self.join(id, start.attempt, &route) {
            return self.refuse(entry, id, start.attempt, reason);
        }
        let view = StepHeader {
            attempt: start.attempt,
            layer: 0,
            first_position: 0,
            len: start.tokens.len() as u32,
            resend: if start.attempt > 1 { 2 * route.stages.len() as u32 } else { 0 },
        };
        self.arrive(ArrivingStep {
            id,
            view,
            inputs: start.tokens,
            activations: bytes::Bytes::new(),
        })
    }

    pub(super) fn on_step(&mut self, step: link::Step) -> Vec<GateAction> {
        let Some(id) = step.request.map(RequestId::from) else {
            return self.unexpected();
        };
        if let Some(route) = &step.route
            && let Err(reason) = self.join(id, step.attempt, route)
        {
            let entry =
                EntryKey { name: route.entry.clone(), incarnation: route.entry_incarnation };
            return self.refuse(&entry, id, step.attempt, reason);
        }
        let view = StepHeader {
            attempt: step.attempt,
            layer: step.layer,
            first_position: step.first_position,
            len: step.inputs.len() as u32,
            resend: step.resend,
        };
        self.arrive(ArrivingStep { id, view, inputs: step.inputs, activations: step.activations })
    }

    /// A token of the last stage comes back to the first one and starts the next step.
    pub(super) fn on_token(&mut self, token: &link::Token) -> Vec<GateAction> {
        let Some(id) = token.request.map(RequestId::from) else {
            return self.unexpected();
        };
        let Some(state) = self.requests.get(&id) else {
            self.counts.dropped_steps += 1;
            return Vec::new();
        };
        let view = StepHeader {
            attempt: token.attempt,
            layer: 0,
            first_position: state.route.prompt_len + token.index,
            len: 1,
            resend: token.resend,
        };
        let inputs = vec![token.token];
        self.arrive(ArrivingStep { id, view, inputs, activations: bytes::Bytes::new() })
    }

    pub(super) fn on_reroute(&mut self, reroute: &link::Reroute) -> Vec<GateAction> {
        let (Some(id), Some(route)) = (reroute.request.map(RequestId::from), &reroute.route) else {
            return self.unexpected();
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if reroute.attempt <= state.gate.attempt() {
            return Vec::new();
        }
        state.adopt(reroute.attempt, route, &self.config.address);
        let is_fresh = state.next().is_some_and(|next| next.joined_attempt == state.gate.attempt());
        if is_fresh { self.forward(id, 0) } else { Vec::new() }
    }

    /// Takes an output of the engine.
    pub fn on_output(&mut self, output: &StepOutput) -> Vec<GateAction> {
        let Some(id) = self.tickets.remove(&output.ticket) else {
            return Vec::new();
        };
        if !output.error.is_empty() {
            return self.fail(id);
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let Some(step) = state.running.pop_front() else {
            return Vec::new();
        };
        state.gate.finish();
        state.log.push(&step.inputs, &output.activations);
        self.counts.steps += 1;
        if !state.is_last() {
            return self.forward(id, step.resend.saturating_sub(1));
        }
        let ran_to = state.gate.next_position();
        let queued: usize = state.running.iter().map(|step| step.inputs.len()).sum();
        let index = state.index_at(ran_to - queued as u32);
        state.last_token = Some(LastToken { index, token: output.token });
        self.emit_token(id, step.resend.saturating_sub(1))
    }

    /// Notes that the engine is gone, and with it the caches of all requests here.
    pub fn engine_lost(&mut self) -> Vec<GateAction> {
        self.set_endpoint_down();
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.into_iter().flat_map(|id| self.fail(id)).collect()
    }

    fn fail(&mut self, id: RequestId) -> Vec<GateAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.requests.get(&id) {
            let about = self.config.address.clone();
            actions.push(state.refusal(id, RefusalReason::EndpointFailed, &about));
        }
        actions.extend(self.release(id));
        actions
    }

    fn refuse(
        &mut self,
        entry: &EntryKey,
        id: RequestId,
        attempt: u32,
        reason: RefusalReason,
    ) -> Vec<GateAction> {
        self.counts.refused += 1;
        if reason == RefusalReason::Draining {
            self.counts.refused_draining += 1;
        }
        let about = self.config.address.clone();
        let refusal =
            link::Refusal { request: Some(id.into()), attempt, reason: reason.into(), about };
        vec![GateAction::to_entry(entry, Body::Refusal(refusal))]
    }

    /// Makes sure that the request is here, with the route of this attempt.
    fn join(&mut self, id: RequestId, attempt: u32, route: &Route) -> Result<(), RefusalReason> {
        let own = self.config.address.clone();
        if self.requests.get(&id).is_some_and(|state| route.lineage > state.route.lineage) {
            // The request begins anew: what was run for the former sequence of tokens is void.
            self.tickets.retain(|_, ticket_id| *ticket_id != id);
            self.requests.remove(&id);
        }
        if let Some(state) = self.requests.get_mut(&id) {
            state.adopt(attempt, route, &own);
            return Ok(());
        }
        let GateEndpoint::Engine(shape) = &self.config.endpoint else {
            return Err(RefusalReason::WrongModel);
        };
        if shape.model != route.model {
            return Err(RefusalReason::WrongModel);
        }
        let layers = shape.layers;
        let pipeline = route.pipeline().map_err(|_| RefusalReason::WrongLayer)?;
        let place = pipeline.position(&own).ok_or(RefusalReason::WrongLayer)?;
        if pipeline.stages()[place].layers != layers {
            return Err(RefusalReason::WrongLayer);
        }
        // A stage that joined after the request began replaces one that was lost.
        let is_replacement = pipeline.stages()[place].joined_attempt > route.lineage;
        let slots = match is_replacement {
            true => self.config.endpoint.slots(),
            false => self.config.unreserved_slots(),
        };
        self.admit(id, attempt, route.once, slots)?;
        self.counts.admitted += 1;
        let entry = EntryKey { name: route.entry.clone(), incarnation: route.entry_incarnation };
        let state = RequestState {
            entry,
            route: route.clone(),
            pipeline,
            place,
            gate: StepGate::new(layers.first(), attempt),
            log: ActivationLog::new(self.config.log_bytes),
            running: VecDeque::new(),
            last_token: None,
            sent_attempt: 0,
        };
        self.requests.insert(id, state);
        Ok(())
    }

    fn arrive(&mut self, step: ArrivingStep) -> Vec<GateAction> {
        let id = step.id;
        let Some(state) = self.requests.get_mut(&id) else {
            self.counts.dropped_steps += 1;
            return Vec::new();
        };
        let mut actions = Vec::new();
        if state.is_last() && step.view.resend > 0 {
            actions = known_tokens(id, state, &step);
        }
        match state.gate.decide(&step.view) {
            StepDecision::Run { skip } => actions.push(self.run(step, skip)),
            StepDecision::ResendOutput => actions.extend(self.repeat(id, step.view.resend - 1)),
            StepDecision::Drop(_) => self.counts.dropped_steps += 1,
            StepDecision::Refuse(refusal) => {
                self.counts.gaps += 1;
                let reason = match refusal {
                    StepRefusal::WrongLayer => RefusalReason::WrongLayer,
                    StepRefusal::Gap { .. } => RefusalReason::Gap,
                };
                let about = self.config.address.clone();
                actions.push(state.refusal(id, reason, &about));
            }
        }
        actions
    }

    fn run(&mut self, step: ArrivingStep, skip: u32) -> GateAction {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, step.id);
        self.window.sample(self.tickets.len());
        let skip = skip as usize;
        let is_first_layer = step.view.layer == 0;
        let width = step.activations.len() / step.inputs.len().max(1);
        let inputs = step.inputs[skip..].to_vec();
        let first_position = step.view.first_position + skip as u32;
        let mut input = StepInput {
            key: Some(step.id.into()),
            first_position,
            tokens: Vec::new(),
            activations: step.activations.slice(skip * width..),
            want_token: false,
            // Priorities hold where requests wait to be let in. A stream that runs goes on evenly: with
            // its class's priority here, a full engine never came to the steps of lower classes.
            priority: 0,
            release: false,
            ticket,
            reset: first_position == 0,
        };
        if is_first_layer {
            input.tokens.clone_from(&inputs);
        }
        if let Some(state) = self.requests.get_mut(&step.id) {
            input.want_token = state.is_last();
            state.running.push_back(RunningStep { inputs, resend: step.view.resend });
        }
        GateAction::RunStep(input)
    }

    fn repeat(&mut self, id: RequestId, resend: u32) -> Vec<GateAction> {
        self.counts.repeated_steps += 1;
        let is_last = self.requests.get(&id).is_some_and(RequestState::is_last);
        if is_last { self.emit_token(id, resend) } else { self.forward(id, resend) }
    }

    /// Sends the next stage what it needs.
    fn forward(&mut self, id: RequestId, resend: u32) -> Vec<GateAction> {
        let Some(state) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let Some(next) = state.next() else {
            return Vec::new();
        };
        let (address, layer) = (next.address.clone(), next.layers.first());
        let (span, is_replay) = match state.span_for_next() {
            Some(NextSpan::Send { span, is_replay }) => (span, is_replay),
            Some(NextSpan::Truncated) => {
                return vec![state.refusal(id, RefusalReason::LogTruncated, &address)];
            }
            None => return Vec::new(),
        };
        if is_replay {
            self.counts.replayed_positions += span.inputs.len() as u64;
        }
        let attempt = state.gate.attempt();
        let end = span.first_position + span.inputs.len() as u32;
        let step = link::Step {
            request: Some(id.into()),
            attempt,
            index: state.index_at(end),
            layer,
            first_position: span.first_position,
            inputs: span.inputs,
            activations: span.bytes.into(),
            resend: if is_replay { state.round_trip() } else { resend },
            route: (state.sent_attempt < attempt).then(|| state.route.clone()),
        };
        state.sent_attempt = attempt;
        vec![GateAction::to_stage(&address, Body::Step(step))]
    }

    /// Sends the last token to the entry and, where it is not the final one, to the first stage.
    fn emit_token(&mut self, id: RequestId, resend: u32) -> Vec<GateAction> {
        let Some(state) = self.requests.get(&id) else {
            return Vec::new();
        };
        let Some(LastToken { index, token }) = state.last_token else {
            return Vec::new();
        };
        let last = index + 1 >= state.route.max_tokens;
        let attempt = state.gate.attempt();
        let token = link::Token { request: Some(id.into()), attempt, index, token, resend, last };
        let first = &state.pipeline.stages()[0].address;
        let mut actions = vec![GateAction::to_entry(&state.entry, Body::Token(token))];
        if !last {
            actions.push(GateAction::to_stage(first, Body::Token(token)));
        }
        actions
    }
}

/// A replay shows the last stage which tokens were made before: the entry may have missed some.
fn known_tokens(id: RequestId, state: &RequestState, step: &ArrivingStep) -> Vec<GateAction> {
    let first = step.view.first_position;
    let positions = step.inputs.iter().enumerate();
    let positions = positions.map(|(offset, token)| (first + offset as u32, *token));
    let generated = positions.filter(|(position, _)| *position >= state.route.prompt_len);
    let tokens = generated.map(|(position, token)| {
        let index = position - state.route.prompt_len;
        let attempt = step.view.attempt;
        let token =
            link::Token { request: Some(id.into()), attempt, index, token, resend: 0, last: false };
        GateAction::to_entry(&state.entry, Body::Token(token))
    });
    tokens.collect()
}
