//! Which backend server a request goes to, by the load that each is known to have.
//!
//! Answers the pattern of many entries before few engines that batch: a place
//! in a batch that is not full costs next to nothing, every place beyond it
//! waits for a whole answer to end. So requests stay near, where links are short
//! and not shared, until the engines there are nearly full.

use rand::{Rng, RngExt as _};

/// Part of an engine's batch up to which one more request hardly slows the others.
const EASY_PART: f64 = 0.8;
/// Cost of a full batch that is not beyond that part.
const EASY_COST: f64 = 0.2;
/// Cost of each whole batch beyond that part.
const CROWDED_COST: f64 = 4.0;
/// Cost of the distance to another data centre of the region.
const REGION_COST: f64 = 0.1;
/// Cost of the distance to another region, whose links all share.
const FAR_COST: f64 = 0.3;

/// How far away a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the data centre of the entry.
    Near,
    /// In another data centre of its region.
    Region,
    /// In another region.
    Far,
}

/// A backend server that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendLoad {
    /// Requests of this entry that it has.
    pub own: u32,
    /// Most requests of this entry that it may have.
    pub bound: u32,
    /// Requests of all entries that it is thought to have.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How far away it is.
    pub distance: Distance,
}

impl BackendLoad {
    /// Tells whether it may take one more request of this entry.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.own < self.bound
    }

    fn cost(&self) -> f64 {
        let load = (self.load + 1.0) / f64::from(self.slots.max(1));
        let distance = match self.distance {
            Distance::Near => 0.0,
            Distance::Region => REGION_COST,
            Distance::Far => FAR_COST,
        };
        load * EASY_COST + (load - EASY_PART).max(0.0) * CROWDED_COST + distance
    }
}

/// Chooses the place with the least cost; equal ones take turns by chance.
#[must_use]
pub fn place(places: &[BackendLoad], random: &mut impl Rng) -> Option<usize> {
    /// Cost within which two places are alike, so that entries do not all choose one.
    const ALIKE: f64 = 0.02;
    let costs = places.iter().enumerate().filter(|(_, place)| place.has_room());
    let mut costs: Vec<(usize, f64)> = costs.map(|(at, place)| (at, place.cost())).collect();
    let least = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
    costs.retain(|(_, cost)| *cost <= least + ALIKE);
    let at = random.random_range(0..costs.len());
    costs.get(at).map(|(place, _)| *place)
}

/// Returns how many requests of one entry an engine may have.
///
/// The bounds of all entries together are a little over the engine's batch, so
/// that the next request is there when one ends, and none waits for long.
#[must_use]
pub fn entry_limit(slots: u32, headroom: f64, entries: u32) -> u32 {
    /// An entry that got no place at all could serve nobody.
    const BOUND_MIN: u32 = 2;
    let share = f64::from(slots) * headroom / f64::from(entries.max(1));
    // The bound is small and positive.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small, positive")]
    let bound = share.ceil() as u32;
    bound.max(BOUND_MIN)
}
