//! Runs of requests that were lost, and how much they say of their requests.

use crate::{Millis, instance::ReplicaInstance};

/// Time that a run must go on with events to count as a result, in milliseconds: ten times what a replica took to end
/// after it had begun the request that ended it.
pub const SURVIVAL_TIME: Millis = 1_000;

/// Time from its beginning up to which a run that gave something is still a evidence, in milliseconds.
const YOUNG: Millis = 400;

/// How much a lost run says of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// It had not begun, or had begun and given something.
    Weak,
    /// It had begun and given nothing.
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

/// What had come of a run when it was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunProgress {
    /// Its answer comes as a whole, and had not come.
    Unary,
    /// Its answer is a stream, which began at that time and had given so many events.
    Stream {
        /// When its first replica began to run it; nothing where it had not.
        begun: Option<Millis>,
        /// Events since.
        events: u64,
    },
}

impl RunProgress {
    /// What a run lost at `now` says of its request; nothing where it had gone on for long.
    pub fn evidence(self, now: Millis) -> Option<CrashEvidence> {
        match self {
            Self::Unary | Self::Stream { begun: Some(_), events: 0 } => Some(CrashEvidence::Strong),
            Self::Stream { begun: None, .. } => Some(CrashEvidence::Weak),
            Self::Stream { begun: Some(begun), .. } => {
                (now.saturating_sub(begun) < YOUNG).then_some(CrashEvidence::Weak)
            }
        }
    }
}

/// A run that was lost, and its replica with it. Times are by the own clock, which begins at 0: what others saw may lie
/// before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRun {
    /// The replica's life that ended.
    pub instance: ReplicaInstance,
    /// When the request was sent there.
    pub sent: i64,
    /// When the run was lost.
    pub lost: i64,
    /// What it says of the request.
    pub evidence: CrashEvidence,
}

/// A run that was lost, whose replicas may turn out to have ended.
#[derive(Clone, Debug)]
pub struct LostRun<'a> {
    /// Replicas of its path.
    pub instances: &'a [ReplicaInstance],
    /// When it was sent.
    pub sent: Millis,
    /// What had come of it.
    pub progress: RunProgress,
}

/// Weight of the heaviest series of runs in which each was sent after the one before was lost. Runs are in order of their
/// losses.
pub(super) fn chain_weight(runs: &[CrashRun]) -> u32 {
    let mut best: Vec<u32> = Vec::with_capacity(runs.len());
    for run in runs {
        let before = runs.iter().zip(&best).filter(|(earlier, _)| earlier.lost <= run.sent);
        let heaviest = before.map(|(_, weight)| *weight).max().unwrap_or_default();
        best.push(heaviest + run.evidence.weight());
    }
    best.into_iter().max().unwrap_or_default()
}
