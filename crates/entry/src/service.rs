//! The actor around the dispatch state machine.
//!
//! It keeps the links to agents and the ways back to callers, turns what arrives into calls of
//! [`DispatchState`], and carries out the actions that come back. It decides nothing.

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

/// Events of one request on their way to its caller.
pub type CallerSink = mpsc::UnboundedSender<CallerEvent>;

/// The dispatch of an entry as a service.
#[derive(Actor)]
pub struct DispatchService {
    state: DispatchState,
    identity: LinkIdentity,
    agent_links: usize,
    links: HashMap<String, OpenLink>,
    keepers_started: u64,
    keepers: HashMap<String, AgentLink>,
    callers: HashMap<RequestId, Caller>,
    vms: Vec<VmEntry>,
    draining: BTreeSet<String>,
    plan: Vec<PlannedAssignment>,
    metrics: Arc<EntryMetrics>,
    me: Option<WeakAddress<DispatchService>>,
}

/// The connection to an agent that is in use.
struct OpenLink {
    id: LinkId,
    address: String,
    sender: LinkSender,
}

struct Caller {
    sink: CallerSink,
    _work: WorkGuard,
}

/// What the plan gives to one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedAssignment {
    /// Name of the VM.
    pub vm: String,
    /// The order for its engine.
    pub order: link::Assignment,
}

/// Tells the service its own address.
pub(crate) struct SetAddress(pub(crate) WeakAddress<DispatchService>);

/// Issues an identifier.
pub struct IssueId;

/// A request of a caller.
pub struct Submit {
    /// The request.
    pub submission: Submission,
    /// Where its events go.
    pub sink: CallerSink,
    /// Held until it is over.
    pub work: WorkGuard,
}

/// Notes that a request was refused before it was submitted, so that its outcome can be asked for.
pub struct RecordNotRun {
    /// The request.
    pub request: RequestId,
    /// Why it did not run.
    pub reason: NotRunReason,
}

/// The caller of a request has gone.
pub struct Cancel(pub RequestId);

/// A link to an agent is open.
pub(crate) struct LinkOpened {
    pub(crate) id: LinkId,
    pub(crate) process: String,
    pub(crate) address: String,
    pub(crate) sender: LinkSender,
}

/// A link to an agent ended.
pub(crate) struct LinkClosed {
    pub(crate) id: LinkId,
    pub(crate) process: String,
}

/// A frame of an agent.
pub(crate) struct AgentFrame {
    pub(crate) id: LinkId,
    pub(crate) process: String,
    pub(crate) frame: Frame,
}

/// The list of VMs, the VMs that operators drain, and the plan.
pub struct SetMembership {
    /// All VMs.
    pub vms: Vec<VmEntry>,
    /// Names or addresses of VMs that operators drain.
    pub draining: BTreeSet<String>,
    /// What the plan gives to each VM.
    pub plan: Vec<PlannedAssignment>,
}

/// Time for deadlines and stalls.
pub(crate) struct DispatchTick;

/// Asks where a request stands.
pub struct ReadOutcome(pub RequestId);

/// Asks what waits.
pub struct ReadQueueDepths;

/// Asks for the counters.
pub struct ReadCounts;

/// Asks for the replicas.
pub struct ReadReplicas;

