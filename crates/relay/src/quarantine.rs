//! Requests that end the replicas that run them: what is learnt, told, kept in the platform's store, and refused.
//!
//! Which request that is decides [`switchfold_router::quarantine`]. Relays tell each other by datagram, in all data centres;
//! the store holds what must outlive them, and what relays must know of each other that are cut off from each other but not from
//! it. It is written where the second crash in a row says that it may be worth a call, so in calm not at all.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use switchfold_kernel::clock::{epoch_millis, now_millis};
use switchfold_platform::objects::{ListedObject, ObjectChange};
use switchfold_router::{
    Millis,
    fingerprint::RequestFingerprint,
    follow::STORE_TIMEOUT,
    instance::ReplicaInstance,
    origin::UpdateOrigin,
    quarantine::{CrashEvidence, CrashReport, CrashRun, QUARANTINE_TIME, QuarantineChange},
};
use switchfold_store::StoreError;
use tokio::time::sleep;

use crate::{
    counts::count,
    gossip::{SendScope, send_state},
    messages::StateMessage,
    peers::propagate,
    registry::wait_at_start,
    request::CallerRequest,
    responses::Refusal,
    settings::RelaySettings,
    state::{Relay, RelayState},
    store_calls::{CallCause, CallKind, CallVerb, CountedStore},
};

/// Time for which a request still is sent nowhere; nothing where it may be.
pub fn quarantine_remaining(relay: &Relay, request: &CallerRequest) -> Option<Millis> {
    relay.state.borrow().quarantine.remaining(&request.fingerprint, now_millis())
}

/// Refuses a request that ended the replicas that ran it.
///
/// # Errors
///
/// Gives the refusal.
pub fn check_quarantine(relay: &Relay, request: &CallerRequest) -> Result<(), Refusal> {
    let Some(left) = quarantine_remaining(relay, request) else { return Ok(()) };
    count(&relay.counts.quarantined);
    tracing::warn!(
        event = "request-quarantined",
        request = request.headers.attempt_id,
        fingerprint = %request.fingerprint,
        left_ms = left,
    );
    Err(Refusal::Quarantined(left))
}

/// Notes that a replica is lost: found silent, refusing connections, or listed no more without having said that it leaves.
pub fn record_replica_loss(relay: &Relay, instance: &ReplicaInstance) {
    let change = relay.state.borrow_mut().quarantine.record_crash(instance, now_millis());
    apply_change(relay, &change);
}

/// Notes that a replica gave a result of a request, and lives.
pub fn record_result(relay: &Relay, request: &CallerRequest) {
    let fingerprint = &request.fingerprint;
    let was_known = relay.state.borrow_mut().quarantine.record_result(fingerprint, now_millis());
    if was_known {
        tracing::info!(event = "request-cleared", %fingerprint);
        relay.quarantine_notify.notify_one();
    }
}

/// Takes over what another relay tells of requests.
pub fn merge_peer_crashes(relay: &Relay, news: &StateMessage, origin: UpdateOrigin, now: Millis) {
    if news.crashes.is_empty() && news.cleared.is_empty() {
        return;
    }
    let crashes = news.crashes.iter().map(|crash| crash.report(now)).collect();
    let cleared = news
        .cleared
        .iter()
        .map(|(of, age)| (RequestFingerprint::from_bytes(*of), Millis::from(*age)));
    let change = {
        let mut state = relay.state.borrow_mut();
        let is_member_news = origin == UpdateOrigin::Member;
        let tells_on = is_member_news || state.peers.has_members(now);
        state.quarantine.merge_cleared(&cleared.collect::<Vec<_>>(), tells_on, now);
        state.quarantine.merge(crashes, is_member_news, now)
    };
    apply_change(relay, &change);
    if !change.quarantined.is_empty() {
        propagate(relay, origin, now);
    }
}

/// Writes lines of requests that are sent nowhere from now on, and tells others at once where that matters.
pub fn apply_change(relay: &Relay, change: &QuarantineChange) {
    for (fingerprint, weight) in &change.quarantined {
        count(&relay.counts.stopped_requests);
        tracing::warn!(event = "request-stopped", %fingerprint, weight, for_ms = QUARANTINE_TIME);
    }
    if change.is_urgent {
        relay.quarantine_notify.notify_one();
        send_state(relay, SendScope::All);
    }
}

