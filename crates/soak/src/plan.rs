//! The fault plan of a seed: which faults are injected, and when.
//!
//! Faults follow each other and overlap. A plan is a pure function of the seed and the cluster's
//! size.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use switchfold_platform::{CONFIG_KIND, QUARANTINE_KIND, RELAY_KIND, REPLICA_KIND};

use crate::{
    cluster::ANNEX_COUNT, config::ConfigChange, proxy::LinkCondition, record::CallKind,
    silence::SILENCE_MS,
};

/// Size of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Number of relays.
    pub relays: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub desks: usize,
    /// Number of callers.
    pub callers: usize,
}

impl ClusterSize {
    /// Number of replicas of both services.
    pub fn replicas(&self) -> usize {
        self.engines + self.desks
    }
}

/// A fault or planned operation. Numbers are those of relays or replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A relay is killed, and restarted at the end.
    KillRelay(usize),
    /// All relays are killed at once.
    KillAllRelays,
    /// A relay is stopped as planned (SIGTERM), and restarted once it has exited.
    StopRelay(usize),
    /// A relay is paused (SIGSTOP).
    PauseRelay(usize),
    /// A relay reloads its settings file (SIGHUP).
    ReloadRelay(usize),
    /// A replica is killed, and restarted without state at the end.
    KillReplica(usize),
    /// A replica is paused (SIGSTOP).
    PauseReplica(usize),
    /// A replica is drained: it writes to the store that it is leaving, serves for a while longer,
    /// and exits.
    DrainReplica(usize),
    /// The link to a replica is disrupted.
    DisruptReplicaLink(usize, LinkCondition),
    /// The link from a relay to the store is disrupted.
    DisruptStoreLink(usize, LinkCondition),
    /// The store rejects all calls.
    StoreUnavailable,
    /// The store does not respond.
    StoreUnresponsive,
    /// The store rejects calls for objects of one kind.
    StoreKindUnavailable(&'static str),
    /// The store compacts its history, so that watches from older revisions fail.
    CompactStore,
    /// The operator writes a new configuration version with the same content.
    NewConfigVersion,
    /// The operator removes a key.
    RemoveKey,
    /// From now on a request that crashes the replicas that run it is sent repeatedly.
    CrashRequest(CallKind, CrashTarget),
    /// A relay is paused for longer than the bound on removed keys. A key is removed meanwhile, and
    /// the relay cannot reach the store for a while after it resumes.
    FreezeRelay(usize),
    /// The store is down for a moment, and is restored from a backup made when the fault began.
    RestoreStore,
    /// A replica rejects requests for a while, with a `Retry-After` header.
    RejectRequests(usize),
    /// A replica announces in its responses, but not in its entry, that it is leaving. It is killed
    /// at the end, and restarted.
    AnnounceLeaving(usize),
    /// A replica sends a request limit for a while.
    SetLimit(usize),
    /// A sound replica is silent for a while (SIGSTOP), and resumes.
    SilenceReplica(usize),
    /// The load balancer hands most new connections to a relay, and callers open one for each call.
    Crowd(usize),
    /// The operator changes the configuration.
    ChangeConfig(ConfigChange),
}

/// Plans notices of replicas: some reject requests (one replica or several with consecutive
/// numbers), and one announces in its responses, but not in its entry, that it is leaving. Uses a
/// random generator of its own, as [`make_crash_faults`] does.
pub fn make_notice_faults(seed: u64, size: &ClusterSize, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(32) ^ SEED_SALT);
    let length_ms = length.as_millis() as u64;
    let mut planned = Vec::new();
    for _ in 0..random.random_range(2..5) {
        planned.extend(plan_for_replicas(&mut random, size, length_ms, Fault::RejectRequests));
    }
    let at = Duration::from_millis(random.random_range(0..=length_ms / 2));
    let duration = Duration::from_millis(random.random_range(3_000..6_000)).min(length - at);
    let fault = Fault::AnnounceLeaving(random.random_range(0..size.replicas()));
    planned.push(PlannedFault { at, duration, fault });
    planned
}

