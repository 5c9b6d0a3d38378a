//! State machine of an entry: queueing, dispatch and recovery of requests.
//!
//! [`DispatchState`] does no I/O, like the agent's gate: submissions, messages and ticks go in,
//! [`DispatchAction`]s come out. The time is passed in as [`Millis`], and random choices come from
//! a seeded generator, so tests can replay any sequence of events. Its modules:
//!
//! | module | contents |
//! |---|---|
//! | [`submission`] | requests, their outcomes, and the events that callers receive |
//! | [`replica`] | state of each replica, as its agent reports it |
//! | `scheduling` | which request is dispatched next, and over which replicas |
//! | `messages` | handling of messages from agents |
//! | `loss` | handling of lost agents |
//! | `recovery` | replacement of lost stages of running requests |
//! | [`history`] | outcomes of finished requests |

mod action;
mod config;
mod counts;
pub mod history;
mod loss;
mod messages;
mod recovery;
pub mod replica;
mod request;
mod scheduling;
pub mod submission;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{
    Millis,
    id::{IdIssuer, RequestId},
    path::PathCursor,
    queue::{AdmissionQueue, ServiceRate},
    retry::RetryBudget,
};
use switchfold_proto::link::{self, message::Body};

pub use action::{DispatchAction, Observation, ObservationKind};
pub use config::{DispatchConfig, ModelConfig};
pub use counts::DispatchCounts;
use history::OutcomeHistory;
use replica::ReplicaView;
use request::{RequestPhase, RequestRecord};
use submission::{CallerEvent, NotRunReason, Outcome, Submission, UnknownReason};

/// Waiting requests for one model or service, and the rate at which they are dispatched.
#[derive(Debug, Default)]
struct TargetQueue {
    queue: AdmissionQueue,
    rate: ServiceRate,
}

/// State of the requests and replicas of one entry.
///
/// Methods that may have effects return the [`DispatchAction`]s to carry out, in order.
#[derive(Debug)]
pub struct DispatchState {
    config: DispatchConfig,
    issuer: IdIssuer,
    replicas: BTreeMap<String, ReplicaView>,
    targets: BTreeMap<String, TargetQueue>,
    requests: HashMap<RequestId, RequestRecord>,
    history: OutcomeHistory,
    budget: RetryBudget,
    random: ChaCha8Rng,
    cursor: PathCursor,
    /// Whether replicas joined, left or changed since the flow weights were computed.
    weights_stale: bool,
    last_tick: Option<Millis>,
    counts: DispatchCounts,
}

/// Number of requests of one organisation in one queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueDepth {
    /// Name of the model or service.
    pub target: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Number of waiting requests.
    pub waiting: usize,
}

impl DispatchState {
    /// Creates the state of an entry without requests or replicas.
    pub fn new(config: DispatchConfig) -> Self {
        Self {
            issuer: IdIssuer::new(config.incarnation),
            history: OutcomeHistory::new(config.max_outcomes),
            budget: RetryBudget::new(config.retry),
            random: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            replicas: BTreeMap::new(),
            targets: BTreeMap::new(),
            requests: HashMap::new(),
            cursor: PathCursor::default(),
            weights_stale: true,
            last_tick: None,
            counts: DispatchCounts::default(),
        }
    }

    /// Issues an identifier that this entry has not used before.
    pub fn issue_id(&mut self) -> RequestId {
        self.issuer.issue()
    }

    /// Returns the counters since the start of the entry.
    pub fn counts(&self) -> &DispatchCounts {
        &self.counts
    }

    /// Returns the number of requests that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the known replicas by process name, including those whose link is down.
    pub fn replicas(&self) -> &BTreeMap<String, ReplicaView> {
        &self.replicas
    }

    /// Returns the outcome of a request of this entry, or `None` if it is unknown or was evicted
    /// from the history.
    pub fn outcome(&self, id: RequestId) -> Option<Outcome> {
        if self.requests.contains_key(&id) {
            return Some(Outcome::Running);
        }
        self.history.get(id)
    }

