//! Sends whose response heads are late.
//!
//! A replica that is silent may continue a moment later. So a late send is not dropped when another
//! attempt is made: the attempts run beside each other, and the first that has a response is used.

use std::{future::pending, pin::pin, rc::Rc};

use futures_util::{
    future::{LocalBoxFuture, OptionFuture, select_all},
    stream::{FuturesUnordered, StreamExt},
};
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    attempt::{AttemptEnd, promises_not_run},
    fleet::ReplicaEntry,
    path::PathStage,
};
use tokio::time::{Duration, sleep};

use crate::{
    admit::Permit,
    paths::PathReservation,
    pool::SendError,
    request::CallerRequest,
    response_head::{PendingHead, ReceivedHead},
    retries::RetryCharge,
    run_tracker::RunTracker,
    state::Relay,
    stream::{OpenOutcome, SendHistory, finish_send},
};

/// A send whose response head has not arrived. Dropping it closes its connection.
pub struct PendingSend {
    /// Completes with the head.
    pub sending: LocalBoxFuture<'static, Result<ReceivedHead, SendError>>,
    /// First replica of the path.
    pub first: ReplicaEntry,
    /// Path over which the request was sent.
    pub path: Vec<PathStage>,
    /// Memory and slot reserved along the path.
    pub reservation: PathReservation,
    /// Tracker of the run, for quarantine.
    pub run: RunTracker,
    /// Registration with the stall detection of the first replica.
    pub head: PendingHead,
    /// Permit under which the request was sent.
    pub permit: Permit,
    /// Charge for the send, if it is a retry.
    pub charge: Option<RetryCharge>,
    /// Time of the send.
    pub sent_at: Millis,
}

/// The late sends of one request.
pub struct LateSends {
    relay: Rc<Relay>,
    request: Rc<CallerRequest>,
    history: Rc<SendHistory>,
    sends: Vec<PendingSend>,
    /// Sends whose heads have arrived, and that may still turn out to be no stream.
    finishing: FuturesUnordered<LocalBoxFuture<'static, OpenOutcome>>,
}

impl LateSends {
    /// Creates an empty list for a request.
    pub fn new(relay: &Rc<Relay>, request: &Rc<CallerRequest>, history: &Rc<SendHistory>) -> Self {
        Self {
            relay: relay.clone(),
            request: request.clone(),
            history: history.clone(),
            sends: Vec::new(),
            finishing: FuturesUnordered::new(),
        }
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty() && self.finishing.is_empty()
    }

    /// Adds a send.
    pub fn push(&mut self, send: PendingSend) {
        self.sends.push(send);
    }

    /// Waits for another attempt and for the late sends, and returns the first response. Without
    /// one, returns the outcome of the attempt, or if there is no attempt, that of the last send to
    /// fail. The other sends are dropped once there is a response.
    pub async fn race(
        &mut self,
        attempt: Option<impl Future<Output = Option<OpenOutcome>>>,
    ) -> Option<OpenOutcome> {
        let is_alone = attempt.is_none();
        let mut attempt = pin!(OptionFuture::from(attempt));
        let outcome = loop {
            let remaining = Duration::from_millis(self.request.time_remaining(now_millis()));
            tokio::select! {
                biased;
                (send, received) = next_head(&mut self.sends) => self.finish(send, received),
                Some(outcome) = self.finishing.next() => match self.unless_others(outcome) {
                    OpenOutcome::Failed(end, detail) if !is_alone || !self.is_empty() => {
                        let id = &self.request.headers.attempt_id;
                        tracing::info!(event = "late-send-failed", request = id, ?end, detail);
                    }
                    outcome => break Some(outcome),
                },
                Some(outcome) = attempt.as_mut(), if !is_alone => {
                    break outcome.map(|outcome| self.unless_others(outcome));
                }
                () = sleep(remaining), if is_alone => {
                    let detail = "deadline passed".to_owned();
                    break Some(OpenOutcome::Failed(AttemptEnd::Broken, detail));
                }
            }
        };
        if matches!(outcome, Some(OpenOutcome::Opened(_) | OpenOutcome::Responded(_))) {
            self.finishing.clear();
            for mut send in self.sends.drain(..) {
                let why = "another attempt had a response first";
                send.run.record_loss(&self.relay, &self.request, why);
            }
        }
        outcome
    }

    /// Reads what follows a head beside the other sends.
    fn finish(&self, send: PendingSend, received: Result<ReceivedHead, SendError>) {
        let (relay, request) = (self.relay.clone(), self.request.clone());
        let history = self.history.clone();
        self.finishing.push(Box::pin(async move {
            finish_send(&relay, &request, &history, send, received).await
        }));
    }

    /// Takes a response that says that its replica did not run the request for a failure, as long as
    /// other sends may have a result.
    fn unless_others(&self, outcome: OpenOutcome) -> OpenOutcome {
        match outcome {
            OpenOutcome::Responded(response)
                if promises_not_run(response.status().as_u16()) && !self.is_empty() =>
            {
                let status = response.status();
                OpenOutcome::Failed(
                    AttemptEnd::Answered(status.as_u16()),
                    format!("status {status}"),
                )
            }
            outcome => outcome,
        }
    }
}

/// Waits for the next late send that ends. Never returns if there is none.
async fn next_head(sends: &mut Vec<PendingSend>) -> (PendingSend, Result<ReceivedHead, SendError>) {
    if sends.is_empty() {
        return pending().await;
    }
    let sending = sends.iter_mut().map(|send| send.sending.as_mut());
    let (received, index, _) = select_all(sending).await;
    (sends.swap_remove(index), received)
}
