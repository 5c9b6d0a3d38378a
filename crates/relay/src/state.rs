//! State of a relay, shared by its tasks.
//!
//! A relay runs on one thread. What it knows is in one [`RefCell`], which is borrowed for the
//! length of a decision and never across an `await`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::{clock::now_millis, http::HttpClient};
use switchfold_router::{
    Millis,
    allowance::AllowanceShare,
    backoff::BackoffTable,
    bandwidth::BandwidthShare,
    budget::RetryBudget,
    caller_limits::LimitHistory,
    clocks::PeerClocks,
    connections::ConnectionTable,
    fleet::EntryState,
    freshness::FreshnessLease,
    grants::{HeldGrants, RetrySchedule},
    instance::ReplicaInstance,
    intake::IntakeLimit,
    issuer::GrantIssuer,
    limits::LimitTable,
    loans::LoanRequests,
    membership::{GossipPlan, PeerTable},
    moves::MoveLimiter,
    path::PathStage,
    quarantine::QuarantineTable,
    replicas::{FleetTracker, ForeignEntries},
    reservations::{FullReplicas, ReservationLedger},
    routing::{CallerLimits, ConfigSlot, RoutingConfig},
    slowdown::SlowdownTable,
    stall::StallDetector,
    stops::RouteTimes,
    suspect::SuspectList,
};
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    admission::ServiceAdmission,
    buffers::BodyBuffers,
    counts::{Counts, RecentCounts, count},
    engines::ReportCache,
    gossip::{SendScope, send_state},
    logs::{LineInterval, LineLimit},
    metrics::RelayMetrics,
    plain::ServiceLoads,
    pool::{ConnectionPool, SendError},
    quarantine::record_crash,
    readiness::StartProgress,
    registry::PeerAddress,
    settings::{BoundSettings, RelaySettings},
    shutdown::ShutdownState,
    store_calls::{CallTally, CountedStore},
    thread_load::ThreadLoad,
};

/// What a relay knows: its configuration, the replicas, the other relays, and figures about them.
///
/// All of it was read or received at some time and may be outdated.
#[derive(Debug, Default)]
pub struct RelayState {
    /// Configuration in force.
    pub config: ConfigSlot<Rc<RoutingConfig>>,
    /// Lease on the configuration, renewed by reads of the store and proofs of other relays.
    pub config_lease: FreshnessLease,
    /// Whether the configuration in force cannot be confirmed: the newest one could not be decoded,
    /// or the store holds an older one since it was restored from a backup.
    pub config_unconfirmed: bool,
    /// Limits of callers by the versions that they may go by.
    pub caller_limits: LimitHistory,
    /// Object of the configuration in force, for snapshots to neighbours.
    pub config_object: Option<ConfigObject>,
    /// Relays that have an object in the store, as last listed by this relay or a neighbour.
    pub listed_relays: Option<BTreeMap<String, PeerAddress>>,
    /// Replicas as the store lists them.
    pub fleet: FleetTracker,
    /// Entries that were not written by their replicas.
    pub foreign_entries: ForeignEntries,
    /// Reserved memory at each replica, in tokens times layers.
    pub memory_reservations: ReservationLedger,
    /// Running requests, by the first replica of their path.
    pub slot_reservations: ReservationLedger,
    /// First replicas that recently had no free slot.
    pub full_replicas: FullReplicas,
    /// Replicas that recently rejected a request as a stage of its path.
    pub full_stages: FullReplicas,
    /// Replicas that asked this relay for a backoff.
    pub backoffs: BackoffTable,
    /// Rate limits that replicas reported.
    pub limits: LimitTable,
    /// Grants to send requests to replicas with limits.
    pub grants: HeldGrants,
    /// Issuer of grants for the limits that this relay coordinates.
    pub issuer: GrantIssuer,
    /// Retry times assigned to refused callers, by service.
    pub retry_schedules: HashMap<String, RetrySchedule>,
    /// Clocks of the other relays.
    pub clocks: PeerClocks,
    /// Slowdown of each engine.
    pub slowdowns: SlowdownTable,
    /// This relay's share of the bandwidth between data centres.
    pub bandwidth: BandwidthShare,
    /// Replicas that are avoided after failures.
    pub suspects: SuspectList,
    /// Detects first replicas that accept requests but start no responses.
    pub stalls: StallDetector,
    /// Replicas that were recently short of memory.
    pub short_of_memory: SuspectList,
    /// Moves of running streams to other paths, at ranked services.
    pub moves: MoveLimiter,
    /// Requests that are suspected of ending the replicas that run them.
    pub quarantine: QuarantineTable,
    /// Share of the retry allowances that this relay holds.
    pub allowance_share: AllowanceShare,
    /// Budget of retries, by service.
    pub retry_budgets: HashMap<String, RetryBudget>,
    /// Requests to other relays for loans of retries, by service.
    pub loan_requests: HashMap<String, LoanRequests>,
    /// Load of the replicas of plain services.
    pub service_loads: ServiceLoads,
    /// Response times of the routes to plain services.
    pub route_times: RouteTimes,
    /// Admission of streams to ranked services, by service.
    pub admissions: HashMap<String, ServiceAdmission>,
    /// The other relays.
    pub peers: PeerTable,
}

