//! Cap'n Proto connections, and the listening side.

use std::{
    cell::RefCell,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use capnp::capability::FromClientHook;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use egret_record::FastMap;
use futures::AsyncReadExt as _;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::OnceCell,
    task::JoinHandle,
    time::timeout,
};
use tokio_util::compat::TokioAsyncReadCompatExt as _;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to another process, closed when dropped.
pub struct Connection<C> {
    client: C,
    task: JoinHandle<()>,
}

impl<C: FromClientHook + Clone> Connection<C> {
    /// Connects from the local address `local_ip`; must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, or a timeout when connecting takes too long.
    pub async fn open(local_ip: IpAddr, address: SocketAddr) -> io::Result<Self> {
        let socket = if local_ip.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if !local_ip.is_unspecified() {
            socket.bind(SocketAddr::new(local_ip, 0))?;
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

    /// Returns the remote interface.
    #[must_use]
    pub fn client(&self) -> C {
        self.client.clone()
    }

    /// Returns whether the connection has ended.
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

/// Connection pool with one connection per address, shared by concurrent callers.
pub struct Connections<C> {
    local_ip: IpAddr,
    open: RefCell<FastMap<SocketAddr, Slot<C>>>,
}

/// A slot for one connection, which the first caller opens.
type Slot<C> = Rc<OnceCell<Rc<Connection<C>>>>;

impl<C> std::fmt::Debug for Connections<C> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connections").field("local_ip", &self.local_ip).finish_non_exhaustive()
    }
}

impl<C: FromClientHook + Clone> Connections<C> {
    /// Creates an empty pool that connects from the local address `local_ip`.
    #[must_use]
    pub fn new(local_ip: IpAddr) -> Self {
        Self { local_ip, open: RefCell::default() }
    }

    /// Returns the connection to an address, opening it if needed; must be called within a
    /// `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, or a timeout when connecting takes too long.
    pub async fn get(&self, address: SocketAddr) -> io::Result<Rc<Connection<C>>> {
        let slot = self.slot(address);
        let opened = slot
            .get_or_try_init(async || Connection::open(self.local_ip, address).await.map(Rc::new))
            .await;
        opened.cloned()
    }

    /// Removes the connection to an address, which closes when its last user drops it.
    pub fn remove(&self, address: SocketAddr) {
        self.open.borrow_mut().remove(&address);
    }

    /// Removes all connections; each closes when its last user drops it.
    pub fn clear(&self) {
        self.open.borrow_mut().clear();
    }

    fn slot(&self, address: SocketAddr) -> Slot<C> {
        let mut open = self.open.borrow_mut();
        if open
            .get(&address)
            .and_then(|slot| slot.get())
            .is_some_and(|connection| connection.is_closed())
        {
            open.remove(&address);
        }
        open.entry(address).or_default().clone()
    }
}

/// Accepts connections and serves `client` on each of them, until dropped.
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
    // Snapshots and chunks exceed the library's default limit.
    options.traversal_limit_in_words(Some(64 * 1024 * 1024));
    let reader = futures::io::BufReader::new(reader);
    Ok(Box::new(twoparty::VatNetwork::new(reader, writer, side, options)))
}
