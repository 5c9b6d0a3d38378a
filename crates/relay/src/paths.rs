//! Chooses paths over engines by what the relay knows of the replicas.

pub mod missing;

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    fleet::{LayerRange, ReplicaEntry},
    grants::GrantWaiter,
    groups::{group_count, group_of},
    instance::ReplicaInstance,
    pass_load::{ESTIMATE_MAX_AGE, LoadRule, StageLoad, running_requests, stage_load},
    path::{
        FULL_START_COST, PathCosts, PathRequest, PathStage, StageOffer, choose_path, start_cost,
    },
    reservations::SumScope,
    routing::EngineSpec,
};
use tokio::time::{Instant, sleep};

use crate::{
    limits::{GrantWait, request_grant},
    notices::min_send_wait,
    state::{Relay, RelayState},
};

/// What a path must satisfy.
#[derive(Clone, Debug)]
pub struct PathCriteria<'a> {
    /// Service whose engines may be used.
    pub service: &'a str,
    /// Model that the service runs.
    pub engine: &'a EngineSpec,
    /// Estimated number of tokens that the request may hold, those of its prompt and completion.
    pub tokens: f64,
    /// Rank of the request. If replicas accept few requests, waiting requests of a lower rank,
    /// which are more urgent, go first.
    pub rank: u8,
    /// Replicas that must not be used.
    pub excluded: &'a [ReplicaInstance],
    /// How far a path may exceed the memory of its replicas.
    pub overcommit: OvercommitRule,
    /// First stage to keep; set when the path of a running request is changed.
    pub first: Option<(&'a ReplicaInstance, LayerRange)>,
    /// Whether the present load of the engines counts.
    pub load_aware: bool,
}

/// Weight of the memory term in the cost of a layer, in milliseconds of a token step; one more hop
/// costs 0.5. The term is half the weight at a half-full replica. Engines run out of memory long
/// before they run out of compute.
const MEMORY_COST: f64 = 0.5;

/// Fraction of a replica's memory up to which paths are planned. The rest absorbs what other relays
/// reserve meanwhile, and completions that are longer than expected.
const PLANNED_FILL: f64 = 0.95;

/// Whether each replica of a path must have memory for the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryRule {
    /// Each must.
    Required,
    /// Each should; an engine that is short of memory rejects the request, or makes its newest
    /// requests wait.
    Preferred,
}

/// How far a path that is short of memory may exceed the memory of its replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OvercommitRule {
    /// Without a limit.
    Unlimited,
    /// Up to 1.2 of its memory, and not at a replica that just rejected a request of a path.
    Limited,
}

/// Fraction of a replica's memory up to which requests are sent where none has memory left. A
/// reservation covers the longest completion, so that 1.2 of them use 0.98 of the memory; engines
/// reject what exceeds it.
const MAX_OVERCOMMIT: f64 = 1.2;

/// Whether a path may cross from one data centre to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrossingRule {
    /// It may not: its activations would share a slow link with those of all other crossing
    /// requests.
    Never,
    /// It may, if no data centre has a complete path.
    Allowed,
}

/// Replicas among which a path is chosen.
#[derive(Clone, Debug)]
enum PathScope {
    /// All replicas of the service.
    All,
    /// Those of two planning groups of the relay's own data centre.
    Groups {
        /// Number of groups in the data centre.
        count: u32,
        /// Numbers of the two groups; they may be equal.
        drawn: [u32; 2],
        /// Group of another data centre with which their load is compared.
        other: Option<OtherGroup>,
    },
}

/// A planning group of another data centre.
#[derive(Clone, Debug)]
struct OtherGroup {
    data_centre: String,
    /// Number of groups in the data centre.
    count: u32,
    /// Number of the group.
    drawn: u32,
}

/// Chooses the cheapest path.
///
/// In a data centre with many replicas, the path is chosen among those of two randomly drawn
/// planning groups, each of which covers the model, because choosing among thousands takes too much
/// processor time of a small VM. If the drawn groups leave a gap, all replicas are considered; if
/// they are only short of memory, `None` is returned and the next call draws other groups. If the
/// load of the engines counts, one group of another data centre is compared with them, and the path
/// may start there.
pub fn find_path(
    relay: &Relay,
    criteria: &PathCriteria<'_>,
    rule: MemoryRule,
    crossing: CrossingRule,
) -> Option<Vec<PathStage>> {
    let scope = draw_scope(relay, criteria);
    if let PathScope::Groups { .. } = scope {
        let path = find_within(relay, criteria, &scope, rule, crossing);
        let lacks_memory = path.is_none()
            && rule == MemoryRule::Required
            && find_within(relay, criteria, &scope, MemoryRule::Preferred, crossing).is_some();
        if path.is_some() || lacks_memory {
            return path;
        }
    }
    find_within(relay, criteria, &PathScope::All, rule, crossing)
}