impl RelayState {
    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.get().map_or(0, |config| config.version)
    }

    /// Returns whether the configuration and the replicas are known.
    pub fn has_objects(&self, now: Millis) -> bool {
        self.config.get().is_some() && self.has_replicas(now)
    }

    /// Returns whether the replicas are known. An empty list counts unless another relay has a
    /// longer one: a relay that refuses requests at once serves callers better than none.
    pub fn has_replicas(&self, now: Millis) -> bool {
        let has_list = !self.fleet.has_no_list();
        has_list && (!self.fleet.view.is_empty() || !self.peers.has_replicas(now))
    }

    /// Returns the milliseconds until a request of a rank may be sent to a replica, by the
    /// replica's backoff and rate limit, or `None` if it may be sent now.
    pub fn send_wait(&self, instance: &ReplicaInstance, rank: u8, now: Millis) -> Option<Millis> {
        let backoff = self.backoffs.remaining(instance, now);
        backoff.max(self.limit_wait(instance, rank, now))
    }

    /// Returns the milliseconds until a grant for a request of a rank, or `None` if the replica has
    /// no limit or a grant is available.
    pub fn limit_wait(&self, instance: &ReplicaInstance, rank: u8, now: Millis) -> Option<Millis> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.limit(instance.id())?;
        self.grants.wait(instance.id(), rank, now)
    }
}

/// The configuration as the store holds it.
#[derive(Clone, Debug)]
pub struct ConfigObject {
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of the store up to which it is known to be current.
    pub at: u64,
    /// Its spec as JSON.
    pub spec: Bytes,
}

/// State of a stage of a running request's path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StageState {
    /// It can serve the request.
    Serving,
    /// It serves the request for some more time: it is draining, or will hold other layers.
    Leaving,
    /// It is no longer listed, or suspected.
    Lost,
}

