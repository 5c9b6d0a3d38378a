//! A seed names a schedule of faults.

use std::{collections::HashSet, mem::discriminant, time::Duration};

use switchfold_soak::plan::{SiteShape, make_plan};

const SHAPE: SiteShape = SiteShape { relays: 4, engines: 8, desks: 3, callers: 16 };

const LENGTH: Duration = Duration::from_secs(15);

#[test]
fn a_seed_gives_the_same_plan() {
    assert_eq!(make_plan(7, &SHAPE, LENGTH), make_plan(7, &SHAPE, LENGTH));
    assert_ne!(make_plan(7, &SHAPE, LENGTH), make_plan(8, &SHAPE, LENGTH));
}

#[test]
fn faults_end_with_the_run_and_overlap() {
    let mut overlaps = 0;
    for seed in 0..20 {
        let plan = make_plan(seed, &SHAPE, LENGTH);
        assert!(plan.iter().all(|planned| planned.at + planned.lasts <= LENGTH));
        let pairs = plan.windows(2);
        overlaps += pairs.filter(|pair| pair[0].at + pair[0].lasts > pair[1].at).count();
    }
    assert!(overlaps > 100, "{overlaps}");
}

#[test]
fn every_sort_of_fault_comes() {
    let plans = (0..50).flat_map(|seed| make_plan(seed, &SHAPE, LENGTH));
    let sorts: HashSet<_> = plans.map(|planned| discriminant(&planned.fault)).collect();
    assert_eq!(sorts.len(), 15);
}
