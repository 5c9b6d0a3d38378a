//! Actor that runs the dispatch state machine.
//!
//! It owns the links to agents and the channels to callers, passes incoming messages to
//! [`DispatchState`], and executes the actions that it returns. All decisions on requests are made
//! by the state machine.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

use switchfold_core::{hash::hash_bytes, id::RequestId, subset::balanced_subset};
use switchfold_kernel::{clock::now_millis, registry::ServiceName, shutdown::WorkGuard};
use switchfold_link::LinkSender;
use switchfold_proto::link::{self, Frame, message::Body};
use switchfold_store::{VmEntry, VmRole, VmState};
use tokio::sync::mpsc;
use xtra::{Actor, Context, Handler, WeakAddress};

use crate::{
    dispatch::{
        DispatchAction, DispatchConfig, DispatchCounts, DispatchState, QueueDepth,
        replica::ReplicaView,
        submission::{CallerEvent, NotRunReason, Outcome, Submission},
    },
    links::{AgentLink, LinkId, LinkIdentity},
    metrics::EntryMetrics,
};

/// Name of the service in the entry's registry.
pub const DISPATCH: ServiceName = ServiceName("dispatch");

/// Channel for the events of one request to its caller.
pub type CallerSink = mpsc::UnboundedSender<CallerEvent>;

/// Holds the dispatch state machine, the links to agents and the channels to callers.
#[derive(Actor)]
pub struct DispatchService {
    state: DispatchState,
    identity: LinkIdentity,
    /// Largest number of agents to open links to; 0 means all.
    agent_links: usize,
    /// Open connections, by the agent's process name.
    links: HashMap<String, OpenLink>,
    links_started: u64,
    /// Tasks that hold the links open, by the agent's process name.
    link_tasks: HashMap<String, AgentLink>,
    callers: HashMap<RequestId, Caller>,
    vms: Vec<VmEntry>,
    draining: BTreeSet<String>,
    plan: Vec<PlannedAssignment>,
    metrics: Arc<EntryMetrics>,
    own_handle: Option<WeakAddress<DispatchService>>,
}

/// The current connection to an agent.
struct OpenLink {
    id: LinkId,
    address: String,
    sender: LinkSender,
}

/// Caller of a request that has not ended.
struct Caller {
    sink: CallerSink,
    _work_guard: WorkGuard,
}

/// Assignment of one VM by the placement plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedAssignment {
    /// Name of the VM.
    pub vm: String,
    /// Layers that its engine shall load.
    pub assignment: link::Assignment,
}

/// Gives the service its own address, which it passes to the tasks of its links.
pub(crate) struct SetAddress(pub(crate) WeakAddress<DispatchService>);

/// Issues the id of a new request.
pub struct IssueId;

/// Submits a request of a caller.
pub struct Submit {
    /// Target, deadline and contents of the request.
    pub submission: Submission,
    /// Receives the events of the request.
    pub sink: CallerSink,
    /// Held until the request has ended, so that a planned shutdown waits for it.
    pub work_guard: WorkGuard,
}

/// Records that a request was rejected before it was submitted, so that its outcome can be queried.
pub struct RecordNotRun {
    /// Id of the request.
    pub request: RequestId,
    /// Reason for which it did not run.
    pub reason: NotRunReason,
}

/// Cancels a request whose caller has disconnected.
pub struct Cancel(pub RequestId);

/// Reports that a link to an agent has opened.
pub(crate) struct LinkOpened {
    pub(crate) id: LinkId,
    pub(crate) process: String,
    pub(crate) address: String,
    pub(crate) sender: LinkSender,
}

/// Reports that a link to an agent has closed.
pub(crate) struct LinkClosed {
    pub(crate) id: LinkId,
    pub(crate) process: String,
}

/// Delivers a frame from an agent.
pub(crate) struct AgentFrame {
    pub(crate) id: LinkId,
    pub(crate) process: String,
    pub(crate) frame: Frame,
}

/// Sets the list of VMs, the VMs that operators drain, and the plan.
pub struct SetMembership {
    /// All VMs.
    pub vms: Vec<VmEntry>,
    /// Names or addresses of VMs that operators drain.
    pub draining: BTreeSet<String>,
    /// Assignments of the placement plans.
    pub plan: Vec<PlannedAssignment>,
}

/// Triggers the periodic check of deadlines and stalls.
pub(crate) struct DispatchTick;

/// Returns the outcome of a request, or `None` if this entry does not know the request.
pub struct ReadOutcome(pub RequestId);

/// Returns the number of waiting requests by target and organisation.
pub struct ReadQueueDepths;

/// Returns the counters of the dispatch.
pub struct ReadCounts;

/// Returns all replicas.
pub struct ReadReplicas;

/// One replica, as returned by [`ReadReplicas`].
#[derive(Clone, Debug)]
pub struct NamedReplica {
    /// Name of its process.
    pub name: String,
    /// What this entry knows of the replica.
    pub view: ReplicaView,
}

