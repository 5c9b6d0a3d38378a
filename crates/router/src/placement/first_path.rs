//! The first path of a group in which no replica holds any layer.
//!
//! Until every layer is held once, the group serves no request, and only some loads run at full speed.
//! A large replica therefore loads only a part of its layers at first, so that no load lasts much
//! longer than the others, and the rest once the path is whole.

use crate::{
    fleet::LayerRange,
    placement::{GroupPlan, PlacementReason},
};

impl GroupPlan<'_> {
    /// Orders the loads that complete the first path soonest if `max_parallel` of them run at once.
    /// Orders nothing if the replicas cannot hold the model.
    pub(super) fn lay_out_path(&mut self, max_parallel: usize) {
        let max_len = self.holders.iter().map(|holder| self.layers_at(holder, self.fill)).max();
        let min_len = self.model.layers.div_ceil(max_parallel.max(1) as u32);
        let max_len = max_len.unwrap_or(0);
        let paths = (min_len.min(max_len).max(1)..=max_len).filter_map(|len| self.path_of(len));
        let duration = |path: &Vec<u32>| load_duration(path, max_parallel);
        let Some(path) = paths.min_by_key(duration) else { return };
        let layers = self.model.layers;
        let mut next = 0;
        for (index, len) in path.into_iter().enumerate().filter(|(_, len)| *len > 0) {
            let target_len = self.layers_at(&self.holders[index], self.fill);
            let from = next.min(layers - len);
            let target_from = from.min(layers - target_len);
            let target = LayerRange { from: target_from, to: target_from + target_len };
            let range = LayerRange { from, to: from + len };
            self.order(index, range, PlacementReason::FirstPath { target });
            self.holders[index].range = Some(target);
            next = from + len;
        }
    }

    /// Returns how many layers each of the first replicas loads so that all layers are held, if none
    /// loads more than `max_len`; `None` if that is not possible.
    fn path_of(&self, max_len: u32) -> Option<Vec<u32>> {
        let mut path = Vec::new();
        let mut missing = self.model.layers;
        for holder in &self.holders {
            let len = self.layers_at(holder, self.fill).min(max_len);
            path.push(len);
            missing = missing.saturating_sub(len);
            if missing == 0 {
                return Some(path);
            }
        }
        None
    }
}

/// Returns the time in which loads of these lengths end, in units of one layer, if `max_parallel` of
/// them run at once and the longest begin first.
fn load_duration(lens: &[u32], max_parallel: usize) -> u32 {
    let mut sorted = lens.to_vec();
    sorted.sort_by(|left, right| right.cmp(left));
    let mut ends = vec![0; max_parallel.max(1)];
    for len in sorted {
        if let Some(first) = ends.iter_mut().min() {
            *first += len;
        }
    }
    ends.into_iter().max().unwrap_or(0)
}
