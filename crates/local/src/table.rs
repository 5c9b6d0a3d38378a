//! Text table that is printed at the end of a run.

use comfy_table::Table;
use switchfold_load::LoadReport;

/// Renders a report as a table, followed by the counts of the reasons that callers were given.
pub fn render_report(report: &LoadReport) -> String {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header(["measure", "value"]);
    let outcomes = &report.outcomes;
    let violations = &report.violations;
    let rows = [
        ("offered, delivered", format!("{}, {}", report.offered, report.delivered)),
        (
            "done, not-run, unknown, repeated key",
            format!(
                "{}, {}, {}, {}",
                outcomes.done, outcomes.not_run, outcomes.unknown, outcomes.duplicate
            ),
        ),
        (
            "tokens/s in the surge, bound",
            format!("{:.0}, {:.0}", report.tokens_per_s, report.bound_tokens_per_s),
        ),
        ("share of bound", format!("{:.3}", report.share_of_bound)),
        ("first token ms p50, p95, p99", percentiles(&report.first_token_ms)),
        ("between tokens ms p50, p95, p99", percentiles(&report.between_tokens_ms)),
        ("work repeated", format!("{:.4}", report.repeated_work)),
        (
            "store reads, writes, watches",
            format!(
                "{}, {}, {}",
                report.store_calls.reads, report.store_calls.writes, report.store_calls.watches
            ),
        ),
        ("late sends", report.late_sends.to_string()),
    ];
    for (measure, value) in rows {
        table.add_row([measure, &value]);
    }
    for recovery in &report.recovery_ms {
        let measure = format!("recovery: {}", recovery.fault);
        let held = format!(
            "{:.0} ms ({} of {} streams held up)",
            recovery.ms, recovery.held_up, recovery.in_flight
        );
        table.add_row([measure, held]);
    }
    let violation_counts = [
        ("violations: layer order", violations.layer_order),
        ("violations: wrong answer", violations.wrong_answer),
        ("violations: double run", violations.double_run),
        ("violations: false not-run", violations.false_not_run),
        ("violations: cut in flight", violations.cut_in_flight),
        ("violations: work to leaving", violations.work_to_leaving),
        ("violations: config reverted", violations.config_reverted),
    ];
    for (measure, count) in violation_counts {
        table.add_row([measure, &count.to_string()]);
    }
    let mut text = table.to_string();
    for (reason, count) in &report.reasons {
        text += &format!("\n  {count:>6}  {reason}");
    }
    text
}

fn percentiles(values: &switchfold_load::Percentiles) -> String {
    format!("{:.1}, {:.1}, {:.1}", values.p50, values.p95, values.p99)
}
