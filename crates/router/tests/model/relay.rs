//! One relay: the product's decisions, driven by the model's store and links.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::retry::Backoff;
use switchfold_router::{
    Millis,
    fleet::{EntryState, ReplicaEntry, ReplicaUpdate},
    follow::{
        CONFIG_TIMINGS, FollowInputs, FollowStep, FollowTimings, REPLICA_TIMINGS, StoreFollower,
    },
    freshness::FreshnessLease,
    instance::ReplicaInstance,
    membership::{OwnState, PeerProof, PeerStamp, PeerState, PeerTable, SnapshotSource},
    replicas::{FleetList, FleetTracker, UpdateSource},
    routing::ConfigSlot,
};

use super::{
    RELAYS, Trouble, Weather, replica_id,
    store::{Call, Kind, ModelStore, Reply},
};

/// Time between two messages of a relay, and time that a message takes, in milliseconds.
const TELL_EVERY: Millis = 200;
const MESSAGE: Millis = 5;

/// The same to a relay whose messages come late, in milliseconds: more than an answer may take, and less than
/// silence is taken for an end.
const LATE_MESSAGE: Millis = 420;

/// Time that a neighbour has for an answer, in milliseconds.
const ASK_PATIENCE: Millis = 300;

/// A message to a relay.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    to: usize,
    from: usize,
    arrives: Millis,
    is_delayed: bool,
    body: Body,
}

#[derive(Clone, Debug)]
enum Body {
    /// A neighbour is asked for what it read; `asked` comes back with the answer.
    Question {
        kind: Kind,
        asked: Millis,
        held: u64,
    },
    /// What it read, if it can tell.
    Told {
        kind: Kind,
        asked: Millis,
        told: Option<Told>,
    },
    State {
        state: PeerState,
        stamp: PeerStamp,
        echo: Option<(PeerStamp, Millis)>,
    },
    Fleet(Vec<ReplicaUpdate>),
}

/// What surrounds a relay.
pub(crate) struct RelayWorld<'a> {
    pub(crate) store: &'a mut ModelStore,
    pub(crate) messages: &'a mut Vec<Message>,
}

/// What a neighbour read.
#[derive(Clone, Debug)]
struct Told {
    at: u64,
    proved_age: Millis,
    answered_age: Millis,
    list: Option<FleetList>,
    version: u64,
}

struct Following {
    kind: Kind,
    times: FollowTimings,
    follower: StoreFollower<ChaCha8Rng>,
    rests_until: Millis,
    call: Option<Call>,
    /// When a neighbour was asked that has not answered yet.
    asked: Option<Millis>,
}

/// A relay.
pub(crate) struct ModelRelay {
    number: usize,
    fleet: FleetTracker,
    config: ConfigSlot<u64>,
    config_lease: FreshnessLease,
    config_at: u64,
    peers: PeerTable,
    following: Vec<Following>,
    next_tell: Millis,
}

fn address(number: usize) -> SocketAddr {
    format!("10.1.0.{}:7000", number + 1).parse().expect("an address")
}

/// Delays each message to a relay, once, and doubles it.
fn delay_and_double(messages: &mut Vec<Message>, to: usize, now: Millis) {
    let mut doubles = Vec::new();
    for message in messages.iter_mut().filter(|one| one.to == to && !one.is_delayed) {
        message.is_delayed = true;
        message.arrives = now + LATE_MESSAGE;
        doubles.push(Message { arrives: message.arrives + MESSAGE, ..message.clone() });
    }
    messages.append(&mut doubles);
}

impl ModelRelay {
    pub(crate) fn new(number: usize) -> Self {
        let mut peers = PeerTable::default();
        for (other, (name, data_centre)) in RELAYS.iter().enumerate() {
            if other != number {
                peers.upsert(name, address(other), data_centre, 0);
            }
        }
        let following = [(Kind::Replicas, REPLICA_TIMINGS), (Kind::Config, CONFIG_TIMINGS)];
        let following = following.map(|(kind, times)| {
            let seed = number as u64 * 2 + u64::from(kind == Kind::Config);
            let backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
            let follower = StoreFollower::new(times, backoff);
            Following { kind, times, follower, rests_until: 0, call: None, asked: None }
        });
        Self {
            number,
            fleet: FleetTracker::default(),
            config: ConfigSlot::new(),
            config_lease: FreshnessLease::default(),
            config_at: 0,
            peers,
            following: following.into(),
            next_tell: number as Millis * 40,
        }
    }

