//! Requests that crash the replicas that run them: refusing them, and sharing what is known of
//! them with other relays and with the platform's store.
//!
//! [`switchfold_router::quarantine`] decides which requests these are. Relays of all data centres
//! share crash reports by datagram. The store keeps them across restarts of all relays, and reaches
//! relays that are partitioned from each other but not from the store. It is written only after a
//! second crash in a row, so it gets no calls while there are no crashes.

pub mod start;
mod trials;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use switchfold_kernel::clock::{epoch_millis, now_millis};
use switchfold_platform::objects::{ListedObject, ObjectChange, describe};
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

pub use self::trials::QuarantineTrial;
use self::trials::{begin_trial, parse_trial_name, trial_name};
use crate::{
    counts::count,
    gossip::{SendScope, send_state},
    messages::StateMessage,
    peers::propagate,
    registry::wait_for_source,
    request::CallerRequest,
    responses::Refusal,
    settings::RelaySettings,
    state::{Relay, RelayState},
    store_calls::{CallCause, CallKind, CallVerb, CountedStore},
};

/// Returns the remaining time of the quarantine of a request or of a part of its prompt in
/// milliseconds, or `None` if neither is quarantined.
pub fn quarantine_remaining(relay: &Relay, request: &CallerRequest) -> Option<Millis> {
    let (state, now) = (relay.state.borrow(), now_millis());
    request.suspects().filter_map(|suspect| state.quarantine.remaining(suspect, now)).max()
}

/// Refuses a quarantined request when it arrives, unless it is a trial.
///
/// # Errors
///
/// Returns the refusal that the caller receives.
pub fn check_arrival(relay: &Rc<Relay>, request: &CallerRequest) -> Result<(), Refusal> {
    let Some(remaining) = quarantine_remaining(relay, request) else { return Ok(()) };
    if begin_trial(relay, request) {
        return Ok(());
    }
    Err(refuse_quarantined(relay, request, remaining))
}

/// Refuses a quarantined request before it is sent to a replica, unless it is a trial that has not
/// been sent yet.
///
/// # Errors
///
/// Returns the refusal that the caller receives.
pub fn check_send(relay: &Relay, request: &CallerRequest) -> Result<(), Refusal> {
    let Some(remaining) = quarantine_remaining(relay, request) else { return Ok(()) };
    if request.trial.get().is_some_and(QuarantineTrial::begin_send) {
        return Ok(());
    }
    Err(refuse_quarantined(relay, request, remaining))
}

fn refuse_quarantined(relay: &Relay, request: &CallerRequest, remaining: Millis) -> Refusal {
    count(&relay.counts.quarantined);
    tracing::warn!(
        event = "request-quarantined",
        request = request.headers.attempt_id,
        fingerprint = %request.fingerprint,
        left_ms = remaining,
    );
    Refusal::Quarantined(remaining)
}

/// Records that a replica has crashed: it refuses connections, has started again, or is no longer
/// listed although it did not announce that it is leaving. Silence alone shows no crash.
pub fn record_crash(relay: &Relay, instance: &ReplicaInstance) {
    let change = relay.state.borrow_mut().quarantine.record_crash(instance, now_millis());
    apply_change(relay, &change);
}

/// Records that a replica returned a result for a request and is still alive.
pub fn record_result(relay: &Relay, request: &CallerRequest) {
    for fingerprint in request.suspects() {
        let was_known =
            relay.state.borrow_mut().quarantine.record_result(fingerprint, now_millis());
        if was_known {
            tracing::info!(event = "request-cleared", %fingerprint);
            relay.quarantine_notify.notify_one();
        }
    }
}

