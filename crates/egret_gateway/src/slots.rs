//! Slots at backend servers: load balancing, and a queue of requests when all are taken.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use egret_grants::RANKS;
use egret_record::{FastMap, FastSet, Route, ServiceSpec, WeightVersion};
use egret_route::{
    AdaptiveLimit, BackendLoad, Code, ColdRateLimit, Distance, Refusal, WaitQueue, Waiter,
    choose_cheapest, entry_limit,
};
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};

use crate::{backend::Backend, gateway::Gateway, slot::Slot};

/// Concurrent requests that all entries together send, as a multiple of the engine's batch.
pub(crate) const ENGINE_HEADROOM: f64 = 1.1;
/// The same for plain services, whose queueing delay is short compared with their processing time.
const PLAIN_HEADROOM: f64 = 2.0;
/// Initial limit of a backend server in another data centre, which has entries of its own.
const FAR_LIMIT: u32 = 1;
/// Longest wait for a slot while no backend server offers the service.
const UNAVAILABLE_WAIT_MAX: Duration = Duration::from_millis(200);
/// Assumed load of backend servers in other data centres, as a share of their slots, if none are
/// near.
const FAR_LOAD_DEFAULT: f64 = 0.6;
/// Interval of checks for slots that become available over time, such as after a back-off.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request for a slot at a backend server.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) request: String,
    pub(crate) service: String,
    pub(crate) model: Option<String>,
    /// The weight version that started the response, if it has started.
    pub(crate) weights: Option<WeightVersion>,
    /// Regions in which it may be served, by route and by organisation.
    pub(crate) regions: Vec<Vec<String>>,
    pub(crate) rank: u8,
    /// Ids of backend servers that refused it or failed.
    pub(crate) avoid: FastSet<String>,
    /// When it must start to be on time.
    pub(crate) start_by: Duration,
    /// When its wait ends.
    pub(crate) wait_until: Duration,
}

/// The queue of requests for slots, over all services.
#[derive(Debug, Default)]
pub(crate) struct SlotQueue {
    waiting: RefCell<WaitQueue<(SlotRequest, oneshot::Sender<Slot>)>>,
    freed: Rc<Notify>,
    /// Usual time from sending a request of a service to the head of its response.
    delays: RefCell<FastMap<String, Duration>>,
    /// Until when the slots of a service are reserved for requests that can be on time.
    contended: RefCell<FastMap<String, Duration>>,
}

/// Why no slot was found; logged as `lack` under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoSlot {
    /// No backend server offers the service with the required weights.
    None,
    /// All backend servers that offer it are full or unhealthy.
    Room,
    /// All backend servers that offer it accept no requests before this time, because they asked
    /// for that or are at their rate limit.
    Held(Duration),
}

impl SlotQueue {
    /// Assigns slots to queued requests as they become free; runs until dropped.
    pub(crate) async fn run(&self, gateway: &Gateway) {
        loop {
            if self.waiting.borrow().is_empty() {
                self.freed.notified().await;
            } else {
                let _ = timeout(POLL_INTERVAL, self.freed.notified()).await;
            }
            self.dispatch(gateway);
        }
    }

    /// Lets queued requests try again, after something other than a slot became available.
    pub(crate) fn notify(&self) {
        self.freed.notify_one();
    }

    /// Records how long a response of a service took to start.
    pub(crate) fn record_response(&self, service: &str, delay: Duration) {
        /// Weight of one response in the moving average, as one part in this many.
        const SMOOTHING: u32 = 16;
        let mut delays = self.delays.borrow_mut();
        match delays.get_mut(service) {
            Some(usual) => *usual = *usual - *usual / SMOOTHING + delay / SMOOTHING,
            None => {
                delays.insert(service.to_owned(), delay);
            }
        }
    }

    /// Returns how long a response of a service usually takes to start.
    pub(crate) fn usual_delay(&self, service: &str) -> Duration {
        self.delays.borrow().get(service).copied().unwrap_or_default()
    }

    /// Records that a request that can be on time found no slot.
    fn record_contention(&self, service: &str, now: Duration) {
        /// Time after the last such request at which the shortage counts as over.
        const CONTENTION_TIMEOUT: Duration = Duration::from_millis(700);
        self.contended.borrow_mut().insert(service.to_owned(), now + CONTENTION_TIMEOUT);
    }

    /// Returns whether a request must leave the slots to others that can be on time.
    fn must_yield(&self, wanted: &SlotRequest, now: Duration) -> bool {
        let contended = self.contended.borrow();
        now > wanted.start_by && contended.get(&wanted.service).is_some_and(|until| now < *until)
    }

