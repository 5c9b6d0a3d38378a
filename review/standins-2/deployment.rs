//! A small deployment on loopback addresses: relays and replicas as processes, and the store.

use std::{
    collections::{HashMap, HashSet},
    env,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    replica::{DeadlyEnd, LAYERS, ReplicaKind},
    store::Store,
};

/// Command of a relay, as the deploy file gives it.
const RELAY_PROGRAM: &str = "target/release/switchfold-relay";

/// Settings of a relay, as the deploy file names them.
const RELAY_TEMPLATE: &str = "deploy/relay.json.template";

/// Time within which all relays must be ready, in seconds.
const READY_TIMEOUT_S: u64 = 25;

/// Interval between two checks of a condition, in milliseconds.
pub const CHECK_INTERVAL_MS: u64 = 20;

/// Time of a readiness check, in milliseconds.
const READY_CALL_MS: u64 = 500;

/// Values of the settings, as the sheet of a small deployment has them.
const SETTINGS: [(&str, &str); 16] = [
    ("{{zone}}", "hall"),
    ("{{region}}", "west"),
    ("{{ip}}", "127.0.0.1"),
    ("{{bootstrap|json}}", "true"),
    ("{{limits.cpu_quota|json}}", "0.19"),
    ("{{timing_bounds.revoke_ms}}", "5000"),
    ("{{timing_bounds.contact_ms}}", "3000"),
    ("{{timing_bounds.drain_ms}}", "2000"),
    ("{{timing_bounds.config_apply_ms}}", "2000"),
    ("{{timing_bounds.grace_s}}", "8"),
    ("{{timing_bounds.retry_budget_ratio}}", "0.2"),
    ("{{timing_bounds.retry_window_s}}", "10"),
    ("{{timing_bounds.retry_slack}}", "200"),
    ("{{timing_bounds.max_skew_ms}}", "5000"),
    ("{{timing_bounds.recovery_s}}", "12"),
    ("{{timing_bounds.stall_ms}}", "2000"),
];

/// Name of the file with the ids of all processes that were started, one a line.
const PROCESS_FILE: &str = "processes";

/// A process that is killed when dropped.
struct OwnedProcess(Child);

impl OwnedProcess {
    /// Starts a process and records its id in the folder, so that it can be ended from outside.
    fn start(command: &mut Command, folder: &Path) -> io::Result<Self> {
        let process = Self(command.spawn()?);
        let mut file = File::options().create(true).append(true).open(folder.join(PROCESS_FILE))?;
        writeln!(file, "{}", process.0.id())?;
        Ok(process)
    }
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.0.kill();
        let _status = self.0.wait();
    }
}

/// A relay process.
pub struct RelayProcess {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Name.
    pub name: String,
    ready: SocketAddr,
    process: OwnedProcess,
}

impl RelayProcess {
    /// Returns the memory that the process uses, in kB.
    pub fn resident_kb(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.0.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        size.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.0.kill()?;
        self.process.0.wait().map(drop)
    }

    /// Starts the process again with the settings that it then has: the system as a whole no longer
    /// starts for the first time.
    pub fn restart(&mut self, folder: &Path) -> io::Result<()> {
        let file = folder.join(format!("{}.json", self.name));
        let settings = fs::read_to_string(&file)?;
        fs::write(&file, settings.replace(r#""first_start": true"#, r#""first_start": false"#))?;
        self.process = start_program(folder, &self.name)?;
        Ok(())
    }
}

/// Runs of one replica, as it reported them.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    /// Each run's attempt id and the rest of its line, in order.
    pub runs: Vec<(String, String)>,
    /// When the line of each run was read.
    pub times: Vec<Instant>,
    /// Attempt ids of the runs that have not ended.
    pub running: HashSet<String>,
}

/// A replica process.
pub struct ReplicaProcess {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    log: Arc<Mutex<RunLog>>,
    process: OwnedProcess,
}

impl ReplicaProcess {
    /// Starts a replica.
    pub fn start(
        folder: &Path,
        id: &str,
        kind: ReplicaKind,
        deadly_end: DeadlyEnd,
    ) -> io::Result<Self> {
        let mut command = Command::new(env::current_exe()?);
        command.arg("replica").arg(id).arg(kind.name());
        command.arg(deadly_end.name());
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut process = OwnedProcess::start(&mut command, folder)?;
        let output = process.0.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let address = first.strip_prefix("listen ").and_then(|address| address.parse().ok());
        let address = address.ok_or(io::ErrorKind::InvalidData)?;
        let log = Arc::new(Mutex::new(RunLog::default()));
        let recorded = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record(&mut recorded.lock().expect("no thread panics"), &line);
            }
        });
        Ok(Self { id: id.to_owned(), address, log, process })
    }

    /// Returns its runs so far.
    pub fn runs(&self) -> RunLog {
        self.log.lock().expect("no thread panics").clone()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.0.kill()?;
        self.process.0.wait().map(drop)
    }
}

fn record(log: &mut RunLog, line: &str) {
    let mut words = line.splitn(3, ' ');
    let (kind, id) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    match kind {
        "run" => {
            log.runs.push((id.to_owned(), words.next().unwrap_or_default().to_owned()));
            log.times.push(Instant::now());
            log.running.insert(id.to_owned());
        }
        _ => drop(log.running.remove(id)),
    }
}

/// A running deployment.
pub struct Deployment {
    /// The platform's store.
    pub store: Store,
    /// Relays.
    pub relays: Vec<RelayProcess>,
    /// Replicas of the plain service `desk`.
    pub desks: Vec<ReplicaProcess>,
    /// Replicas of the model service `model`.
    pub engines: Vec<ReplicaProcess>,
}

