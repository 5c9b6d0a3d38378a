//! Which relays exchange state, and which relay aggregates the state of others.
//!
//! If all relays sent their state to each other, the traffic of each would grow with their number
//! until a small VM had no processor time left for callers. So the first [`SPEAKERS`] relays of a
//! data centre by name, its *speakers*, exchange state with each other and with the speakers of the
//! other data centres. Each other relay is a *member*: it reports to two speakers, which pass on
//! the sums of their members' reservations, and to their members what other relays report. There is
//! no vote: a speaker aggregates whatever is reported to it.
//!
//! A relay reports only to relays that precede it by name, so no figure returns to the relay that
//! it came from.
//!
//! | worst case | effect |
//! |---|---|
//! | a speaker ends | its members still exchange messages with their second speaker, and choose another one after [`PEER_TIMEOUT`] |
//! | all speakers of a data centre end at once | each [`PEER_TIMEOUT`], members skip two silent speakers, until they become speakers themselves |
//! | relays disagree on which peers are live | a member is counted late, or twice, for as long as reservations are kept |

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use switchfold_core::hash::hash_bytes;

use super::{PEER_EXPIRY, PEER_TIMEOUT, Peer, PeerTable};
use crate::Millis;

/// Number of speakers of a data centre. That many can exchange all state at little cost; each
/// aggregates an eighth of the other relays.
pub const SPEAKERS: usize = 8;

/// Number of speakers that a member reports to: if one is lost, the other one remains.
const SPEAKERS_PER_MEMBER: usize = 2;

/// Time for which a silent speaker is skipped, in milliseconds, unless a message from it arrives or
/// another relay reports that it is live. If it were retried sooner, members would send their
/// reports to speakers that no longer exist.
const SKIP_TIME: Millis = PEER_EXPIRY;

/// Time since its last report for which a member is still sent state, in milliseconds. A process
/// that restarts sends again within that time, and receives from its speakers what it would
/// otherwise have to read from the store.
const MEMBER_RETENTION: Millis = 10_000;

/// Whether the sender of a message reports to the receiver.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportKind {
    /// It does not.
    #[default]
    None,
    /// It reports, and another speaker counts its reservations.
    Spare,
    /// It reports, and the receiver counts its reservations.
    Counted,
}

/// Roles of sender and receiver of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipLink {
    /// From one speaker to another of its data centre.
    Near,
    /// From one speaker to another of another data centre.
    Far,
    /// From a member to a speaker.
    Report(ReportKind),
    /// From a speaker to a member.
    Member(ReportKind),
}

/// A relay that this one sends its state to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipPeer {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Roles of this relay and the peer.
    pub link: GossipLink,
}

/// The relays that a relay sends its state to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GossipPlan {
    /// Whether the sending relay is a member.
    pub is_member: bool,
    /// The receiving relays.
    pub peers: Vec<GossipPeer>,
}

/// Returns the hash of a relay's name by which messages refer to it.
pub fn name_hash(name: &str) -> u32 {
    // The upper half, since the lower bits of short texts differ little.
    (hash_bytes(0, name.as_bytes()) >> 32) as u32
}

/// Returns the first relays by name, as many as there are speakers.
fn first_speakers<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    names.take(SPEAKERS).collect()
}

impl PeerTable {
    /// Decides which relays are sent this relay's state now, and whether this relay is a member.
    pub fn plan_gossip(&mut self, own: &str, data_centre: &str, now: Millis) -> GossipPlan {
        self.skip_silent(now);
        let speakers = self.near_speakers(own, data_centre, now);
        let is_member = !speakers.iter().any(|name| name == own);
        let links = match is_member {
            true => self.report_links(own, &speakers, now),
            false => self.speaker_links(own, data_centre, speakers, now),
        };
        self.is_member = is_member;
        self.record_sending(&links, now);
        let links = self.with_members(links, now);
        let address = |name: &str| self.peers.get(name).map(|peer| peer.address);
        let peers = links
            .into_iter()
            .filter_map(|(name, link)| Some(GossipPeer { address: address(&name)?, name, link }));
        GossipPlan { is_member, peers: peers.collect() }
    }

    /// Returns whether this relay is a member, as of the last [`PeerTable::plan_gossip`].
    pub fn is_member(&self) -> bool {
        self.is_member
    }

