//! Links to entries and other agents.

use std::sync::atomic::{AtomicU64, Ordering};

use switchfold_link::{ServerLink, connect_link};
use switchfold_proto::{PROTOCOL_VERSION, link::Hello};
use tokio::task::JoinSet;
use xtra::Address;

use crate::{
    gate::EntryKey,
    service::{
        EntryConnected, EntryDisconnected, EntryFrame, GateService, StageConnected,
        StageDisconnected, StageFrame,
    },
};

/// Identifier of a connection. It tells late events of an earlier connection to the same process
/// from those of the current one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LinkId(u64);

impl LinkId {
    /// Returns an identifier that is unique in this process.
    pub(crate) fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// Opens links to other stages.
#[derive(Clone, Debug)]
pub(crate) struct StageConnector {
    pub(crate) token: String,
    pub(crate) process: String,
    pub(crate) incarnation: u64,
    pub(crate) data_centre: String,
}

impl StageConnector {
    /// Opens a link in a new task, which reports to the gate that the link is open and when it
    /// ends.
    pub(crate) fn connect(&self, id: LinkId, address: String, gate: Address<GateService>) {
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            process: self.process.clone(),
            incarnation: self.incarnation,
            entry: false,
            data_centre: self.data_centre.clone(),
        };
        let token = self.token.clone();
        tokio::spawn(async move {
            match connect_link(&address, &token, hello).await {
                Ok(link) => {
                    let opened =
                        StageConnected { id, address: address.clone(), sender: link.sender };
                    let _gate_may_have_stopped = gate.send(opened).await;
                    let mut frames = link.frames;
                    while let Ok(Some(_)) = frames.message().await {}
                }
                Err(error) => log::warn!("stage={address} state=unreachable error={error:?}"),
            }
            let _gate_may_have_stopped = gate.send(StageDisconnected { id, address }).await;
        });
    }
}

/// Reads a link that another process opened, and passes its frames to the gate, until it ends.
pub(crate) async fn read_link(link: ServerLink, gate: Address<GateService>) {
    let ServerLink { hello, sender, mut frames } = link;
    if !hello.entry {
        // Dropping the sender would end the link.
        let _kept = sender;
        while let Ok(Some(frame)) = frames.message().await {
            if gate.send(StageFrame(frame)).detach().await.is_err() {
                return;
            }
        }
        return;
    }
    let id = LinkId::next();
    let entry = EntryKey { name: hello.process, incarnation: hello.incarnation };
    if gate.send(EntryConnected { id, entry: entry.clone(), sender }).await.is_err() {
        return;
    }
    while let Ok(Some(frame)) = frames.message().await {
        if gate.send(EntryFrame { id, entry: entry.clone(), frame }).detach().await.is_err() {
            return;
        }
    }
    let _gate_may_have_stopped = gate.send(EntryDisconnected { id, entry }).await;
}

/// Tasks that are aborted when the group is dropped.
#[derive(Debug, Default)]
pub(crate) struct TaskGroup {
    tasks: JoinSet<()>,
}

impl TaskGroup {
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }
}
