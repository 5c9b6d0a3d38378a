//! Finds the cause of a request's outcome in the logs of all processes.
//!
//! Sorts the log lines of the request by time, names the line that decided its outcome, and shows
//! how the state of the process that wrote this line changed shortly before.

use std::path::PathBuf;

use derive_more::{Display, Error, From};

use crate::logs::{LogLine, LogsError, millis_of_day, read_logs, sorted_lines};

/// Why a request could not be explained.
#[derive(Debug, Display, Error, From)]
pub enum ExplainError {
    /// A log file cannot be read.
    #[display("{_0}")]
    Unreadable(LogsError),
    /// No log line is about the request.
    #[from(skip)]
    #[display(
        "no log line is about request {id:?}: it never arrived, or its lines were dropped (see lines_left_out in the \"figures\" lines)"
    )]
    Unknown {
        /// Id of the request.
        id: String,
    },
}

/// Events that report how a request ended, the most specific first. The deciding line is the last
/// one with the first of these events that the request has.
const DECIDING_EVENTS: [&str; 8] = [
    "refused",
    "stream-broken",
    "request-ended",
    "resume-failed",
    "stream-lost",
    "attempt-failed",
    "stream-ended",
    "answered",
];

/// Events that report a change of a process's state of replicas, store and configuration.
const STATE_CHANGES: [&str; 20] = [
    "suspect",
    "suspect-heard",
    "replica-full",
    "replica-draining",
    "replica-returned",
    "replica-gone",
    "replica-listed",
    "replica-awaited",
    "change-passed",
    "store-lost",
    "store-regained",
    "history-gone",
    "config-taken",
    "config-unreadable",
    "order",
    "order-unsent",
    "started",
    "stopping",
    "reload",
    "reload-failed",
];

/// Time before the deciding line from which state changes are shown, in milliseconds. A suspicion
/// lasts one second at first, and watches of the store are answered once a second.
const LOOKBACK_MS: u64 = 3_000;

/// Largest number of state changes that are shown. The latest ones are kept.
const MAX_STATE_CHANGES: usize = 12;

/// Explains a request from log files.
///
/// # Errors
///
/// Fails if a file cannot be read, or no line is about the request.
pub fn explain_files(id: &str, files: &[PathBuf]) -> Result<String, ExplainError> {
    let logs = read_logs(files)?;
    explain(id, &logs)
}

/// Explains a request from logs, given as pairs of name and text.
///
/// # Errors
///
/// Fails if no line is about the request.
pub fn explain(id: &str, logs: &[(String, String)]) -> Result<String, ExplainError> {
    let lines = sorted_lines(logs);
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(id)).collect();
    let Some(deciding) = deciding_line(&request_lines) else {
        return Err(ExplainError::Unknown { id: id.to_owned() });
    };
    let mut text = format!("request {id}, {} lines\n\n", request_lines.len());
    for line in &request_lines {
        let mark = if std::ptr::eq(*line, deciding) { ">" } else { " " };
        text.push_str(&format!("{mark} {}\n", line.render()));
    }
    text.push_str(&format!("\ndecided by {:?} at {}\n", deciding.event, deciding.source));
    let changes = state_changes_before(&lines, deciding);
    if !changes.is_empty() {
        text.push_str("\nwhat that process came to believe shortly before:\n");
        changes.iter().for_each(|line| text.push_str(&format!("  {}\n", line.render())));
    }
    Ok(text)
}

fn deciding_line<'a>(request_lines: &[&'a LogLine]) -> Option<&'a LogLine> {
    let last_of =
        |event: &&str| request_lines.iter().rev().find(|line| line.event == **event).copied();
    DECIDING_EVENTS.iter().find_map(last_of).or(request_lines.last().copied())
}

fn state_changes_before<'a>(lines: &'a [LogLine], deciding: &LogLine) -> Vec<&'a LogLine> {
    let decided_at = millis_of_day(&deciding.time);
    let recent = lines.iter().filter(|line| {
        let time = millis_of_day(&line.time);
        let is_recent = time <= decided_at && decided_at - time <= LOOKBACK_MS;
        is_recent && line.source == deciding.source && STATE_CHANGES.contains(&line.event.as_str())
    });
    let recent: Vec<&LogLine> = recent.collect();
    recent[recent.len().saturating_sub(MAX_STATE_CHANGES)..].to_vec()
}
