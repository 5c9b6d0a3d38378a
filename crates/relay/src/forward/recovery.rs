//! Recovery of a stream if a replica of its path is lost, slow or about to leave.
//!
//! The cheapest way comes first: the engines move the request to another path and keep its KV
//! cache. If they cannot, the stream is resumed after its last event at another replica.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, instance::ReplicaInstance, path::PathStage};
use tokio::time::sleep;

use super::{StreamForwarder, run::StreamRun};
use crate::{
    admission::overcommit_rule,
    admit::{Permit, admit},
    counts::count,
    engines::{OrderOutcome, order_repath, probe_replicas},
    late_sends::LateSends,
    paths::{CrossingRule, MemoryRule, PathCriteria, PathReservation, find_path},
    quarantine::quarantine_remaining,
    request::CallerRequest,
    request_end::EndCause,
    retries::RetryCharge,
    run_tracker::RunTracker,
    state::{Relay, StageState},
    stream::{
        OpenOutcome, OpenStream, SendHistory, StreamTarget, find_stalled_replica, open_stream,
        suspect_at, take_retry,
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
        self.is_suspect |= self.relay.stage_state(&self.current.path[0]) == StageState::Lost;
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
        let states = self.current.path.iter().skip(1).map(|stage| self.relay.stage_state(stage));
        states.fold(StageState::Serving, |worst, state| match (worst, state) {
            (StageState::Lost, _) | (_, StageState::Lost) => StageState::Lost,
            (StageState::Leaving, _) | (_, StageState::Leaving) => StageState::Leaving,
            _ => StageState::Serving,
        })
    }

    /// Returns whether any replica of the path is lost.
    pub(super) fn is_path_lost(&self) -> bool {
        self.relay.stage_state(&self.current.path[0]) == StageState::Lost
            || self.path_state() == StageState::Lost
    }

    async fn replace_lost(&mut self) {
        let why = "a replica of the path is lost";
        self.current.tracker.record_loss(&self.relay, &self.request, why);
        if !self.repath().await && !self.waits_for_turn() {
            self.delay_next_check();
            self.recover(why, StreamLoss::Silent);
        }
    }

    /// Finds out why no events arrive, and recovers the stream. A probe detects a lost replica
    /// first; the first engine's report of a stall is some hundred milliseconds old.
    pub(super) async fn check_path(&mut self) {
        self.is_suspect = false;
        if !self.is_path_lost() {
            let pause = now_millis() - self.current.last_progress;
            if pause < self.max_pause() || (self.is_exhausted() && !self.is_probed) {
                self.is_probed = true;
                let stages = self.current.path.iter();
                probe_replicas(&self.relay, stages.map(|stage| stage.address));
            }
            if pause < self.max_pause() {
                return;
            }
            return self.investigate();
        }
        self.recover_path().await;
    }

    /// Fetches the report of the first engine, which tells what holds up the stream, beside the
    /// response.
    fn investigate(&mut self) {
        let (relay, first) = (self.relay.clone(), self.current.path[0].address);
        let id = self.request.headers.attempt_id.clone();
        self.investigation =
            Some(Box::pin(async move { find_stalled_replica(&relay, first, &id).await }));
    }

    /// Continues a check with the replica that holds up the stream.
    pub(super) async fn apply_investigation(&mut self, faulty_replica: Option<SocketAddr>) {
        if let Some(faulty_replica) = faulty_replica {
            suspect_at(&self.relay, faulty_replica, "stalled").await;
        }
        self.recover_path().await;
    }

    /// Forwards a stream that was opened elsewhere. Without one, a stream that broke off ends; one
    /// that is silent waits, since its replica may continue.
    pub(super) fn apply_resumption(&mut self, resumed: Result<Box<OpenStream>, String>) {
        let not_resumed = match resumed {
            Ok(stream) => return self.switch_to(*stream),
            Err(not_resumed) => not_resumed,
        };
        if let Some(why) = self.broken.take() {
            self.request.record.set_cause(EndCause::ReplicaFailed);
            return self.give_up(&why, &not_resumed);
        }
        self.next_resume = now_millis() + self.resume_interval(RESUME_INTERVAL);
        let id = &self.request.headers.attempt_id;
        tracing::info!(event = "stream-waits", request = id, not_resumed);
    }

    /// Recovers a stream without events whose path has been checked.
    async fn recover_path(&mut self) {
        match self.is_exhausted() {
            true => self.recover_exhausted().await,
            false => self.recover_resumable().await,
        }
        self.next_check = self.next_check.max(self.move_wait.until);
    }

    async fn recover_resumable(&mut self) {
        if self.relay.stage_state(&self.current.path[0]) == StageState::Lost {
            return self.recover("the first replica is lost", StreamLoss::Silent);
        }
        if self.path_state() == StageState::Lost {
            return self.replace_lost().await;
        }
        if now_millis() - self.current.last_progress > MAX_SILENCE {
            self.recover("no event for too long", StreamLoss::Silent);
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
                    let Some(instance) = self.relay.instance_at(faulty_replica) else {
                        return false;
                    };
                    excluded.push(instance);
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
        let ended = self.current.path.iter().filter(has_ended);
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
        let service = self.current.permit.config.services.get(&self.current.permit.service);
        let engine = service.and_then(|service| service.engine.as_ref())?;
        let mean = (engine.mean_prompt_tokens, engine.mean_completion_tokens);
        Some(PathCriteria {
            service: &self.current.permit.service,
            engine,
            tokens: self.request.estimate_tokens(mean),
            rank: self.current.permit.priority,
            excluded,
            first: self.current.path.first().map(|first| (&first.instance, first.range)),
            load_aware: self.relay.settings.load_aware_paths,
            overcommit: overcommit_rule(&self.relay, &self.current.permit),
        })
    }

    pub(super) fn log_impossible_move(&self) {
        tracing::info!(
            event = "repath-impossible",
            request = self.request.headers.attempt_id,
            first = %self.current.path[0].instance,
        );
    }

    /// Orders the first engine to continue over a path. If it accepts, the path and the reservation
    /// for `tokens` tokens replace those of the stream.
    pub(super) async fn order_move(&mut self, path: Vec<PathStage>, tokens: f64) -> OrderOutcome {
        let id = &self.request.headers.attempt_id;
        let end = order_repath(&self.relay, id, &path).await;
        let quiet_ms = now_millis() - self.last_forwarded;
        let (rank, parts) = (self.current.permit.priority, path.len());
        tracing::info!(event = "repath", request = id, rank, ?end, quiet_ms, parts);
        if matches!(end, OrderOutcome::Refused(..)) {
            count(&self.relay.counts.moves_refused);
        }
        if end == OrderOutcome::Taken {
            self.current.tracker = RunTracker::over_path(&path);
            self.current.tracker.record_start();
            self.current.reservation = PathReservation::new(&self.relay, &path, tokens);
            self.current.path = path;
        }
        end
    }

    /// Begins to resume a stream at another replica, if its route allows that. The connection to the
    /// current replica is kept until the other one has an event: silence alone is no reason to end
    /// a stream, and it may still continue.
    pub(super) fn recover(&mut self, why: &str, loss: StreamLoss) {
        if loss == StreamLoss::Silent && now_millis() < self.next_resume {
            return;
        }
        tracing::info!(
            event = "stream-lost",
            request = self.request.headers.attempt_id,
            why,
            ?loss,
            sends = self.history.sends(),
            first = %self.current.path[0].instance,
            last_event = self.current.last_id(),
        );
        if loss == StreamLoss::Broken || self.is_path_lost() {
            self.current.tracker.record_loss(&self.relay, &self.request, why);
        }
        match loss {
            StreamLoss::Broken => {
                // The replica may be lost, and with it other streams whose path it is part of.
                let first = self.current.path[0].address;
                probe_replicas(&self.relay, std::iter::once(first));
            }
            StreamLoss::Excessive => self.relay.avoid(&self.current.path[0].instance, why),
            StreamLoss::Silent => {}
        }
        if loss != StreamLoss::Silent {
            self.current.close();
            match self.former.pop() {
                Some(former) => self.return_to(former),
                None => self.broken = Some(why.to_owned()),
            }
        }
        if self.resumption.is_none() {
            self.resume();
        }
    }

    /// Begins to open the stream again after its last event.
    fn resume(&mut self) {
        let resumption = Resumption {
            relay: self.relay.clone(),
            request: self.request.clone(),
            history: self.history.clone(),
            permit: self.current.permit.clone(),
            last_event_id: self.current.last_id(),
            silent_since: self.current.last_progress,
            // Many streams are lost together; their resumptions are spread over time.
            delay: self.draw_delay(MAX_RESUME_DELAY),
        };
        self.investigation = None;
        self.resumption = Some(Box::pin(resumption.run()));
    }

    fn draw_delay(&self, max: Millis) -> Duration {
        let millis = self.relay.random.borrow_mut().random_range(0..=max);
        Duration::from_millis(millis)
    }

    /// Forwards a response that was opened to resume the stream. The current response is kept until
    /// the new one has an event.
    fn switch_to(&mut self, stream: OpenStream) {
        count(&self.relay.counts.resumes);
        let quiet_ms = now_millis() - self.last_forwarded;
        let id = &self.request.headers.attempt_id;
        tracing::info!(event = "stream-resumed", request = id, quiet_ms);
        self.end_move_wait();
        let run = StreamRun::new(&self.relay, stream, self.current.resumed_framer());
        let replaced = std::mem::replace(&mut self.current, run);
        if self.broken.take().is_none() {
            self.former.push(replaced);
        }
        self.is_probed = false;
        self.handle_replica_change();
    }

    /// Forwards a former response again.
    pub(super) fn return_to(&mut self, former: StreamRun) {
        self.current = former;
        self.end_move_wait();
        self.is_probed = false;
        self.handle_replica_change();
    }
}

/// What is needed to open a stream again. Owns its data, since the stream goes on meanwhile.
struct Resumption {
    relay: Rc<Relay>,
    request: Rc<CallerRequest>,
    history: Rc<SendHistory>,
    permit: Permit,
    last_event_id: Option<u64>,
    /// Time of the last bytes of the stream.
    silent_since: Millis,
    /// Time to wait before.
    delay: Duration,
}

impl Resumption {
    /// Opens the stream again, and again elsewhere as long as attempts are left.
    ///
    /// # Errors
    ///
    /// Returns a description of what prevents it.
    async fn run(mut self) -> Result<Box<OpenStream>, String> {
        if !self.permit.route.is_repeatable() {
            return Err("the route does not allow a retry".to_owned());
        }
        sleep(self.delay).await;
        let mut late = LateSends::new(&self.relay, &self.request, &self.history);
        // Why no further attempt is made, while earlier sends may still have a response.
        let mut denied = None;
        loop {
            let charge = match denied.clone() {
                None => self.admit_again().await,
                Some(why) => Err(why),
            };
            let attempt = match charge {
                Ok(charge) => Some(self.open(charge)),
                Err(why) if late.is_empty() => return Err(why),
                Err(_) => None,
            };
            let end = match late.race(attempt).await {
                Some(OpenOutcome::Opened(stream)) => return Ok(stream),
                Some(OpenOutcome::Late(send, detail)) => {
                    late.push(*send);
                    detail
                }
                Some(OpenOutcome::Failed(end, detail)) => format!("{end:?}: {detail}"),
                Some(OpenOutcome::Responded(response)) => {
                    return Err(format!("response with status {}", response.status()));
                }
                Some(OpenOutcome::Refused(refusal)) => {
                    denied = Some(refusal.to_string());
                    continue;
                }
                None => {
                    denied = Some("no path".to_owned());
                    continue;
                }
            };
            let id = &self.request.headers.attempt_id;
            tracing::info!(event = "resume-failed", request = id, end);
        }
    }

    /// Charges another attempt and admits the request again.
    async fn admit_again(&mut self) -> Result<Option<RetryCharge>, String> {
        let retry = take_retry(&self.relay, &self.permit, &self.history).await;
        if retry.is_denied() {
            return Err("no attempt left".to_owned());
        }
        let admitted = admit(&self.relay, &self.request.admission);
        self.permit = admitted.map_err(|refusal| refusal.to_string())?;
        Ok(retry.into_charge())
    }

    async fn open(&self, charge: Option<RetryCharge>) -> Option<OpenOutcome> {
        let Self { relay, request, history, permit, last_event_id, silent_since, .. } = self;
        let pause = now_millis() - silent_since;
        let max_wait = Duration::from_millis(RESUME_WAIT_LIMIT.saturating_sub(pause));
        let target = StreamTarget { last_event_id: *last_event_id, max_wait, charge };
        open_stream(relay, request, permit, history, target).await
    }
}
