//! Better layouts, by a seeded search.
//!
//! Before the first request loads cost next to nothing, so a whole group may change at once. The search
//! begins with the layout that is there. It changes one replica's layers, or moves the boundary between
//! two, keeps what is worth more, and at first also what is worth a little less.
//!
//! The worst case is [`SEARCH_STEPS`] weighings of a layout, fewer for large groups: 50 ms of a fast core
//! for 15 replicas, and half a second at an entry's part of a slow one. So nobody waits for it.

use switchfold_core::hash::hash_bytes;

use crate::{
    fleet::LayerRange,
    placement::{LayerHolder, ModelShape, capacity::LayoutMeter},
};

/// Weighings of a layout, for groups of up to [`USUAL_GROUP`] replicas.
const SEARCH_STEPS: usize = 20_000;

/// Replicas of a usual group; a larger one gets fewer steps, so that its search takes as long. One
/// weighing takes time in proportion to the cube of the replicas.
const USUAL_GROUP: usize = 16;

/// Loss of worth that is accepted at the first step; it falls to nothing at the last.
const FIRST_SLACK: f64 = 0.02;

/// Most layers by which a boundary moves at once.
const MOST_SHIFT: u64 = 6;

/// Improves the layout of replicas that may all be ordered; `most` tells how many layers each may hold.
pub(super) fn improve_layout(holders: &mut [LayerHolder], model: ModelShape, most: &[u32]) {
    let mut draws = DrawSequence::default();
    let able: Vec<usize> = (0..holders.len()).filter(|index| most[*index] > 0).collect();
    let mut meter = LayoutMeter::new(holders, model);
    let mut worth = meter.worth(holders);
    let mut best = (worth, holders.to_vec());
    let steps = if able.is_empty() { 0 } else { search_steps(holders.len()) };
    for step in 0..steps {
        let slack = FIRST_SLACK * (1.0 - step as f64 / steps as f64).powi(2);
        let pair = [able[draws.index(able.len())], able[draws.index(able.len())]];
        let before = change(holders, model, most, pair, &mut draws);
        let Some(changed) = meter.worth_above(holders, worth * (1.0 - slack)) else {
            before.into_iter().for_each(|(index, range)| holders[index].range = range);
            continue;
        };
        worth = changed;
        if worth > best.0 {
            best = (worth, holders.to_vec());
        }
    }
    holders.clone_from_slice(&best.1);
}

/// Weighings that a group of so many replicas gets, for one decision.
pub(super) fn search_steps(replicas: usize) -> usize {
    let larger = (replicas as f64 / USUAL_GROUP as f64).max(1.0);
    (SEARCH_STEPS as f64 / larger.powi(3)) as usize
}

/// Layers for one replica, and what the layout is worth with them.
#[derive(Clone, Copy, Debug)]
pub(super) struct BestPlace {
    pub(super) range: LayerRange,
    pub(super) worth: f64,
}

/// What layers are looked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceWish {
    /// Most layers that the replica may hold.
    pub(super) most: u32,
    /// Worth of a layout that is to be surpassed.
    pub(super) least: f64,
    /// Weighings that are allowed.
    pub(super) steps: usize,
}

/// Finds the layers that one replica helps most with, while the others keep theirs. Tried are ranges of
/// every length that begin or end where another's does.
pub(super) fn best_place(
    holders: &mut [LayerHolder],
    meter: &mut LayoutMeter,
    model: ModelShape,
    index: usize,
    wish: PlaceWish,
) -> Option<BestPlace> {
    let before = holders[index].range;
    let candidates = candidates(holders, model, wish.most.min(model.layers));
    let skip = candidates.len().div_ceil(wish.steps.max(1));
    let mut best: Option<BestPlace> = None;
    for range in candidates.into_iter().step_by(skip.max(1)) {
        holders[index].range = Some(range);
        let least = best.map_or(wish.least, |best| best.worth);
        if let Some(worth) = meter.worth_above(holders, least) {
            best = Some(BestPlace { range, worth });
        }
    }
    holders[index].range = before;
    best
}

