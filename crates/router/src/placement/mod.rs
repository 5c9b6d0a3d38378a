//! Decides which layers each replica should hold.
//!
//! The plan is a function of the observed replicas and keeps no state: every relay that computes it
//! from the same list gets the same plan. It covers one group of replicas at a time. A group never
//! spans data centres, because activations between data centres share a slow link.
//!
//! The plan has four independent steps:
//!
//! 1. **A new group**, in which no replica holds any layer, is laid out greedily at once. While it
//!    serves no request, [`improve_group`] searches for the layout with the highest capacity, now
//!    and after the loss of any one replica. The search takes seconds at a small VM, and the group
//!    works without it. If loads take long, as after a loss of all replicas, its first path is
//!    completed first, in small loads.
//! 2. **Empty replicas** of an existing group get the layers with which the layout scores highest.
//! 3. **Gaps** that remain are closed. Wide ones are given to a replica all of whose layers others
//!    hold as well; for the rest, all replicas in the order of their layers take over layers from
//!    each other with the fewest loads, up to [`PlacementConfig::max_fill`] of their memory.
//! 4. **Rebalancing**: if nothing else is to do, one replica moves, grows or shrinks: the one with
//!    which the score rises most, if that is worth a load. A replica that was extended into a gap
//!    thereby unloads layers that others hold by then.
//!
//! Trade-off: the loss of a replica costs loads of a few layers (a second or two), not a new layout
//! of the whole group, which would move the memory of every running request.

mod capacity;
mod first_path;
mod gaps;
mod scarcity;
mod search;
mod sequence;
mod tiling;

use derive_more::Display;

pub use self::{
    gaps::widest_gap,
    sequence::{GroupOrders, sequence_orders},
};
use crate::{
    fleet::LayerRange,
    instance::ReplicaInstance,
    placement::{
        capacity::LayoutScorer,
        scarcity::free_mb_by_layer,
        search::{BestRange, RangeQuery, best_range, improve_layout, search_steps},
    },
};

/// Bounds on the fraction of a replica's memory that weights may take.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// Fraction in the usual layout. The rest is memory for requests, which runs out first under
    /// load.
    pub usual_fill: f64,
    /// Maximum fraction, used only where the group cannot cover the model otherwise.
    pub max_fill: f64,
    /// Layers held by the group in its usual layout, relative to the layers of the model.
    pub target_coverage: f64,
    /// Number of loads that run at full speed; `None` if loads cost next to nothing.
    pub max_parallel_loads: Option<usize>,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self { usual_fill: 0.70, max_fill: 0.90, target_coverage: 1.10, max_parallel_loads: None }
    }
}

/// A replica, as input of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerHolder {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Memory of its accelerator in MB.
    pub memory_mb: f64,
    /// Number of requests that it accepts as the first of their path; 0 means no limit.
    pub slots: u32,
    /// Time of a token step over one of its layers, in milliseconds.
    pub layer_ms: f64,
    /// Layers that it holds, or will hold once its order is carried out; `None` if it is empty.
    pub range: Option<LayerRange>,
    /// Layers that it is to hold once the group has a path, if it has loaded only a part of them.
    pub target: Option<LayerRange>,
    /// Layers that it holds now.
    pub held: Option<LayerRange>,
    /// Whether it can be given an order now: it is healthy, and no earlier order to it is under
    /// way.
    pub can_order: bool,
}

/// Sizes of the model.
#[derive(Clone, Copy, Debug)]
pub struct ModelShape {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer's weights in MB.
    pub layer_mb: f64,
    /// Memory that a usual request takes for one layer, in MB; 0 if it is not known, in which case
    /// slots are ignored.
    pub request_mb: f64,
}

/// An order to hold exactly these layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementOrder {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Layers that it is to hold.
    pub range: LayerRange,
    /// Why the order is given, for the logs and for [`PlacementReason::unload_mode`].
    pub reason: PlacementReason,
}

