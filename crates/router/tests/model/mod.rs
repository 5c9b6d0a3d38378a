//! Model of relays that follow one store and exchange state, in virtual time.
//!
//! The decisions are the product's own: what is read next, what an update changes, and which relay
//! reads on behalf of others. Only the store, the links and the clock are modelled. A run is a pure
//! function of a [`Scenario`].

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

/// Number of replicas; the last one never leaves.
pub(crate) const REPLICAS: usize = 4;

/// Names and data centres of the relays.
pub(crate) const RELAYS: [(&str, &str); 4] =
    [("a-1", "a"), ("a-2", "a"), ("a-3", "a"), ("b-1", "b")];

/// Time without faults after which a relay counts as in contact, in milliseconds: the users' bound.
pub(crate) const CONTACT: Millis = 3_000;

/// Time for which a leaving replica may be used, and an old configuration be in force, in
/// milliseconds: the users' bounds.
pub(crate) const BOUND: Millis = 2_000;

/// Time between two heartbeats of a replica, and from its start to its first one, in milliseconds.
const HEARTBEAT: Millis = 1_200;
const START_TIME: Millis = 100;

/// Silence after which an entry expires, in milliseconds: three heartbeats.
const ENTRY_TTL: Millis = 3_600;

/// Time between two backups of the store, in milliseconds.
const BACKUP_INTERVAL: Millis = 250;

/// Time for which a replica continues to serve after it announced its leaving, in milliseconds.
const DRAIN_TIME: Millis = 2_500;

/// Time within which expired entries are written again after the store's return, in milliseconds.
const REWRITE_TIME: Millis = 2_000;

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The store rejects a relay's calls, or does not answer them.
    Rejected {
        /// The relay.
        relay: usize,
        /// Whether it does not answer at all.
        silent: bool,
    },
    /// The store is down for all.
    Outage {
        /// Whether it does not answer at all.
        silent: bool,
    },
    /// The store answers fifty times slower.
    Slow,
    /// Watches receive nothing for a second while changes are made; then history is dropped, and
    /// the watches are cut.
    Compaction,
    /// A relay's process is paused; what arrives meanwhile waits.
    Paused {
        /// The relay.
        relay: usize,
    },
    /// Messages to a relay are lost.
    Unreachable {
        /// The relay.
        relay: usize,
    },
    /// The store is down for all, and is restored from a backup.
    Restore {
        /// Age of the backup when the outage starts, in milliseconds.
        age: Millis,
    },
    /// Messages to a relay arrive late and twice, responses to its requests after their timeout.
    Delayed {
        /// The relay.
        relay: usize,
    },
}

/// A write to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// A replica announces its leaving.
    Drain(usize),
    /// A replica's entry is removed without an announcement; the replica continues to serve for a
    /// while.
    Remove(usize),
    /// A replica loads other layers.
    Reload(usize),
    /// The operator writes a new version of the configuration.
    Configure,
    /// A replica restarts under its id, without its earlier state.
    Restart {
        /// The replica.
        replica: usize,
        /// Whether a heartbeat of the earlier instance reaches the store after the first one of the
        /// new instance.
        late_heartbeat: bool,
    },
    /// Another writer's entry replaces a replica's own until its next heartbeat.
    Overwrite(usize),
}

/// Something that happens at a given time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timed<T> {
    /// When it starts.
    pub(crate) at: Millis,
    /// Duration in milliseconds; 0 for a change.
    pub(crate) duration: Millis,
    /// What happens.
    pub(crate) what: T,
}

/// Faults and changes of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scenario {
    /// Faults.
    pub(crate) faults: Vec<Timed<Fault>>,
    /// Changes.
    pub(crate) changes: Vec<Timed<Change>>,
    /// Length of the run, in milliseconds.
    pub(crate) length: Millis,
}

/// Faults that are active at a moment.
pub(crate) struct ActiveFaults<'a> {
    faults: &'a [Timed<Fault>],
    now: Millis,
}

