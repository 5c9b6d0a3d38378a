//! Pushing changes along a tree, and exchanging digests with one other entry a second.

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
        BuildDigest, BuildFullDigest, CollectNewer, ConfigService, Merge, MergeOrigin, PendingPush,
        RecordPeerHash, copy_from_message,
    },
    view::ConfigView,
};

/// Children of each entry in a push tree.
const FAN_OUT: usize = 4;

/// How often each entry compares digests with another one.
const EXCHANGE_EVERY: Duration = Duration::from_secs(1);

/// How long to wait for another entry.
const PEER_PATIENCE: Duration = Duration::from_secs(2);

/// Largest message between entries: a full copy of the configuration.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// The other entries, and open channels to them.
#[derive(Clone, Debug)]
pub struct PeerDirectory {
    process: String,
    token: String,
    seeds: Vec<String>,
    view: watch::Receiver<Arc<ConfigView>>,
    channels: Arc<Mutex<HashMap<String, PeerChannel>>>,
}

/// An entry that can be called.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Name, or its address where the name is not known yet.
    pub name: String,
    /// Address for other entries.
    pub address: String,
}

impl PeerDirectory {
    /// Makes a directory from the settings and the list of VMs.
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

    /// All other entries: those on the list, or the settings' where the list is not known.
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

    /// Address of an entry by name.
    pub fn address_of(&self, name: &str) -> Option<PeerAddress> {
        self.others().into_iter().find(|peer| peer.name == name)
    }

    /// A client for an entry, over a kept channel.
    ///
    /// Returns nothing where it cannot be reached.
    pub async fn client(&self, address: &str) -> Option<PeerClient<PeerChannel>> {
        let kept = self.lock().get(address).cloned();
        let channel = match kept {
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

    /// Forgets the channel to an entry, after a failure.
    pub fn forget(&self, address: &str) {
        self.lock().remove(address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, PeerChannel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn children(&self, root: &str) -> Vec<PeerAddress> {
        let others = self.others();
        let mut names: Vec<&str> = others.iter().map(|peer| peer.name.as_str()).collect();
        names.push(&self.process);
        let children = tree_children(root, &self.process, &names, FAN_OUT);
        others.iter().filter(|peer| children.contains(&peer.name.as_str())).cloned().collect()
    }
}

/// Pushes changes to this entry's children in the tree of each push.
pub async fn push_changes(
    directory: PeerDirectory,
    mut pushes: mpsc::UnboundedReceiver<PendingPush>,
) {
    while let Some(order) = pushes.recv().await {
        for child in directory.children(&order.root) {
            let directory = directory.clone();
            let push =
                ObjectPush { sender: order.root.clone(), objects: order.objects.clone(), hops: 0 };
            tokio::spawn(async move { push_to(&directory, &child, push).await });
        }
    }
}

/// A push that fails is made good by the next exchange.
async fn push_to(directory: &PeerDirectory, child: &PeerAddress, push: ObjectPush) {
    let pushed = async {
        let mut client = directory.client(&child.address).await?;
        client.push(push).await.ok()
    };
    if !matches!(timeout(PEER_PATIENCE, pushed).await, Ok(Some(_))) {
        directory.forget(&child.address);
    }
}

/// Compares versions with a random entry each second, and repairs both sides.
pub async fn exchange_digests(
    directory: PeerDirectory,
    config: Address<ConfigService>,
    mut random: impl Rng + Send,
) {
    let mut ticks = interval(EXCHANGE_EVERY);
    loop {
        ticks.tick().await;
        let others = directory.others();
        if others.is_empty() {
            continue;
        }
        let peer = others[random.random_range(0..others.len())].clone();
        if timeout(PEER_PATIENCE, exchange(&directory, &peer, &config))
            .await
            .ok()
            .flatten()
            .is_none()
        {
            directory.forget(&peer.address);
        }
        if !config.is_connected() {
            return;
        }
    }
}

/// Compares hashes; where they differ, takes what is newer there and gives what is newer here.
async fn exchange(
    directory: &PeerDirectory,
    peer: &PeerAddress,
    config: &Address<ConfigService>,
) -> Option<()> {
    let mut client = directory.client(&peer.address).await?;
    let digest = config.send(BuildDigest).await.ok()?;
    let hash = digest.hash;
    let answer = client.exchange(digest).await.ok()?.into_inner();
    if answer.same {
        config.send(RecordPeerHash { peer: peer.name.clone(), hash }).await.ok()?;
        return Some(());
    }
    let full = config.send(BuildFullDigest).await.ok()?;
    let answer = client.exchange(full).await.ok()?.into_inner();
    let copies = answer.newer.into_iter().map(copy_from_message).collect();
    config.send(Merge { copies, origin: MergeOrigin::Exchanged }).await.ok()?;
    let newer = config.send(CollectNewer(answer.versions)).await.ok()?;
    if !newer.is_empty() {
        // Rooted at the other entry: it has no parent to push to, and this one no child.
        let push = ObjectPush { sender: String::new(), objects: newer, hops: 0 };
        client.push(push).await.ok()?;
    }
    Some(())
}
