//! The path of a request: a cheapest tiling of the model's layers.
//!
//! Each replica offers the layers that it holds at a cost for each layer, which grows as its memory
//! for requests fills up. A path may use any part of what a replica holds. The tiling is found by
//! dynamic programming over layer boundaries and data centres; the worst case is
//! boundaries² × replicas × data centres, about 30,000 steps for 40 replicas of 80 layers.

use std::net::SocketAddr;

use crate::{fleet::LayerRange, instance::ReplicaInstance};

/// Most parts that a path may have.
pub const MAX_STAGES: usize = 32;

/// Costs that decide between paths, in milliseconds of a token step. The relations matter, not the
/// unit: crossing between data centres moves the activations of a whole prompt over a shared pipe
/// (20 ms of it for a usual prompt), and two data centres' worth of prompts more than fill the pipe; so a
/// path crosses only where no data centre has a whole one. Starting elsewhere moves only the request's
/// bytes.
#[derive(Clone, Copy, Debug)]
pub struct PathCosts {
    /// One more part.
    pub hop: f64,
    /// Passing from one data centre to another.
    pub crossing: f64,
    /// Beginning outside the entry's own data centre.
    pub remote_start: f64,
}

impl Default for PathCosts {
    fn default() -> Self {
        Self { hop: 0.5, crossing: 1_000.0, remote_start: 3.0 }
    }
}

/// Part of a replica's places that paths are planned to begin at: what other relays begin meanwhile is heard of
/// 0.1 to 0.4 s late.
const PLANNED_PLACES: f64 = 0.95;

/// Cost of beginning at a replica of whose places half are taken, twice that, against one more hop at 0.5: it is more
/// than what beginning in another data centre costs, so that relays which do not hear of each other in time do not
/// all begin at the same one.
const PLACE_COST: f64 = 8.0;

/// Cost of beginning at a replica without a place, where no other path is left either.
pub const FULL_START_COST: f64 = 100.0;

/// Cost of beginning at a replica at which `begun` requests began that still run; nothing where all of its `slots`
/// are taken, of which 0 stands for no limit. A replica takes only so many requests as the first of their path, and
/// rejects the rest: without that, one that is cheap for all relays gets twice what it has places for, while others
/// have some.
pub fn start_cost(begun: f64, slots: u32) -> Option<f64> {
    if slots == 0 {
        return Some(0.0);
    }
    let taken = begun / (f64::from(slots) * PLANNED_PLACES);
    (taken < 1.0).then(|| PLACE_COST * taken * taken / (1.0 - taken))
}

/// What a replica offers to a path.
#[derive(Clone, Debug)]
pub struct StageOffer {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre, as a small number.
    pub data_centre: usize,
    /// Layers that it holds.
    pub range: LayerRange,
    /// Cost for each layer.
    pub layer_cost: f64,
    /// Room for requests that is left, in tokens times layers.
    pub free_token_layers: f64,
    /// Cost of beginning here, which grows as its places for requests fill up; nothing where none is left.
    pub start_cost: Option<f64>,
    /// Whether no path may begin here at the moment, whatever that would cost: the replica wants none from this VM.
    pub is_throttled: bool,
}

/// One part of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathStage {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Its address.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub range: LayerRange,
}

/// What a path is wanted for.
#[derive(Clone, Debug)]
pub struct PathRequest<'a> {
    /// Layers of the model.
    pub layers: u32,
    /// Tokens that the request may hold.
    pub tokens: f64,
    /// The entry's own data centre.
    pub entry_data_centre: usize,
    /// Count of data centres.
    pub data_centres: usize,
    /// Whether the path may pass from one data centre to another.
    pub may_cross: bool,
    /// First replica that the path must begin with, and its layers: for changing the path of a request
    /// that runs.
    pub first: Option<(&'a ReplicaInstance, LayerRange)>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    cost: f64,
    offer: usize,
    previous: (usize, usize),
}

