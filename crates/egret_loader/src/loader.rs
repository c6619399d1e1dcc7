//! From the naming of a version to the engine that serves it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use egret_fleet::{EngineStatus, ProcessKind, ProcessStatus, START_DELAY_MAX, version_of};
use egret_record::WeightVersion;
use egret_rpc::{Follower, listen, schema::peer};
use egret_telemetry::{ListenError, bind};
use egret_weights::UpdateSchedule;
use tokio::time::{sleep, timeout};

use crate::{
    engine::{Engine, EngineError, EngineReport, Origin, SwitchMode},
    fetch::Fetcher,
    peer::{PeerServer, RpcPeers},
    sources::{Source, SourceTable},
    staging::{StagedVersion, Staging, Target},
    window::pieces_within,
};

/// Pause between two looks at the engine while nothing is to be done.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Pause between two looks at an engine that carries out an order.
const BUSY_PERIOD: Duration = Duration::from_millis(60);
/// Longest wait for an engine to carry out an order.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which entries have heard that an engine shall get nothing.
const HEARD_TIME: Duration = Duration::from_millis(60);
/// Time for which sources that were worked out are used; the fleet changes that fast.
const TABLE_TIME: Duration = Duration::from_millis(100);
/// Time for which a piece that was verified counts as right: pieces may turn bad while they lie
/// there, and reading them all back takes some tenths of a second.
const VERIFIED_TIME: Duration = Duration::from_secs(1);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Settings of a loader.
#[derive(Debug, Clone)]
pub struct LoaderSettings {
    /// What this agent says of itself at first.
    pub process: ProcessStatus,
    /// When the engines of a service change their weights.
    pub schedule: UpdateSchedule,
    /// Time after the naming of a version from which no older one may begin an answer.
    pub version_time: Duration,
    /// Bytes a second of the engine's link.
    pub link_bytes: u64,
    /// Bytes a second that may be sent to other agents.
    pub upload_bytes: u64,
}

/// Brings named weights to one engine.
pub struct Loader<E, O> {
    settings: LoaderSettings,
    follower: Rc<Follower>,
    staging: Rc<Staging>,
    fetcher: Fetcher<E, O, RpcPeers>,
    engine: Rc<E>,
    /// The version that was wanted last.
    wanted: RefCell<Option<Target>>,
    table: RefCell<Option<KnownSources>>,
    /// The last failure, which is logged once for as long as it lasts.
    failure: RefCell<Option<EngineError>>,
}

/// Sources that were worked out, and until when they are used.
#[derive(Debug)]
struct KnownSources {
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
    /// Makes a loader for `engine`.
    pub fn new(settings: LoaderSettings, follower: Rc<Follower>, engine: E, origin: O) -> Self {
        let engine = Rc::new(engine);
        let own = settings.process.address.ip();
        let staging: Rc<Staging> = Rc::default();
        let peers = RpcPeers::new(own);
        let fetcher = Fetcher::new(engine.clone(), origin, peers, staging.clone());
        Self {
            settings,
            follower,
            staging,
            fetcher,
            engine,
            wanted: RefCell::default(),
            table: RefCell::default(),
            failure: RefCell::default(),
        }
    }

    /// Runs for as long as it is awaited; must be awaited within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns a [`ListenError`] when other agents cannot be listened to.
    pub async fn run(&self) -> Result<(), ListenError> {
        let listener = bind(self.settings.process.address).await?;
        let upload = self.settings.upload_bytes;
        let server = PeerServer::new(self.staging.clone(), self.engine.clone(), upload);
        let client: peer::Client = capnp_rpc::new_client(server);
        tokio::task::spawn_local(listen(listener, client.client));
        let mut news = self.follower.updates();
        loop {
            let failure = self.step().await.err();
            self.log_failure(failure.as_ref());
            if failure.is_some() {
                self.set_switching(false);
                sleep(FAILURE_PAUSE).await;
            } else {
                let _ = timeout(LOOK_PERIOD, news.changed()).await;
            }
        }
    }

