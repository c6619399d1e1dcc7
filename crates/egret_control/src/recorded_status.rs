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
use serde::{Deserialize, Serialize};

/// Time for which a departure is kept: longer than a backend server goes on after it left.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of updates of each kind; the oldest are removed first.
const UPDATES_MAX: usize = 16_384;
/// Memory for the updates of each kind, in bytes; the oldest are removed first here, too.
const UPDATES_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The latest replicated status of each backend server that drains or has departed, by its id, with
/// when it was recorded.
pub(crate) type Departures = BTreeMap<String, (UnixMillis, StatusUpdate)>;

/// The status of backend servers that is replicated.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct RecordedStatus {
    departures: Departures,
    /// The proven weights of each engine, by its address, with when they were recorded.
    weights: BTreeMap<SocketAddr, (UnixMillis, StatusUpdate)>,
}

impl From<Departures> for RecordedStatus {
    fn from(departures: Departures) -> Self {
        Self { departures, weights: BTreeMap::new() }
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
                self.departures.retain(|_, (recorded, _)| *recorded >= oldest);
                self.departures.remove(&id);
                make_room(&mut self.departures, &update);
                self.departures.insert(id, (at, update));
            }
            StatusKey::Weights(engine) => {
                self.weights.remove(&engine);
                make_room(&mut self.weights, &update);
                self.weights.insert(engine, (at, update));
            }
            StatusKey::Process(_) | StatusKey::Limit(_) | StatusKey::SuspectedParts => {}
        }
    }

    /// Returns whether this update or a later one is recorded.
    ///
    /// Later reports of an incarnation that drains count as the first one.
    pub(crate) fn covers(&self, update: &StatusUpdate) -> bool {
        let known = match update.key() {
            StatusKey::Backend(id) => self.departures.get(&id),
            StatusKey::Weights(engine) => self.weights.get(&engine),
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
        let departures = self.departures.values();
        departures.chain(self.weights.values()).map(|(_, update)| update)
    }
}

/// Removes the updates that were recorded first until there is room for another one.
fn make_room<K: Ord + Clone>(
    updates: &mut BTreeMap<K, (UnixMillis, StatusUpdate)>,
    new: &StatusUpdate,
) {
    let mut bytes: usize = updates.values().map(|(_, update)| update.memory()).sum();
    while updates.len() >= UPDATES_MAX || bytes + new.memory() > UPDATES_BYTES_MAX {
        let by_time = updates.iter().min_by_key(|(_, (recorded, _))| *recorded);
        let Some(oldest) = by_time.map(|(key, _)| key.clone()) else { return };
        if let Some((_, removed)) = updates.remove(&oldest) {
            bytes -= removed.memory();
        }
    }
}
