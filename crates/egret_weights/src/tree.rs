//! Who fetches which chunk from whom.
//!
//! For each chunk the holders of a version are ranked by a hash of chunk and
//! holder (rendezvous hashing), so that all agree without talking and each
//! holder stands near the root for some chunks and at the leaves for others:
//! everybody uploads about as much as it downloads. The first of all fetches
//! from the origin; the first of each other data centre fetches from it; the
//! rest fetch along a binary tree inside their data centre.

use std::net::SocketAddr;

use egret_record::{BackendName, DataCentre, VersionDigest};

/// Children of a holder in the tree of one chunk.
const CHILDREN: usize = 2;

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
pub fn parents(chunk: VersionDigest, own: &BackendName, holders: &[Holder]) -> Vec<Parent> {
    let mut ranked: Vec<_> =
        holders.iter().map(|holder| (rank(chunk, &holder.name), holder)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let Some((_, me)) = ranked.iter().find(|(_, holder)| holder.name == *own) else {
        return vec![Parent::Origin];
    };
    let here = ranked.iter().filter(|(_, holder)| holder.data_centre == me.data_centre);
    let near: Vec<_> = here.map(|(_, holder)| *holder).collect();
    let mut at = near.iter().position(|holder| holder.name == *own).unwrap_or(0);
    let mut sources = Vec::new();
    while at > 0 {
        at = (at - 1) / CHILDREN;
        sources.push(agent(near[at]));
    }
    if let Some((_, root)) = ranked.first().filter(|(_, root)| root.data_centre != me.data_centre) {
        sources.push(agent(root));
    }
    sources.push(Parent::Origin);
    sources
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

fn rank(chunk: VersionDigest, name: &BackendName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&chunk.0);
    hasher.update(name.as_str().as_bytes());
    hasher.finalize().as_bytes()[..8].iter().fold(0, |rank, byte| rank << 8 | u64::from(*byte))
}
