//! Which layers each replica should hold.
//!
//! The plan is computed from what is observed, so it needs no memory of its own: whoever computes it
//! from the same list gets the same answer. It works one group of replicas at a time, a group being
//! the replicas of one data centre, because activations between data centres share a slow pipe.
//!
//! Four steps, each on its own:
//!
//! 1. **A new group**, in which nobody holds anything, is laid out greedily at once. While it serves nobody,
//!    [`improve_group`] searches the layout that carries most requests, now and after the loss of any one
//!    replica; that takes seconds at a small VM, and the group works without it.
//! 2. **Empty replicas** of an old group are placed where such a layout gains most.
//! 3. **Gaps** that remain are closed. Wide ones are given to a replica all of whose layers others hold
//!    as well; for the rest, all replicas in the order of their layers take over from each other with
//!    the fewest loads, up to [`PlacementConfig::max_fill`] of their memory.
//! 4. **Balance**: where nothing else is to do, the one replica moves, grows or shrinks by which the layout
//!    gains most, if that is worth a load. A replica that was stretched into a gap so gives back what
//!    others came to hold.
//!
//! Trade-off: a lost replica costs a load of a few layers (a second or two), not a new layout of the
//! whole group, which would move the memory of every running request.

mod capacity;
mod gaps;
mod scarcity;
mod search;
mod tiling;

pub use self::gaps::widest_gap;
use crate::{
    fleet::LayerRange,
    instance::ReplicaInstance,
    placement::{
        capacity::LayoutMeter,
        scarcity::room_by_layer,
        search::{BestPlace, PlaceWish, best_place, improve_layout, search_steps},
    },
};

/// Fractions of a replica's memory that weights may take.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// In the usual layout: what is left holds the requests, and is what binds first.
    pub usual_fill: f64,
    /// Where the group cannot cover the model otherwise.
    pub max_fill: f64,
    /// Times that a group's usual layout should cover the model.
    pub target_coverage: f64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self { usual_fill: 0.70, max_fill: 0.90, target_coverage: 1.10 }
    }
}

/// A replica as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerHolder {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Memory of its accelerator in MB.
    pub memory_mb: f64,
    /// Requests that it takes as the first of their path; 0 stands for no limit.
    pub slots: u32,
    /// Time of a token step over one of its layers, in milliseconds.
    pub layer_ms: f64,
    /// Layers that it holds, or will once its order is carried out; nothing where it is empty.
    pub range: Option<LayerRange>,
    /// Layers that it holds now.
    pub held: Option<LayerRange>,
    /// Whether an order may be given now: it is well, and no order of ours is under way.
    pub can_order: bool,
}

/// The model, as the plan sees it.
#[derive(Clone, Copy, Debug)]
pub struct ModelShape {
    /// Layers.
    pub layers: u32,
    /// Memory of one layer's weights in MB.
    pub layer_mb: f64,
    /// Memory that a usual request takes for one layer in MB; 0 where it is not known, and places for requests are
    /// not counted.
    pub request_mb: f64,
}

/// An order to hold these layers and no others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementOrder {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Layers that it is to hold.
    pub range: LayerRange,
    /// Why, for the logs.
    pub reason: PlacementReason,
}

/// Why a replica is to hold other layers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// It holds nothing.
    Empty,
    /// Layers beside its own are held by nobody.
    Gap,
    /// Others hold its layers, and nobody holds these.
    Move,
    /// The group carries more requests so.
    Balance,
    /// A search found a layout that carries more, and nobody is served yet.
    Search,
}

/// What becomes of running requests that use layers given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnloadMode {
    /// They are waited for; nothing new is loaded until they have ended.
    Wait,
    /// They are cut at once, and go on elsewhere where their route allows it.
    Cut,
}

impl PlacementOrder {
    /// The same order for a group whose missing layers others of the data centre hold meanwhile: requests that use
    /// the layers given up are waited for, since none are lost to the gap.
    pub fn without_cut(self) -> Self {
        match self.reason.unload_mode() {
            UnloadMode::Cut => Self { reason: PlacementReason::Balance, ..self },
            UnloadMode::Wait => self,
        }
    }
}

