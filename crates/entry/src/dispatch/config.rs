//! Bounds of the state machine.

use serde::{Deserialize, Serialize};
use switchfold_core::{Millis, ejection::EjectionConfig, path::PathPolicy, retry::RetryConfig};

/// A model that is served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Name.
    pub name: String,
    /// Layers.
    pub layers: u32,
}

/// Bounds and identity of an entry's state machine.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Name of the process.
    pub process: String,
    /// Run of the process.
    pub incarnation: u64,
    /// Models.
    pub models: Vec<ModelConfig>,
    /// How paths are chosen.
    pub policy: PathPolicy,
    /// A request without progress for so long is looked into.
    pub stall: Millis,
    /// An agent that runs requests of this entry and says nothing for so long is taken for lost.
    pub silence: Millis,
    /// An agent that runs none is given longer, since it speaks less often.
    pub idle_silence: Millis,
    /// Time between two ticks that shows that this process itself was paused.
    pub own_pause: Millis,
    /// Longest time that a call of a service may take.
    pub call_patience: Millis,
    /// How long a request that must not be repeated waits for word of a lost agent.
    pub settle: Millis,
    /// How long a request waits for a replacement of a lost stage.
    pub strand: Millis,
    /// Outcomes remembered.
    pub outcomes: usize,
    /// Budget for repeating work.
    pub retry: RetryConfig,
    /// Bounds of ejection.
    pub eject: EjectionConfig,
    /// Seed of all choices.
    pub seed: u64,
}

impl DispatchConfig {
    /// Makes the usual bounds for an entry.
    pub fn new(process: &str, incarnation: u64, models: Vec<ModelConfig>) -> Self {
        Self {
            process: process.to_owned(),
            incarnation,
            models,
            policy: PathPolicy::default(),
            stall: 1_000,
            silence: 700,
            idle_silence: 3_500,
            own_pause: 200,
            call_patience: 60_000,
            settle: 1_000,
            strand: 10_000,
            outcomes: 50_000,
            retry: RetryConfig::default(),
            eject: EjectionConfig::default(),
            seed: incarnation,
        }
    }

    /// Layers of a model, where it is known.
    pub fn layers(&self, model: &str) -> Option<u32> {
        self.models.iter().find(|config| config.name == model).map(|config| config.layers)
    }
}
