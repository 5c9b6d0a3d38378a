//! Detection of stalled first replicas: they seem healthy but start no responses.
//!
//! The first replica of a path may accept requests, answer probes and report itself healthy, and
//! yet start no response. From the view of one request that looks like a queue. From the view of
//! all requests that a relay has there it does not: with a queue, responses keep starting. So for
//! each first replica a relay tracks when a response last started there, or a request was rejected,
//! while requests wait. A replica that is silent for longer than responses usually take, while
//! others are not, is *stalled*: new requests start elsewhere, those that wait there are rerouted
//! while another attempt can still be in time, and other relays are notified.
//!
//! This addresses replicas that hang for seconds under steady traffic. Without it, each relay sends
//! them one request after another and waits 700 ms for each, with an objective of 500 ms for the
//! first event.
//!
//! Once the suspicion ends, the relay that detected the stall sends a single trial request. Other
//! relays avoid the replica for [`TRIAL_GRACE`] longer, so that they learn its outcome first. The
//! duration doubles each time, as with other suspicions.
//!
//! Worst case: responses take longer than usual everywhere at once, as in an overload. Then most
//! first replicas with waiting requests are silent together, which says nothing about any one of
//! them, and none is found stalled.

use std::collections::{HashMap, VecDeque};

use crate::{
    Millis,
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
    suspect::SuspectList,
};

/// Number of recent response delays kept: some seconds of a relay's requests.
const MAX_SAMPLES: usize = 128;

/// Percentile of the recent response delays that counts as typical.
const TYPICAL_PERCENTILE: usize = 95;

/// Minimum silence of a stall, as a percentage of the objective: 300 ms of 500 ms. An attempt at
/// another replica usually takes 60 to 115 ms. At 150 ms, first replicas that had only taken over
/// the load of a lost one were found stalled: within a second, 47 requests moved from them to
/// others that were just as loaded.
const MIN_SILENCE_PERCENT: Millis = 60;

/// Objective of a request whose route sets none, in milliseconds: that of streams in the users'
/// deployments.
const DEFAULT_OBJECTIVE: Millis = 500;

fn objective_or_default(objective: Millis) -> Millis {
    match objective {
        0 => DEFAULT_OBJECTIVE,
        known => known,
    }
}

/// Silence of a stall, as a multiple of the typical response delay.
const SILENCE_FACTOR: Millis = 2;

/// At most one in this many of the first replicas with waiting requests may be silent for silence
/// to count as a stall. A single silent one always counts.
const MAX_SILENT_ONE_IN: usize = 3;

/// Time for which other relays avoid a replica after the suspicion ends, in milliseconds. It covers
/// the trial request, until its response starts or it is rerouted, and the notification of the
/// outcome.
pub const TRIAL_GRACE: Millis = 600;

/// Requests of this relay that wait at one first replica.
#[derive(Clone, Copy, Debug, Default)]
struct FirstReplica {
    /// Number of requests that wait for the start of their response.
    waiting: u32,
    /// Start of the current silence: since then requests have waited and no response has started.
    silent_since: Millis,
}

/// Starts of responses by first replica, and the replicas found stalled.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    first_replicas: HashMap<ReplicaInstance, FirstReplica>,
    /// Recent delays from send to the start of the response.
    delays: VecDeque<Millis>,
    stalls: SuspectList,
    /// Stalls that other relays detected, by relay, each with the time until which it counts.
    peer_stalls: HashMap<String, (UpdateOrigin, Vec<(ReplicaInstance, Millis)>)>,
}

