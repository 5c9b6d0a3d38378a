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
    ActiveFaults, Fault, RELAYS, replica_id,
    store::{Call, Kind, ModelStore, Reply},
};

/// Time between two messages of a relay, and delay of a message, in milliseconds.
const SEND_INTERVAL: Millis = 200;
const MESSAGE_DELAY: Millis = 5;

/// Delay of messages to a relay with late ones, in milliseconds: above the timeout of a response,
/// and below the silence after which a peer no longer counts as live.
const LATE_MESSAGE_DELAY: Millis = 420;

/// Timeout of a request to a peer, in milliseconds.
const ASK_TIMEOUT: Millis = 300;

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
    /// A request for a peer's snapshot; `asked` is returned with the response.
    Request {
        kind: Kind,
        asked: Millis,
        held: u64,
    },
    /// The peer's snapshot, if it can provide one.
    Snapshot {
        kind: Kind,
        asked: Millis,
        snapshot: Option<ModelSnapshot>,
    },
    State {
        state: PeerState,
        stamp: PeerStamp,
        echo: Option<(PeerStamp, Millis)>,
    },
    Fleet(Vec<ReplicaUpdate>),
    Expiry(Vec<ReplicaUpdate>),
}

/// The store and the links of a relay.
pub(crate) struct RelayWorld<'a> {
    pub(crate) store: &'a mut ModelStore,
    pub(crate) messages: &'a mut Vec<Message>,
}

/// A snapshot of what a peer read.
#[derive(Clone, Debug)]
struct ModelSnapshot {
    at: u64,
    proved_age: Millis,
    answered_age: Millis,
    list: Option<FleetList>,
    version: u64,
}

struct Following {
    kind: Kind,
    timings: FollowTimings,
    follower: StoreFollower<ChaCha8Rng>,
    idle_until: Millis,
    call: Option<Call>,
    /// When a peer was asked that has not responded yet.
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
    next_send: Millis,
}

fn address(number: usize) -> SocketAddr {
    format!("10.1.0.{}:7000", number + 1).parse().expect("an address")
}

