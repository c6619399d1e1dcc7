//! An entry's side: the permits that it holds and needs.

use std::time::Duration;

use egret_record::{FastMap, RateLimit};

use crate::{KnownLimit, LimitChange, LimitNotice, PermitGrant, PermitWant};

/// Time from the request for a permit until it expires.
///
/// The leader's reply takes part of it, so that a permit is never older than this when it is used.
const LIFETIME: Duration = Duration::from_secs(1);
/// Time for whose demand permits are asked; half of their lifetime, so that few expire unused.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// Shortest time between two requests to the leader.
const ASK_PERIOD: Duration = Duration::from_millis(250);
/// Time after a request that got no reply until the next one; doubles with each in a row.
const FAILURE_DELAY: Duration = Duration::from_millis(100);
/// Longest time after a request that got no reply until the next one.
const FAILURE_DELAY_MAX: Duration = Duration::from_millis(1_600);
/// Maximum number of permits that one request asks for.
const COUNT_MAX: u32 = 16;
/// Time for which the limit of a backend server that is gone is remembered.
const RETENTION: Duration = Duration::from_secs(120);

/// The right to send one request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    expires: Duration,
}

impl Permit {
    /// The right to send a request to a backend server without a limit.
    pub const UNLIMITED: Self = Self { expires: Duration::MAX };

    /// Returns whether the request may still be sent at `now`.
    #[must_use]
    pub fn is_valid(self, now: Duration) -> bool {
        now < self.expires
    }
}

/// The rate limits that an entry knows, and the permits that it holds.
#[derive(Debug, Default)]
pub struct Permits {
    pools: FastMap<String, Pool>,
    /// The highest term in which a leader has granted permits.
    term: u64,
    /// When the leader may be asked again.
    ask_at: Duration,
    /// Requests in a row that got no reply.
    failures: u32,
}

/// The limit of one incarnation of a backend server, and the permits for it.
#[derive(Debug)]
struct Pool {
    incarnation: u64,
    limit: KnownLimit,
    /// Whether a response to this entry shows the limit, and not only the leader's word.
    observed: bool,
    /// Whether the leader has confirmed what this entry observed.
    confirmed: bool,
    /// The limit in the request that is in flight.
    asked: Option<(Option<RateLimit>, u32)>,
    /// The order of the last limit that was announced to all entries.
    announced: u64,
    /// Permits that are not used yet, the oldest first.
    permits: Vec<Permit>,
    /// Requests of callers since `demand_from`.
    demand: u32,
    /// When permits were last asked for.
    demand_from: Duration,
    /// Whether one of them took the last permit, or found none.
    missing: bool,
    /// Permits to return.
    unused: u32,
    /// When the leader may be asked for permits again.
    ask_at: Duration,
    touched: Duration,
}

impl Permits {
    /// Records what a response says about the limit of its backend server.
    ///
    /// `sent` is when its request was sent. Returns the change if the limit changed.
    pub fn observe(
        &mut self,
        backend: &str,
        incarnation: u64,
        notice: LimitNotice,
        sent: Duration,
        received: Duration,
    ) -> Option<LimitChange> {
        let begins = matches!(notice, LimitNotice::Limited(_));
        let pool = self.pool(backend, incarnation, begins, received)?;
        let before = pool.limit;
        let changed = pool.limit.observe(notice, sent, received);
        pool.observed |= pool.limit != before;
        if !changed {
            return None;
        }
        let before = before.rate();
        pool.confirmed = false;
        pool.apply_change(before, received);
        Some(change(backend, before, pool.limit.rate()))
    }

    /// Records the limit of a backend server that the leader announced to all entries.
    ///
    /// Announcements about one incarnation are ordered by `order`. Returns the change if the limit
    /// changed.
    pub fn announce(
        &mut self,
        backend: &str,
        incarnation: u64,
        limit: Option<RateLimit>,
        order: u64,
        now: Duration,
    ) -> Option<LimitChange> {
        let pool = self.pool(backend, incarnation, limit.is_some(), now)?;
        if order <= pool.announced {
            return None;
        }
        pool.announced = order;
        // What this entry saw itself may be later; the leader's next reply decides.
        if !pool.confirmed {
            return None;
        }
        pool.adopt(limit, now).map(|before| change(backend, before, limit))
    }