/// Why a replica is to hold other layers.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PlacementReason {
    /// No replica holds anything, and loads take long: the first path is completed first.
    #[display("FirstPath")]
    FirstPath {
        /// Layers that it is to hold once the path is whole: those of the order, or more.
        target: LayerRange,
    },
    /// It holds nothing.
    Empty,
    /// No replica holds layers next to its own.
    Gap,
    /// Others hold its layers, and no replica holds the ordered ones.
    Move,
    /// The layout scores higher with the ordered layers, or they are the rest of a
    /// [`FirstPath`](Self::FirstPath).
    Balance,
    /// A search found a better layout while the group serves no request.
    Search,
}

/// What happens to running requests that use layers to be unloaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnloadMode {
    /// The replica waits until they have ended, and loads nothing before that.
    Wait,
    /// They are cut at once, and continue elsewhere if their route allows it.
    Cut,
}

impl PlacementOrder {
    /// Returns the order for a group whose missing layers other groups of the data centre hold
    /// meanwhile: the replica waits for requests that use the unloaded layers, since the gap fails
    /// no request.
    pub fn without_cut(self) -> Self {
        match self.reason.unload_mode() {
            UnloadMode::Cut => Self { reason: PlacementReason::Balance, ..self },
            UnloadMode::Wait => self,
        }
    }
}

impl PlacementReason {
    /// Returns what happens to requests that use layers to be unloaded. While there is a gap, the
    /// whole group serves no request, and the requests that an order would wait for cannot move
    /// within the group either: a replica may wait 14 s for them before it begins a load that takes
    /// a second and a half.
    pub fn unload_mode(self) -> UnloadMode {
        match self {
            Self::Gap | Self::Move => UnloadMode::Cut,
            Self::FirstPath { .. } | Self::Empty | Self::Balance | Self::Search => UnloadMode::Wait,
        }
    }
}

/// Computes the orders for one group of replicas.
pub fn plan_group(
    holders: &[LayerHolder],
    model: ModelShape,
    config: &PlacementConfig,
) -> Vec<PlacementOrder> {
    if model.layers == 0 {
        return Vec::new();
    }
    let mut plan = GroupPlan::new(holders, model, config);
    let is_new = holders.iter().all(|holder| holder.range.is_none() && holder.can_order);
    match config.max_parallel_loads {
        None if is_new => plan.lay_out(),
        Some(max_parallel) if is_new => {
            plan.lay_out_path(max_parallel);
            plan.place_empty();
        }
        _ => plan.place_empty(),
    }
    plan.complete_targets();
    plan.close_gaps();
    let settled = plan.orders.is_empty() && holders.iter().all(LayerHolder::is_settled);
    if settled {
        plan.rebalance();
    }
    plan.orders
}

/// Searches for a better layout of a group that serves no request yet, and returns the orders that
/// lead to it. The search takes half a second at a small VM for 15 replicas; [`plan_group`] lays
/// out the group before.
pub fn improve_group(
    holders: &[LayerHolder],
    model: ModelShape,
    config: &PlacementConfig,
) -> Vec<PlacementOrder> {
    let plan = GroupPlan::new(holders, model, config);
    let max_layers = plan.max_layers_by_holder();
    let mut improved = plan.holders.clone();
    improve_layout(&mut improved, model, &max_layers);
    let changed = plan.holders.iter().zip(improved).filter(|(before, after)| {
        after.range.is_some_and(|range| !range.is_empty()) && after.range != before.range
    });
    let order = |after: LayerHolder| {
        let range = after.range.unwrap_or_default();
        PlacementOrder { instance: after.instance, range, reason: PlacementReason::Search }
    };
    changed.map(|(_, after)| order(after)).collect()
}

/// Returns the score by which layouts of one group are compared: the capacity for requests, now and
/// on average after the loss of one replica. Its unit is arbitrary; a layout with a gap scores 0.
pub fn layout_score(holders: &[LayerHolder], model: ModelShape) -> f64 {
    LayoutScorer::new(holders, model).score(holders)
}

impl LayerHolder {
    /// Returns whether it holds what was ordered.
    fn is_settled(&self) -> bool {
        self.can_order && self.range == self.held
    }
}

/// Score, relative to the present layout, from which a replica is given other layers: that costs a
/// load, and requests that use its layers must end or move first.
const MIN_GAIN: f64 = 1.08;

