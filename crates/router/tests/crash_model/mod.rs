//! Simulation in virtual time of relays in three data centres, replicas that crash, and callers.
//!
//! Relays use the router's own tables and exchange messages with delays and losses; a store is
//! reachable by all of them. Harmless requests are distinct streams that last some seconds, and one
//! popular call. A bad request arrives repeatedly at any relay and crashes each replica that starts
//! to run it. Replicas restart after some seconds as a new instance.

#![allow(dead_code, reason = "tests and benchmark each use a part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    ops::Range,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_router::{
    fingerprint::RequestFingerprint,
    instance::ReplicaInstance,
    origin::UpdateAudience,
    quarantine::{CrashReport, LostRun, QuarantineChange, QuarantineTable, RunProgress},
};

/// Time without faults after which a relay counts as in contact with the others, in milliseconds.
pub(crate) const CONTACT_TIME: u64 = 3_000;

const DATA_CENTRES: usize = 3;
const SYNC_INTERVAL: u64 = 200;
const RESTART_TIME: u64 = 4_000;
const START_DELAY: u64 = 50;
const STREAM_DURATION: u64 = 5_000;
const UNARY_DURATION: u64 = 300;

/// Times within which a relay gives up a run at a silent replica.
const SILENCE_TIMES: Range<u64> = 100..350;

/// Faults besides the bad request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The given number of replicas of a data centre crash at once.
    Rack(usize),
    /// All replicas crash at once.
    PowerOff,
    /// The replicas are restarted one after another without notice, this many milliseconds apart.
    RollingRestart(u64),
    /// The data centres are partitioned from each other for this many milliseconds.
    Partition(u64),
    /// All relays are killed and restart with empty state.
    RelayCrash,
}

/// Load and faults of a simulation. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) relays: usize,
    pub(crate) replicas: usize,
    /// Mean interval between attempts of the bad request; 0 for none.
    pub(crate) bad_interval: u64,
    /// Harmless streams per second, over all relays.
    pub(crate) harmless_rate: u64,
    /// Calls per second of the harmless request that all callers make.
    pub(crate) popular_rate: u64,
    pub(crate) faults: Vec<(u64, Fault)>,
    /// Time from a crash until the relays learn of it. A replica that crashes refuses connections,
    /// which relays notice when they lose their runs, unless its host is lost with it: it is silent
    /// then, until its entry is dropped after this time.
    pub(crate) entry_time: Option<u64>,
    pub(crate) length: u64,
}

/// What was observed in a scenario.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observed {
    /// Number of replicas that the bad request crashed.
    pub(crate) crashed: usize,
    /// Time of the third of these crashes.
    pub(crate) third_crash: Option<u64>,
    /// Sends of the bad request after the third crash, and those more than [`CONTACT_TIME`] after
    /// it.
    pub(crate) sends_after_third_crash: usize,
    pub(crate) late_sends: usize,
    /// Time at which the bad request was last sent.
    pub(crate) last_send: u64,
    /// Number of rejected harmless requests, and of all harmless requests.
    pub(crate) rejected: usize,
    pub(crate) harmless: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive { request: u64, attempt: u32 },
    Send { request: u64, relay: usize, sends: u32, attempt: u32 },
    LoseRun { run: usize },
    FinishRun { run: usize },
    Sync { relay: usize, round: u64 },
    Restart { replica: usize },
    Fault { number: usize },
    DropEntry { crash: usize },
    CrashReplica { replica: usize },
}

struct Run {
    request: u64,
    relay: usize,
    replica: usize,
    instance: ReplicaInstance,
    sent: u64,
    sends: u32,
    attempt: u32,
    is_running: bool,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    /// Number of scheduled steps and messages; breaks ties in the order of both.
    step_count: u64,
    tables: Vec<QuarantineTable>,
    started_at: Vec<u64>,
    /// Current instance of each replica; `None` while it is down.
    replicas: Vec<Option<ReplicaInstance>>,
    runs: Vec<Run>,
    /// Instances of the replicas whose entries are dropped later.
    silent: Vec<ReplicaInstance>,
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    stored: HashMap<RequestFingerprint, CrashReport>,
    partitioned_until: u64,
    next_request: u64,
    observed: Observed,
}

#[derive(Clone, Debug)]
struct Message {
    reports: Vec<CrashReport>,
    cleared: Vec<(RequestFingerprint, u64)>,
    is_restarted: bool,
    from_store: bool,
}

