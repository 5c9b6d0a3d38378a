//! Admission queue: which request is dispatched next.
//!
//! Scheduling has three levels: strict priority between classes, deficit round robin between the
//! organisations of a class, and earliest deadline first within an organisation. [`ServiceRate`]
//! estimates the wait, so that a request whose deadline cannot be met is refused when it arrives,
//! when the caller has the most time left to react.
//!
//! Worst cases: `push`, `pop` and `remove` are logarithmic in the length of an organisation's
//! queue. Emptying that queue is also linear in the organisations of the class, and `pop` makes one
//! pass over them for each quantum that the cheapest head costs.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use crate::{Millis, id::RequestId};

/// Cost in tokens, per unit of weight, that an organisation may use in each round.
pub const QUANTUM_TOKENS: u64 = 64;

/// A waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// Identifier of the request.
    pub id: RequestId,
    /// Organisation that sent it.
    pub organisation: Arc<str>,
    /// Priority of its class; a higher one goes first.
    pub priority: u8,
    /// Time after which the request is no longer useful to the caller.
    pub deadline: Millis,
    /// Time of arrival.
    pub queued_at: Millis,
    /// Expected work, in tokens.
    pub cost: u64,
    /// Weight of the organisation in the round robin; 0 counts as 1.
    pub weight: u64,
}

#[derive(Debug, Default)]
struct OrganisationQueue {
    entries: BTreeMap<EntryKey, QueueEntry>,
    /// Cost in tokens that the organisation may still use before its next turn.
    deficit: u64,
}

/// Order of the requests of an organisation: by deadline, then by id.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EntryKey {
    deadline: Millis,
    id: RequestId,
}

#[derive(Debug, Default)]
struct ClassQueue {
    organisations: HashMap<Arc<str>, OrganisationQueue>,
    /// Organisations with waiting requests, in round-robin order.
    rotation: VecDeque<Arc<str>>,
    len: usize,
}

/// Location of a waiting request in the queues, for removal by id.
#[derive(Clone, Debug)]
struct EntryLocation {
    priority: u8,
    organisation: Arc<str>,
    key: EntryKey,
}

/// Requests waiting for one model or service.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<Reverse<u8>, ClassQueue>,
    locations: HashMap<RequestId, EntryLocation>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request. Has no effect if a request with the same id is waiting.
    pub fn push(&mut self, entry: QueueEntry) {
        if self.locations.contains_key(&entry.id) {
            return;
        }
        let key = EntryKey { deadline: entry.deadline, id: entry.id };
        let location = EntryLocation {
            priority: entry.priority,
            organisation: Arc::clone(&entry.organisation),
            key,
        };
        self.locations.insert(entry.id, location);
        self.classes.entry(Reverse(entry.priority)).or_default().push(key, entry);
    }

    /// Removes and returns the request to dispatch next, or `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<QueueEntry> {
        let mut classes = self.classes.values_mut();
        let class = classes.find(|class| class.len > 0)?;
        let entry = class.pop()?;
        self.locations.remove(&entry.id);
        Some(entry)
    }

    /// Removes a request, whatever its position. Returns `None` if it is not waiting.
    pub fn remove(&mut self, id: RequestId) -> Option<QueueEntry> {
        let location = self.locations.remove(&id)?;
        let class = self.classes.get_mut(&Reverse(location.priority))?;
        class.remove(&location.organisation, &location.key)
    }

    /// Removes and returns all requests whose deadline has passed. Linear in organisations plus the
    /// result.
    pub fn expire(&mut self, now: Millis) -> Vec<QueueEntry> {
        let mut expired = Vec::new();
        for class in self.classes.values() {
            for queue in class.organisations.values() {
                let passed = queue.entries.values().take_while(|entry| entry.deadline <= now);
                expired.extend(passed.map(|entry| entry.id));
            }
        }
        expired.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the number of waiting requests with at least this priority: those that are
    /// dispatched before a new one.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let ahead = self.classes.range(..=Reverse(priority));
        ahead.map(|(_, class)| class.len).sum()
    }

    /// Returns the number of waiting requests of each organisation.
    pub fn by_organisation(&self) -> BTreeMap<Arc<str>, usize> {
        let mut counts = BTreeMap::new();
        for location in self.locations.values() {
            *counts.entry(Arc::clone(&location.organisation)).or_default() += 1;
        }
        counts
    }

    /// Returns the number of waiting requests of each priority.
    pub fn by_priority(&self) -> BTreeMap<u8, usize> {
        self.classes.iter().map(|(priority, class)| (priority.0, class.len)).collect()
    }
}

