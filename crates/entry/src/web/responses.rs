//! Answers, and the headers that state the outcome.

use http::StatusCode;
use serde::Serialize;
use switchfold_core::{Millis, id::RequestId};
use switchfold_kernel::http::{HttpResponse, json_response, set_header};

use crate::dispatch::submission::{NotRunReason, Outcome, UnknownReason};

pub(super) const OUTCOME: &str = "switchfold-outcome";
pub(super) const REASON: &str = "switchfold-reason";
pub(super) const REQUEST: &str = "switchfold-request";
const RETRY_AFTER: &str = "retry-after";

/// Body of an answer that is not a result.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

/// Refuses something that never became a request: it did not run.
pub(super) fn refusal(status: StatusCode, reason: &str, message: &str) -> HttpResponse {
    let detail = ErrorDetail { outcome: "not-run", reason, message, request: None };
    let mut answer = json_response(status, &ErrorBody { error: detail });
    set_header(&mut answer, OUTCOME, "not-run");
    set_header(&mut answer, REASON, reason);
    answer
}

/// States that a request did not run.
pub(super) fn not_run(id: RequestId, reason: NotRunReason, retry_after: Millis) -> HttpResponse {
    let status = match reason {
        NotRunReason::RateLimit => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::AlreadyClaimed => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer =
        with_outcome(status, id, Outcome::NotRun(reason), "it did not run; it may be sent again");
    let seconds = retry_after.div_ceil(1_000).max(1);
    set_header(&mut answer, RETRY_AFTER, &seconds.to_string());
    answer
}

/// States that a request may have run.
pub(super) fn unknown(id: RequestId, reason: UnknownReason) -> HttpResponse {
    let status = match reason {
        UnknownReason::AlreadyClaimed => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    };
    with_outcome(
        status,
        id,
        Outcome::Unknown(reason),
        "it may have run; do not take it for not run",
    )
}

/// An answer that states an outcome and nothing else.
pub(super) fn with_outcome(
    status: StatusCode,
    id: RequestId,
    outcome: Outcome,
    message: &str,
) -> HttpResponse {
    let reason = outcome.reason();
    let detail = ErrorDetail {
        outcome: outcome.as_str(),
        reason: &reason,
        message,
        request: Some(id.to_string()),
    };
    let mut answer = json_response(status, &ErrorBody { error: detail });
    state(&mut answer, id, outcome);
    answer
}

/// Adds the outcome's headers.
pub(super) fn state(answer: &mut HttpResponse, id: RequestId, outcome: Outcome) {
    set_header(answer, REQUEST, &id.to_string());
    set_header(answer, OUTCOME, outcome.as_str());
    let reason = outcome.reason();
    if !reason.is_empty() {
        set_header(answer, REASON, &reason);
    }
}
