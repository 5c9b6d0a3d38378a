//! Backoffs that replicas asked for.

use switchfold_router::{backoff::BackoffTable, instance::ReplicaInstance};

/// After a backoff a single request is sent as a trial. A request that was cleared to send before
/// the backoff began, and whose connection opens only after its end, must not become a second
/// trial.
#[test]
fn one_trial_request_is_sent_after_a_backoff() {
    let instance = ReplicaInstance::new("i-1", 0);
    let mut table = BackoffTable::default();
    let early = table.begin_send(&instance, false, 0).expect("no backoff is in force");
    assert!(!early, "it is no trial");
    table.record(&instance, 100, 0);
    assert_eq!(table.begin_send(&instance, early, 50), Err(50));
    let trial = table.begin_send(&instance, false, 100).expect("the backoff is over");
    assert!(trial);
    assert_eq!(table.begin_send(&instance, early, 101), Err(249));
    assert_eq!(
        table.begin_send(&instance, trial, 101),
        Ok(true),
        "the same trial on another connection"
    );
}