    pub(crate) fn name(&self) -> &'static str {
        RELAYS[self.number].0
    }

    fn data_centre(&self) -> &'static str {
        RELAYS[self.number].1
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.config.get().copied().unwrap_or(0)
    }

    /// Whether it knows that a replica leaves or is gone. Another writer's entry in its place says neither.
    pub(crate) fn knows_leaving(&self, number: usize) -> bool {
        let held = self.fleet.view.get(&replica_id(number));
        held.is_none_or(|entry| entry.state == EntryState::Draining)
    }

    /// When the life of a replica started that it would send requests to.
    pub(crate) fn offered_start(&self, number: usize) -> Option<Millis> {
        let held = self.fleet.view.get(&replica_id(number)).filter(|entry| entry.is_ready());
        held.map(|entry| entry.instance.started_at())
    }

    /// Whether it would send requests to a life of a replica that is not its present one.
    pub(crate) fn offers_earlier(&self, number: usize, present: &ReplicaInstance) -> bool {
        let held = self.fleet.view.get(&replica_id(number));
        held.is_some_and(|entry| entry.is_ready() && entry.instance != *present)
    }

    /// Whether it would send requests to a replica.
    pub(crate) fn offers(&self, number: usize) -> bool {
        self.fleet.view.get(&replica_id(number)).is_some_and(|entry| entry.is_ready())
    }

    /// Lets it run for a moment.
    pub(crate) fn advance(
        &mut self,
        weather: &Weather<'_>,
        world: &mut RelayWorld<'_>,
        now: Millis,
    ) {
        self.hear(weather, world.messages, now);
        if now >= self.next_tell {
            self.next_tell = now + TELL_EVERY;
            let lapsed = self.fleet.take_expired(now);
            self.tell_and_take(lapsed, UpdateSource::Expiry, world.messages, now);
            self.tell_state(world.messages, now);
        }
        for index in 0..self.following.len() {
            self.follow(index, weather, world, now);
        }
    }

    fn follow(
        &mut self,
        index: usize,
        weather: &Weather<'_>,
        world: &mut RelayWorld<'_>,
        now: Millis,
    ) {
        if let Some(mut call) = self.following[index].call.take() {
            world.store.serve(&mut call, weather, now);
            match call.reply.clone() {
                Some((arrives, reply)) if arrives <= now => {
                    self.end_call(index, &call, reply, world.messages, now);
                }
                _ if now >= call.deadline() => self.fail(index, call.sent, world.messages, now),
                _ => {
                    self.following[index].call = Some(call);
                    return;
                }
            }
        }
        if self.following[index].asked.is_some_and(|asked| now < asked + ASK_PATIENCE) {
            return;
        }
        if self.following[index].asked.take().is_some() {
            self.following[index].follower.record_no_snapshot(now);
        }
        if now < self.following[index].rests_until {
            return;
        }
        let kind = self.following[index].kind;
        let sight = self.see(kind, now);
        match self.following[index].follower.next_step(&sight, now) {
            FollowStep::Wait(pause) => self.following[index].rests_until = now + pause,
            FollowStep::Ask => self.ask(index, world.messages, now),
            step => {
                let (relay, times) = (self.number, self.following[index].times);
                let call =
                    Call { relay, kind, times, step, sent: now, reply: None, is_lost: false };
                self.following[index].call = Some(call);
            }
        }
    }

    fn see(&self, kind: Kind, now: Millis) -> FollowInputs {
        let (name, data_centre, version) = (self.name(), self.data_centre(), self.config_version());
        let before = self.peers.preceding(name, data_centre, now);
        let teller = self.teller(kind, now);
        let sight = FollowInputs {
            source: teller.map(|teller| teller.order),
            preceding: before.live,
            ..FollowInputs::default()
        };
        match kind {
            Kind::Replicas => FollowInputs {
                is_read_by_peer: self.peers.fleet_read_by_peer(name, data_centre, now),
                preceding_lost: before.lost_fleet,
                needs_full_list: self.fleet.needs_full_list(now),
                is_retried_elsewhere: self.config_lease.is_lost(),
                ..sight
            },
            Kind::Config => FollowInputs {
                is_read_by_peer: self.peers.config_read_by_peer(name, data_centre, version, now),
                peer_has_newer: self.peers.peer_has_newer_config(name, data_centre, version, now),
                preceding_lost: before.lost_config,
                ..sight
            },
        }
    }

    fn teller(&self, kind: Kind, now: Millis) -> Option<SnapshotSource<'_>> {
        let (name, data_centre) = (self.name(), self.data_centre());
        let holds_none = self.fleet.has_no_list();
        match kind {
            Kind::Replicas => self.peers.fleet_source(name, data_centre, holds_none, now),
            Kind::Config => self.peers.config_source(name, data_centre, self.config_version(), now),
        }
    }

    fn ask(&mut self, index: usize, messages: &mut Vec<Message>, now: Millis) {
        let kind = self.following[index].kind;
        let teller = self.teller(kind, now).expect("one is asked that was seen").name;
        let to = RELAYS.iter().position(|(name, _)| *name == teller).expect("a relay");
        let held = match kind {
            Kind::Replicas => self.fleet.view.digest(),
            Kind::Config => self.config_version(),
        };
        self.following[index].asked = Some(now);
        self.send(to, Body::Question { kind, asked: now, held }, messages, now);
    }

    /// What it can tell a neighbour that holds what `held` stands for.
    fn tell(&self, kind: Kind, held: u64, now: Millis) -> Option<Told> {
        match kind {
            Kind::Config => Some(Told {
                at: self.config_at,
                proved_age: self.config_lease.age(now)?,
                answered_age: self.config_lease.answer_age(now)?,
                list: None,
                version: self.config_version(),
            }),
            Kind::Replicas => {
                let read_age = self.fleet.read_age(now).filter(|_| !self.fleet.is_lost());
                let held_age = self.fleet.known_answer_age(now).filter(|_| held == 0);
                let list = self.fleet.shareable_list();
                let whole = list.listed.len() == self.fleet.view.len();
                let is_same = whole && held == self.fleet.view.digest();
                Some(Told {
                    at: list.at,
                    proved_age: self.fleet.age(now)?,
                    answered_age: read_age.or(held_age)?,
                    list: (!is_same).then_some(list),
                    version: 0,
                })
            }
        }
    }

    fn take_told(&mut self, kind: Kind, asked: Millis, told: Option<Told>, now: Millis) {
        let Some(following) = self.following.iter_mut().find(|one| one.kind == kind) else {
            return;
        };
        // An answer that comes too late finds another question, or none.
        if following.asked != Some(asked) {
            return;
        }
        following.asked = None;
        let is_earlier =
            |told: &Told| kind == Kind::Replicas && self.fleet.is_of_earlier_era(told.at);
        let Some(told) = told.filter(|told| !is_earlier(told)) else {
            return following.follower.record_no_snapshot(now);
        };
        following.follower.record_snapshot(told.at, now);
        let proof = PeerProof {
            proved: Some(asked as i64 - told.proved_age as i64),
            answered: Some(asked.saturating_sub(told.answered_age)),
        };
        match kind {
            Kind::Config => {
                self.config.replace_if_newer(told.version, told.version);
                self.config_at = self.config_at.max(told.at);
                proof.proved.into_iter().for_each(|at| self.config_lease.record_proof_at(at));
                proof.answered.into_iter().for_each(|at| self.config_lease.record_answer(at));
                self.peers.record_answers(proof.answered, None);
            }
            Kind::Replicas => {
                let sent = proof.proved.unwrap_or_default();
                if let Some(list) = told.list {
                    self.fleet.apply_list(list, UpdateSource::Told, sent.max(0) as Millis, now);
                }
                self.fleet.record_snapshot(proof, told.at);
                self.peers.record_answers(None, proof.answered);
            }
        }
    }

    fn fail(&mut self, index: usize, sent: Millis, messages: &mut Vec<Message>, now: Millis) {
        let first = match self.following[index].kind {
            Kind::Replicas => {
                let first = !self.fleet.is_lost();
                self.fleet.record_loss(sent);
                first
            }
            Kind::Config => {
                let first = !self.config_lease.is_lost();
                self.config_lease.record_loss(sent);
                self.fleet.record_loss_elsewhere(sent, now);
                first
            }
        };
        if first {
            self.tell_state(messages, now);
        }
        let lost_before = self.see(self.following[index].kind, now).preceding_lost;
        self.following[index].follower.record_failure(sent, lost_before);
    }

    /// Reads news of the store: another writer's entry names no replica.
    fn read_news(&self, news: ReplicaUpdate) -> Option<ReplicaUpdate> {
        let odd = |entry: &ReplicaEntry| entry.state == EntryState::Overwritten;
        match news.entry.as_ref().is_some_and(odd) {
            true => self.fleet.overwritten(&news.id, news.revision),
            false => Some(news),
        }
    }

    fn end_call(
        &mut self,
        index: usize,
        call: &Call,
        reply: Reply,
        messages: &mut Vec<Message>,
        now: Millis,
    ) {
        let at = match reply {
            Reply::Refused => return self.fail(index, call.sent, messages, now),
            Reply::Gap => return self.following[index].follower.record_gap(),
            Reply::List(mut list) => {
                let at = list.at;
                list.listed =
                    list.listed.into_iter().filter_map(|news| self.read_news(news)).collect();
                let cleared = self.fleet.confirmed_by(&list, now);
                self.fleet.apply_list(list, UpdateSource::List, call.sent, now);
                self.tell_and_take(cleared, UpdateSource::List, messages, now);
                at
            }
            Reply::Changes(news, at) => {
                for one in news {
                    let read = self.read_news(one).into_iter().collect();
                    self.tell_and_take(read, UpdateSource::Watch, messages, now);
                }
                at
            }
            Reply::Config(version, at) => {
                if let Some(version) = version {
                    self.config.replace_if_newer(version, version);
                }
                at
            }
        };
        let was_reader = call.kind == Kind::Config || self.fleet.read_age(now).is_some();
        let is_return = match call.kind {
            Kind::Replicas => self.fleet.is_lost(),
            Kind::Config => self.config_lease.is_lost(),
        };
        match call.kind {
            Kind::Replicas => self.fleet.record_read(call.sent, at, now),
            Kind::Config => {
                self.config_lease.record_proof(call.sent);
                self.config_lease.record_answer(now);
                self.config_at = at;
            }
        }
        self.following[index].follower.record_answer(at, now);
        if is_return || !was_reader {
            self.tell_state(messages, now);
        }
    }

    fn hear(&mut self, weather: &Weather<'_>, messages: &mut Vec<Message>, now: Millis) {
        let own = self.number;
        if weather.has(Trouble::Late { relay: own }) {
            delay_and_double(messages, own, now);
        }
        let arrived = messages.extract_if(.., |one| one.to == own && one.arrives <= now);
        let deaf = weather.has(Trouble::Deaf { relay: own });
        for message in arrived.filter(|_| !deaf).collect::<Vec<_>>() {
            match message.body {
                Body::Question { kind, asked, held } => {
                    let told = self.tell(kind, held, now);
                    self.send(message.from, Body::Told { kind, asked, told }, messages, now);
                }
                Body::Told { kind, asked, told } => self.take_told(kind, asked, told, now),
                Body::Fleet(news) => {
                    let source = UpdateSource::Relay(address(message.from));
                    self.fleet.apply_all(news, source, now);
                }
                Body::State { state, stamp, echo } => {
                    let (name, data_centre) = RELAYS[message.from];
                    self.peers.record_message(name, state, stamp, now);
                    if data_centre == self.data_centre() {
                        self.take_proofs(&state, echo, now);
                    }
                }
            }
        }
    }

    fn take_proofs(&mut self, state: &PeerState, echo: Option<(PeerStamp, Millis)>, now: Millis) {
        let own = OwnState {
            name: self.name(),
            data_centre: self.data_centre(),
            incarnation: self.number as u32,
            config_version: self.config_version(),
            fleet_digest: self.fleet.view.digest(),
        };
        let proofs = self.peers.read_proofs(own, state, echo, now);
        if let Some(answered) = proofs.config.answered {
            self.config_lease.record_answer(answered);
        }
        if let Some(proved) = proofs.config.proved {
            self.config_lease.record_proof_at(proved);
        }
        self.fleet.record_proof(proofs.fleet);
    }

    fn tell_and_take(
        &mut self,
        news: Vec<ReplicaUpdate>,
        source: UpdateSource,
        messages: &mut Vec<Message>,
        now: Millis,
    ) {
        if news.is_empty() {
            return;
        }
        for to in self.near() {
            self.send(to, Body::Fleet(news.clone()), messages, now);
        }
        self.fleet.apply_all(news, source, now);
    }

    fn near(&self) -> impl Iterator<Item = usize> + use<> {
        let (own, home) = (self.number, self.data_centre());
        (0..RELAYS.len()).filter(move |other| *other != own && RELAYS[*other].1 == home)
    }

    fn send(&self, to: usize, body: Body, messages: &mut Vec<Message>, now: Millis) {
        let arrives = now + MESSAGE;
        messages.push(Message { to, from: self.number, arrives, is_delayed: false, body });
    }

    fn tell_state(&self, messages: &mut Vec<Message>, now: Millis) {
        let state = PeerState {
            fleet_is_fresh: self.fleet.is_fresh(now),
            fleet_is_lost: self.fleet.is_lost(),
            config_is_lost: self.config_lease.is_lost(),
            fleet_digest: self.fleet.view.digest(),
            config_version: self.config_version(),
            config_age: self.config_lease.age(now),
            fleet_age: self.fleet.age(now),
            config_answer_age: self.config_lease.answer_age(now),
            fleet_answer_age: self.fleet.answer_age(now),
            fleet_read_age: self.fleet.read_age(now),
            keeps_limits: false,
            is_member: false,
        };
        let stamp = PeerStamp { incarnation: self.number as u32, time: now };
        for to in self.near() {
            let echo = self.peers.echo(RELAYS[to].0, now);
            self.send(to, Body::State { state, stamp, echo }, messages, now);
        }
    }
}
