//! Raft messages to the other control members.

use std::{cell::RefCell, io::ErrorKind, net::IpAddr, rc::Rc, time::Duration};

use egret_consensus::Envelope;
use egret_record::{FastMap, MemberId};
use egret_rpc::{Connection, schema::control, write_envelope};
use tokio::{sync::mpsc, time::timeout};

/// Limit of messages queued for one member; further ones are dropped, as a network would.
const QUEUED_MAX: usize = 256;
/// Limit of messages to one member in flight.
const IN_FLIGHT_MAX: usize = 128;
/// Timeout of a connection attempt to a member: several round trips between regions. An attempt
/// to a member without power blocks messages for the whole timeout, although the member may be
/// back already.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a reply, after which the connection is closed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

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
    let mut connection: Option<Rc<Connection<control::Client>>> = None;
    let in_flight = Rc::new(RefCell::new(0_usize));
    let broken = Rc::new(RefCell::new(false));
    while let Some(message) = queue.recv().await {
        if broken.replace(false) || connection.as_ref().is_some_and(|open| open.is_closed()) {
            connection = None;
            in_flight.replace(0);
        }
        if connection.is_none() {
            connection = open(local_ip, &address).await;
        }
        let Some(open) = &connection else {
            // Messages queued meanwhile are stale; heartbeats will trigger newer ones.
            while queue.try_recv().is_ok() {}
            continue;
        };
        if *in_flight.borrow() >= IN_FLIGHT_MAX {
            continue;
        }
        let mut call = open.client().consensus_request();
        write_envelope(&message, call.get().init_envelope());
        let reply = call.send().promise;
        *in_flight.borrow_mut() += 1;
        let (in_flight, broken, open) = (in_flight.clone(), broken.clone(), open.clone());
        tokio::task::spawn_local(async move {
            if !matches!(timeout(REPLY_TIMEOUT, reply).await, Ok(Ok(_))) {
                broken.replace(true);
            }
            let left = in_flight.borrow().saturating_sub(1);
            in_flight.replace(left);
            drop(open);
        });
    }
}

async fn open(local_ip: IpAddr, address: &str) -> Option<Rc<Connection<control::Client>>> {
    let address = address.parse().ok()?;
    let opened = timeout(CONNECT_TIMEOUT, Connection::open(local_ip, address)).await;
    match opened.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
        Ok(connection) => Some(Rc::new(connection)),
        Err(error) => {
            log::debug!("event=member_unreachable address={address} error=\"{error}\"");
            None
        }
    }
}