/// A relay process: its settings, state, connections and metrics.
#[derive(Debug)]
pub struct Relay {
    /// Settings as of the start.
    pub settings: RelaySettings,
    /// Bounds in force; a reload can change them.
    pub bounds: RefCell<BoundSettings>,
    /// What the relay knows.
    pub state: RefCell<RelayState>,
    /// Connections to replicas.
    pub pool: ConnectionPool,
    /// Memory for buffered responses.
    pub buffers: BodyBuffers,
    /// Memory for the bodies of requests, until their responses are known.
    pub request_buffers: BodyBuffers,
    /// Latest status reports of engines.
    pub reports: ReportCache,
    /// Client of the platform's object store.
    pub store: CountedStore,
    /// Counts of all calls to the store, by any client.
    pub calls: Rc<CallTally>,
    /// Client for requests to neighbours.
    pub neighbour_client: HttpClient,
    /// Time of its start.
    pub started_at: Millis,
    /// Steps that the start has reached.
    pub start: StartProgress,
    /// Random number of this run of the process, which distinguishes its stamps from those of
    /// earlier runs.
    pub incarnation: u32,
    /// Socket for messages to and from the other relays.
    pub peer_socket: UdpSocket,
    /// Counters.
    pub counts: Counts,
    /// Ended requests of each of the last seconds.
    pub recent_counts: RefCell<RecentCounts>,
    /// Histograms, and the contents of the metrics address.
    pub metrics: RelayMetrics,
    /// Open connections of callers.
    pub connections: RefCell<ConnectionTable<Rc<Notify>>>,
    /// Limit of the lines about connections that were closed for new ones.
    pub eviction_lines: LineInterval,
    /// Era of the store in which it was last known to hold this relay's object.
    pub registered_era: Cell<Option<u64>>,
    /// Whether new callers were redirected to other relays at the last readiness check.
    pub is_redirecting: Cell<bool>,
    /// State of the graceful shutdown.
    pub shutdown: ShutdownState,
    /// Generator for weighted choices and jitter.
    pub random: RefCell<ChaCha8Rng>,
    /// Incremented whenever running streams should check their paths, as when a replica is lost.
    pub path_check_epoch: Cell<u64>,
    /// Wakes running streams when `path_check_epoch` changes.
    pub path_check_notify: Notify,
    /// Wakes the requests that wait for capacity.
    pub capacity_notify: Notify,
    /// Number of times that it was notified.
    pub capacity_freed: Cell<u64>,
    /// Wakes the task that requests and issues grants.
    pub limit_notify: Notify,
    /// Wakes the retries that wait for a loan.
    pub loan_notify: Notify,
    /// Whether the quarantined requests have been learned since the start.
    pub knows_quarantine: Cell<bool>,
    /// Wakes the task that writes quarantined requests to the store.
    pub quarantine_notify: Notify,
    /// Wakes the task that sends state to the other relays.
    pub send_notify: Notify,
    /// Relays that it should send state to before the next round.
    pub pending_send: Cell<Option<SendScope>>,
    /// Limit of the lines about connections that could not be accepted.
    pub accept_error_lines: LineInterval,
    /// Load of the thread since the last line of figures.
    pub load: ThreadLoad,
    /// Limit of the requests that are served at once.
    pub intake: RefCell<IntakeLimit>,
    /// Whether a task measures how long due tasks wait.
    pub measures_wait: Cell<bool>,
    /// Limit of the lines about connections that were closed unread.
    pub shed_lines: LineInterval,
    /// Limit of the lines about connections to replicas that this process could not open.
    pub local_error_lines: LineInterval,
    /// Limit of the lines about dropped datagrams.
    pub dropped_datagram_lines: LineInterval,
    /// Limit of the lines about requests without a path.
    pub missing_path_lines: LineInterval,
    /// Limit of the lines about requests that ended without a complete response or a refusal.
    pub end_lines: LineLimit,
    /// Limit of the lines about connections that callers ended or that failed, and their requests.
    pub caller_end_lines: LineLimit,
    /// Relays that this one sends its state to.
    pub gossip_plan: RefCell<GossipPlan>,
}

impl Relay {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Rc<RoutingConfig>> {
        self.state.borrow().config.get().cloned()
    }

    /// Returns the replica that is listed at an address.
    pub fn instance_at(&self, address: SocketAddr) -> Option<ReplicaInstance> {
        let state = self.state.borrow();
        state.fleet.view.at_address(address).map(|replica| replica.instance.clone())
    }

    /// Returns the limits of a wait for a caller that began at `since`.
    pub fn caller_limits(&self, since: Millis) -> CallerLimits {
        let apply_time = self.bounds.borrow().config_apply();
        self.state.borrow().caller_limits.largest_since(since, apply_time)
    }

    /// Records how long the task of a new connection waited for the thread.
    pub fn record_wait(&self, waited: Duration) {
        self.load.record_wait(waited);
        let waited = waited.as_millis() as Millis;
        self.intake.borrow_mut().record_wait(waited, self.shutdown.load(), now_millis());
    }

