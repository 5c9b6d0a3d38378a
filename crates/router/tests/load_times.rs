//! How long the engines of a deployment take to hold whole models after all of them lost their layers:
//! a model in virtual time, driven by the plans and the sequence of their orders.

use std::collections::BTreeMap;

use switchfold_router::{
    fleet::LayerRange,
    instance::ReplicaInstance,
    placement::{
        GroupOrders, LayerHolder, ModelShape, PlacementConfig, PlacementReason, layer_counts,
        layout_score, plan_group, sequence_orders, widest_gap,
    },
};

const MODEL: ModelShape = ModelShape { layers: 80, layer_mb: 1_750.0, request_mb: 0.0 };

/// Time of a token step over all layers at a step factor of 1, in milliseconds.
const STEP_MS: f64 = 1.02;

/// Memory in MB and step factor of three kinds of accelerators.
const KINDS: [(f64, f64); 3] = [(72_000.0, 2.4), (14_000.0, 5.3), (22_000.0, 16.0)];

/// Number of engines of each kind, by data centre.
const ENGINES: [(&str, [usize; 3]); 3] = [("a", [2, 9, 10]), ("b", [1, 14, 5]), ("c", [2, 6, 7])];

/// Time to load a layer at full speed, in milliseconds.
const LAYER_TIME: f64 = 175.0;

/// Number of loads that run at full speed.
const MAX_PARALLEL_LOADS: usize = 9;

/// Interval between two planning rounds, in milliseconds.
const ROUND: u64 = 200;

/// Time until the list shows a load: a heartbeat and its delay, in milliseconds.
const LIST_LAG: u64 = 2_000;

/// Step of the model, in milliseconds.
const STEP: u64 = 20;

/// An engine: its holder as the planner knows it, and its load.
struct ModelEngine {
    holder: LayerHolder,
    /// Layers being loaded, and the time that the load still takes at full speed.
    load: Option<(LayerRange, f64)>,
    /// Layers that are loaded, and since when.
    loaded: Option<(LayerRange, u64)>,
}

/// Engines by data centre.
type ModelGroups = BTreeMap<&'static str, Vec<ModelEngine>>;

/// Smallest score of the layout in the end, relative to one that is laid out at once.
const MIN_WORTH: f64 = 0.95;

/// Our goals for half of the former service, and for all of it, after all engines lost their layers,
/// in milliseconds.
const HALF_SERVICE: u64 = 5_000;
const WHOLE_SERVICE: u64 = 8_000;

/// Time after which all planned loads have ended, in milliseconds.
const LOADED: u64 = 30_000;

/// Lets all engines load. Returns the time after the first round at which each data centre has a path,
/// in milliseconds, and the engines at the end. Data centres without a path are left out.
fn load_all() -> (BTreeMap<&'static str, u64>, ModelGroups) {
    let mut groups: ModelGroups = ENGINES.iter().map(empty_group).collect();
    let mut times = BTreeMap::new();
    for now in (0..LOADED).step_by(STEP as usize) {
        finish_loads(&mut groups, now);
        if now % ROUND == 0 {
            send_orders(&mut groups);
        }
        for (name, engines) in &groups {
            if covers(engines.iter().filter_map(|engine| engine.loaded.map(|(range, _)| range))) {
                times.entry(*name).or_insert(now);
            }
        }
    }
    (times, groups)
}

/// Returns the sum of the scores of the layouts.
fn score(groups: impl Iterator<Item = Vec<LayerHolder>>) -> f64 {
    groups.map(|holders| layout_score(&holders, MODEL)).sum()
}

