//! Runs a seed and reports the result.

use std::{collections::BTreeMap, io, slice, sync::Arc, time::Duration};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::clock::epoch_micros;
use switchfold_platform::REPLICA_KIND;
use switchfold_platform_standin::{StoreBehaviour, samples::ORGANISATION};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    caller::{run_caller, run_crash_caller},
    checks::{REVOKE_TIME, Violation, check},
    cluster::{ClusterConfig, GRACE_PERIOD_S, SoakCluster},
    config::KeyRemoval,
    notices::{LIMIT_DURATION, REJECT_DURATION},
    patient::run_patient_caller,
    plan::{
        ClusterSize, Fault, PlannedFault, STORE_OUTAGE_AFTER_FREEZE, make_crash_faults,
        make_limit_faults, make_notice_faults, make_plan, make_relay_crowds, make_restore_faults,
        make_silence_plan, make_start_faults,
    },
    proxy::LinkCondition,
    record::{CallKind, CallOutcome, CallRecord, DisruptionKind},
};

/// Time after the last fault within which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Time after that in which calls are counted.
const MEASURED_TIME: Duration = Duration::from_secs(3);

/// Time after that in which the classes ask for more than the engines can run.
const OVERLOAD_TIME: Duration = Duration::from_secs(6);

/// Callers of each class for each engine in that time. Those of the three classes together ask for
/// twice as many streams at once as an engine has slots, six.
const OVERLOAD_CALLERS_PER_ENGINE: usize = 4;

/// Callers that send the next request the moment a long stream ends.
const REUSING_CALLERS: u64 = 4;

/// Time in which sound replicas fall silent and resume.
const SILENCE_TIME: Duration = Duration::from_secs(10);

/// Callers for each relay in that time.
const PATIENT_CALLERS_PER_RELAY: u64 = 8;

/// Time after that in which callers keep calling, so that the last silences end requests as well.
const MAX_CALL_TIME: Duration = Duration::from_secs(2);

/// Callers of slow requests while most relays stop.
const SLOW_CALLERS: u64 = 24;

/// Time in which they call before that.
const SLOW_TIME: Duration = Duration::from_secs(3);

/// Time for which callers go on once removed keys must be rejected.
const REJECTED_TIME: Duration = Duration::from_secs(3);

/// Shortest downtime of a killed process.
const MIN_DOWNTIME: Duration = Duration::from_millis(300);

/// Time that a restarted process may need until it serves. It counts as part of the fault that
/// ended the process.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Number of calls by kind and outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of calls counted after the last fault, and of those that were served.
    pub after_faults: (usize, usize),
    /// Number of those that were not served, by kind and outcome.
    pub unserved: BTreeMap<String, usize>,
}

impl SoakReport {
    /// Returns whether the logs of the run are worth reading: a guarantee was violated, or few calls
    /// were served after the last fault.
    pub fn needs_logs(&self) -> bool {
        let (calls, served) = self.after_faults;
        !self.violations.is_empty() || served * 2 < calls
    }
}