/// A plan for one group while it is computed: the holders as the orders so far leave them.
#[derive(Clone)]
struct GroupPlan<'a> {
    holders: Vec<LayerHolder>,
    model: ModelShape,
    config: &'a PlacementConfig,
    fill: f64,
    orders: Vec<PlacementOrder>,
}

impl<'a> GroupPlan<'a> {
    fn new(holders: &[LayerHolder], model: ModelShape, config: &'a PlacementConfig) -> Self {
        let mut holders = holders.to_vec();
        // Largest first, so that small replicas fill what large ones leave.
        holders.sort_by(|left, right| {
            right
                .memory_mb
                .total_cmp(&left.memory_mb)
                .then_with(|| left.instance.cmp(&right.instance))
        });
        let mut plan = Self { holders, model, config, fill: config.usual_fill, orders: Vec::new() };
        plan.fill = plan.choose_fill();
        if widest_gap(&plan.planned_counts()).is_none() {
            plan.holders
                .iter_mut()
                .for_each(|holder| holder.range = holder.target.or(holder.range));
        }
        plan
    }

    /// Returns the smallest fill, from the usual one up, at which the group reaches the target
    /// coverage.
    fn choose_fill(&self) -> f64 {
        const STEP: f64 = 0.02;
        let target = f64::from(self.model.layers) * self.config.target_coverage;
        let mut fill = self.config.usual_fill;
        while fill + STEP <= self.config.max_fill {
            let held: u32 = self.holders.iter().map(|holder| self.layers_at(holder, fill)).sum();
            if f64::from(held) >= target {
                break;
            }
            fill += STEP;
        }
        fill
    }

    fn layers_at(&self, holder: &LayerHolder, fill: f64) -> u32 {
        let layers = (holder.memory_mb * fill / self.model.layer_mb).floor();
        (layers as u32).min(self.model.layers)
    }

    fn max_layers(&self, holder: &LayerHolder) -> u32 {
        self.layers_at(holder, self.config.max_fill)
    }

    /// Returns how many replicas hold each layer, or will once their orders are carried out.
    fn planned_counts(&self) -> Vec<u32> {
        self.count(self.holders.iter().filter_map(|holder| holder.range))
    }

    /// Returns how many replicas hold each layer now and are not to unload it.
    fn held_counts(&self) -> Vec<u32> {
        self.count(self.holders.iter().filter_map(|holder| {
            let (held, range) = (holder.held?, holder.range?);
            let both = held.overlap(&range);
            (!both.is_empty()).then_some(both)
        }))
    }

    fn count(&self, ranges: impl Iterator<Item = LayerRange>) -> Vec<u32> {
        layer_counts(ranges, self.model.layers)
    }

    fn free_mb_by_layer(&self) -> Vec<f64> {
        free_mb_by_layer(&self.holders, self.model)
    }

    /// Lays out a group that holds nothing yet, one replica after the other.
    fn lay_out(&mut self) {
        for index in 0..self.holders.len() {
            let len = self.layers_at(&self.holders[index], self.fill);
            if len > 0 {
                let from = self.best_start(len);
                self.order(index, LayerRange { from, to: from + len }, PlacementReason::Empty);
            }
        }
    }

    /// Gives each empty replica the layers with which the layout scores highest.
    fn place_empty(&mut self) {
        for index in 0..self.holders.len() {
            let holder = &self.holders[index];
            if holder.range.is_some() || !holder.can_order {
                continue;
            }
            let len = self.layers_at(holder, self.fill);
            if len == 0 {
                continue;
            }
            let query = RangeQuery {
                max_layers: self.max_layers(holder),
                min_score: 0.0,
                steps: search_steps(self.holders.len()),
            };
            let mut scorer = LayoutScorer::new(&self.holders, self.model);
            let best = best_range(&mut self.holders, &mut scorer, self.model, index, query);
            // If a gap remains whatever the replica holds, every layout scores 0.
            let range = best.map_or_else(
                || LayerRange { from: self.best_start(len), to: self.best_start(len) + len },
                |best| best.range,
            );
            self.order(index, range, PlacementReason::Empty);
        }
    }

