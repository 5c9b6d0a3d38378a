//! A model of relays in three data centres, of replicas that crash, and of callers, in virtual time.
//!
//! Relays are the router's own tables; what is between them is messages with delays and losses, and a store that reaches all.
//! Harmless requests are streams of seconds, each its own; a bad one comes again and again at any relay, and ends each
//! replica that begins to run it. Replicas are back after some seconds, as another life.

#![allow(dead_code, reason = "tests and benchmark each use a part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_router::{
    fingerprint::RequestFingerprint,
    instance::ReplicaInstance,
    origin::UpdateAudience,
    quarantine::{CrashReport, LostRun, QuarantineChange, QuarantineTable, RunProgress},
};

/// Time without trouble after which a relay counts as in touch, in milliseconds.
pub(crate) const CONTACT: u64 = 3_000;

const DATA_CENTRES: usize = 3;
const TELL_EVERY: u64 = 200;
const DOWN_FOR: u64 = 4_000;
const BEGINS_AFTER: u64 = 50;
const STREAM: u64 = 5_000;
const PLAIN: u64 = 300;

/// Something that happens to the replicas or links beside the bad request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    /// So many replicas of a data centre end at once.
    Rack(usize),
    /// All replicas end at once.
    PowerOff,
    /// One replica after the other ends, so many milliseconds apart.
    Release(u64),
    /// Relays of different data centres do not hear each other for so long.
    Cut(u64),
    /// All relays are killed.
    KillRelays,
}

/// A day.
#[derive(Clone, Debug)]
pub(crate) struct Day {
    pub(crate) relays: usize,
    pub(crate) replicas: usize,
    /// Mean time between two attempts of the callers of the bad request; none where it is 0.
    pub(crate) bad_every: u64,
    /// Attempts of harmless requests a second, at all relays together.
    pub(crate) harmless: u64,
    /// Calls a second of one harmless request that all callers make.
    pub(crate) popular: u64,
    pub(crate) troubles: Vec<(u64, Trouble)>,
    pub(crate) length: u64,
}

/// What a day showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    /// Replicas that the bad request ended.
    pub(crate) ended: usize,
    /// When the third did.
    pub(crate) third: Option<u64>,
    /// Sends of the bad request after that, and those later than the contact time.
    pub(crate) after_third: usize,
    pub(crate) late: usize,
    /// When it was last sent.
    pub(crate) last_send: u64,
    /// Harmless requests refused for it, and all harmless ones.
    pub(crate) refused: usize,
    pub(crate) harmless: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive { request: u64, tries: u32 },
    Send { request: u64, relay: usize, sends: u32, tries: u32 },
    Lose { run: usize },
    Finish { run: usize },
    Tell { relay: usize, round: u64 },
    Back { replica: usize },
    Trouble { number: usize },
    EndReplica { replica: usize },
}

struct Run {
    request: u64,
    relay: usize,
    replica: usize,
    instance: ReplicaInstance,
    sent: u64,
    sends: u32,
    tries: u32,
    is_open: bool,
}

struct World<'a> {
    day: &'a Day,
    random: ChaCha8Rng,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    count: u64,
    tables: Vec<QuarantineTable>,
    starts: Vec<u64>,
    /// Life and time of the start of each replica; nothing while it is down.
    replicas: Vec<Option<ReplicaInstance>>,
    runs: Vec<Run>,
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    stored: HashMap<RequestFingerprint, CrashReport>,
    cut_until: u64,
    next_request: u64,
    seen: Seen,
}

#[derive(Clone, Debug)]
struct Message {
    news: Vec<CrashReport>,
    cleared: Vec<(RequestFingerprint, u64)>,
    is_back: bool,
    from_store: bool,
}

const BAD: u64 = 0;
const POPULAR: u64 = 1;

fn fingerprint(request: u64) -> RequestFingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&request.to_le_bytes());
    RequestFingerprint::from_bytes(bytes)
}

/// Plays a day.
pub(crate) fn play(day: &Day, seed: u64) -> Seen {
    let mut world = World {
        day,
        random: ChaCha8Rng::seed_from_u64(seed),
        steps: BinaryHeap::new(),
        count: 0,
        tables: vec![QuarantineTable::default(); day.relays],
        starts: vec![0; day.relays],
        replicas: Vec::new(),
        runs: Vec::new(),
        messages: BTreeMap::new(),
        stored: HashMap::new(),
        cut_until: 0,
        next_request: POPULAR + 1,
        seen: Seen::default(),
    };
    world.replicas = (0..day.replicas).map(|replica| Some(world_life(replica, 0))).collect();
    for relay in 0..day.relays {
        let at = world.random.random_range(0..TELL_EVERY);
        world.plan(at, Step::Tell { relay, round: 0 });
    }
    for (number, (at, _)) in day.troubles.iter().enumerate() {
        world.plan(*at, Step::Trouble { number });
    }
    if day.bad_every > 0 {
        world.plan(1_000, Step::Arrive { request: BAD, tries: 0 });
    }
    if day.harmless > 0 {
        world.plan(0, Step::Arrive { request: POPULAR + 1, tries: 0 });
    }
    if day.popular > 0 {
        world.plan(0, Step::Arrive { request: POPULAR, tries: 0 });
    }
    world.run();
    world.seen
}

