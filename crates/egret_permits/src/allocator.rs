//! The leader's side: a token bucket for each limited backend server.

use std::{collections::VecDeque, time::Duration};

use egret_record::{FastMap, RateLimit};

use crate::{KnownLimit, LimitChange, PermitGrant, PermitWant};

/// Time worth of permits that may accumulate while no entry asks.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Permits that may accumulate at any rate, so that none is lost between two requests of entries.
const BURST_MIN: f64 = 3.0;
/// Lowest rate at which permits are issued, in requests per second.
///
/// Only a response to a request can show that a limit of zero has ended.
const RATE_MIN: f64 = 1.0 / 60.0;
/// Time after which an entry that asked about an earlier incarnation should ask again.
const STALE_WAIT: Duration = Duration::from_millis(200);
/// The time of a limit that a previous leader knew.
const RESTORED: Duration = Duration::from_nanos(1);
/// Longest time that an entry is told to wait for permits of those that asked before.
const TURN_WAIT_MAX: Duration = Duration::from_secs(2);
/// Time between two turns, as a share of the time between two permits.
///
/// Some entries do not ask at their turn, or return permits; the next ones take theirs.
const TURN_SHARE: f64 = 0.5;
/// Time without a request of an entry after which a backend server is forgotten.
const IDLE_MAX: Duration = Duration::from_secs(600);

/// Issues permits for requests to limited backend servers, for all entries together.
///
/// A bucket starts empty. A new leader may therefore issue permits at once: those
/// of its predecessor that are still valid were paid for by that one's bucket.
#[derive(Debug, Default)]
pub struct Allocator {
    buckets: FastMap<String, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    incarnation: u64,
    limit: KnownLimit,
    tokens: f64,
    refilled: Duration,
    /// When entries that got no permit were told to ask again, the earliest first.
    turns: VecDeque<Duration>,
}

impl Allocator {
    /// Adds a limit that a previous leader knew.
    pub fn restore(&mut self, backend: &str, incarnation: u64, limit: RateLimit, now: Duration) {
        let mut bucket = Bucket::new(incarnation, now);
        // Any response is later; entries that were only told of a limit report no time.
        bucket.limit.update(Some(limit), RESTORED);
        self.buckets.insert(backend.to_owned(), bucket);
    }

    /// Grants permits at `now` and records what the entry knows of the limit.
    ///
    /// Returns the grant, and the change if the limit is another one than before.
    pub fn acquire(
        &mut self,
        want: &PermitWant,
        now: Duration,
    ) -> (PermitGrant, Option<LimitChange>) {
        let mut grant = PermitGrant {
            backend: want.backend.clone(),
            incarnation: want.incarnation,
            limit: want.limit,
            count: 0,
            wait: STALE_WAIT,
        };
        let known = self.buckets.get(&want.backend).map(|bucket| bucket.incarnation);
        if known.is_some_and(|known| known > want.incarnation) {
            return (grant, None);
        }
        if known != Some(want.incarnation) {
            self.buckets.retain(|_, bucket| now < bucket.refilled + IDLE_MAX);
            self.buckets.insert(want.backend.clone(), Bucket::new(want.incarnation, now));
        }
        let Some(bucket) = self.buckets.get_mut(&want.backend) else { return (grant, None) };
        bucket.refill(now);
        let before = bucket.limit.rate();
        bucket.limit.update(want.limit, now.saturating_sub(want.age));
        grant.limit = bucket.limit.rate();
        let change = (grant.limit != before).then(|| LimitChange {
            backend: want.backend.clone(),
            before,
            after: grant.limit,
        });
        if change.is_some() {
            bucket.turns.clear();
        }
        match grant.limit {
            Some(limit) => (grant.count, grant.wait) = bucket.take(want, limit, now),
            None => grant.wait = Duration::ZERO,
        }
        (grant, change)
    }
}

impl Bucket {
    fn new(incarnation: u64, now: Duration) -> Self {
        Self {
            incarnation,
            limit: KnownLimit::default(),
            tokens: 0.0,
            refilled: now,
            turns: VecDeque::new(),
        }
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens += self.limit.rate().map_or(0.0, rate_of) * elapsed;
    }

    /// Takes tokens for an entry; returns their number and the time until its turn for another.
    ///
    /// Each entry that gets less than it wants is told another time, so that not all of them ask for
    /// the same token.
    fn take(&mut self, want: &PermitWant, limit: RateLimit, now: Duration) -> (u32, Duration) {
        let rate = rate_of(limit);
        let burst = (rate * BURST_TIME.as_secs_f64()).max(BURST_MIN);
        self.tokens = (self.tokens + f64::from(want.unused)).min(burst);
        // Fewer than the burst, and not negative.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let count = want.count.min(self.tokens as u32);
        self.tokens -= f64::from(count);
        if count >= want.count {
            return (count, Duration::ZERO);
        }
        while self.turns.front().is_some_and(|turn| *turn <= now) {
            self.turns.pop_front();
        }
        let next_token = (1.0 - self.tokens).max(0.0) / rate;
        let turn = (self.turns.len() as f64 * TURN_SHARE / rate).min(TURN_WAIT_MAX.as_secs_f64());
        let wait = Duration::try_from_secs_f64(next_token + turn).unwrap_or(Duration::MAX);
        self.turns.push_back(now.saturating_add(wait));
        (count, wait)
    }
}

/// Returns the rate at which permits are issued, in requests per second.
fn rate_of(limit: RateLimit) -> f64 {
    limit.per_second().max(RATE_MIN)
}