    /// Returns a random time of up to `max` milliseconds.
    pub fn random_delay(&self, max: Millis) -> Millis {
        self.random.borrow_mut().random_range(0..=max)
    }

    /// Wakes the requests that wait for memory or slots.
    pub fn notify_capacity(&self) {
        self.capacity_freed.update(|count| count + 1);
        self.capacity_notify.notify_waiters();
    }

    /// Records that no connection to a replica could be opened, and avoids it. Only a refused
    /// connection shows that the replica has crashed; without any response it may be well. One that this
    /// process has no descriptor for says nothing of the replica.
    pub fn record_unreachable(&self, instance: &ReplicaInstance, error: &SendError) {
        if error.is_local() {
            if self.local_error_lines.admit(now_millis()) {
                tracing::warn!(event = "connection-unopened", replica = %instance, %error);
            }
            return;
        }
        if error.is_refused() {
            record_crash(self, instance);
        }
        self.avoid(instance, &error.to_string());
    }

    /// Records a failure of a replica, which may still be running. If the replica becomes suspected,
    /// sends that to the other relays; `why` is logged.
    pub fn avoid(&self, instance: &ReplicaInstance, why: &str) {
        let now = now_millis();
        let until = self.state.borrow_mut().suspects.record_failure(instance, now);
        if let Some(until) = until {
            self.request_path_check();
            send_state(self, SendScope::All);
            tracing::warn!(event = "suspect", replica = %instance, why, for_ms = until - now);
        }
    }

    /// Makes running streams check their paths.
    pub fn request_path_check(&self) {
        self.path_check_epoch.set(self.path_check_epoch.get() + 1);
        self.path_check_notify.notify_waiters();
    }

    /// Records that a replica was short of memory.
    pub fn record_memory_shortage(&self, instance: &ReplicaInstance) {
        let now = now_millis();
        if self.state.borrow_mut().short_of_memory.record_failure(instance, now).is_some() {
            tracing::info!(event = "replica-full", replica = %instance);
        }
    }

    /// Returns the state of a stage of a running request's path.
    pub fn stage_state(&self, stage: &PathStage) -> StageState {
        let state = self.state.borrow();
        let Some(replica) = state.fleet.view.get_current(&stage.instance) else {
            return StageState::Lost;
        };
        if state.suspects.is_suspect(&stage.instance, now_millis()) {
            return StageState::Lost;
        }
        let holds = replica
            .layers
            .is_some_and(|held| held.from <= stage.range.from && stage.range.to <= held.to);
        match holds && replica.state != EntryState::Draining {
            true => StageState::Serving,
            false => StageState::Leaving,
        }
    }

    /// Returns whether new callers should be redirected to other relays, since the configuration
    /// here is so old that this relay will soon have to refuse all keys.
    pub fn should_redirect_callers(&self, now: Millis) -> bool {
        let state = self.state.borrow();
        let age = state.config_lease.age(now);
        age.is_some_and(|age| state.peers.should_redirect(age, state.config_lease.is_lost(), now))
    }

    /// Records whether new callers are redirected to other relays, and logs changes.
    pub fn record_redirecting(&self, redirects: bool, now: Millis) {
        if self.is_redirecting.replace(redirects) == redirects {
            return;
        }
        let state = self.state.borrow();
        let config_age = state.config_lease.age(now);
        let (is_lost, live) = (state.config_lease.is_lost(), state.peers.live_count(now));
        match redirects {
            true => {
                count(&self.counts.step_asides);
                tracing::warn!(event = "stepped-aside", config_age, is_lost, relays_heard = live);
            }
            false => {
                tracing::info!(event = "stepped-back", config_age, is_lost, relays_heard = live)
            }
        }
    }

    /// Returns whether the list of replicas is recent, as far as this relay knows.
    pub fn is_fleet_fresh(&self, now: Millis) -> bool {
        self.state.borrow().fleet.is_fresh(now)
    }
}
