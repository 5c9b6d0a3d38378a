//! Quarantine of requests that crash the replicas that run them (the "query of death" of serving
//! systems), and of parts of prompts that do so in whatever request.
//!
//! Both are called requests here: a run counts for its request and for each part of its prompt that
//! other requests may share. A part that sound requests share has results; one that crashes every
//! replica has none.
//!
//! A crash ends every request that runs on a replica, so a single crash says little about any of
//! them; the same request present at one crash after another says much. By request fingerprint, a
//! relay keeps the runs that were lost when their replicas crashed, and shares them with the other
//! relays. Once enough of them follow one another, the request is quarantined: it is rejected and
//! sent to no replica, except for a few trials ([`TRIAL_DELAYS`]). A result from any replica clears a
//! request, since a request that crashes every replica that starts to run it never has one.
//!
//! | what harmless requests encounter | why they are not quarantined for it |
//! |---|---|
//! | a rack, a data centre or all replicas fail together | runs form a chain only if each was sent after the one before was lost |
//! | a crash in the middle of a long stream | a run that produced events for [`SURVIVAL_TIME`] counts as a result |
//! | a crash while they are queued | a run that had not started, or had produced events, is only [`CrashEvidence::Weak`] evidence |
//! | one crash after another, beside the request that causes them | crashes that another request explains equally well must weigh more ([`AMBIGUOUS_WEIGHT`]) |
//! | a part is present at the crashes of one request, or of a later part of the same prompts | a more specific one of at least the same weight explains its crashes |
//! | one that recently had a result is present at every crash, as a part that most prompts share | it explains no crash of one without results |
//! | a request that all callers make is present at every crash | after a recent result its crashes must weigh more, and it is never quarantined if another request explains all of them |
//! | replicas crash one after the other while the relays remember no results, as after a restart | a trial has a result |
//!
//! The trade-off is the number of replicas that a request may crash: three before it is
//! quarantined, one or two more if several requests share its crashes, plus those of sends that
//! relays make before they learn of the quarantine, and those of its trials. A replica that crashed
//! with its host refuses no connection. It is silent, as sound replicas sometimes are, so its crash
//! counts only when its entry is dropped, and the request crashes those replicas too that it is sent
//! to until then. Worst case for memory: [`MAX_RECORDS`] requests with [`MAX_RUNS`] runs each, some
//! 600 kB. Without crashes nothing is kept.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
};

mod completed;
mod record;
mod runs;
mod trials;

use self::{
    completed::CompletedSet, record::RequestRecord, runs::chain_weight, trials::TrialOwner,
};
pub use self::{
    record::{CrashReport, MAX_RUNS, QUARANTINE_WEIGHT},
    runs::{CrashEvidence, CrashRun, LostRun, RunProgress, SURVIVAL_TIME},
    trials::TRIAL_DELAYS,
};
use crate::{
    Millis, fingerprint::RequestFingerprint, instance::ReplicaInstance, origin::UpdateAudience,
};

/// Replaces [`QUARANTINE_WEIGHT`] for a request that recently had a result, or each of whose
/// crashes another request explains equally well. The request that causes the crashes will cause
/// more, while the others will have a result. A request to which both apply is never quarantined;
/// otherwise a call that all callers make would be rejected for ten minutes after two power
/// failures in a row.
pub const AMBIGUOUS_WEIGHT: u32 = 10;

/// Weight from which lost runs are shared at once and written to the platform's store: two pieces
/// of strong evidence.
pub const REPORT_WEIGHT: u32 = 4;

/// Duration of a quarantine, in milliseconds. After it, one more crash quarantines the request
/// again.
pub const QUARANTINE_TIME: Millis = 600_000;

/// Time without changes after which lost runs are dropped, in milliseconds. Callers retry within a
/// minute.
pub const RUN_RETENTION: Millis = 120_000;

/// Time from the loss of a run within which the crash of its replica must be detected, in
/// milliseconds. The replica list drops a replica after three heartbeats, some 3.6 s.
const CRASH_DETECTION_TIME: Millis = 6_000;

/// Time for which a crash is remembered for runs whose loss is noticed after it, in milliseconds.
const CRASH_RETENTION: Millis = 2_000;

/// Maximum number of requests with lost runs that are kept.
pub const MAX_RECORDS: usize = 1_024;

/// Maximum number of lost runs kept while no crash of their replicas is known, and of cleared
/// requests.
const MAX_PENDING: usize = 1_024;

/// Maximum number of crashes remembered.
const MAX_CRASHES: usize = 256;

