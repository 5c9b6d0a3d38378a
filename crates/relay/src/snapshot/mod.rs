//! Snapshots of what a relay read from the store, for its neighbours: the relays of its data
//! centre.
//!
//! If a hundred relays each read every version of the configuration, and listed all replicas at
//! each start and after each outage of the store, they would make thousands of calls a minute, each
//! with a price. So a relay asks a relay of its data centre that reads the store. It does so over
//! HTTP rather than by datagram: lists are larger than datagrams should be, and a lost response
//! must be noticed. A snapshot carries its age by the clock of the relay that sends it; the relay
//! that asked counts the age back from the time of its request. So no two clocks are compared, and
//! a late response only makes the snapshot look older. On a day with 103 relays and two outages the store
//! got 3,109 calls instead of 12,505.
//!
//! Relays of other data centres may ask as well: one that starts fetches the quarantined requests
//! from whichever relay knows them.
//!
//! | worst case | effect |
//! |---|---|
//! | the asked relay has stopped, or does not respond | the store is read after [`fetch::FETCH_TIMEOUT`] |
//! | twenty relays ask one at once | each is sent 13 to 30 kB, up to 0.24 s of the link of a small VM; the requests are staggered |
//! | the response is damaged, too large, or from another version or another relay | it is dropped, counted and logged; the store is read |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use switchfold_router::Millis;

use crate::{
    messages::{CrashRecord, ReplicaRecord},
    store_calls::CallKind,
};

pub mod apply;
pub mod fetch;
pub mod serve;

/// Version of the format, written as the first byte; responses of another version are dropped.
const FORM: u8 = 1;

/// Size of the largest response in bytes: a configuration is at most one object of the store.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Returns the path and query of a request. `held` is the version or digest of what the asking
/// relay holds, or 0 if it holds nothing.
pub fn snapshot_target(kind: CallKind, held: u64) -> String {
    format!("/snapshots/{kind}?held={held}")
}

/// Parses the path and query of a request into its kind and `held`; see [`snapshot_target`].
pub fn parse_target(path: &str, query: Option<&str>) -> Option<(CallKind, u64)> {
    let kind = CallKind::ALL.into_iter().find(|kind| path == format!("/snapshots/{kind}"))?;
    let held = query?.strip_prefix("held=")?.parse().ok()?;
    Some((kind, held))
}

/// Response to a snapshot request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Name of the responding relay, since its address may have passed to a relay of another
    /// deployment.
    #[serde(rename = "teller")]
    pub source: String,
    /// Revision of the store up to which the responding relay read.
    pub at: u64,
    /// Age of its proof of that, in milliseconds.
    pub proved_age: Millis,
    /// Milliseconds since the store last answered a read of the contents.
    pub answered_age: Millis,
    /// Contents.
    pub body: SnapshotBody,
}

/// Contents of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SnapshotBody {
    /// The same as the asking relay holds.
    Same,
    /// The configuration, as the store holds it.
    Config {
        /// Revision of its last change.
        revision: u64,
        /// Its spec as JSON.
        spec: Vec<u8>,
    },
    /// The list of replicas.
    Replicas(Vec<ReplicaRecord>),
    /// The relays that have an object in the store.
    Relays(Vec<RelayRecord>),
    /// The quarantined requests.
    Quarantine(Vec<CrashRecord>),
}

/// Name and address of a relay.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayRecord {
    /// Name of the relay.
    pub name: String,
    /// Address at which it receives messages of other relays.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
}

impl Snapshot {
    /// Encodes the snapshot, with the version of the format as first byte.
    ///
    /// # Panics
    ///
    /// Never: snapshots are plain data, which postcard can always serialize.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORM]).expect("snapshots can be serialized")
    }

    /// Decodes a response. Returns `None` if it is damaged, has another format version, or has
    /// trailing bytes.
    pub fn decode(response: &[u8]) -> Option<Self> {
        let (version, snapshot) = response.split_first()?;
        if *version != FORM {
            return None;
        }
        let (snapshot, rest) = postcard::take_from_bytes(snapshot).ok()?;
        rest.is_empty().then_some(snapshot)
    }
}
