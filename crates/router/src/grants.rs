//! Grants to send one request each to replicas that named a limit: those that a relay holds, and wants.
//!
//! A limit holds for all relays together, and what each counts by itself keeps none. So a request goes to a limited replica
//! only on a grant, which the relay that keeps the limit hands out ([`issuer`](crate::issuer)) and which lapses soon. A
//! relay asks for grants as it misses them, and ahead of time for as many as it sends in the life of one.
//!
//! The trade-off: a request that finds no grant goes elsewhere at once where it can, and its grant serves the next one;
//! where it cannot, it waits for one. Worst case: a relay with little traffic lets its grants lapse, and the limit is not
//! used to the full.

use std::collections::{HashMap, VecDeque};

use crate::Millis;

/// Time for which a grant holds, in milliseconds. What a window of seconds gets beyond its own grants are those of this time
/// before it, so it is small against the window; and it covers the way of the grant and the time until the next request.
pub const GRANT_TTL: Millis = 300;

/// Time over which the sends to a replica are counted, in milliseconds.
const RATE_TIME: Millis = 1_000;

/// Shortest and longest pause before grants are asked for again, in milliseconds: the longest is below the time for which an
/// ask counts.
const LEAST_PAUSE: Millis = 25;
const MOST_PAUSE: Millis = 800;

/// Age from which a told share says nothing, in milliseconds.
const SHARE_TIME: Millis = 3_000;

/// Time that the first grant takes where nothing is known yet, in milliseconds: the way to the keeper and back.
const FIRST_WAIT: Millis = 50;

/// Longest time until a grant that is told, in milliseconds.
pub const MAX_WAIT: Millis = 10_000;

/// Most grants of a replica that are asked for at once.
const MOST_WANTED: usize = 256;

/// Time for which an ask counts of a relay that misses grants again and again, in milliseconds.
const ASK_TIME: Millis = 1_000;

/// Time before a request gives up from which a grant comes too late for it, in milliseconds: its way, and the time until the
/// request looks for it.
const TOO_LATE: Millis = 50;

/// A request that waits for a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GrantWaiter {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Until when it waits.
    pub deadline: Millis,
}

/// Grants to ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// Id of the replica.
    pub id: String,
    /// Count of grants; 0 where none is wanted any more.
    pub count: usize,
    /// Time for which they are wanted, in milliseconds.
    pub valid_for: Millis,
}

/// What a relay holds of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaGrants {
    /// Ends of the grants, the first one first.
    ends: VecDeque<Millis>,
    /// When requests found no grant and went elsewhere.
    misses: VecDeque<Millis>,
    sends: VecDeque<Millis>,
    waiting: Vec<GrantWaiter>,
    /// Grants a second that this relay may expect, and when it was told.
    share: Option<(f64, Millis)>,
    /// Limit under which the grants were given.
    limit: Option<f64>,
    /// When grants were last asked for, as long as that may count.
    asked: Option<Millis>,
    pause: Millis,
}

fn drop_before(times: &mut VecDeque<Millis>, limit: Millis) {
    while times.front().is_some_and(|time| *time <= limit) {
        times.pop_front();
    }
}

impl ReplicaGrants {
    fn forget(&mut self, now: Millis) {
        drop_before(&mut self.ends, now);
        drop_before(&mut self.misses, now.saturating_sub(GRANT_TTL));
        drop_before(&mut self.sends, now.saturating_sub(RATE_TIME));
        self.share = self.share.filter(|(_, told)| now.saturating_sub(*told) < SHARE_TIME);
    }

    fn held(&self, now: Millis) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }

    /// Whether a grant is left for a request of a rank, beside those for more urgent ones that wait.
    fn has(&self, rank: u8, now: Millis) -> bool {
        let before = self.waiting.iter().filter(|need| need.rank < rank).count();
        self.held(now) > before
    }

    /// Grants that are wanted beside those held.
    fn wanted(&self, now: Millis) -> usize {
        let held = self.held(now);
        let urgent = self.misses.len() + self.waiting.len();
        let ahead = self.sends.len() * GRANT_TTL as usize / RATE_TIME as usize;
        // Ahead of time they are asked for in parts, and not one by one.
        let ahead = if held * 2 <= ahead { ahead } else { 0 };
        urgent.max(ahead).saturating_sub(held).min(MOST_WANTED)
    }

    /// Time for which grants are wanted: where only requests that wait want them, until the last of them gives up.
    fn lasts(&self, now: Millis) -> Millis {
        let is_steady = self.misses.len() + self.sends.len() > 0;
        let last = self.waiting.iter().map(|need| need.deadline).max().filter(|_| !is_steady);
        last.map_or(ASK_TIME, |last| last.saturating_sub(now + TOO_LATE))
    }

    /// Time until a grant for one request more.
    fn wait(&self, now: Millis) -> Millis {
        let before = (self.waiting.len() + 1).saturating_sub(self.held(now));
        match self.share {
            None => FIRST_WAIT,
            Some((share, _)) => {
                let wait = before as f64 * 1_000.0 / share.max(f64::MIN_POSITIVE);
                (wait.ceil() as Millis).clamp(1, MAX_WAIT)
            }
        }
    }
}

/// Grants that a relay holds, by id of the replica.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants {
    replicas: HashMap<String, ReplicaGrants>,
}

impl HeldGrants {
    fn replica(&mut self, id: &str) -> &mut ReplicaGrants {
        self.replicas.entry(id.to_owned()).or_default()
    }