impl ActiveFaults<'_> {
    fn any(&self, since: Millis, matches_fault: impl Fn(Fault) -> bool) -> bool {
        self.faults.iter().any(|one| {
            let duration = if one.what == Fault::Compaction { 1_000 } else { one.duration };
            matches_fault(one.what) && one.at <= self.now && self.now < one.at + duration + since
        })
    }

    /// Returns whether a fault is active.
    pub(crate) fn is_active(&self, fault: Fault) -> bool {
        self.any(0, |other| other == fault)
    }

    /// Returns whether the store has been without faults for the contact time.
    fn is_stable(&self) -> bool {
        let of_store = |fault| {
            matches!(
                fault,
                Fault::Outage { .. } | Fault::Restore { .. } | Fault::Slow | Fault::Compaction
            )
        };
        self.now >= CONTACT && !self.any(CONTACT, of_store)
    }

    /// Returns whether a relay has been in contact for the contact time.
    fn is_in_contact(&self, relay: usize) -> bool {
        let own = |fault| match fault {
            Fault::Rejected { relay: who, .. } => who == relay,
            Fault::Paused { relay: who }
            | Fault::Unreachable { relay: who }
            | Fault::Delayed { relay: who } => who == relay,
            _ => false,
        };
        self.is_stable() && !self.any(CONTACT, own)
    }

    /// Returns whether the store is down for all.
    fn is_down(&self) -> bool {
        self.any(0, |fault| matches!(fault, Fault::Outage { .. } | Fault::Restore { .. }))
    }

    /// Returns whether the store accepts a relay's calls; `None` if it does not answer.
    pub(crate) fn accepts(&self, relay: usize) -> Option<bool> {
        let silent = self.is_active(Fault::Outage { silent: true })
            || self.is_active(Fault::Rejected { relay, silent: true });
        let refuses = self.any(0, |fault| matches!(fault, Fault::Restore { .. }))
            || self.is_active(Fault::Outage { silent: false })
            || self.is_active(Fault::Rejected { relay, silent: false });
        (!silent).then_some(!refuses)
    }
}

/// Old state that a relay in contact held.
#[derive(Clone, Debug, Default)]
pub(crate) struct Violations {
    /// Leaving replicas that were used.
    pub(crate) leaving: Vec<String>,
    /// Old configurations in force.
    pub(crate) config: Vec<String>,
    /// Live replicas that were listed and not used.
    pub(crate) missing: Vec<String>,
    /// Replicas that were used by the state of an earlier instance.
    pub(crate) ended: Vec<String>,
}

/// An instance of a replica that the store lists.
#[derive(Clone, Copy, Debug)]
struct ListedInstance {
    start: Millis,
    since: Millis,
}

struct World<'a> {
    scenario: &'a Scenario,
    store: ModelStore,
    relays: Vec<ModelRelay>,
    messages: Vec<Message>,
    /// When each replica announced its leaving, and whether the store was stable then.
    leaving_since: [Option<(Millis, bool)>; REPLICAS],
    /// When each version was written, and whether the store was stable then.
    versions: Vec<(Millis, bool)>,
    /// When a replica's expired entry is written again.
    rewrite_at: [Option<Millis>; REPLICAS],
    /// Since when the store has listed the present instance of each replica without interruption.
    /// What a relay holds may be as old as the bound, and it may miss an entry that stood between
    /// others' entries for a moment.
    listed_instance: [Option<ListedInstance>; REPLICAS],
    /// Latest start of each replica that each relay has used.
    offered: [[Millis; REPLICAS]; RELAYS.len()],
    /// When each replica's next heartbeat writes its own entry again.
    heartbeat_at: [Option<Millis>; REPLICAS],
    /// Until when each replica's entry may be another writer's.
    foreign_until: [Millis; REPLICAS],
    /// Replicas whose entry was removed without an announcement.
    removed: [bool; REPLICAS],
    /// When the entry of a replica that has ended expires, if a backup of the store contains it.
    expires_at: [Option<Millis>; REPLICAS],
    /// When that entry expired.
    expired_at: [Option<Millis>; REPLICAS],
    /// Which relays have known that a replica left.
    knew: [[bool; REPLICAS]; RELAYS.len()],
    /// When the operator writes the newest version again.
    config_rewrite_at: Option<Millis>,
    /// Backups of the store with their times, if the scenario needs any.
    backups: Vec<(Millis, ModelStore)>,
    /// Heartbeats of earlier instances that have not reached the store yet.
    late_heartbeats: Vec<(Millis, usize, ReplicaEntry)>,
}

