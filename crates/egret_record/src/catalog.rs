//! The catalog: routes, services and organisations that operators declare together.
//!
//! A catalog is replaced as a whole and its highest version is in force. Holders
//! receive only what differs between two versions.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{CatalogVersion, FastMap, FastSet};

/// What may be done with a request whose outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Once,
    /// It answers with a stream of events, which may be resumed where this says so.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request may run again after it may have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// A service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: String,
    /// Its share beside the other targets.
    pub weight: u32,
}

/// How requests reach a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The prefix of the path, which begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// The time within which an answer, or the first event, is on time.
    pub objective: Duration,
    /// The longest pause between two events that is on time.
    #[serde(rename = "pause")]
    pub gap_objective: Duration,
    /// Its rank; zero goes first.
    pub rank: u8,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Backend servers on which one request may run.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which requests may be served; none means all.
    #[serde(rename = "homes")]
    pub regions: Vec<String>,
}

/// What is known of the engines of a service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The models that they run.
    pub models: Vec<String>,
}

/// Where weights come from first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginSpec {
    /// Its address, an IP address and a port.
    pub address: String,
}

/// A service that backend servers offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Requests per second that a cold backend server bears; zero means no bound.
    pub cold_per_s: f64,
    /// Set for services of model engines.
    pub engine: Option<EngineSpec>,
    /// Set for the service that hands out weights.
    pub origin: Option<OriginSpec>,
}

/// An organisation and the keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Its name.
    pub name: String,
    /// The keys that its callers send.
    pub keys: Vec<String>,
    /// Its rank, which goes before that of a route.
    pub rank: Option<u8>,
    /// Regions in which its requests may be served; none means all.
    #[serde(rename = "homes")]
    pub regions: Vec<String>,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of the head of a request.
    pub header_bytes: u64,
    /// Bytes of the body of a request.
    pub body_bytes: u64,
    /// Time until the head is there.
    #[serde(rename = "header_time")]
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Everything that operators declare together.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version; the highest is in force.
    pub version: CatalogVersion,
    /// The routes by name.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub routes: OrdMap<String, Arc<Route>>,
    /// The services by name.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub services: OrdMap<String, Arc<ServiceSpec>>,
    /// The organisations by name.
    #[serde(deserialize_with = "crate::persistent::map")]
    pub organisations: OrdMap<String, Arc<OrganisationSpec>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Why a catalog cannot be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A route leads nowhere.
    #[error("route {route:?} names service {service:?}, which is not declared; declare it")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes cannot be told apart.
    #[error("routes {first:?} and {second:?} share host and prefix; change one of them")]
    DuplicatePrefix {
        /// The first route.
        first: String,
        /// The second route.
        second: String,
    },
    /// A route has no share for any service.
    #[error("the weights of route {0:?} add up to 0; give one of its services a weight")]
    NoWeight(String),
    /// A route has no time.
    #[error("route {0:?} has a timeout of 0; give it a longer one")]
    NoTimeout(String),
    /// A prefix is not delimited.
    #[error("prefix {prefix:?} of route {route:?} must begin and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A name stands twice.
    #[error("{kind} {name:?} is declared twice; remove or rename one")]
    DuplicateName {
        /// What has the name.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// Two organisations share a key.
    #[error("organisations {first:?} and {second:?} share a key; give each its own")]
    SharedKey {
        /// The first organisation.
        first: String,
        /// The second organisation.
        second: String,
    },
}

impl Catalog {
    /// Puts together and checks what an operator declared.
    ///
    /// # Errors
    ///
    /// Returns a [`CatalogError`] for the first fault found.
    pub fn new(
        version: CatalogVersion,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        organisations: Vec<OrganisationSpec>,
        limits: CallerLimits,
    ) -> Result<Self, CatalogError> {
        let services = by_name("service", services, |service| &service.name)?;
        for route in &routes {
            check_route(route, &services)?;
        }
        check_places(&routes)?;
        check_keys(&organisations)?;
        let routes = by_name("route", routes, |route| &route.name)?;
        let organisations = by_name("organisation", organisations, |one| &one.name)?;
        Ok(Self { version, routes, services, organisations, limits })
    }

    /// Returns what turns `self` into `next`.
    #[must_use]
    pub fn patch_to(&self, next: &Self) -> CatalogPatch {
        let changed = |name: &String, route: &Arc<Route>| self.routes.get(name) != Some(route);
        let routes = next.routes.iter().filter(|(name, route)| changed(name, route));
        let removed = self.routes.keys().filter(|name| !next.routes.contains_key(*name));
        CatalogPatch {
            version: next.version,
            routes: routes.map(|(_, route)| route.clone()).collect(),
            removed: removed.cloned().collect(),
            services: (self.services != next.services).then(|| next.services.clone()),
            organisations: (self.organisations != next.organisations)
                .then(|| next.organisations.clone()),
            limits: next.limits,
        }
    }

