//! What replicas say of themselves in their answers: that they want no requests for a time, or that they are leaving.
//!
//! Neither ends with the request that was answered: the one holds back what this relay sends until the time is over, the other is a
//! leaving like any that the store tells, and binds before the store does.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use http::StatusCode;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{AnswerMarks, RetryAfter};
use switchfold_router::{Millis, fleet::ReplicaEntry, life::ReplicaLife};

use crate::{
    answers::Refusal,
    counts::count,
    replicas::take_leaving,
    state::{Beliefs, Relay},
};

/// Hears what an answer of a replica says of that replica.
pub fn hear_notices(relay: &Relay, life: &ReplicaLife, status: StatusCode, marks: &AnswerMarks) {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => hear_backoff(relay, life, marks),
        _ if marks.not_executed => {}
        _ => relay.beliefs.borrow_mut().backoffs.note_served(life, now_millis()),
    }
    if marks.is_leaving {
        take_leaving(relay, life);
    }
}

/// Hears what an answer to a call of an engine's own interface says of the replica that is listed at an address.
pub fn hear_notices_at(
    relay: &Relay,
    address: SocketAddr,
    status: StatusCode,
    marks: &AnswerMarks,
) {
    let life = relay.beliefs.borrow().fleet.view.at(address).map(|replica| replica.life.clone());
    let Some(life) = life else { return };
    if status == StatusCode::SERVICE_UNAVAILABLE {
        hear_backoff(relay, &life, marks);
    }
    if marks.is_leaving {
        take_leaving(relay, &life);
    }
}

fn hear_backoff(relay: &Relay, life: &ReplicaLife, marks: &AnswerMarks) {
    match &marks.retry_after {
        Some(RetryAfter::Millis(asked)) => {
            count(&relay.counts.backoffs_asked);
            relay.beliefs.borrow_mut().backoffs.note(life, *asked, now_millis());
            tracing::info!(event = "backoff-asked", replica = %life, asked);
        }
        Some(RetryAfter::Unreadable(value)) => {
            tracing::warn!(event = "backoff-unreadable", replica = %life, value);
        }
        None => {}
    }
}

/// Decides at the last moment before a request is written whether its replica wants requests: between the choice and that
/// lie a connection and what other requests were told meanwhile.
#[derive(Debug)]
pub struct SendGate<'a> {
    relay: &'a Rc<Relay>,
    life: &'a ReplicaLife,
    passed: Cell<bool>,
}

impl<'a> SendGate<'a> {
    /// Makes the gate of one request to a replica.
    pub fn new(relay: &'a Rc<Relay>, life: &'a ReplicaLife) -> Self {
        Self { relay, life, passed: Cell::new(false) }
    }

    /// Lets the request go.
    ///
    /// # Errors
    ///
    /// Gives the time for which the replica wants none, in milliseconds.
    pub fn pass(&self) -> Result<(), Millis> {
        let mut beliefs = self.relay.beliefs.borrow_mut();
        let passes = beliefs.backoffs.begin_send(self.life, self.passed.get(), now_millis());
        match passes {
            Ok(()) => self.passed.set(true),
            Err(_) => count(&self.relay.counts.held_back),
        }
        passes
    }
}

/// Why a request is refused that no replica takes: where all that could begin it want none for a time, its caller comes
/// back when the first of them may take it. `begins` tells which could begin it.
pub fn refusal_without_replica(
    relay: &Relay,
    service: &str,
    begins: impl Fn(&ReplicaEntry) -> bool,
    otherwise: Refusal,
) -> Refusal {
    let left = soonest_end(&relay.beliefs.borrow(), service, begins);
    left.map_or(otherwise, |left| Refusal::HeldBack(left + relay.draw(RETURN_SPREAD)))
}

/// Time over which callers come back that were refused until the same end, in milliseconds.
const RETURN_SPREAD: Millis = 250;

/// Time until the first of the replicas that could begin a request takes requests again; nothing where one does now, or
/// there is none.
pub fn soonest_end(
    beliefs: &Beliefs,
    service: &str,
    begins: impl Fn(&ReplicaEntry) -> bool,
) -> Option<Millis> {
    let now = now_millis();
    let usable = |replica: &&ReplicaEntry| {
        replica.is_ready() && !beliefs.suspects.is_suspect(&replica.life, now) && begins(replica)
    };
    let replicas = beliefs.fleet.view.of_service(service).filter(usable);
    let mut lefts = replicas.map(|replica| beliefs.backoffs.left(&replica.life, now));
    let first = lefts.next()??;
    lefts.try_fold(first, |soonest, left| Some(soonest.min(left?)))
}
