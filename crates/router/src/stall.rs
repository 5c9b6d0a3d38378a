//! First replicas that begin no answers although they seem well.
//!
//! A replica may take requests, answer probes and say that it is well, and begin no answer. Seen from one request that
//! looks like a queue. Seen from all requests that a relay has there it does not: in a queue, answers go on beginning.
//! So a relay notes for each first replica when an answer last began there, or was refused, while requests wait. One
//! that is silent for longer than answers usually take, while others are not, is *mute*: new requests begin elsewhere,
//! those that wait there go elsewhere while another try can still be in time, and other relays are told.
//!
//! The load that this answers: replicas that hang for seconds under steady traffic. Each relay sent them one request
//! after the other and waited 700 ms for each, with 500 ms for the first event.
//!
//! A mute replica comes back by one request of the relay that found it, once its time out is over; others keep away
//! for [`TRIAL_GRACE`] longer, so that they hear how it ended. The time out doubles each time, as other suspicions do.
//!
//! Worst case: answers take longer than usual everywhere at once, as in an overload. Then most first replicas that
//! requests wait at are silent together, and silence proves nothing of any.

use std::collections::{HashMap, VecDeque};

use crate::{
    Millis,
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
    suspect::SuspectList,
};

/// Times of beginnings that are kept: some seconds of a relay's requests.
const KEPT_TIMES: usize = 128;

/// Part of them, in hundredths, that is at most as long as what counts as usual.
const USUAL_HUNDREDTHS: usize = 95;

/// Least part of the objective, in hundredths, that a silence lasts: 300 ms of 500 ms; a try elsewhere usually takes 60
/// to 115 ms. With 150 ms, first replicas that only took over a lost one's load were found mute, and 47 requests left
/// them in a second for others that were as loaded.
const LEAST_HUNDREDTHS: Millis = 60;

/// Objective of a request whose route names none, in milliseconds: that of streams on the users' deployments.
const USUAL_OBJECTIVE: Millis = 500;

fn known_objective(objective: Millis) -> Millis {
    match objective {
        0 => USUAL_OBJECTIVE,
        known => known,
    }
}

/// Silence, in usual times.
const SILENT_TIMES: Millis = 2;

/// Of the first replicas that requests wait at, one in so many may be silent for that to prove anything, and one in
/// any case.
const SILENT_ONE_IN: usize = 3;

/// Time that other relays keep away after the time out, in milliseconds: until the one request that tries has its
/// answer, or has left, and that was told.
pub const TRIAL_GRACE: Millis = 600;

/// What a relay sees of one first replica.
#[derive(Clone, Copy, Debug, Default)]
struct FirstState {
    /// Requests that wait for the beginning of their answer.
    waiting: u32,
    /// Since when none began while some waited.
    since: Millis,
}

/// Beginnings of answers, by first replica.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    firsts: HashMap<ReplicaInstance, FirstState>,
    times: VecDeque<Millis>,
    mutes: SuspectList,
    /// What other relays found, by relay, with the time until which each counts.
    heard: HashMap<String, (UpdateOrigin, Vec<(ReplicaInstance, Millis)>)>,
}

impl StallDetector {
    /// Notes that a request was sent.
    pub fn record_sent(&mut self, instance: &ReplicaInstance, now: Millis) {
        let first = self.firsts.entry(instance.clone()).or_default();
        if first.waiting == 0 {
            first.since = now;
        }
        first.waiting += 1;
    }

    /// Notes that a replica answered a request: after `took`, where its answer began, and nothing where it was
    /// refused. Tells whether that ends what was thought of it.
    pub fn record_response(
        &mut self,
        instance: &ReplicaInstance,
        took: Option<Millis>,
        now: Millis,
    ) -> bool {
        if let Some(first) = self.firsts.get_mut(instance) {
            first.since = now;
        }
        self.record_abandoned(instance);
        let Some(took) = took else { return false };
        if self.times.len() >= KEPT_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(took);
        let returns = self.mutes.is_local(instance, now) || self.is_trial_due(instance, now);
        if returns {
            self.mutes.clear(instance);
        }
        returns
    }

    /// Notes that a request is waited for no more.
    pub fn record_abandoned(&mut self, instance: &ReplicaInstance) {
        let Some(first) = self.firsts.get_mut(instance) else { return };
        first.waiting = first.waiting.saturating_sub(1);
        if first.waiting == 0 {
            self.firsts.remove(instance);
        }
    }

