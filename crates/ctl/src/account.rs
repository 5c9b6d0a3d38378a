//! Counts why requests were late, refused or failed, from the relays' logs.
//!
//! Each attempt of a caller gets one cause, the first that applies in `cause_of`. The counts, in
//! total and by time, show the most frequent cause; `explain` then shows single requests. A retry
//! of the caller counts as another attempt, since it has a new id.

use std::{
    collections::{BTreeMap, HashMap},
    path::PathBuf,
};

use comfy_table::{Table, presets};

use crate::logs::{LogLine, LogsError, millis_of_day, read_logs, sorted_lines};

/// Number of causes listed in a row of the table by time.
const MAX_LISTED_CAUSES: usize = 4;

/// Objective for the time to the response's head, if the `dispatch` line has none, in milliseconds.
const DEFAULT_OBJECTIVE_MS: u64 = 500;

/// Longest allowed pause between events, if the `dispatch` line has none, in milliseconds.
const DEFAULT_GAP_MS: u64 = 200;

/// Share of the objective, in percent, from which waiting for capacity is the cause of a late
/// response.
const LONG_WAIT_PERCENT: u64 = 40;

/// Data of one attempt, collected from its log lines.
#[derive(Clone, Debug, Default)]
struct AttemptSummary {
    /// Time of its first log line, in milliseconds since midnight.
    began_at: u64,
    refusal: Option<String>,
    stream_broken: bool,
    status: Option<u64>,
    head_ms: Option<u64>,
    longest_pause_ms: Option<u64>,
    waited_ms: Option<u64>,
    objective_ms: Option<u64>,
    gap_ms: Option<u64>,
    failed_attempts: u32,
    is_stream: bool,
    resumed: bool,
    path_changed: bool,
}

impl AttemptSummary {
    fn record(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "dispatch" => {
                self.waited_ms = self.waited_ms.or(line.number("waited_ms"));
                self.objective_ms = line.number("objective");
                self.gap_ms = line.number("gap");
                self.is_stream |= line.text("path").is_some();
            }
            "attempt-failed" => self.failed_attempts += 1,
            "refused" => self.refusal = line.text("reason").map(str::to_owned),
            "answered" => {
                self.status = line.number("status");
                self.head_ms = line.number("took_ms");
            }
            "stream-ended" => self.longest_pause_ms = line.number("longest_pause_ms"),
            "stream-broken" => self.stream_broken = true,
            "stream-resumed" => self.resumed = true,
            "repath" => self.path_changed = true,
            _ => {}
        }
    }
}

/// Returns the cause of an attempt's outcome.
fn cause_of(summary: &AttemptSummary) -> String {
    if let Some(reason) = &summary.refusal {
        return format!("refused: {reason}");
    }
    if summary.stream_broken {
        return "stream broken".to_owned();
    }
    let (Some(status), Some(head_ms)) = (summary.status, summary.head_ms) else {
        return "no answer: the caller left, or the relay ended".to_owned();
    };
    if status >= 400 {
        return format!("answered with status {status}");
    }
    if summary.is_stream && summary.longest_pause_ms.is_none() {
        return "stream not ended: the caller left, or the relay ended".to_owned();
    }
    let objective_ms = summary.objective_ms.unwrap_or(DEFAULT_OBJECTIVE_MS);
    let waited_long = summary.waited_ms.unwrap_or(0) * 100 >= objective_ms * LONG_WAIT_PERCENT;
    if head_ms > objective_ms {
        return match summary.failed_attempts {
            0 if waited_long => "late: waited for room",
            0 => "late: slow to begin",
            _ => "late: after a failed attempt",
        }
        .to_owned();
    }
    if summary.longest_pause_ms.unwrap_or(0) > summary.gap_ms.unwrap_or(DEFAULT_GAP_MS) {
        return match (summary.resumed, summary.path_changed) {
            (true, _) => "pause: taken up at another replica",
            (false, true) => "pause: moved to another path",
            (false, false) => "pause: slow engines",
        }
        .to_owned();
    }
    IN_TIME.to_owned()
}

/// Cause of attempts that were served in time.
const IN_TIME: &str = "in time";

/// Counts the causes for all requests in log files, in total and in steps of `step_ms`
/// milliseconds.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn account_files(files: &[PathBuf], step_ms: u64) -> Result<String, LogsError> {
    Ok(account(&read_logs(files)?, step_ms))
}

/// Counts the causes for all requests in logs, given as pairs of name and text.
pub fn account(logs: &[(String, String)], step_ms: u64) -> String {
    let lines = sorted_lines(logs);
    let summaries = summarize_attempts(&lines);
    let mut total: BTreeMap<String, usize> = BTreeMap::new();
    let mut steps: BTreeMap<u64, BTreeMap<String, usize>> = BTreeMap::new();
    let first = summaries.values().map(|summary| summary.began_at).min().unwrap_or(0);
    for summary in summaries.values() {
        let cause = cause_of(summary);
        let step = (summary.began_at - first) / step_ms.max(1);
        *total.entry(cause.clone()).or_default() += 1;
        *steps.entry(step).or_default().entry(cause).or_default() += 1;
    }
    format!("{}\n\n{}", cause_table(&total, summaries.len()), time_table(&steps, step_ms))
}

fn summarize_attempts(lines: &[LogLine]) -> HashMap<&str, AttemptSummary> {
    let mut summaries: HashMap<&str, AttemptSummary> = HashMap::new();
    for line in lines {
        let Some(id) = line.request() else { continue };
        let began_at = millis_of_day(&line.time);
        let summary = summaries
            .entry(id)
            .or_insert_with(|| AttemptSummary { began_at, ..Default::default() });
        summary.record(line);
    }
    summaries
}

/// Sorts causes by descending count.
pub(crate) fn sort_by_count(causes: &BTreeMap<String, usize>) -> Vec<(&str, usize)> {
    let mut rows: Vec<(&str, usize)> =
        causes.iter().map(|(cause, count)| (cause.as_str(), *count)).collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    rows
}

/// Returns an empty table in the style of these commands.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}

fn cause_table(causes: &BTreeMap<String, usize>, attempts: usize) -> Table {
    let mut table = new_table(&["cause", "attempts", "share"]);
    for (cause, count) in sort_by_count(causes) {
        let share = count as f64 / attempts.max(1) as f64;
        table.add_row([cause.to_owned(), count.to_string(), format!("{share:.4}")]);
    }
    table
}

fn time_table(steps: &BTreeMap<u64, BTreeMap<String, usize>>, step_ms: u64) -> Table {
    let mut table = new_table(&["from second", "attempts", "in time", "most of the rest"]);
    for (step, causes) in steps {
        let attempts: usize = causes.values().sum();
        let in_time = causes.get(IN_TIME).copied().unwrap_or(0);
        let rest = sort_by_count(causes).into_iter().filter(|(cause, _)| *cause != IN_TIME);
        let listed: Vec<String> =
            rest.take(MAX_LISTED_CAUSES).map(|(cause, count)| format!("{count} {cause}")).collect();
        let second = format!("{:.1}", (step * step_ms) as f64 / 1_000.0);
        table.add_row([second, attempts.to_string(), in_time.to_string(), listed.join("; ")]);
    }
    table
}
