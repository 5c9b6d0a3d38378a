//! A start of all relays at about the same time, in virtual time, by the router's own decisions.

use std::net::SocketAddr;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_core::retry::Backoff;
use switchfold_router::{
    Millis,
    fleet::{EntryState, ReplicaEntry, ReplicaUpdate},
    follow::{
        CONFIG_TIMINGS, FollowInputs, FollowStep, REPLICA_TIMINGS, STORE_TIMEOUT, StoreFollower,
    },
    freshness::FreshnessLease,
    instance::ReplicaInstance,
    membership::{PeerProof, PeerStamp, PeerState, PeerTable},
    replicas::{FleetList, FleetTracker, UpdateSource},
};

/// Step of the clock, in milliseconds.
const TICK: Millis = 10;

/// Time in which each undisturbed relay is ready after its start: our goal for the return of service.
const READY_BOUND: Millis = 3_000;

/// Time between two state messages of a relay, and their delay, in milliseconds.
const SEND_INTERVAL: Millis = 200;
const MESSAGE_DELAY: Millis = 10;

/// Time after which a neighbour that does not respond is given up, in milliseconds.
const ASK_TIMEOUT: Millis = 300;

/// Time of a relay's first list of the relays after its start, in milliseconds.
const PEERS_DELAY: Millis = 300;

/// Bound on removed keys, in milliseconds.
const REVOKE_TIME: Millis = 5_000;

/// Revision at which everything is read, and the version of the configuration.
const REVISION: u64 = 7;

#[derive(Clone, Debug)]
struct Scenario {
    relays: usize,
    data_centres: usize,
    /// Time over which the relays start, in milliseconds.
    spread: Millis,
    /// Time until which the store does not answer at all.
    outage: Millis,
    /// Time until which calls and messages are lost, and percentage that is.
    lossy_until: Millis,
    loss_percent: u32,
    /// Longest time of an answer of the store.
    max_answer: Millis,
    seed: u64,
}

impl Scenario {
    fn disturbed_until(&self) -> Millis {
        self.outage.max(self.lossy_until)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Config,
    Replicas,
}

/// A read that is under way.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    sent: Millis,
    ends: Millis,
    /// Whether it is answered when it ends.
    is_answered: bool,
    /// Whether a neighbour was asked.
    is_snapshot: bool,
}

struct Following {
    kind: Kind,
    follower: StoreFollower<ChaCha8Rng>,
    idle_until: Millis,
    pending: Option<PendingRead>,
}

struct StartedRelay {
    name: String,
    data_centre: String,
    started: Millis,
    peers: PeerTable,
    fleet: FleetTracker,
    lease: FreshnessLease,
    config_version: u64,
    following: Vec<Following>,
    knows_peers: bool,
    next_send: Millis,
    ready_at: Option<Millis>,
}

struct Message {
    to: usize,
    from: usize,
    arrives: Millis,
    state: PeerState,
    stamp: PeerStamp,
}

struct World {
    scenario: Scenario,
    random: ChaCha8Rng,
    relays: Vec<StartedRelay>,
    messages: Vec<Message>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8 + 1], 7_000))
}

fn listed_replica() -> ReplicaUpdate {
    let entry = ReplicaEntry {
        instance: ReplicaInstance::new("i-1", 1),
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 2, 0, 1], 80)),
        data_centre: "d0".to_owned(),
        slots: 1,
        state: EntryState::Ready,
        kind: String::new(),
        layers: None,
    };
    ReplicaUpdate { id: "i-1".to_owned(), revision: REVISION, entry: Some(entry) }
}

impl StartedRelay {
    fn new(number: usize, scenario: &Scenario, started: Millis) -> Self {
        let kinds = [(Kind::Config, CONFIG_TIMINGS), (Kind::Replicas, REPLICA_TIMINGS)];
        let following = kinds.map(|(kind, timings)| {
            let seed = scenario.seed ^ (number as u64 * 2 + u64::from(kind == Kind::Config));
            let backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
            let follower = StoreFollower::new(timings, backoff);
            Following { kind, follower, idle_until: started, pending: None }
        });
        Self {
            name: format!("r{number:03}"),
            data_centre: format!("d{}", number % scenario.data_centres),
            started,
            peers: PeerTable::default(),
            fleet: FleetTracker::default(),
            lease: FreshnessLease::default(),
            config_version: 0,
            following: following.into(),
            knows_peers: false,
            next_send: started,
            ready_at: None,
        }
    }

