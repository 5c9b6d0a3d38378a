//! A model of relays in three data centres, of replicas that name limits, and of callers, in virtual time.
//!
//! Relays are the router's own tables; what is between them is messages that may be late or lost. Two simpler ways to share a
//! limit stand beside the one that is built, so that they can be compared on the same days.

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

/// Time after a replica first names a limit from which what it gets counts, and the window it is counted in.
pub(crate) const CONTACT: u64 = 3_000;
pub(crate) const WINDOW: u64 = 4_000;

/// Time for which the demand is held against the limit.
pub(crate) const SPAN: u64 = 10_000;

const DATA_CENTRES: usize = 3;
const LOOK_EVERY: u64 = 25;
const TELL_EVERY: u64 = 200;
const ANSWERS_AFTER: u64 = 50;
const PATIENCE: u64 = 300;

/// How relays share a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    /// Grants of the relay that keeps the limit.
    Grants,
    /// Each the same part.
    Even,
    /// Each a part by the demand that the others told.
    Demand,
}

/// Where requests come in.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Demand {
    Even,
    One(usize),
    /// At another relay each second.
    Moving,
    /// All of a second at once.
    Bursts,
}

/// What happens to relays and messages.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    /// Of messages so many in a hundred are lost, and as many come up to a second late.
    BadLinks(u32),
    /// Data centres do not hear each other.
    Cut,
    /// A relay stands still.
    Frozen(usize),
    /// A relay starts again and knows nothing.
    Restarted(usize),
    /// A relay is gone for good.
    Gone(usize),
}

#[derive(Clone, Debug)]
pub(crate) struct Day {
    pub(crate) way: Way,
    pub(crate) relays: usize,
    /// What each replica names from some moment on.
    pub(crate) limits: Vec<Vec<(u64, Option<f64>)>>,
    /// Requests a second that want each replica.
    pub(crate) per_second: f64,
    pub(crate) demand: Demand,
    /// From, until, what.
    pub(crate) troubles: Vec<(u64, u64, Trouble)>,
    pub(crate) length: u64,
}

/// A request that reached a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    /// Whether its relay had passed on an answer that names a limit half a second before.
    is_told: bool,
    /// Whether its relay started again, stood still or was cut off, and has heard nothing of the limit yet: the users' pages
    /// excuse it.
    is_excused: bool,
}

/// What a day showed.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) arrivals: Vec<Vec<Arrival>>,
    pub(crate) wanted: usize,
    /// Asks and grants that were sent.
    pub(crate) messages: usize,
}

enum Body {
    Ask { replica: usize, word: Option<f64>, age: i64, stamp: PeerStamp, asked: GrantRequest },
    Grants { replica: usize, word: Option<f64>, age: i64, stamp: PeerStamp, issued: IssuedGrants },
    Limits { words: Vec<(usize, LimitReport)>, stamp: PeerStamp },
}

enum Step {
    Look(usize),
    Tell(usize, u64),
    Request(usize, usize),
    Try { relay: usize, replica: usize, until: u64, is_waiting: bool },
    Answer { relay: usize, replica: usize, sent: u64, named: Option<f64> },
    Message { to: usize, from: usize, body: Body },
    Restart(usize),
}

#[derive(Default)]
struct Relay {
    name: String,
    born: u64,
    limits: LimitTable,
    grants: HeldGrants,
    issuer: GrantIssuer,
    peers: PeerTable,
    clocks: PeerClocks,
    /// When it passed on an answer that names a limit first, by replica.
    told: BTreeMap<usize, u64>,
    /// The simpler ways: when the next request may go, own requests, and what others told of theirs.
    next: BTreeMap<usize, f64>,
    recent: BTreeMap<usize, VecDeque<u64>>,
    others: BTreeMap<(usize, usize), usize>,
}

struct Model<'a> {
    day: &'a Day,
    random: ChaCha8Rng,
    relays: Vec<Relay>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    count: u64,
    seen: Seen,
}

fn place(relay: usize) -> String {
    format!("d{}", relay % DATA_CENTRES)
}

fn id(replica: usize) -> String {
    format!("i-{replica}")
}

impl Day {
    pub(crate) fn named(&self, replica: usize, now: u64) -> Option<f64> {
        let rows = self.limits[replica].iter().rev();
        rows.filter(|(from, _)| *from <= now).map(|(_, limit)| *limit).next().flatten()
    }

    fn is_in(&self, now: u64, holds: impl Fn(&Trouble) -> bool) -> bool {
        let now_on = self.troubles.iter().filter(|(from, to, _)| (*from..*to).contains(&now));
        now_on.map(|(_, _, trouble)| trouble).any(holds)
    }

