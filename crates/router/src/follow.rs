//! Decides what a relay reads next to follow one kind of object in the store.
//!
//! Each entry VM runs a relay, and each call to the store is billed, so a relay calls the store
//! only for what no peer (another relay of its data centre) can provide. Each kind of object is
//! listed once, then watched from the revision of the list. A relay stays idle while a peer reads
//! the store on its behalf. A relay that needs a full list (at its start, after an outage, or if
//! its state differs) asks a peer that reads the store, and reads for itself only if none can
//! provide it. The caller makes the calls and records their results here.
//!
//! | load | problem | what bounds it |
//! |---|---|---|
//! | versions in quick succession | every relay reads each | one relay reads, the others ask it |
//! | restarts of many relays | every start lists everything | a peer sends its list within [`START_DELAY`] |
//! | an outage | every relay retries, for each kind | [`FollowInputs::preceding_lost`], [`FollowInputs::is_retried_elsewhere`] |
//! | the store's return | every relay lists everything | the first one to read announces it, the others ask it |

use derive_more::Display;
use rand::Rng;
use switchfold_core::retry::Backoff;

use crate::{Millis, membership::MAX_PEER_READ_AGE};

/// Interval at which the other relays' state is checked, in milliseconds.
const PEER_CHECK_INTERVAL: Millis = 100;

/// Time that a starting relay waits for its peers to announce themselves before it reads the store
/// itself, in milliseconds: in each round of 200 ms, two relays send to each relay that was live
/// recently.
pub const START_DELAY: Millis = 200;

/// Like [`START_DELAY`], for a relay with a live preceding peer, which should read first and cannot
/// provide a list yet.
pub const START_DELAY_BEHIND: Millis = 500;

/// Like [`START_DELAY`], at the first start of the whole system, for a relay without a live
/// preceding peer: processes start within 300 ms of each other, and need a moment to find each
/// other.
pub const FIRST_START_DELAY: Millis = 700;

/// Like [`FIRST_START_DELAY`], for a relay with a live preceding peer, which should read first.
/// Callers arrive ten seconds after the first start.
pub const FIRST_START_DELAY_BEHIND: Millis = 2_500;

/// Interval of requests to a peer that reads the store but not on this relay's behalf, since it
/// awaits entries that its list lacks or since the lists differ; in milliseconds. A leaving replica
/// must get no more requests after two seconds.
const ASK_INTERVAL: Millis = 500;

/// Time for which no peer is asked after one could not provide a list, in milliseconds.
const ASK_RETRY_DELAY: Millis = 1_000;

/// Delay of a request for a newer version for each preceding relay of the data centre, in
/// milliseconds: all learn of it at once, and twenty simultaneous responses would congest the link
/// of the relay that is asked.
const ASK_STAGGER: Millis = 5;

/// Part of the user's contact time that is left when a relay that has preceding ones retries the
/// store: the timeout of the retry, and the same again for a second one. In milliseconds.
const CONTACT_MARGIN: Millis = 2 * STORE_TIMEOUT;

/// Largest number of doublings of the pause between two retries; the longest pause is reached
/// before.
const MAX_DOUBLINGS: usize = 8;

/// Delay of a read of the store for each preceding relay once none reads on this one's behalf any
/// more, in milliseconds: the first to read announces it at once, and the others ask it.
const READ_STAGGER: Millis = 30;

/// Longest such delay in milliseconds, if the user's bounds on old state leave as much.
const MAX_STAGGER: Millis = 450;

/// Part of those bounds that is left for the read itself, in milliseconds.
const READ_MARGIN: Millis = 300;

/// Why the store is read.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReadCause {
    /// Nothing was read since the start.
    #[display("start")]
    Start,
    /// The last read is continued.
    #[display("followed")]
    Followed,
    /// Another relay, which read on behalf of this one, has a newer version.
    #[display("newer-heard")]
    PeerHasNewer,
    /// No other relay reads on behalf of this one any more.
    #[display("cover-ended")]
    PeerReadEnded,
    /// The last read got no answer.
    #[display("lost")]
    Lost,
    /// The store no longer had the history that was asked for.
    #[display("gap")]
    Gap,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// Nothing, for this time in milliseconds.
    Wait(Millis),
    /// Ask a peer for a full list.
    Ask,
    /// List all objects.
    List(ReadCause),
    /// Watch for changes after a revision.
    Watch(u64),
}

/// Order by name of a relay that can provide a snapshot and the relay that asks it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceOrder {
    /// It precedes the asking relay, so it also reads on that one's behalf.
    Before,
    /// It comes after the asking relay.
    After,
}

