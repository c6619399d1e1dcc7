//! How many pieces are fetched at once.
//!
//! The engine's requests come over the same link. Where the link is narrow, many
//! pieces at once would queue before them for seconds, so the window begins small,
//! widens while pieces come in time, and halves when one takes long.

use std::{cell::Cell, time::Duration};

use tokio::sync::Notify;

/// Largest window.
const WINDOW_MAX: f64 = 16.0;
/// First window: half a second of a link that carries a tenth of the usual megabits.
const WINDOW_FIRST: f64 = 4.0;
/// Smallest window: one piece on its way while the next is asked for.
const WINDOW_MIN: f64 = 2.0;
/// Growth of the window with each piece that comes in time: it doubles in a round trip.
const GROWTH: f64 = 1.0;
/// Time after which a piece took long: more than another agent waits for it, and some more.
const LONG: Duration = Duration::from_millis(900);

/// Bounds the pieces that are fetched at once.
///
/// ```
/// use std::time::Duration;
/// use egret_loader::Window;
///
/// let window = Window::default();
/// assert_eq!(window.size(), 4);
/// window.ended(Duration::from_millis(40));
/// assert_eq!(window.size(), 5);
/// window.ended(Duration::from_secs(1));
/// assert_eq!(window.size(), 2);
/// assert!(window.is_narrow());
/// window.restart();
/// assert_eq!(window.size(), 4);
/// ```
#[derive(Debug)]
pub struct Window {
    size: Cell<f64>,
    inside: Cell<usize>,
    left: Notify,
}

/// The right to fetch one piece, given back when dropped.
#[derive(Debug)]
pub(crate) struct Place<'a>(&'a Window);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.inside.set(self.0.inside.get() - 1);
        self.0.left.notify_one();
    }
}

impl Default for Window {
    fn default() -> Self {
        Self { size: Cell::new(WINDOW_FIRST), inside: Cell::new(0), left: Notify::new() }
    }
}

impl Window {
    /// Returns how many pieces may be fetched at once.
    #[must_use]
    pub fn size(&self) -> usize {
        // The size lies between the two bounds above.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let size = self.size.get() as usize;
        size
    }

    /// Tells whether pieces came too late lately.
    #[must_use]
    pub fn is_narrow(&self) -> bool {
        self.size.get() < WINDOW_FIRST
    }

    /// Begins anew, since the link may have changed while nothing was fetched.
    pub fn restart(&self) {
        self.size.set(WINDOW_FIRST);
    }

    /// Notes how long a fetch took, whatever came of it.
    pub fn ended(&self, took: Duration) {
        let size = self.size.get();
        let size = if took < LONG { size + GROWTH } else { size / 2.0 };
        self.size.set(size.clamp(WINDOW_MIN, WINDOW_MAX));
    }

    /// Waits until one more piece may be fetched.
    pub(crate) async fn enter(&self) -> Place<'_> {
        while self.inside.get() >= self.size() {
            self.left.notified().await;
        }
        self.inside.set(self.inside.get() + 1);
        if self.inside.get() < self.size() {
            self.left.notify_one();
        }
        Place(self)
    }
}