/// One replica in the answer to [`ReadReplicas`].
#[derive(Clone, Debug)]
pub struct NamedReplica {
    /// Name of its process.
    pub name: String,
    /// What is known of it.
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
            keepers_started: 0,
            keepers: HashMap::new(),
            callers: HashMap::new(),
            vms: Vec::new(),
            draining: BTreeSet::new(),
            plan: Vec::new(),
            metrics,
            me: None,
        }
    }

    fn carry_out(&mut self, actions: Vec<DispatchAction>) {
        let mut waiting = VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            match action {
                DispatchAction::Send { process, body } => {
                    if !self.send(&process, body) {
                        // What cannot be sent is lost: the state must know, or it waits for ever.
                        waiting.extend(self.state.on_link_lost(now_millis(), &process));
                    }
                }
                DispatchAction::Notify { request, event } => self.tell(request, event),
                DispatchAction::ResetLink { process } => self.reset(&process),
                DispatchAction::Observe(observation) => self.metrics.observe(&observation),
            }
        }
    }

    fn send(&mut self, process: &str, body: Body) -> bool {
        self.links.get(process).is_some_and(|link| link.sender.send(body))
    }

    fn is_current(&self, process: &str, id: LinkId) -> bool {
        self.links.get(process).is_some_and(|link| link.id == id)
    }

    /// A caller that has gone cancels its request by itself.
    fn tell(&mut self, request: RequestId, event: CallerEvent) {
        let is_last = !matches!(event, CallerEvent::Tokens(_) | CallerEvent::Response { .. });
        if let Some(caller) = self.callers.get(&request) {
            let _gone_callers_cancel = caller.sink.send(event);
        }
        if is_last {
            self.callers.remove(&request);
        }
    }

    fn reset(&mut self, process: &str) {
        self.links.remove(process);
        if let Some(keeper) = self.keepers.remove(process) {
            log::warn!("agent={process} state=lost");
            let address = keeper.address.clone();
            drop(keeper);
            self.keep(process.to_owned(), address);
        }
    }

    fn keep(&mut self, process: String, address: String) {
        let Some(me) = self.me.clone() else {
            return;
        };
        self.keepers_started += 1;
        let identity = self.identity.clone();
        let keeper = AgentLink::start(identity, self.keepers_started, process.clone(), address, me);
        self.keepers.insert(process, keeper);
    }

    fn follow_list(&mut self) {
        let agents = self.chosen_agents();
        let gone: Vec<String> =
            self.keepers.keys().filter(|name| !agents.contains_key(*name)).cloned().collect();
        for process in gone {
            self.keepers.remove(&process);
            self.links.remove(&process);
            let actions = self.state.on_link_lost(now_millis(), &process);
            self.carry_out(actions);
            self.keepers.remove(&process);
            self.state.remove_replica(&process);
        }
        for (process, address) in agents {
            if self.keepers.get(&process).is_none_or(|keeper| keeper.address != address) {
                self.keepers.remove(&process);
                self.keep(process, address);
            }
        }
    }

    /// Agents that this entry links with. A VM that is off the list keeps its link while it is open:
    /// the list lags, and the link itself is the better sign.
    fn chosen_agents(&self) -> HashMap<String, String> {
        let endpoints = self.vms.iter().filter(|vm| vm.role == VmRole::Endpoint);
        let mut agents: HashMap<String, String> =
            endpoints.map(|vm| (vm.name.clone(), vm.address.clone())).collect();
        if self.agent_links > 0 && agents.len() > self.agent_links {
            let names: Vec<&str> = agents.keys().map(String::as_str).collect();
            let chosen = balanced_subset(self.place_among_entries(), &names, self.agent_links);
            let chosen: BTreeSet<String> = chosen.into_iter().map(str::to_owned).collect();
            agents.retain(|name, _| chosen.contains(name));
        }
        for (process, keeper) in &self.keepers {
            if self.links.contains_key(process) {
                agents.entry(process.clone()).or_insert_with(|| keeper.address.clone());
            }
        }
        agents
    }

    /// Place of this entry in the sorted list of entries; deals the agents evenly among them.
    fn place_among_entries(&self) -> usize {
        let entries = self.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        entries.filter(|vm| vm.name < self.identity.process).count()
    }

    fn is_drained(&self, process: &str, address: &str) -> bool {
        let is_leaving = |vm: &VmEntry| vm.name == process && vm.state == VmState::Leaving;
        self.draining.contains(process)
            || self.draining.contains(address)
            || self.vms.iter().any(is_leaving)
    }

    /// Tells an agent what operators, the list and the plan say of its VM.
    fn brief(&mut self, process: &str) {
        let Some(keeper) = self.keepers.get(process) else {
            return;
        };
        let draining = self.is_drained(process, &keeper.address);
        // A link that takes nothing any more is about to be reported as closed by its reader.
        self.send(process, Body::Drain(link::Drain { draining }));
        let order = self.plan.iter().find(|planned| planned.vm == process);
        if let Some(order) = order.map(|planned| planned.order.clone()) {
            self.send(process, Body::Assignment(order));
        }
    }
}

impl Handler<SetAddress> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: SetAddress, _: &mut Context<Self>) {
        self.me = Some(message.0);
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
        let caller = Caller { sink: message.sink, _work: message.work };
        self.callers.insert(message.submission.id, caller);
        let actions = self.state.submit(now_millis(), message.submission);
        self.carry_out(actions);
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
        self.carry_out(actions);
    }
}

impl Handler<LinkOpened> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: LinkOpened, _: &mut Context<Self>) {
        log::info!("agent={} address={} state=linked", message.process, message.address);
        let link = OpenLink { id: message.id, address: message.address, sender: message.sender };
        self.links.insert(message.process.clone(), link);
        self.brief(&message.process);
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
        self.carry_out(actions);
        self.follow_list();
    }
}

impl Handler<AgentFrame> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: AgentFrame, _: &mut Context<Self>) {
        // A frame of an earlier connection would make a lost agent look alive.
        let current = self.links.get(&message.process).filter(|link| link.id == message.id);
        let Some(address) = current.map(|link| link.address.clone()) else {
            return;
        };
        let now = now_millis();
        for body in message.frame.messages.into_iter().filter_map(|message| message.body) {
            let actions = self.state.on_message(now, &message.process, &address, body);
            self.carry_out(actions);
        }
    }
}

impl Handler<SetMembership> for DispatchService {
    type Return = ();

    async fn handle(&mut self, message: SetMembership, _: &mut Context<Self>) {
        self.vms = message.vms;
        self.draining = message.draining;
        self.plan = message.plan;
        self.follow_list();
        let linked: Vec<String> = self.links.keys().cloned().collect();
        for process in linked {
            self.brief(&process);
        }
    }
}

impl Handler<DispatchTick> for DispatchService {
    type Return = ();

    async fn handle(&mut self, _: DispatchTick, _: &mut Context<Self>) {
        let actions = self.state.tick(now_millis());
        self.carry_out(actions);
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

/// Seed of an entry's choices: differs between entries and their restarts.
pub(crate) fn dispatch_seed(process: &str, incarnation: u64) -> u64 {
    hash_bytes(incarnation, process.as_bytes())
}
