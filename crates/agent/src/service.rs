//! Actor that drives the state machine.
//!
//! It passes messages to [`GateState`] and executes the returned actions. All decisions are made by
//! the state machine.

use std::collections::{BTreeMap, HashMap, VecDeque};

use switchfold_kernel::{registry::ServiceName, shutdown::WorkGuard};
use switchfold_link::LinkSender;
use switchfold_proto::{
    engine::{LoadOrder, StepInput, StepOutput},
    link::{Frame, message::Body},
};
use tokio::sync::mpsc;
use xtra::{Actor, Address, Context, Handler};

use crate::{
    calls::ServiceCaller,
    gate::{
        CallOutcome, EntryKey, GateAction, GateConfig, GateCounts, GateEndpoint, GateState,
        ServiceCall,
    },
    links::{LinkId, StageConnector},
};

/// Name of the gate in the agent's service registry.
pub const GATE: ServiceName = ServiceName("gate");

/// Actor for the gate of an agent.
#[derive(Actor)]
pub struct GateService {
    state: GateState,
    own_address: String,
    entries: BTreeMap<EntryKey, EntryLink>,
    stages: HashMap<String, StageLink>,
    engine: Option<mpsc::UnboundedSender<EngineCommand>>,
    caller: Option<ServiceCaller>,
    connector: StageConnector,
    drain_guard: Option<WorkGuard>,
    own_handle: Option<Address<GateService>>,
}

/// Current connection of an entry.
struct EntryLink {
    id: LinkId,
    sender: LinkSender,
}

/// Link to another stage.
struct StageLink {
    id: LinkId,
    state: StageLinkState,
}

/// State of a link to another stage.
enum StageLinkState {
    /// The link is being opened; the messages are sent once it is open.
    Connecting(Vec<Body>),
    Open(LinkSender),
}

/// Command to the engine's task.
#[derive(Debug)]
pub(crate) enum EngineCommand {
    Step(StepInput),
    Load(LoadOrder),
}

/// An entry opened a link.
pub(crate) struct EntryConnected {
    pub(crate) id: LinkId,
    pub(crate) entry: EntryKey,
    pub(crate) sender: LinkSender,
}

/// A link of an entry ended.
pub(crate) struct EntryDisconnected {
    pub(crate) id: LinkId,
    pub(crate) entry: EntryKey,
}

/// A frame from an entry.
pub(crate) struct EntryFrame {
    pub(crate) id: LinkId,
    pub(crate) entry: EntryKey,
    pub(crate) frame: Frame,
}

/// A frame from another stage.
pub(crate) struct StageFrame(pub(crate) Frame);

/// A link to another stage is open.
pub(crate) struct StageConnected {
    pub(crate) id: LinkId,
    pub(crate) address: String,
    pub(crate) sender: LinkSender,
}

/// A link to another stage ended or could not be opened.
pub(crate) struct StageDisconnected {
    pub(crate) id: LinkId,
    pub(crate) address: String,
}

/// The stream to the engine is open.
pub(crate) struct EngineReady {
    pub(crate) endpoint: GateEndpoint,
    pub(crate) commands: mpsc::UnboundedSender<EngineCommand>,
}

/// The stream to the engine ended.
pub(crate) struct EngineLost;

/// The engine loaded other layers.
pub(crate) struct EngineReloaded(pub(crate) GateEndpoint);

/// Outputs of steps from the engine.
pub(crate) struct EngineOutputs(pub(crate) Vec<StepOutput>);

/// A service call ended.
pub(crate) struct CallEnded {
    pub(crate) call: ServiceCall,
    pub(crate) outcome: CallOutcome,
}

/// An interval of the gate ended; sent every `offer_ms` milliseconds.
pub(crate) struct GateTick;

/// The process is shutting down. The guard is dropped once the gate is drained.
pub struct BeginDrain(pub WorkGuard);

/// Requests the status and counters of the gate.
pub struct ReadStatus;

/// Reply to [`ReadStatus`].
#[derive(Clone, Copy, Debug)]
pub struct GateStatus {
    /// Counters since the start of the agent.
    pub counts: GateCounts,
    /// Number of requests and calls in flight.
    pub in_flight: usize,
    /// Whether new requests are refused.
    pub draining: bool,
}