    /// Time in which all but a few answers begin, in milliseconds; nothing where too few were seen.
    pub fn typical_delay(&self) -> Option<Millis> {
        const LEAST_SEEN: usize = 8;
        if self.times.len() < LEAST_SEEN {
            return None;
        }
        let mut times: Vec<Millis> = self.times.iter().copied().collect();
        let rank = (times.len() * USUAL_HUNDREDTHS / 100).min(times.len() - 1);
        Some(*times.select_nth_unstable(rank).1)
    }

    /// Silence from which a first replica may be mute, for requests with this objective.
    pub fn stall_threshold(&self, objective: Millis) -> Millis {
        let objective = known_objective(objective);
        let usual = self.typical_delay().unwrap_or(objective / 2);
        (objective * LEAST_HUNDREDTHS / 100).max(usual * SILENT_TIMES)
    }

    /// Decides whether a first replica is mute, by a silence of `silent_after`; gives the time for which it is kept
    /// away from, where that is news.
    pub fn detect_stall(
        &mut self,
        instance: &ReplicaInstance,
        silent_after: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let is_silent = |first: &FirstState| now.saturating_sub(first.since) >= silent_after;
        let is_known = self.mutes.is_suspect(instance, now) || self.is_heard(instance, now);
        if is_known || !self.firsts.get(instance).is_some_and(is_silent) {
            return None;
        }
        let silent = self.firsts.values().filter(|first| is_silent(first)).count();
        if silent > (self.firsts.len() / SILENT_ONE_IN).max(1) {
            return None;
        }
        self.mutes.record_failure(instance, now).map(|until| until - now)
    }

    /// Whether new requests are to begin elsewhere.
    pub fn is_stalled(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        if self.mutes.is_suspect(instance, now) {
            return true;
        }
        // One request at a time tries whether it is back; what others repeat of this relay's own word does not put it off.
        match self.is_trial_due(instance, now) {
            true => self.firsts.contains_key(instance),
            false => self.is_heard(instance, now),
        }
    }

    /// Whether a replica that this relay found mute is to be tried again.
    fn is_trial_due(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.mutes.ended_recently(instance, TRIAL_GRACE, now)
    }

    fn is_heard(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        let mut heard = self.heard.values().flat_map(|(_, mutes)| mutes);
        heard.any(|(mute, until)| mute == instance && now < *until)
    }

    /// Takes over all that another relay found, each with the milliseconds for which it counts; what it no longer
    /// tells has ended.
    pub fn merge_stalls(
        &mut self,
        relay: &str,
        origin: UpdateOrigin,
        mutes: impl Iterator<Item = (ReplicaInstance, Millis)>,
        now: Millis,
    ) {
        let mutes: Vec<(ReplicaInstance, Millis)> =
            mutes.map(|(instance, lasts)| (instance, now + lasts)).collect();
        match mutes.is_empty() {
            true => drop(self.heard.remove(relay)),
            false => drop(self.heard.insert(relay.to_owned(), (origin, mutes))),
        }
    }

    /// Replicas that this relay found mute itself, and those that reach others by nobody else, with the milliseconds for which
    /// they are to keep away.
    pub fn shared_with(
        &self,
        reach: UpdateAudience,
        now: Millis,
    ) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        let own = self.mutes.local(now).map(|(instance, lasts)| (instance, lasts + TRIAL_GRACE));
        let heard = self.heard.values().filter(move |(origin, _)| reach.takes(*origin));
        let heard = heard.flat_map(|(_, mutes)| mutes);
        let lasts = heard.map(move |(instance, until)| (instance, until.saturating_sub(now)));
        own.chain(lasts.filter(|(_, lasts)| *lasts > 0))
    }

    /// Forgets a life that ended.
    pub fn forget(&mut self, instance: &ReplicaInstance) {
        self.mutes.clear(instance);
        self.firsts.remove(instance);
    }
}

/// Part of the objective, in hundredths, after which a request goes to another replica although the first one seems
/// well: its answer may be lost. It is late by then; callers stay for four times the objective. Leaving at the last
/// moment at which another try is usually in time was worth nothing beside what is mute.
const LATE_HUNDREDTHS: Millis = 140;

/// Time after which a request goes to another replica although the first one seems well.
pub fn reroute_after(objective: Millis) -> Millis {
    known_objective(objective) * LATE_HUNDREDTHS / 100
}
