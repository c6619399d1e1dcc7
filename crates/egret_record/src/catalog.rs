//! The catalog: routes, services and organisations, declared in one document.
//!
//! Operators replace the catalog as a whole, and the highest version is in
//! force. Entries and agents receive only the differences between versions.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{CatalogVersion, EngineSpec, FastMap, FastSet, Subject};

/// Whether a request whose outcome is not known may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// It may run more than once, and may be repeated.
    Idempotent,
    /// It may run at most once, and is not repeated.
    Once,
    /// It is answered with a stream of events, which may be resumable.
    Stream {
        /// Whether another backend server may resume the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be repeated.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// A service to which a route sends requests, with its share of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: String,
    /// Its share, relative to the other targets of the route.
    pub weight: u32,
}

/// A rule that sends requests of a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host of the requests; case is ignored.
    pub host: String,
    /// The prefix of the path, which begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time until the end of the answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, counts as on time.
    pub objective: Duration,
    /// Longest gap between two events of a stream that counts as on time.
    #[serde(rename = "pause")]
    pub gap_objective: Duration,
    /// Its priority rank; zero goes first.
    pub rank: u8,
    /// The services to which its requests are sent.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers on which one request may run.
    pub attempts: u32,
    /// Whether its requests need no API key.
    pub public: bool,
    /// Regions in which its requests may be served; empty means all.
    #[serde(rename = "homes")]
    pub regions: Vec<String>,
}

/// The server from which weights are originally fetched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginSpec {
    /// Its IP address and port.
    pub address: String,
}

/// A service that backend servers offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Requests per second that may be sent to a cold backend server; zero means no limit.
    pub cold_per_s: f64,
    /// Set if its backend servers are model engines.
    #[serde(with = "crate::engine")]
    pub engine: Option<EngineSpec>,
    /// Set if it is the origin of weights.
    pub origin: Option<OriginSpec>,
}

/// An organisation and the API keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Its name.
    pub name: String,
    /// The API keys that its callers send.
    pub keys: Vec<String>,
    /// Its priority rank, which overrides that of a route.
    pub rank: Option<u8>,
    /// Regions in which its requests may be served; empty means all.
    #[serde(rename = "homes")]
    pub regions: Vec<String>,
}

/// Limits on the size of requests and on the time that callers may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes: u64,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: u64,
    /// Time within which the head of a request must arrive.
    #[serde(rename = "header_time")]
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// Everything that operators declare in one document.
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
    /// The limits on requests of callers.
    pub limits: CallerLimits,
}

/// Why a catalog is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A route refers to a service that is not declared.
    #[error("route {route:?} names service {service:?}, which is not declared; declare it")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first:?} and {second:?} share host and prefix; change one of them")]
    DuplicatePrefix {
        /// The first route.
        first: String,
        /// The second route.
        second: String,
    },
    /// The weights of all targets of a route are zero.
    #[error("the weights of route {0:?} add up to 0; give one of its services a weight")]
    NoWeight(String),
    /// The timeout of a route is zero.
    #[error("route {0:?} has a timeout of 0; give it a longer one")]
    NoTimeout(String),
    /// A prefix does not begin and end with a slash.
    #[error("prefix {prefix:?} of route {route:?} must begin and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two declarations of one kind have the same name.
    #[error("{kind} {name:?} is declared twice; remove or rename one")]
    DuplicateName {
        /// The kind of the declarations.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// Two organisations have the same API key.
    #[error("organisations {first:?} and {second:?} share a key; give each its own")]
    SharedKey {
        /// The first organisation.
        first: String,
        /// The second organisation.
        second: String,
    },
}

impl Catalog {
    /// Builds and validates a catalog.
    ///
    /// # Errors
    ///
    /// Returns a [`CatalogError`] for the first invalid declaration.
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
        check_prefixes(&routes)?;
        check_keys(&organisations)?;
        let routes = by_name("route", routes, |route| &route.name)?;
        let organisations =
            by_name("organisation", organisations, |organisation| &organisation.name)?;
        Ok(Self { version, routes, services, organisations, limits })
    }

    /// Returns the patch that turns `self` into `next`.
    #[must_use]
    pub fn patch_to(&self, next: &Self) -> CatalogPatch {
        CatalogPatch {
            routes: changed(&self.routes, &next.routes),
            removed_routes: removed(&self.routes, &next.routes),
            services: changed(&self.services, &next.services),
            removed_services: removed(&self.services, &next.services),
            organisations: changed(&self.organisations, &next.organisations),
            removed_organisations: removed(&self.organisations, &next.organisations),
            ..CatalogPatch::empty(next)
        }
    }

    /// Applies a patch from this version to a later one.
    pub fn apply(&mut self, patch: CatalogPatch) {
        self.version = patch.version;
        replace(&mut self.routes, patch.routes, &patch.removed_routes, |route| &route.name);
        replace(&mut self.services, patch.services, &patch.removed_services, |service| {
            &service.name
        });
        replace(
            &mut self.organisations,
            patch.organisations,
            &patch.removed_organisations,
            |organisation| &organisation.name,
        );
        self.limits = patch.limits;
    }

    /// Adds the state of a subject in this catalog to a patch.
    pub(crate) fn add_to_patch(&self, patch: &mut CatalogPatch, subject: &Subject) {
        match subject {
            Subject::Route(name) => {
                add(&self.routes, name, &mut patch.routes, &mut patch.removed_routes);
            }
            Subject::Service(name) => {
                add(&self.services, name, &mut patch.services, &mut patch.removed_services);
            }
            Subject::Organisation(name) => add(
                &self.organisations,
                name,
                &mut patch.organisations,
                &mut patch.removed_organisations,
            ),
            _ => {}
        }
    }

    /// Returns the origin of weights, if one is declared.
    #[must_use]
    pub fn origin(&self) -> Option<&OriginSpec> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }

    /// Returns whether agents load the weights of a service's engines.
    #[must_use]
    pub fn is_loaded_by_agents(&self, service: &str) -> bool {
        let engine = self.services.get(service).and_then(|spec| spec.engine.as_ref());
        engine.is_some_and(|engine| !engine.models.is_empty()) && self.origin().is_some()
    }

    /// Returns whether all requests of a service may be stopped and resumed elsewhere.
    #[must_use]
    pub fn is_resumable(&self, service: &str) -> bool {
        let mut routes = self.routes.values();
        routes.all(|route| {
            let resumable =
                route.kind == RouteKind::Stream { resumable: true } && route.attempts > 1;
            resumable || route.targets.iter().all(|target| target.service != service)
        })
    }
}