impl ClassQueue {
    fn push(&mut self, key: EntryKey, entry: QueueEntry) {
        let organisation = Arc::clone(&entry.organisation);
        let queue = self.organisations.entry(Arc::clone(&organisation)).or_default();
        if queue.entries.is_empty() {
            self.rotation.push_back(organisation);
        }
        queue.entries.insert(key, entry);
        self.len += 1;
    }

    fn pop(&mut self) -> Option<QueueEntry> {
        loop {
            let organisation = self.rotation.front()?;
            let queue = self.organisations.get_mut(organisation)?;
            let head = queue.entries.first_entry()?;
            let cost = head.get().cost.max(1);
            if cost <= queue.deficit {
                queue.deficit -= cost;
                let entry = head.remove();
                self.len -= 1;
                self.remove_if_empty(&entry.organisation);
                return Some(entry);
            }
            queue.deficit += QUANTUM_TOKENS * head.get().weight.max(1);
            self.rotation.rotate_left(1);
        }
    }

    fn remove(&mut self, organisation: &Arc<str>, key: &EntryKey) -> Option<QueueEntry> {
        let queue = self.organisations.get_mut(organisation)?;
        let entry = queue.entries.remove(key)?;
        self.len -= 1;
        self.remove_if_empty(organisation);
        Some(entry)
    }

    /// Removes an organisation with no waiting requests from the round robin. Its deficit is
    /// dropped, so an idle organisation does not accumulate credit.
    fn remove_if_empty(&mut self, organisation: &Arc<str>) {
        let is_empty = |queue: &OrganisationQueue| queue.entries.is_empty();
        if self.organisations.get(organisation).is_some_and(is_empty) {
            self.organisations.remove(organisation);
            self.rotation.retain(|name| name != organisation);
        }
    }
}

/// Weight of the newest interval in the exponential moving average, in thousandths.
const NEWEST_WEIGHT_THOUSANDTHS: u64 = 300;

/// Length of one interval of the moving average, in milliseconds.
const INTERVAL_MS: Millis = 250;

/// Exponential moving average of the rate at which requests are served.
#[derive(Clone, Debug, Default)]
pub struct ServiceRate {
    interval_start: Millis,
    served: u64,
    milli_per_s: Option<u64>,
}

impl ServiceRate {
    /// Records that `count` requests were served while others were waiting.
    pub fn record(&mut self, now: Millis, count: u64) {
        self.advance(now);
        self.served += count;
    }

    /// Returns the rate in requests per thousand seconds, or `None` before the first complete
    /// interval in which requests were served.
    pub fn milli_per_s(&self) -> Option<u64> {
        self.milli_per_s
    }

    /// Updates the average if the current interval has ended.
    pub fn advance(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.interval_start);
        if passed < INTERVAL_MS {
            return;
        }
        let newest = self.served * 1_000_000 / passed;
        self.milli_per_s = match self.milli_per_s {
            None if self.served == 0 => None,
            None => Some(newest),
            Some(mean) => {
                let old = mean * (1_000 - NEWEST_WEIGHT_THOUSANDTHS);
                Some((old + newest * NEWEST_WEIGHT_THOUSANDTHS) / 1_000)
            }
        };
        self.served = 0;
        self.interval_start = now;
    }

    /// Returns the expected wait of a request with `ahead` others before it, or `None` while the
    /// rate is unknown.
    pub fn estimated_wait(&self, ahead: usize) -> Option<Millis> {
        let rate = self.milli_per_s?;
        Some((ahead as u64 * 1_000_000) / rate.max(1))
    }
}
