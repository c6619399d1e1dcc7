//! Requests to whichever control instance leads.

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

/// Longest time that one try may take.
///
/// It leaves room within a lease to leave a frozen leader and poll the next one.
const TRY_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest pause after a try that found no leader.
const PAUSE_MIN: Duration = Duration::from_millis(20);
/// Longest pause after several of them; short beside a lease.
const PAUSE_MAX: Duration = Duration::from_millis(320);
/// Requests that wait for the control thread.
const QUEUE_REQUESTS: usize = 4_096;

/// Why the control state gave no reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No control instance leads or can be reached.
    #[error("no control instance answered in time; check that a quorum runs, then try again")]
    Unreachable,
    /// The control thread of this process has ended.
    #[error("this process is shutting down; ask another")]
    Closed,
}

/// What a poll brought.
#[derive(Debug)]
pub(crate) enum Poll {
    /// Changes, and the end of the lease that goes with them.
    Delta {
        delta: Delta,
        until: Instant,
    },
    SessionGone,
}

enum Attempt<T> {
    Done(T),
    NotLeader(Option<SocketAddr>),
    Failed,
}

/// A client of the control instances that follows the leader.
pub struct ControlClient {
    /// Kept while they last, so that looking for the leader opens none anew.
    connections: Connections<control::Client>,
    addresses: Vec<SocketAddr>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    next: usize,
    /// The instance that was asked last, or that is said to lead.
    current: Option<SocketAddr>,
}

impl std::fmt::Debug for ControlClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlClient").field("addresses", &self.addresses).finish_non_exhaustive()
    }
}

impl ControlClient {
    /// Makes a client of the control instances at `addresses`, reached from `own`.
    #[must_use]
    pub fn new(own: IpAddr, addresses: Vec<SocketAddr>) -> Self {
        // Different processes begin with different instances.
        let next = rand::rng().random_range(0..addresses.len().max(1));
        Self {
            connections: Connections::new(own),
            addresses,
            state: RefCell::new(State { next, ..State::default() }),
        }
    }

    /// Sends a request until it is replied to or `deadline` has passed.
    ///
    /// A request may be carried out although the reply was lost, and is then
    /// sent again; all of them bear that.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] when no leader replied in time.
    pub async fn call(&self, request: &Request, deadline: Instant) -> Result<Reply, CallError> {
        let bytes = encode(request);
        self.until(deadline, async |client| {
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

    /// Waits until a revision is in force everywhere; tells whether it is.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] when no leader replied in time.
    pub async fn wait_in_force(
        &self,
        revision: Revision,
        deadline: Instant,
    ) -> Result<bool, CallError> {
        /// Longest wait of one try.
        const WAIT_MILLIS: u64 = 400;
        loop {
            let in_force = self
                .until(deadline, async |client| {
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
        self.until(deadline, async |client| {
            // Each try asks for a lease of its own: the instance counts it from when that try arrived.
            let sent = Instant::now();
            let mut call = client.poll_request();
            call.get().set_session(session.0);
            call.get().set_confirmed(confirmed.0);
            let response = call.send().promise.await?;
            let result = response.get()?.get_result()?;
            let lease = Duration::from_millis(result.get_lease_millis());
            Ok(match result.which()? {
                schema::poll_result::Delta(delta) => match decode(delta?) {
                    Ok(delta) => Attempt::Done(Poll::Delta { delta, until: sent + lease }),
                    Err(_) => Attempt::Failed,
                },
                schema::poll_result::NotLeader(address) => not_leader(address?)?,
                schema::poll_result::SessionGone(()) => Attempt::Done(Poll::SessionGone),
            })
        })
        .await
    }

    async fn until<T>(
        &self,
        deadline: Instant,
        attempt: impl AsyncFn(control::Client) -> capnp::Result<Attempt<T>>,
    ) -> Result<T, CallError> {
        let mut pause = PAUSE_MIN;
        loop {
            let until = deadline.min(Instant::now() + TRY_TIMEOUT);
            let address = self.current();
            let tried = timeout_at(until, async {
                let connection = self.connections.get(address).await?;
                attempt(connection.client()).await
            });
            match tried.await {
                Ok(Ok(Attempt::Done(value))) => return Ok(value),
                Ok(Ok(Attempt::NotLeader(leader))) => {
                    self.state.borrow_mut().current = leader.filter(|leader| *leader != address);
                }
                Ok(Ok(Attempt::Failed) | Err(_)) | Err(_) => self.give_up(address),
            }
            if Instant::now() >= deadline {
                return Err(CallError::Unreachable);
            }
            sleep(rand::rng().random_range(pause / 2..pause)).await;
            pause = PAUSE_MAX.min(pause * 2);
        }
    }

    /// Returns the instance to ask: the leader if it is known, or the next one.
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

    /// Closes the connection to an instance that did not answer, and asks the next one.
    fn give_up(&self, address: SocketAddr) {
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

/// What a traffic thread asks of the control thread.
#[derive(Debug)]
enum Queued {
    Call(Box<Request>, Instant, oneshot::Sender<Result<Reply, CallError>>),
    InForce(Revision, Instant, oneshot::Sender<Result<bool, CallError>>),
}

/// A handle by which traffic threads reach the control thread's client.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    queue: mpsc::Sender<Queued>,
}

/// The control thread's end of a [`ControlHandle`].
#[derive(Debug)]
pub struct ControlQueue(mpsc::Receiver<Queued>);

impl ControlHandle {
    /// Makes a handle and the queue that [`ControlQueue::serve`] empties.
    #[must_use]
    pub fn new() -> (Self, ControlQueue) {
        let (sender, queue) = mpsc::channel(QUEUE_REQUESTS);
        (Self { queue: sender }, ControlQueue(queue))
    }

    /// Sends a request until it is replied to or `deadline` has passed.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no reply came.
    pub async fn call(&self, request: Request, deadline: Instant) -> Result<Reply, CallError> {
        let (sender, reply) = oneshot::channel();
        self.ask(Queued::Call(Box::new(request), deadline, sender), reply).await
    }

    /// Waits until a revision is in force everywhere; tells whether it is.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no reply came.
    pub async fn wait_in_force(
        &self,
        revision: Revision,
        deadline: Instant,
    ) -> Result<bool, CallError> {
        let (sender, reply) = oneshot::channel();
        self.ask(Queued::InForce(revision, deadline, sender), reply).await
    }

    async fn ask<T>(
        &self,
        queued: Queued,
        reply: oneshot::Receiver<Result<T, CallError>>,
    ) -> Result<T, CallError> {
        self.queue.send(queued).await.map_err(|_| CallError::Closed)?;
        reply.await.map_err(|_| CallError::Closed)?
    }
}

impl ControlQueue {
    /// Serves the handles from `client`; must be awaited within a `LocalSet`.
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
