//! The rate limit that responses of one backend server name.

use std::{fmt, time::Duration};

use egret_record::RateLimit;

/// What a response of a backend server says about its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitNotice {
    /// Nothing: it is not a proper response, or its limit cannot be read.
    #[default]
    Unclear,
    /// The backend server has no limit.
    Unlimited,
    /// The backend server accepts so many requests from all entries together.
    Limited(RateLimit),
}

/// The rate limit of one incarnation of a backend server, as far as its responses show.
///
/// Responses may overtake each other, so a limit ends only with a response to a
/// request that was sent after the limit was last named.
///
/// ```
/// use std::time::Duration;
/// use egret_permits::{KnownLimit, LimitNotice};
/// use egret_record::RateLimit;
///
/// let at = Duration::from_secs;
/// let rate = RateLimit::new(1.5).unwrap();
/// let mut limit = KnownLimit::default();
/// assert!(limit.observe(LimitNotice::Limited(rate), at(5), at(6)));
/// assert!(!limit.observe(LimitNotice::Unlimited, at(4), at(7)), "sent before the limit was known");
/// assert_eq!(limit.rate(), Some(rate));
/// assert!(limit.observe(LimitNotice::Unlimited, at(8), at(9)));
/// assert_eq!(limit.rate(), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KnownLimit {
    rate: Option<RateLimit>,
    /// When the limit was last named, or the request was sent whose response named none.
    as_of: Duration,
}

impl KnownLimit {
    /// Records a response that was received at `received`, to a request sent at `sent`.
    ///
    /// Returns whether the limit changed.
    pub fn observe(&mut self, notice: LimitNotice, sent: Duration, received: Duration) -> bool {
        let (rate, as_of) = match notice {
            LimitNotice::Unclear => return false,
            LimitNotice::Unlimited => (None, sent),
            LimitNotice::Limited(rate) => (Some(rate), received),
        };
        self.update(rate, as_of)
    }

    /// Returns the limit in requests per second, if there is one.
    #[must_use]
    pub const fn rate(&self) -> Option<RateLimit> {
        self.rate
    }

    /// Returns when the response that shows this was received, or its request sent if it names none.
    #[must_use]
    pub const fn as_of(&self) -> Duration {
        self.as_of
    }

    /// Records the limit as of a time, unless something later is known; returns whether it changed.
    pub(crate) fn update(&mut self, rate: Option<RateLimit>, as_of: Duration) -> bool {
        if as_of < self.as_of {
            return false;
        }
        self.as_of = as_of;
        std::mem::replace(&mut self.rate, rate) != rate
    }
}

/// A limit that began, changed or ended; displayed as an event for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitChange {
    /// The id of the backend server.
    pub backend: String,
    /// The limit before.
    pub before: Option<RateLimit>,
    /// The limit from now on.
    pub after: Option<RateLimit>,
}

impl LimitChange {
    /// Returns whether the leader must announce it to all entries.
    ///
    /// Entries learn of another rate with their next permits, and a backend server may name another
    /// one in each response.
    #[must_use]
    pub const fn is_announced(&self) -> bool {
        self.before.is_some() != self.after.is_some()
    }
}

impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let backend = &self.backend;
        match (self.before, self.after) {
            (None, Some(limit)) => write!(f, "event=limit_began backend={backend} per_s={limit}"),
            (Some(before), Some(limit)) => {
                write!(f, "event=limit_changed backend={backend} per_s={limit} before={before}")
            }
            (Some(before), None) => {
                write!(f, "event=limit_ended backend={backend} before={before}")
            }
            (None, None) => write!(f, "event=limit_unchanged backend={backend}"),
        }
    }
}