impl PlacementReason {
    /// Where a gap is open, the whole group serves nobody, and the requests that an order waits for
    /// cannot move within the group either: a replica once waited 14 s for them before it began a load
    /// of a second and a half.
    pub fn unload_mode(self) -> UnloadMode {
        match self {
            Self::Gap | Self::Move => UnloadMode::Cut,
            Self::Empty | Self::Balance | Self::Search => UnloadMode::Wait,
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
    let mut group = Group::new(holders, model, config);
    let is_new = holders.iter().all(|holder| holder.range.is_none() && holder.can_order);
    match is_new {
        true => group.lay_out(),
        false => group.place_empty(),
    }
    group.close_gaps();
    let settled = group.orders.is_empty() && holders.iter().all(LayerHolder::is_settled);
    if settled {
        group.balance();
    }
    group.orders
}

/// Searches a better layout for a group that serves nobody yet, and gives the orders that lead to it. It
/// takes half a second at a small VM for 15 replicas; [`plan_group`] lays the group out at once before.
pub fn improve_group(
    holders: &[LayerHolder],
    model: ModelShape,
    config: &PlacementConfig,
) -> Vec<PlacementOrder> {
    let group = Group::new(holders, model, config);
    let most = group.most();
    let mut improved = group.holders.clone();
    improve_layout(&mut improved, model, &most);
    let changed = group.holders.iter().zip(improved).filter(|(before, after)| {
        after.range.is_some_and(|range| !range.is_empty()) && after.range != before.range
    });
    let order = |after: LayerHolder| {
        let range = after.range.unwrap_or_default();
        PlacementOrder { instance: after.instance, range, reason: PlacementReason::Search }
    };
    changed.map(|(_, after)| order(after)).collect()
}

/// What a layout carries, now and on average after the loss of one replica: the measure by which the plan
/// compares layouts of one group.
pub fn layout_score(holders: &[LayerHolder], model: ModelShape) -> f64 {
    LayoutMeter::new(holders, model).worth(holders)
}

impl LayerHolder {
    /// Whether it holds what it is meant to.
    fn is_settled(&self) -> bool {
        self.can_order && self.range == self.held
    }
}

/// Worth of a layout, against the present one, from which a replica is given other layers: that costs a
/// load, and requests that use the layers must end or move first.
const LEAST_GAIN: f64 = 1.08;

#[derive(Clone)]
struct Group<'a> {
    holders: Vec<LayerHolder>,
    model: ModelShape,
    config: &'a PlacementConfig,
    fill: f64,
    orders: Vec<PlacementOrder>,
}

impl<'a> Group<'a> {
    fn new(holders: &[LayerHolder], model: ModelShape, config: &'a PlacementConfig) -> Self {
        let mut holders = holders.to_vec();
        // Largest first, so that small replicas fill what large ones leave.
        holders.sort_by(|left, right| {
            right
                .memory_mb
                .total_cmp(&left.memory_mb)
                .then_with(|| left.instance.cmp(&right.instance))
        });
        let mut group =
            Self { holders, model, config, fill: config.usual_fill, orders: Vec::new() };
        group.fill = group.choose_fill();
        group
    }

