//! Cost of a request that crashes replicas until it is quarantined, from a simulation in virtual
//! time, and the cost of the quarantine check for each request.

use std::hint::black_box;

use criterion::Criterion;
use switchfold_router::{
    fingerprint::{RequestFingerprint, RequestParts},
    instance::ReplicaInstance,
    quarantine::{CrashEvidence, CrashReport, CrashRun, QuarantineTable},
};

#[path = "../tests/crash_model/mod.rs"]
mod crash_model;

use crash_model::{Fault, Observed, Scenario, simulate};

/// Number of seeds simulated for each row.
const SEEDS: u64 = 50;

/// The pattern of the recorded incident.
const INCIDENT: Scenario = Scenario {
    relays: 4,
    replicas: 39,
    bad_interval: 500,
    harmless_rate: 70,
    popular_rate: 30,
    faults: Vec::new(),
    entry_time: None,
    length: 30_000,
};

fn print_row(name: &str, scenario: &Scenario) {
    let observed: Vec<Observed> = (0..SEEDS).map(|seed| simulate(scenario, seed)).collect();
    let median_and_max = |metric: &dyn Fn(&Observed) -> u64| {
        let mut values: Vec<u64> = observed.iter().map(metric).collect();
        values.sort_unstable();
        (values[values.len() / 2], values[values.len() - 1])
    };
    let (crashed, max_crashed) = median_and_max(&|observed| observed.crashed as u64);
    let after = |observed: &Observed| {
        observed.last_send.saturating_sub(observed.third_crash.unwrap_or(observed.last_send))
    };
    let (after_ms, max_after) = median_and_max(&after);
    let (_, late_sends) = median_and_max(&|observed| observed.late_sends as u64);
    let rejected: usize = observed.iter().map(|observed| observed.rejected).sum();
    let harmless: usize = observed.iter().map(|observed| observed.harmless).sum();
    println!(
        "{name:42} crashed {crashed:3} worst {max_crashed:3}  last send after the third {after_ms:5} ms worst {max_after:5}  late {late_sends}  harmless rejected {rejected} of {harmless}"
    );
}

fn print_simulation() {
    for relays in [1, 8, 32, 300] {
        let scenario = Scenario { relays, replicas: 39.max(relays), ..INCIDENT };
        print_row(&format!("{relays} relays"), &scenario);
        print_row(
            &format!("{relays} relays, every 100 ms"),
            &Scenario { bad_interval: 100, ..scenario },
        );
    }
    let with_faults = |name: &str, faults: Vec<(u64, Fault)>| {
        print_row(name, &Scenario { relays: 9, faults, ..INCIDENT });
    };
    with_faults("9 relays, partitioned data centres", vec![(500, Fault::Partition(25_000))]);
    with_faults("9 relays, all restarted once", vec![(4_000, Fault::RelayCrash)]);
    let harmless = |name: &str, faults: Vec<(u64, Fault)>| {
        print_row(name, &Scenario { relays: 9, bad_interval: 0, faults, ..INCIDENT });
    };
    harmless("no bad request, a rack", vec![(5_000, Fault::Rack(9))]);
    harmless(
        "no bad request, two power failures",
        vec![(5_000, Fault::PowerOff), (12_000, Fault::PowerOff)],
    );
    harmless("no bad request, rolling restart", vec![(3_000, Fault::RollingRestart(400))]);
    let racks = (0..8).map(|number| (3_000 + number * 700, Fault::Rack(6)));
    harmless("no bad request, one rack after another", racks.collect());
}

fn fingerprint(number: u64) -> RequestFingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestFingerprint::from_bytes(bytes)
}

fn part_fingerprints(count: u64) -> Vec<RequestFingerprint> {
    (0..count).map(|part| RequestFingerprint::of_prompt_part("model", part)).collect()
}

fn main() {
    print_simulation();
    let mut criterion = Criterion::default().configure_from_args();
    let body = vec![7; 800];
    let parts = RequestParts {
        method: "POST",
        host: "sample.example",
        target: "/stream/2f",
        organisation: Some("fisher"),
        body: &body,
    };
    criterion.bench_function("fingerprint, 800 bytes", |bencher| {
        bencher.iter(|| RequestFingerprint::of(black_box(&parts)));
    });
    let large = vec![7; 4 << 20];
    let large = RequestParts { body: &large, ..parts };
    criterion.bench_function("fingerprint, 4 MB", |bencher| {
        bencher.iter(|| RequestFingerprint::of(black_box(&large)));
    });
    let empty = QuarantineTable::default();
    criterion.bench_function("look, nothing known", |bencher| {
        bencher.iter(|| black_box(&empty).remaining(&fingerprint(1), 1));
    });
    let mut full = QuarantineTable::default();
    for number in 0..1_000 {
        let instance = ReplicaInstance::new("i", number + 1);
        let runs = vec![CrashRun { instance, sent: 0, lost: 1, evidence: CrashEvidence::Strong }];
        full.merge(
            vec![CrashReport { fingerprint: fingerprint(number), remaining: Some(500), runs }],
            false,
            1,
        );
    }
    criterion.bench_function("look, 1,000 stopped", |bencher| {
        bencher.iter(|| black_box(&full).remaining(&fingerprint(500), 1));
    });
    for count in [1, 10, 100] {
        criterion.bench_function(&format!("fingerprints of {count} parts"), |bencher| {
            bencher.iter(|| part_fingerprints(black_box(count)));
        });
        let parts = part_fingerprints(count);
        for (known, table) in [("nothing", &empty), ("1,000 stopped", &full)] {
            criterion.bench_function(&format!("look, {count} parts, {known} known"), |bencher| {
                bencher.iter(|| {
                    let table = black_box(table);
                    parts.iter().filter_map(|part| table.remaining(part, 1)).max()
                });
            });
        }
    }
    criterion.final_summary();
}