fn draw_scope(relay: &Relay, criteria: &PathCriteria<'_>) -> PathScope {
    let local = relay.settings.data_centre.as_str();
    let state = relay.state.borrow();
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in state.fleet.view.of_service(criteria.service) {
        *sizes.entry(&replica.data_centre).or_default() += 1;
    }
    let count = group_count(sizes.remove(local).unwrap_or(0));
    if count == 1 {
        return PathScope::All;
    }
    let mut random = relay.random.borrow_mut();
    let drawn = [random.random_range(0..count), random.random_range(0..count)];
    let compares = is_load_aware(criteria) && criteria.first.is_none() && !sizes.is_empty();
    let other = compares.then(|| {
        let number = random.random_range(0..sizes.len());
        let (name, size) = sizes.iter().nth(number).expect("the number is in range");
        let count = group_count(*size);
        let drawn = random.random_range(0..count);
        OtherGroup { data_centre: (*name).to_owned(), count, drawn }
    });
    PathScope::Groups { count, drawn, other }
}

/// Returns whether the present load of the engines counts. It does not if the operator has not
/// configured the times by which requests lengthen a pass.
fn is_load_aware(criteria: &PathCriteria<'_>) -> bool {
    criteria.load_aware && criteria.engine.has_pass_load()
}

impl PathScope {
    fn contains(&self, replica: &ReplicaEntry, local_data_centre: &str) -> bool {
        let (count, drawn, other) = match self {
            Self::All => return true,
            Self::Groups { count, drawn, other } => (*count, drawn, other),
        };
        if replica.data_centre == local_data_centre {
            return drawn.contains(&group_of(&replica.instance, count));
        }
        other.as_ref().is_some_and(|other| {
            replica.data_centre == other.data_centre
                && group_of(&replica.instance, other.count) == other.drawn
        })
    }
}

fn find_within(
    relay: &Relay,
    criteria: &PathCriteria<'_>,
    scope: &PathScope,
    rule: MemoryRule,
    crossing: CrossingRule,
) -> Option<Vec<PathStage>> {
    let state = relay.state.borrow();
    let mut numbers = DataCentreNumbers::default();
    let local_name = &relay.settings.data_centre;
    let local = numbers.number(local_name);
    let in_scope = |replica: &ReplicaEntry| scope.contains(replica, local_name);
    let mut offers = collect_offers(&state, criteria, in_scope, &mut numbers);
    let is_sample = matches!(scope, PathScope::Groups { .. });
    let is_load_aware = is_load_aware(criteria);
    let distances = match is_load_aware {
        true => known_distances(&state, criteria.engine, local_name, &numbers),
        false => Vec::new(),
    };
    let draw = relay.random.borrow_mut().random();
    let request = PathRequest {
        layers: criteria.engine.layers,
        tokens: criteria.tokens,
        local_data_centre: local,
        data_centres: numbers.count(),
        // The replicas of other data centres in the sample are not there to be crossed to.
        may_cross: crossing == CrossingRule::Allowed && !is_sample,
        first: criteria.first,
        load: is_load_aware.then_some(LoadRule {
            distances: &distances,
            draw,
            keeps_local: is_sample && criteria.first.is_none(),
        }),
    };
    let costs = PathCosts::default();
    let path = choose_path(&request, &offers, &costs);
    if path.is_some() || rule == MemoryRule::Required {
        return path;
    }
    let now = now_millis();
    for offer in &mut offers {
        let is_limited = criteria.overcommit == OvercommitRule::Limited;
        if !is_limited {
            offer.free_token_layers = f64::INFINITY;
        } else if offer.free_token_layers.is_finite() {
            offer.free_token_layers = overcommitted_memory(&state, criteria, &offer.instance, now);
        }
        let is_full = is_limited && state.full_replicas.is_full(&offer.instance, now);
        let full = (!offer.is_throttled && !is_full).then_some(FULL_START_COST);
        offer.start_cost = offer.start_cost.or(full);
    }
    choose_path(&request, &offers, &costs)
}

