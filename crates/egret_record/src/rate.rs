//! Request rates.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Millionths of a request in one request.
const MICROS: f64 = 1_000_000.0;

/// A limit of requests per second, exact to a millionth.
///
/// ```
/// use egret_record::RateLimit;
///
/// assert_eq!(RateLimit::new(1.6).map(|limit| limit.per_second()), Some(1.6));
/// assert_eq!(RateLimit::new(-1.0), None);
/// assert_eq!(RateLimit::new(f64::NAN), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    micros: u64,
}

impl RateLimit {
    /// Returns the limit of `per_second` requests; none if that is negative or not finite.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        // The conversion saturates, so that a huge limit stays one.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let micros = (per_second * MICROS).round() as u64;
        Some(Self { micros })
    }

    /// Returns the requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.micros as f64 / MICROS
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
