//! Status updates that outlive the processes which received them.
//!
//! A backend server that was told that its departure is known sends nothing more. So its departure,
//! and that it drains, are replicated before they are acknowledged; all other status is
//! reported again and again, and is soft state.

use std::{collections::BTreeMap, time::Duration};

use egret_fleet::{StatusKey, StatusUpdate};
use egret_rpc::UnixMillis;
use serde::{Deserialize, Serialize};

/// Time for which an update is kept: longer than a backend server goes on after it left.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of updates; the oldest are removed first.
const UPDATES_MAX: usize = 16_384;

/// The latest replicated status of each backend server that drains or has departed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct RecordedStatus {
    /// The updates by the id of the backend server, with when they were recorded.
    updates: BTreeMap<String, (UnixMillis, StatusUpdate)>,
}

impl RecordedStatus {
    /// Returns whether an update must be recorded before it is acknowledged.
    pub(crate) fn must_hold(update: &StatusUpdate) -> bool {
        match update {
            StatusUpdate::Backend(backend) => backend.draining,
            StatusUpdate::Gone(key, _) => matches!(key, StatusKey::Backend(_)),
            StatusUpdate::Process(_) | StatusUpdate::Limit(_) | StatusUpdate::Suspects(_) => false,
        }
    }

    /// Records an update, unless a later one about the same backend server is recorded.
    pub(crate) fn record(&mut self, update: StatusUpdate, at: UnixMillis) {
        let StatusKey::Backend(id) = update.key() else { return };
        if self.covers(&update) {
            return;
        }
        let retention = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
        let oldest = UnixMillis(at.0.saturating_sub(retention));
        self.updates.retain(|_, (recorded, _)| *recorded >= oldest);
        if self.updates.len() >= UPDATES_MAX {
            let by_time = self.updates.iter().min_by_key(|(_, (recorded, _))| *recorded);
            if let Some(oldest) = by_time.map(|(id, _)| id.clone()) {
                self.updates.remove(&oldest);
            }
        }
        self.updates.insert(id, (at, update));
    }

    /// Returns whether this update or a later one is recorded.
    ///
    /// Later reports of an incarnation that drains count as the first one.
    pub(crate) fn covers(&self, update: &StatusUpdate) -> bool {
        let StatusKey::Backend(id) = update.key() else { return true };
        self.updates.get(&id).is_some_and(|(_, known)| match (known, update) {
            (StatusUpdate::Backend(known), StatusUpdate::Backend(update)) => {
                known.stamp.incarnation >= update.stamp.incarnation
            }
            (known, update) => !update.supersedes(known),
        })
    }

    /// Returns all updates.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &StatusUpdate> {
        self.updates.values().map(|(_, update)| update)
    }
}