/// Injects the faults of a seed for `length`, waits until requests must be served again, and checks
/// what was recorded.
///
/// # Errors
///
/// Fails if the cluster does not start or a caller panics.
pub async fn run_seed(
    seed: u64,
    length: Duration,
    config: ClusterConfig,
) -> io::Result<SoakReport> {
    let size = config.size;
    let cluster = SoakCluster::start(config).await?;
    let callers: Vec<_> = (0..size.callers)
        .map(|number| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
            let name = format!("s{seed}c{number}");
            tokio::spawn(run_caller(name, &CallKind::ALL, cluster.clone(), random))
        })
        .collect();
    let class_callers = start_class_callers(&cluster, seed, "k", 1);
    let reusing_callers: Vec<_> = (0..REUSING_CALLERS)
        .map(|number| {
            let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(8) ^ number);
            let name = format!("s{seed}r{number}");
            tokio::spawn(run_caller(name, &CallKind::REUSING, cluster.clone(), random))
        })
        .collect();
    let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + size.callers as u64);
    let crash_caller = run_crash_caller(format!("s{seed}bad"), cluster.clone(), random);
    let crash_caller = tokio::spawn(crash_caller);
    let mut plan = make_plan(seed, &size, length);
    plan.extend(make_crash_faults(seed, &size, length));
    plan.extend(make_notice_faults(seed, &size, length));
    plan.extend(make_restore_faults(seed, length));
    plan.extend(make_limit_faults(seed, &size, length));
    plan.extend(make_start_faults(seed, &size, length));
    plan.extend(make_relay_crowds(seed, &size, length));
    plan.sort_by_key(|planned| planned.at);
    inject(&cluster, &plan, length).await;
    sleep(RECONNECT_TIME).await;
    drain_during_outage(&cluster, seed).await;
    sleep(RECOVERY_TIME).await;
    let measured_from = epoch_micros();
    sleep(MEASURED_TIME).await;
    cluster.stop_callers();
    let calls = join_callers(callers).await?;
    let crash_calls = crash_caller.await.map_err(io::Error::other)?;
    let mut class_calls = join_callers(class_callers).await?;
    class_calls.extend(join_callers(reusing_callers).await?);
    class_calls.extend(silence_replicas(&cluster, seed, &size).await?);
    class_calls.extend(stop_most_relays(&cluster, seed).await?);
    class_calls.extend(overload(&cluster, seed, size.engines).await?);
    class_calls.extend(remove_all_keys(&cluster, seed, &size).await?);
    cluster.shut_down().await;
    let calls = SoakCalls { calls, class_calls, crash_calls };
    Ok(build_report(&cluster, seed, plan.len(), calls, measured_from))
}

type CallerTask = JoinHandle<Vec<CallRecord>>;

/// Starts callers of each class, `count` of each.
fn start_class_callers(
    cluster: &Arc<SoakCluster>,
    seed: u64,
    group: &str,
    count: usize,
) -> Vec<CallerTask> {
    let mut callers = Vec::new();
    for class in &CallKind::CLASSES {
        for _ in 0..count {
            let number = callers.len() as u64;
            let name = format!("s{seed}{group}{number}");
            let random =
                ChaCha8Rng::seed_from_u64((!seed.wrapping_mul(1_000)).wrapping_sub(number));
            let kinds = slice::from_ref(class);
            callers.push(tokio::spawn(run_caller(name, kinds, cluster.clone(), random)));
        }
    }
    callers
}

async fn join_callers(callers: Vec<CallerTask>) -> io::Result<Vec<CallRecord>> {
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.map_err(io::Error::other)?);
    }
    Ok(calls)
}

/// Silences sound replicas beside planned work, while patient callers call.
async fn silence_replicas(
    cluster: &Arc<SoakCluster>,
    seed: u64,
    size: &ClusterSize,
) -> io::Result<Vec<CallRecord>> {
    cluster.allow_callers();
    cluster.keep_entries(true);
    let begun_at = epoch_micros();
    let callers = (0..PATIENT_CALLERS_PER_RELAY * size.relays as u64).map(|number| {
        let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(20) ^ number);
        let name = format!("s{seed}p{number}");
        tokio::spawn(run_patient_caller(name, &CallKind::SILENCE, true, cluster.clone(), random))
    });
    let callers = callers.collect();
    let mut plan = make_silence_plan(seed, size, SILENCE_TIME);
    plan.extend(make_relay_crowds(!seed, size, SILENCE_TIME));
    plan.sort_by_key(|planned| planned.at);
    inject(cluster, &plan, SILENCE_TIME).await;
    sleep(MAX_CALL_TIME).await;
    cluster.stop_callers();
    cluster.keep_entries(false);
    let calls = join_callers(callers).await?;
    cluster.history().silence_span = Some((begun_at, epoch_micros()));
    Ok(calls)
}

