//! One backend server, with its connections and its circuit breaker.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use egret_fleet::{BackendStatus, EngineStatus, LoadedModel, version_of};
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

use crate::tables::Tables;

/// Timeout for connecting; an instance without power never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Read buffer of a connection, in bytes; an event of a stream has a few hundred.
const READ_BYTES: usize = 4 * 1024;
/// Longest time for which an idle connection is kept, also if the backend server names none.
const IDLE_TIME_MAX: Duration = Duration::from_secs(4);
/// Time before the backend server's own idle timeout at which a connection is dropped.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to one backend server.
const IDLE_CONNECTIONS_MAX: usize = 16;

/// A connection to a backend server; closed at once when dropped.
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
struct IdleConnection {
    connection: Connection,
    until: Duration,
}

/// One incarnation of a backend server, as this process knows it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) status: RefCell<BackendStatus>,
    /// What its agent knows of its weights, or an earlier agent of those at its address.
    observed: RefCell<Option<EngineStatus>>,
    pub(crate) breaker: RefCell<CircuitBreaker>,
    pub(crate) cold_limit: RefCell<ColdRateLimit>,
    /// Requests of this process in flight there.
    pub(crate) in_flight: Cell<u32>,
    /// Limit of `in_flight`; set when a slot there is first considered.
    pub(crate) limit: Cell<Option<AdaptiveLimit>>,
    /// How long the last response took to start.
    pub(crate) delay: Cell<Duration>,
    /// When the last response started.
    last_response: Cell<Duration>,
    /// It refused a request because it was full; it gets none until this time.
    pub(crate) full_until: Cell<Duration>,
    /// Whether it stops running requests when its weights change; streams should not fail over
    /// to it before that.
    pub(crate) interrupts_streams: Cell<bool>,
    /// The back-off that it asked for in its responses.
    pub(crate) back_off: Cell<BackOff>,
    /// Whether it is being found out if its process has ended.
    pub(crate) end_probed: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
}

impl Backend {
    pub(crate) fn new(status: BackendStatus, back_off: BackOff) -> Self {
        Self {
            status: RefCell::new(status),
            observed: RefCell::default(),
            breaker: RefCell::default(),
            cold_limit: RefCell::default(),
            in_flight: Cell::new(0),
            limit: Cell::new(None),
            delay: Cell::new(Duration::ZERO),
            last_response: Cell::default(),
            full_until: Cell::new(Duration::ZERO),
            interrupts_streams: Cell::default(),
            back_off: Cell::new(back_off),
            end_probed: Cell::default(),
            idle: RefCell::default(),
        }
    }

    /// Records that a response started after `delay`.
    pub(crate) fn record_response(&self, delay: Duration, objective: Duration, now: Duration) {
        self.delay.set(delay);
        self.last_response.set(now);
        if let Some(mut limit) = self.limit.get() {
            limit.record_response(self.in_flight.get(), delay, objective, now);
            self.limit.set(Some(limit));
        }
    }

    /// Returns whether a response to a request sent now may start much later.
    pub(crate) fn is_slow(&self) -> bool {
        /// Longest delay over a link that works well, with a short queue.
        const NORMAL_DELAY_MAX: Duration = Duration::from_millis(600);
        self.breaker.borrow().is_tripped() || self.delay.get() > NORMAL_DELAY_MAX
    }

    /// Returns whether the last response is recent and started without queueing.
    pub(crate) fn is_fast(&self, now: Duration) -> bool {
        /// Delay of a response without a queue: processing the prompt and some decoding steps.
        const FAST_DELAY_MAX: Duration = Duration::from_millis(300);
        /// Age up to which the last response shows the current delay.
        const RESPONSE_AGE_MAX: Duration = Duration::from_millis(1_000);
        let last_response = self.last_response.get();
        !last_response.is_zero()
            && now < last_response + RESPONSE_AGE_MAX
            && self.delay.get() <= FAST_DELAY_MAX
    }

    /// Records that it refused a request because it was full.
    pub(crate) fn record_full(&self, now: Duration) {
        if let Some(mut limit) = self.limit.get() {
            limit.decrease(now);
            self.limit.set(Some(limit));
        }
    }

    /// Updates what is known of its weights from the agents of engines at its address, and from what
    /// the control instances have recorded of the engine there.
    pub(crate) fn observe(&self, observed: &[&EngineStatus], recorded: Option<&EngineStatus>) {
        let status = self.status.borrow();
        let is_own = |other: &EngineStatus| other.incarnation == status.stamp.incarnation;
        let mut known = self.observed.borrow_mut();
        let own = observed.iter().find(|observed| is_own(observed));
        // An agent that started anew says nothing until it has proven the weights again.
        if own.is_none()
            && let Some(recorded) = recorded.filter(|recorded| is_own(recorded))
            && known.as_ref().is_none_or(|known| !is_own(known) || known.orders <= recorded.orders)
        {
            // The engine may have begun to load others since.
            let is_loaded = |model: &&LoadedModel| status.models.contains(model);
            let models = recorded.models.iter().filter(is_loaded).cloned().collect();
            *known = Some(EngineStatus { models, ..*recorded });
            return;
        }
        let Some(latest) = own.or_else(|| observed.iter().max_by_key(|other| other.incarnation))
        else {
            return;
        };
        // An agent may not have seen this incarnation yet, or may have seen that it has ended.
        if known.as_ref().is_none_or(|known| known.incarnation <= latest.incarnation) {
            *known = Some((**latest).clone());
        }
    }

    /// Returns the version of a model that it can serve.
    ///
    /// If agents load its weights, that is what its agent knows to be whole: the engine itself
    /// reports any weights that it has loaded.
    pub(crate) fn version_of(&self, model: &str, tables: &Tables) -> Option<WeightVersion> {
        let status = self.status.borrow();
        match self.observed.borrow().as_ref() {
            Some(observed) if observed.incarnation == status.stamp.incarnation => {
                version_of(&observed.models, model)
            }
            None if !tables.is_loaded_by_agents(&status.service) => status.version_of(model),
            _ => None,
        }
    }

    /// Returns whether it can serve a request that names no model.
    pub(crate) fn has_whole_weights(&self, tables: &Tables) -> bool {
        let status = self.status.borrow();
        !tables.is_loaded_by_agents(&status.service)
            || self.observed.borrow().as_ref().is_some_and(|observed| {
                observed.incarnation == status.stamp.incarnation
                    && observed.models.iter().any(|loaded| loaded.complete)
            })
    }

    /// Returns an idle connection, or opens a new one if there is none or `fresh` is set.
    ///
    /// Requests that may run only once always need a fresh connection: an idle one
    /// may just have been closed by the other side.
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
        idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        let index = idle.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        let mut connection = idle.remove(index).connection;
        connection.reused = true;
        Some(connection)
    }

    /// Keeps a connection for later requests once its response has been read.
    pub(crate) fn recycle(
        self: &Rc<Self>,
        mut connection: Connection,
        keep_alive: Option<Duration>,
        now: Duration,
    ) {
        let keep_alive = keep_alive
            .map_or(IDLE_TIME_MAX, |time| time.saturating_sub(IDLE_MARGIN))
            .min(IDLE_TIME_MAX);
        let backend = Rc::downgrade(self);
        spawn_local(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            let Some(backend) = backend.upgrade() else { return };
            let mut idle = backend.idle.borrow_mut();
            if idle.len() < IDLE_CONNECTIONS_MAX {
                idle.push(IdleConnection { connection, until: now + keep_alive });
            }
        });
    }

    /// Closes all idle connections, after a failure that suggests that they are dead.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}
