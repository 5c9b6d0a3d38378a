//! Decisions computed from a file: the bound with what limits it, and placements.

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

/// A deployment, as in a file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentFile {
    /// Model that is served.
    pub model: String,
    /// Its layers.
    pub layers: u32,
    /// Replicas, for the bound.
    #[serde(default)]
    pub replicas: Vec<ReplicaRow>,
    /// Links between data centres that are limited.
    #[serde(default)]
    pub links: Vec<LinkRow>,
    /// VMs without a role yet, for placements.
    #[serde(default)]
    pub vms: Vec<VmRow>,
}

/// A replica of a deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaRow {
    /// Name of its VM.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// First layer.
    pub first_layer: u32,
    /// Layer after the last one.
    pub end_layer: u32,
    /// Tokens a second at full batches.
    pub tokens_per_s: f64,
}

/// A link of a deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkRow {
    /// Sending data centre.
    pub from: String,
    /// Receiving data centre.
    pub to: String,
    /// Activations of so many tokens a second.
    pub tokens_per_s: f64,
}

/// A VM of a deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmRow {
    /// Name.
    pub name: String,
    /// Tokens a second through one layer.
    pub layer_rate: f64,
    /// Most layers that fit its memory.
    pub most_layers: u32,
}

/// How to place.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum PlacementWay {
    /// Even layers, VMs in turn.
    Even,
    /// Even layers, the fastest VM to the weakest stage.
    Proportional,
    /// As proportional, then improved by moves.
    Searched,
}

/// Why a file could not be inspected.
#[derive(Debug, Display, Error)]
pub enum InspectError {
    /// The file cannot be read.
    #[display("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not a deployment.
    #[display("{path}: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// A value in it makes no sense.
    #[display("{path}: {detail}")]
    Unfit {
        /// The file.
        path: String,
        /// Which one, and what is expected.
        detail: String,
    },
}

/// Rounds of the search for a placement.
const SEARCH_ROUNDS: usize = 500;

/// Reads a deployment.
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

/// Text that states the bound and the limiting cut.
///
/// # Errors
///
/// Fails where a replica has no layers.
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
            InspectError::Unfit {
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

/// Text that states a placement and its rate.
///
/// # Errors
///
/// Fails where the VMs cannot hold the model in so many stages.
pub fn describe_placement(
    path: &Path,
    deployment: &DeploymentFile,
    stages: usize,
    way: PlacementWay,
) -> Result<String, InspectError> {
    let vms: Vec<PlacementVm> = deployment
        .vms
        .iter()
        .map(|row| PlacementVm {
            name: row.name.clone(),
            layer_rate: row.layer_rate,
            max_layers: row.most_layers,
        })
        .collect();
    let placed = match way {
        PlacementWay::Even => even_split(&vms, deployment.layers, stages),
        PlacementWay::Proportional => proportional_split(&vms, deployment.layers, stages),
        PlacementWay::Searched => searched_split(&vms, deployment.layers, stages, SEARCH_ROUNDS),
    };
    let plan: PlacementPlan = placed.map_err(|error| InspectError::Unfit {
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

/// Size of a deployment whose subsets are described.
#[derive(Clone, Copy, Debug)]
pub struct SubsetSize {
    /// Entries.
    pub entries: usize,
    /// Agents.
    pub agents: usize,
    /// Agents that each entry links with.
    pub links: usize,
    /// Agents that fail and are replaced by others.
    pub replaced: usize,
}

/// How a way of choosing subsets does.
struct SubsetResult {
    most_over_mean: f64,
    unused: usize,
    moved_share: f64,
}

/// Text that compares ways of choosing which agents an entry links with.
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
            result.most_over_mean,
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
    let most = uses.values().copied().max().unwrap_or(0) as f64;
    SubsetResult {
        most_over_mean: most / (total / size.agents as f64),
        unused: size.agents - uses.len(),
        moved_share: moved as f64 / total,
    }
}
