//! Requests that callers may send again under the same key.

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

const KEY: &str = "idempotency-key";

/// Longest key, in bytes.
const MOST_KEY: usize = 200;

/// Milliseconds after which to try again where the store gives no answer.
const RETRY_AFTER_MS: u64 = 1_000;

/// Tries to take over a key whose holder never ran.
const MOST_TAKEOVERS: u32 = 3;

/// What another entry said of a request.
struct HolderOutcome {
    word: String,
}

/// The caller's key, where there is one.
pub(super) fn key_of(headers: &HeaderMap) -> Result<Option<&str>, Box<HttpResponse>> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|text| !text.is_empty() && text.len() <= MOST_KEY);
    text.map(Some).ok_or_else(|| {
        let message = format!("Idempotency-Key: expected 1 to {MOST_KEY} visible ASCII characters");
        Box::new(responses::refusal(StatusCode::BAD_REQUEST, "malformed-key", &message))
    })
}

/// Claims a key for a request before it may run; the error is the answer to the caller.
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
    for _ in 0..MOST_TAKEOVERS {
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
        let outcome = outcome_of(context, &holder).await;
        if outcome.as_ref().is_none_or(|outcome| outcome.word != "not-run") {
            return Err(Box::new(held_answer(id, &holder, outcome.as_ref())));
        }
        // Its holder never ran and never will: the key is free again.
        proposal.replaces = Some(holder.request);
    }
    Err(unavailable(context, id).await)
}

/// The claim may yet be made, by a write whose answer was lost: that its request did not run must be
/// remembered, or the key would never be free again.
async fn unavailable(context: &WebContext, id: RequestId) -> Box<HttpResponse> {
    let reason = NotRunReason::ClaimUnavailable;
    let _dispatch_may_have_stopped =
        context.dispatch.send(RecordNotRun { request: id, reason }).await;
    Box::new(responses::not_run(id, reason, RETRY_AFTER_MS))
}

/// The request itself did not run, but the one that holds its key may have: the answer is about that.
fn held_answer(
    id: RequestId,
    holder: &ClaimHolder,
    outcome: Option<&HolderOutcome>,
) -> HttpResponse {
    let is_done = outcome.is_some_and(|outcome| outcome.word == "done");
    let outcome =
        if is_done { Outcome::Done } else { Outcome::Unknown(UnknownReason::AlreadyClaimed) };
    let message = format!("request {} holds this key; the outcome is that one's", holder.request);
    let mut answer = responses::with_outcome(StatusCode::CONFLICT, id, outcome, &message);
    set_header(&mut answer, "switchfold-original", &holder.request.to_string());
    set_header(&mut answer, responses::REASON, "already-claimed");
    answer
}

async fn outcome_of(context: &WebContext, holder: &ClaimHolder) -> Option<HolderOutcome> {
    if holder.entry == context.settings.name {
        let outcome = context.dispatch.send(ReadOutcome(holder.request)).await.ok()??;
        return Some(HolderOutcome { word: outcome.as_str().to_owned() });
    }
    let peer = context.directory.address_of(&holder.entry)?;
    let mut client = context.directory.client(&peer.address).await?;
    let request =
        OutcomeRequest { incarnation: holder.request.incarnation, counter: holder.request.counter };
    let answer = client.outcome(request).await.ok()?.into_inner();
    answer.known.then_some(HolderOutcome { word: answer.outcome })
}