/// Returns the id of a replica.
pub(crate) fn replica_id(number: usize) -> String {
    format!("i-{number}")
}

/// Runs a scenario.
pub(crate) fn run_scenario(scenario: &Scenario) -> Violations {
    let mut world = World {
        scenario,
        store: ModelStore::new(REPLICAS),
        relays: (0..RELAYS.len()).map(ModelRelay::new).collect(),
        messages: Vec::new(),
        leaving_since: [None; REPLICAS],
        versions: Vec::new(),
        rewrite_at: [None; REPLICAS],
        listed_instance: [None; REPLICAS],
        offered: [[0; REPLICAS]; RELAYS.len()],
        heartbeat_at: [None; REPLICAS],
        foreign_until: [0; REPLICAS],
        removed: [false; REPLICAS],
        expires_at: [None; REPLICAS],
        expired_at: [None; REPLICAS],
        knew: [[false; REPLICAS]; RELAYS.len()],
        config_rewrite_at: None,
        backups: Vec::new(),
        late_heartbeats: Vec::new(),
    };
    let mut violations = Violations::default();
    let mut now = 0;
    while now < scenario.length {
        let active = ActiveFaults { faults: &scenario.faults, now };
        world.update_backups(&active);
        world.change(&active);
        world.expire_entries(&active);
        world.heartbeat(&active);
        for number in 0..RELAYS.len() {
            if !active.is_active(Fault::Paused { relay: number }) {
                let mut relay_world =
                    RelayWorld { store: &mut world.store, messages: &mut world.messages };
                world.relays[number].advance(&active, &mut relay_world, now);
            }
        }
        world.record_knowledge();
        world.record_listed(now);
        world.check_offered(&mut violations);
        world.check(&active, &mut violations);
        now += TICK;
    }
    violations
}