/// Plans the same fault for one or more replicas with consecutive numbers, at a time of at most
/// `max_at` milliseconds.
fn plan_for_replicas(
    random: &mut ChaCha8Rng,
    size: &ClusterSize,
    max_at: u64,
    fault: fn(usize) -> Fault,
) -> Vec<PlannedFault> {
    let at = Duration::from_millis(random.random_range(0..=max_at));
    let first = random.random_range(0..size.replicas());
    let count = if random.random() { 1 } else { random.random_range(1..=size.engines) };
    let replicas = (first..first + count).map(|number| number % size.replicas());
    let planned = replicas.map(fault);
    planned.map(|fault| PlannedFault { at, duration: Duration::ZERO, fault }).collect()
}

/// Plans limits sent by replicas, which follow each other and overlap. Uses a random generator of
/// its own. All begin in the first half of the run, so that they end well before it does.
pub fn make_limit_faults(seed: u64, size: &ClusterSize, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(48) ^ SEED_SALT);
    let max_at = length.as_millis() as u64 / 2;
    let count = random.random_range(2..5);
    (0..count).flat_map(|_| plan_for_replicas(&mut random, size, max_at, Fault::SetLimit)).collect()
}

/// Largest age of the backup that the store is restored from, in milliseconds. Together with the
/// time until the operator has written the configuration again it is below the bound on removed
/// keys: otherwise a relay that starts in between could accept a removed key for too long.
const MAX_BACKUP_AGE_MS: u64 = 3_000;

/// Plans one or two restores of the store from a backup. Uses a random generator of its own.
pub fn make_restore_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16) ^ SEED_SALT);
    let length_ms = length.as_millis() as u64;
    let count = random.random_range(1..3);
    let restore = |_| {
        let duration = random.random_range(100..MAX_BACKUP_AGE_MS.min(length_ms));
        let at = Duration::from_millis(random.random_range(0..=length_ms - duration));
        PlannedFault { at, duration: Duration::from_millis(duration), fault: Fault::RestoreStore }
    };
    (0..count).map(restore).collect()
}

/// Range of the duration of a crowd, in milliseconds.
const CROWD_DURATION_MS: std::ops::Range<u64> = 2_000..8_000;

/// Plans one to three crowds at relays. Uses a random generator of its own.
pub fn make_relay_crowds(seed: u64, size: &ClusterSize, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(52) ^ SEED_SALT);
    let length_ms = length.as_millis() as u64;
    let crowds = (0..random.random_range(1..4)).map(|_| {
        let at = Duration::from_millis(random.random_range(0..=length_ms / 2));
        let duration = Duration::from_millis(random.random_range(CROWD_DURATION_MS));
        let fault = Fault::Crowd(random.random_range(0..size.relays));
        PlannedFault { at, duration: duration.min(length - at), fault }
    });
    crowds.collect()
}

/// Kinds of objects that a starting relay cannot serve without.
const READ_KINDS: [&str; 3] = [CONFIG_KIND, REPLICA_KIND, RELAY_KIND];

/// Longest time for which objects of one kind cannot be read, in milliseconds.
const MAX_KIND_OUTAGE_MS: u64 = 4_000;

/// Plans starts of relays while the store serves some kinds of objects and not another, the
/// quarantine once. Uses a random generator of its own.
pub fn make_start_faults(seed: u64, size: &ClusterSize, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ SEED_SALT);
    let length_ms = length.as_millis() as u64;
    let mut planned = Vec::new();
    let count = random.random_range(1..4);
    for number in 0..=count {
        let duration = random.random_range(500..MAX_KIND_OUTAGE_MS.min(length_ms));
        let at = Duration::from_millis(random.random_range(0..=length_ms - duration));
        let kind = match number < count {
            true => READ_KINDS[random.random_range(0..READ_KINDS.len())],
            false => QUARANTINE_KIND,
        };
        let (relay, duration) =
            (random.random_range(0..size.relays), Duration::from_millis(duration));
        let start = Fault::KillRelay(relay);
        planned.push(PlannedFault { at, duration, fault: Fault::StoreKindUnavailable(kind) });
        planned.push(PlannedFault { at, duration: Duration::ZERO, fault: start });
    }
    planned
}

/// Range of the time between the beginnings of two silences, and between two changes of the
/// configuration, in milliseconds.
const SILENCE_GAP_MS: std::ops::Range<u64> = 300..1_500;
const CHANGE_GAP_MS: std::ops::Range<u64> = 100..1_200;

