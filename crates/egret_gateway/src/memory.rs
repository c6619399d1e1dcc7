//! The memory that bodies of requests and responses may take up.

use std::time::Duration;

use egret_record::FastMap;

/// Identifies a body that is charged to a [`MemoryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

#[derive(Debug)]
struct Charged {
    bytes: usize,
    began: Duration,
    /// Whether the body can be rejected without breaking a promise.
    evictable: bool,
}

/// Counts the memory of bodies and chooses which to reject when it does not suffice.
///
/// The body that has taken up most memory for the longest time is rejected: bytes times age. A body
/// that stops short of its end, or trickles, gets ahead of all that arrive at an ordinary pace.
///
/// ```
/// use std::time::Duration;
///
/// use egret_gateway::MemoryBudget;
///
/// let mut budget = MemoryBudget::new(1_000);
/// let stalled = budget.begin(Duration::ZERO);
/// assert!(budget.charge(stalled, 900, Duration::ZERO).is_empty());
/// let fresh = budget.begin(Duration::from_secs(1));
/// assert_eq!(budget.charge(fresh, 500, Duration::from_secs(1)), [stalled]);
/// ```
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    /// Bytes of all bodies but those that are being rejected.
    used: usize,
    bodies: FastMap<BodyId, Charged>,
    next: u64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: 0, bodies: FastMap::default(), next: 0 }
    }

    /// Returns the bytes that are charged.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Adds a body of which nothing has arrived.
    pub fn begin(&mut self, now: Duration) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        self.bodies.insert(id, Charged { bytes: 0, began: now, evictable: true });
        id
    }

    /// Charges bytes to a body; returns the bodies to reject, which may include this one.
    ///
    /// Does nothing for a body that is being rejected or has ended.
    pub fn charge(&mut self, id: BodyId, bytes: usize, now: Duration) -> Vec<BodyId> {
        let Some(body) = self.bodies.get_mut(&id) else { return Vec::new() };
        body.bytes += bytes;
        self.used += bytes;
        let mut rejected = Vec::new();
        while self.used > self.limit {
            let Some(victim) = self.victim(now) else { break };
            self.end(victim);
            rejected.push(victim);
        }
        rejected
    }

    /// Records that a body is whole and its request may run, so that it is not rejected any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.evictable = false;
        }
    }

    /// Returns whether more of an unread response may be kept, of which `held` bytes are.
    ///
    /// Half of the budget is left for requests, and one response may have an eighth.
    #[must_use]
    pub const fn may_read_ahead(&self, held: usize) -> bool {
        self.used < self.limit / 2 && held < self.limit / 8
    }

    /// Removes a body.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.bytes;
        }
    }

    fn victim(&self, now: Duration) -> Option<BodyId> {
        let evictable = self.bodies.iter().filter(|(_, body)| body.evictable && body.bytes > 0);
        // Among bodies of the same moment, the larger one.
        let cost = |body: &Charged| {
            let age = now.saturating_sub(body.began).as_millis();
            (body.bytes as u128 * age, body.bytes)
        };
        evictable.max_by_key(|(id, body)| (cost(body), **id)).map(|(id, _)| *id)
    }
}

/// The slowest pace at which a body may arrive.
///
/// Far below that of any link: 4 MiB would take more than an hour. It ends bodies that stopped.
#[derive(Debug, Clone, Copy)]
pub struct BodyPace {
    /// Longest pause between two pieces, and time before the rate counts.
    pub pause: Duration,
    /// Lowest mean rate, in bytes per second.
    pub rate: u64,
}

impl BodyPace {
    /// Lowest mean rate of a body, in bytes per second.
    pub const RATE_MIN: u64 = 1024;

    /// Returns when a body is too slow unless more of it arrives.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use egret_gateway::BodyPace;
    ///
    /// let second = Duration::from_secs(1);
    /// let pace = BodyPace { pause: second * 15, rate: 1024 };
    /// assert_eq!(pace.due(0, second, second), second * 16);
    /// // 4 KiB after 4 s: the pause ends first, then the rate counts.
    /// assert_eq!(pace.due(4_096, Duration::ZERO, second * 4), second * 19);
    /// assert_eq!(pace.due(4_096, Duration::ZERO, second * 18), second * 19);
    /// ```
    #[must_use]
    pub fn due(&self, received: usize, began: Duration, last: Duration) -> Duration {
        let earned = u64::try_from(received).unwrap_or(u64::MAX).saturating_mul(1_000) / self.rate;
        let by_rate = began + self.pause + Duration::from_millis(earned);
        by_rate.min(last + self.pause)
    }
}
