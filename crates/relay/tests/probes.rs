//! When the silence of probed replicas proves that they are lost.

use std::{future::pending, time::Duration};

use futures_util::future::join_all;
use switchfold_relay::probes::{PROBE_TIME, ProbeOutcome, probe_with_retry, silence_is_conclusive};
use tokio::time::{advance, sleep};

use ProbeOutcome::{Reached, Refused, Silent, Unclear};

#[test]
fn silence_counts_where_few_are_without_an_answer() {
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
    for (ends, counts) in rows {
        assert_eq!(silence_is_conclusive(&ends), counts, "{ends:?}");
    }
}

/// A replica that never answers; the first question fails at once where its kept connection is dead, so
/// that its second one begins earlier than those of the others.
async fn probe_silent(kept_is_dead: bool) -> ProbeOutcome {
    let ask = async |fresh: bool| match kept_is_dead && !fresh {
        true => Err("reset"),
        false => pending().await,
    };
    probe_with_retry(ask).await
}

/// A relay that stands still while the probes of a path are out, so that some end unclear and one does
/// not: that one is not taken for lost either.
#[tokio::test(start_paused = true)]
async fn a_late_relay_takes_no_replica_for_lost() {
    let probing = join_all([true, true, true, false].map(probe_silent));
    let standing_still = async {
        // The questions are out; the process then stands still until 25 ms after they should have ended.
        sleep(PROBE_TIME - Duration::from_millis(5)).await;
        advance(Duration::from_millis(30)).await;
    };
    let (ends, ()) = tokio::join!(probing, standing_still);
    assert_eq!(ends, [Unclear, Unclear, Unclear, Silent]);
    assert!(!silence_is_conclusive(&ends));
}
