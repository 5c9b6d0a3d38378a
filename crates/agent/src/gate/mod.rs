//! State machine of an agent: admission of requests, and the order of their steps.
//!
//! [`GateState`] does no I/O: messages, engine outputs and ticks go in, [`GateAction`]s come out.
//! Tests can thus run any sequence of events through the code that runs in production.

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

/// State of one connected entry.
#[derive(Clone, Copy, Debug, Default)]
struct EntryState {
    /// Requests that wait at the entry, as it last reported.
    waiting: u32,
    /// Whether the entry acknowledged an offer with `draining` set.
    drain_acknowledged: bool,
    /// Contents of the last offer or heartbeat that was sent.
    last_heartbeat: Option<link::Heartbeat>,
    /// Number of ticks since the last offer or heartbeat.
    ticks_since_heartbeat: u32,
}

/// Ticks after which an entry with running or waiting requests is sent a heartbeat, even if nothing
/// changed.
const BUSY_HEARTBEAT_TICKS: u32 = 2;

/// Ticks after which an idle entry is sent a heartbeat.
const IDLE_HEARTBEAT_TICKS: u32 = 10;

/// Share of the slots of one entry.
#[derive(Clone, Debug)]
struct EntryShare {
    entry: EntryKey,
    /// Requests and calls of the entry in flight here.
    used: u32,
    heartbeat: link::Heartbeat,
}

/// State of an agent: its requests, entries and endpoint.
///
/// Methods that may have effects return the [`GateAction`]s to carry out, in order.
#[derive(Debug)]
pub struct GateState {
    config: GateConfig,
    ledger: RequestLedger,
    requests: HashMap<RequestId, RequestState>,
    /// Service calls in flight and the entries that sent them.
    calls: HashMap<RequestId, EntryKey>,
    /// Steps at the engine, by ticket.
    tickets: HashMap<u64, RequestId>,
    window: SlotWindow,
    next_ticket: u64,
    entries: BTreeMap<EntryKey, EntryState>,
    /// Number of times that offers or heartbeats were prepared. It determines which entries get the
    /// remainder when the credits are divided.
    report_count: u64,
    /// Whether an entry reported that this VM drains.
    drain_ordered: bool,
    /// Whether this process is shutting down.
    is_stopping: bool,
    endpoint_up: bool,
    /// Version of the plan of the last order passed to the engine.
    plan_version: u64,
    counts: GateCounts,
}

impl GateState {
    /// Creates the state of an agent without entries or requests, whose endpoint is up.
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

    /// Returns the counters since the start of the agent.
    pub fn counts(&self) -> &GateCounts {
        &self.counts
    }

    /// Returns the number of requests and calls in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.calls.len()
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.drain_ordered || self.is_stopping
    }

    /// Returns whether the process can stop without interrupting a request: nothing is in flight,
    /// and all entries have acknowledged the drain, so that none of their requests is in transit.
    pub fn is_drained(&self) -> bool {
        let all_acknowledged = self.entries.values().all(|state| state.drain_acknowledged);
        self.is_stopping && self.in_flight() == 0 && all_acknowledged
    }

    /// Begins to refuse new requests, because this process is shutting down. A later message that
    /// the VM no longer drains has no effect on this.
    pub fn begin_drain(&mut self) -> Vec<GateAction> {
        self.is_stopping = true;
        self.make_offers()
    }

    /// Marks the endpoint as down. No slots are offered until [`set_endpoint`](Self::set_endpoint).
    pub fn set_endpoint_down(&mut self) {
        self.endpoint_up = false;
    }

    /// Marks the endpoint as up, with the properties that it has now.
    pub fn set_endpoint(&mut self, endpoint: GateEndpoint) {
        self.endpoint_up = true;
        if self.config.endpoint != endpoint {
            self.config.endpoint = endpoint;
            self.window = SlotWindow::new(self.config.window_config());
        }
    }

    /// Ends an interval: adjusts the concurrency limit and sends the heartbeats that are due.
    pub fn tick(&mut self) -> Vec<GateAction> {
        self.window.adjust(self.in_flight());
        self.heartbeats()
    }

    /// Handles the link that an entry opened.
    pub fn entry_connected(&mut self, entry: EntryKey) -> Vec<GateAction> {
        self.entries.insert(entry, EntryState::default());
        self.make_offers()
    }

    /// Handles the end of an entry's link. The entry's requests are released; its service calls run
    /// to completion.
    pub fn entry_disconnected(&mut self, entry: &EntryKey) -> Vec<GateAction> {
        self.entries.remove(entry);
        let owned = self.requests.iter().filter(|(_, state)| state.entry == *entry);
        let owned: Vec<RequestId> = owned.map(|(id, _)| *id).collect();
        owned.into_iter().flat_map(|id| self.release(id)).collect()
    }

    /// Handles a message from an entry.
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

    /// Handles a message from the agent of another stage.
    pub fn on_stage_message(&mut self, body: Body) -> Vec<GateAction> {
        match body {
            Body::Step(step) => self.on_step(step),
            Body::Token(token) => self.on_token(&token),
            _ => self.unexpected(),
        }
    }

    /// Handles the end of the link to the stage at `address`. Reports the loss to the entries of
    /// all requests that send to that stage.
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

    /// Sends an offer to each entry. Called when a property other than load and credits has
    /// changed.
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

    /// Sends heartbeats to the entries that are due one. Busy entries are also sent one whenever
    /// its contents change. Idle entries get fewer, since in a large deployment most of an agent's
    /// links are idle.
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

    /// Divides the current concurrency limit among the entries.
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
            GateEndpoint::Engine(engine) => {
                offer.model.clone_from(&engine.model);
                offer.first_layer = engine.layers.first();
                offer.end_layer = engine.layers.end();
                offer.max_batch = engine.max_batch;
                offer.step_micros = engine.step_micros();
                offer.accelerator.clone_from(&engine.accelerator);
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

    /// Passes an order to the engine if its plan is newer than that of every earlier order. The
    /// engine should check the version too, but not every engine does.
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

    /// Decides whether a request that this agent does not hold yet is admitted. `slots` is the
    /// maximum number of requests in flight for this kind of request.
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

    /// Releases a request, unless a later attempt than that of the message is running.
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

    /// Ends a request and frees its cache at the engine. Outputs of its running steps are ignored.
    fn release(&mut self, id: RequestId) -> Vec<GateAction> {
        self.ledger.finish(id);
        self.tickets.retain(|_, ticket_id| *ticket_id != id);
        match self.requests.remove(&id) {
            Some(_) => vec![GateAction::ReleaseCache(id)],
            None => Vec::new(),
        }
    }

    /// Counts a message that is malformed or not valid on its link.
    fn unexpected(&mut self) -> Vec<GateAction> {
        self.counts.unexpected_messages += 1;
        Vec::new()
    }
}
