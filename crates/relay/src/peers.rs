//! Talking to the other relays.
//!
//! Each relay tells its state to the others by UDP: often within its data centre, seldom beyond. A lost
//! datagram costs nothing but the age of some figures. Relays learn of each other from an object each
//! in the store, and from the datagrams themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rand::RngExt;
use serde::{Deserialize, Serialize};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::objects::ListedObject;
use switchfold_router::{
    Millis,
    fleet::ReplicaNews,
    follow::{FIRST_PATIENCE, START_PATIENCE, start_patience},
    membership::{OwnState, PeerStamp, PeerState, PeerTable},
    replicas::NewsSource,
};
use switchfold_store::StoreError;
use tokio::time::sleep;

use crate::{
    counts::count,
    news::{FleetNews, PeerMessage, ReplicaRecord, StateNews},
    replicas::{drop_lapsed, take_news},
    settings::RelaySettings,
    snapshot::take::ask_relays,
    state::{Beliefs, Relay},
    store_calls::{CallCause, CallKind, CallVerb},
};

/// Time between two messages within a data centre. A request holds its room for seconds, so figures a
/// fifth of a second old miss a few percent of it.
const TELL_EVERY: Duration = Duration::from_millis(200);

/// Of these messages, one in so many also goes to the relays of other data centres.
const FAR_ONE_IN: u64 = 2;

/// Of the messages to other data centres, one in so many tells the promised room.
const FAR_ROOM_ONE_IN: u64 = 3;

/// Time between two readings of the peers' objects; stale reads do, at a tenth of the price.
const LIST_EVERY: Duration = Duration::from_secs(12);

/// Pause before this relay's address is written again where that failed.
const REGISTER_AGAIN: Duration = Duration::from_millis(500);

/// Most replicas that one datagram tells of: an entry takes some 100 bytes, and small datagrams are lost
/// less often.
const MOST_RECORDS: usize = 64;

/// Largest datagram that is read.
const MOST_DATAGRAM: usize = 60_000;

/// Where a relay hears from its peers, as its object in the store says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAddress {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
}

/// Tells and hears peers for good.
pub async fn talk(relay: Rc<Relay>) {
    tokio::join!(hear(&relay), tell(&relay), find(&relay));
}

