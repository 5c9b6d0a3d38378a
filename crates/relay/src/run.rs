//! Startup of a relay: sockets, tasks and signals.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use derive_more::{Display, Error};
use futures_util::FutureExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_core::hash::hash_bytes;
use switchfold_kernel::{
    clock::{epoch_micros, now_millis},
    metrics::MetricsError,
    shutdown::ShutdownSignal,
};
use switchfold_router::{
    Millis, allowance::AllowanceShare, connections::ConnectionTable, follow::STORE_TIMEOUT,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep},
};

use crate::{
    buffers::BodyBuffers,
    counts::{Counts, RECENT_SECONDS},
    engine_poll::poll_engines,
    engines::ReportCache,
    limits::exchange_grants,
    logs::{LineInterval, LineLimit, dropped_lines, panic_message},
    metrics::RelayMetrics,
    peers::run_gossip,
    placer::place_layers,
    pool::ConnectionPool,
    quarantine::{follow_quarantine, start::learn_quarantine, store_quarantine},
    readiness::{StartProgress, StartStep, check_readiness, watch_start},
    reload::follow_settings,
    request_end::MAX_END_LINES,
    restore::rewrite_after_restores,
    serve::{serve_callers, serve_metrics, serve_readiness},
    settings::RelaySettings,
    shutdown::ShutdownState,
    snapshot::{fetch::new_client, serve::serve_snapshots},
    state::{Relay, RelayState},
    store_calls::CountedStore,
    thread_load::ThreadLoad,
    watch::{follow_config, follow_replicas},
};

/// The reason why a relay could not start.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// An address cannot be bound.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The metrics cannot be created.
    #[display("{source}")]
    Metrics {
        /// The error of the metrics library.
        source: MetricsError,
    },
    /// The handler for SIGHUP cannot be installed.
    #[display("cannot receive signals: {source}")]
    Signals {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A permanent task panicked, after which the relay shut down.
    #[display("the task {task} panicked")]
    TaskPanicked {
        /// Name of the task.
        task: &'static str,
    },
}

/// Bound sockets of a relay.
#[derive(Debug)]
pub struct RelaySockets {
    /// Requests of callers.
    pub callers: TcpListener,
    /// Readiness checks.
    pub readiness: TcpListener,
    /// Reads of the metrics.
    pub metrics: TcpListener,
    /// Messages of other relays.
    pub peers: UdpSocket,
    /// Snapshot requests of other relays, on the same port as `peers`.
    pub snapshots: TcpListener,
    /// Age of the process when it began to bind them: the settings had been read.
    pub bound_from: Millis,
}

impl RelaySockets {
    /// Binds the addresses from the settings.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: &RelaySettings) -> Result<Self, RunError> {
        let bound_from = now_millis();
        let (peers, snapshots) = bind_peers(settings.peer_listen).await?;
        Ok(Self {
            callers: listen(settings.listen).await?,
            readiness: listen(settings.ready_listen).await?,
            metrics: listen(settings.metrics_listen).await?,
            peers,
            snapshots,
            bound_from,
        })
    }
}

