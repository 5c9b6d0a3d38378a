//! Layers dealt anew over replicas that keep their order.
//!
//! Each replica may take over from the one before it at any layer. `best[frontier]` is the least cost at
//! which the replicas so far cover all layers below `frontier`; the worst case is replicas × layers ×
//! most layers of one, about 20,000 steps for 13 replicas of 80 layers. The cost weighs loads against
//! the room for requests that is left, so that no replica is stretched further than its neighbours for
//! want of a few loads.

use crate::{
    fleet::LayerRange,
    placement::{LayerHolder, ModelShape, scarcity::scarcity},
};

/// What the tiling weighs, against loading one layer at 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct TilingCosts {
    /// Loading one layer.
    pub(super) load: f64,
    /// Giving up one layer: requests that use it must be moved first.
    pub(super) give_up: f64,
    /// Giving up the first layer: a request cannot leave the replica that took it, so the load waits
    /// for the longest of them.
    pub(super) first_layer: f64,
    /// Weight of scarce room, in MB: layers of which a replica has this much room each cost as much as
    /// loading them. A usual request holds 7 MB a layer, and a hundred run at once.
    pub(super) room: f64,
}

/// A gap is open: loads are waited for by callers.
pub(super) const URGENT: TilingCosts =
    TilingCosts { load: 1.0, give_up: 0.3, first_layer: 30.0, room: 400.0 };

/// Parts that cover the model, by the index of their holder; holders that are not needed have none.
/// Where the holders cannot cover everything, as much as they can from the first layer on is covered.
pub(super) fn tile(
    model: ModelShape,
    holders: &[LayerHolder],
    most: &[u32],
    costs: TilingCosts,
) -> Vec<(usize, LayerRange)> {
    let layers = model.layers as usize;
    let mut order: Vec<usize> =
        (0..holders.len()).filter(|index| holders[*index].range.is_some()).collect();
    order.sort_by_key(|index| holders[*index].range.map(|range| (range.from, range.to)));
    let mut best: Vec<Option<f64>> = vec![None; layers + 1];
    best[0] = Some(0.0);
    let mut taken = Vec::new();
    for index in &order {
        let extension = Extension { model, holder: &holders[*index], most: most[*index], costs };
        let (next, from) = extension.extend(&best);
        best = next;
        taken.push(from);
    }
    let reached = (0..=layers).rev().find(|frontier| best[*frontier].is_some());
    let mut frontier = reached.unwrap_or(0);
    let mut parts = Vec::new();
    for (index, from) in order.iter().zip(&taken).rev() {
        if let Some(start) = from[frontier] {
            let range = LayerRange { from: start as u32, to: frontier as u32 };
            parts.push((*index, range));
            frontier = start;
        }
    }
    parts
}

/// One replica that may extend the frontier.
struct Extension<'a> {
    model: ModelShape,
    holder: &'a LayerHolder,
    most: u32,
    costs: TilingCosts,
}

/// Costs by frontier, and where the replica begins to serve for each frontier that it extends.
type Extended = (Vec<Option<f64>>, Vec<Option<usize>>);

impl Extension<'_> {
    fn extend(&self, best: &[Option<f64>]) -> Extended {
        let mut next = best.to_vec();
        let mut from = vec![None; best.len()];
        for (start, cost) in best.iter().enumerate() {
            let Some(cost) = cost else { continue };
            let last = (start + self.most as usize).min(best.len() - 1);
            for end in start + 1..=last {
                let part = LayerRange { from: start as u32, to: end as u32 };
                let Some(added) = self.cost(part) else { break };
                let total = cost + added;
                if next[end].is_none_or(|known| total < known) {
                    next[end] = Some(total);
                    from[end] = Some(start);
                }
            }
        }
        (next, from)
    }

    /// Cost of serving a part; nothing where the replica may not.
    fn cost(&self, part: LayerRange) -> Option<f64> {
        let held = self.holder.range;
        let loads = (part.from..part.to)
            .filter(|layer| !held.is_some_and(|range| range.contains(*layer)))
            .count();
        if loads > 0 && !self.holder.can_order {
            return None;
        }
        let load = loads as f64 * self.costs.load;
        let scarcity = scarcity(self.holder.memory_mb, self.model.layer_mb, part.len());
        Some(load + scarcity * self.costs.room + self.give_up_cost(part))
    }

    fn give_up_cost(&self, part: LayerRange) -> f64 {
        let Some(range) = self.holder.range else { return 0.0 };
        let kept = wanted_range(range, part, self.most);
        let overlap = range.to.min(kept.to).saturating_sub(range.from.max(kept.from));
        let given_up = f64::from(range.len() - overlap) * self.costs.give_up;
        let first = range.from == 0 && kept.from > 0;
        given_up + if first { self.costs.first_layer } else { 0.0 }
    }
}

/// What a replica holds that takes `part` over: beside it as much of what it holds as `most` allows,
/// since others may still be loading what it gives up.
pub(super) fn wanted_range(held: LayerRange, part: LayerRange, most: u32) -> LayerRange {
    if held.to < part.from || part.to < held.from {
        return part;
    }
    let spare = most.saturating_sub(part.len());
    let left = part.from.saturating_sub(held.from).min(spare);
    let right = held.to.saturating_sub(part.to).min(spare - left);
    LayerRange { from: part.from - left, to: part.to + right }
}
