//! Tables of causes by class, organisation and data centre.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use comfy_table::Table;

use super::{
    CauseCounts,
    attempts::{AttemptSummary, IN_TIME},
    list_late, new_table,
};
use crate::logs::LogLine;

/// Number of organisations with a row of their own; the others are summed.
const MAX_LISTED_ORGANISATIONS: usize = 10;

/// Stands for what the lines of an attempt do not name, such as the rank of a request that was
/// refused before it was admitted.
const UNKNOWN: &str = "-";

/// An attempt and the cause of its outcome.
type CausedAttempt = (AttemptSummary, String);

/// Causes by route and rank; `None` if no line names a rank.
pub(super) fn class_table(attempts: &[CausedAttempt]) -> Option<Table> {
    attempts.iter().find(|(summary, _)| summary.rank.is_some())?;
    let class = |summary: &AttemptSummary| {
        let route = summary.route.clone().unwrap_or_else(|| UNKNOWN.to_owned());
        (summary.rank, route)
    };
    let mut table =
        new_table(&["rank", "route", "attempts", "in time", "share", "most of the rest"]);
    for ((rank, route), causes) in group_by(attempts, class) {
        let rank = rank.map_or(UNKNOWN.to_owned(), |rank| rank.to_string());
        table.add_row([vec![rank, route], count_cells(&causes)].concat());
    }
    Some(table)
}

/// Causes by organisation, the one with most attempts first; `None` if no line names one.
pub(super) fn organisation_table(attempts: &[CausedAttempt]) -> Option<Table> {
    attempts.iter().find(|(summary, _)| summary.organisation.is_some())?;
    let name = |summary: &AttemptSummary| {
        summary.organisation.clone().unwrap_or_else(|| UNKNOWN.to_owned())
    };
    let mut rows: Vec<(String, CauseCounts)> = group_by(attempts, name).into_iter().collect();
    rows.sort_by_key(|(_, causes)| Reverse(causes.values().sum::<usize>()));
    let rest = rows.split_off(rows.len().min(MAX_LISTED_ORGANISATIONS));
    if !rest.is_empty() {
        rows.push((format!("{} others", rest.len()), sum_causes(&rest)));
    }
    Some(named_table("organisation", rows))
}

/// Causes by data centre of the relay; `None` if the logs hold no line of a start.
pub(super) fn data_centre_table(attempts: &[CausedAttempt], lines: &[LogLine]) -> Option<Table> {
    let starts = lines.iter().filter(|line| line.event == "started");
    let data_centres: HashMap<&str, &str> =
        starts.filter_map(|line| Some((line.source.as_str(), line.text("data_centre")?))).collect();
    if data_centres.is_empty() {
        return None;
    }
    let name = |summary: &AttemptSummary| {
        data_centres.get(summary.source.as_str()).copied().unwrap_or(UNKNOWN).to_owned()
    };
    Some(named_table("data centre", group_by(attempts, name)))
}

fn group_by<K: Ord>(
    attempts: &[CausedAttempt],
    key: impl Fn(&AttemptSummary) -> K,
) -> BTreeMap<K, CauseCounts> {
    let mut groups: BTreeMap<K, CauseCounts> = BTreeMap::new();
    for (summary, cause) in attempts {
        *groups.entry(key(summary)).or_default().entry(cause.clone()).or_default() += 1;
    }
    groups
}

fn sum_causes(rows: &[(String, CauseCounts)]) -> CauseCounts {
    let mut sum = CauseCounts::new();
    for (cause, count) in rows.iter().flat_map(|(_, causes)| causes) {
        *sum.entry(cause.clone()).or_default() += count;
    }
    sum
}

fn named_table(column: &str, rows: impl IntoIterator<Item = (String, CauseCounts)>) -> Table {
    let mut table = new_table(&[column, "attempts", "in time", "share", "most of the rest"]);
    for (name, causes) in rows {
        table.add_row([vec![name], count_cells(&causes)].concat());
    }
    table
}

/// Cells of a row: attempts, those in time, their share, and the most frequent other causes.
fn count_cells(causes: &CauseCounts) -> Vec<String> {
    let attempts: usize = causes.values().sum();
    let in_time = causes.get(IN_TIME).copied().unwrap_or(0);
    let share = in_time as f64 / attempts.max(1) as f64;
    vec![attempts.to_string(), in_time.to_string(), format!("{share:.4}"), list_late(causes)]
}
