//! The share of a cold backend server's bound that one entry may use.
//!
//! A cold backend server falls over well above a number of requests per
//! second, from all entries together. Each entry keeps to an equal share,
//! spaced out, so that no two of them need to talk. Where entries are more than
//! those requests, each waits for a moment of its own first, since all of them
//! learn of the cold backend server at once.

use std::time::Duration;

/// Paces the requests of one entry to one backend server while it is cold.
///
/// ```
/// use std::time::Duration;
/// use egret_route::ColdRateLimit;
///
/// let mut pace = ColdRateLimit::default();
/// let now = Duration::from_secs(1);
/// pace.chill(now + Duration::from_secs(3), 0.0, now);
/// let spacing = ColdRateLimit::spacing(20.0, 10);
/// assert!(pace.admit(spacing, now));
/// assert!(!pace.admit(spacing, now), "two a second are this entry's share");
/// assert!(pace.admit(spacing, now + Duration::from_millis(500)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ColdRateLimit {
    cold_until: Duration,
    /// From when the wait for the next request counts.
    since: Duration,
    /// The wait, as a part of the time between two requests.
    part: f64,
}

impl ColdRateLimit {
    /// Notes that the backend server is cold until `until`, or longer if that was said before.
    ///
    /// If that is news, the first request waits for `part` of the time between two, from `now`.
    pub fn chill(&mut self, until: Duration, part: f64, now: Duration) {
        if !self.is_cold(now) && until > now {
            self.since = now;
            self.part = part;
        }
        self.cold_until = self.cold_until.max(until);
    }

    /// Counts the wait for the next request from `now`.
    ///
    /// For when entries could send nothing before, and all of them can from `now` on.
    pub fn wait_from(&mut self, now: Duration) {
        self.since = self.since.max(now);
    }

    /// Returns the time between two requests of one of `entries`, if all may send `per_s`.
    ///
    /// `per_s` is the bound for all of `entries` together; 0.0 is no bound.
    #[must_use]
    pub fn spacing(per_s: f64, entries: u32) -> Duration {
        let seconds = f64::from(entries.max(1)) / per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Tells whether the backend server is cold at `now`.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Tells whether a request may be sent at `now`, with `spacing` between two.
    #[must_use]
    pub fn is_open(&self, spacing: Duration, now: Duration) -> bool {
        !self.is_cold(now) || now >= self.since + spacing.mul_f64(self.part)
    }

    /// Takes the right to one request, if there is one.
    pub fn admit(&mut self, spacing: Duration, now: Duration) -> bool {
        if !self.is_open(spacing, now) {
            return false;
        }
        if self.is_cold(now) {
            self.since = now;
            self.part = 1.0;
        }
        true
    }
}