/// What the store holds of a request. Times are Unix milliseconds by the writer's time of day: a step of it moves the end of a
/// quarantine, and no more.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredRequest {
    /// Until when it is sent nowhere; 0 where it is not stopped.
    until: u64,
    runs: Vec<StoredRun>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredRun {
    id: String,
    born: Millis,
    sent: u64,
    lost: u64,
    strong: bool,
}

impl StoredRequest {
    fn of(news: &CrashReport, now: Millis, epoch: u64) -> Self {
        let at = |time: i64| epoch.saturating_add_signed(time - now as i64);
        let runs = news.runs.iter().map(|run| StoredRun {
            id: run.instance.id().to_owned(),
            born: run.instance.started_at(),
            sent: at(run.sent),
            lost: at(run.lost),
            strong: run.evidence == CrashEvidence::Strong,
        });
        Self { until: news.remaining.map_or(0, |left| epoch + left), runs: runs.collect() }
    }

    fn news(&self, fingerprint: RequestFingerprint, now: Millis, epoch: u64) -> CrashReport {
        let at = |time: u64| now as i64 - (epoch as i64 - time as i64);
        let runs = self.runs.iter().map(|run| CrashRun {
            instance: ReplicaInstance::new(&run.id, run.born),
            sent: at(run.sent),
            lost: at(run.lost),
            evidence: if run.strong { CrashEvidence::Strong } else { CrashEvidence::Weak },
        });
        let left = self.until.checked_sub(epoch).filter(|left| *left > 0);
        CrashReport { fingerprint, remaining: left, runs: runs.collect() }
    }
}

/// Pause before the store is called again where it did not answer.
const CALL_AGAIN: Duration = Duration::from_millis(500);

/// Keeps in the store what this relay saw of requests, for good.
pub async fn store_quarantine(relay: Rc<Relay>) {
    loop {
        relay.quarantine_notify.notified().await;
        while !store_changes(&relay).await {
            sleep(CALL_AGAIN).await;
        }
    }
}

/// Tells the store what it lacks; tells whether it took all.
async fn store_changes(relay: &Relay) -> bool {
    let now = now_millis();
    let (unstored, removable) = {
        let table = &mut relay.state.borrow_mut().quarantine;
        (table.unstored(now), table.take_removable())
    };
    for fingerprint in removable {
        if let Err(error) = relay.store.remove(CallKind::Quarantine, &fingerprint.to_string()).await
        {
            // It ends by itself; a relay that starts before then takes the request for one that is stopped.
            tracing::warn!(event = "quarantine-not-removed", %fingerprint, %error);
        }
    }
    let mut took_all = true;
    for news in unstored {
        let fingerprint = news.fingerprint;
        if let Err(error) = store_request(relay, &news, now).await {
            relay.state.borrow_mut().quarantine.record_store_failure(&fingerprint);
            tracing::info!(event = "quarantine-not-stored", %fingerprint, %error);
            took_all = false;
        }
    }
    took_all
}

async fn store_request(relay: &Relay, news: &CrashReport, now: Millis) -> Result<(), StoreError> {
    let name = news.fingerprint.to_string();
    let stored = StoredRequest::of(news, now, epoch_millis());
    match relay.store.create(CallKind::Quarantine, &name, &stored).await {
        Err(StoreError::Conflict { .. }) => {
            relay.store.replace(CallKind::Quarantine, &name, &stored).await
        }
        outcome => outcome,
    }
}

/// Wait of a watch in milliseconds: as long as the shortest contact time, so that a connection that went silent is found
/// out within two of them, at a third of a call a second for each data centre.
const WATCH_WAIT: Millis = 3_000;

/// Time between two looks at whether another relay reads for this one.
const COVER_LOOK: Duration = Duration::from_millis(200);

/// Follows what other relays left in the store, for good. One relay of each data centre does; it tells the others.
pub async fn follow_quarantine(relay: Rc<Relay>) {
    let platform = relay.settings.platform.to_string();
    let patience = Duration::from_millis(WATCH_WAIT + STORE_TIMEOUT);
    let store = CountedStore::new(&platform, patience, &relay.calls);
    let mut held = BTreeMap::new();
    let mut revision = None;
    wait_at_start(&relay, |state, now| is_read_by_other(&relay.settings, state, now)).await;
    loop {
        let (is_read_by_peer, is_lost) = {
            let state = relay.state.borrow();
            let is_read_by_peer = is_read_by_other(&relay.settings, &state, now_millis());
            (is_read_by_peer, state.config_lease.is_lost())
        };
        if is_read_by_peer || is_lost {
            revision = None;
            sleep(if is_lost { CALL_AGAIN } else { COVER_LOOK }).await;
            continue;
        }
        match read_once(&relay, &store, revision, &mut held).await {
            Ok(at) => revision = Some(at),
            Err(error) => {
                revision = None;
                tracing::info!(event = "quarantine-unread", %error);
                sleep(CALL_AGAIN).await;
            }
        }
        remove_ended(&relay, &mut held).await;
    }
}

