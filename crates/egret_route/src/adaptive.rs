//! Concurrency limit of one entry towards one backend server, set by response times.
//!
//! With slightly more requests than engines can run, each engine's queue would
//! grow until every response is late, though nearly all could be on time.
//! Entries do not know each other's requests, but each sees when responses start
//! late, and sends less until they do not. Additive increase and multiplicative
//! decrease (AIMD) give all entries equal shares.

use std::time::Duration;

/// The limit grows while responses start within this share of the objective.
const GROW_BELOW: f64 = 0.55;
/// The limit shrinks when a response takes this share of the objective or more to start.
const SHRINK_FROM: f64 = 0.72;
/// Increase of the limit with each early response, while the limit is used up.
const INCREASE: f64 = 0.2;
/// The limit is multiplied by this after a late response.
const DECREASE_FACTOR: f64 = 0.8;
/// Shortest time between two decreases: requests sent before the first show nothing new.
const DECREASE_INTERVAL_MIN: Duration = Duration::from_millis(120);
/// Smallest limit; below it an entry would never notice that the backend server recovered.
const LIMIT_MIN: f64 = 1.0;

/// Limits the concurrent requests of one entry to one backend server.
///
/// ```
/// use std::time::Duration;
/// use egret_route::AdaptiveLimit;
///
/// let mut limit = AdaptiveLimit::new(4.0, 16);
/// let objective = Duration::from_millis(400);
/// limit.record_response(4, Duration::from_millis(390), objective, Duration::from_secs(1));
/// assert_eq!(limit.get(), 3);
/// limit.record_response(1, Duration::from_millis(100), objective, Duration::from_secs(2));
/// assert_eq!(limit.get(), 3, "a limit that is not used up does not grow");
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    max: f64,
    decreased: Option<Duration>,
}

impl AdaptiveLimit {
    /// Starts at `limit`, which never exceeds `max`.
    #[must_use]
    pub fn new(limit: f64, max: u32) -> Self {
        let max = f64::from(max).max(LIMIT_MIN);
        Self { limit: limit.clamp(LIMIT_MIN, max), max, decreased: None }
    }

    /// Adjusts the limit to a response that started after `delay`, with `in_flight` requests.
    ///
    /// A response is on time if it starts within `objective`.
    pub fn record_response(
        &mut self,
        in_flight: u32,
        delay: Duration,
        objective: Duration,
        now: Duration,
    ) {
        let ratio = delay.as_secs_f64() / objective.as_secs_f64().max(0.001);
        if ratio >= SHRINK_FROM {
            self.decrease(now);
        } else if ratio <= GROW_BELOW && f64::from(in_flight) + 1.0 > self.limit {
            self.limit = (self.limit + INCREASE).min(self.max);
        }
    }

    /// Decreases the limit, at most once in 120 ms.
    pub fn decrease(&mut self, now: Duration) {
        if self.decreased.is_none_or(|last| now >= last + DECREASE_INTERVAL_MIN) {
            self.decreased = Some(now);
            self.limit = (self.limit * DECREASE_FACTOR).max(LIMIT_MIN);
        }
    }

    /// Returns the limit.
    #[must_use]
    pub fn get(&self) -> u32 {
        // The limit is between one and an engine's slots.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let limit = self.limit.floor() as u32;
        limit
    }
}
