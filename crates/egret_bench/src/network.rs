//! Simulated links between instances, with delays and cuts.
//!
//! Each instance has two loopback addresses: one from which it connects, and one
//! that it announces, on which a forwarder listens. So a forwarder knows both
//! ends of each connection. A cut is silent: connections stay open, and bytes are
//! held back until the cut is healed.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, mpsc},
    time::{Instant, sleep, sleep_until},
};

/// Maximum number of queued pieces for each direction of a connection.
const QUEUED_PIECES: usize = 64;
/// Pause after a failure to accept a connection.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(100);
/// Maximum size of a piece, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// One-way delays of the links, as in the users' deployments.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delays {
    /// Inside a data centre.
    pub inside: Duration,
    /// Between data centres, each of which is in a region of its own.
    pub between: Duration,
}

impl Delays {
    /// The delays of the Kumamoto deployment.
    pub const KUMAMOTO: Self = Self { inside: Duration::ZERO, between: Duration::from_millis(3) };
}

#[derive(Debug, Default)]
struct Links {
    /// The name and data centre of the instance at an address.
    instances: BTreeMap<IpAddr, (String, String)>,
    /// Directed pairs of instance names or data centres whose link is cut.
    cuts: BTreeSet<(String, String)>,
}

/// Simulated links between the instances of a deployment.
#[derive(Debug, Clone)]
pub struct Network {
    /// Second byte of the addresses, random so that networks side by side differ.
    subnet: u8,
    delays: Delays,
    links: Arc<Mutex<Links>>,
    healed: Arc<Notify>,
    traffic: Arc<TrafficCounters>,
}

/// Counts what the forwarders have carried.
#[derive(Debug, Default)]
struct TrafficCounters {
    bytes: AtomicU64,
    pieces: AtomicU64,
    /// Bytes from one data centre to another.
    between: Mutex<BTreeMap<(String, String), u64>>,
}

impl Network {
    /// Creates a network without cuts.
    #[must_use]
    pub fn new(delays: Delays) -> Self {
        Self {
            subnet: rand::random_range(1..=254),
            delays,
            links: Arc::default(),
            healed: Arc::default(),
            traffic: Arc::default(),
        }
    }

    /// Adds an instance. Returns its own address and the one to announce.
    ///
    /// # Panics
    ///
    /// Panics when the addresses run out, with tens of thousands of instances.
    #[must_use]
    pub fn add_instance(&self, name: &str, data_centre: &str) -> (IpAddr, IpAddr) {
        let mut links = self.lock();
        let index = links.instances.len();
        let (high, low) = (index / 250, index % 250);
        let high = u8::try_from(high).expect("few instances");
        let low = u8::try_from(low).expect("below 250");
        // The third byte is odd in an instance's own address, even in the announced one.
        let own = Ipv4Addr::new(127, self.subnet, high * 2 + 1, low + 1).into();
        links.instances.insert(own, (name.to_owned(), data_centre.to_owned()));
        (own, Ipv4Addr::new(127, self.subnet, high * 2 + 2, low + 1).into())
    }

