//! Configuration of the state machine.

use serde::{Deserialize, Serialize};
use switchfold_core::{Millis, ejection::EjectionConfig, path::PathPolicy, retry::RetryConfig};

/// A model that the entry serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Name, as in requests and offers.
    pub name: String,
    /// Number of layers.
    pub layers: u32,
}

/// Identity and limits of an entry's state machine.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Name of the entry's process.
    pub process: String,
    /// Incarnation of the process, different after each restart.
    pub incarnation: u64,
    /// Models that the entry serves. Every other target is a service.
    pub models: Vec<ModelConfig>,
    /// Policy by which replicas are chosen.
    pub policy: PathPolicy,
    /// Time without progress after which a completion's stages are asked to resend their output.
    pub stall_timeout: Millis,
    /// Time without a message after which an agent that runs requests of this entry counts as lost.
    pub agent_timeout: Millis,
    /// The same for an agent that runs no request of this entry. It must be longer, since such an
    /// agent sends heartbeats less often.
    pub idle_agent_timeout: Millis,
    /// Time between two ticks from which on this process counts as paused in between.
    pub pause_threshold: Millis,
    /// Time without a message after which an agent that runs requests counts as silent. Completions
    /// on its stage do not count as stalled then, since all its output is delayed.
    pub silence_threshold: Millis,
    /// Time after which a service call without a response ends as unknown.
    pub call_timeout: Millis,
    /// Time that a request which must not be repeated waits for its lost agent to return.
    pub void_timeout: Millis,
    /// Time that a request waits for a replacement of a lost stage.
    pub replacement_timeout: Millis,
    /// Number of outcomes of ended requests to keep.
    pub max_outcomes: usize,
    /// Retry budget.
    pub retry: RetryConfig,
    /// Thresholds for the ejection of replicas.
    pub ejection: EjectionConfig,
    /// Seed of the random choices.
    pub seed: u64,
}

impl DispatchConfig {
    /// Creates a configuration with the default limits. The seed is the incarnation.
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
            // Two heartbeats of a busy agent, and their delay.
            silence_threshold: 500,
            call_timeout: 60_000,
            void_timeout: 1_000,
            replacement_timeout: 10_000,
            max_outcomes: 50_000,
            retry: RetryConfig::default(),
            ejection: EjectionConfig::default(),
            seed: incarnation,
        }
    }

    /// Returns the number of layers of a model, or `None` if it is not one of
    /// [`models`](Self::models).
    pub fn layers(&self, model: &str) -> Option<u32> {
        self.models.iter().find(|config| config.name == model).map(|config| config.layers)
    }
}
