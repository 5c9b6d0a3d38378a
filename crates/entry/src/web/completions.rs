//! `POST /v1/completions`: completions, in one response or as server-sent events.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, channel::Channel};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use switchfold_core::id::RequestId;
use switchfold_kernel::{
    clock::now_millis,
    http::{BodyError, HttpResponse, json_response, read_body},
};
use tokio::sync::mpsc;

use super::{
    WebContext,
    access::{CallerAccess, check_caller},
    idempotency, responses,
};
use crate::{
    dispatch::submission::{CallerEvent, NotRunReason, Outcome, Submission, UnknownReason, Work},
    service::{Cancel, DispatchService, IssueId, Submit},
};

/// Frames of a streamed response that are buffered for a slow caller.
const STREAM_BUFFER_FRAMES: usize = 64;

/// Number of tokens to generate if the caller does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Longest prompt, in tokens.
const MAX_PROMPT_TOKENS: usize = 100_000;

/// JSON body of a request. Unknown fields, such as those of other servers with this API, are
/// ignored.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    prompt: Prompt,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// A prompt, as text or as token ids. The tokens of a text are its bytes.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Tokens(Vec<u32>),
}

impl Prompt {
    fn into_tokens(self) -> Vec<u32> {
        match self {
            Self::Text(text) => text.bytes().map(u32::from).collect(),
            Self::Tokens(tokens) => tokens,
        }
    }
}

/// JSON body of a response, or of one event of a streamed response.
#[derive(Debug, Serialize)]
struct CompletionBody<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
}

#[derive(Debug, Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    text: String,
    token_ids: &'a [u32],
    finish_reason: Option<&'static str>,
}

/// Last event of a streamed response.
#[derive(Debug, Serialize)]
struct OutcomeEvent<'a> {
    outcome: &'a str,
    reason: &'a str,
    tokens: u32,
}

/// A submitted request. Dropping it before [`CallerRequest::mark_finished`] cancels the request.
pub(super) struct CallerRequest {
    pub(super) id: RequestId,
    pub(super) events: mpsc::UnboundedReceiver<CallerEvent>,
    guard: CancelGuard,
}

impl CallerRequest {
    /// Marks the request as ended, so that dropping it does not cancel it.
    pub(super) fn mark_finished(&mut self) {
        self.guard.dispatch = None;
    }
}

/// Cancels the request when dropped, unless `dispatch` is `None`.
struct CancelGuard {
    id: RequestId,
    dispatch: Option<xtra::Address<DispatchService>>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(dispatch) = self.dispatch.take() {
            let id = self.id;
            tokio::spawn(async move {
                let _dispatch_may_have_stopped = dispatch.send(Cancel(id)).await;
            });
        }
    }
}

pub(super) async fn respond(context: &WebContext, request: Request<Incoming>) -> HttpResponse {
    let (parts, body) = request.into_parts();
    let completion = match read_completion(context, body).await {
        Ok(completion) => completion,
        Err(rejection) => return *rejection,
    };
    let access = match check_caller(context, &parts.headers, &completion.model) {
        Ok(access) => access,
        Err(rejection) => return *rejection,
    };
    if !context.settings.models.iter().any(|model| model.name == completion.model) {
        let names: Vec<&str> =
            context.settings.models.iter().map(|model| model.name.as_str()).collect();
        let message =
            format!("no model {:?}, expected one of {}", completion.model, names.join(", "));
        return responses::rejection(StatusCode::NOT_FOUND, "unknown-model", &message);
    }
    let (model, stream) = (completion.model.clone(), completion.stream);
    let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let work = Work::Completion { prompt: completion.prompt.into_tokens(), max_tokens };
    let caller = match submit_request(context, &parts.headers, &access, &model, work).await {
        Ok(caller) => caller,
        Err(rejection) => return *rejection,
    };
    if stream {
        stream_response(caller, model).await
    } else {
        full_completion(caller, &model).await
    }
}

