//! Planning of which layers each engine holds, and the orders that carry out the plan.
//!
//! The first healthy relays by name are the planners, each for some of the groups of replicas. One
//! planner suffices for the largest deployments of today. No plan is stored: each round computes
//! the orders from the replica list and from the pending orders of this relay. If two relays both
//! plan the same group, they send the same orders. An order also states how many orders the engine
//! has taken before, so the engine rejects a late or duplicate one.

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
        GroupOrders, LayerHolder, ModelShape, PlacementConfig, PlacementOrder, PlacementReason,
        layout_score, plan_group, sequence_orders,
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
        GroupCount, GroupName, PlanGroups, PlanShare, covered_data_centres, retain_share,
        split_groups,
    },
    searches::LayoutSearches,
};
use crate::{
    engines::{OrderOutcome, ReportState, fetch_report, order_layers, recent_report},
    state::Relay,
};

/// Interval between two planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the start of the relay before its first orders, in milliseconds. Messages of the
/// other relays have arrived by then.
const FIRST_ROUND_DELAY: Millis = 900;

/// Time for which a relay must have had its share of the planning before it sends orders, in
/// milliseconds: two messages of the relay that had the share before may be lost.
const TAKEOVER_DELAY: Millis = 600;

/// Time without a change in the number of replicas after which the first layout is planned, in
/// milliseconds.
const SETTLE_TIME: Millis = 900;

/// Time after the start of the relay after which the first layout is planned even if replicas still
/// join, in milliseconds.
const MAX_SETTLE_TIME: Millis = 4_000;

/// Additional time, beyond that of the load, within which the replica list must show the effect of
/// an order, in milliseconds: the list lags by a heartbeat and its delay.
const LIST_DELAY: Millis = 3_000;

/// Time for which a replica whose entry was overwritten by another writer remains in the layout, in
/// milliseconds: the replica restores its entry with its next heartbeat, and three of those may be
/// missed.
const OVERWRITTEN_RETENTION: Millis = 3_600;

/// Time after a rejected order before another one is planned for the replica, in milliseconds. The
/// replica may be carrying out another order, which the list shows by then.
const REJECTED_PAUSE: Millis = 1_000;

/// An order that the replica list does not show as done yet.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    range: LayerRange,
    /// Time at which the order expires.
    until: Millis,
    /// Whether the replica unloads layers, for which it may wait without loading any.
    unloads: bool,
    /// Time from which on the replica is asked whether it has loaded the layers.
    next_check: Millis,
    /// Whether the replica reported that it has.
    has_ended: bool,
}

/// Interval between two reports requested from a replica whose load should have ended, in
/// milliseconds.
const LOAD_CHECK_INTERVAL: Millis = 400;

/// What became of a pending order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderProgress {
    /// It was not sent, or the replica rejected it.
    Rejected,
    /// The replica reported that it carries out an order.
    Running,
    /// The replica reported that it holds the layers.
    Ended,
}

/// Interval between two reports requested from a suspected replica, in milliseconds.
const SUSPECT_INTERVAL: Millis = 400;

/// The last report of a suspected replica.
#[derive(Clone, Copy, Debug)]
struct SuspectReport {
    requested_at: Millis,
    /// Whether the replica responded and holds layers.
    holds: bool,
}

/// Maximum number of orders sent at once. Each takes two calls that time out after 300 ms. A small
/// VM may have several hundred orders to send after a start of the whole system, and could not
/// complete all of these calls in time at once.
const MAX_CONCURRENT_ORDERS: usize = 16;

/// The planner of this relay: pending orders, and reports of suspected replicas.
#[derive(Debug)]
struct Placer {
    pending: HashMap<ReplicaInstance, PendingOrder>,
    /// Layers that replicas are to hold once their group has a path, if they were ordered to load only
    /// a part of them.
    targets: HashMap<ReplicaInstance, LayerRange>,
    suspects: HashMap<ReplicaInstance, SuspectReport>,
    /// What became of pending orders since the last round.
    progress: Rc<RefCell<Vec<(ReplicaInstance, OrderProgress)>>>,
    /// Limits the number of orders that are sent at once.
    order_permits: Rc<Semaphore>,
    /// Groups that needed no orders when they were last planned.
    settled: BTreeMap<GroupName, Vec<LayerHolder>>,
    /// Searches for better first layouts.
    searches: LayoutSearches,
    replica_count: u64,
    /// Time of the last change of `replica_count`.
    fleet_changed: Millis,
    group_count: GroupCount,
    /// Current share of the planning, and since when this relay has had it.
    share: Option<(PlanShare, Millis)>,
}