/// Stops all relays but one while callers make slow requests. The load balancer uses all relays
/// then, so requests arrive at the stopping ones until they exit.
async fn stop_most_relays(cluster: &Arc<SoakCluster>, seed: u64) -> io::Result<Vec<CallRecord>> {
    cluster.allow_callers();
    let callers = (0..SLOW_CALLERS).map(|number| {
        let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(12) ^ number);
        let name = format!("s{seed}w{number}");
        tokio::spawn(run_caller(name, &[CallKind::SlowOnce], cluster.clone(), random))
    });
    let callers = callers.collect();
    sleep(SLOW_TIME).await;
    let grace = Duration::from_secs(GRACE_PERIOD_S + 1);
    for number in 1..cluster.relay_count() {
        cluster.record_disruption(DisruptionKind::PlannedStop(number), grace);
        cluster.stop_relay(number);
    }
    sleep(grace).await;
    cluster.stop_callers();
    join_callers(callers).await
}

/// Lets many callers of each class call at once, after all others have stopped.
async fn overload(
    cluster: &Arc<SoakCluster>,
    seed: u64,
    engines: usize,
) -> io::Result<Vec<CallRecord>> {
    cluster.allow_callers();
    let callers = start_class_callers(cluster, seed, "o", OVERLOAD_CALLERS_PER_ENGINE * engines);
    sleep(OVERLOAD_TIME).await;
    cluster.stop_callers();
    join_callers(callers).await
}

/// Removes all keys while callers go on, and restarts a relay, which then learns only the version
/// without them.
async fn remove_all_keys(
    cluster: &Arc<SoakCluster>,
    seed: u64,
    size: &ClusterSize,
) -> io::Result<Vec<CallRecord>> {
    cluster.allow_callers();
    let callers = (0..size.callers).map(|number| {
        let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(28) ^ number as u64);
        let name = format!("s{seed}x{number}");
        tokio::spawn(run_caller(name, &CallKind::ALL, cluster.clone(), random))
    });
    let callers = callers.collect();
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(4) ^ size.callers as u64);
    cluster.remove_all_keys(KeyRemoval::ALL[random.random_range(0..KeyRemoval::ALL.len())]);
    let fault = Fault::KillRelay(random.random_range(0..size.relays));
    let restart = PlannedFault { at: MIN_DOWNTIME, duration: MIN_DOWNTIME, fault };
    inject(cluster, &[restart], Duration::from_micros(REVOKE_TIME) + REJECTED_TIME).await;
    cluster.stop_callers();
    join_callers(callers).await
}

/// The calls of a run.
struct SoakCalls {
    /// Calls without a class, among them those that are counted after the last fault.
    calls: Vec<CallRecord>,
    /// Calls of the classes, and of the callers that reuse their connections at once.
    class_calls: Vec<CallRecord>,
    /// Requests that crash replicas.
    crash_calls: Vec<CallRecord>,
}

fn build_report(
    cluster: &SoakCluster,
    seed: u64,
    faults: usize,
    calls: SoakCalls,
    measured_from: u64,
) -> SoakReport {
    let SoakCalls { mut calls, class_calls, crash_calls } = calls;
    let mut history = cluster.history();
    let counted =
        calls.iter().filter(|call| call.sent_at >= measured_from && !history.had_lost_key(call));
    let (mut count, mut served) = (0, 0);
    let mut unserved = BTreeMap::new();
    for call in counted {
        count += 1;
        match call.is_served() {
            true => served += 1,
            false => *unserved.entry(describe_outcome(call)).or_default() += 1,
        }
    }
    let mut outcomes = BTreeMap::new();
    calls.extend(class_calls);
    for call in &calls {
        *outcomes.entry(describe_outcome(call)).or_default() += 1;
    }
    for call in &crash_calls {
        *outcomes.entry(format!("bad {}", describe_outcome(call))).or_default() += 1;
    }
    calls.extend(crash_calls);
    history.calls = calls;
    history.after_faults = (count, served);
    let violations = check(&history, ORGANISATION);
    SoakReport { seed, violations, outcomes, faults, after_faults: (count, served), unserved }
}