/// Merges the crash reports and cleared requests in a state message of another relay.
pub fn merge_peer_crashes(
    relay: &Relay,
    message: &StateMessage,
    origin: UpdateOrigin,
    now: Millis,
) {
    if message.crashes.is_empty() && message.cleared.is_empty() {
        return;
    }
    let crashes = message.crashes.iter().map(|crash| crash.report(now)).collect();
    let cleared = message
        .cleared
        .iter()
        .map(|(bytes, age)| (RequestFingerprint::from_bytes(*bytes), Millis::from(*age)));
    let change = {
        let mut state = relay.state.borrow_mut();
        let is_from_member = origin == UpdateOrigin::Member;
        let forwards_cleared = is_from_member || state.peers.has_members(now);
        state.quarantine.merge_cleared(&cleared.collect::<Vec<_>>(), forwards_cleared, now);
        state.quarantine.merge(crashes, is_from_member, now)
    };
    apply_change(relay, &change);
    if !change.quarantined.is_empty() {
        propagate(relay, origin, now);
    }
}

/// Logs the newly quarantined requests. If the change is urgent, writes it to the store and sends
/// it to other relays at once.
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

/// Entry of the store for one request, or for a trial of it. Times are Unix milliseconds by the
/// writer's wall clock. A step of that clock only shifts the end of a quarantine.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredRequest {
    /// End of the quarantine; 0 if the request is not quarantined.
    until: u64,
    runs: Vec<StoredRun>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredRun {
    /// Id of the replica.
    id: String,
    #[serde(rename = "born")]
    started_at: Millis,
    /// Time at which the request was sent to the replica.
    sent: u64,
    /// Time at which the run was lost.
    lost: u64,
    #[serde(rename = "strong")]
    is_strong: bool,
}

/// Maximum number of runs that are read from an entry. Three lost runs in a row quarantine a request.
const MAX_RUNS: usize = 64;

/// Largest age of a run that is told apart, in milliseconds. Older ones do not count either.
const MAX_RUN_AGE: Millis = 2 * QUARANTINE_TIME;

impl StoredRequest {
    /// Creates the entry for a report. `epoch` is the Unix time at `now`.
    fn new(report: &CrashReport, now: Millis, epoch: u64) -> Self {
        let unix_time = |time: i64| epoch.saturating_add_signed(time - now as i64);
        let runs = report.runs.iter().map(|run| StoredRun {
            id: run.instance.id().to_owned(),
            started_at: run.instance.started_at(),
            sent: unix_time(run.sent),
            lost: unix_time(run.lost),
            is_strong: run.evidence == CrashEvidence::Strong,
        });
        Self {
            until: report.remaining.map_or(0, |remaining| epoch + remaining),
            runs: runs.collect(),
        }
    }

    /// Returns the report of the entry. `epoch` is the Unix time at `now`. Times that its writer
    /// cannot have meant are cut: no run was lost in the future, and old ones do not count.
    fn report(&self, fingerprint: RequestFingerprint, now: Millis, epoch: u64) -> CrashReport {
        let age = |time: u64| epoch.saturating_sub(time).min(MAX_RUN_AGE) as i64;
        let local_time = |time: u64| now as i64 - age(time);
        let runs = self.runs.iter().take(MAX_RUNS).map(|run| CrashRun {
            instance: ReplicaInstance::new(&run.id, run.started_at),
            sent: local_time(run.sent),
            lost: local_time(run.lost),
            evidence: if run.is_strong { CrashEvidence::Strong } else { CrashEvidence::Weak },
        });
        let remaining = self.until.checked_sub(epoch).filter(|remaining| *remaining > 0);
        let remaining = remaining.map(|remaining| remaining.min(QUARANTINE_TIME));
        CrashReport { fingerprint, remaining, runs: runs.collect() }
    }
}

/// Pause before a failed call to the store is retried.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Writes the crash reports of this relay to the store. Never returns.
pub async fn store_quarantine(relay: Rc<Relay>) {
    loop {
        relay.quarantine_notify.notified().await;
        while !store_changes(&relay).await {
            sleep(STORE_RETRY_PAUSE).await;
        }
    }
}

