//! Bodies that are charged to the memory budget of their process.

use std::{cell::RefCell, fmt, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use egret_record::FastMap;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::{
    connections::ConnectionState,
    memory::{BodyId, BodyPace, MemoryBudget},
};

/// The memory budget of a process, with the bodies to notify when they are rejected.
#[derive(Debug)]
pub struct SharedBudget {
    budget: RefCell<MemoryBudget>,
    holders: RefCell<FastMap<BodyId, Holder>>,
    epoch: Instant,
}

/// Who must be told that the memory of a body is needed for others.
#[derive(Debug)]
enum Holder {
    /// The reader of a request.
    Request(Arc<Notify>),
    /// The connection of a caller that does not read its response.
    Response(Arc<ConnectionState>),
}

/// Limits on a body that is read.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub bytes: usize,
    /// The time left to read it.
    pub time: Duration,
    /// Its slowest pace.
    pub pace: BodyPace,
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is larger than the limit.
    #[error("the body is larger than {0} bytes; send less")]
    TooLarge(usize),
    /// It did not arrive in time, or too slowly.
    #[error("the body did not come in time")]
    TooSlow,
    /// There is no memory left for it.
    #[error("too many bodies arrive at the same time; try again later")]
    NoMemory,
    /// The connection ended before the body did.
    #[error("the body broke off")]
    Truncated,
}

impl BodyError {
    /// Returns its name in metrics.
    const fn reason(self) -> &'static str {
        match self {
            Self::TooLarge(_) => "too_large",
            Self::TooSlow => "slow_body",
            Self::NoMemory => "memory",
            Self::Truncated => "truncated",
        }
    }
}

impl SharedBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(MemoryBudget::new(limit)),
            holders: RefCell::default(),
            epoch: Instant::now(),
        })
    }

    /// Adds a response; its connection is closed if its memory is needed for others.
    pub(crate) fn begin(self: &Rc<Self>, connection: Arc<ConnectionState>) -> Charge {
        self.begin_for(Holder::Response(connection))
    }

    fn begin_for(self: &Rc<Self>, holder: Holder) -> Charge {
        let id = self.budget.borrow_mut().begin(self.epoch.elapsed());
        self.holders.borrow_mut().insert(id, holder);
        Charge { budget: self.clone(), id }
    }

    /// Reads a body into one buffer that grows as bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] if the body exceeds a limit or breaks off. The rest of it is not
    /// read, so the connection must be closed.
    pub async fn read(
        self: &Rc<Self>,
        body: Incoming,
        limits: BodyLimits,
    ) -> Result<(Bytes, Option<Charge>), BodyError> {
        let result = self.read_body(body, limits).await;
        if let Err(error) = &result {
            metrics::counter!("egret_gateway_rejected_total", "reason" => error.reason())
                .increment(1);
        }
        result
    }

    async fn read_body(
        self: &Rc<Self>,
        mut body: Incoming,
        limits: BodyLimits,
    ) -> Result<(Bytes, Option<Charge>), BodyError> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), None));
        }
        if usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX) > limits.bytes {
            return Err(BodyError::TooLarge(limits.bytes));
        }
        let rejected = Arc::new(Notify::new());
        let charge = self.begin_for(Holder::Request(rejected.clone()));
        // Frames are copied: each one that is kept would hold a buffer of the connection.
        let mut buffer: Vec<u8> = Vec::new();
        let began = self.epoch.elapsed();
        let mut last = began;
        let deadline = began + limits.time;
        let due = |received, last| limits.pace.due(received, began, last).min(deadline);
        let timer = sleep_until(self.epoch + due(0, last));
        tokio::pin!(timer);
        loop {
            tokio::select! {
                biased;
                () = rejected.notified() => return Err(BodyError::NoMemory),
                () = timer.as_mut() => {
                    let due = due(buffer.len(), last);
                    if due <= self.epoch.elapsed() {
                        return Err(BodyError::TooSlow);
                    }
                    timer.as_mut().reset(self.epoch + due);
                }
                frame = body.frame() => {
                    let Some(frame) = frame else { break };
                    let frame = frame.map_err(|_| BodyError::Truncated)?;
                    let Ok(bytes) = frame.into_data() else { continue };
                    let length = buffer.len() + bytes.len();
                    if length > limits.bytes {
                        return Err(BodyError::TooLarge(limits.bytes));
                    }
                    if length > buffer.capacity() {
                        let capacity = (buffer.capacity() * 2).clamp(length, limits.bytes);
                        charge.add(capacity - buffer.capacity());
                        buffer.reserve_exact(capacity - buffer.len());
                    }
                    buffer.extend_from_slice(&bytes);
                    last = self.epoch.elapsed();
                }
            }
        }
        charge.complete();
        Ok((buffer.into(), Some(charge)))
    }

    /// Returns whether more of a response may be kept for a caller that does not read it, who holds
    /// `held` bytes of it.
    pub(crate) fn may_read_ahead(&self, held: usize) -> bool {
        self.budget.borrow().may_read_ahead(held)
    }

    fn show(&self) {
        // A budget is far below the number from which on floating point loses bytes.
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        metrics::gauge!("egret_gateway_memory_bytes").set(self.budget.borrow().used() as f64);
    }
}

/// The memory of one body, released when dropped.
pub struct Charge {
    budget: Rc<SharedBudget>,
    id: BodyId,
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Charge").field(&self.id).finish()
    }
}

impl Charge {
    /// Charges more bytes; notifies the bodies that must be rejected for them.
    pub(crate) fn add(&self, bytes: usize) {
        let shared = &self.budget;
        let victims = shared.budget.borrow_mut().charge(self.id, bytes, shared.epoch.elapsed());
        for victim in victims {
            match shared.holders.borrow_mut().remove(&victim) {
                Some(Holder::Request(rejected)) => rejected.notify_one(),
                Some(Holder::Response(connection)) => {
                    metrics::counter!("egret_gateway_rejected_total", "reason" => "unread")
                        .increment(1);
                    connection.close.notify_one();
                }
                None => {}
            }
        }
        shared.show();
    }

    /// Records that the body is whole and its request may run.
    fn complete(&self) {
        self.budget.budget.borrow_mut().complete(self.id);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.budget.borrow_mut().end(self.id);
        self.budget.holders.borrow_mut().remove(&self.id);
        self.budget.show();
    }
}
