//! Tests of layouts: how they are scored, and what the greedy plan, the search and rebalancing make
//! of a group.

use proptest::prelude::*;
use switchfold_router::{
    fleet::LayerRange,
    instance::ReplicaInstance,
    placement::{
        LayerHolder, ModelShape, PlacementConfig, PlacementOrder, PlacementReason, improve_group,
        layout_score, plan_group, widest_gap,
    },
};

const MODEL: ModelShape = ModelShape { layers: 80, layer_mb: 1_750.0, request_mb: 0.0 };

/// Memory in MB and step factor of a replica's accelerator, and the layers that the replica holds.
type ReplicaLayers = ((f64, f64), Option<(u32, u32)>);

/// Time of a token step over all layers at a step factor of 1, in milliseconds.
const STEP_MS: f64 = 1.02;

/// Memory in MB and step factor of three kinds of accelerators.
const LARGE: (f64, f64) = (72_000.0, 2.4);
const SMALL: (f64, f64) = (14_400.0, 5.3);
const SLOW: (f64, f64) = (21_600.0, 16.0);

fn holder(id: usize, kind: (f64, f64), range: Option<(u32, u32)>) -> LayerHolder {
    let range = range.map(|(from, to)| LayerRange { from, to });
    LayerHolder {
        instance: ReplicaInstance::new(&format!("r{id:03}"), 0),
        memory_mb: kind.0,
        slots: 0,
        layer_ms: STEP_MS * kind.1 / f64::from(MODEL.layers),
        range,
        target: None,
        held: range,
        can_order: true,
    }
}

fn empty_group(large: usize, small: usize, slow: usize) -> Vec<LayerHolder> {
    let kinds = [(LARGE, large), (SMALL, small), (SLOW, slow)];
    let all = kinds.into_iter().flat_map(|(kind, count)| std::iter::repeat_n(kind, count));
    all.enumerate().map(|(id, kind)| holder(id, kind, None)).collect()
}

/// Returns the group after its planned orders were carried out.
fn planned(holders: &[LayerHolder]) -> Vec<LayerHolder> {
    apply(holders, plan_group(holders, MODEL, &PlacementConfig::default()))
}

/// Returns the group after a search improved its layout.
fn searched(holders: &[LayerHolder]) -> Vec<LayerHolder> {
    apply(holders, improve_group(holders, MODEL, &PlacementConfig::default()))
}

fn apply(holders: &[LayerHolder], orders: Vec<PlacementOrder>) -> Vec<LayerHolder> {
    let mut holders = holders.to_vec();
    for order in orders {
        let holder =
            holders.iter_mut().find(|holder| holder.instance == order.instance).expect("a holder");
        holder.range = Some(order.range);
        holder.held = holder.range;
    }
    holders
}

fn gap(holders: &[LayerHolder]) -> Option<LayerRange> {
    let mut counts = vec![0; MODEL.layers as usize];
    for range in holders.iter().filter_map(|holder| holder.range) {
        (range.from..range.to).for_each(|layer| counts[layer as usize] += 1);
    }
    widest_gap(&counts)
}

/// Returns the layout that a greedy plan made of two large, four small and four slow replicas under
/// low load. One replica held the first layers for all requests, and was full before the others
/// were half full.
fn greedy_layout() -> Vec<LayerHolder> {
    let parts = [
        (LARGE, 0, 28),
        (LARGE, 28, 56),
        (SMALL, 0, 5),
        (SMALL, 64, 69),
        (SMALL, 69, 74),
        (SMALL, 74, 79),
        (SLOW, 56, 64),
        (SLOW, 56, 64),
        (SLOW, 64, 72),
        (SLOW, 72, 80),
    ];
    let holders = parts.into_iter().enumerate();
    holders.map(|(id, (kind, from, to))| holder(id, kind, Some((from, to)))).collect()
}

#[test]
fn a_searched_layout_scores_higher_than_a_greedy_one() {
    let searched = searched(&planned(&empty_group(2, 4, 4)));
    assert_eq!(gap(&searched), None);
    let (greedy, searched) =
        (layout_score(&greedy_layout(), MODEL), layout_score(&searched, MODEL));
    assert!(searched > greedy * 1.05, "{searched} against {greedy}");
}

/// Pairs of layouts of two replicas, the better one first.
#[test]
fn layouts_score_by_speed_memory_and_redundancy() {
    let fast = (200_000.0, 1.0);
    let slow = (200_000.0, 4.0);
    let whole = Some((0, 80));
    let half = |id: usize| if id == 0 { Some((0, 40)) } else { Some((40, 80)) };
    let layouts = [
        (
            "faster replicas score higher",
            [(fast, half(0)), (fast, half(1))],
            [(slow, half(0)), (slow, half(1))],
        ),
        (
            "more memory scores higher",
            [(fast, half(0)), (fast, half(1))],
            [((160_000.0, 1.0), half(0)), ((160_000.0, 1.0), half(1))],
        ),
        ("redundancy scores higher", [(fast, whole), (slow, whole)], [(fast, whole), (slow, None)]),
        (
            "a layout with a gap scores nothing",
            [(fast, whole), (slow, None)],
            [(fast, half(0)), (slow, half(0))],
        ),
    ];
    for (case, better, worse) in layouts {
        let score = |parts: [ReplicaLayers; 2]| {
            let holders = parts.into_iter().enumerate();
            let holders: Vec<LayerHolder> =
                holders.map(|(id, (kind, range))| holder(id, kind, range)).collect();
            layout_score(&holders, MODEL)
        };
        assert!(score(better) > score(worse), "{case}: {} {}", score(better), score(worse));
    }
}

