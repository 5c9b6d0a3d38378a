//! Moves of streams of ranked services, within the capacity of the replicas.
//!
//! At other services a stream orders its move at each check, whatever memory the new path has.

use std::rc::Rc;

use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    instance::ReplicaInstance,
    moves::{DelayCause, FIRST_BACKOFF, MAX_LOOK_DELAY, MoveDelay, MoveOutcome, UNANSWERED_TIME},
    path::PathStage,
};

use super::{CHECK_INTERVAL, StreamForwarder, recovery::MAX_REPATHS};
use crate::{
    admission::controls_overload,
    counts::count,
    engines::{OrderOutcome, probe_replicas},
    paths::{CrossingRule, MemoryRule, find_path, request_capacity},
    state::{Relay, StageState},
    stream::MAX_REJECTIONS,
};

/// Number of times that the interval between checks or resumptions doubles; four intervals of
/// 100 ms and more take until callers leave.
const MAX_DOUBLINGS: u32 = 4;

/// Pause up to which a stream whose turn to move comes soon is not resumed elsewhere instead, in
/// milliseconds. A move keeps the KV cache; half of the least time for which callers wait is left
/// to resume.
const MAX_TURN_PAUSE: Millis = 1_000;

/// Status of a refused order whose path is not there or has no capacity.
const STATUS_CONFLICT: u16 = 409;

/// What a stream without events waits for.
#[derive(Debug, Default)]
pub(super) struct MoveWait {
    /// Earliest time at which the stream is looked at again, whatever changes meanwhile; 0 if it
    /// does not wait.
    pub(super) until: Millis,
    /// Why its move is delayed, and its place among those that wait.
    queued: Option<QueuedMove>,
    /// Number of checks since the last event that found no lost replica.
    checks: u32,
    /// Number of failed attempts to resume since the last event.
    failed_resumes: u32,
}

/// A delayed move; its place among those that wait is given up when dropped.
#[derive(Debug)]
struct QueuedMove {
    relay: Rc<Relay>,
    delay: MoveDelay,
}

impl Drop for QueuedMove {
    fn drop(&mut self) {
        self.relay.state.borrow_mut().moves.withdraw(&self.delay);
    }
}

/// A path that a stream may move to.
struct MovePlan {
    path: Vec<PathStage>,
    tokens: f64,
    /// Stages that do not hold the KV cache of the request yet, each with the number of further
    /// requests for which it has memory.
    new_stages: Vec<(ReplicaInstance, usize)>,
}

impl StreamForwarder {
    /// Returns whether requests of the service compete by rank.
    pub(super) fn is_ranked(&self) -> bool {
        controls_overload(&self.relay, &self.current.permit)
    }

    /// Returns whether a stream of a ranked service can be resumed nowhere. It may still move, or
    /// continue where it is.
    pub(super) fn is_exhausted(&self) -> bool {
        let (route, history) = (&self.current.permit.route, &self.history);
        self.is_ranked()
            && (!route.is_repeatable()
                || history.sends() >= route.max_attempts.max(1)
                || history.rejections() >= MAX_REJECTIONS)
    }

    /// Returns whether a silent stream only waits for moves that are under way or go first.
    pub(super) fn waits_for_turn(&self) -> bool {
        let end = self.current.last_progress + MAX_TURN_PAUSE;
        self.move_wait.queued.as_ref().is_some_and(|queued| {
            queued.delay.cause == DelayCause::Turn && queued.delay.until < end
        })
    }

    /// Returns when to try again to leave a replica that is about to leave; `None` if the stream
    /// was moved or cannot be.
    pub(super) fn next_leave_at(&self) -> Option<Millis> {
        self.move_wait.queued.as_ref().map(|queued| queued.delay.until)
    }

    /// Returns the interval until the next attempt to resume; at ranked services it doubles.
    pub(super) fn resume_interval(&mut self, interval: Millis) -> Millis {
        if !self.is_ranked() {
            return interval;
        }
        let doublings = self.move_wait.failed_resumes.min(MAX_DOUBLINGS);
        self.move_wait.failed_resumes += 1;
        interval << doublings
    }

    /// Ends the wait of a stream that has events again or was moved. One that has events and is
    /// about to leave a replica keeps its place among the moves that wait.
    pub(super) fn end_move_wait(&mut self) {
        let wait = std::mem::take(&mut self.move_wait);
        if wait.until > 0 || wait.checks > 0 {
            self.next_check = 0;
        }
        self.move_wait.queued = wait.queued.filter(|_| self.leave_at.is_some());
    }

