//! Distribution trees, which give each chunk its sources.
//!
//! Chunks are assigned in turn to a fixed number of trees, so that a holder connects
//! to few others even in a large fleet. All trees order the holders of a data centre
//! alike, but tree `n` rotates the order by `n / TREES` of its length. So every holder
//! is an inner node in about half of the trees and a leaf in the others, and uploads
//! about as much as it downloads. All agents compute the same trees without
//! communicating.
//! A few seeders fetch from the origin; the roots of the data centres fetch from
//! them or from each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use egret_record::{BackendName, DataCentre};

/// Number of distribution trees, and so the maximum number of a holder's direct parents.
pub const TREES: usize = 16;
/// Number of children of a holder in one tree.
pub const CHILDREN: usize = 2;
/// Maximum number of holders that fetch from the origin. A few receive chunks in quick succession;
/// many would share the origin's link and receive theirs all at the same time, so that the chunks
/// would queue at every holder.
const SEEDERS_MAX: usize = 3;
/// Number of holders per seeder, so that in a small fleet not all fetch from the origin.
const HOLDERS_PER_SEEDER: usize = 4;

/// A backend server that holds or fetches a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its name.
    pub name: BackendName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address at which its agent serves weights.
    pub address: SocketAddr,
}

/// A source of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parent {
    /// Another agent.
    Agent(BackendName, SocketAddr),
    /// The origin.
    Origin,
}

/// Returns the sources of a chunk for `own`, best first; the last is the origin.
///
/// Like [`Forest::parents`], for callers that need a single chunk.
#[must_use]
pub fn parents(index: u32, own: &BackendName, holders: &[Holder]) -> Vec<Parent> {
    Forest::new(holders).parents(index, own)
}

/// Returns the tree of a chunk.
///
/// Consecutive chunks use trees with rotations far apart, so that a holder that uploads one chunk
/// twice is a leaf for the next.
fn tree_of(index: u32) -> usize {
    let tree = index as usize % TREES;
    tree.reverse_bits() >> (usize::BITS - TREES.trailing_zeros())
}

/// The distribution trees of all holders, which all agents compute alike.
#[derive(Debug)]
pub struct Forest<'h> {
    centres: BTreeMap<&'h DataCentre, Vec<&'h Holder>>,
    seeders: Vec<&'h Holder>,
}

impl<'h> Forest<'h> {
    /// Builds the trees of `holders`, whose order does not matter.
    #[must_use]
    pub fn new(holders: &'h [Holder]) -> Self {
        let mut all: Vec<&Holder> = holders.iter().collect();
        all.sort_unstable_by_key(|holder| &holder.name);
        let count = SEEDERS_MAX.min(all.len().div_ceil(HOLDERS_PER_SEEDER));
        let mut centres: BTreeMap<&DataCentre, Vec<&Holder>> = BTreeMap::new();
        for holder in all {
            centres.entry(&holder.data_centre).or_default().push(holder);
        }
        // Seeders are in different data centres where possible, as the other holders of a data
        // centre take over uploads from its seeders.
        let largest = centres.values().map(Vec::len).max().unwrap_or(0);
        let ranked =
            (0..largest).flat_map(|rank| centres.values().filter_map(move |near| near.get(rank)));
        let seeders = ranked.copied().take(count).collect();
        Self { centres, seeders }
    }

    /// Returns the sources of a chunk for `own`, best first; the last is the origin.
    ///
    /// The sources follow the path to the origin, so that a failed or slow holder on it does not
    /// prevent a chunk from arriving.
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
        let mut sources = self.ancestors(tree, own, &centre.data_centre);
        sources.extend(self.root_ancestors(tree, &seeder.data_centre, &centre.data_centre));
        // A seeder has a place in the tree as well, where it may be the root.
        sources.retain(|holder| holder.name != seeder.name && holder.name != *own);
        sources.push(seeder);
        // If the seeder fails, one root fetches from the origin and the others ask that root.
        let backup = self.ordered(tree, &seeder.data_centre).first().copied();
        let is_new = |holder: &&Holder| {
            holder.name != *own && sources.iter().all(|source| source.name != holder.name)
        };
        sources.extend(backup.filter(is_new));
        sources.into_iter().map(agent).chain([Parent::Origin]).collect()
    }

    /// Returns the holder that fetches the chunks of a tree from the origin.
    fn seeder(&self, tree: usize) -> &'h Holder {
        self.seeders[tree % self.seeders.len()]
    }

    /// Returns the holders of a data centre in the order of a tree, the root first.
    ///
    /// Seeders come last, since they already upload as seeders.
    fn ordered(&self, tree: usize, centre: &DataCentre) -> Vec<&'h Holder> {
        let near = self.centres.get(centre).map(Vec::as_slice).unwrap_or_default();
        let is_seeder =
            |holder: &&Holder| self.seeders.iter().any(|seeder| seeder.name == holder.name);
        let (seeders, mut order): (Vec<_>, Vec<_>) = near.iter().copied().partition(is_seeder);
        let rotation = tree * order.len() / TREES;
        order.rotate_left(rotation);
        order.extend(seeders);
        order
    }

    /// Returns the holders on the path from `own` to the root of its data centre.
    fn ancestors(&self, tree: usize, own: &BackendName, centre: &DataCentre) -> Vec<&'h Holder> {
        let order = self.ordered(tree, centre);
        let mut index = order.iter().position(|holder| holder.name == *own).unwrap_or(0);
        let mut sources = Vec::new();
        while index > 0 {
            index = (index - 1) / CHILDREN;
            sources.push(order[index]);
        }
        sources
    }

    /// Returns the roots of data centres on the path from that of `centre` to the seeder's.
    ///
    /// The data centres form a tree as well, with the seeder's as the first. The roots of the
    /// first two ask the seeder; each later one asks the root of an earlier one. If the seeder is
    /// alone in its data centre, only the root of the first other one asks it, since its link would
    /// have to carry two copies otherwise.
    fn root_ancestors(
        &self,
        tree: usize,
        first: &DataCentre,
        centre: &DataCentre,
    ) -> Vec<&'h Holder> {
        let mut names: Vec<&DataCentre> =
            self.centres.keys().copied().filter(|name| *name != first).collect();
        if !names.is_empty() {
            let rotation = tree % names.len();
            names.rotate_left(rotation);
        }
        let direct = if self.centres.get(first).is_some_and(|near| near.len() > 1) {
            names.insert(0, first);
            CHILDREN
        } else {
            1
        };
        let mut index = names.iter().position(|name| *name == centre).unwrap_or(0);
        let mut sources = Vec::new();
        while index >= direct {
            index = (index - direct) / CHILDREN;
            sources.extend(self.ordered(tree, names[index]).first().copied());
        }
        sources
    }
}

/// Returns the sources of any chunk for `own` in a single chain of all holders.
#[must_use]
pub fn chain_parents(own: &BackendName, holders: &[Holder]) -> Vec<Parent> {
    let mut chain: Vec<_> = holders.iter().collect();
    chain.sort_unstable_by_key(|holder| (&holder.data_centre, &holder.name));
    let index = chain.iter().position(|holder| holder.name == *own).unwrap_or(0);
    let before = chain[..index].iter().rev().map(|holder| agent(holder));
    before.chain([Parent::Origin]).collect()
}

fn agent(holder: &Holder) -> Parent {
    Parent::Agent(holder.name.clone(), holder.address)
}
