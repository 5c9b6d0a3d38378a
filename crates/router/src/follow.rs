//! What a relay does next to follow one kind of object in the store.
//!
//! There are as many relays as entry VMs, and each call of the store has a price, so a relay calls it only
//! for what no other relay can tell. Each kind of object is listed once, then watched from the revision that
//! the list told. A relay for which another one of its data centre follows the store rests. One that needs a
//! whole list, at its start, after an outage or where its state differs, asks a neighbour that reads the
//! store, and reads for itself only where none can tell. Whoever drives this makes the calls, and tells what
//! came of each.
//!
//! | load | what would go wrong | what bounds it |
//! |---|---|---|
//! | versions in quick succession | every relay reads each | the followed relay reads, the others ask it |
//! | restarts of many relays | every start lists everything | a neighbour tells within [`START_DELAY`] |
//! | an outage | every relay tries on, for each kind | [`FollowInputs::lost_before`], [`FollowInputs::is_retried_elsewhere`] |
//! | the store's return | every relay lists everything | one that is back says so, the others ask it |

use derive_more::Display;
use rand::Rng;
use switchfold_core::retry::Backoff;

use crate::{Millis, membership::MAX_PEER_READ_AGE};

/// Time between two looks at what the other relays say, in milliseconds.
const COVER_EVERY: Millis = 100;

/// Time that a relay gives its neighbours at its start to say that they are there, in milliseconds, before it
/// reads the store itself: two relays tell each that was there lately, in each round of 200 ms.
pub const START_DELAY: Millis = 200;

/// The same for a relay that hears of another one before it, which is to read first and cannot tell yet.
pub const START_DELAY_BEHIND: Millis = 500;

/// The same at the first start of the whole system, in milliseconds, for a relay that hears of no other one before
/// it: processes start within 300 ms of each other, and need a little to find each other.
pub const FIRST_START_DELAY: Millis = 700;

/// The same for one that hears of another one before it, which is to read first. Callers come ten seconds after
/// the first start.
pub const FIRST_START_DELAY_BEHIND: Millis = 2_500;

/// Time between two questions to a neighbour that reads the store, where its word covers nobody: it awaits
/// entries that its list lacks, or the lists differ. In milliseconds; a leaving replica must be left alone within
/// two seconds.
const ASK_EVERY: Millis = 500;

/// Time for which no neighbour is asked after one could not tell, in milliseconds.
const ASK_AGAIN: Millis = 1_000;

/// Delay of a question for something newer for each relay before this one in its data centre, in
/// milliseconds: they hear of it at once, and twenty answers together hold up the asked relay's link.
const ASK_STAGGER: Millis = 5;

/// Time that is left of the users' contact time where a relay behind others tries the store again: the try's own
/// patience, and the same once more for a second one. In milliseconds.
const CONTACT_MARGIN: Millis = 2 * STORE_TIMEOUT;

/// Doublings of the pause between two tries at most; the longest pause is reached before.
const MOST_DOUBLINGS: usize = 8;

/// Delay of a read of the store for each relay before this one once none follows for it any more, in
/// milliseconds: the first to read says so at once, and the others ask it.
const READ_STAGGER: Millis = 30;

/// Longest such delay in milliseconds, where the users' bounds on old state leave as much.
const LONGEST_STAGGER: Millis = 450;

/// Time that is left of those bounds for the read itself, in milliseconds.
const READ_MARGIN: Millis = 300;

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
    Wait(Millis),
    /// A neighbour is asked for all that it read.
    Ask,
    /// A list is read.
    List(ReadCause),
    /// Changes after a revision are waited for.
    Watch(u64),
}

/// A neighbour that can tell what the store holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceOrder {
    /// It comes before this relay, so that it also follows for it.
    Before,
    /// It comes behind.
    After,
}

/// What is seen of the other relays of the data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowInputs {
    /// Whether another relay follows for this one.
    pub is_read_by_peer: bool,
    /// Whether one tells of something newer.
    pub peer_has_newer: bool,
    /// Whether one that reads the store can tell all that it read.
    pub source: Option<SourceOrder>,
    /// Count of live relays before this one.
    pub preceding: usize,
    /// Count of those that lost the store as well.
    pub preceding_lost: usize,
    /// Whether the whole list is to be read anew.
    pub needs_full_list: bool,
    /// Whether this relay lost the store, and tries it again for another kind of object.
    pub is_retried_elsewhere: bool,
}

