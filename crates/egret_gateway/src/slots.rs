//! Who gets a place at the backend servers of a service.

use std::{cell::RefCell, rc::Rc, time::Duration};

use egret_record::{FastMap, FastSet, Route, ServiceSpec, WeightVersion};
use egret_route::{
    AdaptiveLimit, BackendLoad, Code, ColdRateLimit, Distance, Refusal, WaitQueue, Waiter,
    choose_cheapest, entry_limit,
};
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};

use crate::{backend::Backend, gateway::Gateway};

/// Concurrent requests that all entries together send, as a multiple of what engines batch.
const ENGINE_HEADROOM: f64 = 1.1;
/// The same for plain services, whose queues are short beside their work.
const PLAIN_HEADROOM: f64 = 2.0;
/// First bound of a backend server far away, which has entries of its own near it.
const FAR_BOUND: u32 = 1;
/// Longest wait for a place while no backend server offers the service.
const NONE_WAIT: Duration = Duration::from_millis(200);
/// Load of backend servers far away, as part of their slots, while there are none near.
const USUAL_LOAD: f64 = 0.6;
/// Pause between two looks whether time has opened a place.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// What a request wants of the backend server that it gets.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    pub(crate) request: String,
    pub(crate) service: String,
    pub(crate) model: Option<String>,
    /// The version of weights that began the answer, if it has begun.
    pub(crate) weights: Option<WeightVersion>,
    /// Regions in which it may be served, by route and by organisation.
    pub(crate) homes: Vec<Vec<String>>,
    pub(crate) rank: u8,
    /// Ids of backend servers that refused or broke it.
    pub(crate) avoid: FastSet<String>,
    /// Until when it must start to be on time.
    pub(crate) timely: Duration,
    /// Until when it waits.
    pub(crate) until: Duration,
}

/// A place at a backend server, given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) backend: Rc<Backend>,
    /// The only version of weights that may answer, if others may not any more.
    pub(crate) version: Option<WeightVersion>,
    /// When its weights may not begin an answer any more, if that is soon.
    pub(crate) expires: Option<Duration>,
    /// Whether the request tests a backend server whose breaker has opened.
    tests: bool,
    freed: Rc<Notify>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let own = &self.backend.own;
        own.set(own.get().saturating_sub(1));
        if self.tests {
            // A caller that leaves learns nothing, and another request must test again.
            self.backend.health.borrow_mut().cancel_probe();
        }
        self.freed.notify_one();
    }
}

/// Requests that wait, over all services.
#[derive(Debug, Default)]
pub(crate) struct Places {
    waiting: RefCell<WaitQueue<(Wanted, oneshot::Sender<Slot>)>>,
    freed: Rc<Notify>,
    /// Usual time from the sending of a request of a service to the head of its answer.
    delays: RefCell<FastMap<String, Duration>>,
    /// Until when the places of a service are for requests that can be on time.
    pressed: RefCell<FastMap<String, Duration>>,
}

/// Why no backend server was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lack {
    /// None offers the service, or none with the weights.
    None,
    /// Those that do have no room or are not well.
    Room,
    /// All of those that do want no request before this time.
    Held(Duration),
}

impl Places {
    /// Gives waiting requests the places that became free, for as long as it is awaited.
    pub(crate) async fn run(&self, gateway: &Gateway) {
        loop {
            if self.waiting.borrow().is_empty() {
                self.freed.notified().await;
            } else {
                let _ = timeout(LOOK_PERIOD, self.freed.notified()).await;
            }
            self.pump(gateway);
        }
    }

    /// Notes how long an answer of a service took to begin.
    pub(crate) fn answered(&self, service: &str, delay: Duration) {
        /// Part of the usual delay that one more answer replaces.
        const SMOOTHING: u32 = 16;
        let mut delays = self.delays.borrow_mut();
        match delays.get_mut(service) {
            Some(usual) => *usual = *usual - *usual / SMOOTHING + delay / SMOOTHING,
            None => {
                delays.insert(service.to_owned(), delay);
            }
        }
    }

