//! A record in its normalized form, independent of its schema.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, RecordName, VersionDigest};

/// A model or service to run, its placement and the rules for its calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The schema in which it was written.
    pub schema: u32,
    /// Its name.
    pub name: RecordName,
    /// What it runs.
    pub target: Target,
    /// Where it runs.
    pub placement: Placement,
    /// Which record goes first when several compete for backend servers.
    pub priority: Priority,
    /// Its share of a backend server that has no free slots, relative to other records.
    pub weight: Weight,
    /// Rules for its calls.
    pub calls: Vec<CallRule>,
    /// The service level objective.
    pub objective: Objective,
}

/// What a record runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model, loaded into model engines.
    Model(ModelTarget),
    /// A plain service that is already running.
    Service(ServiceTarget),
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelTarget {
    /// The model's name, as callers give it.
    pub model: String,
    /// The version's label, for display.
    pub version: String,
    /// The digest of the version's manifest.
    pub digest: VersionDigest,
    /// Base address of the origin, below which it serves manifest and weights.
    pub origin: String,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// The service's name, as its agents register it.
    pub service: String,
    /// The path prefix by which callers reach it.
    pub path: String,
}

/// Where the replicas of a record run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// This many replicas in total, spread over the data centres.
    Spread(u32),
    /// This many replicas in each data centre.
    PerDataCentre(BTreeMap<DataCentre, u32>),
}

impl Placement {
    /// Returns the total number of replicas.
    #[must_use]
    pub fn total(&self) -> u32 {
        match self {
            Self::Spread(count) => *count,
            Self::PerDataCentre(counts) => counts.values().sum(),
        }
    }
}

/// The priority of a record for backend servers; higher goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The default priority.
    pub const NORMAL: Self = Self(100);
}

/// A record's share of a full backend server, relative to other records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(pub u32);

impl Weight {
    /// The default weight.
    pub const NORMAL: Self = Self(1);
}

/// A rule for the calls of a record with one method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// The HTTP method.
    pub method: String,
    /// The path prefix.
    pub path: String,
    /// Whether the call may run at most once.
    #[serde(default)]
    pub once: bool,
    /// Whether the call may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
}

/// The service level objective of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// How many of 100,000 requests must be answered completely.
    pub answered_per_100k: u32,
    /// Time within which an answer counts as on time, in milliseconds.
    pub within_ms: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self { answered_per_100k: 99_900, within_ms: 30_000 }
    }
}

impl Record {
    /// Returns the rule for a call; the longest path prefix wins.
    #[must_use]
    pub fn rule(&self, method: &str, path: &str) -> Option<&CallRule> {
        self.calls
            .iter()
            .filter(|rule| rule.method == method && has_prefix(path, &rule.path))
            .max_by_key(|rule| rule.path.len())
    }

    /// Returns whether a call may run at most once.
    #[must_use]
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        self.rule(method, path).is_some_and(|rule| rule.once)
    }

    /// Returns whether a call may safely run more than once.
    ///
    /// Without a rule, reads may run again, and so may calls of models, which are stateless.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.rule(method, path) {
            Some(rule) => !rule.once && rule.idempotent,
            None => matches!(self.target, Target::Model(_)) || method == "GET" || method == "HEAD",
        }
    }

    /// Returns the model that the record runs, if any.
    #[must_use]
    pub fn model(&self) -> Option<&ModelTarget> {
        match &self.target {
            Target::Model(model) => Some(model),
            Target::Service(_) => None,
        }
    }
}

/// Returns whether `path` equals `prefix` or is below it.
#[must_use]
pub fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
