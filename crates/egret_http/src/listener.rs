//! Listeners whose connections send small pieces at once.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use viz::Listener;

/// A listener whose connections do not hold back small pieces.
///
/// Tokens of a stream are small; held back until the other side has confirmed
/// the last one, each would wait for that side's timer.
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
