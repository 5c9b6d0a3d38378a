//! `POST /v1/operator`: one statement, as text.

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use switchfold_kernel::http::{HttpResponse, json_response, read_body};
use switchfold_lang::MAX_STATEMENT_BYTES;

use super::{WebContext, access, responses};
use crate::{
    commands::{CommandError, run_statement},
    service::IssueId,
};

const COMMAND_ID: &str = "switchfold-command";

/// Longest id of a command, in bytes.
const MOST_COMMAND_ID: usize = 100;

/// Body of an answer to a statement that was refused.
#[derive(Debug, Serialize)]
struct CommandRefusal<'a> {
    result: &'a str,
    reason: &'a str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    line: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    column: Option<usize>,
}

pub(super) async fn answer(context: &WebContext, request: Request<Incoming>) -> HttpResponse {
    if let Err(refused) = access::check_operator(context, request.headers()) {
        return *refused;
    }
    let given = request.headers().get(COMMAND_ID).and_then(|value| value.to_str().ok());
    let command = match given {
        Some(id) if id.is_empty() || id.len() > MOST_COMMAND_ID || !id.bytes().all(is_id_byte) => {
            let message = "Switchfold-Command: expected letters, digits and -";
            return responses::refusal(StatusCode::BAD_REQUEST, "malformed-command-id", message);
        }
        Some(id) => id.to_owned(),
        None => match context.dispatch.send(IssueId).await {
            Ok(id) => id.to_string(),
            Err(_) => return refused(&CommandError::Stopping),
        },
    };
    let text = match read_body(request.into_body(), MAX_STATEMENT_BYTES).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => {
            return responses::refusal(StatusCode::PAYLOAD_TOO_LARGE, "body", &error.to_string());
        }
    };
    match run_statement(&context.commands, &text, &command).await {
        Ok(answer) => json_response(StatusCode::OK, &answer),
        Err(error) => refused(&error),
    }
}

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'-'
}

fn refused(error: &CommandError) -> HttpResponse {
    let (status, reason) = match error {
        CommandError::InvalidStatement { .. } => (StatusCode::BAD_REQUEST, "not-understood"),
        CommandError::NotFound { .. } => (StatusCode::NOT_FOUND, "missing"),
        CommandError::InvalidChange { .. } => (StatusCode::BAD_REQUEST, "unfit"),
        CommandError::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
        CommandError::Store { .. } => (StatusCode::SERVICE_UNAVAILABLE, "store"),
        CommandError::OutcomeUnknown { .. } => (StatusCode::BAD_GATEWAY, "unclear"),
        CommandError::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    };
    let mut body = CommandRefusal {
        result: "refused",
        reason,
        message: error.to_string(),
        line: None,
        column: None,
    };
    if let CommandError::InvalidStatement { source } = error {
        body.line = Some(source.line);
        body.column = Some(source.column);
    }
    json_response(status, &body)
}
