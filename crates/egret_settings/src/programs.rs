//! The settings of each program.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, de::DeserializeOwned};

use crate::document::{DocumentError, Problem, decode, reject};

/// The settings of one program, as read from its file.
pub trait Settings: DeserializeOwned {
    /// Returns the values that contradict each other or cannot work on this instance.
    fn problems(&self) -> Vec<Problem>;
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns a [`DocumentError`] when the file cannot be read or decoded, or is not valid.
pub fn load<S: Settings>(path: &Path) -> Result<S, Box<DocumentError>> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&name, &text),
        Err(error) => {
            let problem = Problem::new(
                "",
                format!("cannot be read: {error}"),
                "give the path of a readable settings file with --config",
            );
            reject(&name, "", vec![problem])?;
            unreachable!("reject fails if there is a problem")
        }
    }
}

/// Decodes and validates settings from text.
///
/// # Errors
///
/// Returns a [`DocumentError`] when the text cannot be decoded or is not valid.
pub fn parse<S: Settings>(name: &str, text: &str) -> Result<S, Box<DocumentError>> {
    let settings: S = decode(name, text)?;
    reject(name, text, settings.problems())?;
    Ok(settings)
}

/// A control instance, as listed under `peers`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Its name.
    pub name: String,
    /// Its address for RPC.
    pub address: SocketAddr,
}

/// Settings of `egret-control`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The name of this control instance.
    pub name: String,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Listen address for RPC.
    pub listen: SocketAddr,
    /// The address announced to other processes, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Listen address for metrics over HTTP; without it none are served.
    pub metrics: Option<SocketAddr>,
    /// The folder for all persistent data of this instance.
    pub data_folder: PathBuf,
    /// All control instances, this one included; empty if `seeds` are given.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Addresses of some control instances, through which this one discovers the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds may form a new cluster if none of them belongs to one yet.
    #[serde(default = "default_true")]
    pub first_start: bool,
    /// Whether instances that ask to join are added automatically, and unresponsive ones beyond
    /// `voters` are removed.
    #[serde(default)]
    pub auto_join: bool,
    /// Number of voters that are never removed automatically, even if unresponsive.
    #[serde(default = "default_voters")]
    pub voters: u32,
    /// Lease: how long an entry or agent may act on its last confirmed view, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Minimum election timeout, in milliseconds.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// Number of log entries after which a snapshot replaces them.
    #[serde(default = "default_snapshot_entries")]
    pub snapshot_entries: u64,
}

/// Settings of `egret-entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of this entry.
    pub name: String,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Listen address for callers and operators.
    pub listen: SocketAddr,
    /// The address announced to callers, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Listen address for metrics over HTTP; without it none are served.
    pub metrics: Option<SocketAddr>,
    /// Addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Bearer token that operators must send; without it, anyone has operator access.
    pub admin_key: Option<String>,
    /// How long callers may cache the list of entries, in seconds.
    #[serde(default = "default_keep_s")]
    pub keep_s: u64,
    /// Deadline of a request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
    /// Retry budget: retries allowed per hundred requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
}

/// The kind of the backend server behind an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine, which loads weights.
    Model,
    /// A plain service.
    Service,
}

/// The backend server behind an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Its kind.
    pub kind: BackendKind,
    /// The name of its service; for plain services only.
    pub service: Option<String>,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests once it is warm.
    pub limit: u32,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
}

/// The topology in which agents fetch chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// A tree of agents for each chunk, which spreads the load evenly.
    #[default]
    Trees,
    /// One chain of all agents; for comparison.
    Chain,
    /// All agents fetch from the origin; for comparison, or if agents cannot reach each other.
    Origin,
}

/// Bandwidth limits for weight transfers.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// The topology in which chunks are fetched; must be the same for all agents.
    #[serde(default)]
    pub sharing: Sharing,
    /// Upload limit to other agents, in bytes per second.
    pub upload_bytes: Option<u64>,
    /// Download limit from all sources, in bytes per second.
    pub download_bytes: Option<u64>,
}

/// Settings of `egret-agent`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name of the backend server that this agent announces.
    pub name: String,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Listen address for requests from entries.
    pub listen: SocketAddr,
    /// The address announced to entries, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Listen address for RPC, which serves weights to other agents.
    pub peer_listen: SocketAddr,
    /// The address announced to other agents, if it differs from `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,
    /// Listen address for metrics over HTTP; without it none are served.
    pub metrics: Option<SocketAddr>,
    /// Addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// The folder for weights.
    pub data_folder: PathBuf,
    /// Maximum disk space for weights, in bytes.
    #[serde(default = "default_disk_bytes")]
    pub disk_bytes: u64,
    /// The backend server behind this agent.
    pub backend: BackendSettings,
    /// Bandwidth limits for weight transfers.
    pub links: Option<LinkSettings>,
}

/// Settings of `egretctl`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CtlSettings {
    /// Addresses of the entries, tried in this order.
    pub entries: Vec<SocketAddr>,
    /// Bearer token of the operators.
    pub admin_key: Option<String>,
}

const fn default_true() -> bool {
    true
}
const fn default_voters() -> u32 {
    3
}
const fn default_lease_ms() -> u64 {
    1_500
}
const fn default_election_ms() -> u64 {
    400
}
const fn default_snapshot_entries() -> u64 {
    2_000
}
const fn default_keep_s() -> u64 {
    2
}
const fn default_deadline_ms() -> u64 {
    60_000
}
const fn default_body_bytes() -> u64 {
    8 * 1024 * 1024
}
const fn default_retry_percent() -> u32 {
    20
}
const fn default_disk_bytes() -> u64 {
    64 * 1024 * 1024 * 1024
}

