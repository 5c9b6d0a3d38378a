//! Grants for replicas that named a limit, as the relay that keeps the limit hands them out.
//!
//! One relay keeps the limit of a replica ([`coordinator`](crate::coordinator)). Others ask it for grants; it hands them out one
//! after the other at the rate that the replica named, to each asking relay in turn, so that those with much traffic get what
//! the others leave, and nobody gets more by asking for more.
//!
//! Worst case: as many grants a second as the limit says, those that a tick of the keeper came late for, and one.

use std::collections::{HashMap, VecDeque};

use crate::{Millis, grants::GrantRequest, membership::PeerStamp};

/// Time since its last ask for which a relay has a share of a limit, in milliseconds.
const SHARE_TIME: Millis = 1_000;

/// Time by which grants may be behind the rate and are made up for, in milliseconds: two ticks of the keeper.
const CATCH_UP: f64 = 50.0;

/// Age from which the last word of a replica may no longer hold, in milliseconds: it may take less by now, and nobody was told,
/// since no request reached it.
const STALE_WORD: i64 = 500;

/// Most grants in a second on such a word: their answers tell what the replica takes now.
const MOST_UNPROVED: usize = 3;
const UNPROVED_TIME: Millis = 1_000;

/// Least grants a second. A replica that takes none, or next to none, must be tried now and then, or nobody would hear that
/// it takes requests again; one in five seconds is within what reaches it in flight.
pub const MIN_RATE: f64 = 0.2;

/// Grants for one relay.
#[derive(Clone, Debug, PartialEq)]
pub struct IssuedGrants {
    /// The relay.
    pub relay: String,
    /// Its stamp of the ask that they answer.
    pub stamp: PeerStamp,
    /// Time for which this relay held the ask, in milliseconds.
    pub held_for: Millis,
    /// Count of grants.
    pub count: usize,
    /// Grants a second that it may expect.
    pub share: f64,
}

#[derive(Clone, Debug)]
struct GrantAsk {
    relay: String,
    stamp: PeerStamp,
    heard: Millis,
    wanted: usize,
    lasts: Millis,
}

#[derive(Clone, Debug, Default)]
struct GrantQueue {
    /// When the last grant was due.
    last: f64,
    /// When the last grants were issued, as many as may go on a stale word.
    issued: VecDeque<Millis>,
    asks: VecDeque<GrantAsk>,
    /// When each relay last asked.
    askers: HashMap<String, Millis>,
}

impl GrantQueue {
    fn ask(&mut self, ask: GrantAsk) {
        self.askers.insert(ask.relay.clone(), ask.heard);
        match self.asks.iter_mut().find(|held| held.relay == ask.relay) {
            // One that was overtaken asks for what was wanted before.
            Some(held) if ask.stamp.is_before(held.stamp) => {}
            Some(held) => *held = ask,
            None => self.asks.push_back(ask),
        }
        self.asks.retain(|ask| ask.wanted > 0);
    }

    fn forget(&mut self, now: Millis) {
        self.asks.retain(|ask| now.saturating_sub(ask.heard) < ask.lasts);
        self.askers.retain(|_, heard| now.saturating_sub(*heard) < SHARE_TIME);
    }

    /// Whether one more grant may go on a word of a request that was sent at `said`.
    fn is_proved(&self, said: i64, now: Millis) -> bool {
        let counts = |at: &&Millis| **at as i64 > said && now.saturating_sub(**at) < UNPROVED_TIME;
        now as i64 - said < STALE_WORD || self.issued.iter().filter(counts).count() < MOST_UNPROVED
    }

    fn issue(&mut self, rate: f64, said: i64, now: Millis) -> Vec<IssuedGrants> {
        self.forget(now);
        let share = rate / self.askers.len().max(1) as f64;
        let clock = now as f64;
        // By the rate of now: a replica that takes less than before is not sent what was due by then.
        let pause = 1_000.0 / rate;
        self.last = self.last.max(clock - CATCH_UP - pause);
        let mut issued: Vec<IssuedGrants> = Vec::new();
        while self.last + pause <= clock && self.is_proved(said, now) {
            let Some(mut ask) = self.asks.pop_front() else { break };
            self.last += pause;
            self.issued.push_back(now);
            if self.issued.len() > MOST_UNPROVED {
                self.issued.pop_front();
            }
            match issued.iter_mut().find(|grants| grants.relay == ask.relay) {
                Some(grants) => grants.count += 1,
                None => issued.push(IssuedGrants {
                    relay: ask.relay.clone(),
                    stamp: ask.stamp,
                    held_for: now.saturating_sub(ask.heard),
                    count: 1,
                    share,
                }),
            }
            ask.wanted -= 1;
            if ask.wanted > 0 {
                self.asks.push_back(ask);
            }
        }
        issued
    }
}

/// Asks for grants of the replicas whose limits a relay keeps, by id of the replica.
#[derive(Clone, Debug, Default)]
pub struct GrantIssuer {
    queues: HashMap<String, GrantQueue>,
}

impl GrantIssuer {
    /// Notes that a relay asks for grants, or for none any more.
    pub fn request(&mut self, asked: &GrantRequest, relay: &str, stamp: PeerStamp, now: Millis) {
        let GrantRequest { id, count: wanted, valid_for: lasts } = asked;
        let (wanted, lasts) = (*wanted, *lasts);
        let ask = GrantAsk { relay: relay.to_owned(), stamp, heard: now, wanted, lasts };
        self.queues.entry(id.to_owned()).or_default().ask(ask);
    }

    /// Issues what may be issued now of a replica that takes `per_second` from the relays in touch with this one, by its answer
    /// to a request that was sent at `said`.
    pub fn issue(
        &mut self,
        id: &str,
        per_second: f64,
        said: i64,
        now: Millis,
    ) -> Vec<IssuedGrants> {
        let Some(queue) = self.queues.get_mut(id) else { return Vec::new() };
        queue.issue(per_second.max(MIN_RATE), said, now)
    }

    /// Replicas that grants are asked for.
    pub fn requested_replicas(&self) -> impl Iterator<Item = &str> {
        let asked = self.queues.iter().filter(|(_, queue)| !queue.asks.is_empty());
        asked.map(|(id, _)| id.as_str())
    }

    /// Drops the asks for replicas that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.queues.retain(|id, _| is_limited(id));
    }
}
