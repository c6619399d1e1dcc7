//! Messages to the other control members.

use std::{cell::RefCell, io::ErrorKind, net::IpAddr, rc::Rc, time::Duration};

use egret_consensus::Envelope;
use egret_record::{FastMap, MemberId};
use egret_rpc::{Connection, schema::control, write_envelope};
use tokio::{sync::mpsc, time::timeout};

/// Messages that wait for one member; later ones are dropped, as a network would.
const QUEUE_MESSAGES: usize = 256;
/// Messages to one member that are not answered yet.
const UNANSWERED_MESSAGES: usize = 128;
/// Longest time to connect to a member: several round trips between regions. One without power
/// answers nothing, and messages to it wait meanwhile although it may be back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for an answer before the connection is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Senders to the other control members.
#[derive(Debug)]
pub(crate) struct Peers {
    /// The address of this instance from which it connects.
    own: IpAddr,
    queues: RefCell<FastMap<(MemberId, String), mpsc::Sender<Envelope>>>,
}

impl Peers {
    pub(crate) fn new(own: IpAddr) -> Self {
        Self { own, queues: RefCell::default() }
    }

    /// Sends messages; those to unknown or slow members are dropped.
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
                .or_insert_with(|| start_sender(self.own, &address));
            let _ = queue.try_send(message);
        }
    }
}

fn start_sender(own: IpAddr, address: &str) -> mpsc::Sender<Envelope> {
    let (sender, queue) = mpsc::channel(QUEUE_MESSAGES);
    tokio::task::spawn_local(send_all(own, address.to_owned(), queue));
    sender
}

async fn send_all(own: IpAddr, address: String, mut queue: mpsc::Receiver<Envelope>) {
    let mut connection: Option<Rc<Connection<control::Client>>> = None;
    let unanswered = Rc::new(RefCell::new(0_usize));
    let broken = Rc::new(RefCell::new(false));
    while let Some(message) = queue.recv().await {
        if broken.replace(false) || connection.as_ref().is_some_and(|open| open.is_closed()) {
            connection = None;
            unanswered.replace(0);
        }
        if connection.is_none() {
            connection = open(own, &address).await;
        }
        let Some(open) = &connection else {
            // What was queued meanwhile is stale; heartbeats bring newer messages.
            while queue.try_recv().is_ok() {}
            continue;
        };
        if *unanswered.borrow() >= UNANSWERED_MESSAGES {
            continue;
        }
        let mut call = open.client().consensus_request();
        write_envelope(&message, call.get().init_envelope());
        let answer = call.send().promise;
        *unanswered.borrow_mut() += 1;
        let (unanswered, broken, open) = (unanswered.clone(), broken.clone(), open.clone());
        tokio::task::spawn_local(async move {
            if !matches!(timeout(ANSWER_TIMEOUT, answer).await, Ok(Ok(_))) {
                broken.replace(true);
            }
            let left = unanswered.borrow().saturating_sub(1);
            unanswered.replace(left);
            drop(open);
        });
    }
}

async fn open(own: IpAddr, address: &str) -> Option<Rc<Connection<control::Client>>> {
    let address = address.parse().ok()?;
    let opened = timeout(CONNECT_TIMEOUT, Connection::open(own, address)).await;
    match opened.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
        Ok(connection) => Some(Rc::new(connection)),
        Err(error) => {
            log::debug!("event=member_unreachable address={address} error=\"{error}\"");
            None
        }
    }
}
