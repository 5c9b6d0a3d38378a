//! Who follows the store for a relay, and whom it asks for what the store holds.

use std::{net::SocketAddr, ops::Bound};

use switchfold_core::hash::hash_bytes;

use super::{PEER_TIMEOUT, Peer, PeerTable, name_hash};
use crate::{Millis, follow::SourceOrder};

/// Time since another relay's last answer of the store up to which it spares a relay its own reads, in
/// milliseconds. The one that follows has an answer every wait of a second and pause of 150 ms, and tells it
/// within 200 ms; that leaves one message to be lost. The least of the users' bounds on old state is 2 s: a tenth
/// of a second passes until the age is looked at, and the read itself takes its time.
pub const MAX_PEER_READ_AGE: Millis = 1_600;

/// A relay that can tell what the store holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotSource<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it is.
    pub address: SocketAddr,
    /// Whether it comes before the asking relay, or behind.
    pub order: SourceOrder,
}

/// Counts of live relays of a data centre before one of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PrecedingPeers {
    /// All of them.
    pub live: usize,
    /// Those that lost the store for the configuration.
    pub lost_config: usize,
    /// Those that lost the store for the list of replicas.
    pub lost_fleet: usize,
}

impl PeerTable {
    /// Whether another relay of the data centre follows the configuration for this one, which has
    /// `version`. One that says that it lost the store ends that at once, whatever it proved before.
    pub fn config_read_by_peer(
        &self,
        own: &str,
        data_centre: &str,
        version: u64,
        now: Millis,
    ) -> bool {
        let newer = self.peer_has_newer_config(own, data_centre, version, now);
        let mut followed =
            self.earlier(own, data_centre, now).filter(|peer| !peer.state.config_is_lost);
        is_recent(self.config_answered, now) && !newer && followed.next().is_some()
    }

    /// Whether a relay of the data centre that may follow for this one has a newer configuration.
    pub fn peer_has_newer_config(
        &self,
        own: &str,
        data_centre: &str,
        version: u64,
        now: Millis,
    ) -> bool {
        self.earlier(own, data_centre, now).any(|peer| peer.state.config_version > version)
    }

    /// Whether another relay of the data centre follows the list of replicas for this one; as
    /// [`PeerTable::config_read_by_peer`].
    pub fn fleet_read_by_peer(&self, own: &str, data_centre: &str, now: Millis) -> bool {
        let same = self.digest_differs_since.is_none_or(|since| now - since < DIGEST_GRACE);
        let mut followed = self.earlier(own, data_centre, now);
        is_recent(self.fleet_answered, now)
            && same
            && followed.any(|peer| peer.state.fleet_is_fresh && !peer.state.fleet_is_lost)
    }

    /// Compares this relay's list of replicas with that of the one that it follows; tells whether they
    /// are the same.
    pub fn compare_digest(
        &mut self,
        own: &str,
        data_centre: &str,
        digest: u64,
        now: Millis,
    ) -> bool {
        let first = self.earlier(own, data_centre, now).find(|peer| peer.state.fleet_is_fresh);
        let same = first.is_none_or(|first| first.state.fleet_digest == digest);
        self.digest_differs_since = match (same, self.digest_differs_since) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
        same
    }

