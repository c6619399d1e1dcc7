//! What backend servers and processes say of themselves.

use std::{net::SocketAddr, time::Duration};

use egret_record::{DataCentre, WeightVersion};
use serde::{Deserialize, Serialize};

/// Longest time that a request takes to begin at a busy engine, from when a place was found: a
/// second behind pieces on a squeezed link that is not known as such yet, and a full queue.
///
/// Entries ask no engine this long before its weights are due; agents keep its link free from then.
pub const START_DELAY_MAX: Duration = Duration::from_millis(1_600);

/// [`START_DELAY_MAX`] at an engine whose answers begin at once, for requests that it admits first:
/// three times the delay that counts as such.
pub const FAST_START_DELAY_MAX: Duration = Duration::from_millis(900);

/// A moment in the lifetimes of a backend server or process; later ones are greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StatusStamp {
    /// The start of the lifetime, in milliseconds since 1970 by its own clock.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// A number that grows with each word within the lifetime.
    pub seq: u64,
}

/// Weights that a model engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightVersion,
    /// Whether all layers are there.
    pub complete: bool,
}

/// A backend server, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Names one lifetime, mostly.
    pub id: String,
    /// The service that it offers.
    pub service: String,
    /// Its address for requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and wants no new work.
    pub draining: bool,
    /// How much longer it stays cold, in milliseconds, when it said so.
    pub cold_ms: u64,
    /// The weights that it has loaded.
    pub models: Vec<LoadedModel>,
    /// When it said this.
    #[serde(rename = "life")]
    pub stamp: StatusStamp,
}

impl BackendStatus {
    /// Returns the version of a model that it can answer with.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<WeightVersion> {
        version_of(&self.models, model)
    }

    /// Tells whether two words of one lifetime differ in what matters to others.
    fn differs(&self, other: &Self) -> bool {
        self.draining != other.draining
            || self.address != other.address
            || self.service != other.service
            || self.models != other.models
            || self.slots != other.slots
            || (self.cold_ms > 0) != (other.cold_ms > 0)
            || self.cold_ms > other.cold_ms
    }
}

/// Returns the version of a model that is loaded completely.
#[must_use]
pub fn version_of(models: &[LoadedModel], model: &str) -> Option<WeightVersion> {
    let loaded = models.iter().find(|one| one.complete && one.model == model);
    loaded.map(|one| one.version)
}

/// What an agent saw of the engine beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The start of the engine's lifetime, in milliseconds since 1970 by its own clock.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// The weights that it has loaded.
    pub models: Vec<LoadedModel>,
}

/// What a process of the system does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessKind {
    /// It takes requests of callers.
    Entry,
    /// It stands beside a model engine and passes weights on.
    Agent,
}

/// A process of the system, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The name in its settings.
    pub name: String,
    /// What it does.
    pub kind: ProcessKind,
    /// The address of an entry for callers, of an agent for weights.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The service of the engine beside an agent.
    pub service: Option<String>,
    /// The address of the engine beside an agent.
    pub engine: Option<SocketAddr>,
    /// What that engine has loaded, as the agent saw it last.
    pub loaded: Option<EngineStatus>,
    /// Whether weights on their way to the engine fill its link.
    #[serde(rename = "narrow")]
    pub congested: bool,
    /// Whether the engine is about to change its weights and shall get nothing.
    pub switching: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// When it said this.
    #[serde(rename = "life")]
    pub stamp: StatusStamp,
}

/// What names a backend server or process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StatusKey {
    /// A backend server, by its id.
    Backend(String),
    /// A process, by its name.
    Process(String),
}

/// Something that was heard of a backend server or process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusUpdate {
    /// A backend server announced itself.
    Backend(BackendStatus),
    /// A process announced itself.
    Process(ProcessStatus),
    /// It is gone, at this moment of its lifetimes or before.
    Gone(StatusKey, StatusStamp),
}

impl StatusUpdate {
    /// Returns what it is about.
    #[must_use]
    pub fn key(&self) -> StatusKey {
        match self {
            Self::Backend(backend) => StatusKey::Backend(backend.id.clone()),
            Self::Process(process) => StatusKey::Process(process.name.clone()),
            Self::Gone(key, _) => key.clone(),
        }
    }

    /// Returns when it was said.
    #[must_use]
    pub const fn stamp(&self) -> StatusStamp {
        match self {
            Self::Backend(backend) => backend.stamp,
            Self::Process(process) => process.stamp,
            Self::Gone(_, stamp) => *stamp,
        }
    }

    /// Tells whether this differs from an earlier sighting in what matters to others.
    #[must_use]
    pub(crate) fn differs(&self, earlier: &Self) -> bool {
        match (self, earlier) {
            (Self::Backend(new), Self::Backend(old)) => {
                new.stamp.incarnation != old.stamp.incarnation || new.differs(old)
            }
            (Self::Process(new), Self::Process(old)) => {
                new.leaving != old.leaving
                    || new.address != old.address
                    || new.switching != old.switching
                    || new.congested != old.congested
                    || new.engine != old.engine
                    || new.loaded != old.loaded
            }
            _ => true,
        }
    }
}
