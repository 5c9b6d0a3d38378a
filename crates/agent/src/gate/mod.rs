//! The agent's state machine: messages in, actions out, no I/O.
//!
//! It is a plain struct, so that a test can put any order of messages through the very code that runs
//! in production. Each input returns the actions that follow from it.

mod action;
mod calls;
mod config;
mod counts;
mod request;
mod steps;

use std::collections::{BTreeMap, HashMap};

use switchfold_core::{
    credit::{EntryDemand, share_credits},
    id::RequestId,
    ledger::{LedgerAdmission, LedgerConfig, RequestLedger, VoidOutcome},
    window::SlotWindow,
};
use switchfold_proto::{
    PROTOCOL_VERSION,
    link::{self, RefusalReason, message::Body},
};

pub use action::{EntryKey, GateAction, ServiceCall};
pub use calls::CallOutcome;
pub use config::{EngineDescription, GateConfig, GateEndpoint};
pub use counts::GateCounts;
use request::RequestState;

/// What the agent knows of one entry.
#[derive(Clone, Copy, Debug, Default)]
struct EntryState {
    waiting: u32,
    drain_acknowledged: bool,
    last_heartbeat: Option<link::Heartbeat>,
    ticks_since_heartbeat: u32,
}

/// Ticks after which an entry with requests here hears from the agent, changed or not.
const BUSY_HEARTBEAT_TICKS: u32 = 2;

/// Ticks after which an idle entry does.
const IDLE_HEARTBEAT_TICKS: u32 = 10;

/// What one entry may use now.
#[derive(Clone, Debug)]
struct EntryShare {
    entry: EntryKey,
    used: u32,
    heartbeat: link::Heartbeat,
}

/// All state of an agent that decides anything.
#[derive(Debug)]
pub struct GateState {
    config: GateConfig,
    ledger: RequestLedger,
    requests: HashMap<RequestId, RequestState>,
    calls: HashMap<RequestId, EntryKey>,
    tickets: HashMap<u64, RequestId>,
    window: SlotWindow,
    next_ticket: u64,
    entries: BTreeMap<EntryKey, EntryState>,
    report_count: u64,
    drain_ordered: bool,
    is_stopping: bool,
    endpoint_up: bool,
    plan_version: u64,
    counts: GateCounts,
}

impl GateState {
    /// Makes the state of an agent that has just started.
    pub fn new(config: GateConfig) -> Self {
        let ledger = LedgerConfig { capacity: config.ledger_capacity, ..LedgerConfig::default() };
        let window = SlotWindow::new(config.window_config());
        Self {
            window,
            config,
            ledger: RequestLedger::new(ledger),
            requests: HashMap::new(),
            calls: HashMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            entries: BTreeMap::new(),
            report_count: 0,
            drain_ordered: false,
            is_stopping: false,
            endpoint_up: true,
            plan_version: 0,
            counts: GateCounts::default(),
        }
    }

    /// What was counted so far.
    pub fn counts(&self) -> &GateCounts {
        &self.counts
    }

