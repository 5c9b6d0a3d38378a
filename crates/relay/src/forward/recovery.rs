//! Recovery of a stream if a replica of its path is lost, slow or about to leave.
//!
//! The cheapest way comes first: the engines move the request to another path and keep its KV
//! cache. If they cannot, the stream is resumed after its last event at another replica.

use std::time::Duration;

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::read_response_headers;
use switchfold_router::{Millis, instance::ReplicaInstance, path::PathStage};
use tokio::time::sleep;

use super::StreamForwarder;
use crate::{
    admission::overcommit_rule,
    admit::admit,
    counts::count,
    engines::{OrderOutcome, order_repath, probe_replicas},
    paths::{CrossingRule, MemoryRule, PathCriteria, PathReservation, find_path},
    quarantine::quarantine_remaining,
    request_end::EndCause,
    run_tracker::RunTracker,
    state::StageState,
    stream::{
        OpenOutcome, OpenStream, StreamTarget, find_stalled_replica, open_stream, suspect_at,
        take_retry,
    },
};

/// Pause after which a stream is resumed elsewhere although all its replicas seem healthy, in
/// milliseconds. Callers give up after two seconds without an event.
const MAX_SILENCE: Millis = 1_500;

/// Time since the last event up to which a lost stream waits for a path with enough memory, in
/// milliseconds. Callers give up after two seconds.
const RESUME_WAIT_LIMIT: Millis = 1_500;

/// Maximum number of paths that are ordered one after the other for a stream if each is refused
/// because of another replica. Replicas that share paths are lost two to five at a time, and each
/// order takes some 4 ms.
pub(super) const MAX_REPATHS: usize = 3;

/// Time after a failed attempt to resume a stream until the next one, in milliseconds.
const RESUME_INTERVAL: Millis = 400;

/// Maximum random delay before a lost stream is resumed elsewhere, in milliseconds. The streams of
/// a replica are lost together, and the new replica computes the prompt of each again.
const MAX_RESUME_DELAY: Millis = 150;

/// Maximum random delay before a stream moves off a replica that still serves, in milliseconds. A
/// leaving replica serves for two seconds, and one that is to hold other layers waits for its
/// streams.
const MAX_LEAVE_DELAY: Millis = 1_000;

/// How a stream was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamLoss {
    /// The response ended early.
    Broken,
    /// The replica sent more than the relay accepts.
    Excessive,
    /// No events arrive, or a replica of the path seems lost; the stream may still continue.
    Silent,
}

impl StreamForwarder {
    /// Checks the path after the state of a replica changed. Marks the stream as suspect if a
    /// replica is lost. If one is about to leave, schedules the move off it after a random delay,
    /// since all streams of a leaving replica move and the new one computes each request again.
    pub(super) fn handle_replica_change(&mut self) {
        self.seen_epoch = self.relay.path_check_epoch.get();
        match self.path_state() {
            StageState::Serving => self.leave_at = None,
            StageState::Leaving => {
                let delay = self.draw_delay(MAX_LEAVE_DELAY).as_millis() as Millis;
                self.leave_at = self.leave_at.or(Some(now_millis() + delay));
            }
            // The suspicion may be wrong: a stream that still has events has lost nothing.
            StageState::Lost => self.is_suspect = true,
        }
        self.is_suspect |= self.relay.stage_state(&self.path[0]) == StageState::Lost;
        if self.is_suspect {
            // A stream that pauses already is checked at once: waiting for the next check would
            // take much of the longest pause allowed. One whose move is delayed waits.
            self.next_check = self.move_wait.until;
        }
    }

    /// Moves off replicas that are about to leave, once the stream's random delay has passed.
    pub(super) async fn leave_when_due(&mut self) {
        if self.leave_at.is_some_and(|at| now_millis() >= at) {
            self.leave_at = None;
            if self.path_state() == StageState::Leaving {
                self.repath().await;
                self.leave_at = self.next_leave_at();
            }
        }
    }

