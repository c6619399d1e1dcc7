//! A congestion window for concurrent piece fetches.
//!
//! Pieces share the link with the engine's requests. On a degraded link, many
//! concurrent pieces would delay requests by seconds. So the window starts small,
//! grows while pieces arrive in time, and halves when one is slow.

use std::{cell::Cell, time::Duration};

use tokio::time::Instant;

/// Largest window, in pieces.
const WINDOW_MAX: f64 = 16.0;
/// Initial window: half a second of a link that carries a tenth of its usual bandwidth.
const WINDOW_INITIAL: f64 = 4.0;
/// Smallest window: one piece in transit while the next is requested.
const WINDOW_MIN: f64 = 2.0;
/// Growth per piece that arrives in time: the window doubles in a round trip.
const GROWTH: f64 = 1.0;
/// Fraction of its usual bandwidth that a degraded link still carries.
const DEGRADED_FRACTION: f64 = 0.125;
/// Fetch duration from which a piece counts as slow: longer than another agent waits for the piece
/// before it answers, with some reserve.
const SLOW_DELAY_MIN: Duration = Duration::from_millis(900);

/// Time after a slow piece for which the link counts as congested.
///
/// A small window lets pieces arrive in time on a degraded link, and grows again. With the link
/// counted as sound in between, a request took 1.1 s to an engine that was about to expire.
const CONGESTION_TIME: Duration = Duration::from_secs(4);

/// Limits the pieces that are fetched concurrently.
///
/// ```
/// use std::time::Duration;
/// use egret_loader::FetchWindow;
///
/// let window = FetchWindow::default();
/// assert_eq!(window.size(), 4);
/// window.record(Duration::from_millis(40));
/// assert_eq!(window.size(), 5);
/// window.record(Duration::from_secs(1));
/// assert_eq!(window.size(), 2);
/// assert!(window.is_congested());
/// window.reset();
/// assert_eq!(window.size(), 4);
/// ```
#[derive(Debug)]
pub struct FetchWindow {
    size: Cell<f64>,
    /// Limit on the size while requests must not queue behind pieces for long.
    max: Cell<f64>,
    /// When a slow piece last shrank the window below its initial size.
    shrunk: Cell<Option<Instant>>,
}

/// Returns how many pieces a degraded link can carry in `left`.
///
/// Each piece has `bytes`; the full link carries `rate` bytes a second.
///
/// ```
/// use std::time::Duration;
/// use egret_loader::pieces_within;
///
/// assert_eq!(pieces_within(Duration::from_secs(2), 25_000, 1_000_000), 10.0);
/// ```
#[must_use]
pub fn pieces_within(left: Duration, bytes: usize, rate: u64) -> f64 {
    // Both are far below 2^53, up to which integers are exact.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (bytes, rate) = (bytes.max(1) as f64, rate as f64);
    left.as_secs_f64() * rate * DEGRADED_FRACTION / bytes
}

impl Default for FetchWindow {
    fn default() -> Self {
        Self {
            size: Cell::new(WINDOW_INITIAL),
            max: Cell::new(WINDOW_MAX),
            shrunk: Cell::new(None),
        }
    }
}

impl FetchWindow {
    /// Returns how many pieces may be fetched concurrently.
    #[must_use]
    pub fn size(&self) -> usize {
        // Both values lie between `WINDOW_MIN` and `WINDOW_MAX`.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let size = self.size.get().min(self.max.get()) as usize;
        size
    }

    /// Returns whether slow pieces have shrunk the window below its initial size lately.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        self.shrunk.get().is_some_and(|shrunk| shrunk.elapsed() < CONGESTION_TIME)
    }

    /// Resets the window, as the link may have changed while nothing was fetched.
    pub fn reset(&self) {
        self.size.set(WINDOW_INITIAL);
        self.max.set(WINDOW_MAX);
    }

    /// Limits the window from now on; `max` is clamped to the initial and the largest size.
    pub fn set_max(&self, max: f64) {
        self.max.set(max.clamp(WINDOW_INITIAL, WINDOW_MAX));
    }

    /// Records the duration of a fetch, successful or not.
    pub fn record(&self, duration: Duration) {
        let size = self.size.get();
        let size = if duration < SLOW_DELAY_MIN { size + GROWTH } else { size / 2.0 };
        self.size.set(size.clamp(WINDOW_MIN, WINDOW_MAX));
        if self.size.get() < WINDOW_INITIAL {
            self.shrunk.set(Some(Instant::now()));
        }
    }
}
