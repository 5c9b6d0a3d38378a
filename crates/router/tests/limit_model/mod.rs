//! Simulation in virtual time of relays in three data centres, replicas that report rate limits,
//! and callers.
//!
//! Relays use the router's local tables and exchange messages that may be late or lost. Two simpler
//! strategies to share a limit are simulated besides grants, so that all three can be compared on
//! the same scenarios.

#![allow(dead_code, reason = "tests and benchmark each use a part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_router::{
    clocks::PeerClocks,
    coordinator::{
        COORDINATES_AFTER, LimitCoordinator, LocalRelay, limit_coordinator, rate_fraction,
    },
    grants::{GrantRequest, GrantWaiter, HeldGrants},
    issuer::{GrantIssuer, IssuedGrants},
    limits::{LimitChange, LimitReport, LimitTable},
    membership::{PeerStamp, PeerState, PeerTable},
};

/// Time after the first request under a limit from which excess requests count, and the window they
/// are counted in, in milliseconds.
pub(crate) const GRACE_TIME: u64 = 3_000;
pub(crate) const WINDOW: u64 = 4_000;

/// Time over which the use of a limit is measured, in milliseconds.
pub(crate) const USE_SPAN: u64 = 10_000;

const DATA_CENTRES: usize = 3;
const TICK: u64 = 25;
const SYNC_INTERVAL: u64 = 200;
const RESPONSE_DELAY: u64 = 50;
const REQUEST_TIMEOUT: u64 = 300;

/// How relays share a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LimitSharing {
    /// Grants issued by the coordinator of the limit.
    Grants,
    /// An equal share for each relay.
    Even,
    /// A share by the demand that the relays reported to each other.
    Demand,
}

/// Distribution of the requests over relays and time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Demand {
    /// Random, at any relay.
    Even,
    /// All requests at one relay.
    Single(usize),
    /// At a different relay each second.
    Moving,
    /// All requests of a second at once.
    Bursts,
}

/// Faults of relays and links.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The given percentage of messages is lost, and 5% of the others are up to a second late.
    LossyLinks(u32),
    /// Data centres are partitioned from each other.
    Partition,
    /// A relay is paused.
    Paused(usize),
    /// A relay is down, and restarts with empty state at the end of the fault.
    Restarted(usize),
    /// A relay stops and does not return.
    Stopped(usize),
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) sharing: LimitSharing,
    pub(crate) relays: usize,
    /// Limit that each replica reports, by the time from which it applies.
    pub(crate) limits: Vec<Vec<(u64, Option<f64>)>>,
    /// Requests per second for each replica.
    pub(crate) per_second: f64,
    pub(crate) demand: Demand,
    /// Start, end and kind of each fault.
    pub(crate) faults: Vec<(u64, u64, Fault)>,
    pub(crate) length: u64,
}

/// A request that reached a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    /// Whether its relay had received a response that names the limit at least half a second
    /// before.
    is_informed: bool,
    /// Whether its relay was restarted, paused or partitioned and has not learnt the limit yet. The
    /// users' requirements allow these.
    is_excused: bool,
}

/// What was observed in a scenario.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    pub(crate) arrivals: Vec<Vec<Arrival>>,
    /// Number of requests sent by callers.
    pub(crate) requests: usize,
    /// Grant requests and grants sent between relays.
    pub(crate) messages: usize,
}

enum Body {
    Request {
        replica: usize,
        limit: Option<f64>,
        age: i64,
        stamp: PeerStamp,
        request: GrantRequest,
    },
    Grants {
        replica: usize,
        limit: Option<f64>,
        age: i64,
        stamp: PeerStamp,
        issued: IssuedGrants,
    },
    Limits {
        reports: Vec<(usize, LimitReport)>,
        stamp: PeerStamp,
    },
}

enum Step {
    Tick(usize),
    Sync(usize, u64),
    Request(usize, usize),
    Retry { relay: usize, replica: usize, deadline: u64, is_waiting: bool },
    Response { relay: usize, replica: usize, sent: u64, limit: Option<f64> },
    Message { to: usize, from: usize, body: Body },
    Restart(usize),
}

