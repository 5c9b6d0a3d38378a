//! Service that holds the versioned configuration objects.

use std::{collections::BTreeMap, sync::Arc};

use switchfold_core::{
    Millis,
    version::{ObjectCopy, ObjectKey, VersionedObjects},
};
use switchfold_kernel::{clock::now_millis, registry::ServiceName};
use switchfold_proto::peer::{self, Digest, DigestAnswer};
use tokio::sync::{mpsc, watch};
use xtra::{Actor, Context, Handler};

use super::view::ConfigView;

/// Name of the service in the entry's registry.
pub const CONFIG: ServiceName = ServiceName("config");

/// Objects to push to the other entries.
#[derive(Clone, Debug)]
pub struct PendingPush {
    /// Entry from which the push started, which is the root of the push tree.
    pub root: String,
    /// Objects that were merged as new.
    pub objects: Vec<peer::ObjectCopy>,
}

/// Holds the current version of each object, and publishes a [`ConfigView`] of all after each
/// change.
#[derive(Actor)]
pub struct ConfigService {
    process: String,
    objects: VersionedObjects,
    view: watch::Sender<Arc<ConfigView>>,
    pushes: mpsc::UnboundedSender<PendingPush>,
    peers: BTreeMap<String, PeerSyncStatus>,
    last_contact: watch::Sender<Millis>,
    /// Whether every kind of object has been received in full.
    is_complete: bool,
}

/// Source of merged objects, which determines to which entries they are pushed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOrigin {
    /// The store, or a write of this entry: pushed to all entries.
    Local,
    /// A push that started at the entry `root`: forwarded to the children of this entry in the tree
    /// of that root.
    Pushed {
        /// Entry at which the push started.
        root: String,
    },
    /// A digest exchange: not forwarded, since the other entries exchange digests themselves.
    Exchanged,
}

/// Merges objects by version. Returns the number of objects that were new or newer.
#[derive(Debug)]
pub struct Merge {
    /// Objects to merge.
    pub copies: Vec<NamedCopy>,
    /// Source of the objects.
    pub origin: MergeOrigin,
    /// Whether this entry holds every object of the store after the merge.
    pub is_complete: bool,
}

impl Merge {
    /// Merges what another entry sent in an exchange. `is_complete` states whether that entry holds
    /// every object of the store.
    pub fn from_exchange(copies: Vec<NamedCopy>, is_complete: bool) -> Self {
        Self { copies, origin: MergeOrigin::Exchanged, is_complete }
    }
}

/// A version of an object, with the object's key.
#[derive(Clone, Debug)]
pub struct NamedCopy {
    /// Kind and name of the object.
    pub key: ObjectKey,
    /// Version and value.
    pub copy: ObjectCopy,
}

/// Builds a digest of all versions, to start an exchange with another entry.
pub struct BuildDigest;

/// Compares the digest of another entry and builds the response to it.
#[derive(Debug)]
pub struct CompareDigest(pub Digest);

/// Records the hash of versions that another entry reported.
#[derive(Debug)]
pub struct RecordPeerHash {
    /// Name of the other entry.
    pub peer: String,
    /// Hash over all its versions.
    pub hash: u64,
}

/// Returns the versions of all objects.
pub struct ReadConfig;

/// Returns the result of the last exchange with each other entry.
pub struct ReadPeers;

/// Result of the last exchange with another entry.
#[derive(Clone, Debug)]
pub struct PeerSyncStatus {
    /// Name of the other entry.
    pub peer: String,
    /// Whether its versions equalled those of this entry.
    pub in_sync: bool,
    /// Time of the exchange, in milliseconds of the process's clock.
    pub exchanged_at: Millis,
}

/// Current version of one object.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    /// Kind and name of the object.
    pub key: ObjectKey,
    /// Current version.
    pub version: u64,
    /// Whether this version is a deletion.
    pub deleted: bool,
}

/// Versions of all objects.
#[derive(Clone, Debug)]
pub struct ConfigVersions {
    /// One row for each object, deleted ones included.
    pub rows: Vec<ConfigVersion>,
    /// Hash over all versions; equal at entries with the same configuration.
    pub hash: u64,
}

impl ConfigService {
    /// Creates a service without objects. `last_contact` is set to the time of each message from
    /// the store or another entry.
    pub fn new(
        process: &str,
        view: watch::Sender<Arc<ConfigView>>,
        pushes: mpsc::UnboundedSender<PendingPush>,
        last_contact: watch::Sender<Millis>,
    ) -> Self {
        Self {
            process: process.to_owned(),
            objects: VersionedObjects::new(),
            view,
            pushes,
            peers: BTreeMap::new(),
            last_contact,
            is_complete: false,
        }
    }

    /// Publishes the current objects.
    fn publish(&self) {
        let view = ConfigView::new(&self.objects, self.is_complete);
        for error in &view.errors {
            log::warn!("object=unreadable error={error:?}");
        }
        self.view.send_replace(Arc::new(view));
    }

    fn versions(&self) -> Vec<peer::ObjectVersion> {
        let versions = self.objects.iter();
        versions
            .map(|(key, copy)| peer::ObjectVersion {
                kind: key.kind.clone(),
                name: key.name.clone(),
                version: copy.version,
            })
            .collect()
    }
}

/// Encodes an object as a message.
pub(super) fn copy_to_message(key: &ObjectKey, copy: &ObjectCopy) -> peer::ObjectCopy {
    peer::ObjectCopy {
        kind: key.kind.clone(),
        name: key.name.clone(),
        version: copy.version,
        deleted: copy.value.is_none(),
        value: copy.value.as_deref().unwrap_or_default().to_vec().into(),
    }
}