    fn is_still(&self, relay: usize, now: u64) -> bool {
        let is = |trouble: &Trouble| matches!(trouble, Trouble::Frozen(at) | Trouble::Restarted(at) if *at == relay);
        self.is_in(now, is) || self.is_gone(relay, now)
    }

    fn was_out(&self, relay: usize, now: u64) -> bool {
        let before = self.troubles.iter().filter(|(from, _, _)| *from <= now);
        before.map(|(_, _, trouble)| trouble).any(|trouble| match trouble {
            Trouble::Frozen(at) | Trouble::Restarted(at) => *at == relay,
            Trouble::Cut => true,
            Trouble::BadLinks(_) | Trouble::Gone(_) => false,
        })
    }

    fn is_gone(&self, relay: usize, now: u64) -> bool {
        let gone = |row: &&(u64, u64, Trouble)| matches!(row.2, Trouble::Gone(at) if at == relay);
        self.troubles.iter().filter(gone).any(|(from, _, _)| *from <= now)
    }

    fn is_cut(&self, from: usize, to: usize, now: u64) -> bool {
        from % DATA_CENTRES != to % DATA_CENTRES
            && self.is_in(now, |trouble| matches!(trouble, Trouble::Cut))
    }
}

/// Plays a day.
pub(crate) fn play(day: &Day, seed: u64) -> Seen {
    let relays =
        (0..day.relays).map(|number| Relay { name: format!("r{number:03}"), ..Relay::default() });
    let mut model = Model {
        day,
        random: ChaCha8Rng::seed_from_u64(seed),
        relays: relays.collect(),
        heap: BinaryHeap::new(),
        steps: BTreeMap::new(),
        count: 0,
        seen: Seen { arrivals: vec![Vec::new(); day.limits.len()], ..Seen::default() },
    };
    model.begin();
    while let Some(Reverse((now, number))) = model.heap.pop().filter(|step| step.0.0 < day.length) {
        let step = model.steps.remove(&number).expect("each step runs once");
        model.run(step, now);
    }
    model.seen
}