/// Returns the memory of a replica up to [`MAX_OVERCOMMIT`] that is not reserved, in tokens times
/// layers; 0 if it just rejected a request, and without a limit if the size of its memory is not
/// known or, by the configuration, its layers leave none of it.
fn overcommitted_memory(
    state: &RelayState,
    criteria: &PathCriteria<'_>,
    instance: &ReplicaInstance,
    now: Millis,
) -> f64 {
    let Some(replica) = state.fleet.view.get_current(instance) else { return 0.0 };
    let Some(held) = replica.layers else { return 0.0 };
    if state.full_stages.is_full(instance, now) {
        return 0.0;
    }
    let Some(kind) = criteria.engine.kind(&replica.kind) else { return f64::INFINITY };
    let total = criteria.engine.free_token_layers(kind.memory_mb, held.len());
    // The replica runs these layers, so that the configured sizes cannot be right.
    if total <= 0.0 {
        return f64::INFINITY;
    }
    (total * MAX_OVERCOMMIT - state.memory_reservations.reserved(instance)).max(0.0)
}

/// Interval between two attempts to find a path with enough memory.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Waits up to `max_wait` for a path with enough memory within one data centre, and then returns
/// one that is short of memory. If there is no path at all within a data centre, waits only for a
/// throttled replica that accepts requests again in time. Otherwise returns a path that crosses
/// data centres at once, provided that this relay's share of the link has capacity for it.
pub async fn wait_for_path(
    relay: &Rc<Relay>,
    criteria: &PathCriteria<'_>,
    max_wait: Duration,
) -> Option<Vec<PathStage>> {
    let deadline = Instant::now() + max_wait;
    let mut grant_wait = None;
    loop {
        if let Some(path) = find_path(relay, criteria, MemoryRule::Required, CrossingRule::Never) {
            record_missed_grant(relay, criteria, &path);
            return Some(path);
        }
        let crowded = find_path(relay, criteria, MemoryRule::Preferred, CrossingRule::Never);
        if crowded.is_none() {
            let wait = throttle_remaining(relay, criteria);
            let Some(wait) = wait.filter(|wait| Instant::now() + *wait <= deadline) else {
                return find_crossing_path(relay, criteria);
            };
            let until = now_millis() + (deadline - Instant::now()).as_millis() as Millis;
            grant_wait = grant_wait.or_else(|| begin_grant_wait(relay, criteria, until));
            sleep(POLL_INTERVAL.min(wait)).await;
            continue;
        }
        if Instant::now() >= deadline {
            crowded.iter().for_each(|path| {
                log_crowded(relay, criteria, path);
                record_missed_grant(relay, criteria, path);
            });
            return crowded;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Starts to wait until `until` for a grant of a replica at which a path could start. Returns
/// `None` if no rate limit delays the request.
fn begin_grant_wait(
    relay: &Rc<Relay>,
    criteria: &PathCriteria<'_>,
    until: Millis,
) -> Option<GrantWait> {
    let can_start = |replica: &ReplicaEntry| is_start_candidate(replica, criteria);
    let waiter = GrantWaiter { rank: criteria.rank, deadline: until };
    GrantWait::begin(relay, criteria.service, waiter, can_start)
}

/// Starts to wait for a grant if all replicas at which a path could start are throttled, and one of
/// them accepts requests again by `until`.
pub fn wait_for_grant(
    relay: &Rc<Relay>,
    criteria: &PathCriteria<'_>,
    until: Millis,
) -> Option<GrantWait> {
    is_throttled_until(relay, criteria, until)
        .then(|| begin_grant_wait(relay, criteria, until))
        .flatten()
}

fn is_throttled_until(relay: &Relay, criteria: &PathCriteria<'_>, until: Millis) -> bool {
    let remaining = throttle_remaining(relay, criteria);
    remaining.is_some_and(|wait| now_millis() + wait.as_millis() as Millis <= until)
}

/// Returns whether no data centre has a complete path, whatever memory its replicas have, and none
/// will have one by `until` that is only throttled now. Paths that are full do not count as
/// missing: under overload, all requests would cross the slow links.
pub fn lacks_complete_path(relay: &Relay, criteria: &PathCriteria<'_>, until: Millis) -> bool {
    let unlimited = PathCriteria { overcommit: OvercommitRule::Unlimited, ..criteria.clone() };
    !is_throttled_until(relay, criteria, until)
        && find_path(relay, &unlimited, MemoryRule::Preferred, CrossingRule::Never).is_none()
}

/// Records that the request found no grant at a replica with a rate limit where it could have
/// started, so that the relay requests grants there. If the path starts in the relay's own data
/// centre, only replicas in that data centre count.
pub fn record_missed_grant(relay: &Rc<Relay>, criteria: &PathCriteria<'_>, path: &[PathStage]) {
    let local = &relay.settings.data_centre;
    let starts_locally = {
        let state = relay.state.borrow();
        if state.limits.is_empty() {
            return;
        }
        state
            .fleet
            .view
            .get_current(&path[0].instance)
            .is_some_and(|first| first.data_centre == *local)
    };
    let can_start = |replica: &ReplicaEntry| {
        is_start_candidate(replica, criteria) && (!starts_locally || replica.data_centre == *local)
    };
    request_grant(relay, criteria.service, criteria.rank, can_start);
}

fn is_start_candidate(replica: &ReplicaEntry, criteria: &PathCriteria<'_>) -> bool {
    can_start_path(replica) && !criteria.excluded.contains(&replica.instance)
}

/// Returns whether a replica holds the first layer, so that a path may start there.
pub fn can_start_path(replica: &ReplicaEntry) -> bool {
    replica.layers.is_some_and(|range| range.from == 0)
}

/// Returns the time until the first replica at which a path could start accepts requests again;
/// `None` if one accepts them now, or if there is no such replica.
fn throttle_remaining(relay: &Relay, criteria: &PathCriteria<'_>) -> Option<Duration> {
    let can_start = |replica: &ReplicaEntry| is_start_candidate(replica, criteria);
    let remaining =
        min_send_wait(&relay.state.borrow(), criteria.service, criteria.rank, can_start)?;
    Some(Duration::from_millis(remaining))
}

/// Logs which replica of a path has the least free memory.
fn log_crowded(relay: &Relay, criteria: &PathCriteria<'_>, path: &[PathStage]) {
    if let Some((fill, replica)) = fullest_replica(&relay.state.borrow(), criteria.engine, path) {
        tracing::info!(event = "path-crowded", %replica, fill, tokens = criteria.tokens);
    }
}

/// Returns the replica of a path that has the largest share of its memory reserved, and that share.
/// Returns `None` if the size of no replica's memory is known.
pub fn fullest_replica<'a>(
    state: &RelayState,
    engine: &EngineSpec,
    path: &'a [PathStage],
) -> Option<(f64, &'a ReplicaInstance)> {
    let fill = |stage: &'a PathStage| {
        let replica = state.fleet.view.get_current(&stage.instance)?;
        let memory = engine.kind(&replica.kind)?.memory_mb;
        let total = engine.free_token_layers(memory, replica.layers?.len());
        let reserved = state.memory_reservations.reserved(&stage.instance);
        Some((reserved / total.max(1.0), &stage.instance))
    };
    path.iter().filter_map(fill).max_by(|left, right| left.0.total_cmp(&right.0))
}

/// Finds a path over several data centres, and reserves the link between them for its activations.
/// Returns `None` if there is no such path, or this relay's share of the link is used up.
pub fn find_crossing_path(relay: &Relay, criteria: &PathCriteria<'_>) -> Option<Vec<PathStage>> {
    let path = find_path(relay, criteria, MemoryRule::Preferred, CrossingRule::Allowed)?;
    let crossings = count_crossings(relay, &path);
    let link_ms = criteria.engine.transfer_ms(criteria.tokens) * f64::from(crossings);
    let now = now_millis();
    let mut state = relay.state.borrow_mut();
    let relays = state.peers.known_count() + 1;
    let is_reserved = state.bandwidth.try_reserve(link_ms, relays, now);
    if !is_reserved {
        tracing::info!(
            event = "pipe-full",
            service = criteria.service,
            crossings,
            pipe_time = link_ms,
            entries = relays
        );
    }
    is_reserved.then_some(path)
}

/// Counts how often a path crosses from one data centre to another.
fn count_crossings(relay: &Relay, path: &[PathStage]) -> u32 {
    let state = relay.state.borrow();
    let data_centre = |stage: &PathStage| {
        state.fleet.view.get_current(&stage.instance).map(|replica| &replica.data_centre)
    };
    let crossings = path.windows(2).filter(|pair| data_centre(&pair[0]) != data_centre(&pair[1]));
    crossings.count() as u32
}

/// Numbers data centres in the order in which they are first seen.
#[derive(Default)]
struct DataCentreNumbers {
    numbers: HashMap<String, usize>,
}

impl DataCentreNumbers {
    fn number(&mut self, name: &str) -> usize {
        let next = self.numbers.len();
        *self.numbers.entry(name.to_owned()).or_insert(next)
    }

    fn count(&self) -> usize {
        self.numbers.len()
    }
}

fn collect_offers(
    state: &RelayState,
    criteria: &PathCriteria<'_>,
    in_scope: impl Fn(&ReplicaEntry) -> bool,
    numbers: &mut DataCentreNumbers,
) -> Vec<StageOffer> {
    let now = now_millis();
    let usable = |replica: &&ReplicaEntry| {
        in_scope(replica)
            && replica.is_ready()
            && !state.suspects.is_suspect(&replica.instance, now)
            && !criteria.excluded.contains(&replica.instance)
    };
    let replicas = state.fleet.view.of_service(criteria.service).filter(usable);
    let mut offers: Vec<StageOffer> = kept_stage(state, criteria, numbers).into_iter().collect();
    for replica in replicas {
        let held = replica.layers.filter(|range| range.fits(criteria.engine.layers));
        let Some(range) = held else { continue };
        let kind = criteria.engine.kind(&replica.kind);
        let (total, reserved) = memory_at(state, criteria.engine, replica, range, now);
        let running_memory = state.memory_reservations.reserved(&replica.instance);
        let running = running_requests(criteria.engine, running_memory, range.len());
        let slowdown = state.slowdowns.factor(&replica.instance, now);
        let step_factor = kind.map_or(1.0, |kind| kind.step_factor) * slowdown;
        let layer_cost = layer_cost(criteria.engine, step_factor, reserved, total);
        let data_centre = numbers.number(&replica.data_centre);
        let is_throttled = state.send_wait(&replica.instance, criteria.rank, now).is_some();
        let is_full = criteria.overcommit == OvercommitRule::Limited
            && state.full_stages.is_full(&replica.instance, now);
        offers.push(StageOffer {
            instance: replica.instance.clone(),
            address: replica.address,
            data_centre,
            range,
            layer_cost,
            free_token_layers: match is_full {
                true => 0.0,
                false => (total * PLANNED_FILL - reserved).max(0.0),
            },
            start_cost: if is_throttled { None } else { replica_start_cost(state, replica, now) },
            is_throttled,
            load: stage_load(criteria.engine, kind, slowdown, running),
        });
    }
    offers
}

/// Returns the memory of a replica for requests and the reserved part of it, in tokens times
/// layers.
fn memory_at(
    state: &RelayState,
    engine: &EngineSpec,
    replica: &ReplicaEntry,
    held: LayerRange,
    now: Millis,
) -> (f64, f64) {
    let kind = engine.kind(&replica.kind);
    let total = kind.map_or(0.0, |kind| engine.free_token_layers(kind.memory_mb, held.len()));
    // A replica that was short of memory recently counts as full.
    let reserved = match state.short_of_memory.is_suspect(&replica.instance, now) {
        true => total,
        false => state.memory_reservations.reserved(&replica.instance),
    };
    (total, reserved)
}

/// Returns the number of further requests, each of this many tokens times layers, for which a
/// replica has memory.
pub fn request_capacity(
    state: &RelayState,
    engine: &EngineSpec,
    instance: &ReplicaInstance,
    token_layers: f64,
) -> f64 {
    let Some(replica) = state.fleet.view.get_current(instance) else { return 0.0 };
    let Some(held) = replica.layers else { return 0.0 };
    let (total, reserved) = memory_at(state, engine, replica, held, now_millis());
    (total * PLANNED_FILL - reserved).max(0.0) / token_layers.max(1.0)
}

/// Returns the delay to each data centre in milliseconds, by number; `None` if the reservations of
/// its relays are not known or too old.
fn known_distances(
    state: &RelayState,
    engine: &EngineSpec,
    local: &str,
    numbers: &DataCentreNumbers,
) -> Vec<Option<f64>> {
    let now = now_millis();
    let mut distances = vec![None; numbers.count()];
    for (name, number) in &numbers.numbers {
        let is_known = name == local || knows_reservations(state, name, now);
        distances[*number] = is_known.then(|| engine.delay_ms(local, name));
    }
    distances
}

/// Returns whether this relay knows what the relays of another data centre reserved recently. A
/// member receives the sum over all data centres but its own from its speakers.
fn knows_reservations(state: &RelayState, data_centre: &str, now: Millis) -> bool {
    let ledger = &state.memory_reservations;
    let received = match state.peers.is_member() {
        true => Some(ledger.sum_received(SumScope::OtherDataCentres)),
        false => ledger.oldest_report(|peer| state.peers.is_in(peer, data_centre)),
    };
    received.is_some_and(|at| now.saturating_sub(at) < ESTIMATE_MAX_AGE)
}

/// Cost of starting at a stalled replica, which accepts requests but begins no response: more than
/// starting anywhere else, but less than waiting for memory.
const STALLED_COST: f64 = 60.0;

/// Returns the cost of starting at a replica; `None` if it has no free slot.
fn replica_start_cost(state: &RelayState, replica: &ReplicaEntry, now: Millis) -> Option<f64> {
    if state.full_replicas.is_full(&replica.instance, now) {
        return None;
    }
    let cost = start_cost(state.slot_reservations.reserved(&replica.instance), replica.slots)?;
    Some(cost + stalled_cost(state, &replica.instance, now))
}

fn stalled_cost(state: &RelayState, instance: &ReplicaInstance, now: Millis) -> f64 {
    match state.stalls.is_stalled(instance, now) {
        true => STALLED_COST,
        false => 0.0,
    }
}

/// Returns the offer for the first stage of a running request, which its replica continues to run
/// whatever layers it is to hold later.
fn kept_stage(
    state: &RelayState,
    criteria: &PathCriteria<'_>,
    numbers: &mut DataCentreNumbers,
) -> Option<StageOffer> {
    let (instance, range) = criteria.first?;
    let replica = state.fleet.view.get_current(instance)?;
    Some(StageOffer {
        instance: instance.clone(),
        address: replica.address,
        data_centre: numbers.number(&replica.data_centre),
        range,
        layer_cost: 0.0,
        free_token_layers: f64::INFINITY,
        start_cost: Some(0.0),
        is_throttled: false,
        load: StageLoad::default(),
    })
}

/// Returns the cost of one layer: its time in a token step, and a term that grows steeply as memory
/// fills up.
fn layer_cost(engine: &EngineSpec, step_factor: f64, reserved: f64, total: f64) -> f64 {
    const MAX_FILL: f64 = 0.98;
    let step = engine.step_ms * step_factor / f64::from(engine.layers.max(1));
    let fill = (reserved / total.max(1.0)).min(MAX_FILL);
    step + MEMORY_COST * fill * fill / (1.0 - fill)
}

/// Memory reserved at each replica of a path, and a slot at the first; released when dropped.
#[derive(Debug)]
pub struct PathReservation {
    relay: Rc<Relay>,
    stages: Vec<(ReplicaInstance, f64)>,
    first: Option<ReplicaInstance>,
}

impl PathReservation {
    /// Reserves memory for `tokens` along a path.
    pub fn new(relay: &Rc<Relay>, path: &[PathStage], tokens: f64) -> Self {
        let amount = |stage: &PathStage| tokens * f64::from(stage.range.len());
        let stages: Vec<(ReplicaInstance, f64)> =
            path.iter().map(|stage| (stage.instance.clone(), amount(stage))).collect();
        let mut state = relay.state.borrow_mut();
        stages
            .iter()
            .for_each(|(instance, amount)| state.memory_reservations.reserve(instance, *amount));
        let first = path.first().map(|stage| stage.instance.clone());
        first.iter().for_each(|instance| state.slot_reservations.reserve(instance, 1.0));
        Self { relay: relay.clone(), stages, first }
    }
}

impl Drop for PathReservation {
    fn drop(&mut self) {
        let mut state = self.relay.state.borrow_mut();
        self.stages
            .iter()
            .for_each(|(instance, amount)| state.memory_reservations.release(instance, *amount));
        self.first.iter().for_each(|instance| state.slot_reservations.release(instance, 1.0));
        self.relay.notify_capacity();
    }
}
