//! Relays that follow one store and tell each other, in virtual time.
//!
//! The decisions are the product's own: what is read next, what news changes, who follows for whom. Here
//! stand only the store, the links and the clock. A run is a pure function of a [`Day`].

mod relay;
mod store;

use switchfold_router::{
    Millis,
    fleet::{EntryState, LayerRange, ReplicaEntry},
};

pub(crate) use self::relay::ModelRelay;
use self::{
    relay::{Message, RelayWorld},
    store::ModelStore,
};

/// Step of the clock, in milliseconds.
pub(crate) const TICK: Millis = 5;

/// Replicas; the last one of them never leaves.
pub(crate) const REPLICAS: usize = 4;

/// Names of the relays with their data centres.
pub(crate) const RELAYS: [(&str, &str); 4] =
    [("a-1", "a"), ("a-2", "a"), ("a-3", "a"), ("b-1", "b")];

/// Time without trouble after which a relay counts as in touch, in milliseconds: the users' bound.
pub(crate) const CONTACT: Millis = 3_000;

/// Time for which a leaving replica may be offered, and an old configuration be in force, in milliseconds:
/// the users' bounds.
pub(crate) const BOUND: Millis = 2_000;

/// Time between two heartbeats of a replica, and from its start to its first one, in milliseconds.
const HEARTBEAT: Millis = 1_200;
const START: Millis = 100;

/// Heartbeats of silence after which an entry lapses, in milliseconds.
const LAPSE: Millis = 3_600;

/// Time between two copies of the store, in milliseconds.
const COPY_EVERY: Millis = 250;

/// Time for which a replica serves on once it says that it leaves, in milliseconds.
const SERVES_ON: Millis = 2_500;

/// Time within which lapsed entries are back after the store's return, in milliseconds.
const BACK: Millis = 2_000;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Trouble {
    /// The store turns a relay away: by silence, or by refusals.
    TurnedAway {
        /// The relay.
        relay: usize,
        /// Whether it hears nothing.
        silent: bool,
    },
    /// The store is down for all.
    Outage {
        /// Whether it says nothing.
        silent: bool,
    },
    /// The store answers fifty times slower.
    Slow,
    /// Watches hear nothing for a second while changes are made; then history is dropped, and they are cut.
    Compaction,
    /// A relay's process stands still; what comes meanwhile waits.
    Paused {
        /// The relay.
        relay: usize,
    },
    /// Messages to a relay are lost.
    Deaf {
        /// The relay.
        relay: usize,
    },
    /// The store is away for all, and comes back from a copy that is so much older than the moment at which it went.
    Copy {
        /// Age of the copy, in milliseconds.
        age: Millis,
    },
    /// Messages to a relay come late, each twice: answers to its questions come after it gave them up.
    Late {
        /// The relay.
        relay: usize,
    },
}

/// What the store is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// A replica says that it leaves.
    Leave(usize),
    /// A replica's entry goes without a word, and it serves on for a while.
    Vanish(usize),
    /// A replica holds other layers.
    Reload(usize),
    /// The operator writes a version of the configuration.
    Configure,
    /// A replica starts again under its id, knowing nothing; a heartbeat of before may reach the store after its
    /// first one.
    Restart {
        /// The replica.
        replica: usize,
        /// Whether one does.
        late_beat: bool,
    },
    /// Another writer's entry stands in a replica's place until its next heartbeat.
    Overwrite(usize),
}

/// Something with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timed<T> {
    /// When it begins.
    pub(crate) at: Millis,
    /// How long it lasts, where it does.
    pub(crate) lasts: Millis,
    /// What it is.
    pub(crate) what: T,
}

/// What happens in a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Day {
    /// Troubles.
    pub(crate) troubles: Vec<Timed<Trouble>>,
    /// Changes.
    pub(crate) changes: Vec<Timed<Change>>,
    /// Length.
    pub(crate) length: Millis,
}

/// What is wrong at a moment.
pub(crate) struct Weather<'a> {
    troubles: &'a [Timed<Trouble>],
    now: Millis,
}

