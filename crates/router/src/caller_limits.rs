//! Limits of callers while the configuration changes.
//!
//! A caller learns of a new version later than a relay does, and counts its time by the version
//! that it knows. A connection is therefore kept for the longest time that any version grants which
//! has been in force while it waits, or within the time for a change to take effect before that. A
//! limit that is raised counts at once; one that is lowered counts for waits that begin later.

use std::collections::VecDeque;

use crate::{Millis, routing::CallerLimits};

/// Limits that are in force, and earlier ones that callers may still go by.
#[derive(Clone, Debug, Default)]
pub struct LimitHistory {
    /// `None` before the first configuration. Callers do not go by the defaults of that time.
    current: Option<CallerLimits>,
    /// Replaced limits and the times of their replacement, oldest first.
    replaced: VecDeque<(Millis, CallerLimits)>,
}

impl LimitHistory {
    /// Records the limits of a new configuration. `apply_time` is the time for it to take effect.
    pub fn record(&mut self, limits: CallerLimits, apply_time: Millis, now: Millis) {
        match self.current.replace(limits) {
            Some(earlier) if earlier != limits => self.replaced.push_back((now, earlier)),
            _ => return,
        }
        // No wait is longer than the longest limit that it may count by.
        let known = self.replaced.iter().map(|(_, limits)| limits).chain([&limits]);
        let longest = known.map(|limits| limits.idle_timeout.max(limits.header_timeout)).max();
        let kept = longest.unwrap_or_default().saturating_add(apply_time);
        self.replaced.retain(|(replaced_at, _)| now - replaced_at <= kept);
    }

    /// Returns the largest of each limit that counts for a wait that began at `since`. Once a
    /// configuration is known, it does not shrink while the wait lasts.
    pub fn largest_since(&self, since: Millis, apply_time: Millis) -> CallerLimits {
        let earliest = since.saturating_sub(apply_time);
        let counting = self.replaced.iter().rev();
        let counting = counting.take_while(|(replaced_at, _)| *replaced_at >= earliest);
        counting.fold(self.current.unwrap_or_default(), |largest, (_, limits)| CallerLimits {
            max_header_bytes: largest.max_header_bytes.max(limits.max_header_bytes),
            max_body_bytes: largest.max_body_bytes.max(limits.max_body_bytes),
            idle_timeout: largest.idle_timeout.max(limits.idle_timeout),
            header_timeout: largest.header_timeout.max(limits.header_timeout),
        })
    }
}
