//! What a stream does when a replica of its path is lost, slow or about to leave.
//!
//! The cheapest way comes first: the engines move the request to another path and keep its memory; where
//! they cannot, the stream is taken up after its last event at another replica.

use std::time::Duration;

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::read_response_headers;
use switchfold_router::{Millis, instance::ReplicaInstance, path::PathStage};
use tokio::time::sleep;

use super::StreamForwarder;
use crate::{
    admit::admit,
    counts::count,
    engines::{OrderOutcome, order_repath, probe_replicas},
    paths::{CrossingRule, MemoryRule, PathCriteria, PathReservation, find_path},
    quarantine::quarantine_remaining,
    run_tracker::RunTracker,
    state::StageState,
    stream::{OpenOutcome, OpenStream, find_stalled_replica, open_stream, suspect_at, take_retry},
};

/// Pause after which a stream whose replicas all seem well is taken up elsewhere. Callers give up
/// after two seconds without an event.
const LONGEST_QUIET: Millis = 1_500;

/// Silence up to which a lost stream waits for a path with room: callers give up after two seconds.
const LATEST_RESUME: Millis = 1_500;

/// Paths that are ordered at once for a stream, where each is refused for a replica of its own: replicas that share
/// paths are lost two to five together, and each order takes some 4 ms.
const MOST_REPATHS: usize = 3;

/// Time after a stream could not be taken up elsewhere before that is tried again, in milliseconds.
const TRY_AGAIN: Millis = 400;

/// Longest delay before a lost stream is taken up elsewhere, in milliseconds: the streams of a replica
/// are lost together, and each is read again where it goes.
const MOST_STAGGER: Millis = 150;

/// Longest delay before a stream leaves a replica that goes on serving for now, in milliseconds: a
/// leaving replica serves two seconds, and one that is to hold other layers waits for its streams.
const MOST_LEAVING_DELAY: Millis = 1_000;

/// How a stream was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamLoss {
    /// Its replica ended it before its time.
    Broken,
    /// Nothing comes, or a replica of its path seems lost; it may still go on.
    Silent,
}

impl StreamForwarder {
    /// Looks at the path after something happened to a replica. A lost one is replaced at once; those
    /// that still serve are left one stream after the other, since the whole request is read again where
    /// it goes.
    pub(super) fn answer_alarm(&mut self) {
        self.alarms_seen = self.relay.path_check_epoch.get();
        match self.path_state() {
            StageState::Serving => self.leave_at = None,
            StageState::Leaving => {
                let delay = self.draw_delay(MOST_LEAVING_DELAY).as_millis() as Millis;
                self.leave_at = self.leave_at.or(Some(now_millis() + delay));
            }
            // A suspicion may be wrong: a stream that still flows has lost nothing.
            StageState::Lost => self.doubtful = true,
        }
        self.doubtful |= self.relay.stage_state(&self.path[0]) == StageState::Lost;
        if self.doubtful {
            // One that is quiet already is looked into at once: waiting for the next look takes much of the time that
            // a pause may last.
            self.next_look = 0;
        }
    }

    /// Leaves replicas that serve on for a while, once this stream's moment has come.
    pub(super) async fn leave_in_turn(&mut self) {
        if self.leave_at.is_some_and(|at| now_millis() >= at) {
            self.leave_at = None;
            if self.path_state() == StageState::Leaving {
                self.repath().await;
            }
        }
    }

    /// Worst state of the path's parts after the first, whose loss shows by itself.
    fn path_state(&self) -> StageState {
        let states = self.path.iter().skip(1).map(|part| self.relay.stage_state(part));
        states.fold(StageState::Serving, |worst, state| match (worst, state) {
            (StageState::Lost, _) | (_, StageState::Lost) => StageState::Lost,
            (StageState::Leaving, _) | (_, StageState::Leaving) => StageState::Leaving,
            _ => StageState::Serving,
        })
    }

    /// Whether any replica of the path is lost.
    fn is_path_lost(&self) -> bool {
        self.relay.stage_state(&self.path[0]) == StageState::Lost
            || self.path_state() == StageState::Lost
    }

