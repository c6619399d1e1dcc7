//! What the outcomes of requests say of a backend server.
//!
//! Status checks cost and may be wrong either way, so a backend server is
//! judged by the requests that it was given. A circuit breaker opens after
//! failures that show it dead, or after several in a row that may be chance,
//! and lets one request through when its time is over.

use std::time::Duration;

/// Failures in a row that may be chance, after which the breaker opens.
const FAILURES_MAX: u32 = 4;
/// First time for which the breaker stays open.
const OPEN_FIRST: Duration = Duration::from_millis(300);
/// Longest time for which the breaker stays open.
const OPEN_MAX: Duration = Duration::from_millis(2_400);

/// How a request to a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It cannot be reached, or said nothing for too long.
    Dead,
    /// It broke off or spoilt one answer.
    Broken,
    /// It reported an error of its own.
    Error,
}

/// The circuit breaker of one backend server.
///
/// ```
/// use std::time::Duration;
/// use egret_route::{Failure, CircuitBreaker};
///
/// let mut health = CircuitBreaker::default();
/// let now = Duration::from_secs(1);
/// health.failed(Failure::Dead, now);
/// assert!(!health.is_usable(now));
/// assert!(health.is_usable(now + Duration::from_secs(1)));
/// health.succeeded();
/// assert!(health.is_usable(now));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CircuitBreaker {
    failures: u32,
    /// Times in a row that the breaker opened.
    openings: u32,
    open_until: Duration,
    /// Whether the one request that tests an open breaker is under way.
    probing: bool,
}

impl CircuitBreaker {
    /// Tells whether a request may be sent at `now`.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        self.openings == 0 || (!self.probing && now >= self.open_until)
    }

    /// Tells whether the breaker is open or being tested.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.openings > 0
    }

    /// Notes that a request is sent.
    pub const fn sent(&mut self) {
        self.probing = self.openings > 0;
    }

    /// Notes that a request ended without a word on the backend server's health.
    pub const fn undecided(&mut self) {
        self.probing = false;
    }

    /// Notes that a request was answered.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes that a request failed at `now`; tells whether the breaker opened.
    pub fn failed(&mut self, failure: Failure, now: Duration) -> bool {
        self.failures += 1;
        let opens = failure == Failure::Dead || self.openings > 0 || self.failures >= FAILURES_MAX;
        if opens && now >= self.open_until {
            let pause = OPEN_FIRST * 2_u32.pow(self.openings.min(8));
            self.openings += 1;
            self.open_until = now + pause.min(OPEN_MAX);
        }
        self.probing = false;
        opens
    }
}
