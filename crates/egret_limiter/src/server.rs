//! The agent's side: replies to the demands of entries.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use egret_grants::Allocator;
use egret_rpc::{Follower, decode, encode};
use tokio::{net::UdpSocket, time::sleep};

use crate::{DATAGRAM_BYTES_MAX, DemandMessage, GrantMessage};

/// Delay before the socket is opened or read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Divides the slots of the engine beside this agent among entries.
#[derive(Debug)]
pub struct GrantServer {
    address: SocketAddr,
    follower: Rc<Follower>,
    current: RefCell<Option<CurrentEngine>>,
}

/// The incarnation of the engine whose slots are divided.
#[derive(Debug)]
struct CurrentEngine {
    incarnation: u64,
    allocator: Allocator,
}

impl GrantServer {
    /// Creates a server at `address` for the engine beside this agent.
    #[must_use]
    pub fn new(address: SocketAddr, follower: Rc<Follower>) -> Self {
        Self { address, follower, current: RefCell::default() }
    }

    /// Serves until dropped.
    ///
    /// Failures are logged and retried: entries use their quotas meanwhile.
    pub async fn run(&self) {
        loop {
            let Err(error) = self.serve().await;
            log::warn!("event=grants_failed address={} error=\"{error}\"", self.address);
            sleep(RETRY_DELAY).await;
        }
    }

    async fn serve(&self) -> io::Result<std::convert::Infallible> {
        let socket = UdpSocket::bind(self.address).await?;
        let mut buffer = [0; DATAGRAM_BYTES_MAX];
        loop {
            let (length, from) = socket.recv_from(&mut buffer).await?;
            let Ok(message) = decode::<DemandMessage>(&buffer[..length]) else {
                metrics::counter!("egret_limiter_demands_total", "outcome" => "unreadable")
                    .increment(1);
                continue;
            };
            let Some(reply) = self.reply(message) else {
                metrics::counter!("egret_limiter_demands_total", "outcome" => "stale").increment(1);
                continue;
            };
            metrics::counter!("egret_limiter_demands_total", "outcome" => "granted").increment(1);
            // A reply that cannot be sent is as good as lost; the entry asks again.
            if let Err(error) = socket.send_to(&encode(&reply), from).await {
                log::debug!("event=grant_unsent to={from} error=\"{error}\"");
            }
        }
    }

    /// Replies to a demand, unless it is for an incarnation of the engine that has ended.
    fn reply(&self, message: DemandMessage) -> Option<GrantMessage> {
        let DemandMessage { engine: id, incarnation, slots, demand } = message;
        let now = self.follower.now();
        let mut current = self.current.borrow_mut();
        if current.as_ref().is_some_and(|known| known.incarnation > incarnation) {
            return None;
        }
        let known = current.take().filter(|known| known.incarnation == incarnation);
        let engine =
            current.insert(known.unwrap_or_else(|| CurrentEngine {
                incarnation,
                allocator: Allocator::new(slots),
            }));
        engine.allocator.set_slots(slots, now);
        let grant = engine.allocator.apply(&demand, now);
        Some(GrantMessage { engine: id, incarnation, grant })
    }
}
