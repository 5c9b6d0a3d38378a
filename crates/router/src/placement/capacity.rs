//! Estimates how many concurrent requests a layout can serve, and scores layouts by it.
//!
//! A request holds memory at every replica of its path for as long as it runs, so the capacity of a
//! layout is memory over time: a path that is twice as fast serves twice as many requests with the
//! same memory. Requests are assigned to the fastest path first; once one of its replicas is full,
//! the rest take the next fastest. The capacity is the sum over these paths of their width divided
//! by their time, with widths in MB for one layer and times in milliseconds of a token step. Only
//! the ratios between layouts matter, not the unit.
//!
//! A replica accepts only a limited number of requests as the first of their path, whatever its
//! memory. If that limit were ignored, the fastest accelerators alone would get the first layers,
//! and would have slots for hardly more requests than run under low load.
//!
//! Trade-off: batching, prompts and the wait for passes under way are ignored, since they grow with
//! the load of an engine and affect all layouts alike. The worst case is replicas × boundaries for
//! one capacity, computed once for the whole layout and once for each replica that may be lost.

use crate::{
    fleet::LayerRange,
    placement::{LayerHolder, ModelShape},
};

/// Time that a token step takes for one more stage of its path, in milliseconds: on average half of
/// a usual pass is waited for at each (15.6 ms a token over ten stages whose steps sum up to
/// 8.1 ms).
const HOP_MS: f64 = 0.6;

/// Least width of a path, in MB for one layer; a replica with less free memory counts as full.
const MIN_WIDTH_MB: f64 = 1.0;

/// Weight, in the score of a layout, of its capacity after the loss of one replica.
const LOSS_WEIGHT: f64 = 0.4;

/// Scores layouts of one group of replicas; keeps its buffers between calls.
pub(super) struct LayoutScorer {
    model: ModelShape,
    spans: Vec<LayerSpan>,
    /// Free memory that is left at each replica, in MB.
    free_mb: Vec<f64>,
    /// Width that is left for paths that begin at each replica, in MB for one layer.
    start_mb: Vec<f64>,
    /// Layers that the current path runs at each replica.
    path_layers: Vec<u32>,
    /// Replicas of the current path, in order.
    path: Vec<usize>,
}

/// Consecutive layers that the same replicas hold.
struct LayerSpan {
    layers: u32,
    /// Indices of the replicas, fastest first.
    holders: Vec<usize>,
}

impl LayoutScorer {
    /// Creates a scorer for layouts of these replicas.
    pub(super) fn new(holders: &[LayerHolder], model: ModelShape) -> Self {
        Self {
            model,
            spans: Vec::new(),
            free_mb: Vec::new(),
            start_mb: Vec::new(),
            path_layers: vec![0; holders.len()],
            path: Vec::new(),
        }
    }

    /// Returns the score of a layout: its capacity now, and on average after the loss of one
    /// replica. The square root of the capacity is taken, so that capacity beyond what callers need
    /// counts less.
    pub(super) fn score(&mut self, holders: &[LayerHolder]) -> f64 {
        self.score_above(holders, 0.0).unwrap_or(0.0)
    }

    /// Returns the score of a layout if it is above `min_score`. Most changes that a search tries
    /// are not, so the computation ends as soon as that is certain: the capacity of the whole
    /// layout bounds its capacity after a loss, and the loss of the only holder of a layer leaves
    /// none.
    pub(super) fn score_above(&mut self, holders: &[LayerHolder], min_score: f64) -> Option<f64> {
        self.split(holders);
        let whole = self.capacity(holders, None).sqrt();
        let redundant: Vec<usize> = self.redundant(holders);
        let in_use = holders.iter().filter(|holder| held(holder).is_some()).count();
        let weight = LOSS_WEIGHT / in_use.max(1) as f64;
        let mut score = whole * (1.0 - LOSS_WEIGHT) + whole * weight * redundant.len() as f64;
        for lost in redundant {
            if score <= min_score {
                return None;
            }
            score -= (whole - self.capacity(holders, Some(lost)).sqrt()) * weight;
        }
        (score > min_score).then_some(score)
    }

