//! What an agent stands in front of.

use switchfold_core::{route::LayerRange, window::WindowConfig};

/// An engine, as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineDescription {
    /// Model that it holds.
    pub model: String,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Sequences in one batch.
    pub max_batch: u32,
    /// Requests whose caches fit its memory.
    pub slots: u32,
    /// Microseconds of a batch, whatever its size.
    pub fixed_micros: u32,
    /// Microseconds of a batch for each sequence.
    pub item_micros: u32,
    /// Kind of accelerator.
    pub accelerator: String,
}

impl EngineDescription {
    /// Microseconds of a full batch.
    pub fn step_micros(&self) -> u32 {
        self.fixed_micros + self.item_micros * self.max_batch
    }
}

/// The endpoint behind the gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateEndpoint {
    /// A model engine.
    Engine(EngineDescription),
    /// A plain service.
    Service {
        /// Name under which callers know it.
        name: String,
        /// Calls that it takes at once.
        slots: u32,
    },
}

impl GateEndpoint {
    /// Requests that it takes at once.
    pub fn slots(&self) -> u32 {
        match self {
            Self::Engine(shape) => shape.slots,
            Self::Service { slots, .. } => *slots,
        }
    }
}

/// Bounds and identity of an agent.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Name of the process.
    pub process: String,
    /// Run of the process.
    pub incarnation: u64,
    /// Address at which other stages reach it.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// The endpoint.
    pub endpoint: GateEndpoint,
    /// Share of an engine's slots, in hundredths, that is kept for replacing lost stages.
    pub reserve_hundredths: u32,
    /// Steps wanted at the engine, in hundredths of a full batch; 0 means that only memory limits.
    pub target_hundredths: u32,
    /// Bytes of activations kept for each request.
    pub log_bytes: usize,
    /// Requests that the ledger remembers.
    pub ledger_capacity: usize,
}

impl GateConfig {
    /// Requests that may begin here, by memory; the rest of the slots is for replacing lost stages.
    ///
    /// A service has no stages to replace.
    pub fn unreserved_slots(&self) -> u32 {
        let slots = self.endpoint.slots();
        match self.endpoint {
            GateEndpoint::Engine(_) => {
                (slots - slots * self.reserve_hundredths.min(100) / 100).max(1)
            }
            GateEndpoint::Service { .. } => slots,
        }
    }

    /// Bounds of the window on requests that begin here.
    pub fn window_config(&self) -> WindowConfig {
        match &self.endpoint {
            GateEndpoint::Engine(shape) => WindowConfig {
                max_batch: shape.max_batch,
                max_requests: self.unreserved_slots(),
                target_hundredths: self.target_hundredths,
            },
            GateEndpoint::Service { slots, .. } => {
                WindowConfig { max_batch: *slots, max_requests: *slots, target_hundredths: 0 }
            }
        }
    }
}
