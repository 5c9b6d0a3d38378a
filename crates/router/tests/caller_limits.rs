//! Limits of callers while the configuration changes.

use proptest::prelude::*;
use switchfold_router::{Millis, caller_limits::LimitHistory, routing::CallerLimits};

/// Time for a change to take effect.
const APPLY_TIME: Millis = 2_000;

fn limits_of(idle_timeout: Millis) -> CallerLimits {
    CallerLimits { idle_timeout, header_timeout: idle_timeout / 5, ..CallerLimits::default() }
}

/// Guards against connections that are closed by a lowered limit while their callers still go by the
/// higher one.
#[test]
fn a_lowered_limit_counts_for_waits_that_begin_once_callers_know_it() {
    let mut history = LimitHistory::default();
    history.record(limits_of(60_000), APPLY_TIME, 0);
    history.record(limits_of(5_000), APPLY_TIME, 100_000);
    let idle = |since| history.largest_since(since, APPLY_TIME).idle_timeout;
    assert_eq!(idle(90_000), 60_000, "the wait had begun before the change");
    assert_eq!(idle(102_000), 60_000, "the caller may not know of the change");
    assert_eq!(idle(102_001), 5_000);
}

/// Guards against defaults that outlast the first configuration, which callers go by from the start.
#[test]
fn the_first_configuration_replaces_the_defaults_at_once() {
    let mut history = LimitHistory::default();
    assert_eq!(history.largest_since(0, APPLY_TIME), CallerLimits::default());
    history.record(limits_of(5_000), APPLY_TIME, 100);
    assert_eq!(history.largest_since(0, APPLY_TIME), limits_of(5_000));
}

/// Guards against raised limits that do not reach waits that have begun.
#[test]
fn a_raised_limit_counts_for_waits_that_have_begun() {
    let mut history = LimitHistory::default();
    history.record(limits_of(15_000), APPLY_TIME, 0);
    history.record(limits_of(60_000), APPLY_TIME, 10_000);
    assert_eq!(history.largest_since(3_000, APPLY_TIME).idle_timeout, 60_000);
}

proptest! {
    /// Guards against limits that are forgotten while a wait still counts by them: in storms of
    /// changes, no wait ends before any limit says that was in force during it.
    #[test]
    fn no_wait_ends_before_a_limit_that_was_in_force_during_it(
        changes in prop::collection::vec((1..20_000u64, 1_000..60_000u64), 1..50),
        begins in prop::collection::vec(0..400_000u64, 1..20),
    ) {
        let mut history = LimitHistory::default();
        history.record(limits_of(15_000), APPLY_TIME, 0);
        let mut versions = vec![(0, limits_of(15_000))];
        let mut now = 0;
        let is_over = |history: &LimitHistory, since: Millis, now: Millis| {
            now - since >= history.largest_since(since, APPLY_TIME).idle_timeout
        };
        let mut waits = begins;
        for (pause, idle) in changes {
            for step in (now + 1)..=(now + pause) {
                waits.retain(|since| {
                    let ends = *since < step && is_over(&history, *since, step);
                    if ends {
                        let (since, waited) = (*since, step - since);
                        for (index, (_, limits)) in versions.iter().enumerate() {
                            let replaced = versions.get(index + 1).map(|(at, _)| *at);
                            let counts = replaced.is_none_or(|at| at >= since);
                            assert!(!counts || waited >= limits.idle_timeout);
                        }
                    }
                    !ends
                });
            }
            now += pause;
            history.record(limits_of(idle), APPLY_TIME, now);
            versions.push((now, limits_of(idle)));
        }
    }
}
