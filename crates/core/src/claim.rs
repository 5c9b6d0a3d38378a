//! Claims: at most one run for each key that a caller sends again.
//!
//! A key is claimed for a request before the request is dispatched. Claims live in shards of the
//! platform's store; a shard is a chain of segments, each an object well below the store's size limit.
//! Only the last segment takes claims; a full one is sealed by the write that fills it, and the next
//! is created by a conditional write that fails where it exists.
//!
//! Safety rests on the conditional write alone. A [`ClaimShard`] is a process's view of one shard; a
//! view may be old, but then its write fails, it reads the segment again, and tries anew. A claim is
//! granted only by [`ClaimShard::apply_write`], that is after the store said yes, or after the segment
//! was read back and the claim was found in it. Memory: about 150 bytes a claim.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{Millis, hash::hash_bytes, id::RequestId};

/// Shards that claims are spread over; bounds the writes a second at the store.
pub const CLAIM_SHARDS: u64 = 8;

/// Claims in one segment; a full segment stays below 400 kB.
pub const MAX_SEGMENT_CLAIMS: usize = 2_000;

/// Hash of an organisation and the key that it chose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    high: u64,
    low: u64,
}

impl ClaimKey {
    /// Hashes an organisation and its key to 128 bits.
    pub fn new(organisation: &str, key: &str) -> Self {
        let half = |seed| hash_bytes(hash_bytes(seed, organisation.as_bytes()), key.as_bytes());
        Self { high: half(1), low: half(2) }
    }

    /// Both halves, to send.
    pub fn halves(&self) -> (u64, u64) {
        (self.high, self.low)
    }

    /// From both halves, as received.
    pub fn from_halves(high: u64, low: u64) -> Self {
        Self { high, low }
    }

    /// Shard of the key.
    pub fn shard(&self) -> u64 {
        self.high % CLAIM_SHARDS
    }
}

/// One claim, as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// What is claimed.
    pub key: ClaimKey,
    /// Who holds it.
    pub request: RequestId,
    /// Entry that issued the request, which knows its outcome.
    pub entry: String,
    /// When it was claimed, in milliseconds since the epoch.
    pub at: Millis,
}

/// A segment, as stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimSegment {
    /// Claims, oldest first.
    pub claims: Vec<ClaimRecord>,
    /// Takes no more claims; the next segment does.
    pub sealed: bool,
}

/// A claim that is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimProposal {
    /// What is claimed.
    pub key: ClaimKey,
    /// Who wants it.
    pub request: RequestId,
    /// Entry that issued the request.
    pub entry: String,
    /// Holder that is known never to have run, and may be replaced.
    pub replaces: Option<RequestId>,
}

/// A claim that somebody holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimHolder {
    /// Request that holds it.
    pub request: RequestId,
    /// Entry that issued the request.
    pub entry: String,
}

/// A conditional write of the last segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// Number of the segment.
    pub segment_number: u32,
    /// Version that it must still have; 0 means that it must not exist.
    pub expected: u64,
    /// New contents.
    pub segment: ClaimSegment,
}

/// A process's view of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimShard {
    holders: HashMap<ClaimKey, ClaimRecord>,
    number: u32,
    version: u64,
    last: ClaimSegment,
}

impl ClaimShard {
    /// Starts with no knowledge: segments are to be read from number 0 on.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the segment that is taken to be the last.
    pub fn segment_number(&self) -> u32 {
        self.number
    }

    /// Count of claims known.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Holder of a key, as far as is known.
    pub fn holder(&self, key: ClaimKey) -> Option<ClaimHolder> {
        let record = self.holders.get(&key)?;
        Some(ClaimHolder { request: record.request, entry: record.entry.clone() })
    }

    /// Takes in the segment as read at `version`. Returns whether another one follows.
    ///
    /// Segments are read in order; a later record for a key replaced an earlier one.
    pub fn apply_segment(&mut self, version: u64, segment: ClaimSegment) -> bool {
        for record in &segment.claims {
            self.holders.insert(record.key, record.clone());
        }
        let sealed = segment.sealed;
        if sealed {
            self.number += 1;
            self.version = 0;
            self.last = ClaimSegment::default();
        } else {
            self.version = version;
            self.last = segment;
        }
        sealed
    }

    /// Plans the write that claims a group of keys; nothing where all of them are held already.
    ///
    /// The first wish for a key wins. After [`ClaimShard::apply_write`], or after reading the segment
    /// again, [`ClaimShard::holder`] tells for each wish who holds its key.
    pub fn plan(&self, wishes: &[ClaimProposal], now: Millis) -> Option<ClaimWrite> {
        let mut segment = self.last.clone();
        let mut added: HashSet<ClaimKey> = HashSet::new();
        for wish in wishes {
            let holder = self.holders.get(&wish.key).map(|record| record.request);
            let is_free = holder.is_none() || holder == wish.replaces;
            if is_free && added.insert(wish.key) {
                segment.claims.push(ClaimRecord {
                    key: wish.key,
                    request: wish.request,
                    entry: wish.entry.clone(),
                    at: now,
                });
            }
        }
        segment.sealed = segment.claims.len() >= MAX_SEGMENT_CLAIMS;
        let write = ClaimWrite { segment_number: self.number, expected: self.version, segment };
        (!added.is_empty()).then_some(write)
    }

    /// Notes that the store accepted a planned write at `version`.
    pub fn apply_write(&mut self, write: ClaimWrite, version: u64) {
        self.apply_segment(version, write.segment);
    }
}
