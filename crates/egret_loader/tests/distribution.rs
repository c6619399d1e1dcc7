//! Simulates the distribution of a version to all agents, in virtual time.
//!
//! The fetching code is the real one; links, origin and engines are simulated. Sizes and rates are
//! a 256th of the real ones, so that times are the same.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use egret_fleet::{Fleet, LoadedModel, ProcessKind, ProcessStatus, StatusStamp, StatusUpdate};
use egret_loader::{
    Engine, EngineError, EngineReport, Fetcher, LoadAnswer, LoadOrder, Origin, PeerServer, Peers,
    PieceAnswer, Source, SourceTable, StagedVersion, Staging, Target,
};
use egret_record::{DataCentre, FastMap, VersionDigest, WeightVersion};
use egret_weights::{CHILDREN, PieceDigest, PieceList};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::{
    sync::oneshot,
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until},
};

/// The sizes and rates of a deployment.
#[derive(Debug, Clone, Copy)]
struct Site {
    pieces: u32,
    piece_bytes: usize,
    /// Bandwidth of each agent's link, in bytes a second.
    link: f64,
    /// Bandwidth of the origin's link, in bytes a second.
    origin: f64,
}

/// 96 pieces of 24,576 bytes; 7.3 Mbit/s on each link, also on the origin's.
const EQUAL_LINKS: Site = Site {
    pieces: 96,
    piece_bytes: 96,
    link: 7_300_000.0 / 8.0 / 256.0,
    origin: 7_300_000.0 / 8.0 / 256.0,
};
/// 64 pieces of 32,768 bytes; 7.6 Mbit/s on an agent's link, 5.94 Mbit/s on the origin's.
const SLOWER_ORIGIN: Site = Site {
    pieces: 64,
    piece_bytes: 128,
    link: 7_600_000.0 / 8.0 / 256.0,
    origin: 5_940_000.0 / 8.0 / 256.0,
};

impl Site {
    /// Returns the time to send one copy over the origin's link, in seconds.
    fn copy_time(&self) -> f64 {
        f64::from(self.pieces) * self.piece_bytes as f64 / self.origin
    }
}

impl Default for Site {
    fn default() -> Self {
        EQUAL_LINKS
    }
}

/// Bytes that a transfer sends before another one on the link has its turn.
const SLICE_BYTES: usize = 16;
/// Share of a link that agents use for uploads to others.
const UPLOAD_SHARE: f64 = 0.85;
const MODEL: &str = "m";

/// A simulated link, whose transfers take turns.
#[derive(Debug)]
struct Link {
    rate: f64,
    free_at: Cell<Instant>,
    sent: Cell<usize>,
}

impl Link {
    fn new(rate: f64) -> Self {
        Self { rate, free_at: Cell::new(Instant::now()), sent: Cell::new(0) }
    }

    /// Reserves the next turn on the link, and returns when it ends.
    fn reserve(&self, bytes: usize) -> Instant {
        let begin = self.free_at.get().max(Instant::now());
        let end = begin + Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at.set(end);
        self.sent.set(self.sent.get() + bytes);
        end
    }

    /// Sends bytes over this link and, as they arrive, over the next one.
    async fn send(&self, bytes: usize, next: &Self) {
        let mut last = Instant::now();
        for slice in 0..bytes.div_ceil(SLICE_BYTES) {
            let length = SLICE_BYTES.min(bytes - slice * SLICE_BYTES);
            sleep_until(self.reserve(length)).await;
            last = next.reserve(length);
        }
        sleep_until(last).await;
    }
}

/// The events of a simulation.
#[derive(Debug, Clone, Copy, Default)]
struct Scenario {
    site: Site,
    /// When the origin does not answer, in seconds after the first announcement.
    outage: Option<(f64, f64)>,
    /// Fraction of its bandwidth that the link of one agent has left.
    degraded: Option<f64>,
    /// The delay of a second version's announcement, in seconds.
    second: Option<f64>,
    /// Number of agents whose engines corrupt staged pieces.
    corrupting: usize,
    /// Whether the first seeder cannot reach the origin.
    cut_off: bool,
}

struct Simulation {
    start: Instant,
    scenario: Scenario,
    origin: Link,
    /// Requests that the origin did not answer.
    failures: Cell<usize>,
    agents: RefCell<FastMap<SocketAddr, Rc<Agent>>>,
    fleet: Fleet,
}

struct Agent {
    status: ProcessStatus,
    down: Link,
    up: Link,
    staging: Rc<Staging>,
    server: PeerServer<MemoryEngine>,
    engine: Rc<MemoryEngine>,
}

