//! Whom a piece is fetched from.
//!
//! A version that was just named comes along the trees on which all agents
//! agree, so that the origin sends about one copy and every agent uploads about
//! as much as it downloads. Once most engines have it loaded, one that comes
//! later asks those, the nearest first, and leaves the origin alone.

use std::net::SocketAddr;

use egret_fleet::{Fleet, ProcessKind, ProcessStatus, version_of};
use egret_record::{BackendName, DataCentre, WeightVersion};
use egret_weights::{CHILDREN, Holder, Parent, parents};
use rand::{Rng, seq::SliceRandom as _};

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

/// Lists the sources of a piece for the agent `own`, best first.
#[must_use]
pub fn sources(
    fleet: &Fleet,
    own: &ProcessStatus,
    model: &str,
    version: WeightVersion,
    index: u32,
    random: &mut impl Rng,
) -> Vec<Source> {
    let beside = |agent: &&ProcessStatus| agent.service == own.service && !agent.leaving;
    let agents: Vec<&ProcessStatus> = fleet.processes(ProcessKind::Agent).filter(beside).collect();
    let has = |agent: &&&ProcessStatus| {
        let loaded = agent.loaded.as_ref().map(|word| version_of(&word.models, model));
        agent.name != own.name && loaded == Some(Some(version))
    };
    let mut loaded: Vec<&ProcessStatus> = agents.iter().filter(has).copied().collect();
    loaded.shuffle(random);
    let near = |agent: &&&ProcessStatus| agent.data_centre == own.data_centre;
    let near_loaded = loaded.iter().filter(near).count();
    let near_missing = agents.iter().filter(near).count().saturating_sub(near_loaded);
    // Each serves two others at the link's speed, so few that are near could not serve the rest.
    if near_loaded * CHILDREN >= near_missing {
        loaded.sort_by_key(|agent| distance(&agent.data_centre, &own.data_centre));
    }
    let ready = loaded.iter().take(LOADED_ASKED).map(|agent| Source::Agent(agent.address));
    let above = tree(&agents, own, index).into_iter().filter_map(|parent| match parent {
        Parent::Agent(_, address) => Some(Source::Agent(address)),
        Parent::Origin => None,
    });
    // Few that have it could not serve all others; along the trees each serves two.
    let mut all: Vec<Source> = if loaded.len() * CHILDREN >= agents.len() {
        ready.chain(above).collect()
    } else {
        above.chain(ready).collect()
    };
    all.push(Source::Origin);
    let mut found = Vec::with_capacity(all.len());
    for source in all {
        if !found.contains(&source) {
            found.push(source);
        }
    }
    found
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

fn distance(one: &DataCentre, other: &DataCentre) -> u8 {
    u8::from(one != other)
}

fn tree(agents: &[&ProcessStatus], own: &ProcessStatus, index: u32) -> Vec<Parent> {
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
    holders.sort_by(|a, b| a.name.cmp(&b.name));
    parents(index, &name, &holders)
}