fn candidates(holders: &[LayerHolder], model: ModelShape, most: u32) -> Vec<LayerRange> {
    let ranges = || holders.iter().filter_map(|holder| holder.range);
    let mut bounds: Vec<u32> = ranges().flat_map(|range| [range.from, range.to]).collect();
    bounds.extend([0, model.layers]);
    bounds.sort_unstable();
    bounds.dedup();
    let mut found = Vec::new();
    for len in (1..=most).rev() {
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

/// Ranges before a change, by index.
type Undo = Vec<(usize, Option<LayerRange>)>;

/// Changes the layers of the first of two replicas, or of both.
fn change(
    holders: &mut [LayerHolder],
    model: ModelShape,
    most: &[u32],
    [index, other]: [usize; 2],
    draws: &mut DrawSequence,
) -> Undo {
    let range = holders[index].range.unwrap_or_default();
    let undo = vec![(index, holders[index].range)];
    let shift = 1 + draws.below(MOST_SHIFT) as u32;
    let most_here = most[index].min(model.layers);
    let changed = match draws.below(6) {
        0 => anywhere(model, 1 + draws.below(u64::from(most_here)) as u32, draws),
        1 => return move_bound(holders, model, most, index, shifted(range.to, shift, draws), undo),
        2 => {
            let len = range.len().clamp(1, most_here);
            let from = shifted(range.from, shift, draws).min(model.layers - len);
            LayerRange { from, to: from + len }
        }
        3 => resized(range, model, shift, draws),
        4 => anywhere(model, range.len().clamp(1, most_here), draws),
        _ => return swap(holders, model, most, [index, other], undo),
    };
    if !changed.is_empty() && changed.len() <= most_here {
        holders[index].range = Some(changed);
    }
    undo
}

/// A place for `len` layers.
fn anywhere(model: ModelShape, len: u32, draws: &mut DrawSequence) -> LayerRange {
    let from = draws.below(u64::from(model.layers - len) + 1) as u32;
    LayerRange { from, to: from + len }
}

/// A boundary moved by `shift` to either side.
fn shifted(bound: u32, shift: u32, draws: &mut DrawSequence) -> u32 {
    match draws.below(2) == 0 {
        true => bound + shift,
        false => bound.saturating_sub(shift),
    }
}

/// A range that is longer or shorter by `shift` at one side.
fn resized(
    range: LayerRange,
    model: ModelShape,
    shift: u32,
    draws: &mut DrawSequence,
) -> LayerRange {
    let LayerRange { from, to } = range;
    match draws.below(4) {
        0 => LayerRange { from: from.saturating_sub(shift), to },
        1 => LayerRange { from: (from + shift).min(to.saturating_sub(1)), to },
        2 => LayerRange { from, to: (to + shift).min(model.layers) },
        _ => LayerRange { from, to: to.saturating_sub(shift).max(from + 1) },
    }
}

/// Lets two replicas change places, each with as many layers as it may hold.
fn swap(
    holders: &mut [LayerHolder],
    model: ModelShape,
    most: &[u32],
    [index, other]: [usize; 2],
    mut undo: Undo,
) -> Undo {
    let fit = |range: LayerRange, most: u32| LayerRange {
        from: range.from,
        to: range.to.min(range.from + most.min(model.layers)),
    };
    let (mine, theirs) = (holders[index].range, holders[other].range);
    undo.push((other, theirs));
    holders[index].range = Some(fit(theirs.unwrap_or_default(), most[index]));
    holders[other].range = Some(fit(mine.unwrap_or_default(), most[other]));
    undo
}

/// Moves the end of a replica's range, and with it the beginning of those that begin there.
fn move_bound(
    holders: &mut [LayerHolder],
    model: ModelShape,
    most: &[u32],
    index: usize,
    to: u32,
    mut undo: Undo,
) -> Undo {
    let range = holders[index].range.unwrap_or_default();
    let last = (range.from + most[index]).min(model.layers);
    let to = to.clamp(range.from + 1, last.max(range.from + 1)).min(model.layers);
    for next in 0..holders.len() {
        let Some(other) = holders[next].range else { continue };
        let fits = to < other.to && other.to - to <= most[next];
        if next != index && other.from == range.to && fits {
            undo.push((next, Some(other)));
            holders[next].range = Some(LayerRange { from: to, to: other.to });
        }
    }
    holders[index].range = Some(LayerRange { from: range.from, to });
    undo
}

/// Draws that are the same at every relay.
#[derive(Default)]
struct DrawSequence {
    count: u64,
}

impl DrawSequence {
    /// An index of so many.
    fn index(&mut self, count: usize) -> usize {
        self.below(count as u64) as usize
    }

    /// A whole number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.count += 1;
        hash_bytes(self.count, b"layout") % bound.max(1)
    }
}
