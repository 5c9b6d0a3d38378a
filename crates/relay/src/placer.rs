//! Orders to engines to hold layers.
//!
//! The first relays by name among those that are well give the orders, each for some groups of replicas: one relay
//! up to the largest deployments of today. They keep no plan: each round computes the orders from the list of
//! replicas and from the planner's own orders under way. Two relays that both take themselves for a group's planner
//! order the same, and an order names how many orders the engine took before, so a late one is refused.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use futures_util::future::join_all;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    fleet::{EntryState, LayerRange, ReplicaEntry},
    groups::planner_count,
    instance::ReplicaInstance,
    placement::{
        LayerHolder, ModelShape, PlacementConfig, PlacementOrder, layout_score, plan_group,
    },
    routing::EngineSpec,
};
use tokio::{
    sync::Semaphore,
    task::{spawn_blocking, spawn_local},
    time::sleep,
};

mod groups;
mod searches;

use self::{
    groups::{
        GroupName, GroupTotal, PlanGroups, PlanShare, covered_places, deal_groups, keep_share,
    },
    searches::LayoutSearches,
};
use crate::{
    engines::{OrderOutcome, ReportState, fetch_report, order_layers, recent_report},
    state::Relay,
};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(200);

/// Time after the start before the first orders, in milliseconds: peers are heard by then.
const FIRST_ROUND: Millis = 900;

/// Time for which a relay must be the first before it gives orders, in milliseconds: two messages of its
/// predecessor may be lost.
const TAKE_CHARGE: Millis = 600;

/// Time without a new replica after which the first layout is made, in milliseconds.
const SETTLED: Millis = 900;

/// Time after the start after which the layout is made whatever still comes, in milliseconds.
const LATEST_START: Millis = 4_000;

/// Time beyond the load itself until an order's effect must be listed, in milliseconds: the list lags by
/// a heartbeat and its delay.
const LIST_LAG: Millis = 3_000;

/// Time for which a replica keeps its place in the layout although another writer's entry stands in its place, in
/// milliseconds: the replica writes anew with its next heartbeat, and three of those may be missed.
const KEEP_OVERWRITTEN: Millis = 3_600;

/// Time after a refused order before the replica is planned for again, in milliseconds: another order
/// may be under way there, and the list shows it by then.
const REFUSED_PAUSE: Millis = 1_000;

/// An order under way.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    range: LayerRange,
    until: Millis,
}

/// Time for which the answer of a suspected replica to a question counts, in milliseconds.
const PROBE_AGE: Millis = 400;

/// What asking a suspected replica told.
#[derive(Clone, Copy, Debug)]
struct ProbeOutcome {
    asked: Millis,
    holds: bool,
}

/// Orders that are given at once: each takes two calls that must be answered within 300 ms, also where a small VM has
/// several hundred orders to give after a start of all.
const MOST_ORDERS: usize = 16;

/// Orders under way, by replica, and what suspected replicas answered.
#[derive(Debug)]
struct Placer {
    pending: HashMap<ReplicaInstance, PendingOrder>,
    probes: HashMap<ReplicaInstance, ProbeOutcome>,
    refused: Rc<RefCell<Vec<ReplicaInstance>>>,
    /// Places for orders that are being given.
    ordering: Rc<Semaphore>,
    /// Groups that needed no orders when last planned.
    settled: BTreeMap<GroupName, Vec<LayerHolder>>,
    /// Searches for better first layouts.
    searches: LayoutSearches,
    fleet_seen: u64,
    fleet_changed: Millis,
    groups: GroupTotal,
    share: Option<(PlanShare, Millis)>,
}

/// Places layers for good.
pub async fn place_layers(relay: Rc<Relay>) {
    let begun = now_millis();
    let mut placer = Placer::new();
    loop {
        sleep(ROUND).await;
        let now = now_millis();
        placer.observe(&relay, now);
        let age = now - begun;
        let Some(share) = placer.share_in_charge(&relay, now).filter(|_| age >= FIRST_ROUND) else {
            continue;
        };
        let settled = now - placer.fleet_changed > SETTLED;
        if age < LATEST_START && !settled {
            continue;
        }
        placer.round(&relay, share, now).await;
    }
}

impl Placer {
    fn new() -> Self {
        Self {
            pending: HashMap::new(),
            probes: HashMap::new(),
            refused: Rc::default(),
            ordering: Rc::new(Semaphore::new(MOST_ORDERS)),
            settled: BTreeMap::new(),
            searches: LayoutSearches::default(),
            fleet_seen: 0,
            fleet_changed: 0,
            groups: GroupTotal::default(),
            share: None,
        }
    }

