//! Responses, and the headers that state the outcome of a request.

use http::StatusCode;
use serde::Serialize;
use switchfold_core::{Millis, id::RequestId};
use switchfold_kernel::http::{HttpResponse, json_response, set_header};

use crate::dispatch::submission::{NotRunReason, Outcome, UnknownReason};

/// Header that states the outcome of a request.
pub(super) const OUTCOME_HEADER: &str = "switchfold-outcome";

/// Header that states why the outcome is not `done`.
pub(super) const REASON_HEADER: &str = "switchfold-reason";

/// Header that holds the id of the request.
pub(super) const REQUEST_HEADER: &str = "switchfold-request";

const RETRY_AFTER_HEADER: &str = "retry-after";

/// JSON body of a response without a result.
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

/// Returns the response to a request that is rejected before it gets an id. Its outcome is
/// `not-run`.
pub(super) fn rejection(status: StatusCode, reason: &str, message: &str) -> HttpResponse {
    let detail = ErrorDetail { outcome: "not-run", reason, message, request: None };
    let mut response = json_response(status, &ErrorBody { error: detail });
    set_header(&mut response, OUTCOME_HEADER, "not-run");
    set_header(&mut response, REASON_HEADER, reason);
    response
}

/// Returns the rejection of a request that may succeed after `retry_after` seconds.
pub(super) fn unavailable(reason: &str, message: &str, retry_after: &str) -> HttpResponse {
    let mut response = rejection(StatusCode::SERVICE_UNAVAILABLE, reason, message);
    set_header(&mut response, RETRY_AFTER_HEADER, retry_after);
    response
}

/// Returns the response to a request that did not run, with `Retry-After` in seconds.
pub(super) fn not_run(id: RequestId, reason: NotRunReason, retry_after: Millis) -> HttpResponse {
    let status = match reason {
        NotRunReason::RateLimit => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::AlreadyClaimed => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = with_outcome(
        status,
        id,
        Outcome::NotRun(reason),
        "the request did not run; it may be sent again",
    );
    let seconds = retry_after.div_ceil(1_000).max(1);
    set_header(&mut response, RETRY_AFTER_HEADER, &seconds.to_string());
    response
}

/// Returns the response to a request that may have run.
pub(super) fn unknown(id: RequestId, reason: UnknownReason) -> HttpResponse {
    let status = match reason {
        UnknownReason::AlreadyClaimed => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    };
    with_outcome(
        status,
        id,
        Outcome::Unknown(reason),
        "the request may have run; it must not be treated as not run",
    )
}

/// Returns a response whose body and headers state an outcome.
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
    let mut response = json_response(status, &ErrorBody { error: detail });
    set_outcome(&mut response, id, outcome);
    response
}

/// Sets the headers that state the outcome.
pub(super) fn set_outcome(response: &mut HttpResponse, id: RequestId, outcome: Outcome) {
    set_header(response, REQUEST_HEADER, &id.to_string());
    set_header(response, OUTCOME_HEADER, outcome.as_str());
    let reason = outcome.reason();
    if !reason.is_empty() {
        set_header(response, REASON_HEADER, &reason);
    }
}
