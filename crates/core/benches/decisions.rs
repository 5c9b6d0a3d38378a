//! Duration of each decision at three sizes, up to the largest size that the system is designed
//! for.
//!
//! Run with `cargo bench -p switchfold-core`.

use std::{hint::black_box, sync::Arc};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{
    claim::{ClaimKey, ClaimProposal, ClaimShard},
    flow::{FlowReplica, flow_bound},
    id::RequestId,
    ledger::{LedgerConfig, RequestLedger},
    path::{POLICIES, PathCandidate, PathCursor, choose_replica},
    placement::{PlacementVm, searched_split},
    queue::{AdmissionQueue, QueueEntry},
    route::LayerRange,
    step::{StepGate, StepHeader},
    subset::{balanced_subset, rendezvous_subset},
    version::{ObjectCopy, ObjectKey, VersionedObjects},
};

fn paths(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_replica");
    for count in [10_u32, 100, 733] {
        let candidates: Vec<PathCandidate> = (0..count)
            .map(|number| PathCandidate {
                weight: f64::from(number % 7 + 1),
                outstanding: number % 13,
                free: number % 5,
            })
            .collect();
        for policy in POLICIES {
            let mut random = ChaCha8Rng::seed_from_u64(1);
            let mut cursor = PathCursor::default();
            group.bench_function(BenchmarkId::new(format!("{policy:?}"), count), |bencher| {
                bencher.iter(|| {
                    choose_replica(policy, black_box(&candidates), &mut cursor, &mut random)
                });
            });
        }
    }
    group.finish();
}

fn flows(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("flow_bound");
    group.sample_size(10);
    for count in [60_u32, 480, 2_200] {
        let replicas: Vec<FlowReplica> = (0..count)
            .map(|number| FlowReplica {
                name: format!("r{number}"),
                data_centre: number as usize % 12,
                layers: LayerRange::new(16 * (number % 3), 16 * (number % 3) + 16)
                    .expect("not empty"),
                milli_rate: 1_000_000 * u64::from(number % 7 + 1),
            })
            .collect();
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| flow_bound(black_box(&replicas), &[], 48));
        });
    }
    group.finish();
}

fn id(counter: u64) -> RequestId {
    RequestId { incarnation: 1, counter }
}

fn queues(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue_push_pop");
    for organisations in [10_u64, 1_000, 13_000] {
        let mut queue = AdmissionQueue::new();
        let entry = |number: u64| QueueEntry {
            id: id(number),
            organisation: Arc::from((number % organisations).to_string()),
            priority: (number % 4) as u8,
            deadline: number,
            queued_at: 0,
            cost: 32,
            weight: 1,
        };
        for number in 0..organisations {
            queue.push(entry(number));
        }
        let mut number = organisations;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                number += 1;
                queue.push(entry(number));
                queue.pop()
            });
        });
    }
    group.finish();
}

fn ledgers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ledger_admit_finish");
    for capacity in [1_000_usize, 10_000, 100_000] {
        let mut ledger = RequestLedger::new(LedgerConfig { capacity, max_incarnations: 4_096 });
        let mut counter = 0;
        group.bench_function(BenchmarkId::from_parameter(capacity), |bencher| {
            bencher.iter(|| {
                counter += 1;
                let admitted = ledger.admit(id(counter), 1, true);
                ledger.finish(id(counter));
                admitted
            });
        });
    }
    group.finish();
}

fn steps(criterion: &mut Criterion) {
    let mut gate = StepGate::new(16, 1);
    let mut position = 0;
    criterion.bench_function("step_gate", |bencher| {
        bencher.iter(|| {
            let header =
                StepHeader { attempt: 1, layer: 16, first_position: position, len: 1, resend: 0 };
            position += 1;
            let decision = gate.decide(black_box(&header));
            gate.finish();
            decision
        });
    });
}

fn objects(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge_object");
    for count in [10_u64, 100, 1_000] {
        let mut objects = VersionedObjects::new();
        let key = |number: u64| ObjectKey::new("event", number.to_string());
        let value: Arc<[u8]> = Arc::from(vec![0; 1_000]);
        let copy = |version| ObjectCopy { version, value: Some(Arc::clone(&value)) };
        for number in 0..count {
            objects.merge(&key(number), copy(1));
        }
        let mut version = 1;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                version += 1;
                objects.merge(&key(version % count), copy(version))
            });
        });
    }
    group.finish();
}

fn subsets(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("subset");
    for count in [40_usize, 400, 2_200] {
        let names: Vec<String> = (0..count).map(|number| format!("engine-{number}")).collect();
        let members: Vec<&str> = names.iter().map(String::as_str).collect();
        group.bench_function(BenchmarkId::new("rendezvous", count), |bencher| {
            bencher.iter(|| rendezvous_subset("entry-7", black_box(&members), 30));
        });
        group.bench_function(BenchmarkId::new("ring", count), |bencher| {
            bencher.iter(|| balanced_subset(7, black_box(&members), 30));
        });
    }
    group.finish();
}

fn placements(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("searched_split");
    group.sample_size(10);
    for count in [12_usize, 40, 180] {
        let vms: Vec<PlacementVm> = (0..count)
            .map(|number| PlacementVm {
                name: format!("vm-{number}"),
                layer_rate: 10_000.0 + (number * 7_919 % 60_000) as f64,
                max_layers: 24,
            })
            .collect();
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| searched_split(black_box(&vms), 48, 3, 500));
        });
    }
    group.finish();
}

fn claims(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claim_plan");
    group.sample_size(20);
    for count in [1_u64, 50, 425] {
        let shard = ClaimShard::new();
        let proposals: Vec<ClaimProposal> = (0..count)
            .map(|number| ClaimProposal {
                key: ClaimKey::new("org", &number.to_string()),
                request: id(number),
                entry: "entry-7".to_owned(),
                replaces: None,
            })
            .collect();
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter_batched(
                || shard.clone(),
                |shard| shard.plan(black_box(&proposals), 1),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(
    benches, paths, flows, queues, ledgers, steps, objects, subsets, placements, claims
);
criterion_main!(benches);
