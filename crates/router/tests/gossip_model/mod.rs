//! Model of the messages between the relays of a fleet, in virtual time: the router's own tables,
//! and messages between them that take time and get lost.

#![allow(dead_code, reason = "tests and benchmark each use a part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_router::{
    Millis,
    coordinator::{LimitCoordinator, LocalRelay, limit_coordinator},
    instance::ReplicaInstance,
    membership::{
        GossipLink, GossipPeer, GossipPlan, PeerStamp, PeerState, PeerTable, ReportKind, name_hash,
    },
    origin::{UpdateAudience, UpdateOrigin},
    reservations::{ReservationLedger, SumScope},
    suspect::SuspectList,
};

const ROUND: Millis = 200;
const REPLICAS: usize = 40;

/// Time for which a request holds its reservation, in milliseconds, and requests per second of each
/// relay.
const HOLD_TIME: Millis = 3_000;
const REQUESTS: f64 = 0.5;

/// A fault in the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The first relays of each data centre, and a percentage of the others, stop for good.
    Stop { first: usize, percent: usize },
    /// Messages between data centres are lost for this time, in milliseconds.
    Partition { duration: Millis },
    /// A relay finds a replica failed.
    Suspect { relay: usize },
}

/// A fleet, and the faults that happen to it.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) relays: usize,
    pub(crate) data_centres: usize,
    /// Percentage of messages that are lost.
    pub(crate) lost: u32,
    pub(crate) faults: Vec<(Millis, Fault)>,
    pub(crate) length: Millis,
}

/// Reservations in a message.
#[derive(Clone)]
enum Load {
    Unreported,
    Gathered(HashMap<ReplicaInstance, f64>),
    Sums(HashMap<ReplicaInstance, f64>),
}

#[derive(Clone)]
struct Message {
    from: usize,
    stamp: PeerStamp,
    report: ReportKind,
    is_member: bool,
    coordinators: Vec<u32>,
    load: Load,
    suspects: Vec<(ReplicaInstance, Millis)>,
}

enum Step {
    Round(usize, u64),
    Request(usize),
    End(usize, usize),
    Receive(usize, Box<Message>),
    Fault(usize),
}

struct Relay {
    name: String,
    data_centre: String,
    peers: PeerTable,
    reservations: ReservationLedger,
    suspects: SuspectList,
    plan: GossipPlan,
    is_stopped: bool,
}

/// Result of a scenario.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Messages that each relay sent and received in the last five seconds.
    pub(crate) message_counts: Vec<usize>,
    /// Whether each relay was a member at the end.
    pub(crate) is_member: Vec<bool>,
    /// Whether each relay was running at the end.
    pub(crate) is_running: Vec<bool>,
    /// When each relay first avoided the suspected replica, and when it last did.
    pub(crate) first_avoided: BTreeMap<usize, Millis>,
    pub(crate) last_avoided: BTreeMap<usize, Millis>,
    /// Fraction of the reservations that each running relay estimated wrongly at the end, over all
    /// replicas.
    pub(crate) misestimated: Vec<f64>,
    /// Relay that each running relay took for the coordinator of a replica's limit at the end.
    pub(crate) coordinators: Vec<Option<String>>,
}

struct Model<'a> {
    scenario: &'a Scenario,
    random: ChaCha8Rng,
    relays: Vec<Relay>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    steps: HashMap<u64, Step>,
    count: u64,
    partitioned_until: Millis,
    reserved: [f64; REPLICAS],
    outcome: Outcome,
}

fn instance(replica: usize) -> ReplicaInstance {
    ReplicaInstance::new(&format!("i-{replica}"), 1)
}

fn address(relay: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (relay / 250) as u8, (relay % 250) as u8 + 1], 7_000))
}

/// Runs a scenario.
pub(crate) fn run_scenario(scenario: &Scenario, seed: u64) -> Outcome {
    let relays = (0..scenario.relays).map(|number| Relay {
        name: format!("r{number:04}"),
        data_centre: format!("d{}", number % scenario.data_centres),
        peers: PeerTable::default(),
        reservations: ReservationLedger::default(),
        suspects: SuspectList::default(),
        plan: GossipPlan::default(),
        is_stopped: false,
    });
    let mut model = Model {
        scenario,
        random: ChaCha8Rng::seed_from_u64(seed),
        relays: relays.collect(),
        heap: BinaryHeap::new(),
        steps: HashMap::new(),
        count: 0,
        partitioned_until: 0,
        reserved: [0.0; REPLICAS],
        outcome: Outcome { message_counts: vec![0; scenario.relays], ..Outcome::default() },
    };
    model.begin();
    while let Some(Reverse((now, number))) =
        model.heap.pop().filter(|step| step.0.0 < scenario.length)
    {
        let step = model.steps.remove(&number).expect("each step runs once");
        model.run(step, now);
    }
    model.finish()
}

