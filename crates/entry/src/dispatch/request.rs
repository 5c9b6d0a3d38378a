//! State of one request at its entry.

use std::collections::BTreeSet;

use switchfold_core::{Millis, assembly::CompletionAssembly, route::PipelineRoute};
use switchfold_proto::link;

use super::{
    DispatchConfig,
    submission::{Submission, Work},
};

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) submission: Submission,
    pub(super) submitted: Millis,
    pub(super) phase: RequestPhase,
    pub(super) assembly: CompletionAssembly,
    /// Last attempt that was sent out; 0 before the first one. It never decreases.
    pub(super) attempt: u32,
    /// Time of the last dispatch, delivery or recovery step.
    pub(super) last_progress: Millis,
    /// Time since then during which an agent of its stages was silent.
    pub(super) silent_time: Millis,
    /// Time that the caller should wait before a retry if the request ends as not run.
    pub(super) retry_after: Millis,
}

/// Phase of a request that has not ended.
#[derive(Debug)]
pub(super) enum RequestPhase {
    /// The request waits in the queue: it was not sent out yet, or certainly did not run.
    Queued,
    /// The request was sent out.
    Running(RequestRun),
    /// The request must not be repeated and the agent of its first stage is lost. The entry waits
    /// for the agent to return and say whether the request ran.
    Voiding(PendingVoid),
}

/// Stages that run a request.
#[derive(Clone, Debug)]
pub(super) struct RequestRun {
    /// Route through the stages of a model; `None` for a service call.
    pub(super) pipeline: Option<PipelineRoute>,
    /// Process names of the agents, by stage; a single one for a service call.
    pub(super) processes: Vec<String>,
    /// Indices of the stages that are lost and not yet replaced.
    pub(super) missing: BTreeSet<usize>,
    /// Time since which at least one stage is missing.
    pub(super) missing_since: Millis,
    /// First attempt that belongs to the current sequence of tokens. Attempts that only replaced
    /// stages continue the sequence; a restart begins a new one.
    pub(super) lineage: u32,
    /// Number of times the stages were asked to resend their last output since the last progress.
    pub(super) resend_requests: u32,
}

/// Void request to a lost agent, sent once the agent returns.
#[derive(Clone, Debug)]
pub(super) struct PendingVoid {
    /// Process name of the lost agent.
    pub(super) process: String,
    /// Incarnation of the lost agent; a later one has no record of the request.
    pub(super) incarnation: u64,
    /// Time at which the request ends as unknown.
    pub(super) deadline: Millis,
    /// Whether the void request was sent.
    pub(super) sent: bool,
}

impl RequestRecord {
    pub(super) fn new(submission: Submission, now: Millis) -> Self {
        let limit = match &submission.work {
            Work::Completion { max_tokens, .. } => *max_tokens,
            Work::Call { .. } => 0,
        };
        Self {
            submission,
            submitted: now,
            phase: RequestPhase::Queued,
            assembly: CompletionAssembly::new(limit),
            attempt: 0,
            last_progress: now,
            silent_time: 0,
            retry_after: 0,
        }
    }

    /// Records a dispatch, a delivery or a recovery step.
    pub(super) fn record_progress(&mut self, now: Millis) {
        self.last_progress = now;
        self.silent_time = 0;
    }

    pub(super) fn run(&self) -> Option<&RequestRun> {
        match &self.phase {
            RequestPhase::Running(run) => Some(run),
            _ => None,
        }
    }

    pub(super) fn run_mut(&mut self) -> Option<&mut RequestRun> {
        match &mut self.phase {
            RequestPhase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the index of the stage that `process` runs for this request, or `None` if it runs
    /// none or that stage is lost.
    pub(super) fn stage_of(&self, process: &str) -> Option<usize> {
        let run = self.run()?;
        let stage = run.processes.iter().position(|name| name == process)?;
        (!run.missing.contains(&stage)).then_some(stage)
    }

    /// Returns the current route, or `None` if no pipeline runs the request.
    pub(super) fn route(&self, config: &DispatchConfig) -> Option<link::Route> {
        let pipeline = self.run()?.pipeline.as_ref()?;
        let Work::Completion { prompt, max_tokens } = &self.submission.work else {
            return None;
        };
        Some(link::Route {
            model: self.submission.target.clone(),
            stages: pipeline.stages().iter().map(link::Stage::from).collect(),
            entry: config.process.clone(),
            entry_incarnation: config.incarnation,
            prompt_len: prompt.len() as u32,
            max_tokens: *max_tokens,
            priority: self.submission.priority.into(),
            once: self.submission.once,
            lineage: self.run()?.lineage,
        })
    }

    /// Returns the message that starts the current attempt at the first stage, with the prompt and
    /// all tokens delivered so far; `None` for a service call.
    pub(super) fn start(&self, config: &DispatchConfig) -> Option<link::Start> {
        let Work::Completion { prompt, .. } = &self.submission.work else {
            return None;
        };
        let delivered = self.assembly.delivered();
        let tokens = prompt.iter().chain(delivered).copied().collect();
        Some(link::Start {
            request: Some(self.submission.id.into()),
            attempt: self.attempt,
            route: self.route(config),
            tokens,
            index: delivered.len() as u32,
        })
    }
}
