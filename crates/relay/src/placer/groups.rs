//! Groups of replicas that are planned together, and this relay's share of them.

use std::collections::{BTreeMap, BTreeSet};

use switchfold_router::{
    fleet::FleetView,
    groups::{group_count, group_of, is_planned_by},
    placement::{LayerHolder, layer_counts, widest_gap},
    routing::RoutingConfig,
};

/// Identifies a group of replicas that are planned together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct GroupName {
    pub(super) service: String,
    pub(super) data_centre: String,
    /// Number of the group in its data centre, from 0.
    pub(super) number: u32,
}

/// The share of the planning that falls to this relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PlanShare {
    /// Rank of this relay among those that may plan, from 0.
    pub(super) rank: usize,
    /// Number of relays that plan.
    pub(super) planners: usize,
}

/// Replicas by group.
pub(super) type PlanGroups = BTreeMap<GroupName, Vec<LayerHolder>>;

/// Cached number of groups for a configuration and a replica list, recomputed only when one of them
/// changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct GroupCount {
    config_version: u64,
    fleet_digest: u64,
    groups: usize,
}

impl GroupCount {
    /// Returns the number of groups for this configuration and this replica list.
    pub(super) fn update(&mut self, config: &RoutingConfig, fleet: &FleetView) -> usize {
        if (self.config_version, self.fleet_digest) != (config.version, fleet.digest()) {
            let groups = count_groups(config, fleet);
            *self = Self { config_version: config.version, fleet_digest: fleet.digest(), groups };
        }
        self.groups
    }
}

fn count_groups(config: &RoutingConfig, fleet: &FleetView) -> usize {
    let replicas = config.engines().flat_map(|(service, _)| fleet.of_service(service));
    let mut sizes: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for replica in replicas {
        *sizes.entry((&replica.service, &replica.data_centre)).or_default() += 1;
    }
    sizes.values().map(|size| group_count(*size) as usize).sum()
}

/// Splits the replicas of a service, given by data centre, into groups.
pub(super) fn split_groups(
    service: &str,
    by_data_centre: BTreeMap<&str, Vec<LayerHolder>>,
) -> PlanGroups {
    let mut groups = PlanGroups::new();
    for (data_centre, holders) in by_data_centre {
        let count = group_count(holders.len());
        let name = |number| GroupName {
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            number,
        };
        for holder in holders {
            let number = group_of(&holder.instance, count);
            groups.entry(name(number)).or_default().push(holder);
        }
    }
    groups
}

/// Retains only the groups that this relay plans.
pub(super) fn retain_share(groups: &mut PlanGroups, share: PlanShare) {
    let mut index = 0;
    groups.retain(|_, _| {
        index += 1;
        is_planned_by(index - 1, share.rank, share.planners)
    });
}

/// Returns the data centres with several groups that together hold every layer. No request there
/// has to wait until a gap in one of the groups is closed.
pub(super) fn covered_data_centres(groups: &PlanGroups, layers: u32) -> BTreeSet<String> {
    let with_several = groups.keys().filter(|name| name.number > 0).map(|name| &name.data_centre);
    let data_centres: BTreeSet<&String> = with_several.collect();
    let is_covered = |data_centre: &&String| {
        let holders = groups.iter().filter(|(name, _)| name.data_centre == **data_centre);
        let ranges = holders.flat_map(|(_, holders)| holders).filter_map(|holder| holder.held);
        widest_gap(&layer_counts(ranges, layers)).is_none()
    };
    data_centres.into_iter().filter(is_covered).cloned().collect()
}