impl Model<'_> {
    fn at(&mut self, time: u64, step: Step) {
        self.count += 1;
        self.heap.push(Reverse((time, self.count)));
        self.steps.insert(self.count, step);
    }

    fn begin(&mut self) {
        for relay in 0..self.day.relays {
            self.meet(relay, 0);
            let (look, tell) =
                (self.random.random_range(0..LOOK_EVERY), self.random.random_range(0..TELL_EVERY));
            self.at(look, Step::Look(relay));
            self.at(tell, Step::Tell(relay, 0));
        }
        for (_, to, trouble) in self.day.troubles.clone() {
            if let Trouble::Restarted(relay) = trouble {
                self.at(to, Step::Restart(relay));
            }
        }
        // Callers come once the relays have heard of each other, as on any day that has begun.
        for replica in 0..self.day.limits.len() {
            for number in
                0..((self.day.length - CONTACT) as f64 / 1_000.0 * self.day.per_second) as u64
            {
                let mut time = CONTACT + (number as f64 * 1_000.0 / self.day.per_second) as u64;
                let relay = match self.day.demand {
                    Demand::Even => self.random.random_range(0..self.day.relays),
                    Demand::One(relay) => relay,
                    Demand::Moving => (time / 1_000) as usize % self.day.relays,
                    Demand::Bursts => {
                        time = time / 1_000 * 1_000;
                        self.random.random_range(0..self.day.relays)
                    }
                };
                self.at(time, Step::Request(relay, replica));
            }
        }
    }

    /// Lets a relay know where the others are, as the store tells.
    fn meet(&mut self, relay: usize, now: u64) {
        let address = "10.0.0.1:7000".parse().expect("an address");
        for other in (0..self.day.relays).filter(|other| *other != relay) {
            let name = self.relays[other].name.clone();
            self.relays[relay].peers.upsert(&name, address, &place(other), now);
        }
    }

    fn run(&mut self, step: Step, now: u64) {
        match step {
            Step::Look(relay) => {
                if !self.day.is_still(relay, now) {
                    self.issue(relay, now);
                    self.ask(relay, now);
                }
                self.at(now + LOOK_EVERY, Step::Look(relay));
            }
            Step::Tell(relay, round) => {
                if !self.day.is_still(relay, now) {
                    self.tell(relay, round, now);
                }
                self.at(now + TELL_EVERY, Step::Tell(relay, round + 1));
            }
            Step::Request(relay, replica) if !self.day.is_still(relay, now) => {
                self.seen.wanted += 1;
                self.relays[relay].recent.entry(replica).or_default().push_back(now);
                self.attempt(relay, replica, now + PATIENCE, false, now);
            }
            Step::Try { relay, replica, until, is_waiting } => {
                self.attempt(relay, replica, until, is_waiting, now);
            }
            Step::Answer { relay, replica, sent, named } if !self.day.is_still(relay, now) => {
                let Some(sent) = sent.checked_sub(self.relays[relay].born) else { return };
                let clock = now - self.relays[relay].born;
                let word = LimitReport { per_second: named, sent: sent as i64 };
                self.relays[relay].take_word(replica, word, clock);
                if named.is_some() {
                    self.relays[relay].told.entry(replica).or_insert(now);
                }
            }
            Step::Message { to, from, body } if !self.day.is_still(to, now) => {
                self.take(to, from, body, now)
            }
            Step::Restart(relay) => {
                let name = self.relays[relay].name.clone();
                self.relays[relay] = Relay { name, born: now, ..Relay::default() };
                self.meet(relay, 0);
            }
            _ => {}
        }
    }

    /// Tries to send a request, again and again as long as it may wait.
    fn attempt(&mut self, relay: usize, replica: usize, until: u64, is_waiting: bool, now: u64) {
        let clock = now - self.relays[relay].born.min(now);
        let own = &mut self.relays[relay];
        let limit = own.limits.limit(&id(replica));
        let need = GrantWaiter { rank: 5, deadline: until - own.born.min(until) };
        let goes = match (limit, self.day.way) {
            (None, _) => true,
            (Some(_), Way::Grants) => {
                // Its place among those that wait is its own.
                if is_waiting {
                    own.grants.end_wait(&id(replica), need);
                }
                let goes = own.grants.spend(&id(replica), 5, clock).is_ok();
                if !goes && now < until {
                    own.grants.begin_wait(&id(replica), need);
                }
                goes
            }
            (Some(limit), way) => {
                let share = limit * own.part(way, replica, self.day.relays, now);
                let next = own.next.entry(replica).or_default();
                let goes = *next <= now as f64 && share > 0.0;
                if goes {
                    *next = next.max(now as f64 - 50.0) + 1_000.0 / share;
                }
                goes
            }
        };
        if goes && !self.day.is_still(relay, now) {
            let at = now + 1;
            let own = &self.relays[relay];
            let is_told = own.told.get(&replica).is_some_and(|told| told + 500 <= now);
            let is_excused = limit.is_none() && self.day.was_out(relay, now);
            self.seen.arrivals[replica].push(Arrival { at, is_told, is_excused });
            let named = self.day.named(replica, at);
            self.at(now + ANSWERS_AFTER, Step::Answer { relay, replica, sent: now, named });
        } else if now < until {
            if !is_waiting {
                self.ask(relay, now);
            }
            let is_waiting = self.day.way == Way::Grants && limit.is_some();
            self.at(now + LOOK_EVERY, Step::Try { relay, replica, until, is_waiting });
        }
    }

    fn own<'a>(&self, relay: &'a Relay, place: &'a str, clock: u64) -> LocalRelay<'a> {
        LocalRelay {
            name: &relay.name,
            data_centre: place,
            is_eligible: clock >= COORDINATES_AFTER,
        }
    }

    fn ask(&mut self, relay: usize, now: u64) {
        let clock = now - self.relays[relay].born;
        let stamp = PeerStamp { incarnation: self.relays[relay].born as u32, time: clock };
        let due = self.relays[relay].grants.due_requests(clock);
        for asked in due {
            let name = asked.id.clone();
            let replica: usize = name[2..].parse().expect("a number");
            let own = &self.relays[relay];
            let Some(word) = own.limits.report(&name) else { continue };
            let home = place(relay);
            let keeper = limit_coordinator(
                &self.own(own, &home, clock),
                &own.peers,
                &name,
                &place(replica),
                clock,
            );
            match keeper {
                LimitCoordinator::Unknown => {}
                LimitCoordinator::Local => {
                    let asker = own.name.clone();
                    self.relays[relay].issuer.request(&asked, &asker, stamp, clock);
                    self.issue(relay, now);
                }
                LimitCoordinator::Peer(peer, _) => {
                    let to = peer[1..].parse().expect("a number");
                    let age = clock as i64 - word.sent;
                    let body = Body::Ask { replica, word: word.per_second, age, stamp, asked };
                    self.seen.messages += 1;
                    self.send(relay, to, body, now);
                }
            }
        }
    }

    fn issue(&mut self, relay: usize, now: u64) {
        let clock = now - self.relays[relay].born;
        if clock < COORDINATES_AFTER {
            return;
        }
        let home = place(relay);
        let own = &self.relays[relay];
        let keeps = |name: &String| {
            let replica = name[2..].parse().expect("a number");
            let view = self.own(own, &home, clock);
            limit_coordinator(&view, &own.peers, name, &place(replica), clock)
                == LimitCoordinator::Local
        };
        let asked: Vec<String> =
            own.issuer.requested_replicas().map(str::to_owned).filter(keeps).collect();
        let own = &mut self.relays[relay];
        let view = LocalRelay { name: &own.name, data_centre: &home, is_eligible: true };
        let part = rate_fraction(&view, &own.peers, clock);
        let stamp = PeerStamp { incarnation: own.born as u32, time: clock };
        let mut sent = Vec::new();
        for name in asked {
            let Some(word) = own.limits.report(&name) else { continue };
            let rate = word.per_second.map_or(f64::INFINITY, |limit| limit * part);
            for issued in own.issuer.issue(&name, rate, word.sent, clock) {
                let replica = name[2..].parse().expect("a number");
                if issued.relay == own.name {
                    let at = (issued.stamp.time + issued.held_for) as i64;
                    own.grants.add(&name, issued.count, at, issued.share, clock);
                    continue;
                }
                let to: usize = issued.relay[1..].parse().expect("a number");
                let age = clock as i64 - word.sent;
                sent.push((
                    to,
                    Body::Grants { replica, word: word.per_second, age, stamp, issued },
                ));
            }
        }
        self.seen.messages += sent.len();
        sent.into_iter().for_each(|(to, body)| self.send(relay, to, body, now));
    }

    fn tell(&mut self, relay: usize, round: u64, now: u64) {
        let clock = now - self.relays[relay].born;
        let own = &mut self.relays[relay];
        own.limits.forget(|_| true, clock);
        for gone in own.peers.expired(clock) {
            own.peers.forget(&gone);
        }
        let changed: Vec<_> = own.limits.changed_since(clock.saturating_sub(1_300)).collect();
        let turn: Vec<_> = own.limits.page(round as usize, 8).collect();
        let read = |rows: &[(&str, LimitReport)]| -> Vec<(usize, LimitReport)> {
            rows.iter().map(|(id, word)| (id[2..].parse().expect("a number"), *word)).collect()
        };
        let (changed, turn) = (read(&changed), read(&turn));
        let state = PeerState { keeps_limits: clock >= COORDINATES_AFTER, ..PeerState::default() };
        let stamp = PeerStamp { incarnation: own.born as u32, time: clock };
        let recent: Vec<(usize, usize)> =
            own.recent.iter().map(|(replica, times)| (*replica, times.len())).collect();
        let (name, home) = (own.name.clone(), place(relay));
        for to in (0..self.day.relays).filter(|to| *to != relay) {
            let is_near = to % DATA_CENTRES == relay % DATA_CENTRES;
            if (!is_near && round % 2 == 1)
                || self.day.is_still(to, now)
                || self.is_lost(relay, to, now)
            {
                continue;
            }
            let receiver = &mut self.relays[to];
            let heard = now - receiver.born;
            if !receiver.peers.record_message(&name, state, stamp, heard) {
                let address = "10.0.0.1:7000".parse().expect("an address");
                receiver.peers.upsert(&name, address, &home, heard);
            }
            for (replica, count) in recent.iter().filter(|_| self.day.way == Way::Demand) {
                receiver.others.insert((relay, *replica), *count);
            }
            let mut words = changed.clone();
            words.extend(turn.iter().filter(|_| is_near));
            if !words.is_empty() {
                self.send(relay, to, Body::Limits { words, stamp }, now);
            }
        }
    }

    fn is_lost(&mut self, from: usize, to: usize, now: u64) -> bool {
        let mut lost = self.day.is_cut(from, to, now);
        for (_, _, trouble) in self.day.troubles.iter().filter(|row| (row.0..row.1).contains(&now))
        {
            if let Trouble::BadLinks(hundredths) = trouble {
                lost |= self.random.random_range(0..100) < *hundredths;
            }
        }
        lost
    }

    fn send(&mut self, from: usize, to: usize, body: Body, now: u64) {
        if self.is_lost(from, to, now) {
            return;
        }
        let is_near = from % DATA_CENTRES == to % DATA_CENTRES;
        let mut delay = if is_near { 1 } else { self.random.random_range(3..15) };
        let bad = |trouble: &Trouble| matches!(trouble, Trouble::BadLinks(_));
        if self.day.is_in(now, bad) && self.random.random_range(0..20) == 0 {
            delay += self.random.random_range(0..1_000);
        }
        self.at(now + delay, Step::Message { to, from, body });
    }

    fn take(&mut self, to: usize, from: usize, body: Body, now: u64) {
        let clock = now - self.relays[to].born;
        let sender = self.relays[from].name.clone();
        let own = &mut self.relays[to];
        match body {
            Body::Limits { words, stamp } => {
                let written = own.clocks.written_at(&sender, stamp, clock);
                for (replica, word) in words {
                    let sent = written - (stamp.time as i64 - word.sent);
                    own.take_word(replica, LimitReport { sent, ..word }, clock);
                }
            }
            Body::Ask { replica, word, age, stamp, asked } => {
                let sent = own.clocks.written_at(&sender, stamp, clock) - age;
                own.take_word(replica, LimitReport { per_second: word, sent }, clock);
                own.issuer.request(&asked, &sender, stamp, clock);
                self.issue(to, now);
            }
            Body::Grants { replica, word, age, stamp, issued } => {
                let sent = own.clocks.written_at(&sender, stamp, clock) - age;
                own.take_word(replica, LimitReport { per_second: word, sent }, clock);
                if issued.stamp.incarnation == own.born as u32 {
                    let at = (issued.stamp.time + issued.held_for) as i64;
                    own.grants.add(&id(replica), issued.count, at, issued.share, clock);
                }
            }
        }
    }
}

