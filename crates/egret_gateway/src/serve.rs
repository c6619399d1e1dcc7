//! Connections of clients.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    future::poll_fn,
    io::{self, IoSlice},
    pin::Pin,
    rc::{Rc, Weak},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use egret_record::FastMap;
use http::{Request, Response};
use http_body::Body as _;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinSet, yield_now},
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use crate::{
    ResponseBody, SharedBudget,
    connections::{ConnectionLimits, ConnectionState, Phase, dispensable},
    read_ahead::{ReadAhead, TrackedBody},
};

/// Delay after a failure to accept a connection, as when file descriptors are used up.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest buffer for the head of a request that `hyper` allows, in bytes.
const HEAD_BYTES_MIN: usize = 8 * 1024;

/// Interval at which connections are checked against their time limits.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// The open connections of clients of a process, over all its listeners.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    /// The memory for responses that are not read.
    memory: Rc<SharedBudget>,
    epoch: Instant,
    next: Cell<u64>,
    open: RefCell<FastMap<u64, Arc<ConnectionState>>>,
}

impl Connections {
    /// Creates a set of at most `max` connections, whose unread responses are kept in `memory`.
    #[must_use]
    pub fn new(max: usize, memory: Rc<SharedBudget>) -> Rc<Self> {
        Rc::new(Self {
            max,
            memory,
            epoch: Instant::now(),
            next: Cell::new(0),
            open: RefCell::default(),
        })
    }

    fn insert(self: &Rc<Self>) -> OpenConnection {
        let id = self.next.get();
        self.next.set(id + 1);
        let state = Arc::new(ConnectionState::new(self.epoch));
        self.open.borrow_mut().insert(id, state.clone());
        OpenConnection { connections: self.clone(), id, state }
    }

    /// Closes connections until there is room for another; returns whether there is.
    async fn make_room(&self) -> bool {
        while self.open.borrow().len() >= self.max {
            if !self.close_dispensable().await {
                return false;
            }
        }
        true
    }

    /// Closes the connection that can be dispensed with first; returns whether there was one.
    async fn close_dispensable(&self) -> bool {
        let now = self.epoch.elapsed();
        let victim = {
            let open = self.open.borrow();
            let open = open.iter().map(|(id, state)| (*id, state.phase()));
            dispensable(open.map(|(id, (phase, since))| (id, phase, since)), now)
        };
        let Some(victim) = victim else { return false };
        self.close(victim, "descriptors");
        // The task of the connection ends before this one runs again.
        yield_now().await;
        true
    }

    fn close(&self, id: u64, reason: &'static str) {
        // It no longer counts, and is not chosen again.
        if let Some(state) = self.open.borrow_mut().remove(&id) {
            metrics::counter!("egret_gateway_rejected_total", "reason" => reason).increment(1);
            state.close.notify_one();
        }
    }

    /// Closes the connections of which the next head is overdue.
    fn close_expired(&self, limits: &ConnectionLimits) {
        let now = self.epoch.elapsed();
        let expired: Vec<_> = (self.open.borrow().iter())
            .filter_map(|(id, state)| {
                let (phase, since) = state.phase();
                limits.is_expired(phase, since, now).then_some((*id, phase))
            })
            .collect();
        for (id, phase) in expired {
            let reason = match phase {
                Phase::Idle => "idle",
                Phase::Stalled => "unread",
                _ => "slow_head",
            };
            self.close(id, reason);
        }
    }
}

/// A connection that is open, until dropped.
struct OpenConnection {
    connections: Rc<Connections>,
    id: u64,
    state: Arc<ConnectionState>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

/// Serves connections until `close` turns true, then drains them.
///
/// The time limits are those that `limits` returns at present. When `close` turns true, connections
/// end once their requests are answered. If `connections` is full, one that can be dispensed with is
/// closed for a new one. Must be awaited within a `LocalSet`.
pub async fn serve<H, F>(
    listener: TcpListener,
    connections: Rc<Connections>,
    limits: impl Fn() -> ConnectionLimits,
    mut close: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let handler = Rc::new(handler);
    let mut tasks = JoinSet::new();
    let mut checks = interval(CHECK_PERIOD);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    if matches!(Errno::from_io_error(&error), Some(Errno::MFILE | Errno::NFILE)) {
                        // Others on the instance may have used up the descriptors.
                        connections.close_dispensable().await;
                    }
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            _ = checks.tick() => {
                connections.close_expired(&limits());
                continue;
            }
            _ = close.wait_for(|close| *close) => break,
        };
        while tasks.try_join_next().is_some() {}
        if !connections.make_room().await {
            metrics::counter!("egret_gateway_rejected_total", "reason" => "descriptors")
                .increment(1);
            continue;
        }
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let open = connections.insert();
        let (handler, mut close, limits) = (handler.clone(), close.clone(), limits());
        tasks.spawn_local(async move {
            let state = open.state.clone();
            let current: Rc<RefCell<Weak<RefCell<ReadAhead>>>> = Rc::default();
            let service = service_fn(|mut request: Request<Incoming>| {
                let has_body = !request.body().is_end_stream();
                state.set(if has_body { Phase::Body } else { Phase::Serving });
                request.extensions_mut().insert(state.clone());
                // Boxed, so that an idle connection does not take the memory of a request.
                let response = Box::pin(handler(request));
                let (state, current) = (state.clone(), current.clone());
                async move {
                    Ok::<_, Infallible>(response.await.map(|body| {
                        let body = TrackedBody::new(body, state);
                        current.replace(Rc::downgrade(&body.ahead()));
                        body
                    }))
                }
            });
            let connection = http1::Builder::new()
                .auto_date_header(false)
                .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
                .serve_connection(
                    TokioIo::new(TrackedStream { stream, state: open.state.clone() }),
                    service,
                );
            tokio::pin!(connection);
            let mut is_closing = false;
            loop {
                // The response is read on in the same task, which its pieces wake.
                let connected = poll_fn(|context| {
                    let result = connection.as_mut().poll(context);
                    if result.is_pending() && open.state.is_blocked() {
                        let ahead = current.borrow().upgrade();
                        if let Some(ahead) = ahead {
                            let memory = &open.connections.memory;
                            ahead.borrow_mut().fill(memory, &open.state, context);
                        }
                    }
                    result
                });
                tokio::select! {
                    result = connected => {
                        log_end(result);
                        break;
                    }
                    () = open.state.close.notified() => break,
                    _ = close.wait_for(|close| *close), if !is_closing => is_closing = true,
                }
                connection.as_mut().graceful_shutdown();
            }
        });
    }
    drop(listener);
    loop {
        tokio::select! {
            ended = tasks.join_next() => if ended.is_none() { break },
            _ = checks.tick() => connections.close_expired(&limits()),
        }
    }
}

fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
}

/// A stream whose reads and writes are recorded.
struct TrackedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.state.record_read();
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.state.record_write(result.is_ready());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.state.record_write(result.is_ready());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