    /// Returns whether requests wait for slots.
    pub(crate) fn has_waiters(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    /// Counts the requests that wait for slots of a service, by rank.
    pub(crate) fn waiting_by_rank(&self, service: &str) -> [u32; RANKS] {
        let mut counts = [0; RANKS];
        for (waiter, (wanted, _)) in self.waiting.borrow().iter() {
            if wanted.service == service {
                counts[usize::from(waiter.rank).min(RANKS - 1)] += 1;
            }
        }
        counts
    }

    fn dispatch(&self, gateway: &Gateway) {
        let now = gateway.now();
        self.waiting.borrow_mut().remove_expired(now);
        let mut exhausted: FastSet<String> = FastSet::default();
        loop {
            let is_eligible = |(wanted, reply): &(SlotRequest, oneshot::Sender<Slot>)| {
                !reply.is_closed()
                    && !exhausted.contains(&wanted.service)
                    && !self.must_yield(wanted, now)
            };
            let next = self.waiting.borrow_mut().pop(now, is_eligible);
            let Some((waiter, (wanted, reply))) = next else { break };
            match self.try_acquire(gateway, &wanted, false) {
                Ok(slot) => {
                    let _ = reply.send(slot);
                }
                Err(_) => {
                    exhausted.insert(wanted.service.clone());
                    self.waiting.borrow_mut().push(waiter, (wanted, reply));
                }
            }
        }
    }

    /// Waits for a slot, or returns why there is none.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says "not run", because nothing was sent.
    pub(crate) async fn acquire(
        &self,
        gateway: &Gateway,
        wanted: SlotRequest,
    ) -> Result<Slot, Refusal> {
        let now = gateway.now();
        let has_waiters = !self.waiting.borrow().is_empty();
        let no_slot = match self.try_acquire(gateway, &wanted, true) {
            Ok(slot) => return Ok(slot),
            Err(no_slot) => no_slot,
        };
        if let NoSlot::Held(until) = no_slot
            && until >= wanted.wait_until
        {
            let message = "all backend servers accept no requests for now; come back later";
            let wait = until.saturating_sub(now);
            return Err(Refusal::not_run(Code::Overloaded, message).retry_after(wait));
        }
        if no_slot == NoSlot::Room && now <= wanted.start_by {
            self.record_contention(&wanted.service, now);
        }
        let mut max_wait = wanted.wait_until.saturating_sub(now);
        if no_slot == NoSlot::None {
            max_wait = max_wait.min(UNAVAILABLE_WAIT_MAX);
        }
        let request = wanted.request.clone();
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            rank: wanted.rank,
            queued: now,
            start_by: wanted.start_by,
            wait_until: wanted.wait_until,
        };
        self.waiting.borrow_mut().push(waiter, (wanted, sender));
        if !has_waiters {
            self.freed.notify_one();
        }
        gateway.grants.needed.notify_one();
        if let Ok(Ok(slot)) = timeout(max_wait, receiver).await {
            return Ok(slot);
        }
        let waiting = self.waiting.borrow().len();
        log::info!(
            "event=no_place request={request} lack={no_slot:?} waited_ms={} waiting={waiting}",
            (gateway.now() - now).as_millis()
        );
        Err(match no_slot {
            NoSlot::None => {
                let message = "no backend server of the service is ready; come back later";
                Refusal::not_run(Code::NoBackend, message)
            }
            NoSlot::Room | NoSlot::Held(_) => {
                let message = "all backend servers have as much as they can bear; come back later";
                Refusal::not_run(Code::Overloaded, message)
            }
        })
    }

