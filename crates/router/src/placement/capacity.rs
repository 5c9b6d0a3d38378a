//! How many requests a layout carries at once, for their time at the engines.
//!
//! A request holds memory at every replica of its path for as long as it runs, so what a layout carries
//! is memory over time: a path that is twice as fast carries twice as many requests with the same memory.
//! Requests take the fastest path first; when one of its replicas is full, the rest goes round it. So the
//! capacity is the sum over these paths of their width over their time, widths counted in MB for one
//! layer, times in milliseconds of a token step. The relations of layouts matter, not the unit.
//!
//! A replica takes only so many requests as the first of their path, whatever memory it has. Without counting that,
//! the fastest accelerators are given the first layers alone, and have places for hardly more requests than run on a calm
//! day.
//!
//! Trade-off: batches, prompts and waiting for passes under way are left out, since they grow with the
//! load of an engine and all layouts share it alike. The worst case is replicas × boundaries for one
//! capacity, once for the whole layout and once for each replica that may be lost.

use crate::{
    fleet::LayerRange,
    placement::{LayerHolder, ModelShape},
};

/// Time that a token step takes for one more part of its path, in milliseconds: half of a usual pass is
/// waited for at each (measured: 15.6 ms a token over ten parts whose steps sum up to 8.1 ms).
const HOP_MS: f64 = 0.6;

/// Least room that a path needs, in MB for one layer; below it a replica counts as full.
const LEAST_WIDTH: f64 = 1.0;

/// Part of the worth of a layout that lies in what it carries once a replica is lost.
const LOSS_PART: f64 = 0.4;

/// A layout, ready to be weighed.
pub(super) struct LayoutMeter {
    model: ModelShape,
    spans: Vec<LayerSpan>,
    room: Vec<f64>,
    /// Width that is left for paths that begin at each replica, in MB for one layer.
    starts: Vec<f64>,
    used: Vec<u32>,
    touched: Vec<usize>,
}

/// Layers that the same replicas hold, fastest first.
struct LayerSpan {
    layers: u32,
    holders: Vec<usize>,
}

impl LayoutMeter {
    /// Makes a meter for layouts of these replicas.
    pub(super) fn new(holders: &[LayerHolder], model: ModelShape) -> Self {
        Self {
            model,
            spans: Vec::new(),
            room: Vec::new(),
            starts: Vec::new(),
            used: vec![0; holders.len()],
            touched: Vec::new(),
        }
    }

    /// Worth of a layout: what it carries now, and on average once one replica is lost. The root lets
    /// capacity that callers may not need count less.
    pub(super) fn worth(&mut self, holders: &[LayerHolder]) -> f64 {
        self.worth_above(holders, 0.0).unwrap_or(0.0)
    }

    /// The same; nothing where it is not above `least`. Most changes that a search tries are that bad, so
    /// the weighing ends as soon as that is certain: what a layout carries bounds what it carries after a
    /// loss, and the loss of an only holder leaves nothing.
    pub(super) fn worth_above(&mut self, holders: &[LayerHolder], least: f64) -> Option<f64> {
        self.split(holders);
        let whole = self.capacity(holders, None).sqrt();
        let spared: Vec<usize> = self.spared(holders);
        let in_use = holders.iter().filter(|holder| held(holder).is_some()).count();
        let share = LOSS_PART / in_use.max(1) as f64;
        let mut worth = whole * (1.0 - LOSS_PART) + whole * share * spared.len() as f64;
        for lost in spared {
            if worth <= least {
                return None;
            }
            worth -= (whole - self.capacity(holders, Some(lost)).sqrt()) * share;
        }
        (worth > least).then_some(worth)
    }

    /// Replicas all of whose layers others hold too.
    fn spared(&self, holders: &[LayerHolder]) -> Vec<usize> {
        let mut is_only = vec![false; holders.len()];
        let alone = self.spans.iter().filter(|span| span.holders.len() == 1);
        alone.for_each(|span| is_only[span.holders[0]] = true);
        let is_spared = |index: &usize| held(&holders[*index]).is_some() && !is_only[*index];
        (0..holders.len()).filter(is_spared).collect()
    }

