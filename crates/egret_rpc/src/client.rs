//! Requests to the leader of the control instances, with retries.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use egret_record::{Delta, Revision, SessionId};
use rand::RngExt as _;
use thiserror::Error;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    connection::Connections,
    request::{Reply, Request, decode, encode},
    schema::{self, control},
};

/// Timeout of one attempt.
///
/// Short enough to give up on a frozen leader and poll the next one within a lease.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest back-off after an attempt that found no leader.
const BACK_OFF_MIN: Duration = Duration::from_millis(20);
/// Longest back-off after several such attempts; short compared with a lease.
const BACK_OFF_MAX: Duration = Duration::from_millis(320);
/// Capacity of the queue to the control thread, in requests.
const QUEUE_CAPACITY: usize = 4_096;

/// Error for a request to the control state that got no reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No leader was found or reached before the deadline.
    #[error("no control instance answered in time; check that a quorum runs, then try again")]
    Unreachable,
    /// The control thread of this process has ended.
    #[error("this process is shutting down; ask another")]
    Closed,
}

/// The result of a poll.
#[derive(Debug)]
pub(crate) enum Poll {
    /// Changes to the view, and the new end of the lease.
    Delta {
        delta: Delta,
        lease_end: Instant,
    },
    SessionGone,
}

enum Attempt<T> {
    Done(T),
    NotLeader(Option<SocketAddr>),
    Failed,
}

/// Client of the control instances that sends each request to the leader.
pub struct ControlClient {
    /// Reused while they are open, so that searching for the leader opens no new ones.
    connections: Connections<control::Client>,
    addresses: Vec<SocketAddr>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    next: usize,
    /// The instance of the last request, or the one that was reported as leader.
    current: Option<SocketAddr>,
}

impl std::fmt::Debug for ControlClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlClient").field("addresses", &self.addresses).finish_non_exhaustive()
    }
}

impl ControlClient {
    /// Creates a client of `addresses` that connects from the local address `local_ip`.
    #[must_use]
    pub fn new(local_ip: IpAddr, addresses: Vec<SocketAddr>) -> Self {
        // Starts at a random instance, to spread the processes over all of them.
        let next = rand::rng().random_range(0..addresses.len().max(1));
        Self {
            connections: Connections::new(local_ip),
            addresses,
            state: RefCell::new(State { next, ..State::default() }),
        }
    }

    /// Sends a request, with retries, until a reply arrives or `deadline` passes.
    ///
    /// When a reply is lost, the request is sent again although it may already
    /// have been applied; all requests tolerate that.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] when no leader replied in time.
    pub async fn call(&self, request: &Request, deadline: Instant) -> Result<Reply, CallError> {
        let bytes = encode(request);
        self.retry_until(deadline, async |client| {
            let mut call = client.call_request();
            call.get().set_request(&bytes);
            let response = call.send().promise.await?;
            let result = response.get()?.get_result()?;
            Ok(match result.which()? {
                schema::call_result::Reply(reply) => match decode::<Reply>(reply?) {
                    Ok(Reply::Unavailable { .. }) | Err(_) => Attempt::Failed,
                    Ok(reply) => Attempt::Done(reply),
                },
                schema::call_result::NotLeader(address) => not_leader(address?)?,
            })
        })
        .await
    }

    /// Waits until a revision is in force everywhere. Returns whether it is.
    ///
    /// A revision is in force once no holder can act on an older view: each has
    /// confirmed it or its lease has ended.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] when no leader replied in time.
    pub async fn wait_in_force(
        &self,
        revision: Revision,
        deadline: Instant,
    ) -> Result<bool, CallError> {
        /// Longest wait of one attempt, in milliseconds.
        const WAIT_MILLIS: u64 = 400;
        loop {
            let in_force = self
                .retry_until(deadline, async |client| {
                    let mut call = client.in_force_request();
                    call.get().set_revision(revision.0);
                    call.get().set_wait_millis(WAIT_MILLIS);
                    let response = call.send().promise.await?;
                    Ok(match response.get()?.get_result()?.which()? {
                        schema::in_force_result::InForce(in_force) => Attempt::Done(in_force),
                        schema::in_force_result::NotLeader(address) => not_leader(address?)?,
                    })
                })
                .await?;
            if in_force || Instant::now() >= deadline {
                return Ok(in_force);
            }
        }
    }

    pub(crate) async fn poll(
        &self,
        session: SessionId,
        confirmed: Revision,
        deadline: Instant,
    ) -> Result<Poll, CallError> {
        self.retry_until(deadline, async |client| {
            // Each attempt renews the lease on its own, so the lease runs from when this attempt was
            // sent, which is before the leader renews it.
            let sent = Instant::now();
            let mut call = client.poll_request();
            call.get().set_session(session.0);
            call.get().set_confirmed(confirmed.0);
            let response = call.send().promise.await?;
            let result = response.get()?.get_result()?;
            let lease = Duration::from_millis(result.get_lease_millis());
            Ok(match result.which()? {
                schema::poll_result::Delta(delta) => match decode(delta?) {
                    Ok(delta) => Attempt::Done(Poll::Delta { delta, lease_end: sent + lease }),
                    Err(_) => Attempt::Failed,
                },
                schema::poll_result::NotLeader(address) => not_leader(address?)?,
                schema::poll_result::SessionGone(()) => Attempt::Done(Poll::SessionGone),
            })
        })
        .await
    }

