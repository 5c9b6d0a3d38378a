//! Startup and shutdown of an entry.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::id::process_incarnation;
use switchfold_kernel::{
    clock::{epoch_micros, epoch_millis},
    http::{HttpLimits, serve},
    registry::{RegistryError, ServiceRegistry},
    shutdown::ShutdownSignal,
};
use switchfold_link::bind_incoming;
use switchfold_proto::{link::Assignment, peer::peer_server::PeerServer as PeerGrpcServer};
use switchfold_store::{StoreClient, StoreConfig};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::{JoinHandle, JoinSet},
};
use xtra::{Address, Mailbox};

use crate::{
    EntryError,
    claims::{CLAIMS, ClaimService},
    commands::CommandContext,
    config::{
        CONFIG, ConfigService, ConfigView, PeerDirectory, PeerServer, WatcherSelection,
        exchange_digests, poll_vm_list, push_changes, watch_config,
    },
    dispatch::DispatchConfig,
    links::LinkIdentity,
    metrics::EntryMetrics,
    service::{
        DISPATCH, DispatchService, DispatchTick, PlannedAssignment, SetAddress, SetMembership,
        dispatch_seed,
    },
    settings::EntrySettings,
    web::{RateLimits, WebContext},
};

/// Time after which a call to the store fails.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between checks of deadlines and stalls.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest message between entries, in bytes. A message may hold the whole configuration.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Listening sockets of an entry, bound before it starts.
#[derive(Debug)]
pub struct EntrySockets {
    /// Socket for callers and operators.
    pub web: TcpListener,
    /// Socket for other entries.
    pub peer: TcpListener,
}

/// Addresses of the services of one entry.
struct EntryServices {
    dispatch: Address<DispatchService>,
    config: Address<ConfigService>,
    claims: Address<ClaimService>,
}

/// Runs an entry until `shutdown` is raised and all requests in flight have finished.
///
/// # Errors
///
/// Returns an error if a service, a server or the metrics cannot be set up, or the server for other
/// entries fails.
pub async fn run_entry(
    settings: EntrySettings,
    sockets: EntrySockets,
    shutdown: ShutdownSignal,
) -> Result<(), EntryError> {
    let settings = Arc::new(settings);
    let metrics = Arc::new(EntryMetrics::new().map_err(|source| EntryError::Metrics { source })?);
    let store = StoreClient::new(StoreConfig {
        address: settings.platform.clone(),
        timeout: STORE_TIMEOUT,
        process: settings.name.clone(),
    });
    let (view_sender, view) = watch::channel(Arc::new(ConfigView::default()));
    let (contact_sender, last_contact) = watch::channel(0);
    let (push_sender, pushes) = mpsc::unbounded_channel();

    let config = ConfigService::new(&settings.name, view_sender, push_sender, contact_sender);
    let services = EntryServices {
        dispatch: start_dispatch(&settings, Arc::clone(&metrics)).await,
        config: xtra::spawn_tokio(config, Mailbox::unbounded()),
        claims: xtra::spawn_tokio(ClaimService::new(store.clone()), Mailbox::unbounded()),
    };
    let registry = ServiceRegistry::new();
    register(&registry, &services).map_err(|source| EntryError::Registry { source })?;

    let directory = PeerDirectory::new(
        &settings.name,
        &settings.cluster_token,
        settings.peers.clone(),
        view.clone(),
    );
    let selection = WatcherSelection {
        process: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        view: view.clone(),
    };
    let rng = ChaCha8Rng::seed_from_u64(dispatch_seed(&settings.name, epoch_micros()));
    let mut tasks = JoinSet::new();
    tasks.spawn(watch_config(store.clone(), selection.clone(), services.config.clone()));
    tasks.spawn(poll_vm_list(store.clone(), selection, services.config.clone()));
    tasks.spawn(push_changes(directory.clone(), pushes));
    tasks.spawn(exchange_digests(directory.clone(), services.config.clone(), rng));
    tasks.spawn(follow_membership(view.clone(), services.dispatch.clone()));
    tasks.spawn(tick(services.dispatch.clone()));

    let in_flight = ShutdownSignal::new();
    let commands = CommandContext {
        process: settings.name.clone(),
        store,
        view: view.clone(),
        config: services.config.clone(),
        dispatch: services.dispatch.clone(),
        directory: directory.clone(),
    };
    let context = WebContext {
        settings: Arc::clone(&settings),
        dispatch: services.dispatch.clone(),
        claims: services.claims.clone(),
        commands,
        view,
        directory,
        metrics,
        limits: Arc::new(RateLimits::default()),
        shutdown: shutdown.clone(),
        in_flight: in_flight.clone(),
        last_contact,
    };
    let limits = HttpLimits { max_connections: settings.connections, ..HttpLimits::default() };
    let handler = move |request| context.clone().respond(request);
    let web = tokio::spawn(serve(sockets.web, limits, shutdown.clone(), handler));

    let peers = PeerServer::new(
        &settings.cluster_token,
        services.config.clone(),
        services.dispatch.clone(),
        services.claims.clone(),
    );
    let peers = PeerGrpcServer::new(peers)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = tonic::transport::Server::builder().add_service(peers);
    tokio::select! {
        served = server.serve_with_incoming(bind_incoming(sockets.peer)) => {
            served.map_err(|source| EntryError::Server { source })
        }
        () = wait_for_shutdown(&shutdown, &in_flight, web) => Ok(()),
    }
}