    /// Smallest fill, from the usual one up, at which the group covers the model as often as wanted.
    fn choose_fill(&self) -> f64 {
        const STEP: f64 = 0.02;
        let wanted = f64::from(self.model.layers) * self.config.target_coverage;
        let mut fill = self.config.usual_fill;
        while fill + STEP <= self.config.max_fill {
            let held: u32 = self.holders.iter().map(|holder| self.layers_at(holder, fill)).sum();
            if f64::from(held) >= wanted {
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

    fn most_layers(&self, holder: &LayerHolder) -> u32 {
        self.layers_at(holder, self.config.max_fill)
    }

    /// How many replicas hold each layer, or will.
    fn counts(&self) -> Vec<u32> {
        self.count(self.holders.iter().filter_map(|holder| holder.range))
    }

    /// How many replicas hold each layer now and are not to give it up.
    fn held_counts(&self) -> Vec<u32> {
        self.count(self.holders.iter().filter_map(|holder| {
            let (held, range) = (holder.held?, holder.range?);
            let both = LayerRange { from: held.from.max(range.from), to: held.to.min(range.to) };
            (!both.is_empty()).then_some(both)
        }))
    }

    fn count(&self, ranges: impl Iterator<Item = LayerRange>) -> Vec<u32> {
        let mut counts = vec![0; self.model.layers as usize];
        for range in ranges {
            for layer in range.from..range.to.min(self.model.layers) {
                counts[layer as usize] += 1;
            }
        }
        counts
    }

    /// Memory for requests that the holders of each layer have for one layer, in MB.
    fn room_by_layer(&self) -> Vec<f64> {
        room_by_layer(&self.holders, self.model)
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

    /// Places empty replicas, each where the layout gains most.
    fn place_empty(&mut self) {
        for index in 0..self.holders.len() {
            let holder = &self.holders[index];
            if holder.range.is_some() || !holder.can_order {
                continue;
            }
            let usual = self.layers_at(holder, self.fill);
            if usual == 0 {
                continue;
            }
            let wish = PlaceWish {
                most: self.most_layers(holder),
                least: 0.0,
                steps: search_steps(self.holders.len()),
            };
            let mut meter = LayoutMeter::new(&self.holders, self.model);
            let place = best_place(&mut self.holders, &mut meter, self.model, index, wish);
            // While a gap stays open whatever it holds, no layout is worth anything.
            let range = place.map_or_else(
                || LayerRange { from: self.best_start(usual), to: self.best_start(usual) + usual },
                |place| place.range,
            );
            self.order(index, range, PlacementReason::Empty);
        }
    }

    /// Where `len` layers help most; the lowest of equal places.
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

    /// What holding each layer once more brings. First comes a layer that nobody holds; then one that a
    /// single replica holds, the more the fewer it holds, so that as many replicas as possible can be
    /// lost without a gap; then scarce room.
    fn gains(&self) -> Vec<f64> {
        const UNHELD_GAIN: f64 = 1_000.0;
        const SCARCE_GAIN: f64 = 0.02;
        let mut gains = vec![UNHELD_GAIN; self.model.layers as usize];
        let room = self.room_by_layer();
        let counts = self.counts();
        for range in self.holders.iter().filter_map(|holder| holder.range) {
            let alone = 1.0 / f64::from(range.len().max(1));
            for layer in range.from as usize..range.to.min(self.model.layers) as usize {
                let scarce = SCARCE_GAIN * self.model.layer_mb / room[layer].max(1.0);
                gains[layer] = if counts[layer] == 1 { alone } else { 0.0 } + scarce;
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

    /// Gives one replica other layers, where that is worth a load.
    fn balance(&mut self) {
        let mut meter = LayoutMeter::new(&self.holders, self.model);
        let now = meter.worth(&self.holders);
        let mut least = now * LEAST_GAIN;
        let mut best: Option<(usize, BestPlace)> = None;
        // Of a large group only some replicas are looked at, so that a round stays short.
        let steps = search_steps(self.holders.len());
        let every = self.holders.len().div_ceil(steps.max(1)).max(1);
        let steps = (steps * every / self.holders.len().max(1)).max(1);
        for index in (0..self.holders.len()).step_by(every) {
            let wish = PlaceWish { most: self.most_layers(&self.holders[index]), least, steps };
            let place = best_place(&mut self.holders, &mut meter, self.model, index, wish);
            if let Some(place) = place {
                least = place.worth;
                best = Some((index, place));
            }
        }
        if let Some((index, place)) = best {
            self.order(index, place.range, PlacementReason::Balance);
        }
    }
}

/// Whether others hold all these layers too, and no request begins there.
fn is_spare(range: LayerRange, counts: &[u32]) -> bool {
    range.from > 0 && (range.from..range.to).all(|layer| counts[layer as usize] > 1)
}
