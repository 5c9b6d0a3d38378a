//! What a request that ends replicas costs until it is stopped, by a model in virtual time; and what each request pays for the
//! look whether it is one.

use std::hint::black_box;

use criterion::Criterion;
use switchfold_router::{
    fingerprint::{RequestFingerprint, RequestParts},
    instance::ReplicaInstance,
    quarantine::{CrashEvidence, CrashReport, CrashRun, QuarantineTable},
};

#[path = "../tests/crash_model/mod.rs"]
mod crash_model;

use crash_model::{Day, Seen, Trouble, play};

/// Seeds of each row.
const SEEDS: u64 = 50;

const RECORD: Day = Day {
    relays: 4,
    replicas: 39,
    bad_every: 500,
    harmless: 70,
    popular: 30,
    troubles: Vec::new(),
    length: 30_000,
};

fn print_row(name: &str, day: &Day) {
    let seen: Vec<Seen> = (0..SEEDS).map(|seed| play(day, seed)).collect();
    let spread = |of: &dyn Fn(&Seen) -> u64| {
        let mut values: Vec<u64> = seen.iter().map(of).collect();
        values.sort_unstable();
        (values[values.len() / 2], values[values.len() - 1])
    };
    let (ended, most_ended) = spread(&|seen| seen.ended as u64);
    let after = |seen: &Seen| seen.last_send.saturating_sub(seen.third.unwrap_or(seen.last_send));
    let (after_ms, most_after) = spread(&after);
    let (_, late) = spread(&|seen| seen.late as u64);
    let refused: usize = seen.iter().map(|seen| seen.refused).sum();
    let harmless: usize = seen.iter().map(|seen| seen.harmless).sum();
    println!(
        "{name:42} ended {ended:3} worst {most_ended:3}  last send after the third {after_ms:5} ms worst {most_after:5}  late {late}  harmless refused {refused} of {harmless}"
    );
}

fn print_model() {
    for relays in [1, 8, 32, 300] {
        let day = Day { relays, replicas: 39.max(relays), ..RECORD };
        print_row(&format!("{relays} relays"), &day);
        print_row(&format!("{relays} relays, every 100 ms"), &Day { bad_every: 100, ..day });
    }
    let beside = |name: &str, troubles: Vec<(u64, Trouble)>| {
        print_row(name, &Day { relays: 9, troubles, ..RECORD });
    };
    beside("9 relays, data centres cut off", vec![(500, Trouble::Cut(25_000))]);
    beside("9 relays, all killed once", vec![(4_000, Trouble::KillRelays)]);
    let harmless = |name: &str, troubles: Vec<(u64, Trouble)>| {
        print_row(name, &Day { relays: 9, bad_every: 0, troubles, ..RECORD });
    };
    harmless("no bad one, a rack", vec![(5_000, Trouble::Rack(9))]);
    harmless(
        "no bad one, all at once, twice",
        vec![(5_000, Trouble::PowerOff), (12_000, Trouble::PowerOff)],
    );
    harmless("no bad one, a release without a word", vec![(3_000, Trouble::Release(400))]);
    let racks = (0..8).map(|number| (3_000 + number * 700, Trouble::Rack(6)));
    harmless("no bad one, one rack after the other", racks.collect());
}

fn fingerprint(number: u64) -> RequestFingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestFingerprint::from_bytes(bytes)
}

fn main() {
    print_model();
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
    criterion.final_summary();
}
