//! Chooses the path of a request: the cheapest sequence of replicas that runs each layer of the
//! model once.
//!
//! Each replica offers the layers that it holds at a cost for each layer, which grows as its memory
//! for requests fills up. A stage of a path may use any part of what a replica holds. The path is
//! found by dynamic programming over layer boundaries and data centres; the worst case is
//! boundaries² × replicas × data centres, about 30,000 steps for 40 replicas of 80 layers.

use std::net::SocketAddr;

use crate::{
    fleet::LayerRange,
    instance::ReplicaInstance,
    pass_load::{CompletePath, LoadRule, StageLoad, choose_data_centre, load_weight},
};

/// Maximum number of stages of a path.
pub const MAX_STAGES: usize = 32;

/// Costs by which paths are compared, in milliseconds of a token step. Only their ratios matter,
/// not the unit. Crossing to another data centre moves the activations of a whole prompt over a
/// shared link (20 ms of it for a usual prompt), and the prompts of two data centres more than fill
/// the link. A path therefore crosses only if no data centre has a complete one. Starting in
/// another data centre moves only the bytes of the request.
#[derive(Clone, Copy, Debug)]
pub struct PathCosts {
    /// One more stage.
    pub hop: f64,
    /// Crossing from one data centre to another.
    pub crossing: f64,
    /// Starting outside the relay's own data centre.
    pub remote_start: f64,
}

impl Default for PathCosts {
    fn default() -> Self {
        Self { hop: 0.5, crossing: 1_000.0, remote_start: 3.0 }
    }
}

/// Fraction of a replica's slots up to which new paths start there. The rest is for requests that
/// other relays start meanwhile, which this relay learns of 0.1 to 0.4 s later.
const PLANNED_SLOT_FRACTION: f64 = 0.95;

/// Factor of the start cost. A replica half of whose planned slots are taken costs half of it,
/// against 0.5 for one more hop. That is more than starting in another data centre costs, so that
/// relays that do not learn of each other's requests in time do not all start at the same replica.
const SLOT_COST: f64 = 8.0;

/// Cost of starting at a replica without a free slot; used if no other path is left either.
pub const FULL_START_COST: f64 = 100.0;

/// Returns the cost of starting at a replica where `running` requests started that still run, or
/// `None` if all of its `slots` are taken; 0 slots mean no limit. A replica accepts only so many
/// requests as the first of their path and rejects the rest. Without this cost, a replica that is
/// cheap for all relays gets twice as many requests as it has slots, while others have free ones.
pub fn start_cost(running: f64, slots: u32) -> Option<f64> {
    if slots == 0 {
        return Some(0.0);
    }
    let taken = running / (f64::from(slots) * PLANNED_SLOT_FRACTION);
    (taken < 1.0).then(|| SLOT_COST * taken * taken / (1.0 - taken))
}

/// What a replica offers to paths.
#[derive(Clone, Debug)]
pub struct StageOffer {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Its address.
    pub address: SocketAddr,
    /// Number of its data centre, below [`PathRequest::data_centres`].
    pub data_centre: usize,
    /// Layers that it holds.
    pub range: LayerRange,
    /// Cost for each layer, in milliseconds of a token step.
    pub layer_cost: f64,
    /// Memory for requests that is left, in tokens times layers.
    pub free_token_layers: f64,
    /// Cost of starting here, which grows as its slots fill up; `None` if no slot is free.
    pub start_cost: Option<f64>,
    /// Whether no path may start here at the moment, at any cost: the replica asked this VM to back
    /// off, or its rate limit allows no request now.
    pub is_throttled: bool,
    /// Times of its passes under its present load; not part of `layer_cost`.
    pub load: StageLoad,
}

/// One stage of a path: the layers that one replica runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathStage {
    /// The replica.
    pub instance: ReplicaInstance,
    /// Its address.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub range: LayerRange,
}