fn describe_outcome(call: &CallRecord) -> String {
    let kind = match call.kind {
        CallKind::Safe => "safe".to_owned(),
        CallKind::Once => "once".to_owned(),
        CallKind::Stream => "stream".to_owned(),
        CallKind::StreamOnce => "stream-once".to_owned(),
        CallKind::LongStream => "long-stream".to_owned(),
        CallKind::SlowOnce => "slow-once".to_owned(),
        CallKind::Moved => "moved".to_owned(),
        CallKind::Class(number) => format!("class-{number}"),
    };
    match &call.outcome {
        CallOutcome::NotConnected => format!("{kind} not connected"),
        CallOutcome::NoResponse => format!("{kind} no answer"),
        CallOutcome::Left => format!("{kind} left"),
        CallOutcome::Responded(response) if response.complete => {
            format!("{kind} {}", response.status)
        }
        CallOutcome::Responded(response) => format!("{kind} {} cut", response.status),
    }
}

/// Injects the faults of a plan, and waits until all of them have ended.
async fn inject(cluster: &Arc<SoakCluster>, plan: &[PlannedFault], length: Duration) {
    let started_at = Instant::now();
    let mut injected = Vec::new();
    for planned in plan {
        sleep_until(started_at + planned.at).await;
        injected.push(tokio::spawn(apply_fault(cluster.clone(), *planned)));
    }
    sleep_until(started_at + length).await;
    for fault in injected {
        // The run is checked even if the task of a fault panicked.
        if let Err(error) = fault.await {
            eprintln!("task of a fault failed: {error}");
        }
    }
}

