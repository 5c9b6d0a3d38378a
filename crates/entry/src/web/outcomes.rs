//! `GET /v1/requests/{id}`: the outcome of an earlier request, told again.

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

pub(super) async fn answer(context: &WebContext, request: &Request<Incoming>) -> HttpResponse {
    if let Err(refused) = access::organisation(context, request.headers()) {
        return *refused;
    }
    let text = request.uri().path().trim_start_matches("/v1/requests/");
    let id: RequestId = match text.parse() {
        Ok(id) => id,
        Err(error) => {
            return responses::refusal(
                StatusCode::BAD_REQUEST,
                "malformed-id",
                &format!("{error}"),
            );
        }
    };
    match context.dispatch.send(ReadOutcome(id)).await {
        Ok(Some(outcome)) => render(id, outcome),
        _ => ask_others(context, id).await,
    }
}

fn render(id: RequestId, outcome: Outcome) -> HttpResponse {
    let (status, message) = match outcome {
        Outcome::Running => (StatusCode::ACCEPTED, "it waits or runs"),
        Outcome::Done => (StatusCode::OK, "it ran whole"),
        Outcome::NotRun(_) => (StatusCode::OK, "it did not run, and never will"),
        Outcome::Unknown(_) => (StatusCode::OK, "it may have run"),
    };
    responses::with_outcome(status, id, outcome, message)
}

/// Another entry may have issued it; where none knows it, nothing can be said of it.
async fn ask_others(context: &WebContext, id: RequestId) -> HttpResponse {
    for peer in context.directory.others() {
        let Some(mut client) = context.directory.client(&peer.address).await else {
            continue;
        };
        let asked = OutcomeRequest { incarnation: id.incarnation, counter: id.counter };
        if let Ok(told) = client.outcome(asked).await
            && told.get_ref().known
        {
            let told = told.into_inner();
            let outcome = match told.outcome.as_str() {
                "running" => Outcome::Running,
                "done" => Outcome::Done,
                "not-run" => match serde_json::from_value(told.reason.into()) {
                    Ok(reason) => Outcome::NotRun(reason),
                    Err(_) => Outcome::Unknown(UnknownReason::EntryStopped),
                },
                _ => Outcome::Unknown(UnknownReason::EntryStopped),
            };
            return render(id, outcome);
        }
    }
    let message = "no entry that can be reached remembers this request: it may have run";
    responses::with_outcome(
        StatusCode::NOT_FOUND,
        id,
        Outcome::Unknown(UnknownReason::EntryStopped),
        message,
    )
}