/// What a path is needed for.
#[derive(Clone, Debug)]
pub struct PathRequest<'a> {
    /// Number of layers of the model.
    pub layers: u32,
    /// Maximum number of tokens that the request may hold.
    pub tokens: f64,
    /// Number of the relay's own data centre.
    pub local_data_centre: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Whether the path may cross from one data centre to another.
    pub may_cross: bool,
    /// Replica that the path must start with, and the layers that it must run there; set when the
    /// path of a running request is changed.
    pub first: Option<(&'a ReplicaInstance, LayerRange)>,
    /// How the load of the engines counts; `None` if it does not.
    pub load: Option<LoadRule<'a>>,
}

/// The last stage of the cheapest path to one state.
#[derive(Clone, Copy, Debug)]
struct Step {
    cost: f64,
    offer: usize,
    previous: (usize, usize),
}

/// Cheapest steps to each state: a boundary, and a row for each data centre and one for "no stage
/// yet".
type StepTable = Vec<Vec<Option<Step>>>;

/// What a search for a path reads.
struct PathSearch<'a> {
    request: &'a PathRequest<'a>,
    offers: &'a [StageOffer],
    costs: &'a PathCosts,
    bounds: Vec<u32>,
    /// Weight of the pass times under load in the cost of a layer; 0 if they do not count.
    load_weight: f64,
}

