//! How long a caller has been retrying when its request arrives.
//!
//! Callers that retry after a refusal are late in any case, and must not take
//! capacity from callers that can still be served on time. A caller sends the
//! timeout that it has left, which shrinks by the time since its first attempt.
//! Timeouts of callers differ slightly, so only one that is clearly shorter than
//! the longest counts as that of a retry.

use std::time::Duration;

use egret_record::FastMap;

/// The longest timeout decays by one part in this many with each request.
const DECAY: u32 = 2_000;
/// Share by which timeouts of the callers of one route differ on their first attempt.
const TIMEOUT_SPREAD: f64 = 0.15;

/// Estimates the age of requests from the longest timeout seen on each route.
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
    /// Returns the time since the first attempt of a caller with `timeout` left.
    pub fn age(&mut self, route: &str, timeout: Duration) -> Duration {
        let longest = match self.longest.get_mut(route) {
            Some(longest) => longest,
            None => self.longest.entry(route.to_owned()).or_default(),
        };
        *longest = (*longest - *longest / DECAY).max(timeout);
        if timeout < longest.mul_f64(1.0 - TIMEOUT_SPREAD) {
            *longest - timeout
        } else {
            Duration::ZERO
        }
    }
}
