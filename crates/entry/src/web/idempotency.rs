//! Idempotency keys: a request with a key runs at most once, however often it is sent.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use switchfold_core::{
    claim::{ClaimHolder, ClaimKey, ClaimProposal},
    id::RequestId,
};
use switchfold_kernel::http::{HttpResponse, set_header};
use switchfold_proto::peer::OutcomeRequest;

use super::{WebContext, responses};
use crate::{
    claims::{AcquireClaim, ClaimState, claim_at_owner},
    dispatch::submission::{NotRunReason, Outcome, UnknownReason},
    service::{ReadOutcome, RecordNotRun},
};

/// Header that holds the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Time in milliseconds after which the caller should retry if the store does not respond.
const RETRY_AFTER_MS: u64 = 1_000;

/// Largest number of attempts to claim a key whose previous holders did not run.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Outcome of the request that holds a key.
struct HolderOutcome {
    name: String,
}

/// Returns the caller's key, or `None` without the header. The error is the response to send.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Box<HttpResponse>> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
    text.map(Some).ok_or_else(|| {
        let message =
            format!("Idempotency-Key: expected 1 to {MAX_KEY_BYTES} visible ASCII characters");
        Box::new(responses::rejection(StatusCode::BAD_REQUEST, "malformed-key", &message))
    })
}

/// Claims a key for a request before it may run. The error is the response to send.
pub(super) async fn claim(
    context: &WebContext,
    organisation: &str,
    key: &str,
    id: RequestId,
    timeout: Duration,
) -> Result<(), Box<HttpResponse>> {
    let mut proposal = ClaimProposal {
        key: ClaimKey::new(organisation, key),
        request: id,
        entry: context.settings.name.clone(),
        replaces: None,
    };
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let claim = AcquireClaim { proposal: proposal.clone(), timeout };
        let state =
            claim_at_owner(&context.directory, &context.settings.name, &context.claims, claim)
                .await;
        let holder = match state {
            ClaimState::Granted => return Ok(()),
            ClaimState::Unavailable => {
                return Err(unavailable(context, id).await);
            }
            ClaimState::Held(holder) => holder,
        };
        let outcome = holder_outcome(context, &holder).await;
        if outcome.as_ref().is_none_or(|outcome| outcome.name != "not-run") {
            return Err(Box::new(held_response(id, &holder, outcome.as_ref())));
        }
        // The holder did not run and never will, so its claim may be replaced.
        proposal.replaces = Some(holder.request);
    }
    Err(unavailable(context, id).await)
}

/// Records that the request did not run, and returns the response. The claim may still have been
/// granted by a write whose response was lost; without the record, the key could never be claimed
/// again.
async fn unavailable(context: &WebContext, id: RequestId) -> Box<HttpResponse> {
    let reason = NotRunReason::ClaimUnavailable;
    let _dispatch_may_have_stopped =
        context.dispatch.send(RecordNotRun { request: id, reason }).await;
    Box::new(responses::not_run(id, reason, RETRY_AFTER_MS))
}

/// Returns the response to a request that did not run because another request holds its key. It
/// states the outcome of that other request.
fn held_response(
    id: RequestId,
    holder: &ClaimHolder,
    outcome: Option<&HolderOutcome>,
) -> HttpResponse {
    let is_done = outcome.is_some_and(|outcome| outcome.name == "done");
    let outcome =
        if is_done { Outcome::Done } else { Outcome::Unknown(UnknownReason::AlreadyClaimed) };
    let message =
        format!("request {} holds this key; this is the outcome of that request", holder.request);
    let mut response = responses::with_outcome(StatusCode::CONFLICT, id, outcome, &message);
    set_header(&mut response, "switchfold-original", &holder.request.to_string());
    set_header(&mut response, responses::REASON_HEADER, "already-claimed");
    response
}

/// Queries the outcome of the holder at the entry that issued it. Returns `None` if the entry
/// cannot be reached or does not know the request.
async fn holder_outcome(context: &WebContext, holder: &ClaimHolder) -> Option<HolderOutcome> {
    if holder.entry == context.settings.name {
        let outcome = context.dispatch.send(ReadOutcome(holder.request)).await.ok()??;
        return Some(HolderOutcome { name: outcome.as_str().to_owned() });
    }
    let peer = context.directory.address_of(&holder.entry)?;
    let mut client = context.directory.client(&peer.address).await?;
    let request =
        OutcomeRequest { incarnation: holder.request.incarnation, counter: holder.request.counter };
    let response = client.outcome(request).await.ok()?.into_inner();
    response.known.then_some(HolderOutcome { name: response.outcome })
}
