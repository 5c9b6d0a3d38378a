//! The first path of a group that has a gap, with replicas that hold nothing.
//!
//! Until every layer is held once, the group serves no request, and only some loads run at full speed.
//! A large replica therefore loads only a part of its layers at first, so that no load lasts much
//! longer than the others, and the rest once the path is whole.

use crate::{
    fleet::LayerRange,
    placement::{GroupPlan, LayerHolder, PlacementReason, gaps::widest_gap},
};

impl GroupPlan<'_> {
    /// Orders empty replicas to load the layers that nobody holds, if `max_parallel` loads run at full
    /// speed.
    pub(super) fn lay_out_path(&mut self, max_parallel: usize) {
        let max_len = self.first_load_len(max_parallel);
        for index in 0..self.holders.len() {
            if widest_gap(&self.planned_counts()).is_none() {
                break;
            }
            let target_len = self.empty_len(&self.holders[index]);
            let len = target_len.min(max_len);
            if len == 0 {
                continue;
            }
            let from = self.best_start(len);
            let target_from = from.min(self.model.layers - target_len);
            let target = LayerRange { from: target_from, to: target_from + target_len };
            let range = LayerRange { from, to: from + len };
            self.order(index, range, PlacementReason::FirstPath { target });
            self.holders[index].target = Some(target);
        }
        self.apply_targets();
    }

    /// Plans on with the targets of replicas that hold a part of them, once the group has a path.
    pub(super) fn apply_targets(&mut self) {
        if widest_gap(&self.planned_counts()).is_none() {
            let holders = self.holders.iter_mut();
            holders.for_each(|holder| holder.range = holder.target.or(holder.range));
        }
    }

    /// Returns the maximum length of a load with which the path is complete soonest. If the empty
    /// replicas do not complete it, others may return.
    fn first_load_len(&self, max_parallel: usize) -> u32 {
        let missing = self.planned_counts().iter().filter(|count| **count == 0).count() as u32;
        let empty_lens = self.holders.iter().map(|holder| self.empty_len(holder));
        let empty_lens: Vec<u32> = empty_lens.filter(|len| *len > 0).collect();
        let places = max_parallel.max(1) as u32;
        let max_len = empty_lens.iter().max().copied().unwrap_or(0);
        let min_len = missing.div_ceil(places).clamp(1, max_len.max(1));
        let lens = (min_len..=max_len).filter_map(|len| {
            let path = path_of(&empty_lens, missing, len)?;
            Some((load_duration(path, max_parallel), len))
        });
        lens.min().map_or(self.model.layers.div_ceil(places), |(_, len)| len)
    }

    /// Returns the usual number of layers of a replica that is empty and can be ordered; 0 for all
    /// others.
    fn empty_len(&self, holder: &LayerHolder) -> u32 {
        match holder.range.is_none() && holder.can_order {
            true => self.layers_at(holder, self.fill),
            false => 0,
        }
    }
}

/// Returns the lengths of loads of up to `max_len` layers that together load `missing` layers; `None`
/// if they do not.
fn path_of(lens: &[u32], missing: u32, max_len: u32) -> Option<Vec<u32>> {
    let mut path = Vec::new();
    let mut remaining = missing;
    for len in lens {
        path.push((*len).min(max_len));
        remaining = remaining.saturating_sub((*len).min(max_len));
        if remaining == 0 {
            return Some(path);
        }
    }
    None
}

/// Returns the time in which loads of these lengths end, in units of one layer, if `max_parallel` of
/// them run at once and the longest begin first.
fn load_duration(mut lens: Vec<u32>, max_parallel: usize) -> u32 {
    lens.sort_by(|left, right| right.cmp(left));
    let mut ends = vec![0; max_parallel.max(1)];
    for len in lens {
        if let Some(first) = ends.iter_mut().min() {
            *first += len;
        }
    }
    ends.into_iter().max().unwrap_or(0)
}