async fn apply_fault(cluster: Arc<SoakCluster>, planned: PlannedFault) {
    let duration = planned.duration;
    let downtime = duration.max(MIN_DOWNTIME);
    match planned.fault {
        Fault::KillRelay(number) => {
            cluster.record_disruption(DisruptionKind::RelayFault(number), downtime + STARTUP_TIME);
            cluster.kill_relay(number, downtime);
        }
        Fault::KillAllRelays => {
            cluster.record_disruption(DisruptionKind::Fault, MIN_DOWNTIME + STARTUP_TIME);
            (0..cluster.relay_count()).for_each(|number| {
                cluster.record_disruption(
                    DisruptionKind::RelayFault(number),
                    MIN_DOWNTIME + STARTUP_TIME,
                );
                cluster.kill_relay(number, MIN_DOWNTIME);
            });
        }
        Fault::StopRelay(number) => {
            let grace = Duration::from_secs(GRACE_PERIOD_S + 1);
            cluster.record_disruption(DisruptionKind::PlannedStop(number), grace);
            cluster.stop_relay(number);
        }
        Fault::PauseRelay(number) => {
            cluster.record_disruption(DisruptionKind::RelayFault(number), duration);
            cluster.signal_relay(number, Signal::SIGSTOP);
            sleep(duration).await;
            cluster.signal_relay(number, Signal::SIGCONT);
        }
        Fault::ReloadRelay(number) => {
            cluster.record_disruption(DisruptionKind::PlannedWork, duration);
            cluster.signal_relay(number, Signal::SIGHUP);
        }
        Fault::KillReplica(number) => {
            cluster.record_disruption(DisruptionKind::Fault, downtime + STARTUP_TIME);
            cluster.kill_replica(number, downtime);
        }
        Fault::PauseReplica(number) => {
            cluster.record_disruption(DisruptionKind::Fault, duration);
            cluster.record_disruption(DisruptionKind::ReplicaPause(number), duration);
            cluster.signal_replica(number, Signal::SIGSTOP);
            sleep(duration).await;
            cluster.signal_replica(number, Signal::SIGCONT);
        }
        Fault::SilenceReplica(number) => silence_replica(&cluster, number, duration).await,
        Fault::Crowd(number) => {
            cluster.begin_crowd(number);
            sleep(duration).await;
            cluster.end_crowd();
        }
        Fault::ChangeConfig(change) => {
            cluster.record_disruption(DisruptionKind::PlannedWork, duration);
            cluster.change_config(change);
        }
        Fault::DrainReplica(number) => {
            cluster.record_disruption(DisruptionKind::PlannedWork, duration);
            cluster.drain_replica(number);
        }
        Fault::DisruptReplicaLink(number, condition) => {
            cluster.record_disruption(DisruptionKind::Fault, duration);
            cluster.record_disruption(DisruptionKind::LinkFault(number), duration);
            cluster.replica_link(number).set_condition(condition);
            sleep(duration).await;
            cluster.replica_link(number).set_condition(LinkCondition::Healthy);
        }
        Fault::DisruptStoreLink(number, condition) => {
            cluster.record_disruption(DisruptionKind::RelayFault(number), duration);
            cluster.store_link(number).set_condition(condition);
            sleep(duration).await;
            cluster.store_link(number).set_condition(LinkCondition::Healthy);
        }
        Fault::StoreUnavailable => {
            disrupt_store(&cluster, StoreBehaviour::Unavailable, duration).await
        }
        Fault::StoreUnresponsive => {
            disrupt_store(&cluster, StoreBehaviour::Unresponsive, duration).await
        }
        Fault::StoreKindUnavailable(kind) => {
            disrupt_store(&cluster, StoreBehaviour::KindUnavailable(kind), duration).await
        }
        Fault::CompactStore => {
            cluster.record_disruption(DisruptionKind::StoreFault, Duration::ZERO);
            cluster.store().compact();
        }
        Fault::NewConfigVersion => {
            cluster.record_disruption(DisruptionKind::PlannedWork, duration);
            cluster.write_config(2);
        }
        Fault::RemoveKey => {
            cluster.record_disruption(DisruptionKind::PlannedWork, duration);
            cluster.remove_key();
        }
        Fault::CrashRequest(kind, target) => cluster.start_crash_request(kind, target),
        Fault::FreezeRelay(number) => freeze_relay(&cluster, number, duration).await,
        Fault::RestoreStore => restore_store(&cluster, duration).await,
        Fault::RejectRequests(number) => {
            // Callers may get refusals meanwhile, so that this counts as a fault.
            cluster.record_disruption(DisruptionKind::Fault, REJECT_DURATION);
            cluster.notify_replica(number, Signal::SIGUSR1);
        }
        Fault::SetLimit(number) => {
            // Callers may get refusals meanwhile, so that this counts as a fault.
            cluster.record_disruption(DisruptionKind::Fault, LIMIT_DURATION);
            cluster.notify_replica(number, Signal::SIGHUP);
        }
        Fault::AnnounceLeaving(number) => {
            cluster.record_disruption(DisruptionKind::PlannedWork, duration);
            cluster.notify_replica(number, Signal::SIGUSR2);
            sleep(duration).await;
            cluster.record_disruption(DisruptionKind::Fault, MIN_DOWNTIME + STARTUP_TIME);
            cluster.kill_replica(number, MIN_DOWNTIME);
        }
    }
}

/// Pauses a sound replica for a second or two.
pub(crate) async fn silence_replica(cluster: &SoakCluster, number: usize, duration: Duration) {
    cluster.record_disruption(DisruptionKind::ReplicaSilence(number), duration);
    cluster.signal_replica(number, Signal::SIGSTOP);
    sleep(duration).await;
    cluster.signal_replica(number, Signal::SIGCONT);
}