    /// Acquires a slot without waiting; `new` tells whether this is the first try for the request.
    fn try_acquire(
        &self,
        gateway: &Gateway,
        wanted: &SlotRequest,
        new: bool,
    ) -> Result<Slot, NoSlot> {
        let now = gateway.now();
        let tables = gateway.tables();
        let spec =
            tables.catalog.as_ref().and_then(|catalog| catalog.services.get(&wanted.service));
        let Some(spec) = spec.cloned() else { return Err(NoSlot::None) };
        let version = wanted.model.as_ref().and_then(|model| gateway.required_version(model, now));
        let backends = gateway.backends();
        let mut eligible: Vec<_> = backends
            .values()
            .filter(|backend| is_eligible(gateway, backend, wanted, version))
            .collect();
        let offered = eligible.clone();
        eligible.retain(|backend| !wanted.avoid.contains(&backend.status.borrow().id));
        let eligible = usable_subset(gateway, &spec, eligible);
        if eligible.is_empty() {
            return Err(held_until(&offered, &[], now).map_or(NoSlot::None, NoSlot::Held));
        }
        let spacing = ColdRateLimit::spacing(spec.cold_per_s, gateway.peak_entries());
        let available: Vec<_> =
            eligible.into_iter().filter(|backend| is_available(backend, spacing, now)).collect();
        if self.must_yield(wanted, now) {
            // Decided before anything is taken that another request could use.
            return Err(held_until(&offered, &[], now).map_or(NoSlot::Room, NoSlot::Held));
        }
        let mut loads = estimate_loads(gateway, &available, &spec, now);
        let mut denied = Vec::new();
        let (backend, permit) = loop {
            let uninterrupted = uninterrupted_loads(gateway, wanted, &available, &loads);
            let index = choose_cheapest(&uninterrupted, &mut *gateway.random());
            let index = index.or_else(|| choose_cheapest(&loads, &mut *gateway.random()));
            let Some(index) = index else {
                return Err(held_until(&offered, &denied, now).map_or(NoSlot::Room, NoSlot::Held));
            };
            match gateway.acquire_permit(available[index], new, now) {
                Ok(permit) => break (available[index].clone(), permit),
                Err(until) => {
                    loads[index].limit = 0;
                    denied.push((available[index], until));
                }
            }
        };
        backend.cold_limit.borrow_mut().acquire(spacing, now);
        backend.breaker.borrow_mut().record_sent();
        let probe = backend.breaker.borrow().is_tripped();
        backend.in_flight.set(backend.in_flight.get() + 1);
        let status = backend.status.borrow();
        log::debug!(
            "event=placed request={} backend={} own={} open={} announced_seq={}",
            wanted.request,
            status.id,
            backend.in_flight.get(),
            available.len(),
            status.stamp.seq
        );
        drop(status);
        let loaded =
            wanted.model.as_ref().and_then(|model| backend.version_of(model, &gateway.tables()));
        let expires = wanted
            .model
            .as_ref()
            .and_then(|model| gateway.expires(model, loaded.max(version), now));
        let version = wanted.weights.or(loaded);
        Ok(Slot {
            backend,
            version,
            expires,
            probe,
            permit: Cell::new(Some(permit)),
            permits: gateway.permits.clone(),
            acquired: now,
            freed: self.freed.clone(),
        })
    }
}

/// Returns whether a backend server may serve a request, apart from its load and health.
fn is_eligible(
    gateway: &Gateway,
    backend: &Backend,
    wanted: &SlotRequest,
    version: Option<WeightVersion>,
) -> bool {
    let (status, tables) = (backend.status.borrow(), gateway.tables());
    let has_weights = match &wanted.model {
        Some(model) => match (backend.version_of(model, &tables), version) {
            // A response must come from one version, from its first event to its last.
            (Some(loaded), _) if wanted.weights.is_some_and(|started| loaded != started) => false,
            (Some(loaded), required) => {
                required.is_none_or(|required| loaded >= required)
                    && gateway.starts_in_time(backend, model, loaded, gateway.now())
            }
            (None, _) => false,
        },
        None => backend.has_whole_weights(&tables),
    };
    has_weights
        && status.service == wanted.service
        && !status.draining
        && !backend.back_off.get().is_leaving()
        && !tables.is_out(&status.data_centre)
        && wanted.regions.iter().all(|regions| gateway.is_in_regions(&status.data_centre, regions))
        && !gateway.is_switching(&status.address)
}

/// Returns the near backend servers, and the subset of far ones that this entry may use.
///
/// When a data centre is out, its many entries use few engines elsewhere, and one request of each
/// would overload an engine. So each entry uses a different subset of them, such that each engine
/// is in the subset of about half as many far entries as it has slots.
///
/// Engines that share their slots by grants cannot be overloaded. There, an entry without near ones
/// may ask for twice its share of all slots, as it gets only a part of what it asks for.
fn usable_subset<'a>(
    gateway: &Gateway,
    spec: &ServiceSpec,
    eligible: Vec<&'a Rc<Backend>>,
) -> Vec<&'a Rc<Backend>> {
    /// Smallest subset of far backend servers, so that one may be lost.
    const FAR_MIN: usize = 3;
    let (mut chosen, mut far): (Vec<_>, Vec<_>) =
        eligible.into_iter().partition(|backend| distance_to(gateway, backend) == Distance::Near);
    let slots: u64 = far.iter().map(|backend| u64::from(backend.status.borrow().slots)).sum();
    let shares = |backend: &Rc<Backend>| gateway.shares_slots(spec, backend.status.borrow().slots);
    let share = if chosen.is_empty() && far.iter().all(|backend| shares(backend)) {
        (slots * 2).div_ceil(u64::from(gateway.entry_count()))
    } else {
        slots.div_ceil(u64::from(gateway.entry_count()) * 2)
    };
    let share = usize::try_from(share).unwrap_or(usize::MAX).max(FAR_MIN);
    if far.len() > share {
        far.sort_by_cached_key(|backend| gateway.affinity(&backend.status.borrow().id));
        far.truncate(share);
    }
    chosen.append(&mut far);
    chosen
}