    /// Recovers a stream without events that can be resumed nowhere: moves it if a replica of its
    /// path is lost, and otherwise waits for its events. Its caller decides how long.
    pub(super) async fn recover_exhausted(&mut self) {
        let now = now_millis();
        if !self.is_path_lost() {
            let doublings = self.move_wait.checks.min(MAX_DOUBLINGS);
            self.move_wait.checks += 1;
            // A loss that is reported meanwhile is handled at once.
            self.next_check = now + (CHECK_INTERVAL << doublings);
            return;
        }
        let why = "a replica of the path is lost";
        self.current.tracker.record_loss(&self.relay, &self.request, why);
        if self.relay.stage_state(&self.current.path[0]) == StageState::Lost {
            return self.wait_for_events("the first replica is lost");
        }
        if !self.repath().await && self.move_wait.until <= now {
            self.wait_for_events(why);
        }
    }

    fn look_again_at(&mut self, at: Millis) {
        self.move_wait.until = at;
    }

    /// Leaves a stream that can neither move nor be resumed to its present path, where it may
    /// still continue.
    fn wait_for_events(&mut self, why: &str) {
        self.look_again_at(now_millis() + (CHECK_INTERVAL << MAX_DOUBLINGS));
        let id = &self.request.headers.attempt_id;
        let quiet_ms = now_millis() - self.last_forwarded;
        let rank = self.current.permit.priority;
        let not_resumed = "no attempt left";
        tracing::info!(event = "stream-waits", request = id, rank, why, not_resumed, quiet_ms);
    }

    /// Moves the request to a path whose new stages have memory for it, if the limiter allows that
    /// now. Returns whether the request was moved.
    pub(super) async fn repath_with_capacity(&mut self, excluded: &[ReplicaInstance]) -> bool {
        // Kept until the limiter has seen the stream return, and dropped if it sees it no more.
        let _queued = self.move_wait.queued.take();
        for _ in 0..MAX_REPATHS {
            let Some(plan) = self.plan_move(excluded) else {
                self.log_impossible_move();
                return false;
            };
            let now = now_millis();
            let rank = self.current.permit.priority;
            let begun = self.relay.state.borrow_mut().moves.try_begin(&plan.new_stages, rank, now);
            if let Err(delay) = begun {
                self.delay_move(delay, now);
                return false;
            }
            let new_stages: Vec<ReplicaInstance> =
                plan.new_stages.into_iter().map(|(instance, _)| instance).collect();
            let end = self.order_move(plan.path, plan.tokens).await;
            let outcome = self.move_outcome(end);
            let now = now_millis();
            if end == OrderOutcome::NotSent {
                // The first engine may accept orders again before the caller gives up.
                self.look_again_at(now + FIRST_BACKOFF);
            }
            self.relay.state.borrow_mut().moves.finish(&new_stages, outcome.clone(), now);
            match outcome {
                MoveOutcome::Accepted => {
                    self.end_move_wait();
                    return true;
                }
                // The next path avoids the replica that refused.
                MoveOutcome::Refused(_) => {}
                MoveOutcome::Unanswered => {
                    self.look_again_at(now + UNANSWERED_TIME);
                    return false;
                }
                MoveOutcome::Void => return false,
            }
        }
        self.look_again_at(now_millis() + FIRST_BACKOFF);
        false
    }

    /// Delays the next check of a stream of a ranked service that cannot move, unless its move is
    /// delayed already.
    pub(super) fn delay_next_check(&mut self) {
        let now = now_millis();
        if self.is_ranked() && self.move_wait.until <= now {
            self.look_again_at(now + MAX_LOOK_DELAY);
        }
    }

    /// Returns what an order tells about the replicas of its path. Probes the replica that a
    /// refusal names, which may be lost.
    fn move_outcome(&self, end: OrderOutcome) -> MoveOutcome {
        match end {
            OrderOutcome::Taken => MoveOutcome::Accepted,
            OrderOutcome::Unknown => MoveOutcome::Unanswered,
            OrderOutcome::Refused(STATUS_CONFLICT, faulty_replica) => {
                probe_replicas(&self.relay, faulty_replica.into_iter());
                let instance = faulty_replica.and_then(|at| self.relay.instance_at(at));
                MoveOutcome::Refused(instance)
            }
            OrderOutcome::Refused(..) | OrderOutcome::NotSent => MoveOutcome::Void,
        }
    }

