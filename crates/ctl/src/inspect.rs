//! Computes decisions from a deployment file: the upper bound of the throughput with its
//! bottleneck, placements of layers, and subsets of agents.

use std::{fs, path::Path};

use clap::ValueEnum;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use switchfold_core::{
    flow::{CutPart, FlowLink, FlowReplica, flow_bound},
    placement::{
        PlacementPlan, PlacementVm, even_split, plan_rate, proportional_split, searched_split,
    },
    route::LayerRange,
    subset::{balanced_subset, rendezvous_subset},
};

/// Contents of a deployment file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentFile {
    /// Name of the model.
    pub model: String,
    /// Number of the model's layers.
    pub layers: u32,
    /// Replicas, used for the throughput bound.
    #[serde(default)]
    pub replicas: Vec<ReplicaRow>,
    /// Links between data centres with limited bandwidth.
    #[serde(default)]
    pub links: Vec<LinkRow>,
    /// VMs to which layers are assigned, used for placements.
    #[serde(default)]
    pub vms: Vec<VmRow>,
}

/// A replica of the deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaRow {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// First layer that it holds.
    pub first_layer: u32,
    /// Layer after the last one that it holds.
    pub end_layer: u32,
    /// Tokens a second with full batches.
    pub tokens_per_s: f64,
}

/// A link of the deployment, in one direction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkRow {
    /// Sending data centre.
    pub from: String,
    /// Receiving data centre.
    pub to: String,
    /// Tokens a second whose activations the link can carry.
    pub tokens_per_s: f64,
}

/// A VM of the deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmRow {
    /// Name of the VM.
    pub name: String,
    /// Tokens a second if it held a single layer.
    pub layer_rate: f64,
    /// Largest number of layers that fit into its memory.
    #[serde(rename = "most_layers")]
    pub max_layers: u32,
}

/// Placement method.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum PlacementMethod {
    /// Stages with about equal numbers of layers, VMs assigned in turn.
    Even,
    /// Stages with about equal numbers of layers, the fastest VM assigned to the weakest stage.
    Proportional,
    /// As proportional, then improved by local search.
    Searched,
}

/// Why a deployment file could not be inspected.
#[derive(Debug, Display, Error)]
pub enum InspectError {
    /// The file cannot be read.
    #[display("{path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The file is not a deployment in JSON.
    #[display("{path}: {source}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// Error with its position.
        source: serde_json::Error,
    },
    /// A value is out of range or does not fit the others.
    #[display("{path}: {detail}")]
    InvalidValue {
        /// Path of the file.
        path: String,
        /// Which value, and what is wrong.
        detail: String,
    },
}

/// Number of rounds of the search for a placement.
const SEARCH_ROUNDS: usize = 500;

/// Reads a deployment file.
///
/// # Errors
///
/// See [`InspectError`].
pub fn read_deployment(path: &Path) -> Result<DeploymentFile, InspectError> {
    let name = path.display().to_string();
    let text =
        fs::read(path).map_err(|source| InspectError::Unreadable { path: name.clone(), source })?;
    serde_json::from_slice(&text).map_err(|source| InspectError::Malformed { path: name, source })
}

/// Returns a text with the throughput bound and the cut that limits it.
///
/// # Errors
///
/// Fails if a replica's range of layers is invalid.
pub fn describe_bound(path: &Path, deployment: &DeploymentFile) -> Result<String, InspectError> {
    let mut names: Vec<&str> =
        deployment.replicas.iter().map(|row| row.data_centre.as_str()).collect();
    names.extend(deployment.links.iter().flat_map(|link| [link.from.as_str(), link.to.as_str()]));
    names.sort_unstable();
    names.dedup();
    let index = |name: &str| names.iter().position(|known| *known == name).unwrap_or(0);
    let mut replicas = Vec::new();
    for row in &deployment.replicas {
        let layers = LayerRange::new(row.first_layer, row.end_layer).map_err(|error| {
            InspectError::InvalidValue {
                path: path.display().to_string(),
                detail: format!("replica {:?}: {error}", row.name),
            }
        })?;
        let milli_rate = (row.tokens_per_s * 1e3) as u64;
        let data_centre = index(&row.data_centre);
        replicas.push(FlowReplica { name: row.name.clone(), data_centre, layers, milli_rate });
    }
    let links: Vec<FlowLink> = deployment
        .links
        .iter()
        .map(|link| FlowLink {
            from: index(&link.from),
            to: index(&link.to),
            milli_rate: (link.tokens_per_s * 1e3) as u64,
        })
        .collect();
    let bound = flow_bound(&replicas, &links, deployment.layers);
    let mut text = format!("bound: {:.1} tokens/s\nheld back by:\n", bound.milli_rate as f64 / 1e3);
    for part in &bound.cut {
        text += &match part {
            CutPart::Replica(name) => format!("  vm {name}\n"),
            CutPart::Link { from, to, layer } => {
                format!("  link {} -> {} at layer {layer}\n", names[*from], names[*to])
            }
        };
    }
    Ok(text)
}

