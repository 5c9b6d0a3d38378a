//! Tests of the arrival schedule, the queueing model and the report.

use switchfold_core::path::PathPolicy;
use switchfold_load::{
    CallRecord, CheckedOutcome, ClassLoad, FaultKind, InjectedFault, ModelSetup, PlannedFault,
    ReportInput, RunRecord, WorkKind, Workload, build_report, plot_svg, run_model, schedule,
};

fn workload() -> Workload {
    Workload {
        event: "dawn".to_owned(),
        model: "lots".to_owned(),
        seed: 5,
        duration_ms: 4_000,
        surge_ms: 2_000,
        surge_per_s: 200.0,
        steady_per_s: 50.0,
        organisations: 4,
        classes: vec![ClassLoad {
            class: "lot".to_owned(),
            share: 1.0,
            work: WorkKind::Completion {
                min_prompt: 4,
                max_prompt: 8,
                min_output: 2,
                max_output: 5,
            },
            once: true,
            keyed: true,
        }],
    }
}

#[test]
fn schedules_depend_only_on_the_seed() {
    let (first, second) = (schedule(&workload()), schedule(&workload()));
    assert_eq!(first.len(), second.len());
    assert!(
        first
            .iter()
            .zip(&second)
            .all(|(left, right)| left.prompt == right.prompt && left.at_micros == right.at_micros)
    );
    assert!(first.windows(2).all(|pair| pair[0].at_micros <= pair[1].at_micros));
    let surge = first.iter().filter(|arrival| arrival.at_micros < 2_000_000).count();
    assert!((340..=480).contains(&surge), "{surge} in the surge");
    let resends = first.iter().filter(|arrival| arrival.resend_of.is_some()).count();
    assert!(resends > 10, "{resends} resends");
    let other = schedule(&Workload { seed: 6, ..workload() });
    assert_ne!(first[0].at_micros, other[0].at_micros);
}

#[test]
fn model_throughput_stays_below_the_bound_and_is_deterministic() {
    let setup = ModelSetup {
        policy: PathPolicy::FlowCorrected,
        entries: 3,
        lag_ms: 100,
        offered_hundredths: 130,
        slow_replica: false,
        replicas: 8,
        seconds: 3,
        seed: 1,
    };
    let result = run_model(setup);
    assert!(result.share_of_bound > 0.8 && result.share_of_bound <= 1.0, "{result:?}");
    assert_eq!(run_model(setup).share_of_bound.to_bits(), result.share_of_bound.to_bits());
    let light = run_model(ModelSetup { offered_hundredths: 40, ..setup });
    assert!((light.share_of_bound - 0.4).abs() < 0.05, "{light:?}");
    assert!(light.between_tokens_p95_ms < result.between_tokens_p95_ms);
}

fn call(number: usize, outcome: CheckedOutcome, tokens_at: Vec<u64>, ended: u64) -> CallRecord {
    CallRecord {
        number,
        class: 0,
        organisation: 0,
        scheduled: 100_000,
        sent: 100_000,
        tokens_at,
        ended,
        outcome,
        reason: String::new(),
        wrong: false,
        max_tokens: 4,
        resend_of: None,
    }
}

/// Requests with unknown outcome count as cut only if no fault other than planned changes occurred
/// while they were in flight.
#[test]
fn reports_count_requests_cut_by_planned_changes_and_measure_recovery() {
    let injected = |at: u64, fault: FaultKind| InjectedFault {
        planned: PlannedFault { at_ms: at / 1_000, fault },
        at_micros: at,
    };
    let stop = injected(500_000, FaultKind::Stop { vm: "a".to_owned() });
    let kill = injected(600_000, FaultKind::Kill { vm: "b".to_owned() });
    let record = RunRecord {
        calls: vec![
            call(0, CheckedOutcome::Unknown, vec![200_000], 550_000),
            call(1, CheckedOutcome::Unknown, vec![200_000], 900_000),
            call(2, CheckedOutcome::Done, vec![300_000, 310_000, 320_000, 800_000], 800_000),
        ],
        started_millis: 0,
    };
    let input = ReportInput {
        bound_tokens_per_s: 10.0,
        faults: vec![stop, kill],
        ..ReportInput::default()
    };
    let report = build_report(&workload(), &record, &input);
    assert_eq!(
        report.violations.cut_in_flight, 1,
        "the second request was in flight during a kill as well"
    );
    assert_eq!((report.outcomes.done, report.outcomes.unknown), (1, 2));
    assert!((report.recovery_ms[1].ms - 300.0).abs() < 1.0, "{:?}", report.recovery_ms);
    let plot = plot_svg(&record, 10.0, &input.faults).expect("a plot");
    assert!(plot.starts_with("<svg") && plot.contains("seconds"));
}
