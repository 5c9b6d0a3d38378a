//! Telling neighbours what was read from the store.

use std::{convert::Infallible, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use switchfold_kernel::clock::now_millis;
use switchfold_router::Millis;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::spawn_local,
    time::sleep,
};

use super::{RelayRecord, Snapshot, SnapshotBody, parse_target};
use crate::{
    counts::count,
    messages::ReplicaRecord,
    registry::{PeerAddress, relays_digest},
    responses::{RelayResponse, full_body},
    state::{Relay, RelayState},
    store_calls::CallKind,
};

/// Connections of neighbours at once; the largest data centre seen has 27 entry VMs. More wait in the
/// system's queue.
const MOST_CONNECTIONS: usize = 64;

/// Time that a kept connection may rest.
const IDLE: Duration = Duration::from_secs(10);

/// Bytes of a question's head.
const HEADER_BYTES: usize = 8_192;

/// Digest of an empty list of replicas.
const EMPTY_DIGEST: u64 = 0;

/// Serves neighbours until the process ends.
pub async fn serve_snapshots(relay: Rc<Relay>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        let place = places.clone().acquire_owned().await;
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let relay = relay.clone();
        spawn_local(async move {
            serve_neighbour(&relay, stream).await;
            drop(place);
        });
    }
}

async fn serve_neighbour(relay: &Relay, stream: TcpStream) {
    let _without_delay = stream.set_nodelay(true);
    let service = service_fn(async |request: Request<Incoming>| {
        Ok::<RelayResponse, Infallible>(answer_neighbour(relay, &request))
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .max_buf_size(HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(event = "neighbour-ended", %error);
    }
}

fn answer_neighbour(relay: &Relay, request: &Request<Incoming>) -> RelayResponse {
    let uri = request.uri();
    let asked = parse_target(uri.path(), uri.query());
    let Some((kind, held)) = asked.filter(|_| request.method() == Method::GET) else {
        count(&relay.counts.bad_snapshots);
        tracing::warn!(event = "snapshot-question-unreadable", target = %uri);
        return empty(StatusCode::BAD_REQUEST);
    };
    match compose(relay, kind, held, now_millis()) {
        Some(snapshot) => {
            count(&relay.counts.snapshots_told);
            Response::new(full_body(Bytes::from(snapshot.encode())))
        }
        None => empty(StatusCode::NO_CONTENT),
    }
}

fn empty(status: StatusCode) -> RelayResponse {
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// What this relay can tell to one that holds `held`; nothing where it does not know it from the store.
fn compose(relay: &Relay, kind: CallKind, held: u64, now: Millis) -> Option<Snapshot> {
    let state = relay.state.borrow();
    let told = match kind {
        CallKind::Config => tell_config(&state, held, now)?,
        CallKind::Replicas => tell_replicas(&state, held, now)?,
        CallKind::Relays => tell_relays(&state, held)?,
        CallKind::Quarantine => return None,
    };
    Some(Snapshot { teller: relay.settings.name.clone(), ..told })
}

fn tell_config(state: &RelayState, held: u64, now: Millis) -> Option<Snapshot> {
    let object = state.config_object.as_ref().filter(|_| !state.config_unconfirmed)?;
    let body = match held == state.config_version() {
        true => SnapshotBody::Same,
        false => SnapshotBody::Config { revision: object.revision, spec: object.spec.to_vec() },
    };
    Some(Snapshot {
        teller: String::new(),
        at: object.at,
        proved_age: state.config_lease.age(now)?,
        answered_age: state.config_lease.answer_age(now)?,
        body,
    })
}

fn tell_replicas(state: &RelayState, held: u64, now: Millis) -> Option<Snapshot> {
    let read_age = state.fleet.read_age(now).filter(|_| !state.fleet.is_lost());
    // One that holds nothing is told whatever is held, with its age: it may start in an outage.
    let held_age = state.fleet.known_answer_age(now).filter(|_| held == EMPTY_DIGEST);
    let answered_age = read_age.or(held_age)?;
    let list = state.fleet.shareable_list();
    // A list without some that are awaited is another one than the digest stands for.
    let is_same = list.listed.len() == state.fleet.view.len() && held == state.fleet.view.digest();
    let body = match is_same {
        true => SnapshotBody::Same,
        false => SnapshotBody::Replicas(list.listed.into_iter().map(ReplicaRecord::from).collect()),
    };
    Some(Snapshot {
        teller: String::new(),
        at: list.at,
        proved_age: state.fleet.age(now)?,
        answered_age,
        body,
    })
}

fn tell_relays(state: &RelayState, held: u64) -> Option<Snapshot> {
    let listed = state.listed_relays.as_ref()?;
    let body = match held == relays_digest(listed) {
        true => SnapshotBody::Same,
        false => SnapshotBody::Relays(listed.iter().map(relay_record).collect()),
    };
    Some(Snapshot { teller: String::new(), at: 0, proved_age: 0, answered_age: 0, body })
}

fn relay_record((name, peer): (&String, &PeerAddress)) -> RelayRecord {
    RelayRecord { name: name.clone(), address: peer.address, data_centre: peer.data_centre.clone() }
}
