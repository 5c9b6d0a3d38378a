//! A caller: sends one request, reads the response as it arrives, and checks it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use switchfold_kernel::http::{CallError, HttpClient};
use tokio::time::timeout;

use crate::{Arrival, CallRecord, ClassLoad, WorkKind, Workload};

/// Longest time between two frames of a response body, and to read a complete body that is not a
/// stream.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Outcome of a request from the caller's view.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CheckedOutcome {
    /// The request ran to completion.
    Done,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The connection could not be established, so the request did not run.
    Unreached,
    /// The idempotency key was already claimed; the response names the outcome of the request that
    /// holds it.
    Duplicate,
}

/// Addresses and credentials for sending requests.
#[derive(Clone, Debug)]
pub struct CallerTarget {
    /// Addresses of the entries; requests are distributed over them in turn.
    pub entries: Vec<String>,
    /// Bearer token of each organisation.
    pub tokens: Vec<String>,
}

/// Body of a completion request.
#[derive(Debug, Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a [u32],
    max_tokens: u32,
    stream: bool,
}

/// Data of a server-sent event with tokens.
#[derive(Debug, Deserialize)]
struct TokenEvent {
    choices: Vec<TokenChoice>,
}

#[derive(Debug, Deserialize)]
struct TokenChoice {
    token_ids: Vec<u32>,
}

/// Data of the last server-sent event of a stream.
#[derive(Debug, Deserialize)]
struct OutcomeEvent {
    outcome: String,
    reason: String,
}

/// Response body of the stand-in service, as far as it is checked.
#[derive(Debug, Deserialize)]
struct ServiceBody {
    body: String,
}

/// Error of a stream that failed or timed out before its end.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("response stream failed or timed out before its end")]
struct StreamTruncated;

/// What a caller has received of a response so far.
#[derive(Debug, Default)]
struct ResponseState {
    tokens: Vec<u32>,
    tokens_at: Vec<u64>,
    outcome: Option<CheckedOutcome>,
    reason: String,
    wrong: bool,
}

/// Sends one request, reads its response and compares generated tokens with `expected`.
pub(crate) async fn call(
    http: &HttpClient,
    target: &CallerTarget,
    workload: &Workload,
    arrival: &Arrival,
    entry: &str,
    start: Instant,
    expected: &[u32],
) -> CallRecord {
    let class = &workload.classes[arrival.class];
    let sent = micros_since(start);
    let mut state = ResponseState::default();
    match build_request(target, workload, class, arrival, entry) {
        Ok(request) => match http.send(request).await {
            Ok(response) => read_response(response, class, arrival, start, &mut state).await,
            Err(CallError::NotConnected { .. }) => state.outcome = Some(CheckedOutcome::Unreached),
            Err(CallError::NoResponse { detail }) => {
                state.outcome = Some(CheckedOutcome::Unknown);
                state.reason = format!("no answer: {detail}");
            }
        },
        Err(error) => state.reason = error.to_string(),
    }
    let outcome = state.outcome.unwrap_or(CheckedOutcome::Unknown);
    let is_completion = arrival.max_tokens > 0;
    if is_completion {
        let matches_expected = match outcome {
            CheckedOutcome::Done => state.tokens == expected,
            _ => expected.starts_with(&state.tokens),
        };
        state.wrong |= !matches_expected;
    }
    CallRecord {
        number: arrival.number,
        class: arrival.class,
        organisation: arrival.organisation,
        scheduled: arrival.at_micros,
        sent,
        tokens_at: state.tokens_at,
        ended: micros_since(start),
        outcome,
        reason: state.reason,
        wrong: state.wrong,
        max_tokens: arrival.max_tokens,
        resend_of: arrival.resend_of,
    }
}

fn micros_since(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}

fn build_request(
    target: &CallerTarget,
    workload: &Workload,
    class: &ClassLoad,
    arrival: &Arrival,
    entry: &str,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let (path, body) = match &class.work {
        WorkKind::Completion { .. } => {
            let body = CompletionBody {
                model: &workload.model,
                prompt: &arrival.prompt,
                max_tokens: arrival.max_tokens,
                stream: true,
            };
            ("/v1/completions".to_owned(), serde_json::to_vec(&body).unwrap_or_default())
        }
        WorkKind::Call { service } => {
            (format!("/v1/services/{service}/run"), call_body(arrival).into_bytes())
        }
    };
    let token = &target.tokens[arrival.organisation as usize % target.tokens.len()];
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .header("switchfold-event", &workload.event)
        .header("switchfold-class", &class.class);
    if let Some(key) = &arrival.key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(body.into()))
}

/// Returns the body of a service call, which is the same for a request and its resends.
pub fn call_body(arrival: &Arrival) -> String {
    match &arrival.key {
        Some(key) => format!("call {key}"),
        None => format!("call {}", arrival.number),
    }
}

async fn read_response(
    response: Response<Incoming>,
    class: &ClassLoad,
    arrival: &Arrival,
    start: Instant,
    state: &mut ResponseState,
) {
    let (parts, body) = response.into_parts();
    record_headers(&parts.headers, parts.status, state);
    let is_stream =
        parts.headers.get("content-type").is_some_and(|kind| kind == "text/event-stream");
    let is_call = matches!(class.work, WorkKind::Call { .. });
    if is_stream {
        if read_events(body, start, state).await.is_err() && state.outcome.is_none() {
            state.reason = "the answer broke off".to_owned();
        }
    } else if let Ok(Ok(collected)) = timeout(BODY_READ_TIMEOUT, body.collect()).await
        && is_call
        && state.outcome == Some(CheckedOutcome::Done)
    {
        let parsed: Result<ServiceBody, _> = serde_json::from_slice(&collected.to_bytes());
        state.wrong = !parsed.is_ok_and(|parsed| parsed.body == call_body(arrival));
    }
}

fn record_headers(headers: &HeaderMap, status: StatusCode, state: &mut ResponseState) {
    let text =
        |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    state.reason = text("switchfold-reason").to_owned();
    state.outcome = parse_outcome(text("switchfold-outcome"));
    if status == StatusCode::CONFLICT && state.reason == "already-claimed" {
        state.outcome = Some(CheckedOutcome::Duplicate);
    }
}

fn parse_outcome(text: &str) -> Option<CheckedOutcome> {
    match text {
        "done" => Some(CheckedOutcome::Done),
        "not-run" => Some(CheckedOutcome::NotRun),
        "unknown" => Some(CheckedOutcome::Unknown),
        _ => None,
    }
}

async fn read_events(
    mut body: Incoming,
    start: Instant,
    state: &mut ResponseState,
) -> Result<(), StreamTruncated> {
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let frame = match timeout(BODY_READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(()),
            Ok(Some(Err(_))) | Err(_) => return Err(StreamTruncated),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            record_event(&String::from_utf8_lossy(&event), start, state);
        }
    }
}

fn record_event(event: &str, start: Instant, state: &mut ResponseState) {
    let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or_default();
    if event.starts_with("event: outcome") {
        if let Ok(end) = serde_json::from_str::<OutcomeEvent>(data) {
            state.outcome = parse_outcome(&end.outcome);
            state.reason = end.reason;
        }
        return;
    }
    if let Ok(tokens) = serde_json::from_str::<TokenEvent>(data) {
        let now = micros_since(start);
        for choice in tokens.choices {
            state.tokens_at.extend(choice.token_ids.iter().map(|_| now));
            state.tokens.extend(choice.token_ids);
        }
    }
}
