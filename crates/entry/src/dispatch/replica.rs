//! State of a replica, as last reported to an entry.

use switchfold_core::{Millis, ejection::ReplicaHealth, route::LayerRange};
use switchfold_proto::link;

/// Work that a replica runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaRole {
    /// Layers of a model.
    Layers(LayerRange),
    /// A plain service.
    Service,
}

/// A replica, as its agent last reported it.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// Address of its agent.
    pub address: String,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// Name of the model or service.
    pub target: String,
    /// Part of the model that it holds, or that it is a service.
    pub role: ReplicaRole,
    /// Maximum number of concurrent requests of all entries.
    pub slots: u32,
    /// Maximum number of concurrent requests of this entry, as last granted.
    pub credits: u32,
    /// Free slots for replacements of lost stages, as last reported.
    pub spare: u32,
    /// Requests of all entries in flight there, as last reported.
    pub running: u32,
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Requests that this entry sent there since the last offer or heartbeat.
    pub sent_since_report: u32,
    /// Duration of a step with a full batch, in microseconds.
    pub step_micros: u32,
    /// Number of sequences in a full batch.
    pub max_batch: u32,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Version of the plan that its engine follows.
    pub plan_version: u64,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Whether its link is open and its agent has not timed out.
    pub connected: bool,
    /// Time of the last message from its agent, or of the first request sent to it while idle, if
    /// that is later.
    pub last_message_at: Millis,
    /// Weight for the choice of replicas: its flow in tokens per thousand seconds if it holds
    /// layers, its slots if it is a service.
    pub weight: f64,
    /// Observations for outlier detection.
    pub health: ReplicaHealth,
    /// Number of waiting requests that was last sent to its agent.
    pub last_demand: u32,
}

impl ReplicaView {
    /// Creates the view of a replica from its first offer. Returns `None` if the offer is
    /// malformed.
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

    /// Applies an offer of the same incarnation. Returns false and changes nothing if the offer is
    /// malformed.
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

    /// Applies the load and the credits of a heartbeat or offer.
    pub fn apply_heartbeat(&mut self, heartbeat: link::Heartbeat) {
        self.credits = heartbeat.credits;
        self.running = heartbeat.running;
        self.spare = heartbeat.spare;
        self.sent_since_report = 0;
    }

    /// Returns the layers that the replica holds, or `None` if it is a service.
    pub fn layers(&self) -> Option<LayerRange> {
        match self.role {
            ReplicaRole::Layers(layers) => Some(layers),
            ReplicaRole::Service => None,
        }
    }

    /// Returns how many more requests this entry may send.
    pub fn free_credits(&self) -> u32 {
        self.credits.saturating_sub(self.in_flight)
    }

    /// Returns whether a new request may be sent to the replica. Ejection is not considered.
    pub fn can_accept(&self) -> bool {
        self.is_available() && self.free_credits() > 0
    }

    /// Returns whether the replica is connected and not draining.
    pub fn is_available(&self) -> bool {
        self.connected && !self.draining
    }

    /// Returns how many more replacements of lost stages this entry may send.
    pub fn free_replacement_slots(&self) -> u32 {
        self.spare.saturating_sub(self.sent_since_report)
    }

    /// Returns the requests in flight there: as last reported, plus those sent since.
    pub fn outstanding(&self) -> u32 {
        self.running + self.sent_since_report
    }

    /// Returns the throughput with full batches, in tokens per thousand seconds.
    pub fn milli_rate(&self) -> u64 {
        let batch = u64::from(self.max_batch.max(1));
        batch * 1_000_000_000 / u64::from(self.step_micros.max(1))
    }

    /// Takes one credit for a request.
    ///
    /// If the agent was idle, its timeout starts now: idle agents send heartbeats less often, so
    /// its last message may be older than the timeout for busy agents.
    pub fn use_credit(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.last_message_at = self.last_message_at.max(now);
        }
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Returns the credit of a request.
    pub fn return_credit(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
