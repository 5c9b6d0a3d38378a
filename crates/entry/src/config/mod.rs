//! What is in force, and how every entry comes to know of it.
//!
//! The store is the origin. Two entries of each data centre, chosen by rendezvous hashing, hold a
//! watch; they push each change along a tree of bounded fan-out over all entries. Once a second each
//! entry compares the hash of all its versions with one other entry, which repairs whatever a push did
//! not reach. So the store's watches grow with data centres, not with entries, and a change goes on
//! spreading in an outage of the store.
//!
//! Objects merge by largest version ([`VersionedObjects`]), so no order of arrival can take any entry
//! back. The list of VMs travels the same way, as an object whose version is the list's revision.
//!
//! [`VersionedObjects`]: switchfold_core::version::VersionedObjects

mod gossip;
mod peer_server;
mod service;
mod view;
mod watch;

pub use gossip::{PeerAddress, PeerDirectory, exchange_digests, push_changes};
pub use peer_server::PeerServer;
pub use service::{
    BuildDigest, CONFIG, CompareDigest, ConfigService, ConfigVersion, ConfigVersions, Merge,
    MergeOrigin, NamedCopy, PeerSyncStatus, PendingPush, ReadConfig, ReadPeers, RecordPeerHash,
};
pub use view::{ConfigView, StoredPlan, VM_LIST_KIND, VersionedPlan};
pub use watch::{WatcherSelection, poll_vm_list, watch_config};
