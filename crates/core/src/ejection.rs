//! Keeping away from replicas that are slow, silent or failing.
//!
//! A replica is judged against the others that hold the same layers, by the time its steps take and
//! by how many of its requests failed. One that stands out is ejected, for longer each time, and then
//! probed with a little work. Never is more than a set share of a group's capacity ejected: where
//! everything is slow, nothing is an outlier.

use crate::Millis;

/// Bounds of ejection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    /// Ejected where the step time is above this many hundredths of the group's median.
    pub slow_percent: u64,
    /// Ejected after this many failures in a row.
    pub consecutive_failures: u32,
    /// First time out; doubles at each return to it, up to 8 times as long.
    pub first_ejection_ms: Millis,
    /// Most of a group's replicas that may be out, in hundredths.
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

/// What an entry observed of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    step_micros: u64,
    samples: u64,
    failures: u32,
    times_out: u32,
    out_until: Millis,
}

/// Weight of the newest sample, in sixteenths.
const NEWEST_SIXTEENTHS: u64 = 4;

/// Samples without which a replica is not judged by its speed.
const LEAST_SAMPLES: u64 = 8;

/// Doublings of the time out.
const MOST_DOUBLINGS: u32 = 3;

impl ReplicaHealth {
    /// Notes how long a step took, for each unit of expected time.
    pub fn record_step(&mut self, micros: u64) {
        let old = self.step_micros * (16 - NEWEST_SIXTEENTHS);
        self.step_micros = match self.samples {
            0 => micros,
            _ => (old + micros * NEWEST_SIXTEENTHS) / 16,
        };
        self.samples += 1;
    }

    /// Notes a failure that was the replica's.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Notes a whole answer; the record is clean again.
    pub fn record_success(&mut self, now: Millis) {
        self.failures = 0;
        if now >= self.out_until {
            self.times_out = self.times_out.saturating_sub(1);
        }
    }

    /// Tells whether the replica is kept away from.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.out_until
    }

    fn eject(&mut self, config: &EjectionConfig, now: Millis) {
        let doublings = self.times_out.min(MOST_DOUBLINGS);
        self.out_until = now + (config.first_ejection_ms << doublings);
        self.times_out += 1;
        self.samples = 0;
        self.failures = 0;
    }
}

/// Judges the replicas of one group; returns the positions that were ejected now.
pub fn eject_outliers(
    group: &mut [&mut ReplicaHealth],
    config: &EjectionConfig,
    now: Millis,
) -> Vec<usize> {
    let median = median_step(group);
    let most_out = group.len() * config.max_ejected_percent / 100;
    let mut out = group.iter().filter(|health| health.is_ejected(now)).count();
    let mut ejected = Vec::new();
    for (position, health) in group.iter_mut().enumerate() {
        let slow = health.samples >= LEAST_SAMPLES
            && median.is_some_and(|median| health.step_micros * 100 > median * config.slow_percent);
        let failing = health.failures >= config.consecutive_failures;
        if health.is_ejected(now) || out >= most_out || !(slow || failing) {
            continue;
        }
        health.eject(config, now);
        out += 1;
        ejected.push(position);
    }
    ejected
}

fn median_step(group: &[&mut ReplicaHealth]) -> Option<u64> {
    let judged = group.iter().filter(|health| health.samples >= LEAST_SAMPLES);
    let mut steps: Vec<u64> = judged.map(|health| health.step_micros).collect();
    steps.sort_unstable();
    steps.get(steps.len().checked_sub(1)? / 2).copied()
}
