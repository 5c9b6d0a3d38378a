//! Table of the other relays: which are live, which one gives orders, and which ones read the
//! store.
//!
//! Relays exchange state a few times a second. From these messages alone each relay decides two
//! things, without a vote: the first live relay by name gives the orders to engines, and in each
//! data centre the first live relay by name reads the store on behalf of the others. A wrong
//! decision is harmless in both cases: engines fence orders by their own counters, and a relay that
//! reads the store needlessly only pays for its calls.
//!
//! | module | decides |
//! |---|---|
//! | `gossip` | which relays exchange state, and which relay aggregates the state of others |
//! | `proofs` | what messages of other relays prove, and how old these proofs are |
//! | `sources` | which relay reads the store on behalf of another, and which one is asked for a snapshot |

use std::{collections::BTreeMap, net::SocketAddr};

mod gossip;
mod proofs;
mod sources;

pub use self::{
    gossip::{GossipLink, GossipPeer, GossipPlan, ReportKind, SPEAKERS, name_hash},
    proofs::{OwnState, PeerProof, PeerProofs, PeerStamp, proof_time},
    sources::{EMPTY_DIGEST, MAX_PEER_READ_AGE, PrecedingPeers, SnapshotSource},
};
use crate::Millis;

/// Silence after which a peer no longer counts as live, in milliseconds: three messages in a row
/// were lost.
pub const PEER_TIMEOUT: Millis = 1_600;

/// Age of its own proof of the configuration from which a relay redirects new callers to peers with
/// a younger proof, in milliseconds. It is above the age that a relay has whose peers read the
/// store for it, and one second below the age at which keys are refused under a usual bound of 5 s.
pub const REDIRECT_AGE: Millis = 2_600;

/// Like [`REDIRECT_AGE`], for a relay whose last read of the configuration failed.
pub const REDIRECT_AGE_LOST: Millis = 1_300;

/// Silence after which a peer is removed from the table, in milliseconds. It spans several windows
/// of the shared retry budget, so that a relay that is only cut off keeps its share. The
/// replacement of a VM has another name.
pub const PEER_EXPIRY: Millis = 60_000;

/// State that a relay reports about itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerState {
    /// Whether its list of replicas is recent.
    pub fleet_is_fresh: bool,
    /// Whether its last read of that list failed; it then reads the list for no other relay.
    pub fleet_is_lost: bool,
    /// Digest of its list of replicas.
    pub fleet_digest: u64,
    /// Whether its last read of the configuration failed.
    pub config_is_lost: bool,
    /// Version of its configuration.
    pub config_version: u64,
    /// Age of its proof of the configuration, in milliseconds; `None` if it has no proof.
    pub config_age: Option<Millis>,
    /// Age of its proof of its list of replicas, in milliseconds; `None` if it has no proof.
    pub fleet_age: Option<Millis>,
    /// Time since the store last answered its own read of the list of replicas, in milliseconds;
    /// `None` if another relay reads the list for it.
    pub fleet_read_age: Option<Millis>,
    /// Time since the store last answered a read of the configuration, by this relay or by the one
    /// that reads for it, in milliseconds.
    pub config_answer_age: Option<Millis>,
    /// Time since the store last answered a read of the list of replicas, by this relay or by the
    /// one that reads for it, in milliseconds.
    pub fleet_answer_age: Option<Millis>,
    /// Whether it coordinates rate limits of replicas.
    pub coordinates_limits: bool,
    /// Whether it reports to speakers (see `gossip`); a member gives no orders.
    pub is_member: bool,
}

/// A relay that coordinates rate limits.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorPeer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: &'a str,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: String,
    added_at: Millis,
    /// When its last message arrived.
    last_received: Option<Millis>,
    state: PeerState,
    /// When its present version of the configuration was first heard of.
    config_since: Millis,
    last_stamp: Option<(PeerStamp, Millis)>,
    /// Hash of its name.
    hash: u32,
    /// Last report of this peer to this relay, and when it arrived.
    report: Option<(ReportKind, Millis)>,
    /// Start of the period in which this relay has been sending to the peer without interruption.
    sending_since: Option<Millis>,
    /// End of the period in which the peer is skipped as a speaker because it was silent.
    skipped_until: Millis,
    /// When another relay last reported that this peer is live and coordinates rate limits.
    coordinator_reported: Option<Millis>,
    /// When another relay last reported that this peer is live.
    live_reported: Option<Millis>,
}

