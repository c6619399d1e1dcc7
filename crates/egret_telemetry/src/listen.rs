//! Binding of listen addresses.

use std::{io, net::SocketAddr};

use miette::Diagnostic;
use thiserror::Error;
use tokio::net::TcpListener;

/// Error for an address that cannot be listened on.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot listen on {address}: {source}")]
#[diagnostic(help("correct the address in the settings, or stop what uses it"))]
pub struct ListenError {
    /// The address.
    address: SocketAddr,
    /// The operating system's error.
    source: io::Error,
}

/// Binds a listener to an address from the settings.
///
/// # Errors
///
/// Returns a [`ListenError`] when the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).await.map_err(|source| ListenError { address, source })
}
