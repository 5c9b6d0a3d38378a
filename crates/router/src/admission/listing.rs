//! Which requests of a queue are tried next, and which one is the last in order.

use std::cmp::Reverse;

use super::{
    AdmissionQueue, RANKS, Ticket,
    waiting::{Organisation, RankQueue},
};
use crate::Millis;

/// Number of candidates listed at most. Trying one costs a search for a path; three ranks have two
/// or three candidates each.
pub const MAX_CANDIDATES: usize = 8;

/// Number of candidates of each rank at least: the first in order and the smallest.
const MIN_GROUP_CANDIDATES: usize = 2;

/// Requests of one rank that are alike in whether they can be on time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RankGroup {
    rank: usize,
    is_late: bool,
}

impl AdmissionQueue {
    /// Returns requests to try now, in order, [`MAX_CANDIDATES`] at most. The caller dispatches the
    /// first that fits, and asks again for the next.
    pub fn candidates(&self, now: Millis) -> Vec<Ticket> {
        let newly_late = self.newly_late(now);
        let groups = self.groups(&newly_late);
        let per_group = MAX_CANDIDATES / groups.len().max(1);
        let mut tickets = Vec::with_capacity(MAX_CANDIDATES);
        for group in groups {
            if tickets.len() == MAX_CANDIDATES {
                break;
            }
            let limit = per_group.max(MIN_GROUP_CANDIDATES).min(MAX_CANDIDATES - tickets.len());
            match group.is_late {
                false => tickets.extend(self.on_time_candidates(group.rank, limit, now)),
                true => {
                    tickets.extend(self.late_candidates(group.rank, limit, &newly_late, now));
                }
            }
        }
        tickets
    }

    /// Returns the groups of requests that wait, in order.
    fn groups(&self, newly_late: &[Ticket]) -> Vec<RankGroup> {
        let on_time = self.on_time_depths(newly_late);
        let waiting = (0..RANKS).filter(|rank| self.ranks[*rank].len() > 0);
        let turns = self.turns.due(waiting);
        let mut groups: Vec<RankGroup> = turns
            .iter()
            .map(|rank| RankGroup { rank: *rank, is_late: on_time[*rank] == 0 })
            .collect();
        for is_late in [false, true] {
            for (rank, on_time) in on_time.into_iter().enumerate() {
                let count = match is_late {
                    false => on_time,
                    true => self.ranks[rank].len() - on_time,
                };
                let group = RankGroup { rank, is_late };
                if count > 0 && !groups.contains(&group) {
                    groups.push(group);
                }
            }
        }
        groups
    }

    fn recent_admissions(&self, organisation: &Organisation, now: Millis) -> u32 {
        self.organisations.get(organisation).map_or(0, |admissions| admissions.count(now))
    }

    /// Returns the first requests of a rank that can be on time, the smallest among them.
    fn on_time_candidates(&self, rank: usize, limit: usize, now: Millis) -> Vec<Ticket> {
        let queue = &self.ranks[rank];
        let admissions = |organisation: &Organisation| self.recent_admissions(organisation, now);
        let first = queue.first_on_time(limit, admissions, now);
        let is_on_time = |ticket: &Ticket| now <= self.entries[ticket].latest_start;
        include_smallest(first, queue.on_time_by_size().find(is_on_time))
    }

    /// Returns the first late requests of a rank whose wait has not ended, the smallest among them.
    fn late_candidates(
        &self,
        rank: usize,
        limit: usize,
        newly_late: &[Ticket],
        now: Millis,
    ) -> Vec<Ticket> {
        let newly = newly_late.iter().map(|ticket| (&self.entries[ticket], *ticket));
        let newly = newly.filter(|(entry, _)| entry.rank == rank);
        let mut late: Vec<(Millis, Reverse<Ticket>)> =
            newly.clone().map(|(entry, ticket)| (entry.leaves_at, Reverse(ticket))).collect();
        late.extend(self.ranks[rank].late().take(limit));
        late.sort_unstable_by(|left, right| right.cmp(left));
        let present = late.into_iter().take_while(|(leaves_at, _)| now < *leaves_at);
        let first = present.take(limit).map(|(_, Reverse(ticket))| ticket).collect();
        let is_present = |ticket: &Ticket| now < self.entries[ticket].leaves_at;
        let sorted = self.ranks[rank].late_by_size().find(is_present);
        let smallest = newly.map(|(_, ticket)| ticket).filter(is_present).chain(sorted);
        let smallest = smallest.min_by_key(|ticket| (self.entries[ticket].tokens, *ticket));
        include_smallest(first, smallest)
    }

    /// Returns the last request in order, of those that were sorted by [`Self::advance`].
    pub(super) fn last_in_order(&self, now: Millis) -> Option<Ticket> {
        let admissions = |organisation: &Organisation| self.recent_admissions(organisation, now);
        let late = self.ranks.iter().rev().find_map(RankQueue::last_late);
        late.or_else(|| self.ranks.iter().rev().find_map(|rank| rank.last_on_time(admissions)))
    }
}

/// Replaces the last of the first requests of a group by its smallest one, if that is not among
/// them. A single request stays: it is the only one of its group or the last candidate, after which
/// no rank follows.
fn include_smallest(mut first: Vec<Ticket>, smallest: Option<Ticket>) -> Vec<Ticket> {
    if first.len() >= MIN_GROUP_CANDIDATES
        && let Some(smallest) = smallest
        && !first.contains(&smallest)
        && let Some(last) = first.last_mut()
    {
        *last = smallest;
    }
    first
}
