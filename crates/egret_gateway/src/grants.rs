//! The slots of engines that this entry is granted by their agents.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use egret_fleet::{Fleet, ProcessKind};
use egret_grants::{Allowance, Grants, RANKS, Usage, quota, quota_position};
use egret_limiter::{DATAGRAM_BYTES_MAX, DemandMessage, GrantMessage};
use egret_record::{FastMap, ServiceSpec};
use egret_route::{Distance, entry_limit, overcommits_memory};
use egret_rpc::{decode, encode};
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{backend::Backend, gateway::Gateway, slots::ENGINE_HEADROOM};

/// Delay before the socket is opened or read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest time between two updates of what is demanded of the engines.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);
/// The same while requests wait for slots.
const WAITING_PERIOD: Duration = Duration::from_millis(20);

/// The grants of one entry.
#[derive(Debug)]
pub(crate) struct EngineGrants {
    grants: RefCell<Grants>,
    /// The agent of each engine, by the engine's address.
    agents: RefCell<FastMap<SocketAddr, SocketAddr>>,
    /// Triggered when a request finds no slot.
    pub(crate) needed: Notify,
}

impl EngineGrants {
    pub(crate) fn new(entry: &str, incarnation: u64) -> Self {
        Self {
            grants: RefCell::new(Grants::new(entry, incarnation)),
            agents: RefCell::default(),
            needed: Notify::new(),
        }
    }

    /// Takes over which agents there are, and forgets engines that are gone.
    pub(crate) fn refresh(&self, fleet: &Fleet, gone: impl Iterator<Item = String>) {
        let agents = fleet.processes(ProcessKind::Agent);
        let agents = agents.filter_map(|agent| Some((agent.engine?, agent.address)));
        self.agents.replace(agents.collect());
        let mut grants = self.grants.borrow_mut();
        gone.for_each(|engine| grants.forget(&engine));
    }
}

impl Gateway {
    /// Returns whether entries share the slots of the engines of a service by grants.
    ///
    /// With few entries, two requests of each fit into an engine's batch. With many, sharing is needed
    /// where the entries' own limits may exceed the engine's memory, since the engine crashes then.
    pub(crate) fn shares_slots(&self, spec: &ServiceSpec, slots: u32) -> bool {
        let figures = spec.engine.as_ref().and_then(|engine| engine.figures.as_ref());
        figures.is_some_and(|figures| {
            let limit = entry_limit(slots, ENGINE_HEADROOM, 1);
            let tokens = figures.usual_prompt.saturating_add(figures.usual_output);
            self.near_entries() * 2 > slots
                && overcommits_memory(self.peak_entries(), limit, tokens, figures.kv_tokens)
        })
    }

    /// Returns how many requests this entry may have in flight at an engine whose slots are shared.
    pub(crate) fn granted(&self, backend: &Backend, distance: Distance, now: Duration) -> u32 {
        let status = backend.status.borrow();
        let allowance =
            self.grants.grants.borrow().allowed(&status.id, status.stamp.incarnation, now);
        let quota = || {
            if distance != Distance::Near {
                // The quotas of the near entries are all that the engine can run.
                return 0;
            }
            let fleet = self.follower.fleet();
            let near = fleet.entries().filter(|entry| entry.data_centre == *self.data_centre());
            let near = near.map(|entry| entry.name.as_str());
            let position = quota_position(&status.id, self.name(), near);
            quota(status.slots, position, self.near_entries())
        };
        match allowance {
            Allowance::Granted(slots) => slots,
            Allowance::Expired(slots) => slots.min(quota()),
            Allowance::Unknown => quota(),
        }
    }

    /// Exchanges demands and grants with the agents of engines; runs until dropped.
    pub(crate) async fn run_grants(&self) {
        let Some(address) = self.grants_address() else {
            std::future::pending::<()>().await;
            return;
        };
        loop {
            let Err(error) = self.exchange_grants(address).await;
            log::warn!("event=grants_failed address={address} error=\"{error}\"");
            sleep(RETRY_DELAY).await;
        }
    }

