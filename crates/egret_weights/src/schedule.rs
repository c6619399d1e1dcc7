//! Schedules a rolling update: when each engine of a service switches its weights.
//!
//! An engine serves nothing while it drains its last requests and loads the new
//! weights. If all switched at once, no request could be served. So engines switch
//! one after the other, in an order that all agents compute without communicating.
//!
//! The deadline for a version may be shortly after its weights arrive. If every
//! engine drained first, most of them would be half empty at the same time, for as
//! long as their longest streams. So engines in the first half of the order cancel
//! requests in flight, and their streams resume at engines in the second half, which
//! still serve the old version and drain. No stream has to move twice.

use std::time::Duration;

/// Fraction of engines that cancel requests in flight; as many others must have room for them.
const MOVING_FRACTION: f64 = 0.5;

/// The schedule by which the engines of a service switch their weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateSchedule {
    /// Time after the version announcement at which the last engine starts to switch.
    pub last_start: Duration,
}

impl UpdateSchedule {
    /// Returns when an engine starts to switch, counted from the version announcement.
    ///
    /// `rank` is the engine's position in an order that all agents agree on, and
    /// `fetched` is when it had its weights, which is about the same for all.
    /// Engines with adjacent ranks, which often share a data centre, start at
    /// different times, and any range of ranks is spread evenly over time.
    #[must_use]
    pub fn start(&self, rank: usize, fetched: Duration) -> Duration {
        fetched + self.last_start.saturating_sub(fetched).mul_f64(fraction(rank))
    }

    /// Returns whether an engine cancels requests in flight when it switches; the others drain.
    ///
    /// ```
    /// use egret_weights::UpdateSchedule;
    ///
    /// let moving = (0..100).filter(|rank| UpdateSchedule::moves_streams(*rank)).count();
    /// assert!((45..=55).contains(&moving), "about half");
    /// ```
    #[must_use]
    pub fn moves_streams(rank: usize) -> bool {
        fraction(rank) < MOVING_FRACTION
    }
}

/// Returns the fraction of the schedule that lies before the start of an engine.
fn fraction(rank: usize) -> f64 {
    /// Any number of its multiples, modulo 1, spread evenly over the unit interval.
    const GOLDEN_RATIO_INVERSE: f64 = 0.618_033_988_749_895;
    let rank = u32::try_from(rank).unwrap_or(0);
    (f64::from(rank) * GOLDEN_RATIO_INVERSE).fract()
}
