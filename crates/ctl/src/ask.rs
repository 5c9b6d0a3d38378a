//! Sending a statement to an entry.

use std::time::Duration;

use derive_more::{Display, Error};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use switchfold_entry::commands::ResultTable;
use switchfold_kernel::http::{CallError, HttpClient};

use crate::table::render_table;

/// Largest answer, in bytes.
const MOST_ANSWER: usize = 64 << 20;

/// What to ask, and whom.
#[derive(Clone, Debug)]
pub struct AskRequest {
    /// Address of an entry.
    pub entry: String,
    /// The operators' token.
    pub token: String,
    /// The statement.
    pub statement: String,
    /// Id of the command; the same id again does not do it twice.
    pub command: Option<String>,
    /// Print JSON instead of a table.
    pub json: bool,
    /// How long to wait.
    pub patience: Duration,
}

/// Why a statement gave no result.
#[derive(Debug, Display, Error)]
pub enum AskError {
    /// The entry's address or the token is not one.
    #[display("--entry or --token: {source}")]
    Malformed {
        /// What is wrong.
        source: http::Error,
    },
    /// The entry cannot be reached, or gave no answer.
    #[display("{source}")]
    Call {
        /// What happened.
        source: CallError,
    },
    /// The entry refused the statement.
    #[display("{message}")]
    Refused {
        /// Why.
        message: String,
    },
}

/// Sends a statement; gives the text to print.
///
/// # Errors
///
/// See [`AskError`].
pub async fn ask(asked: &AskRequest) -> Result<String, AskError> {
    let mut request = Request::builder()
        .method("POST")
        .uri(format!("http://{}/v1/operator", asked.entry))
        .header("authorization", format!("Bearer {}", asked.token));
    if let Some(command) = &asked.command {
        request = request.header("switchfold-command", command);
    }
    let body = Full::new(asked.statement.clone().into());
    let request = request.body(body).map_err(|source| AskError::Malformed { source })?;
    let http = HttpClient::new(asked.patience, MOST_ANSWER);
    let answer = http.call(request).await.map_err(|source| AskError::Call { source })?;
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    if answer.status != StatusCode::OK {
        let message = refusal_text(asked, answer.status, &value);
        return Err(AskError::Refused { message });
    }
    if asked.json {
        return Ok(value.to_string());
    }
    Ok(match serde_json::from_value::<ResultTable>(value.clone()) {
        Ok(table) => render_table(&table),
        Err(_) => accepted_text(&value),
    })
}

fn accepted_text(value: &Value) -> String {
    let text = |name: &str| value.get(name).map(plain).unwrap_or_default();
    format!("accepted: {} {:?} is at version {}", text("kind"), text("name"), text("version"))
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// What the entry said; a mistake in the statement is pointed at.
fn refusal_text(asked: &AskRequest, status: StatusCode, value: &Value) -> String {
    let nested = value.get("error").unwrap_or(value);
    let message = nested.get("message").map(plain).unwrap_or_else(|| status.to_string());
    let place = |name: &str| value.get(name).and_then(Value::as_u64).map(|place| place as usize);
    let (Some(line), Some(column)) = (place("line"), place("column")) else {
        return message;
    };
    let text = asked.statement.lines().nth(line - 1).unwrap_or_default();
    format!("{message}\n  {text}\n  {}^", " ".repeat(column.saturating_sub(1)))
}
