//! Which VM holds which layers.
//!
//! A placement cuts the model into stages and gives each VM one stage. What a pipeline delivers is
//! what its weakest stage delivers, so a placement is judged by the smallest stage total. Three ways
//! are kept, as the choice between them is a measurement: [`even_split`], [`proportional_split`] and
//! [`searched_split`], which starts from the second and moves or swaps VMs between stages, and layers
//! across boundaries, while the smallest total rises.
//!
//! The search is deterministic, so two entries that plan at once come to the same plan. Its worst
//! case is `rounds * stages * VMs^2` evaluations of constant cost.

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, route::LayerRange};

/// A VM that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementVm {
    /// Name.
    pub name: String,
    /// Layers a second at its best batch: the rate of tokens through one layer.
    pub layer_rate: f64,
    /// Most layers that fit its memory.
    pub max_layers: u32,
}

/// What one VM is to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementEntry {
    /// Name of the VM.
    pub vm: String,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// What every VM is to hold, in the order in which to load it: the first entries tile the model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementPlan {
    /// Entries in the order of loading.
    pub entries: Vec<PlacementEntry>,
}

/// A split under construction: ends of the stages, and the stage of each VM.
#[derive(Clone, Debug)]
struct StageSplit {
    ends: Vec<u32>,
    stage_of: Vec<usize>,
}

impl StageSplit {
    fn len_of(&self, stage: usize) -> u32 {
        let start = stage.checked_sub(1).map_or(0, |before| self.ends[before]);
        self.ends[stage] - start
    }

    fn totals(&self, vms: &[PlacementVm]) -> Vec<f64> {
        let mut totals = vec![0.0; self.ends.len()];
        for (vm, stage) in vms.iter().zip(&self.stage_of) {
            let len = self.len_of(*stage);
            if len <= vm.max_layers {
                totals[*stage] += vm.layer_rate / f64::from(len);
            }
        }
        totals
    }

    /// The smallest total, with a little of the sum so that ties move towards balance.
    fn score(&self, vms: &[PlacementVm]) -> f64 {
        let totals = self.totals(vms);
        let least = totals.iter().copied().fold(f64::INFINITY, f64::min);
        least + totals.iter().sum::<f64>() * 1e-9
    }
}

/// Tokens a second of a plan: the smallest total over the boundaries of its stages.
///
/// Stages are told apart by their ranges, so this judges plans with one set of boundaries.
pub fn plan_rate(plan: &PlacementPlan, vms: &[PlacementVm]) -> f64 {
    let mut ranges: Vec<LayerRange> = plan.entries.iter().map(|entry| entry.layers).collect();
    ranges.sort();
    ranges.dedup();
    let total = |range: &LayerRange| -> f64 {
        let held = plan.entries.iter().filter(|entry| entry.layers == *range);
        let found = held.filter_map(|entry| vms.iter().find(|vm| vm.name == entry.vm));
        found.map(|vm| vm.layer_rate / f64::from(range.count())).sum()
    };
    let least = ranges.iter().map(total).fold(f64::INFINITY, f64::min);
    if least.is_finite() { least } else { 0.0 }
}

/// Cuts the layers evenly and deals the VMs to the stages in turn.
///
/// # Errors
///
/// Fails with [`ErrorKind::OutOfBounds`] where there are fewer VMs than stages, or fewer layers.
pub fn even_split(vms: &[PlacementVm], layers: u32, stages: usize) -> Result<PlacementPlan, Error> {
    check(vms, layers, stages)?;
    let split = StageSplit {
        ends: even_ends(layers, stages),
        stage_of: (0..vms.len()).map(|index| index % stages).collect(),
    };
    finish(&split, vms)
}

/// Cuts the layers evenly and deals the fastest VM left to the stage with the smallest total.
///
/// # Errors
///
/// As [`even_split`].
pub fn proportional_split(
    vms: &[PlacementVm],
    layers: u32,
    stages: usize,
) -> Result<PlacementPlan, Error> {
    check(vms, layers, stages)?;
    finish(&dealt_by_speed(vms, even_ends(layers, stages)), vms)
}

/// Improves the proportional split by moving VMs and boundaries, for at most `rounds` rounds.
///
/// # Errors
///
/// As [`even_split`].
pub fn searched_split(
    vms: &[PlacementVm],
    layers: u32,
    stages: usize,
    rounds: usize,
) -> Result<PlacementPlan, Error> {
    check(vms, layers, stages)?;
    let mut best = dealt_by_speed(vms, even_ends(layers, stages));
    let mut score = best.score(vms);
    for _ in 0..rounds {
        let better = neighbours(&best, vms, layers).find_map(|candidate| {
            let candidate_score = candidate.score(vms);
            let is_better = candidate_score > score * (1.0 + 1e-9);
            is_better.then_some((candidate, candidate_score))
        });
        let Some((candidate, candidate_score)) = better else {
            break;
        };
        best = candidate;
        score = candidate_score;
    }
    finish(&best, vms)
}

