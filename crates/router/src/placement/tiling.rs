//! Reassigns all layers over replicas that keep their order.
//!
//! Replicas are ordered by their present layers; each may take over from the one before it at any
//! layer. `best[frontier]` is the least cost at which the replicas so far cover all layers below
//! `frontier`. The worst case is replicas × layers × maximum layers of one replica, about 20,000
//! steps for 13 replicas of 80 layers. The cost weighs layer loads against the remaining memory for
//! requests, so that no replica takes many more layers than its neighbours just to save a few
//! loads.

use crate::{
    fleet::LayerRange,
    placement::{LayerHolder, ModelShape, scarcity::scarcity},
};

/// Weights of the cost function, relative to loading one layer at 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct TilingCosts {
    /// Loading one layer.
    pub(super) load: f64,
    /// Unloading one layer: requests that use it must be moved first.
    pub(super) unload: f64,
    /// Unloading the first layer: a request cannot leave the replica that it began at, so the load
    /// waits for the longest of them.
    pub(super) unload_first: f64,
    /// Weight of scarce memory, in MB: at a replica with this much free memory for each layer, one
    /// layer costs as much as loading it. A usual request holds 7 MB for each layer, and a hundred
    /// run at once.
    pub(super) scarcity_mb: f64,
}

/// Costs while layers are unheld and requests wait for the loads.
pub(super) const URGENT: TilingCosts =
    TilingCosts { load: 1.0, unload: 0.3, unload_first: 30.0, scarcity_mb: 400.0 };

/// Returns ranges that cover the model, by the index of their holder; holders that are not needed
/// have none. If the holders cannot cover everything, the longest reachable prefix of the layers is
/// covered.
pub(super) fn tile(
    model: ModelShape,
    holders: &[LayerHolder],
    max_layers: &[u32],
    costs: TilingCosts,
) -> Vec<(usize, LayerRange)> {
    let layers = model.layers as usize;
    let mut order: Vec<usize> =
        (0..holders.len()).filter(|index| holders[*index].range.is_some()).collect();
    order.sort_by_key(|index| holders[*index].range.map(|range| (range.from, range.to)));
    let mut best: Vec<Option<f64>> = vec![None; layers + 1];
    best[0] = Some(0.0);
    let mut starts_by_holder = Vec::new();
    for index in &order {
        let extension =
            Extension { model, holder: &holders[*index], max_layers: max_layers[*index], costs };
        let (next, starts) = extension.extend(&best);
        best = next;
        starts_by_holder.push(starts);
    }
    let reached = (0..=layers).rev().find(|frontier| best[*frontier].is_some());
    let mut frontier = reached.unwrap_or(0);
    let mut ranges = Vec::new();
    for (index, starts) in order.iter().zip(&starts_by_holder).rev() {
        if let Some(start) = starts[frontier] {
            let range = LayerRange { from: start as u32, to: frontier as u32 };
            ranges.push((*index, range));
            frontier = start;
        }
    }
    ranges
}

/// One step of the dynamic program: a replica that may extend the frontier.
struct Extension<'a> {
    model: ModelShape,
    holder: &'a LayerHolder,
    max_layers: u32,
    costs: TilingCosts,
}

/// Costs by frontier, and for each frontier that the replica extends the first layer that it then
/// serves.
type ExtendedCosts = (Vec<Option<f64>>, Vec<Option<usize>>);

impl Extension<'_> {
    fn extend(&self, best: &[Option<f64>]) -> ExtendedCosts {
        let mut next = best.to_vec();
        let mut starts = vec![None; best.len()];
        for (start, cost) in best.iter().enumerate() {
            let Some(cost) = cost else { continue };
            let last = (start + self.max_layers as usize).min(best.len() - 1);
            for end in start + 1..=last {
                let range = LayerRange { from: start as u32, to: end as u32 };
                let Some(added) = self.cost(range) else { break };
                let total = cost + added;
                if next[end].is_none_or(|known| total < known) {
                    next[end] = Some(total);
                    starts[end] = Some(start);
                }
            }
        }
        (next, starts)
    }

    /// Returns the cost of serving `range`, or `None` if the replica would have to load layers and
    /// accepts no order.
    fn cost(&self, range: LayerRange) -> Option<f64> {
        let current = self.holder.range;
        let loads = (range.from..range.to)
            .filter(|layer| !current.is_some_and(|current| current.contains(*layer)))
            .count();
        if loads > 0 && !self.holder.can_order {
            return None;
        }
        let load = loads as f64 * self.costs.load;
        let scarcity = scarcity(self.holder.memory_mb, self.model.layer_mb, range.len());
        Some(load + scarcity * self.costs.scarcity_mb + self.unload_cost(range))
    }

    fn unload_cost(&self, served: LayerRange) -> f64 {
        let Some(range) = self.holder.range else { return 0.0 };
        let kept = extended_range(range, served, self.max_layers);
        let overlap = range.overlap(&kept).len();
        let unloaded = f64::from(range.len() - overlap) * self.costs.unload;
        let unloads_first = range.from == 0 && kept.from > 0;
        unloaded + if unloads_first { self.costs.unload_first } else { 0.0 }
    }
}

/// Returns the range of a replica that takes over `served`: besides it as much of what the replica
/// holds as `max_layers` allows, since other replicas may still be loading the layers that it
/// unloads.
pub(super) fn extended_range(held: LayerRange, served: LayerRange, max_layers: u32) -> LayerRange {
    if held.to < served.from || served.to < held.from {
        return served;
    }
    let spare = max_layers.saturating_sub(served.len());
    let left = served.from.saturating_sub(held.from).min(spare);
    let right = held.to.saturating_sub(served.to).min(spare - left);
    LayerRange { from: served.from - left, to: served.to + right }
}
