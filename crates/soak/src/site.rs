//! A site: a store, relays and replicas as processes, and the links between them.

use std::{
    collections::BTreeSet,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use switchfold_kernel::clock::epoch_micros;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    StandinStore,
    samples::{self, RouteSample},
};
use tokio::{
    io::{BufReader, Lines},
    process::ChildStdout,
    time::sleep,
};

use crate::{
    caller::{BadRequest, CallerView, is_ready},
    checks::REVOKE_TIME,
    plan::{BadWay, SiteShape},
    process::SoakProcess,
    proxy::LinkProxy,
    record::{CallKind, Disruption, DisruptionKind, RunHistory, RunRecord},
    replica::{BAD, BAD_EXIT, BAD_LATER, HEARTBEAT, LEAVES, LINGER, LISTENS, LONG_LINGER},
    slot::ProcessSlot,
};

/// Time from SIGTERM to SIGKILL, in seconds.
pub const GRACE_S: u64 = 8;

/// Keys that the first configuration has.
const KEYS: usize = 12;

/// Keys that are never taken away.
const KEPT_KEYS: usize = 3;

/// Data centres that replicas and relays are spread over.
const DATA_CENTRES: [&str; 2] = ["hall", "far"];

/// Time between two looks at processes, readiness and silent replicas.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Looks between two questions for readiness.
const READY_ONE_IN: u32 = 6;

/// Time for which the end of a replica by a bad request is a disruption: until it is started again and holds its layers.
const END_TIME: Duration = Duration::from_millis(2_500);

/// Heartbeats of silence after which a replica's entry lapses.
const MOST_SILENT: u32 = 3;

/// Files and size of a site.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Counts.
    pub shape: SiteShape,
    /// Program of the relay.
    pub relay: PathBuf,
    /// Program of the stand-in replica.
    pub replica: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

#[derive(Debug)]
struct RelaySlot {
    slot: Mutex<ProcessSlot>,
    settings: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
    ready: SocketAddr,
    misses: Mutex<u32>,
    store: LinkProxy,
}

#[derive(Debug)]
struct ReplicaSlot {
    slot: Mutex<ProcessSlot>,
    /// Id under which it starts again; nothing where the next start has a new one.
    kept_id: Mutex<Option<String>>,
    link: LinkProxy,
    /// Whether its present process said where it listens.
    listens: AtomicBool,
    service: &'static str,
    data_centre: &'static str,
}

#[derive(Debug)]
struct KeyRing {
    version: u64,
    valid: Vec<String>,
    removed: Vec<String>,
}

/// A site that runs.
#[derive(Debug)]
pub struct SoakSite {
    config: SiteConfig,
    store: StandinStore,
    relays: Vec<RelaySlot>,
    replicas: Vec<ReplicaSlot>,
    keys: Mutex<KeyRing>,
    bad: Mutex<Vec<BadRequest>>,
    history: Mutex<RunHistory>,
    goes_on: AtomicBool,
    watched: AtomicBool,
}

impl SoakSite {
    /// Starts a site and waits until every relay is ready.
    ///
    /// # Errors
    ///
    /// Fails where ports, files or programs are not to be had, or a relay does not become ready.
    pub async fn start(config: SiteConfig) -> io::Result<Arc<Self>> {
        let store = StandinStore::start().await;
        let mut relays = Vec::new();
        for number in 0..config.shape.relays {
            relays.push(RelaySlot::new(&config.folder, number, store.address()).await?);
        }
        let mut replicas = Vec::new();
        for number in 0..config.shape.replicas() {
            let is_engine = number < config.shape.engines;
            replicas.push(ReplicaSlot {
                slot: Mutex::default(),
                kept_id: Mutex::default(),
                link: LinkProxy::start().await?,
                listens: AtomicBool::default(),
                service: if is_engine { "engine" } else { "desk" },
                data_centre: DATA_CENTRES[number % DATA_CENTRES.len()],
            });
        }
        let valid = (0..KEYS).map(|number| format!("key-{number}")).collect();
        let keys = Mutex::new(KeyRing { version: 0, valid, removed: Vec::new() });
        let site = Arc::new(Self {
            config,
            store,
            relays,
            replicas,
            keys,
            bad: Mutex::default(),
            history: Mutex::default(),
            goes_on: AtomicBool::new(true),
            watched: AtomicBool::new(true),
        });
        site.write_config(1);
        tokio::spawn(site.clone().watch());
        site.wait_ready().await?;
        Ok(site)
    }

    /// Count of relays.
    pub fn relay_count(&self) -> usize {
        self.relays.len()
    }

