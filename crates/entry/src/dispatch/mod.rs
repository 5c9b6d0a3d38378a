//! The entry's state machine for requests: what waits, what runs where, what is told to whom.
//!
//! Like the agent's gate it is a plain struct without I/O: messages, ticks and submissions in, actions
//! out. Time comes in as [`Millis`], randomness from a seed. The modules split it by what they decide:
//!
//! | module | decides |
//! |---|---|
//! | [`submission`] | what a request is, and what its caller is told |
//! | [`replica`] | what is known of each replica, and whether it may be used |
//! | `pump` | who goes next, over which path |
//! | `progress` | what tokens, answers and refusals mean |
//! | `loss` | what the loss of an agent means for its requests |
//! | `recovery` | how a lost stage is replaced under a running request |
//! | [`history`] | outcomes that can be asked for later |

mod action;
mod config;
mod counts;
pub mod history;
mod loss;
mod progress;
mod pump;
mod recovery;
pub mod replica;
mod request;
pub mod submission;

use std::collections::{BTreeMap, HashMap};

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

/// Requests for one model or service.
#[derive(Debug, Default)]
struct TargetQueue {
    queue: AdmissionQueue,
    rate: ServiceRate,
}

/// All state of an entry that decides about requests.
#[derive(Debug)]
pub struct DispatchState {
    config: DispatchConfig,
    issuer: IdIssuer,
    replicas: BTreeMap<String, ReplicaView>,
    targets: BTreeMap<String, TargetQueue>,
    requests: HashMap<RequestId, RequestRecord>,
    record: OutcomeHistory,
    budget: RetryBudget,
    random: ChaCha8Rng,
    cursor: PathCursor,
    weights_stale: bool,
    last_tick: Option<Millis>,
    counts: DispatchCounts,
}

/// One row of what waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueDepth {
    /// Model or service.
    pub target: String,
    /// Organisation.
    pub organisation: String,
    /// Requests that wait.
    pub waiting: usize,
}

impl DispatchState {
    /// Makes the state of an entry that has just started.
    pub fn new(config: DispatchConfig) -> Self {
        Self {
            issuer: IdIssuer::new(config.incarnation),
            record: OutcomeHistory::new(config.max_outcomes),
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

    /// Issues an identifier.
    pub fn issue_id(&mut self) -> RequestId {
        self.issuer.issue()
    }

    /// What was counted so far.
    pub fn counts(&self) -> &DispatchCounts {
        &self.counts
    }

    /// Requests that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Replicas that are known, by name of their process.
    pub fn replicas(&self) -> &BTreeMap<String, ReplicaView> {
        &self.replicas
    }

    /// What is known of the outcome of a request of this entry.
    pub fn outcome(&self, id: RequestId) -> Option<Outcome> {
        if self.requests.contains_key(&id) {
            return Some(Outcome::Running);
        }
        self.record.get(id)
    }

    /// Remembers that a request was refused before it was submitted.
    pub fn record_not_run(&mut self, id: RequestId, reason: NotRunReason) {
        if !self.requests.contains_key(&id) {
            self.record.put(id, Outcome::NotRun(reason));
        }
    }

    /// What waits, by model or service and organisation.
    pub fn queue_depths(&self) -> Vec<QueueDepth> {
        let mut rows = Vec::new();
        for (target, state) in &self.targets {
            for (organisation, waiting) in state.queue.by_organisation() {
                let organisation = organisation.to_string();
                rows.push(QueueDepth { target: target.clone(), organisation, waiting });
            }
        }
        rows
    }

    /// Takes a request of a caller.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> Vec<DispatchAction> {
        self.counts.submitted += 1;
        let id = submission.id;
        let target = self.targets.entry(submission.target.clone()).or_default();
        target.rate.advance(now);
        let ahead = target.queue.ahead_of(submission.priority);
        let wait = if ahead == 0 { None } else { target.rate.estimated_wait(ahead) };
        if let Some(wait) = wait
            && now + wait > submission.deadline
        {
            let retry_after = now + wait - submission.deadline;
            return self.refuse_new(&submission, NotRunReason::DeadlineUnreachable, retry_after);
        }
        target.queue.push(submission.queue_entry(now));
        self.requests.insert(id, RequestRecord::new(submission, now));
        self.pump(now)
    }

    /// Takes back a request whose caller has gone.
    pub fn cancel(&mut self, now: Millis, id: RequestId) -> Vec<DispatchAction> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        match request.phase {
            RequestPhase::Queued => self.end_not_run(now, id, NotRunReason::Cancelled, 0),
            RequestPhase::Running(_) | RequestPhase::Settling(_) => {
                self.end(now, id, Outcome::Unknown(UnknownReason::Cancelled), true)
            }
        }
    }

