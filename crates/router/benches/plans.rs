//! Benchmarks of planning layouts, choosing paths and the look-ups for each choice, up to the
//! largest size designed for.
//!
//! Run it with `cargo bench -p switchfold-router`. A present data centre has 13 replicas; the
//! design target of 2,200 over 12 data centres makes 180 each.

use std::{hint::black_box, net::Ipv4Addr};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use switchfold_router::{
    backoff::BackoffTable,
    fleet::{EntryState, LayerRange, ReplicaEntry, ReplicaUpdate},
    grants::HeldGrants,
    instance::ReplicaInstance,
    limits::{LimitReport, LimitTable},
    pass_load::{LoadRule, StageLoad},
    path::{PathCosts, PathRequest, StageOffer, choose_path},
    placement::{LayerHolder, ModelShape, PlacementConfig, improve_group, plan_group},
    replicas::{FleetList, FleetTracker, UpdateSource},
    reservations::ReservationLedger,
};

const MODEL: ModelShape = ModelShape { layers: 80, layer_mb: 1_750.0, request_mb: 0.0 };

/// Numbers of replicas in a group: a present data centre and a grown one (13, 20), a tenth and a
/// twelfth of the sizes designed for (44, 180), the target size of a planning group (64), and a
/// data centre of 100 VMs with ten replicas each.
const GROUPS: [usize; 6] = [13, 20, 44, 64, 180, 1_000];

fn empty_group(count: usize) -> Vec<LayerHolder> {
    let kinds = [(72_000.0, 2.4), (14_400.0, 5.3), (21_600.0, 16.0)];
    let holder = |index: usize| {
        let (memory_mb, step_factor) =
            kinds[if index.is_multiple_of(10) { 0 } else { 1 + index % 2 }];
        LayerHolder {
            instance: ReplicaInstance::new(&format!("r{index:03}"), 0),
            memory_mb,
            slots: 0,
            layer_ms: 1.02 * step_factor / f64::from(MODEL.layers),
            range: None,
            target: None,
            held: None,
            can_order: true,
        }
    };
    (0..count).map(holder).collect()
}

fn laid_out(count: usize) -> Vec<LayerHolder> {
    let mut holders = empty_group(count);
    for order in plan_group(&holders, MODEL, &PlacementConfig::default()) {
        let holder =
            holders.iter_mut().find(|holder| holder.instance == order.instance).expect("a holder");
        holder.range = Some(order.range);
        holder.held = holder.range;
    }
    holders
}

fn plans(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan_group");
    group.sample_size(10);
    for count in GROUPS {
        let settled = laid_out(count);
        let mut lost = settled.clone();
        lost.remove(count / 2);
        for (name, holders) in [("new", empty_group(count)), ("settled", settled), ("lost", lost)] {
            group.bench_function(BenchmarkId::new(name, count), |bencher| {
                bencher
                    .iter(|| plan_group(black_box(&holders), MODEL, &PlacementConfig::default()));
            });
        }
    }
    group.finish();
}

fn searches(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("improve_group");
    group.sample_size(10);
    for count in GROUPS {
        let holders = laid_out(count);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| improve_group(black_box(&holders), MODEL, &PlacementConfig::default()));
        });
    }
    group.finish();
}

fn paths(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_path");
    for (data_centres, count) in [(3, 13), (12, 180)] {
        let offers: Vec<StageOffer> =
            (0..data_centres).flat_map(|data_centre| offers(data_centre, count)).collect();
        let request = PathRequest {
            layers: MODEL.layers,
            tokens: 1_000.0,
            local_data_centre: 0,
            data_centres,
            may_cross: false,
            first: None,
            load: None,
        };
        group.bench_function(BenchmarkId::from_parameter(data_centres * count), |bencher| {
            bencher.iter(|| choose_path(&request, black_box(&offers), &PathCosts::default()));
        });
    }
    group.finish();
}

/// Chooses among all 549 replicas of three data centres, and among the three groups of about 46 that
/// a relay considers there, with and without the load. One data centre is twice as loaded as the
/// others.
fn loaded_paths(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_path/load");
    let distances = [Some(0.0), Some(1.5), Some(1.5)];
    for counts in [[183, 183, 183], [92, 46, 0]] {
        let all = counts.into_iter().enumerate().flat_map(|(number, count)| offers(number, count));
        let all = all.map(|offer| {
            let running = if offer.data_centre == 0 { 60.0 } else { 30.0 };
            let step_ms = offer.layer_cost;
            let load_ms = running * step_ms / 30.0;
            StageOffer { load: StageLoad { running, step_ms, load_ms, read_ms: step_ms }, ..offer }
        });
        let all: Vec<StageOffer> = all.collect();
        for (name, is_aware) in [("off", false), ("on", true)] {
            let rule = LoadRule { distances: &distances, draw: 0.2, keeps_local: false };
            let request = PathRequest {
                layers: MODEL.layers,
                tokens: 1_000.0,
                local_data_centre: 0,
                data_centres: 3,
                may_cross: false,
                first: None,
                load: is_aware.then_some(rule),
            };
            group.bench_function(BenchmarkId::new(name, all.len()), |bencher| {
                bencher.iter(|| choose_path(&request, black_box(&all), &PathCosts::default()));
            });
        }
    }
    group.finish();
}

