//! The report of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{CallRecord, CheckedOutcome, PlannedFault, RunRecord, Workload};

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Number of requests for each outcome from the callers' view.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Requests that ran to completion.
    pub done: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests whose connection to the entry could not be established.
    pub unreached: u64,
    /// Requests whose idempotency key was already claimed.
    pub duplicate: u64,
}

/// Number of violations of each guarantee; all must be 0.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Steps that did not continue the request's cache at the engine.
    pub layer_order: u64,
    /// Responses that differ from the expected one.
    pub wrong_answer: u64,
    /// Requests that must run at most once and ran more often.
    pub double_run: u64,
    /// Requests reported as not run that ran.
    pub false_not_run: u64,
    /// Requests with unknown outcome that were in flight during planned changes and no other fault.
    pub cut_in_flight: u64,
    /// Requests that VMs accepted more than 3 s after they were marked as leaving or stopped.
    pub work_to_leaving: u64,
    /// Times that an entry went back to an older version of a configuration object.
    pub config_reverted: u64,
}

impl Violations {
    /// Returns the sum of all counts.
    pub fn total(&self) -> u64 {
        self.layer_order
            + self.wrong_answer
            + self.double_run
            + self.false_not_run
            + self.cut_in_flight
            + self.work_to_leaving
            + self.config_reverted
    }
}

/// Recovery from one fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultRecovery {
    /// Label of the fault.
    pub fault: String,
    /// Milliseconds until every stream that was in flight had received a token or ended.
    pub ms: f64,
    /// Number of streams in flight when the fault was injected.
    pub in_flight: usize,
    /// Number of these streams that waited for more than three times the median time between
    /// tokens.
    pub held_up: usize,
}

/// Number of calls of the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct StoreUse {
    /// Reads other than watches.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls that the store rejected by its rate limit.
    pub limited: u64,
}

/// Resource use of a process during the run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct ControlUse {
    /// Bytes per second on the network.
    pub bytes_per_s: f64,
    /// Processor use; 1.0 is one core.
    pub core_share: f64,
    /// Resident memory in megabytes.
    pub rss_mb: f64,
}

/// The report of a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Number of requests.
    pub offered: u64,
    /// Number of requests that ran to completion.
    pub delivered: u64,
    /// Number of requests sent more than 10 ms after their scheduled time.
    pub late_sends: u64,
    /// Tokens per second during the surge, without its first second.
    pub tokens_per_s: f64,
    /// Upper bound of the throughput of the engines for this workload.
    pub bound_tokens_per_s: f64,
    /// Ratio of `tokens_per_s` and `bound_tokens_per_s`.
    pub share_of_bound: f64,
    /// Time from the scheduled send time to the first token.
    pub first_token_ms: Percentiles,
    /// Time between two tokens of a request.
    pub between_tokens_ms: Percentiles,
    /// Number of requests for each outcome.
    pub outcomes: OutcomeCounts,
    /// Number of requests for each combination of outcome and reason, as `outcome: reason`.
    pub reasons: BTreeMap<String, u64>,
    /// Violations of the system's guarantees.
    pub violations: Violations,
    /// Recovery from each injected fault.
    pub recovery_ms: Vec<FaultRecovery>,
    /// Number of calls of the store.
    pub store_calls: StoreUse,
    /// Resource use by process.
    pub control: BTreeMap<String, ControlUse>,
    /// Ratio of superfluous to necessary positions run by engines; 0.1 means 10 % more than
    /// necessary.
    pub repeated_work: f64,
}

/// Input for a report in addition to the record of the run.
#[derive(Clone, Debug, Default)]
pub struct ReportInput {
    /// Upper bound of the throughput of the engines for this workload, in tokens per second.
    pub bound_tokens_per_s: f64,
    /// Violations found by checks of the deployment, such as the run logs of the stand-ins.
    pub standin_violations: Violations,
    /// Number of calls of the store.
    pub store_calls: StoreUse,
    /// Resource use by process.
    pub control: BTreeMap<String, ControlUse>,
    /// Ratio of superfluous to necessary positions run by engines.
    pub repeated_work: f64,
    /// Faults that were injected.
    pub faults: Vec<InjectedFault>,
}

/// A fault that was injected, with its time.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Fault as it was planned.
    pub planned: PlannedFault,
    /// Time of the injection, in microseconds after the start of the run.
    pub at_micros: u64,
}

/// Delay from which a send counts as late, in microseconds.
const LATE_SEND_MICROS: u64 = 10_000;

/// Time at the start of the surge that is left out of the throughput, because the pipelines still
/// fill up.
const RAMP_MICROS: u64 = 1_000_000;

/// Largest value that the histograms can hold, in microseconds; larger ones are recorded as this
/// value.
const MAX_MICROS: u64 = 600_000_000;

