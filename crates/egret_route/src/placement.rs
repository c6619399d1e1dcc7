//! Which backend server a request goes to, by the load that each is known to have.
//!
//! Answers the pattern of many entries before few engines that batch: every
//! place beyond an engine's batch waits for a whole answer to end, so requests
//! go where the fewest are, and a little distance is cheaper than any wait.

use rand::{Rng, RngExt as _};

/// Additional load, in requests, that equals the distance to another region.
const REGION_LOAD: f64 = 1.0;
/// Additional load, in requests, that equals the distance to another data centre.
const CENTRE_LOAD: f64 = 0.5;

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
pub struct Place {
    /// Requests of this entry that it has.
    pub own: u32,
    /// Most requests of this entry that it may have.
    pub bound: u32,
    /// Requests of others that it is thought to have.
    pub others: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How many times slower than usual it is.
    pub pace: f64,
    /// How far away it is.
    pub distance: Distance,
}

impl Place {
    /// Tells whether it may take one more request of this entry.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.own < self.bound
    }

    fn cost(&self) -> f64 {
        let load = (f64::from(self.own) + self.others + 1.0) / f64::from(self.slots.max(1));
        let distance = match self.distance {
            Distance::Near => 0.0,
            Distance::Region => CENTRE_LOAD,
            Distance::Far => REGION_LOAD,
        };
        let distance = distance / f64::from(self.slots.max(1));
        // Beyond the batch a request waits; before it, each one slows the others a little.
        let waiting = (load - 1.0).max(0.0);
        (load + distance + waiting * 4.0) * self.pace.max(0.1)
    }
}

/// Chooses the place with the least cost; equal ones take turns by chance.
#[must_use]
pub fn place(places: &[Place], random: &mut impl Rng) -> Option<usize> {
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
pub fn entry_bound(slots: u32, headroom: f64, entries: u32) -> u32 {
    /// An entry that got no place at all could serve nobody.
    const BOUND_MIN: u32 = 2;
    let share = f64::from(slots) * headroom / f64::from(entries.max(1));
    // The bound is small and positive.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small, positive")]
    let bound = share.ceil() as u32;
    bound.max(BOUND_MIN)
}
