//! Outlier detection: temporary ejection of replicas that are slow or failing.
//!
//! A replica is ejected if its steps take much longer than those of the other replicas of the same
//! layers, or after several failures in a row. Each further ejection lasts longer. At most a fixed
//! share of a group is ejected at a time: if all replicas are slow or failing, none of them is an
//! outlier, and the group must stay in service.

use crate::Millis;

/// Thresholds and limits of ejection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    /// A replica is ejected if its mean step duration is above this percentage of the group's
    /// median.
    pub slow_percent: u64,
    /// A replica is ejected after this many failures in a row.
    pub consecutive_failures: u32,
    /// Duration of the first ejection. It doubles with each further ejection, up to 8 times as
    /// long.
    pub first_ejection_ms: Millis,
    /// Maximum percentage of a group's replicas that may be ejected at the same time.
    pub max_ejected_percent: usize,
}

impl Default for EjectionConfig {
    fn default() -> Self {
        Self {
            slow_percent: 300,
            consecutive_failures: 3,
            first_ejection_ms: 2_000,
            max_ejected_percent: 50,
        }
    }
}

/// Observations of one replica at an entry.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    mean_step_micros: u64,
    samples: u64,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
}

/// Weight of the newest sample in the moving average of step durations, in sixteenths.
const NEWEST_WEIGHT_SIXTEENTHS: u64 = 4;

/// Minimum number of samples for a replica's speed to be compared.
const MIN_SAMPLES: u64 = 8;

/// Maximum number of times that the duration of an ejection doubles.
const MAX_DOUBLINGS: u32 = 3;

impl ReplicaHealth {
    /// Records the duration of a step, in microseconds per unit of expected duration.
    pub fn record_step(&mut self, micros: u64) {
        let old = self.mean_step_micros * (16 - NEWEST_WEIGHT_SIXTEENTHS);
        self.mean_step_micros = match self.samples {
            0 => micros,
            _ => (old + micros * NEWEST_WEIGHT_SIXTEENTHS) / 16,
        };
        self.samples += 1;
    }

    /// Records a failure caused by the replica.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a completed request. Resets the count of failures and, if the replica is not ejected
    /// now, shortens its next ejection by one doubling.
    pub fn record_success(&mut self, now: Millis) {
        self.failures = 0;
        if now >= self.ejected_until {
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    /// Returns whether the replica is ejected and should get no requests.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    fn eject(&mut self, config: &EjectionConfig, now: Millis) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = now + (config.first_ejection_ms << doublings);
        self.ejections += 1;
        self.samples = 0;
        self.failures = 0;
    }
}

/// Ejects the outliers among the replicas of one group. Returns the positions of those newly
/// ejected.
pub fn eject_outliers(
    group: &mut [&mut ReplicaHealth],
    config: &EjectionConfig,
    now: Millis,
) -> Vec<usize> {
    let median = median_step_micros(group);
    let max_ejected = group.len() * config.max_ejected_percent / 100;
    let mut ejected_count = group.iter().filter(|health| health.is_ejected(now)).count();
    let mut newly_ejected = Vec::new();
    for (position, health) in group.iter_mut().enumerate() {
        let slow = health.samples >= MIN_SAMPLES
            && median
                .is_some_and(|median| health.mean_step_micros * 100 > median * config.slow_percent);
        let failing = health.failures >= config.consecutive_failures;
        if health.is_ejected(now) || ejected_count >= max_ejected || !(slow || failing) {
            continue;
        }
        health.eject(config, now);
        ejected_count += 1;
        newly_ejected.push(position);
    }
    newly_ejected
}

fn median_step_micros(group: &[&mut ReplicaHealth]) -> Option<u64> {
    let sampled = group.iter().filter(|health| health.samples >= MIN_SAMPLES);
    let mut steps: Vec<u64> = sampled.map(|health| health.mean_step_micros).collect();
    steps.sort_unstable();
    steps.get(steps.len().checked_sub(1)? / 2).copied()
}