    /// Returns the worst state of the stages after the first; the loss of the first breaks the
    /// response.
    fn path_state(&self) -> StageState {
        let states = self.path.iter().skip(1).map(|stage| self.relay.stage_state(stage));
        states.fold(StageState::Serving, |worst, state| match (worst, state) {
            (StageState::Lost, _) | (_, StageState::Lost) => StageState::Lost,
            (StageState::Leaving, _) | (_, StageState::Leaving) => StageState::Leaving,
            _ => StageState::Serving,
        })
    }

    /// Returns whether any replica of the path is lost.
    pub(super) fn is_path_lost(&self) -> bool {
        self.relay.stage_state(&self.path[0]) == StageState::Lost
            || self.path_state() == StageState::Lost
    }

    async fn replace_lost(&mut self) {
        self.run.record_loss(&self.relay, &self.request, "a replica of the path is lost");
        if !self.repath().await && !self.waits_for_turn() {
            self.delay_next_check();
            self.recover("a replica of the path is lost", StreamLoss::Silent).await;
        }
    }

    /// Finds out why no events arrive, and recovers the stream. A probe detects a lost replica
    /// first; the first engine's report of a stall is some hundred milliseconds old.
    pub(super) async fn check_path(&mut self) {
        self.is_suspect = false;
        match self.is_exhausted() {
            true => self.check_exhausted().await,
            false => self.check_resumable().await,
        }
        self.next_check = self.next_check.max(self.move_wait.until);
    }

    async fn check_resumable(&mut self) {
        let first = self.path[0].clone();
        let pause = now_millis() - self.last_progress;
        let first_is_lost = self.relay.stage_state(&first) == StageState::Lost;
        if !first_is_lost && self.path_state() != StageState::Lost {
            if pause < self.max_pause() {
                self.is_probed = true;
                probe_replicas(&self.relay, self.path.iter().map(|stage| stage.address));
                return;
            }
            let id = &self.request.headers.attempt_id;
            if let Some(faulty_replica) = find_stalled_replica(&self.relay, first.address, id).await
            {
                suspect_at(&self.relay, faulty_replica, "stalled");
            }
        }
        if self.relay.stage_state(&first) == StageState::Lost {
            return self.recover("the first replica is lost", StreamLoss::Silent).await;
        }
        if self.path_state() == StageState::Lost {
            return self.replace_lost().await;
        }
        if now_millis() - self.last_progress > MAX_SILENCE {
            self.recover("no event for too long", StreamLoss::Silent).await;
        }
    }

    /// Moves the request to a path without the lost replicas; the others keep its KV cache. Only
    /// within a data centre: the new stages compute the whole request again, and its activations
    /// would have to cross a link that many requests need at the same time. Returns whether the
    /// request was moved.
    ///
    /// If the order is refused because of a replica that it names, the next path avoids that one at
    /// once. Replicas that share paths are lost together, and the refusal reveals the second one
    /// without waiting for the next check.
    pub(super) async fn repath(&mut self) -> bool {
        let mut excluded = self.restarted_replicas();
        // A move counts as a send: the replicas of the new stages begin to run the request.
        if quarantine_remaining(&self.relay, &self.request).is_some() {
            return false;
        }
        if self.is_ranked() {
            return self.repath_with_capacity(&excluded).await;
        }
        for _ in 0..MAX_REPATHS {
            match self.order_path(&excluded).await {
                Some(OrderOutcome::Taken) => return true,
                Some(OrderOutcome::Refused(_, Some(faulty_replica))) => {
                    probe_replicas(&self.relay, std::iter::once(faulty_replica));
                    let state = self.relay.state.borrow();
                    let Some(replica) = state.fleet.view.at_address(faulty_replica) else {
                        return false;
                    };
                    excluded.push(replica.instance.clone());
                }
                _ => return false,
            }
        }
        false
    }

