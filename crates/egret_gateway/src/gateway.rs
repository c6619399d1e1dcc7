//! State that the requests of one entry share.

use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use egret_fleet::{
    EngineStatus, FAST_START_DELAY_MAX, Fleet, ProcessKind, START_DELAY_MAX, StatusUpdate,
};
use egret_permits::Permits;
use egret_record::{DataCentre, FastMap, FastSet, WeightVersion};
use egret_route::{BackOffs, Distance, RequestAges, RetryBudget};
use egret_rpc::Follower;
use egret_weights::UpdateSchedule;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use tokio::sync::Notify;

use crate::{
    BackendHead, ConnectionLimits, Protocol, SharedBudget, backend::Backend, grants::EngineGrants,
    parts::Parts, slots::SlotQueue, tables::Tables,
};

/// Maximum number of entries listed for a caller.
const ENTRIES_LISTED_MAX: usize = 64;

/// [`START_DELAY_MAX`] at an engine that is slow or has a congested link.
const SLOW_START_DELAY_MAX: Duration = Duration::from_millis(3_700);

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of this entry.
    pub name: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of each data centre.
    pub regions: FastMap<DataCentre, String>,
    /// Retries per request, over all backend servers.
    pub retry_ratio: f64,
    /// Retries that all entries together may accumulate.
    pub retry_burst: f64,
    /// How long older versions may still answer after a weight version was announced.
    pub version_grace: Duration,
    /// Time without contact to the control state after which requests are refused, if any.
    pub fail_closed: Option<Duration>,
    /// The local address for datagrams to and from agents.
    pub grants_address: Option<SocketAddr>,
    /// The memory for bodies of requests and responses.
    pub memory: Rc<SharedBudget>,
}

/// Gateway of one entry, on one thread.
pub struct Gateway {
    settings: GatewaySettings,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) follower: Rc<Follower>,
    tables: RefCell<Rc<Tables>>,
    backends: RefCell<FastMap<String, Rc<Backend>>>,
    /// Back-offs that backend servers asked for, including those no longer in the fleet.
    back_offs: RefCell<BackOffs>,
    /// Rate limits of backend servers, with the permits to send them requests.
    pub(crate) permits: Rc<RefCell<Permits>>,
    /// Triggered when the leader may have to be asked for permits.
    pub(crate) permit_needed: Notify,
    /// The slots of engines that their agents grant this entry.
    pub(crate) grants: EngineGrants,
    /// Parts of prompts that crash backend servers.
    pub(crate) parts: Parts,
    /// Engines whose agents are about to change their weights.
    switching: RefCell<FastSet<SocketAddr>>,
    /// Engines whose links are congested by weight transfers.
    congested: RefCell<FastSet<SocketAddr>>,
    entries: Cell<u32>,
    /// Largest number of entries so far.
    peak_entries: Cell<u32>,
    /// Number of entries in this data centre.
    near_entries: Cell<u32>,
    pub(crate) slots: SlotQueue,
    pub(crate) budget: RefCell<RetryBudget>,
    /// The memory for bodies of requests and responses.
    pub(crate) memory: Rc<SharedBudget>,
    pub(crate) ages: RefCell<RequestAges>,
    random: RefCell<SmallRng>,
    /// When this entry stops, once it is shutting down.
    stop: Cell<Option<Stop>>,
}