    /// Acquires the right to send a request to a backend server.
    ///
    /// # Errors
    ///
    /// Without a permit, records that one is needed, and returns when the leader may have another.
    /// `new` tells whether this is the first attempt for its request.
    pub fn acquire(
        &mut self,
        backend: &str,
        incarnation: u64,
        new: bool,
        now: Duration,
    ) -> Result<Permit, Duration> {
        let Some(pool) = self.pool(backend, incarnation, false, now) else {
            return Ok(Permit::UNLIMITED);
        };
        if pool.limit.rate().is_none() {
            return Ok(Permit::UNLIMITED);
        }
        pool.expire(now);
        // Requests that found a permit count as well: as many will need one until the next grant.
        pool.demand = pool.demand.saturating_add(u32::from(new));
        let permit = (!pool.permits.is_empty()).then(|| pool.permits.remove(0));
        // The next one is fetched ahead, so that a request that comes alone finds a permit.
        pool.missing |= pool.permits.is_empty();
        permit.ok_or(pool.ask_at.max(now))
    }

    /// Takes back a permit that was not used.
    pub fn release(&mut self, backend: &str, incarnation: u64, permit: Permit, now: Duration) {
        let pool = self.pools.get_mut(backend).filter(|pool| pool.incarnation == incarnation);
        if let Some(pool) = pool.filter(|_| permit != Permit::UNLIMITED) {
            pool.permits.insert(0, permit);
            pool.demand = pool.demand.saturating_sub(1);
            pool.missing = false;
            pool.expire(now);
        }
    }

    /// Returns the next request to the leader, if there is something to ask or to report.
    pub fn request(&mut self, now: Duration) -> Option<Vec<PermitWant>> {
        if now < self.ask_at {
            return None;
        }
        let wants = self.pools.iter_mut().filter_map(|(backend, pool)| {
            pool.expire(now);
            pool.is_due(now).then(|| pool.want(backend, now))
        });
        let wants: Vec<PermitWant> = wants.collect();
        if wants.is_empty() {
            return None;
        }
        self.ask_at = now + ASK_PERIOD;
        Some(wants)
    }

    /// Returns when [`request`](Self::request) should be called again, if nothing happens before.
    #[must_use]
    pub fn next_request(&self) -> Option<Duration> {
        let due = self.pools.values().filter_map(Pool::next_due).min()?;
        Some(due.max(self.ask_at))
    }

    /// Records the reply of the leader in `term` to a request that was sent at `sent`.
    ///
    /// The leader is asked for more permits at the time that it names or up to `spread` later, so
    /// that not all entries ask at once. Returns the limits that changed.
    pub fn apply(
        &mut self,
        term: u64,
        grants: &[PermitGrant],
        sent: Duration,
        now: Duration,
        spread: Duration,
    ) -> Vec<LimitChange> {
        // The leader of an earlier term may have been frozen while its successor issued permits.
        if term < self.term {
            self.fail(now, spread);
            return Vec::new();
        }
        self.term = term;
        self.failures = 0;
        let mut changes = Vec::new();
        for grant in grants {
            let pool = self.pools.get_mut(&grant.backend);
            let Some(pool) = pool.filter(|pool| pool.incarnation == grant.incarnation) else {
                continue;
            };
            let Some((asked, count)) = pool.asked.take() else { continue };
            if asked == pool.limit.rate() {
                pool.confirmed = true;
                if let Some(before) = pool.adopt(grant.limit, now) {
                    changes.push(change(&grant.backend, before, grant.limit));
                }
            }
            if pool.limit.rate().is_some() {
                let permit = Permit { expires: sent + LIFETIME };
                pool.permits.extend((0..grant.count).map(|_| permit));
            }
            if grant.count < count {
                pool.ask_at = pool.ask_at.max(now.saturating_add(grant.wait) + spread);
            }
        }
        changes
    }

    /// Records that a request got no reply; the next one follows after a back-off and `spread`.
    ///
    /// Permits that it returned are not returned again, since the leader may have counted them.
    pub fn fail(&mut self, now: Duration, spread: Duration) {
        let back_off = FAILURE_DELAY * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.ask_at = now + back_off.min(FAILURE_DELAY_MAX) + spread;
        for pool in self.pools.values_mut() {
            if let Some((_, count)) = pool.asked.take() {
                pool.missing |= count > 0;
            }
        }
    }

