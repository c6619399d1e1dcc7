//! How many requests of one entry a backend server is given, by how fast it answers.
//!
//! Answers the pattern of slightly more requests than engines can run: each
//! engine's queue grows until everybody is late, though nearly all could be on
//! time. Entries do not know each other's requests, but they all see when an
//! answer begins later than it should, and send less until it does not. Growth
//! by a constant and decrease by a part give all of them equal shares.

use std::time::Duration;

/// Part of the time to be on time that an answer may take to begin while the bound grows.
const GROW_PART: f64 = 0.55;
/// Part of that time from which the bound shrinks.
const SHRINK_PART: f64 = 0.72;
/// Growth of the bound with each answer that begins early, while the bound is used up.
const GROWTH: f64 = 0.2;
/// Part of the bound that is left after an answer that begins late.
const DECREASE: f64 = 0.8;
/// Shortest time between two decreases: answers to requests sent before the first say nothing.
const DECREASE_PERIOD: Duration = Duration::from_millis(120);
/// Smallest bound; less would never learn that the backend server is well again.
const BOUND_MIN: f64 = 1.0;

/// The bound on concurrent requests of one entry to one backend server.
///
/// ```
/// use std::time::Duration;
/// use egret_route::AdaptiveLimit;
///
/// let mut bound = AdaptiveLimit::new(4.0, 16);
/// let objective = Duration::from_millis(400);
/// bound.answered(4, Duration::from_millis(390), objective, Duration::from_secs(1));
/// assert_eq!(bound.get(), 3);
/// bound.answered(1, Duration::from_millis(100), objective, Duration::from_secs(2));
/// assert_eq!(bound.get(), 3, "a bound that is not used up does not grow");
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdaptiveLimit {
    bound: f64,
    most: f64,
    decreased: Option<Duration>,
}

impl AdaptiveLimit {
    /// Starts with a bound; it never exceeds `most`.
    #[must_use]
    pub fn new(bound: f64, most: u32) -> Self {
        let most = f64::from(most).max(BOUND_MIN);
        Self { bound: bound.clamp(BOUND_MIN, most), most, decreased: None }
    }

    /// Notes that an answer began after `delay`, with `running` requests under way.
    ///
    /// `objective` is the time within which the answer is on time.
    pub fn answered(&mut self, running: u32, delay: Duration, objective: Duration, now: Duration) {
        let part = delay.as_secs_f64() / objective.as_secs_f64().max(0.001);
        if part >= SHRINK_PART {
            self.late(now);
        } else if part <= GROW_PART && f64::from(running) + 1.0 > self.bound {
            self.bound = (self.bound + GROWTH).min(self.most);
        }
    }

    /// Notes that the backend server refused a request for lack of room.
    pub fn late(&mut self, now: Duration) {
        if self.decreased.is_none_or(|last| now >= last + DECREASE_PERIOD) {
            self.decreased = Some(now);
            self.bound = (self.bound * DECREASE).max(BOUND_MIN);
        }
    }

    /// Returns the bound.
    #[must_use]
    pub fn get(&self) -> u32 {
        // The bound is between one and an engine's slots.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let bound = self.bound.floor() as u32;
        bound
    }
}
