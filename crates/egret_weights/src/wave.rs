//! When each engine of a service changes its weights.
//!
//! An engine serves nothing while its last requests end and the new weights
//! are loaded. If all changed at once nobody would be served, so the engines
//! change one after the other, in an order that all agents work out alike
//! without talking.

use std::time::Duration;

/// The time within which all engines of a service shall have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WavePlan {
    /// Time after the naming at which the last engine begins.
    pub last: Duration,
}

impl WavePlan {
    /// Returns when an engine changes, after the naming.
    ///
    /// `rank` is the engine's place in an order that all agents agree on, and
    /// `fetched` when it had its weights, which is about the same for all.
    /// Neighbours in that order, which often share a data centre, change at
    /// different times, and any part of the order at an even pace.
    #[must_use]
    pub fn start(&self, rank: usize, fetched: Duration) -> Duration {
        /// The golden ratio: its multiples spread evenly over the unit interval, however many.
        const SPREAD: f64 = 0.618_033_988_749_895;
        let rank = u32::try_from(rank).unwrap_or(0);
        let part = (f64::from(rank) * SPREAD).fract();
        fetched + self.last.saturating_sub(fetched).mul_f64(part)
    }
}
