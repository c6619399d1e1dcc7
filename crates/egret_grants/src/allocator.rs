//! The agent's side, which divides the slots of one engine.

use std::{collections::VecDeque, time::Duration};

use egret_record::FastMap;

use crate::{
    Demand, Grant, RANKS,
    shares::{Precedence, Share, divide},
};

/// Time from sending a demand until the grant in its reply ends.
const LEASE: Duration = Duration::from_secs(1);
/// Time between the demands of an entry that neither uses nor wants more than it has.
const PERIOD: Duration = Duration::from_millis(100);
/// Longest time between two demands; three of them fit into a lease, so that two may be lost.
const PERIOD_MAX: Duration = Duration::from_millis(300);
/// Time between the demands of an entry without requests that holds headroom.
const IDLE_PERIOD: Duration = Duration::from_millis(200);
/// Longest time between two demands of an entry with waiting requests and no slots.
///
/// It has no lease to renew, so it only has to be shorter than the time after which it is forgotten.
const EMPTY_PERIOD_MAX: Duration = Duration::from_millis(900);
/// Time between the demands of the entry that the next free slot is for.
const NEXT_PERIOD: Duration = Duration::from_millis(20);
/// Time for which requests of a rank wait at an entry until other entries give up slots for them.
///
/// An entry's own slots serve most of them earlier, and each claims a slot at all engines.
const PRESSING_TIME: Duration = Duration::from_millis(100);
/// One of so many slots of an entry is free soon enough for its own waiting requests.
const OWN_DIVISOR: u32 = 4;
/// Time for which a free slot is kept for an entry with a better claim than the one that asks.
///
/// Without a limit, engines with 20 entries at 2.5 times their capacity had 13 % of their slot time
/// unused, instead of 3 %.
const KEEP_TIME: Duration = Duration::from_millis(20);
/// Age of a demand up to which a free slot is kept for its requests of a better rank.
const KEEP_AGE_MAX: Duration = Duration::from_millis(50);
/// Mean time between two demands of entries that want slots of one rank.
///
/// A demand and its reply are about 110 bytes with their headers; 100 a second are 11 KB/s.
const SPACING: Duration = Duration::from_millis(10);
/// Time after a gap in which entries keep what they use.
///
/// Without leases entries keep to their quotas; each must have told what it uses before slots are
/// given to others.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Maximum number of entries; more than a deployment has.
const ENTRIES_MAX: usize = 4_096;
/// Maximum length of the id of an entry, in bytes.
const ENTRY_BYTES_MAX: usize = 63;

/// Divides the slots of one engine among the entries that send demands.
///
/// The slots of all unexpired leases never exceed the engine's. A lower grant frees slots only once
/// the entry confirms that it obeys it, or its earlier leases have ended. Demands that are
/// duplicates, out of order or of an earlier incarnation change nothing.
///
/// ```
/// use std::time::Duration;
/// use egret_grants::{Allocator, Demand};
///
/// let mut agent = Allocator::new(8);
/// let now = Duration::from_secs(10);
/// let first = Demand {
///     entry: "entry-1".to_owned(),
///     incarnation: 1,
///     seq: 1,
///     near: true,
///     in_flight: 0,
///     held: 0,
///     held_seq: 0,
///     waiting: [0, 20, 0, 0],
/// };
/// let second = Demand { entry: "entry-2".to_owned(), waiting: [3, 0, 0, 0], ..first.clone() };
/// assert_eq!(agent.apply(&first, now).slots, 8);
/// assert_eq!(agent.apply(&second, now).slots, 0, "the first entry may use all slots");
/// let now = now + Duration::from_millis(100);
/// let second = Demand { seq: 2, ..second };
/// assert_eq!(agent.apply(&second, now).slots, 0);
/// let full = Demand { seq: 2, in_flight: 8, held: 8, held_seq: 1, ..first.clone() };
/// assert_eq!(agent.apply(&full, now).slots, 7, "the next free slot is for a better rank");
/// let confirmed = Demand { seq: 3, in_flight: 7, held: 7, held_seq: 2, ..first };
/// agent.apply(&confirmed, now);
/// assert_eq!(agent.apply(&Demand { seq: 3, ..second }, now).slots, 1);
/// ```
#[derive(Debug)]
pub struct Allocator {
    slots: u32,
    /// The highest number of slots so far; an entry cannot honestly use more.
    slots_peak: u32,
    holders: FastMap<String, Holder>,
    /// When the last demand was applied.
    heard: Option<Duration>,
    settling_until: Duration,
}

