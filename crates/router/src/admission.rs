//! Orders the requests that wait for capacity at a relay.
//!
//! Streams of a ranked service that find no path with free capacity wait in one queue for each
//! service. Without an order, whichever request polls next after capacity is freed gets it, and the
//! most urgent class is served worst. The order:
//!
//! | step | which requests go first | reason |
//! |---|---|---|
//! | 1 | a rank that would get less than one in eight admissions | no class starves |
//! | 2 | those that can still be on time | a late response is worth a fraction of one on time |
//! | 3 | the more urgent rank | it is worth most |
//! | 4 | organisations in turn, the least admitted first | a busy one does not displace the others |
//! | 5 | earliest latest start; if late, latest leave | most are on time; callers are still there |
//!
//! A request may need more memory than is free, so the caller tries several. To stay cheap,
//! [`AdmissionQueue::candidates`] lists at most [`MAX_CANDIDATES`]: for each rank, the first ones
//! in order and the smallest one. If the smallest one does not fit, none of its rank does, and a less
//! urgent rank passes over nobody. A small request may overtake a large one of its own rank.
//!
//! Cost: joining and leaving take logarithmic time. Listing candidates takes time proportional to
//! the organisations that wait, plus the requests that became late since the last join or
//! admission. Worst case: each request is of an organisation of its own, and listing is linear.

use std::{
    array,
    collections::{BTreeSet, HashMap},
    ops::Bound,
    sync::Arc,
};

mod estimates;
mod listing;
mod request;
mod turns;
mod waiting;

use self::{
    estimates::{DecayedRate, FirstEventTimes, RecentCount},
    turns::RankTurns,
    waiting::{Entry, EntryState, Organisation, RankQueue},
};
pub use self::{
    listing::MAX_CANDIDATES,
    request::{MAX_WAITING, QueueConfig, QueueRefusal, QueuedRequest, Ticket},
};
use crate::Millis;

/// Number of ranks; the most urgent one is 0.
pub const RANKS: usize = 10;

/// Number of admissions from which their rate is known. The gaps between the first few say little.
const MIN_RATE_ADMISSIONS: u32 = 4;

