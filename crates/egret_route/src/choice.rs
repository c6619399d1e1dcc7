//! Load balancing by two random choices.
//!
//! Two of the backend servers with free capacity are drawn at random and the less
//! loaded one is used. The entry's own data centre goes first while it has capacity.

use std::{net::SocketAddr, time::Duration};

use egret_record::{BackendName, FastMap};
use rand::{Rng, RngExt as _};

/// Age after which a hint is stale.
const HINT_AGE_MAX: Duration = Duration::from_millis(500);

/// A backend server that may be given a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: BackendName,
    /// The address of its agent.
    pub address: SocketAddr,
    /// Its concurrency limit when warm.
    pub limit: u32,
    /// Whether it is in the data centre of the entry.
    pub near: bool,
}

#[derive(Debug, Clone, Copy)]
struct LoadHint {
    running: u32,
    limit: u32,
    updated: Duration,
    paused_until: Duration,
}

/// The load reported in responses, and the requests of this entry in flight.
#[derive(Debug, Default)]
pub struct LoadHints {
    hints: FastMap<BackendName, LoadHint>,
    sent: FastMap<BackendName, u32>,
}

impl LoadHints {
    /// Records that a request is sent.
    pub fn start(&mut self, name: &BackendName) {
        *self.sent.entry(name.clone()).or_default() += 1;
    }

    /// Records that a request has ended.
    pub fn end(&mut self, name: &BackendName) {
        if let Some(sent) = self.sent.get_mut(name) {
            *sent = sent.saturating_sub(1);
        }
    }

    /// Records the load that a response reported.
    pub fn update(&mut self, name: &BackendName, running: u32, limit: u32, now: Duration) {
        let paused_until = self.hints.get(name).map_or(Duration::ZERO, |hint| hint.paused_until);
        self.hints.insert(name.clone(), LoadHint { running, limit, updated: now, paused_until });
    }

    /// Skips a backend server until `now + wait`.
    pub fn pause(&mut self, name: &BackendName, wait: Duration, now: Duration) {
        let hint = self.hints.entry(name.clone()).or_insert(LoadHint {
            running: 0,
            limit: 0,
            updated: Duration::ZERO,
            paused_until: Duration::ZERO,
        });
        hint.paused_until = now + wait;
    }

    /// Drops backend servers that are gone; requests in flight to them stay counted.
    pub fn retain(&mut self, keep: impl Fn(&BackendName) -> bool) {
        self.hints.retain(|name, _| keep(name));
        self.sent.retain(|name, sent| *sent > 0 || keep(name));
    }

    /// Returns load and limit; a stale hint is replaced by what this entry knows itself.
    fn load(&self, candidate: &Candidate, now: Duration) -> (u32, u32) {
        let sent = self.sent.get(&candidate.name).copied().unwrap_or(0);
        match self.hints.get(&candidate.name) {
            Some(hint) if now < hint.updated + HINT_AGE_MAX => (sent.max(hint.running), hint.limit),
            _ => (sent, candidate.limit),
        }
    }

    fn has_capacity(&self, candidate: &Candidate, now: Duration) -> bool {
        let paused = self.hints.get(&candidate.name).is_some_and(|hint| now < hint.paused_until);
        let (load, limit) = self.load(candidate, now);
        !paused && load < limit
    }
}

/// Chooses a backend server: a near one with capacity, else any with capacity, else any.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    hints: &LoadHints,
    now: Duration,
    random: &mut impl Rng,
) -> Option<&'a Candidate> {
    let available: Vec<_> =
        candidates.iter().filter(|candidate| hints.has_capacity(candidate, now)).collect();
    let near: Vec<_> = available.iter().copied().filter(|candidate| candidate.near).collect();
    let all: Vec<_> = candidates.iter().collect();
    let pool = [near, available, all].into_iter().find(|pool| !pool.is_empty())?;
    let first = pool[random.random_range(0..pool.len())];
    let second = pool[random.random_range(0..pool.len())];
    let utilization = |candidate: &Candidate| {
        let (load, limit) = hints.load(candidate, now);
        f64::from(load) / f64::from(limit.max(1))
    };
    Some(if utilization(second) < utilization(first) { second } else { first })
}
