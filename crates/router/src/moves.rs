//! Limits how many running streams move to another path at once.
//!
//! If a replica is lost, all its streams look for another path at the same time. An order to move
//! a stream over a replica without memory is refused and costs time of the first engine, so a
//! relay orders only as many moves at once as there is capacity for, and does not ask a replica
//! again that has just refused one. Streams that have to wait form a line at the replica that
//! delays them, by rank and then by the time of their first attempt. Streams are checked after the
//! same pause, so that the first to attempt a move is the one that has been silent longest.

use std::collections::HashMap;

use crate::{Millis, instance::ReplicaInstance};

/// Backoff after the first refusal by a replica, in milliseconds: relays report their reservations
/// every 200 ms, so that nothing new is known of the replica earlier.
pub const FIRST_BACKOFF: Millis = 200;

/// Maximum backoff, to which it doubles with each further refusal, in milliseconds. Callers give up
/// after two seconds without an event, so that a longer one would be a refusal for good.
pub const MAX_BACKOFF: Millis = 1_600;

/// Time for which an order without a response counts as under way, in milliseconds: the engine may
/// still carry it out, and the memory of the request then shows in its next reports.
pub const UNANSWERED_TIME: Millis = 1_000;

/// Maximum time until a delayed stream at the head of a line is looked at again, in milliseconds.
/// Bounds the time for which memory that was reported during a longer backoff stays unused.
pub const MAX_LOOK_DELAY: Millis = 400;

/// Interval at which the streams of a line are looked at, in milliseconds; an order takes some
/// 4 ms.
const ORDER_TIME: Millis = 5;

/// Maximum interval at which a stream asks again while an order is under way, in milliseconds.
const MAX_ORDER_WAIT: Millis = 100;

/// Interval at which a replica without memory is looked at again, in milliseconds: that at which
/// relays report their reservations.
const REPORT_INTERVAL: Millis = 200;

/// Time after the end of its delay up to which a stream keeps its place in the line, in
/// milliseconds. Callers leave without notice, and the streams behind them would wait in vain.
const PLACE_GRACE: Millis = 100;

/// Why a move is delayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelayCause {
    /// A replica refused a move, and has had no capacity since.
    Refused,
    /// By the reservations, a replica has no memory for the request.
    NoMemory,
    /// Moves that are under way, or streams that go first, take the capacity.
    Turn,
}

/// A move that has to wait, and its place in the line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveDelay {
    /// Replica that delays the move.
    pub replica: ReplicaInstance,
    /// Why it does.
    pub cause: DelayCause,
    /// Time at which the stream is to be looked at again.
    pub until: Millis,
    number: u64,
}

/// Result of an order to move a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveOutcome {
    /// The engine accepted it.
    Accepted,
    /// It was refused for lack of capacity, at this replica if the refusal names one.
    Refused(Option<ReplicaInstance>),
    /// No response arrived.
    Unanswered,
    /// It was not sent, or the request no longer runs; nothing is known of the new stages.
    Void,
}

/// An order that was sent and may not have been carried out.
#[derive(Clone, Debug)]
struct PendingMove {
    stages: Vec<(ReplicaInstance, usize)>,
    began_at: Millis,
    /// Time at which it no longer counts, also if its result is never reported: the task of a
    /// stream ends with its caller's connection, even during an order.
    until: Millis,
    is_unanswered: bool,
}

impl PendingMove {
    fn is_over(&self, path: &[ReplicaInstance]) -> bool {
        let own = self.stages.iter().map(|(instance, _)| instance);
        own.eq(path.iter())
    }

    fn includes(&self, instance: &ReplicaInstance) -> bool {
        self.stages.iter().any(|(stage, _)| stage == instance)
    }
}

/// Refusals of a replica since it last accepted a move.
#[derive(Clone, Debug)]
struct ReplicaRefusal {
    refused_at: Millis,
    until: Millis,
    backoff: Millis,
    /// Least number of mean requests for which the replica had memory by the reservations since it
    /// refused; `None` before the first record. The refusal shows that the reservations are too low
    /// by as much.
    lowest_free: Option<f64>,
    /// Number of mean requests for which memory was freed since.
    freed: usize,
}