/// An engine that only stores staged pieces.
#[derive(Debug)]
struct MemoryEngine {
    pieces: RefCell<BTreeMap<u32, Bytes>>,
    random: RefCell<SmallRng>,
    corrupts: Cell<bool>,
}

impl Engine for MemoryEngine {
    async fn report(&self) -> Result<EngineReport, EngineError> {
        Ok(EngineReport::default())
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, EngineError> {
        Ok(self.pieces.borrow().keys().copied().collect())
    }

    async fn read(&self, _: &str, index: u32) -> Result<Option<Bytes>, EngineError> {
        sleep(Duration::from_millis(2)).await;
        Ok(self.pieces.borrow().get(&index).cloned())
    }

    async fn stage(&self, _: &str, index: u32, content: Bytes) -> Result<(), EngineError> {
        sleep(Duration::from_millis(2)).await;
        let corrupt = self.corrupts.get() && self.random.borrow_mut().random_range(0..10) == 0;
        let content = if corrupt { Bytes::from_static(b"rotten") } else { content };
        self.pieces.borrow_mut().insert(index, content);
        Ok(())
    }

    async fn load(&self, _: &LoadOrder<'_>) -> Result<LoadAnswer, EngineError> {
        Ok(LoadAnswer::Started)
    }
}

fn content(site: &Site, version: WeightVersion, index: u32) -> Bytes {
    let mut bytes = vec![0; site.piece_bytes];
    bytes[..8].copy_from_slice(&version.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&index.to_le_bytes());
    bytes.into()
}

fn list(site: &Site, version: WeightVersion) -> PieceList {
    let digest = |index| PieceDigest::of(&content(site, version, index));
    PieceList::new((0..site.pieces).map(digest).collect())
}

impl Simulation {
    fn is_out(&self) -> bool {
        let now = self.start.elapsed().as_secs_f64();
        self.scenario.outage.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// Returns the one-way delay between two agents.
    fn delay(&self, from: &ProcessStatus, to: &ProcessStatus) -> Duration {
        if from.data_centre == to.data_centre {
            Duration::from_millis(1)
        } else {
            Duration::from_millis(2)
        }
    }
}

#[derive(Clone)]
struct Network {
    simulation: Rc<Simulation>,
    own: SocketAddr,
}

impl Network {
    fn agent(&self, address: SocketAddr) -> Rc<Agent> {
        self.simulation.agents.borrow()[&address].clone()
    }

    fn is_cut_off(&self) -> bool {
        // The first agent of the first data centre is the first seeder.
        self.simulation.scenario.cut_off && self.agent(self.own).status.name == "side-000"
    }
}

impl Origin for Network {
    async fn list(
        &self,
        _: &str,
        version: Option<WeightVersion>,
    ) -> Result<(WeightVersion, PieceList), EngineError> {
        let version = version.unwrap_or(WeightVersion(1));
        Ok((version, list(&self.simulation.scenario.site, version)))
    }

    async fn piece(
        &self,
        _: &str,
        version: WeightVersion,
        index: u32,
    ) -> Result<Bytes, EngineError> {
        let down = || {
            self.simulation.failures.set(self.simulation.failures.get() + 1);
            EngineError::Unreachable("the origin is down".to_owned())
        };
        sleep(Duration::from_millis(4)).await;
        if self.simulation.is_out() || self.is_cut_off() {
            return Err(down());
        }
        let site = &self.simulation.scenario.site;
        self.simulation.origin.send(site.piece_bytes, &self.agent(self.own).down).await;
        if self.simulation.is_out() { Err(down()) } else { Ok(content(site, version, index)) }
    }
}

impl Peers for Network {
    async fn piece(
        &self,
        address: SocketAddr,
        key: VersionDigest,
        index: u32,
    ) -> Option<PieceAnswer> {
        let (own, other) = (self.agent(self.own), self.agent(address));
        let delay = self.simulation.delay(&own.status, &other.status);
        sleep(delay).await;
        let answer = other.server.piece(key, index).await;
        if answer.content.is_some() {
            other.up.send(self.simulation.scenario.site.piece_bytes, &own.down).await;
        }
        sleep(delay).await;
        Some(answer)
    }

    async fn list(&self, _: SocketAddr, _: VersionDigest) -> Option<PieceList> {
        None
    }