fn world_life(replica: usize, born: u64) -> ReplicaInstance {
    ReplicaInstance::new(&format!("i-{replica}"), born + 1)
}

impl World<'_> {
    fn plan(&mut self, at: u64, step: Step) {
        self.count += 1;
        self.steps.push(Reverse((at, self.count, step)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            if now > self.day.length {
                return;
            }
            self.deliver(now);
            match step {
                Step::Arrive { request, tries } => self.arrive(request, tries, now),
                Step::Send { request, relay, sends, tries } => {
                    self.send(request, relay, sends, tries, now);
                }
                Step::Lose { run } => self.lose(run, now),
                Step::Finish { run } => self.finish(run, now),
                Step::Tell { relay, round } => {
                    self.tell(relay, round.is_multiple_of(2), now);
                    self.tables[relay].forget(now);
                    self.plan(now + TELL_EVERY, Step::Tell { relay, round: round + 1 });
                }
                Step::Back { replica } => self.replicas[replica] = Some(world_life(replica, now)),
                Step::Trouble { number } => self.trouble(self.day.troubles[number].1, now),
                Step::EndReplica { replica } => self.end_replica(replica, now),
            }
        }
    }

    fn arrive(&mut self, request: u64, tries: u32, now: u64) {
        let relay = self.random.random_range(0..self.day.relays);
        self.plan(now, Step::Send { request, relay, sends: 0, tries });
        if tries > 0 {
            return;
        }
        if request == BAD {
            let gap = self.random.random_range(1..=self.day.bad_every * 2);
            self.plan(now + gap, Step::Arrive { request: BAD, tries: 0 });
            return;
        }
        self.seen.harmless += 1;
        if request == POPULAR {
            let gap = self.random.random_range(0..=2_000 / self.day.popular);
            return self.plan(now + gap, Step::Arrive { request, tries: 0 });
        }
        self.next_request += 1;
        let gap = self.random.random_range(0..=2_000 / self.day.harmless);
        self.plan(now + gap, Step::Arrive { request: self.next_request, tries: 0 });
    }

    fn send(&mut self, request: u64, relay: usize, sends: u32, tries: u32, now: u64) {
        if self.tables[relay].remaining(&fingerprint(request), now).is_some() {
            self.seen.refused += usize::from(request != BAD);
            return;
        }
        let Some(replica) = self.choose(relay) else { return };
        let instance = self.replicas[replica].clone().expect("a chosen replica lives");
        let run = self.runs.len();
        let is_open = true;
        self.runs.push(Run { request, relay, replica, instance, sent: now, sends, tries, is_open });
        if request != BAD {
            let lasts = if request == POPULAR { PLAIN } else { STREAM };
            return self.plan(now + lasts, Step::Finish { run });
        }
        self.seen.last_send = now;
        if self.seen.third.is_some() {
            self.seen.after_third += 1;
        }
        self.seen.late += usize::from(self.seen.third.is_some_and(|third| now > third + CONTACT));
        let crash = now + BEGINS_AFTER + self.random.random_range(10..140);
        self.plan(crash, Step::EndReplica { replica });
        self.plan(crash, Step::Finish { run });
    }

    /// Mostly the same replica for all relays of a data centre, as where costs decide.
    fn choose(&mut self, relay: usize) -> Option<usize> {
        let near: Vec<usize> = (0..self.day.replicas)
            .filter(|replica| {
                self.replicas[*replica].is_some() && replica % DATA_CENTRES == relay % DATA_CENTRES
            })
            .collect();
        let all = || (0..self.day.replicas).filter(|replica| self.replicas[*replica].is_some());
        let few = near.len().min(3);
        match few {
            0 => all().next(),
            few => Some(near[self.random.random_range(0..few)]),
        }
    }

    fn end_replica(&mut self, replica: usize, now: u64) {
        let Some(instance) = self.replicas[replica].take() else { return };
        let by_bad = self.runs.iter().any(|run| {
            run.is_open
                && run.instance == instance
                && run.request == BAD
                && now >= run.sent + BEGINS_AFTER
        });
        if by_bad {
            self.seen.ended += 1;
            if self.seen.ended == 3 {
                self.seen.third = Some(now);
            }
        }
        self.plan(now + DOWN_FOR, Step::Back { replica });
        let lost: Vec<usize> = (0..self.runs.len())
            .filter(|run| self.runs[*run].is_open && self.runs[*run].instance == instance)
            .collect();
        for run in lost {
            self.runs[run].is_open = false;
            let delay = self.random.random_range(1..4);
            self.plan(now + delay, Step::Lose { run });
        }
    }

    fn lose(&mut self, number: usize, now: u64) {
        let Run { request, relay, sent, sends, tries, ref instance, .. } = self.runs[number];
        if self.starts[relay] > sent {
            return;
        }
        let begun = (now >= sent + BEGINS_AFTER).then_some(sent + BEGINS_AFTER);
        let events = match request {
            BAD => 0,
            _ => now.saturating_sub(sent + BEGINS_AFTER + 20) / 50,
        };
        let progress = match request {
            POPULAR => RunProgress::Unary,
            _ => RunProgress::Stream { begun, events },
        };
        let instances = [instance.clone()];
        let run = LostRun { instances: &instances, sent, progress };
        let mut change = self.tables[relay].record_lost(fingerprint(request), &run, now);
        let found = self.tables[relay].record_crash(&instances[0], now);
        change.is_urgent |= found.is_urgent;
        change.quarantined.extend(found.quarantined);
        self.take(relay, &change, now);
        let pause = self.random.random_range(5..150);
        match (sends, tries) {
            (0, _) => self.plan(now + pause, Step::Send { request, relay, sends: 1, tries }),
            (_, 0) => self.plan(now + pause, Step::Arrive { request, tries: 1 }),
            _ => {}
        }
    }

    fn finish(&mut self, number: usize, now: u64) {
        let Run { request, relay, is_open, sent, .. } = self.runs[number];
        if is_open && request != BAD && self.starts[relay] <= sent {
            self.runs[number].is_open = false;
            self.tables[relay].record_result(&fingerprint(request), now);
        }
    }

    fn take(&mut self, relay: usize, change: &QuarantineChange, now: u64) {
        if change.is_urgent {
            self.tell(relay, true, now);
        }
        for news in self.tables[relay].unstored(now) {
            // The store gives what it takes to a reader of each data centre.
            self.stored.insert(news.fingerprint, news.clone());
            for reader in 0..DATA_CENTRES.min(self.day.relays) {
                let message = Message {
                    news: vec![news.clone()],
                    cleared: vec![],
                    is_back: false,
                    from_store: true,
                };
                self.post(reader, message, now + 15);
            }
        }
    }

    fn tell(&mut self, relay: usize, far: bool, now: u64) {
        let news = self.tables[relay].updates(UpdateAudience::Speakers, now);
        let cleared = self.tables[relay].cleared(now);
        let is_back = now < self.starts[relay] + TELL_EVERY * 2 && self.starts[relay] > 0;
        if news.is_empty() && cleared.is_empty() && !is_back {
            return;
        }
        for other in (0..self.day.relays).filter(|other| *other != relay) {
            let is_near = other % DATA_CENTRES == relay % DATA_CENTRES;
            let is_lost = self.random.random_range(0..100) == 0;
            if is_lost || !is_near && (!far || now < self.cut_until) {
                continue;
            }
            let delay = if is_near { 1 } else { self.random.random_range(1..15) };
            let message = Message {
                news: news.clone(),
                cleared: cleared.clone(),
                is_back,
                from_store: false,
            };
            self.post(other, message, now + delay);
        }
    }

    fn post(&mut self, to: usize, message: Message, at: u64) {
        self.count += 1;
        self.messages.insert((at, self.count), (to, message));
    }

    fn deliver(&mut self, now: u64) {
        while let Some(entry) = self.messages.first_entry() {
            let at = entry.key().0;
            if at > now {
                return;
            }
            let (to, message) = entry.remove();
            if message.is_back {
                self.tables[to].announce_all(at);
            }
            self.tables[to].merge_cleared(&message.cleared, false, at);
            let change = self.tables[to].merge(message.news, message.from_store, at);
            self.take(to, &change, at);
        }
    }

    fn trouble(&mut self, trouble: Trouble, now: u64) {
        match trouble {
            Trouble::Rack(count) => {
                let centre = self.random.random_range(0..DATA_CENTRES);
                let rack =
                    (0..self.day.replicas).filter(|replica| replica % DATA_CENTRES == centre);
                for replica in rack.take(count).collect::<Vec<_>>() {
                    self.end_replica(replica, now);
                }
            }
            Trouble::PowerOff => {
                (0..self.day.replicas).for_each(|replica| self.end_replica(replica, now))
            }
            Trouble::Release(gap) => {
                for replica in 0..self.day.replicas {
                    self.plan(now + gap * replica as u64, Step::EndReplica { replica });
                }
            }
            Trouble::Cut(lasts) => self.cut_until = now + lasts,
            Trouble::KillRelays => {
                self.starts = vec![now; self.day.relays];
                self.tables = vec![QuarantineTable::default(); self.day.relays];
                let stored: Vec<CrashReport> = self.stored.values().cloned().collect();
                for relay in 0..DATA_CENTRES.min(self.day.relays) {
                    let message = Message {
                        news: stored.clone(),
                        cleared: vec![],
                        is_back: false,
                        from_store: true,
                    };
                    self.post(relay, message, now + 500);
                }
            }
        }
    }
}