/// Times of a follower, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct FollowTimings {
    /// Wait of a watch.
    pub wait: Millis,
    /// Time that the store has for each page of a list.
    pub list_timeout: Millis,
    /// Pause after an answer that moved on, so that changes in series cost one call together.
    pub batch_delay: Millis,
    /// Time by which it lets the other kind go first once no relay follows for this one: where the store is away,
    /// one call tells.
    pub yield_delay: Millis,
    /// Longest time from one try to the next while the store does not answer.
    pub max_pause: Millis,
    /// The same for a relay behind others that lost the store as well: they try for it. It may be turned
    /// away by itself all the same, and must then use the store again before it counts as in touch.
    pub max_pause_behind: Millis,
    /// Longest delay of a read once no relay follows for this one.
    pub max_stagger: Millis,
}

impl FollowTimings {
    /// These times where a relay counts as in touch `contact` milliseconds after a trouble, and must then hold no
    /// state that is older than `old_state` milliseconds.
    pub fn within_bounds(self, contact: Millis, old_state: Millis) -> Self {
        let max_pause_behind = contact.saturating_sub(CONTACT_MARGIN).max(self.max_pause);
        let left = old_state.saturating_sub(MAX_PEER_READ_AGE + READ_MARGIN);
        Self { max_pause_behind, max_stagger: left.min(LONGEST_STAGGER), ..self }
    }
}

/// Time that the store has for an answer beyond the wait asked of it, in milliseconds. It answers in 4 ms,
/// and 60 times slower in a disruption. A call that is lost is given up then, so this is also how late the
/// store's return may be noticed.
pub const STORE_TIMEOUT: Millis = 600;

/// How the configuration is followed. A watch waits for a second: the lease is as old as two waits at
/// most, which leaves half of the usual bound of 5 s on removed keys.
pub const CONFIG_TIMINGS: FollowTimings =
    FollowTimings { batch_delay: 0, yield_delay: 0, ..REPLICA_TIMINGS };

/// How the list of replicas is followed. A leaving replica must be left alone within the 2 s that it goes
/// on serving, also where a watch was cut without a word. A store that comes back is used again within
/// half a second by the first relay of each data centre.
pub const REPLICA_TIMINGS: FollowTimings = FollowTimings {
    wait: 1_000,
    list_timeout: STORE_TIMEOUT,
    batch_delay: 150,
    yield_delay: 60,
    max_pause: 400,
    max_pause_behind: 1_600,
    max_stagger: 100,
};

/// Time that a relay at its start waits for a neighbour that can tell, in milliseconds: `before` relays of its
/// data centre were heard that come before it.
pub fn start_delay(is_first_start: bool, before: usize) -> Millis {
    match (is_first_start, before) {
        (false, 0) => START_DELAY,
        (false, _) => START_DELAY_BEHIND,
        (true, 0) => FIRST_START_DELAY,
        (true, _) => FIRST_START_DELAY_BEHIND,
    }
}

/// Whether a neighbour may be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AskState {
    /// It may.
    Free,
    /// It told lately, or may tell soon: neither it nor the store is asked before.
    WaitsUntil(Millis),
    /// None could tell: the store is asked.
    BarredUntil(Millis),
}

/// Follows one kind of object.
#[derive(Debug)]
pub struct StoreFollower<R> {
    times: FollowTimings,
    backoff: Backoff<R>,
    revision: Option<u64>,
    /// Until when the store is not called.
    rests_until: Millis,
    /// When it is called at the latest after a failure, whoever tries it for another kind of object.
    tries_by: Millis,
    asking: AskState,
    is_listed: bool,
    is_read_by_peer: bool,
    /// Why the next list is read.
    cause: ReadCause,
}

impl<R: Rng> StoreFollower<R> {
    /// Makes a follower that read nothing yet.
    pub fn new(times: FollowTimings, backoff: Backoff<R>) -> Self {
        Self {
            times,
            backoff,
            revision: None,
            rests_until: 0,
            tries_by: 0,
            asking: AskState::Free,
            is_listed: false,
            is_read_by_peer: false,
            cause: ReadCause::Start,
        }
    }

