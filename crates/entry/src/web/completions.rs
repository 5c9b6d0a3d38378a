//! `POST /v1/completions`: tokens of a model, whole or as server-sent events.

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
    dispatch::submission::{CallerEvent, Outcome, Submission, Work},
    service::{Cancel, DispatchService, IssueId, Submit},
};

/// Frames of a streamed answer that may wait for a slow caller.
const STREAM_FRAMES: usize = 64;

/// Tokens that an answer has where the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Longest prompt, in tokens.
const MOST_PROMPT: usize = 100_000;

/// What a caller sends. Fields that other servers know and this one does not are passed over.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    prompt: Prompt,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// A prompt: a text, whose bytes are its tokens, or tokens.
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

/// One piece of an answer.
#[derive(Debug, Serialize)]
struct CompletionAnswer<'a> {
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

/// Last event of a streamed answer.
#[derive(Debug, Serialize)]
struct OutcomeEvent<'a> {
    outcome: &'a str,
    reason: &'a str,
    tokens: u32,
}

/// The ways in which a request reaches the dispatch, and is taken back where its caller goes away.
pub(super) struct CallerRequest {
    pub(super) id: RequestId,
    pub(super) events: mpsc::UnboundedReceiver<CallerEvent>,
    guard: CancelGuard,
}

impl CallerRequest {
    /// The request is over: nothing is left to cancel.
    pub(super) fn finished(&mut self) {
        self.guard.dispatch = None;
    }
}

/// Cancels the request when dropped.
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

pub(super) async fn answer(context: &WebContext, request: Request<Incoming>) -> HttpResponse {
    let (parts, body) = request.into_parts();
    let completion = match read_completion(context, body).await {
        Ok(completion) => completion,
        Err(refused) => return *refused,
    };
    let access = match check_caller(context, &parts.headers, &completion.model) {
        Ok(access) => access,
        Err(refused) => return *refused,
    };
    if !context.settings.models.iter().any(|model| model.name == completion.model) {
        let names: Vec<&str> =
            context.settings.models.iter().map(|model| model.name.as_str()).collect();
        let message =
            format!("no model {:?}, expected one of {}", completion.model, names.join(", "));
        return responses::refusal(StatusCode::NOT_FOUND, "unknown-model", &message);
    }
    let (model, stream) = (completion.model.clone(), completion.stream);
    let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let work = Work::Completion { prompt: completion.prompt.into_tokens(), max_tokens };
    let caller = match start(context, &parts.headers, &access, &model, work).await {
        Ok(caller) => caller,
        Err(refused) => return *refused,
    };
    if stream { streamed(caller, model).await } else { whole_answer(caller, &model).await }
}

