//! Paths over engines, by what the relay knows.

use std::{collections::HashMap, rc::Rc, time::Duration};

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    fleet::{LayerRange, ReplicaEntry},
    grants::GrantWaiter,
    groups::{group_count, group_of},
    instance::ReplicaInstance,
    path::{
        FULL_START_COST, PathCosts, PathRequest, PathStage, StageOffer, choose_path, start_cost,
    },
    routing::EngineSpec,
};

use tokio::time::{Instant, sleep};

use crate::{
    limits::{GrantWait, request_grant},
    notices::min_send_wait,
    state::{Relay, RelayState},
};

/// What a path is wanted for.
#[derive(Clone, Debug)]
pub struct PathCriteria<'a> {
    /// Service whose engines may be used.
    pub service: &'a str,
    /// The model.
    pub engine: &'a EngineSpec,
    /// Tokens that the request may hold.
    pub tokens: f64,
    /// Rank of the request; more urgent ones that wait go first where replicas take few.
    pub rank: u8,
    /// Replicas not to use.
    pub avoid: &'a [ReplicaInstance],
    /// First part to keep, for a request that runs.
    pub first: Option<(&'a ReplicaInstance, LayerRange)>,
}

/// Cost of a layer at a replica that is half full, against one more hop at 0.5: memory binds long before speed.
const ROOM_COST: f64 = 0.5;

/// Part of a replica's room that paths are planned to fill; the rest absorbs what other relays promised
/// meanwhile and answers longer than expected.
const PLANNED_FILL: f64 = 0.95;

/// Whether a path must have room for the request at each of its replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryRule {
    /// It must.
    Needed,
    /// It should: an engine that is short of memory refuses, or makes its newest requests wait.
    Wanted,
}

/// Whether a path may pass from one data centre to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrossingRule {
    /// It may not: its activations would share a slow pipe with those of all others.
    Never,
    /// It may, where no data centre has a whole path.
    Allowed,
}

/// Replicas that a choice looks at.
#[derive(Clone, Copy, Debug)]
enum PathScope {
    /// All of the service.
    Whole,
    /// Those of two groups of the relay's own data centre, out of so many.
    Groups {
        /// Count of groups in the data centre.
        count: u32,
        /// The two; they may be one.
        drawn: [u32; 2],
    },
}

/// Chooses a path.
///
/// In a data centre of many replicas the choice is among those of two groups that are drawn for it, each of which
/// covers the model: a choice among thousands takes too much of a small VM. Where the
/// drawn groups leave a gap, all replicas are looked at; where they are only short of room, the next choice draws
/// others.
pub fn find_path(
    relay: &Relay,
    wish: &PathCriteria<'_>,
    rule: MemoryRule,
    crossing: CrossingRule,
) -> Option<Vec<PathStage>> {
    let scope = draw_scope(relay, wish.service);
    if let PathScope::Groups { .. } = scope {
        let path = find_within(relay, wish, scope, rule, crossing);
        let is_crowded = path.is_none()
            && rule == MemoryRule::Needed
            && find_within(relay, wish, scope, MemoryRule::Wanted, crossing).is_some();
        if path.is_some() || is_crowded {
            return path;
        }
    }
    find_within(relay, wish, PathScope::Whole, rule, crossing)
}

fn draw_scope(relay: &Relay, service: &str) -> PathScope {
    let home = &relay.settings.data_centre;
    let near = {
        let state = relay.state.borrow();
        let replicas = state.fleet.view.of_service(service);
        replicas.filter(|replica| replica.data_centre == *home).count()
    };
    match group_count(near) {
        1 => PathScope::Whole,
        count => {
            let mut random = relay.random.borrow_mut();
            let drawn = [random.random_range(0..count), random.random_range(0..count)];
            PathScope::Groups { count, drawn }
        }
    }
}

impl PathScope {
    fn holds(self, replica: &ReplicaEntry, home: &str) -> bool {
        match self {
            Self::Whole => true,
            Self::Groups { count, drawn } => {
                replica.data_centre == home && drawn.contains(&group_of(&replica.instance, count))
            }
        }
    }
}

