//! How long a caller has been waiting already when its request arrives.
//!
//! Answers the pattern of callers that come back after a refusal: they are late
//! whatever happens, and must not take the places of those that can still be on
//! time. A caller names the time it will still wait, which is shorter by the
//! time since its first try. Callers differ a little in their patience, so only those
//! that are clearly less patient than the others count as having come back.

use std::time::Duration;

use egret_record::FastMap;

/// Part by which the longest patience is forgotten with each request, as one of so many.
const FORGETTING: u32 = 2_000;
/// Part by which the patience of callers of one route differs at their first try.
const SPREAD: f64 = 0.15;

/// The longest patience of the callers of each route.
///
/// ```
/// use std::time::Duration;
/// use egret_route::RequestAges;
///
/// let mut ages = RequestAges::default();
/// let six = Duration::from_secs(6);
/// assert_eq!(ages.age("draft", six), Duration::ZERO);
/// assert_eq!(ages.age("draft", Duration::from_millis(5_500)), Duration::ZERO);
/// assert_eq!(ages.age("draft", six - Duration::from_secs(2)).as_secs_f64().round(), 2.0);
/// ```
#[derive(Debug, Default)]
pub struct RequestAges {
    longest: FastMap<String, Duration>,
}

impl RequestAges {
    /// Returns the time since the first try of a caller that will wait for `patience`.
    pub fn age(&mut self, route: &str, patience: Duration) -> Duration {
        let longest = match self.longest.get_mut(route) {
            Some(longest) => longest,
            None => self.longest.entry(route.to_owned()).or_default(),
        };
        *longest = (*longest - *longest / FORGETTING).max(patience);
        if patience < longest.mul_f64(1.0 - SPREAD) { *longest - patience } else { Duration::ZERO }
    }
}
