//! What relays tell each other.
//!
//! Each relay sends its promises of room and its suspicions to the others by UDP, a few times a second.
//! A lost datagram costs nothing but the age of one figure. Relays learn of each other from an object
//! each in the store, and from the datagrams themselves, so no watch is needed.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::ENTRY_KIND;
use switchfold_router::Millis;
use switchfold_store::StoreError;
use tokio::{net::UdpSocket, time::sleep};

use crate::state::Relay;

/// Time between two datagrams to a peer. A request holds its room for seconds, so figures a fifth of a
/// second old miss a few percent of it.
const TELL_EVERY: Duration = Duration::from_millis(200);

/// Silence after which a peer is taken for gone, in milliseconds: some datagrams in a row were lost.
pub const PEER_SILENCE: Millis = 1_200;

/// Time between two readings of the peers' objects; stale reads do, at a tenth of the price.
const LIST_EVERY: Duration = Duration::from_secs(8);

/// Largest datagram that is read.
const MOST_DATAGRAM: usize = 60_000;

/// Where a relay hears from its peers, as its object in the store says.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerAddress {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
}

/// What a relay tells its peers. Field names are short because every byte between data centres has a
/// price.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerNews {
    /// Name of the sender.
    #[serde(rename = "n")]
    pub name: String,
    /// Whether the sender's list of replicas is recent.
    #[serde(rename = "f")]
    pub fleet_is_fresh: bool,
    /// Room promised, by replica, in tokens times layers.
    #[serde(rename = "r")]
    pub room: HashMap<String, u64>,
    /// Replicas kept away from, with the milliseconds that it still lasts.
    #[serde(rename = "s")]
    pub suspects: HashMap<String, Millis>,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    heard: Option<Millis>,
    fleet_is_fresh: bool,
}

/// The other relays.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: HashMap<String, Peer>,
}

impl PeerTable {
    /// Count of other relays ever heard of: an upper bound of those that spend the shared budget.
    pub fn known(&self) -> usize {
        self.peers.len()
    }

    /// Count of other relays that were heard lately.
    pub fn live(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| is_live(peer, now)).count()
    }

    /// Whether this relay is the one to give orders: the first by name among those that are live and
    /// know the replicas, or among all live ones where none does.
    pub fn is_first(&self, name: &str, fleet_is_fresh: bool, now: Millis) -> bool {
        let live = || self.peers.iter().filter(|(_, peer)| is_live(peer, now));
        let informed = live().filter(|(_, peer)| peer.fleet_is_fresh).map(|(name, _)| name).min();
        match (fleet_is_fresh, informed) {
            (true, Some(first)) => name < first.as_str(),
            (true, None) => true,
            (false, Some(_)) => false,
            // One that hears nobody and has lost the store is cut off; the others decide.
            (false, None) if live().next().is_none() => self.peers.is_empty(),
            (false, None) => live().all(|(other, _)| name < other.as_str()),
        }
    }

    fn learn(&mut self, name: &str, address: SocketAddr) {
        let known = self.peers.entry(name.to_owned());
        known.or_insert(Peer { address, heard: None, fleet_is_fresh: false }).address = address;
    }

    fn hear(&mut self, news: &PeerNews, address: SocketAddr, now: Millis) {
        self.learn(&news.name, address);
        let peer = self.peers.get_mut(&news.name).expect("the peer was just learnt");
        peer.heard = Some(now);
        peer.fleet_is_fresh = news.fleet_is_fresh;
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }
}

fn is_live(peer: &Peer, now: Millis) -> bool {
    peer.heard.is_some_and(|heard| now.saturating_sub(heard) < PEER_SILENCE)
}

/// Age up to which the list of replicas counts as recent, in milliseconds: two waits of its watch.
pub const FRESH_FLEET: Millis = 5_000;

/// Tells and hears peers for good.
pub async fn talk(relay: Rc<Relay>, socket: Rc<UdpSocket>) {
    tokio::join!(hear(&relay, &socket), tell(&relay, &socket), find(&relay));
}

