//! How many slots of an engine each entry should have.

use std::cmp::{Ordering, Reverse};

use crate::RANKS;

/// Most slots that an entry holds without a request for them.
const HEADROOM_MAX: u32 = 1;
/// The agent keeps this part of all slots as long as they are free.
///
/// An entry that asks gets such a slot with the reply; headroom first has to come back from another
/// entry.
const RESERVE_DIVISOR: u32 = 12;

/// What one entry uses and wants, and what it should have.
#[derive(Debug, Clone)]
pub(crate) struct Share {
    near: bool,
    /// Slots that it uses or may use.
    used: u32,
    /// Waiting requests by rank that have no slot yet.
    waiting: [u32; RANKS],
    /// Those of them for which others should give up slots.
    pressing: [u32; RANKS],
    /// Whether free slots may be kept for its waiting requests until it asks.
    prompt: bool,
    /// Whether they may also be kept for those of a better rank than the one that asks has.
    fresh: bool,
    /// Free slots that it should get.
    gained: u32,
    /// Slots of other entries that it should get when their requests end.
    expected: u32,
    /// Used slots that it should not use again when their requests end.
    yielded: u32,
    /// Slots that it may hold without a request for them.
    headroom: u32,
    /// Whether no other entry gives up a slot for its remaining requests now.
    settled: bool,
}

/// The order in which entries get slots: by rank, near before far, fewer slots before more.
pub(crate) type Precedence = (usize, bool, u32);

impl Share {
    /// Creates the share of the entry that is given a new grant: it keeps only what it uses.
    pub(crate) const fn asking(
        near: bool,
        in_flight: u32,
        waiting: [u32; RANKS],
        pressing: [u32; RANKS],
    ) -> Self {
        Self {
            near,
            used: in_flight,
            waiting,
            pressing,
            prompt: true,
            fresh: true,
            gained: 0,
            expected: 0,
            yielded: 0,
            headroom: 0,
            settled: false,
        }
    }

    /// Creates the share of another entry, which may use all that it was granted.
    pub(crate) fn granted(
        near: bool,
        in_flight: u32,
        committed: u32,
        waiting: [u32; RANKS],
        pressing: [u32; RANKS],
        (prompt, fresh): (bool, bool),
    ) -> Self {
        let mut share = Self { prompt, fresh, ..Self::asking(near, in_flight, waiting, pressing) };
        // Grants beyond its requests in flight are for its waiting requests, or else headroom.
        for _ in in_flight..committed {
            let slots = if share.serve() { &mut share.used } else { &mut share.headroom };
            *slots += 1;
        }
        share
    }

    /// Returns whether it uses no slot.
    pub(crate) const fn is_empty(&self) -> bool {
        self.used == 0
    }

    /// Returns how many slots the entry should have now.
    pub(crate) const fn target(&self) -> u32 {
        self.used + self.gained - self.yielded + self.headroom
    }

    /// Returns the precedence of its next waiting request.
    pub(crate) fn claim(&self) -> Option<Precedence> {
        self.precedence(&self.waiting)
    }

    fn precedence(&self, waiting: &[u32; RANKS]) -> Option<Precedence> {
        let rank = waiting.iter().position(|count| *count > 0)?;
        Some((rank, !self.near, self.in_use()))
    }

    const fn in_use(&self) -> u32 {
        self.used + self.gained + self.expected - self.yielded
    }

    /// Takes the next waiting request from those without a slot; returns whether there is one.
    fn serve(&mut self) -> bool {
        let Some(rank) = self.waiting.iter().position(|count| *count > 0) else { return false };
        self.waiting[rank] -= 1;
        self.pressing[rank] = self.pressing[rank].min(self.waiting[rank]);
        true
    }

    /// Returns the rank of the request that would get the slot which it gives up next.
    ///
    /// Its slots go to its own requests in the order of their ranks, so this is the last one.
    fn last_rank(&self) -> Option<usize> {
        let mut left = self.used - self.yielded;
        self.waiting.iter().position(|count| {
            let reached = *count >= left;
            left = left.saturating_sub(*count);
            reached
        })
    }