    fn delay_move(&mut self, delay: MoveDelay, now: Millis) {
        count(&self.relay.counts.moves_delayed);
        tracing::info!(
            event = "move-delayed",
            request = self.request.headers.attempt_id,
            rank = self.current.permit.priority,
            replica = %delay.replica,
            cause = ?delay.cause,
            for_ms = delay.until - now,
            quiet_ms = now - self.last_forwarded,
        );
        self.look_again_at(delay.until);
        self.move_wait.queued = Some(QueuedMove { relay: self.relay.clone(), delay });
    }

    /// Returns the cheapest path whose replicas have memory for the request and have not just
    /// refused a move. If there is none, returns the cheapest path, at which the limiter delays the
    /// move.
    fn plan_move(&self, excluded: &[ReplicaInstance]) -> Option<MovePlan> {
        let tokens = self.move_criteria(excluded)?.tokens;
        let avoided = self.replicas_to_avoid(excluded)?;
        // The stages that remain hold the request already, so that its own reservation must not
        // make them appear full.
        self.exclude_own_reservation(tokens, |this| {
            let find = |excluded: &[ReplicaInstance], rule| {
                let criteria = this.move_criteria(excluded)?;
                find_path(&this.relay, &criteria, rule, CrossingRule::Never)
            };
            let path = find(&avoided, MemoryRule::Required)
                .or_else(|| find(excluded, MemoryRule::Preferred))?;
            let new_stages = this.new_stages(&path, tokens)?;
            Some(MovePlan { path, tokens, new_stages })
        })
    }

    /// Returns the excluded replicas and those of the service that lack room for a move, by their
    /// present reservations.
    fn replicas_to_avoid(&self, excluded: &[ReplicaInstance]) -> Option<Vec<ReplicaInstance>> {
        let criteria = self.move_criteria(excluded)?;
        let now = now_millis();
        let mut state = self.relay.state.borrow_mut();
        let service = state.fleet.view.of_service(criteria.service);
        let refusing = service.filter(|replica| state.moves.lacks_room(&replica.instance, now));
        let engine = criteria.engine;
        let mean_tokens =
            f64::from(engine.mean_prompt_tokens) + f64::from(engine.mean_completion_tokens);
        let refusing: Vec<(ReplicaInstance, f64)> = refusing
            .filter_map(|replica| Some((replica.instance.clone(), replica.layers?.len())))
            .map(|(instance, held)| (instance, mean_tokens * f64::from(held)))
            .collect();
        let mut avoided = excluded.to_vec();
        for (instance, token_layers) in refusing {
            let free = request_capacity(&state, engine, &instance, token_layers);
            state.moves.record_room(&instance, free);
            if state.moves.lacks_room(&instance, now) {
                avoided.push(instance);
            }
        }
        Some(avoided)
    }

    /// Calls `decide` while the memory that this stream has reserved counts as free.
    fn exclude_own_reservation<T>(&self, tokens: f64, decide: impl FnOnce(&Self) -> T) -> T {
        let amount = |stage: &PathStage| tokens * f64::from(stage.range.len());
        for stage in &self.current.path {
            let mut state = self.relay.state.borrow_mut();
            state.memory_reservations.release(&stage.instance, amount(stage));
        }
        let decision = decide(self);
        for stage in &self.current.path {
            let mut state = self.relay.state.borrow_mut();
            state.memory_reservations.reserve(&stage.instance, amount(stage));
        }
        decision
    }

    /// Returns the stages of a path that do not hold the KV cache of the request yet.
    fn new_stages(&self, path: &[PathStage], tokens: f64) -> Option<Vec<(ReplicaInstance, usize)>> {
        let engine = self.move_criteria(&[])?.engine;
        let state = self.relay.state.borrow();
        let is_kept = |stage: &PathStage| {
            self.current.path.iter().any(|old| {
                old.instance == stage.instance
                    && old.range.from <= stage.range.from
                    && stage.range.to <= old.range.to
            })
        };
        let new = path.iter().filter(|stage| !is_kept(stage));
        let capacity = |stage: &PathStage| {
            let token_layers = tokens * f64::from(stage.range.len());
            request_capacity(&state, engine, &stage.instance, token_layers) as usize
        };
        Some(new.map(|stage| (stage.instance.clone(), capacity(stage))).collect())
    }
}
