//! Requests that end the replicas that run them: the "query of death" of serving systems.
//!
//! A crash ends all that ran on a replica, so one crash says little of any request; the same request under one crash after
//! the other says much. An entry keeps, by fingerprint, the runs that were lost with their replicas, tells them to the other
//! entries, and sends a request nowhere any more once enough of them came one after the other. A result at any replica
//! clears a request: what ends each replica that begins to run it has none.
//!
//! | what harmless requests meet | why they are not taken for one |
//! |---|---|
//! | a rack, a data centre or all replicas end together | runs count only where each was sent after the one before had ended |
//! | a crash in the middle of a long stream | a run that went on for [`SURVIVAL_TIME`] with events is a result |
//! | a crash while they wait for their turn | a run that had not begun, or that had given something, is a [`CrashEvidence::Weak`] sign |
//! | crash after crash, beside the request that makes them | crashes that another request explains as well say less ([`AMBIGUOUS_WEIGHT`]) |
//! | a request that everybody makes, at each replica that ends | one that had a result lately needs more, and is not stopped for what another explains |
//!
//! The trade-off is how many replicas a request may end: three before it is stopped, one or two more where several
//! requests share its crashes, and what is sent at the same moment by entries that have not heard. Worst case in memory:
//! [`MAX_RECORDS`] requests with [`MAX_RUNS`] runs each, some 600 kB; nothing in calm.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
};

mod record;
mod results;
mod runs;

use self::{record::RequestRecord, results::ProvenSet, runs::chain_weight};
pub use self::{
    record::{CrashReport, MAX_RUNS, QUARANTINE_WEIGHT},
    runs::{CrashEvidence, CrashRun, LostRun, RunProgress, SURVIVAL_TIME},
};
use crate::{
    Millis, fingerprint::RequestFingerprint, instance::ReplicaInstance, origin::UpdateAudience,
};

/// [`QUARANTINE_WEIGHT`] of a request each of whose crashes another one explains as well, or that had a result lately: the one that ends
/// replicas goes on to do so, the others get a result. Where both hold it is never stopped: otherwise calls of one kind
/// that all callers make are refused for ten minutes after two power failures in a row.
pub const AMBIGUOUS_WEIGHT: u32 = 10;

/// Weight at which lost runs are told at once and kept in the platform's store: two strong signs.
pub const REPORT_WEIGHT: u32 = 4;

/// Time for which a request is sent nowhere, in milliseconds. Then one more crash stops it again.
pub const QUARANTINE_TIME: Millis = 600_000;

/// Time without news after which lost runs are forgotten, in milliseconds: callers come back within a minute.
pub const RUN_RETENTION: Millis = 120_000;

/// Time from a run's loss until its replica must be found to have ended, in milliseconds: the list of replicas drops one after
/// three heartbeats, some 3.6 s.
const FOUND_WITHIN: Millis = 6_000;

/// Time for which a replica's end is remembered for runs that turn out lost after it was found, in milliseconds.
const END_KEPT: Millis = 2_000;

/// Requests kept.
pub const MAX_RECORDS: usize = 1_024;

/// Lost runs kept whose replicas may turn out to have ended.
const MOST_OPEN: usize = 1_024;

/// Ends of replicas kept.
const MOST_ENDS: usize = 256;

#[derive(Clone, Debug)]
struct OpenRun {
    fingerprint: RequestFingerprint,
    instances: Vec<ReplicaInstance>,
    sent: Millis,
    lost: Millis,
    evidence: CrashEvidence,
}

/// How often lost runs of one's own, and what became of them, are told: through eight messages to the farthest entries.
const TELL_FOR: Millis = 3_200;

/// What changed by something learnt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineChange {
    /// Requests that are sent nowhere from now on, with the weight of their runs.
    pub quarantined: Vec<(RequestFingerprint, u32)>,
    /// Whether others are to be told at once.
    pub is_urgent: bool,
}

/// What is known of requests that may end the replicas that run them.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    open: VecDeque<OpenRun>,
    ends: VecDeque<(ReplicaInstance, Millis)>,
    records: HashMap<RequestFingerprint, RequestRecord>,
    proven: ProvenSet,
    /// Requests that had a result, which others are still told.
    cleared: VecDeque<(RequestFingerprint, Millis)>,
    /// Requests that the platform's store may hold, and that had a result.
    removable: Vec<RequestFingerprint>,
    /// Until when all stopped requests are told.
    all_told_until: Millis,
}

impl QuarantineTable {
    /// Time for which a request still is sent nowhere.
    pub fn remaining(&self, fingerprint: &RequestFingerprint, now: Millis) -> Option<Millis> {
        if self.records.is_empty() {
            return None;
        }
        let until = self.records.get(fingerprint)?.until?;
        until.checked_sub(now).filter(|left| *left > 0)
    }

