//! What a relay knows, shared by its tasks.
//!
//! A relay runs on one thread, so what it knows stands in one [`RefCell`] that is borrowed for the
//! length of a decision and never across an `await`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::{clock::now_millis, http::HttpClient};
use switchfold_router::{
    Millis,
    backoff::BackoffTable,
    bandwidth::BandwidthShare,
    budget::{BudgetConfig, RetryBudget},
    clocks::PeerClocks,
    fleet::EntryState,
    freshness::FreshnessLease,
    grants::{HeldGrants, RetrySchedule},
    instance::ReplicaInstance,
    issuer::GrantIssuer,
    limits::LimitTable,
    membership::{GossipPlan, PeerTable},
    path::PathStage,
    quarantine::QuarantineTable,
    replicas::{FleetTracker, ForeignEntries},
    reservations::{FullReplicas, ReservationLedger},
    routing::{ConfigSlot, RoutingConfig},
    slowdown::SlowdownTable,
    stall::StallDetector,
    suspect::SuspectList,
};
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    counts::{Counts, count},
    engines::ReportCache,
    gossip::{SendScope, send_state},
    metrics::RelayMetrics,
    plain::ServiceLoads,
    pool::ConnectionPool,
    quarantine::record_replica_loss,
    registry::PeerAddress,
    settings::{BoundSettings, RelaySettings},
    shutdown::ShutdownState,
    store_calls::{CallTally, CountedStore},
};

/// RelayState of a relay: each came from somewhere, at some time.
#[derive(Debug, Default)]
pub struct RelayState {
    /// Configuration in force.
    pub config: ConfigSlot<Rc<RoutingConfig>>,
    /// When the configuration was last proved.
    pub config_lease: FreshnessLease,
    /// Whether the newest configuration could not be read, or the store holds an older one since it came back from a copy,
    /// so that none proves the one in force.
    pub config_unconfirmed: bool,
    /// The object of the configuration in force, for neighbours.
    pub config_object: Option<ConfigObject>,
    /// Relays whose addresses stand in the store, as last listed by this one or a neighbour.
    pub listed_relays: Option<BTreeMap<String, PeerAddress>>,
    /// The replicas.
    pub fleet: FleetTracker,
    /// Entries that are no replica's own.
    pub foreign_entries: ForeignEntries,
    /// Memory for requests promised at each replica.
    pub memory_reservations: ReservationLedger,
    /// Requests that run, by the first replica of their path.
    pub slot_reservations: ReservationLedger,
    /// First replicas that had no place a moment ago.
    pub full_replicas: FullReplicas,
    /// Replicas that asked this VM to stay away for a time.
    pub backoffs: BackoffTable,
    /// Limits that replicas named.
    pub limits: LimitTable,
    /// Grants to send to replicas with limits.
    pub grants: HeldGrants,
    /// Grants that this relay hands out.
    pub issuer: GrantIssuer,
    /// Moments at which refused callers come back, by service.
    pub retry_schedules: HashMap<String, RetrySchedule>,
    /// Clocks of the other relays.
    pub clocks: PeerClocks,
    /// Engines that are slow.
    pub slowdowns: SlowdownTable,
    /// This relay's share of the pipe between data centres.
    pub bandwidth: BandwidthShare,
    /// Replicas to keep away from.
    pub suspects: SuspectList,
    /// Beginnings of answers, and first replicas that begin none.
    pub stalls: StallDetector,
    /// Replicas that were short of memory a moment ago.
    pub short_of_memory: SuspectList,
    /// Requests that end the replicas that run them.
    pub quarantine: QuarantineTable,
    /// Repeats, by service.
    pub retry_budgets: HashMap<String, RetryBudget>,
    /// Loads of plain services' replicas.
    pub service_loads: ServiceLoads,
    /// The other relays.
    pub peers: PeerTable,
}

impl RelayState {
    /// Version of the configuration in force, or 0.
    pub fn config_version(&self) -> u64 {
        self.config.get().map_or(0, |config| config.version)
    }