impl Deployment {
    /// Starts a deployment with a configuration, and waits until its relays are ready.
    pub fn start(
        folder: &Path,
        relays: usize,
        desks: usize,
        engines: usize,
        config: &str,
    ) -> io::Result<Self> {
        let (store, platform) = Store::start()?;
        let start = |number, is_engine: bool| {
            let (name, kind) = match is_engine {
                true => ("model", ReplicaKind::Engine),
                false => ("desk", ReplicaKind::Plain),
            };
            ReplicaProcess::start(folder, &format!("i-{name}-{number}"), kind, DeadlyEnd::None)
        };
        let desks =
            (0..desks).map(|number| start(number, false)).collect::<io::Result<Vec<_>>>()?;
        let engines =
            (0..engines).map(|number| start(number, true)).collect::<io::Result<Vec<_>>>()?;
        let entries = desks.iter().map(|replica| (replica, "desk"));
        for (replica, service) in entries.chain(engines.iter().map(|replica| (replica, "model"))) {
            store.put("servers", &replica.id, &entry(service, replica.address));
        }
        store.put("config", "main", config);
        let relays = (0..relays).map(|number| start_relay(folder, number, platform));
        let relays = relays.collect::<io::Result<Vec<_>>>()?;
        let deployment = Self { store, relays, desks, engines };
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// Waits until all relays are ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(READY_TIMEOUT_S);
        let is_ready = |relay: &RelayProcess| {
            let timeout = Duration::from_millis(READY_CALL_MS);
            let headers = [("Host", "relay"), ("Connection", "close")];
            http::call(relay.ready, "GET", "/readyz", &headers, b"", timeout).status == 200
        };
        while !self.relays.iter().all(is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the relays are not ready"));
            }
            thread::sleep(Duration::from_millis(CHECK_INTERVAL_MS));
        }
        Ok(())
    }

    /// Returns all runs of all replicas: by attempt id, the replicas that ran it.
    pub fn runs(&self) -> HashMap<String, Vec<String>> {
        let mut runs: HashMap<String, Vec<String>> = HashMap::new();
        for replica in self.desks.iter().chain(&self.engines) {
            for (id, _) in replica.runs().runs {
                runs.entry(id).or_default().push(replica.id.clone());
            }
        }
        runs
    }
}

/// Returns a free loopback address.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn start_relay(folder: &Path, number: usize, platform: SocketAddr) -> io::Result<RelayProcess> {
    let (callers, ready) = (free_address()?, free_address()?);
    let (peers, metrics) = (free_address()?, free_address()?);
    let mut settings = fs::read_to_string(RELAY_TEMPLATE)?;
    let own = [
        ("{{node_name}}", format!("edge-{number}")),
        ("{{listen_addrs.frontend}}", callers.to_string()),
        ("{{listen_addrs.ready}}", ready.to_string()),
        ("{{port_range.0}}", peers.port().to_string()),
        ("{{port_range.1}}", metrics.port().to_string()),
        ("{{platform.address}}", platform.to_string()),
    ];
    let own = own.iter().map(|(gap, value)| (*gap, value.as_str()));
    for (gap, value) in SETTINGS.into_iter().chain(own) {
        settings = settings.replace(gap, value);
    }
    let name = format!("edge-{number}");
    fs::write(folder.join(format!("{name}.json")), settings)?;
    let process = start_program(folder, &name)?;
    Ok(RelayProcess { callers, name, ready, process })
}

/// Starts the program of a relay, whose settings are in the folder.
fn start_program(folder: &Path, name: &str) -> io::Result<OwnedProcess> {
    let log = folder.join(format!("{name}.log"));
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(RELAY_PROGRAM);
    command.env("SWITCHFOLD_NODE_FILE", folder.join(format!("{name}.json")));
    command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
    OwnedProcess::start(&mut command, folder)
}

/// Returns the entry of a replica in the store.
pub fn entry(service: &str, address: SocketAddr) -> String {
    let slots = if service == "model" { 192 } else { 6 };
    let layers = match service {
        "model" => format!(r#"{{"from":0,"target_version":{LAYERS},"version":1}}"#),
        _ => "null".to_owned(),
    };
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"hall","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"phase":"both","call_seq":0,"models":[],"layers":{layers},"route_kind":"card"}}"#
    )
}

/// Returns a configuration. `tenants` is the list of tenants in JSON.
pub fn config(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, attempts: u64| {
        format!(
            r#"{{"name":"{name}","host":"sample.example","path_prefix":"/{name}/","route_kind":"{kind}","timeout_ms":{timeout},"goal_ms":500,"priority":1,"service":"{service}","max_attempts":{attempts},"public":false,"resumable":{},"gap_aim_ms":200}}"#,
            kind == "streaming"
        )
    };
    let routes = [
        route("receipt", "idempotent", "desk", 1_500, 2),
        route("bid", "non_idempotent", "desk", 1_500, 1),
        route("note", "streaming", "model", 20_000, 2),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1"}},{{"name":"model","health_path":"/healthz","max_conns":1138,"engine":{{"slots":192,"token_kv_bytes":8000.0,"models":[{{"name":"m","pace":1.0,"load_s":0.8}}],"step_ms":1.0,"loads_at_once":4,"usual":{{"prompt":100,"answer":50}},"layers":{LAYERS},"layer_mb":1000.0,"act_bytes":1000,"pipe_mbps":1000.0,"kinds":[{{"name":"card","mb":18000.0,"pace":1.0,"read_x":1.0}}],"per_seq_ms":0.01,"context_per_k":0.02,"read_per_s":50000.0,"delays":[]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":{tenants}}}"#
    )
}
