//! The two record schemas that operators write.
//!
//! Schema 1 gives a number of replicas, spread over all data centres. Schema 2
//! gives a number of replicas for each data centre and adds priority, weight
//! and objective. Both are supported side by side.

use std::collections::BTreeMap;

use egret_settings::{DocumentError, Problem, decode, reject};
use serde::Deserialize;

use crate::{
    CallRule, DataCentre, ModelTarget, NameError, Objective, Placement, Priority, Record,
    RecordName, ServiceTarget, Target, VersionDigest, Weight,
};

/// Replicas of a service record, which uses every instance that offers the service.
const SERVICE_REPLICAS: u32 = 0;
/// Maximum number of replicas of a record.
const REPLICAS_MAX: u32 = 100_000;

#[derive(Debug, Deserialize)]
struct Header {
    schema: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Schema1 {
    #[expect(dead_code, reason = "read through `Header`; declared here as a known key")]
    schema: u32,
    name: String,
    model: Option<String>,
    version: Option<String>,
    digest: Option<String>,
    origin: Option<String>,
    replicas: Option<u32>,
    service: Option<String>,
    path: Option<String>,
    #[serde(default)]
    calls: Vec<CallRule>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Schema2 {
    #[expect(dead_code, reason = "read through `Header`; declared here as a known key")]
    schema: u32,
    name: String,
    model: Option<ModelDocument>,
    service: Option<ServiceDocument>,
    #[serde(default)]
    placement: BTreeMap<String, u32>,
    #[serde(default = "default_priority")]
    priority: u8,
    #[serde(default = "default_weight")]
    weight: u32,
    #[serde(default)]
    calls: Vec<CallRule>,
    #[serde(default)]
    objective: Objective,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelDocument {
    name: String,
    version: String,
    digest: String,
    origin: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceDocument {
    name: String,
    path: String,
}

const fn default_priority() -> u8 {
    Priority::NORMAL.0
}
const fn default_weight() -> u32 {
    Weight::NORMAL.0
}

/// Decodes and checks a record of either schema.
///
/// # Errors
///
/// Returns a [`DocumentError`] that gives the location and a way to fix the record.
pub fn parse_record(name: &str, text: &str) -> Result<Record, Box<DocumentError>> {
    let header: Header = decode(name, text)?;
    let converted = match header.schema {
        1 => decode::<Schema1>(name, text)?.into_record(),
        2 => decode::<Schema2>(name, text)?.into_record(),
        other => Err(Problem::new(
            "schema",
            format!("schema {other} is not known"),
            "write `schema: 1` or `schema: 2`, or upgrade egretgap",
        )),
    };
    let record = match converted {
        Ok(record) => record,
        Err(problem) => {
            reject(name, text, vec![problem])?;
            unreachable!("a problem was given")
        }
    };
    reject(name, text, problems(&record))?;
    Ok(record)
}

impl Schema1 {
    fn into_record(self) -> Result<Record, Problem> {
        let name = record_name(&self.name)?;
        let target = match (self.model, self.service) {
            (Some(model), None) => Target::Model(ModelTarget {
                model,
                version: required("version", self.version)?,
                digest: digest(&required("digest", self.digest)?)?,
                origin: required("origin", self.origin)?,
            }),
            (None, Some(service)) => {
                Target::Service(ServiceTarget { service, path: required("path", self.path)? })
            }
            (model, _) => return Err(target_problem(model.is_some())),
        };
        let replicas = match &target {
            Target::Model(_) => required("replicas", self.replicas)?,
            Target::Service(_) => SERVICE_REPLICAS,
        };
        Ok(Record {
            schema: 1,
            name,
            target,
            placement: Placement::Spread(replicas),
            priority: Priority::NORMAL,
            weight: Weight::NORMAL,
            calls: self.calls,
            objective: Objective::default(),
        })
    }
}

impl Schema2 {
    fn into_record(self) -> Result<Record, Problem> {
        let name = record_name(&self.name)?;
        let target = match (self.model, self.service) {
            (Some(model), None) => Target::Model(ModelTarget {
                model: model.name,
                version: model.version,
                digest: digest(&model.digest)?,
                origin: model.origin,
            }),
            (None, Some(service)) => {
                Target::Service(ServiceTarget { service: service.name, path: service.path })
            }
            (model, _) => return Err(target_problem(model.is_some())),
        };
        let placement = self
            .placement
            .iter()
            .map(|(name, count)| Ok((DataCentre::new(name)?, *count)))
            .collect::<Result<_, NameError>>()
            .map_err(|error| Problem::new("placement", error.to_string(), "name a data centre"))?;
        Ok(Record {
            schema: 2,
            name,
            target,
            placement: Placement::PerDataCentre(placement),
            priority: Priority(self.priority),
            weight: Weight(self.weight),
            calls: self.calls,
            objective: self.objective,
        })
    }
}

fn record_name(text: &str) -> Result<RecordName, Problem> {
    RecordName::new(text).map_err(|error| {
        Problem::new("name", error.to_string(), "rename the record; names never change later")
    })
}

fn digest(text: &str) -> Result<VersionDigest, Problem> {
    text.parse().map_err(|error: crate::ParseDigestError| {
        Problem::new(
            "digest",
            error.to_string(),
            "run `egretctl manifest FILE` and copy its digest",
        )
    })
}

fn required<T>(key: &'static str, value: Option<T>) -> Result<T, Problem> {
    value.ok_or_else(|| {
        Problem::new("name", format!("`{key}` is missing"), format!("add `{key}:` with a value"))
    })
}

fn target_problem(both: bool) -> Problem {
    let message = if both {
        "the record names both a model and a service"
    } else {
        "the record names neither a model nor a service"
    };
    Problem::new("name", message, "keep exactly one of `model` and `service`")
}

fn problems(record: &Record) -> Vec<Problem> {
    let mut problems = Vec::new();
    match &record.target {
        Target::Model(model) => problems.extend(model_problems(record, model)),
        Target::Service(service) if !service.path.starts_with('/') => problems.push(Problem::new(
            "path",
            format!("path {:?} does not start with a slash", service.path),
            "write the path prefix as callers send it, such as /register",
        )),
        Target::Service(service) if is_reserved(&service.path) => problems.push(Problem::new(
            "path",
            format!("path {:?} is taken by egretgap itself", service.path),
            "choose a prefix outside /v1 and /admin",
        )),
        Target::Service(_) => {}
    }
    if record.weight.0 == 0 {
        problems.push(Problem::new(
            "weight",
            "weight 0 would starve the record's requests",
            "give a weight of 1 or more",
        ));
    }
    problems.extend(record.calls.iter().filter_map(call_problem));
    if record.objective.answered_per_100k > 100_000 {
        problems.push(Problem::new(
            "answered_per_100k",
            "more than all requests cannot be answered",
            "give 0 to 100000; 99900 means 99.9 in a hundred",
        ));
    }
    problems
}

fn model_problems(record: &Record, model: &ModelTarget) -> Vec<Problem> {
    let mut problems = Vec::new();
    let total = record.placement.total();
    if total == 0 || total > REPLICAS_MAX {
        let key = if record.schema == 1 { "replicas" } else { "placement" };
        problems.push(Problem::new(
            key,
            format!("{total} replicas are outside 1 to {REPLICAS_MAX}"),
            "say how many backend servers shall run the model; remove the record to run none",
        ));
    }
    if !model.origin.starts_with("http://") {
        problems.push(Problem::new(
            "origin",
            format!("origin {:?} is not an http address", model.origin),
            "give the address below which the origin holds manifest.json and weights",
        ));
    }
    if model.model.trim().is_empty() {
        problems.push(Problem::new(
            "model",
            "the model's name is empty",
            "give the name that callers put in `model`",
        ));
    }
    problems
}

fn is_reserved(path: &str) -> bool {
    ["/v1", "/admin"].iter().any(|reserved| crate::has_prefix(path, reserved)) || path == "/"
}

fn call_problem(rule: &CallRule) -> Option<Problem> {
    let known = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
    if !known.contains(&rule.method.as_str()) {
        return Some(Problem::new(
            "calls",
            format!("method {:?} of a call is not known", rule.method),
            "write GET, HEAD, POST, PUT, PATCH or DELETE",
        ));
    }
    if rule.once && rule.idempotent {
        return Some(Problem::new(
            "calls",
            format!("call {} {} is both `once` and `idempotent`", rule.method, rule.path),
            "keep `once` if it may not be repeated, `idempotent` if it may",
        ));
    }
    if !rule.path.starts_with('/') {
        return Some(Problem::new(
            "calls",
            format!("path {:?} of a call does not start with a slash", rule.path),
            "write the path as callers send it",
        ));
    }
    None
}