    fn inputs(&self, kind: Kind, now: Millis) -> FollowInputs {
        let (name, data_centre) = (self.name.as_str(), self.data_centre.as_str());
        let preceding = self.peers.preceding(name, data_centre, now);
        let version = self.config_version;
        match kind {
            Kind::Config => FollowInputs {
                is_read_by_peer: self.peers.config_read_by_peer(name, data_centre, version, now),
                peer_has_newer: self.peers.peer_has_newer_config(name, data_centre, version, now),
                source: self
                    .peers
                    .config_source(name, data_centre, version, now)
                    .map(|source| source.order),
                preceding: preceding.live,
                preceding_lost: preceding.lost_config,
                ..FollowInputs::default()
            },
            Kind::Replicas => FollowInputs {
                is_read_by_peer: self.peers.fleet_read_by_peer(name, data_centre, now),
                source: self
                    .peers
                    .fleet_source(name, data_centre, self.fleet.has_no_list(), now)
                    .map(|source| source.order),
                preceding: preceding.live,
                preceding_lost: preceding.lost_fleet,
                is_retried_elsewhere: self.lease.is_lost(),
                ..FollowInputs::default()
            },
        }
    }

    fn state(&self, now: Millis) -> PeerState {
        PeerState {
            fleet_is_fresh: self.fleet.is_fresh(now),
            fleet_is_lost: self.fleet.is_lost(),
            fleet_digest: self.fleet.view.digest(),
            config_is_lost: self.lease.is_lost(),
            config_version: self.config_version,
            config_age: self.lease.age(now),
            fleet_age: self.fleet.age(now),
            fleet_read_age: self.fleet.read_age(now),
            config_answer_age: self.lease.answer_age(now),
            fleet_answer_age: self.fleet.answer_age(now),
            coordinates_limits: false,
            is_member: self.peers.is_member(),
        }
    }

    /// Returns whether it could admit requests.
    fn is_ready(&self, now: Millis) -> bool {
        self.config_version > 0
            && !self.fleet.has_no_list()
            && self.lease.is_valid(REVOKE_TIME, now)
    }

