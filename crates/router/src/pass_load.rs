//! Estimates how long the engines of a path take under their present load.
//!
//! An engine runs one pass for each token of the requests that it runs, and reads the prompts of
//! new requests in between. The time of a pass grows with the number of these requests, which
//! follows from the memory that all relays reserved there. Two decisions use it: which replicas of
//! a data centre a path uses, and whether it starts in another data centre.
//!
//! Relays learn of each other's reservations up to 1.2 s late, and each chooses alone. If all of
//! them moved to the data centre that was faster, it would be the slower one a second later.
//! Therefore, the saving has to exceed [`LOAD_MARGIN`], and each relay moves a part of its starts
//! that follows from the saving and is at most [`MAX_MOVED_SHARE`].

use crate::{
    Millis,
    path::{PathCosts, PathRequest, StageOffer},
    routing::{AcceleratorKind, EngineSpec},
};

/// Age in milliseconds from which the reservations in another data centre are not used. They are
/// sent every 1.2 s, so one message may be lost.
pub const ESTIMATE_MAX_AGE: Millis = 2_000;

/// Fraction by which what runs in two data centres has to differ for the load to count, and by
/// which a request has to take longer in the own data centre for it to start in the other one.
/// Smaller differences are within what changes while a report is on its way.
pub const LOAD_MARGIN: f64 = 0.25;

/// Fraction by which what runs has to differ for the load to count fully. In between, its weight
/// grows linearly, so that the choice does not change abruptly at the margin.
const FULL_WEIGHT_DIFFERENCE: f64 = 0.5;

/// Maximum share of a relay's starts that move to other data centres because of the load.
pub const MAX_MOVED_SHARE: f64 = 0.5;

/// Share of the starts that move for each unit of the relative saving. Where all starts that may
/// move did, the lead among three data centres changed 37 times in 51 s of short requests, instead
/// of 12 times.
const MOVED_SHARE_GAIN: f64 = 1.0;

/// Times of one layer of a replica under its present load, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageLoad {
    /// Number of requests that run there.
    pub running: f64,
    /// Time in a token step without any other request.
    pub step_ms: f64,
    /// Additional time in a token step for the requests that run there.
    pub load_ms: f64,
    /// Time to read a usual prompt.
    pub read_ms: f64,
}

/// How the load of the engines counts for a request.
#[derive(Clone, Copy, Debug)]
pub struct LoadRule<'a> {
    /// Delay from the relay to each data centre in milliseconds, by number; `None` if what runs
    /// there is not known or older than [`ESTIMATE_MAX_AGE`].
    pub distances: &'a [Option<f64>],
    /// Random number from 0 to 1 that decides whether the request is one of those that may move.
    pub draw: f64,
    /// Whether the path starts in the own data centre unless the load moves it. Set if only some
    /// replicas of the other data centres are offered, which are there for this comparison only.
    pub keeps_local: bool,
}

/// Cheapest path that ends in a data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct CompletePath {
    /// Number of the data centre.
    pub data_centre: usize,
    /// Its cost, the load included.
    pub cost: f64,
    /// Its cost without the load.
    pub unloaded_cost: f64,
    /// Time of a token step under load, in milliseconds.
    pub token_ms: f64,
    /// Time to read the prompt under load, in milliseconds.
    pub read_ms: f64,
    /// Whether it runs layers in another data centre as well.
    pub crosses: bool,
}

/// Returns the number of requests that run at a replica, from its reserved memory in tokens times
/// layers. A request that runs only some of the layers there counts as a part.
pub fn running_requests(engine: &EngineSpec, reserved: f64, held: u32) -> f64 {
    let tokens = f64::from(engine.mean_prompt_tokens + engine.mean_completion_tokens);
    reserved / (tokens.max(1.0) * f64::from(held.max(1)))
}

/// Returns the times of one layer at a replica where `running` requests run and which is slower
/// than its kind by the factor `slowdown`.
///
/// Each running request reads its prompt once and takes part in one pass for each token of its
/// completion. A pass therefore reads the prompt's share of one token for each of them. The same
/// work slows down the reading of the next prompt.
pub fn stage_load(
    engine: &EngineSpec,
    kind: Option<&AcceleratorKind>,
    slowdown: f64,
    running: f64,
) -> StageLoad {
    let (step_factor, read_factor) =
        kind.map_or((1.0, 1.0), |kind| (kind.step_factor, kind.read_factor));
    let layers = f64::from(engine.layers.max(1));
    let prompt = f64::from(engine.mean_prompt_tokens);
    let completion = f64::from(engine.mean_completion_tokens);
    let times = &engine.pass_times;
    let context_k = (prompt + completion / 2.0) / 1_000.0;
    let write_ms = (times.per_sequence_ms + times.context_ms * context_k) * step_factor;
    let prompt_ms = match times.read_per_s > 0.0 {
        true => prompt / times.read_per_s * 1_000.0 * read_factor,
        false => 0.0,
    };
    let step_ms = engine.step_ms * step_factor * slowdown / layers;
    let load_ms = running * (write_ms + prompt_ms / completion.max(1.0)) * slowdown / layers;
    let stretch = if step_ms > 0.0 { 1.0 + load_ms / step_ms } else { 1.0 };
    StageLoad { running, step_ms, load_ms, read_ms: prompt_ms * slowdown / layers * stretch }
}