impl DispatchService {
    pub(crate) fn new(
        config: DispatchConfig,
        identity: LinkIdentity,
        agent_links: usize,
        metrics: Arc<EntryMetrics>,
    ) -> Self {
        Self {
            state: DispatchState::new(config),
            identity,
            agent_links,
            links: HashMap::new(),
            links_started: 0,
            link_tasks: HashMap::new(),
            callers: HashMap::new(),
            vms: Vec::new(),
            draining: BTreeSet::new(),
            plan: Vec::new(),
            metrics,
            own_handle: None,
        }
    }

    /// Executes actions of the state machine, and those that follow from failed sends.
    fn execute(&mut self, actions: Vec<DispatchAction>) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            match action {
                DispatchAction::Send { process, body } => {
                    if !self.send(&process, body) {
                        // Otherwise the state machine would wait forever for a reply to a message
                        // that was not sent.
                        pending.extend(self.state.on_link_lost(now_millis(), &process));
                    }
                }
                DispatchAction::Notify { request, event } => self.notify_caller(request, event),
                DispatchAction::ResetLink { process } => self.reset_link(&process),
                DispatchAction::Observe(observation) => self.metrics.observe(&observation),
            }
        }
    }

    fn send(&mut self, process: &str, body: Body) -> bool {
        self.links.get(process).is_some_and(|link| link.sender.send(body))
    }

    /// Returns whether `id` is the current connection to an agent.
    fn is_current(&self, process: &str, id: LinkId) -> bool {
        self.links.get(process).is_some_and(|link| link.id == id)
    }

    /// Sends an event to the caller of a request. A failed send is ignored, since a caller that
    /// disconnects cancels its request.
    fn notify_caller(&mut self, request: RequestId, event: CallerEvent) {
        let is_last = !matches!(event, CallerEvent::Tokens(_) | CallerEvent::Response { .. });
        if let Some(caller) = self.callers.get(&request) {
            let _caller_may_have_disconnected = caller.sink.send(event);
        }
        if is_last {
            self.callers.remove(&request);
        }
    }

    /// Closes the link to an agent and opens a new one.
    fn reset_link(&mut self, process: &str) {
        self.links.remove(process);
        if let Some(agent_link) = self.link_tasks.remove(process) {
            log::warn!("agent={process} state=lost");
            let address = agent_link.address.clone();
            drop(agent_link);
            self.open_link(process.to_owned(), address);
        }
    }

    fn open_link(&mut self, process: String, address: String) {
        let Some(own_handle) = self.own_handle.clone() else {
            return;
        };
        self.links_started += 1;
        let identity = self.identity.clone();
        let agent_link =
            AgentLink::start(identity, self.links_started, process.clone(), address, own_handle);
        self.link_tasks.insert(process, agent_link);
    }

    /// Opens links to the selected agents that have none, and closes the links to all others.
    fn reconcile_links(&mut self) {
        let agents = self.selected_agents();
        let removed: Vec<String> =
            self.link_tasks.keys().filter(|name| !agents.contains_key(*name)).cloned().collect();
        for process in removed {
            self.link_tasks.remove(&process);
            self.links.remove(&process);
            let actions = self.state.on_link_lost(now_millis(), &process);
            self.execute(actions);
            self.link_tasks.remove(&process);
            self.state.remove_replica(&process);
        }
        for (process, address) in agents {
            if self.link_tasks.get(&process).is_none_or(|agent_link| agent_link.address != address)
            {
                self.link_tasks.remove(&process);
                self.open_link(process, address);
            }
        }
    }

    /// Returns the name and address of each agent that this entry holds a link to. An open link is
    /// kept even if its VM is no longer on the list: the list lags behind, and an open link shows
    /// that the agent is alive.
    fn selected_agents(&self) -> HashMap<String, String> {
        let endpoints = self.vms.iter().filter(|vm| vm.role == VmRole::Endpoint);
        let mut agents: HashMap<String, String> =
            endpoints.map(|vm| (vm.name.clone(), vm.address.clone())).collect();
        if self.agent_links > 0 && agents.len() > self.agent_links {
            let names: Vec<&str> = agents.keys().map(String::as_str).collect();
            let chosen = balanced_subset(self.index_among_entries(), &names, self.agent_links);
            let chosen: BTreeSet<String> = chosen.into_iter().map(str::to_owned).collect();
            agents.retain(|name, _| chosen.contains(name));
        }
        for (process, agent_link) in &self.link_tasks {
            if self.links.contains_key(process) {
                agents.entry(process.clone()).or_insert_with(|| agent_link.address.clone());
            }
        }
        agents
    }

    /// Returns the index of this entry among the entries sorted by name, by which agents are
    /// distributed evenly over the entries.
    fn index_among_entries(&self) -> usize {
        let entries = self.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        entries.filter(|vm| vm.name < self.identity.process).count()
    }

    fn is_drained(&self, process: &str, address: &str) -> bool {
        let is_leaving = |vm: &VmEntry| vm.name == process && vm.state == VmState::Leaving;
        self.draining.contains(process)
            || self.draining.contains(address)
            || self.vms.iter().any(is_leaving)
    }

    /// Sends an agent the drain state and the assignment of its VM.
    fn send_vm_state(&mut self, process: &str) {
        let Some(agent_link) = self.link_tasks.get(process) else {
            return;
        };
        let draining = self.is_drained(process, &agent_link.address);
        // A failed send needs no handling: the task that reads the link is about to report it
        // closed.
        self.send(process, Body::Drain(link::Drain { draining }));
        let planned = self.plan.iter().find(|planned| planned.vm == process);
        if let Some(assignment) = planned.map(|planned| planned.assignment.clone()) {
            self.send(process, Body::Assignment(assignment));
        }
    }
}

