//! What the requests of one entry share.

use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use egret_fleet::{FAST_START_DELAY_MAX, Fleet, ProcessKind, START_DELAY_MAX, StatusUpdate};
use egret_record::{DataCentre, FastMap, FastSet, WeightVersion};
use egret_route::{BackOffs, Distance, RequestAges, RetryBudget};
use egret_rpc::Follower;
use egret_weights::UpdateSchedule;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};

use crate::{
    BackendHead, ConnectionLimits, Protocol, backend::Backend, slots::Places, tables::Tables,
};

/// Most entries that a caller is told of.
const ENTRIES_TOLD: usize = 64;

/// [`START_DELAY_MAX`] at an engine whose link is squeezed.
const SLOW_BEGIN_TIME: Duration = Duration::from_millis(3_700);

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of this entry.
    pub name: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of each data centre.
    pub regions: FastMap<DataCentre, String>,
    /// Extra tries a request, over all backend servers.
    pub retry_share: f64,
    /// Extra tries that all entries together may save up.
    pub retry_burst: f64,
    /// How long after a version of weights was named an older one may still answer.
    pub version_grace: Duration,
    /// Whether requests are refused while the control state cannot be reached.
    pub fail_closed: Option<Duration>,
}

/// What the requests of one entry share; lives on one thread.
pub struct Gateway {
    settings: GatewaySettings,
    pub(crate) wire: Box<dyn Protocol>,
    follower: Rc<Follower>,
    tables: RefCell<Rc<Tables>>,
    backends: RefCell<FastMap<String, Rc<Backend>>>,
    /// What backend servers said of further requests, also of those that are gone from sight.
    holds: RefCell<BackOffs>,
    /// Engines whose agents are about to change their weights.
    switching: RefCell<FastSet<SocketAddr>>,
    /// Engines whose links are filled by weights.
    narrow: RefCell<FastSet<SocketAddr>>,
    entries: Cell<u32>,
    /// Most entries that were there at a time.
    peak: Cell<u32>,
    /// Entries in this data centre.
    near: Cell<u32>,
    pub(crate) places: Places,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) ages: RefCell<RequestAges>,
    random: RefCell<SmallRng>,
    leaving: Cell<bool>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Gateway {
    /// Makes a gateway that knows what `follower` hears.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        wire: Box<dyn Protocol>,
        follower: Rc<Follower>,
    ) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(RetryBudget::with_max(settings.retry_share, 1.0)),
            settings,
            wire,
            follower,
            tables: RefCell::default(),
            backends: RefCell::default(),
            holds: RefCell::default(),
            switching: RefCell::default(),
            narrow: RefCell::default(),
            entries: Cell::new(0),
            peak: Cell::new(0),
            near: Cell::new(0),
            places: Places::default(),
            ages: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            leaving: Cell::new(false),
        })
    }

    /// Keeps up with the control state for as long as it is awaited.
    pub async fn run(self: Rc<Self>) {
        let keep_up = async {
            let mut news = self.follower.updates();
            let mut seen = *news.borrow_and_update();
            loop {
                self.refresh_fleet();
                self.refresh_tables();
                loop {
                    if news.changed().await.is_err() {
                        return;
                    }
                    let now = *news.borrow_and_update();
                    let changed = now.views != seen.views || now.fleets != seen.fleets;
                    seen = now;
                    if changed {
                        break;
                    }
                }
            }
        };
        tokio::select! {
            () = keep_up => {}
            () = self.places.run(&self) => {}
        }
    }

    /// Tells whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.tables.borrow().catalog.is_some() && !self.is_closed()
    }

    /// Starts to leave: callers are sent elsewhere, who comes is still served.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.follower.update_status(|process| process.leaving = true);
    }

    /// Tells whether this entry is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns how connections of callers are served, by the catalog in force.
    #[must_use]
    pub fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.tables().catalog.as_ref().map(|one| one.limits).unwrap_or_default();
        ConnectionLimits {
            header_bytes: usize::try_from(limits.header_bytes).unwrap_or(usize::MAX),
            idle_time: limits.idle_timeout,
        }
    }

    /// Lists the entries for a caller of `host` in `region`, in the order in which to use them.
    ///
    /// Those of the caller's region come first; others only where there are none.
    pub fn entries(&self, host: &str, region: &str) -> Vec<SocketAddr> {
        let tables = self.tables();
        let homes = tables.index.routes_of(host).iter().flat_map(|route| &route.regions);
        let homes: FastSet<&str> = homes.map(String::as_str).collect();
        let fleet = self.follower.fleet();
        let mut near = Vec::new();
        let mut rest = Vec::new();
        for entry in fleet.entries().filter(|entry| !entry.leaving) {
            let own = self.region_of(&entry.data_centre);
            if own == Some(region) {
                near.push(entry.address);
            } else if homes.is_empty() || own.is_some_and(|own| homes.contains(own)) {
                rest.push(entry.address);
            }
        }
        let mut found = if near.is_empty() { rest } else { near };
        found.shuffle(&mut *self.random());
        found.truncate(ENTRIES_TOLD);
        found
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

    pub(crate) const fn data_centre(&self) -> &DataCentre {
        &self.settings.data_centre
    }

    pub(crate) fn region_of(&self, data_centre: &DataCentre) -> Option<&str> {
        self.settings.regions.get(data_centre).map(String::as_str)
    }

    pub(crate) fn is_home(&self, data_centre: &DataCentre, homes: &[String]) -> bool {
        let region = self.region_of(data_centre);
        region.is_some_and(|region| homes.iter().any(|home| home == region))
    }

    pub(crate) fn entry_count(&self) -> u32 {
        self.entries.get().max(1)
    }

    /// Returns the most entries that were there at a time.
    ///
    /// Those that are gone from sight may be cut off and go on sending.
    pub(crate) fn peak_entries(&self) -> u32 {
        self.peak.get().max(1)
    }

    /// Returns the number of entries in this data centre.
    pub(crate) fn near_count(&self) -> u32 {
        self.near.get().max(1)
    }

    pub(crate) fn distance_to(&self, data_centre: &DataCentre) -> Distance {
        if data_centre == self.data_centre() {
            return Distance::Near;
        }
        let own = self.region_of(self.data_centre());
        let region = self.region_of(data_centre);
        if region.is_some() && region == own { Distance::Region } else { Distance::Far }
    }

    /// Notes that a backend server is cold until `until`.
    pub(crate) fn chill(&self, backend: &Backend, until: Duration, now: Duration) {
        let part = self.random().random();
        backend.pace.borrow_mut().mark_cold(until, part, now);
    }

    /// Keeps to what an answer says of further requests to its backend server.
    pub(crate) fn note_hold(&self, backend: &Backend, said: &BackendHead) {
        if !said.leaving && said.retry_after.is_none() {
            return;
        }
        let now = self.now();
        let status = backend.status.borrow();
        let before = backend.hold.get();
        let mut hold = before;
        if said.leaving {
            hold.set_leaving();
        }
        let bounded = said.retry_after.is_some_and(|wait| hold.pause(wait, now));
        if hold != before {
            log::info!(
                "event=backend_holds backend={} leaving={} wait_ms={:?} bounded={bounded}",
                status.id,
                said.leaving,
                said.retry_after.map(|wait| wait.as_millis())
            );
        }
        backend.hold.set(hold);
        self.holds.borrow_mut().insert(&status.id, status.stamp.incarnation, hold, now);
    }

    pub(crate) fn is_switching(&self, engine: &SocketAddr) -> bool {
        self.switching.borrow().contains(engine)
    }

    pub(crate) fn is_narrow(&self, engine: &SocketAddr) -> bool {
        self.narrow.borrow().contains(engine)
    }

    /// Returns the rank of a backend server for this entry, by rendezvous hashing.
    pub(crate) fn affinity(&self, id: &str) -> u64 {
        use std::hash::{Hash as _, Hasher as _};
        let mut hasher = rustc_hash::FxHasher::default();
        (self.settings.name.as_str(), id).hash(&mut hasher);
        hasher.finish()
    }

    /// Tells whether the settings forbid to serve without the control state.
    pub(crate) fn is_closed(&self) -> bool {
        let silence = self.follower.since_contact();
        self.settings.fail_closed.is_some_and(|limit| silence.is_none_or(|one| one > limit))
    }

    /// Returns the version of a model that alone may answer, if others may not any more.
    pub(crate) fn strict_version(&self, model: &str, now: Duration) -> Option<WeightVersion> {
        let grace = self.settings.version_grace.saturating_sub(FAST_START_DELAY_MAX);
        self.tables.borrow().due_version(model, grace, now)
    }

    /// Tells whether an answer of an engine that holds a version begins before that is due.
    pub(crate) fn begins_in_time(
        &self,
        backend: &Backend,
        model: &str,
        held: WeightVersion,
        now: Duration,
    ) -> bool {
        let Some(due) = self.expires(model, Some(held), now) else { return true };
        let time = if backend.is_sluggish() || self.is_narrow(&backend.status.borrow().address) {
            SLOW_BEGIN_TIME
        } else if backend.is_quick(now) {
            FAST_START_DELAY_MAX
        } else {
            START_DELAY_MAX
        };
        now + time <= due
    }

    /// Tells whether engines leave a version of a model now or soon.
    pub(crate) fn is_left(&self, model: &str, held: WeightVersion) -> bool {
        self.tables.borrow().next_due(model, Duration::ZERO, Some(held)).is_some()
    }

    /// Returns when the version that an engine holds may not begin an answer any more, if soon.
    pub(crate) fn expires(
        &self,
        model: &str,
        held: Option<WeightVersion>,
        now: Duration,
    ) -> Option<Duration> {
        let due = self.tables.borrow().next_due(model, self.settings.version_grace, held)?;
        (due <= now + SLOW_BEGIN_TIME).then_some(due)
    }

    fn refresh_tables(&self) {
        let next = Rc::new(self.tables.borrow().next(&self.follower));
        let version = |tables: &Tables| tables.catalog.as_ref().map(|one| one.version.0);
        if version(&next) != version(&self.tables.borrow()) {
            log::info!("event=catalog_in_force version={:?}", version(&next));
        }
        if self.tables.borrow().catalog.is_none() && next.catalog.is_some() {
            // Other entries may have learnt it at the same moment, after a restart of all.
            let now = self.now();
            let backends = self.backends.borrow();
            backends.values().for_each(|backend| backend.pace.borrow_mut().delay_from(now));
        }
        self.tables.replace(next);
    }

    fn refresh_fleet(&self) {
        let fleet = self.follower.fleet();
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        backends.retain(|id, _| {
            fleet
                .get(&egret_fleet::StatusKey::Backend(id.clone()))
                .is_some_and(|known| matches!(known.status, StatusUpdate::Backend(_)))
        });
        for (status, heard) in fleet.backends() {
            let known = backends
                .get(&status.id)
                .filter(|one| one.status.borrow().stamp.incarnation == status.stamp.incarnation);
            let backend = match known {
                Some(backend) => backend.clone(),
                None => {
                    let hold = self.holds.borrow().get(&status.id, status.stamp.incarnation);
                    let backend = Rc::new(Backend::new(status.clone(), hold));
                    backends.insert(status.id.clone(), backend.clone());
                    backend
                }
            };
            if status.cold_ms > 0 {
                let until = heard + Duration::from_millis(status.cold_ms);
                self.chill(&backend, until.max(now), now);
            }
            backend.status.replace(status.clone());
        }
        let mut loaded = FastMap::default();
        let (mut narrow, mut switching) = (FastSet::default(), FastSet::default());
        for agent in fleet.processes(ProcessKind::Agent) {
            let Some(engine) = agent.engine else { continue };
            loaded.insert(engine, &agent.loaded);
            if agent.congested {
                narrow.insert(engine);
            }
            if agent.switching {
                switching.insert(engine);
            }
        }
        let moving = moving_engines(&fleet);
        for backend in backends.values() {
            backend.moves_streams.set(moving.contains(&backend.status.borrow().address));
            if let Some(word) = loaded.get(&backend.status.borrow().address) {
                backend.seen.replace((*word).clone());
            }
        }
        self.narrow.replace(narrow);
        self.switching.replace(switching);
        let near = fleet.entries().filter(|one| one.data_centre == *self.data_centre()).count();
        self.near.set(u32::try_from(near).unwrap_or(u32::MAX));
        let entries = fleet.entries().count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        self.peak.set(self.peak.get().max(entries));
        if self.entries.replace(entries) != entries {
            let saved = self.settings.retry_burst / f64::from(entries);
            self.budget.replace(RetryBudget::with_max(self.settings.retry_share, saved));
        }
    }
}

/// Returns the engines that stop what runs when they change their weights.
fn moving_engines(fleet: &Fleet) -> FastSet<SocketAddr> {
    let mut services: FastMap<&str, Vec<_>> = FastMap::default();
    for agent in fleet.processes(ProcessKind::Agent) {
        let service = agent.service.as_deref().unwrap_or_default();
        services.entry(service).or_default().push((agent.name.as_str(), agent.engine));
    }
    let mut moving = FastSet::default();
    for agents in services.values_mut() {
        agents.sort_unstable();
        let engines = agents.iter().enumerate();
        moving.extend(engines.filter_map(|(rank, (_, engine))| {
            engine.filter(|_| UpdateSchedule::moves_streams(rank))
        }));
    }
    moving
}
