//! Losses of power: relays, replicas and the store go at once, and come back one after the other.
//!
//! Callers go on all the while. What is measured is the share of their calls that is served in each
//! second after everything is back.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::clock::epoch_micros;
use switchfold_platform::{CONFIG_KIND, QUARANTINE_KIND, RELAY_KIND, REPLICA_KIND};
use switchfold_platform_standin::{StandinStore, StoreBehaviour};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    caller::{CallerContext, CrashRequest, run_caller},
    checks::{Violation, check, check_load_recovery, check_recovery},
    cluster::{ClusterConfig, SoakCluster},
    config::ConfigChange,
    plan::ClusterSize,
    record::{CallKind, CallRecord, DisruptionKind, Micros},
};

/// Time for which engines load their first layers before callers call.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Time before the loss in which callers call.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

/// Part of it, at its end, with whose share of served calls the recovery is compared.
const COMPARED_TIME: Micros = COMPARED_SECONDS as Micros * 1_000_000;

/// The same in seconds.
const COMPARED_SECONDS: usize = 3;

/// Time after the return of everything that is measured.
const MEASURED_SECONDS: usize = 10;

/// The same, with engines that load a large model.
const MEASURED_LOAD_SECONDS: usize = 30;

/// Callers that are added in a surge, for each of the others.
const SURGE_FACTOR: usize = 3;

/// Time for which a surge goes on after the loss.
const SURGE_TIME: Duration = Duration::from_secs(2);

/// Interval at which another writer renews its odd entries.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Range of the downtime of a process, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 300..1_500;

/// Downtime of a replica that does not come back.
const GONE_TIME: Duration = Duration::from_secs(600);

/// What loses power.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum LossScope {
    #[display("nothing")]
    Nothing,
    #[display("relays")]
    Relays,
    #[display("relays-and-replicas")]
    RelaysAndReplicas,
    #[display("replicas")]
    Replicas,
}

/// What happens just before a loss.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum LossCue {
    #[display("quiet")]
    Quiet,
    #[display("configuration")]
    Configuration,
    #[display("key-removal")]
    KeyRemoval,
    #[display("planned-stops")]
    PlannedStops,
}

/// A loss of power, and what the processes come back to.
#[derive(Clone, Copy, Debug)]
struct PowerLoss {
    scope: LossScope,
    cue: LossCue,
    /// Time over which the starts are spread.
    spread: Duration,
    /// Time until the relays lose power once more.
    again_after: Option<Duration>,
    /// Behaviour of the store after the loss, and for how long.
    store: (StoreBehaviour, Duration),
    /// Whether the store comes back from a backup of before the cue.
    is_restored: bool,
    /// Whether entries of replicas that are down stay.
    keeps_entries: bool,
    /// Whether another writer left odd objects.
    has_odd_objects: bool,
    /// Whether one replica does not come back.
    loses_replica: bool,
    has_surge: bool,
}

impl PowerLoss {
    /// Draws a loss, in which all engines lose their layers if `loses_engines` is set.
    fn draw(random: &mut ChaCha8Rng, loses_engines: bool) -> Self {
        let all = [
            LossScope::Relays,
            LossScope::Relays,
            LossScope::RelaysAndReplicas,
            LossScope::RelaysAndReplicas,
            LossScope::Replicas,
            LossScope::Nothing,
        ];
        let of_replicas = [LossScope::RelaysAndReplicas, LossScope::Replicas];
        let scopes = if loses_engines { &of_replicas[..] } else { &all };
        let cues =
            [LossCue::Quiet, LossCue::Configuration, LossCue::KeyRemoval, LossCue::PlannedStops];
        let stores = [
            StoreBehaviour::Healthy,
            StoreBehaviour::Healthy,
            StoreBehaviour::Unavailable,
            StoreBehaviour::Unresponsive,
            StoreBehaviour::RateLimited,
            StoreBehaviour::LateLists(REPLICA_KIND, Duration::from_millis(400)),
        ];
        let scope = scopes[random.random_range(0..scopes.len())];
        let loses_relays = matches!(scope, LossScope::Relays | LossScope::RelaysAndReplicas);
        Self {
            scope,
            cue: cues[random.random_range(0..cues.len())],
            spread: Duration::from_millis([0, 300, 3_000, 8_000][random.random_range(0..4)]),
            again_after: (loses_relays && random.random_ratio(1, 4))
                .then(|| Duration::from_millis(random.random_range(300..4_000))),
            store: (
                stores[random.random_range(0..stores.len())],
                Duration::from_millis(random.random_range(200..5_000)),
            ),
            is_restored: random.random_ratio(1, 4),
            keeps_entries: random.random_ratio(1, 3),
            has_odd_objects: random.random_ratio(1, 2),
            loses_replica: random.random_ratio(1, 4),
            has_surge: scope == LossScope::Nothing || random.random_ratio(1, 4),
        }
    }
}

