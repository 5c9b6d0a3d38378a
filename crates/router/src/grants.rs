//! Grants held by a relay. Each grant permits one request to a replica that reported a rate limit.
//!
//! A limit applies to all relays together, so relays that counted only their own requests would
//! exceed it. A request to a limited replica therefore needs a grant, which the relay that
//! coordinates the limit issues ([`issuer`](crate::issuer)) and which expires after [`GRANT_TTL`].
//! A relay requests grants when requests find none, and ahead of time for as many requests as it
//! sends within the lifetime of a grant.
//!
//! The trade-off: a request that finds no grant goes to another replica at once if it can, and the
//! grant requested for it serves a later request; otherwise it waits for a grant. Worst case:
//! grants of a relay with little traffic expire unused, so the limit is not used in full.

use std::collections::{HashMap, VecDeque};

use crate::Millis;

/// Lifetime of a grant, in milliseconds. Grants issued within this time before a window of some
/// seconds can be spent in that window on top of its own, so the lifetime must be small against the
/// window. It must also cover the transit of the grant and the time until the next request.
pub const GRANT_TTL: Millis = 300;

/// Period over which the sends to a replica are counted, in milliseconds.
const RATE_PERIOD: Millis = 1_000;

/// Shortest and longest pause before grants are requested again, in milliseconds. The longest is
/// below [`REQUEST_TTL`], so that the request of a relay that keeps missing grants does not expire
/// in between.
const MIN_RETRY_PAUSE: Millis = 25;
const MAX_RETRY_PAUSE: Millis = 800;

/// Age at which an announced share of a limit is outdated, in milliseconds.
const SHARE_MAX_AGE: Millis = 3_000;

/// Estimated wait for a grant while the share is unknown, in milliseconds: one round trip to the
/// coordinator.
const FIRST_GRANT_WAIT: Millis = 50;

/// Upper bound of the estimated wait for a grant, in milliseconds.
pub const MAX_WAIT: Millis = 10_000;

/// Largest number of grants requested for one replica at once.
const MAX_REQUESTED: usize = 256;

/// Lifetime of a grant request of a relay that keeps missing grants, in milliseconds.
const REQUEST_TTL: Millis = 1_000;

/// A grant issued less than this long before a waiting request gives up comes too late for it, in
/// milliseconds: the transit of the grant plus the time until the request checks for it.
const DELIVERY_MARGIN: Millis = 50;

/// A request that waits for a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GrantWaiter {
    /// Priority rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Time at which the request stops waiting.
    pub deadline: Millis,
}

/// A request for grants, to be sent to the coordinator of the limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// Id of the replica.
    pub id: String,
    /// Number of grants; 0 withdraws an earlier request.
    pub count: usize,
    /// Time for which the request stands, in milliseconds.
    pub valid_for: Millis,
}

/// Grants and demand of this relay for one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaGrants {
    /// Expiry times of the grants, earliest first.
    expiries: VecDeque<Millis>,
    /// Times at which requests found no grant and went elsewhere.
    misses: VecDeque<Millis>,
    sends: VecDeque<Millis>,
    waiting: Vec<GrantWaiter>,
    /// Grants per second that this relay can expect, and when the coordinator announced it.
    share: Option<(f64, Millis)>,
    /// Limit under which the grants were issued.
    limit: Option<f64>,
    /// Time of the last grant request, as long as it may stand.
    requested: Option<Millis>,
    retry_pause: Millis,
}

fn drop_until(times: &mut VecDeque<Millis>, cutoff: Millis) {
    while times.front().is_some_and(|time| *time <= cutoff) {
        times.pop_front();
    }
}

impl ReplicaGrants {
    fn expire(&mut self, now: Millis) {
        drop_until(&mut self.expiries, now);
        drop_until(&mut self.misses, now.saturating_sub(GRANT_TTL));
        drop_until(&mut self.sends, now.saturating_sub(RATE_PERIOD));
        self.share =
            self.share.filter(|(_, announced)| now.saturating_sub(*announced) < SHARE_MAX_AGE);
    }

    fn held(&self, now: Millis) -> usize {
        self.expiries.iter().filter(|expiry| **expiry > now).count()
    }