impl World<'_> {
    /// Takes backups of the store, and restores it from them.
    fn update_backups(&mut self, active: &ActiveFaults<'_>) {
        let now = active.now;
        let ends = |one: &&Timed<Fault>| now / TICK == (one.at + one.duration) / TICK;
        for one in self.scenario.faults.iter().filter(ends) {
            let Fault::Restore { age } = one.what else { continue };
            let is_old = |backup: &&(Millis, ModelStore)| backup.0 + age <= one.at;
            let backup = self.backups.iter().rev().find(is_old).or(self.backups.first());
            let (_, backup) = backup.expect("a backup from the start");
            self.store.restore_backup(backup);
            self.write_again(now);
        }
        let backups =
            self.scenario.faults.iter().any(|one| matches!(one.what, Fault::Restore { .. }));
        if backups && now.is_multiple_of(BACKUP_INTERVAL) && !active.is_down() {
            self.backups.push((now, self.store.clone()));
        }
    }

    /// Lets the operator and the replicas write their objects again, within a heartbeat; the entry
    /// of a replica that has ended expires.
    fn write_again(&mut self, now: Millis) {
        self.config_rewrite_at = Some(now + HEARTBEAT / 2);
        for number in 0..REPLICAS {
            let ended = match self.leaving_since[number] {
                Some((at, _)) => self.removed[number] || now > at + DRAIN_TIME,
                None => false,
            };
            let heartbeat = now + HEARTBEAT * (number as Millis + 1) / REPLICAS as Millis;
            self.rewrite_at[number] = (!ended).then_some(heartbeat);
            self.expires_at[number] = ended.then_some(now + ENTRY_TTL);
        }
    }

    fn change(&mut self, active: &ActiveFaults<'_>) {
        let now = active.now;
        let due = self.scenario.changes.iter().filter(|change| change.at / TICK == now / TICK);
        for change in due {
            let down = active.is_down();
            if let Change::Restart { replica, late_heartbeat } = change.what {
                self.restart(replica, late_heartbeat, now);
            }
            if down {
                continue;
            }
            match change.what {
                Change::Restart { .. } => {}
                Change::Overwrite(number) => {
                    let foreign = ReplicaEntry {
                        state: EntryState::Overwritten,
                        ..self.store.known(number).clone()
                    };
                    self.store.overwrite(number, foreign);
                    self.heartbeat_at[number] = Some(now + HEARTBEAT);
                    self.foreign_until[number] = now + HEARTBEAT;
                }
                Change::Drain(number) if self.leaving_since[number].is_none() => {
                    if self.store.update(number, |entry| entry.state = EntryState::Draining) {
                        self.leaving_since[number] = Some((now, active.is_stable()));
                    }
                }
                Change::Remove(number) if self.leaving_since[number].is_none() => {
                    if self.store.remove(number) {
                        self.leaving_since[number] = Some((now, active.is_stable()));
                        self.removed[number] = true;
                    }
                }
                Change::Drain(_) | Change::Remove(_) => {}
                // A removed replica writes nothing, even if a backup of the store contains it.
                Change::Reload(number) if self.removed[number] => {}
                Change::Reload(number) => {
                    self.store.update(number, |entry| {
                        let from = entry.layers.map_or(0, |range| (range.from + 1) % 70);
                        entry.layers = Some(LayerRange { from, to: from + 10 });
                    });
                }
                Change::Configure => {
                    self.versions.push((now, active.is_stable()));
                    self.store.configure(self.newest_version());
                }
            }
        }
    }

    /// Returns the newest version that the operator wrote.
    fn newest_version(&self) -> u64 {
        self.versions.len() as u64 + 1
    }

    fn restart(&mut self, number: usize, late_heartbeat: bool, now: Millis) {
        if self.leaving_since[number].is_some() {
            return;
        }
        let before = self.store.restart(number);
        self.heartbeat_at[number] = Some(now + START_TIME);
        if late_heartbeat {
            self.late_heartbeats.push((now + START_TIME + HEARTBEAT / 2, number, before));
        }
    }

    /// Lets the replicas write their entries.
    fn heartbeat(&mut self, active: &ActiveFaults<'_>) {
        let now = active.now;
        if active.is_down() {
            return;
        }
        if self.config_rewrite_at.is_some_and(|at| now >= at) {
            self.config_rewrite_at = None;
            self.store.configure(self.newest_version());
        }
        for number in 0..REPLICAS {
            if self.expires_at[number].is_some_and(|at| now >= at) {
                self.expires_at[number] = None;
                self.expired_at[number] = Some(now);
                self.store.remove(number);
            }
        }
        for number in 0..REPLICAS {
            if self.heartbeat_at[number].is_some_and(|at| now >= at) {
                self.heartbeat_at[number] = None;
                let listed =
                    self.leaving_since[number].is_none_or(|_| self.store.is_listed(number));
                let is_alive = listed && !self.removed[number];
                if is_alive && self.rewrite_at[number].is_none() {
                    self.store.write_entry(number);
                }
            }
        }
        for (_, number, before) in self.late_heartbeats.extract_if(.., |(at, ..)| now >= *at) {
            self.store.overwrite(number, before);
            self.heartbeat_at[number] = Some(now + HEARTBEAT);
        }
    }

    /// Lets entries expire in a long outage, and be written again after it.
    fn expire_entries(&mut self, active: &ActiveFaults<'_>) {
        let now = active.now;
        for one in active.faults.iter().filter(|one| matches!(one.what, Fault::Outage { .. })) {
            let end = one.at + one.duration;
            if one.duration > ENTRY_TTL && now / TICK == (one.at + ENTRY_TTL) / TICK {
                for number in 0..REPLICAS {
                    // Some are written again soon, some late. Leaving replicas need not write
                    // theirs again, and a removed one writes nothing, even if a backup of the store
                    // contains it.
                    let rewritten_at =
                        end + REWRITE_TIME * (number as Millis * 2 + 1) / (2 * REPLICAS as Millis);
                    let may_stay_absent =
                        self.leaving_since[number].is_some() && number.is_multiple_of(2);
                    let stays_absent = may_stay_absent || self.removed[number];
                    let is_rewritten =
                        self.store.remove(number) || self.rewrite_at[number].is_some();
                    self.rewrite_at[number] =
                        (is_rewritten && !stays_absent).then_some(rewritten_at);
                }
            }
        }
        let down = active.is_down();
        for number in 0..REPLICAS {
            if !down && self.rewrite_at[number].is_some_and(|rewritten_at| now >= rewritten_at) {
                self.rewrite_at[number] = None;
                self.store.write_entry(number);
            }
        }
    }

    fn record_knowledge(&mut self) {
        for (relay, knew) in self.relays.iter().zip(&mut self.knew) {
            for (number, knows) in knew.iter_mut().enumerate() {
                *knows |= self.leaving_since[number].is_some() && relay.knows_leaving(number);
            }
        }
    }

    /// Returns whether a relay has no source for the fact that a replica left: the replica has
    /// ended, and a backup from before its leaving lists it until its heartbeats are missed. A
    /// relay that has known it must not lose that.
    fn cannot_know(&self, relay: usize, number: usize, now: Millis) -> bool {
        let is_due = |at: Millis| now <= at + BOUND;
        let may_be_listed =
            self.expires_at[number].is_some() || self.expired_at[number].is_some_and(is_due);
        may_be_listed && !self.knew[relay][number]
    }

    fn check(&self, active: &ActiveFaults<'_>, violations: &mut Violations) {
        for (number, relay) in self.relays.iter().enumerate() {
            if !active.is_in_contact(number) {
                continue;
            }
            self.check_leaving(active.now, number, violations);
            self.check_config(active.now, relay, violations);
            self.check_missing(active, relay, violations);
            self.check_ended(active.now, relay, violations);
        }
    }

    fn check_leaving(&self, now: Millis, relay_number: usize, violations: &mut Violations) {
        let relay = &self.relays[relay_number];
        for (number, leaving_since) in self.leaving_since.iter().enumerate() {
            let Some((at, true)) = *leaving_since else { continue };
            let cannot_know = self.cannot_know(relay_number, number, now);
            if now > at + BOUND && relay.offers(number) && !cannot_know {
                let what = format!("{} offers i-{number} {} ms after", relay.name(), now - at);
                violations.leaving.push(what);
            }
        }
    }

    fn check_config(&self, now: Millis, relay: &ModelRelay, violations: &mut Violations) {
        for (index, (at, stable)) in self.versions.iter().enumerate() {
            let version = index as u64 + 2;
            if *stable && now > at + BOUND && relay.config_version() < version {
                let late = now - at;
                let what = format!("{} has no version {version} {late} ms after", relay.name());
                violations.config.push(what);
            }
        }
    }

    fn record_listed(&mut self, now: Millis) {
        for (number, listed_instance) in self.listed_instance.iter_mut().enumerate() {
            let start = self.store.known(number).instance.started_at();
            let before = listed_instance.filter(|listed_instance| listed_instance.start == start);
            let is_listed_now = self.store.shows_present(number);
            *listed_instance =
                is_listed_now.then(|| before.unwrap_or(ListedInstance { start, since: now }));
        }
    }

    /// A restart counts from the moment at which the store lists it.
    fn check_ended(&self, now: Millis, relay: &ModelRelay, violations: &mut Violations) {
        for number in 0..REPLICAS {
            let Some(ListedInstance { since, .. }) = self.listed_instance[number] else { continue };
            let instance = &self.store.known(number).instance;
            if now > since + BOUND && relay.offers_earlier(number, instance) {
                let late = now - since;
                let what = format!("{} offers an earlier i-{number} {late} ms after", relay.name());
                violations.ended.push(what);
            }
        }
    }

    /// A relay that used an instance of a replica uses no earlier one again, in contact or not.
    fn check_offered(&mut self, violations: &mut Violations) {
        for (relay, offered) in self.relays.iter().zip(&mut self.offered) {
            for (number, latest) in offered.iter_mut().enumerate() {
                let Some(start) = relay.offered_start(number) else { continue };
                if start < *latest {
                    violations
                        .ended
                        .push(format!("{} offers an earlier i-{number} again", relay.name()));
                }
                *latest = start.max(*latest);
            }
        }
    }

    fn check_missing(
        &self,
        active: &ActiveFaults<'_>,
        relay: &ModelRelay,
        violations: &mut Violations,
    ) {
        let is_undisturbed = !active.any(CONTACT + BOUND, |_| true);
        for number in (0..REPLICAS).filter(|number| self.leaving_since[*number].is_none()) {
            let is_undisturbed = is_undisturbed && active.now > self.foreign_until[number] + BOUND;
            if is_undisturbed && active.now > CONTACT + BOUND && !relay.offers(number) {
                violations.missing.push(format!(
                    "{} lacks i-{number} at {}",
                    relay.name(),
                    active.now
                ));
            }
        }
    }
}