    async fn replace_lost(&mut self) {
        self.run.record_loss(&self.relay, &self.request, "a replica of the path is lost");
        if !self.repath().await {
            self.recover("a replica of the path is lost", StreamLoss::Silent).await;
        }
    }

    /// Finds out why a stream stands still, and mends it. A lost replica shows first in a probe; what the
    /// first engine says of a stall is some hundred milliseconds old.
    pub(super) async fn look_into(&mut self) {
        self.doubtful = false;
        let first = self.path[0].clone();
        let quiet = now_millis() - self.last_progress;
        let first_is_lost = self.relay.stage_state(&first) == StageState::Lost;
        if !first_is_lost && self.path_state() != StageState::Lost {
            if quiet < self.longest_gap() {
                self.is_probed = true;
                probe_replicas(&self.relay, self.path.iter().map(|part| part.address));
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
        if now_millis() - self.last_progress > LONGEST_QUIET {
            self.recover("no event for long", StreamLoss::Silent).await;
        }
    }

    /// Moves the request to a path without the lost replicas; the others keep its memory. Only within a
    /// data centre: the new parts read the whole request again, and its activations would have to cross
    /// a pipe that many requests need at the same moment.
    ///
    /// Where the order is refused for a replica that it names, the next path goes round that one at once: two
    /// replicas that share paths are lost together, and the second is found out by this, without waiting for
    /// the next look.
    async fn repath(&mut self) -> bool {
        let mut avoid = self.restarted_parts();
        // A move is a send: the new parts begin to run the request.
        if quarantine_remaining(&self.relay, &self.request).is_some() {
            return false;
        }
        for _ in 0..MOST_REPATHS {
            match self.order_path(&avoid).await {
                Some(OrderOutcome::Taken) => return true,
                Some(OrderOutcome::Refused(_, Some(faulty_replica))) => {
                    probe_replicas(&self.relay, std::iter::once(faulty_replica));
                    let state = self.relay.state.borrow();
                    let Some(replica) = state.fleet.view.at_address(faulty_replica) else {
                        return false;
                    };
                    avoid.push(replica.instance.clone());
                }
                _ => return false,
            }
        }
        false
    }

    /// Replicas that started again since the request came to them: the first engine takes them for what they
    /// were, with memory of it.
    fn restarted_parts(&self) -> Vec<ReplicaInstance> {
        let state = self.relay.state.borrow();
        let ended = |part: &&PathStage| state.fleet.view.get_current(&part.instance).is_none();
        let present = self.path.iter().filter(ended);
        let present = present.filter_map(|part| state.fleet.view.at_address(part.address));
        present.map(|replica| replica.instance.clone()).collect()
    }

    /// Orders the best path without some replicas; nothing where there is none.
    async fn order_path(&mut self, avoid: &[ReplicaInstance]) -> Option<OrderOutcome> {
        let service = self.permit.config.services.get(&self.permit.service);
        let engine = service.and_then(|service| service.engine.as_ref())?;
        let tokens =
            self.request.tokens((engine.mean_prompt_tokens, engine.mean_completion_tokens));
        let first = self.path[0].clone();
        let wish = PathCriteria {
            service: &self.permit.service,
            engine,
            tokens,
            rank: self.permit.priority,
            avoid,
            first: Some((&first.instance, first.range)),
        };
        let path = find_path(&self.relay, &wish, MemoryRule::Wanted, CrossingRule::Never);
        let id = &self.request.headers.attempt_id;
        let Some(path) = path else {
            tracing::info!(event = "repath-impossible", request = id, first = %first.instance);
            return None;
        };
        let end = order_repath(&self.relay, id, &path).await;
        let quiet_ms = now_millis() - self.last_progress;
        tracing::info!(event = "repath", request = id, ?end, quiet_ms, parts = path.len());
        if end == OrderOutcome::Taken {
            self.run = RunTracker::over_path(&path);
            self.run.record_start();
            self.room = PathReservation::new(&self.relay, &path, tokens);
            self.path = path;
        }
        Some(end)
    }

    /// Takes a stream up at another replica, where its route allows that. The present replica is left
    /// only once another one answers: a replica's silence alone is no reason to end an answer, and it
    /// may still go on.
    pub(super) async fn recover(&mut self, why: &str, loss: StreamLoss) {
        if loss == StreamLoss::Silent && now_millis() < self.next_try {
            return;
        }
        tracing::info!(
            event = "stream-lost",
            request = self.request.headers.attempt_id,
            why,
            ?loss,
            sends = self.tried.sends,
            first = %self.path[0].instance,
            last_event = self.framer.last_id(),
        );
        if loss == StreamLoss::Broken || self.is_path_lost() {
            self.run.record_loss(&self.relay, &self.request, why);
        }
        if loss == StreamLoss::Broken {
            // The replica may be gone, and with it others' streams that pass through it.
            probe_replicas(&self.relay, std::iter::once(self.path[0].address));
        }
        match (self.resume().await, loss) {
            (Ok(stream), _) => self.take_over(stream),
            (Err(not_resumed), StreamLoss::Broken) => self.give_up(why, &not_resumed),
            // It can be taken up nowhere: its caller need not wait.
            (Err(not_resumed), StreamLoss::Silent)
                if quarantine_remaining(&self.relay, &self.request).is_some() =>
            {
                self.give_up(why, &not_resumed);
            }
            (Err(not_resumed), StreamLoss::Silent) => {
                self.next_try = now_millis() + TRY_AGAIN;
                let id = &self.request.headers.attempt_id;
                tracing::info!(event = "stream-waits", request = id, why, not_resumed);
            }
        }
    }

    /// Opens the stream anew after its last event.
    async fn resume(&mut self) -> Result<OpenStream, String> {
        if !self.permit.route.is_repeatable() {
            return Err("the route allows no second run".to_owned());
        }
        // Many streams are lost together: they come back one after the other.
        sleep(self.draw_delay(MOST_STAGGER)).await;
        while take_retry(&self.relay, &self.permit, &self.tried) {
            self.permit = match admit(&self.relay, &self.request.admission) {
                Ok(permit) => permit,
                Err(refusal) => return Err(refusal.to_string()),
            };
            let last_event = self.framer.last_id();
            let quiet = now_millis() - self.last_progress;
            let patience = Duration::from_millis(LATEST_RESUME.saturating_sub(quiet));
            let relay = self.relay.clone();
            let opened = open_stream(
                &relay,
                &self.request,
                &self.permit,
                &mut self.tried,
                last_event,
                patience,
            );
            match opened.await {
                Some(OpenOutcome::Open(stream)) => return Ok(*stream),
                Some(OpenOutcome::Barred(refusal)) => return Err(refusal.to_string()),
                Some(OpenOutcome::Failed(end, detail)) => {
                    let id = &self.request.headers.attempt_id;
                    tracing::info!(event = "resume-failed", request = id, ?end, detail);
                }
                Some(OpenOutcome::Answered(answer)) => {
                    return Err(format!("answered with status {}", answer.status()));
                }
                None => return Err("no path".to_owned()),
            }
        }
        Err("no attempt left".to_owned())
    }

    fn draw_delay(&self, most: Millis) -> Duration {
        let millis = self.relay.random.borrow_mut().random_range(0..=most);
        Duration::from_millis(millis)
    }

    fn take_over(&mut self, stream: OpenStream) {
        count(&self.relay.counts.resumes);
        let quiet_ms = now_millis() - self.last_progress;
        self.longest_pause = self.longest_pause.max(quiet_ms);
        tracing::info!(
            event = "stream-resumed",
            request = self.request.headers.attempt_id,
            quiet_ms
        );
        self.framer.drop_partial();
        self.marks = read_response_headers(&stream.head.headers);
        self.body = stream.body;
        self.link = Some(stream.link);
        self.path = stream.path;
        self.room = stream.room;
        self.run = stream.run;
        self.last_progress = now_millis();
    }
}