/// Returns a text with a placement and its throughput.
///
/// # Errors
///
/// Fails if the VMs cannot hold the model in this number of stages.
pub fn describe_placement(
    path: &Path,
    deployment: &DeploymentFile,
    stages: usize,
    method: PlacementMethod,
) -> Result<String, InspectError> {
    let vms: Vec<PlacementVm> = deployment
        .vms
        .iter()
        .map(|row| PlacementVm {
            name: row.name.clone(),
            layer_rate: row.layer_rate,
            max_layers: row.max_layers,
        })
        .collect();
    let placement = match method {
        PlacementMethod::Even => even_split(&vms, deployment.layers, stages),
        PlacementMethod::Proportional => proportional_split(&vms, deployment.layers, stages),
        PlacementMethod::Searched => searched_split(&vms, deployment.layers, stages, SEARCH_ROUNDS),
    };
    let plan: PlacementPlan = placement.map_err(|error| InspectError::InvalidValue {
        path: path.display().to_string(),
        detail: format!("vms: {error}"),
    })?;
    let mut text =
        format!("rate: {:.1} tokens/s\nin the order of loading:\n", plan_rate(&plan, &vms));
    for entry in &plan.entries {
        text += &format!("  {} {}\n", entry.vm, entry.layers);
    }
    Ok(text)
}

/// Numbers of a deployment whose subsets are compared.
#[derive(Clone, Copy, Debug)]
pub struct SubsetSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of agents that each entry connects to.
    pub links: usize,
    /// Number of agents that are replaced by new ones.
    pub replaced: usize,
}

/// Properties of a method of choosing subsets.
struct SubsetResult {
    max_over_mean: f64,
    unused: usize,
    moved_share: f64,
}

/// Returns a table that compares methods of choosing which agents an entry connects to.
pub fn describe_subsets(size: SubsetSize) -> String {
    let rendezvous = |entry: usize, members: &[&str]| -> Vec<String> {
        let chosen = rendezvous_subset(&format!("entry-{entry}"), members, size.links);
        chosen.into_iter().map(str::to_owned).collect()
    };
    let ring = |entry: usize, members: &[&str]| -> Vec<String> {
        balanced_subset(entry, members, size.links).into_iter().map(str::to_owned).collect()
    };
    let mut text = String::from("way         most/mean  unused agents  links moved\n");
    for (name, result) in
        [("rendezvous", subset_result(size, rendezvous)), ("ring", subset_result(size, ring))]
    {
        text += &format!(
            "{name:<11} {:>9.2}  {:>13}  {:>10.2}%\n",
            result.max_over_mean,
            result.unused,
            result.moved_share * 100.0
        );
    }
    text
}

fn subset_result(size: SubsetSize, choose: impl Fn(usize, &[&str]) -> Vec<String>) -> SubsetResult {
    let before: Vec<String> = (0..size.agents).map(|number| format!("engine-{number}")).collect();
    let step = size.agents.checked_div(size.replaced).unwrap_or(usize::MAX).max(1);
    let renamed = |(number, name): (usize, &String)| match number % step {
        0 if number / step < size.replaced => format!("new-{number}"),
        _ => name.clone(),
    };
    let after: Vec<String> = before.iter().enumerate().map(renamed).collect();
    let before: Vec<&str> = before.iter().map(String::as_str).collect();
    let after: Vec<&str> = after.iter().map(String::as_str).collect();
    let mut uses = std::collections::HashMap::new();
    let mut moved = 0;
    for entry in 0..size.entries {
        let old = choose(entry, &before);
        let new = choose(entry, &after);
        moved += new.iter().filter(|name| !old.contains(name)).count();
        for name in old {
            *uses.entry(name).or_insert(0_usize) += 1;
        }
    }
    let total = (size.entries * size.links) as f64;
    let max_uses = uses.values().copied().max().unwrap_or(0) as f64;
    SubsetResult {
        max_over_mean: max_uses / (total / size.agents as f64),
        unused: size.agents - uses.len(),
        moved_share: moved as f64 / total,
    }
}
