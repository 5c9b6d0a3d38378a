//! Tables of the moves of streams, and of the reserved memory of the paths that were chosen.

use std::collections::BTreeMap;

use comfy_table::Table;

use super::{CauseCounts, add_shares, new_table};
use crate::logs::LogLine;

/// Share of a replica's memory up to which relays plan paths. A request that was sent over a fuller
/// path did not fit.
const PLANNED_FILL: f64 = 0.95;

/// Percentiles in the table of the reserved memory.
const PERCENTILES: [usize; 3] = [50, 90, 99];

/// Moves of streams by outcome; `None` if there were none.
pub(super) fn move_table(lines: &[LogLine]) -> Option<Table> {
    let mut outcomes = CauseCounts::new();
    for outcome in lines.iter().filter_map(move_outcome) {
        *outcomes.entry(outcome).or_default() += 1;
    }
    if outcomes.is_empty() {
        return None;
    }
    let mut table = new_table(&["outcome of a move", "moves", "share"]);
    add_shares(&mut table, &outcomes);
    Some(table)
}

/// Outcome of the move that a line reports. The address in it is left out, since each replica would
/// have a row of its own.
fn move_outcome(line: &LogLine) -> Option<String> {
    match line.event.as_str() {
        "repath-impossible" => Some("no path".to_owned()),
        "repath" => {
            let end = line.text("end").unwrap_or("not told");
            Some(end.split_once(',').map_or(end.to_owned(), |(status, _)| format!("{status})")))
        }
        _ => None,
    }
}

/// Percentiles of the reserved share of memory at the fullest replica of each path, by where the
/// path starts; `None` if no line tells it.
pub(super) fn fill_table(lines: &[LogLine]) -> Option<Table> {
    let mut fills: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == "dispatch") {
        let Some(fill) = line.decimal("fill") else { continue };
        let start = match line.flag("starts_elsewhere") {
            Some(false) => "own data centre",
            Some(true) => "another data centre",
            None => "not told",
        };
        fills.entry(start).or_default().push(fill);
    }
    if fills.is_empty() {
        return None;
    }
    let header = [
        "paths start in",
        "dispatches",
        "fullest replica p50",
        "p90",
        "p99",
        "highest",
        "over 0.95",
    ];
    let mut table = new_table(&header);
    for (start, mut fills) in fills {
        fills.sort_by(f64::total_cmp);
        let over = fills.iter().filter(|fill| **fill > PLANNED_FILL).count();
        let mut row = vec![start.to_owned(), fills.len().to_string()];
        row.extend(PERCENTILES.map(|percent| format!("{:.3}", percentile(&fills, percent))));
        row.extend([format!("{:.3}", percentile(&fills, 100)), over.to_string()]);
        table.add_row(row);
    }
    Some(table)
}

/// Smallest of the sorted values that at least `percent` of 100 values do not exceed.
fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted[rank - 1]
}
