//! Start and graceful shutdown of an agent.

use std::time::Duration;

use switchfold_core::{hash::hash_bytes, id::process_incarnation};
use switchfold_kernel::{clock::epoch_millis, registry::ServiceRegistry, shutdown::ShutdownSignal};
use switchfold_link::{LinkAcceptor, bind_incoming};
use switchfold_proto::link::link_server::LinkServer;
use tokio::{net::TcpListener, time::sleep};
use xtra::{Address, Mailbox};

use crate::{
    AgentError,
    admin::serve_admin,
    calls::ServiceCaller,
    engine::{describe_engine, maintain_engine_stream},
    gate::{GateConfig, GateEndpoint},
    links::{StageConnector, TaskGroup, read_link},
    service::{BeginDrain, GATE, GateService, GateTick, SetAddress},
    settings::AgentSettings,
};

/// Number of attempts to reach the engine at the start before the agent fails.
const MAX_CONNECT_ATTEMPTS: u32 = 50;

/// Time between attempts to reach the engine at the start.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Listening sockets of an agent, bound before it starts.
#[derive(Debug)]
pub struct AgentSockets {
    /// Socket for links from entries and other agents.
    pub link: TcpListener,
    /// Socket for `/healthz` and `/metrics`; they are not served without it.
    pub admin: Option<TcpListener>,
}

/// Runs an agent until the signal is raised and the requests in flight have finished.
///
/// # Errors
///
/// Returns an error if the engine cannot be reached at the start, or if the link server fails.
pub async fn run_agent(
    settings: AgentSettings,
    sockets: AgentSockets,
    shutdown: ShutdownSignal,
) -> Result<(), AgentError> {
    let endpoint = describe_endpoint(&settings).await?;
    let incarnation = process_incarnation(&settings.name, epoch_millis());
    let registry = ServiceRegistry::new();
    let gate = start_gate(&settings, endpoint, incarnation).await;
    registry.register(GATE, gate.clone()).map_err(|source| AgentError::Registry { source })?;

    let mut tasks = TaskGroup::default();
    if let Some(address) = settings.engine.clone() {
        let seed = hash_bytes(incarnation, settings.name.as_bytes());
        tasks.spawn(maintain_engine_stream(address, seed, gate.clone()));
    }
    tasks.spawn(tick(Duration::from_millis(settings.offer_ms), gate.clone()));
    if let Some(listener) = sockets.admin {
        tasks.spawn(serve_admin(listener, gate.clone(), shutdown.clone()));
    }
    let reader = gate.clone();
    let acceptor = LinkAcceptor::new(&settings.cluster_token, move |link| {
        tokio::spawn(read_link(link, reader.clone()));
    });
    let server = tonic::transport::Server::builder()
        .initial_stream_window_size(1 << 20)
        .initial_connection_window_size(1 << 20)
        .add_service(LinkServer::new(acceptor))
        .serve_with_incoming(bind_incoming(sockets.link));
    tokio::select! {
        served = server => served.map_err(|source| AgentError::Server { source }),
        () = drain(&gate, &shutdown) => Ok(()),
    }
}

/// Returns the properties of the endpoint. Those of an engine are requested from it, with several
/// attempts if it cannot be reached.
async fn describe_endpoint(settings: &AgentSettings) -> Result<GateEndpoint, AgentError> {
    if let Some(service) = &settings.service {
        return Ok(GateEndpoint::Service { name: service.name.clone(), slots: service.slots });
    }
    let address = settings.engine.as_deref().unwrap_or_default();
    let mut attempts = 0;
    loop {
        attempts += 1;
        match describe_engine(address).await {
            Ok((_, endpoint)) => return Ok(endpoint),
            Err(error) if attempts >= MAX_CONNECT_ATTEMPTS => return Err(error),
            Err(_) => sleep(CONNECT_RETRY_INTERVAL).await,
        }
    }
}

/// Starts the gate's actor and returns its address.
async fn start_gate(
    settings: &AgentSettings,
    endpoint: GateEndpoint,
    incarnation: u64,
) -> Address<GateService> {
    let config = GateConfig {
        process: settings.name.clone(),
        incarnation,
        address: settings.listen.clone(),
        data_centre: settings.data_centre.clone(),
        endpoint,
        reserve_hundredths: settings.reserve_hundredths,
        target_hundredths: settings.target_hundredths,
        log_bytes: settings.log_bytes,
        ledger_capacity: settings.ledger,
    };
    let connector = StageConnector {
        token: settings.cluster_token.clone(),
        process: settings.name.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
    };
    let caller = settings.service.as_ref().map(|service| {
        ServiceCaller::new(service.address.clone(), Duration::from_millis(service.call_ms))
    });
    let gate = xtra::spawn_tokio(GateService::new(config, caller, connector), Mailbox::unbounded());
    let _just_started = gate.send(SetAddress(gate.clone())).await;
    gate
}

async fn tick(interval: Duration, gate: Address<GateService>) {
    let mut ticks = tokio::time::interval(interval);
    loop {
        ticks.tick().await;
        if gate.send(GateTick).await.is_err() {
            return;
        }
    }
}

/// Time for which a drained agent continues to refuse requests. A request that an entry sent to an
/// earlier stage before it saw the drain may still arrive here, and its entry must learn that it
/// did not run.
const DRAIN_LINGER: Duration = Duration::from_secs(1);

/// Waits for the signal, then until nothing is in flight and every entry has acknowledged the
/// drain.
async fn drain(gate: &Address<GateService>, shutdown: &ShutdownSignal) {
    shutdown.raised().await;
    let work = ShutdownSignal::new();
    if gate.send(BeginDrain(work.guard())).await.is_ok() {
        work.drained().await;
    }
    sleep(DRAIN_LINGER).await;
}
