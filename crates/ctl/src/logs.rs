//! Reading structured log lines of one or more processes.

use std::{fs, path::PathBuf};

use derive_more::{Display, Error};
use serde_json::{Map, Value};

/// A log file cannot be read.
#[derive(Debug, Display, Error)]
#[display("{}: {source}", path.display())]
pub struct LogsError {
    path: PathBuf,
    source: std::io::Error,
}

/// One line of a log.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Process that wrote it.
    pub(crate) source: String,
    /// When, as written.
    pub(crate) time: String,
    /// What happened.
    pub(crate) event: String,
    /// All other fields.
    pub(crate) fields: Map<String, Value>,
}

/// Reads log files whole, with their names.
///
/// # Errors
///
/// Fails where one cannot be read.
pub fn read_logs(files: &[PathBuf]) -> Result<Vec<(String, String)>, LogsError> {
    let read = files.iter().map(|path| {
        let text =
            fs::read_to_string(path).map_err(|source| LogsError { path: path.clone(), source })?;
        Ok((path.display().to_string(), text))
    });
    read.collect()
}

/// Lines of named logs in order of time; what is no structured line is passed over.
pub(crate) fn sorted_lines(logs: &[(String, String)]) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = logs
        .iter()
        .flat_map(|(source, text)| text.lines().filter_map(|line| read_line(source, line)))
        .collect();
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    lines
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

/// Milliseconds within the day of a time such as `2026-04-09T08:30:09.614305Z`; 0 where it is none.
pub(crate) fn millis(time: &str) -> u64 {
    let clock = time.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
    let mut seconds = 0.0;
    for part in clock.split(':') {
        seconds = seconds * 60.0 + part.parse::<f64>().unwrap_or(0.0);
    }
    (seconds * 1_000.0) as u64
}

impl LogLine {
    /// Id of the request that it is about.
    pub(crate) fn request(&self) -> Option<&str> {
        self.text("request")
    }

    /// A field that is text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// A field that is a whole number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Whether it is about that request.
    pub(crate) fn names(&self, id: &str) -> bool {
        self.request() == Some(id)
    }

    /// The line for a person.
    pub(crate) fn render(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| *name != "level" && *name != "request");
        let fields = shown.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        });
        let fields: Vec<String> = fields.collect();
        format!("{} {} {} {}", self.time, self.source, self.event, fields.join(" "))
    }
}
