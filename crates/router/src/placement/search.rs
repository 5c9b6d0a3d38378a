//! Improves layouts by a seeded random search.
//!
//! Before the first request loads cost next to nothing, so a whole group may change at once. The
//! search is a threshold-accepting local search that begins with the present layout. Each step
//! changes the layers of one replica, or moves the boundary between two; a change is kept if the
//! layout scores higher, and at first also if it scores slightly lower.
//!
//! The worst case is [`SEARCH_STEPS`] evaluations of a layout, fewer for large groups: 50 ms of a
//! fast core for 15 replicas, and half a second of a relay's share of a slow one. No request waits
//! for it.

use switchfold_core::hash::hash_bytes;

use crate::{
    fleet::LayerRange,
    placement::{LayerHolder, ModelShape, capacity::LayoutScorer},
};

/// Evaluations of a layout in one search, for groups of up to [`TYPICAL_GROUP_SIZE`] replicas.
const SEARCH_STEPS: usize = 20_000;

/// Replicas of a usual group. A larger group gets fewer steps, so that its search takes as long:
/// the time of one evaluation grows with the cube of the number of replicas.
const TYPICAL_GROUP_SIZE: usize = 16;

/// Fraction of the score that a change may lose at the first step; it falls to zero at the last.
const INITIAL_SLACK: f64 = 0.02;

/// Maximum number of layers by which a boundary moves in one step.
const MAX_SHIFT: u64 = 6;

/// Improves the layout of a group whose replicas all accept orders. `max_layers` holds the maximum
/// number of layers of each replica.
pub(super) fn improve_layout(holders: &mut [LayerHolder], model: ModelShape, max_layers: &[u32]) {
    let mut random = DrawSequence::default();
    let usable: Vec<usize> = (0..holders.len()).filter(|index| max_layers[*index] > 0).collect();
    let mut scorer = LayoutScorer::new(holders, model);
    let mut score = scorer.score(holders);
    let mut best = (score, holders.to_vec());
    let steps = if usable.is_empty() { 0 } else { search_steps(holders.len()) };
    for step in 0..steps {
        let slack = INITIAL_SLACK * (1.0 - step as f64 / steps as f64).powi(2);
        let pair = [usable[random.index(usable.len())], usable[random.index(usable.len())]];
        let undo = change(holders, model, max_layers, pair, &mut random);
        let Some(changed) = scorer.score_above(holders, score * (1.0 - slack)) else {
            undo.into_iter().for_each(|(index, range)| holders[index].range = range);
            continue;
        };
        score = changed;
        if score > best.0 {
            best = (score, holders.to_vec());
        }
    }
    holders.clone_from_slice(&best.1);
}

/// Returns the number of evaluations that one decision for a group of `replicas` replicas may take.
pub(super) fn search_steps(replicas: usize) -> usize {
    let ratio = (replicas as f64 / TYPICAL_GROUP_SIZE as f64).max(1.0);
    (SEARCH_STEPS as f64 / ratio.powi(3)) as usize
}

/// Layers for one replica, and the score of the layout with them.
#[derive(Clone, Copy, Debug)]
pub(super) struct BestRange {
    pub(super) range: LayerRange,
    pub(super) score: f64,
}

/// Bounds of a search for the layers of one replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct RangeQuery {
    /// Maximum number of layers that the replica may hold.
    pub(super) max_layers: u32,
    /// Score that the layout must exceed.
    pub(super) min_score: f64,
    /// Maximum number of evaluations.
    pub(super) steps: usize,
}

/// Returns the layers of one replica that give the best layout while the others keep theirs. The
/// candidates are ranges of every length that begin or end at a boundary of another replica's
/// range.
pub(super) fn best_range(
    holders: &mut [LayerHolder],
    scorer: &mut LayoutScorer,
    model: ModelShape,
    index: usize,
    query: RangeQuery,
) -> Option<BestRange> {
    let before = holders[index].range;
    let candidates = candidates(holders, model, query.max_layers.min(model.layers));
    let stride = candidates.len().div_ceil(query.steps.max(1));
    let mut best: Option<BestRange> = None;
    for range in candidates.into_iter().step_by(stride.max(1)) {
        holders[index].range = Some(range);
        let min_score = best.map_or(query.min_score, |best| best.score);
        if let Some(score) = scorer.score_above(holders, min_score) {
            best = Some(BestRange { range, score });
        }
    }
    holders[index].range = before;
    best
}

fn candidates(holders: &[LayerHolder], model: ModelShape, max_layers: u32) -> Vec<LayerRange> {
    let ranges = || holders.iter().filter_map(|holder| holder.range);
    let mut bounds: Vec<u32> = ranges().flat_map(|range| [range.from, range.to]).collect();
    bounds.extend([0, model.layers]);
    bounds.sort_unstable();
    bounds.dedup();
    let mut found = Vec::new();
    for len in (1..=max_layers).rev() {
        for bound in &bounds {
            let begins = LayerRange { from: *bound, to: bound + len };
            let ends = LayerRange { from: bound.saturating_sub(len), to: *bound };
            found.extend(
                [begins, ends]
                    .into_iter()
                    .filter(|range| range.len() == len && range.to <= model.layers),
            );
        }
    }
    found.sort_unstable();
    found.dedup();
    found
}