    /// Relays of the data centre of a relay, that one among them.
    pub fn relays_beside(&self, number: usize) -> Vec<usize> {
        let home = number % DATA_CENTRES.len();
        (0..self.relays.len()).filter(|other| other % DATA_CENTRES.len() == home).collect()
    }

    /// A replica of the plain service that serves on for long once it leaves.
    ///
    /// # Panics
    ///
    /// Panics where the site has fewer than two replicas of that service.
    pub fn lingering_desk(&self) -> usize {
        let mut desks = self.config.shape.engines..self.replicas.len();
        desks.find(|number| lingers(*number)).expect("one of two neighbours has an odd number")
    }

    /// The store.
    pub fn store(&self) -> &StandinStore {
        &self.store
    }

    /// Link to a replica.
    pub fn replica_link(&self, number: usize) -> &LinkProxy {
        &self.replicas[number].link
    }

    /// Link of a relay to the store.
    pub fn store_link(&self, number: usize) -> &LinkProxy {
        &self.relays[number].store
    }

    /// What was seen so far.
    ///
    /// # Panics
    ///
    /// Panics where another holder of the history did.
    pub fn history(&self) -> MutexGuard<'_, RunHistory> {
        self.history.lock().expect("no task panics while it holds the history")
    }

    /// Notes a disruption that ends after `lasts`.
    pub fn note_disruption(&self, kind: DisruptionKind, lasts: Duration) {
        let from = epoch_micros();
        let to = from + lasts.as_micros() as u64;
        self.history().disruptions.push(Disruption { kind, from, to });
    }

    /// Sends a signal to a relay.
    pub fn signal_relay(&self, number: usize, signal: Signal) {
        lock(&self.relays[number].slot).signal(signal);
    }

    /// Lets a relay stand still, so that it can do nothing it is told.
    pub fn freeze_relay(&self, number: usize) {
        let mut slot = lock(&self.relays[number].slot);
        slot.is_frozen = true;
        slot.signal(Signal::SIGSTOP);
    }

    /// Lets a relay go on that stood still for `lasts`.
    pub fn thaw_relay(&self, number: usize, lasts: Duration) {
        let mut slot = lock(&self.relays[number].slot);
        slot.signal(Signal::SIGCONT);
        slot.is_frozen = false;
        slot.kill_at = slot.kill_at.map(|at| at + lasts);
    }

    /// Lets a bad request come from now on.
    pub fn begin_bad(&self, kind: CallKind, way: BadWay) {
        let mut bad = lock(&self.bad);
        let beginning = match way {
            BadWay::First => BAD,
            BadWay::Later => BAD_LATER,
        };
        let name = format!("{beginning}{}", bad.len());
        bad.push(BadRequest { kind, name });
    }

    /// Sends a signal to a replica.
    pub fn signal_replica(&self, number: usize, signal: Signal) {
        lock(&self.replicas[number].slot).signal(signal);
    }

    /// Sends a signal to a replica that hears it, and would end by it before.
    pub fn notify_replica(&self, number: usize, signal: Signal) {
        if self.replicas[number].listens.load(Ordering::Relaxed) {
            self.signal_replica(number, signal);
        }
    }

    /// Kills a relay; it is down for a while.
    pub fn kill_relay(&self, number: usize, down: Duration) {
        lock(&self.relays[number].slot).kill(down);
    }

    /// Kills a replica; it is down for a while.
    pub fn kill_replica(&self, number: usize, down: Duration) {
        lock(&self.replicas[number].slot).kill(down);
    }

    /// Tells a relay to stop; it is killed after the grace time.
    pub fn stop_relay(&self, number: usize) {
        let mut slot = lock(&self.relays[number].slot);
        if slot.tell(Signal::SIGTERM) {
            slot.kill_at = slot.kill_at.or(Some(Instant::now() + Duration::from_secs(GRACE_S)));
        }
    }

    /// Tells a replica to leave.
    pub fn drain_replica(&self, number: usize) {
        // One that said that it leaves does not come back under its id.
        lock(&self.replicas[number].kept_id).take();
        lock(&self.replicas[number].slot).tell(Signal::SIGTERM);
    }

    /// Writes a new version of the configuration, `step` above the last one.
    pub fn write_config(&self, step: u64) {
        let mut keys = lock(&self.keys);
        keys.version += step;
        let valid: Vec<&str> = keys.valid.iter().map(String::as_str).collect();
        let config = samples::config(keys.version, &routes(), &valid);
        self.store.put(CONFIG_KIND, CONFIG_NAME, config);
    }

    /// Takes a key away.
    pub fn remove_key(&self) {
        let removed = {
            let mut keys = lock(&self.keys);
            if keys.valid.len() <= KEPT_KEYS {
                return;
            }
            let removed = keys.valid.remove(0);
            keys.removed.push(removed.clone());
            removed
        };
        self.write_config(3);
        self.history().revoked.push((removed, epoch_micros()));
    }

    /// Whether a key is in force.
    pub fn is_valid(&self, key: &str) -> bool {
        lock(&self.keys).valid.iter().any(|valid| valid == key)
    }

    /// Lets callers end.
    pub fn end_calls(&self) {
        self.goes_on.store(false, Ordering::Relaxed);
    }

    /// Notes the memory of all relays, stops them in order, and ends all processes.
    pub async fn end(&self) {
        self.watched.store(false, Ordering::Relaxed);
        sleep(LOOK_EVERY * 2).await;
        for (number, relay) in self.relays.iter().enumerate() {
            let process = lock(&relay.slot).process.take();
            let Some(mut process) = process else { continue };
            self.history().memory_kb.extend(process.memory_kb());
            process.signal(Signal::SIGTERM);
            let ended = process.wait(Duration::from_secs(GRACE_S)).await;
            if !ended.is_some_and(|ended| ended.success()) {
                let what = format!("relay {number} ended with {ended:?} when told to stop");
                self.history().odd_ends.push(what);
            }
        }
        self.replicas.iter().for_each(|replica| drop(lock(&replica.slot).process.take()));
    }

    async fn wait_ready(&self) -> io::Result<()> {
        const PATIENCE: Duration = Duration::from_secs(60);
        let end = Instant::now() + PATIENCE;
        for relay in &self.relays {
            while !is_ready(relay.ready).await {
                if Instant::now() > end {
                    return Err(io::Error::other("a relay did not become ready"));
                }
                sleep(LOOK_EVERY).await;
            }
        }
        Ok(())
    }

    /// Starts processes again, asks for readiness, and lets silent replicas lapse.
    async fn watch(self: Arc<Self>) {
        let mut round: u32 = 0;
        while self.watched.load(Ordering::Relaxed) {
            for number in 0..self.replicas.len() {
                self.revive_replica(number);
            }
            for number in 0..self.relays.len() {
                self.revive_relay(number);
            }
            self.store.expire(REPLICA_KIND, HEARTBEAT * MOST_SILENT);
            if round.is_multiple_of(READY_ONE_IN) {
                tokio::spawn(self.clone().ask_ready());
            }
            round += 1;
            sleep(LOOK_EVERY).await;
        }
    }

    async fn ask_ready(self: Arc<Self>) {
        for relay in &self.relays {
            let ready = is_ready(relay.ready).await;
            let mut misses = lock(&relay.misses);
            *misses = if ready { 0 } else { *misses + 1 };
        }
    }

    fn revive_relay(&self, number: usize) {
        let relay = &self.relays[number];
        let mut slot = lock(&relay.slot);
        if let Some(odd) = slot.look(None) {
            self.history().odd_ends.push(format!("relay {number} {odd}"));
        }
        if slot.is_due() {
            let settings = relay.settings.to_string_lossy().into_owned();
            let arguments = ["--settings", settings.as_str()];
            let started = SoakProcess::start_logged(&self.config.relay, &arguments, &relay.log);
            slot.take_start(started);
        }
    }

    fn revive_replica(self: &Arc<Self>, number: usize) {
        let replica = &self.replicas[number];
        let mut slot = lock(&replica.slot);
        // A replica ends only because this soak made it, or because its stand-in failed.
        if let Some(odd) = slot.look(Some(BAD_EXIT)) {
            self.history().odd_ends.push(format!("replica {number} {odd}"));
        }
        if !slot.is_due() {
            return;
        }
        let kept_id = lock(&replica.kept_id).take();
        let id = kept_id.unwrap_or_else(|| format!("i-{number}-{}", slot.starts));
        let advertise = replica.link.address().to_string();
        let store = self.store.address().to_string();
        let linger = if lingers(number) { LONG_LINGER } else { LINGER };
        let linger = linger.as_millis().to_string();
        let arguments = [
            "replica",
            "--id",
            &id,
            "--service",
            replica.service,
            "--advertise",
            &advertise,
            "--store",
            &store,
            "--data-centre",
            replica.data_centre,
            "--linger-ms",
            &linger,
        ];
        replica.link.set_target(None);
        replica.listens.store(false, Ordering::Relaxed);
        match SoakProcess::start_read(&self.config.replica, &arguments) {
            Ok((process, lines)) => {
                *lock(&replica.kept_id) = keeps_id(number).then(|| id.clone());
                tokio::spawn(self.clone().read_replica(number, id, lines));
                slot.take_start(Ok(process));
            }
            Err(error) => slot.take_start(Err(error)),
        }
    }

    /// Reads what a replica writes until it ends.
    async fn read_replica(
        self: Arc<Self>,
        number: usize,
        id: String,
        mut lines: Lines<BufReader<ChildStdout>>,
    ) {
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(address) = line.strip_prefix(LISTENS) {
                self.replicas[number].link.set_target(address.parse().ok());
                self.replicas[number].listens.store(true, Ordering::Relaxed);
            } else if let Some(at) = line.strip_prefix(LEAVES) {
                let at = at.parse().unwrap_or_else(|_| epoch_micros());
                self.history().leaving.push((id.clone(), at));
            } else if let Ok(record) = serde_json::from_str::<RunRecord>(&line) {
                if record.bad.is_some() {
                    self.note_disruption(DisruptionKind::ReplicaEnd, END_TIME);
                }
                self.history().runs.push(record);
            } else {
                // A line that was being written when the replica was killed.
                eprintln!("replica {id} wrote {line:?}");
            }
        }
    }
}

