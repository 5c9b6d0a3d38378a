//! A deployment that runs in this process.

use std::{collections::BTreeMap, net::TcpListener as StdListener, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, StatusCode};
use http_body_util::Full;
use sha2::{Digest, Sha256};
use switchfold_agent::{
    AgentSockets, run_agent,
    settings::{AgentSettings, ServiceSettings},
};
use switchfold_core::config::{
    OrganisationConfig, OrganisationShard, event_key, organisation_key, render_object,
};
use switchfold_entry::{EntrySockets, commands::ResultTable, run_entry, settings::EntrySettings};
use switchfold_kernel::{
    http::{CallError, FullResponse, HttpClient},
    shutdown::ShutdownSignal,
};
use switchfold_standin::{
    engine::{EngineStandin, RunLog},
    platform::PlatformStandin,
    service::ServiceStandin,
};
use switchfold_store::{VmEntry, VmRole, VmState};
use tokio::{net::TcpListener, time::sleep};

use crate::{
    profile::{EngineVm, LocalProfile, ServiceVm},
    vm::LocalVm,
};

/// Token with which the processes of a local deployment authenticate to each other.
const CLUSTER_TOKEN: &str = "local-cluster-token";

/// Bearer token of the operator of a local deployment.
pub const OPERATOR_TOKEN: &str = "local-operator";

/// Number of readiness checks before the start of a deployment fails.
const START_ATTEMPTS: u32 = 200;

