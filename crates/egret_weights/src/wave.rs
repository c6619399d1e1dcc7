//! When each engine of a service changes its weights.
//!
//! An engine serves nothing while its last requests end and the new weights
//! are loaded. If all changed at once nobody would be served, so the engines
//! take turns in waves, which all agents work out alike without talking.

use std::time::Duration;

/// Number of waves.
const WAVES: u32 = 2;

/// The time within which all engines of a service shall have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WavePlan {
    /// Time after the naming at which the first wave begins at the earliest.
    pub first: Duration,
    /// Time after the naming at which the last wave begins.
    pub last: Duration,
}

impl WavePlan {
    /// Returns when an engine changes, after the naming, if it has its weights by then.
    ///
    /// `rank` is the engine's place among `count` engines of the service, in an
    /// order that all agents agree on.
    #[must_use]
    pub fn start(&self, rank: usize, count: usize) -> Duration {
        if count < 2 {
            return self.first;
        }
        // Neighbours, which often share a data centre, change in different waves.
        let wave = u32::try_from(rank).unwrap_or(0) % WAVES;
        self.first + (self.last.saturating_sub(self.first)) * wave / (WAVES - 1)
    }
}