    /// Records that a request was refused before it was submitted.
    pub fn record_not_run(&mut self, id: RequestId, reason: NotRunReason) {
        if !self.requests.contains_key(&id) {
            self.history.insert(id, Outcome::NotRun(reason));
        }
    }

    /// Returns the number of waiting requests by model or service and organisation.
    pub fn queue_depths(&self) -> Vec<QueueDepth> {
        let mut depths = Vec::new();
        for (target, target_queue) in &self.targets {
            for (organisation, waiting) in target_queue.queue.by_organisation() {
                let organisation = organisation.to_string();
                depths.push(QueueDepth { target: target.clone(), organisation, waiting });
            }
        }
        depths
    }

    /// Queues a request and dispatches it if a path is free. A request whose deadline is before the
    /// end of the estimated wait is refused at once.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> Vec<DispatchAction> {
        self.counts.submitted += 1;
        let id = submission.id;
        let target_queue = self.targets.entry(submission.target.clone()).or_default();
        target_queue.rate.advance(now);
        let ahead = target_queue.queue.ahead_of(submission.priority);
        let wait = if ahead == 0 { None } else { target_queue.rate.estimated_wait(ahead) };
        if let Some(wait) = wait
            && now + wait > submission.deadline
        {
            let retry_after = now + wait - submission.deadline;
            return self.reject_submission(
                &submission,
                NotRunReason::DeadlineUnreachable,
                retry_after,
            );
        }
        target_queue.queue.push(submission.queue_entry(now));
        self.requests.insert(id, RequestRecord::new(submission, now));
        self.schedule(now)
    }

    /// Cancels a request whose caller has disconnected. Its outcome is unknown if it was sent out.
    pub fn cancel(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        match request.phase {
            RequestPhase::Queued => self.finish_not_run(now, id, NotRunReason::Cancelled, 0),
            RequestPhase::Running(_) | RequestPhase::Voiding(_) => {
                self.finish(now, id, Outcome::Unknown(UnknownReason::Cancelled), true)
            }
        }
    }

    /// Handles all timeouts: deadlines, silent agents and stalled requests. Should be called about
    /// every 50 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<DispatchAction> {
        let last_tick = self.last_tick.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(last_tick);
        match elapsed >= self.config.pause_threshold {
            true => self.discount_own_pause(now, elapsed),
            false => self.discount_silent_stages(now, elapsed),
        }
        let mut actions = self.expire_queued(now);
        actions.extend(self.expire_agents(now));
        self.update_ejections(now);
        actions.extend(self.tick_requests(now));
        actions.extend(self.schedule(now));
        actions.extend(self.demand_updates());
        actions
    }

    /// Extends the timeouts of agents and requests if this process was paused: messages that
    /// arrived during the pause have not been handled yet, so agents only appear to be silent.
    fn discount_own_pause(&mut self, now: Millis, paused: Millis) {
        for view in self.replicas.values_mut() {
            view.last_message_at = (view.last_message_at + paused).min(now);
        }
        for request in self.requests.values_mut() {
            request.last_progress = (request.last_progress + paused).min(now);
        }
    }

    /// Extends the stall timeouts of requests by `elapsed` if an agent of their stages is silent: its
    /// process may be paused. It counts as lost after its own timeout, and its stage is replaced.
    fn discount_silent_stages(&mut self, now: Millis, elapsed: Millis) {
        let threshold = self.config.silence_threshold;
        let views = self.replicas.iter();
        let silent = views
            .filter(|(_, view)| view.connected && view.last_message_at + threshold < now)
            .map(|(process, _)| process);
        let silent: BTreeSet<&String> = silent.collect();
        if silent.is_empty() {
            return;
        }
        for request in self.requests.values_mut() {
            let is_call = request.submission.is_call();
            let run = request.run().filter(|_| !is_call);
            if run.is_some_and(|run| run.processes.iter().any(|process| silent.contains(process))) {
                request.silent_time += elapsed;
            }
        }
    }

    /// Ends the queued requests whose deadline has passed.
    fn expire_queued(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut expired = Vec::new();
        for target_queue in self.targets.values_mut() {
            target_queue.rate.advance(now);
            let wait = target_queue.rate.estimated_wait(target_queue.queue.len()).unwrap_or(0);
            expired
                .extend(target_queue.queue.expire(now).into_iter().map(|entry| (entry.id, wait)));
        }
        let ended = expired.into_iter();
        ended
            .flat_map(|(id, wait)| self.finish_not_run(now, id, NotRunReason::DeadlinePassed, wait))
            .collect()
    }

    /// Sends each agent the number of requests that wait for its model or service, if it changed.
    fn demand_updates(&mut self) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for (process, replica) in &mut self.replicas {
            let target_queue = self.targets.get(&replica.target);
            let waiting = target_queue.map_or(0, |target_queue| target_queue.queue.len()) as u32;
            if replica.connected && replica.last_demand != waiting {
                replica.last_demand = waiting;
                actions.push(DispatchAction::send(process, Body::Demand(link::Demand { waiting })));
            }
        }
        actions
    }

    /// Ends a request as not run before it is queued.
    fn reject_submission(
        &mut self,
        submission: &Submission,
        reason: NotRunReason,
        retry_after: Millis,
    ) -> Vec<DispatchAction> {
        let id = submission.id;
        let outcome = Outcome::NotRun(reason);
        self.counts.record_outcome(&outcome);
        self.history.insert(id, outcome);
        let observation = Observation::ended(submission, outcome, 0);
        let event = CallerEvent::NotRun { reason, retry_after };
        vec![DispatchAction::notify(id, event), DispatchAction::Observe(observation)]
    }

    /// Ends a request as not run. `retry_after` is the time to wait before it is sent again.
    fn finish_not_run(
        &mut self,
        now: Millis,
        id: RequestId,
        reason: NotRunReason,
        retry_after: Millis,
    ) -> Vec<DispatchAction> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.retry_after = retry_after;
        }
        self.finish(now, id, Outcome::NotRun(reason), false)
    }

    /// Ends a request: notifies the caller, releases the stages and records the outcome.
    fn finish(
        &mut self,
        now: Millis,
        id: RequestId,
        outcome: Outcome,
        cancelled: bool,
    ) -> Vec<DispatchAction> {
        let Some(request) = self.requests.remove(&id) else {
            return Vec::new();
        };
        if let Some(target_queue) = self.targets.get_mut(&request.submission.target) {
            target_queue.queue.remove(id);
        }
        let mut actions = self.release_stages(id, &request, cancelled);
        self.counts.record_outcome(&outcome);
        self.counts.record_assembly(request.assembly.counts());
        self.history.insert(id, outcome);
        if outcome == Outcome::Done {
            self.budget.record_success();
        }
        let event = match outcome {
            Outcome::NotRun(reason) => {
                Some(CallerEvent::NotRun { reason, retry_after: request.retry_after })
            }
            Outcome::Unknown(reason) => Some(CallerEvent::Unknown { reason }),
            Outcome::Done => {
                Some(CallerEvent::Done { count: request.assembly.delivered().len() as u32 })
            }
            Outcome::Running => None,
        };
        actions.extend(event.map(|event| DispatchAction::notify(id, event)));
        let total = now.saturating_sub(request.submitted);
        let observation = Observation::ended(&request.submission, outcome, total);
        actions.push(DispatchAction::Observe(observation));
        actions
    }

    /// Returns the credits of a request and releases it at its stages.
    fn release_stages(
        &mut self,
        id: RequestId,
        request: &RequestRecord,
        cancelled: bool,
    ) -> Vec<DispatchAction> {
        let RequestPhase::Running(run) = &request.phase else {
            return Vec::new();
        };
        let is_call = request.submission.is_call();
        let mut actions = Vec::new();
        for (stage, process) in run.processes.iter().enumerate() {
            if run.missing.contains(&stage) {
                continue;
            }
            if let Some(replica) = self.replicas.get_mut(process) {
                replica.return_credit();
                if replica.connected && !is_call {
                    let attempt = request.attempt;
                    let release = link::Release { request: Some(id.into()), cancelled, attempt };
                    actions.push(DispatchAction::send(process, Body::Release(release)));
                }
            }
        }
        actions
    }
}