impl fmt::Display for PowerLoss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { scope, cue, spread, again_after, store: (behaviour, lasts), .. } = self;
        write!(formatter, "{scope} after {cue}, starts within {} ms", spread.as_millis())?;
        if let Some(again) = again_after {
            write!(formatter, ", again after {} ms", again.as_millis())?;
        }
        if *behaviour != StoreBehaviour::Healthy {
            write!(formatter, ", store {behaviour:?} for {} ms", lasts.as_millis())?;
        }
        let flags = [
            (self.is_restored, "restored"),
            (self.keeps_entries, "stale entries"),
            (self.has_odd_objects, "odd objects"),
            (self.loses_replica, "one replica gone"),
            (self.has_surge, "surge"),
        ];
        let flags = flags.iter().filter(|(is_set, _)| *is_set);
        flags.into_iter().try_for_each(|(_, name)| write!(formatter, ", {name}"))
    }
}

/// What a run of a loss showed.
#[derive(Clone, Debug)]
pub struct RecoveryReport {
    /// Seed of the run.
    pub seed: u64,
    /// The loss.
    pub loss: String,
    /// Calls and served calls just before the loss.
    pub before: (usize, usize),
    /// Calls and served calls of each second after everything is back.
    pub after: Vec<(usize, usize)>,
    /// Longest time in which a ready relay did not respond on a new connection.
    pub longest_unattended: Duration,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (calls, served) = self.before;
        write!(formatter, "seed {}: {}\n    before {served}/{calls}, after", self.seed, self.loss)?;
        self.after.iter().try_for_each(|(calls, served)| write!(formatter, " {served}/{calls}"))?;
        let unattended_ms = self.longest_unattended.as_millis();
        write!(formatter, "\n    a ready relay did not respond for {unattended_ms} ms at most")?;
        self.violations.iter().try_for_each(|violation| write!(formatter, "\n    {violation}"))
    }
}

/// Callers that stop by themselves, whatever the others do.
struct CallerGroup {
    cluster: Arc<SoakCluster>,
    is_running: AtomicBool,
}

impl CallerContext for CallerGroup {
    fn choose_relay(&self, random: &mut ChaCha8Rng) -> (usize, SocketAddr) {
        self.cluster.choose_relay(random)
    }

    fn idle_limit(&self) -> Micros {
        self.cluster.idle_limit()
    }

    fn choose_key(&self, random: &mut ChaCha8Rng) -> String {
        self.cluster.choose_key(random)
    }

    fn choose_crash_request(&self, random: &mut ChaCha8Rng) -> Option<CrashRequest> {
        self.cluster.choose_crash_request(random)
    }

    fn record_response(&self, relay: usize) {
        self.cluster.record_response(relay);
    }

    fn opens_connections(&self) -> bool {
        self.cluster.opens_connections()
    }

    fn is_running(&self) -> bool {
        self.is_running.load(Ordering::Relaxed)
    }
}

/// Running callers of a group.
struct RunningCallers {
    group: Arc<CallerGroup>,
    tasks: Vec<JoinHandle<Vec<CallRecord>>>,
}

