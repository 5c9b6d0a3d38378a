//! What a relay does next to follow one kind of object in the store.
//!
//! Each kind is listed once, then watched from the revision that the list told. A relay for which another
//! one follows the store rests, and reads for itself once that ends. Whoever drives this makes the
//! calls, and tells what came of each.

use derive_more::Display;
use rand::Rng;
use switchfold_core::retry::Backoff;

use crate::Millis;

/// Time between two looks at whether another relay still follows for this one, in milliseconds.
const COVER_EVERY: Millis = 100;

/// Why the store is read.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReadCause {
    /// Nothing was read since the start.
    #[display("start")]
    Start,
    /// What was read before is followed.
    #[display("followed")]
    Followed,
    /// Another relay, which followed for this one, has something newer.
    #[display("newer-heard")]
    NewerHeard,
    /// No other relay follows for this one any more.
    #[display("cover-ended")]
    CoverEnded,
    /// The last read got no answer.
    #[display("lost")]
    Lost,
    /// The store no longer had the history that was asked for.
    #[display("gap")]
    Gap,
}

/// What is done next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// Nothing, for so many milliseconds.
    Rest(Millis),
    /// A list is read.
    List(ReadCause),
    /// Changes after a revision are waited for.
    Watch(u64),
}

/// Times of a follower, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct FollowTimes {
    /// Wait of a watch.
    pub wait: Millis,
    /// Time that the store has for each page of a list.
    pub list_patience: Millis,
    /// Pause after an answer that moved on, so that changes in series cost one call together.
    pub gather: Millis,
    /// Pause of a relay for which another one follows before it reads something newer that it hears of.
    pub gather_covered: Millis,
    /// Longest time from one try to the next while the store does not answer.
    pub longest_pause: Millis,
}

/// Time that the store has for an answer beyond the wait asked of it, in milliseconds. It answers in 4 ms,
/// and 60 times slower in a disruption. A call that is lost is given up then, so this is also how late the
/// store's return may be noticed.
pub const STORE_PATIENCE: Millis = 600;

/// How the configuration is followed. A watch waits for a second: the lease is as old as two waits at
/// most, which leaves half of the usual bound of 5 s on removed keys. A relay that hears of a newer
/// version waits before it reads that, so that versions in quick succession cost one read.
pub const CONFIG_TIMES: FollowTimes =
    FollowTimes { gather: 0, gather_covered: 300, ..REPLICA_TIMES };

/// How the list of replicas is followed. A leaving replica must be left alone within the 2 s that it goes
/// on serving, also where a watch was cut without a word. A store that comes back is used again within
/// half a second by every relay, whatever others in its data centre can reach.
pub const REPLICA_TIMES: FollowTimes = FollowTimes {
    wait: 1_000,
    list_patience: STORE_PATIENCE,
    gather: 150,
    gather_covered: 0,
    longest_pause: 400,
};

/// Follows one kind of object.
#[derive(Debug)]
pub struct StoreFollower<R> {
    times: FollowTimes,
    backoff: Backoff<R>,
    revision: Option<u64>,
    pause: Option<Millis>,
    is_listed: bool,
    is_covered: bool,
    /// Why the next list is read.
    cause: ReadCause,
}

impl<R: Rng> StoreFollower<R> {
    /// Makes a follower that read nothing yet.
    pub fn new(times: FollowTimes, backoff: Backoff<R>) -> Self {
        Self {
            times,
            backoff,
            revision: None,
            pause: None,
            is_listed: false,
            is_covered: false,
            cause: ReadCause::Start,
        }
    }

    /// Revision from which it watches; nothing where it is to list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// What to do next; `is_covered` tells whether another relay follows for this one, `hears_newer` whether
    /// one tells of something newer, which more may follow.
    pub fn next_step(&mut self, is_covered: bool, hears_newer: bool) -> FollowStep {
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
            self.cause = if hears_newer { ReadCause::NewerHeard } else { ReadCause::CoverEnded };
            if hears_newer && self.times.gather_covered > 0 {
                return FollowStep::Rest(self.times.gather_covered);
            }
        }
        self.revision.map_or(FollowStep::List(self.cause), FollowStep::Watch)
    }

    /// Notes an answer that reached the revision `at`.
    pub fn note_answer(&mut self, at: u64) {
        let moved = self.revision.is_some_and(|after| at > after);
        self.revision = Some(self.revision.map_or(at, |after| after.max(at)));
        self.is_listed = true;
        self.backoff.reset();
        self.pause = moved.then_some(self.times.gather);
    }

    /// Notes that the store no longer has the history that was asked for.
    pub fn note_gap(&mut self) {
        self.revision = None;
        self.cause = ReadCause::Gap;
    }

    /// Notes a read without an answer, given up `took` milliseconds after it was sent. A store that cuts a
    /// watch may have dropped its history, and says so to a new watch only when that ends; a list tells at
    /// once what the watch did not.
    pub fn note_failure(&mut self, took: Millis) {
        self.revision = None;
        self.cause = ReadCause::Lost;
        let pause = self.backoff.next_wait().min(self.times.longest_pause);
        self.pause = Some(pause.saturating_sub(took));
    }
}