/// Freezes a relay for longer than the bound on removed keys, removes a key meanwhile, and cuts its
/// link to the store for [`STORE_OUTAGE_AFTER_FREEZE`] after that. The relay must detect by its own
/// clocks that its configuration is too old.
async fn freeze_relay(cluster: &SoakCluster, number: usize, duration: Duration) {
    cluster.record_disruption(
        DisruptionKind::RelayFault(number),
        duration + STORE_OUTAGE_AFTER_FREEZE,
    );
    cluster.store_link(number).set_condition(LinkCondition::Blackholed);
    cluster.freeze_relay(number);
    let started_at = Instant::now();
    cluster.remove_key();
    sleep(duration).await;
    cluster.unfreeze_relay(number, started_at.elapsed());
    sleep(STORE_OUTAGE_AFTER_FREEZE).await;
    cluster.store_link(number).set_condition(LinkCondition::Healthy);
}

/// Downtime of the store before it is restored from a backup.
const RESTORE_DOWNTIME: Duration = Duration::from_millis(300);

/// Time from the restore until the operator writes the configuration again.
const REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Number and kind of unrelated objects that are written between the backup and the restore.
const OTHER_WRITES: u64 = 500;
const OTHER_KIND: &str = "others";

/// Restores the store from a backup of the given age, and lets the operator write the configuration
/// again. Replicas write their entries again with the next heartbeat.
async fn restore_store(cluster: &SoakCluster, age: Duration) {
    cluster.store().take_backup();
    // Unrelated writes are lost as well. Without them the store's revisions would soon reach those
    // that relays saw before the restore.
    for number in 0..OTHER_WRITES {
        cluster.store().put(OTHER_KIND, &number.to_string(), number.into());
    }
    cluster.store().touch(REPLICA_KIND);
    sleep(age).await;
    cluster.record_disruption(DisruptionKind::StoreFault, RESTORE_DOWNTIME + REWRITE_DELAY);
    disrupt_store(cluster, StoreBehaviour::Unavailable, RESTORE_DOWNTIME).await;
    cluster.store().restore_backup();
    sleep(REWRITE_DELAY).await;
    cluster.write_config(0);
}

async fn disrupt_store(cluster: &SoakCluster, behaviour: StoreBehaviour, duration: Duration) {
    cluster.record_disruption(DisruptionKind::StoreFault, duration);
    cluster.store().set_behaviour(behaviour);
    sleep(duration).await;
    cluster.store().set_behaviour(StoreBehaviour::Healthy);
}

/// Time after the planned faults until all relays follow the store again and the store is stable.
const RECONNECT_TIME: Duration = Duration::from_millis(3_500);

/// Time from the relays' loss of the store to the drain of a replica, and from that to the outage
/// of the store. A replica announces within one heartbeat that it is leaving.
const OUTAGE_STEP: Duration = Duration::from_millis(500);

/// Duration of the store outage for all relays and replicas. Entries expire after three heartbeats.
const STORE_OUTAGE: Duration = Duration::from_millis(1_500);

/// Drains a replica of the plain service while the relays of one data centre cannot reach the
/// store, and lets its entry expire in an outage of the store before they can. They must learn of
/// the drain once they follow the store again.
async fn drain_during_outage(cluster: &SoakCluster, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let relays = cluster.relays_in_same_data_centre(random.random_range(0..cluster.relay_count()));
    let replica = cluster.lingering_desk();
    let duration = OUTAGE_STEP * 2 + STORE_OUTAGE;
    for relay in &relays {
        cluster.record_disruption(DisruptionKind::RelayFault(*relay), duration);
        cluster.store_link(*relay).set_condition(LinkCondition::Blackholed);
    }
    sleep(OUTAGE_STEP).await;
    cluster.drain_replica(replica);
    sleep(OUTAGE_STEP).await;
    disrupt_store(cluster, StoreBehaviour::Unresponsive, STORE_OUTAGE).await;
    relays
        .iter()
        .for_each(|relay| cluster.store_link(*relay).set_condition(LinkCondition::Healthy));
}
