//! The shared view and the changes between its revisions.

use std::{net::SocketAddr, sync::Arc};

use imbl::{OrdMap, OrdSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    BackendName, Catalog, CatalogPatch, DataCentre, EntryName, Fence, PartId, Record, RecordName,
    Revision, SessionId, VersionDigest, WeightVersion,
};

/// A record with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// The revision of its last change.
    pub revision: Revision,
}

/// The role of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendRole {
    /// A model engine, which runs the version that it is assigned.
    Model,
    /// A plain service with this name.
    Service(String),
}

/// The version that a backend server is ordered to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The record.
    pub record: RecordName,
    /// The version to fetch.
    pub digest: VersionDigest,
    /// The fencing token of this order; later orders have higher ones.
    pub fence: Fence,
    /// Whether the engine switches to it now, or only fetches it.
    pub activate: bool,
}

/// The loading state of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It serves nothing.
    #[default]
    Idle,
    /// It has all chunks of a version, verified, and may still serve an older one.
    Staged {
        /// The version that it has fetched.
        digest: VersionDigest,
        /// The version that it still serves.
        serving: Option<VersionDigest>,
    },
    /// It serves a version.
    Live(VersionDigest),
    /// It serves requests as a plain service.
    Serving,
}

/// A backend server as its agent registered it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: BackendName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The agent's address for requests.
    pub address: SocketAddr,
    /// The agent's address for weights.
    pub peer_address: SocketAddr,
    /// Its role.
    pub role: BackendRole,
    /// Maximum number of concurrent requests when it is warm.
    pub limit: u32,
    /// The session in which it was registered.
    pub session: SessionId,
    /// What it is ordered to run.
    pub assignment: Option<Assignment>,
    /// Its loading state.
    pub phase: Phase,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
}

impl Backend {
    /// Returns the version that the backend server serves, if any.
    #[must_use]
    pub const fn serving(&self) -> Option<VersionDigest> {
        match self.phase {
            Phase::Live(digest) => Some(digest),
            Phase::Staged { serving, .. } => serving,
            Phase::Idle | Phase::Serving => None,
        }
    }

    /// Returns whether the backend server has all chunks of version `digest`.
    #[must_use]
    pub fn holds(&self, digest: VersionDigest) -> bool {
        match self.phase {
            Phase::Live(held) => held == digest,
            Phase::Staged { digest: held, serving } => held == digest || serving == Some(digest),
            Phase::Idle | Phase::Serving => false,
        }
    }
}

/// An entry as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: EntryName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address for callers.
    pub address: SocketAddr,
    /// The session in which it was registered.
    pub session: SessionId,
    /// Whether it is shutting down and is no longer listed to callers.
    pub leaving: bool,
}

/// A part of prompts, or a request, that crashes backend servers, so that it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedPart {
    /// The revision at which it was blocked.
    pub since: Revision,
    /// Number of requests that were let through to see whether it still crashes servers.
    pub trials: u32,
    /// Whether other parts were almost as suspect, so that it is tried sooner.
    pub doubtful: bool,
    /// Whether one more request may be let through, by the first entry that claims it.
    pub trial_open: bool,
}

/// One change of the view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A record was written.
    Record(StoredRecord),
    /// A record was removed.
    RecordRemoved(RecordName),
    /// A data centre was taken out of rotation or brought back.
    DataCentre {
        /// The data centre.
        name: DataCentre,
        /// Whether it is out of rotation.
        out: bool,
    },
    /// A backend server joined or changed.
    Backend(Backend),
    /// A backend server left.
    BackendLeft(BackendName),
    /// An entry joined or changed.
    Entry(Entry),
    /// An entry left.
    EntryLeft(EntryName),
    /// A later version of the catalog is in force.
    Catalog(CatalogPatch),
    /// A later target version of a model's weights was set.
    Weights {
        /// The model.
        model: String,
        /// The version that its engines must serve.
        version: WeightVersion,
    },
    /// A part of prompts is blocked.
    PartBlocked(PartId, BlockedPart),
    /// A part of prompts is no longer blocked.
    PartReleased(PartId),
}

/// Changes from one revision to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Delta {
    /// The changes after `from`, in order, up to `to`.
    Changes {
        /// The revision that the changes follow.
        from: Revision,
        /// The revision after them.
        to: Revision,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The whole view, for a copy whose revision is too old.
    Snapshot(Box<View>),
}

