//! Chooses the relay that coordinates the rate limit of a replica, that is, the one that issues its
//! grants.
//!
//! The choice is a rendezvous hash over the live relays, with those in the replica's own data
//! centre first, so relays that all receive each other's messages agree without a vote. In a
//! network partition each side chooses its own coordinator: the side with the majority of the
//! relays issues the full rate, the others a small fraction, so that the sum stays near the limit.
//! A relay that just started coordinates no limits until it has received the messages of the
//! others.
//!
//! The trade-off: a minority side cannot tell whether the other relays are partitioned or gone, so
//! it issues little until they expire from its peer table. Worst case: of three equal sides, each
//! issues only a small fraction.

use std::net::SocketAddr;

use switchfold_core::hash::hash_bytes;

use crate::{Millis, membership::PeerTable};

/// Time after its start from which a relay coordinates limits, in milliseconds. By then two
/// messages from another data centre have arrived, and the grants issued before a restart have
/// expired.
pub const COORDINATES_AFTER: Millis = 800;

/// Fraction of a limit that all sides without a majority issue together.
const MINORITY_FRACTION: f64 = 0.2;

/// This relay as a candidate for coordinator.
#[derive(Clone, Copy, Debug)]
pub struct LocalRelay<'a> {
    /// Name of the relay.
    pub name: &'a str,
    /// Data centre of the relay.
    pub data_centre: &'a str,
    /// Whether it can coordinate limits at present.
    pub is_eligible: bool,
}

/// The relay that coordinates a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitCoordinator<'a> {
    /// This relay.
    Local,
    /// Another relay, with its name and address.
    Peer(&'a str, SocketAddr),
    /// No eligible relay is known.
    Unknown,
}

/// Returns the relay that coordinates the limit of replica `id`, which is in `data_centre`.
pub fn limit_coordinator<'a>(
    local: &LocalRelay<'_>,
    peers: &'a PeerTable,
    id: &str,
    data_centre: &str,
    now: Millis,
) -> LimitCoordinator<'a> {
    let seed = hash_bytes(0, id.as_bytes());
    // Relays in the replica's data centre rank first, then by hash.
    let rank = |name: &str, relay_data_centre: &str| {
        (relay_data_centre == data_centre, hash_bytes(seed, name.as_bytes()))
    };
    let best = peers.coordinators(now).max_by_key(|peer| rank(peer.name, peer.data_centre));
    let local_rank = local.is_eligible.then(|| rank(local.name, local.data_centre));
    match best {
        Some(peer) if local_rank < Some(rank(peer.name, peer.data_centre)) => {
            LimitCoordinator::Peer(peer.name, peer.address)
        }
        _ if local.is_eligible => LimitCoordinator::Local,
        _ => LimitCoordinator::Unknown,
    }
}

/// Returns the fraction of a limit, in 0..=1, that this relay may issue as its coordinator. It is 1
/// if a majority of the speakers that this relay knows are live, itself included, or half of them
/// including the first by name.
pub fn rate_fraction(local: &LocalRelay<'_>, peers: &PeerTable, now: Millis) -> f64 {
    let (known, live) = peers.speaker_counts(local.data_centre, now);
    let is_first_live = || {
        let first = peers.others("").map(|(name, _, _)| name).next();
        first.is_none_or(|first| local.name < first || peers.is_live_peer(first, now))
    };
    match (live * 2).cmp(&known) {
        std::cmp::Ordering::Greater => 1.0,
        std::cmp::Ordering::Equal if is_first_live() => 1.0,
        _ => MINORITY_FRACTION * live as f64 / known as f64,
    }
}