async fn hear(relay: &Relay) {
    let mut buffer = vec![0; MOST_DATAGRAM];
    loop {
        let Ok((len, from)) = relay.peer_socket.recv_from(&mut buffer).await else {
            // A datagram to a dead peer comes back as an error of this socket; the next one may do.
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        match PeerMessage::decode(&buffer[..len]) {
            Some(PeerMessage::State(news)) => take_state(relay, &news, from),
            Some(PeerMessage::Fleet(news)) => take_fleet(relay, news, from),
            None => tracing::warn!(event = "peer-unreadable", %from, len),
        }
    }
}

fn take_state(relay: &Relay, news: &StateNews, from: SocketAddr) {
    let now = now_millis();
    let state = peer_state(news);
    let mut alarming = false;
    {
        let mut guard = relay.beliefs.borrow_mut();
        let beliefs = &mut *guard;
        beliefs.peers.learn(&news.name, from, &news.data_centre, now);
        let (incarnation, time) = news.stamp;
        let stamp = PeerStamp { incarnation, time };
        if !beliefs.peers.hear(&news.name, state, stamp, now) {
            count(&relay.counts.older_states);
            return;
        }
        if let Some(room) = &news.room {
            let room = room.iter().map(|(id, amount)| (id.clone(), f64::from(*amount)));
            beliefs.room.hear(&news.name, room.collect(), now);
        }
        if let Some(places) = &news.places {
            let places = places.iter().map(|(id, count)| (id.clone(), f64::from(*count)));
            beliefs.places.hear(&news.name, places.collect(), now);
        }
        for (id, hundredfold) in &news.paces {
            beliefs.paces.take_over(id, f64::from(*hundredfold) / 100.0, now);
        }
        for (id, lasts) in &news.suspects {
            if beliefs.fleet.view.get(id).is_some() && !beliefs.suspects.is_suspect(id, now) {
                beliefs.suspects.take_over(id, now + Millis::from(*lasts));
                alarming = true;
                tracing::info!(event = "suspect-heard", replica = id, from = news.name, lasts);
            }
        }
    }
    if news.data_centre == relay.settings.data_centre {
        take_proofs(relay, news, &state, now);
    }
    if alarming {
        relay.raise_alarm();
    }
}

fn peer_state(news: &StateNews) -> PeerState {
    PeerState {
        fleet_is_fresh: news.fleet_is_fresh,
        fleet_is_lost: news.fleet_is_lost,
        config_is_lost: news.config_is_lost,
        fleet_digest: news.fleet_digest,
        config_version: news.config_version,
        config_age: news.config_age,
        fleet_age: news.fleet_age,
        config_answer_age: news.config_answer_age,
        fleet_answer_age: news.fleet_answer_age,
        fleet_read_age: news.fleet_read_age,
    }
}

/// Takes over what a relay of the same data centre proved.
fn take_proofs(relay: &Relay, news: &StateNews, state: &PeerState, now: Millis) {
    let mut guard = relay.beliefs.borrow_mut();
    let beliefs = &mut *guard;
    let own = OwnState {
        name: &relay.settings.name,
        data_centre: &relay.settings.data_centre,
        incarnation: relay.incarnation,
        config_version: beliefs.config_version(),
        fleet_digest: beliefs.fleet.view.digest(),
    };
    let echo = news.echo.map(|((incarnation, time), held)| (PeerStamp { incarnation, time }, held));
    let proofs = beliefs.peers.read_proofs(own, state, echo, now);
    if let Some(answered) = proofs.config.answered {
        beliefs.config_lease.note_answer(answered);
    }
    if let Some(proved) = proofs.config.proved {
        beliefs.config_lease.prove(proved);
    }
    beliefs.fleet.note_proof(proofs.fleet);
}

fn take_fleet(relay: &Relay, news: FleetNews, from: SocketAddr) {
    let news = news.changes.into_iter().map(ReplicaNews::from).collect();
    take_news(relay, news, NewsSource::Relay(from));
}

/// Tells the relays of the data centre of replicas that changed.
pub fn tell_fleet(relay: &Relay, changes: Vec<ReplicaNews>) {
    let beliefs = relay.beliefs.borrow();
    let records: Vec<ReplicaRecord> = changes.into_iter().map(ReplicaRecord::from).collect();
    for part in records.chunks(MOST_RECORDS) {
        let datagram = PeerMessage::Fleet(FleetNews { changes: part.to_vec() }).encode();
        for (_, address, _) in near_peers(relay, &beliefs.peers) {
            // A relay that misses this sees another digest in the next state.
            let _lost = relay.peer_socket.try_send_to(&datagram, address);
        }
    }
}

fn near_peers<'a>(
    relay: &'a Relay,
    peers: &'a PeerTable,
) -> impl Iterator<Item = (&'a str, SocketAddr, bool)> {
    peers.others(&relay.settings.data_centre).filter(|(_, _, near)| *near)
}

async fn tell(relay: &Relay) {
    let mut round: u64 = 0;
    loop {
        sleep(TELL_EVERY).await;
        round += 1;
        drop_lapsed(relay);
        let far = round.is_multiple_of(FAR_ONE_IN);
        let far_room = far && (round / FAR_ONE_IN).is_multiple_of(FAR_ROOM_ONE_IN);
        tell_state(relay, far, far_room);
    }
}

