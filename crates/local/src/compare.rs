//! Comparison of all path policies in the queueing model, with the same seeds for each policy.

use std::thread;

use switchfold_core::path::{POLICIES, PathPolicy};
use switchfold_load::{ModelResult, ModelSetup, run_model};

/// Simulated seconds of each run.
const SIMULATED_SECONDS: u64 = 4;

/// Conditions under which all policies are compared.
#[derive(Clone, Copy, Debug)]
struct ModelCase {
    entries: usize,
    lag_ms: u64,
    slow_replica: bool,
}

/// Compares all policies and returns a Markdown table with the median (and for the throughput the
/// minimum) over the seeds.
///
/// # Panics
///
/// Panics if a run of the model panics.
pub fn compare_policies(seeds: u64, replicas: usize) -> String {
    let mut text = String::from(
        "| entries | reports' age ms | slow replica | policy | share of bound, median (worst) at 1.3 x | first token p95 ms at 0.8 x | between tokens p95 ms at 0.8 x |\n|---|---|---|---|---|---|---|\n",
    );
    for slow_replica in [false, true] {
        for entries in [1, 3, 20] {
            for lag_ms in [0, 100, 1_000] {
                let case = ModelCase { entries, lag_ms, slow_replica };
                for policy in POLICIES {
                    text += &row(case, policy, seeds, replicas);
                }
            }
        }
    }
    text
}

fn row(case: ModelCase, policy: PathPolicy, seeds: u64, replicas: usize) -> String {
    let results = |offered_hundredths: u64| -> Vec<ModelResult> {
        let setup = move |seed| ModelSetup {
            policy,
            entries: case.entries,
            lag_ms: case.lag_ms,
            offered_hundredths,
            slow_replica: case.slow_replica,
            replicas,
            seconds: SIMULATED_SECONDS,
            seed,
        };
        let runs: Vec<_> =
            (1..=seeds).map(|seed| thread::spawn(move || run_model(setup(seed)))).collect();
        runs.into_iter().map(|run| run.join().expect("the model does not panic")).collect()
    };
    let (overload, normal_load) = (results(130), results(80));
    let shares = sorted(&overload, |result| result.share_of_bound);
    let first = sorted(&normal_load, |result| result.first_token_p95_ms);
    let between = sorted(&normal_load, |result| result.between_tokens_p95_ms);
    format!(
        "| {} | {} | {} | {policy:?} | {:.3} ({:.3}) | {:.1} | {:.1} |\n",
        case.entries,
        case.lag_ms,
        if case.slow_replica { "yes" } else { "no" },
        median(&shares),
        shares.first().copied().unwrap_or(0.0),
        median(&first),
        median(&between),
    )
}

fn sorted(results: &[ModelResult], field: impl Fn(&ModelResult) -> f64) -> Vec<f64> {
    let mut values: Vec<f64> = results.iter().map(field).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn median(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