    async fn exchange_grants(&self, address: SocketAddr) -> io::Result<std::convert::Infallible> {
        let socket = UdpSocket::bind(address).await?;
        let mut buffer = [0; DATAGRAM_BYTES_MAX];
        loop {
            self.send_demands(&socket).await;
            let period = if self.slots.has_waiters() { WAITING_PERIOD } else { UPDATE_PERIOD };
            let received = tokio::select! {
                received = timeout(period, socket.recv_from(&mut buffer)) => received,
                () = self.grants.needed.notified() => continue,
            };
            let Ok(received) = received else { continue };
            let (length, _) = received?;
            self.receive_grant(&buffer[..length]);
            while let Ok((length, _)) = socket.try_recv_from(&mut buffer) {
                self.receive_grant(&buffer[..length]);
            }
        }
    }

    fn receive_grant(&self, datagram: &[u8]) {
        let Ok(message) = decode::<GrantMessage>(datagram) else { return };
        let GrantMessage { engine, incarnation, grant } = message;
        let now = self.now();
        if self.grants.grants.borrow_mut().apply(&engine, incarnation, &grant, now) {
            self.slots.notify();
        }
    }

    async fn send_demands(&self, socket: &UdpSocket) {
        let now = self.now();
        self.update_usage(now);
        let due = self.grants.grants.borrow_mut().demands_due(now);
        for (engine, demand) in due {
            let target = self.backends().get(&engine).and_then(|backend| {
                let status = backend.status.borrow();
                let agent = self.grants.agents.borrow().get(&status.address).copied()?;
                Some((agent, status.stamp.incarnation, status.slots))
            });
            let Some((agent, incarnation, slots)) = target else { continue };
            let message = DemandMessage { engine, incarnation, slots, demand };
            metrics::counter!("egret_gateway_demands_total").increment(1);
            // A demand that cannot be sent is as good as lost; the next one follows.
            if let Err(error) = socket.send_to(&encode(&message), agent).await {
                log::debug!("event=demand_unsent to={agent} error=\"{error}\"");
            }
        }
    }

    /// Tells what this entry uses and wants of each engine.
    fn update_usage(&self, now: Duration) {
        let tables = self.tables();
        let Some(catalog) = tables.catalog.as_ref() else { return };
        let mut grants = self.grants.grants.borrow_mut();
        let mut granted = 0;
        for spec in catalog.services.values().filter(|spec| spec.engine.is_some()) {
            let backends = self.backends();
            let engines: Vec<_> = backends
                .values()
                .filter(|backend| {
                    let status = backend.status.borrow();
                    status.service == spec.name && self.shares_slots(spec, status.slots)
                })
                .collect();
            let waiting = self.slots.waiting_by_rank(&spec.name);
            let reachable = self.usable_engines(spec, &engines);
            // An entry whose own engines serve nothing takes part elsewhere as those near do.
            let is_near =
                |backend: &Backend| backend.status.borrow().data_centre == *self.data_centre();
            let has_no_near = !reachable.iter().any(|backend| is_near(backend));
            for backend in engines {
                let status = backend.status.borrow();
                let incarnation = status.stamp.incarnation;
                let is_reachable = reachable.iter().any(|other| Rc::ptr_eq(other, backend));
                let usage = Usage {
                    near: is_near(backend) || (has_no_near && is_reachable),
                    in_flight: backend.in_flight.get(),
                    waiting: if is_reachable { waiting } else { [0; RANKS] },
                };
                grants.update(&status.id, incarnation, usage, now);
                if let Allowance::Granted(slots) = grants.allowed(&status.id, incarnation, now) {
                    granted += slots;
                }
            }
        }
        metrics::gauge!("egret_gateway_granted_slots").set(f64::from(granted));
    }
}