/// Tells this relay's state to those of its data centre, and where asked to all.
pub fn tell_state(relay: &Relay, far: bool, far_room: bool) {
    let now = now_millis();
    let news = compose_state(relay, now);
    let beliefs = relay.beliefs.borrow();
    for (name, address, near) in beliefs.peers.others(&relay.settings.data_centre) {
        if !near && !far {
            continue;
        }
        let mut news = news.clone();
        if near {
            let echo = beliefs.peers.echo(name, now);
            news.echo = echo.map(|(stamp, held)| ((stamp.incarnation, stamp.time), held));
        } else if !far_room {
            news.room = None;
        }
        let datagram = PeerMessage::State(Box::new(news)).encode();
        // A peer that cannot be reached now is told again soon.
        let _lost = relay.peer_socket.try_send_to(&datagram, address);
    }
}

fn compose_state(relay: &Relay, now: Millis) -> StateNews {
    let fleet_is_fresh = relay.is_fleet_fresh(now);
    let mut beliefs = relay.beliefs.borrow_mut();
    beliefs.room.forget(now);
    beliefs.places.forget(now);
    let room = beliefs.room.own().iter();
    let places = beliefs.places.own().iter();
    let suspects = beliefs.suspects.own(now);
    let paces = beliefs.paces.asked(now);
    StateNews {
        name: relay.settings.name.clone(),
        data_centre: relay.settings.data_centre.clone(),
        stamp: (relay.incarnation, now),
        echo: None,
        fleet_is_fresh,
        fleet_is_lost: beliefs.fleet.is_lost(),
        config_is_lost: beliefs.config_lease.is_lost(),
        fleet_age: beliefs.fleet.age(now),
        fleet_answer_age: beliefs.fleet.answer_age(now),
        fleet_read_age: beliefs.fleet.read_age(now),
        fleet_digest: beliefs.fleet.view.digest(),
        config_version: beliefs.config_version(),
        config_age: beliefs.config_lease.age(now),
        config_answer_age: beliefs.config_lease.answer_age(now),
        room: Some(room.map(|(id, amount)| (id.clone(), *amount as u32)).collect()),
        places: Some(places.map(|(id, count)| (id.clone(), *count as u32)).collect()),
        paces: paces.map(|(id, factor)| (id.to_owned(), (factor * 100.0) as u32)).collect(),
        suspects: suspects.map(|(id, left)| (id.to_owned(), left as u32)).collect(),
    }
}

/// Leaves this relay's address in the store, and learns those of the others now and then. A neighbour that
/// read them spares it the calls: three at each restart, and one in each round.
async fn find(relay: &Relay) {
    let mut is_new = true;
    if relay.settings.first_start {
        register_for_good(relay).await;
        is_new = false;
    }
    hear_any(relay).await;
    let mut verb = CallVerb::List;
    loop {
        let listed = match ask_relays(relay).await {
            Some(relays) => Some(relays),
            None => {
                wait_for_store(relay).await;
                list_relays(relay, verb).await
            }
        };
        if let Some(relays) = listed {
            let own = relays.get(&relay.settings.name);
            if own != Some(&own_address(&relay.settings)) {
                tracing::info!(event = "registration-missing", is_new);
                register_for_good(relay).await;
            }
            (verb, is_new) = (CallVerb::StaleList, false);
            take_relays(relay, relays).await;
        }
        sleep(if verb == CallVerb::List { REGISTER_AGAIN } else { LIST_EVERY }).await;
    }
}

/// Waits while the store is away: whoever follows the configuration tries it.
async fn wait_for_store(relay: &Relay) {
    while relay.beliefs.borrow().config_lease.is_lost() {
        sleep(REGISTER_AGAIN).await;
    }
}

/// Waits at the start until a neighbour is heard, for a time that differs from relay to relay: where all start
/// together, the first to list the relays tells the others of itself.
async fn hear_any(relay: &Relay) {
    let RelaySettings { data_centre, first_start, .. } = &relay.settings;
    let longest = if *first_start { FIRST_PATIENCE / 2 } else { START_PATIENCE * 3 };
    let patience = relay.random.borrow_mut().random_range(START_PATIENCE / 2..=longest);
    let until = now_millis() + patience;
    while now_millis() < until {
        if relay.beliefs.borrow().peers.live_near(data_centre, now_millis()) > 0 {
            return;
        }
        sleep(START_LOOK).await;
    }
}

