//! The status that backend servers and processes report.

use std::{net::SocketAddr, time::Duration};

use egret_record::{DataCentre, PartId, RateLimit, WeightVersion};
use serde::{Deserialize, Serialize};

/// Longest delay from choosing a busy engine to the start of its answer.
///
/// It covers a full queue and a second behind weight pieces on a congested link that is not yet
/// known as such. Entries send an engine no requests within this time before its weights are due;
/// agents keep its link free from then on.
pub const START_DELAY_MAX: Duration = Duration::from_millis(1_600);

/// [`START_DELAY_MAX`] for urgent requests to an engine whose answers start at once.
///
/// The engine admits these first. The delay is three times that up to which an answer counts as
/// starting at once.
pub const FAST_START_DELAY_MAX: Duration = Duration::from_millis(900);

/// Orders the reports of a backend server or process; later ones are greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StatusStamp {
    /// The start of the incarnation, in milliseconds since 1970 by its own clock.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// A number that grows with each report within the incarnation.
    pub seq: u64,
}

impl StatusStamp {
    /// Returns the stamp of the departure of an incarnation, which is later than all its reports.
    #[must_use]
    pub const fn end(incarnation: u64) -> Self {
        Self { incarnation, seq: u64::MAX }
    }
}

/// Weights that a model engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightVersion,
    /// Whether all layers are loaded.
    pub complete: bool,
}

/// The status of a backend server, as it reported it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Its id, which usually identifies one incarnation.
    pub id: String,
    /// The service that it offers.
    pub service: String,
    /// Its address for requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and must be sent no new requests.
    pub draining: bool,
    /// How much longer it stays cold, in milliseconds, as of this report.
    pub cold_ms: u64,
    /// The weights that it has loaded.
    pub models: Vec<LoadedModel>,
    /// The order of this report among its reports.
    #[serde(rename = "life")]
    pub stamp: StatusStamp,
}

impl BackendStatus {
    /// Returns the version of `model` that it can serve.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<WeightVersion> {
        version_of(&self.models, model)
    }

    /// Returns whether two reports of one incarnation differ in what matters to other processes.
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

/// Returns the version of `model` that is loaded completely, if any.
#[must_use]
pub fn version_of(models: &[LoadedModel], model: &str) -> Option<WeightVersion> {
    let loaded = models.iter().find(|loaded| loaded.complete && loaded.model == model);
    loaded.map(|loaded| loaded.version)
}

/// The status of the engine beside an agent, as the agent saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The start of the engine's incarnation, in milliseconds since 1970 by its own clock.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// How many load orders it had accepted, if it counts them.
    pub orders: Option<u64>,
    /// The weights that it has loaded.
    pub models: Vec<LoadedModel>,
}

/// Which weights of an engine are whole, as the control instances have replicated it.
///
/// It outlives all processes, unlike the status that the agent reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvenWeights {
    /// The address of the engine.
    pub engine: SocketAddr,
    /// The weights that the agent had proven; empty once it has withdrawn its proof.
    pub proven: EngineStatus,
}

impl ProvenWeights {
    /// Returns its order among those about the same engine.
    ///
    /// The engine's own count of orders decides, so that no clock of an agent does. A proof that
    /// was withdrawn stays so until the engine has accepted another order.
    #[must_use]
    pub const fn stamp(&self) -> StatusStamp {
        let orders = match self.proven.orders {
            Some(orders) => orders,
            None => 0,
        };
        let seq = orders.saturating_mul(2).saturating_add(self.proven.models.is_empty() as u64);
        StatusStamp { incarnation: self.proven.incarnation, seq }
    }
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessKind {
    /// Accepts requests from callers.
    Entry,
    /// Runs beside a model engine, loads its weights and serves them to other agents.
    Agent,
}

/// The status of an entry or agent, as it reported it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The name in its settings.
    pub name: String,
    /// Its role.
    pub kind: ProcessKind,
    /// Where an entry accepts callers, or an agent serves weights.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The service of the engine beside an agent.
    pub service: Option<String>,
    /// The address of the engine beside an agent.
    pub engine: Option<SocketAddr>,
    /// What that engine has loaded, as the agent last saw it.
    pub loaded: Option<EngineStatus>,
    /// Whether weights in flight to the engine saturate its link.
    #[serde(rename = "narrow")]
    pub congested: bool,
    /// Whether the engine is about to switch weights and must be sent no requests.
    pub switching: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The order of this report among its reports.
    #[serde(rename = "life")]
    pub stamp: StatusStamp,
}