fn register(registry: &ServiceRegistry, services: &EntryServices) -> Result<(), RegistryError> {
    registry.register(DISPATCH, services.dispatch.clone())?;
    registry.register(CONFIG, services.config.clone())?;
    registry.register(CLAIMS, services.claims.clone())
}

async fn start_dispatch(
    settings: &EntrySettings,
    metrics: Arc<EntryMetrics>,
) -> Address<DispatchService> {
    let incarnation = process_incarnation(&settings.name, epoch_millis());
    let mut config = DispatchConfig::new(&settings.name, incarnation, settings.models.clone());
    config.policy = settings.policy;
    config.stall_timeout = settings.stall_ms;
    config.agent_timeout = settings.silence_ms;
    config.idle_agent_timeout = config.idle_agent_timeout.max(settings.silence_ms);
    config.seed = dispatch_seed(&settings.name, incarnation);
    let identity = LinkIdentity {
        process: settings.name.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        token: settings.cluster_token.clone(),
    };
    let service = DispatchService::new(config, identity, settings.agent_links, metrics);
    let dispatch = xtra::spawn_tokio(service, Mailbox::unbounded());
    let _just_started = dispatch.send(SetAddress(dispatch.downgrade())).await;
    dispatch
}

async fn tick(dispatch: Address<DispatchService>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        if dispatch.send(DispatchTick).await.is_err() {
            return;
        }
    }
}

/// Sends the list of VMs, the drained VMs and the plans to the dispatch service whenever they
/// change.
async fn follow_membership(
    mut view: watch::Receiver<Arc<ConfigView>>,
    dispatch: Address<DispatchService>,
) {
    loop {
        let current: Arc<ConfigView> = view.borrow_and_update().clone();
        let membership = SetMembership {
            vms: current.vms.vms.clone(),
            draining: current.draining.iter().cloned().collect::<BTreeSet<String>>(),
            plan: planned_assignments(&current),
        };
        if dispatch.send(membership).await.is_err() || view.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the assignments of all plans, one for each VM of a plan.
fn planned_assignments(view: &ConfigView) -> Vec<PlannedAssignment> {
    let plans = view.plans.iter();
    let entries =
        plans.flat_map(|plan| plan.stored.plan.entries.iter().map(move |entry| (plan, entry)));
    let assignments = entries.map(|(plan, entry)| PlannedAssignment {
        vm: entry.vm.clone(),
        assignment: Assignment {
            plan_version: plan.version,
            model: plan.stored.model.clone(),
            first_layer: entry.layers.first(),
            end_layer: entry.layers.end(),
        },
    });
    assignments.collect()
}

/// Waits for the signal, then until every request in flight has ended and its response was sent.
async fn wait_for_shutdown(
    shutdown: &ShutdownSignal,
    in_flight: &ShutdownSignal,
    web: JoinHandle<()>,
) {
    shutdown.raised().await;
    log::info!("state=stopping in_flight={}", in_flight.pending());
    in_flight.drained().await;
    // The server ends once the last response has been sent.
    let _server_has_ended = web.await;
}
