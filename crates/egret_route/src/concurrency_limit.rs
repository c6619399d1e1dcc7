//! Concurrency limit for one backend server, with slow start.
//!
//! The agent is the only process that sees its backend server's real load, so it
//! enforces the limit on concurrent requests; entries only have load hints.

use std::time::Duration;

use crate::refusal::{Code, Refusal};

/// Concurrent requests that a cold backend server can take.
const COLD_LIMIT: u32 = 1;
/// Complete responses after which the limit of a cold backend server doubles.
const RESPONSES_PER_STEP: u32 = 2;
/// A first token that takes this many times the usual delay shows a cold engine.
const COLD_SLOWDOWN: u32 = 4;
/// Shortest first-token delay that may count as slow.
const SLOW_DELAY_MIN: Duration = Duration::from_millis(250);
/// Weight of one sample in the moving average of the usual delay, as one part in this many.
const SMOOTHING: u32 = 8;

/// Whether a backend server can take its full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmup {
    /// It can take only light load, at the moment `limit` requests.
    Cold {
        /// The current limit.
        limit: u32,
        /// Complete responses since the limit was last raised.
        responses: u32,
    },
    /// It can take its full load.
    Warm,
}

/// The right to send one request, to be released after it.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit must be released with ConcurrencyLimit::release"]
pub struct Permit(());

/// Limits the concurrent requests to one backend server.
///
/// ```
/// use egret_route::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(8);
/// let permit = limit.acquire()?;
/// assert!(limit.acquire().is_err(), "a cold backend server gets one request at a time");
/// limit.release(permit, true);
/// # Ok::<(), egret_route::Refusal>(())
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    full: u32,
    warmup: Warmup,
    running: u32,
    /// Usual time until a response starts, when warm.
    usual_delay: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a cold backend server that can take `full` requests when warm.
    #[must_use]
    pub const fn new(full: u32) -> Self {
        let warmup = Warmup::Cold { limit: COLD_LIMIT, responses: 0 };
        Self { full, warmup, running: 0, usual_delay: None }
    }

    /// Acquires a permit for one request, or returns when to retry.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with [`Code::Overloaded`] when the backend server
    /// is at its limit.
    pub fn acquire(&mut self) -> Result<Permit, Refusal> {
        if self.running >= self.limit() {
            let wait = self.usual_delay.unwrap_or(SLOW_DELAY_MIN);
            let message = "the backend server has all it can bear; come back later";
            return Err(Refusal::not_run(Code::Overloaded, message).retry_after(wait));
        }
        self.running += 1;
        Ok(Permit(()))
    }

    /// Releases a permit; `answered` is whether the response was complete.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is released only once")]
    pub fn release(&mut self, permit: Permit, answered: bool) {
        let Permit(()) = permit;
        self.running = self.running.saturating_sub(1);
        let Warmup::Cold { limit, responses } = self.warmup else { return };
        if !answered {
            return;
        }
        self.warmup = if responses + 1 < RESPONSES_PER_STEP {
            Warmup::Cold { limit, responses: responses + 1 }
        } else if limit * 2 < self.full {
            Warmup::Cold { limit: limit * 2, responses: 0 }
        } else {
            Warmup::Warm
        };
    }

    /// Records how long a response took to start; a slow one restarts the slow start.
    pub fn record_delay(&mut self, delay: Duration) {
        let Some(usual_delay) = self.usual_delay else {
            self.usual_delay = Some(delay);
            return;
        };
        if delay > usual_delay * COLD_SLOWDOWN && delay > SLOW_DELAY_MIN {
            self.restart_warmup();
        } else {
            self.usual_delay = Some(usual_delay - usual_delay / SMOOTHING + delay / SMOOTHING);
        }
    }

    /// Restarts the slow start, as for a cold backend server.
    pub const fn restart_warmup(&mut self) {
        self.warmup = Warmup::Cold { limit: COLD_LIMIT, responses: 0 };
    }

    /// Returns the current limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self.warmup {
            Warmup::Cold { limit, .. } => limit.min(self.full),
            Warmup::Warm => self.full,
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether the backend server can take its full load.
    #[must_use]
    pub const fn warmup(&self) -> Warmup {
        self.warmup
    }
}
