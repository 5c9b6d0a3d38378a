//! Routes, maximum flow, path policies, placements, subsets, push trees, ejection and affinity.

use assert_matches::assert_matches;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{
    ErrorKind,
    affinity::{AffinityCandidate, choose_by_affinity},
    ejection::{EjectionConfig, ReplicaHealth, eject_outliers},
    flow::{CutPart, FlowLink, FlowReplica, flow_bound},
    path::{POLICIES, PathCandidate, PathCursor, PathPolicy, choose_replica},
    placement::{PlacementVm, even_split, plan_rate, proportional_split, searched_split},
    route::{LayerRange, PipelineRoute, RouteStage},
    subset::{balanced_subset, rendezvous_owner, rendezvous_subset, tree_children},
};

fn stage(first: u32, end: u32) -> RouteStage {
    let layers = LayerRange::new(first, end).expect("not empty");
    RouteStage {
        address: format!("{first}"),
        process: format!("p{first}"),
        layers,
        joined_attempt: 1,
    }
}

#[test]
fn routes_that_do_not_tile_the_model_are_rejected() {
    assert!(PipelineRoute::new(vec![stage(0, 4), stage(4, 9)], 9).is_ok());
    let table = [
        ("gap", vec![stage(0, 4), stage(5, 9)]),
        ("overlap", vec![stage(0, 5), stage(4, 9)]),
        ("short", vec![stage(0, 4)]),
        ("long", vec![stage(0, 10)]),
        ("late", vec![stage(1, 9)]),
        ("empty", vec![]),
    ];
    for (name, stages) in table {
        let error = PipelineRoute::new(stages, 9).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::NotTiled, "{name}");
    }
    assert_matches!(LayerRange::new(3, 3), Err(error) if error.kind() == ErrorKind::EmptyRange);
    let mut route = PipelineRoute::new(vec![stage(0, 4), stage(4, 9)], 9).expect("tiles");
    assert!(route.replace(1, stage(4, 8)).is_err() && route.replace(2, stage(4, 9)).is_err());
}

fn replica(name: &str, data_centre: usize, first: u32, end: u32, rate: u64) -> FlowReplica {
    let layers = LayerRange::new(first, end).expect("not empty");
    FlowReplica { name: name.to_owned(), data_centre, layers, milli_rate: rate }
}

#[test]
fn minimum_cut_contains_the_bottlenecks() {
    let replicas =
        [replica("a", 0, 0, 2, 50), replica("b", 1, 2, 4, 90), replica("c", 1, 0, 2, 20)];
    let links = [FlowLink { from: 0, to: 1, milli_rate: 30 }];
    let bound = flow_bound(&replicas, &links, 4);
    assert_eq!(bound.milli_rate, 50);
    assert_eq!(bound.shares, [30, 50, 20]);
    let link = CutPart::Link { from: 0, to: 1, layer: 2 };
    assert_eq!(bound.cut, [CutPart::Replica("c".to_owned()), link]);
    assert_eq!(flow_bound(&replicas[..1], &[], 4).milli_rate, 0);
}

/// Returns the capacity of the minimum cut, by trying every set of replicas.
fn minimum_cut_by_brute_force(replicas: &[FlowReplica], layers: u32) -> u64 {
    // Without limited links, a cut is a set of replicas without which the others do not tile the
    // model.
    let mut lowest = u64::MAX;
    for cut in 0_u32..1 << replicas.len() {
        let kept = |index: &usize| cut & (1 << index) == 0;
        let mut reachable = vec![false; layers as usize + 1];
        reachable[0] = true;
        for layer in 0..layers as usize {
            if reachable[layer] {
                for index in (0..replicas.len()).filter(kept) {
                    if replicas[index].layers.first() as usize == layer {
                        reachable[replicas[index].layers.end() as usize] = true;
                    }
                }
            }
        }
        if !reachable[layers as usize] {
            let capacity = (0..replicas.len())
                .filter(|index| !kept(index))
                .map(|index| replicas[index].milli_rate)
                .sum();
            lowest = lowest.min(capacity);
        }
    }
    lowest
}

