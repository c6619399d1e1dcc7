//! Whom a piece is fetched from.
//!
//! A version that was just named comes along the trees on which all agents
//! agree, so that the origin sends about one copy and every agent uploads about
//! as much as it downloads. Once most engines have it loaded, one that comes
//! later asks those, the nearest first, and leaves the origin alone.

use std::net::SocketAddr;

use egret_fleet::{Fleet, ProcessKind, ProcessStatus, version_of};
use egret_record::{BackendName, WeightVersion};
use egret_weights::{CHILDREN, Forest, Holder, Parent, TREES};
use rand::{Rng, seq::IndexedRandom as _};

/// Agents that have the version loaded and are asked before the trees.
const LOADED_ASKED: usize = 3;

/// Where a piece may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another agent.
    Agent(SocketAddr),
    /// The origin.
    Origin,
}

/// The sources of all pieces of a version for one agent, by what a fleet says at one moment.
#[derive(Debug)]
pub struct SourceTable {
    /// For each tree, the agents above this one, the nearest first.
    above: Vec<Vec<SocketAddr>>,
    /// Agents that have the version loaded, those that are preferred first.
    loaded: [Vec<SocketAddr>; 2],
    /// Whether those are asked before the ones above.
    is_spread: bool,
}

impl SourceTable {
    /// Works out the sources for the agent `own`.
    #[must_use]
    pub fn new(fleet: &Fleet, own: &ProcessStatus, model: &str, version: WeightVersion) -> Self {
        let beside = |agent: &&ProcessStatus| agent.service == own.service && !agent.leaving;
        let agents: Vec<&ProcessStatus> =
            fleet.processes(ProcessKind::Agent).filter(beside).collect();
        let has = |agent: &&&ProcessStatus| {
            let loaded = agent.loaded.as_ref().map(|word| version_of(&word.models, model));
            agent.name != own.name && loaded == Some(Some(version))
        };
        let near = |agent: &&ProcessStatus| agent.data_centre == own.data_centre;
        let near_count = agents.iter().copied().filter(near).count();
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            agents.iter().filter(has).copied().partition(near);
        // Each serves two others at the link's speed, so few that are near could not serve the rest.
        if near.len() * CHILDREN < near_count - near.len() {
            far.append(&mut near);
        }
        let addresses = |found: Vec<&ProcessStatus>| found.iter().map(|one| one.address).collect();
        Self {
            // Few that have it could not serve all others; along the trees each serves two.
            is_spread: (near.len() + far.len()) * CHILDREN >= agents.len(),
            above: trees(&agents, own),
            loaded: [addresses(near), addresses(far)],
        }
    }

    /// Lists the sources of a piece, best first.
    #[must_use]
    pub fn sources(&self, index: u32, random: &mut impl Rng) -> Vec<Source> {
        let above = self.above.get(index as usize % TREES).into_iter().flatten();
        let mut ready: Vec<SocketAddr> = Vec::with_capacity(LOADED_ASKED);
        for some in &self.loaded {
            let wanted = LOADED_ASKED - ready.len();
            ready.extend(some.sample(random, wanted));
        }
        let mut all: Vec<SocketAddr> = Vec::with_capacity(ready.len() + 4);
        if self.is_spread {
            all.extend(ready.iter().chain(above));
        } else {
            all.extend(above.chain(&ready));
        }
        let mut found = Vec::with_capacity(all.len() + 1);
        for source in all.into_iter().map(Source::Agent).chain([Source::Origin]) {
            if !found.contains(&source) {
                found.push(source);
            }
        }
        found
    }
}

/// Orders pieces so that those which this agent alone fetches from the origin come first.
///
/// Pattern: a version is named to all agents at once, and the link of one is squeezed. All others
/// wait for its share of the origin's pieces, but not for the rest of what it fetches.
#[must_use]
pub fn fetch_order(mut pieces: Vec<u32>, sources: impl Fn(u32) -> Vec<Source>) -> Vec<u32> {
    pieces.sort_by_cached_key(|piece| sources(*piece).first() != Some(&Source::Origin));
    pieces
}

fn trees(agents: &[&ProcessStatus], own: &ProcessStatus) -> Vec<Vec<SocketAddr>> {
    let Ok(name) = BackendName::new(&own.name) else { return Vec::new() };
    let mut holders: Vec<Holder> = agents
        .iter()
        .filter_map(|agent| {
            let name = BackendName::new(&agent.name).ok()?;
            Some(Holder { name, data_centre: agent.data_centre.clone(), address: agent.address })
        })
        .collect();
    if !holders.iter().any(|holder| holder.name == name) {
        let data_centre = own.data_centre.clone();
        holders.push(Holder { name: name.clone(), data_centre, address: own.address });
    }
    let forest = Forest::new(&holders);
    let above = |tree| {
        let parents = forest.parents(tree, &name).into_iter();
        parents
            .filter_map(|parent| match parent {
                Parent::Agent(_, address) => Some(address),
                Parent::Origin => None,
            })
            .collect()
    };
    (0..).take(TREES).map(above).collect()
}
