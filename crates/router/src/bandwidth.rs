//! Limits how much of the link between data centres one relay may use.
//!
//! All requests whose path crosses from one data centre to another share one link, and transferring
//! the activations of one prompt occupies it for tens of milliseconds. Beyond the capacity of the
//! link every crossing request would be late. Each relay therefore admits crossing requests up to
//! an equal share of the link and refuses the rest at once, so that admitted requests are served in
//! time. The trade-off: a share that a relay does not use is lost.

use crate::Millis;

/// Fraction of the link that prompts may use; the rest carries the tokens of crossing requests.
const PROMPT_FRACTION: f64 = 0.8;

/// How far ahead a relay may reserve its share, in milliseconds: concurrent requests queue for each
/// other for at most half of a usual latency objective.
const MAX_QUEUE_MS: f64 = 250.0;

/// One relay's share of the link.
#[derive(Clone, Debug, Default)]
pub struct BandwidthShare {
    reserved_until: f64,
}

impl BandwidthShare {
    /// Reserves `link_ms` milliseconds of the link, which `relays` relays share equally. Returns
    /// whether the share allows it; otherwise nothing is reserved.
    pub fn try_reserve(&mut self, link_ms: f64, relays: usize, now: Millis) -> bool {
        let now = now as f64;
        let start = self.reserved_until.max(now);
        let is_available = start - now <= MAX_QUEUE_MS;
        if is_available {
            self.reserved_until = start + link_ms * relays.max(1) as f64 / PROMPT_FRACTION;
        }
        is_available
    }
}