/// Returns the weight of the load in the cost of a layer, from 0 to 1: 0 if no rule applies, or if
/// about as much runs at the replicas of each data centre.
pub fn load_weight(request: &PathRequest<'_>, offers: &[StageOffer]) -> f64 {
    let Some(rule) = &request.load else { return 0.0 };
    // Requests that run, times layers, and layers.
    let mut sums = vec![(0.0, 0.0); request.data_centres];
    for offer in offers {
        let is_kept = request.first.is_some_and(|(first, _)| *first == offer.instance);
        let is_known = rule.distances.get(offer.data_centre).is_some_and(Option::is_some);
        if is_known && !is_kept {
            let layers = f64::from(offer.range.len());
            sums[offer.data_centre].0 += offer.load.running * layers;
            sums[offer.data_centre].1 += layers;
        }
    }
    let means = sums.iter().filter(|(_, layers)| *layers > 0.0).map(|(sum, layers)| sum / layers);
    let (least, most) = means
        .fold((f64::INFINITY, 0.0_f64), |(least, most), mean| (least.min(mean), most.max(mean)));
    if most <= least * (1.0 + LOAD_MARGIN) || !least.is_finite() {
        return 0.0;
    }
    let difference = most / least - 1.0;
    ((difference - LOAD_MARGIN) / (FULL_WEIGHT_DIFFERENCE - LOAD_MARGIN)).min(1.0)
}

/// Returns the data centre in which the path is to end, of those with a complete one.
///
/// It is the cheapest one without the load, as where the load does not count. If that is the own
/// data centre, and others are faster by more than the margin, a share of the requests moves there:
/// for them, starting there costs its distance instead of [`PathCosts::remote_start`].
pub fn choose_data_centre(
    request: &PathRequest<'_>,
    rule: &LoadRule<'_>,
    complete: &[CompletePath],
    costs: &PathCosts,
) -> Option<usize> {
    let usual = complete
        .iter()
        .filter(|path| !rule.keeps_local || path.data_centre == request.local_data_centre)
        .min_by(|left, right| left.unloaded_cost.total_cmp(&right.unloaded_cost))?;
    let is_local = usual.data_centre == request.local_data_centre && !usual.crosses;
    if !is_local || request.first.is_some() {
        return Some(usual.data_centre);
    }
    let candidates: Vec<(&CompletePath, f64, f64)> = complete
        .iter()
        .filter(|path| path.data_centre != usual.data_centre)
        .filter_map(|path| {
            let distance = rule.distances.get(path.data_centre).copied().flatten()?;
            Some((path, distance, moved_share(usual, path, distance)?))
        })
        .collect();
    let total: f64 = candidates.iter().map(|(_, _, share)| share).sum();
    let scale = if total > MAX_MOVED_SHARE { MAX_MOVED_SHARE / total } else { 1.0 };
    let mut limit = 0.0;
    for (path, distance, share) in candidates {
        limit += share * scale;
        if rule.draw < limit {
            let cost = path.cost - costs.remote_start + distance.min(costs.remote_start);
            return Some(if cost < usual.cost { path } else { usual }.data_centre);
        }
    }
    Some(usual.data_centre)
}

/// Returns the share of the starts that may move from the own data centre to another one; `None` if
/// the saving does not exceed the margin, for each token and to the first event. The first event
/// crosses the distance both ways.
fn moved_share(own: &CompletePath, other: &CompletePath, distance: f64) -> Option<f64> {
    let factor = 1.0 + LOAD_MARGIN;
    let own_first = own.read_ms + own.token_ms;
    let other_first = other.read_ms + other.token_ms + 2.0 * distance;
    let is_faster = own.token_ms >= other.token_ms * factor && own_first >= other_first * factor;
    let saving = 1.0 - other.token_ms / own.token_ms;
    let can_move = is_faster && !other.crosses && saving > 0.0;
    can_move.then(|| (MOVED_SHARE_GAIN * saving).min(MAX_MOVED_SHARE))
}
