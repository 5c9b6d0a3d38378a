//! Links to agents, which reconnect after a failure.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{hash::hash_bytes, retry::Backoff};
use switchfold_link::connect_link;
use switchfold_proto::{PROTOCOL_VERSION, link::Hello};
use tokio::{task::JoinHandle, time::sleep};
use xtra::WeakAddress;

use crate::service::{AgentFrame, DispatchService, LinkClosed, LinkOpened};

/// Identity that this entry presents to agents when it opens a link.
#[derive(Clone, Debug)]
pub(crate) struct LinkIdentity {
    pub(crate) process: String,
    pub(crate) incarnation: u64,
    pub(crate) data_centre: String,
    pub(crate) token: String,
}

/// Identifies one connection to an agent, so that late frames of an earlier connection can be told
/// apart from those of the current one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LinkId {
    link_number: u64,
    connection: u64,
}

/// Task that holds a link to one agent open and reconnects with back-off. Dropping it closes the
/// link.
#[derive(Debug)]
pub(crate) struct AgentLink {
    pub(crate) address: String,
    task: JoinHandle<()>,
}

impl Drop for AgentLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl AgentLink {
    /// Spawns the task for the agent `process` at `address`. `link_number` differs between all
    /// links that this entry has started.
    pub(crate) fn start(
        identity: LinkIdentity,
        link_number: u64,
        process: String,
        address: String,
        dispatch: WeakAddress<DispatchService>,
    ) -> Self {
        let task =
            tokio::spawn(maintain_link(identity, link_number, process, address.clone(), dispatch));
        Self { address, task }
    }
}

async fn maintain_link(
    identity: LinkIdentity,
    link_number: u64,
    process: String,
    address: String,
    dispatch: WeakAddress<DispatchService>,
) {
    let seed = hash_bytes(identity.incarnation, process.as_bytes());
    let mut backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
    for connection in 0.. {
        let id = LinkId { link_number, connection };
        if run_link(&identity, id, &process, &address, &dispatch).await {
            backoff.reset();
        }
        if !dispatch.is_connected() {
            return;
        }
        sleep(Duration::from_millis(backoff.next_wait())).await;
    }
}

/// Opens the link and forwards its frames until it ends. Returns whether the link was ever open.
async fn run_link(
    identity: &LinkIdentity,
    id: LinkId,
    process: &str,
    address: &str,
    dispatch: &WeakAddress<DispatchService>,
) -> bool {
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        process: identity.process.clone(),
        incarnation: identity.incarnation,
        entry: true,
        data_centre: identity.data_centre.clone(),
    };
    let link = match connect_link(address, &identity.token, hello).await {
        Ok(link) => link,
        Err(error) => {
            log::debug!("agent={process} state=unreachable error={error:?}");
            return false;
        }
    };
    let opened = LinkOpened {
        id,
        process: process.to_owned(),
        address: address.to_owned(),
        sender: link.sender,
    };
    if dispatch.send(opened).await.is_err() {
        return true;
    }
    let mut frames = link.frames;
    while let Ok(Some(frame)) = frames.message().await {
        let frame = AgentFrame { id, process: process.to_owned(), frame };
        if dispatch.send(frame).detach().await.is_err() {
            return true;
        }
    }
    let closed = LinkClosed { id, process: process.to_owned() };
    let _dispatch_may_have_stopped = dispatch.send(closed).await;
    true
}
