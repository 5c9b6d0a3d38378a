//! Tests of planning groups: their size, their stability and their planners.

use std::collections::BTreeMap;

use switchfold_router::{
    groups::{
        GROUPS_PER_PLANNER, MAX_GROUPS_ONE_PLANNER, TARGET_GROUP_SIZE, group_count, group_of,
        is_planned_by, planner_count,
    },
    instance::ReplicaInstance,
    placement::{LayerHolder, ModelShape, PlacementConfig, plan_group, widest_gap},
};

fn instances(count: usize) -> Vec<ReplicaInstance> {
    (0..count)
        .map(|number| ReplicaInstance::new(&format!("i-{:010x}", number * 7_919), 0))
        .collect()
}

#[test]
fn groups_have_a_bounded_size() {
    let rows = [(0, 1), (1, 1), (64, 1), (65, 2), (128, 2), (129, 4), (1_000, 16), (3_000, 64)];
    for (replicas, count) in rows {
        assert_eq!(group_count(replicas), count, "{replicas}");
    }
    for replicas in [100, 300, 1_000, 3_000] {
        let count = group_count(replicas);
        let mut sizes: BTreeMap<u32, usize> = BTreeMap::new();
        instances(replicas)
            .iter()
            .for_each(|instance| *sizes.entry(group_of(instance, count)).or_default() += 1);
        assert_eq!(sizes.len(), count as usize, "{replicas}: a group is empty");
        assert!(
            sizes.values().all(|size| *size <= TARGET_GROUP_SIZE * 3 / 2),
            "{replicas}: {sizes:?}"
        );
    }
}

/// When the number of groups doubles, each is split in two; no replica moves to a part of another
/// group.
#[test]
fn groups_are_split_in_two() {
    for instance in instances(500) {
        for count in [1, 2, 4, 8] {
            assert_eq!(
                group_of(&instance, count * 2) % count,
                group_of(&instance, count),
                "{instance}"
            );
        }
        assert_eq!(
            group_of(&instance, 8),
            group_of(&instance.restarted_at(5), 8),
            "a restart changed the group"
        );
    }
}

#[test]
fn each_group_has_one_planner() {
    let rows = [
        (1, 26, 1),
        (MAX_GROUPS_ONE_PLANNER, 26, 1),
        (MAX_GROUPS_ONE_PLANNER + 1, 26, 4),
        (48, 302, 48 / GROUPS_PER_PLANNER),
        (48, 4, 4),
        (3, 0, 1),
    ];
    for (groups, relays, planners) in rows {
        assert_eq!(planner_count(groups, relays), planners, "{groups} {relays}");
        for group in 0..groups {
            let matching =
                (0..planners).filter(|rank| is_planned_by(group, *rank, planners)).count();
            assert_eq!(matching, 1, "{group}");
        }
    }
}

/// Each group of a data centre of 1,000 replicas of three kinds covers the model by itself.
#[test]
fn every_group_covers_the_model() {
    let model = ModelShape { layers: 80, layer_mb: 1_750.0, request_mb: 0.0 };
    let kinds = [(72_000.0, 2.4), (43_200.0, 5.6), (21_600.0, 16.0)];
    let count = group_count(1_000);
    let mut groups: BTreeMap<u32, Vec<LayerHolder>> = BTreeMap::new();
    for (number, instance) in instances(1_000).into_iter().enumerate() {
        let (memory_mb, step_factor) = kinds[[0, 1, 1, 1, 2, 2, 2, 2, 2, 2][number % 10]];
        let group = group_of(&instance, count);
        let holder = LayerHolder {
            instance,
            memory_mb,
            slots: 0,
            layer_ms: 1.02 * step_factor / 80.0,
            range: None,
            target: None,
            held: None,
            can_order: true,
        };
        groups.entry(group).or_default().push(holder);
    }
    for (group, mut holders) in groups {
        for order in plan_group(&holders, model, &PlacementConfig::default()) {
            let holder =
                holders.iter_mut().find(|holder| holder.instance == order.instance).expect("one");
            holder.range = Some(order.range);
        }
        let mut counts = vec![0; model.layers as usize];
        for range in holders.iter().filter_map(|holder| holder.range) {
            (range.from..range.to).for_each(|layer| counts[layer as usize] += 1);
        }
        assert_eq!(widest_gap(&counts), None, "group {group}");
    }
}
