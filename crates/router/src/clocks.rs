//! Estimates of other relays' clocks.
//!
//! Each message carries its sender's clock. The smallest difference to this relay's own clock
//! belongs to the message with the least delay; it tells when a later message was written, and so
//! what the ages in it refer to. Without that, an old state that arrives late would pass for a
//! recent one.

use std::collections::HashMap;

use crate::{Millis, membership::PeerStamp};

/// Smallest difference between this relay's clock and each other one's, by name.
#[derive(Clone, Debug, Default)]
pub struct PeerClocks {
    differences: HashMap<String, (u32, i64)>,
}

impl PeerClocks {
    /// Returns the time by this relay's clock at or before which a message with this stamp was
    /// written.
    pub fn written_at(&mut self, peer: &str, stamp: PeerStamp, now: Millis) -> i64 {
        let time = i64::try_from(stamp.time).unwrap_or(i64::MAX);
        let difference = (now as i64).saturating_sub(time);
        let held =
            self.differences.entry(peer.to_owned()).or_insert((stamp.incarnation, difference));
        *held = match held.0 == stamp.incarnation {
            true => (held.0, held.1.min(difference)),
            false => (stamp.incarnation, difference),
        };
        time.saturating_add(held.1)
    }

    /// Removes a relay.
    pub fn remove(&mut self, peer: &str) {
        self.differences.remove(peer);
    }
}
