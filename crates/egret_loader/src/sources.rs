//! The agents that a piece is fetched from.
//!
//! A newly announced version is distributed along trees that all agents compute
//! alike, so that the origin sends about one copy and every agent uploads about as
//! much as it downloads. Once most engines have loaded it, an agent that joins later
//! asks those, the nearest first, rather than the origin.

use std::net::SocketAddr;

use egret_fleet::{Fleet, ProcessKind, ProcessStatus, version_of};
use egret_record::{BackendName, WeightVersion};
use egret_weights::{CHILDREN, Forest, Holder, Parent, TREES};
use rand::{Rng, seq::IndexedRandom as _};

/// Maximum number of agents with the version loaded in a list of sources.
const LOADED_SOURCES_MAX: usize = 3;

/// A source of pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another agent.
    Agent(SocketAddr),
    /// The origin.
    Origin,
}

/// The sources of all pieces of a version for one agent, from a snapshot of the fleet.
#[derive(Debug)]
pub struct SourceTable {
    /// For each tree, the ancestors of this agent, the nearest first.
    ancestors: Vec<Vec<SocketAddr>>,
    /// Agents that have the version loaded: the preferred group, then the others.
    loaded: [Vec<SocketAddr>; 2],
    /// Whether loaded agents are asked before ancestors.
    prefers_loaded: bool,
}

impl SourceTable {
    /// Computes the sources for the agent `own`.
    #[must_use]
    pub fn new(fleet: &Fleet, own: &ProcessStatus, model: &str, version: WeightVersion) -> Self {
        let same_service = |agent: &&ProcessStatus| agent.service == own.service && !agent.leaving;
        let agents: Vec<&ProcessStatus> =
            fleet.processes(ProcessKind::Agent).filter(same_service).collect();
        let has_loaded = |agent: &&&ProcessStatus| {
            let loaded = agent.loaded.as_ref().map(|loaded| version_of(&loaded.models, model));
            agent.name != own.name && loaded == Some(Some(version))
        };
        let near = |agent: &&ProcessStatus| agent.data_centre == own.data_centre;
        let near_count = agents.iter().copied().filter(near).count();
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            agents.iter().filter(has_loaded).copied().partition(near);
        // Each agent can serve `CHILDREN` others at link speed, so too few in the own data centre
        // could not serve the rest of it.
        if near.len() * CHILDREN < near_count - near.len() {
            far.append(&mut near);
        }
        let addresses =
            |agents: Vec<&ProcessStatus>| agents.iter().map(|agent| agent.address).collect();
        Self {
            // Too few loaded agents could not serve all others; the trees spread the load.
            prefers_loaded: (near.len() + far.len()) * CHILDREN >= agents.len(),
            ancestors: ancestors(&agents, own),
            loaded: [addresses(near), addresses(far)],
        }
    }

    /// Lists the sources of a piece, best first.
    #[must_use]
    pub fn sources(&self, index: u32, random: &mut impl Rng) -> Vec<Source> {
        let ancestors = self.ancestors.get(index as usize % TREES).into_iter().flatten();
        let mut ready: Vec<SocketAddr> = Vec::with_capacity(LOADED_SOURCES_MAX);
        for group in &self.loaded {
            let free = LOADED_SOURCES_MAX - ready.len();
            ready.extend(group.sample(random, free));
        }
        let mut all: Vec<SocketAddr> = Vec::with_capacity(ready.len() + 4);
        if self.prefers_loaded {
            all.extend(ready.iter().chain(ancestors));
        } else {
            all.extend(ancestors.chain(&ready));
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

/// Moves pieces that this agent fetches from the origin to the front.
///
/// All other agents wait for these pieces. If the link of this agent is degraded, they must not
/// also wait for the rest of what it fetches.
#[must_use]
pub fn fetch_order(mut pieces: Vec<u32>, sources: impl Fn(u32) -> Vec<Source>) -> Vec<u32> {
    pieces.sort_by_cached_key(|piece| sources(*piece).first() != Some(&Source::Origin));
    pieces
}

/// Returns the ancestors of `own` in each tree, the nearest first.
fn ancestors(agents: &[&ProcessStatus], own: &ProcessStatus) -> Vec<Vec<SocketAddr>> {
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
    let in_tree = |tree| {
        let parents = forest.parents(tree, &name).into_iter();
        parents
            .filter_map(|parent| match parent {
                Parent::Agent(_, address) => Some(address),
                Parent::Origin => None,
            })
            .collect()
    };
    (0..).take(TREES).map(in_tree).collect()
}