    /// Revision from which it watches; nothing where it is to list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// What to do next, by what is seen of the others.
    pub fn next_step(&mut self, sight: &FollowInputs, now: Millis) -> FollowStep {
        if self.is_listed && sight.is_read_by_peer {
            self.revision = None;
            self.is_read_by_peer = true;
            return FollowStep::Wait(COVER_EVERY);
        }
        if self.is_read_by_peer {
            self.is_read_by_peer = false;
            self.end_cover(sight, now);
        }
        if sight.needs_full_list && now >= self.rests_until {
            self.record_gap();
            return FollowStep::List(self.cause);
        }
        if let Some(step) = self.next_question(sight, now) {
            return step;
        }
        if now < self.rests_until {
            return FollowStep::Wait((self.rests_until - now).min(COVER_EVERY));
        }
        if sight.is_retried_elsewhere && now < self.tries_by {
            return FollowStep::Wait(COVER_EVERY);
        }
        self.revision.map_or(FollowStep::List(self.cause), FollowStep::Watch)
    }

    fn end_cover(&mut self, sight: &FollowInputs, now: Millis) {
        self.cause = ReadCause::CoverEnded;
        let stagger = (READ_STAGGER * sight.preceding as Millis).min(self.times.max_stagger);
        self.rests_until = self.rests_until.max(now + stagger + self.times.yield_delay);
        self.tries_by = now + self.times.max_pause_behind;
        if sight.peer_has_newer {
            self.cause = ReadCause::NewerHeard;
            self.asking = AskState::WaitsUntil(now + ASK_STAGGER * sight.preceding as Millis);
        }
    }

    /// What is to be done about a neighbour that reads the store, if anything: it is asked for a whole list,
    /// and by whoever comes behind it again as long as its word does not cover that one.
    fn next_question(&self, sight: &FollowInputs, now: Millis) -> Option<FollowStep> {
        let place = sight.source?;
        if self.revision.is_some() && place == SourceOrder::After {
            return None;
        }
        match self.asking {
            AskState::WaitsUntil(until) if now < until => {
                Some(FollowStep::Wait((until - now).min(COVER_EVERY)))
            }
            AskState::BarredUntil(until) if now < until => None,
            _ => Some(FollowStep::Ask),
        }
    }

    /// Notes that a neighbour told all that it read, up to the revision `at`.
    pub fn record_snapshot(&mut self, at: u64, now: Millis) {
        self.revision = Some(at);
        self.is_listed = true;
        self.asking = AskState::WaitsUntil(now + ASK_EVERY);
    }

    /// Notes that a neighbour could not tell.
    pub fn record_no_snapshot(&mut self, now: Millis) {
        self.asking = AskState::BarredUntil(now + ASK_AGAIN);
    }

    /// Notes an answer of the store that reached the revision `at`.
    pub fn record_answer(&mut self, at: u64, now: Millis) {
        let moved = self.revision.is_some_and(|after| at > after);
        self.revision = Some(self.revision.map_or(at, |after| after.max(at)));
        self.is_listed = true;
        self.backoff.reset();
        self.rests_until = if moved { now + self.times.batch_delay } else { 0 };
    }

    /// Notes that the store no longer has the history that was asked for.
    pub fn record_gap(&mut self) {
        self.revision = None;
        self.cause = ReadCause::Gap;
    }

    /// Notes a read without an answer that was sent at `sent`. A store that cuts a watch may have dropped its
    /// history, and says so to a new watch only when that ends; a list tells at once what the watch did not.
    pub fn record_failure(&mut self, sent: Millis, lost_before: usize) {
        self.revision = None;
        self.cause = ReadCause::Lost;
        let FollowTimings { max_pause, max_pause_behind, .. } = self.times;
        let pause = match lost_before {
            0 => self.backoff.next_wait().min(max_pause),
            before => (max_pause << before.min(MOST_DOUBLINGS)).min(max_pause_behind),
        };
        self.rests_until = sent + pause;
        self.tries_by = sent + max_pause_behind;
    }
}
