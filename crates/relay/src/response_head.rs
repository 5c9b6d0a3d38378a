//! Waiting for the beginning of an answer.
//!
//! Where it is late, the replicas of the path are probed and the first engine is asked what it waits for.
//! A request leaves a path only where that can help: it may run again and has another send, or this relay
//! saw itself that a replica of the path is lost, so that the caller is told at once and comes back.

use std::{rc::Rc, time::Duration};

use http::Response;
use hyper::body::Incoming;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, instance::ReplicaInstance, path::PathStage, stall::reroute_after};
use tokio::time::{Instant, sleep_until};

use crate::{
    admit::Permit,
    engines::probe_replicas,
    gossip::{SendScope, send_state},
    pool::{ActiveConnection, SendError},
    request::CallerRequest,
    state::{Relay, StageState},
    stream::{find_stalled_replica, suspect_at},
};

/// Time without the head of an answer after which the replicas of the path are probed: twice what a
/// first event usually takes.
const PROBE_HEAD: Duration = Duration::from_millis(100);

/// Time without the head of an answer after which the first engine is asked what it waits for: well
/// above the 50 ms that a first event takes, and early enough for a second try within the objective.
const QUIET_HEAD: Duration = Duration::from_millis(200);

/// Time between two looks; an engine's report is some hundred milliseconds old, and is asked for at every other one.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// An answer's head, and the connection that it came on.
pub type ReceivedHead = (Response<Incoming>, ActiveConnection);

/// A request that waits for the head of its answer, as its first replica is watched; dropping it ends that.
#[derive(Debug)]
pub struct PendingHead {
    relay: Rc<Relay>,
    instance: ReplicaInstance,
    sent: Millis,
    is_answered: bool,
}

impl PendingHead {
    /// Notes that a request is sent.
    pub fn new(relay: &Rc<Relay>, instance: &ReplicaInstance) -> Self {
        let sent = now_millis();
        relay.state.borrow_mut().stalls.record_sent(instance, sent);
        Self { relay: relay.clone(), instance: instance.clone(), sent, is_answered: false }
    }

    /// Notes that the replica answered, with the head of a stream or with something else.
    pub fn answered(mut self, begins: bool) {
        self.is_answered = true;
        let now = now_millis();
        let took = begins.then_some(now - self.sent);
        if self.relay.state.borrow_mut().stalls.record_response(&self.instance, took, now) {
            tracing::info!(event = "mute-ended", replica = %self.instance, took);
        }
    }
}

impl Drop for PendingHead {
    fn drop(&mut self) {
        if !self.is_answered {
            self.relay.state.borrow_mut().stalls.record_abandoned(&self.instance);
        }
    }
}

/// Why no head came.
#[derive(Debug)]
pub enum HeadError {
    /// The connection failed.
    Send(SendError),
    /// The path is left.
    Stalled(String),
    /// The request's time is up.
    DeadlinePassed,
}

/// A request that waits for the head of its answer.
#[derive(Debug)]
pub struct HeadWait<'a> {
    /// The relay.
    pub relay: &'a Rc<Relay>,
    /// The request.
    pub request: &'a CallerRequest,
    /// What lets it in.
    pub permit: &'a Permit,
    /// Earlier sends that a replica may have run.
    pub earlier_sends: u32,
    /// Its path.
    pub path: &'a [PathStage],
}

impl HeadWait<'_> {
    /// Waits until `sending` gives the head, or the path is to be left.
    ///
    /// # Errors
    ///
    /// Tells why there is none.
    pub async fn run(
        &self,
        sending: impl Future<Output = Result<ReceivedHead, SendError>>,
    ) -> Result<ReceivedHead, HeadError> {
        let begun = Instant::now();
        tokio::pin!(sending);
        let mut look_at = Instant::now() + PROBE_HEAD;
        loop {
            let left = Duration::from_millis(self.request.time_remaining(now_millis()));
            let end = Instant::now() + left;
            let looked = async {
                sleep_until(look_at.min(end)).await;
                self.look(begun.elapsed()).await
            };
            tokio::select! {
                sent = sending.as_mut() => {
                    return sent.map_err(HeadError::Send);
                }
                left = looked => left?,
            }
            look_at = Instant::now() + LOOK_EVERY;
        }
    }

    /// Whether another send is possible.
    fn has_another(&self) -> bool {
        let within = self.earlier_sends + 1 < self.permit.route.max_attempts;
        self.is_repeatable()
            && within
            && self.relay.can_retry_service(&self.permit.service, now_millis())
    }

    fn is_repeatable(&self) -> bool {
        self.permit.route.is_repeatable()
    }

    /// Looks at the path of a request that has waited for a while.
    async fn look(&self, waited: Duration) -> Result<(), HeadError> {
        if self.request.time_remaining(now_millis()) == 0 {
            return Err(HeadError::DeadlinePassed);
        }
        self.look_at_parts()?;
        self.leave_mute(waited)?;
        if waited < QUIET_HEAD {
            probe_replicas(self.relay, self.path.iter().map(|part| part.address));
            return Ok(());
        }
        let first = self.path[0].address;
        let id = &self.request.headers.attempt_id;
        if let Some(faulty_replica) = find_stalled_replica(self.relay, first, id).await {
            let detail = suspect_at(self.relay, faulty_replica, "stalled");
            if self.is_repeatable() {
                return Err(HeadError::Stalled(detail));
            }
        }
        let late = reroute_after(self.permit.route.objective);
        match waited.as_millis() as Millis > late && self.has_another() {
            true => Err(HeadError::Stalled("no answer for long".to_owned())),
            false => Ok(()),
        }
    }

    /// Leaves a first replica that begins no answers, and tells others of it. What another relay found ends the wait
    /// as well, where another try is possible.
    fn leave_mute(&self, waited: Duration) -> Result<(), HeadError> {
        let now = now_millis();
        let instance = &self.path[0].instance;
        let silent_after = {
            let state = self.relay.state.borrow();
            state.stalls.stall_threshold(self.permit.route.objective)
        };
        let found = self.relay.state.borrow_mut().stalls.detect_stall(instance, silent_after, now);
        if let Some(for_ms) = found {
            tracing::warn!(event = "mute", replica = %instance, silent_after, for_ms);
            send_state(self.relay, SendScope::All);
        }
        let is_mute = self.relay.state.borrow().stalls.is_stalled(instance, now);
        let has_waited = waited.as_millis() as Millis >= silent_after;
        match is_mute && has_waited && self.has_another() {
            true => Err(HeadError::Stalled("begins no answers".to_owned())),
            false => Ok(()),
        }
    }

    /// Leaves a path with a lost replica. A request without another send leaves only on this relay's own
    /// evidence: what another one heard may be a fault of its link.
    fn look_at_parts(&self) -> Result<(), HeadError> {
        let now = now_millis();
        let is_lost = |part: &&PathStage| self.relay.stage_state(part) == StageState::Lost;
        let Some(lost) = self.path.iter().find(is_lost) else { return Ok(()) };
        let state = self.relay.state.borrow();
        let is_listed = state.fleet.view.get_current(&lost.instance).is_some();
        let own = !is_listed || state.suspects.is_local(&lost.instance, now);
        drop(state);
        if self.has_another() || (own && self.is_repeatable()) {
            let detail = format!("a replica of the path is lost ({})", lost.instance);
            return Err(HeadError::Stalled(detail));
        }
        Ok(())
    }
}
