//! What a relay does next to follow one kind of object in the store.
//!
//! Each kind is listed once, then watched from the revision that the list told. A relay for which another
//! one follows the store rests, and reads for itself once that ends. Whoever drives this makes the
//! calls, and tells what came of each.

use rand::Rng;
use switchfold_core::retry::Backoff;

use crate::Millis;

/// Time between two looks at whether another relay still follows for this one, in milliseconds.
pub const COVER_EVERY: Millis = 100;

/// What is done next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// Nothing, for so many milliseconds.
    Rest(Millis),
    /// A list is read.
    List,
    /// Changes after a revision are waited for.
    Watch(u64),
}

/// Pauses of a follower, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct FollowPauses {
    /// After an answer that moved on, so that changes in series cost one call together.
    pub gather: Millis,
    /// Before the first read once another relay no longer follows for this one.
    pub gather_covered: Millis,
}

/// Follows one kind of object.
#[derive(Debug)]
pub struct StoreFollower<R> {
    pauses: FollowPauses,
    backoff: Backoff<R>,
    revision: Option<u64>,
    pause: Option<Millis>,
    is_listed: bool,
    is_covered: bool,
}

impl<R: Rng> StoreFollower<R> {
    /// Makes a follower that read nothing yet.
    pub fn new(pauses: FollowPauses, backoff: Backoff<R>) -> Self {
        Self { pauses, backoff, revision: None, pause: None, is_listed: false, is_covered: false }
    }

    /// Revision from which it watches; nothing where it is to list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// What to do next; `is_covered` tells whether another relay follows for this one.
    pub fn next_step(&mut self, is_covered: bool) -> FollowStep {
        if let Some(pause) = self.pause.take() {
            return FollowStep::Rest(pause);
        }
        if self.is_listed && is_covered {
            self.revision = None;
            self.is_covered = true;
            return FollowStep::Rest(COVER_EVERY);
        }
        if self.is_covered {
            self.is_covered = false;
            if self.pauses.gather_covered > 0 {
                return FollowStep::Rest(self.pauses.gather_covered);
            }
        }
        self.revision.map_or(FollowStep::List, FollowStep::Watch)
    }

    /// Notes an answer that reached the revision `at`.
    pub fn note_answer(&mut self, at: u64) {
        let moved = self.revision.is_some_and(|after| at > after);
        self.revision = Some(self.revision.map_or(at, |after| after.max(at)));
        self.is_listed = true;
        self.backoff.reset();
        self.pause = moved.then_some(self.pauses.gather);
    }

    /// Notes that the store no longer has the history that was asked for.
    pub fn note_gap(&mut self) {
        self.revision = None;
    }

    /// Notes a read without an answer; the next one follows after `longest_pause` at most. A store that
    /// cuts a watch may have dropped its history, and says so to a new watch only when that ends; a
    /// list tells at once what the watch did not.
    pub fn note_failure(&mut self, longest_pause: Millis) {
        self.revision = None;
        self.pause = Some(self.backoff.next_wait().min(longest_pause));
    }
}
