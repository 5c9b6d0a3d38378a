//! The service that holds the objects in force.

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

/// Copies that are to be pushed on.
#[derive(Clone, Debug)]
pub struct PendingPush {
    /// Entry from which the push started; the tree is rooted there.
    pub root: String,
    /// The copies.
    pub objects: Vec<peer::ObjectCopy>,
}

/// Holds the objects in force.
#[derive(Actor)]
pub struct ConfigService {
    process: String,
    objects: VersionedObjects,
    view: watch::Sender<Arc<ConfigView>>,
    pushes: mpsc::UnboundedSender<PendingPush>,
    peers: BTreeMap<String, PeerSyncStatus>,
    last_contact: watch::Sender<Millis>,
}

/// Where copies came from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOrigin {
    /// The store, or a write of this entry: to be pushed to all.
    Local,
    /// A push that started at this entry: to be pushed on along its tree.
    Pushed {
        /// Where it started.
        root: String,
    },
    /// An exchange with one entry: the other entries do their own.
    Exchanged,
}

/// Takes copies.
#[derive(Debug)]
pub struct Merge {
    /// The copies.
    pub copies: Vec<NamedCopy>,
    /// Where they came from.
    pub origin: MergeOrigin,
}

/// A copy with its name.
#[derive(Clone, Debug)]
pub struct NamedCopy {
    /// Name of the object.
    pub key: ObjectKey,
    /// The copy.
    pub copy: ObjectCopy,
}

/// Makes a digest to send to another entry.
pub struct BuildDigest;

/// Answers the digest of another entry.
#[derive(Debug)]
pub struct CompareDigest(pub Digest);

/// Notes what another entry said of its versions.
#[derive(Debug)]
pub struct RecordPeerHash {
    /// The other entry.
    pub peer: String,
    /// Hash of all its versions.
    pub hash: u64,
}

/// Asks for the objects in force.
pub struct ReadConfig;

/// Asks what other entries last said.
pub struct ReadPeers;

/// What another entry last said.
#[derive(Clone, Debug)]
pub struct PeerSyncStatus {
    /// The other entry.
    pub peer: String,
    /// Whether its versions were those of this entry.
    pub same: bool,
    /// When.
    pub at: Millis,
}

/// One object in force.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    /// Name of the object.
    pub key: ObjectKey,
    /// Version in force.
    pub version: u64,
    /// It is deleted.
    pub deleted: bool,
}

/// The objects in force.
#[derive(Clone, Debug)]
pub struct ConfigVersions {
    /// All of them.
    pub rows: Vec<ConfigVersion>,
    /// Hash of all versions.
    pub hash: u64,
}

impl ConfigService {
    /// Makes the service of an entry that knows nothing yet.
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
        }
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

/// A copy as a message.
pub(super) fn copy_to_message(key: &ObjectKey, copy: &ObjectCopy) -> peer::ObjectCopy {
    peer::ObjectCopy {
        kind: key.kind.clone(),
        name: key.name.clone(),
        version: copy.version,
        deleted: copy.value.is_none(),
        value: copy.value.as_deref().unwrap_or_default().to_vec().into(),
    }
}

/// A copy from a message.
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
        let mut taken = Vec::new();
        for named in message.copies {
            if self.objects.merge(&named.key, named.copy.clone()) {
                taken.push(copy_to_message(&named.key, &named.copy));
            }
        }
        if taken.is_empty() {
            return 0;
        }
        let view = ConfigView::new(&self.objects);
        for fault in &view.faults {
            log::warn!("object=unreadable error={fault:?}");
        }
        self.view.send_replace(Arc::new(view));
        let count = taken.len();
        let root = match message.origin {
            MergeOrigin::Local => Some(self.process.clone()),
            MergeOrigin::Pushed { root } => Some(root),
            MergeOrigin::Exchanged => None,
        };
        if let Some(root) = root {
            let _pusher_may_have_stopped = self.pushes.send(PendingPush { root, objects: taken });
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

/// Makes a digest with all versions in it.
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

/// Copies that another entry lacks, given its versions.
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

    fn record_peer_hash(&mut self, peer: &str, hash: u64) {
        let now = now_millis();
        self.last_contact.send_replace(now);
        let same = hash == self.objects.hash();
        let reading = PeerSyncStatus { peer: peer.to_owned(), same, at: now };
        self.peers.insert(peer.to_owned(), reading);
    }
}

impl Handler<CompareDigest> for ConfigService {
    type Return = DigestAnswer;

    async fn handle(&mut self, message: CompareDigest, _: &mut Context<Self>) -> DigestAnswer {
        let digest = message.0;
        self.record_peer_hash(&digest.sender, digest.hash);
        if digest.hash == self.objects.hash() {
            return DigestAnswer { same: true, versions: Vec::new(), newer: Vec::new() };
        }
        let newer = match digest.full {
            true => self.newer_than(&digest.versions),
            false => Vec::new(),
        };
        DigestAnswer { same: false, versions: self.versions(), newer }
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