/// Delays each message to a relay, once, and duplicates it.
fn delay_and_duplicate(messages: &mut Vec<Message>, to: usize, now: Millis) {
    let mut duplicates = Vec::new();
    for message in messages.iter_mut().filter(|one| one.to == to && !one.is_delayed) {
        message.is_delayed = true;
        message.arrives = now + LATE_MESSAGE_DELAY;
        duplicates.push(Message { arrives: message.arrives + MESSAGE_DELAY, ..message.clone() });
    }
    messages.append(&mut duplicates);
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
        let following = following.map(|(kind, timings)| {
            let seed = number as u64 * 2 + u64::from(kind == Kind::Config);
            let backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
            let follower = StoreFollower::new(timings, backoff);
            Following { kind, timings, follower, idle_until: 0, call: None, asked: None }
        });
        Self {
            number,
            fleet: FleetTracker::default(),
            config: ConfigSlot::new(),
            config_lease: FreshnessLease::default(),
            config_at: 0,
            peers,
            following: following.into(),
            next_send: number as Millis * 40,
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

    /// Returns whether it knows that a replica is leaving or gone. Another writer's entry shows
    /// neither.
    pub(crate) fn knows_leaving(&self, number: usize) -> bool {
        let held = self.fleet.view.get(&replica_id(number));
        held.is_none_or(|entry| entry.state == EntryState::Draining)
    }

    /// Returns the start of the instance of a replica that it would send requests to.
    pub(crate) fn offered_start(&self, number: usize) -> Option<Millis> {
        let held = self.fleet.view.get(&replica_id(number)).filter(|entry| entry.is_ready());
        held.map(|entry| entry.instance.started_at())
    }

    /// Returns whether it would send requests to an earlier instance of a replica.
    pub(crate) fn offers_earlier(&self, number: usize, present: &ReplicaInstance) -> bool {
        let held = self.fleet.view.get(&replica_id(number));
        held.is_some_and(|entry| entry.is_ready() && entry.instance != *present)
    }

    /// Returns whether it would send requests to a replica.
    pub(crate) fn offers(&self, number: usize) -> bool {
        self.fleet.view.get(&replica_id(number)).is_some_and(|entry| entry.is_ready())
    }

    /// Runs the relay for one tick.
    pub(crate) fn advance(
        &mut self,
        active: &ActiveFaults<'_>,
        world: &mut RelayWorld<'_>,
        now: Millis,
    ) {
        self.receive(active, world.messages, now);
        if now >= self.next_send {
            self.next_send = now + SEND_INTERVAL;
            let expired = self.fleet.take_expired(now);
            self.send_and_apply(expired, UpdateSource::Expiry, world.messages, now);
            self.send_state(world.messages, now);
        }
        for index in 0..self.following.len() {
            self.follow(index, active, world, now);
        }
    }

    fn follow(
        &mut self,
        index: usize,
        active: &ActiveFaults<'_>,
        world: &mut RelayWorld<'_>,
        now: Millis,
    ) {
        if let Some(mut call) = self.following[index].call.take() {
            world.store.serve(&mut call, active, now);
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
        if self.following[index].asked.is_some_and(|asked| now < asked + ASK_TIMEOUT) {
            return;
        }
        if self.following[index].asked.take().is_some() {
            self.following[index].follower.record_no_snapshot(now);
        }
        if now < self.following[index].idle_until {
            return;
        }
        let kind = self.following[index].kind;
        let inputs = self.follow_inputs(kind, now);
        match self.following[index].follower.next_step(&inputs, now) {
            FollowStep::Wait(pause) => self.following[index].idle_until = now + pause,
            FollowStep::Ask => self.ask(index, world.messages, now),
            step => {
                let (relay, timings) = (self.number, self.following[index].timings);
                let call =
                    Call { relay, kind, timings, step, sent: now, reply: None, is_lost: false };
                self.following[index].call = Some(call);
            }
        }
    }

    fn follow_inputs(&self, kind: Kind, now: Millis) -> FollowInputs {
        let (name, data_centre, version) = (self.name(), self.data_centre(), self.config_version());
        let preceding = self.peers.preceding(name, data_centre, now);
        let source = self.source(kind, now);
        let inputs = FollowInputs {
            source: source.map(|source| source.order),
            preceding: preceding.live,
            ..FollowInputs::default()
        };
        match kind {
            Kind::Replicas => FollowInputs {
                is_read_by_peer: self.peers.fleet_read_by_peer(name, data_centre, now),
                preceding_lost: preceding.lost_fleet,
                needs_full_list: self.fleet.needs_full_list(now),
                is_retried_elsewhere: self.config_lease.is_lost(),
                ..inputs
            },
            Kind::Config => FollowInputs {
                is_read_by_peer: self.peers.config_read_by_peer(name, data_centre, version, now),
                peer_has_newer: self.peers.peer_has_newer_config(name, data_centre, version, now),
                preceding_lost: preceding.lost_config,
                ..inputs
            },
        }
    }

    fn source(&self, kind: Kind, now: Millis) -> Option<SnapshotSource<'_>> {
        let (name, data_centre) = (self.name(), self.data_centre());
        let has_no_list = self.fleet.has_no_list();
        match kind {
            Kind::Replicas => self.peers.fleet_source(name, data_centre, has_no_list, now),
            Kind::Config => self.peers.config_source(name, data_centre, self.config_version(), now),
        }
    }

    fn ask(&mut self, index: usize, messages: &mut Vec<Message>, now: Millis) {
        let kind = self.following[index].kind;
        let source = self.source(kind, now).expect("one is asked that was seen").name;
        let to = RELAYS.iter().position(|(name, _)| *name == source).expect("a relay");
        let held = match kind {
            Kind::Replicas => self.fleet.view.digest(),
            Kind::Config => self.config_version(),
        };
        self.following[index].asked = Some(now);
        self.send(to, Body::Request { kind, asked: now, held }, messages, now);
    }

    /// Returns its snapshot for a peer whose state has the digest or version `held`.
    fn snapshot(&self, kind: Kind, held: u64, now: Millis) -> Option<ModelSnapshot> {
        match kind {
            Kind::Config => Some(ModelSnapshot {
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
                let is_complete = list.listed.len() == self.fleet.view.len();
                let is_same = is_complete && held == self.fleet.view.digest();
                Some(ModelSnapshot {
                    at: list.at,
                    proved_age: self.fleet.age(now)?,
                    answered_age: read_age.or(held_age)?,
                    list: (!is_same).then_some(list),
                    version: 0,
                })
            }
        }
    }

    fn apply_snapshot(
        &mut self,
        kind: Kind,
        asked: Millis,
        snapshot: Option<ModelSnapshot>,
        now: Millis,
    ) {
        let Some(following) = self.following.iter_mut().find(|one| one.kind == kind) else {
            return;
        };
        // A response after the timeout finds another request, or none.
        if following.asked != Some(asked) {
            return;
        }
        following.asked = None;
        let is_earlier = |snapshot: &ModelSnapshot| {
            kind == Kind::Replicas && self.fleet.is_of_earlier_era(snapshot.at)
        };
        let Some(snapshot) = snapshot.filter(|snapshot| !is_earlier(snapshot)) else {
            return following.follower.record_no_snapshot(now);
        };
        following.follower.record_snapshot(snapshot.at, now);
        let proof = PeerProof {
            proved: Some(asked as i64 - snapshot.proved_age as i64),
            answered: Some(asked.saturating_sub(snapshot.answered_age)),
        };
        match kind {
            Kind::Config => {
                self.config.replace_if_newer(snapshot.version, snapshot.version);
                self.config_at = self.config_at.max(snapshot.at);
                proof.proved.into_iter().for_each(|at| self.config_lease.record_proof_at(at));
                proof.answered.into_iter().for_each(|at| self.config_lease.record_answer(at));
                self.peers.record_answers(proof.answered, None);
            }
            Kind::Replicas => {
                let sent = proof.proved.unwrap_or_default();
                if let Some(list) = snapshot.list {
                    self.fleet.apply_list(list, UpdateSource::Snapshot, sent.max(0) as Millis, now);
                }
                self.fleet.record_snapshot(proof, snapshot.at);
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
            self.send_state(messages, now);
        }
        let preceding_lost = self.follow_inputs(self.following[index].kind, now).preceding_lost;
        self.following[index].follower.record_failure(sent, preceding_lost);
    }

    /// Reads an update of the store, in which another writer's entry describes no replica.
    fn read_update(&self, update: ReplicaUpdate) -> Option<ReplicaUpdate> {
        let is_foreign = |entry: &ReplicaEntry| entry.state == EntryState::Overwritten;
        match update.entry.as_ref().is_some_and(is_foreign) {
            true => self.fleet.overwritten(&update.id, update.revision),
            false => Some(update),
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
                    list.listed.into_iter().filter_map(|update| self.read_update(update)).collect();
                let confirmed = self.fleet.confirmed_by(&list, now);
                self.fleet.apply_list(list, UpdateSource::List, call.sent, now);
                self.send_and_apply(confirmed, UpdateSource::List, messages, now);
                at
            }
            Reply::Changes(updates, at) => {
                for update in updates {
                    let read = self.read_update(update).into_iter().collect();
                    self.send_and_apply(read, UpdateSource::Watch, messages, now);
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
            self.send_state(messages, now);
        }
    }

    fn receive(&mut self, active: &ActiveFaults<'_>, messages: &mut Vec<Message>, now: Millis) {
        let own = self.number;
        if active.is_active(Fault::Delayed { relay: own }) {
            delay_and_duplicate(messages, own, now);
        }
        let arrived = messages.extract_if(.., |one| one.to == own && one.arrives <= now);
        let is_unreachable = active.is_active(Fault::Unreachable { relay: own });
        for message in arrived.filter(|_| !is_unreachable).collect::<Vec<_>>() {
            match message.body {
                Body::Request { kind, asked, held } => {
                    let snapshot = self.snapshot(kind, held, now);
                    self.send(
                        message.from,
                        Body::Snapshot { kind, asked, snapshot },
                        messages,
                        now,
                    );
                }
                Body::Snapshot { kind, asked, snapshot } => {
                    self.apply_snapshot(kind, asked, snapshot, now)
                }
                Body::Fleet(updates) => {
                    let source = UpdateSource::Relay(address(message.from));
                    self.fleet.apply_all(updates, source, now);
                }
                Body::Expiry(updates) => {
                    let source = UpdateSource::PeerExpiry(address(message.from));
                    self.fleet.apply_all(updates, source, now);
                }
                Body::State { state, stamp, echo } => {
                    let (name, data_centre) = RELAYS[message.from];
                    self.peers.record_message(name, state, stamp, now);
                    if data_centre == self.data_centre() {
                        self.apply_proofs(&state, echo, now);
                    }
                }
            }
        }
    }

    fn apply_proofs(&mut self, state: &PeerState, echo: Option<(PeerStamp, Millis)>, now: Millis) {
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

    fn send_and_apply(
        &mut self,
        updates: Vec<ReplicaUpdate>,
        source: UpdateSource,
        messages: &mut Vec<Message>,
        now: Millis,
    ) {
        if updates.is_empty() {
            return;
        }
        for to in self.near() {
            let body = match source {
                UpdateSource::Expiry => Body::Expiry,
                _ => Body::Fleet,
            };
            self.send(to, body(updates.clone()), messages, now);
        }
        self.fleet.apply_all(updates, source, now);
    }

    fn near(&self) -> impl Iterator<Item = usize> + use<> {
        let (own, home) = (self.number, self.data_centre());
        (0..RELAYS.len()).filter(move |other| *other != own && RELAYS[*other].1 == home)
    }

    fn send(&self, to: usize, body: Body, messages: &mut Vec<Message>, now: Millis) {
        let arrives = now + MESSAGE_DELAY;
        messages.push(Message { to, from: self.number, arrives, is_delayed: false, body });
    }

    fn send_state(&self, messages: &mut Vec<Message>, now: Millis) {
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
            coordinates_limits: false,
            is_member: false,
        };
        let stamp = PeerStamp { incarnation: self.number as u32, time: now };
        for to in self.near() {
            let echo = self.peers.echo(RELAYS[to].0, now);
            self.send(to, Body::State { state, stamp, echo }, messages, now);
        }
    }
}