/// State of the other relays of the data centre that the decision depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowInputs {
    /// Whether another relay reads on behalf of this one.
    pub is_read_by_peer: bool,
    /// Whether another relay has a newer version.
    pub peer_has_newer: bool,
    /// Order of a relay that reads the store and can provide a full list; `None` if there is none.
    pub source: Option<SourceOrder>,
    /// Number of live relays that precede this one.
    pub preceding: usize,
    /// Number of those whose last read failed as well.
    pub preceding_lost: usize,
    /// Whether the full list is to be read again.
    pub needs_full_list: bool,
    /// Whether this relay has lost the store and retries it for another kind of object.
    pub is_retried_elsewhere: bool,
}

/// Timings of a follower, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct FollowTimings {
    /// Longest wait of a watch.
    pub wait: Millis,
    /// Timeout for each page of a list.
    pub list_timeout: Millis,
    /// Pause after an answer with changes, so that changes in quick succession cost one call.
    pub batch_delay: Millis,
    /// Delay that lets the follower of the other kind read first once no relay reads on behalf of
    /// this one: if the store is down, one call shows it.
    pub yield_delay: Millis,
    /// Longest pause between two retries while the store does not answer.
    pub max_pause: Millis,
    /// Longest such pause for a relay with preceding ones that have lost the store as well and
    /// retry on its behalf. It may be the only one that is refused all the same, and must then
    /// reach the store again before it counts as in contact.
    pub max_pause_behind: Millis,
    /// Longest delay of a read once no relay reads on behalf of this one.
    pub max_stagger: Millis,
}

impl FollowTimings {
    /// Adapts the timings for a relay that counts as in contact `contact` milliseconds after a
    /// fault, and must then hold no state older than `old_state` milliseconds.
    pub fn within_bounds(self, contact: Millis, old_state: Millis) -> Self {
        let max_pause_behind = contact.saturating_sub(CONTACT_MARGIN).max(self.max_pause);
        let left = old_state.saturating_sub(MAX_PEER_READ_AGE + READ_MARGIN);
        Self { max_pause_behind, max_stagger: left.min(MAX_STAGGER), ..self }
    }
}

/// Timeout of a call to the store, beyond the wait that is asked of it, in milliseconds. The store
/// answers in 4 ms, and 60 times slower in a disruption. A lost call is abandoned after this time,
/// so the store's return may be noticed as late.
pub const STORE_TIMEOUT: Millis = 600;

/// Timings for the configuration. A watch waits for a second: the lease is at most two waits old,
/// which leaves half of the usual bound of 5 s on removed keys.
pub const CONFIG_TIMINGS: FollowTimings =
    FollowTimings { batch_delay: 0, yield_delay: 0, ..REPLICA_TIMINGS };

/// Timings for the list of replicas. A leaving replica must get no more requests after the 2 s for
/// which it goes on serving, even if a watch was cut off silently. The first relay of each data
/// centre uses a store that has returned within half a second.
pub const REPLICA_TIMINGS: FollowTimings = FollowTimings {
    wait: 1_000,
    list_timeout: STORE_TIMEOUT,
    batch_delay: 150,
    yield_delay: 60,
    max_pause: 400,
    max_pause_behind: 1_600,
    max_stagger: 100,
};

/// Returns the time that a starting relay waits for a peer's list, in milliseconds, if `preceding`
/// live peers precede it.
pub fn start_delay(is_first_start: bool, preceding: usize) -> Millis {
    match (is_first_start, preceding) {
        (false, 0) => START_DELAY,
        (false, _) => START_DELAY_BEHIND,
        (true, 0) => FIRST_START_DELAY,
        (true, _) => FIRST_START_DELAY_BEHIND,
    }
}

/// Whether a peer may be asked for a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AskState {
    /// It may.
    Free,
    /// It answered recently, or may be able to soon: until this time neither it nor the store is
    /// asked.
    WaitsUntil(Millis),
    /// None could provide a list: until this time the store is asked.
    UnavailableUntil(Millis),
}

/// Follows one kind of object.
#[derive(Debug)]
pub struct StoreFollower<R> {
    timings: FollowTimings,
    backoff: Backoff<R>,
    revision: Option<u64>,
    /// Time until which the store is not called.
    idle_until: Millis,
    /// Time of the next call after a failure at the latest, even if the store is retried for
    /// another kind of object.
    retry_by: Millis,
    asking: AskState,
    is_listed: bool,
    is_read_by_peer: bool,
    /// Reason of the next list.
    cause: ReadCause,
}