    /// Time until a grant for a request of a rank; nothing where there is one now.
    pub fn wait(&self, id: &str, rank: u8, now: Millis) -> Option<Millis> {
        match self.replicas.get(id) {
            None => Some(FIRST_WAIT),
            Some(replica) => (!replica.has(rank, now)).then(|| replica.wait(now)),
        }
    }

    /// Spends a grant, the one that lapses first; gives its end.
    ///
    /// # Errors
    ///
    /// Gives the time until there is one, in milliseconds.
    pub fn spend(&mut self, id: &str, rank: u8, now: Millis) -> Result<Millis, Millis> {
        let replica = self.replica(id);
        replica.forget(now);
        if !replica.has(rank, now) {
            return Err(replica.wait(now));
        }
        let end = replica.ends.pop_front().expect("one is held");
        replica.sends.push_back(now);
        replica.misses.pop_front();
        Ok(end)
    }

    /// Notes the limit that the replica names now: grants that were given under a higher one bind it no more.
    pub fn record_limit(&mut self, id: &str, limit: f64) {
        let replica = self.replica(id);
        if replica.limit.replace(limit).is_some_and(|before| limit < before) {
            replica.ends.clear();
        }
    }

    /// Takes a grant back whose request was not sent.
    pub fn give_back(&mut self, id: &str, end: Millis) {
        let replica = self.replica(id);
        replica.ends.push_front(end);
        replica.sends.pop_back();
    }

    /// Notes that a request would have gone to a replica, and went elsewhere.
    pub fn record_miss(&mut self, id: &str, now: Millis) {
        let replica = self.replica(id);
        replica.forget(now);
        if replica.misses.len() < MOST_WANTED {
            replica.misses.push_back(now);
        }
    }

    /// Notes that a request waits for a grant.
    pub fn begin_wait(&mut self, id: &str, need: GrantWaiter) {
        self.replica(id).waiting.push(need);
    }

    /// Notes that a request waits no longer.
    pub fn end_wait(&mut self, id: &str, need: GrantWaiter) {
        let waiting = &mut self.replica(id).waiting;
        if let Some(place) = waiting.iter().position(|held| *held == need) {
            waiting.swap_remove(place);
        }
    }

    /// Takes over `count` grants that were issued at `issued` at the earliest, and the share that the keeper tells.
    pub fn add(&mut self, id: &str, count: usize, issued: i64, share: f64, now: Millis) {
        let replica = self.replica(id);
        replica.share = Some((share, now));
        let Ok(end) = Millis::try_from(issued + GRANT_TTL as i64) else { return };
        if count == 0 || end <= now {
            return;
        }
        replica.pause = LEAST_PAUSE;
        // No more are asked for at once: a damaged message is not to fill the memory.
        let count = count.min(MOST_WANTED);
        let place = replica.ends.partition_point(|held| *held <= end);
        (0..count).for_each(|_| replica.ends.insert(place, end));
    }

    /// Grants that a relay may expect a second; nothing where it was told none lately.
    pub fn share(&self, id: &str, now: Millis) -> Option<f64> {
        let (share, told) = self.replicas.get(id)?.share?;
        (now.saturating_sub(told) < SHARE_TIME).then_some(share)
    }

    /// Grants to ask for now, by replica: again and again with longer pauses, as long as they are wanted, and then none.
    pub fn due_requests(&mut self, now: Millis) -> Vec<GrantRequest> {
        let mut due = Vec::new();
        for (id, replica) in &mut self.replicas {
            replica.forget(now);
            let wanted = replica.wanted(now);
            if wanted == 0 {
                replica.pause = LEAST_PAUSE;
                // Grants for requests that wait no longer would lapse, and others wait.
                if replica.asked.take().is_some() {
                    due.push(GrantRequest { id: id.clone(), count: 0, valid_for: 0 });
                }
                continue;
            }
            if replica.asked.is_some_and(|asked| now.saturating_sub(asked) < replica.pause) {
                continue;
            }
            replica.asked = Some(now);
            replica.pause = (replica.pause * 2).clamp(LEAST_PAUSE, MOST_PAUSE);
            due.push(GrantRequest { id: id.clone(), count: wanted, valid_for: replica.lasts(now) });
        }
        due
    }

    /// Whether any grant is wanted, or was asked for and is wanted no longer.
    pub fn has_requests(&self, now: Millis) -> bool {
        self.replicas.values().any(|replica| replica.wanted(now) > 0 || replica.asked.is_some())
    }

    /// Drops replicas that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, replica| !replica.waiting.is_empty() || is_limited(id));
    }
}

/// Moments at which refused callers are told to come back, one after the other at the rate that is left: all told the same
/// moment, they would be refused again together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    next: f64,
}

impl RetrySchedule {
    /// Time after which the next refused caller comes back: not before `left` milliseconds, and `per_second` in a row. Beyond
    /// the longest wait the moment is drawn, `draw` being uniform in 0..1.
    pub fn next_delay(&mut self, left: Millis, per_second: f64, draw: f64, now: Millis) -> Millis {
        let now = now as f64;
        let most = MAX_WAIT as f64;
        let slot = self.next.max(now + left as f64) + 1_000.0 / per_second.max(0.1);
        if slot - now > most {
            return (most / 2.0 * (1.0 + draw)) as Millis;
        }
        self.next = slot;
        (slot - now) as Millis
    }
}
