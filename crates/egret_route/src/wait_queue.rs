//! The order in which requests wait for a place, and which of them give up.
//!
//! Answers the pattern of more requests than places. Serving the oldest first
//! gives each place to a request that is just about to be late, so all of them
//! are. A request that can still be on time goes before one that cannot, and
//! among those the newest goes first; the others are refused as soon as they
//! cannot be on time, with when to come back.

use std::{cmp::Ordering, time::Duration};

/// What is known of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiter {
    /// Its rank; zero goes first.
    pub rank: u8,
    /// When it came.
    pub since: Duration,
    /// Until when it must get a place to be answered on time.
    pub timely: Duration,
    /// Until when it waits at all.
    pub until: Duration,
}

impl Waiter {
    /// Orders two waiters by who gets the next place at `now`.
    fn order(&self, other: &Self, now: Duration) -> Ordering {
        let late = |one: &Self| now > one.timely;
        late(self)
            .cmp(&late(other))
            .then(self.rank.cmp(&other.rank))
            .then(other.since.cmp(&self.since))
    }
}

/// Requests that wait for a place at one service.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiters: Vec<(Waiter, T)>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiters: Vec::new() }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter, item: T) {
        self.waiters.push((waiter, item));
    }

    /// Returns how many wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Tells whether nobody waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Takes out who gets the next place at `now`, among those that `fits` accepts.
    pub fn pop(&mut self, now: Duration, fits: impl Fn(&T) -> bool) -> Option<(Waiter, T)> {
        let fitting = self.waiters.iter().enumerate().filter(|(_, (_, item))| fits(item));
        let (at, _) = fitting.min_by(|(_, (a, _)), (_, (b, _))| a.order(b, now))?;
        Some(self.waiters.swap_remove(at))
    }

    /// Takes out all that have waited long enough at `now`.
    pub fn give_up(&mut self, now: Duration) -> Vec<(Waiter, T)> {
        self.waiters.extract_if(.., |(waiter, _)| now >= waiter.until).collect()
    }
}
