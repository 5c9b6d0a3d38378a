//! Watching the store, by two entries of each data centre.

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

/// Kinds that every entry holds.
const WATCHED_KINDS: [&str; 4] = [EVENT_KIND, ORGANISATION_KIND, DRAIN_KIND, PLAN_KIND];

/// Entries of a data centre that watch the store.
const WATCHERS: usize = 2;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How often the list of VMs is read.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// How often an entry that does not watch looks whether it should.
const DUTY_EVERY: Duration = Duration::from_millis(500);

/// Who this entry is among those that could watch.
#[derive(Clone, Debug)]
pub struct WatcherSelection {
    /// Name of the entry.
    pub process: String,
    /// Its data centre.
    pub data_centre: String,
    /// What is in force.
    pub view: watch::Receiver<Arc<ConfigView>>,
}

impl WatcherSelection {
    /// Tells whether this entry is one of its data centre's watchers; so is one that knows no list.
    fn is_watcher(&self) -> bool {
        let view = self.view.borrow();
        let here = view.vms.vms.iter();
        let here = here.filter(|vm| vm.role == VmRole::Entry && vm.data_centre == self.data_centre);
        let names: Vec<&str> = here.map(|vm| vm.name.as_str()).collect();
        if !names.contains(&self.process.as_str()) {
            return true;
        }
        rendezvous_subset("watchers", &names, WATCHERS).contains(&self.process.as_str())
    }
}

/// Watches the configuration while it is this entry's duty. The first reading is every entry's duty,
/// unless others told it of the list of VMs before.
pub async fn watch_config(
    store: StoreClient,
    duty: WatcherSelection,
    config: Address<ConfigService>,
) {
    let seed = hash_bytes(1, duty.process.as_bytes());
    let mut backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
    let mut revision = None;
    while config.is_connected() {
        if !duty.is_watcher() {
            // What changed meanwhile comes from the others; a later watch starts anew.
            revision = None;
            sleep(DUTY_EVERY).await;
            continue;
        }
        let batch = match revision {
            None => list_all(&store).await,
            Some(after) => store.watch(&WATCHED_KINDS, after, WATCH_WAIT).await,
        };
        match batch {
            Ok(batch) => {
                revision = Some(batch.revision);
                backoff.reset();
                let copies = batch.changes.into_iter().map(named_copy).collect();
                let _config_may_have_stopped =
                    config.send(Merge { copies, origin: MergeOrigin::Local }).await;
            }
            Err(error) => {
                if error == StoreError::RevisionExpired {
                    revision = None;
                }
                log::debug!("store=watch error={error:?}");
                sleep(Duration::from_millis(backoff.next_wait())).await;
            }
        }
    }
}

/// Reads all kinds. The smallest revision counts, so that no change between the reads is missed.
async fn list_all(store: &StoreClient) -> Result<ChangeBatch, StoreError> {
    let mut whole = ChangeBatch { revision: u64::MAX, changes: Vec::new() };
    for kind in WATCHED_KINDS {
        let batch = store.list(kind).await?;
        whole.revision = whole.revision.min(batch.revision);
        whole.changes.extend(batch.changes);
    }
    Ok(whole)
}

/// Reads the list of VMs every second while it is this entry's duty.
pub async fn poll_vm_list(
    store: StoreClient,
    duty: WatcherSelection,
    config: Address<ConfigService>,
) {
    while config.is_connected() {
        if duty.is_watcher()
            && let Ok(list) = store.list_vms().await
            && let Ok(value) = serde_json::to_vec(&list)
        {
            let copy = ObjectCopy { version: list.revision, value: Some(value.into()) };
            let key = ObjectKey::new(VM_LIST_KIND, "platform");
            let copies = vec![NamedCopy { key, copy }];
            let _config_may_have_stopped =
                config.send(Merge { copies, origin: MergeOrigin::Local }).await;
        }
        sleep(LIST_EVERY).await;
    }
}

fn named_copy(change: StoredChange) -> NamedCopy {
    let value = change.value.map(|value| Arc::from(value.into_bytes()));
    NamedCopy {
        key: ObjectKey::new(change.kind, change.name),
        copy: ObjectCopy { version: change.version, value },
    }
}
