//! A model of what the relays of a fleet tell each other, in virtual time: the router's own tables, and messages between them that
//! take time and are lost.

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

/// Time for which a request holds its room, and requests a second of each relay.
const HOLDS: Millis = 3_000;
const REQUESTS: f64 = 0.5;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    /// The first relays of each data centre, and of the others so many in a hundred, are gone for good.
    Gone { first: usize, hundredths: usize },
    /// Data centres do not hear each other for so long.
    Cut { lasts: Millis },
    /// A relay finds a replica lost.
    Suspects { relay: usize },
}

/// A fleet.
#[derive(Clone, Debug)]
pub(crate) struct Day {
    pub(crate) relays: usize,
    pub(crate) data_centres: usize,
    /// Messages of a hundred that are lost.
    pub(crate) lost: u32,
    pub(crate) troubles: Vec<(Millis, Trouble)>,
    pub(crate) length: Millis,
}

/// Load that a message tells.
#[derive(Clone)]
enum Load {
    Untold,
    Gathered(HashMap<ReplicaInstance, f64>),
    Sums(HashMap<ReplicaInstance, f64>),
}

#[derive(Clone)]
struct Message {
    from: usize,
    stamp: PeerStamp,
    report: ReportKind,
    is_member: bool,
    keepers: Vec<u32>,
    load: Load,
    suspects: Vec<(ReplicaInstance, Millis)>,
}

enum Step {
    Round(usize, u64),
    Request(usize),
    End(usize, usize),
    Hear(usize, Box<Message>),
    Trouble(usize),
}

struct Relay {
    name: String,
    place: String,
    peers: PeerTable,
    room: ReservationLedger,
    suspects: SuspectList,
    circle: GossipPlan,
    is_gone: bool,
}

/// What a day showed.
#[derive(Default)]
pub(crate) struct Seen {
    /// Messages that each relay sent and heard in the last five seconds.
    pub(crate) talk: Vec<usize>,
    /// Whether each was a member at the end.
    pub(crate) is_member: Vec<bool>,
    /// Whether each was there at the end.
    pub(crate) is_there: Vec<bool>,
    /// When each relay first kept away from the suspected replica, and when it last did.
    pub(crate) first_away: BTreeMap<usize, Millis>,
    pub(crate) last_away: BTreeMap<usize, Millis>,
    /// Parts of what is promised that each relay there misjudged at the end, all replicas together.
    pub(crate) misjudged: Vec<f64>,
    /// Relays that each relay there takes for the keeper of a replica's limit at the end.
    pub(crate) keepers: Vec<Option<String>>,
}

struct Model<'a> {
    day: &'a Day,
    random: ChaCha8Rng,
    relays: Vec<Relay>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    steps: HashMap<u64, Step>,
    count: u64,
    cut_until: Millis,
    promised: [f64; REPLICAS],
    seen: Seen,
}

fn instance(replica: usize) -> ReplicaInstance {
    ReplicaInstance::new(&format!("i-{replica}"), 1)
}

fn address(relay: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (relay / 250) as u8, (relay % 250) as u8 + 1], 7_000))
}

