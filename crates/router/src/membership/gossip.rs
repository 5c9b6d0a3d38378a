//! Whom a relay tells its state, and who speaks for whom.
//!
//! If all relays told each other, what each sends and hears would grow with their count, until a small VM had no processor
//! left for callers. So in a data centre of more than [`SPEAKERS`] relays the first ones by name, the *speakers*, tell
//! each other and the speakers of the other data centres. Each other relay is a *member*: it reports to two speakers,
//! which hand on sums of what their members promised, and what these found. There is no vote: whoever is reported to speaks
//! for the one that reports.
//!
//! A relay reports only to relays that come before it by name, so no figure comes back to where it came from.
//!
//! | worst case | what follows |
//! |---|---|
//! | a speaker ends | its members go on hearing their second one; [`PEER_TIMEOUT`] later they report to another |
//! | all speakers of a data centre end at once | members pass over two silent ones each [`PEER_TIMEOUT`], until they come first themselves |
//! | relays differ on who is there | a member is counted late, or twice, for as long as figures of room are kept |

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use switchfold_core::hash::hash_bytes;

use super::{PEER_EXPIRY, PEER_TIMEOUT, Peer, PeerTable};
use crate::Millis;

/// Speakers of a data centre. As many tell each other everything at little cost; each speaks for an eighth of the others.
pub const SPEAKERS: usize = 8;

/// Speakers that a member reports to: the loss of one is bridged by the other.
const REPORTED_TO: usize = 2;

/// Time for which a silent speaker is passed over unless it is heard again or another relay says that it hears it, in
/// milliseconds: tried sooner, those that are gone would take reports that reach nobody.
const PASS_TIME: Millis = PEER_EXPIRY;

/// Time since its last report for which a member is told, in milliseconds: a process that restarts is back within it, and
/// learns from its speakers what it would have to ask the store.
const MEMBER_KEPT: Millis = 10_000;

/// Whether the sender of a message reports to the receiver.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportKind {
    /// It does not.
    #[default]
    None,
    /// It does, and another relay counts what it promised.
    Spare,
    /// It does, and the receiver counts what it promised.
    Counted,
}

/// What a message to a relay is for.
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

/// A relay that is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipPeer {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// What for.
    pub leg: GossipLink,
}

/// Relays that a relay tells.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GossipPlan {
    /// Whether it is a member.
    pub is_member: bool,
    /// The others.
    pub peers: Vec<GossipPeer>,
}

/// Hash of a relay's name, as messages name it.
pub fn name_hash(name: &str) -> u32 {
    // The upper half: the lower bits of short texts differ little.
    (hash_bytes(0, name.as_bytes()) >> 32) as u32
}

/// First relays by name.
fn first_of<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    names.take(SPEAKERS).collect()
}

impl PeerTable {
    /// Decides whom to tell now, and whether this relay is a member.
    pub fn plan_gossip(&mut self, own: &str, data_centre: &str, now: Millis) -> GossipPlan {
        self.pass_over_silent(now);
        let speakers = self.near_speakers(own, data_centre, now);
        let is_member = !speakers.iter().any(|name| name == own);
        let legs = match is_member {
            true => self.report_legs(own, &speakers, now),
            false => self.speaker_legs(own, data_centre, speakers, now),
        };
        self.is_member = is_member;
        self.note_told(&legs, now);
        let legs = self.with_members(legs, now);
        let address = |name: &str| self.peers.get(name).map(|peer| peer.address);
        let peers = legs
            .into_iter()
            .filter_map(|(name, leg)| Some(GossipPeer { address: address(&name)?, name, leg }));
        GossipPlan { is_member, peers: peers.collect() }
    }

    /// Whether this relay is a member, as last decided.
    pub fn is_member(&self) -> bool {
        self.is_member
    }

    /// Notes which relays that keep limits, and which one that reads the list of replicas, another relay hears.
    pub fn record_vouched(&mut self, keepers: &[u32], reader: Option<u32>, now: Millis) {
        for (name, peer) in &mut self.peers {
            if keepers.contains(&peer.hash) {
                peer.vouched = Some(now);
                peer.passed_until = 0;
            }
            if reader == Some(peer.hash) {
                self.reader = Some((name.clone(), now));
            }
        }
    }

