//! Limits the bandwidth of transfers.

use std::time::Duration;

/// Time for which unused tokens accumulate.
const BURST: Duration = Duration::from_millis(50);

/// A token bucket in bytes.
///
/// ```
/// use std::time::Duration;
/// use egret_weights::TokenBucket;
///
/// let mut bucket = TokenBucket::new(1_000);
/// let wait = bucket.take(1_000, Duration::ZERO);
/// assert_eq!(wait, Duration::from_secs(1));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: u64,
    /// When the tokens taken so far will have been replenished.
    replenished: Duration,
}

impl TokenBucket {
    /// Creates a bucket of `rate` bytes a second.
    #[must_use]
    pub const fn new(rate: u64) -> Self {
        Self { rate, replenished: Duration::ZERO }
    }

    /// Takes `bytes` at `now` and returns how long to wait before sending them.
    pub fn take(&mut self, bytes: u64, now: Duration) -> Duration {
        let nanos = u128::from(bytes) * 1_000_000_000 / u128::from(self.rate.max(1));
        let cost = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        self.replenished = self.replenished.max(now.saturating_sub(BURST)) + cost;
        self.replenished.saturating_sub(now)
    }
}
