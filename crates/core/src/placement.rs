//! Assignment of model layers to VMs.
//!
//! A placement splits the model into stages and assigns each VM to one stage. The throughput of a
//! pipeline is that of its slowest stage, so a placement is scored by the lowest stage rate: the
//! sum of the rates of the stage's VMs. There are three algorithms, so that they can be compared by
//! measurement: [`even_split`], [`proportional_split`] and [`searched_split`], a local search that
//! starts from the proportional split and moves or swaps VMs between stages, or moves stage
//! boundaries, while the lowest stage rate increases.
//!
//! The search is deterministic, so entries that plan at the same time produce the same plan. Its
//! worst case is `rounds * stages * VMs^2` evaluations of constant cost.

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, route::LayerRange};

/// A VM that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementVm {
    /// Name of the VM.
    pub name: String,
    /// Layers per second at the best batch size: the rate at which tokens pass through one layer.
    pub layer_rate: f64,
    /// Maximum number of layers that fit into the VM's memory.
    pub max_layers: u32,
}

/// Layers assigned to one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementEntry {
    /// Name of the VM.
    pub vm: String,
    /// Layers that the VM loads.
    pub layers: LayerRange,
}

/// Layers assigned to every VM, in loading order.
///
/// The first entries, one of each stage, tile the model, so that a complete pipeline exists as
/// early as possible.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementPlan {
    /// Assignments in loading order.
    pub entries: Vec<PlacementEntry>,
}

/// A candidate split of the model into stages.
#[derive(Clone, Debug)]
struct StageSplit {
    /// End layer of each stage, exclusive.
    ends: Vec<u32>,
    /// Stage of each VM, by the VM's index.
    stage_of: Vec<usize>,
}

impl StageSplit {
    fn stage_len(&self, stage: usize) -> u32 {
        let start = stage.checked_sub(1).map_or(0, |before| self.ends[before]);
        self.ends[stage] - start
    }

    fn stage_rates(&self, vms: &[PlacementVm]) -> Vec<f64> {
        let mut stage_rates = vec![0.0; self.ends.len()];
        for (vm, stage) in vms.iter().zip(&self.stage_of) {
            let len = self.stage_len(*stage);
            if len <= vm.max_layers {
                stage_rates[*stage] += vm.layer_rate / f64::from(len);
            }
        }
        stage_rates
    }

    /// Returns the lowest stage rate. A tiny share of the sum of all rates breaks ties.
    fn score(&self, vms: &[PlacementVm]) -> f64 {
        let stage_rates = self.stage_rates(vms);
        let lowest = stage_rates.iter().copied().fold(f64::INFINITY, f64::min);
        lowest + stage_rates.iter().sum::<f64>() * 1e-9
    }
}

/// Returns the throughput of a plan in tokens per second: its lowest stage rate, or 0 for an empty
/// plan.
///
/// Stages are identified by their layer ranges, so all entries must use the same stage boundaries.
pub fn plan_rate(plan: &PlacementPlan, vms: &[PlacementVm]) -> f64 {
    let mut ranges: Vec<LayerRange> = plan.entries.iter().map(|entry| entry.layers).collect();
    ranges.sort();
    ranges.dedup();
    let stage_rate = |range: &LayerRange| -> f64 {
        let assigned = plan.entries.iter().filter(|entry| entry.layers == *range);
        let found = assigned.filter_map(|entry| vms.iter().find(|vm| vm.name == entry.vm));
        found.map(|vm| vm.layer_rate / f64::from(range.count())).sum()
    };
    let lowest = ranges.iter().map(stage_rate).fold(f64::INFINITY, f64::min);
    if lowest.is_finite() { lowest } else { 0.0 }
}

/// Splits the layers evenly and assigns the VMs to the stages round-robin.
///
/// # Errors
///
/// Returns [`ErrorKind::OutOfBounds`] if `stages` is 0, or above the number of VMs or layers.
pub fn even_split(vms: &[PlacementVm], layers: u32, stages: usize) -> Result<PlacementPlan, Error> {
    check_counts(vms, layers, stages)?;
    let split = StageSplit {
        ends: even_ends(layers, stages),
        stage_of: (0..vms.len()).map(|index| index % stages).collect(),
    };
    build_plan(&split, vms)
}

/// Splits the layers evenly and assigns the VMs, fastest first, to the stage with the lowest rate.
///
/// # Errors
///
/// See [`even_split`].
pub fn proportional_split(
    vms: &[PlacementVm],
    layers: u32,
    stages: usize,
) -> Result<PlacementPlan, Error> {
    check_counts(vms, layers, stages)?;
    build_plan(&assign_by_rate(vms, even_ends(layers, stages)), vms)
}

