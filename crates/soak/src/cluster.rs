//! A cluster under test: a store, relays and replicas as processes, and the links between them.

use std::{
    collections::BTreeSet,
    io, mem,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use switchfold_kernel::clock::epoch_micros;
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{StandinStore, samples::KIND};
use tokio::{
    io::{BufReader, Lines},
    process::ChildStdout,
    time::sleep,
};

use crate::{
    attendance::{Attendance, CALL_INTERVAL, is_attended},
    caller::{CallerContext, CrashRequest, is_ready},
    checks::{RETRY_ALLOWANCE, RETRY_RATIO, RETRY_WINDOW, REVOKE_TIME},
    config::{ANNEX, ConfigChange, ConfigState, KeyRemoval},
    plan::{ClusterSize, CrashTarget},
    process::SoakProcess,
    proxy::LinkProxy,
    record::{CallKind, Disruption, DisruptionKind, Micros, RunHistory, RunRecord},
    replica::{
        CRASH_EXIT_CODE, CRASH_PART_PREFIX, CRASH_PREFIX, CRASH_SECOND_PREFIX, CUT_PREFIX,
        LEAVING_PREFIX, LINGER, LISTENING_PREFIX, LONG_LINGER,
    },
    shape::ClusterShape,
    slot::ProcessSlot,
    throttle::{ProcessorLimit, THROTTLE_INTERVAL},
    weights::WeightStore,
};

/// Time from SIGTERM to SIGKILL, in seconds.
pub const GRACE_PERIOD_S: u64 = 8;

/// Number of keys in the first configuration.
const KEY_COUNT: usize = 12;

/// Number of keys that are never removed.
const MIN_KEY_COUNT: usize = 3;

/// Interval between two checks of processes and expired entries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a crash of a replica counts as a disruption: until it is restarted and has loaded
/// its layers.
const CRASH_RECOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Number of missed heartbeats after which a replica's entry expires.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Number of replicas of the plain service that a route is moved to. They follow those of
/// [`ClusterSize`], and get no other faults than silence.
pub const ANNEX_COUNT: usize = 2;

/// Programs, directory and size of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Size of the cluster.
    pub size: ClusterSize,
    /// Shape of the cluster.
    pub shape: ClusterShape,
    /// Relay program.
    pub relay: PathBuf,
    /// Program of the stand-in replica.
    pub replica: PathBuf,
    /// Directory for settings and logs.
    pub folder: PathBuf,
}

#[derive(Debug)]
struct RelaySlot {
    slot: Mutex<ProcessSlot>,
    settings: PathBuf,
    settings_values: Value,
    log: PathBuf,
    listen: SocketAddr,
    ready: SocketAddr,
    failed_ready_checks: Mutex<u32>,
    attendance: Mutex<Attendance>,
    store_link: LinkProxy,
}

#[derive(Debug)]
struct ReplicaSlot {
    slot: Mutex<ProcessSlot>,
    /// Id for the next start; `None` if that gets a new one.
    reused_id: Mutex<Option<String>>,
    link: LinkProxy,
    /// Whether the current process has reported the address that it listens on.
    is_listening: AtomicBool,
    service: &'static str,
    data_centre: &'static str,
    kind: &'static str,
}

#[derive(Debug)]
struct KeySet {
    version: u64,
    valid: Vec<String>,
    removed: Vec<String>,
}

/// A running cluster.
#[derive(Debug)]
pub struct SoakCluster {
    config: ClusterConfig,
    store: StandinStore,
    /// Store of the weights, unless layers load at once.
    weights: Option<WeightStore>,
    relays: Vec<RelaySlot>,
    replicas: Vec<ReplicaSlot>,
    keys: Mutex<KeySet>,
    config_state: Mutex<ConfigState>,
    crash_requests: Mutex<Vec<CrashRequest>>,
    /// Relay that gets most new connections.
    crowded: Mutex<Option<usize>>,
    history: Mutex<RunHistory>,
    is_running: AtomicBool,
    is_supervised: AtomicBool,
    /// Whether entries of replicas stay although no heartbeat comes.
    keeps_entries: AtomicBool,
}