/// A stream that waits for its turn at a replica.
#[derive(Clone, Copy, Debug)]
struct LinePlace {
    rank: u8,
    /// Place among the streams of one rank.
    number: u64,
    until: Millis,
}

/// Decides which streams of this relay may move now.
#[derive(Clone, Debug, Default)]
pub struct MoveLimiter {
    pending: Vec<PendingMove>,
    refusals: HashMap<ReplicaInstance, ReplicaRefusal>,
    lines: HashMap<ReplicaInstance, Vec<LinePlace>>,
    last_number: u64,
}

impl MoveLimiter {
    /// Creates a limiter without moves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a stream may send an order now over a path with these new stages, each with
    /// the number of further requests for which it has memory; counts the move as under way if so.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the stream is to be looked at again.
    pub fn try_begin(
        &mut self,
        stages: &[(ReplicaInstance, usize)],
        rank: u8,
        now: Millis,
    ) -> Result<(), MoveDelay> {
        self.expire(now);
        let number = self.take_place(stages, rank, now).unwrap_or_else(|| {
            self.last_number += 1;
            self.last_number
        });
        let delays = stages.iter().filter_map(|stage| self.delay_at(stage, rank, number, now));
        if let Some(delay) = delays.max_by_key(|delay| delay.until) {
            let place = LinePlace { rank, number, until: delay.until };
            self.lines.entry(delay.replica.clone()).or_default().push(place);
            return Err(delay);
        }
        self.pending.push(PendingMove {
            stages: stages.to_vec(),
            began_at: now,
            until: now + UNANSWERED_TIME,
            is_unanswered: false,
        });
        Ok(())
    }

    /// Records the result of an order over a path with these new stages.
    pub fn finish(&mut self, path: &[ReplicaInstance], outcome: MoveOutcome, now: Millis) {
        let is_same = |pending: &PendingMove| !pending.is_unanswered && pending.is_over(path);
        let position = self.pending.iter().position(is_same);
        let pending = position.map(|position| self.pending.remove(position));
        let began_at = pending.as_ref().map_or(now, |pending| pending.began_at);
        match outcome {
            MoveOutcome::Accepted => {
                for instance in path {
                    // An order that was sent before the refusal says nothing of the time since.
                    self.refusals.retain(|known, refusal| {
                        known != instance || began_at < refusal.refused_at
                    });
                }
            }
            MoveOutcome::Refused(named) => {
                let stages = pending.map(|pending| pending.stages).unwrap_or_default();
                let fullest = stages.iter().min_by_key(|(_, free)| *free);
                let fullest = fullest.map(|(instance, _)| instance).or(path.first());
                if let Some(instance) = named.as_ref().or(fullest) {
                    self.record_refusal(instance, began_at, now);
                }
            }
            MoveOutcome::Unanswered => {
                let until = now + UNANSWERED_TIME;
                let unanswered = |pending| PendingMove { until, is_unanswered: true, ..pending };
                self.pending.extend(pending.map(unanswered));
            }
            MoveOutcome::Void => {}
        }
    }

    /// Returns whether a replica said that it has no room, and has not since had any.
    pub fn lacks_room(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        let refusal = self.refusals.get(instance);
        refusal.is_some_and(|refusal| now < refusal.until && refusal.freed == 0)
    }

    /// Records for how many further requests of mean size a replica has memory by the reservations.
    /// Ends its backoff if that has grown by one since it refused a move. Requests differ in size,
    /// so that the numbers of two streams in [`MoveLimiter::try_begin`] cannot be compared.
    pub fn record_room(&mut self, instance: &ReplicaInstance, free: f64) {
        if let Some(refusal) = self.refusals.get_mut(instance) {
            let lowest = refusal.lowest_free.map_or(free, |lowest| lowest.min(free));
            refusal.lowest_free = Some(lowest);
            refusal.freed = (free - lowest) as usize;
        }
    }

    /// Gives up the place of a stream that no longer waits to move. Has no effect if it has been
    /// delayed again since.
    pub fn withdraw(&mut self, delay: &MoveDelay) {
        if let Some(line) = self.lines.get_mut(&delay.replica) {
            line.retain(|place| (place.number, place.until) != (delay.number, delay.until));
        }
    }

    /// Returns the number of moves under way.
    pub fn under_way(&self, now: Millis) -> usize {
        self.pending.iter().filter(|pending| now < pending.until).count()
    }

