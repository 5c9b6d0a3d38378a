//! In which order callers come back to an entry that has just started.
//!
//! The load: all entry VMs were stopped, and every caller is back within a quarter of a second of their start: those
//! whose streams were cut, ten times as many as usual, and those whose requests were not begun. Engines
//! read the prompts of all of them at once, and for a second nobody is in time.
//!
//! A stream that was cut is late whatever comes, since its pause is longer than any that is allowed; a request that has
//! had no event yet can be in time. So the former are spread over [`RECONNECT_SPREAD`], and the latter go first.
//!
//! A relay that has just started has no configuration for 0.1 to 0.3 s, and callers come to it all the same where all
//! have just started. Refused at once, they are back after 0.7 s and late; so they wait for it, up to [`CONFIG_WAIT`].
//!
//! The limit: callers stay for two seconds without an event, and a first event takes some 0.1 s; the spread leaves a
//! second for that. It ends with [`RECONNECT_WINDOW`], so that a stream that is cut later is taken up at once.

use crate::Millis;

/// Age of an entry up to which requests wait for its first configuration, in milliseconds: small VMs have it 0.25 to
/// 0.32 s after their start. A first event usually comes 0.1 s later, within an objective of half a second.
pub const CONFIG_WAIT: Millis = 400;

/// Whether a request waits for the first configuration: `age` is that of the entry.
pub fn awaits_config(age: Millis, has_config: bool) -> bool {
    !has_config && age < CONFIG_WAIT
}

/// Time from an entry's start in which cut streams come back together, in milliseconds: callers come back within a
/// quarter of a second, those of other entries that were refused within 1.4 s.
pub const RECONNECT_WINDOW: Millis = 1_500;

/// Time over which they are spread, in milliseconds.
pub const RECONNECT_SPREAD: Millis = 700;

/// Time for which a request waits before it is begun, in milliseconds: `age` is that of the entry, `draw` one in 0..1.
pub fn reconnect_delay(age: Millis, was_cut: bool, draw: f64) -> Millis {
    match was_cut && age < RECONNECT_WINDOW {
        true => (draw * RECONNECT_SPREAD as f64) as Millis,
        false => 0,
    }
}
