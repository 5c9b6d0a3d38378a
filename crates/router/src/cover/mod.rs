//! Which layers each replica should hold.
//!
//! The plan is computed from what is observed, so it needs no memory of its own: whoever computes it
//! from the same list gets the same answer. It works one group of replicas at a time, a group being
//! the replicas of one data centre, because activations between data centres share a slow pipe.
//!
//! Four steps, each on its own:
//!
//! 1. **Empty replicas** are placed where they help most: on layers that nobody holds, then on those of
//!    a single small replica, so that as many replicas as possible can be lost without a gap.
//! 2. **Gaps** that remain are closed. Wide ones are given to a replica all of whose layers others hold
//!    as well; for the rest, all replicas in the order of their layers take over from each other with
//!    the fewest loads, up to [`CoverConfig::stretch_fill`] of their memory.
//! 3. **Trimming**: a replica that was stretched gives back what others already hold.
//! 4. **Balance**: where nothing else is to do, one replica whose layers others hold as well moves to
//!    where room for requests is scarcest, since a path is as wide as its narrowest layer.
//!
//! Trade-off: a lost replica costs a load of a few layers (a second or two), not a new layout of the
//! whole group, which would move the memory of every running request.

mod scarcity;
mod tiling;

use crate::{
    cover::{
        scarcity::{room_by_layer, total_scarcity},
        tiling::{URGENT, WITHOUT_LOADS, tile, wanted_range},
    },
    fleet::LayerRange,
};

/// Fractions of a replica's memory that weights may take.
#[derive(Clone, Copy, Debug)]
pub struct CoverConfig {
    /// In the usual layout. Trial figures: 0.73 of the memory earned 0.999 of the credit on one site,
    /// 0.63 earned 0.996 on the other, 0.85 only 0.82.
    pub base_fill: f64,
    /// Where the group cannot cover the model otherwise.
    pub stretch_fill: f64,
    /// Times that a group's usual layout should cover the model.
    pub wanted_cover: f64,
}

impl Default for CoverConfig {
    fn default() -> Self {
        Self { base_fill: 0.70, stretch_fill: 0.90, wanted_cover: 1.10 }
    }
}

/// A replica as the plan sees it.
#[derive(Clone, Debug)]
pub struct LayerHolder {
    /// Id of the replica.
    pub id: String,
    /// Memory of its accelerator in MB.
    pub memory_mb: f64,
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
}

/// An order to hold these layers and no others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceOrder {
    /// Id of the replica.
    pub id: String,
    /// Layers that it is to hold.
    pub range: LayerRange,
    /// Why, for the logs.
    pub reason: PlaceReason,
}

/// Why a replica is to hold other layers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceReason {
    /// It holds nothing.
    Empty,
    /// Layers beside its own are held by nobody.
    Gap,
    /// Others hold its layers, and nobody holds these.
    Move,
    /// Others hold what it was stretched to.
    Trim,
    /// Others hold its layers, and these have the least room.
    Balance,
}

/// What becomes of running requests that use layers given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpRule {
    /// They are waited for; nothing new is loaded until they have ended.
    Wait,
    /// They are cut at once, and go on elsewhere where their route allows it.
    Cut,
}

impl PlaceReason {
    /// Where a gap is open, the whole group serves nobody, and the requests that an order waits for
    /// cannot move within the group either: a replica once waited 14 s for them before it began a load
    /// of a second and a half.
    pub fn give_up_rule(self) -> GiveUpRule {
        match self {
            Self::Gap | Self::Move => GiveUpRule::Cut,
            Self::Empty | Self::Trim | Self::Balance => GiveUpRule::Wait,
        }
    }
}

/// Computes the orders for one group of replicas.
pub fn plan_group(
    holders: &[LayerHolder],
    model: ModelShape,
    config: &CoverConfig,
) -> Vec<PlaceOrder> {
    if model.layers == 0 {
        return Vec::new();
    }
    let mut group = Group::new(holders, model, config);
    group.place_empty();
    group.close_gaps();
    let settled = group.orders.is_empty() && holders.iter().all(LayerHolder::is_settled);
    if settled {
        group.trim();
    }
    if settled && group.orders.is_empty() {
        group.balance();
    }
    group.orders
}

impl LayerHolder {
    /// Whether it holds what it is meant to.
    fn is_settled(&self) -> bool {
        self.can_order && self.range == self.held
    }
}

