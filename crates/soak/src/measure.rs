//! Measures what the silence of sound replicas costs callers: how many are served, and in time.

use std::{fmt, io, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    cluster::{ClusterConfig, SoakCluster},
    ends::is_in_time,
    patient::run_patient_caller,
    plan::ClusterSize,
    record::{CallKind, CallOutcome, CallRecord},
    run::silence_replica,
};

/// Time from the start of the callers in which nothing is measured.
const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// Time from the end of a silence to the beginning of the next one.
const SILENCE_INTERVAL: Duration = Duration::from_secs(2);

/// Kinds of the measured calls.
const KINDS: [CallKind; 4] = CallKind::ALL;

/// The replicas that are silent at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilentReplicas {
    /// None, as a control.
    None,
    /// One.
    One,
    /// Those of one service in one data centre.
    Group,
    /// A tenth of all.
    Tenth,
}

/// A measured scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    replicas: SilentReplicas,
    silence: Duration,
}

impl Scenario {
    /// All scenarios, without silence first.
    pub const ALL: [Self; 7] = [
        Self::new(SilentReplicas::None, 0),
        Self::new(SilentReplicas::One, 1_000),
        Self::new(SilentReplicas::One, 1_800),
        Self::new(SilentReplicas::Group, 1_000),
        Self::new(SilentReplicas::Group, 1_800),
        Self::new(SilentReplicas::Tenth, 1_000),
        Self::new(SilentReplicas::Tenth, 1_800),
    ];

    const fn new(replicas: SilentReplicas, silence_ms: u64) -> Self {
        Self { replicas, silence: Duration::from_millis(silence_ms) }
    }

    /// Draws the replicas that are silent next.
    fn draw(&self, random: &mut ChaCha8Rng, size: &ClusterSize) -> Vec<usize> {
        let first = random.random_range(0..size.replicas());
        let tenth = size.replicas().div_ceil(10);
        match self.replicas {
            SilentReplicas::None => Vec::new(),
            SilentReplicas::One => vec![first],
            SilentReplicas::Group => {
                let service = match first < size.engines {
                    true => 0..size.engines,
                    false => size.engines..size.replicas(),
                };
                service.filter(|number| number % 2 == first % 2).collect()
            }
            SilentReplicas::Tenth => {
                (first..first + tenth).map(|number| number % size.replicas()).collect()
            }
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let replicas = format!("{:?}", self.replicas).to_lowercase();
        write!(formatter, "{replicas}-{}", self.silence.as_millis())
    }
}

/// Header of the table of [`ScenarioResult`]s.
pub const SCENARIO_HEADER: &str =
    "silent        seed   streams  served  in time  left   plain  served  in time  unserved";

/// Counts of the calls of one kind of service.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCalls {
    calls: usize,
    served: usize,
    in_time: usize,
    left: usize,
}

impl ServedCalls {
    fn count<'a>(calls: impl Iterator<Item = &'a CallRecord>) -> Self {
        calls.fold(Self::default(), |counts, call| Self {
            calls: counts.calls + 1,
            served: counts.served + usize::from(call.is_served()),
            in_time: counts.in_time + usize::from(is_in_time(call)),
            left: counts.left + usize::from(call.outcome == CallOutcome::Left),
        })
    }
}

/// What was measured in a scenario. `Display` writes a line of the table.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    scenario: Scenario,
    seed: u64,
    streams: ServedCalls,
    plain: ServedCalls,
}

impl fmt::Display for ScenarioResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { scenario, seed, streams, plain } = self;
        let percent = |part: usize, whole: usize| part as f64 * 100.0 / whole.max(1) as f64;
        write!(
            formatter,
            "{:<11} {seed:>6} {:>9} {:>6.1}% {:>7.1}% {:>5} {:>7} {:>6.1}% {:>7.1}% {:>9}",
            scenario.to_string(),
            streams.calls,
            percent(streams.served, streams.calls),
            percent(streams.in_time, streams.calls),
            streams.left,
            plain.calls,
            percent(plain.served, plain.calls),
            percent(plain.in_time, plain.calls),
            streams.calls + plain.calls - streams.served - plain.served,
        )
    }
}

/// Runs one scenario for `length`, and counts the calls that were sent meanwhile.
///
/// # Errors
///
/// Fails if the cluster does not start or a caller panics.
pub async fn measure_silence(
    seed: u64,
    scenario: Scenario,
    length: Duration,
    config: ClusterConfig,
) -> io::Result<ScenarioResult> {
    let size = config.size;
    let cluster = SoakCluster::start(config).await?;
    cluster.keep_entries(true);
    let callers: Vec<_> = (0..size.callers as u64)
        .map(|number| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number);
            let name = format!("s{seed}m{number}");
            tokio::spawn(run_patient_caller(name, &KINDS, false, cluster.clone(), random))
        })
        .collect();
    sleep(WARM_UP_TIME).await;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let measured_from = switchfold_kernel::clock::epoch_micros();
    let end = Instant::now() + length;
    while Instant::now() + scenario.silence < end {
        silence_all(&cluster, scenario.draw(&mut random, &size), scenario.silence).await?;
        sleep(SILENCE_INTERVAL).await;
    }
    sleep_until(end).await;
    cluster.stop_callers();
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.map_err(io::Error::other)?);
    }
    cluster.shut_down().await;
    let measured = || {
        calls.iter().filter(|call| call.sent_at >= measured_from && cluster.is_valid_key(&call.key))
    };
    Ok(ScenarioResult {
        scenario,
        seed,
        streams: ServedCalls::count(measured().filter(|call| call.kind.is_stream())),
        plain: ServedCalls::count(measured().filter(|call| !call.kind.is_stream())),
    })
}

async fn silence_all(
    cluster: &Arc<SoakCluster>,
    replicas: Vec<usize>,
    silence: Duration,
) -> io::Result<()> {
    let silent: Vec<_> = replicas
        .into_iter()
        .map(|number| {
            let cluster = cluster.clone();
            tokio::spawn(async move { silence_replica(&cluster, number, silence).await })
        })
        .collect();
    for task in silent {
        task.await.map_err(io::Error::other)?;
    }
    Ok(())
}