    fn disconnect(&self, _: SocketAddr) {}
}

fn status(number: usize, centres: usize) -> ProcessStatus {
    let centre = ["fukuoka", "kagoshima", "kumamoto", "miyazaki", "oita"][number % centres];
    let loaded = LoadedModel { model: MODEL.to_owned(), version: WeightVersion(1), complete: true };
    ProcessStatus {
        name: format!("side-{number:03}"),
        kind: ProcessKind::Agent,
        address: SocketAddr::from(([127, 0, (number / 250) as u8, (number % 250) as u8], 7_000)),
        data_centre: DataCentre::new(centre).expect("a name"),
        service: Some("engines".to_owned()),
        engine: None,
        loaded: Some(egret_fleet::EngineStatus {
            incarnation: 1,
            orders: None,
            models: vec![loaded],
        }),
        congested: false,
        switching: false,
        leaving: false,
        stamp: StatusStamp { incarnation: 1, seq: 1 },
    }
}

/// The result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Sorted times from the announcement of the last version until each agent had it.
    times: Vec<Duration>,
    /// The number of copies that the origin sent.
    copies: f64,
    /// Requests that the origin did not answer.
    failures: usize,
    /// Time from the announcement of the last version until the origin's last transfer.
    origin_done: Duration,
    /// Pieces of the last version that no agent had when the outage ended.
    absent: usize,
}

impl Outcome {
    fn last(&self) -> f64 {
        self.times.last().expect("agents").as_secs_f64()
    }
}

fn simulate(seed: u64, count: usize, centres: usize, scenario: Scenario) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, run(seed, count, centres, scenario))
}

async fn run(seed: u64, count: usize, centres: usize, scenario: Scenario) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::default();
    let all: Vec<_> = (0..count).map(|number| status(number, centres)).collect();
    for process in &all {
        fleet.observe(&StatusUpdate::Process(process.clone()), Duration::ZERO);
    }
    let start = Instant::now();
    let site = scenario.site;
    let origin = Link::new(site.origin);
    let simulation = Rc::new(Simulation {
        start,
        scenario,
        origin,
        failures: Cell::new(0),
        agents: RefCell::default(),
        fleet,
    });
    let degraded = random.random_range(0..count);
    for (number, status) in all.into_iter().enumerate() {
        let bandwidth = scenario.degraded.filter(|_| number == degraded).unwrap_or(1.0);
        let corrupts = Cell::new(number < scenario.corrupting);
        let random = RefCell::new(SmallRng::seed_from_u64(random.random()));
        let engine = Rc::new(MemoryEngine { pieces: RefCell::default(), random, corrupts });
        let staging: Rc<Staging> = Rc::default();
        let server =
            PeerServer::new(staging.clone(), engine.clone(), (site.link * UPLOAD_SHARE) as u64);
        let (down, up) = (Link::new(site.link * bandwidth), Link::new(site.link * bandwidth));
        let address = status.address;
        let agent = Rc::new(Agent { status, down, up, staging, server, engine });
        simulation.agents.borrow_mut().insert(address, agent);
    }
    let agents: Vec<Rc<Agent>> = simulation.agents.borrow().values().cloned().collect();
    let tasks: Vec<_> = agents
        .into_iter()
        .map(|agent| {
            // All agents learn of a version within some tens of milliseconds.
            let notice = Duration::from_millis(random.random_range(20..120));
            let is_degraded = agent.down.rate < site.link;
            let is_cut_off = scenario.cut_off && agent.status.name == "side-000";
            let (sender, done) = oneshot::channel();
            spawn_local(fetch(simulation.clone(), agent, notice, sender));
            (done, is_degraded, is_cut_off)
        })
        .collect();
    let absent = spawn_local(absent_after_outage(simulation.clone()));
    let mut times = Vec::new();
    for (done, is_degraded, is_cut_off) in tasks {
        // A seeder has no other source of its own pieces.
        if is_cut_off {
            continue;
        }
        let time = done.await.expect("the agent keeps running");
        // A degraded link needs eight times as long in any case.
        if !is_degraded {
            times.push(time);
        }
    }
    times.sort_unstable();
    let copies =
        simulation.origin.sent.get() as f64 / f64::from(site.pieces) / site.piece_bytes as f64;
    let announced = Duration::from_secs_f64(scenario.second.unwrap_or(0.0));
    Outcome {
        times,
        copies,
        failures: simulation.failures.get(),
        origin_done: simulation.origin.free_at.get() - start - announced,
        absent: absent.await.expect("the task ends"),
    }
}