    /// Requests and calls in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.calls.len()
    }

    /// Tells whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.drain_ordered || self.is_stopping
    }

    /// Tells whether a planned stop would cut nothing: nothing is in flight here, and no entry can have
    /// sent anything that has not arrived.
    pub fn is_drained(&self) -> bool {
        let all_acknowledged = self.entries.values().all(|state| state.drain_acknowledged);
        self.is_stopping && self.in_flight() == 0 && all_acknowledged
    }

    /// Notes that this process was told to stop.
    pub fn begin_drain(&mut self) -> Vec<GateAction> {
        self.is_stopping = true;
        self.make_offers()
    }

    /// Notes that the endpoint cannot be reached: nothing is offered until it is back.
    pub fn set_endpoint_down(&mut self) {
        self.endpoint_up = false;
    }

    /// Notes the shape of the engine, after it was loaded or came back.
    pub fn set_endpoint(&mut self, endpoint: GateEndpoint) {
        self.endpoint_up = true;
        if self.config.endpoint != endpoint {
            self.config.endpoint = endpoint;
            self.window = SlotWindow::new(self.config.window_config());
        }
    }

    /// Ends an interval: adjusts the window and sends the heartbeats that are due.
    pub fn tick(&mut self) -> Vec<GateAction> {
        self.window.adjust(self.in_flight());
        self.heartbeats()
    }

    /// Notes that an entry opened its link.
    pub fn entry_connected(&mut self, entry: EntryKey) -> Vec<GateAction> {
        self.entries.insert(entry, EntryState::default());
        self.make_offers()
    }

    /// Notes that an entry's link ended: what it had in flight here is released.
    pub fn entry_disconnected(&mut self, entry: &EntryKey) -> Vec<GateAction> {
        self.entries.remove(entry);
        let owned = self.requests.iter().filter(|(_, state)| state.entry == *entry);
        let owned: Vec<RequestId> = owned.map(|(id, _)| *id).collect();
        owned.into_iter().flat_map(|id| self.release(id)).collect()
    }

    /// Takes a message of an entry.
    pub fn on_entry_message(&mut self, entry: &EntryKey, body: Body) -> Vec<GateAction> {
        match body {
            Body::Start(start) => self.on_start(entry, start),
            Body::Reroute(reroute) => self.on_reroute(&reroute),
            Body::Release(release) => self.on_release(release),
            Body::Void(void) => self.on_void(entry, void),
            Body::Call(call) => self.on_call(entry, call),
            Body::Demand(demand) => self.on_demand(entry, demand.waiting),
            Body::Drain(drain) => self.on_drain(drain.draining),
            Body::DrainSeen(_) => self.on_drain_seen(entry),
            Body::Assignment(assignment) => self.on_assignment(assignment),
            _ => self.unexpected(),
        }
    }

    /// Takes a message of another agent.
    pub fn on_stage_message(&mut self, body: Body) -> Vec<GateAction> {
        match body {
            Body::Step(step) => self.on_step(step),
            Body::Token(token) => self.on_token(&token),
            _ => self.unexpected(),
        }
    }

    /// Notes that the link to another stage ended.
    pub fn stage_disconnected(&mut self, address: &str) -> Vec<GateAction> {
        let mut actions = Vec::new();
        for (id, state) in &self.requests {
            if state.sends_to(address) {
                let reason = RefusalReason::NextStageLost;
                actions.push(state.refusal(*id, reason, address));
            }
        }
        actions
    }

    /// Offers to all entries, with the credits of each: after a change of what is offered.
    pub fn make_offers(&mut self) -> Vec<GateAction> {
        self.report_count += 1;
        let mut actions = Vec::new();
        for share in self.entry_shares() {
            if let Some(state) = self.entries.get_mut(&share.entry) {
                state.last_heartbeat = Some(share.heartbeat);
                state.ticks_since_heartbeat = 0;
            }
            let offer = self.offer(share.heartbeat);
            actions.push(GateAction::to_entry(&share.entry, Body::Offer(offer)));
        }
        actions
    }

    /// Heartbeats to those entries that are due one: often where requests are in flight, seldom where
    /// nothing goes on, since at size an agent's idle links are most of its links.
    fn heartbeats(&mut self) -> Vec<GateAction> {
        self.report_count += 1;
        let mut actions = Vec::new();
        for share in self.entry_shares() {
            let Some(state) = self.entries.get_mut(&share.entry) else {
                continue;
            };
            state.ticks_since_heartbeat += 1;
            let is_busy = share.used > 0 || state.waiting > 0;
            let is_changed = state.last_heartbeat != Some(share.heartbeat);
            let due = if is_busy { BUSY_HEARTBEAT_TICKS } else { IDLE_HEARTBEAT_TICKS };
            if state.ticks_since_heartbeat >= due || (is_busy && is_changed) {
                state.last_heartbeat = Some(share.heartbeat);
                state.ticks_since_heartbeat = 0;
                actions.push(GateAction::to_entry(&share.entry, Body::Heartbeat(share.heartbeat)));
            }
        }
        actions
    }

    /// What each entry may use now.
    fn entry_shares(&self) -> Vec<EntryShare> {
        let mut used: BTreeMap<&EntryKey, u32> = BTreeMap::new();
        let running = self.requests.values().map(|state| &state.entry).chain(self.calls.values());
        for entry in running {
            *used.entry(entry).or_default() += 1;
        }
        let used_by = |entry: &EntryKey| used.get(entry).copied().unwrap_or(0);
        let demands: Vec<EntryDemand> = self
            .entries
            .iter()
            .map(|(entry, state)| EntryDemand { used: used_by(entry), waiting: state.waiting })
            .collect();
        let limit = if self.endpoint_up { self.window.limit() } else { 0 };
        let credits = share_credits(limit, &demands, self.report_count as usize);
        let (running, spare) = (self.in_flight() as u32, self.spare_slots());
        let shared = self.entries.keys().zip(demands).zip(credits);
        shared
            .map(|((entry, demand), credits)| EntryShare {
                entry: entry.clone(),
                used: demand.used,
                heartbeat: link::Heartbeat { credits, running, spare },
            })
            .collect()
    }

    fn offer(&self, heartbeat: link::Heartbeat) -> link::Offer {
        let mut offer = link::Offer {
            protocol: PROTOCOL_VERSION,
            process: self.config.process.clone(),
            incarnation: self.config.incarnation,
            data_centre: self.config.data_centre.clone(),
            slots: self.config.endpoint.slots(),
            credits: heartbeat.credits,
            running: heartbeat.running,
            spare: heartbeat.spare,
            draining: self.is_draining(),
            plan_version: self.plan_version,
            sent: self.report_count,
            ..link::Offer::default()
        };
        match &self.config.endpoint {
            GateEndpoint::Engine(shape) => {
                offer.model.clone_from(&shape.model);
                offer.first_layer = shape.layers.first();
                offer.end_layer = shape.layers.end();
                offer.max_batch = shape.max_batch;
                offer.step_micros = shape.step_micros();
                offer.accelerator.clone_from(&shape.accelerator);
            }
            GateEndpoint::Service { name, .. } => offer.service.clone_from(name),
        }
        offer
    }

    fn spare_slots(&self) -> u32 {
        let slots = if self.endpoint_up { self.config.endpoint.slots() } else { 0 };
        slots.saturating_sub(self.in_flight() as u32)
    }

    fn on_demand(&mut self, entry: &EntryKey, waiting: u32) -> Vec<GateAction> {
        if let Some(state) = self.entries.get_mut(entry) {
            state.waiting = waiting;
        }
        Vec::new()
    }

    fn on_drain_seen(&mut self, entry: &EntryKey) -> Vec<GateAction> {
        if let Some(state) = self.entries.get_mut(entry) {
            state.drain_acknowledged = true;
        }
        Vec::new()
    }

    fn on_drain(&mut self, draining: bool) -> Vec<GateAction> {
        if self.drain_ordered == draining {
            return Vec::new();
        }
        self.drain_ordered = draining;
        self.make_offers()
    }

    /// Passes on only orders of a larger plan than any before: the version is the fence, also for
    /// engines that check nothing.
    fn on_assignment(&mut self, assignment: link::Assignment) -> Vec<GateAction> {
        if assignment.plan_version <= self.plan_version {
            self.counts.stale_orders += 1;
            return Vec::new();
        }
        self.plan_version = assignment.plan_version;
        vec![GateAction::LoadLayers(assignment)]
    }

    fn on_void(&mut self, entry: &EntryKey, void: link::Void) -> Vec<GateAction> {
        let Some(id) = void.request else {
            return self.unexpected();
        };
        let outcome = match self.ledger.void(id.into()) {
            VoidOutcome::NeverRan => link::VoidOutcome::NeverRan,
            VoidOutcome::Ran => link::VoidOutcome::Ran,
            VoidOutcome::Unknown => link::VoidOutcome::Unknown,
        };
        let answer = link::VoidAnswer { request: Some(id), outcome: outcome.into() };
        vec![GateAction::to_entry(entry, Body::VoidAnswer(answer))]
    }

    /// Whether a request that is not here yet may come in, where `slots` are open to its kind.
    fn admit(
        &mut self,
        id: RequestId,
        attempt: u32,
        once: bool,
        slots: u32,
    ) -> Result<(), RefusalReason> {
        if self.is_draining() {
            return Err(RefusalReason::Draining);
        }
        if !self.endpoint_up || self.in_flight() >= slots as usize {
            return Err(RefusalReason::NoSlot);
        }
        match self.ledger.admit(id, attempt, once) {
            LedgerAdmission::New | LedgerAdmission::Retry => Ok(()),
            LedgerAdmission::Duplicate => Err(RefusalReason::AlreadyKnown),
            LedgerAdmission::Voided => Err(RefusalReason::Voided),
            LedgerAdmission::TooOld => Err(RefusalReason::TooOld),
            LedgerAdmission::Full => Err(RefusalReason::NoSlot),
        }
    }

    fn on_release(&mut self, release: link::Release) -> Vec<GateAction> {
        let Some(id) = release.request.map(RequestId::from) else {
            return self.unexpected();
        };
        let is_later = |state: &RequestState| state.step_gate.attempt() > release.attempt;
        if self.requests.get(&id).is_some_and(is_later) {
            return Vec::new();
        }
        self.release(id)
    }

    fn release(&mut self, id: RequestId) -> Vec<GateAction> {
        self.ledger.finish(id);
        self.tickets.retain(|_, ticket_id| *ticket_id != id);
        match self.requests.remove(&id) {
            Some(_) => vec![GateAction::ReleaseCache(id)],
            None => Vec::new(),
        }
    }

    fn unexpected(&mut self) -> Vec<GateAction> {
        self.counts.unexpected_messages += 1;
        Vec::new()
    }
}
