//! Which relay keeps the limit of a replica.
//!
//! By hash over the relays that are heard, those of the replica's own data centre first, so that all that hear each other
//! name the same one without a vote. Where relays are cut off from each other, each side names one: the side with the most
//! of them gives what the replica takes, the others a small part, so that the sum stays near the limit. One that just
//! started keeps none until it has heard the others.
//!
//! The trade-off: a side that cannot know whether the others are cut off or gone gives little until it forgets them. Worst
//! case: three equal sides give a small part each.

use std::net::SocketAddr;

use switchfold_core::hash::hash_bytes;

use crate::{Millis, membership::PeerTable};

/// Time after its start from which a relay keeps limits, in milliseconds: two messages from another data centre have come by
/// then, and the grants of an earlier start have lapsed.
pub const COORDINATES_AFTER: Millis = 800;

/// Part of a limit that sides without most of the relays give together.
const MINOR_PART: f64 = 0.2;

/// A relay that may keep limits.
#[derive(Clone, Copy, Debug)]
pub struct LocalRelay<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Whether it keeps limits.
    pub is_eligible: bool,
}

/// The relay that keeps a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitCoordinator<'a> {
    /// This one.
    Local,
    /// Another one.
    Peer(&'a str, SocketAddr),
    /// None is known.
    Unknown,
}

/// The relay that keeps the limit of a replica in a data centre.
pub fn limit_coordinator<'a>(
    own: &LocalRelay<'_>,
    peers: &'a PeerTable,
    id: &str,
    data_centre: &str,
    now: Millis,
) -> LimitCoordinator<'a> {
    let seed = hash_bytes(0, id.as_bytes());
    // Those of the replica's data centre first, then by hash.
    let rank = |name: &str, place: &str| (place == data_centre, hash_bytes(seed, name.as_bytes()));
    let best = peers.keepers(now).max_by_key(|peer| rank(peer.name, peer.data_centre));
    let own_rank = own.is_eligible.then(|| rank(own.name, own.data_centre));
    match best {
        Some(peer) if own_rank < Some(rank(peer.name, peer.data_centre)) => {
            LimitCoordinator::Peer(peer.name, peer.address)
        }
        _ if own.is_eligible => LimitCoordinator::Local,
        _ => LimitCoordinator::Unknown,
    }
}

/// Part of a limit that a keeper gives: all of it where it hears most of the speakers that it knows, or half of them and the
/// first by name.
pub fn rate_fraction(own: &LocalRelay<'_>, peers: &PeerTable, now: Millis) -> f64 {
    let (known, heard) = peers.speaker_counts(own.data_centre, now);
    let hears_first = || {
        let first = peers.others("").map(|(name, _, _)| name).next();
        first.is_none_or(|first| own.name < first || peers.hears(first, now))
    };
    match (heard * 2).cmp(&known) {
        std::cmp::Ordering::Greater => 1.0,
        std::cmp::Ordering::Equal if hears_first() => 1.0,
        _ => MINOR_PART * heard as f64 / known as f64,
    }
}
