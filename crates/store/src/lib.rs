//! Clients of the platform: its object store and its list of VMs.
//!
//! The store's published interface is HTTP with JSON:
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/objects/{kind}/{name}` | contents, `Object-Version` header; 404 where absent, with the tombstone's version |
//! | `PUT` with `If-Version: n` | conditional write (`0`: must not exist); 200 with the new version, 409 otherwise |
//! | `DELETE` with `If-Version: n` | leaves a tombstone with a version of its own |
//! | `GET /v1/objects/{kind}` | all objects of a kind |
//! | `GET /v1/watch?kinds=a,b&after=r&wait_ms=w` | changes after a revision; 410 where it is too old |
//! | `GET /v1/vms` | the live and leaving VMs, with a lag |
//!
//! Versions are revisions of the whole store and only grow. The outcome of a write is one of three,
//! and [`StoreError`] keeps them apart: accepted, refused, or *unclear*, where the answer was lost and
//! only reading back can tell.

mod client;
mod error;
mod types;

pub use client::{StoreClient, StoreConfig, StoreMeter};
pub use error::StoreError;
pub use types::{ChangeBatch, StoredChange, StoredObject, VmEntry, VmList, VmRole, VmState};

/// Largest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Header that carries the version that a write expects.
pub const IF_VERSION: &str = "if-version";

/// Header that carries an object's version.
pub const OBJECT_VERSION: &str = "object-version";
