//! Asking a neighbour for what it read from the store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{Request, StatusCode};
use http_body_util::Full;
use switchfold_kernel::{clock::now_millis, http::HttpClient};
use switchfold_router::membership::PeerProof;

use super::{MAX_SNAPSHOT_BYTES, Snapshot, SnapshotBody, snapshot_target};
use crate::{counts::count, state::Relay, store_calls::CallKind};

/// Time that a neighbour has for an answer: a list takes a tenth of a second on the link of a small VM where
/// twenty ask at once. It is lost before the store is asked, so it stays below the store's own patience.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Makes the client for questions to neighbours.
pub fn new_client() -> HttpClient {
    HttpClient::new(FETCH_TIMEOUT, MAX_SNAPSHOT_BYTES)
}

/// What a neighbour told.
#[derive(Clone, Debug)]
pub struct FetchedSnapshot {
    /// Revision of the store up to which it read.
    pub at: u64,
    /// As of when that holds, and when the store answered last, by this relay's clock.
    pub proof: PeerProof,
    /// What it holds.
    pub body: SnapshotBody,
}

/// Why nothing was told.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FetchError {
    /// There was no answer.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The neighbour does not know it from the store, or not lately.
    #[display("it cannot tell")]
    Unknown,
    /// The answer cannot be read.
    #[display("unreadable, {_0} bytes")]
    Unreadable(usize),
    /// Another relay answered.
    #[display("answered by {_0}")]
    OtherTeller(String),
}

/// Asks a neighbour, by name and address, for what differs from what `held` stands for. A line tells what
/// came of it.
pub async fn fetch_snapshot(
    relay: &Relay,
    kind: CallKind,
    teller: &str,
    address: SocketAddr,
    held: u64,
) -> Option<FetchedSnapshot> {
    count(&relay.counts.snapshots_asked);
    let asked = now_millis();
    match ask(relay, kind, teller, address, held).await {
        Ok((snapshot, len)) => {
            let took = now_millis() - asked;
            let Snapshot { at, proved_age, answered_age, .. } = snapshot;
            tracing::info!(event = "snapshot-told", %kind, teller, at, proved_age, took, len);
            let proof = PeerProof::from_response(asked, proved_age, answered_age);
            Some(FetchedSnapshot { at, proof, body: snapshot.body })
        }
        Err(reason) => {
            if matches!(reason, FetchError::Unreadable(_) | FetchError::OtherTeller(_)) {
                count(&relay.counts.bad_snapshots);
            }
            tracing::info!(event = "snapshot-untold", %kind, teller, %address, %reason);
            None
        }
    }
}

async fn ask(
    relay: &Relay,
    kind: CallKind,
    teller: &str,
    address: SocketAddr,
    held: u64,
) -> Result<(Snapshot, usize), FetchError> {
    let no_answer = |detail: String| FetchError::NoAnswer(detail);
    let uri = format!("http://{address}{}", snapshot_target(kind, held));
    let request = Request::get(uri).body(Full::new(Bytes::new()));
    let request = request.map_err(|error| no_answer(error.to_string()))?;
    let answer = relay.neighbour_client.call(request).await;
    let answer = answer.map_err(|error| no_answer(error.to_string()))?;
    if answer.status != StatusCode::OK {
        return Err(FetchError::Unknown);
    }
    let len = answer.body.len();
    let snapshot = Snapshot::decode(&answer.body).ok_or(FetchError::Unreadable(len))?;
    match snapshot.teller == teller && fits(kind, &snapshot.body) {
        true => Ok((snapshot, len)),
        false => Err(FetchError::OtherTeller(snapshot.teller)),
    }
}

fn fits(kind: CallKind, body: &SnapshotBody) -> bool {
    matches!(
        (kind, body),
        (CallKind::Config, SnapshotBody::Config { .. } | SnapshotBody::Same)
            | (CallKind::Replicas, SnapshotBody::Replicas(_) | SnapshotBody::Same)
            | (CallKind::Relays, SnapshotBody::Relays(_) | SnapshotBody::Same)
    )
}