    async fn retry_until<T>(
        &self,
        deadline: Instant,
        attempt: impl AsyncFn(control::Client) -> capnp::Result<Attempt<T>>,
    ) -> Result<T, CallError> {
        let mut back_off = BACK_OFF_MIN;
        loop {
            let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            let address = self.current();
            let result = timeout_at(attempt_deadline, async {
                let connection = self.connections.get(address).await?;
                attempt(connection.client()).await
            });
            match result.await {
                Ok(Ok(Attempt::Done(value))) => return Ok(value),
                Ok(Ok(Attempt::NotLeader(leader))) => {
                    self.state.borrow_mut().current = leader.filter(|leader| *leader != address);
                }
                Ok(Ok(Attempt::Failed) | Err(_)) | Err(_) => self.disconnect(address),
            }
            if Instant::now() >= deadline {
                return Err(CallError::Unreachable);
            }
            sleep(rand::rng().random_range(back_off / 2..back_off)).await;
            back_off = BACK_OFF_MAX.min(back_off * 2);
        }
    }

    /// Returns the address of the leader if it is known, or of the next instance to try.
    fn current(&self) -> SocketAddr {
        let mut state = self.state.borrow_mut();
        let next = (state.next + 1) % self.addresses.len();
        match state.current {
            Some(current) => current,
            None => {
                state.next = next;
                state.current = Some(self.addresses[next]);
                self.addresses[next]
            }
        }
    }

    /// Closes the connection to an instance that did not reply, and moves on to the next one.
    fn disconnect(&self, address: SocketAddr) {
        self.connections.remove(address);
        let mut state = self.state.borrow_mut();
        if state.current == Some(address) {
            state.current = None;
        }
    }
}

fn not_leader<T>(address: capnp::text::Reader<'_>) -> capnp::Result<Attempt<T>> {
    Ok(Attempt::NotLeader(address.to_str()?.parse().ok()))
}

/// A request from a traffic thread to the control thread.
#[derive(Debug)]
enum Queued {
    Call(Box<Request>, Instant, oneshot::Sender<Result<Reply, CallError>>),
    InForce(Revision, Instant, oneshot::Sender<Result<bool, CallError>>),
}

/// Handle through which traffic threads use the control thread's [`ControlClient`].
#[derive(Debug, Clone)]
pub struct ControlHandle {
    queue: mpsc::Sender<Queued>,
}

/// The receiving end of a [`ControlHandle`], served on the control thread.
#[derive(Debug)]
pub struct ControlQueue(mpsc::Receiver<Queued>);

impl ControlHandle {
    /// Creates a handle and its queue, which [`ControlQueue::serve`] processes.
    #[must_use]
    pub fn new() -> (Self, ControlQueue) {
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        (Self { queue: sender }, ControlQueue(queue))
    }

    /// Sends a request, with retries, until a reply arrives or `deadline` passes.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no reply arrived.
    pub async fn call(&self, request: Request, deadline: Instant) -> Result<Reply, CallError> {
        let (sender, reply) = oneshot::channel();
        self.enqueue(Queued::Call(Box::new(request), deadline, sender), reply).await
    }

    /// Waits until a revision is in force everywhere. Returns whether it is.
    ///
    /// A revision is in force once no holder can act on an older view: each has
    /// confirmed it or its lease has ended.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no reply arrived.
    pub async fn wait_in_force(
        &self,
        revision: Revision,
        deadline: Instant,
    ) -> Result<bool, CallError> {
        let (sender, reply) = oneshot::channel();
        self.enqueue(Queued::InForce(revision, deadline, sender), reply).await
    }

    async fn enqueue<T>(
        &self,
        queued: Queued,
        reply: oneshot::Receiver<Result<T, CallError>>,
    ) -> Result<T, CallError> {
        self.queue.send(queued).await.map_err(|_| CallError::Closed)?;
        reply.await.map_err(|_| CallError::Closed)?
    }
}

impl ControlQueue {
    /// Sends the queued requests through `client`; must be awaited within a `LocalSet`.
    pub async fn serve(mut self, client: Rc<ControlClient>) {
        while let Some(queued) = self.0.recv().await {
            let client = client.clone();
            tokio::task::spawn_local(async move {
                match queued {
                    Queued::Call(request, deadline, reply) => {
                        let _ = reply.send(client.call(&request, deadline).await);
                    }
                    Queued::InForce(revision, deadline, reply) => {
                        let _ = reply.send(client.wait_in_force(revision, deadline).await);
                    }
                }
            });
        }
    }
}