    /// Logs when loading begins to fail, fails otherwise, or goes on again.
    fn log_failure(&self, failure: Option<&EngineError>) {
        let known = self.failure.replace(failure.cloned());
        match (known.as_ref(), failure) {
            (known, Some(error)) if known != Some(error) => {
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

    /// Looks at the engine and does what it lacks.
    async fn step(&self) -> Result<(), EngineError> {
        let report = self.engine.report().await?;
        self.say(&report);
        let Some(target) = self.target(&report).await? else { return Ok(()) };
        let loaded = version_of(&report.models, &target.model);
        if loaded == Some(target.version) {
            match self.staging.find(target.key()) {
                None => self.serve_loaded(target).await?,
                Some(staged) if staged.missing().is_empty() => {}
                // Other agents fetch from here.
                Some(_) => drop(self.fetch(&target, loaded).await?),
            }
            return Ok(());
        }
        let staged = self.fetch(&target, loaded).await?;
        if !self.is_wanted(&target) || !staged.missing().is_empty() {
            return Ok(());
        }
        self.switch(&staged, loaded).await
    }

    /// Tells entries and other agents what the engine has loaded.
    fn say(&self, report: &EngineReport) {
        let word = EngineStatus { incarnation: report.incarnation, models: report.models.clone() };
        let known = self.follower.own_status().and_then(|process| process.loaded);
        if known.as_ref() != Some(&word) {
            log::info!("event=engine_seen born={} models={:?}", word.incarnation, word.models);
            self.follower.update_status(|process| process.loaded = Some(word));
        }
    }

    /// Returns the version that the engine shall serve.
    async fn target(&self, report: &EngineReport) -> Result<Option<Target>, EngineError> {
        let named = {
            let view = self.follower.view();
            let models = self.models(&view);
            let of = |model: &String| view.weights.get(model).map(|one| (model.clone(), *one));
            models
                .iter()
                .find_map(of)
                .or_else(|| models.first().map(|model| (model.clone(), WeightVersion(0))))
        };
        let Some((model, version)) = named else { return Ok(None) };
        if version > WeightVersion(0) {
            let target = Target { model, version };
            if self.wanted.replace(Some(target.clone())).as_ref() != Some(&target) {
                log::info!("event=version_wanted model={} version={version}", target.model);
            }
            return Ok(Some(target));
        }
        if let Some(version) = version_of(&report.models, &model) {
            return Ok(Some(Target { model, version }));
        }
        // No version was named yet: the others serve the one that the origin has.
        if let Some(staged) = self.staging.get().filter(|staged| staged.target.model == model) {
            return Ok(Some(staged.target.clone()));
        }
        let loaded = self.version_of_others(&model);
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

    fn version_of_others(&self, model: &str) -> Option<WeightVersion> {
        let fleet = self.follower.fleet();
        let agents = fleet.processes(ProcessKind::Agent);
        agents.filter_map(|one| version_of(&one.loaded.as_ref()?.models, model)).max()
    }

    fn is_wanted(&self, target: &Target) -> bool {
        let view = self.follower.view();
        view.weights.get(&target.model).is_none_or(|named| *named == target.version)
    }

    /// Tells entries while pieces fill the link to the engine, and keeps it free for requests
    /// that must begin before the version `loaded` is due to be left.
    async fn watch_link(&self, target: &Target, loaded: Option<WeightVersion>) {
        let window = &self.fetcher.window;
        loop {
            self.set_narrow(window.is_narrow());
            // An engine that has nothing to serve needs its link for pieces alone.
            let most = match loaded.and_then(|loaded| self.time_left(target, loaded)) {
                Some(left) => {
                    let free = left.saturating_sub(START_DELAY_MAX);
                    let bytes = self.fetcher.piece_bytes.get();
                    pieces_within(free, bytes, self.settings.link_bytes)
                }
                None => f64::INFINITY,
            };
            window.set_max(most);
            sleep(BUSY_PERIOD).await;
        }
    }

    /// Returns how long the version `loaded` may still begin answers; nothing when it may not.
    fn time_left(&self, target: &Target, loaded: WeightVersion) -> Option<Duration> {
        let due = self.named_after(target, loaded)? + self.settings.version_time;
        due.checked_sub(self.follower.now())
    }

    /// Returns when the first version after `loaded` was named; each is due by its own time.
    fn named_after(&self, target: &Target, loaded: WeightVersion) -> Option<Duration> {
        let namings = self.follower.announcements(&target.model);
        namings.iter().find(|(version, _)| *version > loaded).map(|(_, named)| *named)
    }

    fn set_narrow(&self, narrow: bool) {
        if self.follower.own_status().is_some_and(|process| process.congested != narrow) {
            log::info!("event=link_seen narrow={narrow}");
            self.follower.update_status(|process| process.congested = narrow);
        }
    }

    /// Waits until another version is wanted.
    async fn unwanted(&self, target: &Target) {
        let mut news = self.follower.updates();
        while self.is_wanted(target) {
            if news.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn sources(&self, target: &Target, index: u32) -> Vec<Source> {
        let now = self.follower.now();
        let mut table = self.table.borrow_mut();
        let known = table.take().filter(|known| known.until > now && known.target == *target);
        let known = known.unwrap_or_else(|| {
            let (fleet, own) = (self.follower.fleet(), &self.settings.process);
            let table = SourceTable::new(&fleet, own, &target.model, target.version);
            KnownSources { target: target.clone(), table, until: now + TABLE_TIME }
        });
        table.insert(known).table.sources(index, &mut rand::rng())
    }

    /// Serves other agents what the engine had before this process started.
    async fn serve_loaded(&self, target: Target) -> Result<(), EngineError> {
        // The origin's link is for versions that nobody has; these lists are small.
        let list = self.fetcher.list(&target, &self.sources(&target, 0)).await?;
        let staged = Rc::new(StagedVersion::new(target, list));
        self.fetcher.recover(&staged).await;
        log::info!(
            "event=pieces_held version={} pieces={}",
            staged.target.version,
            staged.indexes().len()
        );
        self.staging.set(staged);
        Ok(())
    }

    /// Brings all pieces of a version to the engine.
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
                // One copy lies at the engine; where it is known to be another version, reading
                // it back would only delay the fetch.
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
                () = self.fetcher.fetch_missing(&staged, sources, self.unwanted(target)) => {}
                () = self.watch_link(target, loaded) => {}
            }
            self.set_narrow(false);
            log::info!(
                "event=fetch_ended version={} missing={} took_ms={}",
                target.version,
                staged.missing().len(),
                (self.follower.now() - started).as_millis()
            );
        }
        Ok(staged)
    }

    /// Makes the engine load what lies there, in its turn.
    async fn switch(
        &self,
        staged: &StagedVersion,
        loaded: Option<WeightVersion>,
    ) -> Result<(), EngineError> {
        let target = &staged.target;
        if let Some(loaded) = loaded {
            self.wait_for_turn(target, loaded).await;
        }
        // The engine goes on serving meanwhile.
        self.fetcher.verify(staged, staged.unverified(VERIFIED_TIME)).await;
        if !self.is_wanted(target) {
            return Ok(());
        }
        if !staged.missing().is_empty() {
            log::warn!(
                "event=pieces_spoilt version={} count={}",
                target.version,
                staged.missing().len()
            );
            return Ok(());
        }
        let mut running = SwitchMode::Finish;
        if let Some(loaded) = loaded {
            self.set_switching(true);
            sleep(HEARD_TIME).await;
            running = self.running_at_turn(&target.model, loaded);
        }
        log::info!(
            "event=load_ordered model={} version={} running={running:?}",
            target.model,
            target.version
        );
        let ordered = self.engine.load(&target.model, target.version, running).await;
        let deadline = self.follower.now() + LOAD_TIMEOUT;
        while self.follower.now() < deadline {
            let report = self.engine.report().await?;
            let loaded = version_of(&report.models, &target.model) == Some(target.version);
            if loaded || (!report.busy && ordered.is_err()) {
                break;
            }
            sleep(BUSY_PERIOD).await;
        }
        let report = self.engine.report().await?;
        self.say(&report);
        self.set_switching(false);
        log::info!("event=load_ended version={} models={:?}", target.version, report.models);
        ordered
    }

    /// Decides what becomes of the requests of this engine, which has the version `loaded`.
    fn running_at_turn(&self, model: &str, loaded: WeightVersion) -> SwitchMode {
        let fleet = self.follower.fleet();
        let own = &self.settings.process;
        let others = fleet
            .processes(ProcessKind::Agent)
            .filter(|one| one.service == own.service && one.name != own.name && !one.switching);
        let staged = |one: &ProcessStatus| version_of(&one.loaded.as_ref()?.models, model);
        let others_serve = others.into_iter().any(|one| staged(one) == Some(loaded));
        let view = self.follower.view();
        let service = own.service.as_deref().unwrap_or_default();
        let may_move = view.catalog.as_ref().is_some_and(|catalog| catalog.is_resumable(service));
        if UpdateSchedule::moves_streams(self.rank()) && others_serve && may_move {
            SwitchMode::Stop
        } else {
            SwitchMode::Finish
        }
    }

    /// Waits until it is this engine's turn to leave the version `loaded`.
    async fn wait_for_turn(&self, target: &Target, loaded: WeightVersion) {
        let Some(named) = self.named_after(target, loaded) else { return };
        let fetched = self.follower.now().saturating_sub(named);
        let start = named + self.settings.schedule.start(self.rank(), fetched);
        while self.follower.now() < start && self.is_wanted(target) {
            sleep(start.saturating_sub(self.follower.now()).min(LOOK_PERIOD)).await;
        }
    }

    /// Returns the place of this agent among those of its service.
    fn rank(&self) -> usize {
        let fleet = self.follower.fleet();
        let own = &self.settings.process;
        let agents = fleet.processes(ProcessKind::Agent);
        agents.filter(|agent| agent.service == own.service && agent.name < own.name).count()
    }
}
