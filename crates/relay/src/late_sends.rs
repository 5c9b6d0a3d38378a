//! Sends whose response heads are late.
//!
//! A replica that is silent may continue a moment later. So a late send is not dropped when another
//! attempt is made: the attempts run beside each other, and the first that has a response is used.

use std::{future::pending, pin::pin, rc::Rc};

use futures_util::future::{LocalBoxFuture, OptionFuture, select_all};
use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, attempt::AttemptEnd, fleet::ReplicaEntry, path::PathStage};
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
#[derive(Default)]
pub struct LateSends {
    sends: Vec<PendingSend>,
}

impl LateSends {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
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
        relay: &Rc<Relay>,
        request: &CallerRequest,
        history: &SendHistory,
        attempt: Option<impl Future<Output = Option<OpenOutcome>>>,
    ) -> Option<OpenOutcome> {
        let is_alone = attempt.is_none();
        let mut attempt = pin!(OptionFuture::from(attempt));
        let outcome = loop {
            let remaining = Duration::from_millis(request.time_remaining(now_millis()));
            let (send, received) = tokio::select! {
                biased;
                head = self.next_head() => head,
                Some(outcome) = attempt.as_mut(), if !is_alone => break outcome,
                () = sleep(remaining), if is_alone => {
                    let detail = "deadline passed".to_owned();
                    break Some(OpenOutcome::Failed(AttemptEnd::Broken, detail));
                }
            };
            match finish_send(relay, request, history, send, received).await {
                OpenOutcome::Failed(end, detail) if !is_alone || !self.is_empty() => {
                    let id = &request.headers.attempt_id;
                    tracing::info!(event = "late-send-failed", request = id, ?end, detail);
                }
                outcome => break Some(outcome),
            }
        };
        if matches!(outcome, Some(OpenOutcome::Opened(_) | OpenOutcome::Responded(_))) {
            for mut send in self.sends.drain(..) {
                send.run.record_loss(relay, request, "another attempt had a response first");
            }
        }
        outcome
    }

    /// Waits for the next late send that ends. Never returns if there is none.
    async fn next_head(&mut self) -> (PendingSend, Result<ReceivedHead, SendError>) {
        if self.sends.is_empty() {
            return pending().await;
        }
        let sending = self.sends.iter_mut().map(|send| send.sending.as_mut());
        let (received, index, _) = select_all(sending).await;
        (self.sends.swap_remove(index), received)
    }
}
