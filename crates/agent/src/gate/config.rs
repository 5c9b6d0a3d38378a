//! Configuration of the state machine, and the properties of its endpoint.

use switchfold_core::{route::LayerRange, window::WindowConfig};

/// Properties of an engine, as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineDescription {
    /// Name of the model that it has loaded.
    pub model: String,
    /// Layers that it has loaded.
    pub layers: LayerRange,
    /// Maximum number of sequences in a batch.
    pub max_batch: u32,
    /// Number of requests whose KV caches fit into its memory.
    pub slots: u32,
    /// Fixed part of the duration of a batch, in microseconds.
    pub fixed_micros: u32,
    /// Part of the duration of a batch per sequence, in microseconds.
    pub item_micros: u32,
    /// Kind of accelerator.
    pub accelerator: String,
}

impl EngineDescription {
    /// Returns the duration of a full batch, in microseconds.
    pub fn step_micros(&self) -> u32 {
        self.fixed_micros + self.item_micros * self.max_batch
    }
}

/// The endpoint of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateEndpoint {
    /// A model engine.
    Engine(EngineDescription),
    /// A plain service, one that runs no model.
    Service {
        /// Name by which callers address it.
        name: String,
        /// Maximum number of concurrent calls.
        slots: u32,
    },
}

impl GateEndpoint {
    /// Returns the maximum number of concurrent requests.
    pub fn slots(&self) -> u32 {
        match self {
            Self::Engine(engine) => engine.slots,
            Self::Service { slots, .. } => *slots,
        }
    }
}

/// Identity and limits of an agent's state machine.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Name of the agent's process.
    pub process: String,
    /// Incarnation of the process, different after each restart.
    pub incarnation: u64,
    /// Address at which other stages reach the agent.
    pub address: String,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Endpoint of the agent.
    pub endpoint: GateEndpoint,
    /// Share of an engine's slots reserved for replacing lost stages, in hundredths.
    pub reserve_hundredths: u32,
    /// Target for the number of steps at the engine, in hundredths of a full batch. With 0 only the
    /// engine's memory limits the number of requests.
    pub target_hundredths: u32,
    /// Maximum size of the activation log of each request, in bytes.
    pub log_bytes: usize,
    /// Maximum number of requests in the ledger.
    pub ledger_capacity: usize,
}

impl GateConfig {
    /// Returns the number of slots for new requests, at least 1 for an engine. The rest is reserved
    /// for replacing lost stages; services have no stages, so nothing is reserved.
    pub fn unreserved_slots(&self) -> u32 {
        let slots = self.endpoint.slots();
        match self.endpoint {
            GateEndpoint::Engine(_) => {
                (slots - slots * self.reserve_hundredths.min(100) / 100).max(1)
            }
            GateEndpoint::Service { .. } => slots,
        }
    }

    /// Returns the limits of the window that controls how many requests the endpoint holds.
    pub fn window_config(&self) -> WindowConfig {
        match &self.endpoint {
            GateEndpoint::Engine(engine) => WindowConfig {
                max_batch: engine.max_batch,
                max_requests: self.unreserved_slots(),
                target_hundredths: self.target_hundredths,
            },
            GateEndpoint::Service { slots, .. } => {
                WindowConfig { max_batch: *slots, max_requests: *slots, target_hundredths: 0 }
            }
        }
    }
}
