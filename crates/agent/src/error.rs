//! Errors of an agent.

use derive_more::{Display, Error};
use switchfold_kernel::{listen::ListenError, metrics::MetricsError, registry::RegistryError};

/// Error that stops an agent.
#[derive(Debug, Display, Error)]
pub enum AgentError {
    /// The engine could not be reached, or its description was invalid.
    #[display("engine at {address}: {detail}")]
    Engine {
        /// Address of the engine.
        address: String,
        /// Error message.
        detail: String,
    },
    /// The gRPC server for links failed.
    #[display("link server: {source}")]
    Server {
        /// Error of the transport.
        source: tonic::transport::Error,
    },
    /// The gate could not be registered as a service of this process.
    #[display("{source}")]
    Registry {
        /// Error of the registry.
        source: RegistryError,
    },
    /// The metrics could not be set up.
    #[display("{source}")]
    Metrics {
        /// Error of the metrics.
        source: MetricsError,
    },
    /// A listen address could not be bound.
    #[display("{source}")]
    Listen {
        /// Error with the address.
        source: ListenError,
    },
}

impl From<ListenError> for AgentError {
    fn from(source: ListenError) -> Self {
        Self::Listen { source }
    }
}