/// The other relays, by name.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
    config_answered: Option<Millis>,
    fleet_answered: Option<Millis>,
    digest_differs_since: Option<Millis>,
    /// Whether this relay is a member.
    is_member: bool,
    /// The relay of the data centre that reads the list of replicas, as another relay reported it,
    /// and when it did.
    reader: Option<(String, Millis)>,
}

impl PeerTable {
    /// Returns the number of peers that have not expired: an upper bound of the relays that share a
    /// budget with this one.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of live peers.
    pub fn live_count(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| peer.is_live(now)).count()
    }

    /// Returns the number of live peers that are speakers.
    pub fn live_speaker_count(&self, now: Millis) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.filter(|peer| !peer.state.is_member).count()
    }

    /// Returns the name of the peer at an address.
    pub fn name_at(&self, address: SocketAddr) -> Option<&str> {
        let at = self.peers.iter().find(|(_, peer)| peer.address == address);
        at.map(|(name, _)| name.as_str())
    }

    /// Returns the peers that coordinate rate limits, by their own report or by that of another
    /// relay.
    pub fn coordinators(&self, now: Millis) -> impl Iterator<Item = CoordinatorPeer<'_>> {
        let coordinators = self.peers.iter().filter(move |(_, peer)| peer.coordinates_limits(now));
        coordinators.map(|(name, peer)| CoordinatorPeer {
            name,
            address: peer.address,
            data_centre: &peer.data_centre,
        })
    }

    /// Returns whether a peer is live.
    pub fn is_live_peer(&self, name: &str, now: Millis) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.is_live(now))
    }

    /// Returns the number of live peers in a data centre.
    pub fn live_count_in(&self, data_centre: &str, now: Millis) -> usize {
        let near = self.peers.values().filter(|peer| peer.data_centre == data_centre);
        near.filter(|peer| peer.is_live(now)).count()
    }

    /// Adds a peer or updates its address; returns whether it is new.
    pub fn upsert(
        &mut self,
        name: &str,
        address: SocketAddr,
        data_centre: &str,
        now: Millis,
    ) -> bool {
        let is_new = !self.peers.contains_key(name);
        let peer = self.peers.entry(name.to_owned()).or_insert_with(|| Peer {
            address,
            data_centre: data_centre.to_owned(),
            added_at: now,
            last_received: None,
            state: PeerState::default(),
            config_since: now,
            last_stamp: None,
            hash: name_hash(name),
            report: None,
            sending_since: None,
            skipped_until: 0,
            coordinator_reported: None,
            live_reported: None,
        });
        peer.address = address;
        is_new
    }

    /// Returns the peers that were silent for so long that their VMs must have been removed.
    pub fn expired(&self, now: Millis) -> Vec<String> {
        let expired = self.peers.iter().filter(|(_, peer)| peer.is_expired(now));
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address of a peer.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.address)
    }

    /// Returns whether a peer is known to be in a data centre.
    pub fn is_in(&self, name: &str, data_centre: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.data_centre == data_centre)
    }

    /// Removes a peer.
    pub fn remove(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Returns whether a message with this stamp is the first one of a peer since its start, or
    /// since it was last live.
    pub fn is_returning(&self, name: &str, stamp: PeerStamp, now: Millis) -> bool {
        let Some(peer) = self.peers.get(name) else { return true };
        let same = peer.last_stamp.is_some_and(|(last, _)| last.incarnation == stamp.incarnation);
        !same || !peer.is_live(now)
    }

    /// Records the state in a message of a known peer; returns `false` for an unknown peer and for
    /// a message that was overtaken by a later one, which says nothing about the present state.
    pub fn record_message(
        &mut self,
        name: &str,
        state: PeerState,
        stamp: PeerStamp,
        now: Millis,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(name) else { return false };
        if peer.last_stamp.is_some_and(|(last, _)| stamp.is_before(last)) {
            return false;
        }
        peer.last_received = Some(now);
        peer.skipped_until = 0;
        if state.config_version != peer.state.config_version {
            peer.config_since = now;
        }
        peer.state = state;
        peer.last_stamp = Some((stamp, now));
        true
    }

    /// Records how the sender of a message reports to this relay.
    pub fn record_report(&mut self, name: &str, kind: ReportKind, now: Millis) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.report = (kind != ReportKind::None).then_some((kind, now));
        }
    }

    /// Returns the newest stamp of a peer, and the time since it arrived.
    pub fn echo(&self, name: &str, now: Millis) -> Option<(PeerStamp, Millis)> {
        let (stamp, arrived) = self.peers.get(name)?.last_stamp?;
        Some((stamp, now.saturating_sub(arrived)))
    }

    /// Returns name and address of each peer, and whether it is in the given data centre.
    pub fn others<'a>(
        &'a self,
        data_centre: &'a str,
    ) -> impl Iterator<Item = (&'a str, SocketAddr, bool)> {
        self.peers
            .iter()
            .map(move |(name, peer)| (name.as_str(), peer.address, peer.data_centre == data_centre))
    }

    /// Returns whether this relay is the one that gives orders: its
    /// [`PeerTable::rank`] is 0.
    pub fn is_leader(&self, name: &str, fleet_is_fresh: bool, now: Millis) -> bool {
        self.rank(name, fleet_is_fresh, now) == Some(0)
    }

    /// Returns the number of live speakers that precede this relay by name. If any relay has a
    /// recent list of replicas, only such speakers count. Returns `None` for members, and for a
    /// relay without a recent list if another relay has one.
    pub fn rank(&self, name: &str, fleet_is_fresh: bool, now: Millis) -> Option<usize> {
        if self.is_member {
            return None;
        }
        let live = || {
            let is_speaker = |peer: &Peer| peer.is_live(now) && !peer.state.is_member;
            self.peers.iter().filter(move |(_, peer)| is_speaker(peer))
        };
        let informed = || live().filter(|(_, peer)| peer.state.fleet_is_fresh);
        let is_before = |(other, _): &(&String, &Peer)| other.as_str() < name;
        match (fleet_is_fresh, informed().next().is_some()) {
            (true, _) => Some(informed().filter(is_before).count()),
            (false, true) => None,
            // A relay without a live peer that has lost the store is cut off; the others decide.
            (false, false) if live().next().is_none() => self.peers.is_empty().then_some(0),
            (false, false) => Some(live().filter(is_before).count()),
        }
    }

    /// Returns whether callers are better served by another relay.
    ///
    /// `own_age` is the age of this relay's proof of the configuration; `is_lost` says that its
    /// last read failed. Callers are redirected if another relay has a younger proof, or if none of
    /// this relay's peers is live and it is cut off itself. If all relays have lost the store, none
    /// redirects its callers.
    pub fn should_redirect(&self, own_age: Millis, is_lost: bool, now: Millis) -> bool {
        let max_age = if is_lost { REDIRECT_AGE_LOST } else { REDIRECT_AGE };
        if own_age < max_age || self.peers.is_empty() {
            return false;
        }
        let mut live = self.peers.values().filter(|peer| peer.is_live(now)).peekable();
        if live.peek().is_none() {
            return is_lost;
        }
        let proofs = live.filter_map(|peer| peer.config_age(now));
        proofs.min().is_some_and(|age| age.saturating_add(REDIRECT_MARGIN) <= own_age)
    }
}

/// Margin by which another relay's proof must be younger for callers to be redirected, in
/// milliseconds.
const REDIRECT_MARGIN: Millis = 300;

impl Peer {
    /// Returns the present age of its proof of the configuration.
    fn config_age(&self, now: Millis) -> Option<Millis> {
        let age = now.saturating_sub(self.last_received?);
        Some(self.state.config_age?.saturating_add(age))
    }

    fn is_live(&self, now: Millis) -> bool {
        self.last_received.is_some_and(|received| now.saturating_sub(received) < PEER_TIMEOUT)
    }
}
