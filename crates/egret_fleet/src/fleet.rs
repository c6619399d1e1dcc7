//! The latest status of each backend server and process, with its age.

use std::{net::SocketAddr, time::Duration};

use egret_record::FastMap;

use crate::status::{
    BackendLimit, BackendStatus, EngineStatus, ProcessKind, ProcessStatus, ProvenWeights,
    StatusKey, StatusStamp, StatusUpdate, SuspectedParts,
};

/// Time without a report after which a backend server is gone. It tolerates a few lost reports;
/// requests reveal a dead backend server sooner.
pub const BACKEND_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a departure is remembered, so that late reports do not undo it.
const GONE_RETENTION: Duration = Duration::from_secs(120);

/// How an update compares with the known status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// It is no newer than the known status and is ignored.
    Stale,
    /// It confirms the known status.
    Refresh,
    /// It changes the known status and must be forwarded.
    Change,
}

/// The latest status of one backend server or process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownStatus {
    /// The status.
    pub status: StatusUpdate,
    /// When it was received, by the clock of this process.
    pub last_seen: Duration,
    /// When it last changed in a way that matters to other processes.
    pub changed: Duration,
}

/// The latest status of each backend server and process.
#[derive(Debug, Default)]
pub struct Fleet {
    known: FastMap<StatusKey, KnownStatus>,
    /// The latest incarnation at each address, and its id.
    addresses: FastMap<SocketAddr, (StatusStamp, String)>,
}

impl Fleet {
    /// Stores an update if it is later than the known status.
    pub fn observe(&mut self, update: &StatusUpdate, now: Duration) -> UpdateKind {
        let key = update.key();
        let earlier = self.known.get(&key);
        if earlier.is_some_and(|known| !update.supersedes(&known.status)) {
            return UpdateKind::Stale;
        }
        if let Some(status) = self.implied_departure(update, now) {
            let departed = status.key();
            let known = KnownStatus { status, last_seen: now, changed: now };
            self.known.insert(departed.clone(), known);
            if departed == key {
                return UpdateKind::Stale;
            }
        }
        if let StatusUpdate::Backend(backend) = update {
            self.addresses.insert(backend.address, (backend.stamp, backend.id.clone()));
        }
        if let StatusUpdate::Gone(StatusKey::Backend(id), stamp) = update {
            self.remove_limit(id, stamp.incarnation);
        }
        let earlier = self.known.get(&key);
        let change = earlier.is_none_or(|known| update.differs(&known.status));
        let changed = earlier.filter(|_| !change).map_or(now, |known| known.changed);
        self.known.insert(key, KnownStatus { status: update.clone(), last_seen: now, changed });
        if change { UpdateKind::Change } else { UpdateKind::Refresh }
    }

    /// Returns the departure that follows from an update, if any.
    ///
    /// Of two backend servers that report the same address, the earlier incarnation has crashed
    /// without deregistering. [`observe`](Self::observe) stores its departure.
    #[must_use]
    pub fn implied_departure(&self, update: &StatusUpdate, now: Duration) -> Option<StatusUpdate> {
        let StatusUpdate::Backend(backend) = update else { return None };
        let known = self.known.get(&update.key());
        if known.is_some_and(|known| !update.supersedes(&known.status)) {
            return None;
        }
        let (stamp, id) =
            self.addresses.get(&backend.address).filter(|(_, id)| *id != backend.id)?;
        if stamp.incarnation > backend.stamp.incarnation && !self.is_forgotten(id, now) {
            return Some(StatusUpdate::Gone(update.key(), backend.stamp));
        }
        let key = StatusKey::Backend(id.clone());
        match &self.known.get(&key)?.status {
            // Otherwise it has moved to another address.
            StatusUpdate::Backend(owner) if owner.address == backend.address => {
                Some(StatusUpdate::Gone(key, owner.stamp))
            }
            _ => None,
        }
    }

    /// Marks members as gone that have not reported within their timeout; returns these updates.
    pub fn expire(
        &mut self,
        backends: Duration,
        processes: Duration,
        now: Duration,
    ) -> Vec<StatusUpdate> {
        let mut gone = Vec::new();
        for (key, known) in &mut self.known {
            let limit = match known.status {
                StatusUpdate::Backend(_) => backends,
                StatusUpdate::Process(_) => processes,
                StatusUpdate::Gone(..)
                | StatusUpdate::Limit(_)
                | StatusUpdate::Suspects(_)
                | StatusUpdate::Weights(_) => continue,
            };
            if now > known.last_seen + limit {
                known.status = StatusUpdate::Gone(key.clone(), known.status.stamp());
                known.last_seen = now;
                known.changed = now;
                gone.push(known.status.clone());
            }
        }
        self.known.retain(|_, known| {
            !matches!(known.status, StatusUpdate::Gone(..))
                || now < known.last_seen + GONE_RETENTION
        });
        self.remove_orphaned_limits(now);
        gone
    }

