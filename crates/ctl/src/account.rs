//! Counts why requests were late, refused or failed, from the relays' logs.
//!
//! Each attempt of a caller gets one cause, the first that applies in `cause_of`. The counts, in
//! total, by time, by class, by organisation and by data centre, show the most frequent cause;
//! `explain` then shows single requests. A retry of the caller counts as another attempt, since it
//! has a new id. Two more tables show the moves of streams, and how full the paths were.

use std::{
    collections::{BTreeMap, HashMap},
    path::PathBuf,
};

use comfy_table::{Table, presets};

mod attempts;
mod breakdown;
mod paths;

use self::{
    attempts::{AttemptSummary, IN_TIME, cause_of},
    breakdown::{class_table, data_centre_table, organisation_table},
    paths::{fill_table, move_table},
};
use crate::logs::{LogLine, LogsError, read_logs, sorted_lines};

/// Number of causes listed in a row of a table.
const MAX_LISTED_CAUSES: usize = 4;

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
///
/// Tables of what the lines do not tell are left out: lines of earlier versions name no rank, and
/// the data centre of a process is only in the line of its start.
pub fn account(logs: &[(String, String)], step_ms: u64) -> String {
    let lines = sorted_lines(logs);
    let attempts: Vec<(AttemptSummary, String)> = summarize_attempts(&lines)
        .into_values()
        .map(|summary| {
            let cause = cause_of(&summary);
            (summary, cause)
        })
        .collect();
    let mut total = CauseCounts::new();
    let mut steps: BTreeMap<u64, CauseCounts> = BTreeMap::new();
    let first = attempts.iter().map(|(summary, _)| summary.began_at).min().unwrap_or(0);
    for (summary, cause) in &attempts {
        let step = (summary.began_at - first) / step_ms.max(1);
        *total.entry(cause.clone()).or_default() += 1;
        *steps.entry(step).or_default().entry(cause.clone()).or_default() += 1;
    }
    let mut tables = vec![cause_table(&total), time_table(&steps, step_ms)];
    tables.extend(class_table(&attempts));
    tables.extend(organisation_table(&attempts));
    tables.extend(data_centre_table(&attempts, &lines));
    tables.extend(move_table(&lines));
    tables.extend(fill_table(&lines));
    tables.iter().map(Table::to_string).collect::<Vec<_>>().join("\n\n")
}

fn summarize_attempts(lines: &[LogLine]) -> HashMap<&str, AttemptSummary> {
    let mut summaries: HashMap<&str, AttemptSummary> = HashMap::new();
    for line in lines {
        let Some(id) = line.request() else { continue };
        let summary = summaries.entry(id).or_insert_with(|| AttemptSummary::starting_with(line));
        summary.record(line);
    }
    summaries
}

/// Number of attempts by cause.
type CauseCounts = BTreeMap<String, usize>;

/// Sorts causes by descending count.
pub(crate) fn sort_by_count(causes: &CauseCounts) -> Vec<(&str, usize)> {
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

fn cause_table(causes: &CauseCounts) -> Table {
    let mut table = new_table(&["cause", "attempts", "share"]);
    add_shares(&mut table, causes);
    table
}

/// Adds a row with count and share for each name, the most frequent first.
fn add_shares(table: &mut Table, counts: &CauseCounts) {
    let total: usize = counts.values().sum();
    for (name, count) in sort_by_count(counts) {
        let share = count as f64 / total.max(1) as f64;
        table.add_row([name.to_owned(), count.to_string(), format!("{share:.4}")]);
    }
}

fn time_table(steps: &BTreeMap<u64, CauseCounts>, step_ms: u64) -> Table {
    let mut table = new_table(&["from second", "attempts", "in time", "most of the rest"]);
    for (step, causes) in steps {
        let attempts: usize = causes.values().sum();
        let in_time = causes.get(IN_TIME).copied().unwrap_or(0);
        let second = format!("{:.1}", (step * step_ms) as f64 / 1_000.0);
        table.add_row([second, attempts.to_string(), in_time.to_string(), list_late(causes)]);
    }
    table
}

/// Lists the most frequent causes of attempts that were not served in time.
fn list_late(causes: &CauseCounts) -> String {
    let rest = sort_by_count(causes).into_iter().filter(|(cause, _)| *cause != IN_TIME);
    let listed: Vec<String> =
        rest.take(MAX_LISTED_CAUSES).map(|(cause, count)| format!("{count} {cause}")).collect();
    listed.join("; ")
}
