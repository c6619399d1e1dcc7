//! Who fetches which chunk from whom.
//!
//! Chunks take turns over a fixed number of trees, so that a holder talks to
//! few others however many there are. In each tree the holders of a data centre
//! stand in the same order, turned a step further, so everybody is an inner
//! node in half of the trees and a leaf in the others, and uploads about as
//! much as it downloads. All agents agree on the trees without talking. A few
//! seeders fetch from the origin; the roots of the data centres ask them, or
//! each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use egret_record::{BackendName, DataCentre};

/// Trees over which chunks take turns, and so the parents of a holder at the most.
pub const TREES: usize = 16;
/// Children of a holder in one tree.
pub const CHILDREN: usize = 2;
/// Most holders that fetch from the origin. Few of them get chunks one soon after the other; many
/// share the origin's link and get theirs all at once, which then queue at every holder.
const SEEDERS: usize = 3;
/// Holders for each of them, so that few holders do not all fetch from the origin.
const HOLDERS_PER_SEEDER: usize = 4;

/// A backend server that holds or wants a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its name.
    pub name: BackendName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its agent's address for weights.
    pub address: SocketAddr,
}

/// Where a chunk comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parent {
    /// From another agent.
    Agent(BackendName, SocketAddr),
    /// From the origin.
    Origin,
}

/// Returns the sources of a chunk for `own`, best first; the last is the origin.
///
/// As [`Forest::parents`], for whoever asks about one chunk alone.
#[must_use]
pub fn parents(index: u32, own: &BackendName, holders: &[Holder]) -> Vec<Parent> {
    Forest::new(holders).parents(index, own)
}

/// Returns the tree of a chunk.
///
/// Chunks that follow each other take trees that are turned far from each other, so that a holder
/// which uploads one twice is a leaf for the next.
fn tree_of(index: u32) -> usize {
    let tree = index as usize % TREES;
    tree.reverse_bits() >> (usize::BITS - TREES.trailing_zeros())
}

/// All holders, in the orders that all agents agree on.
#[derive(Debug)]
pub struct Forest<'h> {
    centres: BTreeMap<&'h DataCentre, Vec<&'h Holder>>,
    seeders: Vec<&'h Holder>,
}

impl<'h> Forest<'h> {
    /// Orders holders, which may stand in any order.
    #[must_use]
    pub fn new(holders: &'h [Holder]) -> Self {
        let mut all: Vec<&Holder> = holders.iter().collect();
        all.sort_unstable_by_key(|holder| &holder.name);
        let count = SEEDERS.min(all.len().div_ceil(HOLDERS_PER_SEEDER));
        let mut centres: BTreeMap<&DataCentre, Vec<&Holder>> = BTreeMap::new();
        for holder in all {
            centres.entry(&holder.data_centre).or_default().push(holder);
        }
        // Each is of another data centre as far as there are so many: the rest of a data centre
        // uploads in place of its seeders.
        let most = centres.values().map(Vec::len).max().unwrap_or(0);
        let turns = (0..most).flat_map(|at| centres.values().filter_map(move |near| near.get(at)));
        let seeders = turns.copied().take(count).collect();
        Self { centres, seeders }
    }

    /// Returns the sources of a chunk for `own`, best first; the last is the origin.
    ///
    /// Each next source is nearer to the origin, so that a chunk still comes when
    /// any holder on the way is dead or slow.
    #[must_use]
    pub fn parents(&self, index: u32, own: &BackendName) -> Vec<Parent> {
        let tree = tree_of(index);
        let mut holders = self.centres.values().flatten();
        let Some(centre) = holders.find(|holder| holder.name == *own) else {
            return vec![Parent::Origin];
        };
        let seeder = self.seeder(tree);
        if seeder.name == *own {
            return vec![Parent::Origin];
        }
        let mut sources = self.above(tree, own, &centre.data_centre);
        sources.extend(self.roots_above(tree, &seeder.data_centre, &centre.data_centre));
        // A seeder is in a tree as well, where it may be the root.
        sources.retain(|holder| holder.name != seeder.name && holder.name != *own);
        sources.push(seeder);
        // When the seeder is lost, one root fetches from the origin and the others ask it.
        let first = self.ordered(tree, &seeder.data_centre).first().copied();
        let stands_in = |holder: &&Holder| {
            holder.name != *own && sources.iter().all(|source| source.name != holder.name)
        };
        sources.extend(first.filter(stands_in));
        sources.into_iter().map(agent).chain([Parent::Origin]).collect()
    }

    /// Returns who fetches the chunks of a tree from the origin.
    fn seeder(&self, tree: usize) -> &'h Holder {
        self.seeders[tree % self.seeders.len()]
    }

    /// Returns the holders of a data centre as they stand in a tree, the root first.
    ///
    /// Seeders come last, since they upload enough as it is.
    fn ordered(&self, tree: usize, centre: &DataCentre) -> Vec<&'h Holder> {
        let near = self.centres.get(centre).map(Vec::as_slice).unwrap_or_default();
        let seeds = |holder: &&Holder| self.seeders.iter().any(|one| one.name == holder.name);
        let (last, mut order): (Vec<_>, Vec<_>) = near.iter().copied().partition(seeds);
        let turn = tree * order.len() / TREES;
        order.rotate_left(turn);
        order.extend(last);
        order
    }

    /// Returns the holders on the way from `own` to the root of its data centre.
    fn above(&self, tree: usize, own: &BackendName, centre: &DataCentre) -> Vec<&'h Holder> {
        let order = self.ordered(tree, centre);
        let mut at = order.iter().position(|holder| holder.name == *own).unwrap_or(0);
        let mut sources = Vec::new();
        while at > 0 {
            at = (at - 1) / CHILDREN;
            sources.push(order[at]);
        }
        sources
    }

    /// Returns the roots of data centres on the way from that of `centre` to the seeder's.
    ///
    /// The seeder's data centre comes first; two of them ask the seeder, and each after that
    /// asks the root of one before it.
    fn roots_above(&self, tree: usize, first: &DataCentre, centre: &DataCentre) -> Vec<&'h Holder> {
        let mut names: Vec<&DataCentre> =
            self.centres.keys().copied().filter(|name| *name != first).collect();
        if !names.is_empty() {
            let turn = tree % names.len();
            names.rotate_left(turn);
        }
        names.insert(0, first);
        let mut at = names.iter().position(|name| *name == centre).unwrap_or(0);
        let mut sources = Vec::new();
        while at >= CHILDREN {
            at = (at - CHILDREN) / CHILDREN;
            sources.extend(self.ordered(tree, names[at]).first().copied());
        }
        sources
    }
}

/// Returns the sources of any chunk for `own` along one chain of all holders.
#[must_use]
pub fn chain_parents(own: &BackendName, holders: &[Holder]) -> Vec<Parent> {
    let mut chain: Vec<_> = holders.iter().collect();
    chain.sort_unstable_by_key(|holder| (&holder.data_centre, &holder.name));
    let at = chain.iter().position(|holder| holder.name == *own).unwrap_or(0);
    let before = chain[..at].iter().rev().map(|holder| agent(holder));
    before.chain([Parent::Origin]).collect()
}

fn agent(holder: &Holder) -> Parent {
    Parent::Agent(holder.name.clone(), holder.address)
}