/// What one incarnation of an entry reported, and what it was granted.
#[derive(Debug)]
struct Holder {
    incarnation: u64,
    seq: u64,
    near: bool,
    in_flight: u32,
    held: u32,
    waiting: [u32; RANKS],
    /// Since when requests of each rank wait.
    since: [Option<Duration>; RANKS],
    heard: Duration,
    /// Grants that it may obey now or later, besides `held`: those after the one it obeys.
    ///
    /// Only those that no later one exceeds, so in the order of both `seq` and falling slots.
    promises: VecDeque<Promise>,
    reply: Grant,
}

#[derive(Debug, Clone, Copy)]
struct Promise {
    seq: u64,
    slots: u32,
    expires: Duration,
}

impl Allocator {
    /// Creates the allocator of an engine that runs `slots` requests concurrently.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.min(u16::MAX.into());
        Self {
            slots,
            slots_peak: slots,
            holders: FastMap::default(),
            heard: None,
            settling_until: Duration::ZERO,
        }
    }

    /// Sets the number of slots from now on; 0 while the engine takes no requests.
    ///
    /// Entries obey a reduction with their next demands, or when their leases end.
    pub fn set_slots(&mut self, slots: u32, now: Duration) {
        self.slots = slots.min(u16::MAX.into());
        self.slots_peak = self.slots_peak.max(self.slots);
        self.expire(now);
    }

    /// Returns how many slots entries may use by their grants, or use beyond them.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.holders.values().map(Holder::committed).sum()
    }

    /// Returns how many entries are known.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.holders.len()
    }

    /// Records a demand and returns the reply.
    pub fn apply(&mut self, demand: &Demand, now: Duration) -> Grant {
        // Without entries that had slots, nobody uses a quota.
        let granted = self.holders.values().any(|holder| holder.committed() > 0);
        if granted && self.heard.is_some_and(|heard| now >= heard + LEASE) {
            self.settling_until = now + SETTLE_TIME;
        }
        self.heard = Some(now);
        self.expire(now);
        let none = Grant { seq: demand.seq, slots: 0, lease: LEASE, period: PERIOD_MAX };
        let known = self.holders.get(&demand.entry);
        let excess = known.is_none() && self.holders.len() >= ENTRIES_MAX;
        if demand.entry.len() > ENTRY_BYTES_MAX || excess {
            return none;
        }
        match known {
            Some(known) if known.incarnation > demand.incarnation => return none,
            Some(known) if known.incarnation == demand.incarnation && known.seq >= demand.seq => {
                return known.reply;
            }
            _ => {}
        }
        let holder = match self.holders.remove(&demand.entry) {
            Some(known) if known.incarnation == demand.incarnation => known,
            // The connections of an earlier incarnation have ended, and its requests with them.
            _ => Holder::new(demand.incarnation, none),
        };
        // A request ended whose slot the last grant took back.
        let returns = u32::from(demand.in_flight) < holder.in_flight
            && u32::from(holder.reply.slots) < holder.in_flight;
        let mut holder = holder.report(demand, self.slots_peak, now);
        let (target, period) = self.target(&holder, returns, now);
        let used = self.in_use();
        let mut slots = target.min(self.slots.saturating_sub(used));
        if now < self.settling_until {
            slots = slots.min(holder.held.max(holder.in_flight));
        }
        holder.promise(slots, period, now);
        let reply = holder.reply;
        self.holders.insert(demand.entry.clone(), holder);
        reply
    }

    /// Returns how many slots an entry should have, and when it should ask again.
    fn target(&self, asking: &Holder, returns: bool, now: Duration) -> (u32, Duration) {
        let Holder { near, in_flight, waiting, .. } = *asking;
        let mut shares = vec![Share::asking(near, in_flight, waiting, asking.pressing(now))];
        shares.extend(self.holders.values().map(|holder| holder.share(now)));
        let period = Self::period(&shares);
        divide(&mut shares, returns, self.slots);
        (shares[0].target(), period)
    }

    /// Returns the time until the next demand of the first entry.
    ///
    /// Those with waiting requests ask in turn, so that a free slot soon finds one of them.
    fn period(shares: &[Share]) -> Duration {
        let entries = |count: usize| SPACING * u32::try_from(count).unwrap_or(u32::MAX);
        let asking = &shares[0];
        let Some(claim) = asking.claim() else {
            let least = if asking.is_empty() { IDLE_PERIOD } else { PERIOD };
            return entries(shares.len()).clamp(least, PERIOD_MAX);
        };
        let ahead = |other: &Precedence| (other.0, other.1) <= (claim.0, claim.1);
        let claims = || shares.iter().filter_map(Share::claim);
        if claims().filter(|other| *other <= claim).count() == 1 {
            return NEXT_PERIOD;
        }
        let most = if asking.is_empty() { EMPTY_PERIOD_MAX } else { PERIOD_MAX };
        entries(claims().filter(ahead).count()).clamp(NEXT_PERIOD, most)
    }

    fn expire(&mut self, now: Duration) {
        self.holders.retain(|_, holder| {
            holder.promises.retain(|promise| now < promise.expires);
            now < holder.heard + LEASE
        });
    }
}

