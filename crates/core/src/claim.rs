//! Idempotency keys: at most one run for each key, even if the caller sends the request again.
//!
//! A key is claimed for a request before the request is dispatched. Claims are stored in shards in
//! the platform's store. A shard is a chain of segments, each an object well below the store's size
//! limit. Only the last segment accepts claims. The write that fills a segment seals it, and the
//! next segment is created by a conditional write that fails if the segment exists.
//!
//! Safety depends only on the conditional writes. A [`ClaimShard`] is a process's view of one
//! shard. If the view is stale, its write fails; the process then reads the segment again and
//! retries. A claim counts as granted only after [`ClaimShard::apply_write`], that is after the
//! store accepted the write, or after the segment was read back and contains the claim.
//!
//! Memory: about 150 bytes per claim.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{Millis, hash::hash_bytes, id::RequestId};

/// Number of shards that claims are distributed over. Bounds the writes per second at the store.
pub const CLAIM_SHARDS: u64 = 8;

/// Maximum number of claims in a segment. A full segment stays below 400 kB.
pub const MAX_SEGMENT_CLAIMS: usize = 2_000;

/// 128-bit hash of an organisation and an idempotency key that its caller chose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    high: u64,
    low: u64,
}

impl ClaimKey {
    /// Hashes an organisation and its idempotency key.
    pub fn new(organisation: &str, key: &str) -> Self {
        let half = |seed| hash_bytes(hash_bytes(seed, organisation.as_bytes()), key.as_bytes());
        Self { high: half(1), low: half(2) }
    }

    /// Returns the high and low 64 bits, for messages.
    pub fn halves(&self) -> (u64, u64) {
        (self.high, self.low)
    }

    /// Creates a key from the high and low 64 bits of a message.
    pub fn from_halves(high: u64, low: u64) -> Self {
        Self { high, low }
    }

    /// Returns the number of the shard that contains the key.
    pub fn shard(&self) -> u64 {
        self.high % CLAIM_SHARDS
    }
}

/// A claim, as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Key that is claimed.
    pub key: ClaimKey,
    /// Request that holds the claim.
    pub request: RequestId,
    /// Entry that issued the request and knows its outcome.
    pub entry: String,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub at: Millis,
}

/// A segment of a shard, as stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimSegment {
    /// Claims, oldest first.
    pub claims: Vec<ClaimRecord>,
    /// Whether the segment is full. Further claims go to the next segment.
    pub sealed: bool,
}

/// A claim that a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimProposal {
    /// Key to claim.
    pub key: ClaimKey,
    /// Request that is to hold the claim.
    pub request: RequestId,
    /// Entry that issued the request.
    pub entry: String,
    /// Current holder that is known never to have run, so that it may be replaced.
    pub replaces: Option<RequestId>,
}

/// Holder of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimHolder {
    /// Request that holds the claim.
    pub request: RequestId,
    /// Entry that issued the request.
    pub entry: String,
}

/// A conditional write of the last segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// Number of the segment.
    pub segment_number: u32,
    /// Version that the segment must still have; 0 means that it must not exist.
    pub expected: u64,
    /// New contents of the segment.
    pub segment: ClaimSegment,
}

/// A process's view of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimShard {
    holders: HashMap<ClaimKey, ClaimRecord>,
    segment_number: u32,
    version: u64,
    last_segment: ClaimSegment,
}

impl ClaimShard {
    /// Creates an empty view. The caller then reads the segments from number 0 on.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the segment to read or write next: the last one, as far as is known.
    pub fn segment_number(&self) -> u32 {
        self.segment_number
    }

    /// Returns the number of known claims.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the holder of a key, or `None` if no claim is known. The view may be stale.
    pub fn holder(&self, key: ClaimKey) -> Option<ClaimHolder> {
        let record = self.holders.get(&key)?;
        Some(ClaimHolder { request: record.request, entry: record.entry.clone() })
    }

    /// Adds the claims of the last segment as read at `version`. Returns whether it is sealed, so
    /// that the next segment must be read.
    ///
    /// Segments must be read in order: a later record for a key replaces an earlier one.
    pub fn apply_segment(&mut self, version: u64, segment: ClaimSegment) -> bool {
        for record in &segment.claims {
            self.holders.insert(record.key, record.clone());
        }
        let sealed = segment.sealed;
        if sealed {
            self.segment_number += 1;
            self.version = 0;
            self.last_segment = ClaimSegment::default();
        } else {
            self.version = version;
            self.last_segment = segment;
        }
        sealed
    }

    /// Returns the write that claims the keys of a group of proposals, or `None` if all keys are
    /// held.
    ///
    /// The first proposal for a key wins. After [`ClaimShard::apply_write`], or after reading the
    /// segment again, [`ClaimShard::holder`] returns the holder of each key.
    pub fn plan(&self, proposals: &[ClaimProposal], now: Millis) -> Option<ClaimWrite> {
        let mut segment = self.last_segment.clone();
        let mut added: HashSet<ClaimKey> = HashSet::new();
        for proposal in proposals {
            let holder = self.holders.get(&proposal.key).map(|record| record.request);
            let is_free = holder.is_none() || holder == proposal.replaces;
            if is_free && added.insert(proposal.key) {
                segment.claims.push(ClaimRecord {
                    key: proposal.key,
                    request: proposal.request,
                    entry: proposal.entry.clone(),
                    at: now,
                });
            }
        }
        segment.sealed = segment.claims.len() >= MAX_SEGMENT_CLAIMS;
        let write =
            ClaimWrite { segment_number: self.segment_number, expected: self.version, segment };
        (!added.is_empty()).then_some(write)
    }

    /// Applies a planned write that the store accepted at `version`.
    pub fn apply_write(&mut self, write: ClaimWrite, version: u64) {
        self.apply_segment(version, write.segment);
    }
}
