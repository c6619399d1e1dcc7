//! Connections and listeners.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use capnp::capability::FromClientHook;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::AsyncReadExt as _;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
    time::timeout,
};
use tokio_util::compat::TokioAsyncReadCompatExt as _;

/// Longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to another process, closed when dropped.
pub struct Connection<C> {
    client: C,
    task: JoinHandle<()>,
}

impl<C: FromClientHook + Clone> Connection<C> {
    /// Connects from an address of this instance; must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when nobody listens or answers in time.
    pub async fn open(own: IpAddr, address: SocketAddr) -> io::Result<Self> {
        let socket = if own.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if !own.is_unspecified() {
            socket.bind(SocketAddr::new(own, 0))?;
        }
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let mut system = RpcSystem::new(network(stream, Side::Client)?, None);
        let client = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("event=connection_ended address={address} error={:?}", error.kind);
            }
        });
        Ok(Self { client, task })
    }

    /// Returns the other side's interface.
    #[must_use]
    pub fn client(&self) -> C {
        self.client.clone()
    }

    /// Tells whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.task.is_finished()
    }
}

impl<C> std::fmt::Debug for Connection<C> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("closed", &self.task.is_finished()).finish()
    }
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves an interface to every process that connects, until dropped.
///
/// Must be awaited within a `LocalSet`.
pub async fn listen(listener: TcpListener, client: capnp::capability::Client) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        while connections.try_join_next().is_some() {}
        let Ok(network) = network(stream, Side::Server) else { continue };
        let system = RpcSystem::new(network, Some(client.clone()));
        connections.spawn_local(async move {
            let _ = system.await;
        });
    }
}

fn network(
    stream: TcpStream,
    side: Side,
) -> io::Result<Box<twoparty::VatNetwork<impl futures::AsyncRead + Unpin>>> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let writer = futures::io::BufWriter::new(writer);
    let mut options = capnp::message::ReaderOptions::new();
    // Snapshots and chunks are larger than the library's default bound.
    options.traversal_limit_in_words(Some(64 * 1024 * 1024));
    let reader = futures::io::BufReader::new(reader);
    Ok(Box::new(twoparty::VatNetwork::new(reader, writer, side, options)))
}