impl Weather<'_> {
    fn any(&self, since: Millis, is_it: impl Fn(Trouble) -> bool) -> bool {
        self.troubles.iter().any(|one| {
            let lasts = if one.what == Trouble::Compaction { 1_000 } else { one.lasts };
            is_it(one.what) && one.at <= self.now && self.now < one.at + lasts + since
        })
    }

    /// Whether it is so now.
    pub(crate) fn has(&self, trouble: Trouble) -> bool {
        self.any(0, |other| other == trouble)
    }

    /// Whether the store has been stable for the contact time.
    fn is_stable(&self) -> bool {
        let of_store = |trouble| {
            matches!(
                trouble,
                Trouble::Outage { .. } | Trouble::Copy { .. } | Trouble::Slow | Trouble::Compaction
            )
        };
        self.now >= CONTACT && !self.any(CONTACT, of_store)
    }

    /// Whether a relay has been in touch for the contact time.
    fn is_in_touch(&self, relay: usize) -> bool {
        let own = |trouble| match trouble {
            Trouble::TurnedAway { relay: who, .. } => who == relay,
            Trouble::Paused { relay: who }
            | Trouble::Deaf { relay: who }
            | Trouble::Late { relay: who } => who == relay,
            _ => false,
        };
        self.is_stable() && !self.any(CONTACT, own)
    }

    /// Whether the store is away for all.
    fn is_down(&self) -> bool {
        self.any(0, |trouble| matches!(trouble, Trouble::Outage { .. } | Trouble::Copy { .. }))
    }

    /// Whether the store answers a relay: nothing where it says nothing, else whether it serves.
    pub(crate) fn serves(&self, relay: usize) -> Option<bool> {
        let silent = self.has(Trouble::Outage { silent: true })
            || self.has(Trouble::TurnedAway { relay, silent: true });
        let refuses = self.any(0, |trouble| matches!(trouble, Trouble::Copy { .. }))
            || self.has(Trouble::Outage { silent: false })
            || self.has(Trouble::TurnedAway { relay, silent: false });
        (!silent).then_some(!refuses)
    }
}

/// What a run broke: old state that a relay in touch held.
#[derive(Clone, Debug, Default)]
pub(crate) struct Broken {
    /// Leaving replicas that were offered.
    pub(crate) leaving: Vec<String>,
    /// Old configurations in force.
    pub(crate) config: Vec<String>,
    /// Replicas that live and are listed, and were not offered.
    pub(crate) lacking: Vec<String>,
    /// Replicas that were offered for what an earlier life of theirs held.
    pub(crate) ended: Vec<String>,
}

/// A life of a replica that the store shows.
#[derive(Clone, Copy, Debug)]
struct ShownLife {
    start: Millis,
    since: Millis,
}

struct World<'a> {
    day: &'a Day,
    store: ModelStore,
    relays: Vec<ModelRelay>,
    messages: Vec<Message>,
    /// When each replica said that it leaves, and whether the store was stable then.
    left: [Option<(Millis, bool)>; REPLICAS],
    /// When each version was written, and whether the store was stable then.
    versions: Vec<(Millis, bool)>,
    /// When a replica's lapsed entry is written again.
    back_at: [Option<Millis>; REPLICAS],
    /// Since when the store shows the present life of each replica, where it does: what a relay holds may be as old as the
    /// bound, and what stands in the store for a moment between others' entries it may not have seen.
    shown: [Option<ShownLife>; REPLICAS],
    /// Start of the latest life of each replica that each relay has offered.
    offered: [[Millis; REPLICAS]; RELAYS.len()],
    /// When each replica's next heartbeat sets its entry right.
    beat_at: [Option<Millis>; REPLICAS],
    /// Until when each replica's entry may be another writer's.
    odd_until: [Millis; REPLICAS],
    /// Replicas whose entry went without a word.
    vanished: [bool; REPLICAS],
    /// When the entry of a replica that has ended lapses, where an older copy of the store has it.
    lapses_at: [Option<Millis>; REPLICAS],
    /// When it did.
    lapsed_at: [Option<Millis>; REPLICAS],
    /// Which relays knew that a replica had left.
    knew: [[bool; REPLICAS]; RELAYS.len()],
    /// When the operator writes the newest version again.
    config_at: Option<Millis>,
    /// Copies of the store, with their times, where the day needs any.
    copies: Vec<(Millis, ModelStore)>,
    /// Entries of before a restart that are still on their way to the store.
    late_beats: Vec<(Millis, usize, ReplicaEntry)>,
}

