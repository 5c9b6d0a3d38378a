//! Schedules callers that reconnect to a relay that has just started.
//!
//! When all entry VMs are stopped at once, every caller reconnects within a quarter of a second of
//! their start: those whose streams were cut, ten times as many as usual, and those whose requests
//! were not begun. The engines then read the prompts of all of them at once, and for a second no
//! request meets its objective.
//!
//! A cut stream is late in any case, since its pause already exceeds the longest one allowed; a
//! request without any event yet can still be in time. Cut streams are therefore spread over
//! [`RECONNECT_SPREAD`], and new requests go first.
//!
//! A relay that has just started has no configuration for 0.1 to 0.3 s, during which callers
//! already arrive if all relays were restarted. If they were refused at once, they would retry
//! after 0.7 s and be late; they wait for the configuration instead, up to [`CONFIG_WAIT`].
//!
//! The limit: callers wait two seconds for an event, and a first event takes some 0.1 s, so the
//! spread leaves a second for it. It applies only within [`RECONNECT_WINDOW`], so that a stream cut
//! later is resumed at once.

use crate::Millis;

/// Age of a relay up to which requests wait for its first configuration, in milliseconds. Small VMs
/// have it 0.25 to 0.32 s after their start, and the first event usually follows 0.1 s later,
/// within an objective of half a second.
pub const CONFIG_WAIT: Millis = 400;

/// Returns whether a request waits for the first configuration of a relay that started `age` ago.
pub fn awaits_config(age: Millis, has_config: bool) -> bool {
    !has_config && age < CONFIG_WAIT
}

/// Time from a relay's start in which resumed streams are delayed, in milliseconds. Callers
/// reconnect within a quarter of a second, and those that other relays refused within 1.4 s.
pub const RECONNECT_WINDOW: Millis = 1_500;

/// Time over which resumed streams are spread, in milliseconds.
pub const RECONNECT_SPREAD: Millis = 700;

/// Returns how long a request waits before it is begun, in milliseconds, at a relay that started
/// `age` ago. `draw` is uniform in `0..1`; `was_cut` tells whether the request resumes a stream
/// that was cut.
pub fn reconnect_delay(age: Millis, was_cut: bool, draw: f64) -> Millis {
    match was_cut && age < RECONNECT_WINDOW {
        true => (draw * RECONNECT_SPREAD as f64) as Millis,
        false => 0,
    }
}
