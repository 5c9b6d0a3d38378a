//! Current configuration, and its distribution to all entries.
//!
//! The store is the source of the configuration. Two entries of each data centre, chosen by
//! rendezvous hashing, watch the store and push each change along a tree of bounded fan-out over
//! all entries. Once a second each entry compares the hash of all its versions with one other
//! entry, which repairs missed pushes. So the number of watches at the store grows with the data
//! centres rather than with the entries, and changes keep spreading during an outage of the store.
//!
//! Of two copies of an object, the one with the larger version wins ([`VersionedObjects`]), so no
//! order of arrival can replace an object by an older version. The list of VMs is distributed the
//! same way, as an object whose version is the revision of the list.
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
