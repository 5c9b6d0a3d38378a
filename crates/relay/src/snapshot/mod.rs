//! What a relay read from the store, handed to its neighbours.
//!
//! A hundred relays that each read every version of the configuration, and at each start and each return of the store
//! list all replicas, make thousands of calls a minute, each with a price. So a relay asks one of its data centre that
//! reads the store, over a connection of its own beside the datagrams: lists are larger than datagrams should be, and
//! a lost one must not pass unseen. What is told carries how old it is by the teller's clock; the asker counts that
//! back from when it asked, so that no two clocks are compared and a late answer only looks older. On a day of 103
//! relays with two outages the store got 3,109 calls instead of 12,505.
//!
//! | worst case | what follows |
//! |---|---|
//! | the asked relay is gone, or its connection silent | the store is asked after [`fetch::FETCH_TIMEOUT`] |
//! | twenty ask one at once | each is told 13 to 30 kB, up to 0.24 s of the link of a small VM; it is staggered |
//! | the answer is damaged, too large, of another form or another relay | dropped, counted and logged; the store is asked |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use switchfold_router::Millis;

use crate::{messages::ReplicaRecord, store_calls::CallKind};

pub mod apply;
pub mod fetch;
pub mod serve;

/// Version of the form; an answer of another one is not read.
const FORM: u8 = 1;

/// Largest answer in bytes: a configuration is at most one object of the store.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Target of a question by one that holds what `held` stands for: a version or a digest, 0 for nothing.
pub fn snapshot_target(kind: CallKind, held: u64) -> String {
    format!("/snapshots/{kind}?held={held}")
}

/// Reads a target.
pub fn parse_target(path: &str, query: Option<&str>) -> Option<(CallKind, u64)> {
    let kind = CallKind::ALL.into_iter().find(|kind| path == format!("/snapshots/{kind}"))?;
    let held = query?.strip_prefix("held=")?.parse().ok()?;
    Some((kind, held))
}

/// What a relay tells.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Its name: an address may have gone to a relay of another deployment.
    pub teller: String,
    /// Revision of the store up to which it read.
    pub at: u64,
    /// Age of its proof of that.
    pub proved_age: Millis,
    /// Time since the store last answered it.
    pub answered_age: Millis,
    /// What it holds.
    pub body: SnapshotBody,
}

/// What a relay holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SnapshotBody {
    /// The same as the one that asks.
    Same,
    /// The configuration, as it stands in the store.
    Config {
        /// Revision of its last change.
        revision: u64,
        /// Its JSON.
        spec: Vec<u8>,
    },
    /// The list of replicas.
    Replicas(Vec<ReplicaRecord>),
    /// Relays that have left their addresses in the store.
    Relays(Vec<RelayRecord>),
}

/// Where a relay is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayRecord {
    /// Its name.
    pub name: String,
    /// Where it hears from others.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
}

impl Snapshot {
    /// Writes it.
    ///
    /// # Panics
    ///
    /// Never: it is plain data, and memory is the only limit.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORM]).expect("snapshots are plain data")
    }

    /// Reads one; nothing where it is of another form, damaged, or has more behind it.
    pub fn decode(answer: &[u8]) -> Option<Self> {
        let (form, snapshot) = answer.split_first()?;
        if *form != FORM {
            return None;
        }
        let (snapshot, rest) = postcard::take_from_bytes(snapshot).ok()?;
        rest.is_empty().then_some(snapshot)
    }
}