    /// Cuts the layers where a replica's range begins or ends.
    fn split(&mut self, holders: &[LayerHolder]) {
        let mut bounds = vec![0, self.model.layers];
        for range in holders.iter().filter_map(held) {
            bounds.push(range.from.min(self.model.layers));
            bounds.push(range.to.min(self.model.layers));
        }
        bounds.sort_unstable();
        bounds.dedup();
        let span = |pair: &[u32]| {
            let covers =
                |index: &usize| held(&holders[*index]).is_some_and(|range| range.contains(pair[0]));
            let mut over: Vec<usize> = (0..holders.len()).filter(covers).collect();
            over.sort_by(|left, right| {
                holders[*left].layer_ms.total_cmp(&holders[*right].layer_ms)
            });
            LayerSpan { layers: pair[1] - pair[0], holders: over }
        };
        self.spans = bounds.windows(2).map(span).collect();
    }

    /// Sum over paths, the fastest first, of width over time; without the lost replica, if any.
    fn capacity(&mut self, holders: &[LayerHolder], lost: Option<usize>) -> f64 {
        self.room.clear();
        self.room.extend(holders.iter().map(|holder| free_mb(holder, self.model)));
        self.starts.clear();
        self.starts.extend(holders.iter().map(|holder| start_mb(holder, self.model)));
        if let Some(lost) = lost {
            self.room[lost] = 0.0;
        }
        let mut total = 0.0;
        if self.spans.is_empty() {
            return total;
        }
        // Each path fills a replica at least, or its places.
        for _ in 0..holders.len() * 2 {
            let Some(path_ms) = self.fastest_path(holders) else { break };
            let width = self.width();
            total += width / path_ms;
            self.starts[self.touched[0]] -= width;
            for index in self.touched.drain(..) {
                self.room[index] -= width * f64::from(self.used[index]);
                self.used[index] = 0;
            }
        }
        total
    }

    /// Finds the fastest path with room, and notes the layers that it runs at each replica; gives its
    /// time.
    fn fastest_path(&mut self, holders: &[LayerHolder]) -> Option<f64> {
        self.touched.iter().for_each(|index| self.used[*index] = 0);
        self.touched.clear();
        let mut path_ms = 0.0;
        for span in &self.spans {
            let begins = self.touched.is_empty();
            let has_room = |index: &&usize| {
                self.room[**index] >= LEAST_WIDTH * f64::from(span.layers)
                    && (!begins || self.starts[**index] >= LEAST_WIDTH)
            };
            let index = *span.holders.iter().find(has_room)?;
            if self.used[index] == 0 {
                self.touched.push(index);
                path_ms += HOP_MS;
            }
            self.used[index] += span.layers;
            path_ms += holders[index].layer_ms * f64::from(span.layers);
        }
        Some(path_ms.max(HOP_MS))
    }

    fn width(&self) -> f64 {
        let widths =
            self.touched.iter().map(|index| self.room[*index] / f64::from(self.used[*index]));
        let begins = self.starts[self.touched[0]];
        widths.fold(begins, f64::min).max(LEAST_WIDTH)
    }
}

/// Memory beside the weights, in MB.
fn free_mb(holder: &LayerHolder, model: ModelShape) -> f64 {
    let layers = held(holder).map_or(0, |range| range.len());
    (holder.memory_mb - f64::from(layers) * model.layer_mb).max(0.0)
}

/// Width of paths that may begin at a replica, in MB for one layer.
fn start_mb(holder: &LayerHolder, model: ModelShape) -> f64 {
    match holder.slots == 0 || model.request_mb <= 0.0 {
        true => f64::INFINITY,
        false => f64::from(holder.slots) * model.request_mb,
    }
}

fn held(holder: &LayerHolder) -> Option<LayerRange> {
    holder.range.filter(|range| !range.is_empty())
}
