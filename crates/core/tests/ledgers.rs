//! The ledger: never a second run, never a false "not run", also past its bound.

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
fn identifiers_read_back_and_refuse_what_is_malformed() {
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

/// Entries of one site start together: in a run of the northcatch profile two of three shared an
/// incarnation, and their requests were taken for each other's.
#[test]
fn processes_that_start_together_have_incarnations_of_their_own() {
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
fn a_void_and_a_run_exclude_each_other() {
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
fn a_ledger_full_of_running_requests_refuses_and_does_not_forget() {
    let mut ledger = RequestLedger::new(LedgerConfig { capacity: 2, incarnations: 4 });
    assert_eq!(ledger.admit(id(1, 1), 1, true), LedgerAdmission::New);
    assert_eq!(ledger.admit(id(1, 2), 1, true), LedgerAdmission::New);
    assert_eq!(ledger.admit(id(1, 3), 1, true), LedgerAdmission::Full);
    assert_eq!(ledger.void(id(1, 4)), VoidOutcome::Unknown);
    assert_eq!(ledger.admit(id(1, 1), 2, true), LedgerAdmission::Duplicate);
}

/// Found by `forgetting_costs_no_promise`: the floor of an old run that came back late lowered the
/// floor of all runs, and a voided request of a newer run was let in.
#[test]
fn a_late_old_run_does_not_lower_the_floor() {
    let mut ledger = RequestLedger::new(LedgerConfig { capacity: 3, incarnations: 1 });
    assert_eq!(ledger.admit(id(1, 1), 1, false), LedgerAdmission::New);
    assert_eq!(ledger.admit(id(1, 2), 1, false), LedgerAdmission::New);
    for incarnation in [3, 5, 6] {
        assert_eq!(ledger.void(id(incarnation, 1)), VoidOutcome::NeverRan);
    }
    ledger.finish(id(1, 1));
    ledger.finish(id(1, 2));
    // These forget a request of run 6, and then one of run 1.
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
    /// A tiny ledger under any order of calls: what it forgot it never takes for new.
    #[test]
    fn forgetting_costs_no_promise(steps in prop::collection::vec(ledger_step(), 1..200)) {
        let mut ledger = RequestLedger::new(LedgerConfig { capacity: 4, incarnations: 2 });
        let mut ran: HashMap<RequestId, u32> = HashMap::new();
        let mut never: HashSet<RequestId> = HashSet::new();
        for step in steps {
            match step {
                LedgerStep::Admit(id, attempt, once) => {
                    let admission = ledger.admit(id, attempt, once);
                    if matches!(admission, LedgerAdmission::New | LedgerAdmission::Retry) {
                        prop_assert!(!never.contains(&id), "ran after a void said never");
                        let before = ran.insert(id, attempt);
                        prop_assert!(before.is_none_or(|before| !once && attempt > before));
                    }
                }
                LedgerStep::Void(id) => {
                    if ledger.void(id) == VoidOutcome::NeverRan {
                        prop_assert!(!ran.contains_key(&id), "said never of one that ran");
                        never.insert(id);
                    }
                }
                LedgerStep::Finish(id) => ledger.finish(id),
            }
            prop_assert!(ledger.len() <= 4);
        }
    }
}