fn offers(data_centre: usize, count: usize) -> Vec<StageOffer> {
    let offer = |holder: LayerHolder| StageOffer {
        instance: ReplicaInstance::new(&format!("{data_centre}-{}", holder.instance), 0),
        address: "10.0.0.1:8000".parse().expect("an address"),
        data_centre,
        range: holder.range.unwrap_or_default(),
        layer_cost: holder.layer_ms,
        free_token_layers: 1e7,
        start_cost: Some(0.0),
        is_throttled: false,
        load: StageLoad::default(),
    };
    laid_out(count).into_iter().map(offer).collect()
}

/// Reads the total reservations of 300 relays at each of 3,000 replicas, as each choice of a path
/// does.
fn reservations(criterion: &mut Criterion) {
    const RELAYS: usize = 300;
    const HELD: usize = 100;
    let instances: Vec<ReplicaInstance> =
        (0..3_000).map(|number| ReplicaInstance::new(&format!("i-{number:010x}"), 0)).collect();
    let mut ledger = ReservationLedger::default();
    for relay in 0..RELAYS {
        let held =
            (0..HELD).map(|number| instances[(relay * 37 + number * 29) % instances.len()].clone());
        ledger.merge_peer(
            &format!("edge-{relay}"),
            held.map(|instance| (instance, 900.0)).collect(),
            0,
        );
    }
    criterion.bench_function("promised/3000 replicas, 300 entries", |bencher| {
        bencher.iter(|| {
            instances.iter().map(|instance| ledger.reserved(black_box(instance))).sum::<f64>()
        });
    });
}

/// Looks up whether each of 3,000 replicas asked this VM to back off, as each choice of a path
/// does, with none, one or a third of them asking. It takes 7 us, 65 us and 69 us of a busy core;
/// reading the reservations above takes 67 us.
fn backoffs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("held_back");
    let instances: Vec<ReplicaInstance> =
        (0..3_000).map(|number| ReplicaInstance::new(&format!("i-{number:010x}"), 0)).collect();
    for backing_off in [0, 1, 1_000] {
        let mut table = BackoffTable::default();
        instances
            .iter()
            .step_by(3)
            .take(backing_off)
            .for_each(|instance| table.record(instance, 3_000, 0));
        group.bench_function(BenchmarkId::new("3000 replicas", backing_off), |bencher| {
            bencher.iter(|| {
                instances
                    .iter()
                    .filter_map(|instance| table.remaining(black_box(instance), 1))
                    .count()
            });
        });
    }
    group.finish();
}

/// Looks up whether each of 3,000 replicas is held back by its rate limit, as each choice of a path
/// does, with none and with all of them limited.
fn limits(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("limits");
    let ids: Vec<String> = (0..3_000).map(|number| format!("i-{number:010x}")).collect();
    for limited in [0, 3_000] {
        let (mut table, mut grants) = (LimitTable::default(), HeldGrants::default());
        for id in &ids[..limited] {
            table.update(id, LimitReport { per_second: Some(3.1), sent: 0 }, 0);
            grants.add(id, 1, 0, 1.0, 0);
        }
        group.bench_function(BenchmarkId::new("3000 replicas", limited), |bencher| {
            let wait = |id: &&String| {
                let limited = !table.is_empty() && table.limit(black_box(id)).is_some();
                limited.then(|| grants.wait(id, 5, 1)).flatten().is_some()
            };
            bencher.iter(|| ids.iter().filter(wait).count());
        });
    }
    group.finish();
}

/// Applies a list of 3,000 replicas, all of them known.
fn lists(criterion: &mut Criterion) {
    let entry = |number: u32| ReplicaEntry {
        instance: ReplicaInstance::new(&format!("i-{number:010x}"), 0),
        service: "model".to_owned(),
        address: (Ipv4Addr::from(0x0a00_0000 + number), 8_080).into(),
        data_centre: "hall".to_owned(),
        slots: 192,
        state: EntryState::Ready,
        kind: "small".to_owned(),
        layers: Some(LayerRange { from: 0, to: 8 }),
    };
    let replica_update = |number: u32| ReplicaUpdate {
        id: format!("i-{number:010x}"),
        revision: u64::from(number),
        entry: Some(entry(number)),
    };
    let listed: Vec<ReplicaUpdate> = (0..3_000).map(replica_update).collect();
    let mut fleet = FleetTracker::default();
    fleet.apply_list(FleetList { listed: listed.clone(), at: 4_000 }, UpdateSource::List, 0, 0);
    criterion.bench_function("take_list/3000 replicas", |bencher| {
        bencher.iter(|| {
            let list = FleetList { listed: listed.clone(), at: 4_000 };
            fleet.apply_list(black_box(list), UpdateSource::List, 0, 0)
        });
    });
}

criterion_group!(
    benches,
    plans,
    searches,
    paths,
    loaded_paths,
    reservations,
    backoffs,
    limits,
    lists
);
criterion_main!(benches);
