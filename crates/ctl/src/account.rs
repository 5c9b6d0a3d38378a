//! Why requests were late, refused or failed, by the relays' own logs.
//!
//! Each attempt of a caller gets one cause, the first that applies in `cause_of`. The account adds them
//! up, over all and in steps of time, so that the worst cause of a bad hour is seen first; `explain` then
//! tells of single requests. A caller that comes back counts as another attempt, since its id is new.

use std::{
    collections::{BTreeMap, HashMap},
    path::PathBuf,
};

use comfy_table::{Table, presets};

use crate::logs::{LogLine, LogsError, millis, read_logs, sorted_lines};

/// Causes that a row of the table by time names.
const MOST_NAMED: usize = 4;

/// Objective where the dispatch does not tell one, in milliseconds.
const USUAL_OBJECTIVE: u64 = 500;

/// Longest pause between events where the dispatch does not tell one, in milliseconds.
const USUAL_GAP: u64 = 200;

/// Part of the objective, in hundredths, from which a wait for room is what made an answer late.
const LONG_WAIT_HUNDREDTHS: u64 = 40;

/// What the lines tell of one attempt.
#[derive(Clone, Debug, Default)]
struct AttemptFacts {
    began: u64,
    refused: Option<String>,
    broken: bool,
    status: Option<u64>,
    head_ms: Option<u64>,
    longest_pause: Option<u64>,
    waited_ms: Option<u64>,
    objective: Option<u64>,
    gap: Option<u64>,
    failed_attempts: u32,
    is_stream: bool,
    resumed: bool,
    repathed: bool,
}

impl AttemptFacts {
    fn note(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "dispatch" => {
                self.waited_ms = self.waited_ms.or(line.number("waited_ms"));
                self.objective = line.number("objective");
                self.gap = line.number("gap");
                self.is_stream |= line.text("path").is_some();
            }
            "attempt-failed" => self.failed_attempts += 1,
            "refused" => self.refused = line.text("reason").map(str::to_owned),
            "answered" => {
                self.status = line.number("status");
                self.head_ms = line.number("took_ms");
            }
            "stream-ended" => self.longest_pause = line.number("longest_pause_ms"),
            "stream-broken" => self.broken = true,
            "stream-resumed" => self.resumed = true,
            "repath" => self.repathed = true,
            _ => {}
        }
    }
}

/// Cause of an attempt's end.
fn cause_of(facts: &AttemptFacts) -> String {
    if let Some(reason) = &facts.refused {
        return format!("refused: {reason}");
    }
    if facts.broken {
        return "stream broken".to_owned();
    }
    let (Some(status), Some(head_ms)) = (facts.status, facts.head_ms) else {
        return "no answer: the caller left, or the relay ended".to_owned();
    };
    if status >= 400 {
        return format!("answered with status {status}");
    }
    if facts.is_stream && facts.longest_pause.is_none() {
        return "stream not ended: the caller left, or the relay ended".to_owned();
    }
    let objective = facts.objective.unwrap_or(USUAL_OBJECTIVE);
    let waited = facts.waited_ms.unwrap_or(0) * 100 >= objective * LONG_WAIT_HUNDREDTHS;
    if head_ms > objective {
        return match facts.failed_attempts {
            0 if waited => "late: waited for room",
            0 => "late: slow to begin",
            _ => "late: after a failed attempt",
        }
        .to_owned();
    }
    if facts.longest_pause.unwrap_or(0) > facts.gap.unwrap_or(USUAL_GAP) {
        return match (facts.resumed, facts.repathed) {
            (true, _) => "pause: taken up at another replica",
            (false, true) => "pause: moved to another path",
            (false, false) => "pause: slow engines",
        }
        .to_owned();
    }
    IN_TIME.to_owned()
}

/// Cause of attempts that need none.
const IN_TIME: &str = "in time";

/// Accounts for all requests in some log files, in steps of `every` milliseconds.
///
/// # Errors
///
/// Fails where a file cannot be read.
pub fn account_files(files: &[PathBuf], every: u64) -> Result<String, LogsError> {
    Ok(account(&read_logs(files)?, every))
}

/// Accounts for all requests in named logs, in steps of `every` milliseconds.
pub fn account(logs: &[(String, String)], every: u64) -> String {
    let lines = sorted_lines(logs);
    let facts = collect_facts(&lines);
    let mut total: BTreeMap<String, usize> = BTreeMap::new();
    let mut steps: BTreeMap<u64, BTreeMap<String, usize>> = BTreeMap::new();
    let first = facts.values().map(|facts| facts.began).min().unwrap_or(0);
    for facts in facts.values() {
        let cause = cause_of(facts);
        let step = (facts.began - first) / every.max(1);
        *total.entry(cause.clone()).or_default() += 1;
        *steps.entry(step).or_default().entry(cause).or_default() += 1;
    }
    format!("{}\n\n{}", cause_table(&total, facts.len()), time_table(&steps, every))
}

fn collect_facts(lines: &[LogLine]) -> HashMap<&str, AttemptFacts> {
    let mut all: HashMap<&str, AttemptFacts> = HashMap::new();
    for line in lines {
        let Some(id) = line.request() else { continue };
        let began = millis(&line.time);
        let facts = all.entry(id).or_insert_with(|| AttemptFacts { began, ..Default::default() });
        facts.note(line);
    }
    all
}

/// Causes, the most frequent first.
pub(crate) fn ranked(causes: &BTreeMap<String, usize>) -> Vec<(&str, usize)> {
    let mut rows: Vec<(&str, usize)> =
        causes.iter().map(|(cause, count)| (cause.as_str(), *count)).collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    rows
}

/// A table as all of these commands print it.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}

fn cause_table(causes: &BTreeMap<String, usize>, attempts: usize) -> Table {
    let mut table = new_table(&["cause", "attempts", "share"]);
    for (cause, count) in ranked(causes) {
        let share = count as f64 / attempts.max(1) as f64;
        table.add_row([cause.to_owned(), count.to_string(), format!("{share:.4}")]);
    }
    table
}

fn time_table(steps: &BTreeMap<u64, BTreeMap<String, usize>>, every: u64) -> Table {
    let mut table = new_table(&["from second", "attempts", "in time", "most of the rest"]);
    for (step, causes) in steps {
        let attempts: usize = causes.values().sum();
        let in_time = causes.get(IN_TIME).copied().unwrap_or(0);
        let rest = ranked(causes).into_iter().filter(|(cause, _)| *cause != IN_TIME);
        let named: Vec<String> =
            rest.take(MOST_NAMED).map(|(cause, count)| format!("{count} {cause}")).collect();
        let second = format!("{:.1}", (step * every) as f64 / 1_000.0);
        table.add_row([second, attempts.to_string(), in_time.to_string(), named.join("; ")]);
    }
    table
}
