//! Schedules the times at which refused callers come back.
//!
//! A request of a ranked service that could start only after its caller stops waiting is refused
//! early, and the caller is told when to come back. Callers told the same time would be refused
//! together again. Each of them therefore gets a slot of the capacity that is expected: the first
//! one after the requests that wait (`ready_in`) and the slots promised before. Slots are spaced at
//! the rate at which the relay admits requests. The told time is drawn within the slot, so that
//! relays whose slots begin together do not send their callers back at one moment.
//!
//! A promised time cannot be changed. If all slots were given in the order of refusals, a burst of
//! the least urgent class would leave none to a more urgent caller that is refused after it. Some
//! slots ([`SHARE_DISTANCE`]) may therefore be given to a more urgent caller as well. The less
//! urgent one keeps its time, and the next free slot is set aside for it, since it will wait in the
//! queue where it comes back. Returns exceed the rate by a quarter at most.
//!
//! A caller that ignores the time and comes back immediately is told the same time again. It is
//! recognised by the fingerprint of its request ([`PromiseTable`]), and gains nothing.
//!
//! [`RetrySchedule`](crate::grants::RetrySchedule) does not serve for this, nor this one for rate
//! limits. That schedule is a single cursor: it never reuses the time of a cancelled or earlier
//! slot, knows no ranks, and always responds with a time, a random one beyond its longest wait,
//! because a request without a grant has no queue to wait in. Here, a request without a slot waits
//! in the queue, so the schedule must keep each slot and may respond with none. Callers of either
//! would see other times if one mechanism replaced both.
//!
//! Limits: a slot keeps the spacing of the rate at which it was promised, also if the rate changes.
//! Callers reach another relay when they come back, so a relay's schedule only balances on average
//! over all relays. Worst case for memory: [`MAX_PROMISES`] slots and as many fingerprints, some
//! 650 kB for each service.

use std::collections::{BTreeSet, HashMap};

use crate::{Millis, fingerprint::RequestFingerprint};

/// Maximum number of promised returns of one service, and of fingerprints kept for them. A relay
/// that admits 240 requests a second, the capacity of a whole deployment, promises 1,440 returns
/// within the longest delay that callers with a deadline of 20 s honour (6 s).
pub const MAX_PROMISES: usize = 4_096;

/// Distance between two slots that are shared by two callers, in slots, for rank 0; it doubles with
/// each rank, so that less urgent ranks do not use up what rank 0 may share. With one in four,
/// returns exceed the rate by 25%, and the returns to 26 relays in 200 ms stay within 1.5 times the
/// rate; with one in three they did not (1.54).
pub const SHARE_DISTANCE: usize = 4;

/// Least urgent rank.
const MAX_RANK: u8 = 9;

/// Lowest rate at which slots are spaced, per second; it replaces an unknown rate. A relay that
/// has admitted nothing yet promises three returns within the 6 s that callers honour, which
/// another relay absorbs at any rate.
pub const MIN_RATE: f64 = 0.5;

/// Highest rate at which slots are spaced, per second. Delays are in milliseconds, so that closer
/// slots would not differ.
pub const MAX_RATE: f64 = 1_000.0;

/// Time after its promised time for which a return is still recognised, in milliseconds: the
/// transit from and to the caller, and the time to open a connection.
pub const RETURN_GRACE: Millis = 1_000;

/// Microseconds, in which slots are kept. At high rates, the spacing is a few milliseconds, and
/// rounding it to whole ones would change the rate.
type Micros = u64;

const MICROS_PER_MILLI: Micros = 1_000;

fn to_micros(time: Millis) -> Micros {
    time.saturating_mul(MICROS_PER_MILLI)
}

/// Returns the spacing of slots at a rate, in microseconds.
fn slot_width(per_second: f64) -> Micros {
    let rate = if per_second.is_nan() { MIN_RATE } else { per_second.clamp(MIN_RATE, MAX_RATE) };
    (1_000_000.0 / rate).round() as Micros
}