    /// Applies what differs from this version to a later one.
    pub fn apply(&mut self, patch: CatalogPatch) {
        self.version = patch.version;
        for name in &patch.removed {
            self.routes.remove(name);
        }
        for route in patch.routes {
            self.routes.insert(route.name.clone(), route);
        }
        if let Some(services) = patch.services {
            self.services = services;
        }
        if let Some(organisations) = patch.organisations {
            self.organisations = organisations;
        }
        self.limits = patch.limits;
    }

    /// Returns the origin of weights, if one is declared.
    #[must_use]
    pub fn origin(&self) -> Option<&OriginSpec> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }

    /// Tells whether all that a service runs may be stopped and go on at another backend server.
    #[must_use]
    pub fn is_resumable(&self, service: &str) -> bool {
        let mut routes = self.routes.values();
        routes.all(|route| {
            let resumes = route.kind == RouteKind::Stream { resumable: true } && route.attempts > 1;
            resumes || route.targets.iter().all(|target| target.service != service)
        })
    }
}

/// What differs between two versions of a catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogPatch {
    /// The later version.
    pub version: CatalogVersion,
    /// Routes that are new or changed.
    pub routes: Vec<Arc<Route>>,
    /// Names of routes that are gone.
    pub removed: Vec<String>,
    /// All services, if any of them changed.
    #[serde(deserialize_with = "crate::persistent::optional_map")]
    pub services: Option<OrdMap<String, Arc<ServiceSpec>>>,
    /// All organisations, if any of them changed.
    #[serde(deserialize_with = "crate::persistent::optional_map")]
    pub organisations: Option<OrdMap<String, Arc<OrganisationSpec>>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Routes by host and keys by organisation, for requests.
#[derive(Debug, Default)]
pub struct CatalogIndex {
    hosts: FastMap<String, Vec<Arc<Route>>>,
    keys: FastMap<String, Arc<OrganisationSpec>>,
    keyed: bool,
}

impl CatalogIndex {
    /// Builds the index of a catalog.
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        let mut hosts: FastMap<String, Vec<Arc<Route>>> = FastMap::default();
        for route in catalog.routes.values() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = FastMap::default();
        for organisation in catalog.organisations.values() {
            for key in &organisation.keys {
                keys.insert(key.clone(), organisation.clone());
            }
        }
        Self { hosts, keys, keyed: !catalog.organisations.is_empty() }
    }

    /// Returns the route of a request: the longest prefix among those of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<OrganisationSpec>> {
        self.keys.get(key)
    }

    /// Tells whether requests of routes that are not public need a key.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.keyed
    }

    /// Returns all routes of a host, the longest prefix first.
    #[must_use]
    pub fn routes_of(&self, host: &str) -> &[Arc<Route>] {
        self.hosts.get(&host.to_ascii_lowercase()).map_or(&[], Vec::as_slice)
    }
}

fn by_name<T>(
    kind: &'static str,
    items: Vec<T>,
    name: impl Fn(&T) -> &String,
) -> Result<OrdMap<String, Arc<T>>, CatalogError> {
    let mut map = OrdMap::new();
    for item in items {
        let key = name(&item).clone();
        if map.insert(key.clone(), Arc::new(item)).is_some() {
            return Err(CatalogError::DuplicateName { kind, name: key });
        }
    }
    Ok(map)
}

fn check_route(
    route: &Route,
    services: &OrdMap<String, Arc<ServiceSpec>>,
) -> Result<(), CatalogError> {
    if let Some(target) = route.targets.iter().find(|one| !services.contains_key(&one.service)) {
        let service = target.service.clone();
        return Err(CatalogError::UnknownService { route: route.name.clone(), service });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(CatalogError::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(CatalogError::NoTimeout(route.name.clone()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let prefix = route.prefix.clone();
        return Err(CatalogError::InvalidPrefix { route: route.name.clone(), prefix });
    }
    Ok(())
}

fn check_places(routes: &[Route]) -> Result<(), CatalogError> {
    let mut places: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for route in routes {
        let place = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        if let Some(first) = places.insert(place, &route.name) {
            let (first, second) = (first.to_owned(), route.name.clone());
            return Err(CatalogError::DuplicatePrefix { first, second });
        }
    }
    Ok(())
}

fn check_keys(organisations: &[OrganisationSpec]) -> Result<(), CatalogError> {
    let mut holders: FastMap<&str, &str> = FastMap::default();
    for organisation in organisations {
        let own: FastSet<&str> = organisation.keys.iter().map(String::as_str).collect();
        for key in own {
            if let Some(first) = holders.insert(key, &organisation.name) {
                let (first, second) = (first.to_owned(), organisation.name.clone());
                return Err(CatalogError::SharedKey { first, second });
            }
        }
    }
    Ok(())
}
