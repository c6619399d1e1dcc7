//! Load balancing by the estimated load of each backend server.
//!
//! Many entries share few engines, which batch requests. A slot in a batch that
//! is not full costs next to nothing; a request beyond the batch waits until a
//! whole response has ended. So requests stay near, where links are short and not
//! shared, until the engines there are nearly full.

use rand::{Rng, RngExt as _};

/// Share of an engine's batch up to which one more request hardly slows the others.
const UNCROWDED_SHARE: f64 = 0.8;
/// Cost of the load, for each whole batch.
const LOAD_COST: f64 = 0.2;
/// Additional cost of the load beyond [`UNCROWDED_SHARE`], for each whole batch.
const OVERLOAD_COST: f64 = 4.0;
/// Cost of the distance to another data centre of the region.
const REGION_COST: f64 = 0.1;
/// Cost of the distance to another region, over links that all share.
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

/// The load of a backend server that may be given a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendLoad {
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Maximum of `in_flight`.
    pub limit: u32,
    /// Estimate of the requests of all entries in flight there.
    pub load: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// How far away it is.
    pub distance: Distance,
}

impl BackendLoad {
    /// Returns whether it may be given one more request of this entry.
    #[must_use]
    pub const fn has_capacity(&self) -> bool {
        self.in_flight < self.limit
    }

    fn cost(&self) -> f64 {
        let load = (self.load + 1.0) / f64::from(self.slots.max(1));
        let distance = match self.distance {
            Distance::Near => 0.0,
            Distance::Region => REGION_COST,
            Distance::Far => FAR_COST,
        };
        load * LOAD_COST + (load - UNCROWDED_SHARE).max(0.0) * OVERLOAD_COST + distance
    }
}

/// Returns the index of the backend server with the lowest cost; breaks ties at random.
#[must_use]
pub fn choose_cheapest(loads: &[BackendLoad], random: &mut impl Rng) -> Option<usize> {
    /// Costs that differ by less count as equal, so that entries do not all choose the same one.
    const TIE_MARGIN: f64 = 0.02;
    let costs = loads.iter().enumerate().filter(|(_, load)| load.has_capacity());
    let mut costs: Vec<(usize, f64)> = costs.map(|(index, load)| (index, load.cost())).collect();
    let least = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
    costs.retain(|(_, cost)| *cost <= least + TIE_MARGIN);
    let drawn = random.random_range(0..costs.len());
    costs.get(drawn).map(|(index, _)| *index)
}

/// Returns the limit on the concurrent requests of one entry to an engine.
///
/// The limits of all entries together slightly exceed the engine's batch, so that
/// the next request is there when one ends, and none waits for long.
#[must_use]
pub fn entry_limit(slots: u32, headroom: f64, entries: u32) -> u32 {
    /// An entry without any capacity could not serve its callers.
    const LIMIT_MIN: u32 = 2;
    let share = f64::from(slots) * headroom / f64::from(entries.max(1));
    // The limit is small and positive.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small, positive")]
    let limit = share.ceil() as u32;
    limit.max(LIMIT_MIN)
}

/// Returns whether `entries`, each with up to `limit` requests, may exceed an engine's memory.
///
/// A request usually has `tokens`, and the memory holds `kv_tokens`.
///
/// ```
/// use egret_route::overcommits_memory;
///
/// assert!(overcommits_memory(38, 14, 1_049, 317_000));
/// assert!(!overcommits_memory(3, 18, 1_083, 1_640_000));
/// ```
#[must_use]
pub fn overcommits_memory(entries: u32, limit: u32, tokens: u32, kv_tokens: u32) -> bool {
    /// Size of a batch of large requests, relative to one of usual requests.
    const SIZE_MARGIN: f64 = 1.25;
    let most = f64::from(entries) * f64::from(limit) * f64::from(tokens) * SIZE_MARGIN;
    most > f64::from(kv_tokens)
}