/// The differences between two versions of a catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogPatch {
    /// The later version.
    pub version: CatalogVersion,
    /// Routes that are new or changed.
    pub routes: Vec<Arc<Route>>,
    /// Names of removed routes.
    pub removed_routes: Vec<String>,
    /// Services that are new or changed.
    pub services: Vec<Arc<ServiceSpec>>,
    /// Names of removed services.
    pub removed_services: Vec<String>,
    /// Organisations that are new or changed.
    pub organisations: Vec<Arc<OrganisationSpec>>,
    /// Names of removed organisations.
    pub removed_organisations: Vec<String>,
    /// The limits on requests of callers.
    pub limits: CallerLimits,
}

impl CatalogPatch {
    /// Returns the patch that sets only the version and the limits of `catalog`.
    pub(crate) const fn empty(catalog: &Catalog) -> Self {
        Self {
            version: catalog.version,
            routes: Vec::new(),
            removed_routes: Vec::new(),
            services: Vec::new(),
            removed_services: Vec::new(),
            organisations: Vec::new(),
            removed_organisations: Vec::new(),
            limits: catalog.limits,
        }
    }
}

/// The declarations of one kind, by name.
type ByName<T> = OrdMap<String, Arc<T>>;

/// Returns the declarations of `next` that `old` does not have.
fn changed<T: PartialEq>(old: &ByName<T>, next: &ByName<T>) -> Vec<Arc<T>> {
    next.iter()
        .filter(|(name, item)| old.get(*name) != Some(item))
        .map(|(_, item)| item.clone())
        .collect()
}

/// Returns the names in `old` that `next` does not have.
fn removed<T>(old: &ByName<T>, next: &ByName<T>) -> Vec<String> {
    old.keys().filter(|name| !next.contains_key(*name)).cloned().collect()
}

/// Removes and inserts declarations.
fn replace<T>(
    items: &mut ByName<T>,
    changed: Vec<Arc<T>>,
    removed: &[String],
    name: impl Fn(&T) -> &String,
) {
    for name in removed {
        items.remove(name);
    }
    for item in changed {
        items.insert(name(&item).clone(), item);
    }
}

/// Adds a declaration to those that changed, or its name to those that were removed.
fn add<T>(items: &ByName<T>, name: &String, changed: &mut Vec<Arc<T>>, removed: &mut Vec<String>) {
    match items.get(name) {
        Some(item) => changed.push(item.clone()),
        None => removed.push(name.clone()),
    }
}

/// Index of routes by host and of organisations by API key.
#[derive(Debug, Default)]
pub struct CatalogIndex {
    hosts: FastMap<String, Vec<Arc<Route>>>,
    keys: FastMap<String, Arc<OrganisationSpec>>,
    has_keys: bool,
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
        Self { hosts, keys, has_keys: !catalog.organisations.is_empty() }
    }

    /// Returns the route of a request: the longest matching prefix of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the organisation to which an API key belongs.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<OrganisationSpec>> {
        self.keys.get(key)
    }

    /// Returns whether routes that are not public require an API key.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.has_keys
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
    if let Some(target) =
        route.targets.iter().find(|target| !services.contains_key(&target.service))
    {
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

fn check_prefixes(routes: &[Route]) -> Result<(), CatalogError> {
    let mut seen: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        if let Some(first) = seen.insert(key, &route.name) {
            let (first, second) = (first.to_owned(), route.name.clone());
            return Err(CatalogError::DuplicatePrefix { first, second });
        }
    }
    Ok(())
}

fn check_keys(organisations: &[OrganisationSpec]) -> Result<(), CatalogError> {
    let mut owners: FastMap<&str, &str> = FastMap::default();
    for organisation in organisations {
        let keys: FastSet<&str> = organisation.keys.iter().map(String::as_str).collect();
        for key in keys {
            if let Some(first) = owners.insert(key, &organisation.name) {
                let (first, second) = (first.to_owned(), organisation.name.clone());
                return Err(CatalogError::SharedKey { first, second });
            }
        }
    }
    Ok(())
}