impl Model<'_> {
    fn at(&mut self, time: Millis, step: Step) {
        self.count += 1;
        self.heap.push(Reverse((time, self.count)));
        self.steps.insert(self.count, step);
    }

    fn begin(&mut self) {
        for relay in 0..self.scenario.relays {
            for other in (0..self.scenario.relays).filter(|other| *other != relay) {
                let (name, data_centre) =
                    (self.relays[other].name.clone(), self.relays[other].data_centre.clone());
                self.relays[relay].peers.upsert(&name, address(other), &data_centre, 0);
            }
            let (round, request) =
                (self.random.random_range(0..ROUND), self.random.random_range(0..2_000));
            self.at(round, Step::Round(relay, 0));
            self.at(request, Step::Request(relay));
        }
        for (number, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.at(*at, Step::Fault(number));
        }
    }

    fn run(&mut self, step: Step, now: Millis) {
        match step {
            Step::Round(relay, round) if !self.relays[relay].is_stopped => {
                self.round(relay, round, now);
                self.at(now + ROUND, Step::Round(relay, round + 1));
            }
            Step::Request(relay) if !self.relays[relay].is_stopped => {
                let replica = self.random.random_range(0..REPLICAS);
                self.relays[relay].reservations.reserve(&instance(replica), 100.0);
                self.reserved[replica] += 100.0;
                self.at(now + HOLD_TIME, Step::End(relay, replica));
                let pause = self.random.random_range(0.0..2_000.0 / REQUESTS) as Millis;
                self.at(now + pause, Step::Request(relay));
            }
            Step::End(relay, replica) if !self.relays[relay].is_stopped => {
                self.relays[relay].reservations.release(&instance(replica), 100.0);
                self.reserved[replica] -= 100.0;
            }
            Step::Receive(relay, message) if !self.relays[relay].is_stopped => {
                self.receive(relay, &message, now);
            }
            Step::Fault(number) => self.inject_fault(self.scenario.faults[number].1, now),
            _ => {}
        }
    }

    fn inject_fault(&mut self, fault: Fault, now: Millis) {
        match fault {
            Fault::Stop { first, percent } => {
                for relay in 0..self.scenario.relays {
                    let is_first = relay / self.scenario.data_centres < first;
                    if !is_first && self.random.random_range(0..100) >= percent {
                        continue;
                    }
                    self.relays[relay].is_stopped = true;
                    for replica in 0..REPLICAS {
                        let own = self.relays[relay].reservations.own();
                        self.reserved[replica] -= own.get(&instance(replica)).unwrap_or(&0.0);
                    }
                }
            }
            Fault::Partition { duration } => self.partitioned_until = now + duration,
            Fault::Suspect { relay } => {
                self.relays[relay].suspects.record_failure(&instance(0), now);
                self.record_avoidance(relay, now);
                self.send_state(relay, now, |_, _| true);
            }
        }
    }

    fn record_avoidance(&mut self, relay: usize, now: Millis) {
        if self.relays[relay].suspects.is_suspect(&instance(0), now) {
            self.outcome.first_avoided.entry(relay).or_insert(now);
            self.outcome.last_avoided.insert(relay, now);
        }
    }

    fn round(&mut self, relay: usize, round: u64, now: Millis) {
        self.record_avoidance(relay, now);
        let own = &mut self.relays[relay];
        own.reservations.expire(now);
        let was_member = own.plan.is_member;
        own.plan = own.peers.plan_gossip(&own.name, &own.data_centre, now);
        if was_member && !own.plan.is_member {
            own.reservations.clear_sums();
            self.announce_to_all(relay, now);
        }
        self.send_state(relay, now, |_, link| match link {
            GossipLink::Near => true,
            GossipLink::Far => round.is_multiple_of(2),
            GossipLink::Report(_) | GossipLink::Member(_) => true,
        });
    }

    fn announce_to_all(&mut self, relay: usize, now: Millis) {
        for to in (0..self.scenario.relays).filter(|to| *to != relay) {
            let name = self.relays[to].name.clone();
            let peer = GossipPeer { name, address: address(to), link: GossipLink::Near };
            let message = Message { load: Load::Unreported, ..self.message(relay, &peer, now) };
            self.send(relay, to, message, now);
        }
    }

    fn send_state(&mut self, relay: usize, now: Millis, is_due: impl Fn(&str, GossipLink) -> bool) {
        let plan = self.relays[relay].plan.clone();
        for peer in plan.peers.iter().filter(|peer| is_due(&peer.name, peer.link)) {
            let message = self.message(relay, peer, now);
            let to = peer.name[1..].parse().expect("a number");
            self.send(relay, to, message, now);
        }
    }

    fn message(&self, from: usize, peer: &GossipPeer, now: Millis) -> Message {
        let own = &self.relays[from];
        let (report, audience) = match peer.link {
            GossipLink::Report(kind) => (kind, UpdateAudience::Speakers),
            GossipLink::Near | GossipLink::Far => (ReportKind::None, UpdateAudience::Speakers),
            GossipLink::Member(_) => (ReportKind::None, UpdateAudience::Members),
        };
        let counts = |name: &str| own.peers.report_kind(name, now) == ReportKind::Counted;
        let load = match peer.link {
            GossipLink::Member(ReportKind::Counted) => {
                let total = own.reservations.total_without(&peer.name);
                Load::Sums(total.map(|(instance, amount)| (instance.clone(), amount)).collect())
            }
            GossipLink::Member(_) | GossipLink::Report(ReportKind::Spare) => Load::Unreported,
            _ => {
                let gathered = own.reservations.sum_with(counts).into_iter();
                Load::Gathered(
                    gathered.map(|(instance, amount)| (instance.clone(), amount)).collect(),
                )
            }
        };
        let suspects = own.suspects.shared_with(audience, now);
        let mut coordinators = Vec::new();
        if audience == UpdateAudience::Members {
            coordinators = own.peers.coordinator_hashes(now);
            coordinators.extend((!own.plan.is_member).then(|| name_hash(&own.name)));
        }
        Message {
            from,
            stamp: PeerStamp { incarnation: 1, time: now },
            report,
            is_member: own.plan.is_member,
            coordinators,
            load,
            suspects: suspects.map(|(instance, remaining)| (instance.clone(), remaining)).collect(),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now: Millis) {
        let counts = now + 5_000 >= self.scenario.length;
        self.outcome.message_counts[from] += usize::from(counts);
        let is_near = self.relays[from].data_centre == self.relays[to].data_centre;
        let is_partitioned = !is_near && now < self.partitioned_until;
        if is_partitioned || self.random.random_range(0..100) < self.scenario.lost {
            return;
        }
        self.outcome.message_counts[to] += usize::from(counts);
        let delay = if is_near { 1 } else { self.random.random_range(3..15) };
        self.at(now + delay, Step::Receive(to, Box::new(message)));
    }

    fn receive(&mut self, to: usize, message: &Message, now: Millis) {
        let from = message.from;
        let (name, data_centre) =
            (self.relays[from].name.clone(), self.relays[from].data_centre.clone());
        let Message { stamp, report, is_member, .. } = *message;
        let own = &mut self.relays[to];
        own.peers.upsert(&name, address(from), &data_centre, now);
        let state = PeerState { coordinates_limits: !is_member, is_member, ..PeerState::default() };
        if !own.peers.record_message(&name, state, stamp, now) {
            return;
        }
        own.peers.record_report(&name, report, now);
        own.peers.record_reported_roles(&message.coordinators, None, now);
        let is_counted = report == ReportKind::Counted;
        match &message.load {
            Load::Gathered(load) if !own.plan.is_member || is_counted => {
                own.reservations.merge_peer(&name, load.clone(), now);
            }
            Load::Sums(load) if own.plan.is_member => {
                own.reservations.merge_sum(SumScope::SameDataCentre, load.clone(), now);
            }
            _ => {}
        }
        let origin =
            if report == ReportKind::None { UpdateOrigin::Peer } else { UpdateOrigin::Member };
        let mut is_new = false;
        for (instance, remaining) in &message.suspects {
            if !own.suspects.is_suspect(instance, now) {
                own.suspects.merge_peer(instance, *remaining, origin, now);
                is_new = true;
            }
        }
        if is_new {
            let goes_far = origin == UpdateOrigin::Member;
            let has_members = self.relays[to].peers.has_members(now);
            self.record_avoidance(to, now);
            if has_members {
                self.send_state(to, now, |_, link| goes_far || link != GossipLink::Far);
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let now = self.scenario.length;
        let true_sum: f64 = self.reserved.iter().sum();
        for relay in &self.relays {
            // A relay that others report to acts as a speaker, even if it reports to another one
            // itself.
            self.outcome.is_member.push(relay.plan.is_member && !relay.peers.has_members(now));
            self.outcome.is_running.push(!relay.is_stopped);
            let errors = (0..REPLICAS).map(|replica| {
                (relay.reservations.reserved(&instance(replica)) - self.reserved[replica]).abs()
            });
            self.outcome.misestimated.push(errors.sum::<f64>() / true_sum.max(1.0));
            let is_eligible = !relay.plan.is_member;
            let own =
                LocalRelay { name: &relay.name, data_centre: &relay.data_centre, is_eligible };
            let coordinator = match limit_coordinator(&own, &relay.peers, "i-0", "d0", now) {
                LimitCoordinator::Local => Some(relay.name.clone()),
                LimitCoordinator::Peer(name, _) => Some(name.to_owned()),
                LimitCoordinator::Unknown => None,
            };
            self.outcome.coordinators.push(coordinator);
        }
        self.outcome
    }
}

impl Outcome {
    /// Returns the messages per second of the busiest running relay, among the members or the
    /// speakers.
    pub(crate) fn busiest(&self, members: bool) -> f64 {
        let running = (0..self.message_counts.len()).filter(|relay| self.is_running[*relay]);
        let message_counts = running.filter(|relay| self.is_member[*relay] == members);
        message_counts.map(|relay| self.message_counts[relay]).max().unwrap_or(0) as f64 / 5.0
    }

    /// Returns the largest wrong estimate of a running relay.
    pub(crate) fn worst_misestimate(&self) -> f64 {
        let running =
            self.misestimated.iter().zip(&self.is_running).filter(|(_, running)| **running);
        running.map(|(misestimated, _)| *misestimated).fold(0.0, f64::max)
    }
}