    /// Returns whether a request of this rank can have a grant once one is set aside for each more
    /// urgent waiter.
    fn is_available(&self, rank: u8, now: Millis) -> bool {
        let more_urgent = self.waiting.iter().filter(|waiter| waiter.rank < rank).count();
        self.held(now) > more_urgent
    }

    /// Returns the number of grants to request in addition to those held.
    fn shortfall(&self, now: Millis) -> usize {
        let held = self.held(now);
        let urgent = self.misses.len() + self.waiting.len();
        let prefetch = self.sends.len() * GRANT_TTL as usize / RATE_PERIOD as usize;
        // Prefetch in batches once half of the grants are spent, rather than one by one.
        let prefetch = if held * 2 <= prefetch { prefetch } else { 0 };
        urgent.max(prefetch).saturating_sub(held).min(MAX_REQUESTED)
    }

    /// Returns for how long a grant request stands. If only waiting requests need grants, until the
    /// last of them gives up.
    fn request_ttl(&self, now: Millis) -> Millis {
        let has_traffic = self.misses.len() + self.sends.len() > 0;
        let last = self.waiting.iter().map(|waiter| waiter.deadline).max().filter(|_| !has_traffic);
        last.map_or(REQUEST_TTL, |last| last.saturating_sub(now + DELIVERY_MARGIN))
    }

    /// Estimates the time until one more request gets a grant.
    fn estimate_wait(&self, now: Millis) -> Millis {
        let missing = (self.waiting.len() + 1).saturating_sub(self.held(now));
        match self.share {
            None => FIRST_GRANT_WAIT,
            Some((share, _)) => {
                let wait = missing as f64 * 1_000.0 / share.max(f64::MIN_POSITIVE);
                (wait.ceil() as Millis).clamp(1, MAX_WAIT)
            }
        }
    }
}

/// Grants that this relay holds and needs, by replica id.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants {
    replicas: HashMap<String, ReplicaGrants>,
}

impl HeldGrants {
    fn replica(&mut self, id: &str) -> &mut ReplicaGrants {
        self.replicas.entry(id.to_owned()).or_default()
    }

    /// Estimates the time until a request of this rank gets a grant, in milliseconds. Returns
    /// `None` if one is available now.
    pub fn wait(&self, id: &str, rank: u8, now: Millis) -> Option<Millis> {
        match self.replicas.get(id) {
            None => Some(FIRST_GRANT_WAIT),
            Some(replica) => (!replica.is_available(rank, now)).then(|| replica.estimate_wait(now)),
        }
    }

    /// Spends the grant that expires first and returns its expiry time.
    ///
    /// # Errors
    ///
    /// If no grant is available, returns the estimated time until there is one, in milliseconds.
    pub fn spend(&mut self, id: &str, rank: u8, now: Millis) -> Result<Millis, Millis> {
        let replica = self.replica(id);
        replica.expire(now);
        if !replica.is_available(rank, now) {
            return Err(replica.estimate_wait(now));
        }
        let expiry = replica.expiries.pop_front().expect("one is held");
        replica.sends.push_back(now);
        replica.misses.pop_front();
        Ok(expiry)
    }

    /// Records the current limit of a replica. Drops the grants issued under a higher one.
    pub fn record_limit(&mut self, id: &str, limit: f64) {
        let replica = self.replica(id);
        if replica.limit.replace(limit).is_some_and(|previous| limit < previous) {
            replica.expiries.clear();
        }
    }

    /// Takes back a grant whose request was not sent. `expiry` is what [`HeldGrants::spend`]
    /// returned.
    pub fn give_back(&mut self, id: &str, expiry: Millis) {
        let replica = self.replica(id);
        replica.expiries.push_front(expiry);
        replica.sends.pop_back();
    }

    /// Records that a request went elsewhere for lack of a grant for this replica.
    pub fn record_miss(&mut self, id: &str, now: Millis) {
        let replica = self.replica(id);
        replica.expire(now);
        if replica.misses.len() < MAX_REQUESTED {
            replica.misses.push_back(now);
        }
    }