impl StallDetector {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, instance: &ReplicaInstance, now: Millis) {
        let first = self.first_replicas.entry(instance.clone()).or_default();
        if first.waiting == 0 {
            first.silent_since = now;
        }
        first.waiting += 1;
    }

    /// Records that a replica answered a request. `delay` is the time in milliseconds until the
    /// response started, or `None` if the request was rejected. Returns whether this ends a stall
    /// that this relay detected.
    pub fn record_response(
        &mut self,
        instance: &ReplicaInstance,
        delay: Option<Millis>,
        now: Millis,
    ) -> bool {
        if let Some(first) = self.first_replicas.get_mut(instance) {
            first.silent_since = now;
        }
        self.record_abandoned(instance);
        let Some(delay) = delay else { return false };
        if self.delays.len() >= MAX_SAMPLES {
            self.delays.pop_front();
        }
        self.delays.push_back(delay);
        let has_recovered = self.stalls.is_local(instance, now) || self.is_trial_due(instance, now);
        if has_recovered {
            self.stalls.clear(instance);
        }
        has_recovered
    }

    /// Records that a request no longer waits at a replica.
    pub fn record_abandoned(&mut self, instance: &ReplicaInstance) {
        let Some(first) = self.first_replicas.get_mut(instance) else { return };
        first.waiting = first.waiting.saturating_sub(1);
        if first.waiting == 0 {
            self.first_replicas.remove(instance);
        }
    }

    /// Returns the time within which all but a few responses start, in milliseconds, or `None` if
    /// there are too few samples.
    pub fn typical_delay(&self) -> Option<Millis> {
        const MIN_SAMPLES: usize = 8;
        if self.delays.len() < MIN_SAMPLES {
            return None;
        }
        let mut delays: Vec<Millis> = self.delays.iter().copied().collect();
        let rank = (delays.len() * TYPICAL_PERCENTILE / 100).min(delays.len() - 1);
        Some(*delays.select_nth_unstable(rank).1)
    }

    /// Returns the silence in milliseconds from which a first replica may be stalled, for requests
    /// with this objective.
    pub fn stall_threshold(&self, objective: Millis) -> Millis {
        let objective = objective_or_default(objective);
        let typical = self.typical_delay().unwrap_or(objective / 2);
        (objective * MIN_SILENCE_PERCENT / 100).max(typical * SILENCE_FACTOR)
    }

    /// Decides whether a first replica is stalled, that is, silent for at least `threshold`
    /// milliseconds while most others are not. Returns the duration of the suspicion in
    /// milliseconds if a new one starts.
    pub fn detect_stall(
        &mut self,
        instance: &ReplicaInstance,
        threshold: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let is_silent = |first: &FirstReplica| now.saturating_sub(first.silent_since) >= threshold;
        let is_known =
            self.stalls.is_suspect(instance, now) || self.is_stalled_at_peer(instance, now);
        if is_known || !self.first_replicas.get(instance).is_some_and(is_silent) {
            return None;
        }
        let silent = self.first_replicas.values().filter(|first| is_silent(first)).count();
        if silent > (self.first_replicas.len() / MAX_SILENT_ONE_IN).max(1) {
            return None;
        }
        self.stalls.record_failure(instance, now).map(|until| until - now)
    }

    /// Returns whether new requests should start at another replica.
    pub fn is_stalled(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        if self.stalls.is_suspect(instance, now) {
            return true;
        }
        // One trial request at a time. Other relays may echo the stall that this relay detected;
        // that does not delay the trial.
        match self.is_trial_due(instance, now) {
            true => self.first_replicas.contains_key(instance),
            false => self.is_stalled_at_peer(instance, now),
        }
    }

    /// Returns whether a replica that this relay found stalled is due for a trial request.
    fn is_trial_due(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        self.stalls.ended_recently(instance, TRIAL_GRACE, now)
    }

    fn is_stalled_at_peer(&self, instance: &ReplicaInstance, now: Millis) -> bool {
        let mut stalls = self.peer_stalls.values().flat_map(|(_, stalls)| stalls);
        stalls.any(|(stalled, until)| stalled == instance && now < *until)
    }

    /// Replaces the stalls that another relay detected, each with the time in milliseconds for
    /// which it counts. Those that the relay no longer sends have ended.
    pub fn merge_peer(
        &mut self,
        relay: &str,
        origin: UpdateOrigin,
        stalls: impl Iterator<Item = (ReplicaInstance, Millis)>,
        now: Millis,
    ) {
        let stalls: Vec<(ReplicaInstance, Millis)> =
            stalls.map(|(instance, remaining)| (instance, now + remaining)).collect();
        match stalls.is_empty() {
            true => drop(self.peer_stalls.remove(relay)),
            false => drop(self.peer_stalls.insert(relay.to_owned(), (origin, stalls))),
        }
    }

    /// Returns the stalls to send to other relays, with the time in milliseconds for which they
    /// should avoid the replica: those that this relay detected, and those of other relays that
    /// they would otherwise not receive.
    pub fn shared_with(
        &self,
        audience: UpdateAudience,
        now: Millis,
    ) -> impl Iterator<Item = (&ReplicaInstance, Millis)> {
        let local =
            self.stalls.local(now).map(|(instance, remaining)| (instance, remaining + TRIAL_GRACE));
        let peers = self.peer_stalls.values().filter(move |(origin, _)| audience.includes(*origin));
        let peers = peers.flat_map(|(_, stalls)| stalls);
        let remaining = peers.map(move |(instance, until)| (instance, until.saturating_sub(now)));
        local.chain(remaining.filter(|(_, remaining)| *remaining > 0))
    }

    /// Removes a replica that has ended.
    pub fn remove(&mut self, instance: &ReplicaInstance) {
        self.stalls.clear(instance);
        self.first_replicas.remove(instance);
    }
}

/// Time after which a request is rerouted although its first replica seems healthy, as a percentage
/// of the objective: the response may be lost. The request is late by then, but callers wait for
/// four times the objective. Rerouting it at the last moment at which another attempt is usually in
/// time gained nothing over the detection of stalls.
const REROUTE_PERCENT: Millis = 140;

/// Returns the time in milliseconds after which a request is rerouted although its first replica
/// seems healthy.
pub fn reroute_after(objective: Millis) -> Millis {
    objective_or_default(objective) * REROUTE_PERCENT / 100
}
