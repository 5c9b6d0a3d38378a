//! Trials of quarantined requests: asking the store which relay makes one, and making it.
//!
//! The relay that creates the trial's object has the trial, and sends with it the next such request
//! of a caller. No relay has it while the store cannot be written.

use std::{cell::Cell, rc::Rc, time::Duration};

use switchfold_kernel::clock::{epoch_millis, now_millis};
use switchfold_router::{Millis, fingerprint::RequestFingerprint};
use switchfold_store::StoreError;
use tokio::{task::spawn_local, time::sleep};

use super::{STORE_RETRY_PAUSE, StoredRequest};
use crate::{request::CallerRequest, state::Relay, store_calls::CallKind};

/// Interval between the calls of different relays for the same trial, on average, in milliseconds:
/// relays that follow the store learn of it, the others each make one call.
const CALL_INTERVAL: Millis = 25;

/// Separates the fingerprint and the number in the name of a trial's object.
const TRIAL_INFIX: &str = "-trial-";

/// A request that is sent although it is quarantined. The trial is returned on drop if the request
/// was not sent.
#[derive(Debug)]
pub struct QuarantineTrial {
    relay: Rc<Relay>,
    fingerprints: Vec<RequestFingerprint>,
    is_sent: Cell<bool>,
}

impl QuarantineTrial {
    /// Returns whether the request may be sent now. Only the first send is part of the trial.
    pub fn begin_send(&self) -> bool {
        !self.is_sent.replace(true)
    }

    /// Records that the send that began reached no replica.
    pub fn cancel_send(&self) {
        self.is_sent.set(false);
    }
}

impl Drop for QuarantineTrial {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            self.relay.state.borrow_mut().quarantine.return_trials(&self.fingerprints);
        }
    }
}

/// Returns whether a quarantined request is a trial. If none is left to this relay but one is due,
/// it asks the store for it, for a later request.
pub(super) fn begin_trial(relay: &Rc<Relay>, request: &CallerRequest) -> bool {
    let taken = relay.state.borrow_mut().quarantine.take_trials(request.suspects(), now_millis());
    let Some(fingerprints) = taken else {
        request.suspects().for_each(|fingerprint| request_due_trial(relay, fingerprint));
        return false;
    };
    tracing::info!(event = "quarantine-trial", request = request.headers.attempt_id);
    let trial = QuarantineTrial { relay: relay.clone(), fingerprints, is_sent: Cell::new(false) };
    request.trial.set(trial).is_ok()
}

/// Asks the store for the next trial of a request if it is due.
fn request_due_trial(relay: &Rc<Relay>, fingerprint: &RequestFingerprint) {
    let (state, now) = (&mut *relay.state.borrow_mut(), now_millis());
    let Some(number) = state.quarantine.due_trial(fingerprint, now) else { return };
    state.quarantine.record_trial_request(fingerprint);
    let spread = CALL_INTERVAL * state.peers.live_count(now) as Millis;
    let delay = Duration::from_millis(relay.random_delay(spread));
    spawn_local(request_trial(relay.clone(), *fingerprint, number, delay));
}

async fn request_trial(
    relay: Rc<Relay>,
    fingerprint: RequestFingerprint,
    number: usize,
    delay: Duration,
) {
    sleep(delay).await;
    let Some(remaining) = remaining_time(&relay, &fingerprint) else { return };
    let entry = StoredRequest { until: epoch_millis() + remaining, runs: Vec::new() };
    let name = trial_name(&fingerprint, number);
    let outcome = relay.store.create(CallKind::Quarantine, &name, &entry).await;
    match outcome {
        Ok(()) | Err(StoreError::Conflict { .. }) => {
            let table = &mut relay.state.borrow_mut().quarantine;
            table.record_trial(&fingerprint, number, outcome.is_ok());
        }
        Err(error) => {
            tracing::info!(event = "quarantine-trial-unknown", %fingerprint, %error);
            sleep(STORE_RETRY_PAUSE).await;
            relay.state.borrow_mut().quarantine.record_trial_failure(&fingerprint);
        }
    }
}

fn remaining_time(relay: &Relay, fingerprint: &RequestFingerprint) -> Option<Millis> {
    relay.state.borrow().quarantine.remaining(fingerprint, now_millis())
}

/// Returns the name of a trial's object in the store.
pub(super) fn trial_name(fingerprint: &RequestFingerprint, number: usize) -> String {
    format!("{fingerprint}{TRIAL_INFIX}{number}")
}

/// Returns the request and the number of a trial from the name of its object.
pub(super) fn parse_trial_name(name: &str) -> Option<(RequestFingerprint, usize)> {
    let (fingerprint, number) = name.split_once(TRIAL_INFIX)?;
    Some((RequestFingerprint::parse(fingerprint)?, number.parse().ok()?))
}