/// Plays a day.
pub(crate) fn play(day: &Day, seed: u64) -> Seen {
    let relays = (0..day.relays).map(|number| Relay {
        name: format!("r{number:04}"),
        place: format!("d{}", number % day.data_centres),
        peers: PeerTable::default(),
        room: ReservationLedger::default(),
        suspects: SuspectList::default(),
        circle: GossipPlan::default(),
        is_gone: false,
    });
    let mut model = Model {
        day,
        random: ChaCha8Rng::seed_from_u64(seed),
        relays: relays.collect(),
        heap: BinaryHeap::new(),
        steps: HashMap::new(),
        count: 0,
        cut_until: 0,
        promised: [0.0; REPLICAS],
        seen: Seen { talk: vec![0; day.relays], ..Seen::default() },
    };
    model.begin();
    while let Some(Reverse((now, number))) = model.heap.pop().filter(|step| step.0.0 < day.length) {
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
        for relay in 0..self.day.relays {
            for other in (0..self.day.relays).filter(|other| *other != relay) {
                let (name, place) =
                    (self.relays[other].name.clone(), self.relays[other].place.clone());
                self.relays[relay].peers.upsert(&name, address(other), &place, 0);
            }
            let (round, request) =
                (self.random.random_range(0..ROUND), self.random.random_range(0..2_000));
            self.at(round, Step::Round(relay, 0));
            self.at(request, Step::Request(relay));
        }
        for (number, (at, _)) in self.day.troubles.iter().enumerate() {
            self.at(*at, Step::Trouble(number));
        }
    }

    fn run(&mut self, step: Step, now: Millis) {
        match step {
            Step::Round(relay, round) if !self.relays[relay].is_gone => {
                self.round(relay, round, now);
                self.at(now + ROUND, Step::Round(relay, round + 1));
            }
            Step::Request(relay) if !self.relays[relay].is_gone => {
                let replica = self.random.random_range(0..REPLICAS);
                self.relays[relay].room.reserve(&instance(replica), 100.0);
                self.promised[replica] += 100.0;
                self.at(now + HOLDS, Step::End(relay, replica));
                let pause = self.random.random_range(0.0..2_000.0 / REQUESTS) as Millis;
                self.at(now + pause, Step::Request(relay));
            }
            Step::End(relay, replica) if !self.relays[relay].is_gone => {
                self.relays[relay].room.release(&instance(replica), 100.0);
                self.promised[replica] -= 100.0;
            }
            Step::Hear(relay, message) if !self.relays[relay].is_gone => {
                self.hear(relay, &message, now);
            }
            Step::Trouble(number) => self.strike(self.day.troubles[number].1, now),
            _ => {}
        }
    }

    fn strike(&mut self, trouble: Trouble, now: Millis) {
        match trouble {
            Trouble::Gone { first, hundredths } => {
                for relay in 0..self.day.relays {
                    let is_first = relay / self.day.data_centres < first;
                    if !is_first && self.random.random_range(0..100) >= hundredths {
                        continue;
                    }
                    self.relays[relay].is_gone = true;
                    for replica in 0..REPLICAS {
                        let own = self.relays[relay].room.own();
                        self.promised[replica] -= own.get(&instance(replica)).unwrap_or(&0.0);
                    }
                }
            }
            Trouble::Cut { lasts } => self.cut_until = now + lasts,
            Trouble::Suspects { relay } => {
                self.relays[relay].suspects.record_failure(&instance(0), now);
                self.note_away(relay, now);
                self.tell(relay, now, |_, _| true);
            }
        }
    }

    fn note_away(&mut self, relay: usize, now: Millis) {
        if self.relays[relay].suspects.is_suspect(&instance(0), now) {
            self.seen.first_away.entry(relay).or_insert(now);
            self.seen.last_away.insert(relay, now);
        }
    }

    fn round(&mut self, relay: usize, round: u64, now: Millis) {
        self.note_away(relay, now);
        let own = &mut self.relays[relay];
        own.room.expire(now);
        let was_member = own.circle.is_member;
        own.circle = own.peers.plan_gossip(&own.name, &own.place, now);
        if was_member && !own.circle.is_member {
            own.room.clear_sums();
            self.greet_all(relay, now);
        }
        self.tell(relay, now, |_, leg| match leg {
            GossipLink::Near => true,
            GossipLink::Far => round.is_multiple_of(2),
            GossipLink::Report(_) | GossipLink::Member(_) => true,
        });
    }

    fn greet_all(&mut self, relay: usize, now: Millis) {
        for to in (0..self.day.relays).filter(|to| *to != relay) {
            let name = self.relays[to].name.clone();
            let peer = GossipPeer { name, address: address(to), link: GossipLink::Near };
            let message = Message { load: Load::Untold, ..self.message(relay, &peer, now) };
            self.send(relay, to, message, now);
        }
    }

    fn tell(&mut self, relay: usize, now: Millis, is_due: impl Fn(&str, GossipLink) -> bool) {
        let circle = self.relays[relay].circle.clone();
        for peer in circle.peers.iter().filter(|peer| is_due(&peer.name, peer.link)) {
            let message = self.message(relay, peer, now);
            let to = peer.name[1..].parse().expect("a number");
            self.send(relay, to, message, now);
        }
    }

    fn message(&self, from: usize, peer: &GossipPeer, now: Millis) -> Message {
        let own = &self.relays[from];
        let (report, reach) = match peer.link {
            GossipLink::Report(kind) => (kind, UpdateAudience::Speakers),
            GossipLink::Near | GossipLink::Far => (ReportKind::None, UpdateAudience::Speakers),
            GossipLink::Member(_) => (ReportKind::None, UpdateAudience::Members),
        };
        let counts = |name: &str| own.peers.report_kind(name, now) == ReportKind::Counted;
        let load = match peer.link {
            GossipLink::Member(ReportKind::Counted) => {
                let total = own.room.total_without(&peer.name);
                Load::Sums(total.map(|(instance, amount)| (instance.clone(), amount)).collect())
            }
            GossipLink::Member(_) | GossipLink::Report(ReportKind::Spare) => Load::Untold,
            _ => {
                let gathered = own.room.sum_with(counts).into_iter();
                Load::Gathered(
                    gathered.map(|(instance, amount)| (instance.clone(), amount)).collect(),
                )
            }
        };
        let suspects = own.suspects.shared_with(reach, now);
        let mut keepers = Vec::new();
        if reach == UpdateAudience::Members {
            keepers = own.peers.coordinator_hashes(now);
            keepers.extend((!own.circle.is_member).then(|| name_hash(&own.name)));
        }
        Message {
            from,
            stamp: PeerStamp { incarnation: 1, time: now },
            report,
            is_member: own.circle.is_member,
            keepers,
            load,
            suspects: suspects.map(|(instance, left)| (instance.clone(), left)).collect(),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now: Millis) {
        let counts = now + 5_000 >= self.day.length;
        self.seen.talk[from] += usize::from(counts);
        let is_near = self.relays[from].place == self.relays[to].place;
        let is_cut = !is_near && now < self.cut_until;
        if is_cut || self.random.random_range(0..100) < self.day.lost {
            return;
        }
        self.seen.talk[to] += usize::from(counts);
        let delay = if is_near { 1 } else { self.random.random_range(3..15) };
        self.at(now + delay, Step::Hear(to, Box::new(message)));
    }

    fn hear(&mut self, to: usize, message: &Message, now: Millis) {
        let from = message.from;
        let (name, place) = (self.relays[from].name.clone(), self.relays[from].place.clone());
        let Message { stamp, report, is_member, .. } = *message;
        let own = &mut self.relays[to];
        own.peers.upsert(&name, address(from), &place, now);
        let state = PeerState { keeps_limits: !is_member, is_member, ..PeerState::default() };
        if !own.peers.record_message(&name, state, stamp, now) {
            return;
        }
        own.peers.record_report(&name, report, now);
        own.peers.record_reported_roles(&message.keepers, None, now);
        let is_counted = report == ReportKind::Counted;
        match &message.load {
            Load::Gathered(load) if !own.circle.is_member || is_counted => {
                own.room.merge_peer(&name, load.clone(), now);
            }
            Load::Sums(load) if own.circle.is_member => {
                own.room.merge_sum(SumScope::SameDataCentre, load.clone(), now);
            }
            _ => {}
        }
        let origin =
            if report == ReportKind::None { UpdateOrigin::Told } else { UpdateOrigin::Member };
        let mut is_news = false;
        for (instance, left) in &message.suspects {
            if !own.suspects.is_suspect(instance, now) {
                own.suspects.merge_peer(instance, now + left, origin);
                is_news = true;
            }
        }
        if is_news {
            let reaches_far = origin == UpdateOrigin::Member;
            let has_members = self.relays[to].peers.has_members(now);
            self.note_away(to, now);
            if has_members {
                self.tell(to, now, |_, leg| reaches_far || leg != GossipLink::Far);
            }
        }
    }

    fn finish(mut self) -> Seen {
        let now = self.day.length;
        let true_sum: f64 = self.promised.iter().sum();
        for relay in &self.relays {
            // One that others report to speaks for them, also where it reports to another itself.
            self.seen.is_member.push(relay.circle.is_member && !relay.peers.has_members(now));
            self.seen.is_there.push(!relay.is_gone);
            let off = (0..REPLICAS).map(|replica| {
                (relay.room.reserved(&instance(replica)) - self.promised[replica]).abs()
            });
            self.seen.misjudged.push(off.sum::<f64>() / true_sum.max(1.0));
            let keeps = !relay.circle.is_member;
            let own =
                LocalRelay { name: &relay.name, data_centre: &relay.place, is_eligible: keeps };
            let keeper = match limit_coordinator(&own, &relay.peers, "i-0", "d0", now) {
                LimitCoordinator::Local => Some(relay.name.clone()),
                LimitCoordinator::Peer(name, _) => Some(name.to_owned()),
                LimitCoordinator::Unknown => None,
            };
            self.seen.keepers.push(keeper);
        }
        self.seen
    }
}

impl Seen {
    /// Messages a second of the busiest relay there, members or speakers.
    pub(crate) fn busiest(&self, members: bool) -> f64 {
        let there = (0..self.talk.len()).filter(|relay| self.is_there[*relay]);
        let talk = there.filter(|relay| self.is_member[*relay] == members);
        talk.map(|relay| self.talk[relay]).max().unwrap_or(0) as f64 / 5.0
    }

    /// Worst misjudgement of a relay there.
    pub(crate) fn worst_misjudged(&self) -> f64 {
        let there = self.misjudged.iter().zip(&self.is_there).filter(|(_, there)| **there);
        there.map(|(misjudged, _)| *misjudged).fold(0.0, f64::max)
    }
}
