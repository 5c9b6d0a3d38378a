//! Closing gaps: layers that no replica of a group holds.

use crate::{
    fleet::LayerRange,
    placement::{
        Group, LayerHolder, PlacementReason, is_spare,
        tiling::{URGENT, tile, wanted_range},
    },
};

/// Gaps below so many layers are closed by neighbours: each loads two or three layers, in less time than
/// a whole replica takes, but has less room for requests then. Each is tried; the last one moves nobody.
const NARROW_GAPS: [u32; 4] = [1, 3, 5, u32::MAX];

impl Group<'_> {
    /// Closes gaps in the way that costs least: by moving spare replicas into them, by neighbours that
    /// take over from each other, or by both. Where each way leaves more layers unheld than there are, all stays: a group too
    /// small for the model would otherwise give up what others can still use.
    pub(super) fn close_gaps(&mut self) {
        if widest_gap(&self.counts()).is_none() {
            return;
        }
        let ways = NARROW_GAPS.into_iter().map(|narrow| {
            let mut way = self.clone();
            way.close_gaps_from(narrow);
            let cost = way.cost(&self.holders);
            (way, cost)
        });
        let stays = (self.clone(), self.cost(&self.holders));
        let best =
            std::iter::once(stays).chain(ways).min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((best, _)) = best {
            *self = best;
        }
    }

    /// Cost of a layout: layers that nobody holds, then the longest load, in layers, and the scarcity of
    /// room at the narrowest layer.
    fn cost(&self, before: &[LayerHolder]) -> f64 {
        const UNHELD_COST: f64 = 1_000.0;
        const LOAD_COST: f64 = 1.0;
        /// Room for one layer, in MB, that is worth a load of one layer more where it is all there is.
        const NARROW_COST: f64 = 5_000.0;
        let unheld = self.counts().iter().filter(|count| **count == 0).count();
        let loads = before.iter().zip(&self.holders).map(|(before, after)| {
            let held = before.range.unwrap_or_default();
            let range = after.range.unwrap_or_default();
            (range.from..range.to).filter(|layer| !held.contains(*layer)).count()
        });
        let longest = loads.max().unwrap_or(0);
        let narrowest = self.room_by_layer().into_iter().fold(f64::INFINITY, f64::min);
        unheld as f64 * UNHELD_COST + longest as f64 * LOAD_COST + NARROW_COST / narrowest.max(1.0)
    }

    /// Moves spare replicas into gaps of at least `narrow` layers, and deals the rest to neighbours.
    fn close_gaps_from(&mut self, narrow: u32) {
        while let Some(gap) = widest_gap(&self.counts()) {
            // What others are only about to hold is no reason to give layers up.
            let held = self.held_counts();
            if gap.len() < narrow || !self.move_into(gap, &held) {
                break;
            }
        }
        if widest_gap(&self.counts()).is_some() {
            self.retile();
        }
    }

    /// Deals the layers anew over all replicas, with the least cost.
    fn retile(&mut self) {
        for (index, part) in tile(self.model, &self.holders, &self.most(), URGENT) {
            self.take_over(index, part, PlacementReason::Gap);
        }
    }

    /// Most layers of each holder.
    pub(super) fn most(&self) -> Vec<u32> {
        self.holders.iter().map(|holder| self.most_layers(holder)).collect()
    }

    fn take_over(&mut self, index: usize, part: LayerRange, reason: PlacementReason) {
        let holder = &self.holders[index];
        let Some(range) = holder.range else { return };
        if range.from <= part.from && part.to <= range.to {
            return;
        }
        let wanted = wanted_range(range, part, self.most_layers(holder).max(part.len()));
        self.order(index, wanted, reason);
    }

    /// Moves a replica whose layers others hold too: the one that fits the gap best.
    fn move_into(&mut self, gap: LayerRange, counts: &[u32]) -> bool {
        let spare = (0..self.holders.len()).filter_map(|index| {
            let holder = &self.holders[index];
            let range = holder.range.filter(|range| !range.is_empty())?;
            let len = self.layers_at(holder, self.fill);
            let can_move = is_spare(range, counts) && holder.can_order && len > 0;
            can_move.then_some((index, len))
        });
        // Best: the one that fits. A much larger one would take more room from where it is than the gap
        // needs, and loads for long.
        let best = spare.min_by_key(|(_, len)| (len.abs_diff(gap.len()), *len));
        let Some((index, len)) = best else { return false };
        let from = gap.from.min(self.model.layers - len);
        self.order(index, LayerRange { from, to: from + len }, PlacementReason::Move);
        true
    }
}

/// Widest run of layers that nobody holds.
pub fn widest_gap(counts: &[u32]) -> Option<LayerRange> {
    let mut best: Option<LayerRange> = None;
    let mut start = None;
    for layer in 0..=counts.len() {
        let unheld = counts.get(layer).is_some_and(|count| *count == 0);
        match (unheld, start) {
            (true, None) => start = Some(layer),
            (false, Some(from)) => {
                let gap = LayerRange { from: from as u32, to: layer as u32 };
                if best.is_none_or(|best| gap.len() > best.len()) {
                    best = Some(gap);
                }
                start = None;
            }
            _ => {}
        }
    }
    best
}