/// Requests of one service that wait for capacity.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    config: QueueConfig,
    next_ticket: u64,
    entries: HashMap<Ticket, Entry>,
    ranks: [RankQueue; RANKS],
    /// Latest starts of the requests in state [`EntryState::OnTime`].
    starts: BTreeSet<(Millis, Ticket)>,
    /// Ends of the waits of all requests that were not displaced.
    ends: BTreeSet<(Millis, Ticket)>,
    displaced: BTreeSet<Ticket>,
    turns: RankTurns,
    organisations: HashMap<Organisation, RecentCount>,
    joins: [DecayedRate; RANKS],
    admissions: DecayedRate,
    /// Number of admissions so far.
    admitted: u32,
    first_events: FirstEventTimes,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            next_ticket: 0,
            entries: HashMap::new(),
            ranks: array::from_fn(|_| RankQueue::default()),
            starts: BTreeSet::new(),
            ends: BTreeSet::new(),
            displaced: BTreeSet::new(),
            turns: RankTurns::default(),
            organisations: HashMap::new(),
            joins: [DecayedRate::default(); RANKS],
            admissions: DecayedRate::default(),
            admitted: 0,
            first_events: FirstEventTimes::default(),
        }
    }

    /// Adds a request. If the queue is full, the last request in order is displaced: if that is
    /// another one, it is due from now on.
    ///
    /// # Errors
    ///
    /// Returns why the request is to be refused at once.
    pub fn join(&mut self, request: QueuedRequest, now: Millis) -> Result<Ticket, QueueRefusal> {
        if request.leaves_at <= now {
            return Err(QueueRefusal::Expired);
        }
        self.advance(now);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let rank = usize::from(request.rank).min(RANKS - 1);
        // A request whose caller has left is never on time.
        let latest_start = request.latest_start.min(request.leaves_at - 1);
        let state = if now <= latest_start { EntryState::OnTime } else { EntryState::Late };
        let entry = Entry {
            rank,
            organisation: request.organisation.map(Arc::from),
            tokens: request.tokens.max(0.0).ceil() as u64,
            latest_start,
            leaves_at: request.leaves_at,
            state,
        };
        if self.ranks[rank].len() == 0 {
            self.turns.begin(rank);
        }
        self.insert(ticket, entry);
        if self.ends.len() > self.config.max_waiting
            && let Some(last) = self.last_in_order(now)
        {
            if last == ticket {
                self.remove(ticket);
                return Err(QueueRefusal::Full);
            }
            self.displace(last);
        }
        self.joins[rank].record();
        Ok(ticket)
    }

    /// Removes a request that was dispatched and counts it as admitted. Ignores unknown tickets.
    pub fn admit(&mut self, ticket: Ticket, now: Millis) {
        self.advance(now);
        let Some(entry) = self.remove(ticket) else { return };
        self.turns.record(entry.rank, |rank| self.ranks[rank].len() > 0);
        self.organisations.entry(entry.organisation).or_default().record(now);
        self.admissions.record();
        self.admitted = self.admitted.saturating_add(1);
    }

    /// Removes a request whose caller has left or that is refused. Ignores unknown tickets.
    pub fn leave(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Returns the requests whose wait has ended at `now`, and those that were displaced, until
    /// they leave.
    pub fn due(&self, now: Millis) -> Vec<Ticket> {
        let ended = self.ends.range(..=(now, Ticket(u64::MAX))).map(|(_, ticket)| *ticket);
        self.displaced.iter().copied().chain(ended).collect()
    }

    /// Returns whether a request is due because the queue was full, not because its wait ended.
    pub fn is_displaced(&self, ticket: Ticket) -> bool {
        self.displaced.contains(&ticket)
    }

    /// Returns the number of waiting requests by rank, without displaced ones.
    pub fn depth_by_rank(&self) -> [usize; RANKS] {
        array::from_fn(|rank| self.ranks[rank].len())
    }

    /// Returns the time at which a request of this rank that joins now can expect to be dispatched,
    /// if it can be on time; `None` as long as the rate of admissions is unknown.
    ///
    /// Requests that go before it are those on time of its rank and more urgent ones, and more
    /// urgent ones that join at the present rate while it waits. In the worst case, its rank gets
    /// one in eight admissions.
    pub fn expected_start(&self, rank: u8, now: Millis) -> Option<Millis> {
        let per_second = self.admissions_per_second(now)?;
        let rank = usize::from(rank).min(RANKS - 1);
        let on_time = self.on_time_depths(&self.newly_late(now));
        let ahead: usize = on_time[..=rank].iter().sum();
        let goes_after = |other: usize| other > rank || on_time[other] == 0;
        let others = (0..RANKS)
            .filter(|other| *other != rank && goes_after(*other) && self.ranks[*other].len() > 0);
        let joining: f64 = self.joins[..rank].iter().map(|rate| rate.per_second(true, now)).sum();
        let by_order = per_second * RankTurns::remaining_share(others.count()) - joining;
        let by_share = per_second * RankTurns::min_share();
        let wait = |ahead: usize, rate: f64| (ahead as f64 + 1.0) * 1_000.0 / rate.max(0.0);
        let wait = wait(ahead, by_order).min(wait(on_time[rank], by_share));
        Some(now.saturating_add(wait as Millis))
    }

    /// Returns the rate at which requests that wait are admitted, or `None` before a few were. Time
    /// in which none waits is not counted.
    pub fn admissions_per_second(&self, now: Millis) -> Option<f64> {
        let is_known = self.admitted >= MIN_RATE_ADMISSIONS;
        is_known.then(|| self.admissions.per_second(!self.ends.is_empty(), now))
    }

    /// Records that the first event of a request came `took` milliseconds after it was sent.
    pub fn record_first_event(&mut self, took: Millis, now: Millis) {
        self.first_events.record(took, now);
    }

    /// Returns the usual time from sending a request to its first event, in milliseconds: a high
    /// percentile of the recent ones, bounded to 10% to 60% of the objective.
    pub fn usual_first_event(&self, objective: Millis) -> Millis {
        self.first_events.usual(objective)
    }

    fn insert(&mut self, ticket: Ticket, entry: Entry) {
        self.ranks[entry.rank].insert(ticket, &entry);
        if entry.state == EntryState::OnTime {
            self.starts.insert((entry.latest_start, ticket));
        }
        self.ends.insert((entry.leaves_at, ticket));
        self.entries.insert(ticket, entry);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        self.ranks[entry.rank].remove(ticket, &entry);
        self.starts.remove(&(entry.latest_start, ticket));
        self.ends.remove(&(entry.leaves_at, ticket));
        self.displaced.remove(&ticket);
        Some(entry)
    }

    fn displace(&mut self, ticket: Ticket) {
        if let Some(entry) = self.remove(ticket) {
            self.displaced.insert(ticket);
            self.entries.insert(ticket, Entry { state: EntryState::Displaced, ..entry });
        }
    }

    /// Advances the rates to `now`, and moves the requests that became late among the late ones.
    fn advance(&mut self, now: Millis) {
        self.admissions.advance(!self.ends.is_empty(), now);
        for joins in &mut self.joins {
            joins.advance(true, now);
        }
        for ticket in self.newly_late(now) {
            if let Some(entry) = self.remove(ticket) {
                self.insert(ticket, Entry { state: EntryState::Late, ..entry });
            }
        }
        self.organisations.retain(|_, admissions| admissions.count(now) > 0);
    }

    /// Returns the requests in state [`EntryState::OnTime`] that are late by now.
    fn newly_late(&self, now: Millis) -> Vec<Ticket> {
        let past = (Bound::Unbounded, Bound::Excluded((now, Ticket(0))));
        self.starts.range(past).map(|(_, ticket)| *ticket).collect()
    }

    fn on_time_depths(&self, newly_late: &[Ticket]) -> [usize; RANKS] {
        let mut depths = array::from_fn(|rank| self.ranks[rank].on_time_len());
        for ticket in newly_late {
            depths[self.entries[ticket].rank] -= 1;
        }
        depths
    }
}