    /// Returns whether its next free slot should go to a request of another entry instead.
    fn yields_to(&self, (rank, far, in_use): Precedence) -> bool {
        if self.used == self.yielded {
            return false;
        }
        let own = (self.last_rank().unwrap_or(rank), !self.near);
        match own.cmp(&(rank, far)) {
            Ordering::Greater => true,
            Ordering::Less => false,
            // An entry without a slot gets one even if that only swaps the two, or else it would
            // starve where there are fewer slots than entries.
            Ordering::Equal => in_use + 1 < self.in_use() || (in_use == 0 && self.in_use() > 0),
        }
    }
}

/// Divides `slots` among entries, of which the first asks for a grant.
///
/// `returns` tells that it gives back a slot for others, so it does not get that again at once.
///
/// Free slots go to waiting requests in the order of their precedence, but are kept only for entries
/// that ask promptly. For each entry whose requests get none, one that has more gives up a slot when
/// a request ends. What nobody wants is headroom. Ties are broken in favour of the entry that
/// asks, so that a free slot does not wait for one that asks later.
pub(crate) fn divide(shares: &mut [Share], returns: bool, slots: u32) {
    let used: u32 = shares.iter().map(|share| share.used + share.headroom).sum();
    let mut free = slots.saturating_sub(used);
    keep_for_better(shares);
    while free > 0
        && let Some((index, _)) =
            next_claim(shares, returns, |share| share.claim().filter(|_| returns || share.prompt))
    {
        shares[index].serve();
        shares[index].gained += 1;
        free -= 1;
    }
    // Used slots that the engine does not have go back without a claim.
    for _ in slots..used {
        give_back(shares);
    }
    if shares.iter().all(|share| share.claim().is_none()) {
        spread(shares, free.saturating_sub(slots / RESERVE_DIVISOR));
    }
    while let Some((index, claim)) =
        next_claim(shares, returns, |share| share.precedence(&share.pressing))
    {
        let donors = shares.iter().enumerate();
        let donor = donors
            .filter(|(other, share)| *other != index && share.yields_to(claim))
            .max_by_key(|(other, share)| {
                (share.last_rank(), !share.near, share.in_use(), Reverse(*other))
            })
            .map(|(donor, _)| donor);
        let share = &mut shares[index];
        match donor {
            Some(donor) => {
                share.pressing[claim.0] -= 1;
                share.waiting[claim.0] -= 1;
                share.expected += 1;
                // One at a time: its requests also claim slots elsewhere, and slots that are given
                // up are unused until they are asked for.
                share.settled = true;
                shares[donor].yielded += 1;
            }
            // What nobody gives to this claim, nobody gives to a later one.
            None if share.used == 0 => return,
            // Except for its own slots, which serve its requests when they are free.
            None => share.settled = true,
        }
    }
}

/// Keeps free slots also for near entries with requests of a better rank than the first one has.
///
/// These are asked for often enough that some of them soon ask.
fn keep_for_better(shares: &mut [Share]) {
    let Some((asking, ..)) = shares[0].claim() else { return };
    for share in shares {
        share.prompt |= share.fresh && share.claim().is_some_and(|(rank, ..)| rank < asking);
    }
}

/// Returns the entry with the first claim; of equal ones the asking entry's, unless `returns`.
///
/// An entry that gave up a slot does not get another for it.
fn next_claim(
    shares: &[Share],
    returns: bool,
    claim: impl Fn(&Share) -> Option<Precedence>,
) -> Option<(usize, Precedence)> {
    let shares = shares.iter().enumerate();
    shares
        .filter(|(_, share)| !share.settled && share.yielded == 0)
        .filter_map(|(index, share)| Some((index, claim(share)?)))
        .min_by_key(|(index, claim)| (*claim, returns && *index == 0, *index))
}

/// Takes a used slot from the entry that has most.
fn give_back(shares: &mut [Share]) {
    let used = shares.iter_mut().filter(|share| share.used > share.yielded);
    if let Some(share) = used.max_by_key(|share| (!share.near, share.in_use())) {
        share.yielded += 1;
    }
}

/// Spreads slots that nobody wants as headroom; near entries only, if there are any.
fn spread(shares: &mut [Share], count: u32) {
    let any_near = shares.iter().any(|share| share.near);
    for _ in 0..count {
        let next = shares
            .iter_mut()
            .filter(|share| share.near == any_near && share.headroom < HEADROOM_MAX)
            .min_by_key(|share| share.headroom);
        let Some(next) = next else { return };
        next.headroom += 1;
    }
}
