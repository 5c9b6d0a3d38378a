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

mod gaps;
mod scarcity;
mod tiling;

pub use self::gaps::widest_gap;
use crate::{
    cover::{
        scarcity::{room_by_layer, total_scarcity},
        tiling::{WITHOUT_LOADS, tile, wanted_range},
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
