//! `GET /v1/requests/{id}`: outcome of an earlier request.

use http::{Request, StatusCode};
use hyper::body::Incoming;
use switchfold_core::id::RequestId;
use switchfold_kernel::http::HttpResponse;
use switchfold_proto::peer::OutcomeRequest;

use super::{WebContext, access, responses};
use crate::{
    dispatch::submission::{Outcome, UnknownReason},
    service::ReadOutcome,
};

pub(super) async fn respond(context: &WebContext, request: &Request<Incoming>) -> HttpResponse {
    if let Err(rejection) = access::find_organisation(context, request.headers()) {
        return *rejection;
    }
    let text = request.uri().path().trim_start_matches("/v1/requests/");
    let id: RequestId = match text.parse() {
        Ok(id) => id,
        Err(error) => {
            return responses::rejection(
                StatusCode::BAD_REQUEST,
                "malformed-id",
                &format!("{error}"),
            );
        }
    };
    match context.dispatch.send(ReadOutcome(id)).await {
        Ok(Some(outcome)) => outcome_response(id, outcome),
        _ => query_peers(context, id).await,
    }
}

fn outcome_response(id: RequestId, outcome: Outcome) -> HttpResponse {
    let (status, message) = match outcome {
        Outcome::Running => (StatusCode::ACCEPTED, "the request is waiting or running"),
        Outcome::Done => (StatusCode::OK, "the request completed"),
        Outcome::NotRun(_) => (StatusCode::OK, "the request did not run and will not run"),
        Outcome::Unknown(_) => (StatusCode::OK, "the request may have run"),
    };
    responses::with_outcome(status, id, outcome, message)
}

/// Queries the other entries, one of which may have issued the id. If none of them knows the
/// request, its outcome is unknown.
async fn query_peers(context: &WebContext, id: RequestId) -> HttpResponse {
    for peer in context.directory.others() {
        let Some(mut client) = context.directory.client(&peer.address).await else {
            continue;
        };
        let query = OutcomeRequest { incarnation: id.incarnation, counter: id.counter };
        if let Ok(response) = client.outcome(query).await
            && response.get_ref().known
        {
            let answer = response.into_inner();
            let outcome = match answer.outcome.as_str() {
                "running" => Outcome::Running,
                "done" => Outcome::Done,
                "not-run" => match serde_json::from_value(answer.reason.into()) {
                    Ok(reason) => Outcome::NotRun(reason),
                    Err(_) => Outcome::Unknown(UnknownReason::EntryStopped),
                },
                _ => Outcome::Unknown(UnknownReason::EntryStopped),
            };
            return outcome_response(id, outcome);
        }
    }
    let message = "no reachable entry knows this request; it may have run";
    responses::with_outcome(
        StatusCode::NOT_FOUND,
        id,
        Outcome::Unknown(UnknownReason::EntryStopped),
        message,
    )
}