#[derive(Default)]
struct Relay {
    name: String,
    started_at: u64,
    limits: LimitTable,
    grants: HeldGrants,
    issuer: GrantIssuer,
    peers: PeerTable,
    clocks: PeerClocks,
    /// Time of the first response that named a limit, by replica.
    informed_at: BTreeMap<usize, u64>,
    /// State of the simpler strategies: time at which the next request may be sent, this relay's
    /// recent requests, and the counts that other relays reported.
    next_send: BTreeMap<usize, f64>,
    recent_requests: BTreeMap<usize, VecDeque<u64>>,
    peer_requests: BTreeMap<(usize, usize), usize>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    relays: Vec<Relay>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    step_count: u64,
    observed: Observed,
}

fn data_centre_of(relay: usize) -> String {
    format!("d{}", relay % DATA_CENTRES)
}

fn replica_id(replica: usize) -> String {
    format!("i-{replica}")
}

impl Scenario {
    pub(crate) fn limit_at(&self, replica: usize, now: u64) -> Option<f64> {
        let rows = self.limits[replica].iter().rev();
        rows.filter(|(from, _)| *from <= now).map(|(_, limit)| *limit).next().flatten()
    }

    fn has_fault(&self, now: u64, holds: impl Fn(&Fault) -> bool) -> bool {
        let active = self.faults.iter().filter(|(from, to, _)| (*from..*to).contains(&now));
        active.map(|(_, _, fault)| fault).any(holds)
    }

    fn is_down(&self, relay: usize, now: u64) -> bool {
        let affects_relay = |fault: &Fault| matches!(fault, Fault::Paused(at) | Fault::Restarted(at) if *at == relay);
        self.has_fault(now, affects_relay) || self.is_stopped(relay, now)
    }

    fn was_disrupted(&self, relay: usize, now: u64) -> bool {
        let before = self.faults.iter().filter(|(from, _, _)| *from <= now);
        before.map(|(_, _, fault)| fault).any(|fault| match fault {
            Fault::Paused(at) | Fault::Restarted(at) => *at == relay,
            Fault::Partition => true,
            Fault::LossyLinks(_) | Fault::Stopped(_) => false,
        })
    }

    fn is_stopped(&self, relay: usize, now: u64) -> bool {
        let is_stop = |row: &&(u64, u64, Fault)| matches!(row.2, Fault::Stopped(at) if at == relay);
        self.faults.iter().filter(is_stop).any(|(from, _, _)| *from <= now)
    }

    fn is_partitioned(&self, from: usize, to: usize, now: u64) -> bool {
        from % DATA_CENTRES != to % DATA_CENTRES
            && self.has_fault(now, |fault| matches!(fault, Fault::Partition))
    }
}

/// Simulates a scenario.
pub(crate) fn simulate(scenario: &Scenario, seed: u64) -> Observed {
    let relays = (0..scenario.relays)
        .map(|number| Relay { name: format!("r{number:03}"), ..Relay::default() });
    let mut simulation = Simulation {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(seed),
        relays: relays.collect(),
        queue: BinaryHeap::new(),
        steps: BTreeMap::new(),
        step_count: 0,
        observed: Observed {
            arrivals: vec![Vec::new(); scenario.limits.len()],
            ..Observed::default()
        },
    };
    simulation.start();
    while let Some(Reverse((now, number))) =
        simulation.queue.pop().filter(|step| step.0.0 < scenario.length)
    {
        let step = simulation.steps.remove(&number).expect("each step runs once");
        simulation.execute(step, now);
    }
    simulation.observed
}

