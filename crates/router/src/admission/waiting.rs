//! The requests of one rank that wait, in order.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::Arc,
};

use super::Ticket;
use crate::Millis;

/// Organisation of a request; `None` if it has none.
pub(super) type Organisation = Option<Arc<str>>;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) rank: usize,
    pub(super) organisation: Organisation,
    pub(super) tokens: u64,
    pub(super) latest_start: Millis,
    pub(super) leaves_at: Millis,
    pub(super) state: EntryState,
}

/// Where an entry stands in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// Among those that could be on time when last checked.
    OnTime,
    /// Among those that are late.
    Late,
    /// In no order any more: a more eligible request took its place.
    Displaced,
}

/// Requests of one rank.
#[derive(Clone, Debug, Default)]
pub(super) struct RankQueue {
    /// Requests that can be on time, by latest start.
    on_time: BTreeMap<Organisation, BTreeSet<(Millis, Ticket)>>,
    on_time_sizes: BTreeSet<(u64, Ticket)>,
    /// Requests that are late, by the time at which they leave; the last one goes first.
    late: BTreeSet<(Millis, Reverse<Ticket>)>,
    late_sizes: BTreeSet<(u64, Ticket)>,
}

impl RankQueue {
    pub(super) fn insert(&mut self, ticket: Ticket, entry: &Entry) {
        match entry.state {
            EntryState::OnTime => {
                let requests = self.on_time.entry(entry.organisation.clone()).or_default();
                requests.insert((entry.latest_start, ticket));
                self.on_time_sizes.insert((entry.tokens, ticket));
            }
            EntryState::Late => {
                self.late.insert((entry.leaves_at, Reverse(ticket)));
                self.late_sizes.insert((entry.tokens, ticket));
            }
            EntryState::Displaced => {}
        }
    }

    pub(super) fn remove(&mut self, ticket: Ticket, entry: &Entry) {
        match entry.state {
            EntryState::OnTime => {
                if let Some(requests) = self.on_time.get_mut(&entry.organisation) {
                    requests.remove(&(entry.latest_start, ticket));
                    if requests.is_empty() {
                        self.on_time.remove(&entry.organisation);
                    }
                }
                self.on_time_sizes.remove(&(entry.tokens, ticket));
            }
            EntryState::Late => {
                self.late.remove(&(entry.leaves_at, Reverse(ticket)));
                self.late_sizes.remove(&(entry.tokens, ticket));
            }
            EntryState::Displaced => {}
        }
    }

    pub(super) fn len(&self) -> usize {
        self.on_time_sizes.len() + self.late_sizes.len()
    }

    /// Returns the number of requests that could be on time when last checked.
    pub(super) fn on_time_len(&self) -> usize {
        self.on_time_sizes.len()
    }

    /// Returns the first `limit` requests that can be on time, organisations in turn: each request
    /// listed counts as an admission of its organisation.
    pub(super) fn first_on_time(
        &self,
        limit: usize,
        admissions: impl Fn(&Organisation) -> u32,
        now: Millis,
    ) -> Vec<Ticket> {
        let mut cursors = Vec::with_capacity(self.on_time.len());
        let mut heads = Vec::with_capacity(self.on_time.len());
        for (organisation, requests) in &self.on_time {
            let mut cursor = requests.range((now, Ticket(0))..);
            if let Some(head) = cursor.next() {
                heads.push(Reverse((admissions(organisation), *head, cursors.len())));
                cursors.push(cursor);
            }
        }
        let mut heads = BinaryHeap::from(heads);
        let mut tickets = Vec::with_capacity(limit);
        while tickets.len() < limit
            && let Some(Reverse((count, (_, ticket), index))) = heads.pop()
        {
            tickets.push(ticket);
            if let Some(next) = cursors[index].next() {
                heads.push(Reverse((count + 1, *next, index)));
            }
        }
        tickets
    }

    /// Returns late requests, the one that leaves last first.
    pub(super) fn late(&self) -> impl Iterator<Item = (Millis, Reverse<Ticket>)> {
        self.late.iter().rev().copied()
    }

    /// Returns the requests that could be on time when last checked, the smallest first.
    pub(super) fn on_time_by_size(&self) -> impl Iterator<Item = Ticket> {
        self.on_time_sizes.iter().map(|(_, ticket)| *ticket)
    }

    /// Returns the late requests, the smallest first.
    pub(super) fn late_by_size(&self) -> impl Iterator<Item = Ticket> {
        self.late_sizes.iter().map(|(_, ticket)| *ticket)
    }

    /// Returns the late request that is last in order.
    pub(super) fn last_late(&self) -> Option<Ticket> {
        self.late.first().map(|(_, Reverse(ticket))| *ticket)
    }

    /// Returns the request that can be on time and is last in order. With organisations in turn,
    /// that is one of the organisation with the most admissions and waiting requests together.
    pub(super) fn last_on_time(&self, admissions: impl Fn(&Organisation) -> u32) -> Option<Ticket> {
        let ends = self.on_time.iter().filter_map(|(organisation, requests)| {
            let last = *requests.last()?;
            Some((admissions(organisation) as usize + requests.len(), last))
        });
        ends.max().map(|(_, (_, ticket))| ticket)
    }
}
