//! What can go wrong with the store.

use derive_more::{Display, Error};

/// Why a call of the store did not do what was asked.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[non_exhaustive]
pub enum StoreError {
    /// The store did not take the call; nothing changed.
    #[display("store unavailable: {detail}")]
    Unavailable {
        /// What it said.
        detail: String,
    },
    /// The store's rate is used up; nothing changed.
    #[display("store's rate is used up")]
    RateLimited,
    /// The object has another version than the write expected; nothing changed.
    #[display("conflict: the object is at version {version}")]
    Conflict {
        /// Version that it has.
        version: u64,
    },
    /// The answer was lost: the write may have taken effect.
    #[display("answer lost, the write may have taken effect: {detail}")]
    OutcomeUnknown {
        /// What happened.
        detail: String,
    },
    /// The value is larger than the store takes; it was not sent.
    #[display("value of {len} bytes, the store takes {most}")]
    TooLarge {
        /// Length of the value.
        len: usize,
        /// Most that it takes.
        most: usize,
    },
    /// The watch asked for a revision that the store has forgotten: read everything again.
    #[display("revision is too old to watch from")]
    RevisionExpired,
    /// The answer is not what the interface says.
    #[display("malformed answer: {detail}")]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}
