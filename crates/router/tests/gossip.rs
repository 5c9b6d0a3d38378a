//! Traffic between relays does not grow with their number, and updates reach all of them.

mod gossip_model;

use std::collections::BTreeSet;

use gossip_model::{Fault, Outcome, Scenario, run_scenario};
use switchfold_router::suspect::BASE_SUSPICION_TIME;

/// Largest number of messages per second that a member sends and receives.
const MAX_MEMBER_RATE: f64 = 60.0;

/// Time from a failure that one relay found to the moment at which all avoid the replica, in
/// milliseconds.
const MAX_SPREAD_TIME: u64 = 1_500;

/// Largest fraction of the reservations that a relay may estimate wrongly: what changes within some
/// hundred milliseconds.
const MAX_MISESTIMATE: f64 = 0.5;

fn scenario(relays: usize, data_centres: usize, faults: Vec<(u64, Fault)>) -> Scenario {
    Scenario { relays, data_centres, lost: 1, faults, length: 15_000 }
}

fn check_coordinators(outcome: &Outcome) {
    let running =
        outcome.coordinators.iter().zip(&outcome.is_running).filter(|(_, running)| **running);
    let coordinators: BTreeSet<_> = running.map(|(coordinator, _)| coordinator).collect();
    let relays = outcome.coordinators.len();
    assert_eq!(
        coordinators.len(),
        1,
        "{relays} relays: all choose one coordinator: {coordinators:?}"
    );
}

/// Numbers of relays and data centres.
const FLEETS: [(usize, usize); 6] = [(3, 3), (21, 3), (30, 3), (103, 5), (437, 5), (874, 5)];

#[test]
fn traffic_does_not_grow_with_the_fleet() {
    for (relays, data_centres) in FLEETS {
        let outcome = run_scenario(&scenario(relays, data_centres, Vec::new()), 1);
        let (member, speaker) = (outcome.busiest(true), outcome.busiest(false));
        assert!(
            member <= MAX_MEMBER_RATE,
            "{relays} relays: a member has {member} messages per second"
        );
        let all_to_all = (relays - 1) as f64 * 10.0;
        assert!(
            speaker <= all_to_all,
            "{relays} relays: a speaker has {speaker} messages per second"
        );
        let misestimated = outcome.worst_misestimate();
        assert!(
            misestimated <= MAX_MISESTIMATE,
            "{relays} relays: {misestimated} of the reservations misestimated"
        );
        check_coordinators(&outcome);
    }
}

#[test]
fn a_suspicion_reaches_all_relays_and_ends() {
    const FAULT_TIME: u64 = 6_000;
    for (relays, data_centres) in FLEETS.into_iter().take(5) {
        // Found by a speaker, or by the last member.
        for finder in [0, relays - 1] {
            let faults = vec![(FAULT_TIME, Fault::Suspect { relay: finder })];
            let outcome = run_scenario(&scenario(relays, data_centres, faults), 2);
            assert_eq!(
                outcome.first_avoided.len(),
                relays,
                "{relays} relays: all avoid the replica"
            );
            let last = outcome.first_avoided.values().max().expect("one found it");
            assert!(
                *last <= FAULT_TIME + MAX_SPREAD_TIME,
                "{relays} relays: avoided by all after {} ms",
                last - FAULT_TIME
            );
            let end = outcome.last_avoided.values().max().expect("one found it");
            let latest = FAULT_TIME + BASE_SUSPICION_TIME + MAX_SPREAD_TIME;
            assert!(*end <= latest, "{relays} relays: avoided until {} ms", end - FAULT_TIME);
        }
    }
}

/// Half of all relays stop at once, including all speakers.
#[test]
fn remaining_relays_choose_other_speakers() {
    for (relays, data_centres) in FLEETS.into_iter().skip(2).take(3) {
        let faults = vec![(5_000, Fault::Stop { first: 8, percent: 50 })];
        let scenario = Scenario { length: 20_000, ..scenario(relays, data_centres, faults) };
        let outcome = run_scenario(&scenario, 3);
        let misestimated = outcome.worst_misestimate();
        assert!(
            misestimated <= MAX_MISESTIMATE,
            "{relays} relays: {misestimated} of the reservations misestimated"
        );
        assert!(outcome.busiest(true) <= MAX_MEMBER_RATE, "{relays} relays");
        assert!(outcome.busiest(false) <= (relays - 1) as f64 * 10.0, "{relays} relays");
        check_coordinators(&outcome);
    }
}

#[test]
fn data_centres_reconnect_after_a_partition() {
    for (relays, data_centres) in FLEETS.into_iter().take(5) {
        let faults = vec![(4_000, Fault::Partition { duration: 6_000 })];
        let scenario = Scenario { length: 18_000, ..scenario(relays, data_centres, faults) };
        let outcome = run_scenario(&scenario, 4);
        let misestimated = outcome.worst_misestimate();
        assert!(
            misestimated <= MAX_MISESTIMATE,
            "{relays} relays: {misestimated} of the reservations misestimated"
        );
        check_coordinators(&outcome);
    }
}