impl GateService {
    pub(crate) fn new(
        config: GateConfig,
        caller: Option<ServiceCaller>,
        connector: StageConnector,
    ) -> Self {
        let own_address = config.address.clone();
        let has_engine = matches!(config.endpoint, GateEndpoint::Engine(_));
        let mut state = GateState::new(config);
        if has_engine {
            // Steps can only be run after `EngineReady` has passed the engine's stream.
            state.set_endpoint_down();
        }
        Self {
            state,
            own_address,
            entries: BTreeMap::new(),
            stages: HashMap::new(),
            engine: None,
            caller,
            connector,
            drain_guard: None,
            own_handle: None,
        }
    }

    /// Executes actions and those that follow from them, in order. Drops the drain guard once the
    /// gate is drained.
    fn execute(&mut self, actions: Vec<GateAction>) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            match action {
                GateAction::ToEntry { entry, body } => self.send_entry(&entry, body),
                GateAction::ToStage { address, body } if address == self.own_address => {
                    pending.extend(self.state.on_stage_message(body));
                }
                GateAction::ToStage { address, body } => {
                    pending.extend(self.send_stage(address, body))
                }
                GateAction::RunStep(step) => self.send_engine(EngineCommand::Step(step)),
                GateAction::ReleaseCache(id) => {
                    let release =
                        StepInput { key: Some(id.into()), release: true, ..StepInput::default() };
                    self.send_engine(EngineCommand::Step(release));
                }
                GateAction::CallService(call) => self.call(call),
                GateAction::LoadLayers(order) => self.send_engine(EngineCommand::Load(LoadOrder {
                    plan_version: order.plan_version,
                    model: order.model,
                    first_layer: order.first_layer,
                    end_layer: order.end_layer,
                })),
            }
        }
        if self.state.is_drained() {
            self.drain_guard = None;
        }
    }

    /// Sends a message to an entry. A failure is ignored, since the reader of a closed link reports
    /// its end.
    fn send_entry(&mut self, entry: &EntryKey, body: Body) {
        if let Some(link) = self.entries.get(entry) {
            link.sender.send(body);
        }
    }

    /// Sends a message to another stage, and opens a link to it if there is none.
    fn send_stage(&mut self, address: String, body: Body) -> Vec<GateAction> {
        let Some(link) = self.stages.get_mut(&address) else {
            self.connect_stage(address, body);
            return Vec::new();
        };
        match &mut link.state {
            StageLinkState::Connecting(queued) => queued.push(body),
            StageLinkState::Open(sender) => {
                if !sender.send(body) {
                    self.stages.remove(&address);
                    return self.state.stage_disconnected(&address);
                }
            }
        }
        Vec::new()
    }

    fn connect_stage(&mut self, address: String, first_message: Body) {
        let id = LinkId::next();
        if let Some(handle) = self.own_handle.clone() {
            self.connector.connect(id, address.clone(), handle);
        }
        let state = StageLinkState::Connecting(vec![first_message]);
        self.stages.insert(address, StageLink { id, state });
    }

    /// Removes the link of an entry and releases its requests.
    fn close_entry(&mut self, entry: &EntryKey) {
        self.entries.remove(entry);
        let actions = self.state.entry_disconnected(entry);
        self.execute(actions);
    }

    /// Sends a command to the engine's task. If the engine is lost, so is the command, and
    /// [`EngineLost`] reports the affected requests to their entries.
    fn send_engine(&mut self, command: EngineCommand) {
        if let Some(engine) = &self.engine {
            let _lost_with_engine = engine.send(command);
        }
    }

    fn call(&mut self, call: ServiceCall) {
        if let (Some(caller), Some(handle)) = (&self.caller, self.own_handle.clone()) {
            caller.start(call, handle);
        }
    }
}

/// Passes the actor its own address, for the tasks that it starts.
pub(crate) struct SetAddress(pub(crate) Address<GateService>);

impl Handler<SetAddress> for GateService {
    type Return = ();

    async fn handle(&mut self, message: SetAddress, _: &mut Context<Self>) {
        self.own_handle = Some(message.0);
    }
}

impl Handler<EntryConnected> for GateService {
    type Return = ();

    async fn handle(&mut self, message: EntryConnected, _: &mut Context<Self>) {
        if self.entries.contains_key(&message.entry) {
            self.close_entry(&message.entry);
        }
        let link = EntryLink { id: message.id, sender: message.sender };
        self.entries.insert(message.entry.clone(), link);
        log::info!("entry={} state=connected", message.entry.name);
        let actions = self.state.entry_connected(message.entry);
        self.execute(actions);
    }
}

impl Handler<EntryDisconnected> for GateService {
    type Return = ();