/// The times of a shutdown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    /// Until when callers that do not know of it yet are served as usual.
    pub(crate) drained_at: Duration,
    /// When all responses must have ended.
    pub(crate) ends_at: Duration,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates a gateway that follows the control state through `follower`.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        protocol: Box<dyn Protocol>,
        follower: Rc<Follower>,
    ) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(RetryBudget::with_max(settings.retry_ratio, 1.0)),
            grants: EngineGrants::new(
                &settings.name,
                follower.own_status().map_or(0, |process| process.stamp.incarnation),
            ),
            memory: settings.memory.clone(),
            settings,
            protocol,
            follower,
            tables: RefCell::default(),
            backends: RefCell::default(),
            back_offs: RefCell::default(),
            permits: Rc::default(),
            permit_needed: Notify::new(),
            parts: Parts::default(),
            switching: RefCell::default(),
            congested: RefCell::default(),
            entries: Cell::new(0),
            peak_entries: Cell::new(0),
            near_entries: Cell::new(0),
            slots: SlotQueue::default(),
            ages: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            stop: Cell::new(None),
        })
    }

    /// Follows the control state, asks for permits and assigns slots to queued requests.
    ///
    /// Runs until dropped.
    pub async fn run(self: Rc<Self>) {
        let follow = async {
            let mut updates = self.follower.updates();
            let mut seen = *updates.borrow_and_update();
            loop {
                self.refresh_fleet();
                self.refresh_parts(&self.follower.fleet(), &self.follower.view().blocked);
                self.refresh_tables();
                loop {
                    if updates.changed().await.is_err() {
                        return;
                    }
                    let latest = *updates.borrow_and_update();
                    let changed = latest.views != seen.views || latest.fleets != seen.fleets;
                    seen = latest;
                    if changed {
                        break;
                    }
                }
            }
        };
        tokio::select! {
            () = follow => {}
            () = self.slots.run(&self) => {}
            () = self.run_permits() => {}
            () = self.run_grants() => {}
            () = self.run_part_reports() => {}
            () = self.run_end_probes() => {}
        }
    }

    /// Returns whether callers may be sent to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.tables.borrow().catalog.is_some() && !self.must_refuse()
    }

    /// Starts to drain: callers are sent to other entries, but requests are still served.
    ///
    /// This goes on for `drain_delay`; later requests are accepted only if they end within `left`,
    /// the time until the process exits.
    pub fn leave(&self, drain_delay: Duration, left: Duration) {
        let now = self.now();
        self.stop.set(Some(Stop { drained_at: now + drain_delay, ends_at: now + left }));
        self.follower.update_status(|process| process.leaving = true);
    }

    /// Returns whether this entry is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.stop.get().is_some()
    }

    pub(crate) fn stop(&self) -> Option<Stop> {
        self.stop.get()
    }

    /// Returns the limits on connections of callers, by the catalog in force.
    #[must_use]
    pub fn connection_limits(&self) -> ConnectionLimits {
        let limits =
            self.tables().catalog.as_ref().map(|catalog| catalog.limits).unwrap_or_default();
        ConnectionLimits {
            header_bytes: usize::try_from(limits.header_bytes).unwrap_or(usize::MAX),
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }

    /// Lists entries for a caller of `host` in `region`, in random order so that callers spread.
    ///
    /// Entries of other regions are listed only if the caller's region has none, and only those in
    /// which a route of the host may be served. Entries of data centres that are out come last: they
    /// still serve, with backend servers elsewhere.
    pub fn entries(&self, host: &str, region: &str) -> Vec<SocketAddr> {
        let tables = self.tables();
        let regions = tables.index.routes_of(host).iter().flat_map(|route| &route.regions);
        let regions: FastSet<&str> = regions.map(String::as_str).collect();
        let fleet = self.follower.fleet();
        let mut near = Vec::new();
        let mut rest = Vec::new();
        for entry in fleet.entries().filter(|entry| !entry.leaving) {
            let own = self.region_of(&entry.data_centre);
            if own == Some(region) {
                near.push((entry.address, tables.is_out(&entry.data_centre)));
            } else if regions.is_empty() || own.is_some_and(|own| regions.contains(own)) {
                rest.push((entry.address, tables.is_out(&entry.data_centre)));
            }
        }
        let mut found = if near.is_empty() { rest } else { near };
        found.shuffle(&mut *self.random());
        found.sort_by_key(|(_, is_out)| *is_out);
        found.truncate(ENTRIES_LISTED_MAX);
        found.into_iter().map(|(address, _)| address).collect()
    }

    pub(crate) fn now(&self) -> Duration {
        self.follower.now()
    }

    pub(crate) fn tables(&self) -> Rc<Tables> {
        self.tables.borrow().clone()
    }

    pub(crate) fn backends(&self) -> Ref<'_, FastMap<String, Rc<Backend>>> {
        self.backends.borrow()
    }

    pub(crate) fn random(&self) -> RefMut<'_, SmallRng> {
        self.random.borrow_mut()
    }

    pub(crate) fn name(&self) -> &str {
        &self.settings.name
    }

    pub(crate) const fn grants_address(&self) -> Option<SocketAddr> {
        self.settings.grants_address
    }

    pub(crate) const fn data_centre(&self) -> &DataCentre {
        &self.settings.data_centre
    }

    pub(crate) fn region_of(&self, data_centre: &DataCentre) -> Option<&str> {
        self.settings.regions.get(data_centre).map(String::as_str)
    }

    pub(crate) fn is_in_regions(&self, data_centre: &DataCentre, regions: &[String]) -> bool {
        let region = self.region_of(data_centre);
        region.is_some_and(|region| regions.iter().any(|allowed| allowed == region))
    }

    pub(crate) fn entry_count(&self) -> u32 {
        self.entries.get().max(1)
    }

    /// Returns the largest number of entries so far.
    ///
    /// Entries that are no longer listed may be partitioned and still send requests.
    pub(crate) fn peak_entries(&self) -> u32 {
        self.peak_entries.get().max(1)
    }

    /// Returns the number of entries in this data centre.
    pub(crate) fn near_entries(&self) -> u32 {
        self.near_entries.get().max(1)
    }

    pub(crate) fn distance_to(&self, data_centre: &DataCentre) -> Distance {
        if data_centre == self.data_centre() {
            return Distance::Near;
        }
        let own = self.region_of(self.data_centre());
        let region = self.region_of(data_centre);
        if region.is_some() && region == own { Distance::Region } else { Distance::Far }
    }

    /// Records that a backend server is cold until `until`.
    pub(crate) fn mark_cold(&self, backend: &Backend, until: Duration, now: Duration) {
        let wait_factor = self.random().random();
        backend.cold_limit.borrow_mut().mark_cold(until, wait_factor, now);
    }

    /// Records the back-off that a response of a backend server asks for.
    pub(crate) fn record_back_off(&self, backend: &Backend, meta: &BackendHead) {
        if !meta.leaving && meta.retry_after.is_none() {
            return;
        }
        let now = self.now();
        let status = backend.status.borrow();
        let before = backend.back_off.get();
        let mut back_off = before;
        if meta.leaving {
            back_off.set_leaving();
        }
        let bounded = meta.retry_after.is_some_and(|wait| back_off.pause(wait, now));
        if back_off != before {
            log::info!(
                "event=backend_holds backend={} leaving={} wait_ms={:?} bounded={bounded}",
                status.id,
                meta.leaving,
                meta.retry_after.map(|wait| wait.as_millis())
            );
        }
        backend.back_off.set(back_off);
        self.back_offs.borrow_mut().insert(&status.id, status.stamp.incarnation, back_off, now);
    }

    pub(crate) fn is_switching(&self, engine: &SocketAddr) -> bool {
        self.switching.borrow().contains(engine)
    }

    pub(crate) fn is_congested(&self, engine: &SocketAddr) -> bool {
        self.congested.borrow().contains(engine)
    }

    /// Returns the rank of a backend server for this entry, by rendezvous hashing.
    pub(crate) fn affinity(&self, id: &str) -> u64 {
        use std::hash::{Hash as _, Hasher as _};
        let mut hasher = rustc_hash::FxHasher::default();
        (self.settings.name.as_str(), id).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns whether requests must be refused because the control state is out of contact.
    pub(crate) fn must_refuse(&self) -> bool {
        let elapsed = self.follower.since_contact();
        self.settings.fail_closed.is_some_and(|limit| elapsed.is_none_or(|time| time > limit))
    }

    /// Returns the oldest version of a model that may still answer, if older ones may not.
    ///
    /// Versions become due [`FAST_START_DELAY_MAX`] before the end of the grace time, since a
    /// request that is sent now may start that much later.
    pub(crate) fn required_version(&self, model: &str, now: Duration) -> Option<WeightVersion> {
        let grace = self.settings.version_grace.saturating_sub(FAST_START_DELAY_MAX);
        self.tables.borrow().due_version(model, grace, now)
    }

    /// Returns whether a response by the loaded version would start before that version expires.
    pub(crate) fn starts_in_time(
        &self,
        backend: &Backend,
        model: &str,
        loaded: WeightVersion,
        now: Duration,
    ) -> bool {
        let Some(due) = self.expires(model, Some(loaded), now) else { return true };
        let delay = if backend.is_slow() || self.is_congested(&backend.status.borrow().address) {
            SLOW_START_DELAY_MAX
        } else if backend.is_fast(now) {
            FAST_START_DELAY_MAX
        } else {
            START_DELAY_MAX
        };
        now + delay <= due
    }

    /// Returns whether a later version of a model has been announced.
    pub(crate) fn is_superseded(&self, model: &str, loaded: WeightVersion) -> bool {
        self.tables.borrow().next_due(model, Duration::ZERO, Some(loaded)).is_some()
    }

    /// Returns when the version that an engine has loaded may no longer start responses, if soon.
    pub(crate) fn expires(
        &self,
        model: &str,
        loaded: Option<WeightVersion>,
        now: Duration,
    ) -> Option<Duration> {
        let due = self.tables.borrow().next_due(model, self.settings.version_grace, loaded)?;
        (due <= now + SLOW_START_DELAY_MAX).then_some(due)
    }

    fn refresh_tables(&self) {
        let next = Rc::new(self.tables.borrow().next(&self.follower));
        let version = |tables: &Tables| tables.catalog.as_ref().map(|catalog| catalog.version.0);
        if version(&next) != version(&self.tables.borrow()) {
            log::info!("event=catalog_in_force version={:?}", version(&next));
        }
        if self.tables.borrow().catalog.is_none() && next.catalog.is_some() {
            // After a restart of all processes, other entries may receive it at the same time.
            let now = self.now();
            let backends = self.backends.borrow();
            backends.values().for_each(|backend| backend.cold_limit.borrow_mut().delay_from(now));
        }
        self.tables.replace(next);
    }

    fn refresh_fleet(&self) {
        let fleet = self.follower.fleet();
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let gone = backends.extract_if(|id, _| {
            let known = fleet.get(&egret_fleet::StatusKey::Backend(id.clone()));
            !known.is_some_and(|known| matches!(known.status, StatusUpdate::Backend(_)))
        });
        self.grants.refresh(&fleet, gone.map(|(id, _)| id));
        for (status, received) in fleet.backends() {
            let known = backends.get(&status.id).filter(|known| {
                known.status.borrow().stamp.incarnation == status.stamp.incarnation
            });
            let backend = match known {
                Some(backend) => backend.clone(),
                None => {
                    let back_off =
                        self.back_offs.borrow().get(&status.id, status.stamp.incarnation);
                    let backend = Rc::new(Backend::new(status.clone(), back_off));
                    backends.insert(status.id.clone(), backend.clone());
                    backend
                }
            };
            if status.cold_ms > 0 {
                let until = received + Duration::from_millis(status.cold_ms);
                self.mark_cold(&backend, until.max(now), now);
            }
            backend.status.replace(status.clone());
        }
        drop(backends);
        self.refresh_limits(&fleet, now);
        let backends = self.backends.borrow();
        let mut observed: FastMap<SocketAddr, Vec<&EngineStatus>> = FastMap::default();
        let (mut congested, mut switching) = (FastSet::default(), FastSet::default());
        for agent in fleet.processes(ProcessKind::Agent) {
            let Some(engine) = agent.engine else { continue };
            observed.entry(engine).or_default().extend(&agent.loaded);
            if agent.congested {
                congested.insert(engine);
            }
            if agent.switching {
                switching.insert(engine);
            }
        }
        let interrupting = interrupting_engines(&fleet);
        for backend in backends.values() {
            let address = backend.status.borrow().address;
            backend.interrupts_streams.set(interrupting.contains(&address));
            let observed = observed.get(&address).map_or(&[][..], Vec::as_slice);
            backend.observe(observed, fleet.proven_weights(address));
        }
        self.congested.replace(congested);
        self.switching.replace(switching);
        let near = fleet.entries().filter(|entry| entry.data_centre == *self.data_centre()).count();
        self.near_entries.set(u32::try_from(near).unwrap_or(u32::MAX));
        let entries = fleet.entries().count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        self.peak_entries.set(self.peak_entries.get().max(entries));
        if self.entries.replace(entries) != entries {
            let max = self.settings.retry_burst / f64::from(entries);
            self.budget.replace(RetryBudget::with_max(self.settings.retry_ratio, max));
        }
    }
}

/// Returns the engines that stop running requests when they change their weights.
fn interrupting_engines(fleet: &Fleet) -> FastSet<SocketAddr> {
    let mut services: FastMap<&str, Vec<_>> = FastMap::default();
    for agent in fleet.processes(ProcessKind::Agent) {
        let service = agent.service.as_deref().unwrap_or_default();
        services.entry(service).or_default().push((agent.name.as_str(), agent.engine));
    }
    let mut interrupting = FastSet::default();
    for agents in services.values_mut() {
        agents.sort_unstable();
        let engines = agents.iter().enumerate();
        interrupting.extend(engines.filter_map(|(rank, (_, engine))| {
            engine.filter(|_| UpdateSchedule::moves_streams(rank))
        }));
    }
    interrupting
}
