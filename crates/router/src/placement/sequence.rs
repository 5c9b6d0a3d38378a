//! The sequence in which the orders for several groups are sent, while only some loads run at full
//! speed.
//!
//! Orders for layers that no replica of the group holds or loads come first, one group after the
//! other, since half of a path serves no request. The others follow, of each group in turn.

use std::cmp::Reverse;

use crate::placement::{LayerHolder, PlacementOrder, layer_counts};

/// Orders for a group, and its replicas before them.
#[derive(Clone, Debug)]
pub struct GroupOrders {
    /// Replicas, with the orders that are under way.
    pub holders: Vec<LayerHolder>,
    /// Planned orders.
    pub orders: Vec<PlacementOrder>,
}

/// Returns all orders of the groups in the sequence in which they are to be sent. `layers` is the
/// number of layers of the model.
pub fn sequence_orders(groups: Vec<GroupOrders>, layers: u32) -> Vec<PlacementOrder> {
    let mut closing = Vec::new();
    let mut others = Vec::new();
    for group in groups {
        let mut missing = missing_layers(&group, layers);
        let mut closes_gap = |order: &PlacementOrder| {
            let range = order.range.from as usize..order.range.to.min(layers) as usize;
            let layers = missing.get_mut(range).unwrap_or_default();
            let closes_gap = layers.contains(&true);
            layers.fill(false);
            closes_gap
        };
        let (mut first, rest): (Vec<_>, Vec<_>) =
            group.orders.into_iter().partition(&mut closes_gap);
        first.sort_by_key(|order| Reverse(order.range.len()));
        closing.push(first);
        others.push(rest.into_iter());
    }
    // The sort is stable: groups with equal loads stay in the order of their names.
    closing.sort_by_key(|orders| orders.iter().map(|order| order.range.len()).sum::<u32>());
    let mut sequence: Vec<PlacementOrder> = closing.into_iter().flatten().collect();
    loop {
        let len = sequence.len();
        sequence.extend(others.iter_mut().filter_map(Iterator::next));
        if sequence.len() == len {
            return sequence;
        }
    }
}

/// Returns which layers no replica of the group holds or loads.
fn missing_layers(group: &GroupOrders, layers: u32) -> Vec<bool> {
    let ranges = |holder: &LayerHolder| {
        let loading = if holder.can_order { None } else { holder.range };
        [holder.held, loading]
    };
    let ranges = group.holders.iter().flat_map(ranges).flatten();
    layer_counts(ranges, layers).into_iter().map(|count| count == 0).collect()
}
