//! Rate limit of one entry towards a cold backend server.
//!
//! A cold backend server fails when all entries together send it far more than a
//! certain number of requests per second. Each entry uses an equal share of that
//! rate, evenly spaced, so that entries need no coordination. All entries learn of
//! a cold backend server at the same time, and there may be more of them than
//! requests per second, so each first waits for a random time.

use std::time::Duration;

/// Limits the request rate of one entry to one backend server while that is cold.
///
/// ```
/// use std::time::Duration;
/// use egret_route::ColdRateLimit;
///
/// let mut limit = ColdRateLimit::default();
/// let now = Duration::from_secs(1);
/// limit.mark_cold(now + Duration::from_secs(3), 0.0, now);
/// let spacing = ColdRateLimit::spacing(20.0, 10);
/// assert!(limit.acquire(spacing, now));
/// assert!(!limit.acquire(spacing, now), "two a second are this entry's share");
/// assert!(limit.acquire(spacing, now + Duration::from_millis(500)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ColdRateLimit {
    cold_until: Duration,
    /// When the wait for the next request started.
    wait_start: Duration,
    /// The wait, as a multiple of the time between two requests.
    wait_factor: f64,
}

impl ColdRateLimit {
    /// Records that the backend server is cold until `until`, unless an earlier report said longer.
    ///
    /// If it was not cold, the first request waits for `wait_factor` times the spacing from `now`.
    pub fn mark_cold(&mut self, until: Duration, wait_factor: f64, now: Duration) {
        if !self.is_cold(now) && until > now {
            self.wait_start = now;
            self.wait_factor = wait_factor;
        }
        self.cold_until = self.cold_until.max(until);
    }

    /// Restarts the wait for the next request at `now`.
    ///
    /// Used when no entry could send requests before, and all of them can from `now` on.
    pub fn delay_from(&mut self, now: Duration) {
        self.wait_start = self.wait_start.max(now);
    }

    /// Returns the time between two requests of each of `entries`.
    ///
    /// `per_s` is the rate limit of all `entries` together; 0.0 is no limit.
    #[must_use]
    pub fn spacing(per_s: f64, entries: u32) -> Duration {
        /// Longest time between two requests; no backend server is cold for longer.
        const SPACING_MAX: Duration = Duration::from_secs(3_600);
        if per_s <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = f64::from(entries.max(1)) / per_s;
        Duration::from_secs_f64(seconds.min(SPACING_MAX.as_secs_f64()))
    }

    /// Returns whether the backend server is cold at `now`.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether a request may be sent at `now`, with `spacing` between two.
    #[must_use]
    pub fn allows(&self, spacing: Duration, now: Duration) -> bool {
        !self.is_cold(now) || now >= self.wait_start + spacing.mul_f64(self.wait_factor)
    }

    /// Acquires the right to send one request; returns whether it was granted.
    pub fn acquire(&mut self, spacing: Duration, now: Duration) -> bool {
        if !self.allows(spacing, now) {
            return false;
        }
        if self.is_cold(now) {
            self.wait_start = now;
            self.wait_factor = 1.0;
        }
        true
    }
    /// Takes back the right that was acquired at `acquired`, for a request that was not sent.
    pub fn release(&mut self, acquired: Duration) {
        if self.wait_start == acquired {
            self.wait_factor = 0.0;
        }
    }
}
