//! Which requests a relay still sends to replicas during a graceful shutdown.
//!
//! A request is sent only if it can be responded to before the process must exit. Its deadline is a
//! sure bound. Where the deadline lies beyond the shutdown, the longest recent response of the same
//! route takes its place, or its latency objective if there were too few responses. So a long timeout
//! alone turns no caller away.

use std::collections::HashMap;

use crate::Millis;

/// Time from the signal in which streams are still started, in milliseconds. After it callers are
/// sent to another relay at once, rather than losing their stream midway.
const STREAM_START_WINDOW: Millis = 2_800;

/// Longest time before the kill at which the last requests are responded to, in milliseconds.
const MAX_ANSWER_MARGIN: Millis = 600;

/// Longest time before the kill at which the process exits, in milliseconds.
const MAX_EXIT_MARGIN: Millis = 400;

/// Shortest time for responses to requests in flight if the signal is handled late, in
/// milliseconds. Responses that arrived meanwhile only have to be passed on.
const MIN_ANSWER_TIME: Millis = 200;

/// Times of one graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// Time of the signal.
    pub signalled_at: Millis,
    /// Time by which every request has its response.
    pub answer_by: Millis,
    /// Time by which the process exits if every request that was read has its response.
    pub exit_by: Millis,
    /// Time of the kill. Only a process that gets little processor time runs beyond `exit_by`.
    pub killed_at: Millis,
}

impl StopSchedule {
    /// Plans a shutdown whose signal was sent at `signalled_at` and is handled at `now`. The process
    /// is killed `grace` milliseconds after the signal.
    pub fn new(signalled_at: Millis, grace: Millis, now: Millis) -> Self {
        let before_kill =
            |margin: Millis, divisor: Millis| signalled_at + grace - margin.min(grace / divisor);
        Self {
            signalled_at,
            answer_by: before_kill(MAX_ANSWER_MARGIN, 10).max(now + MIN_ANSWER_TIME),
            exit_by: before_kill(MAX_EXIT_MARGIN, 20).max(now + MIN_ANSWER_TIME * 2),
            killed_at: signalled_at + grace,
        }
    }

    /// Returns whether streams are still started.
    pub fn starts_streams(&self, now: Millis) -> bool {
        now <= self.streams_until()
    }

    /// Returns the time after which no stream is started.
    pub fn streams_until(&self) -> Millis {
        (self.signalled_at + STREAM_START_WINDOW).min(self.answer_by)
    }

    /// Returns whether a request may be sent that has `remaining` milliseconds until its deadline.
    /// `expected` is the longest response time to expect of its route, if known.
    pub fn allows_send(&self, remaining: Millis, expected: Option<Millis>, now: Millis) -> bool {
        let longest = expected.map_or(remaining, |expected| expected.min(remaining));
        now + longest <= self.answer_by
    }
}

/// Longest time between two records of [`AwakeTimes`] that is no pause, in milliseconds: twice the
/// interval at which they are made.
const MAX_RECORD_INTERVAL: Millis = 400;

/// The last times at which the process was seen running. A signal that arrives while the process is
/// paused is handled after the pause, but the grace period counts from its arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct AwakeTimes {
    previous: Millis,
    latest: Millis,
}

impl AwakeTimes {
    /// Records that the process runs at `now`. Called at least every 200 ms.
    pub fn record(&mut self, now: Millis) {
        (self.previous, self.latest) = (self.latest, now);
    }

    /// Returns the earliest time at which a signal that is handled now may have been sent: the
    /// beginning of a pause that has just ended, or now.
    pub fn earliest_signal(&self, now: Millis) -> Millis {
        let is_pause = |from: Millis, to: Millis| to.saturating_sub(from) > MAX_RECORD_INTERVAL;
        match () {
            () if is_pause(self.latest, now) => self.latest,
            () if is_pause(self.previous, self.latest) => self.previous,
            () => now,
        }
    }
}

/// Length of the window over which the longest response time is kept, in milliseconds.
const TIME_WINDOW: Millis = 60_000;

/// Number of responses from which on their longest time is a bound for the next one.
const MIN_RESPONSES: u32 = 8;

/// Added to the longest response time, in milliseconds, besides a sixteenth of it.
const TIME_SLACK: Millis = 50;

/// Responses within one window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowTimes {
    longest: Millis,
    count: u32,
}

/// Response times of one route, over the current window and the one before.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseTimes {
    current: WindowTimes,
    previous: WindowTimes,
    /// Begin of the current window.
    since: Millis,
}

impl ResponseTimes {
    fn advance(&mut self, now: Millis) {
        let age = now.saturating_sub(self.since);
        if age < TIME_WINDOW {
            return;
        }
        let is_recent = age < 2 * TIME_WINDOW;
        self.previous = if is_recent { self.current } else { WindowTimes::default() };
        self.current = WindowTimes::default();
        self.since = now;
    }

    fn record(&mut self, took: Millis, now: Millis) {
        self.advance(now);
        self.current.longest = self.current.longest.max(took);
        self.current.count += 1;
    }

    /// Returns the longest response time and the number of responses.
    fn totals(mut self, now: Millis) -> WindowTimes {
        self.advance(now);
        WindowTimes {
            longest: self.current.longest.max(self.previous.longest),
            count: self.current.count + self.previous.count,
        }
    }
}

/// Response times of the routes to plain services.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    routes: HashMap<String, ResponseTimes>,
}

impl RouteTimes {
    /// Records a complete response of a replica.
    pub fn record(&mut self, route: &str, took: Millis, now: Millis) {
        match self.routes.get_mut(route) {
            Some(times) => times.record(took, now),
            None => {
                let mut times = ResponseTimes { since: now, ..ResponseTimes::default() };
                times.record(took, now);
                self.routes.insert(route.to_owned(), times);
            }
        }
    }

    /// Returns the longest response time to expect of a route with a latency objective, which counts
    /// until enough responses are known; `None` if it is 0 and they are not.
    pub fn expected(&self, route: &str, objective: Millis, now: Millis) -> Option<Millis> {
        let times = self.routes.get(route).copied().unwrap_or_default().totals(now);
        let longest = match times.count >= MIN_RESPONSES {
            true => times.longest,
            false if objective == 0 => return None,
            false => times.longest.max(objective),
        };
        Some(longest + longest / 16 + TIME_SLACK)
    }

    /// Removes routes without a recent response.
    pub fn remove_expired(&mut self, now: Millis) {
        self.routes.retain(|_, times| now.saturating_sub(times.since) < 2 * TIME_WINDOW);
    }
}
