//! `/v1/services/{service}/…`: calls to plain HTTP services.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use switchfold_kernel::http::{BodyError, HttpResponse, full_response, read_body};
use switchfold_proto::link::Header;

use super::{
    WebContext,
    access::check_caller,
    completions::{CallerRequest, error_response, submit_request},
    responses,
};
use crate::dispatch::submission::{CallerEvent, Outcome, UnknownReason, Work};

/// Request headers that are not forwarded, since they apply to this connection only or hold the
/// caller's credentials.
const UNFORWARDED_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

pub(super) async fn respond(context: &WebContext, request: Request<Incoming>) -> HttpResponse {
    let (parts, body) = request.into_parts();
    let rest = parts.uri.path().trim_start_matches("/v1/services/");
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        let message = "expected /v1/services/{service}/…";
        return responses::rejection(StatusCode::NOT_FOUND, "unknown-target", message);
    }
    let access = match check_caller(context, &parts.headers, service) {
        Ok(access) => access,
        Err(rejection) => return *rejection,
    };
    let body = match read_body(body, context.settings.body_bytes).await {
        Ok(body) => body,
        Err(error @ BodyError::TooLarge { .. }) => {
            return responses::rejection(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                &error.to_string(),
            );
        }
        Err(error) => {
            return responses::rejection(
                StatusCode::BAD_REQUEST,
                "body-truncated",
                &error.to_string(),
            );
        }
    };
    let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let forwarded =
        parts.headers.iter().filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()));
    let headers = forwarded.filter_map(|(name, value)| {
        Some(Header { name: name.to_string(), value: value.to_str().ok()?.to_owned() })
    });
    let work = Work::Call {
        method: parts.method.to_string(),
        path: format!("/{path}{query}"),
        headers: headers.collect(),
        body,
    };
    match submit_request(context, &parts.headers, &access, service, work).await {
        Ok(caller) => collect_response(caller).await,
        Err(rejection) => *rejection,
    }
}

async fn collect_response(mut caller: CallerRequest) -> HttpResponse {
    let id = caller.id;
    let mut response = None;
    while let Some(event) = caller.events.recv().await {
        match event {
            CallerEvent::Response { status, headers, body } => {
                response = Some(service_response(status, headers, body))
            }
            CallerEvent::Tokens(_) => {}
            CallerEvent::Done { .. } => {
                caller.mark_finished();
                let mut response =
                    response.unwrap_or_else(|| full_response(StatusCode::OK, "text/plain", ""));
                responses::set_outcome(&mut response, id, Outcome::Done);
                return response;
            }
            last => return error_response(caller, last),
        }
    }
    responses::unknown(id, UnknownReason::EntryStopped)
}

fn service_response(status: u32, headers: Vec<Header>, body: Bytes) -> HttpResponse {
    let status = u16::try_from(status).ok().and_then(|status| StatusCode::from_u16(status).ok());
    let mut response =
        full_response(status.unwrap_or(StatusCode::BAD_GATEWAY), "application/octet-stream", body);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
