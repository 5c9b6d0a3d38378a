//! Errors of store calls.

use derive_more::{Display, Error};

/// Error of a call to the object store.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[non_exhaustive]
pub enum StoreError {
    /// The store could not be reached or did not serve the call; nothing changed.
    #[display("store unavailable: {detail}")]
    Unavailable {
        /// Transport error or status of the response.
        detail: String,
    },
    /// The store's rate limit was exceeded; nothing changed.
    #[display("store's rate limit exceeded")]
    RateLimited,
    /// The object's version is not the expected one; nothing changed.
    #[display("conflict: the object is at version {version}")]
    Conflict {
        /// Current version; 0 if the store's interface does not report one.
        version: u64,
    },
    /// The response was lost or cannot be trusted: the write may have taken effect.
    #[display("response lost, the write may have taken effect: {detail}")]
    OutcomeUnknown {
        /// Why the outcome is unknown.
        detail: String,
    },
    /// The value is larger than the store accepts; it was not sent.
    #[display("value of {len} bytes exceeds the store's limit of {max} bytes")]
    TooLarge {
        /// Length of the value, in bytes.
        len: usize,
        /// Largest accepted length, in bytes.
        max: usize,
    },
    /// The store no longer keeps the history after the revision of a watch; the caller has to list
    /// the objects again.
    #[display("revision is too old to watch from")]
    RevisionExpired,
    /// The request or the response breaks the store's interface.
    #[display("malformed response: {detail}")]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}