impl Relay {
    fn take_word(&mut self, replica: usize, word: LimitReport, clock: u64) {
        let change = self.limits.update(&id(replica), word, clock);
        if let Some(LimitChange::Set(limit)) = change {
            self.grants.record_limit(&id(replica), limit);
        }
    }

    /// Part of a limit that this relay takes by the simpler ways.
    fn part(&mut self, way: Way, replica: usize, relays: usize, now: u64) -> f64 {
        if way == Way::Even {
            return 1.0 / relays as f64;
        }
        let recent = self.recent.entry(replica).or_default();
        recent.retain(|time| *time + 1_000 > now);
        let own = recent.len();
        let others: usize =
            self.others.iter().filter(|(key, _)| key.1 == replica).map(|(_, count)| count).sum();
        own as f64 / (own + others).max(1) as f64
    }
}

/// Most requests beyond `ratio` of the limit that a replica got in a window; `told` counts only relays that knew.
pub(crate) fn worst_excess(day: &Day, seen: &Seen, replica: usize, ratio: f64, told: bool) -> f64 {
    let mut named_since = None;
    let mut worst = f64::MIN;
    let arrivals = &seen.arrivals[replica];
    let counts = |arrival: &Arrival| if told { arrival.is_told } else { !arrival.is_excused };
    for (index, Arrival { at: from, .. }) in arrivals.iter().enumerate() {
        let named = day.named(replica, *from);
        // One that it names anew binds after the contact time again.
        named_since = named.and(named_since.or(Some(*from)));
        let Some(since) = named_since else { continue };
        if *from < since + CONTACT {
            continue;
        }
        let window = arrivals[index..].iter().take_while(|arrival| arrival.at < from + WINDOW);
        let window: Vec<_> = window.collect();
        // The highest limit of the window binds, and none where it names none in a part of it. Of a lower one than before
        // relays know half a second later.
        let times = window.iter().map(|arrival| arrival.at).chain([from - 500]);
        let limits: Option<Vec<f64>> = times.map(|at| day.named(replica, at)).collect();
        let Some(limits) = limits else { continue };
        let limit = limits.into_iter().fold(0.0, f64::max);
        let came = window.iter().filter(|arrival| counts(arrival)).count();
        worst = worst.max(came as f64 - limit * ratio * WINDOW as f64 / 1_000.0);
    }
    worst
}

/// Least part of the limit that was served in a span, from the contact time on.
pub(crate) fn least_use(day: &Day, seen: &Seen, replica: usize) -> f64 {
    let (first, limit) = day.limits[replica][0];
    let limit = limit.expect("it has one from the beginning");
    let from = (first.max(CONTACT) + CONTACT)..day.length.saturating_sub(SPAN);
    let served = from.step_by(250).map(|from| {
        let within = |arrival: &&Arrival| (from..from + SPAN).contains(&arrival.at);
        seen.arrivals[replica].iter().filter(within).count()
    });
    served.min().unwrap_or(0) as f64 / (limit * SPAN as f64 / 1_000.0)
}