impl Holder {
    const fn new(incarnation: u64, reply: Grant) -> Self {
        Self {
            incarnation,
            seq: 0,
            near: false,
            in_flight: 0,
            held: 0,
            waiting: [0; RANKS],
            since: [None; RANKS],
            heard: Duration::ZERO,
            promises: VecDeque::new(),
            reply,
        }
    }

    /// Takes over what a demand says; wrong numbers count as at most `slots`.
    fn report(mut self, demand: &Demand, slots: u32, now: Duration) -> Self {
        self.seq = demand.seq;
        self.near = demand.near;
        self.in_flight = u32::from(demand.in_flight).min(slots);
        self.held = u32::from(demand.held).min(slots);
        self.waiting = demand.waiting.map(u32::from);
        for (since, count) in self.since.iter_mut().zip(self.waiting) {
            *since = (count > 0).then(|| since.unwrap_or(now));
        }
        self.heard = now;
        self.promises.retain(|promise| promise.seq > demand.held_seq);
        self
    }

    /// Returns the most requests that it may have in flight by what is known.
    fn committed(&self) -> u32 {
        let promised = self.promises.front().map_or(0, |promise| promise.slots);
        self.in_flight.max(self.held).max(promised)
    }

    /// Returns its waiting requests for which others should give up slots.
    fn pressing(&self, now: Duration) -> [u32; RANKS] {
        let mut pressing = self.waiting;
        let mut soon_served = self.in_flight / OWN_DIVISOR;
        for (count, since) in pressing.iter_mut().zip(self.since) {
            let served = soon_served.min(*count);
            soon_served -= served;
            *count -= served;
            if since.is_none_or(|since| now < since + PRESSING_TIME) {
                *count = 0;
            }
        }
        pressing
    }

    /// Returns what it may use and wants, while another entry asks.
    fn share(&self, now: Duration) -> Share {
        // After two lost demands its requests may be gone, and others would wait for them.
        let is_recent = now <= self.heard + self.reply.period * 2 + PERIOD;
        let (waiting, pressing) =
            if is_recent { (self.waiting, self.pressing(now)) } else { ([0; RANKS], [0; RANKS]) };
        let due = self.heard + self.reply.period;
        let prompt = self.near && due <= now + KEEP_TIME && now <= due + KEEP_TIME;
        let fresh = self.near && now <= self.heard + KEEP_AGE_MAX;
        let committed = self.committed();
        Share::granted(self.near, self.in_flight, committed, waiting, pressing, (prompt, fresh))
    }

    fn promise(&mut self, slots: u32, period: Duration, now: Duration) {
        while self.promises.back().is_some_and(|last| last.slots <= slots) {
            self.promises.pop_back();
        }
        self.promises.push_back(Promise { seq: self.seq, slots, expires: now + LEASE });
        let slots = u16::try_from(slots).unwrap_or(u16::MAX);
        self.reply = Grant { seq: self.seq, slots, lease: LEASE, period };
    }
}