    /// Records the end of a read of the store or of a neighbour.
    fn end_read(&mut self, index: usize, read: PendingRead, now: Millis) {
        let kind = self.following[index].kind;
        let preceding_lost = self.inputs(kind, now).preceding_lost;
        let follower = &mut self.following[index].follower;
        if !read.is_answered {
            match (read.is_snapshot, kind) {
                (true, _) => follower.record_no_snapshot(now),
                (false, Kind::Config) => self.lease.record_loss(read.sent),
                (false, Kind::Replicas) => self.fleet.record_loss(read.sent),
            }
            if !read.is_snapshot {
                follower.record_failure(read.sent, preceding_lost);
            }
            return;
        }
        match read.is_snapshot {
            true => follower.record_snapshot(REVISION, now),
            false => follower.record_answer(REVISION, now),
        }
        match kind {
            Kind::Config => {
                self.config_version = REVISION;
                self.lease.record_proof(read.sent);
                self.lease.record_answer(now);
            }
            Kind::Replicas => {
                let list = FleetList { listed: vec![listed_replica()], at: REVISION };
                let source =
                    if read.is_snapshot { UpdateSource::Snapshot } else { UpdateSource::List };
                self.fleet.apply_list(list, source, read.sent, now);
                match read.is_snapshot {
                    true => {
                        let proved = Some(read.sent as i64);
                        let proof = PeerProof { proved, answered: Some(read.sent) };
                        self.fleet.record_snapshot(proof, REVISION);
                    }
                    false => self.fleet.record_read(read.sent, REVISION, now),
                }
            }
        }
    }
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let relays = (0..scenario.relays)
            .map(|number| {
                let started = random.random_range(0..=scenario.spread / TICK) * TICK;
                StartedRelay::new(number, &scenario, started)
            })
            .collect();
        Self { scenario, random, relays, messages: Vec::new() }
    }

    fn is_lost(&mut self, now: Millis) -> bool {
        now < self.scenario.lossy_until
            && self.random.random_range(0..100) < self.scenario.loss_percent
    }

    /// Begins a read of the store or of a neighbour.
    fn begin_read(&mut self, step: FollowStep, has_source: bool, now: Millis) -> PendingRead {
        let is_lost = self.is_lost(now);
        let answer = self.random.random_range(TICK..=self.scenario.max_answer.max(TICK));
        let is_snapshot = step == FollowStep::Ask;
        let is_watch = matches!(step, FollowStep::Watch(_));
        let is_answered = match is_snapshot {
            true => has_source && !is_lost,
            false => now >= self.scenario.outage && !is_lost,
        };
        let wait = if is_watch { REPLICA_TIMINGS.wait } else { 0 };
        let took = match (is_answered, is_snapshot) {
            (true, _) => answer + wait,
            (false, true) => ASK_TIMEOUT,
            (false, false) => STORE_TIMEOUT + wait,
        };
        PendingRead { sent: now, ends: now + took, is_answered, is_snapshot }
    }

    fn follow(&mut self, number: usize, now: Millis) {
        for index in 0..2 {
            if let Some(read) = self.relays[number].following[index].pending {
                if now < read.ends {
                    continue;
                }
                self.relays[number].following[index].pending = None;
                self.relays[number].end_read(index, read, now);
            }
            let relay = &mut self.relays[number];
            if now < relay.following[index].idle_until {
                continue;
            }
            let kind = relay.following[index].kind;
            let inputs = relay.inputs(kind, now);
            match relay.following[index].follower.next_step(&inputs, now) {
                FollowStep::Wait(pause) => {
                    relay.following[index].idle_until = now + pause.max(TICK)
                }
                step => {
                    let read = self.begin_read(step, inputs.source.is_some(), now);
                    self.relays[number].following[index].pending = Some(read);
                }
            }
        }
    }

    fn exchange(&mut self, number: usize, now: Millis) {
        let arrived = self.messages.extract_if(.., |one| one.to == number && one.arrives <= now);
        for message in arrived.collect::<Vec<_>>() {
            let (name, data_centre) = {
                let from = &self.relays[message.from];
                (from.name.clone(), from.data_centre.clone())
            };
            let peers = &mut self.relays[number].peers;
            peers.upsert(&name, address(message.from), &data_centre, now);
            peers.record_message(&name, message.state, message.stamp, now);
        }
        if now < self.relays[number].next_send {
            return;
        }
        self.relays[number].next_send = now + SEND_INTERVAL;
        let is_due = now >= self.relays[number].started + PEERS_DELAY;
        if is_due && now >= self.scenario.outage && !self.relays[number].knows_peers {
            self.relays[number].knows_peers = true;
            for other in (0..self.relays.len()).filter(|other| *other != number) {
                let (name, data_centre) =
                    (self.relays[other].name.clone(), self.relays[other].data_centre.clone());
                let peers = &mut self.relays[number].peers;
                peers.upsert(&name, address(other), &data_centre, now);
            }
        }
        let relay = &mut self.relays[number];
        let (name, data_centre) = (relay.name.clone(), relay.data_centre.clone());
        let plan = relay.peers.plan_gossip(&name, &data_centre, now);
        let state = relay.state(now);
        let stamp = PeerStamp { incarnation: number as u32, time: now - relay.started };
        for peer in plan.peers {
            let to: usize = peer.name[1..].parse().expect("a number");
            if !self.is_lost(now) {
                let arrives = now + MESSAGE_DELAY;
                self.messages.push(Message { to, from: number, arrives, state, stamp });
            }
        }
    }

    /// Runs the start, and returns the relays that were not ready in time.
    fn run(mut self) -> Vec<String> {
        let disturbed = self.scenario.disturbed_until();
        let length = self.scenario.spread.max(disturbed) + READY_BOUND + TICK;
        for now in (0..length).step_by(TICK as usize) {
            for number in 0..self.relays.len() {
                if now < self.relays[number].started {
                    continue;
                }
                self.exchange(number, now);
                self.follow(number, now);
                let relay = &mut self.relays[number];
                if relay.is_ready(now) {
                    relay.ready_at = relay.ready_at.or(Some(now));
                }
            }
            // What arrives at a relay that is down is lost.
            let relays = &self.relays;
            self.messages.retain(|one| now >= relays[one.to].started || one.arrives > now);
        }
        let is_late = |relay: &&StartedRelay| {
            let due = relay.started.max(disturbed) + READY_BOUND;
            relay.ready_at.is_none_or(|at| at > due)
        };
        let late = self.relays.iter().filter(is_late);
        late.map(|relay| {
            format!("{} started at {}, {:?}", relay.name, relay.started, relay.ready_at)
        })
        .collect()
    }
}

fn scenario(relays: std::ops::RangeInclusive<usize>) -> impl Strategy<Value = Scenario> {
    let times = (0..4_000_u64, 0..3_000_u64, 0..3_000_u64, 10..250_u64);
    (relays, 1..6_usize, times, 0..60_u32, any::<u64>()).prop_map(
        |(relays, data_centres, (spread, outage, lossy_until, max_answer), loss_percent, seed)| {
            Scenario {
                relays,
                data_centres,
                spread,
                outage,
                lossy_until,
                loss_percent,
                max_answer,
                seed,
            }
        },
    )
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(300))]

    /// In whatever order relays start and whatever is lost at first, each is ready within the bound
    /// once the store answers.
    #[test]
    fn every_relay_whose_store_answers_is_ready_in_time(scenario in scenario(1..=30)) {
        let late = World::new(scenario).run();
        prop_assert!(late.is_empty(), "{} late, {:?}", late.len(), late.first());
    }
}

proptest! {
    #![proptest_config(config(4))]

    /// The same for as many relays as the system is built for.
    #[test]
    fn hundreds_of_relays_are_ready_in_time(scenario in scenario(200..=437)) {
        let late = World::new(scenario).run();
        prop_assert!(late.is_empty(), "{} late, {:?}", late.len(), late.first());
    }
}
