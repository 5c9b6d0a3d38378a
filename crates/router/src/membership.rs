//! The other relays: who is there, who gives orders, and who follows the store.
//!
//! Relays hear each other a few times a second. From that alone each decides two things, without a vote:
//! the first by name gives the orders to engines, and in each data centre the first by name follows the
//! store for the others. A wrong guess is harmless in both cases: orders are fenced by the engines' own
//! counts, and one that follows the store needlessly only pays for its calls.
//!
//! | module | decides |
//! |---|---|
//! | `gossip` | which relays tell each other, and who speaks for whom |
//! | `proofs` | what messages of other relays prove, and how old that is |
//! | `sources` | who follows the store for a relay, and whom it asks |

use std::{collections::BTreeMap, net::SocketAddr};

mod gossip;
mod proofs;
mod sources;

pub use self::{
    gossip::{GossipLink, GossipPeer, GossipPlan, ReportKind, SPEAKERS, name_hash},
    proofs::{OwnState, PeerProof, PeerProofs, PeerStamp, proof_time},
    sources::{MAX_PEER_READ_AGE, PrecedingPeers, SnapshotSource},
};
use crate::Millis;

/// Silence after which a relay is taken for gone, in milliseconds: three messages in a row were lost.
pub const PEER_TIMEOUT: Millis = 1_600;

/// Age of its own proof of the configuration from which a relay leaves new callers to others that have a
/// younger one, in milliseconds: above what a relay has that others follow the store for, and a second
/// before keys are refused at a usual bound of 5 s.
pub const STEP_ASIDE_AGE: Millis = 2_600;

/// The same for a relay whose last read of the configuration failed.
pub const STEP_ASIDE_AGE_LOST: Millis = 1_300;

/// Silence after which a relay is forgotten, in milliseconds: several windows of the shared budget of
/// repeats, so that one that is only cut off keeps its share; a VM that is replaced has another name.
pub const PEER_EXPIRY: Millis = 60_000;

/// What a relay says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerState {
    /// Whether its list of replicas is recent.
    pub fleet_is_fresh: bool,
    /// Whether its last read of that list failed: it follows for nobody.
    pub fleet_is_lost: bool,
    /// Digest of its list of replicas.
    pub fleet_digest: u64,
    /// Whether its last read of the configuration failed.
    pub config_is_lost: bool,
    /// Version of its configuration.
    pub config_version: u64,
    /// Age of its proof of the configuration, in milliseconds; nothing where it has none.
    pub config_age: Option<Millis>,
    /// Age of its proof of its list of replicas, in milliseconds; nothing where it has none.
    pub fleet_age: Option<Millis>,
    /// Time since it last had an answer of the store for its list of replicas itself, in milliseconds; nothing
    /// where another relay follows for it.
    pub fleet_read_age: Option<Millis>,
    /// Time since the store last answered for the configuration, to it or to one that it follows, in
    /// milliseconds.
    pub config_answer_age: Option<Millis>,
    /// The same for the list of replicas.
    pub fleet_answer_age: Option<Millis>,
    /// Whether it keeps limits of replicas.
    pub keeps_limits: bool,
    /// Whether others speak for it: it gives no orders.
    pub is_member: bool,
}

/// A relay that keeps limits.
#[derive(Clone, Copy, Debug)]
pub struct KeeperPeer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it is.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: &'a str,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: String,
    learnt: Millis,
    heard: Option<Millis>,
    state: PeerState,
    last_stamp: Option<(PeerStamp, Millis)>,
    /// Hash of its name.
    hash: u32,
    /// How it reported to this relay last, and when.
    report: Option<(ReportKind, Millis)>,
    /// Since when it has been told by this relay without a pause.
    told_since: Option<Millis>,
    /// Until when others are told in its place.
    passed_until: Millis,
    /// When another relay last said that it hears it keep limits.
    vouched: Option<Millis>,
    /// When another relay last said that it is there.
    alive: Option<Millis>,
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
    /// The relay of the data centre that reads the list of replicas, by another's word, and when that was said.
    reader: Option<(String, Millis)>,
}

