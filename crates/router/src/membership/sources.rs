//! Which relay reads the store on behalf of another one, and which relay is asked for a snapshot of
//! the store's state.

use std::{net::SocketAddr, ops::Bound};

use switchfold_core::hash::hash_bytes;

use super::{PEER_TIMEOUT, Peer, PeerTable, name_hash};
use crate::{Millis, follow::SourceOrder};

/// Time since the store last answered another relay's read up to which that read replaces a read of
/// this relay, in milliseconds.
///
/// The reading relay gets an answer in each period of a 1 s watch and a 150 ms pause, and reports
/// it within 200 ms; the rest allows for one lost message. The smallest bound on old state that
/// users can set is 2 s: a tenth of a second passes until the age is checked, and the read itself
/// takes time.
pub const MAX_PEER_READ_AGE: Millis = 1_600;

/// Digest of an empty list of replicas.
pub const EMPTY_DIGEST: u64 = 0;

/// A relay that can send a snapshot of the store's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotSource<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it precedes the asking relay by name.
    pub order: SourceOrder,
}

/// Numbers of live relays of a data centre that precede one of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PrecedingPeers {
    /// All of them.
    pub live: usize,
    /// Those whose last read of the configuration failed.
    pub lost_config: usize,
    /// Those whose last read of the list of replicas failed.
    pub lost_fleet: usize,
}

impl PeerTable {
    /// Returns whether another relay of the data centre reads the configuration on behalf of this
    /// one, which has `version`. A relay that reports a failed read does not, whatever it proved
    /// before.
    pub fn config_read_by_peer(
        &self,
        own: &str,
        data_centre: &str,
        version: u64,
        now: Millis,
    ) -> bool {
        let newer = self.peer_has_newer_config(own, data_centre, version, now);
        let mut readers =
            self.preceding_peers(own, data_centre, now).filter(|peer| !peer.state.config_is_lost);
        is_recent(self.config_answered, now) && !newer && readers.next().is_some()
    }

    /// Returns whether a relay of the data centre that may read on behalf of this one has a newer
    /// configuration.
    pub fn peer_has_newer_config(
        &self,
        own: &str,
        data_centre: &str,
        version: u64,
        now: Millis,
    ) -> bool {
        self.preceding_peers(own, data_centre, now).any(|peer| peer.state.config_version > version)
    }

    /// Returns whether a relay of any data centre has a newer configuration.
    pub fn has_newer_config(&self, version: u64, now: Millis) -> bool {
        let mut live = self.peers.values().filter(|peer| peer.is_live(now));
        live.any(|peer| peer.state.config_version > version)
    }

    /// Returns whether a relay of any data centre had a newer configuration before `sent`. A read
    /// sent then that returns `version` shows that the store was restored from a backup.
    pub fn had_newer_config(&self, version: u64, sent: Millis, now: Millis) -> bool {
        let mut live = self.peers.values().filter(|peer| peer.is_live(now));
        live.any(|peer| peer.state.config_version > version && peer.config_since < sent)
    }

    /// Returns whether a relay of any data centre has a recent list of replicas that is not empty.
    pub fn has_replicas(&self, now: Millis) -> bool {
        let mut live = self.peers.values().filter(|peer| peer.is_live(now));
        live.any(|peer| peer.state.fleet_is_fresh && peer.state.fleet_digest != EMPTY_DIGEST)
    }

    /// Returns whether another relay of the data centre reads the list of replicas on behalf of
    /// this one, like [`PeerTable::config_read_by_peer`].
    pub fn fleet_read_by_peer(&self, own: &str, data_centre: &str, now: Millis) -> bool {
        let same = self.digest_differs_since.is_none_or(|since| now - since < DIGEST_GRACE);
        let mut preceding = self.preceding_peers(own, data_centre, now);
        is_recent(self.fleet_answered, now)
            && same
            && preceding.any(|peer| peer.state.fleet_is_fresh && !peer.state.fleet_is_lost)
    }

    /// Compares this relay's list of replicas with that of the relay that reads on its behalf;
    /// returns whether they are the same.
    pub fn compare_digest(
        &mut self,
        own: &str,
        data_centre: &str,
        digest: u64,
        now: Millis,
    ) -> bool {
        let first =
            self.preceding_peers(own, data_centre, now).find(|peer| peer.state.fleet_is_fresh);
        let same = first.is_none_or(|first| first.state.fleet_digest == digest);
        self.digest_differs_since = match (same, self.digest_differs_since) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
        same
    }