/// Returns the holders of a new group after its orders were carried out.
fn laid_out_at_once(group: &(&'static str, [usize; 3])) -> Vec<LayerHolder> {
    let (_, engines) = empty_group(group);
    let mut holders: Vec<LayerHolder> = engines.into_iter().map(|engine| engine.holder).collect();
    for order in plan_group(&holders, MODEL, &PlacementConfig::default()) {
        let holder = holders.iter_mut().find(|holder| holder.instance == order.instance);
        let holder = holder.expect("an order is for an engine of the group");
        holder.range = Some(order.range);
        holder.held = holder.range;
    }
    holders
}

fn empty_group((name, counts): &(&'static str, [usize; 3])) -> (&'static str, Vec<ModelEngine>) {
    let kinds =
        KINDS.iter().zip(counts).flat_map(|(kind, count)| std::iter::repeat_n(*kind, *count));
    let engines = kinds.enumerate().map(|(number, (memory_mb, factor))| ModelEngine {
        holder: LayerHolder {
            instance: ReplicaInstance::new(&format!("{name}-{number:02}"), 0),
            memory_mb,
            slots: 192,
            layer_ms: STEP_MS * factor / f64::from(MODEL.layers),
            range: None,
            target: None,
            held: None,
            can_order: true,
        },
        load: None,
        loaded: None,
    });
    (name, engines.collect())
}

fn covers(ranges: impl Iterator<Item = LayerRange>) -> bool {
    widest_gap(&layer_counts(ranges, MODEL.layers)).is_none()
}

fn finish_loads(groups: &mut ModelGroups, now: u64) {
    let loading = groups.values().flatten().filter(|engine| engine.load.is_some()).count();
    let slowdown = (loading as f64 / MAX_PARALLEL_LOADS as f64).max(1.0);
    for engine in groups.values_mut().flatten() {
        if let Some((range, remaining)) = &mut engine.load {
            *remaining -= STEP as f64 / slowdown;
            if *remaining <= 0.0 {
                engine.loaded = Some((*range, now));
                engine.load = None;
            }
        }
        if let Some((range, at)) = engine.loaded
            && now >= at + LIST_LAG
        {
            engine.holder.held = Some(range);
            engine.holder.can_order = engine.load.is_none();
        }
    }
}

/// Sends orders while there are places. A load occupies its place until it ends.
fn send_orders(groups: &mut ModelGroups) {
    let config = PlacementConfig {
        max_parallel_loads: Some(MAX_PARALLEL_LOADS),
        ..PlacementConfig::default()
    };
    let planned = groups.values().map(|engines| {
        let holders: Vec<LayerHolder> =
            engines.iter().map(|engine| engine.holder.clone()).collect();
        let orders = plan_group(&holders, MODEL, &config);
        GroupOrders { holders, orders }
    });
    let orders = sequence_orders(planned.collect(), MODEL.layers);
    let busy = groups.values().flatten().filter(|engine| engine.load.is_some()).count();
    for order in orders.into_iter().take(MAX_PARALLEL_LOADS.saturating_sub(busy)) {
        let mut engines = groups.values_mut().flatten();
        let engine = engines.find(|engine| engine.holder.instance == order.instance);
        let engine = engine.expect("an order is for an engine of the group");
        engine.holder.range = Some(order.range);
        engine.holder.target = match order.reason {
            PlacementReason::FirstPath { target } => Some(target),
            _ => None,
        };
        engine.holder.can_order = false;
        let held = engine.loaded.map_or(0, |(held, _)| held.overlap(&order.range).len());
        engine.load = Some((order.range, f64::from(order.range.len() - held) * LAYER_TIME));
    }
}

/// Guards against data centres that waited for the layers of the others: the last of three had its
/// first path after 20 s.
#[test]
fn every_data_centre_soon_has_a_path_after_all_engines_lost_their_layers() {
    let (times, groups) = load_all();
    let early = times.values().filter(|time| **time <= HALF_SERVICE).count();
    assert!(times.len() == ENGINES.len() && early * 2 >= ENGINES.len(), "{times:?}");
    assert!(times.values().all(|time| *time <= WHOLE_SERVICE), "{times:?}");
    let loaded = groups.into_values().map(|engines| {
        let holders = engines.into_iter().map(|engine| {
            let held = engine.loaded.map(|(range, _)| range);
            LayerHolder { range: held, held, ..engine.holder }
        });
        holders.collect()
    });
    let (loaded, at_once) = (score(loaded), score(ENGINES.iter().map(laid_out_at_once)));
    assert!(loaded >= at_once * MIN_WORTH, "{loaded} against {at_once}");
}
