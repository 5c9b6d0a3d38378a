//! From a request's id to its cause, by the logs of all processes.
//!
//! Reads structured log lines, puts those of one request in order of time, names the line that decided
//! its end, and shows what the process that wrote it came to believe shortly before.

use std::{fs, path::PathBuf};

use derive_more::{Display, Error};
use serde_json::{Map, Value};

/// Why a request could not be explained.
#[derive(Debug, Display, Error)]
pub enum ExplainError {
    /// A log file cannot be read.
    #[display("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// No line names the request.
    #[display(
        "no line names request {id:?}: it never arrived, or its lines were left out (see lines_left_out in the lines \"figures\")"
    )]
    Unknown {
        /// The request's id.
        id: String,
    },
}

/// One line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    source: String,
    time: String,
    event: String,
    fields: Map<String, Value>,
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
const BELIEFS: [&str; 16] = [
    "suspect",
    "suspect-heard",
    "replica-full",
    "replica-draining",
    "replica-gone",
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
    let mut logs = Vec::new();
    for path in files {
        let text = fs::read_to_string(path)
            .map_err(|source| ExplainError::Unreadable { path: path.clone(), source })?;
        logs.push((path.display().to_string(), text));
    }
    explain(id, &logs)
}

/// Explains a request by named logs.
///
/// # Errors
///
/// Fails where no line names the request.
pub fn explain(id: &str, logs: &[(String, String)]) -> Result<String, ExplainError> {
    let mut lines: Vec<LogLine> = logs
        .iter()
        .flat_map(|(source, text)| text.lines().filter_map(|line| read_line(source, line)))
        .collect();
    lines.sort_by(|left, right| left.time.cmp(&right.time));
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

/// Reads a line. Whatever stands before the object, such as the process's name where several logs were
/// put together, tells its source.
fn read_line(source: &str, line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let Ok(Value::Object(mut fields)) = serde_json::from_str(&line[start..]) else {
        return None;
    };
    let time = take_text(&mut fields, "timestamp");
    let event = take_text(&mut fields, "event");
    let prefix = line[..start].split_whitespace().last();
    let source = prefix.unwrap_or(source).to_owned();
    (!event.is_empty()).then_some(LogLine { source, time, event, fields })
}

fn take_text(fields: &mut Map<String, Value>, name: &str) -> String {
    match fields.remove(name) {
        Some(Value::String(text)) => text,
        _ => String::new(),
    }
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

/// Milliseconds within the day of a time such as `2026-04-09T08:30:09.614305Z`; 0 where it is none.
fn millis(time: &str) -> u64 {
    let clock = time.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
    let mut seconds = 0.0;
    for part in clock.split(':') {
        seconds = seconds * 60.0 + part.parse::<f64>().unwrap_or(0.0);
    }
    (seconds * 1_000.0) as u64
}

impl LogLine {
    fn names(&self, id: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(id)
    }

    fn render(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| *name != "level" && *name != "request");
        let fields = shown.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        });
        let fields: Vec<String> = fields.collect();
        format!("{} {} {} {}", self.time, self.source, self.event, fields.join(" "))
    }
}
