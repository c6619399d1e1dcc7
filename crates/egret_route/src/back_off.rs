//! Backend servers that asked for no further requests in their own responses.
//!
//! A backend server may leave or be full while the control state still lists it
//! as ready. Each entry that receives such a response obeys it, whatever others
//! report. A back-off belongs to one incarnation of the backend server, and
//! outlasts that incarnation being dropped and announced again.

use std::time::Duration;

use egret_record::FastMap;

/// Longest back-off from one response; a backend server that needs more asks again after it.
const BACK_OFF_MAX: Duration = Duration::from_secs(60);
/// Maximum number of back-offs; enough for a few days of backend servers leaving one service.
const BACK_OFFS_MAX: usize = 4_096;

/// Whether one incarnation of a backend server accepts further requests.
///
/// ```
/// use std::time::Duration;
/// use egret_route::BackOff;
///
/// let now = Duration::from_secs(5);
/// let mut back_off = BackOff::default();
/// back_off.pause(Duration::from_secs(2), now);
/// assert!(!back_off.is_available(now));
/// assert!(back_off.is_available(now + Duration::from_secs(2)));
/// back_off.set_leaving();
/// assert!(!back_off.is_available(now + Duration::from_secs(9)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackOff {
    leaving: bool,
    until: Duration,
}

impl BackOff {
    /// Records that the backend server is leaving; it gets no further request.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Rejects requests until `now + wait`, capped at a minute; returns whether the cap applied.
    pub fn pause(&mut self, wait: Duration, now: Duration) -> bool {
        self.until = self.until.max(now + wait.min(BACK_OFF_MAX));
        wait > BACK_OFF_MAX
    }

    /// Returns whether it is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether it may be sent a request at `now`.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        !self.leaving && now >= self.until
    }

    /// Returns when it may be sent a request again, unless it is leaving.
    #[must_use]
    pub const fn until(&self) -> Duration {
        self.until
    }
}

/// A back-off, with the incarnation that it belongs to.
#[derive(Debug, Clone, Copy)]
struct Stored {
    incarnation: u64,
    back_off: BackOff,
    updated: Duration,
}

/// The back-offs of all backend servers, by id.
#[derive(Debug, Default)]
pub struct BackOffs {
    stored: FastMap<String, Stored>,
}

impl BackOffs {
    /// Stores the back-off of an incarnation of `id`; drops the oldest if there are too many.
    pub fn insert(&mut self, id: &str, incarnation: u64, back_off: BackOff, now: Duration) {
        if self.stored.len() >= BACK_OFFS_MAX && !self.stored.contains_key(id) {
            let oldest = self.stored.iter().min_by_key(|(_, stored)| stored.updated);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.stored.remove(&oldest);
            }
        }
        self.stored.insert(id.to_owned(), Stored { incarnation, back_off, updated: now });
    }

    /// Returns the back-off of an incarnation of `id`; by default it accepts requests.
    #[must_use]
    pub fn get(&self, id: &str, incarnation: u64) -> BackOff {
        let stored = self.stored.get(id).filter(|stored| stored.incarnation == incarnation);
        stored.map(|stored| stored.back_off).unwrap_or_default()
    }
}