/// Writes the pending changes to the store. Returns whether all reports were written.
async fn store_changes(relay: &Relay) -> bool {
    let now = now_millis();
    let (unstored, removable) = {
        let table = &mut relay.state.borrow_mut().quarantine;
        (table.unstored(now), table.take_removable())
    };
    for (fingerprint, trials) in removable {
        let trials = (0..trials).map(|number| trial_name(&fingerprint, number));
        for name in std::iter::once(fingerprint.to_string()).chain(trials) {
            if let Err(error) = relay.store.remove(CallKind::Quarantine, &name).await {
                // The entry expires. A relay that starts before then quarantines the request.
                tracing::warn!(event = "quarantine-not-removed", name, %error);
            }
        }
    }
    let mut is_complete = true;
    for report in unstored {
        let fingerprint = report.fingerprint;
        if let Err(error) = store_report(relay, &report, now).await {
            relay.state.borrow_mut().quarantine.record_store_failure(&fingerprint);
            tracing::info!(event = "quarantine-not-stored", %fingerprint, %error);
            is_complete = false;
        }
    }
    is_complete
}

async fn store_report(relay: &Relay, report: &CrashReport, now: Millis) -> Result<(), StoreError> {
    let name = report.fingerprint.to_string();
    let stored = StoredRequest::new(report, now, epoch_millis());
    match relay.store.create(CallKind::Quarantine, &name, &stored).await {
        Err(StoreError::Conflict { .. }) => {
            relay.store.replace(CallKind::Quarantine, &name, &stored).await
        }
        outcome => outcome,
    }
}

/// Maximum duration of a watch call, in milliseconds: as long as the shortest contact time, so that
/// a dead connection is detected within twice that time, at a third of a call per second for each
/// data centre.
const WATCH_TIMEOUT: Millis = 3_000;

/// Interval between two checks of whether another relay reads the store for this one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the entries of the store and merges them. One relay of each data centre does this and
/// shares the entries with the others. Never returns.
pub async fn follow_quarantine(relay: Rc<Relay>) {
    let platform = relay.settings.platform.to_string();
    let timeout = Duration::from_millis(WATCH_TIMEOUT + STORE_TIMEOUT);
    let store = CountedStore::new(&platform, timeout, &relay.calls);
    let mut stored = BTreeMap::new();
    let mut revision = None;
    wait_for_source(&relay, |state, now| is_read_by_peer(&relay.settings, state, now)).await;
    loop {
        let (is_read_by_peer, is_lost) = {
            let state = relay.state.borrow();
            let is_read_by_peer = is_read_by_peer(&relay.settings, &state, now_millis());
            (is_read_by_peer, state.config_lease.is_lost())
        };
        if is_read_by_peer || is_lost {
            revision = None;
            sleep(if is_lost { STORE_RETRY_PAUSE } else { READER_CHECK_INTERVAL }).await;
            continue;
        }
        match read_store(&relay, &store, revision, &mut stored).await {
            Ok(read_revision) => {
                revision = Some(read_revision);
                relay.knows_quarantine.set(true);
            }
            Err(error) => {
                revision = None;
                tracing::info!(event = "quarantine-unread", %error);
                sleep(STORE_RETRY_PAUSE).await;
            }
        }
        remove_expired(&relay, &mut stored).await;
    }
}

/// Writes the crash reports of this relay to the store again, after the store was restored from a
/// backup.
pub fn store_again(relay: &Relay) {
    relay.state.borrow_mut().quarantine.reset_stored();
    relay.quarantine_notify.notify_one();
}

/// Returns whether another relay of the data centre reads the store: one that precedes this relay
/// by name and whose reads succeed.
fn is_read_by_peer(settings: &RelaySettings, state: &RelayState, now: Millis) -> bool {
    let preceding = state.peers.preceding(&settings.name, &settings.data_centre, now);
    preceding.live > preceding.lost_config
}

/// Unix times in milliseconds at which the entries of the store expire, by their names.
type ExpiryTimes = BTreeMap<String, u64>;

