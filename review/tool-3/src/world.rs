//! A small deployment with its runners and origin, up to the moment at which traffic starts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{task::JoinHandle, time::sleep};

use crate::{
    Setting,
    deployment::{Deployment, Role},
    engine::{Engine, State},
    platform::{ENGINES, manifest, order, report},
    record::Record,
    server::{Server, serve},
    weights::Origin,
};

/// Time in which the operator repeats an order.
pub(crate) const ORDER_LIMIT: Duration = Duration::from_secs(20);
/// Time from the start of the machines to the start of traffic.
const LEAD: Duration = Duration::from_secs(10);

/// A runner, and the process that reports its status.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) engine: Engine,
    pub(crate) address: SocketAddr,
    zone: &'static str,
    controls: Vec<SocketAddr>,
    server: Option<Server>,
    reports: Option<JoinHandle<()>>,
}

impl Runner {
    /// Listens, and reports its status from now on.
    pub(crate) async fn start(&mut self) -> std::io::Result<()> {
        let engine = self.engine.clone();
        let server = serve(self.address, move |request| engine.clone().answer(request)).await?;
        self.server = Some(server);
        self.report();
        Ok(())
    }

    /// Reports its status at once, and regularly from then on.
    pub(crate) fn report(&mut self) {
        let reports = report(self.engine.clone(), self.address, self.zone, self.controls.clone());
        if let Some(former) = self.reports.replace(tokio::spawn(reports)) {
            former.abort();
        }
    }

    /// Ends without a word.
    pub(crate) fn crash(&mut self) {
        self.server = None;
        if let Some(reports) = self.reports.take() {
            reports.abort();
        }
    }
}

/// A deployment that serves.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) deployment: Deployment,
    pub(crate) controls: Vec<SocketAddr>,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) origin_address: SocketAddr,
    pub(crate) runners: Vec<Runner>,
    _origin: Server,
}

impl World {
    /// Starts three control instances, entries in these data centres, and a runner with its agent in
    /// each data centre; returns none if something cannot be started.
    pub(crate) async fn start(setting: &Setting, entries: &[usize]) -> Option<Self> {
        let record = &setting.record;
        let mut deployment = Deployment::new(&setting.scratch, &setting.programs);
        for zone in 0..3 {
            deployment.add(Role::Control, zone, None);
        }
        for zone in entries {
            deployment.add(Role::Entry, *zone, None);
        }
        for zone in 0..3 {
            deployment.add(Role::Agent, zone, Some(ENGINES));
        }
        let network = deployment.network;
        let at = |role| -> Vec<Ipv4Addr> {
            deployment.of(role).into_iter().map(|index| deployment.processes[index].ip).collect()
        };
        let controls: Vec<_> =
            at(Role::Control).into_iter().map(|ip| network.control(ip)).collect();
        let entries = at(Role::Entry).into_iter().map(|ip| network.front(ip)).collect();
        let origin = Origin { newest: 1, link: Arc::default() };
        let origin_address = network.runner(network.ip(200));
        let serving = serve(origin_address, move |request| origin.clone().answer(request)).await;
        let mut runners = Vec::new();
        for index in deployment.of(Role::Agent) {
            let process = &deployment.processes[index];
            let mut runner = Runner {
                engine: engine(&format!("i-{index}"), record),
                address: network.runner(process.ip),
                zone: process.zone,
                controls: controls.clone(),
                server: None,
                reports: None,
            };
            runner.start().await.ok()?;
            runners.push(runner);
        }
        for index in 0..deployment.processes.len() {
            deployment.start(index);
        }
        let document = manifest(1, origin_address);
        if !order(record, &controls, "/v1/Config.Replace", &document, ORDER_LIMIT).await {
            return None;
        }
        deployment.end_bootstrap().ok()?;
        sleep(LEAD.saturating_sub(record.now())).await;
        let server = serving.ok()?;
        Some(Self { deployment, controls, entries, origin_address, runners, _origin: server })
    }

    /// Records what the processes say of themselves at the end.
    pub(crate) fn record_end(&mut self, record: &Record, role: Role, events: &[&str]) {
        for index in self.deployment.of(role) {
            for line in self.deployment.log_lines(index, events) {
                record.line(&format!("log {} {line}", self.deployment.processes[index].name));
            }
        }
        record.line(&format!("ended by themselves: {:?}", self.deployment.ended()));
    }
}

fn engine(name: &str, record: &Record) -> Engine {
    Engine { state: Arc::new(Mutex::new(State::new(name))), record: record.clone() }
}
