//! Clocks of other relays, as far as their messages tell.
//!
//! Each message carries its sender's clock. The smallest difference to this relay's own seen so far is that of the message
//! that was least late; by it the ages that a late message tells are read as of when it was written. Without that, an old word
//! that comes late would pass for a new one.

use std::collections::HashMap;

use crate::{Millis, membership::PeerStamp};

/// Differences between this relay's clock and others', by name.
#[derive(Clone, Debug, Default)]
pub struct PeerClocks {
    differences: HashMap<String, (u32, i64)>,
}

impl PeerClocks {
    /// Time by this relay's clock at which a message was written that carries this stamp, at the latest.
    pub fn written_at(&mut self, peer: &str, stamp: PeerStamp, now: Millis) -> i64 {
        let difference = now as i64 - stamp.time as i64;
        let held =
            self.differences.entry(peer.to_owned()).or_insert((stamp.incarnation, difference));
        *held = match held.0 == stamp.incarnation {
            true => (held.0, held.1.min(difference)),
            false => (stamp.incarnation, difference),
        };
        stamp.time as i64 + held.1
    }

    /// Forgets a relay.
    pub fn forget(&mut self, peer: &str) {
        self.differences.remove(peer);
    }
}