    /// Forwards connections to `announced` on to `target` until the runtime ends.
    ///
    /// Returns the address with the port that the kernel assigned.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address cannot be used.
    pub fn forward(&self, announced: IpAddr, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = std::net::TcpListener::bind((announced, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let network = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, from)) = listener.accept().await else {
                    eprintln!("cannot accept a connection; raise the limit on open files");
                    sleep(ACCEPT_BACK_OFF).await;
                    continue;
                };
                let network = network.clone();
                tokio::spawn(async move { network.connect(stream, from.ip(), target).await });
            }
        });
        Ok(address)
    }

    /// Returns the bytes and pieces that all forwarders have carried.
    ///
    /// A piece is the result of one read from a socket, usually one message.
    #[must_use]
    pub fn totals(&self) -> (u64, u64) {
        let TrafficCounters { bytes, pieces, .. } = &*self.traffic;
        (bytes.load(Ordering::Relaxed), pieces.load(Ordering::Relaxed))
    }

    /// Returns the bytes carried from each data centre to each other one.
    ///
    /// # Panics
    ///
    /// Never in practice: no holder of the lock panics.
    #[must_use]
    pub fn bytes_between(&self) -> BTreeMap<(String, String), u64> {
        self.traffic.between.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the data centres of two instances if they differ.
    fn centre_pair(&self, from: IpAddr, to: IpAddr) -> Option<(String, String)> {
        let links = self.lock();
        let (_, one) = links.instances.get(&from)?;
        let (_, other) = links.instances.get(&to)?;
        (one != other).then(|| (one.clone(), other.clone()))
    }

    /// Cuts the link from one instance or data centre to another, in this direction only.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.lock().cuts.insert((from.to_owned(), to.to_owned()));
    }

    /// Cuts the link between two instances or data centres in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Heals all cuts.
    pub fn heal(&self) {
        self.lock().cuts.clear();
        self.healed.notify_waiters();
    }

    async fn connect(self, stream: TcpStream, from: IpAddr, target: SocketAddr) {
        // A connection needs both directions, so it waits until neither is cut.
        self.wait_passable(from, target.ip()).await;
        self.wait_passable(target.ip(), from).await;
        let Ok(other) = TcpStream::connect(target).await else { return };
        let _ = (stream.set_nodelay(true), other.set_nodelay(true));
        let (read, write) = stream.into_split();
        let (other_read, other_write) = other.into_split();
        tokio::join!(
            self.relay(read, other_write, from, target.ip()),
            self.relay(other_read, write, target.ip(), from),
        );
    }

    async fn relay(
        &self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        from: IpAddr,
        to: IpAddr,
    ) {
        let delay = self.delay(from, to);
        let centre_pair = self.centre_pair(from, to);
        let (sender, mut pieces) = mpsc::channel::<(Instant, Bytes)>(QUEUED_PIECES);
        let reading = async move {
            let mut piece = vec![0; PIECE_BYTES];
            while let Ok(length) = read.read(&mut piece).await {
                self.traffic.bytes.fetch_add(length as u64, Ordering::Relaxed);
                self.traffic.pieces.fetch_add(1, Ordering::Relaxed);
                if let Some(pair) = &centre_pair {
                    let between = self.traffic.between.lock();
                    let mut between = between.expect("no holder of the lock panics");
                    *between.entry(pair.clone()).or_default() += length as u64;
                }
                let arrival = Instant::now() + delay;
                let content = Bytes::copy_from_slice(&piece[..length]);
                if sender.send((arrival, content)).await.is_err() || length == 0 {
                    return;
                }
            }
        };
        let writing = async {
            while let Some((arrival, content)) = pieces.recv().await {
                sleep_until(arrival).await;
                self.wait_passable(from, to).await;
                if content.is_empty() || write.write_all(&content).await.is_err() {
                    break;
                }
            }
            let _ = write.shutdown().await;
        };
        tokio::join!(reading, writing);
    }

    /// Waits until the link from one instance to another is not cut.
    async fn wait_passable(&self, from: IpAddr, to: IpAddr) {
        loop {
            let healed = self.healed.notified();
            if !self.is_cut(from, to) {
                return;
            }
            healed.await;
        }
    }

    fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        let links = self.lock();
        let names = |address: IpAddr| match links.instances.get(&address) {
            Some((name, data_centre)) => [name.clone(), data_centre.clone()],
            None => [String::new(), String::new()],
        };
        let to = names(to);
        names(from)
            .iter()
            .any(|from| to.iter().any(|to| links.cuts.contains(&(from.clone(), to.clone()))))
    }

    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        let links = self.lock();
        let centre = |address: IpAddr| links.instances.get(&address).map(|(_, centre)| centre);
        match (centre(from), centre(to)) {
            (Some(one), Some(other)) if one != other => self.delays.between,
            _ => self.delays.inside,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().expect("no holder of the lock panics")
    }
}