/// Plans and orders layers in regular rounds. Never returns.
pub async fn place_layers(relay: Rc<Relay>) {
    let started = now_millis();
    let mut placer = Placer::new();
    loop {
        sleep(ROUND_INTERVAL).await;
        let now = now_millis();
        placer.observe(&relay, now);
        let age = now - started;
        let Some(share) = placer.active_share(&relay, now).filter(|_| age >= FIRST_ROUND_DELAY)
        else {
            continue;
        };
        let is_settled = now - placer.fleet_changed > SETTLE_TIME;
        if age < MAX_SETTLE_TIME && !is_settled {
            continue;
        }
        placer.run_round(&relay, share, now).await;
    }
}

impl Placer {
    fn new() -> Self {
        Self {
            pending: HashMap::new(),
            targets: HashMap::new(),
            suspects: HashMap::new(),
            progress: Rc::default(),
            order_permits: Rc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
            settled: BTreeMap::new(),
            searches: LayoutSearches::default(),
            replica_count: 0,
            fleet_changed: 0,
            group_count: GroupCount::default(),
            share: None,
        }
    }

    /// Returns the share of the planning that falls to this relay, or `None` if it plans nothing.
    fn plan_share(&mut self, relay: &Relay, now: Millis) -> Option<PlanShare> {
        let config = relay.config()?;
        let is_fresh = relay.is_fleet_fresh(now);
        let state = relay.state.borrow();
        let rank = state.peers.rank(&relay.settings.name, is_fresh, now)?;
        let groups = self.group_count.update(&config, &state.fleet.view);
        let planners = planner_count(groups, state.peers.live_speaker_count(now) + 1);
        (rank < planners).then_some(PlanShare { rank, planners })
    }

    /// Returns the share of the planning that falls to this relay once it has been the same for
    /// [`TAKEOVER_DELAY`]. The relay that had it before may still have pending orders.
    fn active_share(&mut self, relay: &Relay, now: Millis) -> Option<PlanShare> {
        let share = self.plan_share(relay, now);
        let known = self.share.filter(|(known, _)| Some(*known) == share);
        self.share = share.map(|share| known.unwrap_or((share, now)));
        self.share.filter(|(_, since)| now - since >= TAKEOVER_DELAY).map(|(share, _)| share)
    }

    /// Records changes of the number of replicas, and drops pending orders that are done, expired
    /// or rejected.
    fn observe(&mut self, relay: &Relay, now: Millis) {
        for (instance, progress) in self.progress.borrow_mut().drain(..) {
            let Some(order) = self.pending.get_mut(&instance) else { continue };
            match progress {
                OrderProgress::Rejected => order.until = order.until.min(now + REJECTED_PAUSE),
                OrderProgress::Running if order.unloads => {}
                OrderProgress::Running => order.until = order.until.max(now + LIST_DELAY),
                OrderProgress::Ended => order.has_ended = true,
            }
        }
        let state = relay.state.borrow();
        let count = state.fleet.view.len() as u64;
        if count != self.replica_count {
            self.replica_count = count;
            self.fleet_changed = now;
        }
        self.pending.retain(|instance, order| {
            let Some(replica) = state.fleet.view.get_current(instance) else { return false };
            let is_done = replica.layers == Some(order.range);
            !is_done && now < order.until
        });
        let pending = &self.pending;
        self.targets.retain(|instance, target| {
            let listed = state.fleet.view.get_current(instance);
            let holds_part = listed.and_then(|replica| replica.layers).is_some_and(|held| {
                target.from <= held.from && held.to <= target.to && held != *target
            });
            holds_part || listed.is_some() && pending.contains_key(instance)
        });
    }

