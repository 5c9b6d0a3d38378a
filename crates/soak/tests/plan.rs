//! A seed determines the plan of faults.

use std::{collections::HashSet, mem::discriminant, time::Duration};

use switchfold_soak::{
    cluster::ANNEX_COUNT,
    config::ConfigChange,
    plan::{ClusterSize, Fault, make_plan, make_relay_crowds, make_silence_plan},
};

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

#[test]
fn crowds_end_with_the_run_and_come_to_every_relay() {
    let crowds: Vec<_> = (0..50).flat_map(|seed| make_relay_crowds(seed, &SIZE, LENGTH)).collect();
    assert!(crowds.iter().all(|planned| planned.at + planned.duration <= LENGTH));
    for number in 0..SIZE.relays {
        assert!(crowds.iter().any(|planned| planned.fault == Fault::Crowd(number)), "{number}");
    }
}

#[test]
fn every_change_and_silence_is_planned() {
    let plans: Vec<_> = (0..50).map(|seed| make_silence_plan(seed, &SIZE, LENGTH)).collect();
    let planned = || plans.iter().flatten();
    for change in ConfigChange::ALL {
        assert!(
            planned().any(|planned| planned.fault == Fault::ChangeConfig(change)),
            "{change:?}"
        );
    }
    for number in 0..SIZE.replicas() + ANNEX_COUNT {
        let silence = Fault::SilenceReplica(number);
        assert!(planned().any(|planned| planned.fault == silence), "replica {number}");
    }
    let kinds: HashSet<_> = planned().map(|planned| discriminant(&planned.fault)).collect();
    assert_eq!(kinds.len(), 5);
}
