//! Load driver, which sends each request at its scheduled time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use switchfold_kernel::{clock::now_millis, http::HttpClient};
use switchfold_standin::model::oracle;
use tokio::{task::JoinSet, time::sleep_until};

use crate::{Arrival, CallerTarget, RunRecord, Workload, caller::call};

/// Configuration of a load run.
#[derive(Clone, Debug)]
pub struct DriveConfig {
    /// Number of layers of the model, for the oracle.
    pub layers: u32,
    /// Addresses and credentials for sending requests.
    pub target: CallerTarget,
    /// Whether to print progress to standard error every second.
    pub progress: bool,
}

/// Longest time that a caller waits for the status and headers of a response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest response body that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Sends all requests of a schedule at their times and waits until all have ended.
pub async fn drive(config: DriveConfig, workload: Workload, arrivals: Vec<Arrival>) -> RunRecord {
    let expected_tokens = compute_expected_tokens(&config, &workload, &arrivals).await;
    let http = HttpClient::new(RESPONSE_HEAD_TIMEOUT, MAX_RESPONSE_BYTES);
    let config = Arc::new(config);
    let workload = Arc::new(workload);
    let start = Instant::now();
    let mut record = RunRecord { calls: Vec::new(), started_millis: now_millis() };
    let mut calls = JoinSet::new();
    let mut last_progress_s = 0;
    let total = arrivals.len();
    for (position, (arrival, expected)) in arrivals.into_iter().zip(expected_tokens).enumerate() {
        sleep_until((start + Duration::from_micros(arrival.at_micros)).into()).await;
        let (drive, workload, http) = (Arc::clone(&config), Arc::clone(&workload), http.clone());
        calls.spawn(async move {
            let entries = &drive.target.entries;
            let entry = entries[arrival.number % entries.len()].clone();
            call(&http, &drive.target, &workload, &arrival, &entry, start, &expected).await
        });
        while let Some(ended) = calls.try_join_next() {
            record.calls.extend(ended.ok());
        }
        let seconds = start.elapsed().as_secs();
        if config.progress && seconds > last_progress_s {
            last_progress_s = seconds;
            eprintln!(
                "{seconds:>4} s: sent {} of {total}, in flight {}",
                position + 1,
                calls.len()
            );
        }
    }
    while let Some(ended) = calls.join_next().await {
        record.calls.extend(ended.ok());
    }
    record
}

/// Computes the expected tokens of all requests before the run, so that checking does not slow it
/// down.
async fn compute_expected_tokens(
    config: &DriveConfig,
    workload: &Workload,
    arrivals: &[Arrival],
) -> Vec<Vec<u32>> {
    let (layers, model) = (config.layers, workload.model.clone());
    let requests: Vec<(Vec<u32>, u32)> =
        arrivals.iter().map(|arrival| (arrival.prompt.clone(), arrival.max_tokens)).collect();
    let computed = tokio::task::spawn_blocking(move || {
        requests.iter().map(|(prompt, tokens)| oracle(&model, layers, prompt, *tokens)).collect()
    });
    computed.await.unwrap_or_default()
}
