//! Handling of the steps of pipelines: which of them run, and where their output goes.

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

/// Step to run for a request, from an entry's start, the previous stage or the last stage's token.
struct IncomingStep {
    id: RequestId,
    header: StepHeader,
    inputs: Vec<u32>,
    activations: bytes::Bytes,
}

impl GateState {
    pub(super) fn on_start(&mut self, entry: &EntryKey, start: link::Start) -> Vec<GateAction> {
        let (Some(id), Some(route)) = (start.request, start.route) else {
            return self.unexpected();
        };
        let id = RequestId::from(id);
        if let Err(reason) = self.ensure_request(id, start.attempt, &route) {
            return self.refuse(entry, id, start.attempt, reason);
        }
        let header = StepHeader {
            attempt: start.attempt,
            layer: 0,
            first_position: 0,
            len: start.tokens.len() as u32,
            resend: if start.attempt > 1 { 2 * route.stages.len() as u32 } else { 0 },
        };
        self.process_step(IncomingStep {
            id,
            header,
            inputs: start.tokens,
            activations: bytes::Bytes::new(),
        })
    }

    pub(super) fn on_step(&mut self, step: link::Step) -> Vec<GateAction> {
        let Some(id) = step.request.map(RequestId::from) else {
            return self.unexpected();
        };
        if let Some(route) = &step.route
            && let Err(reason) = self.ensure_request(id, step.attempt, route)
        {
            let entry =
                EntryKey { name: route.entry.clone(), incarnation: route.entry_incarnation };
            return self.refuse(&entry, id, step.attempt, reason);
        }
        let header = StepHeader {
            attempt: step.attempt,
            layer: step.layer,
            first_position: step.first_position,
            len: step.inputs.len() as u32,
            resend: step.resend,
        };
        self.process_step(IncomingStep {
            id,
            header,
            inputs: step.inputs,
            activations: step.activations,
        })
    }

    /// Handles a token that the last stage sent to this stage, the first one. The token is the
    /// input of the next step.
    pub(super) fn on_token(&mut self, token: &link::Token) -> Vec<GateAction> {
        let Some(id) = token.request.map(RequestId::from) else {
            return self.unexpected();
        };
        let Some(state) = self.requests.get(&id) else {
            self.counts.dropped_steps += 1;
            return Vec::new();
        };
        let header = StepHeader {
            attempt: token.attempt,
            layer: 0,
            first_position: state.route.prompt_len + token.index,
            len: 1,
            resend: token.resend,
        };
        let inputs = vec![token.token];
        self.process_step(IncomingStep { id, header, inputs, activations: bytes::Bytes::new() })
    }

    /// Applies the route of a later attempt, and replays the log if that attempt replaced the next
    /// stage.
    pub(super) fn on_reroute(&mut self, reroute: &link::Reroute) -> Vec<GateAction> {
        let (Some(id), Some(route)) = (reroute.request.map(RequestId::from), &reroute.route) else {
            return self.unexpected();
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if reroute.attempt <= state.step_gate.attempt() {
            return Vec::new();
        }
        state.apply_route(reroute.attempt, route, &self.config.address);
        let is_replaced =
            state.next_stage().is_some_and(|next| next.joined_attempt == state.step_gate.attempt());
        if is_replaced { self.forward(id, 0) } else { Vec::new() }
    }

    /// Handles an output of the engine. Outputs for released requests are ignored.
    pub fn on_output(&mut self, output: &StepOutput) -> Vec<GateAction> {
        let Some(id) = self.tickets.remove(&output.ticket) else {
            return Vec::new();
        };
        if !output.error.is_empty() {
            return self.fail_request(id);
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let Some(step) = state.running.pop_front() else {
            return Vec::new();
        };
        state.step_gate.finish();
        state.log.push(&step.inputs, &output.activations);
        self.counts.steps += 1;
        if !state.is_last_stage() {
            return self.forward(id, step.resend.saturating_sub(1));
        }
        let end_position = state.step_gate.next_position();
        let queued: usize = state.running.iter().map(|step| step.inputs.len()).sum();
        let index = state.token_index_at(end_position - queued as u32);
        state.last_token = Some(LastToken { index, token: output.token });
        self.emit_token(id, step.resend.saturating_sub(1))
    }

    /// Handles the loss of the engine: all requests of this agent fail, since their KV caches are
    /// lost.
    pub fn engine_lost(&mut self) -> Vec<GateAction> {
        self.set_endpoint_down();
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.into_iter().flat_map(|id| self.fail_request(id)).collect()
    }

    /// Reports to the entry that the endpoint failed a request, and releases the request.
    fn fail_request(&mut self, id: RequestId) -> Vec<GateAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.requests.get(&id) {
            let about = self.config.address.clone();
            actions.push(state.refusal(id, RefusalReason::EndpointFailed, &about));
        }
        actions.extend(self.release(id));
        actions
    }

    /// Counts a refusal to admit a request and reports it to the entry.
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

    /// Admits a request if this agent does not hold it yet, and applies the route of `attempt`.
    fn ensure_request(
        &mut self,
        id: RequestId,
        attempt: u32,
        route: &Route,
    ) -> Result<(), RefusalReason> {
        let own_address = self.config.address.clone();
        if self.requests.get(&id).is_some_and(|state| route.lineage > state.route.lineage) {
            // The request was restarted: discard the state of the previous sequence of tokens.
            self.tickets.retain(|_, ticket_id| *ticket_id != id);
            self.requests.remove(&id);
        }
        if let Some(state) = self.requests.get_mut(&id) {
            state.apply_route(attempt, route, &own_address);
            return Ok(());
        }
        let GateEndpoint::Engine(engine) = &self.config.endpoint else {
            return Err(RefusalReason::WrongModel);
        };
        if engine.model != route.model {
            return Err(RefusalReason::WrongModel);
        }
        let layers = engine.layers;
        let pipeline = route.pipeline().map_err(|_| RefusalReason::WrongLayer)?;
        let stage_index = pipeline.position(&own_address).ok_or(RefusalReason::WrongLayer)?;
        if pipeline.stages()[stage_index].layers != layers {
            return Err(RefusalReason::WrongLayer);
        }
        // A stage that joined after the first attempt of the sequence replaces a lost one.
        let is_replacement = pipeline.stages()[stage_index].joined_attempt > route.lineage;
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
            stage_index,
            step_gate: StepGate::new(layers.first(), attempt),
            log: ActivationLog::new(self.config.log_bytes),
            running: VecDeque::new(),
            last_token: None,
            sent_attempt: 0,
        };
        self.requests.insert(id, state);
        Ok(())
    }