/// Improves the proportional split by local search: for at most `rounds` rounds, takes the first
/// change to a boundary or to the stage of VMs that raises the score.
///
/// # Errors
///
/// See [`even_split`].
pub fn searched_split(
    vms: &[PlacementVm],
    layers: u32,
    stages: usize,
    rounds: usize,
) -> Result<PlacementPlan, Error> {
    check_counts(vms, layers, stages)?;
    let mut best = assign_by_rate(vms, even_ends(layers, stages));
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
    build_plan(&best, vms)
}

fn check_counts(vms: &[PlacementVm], layers: u32, stages: usize) -> Result<(), Error> {
    if stages == 0 || vms.len() < stages || (layers as usize) < stages {
        let detail = format!(
            "{stages} stages need at least as many VMs and layers, got {} VMs and {layers} layers",
            vms.len()
        );
        return Err(Error::new(ErrorKind::OutOfBounds, detail));
    }
    Ok(())
}

/// Returns the end layers of `stages` stages of nearly equal length.
fn even_ends(layers: u32, stages: usize) -> Vec<u32> {
    let stages = stages as u32;
    (1..=stages).map(|stage| layers * stage / stages).collect()
}

/// Assigns the VMs, fastest first, to the stage with the lowest rate whose layers fit their memory.
fn assign_by_rate(vms: &[PlacementVm], ends: Vec<u32>) -> StageSplit {
    let mut split = StageSplit { stage_of: vec![0; vms.len()], ends };
    let mut order: Vec<usize> = (0..vms.len()).collect();
    order.sort_by(|left, right| {
        let rates = vms[*right].layer_rate.total_cmp(&vms[*left].layer_rate);
        rates.then_with(|| vms[*left].name.cmp(&vms[*right].name))
    });
    let mut stage_rates = vec![0.0_f64; split.ends.len()];
    for index in order {
        let lens: Vec<u32> = (0..split.ends.len()).map(|stage| split.stage_len(stage)).collect();
        let fits = |stage: &usize| lens[*stage] <= vms[index].max_layers;
        let stages = (0..lens.len()).filter(fits);
        let lowest =
            stages.min_by(|left, right| stage_rates[*left].total_cmp(&stage_rates[*right]));
        let stage = lowest.unwrap_or(0);
        split.stage_of[index] = stage;
        if fits(&stage) {
            stage_rates[stage] += vms[index].layer_rate / f64::from(lens[stage]);
        }
    }
    split
}

/// Returns the splits that differ from `split` by one change: one boundary moved by one layer (with
/// the VMs assigned anew), one VM moved to the slowest stage, or one VM of the slowest stage
/// swapped with a VM of another stage.
fn neighbours<'a>(
    split: &'a StageSplit,
    vms: &'a [PlacementVm],
    layers: u32,
) -> impl Iterator<Item = StageSplit> + 'a {
    let stage_rates = split.stage_rates(vms);
    let stages = 0..stage_rates.len();
    let slowest = stages.min_by(|left, right| stage_rates[*left].total_cmp(&stage_rates[*right]));
    let slowest = slowest.unwrap_or(0);
    let boundaries = (0..split.ends.len().saturating_sub(1)).flat_map(move |boundary| {
        let moved = [split.ends[boundary] - 1, split.ends[boundary] + 1];
        moved.into_iter().filter_map(move |end| move_boundary(split, vms, boundary, end, layers))
    });
    let other_vms = move || (0..vms.len()).filter(move |vm| split.stage_of[*vm] != slowest);
    let moves = other_vms().map(move |vm| {
        let mut next = split.clone();
        next.stage_of[vm] = slowest;
        next
    });
    let slowest_vms = (0..vms.len()).filter(move |vm| split.stage_of[*vm] == slowest);
    let swaps = slowest_vms.flat_map(move |slowest_vm| {
        other_vms().map(move |other_vm| {
            let mut next = split.clone();
            next.stage_of.swap(slowest_vm, other_vm);
            next
        })
    });
    boundaries.chain(moves).chain(swaps)
}

/// Returns the split with the end of stage `boundary` moved to `end` and the VMs assigned anew, or
/// `None` if a stage would be empty.
fn move_boundary(
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
    (start < end && end < next).then(|| assign_by_rate(vms, ends))
}

/// Converts the split to a plan in loading order; leaves out VMs whose memory is too small.
fn build_plan(split: &StageSplit, vms: &[PlacementVm]) -> Result<PlacementPlan, Error> {
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
    // Loads one VM of each stage first, so that a complete pipeline exists as early as possible.
    ranked.sort_by_key(|(rank, stage, _)| (*rank, *stage));
    entries.extend(ranked.into_iter().map(|(_, _, entry)| entry));
    Ok(PlacementPlan { entries })
}