async fn read_completion(
    context: &WebContext,
    body: Incoming,
) -> Result<CompletionRequest, Box<HttpResponse>> {
    let refuse =
        |status, reason, message: &str| Box::new(responses::refusal(status, reason, message));
    let body = read_body(body, context.settings.body_bytes).await.map_err(|error| match error {
        BodyError::TooLarge { .. } => {
            refuse(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", &error.to_string())
        }
        BodyError::Truncated => {
            refuse(StatusCode::BAD_REQUEST, "body-truncated", &error.to_string())
        }
    })?;
    let completion: CompletionRequest = serde_json::from_slice(&body)
        .map_err(|error| refuse(StatusCode::BAD_REQUEST, "malformed-body", &error.to_string()))?;
    let most = context.settings.max_tokens;
    if completion.max_tokens.is_some_and(|tokens| tokens == 0 || tokens > most) {
        let message = format!("max_tokens: expected a whole number from 1 to {most}");
        return Err(refuse(StatusCode::BAD_REQUEST, "malformed-body", &message));
    }
    let len = match &completion.prompt {
        Prompt::Text(text) => text.len(),
        Prompt::Tokens(tokens) => tokens.len(),
    };
    if len == 0 || len > MOST_PROMPT {
        let message = format!("prompt: expected 1 to {MOST_PROMPT} tokens, found {len}");
        return Err(refuse(StatusCode::BAD_REQUEST, "malformed-body", &message));
    }
    Ok(completion)
}

/// Checks the organisation's rate, claims the key where there is one, and submits the request.
pub(super) async fn start(
    context: &WebContext,
    headers: &HeaderMap,
    access: &CallerAccess,
    target: &str,
    work: Work,
) -> Result<CallerRequest, Box<HttpResponse>> {
    let key = idempotency::key_of(headers)?;
    let stopping =
        || Box::new(responses::refusal(StatusCode::SERVICE_UNAVAILABLE, "stopping", "stopping"));
    let id = context.dispatch.send(IssueId).await.map_err(|_| stopping())?;
    let now = now_millis();
    let entries = context.directory.others().len() + 1;
    if let Err(wait) = context.limits.take(&access.organisation, entries, now) {
        let reason = crate::dispatch::submission::NotRunReason::RateLimit;
        return Err(Box::new(responses::not_run(id, reason, wait)));
    }
    let deadline = now + access.class.deadline_ms;
    if let Some(key) = key {
        let patience = Duration::from_millis(access.class.deadline_ms);
        idempotency::claim(context, &access.organisation.name, key, id, patience).await?;
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
    let submit = Submit { submission, sink, work: context.work.guard() };
    context.dispatch.send(submit).await.map_err(|_| stopping())?;
    Ok(CallerRequest { id, events, guard })
}

async fn whole_answer(mut caller: CallerRequest, model: &str) -> HttpResponse {
    let id = caller.id;
    let mut tokens = Vec::new();
    while let Some(event) = caller.events.recv().await {
        match event {
            CallerEvent::Tokens(more) => tokens.extend(more),
            CallerEvent::Done { .. } => {
                caller.finished();
                let text = id.to_string();
                let body = completion_answer(&text, model, &tokens, Some("length"));
                let mut answer = json_response(StatusCode::OK, &body);
                responses::state(&mut answer, id, Outcome::Done);
                return answer;
            }
            last => return ended(caller, last),
        }
    }
    responses::unknown(id, crate::dispatch::submission::UnknownReason::EntryStopped)
}

/// Answer to a request that gave no result.
pub(super) fn ended(mut caller: CallerRequest, event: CallerEvent) -> HttpResponse {
    caller.finished();
    match event {
        CallerEvent::NotRun { reason, retry_after } => {
            responses::not_run(caller.id, reason, retry_after)
        }
        CallerEvent::Unknown { reason } => responses::unknown(caller.id, reason),
        _ => {
            responses::unknown(caller.id, crate::dispatch::submission::UnknownReason::EntryStopped)
        }
    }
}

fn completion_answer<'a>(
    id: &'a str,
    model: &'a str,
    tokens: &'a [u32],
    finish_reason: Option<&'static str>,
) -> CompletionAnswer<'a> {
    let text: String = tokens.iter().map(|token| format!(" {token}")).collect();
    let choice = CompletionChoice { index: 0, text, token_ids: tokens, finish_reason };
    CompletionAnswer { id, object: "text_completion", model, choices: [choice] }
}

/// Waits for the first event, so that a request that did not run gets a status of its own.
async fn streamed(mut caller: CallerRequest, model: String) -> HttpResponse {
    let id = caller.id;
    let first = match caller.events.recv().await {
        Some(CallerEvent::Tokens(tokens)) => tokens,
        Some(last) => return ended(caller, last),
        None => {
            return responses::unknown(
                id,
                crate::dispatch::submission::UnknownReason::EntryStopped,
            );
        }
    };
    let (sender, body) = Channel::new(STREAM_FRAMES);
    tokio::spawn(stream_events(caller, model, first, sender));
    let mut answer = Response::new(body.boxed());
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers
        .insert(header::TRAILER, HeaderValue::from_static("switchfold-outcome, switchfold-reason"));
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(HeaderName::from_static(responses::REQUEST), value);
    }
    answer
}

type StreamSender = http_body_util::channel::Sender<Bytes>;

/// Dropping the request on the way out cancels it, where it is not over.
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
        caller.finished();
        // A caller that has gone has what it wanted of the answer.
        let _sent = send_end(&mut sender, outcome, count).await;
        return;
    }
}

async fn send_tokens(
    sender: &mut StreamSender,
    id: &str,
    model: &str,
    tokens: &[u32],
) -> Result<(), http_body_util::channel::SendError> {
    let body = completion_answer(id, model, tokens, None);
    let json = serde_json::to_string(&body).unwrap_or_default();
    sender.send_data(Bytes::from(format!("data: {json}\n\n"))).await
}

async fn send_end(
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
    trailers.insert(responses::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Ok(reason) = HeaderValue::from_str(&reason) {
        trailers.insert(responses::REASON, reason);
    }
    sender.send(Frame::trailers(trailers)).await
}
