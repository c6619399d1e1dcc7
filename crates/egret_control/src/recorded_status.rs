//! Status updates that outlive the processes which received them.
//!
//! A backend server that was told that its departure is known sends nothing more. So its departure,
//! and that it drains, are replicated before they are acknowledged. Which weights of an engine are
//! whole is replicated as well: an engine itself reports any weights that it has loaded, and an agent
//! that starts anew needs some time to prove again what its predecessor knew. All other status is
//! reported again and again, and is soft state.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use egret_fleet::{StatusKey, StatusUpdate};
use egret_rpc::UnixMillis;
use serde::{Deserialize, Serialize, Serializer};

/// Time for which a departure is kept: longer than a backend server goes on after it left.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of updates of each kind; the oldest are removed first.
const UPDATES_MAX: usize = 16_384;
/// Memory for the updates of each kind, in bytes; the oldest are removed first here, too.
const UPDATES_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The latest replicated status of each backend server that drains or has departed, by its id.
pub(crate) type Departures = Updates<String>;

/// Updates by their subject, with when they were recorded and a limit on their memory.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "BTreeMap<K, (UnixMillis, StatusUpdate)>")]
#[serde(bound = "K: Ord + Deserialize<'de>")]
pub(crate) struct Updates<K> {
    latest: BTreeMap<K, (UnixMillis, StatusUpdate)>,
    bytes: usize,
}

impl<K> Default for Updates<K> {
    fn default() -> Self {
        Self { latest: BTreeMap::new(), bytes: 0 }
    }
}

impl<K> From<BTreeMap<K, (UnixMillis, StatusUpdate)>> for Updates<K> {
    fn from(latest: BTreeMap<K, (UnixMillis, StatusUpdate)>) -> Self {
        let bytes = latest.values().map(|(_, update)| update.memory()).sum();
        Self { latest, bytes }
    }
}

impl<K: Serialize> Serialize for Updates<K> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.latest.serialize(serializer)
    }
}

impl<K: Ord + Clone> Updates<K> {
    /// Records an update; removes those that were recorded first if there is no room for it.
    fn insert(&mut self, key: K, at: UnixMillis, update: StatusUpdate) {
        self.remove(&key);
        while self.latest.len() >= UPDATES_MAX || self.bytes + update.memory() > UPDATES_BYTES_MAX {
            let by_time = self.latest.iter().min_by_key(|(_, (recorded, _))| *recorded);
            let Some(oldest) = by_time.map(|(key, _)| key.clone()) else { break };
            self.remove(&oldest);
        }
        self.bytes += update.memory();
        self.latest.insert(key, (at, update));
    }

    fn remove(&mut self, key: &K) {
        if let Some((_, update)) = self.latest.remove(key) {
            self.bytes -= update.memory();
        }
    }

    /// Removes the updates that were recorded before `time`.
    fn expire(&mut self, time: UnixMillis) {
        let bytes = &mut self.bytes;
        self.latest.retain(|_, (recorded, update)| {
            let is_kept = *recorded >= time;
            *bytes -= if is_kept { 0 } else { update.memory() };
            is_kept
        });
    }
}

/// The status of backend servers that is replicated.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct RecordedStatus {
    departures: Departures,
    /// The proven weights of each engine, by its address.
    weights: Updates<SocketAddr>,
}

impl From<Departures> for RecordedStatus {
    fn from(departures: Departures) -> Self {
        Self { departures, weights: Updates::default() }
    }
}

impl RecordedStatus {
    /// Returns whether an update must be recorded before it is acknowledged.
    pub(crate) const fn must_hold(update: &StatusUpdate) -> bool {
        match update {
            StatusUpdate::Backend(backend) => backend.draining,
            StatusUpdate::Gone(key, _) => matches!(key, StatusKey::Backend(_)),
            StatusUpdate::Weights(_) => true,
            StatusUpdate::Process(_) | StatusUpdate::Limit(_) | StatusUpdate::Suspects(_) => false,
        }
    }

    /// Records an update, unless a later one about the same subject is recorded.
    pub(crate) fn record(&mut self, update: StatusUpdate, at: UnixMillis) {
        if self.covers(&update) {
            return;
        }
        match update.key() {
            StatusKey::Backend(id) => {
                let retention = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
                let oldest = UnixMillis(at.0.saturating_sub(retention));
                self.departures.expire(oldest);
                self.departures.insert(id, at, update);
            }
            StatusKey::Weights(engine) => {
                self.weights.insert(engine, at, update);
            }
            StatusKey::Process(_) | StatusKey::Limit(_) | StatusKey::SuspectedParts => {}
        }
    }

    /// Returns whether this update or a later one is recorded.
    ///
    /// Later reports of an incarnation that drains count as the first one.
    pub(crate) fn covers(&self, update: &StatusUpdate) -> bool {
        let known = match update.key() {
            StatusKey::Backend(id) => self.departures.latest.get(&id),
            StatusKey::Weights(engine) => self.weights.latest.get(&engine),
            StatusKey::Process(_) | StatusKey::Limit(_) | StatusKey::SuspectedParts => return true,
        };
        known.is_some_and(|(_, known)| match (known, update) {
            (StatusUpdate::Backend(known), StatusUpdate::Backend(update)) => {
                known.stamp.incarnation >= update.stamp.incarnation
            }
            (known, update) => !update.supersedes(known),
        })
    }

    /// Returns all updates.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &StatusUpdate> {
        let departures = self.departures.latest.values();
        departures.chain(self.weights.latest.values()).map(|(_, update)| update)
    }
}