/// Ranges before a change, by the index of the replica.
type UndoList = Vec<(usize, Option<LayerRange>)>;

/// Changes the layers of the first of two replicas, or of both; returns how to undo it.
fn change(
    holders: &mut [LayerHolder],
    model: ModelShape,
    max_layers: &[u32],
    [index, other]: [usize; 2],
    random: &mut DrawSequence,
) -> UndoList {
    let range = holders[index].range.unwrap_or_default();
    let undo = vec![(index, holders[index].range)];
    let shift = 1 + random.below(MAX_SHIFT) as u32;
    let own_max = max_layers[index].min(model.layers);
    let changed = match random.below(6) {
        0 => random_range(model, 1 + random.below(u64::from(own_max)) as u32, random),
        1 => {
            return move_bound(
                holders,
                model,
                max_layers,
                index,
                shifted(range.to, shift, random),
                undo,
            );
        }
        2 => {
            let len = range.len().clamp(1, own_max);
            let from = shifted(range.from, shift, random).min(model.layers - len);
            LayerRange { from, to: from + len }
        }
        3 => resized(range, model, shift, random),
        4 => random_range(model, range.len().clamp(1, own_max), random),
        _ => return swap(holders, model, max_layers, [index, other], undo),
    };
    if !changed.is_empty() && changed.len() <= own_max {
        holders[index].range = Some(changed);
    }
    undo
}

/// Returns a random range of `len` layers.
fn random_range(model: ModelShape, len: u32, random: &mut DrawSequence) -> LayerRange {
    let from = random.below(u64::from(model.layers - len) + 1) as u32;
    LayerRange { from, to: from + len }
}

/// Returns a boundary moved by `shift` layers in a random direction.
fn shifted(bound: u32, shift: u32, random: &mut DrawSequence) -> u32 {
    match random.below(2) == 0 {
        true => bound + shift,
        false => bound.saturating_sub(shift),
    }
}

/// Returns a range that is longer or shorter by up to `shift` layers at one end.
fn resized(
    range: LayerRange,
    model: ModelShape,
    shift: u32,
    random: &mut DrawSequence,
) -> LayerRange {
    let LayerRange { from, to } = range;
    match random.below(4) {
        0 => LayerRange { from: from.saturating_sub(shift), to },
        1 => LayerRange { from: (from + shift).min(to.saturating_sub(1)), to },
        2 => LayerRange { from, to: (to + shift).min(model.layers) },
        _ => LayerRange { from, to: to.saturating_sub(shift).max(from + 1) },
    }
}

/// Swaps the ranges of two replicas, each cut to the number of layers that the replica may hold.
fn swap(
    holders: &mut [LayerHolder],
    model: ModelShape,
    max_layers: &[u32],
    [index, other]: [usize; 2],
    mut undo: UndoList,
) -> UndoList {
    let fit = |range: LayerRange, max_layers: u32| LayerRange {
        from: range.from,
        to: range.to.min(range.from + max_layers.min(model.layers)),
    };
    let (range, other_range) = (holders[index].range, holders[other].range);
    undo.push((other, other_range));
    holders[index].range = Some(fit(other_range.unwrap_or_default(), max_layers[index]));
    holders[other].range = Some(fit(range.unwrap_or_default(), max_layers[other]));
    undo
}

/// Moves the end of a replica's range to `to`, and with it the beginning of the ranges that begin
/// there.
fn move_bound(
    holders: &mut [LayerHolder],
    model: ModelShape,
    max_layers: &[u32],
    index: usize,
    to: u32,
    mut undo: UndoList,
) -> UndoList {
    let range = holders[index].range.unwrap_or_default();
    let last = (range.from + max_layers[index]).min(model.layers);
    let to = to.clamp(range.from + 1, last.max(range.from + 1)).min(model.layers);
    for next in 0..holders.len() {
        let Some(other) = holders[next].range else { continue };
        let fits = to < other.to && other.to - to <= max_layers[next];
        if next != index && other.from == range.to && fits {
            undo.push((next, Some(other)));
            holders[next].range = Some(LayerRange { from: to, to: other.to });
        }
    }
    holders[index].range = Some(LayerRange { from: range.from, to });
    undo
}

/// Pseudo-random numbers that are the same at every relay, so that all compute the same layout.
#[derive(Default)]
struct DrawSequence {
    count: u64,
}

impl DrawSequence {
    /// Returns an index below `count`.
    fn index(&mut self, count: usize) -> usize {
        self.below(count as u64) as usize
    }

    /// Returns an integer below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.count += 1;
        hash_bytes(self.count, b"layout") % bound.max(1)
    }
}
