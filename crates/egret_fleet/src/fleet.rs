//! The latest word of each backend server and process, with its age.

use std::time::Duration;

use egret_record::FastMap;

use crate::status::{BackendStatus, Life, ProcessKind, ProcessStatus, Sighting, SightingKey};

/// How long a departure is remembered, so that late words do not undo it.
const GONE_KEPT: Duration = Duration::from_secs(120);

/// What a sighting brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// It is older than what is known.
    Stale,
    /// It only says that nothing changed.
    Refresh,
    /// Others must learn of it.
    Change,
}

/// The latest word of one backend server or process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// The word.
    pub sighting: Sighting,
    /// When it was heard, by the clock of this process.
    pub heard: Duration,
    /// When it last changed in what matters to others.
    pub changed: Duration,
}

/// The latest word of each backend server and process.
#[derive(Debug, Default)]
pub struct Fleet {
    known: FastMap<SightingKey, Known>,
    /// The lifetime that holds each address.
    addresses: FastMap<std::net::SocketAddr, (Life, String)>,
}

impl Fleet {
    /// Takes in a sighting, if it is later than what is known.
    pub fn observe(&mut self, sighting: &Sighting, now: Duration) -> News {
        let key = sighting.key();
        let earlier = self.known.get(&key);
        if earlier.is_some_and(|known| !is_later(sighting, &known.sighting)) {
            return News::Stale;
        }
        if let Sighting::Backend(backend) = sighting
            && !self.take_address(backend, now)
        {
            return News::Stale;
        }
        let earlier = self.known.get(&key);
        let change = earlier.is_none_or(|known| sighting.differs(&known.sighting));
        let changed = earlier.filter(|_| !change).map_or(now, |known| known.changed);
        self.known.insert(key, Known { sighting: sighting.clone(), heard: now, changed });
        if change { News::Change } else { News::Refresh }
    }

    /// Marks as gone what was not heard of for too long; returns what became so.
    pub fn expire(
        &mut self,
        backends: Duration,
        processes: Duration,
        now: Duration,
    ) -> Vec<Sighting> {
        let mut gone = Vec::new();
        for (key, known) in &mut self.known {
            let limit = match known.sighting {
                Sighting::Backend(_) => backends,
                Sighting::Process(_) => processes,
                Sighting::Gone(..) => continue,
            };
            if now > known.heard + limit {
                known.sighting = Sighting::Gone(key.clone(), known.sighting.life());
                known.heard = now;
                known.changed = now;
                gone.push(known.sighting.clone());
            }
        }
        self.known.retain(|_, known| {
            !matches!(known.sighting, Sighting::Gone(..)) || now < known.heard + GONE_KEPT
        });
        gone
    }

    /// Counts every word as heard now, after a time in which none could arrive.
    pub fn excuse_silence(&mut self, now: Duration) {
        for known in self.known.values_mut() {
            known.heard = known.heard.max(now);
        }
    }

    /// Returns the latest word of one.
    #[must_use]
    pub fn get(&self, key: &SightingKey) -> Option<&Known> {
        self.known.get(key)
    }

    /// Returns the latest word of all.
    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Returns the backend servers that are not gone, with when they were heard.
    pub fn backends(&self) -> impl Iterator<Item = (&BackendStatus, Duration)> {
        self.known.values().filter_map(|known| match &known.sighting {
            Sighting::Backend(backend) => Some((backend, known.heard)),
            Sighting::Process(_) | Sighting::Gone(..) => None,
        })
    }

    /// Returns the entries that are not gone.
    pub fn entries(&self) -> impl Iterator<Item = &ProcessStatus> {
        self.processes(ProcessKind::Entry)
    }

    /// Returns the processes of a kind that are not gone.
    pub fn processes(&self, kind: ProcessKind) -> impl Iterator<Item = &ProcessStatus> {
        self.known.values().filter_map(move |known| match &known.sighting {
            Sighting::Process(process) if process.kind == kind => Some(process),
            _ => None,
        })
    }

    /// Gives an address to the latest lifetime that names it.
    fn take_address(&mut self, backend: &BackendStatus, now: Duration) -> bool {
        match self.addresses.get(&backend.address) {
            Some((_, id)) if *id == backend.id => {}
            Some((life, _)) if life.born > backend.life.born => return false,
            Some((life, id)) => {
                // The former holder of the address crashed without a word.
                let key = SightingKey::Backend(id.clone());
                let sighting = Sighting::Gone(key.clone(), *life);
                self.known.insert(key, Known { sighting, heard: now, changed: now });
            }
            None => {}
        }
        self.addresses.insert(backend.address, (backend.life, backend.id.clone()));
        true
    }
}

/// Tells whether a sighting was said after another of the same one.
fn is_later(new: &Sighting, old: &Sighting) -> bool {
    match (new, old) {
        // A departure holds for its whole lifetime; silence only for its moment.
        (Sighting::Gone(_, life), _) => *life >= old.life() && !matches!(old, Sighting::Gone(..)),
        (_, old) => new.life() > old.life(),
    }
}