    /// Does what time asks for: deadlines, silence, stalls. Call it every 50 milliseconds or so.
    pub fn tick(&mut self, now: Millis) -> Vec<DispatchAction> {
        self.forgive_own_pause(now);
        let mut actions = self.expire(now);
        actions.extend(self.find_silent(now));
        self.judge_health(now);
        actions.extend(self.tick_requests(now));
        actions.extend(self.pump(now));
        actions.extend(self.demands());
        actions
    }

    /// An entry that was paused itself heard nobody: that is not the agents' silence.
    fn forgive_own_pause(&mut self, now: Millis) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let paused = now.saturating_sub(last);
        if paused < self.config.pause_threshold {
            return;
        }
        for view in self.replicas.values_mut() {
            view.last_message_at = (view.last_message_at + paused).min(now);
        }
        for request in self.requests.values_mut() {
            request.last_progress = (request.last_progress + paused).min(now);
        }
    }

    fn expire(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut late = Vec::new();
        for state in self.targets.values_mut() {
            state.rate.advance(now);
            let wait = state.rate.estimated_wait(state.queue.len()).unwrap_or(0);
            late.extend(state.queue.expire(now).into_iter().map(|entry| (entry.id, wait)));
        }
        let ends = late.into_iter();
        ends.flat_map(|(id, wait)| self.end_not_run(now, id, NotRunReason::DeadlinePassed, wait))
            .collect()
    }

    /// Tells agents how much waits for them, where it changed.
    fn demands(&mut self) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for (process, replica) in &mut self.replicas {
            let queue = self.targets.get(&replica.target);
            let waiting = queue.map_or(0, |state| state.queue.len()) as u32;
            if replica.connected && replica.last_demand != waiting {
                replica.last_demand = waiting;
                actions.push(DispatchAction::send(process, Body::Demand(link::Demand { waiting })));
            }
        }
        actions
    }

    fn refuse_new(
        &mut self,
        submission: &Submission,
        reason: NotRunReason,
        retry_after: Millis,
    ) -> Vec<DispatchAction> {
        let id = submission.id;
        let outcome = Outcome::NotRun(reason);
        self.counts.note_outcome(&outcome);
        self.record.put(id, outcome);
        let observed = Observation::ended(submission, outcome, 0);
        let event = CallerEvent::NotRun { reason, retry_after };
        vec![DispatchAction::notify(id, event), DispatchAction::Observe(observed)]
    }

    fn end_not_run(
        &mut self,
        now: Millis,
        id: RequestId,
        reason: NotRunReason,
        retry_after: Millis,
    ) -> Vec<DispatchAction> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.retry_after = retry_after;
        }
        self.end(now, id, Outcome::NotRun(reason), false)
    }

    /// Ends a request: tells the caller, frees the stages, remembers the outcome.
    fn end(
        &mut self,
        now: Millis,
        id: RequestId,
        outcome: Outcome,
        cancelled: bool,
    ) -> Vec<DispatchAction> {
        let Some(request) = self.requests.remove(&id) else {
            return Vec::new();
        };
        if let Some(target) = self.targets.get_mut(&request.submission.target) {
            target.queue.remove(id);
        }
        let mut actions = self.free_stages(id, &request, cancelled);
        self.counts.note_outcome(&outcome);
        self.counts.note_assembly(request.assembly.counts());
        self.record.put(id, outcome);
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
        let observed = Observation::ended(&request.submission, outcome, total);
        actions.push(DispatchAction::Observe(observed));
        actions
    }

    /// Gives back the credits of a request and tells its stages that it is over.
    fn free_stages(
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
