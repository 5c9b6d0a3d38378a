//! What a queue learns from its own traffic: rates, and the usual time to the first event.

use std::collections::VecDeque;

use crate::Millis;

/// Time constant of rates, in milliseconds. Relays admit some ten requests per second each, so that
/// a rate rests on about twenty of them; demand swings over 17 s, which is much longer.
const RATE_DECAY: f64 = 2_000.0;

/// Minimum time that a rate is taken over, in milliseconds. One event after a few milliseconds
/// would otherwise count as hundreds per second.
const MIN_RATE_TIME: f64 = 250.0;

/// A rate of events in which recent time weighs most.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedRate {
    count: f64,
    time: f64,
    at: Millis,
}

impl DecayedRate {
    /// Advances to `now`. Time in which the events could not happen (`is_running` is false) is not
    /// counted.
    pub(super) fn advance(&mut self, is_running: bool, now: Millis) {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        if is_running {
            let kept = (-elapsed / RATE_DECAY).exp();
            self.count *= kept;
            self.time = self.time * kept + RATE_DECAY * (1.0 - kept);
        }
    }

    /// Counts one event at the time of the last [`Self::advance`].
    pub(super) fn record(&mut self) {
        self.count += 1.0;
    }

    /// Returns the events per second at `now`.
    pub(super) fn per_second(mut self, is_running: bool, now: Millis) -> f64 {
        self.advance(is_running, now);
        self.count * 1_000.0 / self.time.max(MIN_RATE_TIME)
    }
}

/// Width of the buckets of a [`RecentCount`], in milliseconds.
const BUCKET: Millis = 100;

/// Number of buckets: one second.
const BUCKETS: usize = 10;

/// Number of events in the last second, to within the width of a bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentCount {
    buckets: [u32; BUCKETS],
    latest: Millis,
}

impl RecentCount {
    /// Counts one event.
    pub(super) fn record(&mut self, now: Millis) {
        let latest = self.latest.max(now / BUCKET);
        for number in (self.latest + 1..=latest).take(BUCKETS) {
            self.buckets[number as usize % BUCKETS] = 0;
        }
        // After a gap of more than a second, the loop above has cleared all buckets.
        self.latest = latest;
        self.buckets[latest as usize % BUCKETS] += 1;
    }

    /// Returns the number of events in the last second.
    pub(super) fn count(&self, now: Millis) -> u32 {
        let first = (now / BUCKET + 1).saturating_sub(BUCKETS as Millis);
        let known = (self.latest + 1).saturating_sub(BUCKETS as Millis);
        (first.max(known)..=self.latest).map(|number| self.buckets[number as usize % BUCKETS]).sum()
    }
}

/// Number of recent times to the first event that are kept: some seconds of a relay's requests.
const MAX_SAMPLES: usize = 128;

/// Age at which a time to the first event is dropped, in milliseconds. Within 17 s, demand swings
/// by half, and the time with it.
const SAMPLE_MAX_AGE: Millis = 10_000;

/// Percentile of the recent times that counts as usual: a request that is sent at its latest start
/// is on time with this probability.
const USUAL_PERCENTILE: usize = 90;

/// Weight of the latest percentile in the smoothed one, as one in this many.
const SMOOTHING: f64 = 8.0;

/// Bounds of the usual time, as percentages of the objective. Below the lower one, a request would
/// be held until a normal variation makes it late; above the upper one, most requests would count
/// as late on arrival.
const MIN_USUAL_PERCENT: Millis = 10;
const MAX_USUAL_PERCENT: Millis = 60;

/// Usual time as a percentage of the objective as long as none was observed. On an engine with free
/// capacity, first events take 60 to 115 ms of 500 ms.
const DEFAULT_USUAL_PERCENT: Millis = 25;

/// The usual time from sending a request to its first event.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstEventTimes {
    /// Time of each observation and what was observed.
    samples: VecDeque<(Millis, Millis)>,
    smoothed: Option<f64>,
}

impl FirstEventTimes {
    /// Records that the first event came `took` milliseconds after a request was sent.
    pub(super) fn record(&mut self, took: Millis, now: Millis) {
        let is_old = |at: Millis| at.saturating_add(SAMPLE_MAX_AGE) <= now;
        while self.samples.len() >= MAX_SAMPLES
            || self.samples.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.samples.pop_front();
        }
        self.samples.push_back((now, took));
        let mut times: Vec<Millis> = self.samples.iter().map(|(_, took)| *took).collect();
        let index = (times.len() - 1) * USUAL_PERCENTILE / 100;
        let percentile = *times.select_nth_unstable(index).1 as f64;
        let smoothed = self.smoothed.unwrap_or(percentile);
        self.smoothed = Some(smoothed + (percentile - smoothed) / SMOOTHING);
    }

    /// Returns the usual time, bounded to 10% to 60% of the objective.
    pub(super) fn usual(&self, objective: Millis) -> Millis {
        let percent = |share: Millis| objective.saturating_mul(share) / 100;
        let usual = self.smoothed.map_or(percent(DEFAULT_USUAL_PERCENT), |time| time as Millis);
        usual.clamp(percent(MIN_USUAL_PERCENT), percent(MAX_USUAL_PERCENT))
    }
}