impl<R: Rng> StoreFollower<R> {
    /// Creates a follower that has read nothing yet.
    pub fn new(timings: FollowTimings, backoff: Backoff<R>) -> Self {
        Self {
            timings,
            backoff,
            revision: None,
            idle_until: 0,
            retry_by: 0,
            asking: AskState::Free,
            is_listed: false,
            is_read_by_peer: false,
            cause: ReadCause::Start,
        }
    }

    /// Returns the revision from which it watches; `None` if it has to list first.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Decides what to do next.
    pub fn next_step(&mut self, inputs: &FollowInputs, now: Millis) -> FollowStep {
        if self.is_listed && inputs.is_read_by_peer {
            self.revision = None;
            self.is_read_by_peer = true;
            return FollowStep::Wait(PEER_CHECK_INTERVAL);
        }
        if self.is_read_by_peer {
            self.is_read_by_peer = false;
            self.end_peer_read(inputs, now);
        }
        if inputs.needs_full_list && now >= self.idle_until {
            self.record_gap();
            return FollowStep::List(self.cause);
        }
        if let Some(step) = self.next_request(inputs, now) {
            return step;
        }
        if now < self.idle_until {
            return FollowStep::Wait((self.idle_until - now).min(PEER_CHECK_INTERVAL));
        }
        if inputs.is_retried_elsewhere && now < self.retry_by {
            return FollowStep::Wait(PEER_CHECK_INTERVAL);
        }
        self.revision.map_or(FollowStep::List(self.cause), FollowStep::Watch)
    }

    fn end_peer_read(&mut self, inputs: &FollowInputs, now: Millis) {
        self.cause = ReadCause::PeerReadEnded;
        let stagger = (READ_STAGGER * inputs.preceding as Millis).min(self.timings.max_stagger);
        self.idle_until = self.idle_until.max(now + stagger + self.timings.yield_delay);
        self.retry_by = now + self.timings.max_pause_behind;
        if inputs.peer_has_newer {
            self.cause = ReadCause::PeerHasNewer;
            self.asking = AskState::WaitsUntil(now + ASK_STAGGER * inputs.preceding as Millis);
        }
    }

    /// Decides what to do about a peer that reads the store, if anything. A relay that needs a full
    /// list asks it; a relay that the peer precedes asks again as long as the peer does not read on
    /// its behalf.
    fn next_request(&self, inputs: &FollowInputs, now: Millis) -> Option<FollowStep> {
        let order = inputs.source?;
        if self.revision.is_some() && order == SourceOrder::After {
            return None;
        }
        match self.asking {
            AskState::WaitsUntil(until) if now < until => {
                Some(FollowStep::Wait((until - now).min(PEER_CHECK_INTERVAL)))
            }
            AskState::UnavailableUntil(until) if now < until => None,
            _ => Some(FollowStep::Ask),
        }
    }

    /// Records that a peer sent its full list, as of the revision `at`.
    pub fn record_snapshot(&mut self, at: u64, now: Millis) {
        self.revision = Some(at);
        self.is_listed = true;
        self.asking = AskState::WaitsUntil(now + ASK_INTERVAL);
    }

    /// Records that a peer could not provide a list.
    pub fn record_no_snapshot(&mut self, now: Millis) {
        self.asking = AskState::UnavailableUntil(now + ASK_RETRY_DELAY);
    }

    /// Records an answer of the store that reached the revision `at`.
    pub fn record_answer(&mut self, at: u64, now: Millis) {
        let has_advanced = self.revision.is_some_and(|after| at > after);
        self.revision = Some(self.revision.map_or(at, |after| after.max(at)));
        self.is_listed = true;
        self.backoff.reset();
        self.idle_until = if has_advanced { now + self.timings.batch_delay } else { 0 };
    }

    /// Records that the store no longer has the history that was asked for.
    pub fn record_gap(&mut self) {
        self.revision = None;
        self.cause = ReadCause::Gap;
    }

    /// Records that a read sent at `sent` got no answer. A store that cuts a watch may have dropped
    /// its history, and reports that to a new watch only when the watch ends; a list shows at once
    /// what the watch missed.
    pub fn record_failure(&mut self, sent: Millis, preceding_lost: usize) {
        self.revision = None;
        self.cause = ReadCause::Lost;
        let FollowTimings { max_pause, max_pause_behind, .. } = self.timings;
        let pause = match preceding_lost {
            0 => self.backoff.next_wait().min(max_pause),
            preceding => (max_pause << preceding.min(MAX_DOUBLINGS)).min(max_pause_behind),
        };
        self.idle_until = sent + pause;
        self.retry_by = sent + max_pause_behind;
    }
}
