//! A seed determines the plan of faults.

use std::{collections::HashSet, mem::discriminant, time::Duration};

use switchfold_soak::plan::{ClusterSize, make_plan};

const SIZE: ClusterSize = ClusterSize { relays: 4, engines: 8, desks: 3, callers: 16 };

const LENGTH: Duration = Duration::from_secs(15);

#[test]
fn a_seed_gives_the_same_plan() {
    assert_eq!(make_plan(7, &SIZE, LENGTH), make_plan(7, &SIZE, LENGTH));
    assert_ne!(make_plan(7, &SIZE, LENGTH), make_plan(8, &SIZE, LENGTH));
}

#[test]
fn faults_end_with_the_run_and_overlap() {
    let mut overlaps = 0;
    for seed in 0..20 {
        let plan = make_plan(seed, &SIZE, LENGTH);
        assert!(plan.iter().all(|planned| planned.at + planned.duration <= LENGTH));
        let pairs = plan.windows(2);
        overlaps += pairs.filter(|pair| pair[0].at + pair[0].duration > pair[1].at).count();
    }
    assert!(overlaps > 100, "{overlaps}");
}

#[test]
fn every_kind_of_fault_is_planned() {
    let plans = (0..50).flat_map(|seed| make_plan(seed, &SIZE, LENGTH));
    let kinds: HashSet<_> = plans.map(|planned| discriminant(&planned.fault)).collect();
    assert_eq!(kinds.len(), 15);
}
