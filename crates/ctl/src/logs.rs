//! Reads structured log lines of one or more processes.

use std::{fs, path::PathBuf};

use derive_more::{Display, Error};
use serde_json::{Map, Value};

/// A log file could not be read.
#[derive(Debug, Display, Error)]
#[display("{}: {source}", path.display())]
pub struct LogsError {
    path: PathBuf,
    source: std::io::Error,
}

/// One structured log line.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Name of the process that wrote it, or of its log.
    pub(crate) source: String,
    /// Timestamp, as written.
    pub(crate) time: String,
    /// Name of the event.
    pub(crate) event: String,
    /// All other fields.
    pub(crate) fields: Map<String, Value>,
}

/// Reads log files. Returns pairs of name and text.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn read_logs(files: &[PathBuf]) -> Result<Vec<(String, String)>, LogsError> {
    let read = files.iter().map(|path| {
        let text =
            fs::read_to_string(path).map_err(|source| LogsError { path: path.clone(), source })?;
        Ok((path.display().to_string(), text))
    });
    read.collect()
}

/// Returns the lines of all logs, sorted by time. Lines that are not structured are skipped.
pub(crate) fn sorted_lines(logs: &[(String, String)]) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = logs
        .iter()
        .flat_map(|(source, text)| text.lines().filter_map(|line| read_line(source, line)))
        .collect();
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    lines
}

/// Parses a line. The last word before the JSON object, if there is one, is the name of the
/// process: several logs may be combined in one file.
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

/// Milliseconds since midnight of a timestamp such as `2026-04-09T08:30:09.614305Z`; 0 if it has no
/// time.
pub(crate) fn millis_of_day(time: &str) -> u64 {
    let time_of_day = time.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
    let mut seconds = 0.0;
    for part in time_of_day.split(':') {
        seconds = seconds * 60.0 + part.parse::<f64>().unwrap_or(0.0);
    }
    (seconds * 1_000.0) as u64
}

impl LogLine {
    /// Id of the request that the line is about, if any.
    pub(crate) fn request(&self) -> Option<&str> {
        self.text("request")
    }

    /// Value of a field, if it is a string.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Value of a field, if it is an unsigned integer.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Value of a field, if it is a number.
    pub(crate) fn decimal(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// Value of a field, if it is true or false.
    pub(crate) fn flag(&self, name: &str) -> Option<bool> {
        self.fields.get(name).and_then(Value::as_bool)
    }

    /// Whether the line is about this request.
    pub(crate) fn is_about(&self, id: &str) -> bool {
        self.request() == Some(id)
    }

    /// Formats the line for output.
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