    /// Returns the replicas all of whose layers others hold too.
    fn redundant(&self, holders: &[LayerHolder]) -> Vec<usize> {
        let mut is_only = vec![false; holders.len()];
        let single = self.spans.iter().filter(|span| span.holders.len() == 1);
        single.for_each(|span| is_only[span.holders[0]] = true);
        let is_redundant = |index: &usize| held(&holders[*index]).is_some() && !is_only[*index];
        (0..holders.len()).filter(is_redundant).collect()
    }

    /// Splits the layers into spans, at each layer where a replica's range begins or ends.
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
            let mut span_holders: Vec<usize> = (0..holders.len()).filter(covers).collect();
            span_holders.sort_by(|left, right| {
                holders[*left].layer_ms.total_cmp(&holders[*right].layer_ms)
            });
            LayerSpan { layers: pair[1] - pair[0], holders: span_holders }
        };
        self.spans = bounds.windows(2).map(span).collect();
    }

    /// Returns the sum of width over time for all paths, the fastest first, without the lost
    /// replica if there is one.
    fn capacity(&mut self, holders: &[LayerHolder], lost: Option<usize>) -> f64 {
        self.free_mb.clear();
        self.free_mb.extend(holders.iter().map(|holder| free_mb(holder, self.model)));
        self.start_mb.clear();
        self.start_mb.extend(holders.iter().map(|holder| start_mb(holder, self.model)));
        if let Some(lost) = lost {
            self.free_mb[lost] = 0.0;
        }
        let mut total = 0.0;
        if self.spans.is_empty() {
            return total;
        }
        // Each path uses up the memory or the slots of at least one replica.
        for _ in 0..holders.len() * 2 {
            let Some(path_ms) = self.fastest_path(holders) else { break };
            let width = self.width();
            total += width / path_ms;
            self.start_mb[self.path[0]] -= width;
            for index in self.path.drain(..) {
                self.free_mb[index] -= width * f64::from(self.path_layers[index]);
                self.path_layers[index] = 0;
            }
        }
        total
    }

    /// Finds the fastest path with free memory, stores it in `path` and `path_layers`, and returns
    /// the time of its token step in milliseconds.
    fn fastest_path(&mut self, holders: &[LayerHolder]) -> Option<f64> {
        self.path.iter().for_each(|index| self.path_layers[*index] = 0);
        self.path.clear();
        let mut path_ms = 0.0;
        for span in &self.spans {
            let is_first = self.path.is_empty();
            let has_room = |index: &&usize| {
                self.free_mb[**index] >= MIN_WIDTH_MB * f64::from(span.layers)
                    && (!is_first || self.start_mb[**index] >= MIN_WIDTH_MB)
            };
            let index = *span.holders.iter().find(has_room)?;
            if self.path_layers[index] == 0 {
                self.path.push(index);
                path_ms += HOP_MS;
            }
            self.path_layers[index] += span.layers;
            path_ms += holders[index].layer_ms * f64::from(span.layers);
        }
        Some(path_ms.max(HOP_MS))
    }

    /// Returns the width of the current path, in MB for one layer.
    fn width(&self) -> f64 {
        let widths = self
            .path
            .iter()
            .map(|index| self.free_mb[*index] / f64::from(self.path_layers[*index]));
        let start = self.start_mb[self.path[0]];
        widths.fold(start, f64::min).max(MIN_WIDTH_MB)
    }
}

/// Returns the memory of a replica that its weights leave free, in MB.
fn free_mb(holder: &LayerHolder, model: ModelShape) -> f64 {
    let layers = held(holder).map_or(0, |range| range.len());
    (holder.memory_mb - f64::from(layers) * model.layer_mb).max(0.0)
}

/// Returns the total width of paths that may begin at a replica, in MB for one layer.
fn start_mb(holder: &LayerHolder, model: ModelShape) -> f64 {
    match holder.slots == 0 || model.request_mb <= 0.0 {
        true => f64::INFINITY,
        false => f64::from(holder.slots) * model.request_mb,
    }
}

fn held(holder: &LayerHolder) -> Option<LayerRange> {
    holder.range.filter(|range| !range.is_empty())
}
