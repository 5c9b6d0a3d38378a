//! Waiting for the head of a response to a stream request.
//!
//! If the head is late, the replicas of the path are probed, and the report of the first engine
//! shows which replica holds up the request. If the request may be sent again, another attempt is
//! made, and the late one goes on beside it. A request that may not be sent again waits, since a
//! silent replica may continue; only if a replica of the path is no longer listed does the caller
//! get an error at once, and can retry.

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
    retries::request_loans,
    state::{Relay, StageState},
    stream::{find_stalled_replica, suspect_at},
};

/// Time without a response head after which the replicas of the path are probed: twice the usual
/// time to the first event.
const PROBE_DELAY: Duration = Duration::from_millis(100);

/// Time without a response head after which the report of the first engine is checked: well above
/// the usual 50 ms to the first event, and early enough for another attempt within the objective.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Interval between two checks. Reports describe a state some hundred milliseconds old, and a new
/// one is fetched at every other check.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A response whose body has not been read, and its connection.
pub type ReceivedHead = (Response<Incoming>, ActiveConnection);

/// Registers a request that waits for a response head with the stall detection of its first
/// replica. Dropping it without a response records the wait as abandoned.
#[derive(Debug)]
pub struct PendingHead {
    relay: Rc<Relay>,
    instance: ReplicaInstance,
    sent_at: Millis,
    has_response: bool,
}

impl PendingHead {
    /// Records that a request is being sent to a replica.
    pub fn new(relay: &Rc<Relay>, instance: &ReplicaInstance) -> Self {
        let sent_at = now_millis();
        relay.state.borrow_mut().stalls.record_sent(instance, sent_at);
        Self { relay: relay.clone(), instance: instance.clone(), sent_at, has_response: false }
    }

    /// Records that the replica responded. `starts_stream` is false for a rejection.
    pub fn record_response(mut self, starts_stream: bool) {
        self.has_response = true;
        let now = now_millis();
        let took = starts_stream.then_some(now - self.sent_at);
        if self.relay.state.borrow_mut().stalls.record_response(&self.instance, took, now) {
            tracing::info!(event = "mute-ended", replica = %self.instance, took);
        }
    }
}

impl Drop for PendingHead {
    fn drop(&mut self) {
        if !self.has_response {
            self.relay.state.borrow_mut().stalls.record_abandoned(&self.instance);
        }
    }
}

/// The reason why a request got no response head.
#[derive(Debug)]
pub enum HeadError {
    /// The connection failed.
    Send(SendError),
    /// The head is late for this reason, and the request may be sent again.
    Late(String),
    /// A replica of the path is no longer listed.
    Lost(String),
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Waits for the response head of one request.
#[derive(Debug)]
pub struct HeadWait<'a> {
    /// The relay that sends the request.
    pub relay: &'a Rc<Relay>,
    /// The request that waits.
    pub request: &'a CallerRequest,
    /// The permit under which it was admitted.
    pub permit: &'a Permit,
    /// Number of earlier sends that a replica may have run.
    pub earlier_sends: u32,
    /// The path of the request.
    pub path: &'a [PathStage],
}

impl HeadWait<'_> {
    /// Waits until `sending` returns the head, or the head is late and the request can be sent again.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no head.
    pub async fn run(
        &self,
        sending: impl Future<Output = Result<ReceivedHead, SendError>>,
    ) -> Result<ReceivedHead, HeadError> {
        let started = Instant::now();
        tokio::pin!(sending);
        let mut check_at = Instant::now() + PROBE_DELAY;
        loop {
            let remaining = Duration::from_millis(self.request.time_remaining(now_millis()));
            let deadline = Instant::now() + remaining;
            let check = async {
                sleep_until(check_at.min(deadline)).await;
                self.check(started.elapsed()).await
            };
            tokio::select! {
                sent = sending.as_mut() => {
                    return sent.map_err(HeadError::Send);
                }
                checked = check => checked?,
            }
            check_at = Instant::now() + CHECK_INTERVAL;
        }
    }

    /// Returns whether the request can be sent again.
    fn can_retry(&self) -> bool {
        let has_attempts = self.earlier_sends + 1 < self.permit.route.max_attempts;
        if !self.is_repeatable() || !has_attempts {
            return false;
        }
        let (service, now) = (&self.permit.service, now_millis());
        let can_retry = self.relay.can_retry(service, now);
        if !can_retry {
            // A loan that arrives by the next check allows the retry then.
            request_loans(self.relay, service, now);
        }
        can_retry
    }

    fn is_repeatable(&self) -> bool {
        self.permit.route.is_repeatable()
    }

    /// Checks whether a request that has waited for `waited` is to be sent again, and returns the
    /// reason as an error if so.
    async fn check(&self, waited: Duration) -> Result<(), HeadError> {
        if self.request.time_remaining(now_millis()) == 0 {
            return Err(HeadError::DeadlinePassed);
        }
        self.check_path()?;
        self.check_stall(waited)?;
        if waited < REPORT_DELAY {
            probe_replicas(self.relay, self.path.iter().map(|stage| stage.address));
            return Ok(());
        }
        let first = self.path[0].address;
        let id = &self.request.headers.attempt_id;
        if let Some(faulty_replica) = find_stalled_replica(self.relay, first, id).await {
            let detail = suspect_at(self.relay, faulty_replica, "stalled").await;
            if self.can_retry() {
                return Err(HeadError::Late(detail));
            }
        }
        let reroute_after = reroute_after(self.permit.route.objective);
        match waited.as_millis() as Millis > reroute_after && self.can_retry() {
            true => Err(HeadError::Late("no response for too long".to_owned())),
            false => Ok(()),
        }
    }

    /// Checks whether the first replica is stalled, and notifies other relays if this relay is the
    /// first to find it. A stall that another relay found ends the wait as well, if a retry is
    /// possible.
    fn check_stall(&self, waited: Duration) -> Result<(), HeadError> {
        let now = now_millis();
        let instance = &self.path[0].instance;
        let threshold = {
            let state = self.relay.state.borrow();
            state.stalls.stall_threshold(self.permit.route.objective)
        };
        let detected = self.relay.state.borrow_mut().stalls.detect_stall(instance, threshold, now);
        if let Some(for_ms) = detected {
            tracing::warn!(event = "mute", replica = %instance, silent_after = threshold, for_ms);
            send_state(self.relay, SendScope::All);
        }
        let is_stalled = self.relay.state.borrow().stalls.is_stalled(instance, now);
        let has_waited = waited.as_millis() as Millis >= threshold;
        match is_stalled && has_waited && self.can_retry() {
            true => Err(HeadError::Late("starts no responses".to_owned())),
            false => Ok(()),
        }
    }

    /// Checks whether a replica of the path is lost. A request without a retry left leaves the path
    /// only if the replica is no longer listed: one that is merely silent may continue, and what
    /// another relay observed may be a fault of its link.
    fn check_path(&self) -> Result<(), HeadError> {
        let is_lost = |stage: &&PathStage| self.relay.stage_state(stage) == StageState::Lost;
        let Some(lost) = self.path.iter().find(is_lost) else { return Ok(()) };
        let detail = format!("a replica of the path is lost ({})", lost.instance);
        let is_listed = self.relay.state.borrow().fleet.view.get_current(&lost.instance).is_some();
        match (self.can_retry(), is_listed) {
            (true, _) => Err(HeadError::Late(detail)),
            (false, false) if self.is_repeatable() => Err(HeadError::Lost(detail)),
            (false, _) => Ok(()),
        }
    }
}