    /// Records that a request starts to wait for a grant.
    pub fn begin_wait(&mut self, id: &str, waiter: GrantWaiter) {
        self.replica(id).waiting.push(waiter);
    }

    /// Records that a request no longer waits for a grant.
    pub fn end_wait(&mut self, id: &str, waiter: GrantWaiter) {
        let waiting = &mut self.replica(id).waiting;
        if let Some(index) = waiting.iter().position(|known| *known == waiter) {
            waiting.swap_remove(index);
        }
    }

    /// Adds `count` grants issued by the coordinator, at `issued` at the earliest, and records the
    /// share (grants per second) that it announced. Expired grants are dropped.
    pub fn add(&mut self, id: &str, count: usize, issued: i64, share: f64, now: Millis) {
        let replica = self.replica(id);
        replica.share = Some((share, now));
        let Ok(expiry) = Millis::try_from(issued + GRANT_TTL as i64) else { return };
        if count == 0 || expiry <= now {
            return;
        }
        replica.retry_pause = MIN_RETRY_PAUSE;
        // No more than this are requested at once, so a larger count comes from a corrupt message;
        // the bound keeps it from exhausting memory.
        let count = count.min(MAX_REQUESTED);
        let index = replica.expiries.partition_point(|known| *known <= expiry);
        (0..count).for_each(|_| replica.expiries.insert(index, expiry));
    }

    /// Returns the number of grants per second that this relay can expect, or `None` without a
    /// recent announcement.
    pub fn share(&self, id: &str, now: Millis) -> Option<f64> {
        let (share, announced) = self.replicas.get(id)?.share?;
        (now.saturating_sub(announced) < SHARE_MAX_AGE).then_some(share)
    }

    /// Returns the grant requests to send now. A request is repeated with growing pauses while
    /// grants are needed, and then withdrawn once.
    pub fn due_requests(&mut self, now: Millis) -> Vec<GrantRequest> {
        let mut due = Vec::new();
        for (id, replica) in &mut self.replicas {
            replica.expire(now);
            let count = replica.shortfall(now);
            if count == 0 {
                replica.retry_pause = MIN_RETRY_PAUSE;
                // Grants for requests that no longer wait would expire unused while other relays
                // wait for them.
                if replica.requested.take().is_some() {
                    due.push(GrantRequest { id: id.clone(), count: 0, valid_for: 0 });
                }
                continue;
            }
            if replica.requested.is_some_and(|sent| now.saturating_sub(sent) < replica.retry_pause)
            {
                continue;
            }
            replica.requested = Some(now);
            replica.retry_pause = (replica.retry_pause * 2).clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE);
            due.push(GrantRequest { id: id.clone(), count, valid_for: replica.request_ttl(now) });
        }
        due
    }

    /// Returns whether a grant request is needed or has to be withdrawn.
    pub fn has_requests(&self, now: Millis) -> bool {
        self.replicas
            .values()
            .any(|replica| replica.shortfall(now) > 0 || replica.requested.is_some())
    }

    /// Drops replicas that no longer have a limit, unless requests still wait for their grants.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, replica| !replica.waiting.is_empty() || is_limited(id));
    }
}

/// Schedule of the times at which rejected callers are told to retry, spaced at the available rate.
/// Callers told to retry at the same time would be rejected together again.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    next: f64,
}

impl RetrySchedule {
    /// Returns the delay after which the next rejected caller should retry, in milliseconds: at
    /// least `min_delay`, and spaced at `per_second`. Beyond [`MAX_WAIT`] the delay is random
    /// between half of it and all of it; `draw` is uniform in 0..1.
    pub fn next_delay(
        &mut self,
        min_delay: Millis,
        per_second: f64,
        draw: f64,
        now: Millis,
    ) -> Millis {
        let now = now as f64;
        let max_wait = MAX_WAIT as f64;
        let slot = self.next.max(now + min_delay as f64) + 1_000.0 / per_second.max(0.1);
        if slot - now > max_wait {
            return (max_wait / 2.0 * (1.0 + draw)) as Millis;
        }
        self.next = slot;
        (slot - now) as Millis
    }
}