async fn read_completion(
    context: &WebContext,
    body: Incoming,
) -> Result<CompletionRequest, Box<HttpResponse>> {
    let reject =
        |status, reason, message: &str| Box::new(responses::rejection(status, reason, message));
    let body = read_body(body, context.settings.body_bytes).await.map_err(|error| match error {
        BodyError::TooLarge { .. } => {
            reject(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", &error.to_string())
        }
        BodyError::Truncated => {
            reject(StatusCode::BAD_REQUEST, "body-truncated", &error.to_string())
        }
    })?;
    let completion: CompletionRequest = serde_json::from_slice(&body)
        .map_err(|error| reject(StatusCode::BAD_REQUEST, "malformed-body", &error.to_string()))?;
    let max_tokens = context.settings.max_tokens;
    if completion.max_tokens.is_some_and(|tokens| tokens == 0 || tokens > max_tokens) {
        let message = format!("max_tokens: expected a whole number from 1 to {max_tokens}");
        return Err(reject(StatusCode::BAD_REQUEST, "malformed-body", &message));
    }
    let len = match &completion.prompt {
        Prompt::Text(text) => text.len(),
        Prompt::Tokens(tokens) => tokens.len(),
    };
    if len == 0 || len > MAX_PROMPT_TOKENS {
        let message = format!("prompt: expected 1 to {MAX_PROMPT_TOKENS} tokens, found {len}");
        return Err(reject(StatusCode::BAD_REQUEST, "malformed-body", &message));
    }
    Ok(completion)
}

/// Checks the organisation's rate limit, claims the idempotency key if there is one, and submits
/// the request. The error is the response to send.
pub(super) async fn submit_request(
    context: &WebContext,
    headers: &HeaderMap,
    access: &CallerAccess,
    target: &str,
    work: Work,
) -> Result<CallerRequest, Box<HttpResponse>> {
    let key = idempotency::idempotency_key(headers)?;
    let stopping = || {
        Box::new(responses::rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "this entry is stopping",
        ))
    };
    let id = context.dispatch.send(IssueId).await.map_err(|_| stopping())?;
    let now = now_millis();
    let entries = context.directory.others().len() + 1;
    if let Err(wait) = context.limits.try_take(&access.organisation, entries, now) {
        let reason = NotRunReason::RateLimit;
        return Err(Box::new(responses::not_run(id, reason, wait)));
    }
    let deadline = now + access.class.deadline_ms;
    if let Some(key) = key {
        let timeout = Duration::from_millis(access.class.deadline_ms);
        idempotency::claim(context, &access.organisation.name, key, id, timeout).await?;
    }
    let submission = Submission {
        id,
        organisation: Arc::from(access.organisation.name.as_str()),
        weight: access.organisation.weight.into(),
        class: Arc::from(access.class.name.as_str()),
        target: target.to_owned(),
        priority: access.class.priority,
        deadline,
        once: access.class.once,
        work,
    };
    let (sink, events) = mpsc::unbounded_channel();
    let guard = CancelGuard { id, dispatch: Some(context.dispatch.clone()) };
    let submit = Submit { submission, sink, work_guard: context.in_flight.guard() };
    context.dispatch.send(submit).await.map_err(|_| stopping())?;
    Ok(CallerRequest { id, events, guard })
}

/// Collects all tokens into one response.
async fn full_completion(mut caller: CallerRequest, model: &str) -> HttpResponse {
    let id = caller.id;
    let mut tokens = Vec::new();
    while let Some(event) = caller.events.recv().await {
        match event {
            CallerEvent::Tokens(more) => tokens.extend(more),
            CallerEvent::Done { .. } => {
                caller.mark_finished();
                let id_text = id.to_string();
                let body = completion_body(&id_text, model, &tokens, Some("length"));
                let mut response = json_response(StatusCode::OK, &body);
                responses::set_outcome(&mut response, id, Outcome::Done);
                return response;
            }
            last => return error_response(caller, last),
        }
    }
    responses::unknown(id, UnknownReason::EntryStopped)
}

