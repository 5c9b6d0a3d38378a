//! From a request's id to its cause, by the logs of all processes.
//!
//! Reads structured log lines, puts those of one request in order of time, names the line that decided
//! its end, and shows what the process that wrote it came to believe shortly before.

use std::path::PathBuf;

use derive_more::{Display, Error, From};

use crate::logs::{LogLine, LogsError, millis, read_logs, sorted_lines};

/// Why a request could not be explained.
#[derive(Debug, Display, Error, From)]
pub enum ExplainError {
    /// A log file cannot be read.
    #[display("{_0}")]
    Unreadable(LogsError),
    /// No line names the request.
    #[from(skip)]
    #[display(
        "no line names request {id:?}: it never arrived, or its lines were left out (see lines_left_out in the lines \"figures\")"
    )]
    Unknown {
        /// The request's id.
        id: String,
    },
}

/// Events that end a request, by how much they say of its cause: the first of these that a request
/// has is the one that decided.
const DECIDING: [&str; 7] = [
    "refused",
    "stream-broken",
    "resume-failed",
    "stream-lost",
    "attempt-failed",
    "stream-ended",
    "answered",
];

/// Events that change what a process believes.
const BELIEFS: [&str; 20] = [
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

/// Time before the deciding line in which changes of belief are shown, in milliseconds: suspicions last
/// a second at first, and watches of the store are answered once a second.
const BEFORE: u64 = 3_000;

/// Changes of belief that are shown at most, the latest ones.
const MOST_BELIEFS: usize = 12;

/// Explains a request by the lines of some log files.
///
/// # Errors
///
/// Fails where a file cannot be read, or no line names the request.
pub fn explain_files(id: &str, files: &[PathBuf]) -> Result<String, ExplainError> {
    let logs = read_logs(files)?;
    explain(id, &logs)
}

/// Explains a request by named logs.
///
/// # Errors
///
/// Fails where no line names the request.
pub fn explain(id: &str, logs: &[(String, String)]) -> Result<String, ExplainError> {
    let lines = sorted_lines(logs);
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.names(id)).collect();
    let Some(deciding) = deciding_line(&own) else {
        return Err(ExplainError::Unknown { id: id.to_owned() });
    };
    let mut text = format!("request {id}, {} lines\n\n", own.len());
    for line in &own {
        let mark = if std::ptr::eq(*line, deciding) { ">" } else { " " };
        text.push_str(&format!("{mark} {}\n", line.render()));
    }
    text.push_str(&format!("\ndecided by {:?} at {}\n", deciding.event, deciding.source));
    let beliefs = beliefs_before(&lines, deciding);
    if !beliefs.is_empty() {
        text.push_str("\nwhat that process came to believe shortly before:\n");
        beliefs.iter().for_each(|line| text.push_str(&format!("  {}\n", line.render())));
    }
    Ok(text)
}

fn deciding_line<'a>(own: &[&'a LogLine]) -> Option<&'a LogLine> {
    let last_of = |event: &&str| own.iter().rev().find(|line| line.event == **event).copied();
    DECIDING.iter().find_map(last_of).or(own.last().copied())
}

fn beliefs_before<'a>(lines: &'a [LogLine], deciding: &LogLine) -> Vec<&'a LogLine> {
    let until = millis(&deciding.time);
    let recent = lines.iter().filter(|line| {
        let time = millis(&line.time);
        let near = time <= until && until - time <= BEFORE;
        near && line.source == deciding.source && BELIEFS.contains(&line.event.as_str())
    });
    let recent: Vec<&LogLine> = recent.collect();
    recent[recent.len().saturating_sub(MOST_BELIEFS)..].to_vec()
}
