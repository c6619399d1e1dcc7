//! Which backend server gets a request.
//!
//! Of the backend servers with room two are drawn at random and the less
//! loaded one is taken. The own data centre goes first as long as it has room.

use std::{net::SocketAddr, time::Duration};

use egret_record::{BackendName, FastMap};
use rand::{Rng, RngExt as _};

/// Age after which a hint says nothing any more.
const HINT_AGE: Duration = Duration::from_millis(500);

/// A backend server that may take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: BackendName,
    /// Its agent's address.
    pub address: SocketAddr,
    /// Requests that it bears when warm.
    pub limit: u32,
    /// Whether it is in the data centre of the entry.
    pub near: bool,
}

#[derive(Debug, Clone, Copy)]
struct LoadHint {
    running: u32,
    limit: u32,
    at: Duration,
    paused_until: Duration,
}

/// What answers said of the load, and what this entry sent itself.
#[derive(Debug, Default)]
pub struct LoadHints {
    hints: FastMap<BackendName, LoadHint>,
    sent: FastMap<BackendName, u32>,
}

impl LoadHints {
    /// Notes that a request is sent.
    pub fn start(&mut self, name: &BackendName) {
        *self.sent.entry(name.clone()).or_default() += 1;
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, name: &BackendName) {
        if let Some(sent) = self.sent.get_mut(name) {
            *sent = sent.saturating_sub(1);
        }
    }

    /// Notes what an answer said of the load.
    pub fn update(&mut self, name: &BackendName, running: u32, limit: u32, now: Duration) {
        let paused_until = self.hints.get(name).map_or(Duration::ZERO, |hint| hint.paused_until);
        self.hints.insert(name.clone(), LoadHint { running, limit, at: now, paused_until });
    }

    /// Notes that a backend server wants no request for a while.
    pub fn pause(&mut self, name: &BackendName, wait: Duration, now: Duration) {
        let hint = self.hints.entry(name.clone()).or_insert(LoadHint {
            running: 0,
            limit: 0,
            at: Duration::ZERO,
            paused_until: Duration::ZERO,
        });
        hint.paused_until = now + wait;
    }

    /// Forgets backend servers that are gone.
    pub fn retain(&mut self, keep: impl Fn(&BackendName) -> bool) {
        self.hints.retain(|name, _| keep(name));
        self.sent.retain(|name, sent| *sent > 0 || keep(name));
    }

    /// Returns load and bound as far as they are known.
    fn load(&self, candidate: &Candidate, now: Duration) -> (u32, u32) {
        let sent = self.sent.get(&candidate.name).copied().unwrap_or(0);
        match self.hints.get(&candidate.name) {
            Some(hint) if now < hint.at + HINT_AGE => (sent.max(hint.running), hint.limit),
            _ => (sent, candidate.limit),
        }
    }

    fn has_room(&self, candidate: &Candidate, now: Duration) -> bool {
        let closed = self.hints.get(&candidate.name).is_some_and(|hint| now < hint.paused_until);
        let (load, limit) = self.load(candidate, now);
        !closed && load < limit
    }
}

/// Chooses a backend server; those with room first, the near ones among them.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    hints: &LoadHints,
    now: Duration,
    random: &mut impl Rng,
) -> Option<&'a Candidate> {
    let roomy: Vec<_> = candidates.iter().filter(|one| hints.has_room(one, now)).collect();
    let near: Vec<_> = roomy.iter().copied().filter(|one| one.near).collect();
    let all: Vec<_> = candidates.iter().collect();
    let pool = [near, roomy, all].into_iter().find(|pool| !pool.is_empty())?;
    let first = pool[random.random_range(0..pool.len())];
    let second = pool[random.random_range(0..pool.len())];
    let share = |one: &Candidate| {
        let (load, limit) = hints.load(one, now);
        f64::from(load) / f64::from(limit.max(1))
    };
    Some(if share(second) < share(first) { second } else { first })
}
