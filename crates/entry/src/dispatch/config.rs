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
    pub stall_timeout: Millis,
    /// An agent that runs requests of this entry and says nothing for so long is taken for lost.
    pub agent_timeout: Millis,
    /// An agent that runs none is given longer, since it speaks less often.
    pub idle_agent_timeout: Millis,
    /// Time between two ticks that shows that this process itself was paused.
    pub pause_threshold: Millis,
    /// Longest time that a call of a service may take.
    pub call_timeout: Millis,
    /// How long a request that must not be repeated waits for word of a lost agent.
    pub void_timeout: Millis,
    /// How long a request waits for a replacement of a lost stage.
    pub replacement_timeout: Millis,
    /// Outcomes remembered.
    pub max_outcomes: usize,
    /// Budget for repeating work.
    pub retry: RetryConfig,
    /// Bounds of ejection.
    pub ejection: EjectionConfig,
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
            stall_timeout: 1_000,
            agent_timeout: 700,
            idle_agent_timeout: 3_500,
            pause_threshold: 200,
            call_timeout: 60_000,
            void_timeout: 1_000,
            replacement_timeout: 10_000,
            max_outcomes: 50_000,
            retry: RetryConfig::default(),
            ejection: EjectionConfig::default(),
            seed: incarnation,
        }
    }

    /// Layers of a model, where it is known.
    pub fn layers(&self, model: &str) -> Option<u32> {
        self.models.iter().find(|config| config.name == model).map(|config| config.layers)
    }
}