    /// Records the report of another relay: which live peers of it coordinate rate limits, and
    /// which one reads the list of replicas. Both are hashes of names.
    pub fn record_reported_roles(
        &mut self,
        coordinators: &[u32],
        reader: Option<u32>,
        now: Millis,
    ) {
        for (name, peer) in &mut self.peers {
            if coordinators.contains(&peer.hash) {
                peer.coordinator_reported = Some(now);
                peer.skipped_until = 0;
            }
            if reader == Some(peer.hash) {
                self.reader = Some((name.clone(), now));
            }
        }
    }

    /// Records the live members of another speaker of the data centre, by the hashes of their
    /// names.
    pub fn record_members(&mut self, members: &[u32], now: Millis) {
        for peer in self.peers.values_mut().filter(|peer| members.contains(&peer.hash)) {
            peer.live_reported = Some(now);
        }
    }

    /// Returns the hashes of the names of this relay's live members.
    pub fn member_hashes(&self, now: Millis) -> Vec<u32> {
        let members =
            self.peers.values().filter(|peer| peer.current_report(now) != ReportKind::None);
        members.map(|peer| peer.hash).collect()
    }

    /// Returns the hashes of the names of the other relays that coordinate rate limits, as far as
    /// they are live for this relay or reported to it.
    pub fn coordinator_hashes(&self, now: Millis) -> Vec<u32> {
        let coordinators = self.peers.values().filter(|peer| peer.coordinates_limits(now));
        coordinators.map(|peer| peer.hash).collect()
    }

    /// Returns how a peer reports to this relay.
    pub fn report_kind(&self, name: &str, now: Millis) -> ReportKind {
        self.peers.get(name).map_or(ReportKind::None, |peer| peer.current_report(now))
    }

    /// Returns whether any relay reports to this one.
    pub fn has_members(&self, now: Millis) -> bool {
        self.peers.values().any(|peer| peer.current_report(now) != ReportKind::None)
    }

    /// Returns the number of known speakers, including this relay, and the number of those that are
    /// live.
    pub fn speaker_counts(&self, data_centre: &str, now: Millis) -> (usize, usize) {
        let mut data_centres: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        data_centres.insert(data_centre, (1, 1));
        for peer in self.peers.values() {
            let (known, live) = data_centres.entry(&peer.data_centre).or_default();
            if *known < SPEAKERS {
                *known += 1;
                *live += usize::from(peer.is_live(now));
            }
        }
        data_centres.values().fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
    }

    /// Returns the number of known peers in a data centre.
    pub fn known_count_in(&self, data_centre: &str) -> usize {
        self.peers.values().filter(|peer| peer.data_centre == data_centre).count()
    }

    /// Returns the relays whose VMs must have been removed and whose objects this relay is to
    /// remove from the store. The first live relay of a data centre removes those of its own; if a
    /// data centre has no relay left, the relay that gives orders removes them.
    pub fn removable(
        &self,
        own: &str,
        data_centre: &str,
        fleet_is_fresh: bool,
        now: Millis,
    ) -> Vec<String> {
        let is_data_centre_leader =
            !self.is_member && self.is_data_centre_leader(own, data_centre, now);
        let is_leader = !self.is_member && self.is_leader(own, fleet_is_fresh, now);
        let has_relays = |data_centre: &str| {
            let mut there = self.peers.values().filter(|peer| peer.data_centre == data_centre);
            there.any(|peer| !peer.is_expired(now))
        };
        let gone = self.peers.iter().filter(|(_, peer)| peer.is_expired(now));
        let removable = gone.filter(|(_, peer)| match peer.data_centre == data_centre {
            true => is_data_centre_leader,
            false => is_leader && !has_relays(&peer.data_centre),
        });
        removable.map(|(name, _)| name.clone()).collect()
    }