/// Counts the pieces of the last version that no agent has when the outage ends.
async fn absent_after_outage(simulation: Rc<Simulation>) -> usize {
    let Some((_, end)) = simulation.scenario.outage else { return 0 };
    sleep_until(simulation.start + Duration::from_secs_f64(end)).await;
    let version = WeightVersion(if simulation.scenario.second.is_some() { 3 } else { 2 });
    let key = Target { model: MODEL.to_owned(), version }.key();
    let mut absent: Vec<u32> = (0..simulation.scenario.site.pieces).collect();
    for agent in simulation.agents.borrow().values() {
        if let Some(staged) = agent.staging.find(key) {
            let missing = staged.missing();
            absent.retain(|piece| missing.contains(piece));
        }
    }
    absent.len()
}

/// Fetches the announced versions, reports how long the last one took, and then refetches pieces
/// that become corrupt.
async fn fetch(
    simulation: Rc<Simulation>,
    agent: Rc<Agent>,
    notice: Duration,
    done: oneshot::Sender<Duration>,
) {
    let network = Network { simulation: simulation.clone(), own: agent.status.address };
    let fetcher =
        Fetcher::new(agent.engine.clone(), network.clone(), network, agent.staging.clone());
    let mut announced = simulation.start;
    let mut version = WeightVersion(2);
    if let Some(second) = simulation.scenario.second {
        let until = simulation.start + Duration::from_secs_f64(second);
        sleep(notice).await;
        fetch_version(&simulation, &agent, &fetcher, version, sleep_until(until + notice)).await;
        announced = until;
        version = WeightVersion(3);
    }
    sleep_until(announced + notice).await;
    fetch_version(&simulation, &agent, &fetcher, version, std::future::pending()).await;
    let _ = done.send(announced.elapsed());
    loop {
        sleep(Duration::from_millis(50)).await;
        fetch_version(&simulation, &agent, &fetcher, version, std::future::pending()).await;
    }
}

async fn fetch_version(
    simulation: &Simulation,
    agent: &Agent,
    fetcher: &Fetcher<MemoryEngine, Network, Network>,
    version: WeightVersion,
    cancelled: impl Future<Output = ()>,
) {
    let target = Target { model: MODEL.to_owned(), version };
    let staged = agent.staging.find(target.key()).unwrap_or_else(|| {
        let staged = Rc::new(StagedVersion::new(target, list(&simulation.scenario.site, version)));
        agent.staging.set(staged.clone());
        staged
    });
    let table = SourceTable::new(&simulation.fleet, &agent.status, MODEL, version);
    let sources = |index| -> Vec<Source> { table.sources(index, &mut rand::rng()) };
    fetcher.fetch_missing(&staged, sources, cancelled).await;
}

/// Time after the announcement at which the last engines start to switch: the deadline of 8 s less
/// what the longest request and the loading need.
const LAST_START: f64 = 8.0 - 2.7;
/// Limit of the copies of each version that the origin sends.
const COPIES_MAX: f64 = 1.3;