const BAD_REQUEST: u64 = 0;
const POPULAR_REQUEST: u64 = 1;

fn fingerprint(request: u64) -> RequestFingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&request.to_le_bytes());
    RequestFingerprint::from_bytes(bytes)
}

/// Simulates a scenario.
pub(crate) fn simulate(scenario: &Scenario, seed: u64) -> Observed {
    let mut simulation = Simulation {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(seed),
        steps: BinaryHeap::new(),
        step_count: 0,
        tables: vec![QuarantineTable::default(); scenario.relays],
        started_at: vec![0; scenario.relays],
        replicas: Vec::new(),
        runs: Vec::new(),
        silent: Vec::new(),
        messages: BTreeMap::new(),
        stored: HashMap::new(),
        partitioned_until: 0,
        next_request: POPULAR_REQUEST + 1,
        observed: Observed::default(),
    };
    simulation.replicas =
        (0..scenario.replicas).map(|replica| Some(simulated_instance(replica, 0))).collect();
    for relay in 0..scenario.relays {
        let at = simulation.rng.random_range(0..SYNC_INTERVAL);
        simulation.schedule(at, Step::Sync { relay, round: 0 });
    }
    for (number, (at, _)) in scenario.faults.iter().enumerate() {
        simulation.schedule(*at, Step::Fault { number });
    }
    if scenario.bad_interval > 0 {
        simulation.schedule(1_000, Step::Arrive { request: BAD_REQUEST, attempt: 0 });
    }
    if scenario.harmless_rate > 0 {
        simulation.schedule(0, Step::Arrive { request: POPULAR_REQUEST + 1, attempt: 0 });
    }
    if scenario.popular_rate > 0 {
        simulation.schedule(0, Step::Arrive { request: POPULAR_REQUEST, attempt: 0 });
    }
    simulation.run();
    simulation.observed
}

fn simulated_instance(replica: usize, started_at: u64) -> ReplicaInstance {
    ReplicaInstance::new(&format!("i-{replica}"), started_at + 1)
}

