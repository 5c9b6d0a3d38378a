//! Requests a snapshot from a neighbour.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{Request, StatusCode};
use http_body_util::Full;
use switchfold_kernel::{clock::now_millis, http::HttpClient};
use switchfold_router::membership::PeerProof;

use super::{MAX_SNAPSHOT_BYTES, Snapshot, SnapshotBody, snapshot_target};
use crate::{counts::count, state::Relay, store_calls::CallKind};

/// Time without bytes after which a request to a neighbour is given up. A list takes a tenth of a
/// second on the link of a small VM if twenty relays ask at once. The timeout delays the call to the
/// store that follows it, so it is below the timeout of that call.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for a snapshot whose bytes keep arriving: one of a megabyte takes three seconds of the
/// link of a small VM that seven neighbours ask at once.
const MAX_FETCH_TIME: Duration = Duration::from_secs(4);

/// Creates the client for requests to neighbours.
pub fn new_client() -> HttpClient {
    HttpClient::new(FETCH_TIMEOUT, MAX_SNAPSHOT_BYTES).with_body_time(MAX_FETCH_TIME)
}

/// Snapshot that a neighbour sent.
#[derive(Clone, Debug)]
pub struct FetchedSnapshot {
    /// Revision of the store up to which the neighbour read.
    pub at: u64,
    /// Times at which the contents were in force and at which the store last answered, by this
    /// relay's clock.
    pub proof: PeerProof,
    /// Contents.
    pub body: SnapshotBody,
}

/// Why a neighbour sent no usable snapshot.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FetchError {
    /// The neighbour did not respond.
    #[display("no response: {_0}")]
    NoResponse(String),
    /// The neighbour has no recent state from the store.
    #[display("no recent state")]
    NotAvailable,
    /// The response could not be decoded.
    #[display("unreadable response of {_0} bytes")]
    Unreadable(usize),
    /// Another relay responded, or the neighbour sent another kind of object.
    #[display("unexpected response of {_0}")]
    Unexpected(String),
}

/// Requests a snapshot from a neighbour, by its name and address, and logs the outcome. `held` is
/// the version or digest of what this relay holds, or 0.
pub async fn fetch_snapshot(
    relay: &Relay,
    kind: CallKind,
    source: &str,
    address: SocketAddr,
    held: u64,
) -> Option<FetchedSnapshot> {
    count(&relay.counts.snapshots_asked);
    let asked_at = now_millis();
    match request_snapshot(relay, kind, source, address, held).await {
        Ok((snapshot, len)) => {
            let took = now_millis() - asked_at;
            let Snapshot { at, proved_age, answered_age, .. } = snapshot;
            tracing::info!(event = "snapshot-told", %kind, teller = source, at, proved_age, took, len);
            let proof = PeerProof::from_response(asked_at, proved_age, answered_age);
            Some(FetchedSnapshot { at, proof, body: snapshot.body })
        }
        Err(reason) => {
            if matches!(reason, FetchError::Unreadable(_) | FetchError::Unexpected(_)) {
                count(&relay.counts.bad_snapshots);
            }
            tracing::info!(event = "snapshot-untold", %kind, teller = source, %address, %reason);
            None
        }
    }
}

async fn request_snapshot(
    relay: &Relay,
    kind: CallKind,
    source: &str,
    address: SocketAddr,
    held: u64,
) -> Result<(Snapshot, usize), FetchError> {
    let no_response = |detail: String| FetchError::NoResponse(detail);
    let uri = format!("http://{address}{}", snapshot_target(kind, held));
    let request = Request::get(uri).body(Full::new(Bytes::new()));
    let request = request.map_err(|error| no_response(error.to_string()))?;
    let response = relay.neighbour_client.call(request).await;
    let response = response.map_err(|error| no_response(error.to_string()))?;
    if response.status != StatusCode::OK {
        return Err(FetchError::NotAvailable);
    }
    let len = response.body.len();
    let snapshot = Snapshot::decode(&response.body).ok_or(FetchError::Unreadable(len))?;
    match snapshot.source == source && is_of_kind(kind, &snapshot.body) {
        true => Ok((snapshot, len)),
        false => Err(FetchError::Unexpected(snapshot.source)),
    }
}

fn is_of_kind(kind: CallKind, body: &SnapshotBody) -> bool {
    matches!(
        (kind, body),
        (CallKind::Config, SnapshotBody::Config { .. } | SnapshotBody::Same)
            | (CallKind::Replicas, SnapshotBody::Replicas(_) | SnapshotBody::Same)
            | (CallKind::Relays, SnapshotBody::Relays(_) | SnapshotBody::Same)
            | (CallKind::Quarantine, SnapshotBody::Quarantine(_))
    )
}