impl SoakCluster {
    /// Starts a cluster and waits until every relay is ready.
    ///
    /// # Errors
    ///
    /// Fails if ports, files or programs are not available, or a relay does not become ready within
    /// 60 s.
    pub async fn start(config: ClusterConfig) -> io::Result<Arc<Self>> {
        let store = StandinStore::start().await;
        let (size, shape) = (config.size, config.shape);
        let weights = match shape.model {
            Some(model) => Some(WeightStore::start(model.weights).await?),
            None => None,
        };
        let mut relays = Vec::new();
        for number in 0..size.relays {
            let data_centre = shape.data_centre(number);
            relays
                .push(RelaySlot::new(&config.folder, number, data_centre, store.address()).await?);
        }
        let mut replicas = Vec::new();
        let replica_count = size.replicas();
        for number in 0..replica_count + ANNEX_COUNT {
            let service = match number {
                number if number < size.engines => "engine",
                number if number < replica_count => "desk",
                _ => ANNEX,
            };
            let (data_centre, kind) = match service {
                "engine" => shape.engine(number, size.engines),
                _ => (shape.data_centre(number), KIND),
            };
            replicas.push(ReplicaSlot {
                slot: Mutex::default(),
                reused_id: Mutex::default(),
                link: LinkProxy::start().await?,
                is_listening: AtomicBool::default(),
                service,
                data_centre,
                kind,
            });
        }
        let valid = (0..KEY_COUNT).map(|number| format!("key-{number}")).collect();
        let addresses = replicas.iter().map(|replica| replica.link.address().to_string());
        let history = RunHistory { addresses: addresses.collect(), ..RunHistory::default() };
        let keys = Mutex::new(KeySet { version: 0, valid, removed: Vec::new() });
        let cluster = Arc::new(Self {
            config,
            store,
            weights,
            relays,
            replicas,
            keys,
            config_state: Mutex::default(),
            crash_requests: Mutex::default(),
            crowded: Mutex::default(),
            history: Mutex::new(history),
            is_running: AtomicBool::new(true),
            is_supervised: AtomicBool::new(true),
            keeps_entries: AtomicBool::default(),
        });
        cluster.write_config(1);
        tokio::spawn(cluster.clone().supervise());
        (0..cluster.relays.len())
            .for_each(|number| drop(tokio::spawn(cluster.clone().attend(number))));
        cluster.wait_until_ready().await?;
        cluster.relays.iter().try_for_each(|relay| relay.write_settings(false))?;
        Ok(cluster)
    }

    /// Ends the time before the first request, in which loads of layers are quick.
    pub fn begin_use(&self) {
        self.weights.iter().for_each(WeightStore::begin_use);
    }

    /// Number of relays.
    pub fn relay_count(&self) -> usize {
        self.relays.len()
    }

    /// Number of replicas, without those of the service that a route is moved to.
    pub fn replica_count(&self) -> usize {
        self.config.size.replicas()
    }

    /// Relays in the same data centre as a relay, including that one.
    pub fn relays_in_same_data_centre(&self, number: usize) -> Vec<usize> {
        let shape = self.config.shape;
        let is_near = |other: &usize| shape.data_centre(*other) == shape.data_centre(number);
        (0..self.relays.len()).filter(is_near).collect()
    }

    /// Returns a replica of the plain service that keeps serving for [`LONG_LINGER`] after it
    /// announced that it is leaving.
    ///
    /// # Panics
    ///
    /// Panics if the cluster has fewer than two replicas of that service.
    pub fn lingering_desk(&self) -> usize {
        let mut desks = self.config.size.engines..self.config.size.replicas();
        desks.find(|number| lingers_long(*number)).expect("one of two consecutive numbers is odd")
    }

    /// The stand-in store.
    pub fn store(&self) -> &StandinStore {
        &self.store
    }

    /// Link to a replica.
    pub fn replica_link(&self, number: usize) -> &LinkProxy {
        &self.replicas[number].link
    }

    /// Link from a relay to the store.
    pub fn store_link(&self, number: usize) -> &LinkProxy {
        &self.relays[number].store_link
    }