/// Decodes an object from a message.
pub(super) fn copy_from_message(message: peer::ObjectCopy) -> NamedCopy {
    let value = (!message.deleted).then(|| Arc::from(&message.value[..]));
    NamedCopy {
        key: ObjectKey::new(message.kind, message.name),
        copy: ObjectCopy { version: message.version, value },
    }
}

impl Handler<Merge> for ConfigService {
    type Return = usize;

    async fn handle(&mut self, message: Merge, _: &mut Context<Self>) -> usize {
        self.last_contact.send_replace(now_millis());
        let mut changed = Vec::new();
        for named in message.copies {
            if self.objects.merge(&named.key, named.copy.clone()) {
                changed.push(copy_to_message(&named.key, &named.copy));
            }
        }
        let becomes_complete = message.is_complete && !self.is_complete;
        if becomes_complete {
            log::info!("config=complete origin={:?}", message.origin);
            self.is_complete = true;
        }
        if becomes_complete || !changed.is_empty() {
            self.publish();
        }
        if changed.is_empty() {
            return 0;
        }
        let count = changed.len();
        let root = match message.origin {
            MergeOrigin::Local => Some(self.process.clone()),
            MergeOrigin::Pushed { root } => Some(root),
            MergeOrigin::Exchanged => None,
        };
        if let Some(root) = root {
            let _pusher_may_have_stopped = self.pushes.send(PendingPush { root, objects: changed });
        }
        count
    }
}

impl Handler<BuildDigest> for ConfigService {
    type Return = Digest;

    async fn handle(&mut self, _: BuildDigest, _: &mut Context<Self>) -> Digest {
        Digest {
            sender: self.process.clone(),
            hash: self.objects.hash(),
            versions: Vec::new(),
            full: false,
        }
    }
}

/// Builds a digest that lists the version of each object.
pub(super) struct BuildFullDigest;

impl Handler<BuildFullDigest> for ConfigService {
    type Return = Digest;

    async fn handle(&mut self, _: BuildFullDigest, _: &mut Context<Self>) -> Digest {
        Digest {
            sender: self.process.clone(),
            hash: self.objects.hash(),
            versions: self.versions(),
            full: true,
        }
    }
}

/// Collects the objects of which another entry has an older version or none, given its versions.
pub(super) struct CollectNewer(pub(super) Vec<peer::ObjectVersion>);

impl Handler<CollectNewer> for ConfigService {
    type Return = Vec<peer::ObjectCopy>;

    async fn handle(
        &mut self,
        message: CollectNewer,
        _: &mut Context<Self>,
    ) -> Vec<peer::ObjectCopy> {
        self.newer_than(&message.0)
    }
}

impl ConfigService {
    /// Returns the objects that have a larger version than in `versions` or are not listed there.
    fn newer_than(&self, versions: &[peer::ObjectVersion]) -> Vec<peer::ObjectCopy> {
        let known = versions.iter();
        let known: BTreeMap<ObjectKey, u64> = known
            .map(|version| {
                (ObjectKey::new(version.kind.clone(), version.name.clone()), version.version)
            })
            .collect();
        let newer = self.objects.iter();
        let newer = newer.filter(|(key, copy)| known.get(key).copied().unwrap_or(0) < copy.version);
        newer.map(|(key, copy)| copy_to_message(key, copy)).collect()
    }

    /// Records the result of an exchange, and its time as the last contact to another entry.
    fn record_peer_hash(&mut self, peer: &str, hash: u64) {
        let now = now_millis();
        self.last_contact.send_replace(now);
        let in_sync = hash == self.objects.hash();
        let status = PeerSyncStatus { peer: peer.to_owned(), in_sync, exchanged_at: now };
        self.peers.insert(peer.to_owned(), status);
    }
}

impl Handler<CompareDigest> for ConfigService {
    type Return = DigestAnswer;

    async fn handle(&mut self, message: CompareDigest, _: &mut Context<Self>) -> DigestAnswer {
        let digest = message.0;
        self.record_peer_hash(&digest.sender, digest.hash);
        let complete = self.is_complete;
        if digest.hash == self.objects.hash() {
            return DigestAnswer { same: true, complete, ..DigestAnswer::default() };
        }
        let newer = match digest.full {
            true => self.newer_than(&digest.versions),
            false => Vec::new(),
        };
        DigestAnswer { same: false, versions: self.versions(), newer, complete }
    }
}

impl Handler<RecordPeerHash> for ConfigService {
    type Return = ();

    async fn handle(&mut self, message: RecordPeerHash, _: &mut Context<Self>) {
        self.record_peer_hash(&message.peer, message.hash);
    }
}

impl Handler<ReadConfig> for ConfigService {
    type Return = ConfigVersions;

    async fn handle(&mut self, _: ReadConfig, _: &mut Context<Self>) -> ConfigVersions {
        let rows = self.objects.iter().map(|(key, copy)| ConfigVersion {
            key: key.clone(),
            version: copy.version,
            deleted: copy.value.is_none(),
        });
        ConfigVersions { rows: rows.collect(), hash: self.objects.hash() }
    }
}

impl Handler<ReadPeers> for ConfigService {
    type Return = Vec<PeerSyncStatus>;

    async fn handle(&mut self, _: ReadPeers, _: &mut Context<Self>) -> Vec<PeerSyncStatus> {
        self.peers.values().cloned().collect()
    }
}