async fn hear(relay: &Relay, socket: &UdpSocket) {
    let mut buffer = vec![0; MOST_DATAGRAM];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            // A datagram to a dead peer comes back as an error of this socket; the next one may do.
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        match serde_json::from_slice::<PeerNews>(&buffer[..len]) {
            Ok(news) => take_news(relay, &news, from),
            Err(error) => tracing::warn!(event = "peer-unreadable", %from, %error),
        }
    }
}

fn take_news(relay: &Relay, news: &PeerNews, from: SocketAddr) {
    let now = now_millis();
    let mut alarming = false;
    {
        let mut beliefs = relay.beliefs.borrow_mut();
        beliefs.peers.hear(news, from, now);
        let room = news.room.iter().map(|(id, amount)| (id.clone(), *amount as f64)).collect();
        beliefs.room.hear(&news.name, room, now);
        for (id, lasts) in &news.suspects {
            if beliefs.fleet.get(id).is_some() && !beliefs.suspects.is_suspect(id, now) {
                beliefs.suspects.take_over(id, now + lasts);
                alarming = true;
                tracing::info!(event = "suspect-heard", replica = id, from = news.name, lasts);
            }
        }
    }
    if alarming {
        relay.raise_alarm();
    }
}

async fn tell(relay: &Relay, socket: &UdpSocket) {
    loop {
        sleep(TELL_EVERY).await;
        let (news, addresses) = compose_news(relay);
        let datagram = serde_json::to_vec(&news).expect("news are plain data");
        for address in addresses {
            // A peer that cannot be reached now is told again soon.
            let _lost = socket.try_send_to(&datagram, address);
        }
    }
}

fn compose_news(relay: &Relay) -> (PeerNews, Vec<SocketAddr>) {
    let now = now_millis();
    let fleet_is_fresh = relay.is_fleet_fresh(now);
    let mut beliefs = relay.beliefs.borrow_mut();
    beliefs.room.forget(now);
    let room = beliefs.room.own().iter();
    let news = PeerNews {
        name: relay.settings.name.clone(),
        fleet_is_fresh,
        room: room.map(|(id, amount)| (id.clone(), *amount as u64)).collect(),
        suspects: beliefs.suspects.current(now).map(|(id, left)| (id.to_owned(), left)).collect(),
    };
    (news, beliefs.peers.addresses())
}

/// Leaves this relay's address in the store, and reads those of the others now and then.
async fn find(relay: &Relay) {
    while let Err(error) = register(relay).await {
        tracing::info!(event = "registration-failed", %error);
        sleep(Duration::from_millis(500)).await;
    }
    let mut stale = false;
    loop {
        match relay.store.list(ENTRY_KIND, stale).await {
            Ok(list) => {
                for item in list.items {
                    learn_peer(relay, &item.metadata.name, &item.spec);
                }
                stale = true;
            }
            Err(error) => tracing::info!(event = "peers-unread", %error),
        }
        sleep(LIST_EVERY).await;
    }
}

async fn register(relay: &Relay) -> Result<(), StoreError> {
    let settings = &relay.settings;
    let address =
        PeerAddress { address: settings.peer_listen, data_centre: settings.data_centre.clone() };
    match relay.store.create(ENTRY_KIND, &settings.name, &address).await {
        Err(StoreError::Conflict { .. }) => {
            relay.store.replace(ENTRY_KIND, &settings.name, &address).await
        }
        outcome => outcome,
    }
}

fn learn_peer(relay: &Relay, name: &str, spec: &serde_json::Value) {
    if name == relay.settings.name {
        return;
    }
    match PeerAddress::deserialize(spec) {
        Ok(peer) => relay.beliefs.borrow_mut().peers.learn(name, peer.address),
        Err(error) => tracing::warn!(event = "peer-unreadable", name, %error),
    }
}