/// Id of a replica.
pub(crate) fn replica_id(number: usize) -> String {
    format!("i-{number}")
}

/// Plays a day.
pub(crate) fn play(day: &Day) -> Broken {
    let mut world = World {
        day,
        store: ModelStore::new(REPLICAS),
        relays: (0..RELAYS.len()).map(ModelRelay::new).collect(),
        messages: Vec::new(),
        left: [None; REPLICAS],
        versions: Vec::new(),
        back_at: [None; REPLICAS],
        shown: [None; REPLICAS],
        offered: [[0; REPLICAS]; RELAYS.len()],
        beat_at: [None; REPLICAS],
        odd_until: [0; REPLICAS],
        vanished: [false; REPLICAS],
        lapses_at: [None; REPLICAS],
        lapsed_at: [None; REPLICAS],
        knew: [[false; REPLICAS]; RELAYS.len()],
        config_at: None,
        copies: Vec::new(),
        late_beats: Vec::new(),
    };
    let mut broken = Broken::default();
    let mut now = 0;
    while now < day.length {
        let weather = Weather { troubles: &day.troubles, now };
        world.copy(&weather);
        world.change(&weather);
        world.lapse(&weather);
        world.beat(&weather);
        for number in 0..RELAYS.len() {
            if !weather.has(Trouble::Paused { relay: number }) {
                let mut relay_world =
                    RelayWorld { store: &mut world.store, messages: &mut world.messages };
                world.relays[number].advance(&weather, &mut relay_world, now);
            }
        }
        world.note_known();
        world.note_shown(now);
        world.check_offered(&mut broken);
        world.check(&weather, &mut broken);
        now += TICK;
    }
    broken
}

