//! How many pieces are fetched at once.
//!
//! The engine's requests come over the same link. Where the link is narrow, many
//! pieces at once would queue before them for seconds, so the window begins small,
//! widens while pieces come in time, and halves when one takes long.

use std::{cell::Cell, time::Duration};

/// Largest window.
const WINDOW_MAX: f64 = 16.0;
/// First window: half a second of a link that carries a tenth of the usual megabits.
const WINDOW_FIRST: f64 = 4.0;
/// Smallest window: one piece on its way while the next is asked for.
const WINDOW_MIN: f64 = 2.0;
/// Growth of the window with each piece that comes in time: it doubles in a round trip.
const GROWTH: f64 = 1.0;
/// Part of its usual bytes a second that a squeezed link still carries.
const SQUEEZED_PART: f64 = 0.125;
/// Time after which a piece took long: more than another agent waits for it, and some more.
const LONG: Duration = Duration::from_millis(900);

/// Bounds the pieces that are fetched at once.
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
/// assert!(window.is_narrow());
/// window.reset();
/// assert_eq!(window.size(), 4);
/// ```
#[derive(Debug)]
pub struct FetchWindow {
    size: Cell<f64>,
    /// Bound on the size while requests must not queue behind pieces for long.
    most: Cell<f64>,
}

/// Returns how many pieces of `bytes` a link of `rate` bytes a second carries in `left`, if it
/// is squeezed at this moment.
///
/// ```
/// use std::time::Duration;
/// use egret_loader::pieces_within;
///
/// assert_eq!(pieces_within(Duration::from_secs(2), 25_000, 1_000_000), 10.0);
/// ```
#[must_use]
pub fn pieces_within(left: Duration, bytes: usize, rate: u64) -> f64 {
    // Both are far below the bound of exact integers.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (bytes, rate) = (bytes.max(1) as f64, rate as f64);
    left.as_secs_f64() * rate * SQUEEZED_PART / bytes
}

impl Default for FetchWindow {
    fn default() -> Self {
        Self { size: Cell::new(WINDOW_FIRST), most: Cell::new(WINDOW_MAX) }
    }
}

impl FetchWindow {
    /// Returns how many pieces may be fetched at once.
    #[must_use]
    pub fn size(&self) -> usize {
        // The size lies between the two bounds above.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let size = self.size.get().min(self.most.get()) as usize;
        size
    }

    /// Tells whether pieces came too late lately.
    #[must_use]
    pub fn is_narrow(&self) -> bool {
        self.size.get() < WINDOW_FIRST
    }

    /// Begins anew, since the link may have changed while nothing was fetched.
    pub fn reset(&self) {
        self.size.set(WINDOW_FIRST);
        self.most.set(WINDOW_MAX);
    }

    /// Bounds the pieces that are asked for from now on.
    pub fn set_max(&self, most: f64) {
        self.most.set(most.clamp(WINDOW_FIRST, WINDOW_MAX));
    }

    /// Notes how long a fetch took, whatever came of it.
    pub fn record(&self, took: Duration) {
        let size = self.size.get();
        let size = if took < LONG { size + GROWTH } else { size / 2.0 };
        self.size.set(size.clamp(WINDOW_MIN, WINDOW_MAX));
    }
}