/// Part of the scarcity of room that must remain at most for a replica to be moved: a move costs a load
/// and moves requests.
const MOST_LEFT: f64 = 0.9;

/// Gaps below so many layers are closed by neighbours: each loads two or three layers, in less time than
/// a whole replica takes, but has less room for requests then. Each is tried; the last one moves nobody.
const NARROW_GAPS: [u32; 4] = [1, 3, 5, u32::MAX];

#[derive(Clone)]
struct Group<'a> {
    holders: Vec<LayerHolder>,
    model: ModelShape,
    config: &'a CoverConfig,
    fill: f64,
    orders: Vec<PlaceOrder>,
}

impl<'a> Group<'a> {
    fn new(holders: &[LayerHolder], model: ModelShape, config: &'a CoverConfig) -> Self {
        let mut holders = holders.to_vec();
        // Largest first, so that small replicas fill what large ones leave.
        holders.sort_by(|left, right| {
            right.memory_mb.total_cmp(&left.memory_mb).then_with(|| left.id.cmp(&right.id))
        });
        let mut group = Self { holders, model, config, fill: config.base_fill, orders: Vec::new() };
        group.fill = group.usual_fill();
        group
    }

    /// Smallest fill, from the usual one up, at which the group covers the model as often as wanted.
    fn usual_fill(&self) -> f64 {
        const STEP: f64 = 0.02;
        let wanted = f64::from(self.model.layers) * self.config.wanted_cover;
        let mut fill = self.config.base_fill;
        while fill + STEP <= self.config.stretch_fill {
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
        self.layers_at(holder, self.config.stretch_fill)
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
        room_by_layer(&self.holders, self.model, None)
    }

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
            let from = self.best_start(len);
            self.order(index, LayerRange { from, to: from + len }, PlaceReason::Empty);
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

    fn order(&mut self, index: usize, range: LayerRange, reason: PlaceReason) {
        let holder = &mut self.holders[index];
        holder.range = Some(range);
        let id = holder.id.clone();
        self.orders.retain(|order| order.id != id);
        self.orders.push(PlaceOrder { id, range, reason });
    }

    /// Closes gaps in the way that costs least: by moving spare replicas into them, by neighbours that
    /// take over from each other, or by both.
    fn close_gaps(&mut self) {
        if widest_gap(&self.counts()).is_none() {
            return;
        }
        let ways = NARROW_GAPS.into_iter().map(|narrow| {
            let mut way = self.clone();
            way.close_gaps_from(narrow);
            let cost = way.cost(&self.holders);
            (way, cost)
        });
        let best = ways.min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((best, _)) = best {
            *self = best;
        }
    }

    /// Cost of a layout: layers that nobody holds, then the longest load, in layers, and the scarcity of
    /// room at the narrowest layer.
    fn cost(&self, before: &[LayerHolder]) -> f64 {
        const UNHELD_COST: f64 = 1_000.0;
        const LOAD_COST: f64 = 1.0;
        /// Room for one layer, in MB, that is worth a load of one layer more where it is all there is.
        const NARROW_COST: f64 = 5_000.0;
        let unheld = self.counts().iter().filter(|count| **count == 0).count();
        let loads = before.iter().zip(&self.holders).map(|(before, after)| {
            let held = before.range.unwrap_or_default();
            let range = after.range.unwrap_or_default();
            (range.from..range.to).filter(|layer| !held.contains(*layer)).count()
        });
        let longest = loads.max().unwrap_or(0);
        let narrowest = self.room_by_layer().into_iter().fold(f64::INFINITY, f64::min);
        unheld as f64 * UNHELD_COST + longest as f64 * LOAD_COST + NARROW_COST / narrowest.max(1.0)
    }

    /// Moves spare replicas into gaps of at least `narrow` layers, and deals the rest to neighbours.
    fn close_gaps_from(&mut self, narrow: u32) {
        while let Some(gap) = widest_gap(&self.counts()) {
            // What others are only about to hold is no reason to give layers up.
            let held = self.held_counts();
            if gap.len() < narrow || !self.move_into(gap, &held) {
                break;
            }
        }
        if widest_gap(&self.counts()).is_some() {
            self.retile();
        }
    }

    /// Deals the layers anew over all replicas, with the least cost.
    fn retile(&mut self) {
        for (index, part) in tile(self.model, &self.holders, &self.most(), URGENT) {
            self.take_over(index, part, PlaceReason::Gap);
        }
    }

    /// Most layers of each holder.
    fn most(&self) -> Vec<u32> {
        self.holders.iter().map(|holder| self.most_layers(holder)).collect()
    }

    fn take_over(&mut self, index: usize, part: LayerRange, reason: PlaceReason) {
        let holder = &self.holders[index];
        let Some(range) = holder.range else { return };
        if range.from <= part.from && part.to <= range.to {
            return;
        }
        let wanted = wanted_range(range, part, self.most_layers(holder).max(part.len()));
        self.order(index, wanted, reason);
    }

    /// Moves a replica whose layers others hold too: the one that fits the gap best.
    fn move_into(&mut self, gap: LayerRange, counts: &[u32]) -> bool {
        let spare = (0..self.holders.len()).filter_map(|index| {
            let holder = &self.holders[index];
            let range = holder.range.filter(|range| !range.is_empty())?;
            let len = self.layers_at(holder, self.fill);
            let can_move = is_spare(range, counts) && holder.can_order && len > 0;
            can_move.then_some((index, len))
        });
        // Best: the one that fits. A much larger one would take more room from where it is than the gap
        // needs, and loads for long.
        let best = spare.min_by_key(|(_, len)| (len.abs_diff(gap.len()), *len));
        let Some((index, len)) = best else { return false };
        let from = gap.from.min(self.model.layers - len);
        self.order(index, LayerRange { from, to: from + len }, PlaceReason::Move);
        true
    }

    /// Moves the replica whose move makes room least scarce.
    fn balance(&mut self) {
        let now = total_scarcity(&self.room_by_layer());
        let counts = self.counts();
        let moves = (0..self.holders.len()).filter_map(|index| {
            let range = self.holders[index].range.filter(|range| !range.is_empty())?;
            let len = self.layers_at(&self.holders[index], self.fill);
            (is_spare(range, &counts) && len > 0).then(|| self.best_move(index, len))
        });
        let best = moves.min_by(|left, right| left.scarcity.total_cmp(&right.scarcity));
        if let Some(best) = best.filter(|best| best.scarcity < now * MOST_LEFT) {
            self.order(best.index, best.range, PlaceReason::Balance);
        }
    }

    /// Best place for `len` layers of a holder.
    fn best_move(&self, index: usize, len: u32) -> HolderMove {
        let room = room_by_layer(&self.holders, self.model, Some(index));
        let free = self.holders[index].memory_mb - f64::from(len) * self.model.layer_mb;
        let added = free.max(0.0) / f64::from(len);
        let scarcity = |from: u32| {
            let mut room = room.clone();
            let layers = from as usize..(from + len) as usize;
            room[layers].iter_mut().for_each(|room| *room += added);
            total_scarcity(&room)
        };
        let moves = (0..=self.model.layers - len).map(|from| HolderMove {
            index,
            range: LayerRange { from, to: from + len },
            scarcity: scarcity(from),
        });
        moves
            .min_by(|left, right| left.scarcity.total_cmp(&right.scarcity))
            .expect("a replica holds at most all layers")
    }

    /// Takes back what replicas hold beyond the usual where others hold it too, so that what is left is
    /// shared out evenly.
    fn trim(&mut self) {
        for (index, part) in tile(self.model, &self.holders, &self.most(), WITHOUT_LOADS) {
            let holder = &self.holders[index];
            let Some(range) = holder.range else { continue };
            let usual = self.layers_at(holder, self.fill).max(part.len());
            let trimmed = wanted_range(range, part, usual);
            if range.len() > usual && trimmed != range {
                self.order(index, trimmed, PlaceReason::Trim);
            }
        }
    }
}

/// A place that a holder could move to, with the scarcity of room after it.
#[derive(Clone, Copy, Debug)]
struct HolderMove {
    index: usize,
    range: LayerRange,
    scarcity: f64,
}

/// Whether others hold all these layers too, and no request begins there.
fn is_spare(range: LayerRange, counts: &[u32]) -> bool {
    range.from > 0 && (range.from..range.to).all(|layer| counts[layer as usize] > 1)
}

/// Widest run of layers that nobody holds.
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