    /// Relay of the data centre that can tell the configuration to one that has `version`: the first by name
    /// that has a newer one, or that the store answered lately.
    pub fn config_source<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        version: u64,
        now: Millis,
    ) -> Option<SnapshotSource<'a>> {
        self.teller(own, data_centre, now, |peer| {
            let state = &peer.state;
            let age = state.config_answer_age.filter(|_| !state.config_is_lost);
            state.config_version > version
                || (state.config_version == version && peer.is_within_followed_age(age, now))
        })
    }

    /// Relay of the data centre that can tell the list of replicas: the first by name that reads the store itself,
    /// and that it answered lately. What others hold was told to them, and is as of no one revision; it serves one
    /// that `holds_none` all the same, which can only be better off. Whoever holds none asks one of those that hold a
    /// recent list, each another one: after a stop of all, a hundred relays that asked the one that reads the
    /// store would want all of its link at once.
    pub fn fleet_source<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        holds_none: bool,
        now: Millis,
    ) -> Option<SnapshotSource<'a>> {
        let reads = |peer: &Peer| {
            let age = peer.state.fleet_read_age.filter(|_| !peer.state.fleet_is_lost);
            peer.is_within_followed_age(age, now)
        };
        if !holds_none {
            let heard = self.teller(own, data_centre, now, reads);
            return heard.or_else(|| self.vouched_reader(own, now));
        }
        let drawn = self.drawn_teller(own, data_centre, now, |peer| peer.state.fleet_is_fresh);
        drawn.or_else(|| self.teller(own, data_centre, now, |peer| peer.state.fleet_age.is_some()))
    }

    /// The one of those that can tell that this relay asks: by the hash of both names, so that others ask others.
    fn drawn_teller<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        now: Millis,
        can_tell: impl Fn(&Peer) -> bool,
    ) -> Option<SnapshotSource<'a>> {
        let seed = hash_bytes(0, own.as_bytes());
        let near = self.peers.iter().filter(|(_, peer)| peer.data_centre == data_centre);
        let able = near.filter(|(_, peer)| peer.is_live(now) && can_tell(peer));
        let (name, peer) = able.max_by_key(|(name, _)| hash_bytes(seed, name.as_bytes()))?;
        Some(SnapshotSource { name, address: peer.address, order: teller_place(name, own) })
    }

    /// The relay that reads the list of replicas, which a member does not hear itself.
    fn vouched_reader<'a>(&'a self, own: &str, now: Millis) -> Option<SnapshotSource<'a>> {
        let reader = self.reader.as_ref().filter(|_| self.is_member);
        let (name, _) = reader.filter(|(_, at)| now.saturating_sub(*at) < PEER_TIMEOUT)?;
        let address = self.peers.get(name)?.address;
        Some(SnapshotSource { name, address, order: teller_place(name, own) })
    }

    /// Hash of the name of the relay that reads the list of replicas for the data centre, where another one does.
    pub fn reader_hash(&self, data_centre: &str, now: Millis) -> Option<u32> {
        let near = self.peers.values().filter(|peer| peer.data_centre == data_centre);
        let mut readers = near.filter(|peer| {
            let age = peer.state.fleet_read_age.filter(|_| !peer.state.fleet_is_lost);
            peer.is_within_followed_age(age, now)
        });
        let heard = readers.next().map(|peer| peer.hash);
        heard.or_else(|| self.vouched_reader("", now).map(|reader| name_hash(reader.name)))
    }

    fn teller<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        now: Millis,
        can_tell: impl Fn(&Peer) -> bool,
    ) -> Option<SnapshotSource<'a>> {
        let near = self.peers.iter().filter(|(_, peer)| peer.data_centre == data_centre);
        let mut live = near.filter(|(_, peer)| peer.is_live(now));
        let (name, peer) = live.find(|(_, peer)| can_tell(peer))?;
        Some(SnapshotSource { name, address: peer.address, order: teller_place(name, own) })
    }

    /// Count of live relays of the data centre before this one, and of those among them that lost the store
    /// for the configuration and for the list of replicas.
    pub fn preceding(&self, own: &str, data_centre: &str, now: Millis) -> PrecedingPeers {
        let mut before = PrecedingPeers::default();
        for peer in self.earlier(own, data_centre, now) {
            before.live += 1;
            before.lost_config += usize::from(peer.state.config_is_lost);
            before.lost_fleet += usize::from(peer.state.fleet_is_lost);
        }
        before
    }

    /// First live relay of the data centre by name, this one apart.
    pub fn first_live_peer<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        now: Millis,
    ) -> Option<SnapshotSource<'a>> {
        self.teller(own, data_centre, now, |_| true)
    }

    /// Whether no live relay of the data centre comes before this one by name.
    pub fn is_data_centre_leader(&self, own: &str, data_centre: &str, now: Millis) -> bool {
        self.earlier(own, data_centre, now).next().is_none()
    }

    /// Live relays of the data centre before this one by name.
    fn earlier<'a>(
        &'a self,
        own: &'a str,
        data_centre: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Peer> {
        self.peers
            .range::<str, _>((Bound::Unbounded, Bound::Excluded(own)))
            .map(|(_, peer)| peer)
            .filter(move |peer| peer.data_centre == data_centre && peer.is_live(now))
    }
}

fn teller_place(name: &str, own: &str) -> SourceOrder {
    match name < own {
        true => SourceOrder::Before,
        false => SourceOrder::Behind,
    }
}

/// Time for which two lists of replicas may differ, in milliseconds: a change is told at once, and a
/// lost message shows in the next two.
const DIGEST_GRACE: Millis = 500;

fn is_recent(answered: Option<Millis>, now: Millis) -> bool {
    answered.is_some_and(|answered| now.saturating_sub(answered) < MAX_PEER_READ_AGE)
}

impl Peer {
    /// Whether an age that it told is below [`MAX_PEER_READ_AGE`] by now.
    fn is_within_followed_age(&self, told: Option<Millis>, now: Millis) -> bool {
        let since = self.heard.map(|heard| now.saturating_sub(heard));
        told.zip(since).is_some_and(|(told, since)| told + since < MAX_PEER_READ_AGE)
    }
}
