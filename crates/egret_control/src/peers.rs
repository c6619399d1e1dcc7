//! Raft messages to the other control members.

use std::{
    cell::{Cell, RefCell},
    io::ErrorKind,
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use egret_consensus::Envelope;
use egret_record::{FastMap, MemberId};
use egret_rpc::{Connection, schema::control, write_envelope};
use tokio::{sync::mpsc, time::timeout};

/// Limit of messages queued for one member; further ones are dropped, as a network would.
const QUEUED_MAX: usize = 256;
/// Limit of messages to one member in flight.
const IN_FLIGHT_MAX: usize = 128;
/// Limit of commands and snapshots to one member in flight, in bytes, and so of the memory that a
/// member which stands still takes; some messages of log entries.
const IN_FLIGHT_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Timeout of a connection attempt to a member: several round trips between regions. An attempt
/// to a member without power blocks messages for the whole timeout, although the member may be
/// back already.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the reply to a small message, after which the connection is closed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Rate at which a large message arrives at least: less than half of a link between regions.
const BYTES_PER_SECOND_MIN: u32 = 1_000_000;

/// Message queues to the other control members.
#[derive(Debug)]
pub(crate) struct Peers {
    /// The local address of outgoing connections.
    local_ip: IpAddr,
    queues: RefCell<FastMap<(MemberId, String), mpsc::Sender<Envelope>>>,
}

impl Peers {
    pub(crate) fn new(local_ip: IpAddr) -> Self {
        Self { local_ip, queues: RefCell::default() }
    }

    /// Queues messages for sending; drops those to unknown or slow members.
    pub(crate) fn send(
        &self,
        messages: Vec<Envelope>,
        address_of: impl Fn(MemberId) -> Option<String>,
    ) {
        for message in messages {
            let Some(address) = address_of(message.to) else { continue };
            let mut queues = self.queues.borrow_mut();
            let queue = queues
                .entry((message.to, address.clone()))
                .or_insert_with(|| start_sender(self.local_ip, &address));
            let _ = queue.try_send(message);
        }
    }
}

fn start_sender(local_ip: IpAddr, address: &str) -> mpsc::Sender<Envelope> {
    let (sender, queue) = mpsc::channel(QUEUED_MAX);
    tokio::task::spawn_local(send_all(local_ip, address.to_owned(), queue));
    sender
}

async fn send_all(local_ip: IpAddr, address: String, mut queue: mpsc::Receiver<Envelope>) {
    let mut link: Option<Rc<Link>> = None;
    while let Some(message) = queue.recv().await {
        link = link.filter(|link| link.is_usable());
        if link.is_none() {
            link = open(local_ip, &address).await.map(Rc::new);
        }
        let Some(link) = &link else {
            // Messages queued meanwhile are stale; heartbeats will trigger newer ones.
            while queue.try_recv().is_ok() {}
            continue;
        };
        let bytes = message.body.data_bytes();
        if !link.has_room(bytes) {
            continue;
        }
        let mut call = link.connection.client().consensus_request();
        write_envelope(&message, call.get().init_envelope());
        let reply = call.send().promise;
        link.add(bytes);
        let link = link.clone();
        tokio::task::spawn_local(async move {
            if !matches!(timeout(reply_timeout(bytes), reply).await, Ok(Ok(_))) {
                link.is_broken.set(true);
            }
            link.remove(bytes);
        });
    }
}

/// A connection to a member, with what was sent and is not replied to yet.
struct Link {
    connection: Connection<control::Client>,
    messages: Cell<usize>,
    bytes: Cell<usize>,
    is_broken: Cell<bool>,
}

impl Link {
    fn is_usable(&self) -> bool {
        !self.is_broken.get() && !self.connection.is_closed()
    }

    /// Returns whether a message of this size may be sent; a large one only alone.
    fn has_room(&self, bytes: usize) -> bool {
        let in_flight = self.bytes.get();
        let fits = in_flight == 0 || in_flight + bytes <= IN_FLIGHT_BYTES_MAX;
        self.messages.get() < IN_FLIGHT_MAX && (bytes == 0 || fits)
    }

    fn add(&self, bytes: usize) {
        self.messages.update(|messages| messages + 1);
        self.bytes.update(|in_flight| in_flight + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.messages.update(|messages| messages - 1);
        self.bytes.update(|in_flight| in_flight - bytes);
    }
}

/// Returns the timeout of the reply to a message of this size.
fn reply_timeout(bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    REPLY_TIMEOUT + Duration::from_secs(1) * bytes / BYTES_PER_SECOND_MIN
}

async fn open(local_ip: IpAddr, address: &str) -> Option<Link> {
    let address = address.parse().ok()?;
    let opened = timeout(CONNECT_TIMEOUT, Connection::open(local_ip, address)).await;
    match opened.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
        Ok(connection) => Some(Link {
            connection,
            messages: Cell::new(0),
            bytes: Cell::new(0),
            is_broken: Cell::new(false),
        }),
        Err(error) => {
            log::debug!("event=member_unreachable address={address} error=\"{error}\"");
            None
        }
    }
}