    /// Notes which members another speaker of the data centre hears.
    pub fn record_members(&mut self, members: &[u32], now: Millis) {
        for peer in self.peers.values_mut().filter(|peer| members.contains(&peer.hash)) {
            peer.alive = Some(now);
        }
    }

    /// Hashes of the members that this relay hears.
    pub fn member_hashes(&self, now: Millis) -> Vec<u32> {
        let members = self.peers.values().filter(|peer| peer.reports_now(now) != ReportKind::None);
        members.map(|peer| peer.hash).collect()
    }

    /// Hashes of the other relays that keep limits, as far as this one or its speakers hear them.
    pub fn keeper_hashes(&self, now: Millis) -> Vec<u32> {
        let keepers = self.peers.values().filter(|peer| peer.keeps_limits(now));
        keepers.map(|peer| peer.hash).collect()
    }

    /// How a relay reports to this one.
    pub fn report_kind(&self, name: &str, now: Millis) -> ReportKind {
        self.peers.get(name).map_or(ReportKind::None, |peer| peer.reports_now(now))
    }

    /// Whether any relay reports to this one.
    pub fn has_members(&self, now: Millis) -> bool {
        self.peers.values().any(|peer| peer.reports_now(now) != ReportKind::None)
    }

    /// Count of speakers that are known, this relay among them, and of those that are heard.
    pub fn speaker_counts(&self, data_centre: &str, now: Millis) -> (usize, usize) {
        let mut places: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        places.insert(data_centre, (1, 1));
        for peer in self.peers.values() {
            let (known, heard) = places.entry(&peer.data_centre).or_default();
            if *known < SPEAKERS {
                *known += 1;
                *heard += usize::from(peer.is_live(now));
            }
        }
        places.values().fold((0, 0), |sum, place| (sum.0 + place.0, sum.1 + place.1))
    }

    /// Count of known relays of a data centre beside this one.
    pub fn known_count_in(&self, data_centre: &str) -> usize {
        self.peers.values().filter(|peer| peer.data_centre == data_centre).count()
    }

    /// Relays whose VMs must be gone and whose objects this relay is to remove from the store: the first of each data centre
    /// removes those there, and where none is left the one that gives the first orders.
    pub fn removable(
        &self,
        own: &str,
        data_centre: &str,
        fleet_is_fresh: bool,
        now: Millis,
    ) -> Vec<String> {
        let is_data_centre_leader =
            !self.is_member && self.is_data_centre_leader(own, data_centre, now);
        let is_first = !self.is_member && self.is_leader(own, fleet_is_fresh, now);
        let is_left = |place: &str| {
            let mut there = self.peers.values().filter(|peer| peer.data_centre == place);
            there.any(|peer| !peer.is_gone(now))
        };
        let gone = self.peers.iter().filter(|(_, peer)| peer.is_gone(now));
        let removable = gone.filter(|(_, peer)| match peer.data_centre == data_centre {
            true => is_data_centre_leader,
            false => is_first && !is_left(&peer.data_centre),
        });
        removable.map(|(name, _)| name.clone()).collect()
    }