    /// Returns how long an answer of a service usually takes to begin.
    pub(crate) fn usual_delay(&self, service: &str) -> Duration {
        self.delays.borrow().get(service).copied().unwrap_or_default()
    }

    /// Notes that a request that can be on time finds no place.
    fn press(&self, service: &str, now: Duration) {
        /// Time after which a shortage counts as over.
        const PRESSED_TIME: Duration = Duration::from_millis(700);
        self.pressed.borrow_mut().insert(service.to_owned(), now + PRESSED_TIME);
    }

    /// Tells whether a request must leave the places to others that can be on time.
    fn must_yield(&self, wanted: &Wanted, now: Duration) -> bool {
        let pressed = self.pressed.borrow();
        now > wanted.timely && pressed.get(&wanted.service).is_some_and(|until| now < *until)
    }

    fn pump(&self, gateway: &Gateway) {
        let now = gateway.now();
        self.waiting.borrow_mut().remove_expired(now);
        let mut stuck: FastSet<String> = FastSet::default();
        loop {
            let fits = |(wanted, reply): &(Wanted, oneshot::Sender<Slot>)| {
                !reply.is_closed()
                    && !stuck.contains(&wanted.service)
                    && !self.must_yield(wanted, now)
            };
            let next = self.waiting.borrow_mut().pop(now, fits);
            let Some((waiter, (wanted, reply))) = next else { break };
            match self.find(gateway, &wanted) {
                Ok(slot) => {
                    let _ = reply.send(slot);
                }
                Err(_) => {
                    stuck.insert(wanted.service.clone());
                    self.waiting.borrow_mut().push(waiter, (wanted, reply));
                }
            }
        }
    }

    /// Waits for a place, or says why there is none.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says "not run", which is true.
    pub(crate) async fn acquire(&self, gateway: &Gateway, wanted: Wanted) -> Result<Slot, Refusal> {
        let now = gateway.now();
        let ahead = !self.waiting.borrow().is_empty();
        let yields = self.must_yield(&wanted, now);
        let lack = match self.find(gateway, &wanted) {
            Ok(slot) if !yields => return Ok(slot),
            Ok(_) => Lack::Room,
            Err(lack) => lack,
        };
        if let Lack::Held(until) = lack
            && until >= wanted.until
        {
            let message = "all backend servers asked for a pause; come back after it";
            let wait = until.saturating_sub(now);
            return Err(Refusal::not_run(Code::Overloaded, message).retry_after(wait));
        }
        if lack == Lack::Room && now <= wanted.timely {
            self.press(&wanted.service, now);
        }
        let mut limit = wanted.until.saturating_sub(now);
        if lack == Lack::None {
            limit = limit.min(NONE_WAIT);
        }
        let request = wanted.request.clone();
        let (sender, place) = oneshot::channel();
        let waiter = Waiter {
            rank: wanted.rank,
            queued: now,
            start_by: wanted.timely,
            wait_until: wanted.until,
        };
        self.waiting.borrow_mut().push(waiter, (wanted, sender));
        if !ahead {
            self.freed.notify_one();
        }
        if let Ok(Ok(slot)) = timeout(limit, place).await {
            return Ok(slot);
        }
        let waiting = self.waiting.borrow().len();
        log::info!(
            "event=no_place request={request} lack={lack:?} waited_ms={} waiting={waiting}",
            (gateway.now() - now).as_millis()
        );
        Err(match lack {
            Lack::None => {
                let message = "no backend server of the service is ready; come back later";
                Refusal::not_run(Code::NoBackend, message)
            }
            Lack::Room | Lack::Held(_) => {
                let message = "all backend servers have as much as they can bear; come back later";
                Refusal::not_run(Code::Overloaded, message)
            }
        })
    }

