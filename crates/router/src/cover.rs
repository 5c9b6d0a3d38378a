//! Which layers each replica should hold.
//!
//! The plan is computed from what is observed, so it needs no memory of its own: whoever computes it
//! from the same list gets the same answer. It works one group of replicas at a time, a group being
//! the replicas of one data centre, because activations between data centres share a slow pipe.
//!
//! Four steps, each on its own:
//!
//! 1. **Empty replicas** are placed where they help most: on layers that nobody holds, then where room
//!    for requests is scarcest.
//! 2. **Gaps** that remain are closed. Wide ones are given to a replica all of whose layers others hold
//!    as well; narrow ones, and what then remains, to neighbours, which load the few missing layers, up
//!    to [`CoverConfig::stretch_fill`] of their memory.
//! 3. **Trimming**: a replica that was stretched gives back what others hold by now.
//! 4. **Balance**: where nothing else is to do, one replica whose layers others hold as well moves to
//!    the layers with the least room for requests, since a path is as wide as its narrowest layer.
//!
//! Trade-off: a lost replica costs a load of a few layers (a second or two), not a new layout of the
//! whole group, which would move the memory of every running request.

use crate::fleet::LayerRange;

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
    /// Layers that it holds or is loading; nothing where it is empty.
    pub range: Option<LayerRange>,
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
    group.trim();
    if group.orders.is_empty() && group.holders.iter().all(|holder| holder.can_order) {
        group.balance();
    }
    group.orders
}

/// Gain of the narrowest layer's room below which no replica is moved for it: a move costs a load and
/// moves requests.
const LEAST_GAIN: f64 = 1.25;

