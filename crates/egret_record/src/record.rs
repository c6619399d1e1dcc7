//! A record in its normal form, whatever its schema.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, RecordName, VersionDigest};

/// What an operator wants: a model or service, where it runs, how requests reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The schema it was written in.
    pub schema: u32,
    /// Its name.
    pub name: RecordName,
    /// What runs.
    pub target: Target,
    /// Where it runs.
    pub placement: Placement,
    /// Who goes first when several records want the same.
    pub priority: Priority,
    /// Its share of a full backend server, beside other kinds.
    pub weight: Weight,
    /// What is known of its calls.
    pub calls: Vec<CallRule>,
    /// The service level that is aimed at.
    pub objective: Objective,
}

/// What a record runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model, loaded into model engines.
    Model(ModelTarget),
    /// A plain service, which runs already.
    Service(ServiceTarget),
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelTarget {
    /// The model's name, as callers give it.
    pub model: String,
    /// The version's label, for people.
    pub version: String,
    /// The digest of the version's manifest.
    pub digest: VersionDigest,
    /// Base address of the origin, under which manifest and weights lie.
    pub origin: String,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// The service's name, as its agents announce it.
    pub service: String,
    /// The path prefix by which callers reach it.
    pub path: String,
}

/// Where the replicas of a record run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// So many replicas in all, spread over the data centres.
    Spread(u32),
    /// So many replicas in each data centre.
    PerDataCentre(BTreeMap<DataCentre, u32>),
}

impl Placement {
    /// Returns the number of replicas in all.
    #[must_use]
    pub fn total(&self) -> u32 {
        match self {
            Self::Spread(count) => *count,
            Self::PerDataCentre(counts) => counts.values().sum(),
        }
    }
}

/// Who goes first when several records want the same; higher goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The priority of records that give none.
    pub const NORMAL: Self = Self(100);
}

/// A share beside other kinds of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(pub u32);

impl Weight {
    /// The weight of records that give none.
    pub const NORMAL: Self = Self(1);
}

/// What is known of some calls of a record.
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
    /// Whether the call may be repeated without harm.
    #[serde(default)]
    pub idempotent: bool,
}

/// The service level that a record aims at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Requests answered whole, of a hundred thousand.
    pub answered_per_100k: u32,
    /// Time within which an answer counts, in milliseconds.
    pub within_ms: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self { answered_per_100k: 99_900, within_ms: 30_000 }
    }
}

impl Record {
    /// Returns the rule for a call, the longest path prefix first.
    #[must_use]
    pub fn rule(&self, method: &str, path: &str) -> Option<&CallRule> {
        self.calls
            .iter()
            .filter(|rule| rule.method == method && has_prefix(path, &rule.path))
            .max_by_key(|rule| rule.path.len())
    }

    /// Tells whether a call may run at most once.
    #[must_use]
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        self.rule(method, path).is_some_and(|rule| rule.once)
    }

    /// Tells whether a call may be repeated without harm.
    ///
    /// Reads may always be repeated, and so may calls of models, which keep nothing.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.rule(method, path) {
            Some(rule) => !rule.once && rule.idempotent,
            None => matches!(self.target, Target::Model(_)) || method == "GET" || method == "HEAD",
        }
    }

    /// Returns the model that the record runs, if it runs one.
    #[must_use]
    pub fn model(&self) -> Option<&ModelTarget> {
        match &self.target {
            Target::Model(model) => Some(model),
            Target::Service(_) => None,
        }
    }
}

/// Tells whether `path` is `prefix` or lies below it.
#[must_use]
pub fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
