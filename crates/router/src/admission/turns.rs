//! Which ranks have been passed over so often that they go first.

use std::cmp::Reverse;

use super::RANKS;

/// Each rank that waits gets at least one in this many admissions.
const SHARE_ONE_IN: u32 = 8;

/// Number of admissions of other ranks, by rank, since a request of the rank was admitted or the
/// rank began to wait.
#[derive(Clone, Debug, Default)]
pub(super) struct RankTurns {
    passed_over: [u32; RANKS],
}

impl RankTurns {
    /// Records that a rank begins to wait.
    pub(super) fn begin(&mut self, rank: usize) {
        self.passed_over[rank] = 0;
    }

    /// Records an admission. `waits` tells of each rank whether requests of it wait.
    pub(super) fn record(&mut self, admitted: usize, waits: impl Fn(usize) -> bool) {
        for (rank, passed_over) in self.passed_over.iter_mut().enumerate() {
            if waits(rank) {
                *passed_over = passed_over.saturating_add(1);
            }
        }
        self.passed_over[admitted] = 0;
    }

    /// Returns the ranks of `waiting` that go first, because one of them would get less than its
    /// share otherwise, in order.
    ///
    /// Among ranks sorted by how often each can still be passed over, the one at index `i` must
    /// wait for `i` others. It gets its share if it can be passed over more often than that before
    /// any other admission. With more than eight ranks, each gets one in as many admissions as
    /// there are ranks.
    pub(super) fn due(&self, waiting: impl Iterator<Item = usize>) -> Vec<usize> {
        let slack = |rank: usize| (SHARE_ONE_IN - 1).saturating_sub(self.passed_over[rank]);
        let mut ranks: Vec<usize> = waiting.collect();
        ranks.sort_by_key(|rank| (Reverse(self.passed_over[*rank]), *rank));
        let is_tight = |index: &usize| slack(ranks[*index]) as usize <= *index;
        let due = (0..ranks.len()).rev().find(is_tight).map_or(0, |index| index + 1);
        ranks.truncate(due);
        ranks
    }

    /// Returns the fraction of the admissions that is left when `others` ranks take their shares.
    pub(super) fn remaining_share(others: usize) -> f64 {
        (1.0 - others as f64 / f64::from(SHARE_ONE_IN)).max(Self::min_share())
    }

    /// Returns the fraction of the admissions that each rank gets at least.
    pub(super) fn min_share() -> f64 {
        1.0 / f64::from(SHARE_ONE_IN)
    }
}