/// Returns when the first of the backend servers accepts requests again, if all accept none now.
///
/// `denied` are those at their rate limit, each with when it may be sent a request.
fn held_until(
    offered: &[&Rc<Backend>],
    denied: &[(&Rc<Backend>, Duration)],
    now: Duration,
) -> Option<Duration> {
    let until = |backend: &&Rc<Backend>| {
        let denied = denied.iter().find(|(denied, _)| Rc::ptr_eq(denied, backend));
        let back_off = backend.back_off.get().until();
        denied.map_or(back_off, |(_, until)| back_off.max(*until))
    };
    offered.iter().map(until).min().filter(|until| *until > now)
}

/// Returns whether a backend server is healthy and may be sent a request now.
fn is_available(backend: &Backend, spacing: Duration, now: Duration) -> bool {
    backend.breaker.borrow().is_usable(now)
        && backend.cold_limit.borrow().allows(spacing, now)
        && now >= backend.full_until.get()
        && backend.back_off.get().is_available(now)
}

/// Estimates the load of backend servers.
///
/// Entries prefer near backend servers, so each of these has about this entry's
/// requests times the number of near entries. Those far away are assumed to be as
/// loaded as the near ones.
fn estimate_loads(
    gateway: &Gateway,
    available: &[&Rc<Backend>],
    spec: &ServiceSpec,
    now: Duration,
) -> Vec<BackendLoad> {
    let headroom = if spec.engine.is_some() { ENGINE_HEADROOM } else { PLAIN_HEADROOM };
    let near = gateway.near_entries();
    let distances: Vec<_> = available.iter().map(|backend| distance_to(gateway, backend)).collect();
    let loads =
        available.iter().zip(&distances).filter(|(_, distance)| **distance == Distance::Near);
    let loads: Vec<f64> = loads
        .map(|(backend, _)| {
            let slots = backend.status.borrow().slots.max(1);
            f64::from(backend.in_flight.get()) * f64::from(near) / f64::from(slots)
        })
        .collect();
    let usual = if loads.is_empty() {
        FAR_LOAD_DEFAULT
    } else {
        loads.iter().sum::<f64>() / loads.len() as f64
    };
    let estimate = |(backend, distance): (&&Rc<Backend>, Distance)| {
        let slots = backend.status.borrow().slots;
        let in_flight = backend.in_flight.get();
        let (load, first) = match distance {
            Distance::Near => {
                (f64::from(in_flight) * f64::from(near), entry_limit(slots, headroom, near))
            }
            Distance::Region | Distance::Far => {
                (usual * f64::from(slots) + f64::from(in_flight), FAR_LIMIT)
            }
        };
        let max = entry_limit(slots, headroom, 1);
        let limit = backend.limit.get().unwrap_or_else(|| AdaptiveLimit::new(first.into(), max));
        backend.limit.set(Some(limit));
        if gateway.shares_slots(spec, slots) {
            let granted = gateway.granted(backend, distance, now).min(max);
            let load = f64::from(in_flight * slots) / f64::from(granted.max(1));
            return BackendLoad { in_flight, limit: granted, load, slots, distance };
        }
        BackendLoad { in_flight, limit: limit.get(), load, slots, distance }
    };
    available.iter().zip(distances).map(estimate).collect()
}

/// Returns `loads` with limit zero for engines that would interrupt a stream to change weights.
///
/// Applies to a stream that has started with a version that is superseded; returns nothing for
/// other requests.
fn uninterrupted_loads(
    gateway: &Gateway,
    wanted: &SlotRequest,
    available: &[&Rc<Backend>],
    loads: &[BackendLoad],
) -> Vec<BackendLoad> {
    let started = wanted.model.as_ref().zip(wanted.weights);
    if !started.is_some_and(|(model, weights)| gateway.is_superseded(model, weights)) {
        return Vec::new();
    }
    let limit = |backend: &Backend, load: &BackendLoad| {
        if backend.interrupts_streams.get() { 0 } else { load.limit }
    };
    let loads = available.iter().zip(loads);
    loads.map(|(backend, load)| BackendLoad { limit: limit(backend, load), ..*load }).collect()
}

fn distance_to(gateway: &Gateway, backend: &Backend) -> Distance {
    let status = backend.status.borrow();
    if gateway.is_congested(&status.address) {
        return Distance::Far;
    }
    gateway.distance_to(&status.data_centre)
}

/// Draws the service of a request by the target weights of its route.
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

impl Gateway {
    /// Returns the engines of which this entry may demand slots.
    pub(crate) fn usable_engines<'a>(
        &self,
        spec: &ServiceSpec,
        engines: &[&'a Rc<Backend>],
    ) -> Vec<&'a Rc<Backend>> {
        let usable = engines.iter().copied().filter(|backend| {
            let status = backend.status.borrow();
            !status.draining
                && !backend.back_off.get().is_leaving()
                && !self.tables().is_out(&status.data_centre)
        });
        usable_subset(self, spec, usable.collect())
    }
}
