//! What an entry knows of each replica.

use switchfold_core::{Millis, ejection::ReplicaHealth, route::LayerRange};
use switchfold_proto::link;

/// What a replica serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaRole {
    /// Layers of a model.
    Layers(LayerRange),
    /// A plain service.
    Service,
}

/// One replica, as its agent last described it.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// Address of its agent.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Run of the agent.
    pub incarnation: u64,
    /// Model or service.
    pub target: String,
    /// What it serves of it.
    pub role: ReplicaRole,
    /// Requests that it takes at once, of all entries.
    pub slots: u32,
    /// Requests that it takes at once of this entry.
    pub credits: u32,
    /// Slots that replacements of lost stages may take, as last reported.
    pub spare: u32,
    /// Requests that it runs, of all entries, as last reported.
    pub running: u32,
    /// Requests of this entry that it runs.
    pub in_flight: u32,
    /// Requests sent to it since its last offer.
    pub sent_since_report: u32,
    /// Microseconds of a full batch.
    pub step_micros: u32,
    /// Sequences of a full batch.
    pub max_batch: u32,
    /// Takes no new request.
    pub draining: bool,
    /// Version of the plan that its engine follows.
    pub plan_version: u64,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Its link is open and it speaks.
    pub connected: bool,
    /// When it last spoke.
    pub last_message_at: Millis,
    /// Share of the maximum flow.
    pub weight: f64,
    /// How it does against its like.
    pub health: ReplicaHealth,
    /// What it was last told about waiting requests.
    pub last_demand: u32,
}

impl ReplicaView {
    /// Makes the view of a replica from its first offer; nothing where the offer is malformed.
    pub fn new(address: &str, offer: &link::Offer, now: Millis) -> Option<Self> {
        let mut view = Self {
            address: address.to_owned(),
            data_centre: offer.data_centre.clone(),
            incarnation: offer.incarnation,
            target: String::new(),
            role: ReplicaRole::Service,
            slots: 0,
            credits: 0,
            spare: 0,
            running: 0,
            in_flight: 0,
            sent_since_report: 0,
            step_micros: 0,
            max_batch: 0,
            draining: false,
            plan_version: 0,
            accelerator: offer.accelerator.clone(),
            connected: true,
            last_message_at: now,
            weight: 0.0,
            health: ReplicaHealth::default(),
            last_demand: 0,
        };
        view.apply_offer(offer, now).then_some(view)
    }

    /// Takes a later offer of the same run. Returns whether it was well-formed.
    pub fn apply_offer(&mut self, offer: &link::Offer, now: Millis) -> bool {
        if offer.service.is_empty() {
            let Ok(layers) = LayerRange::new(offer.first_layer, offer.end_layer) else {
                return false;
            };
            self.role = ReplicaRole::Layers(layers);
            self.target.clone_from(&offer.model);
        } else {
            self.role = ReplicaRole::Service;
            self.target.clone_from(&offer.service);
        }
        self.slots = offer.slots;
        self.apply_heartbeat(link::Heartbeat {
            credits: offer.credits,
            running: offer.running,
            spare: offer.spare,
        });
        self.step_micros = offer.step_micros;
        self.max_batch = offer.max_batch;
        self.draining = offer.draining;
        self.plan_version = offer.plan_version;
        self.connected = true;
        self.last_message_at = now;
        true
    }

    /// Takes what changes while the endpoint stays what it is.
    pub fn apply_heartbeat(&mut self, heartbeat: link::Heartbeat) {
        self.credits = heartbeat.credits;
        self.running = heartbeat.running;
        self.spare = heartbeat.spare;
        self.sent_since_report = 0;
    }

    /// Layers that it holds, where it holds any.
    pub fn layers(&self) -> Option<LayerRange> {
        match self.role {
            ReplicaRole::Layers(layers) => Some(layers),
            ReplicaRole::Service => None,
        }
    }

    /// Further requests that this entry may send.
    pub fn free_credits(&self) -> u32 {
        self.credits.saturating_sub(self.in_flight)
    }

    /// Tells whether new requests may go to it, its health aside.
    pub fn can_accept(&self) -> bool {
        self.is_available() && self.free_credits() > 0
    }

    /// Tells whether it is there and does not drain.
    pub fn is_available(&self) -> bool {
        self.connected && !self.draining
    }

    /// Further replacements of lost stages that this entry may send.
    pub fn free_replacement_slots(&self) -> u32 {
        self.spare.saturating_sub(self.sent_since_report)
    }

    /// Requests there: as reported, plus those sent since.
    pub fn outstanding(&self) -> u32 {
        self.running + self.sent_since_report
    }

    /// Tokens a thousand seconds at full batches.
    pub fn milli_rate(&self) -> u64 {
        let batch = u64::from(self.max_batch.max(1));
        batch * 1_000_000_000 / u64::from(self.step_micros.max(1))
    }

    /// Takes one credit. An idle agent speaks seldom: its silence counts from its first request on.
    pub fn use_credit(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.last_message_at = self.last_message_at.max(now);
        }
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Gives one credit back.
    pub fn return_credit(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
