//! How many pieces are fetched at once.
//!
//! The engine's requests come over the same link. Where the link is narrow, many
//! pieces at once would queue before them for seconds, so the window halves when
//! a piece does not come in time and widens while they do.

use std::cell::Cell;

use tokio::sync::Notify;

/// Largest window.
const WINDOW_MAX: f64 = 16.0;
/// Smallest window: one piece on its way while the next is asked for.
const WINDOW_MIN: f64 = 2.0;
/// Growth of the window with each piece that comes in time.
const GROWTH: f64 = 0.25;

/// Bounds the pieces that are fetched at once.
///
/// ```
/// use egret_loader::Window;
///
/// let window = Window::default();
/// assert_eq!(window.size(), 16);
/// for _ in 0..9 {
///     window.ended(false);
/// }
/// assert_eq!(window.size(), 2);
/// window.ended(true);
/// assert_eq!(window.size(), 2);
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
        Self { size: Cell::new(WINDOW_MAX), inside: Cell::new(0), left: Notify::new() }
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
        self.size.get() < WINDOW_MAX / 2.0
    }

    /// Notes that a fetch ended; `timely` tells whether there was an answer in time.
    pub fn ended(&self, timely: bool) {
        let size = self.size.get();
        let size = if timely { size + GROWTH } else { size / 2.0 };
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
