//! Circuit breaker of one backend server.
//!
//! Health checks cost requests and may be wrong either way, so a backend server
//! is judged by the outcomes of real requests. Its circuit breaker opens at once
//! when it cannot be reached, and after several failures in a row that may be
//! chance; once the open time is over, it lets one request through as a probe.

use std::time::Duration;

/// Failures in a row after which the breaker opens, if each may be chance.
const FAILURES_MAX: u32 = 4;
/// Time for which the breaker stays open at first; doubles each time that it opens again.
const OPEN_FIRST: Duration = Duration::from_millis(300);
/// Longest time for which the breaker stays open.
const OPEN_MAX: Duration = Duration::from_millis(2_400);

/// How a request to a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It could not be reached, or did not respond in time.
    Unreachable,
    /// It closed the connection, cut off a response, or sent one that cannot be used.
    BadResponse,
    /// It responded with a server error.
    ServerError,
}

/// The circuit breaker of one backend server.
///
/// ```
/// use std::time::Duration;
/// use egret_route::{Failure, CircuitBreaker};
///
/// let mut breaker = CircuitBreaker::default();
/// let now = Duration::from_secs(1);
/// breaker.record_failure(Failure::Unreachable, now);
/// assert!(!breaker.is_usable(now));
/// assert!(breaker.is_usable(now + Duration::from_secs(1)));
/// breaker.record_success();
/// assert!(breaker.is_usable(now));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CircuitBreaker {
    failures: u32,
    /// Times in a row that the breaker opened; zero while it is closed.
    openings: u32,
    open_until: Duration,
    /// Whether the one request that probes an open breaker is in flight.
    probing: bool,
}

impl CircuitBreaker {
    /// Returns whether a request may be sent at `now`.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        self.openings == 0 || (!self.probing && now >= self.open_until)
    }

    /// Returns whether the breaker is open or half-open.
    #[must_use]
    pub const fn is_tripped(&self) -> bool {
        self.openings > 0
    }

    /// Records that a request is sent; it is the probe if the breaker is not closed.
    pub const fn record_sent(&mut self) {
        self.probing = self.openings > 0;
    }

    /// Records that a request ended without showing anything; another one may probe.
    pub const fn cancel_probe(&mut self) {
        self.probing = false;
    }

    /// Records a successful response, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure at `now`; returns whether the breaker is open afterwards.
    pub fn record_failure(&mut self, failure: Failure, now: Duration) -> bool {
        self.failures += 1;
        let opens =
            failure == Failure::Unreachable || self.openings > 0 || self.failures >= FAILURES_MAX;
        if opens && now >= self.open_until {
            let pause = OPEN_FIRST * 2_u32.pow(self.openings.min(8));
            self.openings += 1;
            self.open_until = now + pause.min(OPEN_MAX);
        }
        self.probing = false;
        opens
    }
}