/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Runs a relay until its shutdown is complete. Must be called within a `LocalSet`. If `file` is
/// the settings file, it is reloaded when it changes or SIGHUP arrives.
///
/// # Errors
///
/// Fails if the handler for SIGHUP or the metrics cannot be set up, or if a permanent task panicked.
pub async fn run_relay(
    settings: RelaySettings,
    sockets: RelaySockets,
    file: Option<PathBuf>,
    shutdown: ShutdownSignal,
) -> Result<(), RunError> {
    let settings = settings.with_ranked_name();
    let hangup = signal(SignalKind::hangup()).map_err(|source| RunError::Signals { source })?;
    tracing::info!(
        event = "started",
        name = settings.name,
        data_centre = settings.data_centre,
        listen = %settings.listen,
        platform = %settings.platform,
        version = env!("CARGO_PKG_VERSION"),
    );
    let metrics = RelayMetrics::new().map_err(|source| RunError::Metrics { source })?;
    let relay = Rc::new(new_relay(settings, sockets.peers, metrics));
    relay.start.record_at(StartStep::Settings, sockets.bound_from);
    relay.start.record(StartStep::Sockets);
    spawn_permanent(&relay, "watch_start", watch_start(relay.clone()));
    spawn_permanent(&relay, "follow_config", follow_config(relay.clone()));
    spawn_permanent(&relay, "follow_replicas", follow_replicas(relay.clone()));
    spawn_permanent(&relay, "run_gossip", run_gossip(relay.clone()));
    spawn_permanent(&relay, "serve_snapshots", serve_snapshots(relay.clone(), sockets.snapshots));
    spawn_permanent(&relay, "follow_quarantine", follow_quarantine(relay.clone()));
    spawn_permanent(&relay, "store_quarantine", store_quarantine(relay.clone()));
    spawn_permanent(&relay, "learn_quarantine", learn_quarantine(relay.clone()));
    spawn_permanent(&relay, "rewrite_after_restores", rewrite_after_restores(relay.clone()));
    spawn_permanent(&relay, "exchange_grants", exchange_grants(relay.clone()));
    spawn_permanent(&relay, "place_layers", place_layers(relay.clone()));
    spawn_permanent(&relay, "poll_engines", poll_engines(relay.clone()));
    spawn_permanent(&relay, "serve_readiness", serve_readiness(relay.clone(), sockets.readiness));
    spawn_permanent(&relay, "serve_metrics", serve_metrics(relay.clone(), sockets.metrics));
    spawn_permanent(&relay, "sweep_connections", sweep_connections(relay.clone()));
    if let Some(file) = file {
        spawn_permanent(&relay, "follow_settings", follow_settings(relay.clone(), file, hangup));
    }
    let stopping = relay.clone();
    spawn_local(async move {
        shutdown.raised().await;
        tracing::info!(event = "stopping", in_flight = stopping.shutdown.in_flight());
        stopping.shutdown.begin(stopping.bounds.borrow().grace());
    });
    serve_callers(relay.clone(), sockets.callers).await;
    tracing::info!(
        event = "stopped",
        requests = relay.counts.requests.get(),
        in_flight = relay.shutdown.in_flight(),
        connections = relay.shutdown.open_connections(),
        panicked_task = relay.shutdown.panicked_task(),
    );
    match relay.shutdown.panicked_task() {
        Some(task) => Err(RunError::TaskPanicked { task }),
        None => Ok(()),
    }
}

/// Runs a task that the relay does not serve without: if it panics, the relay shuts down as after
/// SIGTERM. It would serve on with a state that nothing updates.
fn spawn_permanent(
    relay: &Rc<Relay>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) {
    let relay = relay.clone();
    spawn_local(async move {
        let Err(payload) = AssertUnwindSafe(task).catch_unwind().await else { return };
        tracing::error!(
            event = "task-panicked",
            task = name,
            message = panic_message(&*payload),
            in_flight = relay.shutdown.in_flight(),
        );
        relay.shutdown.record_panic(name);
        relay.shutdown.begin(relay.bounds.borrow().grace());
    });
}

/// Maximum number of attempts to find a port that is free for both UDP and TCP if the settings
/// leave the choice of the port to the system.
const MAX_PORT_TRIES: usize = 16;