impl RunningCallers {
    fn start(cluster: &Arc<SoakCluster>, prefix: &str, count: usize, seed: u64) -> Self {
        let group =
            Arc::new(CallerGroup { cluster: cluster.clone(), is_running: AtomicBool::new(true) });
        let tasks = (0..count as u64).map(|number| {
            let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(28) ^ number);
            let name = format!("{prefix}{number}");
            tokio::spawn(run_caller(name, &CallKind::ALL, group.clone(), random))
        });
        Self { tasks: tasks.collect(), group }
    }

    async fn stop(self) -> io::Result<Vec<CallRecord>> {
        self.group.is_running.store(false, Ordering::Relaxed);
        let mut calls = Vec::new();
        for task in self.tasks {
            calls.extend(task.await.map_err(io::Error::other)?);
        }
        Ok(calls)
    }
}

/// Runs the loss of a seed.
///
/// # Errors
///
/// Fails if the cluster does not start or a caller panics.
pub async fn run_recovery(seed: u64, config: ClusterConfig) -> io::Result<RecoveryReport> {
    let (size, is_large) = (config.size, config.shape.model.is_some());
    let cluster = SoakCluster::start(config).await?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let loss = PowerLoss::draw(&mut random, is_large);
    if is_large {
        sleep(LOAD_TIME).await;
    }
    cluster.begin_use();
    let callers = RunningCallers::start(&cluster, &format!("s{seed}c"), size.callers, seed);
    sleep(WARM_UP_TIME).await;
    let surge_size = if loss.has_surge { size.callers * SURGE_FACTOR } else { 0 };
    let lost_at = epoch_micros();
    let writer = loss.has_odd_objects.then(|| write_odd_objects(cluster.store().clone()));
    sleep(RENEW_INTERVAL).await;
    let surge = RunningCallers::start(&cluster, &format!("s{seed}o"), surge_size, !seed);
    let crowded = draw_crowded_relay(seed, &size);
    crowded.into_iter().for_each(|number| cluster.begin_crowd(number));
    apply_loss(&cluster, loss, &mut random).await;
    cluster.end_crowd();
    sleep(if loss.has_surge { SURGE_TIME } else { Duration::ZERO }).await;
    let mut calls = surge.stop().await?;
    let back_at = epoch_micros();
    let seconds = if is_large { MEASURED_LOAD_SECONDS } else { MEASURED_SECONDS };
    sleep(Duration::from_secs(seconds as u64)).await;
    calls.extend(callers.stop().await?);
    if let Some(writer) = writer {
        writer.abort();
    }
    cluster.shut_down().await;
    // Without layers only streams are refused.
    let is_counted = |call: &&CallRecord| {
        cluster.is_valid_key(&call.key) && (!is_large || call.kind.is_stream())
    };
    let count = |from: Micros, to: Micros| {
        let sent = calls.iter().filter(is_counted);
        let sent = sent.filter(|call| (from..to).contains(&call.sent_at));
        sent.fold((0, 0), |(calls, served), call| {
            (calls + 1, served + usize::from(call.is_served()))
        })
    };
    let before = count(lost_at - COMPARED_TIME, lost_at);
    let starts = (0..seconds as u64).map(|second| back_at + second * 1_000_000);
    let after: Vec<(usize, usize)> = starts.map(|from| count(from, from + 1_000_000)).collect();
    let mut history = cluster.history();
    history.calls = calls;
    let mut violations = check(&history, switchfold_platform_standin::samples::ORGANISATION);
    violations.extend(match is_large {
        true => check_load_recovery(before, COMPARED_SECONDS, &after),
        false => check_recovery(before, &after),
    });
    let longest_unattended = history.longest_unattended.values().max().copied().unwrap_or_default();
    Ok(RecoveryReport {
        seed,
        loss: loss.to_string(),
        before,
        after,
        longest_unattended,
        violations,
    })
}

/// Draws whether most new connections go to one relay during the loss, and to which. Uses a random
/// generator of its own.
fn draw_crowded_relay(seed: u64, size: &ClusterSize) -> Option<usize> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    random.random_ratio(1, 2).then(|| random.random_range(0..size.relays))
}

