//! Fetches the announced version and switches the engine to it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use egret_fleet::{EngineStatus, ProcessKind, ProcessStatus, START_DELAY_MAX, version_of};
use egret_record::WeightVersion;
use egret_rpc::{Follower, listen, schema::peer};
use egret_telemetry::{ListenError, bind};
use egret_weights::UpdateSchedule;
use tokio::time::{sleep, timeout};

use crate::{
    activation::{Activation, BUSY_PERIOD},
    engine::{Engine, EngineError, EngineReport, Origin, SwitchMode},
    fetch::Fetcher,
    peer::{PeerServer, RpcPeers},
    recorder::Recorder,
    sources::{Source, SourceTable},
    staging::{StagedVersion, Staging, Target},
    window::pieces_within,
};

/// Interval at which an idle engine is polled.
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// Delay before a load order, in which entries learn that the engine accepts no requests.
const NOTICE_DELAY: Duration = Duration::from_millis(60);
/// Time for which a source table is cached; the fleet changes at about that pace.
const TABLE_TTL: Duration = Duration::from_millis(100);
/// Age up to which a verified piece is not read back again before a load order. Staged pieces may
/// become corrupt, but reading all of them back takes some tenths of a second.
const VERIFIED_TTL: Duration = Duration::from_secs(1);
/// [`VERIFIED_TTL`] for an engine that serves nothing: its pieces are verified after the order in
/// any case.
const IDLE_VERIFIED_TTL: Duration = Duration::from_secs(10);
/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Settings of a loader.
#[derive(Debug, Clone)]
pub struct LoaderSettings {
    /// The initial status of this agent's process.
    pub process: ProcessStatus,
    /// When the engines of a service switch their weights.
    pub schedule: UpdateSchedule,
    /// Time after a version announcement for which older versions may still begin answers.
    pub version_time: Duration,
    /// Bandwidth of the engine's link, in bytes a second.
    pub link_bytes: u64,
    /// Limit of uploads to other agents, in bytes a second.
    pub upload_bytes: u64,
}

/// Fetches announced versions for one engine and switches the engine to them.
pub struct Loader<E, O> {
    settings: LoaderSettings,
    follower: Rc<Follower>,
    staging: Rc<Staging>,
    fetcher: Fetcher<E, O, RpcPeers>,
    engine: Rc<E>,
    activation: Activation,
    recorder: Recorder,
    /// The last target version that was logged.
    logged_target: RefCell<Option<Target>>,
    table: RefCell<Option<CachedSources>>,
    /// The current failure, which is logged only once.
    failure: RefCell<Option<EngineError>>,
}

/// A cached source table and its expiry.
#[derive(Debug)]
struct CachedSources {
    target: Target,
    table: SourceTable,
    until: Duration,
}