/// Lists the entries of the store, or watches for changes after `revision`. Returns the revision up
/// to which the store has been read.
async fn read_store(
    relay: &Relay,
    store: &CountedStore,
    revision: Option<u64>,
    stored: &mut ExpiryTimes,
) -> Result<u64, StoreError> {
    let Some(after) = revision else {
        let cause = CallCause::Quarantine;
        let list = store.list(CallKind::Quarantine, CallVerb::List, cause).await?;
        stored.clear();
        merge_objects(relay, &list.items, stored);
        return Ok(list.revision);
    };
    let wait = Duration::from_millis(WATCH_TIMEOUT);
    let changes = store.watch(CallKind::Quarantine, after, wait).await?;
    for change in &changes.events.decoded {
        apply_object_change(relay, change, stored);
    }
    Ok(changes.revision.max(after))
}

fn apply_object_change(relay: &Relay, change: &ObjectChange, stored: &mut ExpiryTimes) {
    if !change.removed {
        return merge_objects(relay, std::slice::from_ref(&change.object), stored);
    }
    let name = &change.object.metadata.name;
    stored.remove(name);
    let Some(fingerprint) = RequestFingerprint::parse(name) else { return };
    relay.state.borrow_mut().quarantine.release(&fingerprint, now_millis());
    tracing::info!(event = "request-released", %fingerprint);
}

fn merge_objects(relay: &Relay, objects: &[ListedObject], stored: &mut ExpiryTimes) {
    let (now, epoch) = (now_millis(), epoch_millis());
    let (mut reports, mut trials) = (Vec::new(), Vec::new());
    for object in objects {
        let name = &object.metadata.name;
        let entry = StoredRequest::deserialize(&object.spec);
        match (RequestFingerprint::parse(name), parse_trial_name(name), entry) {
            (Some(fingerprint), _, Ok(entry)) => {
                stored.insert(name.clone(), entry.expires_at(epoch));
                reports.push(entry.report(fingerprint, now, epoch));
            }
            (None, Some(trial), Ok(entry)) => {
                stored.insert(name.clone(), entry.expires_at(epoch).min(entry.until));
                trials.push(trial);
            }
            _ => {
                count(&relay.counts.odd_entries);
                tracing::warn!(event = "quarantine-unreadable", name = describe(name));
            }
        }
    }
    if !reports.is_empty() {
        let change = relay.state.borrow_mut().quarantine.merge(reports, true, now);
        apply_change(relay, &change);
    }
    let table = &mut relay.state.borrow_mut().quarantine;
    trials.iter().for_each(|(fingerprint, number)| table.record_trial(fingerprint, *number, false));
}

impl StoredRequest {
    /// Returns the Unix time after which the entry has no use, for an entry that was read at the
    /// Unix time `epoch`.
    fn expires_at(&self, epoch: u64) -> u64 {
        let last_lost = self.runs.iter().map(|run| run.lost).max().unwrap_or_default();
        let last_use = self.until.max(last_lost).min(epoch.saturating_add(QUARANTINE_TIME));
        last_use.saturating_add(QUARANTINE_TIME)
    }
}

/// Removes expired entries from the store if this relay is the leader.
async fn remove_expired(relay: &Relay, stored: &mut ExpiryTimes) {
    let (now, epoch) = (now_millis(), epoch_millis());
    let is_fresh = relay.is_fleet_fresh(now);
    if !relay.state.borrow().peers.is_leader(&relay.settings.name, is_fresh, now) {
        return;
    }
    let expired: Vec<String> = stored
        .iter()
        .filter(|(_, expiry)| **expiry < epoch)
        .map(|(name, _)| name.clone())
        .collect();
    for name in expired {
        match relay.store.remove(CallKind::Quarantine, &name).await {
            Ok(()) => drop(stored.remove(&name)),
            Err(error) => {
                tracing::info!(event = "quarantine-not-removed", name, %error);
                return;
            }
        }
    }
}