    /// Orders replicas that hold a part of their layers to load the rest.
    fn complete_targets(&mut self) {
        let is_partial = |holder: &LayerHolder| {
            holder.can_order && holder.held.is_some() && holder.range != holder.held
        };
        for index in 0..self.holders.len() {
            if let Some(range) =
                self.holders[index].range.filter(|_| is_partial(&self.holders[index]))
            {
                self.order(index, range, PlacementReason::Balance);
            }
        }
    }

    /// Returns the first layer of the range of `len` layers with the largest gain; the lowest of
    /// equal ones.
    fn best_start(&self, len: u32) -> u32 {
        let gains = self.gains();
        let mut best = (0, f64::MIN);
        for from in 0..=self.model.layers - len {
            let total: f64 = gains[from as usize..(from + len) as usize].iter().sum();
            if total > best.1 + 1e-9 {
                best = (from, total);
            }
        }
        best.0
    }

    /// Returns the gain of one more holder, for each layer. A layer that no replica holds gains
    /// most. Next comes a layer with a single holder, the more the fewer layers that one holds, so
    /// that as many replicas as possible can be lost without a gap. Last counts the scarcity of
    /// memory for requests.
    fn gains(&self) -> Vec<f64> {
        const UNHELD_GAIN: f64 = 1_000.0;
        const SCARCITY_GAIN: f64 = 0.02;
        let mut gains = vec![UNHELD_GAIN; self.model.layers as usize];
        let free_mb = self.free_mb_by_layer();
        let counts = self.planned_counts();
        for range in self.holders.iter().filter_map(|holder| holder.range) {
            let single_holder = 1.0 / f64::from(range.len().max(1));
            for layer in range.from as usize..range.to.min(self.model.layers) as usize {
                let scarcity = SCARCITY_GAIN * self.model.layer_mb / free_mb[layer].max(1.0);
                gains[layer] = if counts[layer] == 1 { single_holder } else { 0.0 } + scarcity;
            }
        }
        gains
    }

    fn order(&mut self, index: usize, range: LayerRange, reason: PlacementReason) {
        let holder = &mut self.holders[index];
        holder.range = Some(range);
        let instance = holder.instance.clone();
        self.orders.retain(|order| order.instance != instance);
        self.orders.push(PlacementOrder { instance, range, reason });
    }

    /// Gives one replica other layers if the gain is worth a load.
    fn rebalance(&mut self) {
        let mut scorer = LayoutScorer::new(&self.holders, self.model);
        let present = scorer.score(&self.holders);
        let mut min_score = present * MIN_GAIN;
        let mut best: Option<(usize, BestRange)> = None;
        // In a large group only every nth replica is tried, so that the time of a round stays
        // bounded.
        let steps = search_steps(self.holders.len());
        let stride = self.holders.len().div_ceil(steps.max(1)).max(1);
        let steps = (steps * stride / self.holders.len().max(1)).max(1);
        for index in (0..self.holders.len()).step_by(stride) {
            let query =
                RangeQuery { max_layers: self.max_layers(&self.holders[index]), min_score, steps };
            let found = best_range(&mut self.holders, &mut scorer, self.model, index, query);
            if let Some(found) = found {
                min_score = found.score;
                best = Some((index, found));
            }
        }
        if let Some((index, found)) = best {
            self.order(index, found.range, PlacementReason::Balance);
        }
    }
}

/// Returns how many of the ranges hold each layer of a model of `layers` layers.
pub fn layer_counts(ranges: impl Iterator<Item = LayerRange>, layers: u32) -> Vec<u32> {
    let mut counts = vec![0; layers as usize];
    for range in ranges {
        for layer in range.from..range.to.min(layers) {
            counts[layer as usize] += 1;
        }
    }
    counts
}

/// Returns whether other replicas hold all of these layers too, and no request begins there.
fn is_redundant(range: LayerRange, counts: &[u32]) -> bool {
    range.from > 0 && (range.from..range.to).all(|layer| counts[layer as usize] > 1)
}
