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
    http::{CallError, HttpClient},
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

/// Token that all processes of a local deployment show.
const CLUSTER_TOKEN: &str = "local-cluster-token";

/// Bearer token of the operator of a local deployment.
pub const OPERATOR_TOKEN: &str = "local-operator";

/// How long to wait for the whole deployment at its start.
const START_TRIES: u32 = 200;

/// Wait between two looks at the deployment.
const START_WAIT: Duration = Duration::from_millis(50);

/// Why a deployment did not start, or did not do what was asked.
#[derive(Debug, Display, Error)]
pub enum ClusterError {
    /// The system gives no socket, runtime or thread.
    #[display("system: {source}")]
    System {
        /// What it said.
        source: std::io::Error,
    },
    /// It did not become whole in time.
    #[display("not whole after {waited_ms} ms: {detail}")]
    NotWhole {
        /// How long it was waited for.
        waited_ms: u128,
        /// What was missing.
        detail: String,
    },
    /// There is no such VM.
    #[display("no VM {name:?}")]
    NoVm {
        /// The name.
        name: String,
    },
    /// An entry could not be called.
    #[display("entry: {source}")]
    Call {
        /// What happened.
        source: CallError,
    },
    /// An entry refused a statement.
    #[display("statement refused with {status}: {body}")]
    Refused {
        /// Status code.
        status: StatusCode,
        /// What it said.
        body: String,
    },
}

impl From<std::io::Error> for ClusterError {
    fn from(source: std::io::Error) -> Self {
        Self::System { source }
    }
}

/// What can be seen of an engine from outside.
#[derive(Debug)]
pub struct EngineHandle {
    /// The engine itself.
    pub engine: EngineStandin,
    /// What it did.
    pub log: Arc<RunLog>,
    /// Its VM.
    pub spec: EngineVm,
}

/// An entry's addresses.
#[derive(Clone, Debug)]
pub struct EntryHandle {
    /// Name.
    pub name: String,
    /// For callers and operators.
    pub web: String,
}

/// A deployment in this process.
#[derive(Debug)]
pub struct LocalCluster {
    /// The platform.
    pub platform: PlatformStandin,
    /// The services, by VM.
    pub services: BTreeMap<String, ServiceStandin>,
    /// The engines, by VM; those of lost VMs are kept for their logs.
    pub engines: BTreeMap<String, EngineHandle>,
    /// The entries.
    pub entries: Vec<EntryHandle>,
    /// Bearer tokens of the organisations.
    pub tokens: Vec<String>,
    vms: BTreeMap<String, LocalVm>,
    platform_address: String,
    peer_addresses: Vec<String>,
    profile: LocalProfile,
    http: HttpClient,
    _platform_vm: LocalVm,
}