    /// Finds a place now.
    fn find(&self, gateway: &Gateway, wanted: &Wanted) -> Result<Slot, Lack> {
        let now = gateway.now();
        let tables = gateway.tables();
        let spec = tables.catalog.as_ref().and_then(|one| one.services.get(&wanted.service));
        let Some(spec) = spec.cloned() else { return Err(Lack::None) };
        let version = wanted.model.as_ref().and_then(|model| gateway.strict_version(model, now));
        let backends = gateway.backends();
        let mut fitting: Vec<_> =
            backends.values().filter(|backend| fits(gateway, backend, wanted, version)).collect();
        let held = fitting.iter().map(|one| one.hold.get().until()).min();
        let held = held.filter(|until| *until > now).map(Lack::Held);
        fitting.retain(|one| !wanted.avoid.contains(&one.status.borrow().id));
        let fitting = within_reach(gateway, fitting);
        if fitting.is_empty() {
            return Err(held.unwrap_or(Lack::None));
        }
        let spacing = ColdRateLimit::spacing(spec.cold_per_s, gateway.peak_entries());
        let open: Vec<_> = fitting.into_iter().filter(|one| is_open(one, spacing, now)).collect();
        let places = places_of(gateway, &open, &spec);
        let staying = staying_places(gateway, wanted, &open, &places);
        let at = choose_cheapest(&staying, &mut *gateway.random());
        let Some(at) = at.or_else(|| choose_cheapest(&places, &mut *gateway.random())) else {
            return Err(held.unwrap_or(Lack::Room));
        };
        let backend = open[at].clone();
        backend.pace.borrow_mut().acquire(spacing, now);
        backend.health.borrow_mut().record_sent();
        let tests = backend.health.borrow().is_tripped();
        backend.own.set(backend.own.get() + 1);
        let status = backend.status.borrow();
        log::debug!(
            "event=placed request={} backend={} own={} open={} announced_seq={}",
            wanted.request,
            status.id,
            backend.own.get(),
            open.len(),
            status.stamp.seq
        );
        drop(status);
        let expires = wanted
            .model
            .as_ref()
            .and_then(|model| gateway.expires(model, backend.version_of(model).max(version), now));
        let version = wanted.weights.or(version);
        Ok(Slot { backend, version, expires, tests, freed: self.freed.clone() })
    }
}

/// Tells whether a backend server may serve a request at all.
fn fits(
    gateway: &Gateway,
    backend: &Backend,
    wanted: &Wanted,
    version: Option<WeightVersion>,
) -> bool {
    let status = backend.status.borrow();
    let loaded = match &wanted.model {
        Some(model) => match (backend.version_of(model), version) {
            // An answer is made with one version, from its first event to its last.
            (Some(held), _) if wanted.weights.is_some_and(|begun| held != begun) => false,
            (Some(held), strict) => {
                strict.is_none_or(|strict| held >= strict)
                    && gateway.begins_in_time(backend, model, held, gateway.now())
            }
            (None, _) => false,
        },
        None => true,
    };
    loaded
        && status.service == wanted.service
        && !status.draining
        && !backend.hold.get().is_leaving()
        && !gateway.tables().is_out(&status.data_centre)
        && wanted.homes.iter().all(|homes| gateway.is_home(&status.data_centre, homes))
        && !gateway.is_switching(&status.address)
}

/// Keeps the backend servers near, and as many of those far away as this entry may use.
///
/// Pattern: a data centre is out, and its many entries turn to few engines elsewhere. One
/// request of each would be too many for an engine, so each entry uses others of them, such
/// that an engine has about half as many strangers as slots.
fn within_reach<'a>(gateway: &Gateway, fitting: Vec<&'a Rc<Backend>>) -> Vec<&'a Rc<Backend>> {
    /// Far backend servers that an entry always has, so that one may be lost.
    const FAR_MIN: usize = 3;
    let (mut reach, mut far): (Vec<_>, Vec<_>) =
        fitting.into_iter().partition(|one| distance_to(gateway, one) == Distance::Near);
    let slots: u32 = far.iter().map(|one| one.status.borrow().slots).sum();
    let share = slots.div_ceil(gateway.entry_count() * 2);
    let share = usize::try_from(share).unwrap_or(usize::MAX).max(FAR_MIN);
    if far.len() > share {
        far.sort_by_cached_key(|one| gateway.affinity(&one.status.borrow().id));
        far.truncate(share);
    }
    reach.append(&mut far);
    reach
}

