//! Load balancing: choice of a replica for each stage of a request.
//!
//! The maximum flow over replicas and links ([`flow`](crate::flow)) gives the share of the work
//! that each replica can handle. [`PathPolicy::FlowCorrected`] draws two replicas by those shares
//! and takes the one with less work relative to its share. Drawing at random matters: if many
//! entries all took the least loaded replica according to the same stale reports, they would
//! overload it.
//!
//! The other policies are baselines for measurements. Each choice is linear in the candidates of
//! one stage.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Policy by which a replica is chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PathPolicy {
    /// Uniformly at random.
    Random,
    /// Each replica in turn.
    RoundRobin,
    /// The replica with the fewest outstanding requests.
    LeastOutstanding,
    /// Of two random replicas, the one with fewer outstanding requests.
    TwoChoices,
    /// At random, weighted by the share of the maximum flow.
    FlowWeights,
    /// Of two replicas drawn by their share of the maximum flow, the one with fewer outstanding
    /// requests relative to its share.
    #[default]
    FlowCorrected,
}

/// All policies, for benchmarks and comparisons.
pub const POLICIES: [PathPolicy; 6] = [
    PathPolicy::Random,
    PathPolicy::RoundRobin,
    PathPolicy::LeastOutstanding,
    PathPolicy::TwoChoices,
    PathPolicy::FlowWeights,
    PathPolicy::FlowCorrected,
];

/// A replica that can run the stage, as the entry knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathCandidate {
    /// Share of the maximum flow, not negative.
    pub weight: f64,
    /// Requests in flight at the replica: as last reported, plus those sent since.
    pub outstanding: u32,
    /// Free slots: further requests that may be sent now.
    pub free: u32,
}

/// State that the rotating policies keep between choices.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathCursor {
    turn: usize,
}

/// Returns the index of the chosen candidate, or `None` if no candidate has a free slot.
pub fn choose_replica(
    policy: PathPolicy,
    candidates: &[PathCandidate],
    cursor: &mut PathCursor,
    random: &mut impl Rng,
) -> Option<usize> {
    let free: Vec<usize> = (0..candidates.len()).filter(|i| candidates[*i].free > 0).collect();
    if free.is_empty() {
        return None;
    }
    let draw = |random: &mut dyn FnMut(usize) -> usize| free[random(free.len())];
    let mut pick = |len: usize| random.random_range(0..len);
    let chosen = match policy {
        PathPolicy::Random => draw(&mut pick),
        PathPolicy::RoundRobin => {
            cursor.turn += 1;
            free[cursor.turn % free.len()]
        }
        PathPolicy::LeastOutstanding => {
            cursor.turn += 1;
            let start = cursor.turn % free.len();
            let order = free[start..].iter().chain(&free[..start]);
            *order.min_by_key(|i| candidates[**i].outstanding)?
        }
        PathPolicy::TwoChoices => {
            let (left, right) = (draw(&mut pick), draw(&mut pick));
            less_loaded(left, right, |i| f64::from(candidates[i].outstanding))
        }
        PathPolicy::FlowWeights => sample_weighted(&free, candidates, random.random()),
        PathPolicy::FlowCorrected => {
            let left = sample_weighted(&free, candidates, random.random());
            let right = sample_weighted(&free, candidates, random.random());
            less_loaded(left, right, |i| relative_load(&candidates[i]))
        }
    };
    Some(chosen)
}

/// Returns the candidate with the lower load, or `left` if the loads are equal.
fn less_loaded(left: usize, right: usize, load_of: impl Fn(usize) -> f64) -> usize {
    if load_of(right) < load_of(left) { right } else { left }
}

/// Returns the outstanding requests, including the new one, relative to the replica's share.
fn relative_load(candidate: &PathCandidate) -> f64 {
    f64::from(candidate.outstanding + 1) / candidate.weight.max(f64::MIN_POSITIVE)
}

/// Returns the candidate that `point` in `[0, 1)` selects by weight, or uniformly if all weights
/// are 0.
fn sample_weighted(free: &[usize], candidates: &[PathCandidate], point: f64) -> usize {
    let total: f64 = free.iter().map(|i| candidates[*i].weight).sum();
    if total <= 0.0 {
        let index = (point * free.len() as f64) as usize;
        return free[index.min(free.len() - 1)];
    }
    let mut rest = point * total;
    for i in free {
        rest -= candidates[*i].weight;
        if rest < 0.0 {
            return *i;
        }
    }
    free[free.len() - 1]
}
