//! How long before its weights are due an engine gets no more requests.
//!
//! Answers the pattern of a version that comes late, after an outage of its origin: the old one may
//! begin no answer after a fixed moment, and until then it is all that callers can be served with.
//! A request that would begin later is cancelled in time, so the margin need not cover the worst
//! case where engines are known to begin soon.

use std::time::Duration;

/// Shortest margin: several round trips between regions, and the time to cancel a request.
pub const BEGIN_LEAST: Duration = Duration::from_millis(700);
/// Usual margin at most: a request that waits behind pieces of weights for a second, and a queue.
const BEGIN_USUAL: Duration = Duration::from_millis(1_600);
/// Margin at an engine that is slow or whose link is squeezed to an eighth.
pub const BEGIN_MOST: Duration = Duration::from_millis(3_700);
/// The margin, as a multiple of the time that the last answer took to begin.
const BEGIN_DELAYS: u32 = 4;

/// Returns the time that a request is given to begin at an engine whose last answer began after
/// `delay`.
///
/// ```
/// use std::time::Duration;
/// use egret_route::begin_time;
///
/// let quick = begin_time(Duration::from_millis(200), false);
/// assert_eq!(quick, Duration::from_millis(800));
/// assert!(begin_time(Duration::from_millis(200), true) > quick);
/// ```
#[must_use]
pub fn begin_time(delay: Duration, is_slow: bool) -> Duration {
    match (is_slow, delay.is_zero()) {
        (true, _) => BEGIN_MOST,
        // Nothing is known of one that has not answered yet.
        (false, true) => BEGIN_USUAL,
        (false, false) => (delay * BEGIN_DELAYS).clamp(BEGIN_LEAST, BEGIN_USUAL),
    }
}
