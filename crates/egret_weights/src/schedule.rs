//! When each engine of a service changes its weights, and what becomes of its requests.
//!
//! An engine serves nothing while its last requests end and the new weights
//! are loaded. If all changed at once nobody would be served, so the engines
//! change one after the other, in an order that all agents work out alike
//! without talking.
//!
//! Answers the pattern of weights that are due soon after they are there: if
//! every engine let its requests end first, most of them would stand half empty
//! at once, for as long as their longest streams. So those in the first half of
//! the order stop what runs, and their streams go on at engines of the second
//! half, which still serve the old version and let all requests end. No stream
//! has to move twice.

use std::time::Duration;

/// Part of the order in which engines stop what runs; as many others must have room for it.
const MOVING_PART: f64 = 0.5;

/// The time within which all engines of a service shall have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateSchedule {
    /// Time after the naming at which the last engine begins.
    pub last_start: Duration,
}

impl UpdateSchedule {
    /// Returns when an engine changes, after the naming.
    ///
    /// `rank` is the engine's place in an order that all agents agree on, and
    /// `fetched` when it had its weights, which is about the same for all.
    /// Neighbours in that order, which often share a data centre, change at
    /// different times, and any part of the order at an even pace.
    #[must_use]
    pub fn start(&self, rank: usize, fetched: Duration) -> Duration {
        fetched + self.last_start.saturating_sub(fetched).mul_f64(part(rank))
    }

    /// Tells whether an engine stops what runs when its turn comes; the others let it end.
    ///
    /// ```
    /// use egret_weights::UpdateSchedule;
    ///
    /// let moving = (0..100).filter(|rank| UpdateSchedule::moves_streams(*rank)).count();
    /// assert!((45..=55).contains(&moving), "about half");
    /// ```
    #[must_use]
    pub fn moves_streams(rank: usize) -> bool {
        part(rank) < MOVING_PART
    }
}

/// Returns the part of all turns that come before that of an engine.
fn part(rank: usize) -> f64 {
    /// The golden ratio: its multiples spread evenly over the unit interval, however many.
    const SPREAD: f64 = 0.618_033_988_749_895;
    let rank = u32::try_from(rank).unwrap_or(0);
    (f64::from(rank) * SPREAD).fract()
}
