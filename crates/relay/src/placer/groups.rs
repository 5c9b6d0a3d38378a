//! Groups of replicas that are planned together, and this relay's share of them.

use std::collections::{BTreeMap, BTreeSet};

use switchfold_router::{
    fleet::{FleetView, LayerRange},
    groups::{group_count, group_of, is_planned_by},
    placement::LayerHolder,
    routing::RoutingConfig,
};

/// Replicas that are planned together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct GroupName {
    pub(super) service: String,
    pub(super) data_centre: String,
    /// Number of the group in its data centre.
    pub(super) part: u32,
}

/// This relay's share of the planning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PlanShare {
    /// Its rank among the relays that may plan.
    pub(super) rank: usize,
    /// Relays that plan.
    pub(super) planners: usize,
}

/// Replicas by group.
pub(super) type PlanGroups = BTreeMap<GroupName, Vec<LayerHolder>>;

/// Count of groups that a configuration and a list of replicas make; it is counted anew only where one of them changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct GroupTotal {
    config: u64,
    fleet: u64,
    groups: usize,
}

impl GroupTotal {
    /// Gives the count.
    pub(super) fn renew(&mut self, config: &RoutingConfig, fleet: &FleetView) -> usize {
        if (self.config, self.fleet) != (config.version, fleet.digest()) {
            let groups = count_groups(config, fleet);
            *self = Self { config: config.version, fleet: fleet.digest(), groups };
        }
        self.groups
    }
}

fn count_groups(config: &RoutingConfig, fleet: &FleetView) -> usize {
    let replicas = config.engines().flat_map(|(service, _)| fleet.of_service(service));
    let mut places: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for replica in replicas {
        *places.entry((&replica.service, &replica.data_centre)).or_default() += 1;
    }
    places.values().map(|count| group_count(*count) as usize).sum()
}

/// Deals the replicas of a service, by data centre, to their groups.
pub(super) fn deal_groups(service: &str, places: BTreeMap<&str, Vec<LayerHolder>>) -> PlanGroups {
    let mut groups = PlanGroups::new();
    for (data_centre, holders) in places {
        let count = group_count(holders.len());
        let name = |part| GroupName {
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            part,
        };
        for holder in holders {
            let part = group_of(&holder.instance, count);
            groups.entry(name(part)).or_default().push(holder);
        }
    }
    groups
}

/// Keeps the groups that this relay plans.
pub(super) fn keep_share(groups: &mut PlanGroups, share: PlanShare) {
    let mut number = 0;
    groups.retain(|_, _| {
        number += 1;
        is_planned_by(number - 1, share.rank, share.planners)
    });
}

/// Data centres of several groups that hold every layer together: no request waits for a gap in one of the groups.
pub(super) fn covered_places(groups: &PlanGroups, layers: u32) -> BTreeSet<String> {
    let several = groups.keys().filter(|name| name.part > 0).map(|name| &name.data_centre);
    let places: BTreeSet<&String> = several.collect();
    let is_covered = |place: &&String| {
        let holders = groups.iter().filter(|(name, _)| name.data_centre == **place);
        let ranges = holders.flat_map(|(_, holders)| holders).filter_map(|holder| holder.held);
        let ranges: Vec<LayerRange> = ranges.collect();
        (0..layers).all(|layer| ranges.iter().any(|range| range.contains(layer)))
    };
    places.into_iter().filter(is_covered).cloned().collect()
}
