//! State of one request at this stage.

use std::collections::VecDeque;

use switchfold_core::{
    activation::{ActivationLog, ActivationSpan},
    id::RequestId,
    route::{PipelineRoute, RouteStage},
    step::StepGate,
};
use switchfold_proto::link::{self, RefusalReason, Route, message::Body};

use super::action::{EntryKey, GateAction};

/// A step at the engine, running or queued.
#[derive(Clone, Debug)]
pub(super) struct RunningStep {
    pub(super) inputs: Vec<u32>,
    /// Number of further stages that may resend their last output; see
    /// [`StepHeader::resend`](switchfold_core::step::StepHeader::resend).
    pub(super) resend: u32,
}

/// Last token that this stage generated, as the last stage of its route.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastToken {
    pub(super) index: u32,
    pub(super) token: u32,
}

/// State of one request at this stage.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) entry: EntryKey,
    pub(super) route: Route,
    pub(super) pipeline: PipelineRoute,
    /// Index of this stage in the pipeline.
    pub(super) stage_index: usize,
    pub(super) step_gate: StepGate,
    pub(super) log: ActivationLog,
    /// Steps at the engine, in the order in which their outputs are expected.
    pub(super) running: VecDeque<RunningStep>,
    pub(super) last_token: Option<LastToken>,
    /// Last attempt whose route was sent to the next stage, with that attempt's first step.
    pub(super) sent_attempt: u32,
}

impl RequestState {
    pub(super) fn is_last_stage(&self) -> bool {
        self.stage_index + 1 == self.pipeline.stages().len()
    }

    pub(super) fn next_stage(&self) -> Option<&RouteStage> {
        self.pipeline.stages().get(self.stage_index + 1)
    }

    /// Returns the value of `resend` with which a repeated step passes through the whole pipeline
    /// and returns to this stage.
    pub(super) fn round_trip(&self) -> u32 {
        2 * self.pipeline.stages().len() as u32
    }

    /// Returns the index of the token generated from the position before `next_position`.
    pub(super) fn token_index_at(&self, next_position: u32) -> u32 {
        next_position.saturating_sub(self.route.prompt_len)
    }

    /// Returns whether this stage sends its output to the stage at `address`. The last stage sends
    /// its tokens to the first one.
    pub(super) fn sends_to(&self, address: &str) -> bool {
        let target = match self.next_stage() {
            Some(next) => &next.address,
            None => &self.pipeline.stages()[0].address,
        };
        target == address && self.pipeline.stages().len() > 1
    }

    pub(super) fn refusal(&self, id: RequestId, reason: RefusalReason, about: &str) -> GateAction {
        let refusal = link::Refusal {
            request: Some(id.into()),
            attempt: self.step_gate.attempt(),
            reason: reason.into(),
            about: about.to_owned(),
        };
        GateAction::to_entry(&self.entry, Body::Refusal(refusal))
    }

    /// Applies the route of a later attempt. A route of the current or an earlier attempt, or one
    /// without a stage at `own_address`, has no effect.
    pub(super) fn apply_route(&mut self, attempt: u32, route: &Route, own_address: &str) {
        let Ok(pipeline) = route.pipeline() else {
            return;
        };
        let Some(stage_index) = pipeline.position(own_address) else {
            return;
        };
        if self.step_gate.raise_attempt(attempt) {
            self.route = route.clone();
            self.pipeline = pipeline;
            self.stage_index = stage_index;
        }
    }

    /// Returns the output to send to the next stage now: the whole log if that stage joined in this
    /// attempt and was sent nothing yet, otherwise the last output. Returns `None` if there is no
    /// next stage or no output.
    pub(super) fn span_for_next(&self) -> Option<NextSpan> {
        let next = self.next_stage()?;
        let attempt = self.step_gate.attempt();
        let is_new_stage = next.joined_attempt == attempt && self.sent_attempt < attempt;
        let is_replay = is_new_stage && attempt > 1;
        if is_new_stage && self.log.is_truncated() {
            return Some(NextSpan::Truncated);
        }
        let span = if is_new_stage { self.log.full_output() } else { self.log.last_output() };
        span.map(|span| NextSpan::Send { span, is_replay })
    }
}

/// Output to send to the next stage.
#[derive(Debug)]
pub(super) enum NextSpan {
    /// A span of the log. It is a replay if it repeats output for a replacement of a lost stage.
    Send { span: ActivationSpan, is_replay: bool },
    /// The next stage needs output that the log no longer holds.
    Truncated,
}