    /// Returns the relay of the data centre to ask for the configuration: the first one by name
    /// that has a newer version than `version`, or that has the same one and whose read the store
    /// answered recently.
    pub fn config_source<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        version: u64,
        now: Millis,
    ) -> Option<SnapshotSource<'a>> {
        self.first_source(own, data_centre, now, |peer| {
            let state = &peer.state;
            let age = state.config_answer_age.filter(|_| !state.config_is_lost);
            state.config_version > version
                || (state.config_version == version && peer.is_recent_read(age, now))
        })
    }

    /// Returns the relay of the data centre to ask for the list of replicas.
    ///
    /// It is the first one by name that reads the store itself and got a recent answer. The lists
    /// of other relays were sent to them and do not belong to one revision. A relay that
    /// `has_no_list` accepts one of those as well, since any list is better than none. Such relays
    /// are spread over all that have a recent list: when all relays start at once, a hundred of
    /// them would saturate the link of the single reader.
    pub fn fleet_source<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        has_no_list: bool,
        now: Millis,
    ) -> Option<SnapshotSource<'a>> {
        let reads = |peer: &Peer| {
            let age = peer.state.fleet_read_age.filter(|_| !peer.state.fleet_is_lost);
            peer.is_recent_read(age, now)
        };
        if !has_no_list {
            let direct = self.first_source(own, data_centre, now, reads);
            return direct.or_else(|| self.reported_reader(own, now));
        }
        let hashed = self.hashed_source(own, now, |peer| {
            peer.data_centre == data_centre && peer.state.fleet_is_fresh
        });
        hashed.or_else(|| {
            self.first_source(own, data_centre, now, |peer| peer.state.fleet_age.is_some())
        })
    }

    /// Returns the source that this relay asks, chosen by the hash of both names, so that other
    /// relays ask other sources.
    fn hashed_source<'a>(
        &'a self,
        own: &str,
        now: Millis,
        can_provide: impl Fn(&Peer) -> bool,
    ) -> Option<SnapshotSource<'a>> {
        let seed = hash_bytes(0, own.as_bytes());
        let able = self.peers.iter().filter(|(_, peer)| peer.is_live(now) && can_provide(peer));
        let (name, peer) = able.max_by_key(|(name, _)| hash_bytes(seed, name.as_bytes()))?;
        Some(SnapshotSource { name, address: peer.address, order: source_order(name, own) })
    }

    /// Returns the relay that reads the list of replicas according to a speaker's report; members
    /// receive no messages from it.
    fn reported_reader<'a>(&'a self, own: &str, now: Millis) -> Option<SnapshotSource<'a>> {
        let reader = self.reader.as_ref().filter(|_| self.is_member);
        let (name, _) = reader.filter(|(_, at)| now.saturating_sub(*at) < PEER_TIMEOUT)?;
        let address = self.peers.get(name)?.address;
        Some(SnapshotSource { name, address, order: source_order(name, own) })
    }

    /// Returns the hash of the name of the relay that reads the list of replicas for the data
    /// centre, if it is another one.
    pub fn reader_hash(&self, data_centre: &str, now: Millis) -> Option<u32> {
        let near = self.peers.values().filter(|peer| peer.data_centre == data_centre);
        let mut readers = near.filter(|peer| {
            let age = peer.state.fleet_read_age.filter(|_| !peer.state.fleet_is_lost);
            peer.is_recent_read(age, now)
        });
        let direct = readers.next().map(|peer| peer.hash);
        direct.or_else(|| self.reported_reader("", now).map(|reader| name_hash(reader.name)))
    }

    fn first_source<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        now: Millis,
        can_provide: impl Fn(&Peer) -> bool,
    ) -> Option<SnapshotSource<'a>> {
        let near = self.peers.iter().filter(|(_, peer)| peer.data_centre == data_centre);
        let mut live = near.filter(|(_, peer)| peer.is_live(now));
        let (name, peer) = live.find(|(_, peer)| can_provide(peer))?;
        Some(SnapshotSource { name, address: peer.address, order: source_order(name, own) })
    }

    /// Returns the numbers of live relays of the data centre that precede this one, and of those
    /// whose reads failed.
    pub fn preceding(&self, own: &str, data_centre: &str, now: Millis) -> PrecedingPeers {
        let mut preceding = PrecedingPeers::default();
        for peer in self.preceding_peers(own, data_centre, now) {
            preceding.live += 1;
            preceding.lost_config += usize::from(peer.state.config_is_lost);
            preceding.lost_fleet += usize::from(peer.state.fleet_is_lost);
        }
        preceding
    }

    /// Returns the first live peer of the data centre by name.
    pub fn first_live_peer<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        now: Millis,
    ) -> Option<SnapshotSource<'a>> {
        self.first_source(own, data_centre, now, |_| true)
    }

    /// Returns the relays to ask for the quarantined requests: the first live one of the data
    /// centre, which reads them from the store, and one of another data centre.
    pub fn quarantine_sources<'a>(
        &'a self,
        own: &str,
        data_centre: &str,
        now: Millis,
    ) -> impl Iterator<Item = SnapshotSource<'a>> {
        let near = self.first_live_peer(own, data_centre, now);
        let far = self.hashed_source(own, now, |peer| peer.data_centre != data_centre);
        near.into_iter().chain(far)
    }

    /// Returns whether no live relay of the data centre precedes this one by name.
    pub fn is_data_centre_leader(&self, own: &str, data_centre: &str, now: Millis) -> bool {
        self.preceding_peers(own, data_centre, now).next().is_none()
    }

    /// Returns the live relays of the data centre that precede this one by name.
    fn preceding_peers<'a>(
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

fn source_order(name: &str, own: &str) -> SourceOrder {
    match name < own {
        true => SourceOrder::Before,
        false => SourceOrder::After,
    }
}

/// Time for which two lists of replicas may differ, in milliseconds: a change is sent at once, and
/// after a lost message one of the next two reveals it.
const DIGEST_GRACE: Millis = 500;

fn is_recent(answered: Option<Millis>, now: Millis) -> bool {
    answered.is_some_and(|answered| now.saturating_sub(answered) < MAX_PEER_READ_AGE)
}

impl Peer {
    /// Returns whether a reported age, advanced to now, is below [`MAX_PEER_READ_AGE`].
    fn is_recent_read(&self, reported: Option<Millis>, now: Millis) -> bool {
        let since = self.last_received.map(|received| now.saturating_sub(received));
        reported
            .zip(since)
            .is_some_and(|(reported, since)| reported.saturating_add(since) < MAX_PEER_READ_AGE)
    }
}