    /// What was recorded so far.
    ///
    /// # Panics
    ///
    /// Panics if another task panicked while it held the lock.
    pub fn history(&self) -> MutexGuard<'_, RunHistory> {
        self.history.lock().expect("no task panics while it holds the history")
    }

    /// Records a disruption that begins now and lasts for `duration`.
    pub fn record_disruption(&self, kind: DisruptionKind, duration: Duration) {
        let from = epoch_micros();
        let to = from + duration.as_micros() as u64;
        self.history().disruptions.push(Disruption { kind, from, to });
    }

    /// Hands most new connections to a relay from now on, or to the next one once that is out.
    pub fn begin_crowd(&self, number: usize) {
        *lock(&self.crowded) = Some(number);
    }

    /// Hands new connections to all relays again.
    pub fn end_crowd(&self) {
        *lock(&self.crowded) = None;
    }

    /// Returns the number and address of a relay that the load balancer uses, other than `number` if
    /// there is one, whether or not one of them gets most connections.
    pub fn choose_other_relay(
        &self,
        number: usize,
        random: &mut ChaCha8Rng,
    ) -> (usize, SocketAddr) {
        let eligible = self.eligible_relays();
        let others: Vec<usize> = eligible.iter().copied().filter(|it| *it != number).collect();
        let others = if others.is_empty() { eligible } else { others };
        let chosen = others[random.random_range(0..others.len())];
        (chosen, self.relays[chosen].listen)
    }

    /// Returns a key that is never removed.
    pub fn valid_key(&self) -> String {
        lock(&self.keys).valid.last().cloned().unwrap_or_default()
    }

    /// Holds each relay to a share of a processor core from now on.
    pub fn throttle_relays(self: &Arc<Self>, share: f64) {
        (0..self.relays.len()).for_each(|number| {
            drop(tokio::spawn(self.clone().throttle_relay(number, share)));
        });
    }

    async fn throttle_relay(self: Arc<Self>, number: usize, share: f64) {
        let mut limit: Option<ProcessorLimit> = None;
        let mut counted = Instant::now();
        while self.is_supervised.load(Ordering::Relaxed) {
            sleep(THROTTLE_INTERVAL).await;
            let elapsed = mem::replace(&mut counted, Instant::now()).elapsed();
            let slot = lock(&self.relays[number].slot);
            let process = slot.process.as_ref().and_then(SoakProcess::id);
            let Some(process) = process.filter(|_| !slot.is_frozen) else { continue };
            if limit.as_ref().is_none_or(|limit| limit.process() != process) {
                limit = Some(ProcessorLimit::new(share, process));
            }
            let signal = limit.as_mut().and_then(|limit| limit.count(elapsed));
            signal.into_iter().for_each(|signal| slot.signal(signal));
        }
        self.signal_relay(number, Signal::SIGCONT);
    }

    /// Sends a signal to a relay.
    pub fn signal_relay(&self, number: usize, signal: Signal) {
        lock(&self.relays[number].slot).signal(signal);
    }

    /// Pauses a relay until [`Self::unfreeze_relay`]. Meanwhile it is not killed for exceeding its
    /// grace period, since it cannot react to signals.
    pub fn freeze_relay(&self, number: usize) {
        let mut slot = lock(&self.relays[number].slot);
        slot.is_frozen = true;
        slot.signal(Signal::SIGSTOP);
    }

    /// Resumes a relay that was frozen for `duration`, and extends its grace period by that time.
    pub fn unfreeze_relay(&self, number: usize, duration: Duration) {
        let mut slot = lock(&self.relays[number].slot);
        slot.signal(Signal::SIGCONT);
        slot.is_frozen = false;
        slot.kill_at = slot.kill_at.map(|at| at + duration);
    }

    /// Adds a request that crashes replicas to those that are sent from now on.
    pub fn start_crash_request(&self, kind: CallKind, target: CrashTarget) {
        let mut crash_requests = lock(&self.crash_requests);
        let prefix = match target {
            CrashTarget::First => CRASH_PREFIX,
            CrashTarget::Second => CRASH_SECOND_PREFIX,
            CrashTarget::FirstByPart => CRASH_PART_PREFIX,
        };
        let name = format!("{prefix}{}", crash_requests.len());
        crash_requests.push(CrashRequest { kind, name });
    }

    /// Sends a signal to a replica.
    pub fn signal_replica(&self, number: usize, signal: Signal) {
        lock(&self.replicas[number].slot).signal(signal);
    }

    /// Sends a signal to a replica that has installed its handlers. Before that the signal would
    /// kill it.
    pub fn notify_replica(&self, number: usize, signal: Signal) {
        if self.replicas[number].is_listening.load(Ordering::Relaxed) {
            self.signal_replica(number, signal);
        }
    }

    /// Kills a relay, which is restarted after `downtime`.
    pub fn kill_relay(&self, number: usize, downtime: Duration) {
        lock(&self.relays[number].slot).kill(downtime);
    }

    /// Kills a replica, which is restarted after `downtime`.
    pub fn kill_replica(&self, number: usize, downtime: Duration) {
        lock(&self.replicas[number].slot).kill(downtime);
    }

    /// Sends SIGTERM to a relay, and kills it if it has not exited after the grace period.
    pub fn stop_relay(&self, number: usize) {
        let mut slot = lock(&self.relays[number].slot);
        if slot.stop_with(Signal::SIGTERM) {
            slot.kill_at =
                slot.kill_at.or(Some(Instant::now() + Duration::from_secs(GRACE_PERIOD_S)));
        }
    }

    /// Sends SIGTERM to a replica, which announces that it is leaving, drains and exits.
    pub fn drain_replica(&self, number: usize) {
        // A replica that announced that it is leaving does not restart under the same id.
        lock(&self.replicas[number].reused_id).take();
        lock(&self.replicas[number].slot).stop_with(Signal::SIGTERM);
    }

    /// Writes the configuration to the store, with the last version increased by `step`.
    pub fn write_config(&self, step: u64) {
        let mut keys = lock(&self.keys);
        keys.version += step;
        let valid: Vec<&str> = keys.valid.iter().map(String::as_str).collect();
        let state = lock(&self.config_state);
        let mut config = state.encode(keys.version, &valid);
        if let Some(model) = self.config.shape.model {
            model.describe(&mut config);
        }
        self.store.put(CONFIG_KIND, CONFIG_NAME, config);
        self.history().idle_limits.push((epoch_micros(), state.idle_limit_ms() * 1_000));
    }

    /// Changes the configuration, and writes it.
    pub fn change_config(&self, change: ConfigChange) {
        lock(&self.config_state).change(change);
        self.write_config(1);
    }

    /// Sets whether the entries of replicas without heartbeats stay.
    pub fn keep_entries(&self, keep: bool) {
        self.keeps_entries.store(keep, Ordering::Relaxed);
    }

    /// Removes the first valid key, unless only `MIN_KEY_COUNT` are left.
    pub fn remove_key(&self) {
        let removed = {
            let mut keys = lock(&self.keys);
            if keys.valid.len() <= MIN_KEY_COUNT {
                return;
            }
            let removed = keys.valid.remove(0);
            keys.removed.push(removed.clone());
            removed
        };
        self.write_config(3);
        self.history().revoked.push((removed, epoch_micros()));
    }

    /// Removes all keys. Callers use them on, and one that no version has held.
    pub fn remove_all_keys(&self, removal: KeyRemoval) {
        const FOREIGN_KEY: &str = "key-foreign";
        let removed = {
            let mut keys = lock(&self.keys);
            let removed = mem::take(&mut keys.valid);
            keys.removed.extend(removed.iter().cloned());
            keys.removed.push(FOREIGN_KEY.to_owned());
            removed
        };
        lock(&self.config_state).remove_keys(removal);
        self.write_config(3);
        let removed_at = epoch_micros();
        let revoked = removed.into_iter().map(|key| (key, removed_at));
        self.history().revoked.extend(revoked.chain([(FOREIGN_KEY.to_owned(), 0)]));
    }

    /// Whether a key is valid.
    pub fn is_valid_key(&self, key: &str) -> bool {
        lock(&self.keys).valid.iter().any(|valid| valid == key)
    }

    /// Makes the callers stop after their current call.
    pub fn stop_callers(&self) {
        self.is_running.store(false, Ordering::Relaxed);
    }

    /// Lets new callers call after the earlier ones were stopped.
    pub fn allow_callers(&self) {
        self.is_running.store(true, Ordering::Relaxed);
    }

    /// Records the memory of all relays, stops them, and ends all processes.
    pub async fn shut_down(&self) {
        self.is_supervised.store(false, Ordering::Relaxed);
        sleep(POLL_INTERVAL * 2).await;
        join_all((0..self.relays.len()).map(|number| self.shut_down_relay(number))).await;
        self.replicas.iter().for_each(|replica| drop(lock(&replica.slot).process.take()));
    }

    async fn shut_down_relay(&self, number: usize) {
        let process = lock(&self.relays[number].slot).process.take();
        let Some(mut process) = process else { return };
        self.history().memory_kb.extend(process.memory_kb());
        process.signal(Signal::SIGTERM);
        let exit_status = process.wait(Duration::from_secs(GRACE_PERIOD_S)).await;
        if !exit_status.is_some_and(|exit_status| exit_status.success()) {
            let detail = format!("relay {number} exited with {exit_status:?} after SIGTERM");
            self.history().unexpected_exits.push(detail);
        }
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        for relay in &self.relays {
            while !is_ready(relay.ready).await {
                if Instant::now() > deadline {
                    return Err(io::Error::other("a relay did not become ready within 60 s"));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Restarts processes, checks the relays' readiness, and expires the entries of replicas
    /// without heartbeats.
    async fn supervise(self: Arc<Self>) {
        let ClusterShape { heartbeat, ready_interval, .. } = self.config.shape;
        let mut ready_checked: Option<Instant> = None;
        while self.is_supervised.load(Ordering::Relaxed) {
            for number in 0..self.replicas.len() {
                self.restart_replica_if_due(number);
            }
            for number in 0..self.relays.len() {
                self.restart_relay_if_due(number);
            }
            if !self.keeps_entries.load(Ordering::Relaxed) {
                self.store.expire(REPLICA_KIND, heartbeat * MAX_MISSED_HEARTBEATS);
            }
            if ready_checked.is_none_or(|checked| checked.elapsed() >= ready_interval) {
                ready_checked = Some(Instant::now());
                tokio::spawn(self.clone().check_readiness());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the longest time in which a relay that is ready throughout does not respond.
    async fn attend(self: Arc<Self>, number: usize) {
        let relay = &self.relays[number];
        while self.is_supervised.load(Ordering::Relaxed) {
            let is_attended = is_attended(relay.listen).await;
            self.record_unattended(number);
            if is_attended {
                self.record_response(number);
            }
            sleep(CALL_INTERVAL).await;
        }
    }

    fn record_unattended(&self, number: usize) {
        let unattended = lock(&self.relays[number].attendance).unattended();
        let mut history = self.history();
        let longest = history.longest_unattended.entry(number).or_default();
        *longest = unattended.max(*longest);
    }

    async fn check_readiness(self: Arc<Self>) {
        for relay in &self.relays {
            let ready = is_ready(relay.ready).await;
            let mut failed_ready_checks = lock(&relay.failed_ready_checks);
            *failed_ready_checks = if ready { 0 } else { *failed_ready_checks + 1 };
            lock(&relay.attendance).record_check(ready);
        }
    }

    /// Numbers of the relays that the load balancer uses.
    fn eligible_relays(&self) -> Vec<usize> {
        const MAX_FAILED_CHECKS: u32 = 2;
        let is_ready =
            |number: &usize| *lock(&self.relays[*number].failed_ready_checks) < MAX_FAILED_CHECKS;
        let all: Vec<usize> = (0..self.relays.len()).collect();
        let eligible: Vec<usize> = all.iter().copied().filter(is_ready).collect();
        if eligible.len() * 2 < all.len() { all } else { eligible }
    }

    fn restart_relay_if_due(&self, number: usize) {
        let relay = &self.relays[number];
        let mut slot = lock(&relay.slot);
        if let Some(problem) = slot.poll(None) {
            self.history().unexpected_exits.push(format!("relay {number} {problem}"));
        }
        if slot.is_start_due() {
            let settings = relay.settings.to_string_lossy().into_owned();
            let arguments = ["--settings", settings.as_str()];
            let started = SoakProcess::start_logged(&self.config.relay, &arguments, &relay.log);
            slot.record_start(started);
        }
    }

    fn restart_replica_if_due(self: &Arc<Self>, number: usize) {
        let replica = &self.replicas[number];
        let mut slot = lock(&replica.slot);
        // Unless the soak stopped it, a replica exits only when a request crashed it. Any other
        // exit is a fault of the stand-in.
        if let Some(problem) = slot.poll(Some(CRASH_EXIT_CODE)) {
            self.history().unexpected_exits.push(format!("replica {number} {problem}"));
        }
        if !slot.is_start_due() {
            return;
        }
        let reused_id = lock(&replica.reused_id).take();
        let id = reused_id.unwrap_or_else(|| format!("i-{number}-{}", slot.starts));
        let advertise = replica.link.address().to_string();
        let store = self.store.address().to_string();
        let linger = if lingers_long(number) { LONG_LINGER } else { LINGER };
        let linger = linger.as_millis().to_string();
        let shape = self.config.shape;
        let heartbeat = shape.heartbeat.as_millis().to_string();
        let lag = shape.list_lag.as_millis().to_string();
        let layers = shape.layers().to_string();
        let slots = shape.slots().to_string();
        let weights = self.weights.as_ref().map(|weights| weights.address().to_string());
        let mut arguments = vec![
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
            "--heartbeat-ms",
            &heartbeat,
            "--lag-ms",
            &lag,
            "--kind",
            replica.kind,
            "--layers",
            &layers,
            "--slots",
            &slots,
        ];
        if let Some(weights) = &weights {
            arguments.extend(["--weights", weights]);
        }
        replica.link.set_target(None);
        replica.is_listening.store(false, Ordering::Relaxed);
        match SoakProcess::start_read(&self.config.replica, &arguments) {
            Ok((process, lines)) => {
                *lock(&replica.reused_id) = reuses_id(number).then(|| id.clone());
                tokio::spawn(self.clone().read_replica_output(number, id, lines));
                slot.record_start(Ok(process));
            }
            Err(error) => slot.record_start(Err(error)),
        }
    }

    /// Reads the output of a replica until it exits.
    async fn read_replica_output(
        self: Arc<Self>,
        number: usize,
        id: String,
        mut lines: Lines<BufReader<ChildStdout>>,
    ) {
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(address) = line.strip_prefix(LISTENING_PREFIX) {
                self.replicas[number].link.set_target(address.parse().ok());
                self.replicas[number].is_listening.store(true, Ordering::Relaxed);
            } else if let Some(at) = line.strip_prefix(LEAVING_PREFIX) {
                let at = at.parse().unwrap_or_else(|_| epoch_micros());
                self.history().leaving.push((id.clone(), at));
            } else if let Some(id) = line.strip_prefix(CUT_PREFIX) {
                self.history().cuts.insert(id.to_owned());
            } else if let Ok(record) = serde_json::from_str::<RunRecord>(&line) {
                if record.bad.is_some() {
                    self.record_disruption(DisruptionKind::ReplicaCrash, CRASH_RECOVERY_TIME);
                }
                self.history().runs.push(record);
            } else {
                // The line is incomplete because the replica was killed while writing it.
                eprintln!("unexpected line from replica {id}: {line:?}");
            }
        }
    }
}

/// Whether a replica keeps its id when it restarts after a crash. Every other one does.
fn reuses_id(number: usize) -> bool {
    number.is_multiple_of(2)
}

impl CallerContext for SoakCluster {
    fn choose_relay(&self, random: &mut ChaCha8Rng) -> (usize, SocketAddr) {
        const CROWD_RATIO: (u32, u32) = (9, 10);
        let eligible = self.eligible_relays();
        let drawn = eligible[random.random_range(0..eligible.len())];
        let crowded = *lock(&self.crowded);
        let crowded = crowded.filter(|_| random.random_ratio(CROWD_RATIO.0, CROWD_RATIO.1));
        // The next one in order, once that relay is out.
        let crowded = crowded.map(|from| {
            let next = eligible.iter().find(|number| **number >= from);
            *next.unwrap_or(&eligible[0])
        });
        let number = crowded.unwrap_or(drawn);
        (number, self.relays[number].listen)
    }

    fn record_response(&self, relay: usize) {
        lock(&self.relays[relay].attendance).record_response();
    }

    fn opens_connections(&self) -> bool {
        lock(&self.crowded).is_some()
    }

    fn idle_limit(&self) -> Micros {
        self.history().idle_limit(epoch_micros())
    }

    fn choose_key(&self, random: &mut ChaCha8Rng) -> String {
        const CALLS_PER_REMOVED_KEY: u32 = 5;
        let keys = lock(&self.keys);
        let is_drawn = random.random_range(0..CALLS_PER_REMOVED_KEY) == 0;
        let removed = (is_drawn && !keys.removed.is_empty()) || keys.valid.is_empty();
        let candidates = if removed { &keys.removed } else { &keys.valid };
        candidates[random.random_range(0..candidates.len())].clone()
    }

    fn choose_crash_request(&self, random: &mut ChaCha8Rng) -> Option<CrashRequest> {
        let crash_requests = lock(&self.crash_requests);
        (!crash_requests.is_empty())
            .then(|| crash_requests[random.random_range(0..crash_requests.len())].clone())
    }

    fn is_running(&self) -> bool {
        self.is_running.load(Ordering::Relaxed)
    }
}

impl RelaySlot {
    async fn new(
        folder: &Path,
        number: usize,
        data_centre: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let link = LinkProxy::start().await?;
        link.set_target(Some(store));
        let [listen, ready, peers, metrics] = free_ports()?;
        let settings = json!({
            "name": format!("relay-{number}"),
            "data_centre": data_centre,
            "region": "west",
            "listen": listen, "ready_listen": ready,
            "peer_listen": peers, "metrics_listen": metrics,
            "platform": link.address(),
            "bounds": {
                "revoke_ms": REVOKE_TIME / 1_000, "grace_s": GRACE_PERIOD_S,
                "retry_ratio": RETRY_RATIO, "retry_window_s": RETRY_WINDOW / 1_000_000,
                "retry_allowance": RETRY_ALLOWANCE,
            },
        });
        let slot = Self {
            slot: Mutex::default(),
            settings: folder.join(format!("relay-{number}.json")),
            settings_values: settings,
            log: folder.join(format!("relay-{number}.log")),
            listen,
            ready,
            failed_ready_checks: Mutex::default(),
            attendance: Mutex::default(),
            store_link: link,
        };
        slot.write_settings(true)?;
        Ok(slot)
    }

    /// Writes the settings file. `first_start` states that the system has never run before.
    fn write_settings(&self, first_start: bool) -> io::Result<()> {
        let mut settings = self.settings_values.clone();
        settings["first_start"] = first_start.into();
        std::fs::write(&self.settings, settings.to_string())
    }
}

/// Whether a replica keeps serving for [`LONG_LINGER`] once it is leaving. Every other one does.
fn lingers_long(number: usize) -> bool {
    !number.is_multiple_of(2)
}

/// Returns loopback ports that nothing listens on. They are outside the range of ephemeral ports,
/// so that a relay can bind them again after a restart. No port is returned twice, not even to
/// concurrent runs.
fn free_ports<const COUNT: usize>() -> io::Result<[SocketAddr; COUNT]> {
    const PORTS: std::ops::Range<u16> = 12_000..30_000;
    static USED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut used_ports = lock(&USED_PORTS);
    let mut random = ChaCha8Rng::seed_from_u64(epoch_micros());
    let mut found = Vec::new();
    while found.len() < COUNT {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, random.random_range(PORTS)));
        if used_ports.insert(address.port()) && TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
        .try_into()
        .map_err(|_| io::Error::other("found a different number of ports than requested"))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no task panics while it holds the lock")
}
