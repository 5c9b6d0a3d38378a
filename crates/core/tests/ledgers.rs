//! The request ledger never allows a second run or reports a false "not run", even after evictions.

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;
use switchfold_core::{
    id::{IdIssuer, RequestId, process_incarnation},
    ledger::{LedgerAdmission, LedgerConfig, RequestLedger, VoidOutcome},
};

fn id(incarnation: u64, counter: u64) -> RequestId {
    RequestId { incarnation, counter }
}

#[test]
fn identifiers_round_trip_and_malformed_ones_are_rejected() {
    let mut issuer = IdIssuer::new(77);
    let first = issuer.issue();
    assert_eq!(first.to_string().parse::<RequestId>(), Ok(first));
    assert!(issuer.has_issued(first) && !issuer.has_issued(id(77, 2)));
    let malformed =
        ["", "0", "zz", &"g".repeat(32), &"0".repeat(31), &"0".repeat(33), &"é".repeat(16)];
    for text in malformed {
        assert!(text.parse::<RequestId>().is_err(), "{text:?}");
    }
}

/// The entries of a site start at the same time. When two of three entries shared an incarnation in
/// a run of the northcatch profile, their requests were confused with each other.
#[test]
fn processes_that_start_together_have_different_incarnations() {
    let names: Vec<String> = (0..370).map(|number| format!("entry-{number}")).collect();
    let incarnations: std::collections::HashSet<u64> =
        names.iter().map(|name| process_incarnation(name, 1_796_000_000_000)).collect();
    assert_eq!(incarnations.len(), names.len());
    assert!(
        process_incarnation("entry-1", 1_796_000_000_001)
            > process_incarnation("entry-1", 1_796_000_000_000)
    );
}

#[test]
fn void_and_run_exclude_each_other() {
    let mut ledger = RequestLedger::new(LedgerConfig::default());
    assert_eq!(ledger.void(id(1, 1)), VoidOutcome::NeverRan);
    assert_eq!(ledger.admit(id(1, 1), 1, false), LedgerAdmission::Voided);
    assert_eq!(ledger.admit(id(1, 2), 1, true), LedgerAdmission::New);
    assert_eq!(ledger.void(id(1, 2)), VoidOutcome::Ran);
    assert_eq!(ledger.admit(id(1, 2), 2, true), LedgerAdmission::Duplicate);
    assert_eq!(ledger.admit(id(1, 3), 1, false), LedgerAdmission::New);
    assert_eq!(ledger.admit(id(1, 3), 2, false), LedgerAdmission::Retry);
    assert_eq!(ledger.admit(id(1, 3), 2, false), LedgerAdmission::Duplicate);
}

#[test]
fn full_ledger_refuses_and_keeps_running_requests() {
    let mut ledger = RequestLedger::new(LedgerConfig { capacity: 2, max_incarnations: 4 });
    assert_eq!(ledger.admit(id(1, 1), 1, true), LedgerAdmission::New);
    assert_eq!(ledger.admit(id(1, 2), 1, true), LedgerAdmission::New);
    assert_eq!(ledger.admit(id(1, 3), 1, true), LedgerAdmission::Full);
    assert_eq!(ledger.void(id(1, 4)), VoidOutcome::Unknown);
    assert_eq!(ledger.admit(id(1, 1), 2, true), LedgerAdmission::Duplicate);
}

/// Found by `evictions_keep_the_guarantees`: when a request of an old incarnation was evicted late,
/// it lowered the eviction mark of all incarnations, and a voided request of a newer one was
/// admitted.
#[test]
fn late_eviction_of_old_incarnation_does_not_lower_the_mark() {
    let mut ledger = RequestLedger::new(LedgerConfig { capacity: 3, max_incarnations: 1 });
    assert_eq!(ledger.admit(id(1, 1), 1, false), LedgerAdmission::New);
    assert_eq!(ledger.admit(id(1, 2), 1, false), LedgerAdmission::New);
    for incarnation in [3, 5, 6] {
        assert_eq!(ledger.void(id(incarnation, 1)), VoidOutcome::NeverRan);
    }
    ledger.finish(id(1, 1));
    ledger.finish(id(1, 2));
    // These evict a request of incarnation 6, and then one of incarnation 1.
    assert_eq!(ledger.void(id(7, 1)), VoidOutcome::NeverRan);
    assert_eq!(ledger.void(id(8, 1)), VoidOutcome::NeverRan);
    assert_eq!(ledger.admit(id(3, 1), 1, false), LedgerAdmission::TooOld);
}

#[derive(Clone, Debug)]
enum LedgerStep {
    Admit(RequestId, u32, bool),
    Void(RequestId),
    Finish(RequestId),
}

fn ledger_step() -> impl Strategy<Value = LedgerStep> {
    let any_id = (1_u64..6, 1_u64..12).prop_map(|(incarnation, counter)| id(incarnation, counter));
    prop_oneof![
        (any_id.clone(), 1_u32..4, any::<bool>())
            .prop_map(|(id, attempt, once)| LedgerStep::Admit(id, attempt, once)),
        any_id.clone().prop_map(LedgerStep::Void),
        any_id.prop_map(LedgerStep::Finish),
    ]
}

proptest! {
    /// With any order of calls, a small ledger never treats an evicted request as new.
    #[test]
    fn evictions_keep_the_guarantees(steps in prop::collection::vec(ledger_step(), 1..200)) {
        let mut ledger = RequestLedger::new(LedgerConfig { capacity: 4, max_incarnations: 2 });
        let mut ran: HashMap<RequestId, u32> = HashMap::new();
        let mut voided: HashSet<RequestId> = HashSet::new();
        for step in steps {
            match step {
                LedgerStep::Admit(id, attempt, once) => {
                    let admission = ledger.admit(id, attempt, once);
                    if matches!(admission, LedgerAdmission::New | LedgerAdmission::Retry) {
                        prop_assert!(!voided.contains(&id), "admitted after NeverRan");
                        let before = ran.insert(id, attempt);
                        prop_assert!(before.is_none_or(|before| !once && attempt > before));
                    }
                }
                LedgerStep::Void(id) => {
                    if ledger.void(id) == VoidOutcome::NeverRan {
                        prop_assert!(!ran.contains_key(&id), "NeverRan for a request that ran");
                        voided.insert(id);
                    }
                }
                LedgerStep::Finish(id) => ledger.finish(id),
            }
            prop_assert!(ledger.len() <= 4);
        }
    }
}
