//! A store that is restored from an older backup: time until all relays hold its current replicas,
//! and calls that this costs.
//!
//! Run it with `cargo bench -p switchfold-relay --bench store_restore`. All relays of three data
//! centres share one thread with the store, so the figures are upper bounds; 8 cores, five restores
//! per row. A replica joins at the time of the restore; "held" is the time until the last relay
//! holds it and all others; calls are those of the second after the restore.
//!
//! | relays | held, p50 and worst, in ms | calls, p50 and most | fewest replicas held of 30 |
//! |---|---|---|---|
//! | 1 | 106, 108 | 9, 9 | 30 |
//! | 8 | 660, 764 | 43, 47 | 30 |
//! | 32 | 946, 1,158 | 43, 80 | 30 |
//! | 100 | 1,009, 1,195 | 59, 304 | 30 |
//!
//! Before revisions carried an era, a relay did not see such a replica until the revisions had
//! caught up.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{net::SocketAddr, time::Duration};

use harness::{BoundRelay, ROUTES, RunningRelay, bounds, call, run_test};
use http::{Request, StatusCode};
use http_body_util::Full;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinStore, StoreBehaviour,
    samples::{KEY, config, desk_entry, in_data_centre},
};
use tokio::time::{Instant, sleep};

const DATA_CENTRES: [&str; 3] = ["hall", "far", "farther"];
const REPLICAS: u16 = 30;
const RESTORES: u64 = 5;

/// Duration of the store's outage.
const OUTAGE: Duration = Duration::from_millis(200);

/// Age of the backup.
const BACKUP_AGE: Duration = Duration::from_millis(1_500);

/// Time from the restore until the lost entries are written again.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

fn write_replicas(store: &StandinStore, slots: u64) {
    for number in 0..REPLICAS {
        let address = SocketAddr::from(([10, 0, 0, 1], 8_000 + number));
        let data_centre = DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()];
        let mut entry = in_data_centre(desk_entry(address), data_centre);
        entry["slots"] = slots.into();
        store.put(REPLICA_KIND, &format!("i-{number}"), entry);
    }
}

/// Number of replicas that a relay knows, by its metrics.
async fn replica_count(relay: &RunningRelay) -> u64 {
    let request = Request::get("/metrics").body(Full::default()).expect("a request");
    let text = call(relay.metrics, request).await.body;
    let line = text.lines().find(|line| line.contains("name=\"replicas\""));
    line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0) as u64
}

/// Adds one more replica to the store.
fn add_replica(store: &StandinStore, number: u64) {
    let address = SocketAddr::from(([10, 0, 0, 2], 8_000 + number as u16));
    store.put(REPLICA_KIND, &format!("i-new-{number}"), desk_entry(address));
}

async fn run_restores(count: usize) {
    let store = StandinStore::start().await;
    store.put(CONFIG_KIND, CONFIG_NAME, config(1, &ROUTES, &[KEY]));
    write_replicas(&store, 6);
    let mut relays = Vec::new();
    for number in 0..count {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let name = format!("relay-{number:03}");
        relays.push(BoundRelay::new_in(data_centre, &name, store.clone(), bounds()).await.run());
    }
    for relay in &relays {
        relay.wait_ready(StatusCode::OK).await;
    }
    sleep(Duration::from_secs(3)).await;
    let (mut times, mut calls, mut fewest) = (Vec::new(), Vec::new(), u64::MAX);
    for number in 1..=RESTORES {
        store.take_backup();
        sleep(BACKUP_AGE).await;
        write_replicas(&store, 6 + number);
        sleep(Duration::from_millis(300)).await;
        store.set_behaviour(StoreBehaviour::Unavailable);
        sleep(OUTAGE).await;
        store.restore_backup();
        store.set_behaviour(StoreBehaviour::Healthy);
        let (restored_at, calls_before) = (Instant::now(), store.calls().len());
        add_replica(&store, number);
        let (mut up_to_date, mut is_rewritten, mut calls_in_second) = (0, false, None);
        while up_to_date < relays.len() || calls_in_second.is_none() {
            if !is_rewritten && restored_at.elapsed() > REWRITE_DELAY {
                is_rewritten = true;
                write_replicas(&store, 6 + number);
            }
            if restored_at.elapsed() > Duration::from_secs(1) {
                calls_in_second.get_or_insert_with(|| store.calls().len() - calls_before);
            }
            if let Some(relay) = relays.get(up_to_date) {
                let replicas = replica_count(relay).await;
                fewest = fewest.min(replicas + 1 - number);
                if replicas == u64::from(REPLICAS) + number {
                    up_to_date += 1;
                    if up_to_date == relays.len() {
                        times.push(restored_at.elapsed().as_millis());
                    }
                    continue;
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        calls.push(calls_in_second.unwrap_or_default());
        sleep(Duration::from_secs(3)).await;
    }
    times.sort_unstable();
    calls.sort_unstable();
    println!(
        "{count:3} relays: held after {} ms (p50), {} ms (worst); calls {} (p50), {} (most); fewest replicas held {fewest} of {REPLICAS}",
        times[times.len() / 2],
        times[times.len() - 1],
        calls[calls.len() / 2],
        calls[calls.len() - 1],
    );
}

fn main() {
    for count in [1, 8, 32, 100] {
        run_test(run_restores(count));
    }
}