/// A lost run of which no replica is known to have crashed yet.
#[derive(Clone, Debug)]
struct PendingRun {
    fingerprint: RequestFingerprint,
    instances: Vec<ReplicaInstance>,
    sent: Millis,
    lost: Millis,
    evidence: CrashEvidence,
    depth: usize,
}

/// Time for which lost runs that this relay observed, and changes of their requests, are shared, in
/// milliseconds: eight messages to the relays that get them least often.
const SHARE_TIME: Millis = 3_200;

/// Effect of an update.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineChange {
    /// Requests that are now quarantined, with the weight of their lost runs.
    pub quarantined: Vec<(RequestFingerprint, u32)>,
    /// Whether other relays should be notified at once.
    pub is_urgent: bool,
}

/// Lost runs of requests and the quarantines that follow from them.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    pending: VecDeque<PendingRun>,
    /// Recent crashes of replicas, with the time at which each was detected.
    crashes: VecDeque<(ReplicaInstance, Millis)>,
    records: HashMap<RequestFingerprint, RequestRecord>,
    completed: CompletedSet,
    /// Cleared requests that are still shared, with the time of each.
    cleared: VecDeque<(RequestFingerprint, Millis)>,
    /// Cleared requests that the platform's store may still hold, each with the number of its
    /// trials.
    removable: Vec<(RequestFingerprint, usize)>,
    /// Time until which all quarantined requests are shared.
    share_all_until: Millis,
}

impl QuarantineTable {
    /// Returns the remaining time of a request's quarantine in milliseconds, or `None` if it is not
    /// quarantined.
    pub fn remaining(&self, fingerprint: &RequestFingerprint, now: Millis) -> Option<Millis> {
        if self.records.is_empty() {
            return None;
        }
        let until = self.records.get(fingerprint)?.quarantined_until?;
        until.checked_sub(now).filter(|remaining| *remaining > 0)
    }

