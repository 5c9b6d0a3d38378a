//! Waits for capacity at ranked services.
//!
//! A stream of a ranked service is dispatched over a path that has memory for it. If there is none,
//! or a more urgent request waits, it joins the queue of its service
//! ([`switchfold_router::admission`]). A request that could start only after its caller stops
//! waiting is refused early, with a time from the schedule of returns
//! ([`switchfold_router::returns`]).

use std::{rc::Rc, time::Duration};

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    admission::{AdmissionQueue, QueueConfig, QueueRefusal, QueuedRequest, Ticket},
    path::PathStage,
    returns::{PromiseTable, ReturnSchedule},
};
use tokio::{task::yield_now, time::sleep};

use crate::{
    admit::Permit,
    counts::count,
    paths::{
        CrossingRule, MemoryRule, OvercommitRule, PathCriteria, find_crossing_path, find_path,
        lacks_complete_path, record_missed_grant, wait_for_grant,
    },
    request::CallerRequest,
    responses::Refusal,
    settings::OverloadControl,
    state::Relay,
};

/// Interval at which a waiting request looks for a path although no change was observed: replicas
/// free memory that other relays reserved, and messages about it may be lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time for which callers wait for the first event, in milliseconds.
const MIN_CALLER_WAIT: Millis = 2_000;

/// Number of objectives for which callers wait, if that is longer.
const CALLER_WAIT_OBJECTIVES: Millis = 4;

/// Number of longest pauses for which callers wait, if that is longer.
const CALLER_WAIT_PAUSES: Millis = 8;

/// Percentage of its caller's wait for which a request is queued. The rest is for its prompt and
/// its first event at engines that are full.
const QUEUED_PERCENT: Millis = 60;

/// Percentage of the objective for which a request waits for a path that has memory left. After
/// it, a path may be overcommitted: engines admit by rank as well, and most of the objective is
/// left for the first event.
const PLANNED_PERCENT: Millis = 10;

/// Fraction of the remaining time up to which callers honour `Retry-After`, less a tenth for the
/// transit.
const HONOURED_FRACTION: f64 = 0.9 / 3.0;

/// Delay told to a refused caller for whom the schedule has no slot, in milliseconds: the usual
/// time in which a gap in the layers is filled.
const DEFAULT_RETURN_DELAY: Millis = 1_400;

/// Admission of streams to one ranked service.
#[derive(Debug)]
pub struct ServiceAdmission {
    /// Requests that wait.
    pub queue: AdmissionQueue,
    /// Times told to refused callers.
    pub returns: ReturnSchedule,
    /// The same times, by request.
    pub promises: PromiseTable,
}

impl Default for ServiceAdmission {
    fn default() -> Self {
        Self {
            queue: AdmissionQueue::new(QueueConfig::default()),
            returns: ReturnSchedule::new(),
            promises: PromiseTable::default(),
        }
    }
}

/// What happens to a request whose wait ends without a path that has memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitEnd {
    /// It is refused. It has not been sent before.
    Refuse,
    /// It is sent over a path that is short of memory, because its caller would lose events.
    SendCrowded,
}

/// How long a request waits for capacity.
#[derive(Clone, Copy, Debug)]
pub struct CapacityWait {
    /// Latest start with which the request is usually on time.
    pub latest_start: Millis,
    /// Time from which it may be sent over a path that is short of memory.
    pub overcommit_after: Millis,
    /// Time at which the wait ends.
    pub leaves_at: Millis,
    /// What happens then.
    pub end: WaitEnd,
}

impl CapacityWait {
    /// Returns the wait of a request that has not been sent yet.
    pub fn of_new(relay: &Relay, request: &CallerRequest, permit: &Permit) -> Self {
        let objective = permit.route.objective;
        let first_event = {
            let mut state = relay.state.borrow_mut();
            let admission = state.admissions.entry(permit.service.clone()).or_default();
            admission.queue.usual_first_event(objective)
        };
        let arrived_at = request.arrived_at;
        let queued =
            caller_wait(permit.route.objective, permit.route.max_event_gap) * QUEUED_PERCENT / 100;
        Self {
            latest_start: arrived_at + objective.saturating_sub(first_event),
            overcommit_after: arrived_at + objective * PLANNED_PERCENT / 100,
            leaves_at: (arrived_at + queued).min(request.deadline),
            end: WaitEnd::Refuse,
        }
    }

    /// Returns the wait of a request that was sent before, until `leaves_at`.
    pub fn of_resumed(leaves_at: Millis) -> Self {
        Self { latest_start: leaves_at, overcommit_after: 0, leaves_at, end: WaitEnd::SendCrowded }
    }
}

