//! Sends a statement to an entry.

use std::time::Duration;

use derive_more::{Display, Error};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use switchfold_entry::commands::ResultTable;
use switchfold_kernel::http::{CallError, HttpClient};

use crate::table::render_table;

/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Statement, entry and output format of one call.
#[derive(Clone, Debug)]
pub struct AskOptions {
    /// Address of an entry: host and port.
    pub entry: String,
    /// Bearer token of the operators.
    pub token: String,
    /// Statement in the operators' language.
    pub statement: String,
    /// Id of the command, if it has one. A command whose id was used before is not run again.
    pub command: Option<String>,
    /// Whether to return JSON instead of a table.
    pub json: bool,
    /// Time to wait for the response.
    pub timeout: Duration,
}

/// Why a statement has no result.
#[derive(Debug, Display, Error)]
pub enum AskError {
    /// The entry's address or the token cannot be part of a request.
    #[display("--entry or --token: {source}")]
    InvalidArgument {
        /// Error of the request builder.
        source: http::Error,
    },
    /// The entry cannot be reached, or did not respond.
    #[display("{source}")]
    Call {
        /// Error of the call.
        source: CallError,
    },
    /// The entry refused the statement.
    #[display("{message}")]
    Refused {
        /// Message of the entry.
        message: String,
    },
}

/// Sends a statement and returns the text to print.
///
/// # Errors
///
/// See [`AskError`].
pub async fn ask(options: &AskOptions) -> Result<String, AskError> {
    let mut request = Request::builder()
        .method("POST")
        .uri(format!("http://{}/v1/operator", options.entry))
        .header("authorization", format!("Bearer {}", options.token));
    if let Some(command) = &options.command {
        request = request.header("switchfold-command", command);
    }
    let body = Full::new(options.statement.clone().into());
    let request = request.body(body).map_err(|source| AskError::InvalidArgument { source })?;
    let http = HttpClient::new(options.timeout, MAX_RESPONSE_BYTES);
    let response = http.call(request).await.map_err(|source| AskError::Call { source })?;
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if response.status != StatusCode::OK {
        let message = refusal_text(options, response.status, &value);
        return Err(AskError::Refused { message });
    }
    if options.json {
        return Ok(value.to_string());
    }
    Ok(match serde_json::from_value::<ResultTable>(value.clone()) {
        Ok(table) => render_table(&table),
        Err(_) => accepted_text(&value),
    })
}

fn accepted_text(value: &Value) -> String {
    let text = |name: &str| value.get(name).map(plain_text).unwrap_or_default();
    format!("accepted: {} {:?} is at version {}", text("kind"), text("name"), text("version"))
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns the entry's message. For a syntax error it also shows the line and marks the column.
fn refusal_text(options: &AskOptions, status: StatusCode, value: &Value) -> String {
    let nested = value.get("error").unwrap_or(value);
    let message = nested.get("message").map(plain_text).unwrap_or_else(|| status.to_string());
    let position =
        |name: &str| value.get(name).and_then(Value::as_u64).map(|position| position as usize);
    let (Some(line), Some(column)) = (position("line"), position("column")) else {
        return message;
    };
    let text = options.statement.lines().nth(line - 1).unwrap_or_default();
    format!("{message}\n  {text}\n  {}^", " ".repeat(column.saturating_sub(1)))
}