    /// Time until a request of a rank may be sent to a replica, by what the replica asked for: time without requests of this
    /// relay, or few of all relays together. Nothing where it may be sent now.
    pub fn send_wait(&self, instance: &ReplicaInstance, rank: u8, now: Millis) -> Option<Millis> {
        let left = self.backoffs.remaining(instance, now);
        left.max(self.limit_wait(instance, rank, now))
    }

    /// Time until a grant for a request of a rank; nothing where the replica has no limit, or there is a grant.
    pub fn limit_wait(&self, instance: &ReplicaInstance, rank: u8, now: Millis) -> Option<Millis> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.limit(instance.id())?;
        self.grants.wait(instance.id(), rank, now)
    }
}

/// The configuration as it stands in the store.
#[derive(Clone, Debug)]
pub struct ConfigObject {
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of the store up to which it was read.
    pub at: u64,
    /// Its JSON.
    pub spec: Bytes,
}

/// State of a part of a running request's path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StageState {
    /// It serves.
    Serving,
    /// It serves on for a while: it leaves, or is to hold other layers.
    Leaving,
    /// It is listed no more, or does not answer.
    Lost,
}

/// A relay.
#[derive(Debug)]
pub struct Relay {
    /// Settings as at the start.
    pub settings: RelaySettings,
    /// Bounds in force; they may change while the relay runs.
    pub bounds: RefCell<BoundSettings>,
    /// What it knows.
    pub state: RefCell<RelayState>,
    /// Connections to replicas.
    pub pool: ConnectionPool,
    /// Latest reports of engines.
    pub reports: ReportCache,
    /// The platform's object store.
    pub store: CountedStore,
    /// Calls of it, however they were made.
    pub calls: Rc<CallTally>,
    /// Questions to neighbours.
    pub neighbour_client: HttpClient,
    /// Number drawn at the start, so that stamps of an earlier one are told apart.
    pub incarnation: u32,
    /// Where it hears from the other relays.
    pub peer_socket: UdpSocket,
    /// Counters.
    pub counts: Counts,
    /// Histograms, and what is served on the metrics address.
    pub metrics: RelayMetrics,
    /// Era of the store in which this relay's object was last known to stand there.
    pub registered_era: Cell<Option<u64>>,
    /// Whether new callers were left to other relays when readiness was last asked for.
    pub is_redirecting: Cell<bool>,
    /// Whether it is stopping.
    pub shutdown: ShutdownState,
    /// Draws for weights and jitter.
    pub random: RefCell<ChaCha8Rng>,
    /// Grows whenever a replica becomes one to keep away from; running streams then look at their path.
    pub path_check_epoch: Cell<u64>,
    /// Wakes running streams when that grows.
    pub path_check_notify: Notify,
    /// Wakes the task that asks for grants and hands them out.
    pub limit_notify: Notify,
    /// Wakes the task that tells the platform's store of requests that end replicas.
    pub quarantine_notify: Notify,
    /// Wakes the task that tells the other relays of this one's data centre.
    pub send_notify: Notify,
    /// Whom that task is to tell.
    pub pending_send: Cell<Option<SendScope>>,
    /// When a line on dropped datagrams was last written.
    pub drop_logged_at: Cell<Option<Millis>>,
    /// Relays that are told.
    pub gossip_plan: RefCell<GossipPlan>,
}

impl Relay {
    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<RoutingConfig>> {
        self.state.borrow().config.get().cloned()
    }

    /// Bounds on repeats, as the platform sets them.
    pub fn budget_config(&self) -> BudgetConfig {
        let bounds = self.bounds.borrow();
        BudgetConfig {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_allowance,
            window: bounds.retry_window(),
        }
    }

    /// Takes a repeat of a service's budget.
    pub fn spend_retry(&self, service: &str, now: Millis) -> bool {
        self.with_budget(service, |budget, config, entries| budget.spend(config, entries, now))
    }

