//! One backend server, with its connections and its health.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use egret_fleet::{BackendStatus, EngineStatus, version_of};
use egret_record::WeightVersion;
use egret_route::{AdaptiveLimit, BackOff, CircuitBreaker, ColdRateLimit};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
};

/// Longest time that connecting may take; an instance without power never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes that are read at once from a backend server; an event of a stream has a few hundred.
const READ_BYTES: usize = 4 * 1024;
/// Longest time for which an idle connection is kept when the other side says nothing.
const IDLE_MAX: Duration = Duration::from_secs(4);
/// Time before the other side's own limit at which an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle connections that are kept to one backend server.
const IDLE_CONNECTIONS: usize = 16;

/// A connection to a backend server; dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) reused: bool,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

/// One lifetime of a backend server, as this process knows it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) status: RefCell<BackendStatus>,
    /// What the agent beside it saw.
    pub(crate) seen: RefCell<Option<EngineStatus>>,
    pub(crate) health: RefCell<CircuitBreaker>,
    pub(crate) pace: RefCell<ColdRateLimit>,
    /// Requests of this process that it has.
    pub(crate) own: Cell<u32>,
    /// How many requests of this process it is given; set when the first is placed.
    pub(crate) bound: Cell<Option<AdaptiveLimit>>,
    /// How long the last answer took to begin.
    pub(crate) delay: Cell<Duration>,
    /// When that was.
    heard: Cell<Duration>,
    /// It refused a request for lack of room; it gets none until then.
    pub(crate) full_until: Cell<Duration>,
    /// Whether it stops what runs when its weights change, so that streams had better not move
    /// there before.
    pub(crate) moves_streams: Cell<bool>,
    /// What its answers said of further requests.
    pub(crate) hold: Cell<BackOff>,
    idle: RefCell<Vec<Idle>>,
}

impl Backend {
    pub(crate) fn new(status: BackendStatus, hold: BackOff) -> Self {
        Self {
            status: RefCell::new(status),
            seen: RefCell::default(),
            health: RefCell::default(),
            pace: RefCell::default(),
            own: Cell::new(0),
            bound: Cell::new(None),
            delay: Cell::new(Duration::ZERO),
            heard: Cell::default(),
            full_until: Cell::new(Duration::ZERO),
            moves_streams: Cell::default(),
            hold: Cell::new(hold),
            idle: RefCell::default(),
        }
    }

    /// Notes that an answer began after `delay`.
    pub(crate) fn answered(&self, delay: Duration, objective: Duration, now: Duration) {
        self.delay.set(delay);
        self.heard.set(now);
        if let Some(mut bound) = self.bound.get() {
            bound.record_response(self.own.get(), delay, objective, now);
            self.bound.set(Some(bound));
        }
    }

    /// Tells whether a request sent now may begin much later.
    pub(crate) fn is_sluggish(&self) -> bool {
        /// Time that a request takes at most on a link that is well, with a short queue.
        const WELL: Duration = Duration::from_millis(600);
        self.health.borrow().is_tripped() || self.delay.get() > WELL
    }

    /// Tells whether answers have begun at once until now.
    pub(crate) fn is_quick(&self, now: Duration) -> bool {
        /// Time to the head of an answer where nobody waits: reading a prompt and some steps.
        const QUICK: Duration = Duration::from_millis(300);
        /// Time for which the last answer tells how it is.
        const RECENT: Duration = Duration::from_millis(1_000);
        let heard = self.heard.get();
        !heard.is_zero() && now < heard + RECENT && self.delay.get() <= QUICK
    }

    /// Notes that it had no room for a request.
    pub(crate) fn was_full(&self, now: Duration) {
        if let Some(mut bound) = self.bound.get() {
            bound.decrease(now);
            self.bound.set(Some(bound));
        }
    }

    /// Returns the version of a model that it can answer with.
    pub(crate) fn version_of(&self, model: &str) -> Option<WeightVersion> {
        let status = self.status.borrow();
        let announced = status.version_of(model);
        let seen = self.seen.borrow();
        // The agent looks more often than the engine announces itself.
        let seen = seen.as_ref().filter(|seen| seen.incarnation == status.stamp.incarnation);
        seen.map_or(announced, |seen| version_of(&seen.models, model))
    }

    /// Returns an idle connection, or opens one.
    ///
    /// A fresh one is always opened for requests that may run only once: on a
    /// kept one nobody knows whether the other side has just closed it.
    pub(crate) async fn connect(&self, fresh: bool, now: Duration) -> std::io::Result<Connection> {
        if !fresh && let Some(connection) = self.take_idle(now) {
            return Ok(connection);
        }
        let address = self.status.borrow().address;
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        metrics::counter!("egret_gateway_backend_connections_total").increment(1);
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BYTES))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=backend_connection_ended address={address} error=\"{error}\"");
            }
        });
        Ok(Connection { sender, reused: false, task: task.abort_handle() })
    }

    fn take_idle(&self, now: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|one| now < one.until && !one.connection.sender.is_closed());
        let at = idle.iter().rposition(|one| one.connection.sender.is_ready())?;
        let mut connection = idle.remove(at).connection;
        connection.reused = true;
        Some(connection)
    }

    /// Keeps a connection for later requests once its answer has been read.
    pub(crate) fn keep(
        self: &Rc<Self>,
        mut connection: Connection,
        keep: Option<Duration>,
        now: Duration,
    ) {
        let keep = keep.map_or(IDLE_MAX, |keep| keep.saturating_sub(IDLE_MARGIN)).min(IDLE_MAX);
        let backend = Rc::downgrade(self);
        spawn_local(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            let Some(backend) = backend.upgrade() else { return };
            let mut idle = backend.idle.borrow_mut();
            if idle.len() < IDLE_CONNECTIONS {
                idle.push(Idle { connection, until: now + keep });
            }
        });
    }

    /// Closes all idle connections, after one has shown that they may be dead.
    pub(crate) fn forget_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}