    /// Forgets backend servers that are not known to the fleet any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        self.pools.retain(|backend, pool| is_known(backend) || now < pool.touched + RETENTION);
    }

    /// Returns the pool of an incarnation; a new one if `create` is set, or none.
    fn pool(
        &mut self,
        backend: &str,
        incarnation: u64,
        create: bool,
        now: Duration,
    ) -> Option<&mut Pool> {
        let known = self.pools.get(backend).map(|pool| pool.incarnation);
        if known != Some(incarnation) {
            if !create || known.is_some_and(|known| known > incarnation) {
                return None;
            }
            self.pools.insert(backend.to_owned(), Pool::new(incarnation, now));
        }
        let pool = self.pools.get_mut(backend)?;
        pool.touched = now;
        Some(pool)
    }
}

impl Pool {
    fn new(incarnation: u64, now: Duration) -> Self {
        Self {
            incarnation,
            limit: KnownLimit::default(),
            observed: false,
            confirmed: true,
            asked: None,
            announced: 0,
            permits: Vec::new(),
            demand: 0,
            demand_from: now,
            missing: false,
            unused: 0,
            ask_at: now,
            touched: now,
        }
    }

    /// Takes over the limit that the leader knows; returns the limit before if that differs.
    fn adopt(&mut self, limit: Option<RateLimit>, now: Duration) -> Option<Option<RateLimit>> {
        let before = self.limit.rate();
        if limit == before {
            return None;
        }
        self.limit.update(limit, now);
        self.observed = false;
        self.apply_change(before, now);
        Some(before)
    }

    /// Drops what was granted and asked for at another limit.
    fn apply_change(&mut self, before: Option<RateLimit>, now: Duration) {
        if self.limit.rate() < before {
            self.unused += u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
            self.permits.clear();
        }
        if self.limit.rate().is_none() {
            (self.missing, self.unused) = (false, 0);
        }
        self.ask_at = now;
    }

    /// Moves permits that have expired to those that are returned.
    fn expire(&mut self, now: Duration) {
        let before = self.permits.len();
        self.permits.retain(|permit| permit.is_valid(now));
        self.unused += u32::try_from(before - self.permits.len()).unwrap_or(u32::MAX);
    }

    fn is_due(&self, now: Duration) -> bool {
        self.asked.is_none() && self.next_due().is_some_and(|due| due <= now)
    }

    /// Returns when the leader must be asked or told something.
    fn next_due(&self) -> Option<Duration> {
        if self.asked.is_some() {
            return None;
        }
        if !self.confirmed || self.unused > 0 {
            return Some(Duration::ZERO);
        }
        let ask_at = Some(self.ask_at).filter(|_| self.missing);
        let expires = self.permits.first().map(|permit| permit.expires);
        ask_at.into_iter().chain(expires).min()
    }

    /// Returns how many permits the entry can use before they expire, by its recent demand.
    fn needed(&self, now: Duration) -> u32 {
        let elapsed = now.saturating_sub(self.demand_from).max(DEMAND_TIME);
        let needed = f64::from(self.demand) * DEMAND_TIME.as_secs_f64() / elapsed.as_secs_f64();
        // At most the demand, and not negative.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let needed = needed.ceil() as u32;
        needed.clamp(1, COUNT_MAX)
    }

    fn want(&mut self, backend: &str, now: Duration) -> PermitWant {
        let mut count = 0;
        if self.missing && now >= self.ask_at {
            count = self.needed(now);
            (self.demand, self.demand_from) = (0, now);
            self.missing = false;
        }
        let limit = self.limit.rate();
        self.asked = Some((limit, count));
        PermitWant {
            backend: backend.to_owned(),
            incarnation: self.incarnation,
            limit,
            age: if self.observed { now.saturating_sub(self.limit.as_of()) } else { Duration::MAX },
            count,
            unused: std::mem::take(&mut self.unused),
        }
    }
}

fn change(backend: &str, before: Option<RateLimit>, after: Option<RateLimit>) -> LimitChange {
    LimitChange { backend: backend.to_owned(), before, after }
}