/// Returns how long a caller waits for an event, in milliseconds, by the objective of its route for
/// the first event and the longest pause between events.
pub fn caller_wait(objective: Millis, max_pause: Millis) -> Millis {
    let by_objective = objective * CALLER_WAIT_OBJECTIVES;
    by_objective.max(max_pause * CALLER_WAIT_PAUSES).max(MIN_CALLER_WAIT)
}

/// Returns whether requests with this permit wait in order and are refused early.
pub fn controls_overload(relay: &Relay, permit: &Permit) -> bool {
    relay.settings.overload_control == OverloadControl::Ranked
        && permit.config.is_ranked(&permit.service)
}

/// Returns how far paths of requests with this permit may exceed the memory of their replicas.
pub fn overcommit_rule(relay: &Relay, permit: &Permit) -> OvercommitRule {
    match controls_overload(relay, permit) {
        true => OvercommitRule::Limited,
        false => OvercommitRule::Unlimited,
    }
}

/// Records the time from sending a request to its response head.
pub fn record_first_event(relay: &Relay, permit: &Permit, took: Millis) {
    let mut state = relay.state.borrow_mut();
    let admission = state.admissions.entry(permit.service.clone()).or_default();
    admission.queue.record_first_event(took, now_millis());
}

/// A request's place in the queue; given up when dropped.
struct QueuePlace<'a> {
    relay: &'a Relay,
    service: &'a str,
    ticket: Ticket,
}

impl QueuePlace<'_> {
    /// Returns the number of candidates before this request; `None` if it is not a candidate.
    fn position(&self, now: Millis) -> Option<usize> {
        let state = self.relay.state.borrow();
        let candidates = state.admissions.get(self.service)?.queue.candidates(now);
        candidates.iter().position(|candidate| *candidate == self.ticket)
    }

    /// Waits until the candidates before this request had a chance to look for a path, and returns
    /// whether it may look as well. Each request is a task of its own; freed capacity wakes them
    /// all, and would otherwise go to the one that is polled first. If capacity is freed during the
    /// wait, those before it have not looked since, so the wait starts again.
    async fn take_turn(&self) -> bool {
        loop {
            let freed = self.relay.capacity_freed.get();
            let Some(position) = self.position(now_millis()) else { return false };
            for _ in 0..position {
                yield_now().await;
            }
            if self.relay.capacity_freed.get() == freed {
                return position == 0 || self.position(now_millis()).is_some();
            }
        }
    }

    fn is_displaced(&self) -> bool {
        let state = self.relay.state.borrow();
        let admission = state.admissions.get(self.service);
        admission.is_none_or(|admission| admission.queue.is_displaced(self.ticket))
    }

    fn admit(&self, now: Millis) {
        if let Some(admission) = self.relay.state.borrow_mut().admissions.get_mut(self.service) {
            admission.queue.admit(self.ticket, now);
        }
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let Some(admission) = self.relay.state.borrow_mut().admissions.get_mut(self.service) {
            admission.queue.leave(self.ticket);
        }
        // The next request in order may fit now.
        self.relay.notify_capacity();
    }
}

/// Waits for a path that has memory for the request, in the order of the queue. Returns `None` if
/// there is no path at all.
///
/// # Errors
///
/// Returns the refusal of a request that cannot start in time.
pub async fn wait_for_capacity(
    relay: &Rc<Relay>,
    request: &CallerRequest,
    criteria: &PathCriteria<'_>,
    permit: &Permit,
    wait: CapacityWait,
) -> Result<Option<Vec<PathStage>>, Refusal> {
    let place = match join(relay, criteria, permit, request, wait) {
        Ok(place) => place,
        Err(QueueRefusal::Expired) if wait.end == WaitEnd::SendCrowded => {
            return Ok(find_crowded_path(relay, criteria));
        }
        Err(_) => return Err(refuse_early(relay, request, permit)),
    };
    let mut grant_wait = None;
    loop {
        let may_look = place.take_turn().await;
        let now = now_millis();
        if may_look {
            if let Some(path) = find_free_path(relay, criteria, wait, now) {
                place.admit(now);
                record_missed_grant(relay, criteria, &path);
                cancel_return(relay, request, permit, now);
                return Ok(Some(path));
            }
            grant_wait = grant_wait.or_else(|| wait_for_grant(relay, criteria, wait.leaves_at));
        }
        if now >= wait.leaves_at || place.is_displaced() {
            drop(place);
            return match wait.end {
                WaitEnd::Refuse => Err(refuse_early(relay, request, permit)),
                WaitEnd::SendCrowded => Ok(find_crowded_path(relay, criteria)),
            };
        }
        let remaining = Duration::from_millis(wait.leaves_at - now);
        tokio::select! {
            () = relay.capacity_notify.notified() => {}
            () = sleep(CHECK_INTERVAL.min(remaining)) => {}
        }
    }
}