/// Range of the pause between two silences of the same replica, in milliseconds.
const RESUME_MS: std::ops::Range<u64> = 50..400;

/// Range of the time after which a stream whose replica is silent is resumed elsewhere, in
/// milliseconds. The others fall silent then.
const OTHERS_SILENT_MS: std::ops::Range<u64> = 1_200..1_700;

/// Plans silences of sound replicas beside planned work: changes of the configuration, reloads, and
/// a stop of a relay. Uses a random generator of its own.
pub fn make_silence_plan(seed: u64, size: &ClusterSize, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(40) ^ SEED_SALT);
    let length_ms = length.as_millis() as u64;
    let mut plan = Vec::new();
    let mut at = 0;
    while at < length_ms {
        plan_silences(&mut random, size, at, &mut plan);
        at += random.random_range(SILENCE_GAP_MS);
    }
    at = 0;
    while at < length_ms {
        plan_changes(&mut random, size, at, &mut plan);
        at += random.random_range(CHANGE_GAP_MS);
    }
    let stop = Fault::StopRelay(random.random_range(0..size.relays));
    let at = Duration::from_millis(random.random_range(0..length_ms / 2));
    plan.push(PlannedFault { at, duration: Duration::ZERO, fault: stop });
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn plan_silences(
    random: &mut ChaCha8Rng,
    size: &ClusterSize,
    at: u64,
    plan: &mut Vec<PlannedFault>,
) {
    let replicas = size.replicas() + ANNEX_COUNT;
    let services = [0..size.engines, size.engines..size.replicas(), size.replicas()..replicas];
    let service = services[random.random_range(0..services.len())].clone();
    let one = random.random_range(service.clone());
    let mut silence = |number: usize, at: u64, random: &mut ChaCha8Rng| {
        let duration = Duration::from_millis(random.random_range(SILENCE_MS));
        let (at, fault) = (Duration::from_millis(at), Fault::SilenceReplica(number));
        plan.push(PlannedFault { at, duration, fault });
        duration.as_millis() as u64
    };
    match random.random_range(0..5) {
        0 => {
            silence(one, at, random);
        }
        1 => (one..service.end.min(one + 3)).for_each(|number| {
            silence(number, at, random);
        }),
        2 => service.for_each(|number| {
            silence(number, at, random);
        }),
        3 => {
            let duration = silence(one, at, random);
            let again_at = at + duration + random.random_range(RESUME_MS);
            silence(one, again_at, random);
        }
        _ => {
            silence(one, at, random);
            let at = at + random.random_range(OTHERS_SILENT_MS);
            service.filter(|number| *number != one).for_each(|number| {
                silence(number, at, random);
            });
        }
    }
}

fn plan_changes(
    random: &mut ChaCha8Rng,
    size: &ClusterSize,
    at: u64,
    plan: &mut Vec<PlannedFault>,
) {
    let change = |random: &mut ChaCha8Rng| {
        Fault::ChangeConfig(ConfigChange::ALL[random.random_range(0..ConfigChange::ALL.len())])
    };
    let reload = Fault::ReloadRelay(random.random_range(0..size.relays));
    let mut push = |at: u64, fault: Fault| {
        plan.push(PlannedFault { at: Duration::from_millis(at), duration: Duration::ZERO, fault });
    };
    match random.random_range(0..8) {
        0 => push(at, Fault::RemoveKey),
        1 => push(at, reload),
        2 => {
            push(at, change(random));
            push(at, reload);
        }
        3 => {
            let storm = (0..random.random_range(4..9)).map(|number| at + number * 60);
            storm.for_each(|at| push(at, change(random)));
        }
        _ => push(at, change(random)),
    }
}

/// Salt of the seeds of [`make_notice_faults`], [`make_limit_faults`], [`make_restore_faults`],
/// [`make_start_faults`] and [`make_relay_crowds`].
const SEED_SALT: u64 = 0x6e6f_7469_6365_7321;

/// The replica that a request crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashTarget {
    /// The replica that it is sent to.
    First,
    /// The second replica of its path.
    Second,
    /// The replica that it is sent to, by a part of its prompt. The requests have only that part in
    /// common.
    FirstByPart,
}

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Time since the start of the run.
    pub at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Range of the time between the beginnings of two faults, in milliseconds.