    fn skip_silent(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            let Some(since) = peer.sending_since else { continue };
            let last_received = peer.last_received.unwrap_or_default().max(since);
            if now.saturating_sub(last_received) >= PEER_TIMEOUT {
                peer.skipped_until = now + SKIP_TIME;
                peer.sending_since = None;
            }
        }
    }

    /// Returns the speakers of a data centre by name, without those that are skipped.
    fn near_speakers(&self, own: &str, data_centre: &str, now: Millis) -> Vec<String> {
        let near = self.near(data_centre).filter(|(_, peer)| peer.skipped_until <= now);
        let mut names: Vec<&str> = near.map(|(name, _)| name).take(SPEAKERS).collect();
        let index = names.partition_point(|name| *name < own);
        names.insert(index, own);
        names.truncate(SPEAKERS);
        names.into_iter().map(str::to_owned).collect()
    }

    fn near<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = (&'a str, &'a Peer)> {
        let near = self.peers.iter().filter(move |(_, peer)| peer.data_centre == data_centre);
        near.map(|(name, peer)| (name.as_str(), peer))
    }

    /// Returns the speakers that a member reports to: the first ones by the hash of both names, so
    /// that members spread evenly over the speakers. The first live one of them counts the member's
    /// reservations.
    fn report_links(
        &self,
        own: &str,
        speakers: &[String],
        now: Millis,
    ) -> BTreeMap<String, GossipLink> {
        let seed = hash_bytes(0, own.as_bytes());
        let mut ranked: Vec<&String> = speakers.iter().collect();
        ranked.sort_by_key(|name| Reverse(hash_bytes(seed, name.as_bytes())));
        ranked.truncate(SPEAKERS_PER_MEMBER);
        let is_live =
            |name: &&String| self.peers.get(name.as_str()).is_some_and(|peer| peer.is_live(now));
        let counting = ranked.iter().find(|name| is_live(name)).or(ranked.first()).copied();
        let link = |name: &String| match counting == Some(name) {
            true => GossipLink::Report(ReportKind::Counted),
            false => GossipLink::Report(ReportKind::Spare),
        };
        ranked.iter().map(|name| ((*name).clone(), link(name))).collect()
    }

    /// Returns the speakers of all data centres, and all relays that act as speakers. Skipped ones
    /// are sent to as well, beside those that take their place: a relay that has returned, or was
    /// cut off, learns at once which others are live.
    fn speaker_links(
        &self,
        own: &str,
        data_centre: &str,
        speakers: Vec<String>,
        now: Millis,
    ) -> BTreeMap<String, GossipLink> {
        let mut links: BTreeMap<String, GossipLink> = BTreeMap::new();
        let mut data_centres: BTreeMap<&str, Vec<(&str, &Peer)>> = BTreeMap::new();
        for (name, peer) in &self.peers {
            data_centres.entry(&peer.data_centre).or_default().push((name, peer));
        }
        for (name, peers) in &data_centres {
            let link = if *name == data_centre { GossipLink::Near } else { GossipLink::Far };
            let not_skipped = peers.iter().filter(|(_, peer)| peer.skipped_until <= now);
            let all = first_speakers(peers.iter().map(|(name, _)| *name));
            let is_speaker = |peer: &Peer| peer.is_live(now) && !peer.state.is_member;
            let acting = peers.iter().filter(|(_, peer)| is_speaker(peer)).map(|(name, _)| *name);
            let first = first_speakers(not_skipped.map(|(name, _)| *name));
            let receivers = all.into_iter().chain(first).chain(acting);
            links.extend(receivers.map(|name| (name.to_owned(), link)));
        }
        let near = speakers.into_iter().filter(|name| name != own);
        links.extend(near.map(|name| (name, GossipLink::Near)));
        links
    }

    /// Records since when each relay is sent to, from which its silence counts.
    fn record_sending(&mut self, links: &BTreeMap<String, GossipLink>, now: Millis) {
        for (name, peer) in &mut self.peers {
            let is_sent_to = links.contains_key(name) && peer.skipped_until <= now;
            peer.sending_since = is_sent_to.then(|| peer.sending_since.unwrap_or(now));
        }
    }

    /// Adds the members of this relay.
    fn with_members(
        &self,
        mut links: BTreeMap<String, GossipLink>,
        now: Millis,
    ) -> BTreeMap<String, GossipLink> {
        for (name, peer) in &self.peers {
            let Some((kind, at)) = peer.report else { continue };
            if now.saturating_sub(at) < MEMBER_RETENTION {
                links.insert(name.clone(), GossipLink::Member(kind));
            }
        }
        links
    }
}

impl Peer {
    /// Returns how it reports to this relay, if it is live.
    fn current_report(&self, now: Millis) -> ReportKind {
        self.report.filter(|_| self.is_live(now)).map_or(ReportKind::None, |(kind, _)| kind)
    }

    /// Returns whether relays ask it for grants of rate limits, by its own report or by that of
    /// another relay.
    pub(super) fn coordinates_limits(&self, now: Millis) -> bool {
        let is_reported =
            self.coordinator_reported.is_some_and(|at| now.saturating_sub(at) < PEER_TIMEOUT);
        self.is_live(now) && self.state.coordinates_limits || is_reported
    }

    /// Returns whether no relay has received its messages for so long that its VM must have been
    /// removed.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let signs = [
            self.last_received,
            self.live_reported,
            self.coordinator_reported,
            Some(self.added_at),
        ];
        let last = signs.into_iter().flatten().max().unwrap_or_default();
        now.saturating_sub(last) >= PEER_EXPIRY
    }
}