    /// Restarts all expiry timeouts, after a period in which no report could arrive.
    pub fn restart_expiry(&mut self, now: Duration) {
        for known in self.known.values_mut() {
            known.last_seen = known.last_seen.max(now);
        }
    }

    /// Returns the latest status for `key`.
    #[must_use]
    pub fn get(&self, key: &StatusKey) -> Option<&KnownStatus> {
        self.known.get(key)
    }

    /// Returns the latest status of every backend server and process.
    pub fn all(&self) -> impl Iterator<Item = &KnownStatus> {
        self.known.values()
    }

    /// Returns the backend servers that are not gone, with the times of their last reports.
    pub fn backends(&self) -> impl Iterator<Item = (&BackendStatus, Duration)> {
        self.known.values().filter_map(|known| match &known.status {
            StatusUpdate::Backend(backend) => Some((backend, known.last_seen)),
            _ => None,
        })
    }

    /// Returns the rate limits of backend servers, also those that have ended.
    pub fn limits(&self) -> impl Iterator<Item = &BackendLimit> {
        self.known.values().filter_map(|known| match &known.status {
            StatusUpdate::Limit(limit) => Some(limit),
            _ => None,
        })
    }

    /// Returns the parts of prompts that may crash backend servers, as last announced.
    #[must_use]
    pub fn suspects(&self) -> Option<&SuspectedParts> {
        match self.known.get(&StatusKey::SuspectedParts).map(|known| &known.status) {
            Some(StatusUpdate::Suspects(suspects)) => Some(suspects),
            _ => None,
        }
    }

    /// Returns which weights of the engine at an address are whole, as it was last replicated.
    #[must_use]
    pub fn proven_weights(&self, engine: SocketAddr) -> Option<&EngineStatus> {
        match self.known.get(&StatusKey::Weights(engine)).map(|known| &known.status) {
            Some(StatusUpdate::Weights(ProvenWeights { proven, .. })) => Some(proven),
            _ => None,
        }
    }

    /// Returns the entries that are not gone.
    pub fn entries(&self) -> impl Iterator<Item = &ProcessStatus> {
        self.processes(ProcessKind::Entry)
    }

    /// Returns the processes of a kind that are not gone.
    pub fn processes(&self, kind: ProcessKind) -> impl Iterator<Item = &ProcessStatus> {
        self.known.values().filter_map(move |known| match &known.status {
            StatusUpdate::Process(process) if process.kind == kind => Some(process),
            _ => None,
        })
    }

    /// Removes the limit of a backend server that is gone, unless it is of a later incarnation.
    fn remove_limit(&mut self, backend: &str, incarnation: u64) {
        let key = StatusKey::Limit(backend.to_owned());
        let known = self.known.get(&key).map(|known| known.status.stamp().incarnation);
        if known.is_some_and(|known| known <= incarnation) {
            self.known.remove(&key);
        }
    }

    /// Removes the limits of backend servers that are gone, or stay unknown.
    fn remove_orphaned_limits(&mut self, now: Duration) {
        let is_orphaned = |(limit, last_seen): &(&BackendLimit, Duration)| {
            let backend = self.known.get(&StatusKey::Backend(limit.backend.clone()));
            match backend.map(|known| &known.status) {
                Some(StatusUpdate::Backend(_)) => false,
                Some(_) => true,
                None => now >= *last_seen + GONE_RETENTION,
            }
        };
        let limits = self.known.values().filter_map(|known| match &known.status {
            StatusUpdate::Limit(limit) => Some((limit, known.last_seen)),
            _ => None,
        });
        let orphaned: Vec<_> =
            limits.filter(is_orphaned).map(|(limit, _)| limit.backend.clone()).collect();
        for backend in orphaned {
            self.known.remove(&StatusKey::Limit(backend));
        }
    }

    /// Returns whether a backend server has been gone for as long as departures are remembered.
    fn is_forgotten(&self, id: &str, now: Duration) -> bool {
        self.known.get(&StatusKey::Backend(id.to_owned())).is_none_or(|known| {
            matches!(known.status, StatusUpdate::Gone(..))
                && now >= known.last_seen + GONE_RETENTION
        })
    }
}
