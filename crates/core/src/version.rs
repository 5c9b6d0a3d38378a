//! Replicated objects that merge by highest version.
//!
//! Every process keeps the objects that it has received in a [`VersionedObjects`]. A copy replaces
//! the current one only if its version is higher, whatever its source and the order of arrival.
//! Versions therefore never regress, and all processes that receive the same copies converge on the
//! same objects. A deleted object leaves a tombstone with a version of its own.

use std::{collections::BTreeMap, sync::Arc};

use crate::hash::hash_bytes;

/// Key of a stored object.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectKey {
    /// Kind, such as `event`.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
}

impl ObjectKey {
    /// Creates the key of the object `name` of a kind.
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self { kind: kind.into(), name: name.into() }
    }
}

/// A copy of an object at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectCopy {
    /// Version; it grows with each accepted change.
    pub version: u64,
    /// Contents, or `None` for a tombstone.
    pub value: Option<Arc<[u8]>>,
}

/// The highest version of each object that a process has received.
#[derive(Clone, Debug, Default)]
pub struct VersionedObjects {
    copies: BTreeMap<ObjectKey, ObjectCopy>,
    hash: u64,
}

impl VersionedObjects {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the copy if it is newer than the current one. Returns whether it was.
    pub fn merge(&mut self, key: &ObjectKey, copy: ObjectCopy) -> bool {
        let current = self.version(key);
        if copy.version <= current {
            return false;
        }
        if current > 0 {
            self.hash ^= version_hash(key, current);
        }
        self.hash ^= version_hash(key, copy.version);
        self.copies.insert(key.clone(), copy);
        true
    }

    /// Returns the current version of an object, or 0 if there is none.
    pub fn version(&self, key: &ObjectKey) -> u64 {
        self.copies.get(key).map_or(0, |copy| copy.version)
    }

    /// Returns the current copy of an object, which may be a tombstone.
    pub fn get(&self, key: &ObjectKey) -> Option<&ObjectCopy> {
        self.copies.get(key)
    }

    /// Returns the contents of an object, or `None` if it is missing or deleted.
    pub fn value(&self, key: &ObjectKey) -> Option<&[u8]> {
        self.copies.get(key)?.value.as_deref()
    }

    /// Returns the objects of one kind that are not deleted, ordered by name.
    pub fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = (&'a ObjectKey, &'a [u8])> {
        let start = ObjectKey::new(kind, "");
        let range = self.copies.range(start..);
        range
            .take_while(move |(key, _)| key.kind == kind)
            .filter_map(|(key, copy)| Some((key, copy.value.as_deref()?)))
    }

    /// Returns all copies, tombstones included, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectKey, &ObjectCopy)> {
        self.copies.iter()
    }

    /// Returns a hash over all keys and versions: equal sets have equal hashes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the highest version of any object, or 0 if the set is empty.
    pub fn max_version(&self) -> u64 {
        self.copies.values().map(|copy| copy.version).max().unwrap_or(0)
    }

    /// Returns the number of objects, tombstones included.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether the set holds no objects or tombstones.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}

fn version_hash(key: &ObjectKey, version: u64) -> u64 {
    let kind = hash_bytes(version, key.kind.as_bytes());
    hash_bytes(kind, key.name.as_bytes())
}