/// Returns the response to a request whose last event is not a result.
pub(super) fn error_response(mut caller: CallerRequest, event: CallerEvent) -> HttpResponse {
    caller.mark_finished();
    match event {
        CallerEvent::NotRun { reason, retry_after } => {
            responses::not_run(caller.id, reason, retry_after)
        }
        CallerEvent::Unknown { reason } => responses::unknown(caller.id, reason),
        _ => responses::unknown(caller.id, UnknownReason::EntryStopped),
    }
}

fn completion_body<'a>(
    id: &'a str,
    model: &'a str,
    tokens: &'a [u32],
    finish_reason: Option<&'static str>,
) -> CompletionBody<'a> {
    let text: String = tokens.iter().map(|token| format!(" {token}")).collect();
    let choice = CompletionChoice { index: 0, text, token_ids: tokens, finish_reason };
    CompletionBody { id, object: "text_completion", model, choices: [choice] }
}

/// Waits for the first event before the response begins, so that a request that did not run gets an
/// error status.
async fn stream_response(mut caller: CallerRequest, model: String) -> HttpResponse {
    let id = caller.id;
    let first = match caller.events.recv().await {
        Some(CallerEvent::Tokens(tokens)) => tokens,
        Some(last) => return error_response(caller, last),
        None => {
            return responses::unknown(id, UnknownReason::EntryStopped);
        }
    };
    let (sender, body) = Channel::new(STREAM_BUFFER_FRAMES);
    tokio::spawn(stream_events(caller, model, first, sender));
    let mut response = Response::new(body.boxed());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers
        .insert(header::TRAILER, HeaderValue::from_static("switchfold-outcome, switchfold-reason"));
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(HeaderName::from_static(responses::REQUEST_HEADER), value);
    }
    response
}

type StreamSender = http_body_util::channel::Sender<Bytes>;

/// Sends the events of a request as server-sent events. If the caller disconnects, the function
/// returns and drops `caller`, which cancels the request.
async fn stream_events(
    mut caller: CallerRequest,
    model: String,
    first: Vec<u32>,
    mut sender: StreamSender,
) {
    let id = caller.id.to_string();
    let mut count = first.len() as u32;
    if send_tokens(&mut sender, &id, &model, &first).await.is_err() {
        return;
    }
    while let Some(event) = caller.events.recv().await {
        let outcome = match event {
            CallerEvent::Tokens(tokens) => {
                count += tokens.len() as u32;
                if send_tokens(&mut sender, &id, &model, &tokens).await.is_err() {
                    return;
                }
                continue;
            }
            CallerEvent::Done { .. } => Outcome::Done,
            CallerEvent::NotRun { reason, .. } => Outcome::NotRun(reason),
            CallerEvent::Unknown { reason } => Outcome::Unknown(reason),
            CallerEvent::Response { .. } => continue,
        };
        caller.mark_finished();
        // Nothing is left to do if the caller has disconnected.
        let _sent = send_outcome(&mut sender, outcome, count).await;
        return;
    }
}

async fn send_tokens(
    sender: &mut StreamSender,
    id: &str,
    model: &str,
    tokens: &[u32],
) -> Result<(), http_body_util::channel::SendError> {
    let body = completion_body(id, model, tokens, None);
    let json = serde_json::to_string(&body).unwrap_or_default();
    sender.send_data(Bytes::from(format!("data: {json}\n\n"))).await
}

/// Sends the outcome as the last event and as trailers.
async fn send_outcome(
    sender: &mut StreamSender,
    outcome: Outcome,
    tokens: u32,
) -> Result<(), http_body_util::channel::SendError> {
    let reason = outcome.reason();
    let event = OutcomeEvent { outcome: outcome.as_str(), reason: &reason, tokens };
    let json = serde_json::to_string(&event).unwrap_or_default();
    sender
        .send_data(Bytes::from(format!("event: outcome\ndata: {json}\n\ndata: [DONE]\n\n")))
        .await?;
    let mut trailers = HeaderMap::new();
    trailers.insert(responses::OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    if let Ok(reason) = HeaderValue::from_str(&reason) {
        trailers.insert(responses::REASON_HEADER, reason);
    }
    sender.send(Frame::trailers(trailers)).await
}
