//! Watch of the store, held by two entries of each data centre.

use std::{sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{
    config::{DRAIN_KIND, EVENT_KIND, ORGANISATION_KIND, PLAN_KIND},
    hash::hash_bytes,
    retry::Backoff,
    subset::rendezvous_subset,
    version::{ObjectCopy, ObjectKey},
};
use switchfold_store::{ChangeBatch, StoreClient, StoreError, StoredChange, VmRole};
use tokio::{sync::watch, time::sleep};
use xtra::Address;

use super::{
    service::{ConfigService, Merge, MergeOrigin, NamedCopy},
    view::{ConfigView, VM_LIST_KIND},
};

/// Kinds of objects that are distributed to every entry.
const WATCHED_KINDS: [&str; 4] = [EVENT_KIND, ORGANISATION_KIND, DRAIN_KIND, PLAN_KIND];

/// Number of entries of a data centre that watch the store.
const WATCHERS: usize = 2;

/// Time after which a watch call returns without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an entry that is not a watcher checks again whether it is.
const SELECTION_INTERVAL: Duration = Duration::from_millis(500);

/// Decides by the list of VMs whether this entry watches the store.
#[derive(Clone, Debug)]
pub struct WatcherSelection {
    /// Name of the entry.
    pub process: String,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Current configuration, which holds the list of VMs.
    pub view: watch::Receiver<Arc<ConfigView>>,
}

impl WatcherSelection {
    /// Returns whether this entry is one of its data centre's watchers. An entry that is not on the
    /// list of VMs counts as a watcher, since the list may not be known yet.
    fn is_watcher(&self) -> bool {
        let view = self.view.borrow();
        let vms = view.vms.vms.iter();
        let entries =
            vms.filter(|vm| vm.role == VmRole::Entry && vm.data_centre == self.data_centre);
        let names: Vec<&str> = entries.map(|vm| vm.name.as_str()).collect();
        if !names.contains(&self.process.as_str()) {
            return true;
        }
        rendezvous_subset("watchers", &names, WATCHERS).contains(&self.process.as_str())
    }
}

/// Watches the configuration kinds while this entry is a watcher. At startup every entry reads them
/// once, unless another entry sends it the whole configuration before.
pub async fn watch_config(
    store: StoreClient,
    selection: WatcherSelection,
    config: Address<ConfigService>,
) {
    let seed = hash_bytes(1, selection.process.as_bytes());
    let mut backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
    let mut revision = None;
    while config.is_connected() {
        if !selection.is_watcher() && selection.view.borrow().is_complete {
            // Changes now arrive from other entries. A later watch starts with a full read.
            revision = None;
            sleep(SELECTION_INTERVAL).await;
            continue;
        }
        let batch = match revision {
            None => list_all(&store).await,
            Some(after) => store.watch(&WATCHED_KINDS, after, WATCH_TIMEOUT).await,
        };
        match batch {
            Ok(batch) => {
                revision = Some(batch.revision);
                backoff.reset();
                let copies = batch.changes.into_iter().map(named_copy).collect();
                let merge = Merge { copies, origin: MergeOrigin::Local, is_complete: true };
                let _config_may_have_stopped = config.send(merge).await;
            }
            Err(error) => {
                if error == StoreError::RevisionExpired {
                    revision = None;
                }
                log::warn!("store=watch error={error:?}");
                sleep(Duration::from_millis(backoff.next_wait())).await;
            }
        }
    }
}

/// Reads all kinds. Returns the smallest revision of the reads, so that a watch from it misses no
/// change between them.
async fn list_all(store: &StoreClient) -> Result<ChangeBatch, StoreError> {
    let mut combined = ChangeBatch { revision: u64::MAX, changes: Vec::new() };
    for kind in WATCHED_KINDS {
        let batch = store.list(kind).await?;
        combined.revision = combined.revision.min(batch.revision);
        combined.changes.extend(batch.changes);
    }
    Ok(combined)
}

/// Reads the list of VMs every second while this entry is a watcher.
pub async fn poll_vm_list(
    store: StoreClient,
    selection: WatcherSelection,
    config: Address<ConfigService>,
) {
    while config.is_connected() {
        if selection.is_watcher()
            && let Ok(list) = store.list_vms().await
            && let Ok(value) = serde_json::to_vec(&list)
        {
            let copy = ObjectCopy { version: list.revision, value: Some(value.into()) };
            let key = ObjectKey::new(VM_LIST_KIND, "platform");
            let copies = vec![NamedCopy { key, copy }];
            let merge = Merge { copies, origin: MergeOrigin::Local, is_complete: false };
            let _config_may_have_stopped = config.send(merge).await;
        }
        sleep(VM_LIST_INTERVAL).await;
    }
}

fn named_copy(change: StoredChange) -> NamedCopy {
    let value = change.value.map(|value| Arc::from(value.into_bytes()));
    NamedCopy {
        key: ObjectKey::new(change.kind, change.name),
        copy: ObjectCopy { version: change.version, value },
    }
}