impl PeerTable {
    /// Count of relays that are not forgotten: an upper bound of those that spend a shared budget.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    /// Count of relays that were heard lately.
    pub fn live_count(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| peer.is_live(now)).count()
    }

    /// Count of relays that were heard lately and are no members.
    pub fn live_speaker_count(&self, now: Millis) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.filter(|peer| !peer.state.is_member).count()
    }

    /// Name of the relay at an address.
    pub fn name_at(&self, address: SocketAddr) -> Option<&str> {
        let at = self.peers.iter().find(|(_, peer)| peer.address == address);
        at.map(|(name, _)| name.as_str())
    }

    /// Relays that keep limits, by their own word or that of one that hears them.
    pub fn keepers(&self, now: Millis) -> impl Iterator<Item = KeeperPeer<'_>> {
        let keepers = self.peers.iter().filter(move |(_, peer)| peer.keeps_limits(now));
        keepers.map(|(name, peer)| KeeperPeer {
            name,
            address: peer.address,
            data_centre: &peer.data_centre,
        })
    }

    /// Whether a relay was heard lately.
    pub fn is_live_peer(&self, name: &str, now: Millis) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.is_live(now))
    }

    /// Count of relays of a data centre that were heard lately.
    pub fn live_count_in(&self, data_centre: &str, now: Millis) -> usize {
        let near = self.peers.values().filter(|peer| peer.data_centre == data_centre);
        near.filter(|peer| peer.is_live(now)).count()
    }

    /// Learns where a relay is; tells whether it was not known before.
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
            learnt: now,
            heard: None,
            state: PeerState::default(),
            last_stamp: None,
            hash: name_hash(name),
            report: None,
            told_since: None,
            passed_until: 0,
            vouched: None,
            alive: None,
        });
        peer.address = address;
        is_new
    }

    /// Relays that were silent for so long that their VMs must be gone.
    pub fn expired(&self, now: Millis) -> Vec<String> {
        let gone = self.peers.iter().filter(|(_, peer)| peer.is_gone(now));
        gone.map(|(name, _)| name.clone()).collect()
    }

    /// Where a relay is.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.address)
    }

    /// Forgets a relay.
    pub fn forget(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Whether a message with this stamp is the first of a relay since its start, or since it was silent.
    pub fn is_returning(&self, name: &str, stamp: PeerStamp, now: Millis) -> bool {
        let Some(peer) = self.peers.get(name) else { return true };
        let same = peer.last_stamp.is_some_and(|(last, _)| last.incarnation == stamp.incarnation);
        !same || !peer.is_live(now)
    }

    /// Notes a message of a relay that was learnt; tells whether it was news. One that was stamped before
    /// another that came earlier was overtaken on its way, and says nothing of now.
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
        peer.heard = Some(now);
        peer.passed_until = 0;
        peer.state = state;
        peer.last_stamp = Some((stamp, now));
        true
    }

    /// Notes how the sender of a message that was heard reports to this relay.
    pub fn record_report(&mut self, name: &str, kind: ReportKind, now: Millis) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.report = (kind != ReportKind::None).then_some((kind, now));
        }
    }

    /// Newest stamp of a relay, and how long it has been held.
    pub fn echo(&self, name: &str, now: Millis) -> Option<(PeerStamp, Millis)> {
        let (stamp, heard) = self.peers.get(name)?.last_stamp?;
        Some((stamp, now.saturating_sub(heard)))
    }

    /// Relays to tell, with whether each is in the data centre given.
    pub fn others<'a>(
        &'a self,
        data_centre: &'a str,
    ) -> impl Iterator<Item = (&'a str, SocketAddr, bool)> {
        self.peers
            .iter()
            .map(move |(name, peer)| (name.as_str(), peer.address, peer.data_centre == data_centre))
    }

    /// Whether this relay is the first to give orders, as [`PeerTable::rank`] tells.
    pub fn is_leader(&self, name: &str, fleet_is_fresh: bool, now: Millis) -> bool {
        self.rank(name, fleet_is_fresh, now) == Some(0)
    }

    /// Count of speakers before this one by name, of those that are live and know the replicas, or of all live ones
    /// where none does; nothing where others know them and this one does not, and for members.
    pub fn rank(&self, name: &str, fleet_is_fresh: bool, now: Millis) -> Option<usize> {
        if self.is_member {
            return None;
        }
        let live = || {
            let speaks = |peer: &Peer| peer.is_live(now) && !peer.state.is_member;
            self.peers.iter().filter(move |(_, peer)| speaks(peer))
        };
        let informed = || live().filter(|(_, peer)| peer.state.fleet_is_fresh);
        let is_before = |(other, _): &(&String, &Peer)| other.as_str() < name;
        match (fleet_is_fresh, informed().next().is_some()) {
            (true, _) => Some(informed().filter(is_before).count()),
            (false, true) => None,
            // One that hears nobody and has lost the store is cut off; the others decide.
            (false, false) if live().next().is_none() => self.peers.is_empty().then_some(0),
            (false, false) => Some(live().filter(is_before).count()),
        }
    }

    /// Whether callers are served better elsewhere: this relay's proof of the configuration is `own_age`
    /// old, `is_lost` tells that its last read failed, and another relay has a younger proof, or this one
    /// hears none of those it knows and is cut off itself. Where all have lost the store nobody steps
    /// aside.
    pub fn should_redirect(&self, own_age: Millis, is_lost: bool, now: Millis) -> bool {
        let most = if is_lost { STEP_ASIDE_AGE_LOST } else { STEP_ASIDE_AGE };
        if own_age < most || self.peers.is_empty() {
            return false;
        }
        let mut live = self.peers.values().filter(|peer| peer.is_live(now)).peekable();
        if live.peek().is_none() {
            return is_lost;
        }
        let proofs = live.filter_map(|peer| peer.config_age(now));
        proofs.min().is_some_and(|age| age + YOUNGER_BY <= own_age)
    }
}

/// Time by which another relay's proof must be younger for callers to be left to it, in milliseconds.
const YOUNGER_BY: Millis = 300;

impl Peer {
    /// Age of its proof of the configuration by now.
    fn config_age(&self, now: Millis) -> Option<Millis> {
        Some(self.state.config_age? + now.saturating_sub(self.heard?))
    }

    fn is_live(&self, now: Millis) -> bool {
        self.heard.is_some_and(|heard| now.saturating_sub(heard) < PEER_TIMEOUT)
    }
}