    /// Decides on a step, and runs it if the step gate admits it.
    fn process_step(&mut self, step: IncomingStep) -> Vec<GateAction> {
        let id = step.id;
        let Some(state) = self.requests.get_mut(&id) else {
            self.counts.dropped_steps += 1;
            return Vec::new();
        };
        let mut actions = Vec::new();
        if state.is_last_stage() && step.header.resend > 0 {
            actions = replayed_tokens(id, state, &step);
        }
        match state.step_gate.decide(&step.header) {
            StepDecision::Run { skip } => actions.push(self.start_step(step, skip)),
            StepDecision::ResendOutput => {
                actions.extend(self.resend_output(id, step.header.resend - 1))
            }
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

    /// Creates the engine's input for a step without its first `skip` positions.
    fn start_step(&mut self, step: IncomingStep, skip: u32) -> GateAction {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, step.id);
        self.window.sample(self.tickets.len());
        let skip = skip as usize;
        let is_first_layer = step.header.layer == 0;
        let width = step.activations.len() / step.inputs.len().max(1);
        let inputs = step.inputs[skip..].to_vec();
        let first_position = step.header.first_position + skip as u32;
        let mut input = StepInput {
            key: Some(step.id.into()),
            first_position,
            tokens: Vec::new(),
            activations: step.activations.slice(skip * width..),
            want_token: false,
            // Priorities apply in the queues of the entries only. If steps had the priority of
            // their class, a full engine would never run the steps of lower classes.
            priority: 0,
            release: false,
            ticket,
            reset: first_position == 0,
        };
        if is_first_layer {
            input.tokens.clone_from(&inputs);
        }
        if let Some(state) = self.requests.get_mut(&step.id) {
            input.want_token = state.is_last_stage();
            state.running.push_back(RunningStep { inputs, resend: step.header.resend });
        }
        GateAction::RunStep(input)
    }

    /// Sends the last output of this stage again.
    fn resend_output(&mut self, id: RequestId, resend: u32) -> Vec<GateAction> {
        self.counts.repeated_steps += 1;
        let is_last = self.requests.get(&id).is_some_and(RequestState::is_last_stage);
        if is_last { self.emit_token(id, resend) } else { self.forward(id, resend) }
    }

    /// Sends the next stage the last output, or the whole log if that stage is a replacement.
    fn forward(&mut self, id: RequestId, resend: u32) -> Vec<GateAction> {
        let Some(state) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let Some(next) = state.next_stage() else {
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
        let attempt = state.step_gate.attempt();
        let end = span.first_position + span.inputs.len() as u32;
        let step = link::Step {
            request: Some(id.into()),
            attempt,
            index: state.token_index_at(end),
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

    /// Sends the last token to the entry and, unless it ends the completion, to the first stage.
    fn emit_token(&mut self, id: RequestId, resend: u32) -> Vec<GateAction> {
        let Some(state) = self.requests.get(&id) else {
            return Vec::new();
        };
        let Some(LastToken { index, token }) = state.last_token else {
            return Vec::new();
        };
        let last = index + 1 >= state.route.max_tokens;
        let attempt = state.step_gate.attempt();
        let token = link::Token { request: Some(id.into()), attempt, index, token, resend, last };
        let first = &state.pipeline.stages()[0].address;
        let mut actions = vec![GateAction::to_entry(&state.entry, Body::Token(token))];
        if !last {
            actions.push(GateAction::to_stage(first, Body::Token(token)));
        }
        actions
    }
}

/// Returns the actions that send the generated tokens among the inputs of a step to the entry,
/// which may have missed some of them.
fn replayed_tokens(id: RequestId, state: &RequestState, step: &IncomingStep) -> Vec<GateAction> {
    let first = step.header.first_position;
    let positions = step.inputs.iter().enumerate();
    let positions = positions.map(|(offset, token)| (first + offset as u32, *token));
    let generated = positions.filter(|(position, _)| *position >= state.route.prompt_len);
    let tokens = generated.map(|(position, token)| {
        let index = position - state.route.prompt_len;
        let attempt = step.header.attempt;
        let token =
            link::Token { request: Some(id.into()), attempt, index, token, resend: 0, last: false };
        GateAction::to_entry(&state.entry, Body::Token(token))
    });
    tokens.collect()
}