proptest! {
    #[test]
    fn maximum_flow_equals_minimum_cut_by_brute_force(
        rows in prop::collection::vec((0_u32..4, 1_u32..5, 1_u64..100), 1..9)
    ) {
        let replicas: Vec<FlowReplica> = rows
            .iter()
            .enumerate()
            .filter(|(_, (first, len, _))| first + len <= 4)
            .map(|(index, (first, len, rate))| replica(&format!("r{index}"), 0, *first, first + len, *rate))
            .collect();
        let bound = flow_bound(&replicas, &[], 4);
        prop_assert_eq!(bound.milli_rate, minimum_cut_by_brute_force(&replicas, 4));
        for (replica, share) in replicas.iter().zip(&bound.shares) {
            prop_assert!(*share <= replica.milli_rate);
        }
        let through: u64 =
            replicas.iter().zip(&bound.shares).filter(|(r, _)| r.layers.first() == 0).map(|(_, s)| *s).sum();
        prop_assert_eq!(through, bound.milli_rate);
    }

    /// Every policy chooses a replica with a free slot if there is one, and none otherwise.
    #[test]
    fn policies_choose_only_replicas_with_free_slots(
        rows in prop::collection::vec((0.0_f64..10.0, 0_u32..50, 0_u32..3), 1..12), seed in any::<u64>()
    ) {
        let candidates: Vec<PathCandidate> = rows
            .into_iter()
            .map(|(weight, outstanding, free)| PathCandidate { weight, outstanding, free })
            .collect();
        let any_free = candidates.iter().any(|candidate| candidate.free > 0);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for policy in POLICIES {
            let chosen = choose_replica(policy, &candidates, &mut PathCursor::default(), &mut random);
            prop_assert_eq!(chosen.is_some(), any_free);
            prop_assert!(chosen.is_none_or(|index| candidates[index].free > 0));
        }
    }

    /// A placement assigns every VM, its first entries tile the model, and the search is
    /// deterministic and never worse than the proportional split.
    #[test]
    fn placements_use_every_vm_and_start_with_a_tiling(
        rates in prop::collection::vec(1.0_f64..100.0, 4..24), layers in 8_u32..64, stages in 1_usize..5
    ) {
        let vms: Vec<PlacementVm> = rates
            .iter()
            .enumerate()
            .map(|(index, rate)| PlacementVm { name: format!("vm-{index}"), layer_rate: *rate, max_layers: layers })
            .collect();
        let even = even_split(&vms, layers, stages).unwrap();
        let proportional = proportional_split(&vms, layers, stages).unwrap();
        let searched = searched_split(&vms, layers, stages, 200).unwrap();
        prop_assert_eq!(&searched, &searched_split(&vms, layers, stages, 200).unwrap());
        for plan in [&even, &proportional, &searched] {
            prop_assert_eq!(plan.entries.len(), vms.len());
            let mut cursor = 0;
            for entry in &plan.entries[..stages] {
                prop_assert_eq!(entry.layers.first(), cursor);
                cursor = entry.layers.end();
            }
            prop_assert_eq!(cursor, layers);
        }
        prop_assert!(plan_rate(&searched, &vms) >= plan_rate(&proportional, &vms) * 0.999_999);
    }

    /// A push tree reaches every member exactly once, for any root and fan-out.
    #[test]
    fn push_trees_reach_every_member_once(count in 1_usize..60, root in 0_usize..60, fan_out in 1_usize..6) {
        let names: Vec<String> = (0..count).map(|index| format!("entry-{index}")).collect();
        let members: Vec<&str> = names.iter().map(String::as_str).collect();
        let root = members[root % count];
        let mut reached = vec![root];
        let mut unvisited = vec![root];
        while let Some(own) = unvisited.pop() {
            let children = tree_children(root, own, &members, fan_out);
            prop_assert!(children.len() <= fan_out);
            reached.extend(&children);
            unvisited.extend(children);
        }
        reached.sort_unstable();
        let mut expected = members.clone();
        expected.sort_unstable();
        prop_assert_eq!(reached, expected);
    }
}