fn check(vms: &[PlacementVm], layers: u32, stages: usize) -> Result<(), Error> {
    if stages == 0 || vms.len() < stages || (layers as usize) < stages {
        let detail =
            format!("{stages} stages need as many VMs and layers, have {} and {layers}", vms.len());
        return Err(Error::new(ErrorKind::OutOfBounds, detail));
    }
    Ok(())
}

fn even_ends(layers: u32, stages: usize) -> Vec<u32> {
    let stages = stages as u32;
    (1..=stages).map(|stage| layers * stage / stages).collect()
}

fn dealt_by_speed(vms: &[PlacementVm], ends: Vec<u32>) -> StageSplit {
    let mut split = StageSplit { stage_of: vec![0; vms.len()], ends };
    let mut order: Vec<usize> = (0..vms.len()).collect();
    order.sort_by(|left, right| {
        let rates = vms[*right].layer_rate.total_cmp(&vms[*left].layer_rate);
        rates.then_with(|| vms[*left].name.cmp(&vms[*right].name))
    });
    let mut totals = vec![0.0_f64; split.ends.len()];
    for index in order {
        let lens: Vec<u32> = (0..split.ends.len()).map(|stage| split.len_of(stage)).collect();
        let fits = |stage: &usize| lens[*stage] <= vms[index].max_layers;
        let stages = (0..lens.len()).filter(fits);
        let least = stages.min_by(|left, right| totals[*left].total_cmp(&totals[*right]));
        let stage = least.unwrap_or(0);
        split.stage_of[index] = stage;
        if fits(&stage) {
            totals[stage] += vms[index].layer_rate / f64::from(lens[stage]);
        }
    }
    split
}

/// Splits that differ by one boundary (with the VMs dealt anew), one VM, or one swap.
fn neighbours<'a>(
    split: &'a StageSplit,
    vms: &'a [PlacementVm],
    layers: u32,
) -> impl Iterator<Item = StageSplit> + 'a {
    let totals = split.totals(vms);
    let stages = 0..totals.len();
    let least = stages.min_by(|left, right| totals[*left].total_cmp(&totals[*right]));
    let least = least.unwrap_or(0);
    let boundaries = (0..split.ends.len().saturating_sub(1)).flat_map(move |boundary| {
        let moved = [split.ends[boundary] - 1, split.ends[boundary] + 1];
        moved.into_iter().filter_map(move |end| with_end(split, vms, boundary, end, layers))
    });
    let others = move || (0..vms.len()).filter(move |vm| split.stage_of[*vm] != least);
    let moves = others().map(move |vm| {
        let mut next = split.clone();
        next.stage_of[vm] = least;
        next
    });
    let own = (0..vms.len()).filter(move |vm| split.stage_of[*vm] == least);
    let swaps = own.flat_map(move |mine| {
        others().map(move |theirs| {
            let mut next = split.clone();
            next.stage_of.swap(mine, theirs);
            next
        })
    });
    boundaries.chain(moves).chain(swaps)
}

fn with_end(
    split: &StageSplit,
    vms: &[PlacementVm],
    boundary: usize,
    end: u32,
    layers: u32,
) -> Option<StageSplit> {
    let mut ends = split.ends.clone();
    ends[boundary] = end;
    let start = boundary.checked_sub(1).map_or(0, |before| ends[before]);
    let next = ends.get(boundary + 1).copied().unwrap_or(layers);
    (start < end && end < next).then(|| dealt_by_speed(vms, ends))
}

fn finish(split: &StageSplit, vms: &[PlacementVm]) -> Result<PlacementPlan, Error> {
    let mut entries = Vec::with_capacity(vms.len());
    let mut rank_in_stage = vec![0; split.ends.len()];
    let mut order: Vec<usize> = (0..vms.len()).collect();
    order.sort_by(|left, right| vms[*right].layer_rate.total_cmp(&vms[*left].layer_rate));
    let mut ranked = Vec::new();
    for index in order {
        let stage = split.stage_of[index];
        let first = stage.checked_sub(1).map_or(0, |before| split.ends[before]);
        let layers = LayerRange::new(first, split.ends[stage])?;
        if layers.count() > vms[index].max_layers {
            continue;
        }
        ranked.push((
            rank_in_stage[stage],
            stage,
            PlacementEntry { vm: vms[index].name.clone(), layers },
        ));
        rank_in_stage[stage] += 1;
    }
    // One VM of each stage first, so that a whole tiling exists as early as possible.
    ranked.sort_by_key(|(rank, stage, _)| (*rank, *stage));
    entries.extend(ranked.into_iter().map(|(_, _, entry)| entry));
    Ok(PlacementPlan { entries })
}
