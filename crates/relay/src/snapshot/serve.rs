//! Serves snapshots of what this relay read from the store to its neighbours.

use std::{convert::Infallible, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, membership::EMPTY_DIGEST};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::spawn_local,
    time::sleep,
};

use super::{RelayRecord, Snapshot, SnapshotBody, parse_target};
use crate::{
    counts::count,
    messages::{CrashRecord, ReplicaRecord},
    registry::{PeerAddress, relays_digest},
    responses::{RelayResponse, full_body},
    state::{Relay, RelayState},
    store_calls::CallKind,
};

/// Maximum number of open connections. The largest data centre so far has 27 entry VMs; further
/// connections wait in the operating system's queue.
const MAX_CONNECTIONS: usize = 64;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a request head, in bytes.
const MAX_HEADER_BYTES: usize = 8_192;

/// Serves snapshot requests for as long as the process runs.
pub async fn serve_snapshots(relay: Rc<Relay>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let relay = relay.clone();
        spawn_local(async move {
            serve_neighbour(&relay, stream).await;
            drop(permit);
        });
    }
}

async fn serve_neighbour(relay: &Relay, stream: TcpStream) {
    let _without_delay = stream.set_nodelay(true);
    let service = service_fn(async |request: Request<Incoming>| {
        Ok::<RelayResponse, Infallible>(respond(relay, &request))
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(event = "neighbour-ended", %error);
    }
}

fn respond(relay: &Relay, request: &Request<Incoming>) -> RelayResponse {
    let uri = request.uri();
    let target = parse_target(uri.path(), uri.query());
    let Some((kind, held)) = target.filter(|_| request.method() == Method::GET) else {
        count(&relay.counts.bad_snapshots);
        tracing::warn!(event = "snapshot-question-unreadable", target = %uri);
        return empty_response(StatusCode::BAD_REQUEST);
    };
    match compose(relay, kind, held, now_millis()) {
        Some(snapshot) => {
            count(&relay.counts.snapshots_told);
            Response::new(full_body(Bytes::from(snapshot.encode())))
        }
        None => empty_response(StatusCode::NO_CONTENT),
    }
}

fn empty_response(status: StatusCode) -> RelayResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns the snapshot for a relay that holds `held`, or `None` if this relay has no recent state
/// from the store.
fn compose(relay: &Relay, kind: CallKind, held: u64, now: Millis) -> Option<Snapshot> {
    let state = relay.state.borrow();
    let snapshot = match kind {
        CallKind::Config => config_snapshot(&state, held, now)?,
        CallKind::Replicas => replica_snapshot(&state, held, now)?,
        CallKind::Relays => relay_snapshot(&state, held)?,
        CallKind::Quarantine => quarantine_snapshot(relay, &state, now)?,
    };
    Some(Snapshot { source: relay.settings.name.clone(), ..snapshot })
}

/// An unconfirmed configuration is provided to a relay that holds an older one, as of its own last
/// change: the receiver then reads the store from there, and finds out by itself that the store
/// does not confirm it.
fn config_snapshot(state: &RelayState, held: u64, now: Millis) -> Option<Snapshot> {
    let object = state.config_object.as_ref()?;
    if state.config_unconfirmed && held >= state.config_version() {
        return None;
    }
    let at = if state.config_unconfirmed { object.revision } else { object.at };
    let body = match held == state.config_version() {
        true => SnapshotBody::Same,
        false => SnapshotBody::Config { revision: object.revision, spec: object.spec.to_vec() },
    };
    Some(Snapshot {
        source: String::new(),
        at,
        proved_age: state.config_lease.age(now)?,
        answered_age: state.config_lease.answer_age(now)?,
        body,
    })
}

fn replica_snapshot(state: &RelayState, held: u64, now: Millis) -> Option<Snapshot> {
    let read_age = state.fleet.read_age(now).filter(|_| !state.fleet.is_lost());
    // A relay that holds nothing is sent even an old list, with its age: it may start in an outage.
    let held_age = state.fleet.known_answer_age(now).filter(|_| held == EMPTY_DIGEST);
    let answered_age = read_age.or(held_age)?;
    let list = state.fleet.shareable_list();
    // The digest covers awaited entries, which the list to share leaves out.
    let is_same = list.listed.len() == state.fleet.view.len() && held == state.fleet.view.digest();
    let body = match is_same {
        true => SnapshotBody::Same,
        false => SnapshotBody::Replicas(list.listed.into_iter().map(ReplicaRecord::from).collect()),
    };
    Some(Snapshot {
        source: String::new(),
        at: list.at,
        proved_age: state.fleet.age(now)?,
        answered_age,
        body,
    })
}

fn relay_snapshot(state: &RelayState, held: u64) -> Option<Snapshot> {
    let listed = state.listed_relays.as_ref()?;
    let body = match held == relays_digest(listed) {
        true => SnapshotBody::Same,
        false => SnapshotBody::Relays(listed.iter().map(relay_record).collect()),
    };
    Some(unversioned(body))
}

fn quarantine_snapshot(relay: &Relay, state: &RelayState, now: Millis) -> Option<Snapshot> {
    if !relay.knows_quarantine.get() {
        return None;
    }
    let reports = state.quarantine.quarantined(now);
    let records = reports.map(|report| CrashRecord::new(&report, now)).collect();
    Some(unversioned(SnapshotBody::Quarantine(records)))
}

/// Returns a snapshot of contents whose age does not matter.
fn unversioned(body: SnapshotBody) -> Snapshot {
    Snapshot { source: String::new(), at: 0, proved_age: 0, answered_age: 0, body }
}

fn relay_record((name, peer): (&String, &PeerAddress)) -> RelayRecord {
    RelayRecord { name: name.clone(), address: peer.address, data_centre: peer.data_centre.clone() }
}