/// A replica that was extended far into a gap has little memory for requests. After its neighbour
/// is back, rebalancing gives the layers to replicas with more memory, and then settles.
#[test]
fn rebalancing_relieves_an_overextended_replica() {
    let mut holders = searched(&planned(&empty_group(1, 6, 6)));
    let extended = holders.iter().position(|holder| holder.memory_mb == SLOW.0).expect("a holder");
    let range = holders[extended].range.expect("the replica holds layers");
    let from = range.from.saturating_sub(11 - range.len());
    holders[extended].range = Some(LayerRange { from, to: from + 11 });
    holders[extended].held = holders[extended].range;
    let before = layout_score(&holders, MODEL);
    for _ in 0..10 {
        holders = planned(&holders);
    }
    assert!(layout_score(&holders, MODEL) >= before);
    assert_eq!(plan_group(&holders, MODEL, &PlacementConfig::default()), []);
}

/// An accelerator with less memory than one layer takes gets no layers, neither planned nor
/// searched.
#[test]
fn an_accelerator_too_small_for_a_layer_gets_none() {
    let mut group = empty_group(2, 4, 4);
    group.push(holder(90, (1_700.0, 1.0), None));
    let layout = searched(&planned(&group));
    assert_eq!(layout.last().and_then(|holder| holder.range), None);
    assert_eq!(gap(&layout), None);
    assert_eq!(plan_group(&group[10..], MODEL, &PlacementConfig::default()), []);
}

/// A group of 180 replicas is covered without a gap.
#[test]
fn a_large_group_is_covered() {
    let layout = searched(&planned(&empty_group(20, 90, 70)));
    assert_eq!(gap(&layout), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Any group that can hold the model is covered by its first layout, within its memory. The
    /// same group always gets the same layout. Rebalancing never opens a gap, raises the score each
    /// time and comes to an end.
    #[test]
    fn first_layouts_cover_the_model_and_settle(
        large in 1usize..4,
        small in 0usize..8,
        slow in 2usize..8,
    ) {
        let group = empty_group(large, small, slow);
        let held: f64 =
            group.iter().map(|holder| (holder.memory_mb * 0.6 / MODEL.layer_mb).floor()).sum();
        prop_assume!(held >= 80.0);
        let greedy = planned(&group);
        prop_assert_eq!(gap(&greedy), None);
        let mut holders = searched(&greedy);
        prop_assert_eq!(&holders, &searched(&greedy));
        prop_assert!(layout_score(&holders, MODEL) >= layout_score(&greedy, MODEL));
        prop_assert_eq!(gap(&holders), None);
        for _ in 0..30 {
            let orders = plan_group(&holders, MODEL, &PlacementConfig::default());
            prop_assert!(orders.iter().all(|order| order.reason == PlacementReason::Balance));
            if orders.is_empty() {
                return Ok(());
            }
            let before = layout_score(&holders, MODEL);
            holders = planned(&holders);
            prop_assert!(layout_score(&holders, MODEL) > before);
            prop_assert_eq!(gap(&holders), None);
            for holder in &holders {
                let len = holder.range.map_or(0, |range| range.len());
                prop_assert!(f64::from(len) * MODEL.layer_mb <= holder.memory_mb);
            }
        }
        prop_assert!(false, "rebalancing does not settle in 30 rounds");
    }
}

/// Returns the layout of a group of three kinds of accelerators, with 192 slots at each replica.
fn laid_out_with_slots(request_mb: f64) -> Vec<LayerHolder> {
    let kinds = [(72_000.0, 2.4), (43_200.0, 5.6), (21_600.0, 16.0)];
    let counts = [3, 4, 9];
    let model = ModelShape { request_mb, ..MODEL };
    let of_kind = kinds.iter().zip(counts).flat_map(|(kind, count)| vec![*kind; count]);
    let mut holders: Vec<LayerHolder> =
        of_kind.enumerate().map(|(id, kind)| holder(id, kind, None)).collect();
    holders.iter_mut().for_each(|holder| holder.slots = 192);
    let config = PlacementConfig::default();
    let holders = apply(&holders, plan_group(&holders, model, &config));
    apply(&holders, improve_group(&holders, model, &config))
}

/// Guards against layouts with too few slots at the first layer. Under 240 requests a second that
/// run for three seconds, over three such data centres, layouts that were scored by memory alone
/// had two replicas with the first layer.
#[test]
fn first_layers_have_slots_for_the_running_requests() {
    let first_slots = |holders: &[LayerHolder]| -> u32 {
        let first =
            holders.iter().filter(|holder| holder.range.is_some_and(|range| range.from == 0));
        first.map(|holder| holder.slots).sum()
    };
    let [by_memory, by_slots] = [0.0, 4.7].map(laid_out_with_slots);
    assert_eq!((first_slots(&by_memory), first_slots(&by_slots)), (384, 576));
    let model = ModelShape { request_mb: 4.7, ..MODEL };
    let scores = [&by_memory, &by_slots].map(|holders| layout_score(holders, model));
    assert!(scores[1] > 1.05 * scores[0], "{scores:?}");
}