    async fn handle(&mut self, message: EntryDisconnected, _: &mut Context<Self>) {
        let is_current = |link: &EntryLink| link.id == message.id;
        if self.entries.get(&message.entry).is_some_and(is_current) {
            log::info!("entry={} state=gone", message.entry.name);
            self.close_entry(&message.entry);
        }
    }
}

impl Handler<EntryFrame> for GateService {
    type Return = ();

    async fn handle(&mut self, message: EntryFrame, _: &mut Context<Self>) {
        let is_current = |link: &EntryLink| link.id == message.id;
        if !self.entries.get(&message.entry).is_some_and(is_current) {
            return;
        }
        for body in message.frame.messages.into_iter().filter_map(|message| message.body) {
            let actions = self.state.on_entry_message(&message.entry, body);
            self.execute(actions);
        }
    }
}

impl Handler<StageFrame> for GateService {
    type Return = ();

    async fn handle(&mut self, message: StageFrame, _: &mut Context<Self>) {
        for body in message.0.messages.into_iter().filter_map(|message| message.body) {
            let actions = self.state.on_stage_message(body);
            self.execute(actions);
        }
    }
}

impl Handler<StageConnected> for GateService {
    type Return = ();

    async fn handle(&mut self, message: StageConnected, _: &mut Context<Self>) {
        let Some(link) = self.stages.get_mut(&message.address).filter(|link| link.id == message.id)
        else {
            return;
        };
        let opened = StageLinkState::Open(message.sender);
        if let StageLinkState::Connecting(queued) = std::mem::replace(&mut link.state, opened) {
            for body in queued {
                let actions = self.send_stage(message.address.clone(), body);
                self.execute(actions);
            }
        }
    }
}

impl Handler<StageDisconnected> for GateService {
    type Return = ();

    async fn handle(&mut self, message: StageDisconnected, _: &mut Context<Self>) {
        let is_current = |link: &StageLink| link.id == message.id;
        if self.stages.get(&message.address).is_some_and(is_current) {
            self.stages.remove(&message.address);
            let actions = self.state.stage_disconnected(&message.address);
            self.execute(actions);
        }
    }
}

impl Handler<EngineReady> for GateService {
    type Return = ();

    async fn handle(&mut self, message: EngineReady, _: &mut Context<Self>) {
        log::info!("endpoint=engine state=ready");
        self.state.set_endpoint(message.endpoint);
        self.engine = Some(message.commands);
        let actions = self.state.make_offers();
        self.execute(actions);
    }
}

impl Handler<EngineReloaded> for GateService {
    type Return = ();

    async fn handle(&mut self, message: EngineReloaded, _: &mut Context<Self>) {
        log::info!("endpoint=engine state=reloaded");
        let mut actions = self.state.engine_lost();
        self.state.set_endpoint(message.0);
        actions.extend(self.state.make_offers());
        self.execute(actions);
    }
}

impl Handler<EngineLost> for GateService {
    type Return = ();

    async fn handle(&mut self, _: EngineLost, _: &mut Context<Self>) {
        log::warn!("endpoint=engine state=lost");
        self.engine = None;
        let mut actions = self.state.engine_lost();
        actions.extend(self.state.make_offers());
        self.execute(actions);
    }
}

impl Handler<EngineOutputs> for GateService {
    type Return = ();

    async fn handle(&mut self, message: EngineOutputs, _: &mut Context<Self>) {
        for output in message.0 {
            let actions = self.state.on_output(&output);
            self.execute(actions);
        }
    }
}

impl Handler<CallEnded> for GateService {
    type Return = ();

    async fn handle(&mut self, message: CallEnded, _: &mut Context<Self>) {
        let actions = self.state.on_call_outcome(&message.call, message.outcome);
        self.execute(actions);
    }
}

impl Handler<GateTick> for GateService {
    type Return = ();

    async fn handle(&mut self, _: GateTick, _: &mut Context<Self>) {
        let actions = self.state.tick();
        self.execute(actions);
    }
}

impl Handler<BeginDrain> for GateService {
    type Return = ();

    async fn handle(&mut self, message: BeginDrain, _: &mut Context<Self>) {
        log::info!("state=draining in_flight={}", self.state.in_flight());
        self.drain_guard = Some(message.0);
        let actions = self.state.begin_drain();
        self.execute(actions);
    }
}

impl Handler<ReadStatus> for GateService {
    type Return = GateStatus;

    async fn handle(&mut self, _: ReadStatus, _: &mut Context<Self>) -> GateStatus {
        GateStatus {
            counts: *self.state.counts(),
            in_flight: self.state.in_flight(),
            draining: self.state.is_draining(),
        }
    }
}