impl Simulation<'_> {
    fn schedule(&mut self, at: u64, step: Step) {
        self.step_count += 1;
        self.steps.push(Reverse((at, self.step_count, step)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            if now > self.scenario.length {
                return;
            }
            self.deliver_messages(now);
            match step {
                Step::Arrive { request, attempt } => self.arrive(request, attempt, now),
                Step::Send { request, relay, sends, attempt } => {
                    self.send(request, relay, sends, attempt, now);
                }
                Step::LoseRun { run } => self.lose_run(run, now),
                Step::FinishRun { run } => self.finish_run(run, now),
                Step::Sync { relay, round } => {
                    self.sync(relay, round.is_multiple_of(2), now);
                    self.tables[relay].expire(now);
                    self.schedule(now + SYNC_INTERVAL, Step::Sync { relay, round: round + 1 });
                }
                Step::Restart { replica } => {
                    self.replicas[replica] = Some(simulated_instance(replica, now))
                }
                Step::DropEntry { crash } => self.drop_entry(crash, now),
                Step::Fault { number } => self.apply_fault(self.scenario.faults[number].1, now),
                Step::CrashReplica { replica } => self.crash_replica(replica, now),
            }
        }
    }

    fn arrive(&mut self, request: u64, attempt: u32, now: u64) {
        let relay = self.rng.random_range(0..self.scenario.relays);
        self.schedule(now, Step::Send { request, relay, sends: 0, attempt });
        if attempt > 0 {
            return;
        }
        if request == BAD_REQUEST {
            let gap = self.rng.random_range(1..=self.scenario.bad_interval * 2);
            self.schedule(now + gap, Step::Arrive { request: BAD_REQUEST, attempt: 0 });
            return;
        }
        self.observed.harmless += 1;
        if request == POPULAR_REQUEST {
            let gap = self.rng.random_range(0..=2_000 / self.scenario.popular_rate);
            return self.schedule(now + gap, Step::Arrive { request, attempt: 0 });
        }
        self.next_request += 1;
        let gap = self.rng.random_range(0..=2_000 / self.scenario.harmless_rate);
        self.schedule(now + gap, Step::Arrive { request: self.next_request, attempt: 0 });
    }

    fn send(&mut self, request: u64, relay: usize, sends: u32, attempt: u32, now: u64) {
        if self.tables[relay].remaining(&fingerprint(request), now).is_some() {
            self.observed.rejected += usize::from(request != BAD_REQUEST);
            return;
        }
        let Some(replica) = self.choose(relay) else { return };
        let instance = self.replicas[replica].clone().expect("a chosen replica is up");
        let run = self.runs.len();
        let is_running = true;
        self.runs.push(Run {
            request,
            relay,
            replica,
            instance,
            sent: now,
            sends,
            attempt,
            is_running,
        });
        if request != BAD_REQUEST {
            let duration =
                if request == POPULAR_REQUEST { UNARY_DURATION } else { STREAM_DURATION };
            return self.schedule(now + duration, Step::FinishRun { run });
        }
        self.observed.last_send = now;
        if self.observed.third_crash.is_some() {
            self.observed.sends_after_third_crash += 1;
        }
        self.observed.late_sends += usize::from(
            self.observed.third_crash.is_some_and(|third_crash| now > third_crash + CONTACT_TIME),
        );
        let crash = now + START_DELAY + self.rng.random_range(10..140);
        self.schedule(crash, Step::CrashReplica { replica });
        self.schedule(crash, Step::FinishRun { run });
    }

    /// Chooses one of the first three live replicas in the data centre: as with real path costs,
    /// its relays mostly choose the same ones.
    fn choose(&mut self, relay: usize) -> Option<usize> {
        let nearby: Vec<usize> = (0..self.scenario.replicas)
            .filter(|replica| {
                self.replicas[*replica].is_some() && replica % DATA_CENTRES == relay % DATA_CENTRES
            })
            .collect();
        let all =
            || (0..self.scenario.replicas).filter(|replica| self.replicas[*replica].is_some());
        let candidates = nearby.len().min(3);
        match candidates {
            0 => all().next(),
            candidates => Some(nearby[self.rng.random_range(0..candidates)]),
        }
    }

    fn crash_replica(&mut self, replica: usize, now: u64) {
        let Some(instance) = self.replicas[replica].take() else { return };
        let by_bad_request = self.runs.iter().any(|run| {
            run.is_running
                && run.instance == instance
                && run.request == BAD_REQUEST
                && now >= run.sent + START_DELAY
        });
        if by_bad_request {
            self.observed.crashed += 1;
            if self.observed.crashed == 3 {
                self.observed.third_crash = Some(now);
            }
        }
        self.schedule(now + RESTART_TIME, Step::Restart { replica });
        let lost: Vec<usize> = (0..self.runs.len())
            .filter(|run| self.runs[*run].is_running && self.runs[*run].instance == instance)
            .collect();
        let delays = if self.scenario.entry_time.is_some() { SILENCE_TIMES } else { 1..4 };
        for run in lost {
            self.runs[run].is_running = false;
            let delay = self.rng.random_range(delays.clone());
            self.schedule(now + delay, Step::LoseRun { run });
        }
        if let Some(entry_time) = self.scenario.entry_time {
            self.silent.push(instance);
            self.schedule(now + entry_time, Step::DropEntry { crash: self.silent.len() - 1 });
        }
    }

    fn drop_entry(&mut self, crash: usize, now: u64) {
        let instance = self.silent[crash].clone();
        for relay in 0..self.scenario.relays {
            let change = self.tables[relay].record_crash(&instance, now);
            self.apply_change(relay, &change, now);
        }
    }

    fn lose_run(&mut self, number: usize, now: u64) {
        let Run { request, relay, sent, sends, attempt, ref instance, .. } = self.runs[number];
        if self.started_at[relay] > sent {
            return;
        }
        let started = (now >= sent + START_DELAY).then_some(sent + START_DELAY);
        let events = match request {
            BAD_REQUEST => 0,
            _ => now.saturating_sub(sent + START_DELAY + 20) / 50,
        };
        let progress = match request {
            POPULAR_REQUEST => RunProgress::Unary,
            _ => RunProgress::Stream { begun: started, events },
        };
        let instances = [instance.clone()];
        let run = LostRun { instances: &instances, sent, progress, depth: 0 };
        let mut change = self.tables[relay].record_lost(fingerprint(request), &run, now);
        if self.scenario.entry_time.is_none() {
            let crash_change = self.tables[relay].record_crash(&instances[0], now);
            change.is_urgent |= crash_change.is_urgent;
            change.quarantined.extend(crash_change.quarantined);
        }
        self.apply_change(relay, &change, now);
        let pause = self.rng.random_range(5..150);
        match (sends, attempt) {
            (0, _) => self.schedule(now + pause, Step::Send { request, relay, sends: 1, attempt }),
            (_, 0) => self.schedule(now + pause, Step::Arrive { request, attempt: 1 }),
            _ => {}
        }
    }

    fn finish_run(&mut self, number: usize, now: u64) {
        let Run { request, relay, is_running, sent, .. } = self.runs[number];
        if is_running && request != BAD_REQUEST && self.started_at[relay] <= sent {
            self.runs[number].is_running = false;
            self.tables[relay].record_result(&fingerprint(request), now);
        }
    }

    fn apply_change(&mut self, relay: usize, change: &QuarantineChange, now: u64) {
        if change.is_urgent {
            self.sync(relay, true, now);
        }
        for report in self.tables[relay].unstored(now) {
            // The store passes each write on to one reader per data centre.
            self.stored.insert(report.fingerprint, report.clone());
            for reader in 0..DATA_CENTRES.min(self.scenario.relays) {
                let message = Message {
                    reports: vec![report.clone()],
                    cleared: vec![],
                    is_restarted: false,
                    from_store: true,
                };
                self.send_message(reader, message, now + 15);
            }
        }
    }

    /// Sends the reports of a relay to the others: to its own data centre only, or `to_all`.
    fn sync(&mut self, relay: usize, to_all: bool, now: u64) {
        let reports = self.tables[relay].shared_with(UpdateAudience::Speakers, now);
        let cleared = self.tables[relay].cleared(now);
        let is_restarted =
            now < self.started_at[relay] + SYNC_INTERVAL * 2 && self.started_at[relay] > 0;
        if reports.is_empty() && cleared.is_empty() && !is_restarted {
            return;
        }
        for other in (0..self.scenario.relays).filter(|other| *other != relay) {
            let is_near = other % DATA_CENTRES == relay % DATA_CENTRES;
            let is_lost = self.rng.random_range(0..100) == 0;
            if is_lost || !is_near && (!to_all || now < self.partitioned_until) {
                continue;
            }
            let delay = if is_near { 1 } else { self.rng.random_range(1..15) };
            let message = Message {
                reports: reports.clone(),
                cleared: cleared.clone(),
                is_restarted,
                from_store: false,
            };
            self.send_message(other, message, now + delay);
        }
    }

    fn send_message(&mut self, to: usize, message: Message, at: u64) {
        self.step_count += 1;
        self.messages.insert((at, self.step_count), (to, message));
    }

    fn deliver_messages(&mut self, now: u64) {
        while let Some(entry) = self.messages.first_entry() {
            let at = entry.key().0;
            if at > now {
                return;
            }
            let (to, message) = entry.remove();
            if message.is_restarted {
                self.tables[to].announce_all(at);
            }
            self.tables[to].merge_cleared(&message.cleared, false, at);
            let change = self.tables[to].merge(message.reports, message.from_store, at);
            self.apply_change(to, &change, at);
        }
    }

    fn apply_fault(&mut self, fault: Fault, now: u64) {
        match fault {
            Fault::Rack(count) => {
                let data_centre = self.rng.random_range(0..DATA_CENTRES);
                let rack = (0..self.scenario.replicas)
                    .filter(|replica| replica % DATA_CENTRES == data_centre);
                for replica in rack.take(count).collect::<Vec<_>>() {
                    self.crash_replica(replica, now);
                }
            }
            Fault::PowerOff => {
                (0..self.scenario.replicas).for_each(|replica| self.crash_replica(replica, now))
            }
            Fault::RollingRestart(gap) => {
                for replica in 0..self.scenario.replicas {
                    self.schedule(now + gap * replica as u64, Step::CrashReplica { replica });
                }
            }
            Fault::Partition(duration) => self.partitioned_until = now + duration,
            Fault::RelayCrash => {
                self.started_at = vec![now; self.scenario.relays];
                self.tables = vec![QuarantineTable::default(); self.scenario.relays];
                let stored: Vec<CrashReport> = self.stored.values().cloned().collect();
                for relay in 0..DATA_CENTRES.min(self.scenario.relays) {
                    let message = Message {
                        reports: stored.clone(),
                        cleared: vec![],
                        is_restarted: false,
                        from_store: true,
                    };
                    self.send_message(relay, message, now + 500);
                }
            }
        }
    }
}