/// Gaps below this many layers are closed by neighbours: each loads two or three layers, in less time
/// than a whole replica takes.
const NARROW_GAP: u32 = 5;

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

    /// How many replicas hold each layer.
    fn counts(&self) -> Vec<u32> {
        let mut counts = vec![0; self.model.layers as usize];
        for range in self.holders.iter().filter_map(|holder| holder.range) {
            for layer in range.from..range.to.min(self.model.layers) {
                counts[layer as usize] += 1;
            }
        }
        counts
    }

    /// Memory for requests that the holders of each layer have for one layer, in MB.
    fn room_by_layer(&self) -> Vec<f64> {
        self.room_without(None)
    }

    /// The same, without one of the holders.
    fn room_without(&self, left_out: Option<usize>) -> Vec<f64> {
        let mut room = vec![0.0; self.model.layers as usize];
        for (index, holder) in self.holders.iter().enumerate() {
            let range = holder.range.filter(|range| !range.is_empty() && left_out != Some(index));
            let Some(range) = range else { continue };
            let len = f64::from(range.len());
            let free = (holder.memory_mb - len * self.model.layer_mb).max(0.0) / len;
            for layer in range.from..range.to.min(self.model.layers) {
                room[layer as usize] += free;
            }
        }
        room
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
        const UNHELD_GAIN: f64 = 1_000.0;
        let room = self.room_by_layer();
        let gain = |layer: u32| match room[layer as usize] {
            free if free <= 0.0 => UNHELD_GAIN,
            // MB for requests in one layer; the scarcer, the greater the gain.
            free => (self.model.layer_mb / free).min(UNHELD_GAIN / 2.0),
        };
        let mut best = (0, f64::MIN);
        for from in 0..=self.model.layers - len {
            let total: f64 = (from..from + len).map(gain).sum();
            if total > best.1 + 1e-9 {
                best = (from, total);
            }
        }
        best.0
    }

    fn order(&mut self, index: usize, range: LayerRange, reason: PlaceReason) {
        let holder = &mut self.holders[index];
        holder.range = Some(range);
        let id = holder.id.clone();
        self.orders.retain(|order| order.id != id);
        self.orders.push(PlaceOrder { id, range, reason });
    }

    fn close_gaps(&mut self) {
        // Each round closes a part of a gap, so there are at most as many rounds as layers.
        for _ in 0..self.model.layers {
            let counts = self.counts();
            let Some(gap) = widest_gap(&counts) else { return };
            let closed = match gap.len() >= NARROW_GAP {
                true => self.move_into(gap, &counts) || self.stretch_into(gap, &counts),
                false => self.stretch_into(gap, &counts) || self.move_into(gap, &counts),
            };
            if !closed {
                return;
            }
        }
    }

    /// Moves a replica whose layers others hold too: the one that fits the gap best.
    fn move_into(&mut self, gap: LayerRange, counts: &[u32]) -> bool {
        let spare = (0..self.holders.len()).filter_map(|index| {
            let holder = &self.holders[index];
            let range = holder.range.filter(|range| !range.is_empty())?;
            let held_twice = (range.from..range.to).all(|layer| counts[layer as usize] > 1);
            let len = self.layers_at(holder, self.fill);
            (held_twice && holder.can_order && len > 0).then_some((index, len))
        });
        // Best: the one that fits. A much larger one would take more room from where it is than the gap
        // needs, and loads for long.
        let best = spare.min_by_key(|(_, len)| (len.abs_diff(gap.len()), *len));
        let Some((index, len)) = best else { return false };
        let from = gap.from.min(self.model.layers - len);
        self.order(index, LayerRange { from, to: from + len }, PlaceReason::Move);
        true
    }

    /// Lets one neighbour, the one with the most room left for it, take layers of the gap.
    fn stretch_into(&mut self, gap: LayerRange, counts: &[u32]) -> bool {
        let proposals = (0..self.holders.len()).filter_map(|index| {
            let range = self.stretched(index, gap, counts)?;
            let holder = &self.holders[index];
            let left = holder.memory_mb / f64::from(range.len().max(1));
            Some((index, range, left))
        });
        let best = proposals.max_by(|left, right| left.2.total_cmp(&right.2));
        let Some((index, range, _)) = best else { return false };
        self.order(index, range, PlaceReason::Gap);
        true
    }

    /// Range of a neighbour after it takes one layer of the gap, giving up a layer at its other end
    /// where that is held elsewhere and its memory asks for it.
    fn stretched(&self, index: usize, gap: LayerRange, counts: &[u32]) -> Option<LayerRange> {
        let holder = &self.holders[index];
        let range = holder.range?;
        if !holder.can_order {
            return None;
        }
        let full = range.len() >= self.most_layers(holder);
        let spare_at = |layer: u32| counts[layer as usize] > 1;
        if range.to == gap.from {
            let from = match full {
                true if spare_at(range.from) => range.from + 1,
                true => return None,
                false => range.from,
            };
            return Some(LayerRange { from, to: range.to + 1 });
        }
        if range.from == gap.to {
            let to = match full {
                true if spare_at(range.to - 1) => range.to - 1,
                true => return None,
                false => range.to,
            };
            return Some(LayerRange { from: range.from - 1, to });
        }
        None
    }

    /// Moves the replica whose move widens the narrowest layer most.
    fn balance(&mut self) {
        let narrowest = least(&self.room_by_layer());
        let counts = self.counts();
        let moves = (0..self.holders.len()).filter_map(|index| {
            let range = self.holders[index].range.filter(|range| !range.is_empty())?;
            let held_twice = (range.from..range.to).all(|layer| counts[layer as usize] > 1);
            let len = self.layers_at(&self.holders[index], self.fill);
            (held_twice && len > 0).then(|| self.best_move(index, len))
        });
        let best = moves.max_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((order, gained)) = best.filter(|(_, gained)| *gained > narrowest * LEAST_GAIN) {
            let (index, range) = order;
            debug_assert!(gained > narrowest);
            self.order(index, range, PlaceReason::Balance);
        }
    }

    /// Best place for `len` layers of a holder, with the narrowest layer's room after the move.
    fn best_move(&self, index: usize, len: u32) -> ((usize, LayerRange), f64) {
        let room = self.room_without(Some(index));
        let free = self.holders[index].memory_mb - f64::from(len) * self.model.layer_mb;
        let added = free.max(0.0) / f64::from(len);
        let narrowest = |from: u32| {
            let with = room.iter().enumerate().map(|(layer, room)| {
                let covered = (from..from + len).contains(&(layer as u32));
                if covered { room + added } else { *room }
            });
            with.fold(f64::INFINITY, f64::min)
        };
        let starts = 0..=self.model.layers - len;
        let best = starts.map(|from| (from, narrowest(from)));
        let (from, gained) = best
            .max_by(|left, right| left.1.total_cmp(&right.1))
            .expect("a replica holds at most all layers");
        ((index, LayerRange { from, to: from + len }), gained)
    }

    /// Takes back what a replica holds beyond the usual where others hold it too.
    fn trim(&mut self) {
        for index in 0..self.holders.len() {
            let holder = &self.holders[index];
            let (Some(range), true) = (holder.range, holder.can_order) else { continue };
            let usual = self.layers_at(holder, self.fill).max(1);
            let was_ordered = self.orders.iter().any(|order| order.id == holder.id);
            if was_ordered || range.len() <= usual {
                continue;
            }
            let counts = self.counts();
            let trimmed = trimmed_range(range, usual, &counts);
            if trimmed != range {
                self.order(index, trimmed, PlaceReason::Trim);
            }
        }
    }
}

fn least(room: &[f64]) -> f64 {
    room.iter().copied().fold(f64::INFINITY, f64::min)
}

/// Drops layers at both ends that others hold, down to `usual`.
fn trimmed_range(mut range: LayerRange, usual: u32, counts: &[u32]) -> LayerRange {
    while range.len() > usual {
        if counts[range.to as usize - 1] > 1 {
            range.to -= 1;
        } else if counts[range.from as usize] > 1 {
            range.from += 1;
        } else {
            break;
        }
    }
    range
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
