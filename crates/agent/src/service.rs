//! The actor around the state machine.
//!
//! It turns messages into calls of [`GateState`] and carries out the actions that come back. It
//! decides nothing.

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

/// Name of the service in the agent's registry.
pub const GATE: ServiceName = ServiceName("gate");

/// The gate of an agent as a service.
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

/// The connection of an entry that is in use.
struct EntryLink {
    id: LinkId,
    sender: LinkSender,
}

/// A link to another stage.
struct StageLink {
    id: LinkId,
    state: StageLinkState,
}

/// An open link, or what waits for it.
enum StageLinkState {
    Connecting(Vec<Body>),
    Open(LinkSender),
}

/// What the engine is to do.
#[derive(Debug)]
pub(crate) enum EngineCommand {
    Step(StepInput),
    Load(LoadOrder),
}

/// An entry opened its link.
pub(crate) struct EntryConnected {
    pub(crate) id: LinkId,
    pub(crate) entry: EntryKey,
    pub(crate) sender: LinkSender,
}

/// An entry's link ended.
pub(crate) struct EntryDisconnected {
    pub(crate) id: LinkId,
    pub(crate) entry: EntryKey,
}

/// A frame of an entry.
pub(crate) struct EntryFrame {
    pub(crate) id: LinkId,
    pub(crate) entry: EntryKey,
    pub(crate) frame: Frame,
}

/// A frame of another stage.
pub(crate) struct StageFrame(pub(crate) Frame);

/// A link to another stage is open.
pub(crate) struct StageConnected {
    pub(crate) id: LinkId,
    pub(crate) address: String,
    pub(crate) sender: LinkSender,
}

/// A link to another stage ended, or was not made.
pub(crate) struct StageDisconnected {
    pub(crate) id: LinkId,
    pub(crate) address: String,
}

/// The engine is there, with this engine.
pub(crate) struct EngineReady {
    pub(crate) endpoint: GateEndpoint,
    pub(crate) work: mpsc::UnboundedSender<EngineCommand>,
}

/// The engine is gone.
pub(crate) struct EngineLost;

/// The engine loaded something else.
pub(crate) struct EngineReloaded(pub(crate) GateEndpoint);

/// Outputs of the engine.
pub(crate) struct EngineOutputs(pub(crate) Vec<StepOutput>);

/// A call of the service ended.
pub(crate) struct CallEnded {
    pub(crate) call: ServiceCall,
    pub(crate) end: CallOutcome,
}

/// Time to make offers.
pub(crate) struct GateTick;

/// The process was told to stop: the guard is dropped once nothing is in flight.
pub struct BeginDrain(pub WorkGuard);

/// Asks for what was counted.
pub struct ReadCounts;

/// What [`ReadCounts`] gives.
#[derive(Clone, Copy, Debug)]
pub struct GateStatus {
    /// Counters.
    pub counts: GateCounts,
    /// Requests and calls in flight.
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
            // Steps need the engine's stream, which comes with `EngineReady`.
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

    fn execute(&mut self, actions: Vec<GateAction>) {
        let mut waiting = VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            match action {
                GateAction::ToEntry { entry, body } => self.send_entry(&entry, body),
                GateAction::ToStage { address, body } if address == self.own_address => {
                    waiting.extend(self.state.on_stage_message(body));
                }
                GateAction::ToStage { address, body } => {
                    waiting.extend(self.send_stage(address, body))
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

    /// A link that takes nothing any more is about to be reported as closed by its reader.
    fn send_entry(&mut self, entry: &EntryKey, body: Body) {
        if let Some(link) = self.entries.get(entry) {
            link.sender.send(body);
        }
    }

    fn send_stage(&mut self, address: String, body: Body) -> Vec<GateAction> {
        let Some(link) = self.stages.get_mut(&address) else {
            self.connect_stage(address, body);
            return Vec::new();
        };
        match &mut link.state {
            StageLinkState::Connecting(waiting) => waiting.push(body),
            StageLinkState::Open(sender) => {
                if !sender.send(body) {
                    self.stages.remove(&address);
                    return self.state.stage_disconnected(&address);
                }
            }
        }
        Vec::new()
    }

    fn connect_stage(&mut self, address: String, first: Body) {
        let id = LinkId::next();
        if let Some(handle) = self.own_handle.clone() {
            self.connector.connect(id, address.clone(), handle);
        }
        let state = StageLinkState::Connecting(vec![first]);
        self.stages.insert(address, StageLink { id, state });
    }

    /// Ends what an entry's former connection left behind.
    fn close_entry(&mut self, entry: &EntryKey) {
        self.entries.remove(entry);
        let actions = self.state.entry_disconnected(entry);
        self.execute(actions);
    }

    /// Steps for an engine that is gone are lost with it; [`EngineLost`] tells the entries.
    fn send_engine(&mut self, work: EngineCommand) {
        if let Some(engine) = &self.engine {
            let _lost_with_engine = engine.send(work);
        }
    }

    fn call(&mut self, call: ServiceCall) {
        if let (Some(caller), Some(handle)) = (&self.caller, self.own_handle.clone()) {
            caller.start(call, handle);
        }
    }
}

/// Tells the service its own address, so that tasks it starts can answer.
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
        if let StageLinkState::Connecting(waiting) = std::mem::replace(&mut link.state, opened) {
            for body in waiting {
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
        self.engine = Some(message.work);
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
        let actions = self.state.on_call_outcome(&message.call, message.end);
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

impl Handler<ReadCounts> for GateService {
    type Return = GateStatus;

    async fn handle(&mut self, _: ReadCounts, _: &mut Context<Self>) -> GateStatus {
        GateStatus {
            counts: *self.state.counts(),
            in_flight: self.state.in_flight(),
            draining: self.state.is_draining(),
        }
    }
}