/// Capacity for one request, set aside for a caller that was refused.
#[derive(Clone, Copy, Debug)]
struct ReturnSlot {
    start: Micros,
    end: Micros,
    rank: u8,
    /// Time that the caller was told. It precedes the slot if a more urgent caller shares the slot
    /// that this caller was promised.
    told: Millis,
    /// Whether a less urgent caller was promised this slot as well.
    is_shared: bool,
}

/// Times at which the refused callers of one service come back to the relays.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// Slots in order of time, none of which overlap.
    slots: Vec<ReturnSlot>,
}

impl ReturnSchedule {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the delay in milliseconds after which a caller refused now should come back, and
    /// sets capacity aside for it. The delay is at least `ready_in`, the time until the requests
    /// that wait before it are served, and at most `longest`. Returns `None` if no slot begins by
    /// then. Slots are spaced at `per_second`, or at [`MIN_RATE`] if that is unknown (0 or NaN);
    /// `draw` is uniform in `0..1`.
    pub fn assign(
        &mut self,
        rank: u8,
        ready_in: Millis,
        per_second: f64,
        longest: Millis,
        draw: f64,
        now: Millis,
    ) -> Option<Millis> {
        self.expire(now);
        if ready_in > longest || self.slots.len() >= MAX_PROMISES {
            return None;
        }
        let width = slot_width(per_second);
        let from = to_micros(now.saturating_add(ready_in));
        let latest = to_micros(now.saturating_add(longest));
        let gap = self.first_gap(from, width);
        let shared = self.first_shareable(rank, from, gap, draw);
        let (start, end) = shared.map_or((gap, gap.saturating_add(width)), |index| {
            (self.slots[index].start, self.slots[index].end)
        });
        if start > latest {
            return None;
        }
        let jitter = (draw.clamp(0.0, 1.0) * (end.min(latest) - start) as f64) as Micros;
        let told = (start + jitter) / MICROS_PER_MILLI;
        let delay = told.saturating_sub(now).clamp(ready_in, longest);
        let slot = ReturnSlot {
            start,
            end,
            rank,
            told: now.saturating_add(delay),
            is_shared: shared.is_some(),
        };
        match shared {
            Some(index) => self.share(index, slot),
            None => self.insert(slot),
        }
        Some(delay)
    }

    /// Returns the number of promised returns that are still to come.
    pub fn promised(&self, now: Millis) -> usize {
        self.slots.iter().filter(|slot| slot.told >= now).count()
    }

    /// Frees the slot of a caller that was told to come back at `at` and no longer will, because
    /// it came back earlier. Does nothing if no caller was told that time.
    pub fn cancel(&mut self, at: Millis) {
        if let Some(index) = self.slots.iter().position(|slot| slot.told == at) {
            self.slots.remove(index);
        }
    }

    /// Drops the slots whose callers were to come back before `now`. The present slot is kept to
    /// its end, since another caller told within it would exceed the rate.
    fn expire(&mut self, now: Millis) {
        let present = to_micros(now);
        self.slots.retain(|slot| slot.told >= now || (slot.start..slot.end).contains(&present));
    }

    /// Returns the start of the first free time of this width.
    fn first_gap(&self, from: Micros, width: Micros) -> Micros {
        let mut start = from;
        for slot in &self.slots {
            if slot.start >= start.saturating_add(width) {
                break;
            }
            start = start.max(slot.end);
        }
        start
    }

    /// Returns the first slot between two times that a caller of this rank may share. The search
    /// begins at one of the first [`SHARE_DISTANCE`] slots by `draw`; otherwise all relays would
    /// share their first slots, at one moment.
    fn first_shareable(&self, rank: u8, from: Micros, until: Micros, draw: f64) -> Option<usize> {
        let distance = SHARE_DISTANCE << rank.min(MAX_RANK);
        let is_clear = |index: usize| {
            let first = (index + 1).saturating_sub(distance);
            let last = (index + distance).min(self.slots.len());
            !self.slots[first..last].iter().any(|slot| slot.is_shared)
        };
        let skipped = (draw.clamp(0.0, 1.0) * SHARE_DISTANCE as f64) as usize;
        let begin = self.slots.partition_point(|slot| slot.start < from) + skipped;
        let end = self.slots.partition_point(|slot| slot.start < until);
        (begin..end).find(|index| self.slots[*index].rank > rank && is_clear(*index))
    }