/// Applies a loss, and waits until everything is back.
async fn apply_loss(cluster: &Arc<SoakCluster>, loss: PowerLoss, random: &mut ChaCha8Rng) {
    let (behaviour, lasts) = loss.store;
    let store = cluster.store();
    store.take_backup();
    match loss.cue {
        LossCue::Quiet => {}
        LossCue::Configuration => cluster.change_config(ConfigChange::SpareRoutes(3)),
        LossCue::KeyRemoval => cluster.remove_key(),
        LossCue::PlannedStops => {
            (0..cluster.relay_count() / 2).for_each(|number| cluster.stop_relay(number));
            sleep(Duration::from_millis(random.random_range(0..1_000))).await;
        }
    }
    cluster.keep_entries(loss.keeps_entries);
    let mut back_in = kill(cluster, loss, random);
    let outage = if behaviour == StoreBehaviour::Healthy { Duration::ZERO } else { lasts };
    store.set_behaviour(behaviour);
    if let Some(again) = loss.again_after {
        sleep(again).await;
        back_in = back_in.saturating_sub(again);
        let relays = PowerLoss { scope: LossScope::Relays, ..loss };
        back_in = back_in.max(kill(cluster, relays, random));
    }
    let since_loss = loss.again_after.unwrap_or_default();
    let outage = outage.saturating_sub(since_loss);
    cluster.record_disruption(DisruptionKind::Fault, back_in.max(outage));
    sleep(outage).await;
    if loss.is_restored {
        store.restore_backup();
        // The operator writes again what the backup lacks.
        cluster.write_config(0);
    }
    store.set_behaviour(StoreBehaviour::Healthy);
    sleep(back_in.saturating_sub(outage)).await;
    cluster.keep_entries(false);
}

/// Kills the processes of a loss. Returns the time until the last of them that comes back starts.
fn kill(cluster: &SoakCluster, loss: PowerLoss, random: &mut ChaCha8Rng) -> Duration {
    let base = Duration::from_millis(random.random_range(DOWNTIME_MS));
    let mut last = Duration::ZERO;
    let mut downtime = |random: &mut ChaCha8Rng| {
        let downtime = base + loss.spread.mul_f64(random.random());
        last = last.max(downtime);
        downtime
    };
    if matches!(loss.scope, LossScope::Relays | LossScope::RelaysAndReplicas) {
        for number in 0..cluster.relay_count() {
            let downtime = downtime(random);
            cluster.record_disruption(DisruptionKind::RelayFault(number), downtime);
            cluster.kill_relay(number, downtime);
        }
    }
    if matches!(loss.scope, LossScope::Replicas | LossScope::RelaysAndReplicas) {
        let gone = loss.loses_replica.then(|| random.random_range(0..cluster.replica_count()));
        for number in 0..cluster.replica_count() {
            let downtime = downtime(random);
            let downtime = if gone == Some(number) { GONE_TIME } else { downtime };
            cluster.kill_replica(number, downtime);
        }
    }
    last
}

/// Keeps odd objects of all kinds in the store, among them some that fill a page of a list.
fn write_odd_objects(store: StandinStore) -> JoinHandle<()> {
    const PAGE_BYTES: usize = (1 << 20) - 1_000;
    let large = [
        format!("{}{}", "[".repeat(PAGE_BYTES / 2), "]".repeat(PAGE_BYTES / 2)),
        format!(r#"{{"slots":{}}}"#, "9".repeat(PAGE_BYTES)),
    ];
    let small = [
        r#"{"service":"desk","address":"127.0.0.1:70000","slots":1e400}"#.to_owned(),
        r#"{"born":9000000000000000,"layers":{"from":9,"target_version":3}}"#.to_owned(),
        r#""\ud800""#.to_owned(),
        "NaN".to_owned(),
    ];
    tokio::spawn(async move {
        let names = ["a odd", "i-0-odd", "zz"];
        for kind in [CONFIG_KIND, RELAY_KIND, QUARANTINE_KIND] {
            let specs = large.iter().chain(&small).enumerate();
            specs.for_each(|(number, spec)| {
                store.put_text(kind, &format!("{}{number}", names[number % 3]), spec);
            });
        }
        loop {
            let specs = large.iter().chain(&small).enumerate();
            for (number, spec) in specs {
                store.put_text(REPLICA_KIND, &format!("{}{number}", names[number % 3]), spec);
            }
            sleep(RENEW_INTERVAL).await;
        }
    })
}
