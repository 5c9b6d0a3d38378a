//! Lost runs of requests, and how strongly they suggest that the request caused the crash.

use crate::{Millis, instance::ReplicaInstance};

/// Time for which a run must produce events to count as a result, in milliseconds: ten times what a
/// replica took to crash after it started the request that crashed it.
pub const SURVIVAL_TIME: Millis = 1_000;

/// Age of a run up to which its loss is evidence although it produced events, in milliseconds.
const MAX_EVIDENCE_AGE: Millis = 400;

/// How strongly a lost run suggests that its request caused the crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// The run had not started, or had started recently and produced events.
    Weak,
    /// The run had started and produced nothing.
    Strong,
}

impl CrashEvidence {
    pub(super) fn weight(self) -> u32 {
        match self {
            Self::Weak => 1,
            Self::Strong => 2,
        }
    }
}

/// How far a run had got when it was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunProgress {
    /// The response is not streamed, and had not arrived.
    Unary,
    /// The response is a stream.
    Stream {
        /// When the first replica started to run the request; `None` if it had not.
        begun: Option<Millis>,
        /// Number of events received since then.
        events: u64,
    },
}

impl RunProgress {
    /// Returns the evidence that a run lost at `now` gives against its request, or `None` if it had
    /// produced events for too long.
    pub fn evidence(self, now: Millis) -> Option<CrashEvidence> {
        match self {
            Self::Unary | Self::Stream { begun: Some(_), events: 0 } => Some(CrashEvidence::Strong),
            Self::Stream { begun: None, .. } => Some(CrashEvidence::Weak),
            Self::Stream { begun: Some(begun), .. } => {
                (now.saturating_sub(begun) < MAX_EVIDENCE_AGE).then_some(CrashEvidence::Weak)
            }
        }
    }
}

/// A run that was lost in the crash of a replica. Times are by this relay's clock, which starts at
/// 0; they are negative for what other relays observed before that.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRun {
    /// The replica that crashed.
    pub instance: ReplicaInstance,
    /// When the request was sent there.
    pub sent: i64,
    /// When the run was lost.
    pub lost: i64,
    /// Evidence against the request.
    pub evidence: CrashEvidence,
}

/// A run that was lost, before it is known whether one of its replicas crashed.
#[derive(Clone, Debug)]
pub struct LostRun<'a> {
    /// Replicas of the path.
    pub instances: &'a [ReplicaInstance],
    /// When the request was sent.
    pub sent: Millis,
    /// How far the run had got.
    pub progress: RunProgress,
    /// How specific the request is among those that the run counts for: the position of a part in
    /// its prompt, and above all positions the request itself.
    pub depth: usize,
}

/// Returns the weight of the heaviest chain of runs in which each was sent after the one before was
/// lost. Expects the runs in the order of their losses.
pub(super) fn chain_weight(runs: &[CrashRun]) -> u32 {
    let mut best: Vec<u32> = Vec::with_capacity(runs.len());
    for run in runs {
        let before = runs.iter().zip(&best).filter(|(earlier, _)| earlier.lost <= run.sent);
        let heaviest = before.map(|(_, weight)| *weight).max().unwrap_or_default();
        best.push(heaviest + run.evidence.weight());
    }
    best.into_iter().max().unwrap_or_default()
}
