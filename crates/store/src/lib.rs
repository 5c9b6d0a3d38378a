//! Client of the platform's object store and VM list, for entries and agents.
//!
//! The published interface is HTTP with JSON:
//!
//! | call | effect |
//! |---|---|
//! | `GET /v1/objects/{kind}/{name}` | contents, and the version in `Object-Version`; 404 if absent, with the tombstone's version |
//! | `PUT` with `If-Version: n` | writes if the version is still `n` (`0`: if the object does not exist); 200 with the new version, else 409 |
//! | `DELETE` with `If-Version: n` | deletes if the version is still `n`; leaves a tombstone with a version of its own |
//! | `GET /v1/objects/{kind}` | all objects of a kind |
//! | `GET /v1/watch?kinds=a,b&after=r&wait_ms=w` | changes after revision `r`; 410 if it is too old |
//! | `GET /v1/vms` | the live and leaving VMs; may lag behind |
//!
//! Versions are revisions of the whole store and only grow. A write is accepted, refused, or has an
//! unknown outcome: the response was lost, and only reading the object back shows whether the write
//! took effect. [`StoreError`] distinguishes these cases.

mod client;
mod error;
mod types;

pub use client::{StoreClient, StoreConfig, StoreMeter};
pub use error::StoreError;
pub use types::{ChangeBatch, StoredChange, StoredObject, VmEntry, VmList, VmRole, VmState};

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Request header with the version that a write expects.
pub const IF_VERSION: &str = "if-version";

/// Response header with an object's version.
pub const OBJECT_VERSION: &str = "object-version";