    /// Gives a slot to a more urgent caller, and the next free one to the caller that had it.
    fn share(&mut self, index: usize, slot: ReturnSlot) {
        let displaced = std::mem::replace(&mut self.slots[index], slot);
        let width = displaced.end - displaced.start;
        let start = self.first_gap(slot.start, width);
        self.insert(ReturnSlot { start, end: start.saturating_add(width), ..displaced });
    }

    fn insert(&mut self, slot: ReturnSlot) {
        let index = self.slots.partition_point(|known| known.start <= slot.start);
        self.slots.insert(index, slot);
    }
}

/// A return that a caller was promised.
#[derive(Clone, Copy, Debug)]
struct ReturnPromise {
    made: Millis,
    due: Millis,
    /// Whether the caller came back immediately once already.
    is_restated: bool,
}

/// Promised returns by request fingerprint, for callers that come back to the same relay.
#[derive(Clone, Debug, Default)]
pub struct PromiseTable {
    promises: HashMap<RequestFingerprint, ReturnPromise>,
    /// The same promises by the time at which they are due.
    by_due: BTreeSet<(Millis, RequestFingerprint)>,
}

impl PromiseTable {
    /// Records that the caller of a request was told to come back after `delay`. It replaces an
    /// earlier promise to it. If the table is full, the promise that is due first is dropped: that
    /// caller would be recognised for the shortest time.
    pub fn record(&mut self, fingerprint: RequestFingerprint, delay: Millis, now: Millis) {
        self.expire(now);
        self.remove(&fingerprint);
        if self.promises.len() >= MAX_PROMISES
            && let Some((_, first)) = self.by_due.pop_first()
        {
            self.promises.remove(&first);
        }
        let due = now.saturating_add(delay);
        self.promises.insert(fingerprint, ReturnPromise { made: now, due, is_restated: false });
        self.by_due.insert((due, fingerprint));
    }

    /// Returns the remaining time of the promise to a caller that came back before half of it and
    /// is to be refused again, in milliseconds. Returns `None` for any other caller.
    ///
    /// A promise is restated once. Callers come back once, so that a third request with the same
    /// fingerprint is another caller's, which must get a slot of its own.
    pub fn restate(&mut self, fingerprint: &RequestFingerprint, now: Millis) -> Option<Millis> {
        let promise = self.promises.get_mut(fingerprint)?;
        // A clock that was set back must not lengthen the promise.
        let now = now.max(promise.made);
        let elapsed = now - promise.made;
        let is_early = elapsed < (promise.due - promise.made).div_ceil(2);
        if !is_early || promise.is_restated {
            return None;
        }
        promise.is_restated = true;
        Some(promise.due.saturating_sub(now))
    }

    /// Removes the promise to a caller that came back and is not told the same time again. Returns
    /// the time at which it was due, for [`ReturnSchedule::cancel`], or `None` if the caller was
    /// promised nothing here.
    pub fn take(&mut self, fingerprint: &RequestFingerprint, now: Millis) -> Option<Millis> {
        self.expire(now);
        self.remove(fingerprint)
    }

    /// Returns the number of promises kept.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns whether no promise is kept.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    fn remove(&mut self, fingerprint: &RequestFingerprint) -> Option<Millis> {
        let due = self.promises.remove(fingerprint)?.due;
        self.by_due.remove(&(due, *fingerprint));
        Some(due)
    }

    fn expire(&mut self, now: Millis) {
        while let Some((due, fingerprint)) = self.by_due.first().copied()
            && due.saturating_add(RETURN_GRACE) <= now
        {
            self.by_due.pop_first();
            self.promises.remove(&fingerprint);
        }
    }
}
