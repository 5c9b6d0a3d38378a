//! What the platform's answers hold.

use serde::{Deserialize, Serialize};

/// An object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Version; 0 where there never was such an object.
    pub version: u64,
    /// Contents; nothing where it is absent or deleted.
    pub value: Option<Vec<u8>>,
}

/// One change, as listed or watched.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredChange {
    /// Kind of the object.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
    /// Version after the change.
    pub version: u64,
    /// Contents as text; nothing for a tombstone.
    pub value: Option<String>,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeBatch {
    /// Revision that the batch reaches.
    pub revision: u64,
    /// Changes, oldest first.
    pub changes: Vec<StoredChange>,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs an entry.
    Entry,
    /// Runs an agent beside an endpoint.
    Endpoint,
}

/// Whether a VM is to stay.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It is there.
    Live,
    /// It will go soon.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name; also the name of the process of the system that runs there.
    pub name: String,
    /// Address of that process.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// What it is for.
    pub role: VmRole,
    /// Whether it is to stay.
    pub state: VmState,
}

/// The list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Grows with each change of the list.
    pub revision: u64,
    /// VMs, in no order.
    pub vms: Vec<VmEntry>,
}