    /// Returns whether no lost run is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.pending.is_empty()
    }

    /// Returns whether a run was lost at a replica of which no crash is known.
    pub fn has_lost_run(&self, instance: &ReplicaInstance) -> bool {
        self.pending.iter().any(|run| run.instances.contains(instance))
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        self.records.values().filter(|record| record.is_quarantined(now)).count()
    }

    /// Returns the number of requests with known lost runs.
    pub fn tracked_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the weight of a request's lost runs.
    pub fn weight(&self, fingerprint: &RequestFingerprint) -> u32 {
        self.records.get(fingerprint).map_or(0, |record| chain_weight(&record.runs))
    }

    /// Records a lost run. If a replica of its path is known to have crashed since the request was
    /// sent, the run counts at once; otherwise it counts when such a crash is detected.
    pub fn record_lost(
        &mut self,
        fingerprint: RequestFingerprint,
        run: &LostRun<'_>,
        now: Millis,
    ) -> QuarantineChange {
        let Some(evidence) = run.progress.evidence(now) else { return QuarantineChange::default() };
        let pending = PendingRun {
            fingerprint,
            instances: run.instances.to_vec(),
            sent: run.sent,
            lost: now,
            evidence,
            depth: run.depth,
        };
        let is_recent =
            |at: Millis| now.saturating_sub(at) <= CRASH_RETENTION && pending.sent <= at;
        let mut crashes = self.crashes.iter().filter(|(_, at)| is_recent(*at));
        if let Some((instance, _)) =
            crashes.find(|(instance, _)| pending.instances.contains(instance))
        {
            let instance = instance.clone();
            self.add_local(&pending, instance, now);
            return self.evaluate_local(now);
        }
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(pending);
        QuarantineChange::default()
    }

    /// Records that a replica was found to have ended unexpectedly.
    pub fn record_crash(&mut self, instance: &ReplicaInstance, now: Millis) -> QuarantineChange {
        if !self.crashes.iter().any(|(crashed, _)| crashed == instance) {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back((instance.clone(), now));
        }
        let (affected, pending): (VecDeque<PendingRun>, VecDeque<PendingRun>) =
            self.pending.drain(..).partition(|run| run.instances.contains(instance));
        self.pending = pending;
        let mut is_any_added = false;
        for run in
            affected.iter().filter(|run| now.saturating_sub(run.lost) <= CRASH_DETECTION_TIME)
        {
            self.add_local(run, instance.clone(), now);
            is_any_added = true;
        }
        if is_any_added { self.evaluate_local(now) } else { QuarantineChange::default() }
    }

    /// Records that a replica that was found to have crashed responds after all. Drops the runs
    /// lost there, except those of requests that are already quarantined.
    pub fn record_alive(&mut self, instance: &ReplicaInstance) {
        self.crashes.retain(|(crashed, _)| crashed != instance);
        for record in self.records.values_mut().filter(|record| record.quarantined_until.is_none())
        {
            record.runs.retain(|run| run.instance != *instance);
        }
        self.records
            .retain(|_, record| record.quarantined_until.is_some() || !record.runs.is_empty());
    }

    /// Records that a request had a result, so a replica ran it and survived. Clears the request
    /// and returns whether lost runs of it were known.
    pub fn record_result(&mut self, fingerprint: &RequestFingerprint, now: Millis) -> bool {
        self.completed.add(fingerprint, now);
        if self.is_empty() {
            return false;
        }
        self.pending.retain(|run| run.fingerprint != *fingerprint);
        let Some(record) = self.records.remove(fingerprint) else { return false };
        self.share_cleared(fingerprint, now);
        if record.weight(now) >= REPORT_WEIGHT {
            self.removable.push((*fingerprint, record.trials));
        }
        true
    }

    /// Releases a request that the platform's store no longer holds, because an operator removed it
    /// or it had a result. The release is shared with other relays.
    pub fn release(&mut self, fingerprint: &RequestFingerprint, now: Millis) {
        if self.records.remove(fingerprint).is_some() {
            self.share_cleared(fingerprint, now);
        }
    }

    /// Merges reports of another relay or of the platform's store. If `forwards` is set, what is
    /// new is shared with other relays for a while.
    pub fn merge(
        &mut self,
        reports: Vec<CrashReport>,
        forwards: bool,
        now: Millis,
    ) -> QuarantineChange {
        let mut is_any_new = false;
        for CrashReport { fingerprint, remaining, runs } in reports {
            let cleared = self.cleared.iter().rev().find(|(known, _)| *known == fingerprint);
            let cleared_at = cleared.map_or(i64::MIN, |(_, at)| *at as i64);
            let is_overruled = remaining.is_some() && self.overrules(&fingerprint, &runs, now);
            let remaining = remaining.filter(|_| cleared_at == i64::MIN && !is_overruled);
            if remaining.is_none() && runs.iter().all(|run| run.lost <= cleared_at) {
                continue;
            }
            let record = self.records.entry(fingerprint).or_default();
            let mut is_new = false;
            for run in runs.into_iter().filter(|run| run.lost > cleared_at) {
                is_new |= record.add(run);
            }
            if let Some(remaining) = remaining {
                let until = now + remaining.min(QUARANTINE_TIME);
                is_new |= record.quarantined_until.is_none_or(|known| known <= now);
                record.quarantined_until =
                    Some(record.quarantined_until.unwrap_or_default().max(until));
            }
            if is_new {
                record.changed = now;
                record.is_local = false;
            }
            if is_new && forwards {
                record.shared_until = now + SHARE_TIME;
            }
            is_any_new |= is_new;
        }
        if !is_any_new {
            return QuarantineChange::default();
        }
        self.bound_records(now);
        QuarantineChange { quarantined: self.evaluate(now), is_urgent: is_any_new && forwards }
    }

    /// Merges requests that were cleared at another relay, each with its age in milliseconds. If
    /// `forwards` is set, they are shared with other relays until their age reaches the limit,
    /// however often they are repeated.
    pub fn merge_cleared(
        &mut self,
        cleared: &[(RequestFingerprint, Millis)],
        forwards: bool,
        now: Millis,
    ) {
        for (fingerprint, age) in cleared {
            let at = now as i64 - *age as i64;
            let is_known = || self.cleared.iter().any(|(known, _)| known == fingerprint);
            if forwards && *age < SHARE_TIME && !is_known() {
                self.share_cleared(fingerprint, now.saturating_sub(*age));
            }
            let Some(record) = self.records.get_mut(fingerprint) else { continue };
            record.runs.retain(|run| run.lost > at);
            record.quarantined_until = record.quarantined_until.filter(|_| !record.runs.is_empty());
            if record.runs.is_empty() {
                self.records.remove(fingerprint);
            }
        }
    }

    /// Shares all quarantined requests for a while, after a relay has started or is live again
    /// after a silence.
    pub fn announce_all(&mut self, now: Millis) {
        self.share_all_until = now + SHARE_TIME;
    }

    /// Returns the reports of all quarantined requests.
    pub fn quarantined(&self, now: Millis) -> impl Iterator<Item = CrashReport> {
        let held = self.records.iter().filter(move |(_, record)| record.is_quarantined(now));
        held.map(move |(fingerprint, record)| record.report(*fingerprint, now))
    }

    /// Returns the reports to send to other relays now, heaviest first.
    pub fn shared_with(&self, audience: UpdateAudience, now: Millis) -> Vec<CrashReport> {
        let shares_all = now < self.share_all_until;
        let is_forwarded = |record: &RequestRecord| {
            audience == UpdateAudience::Members && now.saturating_sub(record.changed) < SHARE_TIME
        };
        let shared = self.records.iter().filter(|(_, record)| {
            now < record.shared_until
                || is_forwarded(record)
                || shares_all && record.is_quarantined(now)
        });
        let weighted =
            shared.map(|(fingerprint, record)| (record.weight(now), fingerprint, record));
        let mut reports: Vec<_> =
            weighted.filter(|(weight, ..)| *weight >= CrashEvidence::Strong.weight()).collect();
        reports.sort_unstable_by_key(|(weight, ..)| Reverse(*weight));
        reports.truncate(MAX_REPORTS);
        reports
            .into_iter()
            .map(|(_, fingerprint, record)| record.report(*fingerprint, now))
            .collect()
    }

    /// Returns the recently cleared requests to send to other relays, each with its age in
    /// milliseconds, latest first.
    pub fn cleared(&self, now: Millis) -> Vec<(RequestFingerprint, Millis)> {
        let recent = self.cleared.iter().filter(|(_, at)| now.saturating_sub(*at) < SHARE_TIME);
        recent.rev().take(MAX_REPORTS).map(|(fingerprint, at)| (*fingerprint, now - at)).collect()
    }

    /// Returns the reports that this relay should write to the platform's store, and marks them as
    /// written.
    pub fn unstored(&mut self, now: Millis) -> Vec<CrashReport> {
        let mut unstored = Vec::new();
        for (fingerprint, record) in &mut self.records {
            let weight = record.weight(now);
            if record.is_local && weight >= REPORT_WEIGHT && weight > record.stored_weight {
                record.stored_weight = weight;
                unstored.push(record.report(*fingerprint, now));
            }
        }
        unstored
    }

    /// Records that writing a request to the platform's store failed, so that it is written again.
    pub fn record_store_failure(&mut self, fingerprint: &RequestFingerprint) {
        if let Some(record) = self.records.get_mut(fingerprint) {
            record.stored_weight = 0;
        }
    }

    /// Marks all requests as not written, since the platform's store may have lost them.
    pub fn reset_stored(&mut self) {
        self.records.values_mut().for_each(|record| record.stored_weight = 0);
    }

    /// Takes the requests to remove from the platform's store, each with the number of its trials,
    /// and marks them as removed.
    pub fn take_removable(&mut self) -> Vec<(RequestFingerprint, usize)> {
        std::mem::take(&mut self.removable)
    }

    /// Drops expired state and ends expired quarantines.
    pub fn expire(&mut self, now: Millis) {
        self.pending.retain(|run| now.saturating_sub(run.lost) <= CRASH_DETECTION_TIME);
        self.crashes.retain(|(_, at)| now.saturating_sub(*at) <= CRASH_RETENTION);
        self.cleared.retain(|(_, at)| now.saturating_sub(*at) < SHARE_TIME);
        self.records.retain(|_, record| {
            if record.quarantined_until.is_some_and(|until| until <= now) {
                // The request may be tried again; the runs that are left quarantine it at the next
                // crash.
                record.quarantined_until = None;
                (record.trials, record.trial_owner) = (0, TrialOwner::Unknown);
                record.changed = now;
                record.stored_weight = 0;
                record.drop_oldest();
            }
            record.quarantined_until.is_some() || now.saturating_sub(record.changed) < RUN_RETENTION
        });
    }

    /// Returns whether a result seen by this relay overrules a quarantine reported by another one.
    /// A result later than the first of the crashes clears the request at all relays; an earlier
    /// one raises the required weight, as for runs that this relay observed.
    fn overrules(
        &mut self,
        fingerprint: &RequestFingerprint,
        runs: &[CrashRun],
        now: Millis,
    ) -> bool {
        let Some(completed_at) = self.completed.last(fingerprint) else { return false };
        let first = runs.iter().map(|run| run.lost).min();
        if first.is_some_and(|first| first < completed_at as i64) {
            self.share_cleared(fingerprint, now);
            return true;
        }
        chain_weight(runs) < AMBIGUOUS_WEIGHT
    }

    fn share_cleared(&mut self, fingerprint: &RequestFingerprint, now: Millis) {
        self.cleared.retain(|(known, _)| known != fingerprint);
        if self.cleared.len() == MAX_PENDING {
            self.cleared.pop_front();
        }
        self.cleared.push_back((*fingerprint, now));
    }

    fn add_local(&mut self, run: &PendingRun, instance: ReplicaInstance, now: Millis) {
        let record = self.records.entry(run.fingerprint).or_default();
        record.changed = now;
        record.shared_until = now + SHARE_TIME;
        record.is_local = true;
        record.depth = Some(run.depth);
        let PendingRun { sent, lost, evidence, .. } = *run;
        record.add(CrashRun { instance, sent: sent as i64, lost: lost as i64, evidence });
        self.bound_records(now);
    }

    /// Drops the records with the least weight, oldest first, until at most [`MAX_RECORDS`] are
    /// left.
    fn bound_records(&mut self, now: Millis) {
        while self.records.len() > MAX_RECORDS {
            let least =
                self.records.iter().min_by_key(|(_, record)| (record.weight(now), record.changed));
            let Some(least) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.records.remove(&least);
        }
    }

    /// Quarantines the requests whose lost runs have reached the required weight, and returns them
    /// with the weight of their runs.
    fn evaluate(&mut self, now: Millis) -> Vec<(RequestFingerprint, u32)> {
        let weights: HashMap<RequestFingerprint, u32> = self
            .records
            .iter()
            .map(|(fingerprint, record)| (*fingerprint, record.weight(now)))
            .collect();
        let is_sufficient = |(fingerprint, weight): &(&RequestFingerprint, &u32)| {
            let required = || match (
                self.completed.last(fingerprint).is_some(),
                self.explanation(fingerprint, &weights),
            ) {
                (false, None) => QUARANTINE_WEIGHT,
                (true, None) | (false, Some(Explanation::Equal)) => AMBIGUOUS_WEIGHT,
                (true, Some(_)) | (_, Some(Explanation::Specific)) => u32::MAX,
            };
            **weight >= QUARANTINE_WEIGHT && **weight < u32::MAX && **weight >= required()
        };
        let quarantined = weights.iter().filter(is_sufficient);
        let quarantined: Vec<_> =
            quarantined.map(|(fingerprint, weight)| (*fingerprint, *weight)).collect();
        for (fingerprint, _) in &quarantined {
            if let Some(record) = self.records.get_mut(fingerprint) {
                record.quarantined_until = Some(now + QUARANTINE_TIME);
                record.shared_until = now + SHARE_TIME;
            }
        }
        quarantined
    }

    /// Evaluates after a run that this relay observed. Other relays are notified at once from the
    /// second crash in a row, when a third one is likely. Reports of other relays are not forwarded
    /// that way, or each message would cause hundreds.
    fn evaluate_local(&mut self, now: Millis) -> QuarantineChange {
        let quarantined = self.evaluate(now);
        let is_reportable = |record: &RequestRecord| {
            record.is_local && record.changed == now && record.weight(now) >= REPORT_WEIGHT
        };
        let is_urgent = self.records.values().any(is_reportable);
        QuarantineChange { quarantined, is_urgent }
    }

    /// Returns how other requests of at least the same weight explain each crash of a request, or
    /// `None` if they do not. Less specific ones explain nothing, and neither does one that recently
    /// had a result where this one had none.
    fn explanation(
        &self,
        fingerprint: &RequestFingerprint,
        weights: &HashMap<RequestFingerprint, u32>,
    ) -> Option<Explanation> {
        let weight = weights[fingerprint];
        let record = &self.records[fingerprint];
        let has_result = self.completed.last(fingerprint).is_some();
        let explains = |other: &RequestFingerprint| {
            other != fingerprint
                && weights[other] >= weight
                && (has_result || self.completed.last(other).is_none())
        };
        let others: Vec<(&RequestRecord, Explanation)> = self
            .records
            .iter()
            .filter(|(other, _)| explains(other))
            .filter_map(|(_, other)| match record.depth.zip(other.depth) {
                Some((own, other_depth)) if other_depth < own => None,
                Some((own, other_depth)) if other_depth > own => {
                    Some((other, Explanation::Specific))
                }
                _ => Some((other, Explanation::Equal)),
            })
            .collect();
        let is_shared = |run: &CrashRun, least: Explanation| {
            others.iter().any(|(other, explanation)| {
                *explanation >= least
                    && other.runs.iter().any(|known| known.instance == run.instance)
            })
        };
        let all_shared = |least: Explanation| record.runs.iter().all(|run| is_shared(run, least));
        [Explanation::Specific, Explanation::Equal].into_iter().find(|least| all_shared(*least))
    }
}

/// How other requests explain the crashes of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Explanation {
    /// By requests that are as specific, or of which this is not known.
    Equal,
    /// By more specific requests.
    Specific,
}

/// Maximum number of requests per message. The heaviest reports are sent first.
const MAX_REPORTS: usize = 32;