impl Simulation<'_> {
    fn schedule(&mut self, time: u64, step: Step) {
        self.step_count += 1;
        self.queue.push(Reverse((time, self.step_count)));
        self.steps.insert(self.step_count, step);
    }

    fn start(&mut self) {
        for relay in 0..self.scenario.relays {
            self.introduce_peers(relay, 0);
            let (first_tick, first_sync) =
                (self.rng.random_range(0..TICK), self.rng.random_range(0..SYNC_INTERVAL));
            self.schedule(first_tick, Step::Tick(relay));
            self.schedule(first_sync, Step::Sync(relay, 0));
        }
        for (_, to, fault) in self.scenario.faults.clone() {
            if let Fault::Restarted(relay) = fault {
                self.schedule(to, Step::Restart(relay));
            }
        }
        // Callers start once the relays know each other.
        for replica in 0..self.scenario.limits.len() {
            for number in 0..((self.scenario.length - GRACE_TIME) as f64 / 1_000.0
                * self.scenario.per_second) as u64
            {
                let mut time =
                    GRACE_TIME + (number as f64 * 1_000.0 / self.scenario.per_second) as u64;
                let relay = match self.scenario.demand {
                    Demand::Even => self.rng.random_range(0..self.scenario.relays),
                    Demand::Single(relay) => relay,
                    Demand::Moving => (time / 1_000) as usize % self.scenario.relays,
                    Demand::Bursts => {
                        time = time / 1_000 * 1_000;
                        self.rng.random_range(0..self.scenario.relays)
                    }
                };
                self.schedule(time, Step::Request(relay, replica));
            }
        }
    }

    /// Adds all other relays to the peer table of a relay, as the store would.
    fn introduce_peers(&mut self, relay: usize, now: u64) {
        let address = "10.0.0.1:7000".parse().expect("an address");
        for other in (0..self.scenario.relays).filter(|other| *other != relay) {
            let name = self.relays[other].name.clone();
            self.relays[relay].peers.upsert(&name, address, &data_centre_of(other), now);
        }
    }

    fn execute(&mut self, step: Step, now: u64) {
        match step {
            Step::Tick(relay) => {
                if !self.scenario.is_down(relay, now) {
                    self.issue_grants(relay, now);
                    self.request_grants(relay, now);
                }
                self.schedule(now + TICK, Step::Tick(relay));
            }
            Step::Sync(relay, round) => {
                if !self.scenario.is_down(relay, now) {
                    self.sync(relay, round, now);
                }
                self.schedule(now + SYNC_INTERVAL, Step::Sync(relay, round + 1));
            }
            Step::Request(relay, replica) if !self.scenario.is_down(relay, now) => {
                self.observed.requests += 1;
                self.relays[relay].recent_requests.entry(replica).or_default().push_back(now);
                self.try_send(relay, replica, now + REQUEST_TIMEOUT, false, now);
            }
            Step::Retry { relay, replica, deadline, is_waiting } => {
                self.try_send(relay, replica, deadline, is_waiting, now);
            }
            Step::Response { relay, replica, sent, limit }
                if !self.scenario.is_down(relay, now) =>
            {
                let Some(sent) = sent.checked_sub(self.relays[relay].started_at) else { return };
                let clock = now - self.relays[relay].started_at;
                let report = LimitReport { per_second: limit, sent: sent as i64 };
                self.relays[relay].apply_report(replica, report, clock);
                if limit.is_some() {
                    self.relays[relay].informed_at.entry(replica).or_insert(now);
                }
            }
            Step::Message { to, from, body } if !self.scenario.is_down(to, now) => {
                self.receive(to, from, body, now)
            }
            Step::Restart(relay) => {
                let name = self.relays[relay].name.clone();
                self.relays[relay] = Relay { name, started_at: now, ..Relay::default() };
                self.introduce_peers(relay, 0);
            }
            _ => {}
        }
    }

    /// Tries to send a request, and schedules another try until it times out.
    fn try_send(
        &mut self,
        relay: usize,
        replica: usize,
        deadline: u64,
        is_waiting: bool,
        now: u64,
    ) {
        let clock = now - self.relays[relay].started_at.min(now);
        let local = &mut self.relays[relay];
        let limit = local.limits.limit(&replica_id(replica));
        let waiter = GrantWaiter { rank: 5, deadline: deadline - local.started_at.min(deadline) };
        let may_send = match (limit, self.scenario.sharing) {
            (None, _) => true,
            (Some(_), LimitSharing::Grants) => {
                // A request must not count as a waiter ahead of itself.
                if is_waiting {
                    local.grants.end_wait(&replica_id(replica), waiter);
                }
                let may_send = local.grants.spend(&replica_id(replica), 5, clock).is_ok();
                if !may_send && now < deadline {
                    local.grants.begin_wait(&replica_id(replica), waiter);
                }
                may_send
            }
            (Some(limit), sharing) => {
                let share = limit * local.share(sharing, replica, self.scenario.relays, now);
                let next = local.next_send.entry(replica).or_default();
                let may_send = *next <= now as f64 && share > 0.0;
                if may_send {
                    *next = next.max(now as f64 - 50.0) + 1_000.0 / share;
                }
                may_send
            }
        };
        if may_send && !self.scenario.is_down(relay, now) {
            let at = now + 1;
            let local = &self.relays[relay];
            let is_informed =
                local.informed_at.get(&replica).is_some_and(|informed| informed + 500 <= now);
            let is_excused = limit.is_none() && self.scenario.was_disrupted(relay, now);
            self.observed.arrivals[replica].push(Arrival { at, is_informed, is_excused });
            let limit = self.scenario.limit_at(replica, at);
            self.schedule(
                now + RESPONSE_DELAY,
                Step::Response { relay, replica, sent: now, limit },
            );
        } else if now < deadline {
            if !is_waiting {
                self.request_grants(relay, now);
            }
            let is_waiting = self.scenario.sharing == LimitSharing::Grants && limit.is_some();
            self.schedule(now + TICK, Step::Retry { relay, replica, deadline, is_waiting });
        }
    }

    fn local_relay<'a>(
        &self,
        relay: &'a Relay,
        data_centre: &'a str,
        clock: u64,
    ) -> LocalRelay<'a> {
        LocalRelay { name: &relay.name, data_centre, is_eligible: clock >= COORDINATES_AFTER }
    }

    fn request_grants(&mut self, relay: usize, now: u64) {
        let clock = now - self.relays[relay].started_at;
        let stamp = PeerStamp { incarnation: self.relays[relay].started_at as u32, time: clock };
        let due = self.relays[relay].grants.due_requests(clock);
        for request in due {
            let id = request.id.clone();
            let replica: usize = id[2..].parse().expect("a number");
            let local = &self.relays[relay];
            let Some(report) = local.limits.report(&id) else { continue };
            let data_centre = data_centre_of(relay);
            let coordinator = limit_coordinator(
                &self.local_relay(local, &data_centre, clock),
                &local.peers,
                &id,
                &data_centre_of(replica),
                clock,
            );
            match coordinator {
                LimitCoordinator::Unknown => {}
                LimitCoordinator::Local => {
                    let requester = local.name.clone();
                    self.relays[relay].issuer.request(&request, &requester, stamp, clock);
                    self.issue_grants(relay, now);
                }
                LimitCoordinator::Peer(peer, _) => {
                    let to = peer[1..].parse().expect("a number");
                    let age = clock as i64 - report.sent;
                    let body =
                        Body::Request { replica, limit: report.per_second, age, stamp, request };
                    self.observed.messages += 1;
                    self.send(relay, to, body, now);
                }
            }
        }
    }

    fn issue_grants(&mut self, relay: usize, now: u64) {
        let clock = now - self.relays[relay].started_at;
        if clock < COORDINATES_AFTER {
            return;
        }
        let data_centre = data_centre_of(relay);
        let local = &self.relays[relay];
        let is_coordinated_here = |id: &String| {
            let replica = id[2..].parse().expect("a number");
            let candidate = self.local_relay(local, &data_centre, clock);
            limit_coordinator(&candidate, &local.peers, id, &data_centre_of(replica), clock)
                == LimitCoordinator::Local
        };
        let requested: Vec<String> = local
            .issuer
            .requested_replicas()
            .map(str::to_owned)
            .filter(is_coordinated_here)
            .collect();
        let local = &mut self.relays[relay];
        let candidate =
            LocalRelay { name: &local.name, data_centre: &data_centre, is_eligible: true };
        let fraction = rate_fraction(&candidate, &local.peers, clock);
        let stamp = PeerStamp { incarnation: local.started_at as u32, time: clock };
        let mut sent = Vec::new();
        for id in requested {
            let Some(report) = local.limits.report(&id) else { continue };
            let rate = report.per_second.map_or(f64::INFINITY, |limit| limit * fraction);
            for issued in local.issuer.issue(&id, rate, report.sent, clock) {
                let replica = id[2..].parse().expect("a number");
                if issued.relay == local.name {
                    let at = (issued.stamp.time + issued.held_for) as i64;
                    local.grants.add(&id, issued.count, at, issued.share, clock);
                    continue;
                }
                let to: usize = issued.relay[1..].parse().expect("a number");
                let age = clock as i64 - report.sent;
                sent.push((
                    to,
                    Body::Grants { replica, limit: report.per_second, age, stamp, issued },
                ));
            }
        }
        self.observed.messages += sent.len();
        sent.into_iter().for_each(|(to, body)| self.send(relay, to, body, now));
    }

    fn sync(&mut self, relay: usize, round: u64, now: u64) {
        let clock = now - self.relays[relay].started_at;
        let local = &mut self.relays[relay];
        local.limits.expire(|_| true, clock);
        for name in local.peers.expired(clock) {
            local.peers.remove(&name);
        }
        let changed: Vec<_> = local.limits.changed_since(clock.saturating_sub(1_300)).collect();
        let page: Vec<_> = local.limits.page(round as usize, 8).collect();
        let read = |rows: &[(&str, LimitReport)]| -> Vec<(usize, LimitReport)> {
            rows.iter().map(|(id, report)| (id[2..].parse().expect("a number"), *report)).collect()
        };
        let (changed, page) = (read(&changed), read(&page));
        let state =
            PeerState { coordinates_limits: clock >= COORDINATES_AFTER, ..PeerState::default() };
        let stamp = PeerStamp { incarnation: local.started_at as u32, time: clock };
        let recent: Vec<(usize, usize)> =
            local.recent_requests.iter().map(|(replica, times)| (*replica, times.len())).collect();
        let (name, data_centre) = (local.name.clone(), data_centre_of(relay));
        for to in (0..self.scenario.relays).filter(|to| *to != relay) {
            let is_near = to % DATA_CENTRES == relay % DATA_CENTRES;
            if (!is_near && round % 2 == 1)
                || self.scenario.is_down(to, now)
                || self.is_lost(relay, to, now)
            {
                continue;
            }
            let receiver = &mut self.relays[to];
            let received = now - receiver.started_at;
            if !receiver.peers.record_message(&name, state, stamp, received) {
                let address = "10.0.0.1:7000".parse().expect("an address");
                receiver.peers.upsert(&name, address, &data_centre, received);
            }
            for (replica, count) in
                recent.iter().filter(|_| self.scenario.sharing == LimitSharing::Demand)
            {
                receiver.peer_requests.insert((relay, *replica), *count);
            }
            let mut reports = changed.clone();
            reports.extend(page.iter().filter(|_| is_near));
            if !reports.is_empty() {
                self.send(relay, to, Body::Limits { reports, stamp }, now);
            }
        }
    }

    fn is_lost(&mut self, from: usize, to: usize, now: u64) -> bool {
        let mut lost = self.scenario.is_partitioned(from, to, now);
        for (_, _, fault) in self.scenario.faults.iter().filter(|row| (row.0..row.1).contains(&now))
        {
            if let Fault::LossyLinks(percent) = fault {
                lost |= self.rng.random_range(0..100) < *percent;
            }
        }
        lost
    }

    fn send(&mut self, from: usize, to: usize, body: Body, now: u64) {
        if self.is_lost(from, to, now) {
            return;
        }
        let is_near = from % DATA_CENTRES == to % DATA_CENTRES;
        let mut delay = if is_near { 1 } else { self.rng.random_range(3..15) };
        let is_lossy = |fault: &Fault| matches!(fault, Fault::LossyLinks(_));
        if self.scenario.has_fault(now, is_lossy) && self.rng.random_range(0..20) == 0 {
            delay += self.rng.random_range(0..1_000);
        }
        self.schedule(now + delay, Step::Message { to, from, body });
    }

    fn receive(&mut self, to: usize, from: usize, body: Body, now: u64) {
        let clock = now - self.relays[to].started_at;
        let sender = self.relays[from].name.clone();
        let local = &mut self.relays[to];
        match body {
            Body::Limits { reports, stamp } => {
                let written = local.clocks.written_at(&sender, stamp, clock);
                for (replica, report) in reports {
                    let sent = written - (stamp.time as i64 - report.sent);
                    local.apply_report(replica, LimitReport { sent, ..report }, clock);
                }
            }
            Body::Request { replica, limit, age, stamp, request } => {
                let sent = local.clocks.written_at(&sender, stamp, clock) - age;
                local.apply_report(replica, LimitReport { per_second: limit, sent }, clock);
                local.issuer.request(&request, &sender, stamp, clock);
                self.issue_grants(to, now);
            }
            Body::Grants { replica, limit, age, stamp, issued } => {
                let sent = local.clocks.written_at(&sender, stamp, clock) - age;
                local.apply_report(replica, LimitReport { per_second: limit, sent }, clock);
                if issued.stamp.incarnation == local.started_at as u32 {
                    let at = (issued.stamp.time + issued.held_for) as i64;
                    local.grants.add(&replica_id(replica), issued.count, at, issued.share, clock);
                }
            }
        }
    }
}

