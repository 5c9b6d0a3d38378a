//! Counts calls of the platform's store by cause and by time, from the relays' logs.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
};

use crate::{
    account::{new_table, sort_by_count},
    logs::{LogLine, LogsError, millis_of_day, read_logs, sorted_lines},
};

/// Number of causes listed in a row of the table by time.
const MAX_LISTED_CAUSES: usize = 5;

/// Number of calls by description.
type CallCounts = BTreeMap<String, usize>;

/// Counts the calls of the store in log files, in total and in steps of `step_ms` milliseconds.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn count_call_files(files: &[PathBuf], step_ms: u64) -> Result<String, LogsError> {
    Ok(count_calls(&read_logs(files)?, step_ms))
}

/// Counts the calls of the store in logs, given as pairs of name and text.
pub fn count_calls(logs: &[(String, String)], step_ms: u64) -> String {
    let lines = sorted_lines(logs);
    let calls: Vec<&LogLine> = lines.iter().filter(|line| line.event == "store-call").collect();
    let relays: BTreeSet<&str> = calls.iter().map(|line| line.source.as_str()).collect();
    let first = calls.first().map_or(0, |line| millis_of_day(&line.time));
    let mut total = CallCounts::new();
    let mut steps: BTreeMap<u64, CallCounts> = BTreeMap::new();
    for call in &calls {
        let step = (millis_of_day(&call.time) - first) / step_ms.max(1);
        *total.entry(describe(call, true)).or_default() += 1;
        *steps.entry(step).or_default().entry(describe(call, false)).or_default() += 1;
    }
    let mut by_cause = new_table(&["kind, verb, cause, end", "calls"]);
    for (description, count) in sort_by_count(&total) {
        by_cause.add_row([description.to_owned(), count.to_string()]);
    }
    let mut by_time = new_table(&["from second", "calls", "most of them"]);
    for (step, counts) in &steps {
        let listed = sort_by_count(counts).into_iter().take(MAX_LISTED_CAUSES);
        let listed: Vec<String> =
            listed.map(|(description, count)| format!("{count} {description}")).collect();
        let second = format!("{:.1}", (step * step_ms) as f64 / 1_000.0);
        let sum: usize = counts.values().sum();
        by_time.add_row([second, sum.to_string(), listed.join("; ")]);
    }
    format!("{} calls of {} relays\n{by_cause}\n\n{by_time}", calls.len(), relays.len())
}

fn describe(call: &LogLine, with_end: bool) -> String {
    let names = ["kind", "verb", "cause", "end"];
    let names = &names[..if with_end { 4 } else { 3 }];
    let fields: Vec<&str> = names.iter().map(|name| call.text(name).unwrap_or("?")).collect();
    fields.join(" ")
}
