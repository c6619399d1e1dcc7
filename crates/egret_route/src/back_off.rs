//! Who wants no requests for now, by the word of its own answers.
//!
//! Answers the pattern of backend servers that leave or are full while the
//! control state still says that they are ready: each entry that hears it in an
//! answer keeps to it, whatever it hears from others. The word belongs to one
//! lifetime of the backend server, also when that is forgotten and announced
//! again meanwhile.

use std::time::Duration;

use egret_record::FastMap;

/// Longest time for which one answer keeps requests away; a longer wish is heard again then.
const HOLD_MAX: Duration = Duration::from_secs(60);
/// Words that are kept; a few days of backend servers that leave one service.
const HOLDS_MAX: usize = 4_096;

/// What one lifetime of a backend server said of further requests.
///
/// ```
/// use std::time::Duration;
/// use egret_route::BackOff;
///
/// let now = Duration::from_secs(5);
/// let mut hold = BackOff::default();
/// hold.stay_away(Duration::from_secs(2), now);
/// assert!(!hold.is_open(now));
/// assert!(hold.is_open(now + Duration::from_secs(2)));
/// hold.leave();
/// assert!(!hold.is_open(now + Duration::from_secs(9)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackOff {
    leaving: bool,
    until: Duration,
}

impl BackOff {
    /// Notes that the backend server leaves; it gets no request any more.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes that it wants no request for `wait`; tells whether that was longer than is kept.
    pub fn stay_away(&mut self, wait: Duration, now: Duration) -> bool {
        self.until = self.until.max(now + wait.min(HOLD_MAX));
        wait > HOLD_MAX
    }

    /// Tells whether it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether it may be sent a request at `now`.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        !self.leaving && now >= self.until
    }

    /// Returns when it may be sent a request again, unless it leaves.
    #[must_use]
    pub const fn until(&self) -> Duration {
        self.until
    }
}

/// A word, with the lifetime that it belongs to.
#[derive(Debug, Clone, Copy)]
struct Word {
    born: u64,
    hold: BackOff,
    heard: Duration,
}

/// The words of all backend servers, by their ids.
#[derive(Debug, Default)]
pub struct BackOffs {
    words: FastMap<String, Word>,
}

impl BackOffs {
    /// Keeps the word of the lifetime of `id` that began at `born`.
    pub fn note(&mut self, id: &str, born: u64, hold: BackOff, now: Duration) {
        if self.words.len() >= HOLDS_MAX && !self.words.contains_key(id) {
            let oldest = self.words.iter().min_by_key(|(_, word)| word.heard);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.words.remove(&oldest);
            }
        }
        self.words.insert(id.to_owned(), Word { born, hold, heard: now });
    }

    /// Returns what the lifetime of `id` that began at `born` said.
    #[must_use]
    pub fn find(&self, id: &str, born: u64) -> BackOff {
        let word = self.words.get(id).filter(|word| word.born == born);
        word.map(|word| word.hold).unwrap_or_default()
    }
}