    /// This relay's share of the planning; nothing where others do all of it.
    fn plan_share(&mut self, relay: &Relay, now: Millis) -> Option<PlanShare> {
        let config = relay.config()?;
        let fresh = relay.is_fleet_fresh(now);
        let state = relay.state.borrow();
        let rank = state.peers.rank(&relay.settings.name, fresh, now)?;
        let groups = self.groups.renew(&config, &state.fleet.view);
        let planners = planner_count(groups, state.peers.live_speaker_count(now) + 1);
        (rank < planners).then_some(PlanShare { rank, planners })
    }

    /// This relay's share of the planning, where it has had that for a while: another one that did may still have
    /// some orders under way.
    fn share_in_charge(&mut self, relay: &Relay, now: Millis) -> Option<PlanShare> {
        let share = self.plan_share(relay, now);
        let known = self.share.filter(|(known, _)| Some(*known) == share);
        self.share = share.map(|share| known.unwrap_or((share, now)));
        self.share.filter(|(_, since)| now - since >= TAKE_CHARGE).map(|(share, _)| share)
    }

    /// Notes joined and left replicas, and orders that took effect.
    fn observe(&mut self, relay: &Relay, now: Millis) {
        for instance in self.refused.borrow_mut().drain(..) {
            if let Some(order) = self.pending.get_mut(&instance) {
                order.until = order.until.min(now + REFUSED_PAUSE);
            }
        }
        let state = relay.state.borrow();
        let count = state.fleet.view.len() as u64;
        if count != self.fleet_seen {
            self.fleet_seen = count;
            self.fleet_changed = now;
        }
        self.pending.retain(|instance, order| {
            let Some(replica) = state.fleet.view.get_current(instance) else { return false };
            let done = replica.layers == Some(order.range);
            !done && now < order.until
        });
    }

    async fn round(&mut self, relay: &Rc<Relay>, share: PlanShare, now: Millis) {
        let Some(config) = relay.config() else { return };
        self.probe_suspects(relay, now).await;
        for (service, engine) in config.engines() {
            let orders = self.plan(relay, share, service, engine, now).await;
            let limit = (engine.max_parallel_loads as usize / share.planners).max(1);
            // Before the first request, loads are quick and all may run at once.
            let untouched = is_untouched(relay);
            let free = limit.saturating_sub(self.pending.len());
            let now_possible = if untouched { orders.len() } else { free };
            for order in orders.into_iter().take(now_possible) {
                self.give(relay, engine, order, now).await;
            }
            for order in self.searched_orders(relay, share, service, engine, now).await {
                self.give(relay, engine, order, now).await;
            }
        }
    }

    /// Asks suspected replicas whether they still hold their layers, and goes on asking those that do
    /// not until they do or are listed no more. A suspicion alone does not move layers: it may come of
    /// one bad link.
    async fn probe_suspects(&mut self, relay: &Relay, now: Millis) {
        let due = self.due_probes(relay, now);
        let asked = due.iter().map(|replica| recent_report(relay, replica.address));
        let reports = join_all(asked).await;
        for (replica, report) in due.iter().zip(reports) {
            let holds = match report {
                ReportState::Pending => continue,
                ReportState::NoResponse => false,
                ReportState::Received(report) => report.layers.is_some(),
            };
            if holds {
                relay.state.borrow_mut().quarantine.record_alive(&replica.instance);
            }
            let probe = ProbeOutcome { asked: now, holds };
            let known = self.probes.insert(replica.instance.clone(), probe);
            if known.is_none_or(|known| known.holds != holds) {
                tracing::info!(event = "suspect-probed", replica = %replica.instance, holds);
            }
            if !holds {
                relay.suspect(&replica.instance, "holds no layers, or is silent");
            }
        }
        let state = relay.state.borrow();
        self.probes.retain(|instance, _| state.fleet.view.get_current(instance).is_some());
    }

    fn due_probes(&self, relay: &Relay, now: Millis) -> Vec<ReplicaEntry> {
        let state = relay.state.borrow();
        let suspects = state.suspects.current(now).map(|(instance, _)| instance);
        let lost = self.probes.iter().filter(|(_, probe)| !probe.holds);
        let instances: BTreeSet<&ReplicaInstance> =
            suspects.chain(lost.map(|(instance, _)| instance)).collect();
        let is_due = |replica: &&ReplicaEntry| {
            let probe = self.probes.get(&replica.instance);
            let due = probe.is_none_or(|probe| now - probe.asked >= PROBE_AGE);
            // One that loads what it was ordered to hold holds nothing meanwhile, and is well.
            due && replica.layers.is_some() && !self.pending.contains_key(&replica.instance)
        };
        let replicas =
            instances.into_iter().filter_map(|instance| state.fleet.view.get_current(instance));
        replicas.filter(is_due).cloned().collect()
    }

