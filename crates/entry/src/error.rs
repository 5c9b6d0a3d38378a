//! Errors that stop an entry.

use derive_more::{Display, Error};
use switchfold_kernel::{listen::ListenError, metrics::MetricsError, registry::RegistryError};

/// Error that stops an entry at startup or while it runs.
#[derive(Debug, Display, Error)]
pub enum EntryError {
    /// The server for other entries failed.
    #[display("server: {source}")]
    Server {
        /// Error of the gRPC transport.
        source: tonic::transport::Error,
    },
    /// A service could not be registered.
    #[display("{source}")]
    Registry {
        /// Error of the registry.
        source: RegistryError,
    },
    /// Metrics could not be set up.
    #[display("{source}")]
    Metrics {
        /// Error of the exporter.
        source: MetricsError,
    },
    /// A listening socket could not be opened.
    #[display("{source}")]
    Listen {
        /// Address and cause.
        source: ListenError,
    },
}

impl From<ListenError> for EntryError {
    fn from(source: ListenError) -> Self {
        Self::Listen { source }
    }
}