/// Binds the same port for UDP and TCP.
async fn bind_peers(address: SocketAddr) -> Result<(UdpSocket, TcpListener), RunError> {
    let mut tries = 0;
    loop {
        tries += 1;
        let udp = bind_when_free(address, || UdpSocket::bind(address)).await?;
        let bound = udp.local_addr().map_err(|source| RunError::Listen { address, source })?;
        if address.port() != 0 {
            return Ok((udp, listen(bound).await?));
        }
        match TcpListener::bind(bound).await {
            Ok(tcp) => return Ok((udp, tcp)),
            Err(source) if tries == MAX_PORT_TRIES => {
                return Err(RunError::Listen { address: bound, source });
            }
            Err(_) => {}
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    bind_when_free(address, || TcpListener::bind(address)).await
}

/// Time for which an address may be in use when the relay starts. An earlier process may still be
/// ending, or an outgoing connection may have taken the port.
const MAX_BIND_WAIT: Duration = Duration::from_secs(10);

/// Interval between two attempts to bind an address.
const BIND_INTERVAL: Duration = Duration::from_millis(50);

/// Binds an address, and tries again while it is in use.
async fn bind_when_free<T, F: Future<Output = io::Result<T>>>(
    address: SocketAddr,
    bind: impl Fn() -> F,
) -> Result<T, RunError> {
    let deadline = Instant::now() + MAX_BIND_WAIT;
    let mut is_first = true;
    loop {
        match bind().await {
            Ok(socket) => return Ok(socket),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                if is_first {
                    tracing::warn!(event = "address-in-use", %address);
                }
                is_first = false;
                sleep(BIND_INTERVAL).await;
            }
            Err(source) => return Err(RunError::Listen { address, source }),
        }
    }
}

fn new_relay(settings: RelaySettings, peer_socket: UdpSocket, metrics: RelayMetrics) -> Relay {
    let calls = Rc::default();
    let timeout = Duration::from_millis(STORE_TIMEOUT);
    let store = CountedStore::new(&settings.platform.to_string(), timeout, &calls);
    let seed = hash_bytes(epoch_micros(), settings.name.as_bytes());
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let allowance_share = AllowanceShare::starting_at(now_millis(), settings.first_start);
    let state = RelayState { allowance_share, ..RelayState::default() };
    let buffers = BodyBuffers::new(settings.response_pool_bytes());
    let request_buffers = BodyBuffers::new(settings.request_pool_bytes());
    let connections = RefCell::new(ConnectionTable::new(settings.max_connections()));
    Relay {
        store,
        calls,
        neighbour_client: new_client(),
        bounds: RefCell::new(settings.bounds.clone()),
        settings,
        state: RefCell::new(state),
        pool: ConnectionPool::default(),
        buffers,
        request_buffers,
        connections,
        eviction_lines: LineInterval::default(),
        reports: ReportCache::default(),
        peer_socket,
        started_at: now_millis(),
        start: StartProgress::default(),
        incarnation: random.random(),
        counts: Counts::default(),
        recent_counts: RefCell::default(),
        metrics,
        registered_era: Cell::default(),
        is_redirecting: Cell::new(false),
        shutdown: ShutdownState::default(),
        random: RefCell::new(random),
        path_check_epoch: Cell::new(0),
        path_check_notify: Notify::new(),
        capacity_notify: Notify::new(),
        capacity_freed: Cell::new(0),
        limit_notify: Notify::new(),
        loan_notify: Notify::new(),
        knows_quarantine: Cell::new(false),
        quarantine_notify: Notify::new(),
        send_notify: Notify::new(),
        pending_send: Cell::new(None),
        accept_error_lines: LineInterval::default(),
        load: ThreadLoad::default(),
        intake: RefCell::default(),
        measures_wait: Cell::default(),
        shed_lines: LineInterval::default(),
        local_error_lines: LineInterval::default(),
        dropped_datagram_lines: LineInterval::default(),
        missing_path_lines: LineInterval::default(),
        end_lines: LineLimit::new(MAX_END_LINES),
        caller_end_lines: LineLimit::new(MAX_END_LINES),
        gossip_plan: RefCell::default(),
    }
}

/// Closes expired idle connections, checks the readiness, and logs the counters at regular intervals.
/// Never returns.
async fn sweep_connections(relay: Rc<Relay>) {
    let mut sweeps: u32 = 0;
    loop {
        sleep(SWEEP_INTERVAL).await;
        relay.pool.close_expired();
        relay.state.borrow_mut().route_times.remove_expired(now_millis());
        relay.recent_counts.borrow_mut().record(&relay.counts);
        check_readiness(&relay);
        sweeps += 1;
        if sweeps.is_multiple_of(SWEEPS_PER_FIGURES) {
            log_figures(&relay);
        }
    }
}

/// Number of sweeps after which the counters are logged.
const SWEEPS_PER_FIGURES: u32 = RECENT_SECONDS as u32;

fn log_figures(relay: &Relay) {
    let Counts {
        accepted,
        accept_errors,
        shed_connections,
        evicted_connections,
        requests,
        answered,
        refused,
        failed,
        lost_runs,
        stopped_requests,
        malformed_parts,
        quarantined,
        backoffs_asked,
        held_back,
        early_refusals,
        promised_returns,
        returns_refused,
        leaving_told,
        limits_changed,
        grants_asked,
        grants_issued,
        grants_spent,
        retries_charged,
        loans_received,
        retries_denied,
        repeats,
        repaths,
        moves_refused,
        moves_delayed,
        resumes,
        step_asides,
        orders,
        snapshots_asked,
        snapshots_told,
        bad_snapshots,
        older_news,
        states_told,
        states_heard,
        bad_datagrams,
        older_states,
        returned,
        restarted,
        odd_entries,
        store_copies,
        passed_changes,
    } = &relay.counts;
    let recent = relay.recent_counts.borrow();
    let load = relay.load.take_figures();
    tracing::info!(
        event = "figures",
        accepted = accepted.get(),
        accept_errors = accept_errors.get(),
        shed_connections = shed_connections.get(),
        evicted_connections = evicted_connections.get(),
        intake_limit = relay.intake.borrow().limit(),
        open_connections = relay.shutdown.open_connections(),
        longest_turn_ms = load.longest_turn,
        mean_wait_ms = load.mean_wait,
        busy_percent = load.busy_percent,
        requests = requests.get(),
        answered = answered.get(),
        refused = refused.get(),
        failed = failed.get(),
        answered_by_second = recent.by_second(|second| second.answered),
        refused_by_second = recent.by_second(|second| second.refused),
        failed_by_second = recent.by_second(|second| second.failed),
        lost_runs = lost_runs.get(),
        stopped_requests = stopped_requests.get(),
        malformed_parts = malformed_parts.get(),
        quarantined = quarantined.get(),
        backoffs_asked = backoffs_asked.get(),
        held_back = held_back.get(),
        early_refusals = early_refusals.get(),
        promised_returns = promised_returns.get(),
        returns_refused = returns_refused.get(),
        leaving_told = leaving_told.get(),
        limits_changed = limits_changed.get(),
        grants_asked = grants_asked.get(),
        grants_issued = grants_issued.get(),
        grants_spent = grants_spent.get(),
        retries_charged = retries_charged.get(),
        loans_received = loans_received.get(),
        retries_denied = retries_denied.get(),
        repeats = repeats.get(),
        repaths = repaths.get(),
        moves_refused = moves_refused.get(),
        moves_delayed = moves_delayed.get(),
        resumes = resumes.get(),
        step_asides = step_asides.get(),
        orders = orders.get(),
        store_calls = relay.calls.total(),
        store_calls_by = %relay.calls,
        snapshots_asked = snapshots_asked.get(),
        snapshots_told = snapshots_told.get(),
        bad_snapshots = bad_snapshots.get(),
        older_news = older_news.get(),
        states_told = states_told.get(),
        states_heard = states_heard.get(),
        bad_datagrams = bad_datagrams.get(),
        older_states = older_states.get(),
        returned = returned.get(),
        restarted = restarted.get(),
        odd_entries = odd_entries.get(),
        store_copies = store_copies.get(),
        passed_changes = passed_changes.get(),
        in_flight = relay.shutdown.in_flight(),
        idle_links = relay.pool.idle_count(),
        replicas = relay.state.borrow().fleet.view.len(),
        lines_left_out = dropped_lines(),
    );
}
