//! Relays that start at the same moment learn of each other.

mod harness;

use std::time::Duration;

use harness::{BoundRelay, ROUTES, RunningRelay, bounds, call, run_test, wait_until};
use http::Request;
use http_body_util::Full;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, RELAY_KIND};
use switchfold_platform_standin::{
    StandinStore, StoreBehaviour,
    samples::{KEY, config},
};

/// Data centres with one relay each.
const DATA_CENTRES: [&str; 3] = ["hall", "near", "far"];

/// Time for which lists of relays are late. The random waits before them differ by half a second at
/// most, so that two of three relays list within this time of each other.
const LIST_DELAY: Duration = Duration::from_millis(300);

async fn known_relays(relay: &RunningRelay) -> Option<u64> {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let metrics = call(relay.metrics, request).await.body;
    let line = metrics.lines().find(|line| line.contains("known_relays"))?.to_owned();
    line.rsplit(' ').next()?.parse().ok()
}

/// Guards against two relays that listed each other before either was registered, and that did not
/// know of each other until the next list.
#[test]
fn relays_that_list_before_either_is_registered_learn_of_each_other() {
    run_test(async {
        let store = StandinStore::start().await;
        store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
        store.set_behaviour(StoreBehaviour::LateLists(RELAY_KIND, LIST_DELAY));
        let mut relays = Vec::new();
        for data_centre in DATA_CENTRES {
            let bound = BoundRelay::new_in(data_centre, data_centre, store.clone(), bounds()).await;
            relays.push(bound.run());
        }
        for relay in &relays {
            wait_until(async || known_relays(relay).await == Some(2)).await;
        }
        let is_later_list = |call: &String| call.contains(RELAY_KIND) && call.contains("stale");
        assert!(!store.calls().iter().any(is_later_list), "known before the next round of lists");
    });
}
