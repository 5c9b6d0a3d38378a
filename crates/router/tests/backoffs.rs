//! Replicas that asked to be left alone for a time.

use switchfold_router::{backoff::BackoffTable, instance::ReplicaInstance};

/// One request finds out whether the time is over, and another that went before anything was asked, and whose connection
/// opens only now, does not try as well.
#[test]
fn one_request_tries_after_the_end() {
    let instance = ReplicaInstance::new("i-1", 0);
    let mut table = BackoffTable::default();
    let early = table.begin_send(&instance, false, 0).expect("nothing was asked");
    assert!(!early, "it finds nothing out");
    table.record(&instance, 100, 0);
    assert_eq!(table.begin_send(&instance, early, 50), Err(50));
    let trial = table.begin_send(&instance, false, 100).expect("the time is over");
    assert!(trial);
    assert_eq!(table.begin_send(&instance, early, 101), Err(249));
    assert_eq!(
        table.begin_send(&instance, trial, 101),
        Ok(true),
        "the same, on another connection"
    );
}
