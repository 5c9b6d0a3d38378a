//! Types of the store's responses.

use serde::{Deserialize, Serialize};

/// Object as returned by a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Version of the object or of its tombstone; 0 if there never was such an object.
    pub version: u64,
    /// Contents; `None` if the object is absent or deleted.
    pub value: Option<Vec<u8>>,
}

/// State of an object after its last change, as returned by a list or a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredChange {
    /// Kind of the object.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
    /// Version after the change.
    pub version: u64,
    /// Contents as text; `None` for a tombstone.
    pub value: Option<String>,
}

/// Response to a list or a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeBatch {
    /// Revision of the store up to which the batch is complete; the next watch starts after it.
    pub revision: u64,
    /// Changes, oldest first.
    pub changes: Vec<StoredChange>,
}

/// Which process a VM runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry.
    Entry,
    /// An agent and the endpoint that it serves.
    Endpoint,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed by the platform.
    Leaving,
}

/// VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name of the VM, and of the entry or agent that runs on it.
    pub name: String,
    /// Address of that entry or agent.
    pub address: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Which process the VM runs.
    pub role: VmRole,
    /// Lifecycle state.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Revision of the list; grows with each change.
    pub revision: u64,
    /// The VMs, in no particular order.
    pub vms: Vec<VmEntry>,
}