    /// Returns the replicas that restarted since the request reached them. The first engine takes
    /// them for their former instances, which held the KV cache of the request.
    fn restarted_replicas(&self) -> Vec<ReplicaInstance> {
        let state = self.relay.state.borrow();
        let has_ended =
            |stage: &&PathStage| state.fleet.view.get_current(&stage.instance).is_none();
        let ended = self.path.iter().filter(has_ended);
        let restarted = ended.filter_map(|stage| state.fleet.view.at_address(stage.address));
        restarted.map(|replica| replica.instance.clone()).collect()
    }

    /// Orders the first engine to move the request to the cheapest path without the excluded
    /// replicas. Returns `None` if there is no such path.
    async fn order_path(&mut self, excluded: &[ReplicaInstance]) -> Option<OrderOutcome> {
        let criteria = self.move_criteria(excluded)?;
        let tokens = criteria.tokens;
        let path = find_path(&self.relay, &criteria, MemoryRule::Preferred, CrossingRule::Never);
        let Some(path) = path else {
            self.log_impossible_move();
            return None;
        };
        Some(self.order_move(path, tokens).await)
    }

    /// Returns what a path must satisfy that the stream is to continue over, or `None` if its
    /// service runs no model.
    pub(super) fn move_criteria<'a>(
        &'a self,
        excluded: &'a [ReplicaInstance],
    ) -> Option<PathCriteria<'a>> {
        let service = self.permit.config.services.get(&self.permit.service);
        let engine = service.and_then(|service| service.engine.as_ref())?;
        let mean = (engine.mean_prompt_tokens, engine.mean_completion_tokens);
        Some(PathCriteria {
            service: &self.permit.service,
            engine,
            tokens: self.request.estimate_tokens(mean),
            rank: self.permit.priority,
            excluded,
            first: self.path.first().map(|first| (&first.instance, first.range)),
            load_aware: self.relay.settings.load_aware_paths,
            overcommit: overcommit_rule(&self.relay, &self.permit),
        })
    }

    pub(super) fn log_impossible_move(&self) {
        tracing::info!(
            event = "repath-impossible",
            request = self.request.headers.attempt_id,
            first = %self.path[0].instance,
        );
    }

    /// Orders the first engine to continue over a path. If it accepts, the path and the reservation
    /// for `tokens` tokens replace those of the stream.
    pub(super) async fn order_move(&mut self, path: Vec<PathStage>, tokens: f64) -> OrderOutcome {
        let id = &self.request.headers.attempt_id;
        let end = order_repath(&self.relay, id, &path).await;
        let quiet_ms = now_millis() - self.last_progress;
        let (rank, parts) = (self.permit.priority, path.len());
        tracing::info!(event = "repath", request = id, rank, ?end, quiet_ms, parts);
        if matches!(end, OrderOutcome::Refused(..)) {
            count(&self.relay.counts.moves_refused);
        }
        if end == OrderOutcome::Taken {
            self.run = RunTracker::over_path(&path);
            self.run.record_start();
            self.reservation = PathReservation::new(&self.relay, &path, tokens);
            self.path = path;
        }
        end
    }

    /// Resumes a stream at another replica, if its route allows that. The connection to the current
    /// replica is kept until the other one responds: silence alone is no reason to end a stream,
    /// and it may still continue.
    pub(super) async fn recover(&mut self, why: &str, loss: StreamLoss) {
        if loss == StreamLoss::Silent && now_millis() < self.next_resume {
            return;
        }
        tracing::info!(
            event = "stream-lost",
            request = self.request.headers.attempt_id,
            why,
            ?loss,
            sends = self.history.sends,
            first = %self.path[0].instance,
            last_event = self.framer.last_id(),
        );
        if loss == StreamLoss::Broken || self.is_path_lost() {
            self.run.record_loss(&self.relay, &self.request, why);
        }
        if loss == StreamLoss::Broken {
            // The replica may be lost, and with it other streams whose path it is part of.
            probe_replicas(&self.relay, std::iter::once(self.path[0].address));
        }
        if loss == StreamLoss::Excessive {
            self.framer.drop_partial();
            self.partial_event.resize(0);
            self.relay.avoid(&self.path[0].instance, why);
        }
        match (self.resume().await, loss) {
            (Ok(stream), _) => self.switch_to(stream),
            (Err(not_resumed), StreamLoss::Broken | StreamLoss::Excessive) => {
                self.request.record.set_cause(EndCause::ReplicaFailed);
                self.give_up(why, &not_resumed);
            }
            // A quarantined request can be resumed nowhere, so its caller need not wait.
            (Err(not_resumed), StreamLoss::Silent)
                if quarantine_remaining(&self.relay, &self.request).is_some() =>
            {
                self.request.record.set_cause(EndCause::Quarantined);
                self.give_up(why, &not_resumed);
            }
            (Err(not_resumed), StreamLoss::Silent) => {
                self.next_resume = now_millis() + self.resume_interval(RESUME_INTERVAL);
                let id = &self.request.headers.attempt_id;
                tracing::info!(event = "stream-waits", request = id, why, not_resumed);
            }
        }
    }

    /// Opens the stream again after its last event.
    async fn resume(&mut self) -> Result<OpenStream, String> {
        if !self.permit.route.is_repeatable() {
            return Err("the route does not allow a retry".to_owned());
        }
        // Many streams are lost together; their resumptions are spread over time.
        sleep(self.draw_delay(MAX_RESUME_DELAY)).await;
        loop {
            let retry = take_retry(&self.relay, &self.permit, &self.history).await;
            if retry.is_denied() {
                return Err("no attempt left".to_owned());
            }
            self.permit = match admit(&self.relay, &self.request.admission) {
                Ok(permit) => permit,
                Err(refusal) => return Err(refusal.to_string()),
            };
            let last_event_id = self.framer.last_id();
            let pause = now_millis() - self.last_progress;
            let max_wait = Duration::from_millis(RESUME_WAIT_LIMIT.saturating_sub(pause));
            let relay = self.relay.clone();
            let opened = open_stream(
                &relay,
                &self.request,
                &self.permit,
                &mut self.history,
                StreamTarget { last_event_id, max_wait, charge: retry.into_charge() },
            );
            match opened.await {
                Some(OpenOutcome::Opened(stream)) => return Ok(*stream),
                Some(OpenOutcome::Refused(refusal)) => return Err(refusal.to_string()),
                Some(OpenOutcome::Failed(end, detail)) => {
                    let id = &self.request.headers.attempt_id;
                    tracing::info!(event = "resume-failed", request = id, ?end, detail);
                }
                Some(OpenOutcome::Responded(response)) => {
                    return Err(format!("response with status {}", response.status()));
                }
                None => return Err("no path".to_owned()),
            }
        }
    }

    fn draw_delay(&self, max: Millis) -> Duration {
        let millis = self.relay.random.borrow_mut().random_range(0..=max);
        Duration::from_millis(millis)
    }

    fn switch_to(&mut self, stream: OpenStream) {
        count(&self.relay.counts.resumes);
        let quiet_ms = now_millis() - self.last_progress;
        self.longest_pause = self.longest_pause.max(quiet_ms);
        tracing::info!(
            event = "stream-resumed",
            request = self.request.headers.attempt_id,
            quiet_ms
        );
        self.end_move_wait();
        self.framer.drop_partial();
        self.partial_event.resize(0);
        self.headers = read_response_headers(&stream.head.headers);
        self.body = stream.body;
        self.connection = Some(stream.connection);
        self.path = stream.path;
        self.reservation = stream.reservation;
        self.run = stream.run;
        self.last_progress = now_millis();
    }
}