const FAULT_GAP_MS: std::ops::Range<u64> = 100..1_600;

/// Range of the duration of a fault, in milliseconds. The upper end exceeds the bound on removed
/// keys, so that some relays resume with an outdated configuration.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..6_500;

/// Plans the faults of a seed for a run of `length`.
pub fn make_plan(seed: u64, size: &ClusterSize, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = 0;
    loop {
        at += random.random_range(FAULT_GAP_MS);
        let at = Duration::from_millis(at);
        if at >= length {
            return plan;
        }
        let duration =
            Duration::from_millis(random.random_range(FAULT_DURATION_MS)).min(length - at);
        plan.push(PlannedFault { at, duration, fault: draw_fault(&mut random, size) });
    }
}

/// Time from the end of a freeze until the relay can reach the store again.
pub const STORE_OUTAGE_AFTER_FREEZE: Duration = Duration::from_millis(3_000);

/// One in this many seeds has requests that share a part which crashes replicas.
const SEEDS_PER_CRASH_PART: u64 = 2;

/// Range of the duration of a freeze, in milliseconds. It is above the bound on removed keys, so
/// that the relay's state is too old when it resumes.
const FREEZE_DURATION_MS: std::ops::Range<u64> = 5_500..7_500;

/// Plans a request that crashes replicas, and a freeze of a relay if the run is long enough. Uses a
/// random generator of its own, so that the plans of [`make_plan`] do not change.
pub fn make_crash_faults(seed: u64, size: &ClusterSize, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let length_ms = length.as_millis() as u64;
    let planned = |duration: u64, fault: Fault, random: &mut ChaCha8Rng| {
        let at = Duration::from_millis(random.random_range(0..=length_ms.saturating_sub(duration)));
        PlannedFault { at, duration: Duration::from_millis(duration).min(length), fault }
    };
    let candidates = [
        Fault::CrashRequest(CallKind::Stream, CrashTarget::First),
        Fault::CrashRequest(CallKind::Stream, CrashTarget::Second),
        Fault::CrashRequest(CallKind::Safe, CrashTarget::First),
        Fault::CrashRequest(CallKind::Once, CrashTarget::First),
    ];
    let crash_request = candidates[random.random_range(0..candidates.len())];
    let mut faults = vec![planned(length_ms / 2, crash_request, &mut random)];
    let duration = random.random_range(FREEZE_DURATION_MS);
    let relay = random.random_range(0..size.relays);
    if duration + STORE_OUTAGE_AFTER_FREEZE.as_millis() as u64 <= length_ms {
        faults.push(planned(duration, Fault::FreezeRelay(relay), &mut random));
    }
    let crash_part = Fault::CrashRequest(CallKind::Stream, CrashTarget::FirstByPart);
    if seed.is_multiple_of(SEEDS_PER_CRASH_PART) {
        faults.push(planned(length_ms / 2, crash_part, &mut random));
    }
    faults
}

fn draw_fault(random: &mut ChaCha8Rng, size: &ClusterSize) -> Fault {
    let relay = random.random_range(0..size.relays);
    let replica = random.random_range(0..size.replicas());
    let condition = draw_link_condition(random);
    match random.random_range(0..18) {
        0 => Fault::KillRelay(relay),
        1 => Fault::KillAllRelays,
        2..=4 => Fault::StopRelay(relay),
        5 => Fault::PauseRelay(relay),
        6 => Fault::ReloadRelay(relay),
        7 => Fault::KillReplica(replica),
        8 => Fault::PauseReplica(replica),
        9 => Fault::DrainReplica(replica),
        10 | 11 => Fault::DisruptReplicaLink(replica, condition),
        12 => Fault::DisruptStoreLink(relay, condition),
        13 => Fault::StoreUnavailable,
        14 => Fault::StoreUnresponsive,
        15 => Fault::CompactStore,
        16 => Fault::NewConfigVersion,
        _ => Fault::RemoveKey,
    }
}

fn draw_link_condition(random: &mut ChaCha8Rng) -> LinkCondition {
    match random.random_range(0..4) {
        0 => LinkCondition::Delayed(Duration::from_millis(random.random_range(5..400))),
        1 => LinkCondition::Reset,
        2 => LinkCondition::OneWay,
        _ => LinkCondition::Paused,
    }
}
