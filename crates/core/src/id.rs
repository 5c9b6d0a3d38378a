//! Request identifiers.
//!
//! A [`RequestId`] consists of the incarnation of the entry that issued it (derived from the start
//! time and the name of the process) and a counter within that incarnation. Both only grow, so a
//! [`RequestLedger`](crate::ledger::RequestLedger) can evict old ids without ever treating an
//! evicted one as new.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Millis, hash::hash_bytes};

/// Length of the text form of an identifier, in hexadecimal digits.
pub const TEXT_LEN: usize = 32;

/// Identifier of a request, unique across all entries and their restarts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Incarnation of the issuing entry, see [`process_incarnation`].
    pub incarnation: u64,
    /// Sequence number within the incarnation, from 1.
    pub counter: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.incarnation, self.counter)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || {
            let detail = format!("request id must be {TEXT_LEN} hexadecimal digits");
            Error::new(ErrorKind::MalformedId, detail)
        };
        let all_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != TEXT_LEN || !all_hex {
            return Err(malformed());
        }
        let (left, right) = text.split_at(TEXT_LEN / 2);
        let incarnation = u64::from_str_radix(left, 16).map_err(|_| malformed())?;
        let counter = u64::from_str_radix(right, 16).map_err(|_| malformed())?;
        Ok(Self { incarnation, counter })
    }
}

/// Low bits of an incarnation, taken from the hash of the process name. They distinguish processes
/// that start in the same millisecond.
const NAME_BITS: u32 = 22;

/// Returns the incarnation of a process that starts `epoch_millis` milliseconds after the Unix
/// epoch.
///
/// Incarnations of a process grow with each restart, and differ between processes that start in the
/// same millisecond.
pub fn process_incarnation(process: &str, epoch_millis: Millis) -> u64 {
    let name = hash_bytes(17, process.as_bytes()) & ((1 << NAME_BITS) - 1);
    (epoch_millis << NAME_BITS) | name
}

/// Issues the request identifiers of one incarnation of an entry.
#[derive(Debug)]
pub struct IdIssuer {
    incarnation: u64,
    issued: u64,
}

impl IdIssuer {
    /// Creates an issuer for an incarnation, see [`process_incarnation`]. Its counter starts at 1.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, issued: 0 }
    }

    /// Returns the next identifier.
    pub fn issue(&mut self) -> RequestId {
        self.issued += 1;
        RequestId { incarnation: self.incarnation, counter: self.issued }
    }

    /// Returns whether this issuer has issued `id`.
    pub fn has_issued(&self, id: RequestId) -> bool {
        id.incarnation == self.incarnation && id.counter <= self.issued
    }
}