impl World<'_> {
    /// Copies the store now and then, and lets it come back from a copy.
    fn copy(&mut self, weather: &Weather<'_>) {
        let now = weather.now;
        let ends = |one: &&Timed<Trouble>| now / TICK == (one.at + one.lasts) / TICK;
        for one in self.day.troubles.iter().filter(ends) {
            let Trouble::Copy { age } = one.what else { continue };
            let is_old = |copy: &&(Millis, ModelStore)| copy.0 + age <= one.at;
            let copy = self.copies.iter().rev().find(is_old).or(self.copies.first());
            let (_, copy) = copy.expect("a copy of the beginning");
            self.store.come_back(copy);
            self.write_again(now);
        }
        let copies = self.day.troubles.iter().any(|one| matches!(one.what, Trouble::Copy { .. }));
        if copies && now.is_multiple_of(COPY_EVERY) && !weather.is_down() {
            self.copies.push((now, self.store.clone()));
        }
    }

    /// What the operator and the replicas wrote is written again, within their heartbeat; the entry of one that has ended
    /// lapses.
    fn write_again(&mut self, now: Millis) {
        self.config_at = Some(now + HEARTBEAT / 2);
        for number in 0..REPLICAS {
            let ended = match self.left[number] {
                Some((at, _)) => self.vanished[number] || now > at + SERVES_ON,
                None => false,
            };
            let beat = now + HEARTBEAT * (number as Millis + 1) / REPLICAS as Millis;
            self.back_at[number] = (!ended).then_some(beat);
            self.lapses_at[number] = ended.then_some(now + LAPSE);
        }
    }

    fn change(&mut self, weather: &Weather<'_>) {
        let now = weather.now;
        let due = self.day.changes.iter().filter(|change| change.at / TICK == now / TICK);
        for change in due {
            let down = weather.is_down();
            if let Change::Restart { replica, late_beat } = change.what {
                self.restart(replica, late_beat, now);
            }
            if down {
                continue;
            }
            match change.what {
                Change::Restart { .. } => {}
                Change::Overwrite(number) => {
                    let odd = ReplicaEntry {
                        state: EntryState::Overwritten,
                        ..self.store.known(number).clone()
                    };
                    self.store.overwrite(number, odd);
                    self.beat_at[number] = Some(now + HEARTBEAT);
                    self.odd_until[number] = now + HEARTBEAT;
                }
                Change::Leave(number) if self.left[number].is_none() => {
                    if self.store.update(number, |entry| entry.state = EntryState::Draining) {
                        self.left[number] = Some((now, weather.is_stable()));
                    }
                }
                Change::Vanish(number) if self.left[number].is_none() => {
                    if self.store.remove(number) {
                        self.left[number] = Some((now, weather.is_stable()));
                        self.vanished[number] = true;
                    }
                }
                Change::Leave(_) | Change::Vanish(_) => {}
                // One that went writes no more, though a copy of the store may name it.
                Change::Reload(number) if self.vanished[number] => {}
                Change::Reload(number) => {
                    self.store.update(number, |entry| {
                        let from = entry.layers.map_or(0, |range| (range.from + 1) % 70);
                        entry.layers = Some(LayerRange { from, to: from + 10 });
                    });
                }
                Change::Configure => {
                    self.versions.push((now, weather.is_stable()));
                    self.store.configure(self.newest_version());
                }
            }
        }
    }

    /// Newest version that the operator wrote.
    fn newest_version(&self) -> u64 {
        self.versions.len() as u64 + 1
    }

    fn restart(&mut self, number: usize, late_beat: bool, now: Millis) {
        if self.left[number].is_some() {
            return;
        }
        let before = self.store.restart(number);
        self.beat_at[number] = Some(now + START);
        if late_beat {
            self.late_beats.push((now + START + HEARTBEAT / 2, number, before));
        }
    }

    /// Replicas write their entries.
    fn beat(&mut self, weather: &Weather<'_>) {
        let now = weather.now;
        if weather.is_down() {
            return;
        }
        if self.config_at.is_some_and(|at| now >= at) {
            self.config_at = None;
            self.store.configure(self.newest_version());
        }
        for number in 0..REPLICAS {
            if self.lapses_at[number].is_some_and(|at| now >= at) {
                self.lapses_at[number] = None;
                self.lapsed_at[number] = Some(now);
                self.store.remove(number);
            }
        }
        for number in 0..REPLICAS {
            if self.beat_at[number].is_some_and(|at| now >= at) {
                self.beat_at[number] = None;
                let listed = self.left[number].is_none_or(|_| self.store.is_listed(number));
                let instances = listed && !self.vanished[number];
                if instances && self.back_at[number].is_none() {
                    self.store.restore(number);
                }
            }
        }
        for (_, number, before) in self.late_beats.extract_if(.., |(at, ..)| now >= *at) {
            self.store.overwrite(number, before);
            self.beat_at[number] = Some(now + HEARTBEAT);
        }
    }

    /// Entries lapse in a long outage, and are written again after it.
    fn lapse(&mut self, weather: &Weather<'_>) {
        let now = weather.now;
        for one in weather.troubles.iter().filter(|one| matches!(one.what, Trouble::Outage { .. }))
        {
            let end = one.at + one.lasts;
            if one.lasts > LAPSE && now / TICK == (one.at + LAPSE) / TICK {
                for number in 0..REPLICAS {
                    // Some are back soon, some late; replicas that leave need not be back at all, and one that went writes
                    // no more, though a copy of the store may name it.
                    let back = end + BACK * (number as Millis * 2 + 1) / (2 * REPLICAS as Millis);
                    let may_stay_away = self.left[number].is_some() && number.is_multiple_of(2);
                    let stays_away = may_stay_away || self.vanished[number];
                    let comes_back = self.store.remove(number) || self.back_at[number].is_some();
                    self.back_at[number] = (comes_back && !stays_away).then_some(back);
                }
            }
        }
        let down = weather.is_down();
        for number in 0..REPLICAS {
            if !down && self.back_at[number].is_some_and(|back| now >= back) {
                self.back_at[number] = None;
                self.store.restore(number);
            }
        }
    }

    fn note_known(&mut self) {
        for (relay, knew) in self.relays.iter().zip(&mut self.knew) {
            for (number, knows) in knew.iter_mut().enumerate() {
                *knows |= self.left[number].is_some() && relay.knows_leaving(number);
            }
        }
    }

    /// Whether nobody can tell a relay that a replica left: it has ended, and a copy of the store from before its leaving
    /// names it until its heartbeats are missed. A relay that knew once is to go on knowing.
    fn is_untold(&self, relay: usize, number: usize, now: Millis) -> bool {
        let is_due = |at: Millis| now <= at + BOUND;
        let names = self.lapses_at[number].is_some() || self.lapsed_at[number].is_some_and(is_due);
        names && !self.knew[relay][number]
    }

    fn check(&self, weather: &Weather<'_>, broken: &mut Broken) {
        for (number, relay) in self.relays.iter().enumerate() {
            if !weather.is_in_touch(number) {
                continue;
            }
            self.check_leaving(weather.now, number, broken);
            self.check_config(weather.now, relay, broken);
            self.check_lacking(weather, relay, broken);
            self.check_ended(weather.now, relay, broken);
        }
    }

    fn check_leaving(&self, now: Millis, relay_number: usize, broken: &mut Broken) {
        let relay = &self.relays[relay_number];
        for (number, left) in self.left.iter().enumerate() {
            let Some((at, true)) = *left else { continue };
            let is_untold = self.is_untold(relay_number, number, now);
            if now > at + BOUND && relay.offers(number) && !is_untold {
                let what = format!("{} offers i-{number} {} ms after", relay.name(), now - at);
                broken.leaving.push(what);
            }
        }
    }

    fn check_config(&self, now: Millis, relay: &ModelRelay, broken: &mut Broken) {
        for (index, (at, stable)) in self.versions.iter().enumerate() {
            let version = index as u64 + 2;
            if *stable && now > at + BOUND && relay.config_version() < version {
                let late = now - at;
                let what = format!("{} has no version {version} {late} ms after", relay.name());
                broken.config.push(what);
            }
        }
    }

    fn note_shown(&mut self, now: Millis) {
        for (number, shown) in self.shown.iter_mut().enumerate() {
            let start = self.store.known(number).instance.started_at();
            let before = shown.filter(|shown| shown.start == start);
            let is_shown = self.store.shows_present(number);
            *shown = is_shown.then(|| before.unwrap_or(ShownLife { start, since: now }));
        }
    }

    /// A restart shows once the store shows it.
    fn check_ended(&self, now: Millis, relay: &ModelRelay, broken: &mut Broken) {
        for number in 0..REPLICAS {
            let Some(ShownLife { since, .. }) = self.shown[number] else { continue };
            let instance = &self.store.known(number).instance;
            if now > since + BOUND && relay.offers_earlier(number, instance) {
                let late = now - since;
                let what = format!("{} offers an earlier i-{number} {late} ms after", relay.name());
                broken.ended.push(what);
            }
        }
    }

    /// A relay that offered a life of a replica offers no earlier one again, in touch or not.
    fn check_offered(&mut self, broken: &mut Broken) {
        for (relay, offered) in self.relays.iter().zip(&mut self.offered) {
            for (number, latest) in offered.iter_mut().enumerate() {
                let Some(start) = relay.offered_start(number) else { continue };
                if start < *latest {
                    broken
                        .ended
                        .push(format!("{} offers an earlier i-{number} again", relay.name()));
                }
                *latest = start.max(*latest);
            }
        }
    }

    fn check_lacking(&self, weather: &Weather<'_>, relay: &ModelRelay, broken: &mut Broken) {
        let calm = !weather.any(CONTACT + BOUND, |_| true);
        for number in (0..REPLICAS).filter(|number| self.left[*number].is_none()) {
            let calm = calm && weather.now > self.odd_until[number] + BOUND;
            if calm && weather.now > CONTACT + BOUND && !relay.offers(number) {
                broken.lacking.push(format!(
                    "{} lacks i-{number} at {}",
                    relay.name(),
                    weather.now
                ));
            }
        }
    }
}