/// Simulates a scenario and checks that all agents have the version in time, counted from
/// `origin_up` seconds after its announcement.
fn check(name: &str, scenario: Scenario, origin_up: f64) {
    let seeds: u64 =
        std::env::var("EGRET_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let versions = if scenario.second.is_some() { 2.0 } else { 1.0 };
    for (count, centres) in [(14, 3), (60, 3), (108, 5)] {
        for seed in 0..seeds {
            let outcome = simulate(seed, count, centres, scenario);
            let last = outcome.last() - origin_up;
            println!(
                "{name}: agents={count} seed={seed} last={last:.2}s over_limit={:.2} copies={:.2}",
                last / scenario.site.copy_time(),
                outcome.copies
            );
            assert!(last <= LAST_START, "{name}, {count} agents, seed {seed}: {last:.2} s");
            let copies = outcome.copies / versions;
            assert!(
                copies <= COPIES_MAX,
                "{name}, {count} agents, seed {seed}: {copies:.2} copies"
            );
        }
    }
}

#[test]
fn version_reaches_all_agents_without_faults() {
    check("no faults", Scenario::default(), 0.0);
}

#[test]
fn version_arrives_soon_after_the_origin_recovers() {
    check("outage", Scenario { outage: Some((0.5, 6.5)), ..Scenario::default() }, 6.5);
}

#[test]
fn degraded_link_delays_no_other_agent() {
    check("degraded", Scenario { degraded: Some(0.125), ..Scenario::default() }, 0.0);
}

#[test]
fn second_version_replaces_the_first() {
    check("second", Scenario { second: Some(2.0), ..Scenario::default() }, 0.0);
}

#[test]
fn second_version_arrives_soon_after_the_origin_recovers() {
    let scenario = Scenario { second: Some(2.0), outage: Some((2.5, 8.5)), ..Scenario::default() };
    check("second and outage", scenario, 6.5);
}

#[test]
fn corrupt_pieces_are_refetched_at_once() {
    check("corruption", Scenario { corrupting: 7, ..Scenario::default() }, 0.0);
}

/// Longest time between two requests of an agent to an origin that fails, in seconds.
const ORIGIN_RETRY_MAX: f64 = 0.225;
/// Requests that one agent makes to an origin that fails, a second.
const ORIGIN_RETRY_RATE: f64 = 1.0 / 0.15;

/// Returns the longest path of a piece from a seeder to an agent, in transfers.
fn depth(count: usize, centres: usize) -> usize {
    // The root of a data centre, and perhaps that of another one before, then a tree of its agents.
    centres.min(count).ilog(CHILDREN) as usize + count.div_ceil(centres).ilog(CHILDREN) as usize + 1
}

/// Simulates an outage of the origin and checks that all agents have the version soon afterwards.
///
/// The limit is 1.25 times what the origin's link needs for the pieces that no agent had, one
/// retry, and for each transfer on a piece's way the time in which an agent receives it and uploads
/// it to all its children.
fn check_recovery(name: &str, scenario: Scenario, origin_up: f64) {
    let seeds: u64 =
        std::env::var("EGRET_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
    let site = scenario.site;
    for count in [3, 7, 11, 68] {
        for seed in 0..seeds {
            let outcome = simulate(seed, count, 3, scenario);
            let last = outcome.last() - origin_up;
            let bytes = |pieces: usize| (pieces * site.piece_bytes) as f64;
            let transfer = bytes(1) / site.link + bytes(CHILDREN) / (site.link * UPLOAD_SHARE);
            let limit = bytes(outcome.absent) / site.origin * 1.25
                + ORIGIN_RETRY_MAX
                + depth(count, 3) as f64 * transfer;
            let origin_done = outcome.origin_done.as_secs_f64() - origin_up;
            println!(
                "{name}: agents={count} seed={seed} absent={} origin_done={origin_done:.2}s \
                 last={last:.2}s limit={limit:.2}s copies={:.2} failures={}",
                outcome.absent, outcome.copies, outcome.failures
            );
            assert!(last <= limit, "{name}, {count} agents, seed {seed}: {last:.2} s");
            // One in four agents asks the origin, at most three of them, however many there are.
            let seeders = count.div_ceil(4).min(3) as f64;
            let (from, until) = scenario.outage.expect("an outage");
            let failures_max = (until - from) * ORIGIN_RETRY_RATE * seeders * 1.25;
            let failures = outcome.failures;
            assert!(failures as f64 <= failures_max, "{name}, {count} agents: {failures} requests");
        }
    }
}

/// Guards against requests that cycle through all missing pieces after an outage, so that a piece
/// rests at each agent on its way.
#[test]
fn last_pieces_arrive_soon_after_the_origin_recovers() {
    let scenario =
        Scenario { site: SLOWER_ORIGIN, outage: Some((2.5, 8.5)), ..Scenario::default() };
    check_recovery("last pieces", scenario, 8.5);
}

#[test]
fn version_that_was_just_announced_arrives_soon_after_the_origin_recovers() {
    let outage = Some((2.5, 8.5));
    let scenario =
        Scenario { site: SLOWER_ORIGIN, second: Some(2.0), outage, ..Scenario::default() };
    check_recovery("just announced", scenario, 6.5);
}

/// Guards against taking a seeder that cannot reach the origin for an outage that holds up all
/// pieces: agents would ask only for the lowest of its pieces until they pass it over.
#[test]
fn pieces_of_a_seeder_that_cannot_reach_the_origin_are_given_up_together() {
    /// Time after which an agent is too slow with a piece although the origin is said to fail.
    const MISS_TIMEOUT_MAX: f64 = 12.0;
    let scenario = Scenario { site: SLOWER_ORIGIN, cut_off: true, ..Scenario::default() };
    // A parent and the seeder are passed over; then the link carries the rest, at most one copy.
    let limit = 2.0 * MISS_TIMEOUT_MAX + 2.0 * scenario.site.copy_time();
    for count in [11, 68] {
        let last = simulate(0, count, 3, scenario).last();
        println!("cut off: agents={count} last={last:.2}s limit={limit:.2}s");
        assert!(last <= limit, "{count} agents: {last:.2} s");
    }
}