/// Tells the store again what this relay told it before it came back from a copy.
pub fn store_again(relay: &Relay) {
    relay.state.borrow_mut().quarantine.reset_stored();
    relay.quarantine_notify.notify_one();
}

/// Whether a relay of the data centre that comes before this one reads the store.
fn is_read_by_other(settings: &RelaySettings, state: &RelayState, now: Millis) -> bool {
    let before = state.peers.preceding(&settings.name, &settings.data_centre, now);
    before.live > before.lost_config
}

/// Objects that the store holds, with the Unix time at which they end.
type HeldObjects = BTreeMap<RequestFingerprint, u64>;

async fn read_once(
    relay: &Relay,
    store: &CountedStore,
    revision: Option<u64>,
    held: &mut HeldObjects,
) -> Result<u64, StoreError> {
    let Some(after) = revision else {
        let cause = CallCause::Quarantine;
        let list = store.list(CallKind::Quarantine, CallVerb::List, cause).await?;
        held.clear();
        take_objects(relay, &list.items, held);
        return Ok(list.revision);
    };
    let wait = Duration::from_millis(WATCH_WAIT);
    let changes = store.watch(CallKind::Quarantine, after, wait).await?;
    for change in &changes.events.decoded {
        take_object_change(relay, change, held);
    }
    Ok(changes.revision.max(after))
}

fn take_object_change(relay: &Relay, change: &ObjectChange, held: &mut HeldObjects) {
    if !change.gone {
        return take_objects(relay, std::slice::from_ref(&change.object), held);
    }
    let Some(fingerprint) = RequestFingerprint::parse(&change.object.metadata.name) else { return };
    held.remove(&fingerprint);
    relay.state.borrow_mut().quarantine.release(&fingerprint, now_millis());
    tracing::info!(event = "request-released", %fingerprint);
}

fn take_objects(relay: &Relay, objects: &[ListedObject], held: &mut HeldObjects) {
    let (now, epoch) = (now_millis(), epoch_millis());
    let mut told = Vec::new();
    for object in objects {
        let name = &object.metadata.name;
        let stored = StoredRequest::deserialize(&object.spec);
        let (Some(fingerprint), Ok(stored)) = (RequestFingerprint::parse(name), stored) else {
            count(&relay.counts.odd_entries);
            tracing::warn!(event = "quarantine-unreadable", name);
            continue;
        };
        held.insert(fingerprint, stored.ends());
        told.push(stored.news(fingerprint, now, epoch));
    }
    if told.is_empty() {
        return;
    }
    let change = relay.state.borrow_mut().quarantine.merge(told, true, now);
    apply_change(relay, &change);
}

impl StoredRequest {
    /// Unix time after which it is of no use.
    fn ends(&self) -> u64 {
        let last = self.runs.iter().map(|run| run.lost).max().unwrap_or_default();
        self.until.max(last) + QUARANTINE_TIME
    }
}

/// Removes objects that are of no use any more; the relay that gives the orders does.
async fn remove_ended(relay: &Relay, held: &mut HeldObjects) {
    let (now, epoch) = (now_millis(), epoch_millis());
    let fresh = relay.is_fleet_fresh(now);
    if !relay.state.borrow().peers.is_leader(&relay.settings.name, fresh, now) {
        return;
    }
    let ended: Vec<RequestFingerprint> =
        held.iter().filter(|(_, end)| **end < epoch).map(|(fingerprint, _)| *fingerprint).collect();
    for fingerprint in ended {
        match relay.store.remove(CallKind::Quarantine, &fingerprint.to_string()).await {
            Ok(()) => drop(held.remove(&fingerprint)),
            Err(error) => {
                tracing::info!(event = "quarantine-not-removed", %fingerprint, %error);
                return;
            }
        }
    }
}
