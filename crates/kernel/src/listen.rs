//! Binding of the listen addresses from the settings.

use derive_more::{Display, Error};
use tokio::net::TcpListener;

/// Failure to listen on an address.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {source}")]
pub struct ListenError {
    /// Address, as configured.
    pub address: String,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Binds a TCP listener to an address.
///
/// # Errors
///
/// Returns an error if the address is malformed, in use, or not assigned to this VM.
pub async fn bind(address: &str) -> Result<TcpListener, ListenError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| ListenError { address: address.to_owned(), source })
}