    fn pass_over_silent(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            let Some(since) = peer.told_since else { continue };
            let heard = peer.heard.unwrap_or_default().max(since);
            if now.saturating_sub(heard) >= PEER_TIMEOUT {
                peer.passed_until = now + PASS_TIME;
                peer.told_since = None;
            }
        }
    }

    /// Speakers of a data centre by name, those passed over left out.
    fn near_speakers(&self, own: &str, data_centre: &str, now: Millis) -> Vec<String> {
        let near = self.near(data_centre).filter(|(_, peer)| peer.passed_until <= now);
        let mut names: Vec<&str> = near.map(|(name, _)| name).take(SPEAKERS).collect();
        let place = names.partition_point(|name| *name < own);
        names.insert(place, own);
        names.truncate(SPEAKERS);
        names.into_iter().map(str::to_owned).collect()
    }

    fn near<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = (&'a str, &'a Peer)> {
        let near = self.peers.iter().filter(move |(_, peer)| peer.data_centre == data_centre);
        near.map(|(name, peer)| (name.as_str(), peer))
    }

    /// The speakers that a member reports to: those that come first by the hash of both names, so that each speaker gets an
    /// even part. The first of them that is heard counts what it promised.
    fn report_legs(
        &self,
        own: &str,
        speakers: &[String],
        now: Millis,
    ) -> BTreeMap<String, GossipLink> {
        let seed = hash_bytes(0, own.as_bytes());
        let mut ranked: Vec<&String> = speakers.iter().collect();
        ranked.sort_by_key(|name| Reverse(hash_bytes(seed, name.as_bytes())));
        ranked.truncate(REPORTED_TO);
        let is_live =
            |name: &&String| self.peers.get(name.as_str()).is_some_and(|peer| peer.is_live(now));
        let counting = ranked.iter().find(|name| is_live(name)).or(ranked.first()).copied();
        let leg = |name: &String| match counting == Some(name) {
            true => GossipLink::Report(ReportKind::Counted),
            false => GossipLink::Report(ReportKind::Spare),
        };
        ranked.iter().map(|name| ((*name).clone(), leg(name))).collect()
    }

    /// Speakers of all data centres, and whoever takes itself for one. Those passed over are told all the same, beside those in
    /// their place: one that is back, or was cut off, learns at once that the others are there.
    fn speaker_legs(
        &self,
        own: &str,
        data_centre: &str,
        speakers: Vec<String>,
        now: Millis,
    ) -> BTreeMap<String, GossipLink> {
        let mut legs: BTreeMap<String, GossipLink> = BTreeMap::new();
        let mut places: BTreeMap<&str, Vec<(&str, &Peer)>> = BTreeMap::new();
        for (name, peer) in &self.peers {
            places.entry(&peer.data_centre).or_default().push((name, peer));
        }
        for (place, peers) in &places {
            let leg = if *place == data_centre { GossipLink::Near } else { GossipLink::Far };
            let heeded = peers.iter().filter(|(_, peer)| peer.passed_until <= now);
            let all = first_of(peers.iter().map(|(name, _)| *name));
            let speaks = |peer: &Peer| peer.is_live(now) && !peer.state.is_member;
            let speaking = peers.iter().filter(|(_, peer)| speaks(peer)).map(|(name, _)| *name);
            let first = first_of(heeded.map(|(name, _)| *name));
            let told = all.into_iter().chain(first).chain(speaking);
            legs.extend(told.map(|name| (name.to_owned(), leg)));
        }
        let near = speakers.into_iter().filter(|name| name != own);
        legs.extend(near.map(|name| (name, GossipLink::Near)));
        legs
    }

    /// Notes since when each relay is told, from which its silence counts.
    fn note_told(&mut self, legs: &BTreeMap<String, GossipLink>, now: Millis) {
        for (name, peer) in &mut self.peers {
            let is_told = legs.contains_key(name) && peer.passed_until <= now;
            peer.told_since = is_told.then(|| peer.told_since.unwrap_or(now));
        }
    }

    /// Adds the members of this relay.
    fn with_members(
        &self,
        mut legs: BTreeMap<String, GossipLink>,
        now: Millis,
    ) -> BTreeMap<String, GossipLink> {
        for (name, peer) in &self.peers {
            let Some((kind, at)) = peer.report else { continue };
            if now.saturating_sub(at) < MEMBER_KEPT {
                legs.insert(name.clone(), GossipLink::Member(kind));
            }
        }
        legs
    }
}

impl Peer {
    /// How it reports to this relay, where it was heard lately.
    fn reports_now(&self, now: Millis) -> ReportKind {
        self.report.filter(|_| self.is_live(now)).map_or(ReportKind::None, |(kind, _)| kind)
    }

    /// Whether it is one that others are asked to give grants, by its own word or that of a relay that hears it.
    pub(super) fn keeps_limits(&self, now: Millis) -> bool {
        let is_vouched = self.vouched.is_some_and(|at| now.saturating_sub(at) < PEER_TIMEOUT);
        self.is_live(now) && self.state.keeps_limits || is_vouched
    }

    /// Whether nobody heard it for so long that its VM must be gone.
    pub(super) fn is_gone(&self, now: Millis) -> bool {
        let words = [self.heard, self.alive, self.vouched, Some(self.learnt)];
        let last = words.into_iter().flatten().max().unwrap_or_default();
        now.saturating_sub(last) >= PEER_EXPIRY
    }
}