    fn is_lost(&self, instance: &ReplicaInstance) -> bool {
        self.probes.get(instance).is_some_and(|probe| !probe.holds)
    }

    /// Plans each group of replicas that changed since it needed no orders. The search takes some
    /// milliseconds of a whole core, so it runs beside the thread that passes events on.
    async fn plan(
        &mut self,
        relay: &Relay,
        share: PlanShare,
        service: &str,
        engine: &EngineSpec,
        now: Millis,
    ) -> Vec<PlacementOrder> {
        let mut groups = self.groups(relay, service, engine, now);
        let covered = covered_places(&groups, engine.layers);
        keep_share(&mut groups, share);
        groups.retain(|name, holders| self.settled.get(name) != Some(holders));
        let model = model_shape(engine);
        let planning = spawn_blocking(move || {
            let config = PlacementConfig::default();
            let planned = groups.into_iter().map(|(name, holders)| {
                let mut orders = plan_group(&holders, model, &config);
                if covered.contains(&name.data_centre) {
                    let waiting = orders.into_iter().map(PlacementOrder::without_cut);
                    orders = waiting.collect();
                }
                let worths = (!orders.is_empty()).then(|| plan_worths(&holders, &orders, model));
                (name, holders, orders, worths)
            });
            planned.collect::<Vec<_>>()
        });
        let planned = match planning.await {
            Ok(planned) => planned,
            Err(error) => {
                // The next round plans again.
                tracing::error!(event = "plan-failed", service, %error);
                return Vec::new();
            }
        };
        let mut all = Vec::new();
        for (name, holders, orders, worths) in planned {
            let is_new = holders.iter().all(|holder| holder.range.is_none());
            if is_new && share.planners == 1 && is_untouched(relay) {
                let laid_out = carried_out(&holders, &orders);
                self.searches.add(name.clone(), laid_out, now);
            }
            match worths {
                None => drop(self.settled.insert(name, holders)),
                Some(worths) => log_plan(&name, holders.len(), orders.len(), worths),
            }
            all.extend(orders);
        }
        all
    }

    /// Orders of searches that have ended in time.
    async fn searched_orders(
        &mut self,
        relay: &Relay,
        share: PlanShare,
        service: &str,
        engine: &EngineSpec,
        now: Millis,
    ) -> Vec<PlacementOrder> {
        if self.searches.is_empty() {
            return Vec::new();
        }
        if !is_untouched(relay) {
            self.searches.drop_all();
            return Vec::new();
        }
        let model = model_shape(engine);
        let mut groups = self.groups(relay, service, engine, now);
        keep_share(&mut groups, share);
        let mut all = Vec::new();
        for (name, orders) in self.searches.advance(&groups, model, now).await {
            let worths = plan_worths(&groups[&name], &orders, model);
            log_plan(&name, groups[&name].len(), orders.len(), worths);
            all.extend(orders);
        }
        all
    }

    /// Replicas of a service that may hold layers, by group.
    fn groups(&self, relay: &Relay, service: &str, engine: &EngineSpec, now: Millis) -> PlanGroups {
        let state = relay.state.borrow();
        let mut places: BTreeMap<&str, Vec<LayerHolder>> = BTreeMap::new();
        let stays = |replica: &&ReplicaEntry| match replica.state {
            EntryState::Ready => true,
            EntryState::Draining => false,
            EntryState::Overwritten => {
                let age = state.fleet.view.age(replica.instance.id(), now);
                age.is_some_and(|age| age < KEEP_OVERWRITTEN)
            }
        };
        for replica in state.fleet.view.of_service(service).filter(stays) {
            let suspect = !replica.is_ready() || state.suspects.is_suspect(&replica.instance, now);
            let lost = self.is_lost(&replica.instance);
            let Some(holder) = self.holder(replica, engine, suspect, lost) else { continue };
            places.entry(&replica.data_centre).or_default().push(holder);
        }
        deal_groups(service, places)
    }

