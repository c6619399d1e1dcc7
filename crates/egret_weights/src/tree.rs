//! Who fetches which chunk from whom.
//!
//! Chunks take turns over a fixed number of trees, so that a holder talks to
//! few others however many there are. In each tree the holders of a data centre
//! stand in the same order, turned a step further, so everybody is an inner
//! node in half of the trees and a leaf in the others, and uploads about as
//! much as it downloads. All agents agree on the trees without talking. The
//! root of one data centre fetches from the origin, the roots of the others
//! from it, or else from the roots of those before them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use egret_record::{BackendName, DataCentre};

/// Trees over which chunks take turns, and so the parents of a holder at the most.
pub const TREES: usize = 16;
/// Children of a holder in one tree.
pub const CHILDREN: usize = 2;

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
/// Each next source is nearer to the root, so that a chunk still comes when
/// any holder on the way is dead or slow.
#[must_use]
pub fn parents(index: u32, own: &BackendName, holders: &[Holder]) -> Vec<Parent> {
    let mut centres: BTreeMap<&DataCentre, Vec<&Holder>> = BTreeMap::new();
    for holder in holders {
        centres.entry(&holder.data_centre).or_default().push(holder);
    }
    let Some(centre) = holders.iter().find(|holder| holder.name == *own) else {
        return vec![Parent::Origin];
    };
    let tree = index as usize % TREES;
    let mut sources = above(tree, own, &mut centres, &centre.data_centre);
    let count = centres.len();
    let names: Vec<&DataCentre> = centres.keys().copied().collect();
    // The data centres before the own one, from the first: each is asked by those after it.
    let turned = names.iter().cycle().skip(tree % count).take(count);
    for before in turned.take_while(|name| ***name != centre.data_centre) {
        sources.extend(root(tree, &mut centres, before));
    }
    sources.push(Parent::Origin);
    sources
}

/// Returns the holders on the way from `own` to the root of its data centre.
fn above(
    tree: usize,
    own: &BackendName,
    centres: &mut BTreeMap<&DataCentre, Vec<&Holder>>,
    centre: &DataCentre,
) -> Vec<Parent> {
    let near = ordered(centres, centre);
    let turn = tree * near.len() / TREES;
    let place = near.iter().position(|holder| holder.name == *own).unwrap_or(0);
    let mut at = (place + near.len() - turn) % near.len();
    let mut sources = Vec::new();
    while at > 0 {
        at = (at - 1) / CHILDREN;
        sources.push(agent(near[(at + turn) % near.len()]));
    }
    sources
}

/// Returns the root of a data centre.
fn root(
    tree: usize,
    centres: &mut BTreeMap<&DataCentre, Vec<&Holder>>,
    centre: &DataCentre,
) -> Option<Parent> {
    let near = ordered(centres, centre);
    let turn = tree * near.len() / TREES;
    near.get(turn).map(|holder| agent(holder))
}

/// Returns the holders of a data centre in the order that all agree on.
fn ordered<'a, 'h>(
    centres: &'a mut BTreeMap<&DataCentre, Vec<&'h Holder>>,
    centre: &DataCentre,
) -> &'a [&'h Holder] {
    let Some(near) = centres.get_mut(centre) else { return &[] };
    near.sort_unstable_by_key(|holder| &holder.name);
    near
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