/// Time between two looks at whether a neighbour was heard, at the start.
const START_LOOK: Duration = Duration::from_millis(10);

/// Waits at the start until a neighbour can tell what is wanted, for as long as that may take.
pub async fn wait_at_start(relay: &Relay, can_be_told: impl Fn(&Beliefs, Millis) -> bool) {
    let RelaySettings { name, data_centre, first_start, .. } = &relay.settings;
    let begun = now_millis();
    loop {
        let now = now_millis();
        {
            let beliefs = relay.beliefs.borrow();
            let before = beliefs.peers.before(name, data_centre, now).live;
            if can_be_told(&beliefs, now) || now - begun >= start_patience(*first_start, before) {
                return;
            }
        }
        sleep(START_LOOK).await;
    }
}

/// Relays with their addresses, as they stand in the store.
type ListedRelays = BTreeMap<String, PeerAddress>;

fn own_address(settings: &RelaySettings) -> PeerAddress {
    PeerAddress { address: settings.peer_listen, data_centre: settings.data_centre.clone() }
}

async fn list_relays(relay: &Relay, verb: CallVerb) -> Option<ListedRelays> {
    match relay.store.list(CallKind::Relays, verb, CallCause::Peers).await {
        Ok(list) => Some(list.items.iter().filter_map(read_relay).collect()),
        Err(error) => {
            tracing::info!(event = "peers-unread", %error);
            None
        }
    }
}

fn read_relay(object: &ListedObject) -> Option<(String, PeerAddress)> {
    let name = &object.metadata.name;
    match PeerAddress::deserialize(&object.spec) {
        Ok(address) => Some((name.clone(), address)),
        Err(error) => {
            tracing::warn!(event = "peer-unreadable", name, %error);
            None
        }
    }
}

/// Takes over where the relays are, and tells the new ones among them of this one at once: they may
/// be waiting for a neighbour.
async fn take_relays(relay: &Relay, relays: ListedRelays) {
    let mut has_new = false;
    for (name, PeerAddress { address, data_centre }) in &relays {
        if *name != relay.settings.name {
            let peers = &mut relay.beliefs.borrow_mut().peers;
            has_new |= peers.learn(name, *address, data_centre, now_millis());
        }
    }
    if has_new {
        tell_state(relay, true, false);
    }
    forget_gone(relay, &relays.keys().map(String::as_str).collect()).await;
    relay.beliefs.borrow_mut().listed_relays = Some(relays);
}

async fn register_for_good(relay: &Relay) {
    while let Err(error) = register(relay).await {
        tracing::info!(event = "registration-failed", %error);
        sleep(REGISTER_AGAIN).await;
        wait_for_store(relay).await;
    }
}

/// Forgets relays whose VMs are gone. The relay that gives the orders removes their objects from the
/// store; the others forget them once these are not listed any more.
async fn forget_gone(relay: &Relay, listed: &BTreeSet<&str>) {
    let now = now_millis();
    let fresh = relay.is_fleet_fresh(now);
    let gone = relay.beliefs.borrow().peers.gone(now);
    let removes = relay.beliefs.borrow().peers.is_first(&relay.settings.name, fresh, now);
    for name in gone {
        if listed.contains(name.as_str()) {
            if !removes {
                continue;
            }
            if let Err(error) = relay.store.remove(CallKind::Relays, &name).await {
                tracing::info!(event = "peer-not-removed", name, %error);
                continue;
            }
        }
        relay.beliefs.borrow_mut().peers.forget(&name);
        tracing::info!(event = "peer-forgotten", name, removes);
    }
}

async fn register(relay: &Relay) -> Result<(), StoreError> {
    let settings = &relay.settings;
    let address = own_address(settings);
    match relay.store.create(CallKind::Relays, &settings.name, &address).await {
        Err(StoreError::Conflict { .. }) => {
            relay.store.replace(CallKind::Relays, &settings.name, &address).await
        }
        outcome => outcome,
    }
}
