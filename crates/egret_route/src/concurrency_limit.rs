//! The bound before one backend server.
//!
//! The agent is the only process that sees its backend server's real load, so
//! the bound on concurrent requests is kept here; entries only hold hints.

use std::time::Duration;

use crate::refusal::{Code, Refusal};

/// Concurrent requests that a cold backend server bears.
const COLD_LIMIT: u32 = 1;
/// Answered requests in a row after which the bound of a cold one doubles.
const ANSWERS_PER_STEP: u32 = 2;
/// How many times slower than usual a first token shows a cold engine.
const COLD_SLOWDOWN: u32 = 4;
/// Shortest first-token delay that may count as slow.
const SLOW_MIN: Duration = Duration::from_millis(250);
/// Part of the usual delay that one more sample replaces.
const SMOOTHING: u32 = 8;

/// Whether a backend server bears its full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmup {
    /// It bears only light load, so far `limit` requests.
    Cold {
        /// The bound at the moment.
        limit: u32,
        /// Answers since the bound was last widened.
        answers: u32,
    },
    /// It bears its full load.
    Warm,
}

/// The right to one request, to be given back.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit must be given back with ConcurrencyLimit::release"]
pub struct Permit(());

/// Bounds the concurrent requests that one backend server is given.
///
/// ```
/// use egret_route::ConcurrencyLimit;
///
/// let mut gate = ConcurrencyLimit::new(8);
/// let permit = gate.acquire()?;
/// assert!(gate.acquire().is_err(), "a cold backend server gets one request at a time");
/// gate.release(permit, true);
/// # Ok::<(), egret_route::Refusal>(())
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    full: u32,
    warmth: Warmup,
    running: u32,
    /// Usual time until an answer begins, when warm.
    usual: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Makes the gate of a cold backend server that bears `full` requests when warm.
    #[must_use]
    pub const fn new(full: u32) -> Self {
        let warmth = Warmup::Cold { limit: COLD_LIMIT, answers: 0 };
        Self { full, warmth, running: 0, usual: None }
    }

    /// Takes a permit, or says how long to stay away.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with [`Code::Overloaded`] when the backend server
    /// has as much as it can bear.
    pub fn acquire(&mut self) -> Result<Permit, Refusal> {
        if self.running >= self.limit() {
            let wait = self.usual.unwrap_or(SLOW_MIN);
            let message = "the backend server has all it can bear; come back later";
            return Err(Refusal::not_run(Code::Overloaded, message).retry_after(wait));
        }
        self.running += 1;
        Ok(Permit(()))
    }

    /// Gives a permit back; `answered` tells whether the request ended whole.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is given back only once")]
    pub fn release(&mut self, permit: Permit, answered: bool) {
        let Permit(()) = permit;
        self.running = self.running.saturating_sub(1);
        let Warmup::Cold { limit, answers } = self.warmth else { return };
        if !answered {
            return;
        }
        self.warmth = if answers + 1 < ANSWERS_PER_STEP {
            Warmup::Cold { limit, answers: answers + 1 }
        } else if limit * 2 < self.full {
            Warmup::Cold { limit: limit * 2, answers: 0 }
        } else {
            Warmup::Warm
        };
    }

    /// Notes how long an answer took to begin; a slow one shows a cold engine.
    pub fn record_delay(&mut self, delay: Duration) {
        let Some(usual) = self.usual else {
            self.usual = Some(delay);
            return;
        };
        if delay > usual * COLD_SLOWDOWN && delay > SLOW_MIN {
            self.restart_warmup();
        } else {
            self.usual = Some(usual - usual / SMOOTHING + delay / SMOOTHING);
        }
    }

    /// Starts again as for a cold backend server.
    pub const fn restart_warmup(&mut self) {
        self.warmth = Warmup::Cold { limit: COLD_LIMIT, answers: 0 };
    }

    /// Returns the bound at the moment.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self.warmth {
            Warmup::Cold { limit, .. } => limit.min(self.full),
            Warmup::Warm => self.full,
        }
    }

    /// Returns the requests that run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Tells whether the backend server bears its full load.
    #[must_use]
    pub const fn warmth(&self) -> Warmup {
        self.warmth
    }
}
