//! Identifiers of requests.
//!
//! A [`RequestId`] names the run of the entry that issued it (its incarnation, made
//! of the time it started at and its name) and a counter within that run. Both only grow, which is what lets a
//! [`RequestLedger`](crate::ledger::RequestLedger) forget old ids without ever taking one for new.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Millis, hash::hash_bytes};

/// Length of an identifier in its text form, in hexadecimal digits.
pub const TEXT_LEN: usize = 32;

/// A request, unique over all entries and their restarts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Run of the issuing entry, see [`process_incarnation`].
    pub incarnation: u64,
    /// Count of requests within that run, from 1.
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

/// Bits of an incarnation that tell apart processes that start in the same millisecond.
const NAME_BITS: u32 = 22;

/// Incarnation of a run of a process that starts `epoch_millis` after the epoch.
///
/// It grows from run to run of one process, and differs between processes that start together.
pub fn process_incarnation(process: &str, epoch_millis: Millis) -> u64 {
    let name = hash_bytes(17, process.as_bytes()) & ((1 << NAME_BITS) - 1);
    (epoch_millis << NAME_BITS) | name
}

/// Issues the identifiers of one run of an entry.
#[derive(Debug)]
pub struct IdIssuer {
    incarnation: u64,
    issued: u64,
}

impl IdIssuer {
    /// Starts counting for a run, see [`process_incarnation`].
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, issued: 0 }
    }

    /// Issues the next identifier.
    pub fn issue(&mut self) -> RequestId {
        self.issued += 1;
        RequestId { incarnation: self.incarnation, counter: self.issued }
    }

    /// Tells whether this run issued `id`.
    pub fn has_issued(&self, id: RequestId) -> bool {
        id.incarnation == self.incarnation && id.counter <= self.issued
    }
}