/// Builds the report of a run from its record and the data of the deployment.
pub fn build_report(workload: &Workload, record: &RunRecord, input: &ReportInput) -> LoadReport {
    let calls = &record.calls;
    let mut report = LoadReport {
        offered: calls.len() as u64,
        late_sends: calls
            .iter()
            .filter(|call| call.sent > call.scheduled + LATE_SEND_MICROS)
            .count() as u64,
        bound_tokens_per_s: input.bound_tokens_per_s,
        violations: input.standin_violations,
        store_calls: input.store_calls,
        control: input.control.clone(),
        repeated_work: input.repeated_work,
        ..LoadReport::default()
    };
    for call in calls {
        count_outcome(&mut report, call);
    }
    report.delivered = report.outcomes.done;
    report.violations.wrong_answer += calls.iter().filter(|call| call.wrong).count() as u64;
    report.violations.cut_in_flight += count_cut_by_planned_changes(calls, &input.faults);
    report.tokens_per_s = surge_tokens_per_s(workload, calls);
    if report.bound_tokens_per_s > 0.0 {
        report.share_of_bound = report.tokens_per_s / report.bound_tokens_per_s;
    }
    let first_token_times =
        calls.iter().filter_map(|call| Some(call.tokens_at.first()? - call.scheduled));
    report.first_token_ms = percentiles(first_token_times);
    let gaps =
        calls.iter().flat_map(|call| call.tokens_at.windows(2).map(|pair| pair[1] - pair[0]));
    report.between_tokens_ms = percentiles(gaps);
    let median = (report.between_tokens_ms.p50 * 1e3) as u64;
    report.recovery_ms =
        input.faults.iter().map(|fault| measure_recovery(fault, calls, median)).collect();
    report
}

fn count_outcome(report: &mut LoadReport, call: &CallRecord) {
    let outcomes = &mut report.outcomes;
    let (count, name) = match call.outcome {
        CheckedOutcome::Done => (&mut outcomes.done, "done"),
        CheckedOutcome::NotRun => (&mut outcomes.not_run, "not-run"),
        CheckedOutcome::Unknown => (&mut outcomes.unknown, "unknown"),
        CheckedOutcome::Unreached => (&mut outcomes.unreached, "unreached"),
        CheckedOutcome::Duplicate => (&mut outcomes.duplicate, "duplicate"),
    };
    *count += 1;
    if !call.reason.is_empty() {
        *report.reasons.entry(format!("{name}: {}", call.reason)).or_default() += 1;
    }
}

/// Counts the requests with unknown outcome that were in flight during planned changes only.
fn count_cut_by_planned_changes(calls: &[CallRecord], faults: &[InjectedFault]) -> u64 {
    let is_affected = |call: &CallRecord, fault: &InjectedFault| {
        call.sent <= fault.at_micros && call.ended > fault.at_micros
    };
    let cut = calls.iter().filter(|call| {
        let mut affecting = faults.iter().filter(|fault| is_affected(call, fault)).peekable();
        call.outcome == CheckedOutcome::Unknown
            && affecting.peek().is_some()
            && affecting.all(|fault| fault.planned.fault.is_planned())
    });
    cut.count() as u64
}

/// Returns the tokens per second during the surge, without its first second.
fn surge_tokens_per_s(workload: &Workload, calls: &[CallRecord]) -> f64 {
    let end = workload.surge_ms * 1_000;
    let start = RAMP_MICROS.min(end / 2);
    if end == 0 {
        return 0.0;
    }
    let tokens = calls.iter().flat_map(|call| &call.tokens_at);
    let counted = tokens.filter(|at| (start..end).contains(*at)).count();
    counted as f64 * 1e6 / (end - start) as f64
}

fn percentiles(micros: impl Iterator<Item = u64>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3) else {
        return Percentiles::default();
    };
    for value in micros {
        histogram.saturating_record(value.max(1));
    }
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Percentiles { p50: quantile_ms(0.5), p95: quantile_ms(0.95), p99: quantile_ms(0.99) }
}

/// Measures the time until every stream that was in flight at the fault had received a token or
/// ended.
fn measure_recovery(fault: &InjectedFault, calls: &[CallRecord], median: u64) -> FaultRecovery {
    let at = fault.at_micros;
    let streams = calls.iter().filter(|call| {
        call.in_flight_at(at) && call.tokens_at.first().is_some_and(|first| *first <= at)
    });
    let waits: Vec<u64> = streams
        .map(|call| {
            let next = call.tokens_at.iter().find(|token| **token > at).copied();
            next.unwrap_or(call.ended).saturating_sub(at)
        })
        .collect();
    let longest = waits.iter().copied().max().unwrap_or(0);
    let held_up = waits.iter().filter(|wait| **wait > 3 * median).count();
    FaultRecovery {
        fault: fault.planned.fault.label(),
        ms: longest as f64 / 1e3,
        in_flight: waits.len(),
        held_up,
    }
}
