//! Objects that merge by largest version.
//!
//! Every process keeps the objects it has heard of in a [`VersionedObjects`]. A copy is taken only
//! where its version is larger than the one held, whoever it came from and in whatever order: so no
//! process ever goes back, and all processes that hear of the same copies hold the same objects.
//! A deleted object leaves a tombstone with a version of its own.

use std::{collections::BTreeMap, sync::Arc};

use crate::hash::hash_bytes;

/// Name of a stored object.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectKey {
    /// Kind, such as `event`.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
}

impl ObjectKey {
    /// Makes a key.
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self { kind: kind.into(), name: name.into() }
    }
}

/// A copy of an object at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectCopy {
    /// Version, larger at each accepted change.
    pub version: u64,
    /// Contents, or nothing for a tombstone.
    pub value: Option<Arc<[u8]>>,
}

/// The largest version of each object that a process has heard of.
#[derive(Clone, Debug, Default)]
pub struct VersionedObjects {
    copies: BTreeMap<ObjectKey, ObjectCopy>,
    hash: u64,
}

impl VersionedObjects {
    /// Makes an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a copy where it is newer; returns whether it was.
    pub fn merge(&mut self, key: &ObjectKey, copy: ObjectCopy) -> bool {
        let held = self.version(key);
        if copy.version <= held {
            return false;
        }
        if held > 0 {
            self.hash ^= version_hash(key, held);
        }
        self.hash ^= version_hash(key, copy.version);
        self.copies.insert(key.clone(), copy);
        true
    }

    /// Version held, or 0.
    pub fn version(&self, key: &ObjectKey) -> u64 {
        self.copies.get(key).map_or(0, |copy| copy.version)
    }

    /// Copy held, tombstones included.
    pub fn get(&self, key: &ObjectKey) -> Option<&ObjectCopy> {
        self.copies.get(key)
    }

    /// Contents held, where the object is not deleted.
    pub fn value(&self, key: &ObjectKey) -> Option<&[u8]> {
        self.copies.get(key)?.value.as_deref()
    }

    /// Objects of one kind that are not deleted, by name.
    pub fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = (&'a ObjectKey, &'a [u8])> {
        let start = ObjectKey::new(kind, "");
        let range = self.copies.range(start..);
        range
            .take_while(move |(key, _)| key.kind == kind)
            .filter_map(|(key, copy)| Some((key, copy.value.as_deref()?)))
    }

    /// All copies, tombstones included.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectKey, &ObjectCopy)> {
        self.copies.iter()
    }

    /// Hash over all versions: equal sets have equal hashes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Largest version of all.
    pub fn max_version(&self) -> u64 {
        self.copies.values().map(|copy| copy.version).max().unwrap_or(0)
    }

    /// Count of objects, tombstones included.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Tells whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}

fn version_hash(key: &ObjectKey, version: u64) -> u64 {
    let kind = hash_bytes(version, key.kind.as_bytes());
    hash_bytes(kind, key.name.as_bytes())
}
