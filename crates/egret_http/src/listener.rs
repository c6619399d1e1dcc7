//! Listener that disables Nagle's algorithm on its connections.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use viz::Listener;

/// Listener that sets `TCP_NODELAY` on the connections that it accepts.
///
/// The tokens of a stream are small. With Nagle's algorithm, each would wait for
/// the acknowledgement of the one before, which the peer's timer delays.
#[derive(Debug)]
pub struct NoDelayListener(pub TcpListener);

impl Listener for NoDelayListener {
    type Io = TcpStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let (stream, from) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, from))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}