/// Returns the cheapest path, or `None` if the offers leave a gap, have too little memory or would
/// need more than [`MAX_STAGES`] stages.
///
/// If the load of the engines counts, the path may start in another data centre as
/// [`choose_data_centre`] decides.
pub fn choose_path(
    request: &PathRequest<'_>,
    offers: &[StageOffer],
    costs: &PathCosts,
) -> Option<Vec<PathStage>> {
    let bounds = boundaries(request, offers);
    let load_weight = load_weight(request, offers);
    let search = PathSearch { request, offers, costs, bounds, load_weight };
    let best = search.run();
    let last = search.bounds.len() - 1;
    let ends = best[last].iter().enumerate();
    let ends = ends.filter_map(|(row, step)| Some((row, (*step)?.cost)));
    let row = match &request.load {
        Some(rule) if load_weight > 0.0 => {
            let complete: Vec<CompletePath> =
                ends.map(|(row, cost)| search.complete_path(&best, row, cost)).collect();
            choose_data_centre(request, rule, &complete, costs)?
        }
        rule => {
            let keeps_local = rule.is_some_and(|rule| rule.keeps_local);
            ends.filter(|(row, _)| !keeps_local || *row == request.local_data_centre)
                .min_by(|left, right| left.1.total_cmp(&right.1))?
                .0
        }
    };
    let stages = merge_revisits(search.backtrack(&best, (last, row)));
    (stages.len() <= MAX_STAGES).then_some(stages)
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

impl PathSearch<'_> {
    /// Finds the cheapest steps to each state.
    fn run(&self) -> StepTable {
        let start_row = self.request.data_centres;
        let rows = start_row + 1;
        let mut best: StepTable = vec![vec![None; rows]; self.bounds.len()];
        best[0][start_row] = Some(Step { cost: 0.0, offer: usize::MAX, previous: (0, start_row) });
        for position in 0..self.bounds.len() - 1 {
            for row in 0..rows {
                let Some(step) = best[position][row] else { continue };
                self.relax((position, row), step.cost, &mut best);
            }
        }
        best
    }

    /// Tries every stage that may follow the state `from`, which is a boundary and a row of `best`.
    fn relax(&self, from: (usize, usize), cost: f64, best: &mut [Vec<Option<Step>>]) {
        let Self { request, costs, bounds, .. } = self;
        let (position, row) = from;
        let is_start = row == request.data_centres;
        let layer = bounds[position];
        for (index, offer) in self.offers.iter().enumerate() {
            let required = request.first.filter(|_| is_start);
            let is_other = required.is_some_and(|(instance, _)| *instance != offer.instance);
            if is_other || !offer.range.contains(layer) {
                continue;
            }
            let start_cost = match is_start {
                true => offer.start_cost.or(required.map(|_| 0.0)),
                false => Some(0.0),
            };
            let Some(start_cost) = start_cost else { continue };
            let transition_cost = match is_start {
                true if offer.data_centre == request.local_data_centre => start_cost,
                true => costs.remote_start + start_cost,
                false if offer.data_centre == row => 0.0,
                false if request.may_cross => costs.crossing,
                false => continue,
            };
            let layer_cost = offer.layer_cost + self.load_weight * offer.load.load_ms;
            for next in position + 1..bounds.len() {
                let to = bounds[next];
                let span = f64::from(to - layer);
                if to > offer.range.to || span * request.tokens > offer.free_token_layers {
                    break;
                }
                if required.is_some_and(|(_, range)| range.to != to) {
                    continue;
                }
                let total = cost + transition_cost + costs.hop + layer_cost * span;
                let target = &mut best[next][offer.data_centre];
                if target.is_none_or(|step| total < step.cost) {
                    *target = Some(Step { cost: total, offer: index, previous: from });
                }
            }
        }
    }

    /// Returns the offers of the cheapest path to a state and the layers that each runs, the last
    /// stage first.
    fn stages_back<'a>(
        &'a self,
        best: &'a StepTable,
        end: (usize, usize),
    ) -> impl Iterator<Item = (&'a StageOffer, LayerRange)> {
        let mut state = end;
        std::iter::from_fn(move || {
            if state.0 == 0 {
                return None;
            }
            let step = best[state.0][state.1].expect("each state on a path was reached");
            let range = LayerRange { from: self.bounds[step.previous.0], to: self.bounds[state.0] };
            state = step.previous;
            Some((&self.offers[step.offer], range))
        })
    }

    fn backtrack(&self, best: &StepTable, end: (usize, usize)) -> Vec<PathStage> {
        let stages = self.stages_back(best, end).map(|(offer, range)| PathStage {
            instance: offer.instance.clone(),
            address: offer.address,
            range,
        });
        let mut stages: Vec<PathStage> = stages.collect();
        stages.reverse();
        stages
    }

    /// Returns the costs and times of the cheapest path that ends in a data centre.
    fn complete_path(&self, best: &StepTable, row: usize, cost: f64) -> CompletePath {
        let mut path = CompletePath { data_centre: row, cost, ..CompletePath::default() };
        let mut load_ms = 0.0;
        for (offer, range) in self.stages_back(best, (self.bounds.len() - 1, row)) {
            let layers = f64::from(range.len());
            load_ms += offer.load.load_ms * layers;
            path.token_ms += (offer.load.step_ms + offer.load.load_ms) * layers;
            path.read_ms += offer.load.read_ms * layers;
            path.crosses |= offer.data_centre != row;
        }
        path.unloaded_cost = cost - self.load_weight * load_ms;
        path
    }
}

/// Merges stages at the same replica, which may occur only once in a path. The layers between them
/// are within the replica's own range, so it can run those as well.
fn merge_revisits(mut stages: Vec<PathStage>) -> Vec<PathStage> {
    let mut index = 0;
    while index < stages.len() {
        let later = (index + 1..stages.len())
            .rev()
            .find(|later| stages[*later].instance == stages[index].instance);
        if let Some(later) = later {
            stages[index].range.to = stages[later].range.to;
            stages.drain(index + 1..=later);
        }
        index += 1;
    }
    stages
}

/// Returns whether the stages run each of `layers` layers once, in order.
pub fn is_complete_path(stages: &[PathStage], layers: u32) -> bool {
    let mut next = 0;
    for stage in stages {
        if stage.range.from != next || stage.range.is_empty() {
            return false;
        }
        next = stage.range.to;
    }
    next == layers
}