/// Whether a replica starts again under its id after a crash: every other one does.
fn keeps_id(number: usize) -> bool {
    number.is_multiple_of(2)
}

impl CallerView for SoakSite {
    fn choose_relay(&self, random: &mut ChaCha8Rng) -> (usize, SocketAddr) {
        const MISSES: u32 = 2;
        let is_in = |number: &usize| *lock(&self.relays[*number].misses) < MISSES;
        let all: Vec<usize> = (0..self.relays.len()).collect();
        let used: Vec<usize> = all.iter().copied().filter(is_in).collect();
        let used = if used.len() * 2 < all.len() { all } else { used };
        let number = used[random.random_range(0..used.len())];
        (number, self.relays[number].listen)
    }

    fn choose_key(&self, random: &mut ChaCha8Rng) -> String {
        const REMOVED_ONE_IN: u32 = 5;
        let keys = lock(&self.keys);
        let removed = random.random_range(0..REMOVED_ONE_IN) == 0 && !keys.removed.is_empty();
        let from = if removed { &keys.removed } else { &keys.valid };
        from[random.random_range(0..from.len())].clone()
    }

    fn choose_bad(&self, random: &mut ChaCha8Rng) -> Option<BadRequest> {
        let bad = lock(&self.bad);
        (!bad.is_empty()).then(|| bad[random.random_range(0..bad.len())].clone())
    }

