//! Admission: who goes next, and who is refused at once.
//!
//! Three orders stand one inside the other: strict priority between classes, deficit round robin
//! between the organisations of a class, and earliest deadline within an organisation. A request
//! whose deadline cannot be met at the present service rate is refused when it arrives, which is when
//! the refusal is worth most to the caller.
//!
//! Worst cases: `push`, `pop` and `remove` take the logarithm of an organisation's queue, plus, for
//! `pop`, one turn of the ring for each `quantum` that the cheapest head costs.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use crate::{Millis, id::RequestId};

/// Cost that one organisation may use in one turn.
pub const QUANTUM_TOKENS: u64 = 64;

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// The request.
    pub id: RequestId,
    /// Organisation that sent it.
    pub organisation: Arc<str>,
    /// Priority of its class; a higher one goes first.
    pub priority: u8,
    /// When it is of no use any more.
    pub deadline: Millis,
    /// When it arrived.
    pub queued_at: Millis,
    /// Expected work, in tokens.
    pub cost: u64,
    /// Share of the organisation, at least 1.
    pub weight: u64,
}

#[derive(Debug, Default)]
struct OrganisationQueue {
    entries: BTreeMap<EntryKey, QueueEntry>,
    deficit: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EntryKey {
    deadline: Millis,
    id: RequestId,
}

#[derive(Debug, Default)]
struct ClassQueue {
    organisations: HashMap<Arc<str>, OrganisationQueue>,
    ring: VecDeque<Arc<str>>,
    len: usize,
}

/// Where a waiting request stands, to find it again.
#[derive(Clone, Debug)]
struct EntryPlace {
    priority: u8,
    organisation: Arc<str>,
    key: EntryKey,
}

/// Requests that wait for one model or service.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<Reverse<u8>, ClassQueue>,
    places: HashMap<RequestId, EntryPlace>,
}

impl AdmissionQueue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request; one that waits already is left as it is.
    pub fn push(&mut self, entry: QueueEntry) {
        if self.places.contains_key(&entry.id) {
            return;
        }
        let key = EntryKey { deadline: entry.deadline, id: entry.id };
        let place = EntryPlace {
            priority: entry.priority,
            organisation: Arc::clone(&entry.organisation),
            key,
        };
        self.places.insert(entry.id, place);
        self.classes.entry(Reverse(entry.priority)).or_default().push(key, entry);
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<QueueEntry> {
        let mut occupied = self.classes.values_mut();
        let class = occupied.find(|class| class.len > 0)?;
        let entry = class.pop()?;
        self.places.remove(&entry.id);
        Some(entry)
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, id: RequestId) -> Option<QueueEntry> {
        let place = self.places.remove(&id)?;
        let class = self.classes.get_mut(&Reverse(place.priority))?;
        class.remove(&place.organisation, &place.key)
    }

    /// Takes out every request whose deadline has passed. Linear in organisations plus the result.
    pub fn expire(&mut self, now: Millis) -> Vec<QueueEntry> {
        let mut late = Vec::new();
        for class in self.classes.values() {
            for queue in class.organisations.values() {
                let passed = queue.entries.values().take_while(|entry| entry.deadline <= now);
                late.extend(passed.map(|entry| entry.id));
            }
        }
        late.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Count of requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Count of requests that go before one of this priority.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let ahead = self.classes.range(..=Reverse(priority));
        ahead.map(|(_, class)| class.len).sum()
    }

    /// Counts what waits, by organisation.
    pub fn by_organisation(&self) -> BTreeMap<Arc<str>, usize> {
        let mut counts = BTreeMap::new();
        for place in self.places.values() {
            *counts.entry(Arc::clone(&place.organisation)).or_default() += 1;
        }
        counts
    }

    /// Counts what waits, by priority.
    pub fn by_priority(&self) -> BTreeMap<u8, usize> {
        self.classes.iter().map(|(priority, class)| (priority.0, class.len)).collect()
    }
}

impl ClassQueue {
    fn push(&mut self, key: EntryKey, entry: QueueEntry) {
        let organisation = Arc::clone(&entry.organisation);
        let queue = self.organisations.entry(Arc::clone(&organisation)).or_default();
        if queue.entries.is_empty() {
            self.ring.push_back(organisation);
        }
        queue.entries.insert(key, entry);
        self.len += 1;
    }

    fn pop(&mut self) -> Option<QueueEntry> {
        loop {
            let organisation = self.ring.front()?;
            let queue = self.organisations.get_mut(organisation)?;
            let head = queue.entries.first_entry()?;
            let cost = head.get().cost.max(1);
            if cost <= queue.deficit {
                queue.deficit -= cost;
                let entry = head.remove();
                self.len -= 1;
                self.close_if_empty(&entry.organisation);
                return Some(entry);
            }
            queue.deficit += QUANTUM_TOKENS * head.get().weight.max(1);
            self.ring.rotate_left(1);
        }
    }

    fn remove(&mut self, organisation: &Arc<str>, key: &EntryKey) -> Option<QueueEntry> {
        let queue = self.organisations.get_mut(organisation)?;
        let entry = queue.entries.remove(key)?;
        self.len -= 1;
        self.close_if_empty(organisation);
        Some(entry)
    }

    /// An organisation with nothing waiting keeps no deficit: idling earns nothing.
    fn close_if_empty(&mut self, organisation: &Arc<str>) {
        let is_empty = |queue: &OrganisationQueue| queue.entries.is_empty();
        if self.organisations.get(organisation).is_some_and(is_empty) {
            self.organisations.remove(organisation);
            self.ring.retain(|name| name != organisation);
        }
    }
}

/// Weight of the newest interval in the mean, in thousandths.
const NEWEST_THOUSANDTHS: u64 = 300;

/// How long one interval of the mean is.
const INTERVAL: Millis = 250;

/// How many requests a second are being served, as a moving mean.
#[derive(Clone, Debug, Default)]
pub struct ServiceRate {
    interval_start: Millis,
    served: u64,
    milli_per_s: Option<u64>,
}

impl ServiceRate {
    /// Notes that `count` requests were served, while others waited.
    pub fn record(&mut self, now: Millis, count: u64) {
        self.advance(now);
        self.served += count;
    }

    /// Requests a thousand seconds, or nothing before the first whole interval.
    pub fn milli_per_s(&self) -> Option<u64> {
        self.milli_per_s
    }

    /// Ends the interval where it has passed.
    pub fn advance(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.interval_start);
        if passed < INTERVAL {
            return;
        }
        let newest = self.served * 1_000_000 / passed;
        self.milli_per_s = match self.milli_per_s {
            None if self.served == 0 => None,
            None => Some(newest),
            Some(mean) => {
                let old = mean * (1_000 - NEWEST_THOUSANDTHS);
                Some((old + newest * NEWEST_THOUSANDTHS) / 1_000)
            }
        };
        self.served = 0;
        self.interval_start = now;
    }

    /// How long a request waits that has `ahead` others before it, where the rate is known.
    pub fn estimated_wait(&self, ahead: usize) -> Option<Millis> {
        let rate = self.milli_per_s?;
        Some((ahead as u64 * 1_000_000) / rate.max(1))
    }
}
