//! One request at its entry.

use std::collections::BTreeSet;

use switchfold_core::{Millis, assembly::CompletionAssembly, route::PipelineRoute};
use switchfold_proto::link;

use super::{
    DispatchConfig,
    submission::{Submission, Work},
};

/// A request that is not over.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) submission: Submission,
    pub(super) submitted: Millis,
    pub(super) phase: RequestPhase,
    pub(super) assembly: CompletionAssembly,
    /// Last attempt that was sent out; attempts of one request only grow.
    pub(super) attempt: u32,
    pub(super) last_progress: Millis,
    pub(super) retry_after: Millis,
}

/// Where a request stands.
#[derive(Debug)]
pub(super) enum RequestPhase {
    /// It never left the entry, or provably never ran.
    Queued,
    /// It was sent out.
    Running(RequestRun),
    /// It must not be repeated, and its agent is out of sight: it waits for word whether it ran.
    Settling(SettlingRun),
}

/// A request that was sent out.
#[derive(Clone, Debug)]
pub(super) struct RequestRun {
    /// Stages of a pipeline; nothing for a call.
    pub(super) pipeline: Option<PipelineRoute>,
    /// Processes of the stages, in order; one for a call.
    pub(super) processes: Vec<String>,
    /// Stages that are lost and not yet replaced.
    pub(super) missing: BTreeSet<usize>,
    /// Since when a stage is missing.
    pub(super) missing_since: Millis,
    /// First attempt of the present sequence of tokens.
    pub(super) lineage: u32,
    /// Times that the last steps were asked for again without progress.
    pub(super) nudges: u32,
}

/// A request that waits for word of a lost agent.
#[derive(Clone, Debug)]
pub(super) struct SettlingRun {
    pub(super) process: String,
    pub(super) incarnation: u64,
    pub(super) until: Millis,
    pub(super) asked: bool,
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
            retry_after: 0,
        }
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

    /// Stage that a process runs for this request, where it is in use.
    pub(super) fn stage_of(&self, process: &str) -> Option<usize> {
        let run = self.run()?;
        let stage = run.processes.iter().position(|name| name == process)?;
        (!run.missing.contains(&stage)).then_some(stage)
    }

    /// The route as a message.
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

    /// The start of the present attempt: the prompt and all tokens delivered so far.
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