/// Returns a path that has memory, or one over several data centres if none has all layers.
fn find_free_path(
    relay: &Relay,
    criteria: &PathCriteria<'_>,
    wait: CapacityWait,
    now: Millis,
) -> Option<Vec<PathStage>> {
    let free = find_path(relay, criteria, MemoryRule::Required, CrossingRule::Never);
    free.or_else(|| {
        let crowded = find_path(relay, criteria, MemoryRule::Preferred, CrossingRule::Never);
        match crowded {
            Some(_) => crowded.filter(|_| now >= wait.overcommit_after),
            None => lacks_complete_path(relay, criteria, wait.leaves_at)
                .then(|| find_crossing_path(relay, criteria))
                .flatten(),
        }
    })
}

/// Returns a path that may be short of memory, or one over several data centres if none has all
/// layers.
fn find_crowded_path(relay: &Relay, criteria: &PathCriteria<'_>) -> Option<Vec<PathStage>> {
    let crowded = find_path(relay, criteria, MemoryRule::Preferred, CrossingRule::Never);
    crowded.or_else(|| {
        lacks_complete_path(relay, criteria, now_millis())
            .then(|| find_crossing_path(relay, criteria))
            .flatten()
    })
}

/// Frees the promised return of a caller that came back before its time and is served now.
fn cancel_return(relay: &Relay, request: &CallerRequest, permit: &Permit, now: Millis) {
    let mut state = relay.state.borrow_mut();
    let Some(admission) = state.admissions.get_mut(&permit.service) else { return };
    let due = admission.promises.take(&request.fingerprint, now);
    if let Some(due) = due.filter(|due| now < *due) {
        admission.returns.cancel(due);
    }
}

fn join<'a>(
    relay: &'a Relay,
    criteria: &PathCriteria<'a>,
    permit: &Permit,
    request: &CallerRequest,
    wait: CapacityWait,
) -> Result<QueuePlace<'a>, QueueRefusal> {
    let queued = QueuedRequest {
        rank: criteria.rank,
        organisation: permit.organisation.clone(),
        tokens: criteria.tokens,
        arrived_at: request.arrived_at,
        latest_start: wait.latest_start,
        leaves_at: wait.leaves_at,
    };
    let now = now_millis();
    let mut state = relay.state.borrow_mut();
    let admission = state.admissions.entry(criteria.service.to_owned()).or_default();
    let expected = admission.queue.expected_start(criteria.rank, now);
    let is_empty = admission.queue.depth_by_rank().iter().all(|depth| *depth == 0);
    let starts_too_late = !is_empty && expected.is_some_and(|at| at > wait.leaves_at);
    if wait.end == WaitEnd::Refuse && starts_too_late {
        return Err(QueueRefusal::Expired);
    }
    let ticket = admission.queue.join(queued, now)?;
    drop(state);
    Ok(QueuePlace { relay, service: criteria.service, ticket })
}

/// Returns the refusal of a request that is not sent, with the time at which its caller is to come
/// back.
fn refuse_early(relay: &Relay, request: &CallerRequest, permit: &Permit) -> Refusal {
    let now = now_millis();
    let longest = (request.time_remaining(now) as f64 * HONOURED_FRACTION) as Millis;
    let draw = relay.random.borrow_mut().random();
    let mut state = relay.state.borrow_mut();
    let admission = state.admissions.entry(permit.service.clone()).or_default();
    count(&relay.counts.early_refusals);
    if let Some(delay) = admission.promises.restate(&request.fingerprint, now) {
        count(&relay.counts.returns_refused);
        return Refusal::Overloaded(delay);
    }
    if let Some(due) = admission.promises.take(&request.fingerprint, now) {
        admission.returns.cancel(due);
    }
    let expected = admission.queue.expected_start(permit.priority, now);
    let ready_in = expected.map_or(0, |start| start.saturating_sub(now)).min(longest);
    let rate = admission.queue.admissions_per_second(now).unwrap_or(0.0);
    let slot = admission.returns.assign(permit.priority, ready_in, rate, longest, draw, now);
    let Some(delay) = slot else {
        // Without a slot there is no promise: cancelling it would free the slot of another caller
        // that was told the same time.
        return Refusal::Overloaded(DEFAULT_RETURN_DELAY.min(longest));
    };
    count(&relay.counts.promised_returns);
    admission.promises.record(request.fingerprint, delay, now);
    Refusal::Overloaded(delay)
}
