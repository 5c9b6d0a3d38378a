//! Closes gaps: runs of layers that no replica of a group holds.

use crate::{
    fleet::LayerRange,
    placement::{
        GroupPlan, LayerHolder, PlacementReason, is_redundant,
        tiling::{URGENT, extended_range, tile},
    },
};

/// Gap widths, in layers, below which neighbours close a gap: each loads two or three layers, in
/// less time than one replica takes for the whole gap, but then has less memory for requests. Each
/// threshold is tried; with the last one no replica is moved.
const MIN_MOVE_GAPS: [u32; 4] = [1, 3, 5, u32::MAX];

impl GroupPlan<'_> {
    /// Closes gaps in the cheapest way: by moving redundant replicas into them, by letting
    /// neighbours take over layers from each other, or by both. If every way leaves more layers
    /// unheld than there are now, nothing changes: a group too small for the model would otherwise
    /// unload layers that can still be used.
    pub(super) fn close_gaps(&mut self) {
        if widest_gap(&self.planned_counts()).is_none() {
            return;
        }
        let options = MIN_MOVE_GAPS.into_iter().map(|min_move_gap| {
            let mut option = self.clone();
            option.close_gaps_from(min_move_gap);
            let cost = option.cost(&self.holders);
            (option, cost)
        });
        let unchanged = (self.clone(), self.cost(&self.holders));
        let best = std::iter::once(unchanged)
            .chain(options)
            .min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((best, _)) = best {
            *self = best;
        }
    }

    /// Returns the cost of a layout: the number of unheld layers, then the longest load, in layers,
    /// and the scarcity of memory at the layer that has least of it.
    fn cost(&self, before: &[LayerHolder]) -> f64 {
        const UNHELD_COST: f64 = 1_000.0;
        const LOAD_COST: f64 = 1.0;
        /// Cost of a layer that has only 1 MB for requests; at a layer that has this many MB, it
        /// equals the cost of loading one more layer.
        const SCARCITY_COST: f64 = 5_000.0;
        let unheld = self.planned_counts().iter().filter(|count| **count == 0).count();
        let loads = before.iter().zip(&self.holders).map(|(before, after)| {
            let held = before.range.unwrap_or_default();
            let range = after.range.unwrap_or_default();
            (range.from..range.to).filter(|layer| !held.contains(*layer)).count()
        });
        let longest = loads.max().unwrap_or(0);
        let least_free_mb = self.free_mb_by_layer().into_iter().fold(f64::INFINITY, f64::min);
        unheld as f64 * UNHELD_COST
            + longest as f64 * LOAD_COST
            + SCARCITY_COST / least_free_mb.max(1.0)
    }

    /// Moves redundant replicas into gaps of at least `min_move_gap` layers, and closes the rest by
    /// neighbours.
    fn close_gaps_from(&mut self, min_move_gap: u32) {
        while let Some(gap) = widest_gap(&self.planned_counts()) {
            // Layers that others have been ordered to load but do not hold yet must not be unloaded
            // here.
            let held = self.held_counts();
            if gap.len() < min_move_gap || !self.move_into(gap, &held) {
                break;
            }
        }
        if widest_gap(&self.planned_counts()).is_some() {
            self.retile();
        }
    }

    /// Reassigns the layers over all replicas at the least cost.
    fn retile(&mut self) {
        for (index, range) in tile(self.model, &self.holders, &self.max_layers_by_holder(), URGENT)
        {
            self.extend_to(index, range, PlacementReason::Gap);
        }
    }

    /// Returns the maximum number of layers of each holder.
    pub(super) fn max_layers_by_holder(&self) -> Vec<u32> {
        self.holders.iter().map(|holder| self.max_layers(holder)).collect()
    }

    /// Orders a replica to hold `served` too, unless it does already.
    fn extend_to(&mut self, index: usize, served: LayerRange, reason: PlacementReason) {
        let holder = &self.holders[index];
        let Some(range) = holder.range else { return };
        if range.from <= served.from && served.to <= range.to {
            return;
        }
        let extended = extended_range(range, served, self.max_layers(holder).max(served.len()));
        self.order(index, extended, reason);
    }

    /// Moves a redundant replica into a gap; returns whether there was one.
    fn move_into(&mut self, gap: LayerRange, counts: &[u32]) -> bool {
        let movable = (0..self.holders.len()).filter_map(|index| {
            let holder = &self.holders[index];
            let range = holder.range.filter(|range| !range.is_empty())?;
            let len = self.layers_at(holder, self.fill);
            let can_move = is_redundant(range, counts) && holder.can_order && len > 0;
            can_move.then_some((index, len))
        });
        // The closest fit: a much larger replica would free more memory where it is than the gap
        // needs, and would load for longer.
        let best = movable.min_by_key(|(_, len)| (len.abs_diff(gap.len()), *len));
        let Some((index, len)) = best else { return false };
        let from = gap.from.min(self.model.layers - len);
        self.order(index, LayerRange { from, to: from + len }, PlacementReason::Move);
        true
    }
}

/// Returns the longest run of layers that no replica holds, where `counts` is the number of holders
/// of each layer; the first one of equal length, `None` if every layer is held.
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