fn hash(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bind() -> std::io::Result<(StdListener, String)> {
    let listener = StdListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?.to_string();
    Ok((listener, address))
}

impl LocalCluster {
    /// Starts a deployment and waits until every entry sees every replica.
    ///
    /// # Errors
    ///
    /// Fails where the system lacks something, or the deployment does not become whole.
    pub async fn start(profile: LocalProfile) -> Result<Self, ClusterError> {
        let platform = PlatformStandin::default();
        let (listener, platform_address) = bind()?;
        let served = platform.clone();
        let platform_vm = LocalVm::start("platform", move |signal| async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                served.serve(listener, signal).await;
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
        cluster.wait_whole().await?;
        Ok(cluster)
    }

    /// The profile that it was started from.
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
                token_sha256: hash(&token),
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

    fn list(&self, name: &str, address: &str, data_centre: &str, role: VmRole) {
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
    /// Fails where the system lacks a socket or thread.
    pub fn start_engine(&mut self, spec: EngineVm) -> Result<(), ClusterError> {
        let (engine_listener, engine_address) = bind()?;
        let (link, address) = bind()?;
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
            run_agent_until(settings, link, signal).await;
        })?;
        self.list(&spec.name, &address, &spec.data_centre, VmRole::Endpoint);
        self.vms.insert(spec.name.clone(), vm);
        self.engines.insert(spec.name, handle);
        Ok(())
    }

    fn start_service(&mut self, spec: &ServiceVm) -> Result<(), ClusterError> {
        let (service_listener, service_address) = bind()?;
        let (link, address) = bind()?;
        let mut settings = self.agent_settings(&spec.name, &address, &spec.data_centre);
        settings.service = Some(ServiceSettings {
            name: spec.service.clone(),
            address: service_address,
            slots: spec.slots,
            call_ms: 30_000,
        });
        let service = ServiceStandin::new(Duration::from_millis(spec.work_ms));
        let served = service.clone();
        let vm = LocalVm::start(&spec.name, move |signal| async move {
            let (Ok(service_listener), Ok(link)) =
                (TcpListener::from_std(service_listener), TcpListener::from_std(link))
            else {
                return;
            };
            tokio::spawn(served.serve(service_listener, ShutdownSignal::new()));
            run_agent_until(settings, link, signal).await;
        })?;
        self.list(&spec.name, &address, &spec.data_centre, VmRole::Endpoint);
        self.vms.insert(spec.name.clone(), vm);
        self.services.insert(spec.name.clone(), service);
        Ok(())
    }

    fn start_entry(&mut self, index: usize) -> Result<(), ClusterError> {
        let name = format!("entry-{index}");
        let data_centre =
            self.profile.data_centres[index % self.profile.data_centres.len()].clone();
        let (web, web_address) = bind()?;
        let (peer, peer_address) = bind()?;
        let settings = EntrySettings {
            name: name.clone(),
            data_centre: data_centre.clone(),
            listen: web_address.clone(),
            peer_listen: peer_address.clone(),
            cluster_token: CLUSTER_TOKEN.to_owned(),
            platform: self.platform_address.clone(),
            peers: self.peer_addresses.clone(),
            models: vec![self.profile.model.clone()],
            operator_token_sha256: hash(OPERATOR_TOKEN),
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
        self.list(&name, &peer_address, &data_centre, VmRole::Entry);
        self.peer_addresses.push(peer_address);
        self.vms.insert(name.clone(), vm);
        self.entries.push(EntryHandle { name, web: web_address });
        Ok(())
    }

    /// Starts one more entry, which knows the others' addresses from its settings.
    ///
    /// # Errors
    ///
    /// Fails where the system lacks a socket or thread.
    pub fn start_late_entry(&mut self) -> Result<(), ClusterError> {
        self.start_entry(self.peer_addresses.len())
    }

    async fn wait_whole(&self) -> Result<(), ClusterError> {
        let expected = self.profile.engines.len() + self.profile.services.len();
        let mut detail = String::new();
        for _ in 0..START_TRIES {
            sleep(START_WAIT).await;
            detail.clear();
            for entry in &self.entries {
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
        Err(ClusterError::NotWhole { waited_ms: (START_WAIT * START_TRIES).as_millis(), detail })
    }

    /// Sends an operator's statement to an entry; a change gives an empty table.
    ///
    /// # Errors
    ///
    /// Fails where the entry cannot be called or refuses.
    pub async fn statement(&self, web: &str, text: &str) -> Result<ResultTable, ClusterError> {
        send_statement(&self.http, web, text).await
    }

    /// A running VM.
    ///
    /// # Errors
    ///
    /// Fails where there is none of that name.
    pub fn vm(&mut self, name: &str) -> Result<&mut LocalVm, ClusterError> {
        let missing = || ClusterError::NoVm { name: name.to_owned() };
        self.vms.get_mut(name).ok_or_else(missing)
    }

    /// Ends a VM at once; the platform's list does not know of it yet.
    ///
    /// # Errors
    ///
    /// Fails where there is none of that name.
    pub fn kill(&mut self, name: &str) -> Result<(), ClusterError> {
        self.vm(name)?.kill();
        self.entries.retain(|entry| entry.name != name);
        Ok(())
    }

    /// Tells a VM to stop in order; an entry takes no new callers from then on.
    ///
    /// # Errors
    ///
    /// Fails where there is none of that name.
    pub fn stop(&mut self, name: &str) -> Result<(), ClusterError> {
        self.vm(name)?.stop();
        Ok(())
    }
}

async fn run_agent_until(settings: AgentSettings, link: TcpListener, signal: ShutdownSignal) {
    if let Err(error) = run_agent(settings, AgentSockets { link, admin: None }, signal).await {
        log::error!("agent state=failed error={error}");
    }
}

/// Sends an operator's statement to an entry; a change gives an empty table.
///
/// # Errors
///
/// Fails where the entry cannot be called or refuses.
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
    let Ok(request) = request else {
        return Err(ClusterError::NoVm { name: web.to_owned() });
    };
    let answer = http.call(request).await.map_err(|source| ClusterError::Call { source })?;
    if answer.status != StatusCode::OK {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(ClusterError::Refused { status: answer.status, body });
    }
    Ok(serde_json::from_slice(&answer.body).unwrap_or_default())
}