/// Interval between two readiness checks.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Error of starting or controlling a local deployment.
#[derive(Debug, Display, Error)]
pub enum ClusterError {
    /// The operating system could not provide a socket, runtime or thread.
    #[display("I/O error: {source}")]
    Io {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Some entry did not see all replicas within the start timeout.
    #[display("deployment not ready after {waited_ms} ms: {detail}")]
    NotReady {
        /// Milliseconds that were waited.
        waited_ms: u128,
        /// For each entry that is not ready, the replicas that it sees or its error.
        detail: String,
    },
    /// No VM has this name.
    #[display("unknown VM {name:?}")]
    UnknownVm {
        /// Name that was requested.
        name: String,
    },
    /// The call of an entry failed.
    #[display("call of the entry failed: {source}")]
    Call {
        /// Cause of the failure.
        source: CallError,
    },
    /// An entry refused a statement.
    #[display("statement refused with {status}: {body}")]
    Refused {
        /// Status code.
        status: StatusCode,
        /// Body of the response, which holds the reason.
        body: String,
    },
}

impl From<std::io::Error> for ClusterError {
    fn from(source: std::io::Error) -> Self {
        Self::Io { source }
    }
}

/// Access to a running stand-in engine from outside its VM.
#[derive(Debug)]
pub struct EngineHandle {
    /// The engine, to slow it down.
    pub engine: EngineStandin,
    /// Counters of the steps that it ran.
    pub log: Arc<RunLog>,
    /// Configuration from which its VM was started.
    pub spec: EngineVm,
}

/// Name and address of a running entry.
#[derive(Clone, Debug)]
pub struct EntryHandle {
    /// Name of the entry, which is also the name of its VM.
    pub name: String,
    /// HTTP address for callers and operators.
    pub web: String,
}

/// A deployment that runs in this process; dropping it kills all its VMs.
#[derive(Debug)]
pub struct LocalCluster {
    /// Stand-in for the platform, to inject faults and to change the VM list.
    pub platform: PlatformStandin,
    /// Services by name of their VM.
    pub services: BTreeMap<String, ServiceStandin>,
    /// Engines by name of their VM; those of killed VMs stay in the map for their run logs.
    pub engines: BTreeMap<String, EngineHandle>,
    /// Entries, in the order of their start; killed entries are removed.
    pub entries: Vec<EntryHandle>,
    /// Bearer token of each organisation, indexed by its number.
    pub tokens: Vec<String>,
    vms: BTreeMap<String, LocalVm>,
    platform_address: String,
    peer_addresses: Vec<String>,
    profile: LocalProfile,
    http: HttpClient,
    _platform_vm: LocalVm,
}

fn sha256_hex(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bind_loopback() -> std::io::Result<(StdListener, String)> {
    let listener = StdListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?.to_string();
    Ok((listener, address))
}

impl LocalCluster {
    /// Starts a deployment and waits until every entry is ready and sees every replica.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Io`] if a socket or thread cannot be created, and
    /// [`ClusterError::NotReady`] if the deployment is not ready in time.
    pub async fn start(profile: LocalProfile) -> Result<Self, ClusterError> {
        let platform = PlatformStandin::default();
        let (listener, platform_address) = bind_loopback()?;
        let server = platform.clone();
        let platform_vm = LocalVm::start("platform", move |signal| async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                server.serve(listener, signal).await;
            }
        })?;
        let mut cluster = Self {
            platform,
            services: BTreeMap::new(),
            engines: BTreeMap::new(),
            entries: Vec::new(),
            tokens: Vec::new(),
            vms: BTreeMap::new(),
            platform_address,
            peer_addresses: Vec::new(),
            http: HttpClient::new(Duration::from_secs(10), 64 << 20),
            profile,
            _platform_vm: platform_vm,
        };
        cluster.configure();
        for spec in cluster.profile.engines.clone() {
            cluster.start_engine(spec)?;
        }
        for spec in cluster.profile.services.clone() {
            cluster.start_service(&spec)?;
        }
        for index in 0..cluster.profile.entries {
            cluster.start_entry(index)?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Returns the profile that the deployment was started from.
    pub fn profile(&self) -> &LocalProfile {
        &self.profile
    }

    fn configure(&mut self) {
        let event = self.profile.event.clone();
        self.platform.put(&event_key(&event.name), &render_object(&event));
        let mut shards: BTreeMap<String, OrganisationShard> = BTreeMap::new();
        for number in 0..self.profile.workload.organisations {
            let name = format!("organisation-{number}");
            let token = format!("token-{number}");
            let config = OrganisationConfig {
                name: name.clone(),
                token_sha256: sha256_hex(&token),
                weight: 1,
                limit_per_s: 0,
            };
            self.tokens.push(token);
            shards.entry(organisation_key(&name).name).or_default().organisations.push(config);
        }
        for shard in shards.values() {
            let key = organisation_key(&shard.organisations[0].name);
            self.platform.put(&key, &render_object(shard));
        }
    }

    fn add_to_vm_list(&self, name: &str, address: &str, data_centre: &str, role: VmRole) {
        self.platform.set_vm(VmEntry {
            name: name.to_owned(),
            address: address.to_owned(),
            data_centre: data_centre.to_owned(),
            role,
            state: VmState::Live,
        });
    }

    fn agent_settings(&self, name: &str, address: &str, data_centre: &str) -> AgentSettings {
        AgentSettings {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            listen: address.to_owned(),
            admin: None,
            cluster_token: CLUSTER_TOKEN.to_owned(),
            engine: None,
            service: None,
            log_bytes: 4 << 20,
            target_hundredths: self.profile.tuning.target_hundredths,
            reserve_hundredths: self.profile.tuning.reserve_hundredths,
            offer_ms: 100,
            ledger: 100_000,
        }
    }

    /// Starts a VM with an engine and its agent.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Io`] if a socket or thread cannot be created.
    pub fn start_engine(&mut self, spec: EngineVm) -> Result<(), ClusterError> {
        let (engine_listener, engine_address) = bind_loopback()?;
        let (link, address) = bind_loopback()?;
        let mut settings = self.agent_settings(&spec.name, &address, &spec.data_centre);
        settings.engine = Some(engine_address);
        let engine = EngineStandin::new(spec.engine.clone());
        let handle = EngineHandle {
            log: Arc::clone(engine.log()),
            engine: engine.clone(),
            spec: spec.clone(),
        };
        let vm = LocalVm::start(&spec.name, move |signal| async move {
            let (Ok(engine_listener), Ok(link)) =
                (TcpListener::from_std(engine_listener), TcpListener::from_std(link))
            else {
                return;
            };
            tokio::spawn(engine.serve(engine_listener));
            run_agent_or_log(settings, link, signal).await;
        })?;
        self.add_to_vm_list(&spec.name, &address, &spec.data_centre, VmRole::Endpoint);
        self.vms.insert(spec.name.clone(), vm);
        self.engines.insert(spec.name, handle);
        Ok(())
    }

    fn start_service(&mut self, spec: &ServiceVm) -> Result<(), ClusterError> {
        let (service_listener, service_address) = bind_loopback()?;
        let (link, address) = bind_loopback()?;
        let mut settings = self.agent_settings(&spec.name, &address, &spec.data_centre);
        settings.service = Some(ServiceSettings {
            name: spec.service.clone(),
            address: service_address,
            slots: spec.slots,
            call_ms: 30_000,
        });
        let service = ServiceStandin::new(Duration::from_millis(spec.work_ms));
        let server = service.clone();
        let vm = LocalVm::start(&spec.name, move |signal| async move {
            let (Ok(service_listener), Ok(link)) =
                (TcpListener::from_std(service_listener), TcpListener::from_std(link))
            else {
                return;
            };
            tokio::spawn(server.serve(service_listener, ShutdownSignal::new()));
            run_agent_or_log(settings, link, signal).await;
        })?;
        self.add_to_vm_list(&spec.name, &address, &spec.data_centre, VmRole::Endpoint);
        self.vms.insert(spec.name.clone(), vm);
        self.services.insert(spec.name.clone(), service);
        Ok(())
    }

    fn start_entry(&mut self, index: usize) -> Result<(), ClusterError> {
        let name = format!("entry-{index}");
        let data_centre =
            self.profile.data_centres[index % self.profile.data_centres.len()].clone();
        let (web, web_address) = bind_loopback()?;
        let (peer, peer_address) = bind_loopback()?;
        let settings = EntrySettings {
            name: name.clone(),
            data_centre: data_centre.clone(),
            listen: web_address.clone(),
            peer_listen: peer_address.clone(),
            cluster_token: CLUSTER_TOKEN.to_owned(),
            platform: self.platform_address.clone(),
            peers: self.peer_addresses.clone(),
            models: vec![self.profile.model.clone()],
            operator_token_sha256: sha256_hex(OPERATOR_TOKEN),
            policy: self.profile.tuning.policy,
            agent_links: 0,
            body_bytes: 1 << 20,
            max_tokens: 4_096,
            connections: 10_000,
            stall_ms: 1_000,
            silence_ms: self.profile.tuning.silence_ms,
            cut_off_ms: self.profile.tuning.cut_off_ms,
        };
        let vm = LocalVm::start(&name, move |signal| async move {
            let (Ok(web), Ok(peer)) = (TcpListener::from_std(web), TcpListener::from_std(peer))
            else {
                return;
            };
            if let Err(error) = run_entry(settings, EntrySockets { web, peer }, signal).await {
                log::error!("entry state=failed error={error}");
            }
        })?;
        self.add_to_vm_list(&name, &peer_address, &data_centre, VmRole::Entry);
        self.peer_addresses.push(peer_address);
        self.vms.insert(name.clone(), vm);
        self.entries.push(EntryHandle { name, web: web_address });
        Ok(())
    }

    /// Starts an additional entry; its settings list the existing entries as peers.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Io`] if a socket or thread cannot be created.
    pub fn start_additional_entry(&mut self) -> Result<(), ClusterError> {
        self.start_entry(self.peer_addresses.len())
    }

    async fn wait_until_ready(&self) -> Result<(), ClusterError> {
        let expected = self.profile.engines.len() + self.profile.services.len();
        let mut detail = String::new();
        for _ in 0..START_ATTEMPTS {
            sleep(START_POLL_INTERVAL).await;
            detail.clear();
            for entry in &self.entries {
                if let Err(error) = self.check_ready(&entry.web).await {
                    detail += &format!("{}: {error}; ", entry.name);
                    continue;
                }
                match self.statement(&entry.web, "show endpoints where state = live").await {
                    Ok(table) if table.rows.len() >= expected => {}
                    Ok(table) => {
                        detail +=
                            &format!("{} sees {} of {expected}; ", entry.name, table.rows.len())
                    }
                    Err(error) => detail += &format!("{}: {error}; ", entry.name),
                }
            }
            if detail.is_empty() {
                return Ok(());
            }
        }
        Err(ClusterError::NotReady {
            waited_ms: (START_POLL_INTERVAL * START_ATTEMPTS).as_millis(),
            detail,
        })
    }

    /// Checks the readiness of an entry as a load balancer does.
    async fn check_ready(&self, web: &str) -> Result<(), ClusterError> {
        let request = Request::get(format!("http://{web}/readyz")).body(Full::default());
        call_entry(&self.http, web, request).await.map(drop)
    }

    /// Sends an operator's statement to an entry. Statements that change something return an empty
    /// table.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the entry refuses the statement.
    pub async fn statement(&self, web: &str, text: &str) -> Result<ResultTable, ClusterError> {
        send_statement(&self.http, web, text).await
    }

    /// Returns the VM of this name.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::UnknownVm`] if no VM has this name.
    pub fn vm(&mut self, name: &str) -> Result<&mut LocalVm, ClusterError> {
        let unknown_vm = || ClusterError::UnknownVm { name: name.to_owned() };
        self.vms.get_mut(name).ok_or_else(unknown_vm)
    }

    /// Kills a VM immediately. The platform's VM list still contains it afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::UnknownVm`] if no VM has this name.
    pub fn kill(&mut self, name: &str) -> Result<(), ClusterError> {
        self.vm(name)?.kill();
        self.entries.retain(|entry| entry.name != name);
        Ok(())
    }

    /// Requests a graceful shutdown of a VM; an entry then accepts no new requests.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::UnknownVm`] if no VM has this name.
    pub fn stop(&mut self, name: &str) -> Result<(), ClusterError> {
        self.vm(name)?.stop();
        Ok(())
    }
}

async fn run_agent_or_log(settings: AgentSettings, link: TcpListener, signal: ShutdownSignal) {
    if let Err(error) = run_agent(settings, AgentSockets { link, admin: None }, signal).await {
        log::error!("agent state=failed error={error}");
    }
}

/// Sends an operator's statement to an entry. Statements that change something return an empty
/// table.
///
/// # Errors
///
/// Returns an error if the call fails or the entry refuses the statement.
pub async fn send_statement(
    http: &HttpClient,
    web: &str,
    text: &str,
) -> Result<ResultTable, ClusterError> {
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{web}/v1/operator"))
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .body(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    let response = call_entry(http, web, request).await?;
    Ok(serde_json::from_slice(&response.body).unwrap_or_default())
}

/// Makes a call that an entry must answer with status 200.
async fn call_entry(
    http: &HttpClient,
    web: &str,
    request: Result<Request<Full<Bytes>>, http::Error>,
) -> Result<FullResponse, ClusterError> {
    let Ok(request) = request else {
        return Err(ClusterError::UnknownVm { name: web.to_owned() });
    };
    let response = http.call(request).await.map_err(|source| ClusterError::Call { source })?;
    if response.status != StatusCode::OK {
        let body = String::from_utf8_lossy(&response.body).into_owned();
        return Err(ClusterError::Refused { status: response.status, body });
    }
    Ok(response)
}
