//! `POST /v1/operator`: runs one statement, which is the body of the request.

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

/// Header that sets the id of the command.
const COMMAND_ID_HEADER: &str = "switchfold-command";

/// Longest id of a command, in bytes.
const MAX_COMMAND_ID_BYTES: usize = 100;

/// JSON body of the response to a statement that failed.
#[derive(Debug, Serialize)]
struct CommandErrorBody<'a> {
    result: &'a str,
    reason: &'a str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    line: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    column: Option<usize>,
}

pub(super) async fn respond(context: &WebContext, request: Request<Incoming>) -> HttpResponse {
    if let Err(rejection) = access::check_operator(context, request.headers()) {
        return *rejection;
    }
    let given = request.headers().get(COMMAND_ID_HEADER).and_then(|value| value.to_str().ok());
    let command = match given {
        Some(id)
            if id.is_empty() || id.len() > MAX_COMMAND_ID_BYTES || !id.bytes().all(is_id_byte) =>
        {
            let message = "Switchfold-Command: expected letters, digits and -";
            return responses::rejection(StatusCode::BAD_REQUEST, "malformed-command-id", message);
        }
        Some(id) => id.to_owned(),
        None => match context.dispatch.send(IssueId).await {
            Ok(id) => id.to_string(),
            Err(_) => return error_response(&CommandError::Stopping),
        },
    };
    let text = match read_body(request.into_body(), MAX_STATEMENT_BYTES).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => {
            return responses::rejection(StatusCode::PAYLOAD_TOO_LARGE, "body", &error.to_string());
        }
    };
    match run_statement(&context.commands, &text, &command).await {
        Ok(output) => json_response(StatusCode::OK, &output),
        Err(error) => error_response(&error),
    }
}

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'-'
}

fn error_response(error: &CommandError) -> HttpResponse {
    let (status, reason) = match error {
        CommandError::InvalidStatement { .. } => (StatusCode::BAD_REQUEST, "not-understood"),
        CommandError::NotFound { .. } => (StatusCode::NOT_FOUND, "missing"),
        CommandError::InvalidArgument { .. } => (StatusCode::BAD_REQUEST, "unfit"),
        CommandError::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
        CommandError::Store { .. } => (StatusCode::SERVICE_UNAVAILABLE, "store"),
        CommandError::OutcomeUnknown { .. } => (StatusCode::BAD_GATEWAY, "unclear"),
        CommandError::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    };
    let mut body = CommandErrorBody {
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
