//! Calls of the platform's store, by cause and by time, by the relays' own logs.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
};

use crate::{
    account::{new_table, ranked},
    logs::{LogLine, LogsError, millis, read_logs, sorted_lines},
};

/// Causes that a row of the table by time names.
const MOST_NAMED: usize = 5;

/// Counts calls by what they were for.
type CallCounts = BTreeMap<String, usize>;

/// Counts the calls of the store in some log files, in steps of `every` milliseconds.
///
/// # Errors
///
/// Fails where a file cannot be read.
pub fn count_call_files(files: &[PathBuf], every: u64) -> Result<String, LogsError> {
    Ok(count_calls(&read_logs(files)?, every))
}

/// Counts the calls of the store in named logs, in steps of `every` milliseconds.
pub fn count_calls(logs: &[(String, String)], every: u64) -> String {
    let lines = sorted_lines(logs);
    let calls: Vec<&LogLine> = lines.iter().filter(|line| line.event == "store-call").collect();
    let relays: BTreeSet<&str> = calls.iter().map(|line| line.source.as_str()).collect();
    let first = calls.first().map_or(0, |line| millis(&line.time));
    let mut total = CallCounts::new();
    let mut steps: BTreeMap<u64, CallCounts> = BTreeMap::new();
    for call in &calls {
        let step = (millis(&call.time) - first) / every.max(1);
        *total.entry(describe(call, true)).or_default() += 1;
        *steps.entry(step).or_default().entry(describe(call, false)).or_default() += 1;
    }
    let mut by_cause = new_table(&["kind, verb, cause, end", "calls"]);
    for (what, count) in ranked(&total) {
        by_cause.add_row([what.to_owned(), count.to_string()]);
    }
    let mut by_time = new_table(&["from second", "calls", "most of them"]);
    for (step, counts) in &steps {
        let named = ranked(counts).into_iter().take(MOST_NAMED);
        let named: Vec<String> = named.map(|(what, count)| format!("{count} {what}")).collect();
        let second = format!("{:.1}", (step * every) as f64 / 1_000.0);
        let sum: usize = counts.values().sum();
        by_time.add_row([second, sum.to_string(), named.join("; ")]);
    }
    format!("{} calls of {} relays\n{by_cause}\n\n{by_time}", calls.len(), relays.len())
}

fn describe(call: &LogLine, with_end: bool) -> String {
    let names = ["kind", "verb", "cause", "end"];
    let names = &names[..if with_end { 4 } else { 3 }];
    let fields: Vec<&str> = names.iter().map(|name| call.text(name).unwrap_or("?")).collect();
    fields.join(" ")
}
