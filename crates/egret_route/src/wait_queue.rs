//! Queue of requests that wait for a slot at a backend server.
//!
//! In an overload, serving the oldest request first gives each slot to one that
//! is just about to be late, so all of them are. Instead, a request that can
//! still be on time goes before one that cannot, and of those the newest goes
//! first (adaptive LIFO). The others are refused when their wait ends, with a time
//! after which to retry.

use std::{cmp::Ordering, time::Duration};

/// The timing and rank of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiter {
    /// Its rank; lower ranks go first.
    pub rank: u8,
    /// When it was queued.
    pub queued: Duration,
    /// When it must get a slot to be answered on time.
    pub start_by: Duration,
    /// When its wait ends.
    pub wait_until: Duration,
}

impl Waiter {
    /// Orders two waiters by which gets the next slot at `now`.
    fn compare(&self, other: &Self, now: Duration) -> Ordering {
        let late = |waiter: &Self| now > waiter.start_by;
        late(self)
            .cmp(&late(other))
            .then(self.rank.cmp(&other.rank))
            .then(other.queued.cmp(&self.queued))
    }
}

/// A queue of requests, ordered when a slot becomes free.
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

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Iterates over the waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &(Waiter, T)> {
        self.waiters.iter()
    }

    /// Removes the request that gets the next slot at `now`, of those that `eligible` accepts.
    pub fn pop(&mut self, now: Duration, eligible: impl Fn(&T) -> bool) -> Option<(Waiter, T)> {
        let candidates = self.waiters.iter().enumerate().filter(|(_, (_, item))| eligible(item));
        let (index, _) = candidates.min_by(|(_, (a, _)), (_, (b, _))| a.compare(b, now))?;
        Some(self.waiters.swap_remove(index))
    }

    /// Removes all requests whose wait has ended at `now`.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<(Waiter, T)> {
        self.waiters.extract_if(.., |(waiter, _)| now >= waiter.wait_until).collect()
    }
}