    fn holder(
        &self,
        replica: &ReplicaEntry,
        engine: &EngineSpec,
        suspect: bool,
        lost: bool,
    ) -> Option<LayerHolder> {
        let kind = engine.kind(&replica.kind)?;
        let pending = self.pending.get(&replica.instance);
        let held = replica.layers.filter(|_| !lost);
        Some(LayerHolder {
            instance: replica.instance.clone(),
            memory_mb: kind.memory_mb,
            slots: replica.slots,
            layer_ms: kind.step_factor * engine.step_ms / f64::from(engine.layers.max(1)),
            range: pending.map(|order| order.range).or(held),
            held,
            can_order: pending.is_none() && !suspect,
        })
    }

    async fn give(
        &mut self,
        relay: &Rc<Relay>,
        engine: &EngineSpec,
        order: PlacementOrder,
        now: Millis,
    ) {
        let replica = relay.state.borrow().fleet.view.get_current(&order.instance).cloned();
        let Some(replica) = replica else { return };
        let share =
            u64::from(order.range.len()) * engine.load_time / u64::from(engine.layers.max(1));
        let until = now + share * 2 + LIST_LAG;
        self.pending.insert(order.instance.clone(), PendingOrder { range: order.range, until });
        let (relay, refused) = (relay.clone(), self.refused.clone());
        let ordering = self.ordering.clone();
        spawn_local(async move {
            let _place = ordering.acquire().await;
            if !carry_out(&relay, &replica, &order).await {
                refused.borrow_mut().push(order.instance);
            }
        });
    }
}

fn model_shape(engine: &EngineSpec) -> ModelShape {
    let tokens = f64::from(engine.mean_prompt_tokens) + f64::from(engine.mean_completion_tokens);
    ModelShape {
        layers: engine.layers,
        layer_mb: engine.layer_mb,
        request_mb: tokens * engine.token_layer_mb(),
    }
}

/// What a group of replicas carries before and after its orders, by the plan's own measure.
fn plan_worths(
    holders: &[LayerHolder],
    orders: &[PlacementOrder],
    model: ModelShape,
) -> (f64, f64) {
    let planned = carried_out(holders, orders);
    (layout_score(holders, model), layout_score(&planned, model))
}

/// A group once its orders are carried out.
fn carried_out(holders: &[LayerHolder], orders: &[PlacementOrder]) -> Vec<LayerHolder> {
    let mut planned = holders.to_vec();
    for order in orders {
        let holder = planned.iter_mut().find(|holder| holder.instance == order.instance);
        if let Some(holder) = holder {
            holder.range = Some(order.range);
            holder.held = holder.range;
        }
    }
    planned
}

/// Whether no request came yet, to this relay or to others, as far as it hears.
fn is_untouched(relay: &Relay) -> bool {
    relay.counts.requests.get() == 0 && relay.state.borrow().memory_reservations.is_idle()
}

/// Writes what a group of replicas carries before and after its orders.
fn log_plan(name: &GroupName, replicas: usize, orders: usize, worths: (f64, f64)) {
    let GroupName { data_centre, part, .. } = name;
    let (worth_before, worth_after) = worths;
    tracing::info!(event = "plan", data_centre, part, replicas, orders, worth_before, worth_after);
}

/// Gives an order; tells whether it may be under way.
async fn carry_out(relay: &Relay, replica: &ReplicaEntry, order: &PlacementOrder) -> bool {
    let range = order.range;
    let (from, to) = (range.from, range.to);
    let Some(report) = fetch_report(relay, replica.address).await else {
        tracing::warn!(event = "order-unsent", replica = %replica.instance, from, to, why = "no report");
        return false;
    };
    if relay.state.borrow().fleet.view.get_current(&replica.instance).is_none() {
        // The order was planned for what an earlier life held.
        tracing::info!(event = "order-unsent", replica = %replica.instance, from, to, why = "restarted");
        return false;
    }
    if report.busy {
        tracing::info!(event = "order-waits", replica = %replica.instance, from, to, why = "busy");
        return false;
    }
    let give_up = order.reason.unload_mode();
    let end = order_layers(relay, replica.address, range, give_up, report.orders_taken).await;
    tracing::info!(
        event = "order",
        replica = %replica.instance,
        kind = replica.kind,
        data_centre = replica.data_centre,
        from,
        to,
        reason = ?order.reason,
        ?give_up,
        orders_taken = report.orders_taken,
        ?end,
    );
    if end == OrderOutcome::NotSent {
        relay.suspect(&replica.instance, "order not sent");
    }
    matches!(end, OrderOutcome::Taken | OrderOutcome::Unknown)
}
