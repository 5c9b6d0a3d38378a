//! How many loads of layers a planner orders at once.

mod harness;

use std::{sync::Mutex, time::Duration};

use harness::{BoundRelay, ROUTES, RunningRelay, bounds, entry_of, run_test, wait_until};
use switchfold_platform::{
    CONFIG_KIND, CONFIG_NAME, REPLICA_KIND,
    engine::{ORDER_PATH, REPORT_PATH},
};
use switchfold_platform_standin::{
    ReceivedOrder, ReceivedRequest, Reply, StandinReplica, StandinStore, parse_order,
    samples::{KEY, config, empty_entry, full_report},
    signed_response,
};
use tokio::time::sleep;

/// `loads_at_once` of the sample configuration.
const MAX_PARALLEL_LOADS: usize = 4;

/// Three planning rounds.
const ROUNDS: Duration = Duration::from_millis(600);

/// Whether engines end the loads that they are ordered to make.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadEnd {
    AtOnce,
    Never,
}

/// An engine that is ordered to load layers. The store never lists what it holds.
fn loading_engine(end: LoadEnd) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let held = Mutex::new(None);
    move |request| {
        let mut held = held.lock().expect("no script panics");
        match request.target.as_str() {
            REPORT_PATH => {
                let orders = u64::from(held.is_some());
                signed_response(request, 200, &full_report(orders, false, *held, &[]))
            }
            ORDER_PATH => {
                if let ReceivedOrder::Place { from, to, .. } = parse_order(&request.body) {
                    *held = (end == LoadEnd::AtOnce).then_some((from as u32, to as u32));
                }
                signed_response(request, 202, "")
            }
            _ => signed_response(request, 404, ""),
        }
    }
}

/// Starts a store that lists engines without layers.
async fn start_engines(count: usize, end: LoadEnd) -> (StandinStore, Vec<StandinReplica>) {
    let store = StandinStore::start().await;
    store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
    let mut engines = Vec::new();
    for number in 0..count {
        let engine = StandinReplica::start(loading_engine(end)).await;
        let (id, entry) = entry_of("engine", &engine, empty_entry);
        store.put(REPLICA_KIND, &format!("{id}-{number}"), entry);
        engines.push(engine);
    }
    (store, engines)
}

fn order_count(engines: &[StandinReplica]) -> usize {
    engines.iter().map(|engine| engine.orders().len()).sum()
}

/// Guards against relays that took the time after a loss of power for that before the first request
/// of all: they ordered all loads at once, each of which then took several times as long.
#[test]
fn a_restarted_relay_without_requests_orders_no_more_loads_than_run_at_full_speed() {
    run_test(async {
        let (store, engines) = start_engines(MAX_PARALLEL_LOADS * 3, LoadEnd::Never).await;
        let _relay = RunningRelay::start_with_store(store, bounds()).await;
        wait_until(async || order_count(&engines) >= MAX_PARALLEL_LOADS).await;
        sleep(ROUNDS).await;
        assert_eq!(order_count(&engines), MAX_PARALLEL_LOADS);
    });
}

#[test]
fn a_relay_of_a_new_system_orders_all_loads_at_once() {
    run_test(async {
        let (store, engines) = start_engines(MAX_PARALLEL_LOADS * 3, LoadEnd::Never).await;
        let bound = BoundRelay::new("relay-1", store, bounds()).await;
        let _relay = bound.at_first_start().run();
        wait_until(async || order_count(&engines) == engines.len()).await;
    });
}

/// Guards against loads that waited for the list to show the end of others: up to two seconds, in
/// which the store of the weights was idle.
#[test]
fn a_load_that_has_ended_makes_room_before_the_list_shows_it() {
    run_test(async {
        let (store, engines) = start_engines(MAX_PARALLEL_LOADS * 3, LoadEnd::AtOnce).await;
        let _relay = RunningRelay::start_with_store(store, bounds()).await;
        let orders = || engines.iter().map(|engine| engine.orders().len());
        wait_until(async || {
            let is_first = orders().all(|count| count <= 1);
            assert!(is_first, "engines got a second order before others got their first");
            orders().all(|count| count == 1)
        })
        .await;
    });
}