/// Tells whether a backend server is well and may be sent a request now.
fn is_open(backend: &Backend, spacing: Duration, now: Duration) -> bool {
    backend.health.borrow().is_usable(now)
        && backend.pace.borrow().allows(spacing, now)
        && now >= backend.full_until.get()
        && backend.hold.get().is_available(now)
}

/// Describes backend servers by what this entry knows of their load.
///
/// Entries prefer the backend servers near them, so those have about this
/// entry's requests times the entries near. Those far away are thought to be as
/// loaded as the ones near.
fn places_of(gateway: &Gateway, open: &[&Rc<Backend>], spec: &ServiceSpec) -> Vec<BackendLoad> {
    let headroom = if spec.engine.is_some() { ENGINE_HEADROOM } else { PLAIN_HEADROOM };
    let near = gateway.near_count();
    let distances: Vec<_> = open.iter().map(|one| distance_to(gateway, one)).collect();
    let loads = open.iter().zip(&distances).filter(|(_, distance)| **distance == Distance::Near);
    let loads: Vec<f64> = loads
        .map(|(one, _)| {
            let slots = one.status.borrow().slots.max(1);
            f64::from(one.own.get()) * f64::from(near) / f64::from(slots)
        })
        .collect();
    let usual =
        if loads.is_empty() { USUAL_LOAD } else { loads.iter().sum::<f64>() / loads.len() as f64 };
    let describe = |(one, distance): (&&Rc<Backend>, Distance)| {
        let slots = one.status.borrow().slots;
        let own = one.own.get();
        let (load, first) = match distance {
            Distance::Near => {
                (f64::from(own) * f64::from(near), entry_limit(slots, headroom, near))
            }
            Distance::Region | Distance::Far => {
                (usual * f64::from(slots) + f64::from(own), FAR_BOUND)
            }
        };
        let most = entry_limit(slots, headroom, 1);
        let bound = one.bound.get().unwrap_or_else(|| AdaptiveLimit::new(first.into(), most));
        one.bound.set(Some(bound));
        BackendLoad { in_flight: own, limit: bound.get(), load, slots, distance }
    };
    open.iter().zip(distances).map(describe).collect()
}

/// Returns the places at which a stream that has begun can end, without those that must stop it
/// to change their weights; none for other requests.
fn staying_places(
    gateway: &Gateway,
    wanted: &Wanted,
    open: &[&Rc<Backend>],
    places: &[BackendLoad],
) -> Vec<BackendLoad> {
    let begun = wanted.model.as_ref().zip(wanted.weights);
    if !begun.is_some_and(|(model, weights)| gateway.is_left(model, weights)) {
        return Vec::new();
    }
    let bound =
        |one: &Backend, place: &BackendLoad| if one.moves_streams.get() { 0 } else { place.limit };
    let places = open.iter().zip(places);
    places.map(|(one, place)| BackendLoad { limit: bound(one, place), ..*place }).collect()
}

fn distance_to(gateway: &Gateway, backend: &Backend) -> Distance {
    let status = backend.status.borrow();
    if gateway.is_narrow(&status.address) {
        return Distance::Far;
    }
    gateway.distance_to(&status.data_centre)
}

/// Draws the service of a request by the weights of its route.
pub(crate) fn draw_service<'a>(route: &'a Route, random: &mut impl rand::Rng) -> &'a str {
    use rand::RngExt as _;
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut drawn = random.random_range(0..total.max(1));
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if drawn < weight {
            return &target.service;
        }
        drawn -= weight;
    }
    route.targets.last().map_or("", |target| &target.service)
}