    fn goes_on(&self) -> bool {
        self.goes_on.load(Ordering::Relaxed)
    }
}

impl RelaySlot {
    async fn new(folder: &Path, number: usize, store: SocketAddr) -> io::Result<Self> {
        let link = LinkProxy::start().await?;
        link.set_target(Some(store));
        let [listen, ready, peers, metrics] = free_ports()?;
        let settings = json!({
            "name": format!("relay-{number}"),
            "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
            "region": "west",
            "listen": listen, "ready_listen": ready,
            "peer_listen": peers, "metrics_listen": metrics,
            "platform": link.address(),
            "bounds": {
                "revoke_ms": REVOKE_TIME / 1_000, "grace_s": GRACE_S,
                "retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 200,
            },
        });
        let file = folder.join(format!("relay-{number}.json"));
        std::fs::write(&file, settings.to_string())?;
        Ok(Self {
            slot: Mutex::default(),
            settings: file,
            log: folder.join(format!("relay-{number}.log")),
            listen,
            ready,
            misses: Mutex::default(),
            store: link,
        })
    }
}

/// Whether a replica serves on for long once it leaves.
fn lingers(number: usize) -> bool {
    !number.is_multiple_of(2)
}

/// Ports that nothing listens on, outside the range that the system draws from for connections, so that
/// a relay gets them again when it is started again. None is given out twice, also not to runs at the same
/// time.
fn free_ports<const COUNT: usize>() -> io::Result<[SocketAddr; COUNT]> {
    const PORTS: std::ops::Range<u16> = 12_000..30_000;
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut given = lock(&GIVEN);
    let mut random = ChaCha8Rng::seed_from_u64(epoch_micros());
    let mut found = Vec::new();
    while found.len() < COUNT {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, random.random_range(PORTS)));
        if given.insert(address.port()) && TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    found.try_into().map_err(|_| io::Error::other("as many ports as asked for"))
}

fn routes() -> Vec<RouteSample> {
    let route = |kind: CallKind| RouteSample {
        prefix: kind.prefix(),
        kind: match kind {
            CallKind::Safe => "idempotent",
            CallKind::Once => "non_idempotent",
            CallKind::Stream | CallKind::StreamOnce => "streaming",
        },
        service: if kind.is_stream() { "model" } else { "desk" },
        timeout_ms: 6_000,
        max_attempts: 2,
        resumable: kind == CallKind::Stream,
    };
    CallKind::ALL.into_iter().map(route).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no task panics while it holds the lock")
}