    /// Whether a service's budget has a repeat.
    pub fn can_retry_service(&self, service: &str, now: Millis) -> bool {
        self.with_budget(service, |budget, config, entries| budget.can_retry(config, entries, now))
    }

    fn with_budget(
        &self,
        service: &str,
        ask: impl FnOnce(&mut RetryBudget, &BudgetConfig, usize) -> bool,
    ) -> bool {
        let config = self.budget_config();
        let mut state = self.state.borrow_mut();
        let entries = state.peers.known_count() + 1;
        ask(state.retry_budgets.entry(service.to_owned()).or_default(), &config, entries)
    }

    /// Draws a time of up to `most` milliseconds.
    pub fn random_delay(&self, max: Millis) -> Millis {
        self.random.borrow_mut().random_range(0..=max)
    }

    /// Notes a request of a caller for a service.
    pub fn record_request(&self, service: &str, now: Millis) {
        let mut state = self.state.borrow_mut();
        state.retry_budgets.entry(service.to_owned()).or_default().record_request(now);
    }

    /// Keeps away from a replica for a while.
    pub fn suspect(&self, instance: &ReplicaInstance, why: &str) {
        let now = now_millis();
        record_replica_loss(self, instance);
        let until = self.state.borrow_mut().suspects.record_failure(instance, now);
        if let Some(until) = until {
            self.request_path_check();
            send_state(self, SendScope::All);
            tracing::warn!(event = "suspect", replica = %instance, why, for_ms = until - now);
        }
    }

    /// Makes running streams look at their paths.
    pub fn request_path_check(&self) {
        self.path_check_epoch.set(self.path_check_epoch.get() + 1);
        self.path_check_notify.notify_waiters();
    }

    /// Notes that a replica was short of memory.
    pub fn record_memory_shortage(&self, instance: &ReplicaInstance) {
        let now = now_millis();
        if self.state.borrow_mut().short_of_memory.record_failure(instance, now).is_some() {
            tracing::info!(event = "replica-full", replica = %instance);
        }
    }

    /// State of a part of a running request's path.
    pub fn stage_state(&self, part: &PathStage) -> StageState {
        let state = self.state.borrow();
        let Some(replica) = state.fleet.view.get_current(&part.instance) else {
            return StageState::Lost;
        };
        if state.suspects.is_suspect(&part.instance, now_millis()) {
            return StageState::Lost;
        }
        let holds = replica
            .layers
            .is_some_and(|held| held.from <= part.range.from && part.range.to <= held.to);
        match holds && replica.state != EntryState::Draining {
            true => StageState::Serving,
            false => StageState::Leaving,
        }
    }

    /// Whether new callers are to be left to other relays, since this one can soon let no keys in.
    pub fn should_redirect_callers(&self, now: Millis) -> bool {
        let state = self.state.borrow();
        let age = state.config_lease.age(now);
        age.is_some_and(|age| state.peers.should_redirect(age, state.config_lease.is_lost(), now))
    }

    /// Notes whether new callers are left to other relays, and writes a line where that changed.
    pub fn record_redirecting(&self, aside: bool, now: Millis) {
        if self.is_redirecting.replace(aside) == aside {
            return;
        }
        let state = self.state.borrow();
        let config_age = state.config_lease.age(now);
        let (is_lost, live) = (state.config_lease.is_lost(), state.peers.live_count(now));
        match aside {
            true => {
                count(&self.counts.step_asides);
                tracing::warn!(event = "stepped-aside", config_age, is_lost, relays_heard = live);
            }
            false => {
                tracing::info!(event = "stepped-back", config_age, is_lost, relays_heard = live)
            }
        }
    }

    /// Whether the list of replicas is recent, as far as this relay can tell.
    pub fn is_fleet_fresh(&self, now: Millis) -> bool {
        self.state.borrow().fleet.is_fresh(now)
    }
}