impl<E, O> std::fmt::Debug for Loader<E, O> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Loader").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl<E: Engine, O: Origin> Loader<E, O> {
    /// Creates a loader for `engine`.
    pub fn new(settings: LoaderSettings, follower: Rc<Follower>, engine: E, origin: O) -> Self {
        let engine = Rc::new(engine);
        let own = settings.process.address.ip();
        let staging: Rc<Staging> = Rc::default();
        let peers = RpcPeers::new(own);
        let fetcher = Fetcher::new(engine.clone(), origin, peers, staging.clone());
        let recorder = Recorder::new(follower.clone(), settings.process.engine);
        Self {
            settings,
            follower,
            staging,
            fetcher,
            engine,
            activation: Activation::default(),
            recorder,
            logged_target: RefCell::default(),
            table: RefCell::default(),
            failure: RefCell::default(),
        }
    }

    /// Runs the loader until the future is dropped; must be awaited within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns a [`ListenError`] when the address for other agents cannot be used.
    pub async fn run(&self) -> Result<(), ListenError> {
        let listener = bind(self.settings.process.address).await?;
        let upload = self.settings.upload_bytes;
        let server = PeerServer::new(self.staging.clone(), self.engine.clone(), upload);
        let client: peer::Client = capnp_rpc::new_client(server);
        tokio::task::spawn_local(listen(listener, client.client));
        tokio::select! {
            () = self.recorder.run() => Ok(()),
            () = self.run_steps() => Ok(()),
        }
    }

    async fn run_steps(&self) {
        let mut changes = self.follower.updates();
        loop {
            let failure = self.step().await.err();
            self.log_failure(failure.as_ref());
            if failure.is_some() {
                self.set_switching(false);
                sleep(RETRY_DELAY).await;
            } else {
                let _ = timeout(IDLE_PERIOD, changes.changed()).await;
            }
        }
    }

    /// Logs when loading starts to fail, fails for another reason, or recovers.
    fn log_failure(&self, failure: Option<&EngineError>) {
        let previous = self.failure.replace(failure.cloned());
        match (previous.as_ref(), failure) {
            (previous, Some(error)) if previous != Some(error) => {
                log::warn!("event=loading_failed error=\"{error}\"");
            }
            (Some(_), None) => log::info!("event=loading_goes_on"),
            _ => {}
        }
    }

    fn set_switching(&self, switching: bool) {
        if self.follower.own_status().is_some_and(|process| process.switching != switching) {
            self.follower.update_status(|process| process.switching = switching);
        }
    }

    /// Polls the engine and does the next step towards the target version.
    async fn step(&self) -> Result<(), EngineError> {
        self.set_congested(self.fetcher.window.is_congested());
        let report = self.activation.report(&*self.engine).await?;
        self.recorder.observe(&report);
        self.publish_loaded(&report);
        if report.busy {
            return Err(EngineError::Busy);
        }
        let Some(target) = self.target(&report).await? else { return Ok(()) };
        if let Some(unproven) =
            self.activation.unproven(&report).filter(|unproven| *unproven != target)
        {
            // Its pieces are about to be replaced.
            match self.give_up(&unproven, &report).await {
                Err(error @ EngineError::Refused { .. }) => {
                    log::warn!("event=give_up_refused error=\"{error}\"");
                }
                done => return done,
            }
        }
        let loaded = version_of(&report.models, &target.model);
        if loaded == Some(target.version) {
            let staged = match self.staging.find(target.key()) {
                None => self.serve_loaded(&target).await?,
                Some(staged) => staged,
            };
            if self.activation.covers(&target) {
                if staged.count() == 0 {
                    self.fetcher.recover(&staged).await;
                }
                if !staged.missing().is_empty() {
                    // Other agents fetch the missing pieces from here.
                    self.fetch(&target, loaded).await?;
                }
                return Ok(());
            }
            if !self.activation.confirm(&self.fetcher, &staged, &report).await? {
                return self.give_up(&target, &report).await;
            }
            self.publish_loaded(&report);
            return Ok(());
        }
        let staged = self.fetch(&target, loaded).await?;
        if !self.is_current(&target) || !staged.missing().is_empty() {
            return Ok(());
        }
        self.switch(&staged, loaded, &report).await
    }

    /// Makes the engine give up a version that is not known to be whole.
    async fn give_up(&self, target: &Target, report: &EngineReport) -> Result<(), EngineError> {
        self.recorder.withdraw(target, report).await?;
        if self.activation.inherits(target) {
            // Entries may use it, if an earlier process knew it to be whole.
            self.set_switching(true);
            sleep(NOTICE_DELAY).await;
        }
        let engine = &*self.engine;
        let report = self.activation.give_up(engine, target, SwitchMode::Finish).await?;
        self.publish_loaded(&report);
        self.set_switching(false);
        Ok(())
    }

    /// Reports to entries and other agents which loaded weights are known to be whole.
    fn publish_loaded(&self, report: &EngineReport) {
        let Some(models) = self.activation.whole(report) else { return };
        let loaded =
            EngineStatus { incarnation: report.incarnation, orders: report.orders, models };
        self.recorder.record(&loaded);
        let published = self.follower.own_status().and_then(|process| process.loaded);
        if published.as_ref() != Some(&loaded) {
            log::info!(
                "event=engine_seen born={} orders={:?} models={:?}",
                loaded.incarnation,
                loaded.orders,
                loaded.models
            );
            self.follower.update_status(|process| process.loaded = Some(loaded));
        }
    }

    /// Returns the version that the engine should serve.
    async fn target(&self, report: &EngineReport) -> Result<Option<Target>, EngineError> {
        let announced = {
            let view = self.follower.view();
            let models = self.models(&view);
            let find =
                |model: &String| view.weights.get(model).map(|version| (model.clone(), *version));
            models
                .iter()
                .find_map(find)
                .or_else(|| models.first().map(|model| (model.clone(), WeightVersion(0))))
        };
        let Some((model, version)) = announced else { return Ok(None) };
        if version > WeightVersion(0) {
            let target = Target { model, version };
            if self.logged_target.replace(Some(target.clone())).as_ref() != Some(&target) {
                log::info!("event=version_wanted model={} version={version}", target.model);
            }
            return Ok(Some(target));
        }
        if let Some(version) = version_of(&report.models, &model) {
            return Ok(Some(Target { model, version }));
        }
        // No version has been announced yet; engines serve the origin's newest one.
        if let Some(staged) = self.staging.get().filter(|staged| staged.target.model == model) {
            return Ok(Some(staged.target.clone()));
        }
        let loaded = self.version_at_peers(&model);
        let version = match loaded {
            Some(version) => version,
            None => self.fetcher.newest(&model).await?,
        };
        Ok(Some(Target { model, version }))
    }

    fn models(&self, view: &egret_record::View) -> Vec<String> {
        let service = self.settings.process.service.as_deref().unwrap_or_default();
        let spec = view.catalog.as_ref().and_then(|catalog| catalog.services.get(service));
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        engine.map(|engine| engine.models.clone()).unwrap_or_default()
    }

    fn version_at_peers(&self, model: &str) -> Option<WeightVersion> {
        let fleet = self.follower.fleet();
        let agents = fleet.processes(ProcessKind::Agent);
        agents.filter_map(|agent| version_of(&agent.loaded.as_ref()?.models, model)).max()
    }

    fn is_current(&self, target: &Target) -> bool {
        let view = self.follower.view();
        view.weights.get(&target.model).is_none_or(|announced| *announced == target.version)
    }

    /// Reports to entries whether pieces congest the engine's link, and limits the fetch window.
    ///
    /// The limit leaves bandwidth for requests that must begin before the engine has to stop
    /// serving the version `loaded`.
    async fn watch_link(&self, target: &Target, loaded: Option<WeightVersion>) {
        let window = &self.fetcher.window;
        loop {
            self.set_congested(window.is_congested());
            // If the engine has no version that it may serve, its link carries only pieces.
            let max = match loaded.and_then(|loaded| self.time_left(target, loaded)) {
                Some(left) => {
                    let free = left.saturating_sub(START_DELAY_MAX);
                    let bytes = self.fetcher.piece_bytes.get();
                    pieces_within(free, bytes, self.settings.link_bytes)
                }
                None => f64::INFINITY,
            };
            window.set_max(max);
            sleep(BUSY_PERIOD).await;
        }
    }

    /// Returns how long the engine may still begin answers with the version `loaded`.
    ///
    /// Returns `None` after that deadline, and if no later version is announced.
    fn time_left(&self, target: &Target, loaded: WeightVersion) -> Option<Duration> {
        let deadline = self.superseded_at(target, loaded)? + self.settings.version_time;
        deadline.checked_sub(self.follower.now())
    }

    /// Returns when the first version after `loaded` was announced.
    ///
    /// Each announcement has its own deadline, so later ones do not extend it.
    fn superseded_at(&self, target: &Target, loaded: WeightVersion) -> Option<Duration> {
        let announcements = self.follower.announcements(&target.model);
        announcements.iter().find(|(version, _)| *version > loaded).map(|(_, at)| *at)
    }

    fn set_congested(&self, congested: bool) {
        if self.follower.own_status().is_some_and(|process| process.congested != congested) {
            log::info!("event=link_seen narrow={congested}");
            self.follower.update_status(|process| process.congested = congested);
        }
    }

    /// Waits until another version is announced.
    async fn superseded(&self, target: &Target) {
        let mut changes = self.follower.updates();
        while self.is_current(target) {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn sources(&self, target: &Target, index: u32) -> Vec<Source> {
        let now = self.follower.now();
        let mut table = self.table.borrow_mut();
        let cached = table.take().filter(|cached| cached.until > now && cached.target == *target);
        let cached = cached.unwrap_or_else(|| {
            let (fleet, own) = (self.follower.fleet(), &self.settings.process);
            let table = SourceTable::new(&fleet, own, &target.model, target.version);
            CachedSources { target: target.clone(), table, until: now + TABLE_TTL }
        });
        table.insert(cached).table.sources(index, &mut rand::rng())
    }

    /// Offers other agents the version that the engine loaded before this process started, once
    /// its pieces are verified.
    async fn serve_loaded(&self, target: &Target) -> Result<Rc<StagedVersion>, EngineError> {
        // The origin's link is needed for versions that no agent has, but a list is small.
        let list = self.fetcher.list(target, &self.sources(target, 0)).await?;
        let staged = Rc::new(StagedVersion::new(target.clone(), list));
        self.staging.set(staged.clone());
        Ok(staged)
    }

    /// Fetches and stages all pieces of a version, until another one is announced.
    async fn fetch(
        &self,
        target: &Target,
        loaded: Option<WeightVersion>,
    ) -> Result<Rc<StagedVersion>, EngineError> {
        let staged = match self.staging.find(target.key()) {
            Some(staged) => staged,
            None => {
                let list = self.fetcher.list(target, &self.sources(target, 0)).await?;
                let staged = Rc::new(StagedVersion::new(target.clone(), list));
                // The engine has room for one staged copy. If that is known to be another version,
                // reading it back would only delay the fetch.
                let other = self.staging.get();
                let occupied = other.is_some_and(|other| {
                    other.target.model == target.model && other.missing().is_empty()
                });
                if !occupied {
                    self.fetcher.recover(&staged).await;
                }
                self.staging.set(staged.clone());
                staged
            }
        };
        let missing = staged.missing().len();
        if missing > 0 {
            let started = self.follower.now();
            log::info!("event=fetch_started version={} missing={missing}", target.version);
            let sources = |index| self.sources(target, index);
            tokio::select! {
                () = self.fetcher.fetch_missing(&staged, sources, self.superseded(target)) => {}
                () = self.watch_link(target, loaded) => {}
            }
            log::info!(
                "event=fetch_ended version={} missing={} took_ms={}",
                target.version,
                staged.missing().len(),
                (self.follower.now() - started).as_millis()
            );
        }
        Ok(staged)
    }

    /// Switches the engine to the staged version, when its turn comes if it serves `loaded`.
    async fn switch(
        &self,
        staged: &StagedVersion,
        loaded: Option<WeightVersion>,
        report: &EngineReport,
    ) -> Result<(), EngineError> {
        let target = &staged.target;
        let ttl = if let Some(loaded) = loaded {
            self.wait_for_turn(target, loaded).await;
            VERIFIED_TTL
        } else {
            IDLE_VERIFIED_TTL
        };
        // An engine that serves an old version keeps serving it meanwhile.
        self.fetcher.verify(staged, staged.unverified(ttl)).await;
        if !self.is_current(target) {
            return Ok(());
        }
        if !staged.missing().is_empty() {
            log::warn!(
                "event=pieces_corrupt version={} count={}",
                target.version,
                staged.missing().len()
            );
            return Ok(());
        }
        self.recorder.withdraw(target, report).await?;
        let mut mode = SwitchMode::Finish;
        if let Some(loaded) = loaded {
            self.set_switching(true);
            sleep(NOTICE_DELAY).await;
            mode = self.switch_mode(&target.model, loaded);
        }
        log::info!(
            "event=load_ordered model={} version={} running={mode:?} oldest_ms={}",
            target.model,
            target.version,
            staged.oldest().as_millis()
        );
        let report = self.activation.load(&self.fetcher, staged, mode).await?;
        self.publish_loaded(&report);
        self.set_switching(false);
        log::info!("event=load_ended version={} models={:?}", target.version, report.models);
        Ok(())
    }

    /// Decides how this engine treats requests in flight when it leaves the version `loaded`.
    ///
    /// Engines in the first half of the schedule cancel them, but only if their streams can resume
    /// at another engine with that version.
    fn switch_mode(&self, model: &str, loaded: WeightVersion) -> SwitchMode {
        let fleet = self.follower.fleet();
        let own = &self.settings.process;
        let others = fleet
            .processes(ProcessKind::Agent)
            .filter(|peer| peer.service == own.service && peer.name != own.name && !peer.switching);
        let version = |peer: &ProcessStatus| version_of(&peer.loaded.as_ref()?.models, model);
        let others_serve = others.into_iter().any(|peer| version(peer) == Some(loaded));
        let view = self.follower.view();
        let service = own.service.as_deref().unwrap_or_default();
        let resumable = view.catalog.as_ref().is_some_and(|catalog| catalog.is_resumable(service));
        if UpdateSchedule::moves_streams(self.rank()) && others_serve && resumable {
            SwitchMode::Stop
        } else {
            SwitchMode::Finish
        }
    }

    /// Waits for this engine's turn to leave the version `loaded`.
    async fn wait_for_turn(&self, target: &Target, loaded: WeightVersion) {
        let Some(announced) = self.superseded_at(target, loaded) else { return };
        let fetched = self.follower.now().saturating_sub(announced);
        let start = announced + self.settings.schedule.start(self.rank(), fetched);
        while self.follower.now() < start && self.is_current(target) {
            sleep(start.saturating_sub(self.follower.now()).min(IDLE_PERIOD)).await;
        }
    }

    /// Returns the rank of this agent by name among those of its service.
    fn rank(&self) -> usize {
        let fleet = self.follower.fleet();
        let own = &self.settings.process;
        let agents = fleet.processes(ProcessKind::Agent);
        agents.filter(|agent| agent.service == own.service && agent.name < own.name).count()
    }
}