impl ControlSettings {
    /// Returns the address announced to other processes.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

impl EntrySettings {
    /// Returns the address announced to callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

impl AgentSettings {
    /// Returns the address announced to entries.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns the address announced to other agents.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl Settings for ControlSettings {
    fn problems(&self) -> Vec<Problem> {
        let mut problems = name_problems(&self.name, &self.data_centre);
        if !self.seeds.is_empty() && !self.peers.is_empty() {
            problems.push(Problem::new(
                "seeds",
                "both `seeds` and `peers` are given",
                "list every control instance under `peers`, or some of them under `seeds`",
            ));
        }
        let listed = self.peers.iter().any(|peer| peer.name == self.name);
        if !listed && self.seeds.is_empty() {
            problems.push(Problem::new(
                "peers",
                format!("`peers` does not list this instance, {:?}", self.name),
                "list every control instance under `peers`, this one included",
            ));
        }
        let duplicate = self.peers.iter().enumerate().find(|(index, peer)| {
            self.peers[..*index]
                .iter()
                .any(|other| other.name == peer.name || other.address == peer.address)
        });
        if let Some((_, peer)) = duplicate {
            problems.push(Problem::new(
                "peers",
                format!("`peers` lists {:?} or its address twice", peer.name),
                "give each control instance its own name and address",
            ));
        }
        if !(50..=60_000).contains(&self.election_ms) {
            problems.push(Problem::new(
                "election_ms",
                format!("`election_ms` is {}, outside 50 to 60000", self.election_ms),
                "choose at least ten times the one-way delay between the control instances",
            ));
        }
        if self.lease_ms < self.election_ms {
            problems.push(Problem::new(
                "lease_ms",
                format!("`lease_ms` {} is below `election_ms` {}", self.lease_ms, self.election_ms),
                "raise `lease_ms` so that a change of leader does not cost every lease",
            ));
        }
        if self.snapshot_entries == 0 {
            problems.push(Problem::new(
                "snapshot_entries",
                "`snapshot_entries` is 0",
                "give at least 1; 2000 suits small deployments",
            ));
        }
        problems.extend(folder_problem(&self.data_folder));
        problems
    }
}

impl Settings for EntrySettings {
    fn problems(&self) -> Vec<Problem> {
        let mut problems = name_problems(&self.name, &self.data_centre);
        problems.extend(control_problem(&self.control));
        problems.extend(advertised_problem("listen", self.address()));
        if self.deadline_ms == 0 {
            problems.push(Problem::new(
                "deadline_ms",
                "`deadline_ms` is 0, so no request could be answered",
                "give the longest time that a request may take, such as 60000",
            ));
        }
        if self.retry_percent > 100 {
            problems.push(Problem::new(
                "retry_percent",
                format!("`retry_percent` is {}, above 100", self.retry_percent),
                "give 0 to 100; 20 allows one extra try for five requests",
            ));
        }
        if self.admin_key.as_deref().is_some_and(|key| key.len() < 16) {
            problems.push(Problem::new(
                "admin_key",
                "`admin_key` is shorter than 16 characters",
                "give a longer random key, or remove it to leave administration open",
            ));
        }
        problems
    }
}

impl Settings for AgentSettings {
    fn problems(&self) -> Vec<Problem> {
        let mut problems = name_problems(&self.name, &self.data_centre);
        problems.extend(control_problem(&self.control));
        problems.extend(advertised_problem("listen", self.address()));
        problems.extend(advertised_problem("peer_listen", self.peer_address()));
        if self.backend.limit == 0 {
            problems.push(Problem::new(
                "limit",
                "`backend.limit` is 0, so the backend server would get no request",
                "give the number of requests that it bears at once",
            ));
        }
        match (self.backend.kind, &self.backend.service) {
            (BackendKind::Service, None) => problems.push(Problem::new(
                "kind",
                "a backend server of kind `service` names no service",
                "add `service:` with the name that records use",
            )),
            (BackendKind::Model, Some(_)) => problems.push(Problem::new(
                "service",
                "a model engine cannot name a `service`",
                "remove `service`, or set `kind: service`",
            )),
            _ => {}
        }
        problems.extend(folder_problem(&self.data_folder));
        problems
    }
}

impl Settings for CtlSettings {
    fn problems(&self) -> Vec<Problem> {
        let empty = self.entries.is_empty().then(|| {
            Problem::new(
                "entries",
                "`entries` lists no address",
                "list the addresses of the entries",
            )
        });
        empty.into_iter().collect()
    }
}

fn name_problems(name: &str, data_centre: &str) -> Vec<Problem> {
    [("name", name), ("data_centre", data_centre)]
        .into_iter()
        .filter(|(_, value)| !is_name(value))
        .map(|(key, value)| {
            Problem::new(
                key,
                format!("`{key}` {value:?} is not a name"),
                "use 1 to 63 lower-case letters, digits and hyphens",
            )
        })
        .collect()
}

fn is_name(value: &str) -> bool {
    (1..=63).contains(&value.len())
        && value.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

fn control_problem(control: &[SocketAddr]) -> Option<Problem> {
    control.is_empty().then(|| {
        Problem::new(
            "control",
            "`control` lists no address",
            "list the addresses of the control instances",
        )
    })
}

fn advertised_problem(key: &'static str, address: SocketAddr) -> Option<Problem> {
    address.ip().is_unspecified().then(|| {
        Problem::new(
            key,
            format!("`{key}` {address} is no address that others can connect to"),
            "give the instance's own address, or set the address to announce with `advertise`",
        )
    })
}

fn folder_problem(folder: &Path) -> Option<Problem> {
    (!folder.is_dir()).then(|| {
        Problem::new(
            "data_folder",
            format!("`data_folder` {} is not a folder", folder.display()),
            "create the folder on the instance's disk, or correct the path",
        )
    })
}