    /// Whether no lost run is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.open.is_empty()
    }

    /// Count of requests that are sent nowhere.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        self.records.values().filter(|record| record.is_stopped(now)).count()
    }

    /// Count of requests of which lost runs are known.
    pub fn tracked_count(&self) -> usize {
        self.records.len()
    }

    /// Weight of a request's lost runs.
    pub fn weight(&self, fingerprint: &RequestFingerprint) -> u32 {
        self.records.get(fingerprint).map_or(0, |record| chain_weight(&record.runs))
    }

    /// Notes a run that was lost. Where a replica of its path is known to have ended since it was sent, the run counts at
    /// once; otherwise it does when one is found to have.
    pub fn record_lost(
        &mut self,
        fingerprint: RequestFingerprint,
        run: &LostRun<'_>,
        now: Millis,
    ) -> QuarantineChange {
        let Some(evidence) = run.progress.evidence(now) else { return QuarantineChange::default() };
        let open = OpenRun {
            fingerprint,
            instances: run.instances.to_vec(),
            sent: run.sent,
            lost: now,
            evidence,
        };
        let is_recent = |at: Millis| now.saturating_sub(at) <= END_KEPT && open.sent <= at;
        let mut ends = self.ends.iter().filter(|(_, at)| is_recent(*at));
        if let Some((instance, _)) = ends.find(|(instance, _)| open.instances.contains(instance)) {
            let instance = instance.clone();
            self.add_own(&open, instance, now);
            return self.settle_own(now);
        }
        if self.open.len() == MOST_OPEN {
            self.open.pop_front();
        }
        self.open.push_back(open);
        QuarantineChange::default()
    }

    /// Notes that a replica was found to have ended, not as planned.
    pub fn record_ended(&mut self, instance: &ReplicaInstance, now: Millis) -> QuarantineChange {
        if !self.ends.iter().any(|(ended, _)| ended == instance) {
            if self.ends.len() == MOST_ENDS {
                self.ends.pop_front();
            }
            self.ends.push_back((instance.clone(), now));
        }
        let (hit, open): (VecDeque<OpenRun>, VecDeque<OpenRun>) =
            self.open.drain(..).partition(|run| run.instances.contains(instance));
        self.open = open;
        let mut is_hit = false;
        for run in hit.iter().filter(|run| now.saturating_sub(run.lost) <= FOUND_WITHIN) {
            self.add_own(run, instance.clone(), now);
            is_hit = true;
        }
        if is_hit { self.settle_own(now) } else { QuarantineChange::default() }
    }

    /// Notes that a replica that was taken to have ended answers: what was lost there says nothing.
    pub fn record_alive(&mut self, instance: &ReplicaInstance) {
        self.ends.retain(|(ended, _)| ended != instance);
        for record in self.records.values_mut().filter(|record| record.until.is_none()) {
            record.runs.retain(|run| run.instance != *instance);
        }
        self.records.retain(|_, record| record.until.is_some() || !record.runs.is_empty());
    }

    /// Notes that a request had a result: a replica ran it, and lives. Tells whether anything had been known of it.
    pub fn record_result(&mut self, fingerprint: &RequestFingerprint, now: Millis) -> bool {
        self.proven.add(fingerprint, now);
        if self.is_empty() {
            return false;
        }
        self.open.retain(|run| run.fingerprint != *fingerprint);
        let Some(record) = self.records.remove(fingerprint) else { return false };
        self.tell_cleared(fingerprint, now);
        if record.weight(now) >= REPORT_WEIGHT {
            self.removable.push(*fingerprint);
        }
        true
    }

    /// Lets a request go everywhere again: the platform's store no longer holds it, by an operator's hand or since it had a
    /// result. Others are told.
    pub fn release(&mut self, fingerprint: &RequestFingerprint, now: Millis) {
        if self.records.remove(fingerprint).is_some() {
            self.tell_cleared(fingerprint, now);
        }
    }

    /// Takes over what another entry, or the platform's store, tells. `tells_on` asks to tell it on for a while.
    pub fn merge(
        &mut self,
        news: Vec<CrashReport>,
        tells_on: bool,
        now: Millis,
    ) -> QuarantineChange {
        let mut is_any_new = false;
        for CrashReport { fingerprint, remaining: left, runs } in news {
            let cleared = self.cleared.iter().rev().find(|(known, _)| *known == fingerprint);
            let cleared_at = cleared.map_or(i64::MIN, |(_, at)| *at as i64);
            let is_overruled = left.is_some() && self.overrules(&fingerprint, &runs, now);
            let left = left.filter(|_| cleared_at == i64::MIN && !is_overruled);
            if left.is_none() && runs.iter().all(|run| run.lost <= cleared_at) {
                continue;
            }
            let record = self.records.entry(fingerprint).or_default();
            let mut is_new = false;
            for run in runs.into_iter().filter(|run| run.lost > cleared_at) {
                is_new |= record.add(run);
            }
            if let Some(left) = left {
                let until = now + left.min(QUARANTINE_TIME);
                is_new |= record.until.is_none_or(|known| known <= now);
                record.until = Some(record.until.unwrap_or_default().max(until));
            }
            if is_new {
                record.touched = now;
                record.is_own = false;
            }
            if is_new && tells_on {
                record.told_until = now + TELL_FOR;
            }
            is_any_new |= is_new;
        }
        if !is_any_new {
            return QuarantineChange::default();
        }
        self.bound_records(now);
        QuarantineChange { quarantined: self.settle(now), is_urgent: is_any_new && tells_on }
    }

    /// Takes over that requests had a result somewhere, `age` milliseconds ago. `tells_on` asks to tell that on: it ends by its
    /// age, however often it is repeated.
    pub fn merge_cleared(
        &mut self,
        cleared: &[(RequestFingerprint, Millis)],
        tells_on: bool,
        now: Millis,
    ) {
        for (fingerprint, age) in cleared {
            let at = now as i64 - *age as i64;
            let is_known = || self.cleared.iter().any(|(known, _)| known == fingerprint);
            if tells_on && *age < TELL_FOR && !is_known() {
                self.tell_cleared(fingerprint, now.saturating_sub(*age));
            }
            let Some(record) = self.records.get_mut(fingerprint) else { continue };
            record.runs.retain(|run| run.lost > at);
            record.until = record.until.filter(|_| !record.runs.is_empty());
            if record.runs.is_empty() {
                self.records.remove(fingerprint);
            }
        }
    }

    /// Tells all stopped requests for a while: an entry has just started, or is heard again after a silence.
    pub fn announce_all(&mut self, now: Millis) {
        self.all_told_until = now + TELL_FOR;
    }

    /// What others are to be told now.
    pub fn updates(&self, reach: UpdateAudience, now: Millis) -> Vec<CrashReport> {
        let tells_all = now < self.all_told_until;
        let is_heard = |record: &RequestRecord| {
            reach == UpdateAudience::Members && now.saturating_sub(record.touched) < TELL_FOR
        };
        let told = self.records.iter().filter(|(_, record)| {
            now < record.told_until || is_heard(record) || tells_all && record.is_stopped(now)
        });
        let weighed = told.map(|(fingerprint, record)| (record.weight(now), fingerprint, record));
        let mut noted: Vec<_> =
            weighed.filter(|(weight, ..)| *weight >= CrashEvidence::Strong.weight()).collect();
        noted.sort_unstable_by_key(|(weight, ..)| Reverse(*weight));
        noted.truncate(MOST_TOLD);
        noted.into_iter().map(|(_, fingerprint, record)| record.report(*fingerprint, now)).collect()
    }

    /// Requests that had a result lately, with the milliseconds since, as others are to be told.
    pub fn cleared(&self, now: Millis) -> Vec<(RequestFingerprint, Millis)> {
        let recent = self.cleared.iter().filter(|(_, at)| now.saturating_sub(*at) < TELL_FOR);
        recent.rev().take(MOST_TOLD).map(|(fingerprint, at)| (*fingerprint, now - at)).collect()
    }

    /// What the platform's store is to hold and does not yet, of what this entry saw itself; it counts as held from now on.
    pub fn unstored(&mut self, now: Millis) -> Vec<CrashReport> {
        let mut unstored = Vec::new();
        for (fingerprint, record) in &mut self.records {
            let weight = record.weight(now);
            if record.is_own && weight >= REPORT_WEIGHT && weight > record.stored {
                record.stored = weight;
                unstored.push(record.report(*fingerprint, now));
            }
        }
        unstored
    }

    /// Notes that the platform's store could not be told of a request.
    pub fn record_store_failure(&mut self, fingerprint: &RequestFingerprint) {
        if let Some(record) = self.records.get_mut(fingerprint) {
            record.stored = 0;
        }
    }

    /// Notes that the platform's store may have lost all that it was told.
    pub fn reset_stored(&mut self) {
        self.records.values_mut().for_each(|record| record.stored = 0);
    }

    /// Requests that the platform's store may hold no longer; they count as removed from now on.
    pub fn take_removable(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.removable)
    }

    /// Forgets what is old.
    pub fn forget(&mut self, now: Millis) {
        self.open.retain(|run| now.saturating_sub(run.lost) <= FOUND_WITHIN);
        self.ends.retain(|(_, at)| now.saturating_sub(*at) <= END_KEPT);
        self.cleared.retain(|(_, at)| now.saturating_sub(*at) < TELL_FOR);
        self.records.retain(|_, record| {
            if record.until.is_some_and(|until| until <= now) {
                // It may be tried once: the oldest of its runs is forgiven.
                record.until = None;
                record.touched = now;
                record.stored = 0;
                record.forgive();
            }
            record.until.is_some() || now.saturating_sub(record.touched) < RUN_RETENTION
        });
    }

    /// Whether this entry knows better than one that says a request is stopped: the request had a result here. One in the midst of
    /// its crashes clears it everywhere; an earlier one asks for more crashes, as for what is seen here.
    fn overrules(
        &mut self,
        fingerprint: &RequestFingerprint,
        runs: &[CrashRun],
        now: Millis,
    ) -> bool {
        let Some(proof) = self.proven.last(fingerprint) else { return false };
        let first = runs.iter().map(|run| run.lost).min();
        if first.is_some_and(|first| first < proof as i64) {
            self.tell_cleared(fingerprint, now);
            return true;
        }
        chain_weight(runs) < AMBIGUOUS_WEIGHT
    }

    fn tell_cleared(&mut self, fingerprint: &RequestFingerprint, now: Millis) {
        self.cleared.retain(|(known, _)| known != fingerprint);
        if self.cleared.len() == MOST_OPEN {
            self.cleared.pop_front();
        }
        self.cleared.push_back((*fingerprint, now));
    }

    fn add_own(&mut self, run: &OpenRun, instance: ReplicaInstance, now: Millis) {
        let record = self.records.entry(run.fingerprint).or_default();
        record.touched = now;
        record.told_until = now + TELL_FOR;
        record.is_own = true;
        let OpenRun { sent, lost, evidence, .. } = *run;
        record.add(CrashRun { instance, sent: sent as i64, lost: lost as i64, evidence });
        self.bound_records(now);
    }

    /// Makes room where there are too many: what says least goes first, and the oldest of that.
    fn bound_records(&mut self, now: Millis) {
        while self.records.len() > MAX_RECORDS {
            let least =
                self.records.iter().min_by_key(|(_, record)| (record.weight(now), record.touched));
            let Some(least) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.records.remove(&least);
        }
    }

    /// Stops requests whose runs say enough, after something was learnt; gives them with the weight of their runs.
    fn settle(&mut self, now: Millis) -> Vec<(RequestFingerprint, u32)> {
        let weights: HashMap<RequestFingerprint, u32> = self
            .records
            .iter()
            .map(|(fingerprint, record)| (*fingerprint, record.weight(now)))
            .collect();
        let says_enough = |(fingerprint, weight): &(&RequestFingerprint, &u32)| {
            let needed = || match (
                self.proven.last(fingerprint).is_some(),
                self.is_explained(fingerprint, &weights),
            ) {
                (false, false) => QUARANTINE_WEIGHT,
                (true, false) | (false, true) => AMBIGUOUS_WEIGHT,
                (true, true) => u32::MAX,
            };
            **weight >= QUARANTINE_WEIGHT && **weight < u32::MAX && **weight >= needed()
        };
        let stopped = weights.iter().filter(says_enough);
        let stopped: Vec<_> = stopped.map(|(of, weight)| (*of, *weight)).collect();
        for (fingerprint, _) in &stopped {
            if let Some(record) = self.records.get_mut(fingerprint) {
                record.until = Some(now + QUARANTINE_TIME);
                record.told_until = now + TELL_FOR;
            }
        }
        stopped
    }

    /// What follows from a run of one's own. Others are told at once where a second crash in a row makes it likely that a third
    /// follows: what was heard is not told on, or each message would make hundreds.
    fn settle_own(&mut self, now: Millis) -> QuarantineChange {
        let stopped = self.settle(now);
        let is_noted = |record: &RequestRecord| {
            record.is_own && record.touched == now && record.weight(now) >= REPORT_WEIGHT
        };
        let is_urgent = self.records.values().any(is_noted);
        QuarantineChange { quarantined: stopped, is_urgent }
    }

    /// Whether each crash of a request is as well explained by another one.
    fn is_explained(
        &self,
        fingerprint: &RequestFingerprint,
        weights: &HashMap<RequestFingerprint, u32>,
    ) -> bool {
        let own = weights[fingerprint];
        let others = |instance: &ReplicaInstance| {
            self.records.iter().any(|(other, record)| {
                other != fingerprint
                    && record.runs.iter().any(|run| run.instance == *instance)
                    && weights[other] >= own
            })
        };
        self.records[fingerprint].runs.iter().all(|run| others(&run.instance))
    }
}

/// Requests told in one message at most; those that say most come first.
const MOST_TOLD: usize = 32;
