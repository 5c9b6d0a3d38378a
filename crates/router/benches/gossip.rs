//! Traffic between relays at several sizes of a fleet, by a model in virtual time; and the time
//! that a relay needs to choose the relays that it sends to.

use std::hint::black_box;

use criterion::Criterion;
use switchfold_router::membership::PeerTable;

#[path = "../tests/gossip_model/mod.rs"]
mod gossip_model;

use gossip_model::{Fault, Scenario, run_scenario};

/// Numbers of relays and data centres of each simulated fleet.
const FLEETS: [(usize, usize); 7] =
    [(21, 3), (103, 5), (200, 5), (437, 5), (874, 5), (874, 12), (2_000, 12)];

/// Time at which a relay finds a replica failed, in milliseconds.
const FAULT_TIME: u64 = 6_000;

fn print_scenarios() {
    for (relays, data_centres) in FLEETS {
        let faults = vec![(FAULT_TIME, Fault::Suspect { relay: relays - 1 })];
        let outcome =
            run_scenario(&Scenario { relays, data_centres, lost: 1, faults, length: 12_000 }, 1);
        let mut known: Vec<u64> =
            outcome.first_avoided.values().map(|at| at - FAULT_TIME).collect();
        known.sort_unstable();
        let (half, last) = (known[known.len() / 2], known[known.len() - 1]);
        println!(
            "{relays:5} relays in {data_centres:2} data centres: busiest member {:4.0}, busiest speaker {:4.0} messages per second; a failure known to half after {half} ms, to the last after {last} ms ({} of {relays} informed); reservations misestimated by {:.2} at worst",
            outcome.busiest(true),
            outcome.busiest(false),
            known.len(),
            outcome.worst_misestimate(),
        );
    }
}

fn bench_plan_gossip(criterion: &mut Criterion) {
    for relays in [100_u32, 437, 874, 2_000] {
        let mut table = PeerTable::default();
        for number in 0..relays {
            let address = format!("10.0.{}.{}:7000", number / 250, number % 250 + 1);
            let address = address.parse().expect("an address");
            table.upsert(&format!("r{number:04}"), address, &format!("d{}", number % 5), 0);
        }
        let name = format!("settle_circle/{relays} relays");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| black_box(table.plan_gossip("r0900x", "d0", 1_000)).peers.len());
        });
    }
}

fn main() {
    print_scenarios();
    let mut criterion = Criterion::default().configure_from_args();
    bench_plan_gossip(&mut criterion);
    criterion.final_summary();
}