/// The control state that every entry and agent knows at a revision.
///
/// Clones share structure, so a process can keep one for its readers while it
/// changes another.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct View {
    /// The revision.
    pub revision: Revision,
    /// The records.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub records: OrdMap<RecordName, StoredRecord>,
    /// The data centres that are out of rotation.
    #[serde(deserialize_with = "crate::persistent::set")]
    pub out: OrdSet<DataCentre>,
    /// The backend servers.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub backends: OrdMap<BackendName, Backend>,
    /// The entries.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub entries: OrdMap<EntryName, Entry>,
    /// The catalog in force, if any.
    pub catalog: Option<Arc<Catalog>>,
    /// The target version of each model's weights.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub weights: OrdMap<String, WeightVersion>,
    /// The blocked parts of prompts.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub blocked: OrdMap<PartId, BlockedPart>,
}

/// A delta that does not follow the view's revision.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("delta follows revision {delta}, the view has {view}; ask for a snapshot")]
pub struct ViewError {
    /// The revision that the delta follows.
    pub delta: Revision,
    /// The revision of the view.
    pub view: Revision,
}

impl View {
    /// Applies a delta; one that is older than the view is ignored.
    ///
    /// # Errors
    ///
    /// Returns a [`ViewError`] if the delta starts after the revision of the view.
    pub fn apply(&mut self, delta: Delta) -> Result<(), ViewError> {
        match delta {
            Delta::Snapshot(view) if view.revision >= self.revision => *self = *view,
            Delta::Snapshot(_) => {}
            Delta::Changes { from, .. } if from > self.revision => {
                return Err(ViewError { delta: from, view: self.revision });
            }
            Delta::Changes { to, .. } if to <= self.revision => {}
            Delta::Changes { to, changes, .. } => {
                for change in changes {
                    self.apply_change(change);
                }
                self.revision = to;
            }
        }
        Ok(())
    }

    /// Applies one change and leaves the revision as it is.
    pub fn apply_change(&mut self, change: Change) {
        match change {
            Change::Record(stored) => {
                self.records.insert(stored.record.name.clone(), stored);
            }
            Change::RecordRemoved(name) => {
                self.records.remove(&name);
            }
            Change::DataCentre { name, out: true } => {
                self.out.insert(name);
            }
            Change::DataCentre { name, out: false } => {
                self.out.remove(&name);
            }
            Change::Backend(backend) => {
                self.backends.insert(backend.name.clone(), backend);
            }
            Change::BackendLeft(name) => {
                self.backends.remove(&name);
            }
            Change::Entry(entry) => {
                self.entries.insert(entry.name.clone(), entry);
            }
            Change::EntryLeft(name) => {
                self.entries.remove(&name);
            }
            Change::Catalog(patch) => {
                Arc::make_mut(self.catalog.get_or_insert_default()).apply(patch);
            }
            Change::Weights { model, version } => {
                self.weights.insert(model, version);
            }
            Change::PartBlocked(part, block) => {
                self.blocked.insert(part, block);
            }
            Change::PartReleased(part) => {
                self.blocked.remove(&part);
            }
        }
    }

    /// Returns the record that runs the model with this name.
    #[must_use]
    pub fn record_of_model(&self, model: &str) -> Option<&StoredRecord> {
        self.records
            .values()
            .find(|stored| stored.record.model().is_some_and(|target| target.model == model))
    }

    /// Returns the service record with the longest prefix of `path`.
    #[must_use]
    pub fn record_of_path(&self, path: &str) -> Option<&StoredRecord> {
        self.records
            .values()
            .filter_map(|stored| match &stored.record.target {
                crate::Target::Service(service) if crate::has_prefix(path, &service.path) => {
                    Some((service.path.len(), stored))
                }
                _ => None,
            })
            .max_by_key(|(length, _)| *length)
            .map(|(_, stored)| stored)
    }

    /// Returns whether a backend server may be sent new requests of `record`.
    #[must_use]
    pub fn may_serve(&self, backend: &Backend, record: &Record) -> bool {
        if backend.leaving || self.out.contains(&backend.data_centre) {
            return false;
        }
        match (&backend.role, &record.target) {
            (BackendRole::Service(offered), crate::Target::Service(target)) => {
                backend.phase == Phase::Serving && *offered == target.service
            }
            (BackendRole::Model, crate::Target::Model(_)) => {
                let assignment = backend.assignment.as_ref();
                backend.serving().is_some()
                    && assignment.is_some_and(|assignment| assignment.record == record.name)
            }
            _ => false,
        }
    }

    /// Returns how many replicas of `record` serve its current version.
    #[must_use]
    pub fn live_replicas(&self, record: &Record) -> usize {
        let Some(model) = record.model() else {
            return self.backends.values().filter(|b| self.may_serve(b, record)).count();
        };
        self.backends
            .values()
            .filter(|backend| backend.phase == Phase::Live(model.digest))
            .filter(|backend| self.may_serve(backend, record))
            .count()
    }
}
