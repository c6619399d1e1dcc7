//! Taking an address to listen on.

use std::{io, net::SocketAddr};

use miette::Diagnostic;
use thiserror::Error;
use tokio::net::TcpListener;

/// An address that cannot be used.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot listen on {address}: {source}")]
#[diagnostic(help("correct the address in the settings, or stop what uses it"))]
pub struct ListenError {
    /// The address.
    address: SocketAddr,
    /// What the system said.
    source: io::Error,
}

/// Listens on an address from the settings.
///
/// # Errors
///
/// Returns a [`ListenError`] when the address cannot be used.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).await.map_err(|source| ListenError { address, source })
}