/// The request rate that a backend server accepts from all entries together.
///
/// The leader of the control instances announces it, by what entries tell it of responses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLimit {
    /// The id of the backend server.
    pub backend: String,
    /// The limit; none if it has ended.
    pub limit: Option<RateLimit>,
    /// The incarnation of the backend server, and the order of the announcement.
    pub stamp: StatusStamp,
}

/// The parts of prompts that may crash backend servers.
///
/// The leader of the control instances announces them, so that entries tell it which of them they
/// have seen answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedParts {
    /// The parts.
    pub parts: Vec<PartId>,
    /// The term of the leader, and the order of the announcement in it.
    pub stamp: StatusStamp,
}

/// Identifies what an update is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StatusKey {
    /// A backend server, by its id.
    Backend(String),
    /// A process, by its name.
    Process(String),
    /// The rate limit of a backend server, by its id.
    Limit(String),
    /// The parts of prompts that may crash backend servers.
    SuspectedParts,
    /// The proven weights of an engine, by its address.
    Weights(SocketAddr),
}

/// An update about a backend server or process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusUpdate {
    /// A backend server reported its status.
    Backend(BackendStatus),
    /// A process reported its status.
    Process(ProcessStatus),
    /// It is gone as of this stamp: that of its last report if it has expired, else
    /// [`StatusStamp::end`].
    Gone(StatusKey, StatusStamp),
    /// The leader announced the rate limit of a backend server.
    Limit(BackendLimit),
    /// The leader announced the parts of prompts that may crash backend servers.
    Suspects(SuspectedParts),
    /// The control instances have replicated which weights of an engine are whole.
    Weights(ProvenWeights),
}

impl StatusUpdate {
    /// Returns which backend server or process it is about.
    #[must_use]
    pub fn key(&self) -> StatusKey {
        match self {
            Self::Backend(backend) => StatusKey::Backend(backend.id.clone()),
            Self::Process(process) => StatusKey::Process(process.name.clone()),
            Self::Gone(key, _) => key.clone(),
            Self::Limit(limit) => StatusKey::Limit(limit.backend.clone()),
            Self::Suspects(_) => StatusKey::SuspectedParts,
            Self::Weights(weights) => StatusKey::Weights(weights.engine),
        }
    }

    /// Returns its order among the updates about the same key.
    #[must_use]
    pub const fn stamp(&self) -> StatusStamp {
        match self {
            Self::Backend(backend) => backend.stamp,
            Self::Process(process) => process.stamp,
            Self::Gone(_, stamp) => *stamp,
            Self::Limit(limit) => limit.stamp,
            Self::Suspects(suspects) => suspects.stamp,
            Self::Weights(weights) => weights.stamp(),
        }
    }

    /// Returns about how much memory it takes, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        let models = |models: &[LoadedModel]| -> usize {
            models.iter().map(|loaded| size_of::<LoadedModel>() + loaded.model.len()).sum()
        };
        let key = |key: &StatusKey| match key {
            StatusKey::Backend(name) | StatusKey::Process(name) | StatusKey::Limit(name) => {
                name.len()
            }
            StatusKey::SuspectedParts | StatusKey::Weights(_) => 0,
        };
        size_of::<Self>()
            + match self {
                Self::Backend(backend) => {
                    backend.id.len()
                        + backend.service.len()
                        + backend.data_centre.as_str().len()
                        + models(&backend.models)
                }
                Self::Process(process) => {
                    process.name.len()
                        + process.data_centre.as_str().len()
                        + process.service.as_ref().map_or(0, String::len)
                        + process.loaded.as_ref().map_or(0, |loaded| models(&loaded.models))
                }
                Self::Gone(what, _) => key(what),
                Self::Limit(limit) => limit.backend.len(),
                Self::Suspects(suspects) => size_of_val(suspects.parts.as_slice()),
                Self::Weights(weights) => models(&weights.proven.models),
            }
    }

    /// Returns whether this is later than another update about the same key.
    ///
    /// Updates are ordered by their stamps, and a departure comes after the report with its stamp. An
    /// expiry has the stamp of the last report, so the next report undoes it. A departure has
    /// [`StatusStamp::end`], so only a later incarnation comes after it.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |update: &Self| (update.stamp(), matches!(update, Self::Gone(..)));
        rank(self) > rank(other)
    }

    /// Returns whether this differs from an earlier update in what matters to other processes.
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
