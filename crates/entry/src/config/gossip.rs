//! Pushes of changes along a tree of entries, and periodic digest exchange with a random entry.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::{Rng, RngExt};
use switchfold_core::subset::tree_children;
use switchfold_link::{PeerChannel, peer_channel};
use switchfold_proto::peer::{ObjectPush, peer_client::PeerClient};
use switchfold_store::VmRole;
use tokio::{
    sync::{mpsc, watch},
    time::{interval, timeout},
};
use xtra::Address;

use super::{
    service::{
        BuildDigest, BuildFullDigest, CollectNewer, ConfigService, Merge, PendingPush,
        RecordPeerHash, copy_from_message,
    },
    view::ConfigView,
};

/// Children of each entry in a push tree.
const FAN_OUT: usize = 4;

/// Time between digest exchanges of an entry.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a push to another entry, or an exchange with it, fails.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest message between entries, in bytes. A message may hold the whole configuration.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Addresses of the other entries, with a cache of open channels to them. Clones share the cache.
#[derive(Clone, Debug)]
pub struct PeerDirectory {
    process: String,
    token: String,
    seeds: Vec<String>,
    view: watch::Receiver<Arc<ConfigView>>,
    channels: Arc<Mutex<HashMap<String, PeerChannel>>>,
}

/// Name and address of another entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Name of the entry, or its address while the list of VMs is not known.
    pub name: String,
    /// Address on which the entry serves other entries.
    pub address: String,
}

impl PeerDirectory {
    /// Creates a directory for the entry `process`. `seeds` are the addresses used until `view`
    /// holds the list of VMs.
    pub fn new(
        process: &str,
        token: &str,
        seeds: Vec<String>,
        view: watch::Receiver<Arc<ConfigView>>,
    ) -> Self {
        Self {
            process: process.to_owned(),
            token: token.to_owned(),
            seeds,
            view,
            channels: Arc::default(),
        }
    }

    /// Returns all other entries: those on the list of VMs, or the seeds if it names none.
    pub fn others(&self) -> Vec<PeerAddress> {
        let view = self.view.borrow();
        let listed =
            view.vms.vms.iter().filter(|vm| vm.role == VmRole::Entry && vm.name != self.process);
        let mut others: Vec<PeerAddress> = listed
            .map(|vm| PeerAddress { name: vm.name.clone(), address: vm.address.clone() })
            .collect();
        if others.is_empty() {
            let seeds = self.seeds.iter();
            others = seeds
                .map(|address| PeerAddress { name: address.clone(), address: address.clone() })
                .collect();
        }
        others
    }

    /// Returns another entry by name, or `None` if it is not known.
    pub fn address_of(&self, name: &str) -> Option<PeerAddress> {
        self.others().into_iter().find(|peer| peer.name == name)
    }

    /// Returns a client for an entry that uses the cached channel, or opens a channel if there is
    /// none.
    ///
    /// Returns `None` if the entry cannot be reached.
    pub async fn client(&self, address: &str) -> Option<PeerClient<PeerChannel>> {
        let cached = self.lock().get(address).cloned();
        let channel = match cached {
            Some(channel) => channel,
            None => {
                let channel = peer_channel(address, &self.token).await.ok()?;
                self.lock().insert(address.to_owned(), channel.clone());
                channel
            }
        };
        let client = PeerClient::new(channel);
        Some(
            client
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES),
        )
    }

    /// Drops the cached channel to an entry, so that the next call after a failure reconnects.
    pub fn drop_channel(&self, address: &str) {
        self.lock().remove(address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, PeerChannel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this entry's children in the push tree rooted at the entry `root`.
    fn children(&self, root: &str) -> Vec<PeerAddress> {
        let others = self.others();
        let mut names: Vec<&str> = others.iter().map(|peer| peer.name.as_str()).collect();
        names.push(&self.process);
        let children = tree_children(root, &self.process, &names, FAN_OUT);
        others.iter().filter(|peer| children.contains(&peer.name.as_str())).cloned().collect()
    }
}

/// Sends each push to the children of this entry in the tree of its root.
pub async fn push_changes(
    directory: PeerDirectory,
    mut pushes: mpsc::UnboundedReceiver<PendingPush>,
) {
    while let Some(pending) = pushes.recv().await {
        for child in directory.children(&pending.root) {
            let directory = directory.clone();
            let push = ObjectPush {
                sender: pending.root.clone(),
                objects: pending.objects.clone(),
                hops: 0,
            };
            tokio::spawn(async move { push_to(&directory, &child, push).await });
        }
    }
}

/// Sends one push. A failure is not retried, since the next exchange repairs it.
async fn push_to(directory: &PeerDirectory, child: &PeerAddress, push: ObjectPush) {
    let pushed = async {
        let mut client = directory.client(&child.address).await?;
        client.push(push).await.ok()
    };
    if !matches!(timeout(PEER_TIMEOUT, pushed).await, Ok(Some(_))) {
        directory.drop_channel(&child.address);
    }
}

/// Exchanges digests with a random other entry each second, which updates both entries.
pub async fn exchange_digests(
    directory: PeerDirectory,
    config: Address<ConfigService>,
    mut rng: impl Rng + Send,
) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    loop {
        ticks.tick().await;
        let others = directory.others();
        if others.is_empty() {
            continue;
        }
        let peer = others[rng.random_range(0..others.len())].clone();
        if timeout(PEER_TIMEOUT, exchange(&directory, &peer, &config))
            .await
            .ok()
            .flatten()
            .is_none()
        {
            directory.drop_channel(&peer.address);
        }
        if !config.is_connected() {
            return;
        }
    }
}

/// Compares hashes of all versions. If they differ, merges the objects that are newer at the peer,
/// and pushes those that are newer here.
async fn exchange(
    directory: &PeerDirectory,
    peer: &PeerAddress,
    config: &Address<ConfigService>,
) -> Option<()> {
    let mut client = directory.client(&peer.address).await?;
    let digest = config.send(BuildDigest).await.ok()?;
    let hash = digest.hash;
    let response = client.exchange(digest).await.ok()?.into_inner();
    if response.same {
        config.send(RecordPeerHash { peer: peer.name.clone(), hash }).await.ok()?;
        config.send(Merge::from_exchange(Vec::new(), response.complete)).await.ok()?;
        return Some(());
    }
    let full = config.send(BuildFullDigest).await.ok()?;
    let response = client.exchange(full).await.ok()?.into_inner();
    let copies = response.newer.into_iter().map(copy_from_message).collect();
    config.send(Merge::from_exchange(copies, response.complete)).await.ok()?;
    let newer = config.send(CollectNewer(response.versions)).await.ok()?;
    if !newer.is_empty() {
        // The empty sender marks the push as part of an exchange, which the peer does not forward.
        let push = ObjectPush { sender: String::new(), objects: newer, hops: 0 };
        client.push(push).await.ok()?;
    }
    Some(())
}