    /// Returns the number of streams that wait for their turn.
    pub fn waiting(&self, now: Millis) -> usize {
        let places = self.lines.values().flatten();
        places.filter(|place| now < place.until + PLACE_GRACE).count()
    }

    fn expire(&mut self, now: Millis) {
        self.pending.retain(|pending| now < pending.until);
        // The backoff continues to double if the next refusal follows soon.
        self.refusals.retain(|_, refusal| now < refusal.until + MAX_BACKOFF);
        self.lines.retain(|_, line| {
            line.retain(|place| now < place.until + PLACE_GRACE);
            !line.is_empty()
        });
    }

    /// Removes the place of a stream that comes back at the end of its delay, and returns its
    /// number.
    fn take_place(
        &mut self,
        stages: &[(ReplicaInstance, usize)],
        rank: u8,
        now: Millis,
    ) -> Option<u64> {
        let is_due = |place: &&LinePlace| place.rank == rank && place.until <= now;
        let lines = stages.iter().filter_map(|(instance, _)| self.lines.get(instance));
        let places = lines.flatten().filter(is_due);
        let number = places.min_by_key(|place| (place.until, place.number))?.number;
        self.lines.values_mut().for_each(|line| line.retain(|place| place.number != number));
        Some(number)
    }

    /// Returns why a stage delays the move of a stream, or `None` if it does not.
    fn delay_at(
        &self,
        (instance, free): &(ReplicaInstance, usize),
        rank: u8,
        number: u64,
        now: Millis,
    ) -> Option<MoveDelay> {
        let room = self.room(instance, *free, now);
        let goes_first = |place: &&LinePlace| (place.rank, place.number) < (rank, number);
        let line = self.lines.get(instance).into_iter().flatten();
        let ahead = line.filter(goes_first).count();
        let busy = self.pending.iter().filter(|pending| pending.includes(instance));
        if busy.clone().count() + ahead < room {
            return None;
        }
        let refusal = self.refusals.get(instance);
        let refused_until = refusal.filter(|_| self.lacks_room(instance, now));
        let (cause, start) = match refused_until {
            Some(refusal) => (DelayCause::Refused, refusal.until),
            None if room == 0 => (DelayCause::NoMemory, now + REPORT_INTERVAL),
            None if busy.clone().count() < room => (DelayCause::Turn, now + ORDER_TIME),
            None => {
                let next = busy.map(|pending| expected_end(pending, now)).min();
                (DelayCause::Turn, next.unwrap_or(now + ORDER_TIME))
            }
        };
        let turn = (ahead / room.max(1)) as Millis * ORDER_TIME;
        let until = start.min(now + MAX_LOOK_DELAY) + turn;
        Some(MoveDelay { replica: instance.clone(), cause, until, number })
    }

    /// Returns how many moves over a replica may be under way at once; `free` is the number of
    /// requests for which it has memory by the reservations.
    fn room(&self, instance: &ReplicaInstance, free: usize, now: Millis) -> usize {
        match self.refusals.get(instance) {
            None => free,
            Some(refusal) if refusal.freed > 0 => free.min(refusal.freed),
            // One move shows whether the replica has memory again.
            Some(refusal) if now >= refusal.until => free.min(1),
            Some(_) => 0,
        }
    }

    fn record_refusal(&mut self, instance: &ReplicaInstance, began_at: Millis, now: Millis) {
        let earlier = self.refusals.get(instance);
        let backoff = match earlier {
            None => FIRST_BACKOFF,
            // Orders that were under way together are refused together.
            Some(earlier) if began_at < earlier.refused_at => earlier.backoff,
            Some(earlier) => (earlier.backoff * 2).min(MAX_BACKOFF),
        };
        let until = now + backoff;
        let refusal =
            ReplicaRefusal { refused_at: now, until, backoff, lowest_free: None, freed: 0 };
        self.refusals.insert(instance.clone(), refusal);
    }
}

/// Returns the time at which a move that is under way may no longer be. An order that is still
/// without a response is expected to take as long again as it has taken.
fn expected_end(pending: &PendingMove, now: Millis) -> Millis {
    match pending.is_unanswered {
        true => pending.until,
        false => now + (now - pending.began_at).clamp(ORDER_TIME, MAX_ORDER_WAIT),
    }
}