#[test]
fn flow_policies_follow_weights_and_avoid_loaded_replicas() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut count = |policy, candidates: &[PathCandidate]| -> Vec<usize> {
        let mut counts = vec![0; candidates.len()];
        for _ in 0..10_000 {
            let chosen =
                choose_replica(policy, candidates, &mut PathCursor::default(), &mut random);
            counts[chosen.expect("all are free")] += 1;
        }
        counts
    };
    let candidate = |weight, outstanding| PathCandidate { weight, outstanding, free: 9 };
    let by_weight = count(PathPolicy::FlowWeights, &[candidate(1.0, 0), candidate(4.0, 0)]);
    assert!((1_800..2_200).contains(&by_weight[0]), "{by_weight:?}");
    let corrected = count(PathPolicy::FlowCorrected, &[candidate(1.0, 30), candidate(1.0, 1)]);
    assert!(corrected[1] > 7_000, "{corrected:?}");
}

#[test]
fn too_few_vms_or_layers_are_rejected() {
    let vm = PlacementVm { name: "vm".to_owned(), layer_rate: 1.0, max_layers: 8 };
    for (vms, layers, stages) in
        [(vec![vm.clone()], 8, 2), (vec![vm.clone(), vm.clone()], 1, 2), (vec![vm], 8, 0)]
    {
        let error = searched_split(&vms, layers, stages, 10).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::OutOfBounds);
    }
}

#[test]
fn subsets_are_balanced_and_independent_of_member_order() {
    let names: Vec<String> = (0..120).map(|index| format!("engine-{index}")).collect();
    let members: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut uses = std::collections::HashMap::new();
    for entry in 0..60 {
        let subset = balanced_subset(entry, &members, 12);
        assert_eq!(subset.len(), 12);
        for member in subset {
            *uses.entry(member).or_insert(0_u32) += 1;
        }
    }
    assert!(uses.values().all(|count| (5..=7).contains(count)), "{uses:?}");
    let mut reversed = members.clone();
    reversed.reverse();
    assert_eq!(
        rendezvous_owner("claims-3", members.iter().copied()),
        rendezvous_owner("claims-3", reversed.iter().copied())
    );
    assert_eq!(rendezvous_subset("a", &members, 5), rendezvous_subset("a", &reversed, 5));
    assert!(balanced_subset(3, &[], 4).is_empty());
}

#[test]
fn slow_and_failing_replicas_are_ejected_up_to_the_limit() {
    let config = EjectionConfig::default();
    let mut group: Vec<ReplicaHealth> = vec![ReplicaHealth::default(); 6];
    for (index, health) in group.iter_mut().enumerate() {
        for _ in 0..10 {
            health.record_step(if index < 1 { 50_000 } else { 9_000 });
        }
    }
    let eject = |group: &mut [ReplicaHealth], now| {
        let mut views: Vec<&mut ReplicaHealth> = group.iter_mut().collect();
        eject_outliers(&mut views, &config, now)
    };
    assert_eq!(eject(&mut group, 100), [0]);
    assert!(group[0].is_ejected(100) && !group[0].is_ejected(100 + config.first_ejection_ms));
    for health in &mut group[1..] {
        (0..config.consecutive_failures).for_each(|_| health.record_failure());
    }
    // All others fail too, but at most half of the group may be ejected at the same time.
    assert_eq!(eject(&mut group, 200).len(), 2);
    assert_eq!(group.iter().filter(|health| health.is_ejected(200)).count(), 3);
}

#[test]
fn affinity_keeps_its_choice_until_that_replica_is_overloaded() {
    let candidate =
        |name_hash, outstanding| AffinityCandidate { name_hash, weight: 1.0, outstanding, free: 5 };
    let mut candidates: Vec<AffinityCandidate> = (0..8).map(|name| candidate(name, 2)).collect();
    let preferred = choose_by_affinity(99, &candidates, 150).expect("free");
    assert_eq!(choose_by_affinity(99, &candidates, 150), Some(preferred));
    candidates[preferred].outstanding = 20;
    let next = choose_by_affinity(99, &candidates, 150).expect("free");
    assert_ne!(next, preferred);
    candidates.iter_mut().for_each(|candidate| candidate.free = 0);
    assert_eq!(choose_by_affinity(99, &candidates, 150), None);
}