    async fn run_round(&mut self, relay: &Rc<Relay>, share: PlanShare, now: Millis) {
        let Some(config) = relay.config() else { return };
        self.check_suspects(relay, now).await;
        self.check_loads(relay, now);
        for (service, engine) in config.engines() {
            let limit = (engine.max_parallel_loads as usize / share.planners).max(1);
            // Before the first request, loads are quick and all of them may run at once.
            let max_parallel = (!is_unused(relay)).then_some(limit);
            let config =
                PlacementConfig { max_parallel_loads: max_parallel, ..PlacementConfig::default() };
            let planned = self.plan(relay, share, (service, engine), config, now).await;
            let orders = sequence_orders(planned, engine.layers);
            let loading = self.pending.values().filter(|order| !order.has_ended).count();
            let free = limit.saturating_sub(loading);
            let max_orders = max_parallel.map_or(orders.len(), |_| free);
            for order in orders.into_iter().take(max_orders) {
                self.start_order(relay, engine, order, now).await;
            }
            for order in self.search_orders(relay, share, service, engine, now).await {
                self.start_order(relay, engine, order, now).await;
            }
        }
    }

    /// Asks replicas whose loads should have ended, in the background. The list shows the end of a load
    /// up to a heartbeat and its delay later, while the next load could run.
    fn check_loads(&mut self, relay: &Rc<Relay>, now: Millis) {
        for (instance, order) in &mut self.pending {
            let replica = relay.state.borrow().fleet.view.get_current(instance).cloned();
            let Some(replica) = replica.filter(|_| !order.has_ended && now >= order.next_check)
            else {
                continue;
            };
            order.next_check = now + LOAD_CHECK_INTERVAL;
            let (relay, progress, range) = (relay.clone(), self.progress.clone(), order.range);
            spawn_local(async move {
                let Some(report) = fetch_report(&relay, replica.address).await else { return };
                let reported = match report.busy {
                    true => Some(OrderProgress::Running),
                    false => (report.layers == Some(range)).then_some(OrderProgress::Ended),
                };
                progress.borrow_mut().extend(reported.map(|it| (replica.instance, it)));
            });
        }
    }

    /// Fetches reports of suspected replicas to find out whether they still hold their layers.
    /// Those that do not are checked again until they do or are no longer listed. A suspicion alone
    /// moves no layers, since a single bad link may have caused it.
    async fn check_suspects(&mut self, relay: &Relay, now: Millis) {
        let due = self.due_checks(relay, now);
        let requests = due.iter().map(|replica| recent_report(relay, replica.address));
        let reports = join_all(requests).await;
        for (replica, report) in due.iter().zip(reports) {
            let holds = match report {
                ReportState::Pending => continue,
                ReportState::NoResponse => false,
                ReportState::Received(report) => report.layers.is_some(),
            };
            if holds {
                relay.state.borrow_mut().quarantine.record_alive(&replica.instance);
            }
            let report = SuspectReport { requested_at: now, holds };
            let known = self.suspects.insert(replica.instance.clone(), report);
            if known.is_none_or(|known| known.holds != holds) {
                tracing::info!(event = "suspect-probed", replica = %replica.instance, holds);
            }
            if !holds {
                relay.avoid(&replica.instance, "holds no layers or does not respond");
            }
        }
        let state = relay.state.borrow();
        self.suspects.retain(|instance, _| state.fleet.view.get_current(instance).is_some());
    }

    /// Returns the replicas whose reports are to be fetched now.
    fn due_checks(&self, relay: &Relay, now: Millis) -> Vec<ReplicaEntry> {
        let state = relay.state.borrow();
        let suspects = state.suspects.current(now).map(|(instance, _)| instance);
        let lost = self.suspects.iter().filter(|(_, report)| !report.holds);
        let instances: BTreeSet<&ReplicaInstance> =
            suspects.chain(lost.map(|(instance, _)| instance)).collect();
        let is_due = |replica: &&ReplicaEntry| {
            let report = self.suspects.get(&replica.instance);
            let is_due = report.is_none_or(|report| now - report.requested_at >= SUSPECT_INTERVAL);
            // A replica with a pending order may hold nothing while it loads.
            is_due && replica.layers.is_some() && !self.pending.contains_key(&replica.instance)
        };
        let replicas =
            instances.into_iter().filter_map(|instance| state.fleet.view.get_current(instance));
        replicas.filter(is_due).cloned().collect()
    }

    /// Returns whether a suspected replica did not respond or holds no layers.
    fn is_lost(&self, instance: &ReplicaInstance) -> bool {
        self.suspects.get(instance).is_some_and(|report| !report.holds)
    }

