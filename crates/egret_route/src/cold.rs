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
/// use egret_route::ColdPace;
///
/// let mut pace = ColdPace::default();
/// let now = Duration::from_secs(1);
/// pace.chill(now + Duration::from_secs(3), now, now);
/// assert!(pace.admit(20.0, 10, now));
/// assert!(!pace.admit(20.0, 10, now), "two a second are this entry's share");
/// assert!(pace.admit(20.0, 10, now + Duration::from_millis(500)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ColdPace {
    cold_until: Duration,
    next: Duration,
}

impl ColdPace {
    /// Notes that the backend server is cold until `until`, or longer if that was said before.
    ///
    /// If that is news, the first request is sent at `first`.
    pub fn chill(&mut self, until: Duration, first: Duration, now: Duration) {
        if !self.is_cold(now) && until > now {
            self.next = first;
        }
        self.cold_until = self.cold_until.max(until);
    }

    /// Returns the time between two requests of one of `entries`, if all may send `per_s`.
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

    /// Tells whether a request may be sent at `now`.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        !self.is_cold(now) || now >= self.next
    }

    /// Takes the right to one request, if there is one.
    ///
    /// `per_s` is the bound for all of `entries` together; none is no bound.
    pub fn admit(&mut self, per_s: f64, entries: u32, now: Duration) -> bool {
        if !self.is_open(now) {
            return false;
        }
        if self.is_cold(now) && per_s > 0.0 {
            self.next = now + Self::spacing(per_s, entries);
        }
        true
    }
}