fn find_within(
    relay: &Relay,
    wish: &PathCriteria<'_>,
    scope: PathScope,
    rule: MemoryRule,
    crossing: CrossingRule,
) -> Option<Vec<PathStage>> {
    let state = relay.state.borrow();
    let mut data_centres = DataCentres::default();
    let home_name = &relay.settings.data_centre;
    let home = data_centres.number(home_name);
    let in_scope = |replica: &ReplicaEntry| scope.holds(replica, home_name);
    let mut offers = offers(&state, wish, in_scope, &mut data_centres);
    let request = PathRequest {
        layers: wish.engine.layers,
        tokens: wish.tokens,
        local_data_centre: home,
        data_centres: data_centres.count(),
        may_cross: crossing == CrossingRule::Allowed,
        first: wish.first,
    };
    let costs = PathCosts::default();
    let path = choose_path(&request, &offers, &costs);
    if path.is_some() || rule == MemoryRule::Needed {
        return path;
    }
    for offer in &mut offers {
        offer.free_token_layers = f64::INFINITY;
        let full = (!offer.is_throttled).then_some(FULL_START_COST);
        offer.start_cost = offer.start_cost.or(full);
    }
    choose_path(&request, &offers, &costs)
}

/// Time between two looks for a path with room.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Waits for a path with room in one data centre, for `patience` at most, and then takes one without.
/// Where no data centre has a whole path, one that crosses is taken at once, if the pipe has room.
pub async fn wait_for_path(
    relay: &Rc<Relay>,
    wish: &PathCriteria<'_>,
    patience: Duration,
) -> Option<Vec<PathStage>> {
    let end = Instant::now() + patience;
    let mut grant_wait = None;
    loop {
        if let Some(path) = find_path(relay, wish, MemoryRule::Needed, CrossingRule::Never) {
            note_missed(relay, wish, &path);
            return Some(path);
        }
        let crowded = find_path(relay, wish, MemoryRule::Wanted, CrossingRule::Never);
        if crowded.is_none() {
            let left = soonest_beginning(relay, wish);
            let Some(left) = left.filter(|left| Instant::now() + *left <= end) else {
                return crossing_path(relay, wish);
            };
            let begins = |replica: &ReplicaEntry| begins_for(replica, wish);
            let until = now_millis() + (end - Instant::now()).as_millis() as Millis;
            let need = GrantWaiter { rank: wish.rank, deadline: until };
            let begin = || GrantWait::begin(relay, wish.service, need, begins);
            grant_wait = grant_wait.or_else(begin);
            sleep(LOOK_EVERY.min(left)).await;
            continue;
        }
        if Instant::now() >= end {
            crowded.iter().for_each(|path| {
                log_crowded(relay, wish, path);
                note_missed(relay, wish, path);
            });
            return crowded;
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Notes a replica with a limit at which a request would have begun, where it found no grant: one of its own data centre, or
/// any where it begins elsewhere all the same.
fn note_missed(relay: &Rc<Relay>, wish: &PathCriteria<'_>, path: &[PathStage]) {
    let home = &relay.settings.data_centre;
    let begins_at_home = {
        let state = relay.state.borrow();
        if state.limits.is_empty() {
            return;
        }
        state
            .fleet
            .view
            .get_current(&path[0].instance)
            .is_some_and(|first| first.data_centre == *home)
    };
    let begins = |replica: &ReplicaEntry| {
        begins_for(replica, wish) && (!begins_at_home || replica.data_centre == *home)
    };
    request_grant(relay, wish.service, wish.rank, begins);
}

fn begins_for(replica: &ReplicaEntry, wish: &PathCriteria<'_>) -> bool {
    can_start_path(replica) && !wish.avoid.contains(&replica.instance)
}

/// Whether a path may begin at a replica, as far as its layers tell.
pub fn can_start_path(replica: &ReplicaEntry) -> bool {
    replica.layers.is_some_and(|range| range.from == 0)
}

/// Time until the first replica at which a path could begin takes requests again; nothing where one does now.
fn soonest_beginning(relay: &Relay, wish: &PathCriteria<'_>) -> Option<Duration> {
    let begins = |replica: &ReplicaEntry| begins_for(replica, wish);
    let left = min_send_wait(&relay.state.borrow(), wish.service, wish.rank, begins)?;
    Some(Duration::from_millis(left))
}

/// Tells which replica of a path has least room.
fn log_crowded(relay: &Relay, wish: &PathCriteria<'_>, path: &[PathStage]) {
    let state = relay.state.borrow();
    let fill = |part: &PathStage| {
        let replica = state.fleet.view.get_current(&part.instance)?;
        let memory = wish.engine.kind(&replica.kind)?.memory_mb;
        let total = wish.engine.free_token_layers(memory, replica.layers?.len());
        Some((
            state.memory_reservations.reserved(&part.instance) / total.max(1.0),
            &replica.instance,
        ))
    };
    let fullest = path.iter().filter_map(fill).max_by(|left, right| left.0.total_cmp(&right.0));
    if let Some((fill, replica)) = fullest {
        tracing::info!(event = "path-crowded", %replica, fill, tokens = wish.tokens);
    }
}

/// A path over several data centres, where this relay's share of the pipe has room for the request.
fn crossing_path(relay: &Relay, wish: &PathCriteria<'_>) -> Option<Vec<PathStage>> {
    let path = find_path(relay, wish, MemoryRule::Wanted, CrossingRule::Allowed)?;
    let crossings = count_crossings(relay, &path);
    let pipe_time = wish.engine.transfer_ms(wish.tokens) * f64::from(crossings);
    let now = now_millis();
    let mut state = relay.state.borrow_mut();
    let entries = state.peers.known_count() + 1;
    let taken = state.bandwidth.try_reserve(pipe_time, entries, now);
    if !taken {
        tracing::info!(event = "pipe-full", service = wish.service, crossings, pipe_time, entries);
    }
    taken.then_some(path)
}

/// How often a path passes from one data centre to another.
fn count_crossings(relay: &Relay, path: &[PathStage]) -> u32 {
    let state = relay.state.borrow();
    let place = |part: &PathStage| {
        state.fleet.view.get_current(&part.instance).map(|replica| &replica.data_centre)
    };
    let passes = path.windows(2).filter(|pair| place(&pair[0]) != place(&pair[1]));
    passes.count() as u32
}

/// Numbers data centres as they are met.
#[derive(Default)]
struct DataCentres {
    numbers: HashMap<String, usize>,
}

impl DataCentres {
    fn number(&mut self, name: &str) -> usize {
        let next = self.numbers.len();
        *self.numbers.entry(name.to_owned()).or_insert(next)
    }

    fn count(&self) -> usize {
        self.numbers.len()
    }
}

fn offers(
    state: &RelayState,
    wish: &PathCriteria<'_>,
    in_scope: impl Fn(&ReplicaEntry) -> bool,
    data_centres: &mut DataCentres,
) -> Vec<StageOffer> {
    let now = now_millis();
    let usable = |replica: &&ReplicaEntry| {
        in_scope(replica)
            && replica.is_ready()
            && !state.suspects.is_suspect(&replica.instance, now)
            && !wish.avoid.contains(&replica.instance)
    };
    let replicas = state.fleet.view.of_service(wish.service).filter(usable);
    let mut offers: Vec<StageOffer> = kept_part(state, wish, data_centres).into_iter().collect();
    for replica in replicas {
        let Some(range) = replica.layers else { continue };
        let kind = wish.engine.kind(&replica.kind);
        let total =
            kind.map_or(0.0, |kind| wish.engine.free_token_layers(kind.memory_mb, range.len()));
        let promised = state.memory_reservations.reserved(&replica.instance);
        // A replica that was short of memory a moment ago counts as full.
        let promised =
            if state.short_of_memory.is_suspect(&replica.instance, now) { total } else { promised };
        let pace = kind.map_or(1.0, |kind| kind.step_factor)
            * state.slowdowns.factor(&replica.instance, now);
        let layer_cost = layer_cost(wish.engine, pace, promised, total);
        let data_centre = data_centres.number(&replica.data_centre);
        let is_throttled = state.send_wait(&replica.instance, wish.rank, now).is_some();
        offers.push(StageOffer {
            instance: replica.instance.clone(),
            address: replica.address,
            data_centre,
            range,
            layer_cost,
            free_token_layers: (total * PLANNED_FILL - promised).max(0.0),
            start_cost: if is_throttled { None } else { begin_cost(state, replica, now) },
            is_throttled,
        });
    }
    offers
}

/// Cost of beginning at a replica that begins no answers: more than beginning anywhere else, and it is still better
/// than waiting for room.
const MUTE_COST: f64 = 60.0;

/// Cost of beginning at a replica; nothing where it has no place.
fn begin_cost(state: &RelayState, replica: &ReplicaEntry, now: Millis) -> Option<f64> {
    if state.full_replicas.is_full(&replica.instance, now) {
        return None;
    }
    let cost = start_cost(state.slot_reservations.reserved(&replica.instance), replica.slots)?;
    Some(cost + mute_cost(state, &replica.instance, now))
}

fn mute_cost(state: &RelayState, instance: &ReplicaInstance, now: Millis) -> f64 {
    match state.stalls.is_stalled(instance, now) {
        true => MUTE_COST,
        false => 0.0,
    }
}

/// The first part of a request that runs: its replica goes on with it whatever it is to hold later.
fn kept_part(
    state: &RelayState,
    wish: &PathCriteria<'_>,
    data_centres: &mut DataCentres,
) -> Option<StageOffer> {
    let (instance, range) = wish.first?;
    let replica = state.fleet.view.get_current(instance)?;
    Some(StageOffer {
        instance: instance.clone(),
        address: replica.address,
        data_centre: data_centres.number(&replica.data_centre),
        range,
        layer_cost: 0.0,
        free_token_layers: f64::INFINITY,
        start_cost: Some(0.0),
        is_throttled: false,
    })
}

/// Cost of one layer: the time of a step, and a term that grows steeply as memory fills up.
fn layer_cost(engine: &EngineSpec, pace: f64, promised: f64, total: f64) -> f64 {
    const FULLEST: f64 = 0.98;
    let step = engine.step_ms * pace / f64::from(engine.layers.max(1));
    let used = (promised / total.max(1.0)).min(FULLEST);
    step + ROOM_COST * used * used / (1.0 - used)
}

/// Room promised along a path, and a place at its first replica; dropping it releases them.
#[derive(Debug)]
pub struct PathReservation {
    relay: Rc<Relay>,
    parts: Vec<(ReplicaInstance, f64)>,
    first: Option<ReplicaInstance>,
}

impl PathReservation {
    /// Promises room for `tokens` along a path.
    pub fn new(relay: &Rc<Relay>, path: &[PathStage], tokens: f64) -> Self {
        let amount = |part: &PathStage| tokens * f64::from(part.range.len());
        let parts: Vec<(ReplicaInstance, f64)> =
            path.iter().map(|part| (part.instance.clone(), amount(part))).collect();
        let mut state = relay.state.borrow_mut();
        parts
            .iter()
            .for_each(|(instance, amount)| state.memory_reservations.reserve(instance, *amount));
        let first = path.first().map(|part| part.instance.clone());
        first.iter().for_each(|instance| state.slot_reservations.reserve(instance, 1.0));
        Self { relay: relay.clone(), parts, first }
    }
}

impl Drop for PathReservation {
    fn drop(&mut self) {
        let mut state = self.relay.state.borrow_mut();
        self.parts
            .iter()
            .for_each(|(instance, amount)| state.memory_reservations.release(instance, *amount));
        self.first.iter().for_each(|instance| state.slot_reservations.release(instance, 1.0));
    }
}