    /// Plans the groups of this relay, and returns those that need orders. Groups that have not changed
    /// since they needed none are left out. Planning takes some milliseconds of a core, so it runs on
    /// another thread than the one that forwards events.
    async fn plan(
        &mut self,
        relay: &Relay,
        share: PlanShare,
        (service, engine): (&str, &EngineSpec),
        config: PlacementConfig,
        now: Millis,
    ) -> Vec<GroupOrders> {
        let mut groups = self.groups(relay, service, engine, now);
        let covered = covered_data_centres(&groups, engine.layers);
        retain_share(&mut groups, share);
        groups.retain(|name, holders| self.settled.get(name) != Some(holders));
        let model = model_shape(engine);
        let planning = spawn_blocking(move || {
            let planned = groups.into_iter().map(|(name, holders)| {
                let mut orders = plan_group(&holders, model, &config);
                if covered.contains(&name.data_centre) {
                    let uncut = orders.into_iter().map(PlacementOrder::without_cut);
                    orders = uncut.collect();
                }
                let scores = (!orders.is_empty()).then(|| plan_scores(&holders, &orders, model));
                (name, holders, orders, scores)
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
        let mut groups = Vec::new();
        for (name, holders, orders, scores) in planned {
            let is_new = holders.iter().all(|holder| holder.range.is_none());
            if is_new && share.planners == 1 && is_unused(relay) {
                let layout = with_orders(&holders, &orders);
                self.searches.add(name.clone(), layout, now);
            }
            match scores {
                None => drop(self.settled.insert(name, holders)),
                Some(scores) => {
                    log_plan(&name, &holders, orders.len(), scores);
                    groups.push(GroupOrders { holders, orders });
                }
            }
        }
        groups
    }

    /// Returns the orders of the searches that have finished. Drops all searches once requests
    /// arrive.
    async fn search_orders(
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
        if !is_unused(relay) {
            self.searches.cancel_all();
            return Vec::new();
        }
        let model = model_shape(engine);
        let mut groups = self.groups(relay, service, engine, now);
        retain_share(&mut groups, share);
        let mut all_orders = Vec::new();
        for (name, orders) in self.searches.advance(&groups, model, now).await {
            let scores = plan_scores(&groups[&name], &orders, model);
            log_plan(&name, &groups[&name], orders.len(), scores);
            all_orders.extend(orders);
        }
        all_orders
    }

    /// Returns the replicas of a service that may hold layers, by group.
    fn groups(&self, relay: &Relay, service: &str, engine: &EngineSpec, now: Millis) -> PlanGroups {
        let state = relay.state.borrow();
        let mut holders: BTreeMap<&str, Vec<LayerHolder>> = BTreeMap::new();
        let is_included = |replica: &&ReplicaEntry| match replica.state {
            EntryState::Ready => true,
            EntryState::Draining => false,
            EntryState::Overwritten => {
                let age = state.fleet.view.age(replica.instance.id(), now);
                age.is_some_and(|age| age < OVERWRITTEN_RETENTION)
            }
        };
        for replica in state.fleet.view.of_service(service).filter(is_included) {
            let is_suspect =
                !replica.is_ready() || state.suspects.is_suspect(&replica.instance, now);
            let is_lost = self.is_lost(&replica.instance);
            let Some(holder) = self.holder(replica, engine, is_suspect, is_lost) else { continue };
            holders.entry(&replica.data_centre).or_default().push(holder);
        }
        split_groups(service, holders)
    }

    /// Describes a replica to the planner. Returns `None` if the service does not name its kind of
    /// accelerator, or if it names layers that the model does not have.
    fn holder(
        &self,
        replica: &ReplicaEntry,
        engine: &EngineSpec,
        is_suspect: bool,
        is_lost: bool,
    ) -> Option<LayerHolder> {
        let kind = engine.kind(&replica.kind)?;
        if replica.layers.is_some_and(|range| !range.fits(engine.layers)) {
            return None;
        }
        let pending = self.pending.get(&replica.instance);
        let loaded = pending.filter(|order| order.has_ended).map(|order| order.range);
        let held = loaded.or(replica.layers).filter(|_| !is_lost);
        Some(LayerHolder {
            instance: replica.instance.clone(),
            memory_mb: kind.memory_mb,
            slots: replica.slots,
            layer_ms: kind.step_factor * engine.step_ms / f64::from(engine.layers.max(1)),
            range: pending.map(|order| order.range).or(held),
            target: self.targets.get(&replica.instance).copied(),
            held,
            can_order: pending.is_none_or(|order| order.has_ended) && !is_suspect,
        })
    }

    /// Records an order as pending and sends it in the background.
    async fn start_order(
        &mut self,
        relay: &Rc<Relay>,
        engine: &EngineSpec,
        order: PlacementOrder,
        now: Millis,
    ) {
        let replica = relay.state.borrow().fleet.view.get_current(&order.instance).cloned();
        let Some(replica) = replica else { return };
        let load_time =
            |layers: u32| u64::from(layers) * engine.load_time / u64::from(engine.layers.max(1));
        let range = order.range;
        let kept = replica.layers.map_or(0, |held| held.overlap(&range).len());
        let pending = PendingOrder {
            range,
            until: now + load_time(range.len()) * 2 + LIST_DELAY,
            unloads: replica.layers.is_some_and(|held| held.len() > kept),
            next_check: now + load_time(range.len() - kept),
            has_ended: false,
        };
        self.pending.insert(order.instance.clone(), pending);
        match order.reason {
            PlacementReason::FirstPath { target } if target != order.range => {
                self.targets.insert(order.instance.clone(), target);
            }
            _ => drop(self.targets.remove(&order.instance)),
        }
        let (relay, progress) = (relay.clone(), self.progress.clone());
        let order_permits = self.order_permits.clone();
        spawn_local(async move {
            let _permit = order_permits.acquire().await;
            if !send_order(&relay, &replica, &order).await {
                progress.borrow_mut().push((order.instance, OrderProgress::Rejected));
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

/// Returns the layout score of a group of replicas before and after its orders.
fn plan_scores(
    holders: &[LayerHolder],
    orders: &[PlacementOrder],
    model: ModelShape,
) -> (f64, f64) {
    let planned = with_orders(holders, orders);
    (layout_score(holders, model), layout_score(&planned, model))
}

/// Returns the group as it is once its orders are carried out.
fn with_orders(holders: &[LayerHolder], orders: &[PlacementOrder]) -> Vec<LayerHolder> {
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

/// Returns whether the system has had no request yet. A relay that has been restarted has no evidence
/// of that: the requests before its start are not known to it.
fn is_unused(relay: &Relay) -> bool {
    relay.settings.first_start
        && relay.counts.requests.get() == 0
        && relay.state.borrow().memory_reservations.is_idle()
}

/// Logs the plan for a group with its layout score before and after the orders.
fn log_plan(name: &GroupName, holders: &[LayerHolder], orders: usize, scores: (f64, f64)) {
    let GroupName { data_centre, number, .. } = name;
    let loading = holders.iter().filter(|holder| holder.range != holder.held).count();
    let (score_before, score_after) = scores;
    tracing::info!(
        event = "plan",
        data_centre,
        part = number,
        replicas = holders.len(),
        loading,
        orders,
        worth_before = score_before,
        worth_after = score_after,
    );
}

/// Sends an order. Returns whether the engine may carry it out.
async fn send_order(relay: &Relay, replica: &ReplicaEntry, order: &PlacementOrder) -> bool {
    let range = order.range;
    let (from, to) = (range.from, range.to);
    let Some(report) = fetch_report(relay, replica.address).await else {
        tracing::warn!(event = "order-unsent", replica = %replica.instance, from, to, why = "no report");
        return false;
    };
    if relay.state.borrow().fleet.view.get_current(&replica.instance).is_none() {
        // The order was planned for the layers that the earlier instance held.
        tracing::info!(event = "order-unsent", replica = %replica.instance, from, to, why = "restarted");
        return false;
    }
    if report.busy {
        tracing::info!(event = "order-waits", replica = %replica.instance, from, to, why = "busy");
        return false;
    }
    let unload_mode = order.reason.unload_mode();
    let outcome =
        order_layers(relay, replica.address, range, unload_mode, report.orders_accepted).await;
    tracing::info!(
        event = "order",
        replica = %replica.instance,
        kind = replica.kind,
        data_centre = replica.data_centre,
        from,
        to,
        reason = %order.reason,
        give_up = ?unload_mode,
        orders_taken = report.orders_accepted,
        end = ?outcome,
    );
    if outcome == OrderOutcome::NotSent {
        relay.avoid(&replica.instance, "order not sent");
    }
    matches!(outcome, OrderOutcome::Taken | OrderOutcome::Unknown)
}