impl Relay {
    fn apply_report(&mut self, replica: usize, report: LimitReport, clock: u64) {
        let change = self.limits.update(&replica_id(replica), report, clock);
        if let Some(LimitChange::Set(limit)) = change {
            self.grants.record_limit(&replica_id(replica), limit);
        }
    }

    /// Returns the fraction of a limit that this relay uses under the simpler strategies.
    fn share(&mut self, sharing: LimitSharing, replica: usize, relays: usize, now: u64) -> f64 {
        if sharing == LimitSharing::Even {
            return 1.0 / relays as f64;
        }
        let recent = self.recent_requests.entry(replica).or_default();
        recent.retain(|time| *time + 1_000 > now);
        let own = recent.len();
        let others: usize = self
            .peer_requests
            .iter()
            .filter(|(key, _)| key.1 == replica)
            .map(|(_, count)| count)
            .sum();
        own as f64 / (own + others).max(1) as f64
    }
}

/// Returns the largest number of requests beyond `ratio` times the limit that a replica got in a
/// window. If `only_informed` is set, only requests of relays that knew the limit count.
pub(crate) fn worst_excess(
    scenario: &Scenario,
    observed: &Observed,
    replica: usize,
    ratio: f64,
    only_informed: bool,
) -> f64 {
    let mut limited_since = None;
    let mut worst = f64::MIN;
    let arrivals = &observed.arrivals[replica];
    let counts =
        |arrival: &Arrival| if only_informed { arrival.is_informed } else { !arrival.is_excused };
    for (index, Arrival { at: from, .. }) in arrivals.iter().enumerate() {
        let limit = scenario.limit_at(replica, *from);
        // A limit that is reported anew is enforced only after the grace time again.
        limited_since = limit.and(limited_since.or(Some(*from)));
        let Some(since) = limited_since else { continue };
        if *from < since + GRACE_TIME {
            continue;
        }
        let window = arrivals[index..].iter().take_while(|arrival| arrival.at < from + WINDOW);
        let window: Vec<_> = window.collect();
        // The highest limit reported in the window applies, or none if there was none for part of
        // it. Relays learn of a lowered limit half a second later.
        let times = window.iter().map(|arrival| arrival.at).chain([from - 500]);
        let limits: Option<Vec<f64>> = times.map(|at| scenario.limit_at(replica, at)).collect();
        let Some(limits) = limits else { continue };
        let limit = limits.into_iter().fold(0.0, f64::max);
        let counted = window.iter().filter(|arrival| counts(arrival)).count();
        worst = worst.max(counted as f64 - limit * ratio * WINDOW as f64 / 1_000.0);
    }
    worst
}

/// Returns the smallest fraction of the limit that was used in any span after the grace time.
pub(crate) fn min_use(scenario: &Scenario, observed: &Observed, replica: usize) -> f64 {
    let (first, limit) = scenario.limits[replica][0];
    let limit = limit.expect("the replica has a limit from the start");
    let from = (first.max(GRACE_TIME) + GRACE_TIME)..scenario.length.saturating_sub(USE_SPAN);
    let served = from.step_by(250).map(|from| {
        let within = |arrival: &&Arrival| (from..from + USE_SPAN).contains(&arrival.at);
        observed.arrivals[replica].iter().filter(within).count()
    });
    served.min().unwrap_or(0) as f64 / (limit * USE_SPAN as f64 / 1_000.0)
}