/// Finds the cheapest path; nothing where the offers leave a gap or have no room.
pub fn choose_path(
    request: &PathRequest<'_>,
    offers: &[StageOffer],
    costs: &PathCosts,
) -> Option<Vec<PathStage>> {
    let bounds = boundaries(request, offers);
    // One row for "no part yet" beside the data centres.
    let rows = request.data_centres + 1;
    let start_row = request.data_centres;
    let mut best: Vec<Vec<Option<Step>>> = vec![vec![None; rows]; bounds.len()];
    best[0][start_row] = Some(Step { cost: 0.0, offer: usize::MAX, previous: (0, start_row) });
    for position in 0..bounds.len() - 1 {
        for row in 0..rows {
            let Some(step) = best[position][row] else { continue };
            let from = (position, row);
            relax(request, offers, costs, &bounds, from, step.cost, &mut best);
        }
    }
    let last = bounds.len() - 1;
    let end = (0..rows)
        .filter_map(|row| best[last][row].map(|step| (row, step.cost)))
        .min_by(|left, right| left.1.total_cmp(&right.1))?;
    let parts = merge_revisits(walk_back(&best, &bounds, (last, end.0), offers));
    (parts.len() <= MAX_STAGES).then_some(parts)
}

fn boundaries(request: &PathRequest<'_>, offers: &[StageOffer]) -> Vec<u32> {
    let mut bounds = vec![0, request.layers];
    for offer in offers {
        bounds.push(offer.range.from);
        bounds.push(offer.range.to);
    }
    bounds.extend(request.first.map(|(_, range)| range.to));
    bounds.retain(|bound| *bound <= request.layers);
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}

/// Tries every part that may follow the state `from`.
fn relax(
    request: &PathRequest<'_>,
    offers: &[StageOffer],
    costs: &PathCosts,
    bounds: &[u32],
    from: (usize, usize),
    cost: f64,
    best: &mut [Vec<Option<Step>>],
) {
    let (position, row) = from;
    let starts = row == request.data_centres;
    let layer = bounds[position];
    for (index, offer) in offers.iter().enumerate() {
        let fixed = request.first.filter(|_| starts);
        let wrong_first = fixed.is_some_and(|(instance, _)| *instance != offer.instance);
        if wrong_first || !offer.range.contains(layer) {
            continue;
        }
        let start_cost = match starts {
            true => offer.start_cost.or(fixed.map(|_| 0.0)),
            false => Some(0.0),
        };
        let Some(start_cost) = start_cost else { continue };
        let entry = match starts {
            true if offer.data_centre == request.entry_data_centre => start_cost,
            true => costs.remote_start + start_cost,
            false if offer.data_centre == row => 0.0,
            false if request.may_cross => costs.crossing,
            false => continue,
        };
        for next in position + 1..bounds.len() {
            let to = bounds[next];
            let span = f64::from(to - layer);
            if to > offer.range.to || span * request.tokens > offer.free_token_layers {
                break;
            }
            if fixed.is_some_and(|(_, range)| range.to != to) {
                continue;
            }
            let total = cost + entry + costs.hop + offer.layer_cost * span;
            let target = &mut best[next][offer.data_centre];
            if target.is_none_or(|step| total < step.cost) {
                *target = Some(Step { cost: total, offer: index, previous: from });
            }
        }
    }
}

fn walk_back(
    best: &[Vec<Option<Step>>],
    bounds: &[u32],
    end: (usize, usize),
    offers: &[StageOffer],
) -> Vec<PathStage> {
    let mut parts = Vec::new();
    let mut state = end;
    while state.0 > 0 {
        let step = best[state.0][state.1].expect("states on a path were reached");
        let offer = &offers[step.offer];
        let range = LayerRange { from: bounds[step.previous.0], to: bounds[state.0] };
        parts.push(PathStage { instance: offer.instance.clone(), address: offer.address, range });
        state = step.previous;
    }
    parts.reverse();
    parts
}

/// Joins parts of one replica, which may stand in a path only once. What lies between them is within
/// its own range, so it can run that as well.
fn merge_revisits(mut parts: Vec<PathStage>) -> Vec<PathStage> {
    let mut index = 0;
    while index < parts.len() {
        let later = (index + 1..parts.len())
            .rev()
            .find(|later| parts[*later].instance == parts[index].instance);
        if let Some(later) = later {
            parts[index].range.to = parts[later].range.to;
            parts.drain(index + 1..=later);
        }
        index += 1;
    }
    parts
}

/// Whether parts run each of `layers` layers once, in order.
pub fn is_complete_path(parts: &[PathStage], layers: u32) -> bool {
    let mut next = 0;
    for part in parts {
        if part.range.from != next || part.range.is_empty() {
            return false;
        }
        next = part.range.to;
    }
    next == layers
}