impl Handler<SetAddress> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: SetAddress, _: &mut Context<Self>) {
        self.own_handle = Some(message.0);
    }
}

impl Handler<IssueId> for DispatchService {
    type Return = RequestId;

    async fn handle(&mut self, _: IssueId, _: &mut Context<Self>) -> RequestId {
        self.state.issue_id()
    }
}

impl Handler<Submit> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: Submit, _: &mut Context<Self>) {
        let caller = Caller { sink: message.sink, _work_guard: message.work_guard };
        self.callers.insert(message.submission.id, caller);
        let actions = self.state.submit(now_millis(), message.submission);
        self.execute(actions);
    }
}

impl Handler<RecordNotRun> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: RecordNotRun, _: &mut Context<Self>) {
        self.state.record_not_run(message.request, message.reason);
    }
}

impl Handler<Cancel> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: Cancel, _: &mut Context<Self>) {
        let actions = self.state.cancel(now_millis(), message.0);
        self.execute(actions);
    }
}

impl Handler<LinkOpened> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: LinkOpened, _: &mut Context<Self>) {
        log::info!("agent={} address={} state=linked", message.process, message.address);
        let link = OpenLink { id: message.id, address: message.address, sender: message.sender };
        self.links.insert(message.process.clone(), link);
        self.send_vm_state(&message.process);
    }
}

impl Handler<LinkClosed> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: LinkClosed, _: &mut Context<Self>) {
        if !self.is_current(&message.process, message.id) {
            return;
        }
        self.links.remove(&message.process);
        let actions = self.state.on_link_lost(now_millis(), &message.process);
        self.execute(actions);
        self.reconcile_links();
    }
}

impl Handler<AgentFrame> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: AgentFrame, _: &mut Context<Self>) {
        // Frames of an earlier connection are dropped: they would make a lost agent look alive.
        let current = self.links.get(&message.process).filter(|link| link.id == message.id);
        let Some(address) = current.map(|link| link.address.clone()) else {
            return;
        };
        let now = now_millis();
        for body in message.frame.messages.into_iter().filter_map(|message| message.body) {
            let actions = self.state.on_message(now, &message.process, &address, body);
            self.execute(actions);
        }
    }
}

impl Handler<SetMembership> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: SetMembership, _: &mut Context<Self>) {
        self.vms = message.vms;
        self.draining = message.draining;
        self.plan = message.plan;
        self.reconcile_links();
        let linked: Vec<String> = self.links.keys().cloned().collect();
        for process in linked {
            self.send_vm_state(&process);
        }
    }
}

impl Handler<DispatchTick> for DispatchService {
    type Return = ();

    async fn handle(&mut self, _: DispatchTick, _: &mut Context<Self>) {
        let actions = self.state.tick(now_millis());
        self.execute(actions);
    }
}

impl Handler<ReadOutcome> for DispatchService {
    type Return = Option<Outcome>;

    async fn handle(&mut self, message: ReadOutcome, _: &mut Context<Self>) -> Option<Outcome> {
        self.state.outcome(message.0)
    }
}

impl Handler<ReadQueueDepths> for DispatchService {
    type Return = Vec<QueueDepth>;

    async fn handle(&mut self, _: ReadQueueDepths, _: &mut Context<Self>) -> Vec<QueueDepth> {
        self.state.queue_depths()
    }
}

impl Handler<ReadCounts> for DispatchService {
    type Return = DispatchCounts;

    async fn handle(&mut self, _: ReadCounts, _: &mut Context<Self>) -> DispatchCounts {
        *self.state.counts()
    }
}

impl Handler<ReadReplicas> for DispatchService {
    type Return = Vec<NamedReplica>;

    async fn handle(&mut self, _: ReadReplicas, _: &mut Context<Self>) -> Vec<NamedReplica> {
        let replicas = self.state.replicas().iter();
        replicas
            .map(|(name, view)| NamedReplica { name: name.clone(), view: view.clone() })
            .collect()
    }
}

/// Returns the seed of an entry's random choices, which differs between entries and restarts.
pub(crate) fn dispatch_seed(process: &str, incarnation: u64) -> u64 {
    hash_bytes(incarnation, process.as_bytes())
}
