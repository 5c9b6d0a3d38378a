//! What relays tell each other at several sizes of a fleet, by a model in virtual time; and what a relay pays for the choice whom
//! to tell.

use std::hint::black_box;

use criterion::Criterion;
use switchfold_router::membership::PeerTable;

#[path = "../tests/gossip_model/mod.rs"]
mod gossip_model;

use gossip_model::{Day, Trouble, play};

/// Sizes: relays, data centres.
const FLEETS: [(usize, usize); 7] =
    [(21, 3), (103, 5), (200, 5), (437, 5), (874, 5), (874, 12), (2_000, 12)];

const FOUND: u64 = 6_000;

fn print_model() {
    for (relays, data_centres) in FLEETS {
        let troubles = vec![(FOUND, Trouble::Suspects { relay: relays - 1 })];
        let seen = play(&Day { relays, data_centres, lost: 1, troubles, length: 12_000 }, 1);
        let mut known: Vec<u64> = seen.first_away.values().map(|at| at - FOUND).collect();
        known.sort_unstable();
        let (half, last) = (known[known.len() / 2], known[known.len() - 1]);
        println!(
            "{relays:5} relays in {data_centres:2} data centres: busiest member {:4.0}, busiest speaker {:4.0} messages a second; a loss known after {half} ms (half), {last} ms ({} of {relays}); load misjudged by {:.2} at worst",
            seen.busiest(true),
            seen.busiest(false),
            known.len(),
            seen.worst_misjudged(),
        );
    }
}

fn settle(criterion: &mut Criterion) {
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
    print_model();
    let mut criterion = Criterion::default().configure_from_args();
    settle(&mut criterion);
    criterion.final_summary();
}
