//! When the silence of probed replicas proves that they are lost.

use std::{future::pending, time::Duration};

use futures_util::future::join_all;
use switchfold_relay::probes::{
    PROBE_TIMEOUT, ProbeOutcome, probe_with_retry, silence_is_conclusive,
};
use tokio::time::{advance, sleep};

use ProbeOutcome::{Reached, Refused, Silent, Unclear};

#[test]
fn silence_is_conclusive_if_few_are_silent() {
    let refused = || Refused("reset".to_owned());
    let rows = [
        (vec![Silent], true),
        (vec![Unclear], true),
        (vec![Silent, Reached, Reached, Reached], true),
        (vec![Silent, Silent, Reached, Reached], false),
        (vec![Silent, Unclear, Reached, Reached], false),
        (vec![Silent, Unclear, Unclear, Unclear], false),
        (vec![Silent, Silent, Reached, Reached, Reached, Reached, Reached, Reached], true),
        (vec![Silent, Unclear, Unclear, Reached, Reached, Reached, Reached, Reached], false),
        (vec![refused(), refused(), refused(), Silent], true),
    ];
    for (outcomes, is_conclusive) in rows {
        assert_eq!(silence_is_conclusive(&outcomes), is_conclusive, "{outcomes:?}");
    }
}

/// Probes a replica that never responds. If its pooled connection is dead, the first request fails
/// at once, so the second one starts earlier than those of the other replicas.
async fn probe_silent(pooled_is_dead: bool) -> ProbeOutcome {
    let send = async |new_connection: bool| match pooled_is_dead && !new_connection {
        true => Err("reset"),
        false => pending().await,
    };
    probe_with_retry(send).await
}

/// If the relay is paused while the replicas of a path are probed, some probes end unclear and one
/// ends silent. That one must not be taken for lost either.
#[tokio::test(start_paused = true)]
async fn a_paused_relay_takes_no_replica_for_lost() {
    let probing = join_all([true, true, true, false].map(probe_silent));
    let pause = async {
        // The requests are in flight; the process then resumes 25 ms after their timeout.
        sleep(PROBE_TIMEOUT - Duration::from_millis(5)).await;
        advance(Duration::from_millis(30)).await;
    };
    let (outcomes, ()) = tokio::join!(probing, pause);
    assert_eq!(outcomes, [Unclear, Unclear, Unclear, Silent]);
    assert!(!silence_is_conclusive(&outcomes));
}
